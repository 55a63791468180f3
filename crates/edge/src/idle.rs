//! Idle timeout of callers' connections. It follows the configuration while a connection is open.

use crate::config::RequestLimits;
use burdockcleat_core::clock::ClockTime;
use hyper::rt::{Sleep, Timer};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Margin after the announced idle timeout, in ms, because a request may already be in transit.
const IDLE_MARGIN_MS: u64 = 2_000;

/// Idle timeouts that are or recently were in force.
#[derive(Clone, Debug)]
pub struct IdleLimits {
    current_ms: u64,
    ended: Vec<EndedLimit>,
}

#[derive(Clone, Debug)]
struct EndedLimit {
    limit_ms: u64,
    ended: ClockTime,
}

impl Default for IdleLimits {
    fn default() -> Self {
        Self { current_ms: RequestLimits::default().idle_ms, ended: Vec::new() }
    }
}

impl IdleLimits {
    /// Sets the idle timeout in force, in ms.
    pub fn set(&mut self, limit_ms: u64, now: ClockTime) {
        if limit_ms == self.current_ms {
            return;
        }
        // No connection has been idle since a limit was in force for longer than that limit.
        self.ended.retain(|old| now.since(old.ended) <= old.limit_ms + IDLE_MARGIN_MS);
        self.ended.push(EndedLimit { limit_ms: self.current_ms, ended: now });
        self.current_ms = limit_ms;
    }

    /// Returns the longest idle timeout that has been in force since `start`, in ms. Callers may
    /// still go by it.
    pub fn longest_since(&self, start: ClockTime) -> u64 {
        let recent = self.ended.iter().filter(|old| old.ended >= start).map(|old| old.limit_ms);
        recent.fold(self.current_ms, u64::max)
    }
}

/// Timer of one connection for the time until a request head is complete. It replaces the fixed
/// timeout that hyper is given.
pub(crate) struct IdleTimer {
    limits: watch::Receiver<IdleLimits>,
    accepted: ClockTime,
}

impl IdleTimer {
    pub(crate) fn new(limits: watch::Receiver<IdleLimits>) -> Self {
        Self { limits, accepted: ClockTime::monotonic() }
    }

    fn start(&self) -> Pin<Box<dyn Sleep>> {
        let (limits, accepted) = (self.limits.clone(), self.accepted);
        let started = ClockTime::monotonic();
        Box::pin(IdleSleep(Box::pin(async move {
            loop {
                let limit_ms = limits.borrow().longest_since(accepted) + IDLE_MARGIN_MS;
                let waited_ms = ClockTime::monotonic().since(started);
                if waited_ms >= limit_ms {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(limit_ms - waited_ms)).await;
            }
        })))
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, _duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.start()
    }

    fn sleep_until(&self, _deadline: Instant) -> Pin<Box<dyn Sleep>> {
        self.start()
    }
}

struct IdleSleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

impl Sleep for IdleSleep {}
