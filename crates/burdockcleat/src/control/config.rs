//! Spread of the configuration to the entries.

use crate::link::LinkKey;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::{ConfigDocument, DocumentDelta};
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::ControlMessage;
use burdockcleat_core::state::ConfigView;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time after which a version that an entry has not reported is sent again, in milliseconds.
const RESEND_AFTER_MS: u64 = 2_000;

/// Bytes of whole documents that are queued at a time. They share the link thread with the
/// heartbeats of the log: a push of 1.5 MB to 360 entries at once cost a leader its leadership.
const MAX_FULL_DOCUMENT_BYTES_PER_CALL: usize = 4 << 20;

/// What is known of one entry.
#[derive(Clone, Debug)]
pub struct EntryLink {
    /// Link to the entry.
    pub link: LinkKey,
    /// Name of the entry.
    pub name: String,
    /// Version in force at the entry, as it reported.
    pub config_version: u64,
    /// Time of the last message.
    pub last_heard: ClockTime,
    /// Newest reading of the entry's clock.
    pub entry_time: ClockTime,
    last_sent: Option<(u64, ClockTime)>,
}

/// The step from the version before to the one in force.
struct LatestDelta {
    base_version: u64,
    version: u64,
    delta: Arc<str>,
}

/// Sends the configuration to entries that hold an older one.
#[derive(Default)]
pub struct ConfigController {
    entries: BTreeMap<NodeId, EntryLink>,
    latest_delta: Option<LatestDelta>,
}

impl ConfigController {
    /// Notes the link to an entry. Its version is not known yet.
    pub fn add_link(&mut self, now: ClockTime, node: NodeId, link: LinkKey) {
        let entry = EntryLink {
            link,
            name: String::new(),
            config_version: 0,
            last_heard: now,
            entry_time: ClockTime::default(),
            last_sent: None,
        };
        self.entries.insert(node, entry);
    }

    /// Notes that a link is gone. Returns the entry that it led to.
    pub fn remove_link(&mut self, link: LinkKey) -> Option<NodeId> {
        let node = self.node(link)?;
        self.entries.remove(&node);
        Some(node)
    }

    /// The entry at the other end of a link.
    pub fn node(&self, link: LinkKey) -> Option<NodeId> {
        self.entries.iter().find(|(_, entry)| entry.link == link).map(|(node, _)| *node)
    }

    /// An entry.
    pub fn entry_mut(&mut self, node: NodeId) -> Option<&mut EntryLink> {
        self.entries.get_mut(&node)
    }

    /// All linked entries.
    pub fn entries(&self) -> impl Iterator<Item = (&NodeId, &EntryLink)> {
        self.entries.iter()
    }

    /// Notes what the newest version changes in the one before.
    pub fn record_delta(&mut self, version: u64, old: &ConfigDocument, new: &ConfigDocument) {
        let delta = serde_json::to_string(&DocumentDelta::between(old, new));
        // Version 0 is the empty document, which no entry holds.
        self.latest_delta = delta.ok().filter(|_| version > 1).map(|delta| LatestDelta {
            base_version: version - 1,
            version,
            delta: delta.into(),
        });
    }

    /// The configuration for each entry that needs it now: the step from the version before where
    /// that is what the entry has, and the whole document otherwise.
    pub fn due_messages(
        &mut self,
        now: ClockTime,
        config: &ConfigView,
    ) -> Vec<(NodeId, ControlMessage)> {
        let mut messages = Vec::new();
        let mut full_document_bytes = 0;
        let latest_delta =
            self.latest_delta.as_ref().filter(|latest| latest.version == config.version);
        for (node, entry) in &mut self.entries {
            if entry.name.is_empty() || entry.config_version >= config.version {
                continue;
            }
            let last_sent = entry.last_sent.filter(|(version, _)| *version == config.version);
            if last_sent.is_some_and(|(_, at)| now.since(at) < RESEND_AFTER_MS) {
                continue;
            }
            let known_version =
                entry.config_version.max(entry.last_sent.map_or(0, |(version, _)| version));
            let message = match latest_delta
                .filter(|latest| last_sent.is_none() && known_version == latest.base_version)
            {
                Some(latest) => ControlMessage::ConfigDelta {
                    base_version: latest.base_version,
                    version: latest.version,
                    delta: latest.delta.clone(),
                },
                None if full_document_bytes >= MAX_FULL_DOCUMENT_BYTES_PER_CALL => continue,
                None => {
                    full_document_bytes += config.document.len();
                    let (version, document) = (config.version, config.document.clone());
                    ControlMessage::Config { version, document }
                }
            };
            entry.last_sent = Some((config.version, now));
            messages.push((*node, message));
        }
        messages
    }
}
