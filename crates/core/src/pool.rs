//! Scheduler of one pool: queueing, fair sharing, limits, preemption and routing.
//!
//! The scheduler is a deterministic state machine: [`PoolScheduler::step`] applies one input at a
//! given time. No step scans the whole queue. With `T` targets, `R` running requests, `n` waiting
//! requests, `B` prompt blocks per request and a lookahead of `K`, the costs are:
//!
//! - submit, withdraw, finish, release and cancel: O(log n + B log B);
//! - placement: O(K + T log T + K·S·B), where `S` is the number of slots of a target, and up to T·B
//!   prefix lookups. The lookups stop at the first target that could not win even with the whole
//!   prompt cached. While a request waits for a target with cached blocks, only that target and the
//!   requests running there are checked;
//! - victim selection: O(R), once per cancel and at most 32 times per step without success;
//! - tick: O(T log T) for straggler detection and O(R) for stalled streams;
//! - expired timer: O(log n).
//!
//! A step that places nothing and preempts nothing costs O(T + K·S·B).

mod cache_wait;
mod check;
mod cost;
mod digest;
mod event;
mod intake;
mod overtake;
mod preempt;
mod queue;
mod rebuild;
mod request;
mod retry;
mod route;
mod running;
mod settings;
mod shed;
mod target;
mod workspace;

pub use check::{PoolCounts, TierCounts, TierViolation};
pub use event::{OpenClaim, PoolInput, PoolOutput};
pub use settings::{
    MechanismSwitches, PoolSettings, RoutingPolicy, TierSettings, WorkspaceSettings,
};

use crate::clock::ClockTime;
use crate::estimate::{DecayedRatio, RateTable};
use crate::keys::{NodeId, RequestKey};
use crate::outcome::{ReasonCode, RequestOutcome};
use crate::registry::{SuspectTable, TargetKey};
use queue::PoolQueue;
use rebuild::RebuildState;
use request::{PoolTarget, RequestHandle, RequestPhase, RequestRecord, UrgentKey};
use retry::RetryBudget;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use workspace::WorkspaceTable;

/// Scheduler of one pool.
///
/// ```
/// use burdockcleat_core::clock::ClockTime;
/// use burdockcleat_core::pool::{PoolInput, PoolScheduler, PoolSettings};
/// let mut scheduler = PoolScheduler::new(PoolSettings::default());
/// let outputs = scheduler.step(ClockTime::from_ms(0), PoolInput::Tick);
/// assert!(outputs.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct PoolScheduler {
    settings: PoolSettings,
    requests: SlotMap<RequestHandle, RequestRecord>,
    by_key: HashMap<RequestKey, RequestHandle>,
    by_entry: HashMap<NodeId, BTreeSet<RequestHandle>>,
    queue: PoolQueue,
    /// Names of the models. Requests refer to them by index.
    models: Vec<String>,
    workspaces: WorkspaceTable,
    targets: BTreeMap<TargetKey, PoolTarget>,
    /// Total number of slots of the eligible targets.
    slot_count: usize,
    rates: RateTable,
    /// Running requests by tier.
    running: BTreeMap<u8, BTreeSet<RequestHandle>>,
    /// Running requests by tier that are not paired with a higher-tier request.
    unpaired: BTreeMap<u8, BTreeSet<RequestHandle>>,
    /// Running requests that were dispatched above their target's concurrency limit, by tier and
    /// arrival.
    running_above_limit: BTreeSet<(u8, u64, RequestHandle)>,
    /// Timers of requests, by time and arrival.
    timers: BTreeSet<(ClockTime, u64, RequestHandle)>,
    /// Waiting requests that need a slot by preemption and are not paired yet.
    urgent: BTreeSet<UrgentKey>,
    /// Waiting requests whose deadline has passed. They are held while a request of a lower tier
    /// runs.
    expired: BTreeSet<(u8, RequestHandle)>,
    /// Waiting requests that are parked because they are suspected of crashing targets.
    parked: BTreeSet<RequestHandle>,
    suspects: SuspectTable,
    rebuild: Option<RebuildState>,
    claims_full: bool,
    retries: RetryBudget,
    /// Rate of ended requests, used for the retry-after time.
    ended_requests: DecayedRatio,
    /// Estimated service time of placed requests by tier. Used to estimate the slots that higher
    /// tiers leave to a lower one.
    placed_service_time: BTreeMap<u8, DecayedRatio>,
    /// Ratio of the actual to the estimated service time of completed requests.
    service_time_ratio: DecayedRatio,
    /// Mean time from dispatch to end of completed requests, in milliseconds.
    service_time: DecayedRatio,
    /// Arrival number of the newest request.
    sequence: u64,
    /// Number of placements so far.
    placements: u64,
    random_state: u64,
    outputs: Vec<PoolOutput>,
}

