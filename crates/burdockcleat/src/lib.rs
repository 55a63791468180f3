//! Library.

pub mod cmd;
pub mod console;
pub mod operator;
