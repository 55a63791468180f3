//! Claim table: one claim per request key, open or within its retention.
//!
//! A claim takes 64 bytes in its row and 5 to 11 bytes in the key index, which is between three
//! eighths and three quarters full. Targets, entries and names are shared, and only open claims
//! are in the other indexes. `examples/claim_table.rs` measures 73 to 87 bytes per claim.

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

/// A target run with its address, shared by all claims on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TargetPlace {
    pub(super) identity: TargetIdentity,
    pub(super) address: String,
}

/// What a release or a finish refers to.
enum Closable {
    Open(SlotKey),
    Ended(SlotKey),
    Other,
}

#[derive(Clone, Debug)]
pub(super) struct ClaimTable {
    rules: ClaimRules,
    pub(super) arena: ClaimArena,
    index: KeyIndex,
    pub(super) targets: InternTable<TargetPlace>,
    pub(super) entries: InternTable<NodeId>,
    pub(super) names: InternTable<str>,
    open: BTreeMap<ClaimNumber, SlotKey>,
    by_entry: BTreeMap<NodeId, BTreeSet<ClaimNumber>>,
    by_target: BTreeMap<TargetIdentity, BTreeSet<ClaimNumber>>,
    overdue: BTreeSet<(ClockTime, ClaimNumber)>,
    idempotent: RetentionQueue,
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
            overdue: BTreeSet::new(),
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
        self.overdue.len()
    }

    /// Heap bytes of rows and key index; the other indexes hold open claims only.
    pub(super) fn heap_bytes(&self) -> usize {
        self.arena.heap_bytes() + self.index.heap_bytes()
    }

    /// Distinct targets, entry runs and names that claims refer to.
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
            self.displace(slot, ended);
        }
        let claim = ClaimNumber(index);
        let place =
            TargetPlace { identity: request.target.clone(), address: request.address.clone() };
        let row = ClaimRow {
            key: request.key,
            claim,
            fingerprint: request.fingerprint,
            time: request.deadline,
            target: self.targets.acquire(place),
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

    /// Adds a row of an open claim with its names acquired.
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
            self.overdue.insert((row.time, row.claim));
        }
        let slot = self.arena.insert(row);
        self.index.insert(&self.arena, slot);
        self.open.insert(row.claim, slot);
    }

    /// Adds a row of an ended claim with its names acquired, newer than all of its kind.
    pub(super) fn insert_ended(&mut self, row: ClaimRow) {
        let slot = self.arena.insert(row);
        self.index.insert(&self.arena, slot);
        self.retain_ended(slot);
    }

    fn retain_ended(&mut self, slot: SlotKey) {
        let idempotent = self.arena.row(slot).idempotent;
        let queue = if idempotent { &mut self.idempotent } else { &mut self.non_idempotent };
        queue.push(&mut self.arena, slot);
    }

    /// Makes room for a second claim of a key. Reached only with a rule turned off; the row of
    /// an ended claim stays in its retention queue.
    fn displace(&mut self, slot: SlotKey, ended: bool) {
        let row = *self.arena.row(slot);
        self.index.remove(&self.arena, row.key);
        if !ended {
            self.leave_open(&row);
            self.free(slot);
        }
    }

    pub(super) fn release(&mut self, key: RequestKey, claim: ClaimNumber) -> CloseReply {
        match self.find_closable(key, claim) {
            Closable::Open(slot) => {
                let row = *self.arena.row(slot);
                self.leave_open(&row);
                self.index.remove(&self.arena, key);
                self.free(slot);
                CloseReply::Accepted
            }
            Closable::Ended(slot) => CloseReply::AlreadyEnded(self.record(slot)),
            Closable::Other => CloseReply::WrongClaim,
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
        match self.find_closable(key, claim) {
            Closable::Open(slot) => {
                self.end(slot, now, outcome, reason);
                CloseReply::Accepted
            }
            Closable::Ended(slot) if self.rules.keep_first_outcome => {
                CloseReply::AlreadyEnded(self.record(slot))
            }
            Closable::Ended(slot) => {
                let row = self.arena.row_mut(slot);
                row.phase = RowPhase::Ended(outcome);
                row.reason = reason;
                CloseReply::Accepted
            }
            Closable::Other => CloseReply::WrongClaim,
        }
    }

    fn find_closable(&self, key: RequestKey, claim: ClaimNumber) -> Closable {
        let Some(slot) = self.index.find(&self.arena, key) else { return Closable::Other };
        let row = self.arena.row(slot);
        match row.phase {
            _ if row.claim != claim && self.rules.check_claim_number => Closable::Other,
            RowPhase::Ended(_) => Closable::Ended(slot),
            RowPhase::Owned | RowPhase::Ownerless => Closable::Open(slot),
        }
    }

    pub(super) fn lose_owner(&mut self, entry: NodeId) -> Vec<ClaimNumber> {
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
                self.overdue.insert((row.time, claim));
                changed.push(claim);
            }
        }
        changed
    }

    pub(super) fn expire(&mut self, now: ClockTime) -> ExpireReply {
        let mut reply = ExpireReply::default();
        let mut budget = EXPIRE_BATCH;
        while let Some(&(deadline, claim)) = self.overdue.first() {
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
            // A displaced row is no longer the one that the index knows.
            if self.index.find(&self.arena, key) == Some(slot) {
                self.index.remove(&self.arena, key);
            }
            self.free(slot);
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
        self.leave_open(&row);
        let place = self.arena.row_mut(slot);
        place.phase = RowPhase::Ended(outcome);
        place.reason = reason;
        place.time = now;
        self.retain_ended(slot);
    }

    /// Removes an open claim from the indexes of open claims.
    fn leave_open(&mut self, row: &ClaimRow) {
        self.open.remove(&row.claim);
        self.overdue.remove(&(row.time, row.claim));
        let entry = **self.entries.value(row.entry);
        remove_member(&mut self.by_entry, &entry, row.claim);
        let identity = &self.targets.value(row.target).identity;
        remove_member(&mut self.by_target, identity, row.claim);
    }

    fn free(&mut self, slot: SlotKey) {
        let row = *self.arena.row(slot);
        self.targets.release(row.target);
        self.entries.release(row.entry);
        self.names.release(row.workspace);
        self.names.release(row.pool);
        self.arena.remove(slot);
    }

    /// Slots of the open claims in the order of their numbers, then of the ended claims in the
    /// order of their ends, by kind.
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

    pub(super) fn records_of(&self, entry: NodeId) -> impl Iterator<Item = ClaimRecord> + '_ {
        self.records(self.by_entry.get(&entry))
    }

    pub(super) fn records_at(
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
        let place = self.targets.value(row.target);
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
            target: place.identity.clone(),
            address: place.address.clone(),
            entry: **self.entries.value(row.entry),
            workspace: Arc::clone(self.names.value(row.workspace)),
            pool: Arc::clone(self.names.value(row.pool)),
            tier: row.tier,
            idempotent: row.idempotent,
            phase,
        }
    }
}

fn remove_member<K: Ord>(
    members: &mut BTreeMap<K, BTreeSet<ClaimNumber>>,
    key: &K,
    claim: ClaimNumber,
) {
    let Some(claims) = members.get_mut(key) else { return };
    claims.remove(&claim);
    if claims.is_empty() {
        members.remove(key);
    }
}
