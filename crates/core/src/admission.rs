//! Admission at the control leader: from a submit to a committed claim and its grant.
//!
//! The controller ties the replicated claims, the target registry and the pool schedulers
//! together. It is a step function: its caller proposes the commands, sends the messages, and
//! feeds committed commands back. A refusal as `not_run` leaves only after its record is
//! committed, since a leader that was replaced unnoticed must not say that a request did not run.

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

/// Time without a link after which an entry counts as lost, in milliseconds.
///
/// Longer than the redial interval of the links, so that a broken connection alone does not end
/// the claims of a running entry.
pub const ENTRY_LOST_TIMEOUT_MS: u64 = 2_000;
/// Time from a `Hello` until the claims that it does not name are offered again, in milliseconds.
///
/// The submits that follow the `Hello` on the link arrive earlier, and name the waiting attempts.
const RECHECK_MS: u64 = 1_000;
/// Interval of the command that removes old claims, in milliseconds.
const EXPIRE_INTERVAL_MS: u64 = 5_000;
/// When to come back if an outcome is not known yet, in milliseconds.
const UNKNOWN_RETRY_MS: u32 = 2_000;

/// Both clocks at the time of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepTime {
    /// Monotonic clock, for everything in memory.
    pub now: ClockTime,
    /// Wall clock, for everything in the log.
    pub wall: ClockTime,
}

/// What the caller of the controller has to do.
#[derive(Clone, Debug, Default)]
pub struct AdmissionOutput {
    /// Commands to propose, in order.
    pub commands: Vec<StateCommand>,
    /// Messages to send at once.
    pub messages: Vec<(NodeId, ControlMessage)>,
    /// Events to count.
    pub events: Vec<AdmissionEvent>,
    /// Messages to send after a record that follows `commands` is committed.
    pub after_commit: Vec<(NodeId, ControlMessage)>,
}

/// Rules of the admission. All are on in production; only the specification's tests turn one off,
/// to show that the search finds the fault that the rule prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRules {
    /// "Not run" is sent only after a record that follows the decision is committed.
    pub confirm_not_run: bool,
}

impl Default for AdmissionRules {
    fn default() -> Self {
        Self { confirm_not_run: true }
    }
}

/// One attempt of an entry.
#[derive(Clone, Debug, Hash)]
struct AttemptRecord {
    entry: NodeId,
    request: SubmitRequest,
}

impl AttemptRecord {
    /// Whether the target streams the answer, so that it can be resumed.
    fn is_stream(&self) -> bool {
        !self.request.model.is_empty()
    }

    fn is_same(&self, other: &Self) -> bool {
        self.entry == other.entry && self.request.attempt == other.request.attempt
    }
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RequestStage {
    /// It waits in its pool.
    Waiting,
    /// Its claim is proposed.
    Claiming { target: TargetIdentity, address: String },
    /// Its claim is committed.
    Granted { claim: ClaimNumber },
    /// Its owner gave the claim back, and the release is proposed.
    Releasing { claim: ClaimNumber, retry: bool },
}

/// A request that the leader knows of and that has not ended.
#[derive(Clone, Debug, Hash)]
struct TrackedRequest {
    pool: String,
    tier: u8,
    /// Deadline on the monotonic clock.
    deadline: ClockTime,
    /// Whether its end has been counted; a new link makes the entry report it again.
    counted: bool,
    stage: RequestStage,
    /// The attempt that gets the grant; absent for a claim of an earlier leader.
    owner: Option<AttemptRecord>,
    /// Other attempts with the same key.
    duplicates: Vec<AttemptRecord>,
    /// Whether the entry reported that the request runs.
    started: bool,
    /// Whether the claim was restored from the log, without the request itself.
    restored: bool,
    /// Whether the end of the request is proposed and not yet committed.
    ending: bool,
}

/// What the leader knows of an entry.
#[derive(Clone, Copy, Debug, Hash)]
struct EntryRecord {
    /// Newest reading of the entry's clock.
    entry_time: ClockTime,
    /// Since when the entry has no link, if it has none.
    unlinked: Option<ClockTime>,
}

/// A refusal whose record is proposed.
#[derive(Clone, Copy, Debug, Hash)]
struct PendingRefusal {
    entry: NodeId,
    attempt: u32,
    reason: ReasonCode,
    retry_after_ms: u32,
}

/// Admits requests over all pools.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    rules: AdmissionRules,
    registry: TargetRegistry,
    pools: BTreeMap<String, PoolScheduler>,
    requests: HashMap<RequestKey, TrackedRequest>,
    entries: BTreeMap<NodeId, EntryRecord>,
    refusals: HashMap<RequestKey, Vec<PendingRefusal>>,
    /// When a claim that its entry did not name in its `Hello` is offered to the entry again.
    rechecks: BTreeMap<RequestKey, ClockTime>,
    claims_full: bool,
    next_expiry: ClockTime,
    output: AdmissionOutput,
}

impl AdmissionController {
    /// Starts as the leader of a new term with the state as of the term's first commit.
    ///
    /// Open claims count as running. The pools neither grant nor shed before the entries have
    /// reported or the rebuild time is over. The registry is the one that this instance kept while
    /// it followed, so that a change of leader does not make the targets unknown.
    pub fn open(
        time: StepTime,
        document: &ConfigDocument,
        state: &ReplicatedState,
        registry: TargetRegistry,
    ) -> Self {
        Self::with_rules(time, document, state, registry, AdmissionRules::default())
    }

