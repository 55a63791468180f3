//! Tests of the graceful shutdown of an entry and of the control leader under load.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::client::{TimedCall, get};
use burdockcleat_testbed::cluster::{ClusterPlan, TestCluster};
use burdockcleat_testbed::deployment::{Deployment, ProcessSignal, wait_until};
use std::thread::{self, JoinHandle};
use std::time::Duration;

fn join(workers: Vec<JoinHandle<TimedCall>>) -> Vec<TimedCall> {
    workers.into_iter().map(|worker| worker.join().unwrap()).collect()
}

/// Guards against a shutdown that cuts a stream, drops a waiting request, or refuses new requests
/// before the load balancer can notice it.
#[test]
fn a_terminated_entry_finishes_what_it_accepted() {
    let plan = ClusterPlan { entries: 2, engines: 1, slots: 2, ..ClusterPlan::default() };
    let mut stage = TestCluster::open(plan).unwrap();
    let mut workers: Vec<_> =
        (0..4).map(|number| stage.completion(0, &format!("r-{number}"), 90).spawn()).collect();
    wait_until("two streams to run", 5_000, || stage.dispatch_count() == 2).unwrap();
    let ready = format!("{}/readyz", stage.deployment.entry_operator_url(0));
    assert_eq!(get(&ready).unwrap().status, 200);
    stage.deployment.signal("entry-0", ProcessSignal::Terminate).unwrap();
    // The daemon checks for signals every 100 ms and then accepts requests for 500 ms more.
    wait_until("readiness to be withdrawn", 400, || {
        get(&ready).is_ok_and(|answer| answer.status == 503)
    })
    .unwrap();
    workers.push(stage.completion(0, "in-grace", 10).spawn());
    thread::sleep(Duration::from_millis(1_000));
    let late = stage.completion(0, "late", 10).send_timed();
    let outcome = late.answer.outcome();
    assert!(["none", "unknown"].contains(&outcome), "accepted after the grace period: {late:?}");
    let mut calls = join(workers);
    assert!(calls.iter().all(|sent| sent.answer.done), "{calls:?}");
    let status = stage.deployment.wait_exit("entry-0", 5_000).unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
    let elsewhere = stage.completion(1, "late", 10).send_timed();
    assert!(elsewhere.answer.done, "{elsewhere:?}");
    calls.extend([late, elsewhere]);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(stage.dispatch_count(), 6);
}

/// Guards against requests that are refused, lost or run twice, and against a pause as long as
/// after a crash, when the leader is stopped by a signal.
#[test]
fn a_terminated_leader_hands_over_and_loses_nothing() {
    let mut stage =
        TestCluster::open(ClusterPlan { entries: 2, ..ClusterPlan::default() }).unwrap();
    let leader = stage.deployment.wait_leader().unwrap();
    let name = Deployment::control_name(leader);
    let workers: Vec<_> = (0..30)
        .map(|number| {
            let call = stage.completion(number % 2, &format!("r-{number}"), 30);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(100 * number as u64));
                call.send_timed()
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    stage.deployment.signal(&name, ProcessSignal::Terminate).unwrap();
    let status = stage.deployment.wait_exit(&name, 5_000).unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
    let calls = join(workers);
    assert!(calls.iter().all(|sent| sent.answer.done), "{calls:?}");
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(stage.dispatch_count(), 30);
    assert_ne!(stage.deployment.wait_leader().unwrap(), leader);
}
