//! Observed lengths of outputs relative to the expected ones, as a distribution by rank.
//!
//! The expected length is right at the median but often far off. Outputs that were cut, at a
//! deadline or by a failure, count as a lower bound of their length (Kaplan-Meier estimate).

use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of classes of the ratio of real to expected length.
const CLASSES: usize = 48;
/// Number of classes per doubling of the ratio.
const CLASSES_PER_DOUBLING: f64 = 4.0;
/// Binary logarithm of the lower bound of the first class; the last one ends at 64.
const MIN_RATIO_LOG2: f64 = -6.0;
/// Factor by which each output decays the earlier ones; about five hundred remain effective.
const OUTPUT_DECAY: f64 = 0.998;

/// Output of a request at one target, as its node counted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutputReport {
    /// Tokens of all events that arrived.
    pub tokens: u32,
    /// Tokens of the events that arrived first.
    pub first_tokens: u32,
    /// Whether the output ended by itself; else `tokens` is a lower bound of its length.
    pub complete: bool,
}

/// Distribution of the ratio of real to expected length.
#[derive(Clone, Debug)]
pub struct LengthCurve {
    /// Probability that a ratio exceeds the upper bound of a class.
    exceeded: [f64; CLASSES],
    /// The same with one more output beyond all classes, so that few outputs give no certainty.
    exceeded_upper: [f64; CLASSES],
    /// Effective number of outputs.
    count: f64,
    /// Time of the last output.
    observed_at: ClockTime,
}

#[derive(Debug)]
struct RankLengths {
    /// Decayed number of outputs that ended, by class.
    ended: [f64; CLASSES],
    /// Decayed number of outputs that were cut, by class.
    cut: [f64; CLASSES],
    curve: Arc<LengthCurve>,
}

/// Recent outputs of one service, by rank.
#[derive(Debug, Default)]
pub struct OutputLengths(BTreeMap<u32, RankLengths>);

impl OutputLengths {
    /// Adds an output that is complete, or was cut after `tokens`. Does nothing if there is no
    /// expected length to compare it with.
    pub fn observe(
        &mut self,
        (rank, expected): (u32, u32),
        tokens: u32,
        complete: bool,
        now: ClockTime,
    ) {
        if expected == 0 || tokens == 0 {
            return;
        }
        let lengths = self.0.entry(rank).or_insert_with(RankLengths::new);
        let class = ratio_class(f64::from(tokens) / f64::from(expected)) as usize;
        for count in lengths.ended.iter_mut().chain(&mut lengths.cut) {
            *count *= OUTPUT_DECAY;
        }
        let counts = if complete { &mut lengths.ended } else { &mut lengths.cut };
        counts[class] += 1.0;
        lengths.curve = Arc::new(LengthCurve::fit(&lengths.ended, &lengths.cut, now));
    }

    /// Returns the distribution of a rank; `None` without observations.
    pub fn curve(&self, rank: u32) -> Option<&Arc<LengthCurve>> {
        self.0.get(&rank).map(|lengths| &lengths.curve)
    }

    /// Returns the effective number of observations of all ranks.
    pub fn count(&self) -> f64 {
        self.0.values().map(|lengths| lengths.curve.count).sum()
    }
}

impl RankLengths {
    fn new() -> Self {
        let zero = [0.0; CLASSES];
        Self {
            ended: zero,
            cut: zero,
            curve: Arc::new(LengthCurve::fit(&zero, &zero, ClockTime::default())),
        }
    }
}

impl LengthCurve {
    fn fit(ended: &[f64; CLASSES], cut: &[f64; CLASSES], observed_at: ClockTime) -> Self {
        let count = ended.iter().chain(cut).sum::<f64>();
        let (mut exceeded, mut exceeded_upper) = ([1.0; CLASSES], [1.0; CLASSES]);
        let (mut left, mut raw, mut upper) = (count, 1.0, 1.0);
        for class in 0..CLASSES {
            // Outputs that were cut in a class were still running when others of it ended.
            raw *= 1.0 - ended[class] / left.max(ended[class]).max(f64::EPSILON);
            upper *= 1.0 - ended[class] / (left.max(ended[class]) + 1.0);
            (exceeded[class], exceeded_upper[class]) = (raw, upper);
            left -= ended[class] + cut[class];
        }
        Self { exceeded, exceeded_upper, count, observed_at }
    }

    /// Returns the effective number of outputs.
    pub const fn count(&self) -> f64 {
        self.count
    }

    /// Returns the time of the last output.
    pub const fn observed_at(&self) -> ClockTime {
        self.observed_at
    }

    /// Returns a length that an output exceeds with at most the given probability, in tokens, or
    /// `None` if too few outputs were observed to tell. At a probability of 0.01 these are less
    /// than 100.
    pub fn upper_tokens(&self, expected: u32, probability: f64) -> Option<f64> {
        let class = self.exceeded_upper.iter().position(|exceeds| *exceeds <= probability)?;
        // The last class holds all ratios above its lower bound.
        (class + 1 < CLASSES).then(|| f64::from(expected) * class_end(class))
    }

    /// Returns the probability that an output exceeds a length. Interpolates within classes.
    pub fn exceeds(&self, expected: u32, tokens: f64) -> f64 {
        if tokens <= 0.0 || expected == 0 {
            return 1.0;
        }
        let position = ratio_class(tokens / f64::from(expected));
        let class = position as usize;
        let before = if class == 0 { 1.0 } else { self.exceeded[class - 1] };
        before + (self.exceeded[class] - before) * position.fract()
    }

    /// Returns an upper estimate of the probability that an output ends within a length: with one
    /// more output that ends there.
    pub fn ends_within_at_most(&self, expected: u32, tokens: f64) -> f64 {
        if tokens <= 0.0 || expected == 0 {
            return 0.0;
        }
        let class = ratio_class(tokens / f64::from(expected)) as usize;
        (1.0 - self.exceeded[class] + 1.0 / (self.count + 1.0)).min(1.0)
    }

    /// Returns the mean length of outputs that are at most `limit` tokens long.
    pub fn mean_tokens(&self, expected: u32, limit: u32) -> f64 {
        let (expected, limit) = (f64::from(expected), f64::from(limit));
        let (mut mean, mut start, mut before) = (0.0, 0.0, 1.0);
        for (class, exceeds) in self.exceeded.iter().enumerate() {
            let end = (expected * class_end(class)).min(limit);
            mean += (end - start) * f64::midpoint(before, *exceeds);
            (start, before) = (end, *exceeds);
        }
        mean
    }
}

/// Returns the class of a ratio; the fraction is the position within the class.
fn ratio_class(ratio: f64) -> f64 {
    let position = (ratio.log2() - MIN_RATIO_LOG2) * CLASSES_PER_DOUBLING;
    position.clamp(0.0, (CLASSES - 1) as f64 + 0.999)
}

/// Returns the upper bound of a class.
fn class_end(class: usize) -> f64 {
    ((class + 1) as f64 / CLASSES_PER_DOUBLING + MIN_RATIO_LOG2).exp2()
}
