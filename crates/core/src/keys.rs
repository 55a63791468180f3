//! Identifiers of requests, claims, processes, links and targets.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_128;

/// Identifier of a request within the deployment, the same for all resends of the request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Derives the key from the workspace name and the caller's request id.
    ///
    /// The workspace is part of the hash, so equal request ids of two workspaces give different
    /// keys.
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

/// Identifier of a control instance or of an entry process.
///
/// A control instance keeps its id as long as its data folder exists and draws a new one if the
/// folder is lost. An entry has a new id in each process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Identifier of a link from this process to a peer. Keys are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkKey(pub u64);

/// Number of a claim: the log index of the command that created it.
///
/// Later claims have larger numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimNumber(pub u64);

/// Hash of the content of a request, the same if the request is resent under a new request id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestFingerprint(pub u64);

/// Target process: the name is stable, and the incarnation increases with each restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TargetIdentity {
    /// Name that the target announces. It is unique in the deployment.
    pub name: String,
    /// Number that the target increases at each start.
    pub incarnation: u64,
}
