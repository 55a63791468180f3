//! Tests of control instances that are killed together, one after the other or with an entry, and
//! of leaders that are cut off or frozen.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::client::{TimedCall, call_service};
use burdockcleat_testbed::cluster::{CREDENTIAL, ClusterPlan, TestCluster};
use burdockcleat_testbed::deployment::{Deployment, ProcessSignal, wait_until};
use serde_json::json;
use std::thread::{self, JoinHandle};
use std::time::Duration;

fn stage(entries: usize) -> TestCluster {
    TestCluster::open(ClusterPlan { entries, ..ClusterPlan::default() }).unwrap()
}

fn join(workers: Vec<JoinHandle<TimedCall>>) -> Vec<TimedCall> {
    workers.into_iter().map(|worker| worker.join().unwrap()).collect()
}

/// Starts a request every 150 ms, through each entry in turn.
fn send_paced(stage: &TestCluster, entries: usize, count: usize) -> Vec<JoinHandle<TimedCall>> {
    (0..count)
        .map(|number| {
            let call = stage.completion(number % entries, &format!("r-{number}"), 20);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(150 * number as u64));
                call.send_timed()
            })
        })
        .collect()
}

fn kill(stage: &mut TestCluster, name: &str) {
    stage.deployment.signal(name, ProcessSignal::Kill).unwrap();
}

fn assert_all_completed(calls: &[TimedCall]) {
    for sent in calls {
        assert_eq!(sent.answer.outcome(), "completed", "{sent:?}");
    }
}

/// Guards against streams that break when all control instances are down, and against claims that
/// are lost when all instances restart.
#[test]
fn streams_and_claims_survive_the_loss_of_all_control_instances() {
    let mut stage = stage(1);
    let ended = stage.completion(0, "ended", 10).send_timed();
    let running: Vec<_> =
        (0..4).map(|number| stage.completion(0, &format!("run-{number}"), 240).spawn()).collect();
    wait_until("the streams to run", 5_000, || stage.dispatch_count() == 5).unwrap();
    (0..3).for_each(|index| kill(&mut stage, &Deployment::control_name(index)));
    let waiting = stage.completion(0, "waiting", 10).spawn();
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(stage.dispatch_count(), 5, "a request was dispatched without a grant");
    (0..3).for_each(|index| stage.deployment.restart(&Deployment::control_name(index)).unwrap());
    let mut calls = join(running);
    calls.extend([ended, waiting.join().unwrap()]);
    assert_all_completed(&calls);
    let resends: Vec<_> = calls.iter().map(|sent| sent.call.send_timed()).collect();
    assert_all_completed(&resends);
    calls.extend(resends);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(stage.dispatch_count(), 6);
}

/// Guards against requests that are lost or run twice when a second leader is killed just after
/// entries and targets have connected to it.
#[test]
fn two_leaders_killed_in_a_row_lose_no_request() {
    let mut stage = stage(2);
    let workers = send_paced(&stage, 2, 40);
    thread::sleep(Duration::from_millis(500));
    let first = Deployment::control_name(stage.deployment.wait_leader().unwrap());
    kill(&mut stage, &first);
    let second = Deployment::control_name(stage.deployment.wait_leader().unwrap());
    assert_ne!(first, second);
    stage.deployment.restart(&first).unwrap();
    kill(&mut stage, &second);
    let calls = join(workers);
    assert_all_completed(&calls);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(stage.dispatch_count(), 40);
}

/// Guards against a new leader that waits for, or grants again, the requests of an entry that was
/// killed together with the old leader.
#[test]
fn a_leader_killed_together_with_an_entry_doubles_nothing() {
    let mut stage = stage(2);
    let workers = send_paced(&stage, 2, 24);
    thread::sleep(Duration::from_millis(1_000));
    let leader = Deployment::control_name(stage.deployment.wait_leader().unwrap());
    kill(&mut stage, &leader);
    kill(&mut stage, "entry-0");
    let mut calls = join(workers);
    let (lost, others): (Vec<_>, Vec<_>) =
        calls.iter().cloned().partition(|sent| sent.answer.outcome() == "none");
    assert!(!lost.is_empty(), "no request was in flight at the killed entry");
    assert_all_completed(&others);
    let resends = lost.iter().map(|sent| {
        let mut call = sent.call.clone();
        call.entry_url = stage.deployment.entry_url(1);
        call.spawn()
    });
    let resends = join(resends.collect());
    for sent in &resends {
        let outcome = sent.answer.outcome();
        assert!(["completed", "unknown"].contains(&outcome), "{sent:?}");
    }
    calls.extend(resends);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
}

/// Guards against a leader that is cut off from its peers and still sends grants to the entries
/// that it reaches.
#[test]
fn a_cut_off_leader_with_linked_entries_doubles_nothing() {
    let stage = stage(2);
    let old = stage.deployment.wait_leader().unwrap();
    let workers = send_paced(&stage, 2, 40);
    thread::sleep(Duration::from_millis(800));
    stage.deployment.isolate(&Deployment::control_name(old));
    thread::sleep(Duration::from_millis(3_500));
    stage.deployment.heal();
    let calls = join(workers);
    assert_all_completed(&calls);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(stage.dispatch_count(), 40);
}

/// Guards against a confirmation that runs twice after a frozen leader is resumed.
#[test]
fn a_leader_frozen_for_three_seconds_doubles_no_confirmation() {
    let mut stage = stage(2);
    let leader = Deployment::control_name(stage.deployment.wait_leader().unwrap());
    let path = "/svc/depot-orders/confirmations";
    let orders: Vec<_> = (0..20_u64)
        .map(|number| {
            let url = stage.deployment.entry_url(number as usize % 2);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(250 * number));
                let body = json!({ "part": "hinge-12", "count": number });
                call_service(&url, CREDENTIAL, &format!("order-{number}"), path, &body).unwrap()
            })
        })
        .collect();
    let mut model = stage.completion(0, "model", 240);
    model.headers.push(("x-idempotent".into(), "false".into()));
    let model = model.spawn();
    thread::sleep(Duration::from_millis(700));
    stage.deployment.signal(&leader, ProcessSignal::Stop).unwrap();
    thread::sleep(Duration::from_millis(3_000));
    stage.deployment.signal(&leader, ProcessSignal::Continue).unwrap();
    let answers: Vec<_> = orders.into_iter().map(|order| order.join().unwrap()).collect();
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    let calls = [model.join().unwrap()];
    assert_all_completed(&calls);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(stage.service.journal().dispatch_count(), 20);
}
