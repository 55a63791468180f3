//! Runs a small deployment on this machine and sends requests through it.
//!
//! Starts three control instances, two entries, four fake engines and one fake plain service, and
//! applies an example document. Prints the tokens of each answer as they arrive.

use burdockcleat_testbed::client::{CompletionCall, call_service};
use burdockcleat_testbed::deployment::{Deployment, wait_until};
use burdockcleat_testbed::engine::{EngineSettings, FakeEngine};
use burdockcleat_testbed::service::{FakeService, ServiceSettings};
use eyre::{Result, WrapErr, bail};
use serde_json::json;
use std::io::Write;

const DOCUMENT: &str = include_str!("../../../../examples/bureau.toml");
const MODEL: &str = "hinge-spares-13b";
const CREDENTIAL: &str = "test-provincial-depots";
const CONTROLS: usize = 3;
const ENTRIES: usize = 2;
const ENGINES: usize = 4;
/// Time for all targets to be announced.
const ANNOUNCE_TIMEOUT_MS: u64 = 10_000;

fn main() -> Result<()> {
    let deployment = start()?;
    let engines = start_engines(&deployment)?;
    let service = start_service(&deployment)?;
    wait_until("all targets to be announced", ANNOUNCE_TIMEOUT_MS, || {
        announced_target_count(&deployment) == ENGINES + 1
    })?;
    println!("targets: {ENGINES} engines and 1 plain service are announced");
    for (number, entry) in (0..ENTRIES).enumerate() {
        send_completion(&deployment, entry, &format!("note-{number}"))?;
    }
    confirm_order(&deployment)?;
    let dispatches: u64 = engines.iter().map(|engine| engine.journal().dispatch_count()).sum();
    let orders = service.journal().dispatch_count();
    println!("targets report {dispatches} model dispatches and {orders} order");
    if (dispatches, orders) != (ENTRIES as u64, 1) {
        bail!("expected {ENTRIES} model dispatches and 1 order");
    }
    Ok(())
}

fn start() -> Result<Deployment> {
    let mut deployment = Deployment::open(CONTROLS)?;
    for index in 0..CONTROLS {
        deployment
            .start_control(index)
            .wrap_err("failed to start a control instance; were the daemons built?")?;
    }
    for index in 0..ENTRIES {
        deployment.start_entry(index)?;
    }
    let leader = deployment.wait_leader()?;
    println!("control: {CONTROLS} instances, {} leads", deployment.control_url(leader));
    let applied = deployment.apply(leader, 0, "local-run", DOCUMENT)?;
    if applied.status != 200 {
        bail!("failed to apply the document: {} {}", applied.status, applied.body);
    }
    println!("document: version {} is accepted", applied.body["version"]);
    for index in 0..ENTRIES {
        deployment.wait_ready(index)?;
        let version = deployment.entry_dump(index)?["session"]["config-version"].clone();
        println!("entry: {} is ready with version {version}", deployment.entry_url(index));
    }
    Ok(deployment)
}

fn start_engines(deployment: &Deployment) -> Result<Vec<FakeEngine>> {
    let spawn = |number| {
        let mut settings = EngineSettings::named(&format!("engine-{number}"), "hinge-model");
        settings.target.models = vec![MODEL.into()];
        settings.target.control_urls = deployment.control_urls();
        FakeEngine::spawn(settings).wrap_err("failed to start a fake engine")
    };
    (0..ENGINES).map(spawn).collect()
}

fn start_service(deployment: &Deployment) -> Result<FakeService> {
    let mut settings = ServiceSettings::named("depot-1", "depot-orders");
    settings.target.control_urls = deployment.control_urls();
    FakeService::spawn(settings).wrap_err("failed to start a fake service")
}

fn announced_target_count(deployment: &Deployment) -> usize {
    let Some(leader) = deployment.leader() else { return 0 };
    let dump = deployment.control_dump(leader).unwrap_or_default();
    dump["status"]["targets"].as_array().map_or(0, Vec::len)
}

fn send_completion(deployment: &Deployment, entry: usize, id: &str) -> Result<()> {
    let call = CompletionCall {
        entry_url: deployment.entry_url(entry),
        credential: CREDENTIAL.into(),
        request_id: id.into(),
        model: MODEL.into(),
        prompt: "The lower hinge of the clinic's east door is bent. Which part fits?".into(),
        max_tokens: 24,
        deadline_ms: 20_000,
        headers: Vec::new(),
    };
    print!("{id}: ");
    let answer = call.send_with(|token| {
        print!("{} ", token["text"].as_str().unwrap_or("?"));
        // Shows the token at once. A failed flush affects the display only.
        let _ = std::io::stdout().flush();
    });
    println!();
    if !answer.done {
        bail!("{id} did not complete: {}", answer.error);
    }
    let first = answer.times.first().map_or(0, std::time::Duration::as_millis);
    let last = answer.times.last().map_or(0, std::time::Duration::as_millis);
    println!(
        "{id}: {} tokens, the first after {first} ms, the last after {last} ms",
        answer.tokens.len()
    );
    Ok(())
}

fn confirm_order(deployment: &Deployment) -> Result<()> {
    let body = json!({ "part": "hinge-12", "count": 2 });
    for entry in 0..ENTRIES {
        let answer = call_service(
            &deployment.entry_url(entry),
            CREDENTIAL,
            "order-1",
            "/svc/depot-orders/confirmations",
            &body,
        )?;
        println!("order-1 through entry {entry}: status {} {}", answer.status, answer.body);
    }
    Ok(())
}
