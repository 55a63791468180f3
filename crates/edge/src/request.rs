//! Reads and decodes the requests of callers.

use crate::budgeted_body::{CollectError, collect_body, stated_length};
use crate::config::RequestLimits;
use crate::http_api::HeaderNames;
use crate::memory_budget::{MemoryBudget, MemoryUse};
use crate::node::NodeState;
use crate::suspects::{RequestTrait, SuspectKey};
use burdockcleat_core::clock::ClockTime;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request};
use std::time::Duration;
use thiserror::Error;

/// Highest rank of a prompt part as a suspect. The whole request has the next one.
const MAX_PART_RANK: u8 = u8::MAX - 1;
/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 64;
/// Maximum number of characters of a part's id in log lines.
const MAX_LOGGED_ID_CHARS: usize = 24;
/// Timeout for the body of a request, in ms; equal to the default idle timeout of a connection.
const BODY_TIMEOUT_MS: u64 = 15_000;

/// Error for a request that cannot be read.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum RequestError {
    #[error("the request names no host")]
    MissingHost,
    #[error("the request has no attempt id")]
    MissingAttemptId,
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// Carries the attempt id.
    #[error("no memory is free for the body of {0}")]
    NoMemory(String),
    #[error("the body did not arrive in time")]
    BodyTimeout,
    #[error("reading the body: {0}")]
    BodyRead(String),
}

/// Request of a caller, read completely.
pub(crate) struct CallerRequest {
    pub(crate) attempt: String,
    pub(crate) method: Method,
    /// Path and query, as the caller sent them.
    pub(crate) uri: String,
    pub(crate) path: String,
    pub(crate) host: String,
    pub(crate) credential: Option<String>,
    /// Headers to forward to the target.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) received: ClockTime,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) prompt_tokens: Option<u64>,
    pub(crate) max_output_tokens: Option<u64>,
    pub(crate) output_hint: Option<u64>,
    pub(crate) last_event: Option<u64>,
    /// Attempt that brought the first event of the stream that the request takes up.
    pub(crate) first_attempt: Option<String>,
    /// Lists of the parts of the prompt, as the caller sent them.
    part_lists: Vec<HeaderValue>,
}

impl CallerRequest {
    /// Reads and decodes a complete request.
    pub(crate) async fn read(
        request: Request<Incoming>,
        node: &NodeState,
        limits: RequestLimits,
        received: ClockTime,
    ) -> Result<Self, RequestError> {
        let (parts, body) = request.into_parts();
        let names = &node.http_api.headers;
        let body = match &node.memory_budget {
            None => read_body(body, limits.body_bytes).await?,
            Some(budget) => {
                let attempt = text(&parts.headers, &names.attempt).unwrap_or("-");
                read_budgeted_body(body, limits.body_bytes, budget, attempt).await?
            }
        };
        let host = text(&parts.headers, &header::HOST)
            .or_else(|| parts.uri.authority().map(|authority| authority.as_str()))
            .ok_or(RequestError::MissingHost)?;
        let host = host.split(':').next().unwrap_or(host).to_lowercase();
        let attempt = text(&parts.headers, &names.attempt).ok_or(RequestError::MissingAttemptId)?;
        let number = |name| text(&parts.headers, name).and_then(|value| value.parse().ok());
        let (prompt_tokens, max_output_tokens) = token_counts(&parts.headers, names);
        Ok(Self {
            attempt: attempt.to_owned(),
            uri: parts.uri.path_and_query().map_or("/", |uri| uri.as_str()).to_owned(),
            path: parts.uri.path().to_owned(),
            host,
            credential: credential(&parts.headers),
            deadline_ms: number(&names.deadline),
            prompt_tokens,
            max_output_tokens,
            output_hint: number(&names.length_hint),
            last_event: number(&names.last_event),
            first_attempt: text(&parts.headers, &names.first_attempt).map(str::to_owned),
            part_lists: parts.headers.get_all(&names.prompt_parts).iter().cloned().collect(),
            headers: forwarded_headers(&parts.headers, names),
            method: parts.method,
            body,
            received,
        })
    }

    /// Returns the tokens of prompt and output that count against an allowance.
    pub(crate) fn charged_tokens(&self) -> Option<u64> {
        Some(self.prompt_tokens? + self.max_output_tokens?)
    }

