//! One run: an entry, the scheduler under test and the fake engines.

use crate::engine::{EngineEvent, EngineStream, FakeEngine, STEP_MS};
use crate::waste::{PlacementNote, WasteCauses};
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
/// Age of load reports and cache events when they arrive.
const REPORT_LAG_MS: u64 = 1_000;
/// Time from a placement to the dispatch: commit of the claim and one hop.
const DISPATCH_MS: u64 = 10;
const PROGRESS_MS: u64 = 250;
const HEARTBEAT_MS: u64 = 500;
const TICK_MS: u64 = 100;
/// The straggler runs at a fifth of its speed in this span.
const STRAGGLER: (usize, u64, u64) = (2, 15_000, 35_000);
/// Crash and restart of one engine.
const CRASH: (usize, u64, u64) = (5, 30_000, 36_000);

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct RunFigures {
    /// Requests by tier: offered, completed in time.
    pub tiers: [(u32, u32); 3],
    pub computed: f64,
    pub wasted: f64,
    pub causes: WasteCauses,
    pub violations: u32,
    pub cancels: u32,
    /// Requests by workspace: offered, completed in time.
    pub workspaces: [(u32, u32); 5],
}

impl RunFigures {
    pub fn goodput(&self, tier: usize) -> f64 {
        f64::from(self.tiers[tier].1) / f64::from(self.tiers[tier].0.max(1))
    }

    /// Goodput of the worst workspace, without the last one, which sends the most.
    pub fn light_workspaces(&self) -> f64 {
        let shares = self.workspaces[..4]
            .iter()
            .map(|(all, good)| f64::from(*good) / f64::from((*all).max(1)));
        shares.fold(1.0, f64::min)
    }

    pub fn waste(&self) -> f64 {
        self.wasted / self.computed.max(1.0)
    }
}

enum Delayed {
    Input(PoolInput),
    Dispatch { request: usize, target: TargetKey },
    Cancel { request: usize, reason: ReasonCode },
}

pub struct ExperimentWorld {
    now: u64,
    plan: Vec<PlannedRequest>,
    scheduler: PoolScheduler,
    registry: TargetRegistry,
    engines: Vec<FakeEngine>,
    places: HashMap<TargetKey, usize>,
    /// The scheduler's prefix prediction, rebuilt from the same inputs.
    predictions: HashMap<TargetKey, PrefixIndex>,
    prefix: PrefixSettings,
    notes: HashMap<usize, PlacementNote>,
    /// Engine of each request that occupies a slot in the scheduler's view.
    slots: HashMap<usize, TargetKey>,
    /// Engine of each dispatched request.
    dispatched: HashMap<usize, usize>,
    delayed: BTreeMap<(u64, u64), Delayed>,
    sequence: u64,
    seen: HashSet<u64>,
    pub figures: RunFigures,
}

impl ExperimentWorld {
    pub fn new(deployment: Deployment, settings: PoolSettings, plan: Vec<PlannedRequest>) -> Self {
        let prefix = settings.prefix.clone();
        Self {
            now: 0,
            plan,
            predictions: HashMap::new(),
            prefix,
            notes: HashMap::new(),
            slots: HashMap::new(),
            scheduler: PoolScheduler::new(settings),
            registry: TargetRegistry::default(),
            engines: deployment.engines().into_iter().map(FakeEngine::new).collect(),
            places: HashMap::new(),
            dispatched: HashMap::new(),
            delayed: BTreeMap::new(),
            sequence: 0,
            seen: HashSet::new(),
            figures: RunFigures::default(),
        }
    }

