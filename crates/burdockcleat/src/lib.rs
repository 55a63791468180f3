//! Library.

pub mod cmd;
pub mod operator;
