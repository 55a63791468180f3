//! Tests of the command line, run as a process against a fake control instance.

use super::fake_control::{FakeAction, FakeControl, closed_url};
use serde_json::Value;
use std::io::Write;
use std::process::Command;
use tempfile::NamedTempFile;

const EXAMPLE_DOCUMENT: &str = include_str!("../../../../examples/bureau.toml");
const EXAMPLE_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/bureau.toml");

struct CommandOutput {
    status: i32,
    stdout: String,
    stderr: String,
}

impl CommandOutput {
    fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).expect("JSON on standard output")
    }
}

fn run(control: &str, arguments: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_burdockcleat"));
    let command = command.args(arguments).env("BURDOCKCLEAT_CONTROL", control);
    let process = command.output().expect("the command runs");
    CommandOutput {
        status: process.status.code().expect("an exit status"),
        stdout: String::from_utf8(process.stdout).expect("UTF-8"),
        stderr: String::from_utf8(process.stderr).expect("UTF-8"),
    }
}

fn temporary_file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes()).expect("writable");
    file
}

fn path(file: &NamedTempFile) -> &str {
    file.path().to_str().expect("UTF-8")
}

// Guards against a check that stops at the first fault, or accepts unknown fields.
#[test]
fn check_lists_every_fault_by_path() {
    let output = run("", &["check", EXAMPLE_PATH]);
    assert_eq!(output.status, 0, "{}", output.stderr);
    assert!(output.stdout.contains("3 tiers, 5 workspaces, 2 pools"), "{}", output.stdout);

    let text = EXAMPLE_DOCUMENT
        .replace("targets-max = 6", "targets-max = 0\nshade = 1")
        .replace("weight = 8", "weight = 0");
    let faulty = temporary_file(&text);
    let output = run("", &["check", path(&faulty)]);
    assert_eq!(output.status, 1);
    assert!(output.stdout.is_empty());
    for line in [
        "pools[1].shade: unknown field",
        "pools[1].targets-max: 0 is outside the range 1 to 10000",
        "workspaces[0].weight: 0 is outside the range 1 to 1000",
    ] {
        assert!(output.stderr.contains(line), "{}", output.stderr);
    }
    let output = run("", &["check", path(&faulty), "--json"]);
    assert_eq!(output.json()["faults"].as_array().map(Vec::len), Some(3));
}

// Guards against a diff that compares in the wrong direction.
#[test]
fn diff_compares_with_a_file_or_with_the_version_in_force() {
    let newer = temporary_file(&EXAMPLE_DOCUMENT.replace("weight = 8", "weight = 9"));
    let output = run("", &["diff", path(&newer), "--against", EXAMPLE_PATH]);
    let line = "~ workspaces.provincial-depots.weight: 8 -> 9\n1 changes\n";
    assert_eq!((output.status, output.stdout.as_str()), (0, line));
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    let output = run("", &["diff", path(&newer), "--control", &control.url, "--json"]);
    assert_eq!(output.json()["base_version"], 1);
    assert_eq!(output.json()["changes"][0]["new"], "9");
}

// Guards against a conflict that cannot be distinguished from success or from a faulty document.
#[test]
fn apply_reports_success_conflict_and_faults() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    let apply = ["apply", EXAMPLE_PATH, "--base", "1", "--wait", "5"];
    let output = run(&control.url, &apply);
    assert_eq!(
        (output.status, output.stdout.as_str()),
        (0, "version 2 is in force\n"),
        "{}",
        output.stderr
    );
    let output = run(&control.url, &apply);
    assert_eq!(output.status, 1);
    assert!(output.stderr.contains("--base 2"), "{}", output.stderr);
    let output = run(&control.url, &["apply", EXAMPLE_PATH, "--base", "1", "--json"]);
    assert_eq!(output.json()["current_version"], 2);

    let faulty = temporary_file("[limits]\nbody-bytes = 3\n");
    let posts = control.posts().len();
    let output = run(&control.url, &["apply", path(&faulty), "--base", "2"]);
    assert_eq!(output.status, 1);
    assert_eq!(control.posts().len(), posts, "a faulty document is not sent");
    let output = run(&control.url, &["history"]);
    assert!(output.stdout.starts_with("       2  2026-05-28T20:26:40Z"), "{}", output.stdout);
}

