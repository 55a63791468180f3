//! Token counts, block hashes and the answer text of the fake engines.

pub use burdockcleat_core::prompt::{
    BYTES_PER_BLOCK, BYTES_PER_TOKEN, TOKENS_PER_BLOCK, block_hashes, token_count,
};

use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of a request body, as the journals record it.
pub fn body_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Returns the text of token `index` of the answer to `prompt`.
///
/// It depends on the prompt only. A caller can therefore check that a token belongs to its request
/// without knowing the request id that the engine received.
pub fn token_text(prompt: &str, index: u32) -> String {
    seeded_text(xxh3_64(prompt.as_bytes()), index)
}

/// Returns the text of token `index` for the hash of a prompt.
pub fn seeded_text(prompt_hash: u64, index: u32) -> String {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&prompt_hash.to_le_bytes());
    bytes[8..].copy_from_slice(&index.to_le_bytes());
    format!("{:04x}", xxh3_64(&bytes) & 0xffff)
}
