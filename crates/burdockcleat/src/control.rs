//! The control daemon: replicated log, configuration, admission, members and orders.
//!
//! A single thread, run by [`node`], owns all state and handles events one at a time. Each
//! controller owns one part of that state: [`config`], [`members`], [`orders`], [`replies`], and
//! the admission controller of the core library. The link thread and the HTTP threads only forward
//! events to the control thread.

mod calls;
pub mod config;
pub mod console;
pub mod event;
pub mod http;
mod leadership;
pub mod listen;
pub mod members;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peer;
mod receive;
pub mod replies;
pub mod report;
pub mod server;
mod snapshot;
mod targets;
