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
const EXPIRE_PART: f64 = 0.6;
/// Power of the work for each unit of worth in the order: below 1, so that ranks go before sizes.
const WORK_POWER: f64 = 0.7;
/// Slot time that a request of one rank may hold for each unit of the next rank.
pub(super) const RANK_FACTOR: f64 = 3.0;
/// Ranks beyond which requests are not told apart, to keep the weight finite.
const MAX_RANK: u32 = 400;
/// Factor by which a request falls back that cannot meet its objective any more: behind the next
/// rank, before the one after it.
const LATE_FACTOR: f64 = 6.0;
/// Factor by which a request goes before others of its rank if its size goes short: before the
/// smallest of them, behind the rank above.
const SHORT_FACTOR: f64 = 0.1;
/// Margin over the expected time to the first event, for targets that are busier than expected.
const FIRST_MARGIN: f64 = 1.5;
/// Time for the way between caller and node, and for the datagrams of the placement, in ms.
const WAY_MS: f64 = 25.0;
/// Time constant of the inflow, in ms: bursts of a few seconds show within it.
const INFLOW_MS: f64 = 1_000.0;
/// Classes of weight that the inflow tells apart, each twice the one before.
const INFLOW_CLASSES: usize = 64;
/// Part of the slots that is taken as free for a request however much goes before it.
const MIN_FREE_PART: f64 = 0.05;

/// What a request needs of the targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestNeeds {
    /// Effort of reading its prompt, in tokens of a short one.
    pub(super) effort: f64,
    /// Time to its first event at the fastest target, in ms.
    pub(super) first_ms: f64,
    /// Time of a target that it takes at the mean speed, in ms of one slot.
    pub(super) load_ms: f64,
}

/// A request that waits for a target.
#[derive(Clone, Debug)]
pub(super) struct WaitingTicket {
    pub(super) ticket: PlacementRequest,
    pub(super) band: SizeBand,
    /// When it began to wait.
    pub(super) arrived: ClockTime,
    /// When it must have been sent to meet its objective; none if that has passed on arrival.
    pub(super) due: Option<ClockTime>,
    /// When it is refused.
    pub(super) expires: ClockTime,
    /// Effort of reading its prompt, in tokens of a short one.
    pub(super) effort: f64,
    /// What it is worth on time, in usual requests of its rank.
    pub(super) worth: f64,
    weight: f64,
    /// Time of a target that it takes at the mean speed, in ms of one slot.
    load_ms: f64,
    /// Whether it was judged again after its objective could not be met any more.
    judged_late: bool,
}

/// A waiting request in the order of the queue.
struct RankedTicket<'a> {
    cost: f64,
    waiting: &'a WaitingTicket,
}

impl Ord for RankedTicket<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let expires = |ranked: &Self| ranked.waiting.expires;
        self.cost.total_cmp(&other.cost).then(expires(self).cmp(&expires(other)))
    }
}

impl PartialOrd for RankedTicket<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedTicket<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for RankedTicket<'_> {}

/// A waiting request that is given up.
#[derive(Debug)]
pub(super) struct HopelessTicket {
    pub(super) waiting: WaitingTicket,
    /// Expected wait from now on, in ms.
    pub(super) wait_ms: f64,
}

impl WaitingTicket {
    /// Starts the wait of a request.
    pub(super) fn new(
        ticket: PlacementRequest,
        size: RequestSize,
        needs: RequestNeeds,
        now: ClockTime,
    ) -> Self {
        let RequestNeeds { effort, first_ms, load_ms } = needs;
        let first_ms = first_ms * FIRST_MARGIN + WAY_MS;
        let sent_by = ticket.objective_left_ms - first_ms as i64;
        let due = u64::try_from(sent_by).ok().map(|left| now.plus(left));
        let expires = now.plus((ticket.deadline_left_ms as f64 * EXPIRE_PART) as u64);
        let rank = ticket.rank.min(MAX_RANK);
        let short = if size.goes_short { SHORT_FACTOR } else { 1.0 };
        let weight =
            (load_ms / size.worth).powf(WORK_POWER) * RANK_FACTOR.powi(rank.cast_signed()) * short;
        let judged_late = due.is_none();
        let worth = size.worth;
        Self {
            ticket,
            band: size.band,
            arrived: now,
            due,
            expires,
            effort,
            worth,
            weight,
            load_ms,
            judged_late,
        }
    }

