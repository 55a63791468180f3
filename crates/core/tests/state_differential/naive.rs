//! Naive implementation of the state machine that scans plain maps.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::state::{
    ClaimPhase, ClaimRecord, ClaimReply, ClaimRequest, CloseReply, CommandReply, DocumentReply,
    DrainSubject, ExpireReply, IDEMPOTENT_RETENTION_MS, MARK_RETENTION_MS,
    NON_IDEMPOTENT_RETENTION_MS, OWNERLESS_MARGIN_MS, OrderDoneReply, OrderId, OrderRecord,
    OrderResult, RefusalRecord, RefuseReply, StampedCommand, StateCommand,
};
use std::collections::BTreeMap;

/// Replicated state stored in plain maps.
#[derive(Default)]
pub struct NaiveState {
    pub now: ClockTime,
    pub claims: BTreeMap<RequestKey, ClaimRecord>,
    pub refusals: BTreeMap<RequestKey, RefusalRecord>,
    pub documents: Vec<String>,
    /// First request with each operation id and the reply to it.
    pub operations: BTreeMap<String, (StateCommand, CommandReply)>,
    pub drains: Vec<DrainSubject>,
    pub orders: BTreeMap<OrderId, OrderRecord>,
    pub marks: BTreeMap<(RequestFingerprint, String), ClockTime>,
    pub quarantines: BTreeMap<RequestFingerprint, ClockTime>,
}

impl NaiveState {
    pub fn apply(&mut self, index: u64, stamped: &StampedCommand) -> CommandReply {
        self.now = self.now.max(stamped.at);
        match &stamped.command {
            StateCommand::Barrier => CommandReply::Done,
            StateCommand::ApplyDocument { operation_id, .. }
            | StateCommand::IssueOrder { operation_id, .. }
            | StateCommand::Drain { operation_id, .. } => {
                self.apply_operation(index, operation_id, &stamped.command)
            }
            StateCommand::Claim(request) => CommandReply::Claim(self.claim(index, request)),
            StateCommand::Refuse { key, until, reason } => {
                if let Some(record) = self.claims.get(key) {
                    return CommandReply::Refuse(RefuseReply::AlreadyClaimed(record.clone()));
                }
                let record = RefusalRecord { key: *key, until: *until, reason: *reason };
                self.refusals.insert(*key, record);
                CommandReply::Refuse(RefuseReply::Recorded)
            }
            StateCommand::Release { key, claim } => {
                let reply = self.check_open(*key, *claim);
                if reply == CloseReply::Accepted {
                    self.claims.remove(key);
                }
                CommandReply::Close(reply)
            }
            StateCommand::Finish { key, claim, outcome, reason } => {
                let reply = self.check_open(*key, *claim);
                let (at, outcome, reason) = (self.now, *outcome, *reason);
                if reply == CloseReply::Accepted {
                    let record = self.claims.get_mut(key).expect("an open claim");
                    record.phase = ClaimPhase::Ended { at, outcome, reason };
                }
                CommandReply::Close(reply)
            }
            StateCommand::OwnerLost { entry } => CommandReply::OwnerLost(self.lose_owner(*entry)),
            StateCommand::ExpireClaims => CommandReply::Expired(self.expire()),
            StateCommand::SuspectMark { fingerprint, target, at } => {
                let last = self.marks.entry((*fingerprint, target.clone())).or_default();
                *last = (*last).max(*at);
                CommandReply::Done
            }
            StateCommand::SuspectClear { fingerprint } => {
                self.marks.retain(|(marked, _), _| marked != fingerprint);
                CommandReply::Done
            }
            StateCommand::Quarantine { fingerprint, until } => {
                let end = self.quarantines.entry(*fingerprint).or_default();
                *end = (*end).max(*until);
                CommandReply::Done
            }
            StateCommand::OrderDone { id, result } => {
                CommandReply::OrderDone(self.finish_order(*id, result))
            }
        }
    }

    /// Executes an operator request. Resends are detected by comparing whole requests, whereas the
    /// state machine compares digests.
    fn apply_operation(&mut self, index: u64, id: &str, command: &StateCommand) -> CommandReply {
        if let Some((first, reply)) = self.operations.get(id) {
            return match operator_request(first) == operator_request(command) {
                true => reply.clone(),
                false => CommandReply::OperationReused,
            };
        }
        let reply = match command {
            StateCommand::ApplyDocument { base_version, document, .. } => {
                CommandReply::Document(self.edit(*base_version, document))
            }
            StateCommand::IssueOrder { order, operation_id, author } => {
                let id = OrderId(index);
                let record = OrderRecord {
                    id,
                    order: order.clone(),
                    operation_id: operation_id.clone(),
                    author: author.clone(),
                    result: None,
                    ended: None,
                };
                self.orders.insert(id, record);
                CommandReply::OrderIssued(id)
            }
            StateCommand::Drain { subject, .. } => {
                let entry = matches!(subject, DrainSubject::Entry { .. });
                self.drains.retain(|known| {
                    known.name() != subject.name()
                        || matches!(known, DrainSubject::Entry { .. }) != entry
                });
                self.drains.push(subject.clone());
                CommandReply::Drained(subject.clone())
            }
            other => panic!("no operation: {other:?}"),
        };
        self.operations.insert(id.to_owned(), (command.clone(), reply.clone()));
        reply
    }

