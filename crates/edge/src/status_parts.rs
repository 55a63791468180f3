//! Statuses as they are sent: without the parts that their receiver is known to have.
//!
//! Each status names the last status of its receiver that the sender has. A node therefore knows which
//! of its own statuses each of the others has, and leaves out what has not changed since then. A lost
//! status changes nothing: the next one holds all that changed since the last one that arrived. A
//! receiver adds what was left out from the last status it has, so it learns from every status that
//! arrives what a complete one would tell.

use crate::allowance::{AllowanceUsage, WorkspaceKey};
use crate::datagram::NodeStatus;
use crate::placement::{ActiveRequest, PlacementKey, ProcessKey};
use crate::rollout::RolloutReport;
use crate::streams::StreamGroup;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Last status of a node that another one has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HeardStatus {
    /// Low bits of the key of the process. An equal tag of another process costs one status, since
    /// the receiver compares the whole key.
    process_tag: u16,
    sequence: u64,
    /// Whether the status lists the requests that run at targets.
    active: bool,
}

impl HeardStatus {
    /// Returns what to tell the sender of a status about it.
    pub(crate) const fn of(status: &NodeStatus) -> Self {
        let process_tag = status.process.0 as u16;
        Self { process_tag, sequence: status.sequence, active: status.active.is_some() }
    }
}

/// Requests that run at targets, in relation to those of the base.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct ActiveChanges {
    /// Keys of the requests that are as in the base, each as the difference to the one before.
    kept: Vec<u64>,
    /// New and changed requests.
    changed: Vec<ActiveRequest>,
}

/// Address of a node, as the difference to the address of the sender.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
struct AddressOffset(i32, i32);

impl AddressOffset {
    fn new(address: SocketAddrV4, own: SocketAddrV4) -> Self {
        let difference = address.ip().to_bits().wrapping_sub(own.ip().to_bits());
        let port_difference = i32::from(address.port()) - i32::from(own.port());
        Self(difference.cast_signed(), port_difference)
    }

    fn address(self, own: SocketAddrV4) -> Option<SocketAddrV4> {
        let bits = own.ip().to_bits().wrapping_add(self.0.cast_unsigned());
        let port = u16::try_from(i32::from(own.port()).checked_add(self.1)?).ok()?;
        Some(SocketAddrV4::new(Ipv4Addr::from_bits(bits), port))
    }
}

/// Status as it is sent to one node.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CompactStatus {
    #[serde(with = "postcard::fixint::le")]
    process: u64,
    sequence: u64,
    /// Sequence number of the status that the receiver has and that this one adds to. 0 if this one is
    /// complete.
    base: u64,
    /// Last status of the receiver that the sender has.
    heard: Option<HeardStatus>,
    /// Everything but the lists below, if it has changed since the base.
    header: Option<NodeStatus>,
    peers: Vec<AddressOffset>,
    active: Option<ActiveChanges>,
    /// Usage that has changed since the base. Zero usage is no longer reported.
    used: Vec<(WorkspaceKey, AllowanceUsage)>,
    streams: Vec<StreamGroup>,
    rollouts: Vec<RolloutReport>,
}

impl CompactStatus {
    /// Returns whether nothing is left out.
    pub(crate) const fn is_complete(&self) -> bool {
        self.base == 0
    }

    /// Returns the process of the sender.
    pub(crate) const fn process(&self) -> ProcessKey {
        ProcessKey(self.process)
    }

    /// Returns the last status of the receiver that the sender has.
    pub(crate) const fn heard(&self) -> Option<HeardStatus> {
        self.heard
    }

    /// Returns the complete status, given the last one of the process that is known. Returns `None`
    /// if the base is not known.
    pub(crate) fn restore(self, known: Option<&NodeStatus>) -> Option<NodeStatus> {
        let known = known.filter(|known| known.process == self.process());
        let base = known.filter(|known| self.base > 0 && known.sequence >= self.base);
        if !self.is_complete() && base.is_none() {
            return None;
        }
        let header = self.header.or_else(|| base.map(header_of))?;
        let peers = self.peers.iter().filter_map(|peer| peer.address(header.address)).collect();
        let active = self.active.map(|active| active.restore(base));
        let mut used: BTreeMap<_, _> =
            base.map(|base| base.used.iter().copied().collect()).unwrap_or_default();
        used.extend(self.used);
        let used = used.into_iter().filter(|(_, usage)| *usage != AllowanceUsage::default());
        Some(NodeStatus {
            sequence: self.sequence,
            peers,
            active,
            used: used.collect(),
            streams: self.streams,
            rollouts: self.rollouts,
            ..header
        })
    }
}

