//! Tests of orders to engines: effect, fencing, rate and exclusion of an old leader.

use super::{commands, stage};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_testbed::cluster::{DOCUMENT, MODEL, MODEL_POOL, TestCluster};
use burdockcleat_testbed::deployment::{Deployment, ProcessSignal, wait_until};
use burdockcleat_testbed::engine::{EngineSettings, FakeEngine};
use burdockcleat_testbed::fault::FaultSet;
use burdockcleat_testbed::journal::OrderRecord;
use serde_json::Value;
use std::thread;
use std::time::Duration;

/// Second model of the pool, which no engine serves when it starts.
const OTHER_MODEL: &str = "hinge-spares-13b-catalogue";

fn engine(stage: &TestCluster, name: &str, enforces: bool, issuer: &str) -> FakeEngine {
    let mut settings = EngineSettings::named(name, MODEL_POOL);
    settings.target.models = vec![MODEL.into()];
    settings.target.control_urls = stage.deployment.control_urls();
    settings.target.enforces_fencing = enforces;
    settings.target.order_issuer = issuer.into();
    let engine = FakeEngine::spawn(settings).unwrap();
    wait_until("the engine to be listed", 9_000, || target(stage, name).is_some()).unwrap();
    engine
}

fn status(stage: &TestCluster) -> Value {
    commands(stage).run(&["status", "--json"]).unwrap().json()
}

fn target(stage: &TestCluster, name: &str) -> Option<Value> {
    let status = status(stage);
    let targets = status["targets"].as_array()?;
    targets.iter().find(|target| target["name"] == name).cloned()
}

fn orders(engine: &FakeEngine) -> Vec<OrderRecord> {
    engine.journal().orders
}

/// Sends an order, waits for its result and returns the output of the command.
fn send_order(stage: &TestCluster, name: &str, model: &str, id: &str) -> Value {
    let ended = commands(stage)
        .run(&["order", name, model, "--operation-id", id, "--json", "--wait", "20"])
        .unwrap();
    assert_eq!(ended.status, 0, "{name}: {}", ended.stderr);
    ended.json()
}

/// Guards against an order that has no effect or is applied twice, against an order to a target
/// that takes its orders from another issuer, and against a result that is reported before the
/// model is served.
#[test]
fn an_order_is_applied_once_with_and_without_fencing() {
    let mut stage = stage(1, 1);
    let fenced = engine(&stage, "fenced", true, "burdockcleat");
    let open = engine(&stage, "open", false, "burdockcleat");
    let foreign = engine(&stage, "foreign", true, "somebody");
    for (engine, name) in [(&fenced, "fenced"), (&open, "open")] {
        let first = send_order(&stage, name, OTHER_MODEL, name);
        let models = target(&stage, name).unwrap()["models"].clone();
        assert!(models.as_array().unwrap().contains(&OTHER_MODEL.into()), "{models}");
        assert_eq!(send_order(&stage, name, OTHER_MODEL, name)["fencing"], first["fencing"]);
        let received = orders(engine);
        assert_eq!(received.iter().filter(|order| order.applied).count(), 1, "{received:?}");
        assert_eq!(Value::from(received[0].fencing), first["fencing"]);
    }
    let refused = commands(&stage).run(&["order", "foreign", OTHER_MODEL]).unwrap();
    assert_eq!(refused.status, 1);
    assert!(refused.stderr.contains("takes orders from \"somebody\""), "{}", refused.stderr);

    let leader = stage.deployment.wait_leader().unwrap();
    stage.deployment.signal(&Deployment::control_name(leader), ProcessSignal::Kill).unwrap();
    let before = orders(&fenced).len();
    send_order(&stage, "fenced", OTHER_MODEL, "fenced");
    thread::sleep(Duration::from_millis(4_000));
    assert_eq!(orders(&fenced).len(), before, "an ended order was sent again");
    let listed = status(&stage)["orders"].clone();
    let listed = listed.as_array().unwrap().iter().find(|order| order["operation_id"] == "fenced");
    assert_eq!(listed.unwrap()["state"], "done");
    assert!(orders(&foreign).is_empty());
}

