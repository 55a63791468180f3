//! Test of a request that crashes each target that runs it.

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
/// unrelated requests that ran on the same targets.
#[test]
fn a_request_that_crashes_its_targets_is_contained() {
    let mut stage = stage(1, 4);
    let fault = || FaultSet { crash_marker: Some("fatal".into()), ..FaultSet::default() };
    stage.engines.iter().for_each(|engine| engine.set_fault(fault()));
    let unrelated: Vec<_> =
        (0..8).map(|number| stage.completion(0, &format!("i-{number}"), 240).spawn()).collect();
    wait_until("the unrelated streams to run", 5_000, || stage.dispatch_count() == 8).unwrap();
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
        // Waits for the announcement of the new incarnation, which shows that the target crashed.
        thread::sleep(Duration::from_millis(700));
    }
    let last = &calls.last().unwrap().answer;
    assert_eq!((last.outcome(), &last.error["reason"]), ("not_run", &"crashes_targets".into()));
    assert!(crashes <= 3, "{crashes} engines crashed");
    let unrelated = join(unrelated);
    assert!(
        unrelated.iter().any(|sent| sent.answer.outcome() == "failed"),
        "no unrelated stream ran on a crashed engine"
    );
    let resent: Vec<_> = unrelated
        .iter()
        .filter(|sent| !sent.answer.done)
        .map(|sent| {
            let mut call = sent.call.clone();
            call.request_id.push_str("-again");
            call.spawn()
        })
        .collect();
    let resent = join(resent);
    assert!(resent.iter().all(|sent| sent.answer.done), "{resent:?}");
    calls.extend(unrelated.into_iter().chain(resent));
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
}