impl PoolScheduler {
    /// Creates a scheduler without targets and requests.
    pub fn new(settings: PoolSettings) -> Self {
        let random_state = match settings.routing {
            RoutingPolicy::Random { seed } => seed,
            _ => 0,
        };
        Self {
            rates: RateTable::new(settings.rates.clone()),
            settings,
            requests: SlotMap::with_key(),
            by_key: HashMap::new(),
            by_entry: HashMap::new(),
            queue: PoolQueue::default(),
            models: Vec::new(),
            workspaces: WorkspaceTable::default(),
            targets: BTreeMap::new(),
            slot_count: 0,
            running: BTreeMap::new(),
            unpaired: BTreeMap::new(),
            running_above_limit: BTreeSet::new(),
            timers: BTreeSet::new(),
            urgent: BTreeSet::new(),
            expired: BTreeSet::new(),
            parked: BTreeSet::new(),
            suspects: SuspectTable::default(),
            rebuild: None,
            claims_full: false,
            retries: RetryBudget::default(),
            ended_requests: DecayedRatio::default(),
            placed_service_time: BTreeMap::new(),
            service_time_ratio: DecayedRatio::default(),
            service_time: DecayedRatio::default(),
            sequence: 0,
            placements: 0,
            random_state,
            outputs: Vec::new(),
        }
    }

