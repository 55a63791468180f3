//! Recovery after the loss of an entry or a change of leader.

use super::PoolScheduler;
use super::event::OpenClaim;
use super::queue::QueueItem;
use super::request::{RequestId, RequestPhase, RequestRecord, RunState};
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestKey};
use crate::message::HeldClaim;
use crate::registry::TargetKey;
use std::collections::{BTreeSet, HashSet};

/// Rebuild phase of a new leader, in which it neither grants nor sheds. The phase ends at `until`
/// or when no entry is pending.
#[derive(Clone, Debug, Hash)]
pub(super) struct RebuildState {
    until: ClockTime,
    pending: BTreeSet<NodeId>,
}

impl PoolScheduler {
    /// Returns whether the scheduler still waits for reports of entries. Ends the rebuild phase
    /// when it is over.
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
            self.restore_claim(now, claim);
        }
        self.rebuild =
            Some(RebuildState { until: now.plus(self.settings.rebuild_timeout_ms), pending });
        let keys: Vec<TargetKey> = self.targets.keys().copied().collect();
        for key in keys {
            self.bind_restored(now, key);
        }
    }

    /// Restores a running request from an open claim. Its owner counts as lost until it reports.
    fn restore_claim(&mut self, now: ClockTime, claim: OpenClaim) {
        if self.by_key.contains_key(&claim.key) {
            return;
        }
        let workspace = self.workspaces.index_or_insert(now, &claim.workspace, &self.settings);
        self.workspaces.state_mut(workspace).in_flight += 1;
        self.sequence += 1;
        let item = QueueItem {
            id: RequestId::default(),
            model_index: self.model_index(""),
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
            suspect: false,
            cancelling: None,
            owner_lost: Some(now),
            uncached_tokens: 0.0,
            prefill_ahead_tokens: 0.0,
            first_token_received: true,
            tokens: 0,
            last_report: now,
        };
        let id = self.requests.insert(RequestRecord {
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
            restored: true,
            tried: Vec::new(),
            timer: None,
            partner: None,
            phase: RequestPhase::Running(state),
        });
        self.requests[id].item.id = id;
        self.by_key.insert(claim.key, id);
        self.by_entry.entry(claim.entry).or_default().insert(id);
        self.running.entry(claim.tier).or_default().insert(id);
        self.unpaired.entry(claim.tier).or_default().insert(id);
        self.set_timer(id, Some(claim.deadline));
    }

    /// Attaches restored requests to a target that has announced itself. Requests of an older
    /// incarnation ended with that incarnation.
    pub(super) fn bind_restored(&mut self, now: ClockTime, key: TargetKey) {
        let Some(target) = self.targets.get(&key) else { return };
        let identity = target.announcement.identity();
        let restored: Vec<(RequestId, u64)> = self
            .running
            .values()
            .flatten()
            .filter_map(|id| {
                let known = self.requests.get(*id)?.running()?.identity.as_ref()?;
                (known.name == identity.name).then_some((*id, known.incarnation))
            })
            .collect();
        for (id, incarnation) in restored {
            if incarnation < identity.incarnation {
                self.detach(now, id);
            } else if incarnation == identity.incarnation {
                self.attach(now, id, key);
            }
        }
    }

    fn attach(&mut self, now: ClockTime, id: RequestId, key: TargetKey) {
        let suspect = self.suspects.is_marked(now, self.requests[id].fingerprint);
        let Some(state) = self.requests[id].running_mut() else { return };
        state.target = Some(key);
        state.identity = None;
        state.suspect = suspect;
        if let Some(target) = self.targets.get_mut(&key) {
            target.running.push(id);
            target.suspect_count += u32::from(suspect);
        }
    }

    pub(super) fn entry_lost(&mut self, now: ClockTime, entry: NodeId) {
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.pending.remove(&entry);
        }
        let ids: Vec<RequestId> =
            self.by_entry.get(&entry).into_iter().flatten().copied().collect();
        for id in ids {
            let record = &mut self.requests[id];
            let deadline = record.deadline;
            let Some(state) = record.running_mut() else {
                self.remove_waiting(id);
                continue;
            };
            if state.target.is_none() && state.identity.is_none() {
                // The target crashed earlier, so the request no longer runs.
                self.remove_request(id);
                continue;
            }
            state.owner_lost.get_or_insert(now);
            self.set_timer(id, Some(deadline));
        }
    }

    pub(super) fn entry_reported(&mut self, now: ClockTime, entry: NodeId, running: &[HeldClaim]) {
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.pending.remove(&entry);
        }
        let held: HashSet<(RequestKey, ClaimNumber)> =
            running.iter().map(|held| (held.key, held.claim)).collect();
        let ids: Vec<RequestId> =
            self.by_entry.get(&entry).into_iter().flatten().copied().collect();
        for id in ids {
            let key = self.requests[id].key;
            let Some(state) = self.requests[id].running_mut() else { continue };
            if state.owner_lost.is_none() {
                continue;
            }
            if state.claim.is_some_and(|claim| held.contains(&(key, claim))) {
                state.owner_lost = None;
                self.set_timer(id, None);
            } else {
                self.end_running(now, id);
            }
        }
    }
}
