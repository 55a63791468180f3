//! Validated configuration document: routes, services, workspaces and request limits.

use crate::streams::ServiceKey;
use std::collections::BTreeMap;
use thiserror::Error;

/// Lower bound of the stream gap timeout, in ms. Callers abandon a stream when a gap exceeds the
/// timeout, as agreed with them.
const MIN_STREAM_GAP_TIMEOUT_MS: u64 = 2_000;
/// Stream gap timeout as a multiple of the route's latency objective.
const GAP_TIMEOUT_OBJECTIVE_FACTOR: u64 = 4;
/// Stream gap timeout as a multiple of the route's longest pause between events.
const GAP_TIMEOUT_PAUSE_FACTOR: u64 = 8;

/// A validated configuration document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Version set by the operators; the document with the highest version is active.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceRule>,
    /// Workspaces. `None` if requests need no credential.
    pub workspaces: Option<Vec<WorkspaceRule>>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
}

/// Routing rule for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name used in logs.
    pub name: String,
    /// Host name that the route matches, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RequestKind,
    /// Request timeout, in ms.
    pub timeout_ms: u64,
    /// Latency objective, in ms. For streams it applies to the first event.
    pub objective_ms: u64,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Services with their traffic weights. At least one weight is positive.
    pub split: Vec<(String, u32)>,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no credential.
    pub auth_exempt: bool,
    /// Whether an interrupted stream may be resumed at another target.
    pub resumable: bool,
    /// Longest pause between two events that still counts as on time, in ms.
    pub pause_ms: Option<u64>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Is an event stream; runs at most once unless the route is resumable.
    Stream,
}

/// A service and the limits of its targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRule {
    /// Maximum number of connections that a target accepts from all clients together.
    pub connection_limit: u32,
    /// Memory of a target, in tokens of the requests that it holds; 0 if it is not stated.
    pub memory_tokens: u32,
    /// Number of tokens of a stream event; 0 if it is not stated.
    pub event_tokens: u32,
    /// Path at which targets tell whether they are healthy, if it is stated.
    pub health_path: Option<String>,
}

/// A workspace with its credentials and allowance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceRule {
    /// Name that targets receive.
    pub name: String,
    /// Credentials of callers.
    pub credentials: Vec<String>,
    /// Priority of the workspace; 0 is the highest and the default. The priority of the route only
    /// orders the requests of workspaces with the same priority.
    pub priority: Option<u32>,
    /// Whether the allowance counts tokens instead of requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request that does not state a number.
    pub default_tokens: u64,
    /// Allowance per second; 0 means no limit.
    pub rate_per_s: f64,
    /// Allowance beyond the rate that may be used in a burst.
    pub burst: f64,
}

/// Limits on the requests that callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Idle timeout of a connection, in ms. Also limits the time to receive a request head.
    pub idle_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { head_bytes: 16 << 10, body_bytes: 4 << 20, idle_ms: 15_000 }
    }
}

/// Reason why a configuration document was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ConfigError {
    /// The document could not be read in full.
    #[error("reading the configuration: {0}")]
    Unreadable(String),
    /// A route names a service that is not in the document.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("route {0} has the host and prefix of another route")]
    DuplicateRoute(String),
    /// The weights of a route add up to zero.
    #[error("the weights of route {0} add up to 0")]
    ZeroWeights(String),
    /// The timeout of a route is zero.
    #[error("the timeout of route {0} is 0 ms")]
    ZeroTimeout(String),
    /// The prefix of a route does not begin and end with a slash.
    #[error("the path prefix of route {0} does not begin and end with a slash")]
    InvalidPrefix(String),
    /// Two workspaces have the same credential.
    #[error("workspace {0} has a credential of another workspace")]
    DuplicateCredential(String),
}

impl RouteConfig {
    /// Validates constraints between the parts of the document.
    ///
    /// # Errors
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.errors().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns all violations of constraints between the parts of the document.
    pub fn errors(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        let mut seen = std::collections::BTreeSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                errors.push(ConfigError::InvalidPrefix(name()));
            }
            if !seen.insert((&route.host, &route.prefix)) {
                errors.push(ConfigError::DuplicateRoute(name()));
            }
            if route.timeout_ms == 0 {
                errors.push(ConfigError::ZeroTimeout(name()));
            }
            if route.split.iter().all(|(_, weight)| *weight == 0) {
                errors.push(ConfigError::ZeroWeights(name()));
            }
            for (service, _) in &route.split {
                if !self.services.contains_key(service) {
                    let service = service.clone();
                    errors.push(ConfigError::UnknownService { route: name(), service });
                }
            }
        }
        let mut credentials = BTreeMap::new();
        for workspace in self.workspaces.iter().flatten() {
            for credential in &workspace.credentials {
                if credentials
                    .insert(credential, &workspace.name)
                    .is_some_and(|name| *name != workspace.name)
                {
                    errors.push(ConfigError::DuplicateCredential(workspace.name.clone()));
                }
            }
        }
        errors
    }

    /// Finds the route of a host with the longest prefix that matches the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Finds the workspace that holds a credential.
    pub fn find_workspace(&self, credential: &str) -> Option<&WorkspaceRule> {
        self.workspaces
            .iter()
            .flatten()
            .find(|workspace| workspace.credentials.iter().any(|held| held == credential))
    }
}

impl RouteRule {
    /// Picks a service by weight. `point` is a uniform random number in `0.0..1.0`.
    pub fn pick_service(&self, point: f64) -> Option<&str> {
        let total: f64 = self.split.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let mut rest = point * total;
        for (service, weight) in &self.split {
            rest -= f64::from(*weight);
            if rest < 0.0 {
                return Some(service);
            }
        }
        self.split.iter().rev().find(|(_, weight)| *weight > 0).map(|(service, _)| service.as_str())
    }

    /// Returns the service with the given key if requests of the route may go to it.
    pub fn find_service(&self, key: ServiceKey) -> Option<&str> {
        let services = self.split.iter().filter(|(_, weight)| *weight > 0);
        services.map(|(service, _)| service.as_str()).find(|name| ServiceKey::new(name) == key)
    }

    /// Returns the gap after which callers abandon a stream, in ms. It also applies before the
    /// first event. `None` for routes without streams, whose callers wait until their deadline.
    pub fn stream_gap_timeout_ms(&self) -> Option<u64> {
        (self.kind == RequestKind::Stream).then(|| {
            let pause_ms = self.pause_ms.unwrap_or(0).saturating_mul(GAP_TIMEOUT_PAUSE_FACTOR);
            MIN_STREAM_GAP_TIMEOUT_MS
                .max(self.objective_ms.saturating_mul(GAP_TIMEOUT_OBJECTIVE_FACTOR))
                .max(pause_ms)
        })
    }

    /// Returns whether a request of the route may run more than once.
    pub const fn repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Stream => self.resumable,
        }
    }
}
