//! Tests of single commands of the replicated state machine.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::{
    ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity,
};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::state::{
    ClaimPhase, ClaimReply, ClaimRequest, CloseReply, CommandReply, DocumentReply, DrainSubject,
    ENDED_ORDER_RETENTION_MS, ENDED_ORDERS_KEPT, EXPIRE_BATCH, EngineOrder, ExpireReply,
    IDEMPOTENT_RETENTION_MS, NON_IDEMPOTENT_RETENTION_MS, OPERATIONS_KEPT, OWNERLESS_MARGIN_MS,
    OrderAction, OrderDoneReply, OrderId, OrderResult, RefuseReply, ReplicatedState, SnapshotError,
    StampedCommand, StateCommand, VERSIONS_KEPT,
};
use std::sync::Arc;

/// State together with the index of the last log entry.
struct Machine {
    state: ReplicatedState,
    index: u64,
}

impl Machine {
    fn new() -> Self {
        Self { state: ReplicatedState::new(), index: 0 }
    }

    fn apply(&mut self, at: u64, command: StateCommand) -> CommandReply {
        self.index += 1;
        let command = StampedCommand { at: ClockTime::from_ms(at), command };
        self.state.apply(self.index, &command)
    }

    fn claim(&mut self, at: u64, key: u128, idempotent: bool) -> ClaimReply {
        match self.apply(at, StateCommand::Claim(request(key, idempotent))) {
            CommandReply::Claim(reply) => reply,
            other => panic!("reply to a claim: {other:?}"),
        }
    }

    fn finish(&mut self, at: u64, key: u128, claim: u64, outcome: RequestOutcome) -> CommandReply {
        let (key, claim) = (RequestKey(key), ClaimNumber(claim));
        self.apply(at, StateCommand::Finish { key, claim, outcome, reason: None })
    }

    fn release(&mut self, at: u64, key: u128, claim: u64) -> CommandReply {
        let (key, claim) = (RequestKey(key), ClaimNumber(claim));
        self.apply(at, StateCommand::Release { key, claim })
    }

    fn expire(&mut self, at: u64) -> ExpireReply {
        match self.apply(at, StateCommand::ExpireClaims) {
            CommandReply::Expired(reply) => reply,
            other => panic!("reply to an expiry: {other:?}"),
        }
    }

    fn edit(
        &mut self,
        at: u64,
        base_version: u64,
        operation_id: &str,
        text: &str,
    ) -> DocumentReply {
        let (operation_id, author) = (operation_id.to_owned(), "operator".to_owned());
        let document = Arc::from(text);
        let changes = 1;
        let command =
            StateCommand::ApplyDocument { base_version, operation_id, author, document, changes };
        match self.apply(at, command) {
            CommandReply::Document(reply) => reply,
            other => panic!("reply to an edit: {other:?}"),
        }
    }

    fn order(&mut self, operation_id: &str) -> OrderId {
        let action = OrderAction::LoadModel { model: "m".to_owned(), version: "1".to_owned() };
        let order = EngineOrder { target: "engine-1".to_owned(), action };
        let operation_id = operation_id.to_owned();
        match self
            .apply(0, StateCommand::IssueOrder { order, operation_id, author: "operator".into() })
        {
            CommandReply::OrderIssued(id) => id,
            other => panic!("reply to an order: {other:?}"),
        }
    }
}

fn request(key: u128, idempotent: bool) -> ClaimRequest {
    ClaimRequest {
        key: RequestKey(key),
        fingerprint: RequestFingerprint(7),
        target: TargetIdentity { name: "engine-1".to_owned(), incarnation: 3 },
        address: "127.0.0.1:9001".to_owned(),
        entry: NodeId(1),
        workspace: "depot".to_owned(),
        pool: "chat".to_owned(),
        tier: 1,
        idempotent,
        deadline: ClockTime::from_ms(1_000),
    }
}

