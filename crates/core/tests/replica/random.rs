//! Random schedules, which go beyond the bounds of the searches.

use crate::cluster::{member, voters};
use crate::model::{Action, Model, Setup};
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::{EntryPayload, LogEntry, SafetyRules};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use std::cell::Cell;

/// Seeds of the schedules. A seed that has found a bug is added here.
const SEEDS: [u64; 4] = [1, 20_261_204, 0x5eed, 0xb0c1];

const SCHEDULES_PER_SEED: u32 = 60;

/// Number of messages in flight above which the oldest ones are lost.
const MAX_IN_FLIGHT: usize = 40;

/// Random numbers that select an action: its kind, its node or message, and a detail.
type ActionChoice = (u8, u8, u8);

/// Turns random numbers into an action, if the model allows it.
fn choose_action(model: &Model, (kind, at, detail): ActionChoice) -> Option<Action> {
    let node = usize::from(at) % model.nodes.len();
    let packet = (!model.network.is_empty()).then(|| {
        // Prefers the oldest messages, so that exchanges of messages are completed.
        usize::from(at) * usize::from(detail) / 64 % model.network.len().min(8)
    });
    Some(match kind {
        0..130 => Action::Deliver { at: packet?, duplicate: false },
        130..136 => Action::Deliver { at: packet?, duplicate: true },
        136..144 => Action::DropMessage(packet?),
        144..186 => Action::Tick(node),
        186..212 => Action::Advance(u64::from(detail)),
        212..229 => Action::Propose(node),
        229..232 => Action::CrashInSync(node),
        232..243 => choose_member_change(model, node, detail)?,
        243..247 => Action::Compact(node),
        247..250 => Action::Transfer(node),
        250..254 => Action::Crash(node),
        _ if detail < 64 => Action::LoseDisk(node),
        _ => return None,
    })
}

fn choose_member_change(model: &Model, node: usize, detail: u8) -> Option<Action> {
    let replica = &model.nodes[node].replica;
    if !replica.is_leader() {
        return None;
    }
    let members = replica.members();
    let subject = model.nodes[usize::from(detail) % model.nodes.len()].id;
    let next = if members.learners.iter().any(|learner| learner.node == NodeId(subject)) {
        members.with_promoted(NodeId(subject))
    } else if members.contains(NodeId(subject)) {
        // A member that has lost its process is removed first.
        let alive = |node: NodeId| model.nodes.iter().any(|other| NodeId(other.id) == node);
        let gone = members.others(replica.node()).find(|node| !alive(*node));
        members.without(gone.unwrap_or(NodeId(subject)))
    } else {
        members.with_learner(member(subject))
    };
    Some(Action::Change(node, next))
}

fn apply_schedule(model: &mut Model, schedule: &[ActionChoice]) -> Result<(), TestCaseError> {
    for choice in schedule {
        let Some(action) = choose_action(model, *choice) else { continue };
        model.apply(&action);
        let surplus = model.network.len().saturating_sub(MAX_IN_FLIGHT);
        model.network.drain(..surplus);
        prop_assert_eq!(model.violation, None, "after {:?}", action);
    }
    Ok(())
}

/// Runs the model for 6 s without faults, with all messages delivered in order.
fn run_without_faults(model: &mut Model) -> Result<(), TestCaseError> {
    for _ in 0..150 {
        model.apply(&Action::Advance(40));
        for at in 0..model.nodes.len() {
            model.apply(&Action::Tick(at));
        }
        for _ in 0..200 {
            if model.network.is_empty() {
                break;
            }
            model.apply(&Action::Deliver { at: 0, duplicate: false });
        }
        prop_assert_eq!(model.violation, None);
    }
    Ok(())
}

/// Returns whether a majority of the voters still have their disks.
///
/// This must hold for the last two committed memberships. A replica may go back to the earlier one
/// until the second entry with the last one is committed.
fn has_quorum(model: &Model) -> bool {
    let initial = voters(&[1, 2, 3]);
    let committed = model.committed.values().rev().filter_map(|(entry, _)| match &entry.payload {
        EntryPayload::Members(members) => Some(members),
        _ => None,
    });
    committed.chain([&initial]).take(2).all(|members| {
        let alive = model.nodes.iter().filter(|node| members.is_voter(NodeId(node.id)));
        alive.count() >= members.majority()
    })
}

/// Describes the term, log and members of each node, for failure messages.
fn describe(model: &Model) -> String {
    let line = |(at, node): (usize, &std::rc::Rc<crate::model::Node>)| {
        let status = node.replica.status(model.clock(at));
        let voters: Vec<u64> = status.members.voters.iter().map(|voter| voter.node.0).collect();
        let (role, term, last) = (status.role, status.term, status.last_index);
        let commit_index = status.commit_index;
        format!("{}: {role:?} term {term} commit {commit_index}/{last} {voters:?}; ", node.id)
    };
    model.nodes.iter().enumerate().map(line).collect()
}

