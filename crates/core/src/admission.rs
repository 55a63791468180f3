//! Admits requests at the control leader, from a submit to a committed claim and its grant.
//!
//! The controller connects the replicated claims, the target registry and the pool schedulers.
//! It performs no I/O: its caller proposes the commands, sends the messages and passes committed
//! commands back. A `not_run` refusal is sent only after its record is committed, because a
//! deposed leader that does not know it yet must not claim that a request did not run.

mod claim;
mod digest;
mod entry;
mod event;
mod refusal;
mod settings;

pub use event::{AdmissionEvent, AdmissionEventKind};
pub use settings::pool_settings;

use crate::clock::ClockTime;
use crate::document::ConfigDocument;
use crate::keys::{ClaimNumber, NodeId, RequestKey, TargetIdentity};
use crate::message::{ControlMessage, SubmitRequest};
use crate::outcome::ReasonCode;
use crate::pool::{OpenClaim, PoolInput, PoolOutput, PoolScheduler};
use crate::registry::{
    AnnounceError, TargetAnnouncement, TargetChange, TargetChangeKind, TargetRecord, TargetRegistry,
};
use crate::state::{ClaimPhase, ClaimRecord, DrainSubject, ReplicatedState, StateCommand};
use std::collections::{BTreeMap, HashMap};

/// Time without a link after which an entry is considered lost, in milliseconds.
///
/// Longer than the reconnect interval of the links, so that one broken connection does not end
/// the claims of a running entry.
pub const ENTRY_LOST_TIMEOUT_MS: u64 = 2_000;
/// Delay from a `Hello` to the repeated grants of claims that it does not list, in milliseconds.
///
/// The submits that follow the `Hello` on the same link arrive within this time and identify the
/// waiting attempts.
const REGRANT_DELAY_MS: u64 = 1_000;
/// Interval between commands that expire old claims, in milliseconds.
const EXPIRE_INTERVAL_MS: u64 = 5_000;
/// Retry delay sent to a caller when the outcome is unknown or no delay was computed, in
/// milliseconds.
const DEFAULT_RETRY_AFTER_MS: u32 = 2_000;

/// Readings of both clocks for one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepTime {
    /// Monotonic clock, used for times kept in memory.
    pub now: ClockTime,
    /// Wall clock, used for times written to the replicated log.
    pub wall: ClockTime,
}

/// Actions that the caller of the controller must perform.
#[derive(Clone, Debug, Default)]
pub struct AdmissionOutput {
    /// Commands to propose, in order.
    pub commands: Vec<StateCommand>,
    /// Messages to send immediately.
    pub messages: Vec<(NodeId, ControlMessage)>,
    /// Events for the metrics.
    pub events: Vec<AdmissionEvent>,
    /// Messages to send after a record appended after `commands` is committed.
    pub after_commit: Vec<(NodeId, ControlMessage)>,
}

/// Safety rules of the admission. All are enabled in production. A specification test disables
/// one to show that the search finds the violation that the rule prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRules {
    /// Sends `not_run` only after a record appended after the decision is committed.
    pub confirm_not_run: bool,
}

impl Default for AdmissionRules {
    fn default() -> Self {
        Self { confirm_not_run: true }
    }
}

/// An attempt to run a request, submitted by an entry.
#[derive(Clone, Debug, Hash)]
struct AttemptRecord {
    entry: NodeId,
    request: SubmitRequest,
}

impl AttemptRecord {
    /// Whether the target streams the response, so that it can be resumed.
    fn is_stream(&self) -> bool {
        !self.request.model.is_empty()
    }

    fn is_same_attempt(&self, other: &Self) -> bool {
        self.entry == other.entry && self.request.attempt == other.request.attempt
    }
}

/// Progress of a request through admission.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RequestStage {
    /// Waits in the queue of its pool.
    Waiting,
    /// Its claim is proposed and not yet committed.
    Claiming { target: TargetIdentity, address: String },
    /// Its claim is committed.
    Granted { claim: ClaimNumber },
    /// Its owner released the claim, and the release is proposed but not yet committed.
    Releasing { claim: ClaimNumber, retry: bool },
}

/// A request known to the leader that has not ended.
#[derive(Clone, Debug, Hash)]
struct TrackedRequest {
    pool: String,
    tier: u8,
    /// Deadline on the monotonic clock.
    deadline: ClockTime,
    /// Whether the metrics have counted its end. After a reconnect, the entry reports it again.
    end_counted: bool,
    stage: RequestStage,
    /// The attempt that receives the grant. Absent for a claim granted by an earlier leader.
    owner: Option<AttemptRecord>,
    /// Other attempts with the same request key.
    duplicates: Vec<AttemptRecord>,
    /// Whether the entry reported that the request is running.
    started: bool,
    /// Whether the claim was restored from the replicated log, which does not contain the request.
    restored: bool,
    /// Whether the `Finish` command is proposed and not yet committed.
    finish_proposed: bool,
}

/// State of an entry as known to the leader.
#[derive(Clone, Copy, Debug, Hash)]
struct EntryRecord {
    /// Newest reading of the entry's clock.
    entry_time: ClockTime,
    /// When the entry lost its link. `None` while it is connected.
    disconnected_at: Option<ClockTime>,
}

