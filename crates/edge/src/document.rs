//! Compression of the configuration document for storage and transfer between nodes.
//!
//! Documents can have more than 1,000 routes. Every node fetches each version over links of
//! 10 Mbit/s, and a round of the register sends it to all replicas.

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{self, Read};

/// Maximum size of an uncompressed document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 12 << 20;

/// Compresses a document.
///
/// # Errors
/// Returns the error of the encoder.
pub fn compress(document: &[u8]) -> io::Result<Vec<u8>> {
    let mut compressed = Vec::new();
    DeflateEncoder::new(document, Compression::fast()).read_to_end(&mut compressed)?;
    Ok(compressed)
}

/// Decompresses a document. The output is truncated at [`MAX_DOCUMENT_BYTES`].
///
/// # Errors
/// Fails if the bytes are not valid DEFLATE data.
pub fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut document = Vec::new();
    let limit = MAX_DOCUMENT_BYTES as u64;
    DeflateDecoder::new(compressed).take(limit).read_to_end(&mut document)?;
    Ok(document)
}
