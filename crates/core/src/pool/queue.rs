//! Queue of waiting requests by model, tier, workspace and deadline.
//!
//! Inserting, removing and selecting the next request cost O(log n) each. Workspaces share a tier
//! by weighted fair queueing.

use super::request::RequestHandle;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Units of virtual time per token of cost at weight 1.
const VIRTUAL_UNITS_PER_TOKEN: f64 = 1_000.0;

/// Properties of a request that the queue uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueItem {
    pub handle: RequestHandle,
    /// Index of the model in the scheduler's list of models.
    pub model_index: usize,
    pub tier: u8,
    /// Index of the flow within the tier: the workspace, or 0 without fair sharing.
    pub flow: usize,
    /// Sort key within the flow: the deadline in milliseconds or the arrival number.
    pub order: u64,
    /// Arrival number.
    pub sequence: u64,
    /// Estimated service time, used for the estimated wait.
    pub service_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct TierIndex {
    /// Requests by arrival number.
    by_age: BTreeSet<(u64, RequestHandle)>,
    service_ms: f64,
}

/// Queue of one workspace in one tier and model.
#[derive(Clone, Debug, Default)]
struct FlowQueue {
    virtual_time: u64,
    /// Requests by sort key and arrival number.
    requests: BTreeSet<(u64, u64, RequestHandle)>,
}

/// Flows of one tier and model, served in the order of their virtual times.
#[derive(Clone, Debug, Default)]
struct FlowSet {
    /// Highest virtual time of a flow when one of its requests was placed.
    system_virtual_time: u64,
    flows: HashMap<usize, FlowQueue>,
    /// Flows with requests, by virtual time.
    active: BTreeSet<(u64, usize)>,
}

impl FlowSet {
    fn insert(&mut self, item: &QueueItem) {
        let flow = self.flows.entry(item.flow).or_default();
        if flow.requests.is_empty() {
            // A flow that was idle starts at the system's virtual time, so idle time earns no
            // credit.
            flow.virtual_time = flow.virtual_time.max(self.system_virtual_time);
            self.active.insert((flow.virtual_time, item.flow));
        }
        flow.requests.insert((item.order, item.sequence, item.handle));
    }

    fn remove(&mut self, item: &QueueItem) {
        let Some(flow) = self.flows.get_mut(&item.flow) else { return };
        if flow.requests.remove(&(item.order, item.sequence, item.handle))
            && flow.requests.is_empty()
        {
            self.active.remove(&(flow.virtual_time, item.flow));
        }
    }

    fn charge(&mut self, flow_index: usize, cost: f64, weight: f64) {
        let Some(flow) = self.flows.get_mut(&flow_index) else { return };
        self.system_virtual_time = self.system_virtual_time.max(flow.virtual_time);
        let was_active = self.active.remove(&(flow.virtual_time, flow_index));
        // Costs are bounded by u32 token counts, and the cast saturates.
        flow.virtual_time += (cost * VIRTUAL_UNITS_PER_TOKEN / weight.max(1e-6)) as u64 + 1;
        if was_active {
            self.active.insert((flow.virtual_time, flow_index));
        }
    }

    /// Returns the first requests of the flows whose virtual time is at most `distance` ahead of
    /// that of `flow`.
    fn candidates_within(
        &self,
        flow: usize,
        distance: u64,
        limit: usize,
    ) -> impl Iterator<Item = RequestHandle> {
        let time = self.flows.get(&flow).map_or(0, |flow| flow.virtual_time);
        let bound = (time.saturating_add(distance), usize::MAX);
        let per_flow_limit = limit.div_ceil(self.active.range(..=bound).count().max(1));
        self.active
            .range(..=bound)
            .filter_map(|(_, flow)| self.flows.get(flow))
            .flat_map(move |flow| {
                flow.requests.iter().take(per_flow_limit).map(|(_, _, handle)| *handle)
            })
            .take(limit)
    }

    /// Returns the first requests of each flow. The limit is divided among the flows, so that one
    /// workspace cannot use it up.
    fn candidates(&self, limit: usize) -> impl Iterator<Item = RequestHandle> {
        let per_flow_limit = limit.div_ceil(self.active.len().max(1));
        self.active
            .iter()
            .filter_map(|(_, flow)| self.flows.get(flow))
            .flat_map(move |flow| {
                flow.requests.iter().take(per_flow_limit).map(|(_, _, handle)| *handle)
            })
            .take(limit)
    }
}

/// All waiting requests of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolQueue {
    tiers: BTreeMap<u8, TierIndex>,
    by_model: Vec<BTreeMap<u8, FlowSet>>,
    service_ms: f64,
    length: usize,
}

impl PoolQueue {
    pub fn insert(&mut self, item: &QueueItem) {
        let tier = self.tiers.entry(item.tier).or_default();
        tier.by_age.insert((item.sequence, item.handle));
        self.length += 1;
        self.enter_flow(item);
    }

    pub fn remove(&mut self, item: &QueueItem, parked: bool) {
        let Some(tier) = self.tiers.get_mut(&item.tier) else { return };
        if !tier.by_age.remove(&(item.sequence, item.handle)) {
            return;
        }
        self.length -= 1;
        if !parked {
            self.leave_flow(item);
        }
        if self.tiers.get(&item.tier).is_some_and(|tier| tier.by_age.is_empty()) {
            self.tiers.remove(&item.tier);
        }
    }

