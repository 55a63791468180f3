//! Log of stream records on the disk of a node. Two segments are used in turn, so that the log keeps
//! all records for the retention time and stays small.

use crate::slots::{SlotError, file_error, open_file};
use crate::streams::{StreamGroup, StreamRecord};
use burdockcleat_core::clock::ClockTime;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Names of the two segments.
const SEGMENT_NAMES: [&str; 2] = ["streams-a", "streams-b"];
/// Size of the length and checksum in front of a batch, in bytes.
const HEADER_BYTES: usize = 8;
/// Size from which a segment is full, in bytes. A node that restarts again and again reaches it,
/// since the ages of the records are unknown after a start.
const FULL_SEGMENT_BYTES: u64 = 2 << 20;

/// File with batches of records. Each batch has the sequence number of the segment, so that leftovers
/// of an earlier use are told apart.
#[derive(Debug)]
struct LogSegment {
    path: PathBuf,
    file: File,
    /// Number of uses of both segments up to the current use of this one; 0 for an empty segment.
    sequence: u64,
    /// Size of the intact batches, in bytes.
    length: u64,
}

impl LogSegment {
    /// Opens a segment and adds the records of its intact batches to `records`.
    fn open(path: PathBuf, records: &mut Vec<StreamRecord>) -> Result<Self, SlotError> {
        let mut file = open_file(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(file_error("reading", &path))?;
        let mut segment = Self { path, file, sequence: 0, length: 0 };
        let mut rest = bytes.as_slice();
        while let Some(((sequence, groups), after)) = split_batch(rest)
            && (segment.length == 0 || sequence == segment.sequence)
        {
            segment.sequence = sequence;
            segment.length += (rest.len() - after.len()) as u64;
            records.extend(groups.iter().flat_map(StreamGroup::records));
            rest = after;
        }
        Ok(segment)
    }

    /// Writes and syncs a batch after the intact ones. After an error, the next batch replaces it.
    fn append(&mut self, groups: &[StreamGroup]) -> Result<(), SlotError> {
        let content = postcard::to_stdvec(&(self.sequence, groups))?;
        let length = (content.len() as u32).to_le_bytes();
        let sum = crc32fast::hash(&content).to_le_bytes();
        let batch = [length.as_slice(), &sum, &content].concat();
        let (path, file) = (&self.path, &mut self.file);
        file.seek(SeekFrom::Start(self.length)).map_err(file_error("seeking in", path))?;
        file.write_all(&batch).map_err(file_error("writing", path))?;
        file.sync_data().map_err(file_error("syncing", path))?;
        self.length += batch.len() as u64;
        Ok(())
    }

    /// Empties the segment for its next use.
    fn reuse(&mut self, sequence: u64) -> Result<(), SlotError> {
        self.file.set_len(0).map_err(file_error("truncating", &self.path))?;
        (self.sequence, self.length) = (sequence, 0);
        Ok(())
    }
}

/// Open log of a node that has a disk.
#[derive(Debug)]
pub struct StreamLog {
    active: LogSegment,
    older: LogSegment,
    /// Time at which the active segment got its first record of this process.
    turned: ClockTime,
}

impl StreamLog {
    /// Opens the log in an existing folder and returns it with the records of its intact batches.
    ///
    /// # Errors
    /// Fails if a file cannot be created or read.
    pub fn open(folder: &Path, now: ClockTime) -> Result<(Self, Vec<StreamRecord>), SlotError> {
        let mut records = Vec::new();
        let [first, second] = SEGMENT_NAMES.map(|name| folder.join(name));
        let first = LogSegment::open(first, &mut records)?;
        let second = LogSegment::open(second, &mut records)?;
        let (older, active) =
            if first.sequence > second.sequence { (second, first) } else { (first, second) };
        Ok((Self { active, older, turned: now }, records))
    }

    /// Appends and syncs a batch of records. Records that were appended within the last
    /// `retention_ms` are kept, unless the log is full.
    ///
    /// # Errors
    /// Fails if the file cannot be truncated, written or synced. The batch is lost; later ones may
    /// be appended.
    pub fn append(
        &mut self,
        records: &[StreamRecord],
        retention_ms: u64,
        now: ClockTime,
    ) -> Result<(), SlotError> {
        let past = now.since(self.turned) >= retention_ms;
        if past || self.active.length >= FULL_SEGMENT_BYTES || self.active.sequence == 0 {
            self.older.reuse(self.active.sequence + 1)?;
            std::mem::swap(&mut self.active, &mut self.older);
            self.turned = now;
        }
        self.active.append(&StreamGroup::collect(records))
    }
}

/// Content of a batch: sequence number of the segment, and the records.
type BatchContent = (u64, Vec<StreamGroup>);

/// Splits an intact batch off. Returns `None` at the end or before an incomplete batch.
fn split_batch(bytes: &[u8]) -> Option<(BatchContent, &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (length, sum) = header.split_at(HEADER_BYTES / 2);
    let length = u32::from_le_bytes(length.try_into().ok()?);
    let (content, rest) = rest.split_at_checked(usize::try_from(length).ok()?)?;
    if crc32fast::hash(content).to_le_bytes() != sum {
        return None;
    }
    Some((postcard::from_bytes(content).ok()?, rest))
}
