//! Faults that tests switch on at a running fake target.

use serde::{Deserialize, Serialize};

/// Set of active faults. `POST /testbed/fault` replaces the whole set, so `{}` clears it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSet {
    /// Factor on all computing times; 1 is normal speed.
    pub straggler_factor: f64,
    /// Resets the connection of each dispatched stream after this many tokens, or of each
    /// service call after this many bytes of the answer. Resumed streams are not cut.
    pub cut_after: Option<u32>,
    /// Stops computing, answering and announcing until it is cleared.
    pub freeze: bool,
    /// Answers each dispatch with this status.
    pub error_status: Option<u16>,
    /// Ends the target at once when a prompt or body contains this text.
    pub crash_marker: Option<String>,
    /// Sends one event of another running request within each stream.
    pub crossed_frames: bool,
    /// Added time before a plain service answers, in milliseconds.
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
