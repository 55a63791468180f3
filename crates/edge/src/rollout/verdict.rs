//! Verdict on a version on trial: compares its answers with those of the other versions in the same
//! time, by route, so that a general overload does not condemn a good version.

use crate::placement::TargetKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Upper bounds of the classes of prompt sizes, in tokens. The time to the first event grows with the
/// prompt, so only requests of one class are compared.
const SIZE_BOUNDS: [u32; 2] = [1_000, 2_500];
/// Number of classes of prompt sizes.
const SIZE_CLASSES: u8 = 3;
/// Number of time classes of a group; each is a factor of the square root of 2 wide.
const TIME_CLASSES: u8 = 32;
/// Answers of the other versions that a comparison of times needs.
const MIN_COMPARED: u32 = 8;
/// Distances from the median of the other versions from which an answer counts as slow, in time
/// classes: 2.8, 4 and 8 times. Several, since targets of one version may differ by a factor of 3.
const SLOW_DISTANCES: [u8; 3] = [3, 4, 6];
/// Allowed excess of the rate of bad answers over that of the other versions, as a factor and as
/// a rate. Below it, callers lose less than by a revert.
const RATE_FACTOR: f64 = 1.5;
/// See [`RATE_FACTOR`].
const RATE_MARGIN: f64 = 0.01;
/// Probability of the observed bad answers of a sound version below which the version is bad.
/// Judged often, over several routes, so far below one in a hundred.
const BAD_PROBABILITY: f64 = 1e-3;
/// Probability below which the answers are a sign of a fault, which delays or prevents a good
/// verdict.
const DOUBT_PROBABILITY: f64 = 0.05;
/// Fewest failures for a bad verdict. One target that breaks off once is not a fault of its
/// version.
const MIN_FAILURES: u32 = 3;
/// Fewest slow answers for a bad verdict.
const MIN_SLOW: u32 = 6;
/// Factor on the probability of slow answers. The answers of one busy target are slow together, so
/// they are more probable than if each was slow by itself. Without it, sound versions were reverted
/// on a busy machine.
const SLOW_DEPENDENCE: f64 = 100.0;
/// Shortest time that is told from shorter ones, in ms: a quarter of the shortest latency objective.
const MIN_TIME_MS: u64 = 32;
/// Answers that a good verdict needs, by the part of the duration that has passed, in percent. Some
/// faults show late, so half of the duration is used in any case.
const GOOD_STEPS: [(u64, u32); 3] = [(50, 60), (65, 30), (80, 15)];
/// Answers that a good verdict needs at the last moment.
const MIN_LAST_ANSWERS: u32 = 10;
/// Part of the requests from which a route counts as one with traffic, in percent.
const MIN_ROUTE_PERCENT: u32 = 5;
/// Answers that a good verdict needs on each route with traffic.
const MIN_ROUTE_ANSWERS: u32 = 4;
/// Time before the deadline at which the verdict is made at the latest, in ms: two rounds of the
/// register that lose an answer. At most a quarter of the duration.
const DECISION_MARGIN_MS: u64 = 2_000;

/// Answers of one side of the comparison on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Answers, failures included.
    pub answers: u32,
    /// Answers with a failure of the target.
    pub failures: u32,
    /// Responses that broke off or stalled, by target and second. Those of one target and second count
    /// as one: a target that crashes breaks off all responses at once, whatever its version.
    pub bursts: BTreeMap<u32, u32>,
    /// Successful answers by prompt size and time.
    pub times: BTreeMap<u8, u32>,
}

/// Answers on one route since the order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Answers of the other versions.
    pub others: AnswerCounts,
    /// Answers of the version on trial.
    pub trial: AnswerCounts,
}

/// Side of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialSide {
    /// The version on trial.
    Trial,
    /// Any other version.
    Other,
}

/// How a target answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerQuality {
    /// With success, or with an error of the caller.
    Sound,
    /// With a failure of its own.
    Failed,
    /// The response broke off or stalled. Carries the key of the target and the second.
    BrokeOff(u32),
}

