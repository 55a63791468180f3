//! Reads bodies into the memory of a budget.

use crate::memory_budget::BudgetGuard;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Smallest step by which the memory of a body without a length grows, in bytes.
const MIN_STEP_BYTES: usize = 64 << 10;

/// Reason why a body was not read.
pub(crate) enum CollectError {
    TooLong,
    /// The memory of the budget does not hold the body.
    NoMemory,
    /// The connection broke.
    Broken(hyper::Error),
}

/// Returns the length of a body as its head states it.
pub(crate) fn stated_length(body: &Incoming) -> Option<usize> {
    use hyper::body::Body;
    body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX))
}

/// Reads a body to its end into the memory of `guard`, which holds its length if that is stated.
/// Otherwise more memory is reserved while it arrives; `waits` tells whether to wait for it.
pub(crate) async fn collect_body(
    mut body: Incoming,
    limit: usize,
    mut guard: BudgetGuard,
    waits: bool,
) -> Result<Bytes, CollectError> {
    let mut collected = BytesMut::with_capacity(guard.bytes());
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Broken)?.into_data() else { continue };
        let length = collected.len() + data.len();
        if length > limit {
            return Err(CollectError::TooLong);
        }
        if length > guard.bytes() {
            // The buffer at least doubles when it grows.
            let step = (length - guard.bytes()).max(guard.bytes()).max(MIN_STEP_BYTES);
            if waits {
                guard.grow(step).await;
            } else if !guard.try_grow(step) {
                return Err(CollectError::NoMemory);
            }
            collected.reserve(guard.bytes() - collected.len());
        }
        collected.extend_from_slice(&data);
    }
    Ok(guard.hold(collected.freeze()))
}
