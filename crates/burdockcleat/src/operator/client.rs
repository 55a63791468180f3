//! Client of the operators' HTTP interface.

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

/// Bound of a reply's body; a document of 7,100 workspaces has about 1.5 MB.
const REPLY_BYTES: u64 = 64 << 20;

/// Instances asked in one round. A leader that changes while it is searched causes more hops.
const HOPS_MAX: usize = 8;

/// Times and bounds of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Time to establish a connection.
    pub connect_timeout: Duration,
    /// Time from the connection to the end of the reply.
    pub reply_timeout: Duration,
    /// Rounds over all instances before the client gives up.
    pub rounds: u32,
    /// Pause between two rounds.
    pub pause: Duration,
}

impl Default for ClientSettings {
    /// The rounds last longer than a change of the leader, which takes up to 2.2 s.
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            reply_timeout: Duration::from_secs(10),
            rounds: 5,
            pause: Duration::from_millis(700),
        }
    }
}

/// Client that finds the leader and survives the loss of an instance.
pub struct OperatorClient {
    agent: Agent,
    urls: Vec<String>,
    settings: ClientSettings,
    token: Option<String>,
    notice: fn(&str),
}

/// A complete reply.
struct Reply {
    status: u16,
    body: String,
}

/// What became of one attempt.
enum Attempt {
    Replied(Reply),
    /// The request did not reach the instance.
    NotSent(String),
    /// The request was sent; no complete reply arrived.
    Lost(String),
}

impl OperatorClient {
    /// Creates a client for the base URLs of the control instances.
    ///
    /// # Errors
    /// Fails if there is no URL or one is malformed.
    pub fn open(urls: &[String], settings: ClientSettings) -> Result<Self, ClientError> {
        let urls: Vec<String> = urls.iter().map(|url| base_url(url)).collect::<Result<_, _>>()?;
        if urls.is_empty() {
            return Err(ClientError::NoUrl);
        }
        Ok(Self { agent: open_agent(settings), urls, settings, token: None, notice: |_| () })
    }

    /// Sets the token that each request bears.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Sets the function that is told about failed attempts.
    #[must_use]
    pub fn with_notice(mut self, notice: fn(&str)) -> Self {
        self.notice = notice;
        self
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn config(&self) -> Result<ConfigReply, ClientError> {
        self.read(paths::CONFIG)
    }

    /// Reads a kept version of the configuration.
    ///
    /// # Errors
    /// See [`ClientError`]. A version that is not kept is refused with status 404.
    pub fn version(&self, version: u64) -> Result<ConfigReply, ClientError> {
        self.read(&format!("{}?version={version}", paths::CONFIG))
    }

    /// Reads the kept versions.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn history(&self) -> Result<HistoryReply, ClientError> {
        self.read(paths::HISTORY)
    }

