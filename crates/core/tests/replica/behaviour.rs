//! Tests of a whole cluster over simulated time.

use crate::cluster::{Cluster, member, voters};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::{
    EntryPayload, LogReplica, MAX_BATCH_BYTES, ReplicaConfig, ReplicaError, ReplicaInput,
    ReplicaMessage, StoredState, VoteRequest,
};
use std::collections::BTreeSet;

// Guards against a cluster that elects no leader, commits nothing, or elects no new leader when the
// old one is isolated.
#[test]
fn elects_again_and_keeps_committed_commands() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let first = cluster.elect();
    cluster.command(first, b"a");
    cluster.run(300);
    cluster.isolated.insert(first);
    let started = cluster.now;
    cluster.run(510);
    assert!(!cluster.replica(first).lease_valid(cluster.now));
    let second = cluster.elect();
    assert!(cluster.now.since(started) < 2_500, "election took {}", cluster.now.since(started));
    cluster.command(second, b"b");
    cluster.run(300);
    cluster.isolated.clear();
    cluster.run(1_500);
    for node in [1, 2, 3] {
        assert_eq!(cluster.commands(node), [b"a", b"b"]);
        assert_eq!(cluster.replica(node).leader(), Some(NodeId(second)));
    }
}

// Guards against a follower that raises its term during a partition and so deposes the leader when
// it comes back.
#[test]
fn returning_follower_does_not_disturb_the_leader() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    let follower = if leader == 1 { 2 } else { 1 };
    let term = cluster.replica(leader).term();
    cluster.isolated.insert(follower);
    cluster.run(5_000);
    cluster.isolated.clear();
    cluster.run(2_000);
    assert_eq!((cluster.leader(), cluster.replica(leader).term()), (Some(leader), term));
}

// Guards against one append per proposal, which would double the traffic of small claims.
#[test]
fn proposals_between_two_outputs_share_one_append() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.run(300);
    cluster.sent.clear();
    for number in 0..500_u32 {
        cluster.command(leader, &number.to_le_bytes());
    }
    cluster.flush(leader);
    let batches: Vec<usize> = cluster.sent.iter().filter_map(entry_count).collect();
    assert_eq!(batches, [500, 500]);
}

fn entry_count((_, _, message): &(u64, u64, ReplicaMessage)) -> Option<usize> {
    let ReplicaMessage::Append(request) = message else { return None };
    Some(request.entries.len())
}

// Guards against appends above the size limit, and against a pipeline that stalls when it is full.
#[test]
fn large_entries_are_split_into_bounded_appends() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.run(300);
    cluster.sent.clear();
    let command = vec![7; 100_000];
    for _ in 0..100 {
        cluster.command(leader, &command);
    }
    cluster.flush(leader);
    cluster.deliver();
    assert!(cluster.sent.iter().filter_map(entry_count).all(|count| count <= 2));
    assert_eq!(cluster.commands(leader).len(), 100);
    let oversized = EntryPayload::Command(vec![0; 5 << 20]);
    let refused = cluster.propose(leader, oversized);
    assert!(matches!(refused, Err(ReplicaError::EntryTooLarge { .. })));
}

// Guards against a leader that counts its own copy of an entry before it is synced.
#[test]
fn sole_voter_commits_only_after_the_sync() {
    let now = ClockTime::from_ms(10_000);
    let config = ReplicaConfig::of_node(NodeId(1), 1);
    let stored = StoredState::initial(voters(&[1]));
    let mut replica = LogReplica::open(config, stored, ClockTime::default());
    replica.step(now, ReplicaInput::Tick).unwrap();
    let output = replica.take_output();
    assert!(replica.is_leader() && output.committed.is_empty());
    replica.step(now, output.persisted().unwrap()).unwrap();
    assert_eq!(replica.take_output().committed.len(), 2);
}

