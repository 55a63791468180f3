//! Library of the burdockcleat daemons and command line.

pub mod cmd;
pub mod console;
pub mod control;
pub mod entry;
pub mod link;
#[allow(
    missing_docs,
    unused_qualifications,
    clippy::all,
    clippy::pedantic,
    clippy::unseparated_literal_suffix
)]
#[rustfmt::skip]
mod link_capnp;
pub mod operator;
pub mod settings;
pub mod storage;
pub mod telemetry;
