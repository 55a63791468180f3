//! Responses to callers.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// Error for a stream that cannot be completed. Its connection ends without the final chunk.
#[derive(Clone, Copy, Debug)]
#[derive(Error)]
#[error("the stream broke before its end")]
pub(crate) struct StreamBroken;

/// Body of a response.
pub(crate) enum ReplyBody {
    /// Complete body, or `None` if it is empty or has been sent.
    Full(Option<Bytes>),
    /// Parts that are forwarded as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, StreamBroken>>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(parts) => {
                parts.poll_recv(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Builds a response with a short text.
pub(crate) fn text_reply(status: StatusCode, text: impl Into<Bytes>) -> Response<ReplyBody> {
    let text = text.into();
    let body = if text.is_empty() { None } else { Some(text) };
    let mut response = Response::new(ReplyBody::Full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Builds a response with a JSON body.
pub(crate) fn json_reply(status: StatusCode, json: impl Into<Bytes>) -> Response<ReplyBody> {
    let mut response = text_reply(status, json);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds a refusal of a request that did not run. `retry_after_ms` becomes the retry-after header.
pub(crate) fn refusal_reply(
    status: StatusCode,
    text: &'static str,
    retry_after_ms: Option<u64>,
) -> Response<ReplyBody> {
    let mut response = text_reply(status, text);
    if let Some(ms) = retry_after_ms {
        let seconds = format!("{}.{:03}", ms / 1_000, ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
