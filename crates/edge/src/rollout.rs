//! Version roll-outs: orders, how much of the traffic a version on trial gets, and the verdict.
//!
//! The orders live in the register. The placement coordinator limits what a version on trial gets
//! from what the nodes report, and writes the verdict to the register. These modules contain no
//! socket, clock or random source.

mod exposure;
mod record;
mod tracker;
mod verdict;

pub use exposure::{CoordinatorView, ExposureLedger, OrderKey, RolloutReport};
pub use record::{
    RolloutError, RolloutHistory, RolloutOrder, RolloutRecord, RolloutState, VersionPolicy,
};
pub use tracker::{LearnedAt, RolloutTracker, TrackedOrder};
pub use verdict::{
    AnswerCounts, AnswerQuality, RouteEvidence, TrialAnswer, TrialSide, TrialTiming, TrialVerdict,
    judge_trial,
};
