//! Differential test of the scheduler against the naive scheduler, with random events.

use crate::naive::{NaiveOutput, NaiveScheduler, by_deadline};
use crate::support::{ENTRY, PoolHarness, key, request, target};
use burdockcleat_core::estimate::RateSettings;
use burdockcleat_core::keys::ClaimNumber;
use burdockcleat_core::message::{FinishReport, StreamProgress, SubmitRequest};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::pool::{PoolInput, PoolOutput, PoolSettings, RoutingPolicy, TierSettings};
use burdockcleat_core::registry::TargetKey;
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed, TestCaseError};

#[derive(Clone, Debug)]
enum Event {
    Submit { tier: u8, workspace: u8, idempotent: bool, deadline_ms: u32, size: u32, prefix: u64 },
    Commit { index: usize },
    FirstToken { index: usize },
    Finish { index: usize },
    ConfirmCancel { index: usize },
    Withdraw { index: usize },
    Advance { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..3_u8, 0..3_u8, any::<bool>(), 0..9_000_u32, 1..8_u32, 0..6_u64).prop_map(
            |(tier, workspace, idempotent, deadline_ms, size, prefix)| Event::Submit {
                tier, workspace, idempotent, deadline_ms, size, prefix
            }),
        8 => any::<usize>().prop_map(|index| Event::Commit { index }),
        6 => any::<usize>().prop_map(|index| Event::FirstToken { index }),
        4 => any::<usize>().prop_map(|index| Event::Finish { index }),
        3 => any::<usize>().prop_map(|index| Event::ConfirmCancel { index }),
        1 => any::<usize>().prop_map(|index| Event::Withdraw { index }),
        6 => (1..700_u64).prop_map(|ms| Event::Advance { ms }),
    ]
}

struct Comparison {
    harness: PoolHarness,
    targets: Vec<TargetKey>,
    naive: NaiveScheduler,
    next: u32,
}

impl Comparison {
    fn new() -> Self {
        let settings = PoolSettings {
            routing: RoutingPolicy::LeastInFlight,
            queue_limit: 14,
            // Keeps the estimated service times constant, regardless of the reported progress.
            rates: RateSettings { prior_ms: 1e15, ..RateSettings::default() },
            // About two requests, so that the limit by the fair share takes effect.
            overtake_tokens: 4_000.0,
            tiers: [3_000, 5_000, 8_000]
                .map(|max_queue_ms| TierSettings { max_queue_ms, preempt_after_ms: max_queue_ms })
                .to_vec(),
            ..PoolSettings::default()
        };
        let mut harness = PoolHarness::new(settings.clone(), &[]);
        let mut targets: Vec<TargetKey> =
            (0..3).map(|number| harness.announce(target(number, number + 1))).collect();
        targets.sort();
        Self { harness, targets, naive: NaiveScheduler::new(settings, vec![1, 2, 3]), next: 0 }
    }

    fn pick(numbers: &[u32], index: usize) -> Option<u32> {
        numbers.get(index % numbers.len().max(1)).copied()
    }

    /// Returns the claim number of a request, which equals the request's number.
    fn claim(number: u32) -> ClaimNumber {
        ClaimNumber(u64::from(number))
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        let now = self.harness.now.as_ms();
        let input = match *event {
            Event::Submit { tier, workspace, idempotent, deadline_ms, size, prefix } => {
                self.next += 1;
                let request = SubmitRequest {
                    workspace: format!("w{workspace}"),
                    idempotent,
                    deadline_in_ms: deadline_ms,
                    prompt_tokens: 400 * size,
                    output_tokens: 10 * size,
                    // Requests with prefixes 2n and 2n + 1 share the first block.
                    prefix_hashes: vec![prefix / 2, 10 + prefix, 20 + prefix],
                    ..request(self.next, tier)
                };
                self.naive.submit(now, self.next, &request);
                PoolInput::Submit { entry: ENTRY, request }
            }
            Event::Commit { index } => {
                let Some(number) = Self::pick(&self.naive.running(), index) else { return Ok(()) };
                self.naive.commit(number);
                PoolInput::ClaimCommitted { key: key(number), claim: Self::claim(number) }
            }
            Event::FirstToken { index } => {
                let Some(number) = Self::pick(&self.naive.running(), index) else { return Ok(()) };
                self.naive.first_token(number);
                PoolInput::Progress(vec![StreamProgress {
                    key: key(number),
                    tokens: 0,
                    first_token_ms: Some(100),
                }])
            }
            Event::Finish { index } => {
                let Some(number) = Self::pick(&self.naive.running(), index) else { return Ok(()) };
                self.naive.end(number);
                PoolInput::Finish(FinishReport {
                    key: key(number),
                    claim: Self::claim(number),
                    outcome: RequestOutcome::Failed,
                    reason: Some(ReasonCode::UpstreamError),
                    cached_tokens: 0,
                    output_tokens: 0,
                    first_token_ms: 0,
                    total_ms: 0,
                })
            }
            Event::ConfirmCancel { index } => {
                let cancelled = self.naive.cancelled();
                let Some(number) = Self::pick(&cancelled, index) else { return Ok(()) };
                self.naive.end(number);
                PoolInput::CancelDone { key: key(number), claim: Self::claim(number) }
            }
            Event::Withdraw { index } => {
                let Some(number) = Self::pick(&self.naive.waiting(), index) else { return Ok(()) };
                self.naive.end(number);
                PoolInput::Withdraw { key: key(number) }
            }
            Event::Advance { ms } => {
                self.harness.now = self.harness.now.plus(ms);
                PoolInput::Tick
            }
        };
        self.compare(input)
    }

    fn compare(&mut self, input: PoolInput) -> Result<(), TestCaseError> {
        let mut actual: Vec<NaiveOutput> = self
            .harness
            .step_uncommitted(input)
            .into_iter()
            .filter_map(|output| self.simplify(&output))
            .collect();
        let mut expected = self.naive.run_step(self.harness.now.as_ms());
        actual.sort_unstable();
        expected.sort_unstable();
        prop_assert_eq!(actual, expected);
        Ok(())
    }

    fn simplify(&self, output: &PoolOutput) -> Option<NaiveOutput> {
        let number = |key: &burdockcleat_core::keys::RequestKey| u32::try_from(key.0).ok();
        match output {
            PoolOutput::Place { key, target, above_limit, .. } => Some(NaiveOutput::Place {
                number: number(key)?,
                target: self.targets.iter().position(|known| known == target)?,
                above: *above_limit,
            }),
            PoolOutput::Cancel { key, .. } => Some(NaiveOutput::Cancel { number: number(key)? }),
            PoolOutput::Refuse { key, reason, .. } => {
                Some(NaiveOutput::Refuse { number: number(key)?, deadline: by_deadline(*reason) })
            }
            PoolOutput::Suspect(_) => None,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/pool/differential.seeds",
        ))),
        ..ProptestConfig::default()
    })]

    /// Guards against indices of the scheduler (queues, timers, pairs, sums) that become
    /// inconsistent with the requests, so that its decisions differ from those of a full scan.
    #[test]
    fn decisions_equal_those_of_a_full_scan(events in prop::collection::vec(event(), 1..150)) {
        let mut comparison = Comparison::new();
        for event in &events {
            comparison.apply(event)?;
        }
    }
}
