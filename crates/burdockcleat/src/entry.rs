//! Entry daemon: accepts callers and dispatches their requests.

pub mod gate;
