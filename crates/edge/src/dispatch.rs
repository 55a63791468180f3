//! Request pipeline: read, route, authenticate, block crash suspects, reserve the allowance, place,
//! send and respond.

mod queue;
mod response_body;
mod retry;
mod send;
mod silence;
mod stream;
mod unread;

pub(crate) use unread::close_unread;

use crate::client_stream::UnreadMark;
use crate::config::{RequestKind, RouteRule};
use crate::node::NodeState;
use crate::reply::{ReplyBody, refusal_reply, text_reply};
use crate::request::CallerRequest;
use crate::streams::{StreamKey, StreamRecord};
use crate::suspects::RequestTrait;
use burdockcleat_core::clock::ClockTime;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};
use retry::SendHistory;
use send::TargetResponse;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Retry-after time while no configuration is known, in ms. A restarted node learns the
/// configuration within two status datagrams of the other nodes.
const NO_CONFIG_RETRY_MS: u64 = 500;
/// Longest wait of a request for the first configuration or for where its stream began, in ms. A node
/// that has just started learns both within a few round trips, or within a second if all nodes were
/// down.
const START_WAIT_MS: u64 = 1_000;
/// Retry-after time while nobody knows where a stream began, in ms. Nodes that hold its record may
/// be starting.
const UNKNOWN_ORIGIN_RETRY_MS: u64 = 500;
/// Reason for refusing a request that has what crashes targets.
const CRASHES_TARGETS: &str = "requests like this one crash targets";
/// Reason for refusing a request because the node is shutting down.
const STOPPING: &str = "the node is stopping";
/// Retry-after time of a node that is shutting down, in ms. Other nodes serve the request.
const STOPPING_RETRY_MS: u64 = 50;
/// Divisor of a request's deadline that gives its longest wait for what a node learns at its start.
/// It leaves the caller time to retry.
const START_WAIT_DIVISOR: u64 = 3;
/// Output tokens assumed for a request that states no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 64;
/// Number of ranks for each workspace priority, one per route priority. Lower route priorities
/// share the last rank.
const ROUTE_RANKS: u32 = 16;

/// Reason why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request did not run and never will. Carries the retry-after time, in ms.
    NotRun { reason: &'static str, retry_after_ms: Option<u64> },
    /// The workspace has used up its allowance. Carries the retry-after time, in ms.
    OverAllowance { retry_after_ms: u64 },
    /// The request is invalid.
    Rejected { status: StatusCode, reason: &'static str },
    /// The request was sent, but its outcome is unknown.
    Failed { status: StatusCode, reason: &'static str },
}

impl Refusal {
    pub(crate) const fn reason(&self) -> &'static str {
        match self {
            Self::NotRun { reason, .. }
            | Self::Rejected { reason, .. }
            | Self::Failed { reason, .. } => reason,
            Self::OverAllowance { .. } => "over the allowance of the workspace",
        }
    }

    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverAllowance { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Rejected { status, .. } | Self::Failed { status, .. } => *status,
        }
    }

    fn reply(&self) -> Response<ReplyBody> {
        match self {
            Self::NotRun { reason, retry_after_ms } => {
                refusal_reply(self.status(), reason, *retry_after_ms)
            }
            Self::OverAllowance { retry_after_ms } => {
                refusal_reply(self.status(), self.reason(), Some(*retry_after_ms))
            }
            Self::Rejected { .. } | Self::Failed { .. } => text_reply(self.status(), self.reason()),
        }
    }
}

/// Refusal of a request that was not sent before the node exits.
const STOPPING_REFUSAL: Refusal =
    Refusal::NotRun { reason: STOPPING, retry_after_ms: Some(STOPPING_RETRY_MS) };

/// Request with the results of admission, which it needs to be placed and sent.
pub(crate) struct RequestContext {
    pub(crate) node: Rc<NodeState>,
    pub(crate) request: CallerRequest,
    pub(crate) route: RouteRule,
    pub(crate) service: String,
    pub(crate) workspace: Option<String>,
    /// Weight of the workspace when targets are scarce: its allowance per second.
    pub(crate) share: f32,
    pub(crate) rank: u32,
    /// Minimum time for which the caller waited before this attempt, in ms.
    pub(crate) spent_ms: u64,
    /// What the request may have in common with others that crash targets.
    pub(crate) traits: Vec<RequestTrait>,
    pub(crate) reservation: Option<AllowanceReservation>,
    /// Where the stream began that the request takes up again.
    pub(crate) origin: Option<StreamRecord>,
}

