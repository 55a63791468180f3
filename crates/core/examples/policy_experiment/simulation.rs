//! Simulation of a run: an entry, the scheduler under test and the fake engines.

use crate::engine::{EngineEvent, EngineStream, FakeEngine, STEP_MS};
use crate::waste_causes::{PlacementRecord, WasteCauses};
use crate::workload::{ARRIVALS_MS, Deployment, PlannedRequest};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::estimate::{PrefixIndex, PrefixSettings};
use burdockcleat_core::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey};
use burdockcleat_core::message::{FinishReport, StreamProgress, SubmitRequest};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::pool::{PoolInput, PoolOutput, PoolScheduler, PoolSettings};
use burdockcleat_core::registry::{TargetChangeKind, TargetKey, TargetRegistry};
use std::collections::{BTreeMap, HashMap, HashSet};

const POOL: &str = "pool";
const MODEL: &str = "model";
/// Age of load reports and cache events when the scheduler receives them.
const REPORT_LAG_MS: u64 = 1_000;
/// Time from a placement to the dispatch, for the commit of the claim and one network hop.
const DISPATCH_MS: u64 = 10;
const PROGRESS_MS: u64 = 250;
const HEARTBEAT_MS: u64 = 500;
const TICK_MS: u64 = 100;
/// Engine that becomes a straggler with a fifth of its speed, and the start and end of this fault.
const STRAGGLER_FAULT: (usize, u64, u64) = (2, 15_000, 35_000);
/// Engine that crashes, and the times of its crash and restart.
const CRASH_FAULT: (usize, u64, u64) = (5, 30_000, 36_000);

/// Metrics of a run.
#[derive(Clone, Debug, Default)]
pub struct RunMetrics {
    /// Offered requests and requests completed in time, by tier.
    pub tiers: [(u32, u32); 3],
    /// Computed prompt tokens.
    pub computed: f64,
    /// Prompt tokens that had been computed before, or whose request was discarded.
    pub wasted: f64,
    pub causes: WasteCauses,
    pub tier_violations: u32,
    pub cancels: u32,
    /// Offered requests and requests completed in time, by workspace.
    pub workspaces: [(u32, u32); 5],
}

impl RunMetrics {
    /// Returns the share of the requests of a tier that were completed in time.
    pub fn goodput(&self, tier: usize) -> f64 {
        f64::from(self.tiers[tier].1) / f64::from(self.tiers[tier].0.max(1))
    }

    /// Returns the lowest goodput of a workspace, except for the last one, which sends the most.
    pub fn worst_light_workspace(&self) -> f64 {
        let shares = self.workspaces[..4]
            .iter()
            .map(|(all, good)| f64::from(*good) / f64::from((*all).max(1)));
        shares.fold(1.0, f64::min)
    }

    pub fn wasted_share(&self) -> f64 {
        self.wasted / self.computed.max(1.0)
    }
}

/// An event that takes effect at a later time.
enum DelayedEvent {
    Input(PoolInput),
    Dispatch { request: usize, target: TargetKey },
    Cancel { request: usize, reason: ReasonCode },
}

/// State of a run.
pub struct Simulation {
    /// Time in milliseconds.
    now: u64,
    plan: Vec<PlannedRequest>,
    scheduler: PoolScheduler,
    registry: TargetRegistry,
    engines: Vec<FakeEngine>,
    engine_by_target: HashMap<TargetKey, usize>,
    /// Copy of the scheduler's prefix predictions, built from the same inputs.
    predictions: HashMap<TargetKey, PrefixIndex>,
    prefix: PrefixSettings,
    placements: HashMap<usize, PlacementRecord>,
    /// Target of each request that occupies a slot in the scheduler's view.
    occupied_slots: HashMap<usize, TargetKey>,
    /// Engine of each dispatched request.
    dispatched: HashMap<usize, usize>,
    /// Delayed events by time and sequence number.
    delayed: BTreeMap<(u64, u64), DelayedEvent>,
    sequence: u64,
    /// Hashes of all blocks that any engine has computed.
    computed_blocks: HashSet<u64>,
    pub metrics: RunMetrics,
}

impl Simulation {
    pub fn new(deployment: Deployment, settings: PoolSettings, plan: Vec<PlannedRequest>) -> Self {
        let prefix = settings.prefix.clone();
        Self {
            now: 0,
            plan,
            predictions: HashMap::new(),
            prefix,
            placements: HashMap::new(),
            occupied_slots: HashMap::new(),
            scheduler: PoolScheduler::new(settings),
            registry: TargetRegistry::default(),
            engines: deployment.engines().into_iter().map(FakeEngine::new).collect(),
            engine_by_target: HashMap::new(),
            dispatched: HashMap::new(),
            delayed: BTreeMap::new(),
            sequence: 0,
            computed_blocks: HashSet::new(),
            metrics: RunMetrics::default(),
        }
    }