    fn edit(&mut self, base: u64, document: &str) -> DocumentReply {
        let current = self.documents.len() as u64;
        if base != current {
            return DocumentReply::Conflict { current };
        }
        self.documents.push(document.to_owned());
        DocumentReply::Accepted { version: current + 1 }
    }

    fn claim(&mut self, index: u64, request: &ClaimRequest) -> ClaimReply {
        if let Some(record) = self.refusal(request.key) {
            return ClaimReply::Refused(record);
        }
        match self.claims.get(&request.key) {
            Some(record) if is_open(record) => ClaimReply::AlreadyOpen(record.clone()),
            Some(record) => ClaimReply::AlreadyEnded(record.clone()),
            None => {
                let claim = ClaimNumber(index);
                let phase = ClaimPhase::Open { deadline: request.deadline, ownerless: false };
                let record = ClaimRecord {
                    key: request.key,
                    claim,
                    fingerprint: request.fingerprint,
                    target: request.target.clone(),
                    address: request.address.clone(),
                    entry: request.entry,
                    workspace: request.workspace.as_str().into(),
                    pool: request.pool.as_str().into(),
                    tier: request.tier,
                    idempotent: request.idempotent,
                    phase,
                };
                self.claims.insert(request.key, record);
                ClaimReply::Created(claim)
            }
        }
    }

    pub fn refusal(&self, key: RequestKey) -> Option<RefusalRecord> {
        self.refusals.get(&key).copied().filter(|record| record.until > self.now)
    }

    fn check_open(&self, key: RequestKey, claim: ClaimNumber) -> CloseReply {
        match self.claims.get(&key) {
            Some(record) if record.claim != claim => CloseReply::WrongClaim,
            Some(record) if is_open(record) => CloseReply::Accepted,
            Some(record) => CloseReply::AlreadyEnded(record.clone()),
            None => CloseReply::WrongClaim,
        }
    }

    fn lose_owner(&mut self, entry: NodeId) -> Vec<ClaimNumber> {
        let mut changed = Vec::new();
        for record in self.claims.values_mut().filter(|record| record.entry == entry) {
            if let ClaimPhase::Open { ownerless, .. } = &mut record.phase
                && !*ownerless
            {
                *ownerless = true;
                changed.push(record.claim);
            }
        }
        changed.sort();
        changed
    }

    fn expire(&mut self) -> ExpireReply {
        let now = self.now;
        let mut reply = ExpireReply::default();
        for record in self.claims.values_mut() {
            if let ClaimPhase::Open { deadline, ownerless: true } = record.phase
                && now.since(deadline) > OWNERLESS_MARGIN_MS
            {
                let (outcome, reason) = (RequestOutcome::Unknown, Some(ReasonCode::OwnerLost));
                record.phase = ClaimPhase::Ended { at: now, outcome, reason };
                reply.ended.push(record.claim);
            }
        }
        reply.ended.sort();
        let before = self.claims.len() + self.refusals.len();
        self.refusals.retain(|_, record| record.until > now);
        self.claims.retain(|_, record| match record.phase {
            ClaimPhase::Open { .. } => true,
            ClaimPhase::Ended { at, .. } => now.since(at) <= retention_of(record),
        });
        reply.removed = before - self.claims.len() - self.refusals.len();
        self.marks.retain(|_, at| now.since(*at) <= MARK_RETENTION_MS);
        self.quarantines.retain(|_, end| *end > now);
        reply
    }

    fn finish_order(&mut self, id: OrderId, result: &OrderResult) -> OrderDoneReply {
        let Some(record) = self.orders.get_mut(&id) else { return OrderDoneReply::UnknownOrder };
        if let Some(kept) = &record.result {
            return OrderDoneReply::AlreadyDone(kept.clone());
        }
        record.result = Some(result.clone());
        record.ended = Some(self.now);
        OrderDoneReply::Accepted
    }
}

pub fn is_open(record: &ClaimRecord) -> bool {
    matches!(record.phase, ClaimPhase::Open { .. })
}

fn retention_of(record: &ClaimRecord) -> u64 {
    if record.idempotent { IDEMPOTENT_RETENTION_MS } else { NON_IDEMPOTENT_RETENTION_MS }
}

/// Returns the command reduced to the request of the operator, without the data that the leader
/// adds: the node id or incarnation of a drain, and the number of changes of an edit.
fn operator_request(command: &StateCommand) -> StateCommand {
    let mut request = command.clone();
    match &mut request {
        StateCommand::ApplyDocument { changes, .. } => *changes = 0,
        StateCommand::Drain { subject: DrainSubject::Entry { node, .. }, .. } => *node = NodeId(0),
        StateCommand::Drain { subject: DrainSubject::Target(target), .. } => target.incarnation = 0,
        _ => {}
    }
    request
}
