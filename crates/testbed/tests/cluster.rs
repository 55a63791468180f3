//! Tests of the distribution of the configuration to control instances and entries, which run as
//! real processes.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::deployment::{Deployment, wait_until};

const DOCUMENT: &str = include_str!("../../../examples/bureau.toml");

/// Guards against an accepted configuration that does not reach every entry, and against an entry
/// that reports itself ready before it has the configuration.
#[test]
fn an_applied_document_is_in_force_at_every_entry() {
    let mut deployment = Deployment::open(3).unwrap();
    for index in 0..3 {
        deployment.start_control(index).unwrap();
    }
    for index in 0..2 {
        deployment.start_entry(index).unwrap();
    }
    let leader = deployment.wait_leader().unwrap();
    let answer = deployment.apply(leader, 0, "op-1", DOCUMENT).unwrap();
    assert_eq!((answer.status, &answer.body["version"]), (200, &1.into()));
    for index in 0..2 {
        deployment.wait_ready(index).unwrap();
        let dump = deployment.entry_dump(index).unwrap();
        assert_eq!(dump["session"]["config-version"], 1);
    }
    for index in 0..3 {
        wait_until("the version at every control instance", 5_000, || {
            deployment.control_dump(index).unwrap()["status"]["config_version"] == 1
        })
        .unwrap();
    }
}

/// Guards against a delta after which an entry holds another document than the one in force, and
/// against an entry that misses a version and never catches up.
#[test]
fn entries_receive_deltas_and_a_late_entry_receives_the_whole_document() {
    let mut deployment = Deployment::open(3).unwrap();
    for index in 0..3 {
        deployment.start_control(index).unwrap();
    }
    deployment.start_entry(0).unwrap();
    let leader = deployment.wait_leader().unwrap();
    assert_eq!(deployment.apply(leader, 0, "op-0", DOCUMENT).unwrap().status, 200);
    deployment.wait_ready(0).unwrap();
    for version in 1..20_u64 {
        let document = DOCUMENT.replace("queue-limit = 600", &format!("queue-limit = {version}00"));
        let answer = deployment.apply(leader, version, &format!("op-{version}"), &document);
        assert_eq!(answer.unwrap().status, 200);
    }
    deployment.start_entry(1).unwrap();
    for index in 0..2 {
        wait_until("the last version at the entry", 9_000, || {
            let dump = deployment.entry_dump(index).unwrap_or_default();
            dump["session"]["config-version"] == 20 && dump["ready"] == true
        })
        .unwrap();
    }
    let log = std::fs::read_to_string(deployment.log_file("entry-0")).unwrap();
    assert!(!log.contains("config_invalid"), "{log}");
}
