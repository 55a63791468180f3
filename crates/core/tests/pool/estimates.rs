//! Rate estimates, straggler detection and prefix prediction.

use crate::support::{at, target};
use burdockcleat_core::estimate::{PrefixIndex, PrefixSettings, RateSettings, RateTable};
use burdockcleat_core::registry::{CacheChange, CacheEvent, TargetKey, TargetRegistry};
use proptest::prelude::*;

fn keys(count: u32) -> Vec<TargetKey> {
    let mut registry = TargetRegistry::default();
    (0..count)
        .map(|number| registry.announce(at(0), target(number, 1)).expect("consistent").0)
        .collect()
}

fn table(keys: &[TargetKey]) -> RateTable {
    let mut table = RateTable::new(RateSettings::default());
    for key in keys {
        table.insert(*key, "g1");
    }
    table
}

fn near(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() < expected * 0.05
}

/// Guards against an estimate that does not adapt to a changed rate.
#[test]
fn rate_follows_the_reports_with_its_half_life() {
    let keys = keys(1);
    let mut table = table(&keys);
    for step in 1..=400 {
        table.record_decode(at(step * 250), keys[0], 25.0, 250.0);
    }
    assert!(near(table.decode_rate(at(100_000), keys[0]), 0.1));
    for step in 1..=40 {
        table.record_decode(at(100_000 + step * 250), keys[0], 5.0, 250.0);
    }
    // After one half-life, the estimate is halfway between the old rate and the new rate.
    assert!(near(table.decode_rate(at(110_000), keys[0]), 0.06));
}

/// Guards against an idle target whose estimate stays at old reports or includes other hardware
/// generations.
#[test]
fn idle_target_returns_to_the_mean_of_its_generation() {
    let keys = keys(4);
    let mut table = table(&keys[..3]);
    table.insert(keys[3], "g2");
    for step in 1..=400 {
        let now = at(step * 250);
        if step <= 40 {
            table.record_decode(now, keys[0], 2.5, 250.0);
        }
        table.record_decode(now, keys[1], 25.0, 250.0);
        table.record_decode(now, keys[3], 100.0, 250.0);
    }
    assert!(near(table.decode_rate(at(200_000), keys[0]), 0.1));
    assert!(near(table.decode_rate(at(100_000), keys[2]), 0.1));
}

/// Guards against a straggler that is not detected within seconds, or that stays one after its rate
/// has recovered.
#[test]
fn straggler_is_detected_after_two_seconds_and_cleared() {
    let keys = keys(4);
    let mut table = table(&keys);
    let mut found = None;
    for step in 1..=80_u64 {
        let now = at(step * 250);
        for (index, key) in keys.iter().enumerate() {
            let slow = index == 0 && (20..60).contains(&step);
            table.record_decode(now, *key, if slow { 2.5 } else { 12.5 }, 250.0);
        }
        table.tick(now);
        if table.is_straggler(keys[0]) {
            found.get_or_insert(step * 250 - 5_000);
        }
        assert!(!table.is_straggler(keys[1]));
    }
    assert!(found.is_some_and(|after| (2_000..=5_000).contains(&after)), "{found:?}");
    assert!(!table.is_straggler(keys[0]));
}

fn index(block_limit: usize) -> PrefixIndex {
    PrefixIndex::new(PrefixSettings { block_tokens: 10, block_limit, ..PrefixSettings::default() })
}

fn event(sequence: u64, change: CacheChange) -> CacheEvent {
    CacheEvent { sequence, change }
}

/// Guards against counting blocks as cached although an earlier block of the prompt is missing.
#[test]
fn prediction_ends_at_the_first_missing_block() {
    let mut index = index(100);
    index.record_dispatch(&[1, 2, 3]);
    index.apply(&[event(1, CacheChange::Removed(vec![2]))]);
    assert!(near(index.cached_tokens(&[1, 2, 3], 100), 10.0));
}

/// Guards against full weight for predicted blocks after missed cache events.
#[test]
fn gap_halves_the_weight_until_blocks_are_confirmed() {
    let mut index = index(100);
    index.apply(&[event(1, CacheChange::Stored(vec![1, 2]))]);
    assert!(near(index.cached_tokens(&[1, 2], 100), 20.0));
    index.apply(&[event(4, CacheChange::Stored(vec![1]))]);
    assert!(near(index.cached_tokens(&[1, 2], 100), 15.0));
    index.record_dispatch(&[1, 2]);
    assert!(near(index.cached_tokens(&[1, 2], 100), 20.0));
}

/// Guards against applying events twice, which would remove blocks that were stored in between.
#[test]
fn repeated_events_are_skipped() {
    let mut index = index(100);
    let removed = [event(1, CacheChange::Removed(vec![1]))];
    index.apply(&removed);
    index.record_dispatch(&[1]);
    index.apply(&removed);
    assert!(near(index.cached_tokens(&[1], 100), 10.0));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an index that grows without bound or does not evict the least recently used
    /// block.
    #[test]
    fn index_holds_the_most_recently_used_blocks(
        dispatches in prop::collection::vec((0..12_u64, 1..6_u64), 1..80)
    ) {
        let mut index = index(8);
        let mut recent: Vec<u64> = Vec::new();
        for (start, count) in dispatches {
            let hashes: Vec<u64> = (start..start + count).collect();
            index.record_dispatch(&hashes);
            for hash in hashes.iter().rev() {
                recent.retain(|other| other != hash);
                recent.push(*hash);
            }
            let kept = recent.len().saturating_sub(8);
            recent.drain(..kept);
            prop_assert!(index.len() <= 8);
            for hash in 0..20 {
                let cached = index.cached_tokens(&[hash], 100) > 0.0;
                prop_assert_eq!(cached, recent.contains(&hash));
            }
        }
    }
}
