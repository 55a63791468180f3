//! Claim table: one claim per request key, open or within its retention.
//!
//! A claim takes 64 bytes in its row and 5 to 11 bytes in the key index, whose load factor is
//! between 3/8 and 3/4. Targets, entries and names are interned, and the other indexes contain
//! only open claims. `examples/claim_table.rs` measures 73 to 87 bytes per claim.

use super::claim::{
    ClaimPhase, ClaimRecord, ClaimRules, EXPIRE_BATCH, IDEMPOTENT_RETENTION_MS,
    NON_IDEMPOTENT_RETENTION_MS, OWNERLESS_MARGIN_MS,
};
use super::command::{ClaimReply, ClaimRequest, CloseReply, ExpireReply};
use super::index::KeyIndex;
use super::intern::InternTable;
use super::retention::RetentionQueue;
use super::row::{ClaimArena, ClaimRow, RowPhase, SlotKey};
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestKey, TargetIdentity};
use crate::outcome::{ReasonCode, RequestOutcome};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Incarnation of a target with its address, shared by all claims at it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TargetEndpoint {
    pub(super) identity: TargetIdentity,
    pub(super) address: String,
}

/// Result of looking up the claim that a release or finish names.
enum ClaimLookup {
    Open(SlotKey),
    Ended(SlotKey),
    NotFound,
}

/// Claim table with its indexes.
#[derive(Clone, Debug)]
pub(super) struct ClaimTable {
    rules: ClaimRules,
    pub(super) arena: ClaimArena,
    index: KeyIndex,
    pub(super) targets: InternTable<TargetEndpoint>,
    pub(super) entries: InternTable<NodeId>,
    pub(super) names: InternTable<str>,
    /// Slots of the open claims.
    open: BTreeMap<ClaimNumber, SlotKey>,
    /// Open claims by the entry process that owns or owned them.
    by_entry: BTreeMap<NodeId, BTreeSet<ClaimNumber>>,
    /// Open claims by target.
    by_target: BTreeMap<TargetIdentity, BTreeSet<ClaimNumber>>,
    /// Ownerless open claims by deadline.
    ownerless: BTreeSet<(ClockTime, ClaimNumber)>,
    /// Ended claims of idempotent requests.
    idempotent: RetentionQueue,
    /// Ended claims of non-idempotent requests.
    non_idempotent: RetentionQueue,
}