/// A refusal for one attempt whose record is not yet committed.
#[derive(Clone, Copy, Debug, Hash)]
struct PendingRefusal {
    entry: NodeId,
    attempt: u32,
    reason: ReasonCode,
    retry_after_ms: u32,
}

/// Controls the admission of requests in all pools.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    rules: AdmissionRules,
    registry: TargetRegistry,
    pools: BTreeMap<String, PoolScheduler>,
    requests: HashMap<RequestKey, TrackedRequest>,
    entries: BTreeMap<NodeId, EntryRecord>,
    refusals: HashMap<RequestKey, Vec<PendingRefusal>>,
    /// When to repeat the grant of a claim that its entry did not list in its `Hello`.
    regrants_due: BTreeMap<RequestKey, ClockTime>,
    claims_full: bool,
    next_expiry: ClockTime,
    output: AdmissionOutput,
}

impl AdmissionController {
    /// Starts as the leader of a new term with the state as of the term's first commit.
    ///
    /// Open claims are treated as running. The pools neither grant nor shed requests until the
    /// entries have reported or the rebuild time has passed. The instance maintained the registry
    /// as a follower, so targets stay known across a change of leader.
    pub fn open(
        time: StepTime,
        document: &ConfigDocument,
        state: &ReplicatedState,
        registry: TargetRegistry,
    ) -> Self {
        Self::with_rules(time, document, state, registry, AdmissionRules::default())
    }

    /// Starts with the given rules, some of which a specification test may have disabled.
    pub fn with_rules(
        time: StepTime,
        document: &ConfigDocument,
        state: &ReplicatedState,
        mut registry: TargetRegistry,
        rules: AdmissionRules,
    ) -> Self {
        for subject in state.drains() {
            if let DrainSubject::Target(identity) = subject {
                // The pools are notified of the drain together with the target.
                registry.drain(identity);
            }
        }
        let mut controller = Self {
            rules,
            registry,
            pools: BTreeMap::new(),
            requests: HashMap::new(),
            entries: BTreeMap::new(),
            refusals: HashMap::new(),
            regrants_due: BTreeMap::new(),
            claims_full: false,
            next_expiry: time.now.plus(EXPIRE_INTERVAL_MS),
            output: AdmissionOutput::default(),
        };
        controller.configure(time, document);
        let mut claims: BTreeMap<String, Vec<OpenClaim>> = BTreeMap::new();
        for record in state.open_claims() {
            controller.track_claim(time, &record);
            // An entry that crashed together with the previous leader never sends a `Hello` to
            // this one and must still time out.
            controller.entries.entry(record.entry).or_insert(EntryRecord {
                entry_time: ClockTime::default(),
                disconnected_at: Some(time.now),
            });
            let pool = record.pool.to_string();
            claims.entry(pool).or_default().extend(to_open_claim(time, &record));
        }
        let names: Vec<String> = controller.pools.keys().cloned().collect();
        for name in names {
            let claims = claims.remove(&name).unwrap_or_default();
            controller.step_pool(time, &name, PoolInput::Rebuild { claims, entries: Vec::new() });
            let marks = settings::suspect_changes(state);
            controller.step_pool(time, &name, PoolInput::RestoreSuspects(marks));
        }
        controller
    }

    /// Applies a configuration document.
    pub fn configure(&mut self, time: StepTime, document: &ConfigDocument) {
        for rule in document.pools() {
            let settings = pool_settings(document, rule);
            if let Some(pool) = self.pools.get_mut(&rule.name) {
                let outputs = pool.step(time.now, PoolInput::Settings(Box::new(settings)));
                self.apply_pool_outputs(time, &rule.name, outputs);
                continue;
            }
            let pool = PoolScheduler::new(settings);
            self.pools.insert(rule.name.clone(), pool);
            self.replay_targets(time, &rule.name);
        }
        // A pool that the document no longer contains receives no new requests. It stays until its
        // requests have ended.
    }

    /// Registers at a new pool the targets that announced themselves before the pool existed.
    fn replay_targets(&mut self, time: StepTime, pool: &str) {
        let known: Vec<_> = self
            .registry
            .iter()
            .filter(|(_, record)| record.announcement.pool == pool)
            .map(|(target, record)| (target, record.clone()))
            .collect();
        for (target, TargetRecord { announcement, silent, draining, .. }) in known {
            let change = match draining {
                true => TargetChangeKind::Draining(Box::new(announcement)),
                false => TargetChangeKind::Announced(Box::new(announcement)),
            };
            self.step_pool(time, pool, PoolInput::Target { target, change });
            if silent {
                let change = TargetChangeKind::Silent;
                self.step_pool(time, pool, PoolInput::Target { target, change });
            }
        }
    }

    /// Ends the leadership and returns the registry.
    pub fn into_registry(self) -> TargetRegistry {
        self.registry
    }

    /// Registers the announcement of a target.
    ///
    /// # Errors
    /// Fails if the incarnation has ended or the announcement is inconsistent.
    pub fn announce(
        &mut self,
        time: StepTime,
        announcement: TargetAnnouncement,
    ) -> Result<(), AnnounceError> {
        let (_, changes) = self.registry.announce(time.now, announcement)?;
        self.apply_changes(time, changes);
        Ok(())
    }

