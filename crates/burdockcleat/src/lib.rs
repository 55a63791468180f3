//! Library.

pub mod operator;
