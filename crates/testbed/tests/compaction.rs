//! Test of a control instance that was down while the log was compacted.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::client::{get, post};
use burdockcleat_testbed::cluster::DOCUMENT;
use burdockcleat_testbed::deployment::{Deployment, ProcessSignal, wait_until};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Number of configuration changes, enough to compact the log more than once.
const CHANGE_COUNT: u64 = 400;
/// Elections in which the instance that was down may become the leader. Each is between two
/// instances with the same log, so either can win.
const MAX_ELECTIONS: usize = 12;

fn document(version: u64) -> String {
    DOCUMENT.replacen("weight = 8", &format!("weight = {}", 1 + version % 900), 1)
}

/// Applies a version at an instance, or at the leader to which the instance redirects.
fn apply_version(deployment: &Deployment, at: usize, version: u64) {
    let body = json!({
        "base_version": version - 1,
        "operation_id": format!("change-{version}"),
        "author": "testbed",
        "document": document(version),
    });
    let mut answer = post(&format!("{}/v1/config", deployment.control_url(at)), &body).unwrap();
    if answer.status == 421 {
        let leader = answer.body["leader"].as_str().unwrap().to_owned();
        answer = post(&format!("{leader}/v1/config"), &body).unwrap();
    }
    assert_eq!((answer.status, &answer.body["version"]), (200, &version.into()));
}

fn config_version(deployment: &Deployment, index: usize) -> Option<u64> {
    deployment.control_dump(index).ok()?["state"]["config_version"].as_u64()
}

/// Polls an instance until the returned flag is set. The returned thread collects each answer with
/// a version older than `newest`.
fn watch_versions(url: String, newest: u64) -> (Arc<AtomicBool>, thread::JoinHandle<Vec<String>>) {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = Arc::clone(&stop);
    let watcher = thread::spawn(move || {
        let mut outdated = Vec::new();
        while !stopped.load(Ordering::Acquire) {
            for (path, field) in [("config", "version"), ("status", "config_version")] {
                let answer = get(&format!("{url}/v1/{path}"));
                let Ok(answer) = answer else { continue };
                if answer.status == 200 && answer.body[field].as_u64() < Some(newest) {
                    outdated.push(format!("{path}: {}", answer.body));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        outdated
    });
    (stop, watcher)
}

fn is_ready(deployment: &Deployment, index: usize) -> bool {
    let url = format!("{}/readyz", deployment.control_url(index));
    get(&url).is_ok_and(|answer| answer.status == 200)
}

/// Kills leaders until this instance leads. Returns the instance that was killed last and is still
/// down.
fn force_leadership(deployment: &mut Deployment, index: usize) -> usize {
    for _ in 0..MAX_ELECTIONS {
        let leader = deployment.wait_leader().unwrap();
        let other = (0..3).find(|other| ![leader, index].contains(other)).unwrap();
        if leader == index {
            let name = Deployment::control_name(other);
            deployment.signal(&name, ProcessSignal::Kill).unwrap();
            return other;
        }
        let name = Deployment::control_name(leader);
        deployment.signal(&name, ProcessSignal::Kill).unwrap();
        if deployment.wait_leader().unwrap() == index {
            return leader;
        }
        deployment.restart(&name).unwrap();
        wait_until("the killed instance to be ready", 10_000, || is_ready(deployment, leader))
            .unwrap();
    }
    panic!("control-{index} never led");
}

/// Guards against an instance that misses a compaction and then keeps an old document, reports it
/// as the confirmed one, or can no longer lead.
#[test]
fn an_instance_that_missed_a_compaction_catches_up_and_leads() {
    let mut deployment = Deployment::open(3).unwrap();
    deployment.add_control_flag("--compact-after=200");
    for index in 0..3 {
        deployment.start_control(index).unwrap();
    }
    deployment.start_entry(0).unwrap();
    let leader = deployment.wait_leader().unwrap();
    apply_version(&deployment, leader, 1);
    deployment.wait_ready(0).unwrap();
    let (lagging, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let name = Deployment::control_name(lagging);
    wait_until("the first version everywhere", 5_000, || {
        config_version(&deployment, lagging) == Some(1)
    })
    .unwrap();
    let last_index =
        deployment.control_dump(lagging).unwrap()["replica"]["last_index"].as_u64().unwrap();
    deployment.signal(&name, ProcessSignal::Kill).unwrap();
    for version in 2..=CHANGE_COUNT {
        apply_version(&deployment, [leader, other][version as usize % 2], version);
    }
    for index in [leader, other] {
        let dump = deployment.control_dump(index).unwrap();
        let snapshot = dump["replica"]["snapshot_index"].as_u64().unwrap();
        // A quarter of the `--compact-after` bound stays in the log before the snapshot.
        assert!(
            snapshot > last_index + 50,
            "control-{index} still has the entries that control-{lagging} lacks: {snapshot}"
        );
    }
    let (stop, watcher) = watch_versions(deployment.control_url(lagging), CHANGE_COUNT);
    deployment.restart(&name).unwrap();
    wait_until("the instance to catch up", 10_000, || {
        config_version(&deployment, lagging) == Some(CHANGE_COUNT) && is_ready(&deployment, lagging)
    })
    .unwrap();
    let log = std::fs::read_to_string(deployment.log_file(&name)).unwrap();
    assert!(log.contains("snapshot_installed"), "no snapshot was installed");
    let down = force_leadership(&mut deployment, lagging);
    let url = deployment.control_url(lagging);
    let mut config = None;
    wait_until("the new leader to confirm its document", 5_000, || {
        config = get(&format!("{url}/v1/config")).ok().filter(|answer| answer.status == 200);
        config.is_some()
    })
    .unwrap();
    let body = config.unwrap().body;
    assert_eq!(body["version"], CHANGE_COUNT);
    assert_eq!(body["document"].as_str(), Some(document(CHANGE_COUNT).as_str()));
    assert!(deployment.control_dump(down).is_err(), "control-{down} should be down");
    apply_version(&deployment, lagging, CHANGE_COUNT + 1);
    wait_until("the entry to hold the newest version", 9_000, || {
        let dump = deployment.entry_dump(0).unwrap_or_default();
        dump["ready"] == true && dump["session"]["config-version"] == CHANGE_COUNT + 1
    })
    .unwrap();
    stop.store(true, Ordering::Release);
    assert_eq!(watcher.join().unwrap(), Vec::<String>::new(), "an outdated version was confirmed");
}
