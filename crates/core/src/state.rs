//! Replicated state machine: configuration, claims, orders to engines and suspected requests.
//!
//! Every replica applies the same commands in the order of the log and reaches the same state.
//! The machine reads no clock and draws no random numbers; its time is the largest leader time
//! applied so far.

mod claim;
mod claims;
mod command;
mod config;
mod drains;
mod image;
mod index;
mod intern;
mod operations;
mod orders;
mod refusals;
mod retention;
mod row;
mod suspects;
mod text_change;

pub use claim::{
    ClaimPhase, ClaimRecord, ClaimRules, DEFAULT_CLAIM_LIMIT, EXPIRE_BATCH,
    IDEMPOTENT_RETENTION_MS, NON_IDEMPOTENT_RETENTION_MS, OWNERLESS_MARGIN_MS,
};
pub use command::{
    ClaimReply, ClaimRequest, CloseReply, CommandReply, DocumentReply, ExpireReply, OrderDoneReply,
    RefuseReply, StampedCommand, StateCommand,
};
pub use config::{ConfigView, VERSIONS_KEPT, VersionRecord};
pub use drains::{DRAINS_KEPT, DrainSubject};
pub use image::SnapshotError;
pub use operations::{KnownOperation, OPERATIONS_KEPT, OperationBody, OperationResult};
pub use orders::{
    ENDED_ORDER_RETENTION_MS, ENDED_ORDERS_KEPT, EngineOrder, OrderAction, OrderId, OrderRecord,
    OrderResult,
};
pub use refusals::RefusalRecord;
pub use suspects::{MARK_RETENTION_MS, SuspectRecord};

use crate::clock::ClockTime;
use crate::keys::{NodeId, RequestFingerprint, RequestKey, TargetIdentity};
use claims::ClaimTable;
use config::ConfigHistory;
use drains::DrainTable;
use operations::OperationLog;
use orders::OrderTable;
use refusals::RefusalTable;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use suspects::SuspectTable;

/// Counts and versions for the dump.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateSummary {
    /// Log index of the last applied command.
    pub applied: u64,
    /// Time of the machine.
    pub now: ClockTime,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Claims in the table, open and ended.
    pub claims: usize,
    /// Open claims.
    pub claims_open: usize,
    /// Open claims whose owner is gone.
    pub claims_ownerless: usize,
    /// Limit of the table without the reserve.
    pub claim_limit: usize,
    /// Bytes of the claim table.
    pub claim_bytes: usize,
    /// Distinct targets, entry runs and names that claims refer to.
    pub shared_values: usize,
    /// Refusals in the table.
    pub refusals: usize,
    /// Orders without a result.
    pub orders_open: usize,
    /// Operation ids whose results are kept.
    pub operations: usize,
    /// Suspicion marks.
    pub marks: Vec<SuspectRecord>,
    /// Quarantined fingerprints.
    pub quarantines: usize,
}

/// The state that all control replicas hold.
#[derive(Clone, Debug)]
pub struct ReplicatedState {
    applied: u64,
    now: ClockTime,
    claim_limit: usize,
    config: ConfigHistory,
    operations: OperationLog,
    claims: ClaimTable,
    refusals: RefusalTable,
    orders: OrderTable,
    drains: DrainTable,
    suspects: SuspectTable,
}

impl Default for ReplicatedState {
    fn default() -> Self {
        Self::new()
    }
}

impl ReplicatedState {
    /// The state before the first command.
    pub fn new() -> Self {
        Self::with_rules(ClaimRules::default())
    }

    /// A state with some rules of the claim table turned off, for the specification's tests.
    pub fn with_rules(rules: ClaimRules) -> Self {
        Self {
            applied: 0,
            now: ClockTime::default(),
            claim_limit: DEFAULT_CLAIM_LIMIT,
            config: ConfigHistory::new(),
            operations: OperationLog::default(),
            claims: ClaimTable::new(rules),
            refusals: RefusalTable::default(),
            orders: OrderTable::default(),
            drains: DrainTable::default(),
            suspects: SuspectTable::default(),
        }
    }

