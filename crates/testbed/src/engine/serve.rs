//! HTTP interface of the fake engine.

use super::EngineCore;
use super::batch::{BatchItem, token_event};
use super::stream::{StreamBuffer, StreamRead};
use crate::fault::FaultSet;
use crate::http::{CallerHandle, EventWriter, header_value, respond_json};
use crate::journal::{DispatchEnd, DispatchRecord};
use crate::prompt::{block_hashes, body_hash, seeded_text, token_count};
use crate::sync::locked;
use burdockcleat_core::clock::ClockTime;
use serde::Deserialize;
use serde_json::{Value, json};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use tiny_http::{Method, Request};

/// Interval at which the faults are checked while the engine is frozen.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of output tokens of a request.
const MAX_OUTPUT_TOKENS: u32 = 100_000;

#[derive(Deserialize)]
struct CompletionBody {
    #[serde(default)]
    model: String,
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

fn default_tokens() -> u32 {
    16
}

/// Faults of one stream that its writer injects.
struct StreamFault {
    cut_after: Option<u32>,
    crossed: bool,
}

impl EngineCore {
    /// Serves one request and counts it as open until its response is written.
    pub(crate) fn handle(&self, request: Request, caller: &CallerHandle) {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        self.serve(request, caller);
        self.open_requests.fetch_sub(1, Ordering::AcqRel);
    }

    fn serve(&self, mut request: Request, caller: &CallerHandle) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        if path.starts_with("/testbed/") {
            return self.serve_testbed(request, caller, path);
        }
        self.wait_while_frozen();
        let Ok(body) = caller.read_body(&mut request) else { return };
        let method = request.method().clone();
        let stream_id = path.strip_prefix("/v1/streams/");
        match (method, path, stream_id) {
            (Method::Post, "/v1/completions", _) => self.complete(request, caller, &body),
            (Method::Post, "/v1/orders", _) => self.order(request, &body),
            (Method::Get, _, Some(id)) => self.resume(request, caller, id, query),
            (Method::Delete, _, Some(id)) => self.cancel(request, id),
            _ => respond_json(request, 404, &error_body("not_found")),
        }
    }

    fn serve_testbed(&self, mut request: Request, caller: &CallerHandle, path: &str) {
        let Ok(body) = caller.read_body(&mut request) else { return };
        match path {
            "/testbed/journal" => {
                let journal = locked(&self.journal).clone();
                respond_json(request, 200, &journal);
            }
            "/testbed/fault" => match serde_json::from_slice::<FaultSet>(&body) {
                Ok(fault) => {
                    respond_json(request, 200, &fault);
                    *locked(&self.fault) = fault;
                }
                Err(error) => respond_json(request, 400, &error_body(&error.to_string())),
            },
            _ => respond_json(request, 404, &error_body("not_found")),
        }
    }

    fn wait_while_frozen(&self) {
        while locked(&self.fault).freeze && !self.is_stopped() {
            thread::sleep(FREEZE_POLL_INTERVAL);
        }
    }

    fn complete(&self, request: Request, caller: &CallerHandle, body: &[u8]) {
        let Some(id) = header_value(&request, "x-request-id") else {
            return respond_json(request, 400, &error_body("missing x-request-id"));
        };
        let parsed = match serde_json::from_slice::<CompletionBody>(body) {
            Ok(parsed) => parsed,
            Err(error) => return respond_json(request, 400, &error_body(&error.to_string())),
        };
        let fault = locked(&self.fault).clone();
        let slot = self.record_dispatch(&id, body, &parsed);
        if fault.crash_marker.as_ref().is_some_and(|marker| parsed.prompt.contains(marker)) {
            return self.crash(caller);
        }
        let refusal = fault.error_status.or_else(|| self.missing_model(&parsed.model));
        if let Some(status) = refusal {
            locked(&self.journal).update(slot, |record| record.end = DispatchEnd::Error);
            return respond_json(request, status, &error_body("engine_error"));
        }
        let stream = Arc::new(StreamBuffer::new(&id, &parsed.prompt, self.settings.buffer_events));
        locked(&self.streams).insert(Arc::clone(&stream));
        let streamed = parsed.stream;
        self.submit(new_item(&stream, parsed, slot));
        if streamed {
            let fault = StreamFault { cut_after: fault.cut_after, crossed: fault.crossed_frames };
            self.write_stream(request, caller, &stream, 0, &fault);
        } else {
            self.write_json_answer(request, &stream);
        }
    }

    fn record_dispatch(&self, id: &str, body: &[u8], parsed: &CompletionBody) -> Option<usize> {
        locked(&self.journal).append(DispatchRecord {
            request_id: id.to_owned(),
            at_ms: ClockTime::wall().as_ms(),
            body_hash: body_hash(body),
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            prompt_tokens: token_count(&parsed.prompt),
            ..DispatchRecord::default()
        })
    }

    fn missing_model(&self, model: &str) -> Option<u16> {
        let loaded = locked(&self.models).iter().any(|name| name == model);
        (!model.is_empty() && !loaded).then_some(404)
    }

