//! A caller's request, read in full and decoded once.

use crate::config::RequestLimits;
use crate::http_api::{HeaderNames, HttpApi};
use burdockcleat_core::clock::ClockTime;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request};
use std::time::Duration;
use thiserror::Error;

/// Longest time for the body of a request, in ms: as long as an idle connection may take.
const BODY_MS: u64 = 15_000;

/// A request that cannot be read.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum RequestFault {
    #[error("the request names no host")]
    NoHost,
    #[error("the request has no attempt id")]
    NoAttempt,
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    #[error("the body did not arrive in time")]
    Slow,
    #[error("reading the body: {0}")]
    Broken(String),
}

/// A caller's request.
pub(crate) struct CallerRequest {
    pub(crate) attempt: String,
    pub(crate) method: Method,
    /// Path with query, as the caller sent it.
    pub(crate) uri: String,
    pub(crate) path: String,
    pub(crate) host: String,
    pub(crate) credential: Option<String>,
    /// Headers to pass on.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) received: ClockTime,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) prompt_tokens: Option<u64>,
    pub(crate) max_output_tokens: Option<u64>,
    pub(crate) output_hint: Option<u64>,
    pub(crate) last_event: Option<u64>,
}

impl CallerRequest {
    /// Reads a request in full.
    pub(crate) async fn read(
        request: Request<Incoming>,
        http_api: &HttpApi,
        limits: RequestLimits,
        received: ClockTime,
    ) -> Result<Self, RequestFault> {
        let (parts, body) = request.into_parts();
        let body = read_body(body, limits.body_bytes).await?;
        let names = &http_api.headers;
        let host = text(&parts.headers, &header::HOST)
            .or_else(|| parts.uri.authority().map(|authority| authority.as_str()))
            .ok_or(RequestFault::NoHost)?;
        let host = host.split(':').next().unwrap_or(host).to_lowercase();
        let attempt = text(&parts.headers, &names.attempt).ok_or(RequestFault::NoAttempt)?;
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
            headers: forwarded_headers(&parts.headers, names),
            method: parts.method,
            body,
            received,
        })
    }

    /// Tokens of prompt and output that an allowance is charged for.
    pub(crate) fn charged_tokens(&self) -> Option<u64> {
        Some(self.prompt_tokens? + self.max_output_tokens?)
    }

    /// What makes a later request the same as this one, for requests that crash targets.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        for part in [self.uri.as_bytes(), self.credential.as_deref().unwrap_or("").as_bytes()] {
            hash.update(part);
            hash.update(&[0]);
        }
        hash.update(&self.body);
        hash.digest()
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, RequestFault> {
    let collect = Limited::new(body, limit).collect();
    let collected = tokio::time::timeout(Duration::from_millis(BODY_MS), collect).await;
    match collected.map_err(|_| RequestFault::Slow)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RequestFault::TooLong(limit)),
        Err(error) => Err(RequestFault::Broken(error.to_string())),
    }
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

/// Whether a header concerns only one connection.
pub(crate) fn hop_by_hop(name: &HeaderName) -> bool {
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
        // A caller cannot have the headers removed that describe its request.
        .filter(|name| *name != names.attempt && *name != header::HOST)
        .collect();
    let own = [header::CONTENT_LENGTH, header::AUTHORIZATION, header::EXPECT];
    let keep = |name: &HeaderName| {
        !hop_by_hop(name)
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

/// A header value from text that a document or a target chose; none if it cannot stand in a header.
pub(crate) fn header_value(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(text).ok()
}
