//! Priority queue of the waiting requests of one service.
//!
//! Under bursts of several times the capacity, earliest deadline first would let every request wait
//! until it is just too late. Requests that can still meet their objective therefore go first.
//! Among these, requests that need less slot time for their value go first, weighted by rank.

use super::arrivals::ArrivalStatistics;
use super::lengths::LengthCurve;
use super::returns::{ReturnBooking, ReturnBookings};
use super::shares::{ShareTurn, WorkspaceShares};
use super::sizes::{RequestSize, SizeBand};
use super::target_memory::TokenNeed;
use super::version_slots::{VersionLoads, VersionSlots};
use super::{PlacementKey, PlacementRequest, ProcessKey};
use crate::streams::StreamKey;
use burdockcleat_core::clock::ClockTime;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Fraction of the time left at arrival after which a waiting request is refused. The rest leaves
/// the caller time to retry.
const EXPIRY_FRACTION: f64 = 0.6;
/// Longest wait of a request while no known target may run it, in ms. Targets announce themselves
/// about every second, also to nodes that have just started.
const NO_TARGET_WAIT_MS: u64 = 1_200;
/// Exponent of the slot time per unit of value in the weight. Below 1, so that the rank counts for
/// more than the size.
const SLOT_TIME_EXPONENT: f64 = 0.7;
/// Ratio of the weights of adjacent ranks. A request may take this many times the weighted slot time
/// of a request in the next rank and still go first.
pub(super) const RANK_FACTOR: f64 = 3.0;
/// Range of the cost factors of workspace shares and returning requests together. Below the factor of
/// one rank, so that they never put a request behind a similar one of a lower tier.
pub(super) const QUEUE_FACTORS_RANGE: f64 = 0.99 * RANK_FACTOR;
/// Highest rank that is distinguished, to keep the weight finite.
const MAX_RANK: u32 = 400;
/// Cost factor of requests that can no longer meet their objective. Puts them behind the next rank
/// and ahead of the one after it.
const LATE_FACTOR: f64 = 6.0;
/// Cost factor of requests in an underserved size band. Puts them ahead of the smallest requests of
/// their rank and behind the rank above.
const UNDERSERVED_FACTOR: f64 = 0.1;
/// Safety factor on the expected time to the first event, for targets that are busier than
/// expected.
const FIRST_EVENT_MARGIN: f64 = 1.5;
/// Allowance for the network between caller and node and for the placement datagrams, in ms.
const NETWORK_DELAY_MS: f64 = 25.0;
/// Estimated cost of serving a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestEstimate {
    /// Work to prefill the prompt, in tokens.
    pub(super) prefill_work: f64,
    /// Time to the first event on the fastest target, in ms.
    pub(super) first_ms: f64,
    /// Slot time on a target of mean speed, in ms (see
    /// [`SpeedModel::load_ms`](super::speed::SpeedModel::load_ms)).
    pub(super) load_ms: f64,
    /// Tokens of the memory of its target.
    pub(super) need: TokenNeed,
}

/// A request that waits for a target.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: PlacementRequest,
    pub(super) band: SizeBand,
    /// Time of arrival in the queue.
    pub(super) arrived: ClockTime,
    /// Latest time to send the request and still meet its objective; `None` if that time had passed
    /// on arrival.
    pub(super) send_by: Option<ClockTime>,
    /// Time at which the request is refused.
    pub(super) expires: ClockTime,
    /// Time since which no known target may run the request; `None` if one may.
    pub(super) targetless_since: Option<ClockTime>,
    /// Work to prefill the prompt, in tokens.
    pub(super) prefill_work: f64,
    /// Value of serving the request on time, relative to the mean request of its rank.
    pub(super) value: f64,
    /// Cost in the order of the queue while the request is on time.
    pub(super) weight: f64,
    /// Slot time on a target of mean speed, in ms.
    pub(super) load_ms: f64,
    /// Place among the requests of its workspace; `None` if workspaces have no shares.
    pub(super) turn: Option<ShareTurn>,
    /// Tokens of the memory of its target.
    pub(super) need: TokenNeed,
    /// Observed lengths of its rank; `None` if the expected length counts as exact.
    pub(super) lengths: Option<Arc<LengthCurve>>,
    /// Booking that the request returned with, if it was refused before.
    pub(super) booked: Option<ReturnBooking>,
    /// Whether the expected wait was checked since the request became late.
    late_checked: bool,
}

