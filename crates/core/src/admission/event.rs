//! What the metrics of a leader count.

use crate::outcome::{ReasonCode, RequestOutcome};

/// Something that metrics count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionEvent {
    /// Pool of the request.
    pub pool: String,
    /// Rank of the tier.
    pub tier: u8,
    /// What happened.
    pub kind: AdmissionEventKind,
}

/// The kinds of [`AdmissionEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEventKind {
    /// The pool refused a request that it had queued.
    Refused(ReasonCode),
    /// The pool asked to cancel a running request.
    Cancelled(ReasonCode),
    /// A dispatched request ended.
    Ended {
        /// How it ended.
        outcome: RequestOutcome,
        /// Whether it ended before its deadline.
        in_time: bool,
        /// Prompt tokens that were computed for an answer that did not complete. Unknown, and
        /// zero, for a request that an earlier leader admitted.
        wasted_tokens: u32,
    },
}
