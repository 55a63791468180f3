//! Estimates from the text of a prompt: tokens and prefix blocks.

use xxhash_rust::xxh3::Xxh3;

/// Characters per token of the estimate. Engines report exact counts later.
pub const BYTES_PER_TOKEN: usize = 4;
/// Characters of one prefix block: 16 tokens, the block size that engines commonly cache by.
pub const BYTES_PER_BLOCK: usize = 64;
/// Tokens of one prefix block.
pub const TOKENS_PER_BLOCK: u32 = 16;

/// Estimated number of tokens; a partial token counts as one.
pub fn token_count(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Cumulative hashes of the whole blocks of a prompt.
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
