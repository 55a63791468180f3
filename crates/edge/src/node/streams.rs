//! Records the versions at which streams began, passes them on, stores them and finds them again.

use super::NodeState;
use crate::datagram::PeerDatagram;
use crate::status_timing::STATUS_INTERVAL_MS;
use crate::streams::{MAX_DATAGRAM_STREAMS, ServiceKey, StreamGroup, StreamKey, StreamRecord};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which records are passed on and stored, in ms.
const EXCHANGE_INTERVAL_MS: u64 = 100;
/// Time for which streams to ask for are collected, in ms. After a power loss many callers return at
/// once.
const COLLECT_MS: u64 = 10;
/// Number of status intervals for which a record is part of each status. A lost datagram loses none.
const REPORTED_INTERVALS: u64 = 2;
/// Maximum number of records in a status. It leaves room for the rest of the status.
const MAX_STATUS_STREAMS: usize = 128;
/// Maximum number of records in a write. A write of the register waits for at most one of them.
const MAX_WRITTEN_STREAMS: usize = 4_096;

/// Keeps a lookup pending until it is dropped.
struct LookupGuard {
    node: Rc<NodeState>,
    stream: StreamKey,
}

impl Drop for LookupGuard {
    fn drop(&mut self) {
        self.node.stream_lookups.borrow_mut().remove(self.stream);
    }
}

impl NodeState {
    /// Restores the records from the disk.
    pub(super) fn restore_streams(&self) {
        let Some(store) = self.register.store() else { return };
        let mut table = self.streams.borrow_mut();
        for record in store.take_loaded_streams() {
            table.restore(record);
        }
        log::info!(target: "burdockcleat", "event=streams.restored records={}", table.len());
    }

    /// Applies the timeouts of the routes to the retention of records.
    pub(super) fn apply_stream_retention(&self, timeouts_ms: impl Iterator<Item = u64>) {
        self.streams.borrow_mut().set_longest_timeout(timeouts_ms.max().unwrap_or(0));
    }

    /// Records that the attempt of an own caller began a stream at a target. To be called when the
    /// first event is about to be forwarded; before it, the stream may still begin at another version.
    pub(crate) fn record_stream(&self, attempt: &str, announcement: &TargetAnnouncement) {
        let record = StreamRecord {
            stream: StreamKey::new(attempt),
            service: ServiceKey::new(&announcement.service),
            version: announcement.version_key(),
        };
        let now = ClockTime::monotonic();
        if !self.streams.borrow_mut().insert(record, now) {
            return;
        }
        self.streams.borrow_mut().report(record, now);
        if self.is_coordinator(now) {
            self.streams.borrow_mut().relay(record);
        } else {
            self.notify_coordinator(&PeerDatagram::Stream(record));
        }
    }

    /// Adds a record that another node reports to this one as the placement coordinator.
    pub(super) fn relay_stream(&self, record: StreamRecord) {
        let mut table = self.streams.borrow_mut();
        if table.insert(record, ClockTime::monotonic()) {
            table.relay(record);
        }
    }

    /// Adds the records that another node knows.
    pub(super) fn merge_streams(&self, groups: &[StreamGroup]) {
        if groups.is_empty() {
            return;
        }
        let now = ClockTime::monotonic();
        let mut table = self.streams.borrow_mut();
        for record in groups.iter().flat_map(StreamGroup::records) {
            table.insert(record, now);
        }
        drop(table);
        if !self.stream_lookups.borrow().is_empty() {
            self.streams_learned.notify_waiters();
        }
    }

    /// Returns the records of own callers for a status.
    pub(super) fn reported_streams(&self, now: ClockTime) -> Vec<StreamGroup> {
        let interval_ms = match self.register.disk() {
            Some(_) => STATUS_INTERVAL_MS,
            None => self.status_interval_ms(now),
        };
        let window_ms = interval_ms * REPORTED_INTERVALS;
        self.streams.borrow_mut().recent_reports(window_ms, MAX_STATUS_STREAMS, now)
    }

