//! Token buckets, limits and usage history of the workspaces of one pool.

use super::settings::{PoolSettings, WorkspaceSettings};
use crate::clock::ClockTime;
use crate::estimate::DecayedRatio;
use std::collections::HashMap;

/// Half-life of the samples in a workspace's average use of the output limit, in milliseconds.
const OUTPUT_HALF_LIFE_MS: f64 = 60_000.0;
/// Weight of the initial assumption that requests use their whole output limit, in tokens.
const OUTPUT_PRIOR_TOKENS: f64 = 512.0;

#[derive(Clone, Debug)]
pub(super) struct WorkspaceState {
    name: String,
    pub settings: WorkspaceSettings,
    pub in_flight: u32,
    tokens: f64,
    refilled: ClockTime,
    output_share: DecayedRatio,
}

/// Workspaces of a pool, by index and by name.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceTable {
    states: Vec<WorkspaceState>,
    names: HashMap<String, usize>,
}

impl WorkspaceTable {
    pub fn index_or_insert(
        &mut self,
        now: ClockTime,
        name: &str,
        settings: &PoolSettings,
    ) -> usize {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let settings = settings.workspace(name);
        self.states.push(WorkspaceState {
            name: name.to_owned(),
            settings,
            in_flight: 0,
            tokens: settings.burst_tokens,
            refilled: now,
            output_share: DecayedRatio::default(),
        });
        self.names.insert(name.to_owned(), self.states.len() - 1);
        self.states.len() - 1
    }

    pub fn state(&self, index: usize) -> &WorkspaceState {
        &self.states[index]
    }

    pub fn state_mut(&mut self, index: usize) -> &mut WorkspaceState {
        &mut self.states[index]
    }

    pub fn update_settings(&mut self, settings: &PoolSettings) {
        for state in &mut self.states {
            state.settings = settings.workspace(&state.name);
            state.tokens = state.tokens.min(state.settings.burst_tokens);
        }
    }
}

impl WorkspaceState {
    /// Takes tokens from the bucket and returns the number taken. If the bucket has too few,
    /// returns the time in milliseconds until it has enough.
    pub fn take_tokens(&mut self, now: ClockTime, tokens: f64) -> Result<f64, f64> {
        let Some(per_second) = self.settings.tokens_per_second else { return Ok(0.0) };
        // The cast is exact for spans below 2^52 ms.
        let refill = now.since(self.refilled) as f64 * per_second / 1_000.0;
        self.tokens = (self.tokens + refill).min(self.settings.burst_tokens);
        self.refilled = self.refilled.max(now);
        // A request larger than the bucket is accepted when the bucket is full, and leaves a
        // negative balance.
        let needed = tokens.min(self.settings.burst_tokens);
        if self.tokens < needed {
            return Err((needed - self.tokens) * 1_000.0 / per_second.max(1e-6));
        }
        self.tokens -= tokens;
        Ok(tokens)
    }

    /// Returns unused tokens to the bucket.
    pub fn refund_tokens(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.burst_tokens);
    }

    /// Records how many tokens of its output limit a completed request used.
    pub fn record_output(&mut self, now: ClockTime, used: f64, limit: f64) {
        self.output_share.add(now, OUTPUT_HALF_LIFE_MS, used, limit);
    }

    /// Returns the expected output, in tokens, of a request with this output limit.
    pub fn expected_output(&self, now: ClockTime, limit: u32) -> f64 {
        let share =
            self.output_share.with_prior(now, OUTPUT_HALF_LIFE_MS, OUTPUT_PRIOR_TOKENS, 1.0);
        share.min(1.0) * f64::from(limit)
    }
}