// Guards against a lost reply that is reported as a failure, and against a retry with another id.
#[test]
fn apply_after_a_lost_reply_names_the_id_to_resend_with() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    control.state().default_action = Some(FakeAction::LoseReply);
    let apply = ["apply", EXAMPLE_PATH, "--base", "1", "--operation-id", "edit-17"];
    let output = run(&control.url, &apply);
    assert_eq!(output.status, 4, "{}", output.stderr);
    assert!(output.stderr.contains("resend the same request with --operation-id edit-17"));
    control.state().default_action = None;
    let output = run(&control.url, &apply);
    assert_eq!((output.status, output.stdout.as_str()), (0, "version 2 is in force\n"));
    assert!(control.posts().iter().all(|post| post.contains("\"operation_id\":\"edit-17\"")));
}

// Guards against a wait that ends early, or never.
#[test]
fn waiting_commands_report_progress_and_end() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    run(&control.url, &["apply", EXAMPLE_PATH, "--base", "1"]);
    let again = ["apply", EXAMPLE_PATH, "--base", "2", "--operation-id", "x", "--wait", "1"];
    control.state().results.insert("x".into(), (200, "{\"version\": 3}".into()));
    let output = run(&control.url, &again);
    assert_eq!(output.status, 5);
    assert!(output.stderr.contains("0 of 1 entries have version 3"), "{}", output.stderr);
    let output = run(&control.url, &["drain", "entry", "entry-1", "--wait", "5"]);
    assert_eq!(output.status, 0, "{}", output.stderr);
    let output = run(&control.url, &["order", "engine-1", "m", "--wait", "5"]);
    assert_eq!(output.status, 0, "{}", output.stderr);
    let output = run(&control.url, &["order", "broken", "m", "--wait", "5"]);
    assert_eq!(output.status, 1);
    assert!(output.stderr.contains("no space for the model"), "{}", output.stderr);
}

// Guards against a status that omits an item, and against a dump of another process.
#[test]
fn status_and_dump_show_the_state() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    run(&control.url, &["apply", EXAMPLE_PATH, "--base", "1"]);
    run(&control.url, &["order", "engine-1", "model-1"]);
    let output = run(&control.url, &["status"]);
    assert!(output.stdout.contains("configuration 2"), "{}", output.stdout);
    assert!(output.stdout.contains("entry    entry-1  open"), "{}", output.stdout);
    assert!(output.stdout.contains("order    engine-1  model-1"), "{}", output.stdout);
    let output = run(&control.url, &["status", "--json"]);
    assert_eq!(output.json()["entries"][0]["name"], "entry-1");
    let output = run("", &["dump", &control.url]);
    assert_eq!((output.status, output.stdout.as_str()), (0, "{\"queues\":[]}\n"));
    // An entry serves its dump at another path.
    let missing = r#"{"error": "not_found"}"#.to_owned();
    control
        .queue_actions([FakeAction::Reply(404, missing), FakeAction::Reply(200, "{}".to_owned())]);
    assert_eq!(run("", &["dump", &control.url]).stdout, "{}\n");
}

// Guards against an exit status that makes scripts mistake a wrong command line or an unreachable
// deployment for a refusal.
#[test]
fn usage_errors_and_unreachable_instances_have_their_own_exit_status() {
    let closed = closed_url();
    assert_eq!(run(&closed, &["status", "--timeout", "1"]).status, 3);
    assert_eq!(run(&closed, &["apply", EXAMPLE_PATH, "--base", "1"]).status, 3);
    assert_eq!(run("", &["dump", &closed]).status, 3);
    let wrong: [&[&str]; 10] = [
        &[],
        &["frobnicate"],
        &["check"],
        &["check", "a", "b"],
        &["check", "/nonexistent"],
        &["apply", EXAMPLE_PATH],
        &["apply", EXAMPLE_PATH, "--base", "x"],
        &["apply", EXAMPLE_PATH, "--base", "1", "--base", "2"],
        &["apply", EXAMPLE_PATH, "--base", "1", "--operation-id", "a b"],
        &["drain", "pool", "x"],
    ];
    for arguments in wrong {
        let output = run("", arguments);
        assert_eq!(output.status, 2, "{arguments:?}: {}", output.stderr);
    }
    assert_eq!(run("", &["status"]).status, 2, "no control URL");
    assert_eq!(run("ftp://x", &["status"]).status, 2, "no usable control URL");
}

// Guards against a command that has no help or is missing from the list of commands.
#[test]
fn every_command_has_help() {
    let overview = run("", &["--help"]);
    assert_eq!(overview.status, 0);
    for name in ["check", "show", "diff", "apply", "status", "history", "dump", "drain", "order"] {
        assert!(overview.stdout.contains(&format!("\n  {name} ")), "{name}");
        let help = run("", &[name, "--help"]);
        assert_eq!(help.status, 0);
        assert!(help.stdout.contains(&format!("Usage: burdockcleat {name}")), "{name}");
        assert!(help.stdout.contains("Exit status: 0"), "{name}");
    }
}
