//! Graceful shutdown of a node.

use super::NodeState;
use crate::shutdown::{ShutdownPlan, ShutdownStage};
use burdockcleat_core::clock::ClockTime;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the progress of a shutdown is checked, in ms.
const SHUTDOWN_POLL_MS: u64 = 50;

impl NodeState {
    /// Stops taking requests and returns once the connections of callers have ended or the grace
    /// period is nearly over.
    pub(super) async fn shut_down(self: Rc<Self>) {
        let plan = ShutdownPlan::new(ClockTime::monotonic(), self.settings.limits.grace_ms);
        log::info!(target: "burdockcleat", "event=node.stopping running={}", self.running.get());
        self.shutdown_plan.set(Some(plan));
        self.stage.send_replace(ShutdownStage::Withdrawn);
        self.send_status();
        sleep_until(plan.close_at).await;
        self.stage.send_replace(ShutdownStage::Closing);
        self.until_idle(plan.answer_at).await;
        self.stage.send_replace(ShutdownStage::Answering);
        self.until_idle(plan.exit_at).await;
        log::info!(target: "burdockcleat", "event=node.stopped running={}", self.running.get());
    }

    /// Returns whether the node is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stage.borrow() != ShutdownStage::Running
    }

    /// Waits until the node answers all requests itself because it is about to exit.
    pub(crate) async fn until_last_answers(&self) {
        let mut stage = self.stage.subscribe();
        // An error means that the node is being dropped.
        let _ = stage.wait_for(|stage| *stage >= ShutdownStage::Answering).await;
    }

    /// Waits until a request that takes `expected_ms` would not end before the last answers.
    pub(crate) async fn until_too_late(&self, expected_ms: u64) {
        let mut stage = self.stage.subscribe();
        // An error means that the node is being dropped.
        let _ = stage.wait_for(|stage| *stage != ShutdownStage::Running).await;
        if let Some(plan) = self.shutdown_plan.get() {
            let left_ms = plan.answer_at.since(ClockTime::monotonic());
            // A sleep takes until the next tick of the timer at least, in which a target may be
            // granted.
            if let Some(spare_ms) = left_ms.checked_sub(expected_ms).filter(|ms| *ms > 0) {
                tokio::time::sleep(Duration::from_millis(spare_ms)).await;
            }
        }
    }

    /// Waits until nothing runs and no connection of a caller is open, but not longer than `end`.
    async fn until_idle(&self, end: ClockTime) {
        loop {
            // A connection is open until its last answer has been written.
            let idle = self.running.get() == 0 && self.connections.get() == 0;
            let left_ms = end.since(ClockTime::monotonic());
            if idle || left_ms == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(left_ms.min(SHUTDOWN_POLL_MS))).await;
        }
    }
}

async fn sleep_until(time: ClockTime) {
    tokio::time::sleep(Duration::from_millis(time.since(ClockTime::monotonic()))).await;
}