impl ClaimTable {
    pub(super) fn new(rules: ClaimRules) -> Self {
        Self {
            rules,
            arena: ClaimArena::new(),
            index: KeyIndex::new(),
            targets: InternTable::new(),
            entries: InternTable::new(),
            names: InternTable::new(),
            open: BTreeMap::new(),
            by_entry: BTreeMap::new(),
            by_target: BTreeMap::new(),
            ownerless: BTreeSet::new(),
            idempotent: RetentionQueue::new(IDEMPOTENT_RETENTION_MS),
            non_idempotent: RetentionQueue::new(NON_IDEMPOTENT_RETENTION_MS),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.arena.len()
    }

    pub(super) fn open_len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn ownerless_len(&self) -> usize {
        self.ownerless.len()
    }

    /// Returns the heap size of the rows and the key index in bytes. The other indexes are not
    /// counted, as they contain only open claims.
    pub(super) fn heap_bytes(&self) -> usize {
        self.arena.heap_bytes() + self.index.heap_bytes()
    }

    /// Returns the number of distinct targets, entry processes and names referenced by claims.
    pub(super) fn shared_values(&self) -> usize {
        self.targets.len() + self.entries.len() + self.names.len()
    }

    pub(super) fn claim(&mut self, index: u64, request: &ClaimRequest) -> ClaimReply {
        if let Some(slot) = self.index.find(&self.arena, request.key) {
            let ended = matches!(self.arena.row(slot).phase, RowPhase::Ended(_));
            if ended && self.rules.refuse_after_end {
                return ClaimReply::AlreadyEnded(self.record(slot));
            }
            if !ended && self.rules.refuse_while_open {
                return ClaimReply::AlreadyOpen(self.record(slot));
            }
            self.evict_existing(slot, ended);
        }
        let claim = ClaimNumber(index);
        let endpoint =
            TargetEndpoint { identity: request.target.clone(), address: request.address.clone() };
        let row = ClaimRow {
            key: request.key,
            claim,
            fingerprint: request.fingerprint,
            time: request.deadline,
            target: self.targets.acquire(endpoint),
            entry: self.entries.acquire(request.entry),
            workspace: self.names.acquire(request.workspace.as_str()),
            pool: self.names.acquire(request.pool.as_str()),
            next: SlotKey::NONE,
            tier: request.tier,
            idempotent: request.idempotent,
            phase: RowPhase::Owned,
            reason: None,
        };
        self.insert_open(row);
        ClaimReply::Created(claim)
    }

    /// Inserts the row of an open claim. The row must hold a reference to each of its values.
    pub(super) fn insert_open(&mut self, row: ClaimRow) {
        let entry = **self.entries.value(row.entry);
        let identity = &self.targets.value(row.target).identity;
        match self.by_target.get_mut(identity) {
            Some(claims) => {
                claims.insert(row.claim);
            }
            None => {
                self.by_target.insert(identity.clone(), BTreeSet::from([row.claim]));
            }
        }
        self.by_entry.entry(entry).or_default().insert(row.claim);
        if row.phase == RowPhase::Ownerless {
            self.ownerless.insert((row.time, row.claim));
        }
        let slot = self.arena.insert(row);
        self.index.insert(&self.arena, slot);
        self.open.insert(row.claim, slot);
    }

    /// Inserts the row of an ended claim. The row must hold a reference to each of its values and
    /// must not have ended before the rows that are already in its retention queue.
    pub(super) fn insert_ended(&mut self, row: ClaimRow) {
        let slot = self.arena.insert(row);
        self.index.insert(&self.arena, slot);
        self.enqueue_ended(slot);
    }

    fn enqueue_ended(&mut self, slot: SlotKey) {
        let idempotent = self.arena.row(slot).idempotent;
        let queue = if idempotent { &mut self.idempotent } else { &mut self.non_idempotent };
        queue.push(&mut self.arena, slot);
    }

    /// Removes the existing claim of a key so that the key can be claimed again.
    ///
    /// Called only if a rule is turned off. The row of an ended claim stays in its retention queue.
    fn evict_existing(&mut self, slot: SlotKey, ended: bool) {
        let row = *self.arena.row(slot);
        self.index.remove(&self.arena, row.key);
        if !ended {
            self.unindex_open(&row);
            self.free_row(slot);
        }
    }

    pub(super) fn release(&mut self, key: RequestKey, claim: ClaimNumber) -> CloseReply {
        match self.look_up(key, claim) {
            ClaimLookup::Open(slot) => {
                let row = *self.arena.row(slot);
                self.unindex_open(&row);
                self.index.remove(&self.arena, key);
                self.free_row(slot);
                CloseReply::Accepted
            }
            ClaimLookup::Ended(slot) => CloseReply::AlreadyEnded(self.record(slot)),
            ClaimLookup::NotFound => CloseReply::WrongClaim,
        }
    }

    pub(super) fn finish(
        &mut self,
        now: ClockTime,
        key: RequestKey,
        claim: ClaimNumber,
        outcome: RequestOutcome,
        reason: Option<ReasonCode>,
    ) -> CloseReply {
        match self.look_up(key, claim) {
            ClaimLookup::Open(slot) => {
                self.end(slot, now, outcome, reason);
                CloseReply::Accepted
            }
            ClaimLookup::Ended(slot) if self.rules.keep_first_outcome => {
                CloseReply::AlreadyEnded(self.record(slot))
            }
            ClaimLookup::Ended(slot) => {
                let row = self.arena.row_mut(slot);
                row.phase = RowPhase::Ended(outcome);
                row.reason = reason;
                CloseReply::Accepted
            }
            ClaimLookup::NotFound => CloseReply::WrongClaim,
        }
    }

    fn look_up(&self, key: RequestKey, claim: ClaimNumber) -> ClaimLookup {
        let Some(slot) = self.index.find(&self.arena, key) else { return ClaimLookup::NotFound };
        let row = self.arena.row(slot);
        match row.phase {
            _ if row.claim != claim && self.rules.check_claim_number => ClaimLookup::NotFound,
            RowPhase::Ended(_) => ClaimLookup::Ended(slot),
            RowPhase::Owned | RowPhase::Ownerless => ClaimLookup::Open(slot),
        }
    }

    pub(super) fn mark_ownerless(&mut self, entry: NodeId) -> Vec<ClaimNumber> {
        let claims: Vec<ClaimNumber> =
            self.by_entry.get(&entry).into_iter().flatten().copied().collect();
        let mut changed = Vec::new();
        for claim in claims {
            let Some(&slot) = self.open.get(&claim) else { continue };
            if !self.rules.keep_ownerless {
                let key = self.arena.row(slot).key;
                self.release(key, claim);
                continue;
            }
            let row = self.arena.row_mut(slot);
            if row.phase == RowPhase::Owned {
                row.phase = RowPhase::Ownerless;
                self.ownerless.insert((row.time, claim));
                changed.push(claim);
            }
        }
        changed
    }

    pub(super) fn expire(&mut self, now: ClockTime) -> ExpireReply {
        let mut reply = ExpireReply::default();
        let mut budget = EXPIRE_BATCH;
        while let Some(&(deadline, claim)) = self.ownerless.first() {
            if deadline.plus(OWNERLESS_MARGIN_MS) >= now {
                break;
            }
            if budget == 0 {
                reply.more = true;
                return reply;
            }
            budget -= 1;
            let slot = self.open[&claim];
            self.end(slot, now, RequestOutcome::Unknown, Some(ReasonCode::OwnerLost));
            reply.ended.push(claim);
        }
        reply.ended.sort_unstable();
        reply.removed = self.remove_ended(true, now, budget);
        reply.removed += self.remove_ended(false, now, budget - reply.removed);
        reply.more = self.idempotent.has_expired(&self.arena, now)
            || self.non_idempotent.has_expired(&self.arena, now);
        reply
    }

    fn remove_ended(&mut self, idempotent: bool, now: ClockTime, budget: usize) -> usize {
        let mut removed = 0;
        while removed < budget {
            let queue = if idempotent { &mut self.idempotent } else { &mut self.non_idempotent };
            let Some(slot) = queue.pop_expired(&self.arena, now) else { break };
            let key = self.arena.row(slot).key;
            // The index may refer to a newer claim if this one was evicted.
            if self.index.find(&self.arena, key) == Some(slot) {
                self.index.remove(&self.arena, key);
            }
            self.free_row(slot);
            removed += 1;
        }
        removed
    }

    fn end(
        &mut self,
        slot: SlotKey,
        now: ClockTime,
        outcome: RequestOutcome,
        reason: Option<ReasonCode>,
    ) {
        let row = *self.arena.row(slot);
        self.unindex_open(&row);
        let row = self.arena.row_mut(slot);
        row.phase = RowPhase::Ended(outcome);
        row.reason = reason;
        row.time = now;
        self.enqueue_ended(slot);
    }

    /// Removes a claim from the indexes of open claims.
    fn unindex_open(&mut self, row: &ClaimRow) {
        self.open.remove(&row.claim);
        self.ownerless.remove(&(row.time, row.claim));
        let entry = **self.entries.value(row.entry);
        remove_from_set(&mut self.by_entry, &entry, row.claim);
        let identity = &self.targets.value(row.target).identity;
        remove_from_set(&mut self.by_target, identity, row.claim);
    }

    fn free_row(&mut self, slot: SlotKey) {
        let row = *self.arena.row(slot);
        self.targets.release(row.target);
        self.entries.release(row.entry);
        self.names.release(row.workspace);
        self.names.release(row.pool);
        self.arena.remove(slot);
    }

    /// Returns the slots of the open claims in order of their numbers, followed by the idempotent
    /// and then the non-idempotent ended claims, each in the order in which they ended.
    pub(super) fn slots(&self) -> impl Iterator<Item = SlotKey> + '_ {
        let ended = [&self.idempotent, &self.non_idempotent];
        let ended = ended.into_iter().flat_map(|queue| queue.slots(&self.arena));
        self.open.values().copied().chain(ended)
    }

