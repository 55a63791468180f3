//! Durable state of a node. Each part is written alternately to two files (slots), so that one of
//! them is intact after a crash or a power loss.

use crate::memory::{StoredMemory, StoredUsage};
use crate::register::{EarlierReplicaState, ReplicaState};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Names of the two files of the replica.
const REGISTER_NAMES: [&str; 2] = ["register-a", "register-b"];
/// Names of the two files of the recovery memory.
const MEMORY_NAMES: [&str; 2] = ["memory-a", "memory-b"];
/// Names of the two files of the usage of allowances. It is written more often than the memory.
const USAGE_NAMES: [&str; 2] = ["usage-a", "usage-b"];
/// Name of the file with the identifier of the disk.
const IDENTITY_NAME: &str = "identity";
/// Size of the length and checksum in front of a slot's content, in bytes.
const HEADER_BYTES: usize = 12;

/// Error from reading or writing the storage.
#[derive(Debug)]
#[derive(Error)]
pub enum SlotError {
    /// A file operation failed.
    #[error("{action} {path} failed")]
    File {
        /// Operation that failed.
        action: &'static str,
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The state could not be encoded.
    #[error("failed to encode the state of the node")]
    Encode(#[from] postcard::Error),
}

/// Contents of a slot.
#[derive(Serialize, Deserialize)]
struct SlotRecord<T> {
    sequence: u64,
    state: T,
}

/// Two open files that are written alternately.
#[derive(Debug)]
struct SlotPair {
    files: [(PathBuf, File); 2],
    sequence: u64,
}

impl SlotPair {
    /// Opens both files and reads the newest intact state.
    fn open<T>(folder: &Path, names: [&str; 2]) -> Result<(Self, Option<T>), SlotError>
    where
        T: DeserializeOwned,
    {
        Self::open_with(folder, names, decode_record)
    }

    /// Opens both files and reads the newest intact state with the given decoder.
    fn open_with<T>(
        folder: &Path,
        names: [&str; 2],
        decode: fn(&[u8]) -> Option<SlotRecord<T>>,
    ) -> Result<(Self, Option<T>), SlotError> {
        let mut newest: Option<SlotRecord<T>> = None;
        let mut open = |name: &str| -> Result<(PathBuf, File), SlotError> {
            let path = folder.join(name);
            let mut file = open_file(&path)?;
            if let Some(record) = read_slot(&path, &mut file)?.as_deref().and_then(decode)
                && newest.as_ref().is_none_or(|known| record.sequence > known.sequence)
            {
                newest = Some(record);
            }
            Ok((path, file))
        };
        let files = [open(names[0])?, open(names[1])?];
        let sequence = newest.as_ref().map_or(0, |record| record.sequence);
        Ok((Self { files, sequence }, newest.map(|record| record.state)))
    }

    /// Writes and syncs a state. After an error, the previous state is still on disk.
    fn save<T>(&mut self, state: &T) -> Result<(), SlotError>
    where
        T: Serialize,
    {
        let sequence = self.sequence + 1;
        let content = postcard::to_stdvec(&SlotRecord { sequence, state })?;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
        bytes.extend((content.len() as u64).to_le_bytes());
        bytes.extend(crc32fast::hash(&content).to_le_bytes());
        bytes.extend(&content);
        let (path, file) = &mut self.files[usize::from(sequence % 2 == 1)];
        file.seek(SeekFrom::Start(0)).map_err(file_error("seeking in", path))?;
        file.write_all(&bytes).map_err(file_error("writing", path))?;
        file.sync_data().map_err(file_error("syncing", path))?;
        self.sequence = sequence;
        Ok(())
    }
}

/// Open storage of a node that has a disk.
#[derive(Debug)]
pub struct SlotStore {
    register: SlotPair,
    memory: SlotPair,
    loaded_memory: Option<StoredMemory>,
    usage: SlotPair,
    loaded_usage: Option<StoredUsage>,
    disk: u64,
}

impl SlotStore {
    /// Opens the folder and reads the newest intact states. An empty folder gets the identifier
    /// `new_disk_id`.
    ///
    /// # Errors
    /// Fails if a file cannot be created, read or synced.
    pub fn open(folder: &Path, new_disk_id: u64) -> Result<(Self, ReplicaState), SlotError> {
        fs::create_dir_all(folder).map_err(file_error("creating the folder", folder))?;
        let disk = load_or_create_disk_id(&folder.join(IDENTITY_NAME), new_disk_id)?;
        let (register, state) = SlotPair::open_with(folder, REGISTER_NAMES, decode_replica)?;
        let (memory, loaded_memory) = SlotPair::open(folder, MEMORY_NAMES)?;
        let (usage, loaded_usage) = SlotPair::open(folder, USAGE_NAMES)?;
        let store = Self { register, memory, loaded_memory, usage, loaded_usage, disk };
        Ok((store, state.unwrap_or_default()))
    }

    /// Returns the identifier of the disk, which was chosen when the folder was empty.
    pub const fn disk(&self) -> u64 {
        self.disk
    }

    /// Takes the recovery memory that was on disk when the storage was opened.
    pub const fn take_memory(&mut self) -> Option<StoredMemory> {
        self.loaded_memory.take()
    }

    /// Writes and syncs the state of the replica. After an error, the previous state is still on
    /// disk.
    ///
    /// # Errors
    /// Fails if the file cannot be written or synced.
    pub fn save_replica(&mut self, state: &ReplicaState) -> Result<(), SlotError> {
        self.register.save(state)
    }

    /// Writes and syncs the recovery memory. After an error, the previous one is still on disk.
    ///
    /// # Errors
    /// Fails if the file cannot be written or synced.
    pub fn save_memory(&mut self, memory: &StoredMemory) -> Result<(), SlotError> {
        self.memory.save(memory)
    }

    /// Takes the usage of allowances that was on disk when the storage was opened.
    pub const fn take_usage(&mut self) -> Option<StoredUsage> {
        self.loaded_usage.take()
    }

    /// Writes and syncs the usage of allowances. After an error, the previous one is still on disk.
    ///
    /// # Errors
    /// Fails if the file cannot be written or synced.
    pub fn save_usage(&mut self, usage: &StoredUsage) -> Result<(), SlotError> {
        self.usage.save(usage)
    }
}

pub(crate) fn file_error<'a>(
    action: &'static str,
    path: &'a Path,
) -> impl FnOnce(std::io::Error) -> SlotError + use<'a> {
    move |source| SlotError::File { action, path: path.to_owned(), source }
}

