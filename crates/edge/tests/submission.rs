//! How often a request is submitted to the placing node, and when that counts as silent.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::submission::{SILENCE_MS, SubmissionStep, SubmissionTimer};

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// Plays a submission for `ms`; each submission is answered after `answer_ms`. Returns the times of
/// the submissions and of the silence, if any.
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

/// Pattern: an overload in which each node has hundreds of requests waiting at the placing node.
/// Their repeated submissions take the processor time that placing them needs.
#[test]
fn a_queued_request_is_resubmitted_rarely() {
    let (sent, silent) = simulate(Some(2), 3_000);
    assert_eq!(silent, None);
    assert!(sent.len() <= 5, "{sent:?}");
}

/// Pattern: the placing node dies. Requests wait for it although another node could place them.
#[test]
fn a_silent_coordinator_is_abandoned_soon() {
    let (sent, silent) = simulate(None, 3_000);
    assert!(sent.len() >= 3, "one lost datagram must not count: {sent:?}");
    assert!(silent.is_some_and(|ms| ms <= SILENCE_MS + 50), "{silent:?}");
}

/// Pattern: this process is suspended for seconds. It takes the placing node for silent, and two
/// nodes place for all.
#[test]
fn a_pause_of_this_process_is_not_taken_for_silence() {
    let mut timer = SubmissionTimer::new(at(0));
    assert_eq!(timer.step(None, at(0)), SubmissionStep::Submit);
    assert_eq!(timer.step(None, at(5_000)), SubmissionStep::Submit);
    assert!(matches!(timer.step(None, at(5_001)), SubmissionStep::Wait(_)));
}
