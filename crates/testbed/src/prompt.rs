//! Token arithmetic, block hashes and the answer text of the fake engines.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Characters of one token.
pub const TOKEN_CHARS: usize = 4;
/// Characters of one cache block.
pub const BLOCK_CHARS: usize = 64;
/// Tokens of one cache block.
pub const BLOCK_TOKENS: u32 = (BLOCK_CHARS / TOKEN_CHARS) as u32;

/// Number of tokens of a prompt; a partial token counts as one.
pub fn token_count(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_CHARS)).unwrap_or(u32::MAX)
}

/// Cumulative hashes of the whole blocks of a prompt.
///
/// Hash `i` is XXH3-64 over the prompt's bytes from its start to the end of block `i`. A
/// partial last block has no hash.
///
/// ```
/// use burdockcleat_testbed::prompt::block_hashes;
/// let (one, two) = ("a".repeat(64), "a".repeat(130));
/// assert_eq!(block_hashes(&one)[..], block_hashes(&two)[..1]);
/// assert_eq!(block_hashes(&two).len(), 2);
/// ```
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_CHARS);
    blocks
        .map(|block| {
            hasher.update(block);
            hasher.digest()
        })
        .collect()
}

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
