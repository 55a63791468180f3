//! Announcements of targets: every control instance keeps them, and passes them on to the others.
//!
//! A target may use any control instance. An instance that becomes leader knows the targets at
//! once; without that, a change of leader would refuse requests until all targets had found it.

use super::event::CallReply;
use super::node::{ControlNode, step_time};
use super::peer::PeerMessage;
use super::replies::refusal;
use crate::operator::{ErrorCode, ErrorReply};
use burdockcleat_core::keys::TargetIdentity;
use burdockcleat_core::message::encode_frame;
use burdockcleat_core::registry::{AnnounceError, TargetAnnouncement};

impl ControlNode {
    /// Enters an announcement and passes it on.
    pub(super) fn announce(&mut self, announcement: &TargetAnnouncement) -> CallReply {
        match self.enter_announcement(announcement.clone()) {
            Ok(()) => {
                self.tell_peers(&PeerMessage::Announce(Box::new(announcement.clone())));
                self.entered()
            }
            Err(error) => {
                let message = error.to_string();
                CallReply::json(409, &ErrorReply { error: ErrorCode::Conflict, message })
            }
        }
    }

    /// Ends an incarnation for good and passes that on.
    pub(super) fn leave(&mut self, identity: &TargetIdentity) -> CallReply {
        self.enter_leave(identity);
        self.tell_peers(&PeerMessage::Leave(identity.clone()));
        self.entered()
    }

    /// Answer to an announcement or a leave that was entered. The leader hears nothing of what is
    /// entered at an instance that is cut off, so the target must turn to another one.
    fn entered(&self) -> CallReply {
        match self.takes_part() {
            true => CallReply { status: 200, body: "{}".into() },
            false => {
                let message = "this instance follows no leader; announce to another one";
                refusal(503, ErrorCode::Unconfirmed, message)
            }
        }
    }

    pub(super) fn enter_announcement(
        &mut self,
        announcement: TargetAnnouncement,
    ) -> Result<(), AnnounceError> {
        let time = step_time();
        match &mut self.admission {
            Some(admission) => admission.announce(time, announcement),
            None => self.followed.announce(time.now, announcement).map(|_| ()),
        }
    }

    pub(super) fn enter_leave(&mut self, identity: &TargetIdentity) {
        let time = step_time();
        match &mut self.admission {
            Some(admission) => admission.leave(time, identity),
            None => {
                self.followed.leave(identity);
            }
        }
    }

    fn tell_peers(&self, message: &PeerMessage) {
        let frame = encode_frame(message);
        for link in self.members.links() {
            self.link.send(link, frame.clone());
        }
    }
}
