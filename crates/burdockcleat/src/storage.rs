//! Storage of one replica in a folder.
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked while a process uses the folder |
//! | `identity` | node id, drawn when the folder is empty |
//! | `vote` | term and vote |
//! | `snapshot` | newest snapshot |
//! | `log-N` | segments of the log, in the order of N |
//!
//! Identity, vote and snapshot are replaced as a whole: a temporary file is written and synced,
//! then renamed, then the folder is synced. The log is only appended to. A truncation is a record
//! in the log as well, so one write and one sync cover a batch.
//!
//! A snapshot of this instance's own state is staged by a [`SnapshotStager`] on another thread.
//! The switch to it is the rename, after which the segments that it replaces are removed, oldest
//! first. Until the rename, a crash leaves the old snapshot with its whole log.

mod error;
mod record;
mod segment;
mod stage;

pub use error::{StorageError, StorageStep};
pub use stage::{SnapshotStager, StagedSnapshot};

use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::{LogEntry, ReplicaOutput, SnapshotImage, StoredState, VoteRecord};
use error::attempt;
use record::LogRecord;
use segment::SegmentLog;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Files of one replica. The folder stays locked while this value lives.
#[derive(Debug)]
pub struct LogStorage {
    folder: PathBuf,
    node: NodeId,
    log: SegmentLog,
    /// A snapshot that is written and synced under its temporary name.
    staged: Option<StagedSnapshot>,
    /// A write failed, so the end of the log is unknown until the folder is opened again.
    failed: bool,
    lock: Arc<File>,
}

impl LogStorage {
    /// Opens the folder, creates it if it is missing, and reads the stored state.
    ///
    /// # Errors
    /// Fails if another process uses the folder, on I/O errors, and if a file is corrupt or
    /// missing. A torn last record of the log is not an error; it is removed.
    pub fn open(folder: impl AsRef<Path>) -> Result<(Self, StoredState), StorageError> {
        let folder = folder.as_ref().to_path_buf();
        attempt(fs::create_dir_all(&folder), StorageStep::CreateFolder, &folder)?;
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

    /// Identity of this folder.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Bytes in the segments of the log.
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    /// Syncs of the log since the folder was opened.
    pub fn sync_count(&self) -> u64 {
        self.log.sync_count()
    }

    /// Writes snapshots of this folder on another thread.
    pub fn stager(&self) -> SnapshotStager {
        SnapshotStager::new(&self.folder, &self.lock)
    }

    /// Keeps a staged snapshot for the output that contains its image.
    pub fn keep_staged(&mut self, staged: StagedSnapshot) {
        self.staged = Some(staged);
    }

    /// Writes the state of the first replica of a new deployment.
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

    /// Writes and syncs vote, snapshot, truncation and entries of an output, in this order.
    ///
    /// # Errors
    /// Fails on I/O errors. After an error nothing more can be written until the folder is opened
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

fn lock_folder(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let opened = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let lock = attempt(opened, StorageStep::Open, &path)?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => {
            Err(StorageError::FolderInUse { folder: folder.to_path_buf() })
        }
        Err(TryLockError::Error(source)) => {
            Err(StorageError::Io { step: StorageStep::Lock, file: path, source })
        }
    }
}

/// Removes what a crash in the middle of a replacement left behind.
fn remove_temporary_files(folder: &Path) -> Result<(), StorageError> {
    for name in ["identity", "vote", "snapshot"] {
        let path = temporary_path(folder, name);
        if path.exists() {
            attempt(fs::remove_file(&path), StorageStep::Remove, &path)?;
        }
    }
    stage::remove_staged(folder)
}

fn temporary_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.new"))
}

fn create_identity(folder: &Path) -> Result<NodeId, StorageError> {
    let node = NodeId(rand::random());
    replace_file(folder, "identity", &node)?;
    Ok(node)
}

fn read_file<T: for<'de> serde::Deserialize<'de>>(path: &Path) -> Result<Option<T>, StorageError> {
    if !path.exists() {
        return Ok(None);
    }
    let bytes = attempt(fs::read(path), StorageStep::Read, path)?;
    let corrupt = || StorageError::Corrupt { file: path.to_path_buf(), offset: 0 };
    let (payload, end) = record::read_frame(&bytes, 0).ok_or_else(corrupt)?;
    if end != bytes.len() {
        return Err(corrupt());
    }
    postcard::from_bytes(payload).map(Some).map_err(|_| corrupt())
}

fn replace_file<T: serde::Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
) -> Result<(), StorageError> {
    let new = temporary_path(folder, name);
    write_synced(&new, value)?;
    rename_synced(folder, &new, name)
}

/// Writes a file as a whole and syncs it.
fn write_synced<T: serde::Serialize>(path: &Path, value: &T) -> Result<(), StorageError> {
    let frame = record::encode_frame(value, path)?;
    let mut file = attempt(File::create(path), StorageStep::Create, path)?;
    attempt(file.write_all(&frame), StorageStep::Write, path)?;
    attempt(file.sync_all(), StorageStep::Sync, path)
}

/// Gives a synced file its final name.
fn rename_synced(folder: &Path, new: &Path, name: &str) -> Result<(), StorageError> {
    attempt(fs::rename(new, folder.join(name)), StorageStep::Rename, new)?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let file = attempt(File::open(folder), StorageStep::Open, folder)?;
    attempt(file.sync_all(), StorageStep::Sync, folder)
}

/// The entries must continue each other and start no later than directly after the snapshot.
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
