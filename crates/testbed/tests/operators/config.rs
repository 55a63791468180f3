//! Tests of edits of the configuration and of their distribution to entries.

use super::{commands, document_with_weight, path, stage, temp_file};
use burdockcleat_testbed::client::{CompletionAnswer, get, post};
use burdockcleat_testbed::cluster::{DOCUMENT, TestCluster};
use burdockcleat_testbed::command::{OperatorCommand, wait_for_output};
use burdockcleat_testbed::deployment::{Deployment, OPERATOR_TOKEN, ProcessSignal, wait_until};
use serde_json::{Value, json};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Returns the versions in the history that an operation has created.
fn versions_of(stage: &TestCluster, operation_id: &str) -> Vec<Value> {
    let history = commands(stage).run(&["history", "--json"]).unwrap();
    assert_eq!(history.status, 0, "{}", history.stderr);
    let history = history.json();
    let versions = history["versions"].as_array().unwrap().iter();
    versions.filter(|entry| entry["operation_id"] == operation_id).cloned().collect()
}

/// Guards against an instance through which an edit does not reach the leader, and against two
/// concurrent edits of which both or neither are accepted.
#[test]
fn edits_succeed_at_any_instance_and_one_of_two_concurrent_edits_wins() {
    let stage = stage(1, 1);
    let mut version = 1;
    for (url, weight) in stage.deployment.control_urls().iter().zip(20..) {
        let document = temp_file(&document_with_weight(weight));
        let base = version.to_string();
        let only = OperatorCommand::new(std::slice::from_ref(url));
        let ended = only.run(&["apply", path(&document), "--base", &base]).unwrap();
        assert_eq!(ended.status, 0, "{url}: {}", ended.stderr);
        version += 1;
    }
    for round in 0..20 {
        let documents = [
            temp_file(&document_with_weight(100 + round)),
            temp_file(&document_with_weight(200 + round)),
        ];
        let base = version.to_string();
        let edits: Vec<_> = documents
            .iter()
            .map(|document| {
                let edit = ["apply", path(document), "--base", &base, "--json"];
                commands(&stage).spawn(&edit).unwrap()
            })
            .collect();
        let ended: Vec<_> = edits.into_iter().map(|edit| wait_for_output(edit).unwrap()).collect();
        let mut statuses: Vec<i32> = ended.iter().map(|end| end.status).collect();
        statuses.sort_unstable();
        assert_eq!(statuses, [0, 1], "round {round}: {ended:?}");
        version += 1;
        for end in &ended {
            let field = if end.status == 0 { "version" } else { "current_version" };
            assert_eq!(end.json()[field], version, "round {round}: {end:?}");
        }
    }
}