/// Guards against an edit that overwrites a concurrent edit, and against a resent edit that
/// conflicts with its first attempt or is applied twice.
#[test]
fn edits_compare_the_base_version_and_resends_get_the_first_reply() {
    let mut machine = Machine::new();
    assert_eq!(machine.edit(5, 0, "a", "one"), DocumentReply::Accepted { version: 1 });
    assert_eq!(machine.edit(6, 0, "b", "two"), DocumentReply::Conflict { current: 1 });
    assert_eq!(machine.edit(7, 1, "c", "three"), DocumentReply::Accepted { version: 2 });
    assert_eq!(machine.edit(8, 0, "a", "one"), DocumentReply::Accepted { version: 1 });
    assert_eq!(machine.edit(9, 0, "b", "two"), DocumentReply::Conflict { current: 1 });
    let config = machine.state.config();
    assert_eq!((config.version, &*config.document), (2, "three"));
    let history = machine.state.history();
    assert_eq!(history.iter().map(|record| record.version).collect::<Vec<_>>(), [2, 1]);
    assert_eq!((history[0].at, history[0].operation_id.as_str()), (ClockTime::from_ms(7), "c"));
}

/// Guards against an operation id that returns the result of a different request.
#[test]
fn reuse_of_an_operation_id_for_another_request_is_refused() {
    let mut machine = Machine::new();
    machine.edit(0, 0, "a", "one");
    let edit = |base_version, author: &str, text: &str| StateCommand::ApplyDocument {
        base_version,
        operation_id: "a".into(),
        author: author.into(),
        document: text.into(),
        changes: 9,
    };
    let first = CommandReply::Document(DocumentReply::Accepted { version: 1 });
    assert_eq!(machine.apply(1, edit(0, "operator", "one")), first);
    let action = OrderAction::UnloadModel { model: "m".into() };
    let order = EngineOrder { target: "engine-1".into(), action };
    let (operation_id, author) = ("a".to_owned(), "operator".to_owned());
    let target = TargetIdentity { name: "engine-1".into(), incarnation: 3 };
    let subject = DrainSubject::Target(target);
    for other in [
        edit(1, "operator", "one"),
        edit(0, "operator", "two"),
        edit(0, "another", "one"),
        StateCommand::IssueOrder { order, operation_id: "a".into(), author: author.clone() },
        StateCommand::Drain { subject, operation_id, author },
    ] {
        assert_eq!(machine.apply(2, other), CommandReply::OperationReused);
    }
    assert_eq!((machine.state.config().version, machine.state.orders().count()), (1, 0));
    assert_eq!(machine.state.drains().count(), 0);
}

/// Guards against a drain that also applies to the restarted process, that is missing from a
/// snapshot, or that a resend applies to the restarted process.
#[test]
fn a_drain_applies_to_one_incarnation() {
    let mut machine = Machine::new();
    let drain = |incarnation, operation_id: &str| StateCommand::Drain {
        subject: DrainSubject::Target(TargetIdentity { name: "engine-1".into(), incarnation }),
        operation_id: operation_id.into(),
        author: "operator".into(),
    };
    let target =
        |incarnation| DrainSubject::Target(TargetIdentity { name: "engine-1".into(), incarnation });
    assert_eq!(machine.apply(1, drain(3, "d")), CommandReply::Drained(target(3)));
    assert_eq!(machine.apply(2, drain(4, "d")), CommandReply::Drained(target(3)));
    let subject = DrainSubject::Entry { name: "engine-1".into(), node: NodeId(8) };
    let (operation_id, author) = ("e".to_owned(), "operator".to_owned());
    machine.apply(3, StateCommand::Drain { subject, operation_id, author });
    let restored = ReplicatedState::restore(&machine.state.snapshot()).expect("a snapshot");
    assert!(restored.drains().any(|subject| *subject == target(3)));
    assert!(restored.entry_drained(NodeId(8)) && !restored.entry_drained(NodeId(9)));
    machine.apply(4, drain(4, "f"));
    assert_eq!(machine.state.drains().count(), 2);
}

/// Guards against an ended order that is removed while an operator is still waiting for its result.
#[test]
fn an_ended_order_stays_listed_for_its_retention() {
    let mut machine = Machine::new();
    for number in 0..=ENDED_ORDERS_KEPT {
        let id = machine.order(&format!("order-{number}"));
        machine.apply(0, StateCommand::OrderDone { id, result: OrderResult::Succeeded });
    }
    assert_eq!(machine.state.orders().count(), ENDED_ORDERS_KEPT + 1);
    let id = machine.order("later");
    let done = StateCommand::OrderDone { id, result: OrderResult::Succeeded };
    machine.apply(ENDED_ORDER_RETENTION_MS, done);
    assert_eq!(machine.state.orders().count(), ENDED_ORDERS_KEPT);
}

