//! Scheduling in one pool: queues, fair shares, limits, preemption and routing.
//!
//! The scheduler is a step function of time and event. No step scans the queue. With `T` targets
//! in the pool, `R` running requests, `n` waiting ones, `B` prompt blocks per request and `K` the
//! lookahead, the costs are:
//!
//! - submit, withdraw, finish, release and cancel: O(log n + B log B);
//! - each placement: O(K + T log T + K·S·B) with `S` the slots of a target, and up to T·B prefix
//!   lookups, which stop at the first target that could not win with the whole prompt cached; a
//!   request that waits for a target is only compared with that target and what it computes until
//!   its wait ends;
//! - each choice of a victim: O(R), once per cancel and at most 32 times per step without success;
//! - tick: O(T log T) for the straggler comparison, O(R) for stalled streams;
//! - each timer that is due: O(log n).
//!
//! A step in which nothing can be placed and nobody seeks a slot costs O(T + K·S·B).

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
mod reuse;
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
use request::{PoolTarget, RequestPhase, RequestRecord, RequestSlot, UrgentKey};
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
    requests: SlotMap<RequestSlot, RequestRecord>,
    by_key: HashMap<RequestKey, RequestSlot>,
    by_entry: HashMap<NodeId, BTreeSet<RequestSlot>>,
    queue: PoolQueue,
    classes: Vec<String>,
    workspaces: WorkspaceTable,
    targets: BTreeMap<TargetKey, PoolTarget>,
    /// Slots of all eligible targets.
    slot_count: usize,
    rates: RateTable,
    /// Running requests by tier.
    running: BTreeMap<u8, BTreeSet<RequestSlot>>,
    /// Those of `running` that no higher-tier request is paired with.
    unpaired: BTreeMap<u8, BTreeSet<RequestSlot>>,
    /// Running requests that were dispatched above the concurrency limit.
    above: BTreeSet<(u8, u64, RequestSlot)>,
    /// By time and arrival.
    timers: BTreeSet<(ClockTime, u64, RequestSlot)>,
    /// Waiting requests that seek a slot by preemption and are not paired yet.
    urgent: BTreeSet<UrgentKey>,
    /// Waiting requests with a passed deadline, held while a lower tier runs.
    expired: BTreeSet<(u8, RequestSlot)>,
    parked: BTreeSet<RequestSlot>,
    suspects: SuspectTable,
    rebuild: Option<RebuildState>,
    claims_full: bool,
    retries: RetryBudget,
    /// Requests that ended, for the retry-after time.
    drained: DecayedRatio,
    /// Estimated service time of the placed requests by tier, for the share of the slots that the
    /// tiers above leave.
    served: BTreeMap<u8, DecayedRatio>,
    /// Actual against estimated time of finished requests.
    stretch: DecayedRatio,
    /// Time from dispatch to end.
    service_time: DecayedRatio,
    sequence: u64,
    placements: u64,
    random_state: u64,
    outputs: Vec<PoolOutput>,
}

impl PoolScheduler {
    /// A scheduler without targets and requests.
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
            classes: Vec::new(),
            workspaces: WorkspaceTable::default(),
            targets: BTreeMap::new(),
            slot_count: 0,
            running: BTreeMap::new(),
            unpaired: BTreeMap::new(),
            above: BTreeSet::new(),
            timers: BTreeSet::new(),
            urgent: BTreeSet::new(),
            expired: BTreeSet::new(),
            parked: BTreeSet::new(),
            suspects: SuspectTable::default(),
            rebuild: None,
            claims_full: false,
            retries: RetryBudget::default(),
            drained: DecayedRatio::default(),
            served: BTreeMap::new(),
            stretch: DecayedRatio::default(),
            service_time: DecayedRatio::default(),
            sequence: 0,
            placements: 0,
            random_state,
            outputs: Vec::new(),
        }
    }

    /// Applies one event and returns what the caller has to do, in order.
    #[must_use]
    pub fn step(&mut self, now: ClockTime, input: PoolInput) -> Vec<PoolOutput> {
        self.apply(now, input);
        if !self.rebuilding(now) {
            self.run_timers(now);
            self.dispatch(now);
            self.shed_overload(now);
            self.serve_urgent(now);
            self.settle_expired(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Whether a request waits or runs here.
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
        while let Some((at, sequence, slot)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, sequence, slot));
            let Some(record) = self.requests.get_mut(slot) else { continue };
            record.timer = None;
            match &record.phase {
                RequestPhase::Waiting(_) => self.waiting_due(now, slot),
                RequestPhase::Running(_) => self.running_due(now, slot),
            }
        }
    }

    fn set_timer(&mut self, slot: RequestSlot, at: Option<ClockTime>) {
        let Some(record) = self.requests.get_mut(slot) else { return };
        let sequence = record.item.sequence;
        if let Some(old) = record.timer {
            self.timers.remove(&(old, sequence, slot));
        }
        record.timer = at;
        if let Some(at) = at {
            self.timers.insert((at, sequence, slot));
        }
    }

    /// Removes a waiting request and tells its entry.
    fn refuse(&mut self, now: ClockTime, slot: RequestSlot, reason: ReasonCode) {
        let Some(record) = self.requests.get(slot) else { return };
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
        self.remove_waiting(slot);
        self.outputs.push(output);
    }

    /// Removes a waiting request from all indices and returns what it took from its workspace.
    fn remove_waiting(&mut self, slot: RequestSlot) {
        self.leave_queue(slot);
        if let Some(record) = self.forget(slot) {
            self.workspaces.state_mut(record.workspace).give_back(record.charged_tokens);
        }
    }

    /// Takes a request out of the arena and the indices that all requests are in.
    fn forget(&mut self, slot: RequestSlot) -> Option<RequestRecord> {
        self.set_timer(slot, None);
        let record = self.requests.remove(slot)?;
        self.by_key.remove(&record.key);
        if let Some(slots) = self.by_entry.get_mut(&record.entry) {
            slots.remove(&slot);
            if slots.is_empty() {
                self.by_entry.remove(&record.entry);
            }
        }
        let workspace = self.workspaces.state_mut(record.workspace);
        workspace.in_flight = workspace.in_flight.saturating_sub(1);
        Some(record)
    }

    /// Takes a request out of the queue and the indices of waiting requests.
    fn leave_queue(&mut self, slot: RequestSlot) {
        let Some(record) = self.requests.get(slot) else { return };
        let Some(waiting) = record.waiting() else { return };
        let (item, parked) = (record.item, waiting.parked.is_some());
        let urgent = record.urgent_key();
        self.queue.remove(&item, parked);
        self.urgent.remove(&urgent);
        self.expired.remove(&(item.tier, slot));
        self.parked.remove(&slot);
        self.unpair(slot);
    }

    /// Time after which the queue in front of a request of this tier should have drained.
    fn retry_after(&self, now: ClockTime, tier: u8) -> u32 {
        let (service_ms, count) = self.queue.ahead(tier);
        let half_life = self.settings.rates.half_life_ms;
        // A steady rate r sums up to r·half_life/ln 2.
        let per_ms =
            self.drained.amount(now, half_life) * std::f64::consts::LN_2 / half_life.max(1.0);
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

/// Milliseconds as they are sent to callers.
fn clamp_ms(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