    /// Applies the command at a log index. Indexes must ascend.
    pub fn apply(&mut self, index: u64, command: &StampedCommand) -> CommandReply {
        debug_assert!(index > self.applied, "log index {index} after {}", self.applied);
        self.applied = index;
        self.now = self.now.max(command.at);
        match &command.command {
            StateCommand::Barrier => CommandReply::Done,
            StateCommand::ApplyDocument { .. }
            | StateCommand::IssueOrder { .. }
            | StateCommand::Drain { .. } => self.operate(index, &command.command),
            StateCommand::Claim(request) => CommandReply::Claim(self.claim_key(index, request)),
            StateCommand::Refuse { key, until, reason } => {
                let record = RefusalRecord { key: *key, until: *until, reason: *reason };
                CommandReply::Refuse(self.refuse_key(record))
            }
            StateCommand::Release { key, claim } => {
                CommandReply::Close(self.claims.release(*key, *claim))
            }
            StateCommand::Finish { key, claim, outcome, reason } => {
                let reply = self.claims.finish(self.now, *key, *claim, *outcome, *reason);
                CommandReply::Close(reply)
            }
            StateCommand::OwnerLost { entry } => {
                CommandReply::OwnerLost(self.claims.lose_owner(*entry))
            }
            StateCommand::ExpireClaims => CommandReply::Expired(self.expire()),
            StateCommand::SuspectMark { fingerprint, target, at } => {
                self.suspects.mark(*fingerprint, target, *at);
                CommandReply::Done
            }
            StateCommand::SuspectClear { fingerprint } => {
                self.suspects.clear(*fingerprint);
                CommandReply::Done
            }
            StateCommand::Quarantine { fingerprint, until } => {
                self.suspects.quarantine(*fingerprint, *until);
                CommandReply::Done
            }
            StateCommand::OrderDone { id, result } => {
                CommandReply::OrderDone(self.orders.finish(self.now, *id, result))
            }
        }
    }

    fn claim_key(&mut self, index: u64, request: &ClaimRequest) -> ClaimReply {
        match self.refusals.find(request.key, self.now) {
            Some(record) => ClaimReply::Refused(record),
            None => self.claims.claim(index, request),
        }
    }

    fn refuse_key(&mut self, record: RefusalRecord) -> RefuseReply {
        if let Some(claim) = self.claims.find(record.key) {
            return RefuseReply::AlreadyClaimed(claim);
        }
        self.refusals.insert(record);
        RefuseReply::Recorded
    }

    fn expire(&mut self) -> ExpireReply {
        self.suspects.expire(self.now);
        let mut reply = self.claims.expire(self.now);
        let removed = self.refusals.expire(self.now, EXPIRE_BATCH);
        reply.removed += removed;
        reply.more |= removed == EXPIRE_BATCH;
        reply
    }

    /// Carries out an operator's request unless its id is known.
    fn operate(&mut self, index: u64, command: &StateCommand) -> CommandReply {
        let Some((id, body)) = command.operation() else { return CommandReply::Done };
        match self.operations.find(id, &body) {
            Some(KnownOperation::Repeated(result)) => return CommandReply::from_operation(result),
            Some(KnownOperation::Reused) => return CommandReply::OperationReused,
            None => {}
        }
        let result = match command {
            StateCommand::ApplyDocument { base_version, author, document, changes, .. } => {
                let edit = (self.now, author.as_str(), id);
                OperationResult::Document(self.config.apply(
                    *base_version,
                    edit,
                    document,
                    *changes,
                ))
            }
            StateCommand::IssueOrder { order, author, .. } => {
                OperationResult::Order(self.orders.issue(index, order, id, author))
            }
            StateCommand::Drain { subject, .. } => {
                self.drains.insert(subject);
                OperationResult::Drain(subject.clone())
            }
            _ => return CommandReply::Done,
        };
        self.operations.record(id, &body, result.clone());
        CommandReply::from_operation(result)
    }

