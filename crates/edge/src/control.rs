//! HTTP servers for targets, operators, metrics and the load balancer's readiness checks.

mod rollouts;

use crate::client_stream::{ClientStream, DiscardCount, UnreadMark};
use crate::dispatch::close_unread;
use crate::document::{self, MAX_DOCUMENT_BYTES};
use crate::metrics::MetricSet;
use crate::node::NodeState;
use crate::register::RegisterChange;
use crate::reply::{ReplyBody, json_reply, refusal_reply, text_reply};
use crate::shutdown::ShutdownStage;
use crate::targets::{AnnouncementError, TargetNotice};
use burdockcleat_core::clock::ClockTime;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Timeout of a document change or read, in ms. Operators try another node after 1 s.
const REGISTER_TIMEOUT_MS: u64 = 900;
/// Idle timeout of a connection, in ms.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Retry-after time for clients that this node cannot serve, in ms. Also the pause after a failure
/// to accept a connection.
const RETRY_AFTER_MS: u64 = 300;
/// Longest time after the start that a node waits for targets before it is ready, in ms. Each
/// target announces itself twice within it.
const TARGET_DISCOVERY_WAIT_MS: u64 = 3_000;
/// Size limit of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 << 10;
/// Largest difference between the start of a target and the wall clock of this node, in ms. An entry
/// of the far future would count as the successor of every target at its address.
const MAX_CLOCK_AHEAD_MS: u64 = 24 * 3_600_000;
/// Announcements and leaves are acknowledged only if more than this fraction of the expected nodes
/// is reachable, including this one.
const MIN_REACHABLE_FRACTION: f64 = 0.5;

/// Serves readiness checks.
pub(crate) async fn accept_readiness(node: Rc<NodeState>, listener: TcpListener) {
    serve(listener, move |request, _| {
        let node = node.clone();
        async move { answer_readiness(&node, &request) }
    })
    .await;
}

/// Serves metrics and the state dump.
pub(crate) async fn accept_metrics(node: Rc<NodeState>, listener: TcpListener) {
    serve(listener, move |request, _| {
        let node = node.clone();
        async move { answer_metrics(&node.metrics, &node, request.uri().path()) }
    })
    .await;
}

/// Serves the control API for targets and operators.
pub(crate) async fn accept_control(node: Rc<NodeState>, listener: TcpListener) {
    serve(listener, move |request, unread| {
        let node = node.clone();
        async move { answer_control(node, request, &unread).await }
    })
    .await;
}

async fn serve<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>, UnreadMark) -> F + Clone + 'static,
    F: Future<Output = Response<ReplyBody>> + 'static,
{
    let discarding = DiscardCount::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "burdockcleat", "event=control.accept_failed cause=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(RETRY_AFTER_MS)).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "burdockcleat", "event=control.socket_failed cause=\"{error}\"");
            continue;
        }
        let handle = handle.clone();
        let unread = UnreadMark::default();
        let stream = ClientStream::new(stream, unread.clone(), discarding.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let reply = handle(request, unread.clone());
                async move { Ok::<_, Infallible>(reply.await) }
            });
            let connection = Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(target: "burdockcleat", "event=control.connection_ended cause=\"{error}\"");
            }
        });
    }
}

fn answer_readiness(node: &NodeState, request: &Request<Incoming>) -> Response<ReplyBody> {
    if request.uri().path() != node.http_api.paths.ready {
        return text_reply(StatusCode::NOT_FOUND, "no such call");
    }
    if is_ready(node) {
        text_reply(StatusCode::OK, "ready")
    } else {
        text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

/// Returns whether the node has a document, knows targets and is not shutting down. Missing targets
/// are tolerated after [`TARGET_DISCOVERY_WAIT_MS`].
fn is_ready(node: &NodeState) -> bool {
    let now = ClockTime::monotonic();
    let targets_known = !node.targets.borrow().is_empty();
    *node.stage.borrow() == ShutdownStage::Running
        && node.config().is_some()
        && (targets_known || now.since(node.started) > TARGET_DISCOVERY_WAIT_MS)
}

fn answer_metrics(
    metrics: &RefCell<MetricSet>,
    node: &NodeState,
    path: &str,
) -> Response<ReplyBody> {
    if path == "/state" {
        let now = ClockTime::monotonic();
        let mut lines = node.scheduler.borrow().describe(now);
        lines.extend(node.suspects.borrow().describe(now));
        return text_reply(StatusCode::OK, lines.join("\n"));
    }
    text_reply(StatusCode::OK, metrics.borrow().render())
}

async fn answer_control(
    node: Rc<NodeState>,
    request: Request<Incoming>,
    unread: &UnreadMark,
) -> Response<ReplyBody> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let paths = &node.http_api.paths;
    let limit = if path == paths.config { MAX_DOCUMENT_BYTES } else { MAX_ANNOUNCEMENT_BYTES };
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let mut response = text_reply(StatusCode::BAD_REQUEST, error.to_string());
            close_unread(unread, &mut response);
            return response;
        }
    };
    if path == paths.config {
        return match parts.method {
            Method::PUT => put_config(&node, body).await,
            Method::GET => get_config(&node).await,
            _ => text_reply(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
        };
    }
    if let Some(service) = path.strip_prefix(&paths.rollouts)
        && let Some(reply) = rollouts::answer_rollouts(&node, &parts.method, service, &body).await
    {
        return reply;
    }
    let Some(id) = path.strip_prefix(&paths.targets).filter(|id| !id.is_empty()) else {
        return text_reply(StatusCode::NOT_FOUND, "no such call");
    };
    match parts.method {
        Method::PUT => announce(&node, id, &body).await,
        Method::DELETE => leave(&node, id),
        _ => text_reply(StatusCode::METHOD_NOT_ALLOWED, "use PUT or DELETE"),
    }
}

