//! What a deployment's HTTP peers call things: header names, paths of calls and codecs.
//!
//! The adapter of a deployment fills in these structs; the rest of the crate uses only the fields.

use crate::config::{ConfigError, RouteConfig};
use crate::targets::{AnnouncementError, TargetAnnouncement};
pub use hyper::header::HeaderName;

/// Names and codecs of one deployment.
#[derive(Clone, Debug)]
pub struct HttpApi {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Paths of calls.
    pub paths: CallPaths,
    /// Reads and checks a configuration document.
    pub decode_config: fn(&[u8]) -> Result<RouteConfig, ConfigError>,
    /// Reads the announcement of the target with the given id.
    pub decode_announcement: fn(&str, &[u8]) -> Result<TargetAnnouncement, AnnouncementError>,
    /// Encodes the acknowledgement of an announcement that asks for further ones at an address.
    pub encode_announce_reply: fn(&str) -> String,
}

/// Header names of requests and answers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one caller attempt, echoed by targets.
    pub attempt: HeaderName,
    /// Time that is left for the request, in ms.
    pub deadline: HeaderName,
    /// Prompt tokens and the maximum of output tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// Caller's estimate of the output tokens.
    pub length_hint: HeaderName,
    /// Workspace that the credential belongs to, set for targets.
    pub workspace: HeaderName,
    /// Incarnation that alone may run the request, set for targets.
    pub expected_target: HeaderName,
    /// Signature of a target's answer.
    pub signature: HeaderName,
    /// Present in answers to requests that did not run.
    pub not_run: HeaderName,
    /// Id of the last event that the caller has received.
    pub last_event: HeaderName,
    /// Headers that only nodes may set: removed from callers' requests.
    pub internal: Vec<HeaderName>,
}

/// Paths of the calls that a node serves.
#[derive(Clone, Debug)]
pub struct CallPaths {
    /// Readiness check of the load balancer.
    pub ready: String,
    /// Prefix before the id of an announcing or leaving target.
    pub targets: String,
    /// The configuration document.
    pub config: String,
}
