//! Entries and targets drained by operators.

use crate::keys::{NodeId, TargetIdentity};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of drains that are kept.
///
/// A drain is needed only while the drained process runs, and a deployment has far fewer entries
/// and targets than this.
pub const DRAINS_KEPT: usize = 4_096;

/// Drained process. A later process with the same name is not drained.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum DrainSubject {
    /// An entry process.
    Entry {
        /// Name of the entry.
        name: String,
        /// Id of the process.
        node: NodeId,
    },
    /// An incarnation of a target.
    Target(TargetIdentity),
}

impl DrainSubject {
    /// Returns the name of the entry or target.
    pub fn name(&self) -> &str {
        match self {
            Self::Entry { name, .. } => name,
            Self::Target(identity) => &identity.name,
        }
    }
}

/// Drained processes, oldest drain first.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct DrainTable(VecDeque<DrainSubject>);

impl DrainTable {
    /// Inserts a drain and replaces an earlier one with the same kind and name.
    pub(super) fn insert(&mut self, subject: &DrainSubject) {
        let is_entry = |known: &DrainSubject| matches!(known, DrainSubject::Entry { .. });
        self.0
            .retain(|known| known.name() != subject.name() || is_entry(known) != is_entry(subject));
        self.0.push_back(subject.clone());
        if self.0.len() > DRAINS_KEPT {
            self.0.pop_front();
        }
    }

    pub(super) fn subjects(&self) -> impl Iterator<Item = &DrainSubject> {
        self.0.iter()
    }
}