/// Reservation of a request in its workspace's allowance. It is released if dropped before the
/// request is sent.
pub(crate) struct AllowanceReservation {
    node: Rc<NodeState>,
    key: u32,
    amount: u64,
    sent: Cell<bool>,
}

impl AllowanceReservation {
    /// Turns the reservation into usage, when the request is sent.
    fn commit(&self) {
        if !self.sent.replace(true) {
            let now = ClockTime::monotonic();
            self.node.allowances.borrow_mut().commit(self.key, self.amount, now);
        }
    }
}

impl Drop for AllowanceReservation {
    fn drop(&mut self) {
        if !self.sent.get() {
            self.node.allowances.borrow_mut().release(self.key, self.amount);
        }
    }
}

impl RequestContext {
    /// Returns the time left until the caller's deadline or the route's timeout, in ms.
    pub(crate) fn left_ms(&self, now: ClockTime) -> u64 {
        let deadline = self.request.deadline_ms.unwrap_or(self.route.timeout_ms);
        deadline.min(self.route.timeout_ms).saturating_sub(now.since(self.request.received))
    }

    /// Returns the time left until the caller stops waiting for the start of the response, in ms.
    pub(crate) fn first_response_left_ms(&self, now: ClockTime) -> u64 {
        let waited = now.since(self.request.received);
        let gap_left_ms =
            self.route.stream_gap_timeout_ms().unwrap_or(u64::MAX).saturating_sub(waited);
        self.left_ms(now).min(gap_left_ms)
    }

    pub(crate) fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.request.prompt_tokens.unwrap_or(0)).unwrap_or(u32::MAX)
    }

    pub(crate) fn output_tokens(&self) -> u32 {
        let limit = self.max_output_tokens();
        let hint = self.request.output_hint.map(|hint| u32::try_from(hint).unwrap_or(u32::MAX));
        hint.map_or(limit, |hint| hint.min(limit))
    }

    pub(crate) fn max_output_tokens(&self) -> u32 {
        let limit = self.request.max_output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        u32::try_from(limit).unwrap_or(u32::MAX)
    }

    /// Returns the hash of path, credential and body, which a caller's retry has in common.
    pub(crate) fn identity(&self) -> u64 {
        self.traits.last().map_or(0, |whole| whole.key.0)
    }

    /// Returns the stream that the request begins or goes on with, if it may be taken up.
    pub(crate) fn stream(&self) -> Option<StreamKey> {
        let request = &self.request;
        let first = request.first_attempt.as_ref().unwrap_or(&request.attempt);
        self.route.resumable.then(|| StreamKey::new(first))
    }

    /// Formats the inputs of the decisions about the request, for log lines.
    fn describe(&self) -> String {
        let left_ms = self.left_ms(ClockTime::monotonic());
        let (prompt, expected) = (self.prompt_tokens(), self.output_tokens());
        format!(
            " rank={} prompt={prompt} expected_output={expected} spent_ms={} left_ms={left_ms}",
            self.rank, self.spent_ms
        )
    }

    /// Counts the prompt tokens that a target processed without a usable result.
    pub(crate) fn count_wasted_prefill(&self, cause: &str) {
        let tokens = u64::from(self.prompt_tokens());
        if tokens > 0 {
            self.node.metrics.borrow_mut().count("wasted_prefill_tokens", cause, tokens);
        }
    }

    /// Turns the request's reservation into usage, if it has one.
    pub(crate) fn commit_reservation(&self) {
        if let Some(reservation) = &self.reservation {
            reservation.commit();
        }
    }
}

/// Serves the request of a caller.
pub(crate) async fn serve(
    node: Rc<NodeState>,
    request: Request<Incoming>,
    unread: &UnreadMark,
) -> Response<ReplyBody> {
    let received = ClockTime::monotonic();
    let limits = node.limits();
    let read = tokio::select! {
        read = CallerRequest::read(request, &node, limits, received) => read,
        () = node.until_last_answers() => {
            return refuse(&node, "-", None, received, &STOPPING_REFUSAL);
        }
    };
    let request = match read {
        Ok(request) => request,
        Err(error) => return unread::reject_unread(&node, &error, received, unread),
    };
    let _running = node.track_running();
    let attempt = request.attempt.clone();
    let admitted = tokio::select! {
        admitted = admit_when_known(&node, request) => admitted,
        () = node.until_last_answers() => Err(STOPPING_REFUSAL),
    };
    let context = match admitted {
        Ok(context) => Rc::new(context),
        Err(refusal) => return refuse(&node, &attempt, None, received, &refusal),
    };
    let mut history = SendHistory::new(context.origin.map(|origin| origin.version));
    let last_event = context.request.last_event;
    match retry::send_until_answered(&context, &mut history, last_event, None).await {
        Ok(TargetResponse::Complete(response)) => {
            log_response(&context, &history, response.parts.status, "whole");
            response.into_response(&context)
        }
        Ok(TargetResponse::Stream(source)) => stream::respond(context, history, source),
        Err(refusal) => refuse(&node, &attempt, Some(&context), received, &refusal),
    }
}

