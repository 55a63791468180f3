//! Allowances of workspaces, counted over all nodes in a sliding window.
//!
//! Answers a workspace that sends many times its usual. Every node keeps the whole window of each
//! workspace and takes in what the other nodes report to have used. Reports are a fraction of a
//! second old, so each node adds what the others have used since, at their last rate, and keeps a
//! part of the window free; a node that may be cut off from others which go on admits only a part, so
//! that both sides together stay within the allowance ([`admitted_part`]).

use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Key of a workspace in reports: a hash of its name.
pub type WorkspaceKey = u32;
/// Key of a node's process in reports.
pub type ReporterKey = u64;

/// Part of the window's limit that is used; the rest covers rates that grow between two reports.
const USABLE_FRACTION: f64 = 0.87;
/// Time constant of the rate at which the others use an allowance, in ms: a few reports.
const RATE_TIME_CONSTANT_MS: f64 = 600.0;
/// Part of the limit that a restarted node takes as used, since it does not know what was: what a
/// workspace uses that is always at its limit, but for the time in which all nodes were down.
const RESTART_USED_FRACTION: f64 = 0.65;
/// Length of the steps in which usage leaves the window, in ms.
const BIN_MS: u64 = 250;

/// Part of the nodes below which a node takes itself for cut off: larger groups do not lose each
/// other without losing power.
const PARTITION_FRACTION: f64 = 0.25;

/// Part of the allowances that a node may admit which hears `heard` of `expected` nodes, both with
/// itself, and misses `silent_disks` nodes with a disk.
///
/// Silent nodes are mostly down, and what they admitted comes to the others now. Only nodes with a
/// disk are cut off from each other while all callers reach them, and single nodes from all others.
pub fn admitted_fraction(heard: usize, expected: usize, silent_disks: usize) -> f64 {
    let expected = expected.max(1) as f64;
    let fraction = heard as f64 / expected;
    if fraction < PARTITION_FRACTION { fraction } else { 1.0 - silent_disks as f64 / expected }
}

/// How an allowance is counted, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceRule {
    /// Length of the window, in ms.
    pub window_ms: u64,
    /// Part by which the limit of a window may be exceeded.
    pub overshoot: f64,
    /// Amount by which it may be exceeded besides.
    pub tolerance: f64,
}

#[derive(Debug)]
struct WorkspaceWindow {
    rate_per_s: f64,
    burst: f64,
    /// Amounts by the end of their bin, oldest first.
    bins: VecDeque<(u64, f64)>,
    sum: f64,
    /// Reported by the others lately, decayed.
    reported: f64,
    reported_at: ClockTime,
    /// Taken at the other nodes for requests that are not sent yet.
    pending_elsewhere: f64,
    /// Taken at this node for requests that are not sent yet.
    pending: u64,
    /// Used by this node since its start.
    used: u64,
}

/// What a node's process has taken from an allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllowanceUsage {
    /// Sent to targets since the start of the process.
    pub used: u64,
    /// Taken for requests that are not sent yet.
    pub pending: u64,
}

/// Windows of all workspaces.
#[derive(Debug)]
pub struct AllowanceTracker {
    rule: AllowanceRule,
    windows: BTreeMap<WorkspaceKey, WorkspaceWindow>,
    reported: BTreeMap<(ReporterKey, WorkspaceKey), AllowanceUsage>,
    first_start: bool,
}

impl AllowanceTracker {
    /// Creates a ledger. `first_start` tells that nothing was used before.
    pub const fn new(rule: AllowanceRule, first_start: bool) -> Self {
        Self { rule, windows: BTreeMap::new(), reported: BTreeMap::new(), first_start }
    }

    /// Sets the allowance of a workspace. Returns whether it is new or changed.
    pub fn configure(
        &mut self,
        key: WorkspaceKey,
        rate_per_s: f64,
        burst: f64,
        now: ClockTime,
    ) -> bool {
        if let Some(window) = self.windows.get_mut(&key) {
            let changed = (window.rate_per_s, window.burst) != (rate_per_s, burst);
            (window.rate_per_s, window.burst) = (rate_per_s, burst);
            return changed;
        }
        let mut window = WorkspaceWindow {
            rate_per_s,
            burst,
            bins: VecDeque::new(),
            sum: 0.0,
            reported: 0.0,
            reported_at: now,
            pending_elsewhere: 0.0,
            pending: 0,
            used: 0,
        };
        if !self.first_start {
            window.fill(window.limit(&self.rule) * RESTART_USED_FRACTION, &self.rule, now);
        }
        self.windows.insert(key, window);
        true
    }

    /// Takes `amount` from a workspace's window. `part` is the share of the nodes, this one
    /// included, that this node hears of, and `lag_ms` the age of their reports.
    ///
    /// # Errors
    /// Returns the time in ms after which the amount is expected to be available.
    pub fn reserve(
        &mut self,
        key: WorkspaceKey,
        amount: u64,
        fraction: f64,
        lag_ms: u64,
        now: ClockTime,
    ) -> Result<(), u64> {
        let Some(window) = self.windows.get_mut(&key) else { return Ok(()) };
        window.expire(&self.rule, now);
        let limit = window.limit(&self.rule) * fraction;
        let unreported = window.reported_rate(now) * lag_ms as f64;
        let taken = window.sum + window.pending as f64 + window.pending_elsewhere + unreported;
        let excess = taken + amount as f64 - limit;
        // A request larger than the whole limit is let through once nothing else is in the window.
        if excess > 0.0 && taken > 0.0 {
            return Err(window.wait_ms(excess, &self.rule, now));
        }
        window.pending += amount;
        Ok(())
    }

