//! Distributes the configuration to the entries.

use crate::link::LinkKey;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::{ConfigDocument, DocumentDelta};
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::ControlMessage;
use burdockcleat_core::state::ConfigView;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time in milliseconds after which a version is sent again if the entry has not reported it.
const RESEND_AFTER_MS: u64 = 2_000;

/// Bytes of full documents after which [`ConfigController::due_messages`] adds no further ones in
/// the same call.
///
/// Documents share the link thread with the heartbeats of the replicated log. Sending 1.5 MB to 360
/// entries at once made a leader lose its leadership.
const MAX_FULL_DOCUMENT_BYTES_PER_CALL: usize = 4 << 20;

/// State of the link to one entry.
#[derive(Clone, Debug)]
pub struct EntryLink {
    /// Key of the link to the entry.
    pub link: LinkKey,
    /// Name of the entry, empty until its hello arrives.
    pub name: String,
    /// Configuration version that the entry last reported.
    pub config_version: u64,
    /// Time at which the last message arrived.
    pub last_heard: ClockTime,
    /// Latest time of the entry's own clock, as it reported.
    pub entry_time: ClockTime,
    /// Version that was last sent to the entry, and when.
    last_sent: Option<(u64, ClockTime)>,
}

/// The difference between the previous version and the current one.
struct LatestDelta {
    base_version: u64,
    version: u64,
    delta: Arc<str>,
}

/// Tracks linked entries and selects the configuration messages to send to them.
#[derive(Default)]
pub struct ConfigController {
    entries: BTreeMap<NodeId, EntryLink>,
    latest_delta: Option<LatestDelta>,
}

impl ConfigController {
    /// Adds the link to an entry whose configuration version is not known yet.
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

    /// Removes a closed link and returns the entry at its other end.
    pub fn remove_link(&mut self, link: LinkKey) -> Option<NodeId> {
        let node = self.node(link)?;
        self.entries.remove(&node);
        Some(node)
    }

    /// Returns the entry at the other end of a link.
    pub fn node(&self, link: LinkKey) -> Option<NodeId> {
        self.entries.iter().find(|(_, entry)| entry.link == link).map(|(node, _)| *node)
    }

    /// Returns a linked entry for updating.
    pub fn entry_mut(&mut self, node: NodeId) -> Option<&mut EntryLink> {
        self.entries.get_mut(&node)
    }

    /// Iterates over all linked entries.
    pub fn entries(&self) -> impl Iterator<Item = (&NodeId, &EntryLink)> {
        self.entries.iter()
    }

    /// Stores the difference between the previous version and the new one.
    pub fn record_delta(&mut self, version: u64, old: &ConfigDocument, new: &ConfigDocument) {
        let delta = serde_json::to_string(&DocumentDelta::between(old, new));
        // Version 0 is the empty document. Entries never receive it, so no delta can build on it.
        self.latest_delta = delta.ok().filter(|_| version > 1).map(|delta| LatestDelta {
            base_version: version - 1,
            version,
            delta: delta.into(),
        });
    }

    /// Returns a configuration message for each entry that needs one now.
    ///
    /// An entry that has the previous version gets the delta, any other one the full document.
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
