//! Learns the limits that targets name in their answers.

use super::{NodeState, target_key};
use crate::target_limits::RequestRate;
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use hyper::header::HeaderMap;

impl NodeState {
    /// Records the limit that a target names, or no longer names, in an answer to a request that was
    /// sent at `sent`.
    pub(crate) fn observe_limit(
        &self,
        announcement: &TargetAnnouncement,
        headers: &HeaderMap,
        sent: ClockTime,
    ) {
        let rate = match headers.get(&self.http_api.headers.target_limit) {
            None => None,
            Some(value) => {
                let Some(rate) = value.to_str().ok().and_then(RequestRate::parse) else {
                    log::info!(target: "burdockcleat", "event=target.limit_unreadable target={} value={value:?}", announcement.id);
                    return;
                };
                Some(rate)
            }
        };
        let target = target_key(announcement);
        if !self.limits.borrow_mut().observe(target, rate, sent, ClockTime::monotonic()) {
            return;
        }
        let per_s = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        log::info!(
            target: "burdockcleat",
            "event=target.limit target={} incarnation={} per_s={per_s} from=answer",
            announcement.id, announcement.incarnation
        );
    }
}
