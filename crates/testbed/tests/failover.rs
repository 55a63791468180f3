//! Tests of control instances that are killed, frozen, cut off or lose their data while requests
//! wait and run.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_core::registry::TARGET_HEARTBEAT_TIMEOUT_MS;
use burdockcleat_testbed::cluster::{ClusterPlan, TestCluster};
use burdockcleat_testbed::deployment::{Deployment, ProcessSignal, wait_until};
use std::thread;
use std::time::Duration;

fn stage(entries: usize) -> TestCluster {
    TestCluster::open(ClusterPlan { entries, ..ClusterPlan::default() }).unwrap()
}

/// Starts a request every 100 ms and runs `inject_failure` after 500 ms. Returns the outcomes.
fn send_during(
    stage: &mut TestCluster,
    count: u64,
    inject_failure: impl FnOnce(&mut Deployment),
) -> Vec<String> {
    let calls: Vec<_> =
        (0..count).map(|number| stage.completion(0, &format!("r-{number}"), 30)).collect();
    thread::scope(|scope| {
        let workers: Vec<_> = calls
            .iter()
            .zip(0..)
            .map(|(call, number)| {
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(100 * number));
                    call.send().outcome().to_owned()
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        inject_failure(&mut stage.deployment);
        workers.into_iter().map(|worker| worker.join().unwrap()).collect()
    })
}

/// Guards against requests that are lost, run twice or refused while a new leader takes over.
#[test]
fn a_killed_leader_loses_no_request() {
    let mut stage = stage(1);
    let leader = stage.deployment.wait_leader().unwrap();
    let outcomes = send_during(&mut stage, 20, |deployment| {
        deployment.signal(&Deployment::control_name(leader), ProcessSignal::Kill).unwrap();
    });
    assert!(outcomes.iter().all(|outcome| outcome == "completed"), "{outcomes:?}");
    assert_eq!((stage.dispatch_count(), stage.max_dispatches()), (20, 1));
}

/// Guards against a leader that is frozen, resumed, and still acts as the leader.
#[test]
fn a_resumed_leader_does_not_act_as_leader() {
    let mut stage = stage(1);
    let leader = stage.deployment.wait_leader().unwrap();
    let name = Deployment::control_name(leader);
    let outcomes = send_during(&mut stage, 30, |deployment| {
        deployment.signal(&name, ProcessSignal::Stop).unwrap();
        thread::sleep(Duration::from_millis(2_500));
        deployment.signal(&name, ProcessSignal::Continue).unwrap();
    });
    assert!(outcomes.iter().all(|outcome| outcome == "completed"), "{outcomes:?}");
    assert_eq!((stage.dispatch_count(), stage.max_dispatches()), (30, 1));
}

/// Guards against a leader that accepts edits while it is cut off, and against one that keeps its
/// old state after the cut has ended.
#[test]
fn a_leader_that_is_cut_off_accepts_nothing() {
    let stage = stage(1);
    let deployment = &stage.deployment;
    let old = deployment.wait_leader().unwrap();
    deployment.isolate(&Deployment::control_name(old));
    let mut new = old;
    wait_until("another leader", 10_000, || {
        new = (0..3)
            .filter(|index| *index != old)
            .find(|index| is_leading(deployment, *index))
            .unwrap_or(old);
        new != old
    })
    .unwrap();
    let document = burdockcleat_testbed::cluster::DOCUMENT;
    let refused = deployment.apply(old, 1, "op-old", &document.replace("600", "601")).unwrap();
    assert_ne!(refused.status, 200, "{refused:?}");
    let accepted = deployment.apply(new, 1, "op-new", &document.replace("600", "602")).unwrap();
    assert_eq!((accepted.status, &accepted.body["version"]), (200, &2.into()));
    deployment.heal();
    wait_until("the old leader to follow", 10_000, || {
        let dump = deployment.control_dump(old).unwrap();
        dump["status"]["config_version"] == 2 && dump["leading"] == false
    })
    .unwrap();
    let conflict = deployment.apply(new, 1, "op-late", document).unwrap();
    assert_eq!((conflict.status, &conflict.body["current_version"]), (409, &2.into()));
    let resent = deployment.apply(new, 1, "op-new", &document.replace("600", "602")).unwrap();
    assert_eq!((resent.status, &resent.body["version"]), (200, &2.into()));
}

fn is_leading(deployment: &Deployment, index: usize) -> bool {
    deployment.control_dump(index).is_ok_and(|dump| dump["status"]["leading"] == true)
}

/// Guards against targets that announce themselves only to an instance that is cut off. The
/// instance must make them use another one, or the leader counts them as silent during the cut.
#[test]
fn targets_leave_an_instance_that_is_cut_off() {
    let stage = stage(1);
    // The fake targets announce themselves to the first instance until it fails.
    stage.deployment.isolate(&Deployment::control_name(0));
    thread::sleep(Duration::from_millis(2 * TARGET_HEARTBEAT_TIMEOUT_MS));
    let mut call = stage.completion(0, "during", 10);
    call.deadline_ms = 8_000;
    let during = call.send_timed();
    assert!(during.answer.done, "{during:?}");
    assert_eq!(stage.inconsistencies(&[during]), Vec::<String>::new());
}

/// Guards against the loss of accepted state with a data folder, and with a second instance right
/// after the first one has been replaced.
#[test]
fn a_lost_data_folder_is_replaced_and_a_second_loss_is_survived() {
    let mut stage = stage(1);
    let leader = stage.deployment.wait_leader().unwrap();
    let lost = (leader + 1) % 3;
    let name = Deployment::control_name(lost);
    stage.deployment.signal(&name, ProcessSignal::Kill).unwrap();
    stage.deployment.remove_data_folder(lost).unwrap();
    stage.deployment.restart(&name).unwrap();
    wait_until("the new identity to be the third voter", 20_000, || {
        let dump = stage.deployment.control_dump(leader).unwrap_or_default();
        let members = &dump["replica"]["members"];
        let voters = members["voters"].as_array().map_or(0, Vec::len);
        let learners = members["learners"].as_array().map_or(0, Vec::len);
        let names = stage.deployment.control_dump(lost).unwrap_or_default();
        (voters, learners) == (3, 0) && names["status"]["config_version"] == 1
    })
    .unwrap();
    stage.deployment.signal(&Deployment::control_name(leader), ProcessSignal::Kill).unwrap();
    let next = stage.deployment.wait_leader().unwrap();
    assert_ne!(next, leader);
    assert_eq!(stage.deployment.control_dump(next).unwrap()["status"]["config_version"], 1);
    stage.deployment.wait_ready(0).unwrap();
    assert_eq!(stage.completion(0, "after", 10).send().outcome(), "completed");
}
