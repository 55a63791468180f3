//! Tests of failures of several processes at the same time.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_core::clock::ClockTime;
use burdockcleat_testbed::client::{JsonAnswer, TimedCall, get, post};
use burdockcleat_testbed::cluster::{ClusterPlan, DOCUMENT, TestCluster, request_key};
use burdockcleat_testbed::deployment::{Deployment, ProcessSignal, wait_until};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time after its leave from which a target must get no new requests (P6 in `docs/design.md`).
const LEAVE_BOUND_MS: u64 = 3_000;

fn stage(entries: usize, engines: usize, slots: u32) -> TestCluster {
    TestCluster::open(ClusterPlan { entries, engines, slots, ..ClusterPlan::default() }).unwrap()
}

fn join(workers: Vec<JoinHandle<TimedCall>>) -> Vec<TimedCall> {
    workers.into_iter().map(|worker| worker.join().unwrap()).collect()
}

fn leader_name(stage: &TestCluster) -> String {
    Deployment::control_name(stage.deployment.wait_leader().unwrap())
}

fn signal(stage: &mut TestCluster, name: &str, signal: ProcessSignal) {
    stage.deployment.signal(name, signal).unwrap();
}

/// Polls the configuration versions of all processes and records each version that is older than
/// one that the same process reported before.
struct VersionMonitor {
    stop: Arc<AtomicBool>,
    workers: Vec<JoinHandle<Vec<String>>>,
}

impl VersionMonitor {
    fn spawn(stage: &TestCluster, entries: usize) -> Self {
        let controls = stage.deployment.control_urls().into_iter();
        let entries = (0..entries).map(|entry| stage.deployment.entry_operator_url(entry));
        let urls = controls.map(|url| format!("{url}/v1/dump"));
        let urls = urls.chain(entries.map(|url| format!("{url}/dump")));
        let stop = Arc::new(AtomicBool::new(false));
        let workers = urls
            .map(|url| {
                let stop = Arc::clone(&stop);
                thread::spawn(move || find_version_regressions(&url, &stop))
            })
            .collect();
        Self { stop, workers }
    }

    /// Stops polling and returns a description of each version that went back.
    fn finish(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect()
    }
}

/// Polls the configuration version of one process until `stop` is set. Returns a description of
/// each version that is older than an earlier one.
fn find_version_regressions(url: &str, stop: &AtomicBool) -> Vec<String> {
    let (mut seen, mut regressions) = (0, Vec::new());
    while !stop.load(Ordering::SeqCst) {
        // A process that is down or frozen does not answer.
        let dump = get(url).map(|answer| answer.body).unwrap_or_default();
        let version = dump["session"]["config-version"]
            .as_u64()
            .or_else(|| dump["status"]["config_version"].as_u64());
        if let Some(version) = version {
            if version < seen {
                regressions.push(format!("{url}: version {version} after {seen}"));
            }
            seen = seen.max(version);
        }
        thread::sleep(Duration::from_millis(50));
    }
    regressions
}

/// Counts the dispatches that an engine received later than `LEAVE_BOUND_MS` after its leave.
fn count_late_dispatches(stage: &TestCluster, engine: usize, left_at: u64) -> usize {
    let journal = stage.engines[engine].journal();
    journal.dispatches.iter().filter(|record| record.at_ms > left_at + LEAVE_BOUND_MS).count()
}

/// Sends all calls again through this entry and waits for their answers.
fn resend(stage: &TestCluster, calls: &[TimedCall], entry: usize) -> Vec<TimedCall> {
    let resends = calls.iter().map(|sent| {
        let mut call = sent.call.clone();
        call.entry_url = stage.deployment.entry_url(entry);
        call.spawn()
    });
    join(resends.collect())
}

