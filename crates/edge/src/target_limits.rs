//! Request rates to which targets limit all nodes together, as they name them in their answers.

use crate::placement::TargetKey;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Rate of requests, in requests per 1,000 seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Parses a decimal number of requests per second. Returns `None` if it is not a number, or
    /// negative or infinite.
    pub fn parse(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        // The conversion saturates.
        (per_s.is_finite() && per_s >= 0.0).then_some(Self((per_s * 1_000.0) as u32))
    }

    /// Returns the rate in requests per millisecond.
    pub fn per_ms(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// Limit of one incarnation of a target.
#[derive(Clone, Copy, Debug)]
struct TargetLimit {
    /// Current limit; `None` after the target has lifted it.
    rate: Option<RequestRate>,
    /// Time at which this node learned of it.
    learned: ClockTime,
}

/// Limits of all targets that named one.
#[derive(Debug, Default)]
pub struct LimitTable {
    limits: BTreeMap<TargetKey, TargetLimit>,
}

impl LimitTable {
    /// Records the limit in an answer, `None` if it named none, to a request that was sent at
    /// `sent`. Returns whether the limit has changed.
    ///
    /// An answer without a limit lifts the limit only if its request was sent after the limit was
    /// learned, since answers to earlier requests may arrive later.
    pub fn observe(
        &mut self,
        target: TargetKey,
        rate: Option<RequestRate>,
        sent: ClockTime,
        now: ClockTime,
    ) -> bool {
        let known = self.limits.get(&target);
        if known.map_or(rate.is_none(), |known| {
            known.rate == rate || (rate.is_none() && sent <= known.learned)
        }) {
            return false;
        }
        self.limits.insert(target, TargetLimit { rate, learned: now });
        true
    }

    /// Returns the limit of a target.
    pub fn rate(&self, target: TargetKey) -> Option<RequestRate> {
        self.limits.get(&target)?.rate
    }
}
