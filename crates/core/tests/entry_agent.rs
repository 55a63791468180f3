//! Tests of the entry side of the claim protocol.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::entry_agent::{
    AttemptAnswer, CONFIG_CONFIRMATION_TTL_MS, EntryAgent, EntryInput, EntryOutput,
    FREEZE_THRESHOLD_MS, GRANT_TTL_MS, LEADER_TIMEOUT_MS, PAUSE_THRESHOLD_MS,
};
use burdockcleat_core::keys::{
    ClaimNumber, LinkKey, RequestFingerprint, RequestKey, TargetIdentity,
};
use burdockcleat_core::message::{
    ControlMessage, EntryMessage, FinishReport, GrantTicket, SubmitRequest,
};
use burdockcleat_core::outcome::RequestOutcome;

const KEY: RequestKey = RequestKey(7);
const LINK: LinkKey = LinkKey(1);
const OTHER_LINK: LinkKey = LinkKey(2);

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn submit(attempt: u32) -> EntryInput {
    EntryInput::Submit(SubmitRequest {
        key: KEY,
        attempt,
        fingerprint: RequestFingerprint(1),
        workspace: "workspace".into(),
        pool: "pool".into(),
        model: "model".into(),
        tier: 0,
        idempotent: true,
        deadline_in_ms: 20_000,
        prompt_tokens: 1,
        output_tokens: 1,
        prefix_hashes: Vec::new(),
    })
}

fn welcome(link: LinkKey, term: u64, entry_time: u64) -> EntryInput {
    let message = ControlMessage::Welcome {
        leading: true,
        term,
        leader: None,
        config_version: 1,
        entry_time: at(entry_time),
    };
    EntryInput::Receive { link, message }
}

fn grant(attempt: u32, claim: u64, entry_time: u64) -> EntryInput {
    let ticket = GrantTicket {
        key: KEY,
        attempt,
        claim: ClaimNumber(claim),
        target: TargetIdentity { name: "engine".into(), incarnation: 1 },
        address: "127.0.0.1:9000".into(),
        entry_time: at(entry_time),
    };
    EntryInput::Receive { link: LINK, message: ControlMessage::Grant(ticket) }
}

fn finish(claim: u64) -> EntryInput {
    EntryInput::Finish(FinishReport {
        key: KEY,
        claim: ClaimNumber(claim),
        outcome: RequestOutcome::Completed,
        reason: None,
        cached_tokens: 0,
        output_tokens: 1,
        first_token_ms: 1,
        total_ms: 2,
    })
}

/// Returns an agent that follows a leader of term 1 since time 10.
fn following_agent() -> EntryAgent {
    let mut agent = EntryAgent::open("entry", at(0));
    let _ = agent.step(at(0), EntryInput::LinkUp { link: LINK });
    let _ = agent.step(at(5), EntryInput::ConfigInstalled { version: 1 });
    let _ = agent.step(at(10), welcome(LINK, 1, 0));
    agent
}

/// Returns an agent whose attempt 1 holds claim 5 since time 20.
fn agent_with_grant() -> EntryAgent {
    let mut agent = following_agent();
    let _ = agent.step(at(20), submit(1));
    let outputs = agent.step(at(20), grant(1, 5, 0));
    assert!(matches!(&outputs[..], [EntryOutput::Answer { answer: AttemptAnswer::Grant(_), .. }]));
    agent
}

fn answers(outputs: &[EntryOutput]) -> Vec<&AttemptAnswer> {
    let mut answers = Vec::new();
    for output in outputs {
        if let EntryOutput::Answer { answer, .. } = output {
            answers.push(answer);
        }
    }
    answers
}

fn releases(outputs: &[EntryOutput]) -> usize {
    let is_release = |output: &&EntryOutput| {
        matches!(output, EntryOutput::Send { message: EntryMessage::Release { .. }, .. })
    };
    outputs.iter().filter(is_release).count()
}

/// Runs the timers every 100 ms, as the entry does.
fn tick_until(agent: &mut EntryAgent, end: u64) {
    for now in (0..=end).step_by(100) {
        let _ = agent.step(at(now), EntryInput::Tick);
    }
}