    /// Passes records on to the nodes with a disk and stores them.
    pub(super) async fn exchange_streams(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(EXCHANGE_INTERVAL_MS)).await;
            let relays = self.streams.borrow_mut().take_relays();
            if !relays.is_empty() {
                let disks = self.peers.borrow().disk_addresses();
                self.send_streams(&relays, &disks);
            }
            self.save_streams();
        }
    }

    fn send_streams(&self, records: &[StreamRecord], addresses: &[SocketAddrV4]) {
        for part in records.chunks(MAX_DATAGRAM_STREAMS) {
            let datagram = PeerDatagram::Streams(StreamGroup::collect(part));
            for address in addresses {
                self.send_to(*address, &datagram);
            }
        }
    }

    fn save_streams(&self) {
        let Some(store) = self.register.store().filter(|store| !store.streams_write_pending())
        else {
            return;
        };
        let mut table = self.streams.borrow_mut();
        let records = table.take_unwritten(MAX_WRITTEN_STREAMS);
        if !records.is_empty()
            && !store.save_streams(records, table.retention_ms(), ClockTime::monotonic())
        {
            log::warn!(target: "burdockcleat", "event=streams.save_failed cause=\"the store thread has ended\"");
        }
    }

    /// Answers another node that looks for streams with the records that this node has.
    pub(super) fn answer_lookup(&self, from: SocketAddrV4, streams: &[StreamKey]) {
        let table = self.streams.borrow();
        let found: Vec<_> = streams.iter().filter_map(|stream| table.find(*stream)).collect();
        drop(table);
        self.send_streams(&found, &[from]);
    }

    /// Returns the record of the stream that an attempt began. Asks the nodes with a disk for up to
    /// `limit_ms` if this node has none.
    pub(crate) async fn locate_stream(
        self: &Rc<Self>,
        attempt: &str,
        limit_ms: u64,
    ) -> Option<StreamRecord> {
        let stream = StreamKey::new(attempt);
        let known = self.streams.borrow().find(stream);
        if known.is_some() || limit_ms == 0 {
            return known;
        }
        if self.stream_lookups.borrow_mut().add(stream) {
            tokio::task::spawn_local(self.clone().ask_for_streams());
        }
        let _guard = LookupGuard { node: self.clone(), stream };
        let learn = async {
            loop {
                let learned = self.streams_learned.notified();
                if let Some(record) = self.streams.borrow().find(stream) {
                    return record;
                }
                learned.await;
            }
        };
        let located = tokio::time::timeout(Duration::from_millis(limit_ms), learn).await.ok();
        if located.is_none() {
            let asked = self.peers.borrow().disk_addresses().len();
            log::info!(target: "burdockcleat", "event=stream.unlocated id={attempt} asked={asked} limit_ms={limit_ms}");
        }
        located
    }

    /// Asks other nodes for streams while requests wait for any: first the placement coordinator,
    /// which usually knows the stream, then all nodes with a disk.
    async fn ask_for_streams(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(COLLECT_MS)).await;
            let now = ClockTime::monotonic();
            let Some(due) = self.stream_lookups.borrow_mut().take_due(now) else { return };
            let disks = self.peers.borrow().disk_addresses();
            let first = self.coordinator(now).map_or_else(|| disks.clone(), |node| vec![node]);
            self.send_lookups(&due.first, &first);
            self.send_lookups(&due.repeated, &disks);
        }
    }

    fn send_lookups(&self, streams: &[StreamKey], addresses: &[SocketAddrV4]) {
        for part in streams.chunks(MAX_DATAGRAM_STREAMS) {
            let datagram = PeerDatagram::FindStreams(part.to_vec());
            for address in addresses {
                self.send_to(*address, &datagram);
            }
        }
    }
}
