//! Workloads modelled on the two deployments.

use crate::engine::{BLOCK_TOKENS, EngineSpec};
use burdockcleat_core::pool::{PoolSettings, TierSettings, WorkspaceSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A request of a workload. Lengths are in tokens.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    pub arrival_ms: u64,
    pub workspace: usize,
    pub tier: u8,
    pub idempotent: bool,
    pub prompt: u32,
    pub output: u32,
    pub output_limit: u32,
    pub deadline_ms: u32,
    pub hashes: Vec<u64>,
}

/// A deployment with its engines, settings and workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    Bureau,
    Kerlouan,
}

/// Time in which requests arrive, in milliseconds.
pub const ARRIVALS_MS: u64 = 60_000;

impl Deployment {
    pub fn name(self) -> &'static str {
        match self {
            Self::Bureau => "bureau",
            Self::Kerlouan => "kerlouan",
        }
    }

    pub fn engines(self) -> Vec<EngineSpec> {
        let (count, domains, cache_blocks): (usize, &[&'static str], usize) = match self {
            Self::Bureau => (20, &["bayanzurkh", "khan-uul", "songino"], 1_500),
            Self::Kerlouan => (10, &["brest", "rennes", "quimper", "vannes"], 500),
        };
        let engines = (0..count).map(|index| {
            let fast = index % 2 == 0;
            EngineSpec {
                name: format!("{}-{index}", self.name()),
                generation: if fast { "new" } else { "old" },
                failure_domain: domains[index % domains.len()],
                prefill_rate: if fast { 8.0 } else { 4.0 },
                decode_rate: if fast { 0.060 } else { 0.035 },
                slots: 8,
                cache_blocks,
            }
        });
        engines.collect()
    }

    pub fn settings(self) -> PoolSettings {
        let queue = |max_queue_ms| TierSettings { max_queue_ms, preempt_after_ms: max_queue_ms };
        let mut settings = PoolSettings {
            tiers: match self {
                Self::Bureau => vec![queue(4_000), queue(8_000), queue(20_000)],
                Self::Kerlouan => vec![queue(2_000), queue(4_000), queue(10_000)],
            },
            ..PoolSettings::default()
        };
        settings.prefix.block_limit = self.engines()[0].cache_blocks;
        for workspace in 0..5 {
            let weight = if workspace == 0 { 2.0 } else { 1.0 };
            let share = WorkspaceSettings { weight, ..WorkspaceSettings::default() };
            settings.workspaces.insert(format!("w{workspace}"), share);
        }
        settings
    }

    /// Generates the requests, `rate` per second on average.
    pub fn requests(self, rate: f64, seed: u64) -> Vec<PlannedRequest> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut at = 0.0;
        while at < ARRIVALS_MS as f64 {
            // At the bureau, a quarter of the requests arrive in bursts of twenty.
            let burst = self == Self::Bureau && random.random_bool(1.0 / 61.0);
            let count = if burst { 20 } else { 1 };
            let workspace = draw_workspace(&mut random);
            for _ in 0..count {
                let workspace = if burst { workspace } else { draw_workspace(&mut random) };
                requests.push(self.request(&mut random, at as u64, workspace));
            }
            let mean = if self == Self::Bureau { 80.0 / 61.0 } else { 1.0 };
            at -= random.random_range(f64::EPSILON..1.0_f64).ln() * mean * 1_000.0 / rate;
        }
        requests
    }

    fn request(self, random: &mut StdRng, arrival_ms: u64, workspace: usize) -> PlannedRequest {
        let tier = match random.random_range(0..100) {
            0..30 => 0,
            30..65 => 1,
            _ => 2,
        };
        let (own, template, template_blocks, output_limit) = match self {
            Self::Bureau => {
                // Half of the requests are notes of 60 to 6,000 prompt tokens with log-uniform
                // lengths. The other half are one-line confirmations.
                let note = random.random_bool(0.5);
                let length =
                    if note { random.random_range(0.0..1.0_f64) * 100.0_f64.ln() } else { 0.0 };
                let factor = length.exp();
                let template = if note { random.random_range(0..12) } else { 12 };
                (60.0 * factor, template, 8, 16.0 * factor.powf(0.75))
            }
            Self::Kerlouan => {
                // Twenty presets per workspace, with a Zipf-like popularity and long shared
                // prefixes. One engine can cache about a third of all presets.
                let preset = (21.0_f64.powf(random.random_range(0.0..1.0)) - 1.0) as u64;
                (random.random_range(64.0..192.0), preset, 16, random.random_range(20.0..60.0))
            }
        };
        let prompt = own as u32 + template_blocks * BLOCK_TOKENS;
        let share = 0.4 + 0.1 * workspace as f64 + random.random_range(0.0..0.2);
        let output = (output_limit * share).max(1.0) as u32;
        // Duration on an old engine with a half-full batch, without queueing.
        let unqueued_ms = f64::from(prompt) / 4.0 + output_limit / 0.030;
        let (factor, extra) = [(1.5, 1_500.0), (3.0, 5_000.0), (6.0, 20_000.0)][usize::from(tier)];
        let scope = (self as u64) << 60 | (workspace as u64) << 50 | template << 40;
        let unique: u64 = random.random::<u64>() >> 30;
        let blocks = u64::from(prompt / BLOCK_TOKENS);
        let hashes = (0..blocks).map(|block| {
            let owner = if block < u64::from(template_blocks) { 0 } else { unique << 6 };
            (scope ^ owner).wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(block)
        });
        PlannedRequest {
            arrival_ms,
            workspace,
            tier,
            idempotent: tier != 1 || random.random_bool(0.7),
            prompt,
            output,
            output_limit: output_limit.max(1.0) as u32,
            deadline_ms: (unqueued_ms * factor + extra) as u32,
            hashes: hashes.collect(),
        }
    }
}

/// Selects a workspace at random. The last one sends as much as three of the others.
fn draw_workspace(random: &mut StdRng) -> usize {
    match random.random_range(0..7) {
        workspace @ 0..4 => workspace,
        _ => 4,
    }
}