// Guards against replies and votes that are sent before the state that they confirm is synced, and
// against appends that are sent only after the leader's sync.
#[test]
fn only_appends_of_a_leader_leave_before_the_sync() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.run(200);
    let now = cluster.now;
    let mut replica = cluster.replica(leader).clone();
    replica.step(now, ReplicaInput::Propose(EntryPayload::Command(vec![1]))).unwrap();
    let mut output = replica.take_output();
    let early = output.take_messages_before_sync();
    assert_eq!(early.len(), 2);
    assert!(output.needs_sync() && output.messages.is_empty() && output.committed.is_empty());

    let follower = if leader == 1 { 2 } else { 1 };
    let mut replica = cluster.replica(follower).clone();
    let message = early.into_iter().find(|(to, _)| *to == NodeId(follower)).unwrap().1;
    replica.step(now, ReplicaInput::Receive { from: NodeId(leader), message }).unwrap();
    let mut output = replica.take_output();
    assert!(output.needs_sync() && output.take_messages_before_sync().is_empty());
    assert_eq!(output.messages.len(), 1);

    let mut replica = cluster.replica(follower).clone();
    let message = ReplicaMessage::StartElection { term: replica.term() };
    replica.step(now, ReplicaInput::Receive { from: NodeId(leader), message }).unwrap();
    let mut output = replica.take_output();
    assert!(output.vote.is_some() && output.take_messages_before_sync().is_empty());
    assert_eq!(output.messages.len(), 2);
}

// Guards against a follower that never catches up after the entries that it lacks were removed from
// the leader's log.
#[test]
fn lagging_member_catches_up_by_snapshot_in_parts() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    let lagging = if leader == 3 { 2 } else { 3 };
    cluster.isolated.insert(lagging);
    for number in 0..20_u8 {
        cluster.command(leader, &[number]);
    }
    cluster.run(300);
    let image = vec![9; MAX_BATCH_BYTES * 2 + 1];
    let index = cluster.replica(leader).commit_index();
    let process = cluster.processes.get_mut(&leader).unwrap();
    process.replica.compact(index, image.clone().into()).unwrap();
    assert_eq!(process.replica.log_length(), 0);
    cluster.sent.clear();
    cluster.isolated.clear();
    cluster.run(1_000);
    let part_sizes: Vec<usize> = cluster
        .sent
        .iter()
        .filter_map(|(_, _, message)| match message {
            ReplicaMessage::Install(part) if !part.data.is_empty() => Some(part.data.len()),
            _ => None,
        })
        .collect();
    assert_eq!(part_sizes, [MAX_BATCH_BYTES, MAX_BATCH_BYTES, 1]);
    let process = &cluster.processes[&lagging];
    assert_eq!(process.restored_at, index);
    assert_eq!(process.disk.snapshot.as_ref().unwrap().data[..], image[..]);
    cluster.restart(lagging);
    cluster.command(leader, b"after");
    cluster.run(1_500);
    assert_eq!(cluster.commands(lagging), [b"after"]);
}

// Guards against a replacement of a lost member after which the two remaining members have no
// majority, and against a new replica that counts towards a majority before it has the log.
#[test]
fn lost_disk_is_replaced_by_a_new_identity() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.command(leader, b"a");
    cluster.run(300);
    let lost = if leader == 1 { 2 } else { 1 };
    let kept = 6 - leader - lost;
    cluster.processes.remove(&lost);
    cluster.start(4, StoredState::default());
    let with_learner = voters(&[1, 2, 3]).with_learner(member(4));
    let with_promoted = with_learner.with_promoted(NodeId(4));
    cluster.isolated.insert(4);
    cluster.change(leader, &with_learner);
    let early = cluster.propose(leader, EntryPayload::Members(with_promoted.clone()));
    assert!(matches!(early, Err(ReplicaError::LearnerBehind { .. })));
    cluster.isolated.clear();
    cluster.run(500);
    cluster.change(leader, &with_promoted);
    cluster.change(leader, &with_promoted.without(NodeId(lost)));
    cluster.isolated.insert(leader);
    cluster.restart(kept);
    cluster.restart(4);
    cluster.run(600);
    let next = cluster.elect();
    assert!([4, kept].contains(&next));
    cluster.command(next, b"b");
    cluster.run(300);
    assert_eq!(cluster.commands(4), [b"a", b"b"]);
}

// Guards against membership changes that add a voter directly, change two members, or overlap.
#[test]
fn invalid_member_changes_are_refused() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.run(300);
    let current = voters(&[1, 2, 3]);
    let two_changes = current.with_learner(member(4)).with_learner(member(5));
    for members in [voters(&[1, 2, 3, 4]), two_changes, voters(&[]), voters(&[1])] {
        let refused = cluster.propose(leader, EntryPayload::Members(members));
        assert_eq!(refused, Err(ReplicaError::InvalidMemberChange));
    }
    let valid = EntryPayload::Members(current.with_learner(member(4)));
    cluster.propose(leader, valid.clone()).unwrap();
    let overlapping = cluster.propose(leader, valid);
    assert!(matches!(overlapping, Err(ReplicaError::ChangeInProgress { .. })));
}