impl ActiveChanges {
    fn new(active: &[ActiveRequest], log: &StatusLog, base: Option<u64>) -> Self {
        let is_kept = |request: &&ActiveRequest| {
            let changed = log.active.get(&request.key).map(|(_, changed)| *changed);
            base.zip(changed).is_some_and(|(base, changed)| changed <= base)
        };
        let (kept, changed): (Vec<&ActiveRequest>, Vec<_>) = active.iter().partition(is_kept);
        let mut last = 0_u64;
        let differences = kept.iter().map(|request| {
            let difference = request.key.0.wrapping_sub(last);
            last = request.key.0;
            difference
        });
        Self { kept: differences.collect(), changed: changed.into_iter().copied().collect() }
    }

    fn restore(self, base: Option<&NodeStatus>) -> Vec<ActiveRequest> {
        let known = base.and_then(|base| base.active.as_deref()).unwrap_or_default();
        let known: BTreeMap<_, _> = known.iter().map(|request| (request.key, request)).collect();
        let mut last = 0_u64;
        let kept = self.kept.iter().filter_map(|difference| {
            last = last.wrapping_add(*difference);
            known.get(&PlacementKey(last)).copied().copied()
        });
        let mut active: BTreeMap<_, _> = kept.map(|request| (request.key, request)).collect();
        active.extend(self.changed.into_iter().map(|request| (request.key, request)));
        active.into_values().collect()
    }
}

/// Parts of the last own status, with the sequence number at which each has changed.
#[derive(Debug, Default)]
pub(crate) struct StatusLog {
    header: Option<(NodeStatus, u64)>,
    active: BTreeMap<PlacementKey, (ActiveRequest, u64)>,
    used: BTreeMap<WorkspaceKey, (AllowanceUsage, u64)>,
    /// Sequence number of the last status that was sent to each node without running requests. What
    /// the node had of them before cannot be added to.
    without_active: BTreeMap<SocketAddrV4, u64>,
}

impl StatusLog {
    /// Records the next own status.
    pub(crate) fn record(&mut self, status: &NodeStatus) {
        let sequence = status.sequence;
        let header = header_of(status);
        if self.header.as_ref().is_none_or(|(last, _)| *last != header) {
            self.header = Some((header, sequence));
        }
        let active = status.active.as_deref().unwrap_or_default();
        let before = std::mem::take(&mut self.active);
        self.active = active
            .iter()
            .map(|request| match before.get(&request.key) {
                Some((last, changed)) if last == request => (request.key, (*last, *changed)),
                _ => (request.key, (*request, sequence)),
            })
            .collect();
        let current: BTreeMap<_, _> = status.used.iter().copied().collect();
        for (key, last) in &mut self.used {
            let usage = current.get(key).copied().unwrap_or_default();
            if last.0 != usage {
                *last = (usage, sequence);
            }
        }
        for (key, usage) in current {
            self.used.entry(key).or_insert((usage, sequence));
        }
    }

    /// Returns the last recorded status, or a part of it, as it is sent to `receiver`, which has
    /// acknowledged `acknowledged`. `heard` is the last status of that node.
    pub(crate) fn compact(
        &mut self,
        status: &NodeStatus,
        receiver: SocketAddrV4,
        acknowledged: Option<HeardStatus>,
        heard: Option<HeardStatus>,
    ) -> CompactStatus {
        let tag = HeardStatus::of(status).process_tag;
        let base = acknowledged
            .filter(|last| last.process_tag == tag && last.sequence < status.sequence)
            .filter(|last| last.sequence > 0);
        let sequence = base.map(|base| base.sequence);
        let is_new = |changed: u64| sequence.is_none_or(|base| changed > base);
        let without_active = self.without_active.get(&receiver).copied().unwrap_or(0);
        if status.active.is_none() {
            self.without_active.insert(receiver, status.sequence);
        }
        let active_base = base
            .filter(|base| base.active && base.sequence > without_active)
            .map(|base| base.sequence);
        let header = self.header.as_ref().filter(|(_, changed)| is_new(*changed));
        let active = status.active.as_deref();
        let used = self.used.iter().filter(|(_, (usage, changed))| {
            is_new(*changed) && (sequence.is_some() || *usage != AllowanceUsage::default())
        });
        let peers = status.peers.iter();
        CompactStatus {
            process: status.process.0,
            sequence: status.sequence,
            base: sequence.unwrap_or(0),
            heard,
            header: header.map(|(header, _)| header.clone()),
            peers: peers.map(|peer| AddressOffset::new(*peer, status.address)).collect(),
            active: active.map(|active| ActiveChanges::new(active, self, active_base)),
            used: used.map(|(key, (usage, _))| (*key, *usage)).collect(),
            streams: status.streams.clone(),
            rollouts: status.rollouts.clone(),
        }
    }
}

/// Returns the status without its lists and its sequence number.
fn header_of(status: &NodeStatus) -> NodeStatus {
    NodeStatus {
        sequence: 0,
        peers: Vec::new(),
        active: None,
        used: Vec::new(),
        streams: Vec::new(),
        rollouts: Vec::new(),
        domain: status.domain.clone(),
        ..*status
    }
}

#[cfg(test)]
mod tests;
