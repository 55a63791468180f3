//! Rate limits of workspaces, enforced by all nodes together in a sliding window.
//!
//! Limits a workspace that sends many times its usual amount. Every node keeps the whole window of
//! each workspace and adds the usage that the other nodes report. Reports are a fraction of a
//! second old. Each node therefore extrapolates the usage of the others at their last rate and
//! leaves part of the limit unused. A node that may be partitioned from other running nodes admits
//! only a fraction of the limit, so that both sides of a partition together stay within it
//! ([`admitted_fraction`]).
//!
//! The usage within the window outlives the processes: a restarted node restores it from a node
//! that kept running or, after all nodes have stopped, from the disks ([`WorkspaceUsage`]).

use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Identifies a workspace in reports: a hash of its name.
pub type WorkspaceKey = u32;
/// Identifies the process of a node in reports: the number in its
/// [`ProcessKey`](crate::placement::ProcessKey).
pub type ReporterKey = u64;

/// Fraction of the limit that is handed out. The rest covers rates that grow between two reports.
const USABLE_FRACTION: f64 = 0.87;
/// Time constant of the estimated rate of the other nodes, in ms. It spans a few reports.
const RATE_TIME_CONSTANT_MS: f64 = 600.0;
/// Fraction of the limit that a restarted node counts as used while it does not know the real
/// usage. It covers a workspace that was always at its limit. The rest of the window is the time
/// during which all nodes were down.
const RESTART_USED_FRACTION: f64 = 0.65;
/// Fraction of a limit that may be used before the usage is stored again. Stored usage includes this
/// amount in advance, so that it covers what is used until the next write.
const UNSAVED_FRACTION: f64 = 1.0 / 16.0;
/// Length of the bins in which usage expires from the window, in ms.
const BIN_MS: u64 = 250;

/// Fraction of reachable nodes below which a node considers itself partitioned. If more nodes are
/// reachable, the silent ones are assumed to be down: large groups lose contact with each other
/// only when they lose power.
const PARTITION_FRACTION: f64 = 0.25;

/// Returns the fraction of each allowance that a node may admit. The node reaches `reachable` of
/// `expected` nodes, both including itself. Of the nodes that it does not reach,
/// `unreachable_disks` have a disk.
///
/// Silent nodes are usually down, and their callers now send to the other nodes. Only two kinds of
/// node are partitioned while callers still reach them: nodes with a disk from each other, and
/// single nodes from all others.
pub fn admitted_fraction(reachable: usize, expected: usize, unreachable_disks: usize) -> f64 {
    let expected = expected.max(1) as f64;
    let fraction = reachable as f64 / expected;
    if fraction < PARTITION_FRACTION { fraction } else { 1.0 - unreachable_disks as f64 / expected }
}

/// Parameters of the sliding window, for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceRule {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Fraction by which the limit of a window may be exceeded.
    pub overshoot: f64,
    /// Absolute amount by which the limit may be exceeded in addition.
    pub tolerance: f64,
}

#[derive(Debug)]
struct WorkspaceWindow {
    rate_per_s: f64,
    burst: f64,
    /// Bin numbers and the amounts used in them, oldest first.
    bins: VecDeque<(u64, f64)>,
    sum: f64,
    /// Recent usage reported by the other nodes, decayed exponentially.
    reported: f64,
    reported_at: ClockTime,
    /// Reserved by the other nodes for requests that are not sent yet.
    pending_elsewhere: f64,
    /// Reserved by this node for requests that are not sent yet.
    pending: u64,
    /// Used by this node since its start.
    used: u64,
    /// Used by all nodes since the usage was stored.
    unsaved: f64,
}

/// Usage of an allowance by one process of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllowanceUsage {
    /// Amount of all requests sent to targets since the process started.
    pub used: u64,
    /// Amount reserved for requests that are not sent yet.
    pub pending: u64,
}

/// Amounts that all nodes used of the allowance of a workspace within the window.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// Workspace.
    pub key: WorkspaceKey,
    /// Ages in ms and the amounts used then, oldest first.
    pub amounts: Vec<(u32, f64)>,
}

/// Usage of a workspace as this process knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownUsage {
    /// Used by this process since its start.
    pub own: u64,
    /// Used by all nodes within the window.
    pub window: f64,
    /// Reserved by all nodes for requests that are not sent yet.
    pub pending: f64,
    /// Amount up to which requests are admitted.
    pub limit: f64,
}

/// Where the usage from before the start of a process comes from, least reliable source first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum UsageSource {
    /// Unknown: a fixed fraction of each limit counts as used.
    Assumed,
    /// Stored on a disk when the nodes stopped. It lacks what other nodes used afterwards.
    Stored,
    /// Counted by a node that has been running.
    Counted,
}

