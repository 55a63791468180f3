//! Version roll-outs at a node: counts what it sends, limits the version on trial and writes the
//! verdict as the placement coordinator.

use super::{NodeState, target_key};
use crate::peers::PeerRecord;
use crate::placement::{AttemptOutcome, PlacementKey, ProcessKey, TargetKey, TrialLimit};
use crate::register::{RegisterChange, ReplicaKey};
use crate::rollout::{
    AnswerQuality, CoordinatorView, LearnedAt, RolloutReport, RolloutState, TrialAnswer, TrialSide,
    TrialVerdict, judge_trial,
};
use crate::settings::RolloutRule;
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Interval at which a version on trial is judged, in ms: that of the statuses of few nodes.
const JUDGE_INTERVAL_MS: u64 = 200;
/// Time after which a verdict that was not written is tried again, in ms; longer than its time limit.
const VERDICT_RETRY_MS: u64 = 1_000;
/// Time limit of writing a verdict, in ms.
const VERDICT_TIMEOUT_MS: u64 = 900;

/// Request of this node that was sent to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    /// Hash of the name of the route.
    route: u32,
    at: ClockTime,
    prompt_tokens: u32,
    /// Whether the target was still slow after its start.
    cold: bool,
    /// Time at which the target started to respond.
    first: Option<ClockTime>,
}

impl SentRequest {
    /// Returns the request after its target has started to respond.
    pub(super) const fn started(self, now: ClockTime) -> Self {
        Self { first: Some(now), ..self }
    }
}

impl NodeState {
    /// Takes over the orders of the applied register value.
    pub(crate) fn apply_rollouts(&self, live: bool) {
        let (Some(_), Some(applied)) = (self.settings.features.rollouts, self.register.applied())
        else {
            return;
        };
        let now = ClockTime::monotonic();
        let coordinates = self.leads_placement(now);
        let at = LearnedAt { now, wall: ClockTime::wall(), live, coordinates };
        let changed = self.rollouts.borrow_mut().apply(&applied.value.rollouts, self.process, at);
        for (service, history) in &applied.value.rollouts {
            if history.running().is_none() {
                self.scheduler.borrow_mut().set_trial(service, None);
            }
        }
        if !changed {
            return;
        }
        for (service, history) in &applied.value.rollouts {
            if let Some(record) = history.newest() {
                log::info!(
                    target: "burdockcleat",
                    "event=rollout.applied service={service} to={:?} state={:?} started={} duration_ms={}",
                    record.to, record.state, record.started, record.duration_ms
                );
            }
        }
        self.refresh_targets();
        self.limit_trials(now);
    }

    /// Returns whether requests may be sent to the version of a target.
    pub(super) fn accepts_version(&self, announcement: &TargetAnnouncement) -> bool {
        self.rollouts.borrow().allows(&announcement.service, &announcement.version)
    }

    /// Returns whether this node is the placement coordinator of all nodes that it hears, also of those
    /// that it left out for silence. Another one may not grant requests to a version on trial.
    fn leads_placement(&self, now: ClockTime) -> bool {
        let own = (self.register.disk().is_none(), self.settings.peer_address);
        let goes_first = |record: &PeerRecord| {
            let status = &record.status;
            status.warm && !status.leaving && (status.disk.is_none(), status.address) < own
        };
        self.is_warm(now)
            && self.is_coordinator(now)
            && !self.peers.borrow().alive(now).any(goes_first)
    }

    /// Returns what this node knows of the others. `since_order` tells whether it has coordinated since
    /// the order.
    fn coordinator_view(&self, since_order: bool, now: ClockTime) -> CoordinatorView {
        let since = self.coordinating_since.get();
        let interval_ms = self.status_interval_ms(now);
        let peers = self.peers.borrow();
        let heard_all =
            peers.alive(now).all(|record| since.is_some_and(|since| record.last_seen > since));
        let fresh_ms = CoordinatorView::fresh_ms(interval_ms);
        let fresh = || peers.alive(now).filter(|record| now.since(record.last_seen) <= fresh_ms);
        let disks: BTreeSet<_> = fresh()
            .filter_map(|record| {
                let address = record.status.address;
                Some(ReplicaKey { address, disk: record.status.disk? })
            })
            .chain(self.register.local_key())
            .collect();
        let applied = self.register.applied();
        let quorum = applied.is_some_and(|applied| applied.value.has_quorum(&disks));
        let most_nodes = (fresh().count() + 1) * 2 > peers.node_counts(now).1;
        CoordinatorView {
            since,
            since_order,
            heard_all,
            majority: quorum && most_nodes,
            interval_ms,
        }
    }

