//! Snapshots that are written on another thread than the one that owns the storage.

use super::error::{StorageStep, attempt};
use super::{StorageError, rename_synced, write_synced};
use burdockcleat_core::replica::SnapshotImage;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Differs from the temporary name of an installed snapshot, which the owner of the storage may
/// write at the same time.
const STAGED_FILE: &str = "snapshot.staged";

/// Writes snapshots of a folder under a temporary name. One at a time may be written.
#[derive(Clone, Debug)]
pub struct SnapshotStager {
    folder: PathBuf,
    /// Keeps the folder locked while a snapshot is written.
    _lock: Arc<File>,
}

impl SnapshotStager {
    pub(super) fn new(folder: &Path, lock: &Arc<File>) -> Self {
        Self { folder: folder.to_path_buf(), _lock: Arc::clone(lock) }
    }

    /// Writes and syncs a snapshot. It takes effect when the storage switches to it.
    ///
    /// # Errors
    /// Fails on I/O errors.
    pub fn write(&self, image: &SnapshotImage) -> Result<StagedSnapshot, StorageError> {
        let path = self.folder.join(STAGED_FILE);
        write_synced(&path, image)?;
        Ok(StagedSnapshot { path, index: image.index, term: image.term })
    }
}

/// A snapshot that is written and synced, but not in effect.
#[derive(Debug)]
pub struct StagedSnapshot {
    path: PathBuf,
    index: u64,
    term: u64,
}

impl StagedSnapshot {
    /// Whether this is the file of an image. Committed entries never change, so index and term
    /// identify the state.
    pub(super) fn matches_image(&self, image: &SnapshotImage) -> bool {
        (self.index, self.term) == (image.index, image.term)
    }

    pub(super) fn activate(self, folder: &Path) -> Result<(), StorageError> {
        rename_synced(folder, &self.path, "snapshot")
    }
}

/// Removes what a crash before the switch left behind.
pub(super) fn remove_staged(folder: &Path) -> Result<(), StorageError> {
    let path = folder.join(STAGED_FILE);
    if path.exists() {
        attempt(fs::remove_file(&path), StorageStep::Remove, &path)?;
    }
    Ok(())
}
