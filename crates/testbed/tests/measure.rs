//! Variants of the measurements.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_core::document::{ConfigDocument, SchedulingConfig};
use burdockcleat_testbed::measure::variants;

/// Guards against a variant that the document refuses in the middle of a long comparison, against
/// one that equals the default, and against a misspelt name that is left out.
#[test]
fn every_variant_is_a_valid_table_of_its_own() {
    let mut rules = Vec::new();
    for variant in variants("all").unwrap() {
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
    let two = variants("estimated-completion,random").unwrap();
    assert_eq!(
        two.iter().map(|variant| variant.name).collect::<Vec<_>>(),
        ["estimated-completion", "random"]
    );
    assert!(variants("random,fastest").unwrap_err().to_string().contains("\"fastest\""));
}
