//! Loss of entries, and the start of a new leader.

use super::PoolScheduler;
use super::event::OpenClaim;
use super::queue::QueueItem;
use super::request::{RequestPhase, RequestRecord, RequestSlot, RunState};
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestKey};
use crate::message::HeldClaim;
use crate::registry::TargetKey;
use std::collections::{BTreeSet, HashSet};

/// Until when a new leader neither grants nor sheds.
#[derive(Clone, Debug, Hash)]
pub(super) struct RebuildState {
    until: ClockTime,
    pending: BTreeSet<NodeId>,
}

impl PoolScheduler {
    /// Whether the scheduler still waits for the reports of entries.
    pub(super) fn rebuilding(&mut self, now: ClockTime) -> bool {
        let Some(rebuild) = &self.rebuild else { return false };
        if now < rebuild.until && !rebuild.pending.is_empty() {
            return true;
        }
        self.rebuild = None;
        false
    }

    pub(super) fn begin_rebuild(
        &mut self,
        now: ClockTime,
        claims: Vec<OpenClaim>,
        entries: Vec<NodeId>,
    ) {
        let mut pending: BTreeSet<NodeId> = entries.into_iter().collect();
        for claim in claims {
            pending.insert(claim.entry);
            self.reenter(now, claim);
        }
        self.rebuild =
            Some(RebuildState { until: now.plus(self.settings.rebuild_timeout_ms), pending });
        let keys: Vec<TargetKey> = self.targets.keys().copied().collect();
        for key in keys {
            self.bind_reentered(now, key);
        }
    }

    /// Enters an open claim as running. Its owner counts as lost until it reports.
    fn reenter(&mut self, now: ClockTime, claim: OpenClaim) {
        if self.by_key.contains_key(&claim.key) {
            return;
        }
        let workspace = self.workspaces.index(now, &claim.workspace, &self.settings);
        self.workspaces.state_mut(workspace).in_flight += 1;
        self.sequence += 1;
        let item = QueueItem {
            slot: RequestSlot::default(),
            class: self.class(""),
            tier: claim.tier,
            flow: workspace,
            order: claim.deadline.as_ms(),
            sequence: self.sequence,
            service_ms: 0.0,
        };
        let state = RunState {
            target: None,
            identity: Some(claim.target),
            claim: Some(claim.claim),
            placed: now,
            marked: false,
            cancelling: None,
            owner_lost: Some(now),
            uncached: 0.0,
            ahead: 0.0,
            first_token: true,
            tokens: 0,
            reported: now,
        };
        let slot = self.requests.insert(RequestRecord {
            key: claim.key,
            attempt: 0,
            entry: claim.entry,
            fingerprint: claim.fingerprint,
            workspace,
            idempotent: claim.idempotent,
            submitted: now,
            deadline: claim.deadline,
            prompt_tokens: 0,
            output_limit: 0,
            output_expected: 0.0,
            prefix_hashes: Vec::new(),
            charged_tokens: 0.0,
            item,
            reentered: true,
            tried: Vec::new(),
            timer: None,
            partner: None,
            phase: RequestPhase::Running(state),
        });
        self.requests[slot].item.slot = slot;
        self.by_key.insert(claim.key, slot);
        self.by_entry.entry(claim.entry).or_default().insert(slot);
        self.running.entry(claim.tier).or_default().insert(slot);
        self.unpaired.entry(claim.tier).or_default().insert(slot);
        self.set_timer(slot, Some(claim.deadline));
    }

    /// Attaches re-entered claims to a target that has announced itself. Claims of an older
    /// incarnation have ended with it.
    pub(super) fn bind_reentered(&mut self, now: ClockTime, key: TargetKey) {
        let Some(target) = self.targets.get(&key) else { return };
        let identity = target.announcement.identity();
        let named: Vec<(RequestSlot, u64)> = self
            .running
            .values()
            .flatten()
            .filter_map(|slot| {
                let known = self.requests.get(*slot)?.running()?.identity.as_ref()?;
                (known.name == identity.name).then_some((*slot, known.incarnation))
            })
            .collect();
        for (slot, incarnation) in named {
            if incarnation < identity.incarnation {
                self.detach(now, slot);
            } else if incarnation == identity.incarnation {
                self.attach(now, slot, key);
            }
        }
    }

    fn attach(&mut self, now: ClockTime, slot: RequestSlot, key: TargetKey) {
        let marked = self.suspects.is_marked(now, self.requests[slot].fingerprint);
        let Some(state) = self.requests[slot].running_mut() else { return };
        state.target = Some(key);
        state.identity = None;
        state.marked = marked;
        if let Some(target) = self.targets.get_mut(&key) {
            target.running.push(slot);
            target.marked += u32::from(marked);
        }
    }

    pub(super) fn entry_lost(&mut self, now: ClockTime, entry: NodeId) {
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.pending.remove(&entry);
        }
        let slots: Vec<RequestSlot> =
            self.by_entry.get(&entry).into_iter().flatten().copied().collect();
        for slot in slots {
            let record = &mut self.requests[slot];
            let deadline = record.deadline;
            let Some(state) = record.running_mut() else {
                self.remove_waiting(slot);
                continue;
            };
            if state.target.is_none() && state.identity.is_none() {
                // The target has crashed before, so nothing runs any more.
                self.forget(slot);
                continue;
            }
            state.owner_lost.get_or_insert(now);
            self.set_timer(slot, Some(deadline));
        }
    }

    pub(super) fn entry_reported(&mut self, now: ClockTime, entry: NodeId, running: &[HeldClaim]) {
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.pending.remove(&entry);
        }
        let held: HashSet<(RequestKey, ClaimNumber)> =
            running.iter().map(|held| (held.key, held.claim)).collect();
        let slots: Vec<RequestSlot> =
            self.by_entry.get(&entry).into_iter().flatten().copied().collect();
        for slot in slots {
            let key = self.requests[slot].key;
            let Some(state) = self.requests[slot].running_mut() else { continue };
            if state.owner_lost.is_none() {
                continue;
            }
            if state.claim.is_some_and(|claim| held.contains(&(key, claim))) {
                state.owner_lost = None;
                self.set_timer(slot, None);
            } else {
                self.end_running(now, slot);
            }
        }
    }
}
