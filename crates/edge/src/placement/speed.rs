//! Speed model of a target, estimated from its responses: prefill time per prompt token, and decode
//! time per output token.
//!
//! Targets differ by several times in one or both of these. With a single factor for both, long
//! prompts would go to targets with fast decode and slow prefill, where they delay concurrent
//! streams. Long outputs would go to targets that cannot finish them in time.

use serde::{Deserialize, Serialize};

/// Initial assumption for the part of the time to the first event that does not depend on the
/// prompt, in ms.
const PRIOR_FIXED_MS: f64 = 20.0;
/// Initial assumption for the prefill time per prompt token, in ms.
const PRIOR_READ_MS: f64 = 0.02;
/// Initial assumption for the decode time per output token, in ms.
const PRIOR_TOKEN_MS: f64 = 4.0;
/// Prompt length of the second point of the prior, in tokens; the first point is an empty prompt.
const PRIOR_PROMPT_TOKENS: f64 = 4_000.0;
/// Number of observations that each of the two points of the prior counts for.
const PRIOR_WEIGHT: f64 = 1.0;
/// Factor by which each first event decays the earlier ones; about ten remain effective.
const FIRST_EVENT_DECAY: f64 = 0.9;
/// Weight of the anchor point that is added with each first event: the present estimate at
/// [`PRIOR_PROMPT_TOKENS`]. Short prompts alone say little about the time for a long one.
const ANCHOR_WEIGHT: f64 = 0.05;
/// Limit of an observed time to the first event, as a multiple of the expected time or of
/// [`OUTLIER_MS`], whichever is larger. A stalled target says nothing about its speed.
const OUTLIER_FACTOR: f64 = 3.0;
/// Minimum expected time to the first event in the outlier limit, in ms.
const OUTLIER_MS: f64 = 50.0;
/// Factor by which each output decays the earlier ones. About fifty remain effective, since output
/// lengths are estimates only.
const OUTPUT_DECAY: f64 = 0.98;
/// Output tokens that the prior counts for.
const PRIOR_OUTPUT_TOKENS: f64 = 400.0;
/// Minimum decode time per token, in ms, to keep estimates finite.
const MIN_TOKEN_MS: f64 = 0.01;

/// Linear model of the time to the first event over the prefill work, with a constant decode rate.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SpeedModel {
    /// Part of the time to the first event that does not depend on the prompt, in ms.
    pub fixed_ms: f64,
    /// Prefill time per token of a short prompt, in ms.
    pub read_ms: f64,
    /// Decode time per expected output token, in ms.
    pub token_ms: f64,
}

impl SpeedModel {
    /// Model of a target without observations.
    pub const PRIOR: Self =
        Self { fixed_ms: PRIOR_FIXED_MS, read_ms: PRIOR_READ_MS, token_ms: PRIOR_TOKEN_MS };

    /// Returns the time to process an amount of prefill work in prompt tokens, in ms.
    pub fn prefill_ms(&self, prefill_work: f64) -> f64 {
        self.read_ms * prefill_work
    }

    /// Returns the time from sending a request to its first event, in ms, for all prefill work up
    /// to that event.
    pub fn first_event_ms(&self, prefill_work: f64) -> f64 {
        self.fixed_ms + self.prefill_ms(prefill_work)
    }

    /// Returns the time for which a request occupies its slot, in ms.
    pub fn run_ms(&self, prefill_work: f64, output_tokens: u32) -> f64 {
        self.first_event_ms(prefill_work) + self.token_ms * f64::from(output_tokens)
    }

    /// Returns the slot time that a request costs a target, in ms. Prefill blocks all `slots` of
    /// the target, decode only the slot of the request.
    pub fn load_ms(&self, prefill_work: f64, output_tokens: f64, slots: f64) -> f64 {
        self.fixed_ms + self.prefill_ms(prefill_work) * slots + self.token_ms * output_tokens
    }

