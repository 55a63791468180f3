//! Tests of drains of entries and targets.

use super::{commands, stage};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_testbed::cluster::{MODEL, MODEL_POOL, TestCluster};
use burdockcleat_testbed::deployment::{Deployment, ProcessSignal, wait_until};
use burdockcleat_testbed::engine::{EngineSettings, FakeEngine};
use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

fn status(stage: &TestCluster) -> Value {
    commands(stage).run(&["status", "--json"]).unwrap().json()
}

/// Returns a field of `entry-0` in the status.
fn entry_status(stage: &TestCluster, field: &str) -> Value {
    let entries = status(stage)["entries"].as_array().cloned().unwrap_or_default();
    let entry = entries.into_iter().find(|entry| entry["name"] == "entry-0");
    entry.unwrap_or_default()[field].clone()
}

/// Guards against a drain that cuts the requests of its entry or does not stop it, and against a
/// resent drain that stops the entry again.
#[test]
fn a_drained_entry_finishes_its_requests() {
    let mut stage = stage(2, 2);
    let calls: Vec<_> =
        (0..12).map(|number| stage.completion(0, &format!("r-{number}"), 120)).collect();
    let running: Vec<_> =
        calls.into_iter().map(|call| thread::spawn(move || call.send())).collect();
    wait_until("all requests to run", 5_000, || entry_status(&stage, "running") == 12).unwrap();
    let drain = ["drain", "entry", "entry-0", "--operation-id", "d", "--json"];
    let ended = commands(&stage).run(&drain).unwrap();
    assert_eq!((ended.status, &ended.json()["running"]), (0, &12.into()), "{}", ended.stderr);
    assert_eq!(entry_status(&stage, "draining"), true);
    let answers: Vec<_> = running.into_iter().map(|call| call.join().unwrap()).collect();
    for answer in answers {
        assert!(answer.done && answer.tokens.len() == 120, "{}", answer.error);
    }
    let exit = stage.deployment.wait_exit("entry-0", 9_000).unwrap();
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?}");
    // A resend gets the first result and does not drain the restarted entry.
    stage.deployment.restart("entry-0").unwrap();
    stage.deployment.wait_ready(0).unwrap();
    assert_eq!(commands(&stage).run(&drain).unwrap().status, 0);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(stage.completion(0, "after", 3).send().outcome(), "completed");
}

/// Sends short requests until `stop` is set. Returns how many were not completed.
fn send_load(stage: &TestCluster, stop: &AtomicBool) -> usize {
    let failed = thread::scope(|scope| {
        let workers: Vec<_> = (0..4)
            .map(|worker| {
                scope.spawn(move || {
                    let mut failed = 0;
                    for number in 0.. {
                        if stop.load(Ordering::SeqCst) {
                            break;
                        }
                        let call = stage.completion(0, &format!("load-{worker}-{number}"), 6);
                        failed += usize::from(call.send().outcome() != "completed");
                    }
                    failed
                })
            })
            .collect();
        workers.into_iter().map(|worker| worker.join().unwrap()).collect::<Vec<usize>>()
    });
    failed.into_iter().sum()
}

/// Counts the dispatches that an engine received after a wall clock time.
fn dispatches_after(engine: &FakeEngine, at_ms: u64) -> usize {
    engine.journal().dispatches.iter().filter(|record| record.at_ms > at_ms).count()
}

/// Guards against a target that still gets requests 3 s after its drain, or gets them again from a
/// new leader, and against a drain that also applies to the next incarnation of the target.
#[test]
fn a_drained_target_gets_no_work_from_any_leader() {
    let mut stage = stage(1, 2);
    let stop = AtomicBool::new(false);
    let leader = stage.deployment.wait_leader().unwrap();
    let (drained_at, failed) = thread::scope(|scope| {
        let loading = scope.spawn(|| send_load(&stage, &stop));
        thread::sleep(Duration::from_millis(1_000));
        assert!(dispatches_after(&stage.engines[0], 0) > 0, "the engine had work before");
        let ended = commands(&stage).run(&["drain", "target", "engine-0", "--wait", "9"]).unwrap();
        let drained_at = ClockTime::wall().as_ms();
        assert_eq!(ended.status, 0, "{}", ended.stderr);
        thread::sleep(Duration::from_millis(4_500));
        stop.store(true, Ordering::SeqCst);
        (drained_at, loading.join().unwrap())
    });
    assert_eq!(failed, 0);
    assert_eq!(dispatches_after(&stage.engines[0], drained_at), 0);
    assert!(dispatches_after(&stage.engines[1], drained_at) > 20);

    stage.deployment.signal(&Deployment::control_name(leader), ProcessSignal::Kill).unwrap();
    stage.deployment.wait_leader().unwrap();
    stop.store(false, Ordering::SeqCst);
    let failed = thread::scope(|scope| {
        let loading = scope.spawn(|| send_load(&stage, &stop));
        thread::sleep(Duration::from_millis(3_000));
        stop.store(true, Ordering::SeqCst);
        loading.join().unwrap()
    });
    assert_eq!(failed, 0);
    assert_eq!(
        dispatches_after(&stage.engines[0], drained_at),
        0,
        "the new leader does not know the drain"
    );
    let targets = status(&stage)["targets"].clone();
    let target = targets.as_array().unwrap().iter().find(|target| target["name"] == "engine-0");
    assert_eq!(target.unwrap()["state"], "draining");

    stage.engines[0].stop();
    let mut settings = EngineSettings::named("engine-0", MODEL_POOL);
    settings.target.models = vec![MODEL.into()];
    settings.target.control_urls = stage.deployment.control_urls();
    let next = FakeEngine::spawn(settings).unwrap();
    wait_until("the next incarnation to get work", 9_000, || {
        stage.completion(0, &format!("n-{}", rand::random::<u64>()), 3).send();
        next.journal().dispatch_count() > 0
    })
    .unwrap();
}
