//! Library.

pub mod entry;
