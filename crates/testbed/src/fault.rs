//! Faults that tests inject into a running fake target.

use serde::{Deserialize, Serialize};

/// Active faults of a target. `POST /testbed/fault` replaces all of them, so `{}` clears them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSet {
    /// Factor by which computation is slower; 1 is normal speed.
    pub straggler_factor: f64,
    /// Resets the connection of each dispatched stream after this many tokens, or of each service
    /// call after this many bytes of the response. Resumed streams are not reset.
    pub cut_after: Option<u32>,
    /// Stops computation, responses and announcements until it is cleared.
    pub freeze: bool,
    /// Responds to each dispatch with this status.
    pub error_status: Option<u16>,
    /// Crashes the target when a prompt or body contains this text.
    pub crash_marker: Option<String>,
    /// Inserts one event of another running request into each stream.
    pub crossed_frames: bool,
    /// Additional time before a plain service responds, in milliseconds.
    pub latency_ms: u64,
}

impl Default for FaultSet {
    fn default() -> Self {
        Self {
            straggler_factor: 1.0,
            cut_after: None,
            freeze: false,
            error_status: None,
            crash_marker: None,
            crossed_frames: false,
            latency_ms: 0,
        }
    }
}
