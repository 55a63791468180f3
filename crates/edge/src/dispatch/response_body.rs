//! Reads the body of a response that is buffered completely.

use crate::budgeted_body::{collect_body, stated_length};
use crate::memory_budget::MemoryUse;
use crate::node::NodeState;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Size limit of a response that is buffered completely, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Total size limit of the responses that a node without a memory budget is buffering, in bytes. It
/// leaves memory for the rest of the process on a small instance.
const MAX_BUFFERED_BYTES: usize = 24 << 20;

/// Counts the bytes of a buffered response in the node's total until it is dropped.
struct BufferGuard<'a> {
    node: &'a NodeState,
    bytes: usize,
}

impl BufferGuard<'_> {
    fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let total = self.node.buffered_bytes.get() + bytes;
        self.node.buffered_bytes.set(total);
        self.bytes <= MAX_RESPONSE_BYTES && total <= MAX_BUFFERED_BYTES
    }
}

impl Drop for BufferGuard<'_> {
    fn drop(&mut self) {
        self.node.buffered_bytes.set(self.node.buffered_bytes.get() - self.bytes);
    }
}

/// Reads a body to its end. Returns `None` if the connection breaks or the body is too long.
pub(super) async fn read_body(node: &NodeState, mut body: Incoming) -> Option<Bytes> {
    if let Some(budget) = &node.memory_budget {
        let length = stated_length(&body).unwrap_or(0);
        if length > MAX_RESPONSE_BYTES {
            return None;
        }
        // The target has done its work, so the response waits for memory until the deadline.
        let guard = budget.reserve(MemoryUse::Response, length).await;
        return collect_body(body, MAX_RESPONSE_BYTES, guard, true).await.ok();
    }
    let mut guard = BufferGuard { node, bytes: 0 };
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if !guard.grow(data.len()) {
            return None;
        }
        collected.extend_from_slice(&data);
    }
    Some(collected.freeze())
}
