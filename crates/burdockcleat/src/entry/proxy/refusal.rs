//! Responses that the proxy itself sends before it closes a connection.

/// Why the proxy refuses a connection or a request.
///
/// The outcome is always `unknown`. The proxy does not parse request ids, so an earlier attempt
/// with the same id may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProxyRefusal {
    /// The limit on connections is reached.
    ConnectionLimit,
    /// The request exceeds a size limit.
    TooLarge,
    /// The request was not received in time.
    SenderTimeout,
}

impl ProxyRefusal {
    /// Returns the complete HTTP response.
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
        // A connection may be accepted soon. The other two need a changed request.
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