/// Guards against model loads above the rate that the weight store sustains.
#[test]
fn loads_keep_to_the_rate_of_the_weight_store() {
    let stage = stage(1, 4);
    let leader = stage.deployment.wait_leader().unwrap();
    let rate = "weight-loads-per-minute = ";
    let text = DOCUMENT.replacen(&format!("{rate}6"), &format!("{rate}40"), 1);
    assert_eq!(stage.deployment.apply(leader, 1, "rate", &text).unwrap().status, 200);
    thread::scope(|scope| {
        for number in 0..4 {
            let stage = &stage;
            scope.spawn(move || {
                let name = format!("engine-{number}");
                send_order(stage, &name, OTHER_MODEL, &name);
            });
        }
    });
    let mut times: Vec<u64> =
        stage.engines.iter().flat_map(orders).map(|order| order.at_ms).collect();
    times.sort_unstable();
    let gaps: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    println!("gaps between loads: {gaps:?} ms");
    // 40 loads a minute are 1,500 ms apart. Sending and receiving take up to 100 ms.
    assert!(gaps.len() == 3 && gaps.iter().all(|gap| *gap >= 1_400), "{gaps:?}");
}

/// Guards against an old leader whose order arrives after one of its successor. An engine that
/// enforces fencing must refuse it, and one that ignores fencing must not receive it.
#[test]
fn no_order_of_an_old_leader_is_applied_after_one_of_its_successor() {
    let mut stage = stage(1, 1);
    let fenced = engine(&stage, "fenced", true, "burdockcleat");
    let open = engine(&stage, "open", false, "burdockcleat");
    let leader = stage.deployment.wait_leader().unwrap();
    let name = Deployment::control_name(leader);
    // The orders of the old leader stay open because the frozen engines do not answer.
    for engine in [&fenced, &open] {
        engine.set_fault(FaultSet { freeze: true, ..FaultSet::default() });
    }
    for target in ["fenced", "open"] {
        let ended = commands(&stage).run(&["order", target, OTHER_MODEL, "--operation-id", target]);
        assert_eq!(ended.unwrap().status, 0);
    }
    thread::sleep(Duration::from_millis(4_000));
    stage.deployment.signal(&name, ProcessSignal::Stop).unwrap();
    for engine in [&fenced, &open] {
        engine.set_fault(FaultSet::default());
    }
    let next = stage.deployment.wait_leader().unwrap();
    assert_ne!(next, leader);
    for target in ["fenced", "open"] {
        send_order(&stage, target, OTHER_MODEL, target);
        send_order(&stage, target, MODEL, &format!("{target}-later"));
    }
    stage.deployment.signal(&name, ProcessSignal::Continue).unwrap();
    thread::sleep(Duration::from_millis(5_000));
    for engine in [&fenced, &open] {
        let received = orders(engine);
        let applied: Vec<u64> =
            received.iter().filter(|order| order.applied).map(|order| order.fencing).collect();
        assert!(applied.len() == 2 && applied[0] < applied[1], "{received:?}");
    }
    let received: Vec<u64> = orders(&open).iter().map(|order| order.fencing).collect();
    assert!(received.is_sorted(), "the old leader's order arrived late: {received:?}");
}

/// Guards against a new leader that sends an order to an engine that ignores fencing while an order
/// of the old leader may still be in flight, and against this wait for engines that enforce
/// fencing.
#[test]
fn a_new_leader_waits_for_engines_that_ignore_fencing() {
    let mut stage = stage(1, 1);
    let fenced = engine(&stage, "fenced", true, "burdockcleat");
    let open = engine(&stage, "open", false, "burdockcleat");
    let leader = stage.deployment.wait_leader().unwrap();
    // Raises the rate of loads of the weight store, so that it does not delay the orders.
    let rate = "weight-loads-per-minute = ";
    let text = DOCUMENT.replacen(&format!("{rate}6"), &format!("{rate}600"), 1);
    assert_eq!(stage.deployment.apply(leader, 1, "rate", &text).unwrap().status, 200);
    stage.deployment.signal(&Deployment::control_name(leader), ProcessSignal::Kill).unwrap();
    wait_until("the next leader", 9_000, || {
        let dumps = (0..3).filter_map(|index| stage.deployment.control_dump(index).ok());
        dumps.into_iter().any(|dump| dump["leading"] == true)
    })
    .unwrap();
    let leader_seen_ms = ClockTime::wall().as_ms();
    for target in ["open", "fenced"] {
        let id = format!("early-{target}");
        let ended = commands(&stage).run(&["order", target, OTHER_MODEL, "--operation-id", &id]);
        assert_eq!(ended.unwrap().status, 0);
    }
    wait_until("both orders", 9_000, || !orders(&open).is_empty() && !orders(&fenced).is_empty())
        .unwrap();
    let after = |engine: &FakeEngine| orders(engine)[0].at_ms.saturating_sub(leader_seen_ms);
    println!("received {} ms (open) and {} ms (fenced) after", after(&open), after(&fenced));
    // The test detects the leader up to 200 ms late.
    assert!(after(&open) >= 2_400, "{} ms", after(&open));
    assert!(after(&fenced) < 2_400, "{} ms", after(&fenced));
}
