//! Staged snapshots, which are written on a thread other than the one that owns the storage.

use super::error::{StorageOperation, io_context};
use super::{StorageError, rename_synced, write_synced};
use burdockcleat_core::replica::SnapshotImage;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Temporary name of a staged snapshot. It differs from that of a snapshot received from the
/// leader, which the thread that owns the storage may write at the same time.
const STAGED_FILE: &str = "snapshot.staged";

/// Writes snapshots to a temporary file in the data folder. Only one may be written at a time.
#[derive(Clone, Debug)]
pub struct SnapshotStager {
    folder: PathBuf,
    /// Keeps the folder locked until the snapshot is written.
    _lock: Arc<File>,
}

impl SnapshotStager {
    pub(super) fn new(folder: &Path, lock: &Arc<File>) -> Self {
        Self { folder: folder.to_path_buf(), _lock: Arc::clone(lock) }
    }

    /// Writes and syncs a snapshot. The storage activates it later.
    ///
    /// # Errors
    /// Fails on I/O errors.
    pub fn write(&self, image: &SnapshotImage) -> Result<StagedSnapshot, StorageError> {
        let path = self.folder.join(STAGED_FILE);
        write_synced(&path, image)?;
        Ok(StagedSnapshot { path, index: image.index, term: image.term })
    }
}

/// A snapshot that is written and synced, but not active yet.
#[derive(Debug)]
pub struct StagedSnapshot {
    path: PathBuf,
    index: u64,
    term: u64,
}

impl StagedSnapshot {
    /// Returns whether the file contains this image. Committed entries never change, so index and
    /// term identify the state.
    pub(super) fn matches_image(&self, image: &SnapshotImage) -> bool {
        (self.index, self.term) == (image.index, image.term)
    }

    /// Makes this the snapshot of the folder.
    pub(super) fn activate(self, folder: &Path) -> Result<(), StorageError> {
        rename_synced(folder, &self.path, "snapshot")
    }
}

/// Removes a staged snapshot that a crash left inactive.
pub(super) fn remove_staged(folder: &Path) -> Result<(), StorageError> {
    let path = folder.join(STAGED_FILE);
    if path.exists() {
        io_context(fs::remove_file(&path), StorageOperation::Remove, &path)?;
    }
    Ok(())
}
