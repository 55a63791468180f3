//! Rate limits of workspaces, enforced by all nodes together in a sliding window.
//!
//! Limits a workspace that sends many times its usual amount. Every node keeps the whole window of
//! each workspace and adds the usage that the other nodes report. Reports are a fraction of a
//! second old. Each node therefore extrapolates the usage of the others at their last rate and
//! leaves part of the limit unused. While some nodes are not heard, guaranteed parts of the limit
//! keep those that are cut off and the others together within it ([`NodeView`]).
//!
//! The usage within the window outlives the processes: a restarted node restores it from a node
//! that kept running or, after all nodes have stopped, from the disks ([`WorkspaceUsage`]).

mod reporter;
mod view;
mod window;

pub use view::NodeView;

use burdockcleat_core::clock::ClockTime;
use reporter::UsageReporter;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use window::{BIN_MS, UsageBins, WindowSum, WorkspaceWindow, bin_number, bin_number_before};

/// Identifies a workspace in reports: a hash of its name.
pub type WorkspaceKey = u32;
/// Identifies the process of a node in reports: the number in its
/// [`ProcessKey`](crate::placement::ProcessKey).
pub type ReporterKey = u64;

/// Fraction of the limit that a restarted node counts as used while it does not know the real
/// usage. It covers a workspace that was always at its limit. The rest of the window is the time
/// during which all nodes were down.
const RESTART_USED_FRACTION: f64 = 0.65;
/// Fraction of a limit that may be used before the usage is stored again. Stored usage includes this
/// amount in advance, so that it covers what is used until the next write.
const UNSAVED_FRACTION: f64 = 1.0 / 16.0;

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
    pub pending: u64,
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
    reporters: BTreeMap<(WorkspaceKey, ReporterKey), UsageReporter>,
    source: UsageSource,
    /// Amounts from before the start, for workspaces that are not configured yet.
    restored: BTreeMap<WorkspaceKey, UsageBins>,
}

impl AllowanceTracker {
    /// Creates a tracker. `first_start` means that no allowance was used before.
    pub const fn new(rule: AllowanceRule, first_start: bool) -> Self {
        let source = if first_start { UsageSource::Counted } else { UsageSource::Assumed };
        Self {
            rule,
            windows: BTreeMap::new(),
            reporters: BTreeMap::new(),
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
            window.all = WindowSum::new(self.restored.remove(key).unwrap_or_default());
            window.add(window.used as f64, &self.rule, now);
        }
    }

    /// Returns the usage of all nodes within the window, also of workspaces that are not configured
    /// yet.
    pub fn usage(&self, now: ClockTime) -> Vec<WorkspaceUsage> {
        let counted = self.windows.iter().map(|(key, window)| (key, &window.all.bins));
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
            let elsewhere = self.reporters.range(reporter_range(usage.key));
            let elsewhere: u64 = elsewhere.map(|(_, reporter)| reporter.usage.pending).sum();
            let reserved = (window.pending + elsewhere) as f64;
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
        let mut window = WorkspaceWindow::new(rate_per_s, burst, now);
        match self.restored.remove(&key) {
            Some(bins) => window.all = WindowSum::new(bins),
            None if self.source == UsageSource::Assumed => {
                window.fill(window.limit(&self.rule) * RESTART_USED_FRACTION, &self.rule, now);
            }
            None => {}
        }
        self.windows.insert(key, window);
        true
    }

