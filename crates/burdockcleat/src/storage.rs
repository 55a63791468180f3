//! Persistent storage of one replica in a data folder.
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked while a process uses the folder |
//! | `identity` | random node id, created when the folder is empty |
//! | `vote` | current term and vote |
//! | `snapshot` | newest snapshot |
//! | `log-N` | segments of the log, in the order of N |
//!
//! Identity, vote and snapshot are replaced atomically: a temporary file is written and synced,
//! then renamed, then the folder is synced. The log is append-only. A truncation is also stored as
//! part of a log record, so each batch needs only one write and one sync.
//!
//! A [`SnapshotStager`] writes a snapshot of this instance's own state to a temporary file on
//! another thread. Renaming that file activates the snapshot. The segments that it replaces are
//! then removed, oldest first. A crash before the rename leaves the old snapshot with its complete
//! log.

mod error;
mod record;
mod segment;
mod stage;

pub use error::{StorageError, StorageOperation};
pub use stage::{SnapshotStager, StagedSnapshot};

use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::{LogEntry, ReplicaOutput, SnapshotImage, StoredState, VoteRecord};
use error::io_context;
use record::LogRecord;
use segment::SegmentLog;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Storage of one replica. The folder stays locked while this value exists.
#[derive(Debug)]
pub struct LogStorage {
    folder: PathBuf,
    node: NodeId,
    log: SegmentLog,
    /// Staged snapshot that the next matching output activates.
    staged: Option<StagedSnapshot>,
    /// Whether a write failed. The end of the log is then unknown until the folder is opened again.
    failed: bool,
    lock: Arc<File>,
}

impl LogStorage {
    /// Opens the folder, or creates it if it does not exist, and reads the stored state.
    ///
    /// # Errors
    /// Fails if another process uses the folder, on I/O errors, and if a file is corrupt or
    /// missing. A torn record at the end of the log is not an error and is removed.
    pub fn open(folder: impl AsRef<Path>) -> Result<(Self, StoredState), StorageError> {
        let folder = folder.as_ref().to_path_buf();
        io_context(fs::create_dir_all(&folder), StorageOperation::CreateFolder, &folder)?;
        let lock = lock_folder(&folder)?;
        remove_temporary_files(&folder)?;
        let identity: Option<NodeId> = read_file(&folder.join("identity"))?;
        let vote: Option<VoteRecord> = read_file(&folder.join("vote"))?;
        let snapshot: Option<SnapshotImage> = read_file(&folder.join("snapshot"))?;
        let (log, entries) = SegmentLog::open(&folder)?;
        let is_empty = vote.is_none() && snapshot.is_none() && entries.is_empty();
        let node = match identity {
            Some(node) => node,
            None if is_empty => create_identity(&folder)?,
            None => return Err(StorageError::IdentityMissing { folder }),
        };
        if vote.is_none() && !is_empty {
            return Err(StorageError::VoteMissing { folder });
        }
        check_continuity(&folder, snapshot.as_ref(), &entries)?;
        let mut stored = StoredState { vote: vote.unwrap_or_default(), snapshot, entries };
        let count = stored.entries.len();
        stored.reconcile();
        let mut storage =
            Self { folder, node, log, staged: None, failed: false, lock: Arc::new(lock) };
        if stored.entries.len() < count {
            storage.log.append(&LogRecord { truncate_from: Some(1), entries: Vec::new() })?;
        }
        Ok((storage, stored))
    }

    /// Returns the node id stored in the folder.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Returns the total size of all log segments, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    /// Returns how often the log was synced since the folder was opened.
    pub fn sync_count(&self) -> u64 {
        self.log.sync_count()
    }

    /// Returns a stager that writes snapshots of this folder on another thread.
    pub fn stager(&self) -> SnapshotStager {
        SnapshotStager::new(&self.folder, &self.lock)
    }

    /// Keeps a staged snapshot until an output with the same snapshot is persisted.
    pub fn keep_staged(&mut self, staged: StagedSnapshot) {
        self.staged = Some(staged);
    }

    /// Writes the initial state of a replica in a new group.
    ///
    /// # Errors
    /// Fails if the folder already holds a vote or entries, and on I/O errors.
    pub fn initialize(&mut self, stored: &StoredState) -> Result<(), StorageError> {
        if self.folder.join("vote").exists() || self.log.bytes() > 0 {
            return Err(StorageError::NotEmpty { folder: self.folder.clone() });
        }
        self.persist(&ReplicaOutput {
            vote: Some(stored.vote),
            snapshot: stored.snapshot.clone(),
            append: stored.entries.clone(),
            ..ReplicaOutput::default()
        })
    }

