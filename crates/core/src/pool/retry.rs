//! Budget of retries for connections that could not be established.

use super::settings::PoolSettings;
use crate::clock::ClockTime;
use std::collections::VecDeque;

/// Number of grants and retries in a sliding window. Each bucket holds its start, grants and
/// retries, and covers a tenth of the window.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudget {
    buckets: VecDeque<(ClockTime, u32, u32)>,
    grants: u32,
    retries: u32,
}

impl RetryBudget {
    pub fn record_grant(&mut self, now: ClockTime, settings: &PoolSettings) {
        self.current_bucket(now, settings).1 += 1;
        self.grants += 1;
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub fn try_take(&mut self, now: ClockTime, settings: &PoolSettings) -> bool {
        self.current_bucket(now, settings);
        let share = f64::from(self.grants) * settings.retry_share;
        let allowed = share.max(f64::from(settings.retry_floor));
        if f64::from(self.retries + 1) > allowed {
            return false;
        }
        self.current_bucket(now, settings).2 += 1;
        self.retries += 1;
        true
    }

    fn current_bucket(
        &mut self,
        now: ClockTime,
        settings: &PoolSettings,
    ) -> &mut (ClockTime, u32, u32) {
        while let Some((start, grants, retries)) = self.buckets.front().copied() {
            if now.since(start) < settings.retry_window_ms {
                break;
            }
            self.grants -= grants;
            self.retries -= retries;
            self.buckets.pop_front();
        }
        let length = settings.retry_window_ms / 10;
        let needs_new_bucket =
            self.buckets.back().is_none_or(|(start, ..)| now.since(*start) >= length);
        if needs_new_bucket {
            self.buckets.push_back((now, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