    /// Ends an incarnation of a target permanently.
    pub fn leave(&mut self, time: StepTime, identity: &TargetIdentity) {
        let change = self.registry.leave(identity);
        self.apply_changes(time, change);
    }

    /// Stops assigning new requests to an incarnation of a target.
    pub fn drain_target(&mut self, time: StepTime, identity: &TargetIdentity) {
        let change = self.registry.drain(identity);
        self.apply_changes(time, change);
    }

    /// Runs the timers. The caller invokes this every 50 ms.
    pub fn tick(&mut self, time: StepTime, state: &ReplicatedState) {
        let changes = self.registry.tick(time.now);
        self.apply_changes(time, changes);
        self.remove_lost_entries(time);
        self.regrant_unreported_claims(time, state);
        if self.claims_full != state.claims_full() {
            self.claims_full = state.claims_full();
            let full = self.claims_full;
            self.step_all(time, || PoolInput::ClaimTable { full });
        }
        if time.now >= self.next_expiry {
            self.next_expiry = time.now.plus(EXPIRE_INTERVAL_MS);
            self.output.commands.push(StateCommand::ExpireClaims);
        }
        self.step_all(time, || PoolInput::Tick);
    }

    /// Takes the actions collected since the last call.
    pub fn take_output(&mut self) -> AdmissionOutput {
        std::mem::take(&mut self.output)
    }

    /// The registry of announced targets.
    pub fn registry(&self) -> &TargetRegistry {
        &self.registry
    }

    /// The scheduler of each pool, by pool name.
    pub fn pools(&self) -> &BTreeMap<String, PoolScheduler> {
        &self.pools
    }

    /// Number of waiting and running requests.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    fn apply_changes(&mut self, time: StepTime, changes: impl IntoIterator<Item = TargetChange>) {
        for change in changes {
            let input = PoolInput::Target { target: change.target, change: change.kind };
            self.step_pool(time, &change.pool, input);
        }
    }

    fn track_claim(&mut self, time: StepTime, record: &ClaimRecord) {
        let deadline = match record.phase {
            ClaimPhase::Open { deadline, .. } => time.now.plus(deadline.since(time.wall)),
            ClaimPhase::Ended { .. } => time.now,
        };
        let tracked = TrackedRequest {
            pool: record.pool.to_string(),
            tier: record.tier,
            deadline,
            end_counted: false,
            stage: RequestStage::Granted { claim: record.claim },
            owner: None,
            duplicates: Vec::new(),
            started: false,
            restored: true,
            finish_proposed: false,
        };
        self.requests.insert(record.key, tracked);
    }

    fn step_pool(&mut self, time: StepTime, name: &str, input: PoolInput) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        let outputs = pool.step(time.now, input);
        self.apply_pool_outputs(time, name, outputs);
    }

    fn step_all(&mut self, time: StepTime, input: impl Fn() -> PoolInput) {
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            self.step_pool(time, &name, input());
        }
    }

    /// Carries out the decisions of a pool.
    fn apply_pool_outputs(&mut self, time: StepTime, pool: &str, outputs: Vec<PoolOutput>) {
        for output in outputs {
            match output {
                PoolOutput::Place { key, attempt, entry, target, .. } => {
                    self.propose_claim(time, pool, key, (entry, attempt), target);
                }
                PoolOutput::Cancel { key, claim, entry, reason, retry_after_ms } => {
                    let tier = self.requests.get(&key).map_or(0, |tracked| tracked.tier);
                    self.record_event(pool, tier, AdmissionEventKind::Cancelled(reason));
                    let cancel = ControlMessage::Cancel { key, claim, reason, retry_after_ms };
                    self.output.messages.push((entry, cancel));
                }
                PoolOutput::Refuse { key, tier, outcome, reason, retry_after_ms, .. } => {
                    self.record_event(pool, tier, AdmissionEventKind::Refused(reason));
                    self.refuse_all(time, key, outcome, reason, retry_after_ms);
                }
                PoolOutput::Suspect(change) => {
                    self.output.commands.push(settings::suspect_command(time, &change));
                }
            }
        }
    }

    fn record_event(&mut self, pool: &str, tier: u8, kind: AdmissionEventKind) {
        self.output.events.push(AdmissionEvent { pool: pool.to_owned(), tier, kind });
    }
}

/// Converts a claim for the scheduler, with its deadline on the monotonic clock. Returns `None` if
/// the claim has ended.
fn to_open_claim(time: StepTime, record: &ClaimRecord) -> Option<OpenClaim> {
    let ClaimPhase::Open { deadline, .. } = record.phase else { return None };
    Some(OpenClaim {
        key: record.key,
        claim: record.claim,
        entry: record.entry,
        target: record.target.clone(),
        workspace: record.workspace.to_string(),
        fingerprint: record.fingerprint,
        tier: record.tier,
        idempotent: record.idempotent,
        deadline: time.now.plus(deadline.since(time.wall)),
    })
}
