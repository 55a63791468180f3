//! Records of requests and targets of one pool.

use super::queue::QueueItem;
use crate::clock::ClockTime;
use crate::estimate::PrefixIndex;
use crate::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity};
use crate::registry::{TargetAnnouncement, TargetKey};
use slotmap::new_key_type;

new_key_type! {
    /// Handle of a request in the arena of the scheduler.
    pub(super) struct RequestHandle;
}

/// Request that waits or runs.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub key: RequestKey,
    pub attempt: u32,
    pub entry: NodeId,
    pub fingerprint: RequestFingerprint,
    /// Index of the workspace.
    pub workspace: usize,
    pub idempotent: bool,
    pub submitted: ClockTime,
    pub deadline: ClockTime,
    pub prompt_tokens: u32,
    /// Output limit set by the caller, in tokens.
    pub output_limit: u32,
    /// Expected output from the workspace's history, in tokens.
    pub output_expected: f64,
    pub prefix_hashes: Vec<u64>,
    /// Tokens taken from the workspace's token bucket.
    pub charged_tokens: f64,
    /// Position in the queue. Kept while the request runs, because a release returns it to the
    /// queue.
    pub item: QueueItem,
    /// Whether a new leader restored the request from its claim.
    pub restored: bool,
    /// Targets that refused the connection.
    pub tried: Vec<TargetKey>,
    /// When the request's timer expires.
    pub timer: Option<ClockTime>,
    /// The other request of a preemption pair: a waiting request and its victim, or a request above
    /// the concurrency limit and the running request of a lower tier that accounts for the excess.
    pub partner: Option<RequestHandle>,
    pub phase: RequestPhase,
}

#[derive(Clone, Debug)]
pub(super) enum RequestPhase {
    Waiting(WaitState),
    Running(RunState),
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaitState {
    /// Whether the request needs a slot by preemption.
    pub urgent: bool,
    /// Wait for a busy target that has the prompt cached.
    pub cache_wait: Option<CacheWait>,
    pub parked: Option<ParkReason>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct CacheWait {
    pub target: TargetKey,
    /// Maximum wait, in milliseconds, while another slot is available.
    pub limit_ms: u64,
    /// End of the wait. Set when another slot is available for the first time.
    pub until: Option<ClockTime>,
}

/// Reason why a waiting request cannot be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ParkReason {
    /// Every usable target runs another request that is suspected of crashing targets.
    Suspect,
    /// The deadline has passed while a lower tier still runs.
    Expired,
}

#[derive(Clone, Debug)]
pub(super) struct RunState {
    /// Target that runs the request. Absent until the target of a restored request has announced
    /// itself, and after that target has crashed.
    pub target: Option<TargetKey>,
    /// Target named in the claim of a restored request, until that target has announced itself.
    pub identity: Option<TargetIdentity>,
    pub claim: Option<ClaimNumber>,
    pub placed: ClockTime,
    /// Whether the request was suspected of crashing targets when it was placed.
    pub suspect: bool,
    /// When the last cancel was sent, if one is pending.
    pub cancelling: Option<ClockTime>,
    /// When the owner was lost, or the request was restored. Absent once the owner has reported
    /// that it runs the request.
    pub owner_lost: Option<ClockTime>,
    /// Prompt tokens that the target has to compute.
    pub uncached_tokens: f64,
    /// Prompt tokens of other requests that the target had to compute before this one.
    pub prefill_ahead_tokens: f64,
    pub first_token_received: bool,
    pub tokens: u32,
    /// When progress was last reported.
    pub last_report: ClockTime,
}

/// Tier, deadline, arrival number and handle of an urgent request. Sorts by preemption order.
pub(super) type UrgentKey = (u8, ClockTime, u64, RequestHandle);

impl RequestRecord {
    pub fn urgent_key(&self) -> UrgentKey {
        (self.item.tier, self.deadline, self.item.sequence, self.item.handle)
    }

    pub fn running(&self) -> Option<&RunState> {
        match &self.phase {
            RequestPhase::Running(state) => Some(state),
            RequestPhase::Waiting(_) => None,
        }
    }

    pub fn running_mut(&mut self) -> Option<&mut RunState> {
        match &mut self.phase {
            RequestPhase::Running(state) => Some(state),
            RequestPhase::Waiting(_) => None,
        }
    }

    pub fn waiting(&self) -> Option<&WaitState> {
        match &self.phase {
            RequestPhase::Waiting(state) => Some(state),
            RequestPhase::Running(_) => None,
        }
    }

    pub fn waiting_mut(&mut self) -> Option<&mut WaitState> {
        match &mut self.phase {
            RequestPhase::Waiting(state) => Some(state),
            RequestPhase::Running(_) => None,
        }
    }
}

impl RunState {
    /// Returns whether a cancel can be sent to the owner.
    pub fn reachable(&self) -> bool {
        self.claim.is_some() && self.owner_lost.is_none()
    }

    /// Returns the work that a cancel would discard, in tokens.
    pub fn work(&self) -> f64 {
        if self.first_token_received { self.uncached_tokens + f64::from(self.tokens) } else { 0.0 }
    }
}

/// Incarnation of a target of the pool.
#[derive(Clone, Debug)]
pub(super) struct PoolTarget {
    pub announcement: TargetAnnouncement,
    /// Whether the target may receive new requests.
    pub eligible: bool,
    /// Number of failed connections since the last announcement.
    pub failures: u32,
    /// Whether the target has left. It is removed when its last request has ended.
    pub left: bool,
    pub running: Vec<RequestHandle>,
    /// Uncached prompt tokens of requests placed here that have not produced their first token.
    pub pending_prefill_tokens: f64,
    pub prefix: PrefixIndex,
    /// Number of running requests that are suspected of crashing targets.
    pub suspect_count: u32,
    /// Fingerprints of requests whose connection to this incarnation was cut.
    pub cut_connections: Vec<RequestFingerprint>,
    /// Sequence number of the last placement, used for round robin.
    pub last_placed: u64,
    /// When progress of any stream was last reported.
    pub last_progress: ClockTime,
}

impl PoolTarget {
    pub fn slots(&self) -> usize {
        if self.eligible { self.announcement.slots as usize } else { 0 }
    }

    pub fn has_free_slot(&self, failure_limit: u32) -> bool {
        self.running.len() < self.slots() && self.failures < failure_limit
    }
}
