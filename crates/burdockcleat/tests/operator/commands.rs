//! The command line as operators run it, against a fake control instance.

use super::fake_control::{FakeControl, FakeStep, closed_url};
use serde_json::Value;
use std::io::Write;
use std::process::Command;
use tempfile::NamedTempFile;

const BUREAU: &str = include_str!("../../../../examples/bureau.toml");
const BUREAU_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/bureau.toml");

struct Ended {
    status: i32,
    out: String,
    err: String,
}

impl Ended {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("JSON on standard output")
    }
}

fn run(control: &str, arguments: &[&str]) -> Ended {
    let mut command = Command::new(env!("CARGO_BIN_EXE_burdockcleat"));
    let command = command.args(arguments).env("BURDOCKCLEAT_CONTROL", control);
    let output = command.output().expect("the command runs");
    Ended {
        status: output.status.code().expect("an exit status"),
        out: String::from_utf8(output.stdout).expect("UTF-8"),
        err: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

fn file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes()).expect("writable");
    file
}

fn path(file: &NamedTempFile) -> &str {
    file.path().to_str().expect("UTF-8")
}

// Guards against a check that stops at the first fault or accepts unknown fields.
#[test]
fn check_lists_every_fault_by_path() {
    let ended = run("", &["check", BUREAU_PATH]);
    assert_eq!(ended.status, 0, "{}", ended.err);
    assert!(ended.out.contains("3 tiers, 5 workspaces, 2 pools"), "{}", ended.out);

    let text = BUREAU
        .replace("targets-max = 6", "targets-max = 0\nshade = 1")
        .replace("weight = 8", "weight = 0");
    let faulty = file(&text);
    let ended = run("", &["check", path(&faulty)]);
    assert_eq!(ended.status, 1);
    assert!(ended.out.is_empty());
    for line in [
        "pools[1].shade: unknown field",
        "pools[1].targets-max: 0 is outside the range 1 to 10000",
        "workspaces[0].weight: 0 is outside the range 1 to 1000",
    ] {
        assert!(ended.err.contains(line), "{}", ended.err);
    }
    let ended = run("", &["check", path(&faulty), "--json"]);
    assert_eq!(ended.json()["faults"].as_array().map(Vec::len), Some(3));
}

// Guards against a diff that compares in the wrong direction.
#[test]
fn diff_compares_with_a_file_or_with_the_version_in_force() {
    let newer = file(&BUREAU.replace("weight = 8", "weight = 9"));
    let ended = run("", &["diff", path(&newer), "--against", BUREAU_PATH]);
    let line = "~ workspaces.provincial-depots.weight: 8 -> 9\n1 changes\n";
    assert_eq!((ended.status, ended.out.as_str()), (0, line));
    let control = FakeControl::spawn(BUREAU);
    let ended = run("", &["diff", path(&newer), "--control", &control.url, "--json"]);
    assert_eq!(ended.json()["base_version"], 1);
    assert_eq!(ended.json()["changes"][0]["new"], "9");
}

// Guards against a conflict that is not told apart from success or from a fault.
#[test]
fn apply_reports_success_conflict_and_faults() {
    let control = FakeControl::spawn(BUREAU);
    let apply = ["apply", BUREAU_PATH, "--base", "1", "--wait", "5"];
    let ended = run(&control.url, &apply);
    assert_eq!((ended.status, ended.out.as_str()), (0, "version 2 is in force\n"), "{}", ended.err);
    let ended = run(&control.url, &apply);
    assert_eq!(ended.status, 1);
    assert!(ended.err.contains("--base 2"), "{}", ended.err);
    let ended = run(&control.url, &["apply", BUREAU_PATH, "--base", "1", "--json"]);
    assert_eq!(ended.json()["current_version"], 2);

    let faulty = file("[limits]\nbody-bytes = 3\n");
    let posts = control.posts().len();
    let ended = run(&control.url, &["apply", path(&faulty), "--base", "2"]);
    assert_eq!(ended.status, 1);
    assert_eq!(control.posts().len(), posts, "a faulty document is not sent");
    let ended = run(&control.url, &["history"]);
    assert!(ended.out.starts_with("       2  2026-05-28T20:26:40Z"), "{}", ended.out);
}

