//! Distribution of real output lengths against the expected ones.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{LengthCurve, OutputLengths};
use std::sync::Arc;

/// Returns the curve for outputs of 1 to 200 tokens of which 100 were expected. Outputs longer than
/// `cut_at` are cut there.
fn curve(cut_at: u32) -> Arc<LengthCurve> {
    let mut lengths = OutputLengths::default();
    for round in 0..600 {
        let length = round * 77 % 200 + 1;
        lengths.observe((0, 100), length.min(cut_at), length <= cut_at, ClockTime::default());
    }
    lengths.curve(0).expect("a curve").clone()
}

/// Guards against a wrong probability of a length, which decides on targets and refusals.
#[test]
fn probabilities_follow_the_observed_lengths() {
    let curve = curve(1_000);
    for (tokens, exceeds) in [(20.0, 0.9), (100.0, 0.5), (150.0, 0.25), (400.0, 0.0)] {
        let found = curve.exceeds(100, tokens);
        assert!((found - exceeds).abs() < 0.05, "{tokens}: {found}");
    }
    let upper = curve.upper_tokens(100, 0.01).expect("enough outputs");
    assert!((190.0..=240.0).contains(&upper), "{upper}");
    let mean = curve.mean_tokens(100, 1_000);
    assert!((90.0..110.0).contains(&mean), "{mean}");
}

/// Guards against lengths of outputs that were cut as if they had ended there: long outputs would
/// seem never to be longer than their deadline allows.
#[test]
fn outputs_that_were_cut_are_lower_bounds() {
    let curve = curve(120);
    assert!((curve.exceeds(100, 100.0) - 0.5).abs() < 0.05);
    assert!((curve.exceeds(100, 180.0) - 0.4).abs() < 0.05, "{}", curve.exceeds(100, 180.0));
    assert_eq!(curve.upper_tokens(100, 0.01), None);
}

/// Guards against an estimate of the longest outputs from a few short ones.
#[test]
fn few_outputs_give_no_upper_estimate() {
    let mut lengths = OutputLengths::default();
    for count in 1..99 {
        lengths.observe((0, 100), 100, true, ClockTime::default());
        let curve = lengths.curve(0).expect("a curve");
        assert_eq!(curve.upper_tokens(100, 0.01), None, "{count}");
    }
    assert!(lengths.curve(1).is_none());
}