pub(crate) fn open_file(path: &Path) -> Result<File, SlotError> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .map_err(file_error("opening", path))
}

/// Reads the identifier of the disk, or writes a new one if it is missing or incomplete.
fn load_or_create_disk_id(path: &Path, new_disk_id: u64) -> Result<u64, SlotError> {
    let mut file = open_file(path)?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes).map_err(file_error("reading", path))?;
    if let Ok(bytes) = <[u8; 12]>::try_from(bytes.as_slice()) {
        let (number, sum) = bytes.split_at(8);
        if crc32fast::hash(number).to_le_bytes() == sum
            && let Ok(number) = number.try_into()
        {
            return Ok(u64::from_le_bytes(number));
        }
    }
    let number = new_disk_id.to_le_bytes();
    let sum = crc32fast::hash(&number).to_le_bytes();
    file.set_len(0).map_err(file_error("truncating", path))?;
    file.seek(SeekFrom::Start(0)).map_err(file_error("seeking in", path))?;
    file.write_all(&[number.as_slice(), sum.as_slice()].concat())
        .map_err(file_error("writing", path))?;
    file.sync_all().map_err(file_error("syncing", path))?;
    Ok(new_disk_id)
}

/// Decodes the content of a slot.
fn decode_record<T: DeserializeOwned>(content: &[u8]) -> Option<SlotRecord<T>> {
    postcard::from_bytes(content).ok()
}

/// Decodes the state of a replica, also in the form before the register held roll-outs. That form
/// ends where the roll-outs begin, so the newer one cannot be read from it.
fn decode_replica(content: &[u8]) -> Option<SlotRecord<ReplicaState>> {
    decode_record(content).or_else(|| {
        let earlier: SlotRecord<EarlierReplicaState> = decode_record(content)?;
        Some(SlotRecord { sequence: earlier.sequence, state: earlier.state.into() })
    })
}

/// Reads the content of a slot. Returns `None` if it is empty or incomplete.
fn read_slot(path: &Path, file: &mut File) -> Result<Option<Vec<u8>>, SlotError> {
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes).map_err(file_error("reading", path))?;
    let Some((head, content)) = bytes.split_at_checked(HEADER_BYTES) else { return Ok(None) };
    let (length, sum) = head.split_at(8);
    let Ok(length) = length.try_into().map(u64::from_le_bytes) else { return Ok(None) };
    let Some(content) = usize::try_from(length).ok().and_then(|length| content.get(..length))
    else {
        return Ok(None);
    };
    let intact = crc32fast::hash(content).to_le_bytes() == sum;
    Ok(intact.then(|| content.to_vec()))
}
