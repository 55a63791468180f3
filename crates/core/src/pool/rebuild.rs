//! Recovery after the loss of an entry or a change of leader.

use super::PoolScheduler;
use super::event::OpenClaim;
use super::queue::QueueItem;
use super::request::{RequestHandle, RequestPhase, RequestRecord, RunState};
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
            handle: RequestHandle::default(),
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
        let handle = self.requests.insert(RequestRecord {
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
        self.requests[handle].item.handle = handle;
        self.by_key.insert(claim.key, handle);
        self.by_entry.entry(claim.entry).or_default().insert(handle);
        self.running.entry(claim.tier).or_default().insert(handle);
        self.unpaired.entry(claim.tier).or_default().insert(handle);
        self.set_timer(handle, Some(claim.deadline));
    }

    /// Attaches restored requests to a target that has announced itself. Requests of an older
    /// incarnation ended with that incarnation.
    pub(super) fn bind_restored(&mut self, now: ClockTime, key: TargetKey) {
        let Some(target) = self.targets.get(&key) else { return };
        let identity = target.announcement.identity();
        let restored: Vec<(RequestHandle, u64)> = self
            .running
            .values()
            .flatten()
            .filter_map(|handle| {
                let known = self.requests.get(*handle)?.running()?.identity.as_ref()?;
                (known.name == identity.name).then_some((*handle, known.incarnation))
            })
            .collect();
        for (handle, incarnation) in restored {
            if incarnation < identity.incarnation {
                self.detach(now, handle);
            } else if incarnation == identity.incarnation {
                self.attach(now, handle, key);
            }
        }
    }

    fn attach(&mut self, now: ClockTime, handle: RequestHandle, key: TargetKey) {
        let suspect = self.suspects.is_marked(now, self.requests[handle].fingerprint);
        let Some(state) = self.requests[handle].running_mut() else { return };
        state.target = Some(key);
        state.identity = None;
        state.suspect = suspect;
        if let Some(target) = self.targets.get_mut(&key) {
            target.running.push(handle);
            target.suspect_count += u32::from(suspect);
        }
    }

    pub(super) fn entry_lost(&mut self, now: ClockTime, entry: NodeId) {
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.pending.remove(&entry);
        }
        let handles: Vec<RequestHandle> =
            self.by_entry.get(&entry).into_iter().flatten().copied().collect();
        for handle in handles {
            let record = &mut self.requests[handle];
            let deadline = record.deadline;
            let Some(state) = record.running_mut() else {
                self.remove_waiting(handle);
                continue;
            };
            if state.target.is_none() && state.identity.is_none() {
                // The target crashed earlier, so the request no longer runs.
                self.remove_request(handle);
                continue;
            }
            state.owner_lost.get_or_insert(now);
            self.set_timer(handle, Some(deadline));
        }
    }

    pub(super) fn entry_reported(&mut self, now: ClockTime, entry: NodeId, running: &[HeldClaim]) {
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.pending.remove(&entry);
        }
        let held: HashSet<(RequestKey, ClaimNumber)> =
            running.iter().map(|held| (held.key, held.claim)).collect();
        let handles: Vec<RequestHandle> =
            self.by_entry.get(&entry).into_iter().flatten().copied().collect();
        for handle in handles {
            let key = self.requests[handle].key;
            let Some(state) = self.requests[handle].running_mut() else { continue };
            if state.owner_lost.is_none() {
                continue;
            }
            if state.claim.is_some_and(|claim| held.contains(&(key, claim))) {
                state.owner_lost = None;
                self.set_timer(handle, None);
            } else {
                self.end_running(now, handle);
            }
        }
    }
}
