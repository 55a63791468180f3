//! Settings of a node, validated before the node starts.

use crate::allowance::AllowanceRule;
use crate::placement::{PlacementFeatures, SizeRule};
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name used in logs.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address for callers.
    pub caller_address: SocketAddrV4,
    /// Address for readiness checks of the load balancer.
    pub ready_address: SocketAddrV4,
    /// Address for targets and operators.
    pub control_address: SocketAddrV4,
    /// Address for datagrams and calls from other nodes. All nodes use the same port.
    pub peer_address: SocketAddrV4,
    /// Address that serves metrics as text.
    pub metrics_address: SocketAddrV4,
    /// Control addresses of nodes to contact first.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole deployment starts for the first time, with empty disks.
    pub first_start: bool,
    /// Folder for durable state. A node without one has no replica of the configuration register.
    pub data_folder: Option<PathBuf>,
    /// How requests of different sizes are valued.
    pub size_rule: SizeRule,
    /// Limits agreed with the operators of the deployment.
    pub limits: DeploymentLimits,
    /// Features that the deployment turns on.
    pub features: DeploymentFeatures,
}

/// Features of a node that a deployment turns on. Without any, they are off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DeploymentFeatures {
    /// Features of the placement.
    pub placement: PlacementFeatures,
    /// Memory limit of the process, in bytes, if what it holds for callers and targets is budgeted.
    pub memory_bytes: Option<u64>,
    /// Limits of version roll-outs, if operators may order them.
    pub rollouts: Option<RolloutRule>,
}

/// Limits of version roll-outs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutRule {
    /// Largest part of the requests of a service that a version on trial gets, 0 to 1.
    pub share: f64,
    /// Requests that a version on trial may get beyond that part.
    pub tolerance: u32,
    /// Time after the 50th bad answer of a version after which it gets no requests, in ms.
    pub rollback_ms: u64,
}

/// Timings, retry limits and allowance rule agreed with the operators of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentLimits {
    /// Time between two announcements of a target, in ms.
    pub announce_interval_ms: u64,
    /// Time from SIGTERM to SIGKILL, in ms.
    pub grace_ms: u64,
    /// Retries allowed in each window in addition to the percentage, over all nodes.
    pub retry_extra: u32,
    /// Retries allowed per 100 requests, over all nodes.
    pub retry_percent: u32,
    /// Length of the retry window, in ms.
    pub retry_window_ms: u64,
    /// Rule for counting the allowances of workspaces.
    pub allowance: AllowanceRule,
}
