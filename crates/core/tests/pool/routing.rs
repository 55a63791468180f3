//! Search for the target with the lowest routing cost, compared with a full scan.

use super::support::{PoolHarness, placed, request, target};
use burdockcleat_core::estimate::PrefixIndex;
use burdockcleat_core::pool::PoolSettings;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TARGETS: u32 = 30;
const REQUESTS: u32 = 300;
/// More slots than requests, so that no request waits for a busy target.
const SLOTS: u32 = 1_000;
const PREFIXES: u64 = 9;

/// State of one target in the full scan.
struct ScanTarget {
    prefix: PrefixIndex,
    ahead: f64,
    in_flight: usize,
}

impl ScanTarget {
    fn uncached(&self, hashes: &[u64], prompt_tokens: u32) -> f64 {
        f64::from(prompt_tokens) - self.prefix.cached_tokens(hashes, prompt_tokens)
    }
}

/// Returns the index of the target with the lowest cost. Ties go to the target with the fewest
/// requests, then to the first.
fn scan(targets: &[ScanTarget], settings: &PoolSettings, hashes: &[u64], tokens: u32) -> usize {
    let prefill = settings.rates.prefill_tokens_per_s / 1_000.0;
    let decode = settings.rates.decode_tokens_per_s / 1_000.0;
    let cost = |target: &ScanTarget| {
        let prefill_ms = target.uncached(hashes, tokens) / prefill;
        let extra = (settings.prefill_weight - 1.0) * prefill_ms;
        target.ahead / prefill + prefill_ms + 40.0 / decode + extra
    };
    let order = |left: &&ScanTarget, right: &&ScanTarget| {
        cost(left).total_cmp(&cost(right)).then(left.in_flight.cmp(&right.in_flight))
    };
    let best = targets.iter().min_by(order).expect("there are targets");
    targets.iter().position(|target| std::ptr::eq(target, best)).expect("the target is listed")
}

// Guards against a search that stops before the best target: a target with a longer queue and a
// cached prompt, or a later one of several with equal cost.
#[test]
fn search_finds_the_target_that_a_full_scan_finds() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut settings = PoolSettings::default();
        // Place each request at once, so that its target can be compared.
        settings.switches.computing_wait = false;
        let announcements: Vec<_> = (0..TARGETS).map(|number| target(number, SLOTS)).collect();
        let mut harness = PoolHarness::new(settings.clone(), &announcements);
        let keys: Vec<_> = announcements.into_iter().map(|one| harness.announce(one)).collect();
        let new_target = || {
            let prefix = PrefixIndex::new(settings.prefix.clone());
            ScanTarget { prefix, ahead: 0.0, in_flight: 0 }
        };
        let mut targets: Vec<ScanTarget> = keys.iter().map(|_| new_target()).collect();
        for number in 0..REQUESTS {
            let prefix = random.random_range(0..PREFIXES) << 32;
            let mut next = request(number, 0);
            next.prompt_tokens = random.random_range(64..800);
            next.prefix_hashes =
                (0..u64::from(next.prompt_tokens / 64)).map(|block| prefix + block).collect();
            let (hashes, tokens) = (next.prefix_hashes.clone(), next.prompt_tokens);
            let expected = scan(&targets, &settings, &hashes, tokens);
            let key = next.key;
            assert_eq!(placed(&harness.submit(next)), [number]);
            assert_eq!(harness.placements[&key], keys[expected], "seed {seed}, request {number}");
            let chosen = &mut targets[expected];
            chosen.ahead += chosen.uncached(&hashes, tokens);
            chosen.in_flight += 1;
            chosen.prefix.record_dispatch(&hashes);
        }
    }
}
