//! Tests of admission at the control leader, with a log that commits on demand.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

#[path = "admission/harness.rs"]
mod harness;

use burdockcleat_core::admission::ENTRY_LOST_TIMEOUT_MS;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::ClaimNumber;
use burdockcleat_core::message::{ControlMessage, EntryMessage, FinishReport, GrantTicket};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use harness::{AdmissionHarness, ENTRY_A, ENTRY_B, submit, submit_call};

fn grant(message: &ControlMessage) -> Option<&GrantTicket> {
    match message {
        ControlMessage::Grant(ticket) => Some(ticket),
        _ => None,
    }
}

fn outcome(message: &ControlMessage) -> Option<RequestOutcome> {
    match message {
        ControlMessage::Refuse { outcome, .. } => Some(*outcome),
        _ => None,
    }
}

/// Guards against a second dispatch when a caller sends the same request through two entries.
#[test]
fn a_resend_through_another_entry_resumes() {
    let mut harness = AdmissionHarness::open();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.receive(ENTRY_B, EntryMessage::Submit(submit(1, 7)));
    harness.commit();
    let sent = harness.take_messages();
    let grants: Vec<_> = sent.iter().filter(|(_, message)| grant(message).is_some()).collect();
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].0, ENTRY_A);
    let resumed = sent.iter().any(|(entry, message)| {
        *entry == ENTRY_B && matches!(message, ControlMessage::Resume { attempt: 7, .. })
    });
    assert!(resumed, "{sent:?}");
}

/// Guards against a grant that is sent before its claim is committed by a majority.
#[test]
fn a_grant_waits_for_the_commit_of_its_claim() {
    let mut harness = AdmissionHarness::open();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    assert!(harness.take_messages().is_empty());
    harness.commit();
    assert!(grant(&harness.take_messages()[0].1).is_some());
}

/// Guards against a `not_run` answer from a leader that does not know that it was deposed.
#[test]
fn a_refusal_waits_for_the_commit_of_its_record() {
    let mut harness = AdmissionHarness::open();
    let mut request = submit(1, 1);
    request.pool = "unknown".into();
    harness.receive(ENTRY_A, EntryMessage::Submit(request));
    assert!(harness.take_messages().is_empty());
    harness.commit();
    assert_eq!(outcome(&harness.take_messages()[0].1), Some(RequestOutcome::NotRun));
}

/// Guards against a request that runs although a withdrawn attempt of it was answered `NotRun`.
#[test]
fn a_withdrawal_with_another_attempt_waiting_is_unknown() {
    let mut harness = AdmissionHarness::open();
    harness.fill_slots();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.receive(ENTRY_B, EntryMessage::Submit(submit(1, 2)));
    let key = submit(1, 1).key;
    harness.receive(ENTRY_A, EntryMessage::Withdraw { key, attempt: 1 });
    harness.commit();
    let sent = harness.take_messages();
    assert_eq!(outcome(&sent[0].1), Some(RequestOutcome::Unknown));
    harness.announce("engine-2", 1);
    harness.commit();
    let sent = harness.take_messages();
    assert_eq!(sent[0].0, ENTRY_B);
    assert!(grant(&sent[0].1).is_some());
}

/// Guards against a lost grant: the leader crashes after the commit and before it sends the grant.
#[test]
fn a_new_leader_repeats_the_grant_to_the_attempt_that_waits() {
    let mut harness = AdmissionHarness::open();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let lost = harness.take_messages();
    let claim = grant(&lost[0].1).unwrap().claim;
    harness.replace_leader();
    harness.hello(ENTRY_A, &[]);
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let sent = harness.take_messages();
    assert_eq!(grant(&sent[0].1).map(|ticket| ticket.claim), Some(claim));
}

/// Guards against a dispatch to a target that has left. A claim stays open after the leave if its
/// grant is lost with a link, so the repeated grant must be expired.
#[test]
fn a_grant_repeated_after_its_target_left_cannot_be_used() {
    let mut harness = AdmissionHarness::open();
    harness.hello(ENTRY_A, &[]);
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let lost = grant(&harness.take_messages()[0].1).unwrap().clone();
    assert!(lost.entry_time > ClockTime::default());
    harness.leave("engine-1", 1);
    harness.announce("engine-2", 1);
    harness.hello(ENTRY_A, &[]);
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let submitted = grant(&harness.take_messages()[0].1).unwrap().clone();
    harness.advance(1_100);
    let regranted = grant(&harness.take_messages()[0].1).unwrap().clone();
    for repeated in [submitted, regranted] {
        assert_eq!((repeated.claim, repeated.entry_time), (lost.claim, ClockTime::default()));
    }
    let release = EntryMessage::Release { key: lost.key, claim: lost.claim, retry: true };
    harness.receive(ENTRY_A, release);
    harness.commit();
    let next = grant(&harness.take_messages()[0].1).unwrap().clone();
    assert_eq!(next.target.name, "engine-2");
    assert!(next.entry_time > ClockTime::default());
}

