//! Tests of the whole path of a request through entry, control and target as real processes.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::client::call_service;
use burdockcleat_testbed::cluster::{CREDENTIAL, ClusterPlan, TestCluster, URGENT_CREDENTIAL};
use burdockcleat_testbed::prompt::token_text;
use serde_json::json;

fn stage(entries: usize) -> TestCluster {
    TestCluster::open(ClusterPlan { entries, ..ClusterPlan::default() }).unwrap()
}

/// Guards against tokens that are sent only after the answer is complete.
#[test]
fn tokens_arrive_while_the_engine_still_decodes() {
    let stage = stage(1);
    let request = stage.completion(0, "r-1", 40);
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

/// Guards against a second run of a request that its caller sends again after it has ended.
#[test]
fn a_resend_through_another_entry_gets_the_same_answer_without_a_second_run() {
    let stage = stage(2);
    let first = stage.completion(0, "r-1", 10).send();
    let second = stage.completion(1, "r-1", 10).send();
    assert!(first.done && second.done, "{first:?} {second:?}");
    assert_eq!(first.tokens, second.tokens);
    assert_eq!(stage.dispatch_count(), 1);
}

/// Guards against an order confirmation that runs twice.
#[test]
fn an_order_confirmation_runs_once() {
    let stage = stage(2);
    let body = json!({ "part": "hinge-12", "count": 2 });
    let path = "/svc/depot-orders/confirmations";
    let send = |entry: usize| {
        let url = stage.deployment.entry_url(entry);
        call_service(&url, CREDENTIAL, "order-1", path, &body).unwrap()
    };
    assert_eq!(send(0).status, 200);
    let again = send(1);
    assert_eq!(again.body["error"]["outcome"], "completed", "{again:?}");
    assert_eq!(stage.service.journal().dispatch_count(), 1);
}

/// Guards against a workspace that can inspect, resume or block a request of another workspace.
#[test]
fn a_request_id_of_another_workspace_is_another_request() {
    let stage = stage(1);
    let first = stage.completion(0, "r-1", 10).send();
    let mut forged = stage.completion(0, "r-1", 10);
    forged.credential = URGENT_CREDENTIAL.into();
    forged.prompt = "Another content".into();
    let second = forged.send();
    assert!(first.done && second.done, "{second:?}");
    assert_ne!(first.tokens, second.tokens);
    let mut wrong = stage.completion(0, "r-1", 10);
    wrong.credential = "test-nobody".into();
    let refused = wrong.send();
    assert_eq!((refused.status, refused.outcome()), (401, "unknown"));
}
