//! Tests of the fake targets and of the load program as processes.
#![allow(clippy::unwrap_used, reason = "a failed helper fails the test")]

mod common;

use common::{set_fault, start_completion, stream_events};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Process of a fake target that is killed when the value is dropped.
struct TargetProcess {
    child: Child,
    address: SocketAddr,
}

impl TargetProcess {
    fn spawn(program: &str, flags: &[&str]) -> Self {
        let mut child = Command::new(program).args(flags).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let started: Value = serde_json::from_str(&line).unwrap();
        let address = started["address"].as_str().unwrap().parse().unwrap();
        Self { child, address }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }

    fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not exit within 10 s");
    }
}

impl Drop for TargetProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a graceful stop that cuts a running stream.
#[test]
fn engine_finishes_its_streams_on_sigterm() {
    let flags = ["--decode-rate", "50", "--listen", "127.0.0.1:0"];
    let mut engine = TargetProcess::spawn(env!("CARGO_BIN_EXE_fake-engine"), &flags);
    let response = start_completion(engine.address, "r1", "finish me", 40).unwrap();
    engine.terminate();
    let events = stream_events(response).unwrap();
    assert_eq!(events.len(), 42);
    assert_eq!(engine.exit_code(), Some(0));
}

/// Guards against a crash marker that does not end the process, or ends it with a successful
/// status.
#[test]
fn engine_process_crashes_on_the_marker() {
    let mut engine = TargetProcess::spawn(env!("CARGO_BIN_EXE_fake-engine"), &[]);
    set_fault(engine.address, &json!({ "crash_marker": "poison" }));
    assert!(start_completion(engine.address, "r1", "poison", 4).is_err());
    assert_eq!(engine.exit_code(), Some(101));
}

/// Guards against a service that ignores SIGTERM, against unknown flags that are accepted, and
/// against a load run against an address outside loopback.
#[test]
fn service_stops_on_sigterm_and_invalid_flags_fail() {
    let mut service = TargetProcess::spawn(env!("CARGO_BIN_EXE_fake-service"), &[]);
    service.terminate();
    assert_eq!(service.exit_code(), Some(0));
    let programs = [
        env!("CARGO_BIN_EXE_fake-engine"),
        env!("CARGO_BIN_EXE_fake-service"),
        env!("CARGO_BIN_EXE_load"),
    ];
    for program in programs {
        let output = Command::new(program).arg("--no-such-flag").output().unwrap();
        assert!(!output.status.success());
        assert!(String::from_utf8_lossy(&output.stderr).contains("no-such-flag"));
    }
    let load = env!("CARGO_BIN_EXE_load");
    let remote = Command::new(load).args(["--entry", "http://192.0.2.1:80"]).output().unwrap();
    assert!(!remote.status.success(), "the load program accepted an entry outside loopback");
}
