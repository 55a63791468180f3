//! The log, stored in segment files.

use super::error::{StorageOperation, io_context};
use super::record::{LogRecord, encode_frame, has_frame_after, read_frame};
use super::{StorageError, sync_folder};
use burdockcleat_core::replica::LogEntry;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Size at which a new segment is started, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Prefix of the names of segment files.
const SEGMENT_PREFIX: &str = "log-";

#[derive(Debug)]
struct Segment {
    number: u64,
    path: PathBuf,
    bytes: u64,
    /// Highest index of any entry in the segment.
    last_index: u64,
}

/// An append-only log that is split into segment files.
#[derive(Debug)]
pub(super) struct SegmentLog {
    folder: PathBuf,
    segments: Vec<Segment>,
    /// The last segment's file, open for appending.
    active: Option<File>,
    syncs: u64,
}

impl SegmentLog {
    /// Reads all segments, and removes a torn record at the end of the last one.
    pub(super) fn open(folder: &Path) -> Result<(Self, Vec<LogEntry>), StorageError> {
        let mut log = Self {
            folder: folder.to_path_buf(),
            segments: list_segments(folder)?,
            active: None,
            syncs: 0,
        };
        let mut entries = Vec::new();
        let count = log.segments.len();
        for (at, segment) in log.segments.iter_mut().enumerate() {
            read_segment(segment, at + 1 == count, &mut entries)?;
        }
        if let Some(segment) = log.segments.last() {
            let opened = OpenOptions::new().append(true).open(&segment.path);
            log.active = Some(io_context(opened, StorageOperation::Open, &segment.path)?);
        }
        Ok((log, entries))
    }

    pub(super) fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    pub(super) fn sync_count(&self) -> u64 {
        self.syncs
    }

    /// Appends a record with one write and one sync.
    pub(super) fn append(&mut self, record: &LogRecord) -> Result<(), StorageError> {
        if self.segments.last().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES) {
            self.start_segment()?;
        }
        let (Some(segment), Some(file)) = (self.segments.last_mut(), self.active.as_mut()) else {
            return Ok(());
        };
        let bytes = encode_frame(record, &segment.path)?;
        segment.last_index = segment.last_index.max(last_index(record));
        io_context(file.write_all(&bytes), StorageOperation::Write, &segment.path)?;
        io_context(file.sync_data(), StorageOperation::Sync, &segment.path)?;
        segment.bytes += bytes.len() as u64;
        self.syncs += 1;
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        let path = self.folder.join(format!("{SEGMENT_PREFIX}{number:010}"));
        let created = OpenOptions::new().create_new(true).append(true).open(&path);
        self.active = Some(io_context(created, StorageOperation::Create, &path)?);
        sync_folder(&self.folder)?;
        self.segments.push(Segment { number, path, bytes: 0, last_index: 0 });
        Ok(())
    }

    /// Removes the oldest segments whose entries are all covered by a snapshot at `index`. Keeps
    /// the last segment.
    pub(super) fn remove_up_to(&mut self, index: u64) -> Result<(), StorageError> {
        let old = self.segments.iter().take_while(|segment| segment.last_index <= index).count();
        let removable = old.min(self.segments.len().saturating_sub(1));
        for segment in self.segments.drain(..removable) {
            io_context(fs::remove_file(&segment.path), StorageOperation::Remove, &segment.path)?;
        }
        Ok(())
    }
}

fn last_index(record: &LogRecord) -> u64 {
    record.entries.last().map_or(0, |entry| entry.index)
}

fn list_segments(folder: &Path) -> Result<Vec<Segment>, StorageError> {
    let mut segments = Vec::new();
    for item in io_context(fs::read_dir(folder), StorageOperation::ListFolder, folder)? {
        let path = io_context(item, StorageOperation::ListFolder, folder)?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let Some(number) = name.strip_prefix(SEGMENT_PREFIX).and_then(|digits| digits.parse().ok())
        else {
            continue;
        };
        segments.push(Segment { number, path, bytes: 0, last_index: 0 });
    }
    segments.sort_by_key(|segment| segment.number);
    Ok(segments)
}

/// Applies the records of a segment to `entries`, and removes a torn record at the end of the last
/// segment.
fn read_segment(
    segment: &mut Segment,
    is_last: bool,
    entries: &mut Vec<LogEntry>,
) -> Result<(), StorageError> {
    let bytes = io_context(fs::read(&segment.path), StorageOperation::Read, &segment.path)?;
    let mut offset = 0;
    while offset < bytes.len() {
        let corrupt =
            || StorageError::Corrupt { file: segment.path.clone(), offset: offset as u64 };
        let Some((payload, end)) = read_frame(&bytes, offset) else {
            // Each record is synced before the next one is written. A bad record that is followed
            // by a valid one was therefore acknowledged, and is corrupt rather than torn.
            if !is_last || has_frame_after(&bytes, offset + 1) {
                return Err(corrupt());
            }
            truncate_file(&segment.path, offset as u64)?;
            break;
        };
        let record = postcard::from_bytes(payload).map_err(|_| corrupt())?;
        segment.last_index = segment.last_index.max(last_index(&record));
        if !apply(record, entries) {
            return Err(corrupt());
        }
        offset = end;
    }
    segment.bytes = offset as u64;
    Ok(())
}

/// Applies a record to the entries read so far. Returns `false` if this would leave a gap.
fn apply(record: LogRecord, entries: &mut Vec<LogEntry>) -> bool {
    if let Some(from) = record.truncate_from {
        entries.retain(|entry| entry.index < from);
    }
    for entry in record.entries {
        if entries.last().is_some_and(|last| last.index + 1 != entry.index) {
            return false;
        }
        entries.push(entry);
    }
    true
}

fn truncate_file(path: &Path, bytes: u64) -> Result<(), StorageError> {
    let file = io_context(OpenOptions::new().write(true).open(path), StorageOperation::Open, path)?;
    io_context(file.set_len(bytes), StorageOperation::Truncate, path)?;
    io_context(file.sync_all(), StorageOperation::Sync, path)
}
