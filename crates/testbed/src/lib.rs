//! Fake targets, a load generator and deployments of real processes, for tests and measurements.
//!
//! All sockets are bound to and connect to loopback addresses only.

pub mod account;
pub mod announce;
pub mod bound;
pub mod capacity;
pub mod client;
pub mod cluster;
pub mod command;
pub mod deployment;
pub mod engine;
pub mod error;
pub mod fault;
pub mod flags;
pub mod journal;
pub mod load;
pub mod measure;
pub mod prompt;
pub mod relay;
pub mod service;
pub mod usage;

mod http;
mod sync;
