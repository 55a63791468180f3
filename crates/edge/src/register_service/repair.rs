//! Keeps the register going: learns chosen values, settles undecided ones, founds the register and
//! replaces replicas that are gone.

use crate::node::NodeState;
use crate::register::{RegisterChange, RegisterValue, ReplicaKey, find_chosen};
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two looks, in ms.
const LOOK_MS: u64 = 100;
/// Time for which a value may be undecided before a node confirms it, in ms: a round in progress
/// ends within it.
const UNDECIDED_MS: u64 = 300;
/// Further time drawn at random, so that the replicas do not confirm at once, in ms.
const UNDECIDED_SPREAD_MS: u64 = 400;
/// Time for the nodes to hear of each other before the register is founded, in ms.
const FOUNDING_MS: u64 = 1_500;
/// Time for which a new disk must be heard before it becomes a replica, in ms.
const NEWCOMER_MS: u64 = 400;
/// Silence of a replica after which a new disk may take its place, in ms.
const REPLACED_MS: u64 = 2_000;
/// Silence of a replica after which it is removed although no new disk is there, in ms.
const REMOVED_MS: u64 = 15_000;
/// Replicas below which a silent one is not removed without a replacement.
const MIN_REPLICAS: usize = 3;
/// Longest time for a change of replicas, in ms.
const REPAIR_MS: u64 = 2_500;

impl NodeState {
    /// Looks after the register until the process ends.
    pub(crate) async fn maintain_register(self: Rc<Self>) {
        let mut founded = false;
        loop {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            let now = ClockTime::monotonic();
            if !founded && self.founds(now) {
                let replicas = self.heard_disks(now);
                founded = !replicas.is_empty() && self.found_register(&replicas).await;
            }
            self.learn_from_peers(now);
            self.learn_from_replicas(now);
            self.repair_replicas(now);
        }
    }

    /// Whether this node founds the register: the lowest seed of a first start, unless some value
    /// is known already.
    fn founds(&self, now: ClockTime) -> bool {
        let settings = &self.settings;
        let lowest = settings.seeds.iter().min() == Some(&settings.control_address);
        settings.first_start
            && lowest
            && now.since(self.started) >= FOUNDING_MS
            && self.register.applied_mark().is_none()
            && self.peers.borrow().alive(now).all(|record| record.status.applied.is_none())
    }

    /// All disks heard, the own one included.
    fn heard_disks(&self, now: ClockTime) -> BTreeSet<ReplicaKey> {
        let peers = self.peers.borrow();
        let heard = peers.alive(now).filter_map(|record| {
            record.status.disk.map(|disk| ReplicaKey { address: record.status.address, disk })
        });
        heard.chain(self.register.own_key()).collect()
    }

    /// Fetches a newer value that another node knows to be chosen.
    pub(crate) fn learn_from_peers(self: &Rc<Self>, now: ClockTime) {
        let own = self.register.applied_mark();
        let peers = self.peers.borrow();
        // Any of the nodes that hold the newest value will do; those with a disk have wider links.
        let newest = peers
            .alive(now)
            .filter(|record| record.status.applied > own)
            .map(|record| {
                let status = &record.status;
                let rank = (status.applied, status.disk.is_some(), rand::random::<u32>());
                (rank, status.address)
            })
            .max();
        drop(peers);
        if let Some((_, address)) = newest
            && self.register.start_fetch()
        {
            tokio::task::spawn_local(self.clone().fetch_applied(address));
        }
    }

