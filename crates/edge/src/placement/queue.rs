//! Waiting requests of one service, most urgent first.

use super::target::{first_event_ms, work_ms};
use super::{PlacementTicket, TicketKey};
use burdockcleat_core::clock::ClockTime;

/// Part of the time left at arrival after which a waiting request is refused, so that its caller
/// still has time to come back.
const EXPIRE_PART: f64 = 0.6;

/// Steps between two ranks.
const RANK_STEPS: u32 = 2;
/// Steps by which a late request falls back: behind the next rank, before the one after it.
const LATE_STEPS: u32 = 3;

/// A request that waits for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingTicket {
    /// The request.
    pub ticket: PlacementTicket,
    /// When it began to wait.
    pub arrived: ClockTime,
    /// When it must have been sent to meet its objective; none if that has passed on arrival.
    pub due: Option<ClockTime>,
    /// When it is refused.
    pub expires: ClockTime,
}

impl WaitingTicket {
    /// Starts the wait of a request.
    pub fn new(ticket: PlacementTicket, now: ClockTime) -> Self {
        // What is sent later than this cannot meet its objective.
        let sent_by = ticket.objective_left_ms - first_event_ms(&ticket) as i64;
        let due = u64::try_from(sent_by).ok().map(|left| now.plus(left));
        let expires = now.plus((ticket.deadline_left_ms as f64 * EXPIRE_PART) as u64);
        Self { ticket, arrived: now, due, expires }
    }

    /// Order of requests: by rank and urgency. One that cannot meet its objective any more goes
    /// behind those of the next rank that can.
    fn order(&self, now: ClockTime) -> (u32, ClockTime) {
        let due = self.due.filter(|due| *due > now);
        let late = if due.is_none() { LATE_STEPS } else { 0 };
        (self.ticket.rank * RANK_STEPS + late, due.unwrap_or(self.expires))
    }
}

/// The waiting requests of one service. A service has a few dozen at most, since the others are
/// refused, so a scan is cheaper than an index.
#[derive(Debug, Default)]
pub(super) struct WaitingQueue {
    tickets: Vec<WaitingTicket>,
}

impl WaitingQueue {
    pub(super) fn push(&mut self, waiting: WaitingTicket) {
        self.tickets.push(waiting);
    }

    pub(super) fn pop(&mut self, now: ClockTime) -> Option<WaitingTicket> {
        let first = (0..self.tickets.len()).min_by_key(|at| self.tickets[*at].order(now))?;
        Some(self.tickets.swap_remove(first))
    }

    pub(super) fn remove(&mut self, key: TicketKey) {
        self.tickets.retain(|waiting| waiting.ticket.key != key);
    }

    pub(super) fn contains(&self, key: TicketKey) -> bool {
        self.tickets.iter().any(|waiting| waiting.ticket.key == key)
    }

    pub(super) fn len(&self) -> usize {
        self.tickets.len()
    }

    pub(super) fn take_expired(&mut self, now: ClockTime) -> Vec<WaitingTicket> {
        let (expired, kept) =
            std::mem::take(&mut self.tickets).into_iter().partition(|w| w.expires <= now);
        self.tickets = kept;
        expired
    }

    /// Time at one slot of the requests that go before another one, in ms.
    pub(super) fn work_before_ms(&self, waiting: &WaitingTicket) -> f64 {
        self.tickets
            .iter()
            .filter(|other| other.ticket.rank <= waiting.ticket.rank)
            .map(|other| work_ms(&other.ticket))
            .sum()
    }
}
