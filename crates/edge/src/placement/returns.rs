//! Bookings of refused requests, which have a place when they return at the time they were told.
//!
//! A caller waits for a third of its time at most and returns once. A refused request whose turn is
//! expected early enough after that is promised its turn: its slot time counts as load ahead of new
//! requests whose turn comes later than its return. Each promise counts for the next ones, so that the
//! same capacity is not promised twice. Without a promise, a booking gives the better place only.

use super::PlacementRequest;
use super::VersionKey;
use super::queue::{QUEUE_FACTORS_RANGE, WaitingRequest};
use super::service::{MAX_RETRY_MS, MIN_RETRY_MS};
use super::shares::{SHARE_FACTORS_RANGE, ShareTurn, WorkspaceShares};
use super::version_slots::VersionLoads;
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, HashMap};

/// Cost factor of a request that returns at its time with a promise.
const PROMISED_FACTOR: f64 = 0.87;
/// Cost factor of a request that returns at its time without one. Its load was not counted in the
/// promises, so it goes behind these.
const RETURN_FACTOR: f64 = 0.93;
/// Part of the time left for which callers wait before they return.
const RETURN_FRACTION: f64 = 1.0 / 3.0;
/// Time after the promised one at which a booking expires, in ms. Covers the way of the refusal to the
/// caller and back, and a submission that a coordinator does not answer (100 ms).
const EXPIRY_MS: u64 = 500;
/// Maximum number of times that bookings due within the wait extend it; bounds the time of a
/// decision.
const MAX_EXTENSIONS: usize = 8;
/// Maximum number of bookings of a service; bounds the time of a decision.
const MAX_BOOKINGS: usize = 1_000;

const _: () = assert!(SHARE_FACTORS_RANGE / PROMISED_FACTOR < QUEUE_FACTORS_RANGE);

/// Refused request that is expected back.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReturnBooking {
    /// Number in the order of the refusals.
    number: u64,
    rank: u32,
    version: Option<VersionKey>,
    turn: Option<ShareTurn>,
    /// Slot time that is promised, in ms; 0 if none is.
    promised_ms: f64,
}

/// What became of refused requests since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnCounts {
    /// Refused requests that were promised their turn.
    pub booked: u64,
    /// Refused requests whose turn would come too late for a promise.
    pub unbooked: u64,
    /// Requests that returned at their time, with a promise or without.
    pub returned: u64,
    /// Requests that returned before their time.
    pub early: u64,
    /// Promises that expired, because the caller did not return in time.
    pub expired: u64,
    /// Requests that were refused although they returned at their time with a promise.
    pub refused_again: u64,
}

/// Bookings of one service.
#[derive(Debug, Default)]
pub(super) struct ReturnBookings {
    /// Bookings by the time of the return and the identity of the request.
    bookings: BTreeMap<(ClockTime, u64), ReturnBooking>,
    /// Time of the return by identity.
    due: HashMap<u64, ClockTime>,
    next_number: u64,
    counts: ReturnCounts,
}

impl ReturnBookings {
    /// Takes the booking of a request that returns at its time.
    pub(super) fn take(
        &mut self,
        request: &PlacementRequest,
        now: ClockTime,
    ) -> Option<ReturnBooking> {
        self.prune(now);
        let due = *self.due.get(&request.identity)?;
        if due > now {
            // A caller returns once, so nobody comes for the promise.
            self.counts.early += 1;
            if let Some(booking) = self.bookings.get_mut(&(due, request.identity)) {
                booking.promised_ms = 0.0;
            }
            return None;
        }
        self.due.remove(&request.identity);
        self.counts.returned += 1;
        self.bookings.remove(&(due, request.identity))
    }

