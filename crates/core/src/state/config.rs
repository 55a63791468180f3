//! Configuration document in force and its previous versions.

use super::command::DocumentReply;
use super::reverse_patch::ReversePatch;
use crate::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of versions that are kept, including the one in force.
pub const VERSIONS_KEPT: usize = 64;

/// Metadata of a configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionRecord {
    /// Number of the version; the first document is version 1.
    pub version: u64,
    /// Author of the edit.
    pub author: String,
    /// State machine time at which the edit was applied.
    pub at: ClockTime,
    /// Operation id of the edit.
    pub operation_id: String,
    /// Number of changes relative to the previous version.
    pub changes: u32,
}

/// Configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigView {
    /// Number of the version; zero before the first document.
    pub version: u64,
    /// Document text in TOML; empty before the first document.
    pub document: Arc<str>,
}

/// Version that is no longer in force, stored as a reverse patch of the next version.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct OlderVersion {
    record: VersionRecord,
    change: ReversePatch,
}

/// Document in force and the kept previous versions, oldest first.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct ConfigHistory {
    document: Arc<str>,
    current: Option<VersionRecord>,
    older: VecDeque<OlderVersion>,
}

impl ConfigHistory {
    pub(super) fn new() -> Self {
        Self { document: Arc::from(""), current: None, older: VecDeque::new() }
    }

    pub(super) fn apply(
        &mut self,
        base_version: u64,
        (at, author, operation_id): (ClockTime, &str, &str),
        document: &Arc<str>,
        changes: u32,
    ) -> DocumentReply {
        let current = self.version();
        if base_version != current {
            return DocumentReply::Conflict { current };
        }
        let version = current + 1;
        let record = VersionRecord {
            version,
            author: author.to_owned(),
            at,
            operation_id: operation_id.to_owned(),
            changes,
        };
        if let Some(replaced) = self.current.replace(record) {
            let change = ReversePatch::between(&self.document, document);
            self.older.push_back(OlderVersion { record: replaced, change });
        }
        if self.older.len() >= VERSIONS_KEPT {
            self.older.pop_front();
        }
        self.document = Arc::clone(document);
        DocumentReply::Accepted { version }
    }

    pub(super) fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |record| record.version)
    }

    pub(super) fn view(&self) -> ConfigView {
        ConfigView { version: self.version(), document: Arc::clone(&self.document) }
    }

    /// Returns the kept versions, newest first.
    pub(super) fn records(&self) -> impl Iterator<Item = &VersionRecord> {
        self.current.iter().chain(self.older.iter().rev().map(|older| &older.record))
    }

    pub(super) fn document(&self, version: u64) -> Option<Arc<str>> {
        if version == self.version() {
            return self.current.as_ref().map(|_| Arc::clone(&self.document));
        }
        let mut text = self.document.to_string();
        for older in self.older.iter().rev() {
            text = older.change.apply(&text)?;
            if older.record.version == version {
                return Some(text.into());
            }
        }
        None
    }
}
