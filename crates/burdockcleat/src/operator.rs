//! Operator API of a control instance: request and reply bodies, and the client.
//!
//! `docs/operator-api.md` documents the API. Field names are `snake_case` in JSON.

mod client;
mod error;

pub use client::{ClientSettings, OperatorClient, fetch};
pub use error::ClientError;

use burdockcleat_core::document::DocumentFault;
use serde::{Deserialize, Serialize};
use std::time::{Duration, UNIX_EPOCH};

/// Paths of the API.
pub mod paths {
    /// `GET` reads the configuration in force, `POST` applies a new one.
    pub const CONFIG: &str = "/v1/config";
    /// `GET` lists the kept versions.
    pub const HISTORY: &str = "/v1/history";
    /// `GET` reads the state of the deployment.
    pub const STATUS: &str = "/v1/status";
    /// `GET` dumps the state of this instance.
    pub const DUMP: &str = "/v1/dump";
    /// `GET` reads the metrics of this instance.
    pub const METRICS: &str = "/v1/metrics";
    /// `POST` drains an entry or a target.
    pub const DRAIN: &str = "/v1/drain";
    /// `POST` orders a target to load a model.
    pub const ORDERS: &str = "/v1/orders";
}

/// Whether a text is a valid operation id: 1 to 128 printable ASCII characters without spaces.
pub fn is_operation_id(id: &str) -> bool {
    (1..=128).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Reply to `GET /v1/config`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigReply {
    /// Version in force.
    pub version: u64,
    /// Document in TOML, as it was applied.
    pub document: String,
}

/// Body of `POST /v1/config`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Version that the edit started from.
    pub base_version: u64,
    /// Id of the edit. A retry with the same id gets the result of the first request.
    pub operation_id: String,
    /// Who makes the edit, for the history.
    pub author: String,
    /// New document in TOML.
    pub document: String,
}

/// Reply 200 to `POST /v1/config`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ApplyReply {
    /// Version that the edit created.
    pub version: u64,
}

/// Reply 409: the base version is no longer in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConflictReply {
    /// Always [`ErrorCode::Conflict`].
    pub error: ErrorCode,
    /// Version in force.
    pub current_version: u64,
}

/// Reply 422: the document has faults and was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultsReply {
    /// Every fault.
    pub faults: Vec<FaultText>,
}

/// A fault of a document, as text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultText {
    /// Path of the field; empty for a fault of the document as a whole.
    pub path: String,
    /// Description of the fault, with the allowed range.
    pub message: String,
}

impl From<&DocumentFault> for FaultText {
    fn from(fault: &DocumentFault) -> Self {
        Self { path: fault.path.clone(), message: fault.kind.to_string() }
    }
}

/// Reply 421: this instance is not the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaderReply {
    /// Base URL of the leader, if known.
    pub leader: Option<String>,
}

/// Reply with any other error status.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorReply {
    /// Error code.
    pub error: ErrorCode,
    /// Explanation for the operator.
    #[serde(default)]
    pub message: String,
}

/// Error codes of [`ErrorReply`] and [`ConflictReply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// 409: the base version is no longer in force.
    Conflict,
    /// 409: the operation id was used before with another request.
    OperationReused,
    /// 400: the request is malformed.
    BadRequest,
    /// 401: the token is missing or wrong.
    Unauthorized,
    /// 404: no such path, entry, target or model.
    NotFound,
    /// 503: a majority did not confirm the request in time; it may still take effect.
    Unconfirmed,
    /// An error code that this version does not know.
    #[serde(other)]
    Other,
}

/// Reply to `GET /v1/history`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryReply {
    /// Kept versions, newest first.
    pub versions: Vec<HistoryEntry>,
}

/// A version of the configuration in the history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct HistoryEntry {
    /// Version number.
    pub version: u64,
    /// Who made the edit.
    pub author: String,
    /// Id of the edit.
    pub operation_id: String,
    /// Time of the edit by the leader's wall clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Number of changes compared with the previous version.
    pub changes: u32,
}

