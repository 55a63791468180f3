//! Checks that an answer is whole and consists of the caller's own tokens.

use crate::prompt::{body_hash, token_text};
use serde_json::Value;

/// What a line of a stream shows.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StreamItem {
    /// Token in order with its own text.
    Token,
    /// Token of another request, out of order, repeated or missing before this one.
    Foreign,
    /// Usage or another event without a token.
    Other,
    /// Error event with the error object.
    Error(Value),
    /// `[DONE]`.
    Done,
}

/// Reads the events of one streamed answer.
pub(super) struct StreamCheck<'a> {
    prompt: &'a str,
    max_tokens: u32,
    next: u32,
}

impl<'a> StreamCheck<'a> {
    pub(super) fn new(prompt: &'a str, max_tokens: u32) -> Self {
        Self { prompt, max_tokens, next: 0 }
    }

    /// Takes one line; `None` for lines without data.
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
        let own = index == u64::from(self.next) && text == token_text(self.prompt, self.next);
        self.next += 1;
        Some(if own { StreamItem::Token } else { StreamItem::Foreign })
    }

    /// Whether all tokens have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.next == self.max_tokens
    }
}

/// Whether a plain service answered this body.
pub(super) fn is_matching_answer(body: &str, answer: &Value) -> bool {
    let hash = format!("{:016x}", body_hash(body.as_bytes()));
    answer.get("body_hash").and_then(Value::as_str) == Some(&*hash)
}
