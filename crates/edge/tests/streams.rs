//! Records of streams: what is kept, passed on and asked for.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::VersionKey;
use burdockcleat_edge::streams::{
    MAX_DATAGRAM_STREAMS, PendingLookups, ServiceKey, StreamGroup, StreamKey, StreamRecord,
    StreamTable,
};

const RETENTION_MS: u64 = 30_000;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn record(stream: u64, version: u32) -> StreamRecord {
    let (service, version) = (ServiceKey(version / 10), VersionKey(version));
    StreamRecord { stream: StreamKey(stream), service, version }
}

/// Guards against a record that changes the version of a stream that is known.
#[test]
fn the_first_record_of_a_stream_stays() {
    let mut table = StreamTable::new(true);
    assert!(table.insert(record(1, 10), at(0)));
    assert!(!table.insert(record(1, 20), at(1)));
    assert!(!table.restore(record(1, 20)));
    assert_eq!(table.find(StreamKey(1)), Some(record(1, 10)));
    assert_eq!(table.take_unwritten(9), [record(1, 10)]);
}

/// Guards against records that are dropped before the retention is over, or kept for ever.
#[test]
fn records_are_kept_for_one_to_two_retention_times() {
    let mut table = StreamTable::new(false);
    table.set_longest_timeout(20_000);
    assert_eq!(table.retention_ms(), 40_000);
    for second in 0..200 {
        let now = at(second * 1_000);
        table.prune(now);
        table.insert(record(second, second as u32), now);
        let oldest = (0..=second).find(|stream| table.find(StreamKey(*stream)).is_some());
        let kept_s = second - oldest.expect("the newest record is kept");
        assert!(kept_s >= second.min(40) && kept_s <= 80, "{kept_s} s at {second} s");
        assert_eq!(table.len() as u64, kept_s + 1);
    }
    table.set_longest_timeout(1_000);
    assert_eq!(table.retention_ms(), RETENTION_MS);
}

/// Guards against records that a single lost datagram keeps from the other nodes, and against sending
/// the same ones again and again.
#[test]
fn each_record_is_passed_on_twice() {
    let mut table = StreamTable::new(false);
    table.relay(record(1, 10));
    assert_eq!(table.take_relays(), [record(1, 10)]);
    table.relay(record(2, 10));
    assert_eq!(table.take_relays(), [record(1, 10), record(2, 10)]);
    assert_eq!(table.take_relays(), [record(2, 10)]);
    assert_eq!(table.take_relays(), []);
}

/// Guards against statuses that grow beyond a datagram, and that lose the newest records then.
#[test]
fn a_status_has_the_newest_records_of_its_window() {
    let mut table = StreamTable::new(false);
    for stream in 0..10 {
        table.report(record(stream, 10), at(stream * 100));
    }
    let streams = |groups: Vec<StreamGroup>| {
        groups.iter().flat_map(StreamGroup::records).map(|r| r.stream.0).collect::<Vec<_>>()
    };
    assert_eq!(streams(table.recent_reports(400, 3, at(1_000))), [9, 8, 7]);
    assert_eq!(streams(table.recent_reports(400, 9, at(1_000))), [9, 8, 7, 6]);
    assert!(table.recent_reports(400, 9, at(1_400)).is_empty());
}

/// Guards against a stalled disk that makes the records that wait for it pile up.
#[test]
fn records_that_wait_for_the_disk_are_dropped_with_the_others() {
    let mut table = StreamTable::new(true);
    for second in 0..100 {
        table.prune(at(second * 1_000));
        table.insert(record(second, 10), at(second * 1_000));
    }
    let waiting = table.take_unwritten(1_000);
    assert_eq!(waiting.len() as u64, RETENTION_MS / 1_000 + 1);
    table.insert(record(100, 10), at(100_000));
    table.insert(record(101, 10), at(100_000));
    assert_eq!(table.take_unwritten(1), [record(100, 10)]);
    assert_eq!(table.take_unwritten(1), [record(101, 10)]);
}

/// Guards against datagrams that receivers cut, and against records that cost more than planned.
#[test]
fn records_are_encoded_in_few_bytes() {
    let size = |records: &[StreamRecord]| {
        postcard::to_stdvec(&StreamGroup::collect(records)).expect("encodable").len()
    };
    let many = MAX_DATAGRAM_STREAMS as u64;
    let one_version: Vec<_> = (0..many).map(|n| record(u64::MAX - n, u32::MAX)).collect();
    assert!(size(&one_version) <= 8 * MAX_DATAGRAM_STREAMS + 16);
    let versions: Vec<_> = (0..many).map(|n| record(u64::MAX - n, u32::MAX - n as u32)).collect();
    assert!(size(&versions) < 14 << 10);
    let groups = StreamGroup::collect(&versions);
    assert_eq!(groups.iter().flat_map(StreamGroup::records).count(), MAX_DATAGRAM_STREAMS);
}

/// Guards against lookups that are sent for each request, never again, after the request ended, or by
/// more and more tasks.
#[test]
fn streams_are_asked_for_until_nobody_waits() {
    let (first, second) = (StreamKey(1), StreamKey(2));
    let mut lookups = PendingLookups::default();
    assert!(lookups.add(first));
    assert!(!lookups.add(first));
    let due = |lookups: &mut PendingLookups, ms| {
        lookups.take_due(at(ms)).map(|due| (due.first, due.repeated))
    };
    assert_eq!(due(&mut lookups, 0), Some((vec![first], vec![])));
    assert!(!lookups.add(second));
    assert_eq!(due(&mut lookups, 50), Some((vec![second], vec![])));
    lookups.remove(first);
    assert_eq!(due(&mut lookups, 100), Some((vec![], vec![first])));
    lookups.remove(first);
    assert_eq!(due(&mut lookups, 500), Some((vec![], vec![second])));
    lookups.remove(second);
    assert!(lookups.is_empty() && !lookups.add(second), "the task has not ended");
    lookups.remove(second);
    assert_eq!(due(&mut lookups, 510), None);
    assert!(lookups.add(second));
}