    fn on_time(&self, now: ClockTime) -> bool {
        self.due.is_some_and(|due| due > now)
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
    tickets: Vec<WaitingTicket>,
    /// Slot time that arrived in the last second or so, by class of weight, in ms.
    inflow: [f64; INFLOW_CLASSES],
    inflow_at: ClockTime,
    /// Requests, the effort of their prompts and their output tokens lately, decayed.
    arrivals: f64,
    effort: f64,
    output_tokens: f64,
}

impl Default for WaitingQueue {
    fn default() -> Self {
        let inflow = [0.0; INFLOW_CLASSES];
        Self {
            tickets: Vec::new(),
            inflow,
            inflow_at: ClockTime::default(),
            arrivals: 0.0,
            effort: 0.0,
            output_tokens: 0.0,
        }
    }
}

impl WaitingQueue {
    pub(super) fn push(&mut self, waiting: WaitingTicket) {
        self.tickets.push(waiting);
    }

    /// The waiting requests, the most worthwhile first. Mostly only the first few are looked at.
    pub(super) fn in_order(&self, now: ClockTime) -> impl Iterator<Item = &WaitingTicket> {
        let ranked =
            |waiting| Reverse(RankedTicket { cost: WaitingTicket::cost(waiting, now), waiting });
        let mut heap: BinaryHeap<_> = self.tickets.iter().map(ranked).collect();
        std::iter::from_fn(move || heap.pop().map(|Reverse(ranked)| ranked.waiting))
    }

    pub(super) fn take(&mut self, key: PlacementKey) -> Option<WaitingTicket> {
        let at = self.tickets.iter().position(|waiting| waiting.ticket.key == key)?;
        Some(self.tickets.swap_remove(at))
    }

    pub(super) fn remove(&mut self, key: PlacementKey) {
        self.tickets.retain(|waiting| waiting.ticket.key != key);
    }

    pub(super) fn contains(&self, key: PlacementKey) -> bool {
        self.tickets.iter().any(|waiting| waiting.ticket.key == key)
    }

    pub(super) fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Arrival of the request that has waited longest.
    pub(super) fn oldest(&self) -> Option<ClockTime> {
        self.tickets.iter().map(|waiting| waiting.arrived).min()
    }

    /// Takes out the requests that have waited too long, and those that have just become too late
    /// for their objective and would wait for more than `part` of the time that they have left.
    pub(super) fn take_hopeless(
        &mut self,
        slots: f64,
        part: f64,
        now: ClockTime,
    ) -> Vec<HopelessTicket> {
        let mut hopeless = Vec::new();
        let mut at = 0;
        while at < self.tickets.len() {
            let waiting = &self.tickets[at];
            let expired = waiting.expires <= now;
            let late = !waiting.judged_late && !waiting.on_time(now);
            if !expired && !late {
                at += 1;
                continue;
            }
            let wait_ms = self.expected_wait_ms(waiting, slots, now);
            let left_ms =
                waiting.ticket.deadline_left_ms.saturating_sub(now.since(waiting.arrived));
            if expired || wait_ms > left_ms as f64 * part {
                let waiting = self.tickets.swap_remove(at);
                hopeless.push(HopelessTicket { waiting, wait_ms });
            } else {
                self.tickets[at].judged_late = true;
                at += 1;
            }
        }
        hopeless
    }

    /// Counts the arrival of a request.
    pub(super) fn count_arrival(&mut self, waiting: &WaitingTicket, now: ClockTime) {
        let decay = (-(now.since(self.inflow_at) as f64) / INFLOW_MS).exp();
        self.inflow_at = now;
        for work in &mut self.inflow {
            *work *= decay;
        }
        self.inflow[weight_class(waiting.weight)] += waiting.load_ms;
        self.arrivals = self.arrivals * decay + 1.0;
        self.effort = self.effort * decay + waiting.effort;
        self.output_tokens = self.output_tokens * decay + f64::from(waiting.ticket.output_tokens);
    }

    /// Mean effort of the prompts and tokens of the outputs of the requests that arrived lately.
    pub(super) fn usual_request(&self) -> (f64, f64) {
        let arrivals = self.arrivals.max(1.0);
        (self.effort / arrivals, self.output_tokens / arrivals)
    }

    /// Expected wait of a request, in ms, at `slots` slots of mean speed: the work of those that wait
    /// and go before it, at the slots that later ones which go before it leave free.
    pub(super) fn expected_wait_ms(
        &self,
        waiting: &WaitingTicket,
        slots: f64,
        now: ClockTime,
    ) -> f64 {
        if self.tickets.is_empty() {
            return 0.0;
        }
        let cost = waiting.cost(now);
        let before: f64 = self
            .tickets
            .iter()
            .filter(|other| other.cost(now) <= cost)
            .map(|other| other.load_ms)
            .sum();
        let class = weight_class(cost);
        let inflow: f64 = self.inflow[..class].iter().sum::<f64>() / INFLOW_MS;
        let free = (slots - inflow).max(slots * MIN_FREE_PART);
        before / free.max(f64::EPSILON)
    }
}

fn weight_class(weight: f64) -> usize {
    (weight.max(1.0).log2() as usize).min(INFLOW_CLASSES - 1)
}
