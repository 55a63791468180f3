//! Admission events that a leader's metrics count.

use crate::outcome::{ReasonCode, RequestOutcome};

/// An event counted by the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionEvent {
    /// Pool of the request.
    pub pool: String,
    /// Rank of the tier.
    pub tier: u8,
    /// Kind of the event.
    pub kind: AdmissionEventKind,
}

/// Kind of an [`AdmissionEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEventKind {
    /// The pool refused a queued request.
    Refused(ReasonCode),
    /// The pool asked to cancel a running request.
    Cancelled(ReasonCode),
    /// A dispatched request ended.
    Ended {
        /// Outcome of the request.
        outcome: RequestOutcome,
        /// Whether it ended before its deadline.
        in_time: bool,
        /// Prompt tokens computed for a response that did not complete. Unknown and therefore
        /// zero for a request that an earlier leader admitted.
        wasted_tokens: u32,
    },
}
