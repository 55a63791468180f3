//! Differential tests of the replicated state machine against a naive implementation that scans
//! plain maps. Snapshots are restored at random points.

#[path = "state_differential/naive.rs"]
mod naive;

use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::{
    ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity,
};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::state::{
    ClaimRequest, DrainSubject, EngineOrder, IDEMPOTENT_RETENTION_MS, NON_IDEMPOTENT_RETENTION_MS,
    OWNERLESS_MARGIN_MS, OrderAction, OrderId, OrderResult, ReplicatedState, StampedCommand,
    StateCommand,
};
use naive::{NaiveState, is_open};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn target_of(number: u8) -> TargetIdentity {
    TargetIdentity { name: format!("engine-{}", number % 2), incarnation: u64::from(number) }
}

/// Panics unless every query of the state machine agrees with the naive implementation.
fn compare_queries(state: &ReplicatedState, naive: &NaiveState, keys: u128) {
    for key in (0..keys).map(RequestKey) {
        assert_eq!(state.claim(key).as_ref(), naive.claims.get(&key));
        assert_eq!(state.refusal(key), naive.refusal(key));
    }
    let mut open: Vec<_> = naive.claims.values().filter(|record| is_open(record)).collect();
    open.sort_by_key(|record| record.claim);
    assert!(state.open_claims().eq(open.iter().map(|&record| record.clone())));
    for entry in (0..3).map(NodeId) {
        let expected = open.iter().filter(|record| record.entry == entry);
        assert!(state.open_claims_of(entry).eq(expected.map(|&record| record.clone())));
    }
    for target in (0..4).map(target_of) {
        let expected = open.iter().filter(|record| record.target == target);
        assert!(state.open_claims_at(&target).eq(expected.map(|&record| record.clone())));
    }
    let config = state.config();
    assert_eq!(config.version, naive.documents.len() as u64);
    let first = config.version.saturating_sub(63).max(1);
    for version in first..=config.version {
        let expected = &naive.documents[version as usize - 1];
        assert_eq!(state.document(version).as_deref(), Some(expected.as_str()));
    }
    assert!(state.orders().eq(naive.orders.values()));
    assert!(state.drains().eq(&naive.drains));
    let marks = state.suspects().map(|mark| ((mark.fingerprint, mark.target), mark.at));
    assert!(marks.eq(naive.marks.clone()));
    for fingerprint in (0..3).map(RequestFingerprint) {
        let end = naive.quarantines.get(&fingerprint).copied().filter(|&end| end > naive.now);
        assert_eq!(state.quarantine_end(fingerprint, naive.now), end);
    }
    let summary = state.summary();
    assert_eq!((summary.claims, summary.claims_open), (naive.claims.len(), open.len()));
}

/// Command with the time that passes before it, and whether to restore a snapshot after it.
#[derive(Clone, Debug)]
struct Step {
    elapsed_ms: u64,
    /// How far the clock of the leader is behind.
    behind_ms: u64,
    restore: bool,
    command: StateCommand,
}

prop_compose! {
    fn claim_request(keys: u128)(
        key in 0..keys,
        fingerprint in 0..3_u64,
        target in 0..4_u8,
        entry in 0..3_u64,
        name in 0..4_u8,
        idempotent in any::<bool>(),
        deadline in 0..40_000_u64,
    ) -> ClaimRequest {
        ClaimRequest {
            key: RequestKey(key),
            fingerprint: RequestFingerprint(fingerprint),
            target: target_of(target),
            address: format!("127.0.0.1:{}", 9_000 + u16::from(target)),
            entry: NodeId(entry),
            workspace: format!("workspace-{name}"),
            pool: format!("pool-{}", name % 2),
            tier: name,
            idempotent,
            deadline: ClockTime::from_ms(deadline),
        }
    }
}

fn outcome() -> impl Strategy<Value = RequestOutcome> {
    prop_oneof![
        Just(RequestOutcome::Completed),
        Just(RequestOutcome::Failed),
        Just(RequestOutcome::Unknown),
    ]
}

/// Generates claim commands. Claim numbers are taken from `0..indexes`; [`run`] replaces zero by
/// the current claim of the key.
fn claim_command(keys: u128, indexes: u64) -> impl Strategy<Value = StateCommand> {
    let number = prop_oneof![3 => Just(0), 1 => 0..indexes].prop_map(ClaimNumber);
    let key = (0..keys).prop_map(RequestKey);
    let until = (0..200_000_u64).prop_map(ClockTime::from_ms);
    let reason = prop_oneof![Just(None), Just(Some(ReasonCode::UpstreamCut))];
    prop_oneof![
        6 => claim_request(keys).prop_map(StateCommand::Claim),
        1 => (key.clone(), until).prop_map(|(key, until)| {
            StateCommand::Refuse { key, until, reason: ReasonCode::Overloaded }
        }),
        2 => (key.clone(), number.clone())
            .prop_map(|(key, claim)| StateCommand::Release { key, claim }),
        4 => (key, number, outcome(), reason).prop_map(|(key, claim, outcome, reason)| {
            StateCommand::Finish { key, claim, outcome, reason }
        }),
        1 => (0..3_u64).prop_map(|entry| StateCommand::OwnerLost { entry: NodeId(entry) }),
        2 => Just(StateCommand::ExpireClaims),
        1 => Just(StateCommand::Barrier),
    ]
}

