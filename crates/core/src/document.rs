//! Configuration document: tiers, workspaces, pools, routing rules and limits.
//!
//! [`ConfigDocument::parse`] reads TOML text and returns all faults at once. A
//! [`ConfigDocument`] is valid, immutable and normalised: tiers are sorted by rank, workspaces
//! and pools by name, and the rules keep their order in the text. Documents that differ only in
//! the order of tiers, workspaces or pools are equal.

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

/// Validated configuration document with its lookup tables.
#[derive(Clone, Debug, Default)]
pub struct ConfigDocument {
    tables: DocumentTables,
    /// Position of the workspace for each credential digest.
    credentials: HashMap<CredentialDigest, usize>,
}

impl ConfigDocument {
    /// Parses and validates TOML text.
    ///
    /// ```
    /// use burdockcleat_core::document::ConfigDocument;
    /// let faults = ConfigDocument::parse("[limits]\nclaim-limit = 1\nbody = 2").unwrap_err();
    /// let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
    /// assert_eq!(paths, ["limits.body", "tiers", "pools", "limits.claim-limit"]);
    /// ```
    ///
    /// # Errors
    /// Returns all faults of the document.
    pub fn parse(text: &str) -> Result<Self, Vec<DocumentFault>> {
        let (tables, faults) = read::read_text(text);
        Self::validate(tables, faults)
    }

    /// Validates a TOML table, for callers that build one from another source.
    ///
    /// # Errors
    /// Returns all faults of the document.
    pub fn from_table(table: toml::Table) -> Result<Self, Vec<DocumentFault>> {
        let (tables, faults) = read::read_table(table);
        Self::validate(tables, faults)
    }

    /// Validates document tables.
    ///
    /// # Errors
    /// Returns all faults of the tables.
    pub fn build(tables: DocumentTables) -> Result<Self, Vec<DocumentFault>> {
        Self::validate(tables, Vec::new())
    }

    fn validate(
        tables: DocumentTables,
        mut faults: Vec<DocumentFault>,
    ) -> Result<Self, Vec<DocumentFault>> {
        // After a syntax error the tables are empty, so checking them would add misleading faults.
        if !matches!(faults.first(), Some(fault) if fault.path.is_empty()) {
            let mut found = check::check_tables(&tables);
            // A field that could not be read holds its default; faults of the default are dropped.
            let unread: HashSet<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
            found.retain(|fault| !is_within(&fault.path, &unread));
            faults.extend(found);
        }
        if faults.is_empty() { Ok(Self::from_valid_tables(tables)) } else { Err(faults) }
    }

    /// Sorts validated tables into the normalised order and builds the lookup tables.
    fn from_valid_tables(mut tables: DocumentTables) -> Self {
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

    /// Returns the tables.
    pub fn tables(&self) -> &DocumentTables {
        &self.tables
    }

    /// Returns the tiers sorted by rank. The position of a tier is its rank.
    pub fn tiers(&self) -> &[TierConfig] {
        &self.tables.tiers
    }

    /// Returns the workspaces sorted by name.
    pub fn workspaces(&self) -> &[WorkspaceConfig] {
        &self.tables.workspaces
    }

    /// Returns the pools sorted by name.
    pub fn pools(&self) -> &[PoolConfig] {
        &self.tables.pools
    }

    /// Returns the routing rules in the order in which they are tried.
    pub fn rules(&self) -> &[RouteRule] {
        &self.tables.rules
    }

    /// Returns the limits of the deployment.
    pub fn limits(&self) -> &LimitSettings {
        &self.tables.limits
    }

    /// Returns the tier with this name.
    pub fn tier(&self, name: &str) -> Option<&TierConfig> {
        self.tiers().iter().find(|tier| tier.name == name)
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &str) -> Option<&WorkspaceConfig> {
        let position = self.workspaces().binary_search_by(|item| item.name.as_str().cmp(name));
        position.ok().map(|position| &self.workspaces()[position])
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&PoolConfig> {
        let position = self.pools().binary_search_by(|item| item.name.as_str().cmp(name));
        position.ok().map(|position| &self.pools()[position])
    }

    /// Returns the workspace that a credential belongs to.
    ///
    /// The time of the lookup depends neither on the number of workspaces nor on how many bytes
    /// of a digest match.
    pub fn workspace_by_credential(&self, credential: &str) -> Option<&WorkspaceConfig> {
        let digest = CredentialDigest::compute(&self.tables.credential_salt, credential);
        self.credentials.get(&digest).map(|position| &self.workspaces()[*position])
    }

    /// Formats the normalised document as TOML, without fields that have their default value.
    pub fn to_toml(&self) -> String {
        item::document_toml(&self.tables)
    }
}

/// Returns whether the path or one of its parents is in the set.
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
