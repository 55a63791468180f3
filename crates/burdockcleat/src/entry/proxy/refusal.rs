//! Short answers that the proxy itself sends before it closes a connection.

/// Why the proxy refuses a connection or a request.
///
/// The outcome is always `unknown`: the proxy does not look at request ids, so an earlier
/// attempt with the same id may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProxyRefusal {
    /// The bound on connections is reached.
    ConnectionLimit,
    /// The request is larger than a bound.
    TooLarge,
    /// The sender took too long for one request.
    SenderTimeout,
}

impl ProxyRefusal {
    /// The whole HTTP response.
    pub(super) fn response(self) -> String {
        let (status, reason, message) = match self {
            Self::ConnectionLimit => {
                ("503 Service Unavailable", "connection_limit", "too many connections")
            }
            Self::TooLarge => ("413 Content Too Large", "too_large", "the request is too large"),
            Self::SenderTimeout => {
                ("408 Request Timeout", "sender_timeout", "the request took too long to arrive")
            }
        };
        // A further connection is worth a try soon; the other two need a changed request.
        let retry = if self == Self::ConnectionLimit { "1000" } else { "null" };
        let body = format!(
            "{{\"error\":{{\"outcome\":\"unknown\",\"reason\":\"{reason}\",\
             \"message\":\"{message}\",\"request_id\":null,\"retry_after_ms\":{retry}}}}}"
        );
        format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n{body}",
            body.len()
        )
    }
}
