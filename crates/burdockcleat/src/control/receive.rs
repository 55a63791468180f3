//! Messages of entries and of other control instances.

use super::node::{ControlNode, NodeError, replica_config, step_time};
use super::peer::PeerMessage;
use crate::link::{LinkEvent, LinkKey, PeerRole};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::{ControlMessage, EntryMessage, decode_frame, encode_frame};
use burdockcleat_core::replica::{LogReplica, ReplicaInput, StoredState};

impl ControlNode {
    pub(super) fn handle_link(&mut self, event: LinkEvent) -> Result<(), NodeError> {
        let now = ClockTime::monotonic();
        match event {
            LinkEvent::Up { link, role: PeerRole::Control, .. } => {
                let introduction = PeerMessage::Introduce(self.members.introduction().clone());
                self.link.send(link, encode_frame(&introduction));
            }
            LinkEvent::Up { link, role: PeerRole::Entry, node, .. } => {
                self.config.link(now, node, link);
            }
            LinkEvent::Down { link } => self.unlink(now, link),
            LinkEvent::Frame { link, frame } => match self.config.node(link) {
                Some(node) => self.receive_entry(link, node, &frame),
                None => self.receive_peer(link, &frame)?,
            },
        }
        Ok(())
    }

    pub(super) fn unlink(&mut self, now: ClockTime, link: LinkKey) {
        if let Some(node) = self.members.unlink(now, link) {
            // The peer's messages in flight are lost; the input cannot be refused.
            let _ = self.replica.step(now, ReplicaInput::PeerDown(node));
        }
        if let Some(entry) = self.config.unlink(link) {
            let time = step_time();
            if let Some(admission) = &mut self.admission {
                admission.entry_disconnected(time, entry);
            }
        }
    }

    pub(super) fn receive_peer(&mut self, link: LinkKey, frame: &[u8]) -> Result<(), NodeError> {
        match decode_frame::<PeerMessage>(frame) {
            Ok(PeerMessage::Introduce(peer)) => {
                self.members.introduce(link, peer);
                self.form_group()?;
            }
            Ok(PeerMessage::Replica(message)) => {
                let Some(from) = self.members.peer(link) else { return Ok(()) };
                let input = ReplicaInput::Receive { from, message };
                // Messages of peers are never refused.
                let _ = self.replica.step(ClockTime::monotonic(), input);
            }
            Ok(PeerMessage::Announce(announcement)) => {
                if let Err(error) = self.enter_announcement(*announcement) {
                    log::debug!(event = "announcement_refused"; "{error}");
                }
            }
            Ok(PeerMessage::Leave(identity)) => self.enter_leave(&identity),
            Err(error) => {
                log::warn!(event = "frame_invalid", link = link.0; "{error}");
                self.link.close(link);
            }
        }
        Ok(())
    }

    /// Starts a new group if all instances of it have empty folders.
    pub(super) fn form_group(&mut self) -> Result<(), NodeError> {
        let Some(members) = self.members.new_group() else { return Ok(()) };
        if self.replica.log_length() > 0 || self.replica.term() > 0 {
            return Ok(());
        }
        log::info!(event = "group_formed", voters = members.voters.len(); "forming a new group");
        let stored = StoredState::initial(members);
        self.storage.initialize(&stored)?;
        let config = replica_config(&self.settings, self.storage.node());
        self.replica = LogReplica::open(config, stored, ClockTime::monotonic());
        self.members.note_log();
        Ok(())
    }

    pub(super) fn receive_entry(&mut self, link: LinkKey, node: NodeId, frame: &[u8]) {
        let message = match decode_frame::<EntryMessage>(frame) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(event = "frame_invalid", link = link.0; "{error}");
                self.link.close(link);
                return;
            }
        };
        self.note_entry(node, &message);
        if let Some(admission) = &mut self.admission {
            admission.receive(step_time(), node, message, &self.state);
        }
    }

    /// Keeps what the configuration controller needs, and answers signs of life.
    pub(super) fn note_entry(&mut self, node: NodeId, message: &EntryMessage) {
        let Some(entry) = self.config.entry_mut(node) else { return };
        entry.heard = ClockTime::monotonic();
        match message {
            EntryMessage::Hello { name, entry_time, config_version, .. } => {
                entry.name.clone_from(name);
                entry.entry_time = *entry_time;
                entry.config_version = *config_version;
                self.welcome(node, *entry_time);
                self.repeat_drain(node);
            }
            EntryMessage::Heartbeat { entry_time, config_version } => {
                entry.entry_time = *entry_time;
                entry.config_version = *config_version;
                self.welcome(node, *entry_time);
            }
            _ => {}
        }
    }

    /// Tells an entry whether this instance leads. A leader's answer waits for a commit, so that
    /// a leader that was cut off cannot pass for current.
    pub(super) fn welcome(&mut self, node: NodeId, entry_time: ClockTime) {
        let leading = self.admission.is_some();
        let message = ControlMessage::Welcome {
            leading,
            term: self.replica.term(),
            leader: self.replica.leader(),
            config_version: self.state.config().version,
            entry_time,
        };
        // The entry forgets a report when a later question is answered, so what was received
        // before the question is proposed before the record that confirms the answer.
        self.drain_admission();
        match leading {
            true => self.confirm(vec![(node, message)]),
            false => self.send_entry(node, &message),
        }
    }
}
