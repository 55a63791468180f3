//! Assigns requests to the targets of a service and queues those that have to wait.
//!
//! Under overload that lasts for seconds (bursts, a workspace that sends many times its usual load,
//! failed targets), requests wait here rather than in the queues of the targets. The targets serve
//! in order of arrival; this queue lets urgent requests go first.
//!
//! The same scheduler runs on the placement coordinator, which places requests for all nodes, and
//! on every other node as a fallback. The fallback has an older view of the requests of other nodes.

mod affinity;
mod arrivals;
mod feasibility;
mod features;
mod free_targets;
mod lengths;
mod load_view;
mod loss;
mod pace;
mod pacer;
mod process_requests;
mod queue;
mod returns;
mod service;
mod shares;
mod size_rule;
mod sizes;
mod speed;
mod stated_requests;
mod summary;
mod target;
mod target_memory;
mod version_slots;
mod version_trial;

pub use features::PlacementFeatures;
pub use lengths::{LengthCurve, OutputLengths, OutputReport};
pub use process_requests::FreedRequests;
pub use returns::ReturnCounts;
pub use shares::ShareExcess;
pub use size_rule::SizeRule;
pub use sizes::{RequestSize, SizeBand, SizeStatistics};
pub use speed::{SpeedEstimate, SpeedModel};
pub use target::{AttemptOutcome, TargetInfo};
pub use version_trial::TrialLimit;

use crate::streams::StreamKey;
use crate::target_limits::RequestRate;
use burdockcleat_core::clock::ClockTime;
use pacer::RateLimits;
use serde::{Deserialize, Serialize};
use service::ServiceScheduler;
use std::collections::{BTreeMap, BTreeSet};
use target_memory::MemoryView;

/// Key of one placement of a request; unique across nodes and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PlacementKey(pub u64);

/// Key of one incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TargetKey(pub u64);

/// Key of the process of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ProcessKey(pub u64);

/// Key of a software version of the targets of a service. What targets of two versions write does
/// not fit together, so a stream ends at the version at which it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct VersionKey(pub u32);

impl VersionKey {
    /// Key that stands for a version that is not known. No target has it.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the key of the version with the given name.
    pub fn new(service: &str, version: &str) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(service.as_bytes());
        hash.update(&[0]);
        hash.update(version.as_bytes());
        Self(((hash.digest() >> 32) as u32).max(1))
    }
}

/// A request to be placed on a target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Key of the placement.
    pub key: PlacementKey,
    /// Node that holds the request.
    pub process: ProcessKey,
    /// Service that the request is for.
    pub service: String,
    /// Failure domain of that node.
    pub domain: String,
    /// Only version whose targets may run the request; `None` if all may.
    pub version: Option<VersionKey>,
    /// Rank of the request; lower ranks go first.
    pub rank: u32,
    /// Key of the workspace; `None` if the request belongs to none.
    pub workspace: Option<u32>,
    /// Weight of the workspace when targets are scarce; above 0.
    pub share: f32,
    /// Stream that the request begins or goes on with, over all attempts of its caller; `None` if no
    /// other attempt can go on with it.
    pub stream: Option<StreamKey>,
    /// Hash of path, credential and body. Equal for a request that was refused and comes again.
    pub identity: u64,
    /// Length of the prompt, in tokens; 0 for services without prompts.
    pub prompt_tokens: u32,
    /// Expected length of the output, in tokens.
    pub output_tokens: u32,
    /// Maximum length of the output, in tokens; at least `output_tokens`.
    pub max_output_tokens: u32,
    /// Time left until the latency objective, in ms; negative once it has passed.
    pub objective_left_ms: i64,
    /// Time left until the caller stops waiting for the first part of the response, in ms.
    pub deadline_left_ms: u64,
    /// Time left until the response must be complete, in ms.
    pub answer_left_ms: u64,
    /// Longest pause within the stream that still counts as on time, in ms; `None` if the response
    /// is not streamed.
    pub pause_ms: Option<u64>,
    /// Whether the request may be sent again after a target may have run it.
    pub repeatable: bool,
    /// Targets that the request must not be sent to again.
    pub excluded: Vec<TargetKey>,
}

impl PlacementRequest {
    /// Returns whether the request may be sent to a target.
    pub fn allows(&self, target: &TargetInfo) -> bool {
        self.allows_version(target.version) && !self.excluded.contains(&target.key)
    }

    /// Returns whether the request may be sent to targets of a software version.
    pub fn allows_version(&self, version: VersionKey) -> bool {
        self.version.is_none_or(|only| only == version)
    }

    /// Returns whether the request may be sent to targets of any of the software versions.
    pub fn allows_any(&self, versions: &BTreeSet<VersionKey>) -> bool {
        versions.iter().any(|version| self.allows_version(*version))
    }

