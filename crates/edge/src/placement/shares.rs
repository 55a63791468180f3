//! Shares of workspaces in the slot time of one service (weighted fair queueing).
//!
//! Each workspace has an account per rank of the slot time that it asked for and was granted
//! lately. What is granted to all of them is divided max-min fairly by weight. The place of a waiting
//! request follows from the slot time granted to its workspace and from the requests of the
//! workspace that wait ahead of it, relative to the share.
//!
//! The share in a rank counts all slot time of that rank and of the ranks above it. Requests of
//! lower ranks, which may never be granted, therefore do not change the order in the ranks above.

use super::features::PlacementFeatures;
use super::queue::{QUEUE_FACTORS_RANGE, WaitingRequest};
use burdockcleat_core::clock::ClockTime;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};

/// Time constant of the accounts, in ms. Below the shortest deadline of the callers (3 s and more),
/// so that a burst of a workspace shows before its requests have filled the queue, and a new
/// coordinator's accounts are right within a few seconds.
const TIME_CONSTANT_MS: f64 = 3_000.0;
/// Time between two computations of the shares, in ms.
const UPDATE_MS: u64 = 50;
/// Largest cost factor; the smallest is its inverse.
const MAX_FACTOR: f64 = 1.6;
/// Minimum slot time that is divided, as a fraction of that of all slots within the time constant.
/// A new coordinator has not granted anything yet.
const MIN_SUPPLY_FRACTION: f64 = 0.1;
/// Slot time below which an account without waiting requests is removed, in ms.
const MIN_LOAD_MS: f64 = 0.01;

/// Largest quotient of two cost factors.
pub(super) const SHARE_FACTORS_RANGE: f64 = MAX_FACTOR * MAX_FACTOR;

const _: () = assert!(SHARE_FACTORS_RANGE < QUEUE_FACTORS_RANGE);

slotmap::new_key_type! {
    /// Key of the account of a workspace in a rank.
    pub(super) struct AccountKey;
}

/// Place of a request among those of its workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShareTurn {
    pub(super) account: AccountKey,
    /// Slot time of the requests that entered the queue before it, in ms.
    entered_ms: f64,
}

impl ShareTurn {
    /// Returns the place behind further requests of the workspace with `load_ms` of slot time.
    pub(super) fn after(self, load_ms: f64) -> Self {
        Self { entered_ms: self.entered_ms + load_ms, ..self }
    }
}

#[derive(Debug, Default)]
struct ShareAccount {
    workspace: u32,
    rank: u32,
    weight: f64,
    /// Decayed slot time that was asked for and granted in this rank, in ms.
    asked_ms: f64,
    granted_ms: f64,
    /// Granted slot time of the workspace in this rank and those above it, in ms.
    used_ms: f64,
    /// Share of the workspace in this rank and those above it, in ms.
    share_ms: f64,
    waiting: u32,
    /// Slot time of all requests that ever entered or left the queue, in ms.
    entered_ms: f64,
    left_ms: f64,
}

impl ShareAccount {
    /// Returns the slot time of the workspace ahead of a request, relative to the share.
    fn relative_use(&self, entered_ms: f64) -> f64 {
        (self.used_ms + (entered_ms - self.left_ms).max(0.0)) / self.share_ms.max(f64::EPSILON)
    }
}

/// A workspace that asks for more than its share of a service while its requests wait.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareExcess {
    /// Service of the requests.
    pub service: String,
    /// Key of the workspace.
    pub workspace: u32,
    /// Slots that its recent requests need.
    pub asked: f64,
    /// Slots that it was granted.
    pub granted: f64,
    /// Slots that are its share.
    pub share: f64,
}

/// Accounts of the workspaces that use one service.
#[derive(Debug, Default)]
pub(super) struct WorkspaceShares {
    accounts: SlotMap<AccountKey, ShareAccount>,
    /// Accounts by workspace and rank.
    keys: BTreeMap<(u32, u32), AccountKey>,
    /// Time to which the accounts are decayed; `None` before the first update.
    updated: Option<ClockTime>,
}