impl HistoryEntry {
    /// Formats the time of the edit as RFC 3339 in UTC, or as `-` if the formatter rejects it.
    pub fn time_rfc3339(&self) -> String {
        /// Last second of the year 9999 in Unix time, the latest that the formatter accepts.
        const MAX_UNIX_SECONDS: u64 = 253_402_300_799;
        if self.time_ms / 1_000 > MAX_UNIX_SECONDS {
            return "-".to_owned();
        }
        let time = UNIX_EPOCH + Duration::from_millis(self.time_ms);
        humantime::format_rfc3339_seconds(time).to_string()
    }
}

/// Reply to `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct StatusReply {
    /// Name of the replying instance.
    pub instance: String,
    /// Whether the instance is the leader and a majority has confirmed it.
    pub leading: bool,
    /// Base URL of the leader, if known.
    pub leader: Option<String>,
    /// Current term of the instance.
    pub term: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Control instances.
    pub members: Vec<MemberStatus>,
    /// Entries.
    pub entries: Vec<EntryStatus>,
    /// Pools.
    pub pools: Vec<PoolStatus>,
    /// Targets.
    pub targets: Vec<TargetStatus>,
    /// Orders that are open or have ended recently.
    pub orders: Vec<OrderStatus>,
}

/// Status of a control instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// Node id in hexadecimal digits.
    pub node: String,
    /// Address, `ip:port`.
    pub address: String,
    /// `leader`, `follower` or `learner`.
    pub role: String,
    /// Highest log index known to be stored on the instance.
    pub stored_index: u64,
}

/// Status of an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct EntryStatus {
    /// Name of the entry.
    pub name: String,
    /// Version of the configuration that the entry reported.
    pub config_version: u64,
    /// Whether the entry is draining.
    pub draining: bool,
    /// Number of running requests.
    pub running: u32,
    /// Time since the last message of the entry, in milliseconds.
    pub silent_ms: u64,
}

/// Status of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PoolStatus {
    /// Name of the pool.
    pub name: String,
    /// Number of targets that may be assigned requests.
    pub targets: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
}

/// Status of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: String,
    /// Pool that the target belongs to.
    pub pool: String,
    /// Incarnation number, which is higher after each restart of the target.
    pub incarnation: u64,
    /// `ready`, `silent`, `straggler` or `draining`.
    pub state: String,
    /// Models that the target serves.
    pub models: Vec<String>,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that the target accepts at the same time.
    pub slots: u32,
}

/// Status of an order to a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct OrderStatus {
    /// Operation id of the order.
    pub operation_id: String,
    /// Name of the target.
    pub target: String,
    /// Model to load.
    pub model: String,
    /// State of the order.
    pub state: OrderState,
    /// Explanation; empty unless the order failed.
    pub message: String,
}

/// State of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The order is committed but not yet sent.
    #[default]
    Accepted,
    /// The order was sent; the target has not reported the model yet.
    Sent,
    /// The target serves the model.
    Done,
    /// The target refused the order, or left.
    Failed,
}

/// Kind of component to drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainKind {
    /// An entry, which stops accepting callers and finishes its requests.
    Entry,
    /// A target, which is assigned no new requests.
    Target,
}

/// Body of `POST /v1/drain`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainRequest {
    /// Kind of component.
    pub kind: DrainKind,
    /// Name of the entry or target.
    pub name: String,
    /// Id of the request. A retry with the same id has no further effect.
    pub operation_id: String,
    /// Who makes the request.
    pub author: String,
}

/// Reply 200 to `POST /v1/drain`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainReply {
    /// Number of requests still running at the entry or target.
    pub running: u32,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRequest {
    /// Id of the order. A retry with the same id has no further effect.
    pub operation_id: String,
    /// Who makes the request.
    pub author: String,
    /// Name of the target.
    pub target: String,
    /// Model to load.
    pub model: String,
}

/// Reply 200 to `POST /v1/orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderReply {
    /// Fencing number: the log index of the order.
    pub fencing: u64,
    /// State of the order.
    pub state: OrderState,
}