/// Guards against a usable grant for a target that left between the proposal of the claim and its
/// commit.
#[test]
fn a_claim_committed_after_its_target_left_cannot_be_used() {
    let mut harness = AdmissionHarness::open();
    harness.hello(ENTRY_A, &[]);
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.leave("engine-1", 1);
    harness.commit();
    let ticket = grant(&harness.take_messages()[0].1).unwrap().clone();
    assert_eq!(ticket.entry_time, ClockTime::default());
}

/// Guards against claims that stay open forever because their entry crashed together with the
/// leader. Such an entry never sends `Hello` to the next leader, which must still time it out.
#[test]
fn an_entry_that_crashed_with_the_leader_is_lost_at_the_next_leader() {
    let mut harness = AdmissionHarness::open();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.receive(ENTRY_B, EntryMessage::Submit(submit(2, 1)));
    harness.commit();
    harness.replace_leader();
    harness.hello(ENTRY_B, &[]);
    harness.advance(ENTRY_LOST_TIMEOUT_MS - 1);
    assert_eq!(harness.state.summary().claims_ownerless, 0);
    harness.advance(1);
    let summary = harness.state.summary();
    assert_eq!((summary.claims_open, summary.claims_ownerless), (2, 1));
}

/// Guards against a second grant, after a failover, for a request that is already running.
#[test]
fn a_new_leader_does_not_grant_a_running_request_to_a_resend() {
    let mut harness = AdmissionHarness::open();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let claim = grant(&harness.take_messages()[0].1).unwrap().claim;
    harness.replace_leader();
    harness.hello(ENTRY_A, &[(submit(1, 1).key, claim)]);
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 9)));
    harness.receive(ENTRY_B, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let sent = harness.take_messages();
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|(_, message)| matches!(message, ControlMessage::Resume { .. })));
}

/// Guards against a request that gets stuck because its target was unreachable.
#[test]
fn a_released_request_is_granted_again_with_a_new_claim() {
    let mut harness = AdmissionHarness::open();
    harness.announce("engine-2", 1);
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let first = grant(&harness.take_messages()[0].1).unwrap().clone();
    let release = EntryMessage::Release { key: first.key, claim: first.claim, retry: true };
    harness.receive(ENTRY_A, release);
    harness.commit();
    let second = grant(&harness.take_messages()[0].1).unwrap().clone();
    assert!(second.claim > first.claim);
    assert_ne!(second.target, first.target);
}

/// Guards against a lost request after a failover, when the entry repeats the release of its claim
/// and then the submit.
#[test]
fn a_release_and_submit_repeated_to_a_new_leader_are_granted() {
    let mut harness = AdmissionHarness::open();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let first = grant(&harness.take_messages()[0].1).unwrap().clone();
    harness.replace_leader();
    harness.hello(ENTRY_A, &[]);
    let release = EntryMessage::Release { key: first.key, claim: first.claim, retry: true };
    harness.receive(ENTRY_A, release);
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    harness.end_rebuild();
    let sent = harness.take_messages();
    let second = sent.iter().find_map(|(_, message)| grant(message)).expect("a second grant");
    assert!(second.claim > first.claim);
}

/// Guards against a resend that gets no outcome, or runs again, after the request has ended.
#[test]
fn a_resend_after_the_end_gets_the_recorded_outcome() {
    let mut harness = AdmissionHarness::open();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let ticket = grant(&harness.take_messages()[0].1).unwrap().clone();
    harness.receive(ENTRY_A, EntryMessage::Finish(finish(&ticket, RequestOutcome::Completed)));
    harness.commit();
    harness.receive(ENTRY_B, EntryMessage::Submit(submit(1, 5)));
    harness.commit();
    let sent = harness.take_messages();
    let recorded = Some(RequestOutcome::Completed);
    assert!(
        matches!(&sent[0].1, ControlMessage::Resume { recorded: found, .. } if *found == recorded)
    );
}

/// Guards against a request that reuses an id and receives the answer of another request.
#[test]
fn a_reused_id_with_another_content_is_refused() {
    let mut harness = AdmissionHarness::open();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    harness.take_messages();
    let mut other = submit(1, 2);
    other.fingerprint.0 += 1;
    harness.receive(ENTRY_B, EntryMessage::Submit(other));
    let sent = harness.take_messages();
    assert!(matches!(
        sent[0].1,
        ControlMessage::Refuse {
            outcome: RequestOutcome::Failed,
            reason: ReasonCode::IdReused,
            ..
        }
    ));
}

