//! The configuration document: tiers, workspaces, pools, rules and limits.
//!
//! [`ConfigDocument::parse`] reads TOML text and reports every fault at once. A
//! [`ConfigDocument`] is always valid, immutable and in normal order: tiers by rank,
//! workspaces and pools by name, rules as written. The order of the other tables has no
//! meaning, so two documents that differ in it only are equal.

mod change;
mod check;
mod credential;
mod delta;
mod fault;
mod item;
pub mod ranges;
mod read;
mod route;
mod scheduling;
mod tables;

pub use change::DocumentChange;
pub use credential::{CredentialDigest, DigestError};
pub use delta::{DeltaError, DocumentDelta};
pub use fault::{DocumentFault, FaultKind};
pub use item::ItemHashes;
pub use route::{RouteError, RouteMatch, RouteQuery};
pub use scheduling::{RoutingChoice, SchedulingConfig};
pub use tables::{
    DocumentTables, LimitSettings, PoolConfig, PoolKind, RouteRule, TierConfig, WorkspaceConfig,
};

use serde::{Serialize, Serializer};
use std::collections::{HashMap, HashSet};
use std::str::FromStr;

/// A validated configuration document with its lookup tables.
#[derive(Clone, Debug, Default)]
pub struct ConfigDocument {
    tables: DocumentTables,
    /// Position of the workspace by the digest of each of its credentials.
    credentials: HashMap<CredentialDigest, usize>,
}

impl ConfigDocument {
    /// Reads and validates a TOML text.
    ///
    /// ```
    /// use burdockcleat_core::document::ConfigDocument;
    /// let faults = ConfigDocument::parse("[limits]\nclaim-limit = 1\nbody = 2").unwrap_err();
    /// let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
    /// assert_eq!(paths, ["limits.body", "tiers", "pools", "limits.claim-limit"]);
    /// ```
    ///
    /// # Errors
    /// Returns every fault of the document.
    pub fn parse(text: &str) -> Result<Self, Vec<DocumentFault>> {
        let (tables, faults) = read::read_text(text);
        Self::build_after(tables, faults)
    }

    /// Reads and validates a TOML table, for callers that assemble one from another source.
    ///
    /// # Errors
    /// Returns every fault of the document.
    pub fn from_table(table: toml::Table) -> Result<Self, Vec<DocumentFault>> {
        let (tables, faults) = read::read_table(table);
        Self::build_after(tables, faults)
    }

    /// Validates tables.
    ///
    /// # Errors
    /// Returns every fault of the tables.
    pub fn build(tables: DocumentTables) -> Result<Self, Vec<DocumentFault>> {
        Self::build_after(tables, Vec::new())
    }

    fn build_after(
        tables: DocumentTables,
        mut faults: Vec<DocumentFault>,
    ) -> Result<Self, Vec<DocumentFault>> {
        // The rest of a text that is not TOML is unknown, so nothing else is reported.
        if !matches!(faults.first(), Some(fault) if fault.path.is_empty()) {
            let mut found = check::check_tables(&tables);
            // A field that could not be read holds its default, which must not count as a fault.
            let unread: HashSet<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
            found.retain(|fault| !is_within(&fault.path, &unread));
            faults.extend(found);
        }
        if faults.is_empty() { Ok(Self::index(tables)) } else { Err(faults) }
    }

    /// Brings valid tables into normal order and indexes them.
    fn index(mut tables: DocumentTables) -> Self {
        tables.tiers.sort_by_key(|tier| tier.rank);
        tables.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        tables.pools.sort_by(|a, b| a.name.cmp(&b.name));
        let positions = tables.workspaces.iter().enumerate();
        let credentials = positions
            .flat_map(|(position, workspace)| {
                workspace.credentials.iter().map(move |digest| (*digest, position))
            })
            .collect();
        Self { tables, credentials }
    }

    /// The tables.
    pub fn tables(&self) -> &DocumentTables {
        &self.tables
    }

    /// Tiers by rank: the position is the rank.
    pub fn tiers(&self) -> &[TierConfig] {
        &self.tables.tiers
    }

    /// Workspaces by name.
    pub fn workspaces(&self) -> &[WorkspaceConfig] {
        &self.tables.workspaces
    }

    /// Pools by name.
    pub fn pools(&self) -> &[PoolConfig] {
        &self.tables.pools
    }

    /// Rules in the order in which they are tried.
    pub fn rules(&self) -> &[RouteRule] {
        &self.tables.rules
    }

    /// Limits of the deployment.
    pub fn limits(&self) -> &LimitSettings {
        &self.tables.limits
    }

    /// The tier of this name.
    pub fn tier(&self, name: &str) -> Option<&TierConfig> {
        self.tiers().iter().find(|tier| tier.name == name)
    }

    /// The workspace of this name.
    pub fn workspace(&self, name: &str) -> Option<&WorkspaceConfig> {
        let position = self.workspaces().binary_search_by(|item| item.name.as_str().cmp(name));
        position.ok().map(|position| &self.workspaces()[position])
    }

    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<&PoolConfig> {
        let position = self.pools().binary_search_by(|item| item.name.as_str().cmp(name));
        position.ok().map(|position| &self.pools()[position])
    }

    /// The workspace that a presented credential belongs to.
    ///
    /// The time depends neither on the number of workspaces nor on how much of a digest matches.
    pub fn workspace_by_credential(&self, credential: &str) -> Option<&WorkspaceConfig> {
        let digest = CredentialDigest::compute(&self.tables.credential_salt, credential);
        self.credentials.get(&digest).map(|position| &self.workspaces()[*position])
    }

    /// The document as TOML in normal order, without fields that have their default.
    pub fn to_toml(&self) -> String {
        item::document_text(&self.tables)
    }
}

/// Whether the path or one that contains it is in the set.
fn is_within(path: &str, paths: &HashSet<&str>) -> bool {
    let ends = path.match_indices(['.', '[']).map(|(end, _)| end);
    ends.chain([path.len()]).any(|end| paths.contains(&path[..end]))
}

impl PartialEq for ConfigDocument {
    fn eq(&self, other: &Self) -> bool {
        self.tables == other.tables
    }
}

impl Eq for ConfigDocument {}

impl FromStr for ConfigDocument {
    type Err = Vec<DocumentFault>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::parse(text)
    }
}

impl Serialize for ConfigDocument {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.tables.serialize(serializer)
    }
}