    /// Finds out that the own replica's value is chosen, or has it confirmed after a while.
    fn learn_from_replicas(self: &Rc<Self>, now: ClockTime) {
        let register = &self.register;
        let applied = register.applied_mark().map(|mark| mark.ballot);
        let accepted = register.accepted_mark().map(|mark| mark.ballot);
        let ahead = accepted.is_some() && accepted > applied;
        if !ahead {
            register.undecided_since.set(None);
            return;
        }
        let Some(accepted) = register.accepted() else { return };
        let reports = self.reported_ballots(now);
        let own = accepted.ballot;
        let value_of = |ballot| (ballot == own).then(|| accepted.value.clone());
        if find_chosen(&reports, value_of) == Some(own) {
            self.apply_value(own, &accepted.value);
            self.send_status();
            return;
        }
        let Some(since) = register.undecided_since.get() else {
            let spread = rand::random_range(0..UNDECIDED_SPREAD_MS);
            register.undecided_since.set(Some(now.plus(spread)));
            return;
        };
        if now.since(since) > UNDECIDED_MS && !register.confirming.replace(true) {
            let node = self.clone();
            tokio::task::spawn_local(async move {
                let result = node.propose_change(&RegisterChange::Confirm, REPAIR_MS).await;
                if let Err(error) = result {
                    log::info!(target: "burdockcleat", "event=register.confirm_failed cause=\"{error}\"");
                }
                node.register.undecided_since.set(None);
                node.register.confirming.set(false);
            });
        }
    }

    /// Replaces replicas that are gone by disks that are new. Done by the lowest replica that is
    /// heard; two at once only meet in the rounds.
    fn repair_replicas(self: &Rc<Self>, now: ClockTime) {
        let Some(applied) = self.register.applied() else { return };
        let disks = self.heard_disks(now);
        let lowest = applied.value.replicas.intersection(&disks).next().copied();
        if lowest.is_none() || lowest != self.register.own_key() {
            return;
        }
        let change = if applied.value.settled() {
            let wanted = self.wanted_replicas(&applied.value, &disks, now);
            if wanted == applied.value.replicas {
                return;
            }
            RegisterChange::Replicas { from: applied.value.replicas.clone(), to: wanted }
        } else {
            RegisterChange::Settle(applied.value.replicas.clone())
        };
        if self.register.repairing.replace(true) {
            return;
        }
        log::info!(target: "burdockcleat", "event=register.repair change={change:?}");
        let node = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = node.repair(&change).await {
                log::info!(target: "burdockcleat", "event=register.repair_failed cause=\"{error}\"");
            }
            node.register.repairing.set(false);
        });
    }

    /// Makes a change of replicas on top of a value that is known to be chosen.
    async fn repair(self: &Rc<Self>, change: &RegisterChange) -> Result<(), super::RoundError> {
        self.propose_change(&RegisterChange::Confirm, REPAIR_MS).await?;
        self.propose_change(change, REPAIR_MS).await?;
        Ok(())
    }

    /// The set of replicas that there should be.
    fn wanted_replicas(
        &self,
        value: &RegisterValue,
        disks: &BTreeSet<ReplicaKey>,
        now: ClockTime,
    ) -> BTreeSet<ReplicaKey> {
        let newcomers: BTreeSet<_> = disks
            .difference(&value.replicas)
            .filter(|key| self.steady_for(**key, now) >= NEWCOMER_MS)
            .copied()
            .collect();
        let mut wanted = value.replicas.clone();
        wanted.retain(|key| newcomers.iter().all(|newcomer| newcomer.address != key.address));
        let limit_ms = if newcomers.is_empty() { REMOVED_MS } else { REPLACED_MS };
        for key in &value.replicas {
            let left = wanted.len() + newcomers.len();
            if !disks.contains(key) && self.silent_for(*key, now) >= limit_ms && left > MIN_REPLICAS
            {
                wanted.remove(key);
            }
        }
        wanted.extend(newcomers);
        wanted
    }

    fn steady_for(&self, key: ReplicaKey, now: ClockTime) -> u64 {
        let peers = self.peers.borrow();
        peers.get(key.address).map_or(u64::MAX, |record| now.since(record.first_seen))
    }

    fn silent_for(&self, key: ReplicaKey, now: ClockTime) -> u64 {
        let peers = self.peers.borrow();
        let heard = peers.get(key.address).map(|record| record.last_seen);
        now.since(heard.unwrap_or(self.started))
    }
}