    /// Reserves `amount` in the window of a workspace.
    ///
    /// # Errors
    /// Returns the time in ms after which the amount is expected to be available.
    pub fn reserve(
        &mut self,
        key: WorkspaceKey,
        amount: u64,
        view: &NodeView,
        now: ClockTime,
    ) -> Result<(), u64> {
        let Some(window) = self.windows.get_mut(&key) else { return Ok(()) };
        window.expire(&self.rule, now);
        let limit = window.limit(&self.rule);
        let guaranteed = view.guaranteed(limit);
        let own_pending = window.pending as f64;
        if view.is_restricted() && window.own.sum + own_pending + amount as f64 > guaranteed {
            return Err(BIN_MS);
        }
        let interval_ms = view.report_interval_ms;
        let (mut outstanding, mut last_rate, mut heard) = (0.0, 0.0, false);
        let (mut unreported, mut unheard) = (0.0, view.absent());
        for (_, reporter) in self.reporters.range_mut(reporter_range(key)) {
            reporter.expire(&self.rule, now);
            let silent = reporter.age_ms(now) > view.silence_ms;
            if silent || reporter.restricted {
                let unheard_ms = if silent { view.silence_ms } else { interval_ms };
                unreported += reporter.unreported(guaranteed, unheard_ms, &self.rule, now);
                unheard = unheard.saturating_sub(1);
            } else {
                heard = true;
                last_rate += reporter.last_rate();
                outstanding += reporter.usage.pending as f64;
                outstanding += reporter.overdue(interval_ms, &self.rule, now);
            }
        }
        if heard {
            let expected = window.outstanding(last_rate, interval_ms, &self.rule, now);
            outstanding += expected.max(window.simultaneous(view.reachable, interval_ms, now));
        }
        unreported += guaranteed * unheard as f64;
        let taken = window.all.sum + own_pending + outstanding;
        let excess = taken + unreported + amount as f64 - limit;
        // A request larger than the whole limit is admitted when the window is empty.
        if excess > 0.0 && taken > 0.0 {
            return Err(window.all.wait_ms(excess, &self.rule, now));
        }
        window.reserve(amount, interval_ms, now);
        Ok(())
    }

    /// Turns a reservation into usage when the request is sent to a target.
    pub fn commit(&mut self, key: WorkspaceKey, amount: u64, now: ClockTime) {
        if let Some(window) = self.windows.get_mut(&key) {
            window.pending = window.pending.saturating_sub(amount);
            window.add_own(amount, &self.rule, now);
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
    /// counts in full. Otherwise the first report only sets the baseline of its usage. `restricted`
    /// means that the node admits only its guaranteed part.
    pub fn apply_report(
        &mut self,
        from: ReporterKey,
        key: WorkspaceKey,
        usage: AllowanceUsage,
        from_start: bool,
        restricted: bool,
        now: ClockTime,
    ) {
        let reporter = self.reporters.entry((key, from)).or_insert_with(|| {
            let used = if from_start { 0 } else { usage.used };
            UsageReporter::new(AllowanceUsage { used, pending: 0 }, now)
        });
        let change = reporter.update(usage, restricted, &self.rule, now);
        if let Some(window) = self.windows.get_mut(&key) {
            window.add_reported(change, &self.rule, now);
        }
    }

    /// Returns the usage of a workspace, for logs. `None` if it is not configured.
    pub fn known_usage(&mut self, key: WorkspaceKey, now: ClockTime) -> Option<KnownUsage> {
        let window = self.windows.get_mut(&key)?;
        window.expire(&self.rule, now);
        let elsewhere = self.reporters.range(reporter_range(key));
        let elsewhere: u64 = elsewhere.map(|(_, reporter)| reporter.usage.pending).sum();
        Some(KnownUsage {
            own: window.used,
            window: window.all.sum,
            pending: window.pending + elsewhere,
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

    /// Drops the reports of processes that are gone, including their reservations, and what has left
    /// the windows of the others.
    pub fn retain_reporters<K: Fn(ReporterKey) -> bool>(&mut self, keep: K, now: ClockTime) {
        self.reporters.retain(|(_, from), reporter| {
            reporter.expire(&self.rule, now);
            keep(*from)
        });
    }
}

/// Returns the keys of the reporters of a workspace.
const fn reporter_range(key: WorkspaceKey) -> RangeInclusive<(WorkspaceKey, ReporterKey)> {
    (key, ReporterKey::MIN)..=(key, ReporterKey::MAX)
}

/// Returns the amounts of the bins within the window that ends at `now`. `None` if there are none.
fn workspace_usage(
    key: WorkspaceKey,
    bins: &UsageBins,
    rule: &AllowanceRule,
    now: ClockTime,
) -> Option<WorkspaceUsage> {
    let now_bin = bin_number(rule, now);
    let age_ms = |bin: u64| u32::try_from(now_bin.saturating_sub(bin) * BIN_MS).ok();
    let aged = bins.iter().filter_map(|(bin, amount)| Some((age_ms(*bin)?, *amount)));
    let amounts: Vec<_> = aged.filter(|(age_ms, _)| u64::from(*age_ms) <= rule.window_ms).collect();
    (!amounts.is_empty()).then_some(WorkspaceUsage { key, amounts })
}
