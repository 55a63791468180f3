//! Waiting for a state of the deployment.

use super::{CommandError, progress};
use crate::operator::{OperatorClient, StatusReply};
use std::thread;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the status until `reached` accepts it, and reports each new state on standard error.
pub(super) fn wait_until(
    client: &OperatorClient,
    limit: Duration,
    reached: impl Fn(&StatusReply) -> Result<(), String>,
) -> Result<(), CommandError> {
    let start = Instant::now();
    let mut shown = String::new();
    loop {
        let state = match client.status() {
            Ok(status) => match reached(&status) {
                Ok(()) => return Ok(()),
                Err(state) => state,
            },
            // The request has taken effect, so an unreachable instance only delays the answer.
            Err(error) => error.to_string(),
        };
        if state != shown {
            progress(&state);
            shown.clone_from(&state);
        }
        if start.elapsed() >= limit {
            return Err(CommandError::WaitTimeout { seconds: limit.as_secs(), state });
        }
        thread::sleep(POLL_INTERVAL.min(limit.saturating_sub(start.elapsed())));
    }
}
