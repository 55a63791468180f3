//! Scheduling, replication and configuration logic of burdockcleat.
//!
//! Everything here is a function of state and message: there is no socket, thread or random
//! source inside, and time is passed in. The daemons, the specification search and the
//! differential tests run the same code.

pub mod admission;
pub mod clock;
pub mod document;
pub mod entry_agent;
pub mod estimate;
pub mod keys;
pub mod message;
pub mod outcome;
pub mod pool;
pub mod prompt;
pub mod registry;
pub mod replica;
pub mod state;