/// Admits a request. Waits a while for what a node that has just started does not know yet.
async fn admit_when_known(
    node: &Rc<NodeState>,
    request: CallerRequest,
) -> Result<RequestContext, Refusal> {
    let limit_ms = request.deadline_ms.map_or(START_WAIT_MS, |ms| ms / START_WAIT_DIVISOR);
    let limit_ms = limit_ms.min(START_WAIT_MS);
    if node.config().is_none() {
        let known = node.register.config_known.notified();
        // If there is still no document after the wait, the request is refused.
        let _ = tokio::time::timeout(Duration::from_millis(limit_ms), known).await;
    }
    let origin = locate_origin(node, &request, limit_ms).await?;
    admit(node, request, origin)
}

/// Returns where the stream began that a request takes up again, or `None` if it takes up none.
async fn locate_origin(
    node: &Rc<NodeState>,
    request: &CallerRequest,
    limit_ms: u64,
) -> Result<Option<StreamRecord>, Refusal> {
    let begun = request.last_event.is_some() || request.first_attempt.is_some();
    let config = node.config().filter(|_| begun);
    let route = config.as_ref().and_then(|config| config.find_route(&request.host, &request.path));
    if !route.is_some_and(|route| route.resumable) {
        return Ok(None);
    }
    let reason = "the version that began the stream is not known";
    let unknown = Refusal::NotRun { reason, retry_after_ms: Some(UNKNOWN_ORIGIN_RETRY_MS) };
    let attempt = request.first_attempt.as_deref().ok_or(unknown)?;
    let origin = node.locate_stream(attempt, limit_ms).await.ok_or(unknown)?;
    log::info!(
        target: "burdockcleat",
        "event=stream.taken_up id={} began_as={attempt} version={:x}",
        request.attempt, origin.version.0
    );
    Ok(Some(origin))
}

/// Routes, authenticates and admits a request. Never waits.
fn admit(
    node: &Rc<NodeState>,
    request: CallerRequest,
    origin: Option<StreamRecord>,
) -> Result<RequestContext, Refusal> {
    let now = ClockTime::monotonic();
    let reason = "no configuration is known yet";
    let no_config = Refusal::NotRun { reason, retry_after_ms: Some(NO_CONFIG_RETRY_MS) };
    let config = node.config().ok_or(no_config)?;
    let route = config
        .find_route(&request.host, &request.path)
        .ok_or(Refusal::Rejected { status: StatusCode::NOT_FOUND, reason: "no route matches" })?
        .clone();
    let workspace = if route.auth_exempt || config.workspaces.is_none() {
        None
    } else {
        let unknown =
            Refusal::Rejected { status: StatusCode::UNAUTHORIZED, reason: "unknown credential" };
        let credential = request.credential.as_deref().ok_or(unknown)?;
        Some(config.find_workspace(credential).ok_or(unknown)?)
    };
    let traits = request.traits();
    if node.suspects.borrow().find_blocked(&traits).is_some() {
        return Err(Refusal::NotRun { reason: CRASHES_TARGETS, retry_after_ms: None });
    }
    let service = match origin {
        Some(origin) => route.find_service(origin.service).ok_or(Refusal::NotRun {
            reason: "the route has left the service that began the stream",
            retry_after_ms: None,
        })?,
        None => route.pick_service(rand::random()).unwrap_or_default(),
    };
    let service = service.to_owned();
    let route_rank = route.priority.min(ROUTE_RANKS - 1);
    let workspace_rank = workspace.and_then(|workspace| workspace.priority).unwrap_or(0);
    let rank = workspace_rank.saturating_mul(ROUTE_RANKS).saturating_add(route_rank);
    let reservation = match workspace {
        Some(workspace) if workspace.rate_per_s > 0.0 => {
            let tokens = request.charged_tokens().unwrap_or(workspace.default_tokens);
            let amount = if workspace.counts_tokens { tokens } else { 1 };
            let key = workspace_key(&workspace.name);
            let view = node.node_view(now);
            let reserved = node.allowances.borrow_mut().reserve(key, amount, &view, now);
            reserved.map_err(|retry_after_ms| {
                log::info!(
                    target: "burdockcleat",
                    "event=allowance.exceeded id={} workspace={} amount={amount} restricted={} absent={} retry_after_ms={retry_after_ms}",
                    request.attempt, workspace.name, view.is_restricted(), view.absent()
                );
                Refusal::OverAllowance { retry_after_ms }
            })?;
            Some(AllowanceReservation { node: node.clone(), key, amount, sent: Cell::new(false) })
        }
        _ => None,
    };
    let share = workspace.map_or(0.0, |workspace| workspace.rate_per_s as f32);
    let share = if share > 0.0 { share } else { 1.0 };
    let workspace = workspace.map(|workspace| workspace.name.clone());
    let spent_ms = request
        .deadline_ms
        .map_or(0, |ms| node.deadlines.borrow_mut().spent_ms(&route.name, ms, now));
    node.budget.borrow_mut().count_request(&service, node.node_count(now), now);
    let node = node.clone();
    Ok(RequestContext {
        node,
        request,
        route,
        service,
        workspace,
        share,
        rank,
        spent_ms,
        traits,
        reservation,
        origin,
    })
}