/// Tracks the sliding windows of all workspaces.
#[derive(Debug)]
pub struct AllowanceTracker {
    rule: AllowanceRule,
    windows: BTreeMap<WorkspaceKey, WorkspaceWindow>,
    reported: BTreeMap<(ReporterKey, WorkspaceKey), AllowanceUsage>,
    source: UsageSource,
    /// Bin numbers and amounts from before the start, for workspaces that are not configured yet.
    restored: BTreeMap<WorkspaceKey, VecDeque<(u64, f64)>>,
}

impl AllowanceTracker {
    /// Creates a tracker. `first_start` means that no allowance was used before.
    pub const fn new(rule: AllowanceRule, first_start: bool) -> Self {
        let source = if first_start { UsageSource::Counted } else { UsageSource::Assumed };
        Self {
            rule,
            windows: BTreeMap::new(),
            reported: BTreeMap::new(),
            source,
            restored: BTreeMap::new(),
        }
    }

    /// Returns where the usage from before the start of this process comes from.
    pub const fn source(&self) -> UsageSource {
        self.source
    }

    /// Replaces the usage from before the start of this process. What this process has used itself
    /// still counts.
    pub fn restore(&mut self, usage: &[WorkspaceUsage], source: UsageSource, now: ClockTime) {
        self.source = source;
        self.restored = usage
            .iter()
            .map(|usage| {
                let bin = |age_ms: u32| bin_number_before(&self.rule, now, age_ms.into());
                let bins = usage.amounts.iter().filter_map(|(age, sum)| Some((bin(*age)?, *sum)));
                (usage.key, bins.collect())
            })
            .collect();
        for (key, window) in &mut self.windows {
            window.replace_bins(self.restored.remove(key).unwrap_or_default());
            window.add(window.used as f64, &self.rule, now);
        }
    }

    /// Returns the usage of all nodes within the window, also of workspaces that are not configured
    /// yet.
    pub fn usage(&self, now: ClockTime) -> Vec<WorkspaceUsage> {
        let counted = self.windows.iter().map(|(key, window)| (key, &window.bins));
        let bins = counted.chain(&self.restored);
        bins.filter_map(|(key, bins)| workspace_usage(*key, bins, &self.rule, now)).collect()
    }

    /// Returns the usage to store, if enough has been used since the last time. It includes
    /// reservations and the amounts that may be used before it is stored again.
    pub fn usage_to_store(&mut self, now: ClockTime) -> Option<Vec<WorkspaceUsage>> {
        let rule = &self.rule;
        let full = |w: &WorkspaceWindow| w.unsaved >= w.limit(rule) * UNSAVED_FRACTION;
        if !self.windows.values().any(full) {
            return None;
        }
        let mut stored = self.usage(now);
        for usage in &mut stored {
            let Some(window) = self.windows.get_mut(&usage.key) else { continue };
            window.unsaved = 0.0;
            let reserved = window.pending as f64 + window.pending_elsewhere;
            usage.amounts.push((0, reserved + window.limit(&self.rule) * UNSAVED_FRACTION));
        }
        Some(stored)
    }

