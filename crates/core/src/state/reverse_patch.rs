//! Patch from a text to its previous version.

use serde::{Deserialize, Serialize};

/// Patch that rebuilds an older text from the next version of it.
///
/// The older text is a prefix of the newer text, followed by `middle` and a suffix of the newer
/// text. Storing 64 full versions of 700 KB each would take 45 MB in memory and in each snapshot;
/// the patch for an edit of one item takes a few hundred bytes.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct ReversePatch {
    /// Length of the prefix in bytes.
    prefix: usize,
    /// Length of the suffix in bytes.
    suffix: usize,
    middle: Box<str>,
}

impl ReversePatch {
    /// Computes the patch that rebuilds `older` from `newer`.
    pub(super) fn between(older: &str, newer: &str) -> Self {
        let same = older.bytes().zip(newer.bytes()).take_while(|(a, b)| a == b).count();
        let prefix = floor_char_boundary(older, newer, same);
        let (old_rest, new_rest) = (&older[prefix..], &newer[prefix..]);
        let pairs = old_rest.bytes().rev().zip(new_rest.bytes().rev());
        let mut suffix = pairs.take_while(|(a, b)| a == b).count();
        // The common suffix may start inside a multi-byte character.
        while !old_rest.is_char_boundary(old_rest.len() - suffix) {
            suffix -= 1;
        }
        Self { prefix, suffix, middle: old_rest[..old_rest.len() - suffix].into() }
    }

    /// Rebuilds the older text. Returns `None` if the patch does not fit `newer`.
    pub(super) fn apply(&self, newer: &str) -> Option<String> {
        let start = newer.get(..self.prefix)?;
        let end = newer.get(newer.len().checked_sub(self.suffix)?..)?;
        Some([start, &self.middle, end].concat())
    }
}

/// Returns the last position up to `position` that is a character boundary in both texts.
fn floor_char_boundary(older: &str, newer: &str, mut position: usize) -> usize {
    while !older.is_char_boundary(position) || !newer.is_char_boundary(position) {
        position -= 1;
    }
    position
}