// Guards against a lost reply that looks like a failure, and against a resend with another id.
#[test]
fn apply_after_a_lost_reply_names_the_id_to_resend_with() {
    let control = FakeControl::spawn(BUREAU);
    control.state().always = Some(FakeStep::LoseReply);
    let apply = ["apply", BUREAU_PATH, "--base", "1", "--operation-id", "edit-17"];
    let ended = run(&control.url, &apply);
    assert_eq!(ended.status, 4, "{}", ended.err);
    assert!(ended.err.contains("resend the same request with --operation-id edit-17"));
    control.state().always = None;
    let ended = run(&control.url, &apply);
    assert_eq!((ended.status, ended.out.as_str()), (0, "version 2 is in force\n"));
    assert!(control.posts().iter().all(|post| post.contains("\"operation_id\":\"edit-17\"")));
}

// Guards against a wait that ends early or never.
#[test]
fn waiting_commands_report_progress_and_end() {
    let control = FakeControl::spawn(BUREAU);
    run(&control.url, &["apply", BUREAU_PATH, "--base", "1"]);
    let again = ["apply", BUREAU_PATH, "--base", "2", "--operation-id", "x", "--wait", "1"];
    control.state().results.insert("x".into(), (200, "{\"version\": 3}".into()));
    let ended = run(&control.url, &again);
    assert_eq!(ended.status, 5);
    assert!(ended.err.contains("0 of 1 entries have version 3"), "{}", ended.err);
    let ended = run(&control.url, &["drain", "entry", "entry-1", "--wait", "5"]);
    assert_eq!(ended.status, 0, "{}", ended.err);
    let ended = run(&control.url, &["order", "engine-1", "m", "--wait", "5"]);
    assert_eq!(ended.status, 0, "{}", ended.err);
    let ended = run(&control.url, &["order", "broken", "m", "--wait", "5"]);
    assert_eq!(ended.status, 1);
    assert!(ended.err.contains("no space for the model"), "{}", ended.err);
}

// Guards against a status or dump that hides an item or asks another process.
#[test]
fn status_and_dump_show_the_state() {
    let control = FakeControl::spawn(BUREAU);
    run(&control.url, &["apply", BUREAU_PATH, "--base", "1"]);
    run(&control.url, &["order", "engine-1", "model-1"]);
    let ended = run(&control.url, &["status"]);
    assert!(ended.out.contains("configuration 2"), "{}", ended.out);
    assert!(ended.out.contains("entry    entry-1  open"), "{}", ended.out);
    assert!(ended.out.contains("order    engine-1  model-1"), "{}", ended.out);
    let ended = run(&control.url, &["status", "--json"]);
    assert_eq!(ended.json()["entries"][0]["name"], "entry-1");
    let ended = run("", &["dump", &control.url]);
    assert_eq!((ended.status, ended.out.as_str()), (0, "{\"queues\":[]}\n"));
    // An entry has its dump at another path.
    let missing = r#"{"error": "not_found"}"#.to_owned();
    control.plan([FakeStep::Reply(404, missing), FakeStep::Reply(200, "{}".to_owned())]);
    assert_eq!(run("", &["dump", &control.url]).out, "{}\n");
}

// Guards against scripts that take a wrong command line or a dead deployment for a refusal.
#[test]
fn usage_and_unreachable_have_their_own_status() {
    let closed = closed_url();
    assert_eq!(run(&closed, &["status", "--timeout", "1"]).status, 3);
    assert_eq!(run(&closed, &["apply", BUREAU_PATH, "--base", "1"]).status, 3);
    assert_eq!(run("", &["dump", &closed]).status, 3);
    let wrong: [&[&str]; 10] = [
        &[],
        &["frobnicate"],
        &["check"],
        &["check", "a", "b"],
        &["check", "/nonexistent"],
        &["apply", BUREAU_PATH],
        &["apply", BUREAU_PATH, "--base", "x"],
        &["apply", BUREAU_PATH, "--base", "1", "--base", "2"],
        &["apply", BUREAU_PATH, "--base", "1", "--operation-id", "a b"],
        &["drain", "pool", "x"],
    ];
    for arguments in wrong {
        let ended = run("", arguments);
        assert_eq!(ended.status, 2, "{arguments:?}: {}", ended.err);
    }
    assert_eq!(run("", &["status"]).status, 2, "no control URL");
    assert_eq!(run("ftp://x", &["status"]).status, 2, "no usable control URL");
}

// Guards against a command without help.
#[test]
fn every_command_explains_itself() {
    let overview = run("", &["--help"]);
    assert_eq!(overview.status, 0);
    for name in ["check", "show", "diff", "apply", "status", "history", "dump", "drain", "order"] {
        assert!(overview.out.contains(&format!("\n  {name} ")), "{name}");
        let help = run("", &[name, "--help"]);
        assert_eq!(help.status, 0);
        assert!(help.out.contains(&format!("Usage: burdockcleat {name}")), "{name}");
        assert!(help.out.contains("Exit status: 0"), "{name}");
    }
}
