//! Splits an event stream into whole events, so that a stream that breaks in the middle of an event
//! can continue elsewhere.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is kept whole, in bytes; longer ones end the stream.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// An event that was longer than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Bytes of the end of an event that may have arrived before its last one.
const EVENT_END_BYTES: usize = 3;

/// Collects bytes and hands out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no event ends.
    searched: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes in bytes of a stream and returns the whole events that are complete now.
    ///
    /// # Errors
    /// Fails if an event is longer than the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let from = self.searched;
        let Some(end) = last_event_end(&self.buffer[from..]).map(|end| from + end) else {
            self.searched = self.buffer.len().saturating_sub(EVENT_END_BYTES);
            return if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(None) };
        };
        self.searched = 0;
        let events = self.buffer.split_to(end).freeze();
        self.last_id = last_event_id(&events).or(self.last_id);
        Ok(Some(events))
    }

    /// Id of the last whole event that was handed out.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_partial_event(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Takes the bytes that do not form a whole event.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Forgets an unfinished event, before the stream continues at another target.
    pub fn discard_partial_event(&mut self) {
        self.searched = 0;
        self.buffer.clear();
    }
}

/// Position after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

/// The last id among whole events.
fn last_event_id(events: &[u8]) -> Option<u64> {
    events.rsplit(|byte| *byte == b'\n').find_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}