/// Guards against operation ids that are kept without limit, or that are removed too early.
#[test]
fn operation_ids_are_kept_for_the_stated_number_of_operations() {
    let mut machine = Machine::new();
    machine.edit(0, 0, "first", "text");
    for number in 1..OPERATIONS_KEPT {
        machine.order(&format!("order-{number}"));
    }
    assert_eq!(machine.edit(0, 0, "first", "text"), DocumentReply::Accepted { version: 1 });
    machine.order("one more");
    assert_eq!(machine.edit(0, 0, "first", "text"), DocumentReply::Conflict { current: 1 });
}

/// Guards against a history that loses the text of a kept version, or keeps more versions than
/// [`VERSIONS_KEPT`].
#[test]
fn history_keeps_the_text_of_the_last_versions() {
    let mut machine = Machine::new();
    let total = VERSIONS_KEPT as u64 + 6;
    for version in 0..total {
        machine.edit(version, version, &format!("op-{version}"), &text_of(version + 1));
    }
    let oldest = total - VERSIONS_KEPT as u64 + 1;
    assert_eq!(machine.state.document(oldest - 1), None);
    for version in oldest..=total {
        assert_eq!(machine.state.document(version).as_deref(), Some(&*text_of(version)));
    }
    assert_eq!(machine.state.history().len(), VERSIONS_KEPT);
}

/// Returns a text whose middle changes and varies in length from version to version, with
/// multi-byte characters next to the change.
fn text_of(version: u64) -> String {
    let middle = ["è", "é", "ũ", "", "日", "本語"][version as usize % 6];
    format!("head é{middle}è tail {}", version / 3)
}

/// Guards against a second claim of a key whose claim is open or has ended, and against a key that
/// cannot be claimed again after a release.
#[test]
fn a_key_is_claimed_again_only_after_a_release() {
    let mut machine = Machine::new();
    assert_eq!(machine.claim(0, 9, true), ClaimReply::Created(ClaimNumber(1)));
    assert!(matches!(machine.claim(0, 9, true), ClaimReply::AlreadyOpen(_)));
    assert_eq!(machine.release(0, 9, 1), CommandReply::Close(CloseReply::Accepted));
    assert_eq!(machine.claim(0, 9, true), ClaimReply::Created(ClaimNumber(4)));
    let wrong = CommandReply::Close(CloseReply::WrongClaim);
    assert_eq!(machine.release(0, 9, 1), wrong);
    assert_eq!(machine.finish(0, 9, 1, RequestOutcome::Failed), wrong);
    let accepted = CommandReply::Close(CloseReply::Accepted);
    assert_eq!(machine.finish(3, 9, 4, RequestOutcome::Completed), accepted);
    let ClaimReply::AlreadyEnded(record) = machine.claim(4, 9, true) else {
        panic!("claimed again after the end")
    };
    assert_eq!(
        record.phase,
        ClaimPhase::Ended {
            at: ClockTime::from_ms(3),
            outcome: RequestOutcome::Completed,
            reason: None
        }
    );
    let late = CommandReply::Close(CloseReply::AlreadyEnded(record));
    assert_eq!(machine.finish(5, 9, 4, RequestOutcome::Failed), late);
    assert_eq!(machine.release(5, 9, 4), late);
}

/// Guards against a delayed attempt that runs after its caller was told `not_run`, and against the
/// refusal of a request that may have run.
#[test]
fn a_refused_key_is_not_claimed_before_the_refusal_ends() {
    let mut machine = Machine::new();
    let refuse = |key: u128, until| StateCommand::Refuse {
        key: RequestKey(key),
        until: ClockTime::from_ms(until),
        reason: ReasonCode::Overloaded,
    };
    let recorded = CommandReply::Refuse(RefuseReply::Recorded);
    assert_eq!(machine.apply(0, refuse(1, 500)), recorded);
    assert!(matches!(machine.claim(499, 1, true), ClaimReply::Refused(_)));
    assert_eq!(machine.claim(500, 1, true), ClaimReply::Created(ClaimNumber(3)));
    let claimed = |reply| matches!(reply, CommandReply::Refuse(RefuseReply::AlreadyClaimed(_)));
    assert!(claimed(machine.apply(500, refuse(1, 900))));
    machine.finish(500, 1, 3, RequestOutcome::Failed);
    assert!(claimed(machine.apply(500, refuse(1, 900))));
    assert_eq!(machine.state.summary().refusals, 1);
    machine.expire(500);
    assert_eq!(machine.state.summary().refusals, 0);
}

