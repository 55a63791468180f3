//! Other nodes: found from seeds, kept by their status datagrams.

use crate::datagram::NodeStatus;
use crate::placement::ProcessKey;
use crate::status_timing::failure_timeout_ms;
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Time for which a silent node counts among those that should be there, in ms.
const EXPECTED_FOR_MS: u64 = 20_000;
/// Time after which a silent node is forgotten, in ms.
const PEER_RETENTION_MS: u64 = 120_000;
/// Addresses of other nodes in a status: a different part each time, so that all are named within
/// some seconds also by many nodes.
const MAX_GOSSIPED_PEERS: usize = 8;

/// What is known of another node.
#[derive(Debug)]
pub(crate) struct PeerRecord {
    pub(crate) status: NodeStatus,
    pub(crate) last_seen: ClockTime,
    /// Since when the process has been heard.
    pub(crate) first_seen: ClockTime,
    /// Whether its silence was noticed.
    reported_down: bool,
}

/// What a status changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerChange {
    /// A process that was not known.
    New,
    /// A process that had gone silent.
    Regained,
    /// Only the status.
    Refreshed,
}

/// All known nodes.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    records: BTreeMap<SocketAddrV4, PeerRecord>,
    /// Addresses heard of, with the time of the last mention.
    contacts: BTreeMap<SocketAddrV4, ClockTime>,
    seeds: BTreeSet<SocketAddrV4>,
}

impl PeerTable {
    /// Replaces the seeds.
    pub(crate) fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddrV4>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Takes in a status. None if it is older than what is known.
    pub(crate) fn record_status(
        &mut self,
        status: NodeStatus,
        now: ClockTime,
    ) -> Option<PeerChange> {
        for peer in &status.peers {
            self.contacts.entry(*peer).or_insert(now);
        }
        let address = status.address;
        self.contacts.insert(address, now);
        let known = self.records.get(&address).filter(|r| r.status.process == status.process);
        if known.is_some_and(|record| record.status.sequence >= status.sequence) {
            return None;
        }
        let change = match known {
            None => PeerChange::New,
            Some(record) if record.reported_down => PeerChange::Regained,
            Some(_) => PeerChange::Refreshed,
        };
        let first_seen = known.map_or(now, |record| record.first_seen);
        self.records.insert(
            address,
            PeerRecord { status, last_seen: now, first_seen, reported_down: false },
        );
        Some(change)
    }

    /// Time without a status after which a node counts as down, in ms.
    fn failure_timeout_ms(&self) -> u64 {
        failure_timeout_ms(self.records.len() + 1)
    }

    /// Nodes heard lately.
    pub(crate) fn alive(&self, now: ClockTime) -> impl Iterator<Item = &PeerRecord> {
        self.records
            .values()
            .filter(move |record| now.since(record.last_seen) <= self.failure_timeout_ms())
    }

    /// The record of an address.
    pub(crate) fn get(&self, address: SocketAddrV4) -> Option<&PeerRecord> {
        self.records.get(&address)
    }

    /// Address of a process, if it is alive.
    pub(crate) fn address_of(&self, process: ProcessKey, now: ClockTime) -> Option<SocketAddrV4> {
        self.alive(now).find(|r| r.status.process == process).map(|r| r.status.address)
    }

    /// Numbers of nodes that are heard and that should be, each with the own one.
    pub(crate) fn node_counts(&self, now: ClockTime) -> (usize, usize) {
        let timeout_ms = self.failure_timeout_ms();
        let expected = self.records.values().filter(|record| {
            now.since(record.last_seen) <= EXPECTED_FOR_MS
                && (!record.status.leaving || now.since(record.last_seen) <= timeout_ms)
        });
        (self.alive(now).count() + 1, expected.count() + 1)
    }

    /// Nodes that have gone silent since the last call.
    pub(crate) fn take_newly_down(&mut self, now: ClockTime) -> Vec<SocketAddrV4> {
        let timeout_ms = self.failure_timeout_ms();
        let silent =
            self.records.values_mut().filter(|record| now.since(record.last_seen) > timeout_ms);
        let down = silent.filter(|record| !record.reported_down).map(|record| {
            record.reported_down = true;
            record.status.address
        });
        down.collect()
    }

    /// Number of nodes with a disk that should be there and are silent.
    pub(crate) fn down_disk_count(&self, now: ClockTime) -> usize {
        let timeout_ms = self.failure_timeout_ms();
        let silent = self.records.values().filter(|record| {
            let silence = now.since(record.last_seen);
            silence > timeout_ms && silence <= EXPECTED_FOR_MS && !record.status.leaving
        });
        silent.filter(|record| record.status.disk.is_some()).count()
    }

    /// Addresses that a status goes to.
    pub(crate) fn contacts(&self, own: SocketAddrV4) -> Vec<SocketAddrV4> {
        let all: BTreeSet<_> = self.contacts.keys().chain(&self.seeds).copied().collect();
        all.into_iter().filter(|address| *address != own).collect()
    }

    /// Addresses to tell others of, a different part each time.
    pub(crate) fn gossip_sample(&self, offset: u64, now: ClockTime) -> Vec<SocketAddrV4> {
        let alive: Vec<_> = self.alive(now).map(|record| record.status.address).collect();
        let start = usize::try_from(offset).unwrap_or(0) % alive.len().max(1);
        alive
            .iter()
            .cycle()
            .skip(start)
            .take(alive.len().min(MAX_GOSSIPED_PEERS))
            .copied()
            .collect()
    }

    /// Forgets nodes that have been silent for long, and addresses that never answered.
    pub(crate) fn prune(&mut self, now: ClockTime) {
        self.records.retain(|_, record| now.since(record.last_seen) <= PEER_RETENTION_MS);
        self.contacts.retain(|_, mentioned| now.since(*mentioned) <= PEER_RETENTION_MS);
    }
}