impl WorkspaceShares {
    /// Counts what a request asks for and returns its place, or `None` if it belongs to no
    /// workspace or workspaces have no shares.
    pub(super) fn count_arrival(
        &mut self,
        waiting: &WaitingRequest,
        features: PlacementFeatures,
    ) -> Option<ShareTurn> {
        let (request, load_ms) = (&waiting.request, waiting.load_ms);
        let workspace = request.workspace.filter(|_| features.workspace_shares)?;
        let rank = request.rank;
        let weight = f64::from(request.share);
        let weight = if weight.is_finite() && weight > 0.0 { weight } else { 1.0 };
        let accounts = &mut self.accounts;
        let key = *self.keys.entry((workspace, rank)).or_insert_with(|| {
            // One request's load is the share until the next update.
            let share_ms = load_ms;
            accounts.insert(ShareAccount { workspace, rank, share_ms, ..ShareAccount::default() })
        });
        let account = &mut self.accounts[key];
        account.weight = weight;
        account.asked_ms += load_ms;
        Some(ShareTurn { account: key, entered_ms: account.entered_ms })
    }

    /// Counts a request that was granted a target.
    pub(super) fn count_grant(&mut self, waiting: &WaitingRequest) {
        let (turn, load_ms) = (waiting.turn, waiting.load_ms);
        let Some(account) = turn.and_then(|turn| self.accounts.get_mut(turn.account)) else {
            return;
        };
        account.granted_ms += load_ms;
        let (workspace, rank) = (account.workspace, account.rank);
        for (_, key) in self.keys.range((workspace, rank)..=(workspace, u32::MAX)) {
            self.accounts[*key].used_ms += load_ms;
        }
    }

    /// Counts a request that enters the queue.
    pub(super) fn enter(&mut self, waiting: &WaitingRequest) {
        if let Some(account) = waiting.turn.and_then(|turn| self.accounts.get_mut(turn.account)) {
            account.waiting += 1;
            account.entered_ms += waiting.load_ms;
        }
    }

    /// Counts a request that leaves the queue, whether it is granted or not.
    pub(super) fn leave(&mut self, waiting: &WaitingRequest) {
        if let Some(account) = waiting.turn.and_then(|turn| self.accounts.get_mut(turn.account)) {
            account.waiting = account.waiting.saturating_sub(1);
            account.left_ms += waiting.load_ms;
        }
    }

    /// Returns the cost factor of a request: 1 at the share of its workspace, below 1 for less and
    /// above 1 for more.
    pub(super) fn factor(&self, turn: Option<ShareTurn>) -> f64 {
        let account = turn.and_then(|turn| Some((self.accounts.get(turn.account)?, turn)));
        account.map_or(1.0, |(account, turn)| cost_factor(account.relative_use(turn.entered_ms)))
    }

    /// Returns the cost factor of the next request to arrive for an account.
    pub(super) fn next_factor(&self, key: Option<AccountKey>) -> f64 {
        let account = key.and_then(|key| self.accounts.get(key));
        account.map_or(1.0, |account| cost_factor(account.relative_use(account.entered_ms)))
    }

    /// Decays the accounts and computes the shares, if that is due. `slots` is the number of usable
    /// slots of mean speed.
    pub(super) fn update(&mut self, slots: f64, now: ClockTime) {
        let elapsed_ms = self.updated.map_or(u64::MAX, |updated| now.since(updated));
        if self.accounts.is_empty() || elapsed_ms < UPDATE_MS {
            return;
        }
        let decay = self.updated.map_or(1.0, |_| (-(elapsed_ms as f64) / TIME_CONSTANT_MS).exp());
        self.updated = Some(now);
        for account in self.accounts.values_mut() {
            account.asked_ms *= decay;
            account.granted_ms *= decay;
        }
        self.accounts.retain(|_, account| account.waiting > 0 || account.asked_ms > MIN_LOAD_MS);
        let accounts = &self.accounts;
        self.keys.retain(|_, key| accounts.contains_key(*key));
        let ranks: BTreeSet<u32> = self.keys.keys().map(|(_, rank)| *rank).collect();
        for rank in ranks {
            self.compute_shares(rank, slots * TIME_CONSTANT_MS * MIN_SUPPLY_FRACTION);
        }
    }