/// Guards against a report that is dropped when an answer to an earlier heartbeat arrives.
#[test]
fn a_report_is_kept_until_a_later_heartbeat_is_answered() {
    let mut agent = agent_with_grant();
    let _ = agent.step(at(30), finish(5));
    let _ = agent.step(at(40), welcome(LINK, 1, 30));
    assert_eq!(agent.summary(at(40)).unreported, 1);
    let _ = agent.step(at(50), welcome(LINK, 1, 31));
    assert_eq!(agent.summary(at(50)).unreported, 0);
}

/// Guards against a report that is dropped although it was sent to a leader of an earlier term or
/// over a link that failed.
#[test]
fn a_report_is_repeated_to_each_new_leader() {
    for (link, term) in [(LINK, 2), (OTHER_LINK, 1)] {
        let mut agent = agent_with_grant();
        let _ = agent.step(at(30), finish(5));
        let _ = agent.step(at(35), EntryInput::LinkUp { link: OTHER_LINK });
        let outputs = agent.step(at(50), welcome(link, term, 40));
        let repeated = outputs.iter().any(|output| {
            matches!(output, EntryOutput::Send { link: to, message: EntryMessage::Finish(_) }
                if *to == link)
        });
        assert!(repeated, "{outputs:?}");
        assert_eq!(agent.summary(at(50)).unreported, 1);
    }
}

/// Guards against a dispatch under an expired grant, including one that expired after it arrived.
#[test]
fn an_expired_grant_is_released() {
    let mut agent = following_agent();
    let _ = agent.step(at(20), submit(1));
    let _ = agent.step(at(2_400), welcome(LINK, 1, 2_300));
    let outputs = agent.step(at(2_400), grant(1, 5, 2_400 - GRANT_TTL_MS - 1));
    assert_eq!((releases(&outputs), answers(&outputs).len()), (1, 0));
    let mut agent = agent_with_grant();
    tick_until(&mut agent, GRANT_TTL_MS);
    assert!(agent.may_dispatch(at(GRANT_TTL_MS), KEY, ClaimNumber(5)));
    assert!(!agent.may_dispatch(at(GRANT_TTL_MS + 1), KEY, ClaimNumber(5)));
}

/// Guards against a repeated grant that makes the entry use a claim that it has released.
#[test]
fn a_released_claim_is_not_used_again() {
    let mut agent = agent_with_grant();
    let EntryInput::Submit(request) = submit(1) else { unreachable!() };
    let _ = agent.step(at(30), EntryInput::Retry { request, claim: ClaimNumber(5) });
    assert!(agent.step(at(40), grant(1, 5, 20)).is_empty());
    let outputs = agent.step(at(50), grant(1, 9, 20));
    assert_eq!(answers(&outputs).len(), 1);
}

/// Guards against two dispatches under one claim by two attempts of the same entry.
#[test]
fn a_claim_is_used_by_one_attempt() {
    let mut agent = agent_with_grant();
    let _ = agent.step(at(30), submit(2));
    let outputs = agent.step(at(40), grant(2, 5, 20));
    assert!(matches!(&answers(&outputs)[..], [AttemptAnswer::Resume { recorded: None, .. }]));
    let _ = agent.step(at(50), submit(3));
    let _ = agent.step(at(50), finish(5));
    let outputs = agent.step(at(60), grant(3, 5, 20));
    let recorded = Some(RequestOutcome::Completed);
    assert!(matches!(&answers(&outputs)[..], [AttemptAnswer::Resume { recorded: known, .. }]
        if *known == recorded));
}

/// Guards against an entry that becomes ready through the late answer of a frozen leader, or with
/// a configuration older than the one confirmed by a majority.
#[test]
fn readiness_depends_on_when_the_heartbeat_was_sent() {
    let mut agent = following_agent();
    tick_until(&mut agent, LEADER_TIMEOUT_MS - 1);
    assert!(agent.is_ready(at(LEADER_TIMEOUT_MS - 1)));
    tick_until(&mut agent, 6_000);
    let _ = agent.step(at(6_000), welcome(LINK, 1, 10));
    assert!(!agent.is_ready(at(6_000)));
    let mut agent = EntryAgent::open("entry", at(0));
    let _ = agent.step(at(0), EntryInput::LinkUp { link: LINK });
    let _ = agent.step(at(10), welcome(LINK, 1, 0));
    let _ = agent.step(at(10), EntryInput::ConfigInstalled { version: 0 });
    assert!(!agent.is_ready(at(10)));
    let _ = agent.step(at(10), EntryInput::ConfigInstalled { version: 1 });
    let _ = agent.step(at(10), EntryInput::ConfigInstalled { version: 0 });
    assert!(agent.is_ready(at(10)));
}