    /// What is known of an operation id.
    pub fn operation(&self, id: &str, body: &OperationBody<'_>) -> Option<KnownOperation> {
        self.operations.find(id, body)
    }

    /// Runs of entries and targets that are drained, one for each name.
    pub fn drains(&self) -> impl Iterator<Item = &DrainSubject> {
        self.drains.subjects()
    }

    /// Whether a run of an entry is drained.
    pub fn entry_drained(&self, entry: NodeId) -> bool {
        self.drains()
            .any(|known| matches!(known, DrainSubject::Entry { node, .. } if *node == entry))
    }

    /// Log index of the last applied command.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Time of the machine: the largest leader time applied so far.
    pub fn now(&self) -> ClockTime {
        self.now
    }

    /// The configuration in force.
    pub fn config(&self) -> ConfigView {
        self.config.view()
    }

    /// The kept versions, the newest first.
    pub fn history(&self) -> Vec<VersionRecord> {
        self.config.records().cloned().collect()
    }

    /// Document text of a kept version. An older one is rebuilt from the differences, which
    /// copies the text once per version in between.
    pub fn document(&self, version: u64) -> Option<Arc<str>> {
        self.config.document(version)
    }

    /// The claim of a key, open or within its retention.
    pub fn claim(&self, key: RequestKey) -> Option<ClaimRecord> {
        self.claims.find(key)
    }

    /// The refusal of a key, if it lasts beyond the machine's time.
    pub fn refusal(&self, key: RequestKey) -> Option<RefusalRecord> {
        self.refusals.find(key, self.now)
    }

    /// All open claims, in ascending order of their numbers.
    pub fn open_claims(&self) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.claims.open_records()
    }

    /// Open claims of an entry run, ownerless ones included, in ascending order.
    pub fn open_claims_of(&self, entry: NodeId) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.claims.records_of(entry)
    }

    /// Open claims at a target run, in ascending order.
    pub fn open_claims_at(
        &self,
        target: &TargetIdentity,
    ) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.claims.records_at(target)
    }

    /// Sets the limit of the claim table.
    ///
    /// The limit decides only what the leader admits, never what `apply` does, so replicas that
    /// learn of a new limit at different times stay equal.
    pub fn set_claim_limit(&mut self, limit: usize) {
        self.claim_limit = limit;
    }

    /// Whether ordinary requests must be shed with reason `claims_full`.
    pub fn claims_full(&self) -> bool {
        self.claims.len() >= self.claim_limit
    }

    /// Whether the reserve of 10 % above the limit is used up as well.
    pub fn reserve_exhausted(&self) -> bool {
        self.claims.len() >= self.claim_limit + self.claim_limit / 10
    }

    /// All kept orders, in ascending order of their fencing numbers.
    pub fn orders(&self) -> impl Iterator<Item = &OrderRecord> {
        self.orders.records()
    }

    /// End of the quarantine of a fingerprint, if it lasts beyond `now`.
    pub fn quarantine_end(
        &self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<ClockTime> {
        self.suspects.quarantine_end(fingerprint, now)
    }

    /// All suspicion marks, by fingerprint and target.
    pub fn suspects(&self) -> impl Iterator<Item = SuspectRecord> + '_ {
        self.suspects.marks()
    }

    /// Counts and versions for the dump.
    pub fn summary(&self) -> StateSummary {
        StateSummary {
            applied: self.applied,
            now: self.now,
            config_version: self.config.version(),
            claims: self.claims.len(),
            claims_open: self.claims.open_len(),
            claims_ownerless: self.claims.ownerless_len(),
            claim_limit: self.claim_limit,
            claim_bytes: self.claims.heap_bytes(),
            shared_values: self.claims.shared_values(),
            refusals: self.refusals.len(),
            orders_open: self.orders.open_len(),
            operations: self.operations.len(),
            marks: self.suspects.marks().collect(),
            quarantines: self.suspects.quarantines_len(),
        }
    }
}
