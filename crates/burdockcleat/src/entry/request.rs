//! First filters of the chain: request id, body, authentication and routing.

use super::config::ActiveConfig;
use super::refusal::FilterRefusal;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::{PoolKind, RouteQuery};
use burdockcleat_core::keys::{RequestFingerprint, RequestKey};
use burdockcleat_core::message::SubmitRequest;
use burdockcleat_core::outcome::ReasonCode;
use burdockcleat_core::prompt::{block_hashes, token_count};
use serde::Deserialize;
use std::io::Read;
use std::sync::Arc;
use tiny_http::Request;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of prefix blocks that are reported to the leader. More would cost more control
/// traffic than they save.
const MAX_PREFIX_BLOCKS: usize = 64;
const MAX_REQUEST_ID_CHARS: usize = 128;
const MAX_DEADLINE_MS: u32 = 24 * 60 * 60 * 1_000;

/// Request id and its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestId {
    /// The id.
    pub text: String,
    /// Whether this entry generated it.
    pub generated: bool,
}

/// Fields of a completion request that the entry reads.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
struct CompletionBody {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// Form of the response to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseForm {
    /// Server-sent events of a model.
    EventStream,
    /// Completion of a model as a single JSON body.
    JsonBody,
    /// Response of a plain service, passed on unchanged.
    Service,
}

/// A request that passed the filters that precede the claim.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Request id.
    pub id: RequestId,
    /// Message that submits the request to the leader.
    pub submit: SubmitRequest,
    /// Deadline for the complete response.
    pub deadline: ClockTime,
    /// Form of the response.
    pub form: ResponseForm,
    /// HTTP method of the call to the target.
    pub method: String,
    /// Path and query of the call to the target.
    pub path: String,
    /// Content type that the caller sent.
    pub content_type: String,
    /// Request body.
    pub body: Arc<[u8]>,
    /// Maximum size of a response that is kept until it is complete, in bytes.
    pub response_limit: u64,
}

impl RoutedRequest {
    /// Returns the maximum size of a stream that is collected into one body, in bytes.
    pub(super) fn collected_limit(&self) -> Option<u64> {
        (self.form == ResponseForm::JsonBody).then_some(self.response_limit)
    }
}

/// Returns the caller's request id, or generates one.
///
/// # Errors
/// Fails if the id is empty, too long, or has characters that are not printable ASCII.
pub fn identify(request: &Request) -> Result<RequestId, FilterRefusal> {
    let Some(text) = header(request, "x-request-id") else {
        let text = format!("{:032x}", rand::random::<u128>());
        return Ok(RequestId { text, generated: true });
    };
    let printable = text.chars().all(|character| character.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_REQUEST_ID_CHARS || !printable {
        let message = "x-request-id must have 1 to 128 printable ASCII characters";
        return Err(FilterRefusal::without_outcome(ReasonCode::BadRequest, message));
    }
    Ok(RequestId { text: text.to_owned(), generated: false })
}

/// Returns the deadline that the caller set, in milliseconds, if it is valid. [`route`] refuses an
/// invalid one.
pub fn requested_deadline_ms(request: &Request) -> Option<u32> {
    header(request, "x-deadline-ms").and_then(|text| parse_deadline(text).ok())
}

/// Reads the body up to a limit in bytes.
///
/// # Errors
/// Fails if the body is larger than the limit or ends early.
pub fn read_body(request: &mut Request, limit: u32) -> Result<Vec<u8>, FilterRefusal> {
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes");
        FilterRefusal::without_outcome(ReasonCode::TooLarge, message)
    };
    if request.body_length().is_some_and(|length| length > limit as usize) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let mut bounded = request.as_reader().take(u64::from(limit) + 1);
    if bounded.read_to_end(&mut body).is_err() {
        return Err(FilterRefusal::without_outcome(ReasonCode::BadRequest, "the body broke off"));
    }
    if body.len() > limit as usize {
        return Err(too_large());
    }
    Ok(body)
}