    /// Sets the allowance of a workspace. Returns true if it is new or changed.
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
            unsaved: 0.0,
        };
        match self.restored.remove(&key) {
            Some(bins) => window.replace_bins(bins),
            None if self.source == UsageSource::Assumed => {
                window.fill(window.limit(&self.rule) * RESTART_USED_FRACTION, &self.rule, now);
            }
            None => {}
        }
        self.windows.insert(key, window);
        true
    }

    /// Reserves `amount` in the window of a workspace. `fraction` is the fraction of the limit that
    /// this node may admit, and `lag_ms` is the age of the other nodes' reports.
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
        // A request larger than the whole limit is admitted when the window is empty.
        if excess > 0.0 && taken > 0.0 {
            return Err(window.wait_ms(excess, &self.rule, now));
        }
        window.pending += amount;
        Ok(())
    }

    /// Turns a reservation into usage when the request is sent to a target.
    pub fn commit(&mut self, key: WorkspaceKey, amount: u64, now: ClockTime) {
        if let Some(window) = self.windows.get_mut(&key) {
            window.pending = window.pending.saturating_sub(amount);
            window.add(amount as f64, &self.rule, now);
            window.used += amount;
        }
    }

    /// Releases the reservation of a request that was not sent.
    pub fn release(&mut self, key: WorkspaceKey, amount: u64) {
        if let Some(window) = self.windows.get_mut(&key) {
            window.pending = window.pending.saturating_sub(amount);
        }
    }

    /// Applies a report of the usage by another node's process. `from_start` means that this node
    /// has received the reports of the process since the process started, so that the first one
    /// counts in full. Otherwise the first report only sets the baseline of its usage.
    pub fn apply_report(
        &mut self,
        from: ReporterKey,
        key: WorkspaceKey,
        usage: AllowanceUsage,
        from_start: bool,
        now: ClockTime,
    ) {
        let last = self.reported.insert((from, key), usage);
        let unknown = AllowanceUsage { used: if from_start { 0 } else { usage.used }, pending: 0 };
        let base = last.unwrap_or(unknown);
        let Some(window) = self.windows.get_mut(&key) else { return };
        let used = usage.used.saturating_sub(base.used) as f64;
        let pending = usage.pending as f64 - base.pending as f64;
        window.add(used, &self.rule, now);
        window.pending_elsewhere = (window.pending_elsewhere + pending).max(0.0);
        window.reported =
            (window.reported_rate(now) * RATE_TIME_CONSTANT_MS + used + pending).max(0.0);
        window.reported_at = now;
    }

    /// Returns the usage of a workspace, for logs. `None` if it is not configured.
    pub fn known_usage(&mut self, key: WorkspaceKey, now: ClockTime) -> Option<KnownUsage> {
        let window = self.windows.get_mut(&key)?;
        window.expire(&self.rule, now);
        Some(KnownUsage {
            own: window.used,
            window: window.sum,
            pending: window.pending as f64 + window.pending_elsewhere,
            limit: window.limit(&self.rule),
        })
    }

    /// Returns the usage by this node, for its own reports.
    pub fn totals(&self) -> Vec<(WorkspaceKey, AllowanceUsage)> {
        self.windows
            .iter()
            .filter(|(_, window)| window.used > 0 || window.pending > 0)
            .map(|(key, window)| {
                (*key, AllowanceUsage { used: window.used, pending: window.pending })
            })
            .collect()
    }

    /// Drops the reports of processes that are gone, including their reservations.
    pub fn retain_reporters<K: Fn(ReporterKey) -> bool>(&mut self, keep: K) {
        let windows = &mut self.windows;
        self.reported.retain(|(from, key), usage| {
            let kept = keep(*from);
            if let Some(window) = windows.get_mut(key).filter(|_| !kept) {
                let left = window.pending_elsewhere - usage.pending as f64;
                window.pending_elsewhere = left.max(0.0);
            }
            kept
        });
    }
}

/// Returns the number of the bin that contains `now`. The clock starts with the process, so bins
/// are counted from one window before that.
fn bin_number(rule: &AllowanceRule, now: ClockTime) -> u64 {
    (now.as_ms() + rule.window_ms) / BIN_MS
}

/// Returns the number of the bin that contains the time `age_ms` before `now`. `None` if that time
/// is outside the window.
fn bin_number_before(rule: &AllowanceRule, now: ClockTime, age_ms: u64) -> Option<u64> {
    (age_ms <= rule.window_ms).then(|| (now.as_ms() + rule.window_ms - age_ms) / BIN_MS)
}

/// Returns the amounts of the bins within the window that ends at `now`. `None` if there are none.
fn workspace_usage(
    key: WorkspaceKey,
    bins: &VecDeque<(u64, f64)>,
    rule: &AllowanceRule,
    now: ClockTime,
) -> Option<WorkspaceUsage> {
    let now_bin = bin_number(rule, now);
    let age_ms = |bin: u64| u32::try_from(now_bin.saturating_sub(bin) * BIN_MS).ok();
    let aged = bins.iter().filter_map(|(bin, amount)| Some((age_ms(*bin)?, *amount)));
    let amounts: Vec<_> = aged.filter(|(age_ms, _)| u64::from(*age_ms) <= rule.window_ms).collect();
    (!amounts.is_empty()).then_some(WorkspaceUsage { key, amounts })
}

impl WorkspaceWindow {
    fn limit(&self, rule: &AllowanceRule) -> f64 {
        let seconds = rule.window_ms as f64 / 1_000.0;
        let agreed = self.rate_per_s * seconds + self.burst;
        (agreed * (1.0 + rule.overshoot) + rule.tolerance) * USABLE_FRACTION
    }

    /// Estimates the rate at which the other nodes use the allowance, per ms.
    fn reported_rate(&self, now: ClockTime) -> f64 {
        let decay = (-(now.since(self.reported_at) as f64) / RATE_TIME_CONSTANT_MS).exp();
        (self.reported * decay / RATE_TIME_CONSTANT_MS).max(0.0)
    }

    fn add(&mut self, amount: f64, rule: &AllowanceRule, now: ClockTime) {
        self.unsaved += amount;
        self.add_to_bin(amount, bin_number(rule, now));
    }

    fn replace_bins(&mut self, bins: VecDeque<(u64, f64)>) {
        self.sum = bins.iter().map(|(_, amount)| amount).sum();
        self.bins = bins;
    }

    fn add_to_bin(&mut self, amount: f64, bin: u64) {
        self.sum += amount;
        match self.bins.back_mut() {
            Some((last, sum)) if *last == bin => *sum += amount,
            _ => self.bins.push_back((bin, amount)),
        }
    }

    /// Spreads an amount evenly over the window that ends at `now`.
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

    /// Returns the time until `excess` has expired from the window, in ms.
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
