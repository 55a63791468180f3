//! Waits until the deployment reaches a state.

use super::{CommandError, print_progress};
use crate::operator::{OperatorClient, StatusReply};
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the status until `check` returns `Ok`, and prints each new state on standard error.
///
/// `check` returns a description of the current state as its error. `limit` is the time after which
/// the wait fails with [`CommandError::WaitTimeout`].
pub(super) fn wait_until(
    client: &OperatorClient,
    limit: Duration,
    check: impl Fn(&StatusReply) -> Result<(), String>,
) -> Result<(), CommandError> {
    let start = Instant::now();
    let mut printed = String::new();
    loop {
        let state = match client.status() {
            Ok(status) => match check(&status) {
                Ok(()) => return Ok(()),
                Err(state) => state,
            },
            // The request has taken effect, so an unreachable instance only delays the result.
            Err(error) => error.to_string(),
        };
        if state != printed {
            print_progress(&state);
            printed.clone_from(&state);
        }
        if start.elapsed() >= limit {
            return Err(CommandError::WaitTimeout { seconds: limit.as_secs(), state });
        }
        thread::sleep(POLL_INTERVAL.min(limit.saturating_sub(start.elapsed())));
    }
}
