//! Small `Copy` keys that name requests, processes, targets and configuration items.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_128;

/// Names one request of one workspace for its whole life, over all resends.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Derives the key from the workspace name and the caller's request id.
    ///
    /// The workspace is part of the hash, so a request id of one workspace cannot name
    /// a request of another.
    ///
    /// ```
    /// use burdockcleat_core::keys::RequestKey;
    /// assert_ne!(RequestKey::derive("a", "1"), RequestKey::derive("b", "1"));
    /// ```
    pub fn derive(workspace: &str, request_id: &str) -> Self {
        let mut bytes = Vec::with_capacity(workspace.len() + request_id.len() + 8);
        bytes.extend_from_slice(&(workspace.len() as u64).to_le_bytes());
        bytes.extend_from_slice(workspace.as_bytes());
        bytes.extend_from_slice(request_id.as_bytes());
        Self(xxh3_128(&bytes))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestKey({self})")
    }
}

/// Identity of one run of a control instance's data folder or of one run of an entry process.
///
/// A control instance that lost its data folder draws a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Names one link of a process to a peer. Keys are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkKey(pub u64);

/// Number of a claim: the log index of the record that created it. Later claims have larger numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimNumber(pub u64);

/// Content fingerprint of a request, equal for resends under new request ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestFingerprint(pub u64);

/// One run of a target: its name stays, its incarnation grows with each restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TargetIdentity {
    /// Name that the target announces, unique in the deployment.
    pub name: String,
    /// Number that the target raises at each start.
    pub incarnation: u64,
}
