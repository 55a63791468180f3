//! Token count estimates and prefix block hashes of prompts.

use xxhash_rust::xxh3::Xxh3;

/// Bytes of prompt text per estimated token. Engines report exact counts later.
pub const BYTES_PER_TOKEN: usize = 4;
/// Bytes of prompt text per prefix block: 16 estimated tokens, a block size that engines commonly
/// use for caching.
pub const BYTES_PER_BLOCK: usize = 64;
/// Estimated tokens per prefix block.
pub const TOKENS_PER_BLOCK: u32 = 16;

/// Returns the estimated number of tokens of a prompt. A partial token counts as one.
pub fn token_count(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the cumulative hashes of the whole blocks of a prompt.
///
/// Hash `i` is XXH3-64 over the prompt's bytes from its start to the end of block `i`. A partial
/// last block has no hash. Cache events of targets use the same hashes.
///
/// ```
/// use burdockcleat_core::prompt::block_hashes;
/// let (one, two) = ("a".repeat(64), "a".repeat(130));
/// assert_eq!(block_hashes(&one)[..], block_hashes(&two)[..1]);
/// assert_eq!(block_hashes(&two).len(), 2);
/// ```
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let blocks = prompt.as_bytes().chunks_exact(BYTES_PER_BLOCK);
    blocks
        .map(|block| {
            hasher.update(block);
            hasher.digest()
        })
        .collect()
}
