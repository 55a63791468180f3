//! HTTP interface of a deployment: header names, paths and codecs.
//!
//! The adapter of a deployment fills in these structs. The rest of the crate contains no names that
//! are specific to a deployment.

use crate::config::{ConfigError, RouteConfig};
use crate::rollout::{RolloutError, RolloutOrder, RolloutRecord};
use crate::targets::{AnnouncementError, TargetAnnouncement};
pub use hyper::header::HeaderName;

/// Header names, paths and codecs of one deployment.
#[derive(Clone, Debug)]
pub struct HttpApi {
    /// Header names.
    pub headers: HeaderNames,
    /// Request paths.
    pub paths: CallPaths,
    /// Decodes and validates a configuration document.
    pub decode_config: fn(&[u8]) -> Result<RouteConfig, ConfigError>,
    /// Decodes the announcement of the target with the given id.
    pub decode_announcement: fn(&str, &[u8]) -> Result<TargetAnnouncement, AnnouncementError>,
    /// Encodes the acknowledgement of an announcement. The argument is the address for further
    /// announcements.
    pub encode_announce_reply: fn(&str) -> String,
    /// Decodes and validates a roll-out order.
    pub decode_rollout: fn(&[u8]) -> Result<RolloutOrder, RolloutError>,
    /// Encodes the state of a roll-out.
    pub encode_rollout: fn(&RolloutRecord) -> String,
}

/// Header names of requests and responses.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, echoed by targets.
    pub attempt: HeaderName,
    /// Time left for the request, in ms.
    pub deadline: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// Caller's estimate of the number of output tokens.
    pub length_hint: HeaderName,
    /// Parts of the prompt in order, separated by commas, each an id and a number of tokens
    /// separated by a colon. The last part belongs to the request itself.
    pub prompt_parts: HeaderName,
    /// Workspace of the credential, set on requests to targets.
    pub workspace: HeaderName,
    /// Id of the only target that may run the request, set on requests to targets.
    pub expected_target: HeaderName,
    /// Signature of a target's response.
    pub signature: HeaderName,
    /// Marks responses to requests that did not run.
    pub not_run: HeaderName,
    /// Running requests, waiting requests and slots of a target, and how long work takes on it at the
    /// moment, in percent, separated by commas, in its responses.
    pub target_load: HeaderName,
    /// Requests per second that a target takes from all nodes together, in its responses.
    pub target_limit: HeaderName,
    /// Marks responses of a target that is leaving, with the value 1.
    pub target_leaving: HeaderName,
    /// Id of a target, in its answers to health checks.
    pub target_id: HeaderName,
    /// Id of the last stream event that the caller received.
    pub last_event: HeaderName,
    /// Id of the attempt that brought the first event of the stream that the request takes up.
    pub first_attempt: HeaderName,
    /// Headers that only nodes may set. They are removed from callers' requests.
    pub internal: Vec<HeaderName>,
}

/// Paths that a node serves.
#[derive(Clone, Debug)]
pub struct CallPaths {
    /// Path of the load balancer's readiness check.
    pub ready: String,
    /// Path prefix before the target id, for announcements and leaves.
    pub targets: String,
    /// Path of the configuration document.
    pub config: String,
    /// Path of roll-out orders, and prefix of the path of their state before a slash and the service.
    pub rollouts: String,
}