    /// Computes the shares in a rank from what was asked for and granted up to that rank.
    fn compute_shares(&mut self, rank: u32, min_supply_ms: f64) {
        let mut demands: BTreeMap<u32, ShareDemand> = BTreeMap::new();
        for account in self.accounts.values().filter(|account| account.rank <= rank) {
            let demand = demands.entry(account.workspace).or_default();
            demand.asked_ms += account.asked_ms;
            demand.granted_ms += account.granted_ms;
            demand.weight = demand.weight.max(account.weight);
        }
        let granted_ms: f64 = demands.values().map(|demand| demand.granted_ms).sum();
        let level = fair_level(demands.values().copied().collect(), granted_ms.max(min_supply_ms));
        for account in self.accounts.values_mut().filter(|account| account.rank == rank) {
            let demand = demands[&account.workspace];
            account.used_ms = demand.granted_ms;
            account.share_ms = demand.weight * level;
        }
    }

    /// Returns the workspaces with waiting requests that ask for more than their share, by what they
    /// ask for in all ranks up to the lowest one in which they wait.
    pub(super) fn excesses(&self, service: &str) -> Vec<ShareExcess> {
        let mut excesses = BTreeMap::new();
        for account in self.keys.values().map(|key| &self.accounts[*key]) {
            let up_to_rank = (account.workspace, 0)..=(account.workspace, account.rank);
            let accounts = self.keys.range(up_to_rank).map(|(_, key)| &self.accounts[*key]);
            let asked_ms: f64 = accounts.map(|account| account.asked_ms).sum();
            if account.waiting > 0 && asked_ms > account.share_ms {
                let excess = ShareExcess {
                    service: service.to_owned(),
                    workspace: account.workspace,
                    asked: asked_ms / TIME_CONSTANT_MS,
                    granted: account.used_ms / TIME_CONSTANT_MS,
                    share: account.share_ms / TIME_CONSTANT_MS,
                };
                excesses.insert(account.workspace, excess);
            }
        }
        excesses.into_values().collect()
    }
}

/// What a workspace asked for and was granted in a rank and those above it, in ms of slot time.
#[derive(Clone, Copy, Debug, Default)]
struct ShareDemand {
    asked_ms: f64,
    granted_ms: f64,
    weight: f64,
}

impl ShareDemand {
    /// Returns the slot time asked for by unit of weight.
    fn level(&self) -> f64 {
        self.asked_ms / self.weight.max(f64::EPSILON)
    }
}

/// Returns the slot time for each unit of weight if `supply_ms` is divided max-min fairly: no
/// workspace gets more than it asks for, and those that ask for more get the same.
fn fair_level(mut demands: Vec<ShareDemand>, supply_ms: f64) -> f64 {
    demands.sort_by(|left, right| left.level().total_cmp(&right.level()));
    let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut left_ms = supply_ms;
    for demand in &demands {
        let level = left_ms / weight.max(f64::EPSILON);
        if demand.level() >= level {
            return level;
        }
        left_ms -= demand.asked_ms;
        weight -= demand.weight;
    }
    demands.last().map_or(0.0, ShareDemand::level)
}

/// Returns the cost factor for a use relative to the share. It rises throughout, so that the order
/// follows from the use also far beyond the share.
fn cost_factor(relative_use: f64) -> f64 {
    // Keeps the quotient finite while a new account has no share.
    let relative_use = relative_use.min(1e6);
    MAX_FACTOR.mul_add(relative_use, 1.0) / (MAX_FACTOR + relative_use)
}
