//! Tests of what operators use in a real deployment: configuration, drains, orders, console and
//! dumps.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

#[path = "operators/commands.rs"]
mod commands;
#[path = "operators/config.rs"]
mod config;
#[path = "operators/console.rs"]
mod console;
#[path = "operators/drain.rs"]
mod drain;
#[path = "operators/orders.rs"]
mod orders;
#[path = "operators/overload.rs"]
mod overload;

use burdockcleat_testbed::cluster::{ClusterPlan, DOCUMENT, TestCluster};
use burdockcleat_testbed::command::OperatorCommand;
use std::io::Write;
use tempfile::NamedTempFile;

fn stage(entries: usize, engines: usize) -> TestCluster {
    TestCluster::open(ClusterPlan { entries, engines, ..ClusterPlan::default() }).unwrap()
}

fn commands(stage: &TestCluster) -> OperatorCommand {
    OperatorCommand::new(&stage.deployment.control_urls())
}

fn temp_file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file
}

fn path(file: &NamedTempFile) -> &str {
    file.path().to_str().unwrap()
}

/// Returns the document of the stage with another weight of the first workspace.
fn document_with_weight(weight: u64) -> String {
    DOCUMENT.replacen("weight = 8", &format!("weight = {weight}"), 1)
}
