//! HTTP client for the operator API of the control instances.

use super::{
    ApplyReply, ApplyRequest, ClientError, ConfigReply, DrainReply, DrainRequest, HistoryReply,
    LeaderReply, OrderReply, OrderRequest, StatusReply, paths,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::thread;
use std::time::Duration;
use ureq::{Agent, RequestBuilder, Timeout};

/// Size limit of a reply body, in bytes. A document with 7,100 workspaces takes about 1.5 MB.
const MAX_REPLY_BYTES: u64 = 64 << 20;

/// Limit on the instances tried in one round. If the leader changes meanwhile, redirects can name
/// instances beyond those that the client was given.
const MAX_INSTANCES_PER_ROUND: usize = 8;

/// Timeouts and retry settings of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Time limit from the established connection to the end of the reply.
    pub reply_timeout: Duration,
    /// Number of rounds over all instances before the client gives up; 0 counts as 1.
    pub rounds: u32,
    /// Delay between two rounds.
    pub round_delay: Duration,
}

impl Default for ClientSettings {
    /// Returns settings whose rounds last longer than a leader change, which takes up to 2.2 s.
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            reply_timeout: Duration::from_secs(10),
            rounds: 5,
            round_delay: Duration::from_millis(700),
        }
    }
}

/// Client that finds the leader and tolerates the failure of single instances.
pub struct OperatorClient {
    agent: Agent,
    urls: Vec<String>,
    settings: ClientSettings,
    token: Option<String>,
    on_failure: fn(&str),
}

/// A complete HTTP reply.
struct Reply {
    status: u16,
    body: String,
}

/// Result of sending a request to one instance.
enum AttemptResult {
    Replied(Reply),
    /// The request certainly did not reach the instance.
    NotSent(String),
    /// The request may have been sent, but no complete reply arrived.
    ReplyLost(String),
}

impl OperatorClient {
    /// Creates a client for the base URLs of the control instances.
    ///
    /// # Errors
    /// Fails if the list is empty or a URL is malformed.
    pub fn open(urls: &[String], settings: ClientSettings) -> Result<Self, ClientError> {
        let urls: Vec<String> =
            urls.iter().map(|url| parse_base_url(url)).collect::<Result<_, _>>()?;
        if urls.is_empty() {
            return Err(ClientError::NoUrl);
        }
        Ok(Self { agent: build_agent(settings), urls, settings, token: None, on_failure: |_| () })
    }

    /// Sets the operator token that is sent with each request.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Sets a function that is called with a description of each failed attempt.
    #[must_use]
    pub fn with_failure_callback(mut self, on_failure: fn(&str)) -> Self {
        self.on_failure = on_failure;
        self
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn config(&self) -> Result<ConfigReply, ClientError> {
        self.get(paths::CONFIG)
    }

    /// Reads a kept version of the configuration.
    ///
    /// # Errors
    /// See [`ClientError`]. A version that is not kept is refused with status 404.
    pub fn config_at(&self, version: u64) -> Result<ConfigReply, ClientError> {
        self.get(&format!("{}?version={version}", paths::CONFIG))
    }

    /// Lists the kept versions of the configuration.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn history(&self) -> Result<HistoryReply, ClientError> {
        self.get(paths::HISTORY)
    }