    /// Applies one input and returns the actions for the caller, in order.
    #[must_use]
    pub fn step(&mut self, now: ClockTime, input: PoolInput) -> Vec<PoolOutput> {
        self.apply(now, input);
        if !self.rebuilding(now) {
            self.run_timers(now);
            self.dispatch(now);
            self.shed_overload(now);
            self.preempt_for_urgent(now);
            self.refuse_expired(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether a request waits or runs in this pool.
    pub fn contains(&self, key: RequestKey) -> bool {
        self.by_key.contains_key(&key)
    }

    fn apply(&mut self, now: ClockTime, input: PoolInput) {
        match input {
            PoolInput::Submit { entry, request } => self.submit(now, entry, request),
            PoolInput::Withdraw { key } => self.withdraw(key),
            PoolInput::ClaimCommitted { key, claim } => self.claim_committed(key, claim),
            PoolInput::ClaimRefused { key } => self.claim_refused(now, key),
            PoolInput::ClaimTable { full } => self.claims_full = full,
            PoolInput::Release { key, claim, retry } => self.release(now, key, claim, retry),
            PoolInput::Progress(reports) => {
                for report in reports {
                    self.progress(now, report);
                }
            }
            PoolInput::Finish(report) => self.finish(now, &report),
            PoolInput::CancelDone { key, claim } => self.cancel_done(now, key, claim),
            PoolInput::Target { target, change } => self.target_changed(now, target, change),
            PoolInput::EntryLost { entry } => self.entry_lost(now, entry),
            PoolInput::EntryReported { entry, running } => {
                self.entry_reported(now, entry, &running);
            }
            PoolInput::Rebuild { claims, entries } => self.begin_rebuild(now, claims, entries),
            PoolInput::RestoreSuspects(changes) => {
                for change in &changes {
                    self.suspects.apply(now, change);
                }
            }
            PoolInput::Settings(settings) => {
                self.workspaces.update_settings(&settings);
                self.rates.update_settings(settings.rates.clone());
                self.settings = *settings;
            }
            PoolInput::Tick => self.tick(now),
        }
    }

    fn tick(&mut self, now: ClockTime) {
        self.report_stalls(now);
        self.rates.tick(now);
        self.suspects.expire(now);
    }

    fn run_timers(&mut self, now: ClockTime) {
        while let Some((at, sequence, handle)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, sequence, handle));
            let Some(record) = self.requests.get_mut(handle) else { continue };
            record.timer = None;
            match &record.phase {
                RequestPhase::Waiting(_) => self.waiting_timer_fired(now, handle),
                RequestPhase::Running(_) => self.running_timer_fired(now, handle),
            }
        }
    }

    fn set_timer(&mut self, handle: RequestHandle, at: Option<ClockTime>) {
        let Some(record) = self.requests.get_mut(handle) else { return };
        let sequence = record.item.sequence;
        if let Some(old) = record.timer {
            self.timers.remove(&(old, sequence, handle));
        }
        record.timer = at;
        if let Some(at) = at {
            self.timers.insert((at, sequence, handle));
        }
    }

    /// Removes a waiting request and outputs a refusal for its entry.
    fn refuse(&mut self, now: ClockTime, handle: RequestHandle, reason: ReasonCode) {
        let Some(record) = self.requests.get(handle) else { return };
        let tier = record.item.tier;
        let retry_after_ms = match reason {
            ReasonCode::CrashesTargets => clamp_ms(
                self.suspects.quarantine_remaining_ms(now, record.fingerprint).unwrap_or(0),
            ),
            _ => self.retry_after(now, tier),
        };
        let output = PoolOutput::Refuse {
            key: record.key,
            attempt: record.attempt,
            entry: record.entry,
            tier,
            outcome: RequestOutcome::NotRun,
            reason,
            retry_after_ms,
        };
        self.remove_waiting(handle);
        self.outputs.push(output);
    }

    /// Removes a waiting request from all indices and refunds its tokens to the workspace.
    fn remove_waiting(&mut self, handle: RequestHandle) {
        self.remove_from_queue(handle);
        if let Some(record) = self.remove_request(handle) {
            self.workspaces.state_mut(record.workspace).refund_tokens(record.charged_tokens);
        }
    }

    /// Removes a request from the arena and from the indices shared by waiting and running
    /// requests.
    fn remove_request(&mut self, handle: RequestHandle) -> Option<RequestRecord> {
        self.set_timer(handle, None);
        let record = self.requests.remove(handle)?;
        self.by_key.remove(&record.key);
        if let Some(handles) = self.by_entry.get_mut(&record.entry) {
            handles.remove(&handle);
            if handles.is_empty() {
                self.by_entry.remove(&record.entry);
            }
        }
        let workspace = self.workspaces.state_mut(record.workspace);
        workspace.in_flight = workspace.in_flight.saturating_sub(1);
        Some(record)
    }

    /// Removes a request from the queue and from the indices of waiting requests.
    fn remove_from_queue(&mut self, handle: RequestHandle) {
        let Some(record) = self.requests.get(handle) else { return };
        let Some(waiting) = record.waiting() else { return };
        let (item, parked) = (record.item, waiting.parked.is_some());
        let urgent = record.urgent_key();
        self.queue.remove(&item, parked);
        self.urgent.remove(&urgent);
        self.expired.remove(&(item.tier, handle));
        self.parked.remove(&handle);
        self.unpair(handle);
    }

    /// Returns the estimated time, in milliseconds, in which the queue ahead of a request of this
    /// tier drains.
    fn retry_after(&self, now: ClockTime, tier: u8) -> u32 {
        let (service_ms, count) = self.queue.backlog(tier);
        let half_life = self.settings.rates.half_life_ms;
        // The decayed sum of a steady rate r converges to r·half_life/ln 2.
        let per_ms = self.ended_requests.amount(now, half_life) * std::f64::consts::LN_2
            / half_life.max(1.0);
        // The casts saturate; counts are far below 2^52.
        let wait = if per_ms > 1e-6 {
            (count + 1) as f64 / per_ms
        } else {
            service_ms / self.slot_count.max(1) as f64
        };
        let bounds = (self.settings.retry_after_min_ms, self.settings.retry_after_max_ms);
        (wait as u32).clamp(bounds.0, bounds.1.max(bounds.0))
    }
}

/// Converts milliseconds to the type used in messages to callers.
fn clamp_ms(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
