//! A request that crashes each target that runs it.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::client::TimedCall;
use burdockcleat_testbed::cluster::{ClusterPlan, TestCluster};
use burdockcleat_testbed::deployment::wait_until;
use burdockcleat_testbed::fault::FaultSet;
use std::thread::{self, JoinHandle};
use std::time::Duration;

fn stage(entries: usize, engines: usize) -> TestCluster {
    TestCluster::open(ClusterPlan { entries, engines, ..ClusterPlan::default() }).unwrap()
}

fn join(workers: Vec<JoinHandle<TimedCall>>) -> Vec<TimedCall> {
    workers.into_iter().map(|worker| worker.join().unwrap()).collect()
}

/// Guards against a request that crashes one target after the other, and against the refusal of
/// innocent requests that ran beside it.
#[test]
fn a_request_that_crashes_its_targets_is_contained() {
    let mut stage = stage(1, 4);
    let fault = || FaultSet { crash_marker: Some("fatal".into()), ..FaultSet::default() };
    stage.engines.iter().for_each(|engine| engine.set_fault(fault()));
    let innocent: Vec<_> =
        (0..8).map(|number| stage.completion(0, &format!("i-{number}"), 240).spawn()).collect();
    wait_until("the innocent streams to run", 5_000, || stage.dispatch_count() == 8).unwrap();
    let mut crashes = 0;
    let mut calls = Vec::new();
    for attempt in 0..8 {
        let mut call = stage.completion(0, &format!("fatal-{attempt}"), 10);
        call.prompt = "fatal content".into();
        calls.push(call.send_timed());
        let reason = calls[attempt].answer.error["reason"].clone();
        if reason == "crashes_targets" {
            break;
        }
        assert_eq!(reason, "upstream_cut", "{calls:?}");
        let crashed = stage.engines.iter().position(|engine| engine.is_crashed()).unwrap();
        crashes += 1;
        stage.restart_engine(crashed).unwrap();
        stage.engines[crashed].set_fault(fault());
        // The new incarnation is announced at once and explains the cut.
        thread::sleep(Duration::from_millis(700));
    }
    let last = &calls.last().unwrap().answer;
    assert_eq!((last.outcome(), &last.error["reason"]), ("not_run", &"crashes_targets".into()));
    assert!(crashes <= 3, "{crashes} engines crashed");
    let innocent = join(innocent);
    assert!(innocent.iter().any(|sent| sent.answer.outcome() == "failed"), "none shared a batch");
    let again: Vec<_> = innocent
        .iter()
        .filter(|sent| !sent.answer.done)
        .map(|sent| {
            let mut call = sent.call.clone();
            call.request_id.push_str("-again");
            call.spawn()
        })
        .collect();
    let again = join(again);
    assert!(again.iter().all(|sent| sent.answer.done), "{again:?}");
    calls.extend(innocent.into_iter().chain(again));
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
}