    /// Starts with some rules turned off, for the specification's tests.
    pub fn with_rules(
        time: StepTime,
        document: &ConfigDocument,
        state: &ReplicatedState,
        mut registry: TargetRegistry,
        rules: AdmissionRules,
    ) -> Self {
        for subject in state.drains() {
            if let DrainSubject::Target(identity) = subject {
                // The pools learn of it when they learn of the target.
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
            rechecks: BTreeMap::new(),
            claims_full: false,
            next_expiry: time.now.plus(EXPIRE_INTERVAL_MS),
            output: AdmissionOutput::default(),
        };
        controller.configure(time, document);
        let mut claims: BTreeMap<String, Vec<OpenClaim>> = BTreeMap::new();
        for record in state.open_claims() {
            controller.track_claim(time, &record);
            // An entry that died together with the last leader never says `Hello` to this one, and
            // must count as lost all the same.
            controller.entries.entry(record.entry).or_insert(EntryRecord {
                entry_time: ClockTime::default(),
                unlinked: Some(time.now),
            });
            let pool = record.pool.to_string();
            claims.entry(pool).or_default().extend(open_claim(time, &record));
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

    /// Puts a document in force.
    pub fn configure(&mut self, time: StepTime, document: &ConfigDocument) {
        for rule in document.pools() {
            let settings = pool_settings(document, rule);
            if let Some(pool) = self.pools.get_mut(&rule.name) {
                let outputs = pool.step(time.now, PoolInput::Settings(Box::new(settings)));
                self.act(time, &rule.name, outputs);
                continue;
            }
            let pool = PoolScheduler::new(settings);
            self.pools.insert(rule.name.clone(), pool);
            self.replay_targets(time, &rule.name);
        }
        // A pool that was removed stays until its requests have ended; no rule leads to it.
    }

    /// Tells a new pool of the targets that announced themselves before the pool existed.
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

    /// Ends the leadership and hands the registry back.
    pub fn into_registry(self) -> TargetRegistry {
        self.registry
    }

    /// Enters the announcement of a target.
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

    /// Ends an incarnation of a target for good.
    pub fn leave(&mut self, time: StepTime, identity: &TargetIdentity) {
        let change = self.registry.leave(identity);
        self.apply_changes(time, change);
    }

    /// Gives an incarnation of a target no new work from now on.
    pub fn drain_target(&mut self, time: StepTime, identity: &TargetIdentity) {
        let change = self.registry.drain(identity);
        self.apply_changes(time, change);
    }

    /// Notes that time has passed. Expected every 50 ms.
    pub fn tick(&mut self, time: StepTime, state: &ReplicatedState) {
        let changes = self.registry.tick(time.now);
        self.apply_changes(time, changes);
        self.end_lost_entries(time);
        self.recheck_claims(time, state);
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

    /// Takes what has to be done since the last call.
    pub fn take_output(&mut self) -> AdmissionOutput {
        std::mem::take(&mut self.output)
    }

    /// The targets that are announced.
    pub fn registry(&self) -> &TargetRegistry {
        &self.registry
    }

    /// The scheduler of each pool by name.
    pub fn pools(&self) -> &BTreeMap<String, PoolScheduler> {
        &self.pools
    }

    /// Number of requests that wait or run.
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
            counted: false,
            stage: RequestStage::Granted { claim: record.claim },
            owner: None,
            duplicates: Vec::new(),
            started: false,
            restored: true,
            ending: false,
        };
        self.requests.insert(record.key, tracked);
    }

    fn step_pool(&mut self, time: StepTime, name: &str, input: PoolInput) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        let outputs = pool.step(time.now, input);
        self.act(time, name, outputs);
    }

    fn step_all(&mut self, time: StepTime, input: impl Fn() -> PoolInput) {
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            self.step_pool(time, &name, input());
        }
    }

    /// Carries out what a pool decided.
    fn act(&mut self, time: StepTime, pool: &str, outputs: Vec<PoolOutput>) {
        for output in outputs {
            match output {
                PoolOutput::Place { key, attempt, entry, target, .. } => {
                    self.place(time, pool, key, (entry, attempt), target);
                }
                PoolOutput::Cancel { key, claim, entry, reason, retry_after_ms } => {
                    let tier = self.requests.get(&key).map_or(0, |tracked| tracked.tier);
                    self.count(pool, tier, AdmissionEventKind::Cancelled(reason));
                    let cancel = ControlMessage::Cancel { key, claim, reason, retry_after_ms };
                    self.output.messages.push((entry, cancel));
                }
                PoolOutput::Refuse { key, tier, outcome, reason, retry_after_ms, .. } => {
                    self.count(pool, tier, AdmissionEventKind::Refused(reason));
                    self.refuse_all(time, key, outcome, reason, retry_after_ms);
                }
                PoolOutput::Suspect(change) => {
                    self.output.commands.push(settings::suspect_command(time, &change));
                }
            }
        }
    }

    fn count(&mut self, pool: &str, tier: u8, kind: AdmissionEventKind) {
        self.output.events.push(AdmissionEvent { pool: pool.to_owned(), tier, kind });
    }
}

/// The claim as the scheduler needs it, with its deadline on the monotonic clock.
fn open_claim(time: StepTime, record: &ClaimRecord) -> Option<OpenClaim> {
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