    /// Formats the shared parts of the prompt with their hashes, for log lines.
    pub(crate) fn describe_parts(&self) -> String {
        let ids = shared_parts(&self.part_lists);
        let described = ids.iter().take(MAX_LOGGED_PARTS).map(|id| {
            let readable = id.chars().filter(char::is_ascii_alphanumeric).take(MAX_LOGGED_ID_CHARS);
            format!("{}={:x}", readable.collect::<String>(), part_key(id).0)
        });
        let omitted = ids.len().saturating_sub(MAX_LOGGED_PARTS);
        let omitted = (omitted > 0).then(|| format!("+{omitted}"));
        described.chain(omitted).collect::<Vec<_>>().join(",")
    }

    /// Returns what the request may have in common with others, most general first: the shared
    /// parts of its prompt, and path, credential and body together.
    pub(crate) fn traits(&self) -> Vec<RequestTrait> {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        for part in [self.uri.as_bytes(), self.credential.as_deref().unwrap_or("").as_bytes()] {
            hash.update(part);
            hash.update(&[0]);
        }
        hash.update(&self.body);
        let whole = RequestTrait { key: SuspectKey(hash.digest()), rank: u8::MAX };
        let parts = shared_parts(&self.part_lists).into_iter().enumerate().map(|(index, id)| {
            let rank = u8::try_from(index).map_or(MAX_PART_RANK, |rank| rank.min(MAX_PART_RANK));
            RequestTrait { key: part_key(id), rank }
        });
        parts.chain([whole]).collect()
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, RequestError> {
    let collect = Limited::new(body, limit).collect();
    let collected = tokio::time::timeout(Duration::from_millis(BODY_TIMEOUT_MS), collect).await;
    match collected.map_err(|_| RequestError::BodyTimeout)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RequestError::TooLong(limit)),
        Err(error) => Err(RequestError::BodyRead(error.to_string())),
    }
}

/// Reads a body into the memory of a budget. The stated length is reserved before the body is read.
async fn read_budgeted_body(
    body: Incoming,
    limit: usize,
    budget: &MemoryBudget,
    attempt: &str,
) -> Result<Bytes, RequestError> {
    let length = stated_length(&body).unwrap_or(0);
    if length > limit {
        return Err(RequestError::TooLong(limit));
    }
    let no_memory = || RequestError::NoMemory(attempt.to_owned());
    let guard = budget.try_reserve(MemoryUse::Body, length).ok_or_else(no_memory)?;
    let collect = collect_body(body, limit, guard, false);
    let collected = tokio::time::timeout(Duration::from_millis(BODY_TIMEOUT_MS), collect).await;
    collected.map_err(|_| RequestError::BodyTimeout)?.map_err(|error| match error {
        CollectError::TooLong => RequestError::TooLong(limit),
        CollectError::NoMemory => no_memory(),
        CollectError::Broken(error) => RequestError::BodyRead(error.to_string()),
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn credential(headers: &HeaderMap) -> Option<String> {
    let value = text(headers, &header::AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}

fn token_counts(headers: &HeaderMap, names: &HeaderNames) -> (Option<u64>, Option<u64>) {
    let Some((prompt, output)) =
        text(headers, &names.token_counts).and_then(|value| value.split_once(','))
    else {
        return (None, None);
    };
    (prompt.trim().parse().ok(), output.trim().parse().ok())
}

/// Returns the ids of the parts of a prompt without the last one, which belongs to the request itself.
/// Their number is bounded by the size limit of request heads.
fn shared_parts(lists: &[HeaderValue]) -> Vec<&str> {
    let lists = lists.iter().filter_map(|list| list.to_str().ok());
    let ids = lists.flat_map(|list| list.split(','));
    let mut ids: Vec<_> = ids.map(|part| part.split(':').next().unwrap_or(part).trim()).collect();
    ids.pop();
    ids
}

fn part_key(id: &str) -> SuspectKey {
    SuspectKey(xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
}

/// Returns whether a header applies only to one connection.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ]
    .contains(name)
        || ["keep-alive", "proxy-connection"].contains(&name.as_str())
}

fn forwarded_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        // Callers must not be able to remove the headers that identify their request.
        .filter(|name| *name != names.attempt && *name != header::HOST)
        .collect();
    let own = [header::CONTENT_LENGTH, header::AUTHORIZATION, header::EXPECT];
    let keep = |name: &HeaderName| {
        !is_hop_by_hop(name)
            && !listed.contains(name)
            && !own.contains(name)
            && !names.internal.contains(name)
            && *name != names.workspace
            && *name != names.expected_target
            && *name != names.deadline
    };
    headers
        .iter()
        .filter(|(name, _)| keep(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Converts text from a document or a target to a header value. Returns `None` if the text contains
/// characters that are invalid in a header.
pub(crate) fn header_value(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(text).ok()
}
