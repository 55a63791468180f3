//! Announcements of targets: every control instance keeps them, and passes them on to the others.
//!
//! A target may use any control instance. An instance that becomes leader knows the targets at
//! once; without that, a change of leader would refuse requests until all targets had found it.

use super::event::CallReply;
use super::node::{ControlNode, step_time};
use super::peer::PeerMessage;
use super::replies::error_reply;
use crate::operator::{ErrorCode, ErrorReply};
use burdockcleat_core::keys::TargetIdentity;
use burdockcleat_core::message::encode_frame;
use burdockcleat_core::registry::{AnnounceError, TargetAnnouncement};

impl ControlNode {
    /// Enters an announcement and passes it on.
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

    /// Ends an incarnation for good and passes that on.
    pub(super) fn leave(&mut self, identity: &TargetIdentity) -> CallReply {
        self.record_leave(identity);
        self.send_to_peers(&PeerMessage::Leave(identity.clone()));
        self.registration_reply()
    }

    /// Answer to an announcement or a leave that was entered. The leader hears nothing of what is
    /// entered at an instance that is cut off, so the target must turn to another one.
    fn registration_reply(&self) -> CallReply {
        match self.is_ready() {
            true => CallReply { status: 200, body: "{}".into() },
            false => {
                let message = "this instance follows no leader; announce to another one";
                error_reply(503, ErrorCode::Unconfirmed, message)
            }
        }
    }

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

    pub(super) fn record_leave(&mut self, identity: &TargetIdentity) {
        let time = step_time();
        match &mut self.admission {
            Some(admission) => admission.leave(time, identity),
            None => {
                self.follower_registry.leave(identity);
            }
        }
    }

    fn send_to_peers(&self, message: &PeerMessage) {
        let frame = encode_frame(message);
        for link in self.members.links() {
            self.link.send(link, frame.clone());
        }
    }
}
