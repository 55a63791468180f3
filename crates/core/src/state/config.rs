//! Configuration document in force and its last versions.

use super::command::DocumentReply;
use crate::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of versions that are kept, the one in force included.
pub const VERSIONS_KEPT: usize = 64;

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Number of the version; the first document is version 1.
    pub version: u64,
    /// Who made the edit.
    pub author: String,
    /// Time of the command.
    pub at: ClockTime,
    /// Id of the edit.
    pub operation_id: String,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigView {
    /// Number of the version; zero before the first document.
    pub version: u64,
    /// Document text in TOML; empty before the first document.
    pub document: Arc<str>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct KeptVersion {
    record: VersionRecord,
    document: Arc<str>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct ConfigHistory {
    version: u64,
    kept: VecDeque<KeptVersion>,
}

impl ConfigHistory {
    pub(super) fn apply(
        &mut self,
        base_version: u64,
        at: ClockTime,
        author: &str,
        operation_id: &str,
        document: &Arc<str>,
    ) -> DocumentReply {
        if base_version != self.version {
            return DocumentReply::Conflict { current: self.version };
        }
        self.version += 1;
        let record = VersionRecord {
            version: self.version,
            author: author.to_owned(),
            at,
            operation_id: operation_id.to_owned(),
        };
        self.kept.push_back(KeptVersion { record, document: Arc::clone(document) });
        if self.kept.len() > VERSIONS_KEPT {
            self.kept.pop_front();
        }
        DocumentReply::Accepted { version: self.version }
    }

    pub(super) fn view(&self) -> ConfigView {
        let document = self.kept.back().map_or_else(|| Arc::from(""), |kept| kept.document.clone());
        ConfigView { version: self.version, document }
    }

    pub(super) fn records(&self) -> impl DoubleEndedIterator<Item = &VersionRecord> {
        self.kept.iter().map(|kept| &kept.record)
    }

    pub(super) fn document(&self, version: u64) -> Option<Arc<str>> {
        let kept = self.kept.iter().find(|kept| kept.record.version == version)?;
        Some(Arc::clone(&kept.document))
    }
}
