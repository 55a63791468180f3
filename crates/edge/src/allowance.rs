//! Allowances of workspaces, counted over all nodes.
//!
//! Every node keeps the whole bucket of each workspace and takes in what the other nodes report to
//! have used. Reports are a fraction of a second old; a node that hears only part of the others
//! refills only that part, so that halves which cannot reach each other do not use the rate twice.

use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Key of a workspace in reports: a hash of its name.
pub type WorkspaceKey = u32;
/// Key of a node's process in reports.
pub type ReporterKey = u64;

/// Part of the burst that a node has at its start, since it does not know what was used before.
const START_PART: f64 = 0.5;
/// Part of the rate by which a bucket may be overdrawn before requests are refused: covers reports
/// that are on their way.
const FLOOR_PART: f64 = 0.0;

#[derive(Debug)]
struct WorkspaceBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    refilled: ClockTime,
    used: u64,
}

/// Buckets of all workspaces.
#[derive(Debug, Default)]
pub struct AllowanceLedger {
    buckets: BTreeMap<WorkspaceKey, WorkspaceBucket>,
    reported: BTreeMap<(ReporterKey, WorkspaceKey), u64>,
    fresh: bool,
}

impl AllowanceLedger {
    /// Creates a ledger. `first_start` tells that nothing was used before.
    pub fn new(first_start: bool) -> Self {
        Self { fresh: first_start, ..Self::default() }
    }

    /// Sets the allowance of a workspace.
    pub fn configure(&mut self, key: WorkspaceKey, rate_per_s: f64, burst: f64, now: ClockTime) {
        let start = if self.fresh { burst } else { burst * START_PART };
        let bucket = self.buckets.entry(key).or_insert(WorkspaceBucket {
            rate_per_s,
            burst,
            level: start,
            refilled: now,
            used: 0,
        });
        bucket.rate_per_s = rate_per_s;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst);
    }

    /// Takes `amount` from a workspace's bucket. `part` is the share of the nodes, this one
    /// included, that this node hears of.
    ///
    /// # Errors
    /// Returns the time in ms after which the amount is expected to be available.
    pub fn take(
        &mut self,
        key: WorkspaceKey,
        amount: u64,
        part: f64,
        now: ClockTime,
    ) -> Result<(), u64> {
        let Some(bucket) = self.buckets.get_mut(&key) else { return Ok(()) };
        bucket.refill(part, now);
        // A request larger than the burst is let through by a full bucket.
        let needed = (amount as f64).min(bucket.burst);
        let missing = needed - bucket.level - bucket.rate_per_s * FLOOR_PART;
        if missing > 0.0 {
            return Err((missing * 1_000.0 / bucket.rate_per_s.max(1.0)).ceil() as u64);
        }
        bucket.level -= amount as f64;
        bucket.used += amount;
        Ok(())
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, key: WorkspaceKey, amount: u64) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.level = (bucket.level + amount as f64).min(bucket.burst);
            bucket.used = bucket.used.saturating_sub(amount);
        }
    }

    /// Takes in the total that another node's process has used since its start.
    pub fn report(&mut self, from: ReporterKey, key: WorkspaceKey, used: u64, known_before: bool) {
        let last = self.reported.insert((from, key), used);
        // What a node used before this one first heard of it is not counted twice.
        let base = last.unwrap_or(if known_before { 0 } else { used });
        if let Some(bucket) = self.buckets.get_mut(&key) {
            // A total that shrank had amounts given back.
            bucket.level = (bucket.level - (used as f64 - base as f64)).min(bucket.burst);
        }
    }

    /// Totals that this node has used, for its own reports.
    pub fn totals(&self) -> Vec<(WorkspaceKey, u64)> {
        self.buckets
            .iter()
            .filter(|(_, bucket)| bucket.used > 0)
            .map(|(key, bucket)| (*key, bucket.used))
            .collect()
    }
}

impl WorkspaceBucket {
    fn refill(&mut self, part: f64, now: ClockTime) {
        let elapsed = now.since(self.refilled) as f64 / 1_000.0;
        self.refilled = now;
        self.level = (self.level + self.rate_per_s * part * elapsed).min(self.burst);
    }
}
