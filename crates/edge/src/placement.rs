//! Places requests on the targets of a service and keeps those that must wait in order of urgency.
//!
//! Answers load that exceeds the targets for seconds (bursts, a workspace that sends many times its
//! usual, targets that died): requests wait here instead of in the targets' queues, which are in
//! order of arrival, so that urgent ones pass. The same board runs on the node that places for all
//! others and, with an older view of the others' requests, on every node as its fallback.

mod queue;
mod service;
mod sizes;
mod speed;
mod strain;
mod summary;
mod target;

pub use sizes::{RequestSize, SizeBand, SizeLedger};
pub use speed::{ReadingCurve, SpeedEstimate, SpeedModel};
pub use target::{AttemptOutcome, TargetInfo};

use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use service::ServiceBoard;
use std::collections::BTreeMap;

/// Key of a request that is placed; unique over nodes and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PlacementKey(pub u64);

/// Key of one incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TargetKey(pub u64);

/// Key of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ProcessKey(pub u64);

/// A request that needs a target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Key of the request.
    pub key: PlacementKey,
    /// Node that holds the request.
    pub process: ProcessKey,
    /// Service that it goes to.
    pub service: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Rank; lower ones go first.
    pub rank: u32,
    /// Tokens of the prompt; 0 for plain services.
    pub prompt_tokens: u32,
    /// Expected tokens of the output.
    pub output_tokens: u32,
    /// Time left until the latency objective, in ms; negative once it has passed.
    pub objective_left_ms: i64,
    /// Time left until the caller stops waiting for the first part of the answer, in ms.
    pub deadline_left_ms: u64,
    /// Time left until the answer must be complete, in ms.
    pub answer_left_ms: u64,
    /// Longest pause of the stream on time, in ms; none if it is no stream.
    pub pause_ms: Option<u64>,
    /// Targets that the request may not go to again.
    pub excluded: Vec<TargetKey>,
}

impl PlacementRequest {
    /// The request after a further wait of `ms`.
    #[must_use]
    pub fn aged(&self, ms: u64) -> Self {
        let mut aged = self.clone();
        aged.objective_left_ms -= ms.cast_signed();
        aged.deadline_left_ms = aged.deadline_left_ms.saturating_sub(ms);
        aged.answer_left_ms = aged.answer_left_ms.saturating_sub(ms);
        aged
    }
}

/// A request that runs at a target, as its node reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ActiveRequest {
    /// Key of the request.
    pub key: PlacementKey,
    /// Target that runs it.
    pub target: TargetKey,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Whether the first event has arrived.
    pub started: bool,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RefusalReason {
    /// The wait would take too much of the time that is left.
    WaitTooLong,
    /// No target of the service may be used.
    NoTarget,
}

/// A decision of the board.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutput {
    /// Send the request to the target.
    Grant {
        /// Key of the request.
        key: PlacementKey,
        /// Node that holds it.
        process: ProcessKey,
        /// Target to send it to.
        target: TargetKey,
        /// How long it waited, in ms.
        waited_ms: u64,
    },
    /// Answer that the request did not run.
    Refuse {
        /// Key of the request.
        key: PlacementKey,
        /// Node that holds it.
        process: ProcessKey,
        /// Why.
        reason: RefusalReason,
        /// Time after which to come back, in ms.
        retry_after_ms: u64,
    },
}

/// Targets and waiting requests of all services.
#[derive(Debug, Default)]
pub struct PlacementScheduler {
    services: BTreeMap<String, ServiceBoard>,
    /// Speeds of targets that are known from elsewhere.
    recalled: BTreeMap<TargetKey, SpeedModel>,
    outputs: Vec<PlacementOutput>,
}

impl PlacementScheduler {
    /// Replaces the usable targets of a service. Requests at targets that are no longer usable are
    /// forgotten with them.
    pub fn set_targets(&mut self, service: &str, infos: &[TargetInfo], now: ClockTime) {
        if infos.is_empty() && !self.services.contains_key(service) {
            return;
        }
        let board = self.services.entry(service.to_owned()).or_default();
        board.set_targets(infos, &self.recalled);
        board.place_waiting(now, &mut self.outputs);
    }

