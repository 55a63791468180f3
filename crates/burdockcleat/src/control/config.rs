//! Spread of the configuration to the entries.

use crate::link::LinkKey;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::ControlMessage;
use burdockcleat_core::state::ConfigView;
use std::collections::BTreeMap;

/// Time after which a version that an entry has not reported is sent again, in milliseconds.
const RESEND_MS: u64 = 2_000;

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
    pub heard: ClockTime,
    /// Newest reading of the entry's clock.
    pub entry_time: ClockTime,
    sent: Option<(u64, ClockTime)>,
}

/// Sends the configuration to entries that hold an older one.
#[derive(Default)]
pub struct ConfigController {
    entries: BTreeMap<NodeId, EntryLink>,
}

impl ConfigController {
    /// Notes the link to an entry. Its version is not known yet.
    pub fn link(&mut self, now: ClockTime, node: NodeId, link: LinkKey) {
        let entry = EntryLink {
            link,
            name: String::new(),
            config_version: 0,
            heard: now,
            entry_time: ClockTime::default(),
            sent: None,
        };
        self.entries.insert(node, entry);
    }

    /// Notes that a link is gone. Returns the entry that it led to.
    pub fn unlink(&mut self, link: LinkKey) -> Option<NodeId> {
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

    /// The configuration for each entry that needs it now.
    pub fn due(&mut self, now: ClockTime, config: &ConfigView) -> Vec<(NodeId, ControlMessage)> {
        let mut due = Vec::new();
        for (node, entry) in &mut self.entries {
            let sent = entry.sent.is_some_and(|(version, at)| {
                version == config.version && now.since(at) < RESEND_MS
            });
            if entry.name.is_empty() || entry.config_version >= config.version || sent {
                continue;
            }
            entry.sent = Some((config.version, now));
            let (version, document) = (config.version, config.document.clone());
            due.push((*node, ControlMessage::Config { version, document }));
        }
        due
    }
}
