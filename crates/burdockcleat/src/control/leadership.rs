//! Duties of the leader: configuration, membership changes and drains, and the start and end of
//! leadership.

use super::node::{ControlNode, step_time};
use burdockcleat_core::admission::AdmissionController;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::ControlMessage;
use burdockcleat_core::replica::{EntryPayload, ReplicaError, ReplicaInput};
use burdockcleat_core::state::DrainSubject;

impl ControlNode {
    /// Sends the configuration to entries that have an older version.
    pub(super) fn send_config(&mut self, now: ClockTime) {
        for (node, message) in self.config.due_messages(now, &self.state.config()) {
            self.send_to_entry(node, &message);
        }
    }

    /// Proposes the next membership change, if one is needed.
    pub(super) fn propose_membership_change(&mut self, now: ClockTime) {
        if self.admission.is_none() {
            return;
        }
        let Some(next) = self.members.next_change(now, self.replica.members()) else { return };
        let input = ReplicaInput::Propose(EntryPayload::Members(next.clone()));
        match self.replica.step(now, input) {
            Ok(_) => {
                log::info!(event = "members_changing", voters = next.voters.len(), learners = next.learners.len(); "proposing a membership change");
            }
            Err(ReplicaError::ChangeInProgress { .. } | ReplicaError::LearnerBehind { .. }) => {}
            Err(error) => log::debug!(event = "members_refused"; "{error}"),
        }
    }

    /// Applies the committed configuration on this instance and, while leading, sends it to the
    /// entries.
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
                log::error!(event = "config_invalid", version = config.version; "committed configuration has {} errors", faults.len());
            }
        }
        if self.admission.is_some() {
            self.send_config(ClockTime::monotonic());
        }
    }

    /// Carries out a committed drain. This is idempotent: a retried request yields the first reply
    /// again, and with it another call.
    pub(super) fn start_drain(&mut self, subject: &DrainSubject) {
        let Some(admission) = &mut self.admission else { return };
        match subject {
            DrainSubject::Target(identity) => admission.drain_target(step_time(), identity),
            DrainSubject::Entry { node, .. } => self.send_to_entry(*node, &ControlMessage::Drain),
        }
    }

    /// Sends the drain message to a drained entry again, since the first one may have been lost.
    pub(super) fn resend_drain(&mut self, node: NodeId) {
        if self.admission.is_some() && self.state.entry_drained(node) {
            self.send_to_entry(node, &ControlMessage::Drain);
        }
    }

    /// Takes over as leader once a record of this term is committed: rebuilds the admission state
    /// and informs all linked entries.
    pub(super) fn start_leading(&mut self) {
        let now = ClockTime::monotonic();
        log::info!(event = "leading", term = self.replica.term(); "became leader");
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

    /// Ends leadership, if this instance leads: fails pending replies and informs all linked
    /// entries.
    pub(super) fn stop_leading(&mut self) {
        let Some(admission) = self.admission.take() else { return };
        self.follower_registry = admission.into_registry();
        log::info!(event = "not_leading", term = self.replica.term(); "no longer leader");
        self.replies.fail_all();
        self.orders.stop_leading();
        let entries: Vec<_> =
            self.config.entries().map(|(node, entry)| (*node, entry.entry_time)).collect();
        for (node, entry_time) in entries {
            self.send_welcome(node, entry_time);
        }
    }
}
