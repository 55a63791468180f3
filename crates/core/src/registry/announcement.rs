//! The announcement that a target sends periodically as its heartbeat.

use crate::keys::TargetIdentity;
use serde::{Deserialize, Serialize};

/// Whether a target runs models or is a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// An inference engine that runs models and reports tokens.
    #[default]
    Model,
    /// A plain HTTP service without tokens.
    Service,
}

/// Load reported by the target. It is only a secondary signal because it arrives late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the target runs.
    pub running: u32,
    /// Number of requests that the target has admitted but not started.
    pub waiting: u32,
    /// Sequence number of the report. A report older than the newest one is ignored.
    pub sequence: u64,
}

/// One change of a target's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, one greater than that of the previous event.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// Kind of change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks with these cumulative hashes were stored.
    Stored(Vec<u64>),
    /// Blocks with these cumulative hashes were removed.
    Removed(Vec<u64>),
    /// The whole cache was emptied.
    Cleared,
}

/// Body of `POST /v1/targets/announce`.
///
/// ```
/// use burdockcleat_core::registry::TargetAnnouncement;
/// let body = r#"{"name": "engine-1", "incarnation": 1, "address": "127.0.0.1:9000",
///     "pool": "notes", "models": ["small"], "slots": 4}"#;
/// let announcement: TargetAnnouncement = serde_json::from_str(body).unwrap();
/// assert!(announcement.serves("small") && !announcement.serves(""));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// Name of the target, unique in the deployment.
    pub name: String,
    /// Number that the target increases at each start.
    pub incarnation: u64,
    /// Address for dispatches, `ip:port`.
    pub address: String,
    /// Pool that the target belongs to.
    pub pool: String,
    /// Whether the target runs models.
    #[serde(default)]
    pub kind: TargetKind,
    /// Hardware generation. Rates are only compared between targets of the same generation.
    #[serde(default)]
    pub generation: String,
    /// Failure domain of the target.
    #[serde(default)]
    pub failure_domain: String,
    /// Models that are loaded and ready.
    #[serde(default)]
    pub models: Vec<String>,
    /// Number of requests that the target can run concurrently.
    pub slots: u32,
    /// Whether the target rejects orders with an older fencing number.
    #[serde(default)]
    pub enforces_fencing: bool,
    /// Issuer that may send orders to the target. Empty if none may.
    #[serde(default)]
    pub order_issuer: String,
    /// Load at the time of the announcement.
    #[serde(default)]
    pub load: LoadReport,
    /// Changes of the prefix cache since the previous announcement.
    #[serde(default)]
    pub cache_events: Vec<CacheEvent>,
}

impl TargetAnnouncement {
    /// Returns the name and incarnation of the target.
    pub fn identity(&self) -> TargetIdentity {
        TargetIdentity { name: self.name.clone(), incarnation: self.incarnation }
    }

    /// Whether the target can run a request for this model. Plain services take the empty name.
    pub fn serves(&self, model: &str) -> bool {
        match self.kind {
            TargetKind::Service => model.is_empty(),
            TargetKind::Model => self.models.iter().any(|loaded| loaded == model),
        }
    }
}
