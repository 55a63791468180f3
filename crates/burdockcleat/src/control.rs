//! The control daemon: replicated log, configuration, admission, members and orders.
//!
//! One thread, [`node`], owns all state and handles one event after the other. Controllers own
//! one part of the state each: [`config`], [`members`], [`orders`], [`replies`], and the admission of the
//! core library. The link thread and the HTTP threads only pass events.

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
