//! The filter chain of one request, from the caller to the record of its outcome.

use super::answer::CallerAnswer;
use super::caller::CallerConnection;
use super::claim::{ClaimAnswer, PendingClaim};
use super::dispatch::{DispatchEnd, ModelRun, RunRecord, run_service};
use super::metrics::{EntryMetrics, RequestStage};
use super::refusal::FilterRefusal;
use super::request::{self, AnswerForm, RequestId, RoutedRequest};
use super::resume::resume;
use super::session::ControlSession;
use super::workers::WorkerPool;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::entry_agent::LEADER_TIMEOUT_MS;
use burdockcleat_core::message::GrantTicket;
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use std::time::Instant;
use tiny_http::Request;

/// When to come back to an entry that is shutting down or has no leader.
const ELSEWHERE_RETRY_MS: u32 = 1_000;

/// What the filters of one request share.
pub struct FilterChain<'a> {
    /// Links to the control instances.
    pub session: &'a ControlSession,
    /// Where the times of the stages are recorded.
    pub metrics: &'a EntryMetrics,
    /// Threads that read the streams of targets.
    pub readers: &'a WorkerPool,
    /// Connection of the caller.
    pub caller: CallerConnection,
    /// Whether this entry is past its drain grace and refuses new requests.
    pub closing: bool,
    /// When the request arrived.
    pub arrived: ClockTime,
}

/// How a request ended, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainRecord {
    /// Rank of the tier, once the request was routed.
    pub tier: Option<u8>,
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// Why, if it did not complete.
    pub reason: Option<ReasonCode>,
    /// How it ran, if it was dispatched here.
    pub run: Option<RunRecord>,
    /// Whether it completed before its deadline.
    pub in_time: bool,
}

impl FilterChain<'_> {
    /// Serves one request to its end.
    pub fn serve(&self, mut request: Request) -> ChainRecord {
        let id = match request::identify(&request) {
            Ok(id) => id,
            Err(refusal) => {
                // An invalid id was never accepted, so no earlier attempt can exist under it.
                let id = RequestId { text: String::new(), generated: true };
                return CallerAnswer::new(request, &self.caller, id).refuse(refusal);
            }
        };
        let started = Instant::now();
        let admitted = self.admit(&mut request, id.clone());
        self.metrics.record_stage(RequestStage::Admit, started.elapsed());
        match admitted {
            Ok(routed) => self.run(CallerAnswer::new(request, &self.caller, id), &routed),
            Err(refusal) => CallerAnswer::new(request, &self.caller, id).refuse(refusal),
        }
    }

    fn admit(&self, request: &mut Request, id: RequestId) -> Result<RoutedRequest, FilterRefusal> {
        if self.closing {
            let message = "this entry is shutting down; send the request to another one";
            return Err(
                FilterRefusal::early(ReasonCode::Draining, message).retry_after(ELSEWHERE_RETRY_MS)
            );
        }
        let wait_ms = request::deadline_hint(request).map_or(LEADER_TIMEOUT_MS, u64::from);
        let limit = self.arrived.plus(wait_ms.min(LEADER_TIMEOUT_MS));
        let Some(config) = self.session.current_config(limit) else {
            let message = "this entry has no control leader; send the request to another one";
            return Err(
                FilterRefusal::early(ReasonCode::NoLeader, message).retry_after(ELSEWHERE_RETRY_MS)
            );
        };
        let body = request::bound(request, config.document.limits().body_bytes)?;
        if !self.caller.mark_received() {
            let message = "the caller closed its connection or sent too slowly";
            return Err(FilterRefusal::early(ReasonCode::CallerGone, message));
        }
        request::route(request, id, body, &config, self.arrived)
    }

    fn run(&self, mut answer: CallerAnswer, routed: &RoutedRequest) -> ChainRecord {
        let mut claim = PendingClaim::submit(self.session, &self.caller, routed);
        let record = loop {
            let submitted = Instant::now();
            let answered = claim.wait();
            self.metrics.record_stage(RequestStage::Claim, submitted.elapsed());
            match answered {
                Ok(ClaimAnswer::Granted(ticket)) => {
                    match self.dispatch(&mut answer, routed, &ticket) {
                        DispatchEnd::NotSent(error) => {
                            log::info!(
                                event = "dispatch_not_connected",
                                target = ticket.target.name.as_str();
                                "{error}"
                            );
                            claim.give_back(&ticket);
                        }
                        DispatchEnd::Ended(record) => {
                            self.session.finish(record.report(&ticket));
                            break answer.end(&record);
                        }
                    }
                }
                Ok(ClaimAnswer::Resume { address, recorded, .. }) => {
                    break resume(self.readers, answer, routed, &address, recorded);
                }
                Err(refusal) => break answer.refuse(refusal),
            }
        };
        let in_time = ClockTime::monotonic() <= routed.deadline;
        ChainRecord { tier: Some(routed.submit.tier), in_time, ..record }
    }

    fn dispatch(
        &self,
        answer: &mut CallerAnswer,
        routed: &RoutedRequest,
        ticket: &GrantTicket,
    ) -> DispatchEnd {
        if routed.form == AnswerForm::Service {
            let (end, service) = run_service(self.session, routed, ticket);
            if let Some(service) = service {
                answer.take_service(service);
            }
            return end;
        }
        ModelRun::prepare(self, routed, ticket).run(|event| answer.deliver(routed.form, event))
    }
}
