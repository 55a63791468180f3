//! The entry daemon, a reverse proxy that accepts requests from callers.
//!
//! [`chain::FilterChain`] runs each request through these filters in order:
//! [`request::identify`], [`request::read_body`], [`request::route`] (which also authenticates),
//! [`claim`] and [`dispatch`]. The last one also reports the outcome to the leader.

pub mod caller;
pub mod chain;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod metrics;
pub mod proxy;
pub mod refusal;
pub mod request;
pub mod response;
pub mod resume;
pub mod server;
pub mod session;
pub mod stream;
pub mod upstream;
pub mod workers;
