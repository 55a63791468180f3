//! Handles messages from entries and from other control instances.

use super::node::{ControlNode, NodeError, replica_config, step_time};
use super::peer::PeerMessage;
use crate::link::{LinkEvent, LinkKey, PeerRole};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::{ControlMessage, EntryMessage, decode_frame, encode_frame};
use burdockcleat_core::replica::{LogReplica, ReplicaInput, StoredState};

impl ControlNode {
    /// Handles a new link, a closed link, or a frame that arrived on a link.
    pub(super) fn handle_link_event(&mut self, event: LinkEvent) -> Result<(), NodeError> {
        let now = ClockTime::monotonic();
        match event {
            LinkEvent::Up { link, role: PeerRole::Control, .. } => {
                let introduction = PeerMessage::Introduce(self.members.introduction().clone());
                self.link.send(link, encode_frame(&introduction));
            }
            LinkEvent::Up { link, role: PeerRole::Entry, node, .. } => {
                self.config.add_link(now, node, link);
            }
            LinkEvent::Down { link } => self.handle_link_down(now, link),
            LinkEvent::Frame { link, frame } => match self.config.node(link) {
                Some(node) => self.receive_entry(link, node, &frame),
                None => self.receive_peer(link, &frame)?,
            },
        }
        Ok(())
    }

    /// Updates the log and the controllers after a link has closed.
    pub(super) fn handle_link_down(&mut self, now: ClockTime, link: LinkKey) {
        if let Some(node) = self.members.remove_link(now, link) {
            // Messages to and from the peer may be lost. The log never refuses this input.
            let _ = self.replica.step(now, ReplicaInput::PeerDown(node));
        }
        if let Some(entry) = self.config.remove_link(link) {
            let time = step_time();
            if let Some(admission) = &mut self.admission {
                admission.entry_disconnected(time, entry);
            }
        }
    }

    /// Handles a frame from a control instance. Closes the link if the frame cannot be decoded.
    pub(super) fn receive_peer(&mut self, link: LinkKey, frame: &[u8]) -> Result<(), NodeError> {
        match decode_frame::<PeerMessage>(frame) {
            Ok(PeerMessage::Introduce(peer)) => {
                self.members.introduce(link, peer);
                self.form_group()?;
            }
            Ok(PeerMessage::Replica(message)) => {
                let Some(from) = self.members.peer(link) else { return Ok(()) };
                let input = ReplicaInput::Receive { from, message };
                // The log never refuses messages from peers.
                let _ = self.replica.step(ClockTime::monotonic(), input);
            }
            Ok(PeerMessage::Announce(announcement)) => {
                if let Err(error) = self.record_announcement(*announcement) {
                    log::debug!(event = "announcement_refused"; "{error}");
                }
            }
            Ok(PeerMessage::Leave(identity)) => self.record_leave(&identity),
            Err(error) => {
                log::warn!(event = "frame_invalid", link = link.0; "{error}");
                self.link.close(link);
            }
        }
        Ok(())
    }

    /// Forms a new group once all configured instances have reported empty data folders.
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
        self.members.mark_log_written();
        Ok(())
    }

    /// Handles a frame from an entry. Closes the link if the frame cannot be decoded.
    pub(super) fn receive_entry(&mut self, link: LinkKey, node: NodeId, frame: &[u8]) {
        let message = match decode_frame::<EntryMessage>(frame) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(event = "frame_invalid", link = link.0; "{error}");
                self.link.close(link);
                return;
            }
        };
        self.update_entry(node, &message);
        if let Some(admission) = &mut self.admission {
            admission.receive(step_time(), node, message, &self.state);
        }
    }

    /// Records what an entry reports about its configuration and clock, and answers hellos and
    /// heartbeats.
    pub(super) fn update_entry(&mut self, node: NodeId, message: &EntryMessage) {
        let Some(entry) = self.config.entry_mut(node) else { return };
        entry.last_heard = ClockTime::monotonic();
        match message {
            EntryMessage::Hello { name, entry_time, config_version, .. } => {
                entry.name.clone_from(name);
                entry.entry_time = *entry_time;
                entry.config_version = *config_version;
                self.send_welcome(node, *entry_time);
                self.resend_drain(node);
            }
            EntryMessage::Heartbeat { entry_time, config_version } => {
                entry.entry_time = *entry_time;
                entry.config_version = *config_version;
                self.send_welcome(node, *entry_time);
            }
            _ => {}
        }
    }

    /// Tells an entry whether this instance leads.
    ///
    /// The message of a leader waits for a commit, so that a partitioned former leader cannot claim
    /// leadership.
    pub(super) fn send_welcome(&mut self, node: NodeId, entry_time: ClockTime) {
        let leading = self.admission.is_some();
        let message = ControlMessage::Welcome {
            leading,
            term: self.replica.term(),
            leader: self.replica.leader(),
            config_version: self.state.config().version,
            entry_time,
        };
        // The entry discards its reports once a later hello or heartbeat is answered. Reports that
        // arrived before that message must therefore be proposed ahead of the record that confirms
        // the answer.
        self.process_admission_output();
        match leading {
            true => self.send_after_commit(vec![(node, message)]),
            false => self.send_to_entry(node, &message),
        }
    }
}