    /// Limits what versions on trial get, and judges them. Called at each tick of the scheduler.
    pub(super) fn tick_rollouts(self: &Rc<Self>, now: ClockTime) {
        let Some(rule) = self.settings.features.rollouts else { return };
        let since = self.coordinating_since.get();
        let coordinates = self.leads_placement(now);
        self.coordinating_since.set(coordinates.then(|| since.unwrap_or(now)));
        let mut rollouts = self.rollouts.borrow_mut();
        for (_, order) in rollouts.orders_mut() {
            order.coordinated &= coordinates;
        }
        drop(rollouts);
        self.limit_trials(now);
        let judged = self.rollouts_judged.get();
        if coordinates && now.since(judged) >= JUDGE_INTERVAL_MS {
            self.rollouts_judged.set(now);
            self.judge_trials(&rule, now);
        }
    }

    fn limit_trials(&self, now: ClockTime) {
        let Some(rule) = self.settings.features.rollouts else { return };
        // What was granted so far has to be counted.
        self.deliver_decisions();
        let mut rollouts = self.rollouts.borrow_mut();
        let mut scheduler = self.scheduler.borrow_mut();
        for (service, order) in rollouts.orders_mut() {
            let view = self.coordinator_view(order.coordinated, now);
            let left = if view.may_grant(now) && !order.condemned {
                order.ledger.left(&rule, self.process, view.interval_ms, now)
            } else {
                0
            };
            let limit = TrialLimit { version: order.version, left };
            scheduler.set_trial(service, order.on_trial.then_some(limit));
        }
    }

    fn judge_trials(self: &Rc<Self>, rule: &RolloutRule, now: ClockTime) {
        let mut verdicts = Vec::new();
        let mut rollouts = self.rollouts.borrow_mut();
        for (service, order) in rollouts.orders_mut() {
            let knows_all = self.coordinator_view(order.coordinated, now).may_grant(now);
            let evidence = order.ledger.evidence();
            let verdict = match judge_trial(evidence.values(), order.timing(now)) {
                _ if !order.on_trial => TrialVerdict::Good,
                // A good verdict needs the answers of all nodes.
                TrialVerdict::Good if !knows_all && !order.timing(now).is_last() => {
                    TrialVerdict::Open
                }
                _ if order.condemned => TrialVerdict::Bad { cause: "condemned before" },
                verdict => verdict,
            };
            let (state, cause) = match verdict {
                TrialVerdict::Open => continue,
                TrialVerdict::Good => (RolloutState::Completed, "sound"),
                TrialVerdict::Bad { cause } => (RolloutState::Reverted, cause),
            };
            order.condemned |= state == RolloutState::Reverted;
            if order.verdict_tried.is_some_and(|tried| now.since(tried) < VERDICT_RETRY_MS) {
                continue;
            }
            order.verdict_tried = Some(now);
            let (requests, sent) = order.ledger.counts(self.process);
            let bad = evidence.values().map(|route| route.trial.bad()).sum::<u32>();
            log::info!(
                target: "burdockcleat",
                "event=rollout.verdict service={service} to={:?} state={state:?} cause=\"{cause}\" age_ms={} requests={requests} sent={sent} bad={bad} share={} tolerance={}",
                order.record.to, order.timing(now).age_ms, rule.share, rule.tolerance
            );
            verdicts.push(RegisterChange::FinishRollout {
                service: service.to_owned(),
                to: order.record.to.clone(),
                started: order.record.started,
                state,
            });
        }
        drop(rollouts);
        self.limit_trials(now);
        for change in verdicts {
            let node = self.clone();
            tokio::task::spawn_local(async move {
                let result = node.submit_change(&change, VERDICT_TIMEOUT_MS).await;
                let outcome = if result.is_ok() { "written" } else { "not_written" };
                if let Err(error) = result {
                    log::info!(target: "burdockcleat", "event=rollout.verdict_failed cause=\"{error}\"");
                }
                node.metrics.borrow_mut().count("rollout_verdicts", outcome, 1);
            });
        }
    }