    /// Returns the mean of several models, or the prior if there are none.
    pub fn mean(models: impl Iterator<Item = Self>) -> Self {
        let zero = Self { fixed_ms: 0.0, read_ms: 0.0, token_ms: 0.0 };
        let (count, sum) = models.fold((0.0, zero), |(count, sum), model| {
            let fixed_ms = sum.fixed_ms + model.fixed_ms;
            let read_ms = sum.read_ms + model.read_ms;
            let token_ms = sum.token_ms + model.token_ms;
            (count + 1.0, Self { fixed_ms, read_ms, token_ms })
        });
        if count == 0.0 {
            return Self::PRIOR;
        }
        Self {
            fixed_ms: sum.fixed_ms / count,
            read_ms: sum.read_ms / count,
            token_ms: sum.token_ms / count,
        }
    }
}

/// Sums of a weighted linear regression.
#[derive(Clone, Copy, Debug, Default)]
struct LineFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LineFit {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.x *= factor;
        self.y *= factor;
        self.xx *= factor;
        self.xy *= factor;
    }

    /// Returns the intercept and the slope, both at least 0. If all points have the same x, the
    /// slope is the given `slope`.
    fn solve(&self, slope: f64) -> (f64, f64) {
        let spread = self.weight * self.xx - self.x * self.x;
        let flat = spread <= f64::EPSILON * self.weight * self.xx;
        let fitted = if flat { slope } else { (self.weight * self.xy - self.x * self.y) / spread };
        let slope = fitted.max(0.0);
        let fixed = (self.y - slope * self.x) / self.weight;
        if fixed >= 0.0 || flat { (fixed.max(0.0), slope) } else { (0.0, self.xy / self.xx) }
    }
}

/// Running estimate of the speed of one target.
#[derive(Clone, Copy, Debug)]
pub struct SpeedEstimate {
    model: SpeedModel,
    first_events: LineFit,
    /// Exponentially decayed sums over recent outputs: time after the first event, and expected
    /// tokens.
    output_ms: f64,
    output_tokens: f64,
    observed: bool,
}

impl SpeedEstimate {
    /// Creates an estimate that starts from the given model.
    pub fn new(model: SpeedModel) -> Self {
        let mut first_events = LineFit::default();
        first_events.add(0.0, model.first_event_ms(0.0), PRIOR_WEIGHT);
        first_events.add(
            PRIOR_PROMPT_TOKENS,
            model.first_event_ms(PRIOR_PROMPT_TOKENS),
            PRIOR_WEIGHT,
        );
        let output_tokens = PRIOR_OUTPUT_TOKENS;
        let output_ms = model.token_ms * output_tokens;
        Self { model, first_events, output_ms, output_tokens, observed: false }
    }

    /// Returns whether any first event has been observed.
    pub const fn observed(&self) -> bool {
        self.observed
    }

    /// Returns the current estimate.
    pub const fn model(&self) -> &SpeedModel {
        &self.model
    }

    /// Updates the estimate with a first event that came after `took_ms`, with `prefill_work` to
    /// process until then.
    pub fn learn_first_event(&mut self, prefill_work: f64, took_ms: f64) {
        let expected = self.model.first_event_ms(prefill_work).max(OUTLIER_MS);
        let anchor_ms = self.model.first_event_ms(PRIOR_PROMPT_TOKENS);
        self.observed = true;
        self.first_events.decay(FIRST_EVENT_DECAY);
        self.first_events.add(PRIOR_PROMPT_TOKENS, anchor_ms, ANCHOR_WEIGHT);
        self.first_events.add(prefill_work, took_ms.min(expected * OUTLIER_FACTOR), 1.0);
        let (fixed_ms, read_ms) = self.first_events.solve(self.model.read_ms);
        (self.model.fixed_ms, self.model.read_ms) = (fixed_ms, read_ms);
    }

    /// Updates the estimate with an output of `tokens` expected tokens that took `took_ms` after
    /// the first event.
    pub fn learn_output(&mut self, tokens: f64, took_ms: f64) {
        if tokens <= 0.0 {
            return;
        }
        self.output_ms = self.output_ms * OUTPUT_DECAY + took_ms;
        self.output_tokens = self.output_tokens * OUTPUT_DECAY + tokens;
        self.model.token_ms = (self.output_ms / self.output_tokens).max(MIN_TOKEN_MS);
    }
}