/// A waiting request with its cost, ordered by cost and then by expiry.
struct OrderedRequest<'a> {
    cost: f64,
    waiting: &'a WaitingRequest,
}

impl Ord for OrderedRequest<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let expires = |ordered: &Self| ordered.waiting.expires;
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

/// A waiting request that was removed from the queue to be refused.
#[derive(Debug)]
pub(super) struct RefusedRequest {
    pub(super) waiting: WaitingRequest,
    /// Expected further wait, in ms.
    pub(super) wait_ms: f64,
}

impl WaitingRequest {
    /// Creates a waiting request that arrives now.
    pub(super) fn new(
        request: PlacementRequest,
        size: RequestSize,
        estimate: RequestEstimate,
        now: ClockTime,
    ) -> Self {
        let RequestEstimate { prefill_work, first_ms, load_ms, need } = estimate;
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
            targetless_since: None,
            prefill_work,
            value,
            weight,
            load_ms,
            turn: None,
            need,
            lengths: None,
            booked: None,
            late_checked,
        }
    }

    fn on_time(&self, now: ClockTime) -> bool {
        self.send_by.is_some_and(|send_by| send_by > now)
    }

    /// Returns whether the request has waited for too long. While no known target may run it, its
    /// wait cannot be expected, and one is waited for.
    fn expired(&self, now: ClockTime) -> bool {
        self.expires <= now
            || self.targetless_since.is_some_and(|since| now.since(since) >= NO_TARGET_WAIT_MS)
    }

    /// Returns whether the request has become late since its expected wait was checked.
    fn newly_late(&self, now: ClockTime) -> bool {
        self.targetless_since.is_none() && !self.late_checked && !self.on_time(now)
    }

    /// Returns the cost factor of a request that returns at its time, or 1.
    pub(super) fn return_factor(&self) -> f64 {
        self.booked.map_or(1.0, |booking| booking.cost_factor())
    }

    /// Returns the cost of the request without regard to its workspace.
    fn cost(&self, now: ClockTime) -> f64 {
        let weight = self.weight * self.return_factor();
        if self.on_time(now) { weight } else { weight * LATE_FACTOR }
    }
}

/// The waiting requests of one service. As excess requests are refused, there are a few hundred at
/// most. A scan is cheaper than an index, since costs change with time.
#[derive(Debug, Default)]
pub(super) struct WaitingQueue {
    requests: Vec<WaitingRequest>,
    /// Requests that arrived recently, whether they still wait or not.
    pub(super) arrivals: ArrivalStatistics,
    pub(super) shares: WorkspaceShares,
    pub(super) returns: ReturnBookings,
}

impl WaitingQueue {
    pub(super) fn push(&mut self, waiting: WaitingRequest) {
        self.shares.enter(&waiting);
        self.requests.push(waiting);
    }

    /// Returns the cost of a request in the order of the queue; lower costs go first.
    fn cost(&self, waiting: &WaitingRequest, now: ClockTime) -> f64 {
        waiting.cost(now) * self.shares.factor(waiting.turn)
    }

    /// Returns the waiting requests that `selects` selects, in order of cost. Built lazily on a
    /// heap, since callers mostly need the first few only.
    pub(super) fn in_order<F>(
        &self,
        now: ClockTime,
        selects: F,
    ) -> impl Iterator<Item = &WaitingRequest>
    where
        F: Fn(&WaitingRequest) -> bool,
    {
        let ordered = |waiting| Reverse(OrderedRequest { cost: self.cost(waiting, now), waiting });
        let selected = self.requests.iter().filter(|waiting| selects(waiting));
        let mut heap: BinaryHeap<_> = selected.map(ordered).collect();
        std::iter::from_fn(move || heap.pop().map(|Reverse(ordered)| ordered.waiting))
    }

    pub(super) fn take(&mut self, key: PlacementKey) -> Option<WaitingRequest> {
        let index = self.requests.iter().position(|waiting| waiting.request.key == key)?;
        let waiting = self.requests.swap_remove(index);
        self.shares.leave(&waiting);
        Some(waiting)
    }

    pub(super) fn remove(&mut self, key: PlacementKey) {
        let shares = &mut self.shares;
        self.requests.retain(|waiting| {
            let kept = waiting.request.key != key;
            if !kept {
                shares.leave(waiting);
            }
            kept
        });
    }