/// Guards against a second dispatch, a lost request or a false `not_run` when the leader and an
/// entry are killed at the same time while requests run and wait.
#[test]
fn a_leader_and_an_entry_killed_together_lose_no_claim() {
    let mut stage = stage(2, 2, 2);
    let start = |entry, name: &str| -> Vec<_> {
        let call = |number| stage.completion(entry, &format!("{name}-{number}"), 240).spawn();
        (0..2).map(call).collect()
    };
    let mut lost = start(0, "lost-run");
    let mut others = start(1, "other-run");
    wait_until("the streams to run", 10_000, || stage.dispatch_count() == 4).unwrap();
    lost.extend(start(0, "lost-wait"));
    others.extend(start(1, "other-wait"));
    wait_until("requests to wait", 10_000, || {
        (0..2).all(|entry| {
            let dump = stage.deployment.entry_dump(entry).unwrap_or_default();
            dump["session"]["waiting"] == 2
        })
    })
    .unwrap();
    let monitor = VersionMonitor::spawn(&stage, 2);
    let leader = leader_name(&stage);
    signal(&mut stage, &leader, ProcessSignal::Kill);
    signal(&mut stage, "entry-0", ProcessSignal::Kill);
    let lost = join(lost);
    assert!(lost.iter().all(|sent| sent.answer.outcome() == "none"), "{lost:?}");
    wait_ownerless_claims(&stage, 2);
    let resends = resend(&stage, &lost, 1);
    for sent in &resends {
        let outcome = sent.answer.outcome();
        let ran = stage.dispatches().contains_key(&request_key(&sent.call));
        // A request that waited runs now, or is refused while the claims of the killed entry still
        // occupy slots.
        let consistent = outcome == "completed" || (outcome == "not_run" && !ran);
        assert!(consistent, "{sent:?}");
    }
    let others = join(others);
    assert!(others.iter().all(|sent| sent.answer.outcome() == "completed"), "{others:?}");
    let calls = [lost, resends, others].concat();
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(monitor.finish(), Vec::<String>::new());
}

/// Waits until the leader counts the killed entry as lost and holds `expected` ownerless claims.
fn wait_ownerless_claims(stage: &TestCluster, expected: u64) {
    wait_until("the entry to be lost", 15_000, || {
        let Some(leader) = stage.deployment.leader() else { return false };
        let dump = stage.deployment.control_dump(leader).unwrap_or_default();
        let state = &dump["state"];
        // If the claims of a lost entry were dropped, none would be open. The wait ends then, too,
        // and the checks of the caller fail.
        state["claims_ownerless"] == expected || state["claims_open"] == 0
    })
    .unwrap();
}

/// Guards against a new leader that does not know the claims of an entry that was lost before the
/// election. The requests of these claims must resume and must not run again.
#[test]
fn claims_of_a_lost_entry_hold_at_the_next_leader() {
    let mut stage = stage(2, 1, 4);
    let first = (0..2).map(|number| stage.completion(0, &format!("r-{number}"), 60).spawn());
    let first: Vec<_> = first.collect();
    wait_until("the streams to run", 10_000, || stage.dispatch_count() == 2).unwrap();
    signal(&mut stage, "entry-0", ProcessSignal::Kill);
    let mut calls = join(first);
    wait_ownerless_claims(&stage, 2);
    let leader = leader_name(&stage);
    signal(&mut stage, &leader, ProcessSignal::Kill);
    stage.deployment.wait_leader().unwrap();
    stage.deployment.wait_ready(1).unwrap();
    let resends = resend(&stage, &calls, 1);
    assert!(resends.iter().all(|sent| sent.answer.outcome() == "completed"), "{resends:?}");
    calls.extend(resends);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(stage.dispatch_count(), 2, "a request of the lost entry ran again");
}

/// Starts a stream that takes the only slot of the only engine, and a request at entry 0 that waits
/// for this slot. Returns when the leader holds both requests.
fn start_blocker_and_waiter(stage: &TestCluster) -> (JoinHandle<TimedCall>, JoinHandle<TimedCall>) {
    let blocker = stage.completion(1, "blocker", 60).spawn();
    wait_until("the blocker to run", 10_000, || stage.dispatch_count() == 1).unwrap();
    let waiting = stage.completion(0, "waiting", 20).spawn();
    wait_until("the leader to hold both requests", 10_000, || {
        let Some(leader) = stage.deployment.leader() else { return false };
        stage.deployment.control_dump(leader).is_ok_and(|dump| dump["requests"] == 2)
    })
    .unwrap();
    (blocker, waiting)
}

/// Waits until the leader has committed the claim of the waiting request.
fn wait_claim_of_waiter(stage: &TestCluster) {
    wait_until("the claim of the waiting request", 10_000, || {
        let Some(leader) = stage.deployment.leader() else { return false };
        let dump = stage.deployment.control_dump(leader).unwrap_or_default();
        dump["state"]["claims"] == 2
    })
    .unwrap();
}