    /// Runs the plan; `faults` adds the straggler and the crash.
    pub fn run(mut self, faults: bool) -> RunFigures {
        let mut next = 0;
        while self.now < ARRIVALS_MS * 2 {
            if faults {
                self.faults();
            }
            if self.now.is_multiple_of(HEARTBEAT_MS) {
                self.heartbeats();
            }
            while let Some(entry) = self.delayed.first_entry()
                && entry.key().0 <= self.now
            {
                let delayed = entry.remove();
                self.deliver(delayed);
            }
            while next < self.plan.len() && self.plan[next].at <= self.now {
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
        self.figures
    }

    fn later(&mut self, delay: u64, delayed: Delayed) {
        self.sequence += 1;
        self.delayed.insert((self.now + delay, self.sequence), delayed);
    }

    fn step(&mut self, input: PoolInput) {
        match &input {
            PoolInput::Finish(report) => self.slots.remove(&index(report.key)),
            PoolInput::Release { key, .. } => self.slots.remove(&index(*key)),
            _ => None,
        };
        let outputs = self.scheduler.step(ClockTime::from_ms(self.now), input);
        for output in outputs {
            if self.scheduler.tier_violation(&output).is_some() {
                self.figures.violations += 1;
            }
            match output {
                PoolOutput::Place { key, target, .. } => {
                    let request = index(key);
                    let claim = claim(request);
                    self.note_placement(request, target);
                    self.later(5, Delayed::Input(PoolInput::ClaimCommitted { key, claim }));
                    self.later(DISPATCH_MS, Delayed::Dispatch { request, target });
                }
                PoolOutput::Cancel { key, reason, .. } => {
                    self.figures.cancels += 1;
                    self.later(DISPATCH_MS, Delayed::Cancel { request: index(key), reason });
                }
                PoolOutput::Refuse { .. } | PoolOutput::Suspect(_) => {}
            }
        }
    }

    /// Compares the prediction for a placement with the caches of all engines.
    fn note_placement(&mut self, request: usize, target: TargetKey) {
        let hashes = &self.plan[request].hashes;
        let mut note = PlacementNote::default();
        for (key, engine) in &self.places {
            let engine = &self.engines[*engine];
            let held = engine.cached_blocks(hashes);
            note.best = note.best.max(held);
            let taken = self.slots.values().filter(|place| *place == key).count();
            if taken < engine.spec.slots as usize {
                note.best_free = note.best_free.max(held);
            }
        }
        let Some(prediction) = self.predictions.get_mut(&target) else { return };
        let tokens = prediction.cached_tokens(hashes, u32::MAX);
        note.predicted = (tokens / f64::from(crate::engine::BLOCK_TOKENS)) as usize;
        prediction.record_dispatch(hashes);
        self.notes.insert(request, note);
        self.slots.insert(request, target);
    }

    fn deliver(&mut self, delayed: Delayed) {
        match delayed {
            Delayed::Input(input) => self.step(input),
            Delayed::Dispatch { request, target } => {
                let engine = self.places[&target];
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
            Delayed::Cancel { request, reason } => self.abort(request, reason),
        }
    }

    fn submit(&mut self, request: usize) {
        let plan = &self.plan[request];
        self.figures.tiers[usize::from(plan.tier)].0 += 1;
        self.figures.workspaces[plan.workspace].0 += 1;
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
        self.later(deadline, Delayed::Cancel { request, reason: ReasonCode::UpstreamTimeout });
        self.later(deadline, Delayed::Input(PoolInput::Withdraw { key: key(request) }));
    }

    /// Ends a running request without a response.
    fn abort(&mut self, request: usize, reason: ReasonCode) {
        let Some(engine) = self.dispatched.get(&request).copied() else { return };
        let Some(stream) = self.engines[engine].remove(request) else { return };
        self.discard(&stream, reason);
    }

    fn discard(&mut self, stream: &EngineStream, reason: ReasonCode) {
        self.figures.computed += stream.computed;
        self.figures.wasted += stream.computed;
        self.figures.causes.discarded += stream.computed;
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
        self.later(STEP_MS, Delayed::Input(PoolInput::Finish(report)));
    }

    fn advance_engines(&mut self) {
        for engine in 0..self.engines.len() {
            for event in self.engines[engine].advance(self.now) {
                match event {
                    EngineEvent::Prefilled { request, cached, blocks } => {
                        let note = self.notes.get(&request).copied().unwrap_or_default();
                        for (offset, (hash, origin)) in blocks.into_iter().enumerate() {
                            if !self.seen.insert(hash) {
                                let tokens = f64::from(crate::engine::BLOCK_TOKENS);
                                self.figures.wasted += tokens;
                                self.figures.causes.add(origin, cached + offset, &note, tokens);
                            }
                        }
                    }
                    EngineEvent::Completed(stream) => {
                        self.figures.computed += stream.computed;
                        let plan = &self.plan[stream.request];
                        if self.now <= plan.at + u64::from(plan.deadline_ms) {
                            self.figures.tiers[usize::from(plan.tier)].1 += 1;
                            self.figures.workspaces[plan.workspace].1 += 1;
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

    fn heartbeats(&mut self) {
        for engine in 0..self.engines.len() {
            if !self.engines[engine].up {
                continue;
            }
            let report = self.engines[engine].report(self.now, REPORT_LAG_MS, POOL, MODEL);
            let announced = self.registry.announce(ClockTime::from_ms(self.now), report);
            let Ok((target, changes)) = announced else { continue };
            self.places.insert(target, engine);
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

    fn faults(&mut self) {
        let (engine, from, until) = STRAGGLER;
        self.engines[engine].speed = if (from..until).contains(&self.now) { 0.2 } else { 1.0 };
        let (engine, crash, restart) = CRASH;
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
