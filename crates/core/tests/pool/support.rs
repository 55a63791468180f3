//! Test requests, test targets and a harness that commits claims at once.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey};
use burdockcleat_core::message::{FinishReport, SubmitRequest};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::pool::{PoolInput, PoolOutput, PoolScheduler, PoolSettings};
use burdockcleat_core::registry::{TargetAnnouncement, TargetKey, TargetRegistry};
use std::collections::HashMap;

pub const ENTRY: NodeId = NodeId(1);

pub fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

pub fn key(number: u32) -> RequestKey {
    RequestKey(u128::from(number))
}

/// Returns an idempotent request of workspace `w0` with a deadline of one minute.
pub fn request(number: u32, tier: u8) -> SubmitRequest {
    SubmitRequest {
        key: key(number),
        attempt: 0,
        fingerprint: RequestFingerprint(u64::from(number)),
        workspace: "w0".into(),
        pool: "notes".into(),
        model: "m".into(),
        tier,
        idempotent: true,
        deadline_in_ms: 60_000,
        prompt_tokens: 400,
        output_tokens: 40,
        prefix_hashes: Vec::new(),
    }
}

pub fn target(number: u32, slots: u32) -> TargetAnnouncement {
    TargetAnnouncement {
        name: format!("engine-{number}"),
        incarnation: 1,
        address: format!("127.0.0.1:{}", 9_000 + number),
        pool: "notes".into(),
        generation: "g1".into(),
        models: vec!["m".into()],
        slots,
        ..TargetAnnouncement::default()
    }
}

/// Scheduler with a target registry. Counts the violations of the tier rule in each step.
pub struct PoolHarness {
    pub scheduler: PoolScheduler,
    pub registry: TargetRegistry,
    pub now: ClockTime,
    pub claims: HashMap<RequestKey, ClaimNumber>,
    pub placements: HashMap<RequestKey, TargetKey>,
    next_claim: u64,
    pub violations: usize,
}

impl PoolHarness {
    pub fn new(settings: PoolSettings, targets: &[TargetAnnouncement]) -> Self {
        let mut harness = Self {
            scheduler: PoolScheduler::new(settings),
            registry: TargetRegistry::default(),
            now: at(0),
            claims: HashMap::new(),
            placements: HashMap::new(),
            next_claim: 0,
            violations: 0,
        };
        for target in targets {
            harness.announce(target.clone());
        }
        harness
    }

    pub fn announce(&mut self, target: TargetAnnouncement) -> TargetKey {
        let (key, changes) =
            self.registry.announce(self.now, target).expect("consistent announcement");
        for change in changes {
            self.step(PoolInput::Target { target: change.target, change: change.kind });
        }
        key
    }

    /// Runs a step and commits the claims of placed requests at once.
    pub fn step(&mut self, input: PoolInput) -> Vec<PoolOutput> {
        let outputs = self.step_uncommitted(input);
        let mut all = outputs.clone();
        for output in outputs {
            let PoolOutput::Place { key, target, .. } = output else { continue };
            let claim = self.commit(key);
            self.placements.insert(key, target);
            all.extend(self.step(PoolInput::ClaimCommitted { key, claim }));
        }
        all
    }

    /// Assigns the next claim number to a request.
    pub fn commit(&mut self, key: RequestKey) -> ClaimNumber {
        self.next_claim += 1;
        self.claims.insert(key, ClaimNumber(self.next_claim));
        ClaimNumber(self.next_claim)
    }

    pub fn step_uncommitted(&mut self, input: PoolInput) -> Vec<PoolOutput> {
        let outputs = self.scheduler.step(self.now, input);
        let violated = outputs.iter().filter_map(|output| self.scheduler.tier_violation(output));
        self.violations += violated.count();
        outputs
    }

    pub fn submit(&mut self, request: SubmitRequest) -> Vec<PoolOutput> {
        self.step(PoolInput::Submit { entry: ENTRY, request })
    }

    pub fn advance(&mut self, ms: u64) -> Vec<PoolOutput> {
        self.now = self.now.plus(ms);
        self.step(PoolInput::Tick)
    }

    pub fn finish(&mut self, number: u32) -> Vec<PoolOutput> {
        self.finish_with(number, RequestOutcome::Completed, None)
    }

    pub fn finish_with(
        &mut self,
        number: u32,
        outcome: RequestOutcome,
        reason: Option<ReasonCode>,
    ) -> Vec<PoolOutput> {
        let claim = self.claims.remove(&key(number)).expect("running request");
        self.placements.remove(&key(number));
        self.step(PoolInput::Finish(FinishReport {
            key: key(number),
            claim,
            outcome,
            reason,
            cached_tokens: 0,
            output_tokens: 40,
            first_token_ms: 100,
            total_ms: 1_100,
        }))
    }
}

/// Returns the numbers of the placed requests, in order.
pub fn placed(outputs: &[PoolOutput]) -> Vec<u32> {
    let numbers = outputs.iter().filter_map(|output| match output {
        PoolOutput::Place { key, .. } => Some(number(*key)),
        _ => None,
    });
    numbers.collect()
}

/// Returns the numbers and reasons of the refused requests, in order.
pub fn refused(outputs: &[PoolOutput]) -> Vec<(u32, ReasonCode)> {
    let refusals = outputs.iter().filter_map(|output| match output {
        PoolOutput::Refuse { key, reason, .. } => Some((number(*key), *reason)),
        _ => None,
    });
    refusals.collect()
}

/// Returns the numbers of the cancelled requests, in order.
pub fn cancelled(outputs: &[PoolOutput]) -> Vec<u32> {
    let numbers = outputs.iter().filter_map(|output| match output {
        PoolOutput::Cancel { key, .. } => Some(number(*key)),
        _ => None,
    });
    numbers.collect()
}

fn number(key: RequestKey) -> u32 {
    u32::try_from(key.0).expect("number of a test request")
}