    /// Returns the tier, the number of requests and the oldest request of each tier.
    pub fn tier_lengths(&self) -> impl Iterator<Item = (u8, usize, RequestHandle)> {
        self.tiers.iter().filter_map(|(tier, index)| {
            index.by_age.first().map(|(_, oldest)| (*tier, index.by_age.len(), *oldest))
        })
    }

    /// Makes a waiting request eligible for placement.
    pub fn enter_flow(&mut self, item: &QueueItem) {
        if self.by_model.len() <= item.model_index {
            self.by_model.resize_with(item.model_index + 1, BTreeMap::new);
        }
        self.by_model[item.model_index].entry(item.tier).or_default().insert(item);
        self.tiers.entry(item.tier).or_default().service_ms += item.service_ms;
        self.service_ms += item.service_ms;
    }

    /// Excludes a waiting request from placement and from the estimated wait.
    pub fn leave_flow(&mut self, item: &QueueItem) {
        if let Some(flows) = self.by_model[item.model_index].get_mut(&item.tier) {
            flows.remove(item);
        }
        if let Some(tier) = self.tiers.get_mut(&item.tier) {
            tier.service_ms -= item.service_ms;
        }
        self.service_ms = (self.service_ms - item.service_ms).max(0.0);
    }

    /// Charges the cost of a placed request to its flow.
    pub fn charge(&mut self, item: &QueueItem, cost: f64, weight: f64) {
        if let Some(flows) = self.by_model[item.model_index].get_mut(&item.tier) {
            flows.charge(item.flow, cost, weight);
        }
    }

    /// Returns the first requests of a model, in placement order.
    pub fn candidates(&self, model_index: usize, limit: usize) -> Vec<RequestHandle> {
        self.by_model
            .get(model_index)
            .into_iter()
            .flat_map(BTreeMap::values)
            .flat_map(|flows| flows.candidates(limit))
            .take(limit)
            .collect()
    }

    /// Returns the first requests of the model and tier of `item`, in placement order, from the
    /// flows that are at most `tokens` of cost ahead of the flow of `item`.
    pub fn candidates_within(
        &self,
        item: &QueueItem,
        tokens: f64,
        limit: usize,
    ) -> impl Iterator<Item = RequestHandle> {
        // The cast saturates.
        let distance = (tokens * VIRTUAL_UNITS_PER_TOKEN) as u64;
        let flows = self.by_model.get(item.model_index).and_then(|tiers| tiers.get(&item.tier));
        flows.into_iter().flat_map(move |flows| flows.candidates_within(item.flow, distance, limit))
    }

    /// Returns whether more than `count` requests of a model are eligible for placement.
    pub fn has_more_than(&self, model_index: usize, count: usize) -> bool {
        let flows = self.by_model.get(model_index).into_iter().flat_map(BTreeMap::values);
        let mut sizes = flows.flat_map(|flows| {
            let active = flows.active.iter().filter_map(|(_, flow)| flows.flows.get(flow));
            active.map(|flow| flow.requests.len())
        });
        let sum = sizes.try_fold(0, |sum: usize, size| {
            let sum = sum + size;
            if sum > count { Err(sum) } else { Ok(sum) }
        });
        sum.is_err()
    }

    /// Returns the highest tier of a model that has a request eligible for placement.
    pub fn first_tier(&self, model_index: usize) -> Option<u8> {
        let tiers = self.by_model.get(model_index)?;
        tiers.iter().find(|(_, flows)| !flows.active.is_empty()).map(|(tier, _)| *tier)
    }

    pub fn model_count(&self) -> usize {
        self.by_model.len()
    }

    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns the lowest tier with a waiting request and the newest request of that tier.
    pub fn newest_of_lowest(&self) -> Option<(u8, RequestHandle)> {
        let (tier, index) = self.tiers.last_key_value()?;
        index.by_age.last().map(|(_, handle)| (*tier, *handle))
    }

    /// Returns the newest waiting request of all tiers.
    pub fn newest(&self) -> Option<RequestHandle> {
        let newest = self.tiers.values().filter_map(|index| index.by_age.last()).max();
        newest.map(|(_, handle)| *handle)
    }

    /// Returns the waiting requests of tiers below `tier`, lowest tier first and newest request
    /// first.
    pub fn lower_tiers(&self, tier: u8) -> impl Iterator<Item = RequestHandle> {
        self.tiers
            .range(tier.saturating_add(1)..)
            .rev()
            .filter(move |(rank, _)| **rank > tier)
            .flat_map(|(_, index)| index.by_age.iter().rev().map(|(_, handle)| *handle))
    }

    /// Returns the estimated service time, in milliseconds, of all requests eligible for placement.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// Returns the estimated service time in milliseconds and the number of the requests in this
    /// tier and the tiers above.
    pub fn backlog(&self, tier: u8) -> (f64, usize) {
        self.tiers.range(..=tier).fold((0.0, 0), |(service, count), (_, index)| {
            (service + index.service_ms, count + index.by_age.len())
        })
    }
}
