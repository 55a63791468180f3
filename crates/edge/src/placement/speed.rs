//! Speed of a target, learned from its answers: the time to read a prompt, and the time for a token
//! of the output.
//!
//! Answers targets that differ severalfold, in one of the two or in both. A single factor for both
//! sends long prompts to targets that write fast but read slowly, where they hold up the streams
//! beside them, and long outputs to targets that cannot finish them in time.

use serde::{Deserialize, Serialize};

/// Time to the first event beside the prompt before anything was observed, in ms.
const PRIOR_FIXED_MS: f64 = 20.0;
/// Time to read a token of a prompt before anything was observed, in ms.
const PRIOR_READ_MS: f64 = 0.02;
/// Time for a token of the output before anything was observed, in ms.
const PRIOR_TOKEN_MS: f64 = 4.0;
/// Length of the prompt at which the assumption counts beside that of none, in tokens.
const PRIOR_PROMPT_TOKENS: f64 = 4_000.0;
/// Observations that the assumption counts for, at each of the two lengths.
const PRIOR_WEIGHT: f64 = 1.0;
/// Prompt by which the growth of the effort is counted, in tokens.
const GROWTH_UNIT_TOKENS: f64 = 10_000.0;
/// Length of a prompt without growth that the assumption counts for, in tokens.
const GROWTH_PRIOR_TOKENS: f64 = 20_000.0;
/// Largest growth for each [`GROWTH_UNIT_TOKENS`]: the effort of such a prompt is twice its length.
const MAX_GROWTH: f64 = 1.0;
/// Part of the sums of the growth that the next prompt leaves.
const GROWTH_DECAY: f64 = 0.995;
/// Part of the first events that the next one leaves in the estimate: about ten count.
const FIRST_EVENT_DECAY: f64 = 0.9;
/// Weight of the present estimate at the length of the assumption beside each observation: short
/// prompts alone say little of the time for a long one.
const ANCHOR_WEIGHT: f64 = 0.05;
/// Largest first event that is learned from, in multiples of the expected one and of
/// [`OUTLIER_MS`]: a target that stands still says nothing of its speed.
const OUTLIER_FACTOR: f64 = 3.0;
/// Time that an outlier exceeds in any case, in ms.
const OUTLIER_MS: f64 = 50.0;
/// Part of the outputs that the next one leaves in the estimate: their lengths are known as a guess
/// only, so about fifty count.
const OUTPUT_DECAY: f64 = 0.98;
/// Tokens of output that the assumption counts for.
const PRIOR_OUTPUT_TOKENS: f64 = 400.0;
/// Shortest time for a token, in ms, to keep estimates finite.
const MIN_TOKEN_MS: f64 = 0.01;

/// Times of a target as a straight line over the prompt, and a rate for the output.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SpeedModel {
    /// Time to the first event beside the prompt, in ms.
    pub fixed_ms: f64,
    /// Time to read a token of a short prompt, in ms.
    pub read_ms: f64,
    /// Time for a token of the expected output, in ms.
    pub token_ms: f64,
}

impl SpeedModel {
    /// Assumption before anything was observed.
    pub const PRIOR: Self =
        Self { fixed_ms: PRIOR_FIXED_MS, read_ms: PRIOR_READ_MS, token_ms: PRIOR_TOKEN_MS };

    /// Time to read prompts of an effort, in ms. Efforts are in tokens of a short prompt
    /// ([`PrefillCurve`]).
    pub fn prefill_ms(&self, prefill_work: f64) -> f64 {
        self.read_ms * prefill_work
    }

    /// Time from the send to the first event with prompts of an effort to read, in ms.
    pub fn first_event_ms(&self, prefill_work: f64) -> f64 {
        self.fixed_ms + self.prefill_ms(prefill_work)
    }

    /// Time that a request holds a slot, in ms.
    pub fn run_ms(&self, prefill_work: f64, output_tokens: u32) -> f64 {
        self.first_event_ms(prefill_work) + self.token_ms * f64::from(output_tokens)
    }

    /// Time of a target that a request takes, in ms of one of its `slots`: reading a prompt holds up
    /// all of them, writing an output only its own.
    pub fn load_ms(&self, prefill_work: f64, output_tokens: f64, slots: f64) -> f64 {
        self.fixed_ms + self.prefill_ms(prefill_work) * slots + self.token_ms * output_tokens
    }

    /// The mean of several models; the assumption if there are none.
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

/// Effort of reading a prompt, in tokens of a short one: it grows faster than the length, by the same
/// part at all targets of a service.
#[derive(Clone, Copy, Debug)]
pub struct PrefillCurve {
    /// Sums of the fit of the growth, decayed.
    excess_sum: f64,
    weight_sum: f64,
}

impl Default for PrefillCurve {
    fn default() -> Self {
        Self { excess_sum: 0.0, weight_sum: (GROWTH_PRIOR_TOKENS / GROWTH_UNIT_TOKENS).powi(4) }
    }
}

impl PrefillCurve {
    /// Growth of the effort for a token, by [`GROWTH_UNIT_TOKENS`] tokens of the prompt.
    pub fn growth(&self) -> f64 {
        (self.excess_sum / self.weight_sum).clamp(0.0, MAX_GROWTH)
    }

    /// Effort of reading a prompt.
    pub fn prefill_work(&self, prompt_tokens: u32) -> f64 {
        let tokens = f64::from(prompt_tokens);
        tokens * (1.0 + self.growth() * tokens / GROWTH_UNIT_TOKENS)
    }

    /// Learns from a prompt that took as long as `effort` tokens of a short one.
    pub fn learn(&mut self, prompt_tokens: u32, prefill_work: f64) {
        let tokens = f64::from(prompt_tokens);
        let units = tokens / GROWTH_UNIT_TOKENS;
        let excess =
            (prefill_work / tokens.max(1.0) - 1.0).clamp(-MAX_GROWTH * units, MAX_GROWTH * units);
        self.excess_sum = self.excess_sum * GROWTH_DECAY + excess * units.powi(3);
        self.weight_sum = self.weight_sum * GROWTH_DECAY + units.powi(4);
    }
}

/// Sums of a weighted straight line fit.
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

    fn decay(&mut self, part: f64) {
        self.weight *= part;
        self.x *= part;
        self.y *= part;
        self.xx *= part;
        self.xy *= part;
    }

    /// Intercept and slope, neither below zero. Without any spread the slope stays `slope`.
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
    /// Time after the first event and tokens expected of late outputs.
    output_ms: f64,
    output_tokens: f64,
    observed: bool,
}

impl SpeedEstimate {
    /// Starts from an assumption.
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

    /// Whether a first event has been learned from.
    pub const fn observed(&self) -> bool {
        self.observed
    }

    /// The speed as it is known now.
    pub const fn model(&self) -> &SpeedModel {
        &self.model
    }

    /// Learns from a first event that came after `took_ms`, with prompts of an effort to read.
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

    /// Learns from an output of `tokens` expected tokens that took `took_ms` after its first event.
    pub fn learn_output(&mut self, tokens: f64, took_ms: f64) {
        if tokens <= 0.0 {
            return;
        }
        self.output_ms = self.output_ms * OUTPUT_DECAY + took_ms;
        self.output_tokens = self.output_tokens * OUTPUT_DECAY + tokens;
        self.model.token_ms = (self.output_ms / self.output_tokens).max(MIN_TOKEN_MS);
    }
}
