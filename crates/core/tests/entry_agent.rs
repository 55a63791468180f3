//! The entry's side of the claim protocol, step by step.

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

/// An agent that follows a leader of term 1 since time 10.
fn following() -> EntryAgent {
    let mut agent = EntryAgent::open("entry", at(0));
    let _ = agent.step(at(0), EntryInput::LinkUp { link: LINK });
    let _ = agent.step(at(5), EntryInput::ConfigInstalled { version: 1 });
    let _ = agent.step(at(10), welcome(LINK, 1, 0));
    agent
}

/// An agent whose attempt 1 holds claim 5 since time 20.
fn granted() -> EntryAgent {
    let mut agent = following();
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

/// Runs the timers as the entry does.
fn tick_until(agent: &mut EntryAgent, end: u64) {
    for now in (0..=end).step_by(100) {
        let _ = agent.step(at(now), EntryInput::Tick);
    }
}

/// Guards against a report that is forgotten because an answer to an earlier heartbeat arrived.
#[test]
fn a_report_is_kept_until_a_later_question_is_answered() {
    let mut agent = granted();
    let _ = agent.step(at(30), finish(5));
    let _ = agent.step(at(40), welcome(LINK, 1, 30));
    assert_eq!(agent.summary(at(40)).unreported, 1);
    let _ = agent.step(at(50), welcome(LINK, 1, 31));
    assert_eq!(agent.summary(at(50)).unreported, 0);
}

/// Guards against a report that is forgotten although it went to a leader of an earlier term or
/// over a link that broke.
#[test]
fn a_report_is_repeated_to_each_new_leader() {
    for (link, term) in [(LINK, 2), (OTHER_LINK, 1)] {
        let mut agent = granted();
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

/// Guards against a dispatch with a grant that is too old, also if it aged after it arrived.
#[test]
fn an_old_grant_is_given_back() {
    let mut agent = following();
    let _ = agent.step(at(20), submit(1));
    let _ = agent.step(at(2_400), welcome(LINK, 1, 2_300));
    let outputs = agent.step(at(2_400), grant(1, 5, 2_400 - GRANT_TTL_MS - 1));
    assert_eq!((releases(&outputs), answers(&outputs).len()), (1, 0));
    let mut agent = granted();
    tick_until(&mut agent, GRANT_TTL_MS);
    assert!(agent.may_dispatch(at(GRANT_TTL_MS), KEY, ClaimNumber(5)));
    assert!(!agent.may_dispatch(at(GRANT_TTL_MS + 1), KEY, ClaimNumber(5)));
}

/// Guards against a second use of a claim that the entry gave back, by a grant that was repeated.
#[test]
fn a_released_claim_is_not_used_again() {
    let mut agent = granted();
    let EntryInput::Submit(request) = submit(1) else { unreachable!() };
    let _ = agent.step(at(30), EntryInput::Retry { request, claim: ClaimNumber(5) });
    assert!(agent.step(at(40), grant(1, 5, 20)).is_empty());
    let outputs = agent.step(at(50), grant(1, 9, 20));
    assert_eq!(answers(&outputs).len(), 1);
}

/// Guards against two dispatches under one claim, by two attempts of the same entry.
#[test]
fn a_claim_is_used_by_one_attempt() {
    let mut agent = granted();
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

/// Guards against an entry that counts as ready by the late answer of a frozen leader, or with
/// an older configuration than a majority confirmed.
#[test]
fn readiness_follows_the_time_of_the_question() {
    let mut agent = following();
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

/// Guards against an entry that wakes from a freeze shorter than the staleness bound and serves
/// with the configuration from before, on its own or by an answer that was on its way.
#[test]
fn answers_to_questions_before_a_freeze_do_not_count() {
    let mut agent = following();
    tick_until(&mut agent, 200);
    assert!(agent.is_ready(at(200)));
    let woken = 200 + FREEZE_THRESHOLD_MS + 1;
    assert!(!agent.is_ready(at(woken)));
    let _ = agent.step(at(woken), EntryInput::Tick);
    let _ = agent.step(at(woken), welcome(LINK, 1, 150));
    assert!(!agent.is_ready(at(woken)));
    let _ = agent.step(at(woken + 10), welcome(LINK, 1, woken));
    assert!(agent.is_ready(at(woken + 10)));
}

/// Guards against an entry that wakes from a pause shorter than a freeze and judges new requests by
/// the configuration from before, on its own or by an answer that was on its way.
#[test]
fn new_requests_wait_for_an_answer_after_a_short_pause() {
    let mut agent = following();
    tick_until(&mut agent, 300);
    assert!(agent.has_current_config(at(300 + PAUSE_THRESHOLD_MS)));
    let woken = 300 + PAUSE_THRESHOLD_MS + 1;
    // A request may be read before the first tick.
    assert!(!agent.has_current_config(at(woken)));
    let outputs = agent.step(at(woken), EntryInput::Tick);
    let asked = |output: &EntryOutput| {
        matches!(output, EntryOutput::Send { message: EntryMessage::Heartbeat { entry_time, .. }, .. }
            if *entry_time == at(woken))
    };
    assert!(outputs.iter().any(asked), "{outputs:?}");
    let _ = agent.step(at(woken), welcome(LINK, 1, 300));
    assert!(!agent.has_current_config(at(woken)) && agent.is_ready(at(woken)));
    let _ = agent.step(at(woken + 10), welcome(LINK, 1, woken));
    assert!(agent.has_current_config(at(woken + 10)));
}

/// Guards against new requests that are judged by a configuration which the leader has not
/// confirmed for longer than two heartbeats, although the entry runs.
#[test]
fn new_requests_wait_if_the_leader_is_silent() {
    let mut agent = following();
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

/// Guards against an attempt that waits for ever because no leader answers its withdrawal.
#[test]
fn a_withdrawn_attempt_ends_without_a_leader() {
    let mut agent = following();
    let _ = agent.step(at(20), submit(1));
    let _ = agent.step(at(20), EntryInput::LinkDown { link: LINK });
    let mut ended = Vec::new();
    for now in (50..23_000).step_by(50) {
        ended.extend(agent.step(at(now), EntryInput::Tick));
    }
    let unknown = AttemptAnswer::Withdrawn { outcome: RequestOutcome::Unknown };
    assert_eq!(answers(&ended), [&unknown]);
}
