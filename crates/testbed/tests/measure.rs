//! Test of the scheduling variants that the measurements compare.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_core::document::{ConfigDocument, SchedulingConfig};
use burdockcleat_testbed::measure::parse_variants;

/// Guards against a variant that is refused in the middle of a long comparison, against one that
/// equals the default or another variant, and against a misspelt name that is ignored.
#[test]
fn every_variant_is_valid_and_unique() {
    let mut rules = Vec::new();
    for variant in parse_variants("all").unwrap() {
        let text = format!(
            "[[tiers]]\nname = \"t\"\nrank = 0\n[[pools]]\nname = \"p\"\nmodels = [\"m\"]\n\
             [pools.scheduling]\n{}\n",
            variant.scheduling
        );
        let document = ConfigDocument::parse(&text).unwrap();
        let rule = document.pools()[0].scheduling.clone();
        assert_eq!(rule == SchedulingConfig::default(), variant.scheduling.is_empty());
        assert!(!rules.contains(&rule), "{} equals another variant", variant.name);
        rules.push(rule);
    }
    assert_eq!(rules.len(), 17);
    let two = parse_variants("estimated-completion,random").unwrap();
    assert_eq!(
        two.iter().map(|variant| variant.name).collect::<Vec<_>>(),
        ["estimated-completion", "random"]
    );
    assert!(parse_variants("random,fastest").unwrap_err().to_string().contains("\"fastest\""));
}