    /// Returns the request as it is after waiting for another `ms`.
    #[must_use]
    pub fn aged(&self, ms: u64) -> Self {
        let mut aged = self.clone();
        aged.objective_left_ms -= ms.cast_signed();
        aged.deadline_left_ms = aged.deadline_left_ms.saturating_sub(ms);
        aged.answer_left_ms = aged.answer_left_ms.saturating_sub(ms);
        aged
    }
}

/// A request that runs on a target, as reported by its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ActiveRequest {
    /// Key of the placement.
    pub key: PlacementKey,
    /// Target that runs it.
    pub target: TargetKey,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Whether the first event of the response has arrived.
    pub started: bool,
    /// Largest number of tokens that it may take of the target's memory.
    pub most_tokens: u32,
    /// Output tokens that have arrived; 0 if they are not counted.
    pub written_tokens: u32,
}

/// Reason why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RefusalReason {
    /// The expected wait exceeds the permitted part of the time that is left.
    WaitTooLong,
    /// The service has no usable target.
    NoTarget,
    /// The request is larger than the memory of every target.
    TooLarge,
    /// No target would end the output before its deadline.
    CannotFinish,
}

/// A decision of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutput {
    /// Send the request to the target.
    Grant {
        /// Key of the placement.
        key: PlacementKey,
        /// Node that holds the request.
        process: ProcessKey,
        /// Target to send it to.
        target: TargetKey,
        /// Time that the request waited, in ms.
        waited_ms: u64,
    },
    /// Refuse the request; it did not run.
    Refuse {
        /// Key of the placement.
        key: PlacementKey,
        /// Node that holds the request.
        process: ProcessKey,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry, in ms.
        retry_after_ms: u64,
    },
}

/// Schedules the requests of all services.
#[derive(Debug, Default)]
pub struct PlacementScheduler {
    services: BTreeMap<String, ServiceScheduler>,
    size_rule: SizeRule,
    features: PlacementFeatures,
    /// Speeds that were measured by another node or before a restart.
    restored_speeds: BTreeMap<TargetKey, SpeedModel>,
    limits: RateLimits,
    memory_view: MemoryView,
    outputs: Vec<PlacementOutput>,
}

impl PlacementScheduler {
    /// Creates a scheduler that values requests by a rule.
    pub fn new(size_rule: SizeRule) -> Self {
        Self { size_rule, ..Self::default() }
    }

    /// Sets the features of all services that the settings call for.
    pub fn set_features(&mut self, features: PlacementFeatures) {
        self.features = features;
        for scheduler in self.services.values_mut() {
            scheduler.set_features(features);
        }
    }

