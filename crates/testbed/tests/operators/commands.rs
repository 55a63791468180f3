//! Tests of the exit status and the `--json` output of each command.

use super::{commands, document_with_weight, path, stage, temp_file};
use burdockcleat_testbed::cluster::{DOCUMENT, MODEL};
use burdockcleat_testbed::command::OperatorCommand;
use burdockcleat_testbed::deployment::{Deployment, ProcessSignal};

/// Guards against a command with a wrong exit status or without JSON output.
#[test]
fn every_command_has_its_exit_status_and_json() {
    let stage = stage(1, 1);
    let run = |arguments: &[&str]| commands(&stage).run(arguments).unwrap();
    let (same, next) = (temp_file(DOCUMENT), temp_file(&document_with_weight(9)));
    let faulty = temp_file(&DOCUMENT.replacen("weight = 8", "weight = 0", 1));
    let cases: &[(&[&str], i32, &str, &str)] = &[
        (&["check", path(&next), "--json"], 0, "/counts/pools", "2"),
        (&["check", path(&faulty), "--json"], 1, "/faults/0/path", "\"workspaces[0].weight\""),
        (&["check", "/nonexistent", "--json"], 2, "/error", "\"failed\""),
        (&["diff", path(&same), "--json"], 0, "/base_version", "1"),
        (&["diff", path(&next), "--json"], 0, "/changes/0/new", "\"9\""),
        (&["apply", path(&next), "--base", "1", "--json", "--wait", "9"], 0, "/version", "2"),
        (&["apply", path(&next), "--base", "1", "--json"], 1, "/current_version", "2"),
        (&["apply", path(&next), "--json"], 2, "/error", "\"failed\""),
        (&["show", "--json"], 0, "/version", "2"),
        (&["show", "--version", "1", "--json"], 0, "/version", "1"),
        (&["show", "--version", "7", "--json"], 1, "/error", "\"failed\""),
        (&["status", "--json"], 0, "/config_version", "2"),
        (&["history", "--json"], 0, "/versions/0/changes", "1"),
        (&["drain", "target", "nobody", "--json"], 1, "/error", "\"failed\""),
        (&["drain", "entry", "nobody", "--json"], 1, "/error", "\"failed\""),
        (&["order", "nobody", MODEL, "--json"], 1, "/error", "\"failed\""),
        (&["order", "engine-0", "no-such-model", "--json"], 1, "/error", "\"failed\""),
        (&["order", "engine-0", MODEL, "--json", "--wait", "15"], 0, "/state", "\"accepted\""),
        (&["drain", "target", "engine-0", "--json", "--wait", "9"], 0, "/running", "0"),
        (&["drain", "entry", "entry-0", "--json", "--wait", "9"], 0, "/running", "0"),
    ];
    for (arguments, status, pointer, expected) in cases {
        let ended = run(arguments);
        assert_eq!(ended.status, *status, "{arguments:?}: {}{}", ended.stdout, ended.stderr);
        let found = ended.json().pointer(pointer).map(ToString::to_string);
        assert_eq!(found.as_deref(), Some(*expected), "{arguments:?}: {}", ended.stdout);
    }
    assert_eq!(run(&["show", "--version", "1"]).stdout, DOCUMENT);
    let url = stage.deployment.control_url(0);
    let dump = run(&["dump", &url]);
    assert_eq!(
        (dump.status, dump.json()["name"].as_str()),
        (0, Some("control-0")),
        "{}",
        dump.stderr
    );
}

/// Guards against a command that succeeds with a wrong token or without a token.
#[test]
fn a_wrong_token_is_refused_by_every_command() {
    let stage = stage(1, 1);
    let next = temp_file(&document_with_weight(9));
    let url = stage.deployment.control_url(0);
    let cases: &[&[&str]] = &[
        &["show"],
        &["diff", path(&next)],
        &["apply", path(&next), "--base", "1"],
        &["status"],
        &["history"],
        &["dump", &url],
        &["drain", "target", "engine-0"],
        &["drain", "entry", "entry-0"],
        &["order", "engine-0", MODEL],
    ];
    for token in ["wrong", ""] {
        let operator = commands(&stage).with_token(token);
        for arguments in cases {
            let ended = operator.run(arguments).unwrap();
            assert_eq!(ended.status, 1, "{arguments:?}: {}{}", ended.stdout, ended.stderr);
            assert!(ended.stderr.contains("401"), "{}", ended.stderr);
        }
    }
    // The flag takes precedence over the environment variable.
    let operator = commands(&stage).with_token("wrong");
    let ended = operator.run(&["status", "--token", "testbed-operator", "--json"]).unwrap();
    assert_eq!((ended.status, &ended.json()["config_version"]), (0, &1.into()), "{}", ended.stderr);
    let status = commands(&stage).run(&["status", "--json"]).unwrap().json();
    assert_eq!(
        (&status["config_version"], &status["targets"][0]["state"]),
        (&1.into(), &"ready".into())
    );
}

/// Guards against exit statuses that do not tell an unreachable deployment, an unknown result and a
/// late result apart, and against a resend that applies an edit twice.
#[test]
fn unreachable_unknown_and_late_have_their_own_exit_status() {
    let mut stage = stage(1, 1);
    let next = temp_file(&document_with_weight(9));
    let signal = |stage: &mut super::TestCluster, name: &str, signal| {
        stage.deployment.signal(name, signal).unwrap();
    };
    signal(&mut stage, "entry-0", ProcessSignal::Stop);
    let late = ["apply", path(&next), "--base", "1", "--wait", "1", "--json"];
    let ended = commands(&stage).run(&late).unwrap();
    assert_eq!(ended.status, 5, "{}{}", ended.stdout, ended.stderr);
    assert!(
        ended.stdout.starts_with("{\"operation_id\"") || ended.stdout.contains("\"version\":2")
    );
    signal(&mut stage, "entry-0", ProcessSignal::Continue);

    let leader = stage.deployment.wait_leader().unwrap();
    let name = Deployment::control_name(leader);
    signal(&mut stage, &name, ProcessSignal::Stop);
    let only = OperatorCommand::new(&[stage.deployment.control_url(leader)]);
    let newer = temp_file(&document_with_weight(7));
    let edit = ["apply", path(&newer), "--base", "2", "--operation-id", "lost", "--timeout", "1"];
    let ended = only.run(&edit).unwrap();
    assert_eq!(ended.status, 4, "{}{}", ended.stdout, ended.stderr);
    assert!(ended.stderr.contains("--operation-id lost"), "{}", ended.stderr);
    signal(&mut stage, &name, ProcessSignal::Continue);
    let ended = commands(&stage).run(&edit).unwrap();
    assert_eq!(
        (ended.status, ended.stdout.as_str()),
        (0, "version 3 is in force\n"),
        "{}",
        ended.stderr
    );

    for index in 0..3 {
        signal(&mut stage, &Deployment::control_name(index), ProcessSignal::Kill);
    }
    for arguments in [&["status"][..], &["history"], &["apply", path(&next), "--base", "3"]] {
        assert_eq!(commands(&stage).run(arguments).unwrap().status, 3, "{arguments:?}");
    }
}