/// Authenticates the caller and selects the pool and the tier.
///
/// # Errors
/// Fails for an invalid credential, a malformed request, or a request that no route matches.
pub fn route(
    request: &Request,
    id: RequestId,
    body: Vec<u8>,
    config: &ActiveConfig,
    arrived: ClockTime,
) -> Result<RoutedRequest, FilterRefusal> {
    let document = &config.document;
    let credential = header(request, "authorization").and_then(|text| text.strip_prefix("Bearer "));
    let workspace = credential
        .and_then(|credential| document.workspace_by_credential(credential))
        .ok_or_else(|| {
            let message = "the credential does not belong to a workspace";
            FilterRefusal::without_outcome(ReasonCode::Unauthorized, message)
        })?;
    let (path, target_path) = split_path(request.url())?;
    let completion = match path {
        "/v1/completions" => Some(parse_completion(&body)?),
        _ => None,
    };
    let method = request.method().to_string().to_uppercase();
    let query = RouteQuery {
        workspace: &workspace.name,
        method: &method,
        path,
        model: completion.as_ref().map(|completion| completion.model.as_str()),
        idempotent: parse_flag(header(request, "x-idempotent"))?,
    };
    let choice = document
        .route(&query)
        .map_err(|refusal| FilterRefusal::without_outcome(refusal.reason(), refusal.to_string()))?;
    if (choice.pool.kind == PoolKind::Model) != completion.is_some() {
        let message = "the path does not fit the kind of the pool";
        return Err(FilterRefusal::without_outcome(ReasonCode::NoRoute, message));
    }
    let deadline_in_ms = match header(request, "x-deadline-ms") {
        None => choice.tier.default_deadline_ms,
        Some(text) => parse_deadline(text)?,
    };
    let prompt = completion.as_ref().map_or("", |completion| &completion.prompt);
    let submit = SubmitRequest {
        key: RequestKey::derive(&workspace.name, &id.text),
        attempt: 0,
        fingerprint: fingerprint(&method, request.url(), &body),
        workspace: workspace.name.clone(),
        pool: choice.pool.name.clone(),
        model: completion.as_ref().map(|body| body.model.clone()).unwrap_or_default(),
        tier: choice.tier.rank,
        idempotent: choice.idempotent,
        deadline_in_ms,
        prompt_tokens: token_count(prompt),
        output_tokens: match &completion {
            Some(body) => body.max_tokens.unwrap_or(choice.pool.default_output_tokens),
            None => 0,
        },
        prefix_hashes: prefix_hashes(prompt),
    };
    Ok(RoutedRequest {
        id,
        submit,
        deadline: arrived.plus(u64::from(deadline_in_ms)),
        form: match &completion {
            Some(body) if body.stream => ResponseForm::EventStream,
            Some(_) => ResponseForm::JsonBody,
            None => ResponseForm::Service,
        },
        method,
        path: target_path,
        content_type: header(request, "content-type").unwrap_or("application/json").to_owned(),
        body: body.into(),
        response_limit: u64::from(document.limits().response_bytes),
    })
}

/// Returns the value of a request header.
pub fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let mut headers = request.headers().iter();
    headers.find(|header| header.field.equiv(name)).map(|header| header.value.as_str())
}

/// Returns the path that routing rules match and the path and query for the target.
///
/// `/svc/{pool}/rest` becomes `/rest` at the target. A path with `..` is refused, since it could
/// bypass a rule.
fn split_path(url: &str) -> Result<(&str, String), FilterRefusal> {
    let path = url.split_once('?').map_or(url, |(path, _)| path);
    if !path.starts_with('/') || path.split('/').any(|part| part == "..") {
        return Err(FilterRefusal::without_outcome(
            ReasonCode::BadRequest,
            "the path is malformed",
        ));
    }
    let target = match url.strip_prefix("/svc/") {
        None => url.to_owned(),
        Some(rest) => match rest.find(['/', '?']) {
            Some(end) if rest[end..].starts_with('/') => rest[end..].to_owned(),
            Some(end) => format!("/{}", &rest[end..]),
            None => "/".to_owned(),
        },
    };
    Ok((path, target))
}

fn parse_completion(body: &[u8]) -> Result<CompletionBody, FilterRefusal> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not a completion request: {error}");
        FilterRefusal::without_outcome(ReasonCode::BadRequest, message)
    })
}

fn parse_flag(text: Option<&str>) -> Result<Option<bool>, FilterRefusal> {
    match text {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => {
            let message = "x-idempotent must be true or false";
            Err(FilterRefusal::without_outcome(ReasonCode::BadRequest, message))
        }
    }
}

fn parse_deadline(text: &str) -> Result<u32, FilterRefusal> {
    let valid = text.parse().ok().filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    valid.ok_or_else(|| {
        let message = format!("x-deadline-ms must be a number from 1 to {MAX_DEADLINE_MS}");
        FilterRefusal::without_outcome(ReasonCode::BadRequest, message)
    })
}

fn fingerprint(method: &str, url: &str, body: &[u8]) -> RequestFingerprint {
    let mut bytes = Vec::with_capacity(method.len() + url.len() + body.len() + 2);
    for part in [method.as_bytes(), url.as_bytes(), body] {
        bytes.extend_from_slice(part);
        bytes.push(0);
    }
    RequestFingerprint(xxh3_64(&bytes))
}

/// Returns the hashes of the first blocks of the prompt, at most [`MAX_PREFIX_BLOCKS`].
fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hashes = block_hashes(prompt);
    hashes.truncate(MAX_PREFIX_BLOCKS);
    hashes
}
