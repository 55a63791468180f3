//! Caller of one planned request: sends it, resends it after refusals and broken connections, and
//! checks the answer.

use super::check::{StreamCheck, StreamItem, is_matching_answer};
use super::plan::{PlannedCall, PlannedRequest};
use super::report::AlreadyEndedRequest;
use super::run::LoadSettings;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};
use ureq::http::Response;
use ureq::{Agent, Body};

/// Maximum number of attempts of one request, resends included.
const ATTEMPT_LIMIT: usize = 6;
/// Pause before a resend if the last attempt gave no retry-after time.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
/// Time after the deadline for which a caller still reads, so that late answers are recorded.
const LATE_READ_TIME: Duration = Duration::from_secs(2);

/// Refusal reason of a request that already ended in an earlier attempt.
const ALREADY_ENDED: &str = "already_ended";

/// Outcome of a request or an attempt, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// A complete answer that belongs to this request arrived.
    Completed,
    /// A token or an answer of another request arrived.
    Foreign,
    /// The response ended normally but is incomplete.
    Incomplete,
    /// Refused or failed with this reason.
    Refused(String),
    /// The connection broke before the response was complete.
    Cut,
    /// No entry could be reached.
    Unreachable,
}

/// Result of one request, resends included.
#[derive(Clone, Debug)]
pub(super) struct CallResult {
    pub(super) id: String,
    pub(super) tier: u8,
    pub(super) end: CallOutcome,
    pub(super) in_time: bool,
    /// Outcomes of the attempts before the last one.
    pub(super) earlier: Vec<CallOutcome>,
    pub(super) first_token: Option<Duration>,
    pub(super) gaps: Vec<Duration>,
}

impl CallResult {
    /// Returns the earlier attempts if the last one was refused because the request had already
    /// ended.
    pub(super) fn already_ended(&self) -> Option<AlreadyEndedRequest> {
        let ended = CallOutcome::Refused(ALREADY_ENDED.to_owned());
        (self.end == ended).then(|| AlreadyEndedRequest {
            id: self.id.clone(),
            tier: self.tier,
            earlier: self.earlier.iter().filter(|end| **end != ended).map(reason_text).collect(),
        })
    }
}

/// Returns the reason for which an attempt did not complete.
pub(super) fn reason_text(end: &CallOutcome) -> String {
    match end {
        CallOutcome::Refused(reason) => reason.clone(),
        CallOutcome::Cut => "cut".to_owned(),
        _ => "unreachable".to_owned(),
    }
}

/// Outcome of one attempt.
struct AttemptOutcome {
    end: CallOutcome,
    retry_after: Option<Duration>,
}

impl From<CallOutcome> for AttemptOutcome {
    fn from(end: CallOutcome) -> Self {
        Self { end, retry_after: None }
    }
}

/// Sender of one planned request.
pub(super) struct LoadCaller<'a> {
    pub(super) settings: &'a LoadSettings,
    pub(super) agent: &'a Agent,
    pub(super) request: &'a PlannedRequest,
    /// Planned time of arrival. All times count from it, so that a late sender does not hide a
    /// delay.
    pub(super) arrival: Instant,
}

