//! What an instance does because it leads: the configuration and membership, drains, and the
//! start and end of its leadership.

use super::node::{ControlNode, step_time};
use burdockcleat_core::admission::AdmissionController;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::ControlMessage;
use burdockcleat_core::replica::{EntryPayload, ReplicaError, ReplicaInput};
use burdockcleat_core::state::DrainSubject;

impl ControlNode {
    pub(super) fn send_config(&mut self, now: ClockTime) {
        for (node, message) in self.config.due_messages(now, &self.state.config()) {
            self.send_to_entry(node, &message);
        }
    }

    pub(super) fn propose_membership_change(&mut self, now: ClockTime) {
        if self.admission.is_none() {
            return;
        }
        let Some(next) = self.members.next_change(now, self.replica.members()) else { return };
        let input = ReplicaInput::Propose(EntryPayload::Members(next.clone()));
        match self.replica.step(now, input) {
            Ok(_) => {
                log::info!(event = "members_changing", voters = next.voters.len(), learners = next.learners.len(); "proposing a membership");
            }
            Err(ReplicaError::ChangeInProgress { .. } | ReplicaError::LearnerBehind { .. }) => {}
            Err(error) => log::debug!(event = "members_refused"; "{error}"),
        }
    }

    /// Puts the committed document in force here and at the entries.
    pub(super) fn apply_config(&mut self) {
        let config = self.state.config();
        match ConfigDocument::parse(&config.document) {
            Ok(document) => {
                self.state.set_claim_limit(document.limits().claim_limit as usize);
                self.orders.configure(document.limits());
                if let Some(admission) = &mut self.admission {
                    admission.configure(step_time(), &document);
                    self.config.record_delta(config.version, &self.document, &document);
                }
                self.document = document;
            }
            Err(faults) => {
                log::error!(event = "config_invalid", version = config.version; "{} faults", faults.len());
            }
        }
        if self.admission.is_some() {
            self.send_config(ClockTime::monotonic());
        }
    }

    /// Carries out a drain. It may be repeated, since a resend gets the first reply again.
    pub(super) fn start_drain(&mut self, subject: &DrainSubject) {
        let Some(admission) = &mut self.admission else { return };
        match subject {
            DrainSubject::Target(identity) => admission.drain_target(step_time(), identity),
            DrainSubject::Entry { node, .. } => self.send_to_entry(*node, &ControlMessage::Drain),
        }
    }

    /// Tells an entry again that it is drained, since the first message may have been lost.
    pub(super) fn resend_drain(&mut self, node: NodeId) {
        if self.admission.is_some() && self.state.entry_drained(node) {
            self.send_to_entry(node, &ControlMessage::Drain);
        }
    }

    pub(super) fn start_leading(&mut self) {
        let now = ClockTime::monotonic();
        log::info!(event = "leading", term = self.replica.term(); "leading with a committed record");
        let config = self.state.config();
        let document = ConfigDocument::parse(&config.document).unwrap_or_default();
        let registry = std::mem::take(&mut self.follower_registry);
        let admission = AdmissionController::open(step_time(), &document, &self.state, registry);
        self.admission = Some(admission);
        self.backlog.clear();
        self.leading_since = now;
        self.orders.configure(document.limits());
        self.state.set_claim_limit(document.limits().claim_limit as usize);
        self.document = document;
        self.orders.start_leading(now);
        let entries: Vec<_> =
            self.config.entries().map(|(node, entry)| (*node, entry.entry_time)).collect();
        for (node, entry_time) in entries {
            self.send_welcome(node, entry_time);
            self.resend_drain(node);
        }
    }

    pub(super) fn stop_leading(&mut self) {
        let Some(admission) = self.admission.take() else { return };
        self.follower_registry = admission.into_registry();
        log::info!(event = "not_leading", term = self.replica.term(); "leadership ended");
        self.replies.fail_all();
        self.orders.stop_leading();
        let entries: Vec<_> =
            self.config.entries().map(|(node, entry)| (*node, entry.entry_time)).collect();
        for (node, entry_time) in entries {
            self.send_welcome(node, entry_time);
        }
    }
}
