//! Random schedules with larger bounds than the searches.

use crate::cluster::{member, voters};
use crate::model::{Action, Setup, World};
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::{EntryPayload, LogEntry, SafetyRules};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use std::cell::Cell;

/// Seeds of the schedules. A seed that found a fault is added here.
const SEEDS: [u64; 4] = [1, 20_261_204, 0x5eed, 0xb0c1];

const CASES: u32 = 60;

const MAX_IN_FLIGHT: usize = 40;

type Choice = (u8, u8, u8);

/// Turns a choice into an action that the world allows.
fn action_of(world: &World, (kind, at, detail): Choice) -> Option<Action> {
    let node = usize::from(at) % world.nodes.len();
    let packet = (!world.network.is_empty()).then(|| {
        // Mostly the oldest messages, so that exchanges get to their end.
        usize::from(at) * usize::from(detail) / 64 % world.network.len().min(8)
    });
    Some(match kind {
        0..130 => Action::Deliver { at: packet?, keep: false },
        130..136 => Action::Deliver { at: packet?, keep: true },
        136..144 => Action::Lose(packet?),
        144..186 => Action::Tick(node),
        186..212 => Action::Advance(u64::from(detail)),
        212..229 => Action::Propose(node),
        229..232 => Action::CrashInSync(node),
        232..243 => change_of(world, node, detail)?,
        243..247 => Action::Compact(node),
        247..250 => Action::Transfer(node),
        250..254 => Action::Crash(node),
        _ if detail < 64 => Action::LoseDisk(node),
        _ => return None,
    })
}

fn change_of(world: &World, node: usize, detail: u8) -> Option<Action> {
    let replica = &world.nodes[node].replica;
    if !replica.is_leader() {
        return None;
    }
    let members = replica.members();
    let subject = world.nodes[usize::from(detail) % world.nodes.len()].id;
    let next = if members.learners.iter().any(|learner| learner.node == NodeId(subject)) {
        members.with_promoted(NodeId(subject))
    } else if members.contains(NodeId(subject)) {
        // A member whose process is gone is removed first.
        let alive = |node: NodeId| world.nodes.iter().any(|other| NodeId(other.id) == node);
        let gone = members.others(replica.node()).find(|node| !alive(*node));
        members.without(gone.unwrap_or(NodeId(subject)))
    } else {
        members.with_learner(member(subject))
    };
    Some(Action::Change(node, next))
}

fn play(world: &mut World, schedule: &[Choice]) -> Result<(), TestCaseError> {
    for choice in schedule {
        let Some(action) = action_of(world, *choice) else { continue };
        world.apply(&action);
        let surplus = world.network.len().saturating_sub(MAX_IN_FLIGHT);
        world.network.drain(..surplus);
        prop_assert_eq!(world.violation, None, "after {:?}", action);
    }
    Ok(())
}

/// Delivers everything in order for some time without faults.
fn heal(world: &mut World) -> Result<(), TestCaseError> {
    for _ in 0..150 {
        world.apply(&Action::Advance(40));
        for at in 0..world.nodes.len() {
            world.apply(&Action::Tick(at));
        }
        for _ in 0..200 {
            if world.network.is_empty() {
                break;
            }
            world.apply(&Action::Deliver { at: 0, keep: false });
        }
        prop_assert_eq!(world.violation, None);
    }
    Ok(())
}

/// Whether a majority of the voters still have their disks.
///
/// Until the second entry with the last members is committed, the members before count as well.
fn has_quorum(world: &World) -> bool {
    let initial = voters(&[1, 2, 3]);
    let committed = world.committed.values().rev().filter_map(|(entry, _)| match &entry.payload {
        EntryPayload::Members(members) => Some(members),
        _ => None,
    });
    committed.chain([&initial]).take(2).all(|members| {
        let alive = world.nodes.iter().filter(|node| members.is_voter(NodeId(node.id)));
        alive.count() >= members.majority()
    })
}

/// Term, log and members of each node, for reports.
fn summary(world: &World) -> String {
    let line = |(at, node): (usize, &std::rc::Rc<crate::model::Node>)| {
        let status = node.replica.status(world.clock(at));
        let voters: Vec<u64> = status.members.voters.iter().map(|voter| voter.node.0).collect();
        let (role, term, last) = (status.role, status.term, status.last_index);
        let commit_index = status.commit_index;
        format!("{}: {role:?} term {term} commit {commit_index}/{last} {voters:?}; ", node.id)
    };
    world.nodes.iter().enumerate().map(line).collect()
}

