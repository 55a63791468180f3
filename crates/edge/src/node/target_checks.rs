//! Asks targets that announce themselves after a leave whether they are leaving.
//!
//! A leave names no incarnation, and an announcement may arrive seconds late. An incarnation that is not
//! known when its target leaves may be the one that has left, or the next one. Only the target knows.

use super::NodeState;
use crate::targets::{TargetAnnouncement, TargetNotice};
use burdockcleat_core::clock::ClockTime;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Timeout of a health check, in ms. Targets expect the answer to an announcement, which may wait for
/// the check, within a second.
const CHECK_TIMEOUT_MS: u64 = 500;

/// What a target that may have left says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetCondition {
    Serving,
    Leaving,
    /// The target gave no clear answer.
    Unknown,
}

impl NodeState {
    /// Applies an announcement that this node received from the target itself, once it is known that
    /// it is not from before a leave. Returns false if that could not be found out.
    pub(crate) async fn receive_announcement(
        self: &Rc<Self>,
        announcement: TargetAnnouncement,
    ) -> bool {
        if !self.must_check(&announcement) {
            self.apply_notice(&TargetNotice::Announced(announcement), true);
            return true;
        }
        self.check_target(&announcement, true).await != TargetCondition::Unknown
    }

    /// Returns whether the incarnation of an announcement may have left before it became known.
    pub(super) fn must_check(&self, announcement: &TargetAnnouncement) -> bool {
        let targets = self.targets.borrow();
        let (now, wall) = (ClockTime::monotonic(), ClockTime::wall());
        !announcement.draining
            && !targets.is_known(announcement)
            && targets.may_have_left(announcement, now, wall)
    }

    /// Checks the known incarnation of a target if a leave that arrived after its announcement may refer
    /// to it.
    pub(super) fn check_doubtful(self: &Rc<Self>, id: &str) {
        let known = self.targets.borrow().get(id).map(|record| record.announcement.clone());
        let (now, wall) = (ClockTime::monotonic(), ClockTime::wall());
        if let Some(announcement) = known
            && self.targets.borrow().may_have_left(&announcement, now, wall)
        {
            self.check_in_background(announcement);
        }
    }

    /// Checks a target whose announcement another node has passed on, unless a check is under way.
    pub(super) fn check_in_background(self: &Rc<Self>, announcement: TargetAnnouncement) {
        let key = super::target_key(&announcement);
        if !self.checked_targets.borrow_mut().insert(key) {
            return;
        }
        let node = self.clone();
        tokio::task::spawn_local(async move {
            node.check_target(&announcement, false).await;
            node.checked_targets.borrow_mut().remove(&key);
        });
    }

    /// Asks a target whether it is leaving, and applies what it says.
    async fn check_target(
        self: &Rc<Self>,
        announcement: &TargetAnnouncement,
        direct: bool,
    ) -> TargetCondition {
        let limit = Duration::from_millis(CHECK_TIMEOUT_MS);
        let asked = tokio::time::timeout(limit, self.ask_condition(announcement)).await;
        let condition = asked.unwrap_or(TargetCondition::Unknown);
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        log::info!(target: "burdockcleat", "event=target.checked target={id} incarnation={incarnation} condition={condition:?} direct={direct}");
        match condition {
            TargetCondition::Serving => {
                self.apply_notice(&TargetNotice::Confirmed(announcement.clone()), direct);
            }
            TargetCondition::Leaving => {
                self.apply_notice(&TargetNotice::Left { id, incarnation }, true);
            }
            TargetCondition::Unknown => {}
        }
        condition
    }

    async fn ask_condition(&self, announcement: &TargetAnnouncement) -> TargetCondition {
        let config = self.config();
        let rule = config.as_ref().and_then(|config| config.services.get(&announcement.service));
        let Some(rule) = rule else { return TargetCondition::Unknown };
        let Some(path) = rule.health_path.as_deref() else {
            return self.condition_by_clock(announcement);
        };
        let address = announcement.address;
        let request = Request::get(path).body(Full::new(Bytes::new()));
        let host = HeaderValue::from_str(&address.to_string());
        let (Ok(mut request), Ok(host)) = (request, host) else { return TargetCondition::Unknown };
        request.headers_mut().insert(HOST, host);
        let link = self.count_target_request(&announcement.domain);
        let sent = self.upstreams.send(address, link, request, &Notify::new()).await;
        let Ok((response, _connection, _)) = sent else { return TargetCondition::Unknown };
        let names = &self.http_api.headers;
        let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
        if header(&names.target_leaving) == Some(super::targets::LEAVING_VALUE) {
            return TargetCondition::Leaving;
        }
        let own = header(&names.target_id) == Some(&announcement.id);
        if own && response.status() == StatusCode::OK {
            TargetCondition::Serving
        } else {
            TargetCondition::Unknown
        }
    }

    /// Returns the condition of a target that cannot be asked. One that started after the leave serves.
    fn condition_by_clock(&self, announcement: &TargetAnnouncement) -> TargetCondition {
        let (now, wall) = (ClockTime::monotonic(), ClockTime::wall());
        let left_at = self.targets.borrow().left_at(&announcement.id, now, wall);
        if left_at.is_some_and(|left_at| announcement.incarnation <= left_at.as_ms()) {
            TargetCondition::Unknown
        } else {
            TargetCondition::Serving
        }
    }
}