/// Adds the numbers of leaders, commits, membership changes and disks with a snapshot in a model to
/// `sum`.
fn add_coverage(model: &Model, sum: (usize, usize, usize, usize)) -> (usize, usize, usize, usize) {
    let is_change = |entry: &LogEntry| matches!(entry.payload, EntryPayload::Members(_));
    let changes = model.committed.values().filter(|(entry, _)| is_change(entry)).count();
    let snapshots = model.nodes.iter().filter(|node| node.disk.snapshot.is_some()).count();
    let (leaders, commits) = (model.leaders_by_term.len(), model.committed.len());
    // Each log starts with the initial members.
    let changes = changes.saturating_sub(1);
    (sum.0 + leaders, sum.1 + commits, sum.2 + changes, sum.3 + snapshots)
}

fn run_schedules(
    setup: &Setup,
    seed: u64,
    check: impl Fn(&mut Model) -> Result<(), TestCaseError>,
) {
    let config = ProptestConfig {
        cases: SCHEDULES_PER_SEED,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let schedules = vec(any::<ActionChoice>(), 300..900);
    let coverage = Cell::new((0, 0, 0, 0));
    let result = runner.run(&schedules, |schedule| {
        let mut model = Model::open(setup.clone(), true);
        model.apply(&Action::Advance(700));
        apply_schedule(&mut model, &schedule)?;
        coverage.set(add_coverage(&model, coverage.get()));
        check(&mut model)
    });
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
    let (terms, commits, changes, snapshots) = coverage.get();
    println!(
        "seed {seed}: {SCHEDULES_PER_SEED} schedules, {terms} leaders, {commits} commits, \
         {changes} changes of members, {snapshots} disks with a snapshot"
    );
    // Schedules without elections, commits, changes or snapshots would test nothing.
    assert!(terms > SCHEDULES_PER_SEED as usize && commits > 3 * SCHEDULES_PER_SEED as usize);
    assert!(changes > 0 && snapshots > 0);
}

fn timed(seed: u64) -> Setup {
    let clock_rates = [100, 119, 110, 104];
    Setup { election_ms: (600, 1_200), seed, ..Setup::timed(SafetyRules::default(), &clock_rates) }
}

// Guards against violations that need more messages, members and faults than the searches cover,
// and against a cluster that elects no leader or does not commit after the faults have ended.
#[test]
fn random_schedules_keep_invariants_and_recover() {
    for seed in SEEDS {
        run_schedules(&timed(seed), seed, |model| {
            run_without_faults(model)?;
            if !has_quorum(model) {
                return Ok(());
            }
            let leader = model.nodes.iter().position(|node| node.replica.is_leader());
            let Some(leader) = leader else { return Err(TestCaseError::fail(describe(model))) };
            prop_assert!(model.apply(&Action::Propose(leader)));
            run_without_faults(model)?;
            let status = model.nodes[leader].replica.status(model.clock(leader));
            prop_assert_eq!(status.commit_index, status.last_index);
            for peer in status.peers {
                let alive = model.nodes.iter().any(|node| NodeId(node.id) == peer.node);
                prop_assert!(!alive || peer.match_index == status.last_index, "{:?}", peer);
            }
            Ok(())
        });
    }
}

// Guards against violations in schedules in which every timeout may expire at any time.
#[test]
fn random_schedules_keep_invariants_without_timing() {
    for seed in SEEDS {
        run_schedules(&Setup::untimed(SafetyRules::default()), seed, |_| Ok(()));
    }
}

// Guards against a cluster that elects no leader any more. A leader commits its own removal, which
// an earlier leader proposed, and then restarts after any number of deliveries. A random schedule
// found this bug.
#[test]
fn members_recover_when_a_removed_leader_restarts() {
    for limit in 0..24 {
        let mut model = Model::open(timed(1), false);
        model.apply(&Action::Advance(2_000));
        let pair = voters(&[1, 3]);
        model = model.with_exchange(Action::Tick(0)).with_exchange(Action::Change(0, pair));
        // Only the append reaches node 3, so its log contains its own removal as uncommitted.
        let start = Box::new(Action::Change(0, voters(&[1])));
        assert!(model.apply(&Action::Exchange { start, reachable: 0b101, limit: 1 }));
        model.apply(&Action::Advance(2_000));
        let start = Box::new(Action::Tick(2));
        assert!(model.apply(&Action::Exchange { start, reachable: 0b101, limit }));
        model.apply(&Action::Crash(2));
        run_without_faults(&mut model).expect("no violation");
        let settled = model
            .nodes
            .iter()
            .any(|node| node.replica.is_leader() && node.replica.members_settled());
        assert!(settled, "limit {limit}: {}", describe(&model));
    }
}
