//! Log of stream records after incomplete writes, failed writes and many restarts.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::VersionKey;
use burdockcleat_edge::stream_log::StreamLog;
use burdockcleat_edge::streams::{ServiceKey, StreamKey, StreamRecord};
use std::fs;
use std::path::Path;

const RETENTION_MS: u64 = 30_000;
const SEGMENTS: [&str; 2] = ["streams-a", "streams-b"];

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn record(stream: u64) -> StreamRecord {
    let version = VersionKey(stream as u32 % 3);
    StreamRecord { stream: StreamKey(stream), service: ServiceKey(7), version }
}

/// Opens the log and returns the streams in it, in ascending order.
fn open(folder: &Path) -> (StreamLog, Vec<u64>) {
    let (log, records) = StreamLog::open(folder, at(0)).expect("opening the log");
    assert!(records.iter().all(|found| *found == record(found.stream.0)), "{records:?}");
    let mut streams: Vec<_> = records.iter().map(|record| record.stream.0).collect();
    streams.sort_unstable();
    (log, streams)
}

fn append(log: &mut StreamLog, streams: std::ops::Range<u64>, ms: u64) {
    let records: Vec<_> = streams.map(record).collect();
    log.append(&records, RETENTION_MS, at(ms)).expect("appending to the log");
}

fn size(folder: &Path) -> u64 {
    let size = |name| fs::metadata(folder.join(name)).expect("a segment").len();
    SEGMENTS.map(size).iter().sum()
}

/// Guards against losing synced batches when a power loss cuts the last one at any byte, and against
/// a batch that is appended where nobody reads it.
#[test]
fn a_torn_batch_leaves_the_others() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, found) = open(folder.path());
    assert!(found.is_empty());
    append(&mut log, 0..4, 0);
    let intact = size(folder.path()) as usize;
    append(&mut log, 4..8, 1);
    let path = folder.path().join(SEGMENTS[0]);
    let bytes = fs::read(&path).unwrap();
    for cut in intact..bytes.len() {
        for filling in [None, Some(0), Some(0xff)] {
            let mut torn = bytes[..cut].to_vec();
            torn.resize(filling.map_or(cut, |_| bytes.len()), filling.unwrap_or(0));
            if torn == bytes {
                continue;
            }
            fs::write(&path, &torn).unwrap();
            let (mut log, found) = open(folder.path());
            assert_eq!(found, [0, 1, 2, 3], "cut after {cut} bytes, filled with {filling:?}");
            append(&mut log, 8..10, 1);
            assert_eq!(open(folder.path()).1, [0, 1, 2, 3, 8, 9], "cut after {cut} bytes");
        }
    }
}

/// Guards against a log that drops records within the retention, or that grows with the time.
#[test]
fn turns_keep_the_retention_and_bound_the_size() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path());
    for second in 0..200 {
        append(&mut log, second * 10..second * 10 + 10, second * 1_000);
        let (_, found) = open(folder.path());
        let needed = (second + 1).min(RETENTION_MS / 1_000) * 10;
        assert_eq!(found[found.len() - needed as usize], (second + 1) * 10 - needed);
        assert!(found.len() as u64 <= RETENTION_MS / 1_000 * 20, "{} at {second}", found.len());
    }
    assert!(size(folder.path()) < 60 * (10 * 8 + 64));
}

/// Guards against a node that restarts again and again and fills its disk, and against a turn that
/// drops the newer segment.
#[test]
fn restarts_keep_the_newest_records_and_bound_the_size() {
    let folder = tempfile::tempdir().unwrap();
    let batch = 135_000;
    for start in 0..6 {
        let (mut log, found) = open(folder.path());
        let newest = start.min(2) * batch;
        assert!(found.ends_with(&(start * batch - newest..start * batch).collect::<Vec<_>>()));
        append(&mut log, start * batch..(start + 1) * batch, 0);
        assert!(size(folder.path()) < 5 << 20, "{} after {start}", size(folder.path()));
    }
}

/// Guards against a node that does not start, or restores nothing, because of a damaged file.
#[test]
fn garbage_in_a_segment_is_skipped() {
    for (name, kept) in [(SEGMENTS[0], false), (SEGMENTS[1], true)] {
        let folder = tempfile::tempdir().unwrap();
        append(&mut open(folder.path()).0, 0..3, 0);
        let garbage: Vec<u8> = (0..5_000_u32).map(|n| (n * n / 8) as u8).collect();
        fs::write(folder.path().join(name), garbage).unwrap();
        let (mut log, found) = open(folder.path());
        assert_eq!(found, if kept { vec![0, 1, 2] } else { vec![] }, "{name}");
        append(&mut log, 3..5, 0);
        assert!(open(folder.path()).1.ends_with(&[3, 4]), "{name}");
    }
}

/// Guards against leftovers of an earlier use of a segment, whose truncation a power loss undid.
#[test]
fn leftovers_of_an_earlier_use_are_skipped() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path());
    append(&mut log, 0..3, 0);
    append(&mut log, 3..6, 0);
    let path = folder.path().join(SEGMENTS[0]);
    let earlier = fs::read(&path).unwrap();
    append(&mut log, 6..9, RETENTION_MS);
    append(&mut log, 9..12, RETENTION_MS * 2);
    let mut later = fs::read(&path).unwrap();
    assert_eq!(later.len() * 2, earlier.len());
    later.extend(&earlier[later.len()..]);
    fs::write(&path, later).unwrap();
    assert_eq!(open(folder.path()).1, (6..12).collect::<Vec<_>>());
}