    /// Returns the service of a target if its version is on trial.
    fn trial_service(&self, target: TargetKey) -> Option<String> {
        let announcements = self.announcements.borrow();
        let announcement = announcements.get(&target)?;
        let mut rollouts = self.rollouts.borrow_mut();
        let order = rollouts.order_mut(&announcement.service)?;
        (order.version == announcement.version_key()).then(|| announcement.service.clone())
    }

    /// Counts a grant of this node's scheduler.
    pub(super) fn count_trial_grant(&self, receiver: ProcessKey, target: TargetKey) {
        let Some(service) = self.trial_service(target) else { return };
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(order) = rollouts.order_mut(&service) else { return };
        order.ledger.record_grant(receiver, ClockTime::monotonic());
    }

    /// Counts a request of this node that was granted a target by a process.
    pub(super) fn count_trial_send(&self, grantor: ProcessKey, target: TargetKey) {
        let Some(service) = self.trial_service(target) else { return };
        if let Some(order) = self.rollouts.borrow_mut().order_mut(&service) {
            order.count_send(grantor);
        }
    }

    /// Counts the end of a request of this node at a target while the service is rolled out.
    pub(super) fn count_rollout_answer(
        &self,
        sent: &SentRequest,
        target: TargetKey,
        outcome: AttemptOutcome,
    ) {
        use AttemptOutcome::{
            Answered, Broken, DeadlinePassed, Dropped, Failed, Full, Stalled, Unreachable,
        };
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(announcement) = self.known_announcement(target) else { return };
        let Some(order) = rollouts.order_mut(&announcement.service) else { return };
        let now = ClockTime::monotonic();
        let quality = match outcome {
            Answered => AnswerQuality::Sound,
            Failed => AnswerQuality::Failed,
            Broken | Stalled | DeadlinePassed => {
                AnswerQuality::broke_off(target, order.timing(now).age_ms)
            }
            Full | Unreachable | Dropped => return,
        };
        let trial = order.version == announcement.version_key();
        let side = if trial { TrialSide::Trial } else { TrialSide::Other };
        let timed =
            |end: Option<ClockTime>| end.filter(|_| !sent.cold).map(|end| end.since(sent.at));
        let answer = TrialAnswer {
            side,
            quality,
            prompt_tokens: sent.prompt_tokens,
            first_ms: timed(sent.first),
            total_ms: timed(Some(now)),
        };
        order.count_answer(sent.route, &answer);
    }

    /// Returns what is remembered of a request until its end, if there may be roll-outs.
    pub(super) fn describe_send(
        &self,
        key: PlacementKey,
        announcement: &TargetAnnouncement,
        route: &str,
    ) -> Option<SentRequest> {
        self.settings.features.rollouts?;
        let prompt_tokens = self.active.borrow().get(&key).map_or(0, |active| active.prompt_tokens);
        let targets = self.targets.borrow();
        let newest = targets.get(&announcement.id).map(|record| &record.announcement);
        let cold = newest.is_some_and(|newest| {
            target_key(newest) == target_key(announcement) && newest.cold_ms > 0
        });
        let route = (xxhash_rust::xxh3::xxh3_64(route.as_bytes()) >> 32) as u32;
        Some(SentRequest { route, at: ClockTime::monotonic(), prompt_tokens, cold, first: None })
    }

    /// Returns the reports for a status.
    pub(super) fn rollout_reports(&self, now: ClockTime) -> Vec<RolloutReport> {
        let peers = self.peers.borrow();
        let running = peers.alive(now).map(|record| record.status.process.0).collect();
        self.rollouts.borrow().reports(&running, now)
    }

    /// Sets the gauges of roll-outs in progress and, at the coordinator, logs them.
    pub(super) fn report_rollouts(&self, now: ClockTime) {
        let coordinates = self.is_coordinator(now);
        let rollouts = self.rollouts.borrow();
        let mut metrics = self.metrics.borrow_mut();
        for (service, order) in rollouts.orders() {
            let (requests, sent) = order.ledger.counts(self.process);
            metrics.set("rollout_requests", service, f64::from(requests));
            metrics.set("rollout_sent", service, f64::from(sent));
            if coordinates {
                log::info!(
                    target: "burdockcleat",
                    "event=rollout.state service={service} to={:?} age_ms={} requests={requests} sent={sent} coordinated={} condemned={}",
                    order.record.to, order.timing(now).age_ms, order.coordinated, order.condemned
                );
            }
        }
    }
}
