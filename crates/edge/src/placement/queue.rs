//! Waiting requests of one service, the most worthwhile first.
//!
//! Answers bursts that exceed the targets several times over. Serving by due time alone lets every
//! request wait until it is just too late; so requests that can still meet their objective go
//! first, among them those that hold a slot for the shortest time, weighed by rank.

use super::sizes::{RequestSize, SizeBand};
use super::{PlacementKey, PlacementRequest};
use burdockcleat_core::clock::ClockTime;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Part of the time left at arrival after which a waiting request is refused, so that its caller
/// still has time to come back.
const EXPIRY_FRACTION: f64 = 0.6;
/// Power of the work for each unit of worth in the order: below 1, so that ranks go before sizes.
const SLOT_TIME_EXPONENT: f64 = 0.7;
/// Slot time that a request of one rank may hold for each unit of the next rank.
pub(super) const RANK_FACTOR: f64 = 3.0;
/// Ranks beyond which requests are not told apart, to keep the weight finite.
const MAX_RANK: u32 = 400;
/// Factor by which a request falls back that cannot meet its objective any more: behind the next
/// rank, before the one after it.
const LATE_FACTOR: f64 = 6.0;
/// Factor by which a request goes before others of its rank if its size goes short: before the
/// smallest of them, behind the rank above.
const UNDERSERVED_FACTOR: f64 = 0.1;
/// Margin over the expected time to the first event, for targets that are busier than expected.
const FIRST_EVENT_MARGIN: f64 = 1.5;
/// Time for the way between caller and node, and for the datagrams of the placement, in ms.
const NETWORK_DELAY_MS: f64 = 25.0;
/// Time constant of the inflow, in ms: bursts of a few seconds show within it.
const ARRIVAL_TIME_CONSTANT_MS: f64 = 1_000.0;
/// Classes of weight that the inflow tells apart, each twice the one before.
const WEIGHT_CLASSES: usize = 64;
/// Part of the slots that is taken as free for a request however much goes before it.
const MIN_FREE_FRACTION: f64 = 0.05;

/// What a request needs of the targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestEstimate {
    /// Effort of reading its prompt, in tokens of a short one.
    pub(super) prefill_work: f64,
    /// Time to its first event at the fastest target, in ms.
    pub(super) first_ms: f64,
    /// Time of a target that it takes at the mean speed, in ms of one slot.
    pub(super) load_ms: f64,
}

/// A request that waits for a target.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: PlacementRequest,
    pub(super) band: SizeBand,
    /// When it began to wait.
    pub(super) arrived: ClockTime,
    /// When it must have been sent to meet its objective; none if that has passed on arrival.
    pub(super) send_by: Option<ClockTime>,
    /// When it is refused.
    pub(super) expires: ClockTime,
    /// Effort of reading its prompt, in tokens of a short one.
    pub(super) prefill_work: f64,
    /// What it is worth on time, in usual requests of its rank.
    pub(super) value: f64,
    weight: f64,
    /// Time of a target that it takes at the mean speed, in ms of one slot.
    load_ms: f64,
    /// Whether it was judged again after its objective could not be met any more.
    late_checked: bool,
}

/// A waiting request in the order of the queue.
struct OrderedRequest<'a> {
    cost: f64,
    waiting: &'a WaitingRequest,
}

impl Ord for OrderedRequest<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let expires = |ranked: &Self| ranked.waiting.expires;
        self.cost.total_cmp(&other.cost).then(expires(self).cmp(&expires(other)))
    }
}

impl PartialOrd for OrderedRequest<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for OrderedRequest<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for OrderedRequest<'_> {}

/// A waiting request that is given up.
#[derive(Debug)]
pub(super) struct RefusedRequest {
    pub(super) waiting: WaitingRequest,
    /// Expected wait from now on, in ms.
    pub(super) wait_ms: f64,
}

impl WaitingRequest {
    /// Starts the wait of a request.
    pub(super) fn new(
        request: PlacementRequest,
        size: RequestSize,
        estimate: RequestEstimate,
        now: ClockTime,
    ) -> Self {
        let RequestEstimate { prefill_work, first_ms, load_ms } = estimate;
        let first_ms = first_ms * FIRST_EVENT_MARGIN + NETWORK_DELAY_MS;
        let send_within_ms = request.objective_left_ms - first_ms as i64;
        let send_by = u64::try_from(send_within_ms).ok().map(|left| now.plus(left));
        let expires = now.plus((request.deadline_left_ms as f64 * EXPIRY_FRACTION) as u64);
        let rank = request.rank.min(MAX_RANK);
        let underserved_factor = if size.underserved { UNDERSERVED_FACTOR } else { 1.0 };
        let weight = (load_ms / size.value).powf(SLOT_TIME_EXPONENT)
            * RANK_FACTOR.powi(rank.cast_signed())
            * underserved_factor;
        let late_checked = send_by.is_none();
        let value = size.value;
        Self {
            request,
            band: size.band,
            arrived: now,
            send_by,
            expires,
            prefill_work,
            value,
            weight,
            load_ms,
            late_checked,
        }
    }

    fn on_time(&self, now: ClockTime) -> bool {
        self.send_by.is_some_and(|send_by| send_by > now)
    }

    /// Cost of serving the request now, for the order of the queue: lower ones go first.
    fn cost(&self, now: ClockTime) -> f64 {
        if self.on_time(now) { self.weight } else { self.weight * LATE_FACTOR }
    }
}

