//! Framing of records: payload length, CRC-32 of length and payload, and the payload in postcard
//! format.

use super::StorageError;
use burdockcleat_core::replica::LogEntry;
use crc32fast::Hasher;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Bytes of the length and the checksum in front of each payload.
const HEADER_BYTES: usize = 8;

/// A log record. Each batch is written as one record, so only the last record can be torn.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct LogRecord {
    /// Index from which existing entries are removed before `entries` are appended.
    pub(super) truncate_from: Option<u64>,
    /// Entries to append.
    pub(super) entries: Vec<LogEntry>,
}

fn checksum(length: [u8; 4], payload: &[u8]) -> [u8; 4] {
    let mut hasher = Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize().to_le_bytes()
}

/// Encodes a value as a frame.
pub(super) fn encode_frame<T: Serialize>(value: &T, file: &Path) -> Result<Vec<u8>, StorageError> {
    let encode = |source| StorageError::Encode { file: file.to_path_buf(), source };
    let payload = postcard::to_stdvec(value).map_err(encode)?;
    let length = u32::try_from(payload.len())
        .map_err(|_| encode(postcard::Error::SerializeBufferFull))?
        .to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&checksum(length, &payload));
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Returns the payload and the end of the frame at `offset`, or `None` if the frame is incomplete
/// or has a wrong checksum.
pub(super) fn read_frame(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let header = bytes.get(offset..offset.checked_add(HEADER_BYTES)?)?;
    let length: [u8; 4] = header[..4].try_into().ok()?;
    let start = offset + HEADER_BYTES;
    let end = start.checked_add(usize::try_from(u32::from_le_bytes(length)).ok()?)?;
    let payload = bytes.get(start..end)?;
    (checksum(length, payload) == header[4..]).then_some((payload, end))
}

/// Returns whether a valid frame starts at `offset` or anywhere after it.
pub(super) fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    (offset..bytes.len()).any(|at| read_frame(bytes, at).is_some())
}
