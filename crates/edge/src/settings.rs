//! Settings of a node, checked before anything starts.

use crate::allowance::AllowanceRule;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Everything that a node learns from outside at its start.
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
    /// Address for datagrams and calls of other nodes. All nodes use the same port.
    pub peer_address: SocketAddrV4,
    /// Address that serves metrics as text.
    pub metrics_address: SocketAddrV4,
    /// Control addresses of nodes to contact first.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole deployment starts for the first time, with empty disks.
    pub first_start: bool,
    /// Folder for durable state; nodes without one hold no replica of the configuration register.
    pub data_folder: Option<PathBuf>,
    /// Time limits agreed with the operators.
    pub contract: ContractParameters,
}

/// Limits agreed with the operators of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContractParameters {
    /// Time between two announcements of a target, in ms.
    pub announce_interval_ms: u64,
    /// Time from SIGTERM to SIGKILL, in ms.
    pub grace_ms: u64,
    /// Retries allowed beyond the ratio in each window, over all nodes.
    pub retry_extra: u32,
    /// Retries allowed for each hundred requests, over all nodes.
    pub retry_percent: u32,
    /// Length of the retry window, in ms.
    pub retry_window_ms: u64,
    /// How allowances of workspaces are counted.
    pub allowance: AllowanceRule,
}