    /// Reads the state of the deployment.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn status(&self) -> Result<StatusReply, ClientError> {
        self.read(paths::STATUS)
    }

    /// Applies a document. Each resend carries the same operation id.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn apply(&self, request: &ApplyRequest) -> Result<ApplyReply, ClientError> {
        self.write(paths::CONFIG, request, &request.operation_id)
    }

    /// Drains an entry or a target.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn drain(&self, request: &DrainRequest) -> Result<DrainReply, ClientError> {
        self.write(paths::DRAIN, request, &request.operation_id)
    }

    /// Orders a target to load a model.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn order(&self, request: &OrderRequest) -> Result<OrderReply, ClientError> {
        self.write(paths::ORDERS, request, &request.operation_id)
    }

    fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let reply =
            self.exchange(path, None).map_err(|lost| ClientError::Unreachable(lost.detail))?;
        if reply.status == 200 {
            parse(path, &reply.body)
        } else {
            Err(ClientError::of_reply(path, reply.status, &reply.body))
        }
    }

    fn write<R: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        request: &R,
        operation_id: &str,
    ) -> Result<T, ClientError> {
        let unknown = |detail| {
            let operation_id = operation_id.to_owned();
            ClientError::OutcomeUnknown { operation_id, detail }
        };
        // Encoding fails only for maps with keys that are no strings; the requests have none.
        let body = serde_json::to_string(request).unwrap_or_default();
        let reply = self.exchange(path, Some(&body)).map_err(|lost| {
            if lost.sent { unknown(lost.detail) } else { ClientError::Unreachable(lost.detail) }
        })?;
        if reply.status != 200 {
            return Err(ClientError::of_reply(path, reply.status, &reply.body));
        }
        parse(path, &reply.body).map_err(|error| unknown(error.to_string()))
    }

    /// Sends the request until an instance decides it.
    ///
    /// A body is sent unchanged in every attempt, so all of them carry one operation id.
    fn exchange(&self, path: &str, body: Option<&str>) -> Result<Reply, NoDecision> {
        let mut lost = NoDecision { sent: false, detail: String::new() };
        for round in 0..self.settings.rounds.max(1) {
            if round > 0 {
                thread::sleep(self.settings.pause);
            }
            if let Some(reply) = self.ask_all(path, body, &mut lost) {
                return Ok(reply);
            }
        }
        Err(lost)
    }

    /// Asks each instance once, and the leader that an instance names before the others.
    fn ask_all(&self, path: &str, body: Option<&str>, lost: &mut NoDecision) -> Option<Reply> {
        let mut waiting: VecDeque<String> = self.urls.iter().cloned().collect();
        let mut asked: Vec<String> = Vec::new();
        while let Some(url) = waiting.pop_front()
            && asked.len() < HOPS_MAX
        {
            if asked.contains(&url) {
                continue;
            }
            match self.attempt(&url, path, body) {
                Attempt::Replied(reply) if reply.status == 421 => {
                    lost.detail = format!("{url} does not lead");
                    if let Some(leader) = leader_of(&reply) {
                        waiting.push_front(leader);
                    }
                }
                Attempt::Replied(reply) if reply.status >= 500 => {
                    lost.sent = true;
                    lost.detail = format!("{url} replied with status {}", reply.status);
                }
                Attempt::Replied(reply) => return Some(reply),
                Attempt::NotSent(detail) => lost.detail = detail,
                Attempt::Lost(detail) => {
                    lost.sent = true;
                    lost.detail = detail;
                }
            }
            (self.notice)(&lost.detail);
            asked.push(url);
        }
        None
    }

    fn attempt(&self, url: &str, path: &str, body: Option<&str>) -> Attempt {
        let target = format!("{url}{path}");
        let sent = match body {
            None => with_token(self.agent.get(&target), self.token.as_deref()).call(),
            // The interface accepts only JSON, which a page of another site cannot send unasked.
            Some(body) => {
                let post = self.agent.post(&target).header("content-type", "application/json");
                with_token(post, self.token.as_deref()).send(body)
            }
        };
        match sent {
            Ok(response) => {
                let status = response.status().as_u16();
                match response.into_body().into_with_config().limit(REPLY_BYTES).read_to_string() {
                    Ok(body) => Attempt::Replied(Reply { status, body }),
                    Err(error) => Attempt::Lost(format!("reply of {url} cut: {error}")),
                }
            }
            Err(error) if is_not_sent(&error) => Attempt::NotSent(format!("{url}: {error}")),
            Err(error) => Attempt::Lost(format!("no reply from {url}: {error}")),
        }
    }
}

/// No instance decided the request.
struct NoDecision {
    /// Whether it may have reached one.
    sent: bool,
    /// Last failure.
    detail: String,
}

/// Reads a URL of a single process, such as the dump of an entry, without a search for the leader.
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
    let lost = |error: ureq::Error| ClientError::Unreachable(format!("{url}: {error}"));
    let response = with_token(open_agent(settings).get(url), token).call().map_err(lost)?;
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .into_with_config()
        .limit(REPLY_BYTES)
        .read_to_string()
        .map_err(lost)?;
    if status == 200 { Ok(body) } else { Err(ClientError::of_reply(url, status, &body)) }
}

fn with_token<B>(request: RequestBuilder<B>, token: Option<&str>) -> RequestBuilder<B> {
    match token {
        Some(token) => request.header("authorization", format!("Bearer {token}")),
        None => request,
    }
}

fn open_agent(settings: ClientSettings) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        // A proxy from the environment would hide which instance was reached.
        .proxy(None)
        // A reused connection may have been closed meanwhile, which looks like a lost reply.
        .max_idle_connections(0)
        .timeout_connect(Some(settings.connect_timeout))
        .timeout_global(Some(settings.connect_timeout + settings.reply_timeout))
        .build()
        .into()
}

fn base_url(url: &str) -> Result<String, ClientError> {
    let trimmed = url.trim().trim_end_matches('/');
    let host = trimmed.strip_prefix("http://").unwrap_or_default();
    let plain = |byte: u8| byte.is_ascii_graphic() && !b"/?#@".contains(&byte);
    if host.is_empty() || !host.bytes().all(plain) {
        return Err(ClientError::BadUrl(url.to_owned()));
    }
    Ok(trimmed.to_owned())
}

/// Whether the error is certain to precede the first byte of the request.
fn is_not_sent(error: &ureq::Error) -> bool {
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

fn leader_of(reply: &Reply) -> Option<String> {
    let body: LeaderReply = serde_json::from_str(&reply.body).ok()?;
    base_url(&body.leader?).ok()
}

fn parse<T: DeserializeOwned>(path: &str, body: &str) -> Result<T, ClientError> {
    serde_json::from_str(body).map_err(|_| ClientError::BadReply(path.to_owned()))
}
