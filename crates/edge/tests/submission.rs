//! Frequency of submissions to the placement coordinator and detection of its silence.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::submission::{SILENCE_MS, SubmissionStep, SubmissionTimer};

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// Simulates a request for `ms`. Each submission is answered after `answer_ms`. Returns the times
/// of the submissions and the time at which the coordinator counts as silent, if any.
fn simulate(answer_ms: Option<u64>, ms: u64) -> (Vec<u64>, Option<u64>) {
    let mut timer = SubmissionTimer::new(at(0));
    let (mut sent, mut queued) = (Vec::new(), None);
    let mut now = 0;
    while now < ms {
        match timer.step(queued, at(now)) {
            SubmissionStep::Submit => {
                sent.push(now);
                queued = answer_ms.map(|answer| at(now + answer));
            }
            SubmissionStep::Wait(pause_ms) => now += pause_ms,
            SubmissionStep::Silent => return (sent, Some(now)),
        }
    }
    (sent, None)
}

/// Guards against repeated submissions that take the coordinator's processor time under overload,
/// when each node has hundreds of requests queued there.
#[test]
fn a_queued_request_is_resubmitted_rarely() {
    let (sent, silent) = simulate(Some(2), 3_000);
    assert_eq!(silent, None);
    assert!(sent.len() <= 5, "{sent:?}");
}

/// Guards against requests that wait for a failed coordinator although another node could place
/// them.
#[test]
fn a_silent_coordinator_is_abandoned_soon() {
    let (sent, silent) = simulate(None, 3_000);
    assert!(sent.len() >= 3, "one lost datagram must not count: {sent:?}");
    assert!(silent.is_some_and(|ms| ms <= SILENCE_MS + 50), "{silent:?}");
}

/// Guards against taking the coordinator for silent after this process was suspended for seconds,
/// which would make two nodes act as coordinator.
#[test]
fn a_pause_of_this_process_is_not_taken_for_silence() {
    let mut timer = SubmissionTimer::new(at(0));
    assert_eq!(timer.step(None, at(0)), SubmissionStep::Submit);
    assert_eq!(timer.step(None, at(5_000)), SubmissionStep::Submit);
    assert!(matches!(timer.step(None, at(5_001)), SubmissionStep::Wait(_)));
}