/// The waiting requests of one service. A service has some hundreds at most, since the others are
/// refused, so a scan is cheaper than an index over costs that change with time.
#[derive(Debug)]
pub(super) struct WaitingQueue {
    requests: Vec<WaitingRequest>,
    /// Slot time that arrived in the last second or so, by class of weight, in ms.
    arriving_load: [f64; WEIGHT_CLASSES],
    decayed_at: ClockTime,
    /// Requests, the effort of their prompts and their output tokens lately, decayed.
    arrival_count: f64,
    prefill_work_sum: f64,
    output_token_sum: f64,
}

impl Default for WaitingQueue {
    fn default() -> Self {
        let arriving_load = [0.0; WEIGHT_CLASSES];
        Self {
            requests: Vec::new(),
            arriving_load,
            decayed_at: ClockTime::default(),
            arrival_count: 0.0,
            prefill_work_sum: 0.0,
            output_token_sum: 0.0,
        }
    }
}

impl WaitingQueue {
    pub(super) fn push(&mut self, waiting: WaitingRequest) {
        self.requests.push(waiting);
    }

    /// The waiting requests, the most worthwhile first. Mostly only the first few are looked at.
    pub(super) fn in_order(&self, now: ClockTime) -> impl Iterator<Item = &WaitingRequest> {
        let ranked =
            |waiting| Reverse(OrderedRequest { cost: WaitingRequest::cost(waiting, now), waiting });
        let mut heap: BinaryHeap<_> = self.requests.iter().map(ranked).collect();
        std::iter::from_fn(move || heap.pop().map(|Reverse(ranked)| ranked.waiting))
    }

    pub(super) fn take(&mut self, key: PlacementKey) -> Option<WaitingRequest> {
        let at = self.requests.iter().position(|waiting| waiting.request.key == key)?;
        Some(self.requests.swap_remove(at))
    }

    pub(super) fn remove(&mut self, key: PlacementKey) {
        self.requests.retain(|waiting| waiting.request.key != key);
    }

    pub(super) fn contains(&self, key: PlacementKey) -> bool {
        self.requests.iter().any(|waiting| waiting.request.key == key)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Arrival of the request that has waited longest.
    pub(super) fn oldest(&self) -> Option<ClockTime> {
        self.requests.iter().map(|waiting| waiting.arrived).min()
    }

    /// Takes out the requests that have waited too long, and those that have just become too late
    /// for their objective and would wait for more than `part` of the time that they have left.
    pub(super) fn take_refused(
        &mut self,
        slots: f64,
        max_wait_fraction: f64,
        now: ClockTime,
    ) -> Vec<RefusedRequest> {
        let mut refused = Vec::new();
        let mut at = 0;
        while at < self.requests.len() {
            let waiting = &self.requests[at];
            let expired = waiting.expires <= now;
            let late = !waiting.late_checked && !waiting.on_time(now);
            if !expired && !late {
                at += 1;
                continue;
            }
            let wait_ms = self.expected_wait_ms(waiting, slots, now);
            let left_ms =
                waiting.request.deadline_left_ms.saturating_sub(now.since(waiting.arrived));
            if expired || wait_ms > left_ms as f64 * max_wait_fraction {
                let waiting = self.requests.swap_remove(at);
                refused.push(RefusedRequest { waiting, wait_ms });
            } else {
                self.requests[at].late_checked = true;
                at += 1;
            }
        }
        refused
    }

    /// Counts the arrival of a request.
    pub(super) fn count_arrival(&mut self, waiting: &WaitingRequest, now: ClockTime) {
        let decay = (-(now.since(self.decayed_at) as f64) / ARRIVAL_TIME_CONSTANT_MS).exp();
        self.decayed_at = now;
        for load in &mut self.arriving_load {
            *load *= decay;
        }
        self.arriving_load[weight_class(waiting.weight)] += waiting.load_ms;
        self.arrival_count = self.arrival_count * decay + 1.0;
        self.prefill_work_sum = self.prefill_work_sum * decay + waiting.prefill_work;
        self.output_token_sum =
            self.output_token_sum * decay + f64::from(waiting.request.output_tokens);
    }

    /// Mean effort of the prompts and tokens of the outputs of the requests that arrived lately.
    pub(super) fn mean_request(&self) -> (f64, f64) {
        let arrival_count = self.arrival_count.max(1.0);
        (self.prefill_work_sum / arrival_count, self.output_token_sum / arrival_count)
    }

    /// Expected wait of a request, in ms, at `slots` slots of mean speed: the work of those that wait
    /// and go before it, at the slots that later ones which go before it leave free.
    pub(super) fn expected_wait_ms(
        &self,
        waiting: &WaitingRequest,
        slots: f64,
        now: ClockTime,
    ) -> f64 {
        if self.requests.is_empty() {
            return 0.0;
        }
        let cost = waiting.cost(now);
        let load_ahead_ms: f64 = self
            .requests
            .iter()
            .filter(|other| other.cost(now) <= cost)
            .map(|other| other.load_ms)
            .sum();
        let class = weight_class(cost);
        let arriving_slots: f64 =
            self.arriving_load[..class].iter().sum::<f64>() / ARRIVAL_TIME_CONSTANT_MS;
        let free_slots = (slots - arriving_slots).max(slots * MIN_FREE_FRACTION);
        load_ahead_ms / free_slots.max(f64::EPSILON)
    }
}

fn weight_class(weight: f64) -> usize {
    (weight.max(1.0).log2() as usize).min(WEIGHT_CLASSES - 1)
}