/// Guards against a duplicate call that waits until its deadline although the owner released the
/// claim without a dispatch.
#[test]
fn a_duplicate_runs_after_the_owner_releases_its_claim() {
    for replaced in [false, true] {
        let mut harness = AdmissionHarness::open();
        harness.announce_service();
        harness.receive(ENTRY_A, EntryMessage::Submit(submit_call(1, 1)));
        harness.commit();
        let first = grant(&harness.take_messages()[0].1).unwrap().clone();
        if replaced {
            harness.replace_leader();
            harness.hello(ENTRY_A, &[]);
        }
        harness.receive(ENTRY_B, EntryMessage::Submit(submit_call(1, 2)));
        let (key, claim) = (first.key, first.claim);
        harness.receive(ENTRY_A, EntryMessage::Release { key, claim, retry: false });
        harness.commit();
        harness.end_rebuild();
        let sent = harness.take_messages();
        let granted = sent.iter().find(|(_, message)| grant(message).is_some());
        assert_eq!(granted.map(|(entry, _)| *entry), Some(ENTRY_B), "{sent:?}");
    }
}

/// Guards against an attempt that is told to resume a stream that never started. Its entry held an
/// earlier claim, and the grant of the next claim was lost with a link.
#[test]
fn a_lost_grant_is_repeated_after_a_retry() {
    let mut harness = AdmissionHarness::open();
    harness.announce("engine-two", 1);
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let first = grant(&harness.take_messages()[0].1).unwrap().clone();
    harness.hello(ENTRY_A, &[(first.key, first.claim)]);
    let release = EntryMessage::Release { key: first.key, claim: first.claim, retry: true };
    harness.receive(ENTRY_A, release);
    harness.commit();
    harness.take_messages();
    harness.hello(ENTRY_A, &[]);
    harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
    harness.commit();
    let sent = harness.take_messages();
    assert!(sent.iter().any(|(_, message)| grant(message).is_some()), "{sent:?}");
}

/// Guards against a request that stays tracked forever after its entry was lost, and against a
/// duplicate that never receives the outcome.
#[test]
fn waiting_duplicates_get_the_outcome_of_a_lost_entrys_claim() {
    let mut harness = AdmissionHarness::open();
    harness.announce_service();
    harness.receive(ENTRY_A, EntryMessage::Submit(submit_call(1, 1)));
    harness.commit();
    harness.receive(ENTRY_B, EntryMessage::Submit(submit_call(1, 2)));
    harness.take_messages();
    harness.disconnect_entry(ENTRY_A, 20_000);
    let sent = harness.take_messages();
    let ended = |message: &ControlMessage| {
        let unknown = Some(RequestOutcome::Unknown);
        matches!(message, ControlMessage::Resume { recorded, .. } if *recorded == unknown)
    };
    assert!(sent.iter().any(|(entry, message)| *entry == ENTRY_B && ended(message)), "{sent:?}");
    assert_eq!(harness.admission.request_count(), 0);
}

fn finish(ticket: &GrantTicket, outcome: RequestOutcome) -> FinishReport {
    FinishReport {
        key: ticket.key,
        claim: ClaimNumber(ticket.claim.0),
        outcome,
        reason: None,
        cached_tokens: 0,
        output_tokens: 8,
        first_token_ms: 10,
        total_ms: 50,
    }
}

/// Guards against new requests for a draining target: from the leader that applied the drain, from
/// a new leader that reads it from the log, or after the next announcement. Also guards against a
/// drain that applies to the next incarnation.
#[test]
fn a_drained_incarnation_gets_no_work_from_any_leader() {
    for applied_by_leader in [true, false] {
        let mut harness = AdmissionHarness::open();
        harness.drain("engine-1", 1, applied_by_leader);
        if !applied_by_leader {
            harness.replace_leader();
            harness.hello(ENTRY_A, &[]);
            harness.end_rebuild();
        }
        harness.announce("engine-1", 1);
        harness.take_messages();
        harness.receive(ENTRY_A, EntryMessage::Submit(submit(1, 1)));
        harness.announce("engine-1", 1);
        harness.commit();
        assert!(harness.take_messages().is_empty(), "applied by leader: {applied_by_leader}");
        harness.announce("engine-1", 2);
        harness.commit();
        let granted = harness.take_messages();
        let ticket = granted.iter().find_map(|(_, message)| grant(message)).expect("a grant");
        assert_eq!(ticket.target.incarnation, 2);
    }
}
