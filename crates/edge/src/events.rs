//! Splits an event stream into complete events, so that a stream that breaks in the middle of an
//! event can be resumed at another target.

use bytes::{Buf, Bytes, BytesMut};

/// Size limit of a buffered event, in bytes. A longer event ends the stream.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Error for an event that is longer than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Maximum length of an incomplete event terminator at the end of the buffer, in bytes. The longest
/// terminator, `\r\n\r\n`, has one byte more.
const PARTIAL_EVENT_END_BYTES: usize = 3;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the start of the buffer that is known to contain no event terminator.
    searched: usize,
    last_id: Option<u64>,
    event_count: u32,
}

impl EventSplitter {
    /// Appends bytes of the stream and returns the events that are now complete.
    ///
    /// # Errors
    /// Fails if an event is longer than the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let from = self.searched;
        let Some(end) = last_event_end(&self.buffer[from..]).map(|end| from + end) else {
            self.searched = self.buffer.len().saturating_sub(PARTIAL_EVENT_END_BYTES);
            return if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(None) };
        };
        self.searched = 0;
        let events = self.buffer.split_to(end).freeze();
        self.last_id = last_event_id(&events).or(self.last_id);
        self.event_count = self.event_count.saturating_add(data_event_count(&events));
        Ok(Some(events))
    }

    /// Returns the id of the last complete event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events that carry data.
    pub const fn event_count(&self) -> u32 {
        self.event_count
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Takes the bytes of the incomplete event.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Discards an incomplete event before the stream is resumed at another target.
    pub fn discard_partial_event(&mut self) {
        self.searched = 0;
        self.buffer.clear();
    }
}

/// Returns the position after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

/// Returns the number of events with data in a sequence of complete events.
fn data_event_count(events: &[u8]) -> u32 {
    let (mut count, mut has_data) = (0, false);
    for line in events.split(|byte| *byte == b'\n') {
        if line.is_empty() || line == b"\r" {
            count += u32::from(has_data);
            has_data = false;
        } else if line.starts_with(b"data") {
            has_data = true;
        }
    }
    count
}

/// Returns the last id in a sequence of complete events.
fn last_event_id(events: &[u8]) -> Option<u64> {
    events.rsplit(|byte| *byte == b'\n').find_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}