    /// Runs the workload. `faults` enables the straggler and the crash.
    pub fn run(mut self, faults: bool) -> RunMetrics {
        let mut next = 0;
        while self.now < ARRIVALS_MS * 2 {
            if faults {
                self.inject_faults();
            }
            if self.now.is_multiple_of(HEARTBEAT_MS) {
                self.send_heartbeats();
            }
            while let Some(entry) = self.delayed.first_entry()
                && entry.key().0 <= self.now
            {
                let delayed = entry.remove();
                self.deliver(delayed);
            }
            while next < self.plan.len() && self.plan[next].arrival_ms <= self.now {
                self.submit(next);
                next += 1;
            }
            self.advance_engines();
            if self.now.is_multiple_of(PROGRESS_MS) {
                self.report_progress();
            }
            if self.now.is_multiple_of(TICK_MS) {
                for change in self.registry.tick(ClockTime::from_ms(self.now)) {
                    self.step(PoolInput::Target { target: change.target, change: change.kind });
                }
                self.step(PoolInput::Tick);
            }
            self.now += STEP_MS;
        }
        self.metrics
    }

    fn schedule(&mut self, delay: u64, delayed: DelayedEvent) {
        self.sequence += 1;
        self.delayed.insert((self.now + delay, self.sequence), delayed);
    }

    fn step(&mut self, input: PoolInput) {
        match &input {
            PoolInput::Finish(report) => self.occupied_slots.remove(&index(report.key)),
            PoolInput::Release { key, .. } => self.occupied_slots.remove(&index(*key)),
            _ => None,
        };
        let outputs = self.scheduler.step(ClockTime::from_ms(self.now), input);
        for output in outputs {
            if self.scheduler.tier_violation(&output).is_some() {
                self.metrics.tier_violations += 1;
            }
            match output {
                PoolOutput::Place { key, target, .. } => {
                    let request = index(key);
                    let claim = claim(request);
                    self.record_placement(request, target);
                    self.schedule(5, DelayedEvent::Input(PoolInput::ClaimCommitted { key, claim }));
                    self.schedule(DISPATCH_MS, DelayedEvent::Dispatch { request, target });
                }
                PoolOutput::Cancel { key, reason, .. } => {
                    self.metrics.cancels += 1;
                    self.schedule(
                        DISPATCH_MS,
                        DelayedEvent::Cancel { request: index(key), reason },
                    );
                }
                PoolOutput::Refuse { .. } | PoolOutput::Suspect(_) => {}
            }
        }
    }

    /// Records the prediction for a placement and the state of the caches of all engines.
    fn record_placement(&mut self, request: usize, target: TargetKey) {
        let hashes = &self.plan[request].hashes;
        let mut placement = PlacementRecord::default();
        for (key, engine) in &self.engine_by_target {
            let engine = &self.engines[*engine];
            let held = engine.cached_blocks(hashes);
            placement.most_cached = placement.most_cached.max(held);
            let taken = self.occupied_slots.values().filter(|occupied| *occupied == key).count();
            if taken < engine.spec.slots as usize {
                placement.most_cached_with_free_slot =
                    placement.most_cached_with_free_slot.max(held);
            }
        }
        let Some(prediction) = self.predictions.get_mut(&target) else { return };
        let tokens = prediction.cached_tokens(hashes, u32::MAX);
        placement.predicted = (tokens / f64::from(crate::engine::BLOCK_TOKENS)) as usize;
        prediction.record_dispatch(hashes);
        self.placements.insert(request, placement);
        self.occupied_slots.insert(request, target);
    }

    fn deliver(&mut self, delayed: DelayedEvent) {
        match delayed {
            DelayedEvent::Input(input) => self.step(input),
            DelayedEvent::Dispatch { request, target } => {
                let engine = self.engine_by_target[&target];
                if !self.engines[engine].up {
                    let (key, claim) = (key(request), claim(request));
                    return self.step(PoolInput::Release { key, claim, retry: true });
                }
                let plan = &self.plan[request];
                self.engines[engine].admit(
                    self.now,
                    request,
                    plan.prompt,
                    plan.output,
                    &plan.hashes,
                );
                self.dispatched.insert(request, engine);
            }
            DelayedEvent::Cancel { request, reason } => self.abort(request, reason),
        }
    }

    fn submit(&mut self, request: usize) {
        let plan = &self.plan[request];
        self.metrics.tiers[usize::from(plan.tier)].0 += 1;
        self.metrics.workspaces[plan.workspace].0 += 1;
        let submit = SubmitRequest {
            key: key(request),
            attempt: 0,
            fingerprint: RequestFingerprint(request as u64),
            workspace: format!("w{}", plan.workspace),
            pool: POOL.into(),
            model: MODEL.into(),
            tier: plan.tier,
            idempotent: plan.idempotent,
            deadline_in_ms: plan.deadline_ms,
            prompt_tokens: plan.prompt,
            output_tokens: plan.output_limit,
            prefix_hashes: plan.hashes.clone(),
        };
        let deadline = u64::from(plan.deadline_ms);
        self.step(PoolInput::Submit { entry: NodeId(1), request: submit });
        self.schedule(
            deadline,
            DelayedEvent::Cancel { request, reason: ReasonCode::UpstreamTimeout },
        );
        self.schedule(deadline, DelayedEvent::Input(PoolInput::Withdraw { key: key(request) }));
    }

