//! Table of the other nodes. They are discovered from seeds and gossip, and tracked by their status
//! datagrams.

use crate::allowance::NodeView;
use crate::datagram::NodeStatus;
use crate::placement::ProcessKey;
use crate::status_parts::HeardStatus;
use crate::status_timing::{failure_timeout_ms, overdue_ms, silence_ms, status_interval_ms};
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddrV4;

/// Time after its last status for which a node counts as expected, in ms.
const EXPECTED_FOR_MS: u64 = 20_000;
/// Time after its last status or first mention after which a node is removed from the table, in ms.
const PEER_RETENTION_MS: u64 = 120_000;
/// Maximum number of node addresses in a status. Each status contains the next part of them, so
/// that all are sent within a few seconds also in large deployments.
const MAX_GOSSIPED_PEERS: usize = 8;

/// Last status of another node and the times of its statuses.
#[derive(Debug)]
pub(crate) struct PeerRecord {
    pub(crate) status: NodeStatus,
    /// Last status of this node that the other one had when it sent its own.
    pub(crate) acknowledged: Option<HeardStatus>,
    pub(crate) last_seen: ClockTime,
    /// Time of the first status of the process.
    pub(crate) first_seen: ClockTime,
    /// Whether [`PeerTable::take_newly_down`] has returned the node since its last status.
    reported_down: bool,
    /// Whether the process is known to have ended.
    ended: bool,
}

/// Effect of a status on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerChange {
    /// The process was unknown.
    New,
    /// The process had counted as down.
    Regained,
    /// Only the status was updated.
    Refreshed,
}

/// Table of all known nodes except this one.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    records: BTreeMap<SocketAddrV4, PeerRecord>,
    /// Known addresses with the time of the first mention or the last status.
    contacts: BTreeMap<SocketAddrV4, ClockTime>,
    seeds: BTreeSet<SocketAddrV4>,
}