    /// Returns the time after which the caller of a refused request may return, in ms, and books it if
    /// its turn is expected in time. `wait_ms` is the expected wait of the request once it returns.
    pub(super) fn retry_after_ms(
        &mut self,
        waiting: &WaitingRequest,
        wait_ms: f64,
        max_wait_fraction: f64,
        now: ClockTime,
    ) -> u64 {
        let (request, left_ms) = (&waiting.request, waiting.left_ms(now));
        let after_ms = (wait_ms as u64).min(waiting.return_ms(now));
        let after_ms = after_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        if let Some(booking) = waiting.booked {
            self.counts.refused_again += u64::from(booking.promised_ms > 0.0);
            return after_ms;
        }
        if let Some(due) = self.due.get(&request.identity) {
            // An early repeat gains nothing.
            return due.since(now).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        }
        // The wait that is left when the request returns must be permitted then.
        let left_then_ms = left_ms.saturating_sub(after_ms) as f64;
        // The expected wait of a request that has waited until it expired was wrong.
        let promised = waiting.expires > now
            && wait_ms - after_ms as f64 <= left_then_ms * max_wait_fraction
            && request.identity != 0
            && self.bookings.len() < MAX_BOOKINGS;
        self.counts.booked += u64::from(promised);
        self.counts.unbooked += u64::from(!promised);
        if request.identity != 0 && self.bookings.len() < MAX_BOOKINGS {
            let booking = ReturnBooking {
                number: self.next_number,
                rank: request.rank,
                version: request.version,
                turn: waiting.turn.map(|turn| turn.after(self.booked_ms(turn))),
                promised_ms: if promised { waiting.load_ms } else { 0.0 },
            };
            self.next_number += 1;
            let due = now.plus(after_ms);
            self.bookings.insert((due, request.identity), booking);
            self.due.insert(request.identity, due);
        }
        after_ms
    }

    /// Returns the expected wait of a request behind `loads` and behind the bookings that are due
    /// before its turn. `wait_ms` returns the wait behind loads.
    pub(super) fn wait_behind<F>(
        &self,
        waiting: &WaitingRequest,
        mut loads: VersionLoads,
        shares: &WorkspaceShares,
        wait_ms: F,
        now: ClockTime,
    ) -> f64
    where
        F: Fn(&VersionLoads) -> f64,
    {
        let mut wait = wait_ms(&loads);
        let mut ahead = self
            .bookings
            .iter()
            .skip_while(|((due, _), _)| now.since(*due) >= EXPIRY_MS)
            .filter(|(_, booking)| booking.promised_ms > 0.0)
            .filter(|(_, booking)| booking.goes_ahead_of(waiting, shares))
            .map(|((due, _), booking)| (due.since(now) as f64, booking))
            .peekable();
        for _ in 0..MAX_EXTENSIONS {
            let mut extended = false;
            while let Some((_, booking)) = ahead.next_if(|(due_ms, _)| *due_ms <= wait) {
                *loads.entry(booking.version).or_default() += booking.promised_ms;
                extended = true;
            }
            if !extended {
                break;
            }
            wait = wait_ms(&loads);
        }
        wait
    }

    /// Returns the counts since the last call.
    pub(super) fn take_counts(&mut self) -> ReturnCounts {
        std::mem::take(&mut self.counts)
    }

    /// Removes expired bookings.
    fn prune(&mut self, now: ClockTime) {
        while let Some(entry) = self.bookings.first_entry() {
            let (due, identity) = *entry.key();
            if now.since(due) < EXPIRY_MS {
                break;
            }
            self.counts.expired += u64::from(entry.remove().promised_ms > 0.0);
            self.due.remove(&identity);
        }
    }

    /// Returns the booked slot time of the account of a place, in ms.
    fn booked_ms(&self, turn: ShareTurn) -> f64 {
        let same = self
            .bookings
            .values()
            .filter(|booking| booking.turn.is_some_and(|booked| booked.account == turn.account));
        same.map(|booking| booking.promised_ms).sum()
    }
}

impl WaitingRequest {
    /// Returns the time that the caller has left, in ms.
    fn left_ms(&self, now: ClockTime) -> u64 {
        let left_ms = self.request.deadline_left_ms.min(self.request.answer_left_ms);
        left_ms.saturating_sub(now.since(self.arrived))
    }

    /// Returns the time for which the caller waits at most if it is refused now, in ms.
    pub(super) fn return_ms(&self, now: ClockTime) -> u64 {
        (self.left_ms(now) as f64 * RETURN_FRACTION) as u64
    }
}

impl ReturnBooking {
    /// Returns the cost factor of the request once it has returned.
    pub(super) const fn cost_factor(&self) -> f64 {
        if self.promised_ms > 0.0 { PROMISED_FACTOR } else { RETURN_FACTOR }
    }

    /// Returns whether the booked request goes ahead of another one: if its tier is higher, or in the
    /// same tier if its workspace has no larger use of its share. Among booked ones, the first goes
    /// first.
    fn goes_ahead_of(&self, waiting: &WaitingRequest, shares: &WorkspaceShares) -> bool {
        if self.rank != waiting.request.rank {
            return self.rank < waiting.request.rank;
        }
        let promised = waiting.booked.filter(|booking| booking.promised_ms > 0.0);
        if promised.is_some_and(|booking| booking.number < self.number) {
            return false;
        }
        shares.factor(self.turn) * self.cost_factor()
            <= shares.factor(waiting.turn) * waiting.return_factor()
    }
}
