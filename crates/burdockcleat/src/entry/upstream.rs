//! HTTP client for calls to targets.

use burdockcleat_core::outcome::ReasonCode;
use std::fmt;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use thiserror::Error;
use ureq::config::Config;
use ureq::http::{Method, Request, Uri};
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    ConnectionDetails, Connector, Either, NextTimeout, TcpConnector, Transport,
};

/// Timeout for connecting to a target, which is in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a cancel call. After it, the handler waits for the stream itself to end.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum length of a line in an event stream. Bounds memory if a target never ends a line.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Why a call to a target failed.
#[derive(Debug)]
#[derive(Error)]
pub enum UpstreamError {
    /// No connection was established, so no byte of the request left this process.
    #[error("connecting to target {address}")]
    NotConnected {
        /// Address of the target.
        address: String,
        /// What the client reported.
        #[source]
        source: ureq::Error,
    },
    /// The call failed after the connection was established.
    #[error("calling target {address}")]
    Call {
        /// Address of the target.
        address: String,
        /// What the client reported.
        #[source]
        source: ureq::Error,
    },
    /// The thread for the call could not be created.
    #[error("starting a thread for the call")]
    Thread(#[source] std::io::Error),
    /// The request could not be expressed as HTTP.
    #[error("building the request for the target")]
    Build(#[from] ureq::http::Error),
}

impl UpstreamError {
    /// Returns whether the request certainly did not reach the target.
    pub fn never_sent(&self) -> bool {
        !matches!(self, Self::Call { .. })
    }

    /// Returns the reason code for the caller.
    pub fn reason(&self) -> ReasonCode {
        match self {
            Self::NotConnected { .. } => ReasonCode::Unreachable,
            Self::Build(_) => ReasonCode::BadRequest,
            Self::Thread(_) => ReasonCode::Internal,
            Self::Call { source: ureq::Error::Timeout(_), .. } => ReasonCode::UpstreamTimeout,
            Self::Call { .. } => ReasonCode::UpstreamCut,
        }
    }
}

/// Last connector in the chain. Records that a connection was established and may refuse its use.
struct ConnectWitness<F> {
    connected: Arc<AtomicBool>,
    /// Called after the connection is established and before the first byte is written.
    still_allowed: F,
}

impl<F> fmt::Debug for ConnectWitness<F> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ConnectWitness")
    }
}

impl<In: Transport, F: Fn() -> bool + Send + Sync + 'static> Connector<In> for ConnectWitness<F> {
    type Out = Either<In, ()>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        if chained.is_some() {
            if !(self.still_allowed)() {
                return Err(ureq::Error::ConnectionFailed);
            }
            self.connected.store(true, Ordering::SeqCst);
        }
        Ok(chained.map(Either::A))
    }
}

/// Resolver that parses socket addresses itself and passes host names to [`DefaultResolver`].
///
/// With a timeout, [`DefaultResolver`] starts a thread for each call, even for an IP address.
#[derive(Debug, Default)]
struct AddressResolver {
    names: DefaultResolver,
}

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        config: &Config,
        timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let address = uri.authority().and_then(|authority| authority.as_str().parse().ok());
        let Some(address): Option<SocketAddr> = address else {
            return self.names.resolve(uri, config, timeout);
        };
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}

/// HTTP request to a target.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// Address of the target, `ip:port`.
    pub address: String,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers, in the order in which they are sent.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Arc<[u8]>,
    /// Timeout of the whole call.
    pub timeout: Duration,
}

/// Response of a target whose body is still to be read.
pub type TargetResponse = ureq::http::Response<ureq::Body>;

impl TargetCall {
    /// Sends the request over a new connection.
    ///
    /// Connections are not reused. After a failed write on a connection that the target has just
    /// closed, it would be unknown whether the request arrived. Redirects are not followed, since
    /// each would be another dispatch.
    ///
    /// # Errors
    /// Fails if the call fails. [`UpstreamError::never_sent`] tells whether the request may have
    /// reached the target.
    pub fn send(
        &self,
        still_allowed: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Result<TargetResponse, UpstreamError> {
        let connected = Arc::new(AtomicBool::new(false));
        let witness = ConnectWitness { connected: connected.clone(), still_allowed };
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(self.timeout))
            .max_idle_connections(0)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .http_status_as_error(false)
            .allow_non_standard_methods(true)
            .proxy(None)
            .build();
        let connector = TcpConnector::default().chain(witness);
        let agent = ureq::Agent::with_parts(config, connector, AddressResolver::default());
        let uri = format!("http://{}{}", self.address, self.path);
        let mut request = Request::builder().method(self.method.clone()).uri(uri);
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let result = if self.body.is_empty() && !has_body(&self.method) {
            agent.run(request.body(())?)
        } else {
            agent.run(request.body(self.body.to_vec())?)
        };
        result.map_err(|source| {
            let address = self.address.clone();
            match connected.load(Ordering::SeqCst) {
                true => UpstreamError::Call { address, source },
                false => UpstreamError::NotConnected { address, source },
            }
        })
    }
}

fn has_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

/// Asks a target to cancel a stream. Returns whether the target confirmed it.
pub fn cancel_stream(address: &str, stream: &str) -> bool {
    let call = TargetCall {
        address: address.to_owned(),
        method: Method::DELETE,
        path: format!("/v1/streams/{stream}"),
        headers: Vec::new(),
        body: Arc::from([]),
        timeout: CANCEL_TIMEOUT,
    };
    call.send(|| true).is_ok_and(|response| response.status().is_success())
}

/// Reads the `data:` lines of a server-sent event stream.
pub struct EventReader<R> {
    lines: BufReader<R>,
}

impl<R: Read> EventReader<R> {
    /// Creates a reader of a response body.
    pub fn new(body: R) -> Self {
        Self { lines: BufReader::new(body) }
    }

    /// Returns the data of the next event, or `None` at the end of the body.
    ///
    /// # Errors
    /// Fails if the connection breaks or a line is too long.
    pub fn next_event(&mut self) -> std::io::Result<Option<String>> {
        loop {
            let mut line = Vec::new();
            let read = (&mut self.lines).take(MAX_LINE_BYTES).read_until(b'\n', &mut line)?;
            if read == 0 {
                return Ok(None);
            }
            if line.last() != Some(&b'\n') {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let text = String::from_utf8_lossy(&line);
            if let Some(data) = text.trim_end().strip_prefix("data:") {
                return Ok(Some(data.trim_start().to_owned()));
            }
        }
    }
}