/// Guards against an outdated grant. The leader sends it while the entry is cut off, and the target
/// leaves. The entry must not use the grant when it arrives after the cut.
#[test]
fn an_entry_cut_off_from_control_sends_nothing_to_a_target_that_left() {
    let mut stage = stage(2, 1, 1);
    let monitor = VersionMonitor::spawn(&stage, 2);
    let (blocker, waiting) = start_blocker_and_waiter(&stage);
    stage.deployment.isolate("entry-0");
    let blocker = blocker.join().unwrap();
    // The leader has not noticed the cut yet, so it grants the free slot to the entry.
    wait_claim_of_waiter(&stage);
    assert!(stage.engines[0].leave());
    let left_at = ClockTime::wall().as_ms();
    stage.add_engine().unwrap();
    let during = stage.completion(0, "during", 10).spawn();
    thread::sleep(Duration::from_millis(LEAVE_BOUND_MS + 200));
    stage.deployment.heal();
    stage.deployment.wait_ready(0).unwrap();
    let calls = [blocker, waiting.join().unwrap(), during.join().unwrap()];
    assert!(calls[..2].iter().all(|sent| sent.answer.done), "{calls:?}");
    let during = calls[2].answer.outcome();
    assert!(["completed", "unknown", "not_run"].contains(&during), "{calls:?}");
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(count_late_dispatches(&stage, 0, left_at), 0, "dispatched after the leave");
    assert_eq!(monitor.finish(), Vec::<String>::new());
}

/// Guards against an entry that is resumed after a freeze during which a target left. It must not
/// use a grant for this target, cut its running streams there, or serve the requests that arrived
/// during the freeze by outdated grants.
#[test]
fn an_entry_frozen_while_a_target_leaves_sends_it_nothing() {
    let mut stage = stage(2, 1, 2);
    let running = stage.completion(0, "running", 330).spawn();
    let monitor = VersionMonitor::spawn(&stage, 2);
    wait_until("the stream to run", 10_000, || stage.dispatch_count() == 1).unwrap();
    let blocker = stage.completion(1, "blocker", 60).spawn();
    wait_until("the blocker to run", 10_000, || stage.dispatch_count() == 2).unwrap();
    let waiting = stage.completion(0, "waiting", 20).spawn();
    wait_until("the leader to hold the requests", 10_000, || {
        let Some(leader) = stage.deployment.leader() else { return false };
        stage.deployment.control_dump(leader).is_ok_and(|dump| dump["requests"] == 3)
    })
    .unwrap();
    signal(&mut stage, "entry-0", ProcessSignal::Stop);
    let blocker = blocker.join().unwrap();
    wait_until("the claim of the waiting request", 10_000, || {
        let Some(leader) = stage.deployment.leader() else { return false };
        let dump = stage.deployment.control_dump(leader).unwrap_or_default();
        dump["state"]["claims"] == 3
    })
    .unwrap();
    assert!(stage.engines[0].leave());
    let left_at = ClockTime::wall().as_ms();
    stage.add_engine().unwrap();
    let during: Vec<_> =
        (0..3).map(|number| stage.completion(0, &format!("during-{number}"), 10).spawn()).collect();
    thread::sleep(Duration::from_millis(LEAVE_BOUND_MS + 200));
    signal(&mut stage, "entry-0", ProcessSignal::Continue);
    let mut calls = vec![blocker, running.join().unwrap(), waiting.join().unwrap()];
    assert!(calls.iter().all(|sent| sent.answer.done), "{calls:?}");
    let during = join(during);
    for sent in &during {
        let outcome = sent.answer.outcome();
        assert!(["completed", "unknown", "not_run"].contains(&outcome), "{sent:?}");
    }
    calls.extend(during);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(count_late_dispatches(&stage, 0, left_at), 0, "dispatched after the leave");
    assert_eq!(monitor.finish(), Vec::<String>::new());
}

/// Guards against the end of a stream that is reported only to a leader that is cut off. The next
/// leader must know the end, and the requests must not run again.
#[test]
fn a_target_killed_while_the_leader_is_cut_off_fails_its_streams_once() {
    let mut stage = stage(2, 2, 4);
    let monitor = VersionMonitor::spawn(&stage, 2);
    let running: Vec<_> = (0..6)
        .map(|number| stage.completion(number % 2, &format!("r-{number}"), 400).spawn())
        .collect();
    wait_until("the streams to run", 10_000, || stage.dispatch_count() == 6).unwrap();
    let old = stage.deployment.wait_leader().unwrap();
    let name = Deployment::control_name(old);
    stage.deployment.isolate(&name);
    stage.deployment.isolate_from_entries(&name, 2);
    stage.engines[0].stop();
    let killed = stage.engines[0].journal().dispatch_count();
    assert!(killed > 0, "the killed target had no stream");
    wait_until("another leader", 10_000, || {
        let mut others = (0..3).filter(|index| *index != old);
        others.any(|index| {
            let dump = stage.deployment.control_dump(index).unwrap_or_default();
            dump["status"]["leading"] == true
        })
    })
    .unwrap();
    let waiting = stage.completion(0, "waiting", 10).send_timed();
    assert!(waiting.answer.done, "{waiting:?}");
    let mut calls = join(running);
    let failed: Vec<_> = calls.iter().filter(|sent| !sent.answer.done).cloned().collect();
    assert_eq!(failed.len() as u64, killed, "{calls:?}");
    for sent in &failed {
        assert_eq!(sent.answer.outcome(), "failed", "{sent:?}");
    }
    // The ends were reported to the old leader. The new leader must know them, too.
    let resends = resend(&stage, &failed, 1);
    assert!(resends.iter().all(|sent| sent.answer.outcome() == "failed"), "{resends:?}");
    stage.deployment.heal();
    calls.extend(resends);
    calls.push(waiting);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(stage.dispatch_count(), 7);
    assert_eq!(monitor.finish(), Vec::<String>::new());
}

