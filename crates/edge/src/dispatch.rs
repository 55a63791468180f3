//! The way of a request: read, route, authenticate, contain, charge, place, send, answer.

mod attempt;
mod send;
mod stream;

use crate::config::{RequestKind, RouteRule};
use crate::node::NodeState;
use crate::reply::{ReplyBody, refusal_reply, text_reply};
use crate::request::{CallerRequest, RequestFault};
use attempt::Attempts;
use burdockcleat_core::clock::ClockTime;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use send::OpenAnswer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Time to come back while no configuration is known, in ms: a restarted node learns it within two
/// statuses of the others.
const NO_CONFIG_RETRY_MS: u64 = 500;
/// Longest wait of a request for the first configuration, in ms: a node that has just started learns
/// it within some round trips, after a loss of all nodes within a second.
const CONFIG_WAIT_MS: u64 = 1_000;
/// Part of its deadline that a request may wait so: the caller can still come back.
const CONFIG_WAIT_PARTS: u64 = 3;
/// Output tokens expected of a request that states none.
const DEFAULT_OUTPUT_TOKENS: u64 = 64;
/// Ranks of routes within one rank of workspaces.
const ROUTE_RANKS: u32 = 16;

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request did not run and never will. The time to come back, in ms.
    NotRun { reason: &'static str, retry_after_ms: Option<u64> },
    /// The workspace has used its allowance. The time to come back, in ms.
    OverAllowance { retry_after_ms: u64 },
    /// The request itself is wrong.
    Rejected { status: StatusCode, reason: &'static str },
    /// The request was sent, and its outcome is not known.
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

/// A request with everything that was decided before it is placed.
pub(crate) struct RequestContext {
    pub(crate) node: Rc<NodeState>,
    pub(crate) request: CallerRequest,
    pub(crate) route: RouteRule,
    pub(crate) service: String,
    pub(crate) workspace: Option<String>,
    pub(crate) rank: u32,
    /// Time for which the caller has waited before this attempt, at least, in ms.
    pub(crate) spent_ms: u64,
    pub(crate) fingerprint: u64,
    pub(crate) charge: Option<AllowanceCharge>,
}

/// What a request took from an allowance. Dropped before the request is sent, it is given back.
pub(crate) struct AllowanceCharge {
    node: Rc<NodeState>,
    key: u32,
    amount: u64,
    sent: Cell<bool>,
}

impl AllowanceCharge {
    /// Counts the charge as used: the request is sent now.
    fn confirm(&self) {
        if !self.sent.replace(true) {
            let now = ClockTime::monotonic();
            self.node.ledger.borrow_mut().confirm(self.key, self.amount, now);
        }
    }
}

impl Drop for AllowanceCharge {
    fn drop(&mut self) {
        if !self.sent.get() {
            self.node.ledger.borrow_mut().give_back(self.key, self.amount);
        }
    }
}

impl RequestContext {
    /// Time left until the caller's deadline and the route's timeout, in ms.
    pub(crate) fn left_ms(&self, now: ClockTime) -> u64 {
        let deadline = self.request.deadline_ms.unwrap_or(self.route.timeout_ms);
        deadline.min(self.route.timeout_ms).saturating_sub(now.since(self.request.received))
    }

    /// Time left until the caller stops waiting for the first part of the answer, in ms.
    pub(crate) fn patience_left_ms(&self, now: ClockTime) -> u64 {
        let waited = now.since(self.request.received);
        let patience =
            self.route.stream_gap_timeout_ms().unwrap_or(u64::MAX).saturating_sub(waited);
        self.left_ms(now).min(patience)
    }

    pub(crate) fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.request.prompt_tokens.unwrap_or(0)).unwrap_or(u32::MAX)
    }

    pub(crate) fn output_tokens(&self) -> u32 {
        let request = &self.request;
        let limit = request.max_output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let expected = request.output_hint.map_or(limit, |hint| hint.min(limit));
        u32::try_from(expected).unwrap_or(u32::MAX)
    }

    /// What the decisions on the request depend on, for logs.
    fn describe(&self) -> String {
        let left_ms = self.left_ms(ClockTime::monotonic());
        let (prompt, expected) = (self.prompt_tokens(), self.output_tokens());
        format!(
            " rank={} prompt={prompt} expected_output={expected} spent_ms={} left_ms={left_ms}",
            self.rank, self.spent_ms
        )
    }

    /// Counts prompt tokens that a target read in vain.
    pub(crate) fn count_wasted_prefill(&self, cause: &str) {
        let tokens = u64::from(self.prompt_tokens());
        if tokens > 0 {
            self.node.metrics.borrow_mut().count("wasted_prefill_tokens", cause, tokens);
        }
    }

    /// Counts what the request took from the allowance as used.
    pub(crate) fn confirm_charge(&self) {
        if let Some(charge) = &self.charge {
            charge.confirm();
        }
    }
}

