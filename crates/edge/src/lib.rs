//! Node of burdockcleat for deployments in which every instance serves callers, targets and
//! operators.
//!
//! Nodes place requests from state that they exchange in datagrams, so requests are served even
//! while the replicated configuration register has no quorum. The pure modules ([`config`],
//! [`register`], [`targets`], [`placement`], [`allowance`], [`budget`], [`status_timing`],
//! [`absence`], [`deadlines`], [`durations`], [`memory`], [`process_checks`], [`submission`],
//! [`suspects`], [`target_limits`], [`target_load`], [`events`], [`streams`], [`shutdown`],
//! [`rollout`]) contain no socket, clock or thread.

pub mod absence;
pub mod allowance;
pub mod budget;
mod budgeted_body;
mod client_stream;
pub mod config;
pub mod config_review;
mod control;
mod datagram;
pub mod deadlines;
mod dispatch;
pub mod document;
pub mod durations;
pub mod events;
mod facts;
mod frontend;
pub mod http_api;
pub mod idle;
pub mod logs;
pub mod memory;
pub mod memory_budget;
mod metered;
pub mod metrics;
mod node;
mod peers;
pub mod placement;
pub mod process_checks;
mod recent_maximum;
pub mod register;
mod register_service;
mod reply;
mod request;
pub mod rollout;
mod rpc;
pub mod settings;
pub mod shutdown;
pub mod slots;
mod status_parts;
pub mod status_timing;
pub mod stream_log;
pub mod streams;
pub mod submission;
pub mod suspects;
pub mod target_limits;
pub mod target_load;
pub mod targets;
mod traffic;
mod upstream;

pub use node::{NodeError, NodeServer};
