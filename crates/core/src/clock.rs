//! The clock type of the project: a point in time in milliseconds.

use serde::{Deserialize, Serialize};
use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static PROCESS_START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// A point in time in milliseconds.
///
/// The pure modules only compare and add times that they are given. Daemons read
/// [`ClockTime::monotonic`] for leases and deadlines, and [`ClockTime::wall`] for the
/// times that are written into the replicated log.
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
    /// Builds a time from milliseconds since the origin of its clock.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Milliseconds since the origin of the clock.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Reads the monotonic clock. The origin is the first read in this process.
    pub fn monotonic() -> Self {
        Self(u64::try_from(PROCESS_START.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Reads the wall clock. The origin is the Unix epoch.
    pub fn wall() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// The time `ms` milliseconds later.
    #[must_use]
    pub const fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this time, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