    /// Replaces the usable targets of a service. Requests on removed targets are removed with them.
    pub fn set_targets(&mut self, service: &str, infos: &[TargetInfo], now: ClockTime) {
        if infos.is_empty() && !self.services.contains_key(service) {
            return;
        }
        let (rule, features) = (self.size_rule, self.features);
        let scheduler = self
            .services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceScheduler::new(rule, features));
        scheduler.set_targets(infos, &self.restored_speeds, &self.limits, now);
        scheduler.place_waiting(now, &mut self.outputs);
    }

    /// Sets the limits of the request rates of targets and the part of them, 0 to 1, that this
    /// scheduler may use. Requests that other schedulers placed count when they are reported.
    pub fn set_limits(
        &mut self,
        rates: BTreeMap<TargetKey, RequestRate>,
        share: f64,
        now: ClockTime,
    ) {
        if self.limits.rates == rates && self.limits.share == share {
            return;
        }
        self.limits = RateLimits { rates, share };
        for scheduler in self.services.values_mut() {
            scheduler.apply_limits(&self.limits, now);
        }
    }

    /// Sets the version of a service that is on trial, if one is.
    pub fn set_trial(&mut self, service: &str, trial: Option<TrialLimit>) {
        if let Some(scheduler) = self.services.get_mut(service) {
            scheduler.set_trial(trial);
        }
    }

    /// Sets the speeds of targets that were measured elsewhere. Targets whose speed was already
    /// measured here keep it.
    pub fn restore_speeds(&mut self, speeds: &[(TargetKey, SpeedModel)]) {
        for (target, speed) in speeds {
            if let Some(scheduler) = self.scheduler_of(*target) {
                scheduler.restore_speed(*target, *speed);
            }
        }
        self.restored_speeds.extend(speeds.iter().copied());
    }

    /// Returns the speeds of all targets.
    pub fn speeds(&self) -> Vec<(TargetKey, SpeedModel)> {
        self.services.values().flat_map(ServiceScheduler::speeds).collect()
    }

    /// Places, queues or refuses a new request.
    pub fn submit(&mut self, request: PlacementRequest, now: ClockTime) {
        let (rule, features) = (self.size_rule, self.features);
        let scheduler = self
            .services
            .entry(request.service.clone())
            .or_insert_with(|| ServiceScheduler::new(rule, features));
        scheduler.submit(request, now, &mut self.outputs);
    }

    /// Removes a waiting request, because its caller left or its node placed it itself.
    pub fn withdraw(&mut self, key: PlacementKey) {
        for scheduler in self.services.values_mut() {
            scheduler.withdraw(key);
        }
    }

    /// Returns whether a request is waiting.
    pub fn is_waiting(&self, key: PlacementKey) -> bool {
        self.services.values().any(|scheduler| scheduler.is_waiting(key))
    }

    /// Returns the target that a request was granted, until the request finishes.
    pub fn granted_target(&self, key: PlacementKey) -> Option<TargetKey> {
        self.services.values().find_map(|scheduler| scheduler.granted_target(key))
    }

    /// Records the first event of a streamed response, or a whole response.
    pub fn started(&mut self, target: TargetKey, key: PlacementKey, now: ClockTime) {
        if let Some(scheduler) = self.scheduler_of(target) {
            scheduler.started(target, key, now);
        }
    }

    /// Records the end of a request and places waiting ones.
    pub fn finished(
        &mut self,
        target: TargetKey,
        key: PlacementKey,
        outcome: AttemptOutcome,
        now: ClockTime,
    ) {
        let outputs = &mut self.outputs;
        let mut schedulers = self.services.values_mut();
        let Some(scheduler) = schedulers.find(|scheduler| scheduler.has_target(target)) else {
            return;
        };
        scheduler.finished(target, key, outcome, now);
        scheduler.place_waiting(now, outputs);
    }

    /// Records the end of a request with the output that its node counted.
    pub fn finished_with(
        &mut self,
        (target, key): (TargetKey, PlacementKey),
        outcome: AttemptOutcome,
        output: Option<OutputReport>,
        now: ClockTime,
    ) {
        if let Some(output) = output
            && let Some(scheduler) = self.scheduler_of(target)
        {
            scheduler.observe_output(target, key, output, now);
        }
        self.finished(target, key, outcome, now);
    }

    /// Records a request that another scheduler granted. Does nothing if the grant is already
    /// known.
    pub fn adopt(&mut self, target: TargetKey, request: &PlacementRequest, now: ClockTime) {
        if let Some(scheduler) = self.scheduler_of(target) {
            scheduler.adopt(target, request, now);
        }
    }

    /// Updates the running requests of a node to match its report.
    pub fn reconcile(&mut self, process: ProcessKey, active: &[ActiveRequest], now: ClockTime) {
        self.memory_view.count_report(process, now);
        for scheduler in self.services.values_mut() {
            scheduler.reconcile(process, active, now);
            scheduler.place_waiting(now, &mut self.outputs);
        }
    }

    /// Refuses requests that have waited too long, removes requests of silent nodes and places
    /// waiting ones.
    pub fn advance(&mut self, now: ClockTime) {
        for scheduler in self.services.values_mut() {
            scheduler.advance(now, &mut self.outputs);
        }
    }

    /// Returns the decisions since the last call.
    pub fn take_outputs(&mut self) -> Vec<PlacementOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the number of waiting requests of all services.
    pub fn waiting_count(&self) -> usize {
        self.services.values().map(ServiceScheduler::waiting_count).sum()
    }

    /// Returns the age of the oldest waiting request of each service, in ms.
    pub fn queue_ages(&self, now: ClockTime) -> Vec<(&str, u64)> {
        let ages =
            self.services.iter().map(|(service, scheduler)| (&**service, scheduler.queue_age(now)));
        ages.collect()
    }

    /// Returns one line per service, for logs.
    pub fn summarize(&self, now: ClockTime) -> Vec<String> {
        self.services.iter().map(|(service, scheduler)| scheduler.summarize(service, now)).collect()
    }

    /// Returns the workspaces that ask for more than their share of a service while their requests
    /// wait.
    pub fn share_excesses(&self) -> Vec<ShareExcess> {
        let services = self.services.iter();
        services.flat_map(|(service, scheduler)| scheduler.share_excesses(service)).collect()
    }

    /// Returns what became of refused requests since the last call, by service, where any did.
    pub fn take_return_counts(&mut self) -> Vec<(String, ReturnCounts)> {
        let services = self.services.iter_mut();
        let counts =
            services.map(|(service, scheduler)| (service.clone(), scheduler.take_return_counts()));
        counts.filter(|(_, counts)| *counts != ReturnCounts::default()).collect()
    }

    /// Returns one line per target, for state dumps.
    pub fn describe(&self, now: ClockTime) -> Vec<String> {
        self.services.values().flat_map(|scheduler| scheduler.describe(now)).collect()
    }

    fn scheduler_of(&mut self, target: TargetKey) -> Option<&mut ServiceScheduler> {
        self.services.values_mut().find(|scheduler| scheduler.has_target(target))
    }
}