    /// Takes over speeds that are known from elsewhere, for targets that have not shown theirs here.
    pub fn restore_speeds(&mut self, speeds: &[(TargetKey, SpeedModel)]) {
        for (target, speed) in speeds {
            if let Some(board) = self.board_of(*target) {
                board.recall_speed(*target, *speed);
            }
        }
        self.recalled.extend(speeds.iter().copied());
    }

    /// Speeds of all targets.
    pub fn speeds(&self) -> Vec<(TargetKey, SpeedModel)> {
        self.services.values().flat_map(ServiceBoard::speeds).collect()
    }

    /// Takes in a request: places it, queues it or refuses it.
    pub fn submit(&mut self, ticket: PlacementRequest, now: ClockTime) {
        let board = self.services.entry(ticket.service.clone()).or_default();
        board.submit(ticket, now, &mut self.outputs);
    }

    /// Removes a request whose caller left, or that its node has placed by itself.
    pub fn withdraw(&mut self, key: PlacementKey) {
        for board in self.services.values_mut() {
            board.withdraw(key);
        }
    }

    /// Whether a request is waiting.
    pub fn is_waiting(&self, key: PlacementKey) -> bool {
        self.services.values().any(|board| board.is_waiting(key))
    }

    /// The target that a request was granted, if it has not finished.
    pub fn granted_target(&self, key: PlacementKey) -> Option<TargetKey> {
        self.services.values().find_map(|board| board.granted_target(key))
    }

    /// Records the first event or the answer of a request.
    pub fn started(&mut self, target: TargetKey, key: PlacementKey, now: ClockTime) {
        if let Some(board) = self.board_of(target) {
            board.started(target, key, now);
        }
    }

    /// Records the end of a request and places others.
    pub fn finished(
        &mut self,
        target: TargetKey,
        key: PlacementKey,
        outcome: AttemptOutcome,
        now: ClockTime,
    ) {
        let outputs = &mut self.outputs;
        let mut boards = self.services.values_mut();
        let Some(board) = boards.find(|board| board.has_target(target)) else { return };
        board.finished(target, key, outcome, now);
        board.place_waiting(now, outputs);
    }

    /// Takes over a request that was granted elsewhere, or confirms one that was granted here.
    pub fn adopt(&mut self, target: TargetKey, ticket: &PlacementRequest, now: ClockTime) {
        if let Some(board) = self.board_of(target) {
            board.adopt(target, ticket, now);
        }
    }

    /// Brings the requests of a node in line with its own report.
    pub fn reconcile(&mut self, process: ProcessKey, active: &[ActiveRequest], now: ClockTime) {
        for board in self.services.values_mut() {
            board.reconcile(process, active, now);
            board.place_waiting(now, &mut self.outputs);
        }
    }

    /// Refuses requests that have waited too long, forgets those of silent nodes and places others.
    pub fn advance(&mut self, now: ClockTime) {
        for board in self.services.values_mut() {
            board.advance(now, &mut self.outputs);
        }
    }

    /// Hands out the decisions since the last call.
    pub fn take_outputs(&mut self) -> Vec<PlacementOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Requests that wait, over all services.
    pub fn waiting_count(&self) -> usize {
        self.services.values().map(ServiceBoard::waiting_count).sum()
    }

    /// Wait of the oldest waiting request by service, in ms.
    pub fn queue_ages(&self, now: ClockTime) -> Vec<(&str, u64)> {
        let ages = self.services.iter().map(|(service, board)| (&**service, board.queue_age(now)));
        ages.collect()
    }

    /// One line per service, for logs.
    pub fn summarize(&self, now: ClockTime) -> Vec<String> {
        self.services.iter().map(|(service, board)| board.summarize(service, now)).collect()
    }

    /// One line per target, for state dumps.
    pub fn describe(&self, now: ClockTime) -> Vec<String> {
        self.services.values().flat_map(|board| board.describe(now)).collect()
    }

    fn board_of(&mut self, target: TargetKey) -> Option<&mut ServiceBoard> {
        self.services.values_mut().find(|board| board.has_target(target))
    }
}
