//! Replicated state machine: configuration, claims, orders to engines and suspect requests.
//!
//! All replicas apply the same commands in log order and reach the same state. The state machine
//! reads no clock and draws no random numbers. Its time is the latest leader timestamp among the
//! commands applied so far.

mod claim;
mod claims;
mod command;
mod config;
mod drains;
mod index;
mod intern;
mod operations;
mod orders;
mod refusals;
mod retention;
mod reverse_patch;
mod row;
mod snapshot;
mod suspects;

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
pub use operations::{KnownOperation, OPERATIONS_KEPT, OperationBody, OperationResult};
pub use orders::{
    ENDED_ORDER_RETENTION_MS, ENDED_ORDERS_KEPT, EngineOrder, OrderAction, OrderId, OrderRecord,
    OrderResult,
};
pub use refusals::RefusalRecord;
pub use snapshot::SnapshotError;
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

/// Summary of the state for the diagnostic dump.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateSummary {
    /// Log index of the last applied command.
    pub applied: u64,
    /// Time of the state machine.
    pub now: ClockTime,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Number of claims in the table, open and ended.
    pub claims: usize,
    /// Number of open claims.
    pub claims_open: usize,
    /// Number of open claims whose owner has ended.
    pub claims_ownerless: usize,
    /// Maximum number of claims, without the reserve.
    pub claim_limit: usize,
    /// Heap size of the claim table in bytes.
    pub claim_bytes: usize,
    /// Number of distinct targets, entry processes and names referenced by claims.
    pub shared_values: usize,
    /// Number of refusals in the table.
    pub refusals: usize,
    /// Number of orders without a result.
    pub orders_open: usize,
    /// Number of operation ids whose results are kept.
    pub operations: usize,
    /// Suspect marks.
    pub marks: Vec<SuspectRecord>,
    /// Number of quarantined fingerprints.
    pub quarantines: usize,
}

/// State that is replicated on all control instances.
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
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::with_rules(ClaimRules::default())
    }

    /// Creates a state with some rules of the claim table turned off, for the model checks.
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

    /// Applies the command at a log index. Indexes must be ascending.
    pub fn apply(&mut self, index: u64, command: &StampedCommand) -> CommandReply {
        debug_assert!(index > self.applied, "log index {index} after {}", self.applied);
        self.applied = index;
        self.now = self.now.max(command.at);
        match &command.command {
            StateCommand::Barrier => CommandReply::Done,
            StateCommand::ApplyDocument { .. }
            | StateCommand::IssueOrder { .. }
            | StateCommand::Drain { .. } => self.apply_operation(index, &command.command),
            StateCommand::Claim(request) => CommandReply::Claim(self.apply_claim(index, request)),
            StateCommand::Refuse { key, until, reason } => {
                let record = RefusalRecord { key: *key, until: *until, reason: *reason };
                CommandReply::Refuse(self.apply_refusal(record))
            }
            StateCommand::Release { key, claim } => {
                CommandReply::Close(self.claims.release(*key, *claim))
            }
            StateCommand::Finish { key, claim, outcome, reason } => {
                let reply = self.claims.finish(self.now, *key, *claim, *outcome, *reason);
                CommandReply::Close(reply)
            }
            StateCommand::OwnerLost { entry } => {
                CommandReply::OwnerLost(self.claims.mark_ownerless(*entry))
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

    fn apply_claim(&mut self, index: u64, request: &ClaimRequest) -> ClaimReply {
        match self.refusals.find(request.key, self.now) {
            Some(record) => ClaimReply::Refused(record),
            None => self.claims.claim(index, request),
        }
    }

    fn apply_refusal(&mut self, record: RefusalRecord) -> RefuseReply {
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

    /// Executes an operator request unless its operation id is already recorded.
    fn apply_operation(&mut self, index: u64, command: &StateCommand) -> CommandReply {
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

    /// Returns the recorded result of an operation id, if there is one.
    pub fn operation(&self, id: &str, body: &OperationBody<'_>) -> Option<KnownOperation> {
        self.operations.find(id, body)
    }

    /// Returns the drained processes, at most one per name of an entry or a target.
    pub fn drains(&self) -> impl Iterator<Item = &DrainSubject> {
        self.drains.subjects()
    }

    /// Returns whether an entry process is drained.
    pub fn entry_drained(&self, entry: NodeId) -> bool {
        self.drains()
            .any(|known| matches!(known, DrainSubject::Entry { node, .. } if *node == entry))
    }

    /// Returns the log index of the last applied command.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the time of the state machine: the latest leader timestamp applied so far.
    pub fn now(&self) -> ClockTime {
        self.now
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> ConfigView {
        self.config.view()
    }

    /// Returns the kept configuration versions, newest first.
    pub fn history(&self) -> Vec<VersionRecord> {
        self.config.records().cloned().collect()
    }

    /// Returns the document text of a kept version.
    ///
    /// An older version is rebuilt by applying one reverse patch per later version. Each patch
    /// copies the text.
    pub fn document(&self, version: u64) -> Option<Arc<str>> {
        self.config.document(version)
    }

    /// Returns the claim of a key if it is open or within its retention.
    pub fn claim(&self, key: RequestKey) -> Option<ClaimRecord> {
        self.claims.find(key)
    }

    /// Returns the refusal of a key if it is still in force.
    pub fn refusal(&self, key: RequestKey) -> Option<RefusalRecord> {
        self.refusals.find(key, self.now)
    }

    /// Returns all open claims in ascending order of their numbers.
    pub fn open_claims(&self) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.claims.open_records()
    }

    /// Returns the open claims of an entry process in ascending order, including ownerless ones.
    pub fn open_claims_of(&self, entry: NodeId) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.claims.open_records_of_entry(entry)
    }

    /// Returns the open claims at an incarnation of a target in ascending order.
    pub fn open_claims_at(
        &self,
        target: &TargetIdentity,
    ) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.claims.open_records_at_target(target)
    }

    /// Sets the maximum number of claims.
    ///
    /// The limit affects only what the leader admits, not what `apply` does, so replicas that
    /// learn of a new limit at different times do not diverge.
    pub fn set_claim_limit(&mut self, limit: usize) {
        self.claim_limit = limit;
    }

    /// Returns whether ordinary requests must be shed with reason `claims_full`.
    pub fn claims_full(&self) -> bool {
        self.claims.len() >= self.claim_limit
    }

    /// Returns whether the reserve of 10 % above the limit is exhausted too.
    pub fn reserve_exhausted(&self) -> bool {
        self.claims.len() >= self.claim_limit + self.claim_limit / 10
    }

    /// Returns all kept orders in ascending order of their fencing numbers.
    pub fn orders(&self) -> impl Iterator<Item = &OrderRecord> {
        self.orders.records()
    }

    /// Returns the end of the quarantine of a fingerprint if it is later than `now`.
    pub fn quarantine_end(
        &self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<ClockTime> {
        self.suspects.quarantine_end(fingerprint, now)
    }

    /// Returns all suspect marks sorted by fingerprint and target.
    pub fn suspects(&self) -> impl Iterator<Item = SuspectRecord> + '_ {
        self.suspects.marks()
    }

    /// Returns a summary of the state for the diagnostic dump.
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