    /// Stops a running request without a response.
    fn abort(&mut self, request: usize, reason: ReasonCode) {
        let Some(engine) = self.dispatched.get(&request).copied() else { return };
        let Some(stream) = self.engines[engine].remove(request) else { return };
        self.discard(&stream, reason);
    }

    /// Counts the work on an interrupted stream as wasted, and reports the request as failed.
    fn discard(&mut self, stream: &EngineStream, reason: ReasonCode) {
        self.metrics.computed += stream.computed;
        self.metrics.wasted += stream.computed;
        self.metrics.causes.discarded += stream.computed;
        self.finish(stream, RequestOutcome::Failed, Some(reason));
    }

    fn finish(
        &mut self,
        stream: &EngineStream,
        outcome: RequestOutcome,
        reason: Option<ReasonCode>,
    ) {
        let request = stream.request;
        self.dispatched.remove(&request);
        let first = stream.first_token.unwrap_or(self.now);
        let cached = stream.cached_blocks as u32 * crate::engine::BLOCK_TOKENS;
        let report = FinishReport {
            key: key(request),
            claim: claim(request),
            outcome,
            reason,
            cached_tokens: cached.min(self.plan[request].prompt),
            output_tokens: stream.tokens as u32,
            first_token_ms: (first - stream.started) as u32,
            total_ms: (self.now - stream.started) as u32,
        };
        self.schedule(STEP_MS, DelayedEvent::Input(PoolInput::Finish(report)));
    }

    fn advance_engines(&mut self) {
        for engine in 0..self.engines.len() {
            for event in self.engines[engine].advance(self.now) {
                match event {
                    EngineEvent::Prefilled { request, cached, blocks } => {
                        let placement = self.placements.get(&request).copied().unwrap_or_default();
                        for (offset, (hash, cause)) in blocks.into_iter().enumerate() {
                            if !self.computed_blocks.insert(hash) {
                                let tokens = f64::from(crate::engine::BLOCK_TOKENS);
                                self.metrics.wasted += tokens;
                                self.metrics.causes.add(cause, cached + offset, &placement, tokens);
                            }
                        }
                    }
                    EngineEvent::Completed(stream) => {
                        self.metrics.computed += stream.computed;
                        let plan = &self.plan[stream.request];
                        if self.now <= plan.arrival_ms + u64::from(plan.deadline_ms) {
                            self.metrics.tiers[usize::from(plan.tier)].1 += 1;
                            self.metrics.workspaces[plan.workspace].1 += 1;
                        }
                        self.finish(&stream, RequestOutcome::Completed, None);
                    }
                }
            }
        }
    }

    fn report_progress(&mut self) {
        let streams = self.engines.iter().flat_map(|engine| &engine.streams);
        let reports = streams.map(|stream| StreamProgress {
            key: key(stream.request),
            tokens: stream.tokens as u32,
            first_token_ms: stream.first_token.map(|first| (first - stream.started) as u32),
        });
        let reports = reports.collect();
        self.step(PoolInput::Progress(reports));
    }

    fn send_heartbeats(&mut self) {
        for engine in 0..self.engines.len() {
            if !self.engines[engine].up {
                continue;
            }
            let report = self.engines[engine].report(self.now, REPORT_LAG_MS, POOL, MODEL);
            let announced = self.registry.announce(ClockTime::from_ms(self.now), report);
            let Ok((target, changes)) = announced else { continue };
            self.engine_by_target.insert(target, engine);
            for change in changes {
                if let TargetChangeKind::Announced(announcement) = &change.kind {
                    let prefix = &self.prefix;
                    self.predictions
                        .entry(change.target)
                        .or_insert_with(|| PrefixIndex::new(prefix.clone()))
                        .apply(&announcement.cache_events);
                }
                self.step(PoolInput::Target { target: change.target, change: change.kind });
            }
        }
    }

    fn inject_faults(&mut self) {
        let (engine, from, until) = STRAGGLER_FAULT;
        self.engines[engine].speed = if (from..until).contains(&self.now) { 0.2 } else { 1.0 };
        let (engine, crash, restart) = CRASH_FAULT;
        if self.now == crash {
            for stream in self.engines[engine].crash() {
                self.discard(&stream, ReasonCode::UpstreamCut);
            }
        }
        if self.now == restart {
            self.engines[engine].restart();
        }
    }
}

fn key(request: usize) -> RequestKey {
    RequestKey(request as u128)
}

fn claim(request: usize) -> ClaimNumber {
    ClaimNumber(request as u64 + 1)
}

fn index(key: RequestKey) -> usize {
    usize::try_from(key.0).unwrap_or(usize::MAX)
}