/// Serves a caller's request.
pub(crate) async fn serve(node: Rc<NodeState>, request: Request<Incoming>) -> Response<ReplyBody> {
    let received = ClockTime::monotonic();
    let limits = node.limits();
    let request = match CallerRequest::read(request, &node.http_api, limits, received).await {
        Ok(request) => request,
        Err(fault) => return reject_unreadable(&node, &fault),
    };
    let _running = node.count_running();
    if node.config().is_none() {
        let known = node.register.config_known.notified();
        let limit_ms = request.deadline_ms.map_or(CONFIG_WAIT_MS, |ms| ms / CONFIG_WAIT_PARTS);
        let limit = Duration::from_millis(limit_ms.min(CONFIG_WAIT_MS));
        // Without a document after the wait, the request is refused below.
        let _ = tokio::time::timeout(limit, known).await;
    }
    let attempt = request.attempt.clone();
    let context = match admit(&node, request) {
        Ok(context) => Rc::new(context),
        Err(refusal) => return refuse(&node, &attempt, None, received, &refusal),
    };
    let mut attempts = Attempts::default();
    let last_event = context.request.last_event;
    match attempt::open_answer(&context, &mut attempts, last_event).await {
        Ok(OpenAnswer::Whole(answer)) => {
            log_answer(&context, &attempts, answer.parts.status, "whole");
            answer.into_response(&context)
        }
        Ok(OpenAnswer::Stream(source)) => stream::respond(context, attempts, source),
        Err(refusal) => refuse(&node, &attempt, Some(&context), received, &refusal),
    }
}

/// Everything before the placement: none of it waits.
fn admit(node: &Rc<NodeState>, request: CallerRequest) -> Result<RequestContext, Refusal> {
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
        let key = request.credential.as_deref().ok_or(unknown)?;
        Some(config.find_workspace(key).ok_or(unknown)?)
    };
    let fingerprint = request.fingerprint();
    if node.suspects.borrow().refused(fingerprint, now) {
        let reason = "the request broke several targets";
        return Err(Refusal::NotRun { reason, retry_after_ms: None });
    }
    let service = route.pick_service(rand::random()).unwrap_or_default().to_owned();
    let route_rank = route.priority.min(ROUTE_RANKS - 1);
    let rank = workspace.and_then(|w| w.priority).unwrap_or(0) * ROUTE_RANKS + route_rank;
    let charge = match workspace {
        Some(workspace) if workspace.rate_per_s > 0.0 => {
            let tokens = request.charged_tokens().unwrap_or(workspace.default_tokens);
            let amount = if workspace.counts_tokens { tokens } else { 1 };
            let key = workspace_key(&workspace.name);
            let part = node.admitted_part(now);
            let lag_ms = node.status_pause_ms(now);
            let taken = node.ledger.borrow_mut().take(key, amount, part, lag_ms, now);
            taken.map_err(|retry_after_ms| {
                log::info!(
                    target: "burdockcleat",
                    "event=allowance.exceeded id={} workspace={} amount={amount} admitted_part={part:.2} retry_after_ms={retry_after_ms}",
                    request.attempt, workspace.name
                );
                Refusal::OverAllowance { retry_after_ms }
            })?;
            Some(AllowanceCharge { node: node.clone(), key, amount, sent: Cell::new(false) })
        }
        _ => None,
    };
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
        rank,
        spent_ms,
        fingerprint,
        charge,
    })
}

/// Key of a workspace in the reports between nodes.
pub(crate) fn workspace_key(name: &str) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) >> 32) as u32
}

fn reject_unreadable(node: &NodeState, fault: &RequestFault) -> Response<ReplyBody> {
    let status = match fault {
        RequestFault::NoHost | RequestFault::NoAttempt | RequestFault::Broken(_) => {
            StatusCode::BAD_REQUEST
        }
        RequestFault::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        RequestFault::Slow => StatusCode::REQUEST_TIMEOUT,
    };
    let status_text = status.as_u16();
    log::info!(target: "burdockcleat", "event=request.rejected status={status_text} reason=\"{fault}\"");
    node.metrics.borrow_mut().count("requests_refused", "unreadable", 1);
    text_reply(status, fault.to_string())
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
    refusal.reply()
}

fn log_answer(context: &RequestContext, attempts: &Attempts, status: StatusCode, how: &str) {
    let id = &context.request.attempt;
    let route = &context.route.name;
    let after_ms = ClockTime::monotonic().since(context.request.received);
    let (status, sends) = (status.as_u16(), attempts.sends);
    let first_ms = attempts.first_ms.unwrap_or(after_ms);
    let (waited_ms, pause_ms) = (attempts.waited_ms, attempts.pause_ms);
    let (prompt, output) =
        (context.prompt_tokens(), context.request.max_output_tokens.unwrap_or(0));
    let hint = context.request.output_hint.unwrap_or(0);
    let target = attempts.last_target.as_deref().unwrap_or("-");
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

/// Whether the answer of a route is passed on in parts as it arrives.
pub(crate) fn streamed(route: &RouteRule) -> bool {
    route.kind == RequestKind::Stream
}