/// Guards against an edit that is lost or applied twice when its reply is lost or its leader is
/// killed.
#[test]
fn a_resent_edit_gets_the_first_result_after_the_leader_is_killed() {
    let mut stage = stage(1, 1);
    for round in 0..3_u64 {
        let leader = stage.deployment.wait_leader().unwrap();
        let url = stage.deployment.control_url(leader);
        let text = document_with_weight(30 + round);
        let (id, base) = (format!("edit-{round}"), round + 1);
        let body = json!({
            "base_version": base, "operation_id": id, "author": "oyun", "document": text,
        });
        // The caller sends the edit and closes the connection, so the reply is lost.
        let mut socket = TcpStream::connect(url.trim_start_matches("http://")).unwrap();
        let body = body.to_string();
        let head = format!(
            "POST /v1/config HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR_TOKEN}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        socket.write_all((head + &body).as_bytes()).unwrap();
        // Kills the leader before, during or after the commit of the edit.
        thread::sleep(Duration::from_millis(round * 15));
        stage.deployment.signal(&Deployment::control_name(leader), ProcessSignal::Kill).unwrap();
        drop(socket);
        let document = temp_file(&text);
        let base = base.to_string();
        let edit =
            ["apply", path(&document), "--base", &base, "--operation-id", &id, "--author", "oyun"];
        for _ in 0..2 {
            let ended = commands(&stage).run(&edit).unwrap();
            let expected = format!("version {} is in force\n", round + 2);
            assert_eq!((ended.status, ended.stdout), (0, expected), "{}", ended.stderr);
        }
        assert_eq!(versions_of(&stage, &id).len(), 1);
        // The id is stored with the whole request, so a changed request with the same id is
        // refused.
        let changed =
            ["apply", path(&document), "--base", &base, "--operation-id", &id, "--author", "x"];
        let ended = commands(&stage).run(&changed).unwrap();
        assert_eq!(ended.status, 1);
        assert!(ended.stderr.contains("used before with another request"), "{}", ended.stderr);
        stage.deployment.restart(&Deployment::control_name(leader)).unwrap();
    }
}

/// Guards against an invalid document that is applied in part, whose faults are not all reported,
/// or whose operation id cannot be used afterwards, and against a used operation id that is
/// accepted for another document.
#[test]
fn an_invalid_document_is_refused_with_every_fault() {
    let stage = stage(1, 1);
    let leader = stage.deployment.wait_leader().unwrap();
    let bad = DOCUMENT
        .replacen("weight = 8", "weight = 0", 1)
        .replacen("targets-max = 6", "targets-max = 0\nshade = 1", 1)
        .replacen("claim-limit = 2000000", "claim-limit = 3", 1);
    let refused = stage.deployment.apply(leader, 1, "bad", &bad).unwrap();
    let paths: Vec<_> = refused.body["faults"]
        .as_array()
        .unwrap()
        .iter()
        .map(|fault| fault["path"].as_str().unwrap().to_owned())
        .collect();
    assert_eq!(refused.status, 422);
    for path in
        ["workspaces[0].weight", "pools[1].targets-max", "pools[1].shade", "limits.claim-limit"]
    {
        assert!(paths.iter().any(|found| found == path), "{path}: {paths:?}");
    }
    assert_eq!(paths.len(), 4, "{paths:?}");
    let url = stage.deployment.control_url(leader);
    let config = get(&format!("{url}/v1/config")).unwrap().body;
    assert_eq!((&config["version"], config["document"].as_str()), (&1.into(), Some(DOCUMENT)));
    let accepted = stage.deployment.apply(leader, 1, "bad", &document_with_weight(9)).unwrap();
    assert_eq!((accepted.status, &accepted.body["version"]), (200, &2.into()));
    let reused = stage.deployment.apply(leader, 1, "bad", &bad).unwrap();
    assert_eq!((reused.status, &reused.body["error"]), (409, &"operation_reused".into()));
    let follower = stage.deployment.control_url((leader + 1) % 3);
    let elsewhere = post(
        &format!("{follower}/v1/config"),
        &json!({
            "base_version": 2, "operation_id": "x", "author": "a", "document": bad,
        }),
    )
    .unwrap();
    assert_eq!((elsewhere.status, elsewhere.body["leader"].as_str()), (421, Some(url.as_str())));
    let old = get(&format!("{url}/v1/config?version=1")).unwrap().body;
    assert_eq!(old["document"].as_str(), Some(DOCUMENT));
    assert_eq!(get(&format!("{url}/v1/config?version=9")).unwrap().status, 404);
}

/// Time without a leader after which an entry is not ready. A shorter freeze looks like a slow
/// update of the configuration.
const NOT_READY_AFTER: Duration = Duration::from_secs(3);

/// Freezes an entry during configuration changes, the first of which revokes a credential. Sends
/// requests with this credential during the freeze and returns their answers.
fn freeze_during_changes(
    stage: &mut TestCluster,
    changes: u64,
    freeze: Duration,
) -> Vec<CompletionAnswer> {
    let leader = stage.deployment.wait_leader().unwrap();
    assert_eq!(stage.completion(0, "before", 3).send().outcome(), "completed");
    stage.deployment.signal("entry-0", ProcessSignal::Stop).unwrap();
    let frozen_at = Instant::now();
    let credential = DOCUMENT.lines().find(|line| line.starts_with("credentials")).unwrap();
    let other = format!("credentials = [\"sha256:{}\"]", "ab".repeat(32));
    let revoked = DOCUMENT.replacen(credential, &other, 1);
    for version in 1..=changes {
        let weight = format!("weight = {}", 1 + version % 900);
        let text = revoked.replacen("weight = 8", &weight, 1);
        let id = format!("change-{version}");
        assert_eq!(stage.deployment.apply(leader, version, &id, &text).unwrap().status, 200);
    }
    wait_until("the other entry to hold the changes", 9_000, || {
        let dump = stage.deployment.entry_dump(1).unwrap_or_default();
        dump["session"]["config-version"] == changes + 1
    })
    .unwrap();
    assert_eq!(stage.completion(1, "revoked", 3).send().status, 401, "the credential is revoked");
    let calls: Vec<_> =
        (0..4).map(|number| stage.completion(0, &format!("early-{number}"), 3)).collect();
    let during_freeze: Vec<_> =
        calls.into_iter().map(|call| thread::spawn(move || call.send())).collect();
    thread::sleep(Duration::from_millis(300).max(freeze.saturating_sub(frozen_at.elapsed())));
    println!("frozen for {} ms", frozen_at.elapsed().as_millis());
    stage.deployment.signal("entry-0", ProcessSignal::Continue).unwrap();
    let resumed_at = Instant::now();
    wait_until("the entry to be current", 9_000, || {
        let dump = stage.deployment.entry_dump(0).unwrap_or_default();
        let version = &dump["session"]["config-version"];
        let ready = dump["ready"] == true;
        assert!(
            !ready || *version == changes + 1 || freeze < NOT_READY_AFTER,
            "ready with version {version}"
        );
        ready && *version == changes + 1
    })
    .unwrap();
    println!("current {} ms after it was resumed", resumed_at.elapsed().as_millis());
    during_freeze.into_iter().map(|call| call.join().unwrap()).collect()
}

/// Guards against an entry that serves by an outdated configuration after a freeze. A revoked
/// credential must not be accepted, not even for a request that arrived during the freeze.
#[test]
fn a_frozen_entry_never_serves_an_older_version() {
    let mut stage = stage(2, 1);
    let answers = freeze_during_changes(&mut stage, 300, Duration::from_millis(3_500));
    assert!(answers.iter().all(|answer| answer.status != 200), "{answers:?}");
    assert_eq!(stage.dispatch_count(), 1, "only the request before the freeze ran");
    assert_eq!(stage.completion(0, "late", 3).send().status, 401);
}

/// Guards against an entry that serves by an outdated configuration after a short freeze. It is
/// shorter than 3 s, the time after which an entry without a leader is not ready.
#[test]
fn a_briefly_frozen_entry_never_serves_an_older_version() {
    let mut stage = stage(2, 1);
    let answers = freeze_during_changes(&mut stage, 300, Duration::ZERO);
    assert!(answers.iter().all(|answer| answer.status != 200), "{answers:?}");
    assert_eq!(stage.dispatch_count(), 1, "only the request before the freeze ran");
}

/// Guards against an entry that serves by an outdated configuration after a freeze of about half a
/// second, after which the entry still counts as ready.
#[test]
fn an_entry_frozen_for_half_a_second_never_serves_an_older_version() {
    let mut stage = stage(2, 1);
    let answers = freeze_during_changes(&mut stage, 1, Duration::from_millis(500));
    assert!(answers.iter().all(|answer| answer.status != 200), "{answers:?}");
    assert_eq!(stage.dispatch_count(), 1, "only the request before the freeze ran");
}

/// Guards against a restarted entry that reports itself ready before it holds the version in force.
#[test]
fn a_restarted_entry_is_not_ready_before_it_is_current() {
    let mut stage = stage(1, 1);
    let leader = stage.deployment.wait_leader().unwrap();
    for round in 1..=5_u64 {
        stage.deployment.signal("entry-0", ProcessSignal::Kill).unwrap();
        let id = format!("round-{round}");
        let applied =
            stage.deployment.apply(leader, round, &id, &document_with_weight(40 + round)).unwrap();
        assert_eq!(applied.status, 200, "{applied:?}");
        stage.deployment.restart("entry-0").unwrap();
        wait_until("the entry to be ready", 9_000, || {
            let url = stage.deployment.entry_operator_url(0);
            if !get(&format!("{url}/readyz")).is_ok_and(|answer| answer.status == 200) {
                return false;
            }
            let dump = stage.deployment.entry_dump(0).unwrap();
            assert_eq!(dump["session"]["config-version"], round + 1);
            true
        })
        .unwrap();
    }
}