impl AnswerQuality {
    /// Returns the quality of a response that broke off or stalled at an age of the order.
    pub fn broke_off(target: TargetKey, age_ms: u64) -> Self {
        let bytes = [target.0.to_le_bytes(), (age_ms / 1_000).to_le_bytes()].concat();
        Self::BrokeOff((xxhash_rust::xxh3::xxh3_64(&bytes) >> 32) as u32)
    }
}

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialAnswer {
    /// Side of the target.
    pub side: TrialSide,
    /// How the target answered.
    pub quality: AnswerQuality,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Time to the first part of the answer, in ms; `None` if the target is still slow after its
    /// start, or nothing arrived.
    pub first_ms: Option<u64>,
    /// Time to the end of the answer, in ms; `None` likewise.
    pub total_ms: Option<u64>,
}

/// Times of an order that is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialTiming {
    /// Time since the order, in ms.
    pub age_ms: u64,
    /// Duration of the order, in ms.
    pub duration_ms: u64,
}

/// Verdict on a version on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// More answers or time are needed.
    Open,
    /// The version is sound.
    Good,
    /// The version is bad, or was not shown to be sound in time.
    Bad {
        /// What was found.
        cause: &'static str,
    },
}

impl TrialTiming {
    /// Returns whether the verdict has to be made now so that it is written before the deadline.
    pub fn is_last(&self) -> bool {
        let margin_ms = DECISION_MARGIN_MS.min(self.duration_ms / 4);
        self.age_ms + margin_ms >= self.duration_ms
    }

    fn needed_answers(&self) -> Option<u32> {
        let steps = GOOD_STEPS.iter();
        let reached = steps.filter(|(percent, _)| self.age_ms * 100 >= self.duration_ms * percent);
        reached.map(|(_, answers)| *answers).next_back()
    }
}

impl AnswerCounts {
    /// Adds the counts of another node.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        for (burst, count) in &other.bursts {
            *self.bursts.entry(*burst).or_default() += count;
        }
        for (class, count) in &other.times {
            *self.times.entry(*class).or_default() += count;
        }
    }

    /// Returns the number of failures and of bursts.
    pub fn bad(&self) -> u32 {
        self.failures + self.bursts.len() as u32
    }

    fn in_group(&self, group: u8) -> impl DoubleEndedIterator<Item = (u8, u32)> {
        let first = group * TIME_CLASSES;
        let range = self.times.range(first..=first + (TIME_CLASSES - 1));
        range.map(move |(class, count)| (class - first, *count))
    }

    fn count_from(&self, group: u8, least: u8) -> u32 {
        self.in_group(group).filter(|(class, _)| *class >= least).map(|(_, count)| count).sum()
    }

    fn median(&self, group: u8) -> Option<u8> {
        let total = self.count_from(group, 0);
        let mut seen = 0;
        let reached = self.in_group(group).find(|(_, count)| {
            seen += count;
            seen * 2 >= total
        });
        reached.filter(|_| total >= MIN_COMPARED).map(|(class, _)| class)
    }
}

impl RouteEvidence {
    /// Counts an answer.
    pub fn count(&mut self, answer: &TrialAnswer) {
        let counts = match answer.side {
            TrialSide::Trial => &mut self.trial,
            TrialSide::Other => &mut self.others,
        };
        counts.answers += 1;
        match answer.quality {
            AnswerQuality::Sound => {}
            AnswerQuality::Failed => {
                counts.failures += 1;
                return;
            }
            AnswerQuality::BrokeOff(burst) => {
                *counts.bursts.entry(burst).or_default() += 1;
                return;
            }
        }
        let size = SIZE_BOUNDS.iter().filter(|bound| answer.prompt_tokens >= **bound).count() as u8;
        for (kind, ms) in [(0, answer.first_ms), (1, answer.total_ms)] {
            let Some(ms) = ms else { continue };
            let class = (kind * SIZE_CLASSES + size) * TIME_CLASSES + time_class(ms);
            *counts.times.entry(class).or_default() += 1;
        }
    }

    /// Adds the evidence of another node.
    pub fn add(&mut self, other: &Self) {
        self.others.add(&other.others);
        self.trial.add(&other.trial);
    }

