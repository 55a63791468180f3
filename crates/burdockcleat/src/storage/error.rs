//! Errors of the storage.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What was attempted when an I/O error happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageStep {
    /// Creating the folder.
    CreateFolder,
    /// Listing the folder.
    ListFolder,
    /// Opening a file.
    Open,
    /// Locking the folder.
    Lock,
    /// Reading a file.
    Read,
    /// Creating a file.
    Create,
    /// Writing a file.
    Write,
    /// Syncing a file or the folder.
    Sync,
    /// Renaming a file.
    Rename,
    /// Truncating a file.
    Truncate,
    /// Removing a file.
    Remove,
}

impl fmt::Display for StorageStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::CreateFolder => "creating folder",
            Self::ListFolder => "listing folder",
            Self::Open => "opening",
            Self::Lock => "locking",
            Self::Read => "reading",
            Self::Create => "creating",
            Self::Write => "writing",
            Self::Sync => "syncing",
            Self::Rename => "renaming",
            Self::Truncate => "truncating",
            Self::Remove => "removing",
        })
    }
}

/// Why the storage could not be opened or written.
#[derive(Debug)]
#[derive(Error)]
pub enum StorageError {
    /// An operation of the file system failed.
    #[error("{step} {}", file.display())]
    Io {
        /// What was attempted.
        step: StorageStep,
        /// File or folder.
        file: PathBuf,
        /// What the operating system reported.
        #[source]
        source: io::Error,
    },
    /// Another process has the folder open.
    #[error("opening folder {} that another process uses", folder.display())]
    FolderInUse {
        /// Folder.
        folder: PathBuf,
    },
    /// A record fails its checksum or cannot be decoded, and is not the torn end of the log.
    #[error("reading corrupt record in {} at offset {offset}", file.display())]
    Corrupt {
        /// File.
        file: PathBuf,
        /// Start of the record.
        offset: u64,
    },
    /// The folder holds state but no identity.
    #[error("opening folder {} that has state but no identity file", folder.display())]
    IdentityMissing {
        /// Folder.
        folder: PathBuf,
    },
    /// The folder holds a log but no vote.
    #[error("opening folder {} that has a log but no vote file", folder.display())]
    VoteMissing {
        /// Folder.
        folder: PathBuf,
    },
    /// Entries between the snapshot and the log are missing.
    #[error(
        "opening folder {} where entry {expected} should follow but {found} does",
        folder.display()
    )]
    EntriesMissing {
        /// Folder.
        folder: PathBuf,
        /// Latest permitted index.
        expected: u64,
        /// Index that was found.
        found: u64,
    },
    /// A new deployment cannot start in a folder with state.
    #[error("initializing folder {} that already has state", folder.display())]
    NotEmpty {
        /// Folder.
        folder: PathBuf,
    },
    /// An earlier write failed.
    #[error("writing to folder {} after a failed write", folder.display())]
    EarlierWriteFailed {
        /// Folder.
        folder: PathBuf,
    },
    /// A value could not be encoded.
    #[error("encoding a record for {}", file.display())]
    Encode {
        /// File that the record is for.
        file: PathBuf,
        /// What the codec reported.
        #[source]
        source: postcard::Error,
    },
}

/// Adds the attempted step and the file to an I/O error.
pub(super) fn attempt<T>(
    result: io::Result<T>,
    step: StorageStep,
    file: &Path,
) -> Result<T, StorageError> {
    result.map_err(|source| StorageError::Io { step, file: file.to_path_buf(), source })
}