/// Guards against an entry that resumes from a freeze shorter than the leader timeout and serves
/// with an outdated configuration, either immediately or after an answer to a heartbeat that it
/// sent before the freeze.
#[test]
fn answers_to_heartbeats_from_before_a_freeze_do_not_restore_readiness() {
    let mut agent = following_agent();
    tick_until(&mut agent, 200);
    assert!(agent.is_ready(at(200)));
    let resumed_at = 200 + FREEZE_THRESHOLD_MS + 1;
    assert!(!agent.is_ready(at(resumed_at)));
    let _ = agent.step(at(resumed_at), EntryInput::Tick);
    let _ = agent.step(at(resumed_at), welcome(LINK, 1, 150));
    assert!(!agent.is_ready(at(resumed_at)));
    let _ = agent.step(at(resumed_at + 10), welcome(LINK, 1, resumed_at));
    assert!(agent.is_ready(at(resumed_at + 10)));
}

/// Guards against an entry that resumes from a pause shorter than a freeze and handles new requests
/// under an outdated configuration, either immediately or after an answer to a heartbeat that it
/// sent before the pause.
#[test]
fn new_requests_wait_for_an_answer_after_a_short_pause() {
    let mut agent = following_agent();
    tick_until(&mut agent, 300);
    assert!(agent.has_current_config(at(300 + PAUSE_THRESHOLD_MS)));
    let resumed_at = 300 + PAUSE_THRESHOLD_MS + 1;
    // A request may be read before the first tick.
    assert!(!agent.has_current_config(at(resumed_at)));
    let outputs = agent.step(at(resumed_at), EntryInput::Tick);
    let is_new_heartbeat = |output: &EntryOutput| {
        matches!(output, EntryOutput::Send { message: EntryMessage::Heartbeat { entry_time, .. }, .. }
            if *entry_time == at(resumed_at))
    };
    assert!(outputs.iter().any(is_new_heartbeat), "{outputs:?}");
    let _ = agent.step(at(resumed_at), welcome(LINK, 1, 300));
    assert!(!agent.has_current_config(at(resumed_at)) && agent.is_ready(at(resumed_at)));
    let _ = agent.step(at(resumed_at + 10), welcome(LINK, 1, resumed_at));
    assert!(agent.has_current_config(at(resumed_at + 10)));
}

/// Guards against new requests that are handled under a configuration that the leader has not
/// confirmed for two heartbeat intervals, while the entry itself is running.
#[test]
fn new_requests_wait_if_the_leader_is_silent() {
    let mut agent = following_agent();
    tick_until(&mut agent, CONFIG_CONFIRMATION_TTL_MS);
    assert!(agent.has_current_config(at(CONFIG_CONFIRMATION_TTL_MS - 1)));
    assert!(
        !agent.has_current_config(at(CONFIG_CONFIRMATION_TTL_MS))
            && agent.is_ready(at(CONFIG_CONFIRMATION_TTL_MS))
    );
    assert!(agent.has_recent_leader(at(LEADER_TIMEOUT_MS - 1)));
    assert!(!agent.has_recent_leader(at(LEADER_TIMEOUT_MS)));
    let _ = agent
        .step(at(CONFIG_CONFIRMATION_TTL_MS), welcome(LINK, 1, CONFIG_CONFIRMATION_TTL_MS - 10));
    assert!(agent.has_current_config(at(CONFIG_CONFIRMATION_TTL_MS)));
}

/// Guards against an attempt that waits forever because no leader answers its withdrawal.
#[test]
fn a_withdrawn_attempt_ends_without_a_leader() {
    let mut agent = following_agent();
    let _ = agent.step(at(20), submit(1));
    let _ = agent.step(at(20), EntryInput::LinkDown { link: LINK });
    let mut ended = Vec::new();
    for now in (50..23_000).step_by(50) {
        ended.extend(agent.step(at(now), EntryInput::Tick));
    }
    let unknown = AttemptAnswer::Withdrawn { outcome: RequestOutcome::Unknown };
    assert_eq!(answers(&ended), [&unknown]);
}
