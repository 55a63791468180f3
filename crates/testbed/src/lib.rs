//! Fake targets and the load program that tests and experiments run burdockcleat against.
//!
//! Everything here listens on and connects to loopback addresses only.

pub mod announce;
pub mod engine;
pub mod error;
pub mod fault;
pub mod flags;
pub mod journal;
pub mod load;
pub mod prompt;
pub mod service;

mod http;
mod sync;