/// Returns the key of a workspace in the reports between nodes.
pub(crate) fn workspace_key(name: &str) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) >> 32) as u32
}

fn refuse(
    node: &NodeState,
    attempt: &str,
    context: Option<&RequestContext>,
    received: ClockTime,
    refusal: &Refusal,
) -> Response<ReplyBody> {
    let status = refusal.status().as_u16();
    let reason = refusal.reason();
    let after_ms = ClockTime::monotonic().since(received);
    let version = node.config().map_or(0, |config| config.version);
    let route = context.map_or("-", |context| &context.route.name);
    let inputs = context.map(RequestContext::describe).unwrap_or_default();
    log::info!(
        target: "burdockcleat",
        "event=request.refused id={attempt} route={route} status={status} reason=\"{reason}\" after_ms={after_ms} config={version}{inputs}"
    );
    node.metrics.borrow_mut().count("requests_refused", reason, 1);
    let mut response = refusal.reply();
    if node.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn log_response(context: &RequestContext, history: &SendHistory, status: StatusCode, how: &str) {
    let id = &context.request.attempt;
    let route = &context.route.name;
    let now = ClockTime::monotonic();
    let after_ms = now.since(context.request.received);
    if let Some(sent) = history.first_sent {
        context.node.durations.borrow_mut().record(route, now.since(sent), now);
    }
    let (status, sends) = (status.as_u16(), history.sends);
    let first_ms = history.first_ms.unwrap_or(after_ms);
    let (waited_ms, pause_ms) = (history.waited_ms, history.pause_ms);
    let (prompt, output) =
        (context.prompt_tokens(), context.request.max_output_tokens.unwrap_or(0));
    let hint = context.request.output_hint.unwrap_or(0);
    let target = history.last_target.as_deref().unwrap_or("-");
    log::info!(
        target: "burdockcleat",
        "event=request.answered id={id} route={route} status={status} how={how} target={target} sends={sends} waited_ms={waited_ms} first_ms={first_ms} pause_ms={pause_ms} after_ms={after_ms} prompt={prompt} output={output} hint={hint} rank={} objective_ms={} allowed_pause_ms={} spent_ms={}",
        context.rank, context.route.objective_ms, context.route.pause_ms.unwrap_or(0), context.spent_ms
    );
    let mut metrics = context.node.metrics.borrow_mut();
    let on_time = status < 300 && first_ms <= context.route.objective_ms;
    let label = format!("rank{}", context.rank);
    metrics.record("first_latency", &label, first_ms);
    metrics.record("answer_latency", &label, after_ms);
    metrics.record("placement_wait", &label, waited_ms);
    metrics.count(if on_time { "requests_on_time" } else { "requests_late" }, &label, 1);
}

/// Returns whether responses of a route are forwarded as they arrive.
pub(crate) fn is_streamed(route: &RouteRule) -> bool {
    route.kind == RequestKind::Stream
}
