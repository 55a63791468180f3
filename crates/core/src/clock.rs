//! Timestamps in milliseconds.

use serde::{Deserialize, Serialize};
use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static PROCESS_START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Timestamp in milliseconds since the origin of a clock.
///
/// The modules without I/O read no clock; they only compare and add timestamps that are passed
/// to them. Daemons read [`ClockTime::monotonic`] for leases and deadlines, and
/// [`ClockTime::wall`] for timestamps that are written to the replicated log.
///
/// ```
/// use burdockcleat_core::clock::ClockTime;
/// let start = ClockTime::from_ms(1_000);
/// assert_eq!(start.plus(250).since(start), 250);
/// assert_eq!(start.since(start.plus(250)), 0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClockTime(u64);

impl ClockTime {
    /// Creates a timestamp from milliseconds since the origin of its clock.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the origin of the clock.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Reads the monotonic clock, whose origin is the first read in this process.
    pub fn monotonic() -> Self {
        Self(u64::try_from(PROCESS_START.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Reads the wall clock, whose origin is the Unix epoch.
    pub fn wall() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the timestamp `ms` milliseconds later.
    #[must_use]
    pub const fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this timestamp, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