    /// Writes and syncs the vote, snapshot, truncation and entries of an output, in this order.
    ///
    /// # Errors
    /// Fails on I/O errors. After an error, all further writes fail until the folder is opened
    /// again.
    pub fn persist(&mut self, output: &ReplicaOutput) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::EarlierWriteFailed { folder: self.folder.clone() });
        }
        let result = self.write(output);
        self.failed = result.is_err();
        result
    }

    fn write(&mut self, output: &ReplicaOutput) -> Result<(), StorageError> {
        if let Some(vote) = &output.vote {
            replace_file(&self.folder, "vote", vote)?;
        }
        if let Some(image) = &output.snapshot {
            match self.staged.take().filter(|staged| staged.matches_image(image)) {
                Some(staged) => staged.activate(&self.folder)?,
                None => replace_file(&self.folder, "snapshot", image)?,
            }
        }
        if output.truncate_from.is_some() || !output.append.is_empty() {
            let (truncate_from, entries) = (output.truncate_from, output.append.clone());
            self.log.append(&LogRecord { truncate_from, entries })?;
        }
        if let Some(image) = &output.snapshot {
            self.log.remove_up_to(image.index)?;
        }
        Ok(())
    }
}

/// Locks the folder against use by other processes.
fn lock_folder(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let opened = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let lock = io_context(opened, StorageOperation::Open, &path)?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => {
            Err(StorageError::FolderInUse { folder: folder.to_path_buf() })
        }
        Err(TryLockError::Error(source)) => {
            Err(StorageError::Io { operation: StorageOperation::Lock, file: path, source })
        }
    }
}

/// Removes temporary files that remain if the process crashed while it replaced a file.
fn remove_temporary_files(folder: &Path) -> Result<(), StorageError> {
    for name in ["identity", "vote", "snapshot"] {
        let path = temporary_path(folder, name);
        if path.exists() {
            io_context(fs::remove_file(&path), StorageOperation::Remove, &path)?;
        }
    }
    stage::remove_staged(folder)
}

fn temporary_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.new"))
}

/// Generates a random node id and stores it.
fn create_identity(folder: &Path) -> Result<NodeId, StorageError> {
    let node = NodeId(rand::random());
    replace_file(folder, "identity", &node)?;
    Ok(node)
}

/// Reads a file that consists of one record, or returns `None` if it does not exist.
fn read_file<T: for<'de> serde::Deserialize<'de>>(path: &Path) -> Result<Option<T>, StorageError> {
    if !path.exists() {
        return Ok(None);
    }
    let bytes = io_context(fs::read(path), StorageOperation::Read, path)?;
    let corrupt = || StorageError::Corrupt { file: path.to_path_buf(), offset: 0 };
    let (payload, end) = record::read_frame(&bytes, 0).ok_or_else(corrupt)?;
    if end != bytes.len() {
        return Err(corrupt());
    }
    postcard::from_bytes(payload).map(Some).map_err(|_| corrupt())
}

/// Replaces a file atomically.
fn replace_file<T: serde::Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
) -> Result<(), StorageError> {
    let new = temporary_path(folder, name);
    write_synced(&new, value)?;
    rename_synced(folder, &new, name)
}

/// Writes a file that consists of one record, and syncs it.
fn write_synced<T: serde::Serialize>(path: &Path, value: &T) -> Result<(), StorageError> {
    let frame = record::encode_frame(value, path)?;
    let mut file = io_context(File::create(path), StorageOperation::Create, path)?;
    io_context(file.write_all(&frame), StorageOperation::Write, path)?;
    io_context(file.sync_all(), StorageOperation::Sync, path)
}

/// Renames a synced file to its final name and syncs the folder.
fn rename_synced(folder: &Path, new: &Path, name: &str) -> Result<(), StorageError> {
    io_context(fs::rename(new, folder.join(name)), StorageOperation::Rename, new)?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let file = io_context(File::open(folder), StorageOperation::Open, folder)?;
    io_context(file.sync_all(), StorageOperation::Sync, folder)
}

/// Fails if entries are missing between the snapshot and the first entry of the log.
fn check_continuity(
    folder: &Path,
    snapshot: Option<&SnapshotImage>,
    entries: &[LogEntry],
) -> Result<(), StorageError> {
    let Some(first) = entries.first() else { return Ok(()) };
    let expected = snapshot.map_or(0, |image| image.index) + 1;
    if first.index > expected {
        let (folder, found) = (folder.to_path_buf(), first.index);
        return Err(StorageError::EntriesMissing { folder, expected, found });
    }
    Ok(())
}
