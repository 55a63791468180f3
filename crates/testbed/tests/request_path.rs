//! The whole path of a request: caller, entry, control and target as real processes.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::deployment::{Deployment, wait_until};
use burdockcleat_testbed::engine::{EngineSettings, FakeEngine};
use burdockcleat_testbed::probe::{CompletionCall, call_service};
use burdockcleat_testbed::prompt::token_text;
use burdockcleat_testbed::service::{FakeService, ServiceSettings};
use serde_json::json;

const DOCUMENT: &str = include_str!("../../../examples/bureau.toml");
const MODEL: &str = "hinge-spares-13b";

struct Stage {
    deployment: Deployment,
    engines: Vec<FakeEngine>,
    service: FakeService,
}

/// Starts three control instances, `entries` entries, two engines and one service.
fn stage(entries: usize) -> Stage {
    let mut deployment = Deployment::open(3).unwrap();
    for index in 0..3 {
        deployment.start_control(index).unwrap();
    }
    for index in 0..entries {
        deployment.start_entry(index).unwrap();
    }
    let leader = deployment.wait_leader().unwrap();
    assert_eq!(deployment.apply(leader, 0, "op-1", DOCUMENT).unwrap().status, 200);
    let engines = (0..2).map(|number| engine(&deployment, number)).collect();
    let mut settings = ServiceSettings::named("depot-1", "depot-orders");
    settings.target.control_urls = deployment.control_urls();
    let service = FakeService::spawn(settings).unwrap();
    for index in 0..entries {
        deployment.wait_ready(index).unwrap();
    }
    wait_until("the targets to be announced", 10_000, || {
        let status = deployment.control_dump(leader).unwrap();
        status["status"]["targets"].as_array().is_some_and(|targets| targets.len() == 3)
    })
    .unwrap();
    Stage { deployment, engines, service }
}

fn engine(deployment: &Deployment, number: usize) -> FakeEngine {
    let mut settings = EngineSettings::named(&format!("engine-{number}"), "hinge-model");
    settings.target.models = vec![MODEL.into()];
    settings.target.control_urls = deployment.control_urls();
    FakeEngine::spawn(settings).unwrap()
}

fn call(stage: &Stage, entry: usize, id: &str, max_tokens: u32) -> CompletionCall {
    CompletionCall {
        entry_url: stage.deployment.entry_url(entry),
        credential: "test-provincial-depots".into(),
        request_id: id.into(),
        model: MODEL.into(),
        prompt: format!("A hinge for the clinic door, request {id}"),
        max_tokens,
        deadline_ms: 20_000,
        headers: Vec::new(),
    }
}

/// Guards against tokens that are held back until the answer is whole.
#[test]
fn tokens_arrive_while_the_engine_still_decodes() {
    let stage = stage(1);
    let request = call(&stage, 0, "r-1", 40);
    let mut produced_at_first = None;
    let answer = request.send_with(|_| {
        let running = stage.engines.iter().flat_map(|engine| engine.journal().dispatches);
        produced_at_first.get_or_insert(running.map(|record| record.output_tokens).sum::<u32>());
    });
    assert!(answer.done && answer.well_formed, "{answer:?}");
    assert_eq!(answer.tokens.len(), 40);
    for (index, event) in (0..).zip(&answer.tokens) {
        assert_eq!(event["text"], token_text(&request.prompt, index));
        assert_eq!(event["id"], "r-1");
    }
    let spread = answer.times[39].saturating_sub(answer.times[0]);
    assert!(spread.as_millis() > 200, "40 tokens arrived within {spread:?}");
    assert_eq!(produced_at_first, Some(0), "the engine had finished before the first token came");
}

/// Guards against a second run of a request whose caller repeats it after its end.
#[test]
fn a_resend_through_another_entry_gets_the_same_answer_without_a_second_run() {
    let stage = stage(2);
    let first = call(&stage, 0, "r-1", 10).send();
    let mut again = call(&stage, 1, "r-1", 10);
    again.prompt.clone_from(&call(&stage, 0, "r-1", 10).prompt);
    let second = again.send();
    assert!(first.done && second.done, "{first:?} {second:?}");
    assert_eq!(first.tokens, second.tokens);
    let dispatches: u64 =
        stage.engines.iter().map(|engine| engine.journal().dispatch_count()).sum();
    assert_eq!(dispatches, 1);
}

/// Guards against a doubled order.
#[test]
fn an_order_confirmation_runs_once() {
    let stage = stage(2);
    let body = json!({ "part": "hinge-12", "count": 2 });
    let path = "/svc/depot-orders/confirmations";
    let send = |entry: usize| {
        let url = stage.deployment.entry_url(entry);
        call_service(&url, "test-provincial-depots", "order-1", path, &body).unwrap()
    };
    assert_eq!(send(0).status, 200);
    let again = send(1);
    assert_eq!(again.body["error"]["outcome"], "completed", "{again:?}");
    assert_eq!(stage.service.journal().dispatch_count(), 1);
}

/// Guards against one workspace that learns of, resumes or blocks another one's request.
#[test]
fn a_request_id_of_another_workspace_is_another_request() {
    let stage = stage(1);
    let first = call(&stage, 0, "r-1", 10).send();
    let mut forged = call(&stage, 0, "r-1", 10);
    forged.credential = "test-railway-workshops".into();
    forged.prompt = "Another content".into();
    let second = forged.send();
    assert!(first.done && second.done, "{second:?}");
    assert_ne!(first.tokens, second.tokens);
    let mut wrong = call(&stage, 0, "r-1", 10);
    wrong.credential = "test-nobody".into();
    let refused = wrong.send();
    assert_eq!((refused.status, refused.outcome()), (401, "unknown"));
}