    fn crash(&self, caller: &CallerHandle) {
        log::info!(name = self.settings.target.name.as_str(); "crash marker found");
        if self.settings.crash_exits {
            std::process::exit(101);
        }
        self.crashed.store(true, Ordering::Release);
        self.stopped.store(true, Ordering::Release);
        self.work.notify_all();
        // The server would answer a dropped request with status 500, which a dead process cannot
        // do.
        caller.reset();
        caller.close_all();
    }

    fn resume(&self, request: Request, caller: &CallerHandle, id: &str, query: &str) {
        let Some(stream) = locked(&self.streams).find(id) else {
            return respond_json(request, 404, &error_body("unknown stream"));
        };
        let after = query.split('&').find_map(|pair| pair.strip_prefix("after="));
        let Ok(position) = after.unwrap_or("0").parse::<usize>() else {
            return respond_json(request, 400, &error_body("after is not a number"));
        };
        if matches!(stream.read(position), StreamRead::Evicted) {
            return respond_json(request, 410, &error_body("events are no longer buffered"));
        }
        locked(&self.journal).resumed += 1;
        let fault = StreamFault { cut_after: None, crossed: false };
        self.write_stream(request, caller, &stream, position, &fault);
    }

    fn cancel(&self, request: Request, id: &str) {
        let Some(stream) = locked(&self.streams).find(id) else {
            return respond_json(request, 404, &error_body("unknown stream"));
        };
        let cancelled = stream.cancel();
        self.work.notify_all();
        respond_json(request, 200, &json!({ "id": id, "cancelled": cancelled }));
    }

    /// Writes the events from a position to the end of the stream. A cancelled stream ends without
    /// `[DONE]`.
    fn write_stream(
        &self,
        request: Request,
        caller: &CallerHandle,
        stream: &StreamBuffer,
        from: usize,
        fault: &StreamFault,
    ) {
        let Ok(mut writer) = EventWriter::start(request) else { return };
        let mut position = from;
        loop {
            self.wait_while_frozen();
            if self.is_stopped() || fault.cut_after.is_some_and(|cut| position >= cut as usize) {
                return caller.reset();
            }
            let sent = match stream.read(position) {
                StreamRead::Event(event) => {
                    position += 1;
                    let crossed = fault.crossed && position == 1;
                    self.send_event(&mut writer, stream, &event, crossed)
                }
                StreamRead::Waiting => Ok(()),
                StreamRead::Ended => {
                    let _ = writer.send("[DONE]");
                    return;
                }
                StreamRead::Cancelled => return,
                StreamRead::Evicted => return caller.reset(),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn send_event(
        &self,
        writer: &mut EventWriter,
        stream: &StreamBuffer,
        event: &str,
        crossed: bool,
    ) -> io::Result<()> {
        writer.send(event)?;
        if crossed {
            let other = locked(&self.streams).find_other_open(&stream.id);
            let (id, hash) = other.map_or_else(
                || ("stray".to_owned(), 0),
                |other| (other.id.clone(), other.prompt_hash),
            );
            writer.send(&token_event(&id, 1, &seeded_text(hash, 1)))?;
        }
        Ok(())
    }

    /// Responds with one JSON document after the stream has ended.
    fn write_json_answer(&self, request: Request, stream: &StreamBuffer) {
        let (mut position, mut text, mut usage) = (0, String::new(), Value::Null);
        loop {
            self.wait_while_frozen();
            if self.is_stopped() {
                return;
            }
            match stream.read(position) {
                StreamRead::Event(event) => {
                    position += 1;
                    let value: Value = serde_json::from_str(&event).unwrap_or_default();
                    text.push_str(value["text"].as_str().unwrap_or_default());
                    usage = value["usage"].clone();
                }
                StreamRead::Waiting => {}
                StreamRead::Ended => {
                    let answer = json!({ "id": stream.id, "text": text, "usage": usage });
                    return respond_json(request, 200, &answer);
                }
                StreamRead::Cancelled => {
                    return respond_json(request, 499, &error_body("cancelled"));
                }
                StreamRead::Evicted => {
                    return respond_json(request, 500, &error_body("answer exceeds the buffer"));
                }
            }
        }
    }
}

fn new_item(stream: &Arc<StreamBuffer>, parsed: CompletionBody, slot: Option<usize>) -> BatchItem {
    let prompt_tokens = token_count(&parsed.prompt).max(1);
    BatchItem {
        stream: Arc::clone(stream),
        blocks: block_hashes(&parsed.prompt),
        model: parsed.model,
        prompt_tokens,
        max_tokens: parsed.max_tokens.clamp(1, MAX_OUTPUT_TOKENS),
        journal_slot: slot,
        cached_tokens: 0,
        uncomputed: prompt_tokens,
        produced: 0,
    }
}

pub(super) fn error_body(reason: &str) -> Value {
    json!({ "error": { "reason": reason } })
}
