//! Storage errors.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Operation during which an I/O error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageOperation {
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

impl fmt::Display for StorageOperation {
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

/// Error from opening or writing the storage.
#[derive(Debug)]
#[derive(Error)]
pub enum StorageError {
    /// A file system operation failed.
    #[error("{operation} {}", file.display())]
    Io {
        /// The operation that failed.
        operation: StorageOperation,
        /// Affected file or folder.
        file: PathBuf,
        /// Error from the operating system.
        #[source]
        source: io::Error,
    },
    /// Another process has the folder open.
    #[error("folder {} is in use by another process", folder.display())]
    FolderInUse {
        /// Folder.
        folder: PathBuf,
    },
    /// A record has a wrong checksum or cannot be decoded, and is not a torn record at the end of
    /// the log.
    #[error("corrupt record in {} at offset {offset}", file.display())]
    Corrupt {
        /// File that contains the record.
        file: PathBuf,
        /// Offset of the record, in bytes.
        offset: u64,
    },
    /// The folder contains state but no identity.
    #[error("folder {} contains state but no identity file", folder.display())]
    IdentityMissing {
        /// Folder.
        folder: PathBuf,
    },
    /// The folder contains a log or a snapshot but no vote.
    #[error("folder {} contains a log or a snapshot but no vote file", folder.display())]
    VoteMissing {
        /// Folder.
        folder: PathBuf,
    },
    /// Entries between the snapshot and the first entry of the log are missing.
    #[error(
        "log in folder {} starts at entry {found}, but must start at {expected} or earlier",
        folder.display()
    )]
    EntriesMissing {
        /// Folder.
        folder: PathBuf,
        /// Highest permitted index of the first entry.
        expected: u64,
        /// Actual index of the first entry.
        found: u64,
    },
    /// The folder cannot be initialized because it already contains state.
    #[error("folder {} cannot be initialized because it already contains state", folder.display())]
    NotEmpty {
        /// Folder.
        folder: PathBuf,
    },
    /// An earlier write failed, so no further writes are accepted.
    #[error("folder {} accepts no writes after an earlier write failed", folder.display())]
    EarlierWriteFailed {
        /// Folder.
        folder: PathBuf,
    },
    /// A value could not be encoded.
    #[error("encoding a record for {}", file.display())]
    Encode {
        /// File that the record was meant for.
        file: PathBuf,
        /// Error from the codec.
        #[source]
        source: postcard::Error,
    },
}

/// Adds the operation and the affected file to an I/O error.
pub(super) fn io_context<T>(
    result: io::Result<T>,
    operation: StorageOperation,
    file: &Path,
) -> Result<T, StorageError> {
    result.map_err(|source| StorageError::Io { operation, file: file.to_path_buf(), source })
}