/// Guards against ended claims that are removed before the end of their retention or kept after it.
#[test]
fn ended_claims_are_kept_for_their_retention() {
    let mut machine = Machine::new();
    for (key, idempotent) in [(1, true), (2, false)] {
        machine.claim(0, key, idempotent);
    }
    machine.finish(100, 1, 1, RequestOutcome::Completed);
    machine.finish(100, 2, 2, RequestOutcome::Completed);
    for (retention, left) in [(IDEMPOTENT_RETENTION_MS, 1), (NON_IDEMPOTENT_RETENTION_MS, 0)] {
        assert_eq!(machine.expire(100 + retention).removed, 0);
        assert_eq!(machine.expire(101 + retention).removed, 1);
        assert_eq!(machine.state.summary().claims, left);
    }
}

/// Guards against the claim of a lost owner that is removed, or that occupies its target forever.
#[test]
fn an_ownerless_claim_ends_as_unknown_after_its_deadline() {
    let mut machine = Machine::new();
    machine.claim(0, 1, true);
    let lost = StateCommand::OwnerLost { entry: NodeId(1) };
    assert_eq!(machine.apply(1, lost), CommandReply::OwnerLost(vec![ClaimNumber(1)]));
    assert_eq!(machine.state.open_claims_of(NodeId(1)).count(), 1);
    assert_eq!(machine.expire(1_000 + OWNERLESS_MARGIN_MS), ExpireReply::default());
    assert_eq!(machine.expire(1_001 + OWNERLESS_MARGIN_MS).ended, [ClaimNumber(1)]);
    let record = machine.state.claim(RequestKey(1)).unwrap();
    assert!(matches!(
        record.phase,
        ClaimPhase::Ended {
            outcome: RequestOutcome::Unknown,
            reason: Some(ReasonCode::OwnerLost),
            ..
        }
    ));
    assert!(matches!(machine.claim(9_000, 1, true), ClaimReply::AlreadyEnded(_)));
}

/// Guards against an expiry after a long pause that blocks every replica.
#[test]
fn one_expiry_removes_a_bounded_number_of_claims() {
    let mut machine = Machine::new();
    for key in 0..EXPIRE_BATCH as u128 + 1 {
        let ClaimReply::Created(claim) = machine.claim(0, key, true) else { panic!("not created") };
        machine.finish(0, key, claim.0, RequestOutcome::Completed);
    }
    let first = machine.expire(IDEMPOTENT_RETENTION_MS + 1);
    assert_eq!((first.removed, first.more), (EXPIRE_BATCH, true));
    let second = machine.expire(IDEMPOTENT_RETENTION_MS + 1);
    assert_eq!((second.removed, second.more), (1, false));
}

/// Tolerance in bytes for the varying size of the index.
const INDEX_SIZE_TOLERANCE: usize = 64 * 1_024;

/// Guards against rows, target incarnations or names that stay in memory after their claims are
/// removed, both in the original state and in one restored from a snapshot.
#[test]
fn removed_claims_release_their_memory() {
    let mut machine = Machine::new();
    let mut bytes = None;
    for round in 0..6_u64 {
        let at = round * (IDEMPOTENT_RETENTION_MS + 1);
        for number in 0..5_000 {
            let key = u128::from(round * 5_000 + number);
            let mut claim = request(key, true);
            claim.target.incarnation = round;
            claim.entry = NodeId(number % 7 + round);
            machine.apply(at, StateCommand::Claim(claim));
            let claim = machine.index;
            if number % 3 == 0 {
                machine.release(at, key, claim);
            } else {
                machine.finish(at, key, claim, RequestOutcome::Completed);
            }
        }
        // The shards of the index grow at different times, so its size varies by a few KiB.
        let bytes =
            *bytes.get_or_insert(machine.state.summary().claim_bytes + INDEX_SIZE_TOLERANCE);
        assert!(machine.state.summary().claim_bytes <= bytes, "round {round}");
        let snapshot = machine.state.snapshot();
        let restored = ReplicatedState::restore(&snapshot).expect("an undamaged snapshot");
        let mut restored = Machine { state: restored, index: machine.index };
        for machine in [&mut machine, &mut restored] {
            machine.expire(at + IDEMPOTENT_RETENTION_MS + 1);
            let summary = machine.state.summary();
            assert_eq!((summary.claims, summary.shared_values), (0, 0), "round {round}");
        }
    }
}

