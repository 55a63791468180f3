//! Entries and targets that operators drain.

use crate::keys::{NodeId, TargetIdentity};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of drains that are kept. A drain matters only while its run lasts, and a deployment has
/// far fewer entries and targets than this.
pub const DRAINS_KEPT: usize = 4_096;

/// One run of a process that is drained. A later run under the same name is not.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum DrainSubject {
    /// An entry.
    Entry {
        /// Name of the entry.
        name: String,
        /// Its run.
        node: NodeId,
    },
    /// An incarnation of a target.
    Target(TargetIdentity),
}

impl DrainSubject {
    /// Name of the entry or target.
    pub fn name(&self) -> &str {
        match self {
            Self::Entry { name, .. } => name,
            Self::Target(identity) => &identity.name,
        }
    }
}

#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct DrainTable(VecDeque<DrainSubject>);

impl DrainTable {
    /// Keeps the newest run of each name.
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
