//! Token arithmetic, block hashes and the answer text of the fake engines.

pub use burdockcleat_core::prompt::{
    BYTES_PER_BLOCK, BYTES_PER_TOKEN, TOKENS_PER_BLOCK, block_hashes, token_count,
};

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a request body, as journals record it.
pub fn body_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Text of token `index` of the answer to `prompt`.
///
/// It depends on the prompt alone, so a caller can check that a token is its own whatever
/// request id the engine was given.
pub fn token_text(prompt: &str, index: u32) -> String {
    seeded_text(xxh3_64(prompt.as_bytes()), index)
}

/// Text of token `index` for the hash of a prompt.
pub fn seeded_text(prompt_hash: u64, index: u32) -> String {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&prompt_hash.to_le_bytes());
    bytes[8..].copy_from_slice(&index.to_le_bytes());
    format!("{:04x}", xxh3_64(&bytes) & 0xffff)
}
