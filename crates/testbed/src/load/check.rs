//! Checks that an answer is complete and belongs to its request.

use crate::prompt::{body_hash, token_text};
use serde_json::Value;

/// Content of one line of a stream.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StreamItem {
    /// The expected next token of this request.
    Token,
    /// Unreadable event or unexpected token: of another request, repeated, out of order or after a
    /// gap.
    Foreign,
    /// Usage event or another event without a token.
    Other,
    /// Error event, with the error object.
    Error(Value),
    /// `[DONE]`.
    Done,
}

/// Checks the events of one streamed answer.
pub(super) struct StreamCheck<'a> {
    prompt: &'a str,
    max_tokens: u32,
    next: u32,
}

impl<'a> StreamCheck<'a> {
    pub(super) fn new(prompt: &'a str, max_tokens: u32) -> Self {
        Self { prompt, max_tokens, next: 0 }
    }

    /// Checks one line. Returns `None` for a line without data.
    pub(super) fn line(&mut self, line: &str) -> Option<StreamItem> {
        let data = line.strip_prefix("data:")?.trim_start();
        if data == "[DONE]" {
            return Some(StreamItem::Done);
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return Some(StreamItem::Foreign);
        };
        if let Some(error) = event.get("error") {
            return Some(StreamItem::Error(error.clone()));
        }
        let Some(text) = event.get("text").and_then(Value::as_str) else {
            return Some(StreamItem::Other);
        };
        let index = event.get("index").and_then(Value::as_u64).unwrap_or(u64::from(self.next));
        let is_expected =
            index == u64::from(self.next) && text == token_text(self.prompt, self.next);
        self.next += 1;
        Some(if is_expected { StreamItem::Token } else { StreamItem::Foreign })
    }

    /// Whether all tokens have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.next == self.max_tokens
    }
}

/// Whether the answer of a plain service belongs to a request with this body.
pub(super) fn is_matching_answer(body: &str, answer: &Value) -> bool {
    let hash = format!("{:016x}", body_hash(body.as_bytes()));
    answer.get("body_hash").and_then(Value::as_str) == Some(&*hash)
}
