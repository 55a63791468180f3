//! Test of the recovery after the loss of two data folders, as section "No leader" of
//! `docs/operators.md` describes it.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::client::{TimedCall, get};
use burdockcleat_testbed::cluster::{
    BATCH_MODEL, ClusterPlan, DOCUMENT, MODEL, MODEL_POOL, TestCluster,
};
use burdockcleat_testbed::command::{CommandOutput, OperatorCommand};
use burdockcleat_testbed::deployment::{Deployment, ProcessSignal, wait_until};
use burdockcleat_testbed::engine::{EngineSettings, FakeEngine};
use std::io::Write;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Configuration changes before the order, so that the new log reaches the fencing number of that
/// order only long after the recovery.
const CHANGE_COUNT: u64 = 300;

fn run(stage: &TestCluster, arguments: &[&str]) -> CommandOutput {
    OperatorCommand::new(&stage.deployment.control_urls()).run(arguments).unwrap()
}

fn engine(stage: &TestCluster) -> FakeEngine {
    let mut settings = EngineSettings::named("fenced", MODEL_POOL);
    settings.target.models = vec![MODEL.into()];
    settings.target.control_urls = stage.deployment.control_urls();
    settings.target.enforces_fencing = true;
    FakeEngine::spawn(settings).unwrap()
}

fn send_order(stage: &TestCluster, id: &str) -> CommandOutput {
    run(stage, &["order", "fenced", BATCH_MODEL, "--operation-id", id, "--wait", "10"])
}

fn control_ready(stage: &TestCluster, index: usize) -> bool {
    let url = format!("{}/readyz", stage.deployment.control_url(index));
    get(&url).is_ok_and(|answer| answer.status == 200)
}

/// Opens a stage, applies `CHANGE_COUNT` versions and an order, and replaces two control instances
/// by empty ones, so that no leader is left. Returns the stage, the engine that enforces fencing,
/// and a request that is still running.
fn stage_without_leader() -> (TestCluster, FakeEngine, JoinHandle<TimedCall>) {
    let plan = ClusterPlan { entries: 2, ..ClusterPlan::default() };
    let mut stage = TestCluster::open(plan).unwrap();
    let leader = stage.deployment.wait_leader().unwrap();
    for version in 1..=CHANGE_COUNT {
        let text = DOCUMENT.replacen("weight = 8", &format!("weight = {}", 20 + version), 1);
        let id = format!("change-{version}");
        assert_eq!(stage.deployment.apply(leader, version, &id, &text).unwrap().status, 200);
    }
    let fenced = engine(&stage);
    wait_until("the engine to be listed", 9_000, || {
        run(&stage, &["status", "--json"]).stdout.contains("\"fenced\"")
    })
    .unwrap();
    let ended = send_order(&stage, "before");
    assert_eq!(ended.status, 0, "{}", ended.stderr);
    let running = stage.completion(0, "running", 480).spawn();
    wait_until("the request to run", 5_000, || stage.dispatch_count() == 1).unwrap();
    stage.deployment.set_form_group(false);
    for index in [1, 2] {
        stage.deployment.signal(&Deployment::control_name(index), ProcessSignal::Kill).unwrap();
        stage.deployment.remove_data_folder(index).unwrap();
        stage.deployment.start_control(index).unwrap();
    }
    (stage, fenced, running)
}

/// Kills all control instances, removes their data folders, forms a new group and applies the copy
/// of the document.
fn form_new_group(stage: &mut TestCluster, copy: &str) {
    for index in 0..3 {
        stage.deployment.signal(&Deployment::control_name(index), ProcessSignal::Kill).unwrap();
        stage.deployment.remove_data_folder(index).unwrap();
    }
    stage.deployment.set_form_group(true);
    for index in 0..3 {
        stage.deployment.start_control(index).unwrap();
    }
    for index in 0..3 {
        wait_until("a control instance to be ready", 15_000, || control_ready(stage, index))
            .unwrap();
    }
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(copy.as_bytes()).unwrap();
    let ended = run(stage, &["apply", file.path().to_str().unwrap(), "--base", "0"]);
    assert_eq!(ended.status, 0, "{}", ended.stderr);
}

fn restart_entry(stage: &mut TestCluster, index: usize) {
    let name = Deployment::entry_name(index);
    stage.deployment.signal(&name, ProcessSignal::Terminate).unwrap();
    let status = stage.deployment.wait_exit(&name, 20_000).unwrap();
    assert!(status.is_some_and(|status| status.success()), "{name} did not drain: {status:?}");
    stage.deployment.restart(&name).unwrap();
    stage.deployment.wait_ready(index).unwrap();
}

/// Guards against a recovery after which entries have no leader or keep the lost configuration,
/// engines refuse orders as outdated, or running answers are cut.
#[test]
fn a_new_group_serves_again_once_entries_and_fenced_engines_are_restarted() {
    let (mut stage, mut fenced, running) = stage_without_leader();
    let ended = run(&stage, &["status", "--timeout", "3"]);
    assert_eq!(ended.status, 3, "{} {}", ended.stdout, ended.stderr);
    form_new_group(&mut stage, DOCUMENT);
    for index in 0..2 {
        let dump = stage.deployment.entry_dump(index).unwrap();
        assert_eq!(dump["session"]["config-version"], CHANGE_COUNT + 1, "a restart is not needed");
        restart_entry(&mut stage, index);
        let dump = stage.deployment.entry_dump(index).unwrap();
        assert_eq!(dump["session"]["config-version"], 1, "the lost configuration is in force");
    }
    // An engine that is not restarted refuses the lower fencing numbers of the new log.
    send_order(&stage, "stale");
    assert!(fenced.journal().orders.iter().any(|order| !order.applied), "no order was refused");
    fenced.stop();
    fenced = engine(&stage);
    thread::sleep(Duration::from_millis(2_000));
    for index in 0..2 {
        let call = stage.completion(index, &format!("after-{index}"), 3);
        assert_eq!(call.send().outcome(), "completed");
    }
    let ended = send_order(&stage, "after");
    assert_eq!(ended.status, 0, "{}", ended.stderr);
    assert_eq!(fenced.journal().orders.iter().filter(|order| order.applied).count(), 1);
    assert_eq!(running.join().unwrap().answer.outcome(), "completed");
    stage.deployment.set_form_group(false);
    for index in 0..3 {
        let name = Deployment::control_name(index);
        stage.deployment.signal(&name, ProcessSignal::Terminate).unwrap();
        stage.deployment.wait_exit(&name, 10_000).unwrap();
        stage.deployment.start_control(index).unwrap();
        wait_until("a control instance to be ready", 15_000, || control_ready(&stage, index))
            .unwrap();
    }
    assert_eq!(stage.completion(0, "last", 3).send().outcome(), "completed");
}