impl LoadCaller<'_> {
    /// Sends the request until it completes, its deadline passes or the attempts are used up.
    pub(super) fn run(&self, number: usize) -> CallResult {
        let deadline = self.arrival + Duration::from_millis(u64::from(self.request.deadline_ms));
        let mut result = CallResult {
            id: self.request.id.clone(),
            tier: self.request.tier,
            end: CallOutcome::Unreachable,
            in_time: false,
            earlier: Vec::new(),
            first_token: None,
            gaps: Vec::new(),
        };
        for attempt in 0..ATTEMPT_LIMIT {
            let entry = &self.settings.entries[(number + attempt) % self.settings.entries.len()];
            let last = self.attempt(entry, deadline, &mut result);
            result.end = last.end;
            if matches!(
                result.end,
                CallOutcome::Completed | CallOutcome::Foreign | CallOutcome::Incomplete
            ) {
                break;
            }
            let pause = last.retry_after.unwrap_or(RESEND_PAUSE);
            if attempt + 1 == ATTEMPT_LIMIT || Instant::now() + pause >= deadline {
                break;
            }
            thread::sleep(pause);
            result.earlier.push(result.end.clone());
        }
        result.in_time = result.end == CallOutcome::Completed && Instant::now() <= deadline;
        result
    }

    fn attempt(&self, entry: &str, deadline: Instant, result: &mut CallResult) -> AttemptOutcome {
        let left = deadline.saturating_duration_since(Instant::now());
        let url = format!("{}{}", entry.trim_end_matches('/'), self.request.path);
        let credential = self.settings.credential(self.request.tier);
        let request = self
            .agent
            .post(url)
            .config()
            .timeout_global(Some(left + LATE_READ_TIME))
            .build()
            .header("authorization", format!("Bearer {credential}"))
            .header("x-request-id", &self.request.id)
            .header("x-deadline-ms", left.as_millis().max(1).to_string())
            .header("x-tier", self.request.tier.to_string());
        let sent = match &self.request.call {
            PlannedCall::Completion { prompt, max_tokens } => request.send_json(json!({
                "model": self.settings.plan.model,
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": true,
            })),
            PlannedCall::Service { body } => {
                request.header("x-idempotent", "false").send(body.as_str())
            }
        };
        match sent {
            Err(ureq::Error::ConnectionFailed | ureq::Error::HostNotFound) => {
                CallOutcome::Unreachable.into()
            }
            Err(ureq::Error::Io(error))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                CallOutcome::Unreachable.into()
            }
            Err(_) => CallOutcome::Cut.into(),
            Ok(response) if response.status().is_success() => self.read(response, result).into(),
            Ok(response) => read_refusal(response),
        }
    }

    fn read(&self, response: Response<Body>, result: &mut CallResult) -> CallOutcome {
        match &self.request.call {
            PlannedCall::Completion { prompt, max_tokens } => {
                let check = StreamCheck::new(prompt, *max_tokens);
                self.read_stream(response, check, result)
            }
            PlannedCall::Service { body } => {
                let Ok(text) = response.into_body().read_to_string() else {
                    return CallOutcome::Cut;
                };
                let answer = serde_json::from_str(&text).unwrap_or(Value::Null);
                if is_matching_answer(body, &answer) {
                    CallOutcome::Completed
                } else {
                    CallOutcome::Foreign
                }
            }
        }
    }

    fn read_stream(
        &self,
        response: Response<Body>,
        mut check: StreamCheck<'_>,
        result: &mut CallResult,
    ) -> CallOutcome {
        let mut previous: Option<Instant> = None;
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let Ok(line) = line else { return CallOutcome::Cut };
            match check.line(&line) {
                Some(StreamItem::Token) => {
                    let now = Instant::now();
                    match previous.replace(now) {
                        Some(before) => result.gaps.push(now - before),
                        None => {
                            result.first_token.get_or_insert(now - self.arrival);
                        }
                    }
                }
                Some(StreamItem::Foreign) => return CallOutcome::Foreign,
                Some(StreamItem::Error(error)) => return CallOutcome::Refused(reason_of(&error)),
                Some(StreamItem::Done) if check.is_complete() => return CallOutcome::Completed,
                Some(StreamItem::Done) => return CallOutcome::Incomplete,
                Some(StreamItem::Other) | None => {}
            }
        }
        // A body that ends normally but lacks the final event must not count as a complete answer.
        CallOutcome::Incomplete
    }
}

fn reason_of(error: &Value) -> String {
    error["reason"].as_str().unwrap_or("unspecified").to_owned()
}

fn read_refusal(response: Response<Body>) -> AttemptOutcome {
    let status = response.status().as_u16();
    let text = response.into_body().read_to_string().unwrap_or_default();
    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
    let error = &answer["error"];
    let reason = if error.is_object() { reason_of(error) } else { format!("status_{status}") };
    let retry_after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
    AttemptOutcome { end: CallOutcome::Refused(reason), retry_after }
}