/// Returns whether this node receives statuses from a majority of the nodes. Without a majority, an
/// acknowledged notice might not reach the other nodes.
fn reaches_majority(node: &NodeState) -> bool {
    node.reachable_fraction(ClockTime::monotonic()) > MIN_REACHABLE_FRACTION
}

fn isolated_reply() -> Response<ReplyBody> {
    let reason = "this node does not hear the others";
    refusal_reply(StatusCode::SERVICE_UNAVAILABLE, reason, Some(RETRY_AFTER_MS))
}

async fn announce(node: &Rc<NodeState>, id: &str, body: &[u8]) -> Response<ReplyBody> {
    let decoded = (node.http_api.decode_announcement)(id, body).and_then(|announcement| {
        let latest = ClockTime::wall().plus(MAX_CLOCK_AHEAD_MS).as_ms();
        if announcement.incarnation > latest {
            return Err(AnnouncementError::FarFuture(announcement.incarnation));
        }
        Ok(announcement)
    });
    let announcement = match decoded {
        Ok(announcement) => announcement,
        Err(error) => {
            log::info!(target: "burdockcleat", "event=target.unreadable target={id} cause=\"{error}\"");
            return text_reply(StatusCode::BAD_REQUEST, error.to_string());
        }
    };
    if !reaches_majority(node) {
        return isolated_reply();
    }
    if !node.receive_announcement(announcement).await {
        let reason = "the target may have left, and gave no clear answer";
        return refusal_reply(StatusCode::SERVICE_UNAVAILABLE, reason, Some(RETRY_AFTER_MS));
    }
    let address = node.settings.control_address.to_string();
    json_reply(StatusCode::OK, (node.http_api.encode_announce_reply)(&address))
}

fn leave(node: &Rc<NodeState>, id: &str) -> Response<ReplyBody> {
    if !reaches_majority(node) {
        return isolated_reply();
    }
    let incarnation = node.targets.borrow().leaving_incarnation(id, ClockTime::wall());
    node.apply_notice(&TargetNotice::Left { id: id.to_owned(), incarnation }, true);
    json_reply(StatusCode::OK, "{}")
}

async fn put_config(node: &Rc<NodeState>, body: Bytes) -> Response<ReplyBody> {
    let config = match (node.http_api.decode_config)(&body) {
        Ok(config) => config,
        Err(error) => {
            log::info!(target: "burdockcleat", "event=config.rejected cause=\"{error}\"");
            return text_reply(StatusCode::BAD_REQUEST, error.to_string());
        }
    };
    let version = config.version;
    let compressed = match document::compress(&body) {
        Ok(compressed) => compressed,
        Err(error) => {
            log::error!(target: "burdockcleat", "event=config.rejected version={version} cause=\"compressing: {error}\"");
            return refusal_reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "try again",
                Some(RETRY_AFTER_MS),
            );
        }
    };
    let change = RegisterChange::Document { version, body: Arc::new(compressed) };
    let started = ClockTime::monotonic();
    let result = node.submit_change(&change, REGISTER_TIMEOUT_MS).await;
    let took_ms = ClockTime::monotonic().since(started);
    match result {
        Ok(value) => {
            log::info!(
                target: "burdockcleat",
                "event=config.acknowledged version={version} held={} took_ms={took_ms}", value.version
            );
            json_reply(StatusCode::OK, "{}")
        }
        Err(error) => {
            log::info!(
                target: "burdockcleat",
                "event=config.not_acknowledged version={version} cause=\"{error}\" took_ms={took_ms}"
            );
            refusal_reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "no majority answered",
                Some(RETRY_AFTER_MS),
            )
        }
    }
}

async fn get_config(node: &Rc<NodeState>) -> Response<ReplyBody> {
    match node.read_register(REGISTER_TIMEOUT_MS).await {
        Ok(value) if value.version > 0 => match document::decompress(&value.body) {
            Ok(document) => json_reply(StatusCode::OK, document),
            Err(error) => {
                log::error!(target: "burdockcleat", "event=config.unreadable version={} cause=\"{error}\"", value.version);
                text_reply(StatusCode::INTERNAL_SERVER_ERROR, "the stored document is damaged")
            }
        },
        Ok(_) => {
            refusal_reply(StatusCode::SERVICE_UNAVAILABLE, "no document yet", Some(RETRY_AFTER_MS))
        }
        Err(error) => {
            log::info!(target: "burdockcleat", "event=config.read_failed cause=\"{error}\"");
            refusal_reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "no majority answered",
                Some(RETRY_AFTER_MS),
            )
        }
    }
}
