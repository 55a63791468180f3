//! Configuration document in force: routes, services, workspaces and limits of requests.

use std::collections::BTreeMap;
use thiserror::Error;

/// Shortest gap after which callers abandon a stream, in ms, as agreed with the callers.
const MIN_STREAM_GAP_TIMEOUT_MS: u64 = 2_000;
/// The same gap in latency objectives.
const GAP_TIMEOUT_OBJECTIVES: u64 = 4;
/// The same gap in longest pauses.
const GAP_TIMEOUT_PAUSES: u64 = 8;

/// A validated configuration document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Version chosen by the operators; the highest one is in force.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceRule>,
    /// Workspaces; none if requests need no credential.
    pub workspaces: Option<Vec<WorkspaceRule>>,
    /// Limits of callers' requests.
    pub limits: RequestLimits,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name used in logs.
    pub name: String,
    /// Host that the route belongs to, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a request may be kept waiting, in ms.
    pub timeout_ms: u64,
    /// Latency objective, in ms; of streams, to the first event.
    pub objective_ms: u64,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u32,
    /// Services with their weights; at least one weight is positive.
    pub split: Vec<(String, u32)>,
    /// Largest number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no credential.
    pub auth_exempt: bool,
    /// Whether a broken stream may continue at another target.
    pub resumable: bool,
    /// Longest pause between two events of a stream on time, in ms.
    pub pause_ms: Option<u64>,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// An event stream; runs at most once unless the route is resumable.
    Stream,
}

/// A service and the limits of its targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRule {
    /// Connections that a target accepts from all callers together.
    pub connection_limit: u32,
}

/// A workspace with its credentials and allowance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceRule {
    /// Name passed on to targets.
    pub name: String,
    /// Credentials of callers.
    pub keys: Vec<String>,
    /// Rank of the workspace; takes precedence over the route's.
    pub priority: Option<u32>,
    /// Whether the allowance counts tokens in place of requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request that states none.
    pub default_tokens: u64,
    /// Allowance per second; 0 means no limit.
    pub rate_per_s: f64,
    /// Allowance beyond the rate that may be used at once.
    pub burst: f64,
}

/// Limits of what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a connection may stay idle, in ms; also bounds a slow request head.
    pub idle_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { head_bytes: 16 << 10, body_bytes: 4 << 20, idle_ms: 15_000 }
    }
}

/// Why a configuration document was refused.
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
    /// Two routes share host and prefix.
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
    /// Two workspaces share a credential.
    #[error("workspace {0} has a credential of another workspace")]
    DuplicateCredential(String),
}

impl RouteConfig {
    /// Checks the rules that span several parts of the document.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), ConfigError> {
        let mut seen = std::collections::BTreeSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(ConfigError::InvalidPrefix(name()));
            }
            if !seen.insert((&route.host, &route.prefix)) {
                return Err(ConfigError::DuplicateRoute(name()));
            }
            if route.timeout_ms == 0 {
                return Err(ConfigError::ZeroTimeout(name()));
            }
            if route.split.iter().all(|(_, weight)| *weight == 0) {
                return Err(ConfigError::ZeroWeights(name()));
            }
            if let Some((service, _)) =
                route.split.iter().find(|(service, _)| !self.services.contains_key(service))
            {
                let service = service.clone();
                return Err(ConfigError::UnknownService { route: name(), service });
            }
        }
        let mut keys = BTreeMap::new();
        for workspace in self.workspaces.iter().flatten() {
            for key in &workspace.keys {
                if keys.insert(key, &workspace.name).is_some_and(|name| *name != workspace.name) {
                    return Err(ConfigError::DuplicateCredential(workspace.name.clone()));
                }
            }
        }
        Ok(())
    }

    /// Finds the route of a host with the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Finds the workspace that holds a credential.
    pub fn find_workspace(&self, key: &str) -> Option<&WorkspaceRule> {
        self.workspaces.iter().flatten().find(|workspace| workspace.keys.iter().any(|k| k == key))
    }
}

impl RouteRule {
    /// Picks a service by weight, with `point` uniform in `0.0..1.0`.
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

    /// Longest gap, in ms, after which callers abandon a stream, also before its first event. None
    /// for routes without streams, whose callers wait until their deadline.
    pub fn stream_gap_timeout_ms(&self) -> Option<u64> {
        (self.kind == RequestKind::Stream).then(|| {
            let pause_ms = self.pause_ms.unwrap_or(0) * GAP_TIMEOUT_PAUSES;
            MIN_STREAM_GAP_TIMEOUT_MS.max(self.objective_ms * GAP_TIMEOUT_OBJECTIVES).max(pause_ms)
        })
    }

    /// Whether a request of the route may run more than once.
    pub const fn repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Stream => self.resumable,
        }
    }
}