/// Guards against a leader whose clock is behind and moves the state machine time back.
#[test]
fn state_machine_time_never_goes_back() {
    let mut machine = Machine::new();
    machine.apply(500, StateCommand::Barrier);
    machine.edit(20, 0, "a", "text");
    assert_eq!(machine.state.history()[0].at, ClockTime::from_ms(500));
}

/// Guards against a table that is reported as full too early or too late.
#[test]
fn the_limit_and_its_reserve_are_reported() {
    let mut machine = Machine::new();
    machine.state.set_claim_limit(20);
    for key in 0..22 {
        assert_eq!(machine.state.claims_full(), key >= 20);
        assert!(!machine.state.reserve_exhausted());
        machine.claim(0, key, true);
    }
    assert!(machine.state.reserve_exhausted());
}

/// Guards against a resent order that is issued again, and against a second result that replaces
/// the first one.
#[test]
fn a_resent_order_keeps_its_fencing_number_and_its_result() {
    let mut machine = Machine::new();
    machine.apply(0, StateCommand::Barrier);
    let id = machine.order("load");
    assert_eq!((id, machine.order("load")), (OrderId(2), OrderId(2)));
    assert_eq!(machine.state.orders().count(), 1);
    let done = |result: &OrderResult| StateCommand::OrderDone { id, result: result.clone() };
    let accepted = CommandReply::OrderDone(OrderDoneReply::Accepted);
    assert_eq!(machine.apply(0, done(&OrderResult::Unknown)), accepted);
    let kept = CommandReply::OrderDone(OrderDoneReply::AlreadyDone(OrderResult::Unknown));
    assert_eq!(machine.apply(0, done(&OrderResult::Succeeded)), kept);
}

/// Guards against a quarantine that lasts longer than its end or is shortened by a later command.
#[test]
fn quarantine_lasts_until_its_latest_end() {
    let mut machine = Machine::new();
    let fingerprint = RequestFingerprint(4);
    for until in [900, 600] {
        let until = ClockTime::from_ms(until);
        machine.apply(0, StateCommand::Quarantine { fingerprint, until });
    }
    let ends = |at| machine.state.quarantine_end(fingerprint, ClockTime::from_ms(at));
    assert_eq!((ends(899), ends(900)), (Some(ClockTime::from_ms(900)), None));
}

/// Guards against a clone that sees later changes, since it shares rows with the original until
/// they change. A snapshot of it would contain the effects of later log entries.
#[test]
fn a_clone_keeps_its_claims_while_the_table_changes() {
    const CLAIMS: u64 = 10_000;
    let mut machine = Machine::new();
    for number in 1..=CLAIMS {
        machine.claim(0, u128::from(number), true);
    }
    let clone = machine.state.clone();
    let before = clone.snapshot();
    for number in 1..=CLAIMS {
        match number % 3 {
            0 => machine.release(1, u128::from(number), number),
            1 => machine.finish(1, u128::from(number), number, RequestOutcome::Completed),
            _ => CommandReply::Claim(machine.claim(1, u128::from(CLAIMS + number), true)),
        };
    }
    assert!(machine.state.snapshot() != before);
    assert!(clone.snapshot() == before);
    let restored = ReplicatedState::restore(&machine.state.snapshot()).unwrap();
    assert!(restored.snapshot() == machine.state.snapshot());
}

/// Guards against a snapshot that is restored in part although it is damaged or has another format
/// version.
#[test]
fn damaged_snapshots_are_refused() {
    let mut machine = Machine::new();
    machine.claim(0, 1, true);
    let snapshot = machine.state.snapshot();
    assert!(matches!(ReplicatedState::restore(&[1, 0]), Err(SnapshotError::TooShort { .. })));
    for position in 0..snapshot.len() {
        let mut damaged = snapshot.clone();
        damaged[position] ^= 0x10;
        assert!(ReplicatedState::restore(&damaged).is_err(), "byte {position} was changed");
    }
    let cut = &snapshot[..snapshot.len() - 1];
    assert!(matches!(ReplicatedState::restore(cut), Err(SnapshotError::Checksum { .. })));
}
