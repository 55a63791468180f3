//! The operators' HTTP interface of a control instance: bodies of requests and replies.
//!
//! `docs/operator-api.md` describes the interface. Field names are `snake_case` in JSON.

mod client;
mod error;

pub use client::{ClientSettings, OperatorClient, fetch};
pub use error::ClientError;

use burdockcleat_core::document::DocumentFault;
use serde::{Deserialize, Serialize};
use std::time::{Duration, UNIX_EPOCH};

/// Paths of the interface.
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

/// Whether a text can be an operation id: 1 to 128 printable ASCII characters without spaces.
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
    /// Id of the edit. A resend with the same id gets the first result.
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

/// A fault as text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultText {
    /// Path of the field, empty for faults of the whole text.
    pub path: String,
    /// What is wrong and the allowed range.
    pub message: String,
}

impl From<&DocumentFault> for FaultText {
    fn from(fault: &DocumentFault) -> Self {
        Self { path: fault.path.clone(), message: fault.kind.to_string() }
    }
}

/// Reply 421: this instance does not lead.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaderReply {
    /// Base URL of the leader, if known.
    pub leader: Option<String>,
}

/// Reply with any other status that is not 200.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorReply {
    /// Code of the error.
    pub error: ErrorCode,
    /// Explanation for the operator.
    #[serde(default)]
    pub message: String,
}

/// Codes of errors.
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
    /// 503: the decision was not confirmed by a majority in time; it may still take effect.
    Unconfirmed,
    /// A code that this version does not know.
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

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct HistoryEntry {
    /// Version.
    pub version: u64,
    /// Who made the edit.
    pub author: String,
    /// Id of the edit.
    pub operation_id: String,
    /// Wall clock of the leader at the edit, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Number of changes against the version before.
    pub changes: u32,
}

impl HistoryEntry {
    /// Time of the edit in RFC 3339, UTC, or `-` if the formatter does not accept it.
    pub fn time_text(&self) -> String {
        /// Last second of the year 9999, the latest time that the formatter accepts.
        const LATEST_SECONDS: u64 = 253_402_300_799;
        if self.time_ms / 1_000 > LATEST_SECONDS {
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
    /// Name of the instance that answers.
    pub instance: String,
    /// Whether it leads and confirmed it with a majority.
    pub leading: bool,
    /// Base URL of the leader that it knows of.
    pub leader: Option<String>,
    /// Its term.
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
    /// Orders that are open or ended recently.
    pub orders: Vec<OrderStatus>,
}

/// A control instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// Identity in hexadecimal digits.
    pub node: String,
    /// Address, `ip:port`.
    pub address: String,
    /// `leader`, `follower` or `learner`.
    pub role: String,
    /// Log index that is known to be stored there.
    pub stored_index: u64,
}

/// An entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct EntryStatus {
    /// Name.
    pub name: String,
    /// Version of the configuration that it reported.
    pub config_version: u64,
    /// Whether it is draining.
    pub draining: bool,
    /// Requests running.
    pub running: u32,
    /// Time since its last message, in milliseconds.
    pub silent_ms: u64,
}

/// A pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PoolStatus {
    /// Name.
    pub name: String,
    /// Targets that may get work.
    pub targets: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests running.
    pub running: u32,
}

/// A target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TargetStatus {
    /// Name.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Incarnation.
    pub incarnation: u64,
    /// `ready`, `silent`, `straggler` or `draining`.
    pub state: String,
    /// Models that it serves.
    pub models: Vec<String>,
    /// Requests running.
    pub running: u32,
    /// Requests that it accepts at the same time.
    pub slots: u32,
}

/// An order to a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct OrderStatus {
    /// Id that the operator gave the order.
    pub operation_id: String,
    /// Target.
    pub target: String,
    /// Model to load.
    pub model: String,
    /// State.
    pub state: OrderState,
    /// Explanation, for failed orders.
    pub message: String,
}

/// State of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Committed, not yet sent.
    #[default]
    Accepted,
    /// Sent; the target has not reported the model yet.
    Sent,
    /// The target serves the model.
    Done,
    /// The target refused, or left.
    Failed,
}

/// What to drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainKind {
    /// An entry: it stops accepting callers and finishes its requests.
    Entry,
    /// A target: it gets no new work.
    Target,
}

/// Body of `POST /v1/drain`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainRequest {
    /// Kind.
    pub kind: DrainKind,
    /// Name of the entry or target.
    pub name: String,
    /// Id of the request. A resend with the same id has no further effect.
    pub operation_id: String,
    /// Who asks.
    pub author: String,
}

/// Reply 200 to `POST /v1/drain`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainReply {
    /// Requests still running there.
    pub running: u32,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRequest {
    /// Id of the order. A resend with the same id has no further effect.
    pub operation_id: String,
    /// Who asks.
    pub author: String,
    /// Target.
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
    /// State.
    pub state: OrderState,
}
