//! Tests of changes of the scheduling of a pool with real processes.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::cluster::{ClusterPlan, DOCUMENT, TestCluster};
use burdockcleat_testbed::command::OperatorCommand;
use std::thread;
use std::time::Duration;

/// Requests of one round.
const REQUESTS_PER_ROUND: usize = 6;

/// Sends requests with the same long prompt one after the other. Returns how many each engine got.
fn send_round(stage: &TestCluster, name: &str) -> Vec<usize> {
    let count = |stage: &TestCluster| -> Vec<usize> {
        stage.engines.iter().map(|engine| engine.journal().dispatches.len()).collect()
    };
    let before = count(stage);
    for number in 0..REQUESTS_PER_ROUND {
        let mut call = stage.completion(0, &format!("{name}-{number}"), 3);
        call.prompt = "A hinge for the clinic door. ".repeat(100);
        assert_eq!(call.send().outcome(), "completed");
        // Cache events travel with the announcements, which are 500 ms apart.
        thread::sleep(Duration::from_millis(600));
    }
    count(stage).iter().zip(before).map(|(after, before)| after - before).collect()
}

/// Guards against a routing policy that takes effect only after a restart, or that `show` omits.
#[test]
fn a_routing_policy_changes_without_a_restart() {
    let stage = TestCluster::open(ClusterPlan { engines: 2, ..ClusterPlan::default() }).unwrap();
    let commands = OperatorCommand::new(&stage.deployment.control_urls());
    let leader = stage.deployment.wait_leader().unwrap();
    let mut counts = send_round(&stage, "own");
    counts.sort_unstable();
    assert_eq!(counts, [0, REQUESTS_PER_ROUND], "one engine holds the cached prompt");
    let default = "routing = \"estimated-completion\"";
    let text = DOCUMENT.replacen(default, "routing = \"round-robin\"", 1);
    let applied = stage.deployment.apply(leader, 1, "round-robin", &text).unwrap();
    assert_eq!(applied.status, 200, "{applied:?}");
    let shown = commands.run(&["show"]).unwrap();
    assert!(shown.stdout.contains("routing = \"round-robin\""), "{}", shown.stdout);
    assert_eq!(send_round(&stage, "turns"), [REQUESTS_PER_ROUND / 2, REQUESTS_PER_ROUND / 2]);
    assert_eq!(stage.deployment.apply(leader, 2, "own", DOCUMENT).unwrap().status, 200);
    let mut counts = send_round(&stage, "again");
    counts.sort_unstable();
    assert_eq!(counts, [0, REQUESTS_PER_ROUND]);
    assert_eq!(stage.deployment.wait_leader().unwrap(), leader);
}

/// Guards against a misspelt policy that is treated as the default.
#[test]
fn an_unknown_policy_is_refused_with_its_path() {
    let stage = TestCluster::open(ClusterPlan::default()).unwrap();
    let leader = stage.deployment.wait_leader().unwrap();
    let text = DOCUMENT.replacen("routing = \"estimated-completion\"", "routing = \"fastest\"", 1);
    let refused = stage.deployment.apply(leader, 1, "bad", &text).unwrap();
    assert_eq!(refused.status, 422, "{refused:?}");
    assert_eq!(refused.body["faults"][0]["path"], "pools[0].scheduling.routing");
    let accepted = stage.deployment.apply(leader, 1, "good", DOCUMENT).unwrap();
    assert_eq!(accepted.status, 200, "{accepted:?}");
}
