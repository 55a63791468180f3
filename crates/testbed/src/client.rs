//! HTTP clients for the processes of a deployment, in the roles of operators and callers.

use crate::deployment::{Deployment, DeploymentError, OPERATOR_TOKEN, wait_until};
use burdockcleat_core::clock::ClockTime;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use ureq::Agent;

/// Timeout of one operator request.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for a group to form and elect a leader.
const LEADER_TIMEOUT_MS: u64 = 15_000;
/// Time for an entry to become ready.
const READY_TIMEOUT_MS: u64 = 15_000;

/// Status and body of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, or null if it is not JSON.
    pub body: Value,
}

fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(0)
        .build();
    config.new_agent()
}

fn call_error(url: &str, source: ureq::Error) -> DeploymentError {
    DeploymentError::Call { url: url.to_owned(), source: Box::new(source) }
}

/// Sends a GET request as an operator.
///
/// # Errors
/// Fails if no response arrives.
pub fn get(url: &str) -> Result<JsonAnswer, DeploymentError> {
    let request = agent(OPERATOR_TIMEOUT)
        .get(url)
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"));
    let mut response = request.call().map_err(|error| call_error(url, error))?;
    let body = response.body_mut().read_json().unwrap_or(Value::Null);
    Ok(JsonAnswer { status: response.status().as_u16(), body })
}

/// Sends a POST request with a JSON body as an operator.
///
/// # Errors
/// Fails if no response arrives.
pub fn post(url: &str, body: &Value) -> Result<JsonAnswer, DeploymentError> {
    let request = agent(OPERATOR_TIMEOUT)
        .post(url)
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"));
    let mut response = request.send_json(body).map_err(|error| call_error(url, error))?;
    let body = response.body_mut().read_json().unwrap_or(Value::Null);
    Ok(JsonAnswer { status: response.status().as_u16(), body })
}

impl Deployment {
    /// Returns the index of the control instance that reports itself as the leader, if any.
    pub fn leader(&self) -> Option<usize> {
        (0..self.control_urls().len()).find(|index| {
            let status = get(&format!("{}/v1/status", self.control_url(*index)));
            status.is_ok_and(|answer| answer.body["leading"] == true)
        })
    }

    /// Waits until a control instance is the leader and returns its index.
    ///
    /// # Errors
    /// Fails if there is none in time.
    pub fn wait_leader(&self) -> Result<usize, DeploymentError> {
        let mut leader = None;
        wait_until("a control leader", LEADER_TIMEOUT_MS, || {
            leader = self.leader();
            leader.is_some()
        })?;
        Ok(leader.unwrap_or_default())
    }

    /// Waits until an entry is ready.
    ///
    /// # Errors
    /// Fails if it does not become ready in time.
    pub fn wait_ready(&self, entry: usize) -> Result<(), DeploymentError> {
        let url = format!("{}/readyz", self.entry_operator_url(entry));
        wait_until(&format!("entry {entry} to be ready"), READY_TIMEOUT_MS, || {
            get(&url).is_ok_and(|answer| answer.status == 200)
        })
    }

    /// Applies a configuration document at a control instance.
    ///
    /// # Errors
    /// Fails if no response arrives.
    pub fn apply(
        &self,
        control: usize,
        base_version: u64,
        operation_id: &str,
        document: &str,
    ) -> Result<JsonAnswer, DeploymentError> {
        let body = json!({
            "base_version": base_version,
            "operation_id": operation_id,
            "author": "testbed",
            "document": document,
        });
        post(&format!("{}/v1/config", self.control_url(control)), &body)
    }

    /// Reads the state dump of an entry.
    ///
    /// # Errors
    /// Fails if no response arrives.
    pub fn entry_dump(&self, entry: usize) -> Result<Value, DeploymentError> {
        Ok(get(&format!("{}/dump", self.entry_operator_url(entry)))?.body)
    }

    /// Reads the state dump of a control instance.
    ///
    /// # Errors
    /// Fails if no response arrives.
    pub fn control_dump(&self, control: usize) -> Result<Value, DeploymentError> {
        Ok(get(&format!("{}/v1/dump", self.control_url(control)))?.body)
    }
}

/// Parameters of a completion request.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Base URL of the entry.
    pub entry_url: String,
    /// Credential of the workspace.
    pub credential: String,
    /// Value of `x-request-id`.
    pub request_id: String,
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of tokens of the answer.
    pub max_tokens: u32,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
}

/// Response to a completion request, as the caller received it.
#[derive(Clone, Debug, Default)]
pub struct CompletionAnswer {
    /// HTTP status, or 0 if no response arrived.
    pub status: u16,
    /// Events that contain a token, in the order of arrival.
    pub tokens: Vec<Value>,
    /// Time from the start of the request to each token.
    pub times: Vec<Duration>,
    /// Token counts of the usage event.
    pub usage: Value,
    /// Whether the final event `[DONE]` arrived.
    pub done: bool,
    /// Whether the body ended as its HTTP framing requires.
    pub well_formed: bool,
    /// The `error` object, if the response was an error or ended with one. If no response arrived,
    /// the error of the HTTP client.
    pub error: Value,
}