    /// Reads the state of the deployment.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn status(&self) -> Result<StatusReply, ClientError> {
        self.get(paths::STATUS)
    }

    /// Applies a document. All retries carry the same operation id.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn apply(&self, request: &ApplyRequest) -> Result<ApplyReply, ClientError> {
        self.post(paths::CONFIG, request, &request.operation_id)
    }

    /// Drains an entry or a target.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn drain(&self, request: &DrainRequest) -> Result<DrainReply, ClientError> {
        self.post(paths::DRAIN, request, &request.operation_id)
    }

    /// Orders a target to load a model.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn order(&self, request: &OrderRequest) -> Result<OrderReply, ClientError> {
        self.post(paths::ORDERS, request, &request.operation_id)
    }

    /// Sends a `GET` request and parses the reply.
    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let reply = self
            .send_with_retries(path, None)
            .map_err(|failure| ClientError::Unreachable(failure.detail))?;
        if reply.status == 200 {
            parse(path, &reply.body)
        } else {
            Err(ClientError::from_reply(path, reply.status, &reply.body))
        }
    }

    /// Sends a `POST` request and parses the reply.
    ///
    /// If the request may have been sent and no usable reply arrived, the outcome is unknown.
    fn post<R: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        request: &R,
        operation_id: &str,
    ) -> Result<T, ClientError> {
        let unknown = |detail| {
            let operation_id = operation_id.to_owned();
            ClientError::OutcomeUnknown { operation_id, detail }
        };
        // Serialization fails only for maps whose keys are not strings; no request contains one.
        let body = serde_json::to_string(request).unwrap_or_default();
        let reply = self.send_with_retries(path, Some(&body)).map_err(|failure| {
            if failure.possibly_sent {
                unknown(failure.detail)
            } else {
                ClientError::Unreachable(failure.detail)
            }
        })?;
        if reply.status != 200 {
            return Err(ClientError::from_reply(path, reply.status, &reply.body));
        }
        parse(path, &reply.body).map_err(|error| unknown(error.to_string()))
    }

    /// Sends the request, in several rounds if needed, until an instance gives a final reply.
    ///
    /// Every attempt sends the same body and therefore the same operation id.
    fn send_with_retries(&self, path: &str, body: Option<&str>) -> Result<Reply, ExchangeFailure> {
        let mut failure = ExchangeFailure { possibly_sent: false, detail: String::new() };
        for round in 0..self.settings.rounds.max(1) {
            if round > 0 {
                thread::sleep(self.settings.round_delay);
            }
            if let Some(reply) = self.try_instances(path, body, &mut failure) {
                return Ok(reply);
            }
        }
        Err(failure)
    }

    /// Tries each instance once. A leader that an instance names is tried next.
    ///
    /// Returns the first final reply, which is one with a status other than 421 and 5xx. Records
    /// every failure in `failure`, where `possibly_sent` is never reset.
    fn try_instances(
        &self,
        path: &str,
        body: Option<&str>,
        failure: &mut ExchangeFailure,
    ) -> Option<Reply> {
        let mut pending: VecDeque<String> = self.urls.iter().cloned().collect();
        let mut tried: Vec<String> = Vec::new();
        while let Some(url) = pending.pop_front()
            && tried.len() < MAX_INSTANCES_PER_ROUND
        {
            if tried.contains(&url) {
                continue;
            }
            match self.send_once(&url, path, body) {
                AttemptResult::Replied(reply) if reply.status == 421 => {
                    failure.detail = format!("{url} does not lead");
                    if let Some(leader) = leader_url(&reply) {
                        pending.push_front(leader);
                    }
                }
                AttemptResult::Replied(reply) if reply.status >= 500 => {
                    failure.possibly_sent = true;
                    failure.detail = format!("{url} replied with status {}", reply.status);
                }
                AttemptResult::Replied(reply) => return Some(reply),
                AttemptResult::NotSent(detail) => failure.detail = detail,
                AttemptResult::ReplyLost(detail) => {
                    failure.possibly_sent = true;
                    failure.detail = detail;
                }
            }
            (self.on_failure)(&failure.detail);
            tried.push(url);
        }
        None
    }

    /// Sends the request to one instance.
    fn send_once(&self, url: &str, path: &str, body: Option<&str>) -> AttemptResult {
        let target = format!("{url}{path}");
        let sent = match body {
            None => with_token(self.agent.get(&target), self.token.as_deref()).call(),
            // The API accepts only JSON, which a browser does not send to another site without its
            // consent (CORS).
            Some(body) => {
                let post = self.agent.post(&target).header("content-type", "application/json");
                with_token(post, self.token.as_deref()).send(body)
            }
        };
        match sent {
            Ok(response) => {
                let status = response.status().as_u16();
                match response
                    .into_body()
                    .into_with_config()
                    .limit(MAX_REPLY_BYTES)
                    .read_to_string()
                {
                    Ok(body) => AttemptResult::Replied(Reply { status, body }),
                    Err(error) => AttemptResult::ReplyLost(format!("reply of {url} cut: {error}")),
                }
            }
            Err(error) if failed_before_send(&error) => {
                AttemptResult::NotSent(format!("{url}: {error}"))
            }
            Err(error) => AttemptResult::ReplyLost(format!("no reply from {url}: {error}")),
        }
    }
}

/// Failure of all attempts to get a final reply.
struct ExchangeFailure {
    /// Whether an instance may have received the request.
    possibly_sent: bool,
    /// Description of the last failure.
    detail: String,
}

/// Fetches a URL of one process, such as the dump of an entry, without searching for the leader.
///
/// # Errors
/// See [`ClientError`].
pub fn fetch(
    url: &str,
    token: Option<&str>,
    settings: ClientSettings,
) -> Result<String, ClientError> {
    if !url.starts_with("http://") {
        return Err(ClientError::BadUrl(url.to_owned()));
    }
    let unreachable = |error: ureq::Error| ClientError::Unreachable(format!("{url}: {error}"));
    let response = with_token(build_agent(settings).get(url), token).call().map_err(unreachable)?;
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .into_with_config()
        .limit(MAX_REPLY_BYTES)
        .read_to_string()
        .map_err(unreachable)?;
    if status == 200 { Ok(body) } else { Err(ClientError::from_reply(url, status, &body)) }
}

/// Adds the operator token to the request headers.
fn with_token<B>(request: RequestBuilder<B>, token: Option<&str>) -> RequestBuilder<B> {
    match token {
        Some(token) => request.header("authorization", format!("Bearer {token}")),
        None => request,
    }
}

/// Builds the HTTP agent. Status codes and redirects are left to the caller.
fn build_agent(settings: ClientSettings) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        // With a proxy from the environment, it would not be known which instance was reached.
        .proxy(None)
        // An idle connection may have been closed by the instance; a request sent on it would look
        // like one whose reply was lost.
        .max_idle_connections(0)
        .timeout_connect(Some(settings.connect_timeout))
        .timeout_global(Some(settings.connect_timeout + settings.reply_timeout))
        .build()
        .into()
}

/// Checks that the URL has the form `http://host:port` and removes trailing slashes.
fn parse_base_url(url: &str) -> Result<String, ClientError> {
    let trimmed = url.trim().trim_end_matches('/');
    let host = trimmed.strip_prefix("http://").unwrap_or_default();
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !b"/?#@".contains(&byte);
    if host.is_empty() || !host.bytes().all(is_allowed) {
        return Err(ClientError::BadUrl(url.to_owned()));
    }
    Ok(trimmed.to_owned())
}

/// Whether the error certainly occurred before the first byte of the request was sent.
fn failed_before_send(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        ureq::Error::Timeout(phase) => matches!(phase, Timeout::Resolve | Timeout::Connect),
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) => true,
        _ => false,
    }
}

/// Reads the base URL of the leader from a reply with status 421.
fn leader_url(reply: &Reply) -> Option<String> {
    let body: LeaderReply = serde_json::from_str(&reply.body).ok()?;
    parse_base_url(&body.leader?).ok()
}

fn parse<T: DeserializeOwned>(path: &str, body: &str) -> Result<T, ClientError> {
    serde_json::from_str(body).map_err(|_| ClientError::BadReply(path.to_owned()))
}
