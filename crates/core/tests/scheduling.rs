//! Table `[pools.scheduling]` of the configuration document.

use burdockcleat_core::admission::pool_settings;
use burdockcleat_core::document::{ConfigDocument, RoutingChoice, SchedulingConfig};
use burdockcleat_core::pool::{PoolSettings, RoutingPolicy};

const BUREAU: &str = include_str!("../../../examples/bureau.toml");
const KERLOUAN: &str = include_str!("../../../examples/kerlouan.toml");

/// Returns the example document with these lines in the scheduling table of its first pool.
fn with_scheduling(lines: &str) -> String {
    let head = "[[pools]]\nname = \"depot-orders\"";
    let table = format!("[pools.scheduling]\n{lines}\n\n{head}");
    let start = BUREAU.find("[pools.scheduling]").expect("the example has the table");
    let end = BUREAU.find("# Plain services").expect("the example has services");
    format!("{}{}", &BUREAU[..start], BUREAU[end..].replacen(head, &table, 1))
}

fn settings_of(lines: &str) -> PoolSettings {
    let document = ConfigDocument::parse(&with_scheduling(lines)).expect("a valid document");
    pool_settings(&document, document.pool("hinge-model").expect("the pool"))
}

// Guards against a routing policy, switch or number of the document that does not reach the
// scheduler.
#[test]
fn every_setting_reaches_the_scheduler() {
    for (word, index) in RoutingChoice::NAMES.iter().zip(0..) {
        let routing = settings_of(&format!("routing = \"{word}\"")).routing;
        let expected = match index {
            0 => matches!(routing, RoutingPolicy::EstimatedCompletion),
            1 => matches!(routing, RoutingPolicy::Random { .. }),
            2 => matches!(routing, RoutingPolicy::RoundRobin),
            3 => matches!(routing, RoutingPolicy::LeastReported),
            _ => matches!(routing, RoutingPolicy::LeastInFlight),
        };
        assert!(expected, "{word} chose {routing:?}");
    }
    let keys = [
        "prefix-term",
        "preemption",
        "fair-share",
        "deadline-order",
        "straggler-avoidance",
        "computing-wait",
        "overtaking",
        "tiered-shedding",
    ];
    for (position, key) in keys.iter().enumerate() {
        let switches = settings_of(&format!("{key} = false")).switches;
        let values = [
            switches.prefix_term,
            switches.preemption,
            switches.fair_share,
            switches.deadline_order,
            switches.straggler_avoidance,
            switches.computing_wait,
            switches.overtaking,
            switches.tiered_shedding,
        ];
        let off: Vec<usize> = (0..values.len()).filter(|index| !values[*index]).collect();
        assert_eq!(off, [position], "{key}");
    }
    let numbers = "prefill-weight-percent = 150\ncache-wait-percent = 25\n\
                   slack-wait-percent = 3\nfailure-limit = 7";
    let settings = settings_of(numbers);
    assert_eq!((settings.prefill_weight, settings.cache_wait_share), (1.5, 0.25));
    assert_eq!((settings.slack_wait_share, settings.failure_limit), (0.03, 7));
}

// Guards against defaults of the document that differ from those of the scheduler, and against
// examples that state other values than the defaults.
#[test]
fn a_pool_without_the_table_runs_with_the_defaults_of_the_scheduler() {
    let (settings, plain) = (settings_of(""), PoolSettings::default());
    assert_eq!((settings.routing, settings.switches), (plain.routing, plain.switches));
    assert_eq!(settings.prefill_weight, plain.prefill_weight);
    assert_eq!(settings.cache_wait_share, plain.cache_wait_share);
    assert_eq!(settings.slack_wait_share, plain.slack_wait_share);
    assert_eq!(settings.failure_limit, plain.failure_limit);
    for text in [BUREAU, KERLOUAN] {
        let document = ConfigDocument::parse(text).expect("a valid example");
        for pool in document.pools() {
            assert_eq!(pool.scheduling, SchedulingConfig::default(), "{}", pool.name);
        }
    }
}

// Guards against an error in the table that names only the pool, and against one that hides the
// others.
#[test]
fn faults_in_the_table_have_the_path_of_their_field() {
    let lines = "routing = \"fastest\"\npreemption = \"no\"\nfailure-limit = 0\n\
                 cache-wait-percent = -1\ncolour = 1";
    let faults = ConfigDocument::parse(&with_scheduling(lines)).expect_err("faults");
    let mut found: Vec<String> = faults.iter().map(ToString::to_string).collect();
    found.sort();
    assert_eq!(found.len(), 5, "{found:#?}");
    let at = |key: &str| format!("pools[0].scheduling.{key}: ");
    assert_eq!(found[0], at("cache-wait-percent") + "-1 is outside the range 0 to 100000");
    assert!(found[1].starts_with(&(at("colour") + "unknown field")), "{}", found[1]);
    assert_eq!(found[2], at("failure-limit") + "0 is outside the range 1 to 1000000");
    assert!(found[3].starts_with(&at("preemption")), "{}", found[3]);
    assert!(found[4].starts_with(&at("routing")), "{}", found[4]);
    for word in RoutingChoice::NAMES {
        assert!(found[4].contains(word), "{} does not name {word}", found[4]);
    }
    let faults = ConfigDocument::parse(&with_scheduling("").replacen(
        "[pools.scheduling]",
        "scheduling = 3\n",
        1,
    ))
    .expect_err("no table");
    assert_eq!(faults[0].path, "pools[0].scheduling");
}

// Guards against a serialized document that has fields of the pool in the nested table, and against
// a diff that shows the whole table for one changed field.
#[test]
fn the_table_is_written_and_compared_by_field() {
    let old = ConfigDocument::parse(&with_scheduling("")).expect("a valid document");
    let new = ConfigDocument::parse(&with_scheduling("routing = \"random\"\nfair-share = false"))
        .expect("a valid document");
    let text = new.to_toml();
    assert!(
        text.contains("[pools.scheduling]\nfair-share = false\nrouting = \"random\"\n"),
        "{text}"
    );
    assert_eq!(ConfigDocument::parse(&text), Ok(new.clone()));
    let changes: Vec<String> = old.changes_to(&new).iter().map(ToString::to_string).collect();
    let path = "~ pools.hinge-model.scheduling";
    assert_eq!(
        changes,
        [
            format!("{path}.fair-share: true -> false"),
            format!("{path}.routing: \"estimated-completion\" -> \"random\""),
        ]
    );
}
