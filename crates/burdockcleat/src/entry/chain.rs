//! Filter chain of one request, from its arrival to the record of its outcome.

use super::caller::CallerConnection;
use super::claim::{ClaimOutcome, PendingClaim};
use super::dispatch::{DispatchEnd, DispatchRecord, ModelDispatch, dispatch_service};
use super::metrics::{EntryMetrics, RequestStage};
use super::refusal::FilterRefusal;
use super::request::{self, RequestId, ResponseForm, RoutedRequest};
use super::response::CallerResponse;
use super::resume::resume;
use super::session::ControlSession;
use super::workers::WorkerPool;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::entry_agent::LEADER_TIMEOUT_MS;
use burdockcleat_core::message::GrantTicket;
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use std::time::Instant;
use tiny_http::Request;

/// Retry hint, in milliseconds, from an entry that is shutting down or has no leader.
const OTHER_ENTRY_RETRY_MS: u32 = 1_000;

/// State that the filters of one request share.
pub struct FilterChain<'a> {
    /// Session with the control instances.
    pub session: &'a ControlSession,
    /// Metrics that record the duration of each stage.
    pub metrics: &'a EntryMetrics,
    /// Threads that read event streams from targets.
    pub readers: &'a WorkerPool,
    /// Connection to the caller.
    pub caller: CallerConnection,
    /// Whether the grace period of a drain is over, so that this entry refuses new requests.
    pub closing: bool,
    /// When the request arrived.
    pub arrived: ClockTime,
}

/// How a request ended, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Rank of the tier, once the request was routed.
    pub tier: Option<u8>,
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// Why it did not complete, if it did not.
    pub reason: Option<ReasonCode>,
    /// Details of the dispatch, if this entry dispatched it.
    pub dispatch: Option<DispatchRecord>,
    /// Whether it completed before its deadline.
    pub in_time: bool,
}

impl FilterChain<'_> {
    /// Serves one request until its response has ended.
    pub fn serve(&self, mut request: Request) -> RequestRecord {
        let id = match request::identify(&request) {
            Ok(id) => id,
            Err(refusal) => {
                // An invalid id is never accepted, so no earlier attempt can have used it.
                let id = RequestId { text: String::new(), generated: true };
                return CallerResponse::new(request, &self.caller, id).refuse(refusal);
            }
        };
        let started = Instant::now();
        let admitted = self.admit(&mut request, id.clone());
        self.metrics.record_stage(RequestStage::Admit, started.elapsed());
        match admitted {
            Ok(routed) => self.run(CallerResponse::new(request, &self.caller, id), &routed),
            Err(refusal) => CallerResponse::new(request, &self.caller, id).refuse(refusal),
        }
    }

    fn admit(&self, request: &mut Request, id: RequestId) -> Result<RoutedRequest, FilterRefusal> {
        if self.closing {
            let message = "this entry is shutting down; send the request to another one";
            return Err(FilterRefusal::without_outcome(ReasonCode::Draining, message)
                .retry_after(OTHER_ENTRY_RETRY_MS));
        }
        let wait_ms = request::requested_deadline_ms(request).map_or(LEADER_TIMEOUT_MS, u64::from);
        let limit = self.arrived.plus(wait_ms.min(LEADER_TIMEOUT_MS));
        let Some(config) = self.session.current_config(limit) else {
            let message = "this entry has no control leader; send the request to another one";
            return Err(FilterRefusal::without_outcome(ReasonCode::NoLeader, message)
                .retry_after(OTHER_ENTRY_RETRY_MS));
        };
        let body = request::read_body(request, config.document.limits().body_bytes)?;
        if !self.caller.mark_received() {
            let message = "the caller closed its connection or sent too slowly";
            return Err(FilterRefusal::without_outcome(ReasonCode::CallerGone, message));
        }
        request::route(request, id, body, &config, self.arrived)
    }

    fn run(&self, mut response: CallerResponse, routed: &RoutedRequest) -> RequestRecord {
        let mut claim = PendingClaim::submit(self.session, &self.caller, routed);
        let record = loop {
            let submitted = Instant::now();
            let outcome = claim.wait();
            self.metrics.record_stage(RequestStage::Claim, submitted.elapsed());
            match outcome {
                Ok(ClaimOutcome::Granted(ticket)) => {
                    match self.dispatch(&mut response, routed, &ticket) {
                        DispatchEnd::NotSent(error) => {
                            log::info!(
                                event = "dispatch_not_connected",
                                target = ticket.target.name.as_str();
                                "{error}"
                            );
                            claim.release_for_retry(&ticket);
                        }
                        DispatchEnd::Ended(record) => {
                            self.session.finish(record.report(&ticket));
                            break response.finish(&record);
                        }
                    }
                }
                Ok(ClaimOutcome::Resume { address, recorded, .. }) => {
                    break resume(self.readers, response, routed, &address, recorded);
                }
                Err(refusal) => break response.refuse(refusal),
            }
        };
        let in_time = ClockTime::monotonic() <= routed.deadline;
        RequestRecord { tier: Some(routed.submit.tier), in_time, ..record }
    }

    fn dispatch(
        &self,
        response: &mut CallerResponse,
        routed: &RoutedRequest,
        ticket: &GrantTicket,
    ) -> DispatchEnd {
        if routed.form == ResponseForm::Service {
            let (end, service) = dispatch_service(self.session, routed, ticket);
            if let Some(service) = service {
                response.set_service_response(service);
            }
            return end;
        }
        ModelDispatch::prepare(self, routed, ticket)
            .run(|event| response.send_token(routed.form, event))
    }
}