/// Adds what happened in a world: leaders, commits, changes of members, disks with a snapshot.
fn count(world: &World, sum: (usize, usize, usize, usize)) -> (usize, usize, usize, usize) {
    let is_change = |entry: &LogEntry| matches!(entry.payload, EntryPayload::Members(_));
    let changes = world.committed.values().filter(|(entry, _)| is_change(entry)).count();
    let snapshots = world.nodes.iter().filter(|node| node.disk.snapshot.is_some()).count();
    let (leaders, commits) = (world.elected.len(), world.committed.len());
    // Each log starts with the initial members.
    let changes = changes.saturating_sub(1);
    (sum.0 + leaders, sum.1 + commits, sum.2 + changes, sum.3 + snapshots)
}

fn run_schedules(
    setup: &Setup,
    seed: u64,
    check: impl Fn(&mut World) -> Result<(), TestCaseError>,
) {
    let config = ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let schedules = vec(any::<Choice>(), 300..900);
    let coverage = Cell::new((0, 0, 0, 0));
    let result = runner.run(&schedules, |schedule| {
        let mut world = World::open(setup.clone(), true);
        world.apply(&Action::Advance(700));
        play(&mut world, &schedule)?;
        coverage.set(count(&world, coverage.get()));
        check(&mut world)
    });
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
    let (terms, commits, changes, snapshots) = coverage.get();
    println!(
        "seed {seed}: {CASES} schedules, {terms} leaders, {commits} commits, {changes} changes of \
         members, {snapshots} disks with a snapshot"
    );
    // A schedule that elects and commits nothing would prove nothing.
    assert!(terms > CASES as usize && commits > 3 * CASES as usize);
    assert!(changes > 0 && snapshots > 0);
}

fn timed(seed: u64) -> Setup {
    let rates = [100, 119, 110, 104];
    Setup { election_ms: (600, 1_200), seed, ..Setup::timed(SafetyRules::default(), &rates) }
}

// Guards against violations that need more messages, members and faults than the searches reach,
// and against a cluster that stays without a leader after the faults have ended.
#[test]
fn random_schedules_hold_and_recover() {
    for seed in SEEDS {
        run_schedules(&timed(seed), seed, |world| {
            heal(world)?;
            if !has_quorum(world) {
                return Ok(());
            }
            let leader = world.nodes.iter().position(|node| node.replica.is_leader());
            let Some(leader) = leader else { return Err(TestCaseError::fail(summary(world))) };
            prop_assert!(world.apply(&Action::Propose(leader)));
            heal(world)?;
            let status = world.nodes[leader].replica.status(world.clock(leader));
            prop_assert_eq!(status.commit_index, status.last_index);
            for peer in status.peers {
                let alive = world.nodes.iter().any(|node| NodeId(node.id) == peer.node);
                prop_assert!(!alive || peer.match_index == status.last_index, "{:?}", peer);
            }
            Ok(())
        });
    }
}

// Guards against violations in schedules in which every timeout may fire at any time.
#[test]
fn random_schedules_hold_without_timing() {
    for seed in SEEDS {
        run_schedules(&Setup::untimed(SafetyRules::default()), seed, |_| Ok(()));
    }
}

// Guards against members without a majority after a leader has committed its own removal, which an
// earlier leader proposed, and restarts at any point of the exchange. Found by a random schedule.
#[test]
fn members_recover_when_a_removed_leader_restarts() {
    for limit in 0..24 {
        let mut world = World::open(timed(1), false);
        world.apply(&Action::Advance(2_000));
        let pair = voters(&[1, 3]);
        world = world.with_exchange(Action::Tick(0)).with_exchange(Action::Change(0, pair));
        // Only the request reaches node 3, so it holds its own removal as uncommitted.
        let start = Box::new(Action::Change(0, voters(&[1])));
        assert!(world.apply(&Action::Exchange { start, reach: 0b101, limit: 1 }));
        world.apply(&Action::Advance(2_000));
        let start = Box::new(Action::Tick(2));
        assert!(world.apply(&Action::Exchange { start, reach: 0b101, limit }));
        world.apply(&Action::Crash(2));
        heal(&mut world).expect("no violation");
        let settled = world
            .nodes
            .iter()
            .any(|node| node.replica.is_leader() && node.replica.members_settled());
        assert!(settled, "limit {limit}: {}", summary(&world));
    }
}
