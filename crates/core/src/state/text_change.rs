//! Difference of a text from its successor.

use serde::{Deserialize, Serialize};

/// The part of an older text that its successor does not share.
///
/// A full text of 700 KB for each of 64 versions would take 45 MB in memory and in each
/// snapshot; an edit of one item takes a few hundred bytes.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct TextChange {
    prefix: usize,
    suffix: usize,
    middle: Box<str>,
}

impl TextChange {
    /// What must be kept to rebuild `older` from `newer`.
    pub(super) fn between(older: &str, newer: &str) -> Self {
        let same = older.bytes().zip(newer.bytes()).take_while(|(a, b)| a == b).count();
        let prefix = floor_boundary(older, newer, same);
        let (old_rest, new_rest) = (&older[prefix..], &newer[prefix..]);
        let pairs = old_rest.bytes().rev().zip(new_rest.bytes().rev());
        let mut suffix = pairs.take_while(|(a, b)| a == b).count();
        // A shared end may begin inside of a letter.
        while !old_rest.is_char_boundary(old_rest.len() - suffix) {
            suffix -= 1;
        }
        Self { prefix, suffix, middle: old_rest[..old_rest.len() - suffix].into() }
    }

    /// Rebuilds the older text, or nothing if `newer` is not the text it was made from.
    pub(super) fn rebuild(&self, newer: &str) -> Option<String> {
        let start = newer.get(..self.prefix)?;
        let end = newer.get(newer.len().checked_sub(self.suffix)?..)?;
        Some([start, &self.middle, end].concat())
    }
}

fn floor_boundary(older: &str, newer: &str, mut position: usize) -> usize {
    while !older.is_char_boundary(position) || !newer.is_char_boundary(position) {
        position -= 1;
    }
    position
}