/// Posts the document with another weight of the first workspace to a control instance.
fn post_edit(url: &str, base: u64, id: &str, weight: u64) -> Option<JsonAnswer> {
    let document = DOCUMENT.replacen("weight = 8", &format!("weight = {weight}"), 1);
    let body = json!({
        "base_version": base, "operation_id": id, "author": "oyun", "document": document,
    });
    post(&format!("{url}/v1/config"), &body).ok()
}

/// Posts an edit until a leader accepts it or reports a conflict.
fn post_until_decided(stage: &TestCluster, base: u64, id: &str, weight: u64) -> JsonAnswer {
    let mut decided = None;
    wait_until("a decision on the edit", 15_000, || {
        let Some(leader) = stage.deployment.leader() else { return false };
        decided = post_edit(&stage.deployment.control_url(leader), base, id, weight)
            .filter(|answer| [200, 409].contains(&answer.status));
        decided.is_some()
    })
    .unwrap();
    decided.unwrap()
}

/// Guards against a leader that is frozen, resumed, and then accepts an edit although its successor
/// accepted another one, and against a version that goes back.
#[test]
fn an_edit_at_a_frozen_leader_loses_against_one_at_its_successor() {
    let mut stage = stage(1, 1, 4);
    let monitor = VersionMonitor::spawn(&stage, 1);
    let old = leader_name(&stage);
    let url = stage.deployment.control_url(stage.deployment.wait_leader().unwrap());
    let stream = stage.completion(0, "stream", 200).spawn();
    signal(&mut stage, &old, ProcessSignal::Stop);
    // The frozen leader reads this edit from its connection after it is resumed.
    let early = thread::spawn(move || post_edit(&url, 1, "early", 31));
    thread::sleep(Duration::from_millis(200));
    let successor = wait_other_leader(&stage, &old);
    let accepted = post_edit(&stage.deployment.control_url(successor), 1, "late", 32).unwrap();
    assert_eq!((accepted.status, &accepted.body["version"]), (200, &2.into()), "{accepted:?}");
    signal(&mut stage, &old, ProcessSignal::Continue);
    let early = early.join().unwrap();
    assert!(early.is_none_or(|answer| answer.status != 200), "the frozen leader accepted");
    let resent = post_until_decided(&stage, 1, "early", 31);
    let current: Value = 2.into();
    assert_eq!((resent.status, &resent.body["current_version"]), (409, &current), "{resent:?}");
    let first = post_until_decided(&stage, 1, "late", 32);
    assert_eq!((first.status, &first.body["version"]), (200, &current), "{first:?}");
    wait_until("all instances to hold version 2", 9_000, || {
        (0..3).all(|index| {
            let dump = stage.deployment.control_dump(index).unwrap_or_default();
            dump["status"]["config_version"] == 2
        }) && stage.deployment.entry_dump(0).unwrap_or_default()["session"]["config-version"] == 2
    })
    .unwrap();
    let calls = [stream.join().unwrap(), stage.completion(0, "after", 5).send_timed()];
    assert!(calls.iter().all(|sent| sent.answer.done), "{calls:?}");
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(monitor.finish(), Vec::<String>::new());
}

/// Waits for a leader other than `old` and returns its index. Sends no request to `old`, which is
/// frozen and would not answer.
fn wait_other_leader(stage: &TestCluster, old: &str) -> usize {
    let mut leader = None;
    wait_until("another leader", 10_000, || {
        leader = (0..3).find(|index| {
            Deployment::control_name(*index) != old
                && get(&format!("{}/v1/status", stage.deployment.control_url(*index)))
                    .is_ok_and(|answer| answer.body["leading"] == true)
        });
        leader.is_some()
    })
    .unwrap();
    leader.unwrap()
}
