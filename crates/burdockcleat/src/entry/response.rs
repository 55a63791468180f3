//! Writes HTTP responses to callers.

use super::caller::CallerConnection;
use super::chain::RequestRecord;
use super::dispatch::{DispatchRecord, ServiceResponse};
use super::refusal::{CallerError, FilterRefusal};
use super::request::{RequestId, ResponseForm};
use super::stream::UsageCounts;
use burdockcleat_core::outcome::RequestOutcome;
use chunked_transfer::Encoder;
use serde_json::{Value, json};
use std::io::{self, Write};
use tiny_http::{Header, Request, Response, StatusCode};

/// Socket writer below the chunk encoder.
///
/// The encoder writes the final chunk when it is dropped. That chunk must reach the socket at the
/// end of a complete response and must not be written after an incomplete one.
struct CallerWriter {
    inner: Box<dyn Write + Send>,
    truncated: bool,
}

impl Write for CallerWriter {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        match self.truncated {
            true => Ok(buffer.len()),
            false => self.inner.write(buffer),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

impl Drop for CallerWriter {
    fn drop(&mut self) {
        // A failed flush means that the caller has disconnected.
        let _ = self.inner.flush();
    }
}

/// Response to one request, in any [`ResponseForm`].
pub struct CallerResponse {
    caller: CallerConnection,
    id: RequestId,
    /// The request, until its response starts.
    request: Option<Request>,
    /// The event stream, once it has started.
    writer: Option<EventWriter>,
    /// Text collected so far for a completion that is sent as one body.
    collected: Option<String>,
    service: Option<ServiceResponse>,
}

impl CallerResponse {
    /// Prepares the response to a request.
    pub fn new(request: Request, caller: &CallerConnection, id: RequestId) -> Self {
        Self {
            caller: caller.clone(),
            id,
            request: Some(request),
            writer: None,
            collected: None,
            service: None,
        }
    }

    /// Sends one token to the caller, or collects it if the caller wants a single body.
    ///
    /// # Errors
    /// Fails if the caller has disconnected.
    pub fn send_token(&mut self, form: ResponseForm, mut event: Value) -> io::Result<()> {
        if form == ResponseForm::JsonBody {
            let text = event.get("text").and_then(Value::as_str).unwrap_or_default();
            self.collected.get_or_insert_default().push_str(text);
            return Ok(());
        }
        event["id"] = self.id.text.as_str().into();
        self.stream()?.send(&event.to_string())
    }

    /// Holds the complete response of a plain service until its outcome is reported.
    pub fn set_service_response(&mut self, service: ServiceResponse) {
        self.service = Some(service);
    }

    /// Ends the response to a request that was dispatched.
    pub fn finish(self, record: &DispatchRecord) -> RequestRecord {
        let ended = if record.outcome == RequestOutcome::Completed {
            let written = self.complete(record.usage);
            let outcome = RequestOutcome::Completed;
            if let Err(error) = written {
                log::debug!(event = "answer_not_delivered"; "{error}");
            }
            RequestRecord { tier: None, outcome, reason: None, dispatch: None, in_time: false }
        } else {
            self.refuse(record.refusal())
        };
        RequestRecord { dispatch: Some(*record), ..ended }
    }

    /// Ends the response with an error.
    pub fn refuse(mut self, refusal: FilterRefusal) -> RequestRecord {
        let error = refusal.into_error(&self.id.text, self.id.generated);
        if let Some(writer) = self.writer.take() {
            writer.abort(&error);
        } else if let Some(request) = self.request.take() {
            send_error(request, &error);
        }
        RequestRecord {
            tier: None,
            outcome: error.outcome,
            reason: Some(error.reason),
            dispatch: None,
            in_time: false,
        }
    }

    /// Sends the end of a complete response.
    ///
    /// # Errors
    /// Fails if the caller has disconnected.
    pub fn complete(mut self, usage: UsageCounts) -> io::Result<()> {
        if let Some(service) = self.service.take() {
            let Some(request) = self.request.take() else { return Ok(()) };
            return send_body(request, service.status, &service.content_type, service.body);
        }
        let usage = json!({
            "prompt_tokens": usage.prompt_tokens,
            "cached_tokens": usage.cached_tokens,
            "completion_tokens": usage.completion_tokens,
        });
        if let Some(text) = self.collected.take() {
            let Some(request) = self.request.take() else { return Ok(()) };
            let body = json!({ "id": self.id.text, "text": text, "usage": usage });
            return send_body(request, 200, "application/json", body.to_string().into_bytes());
        }
        let event = json!({ "id": self.id.text, "usage": usage });
        let stream = self.stream()?;
        stream.send(&event.to_string())?;
        stream.send("[DONE]")
    }

    /// Returns the event stream. The first call writes the head of the response.
    fn stream(&mut self) -> io::Result<&mut EventWriter> {
        if let Some(request) = self.request.take() {
            self.writer = Some(EventWriter::open(request, self.caller.clone())?);
        }
        self.writer.as_mut().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

/// Responds with an error to a request whose response has not started.
fn send_error(request: Request, error: &CallerError) {
    let retry_after = error.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1).to_string());
    let mut response =
        Response::from_string(error.to_json()).with_status_code(StatusCode(error.status()));
    add_header(&mut response, "content-type", "application/json");
    if let Some(seconds) = retry_after {
        add_header(&mut response, "retry-after", &seconds);
    }
    // A failed write means that the caller has disconnected.
    let _ = request.respond(response);
}

/// Responds with a complete body.
fn send_body(request: Request, status: u16, content_type: &str, body: Vec<u8>) -> io::Result<()> {
    let mut response = Response::from_data(body).with_status_code(StatusCode(status));
    add_header(&mut response, "content-type", content_type);
    request.respond(response)
}

/// Adds a header, or skips it if HTTP does not allow its value.
fn add_header<R: io::Read>(response: &mut Response<R>, name: &str, value: &str) {
    if let Ok(header) = Header::from_bytes(name, value) {
        response.add_header(header);
    }
}

/// Server-sent event stream to a caller.
struct EventWriter {
    encoder: Encoder<CallerWriter>,
    caller: CallerConnection,
}

impl EventWriter {
    /// Writes the head of the response.
    ///
    /// # Errors
    /// Fails if the caller has disconnected.
    fn open(request: Request, caller: CallerConnection) -> io::Result<Self> {
        let mut writer = CallerWriter { inner: request.into_writer(), truncated: false };
        writer.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-store\r\n\
              transfer-encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Self { encoder: Encoder::new(writer), caller })
    }

    /// Sends one event and flushes it.
    ///
    /// # Errors
    /// Fails if the caller has disconnected.
    fn send(&mut self, data: &str) -> io::Result<()> {
        write!(self.encoder, "data: {data}\n\n")?;
        // The encoder and the socket writer below it both buffer.
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }

    /// Ends an incomplete response with an error event, without the final event or the final chunk.
    fn abort(mut self, error: &CallerError) {
        let _ = self.send(&error.to_json());
        self.encoder.get_mut().truncated = true;
        self.caller.truncate();
    }
}
