//! The entry daemon: serves callers.
//!
//! A request passes the filters in this order: [`request::identify`], [`request::bound`],
//! [`request::route`] (with authentication), [`claim`], [`dispatch`] with the record of the
//! outcome. [`chain::FilterChain`] ties them together.

pub mod answer;
pub mod caller;
pub mod chain;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod metrics;
pub mod proxy;
pub mod refusal;
pub mod request;
pub mod resume;
pub mod server;
pub mod session;
pub mod stream;
pub mod upstream;
pub mod workers;