impl CompletionAnswer {
    /// Returns the outcome that was reported to the caller: `completed` for a complete answer, and
    /// `none` if no outcome was reported.
    pub fn outcome(&self) -> &str {
        if self.done {
            return "completed";
        }
        self.error["outcome"].as_str().unwrap_or("none")
    }
}

/// A completed call with wall clock times, which can be compared with those of the journals.
#[derive(Clone, Debug)]
pub struct TimedCall {
    /// The request.
    pub call: CompletionCall,
    /// The response.
    pub answer: CompletionAnswer,
    /// Time at which the request was sent, in milliseconds.
    pub sent_ms: u64,
    /// Time at which the response ended, in milliseconds.
    pub ended_ms: u64,
}

impl CompletionCall {
    /// Sends the request on a new thread.
    pub fn spawn(&self) -> JoinHandle<TimedCall> {
        let call = self.clone();
        thread::spawn(move || call.send_timed())
    }

    /// Sends the request, reads the response to its end and records the times.
    pub fn send_timed(&self) -> TimedCall {
        let sent_ms = ClockTime::wall().as_ms();
        let answer = self.send();
        TimedCall { call: self.clone(), answer, sent_ms, ended_ms: ClockTime::wall().as_ms() }
    }

    /// Sends the request and reads the response to its end.
    pub fn send(&self) -> CompletionAnswer {
        self.send_with(|_| {})
    }

    /// Sends the request and passes each token event to `on_token` as it arrives.
    pub fn send_with(&self, mut on_token: impl FnMut(&Value)) -> CompletionAnswer {
        let started = Instant::now();
        let limit = Duration::from_millis(u64::from(self.deadline_ms) + 10_000);
        let mut request = agent(limit)
            .post(format!("{}/v1/completions", self.entry_url))
            .header("authorization", format!("Bearer {}", self.credential))
            .header("x-request-id", &self.request_id)
            .header("x-deadline-ms", self.deadline_ms.to_string());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let body = json!({
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        let mut answer = CompletionAnswer::default();
        let mut response = match request.send_json(body) {
            Ok(response) => response,
            Err(error) => {
                answer.error = json!({ "transport": error.to_string() });
                return answer;
            }
        };
        answer.status = response.status().as_u16();
        if answer.status != 200 {
            let body: Value = response.body_mut().read_json().unwrap_or(Value::Null);
            answer.error = body["error"].clone();
            answer.well_formed = true;
            return answer;
        }
        let mut lines = BufReader::new(response.body_mut().as_reader()).lines();
        loop {
            let line = match lines.next() {
                None => {
                    answer.well_formed = true;
                    return answer;
                }
                Some(Err(_)) => return answer,
                Some(Ok(line)) => line,
            };
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                answer.done = true;
                continue;
            }
            let event: Value = serde_json::from_str(data).unwrap_or(Value::Null);
            if !event["error"].is_null() {
                answer.error = event["error"].clone();
            } else if !event["usage"].is_null() {
                answer.usage = event["usage"].clone();
            } else {
                answer.times.push(started.elapsed());
                on_token(&event);
                answer.tokens.push(event);
            }
        }
    }
}

/// Calls a plain service through an entry.
///
/// # Errors
/// Fails if no response arrives.
pub fn call_service(
    entry_url: &str,
    credential: &str,
    request_id: &str,
    path: &str,
    body: &Value,
) -> Result<JsonAnswer, DeploymentError> {
    let url = format!("{entry_url}{path}");
    let request = agent(Duration::from_secs(30))
        .post(&url)
        .header("authorization", format!("Bearer {credential}"))
        .header("x-request-id", request_id);
    let mut response = request.send_json(body).map_err(|error| call_error(&url, error))?;
    let body = response.body_mut().read_json().unwrap_or(Value::Null);
    Ok(JsonAnswer { status: response.status().as_u16(), body })
}

/// Sends bytes over a new connection and reads until the peer closes it or the time limit passes.
///
/// With `half_close`, closes the sending half of the connection after the bytes.
///
/// # Errors
/// Fails if the connection cannot be established.
pub fn send_bytes(
    entry_url: &str,
    bytes: &[u8],
    half_close: bool,
    limit: Duration,
) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(entry_url.trim_start_matches("http://"))?;
    // The peer may respond and close before all bytes are sent. Its response is still read.
    let _ = stream.write_all(bytes);
    if half_close {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let (started, mut received) = (Instant::now(), Vec::new());
    let mut buffer = [0; 4_096];
    while let Some(left) = limit.checked_sub(started.elapsed()).filter(|left| !left.is_zero()) {
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
    Ok(String::from_utf8_lossy(&received).into_owned())
}
