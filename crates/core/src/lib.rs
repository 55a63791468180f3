//! Scheduling, replication and configuration logic of burdockcleat.
//!
//! The crate does no I/O: results depend only on the state and the messages passed in. It opens
//! no sockets, starts no threads and draws no random numbers, and the caller passes the time.
//! The daemons, the model checks and the differential tests therefore run the same code.

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
