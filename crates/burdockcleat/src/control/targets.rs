//! Handles target announcements, which every control instance keeps and forwards to the others.
//!
//! A target may announce itself to any control instance. A new leader therefore knows the targets
//! at once. Otherwise, it would have to refuse requests until all targets had reached it.

use super::event::CallReply;
use super::node::{ControlNode, step_time};
use super::peer::PeerMessage;
use super::replies::error_reply;
use crate::operator::{ErrorCode, ErrorReply};
use burdockcleat_core::keys::TargetIdentity;
use burdockcleat_core::message::encode_frame;
use burdockcleat_core::registry::{AnnounceError, TargetAnnouncement};

impl ControlNode {
    /// Records a target's announcement and forwards it to the other instances.
    pub(super) fn announce(&mut self, announcement: &TargetAnnouncement) -> CallReply {
        match self.record_announcement(announcement.clone()) {
            Ok(()) => {
                self.send_to_peers(&PeerMessage::Announce(Box::new(announcement.clone())));
                self.registration_reply()
            }
            Err(error) => {
                let message = error.to_string();
                CallReply::json(409, &ErrorReply { error: ErrorCode::Conflict, message })
            }
        }
    }

    /// Removes an incarnation of a target for good and forwards that to the other instances.
    pub(super) fn leave(&mut self, identity: &TargetIdentity) -> CallReply {
        self.record_leave(identity);
        self.send_to_peers(&PeerMessage::Leave(identity.clone()));
        self.registration_reply()
    }

    /// Returns the reply to a recorded announcement or leave.
    ///
    /// An instance that is cut off cannot forward it to the leader, so the target has to use
    /// another instance.
    fn registration_reply(&self) -> CallReply {
        match self.is_ready() {
            true => CallReply { status: 200, body: "{}".into() },
            false => {
                let message = "this instance follows no leader; announce to another one";
                error_reply(503, ErrorCode::Unconfirmed, message)
            }
        }
    }

    /// Records an announcement in the registry that is in use.
    pub(super) fn record_announcement(
        &mut self,
        announcement: TargetAnnouncement,
    ) -> Result<(), AnnounceError> {
        let time = step_time();
        match &mut self.admission {
            Some(admission) => admission.announce(time, announcement),
            None => self.follower_registry.announce(time.now, announcement).map(|_| ()),
        }
    }

    /// Records in the registry that is in use that an incarnation has left.
    pub(super) fn record_leave(&mut self, identity: &TargetIdentity) {
        let time = step_time();
        match &mut self.admission {
            Some(admission) => admission.leave(time, identity),
            None => {
                self.follower_registry.leave(identity);
            }
        }
    }

    /// Sends a message to all linked control instances.
    fn send_to_peers(&self, message: &PeerMessage) {
        let frame = encode_frame(message);
        for link in self.members.links() {
            self.link.send(link, frame.clone());
        }
    }
}
