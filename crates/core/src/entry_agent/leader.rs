//! Tracks the links to the control instances and follows their leader.

use super::{EntryAgent, FollowedLeader};
use crate::clock::ClockTime;
use crate::keys::LinkKey;
use crate::message::{EntryMessage, HeldClaim};

impl EntryAgent {
    pub(super) fn link_up(&mut self, now: ClockTime, link: LinkKey) {
        self.links.insert(link);
        self.send_hello(now, link);
    }

    pub(super) fn link_down(&mut self, link: LinkKey) {
        self.links.remove(&link);
        self.leader = self.leader.filter(|leader| leader.link != link);
    }

    /// Handles the answer of a control instance to a `Hello` or a heartbeat.
    pub(super) fn welcome(
        &mut self,
        now: ClockTime,
        sender: FollowedLeader,
        leading: bool,
        config_version: u64,
        entry_time: ClockTime,
    ) {
        if !leading || sender.term < self.term {
            self.leader = self.leader.filter(|leader| leader.link != sender.link);
            return;
        }
        self.term = self.term.max(sender.term);
        // The time at which the heartbeat was sent, because a frozen leader answers late.
        self.last_leader_contact = self.last_leader_contact.max(Some(entry_time));
        self.confirmed_version = self.confirmed_version.max(Some(config_version));
        if self.leader == Some(sender) {
            self.confirm_reports(sender, entry_time);
        } else {
            self.follow_leader(now, sender);
        }
    }

    /// Follows a new leader, or the same one over a new link or in a new term. Sends it the held
    /// claims, then the reports, then the waiting attempts.
    fn follow_leader(&mut self, now: ClockTime, leader: FollowedLeader) {
        self.leader = Some(leader);
        self.send_hello(now, leader.link);
        self.send_reports(now, leader);
        self.resubmit_waiting(now, leader.link);
    }

    fn send_hello(&mut self, now: ClockTime, link: LinkKey) {
        let held = self.held.iter().filter(|(_, held)| held.running || self.rules.report_grants);
        let running = held.map(|(key, held)| HeldClaim { key: *key, claim: held.claim }).collect();
        let hello = EntryMessage::Hello {
            name: self.name.clone(),
            entry_time: now,
            config_version: self.config_version.unwrap_or_default(),
            running,
        };
        self.send(link, hello);
    }

    pub(super) fn send_heartbeats(&mut self, now: ClockTime) {
        let config_version = self.config_version.unwrap_or_default();
        for link in self.links.clone() {
            self.send(link, EntryMessage::Heartbeat { entry_time: now, config_version });
        }
    }

    pub(super) fn send_progress(&mut self) {
        if self.progress.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.progress).into_values().collect();
        self.send_leader(EntryMessage::Progress(batch));
    }
}