    /// Returns how probable the bad answers of the version on trial are if it is as sound as the
    /// other versions, by failures and by times. Few bad answers give 1.
    fn probabilities(&self) -> (f64, f64) {
        let failures = excess_probability(
            (self.trial.bad(), self.trial.answers),
            (self.others.bad(), self.others.answers),
            MIN_FAILURES,
        );
        let slow = [0, 1].into_iter().flat_map(|kind| {
            SLOW_DISTANCES.into_iter().map(move |distance| {
                let count = |counts: &AnswerCounts, least_of: &dyn Fn(u8) -> Option<u8>| {
                    let groups = (0..SIZE_CLASSES).map(|size| kind * SIZE_CLASSES + size);
                    let counted = groups.filter_map(|group| {
                        Some((
                            counts.count_from(group, least_of(group)?),
                            counts.count_from(group, 0),
                        ))
                    });
                    counted.fold((0, 0), |sum, item| (sum.0 + item.0, sum.1 + item.1))
                };
                let least = |group| self.others.median(group).map(|median| median + distance);
                let (trial, others) = (count(&self.trial, &least), count(&self.others, &least));
                excess_probability(trial, others, MIN_SLOW) * SLOW_DEPENDENCE
            })
        });
        (failures, slow.fold(1.0, f64::min))
    }
}

/// Returns the time class of a time. Classes are a factor of the square root of 2 apart.
fn time_class(ms: u64) -> u8 {
    let ms = ms.clamp(MIN_TIME_MS, 1 << 20);
    let octave = ms.ilog2();
    let half = u32::from(ms * ms >= 1 << (2 * octave + 1));
    (octave * 2 + half).min(u32::from(TIME_CLASSES) - 1) as u8
}

/// Returns the probability of at least the observed number of bad answers, if the rate is that of
/// the others or slightly above. `trial` and `others` are bad answers and answers. Fewer bad ones than
/// `least` are no evidence.
fn excess_probability(trial: (u32, u32), others: (u32, u32), least: u32) -> f64 {
    let ((bad, answers), (others_bad, others_answers)) = (trial, others);
    if bad < least {
        return 1.0;
    }
    // The added half answer keeps a route without failures from counting as free of them.
    let rate = (f64::from(others_bad) + 0.5) / (f64::from(others_answers) + 1.0);
    let rate = (rate * RATE_FACTOR + RATE_MARGIN).min(0.99);
    // Terms of the binomial distribution, as logarithms since the first ones may be tiny.
    let mut term = f64::from(answers) * (1.0 - rate).ln();
    let mut below = 0.0;
    for count in 0..bad {
        below += term.exp();
        let (left, next) = (f64::from(answers - count), f64::from(count + 1));
        term += (left / next).ln() + (rate / (1.0 - rate)).ln();
    }
    (1.0 - below).max(0.0)
}

/// Judges a version on trial from the evidence of all nodes, by route.
pub fn judge_trial<'a>(
    routes: impl Iterator<Item = &'a RouteEvidence> + Clone,
    timing: TrialTiming,
) -> TrialVerdict {
    let mut all = RouteEvidence::default();
    for route in routes.clone() {
        all.trial.add(&AnswerCounts { times: BTreeMap::new(), ..route.trial.clone() });
        all.others.add(&AnswerCounts { times: BTreeMap::new(), ..route.others.clone() });
    }
    let by_route = routes.clone().map(RouteEvidence::probabilities);
    let (failures, slow) = by_route
        .fold(all.probabilities(), |least, next| (least.0.min(next.0), least.1.min(next.1)));
    if failures < BAD_PROBABILITY {
        return TrialVerdict::Bad { cause: "more failures than at other versions" };
    }
    if slow < BAD_PROBABILITY {
        return TrialVerdict::Bad { cause: "more slow answers than at other versions" };
    }
    let doubtful = failures.min(slow) < DOUBT_PROBABILITY;
    let requests = all.trial.answers + all.others.answers;
    let mut busy = routes.filter(|route| {
        (route.trial.answers + route.others.answers) * 100 >= requests * MIN_ROUTE_PERCENT
    });
    let covered = busy.all(|route| route.trial.answers >= MIN_ROUTE_ANSWERS);
    let last = timing.is_last();
    let needed = if last { Some(MIN_LAST_ANSWERS) } else { timing.needed_answers() };
    let enough = needed.is_some_and(|needed| all.trial.answers >= needed) && covered;
    match (enough && !doubtful, last) {
        (true, _) => TrialVerdict::Good,
        (false, false) => TrialVerdict::Open,
        (false, true) if doubtful => TrialVerdict::Bad { cause: "signs of a fault at the end" },
        (false, true) => TrialVerdict::Bad { cause: "too few answers by the end" },
    }
}