    /// Removes the requests of a process. Returns their number.
    pub(super) fn remove_process(&mut self, process: ProcessKey) -> usize {
        let of_process = |waiting: &&WaitingRequest| waiting.request.process == process;
        let requests = self.requests.iter().filter(of_process);
        let keys: Vec<_> = requests.map(|waiting| waiting.request.key).collect();
        for key in &keys {
            self.remove(*key);
        }
        keys.len()
    }

    /// Returns the streams that were begun before and wait, with the process and the time since
    /// which they do.
    pub(super) fn returned_streams(
        &self,
    ) -> impl Iterator<Item = (StreamKey, (ProcessKey, ClockTime))> {
        let returned = self.requests.iter().filter(|waiting| waiting.request.version.is_some());
        returned.filter_map(|waiting| {
            Some((waiting.request.stream?, (waiting.request.process, waiting.arrived)))
        })
    }

    /// Records which requests a known target may run.
    pub(super) fn mark_targetless<F>(&mut self, has_target: F, now: ClockTime)
    where
        F: Fn(&PlacementRequest) -> bool,
    {
        for waiting in &mut self.requests {
            if !has_target(&waiting.request) {
                waiting.targetless_since.get_or_insert(now);
            } else if waiting.targetless_since.take().is_some() {
                waiting.late_checked = false;
            }
        }
    }

    pub(super) fn contains(&self, key: PlacementKey) -> bool {
        self.requests.iter().any(|waiting| waiting.request.key == key)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the arrival time of the request that has waited longest.
    pub(super) fn oldest(&self) -> Option<ClockTime> {
        self.requests.iter().map(|waiting| waiting.arrived).min()
    }

    /// Removes and returns the requests to refuse: those that have expired, and those that have
    /// just become late and would wait for more than `max_wait_fraction` of the time that they have
    /// left.
    pub(super) fn take_refused(
        &mut self,
        slots: &VersionSlots,
        max_wait_fraction: f64,
        now: ClockTime,
    ) -> Vec<RefusedRequest> {
        let mut refused = Vec::new();
        let mut index = 0;
        while index < self.requests.len() {
            let waiting = &self.requests[index];
            let expired = waiting.expired(now);
            if !expired && !waiting.newly_late(now) {
                index += 1;
                continue;
            }
            let wait_ms = self.expected_wait_ms(waiting, slots, now);
            let left_ms =
                waiting.request.deadline_left_ms.saturating_sub(now.since(waiting.arrived));
            if expired || wait_ms > left_ms as f64 * max_wait_fraction {
                let waiting = self.requests.swap_remove(index);
                self.shares.leave(&waiting);
                refused.push(RefusedRequest { waiting, wait_ms });
            } else {
                self.requests[index].late_checked = true;
                index += 1;
            }
        }
        refused
    }

    /// Returns the wait until the turn of a refused request if it returns after `return_ms`, in ms. It
    /// may be late by then, and requests that are on time go first.
    pub(super) fn returning_wait_ms(
        &self,
        waiting: &WaitingRequest,
        slots: &VersionSlots,
        return_ms: u64,
        now: ClockTime,
    ) -> f64 {
        let returns = now.plus(return_ms);
        let send_by = waiting.send_by.filter(|send_by| *send_by > returns);
        self.expected_wait_ms(&WaitingRequest { send_by, ..waiting.clone() }, slots, now)
    }

    /// Returns the expected wait of a request, in ms, given the slots of the usable targets. This
    /// follows from the load of the waiting requests ahead of it and from the slots that are not
    /// taken by new arrivals that go ahead of it.
    pub(super) fn expected_wait_ms(
        &self,
        waiting: &WaitingRequest,
        slots: &VersionSlots,
        now: ClockTime,
    ) -> f64 {
        if self.requests.is_empty() {
            return 0.0;
        }
        let cost = self.cost(waiting, now);
        let mut loads_ahead = VersionLoads::new();
        for other in self.requests.iter().filter(|other| self.cost(other, now) <= cost) {
            *loads_ahead.entry(other.request.version).or_default() += other.load_ms;
        }
        let free_slots = slots.left_by(&self.arrivals.slots_ahead(cost, &self.shares));
        let wait_ms = |loads: &VersionLoads| free_slots.wait_ms(waiting.request.version, loads);
        self.returns.wait_behind(waiting, loads_ahead, &self.shares, wait_ms, now)
    }
}