impl PeerTable {
    /// Replaces the seeds.
    pub(crate) fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddrV4>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Records a status. Returns `None` if it is not newer than the known one.
    pub(crate) fn record_status(
        &mut self,
        status: NodeStatus,
        acknowledged: Option<HeardStatus>,
        now: ClockTime,
    ) -> Option<PeerChange> {
        self.add_contacts(status.peers.iter().copied(), now);
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
            PeerRecord {
                status,
                acknowledged,
                last_seen: now,
                first_seen,
                reported_down: false,
                ended: false,
            },
        );
        Some(change)
    }

    /// Returns the time without a status after which a node counts as down, in ms.
    fn failure_timeout_ms(&self) -> u64 {
        failure_timeout_ms(self.records.len() + 1)
    }

    /// Returns the nodes that sent a status within the failure timeout and have not ended since.
    pub(crate) fn alive(&self, now: ClockTime) -> impl Iterator<Item = &PeerRecord> {
        self.records.values().filter(move |record| {
            !record.ended && now.since(record.last_seen) <= self.failure_timeout_ms()
        })
    }

    /// Returns the nodes whose next status is overdue, unless they are known to have ended.
    pub(crate) fn overdue(&self, now: ClockTime) -> impl Iterator<Item = &PeerRecord> {
        let overdue_ms = overdue_ms(self.records.len() + 1);
        let running = self.records.values().filter(|record| !record.ended);
        running.filter(move |record| now.since(record.last_seen) > overdue_ms)
    }

    /// Returns the record of a process, unless it is known to have ended.
    pub(crate) fn running(&self, process: ProcessKey) -> Option<&PeerRecord> {
        let mut records = self.records.values();
        records.find(|record| record.status.process == process && !record.ended)
    }

    /// Records that a process has ended. Returns false if it has sent a status since `last_seen`.
    pub(crate) fn mark_ended(&mut self, process: ProcessKey, last_seen: ClockTime) -> bool {
        let mut records = self.records.values_mut();
        let record = records.find(|record| record.status.process == process);
        let Some(record) = record.filter(|record| record.last_seen == last_seen) else {
            return false;
        };
        record.ended = true;
        true
    }

    /// Returns the addresses and disks of the nodes with a disk that were heard lately. Their statuses
    /// come in short intervals, whatever the number of nodes.
    pub(crate) fn heard_disks(&self, now: ClockTime) -> impl Iterator<Item = (SocketAddrV4, u64)> {
        let timeout_ms = failure_timeout_ms(1);
        let heard = self.records.values();
        let heard = heard.filter(move |record| now.since(record.last_seen) <= timeout_ms);
        heard.filter_map(|record| Some((record.status.address, record.status.disk?)))
    }

    /// Adds addresses that statuses are sent to until they answer or are forgotten.
    pub(crate) fn add_contacts(
        &mut self,
        addresses: impl IntoIterator<Item = SocketAddrV4>,
        now: ClockTime,
    ) {
        for address in addresses {
            self.contacts.entry(address).or_insert(now);
        }
    }

    /// Returns the addresses of all known nodes, in ascending order.
    pub(crate) fn addresses(&self) -> Vec<SocketAddrV4> {
        self.records.keys().copied().collect()
    }

    /// Returns the addresses of all known nodes with a disk.
    pub(crate) fn disk_addresses(&self) -> Vec<SocketAddrV4> {
        let disks = self.records.values().filter(|record| record.status.disk.is_some());
        disks.map(|record| record.status.address).collect()
    }

    /// Returns the record of an address.
    pub(crate) fn get(&self, address: SocketAddrV4) -> Option<&PeerRecord> {
        self.records.get(&address)
    }

    /// Returns the last status of a process.
    pub(crate) fn status_of(&self, process: ProcessKey) -> Option<&NodeStatus> {
        let mut statuses = self.records.values().map(|record| &record.status);
        statuses.find(|status| status.process == process)
    }

    /// Returns the address of a process if it is alive.
    pub(crate) fn address_of(&self, process: ProcessKey, now: ClockTime) -> Option<SocketAddrV4> {
        self.alive(now).find(|r| r.status.process == process).map(|r| r.status.address)
    }

    /// Returns the numbers of alive and of expected nodes. Both include this node.
    pub(crate) fn node_counts(&self, now: ClockTime) -> (usize, usize) {
        let timeout_ms = self.failure_timeout_ms();
        let expected = self.records.values().filter(|record| {
            now.since(record.last_seen) <= EXPECTED_FOR_MS
                && (!record.status.leaving || now.since(record.last_seen) <= timeout_ms)
        });
        (self.alive(now).count() + 1, expected.count() + 1)
    }

    /// Returns the nodes that went down since the last call.
    pub(crate) fn take_newly_down(&mut self, now: ClockTime) -> Vec<(SocketAddrV4, ProcessKey)> {
        let timeout_ms = self.failure_timeout_ms();
        let down = self
            .records
            .values_mut()
            .filter(|record| record.ended || now.since(record.last_seen) > timeout_ms);
        let newly_down = down.filter(|record| !record.reported_down).map(|record| {
            record.reported_down = true;
            (record.status.address, record.status.process)
        });
        newly_down.collect()
    }

    /// Returns what this node knows about the others, to admit requests within the allowances.
    /// `own_disk` tells whether this node has a disk.
    pub(crate) fn node_view(&self, own_disk: bool, now: ClockTime) -> NodeView {
        let expected = self.records.values().filter(|record| self.may_run(record, now)).count() + 1;
        let (silence_ms, report_interval_ms) = (silence_ms(expected), status_interval_ms(expected));
        let heard = || {
            let records = self.records.values();
            records.filter(|record| now.since(record.last_seen) <= silence_ms)
        };
        let heard = || heard().map(|record| &record.status);
        let own_disk = usize::from(own_disk);
        let disks_within = |age_ms: u64| {
            let disks = self.records.values().filter(|record| {
                record.status.disk.is_some()
                    && !record.status.leaving
                    && now.since(record.last_seen) <= age_ms
            });
            disks.count() + own_disk
        };
        let disks = disks_within(EXPECTED_FOR_MS);
        let lost_ms = NodeView::lost_majority_ms(silence_ms, report_interval_ms);
        NodeView {
            expected,
            reachable: heard().count() + 1,
            restricted_peers: heard().filter(|status| status.restricted).count(),
            disk_majority: disks_within(silence_ms) * 2 > disks,
            recent_disk_majority: disks_within(lost_ms) * 2 > disks,
            peer_disk_majority: heard().any(|status| status.disk_majority),
            report_interval_ms,
            silence_ms,
        }
    }

    /// Returns the processes that may admit requests, heard or not.
    pub(crate) fn admitting_processes(&self, now: ClockTime) -> HashSet<ProcessKey> {
        let records = self.records.values().filter(|record| self.may_run(record, now));
        records.map(|record| record.status.process).collect()
    }

    /// Returns whether a node may run, heard or not. Silent nodes count for as long as they are
    /// remembered, unless they announced that they leave, so that a long partition does not look
    /// like the removal of the other nodes.
    fn may_run(&self, record: &PeerRecord, now: ClockTime) -> bool {
        !record.status.leaving || now.since(record.last_seen) <= self.failure_timeout_ms()
    }

    /// Returns the addresses that statuses are sent to.
    pub(crate) fn contacts(&self, own: SocketAddrV4) -> Vec<SocketAddrV4> {
        let all: BTreeSet<_> = self.contacts.keys().chain(&self.seeds).copied().collect();
        all.into_iter().filter(|address| *address != own).collect()
    }

    /// Returns addresses of alive nodes to include in a status. `offset` selects the part.
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

    /// Removes nodes without a recent status, and addresses that never sent one.
    pub(crate) fn prune(&mut self, now: ClockTime) {
        self.records.retain(|_, record| now.since(record.last_seen) <= PEER_RETENTION_MS);
        self.contacts.retain(|_, mentioned| now.since(*mentioned) <= PEER_RETENTION_MS);
    }
}