    /// Counts what a request took as used: it is sent to a target now.
    pub fn commit(&mut self, key: WorkspaceKey, amount: u64, now: ClockTime) {
        if let Some(window) = self.windows.get_mut(&key) {
            window.pending = window.pending.saturating_sub(amount);
            window.add(amount as f64, &self.rule, now);
            window.used += amount;
        }
    }

    /// Gives back what a request took that was not sent.
    pub fn release(&mut self, key: WorkspaceKey, amount: u64) {
        if let Some(window) = self.windows.get_mut(&key) {
            window.pending = window.pending.saturating_sub(amount);
        }
    }

    /// Takes in what another node's process has taken. `from_start` tells that this node has heard
    /// the process since its start; else its first report only sets the base of what it used.
    pub fn apply_report(
        &mut self,
        from: ReporterKey,
        key: WorkspaceKey,
        taken: AllowanceUsage,
        from_start: bool,
        now: ClockTime,
    ) {
        let last = self.reported.insert((from, key), taken);
        let unknown = AllowanceUsage { used: if from_start { 0 } else { taken.used }, pending: 0 };
        let base = last.unwrap_or(unknown);
        let Some(window) = self.windows.get_mut(&key) else { return };
        let used = taken.used.saturating_sub(base.used) as f64;
        let pending = taken.pending as f64 - base.pending as f64;
        window.add(used, &self.rule, now);
        window.pending_elsewhere = (window.pending_elsewhere + pending).max(0.0);
        window.reported =
            (window.reported_rate(now) * RATE_TIME_CONSTANT_MS + used + pending).max(0.0);
        window.reported_at = now;
    }

    /// What this node has taken, for its own reports.
    pub fn totals(&self) -> Vec<(WorkspaceKey, AllowanceUsage)> {
        self.windows
            .iter()
            .filter(|(_, window)| window.used > 0 || window.pending > 0)
            .map(|(key, window)| {
                (*key, AllowanceUsage { used: window.used, pending: window.pending })
            })
            .collect()
    }

    /// Forgets the reports of processes that are gone, with what was pending there.
    pub fn retain_reporters<K: Fn(ReporterKey) -> bool>(&mut self, keep: K) {
        let windows = &mut self.windows;
        self.reported.retain(|(from, key), taken| {
            let kept = keep(*from);
            if let Some(window) = windows.get_mut(key).filter(|_| !kept) {
                let left = window.pending_elsewhere - taken.pending as f64;
                window.pending_elsewhere = left.max(0.0);
            }
            kept
        });
    }
}

/// Number of the bin of a time. The clock starts with the process, so bins are counted from one window
/// before that.
fn bin_number(rule: &AllowanceRule, now: ClockTime) -> u64 {
    (now.as_ms() + rule.window_ms) / BIN_MS
}

impl WorkspaceWindow {
    fn limit(&self, rule: &AllowanceRule) -> f64 {
        let seconds = rule.window_ms as f64 / 1_000.0;
        let agreed = self.rate_per_s * seconds + self.burst;
        (agreed * (1.0 + rule.overshoot) + rule.tolerance) * USABLE_FRACTION
    }

    /// Rate at which the others use the allowance, per ms.
    fn reported_rate(&self, now: ClockTime) -> f64 {
        let decay = (-(now.since(self.reported_at) as f64) / RATE_TIME_CONSTANT_MS).exp();
        (self.reported * decay / RATE_TIME_CONSTANT_MS).max(0.0)
    }

    fn add(&mut self, amount: f64, rule: &AllowanceRule, now: ClockTime) {
        self.add_to_bin(amount, bin_number(rule, now));
    }

    fn add_to_bin(&mut self, amount: f64, bin: u64) {
        self.sum += amount;
        match self.bins.back_mut() {
            Some((last, sum)) if *last == bin => *sum += amount,
            _ => self.bins.push_back((bin, amount)),
        }
    }

    /// Spreads an amount over the window before `now`.
    fn fill(&mut self, amount: f64, rule: &AllowanceRule, now: ClockTime) {
        let steps = (rule.window_ms / BIN_MS).max(1);
        let last = bin_number(rule, now);
        for bin in last.saturating_sub(steps) + 1..=last {
            self.add_to_bin(amount / steps as f64, bin);
        }
    }

    fn expire(&mut self, rule: &AllowanceRule, now: ClockTime) {
        let window_bins = rule.window_ms / BIN_MS + 1;
        let now_bin = bin_number(rule, now);
        while let Some((bin, amount)) = self.bins.front()
            && bin + window_bins <= now_bin
        {
            self.sum -= amount;
            self.bins.pop_front();
        }
        if self.bins.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Time until `excess` has left the window, in ms.
    fn wait_ms(&self, excess: f64, rule: &AllowanceRule, now: ClockTime) -> u64 {
        let mut left = excess;
        for (bin, amount) in &self.bins {
            left -= amount;
            if left <= 0.0 {
                let leaves = (bin + 1) * BIN_MS;
                return leaves.saturating_sub(now.as_ms()).max(BIN_MS);
            }
        }
        rule.window_ms
    }
}
