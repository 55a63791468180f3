//! Compressed form of the configuration document, in which nodes store it and pass it on.
//!
//! Answers documents with more than a thousand routes: every node fetches each version, over links
//! of ten megabits, and a round sends it to all replicas.

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{self, Read};

/// Largest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 12 << 20;

/// Compresses a document.
///
/// # Errors
/// Fails only if the codec does.
pub fn compress(document: &[u8]) -> io::Result<Vec<u8>> {
    let mut compressed = Vec::new();
    DeflateEncoder::new(document, Compression::fast()).read_to_end(&mut compressed)?;
    Ok(compressed)
}

/// Restores a document, up to the largest size.
///
/// # Errors
/// Fails if the bytes are not a compressed document.
pub fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut document = Vec::new();
    let limit = MAX_DOCUMENT_BYTES as u64;
    DeflateDecoder::new(compressed).take(limit).read_to_end(&mut document)?;
    Ok(document)
}