    pub(super) fn find(&self, key: RequestKey) -> Option<ClaimRecord> {
        self.index.find(&self.arena, key).map(|slot| self.record(slot))
    }

    pub(super) fn open_records(&self) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.open.values().map(|&slot| self.record(slot))
    }

    pub(super) fn open_records_of_entry(
        &self,
        entry: NodeId,
    ) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.records(self.by_entry.get(&entry))
    }

    pub(super) fn open_records_at_target(
        &self,
        target: &TargetIdentity,
    ) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.records(self.by_target.get(target))
    }

    fn records<'a>(
        &'a self,
        claims: Option<&'a BTreeSet<ClaimNumber>>,
    ) -> impl Iterator<Item = ClaimRecord> + 'a {
        claims.into_iter().flatten().map(|claim| self.record(self.open[claim]))
    }

    fn record(&self, slot: SlotKey) -> ClaimRecord {
        let row = self.arena.row(slot);
        let endpoint = self.targets.value(row.target);
        let phase = match row.phase {
            RowPhase::Owned => ClaimPhase::Open { deadline: row.time, ownerless: false },
            RowPhase::Ownerless => ClaimPhase::Open { deadline: row.time, ownerless: true },
            RowPhase::Ended(outcome) => {
                ClaimPhase::Ended { at: row.time, outcome, reason: row.reason }
            }
        };
        ClaimRecord {
            key: row.key,
            claim: row.claim,
            fingerprint: row.fingerprint,
            target: endpoint.identity.clone(),
            address: endpoint.address.clone(),
            entry: **self.entries.value(row.entry),
            workspace: Arc::clone(self.names.value(row.workspace)),
            pool: Arc::clone(self.names.value(row.pool)),
            tier: row.tier,
            idempotent: row.idempotent,
            phase,
        }
    }
}

fn remove_from_set<K: Ord>(
    sets: &mut BTreeMap<K, BTreeSet<ClaimNumber>>,
    key: &K,
    claim: ClaimNumber,
) {
    let Some(claims) = sets.get_mut(key) else { return };
    claims.remove(&claim);
    if claims.is_empty() {
        sets.remove(key);
    }
}