// Guards against a removed leader that stays the leader, and against a removed member that raises
// the term of the others.
#[test]
fn leader_is_removed_after_a_leadership_transfer() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.run(300);
    let members = voters(&[1, 2, 3]).without(NodeId(leader));
    let refused = cluster.propose(leader, EntryPayload::Members(members.clone()));
    assert_eq!(refused, Err(ReplicaError::RemovesLeader));
    cluster.step(leader, ReplicaInput::Transfer).unwrap();
    cluster.run(300);
    let next = cluster.elect();
    cluster.change(next, &members);
    let term = cluster.replica(next).term();
    cluster.run(5_000);
    assert_eq!((cluster.leader(), cluster.replica(next).term()), (Some(next), term));
}

// Guards against an election timeout without a leader at each planned restart of the leader, and
// against a leader whose lease is still valid after it began to transfer its leadership.
#[test]
fn leadership_transfer_takes_less_than_an_election_timeout() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.run(300);
    cluster.command(leader, b"a");
    cluster.step(leader, ReplicaInput::Transfer).unwrap();
    assert!(!cluster.replica(leader).lease_valid(cluster.now));
    let refused = cluster.propose(leader, EntryPayload::Noop);
    assert_eq!(refused, Err(ReplicaError::TransferInProgress));
    cluster.flush(leader);
    cluster.run(200);
    let next = cluster.leader().expect("a leader after 200 ms");
    assert_ne!(next, leader);
    assert_eq!(cluster.commands(next), [b"a"]);
    let refused = cluster.propose(leader, EntryPayload::Noop);
    assert_eq!(refused, Err(ReplicaError::NotLeader { leader: Some(NodeId(next)) }));
}

// Guards against a replica that starts an election on the request of a node that is not the leader
// of the term.
#[test]
fn start_election_from_another_node_is_ignored() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.run(300);
    let followers: BTreeSet<u64> = [1, 2, 3].into_iter().filter(|node| *node != leader).collect();
    let (first, second) = (*followers.first().unwrap(), *followers.last().unwrap());
    let term = cluster.replica(leader).term();
    let message = ReplicaMessage::StartElection { term };
    cluster.step(first, ReplicaInput::Receive { from: NodeId(second), message }).unwrap();
    cluster.run(500);
    assert_eq!((cluster.leader(), cluster.replica(first).term()), (Some(leader), term));
}

// Guards against a follower that learns of a later term from another message and then votes in that
// term while the current leader still holds its lease.
#[test]
fn vote_is_withheld_after_a_later_term_became_known() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.run(300);
    let (voter, candidate) = if leader == 1 { (2, 3) } else { (1, 5 - leader) };
    let term = cluster.replica(leader).term() + 1;
    let request = VoteRequest { term, last_index: 99, last_term: term, transfer_from: None };
    let later = ReplicaMessage::VoteReply { term, granted: false };
    for message in [later, ReplicaMessage::Vote(request)] {
        let from = NodeId(candidate);
        cluster.step(voter, ReplicaInput::Receive { from, message }).unwrap();
    }
    assert_eq!(cluster.replica(voter).term(), term);
    cluster.flush(voter);
    assert_eq!(cluster.processes[&voter].disk.vote.voted_for, None);
}

// Guards against a status that does not show which member lags.
#[test]
fn status_shows_each_members_progress() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    let lagging = if leader == 3 { 2 } else { 3 };
    cluster.run(300);
    cluster.isolated.insert(lagging);
    cluster.command(leader, b"a");
    cluster.run(300);
    let status = cluster.replica(leader).status(cluster.now);
    assert!(status.lease_valid && status.commit_index == status.last_index);
    let lag = |peer: &&burdockcleat_core::replica::PeerStatus| peer.node == NodeId(lagging);
    let peer = status.peers.iter().find(lag).unwrap();
    assert_eq!(peer.match_index, status.last_index - 1);
    assert!(peer.last_contact_ms.unwrap() >= 290);
}
