//! Background maintenance of the register: learns chosen values, confirms undecided ones,
//! initializes the register and replaces failed replicas.

use crate::node::NodeState;
use crate::register::{
    DiskPresence, DiskReport, RegisterChange, ReplicaKey, find_chosen, plan_replicas,
};
use crate::shutdown::ShutdownStage;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two maintenance passes, in ms.
const MAINTENANCE_INTERVAL_MS: u64 = 100;
/// Time after which a node confirms an undecided value, in ms. A round in progress ends earlier.
const UNDECIDED_TIMEOUT_MS: u64 = 300;
/// Upper bound of the random delay added to [`UNDECIDED_TIMEOUT_MS`], in ms. Keeps the replicas
/// from confirming at the same time.
const UNDECIDED_JITTER_MS: u64 = 400;
/// Time after the start for the nodes to discover each other before the register is initialized, in
/// ms.
const DISCOVERY_WAIT_MS: u64 = 1_500;
/// Timeout of each proposal of the maintenance, in ms.
const REPAIR_TIMEOUT_MS: u64 = 2_500;

impl NodeState {
    /// Runs the maintenance passes until the process ends.
    pub(crate) async fn maintain_register(self: Rc<Self>) {
        let mut initialized = false;
        loop {
            tokio::time::sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
            let now = ClockTime::monotonic();
            if !initialized && self.initializes_register(now) {
                let none = BTreeSet::new();
                let replicas = plan_replicas(&none, &self.report_disks(&none, now));
                initialized = !replicas.is_empty() && self.initialize_register(&replicas).await;
            }
            self.learn_from_peers(now);
            self.learn_from_replicas(now);
            self.repair_replicas(now);
        }
    }

    /// Returns whether this node has to initialize the register. That is the lowest seed at the
    /// first start of the deployment, unless a value is already known.
    fn initializes_register(&self, now: ClockTime) -> bool {
        let settings = &self.settings;
        let lowest = settings.seeds.iter().min() == Some(&settings.control_address);
        settings.first_start
            && lowest
            && now.since(self.started) >= DISCOVERY_WAIT_MS
            && self.register.applied_id().is_none()
            && self.peers.borrow().alive(now).all(|record| record.status.applied.is_none())
    }

    /// Returns the replica keys of all disks whose nodes are heard, including the local one.
    pub(crate) fn reachable_disks(&self, now: ClockTime) -> BTreeSet<ReplicaKey> {
        let peers = self.peers.borrow();
        let heard = peers.heard_disks(now).map(|(address, disk)| ReplicaKey { address, disk });
        heard.chain(self.register.local_key()).collect()
    }

    /// Fetches the newest applied value of the other nodes if it is newer than the local one.
    pub(crate) fn learn_from_peers(self: &Rc<Self>, now: ClockTime) {
        let own = self.register.applied_id();
        let peers = self.peers.borrow();
        // Nodes with a disk are preferred because they have more bandwidth. Ties are broken at
        // random.
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

    /// Applies the local replica's value once the reports of a quorum show that it is chosen. If it
    /// stays undecided, starts a round that confirms it.
    fn learn_from_replicas(self: &Rc<Self>, now: ClockTime) {
        let register = &self.register;
        let applied = register.applied_id().map(|id| id.ballot);
        let accepted = register.accepted_id().map(|id| id.ballot);
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
            let jitter_ms = rand::random_range(0..UNDECIDED_JITTER_MS);
            register.undecided_since.set(Some(now.plus(jitter_ms)));
            return;
        };
        if now.since(since) > UNDECIDED_TIMEOUT_MS && !register.confirming.replace(true) {
            let node = self.clone();
            tokio::task::spawn_local(async move {
                let result = node.propose_change(&RegisterChange::Confirm, REPAIR_TIMEOUT_MS).await;
                if let Err(error) = result {
                    log::info!(target: "burdockcleat", "event=register.confirm_failed cause=\"{error}\"");
                }
                node.register.undecided_since.set(None);
                node.register.confirming.set(false);
            });
        }
    }

    /// Starts the change to the planned set of replicas, or settles the last change. Only the lowest reachable replica
    /// does so. If two nodes do it at the same time, the ballots of the rounds resolve the
    /// conflict.
    fn repair_replicas(self: &Rc<Self>, now: ClockTime) {
        let Some(applied) = self.register.applied() else { return };
        let disks = self.reachable_disks(now);
        let lowest = applied.value.replicas.intersection(&disks).next().copied();
        if lowest.is_none() || lowest != self.register.local_key() {
            return;
        }
        let change = if applied.value.settled() {
            let replicas = &applied.value.replicas;
            let planned = plan_replicas(replicas, &self.report_disks(replicas, now));
            if planned == *replicas {
                return;
            }
            RegisterChange::Replicas { from: replicas.clone(), to: planned }
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

    /// Confirms the current value, so that it is known to be chosen, and then proposes the change
    /// of replicas.
    async fn repair(self: &Rc<Self>, change: &RegisterChange) -> Result<(), super::RoundError> {
        self.propose_change(&RegisterChange::Confirm, REPAIR_TIMEOUT_MS).await?;
        self.propose_change(change, REPAIR_TIMEOUT_MS).await?;
        Ok(())
    }

    /// Returns what is known of the given replicas and of all disks that are heard.
    fn report_disks(&self, replicas: &BTreeSet<ReplicaKey>, now: ClockTime) -> Vec<DiskReport> {
        let heard = self.reachable_disks(now);
        let peers = self.peers.borrow();
        let report = |key: &ReplicaKey| {
            let key = *key;
            if self.register.local_key() == Some(key) {
                let leaving = *self.stage.borrow() != ShutdownStage::Running;
                let presence = DiskPresence::Heard { uptime_ms: now.since(self.started), leaving };
                return DiskReport { key, domain: self.settings.domain.clone(), presence };
            }
            let record = peers.get(key.address);
            let last_seen = record.map_or(self.started, |record| record.last_seen);
            let presence = match record.filter(|_| heard.contains(&key)) {
                Some(record) => DiskPresence::Heard {
                    uptime_ms: now.since(record.first_seen),
                    leaving: record.status.leaving,
                },
                None if heard.iter().any(|disk| disk.address == key.address) => DiskPresence::Gone,
                None => DiskPresence::Silent { silence_ms: now.since(last_seen) },
            };
            let domain = record.map_or_else(String::new, |record| record.status.domain.clone());
            DiskReport { key, domain, presence }
        };
        replicas.union(&heard).map(report).collect()
    }
}