/// Generates commands that do not concern claims.
fn other_command() -> impl Strategy<Value = StateCommand> {
    let fingerprint = (0..3_u64).prop_map(RequestFingerprint);
    let time = (0..100_000_u64).prop_map(ClockTime::from_ms);
    let target = (0..2_u8).prop_map(|number| format!("engine-{number}"));
    let order = target.clone().prop_map(|target| EngineOrder {
        target,
        action: OrderAction::SetRole { role: "prefill".to_owned() },
    });
    let result = prop_oneof![Just(OrderResult::Succeeded), Just(OrderResult::Unknown)];
    let operation = (0..60_u8).prop_map(|number| format!("operation-{number}"));
    prop_oneof![
        (0..8_u64, operation.clone(), "[a-cé]{0,8}").prop_map(|(base, operation_id, text)| {
            let (author, document) = ("operator".to_owned(), text.into());
            let changes = base as u32;
            StateCommand::ApplyDocument {
                base_version: base,
                operation_id,
                author,
                document,
                changes,
            }
        }),
        (fingerprint.clone(), target, time.clone()).prop_map(|(fingerprint, target, at)| {
            StateCommand::SuspectMark { fingerprint, target, at }
        }),
        fingerprint.clone().prop_map(|fingerprint| StateCommand::SuspectClear { fingerprint }),
        (fingerprint, time)
            .prop_map(|(fingerprint, until)| StateCommand::Quarantine { fingerprint, until }),
        (order, operation.clone()).prop_map(|(order, operation_id)| {
            StateCommand::IssueOrder { order, operation_id, author: "operator".to_owned() }
        }),
        (0..4_u8, any::<bool>(), operation).prop_map(|(number, entry, operation_id)| {
            let target = target_of(number);
            let subject = match entry {
                true => DrainSubject::Entry { name: target.name, node: NodeId(number.into()) },
                false => DrainSubject::Target(target),
            };
            StateCommand::Drain { subject, operation_id, author: "operator".to_owned() }
        }),
        (0..200_u64, result)
            .prop_map(|(id, result)| StateCommand::OrderDone { id: OrderId(id), result }),
    ]
}

fn step(command: impl Strategy<Value = StateCommand>) -> impl Strategy<Value = Step> {
    let elapsed_ms = prop_oneof![
        10 => 0..2_000_u64,
        2 => Just(OWNERLESS_MARGIN_MS),
        1 => Just(IDEMPOTENT_RETENTION_MS),
        1 => Just(NON_IDEMPOTENT_RETENTION_MS / 2),
    ];
    let behind_ms = prop_oneof![9 => Just(0), 1 => 0..5_000_u64];
    let restore = prop_oneof![9 => Just(false), 1 => Just(true)];
    (elapsed_ms, behind_ms, restore, command).prop_map(
        |(elapsed_ms, behind_ms, restore, command)| Step {
            elapsed_ms,
            behind_ms,
            restore,
            command,
        },
    )
}

/// Replaces a claim number of zero by the number of the current claim of the key.
fn resolve_claim_number(command: &mut StateCommand, naive: &NaiveState) {
    let (StateCommand::Release { key, claim } | StateCommand::Finish { key, claim, .. }) = command
    else {
        return;
    };
    if claim.0 == 0
        && let Some(record) = naive.claims.get(key)
    {
        *claim = record.claim;
    }
}

/// Runs the steps on both implementations. After a restore, the original state runs on along with
/// the restored one, and both must give the same replies.
fn run(steps: Vec<Step>, keys: u128, compare_each: bool) {
    let mut naive = NaiveState::default();
    let mut states = vec![ReplicatedState::new()];
    let mut clock = ClockTime::default();
    for (position, step) in steps.into_iter().enumerate() {
        clock = clock.plus(step.elapsed_ms);
        let at = ClockTime::from_ms(clock.as_ms().saturating_sub(step.behind_ms));
        let mut command = step.command;
        resolve_claim_number(&mut command, &naive);
        let stamped = StampedCommand { at, command };
        let index = position as u64 + 1;
        let expected = naive.apply(index, &stamped);
        for state in &mut states {
            assert_eq!(state.apply(index, &stamped), expected);
        }
        if step.restore {
            let snapshot = states[0].snapshot();
            let restored = ReplicatedState::restore(&snapshot).expect("an undamaged snapshot");
            assert_eq!(restored.snapshot(), snapshot);
            states.truncate(1);
            states.push(restored);
        }
        if compare_each {
            compare_queries(&states[states.len() - 1], &naive, keys);
        }
    }
    for state in &states {
        compare_queries(state, &naive, keys);
        assert_eq!(state.snapshot(), states[0].snapshot());
    }
}

fn seeded(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(seed), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded(0x5eed_0001, 400))]

    /// Guards against a reply or a query result that differs from the naive implementation, and
    /// against a restored replica that diverges. Few keys are used, so that each one is claimed
    /// many times.
    #[test]
    fn claims_match_the_naive_version(
        steps in prop::collection::vec(step(claim_command(6, 120)), 1..120),
    ) {
        run(steps, 6, true);
    }
}

proptest! {
    #![proptest_config(seeded(0x5eed_0002, 24))]

    /// Guards against errors in the index and the retention queues that occur only with many
    /// claims: growth, removal within a probe sequence, reuse of freed rows.
    #[test]
    fn large_tables_match_the_naive_version(
        steps in prop::collection::vec(step(claim_command(4_000, 3_000)), 2_000..3_000),
    ) {
        run(steps, 4_000, false);
    }
}

proptest! {
    #![proptest_config(seeded(0x5eed_0003, 200))]

    /// Guards against configuration, orders, suspect marks or quarantines that differ from the
    /// naive implementation or are missing from a snapshot.
    #[test]
    fn other_commands_match_the_naive_version(
        steps in prop::collection::vec(
            step(prop_oneof![3 => other_command(), 1 => claim_command(3, 100)]),
            1..160,
        ),
    ) {
        run(steps, 3, true);
    }
}
