//! Tests of the operator API client against a fake control instance that fails on request.

use super::fake_control::{FakeAction, FakeControl, closed_url};
use burdockcleat::operator::{
    ApplyReply, ApplyRequest, ClientError, ClientSettings, OperatorClient, OrderRequest, OrderState,
};
use std::time::{Duration, Instant};

const EXAMPLE_DOCUMENT: &str = include_str!("../../../../examples/bureau.toml");

fn client(urls: &[&str]) -> OperatorClient {
    let settings = ClientSettings {
        connect_timeout: Duration::from_millis(500),
        reply_timeout: Duration::from_millis(500),
        rounds: 3,
        round_delay: Duration::from_millis(10),
    };
    let urls: Vec<String> = urls.iter().map(|url| (*url).to_owned()).collect();
    OperatorClient::open(&urls, settings).expect("valid URLs")
}

fn edit(operation_id: &str, base_version: u64) -> ApplyRequest {
    let (operation_id, author) = (operation_id.to_owned(), "test".to_owned());
    ApplyRequest { base_version, operation_id, author, document: EXAMPLE_DOCUMENT.to_owned() }
}

fn not_leader(leader: Option<&str>) -> FakeAction {
    FakeAction::Reply(421, serde_json::json!({ "leader": leader }).to_string())
}

// Guards against an edit that is applied twice, or conflicts with itself, when its reply is lost,
// cut or late, or the connection is closed before the edit is applied.
#[test]
fn a_lost_reply_is_resent_with_the_same_id() {
    let delay = FakeAction::Delay(Duration::from_millis(1_500));
    for action in [FakeAction::LoseReply, FakeAction::CutReply, FakeAction::Ignore, delay] {
        let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
        control.queue_actions([action.clone()]);
        let result = client(&[&control.url]).apply(&edit("a", 1));
        assert_eq!(result, Ok(ApplyReply { version: 2 }), "{action:?}");
        assert_eq!(control.version(), 2, "{action:?}");
        let posts = control.posts();
        assert_eq!(posts.len(), 2, "{action:?}");
        assert_eq!(posts[0], posts[1], "{action:?}");
    }
}

// Guards against an edit that is reported as failed although it may be in force.
#[test]
fn an_edit_without_any_reply_has_an_unknown_outcome() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    control.state().default_action = Some(FakeAction::LoseReply);
    let error = client(&[&control.url]).apply(&edit("a", 1)).expect_err("no reply");
    assert!(
        matches!(&error, ClientError::OutcomeUnknown { operation_id, .. } if operation_id == "a"),
        "{error}"
    );
    assert_eq!(control.version(), 2);
    let posts = control.posts();
    assert_eq!(posts.len(), 3);
    assert!(posts.iter().all(|post| *post == posts[0]));
    // The operator resends with the id that the error names.
    control.state().default_action = None;
    assert_eq!(client(&[&control.url]).apply(&edit("a", 1)), Ok(ApplyReply { version: 2 }));
}

// Guards against an edit that is reported as unreachable although one instance received it before
// the later attempts found no leader.
#[test]
fn one_lost_reply_among_unreachable_instances_stays_unknown() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    control.queue_actions([FakeAction::LoseReply]);
    control.state().default_action = Some(not_leader(None));
    let error = client(&[&control.url, &closed_url()]).apply(&edit("a", 1)).expect_err("no reply");
    assert!(matches!(error, ClientError::OutcomeUnknown { .. }), "{error}");
}

// Guards against an unknown outcome for an edit that was never sent, and against a client that
// gives up after the first instance.
#[test]
fn unreachable_instances_are_skipped() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    let closed = closed_url();
    let reply = client(&[&closed, &control.url]).apply(&edit("a", 1));
    assert_eq!(reply, Ok(ApplyReply { version: 2 }));
    let error = client(&[&closed]).apply(&edit("b", 2)).expect_err("nobody listens");
    assert!(matches!(error, ClientError::Unreachable(_)), "{error}");
}

// Guards against a client that stops at a follower, or follows redirects between two instances
// endlessly.
#[test]
fn redirects_to_the_leader_are_followed() {
    let (follower, leader) =
        (FakeControl::spawn(EXAMPLE_DOCUMENT), FakeControl::spawn(EXAMPLE_DOCUMENT));
    follower.state().default_action = Some(not_leader(Some(&leader.url)));
    let reply = client(&[&follower.url]).apply(&edit("a", 1));
    assert_eq!(reply, Ok(ApplyReply { version: 2 }));
    assert_eq!((follower.version(), leader.version()), (1, 2));

    leader.state().default_action = Some(not_leader(Some(&follower.url)));
    let error = client(&[&follower.url]).config().expect_err("no leader");
    assert!(matches!(error, ClientError::Unreachable(_)), "{error}");
    assert_eq!(
        leader.state().requests.len(),
        4,
        "one from the edit above and one in each of three rounds"
    );

    follower.state().default_action = Some(not_leader(None));
    leader.state().default_action = None;
    let config = client(&[&follower.url, &leader.url]).config().expect("the leader replies");
    assert_eq!(config.version, 2);
}

// Guards against a client that gives up while a leader is being elected, and against an edit that
// is reported as unreachable although it was sent.
#[test]
fn requests_are_retried_during_an_election() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    let unconfirmed = r#"{"error": "unconfirmed", "message": "rebuilding"}"#.to_owned();
    control.queue_actions([not_leader(None), FakeAction::Reply(503, unconfirmed.clone())]);
    assert_eq!(client(&[&control.url]).apply(&edit("a", 1)), Ok(ApplyReply { version: 2 }));
    control.state().default_action = Some(FakeAction::Reply(503, unconfirmed));
    let error = client(&[&control.url]).apply(&edit("b", 2)).expect_err("never confirmed");
    assert!(matches!(error, ClientError::OutcomeUnknown { .. }), "{error}");
    let error = client(&[&control.url]).config().expect_err("never confirmed");
    assert!(matches!(error, ClientError::Unreachable(_)), "{error}");
}

// Guards against two concurrent edits of which the second overwrites the first.
#[test]
fn the_second_of_two_racing_edits_gets_a_conflict() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    let client = client(&[&control.url]);
    assert_eq!(client.apply(&edit("first", 1)), Ok(ApplyReply { version: 2 }));
    let conflict = Err(ClientError::Conflict { current_version: 2 });
    assert_eq!(client.apply(&edit("second", 1)), conflict);
    assert_eq!(client.apply(&edit("third", 2)), Ok(ApplyReply { version: 3 }));
    assert_eq!(client.apply(&edit("second", 1)), conflict, "a resend gets the first result");
}

// Guards against refusals that are retried, or whose message is lost.
#[test]
fn refusals_are_not_retried_and_keep_their_message() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    let mut faulty = edit("a", 1);
    faulty.document =
        EXAMPLE_DOCUMENT.replace("weight = 8", "weight = 0").replace("rank = 2", "rank = 1");
    let error = client(&[&control.url]).apply(&faulty).expect_err("two faulty fields");
    let ClientError::Faults(faults) = error else { panic!("{error}") };
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(paths, ["tiers[2].rank", "tiers", "workspaces[0].weight"]);
    assert_eq!(control.posts().len(), 1);

    let reused = r#"{"error": "operation_reused"}"#.to_owned();
    let unknown = r#"{"error": "not_found", "message": "no target x"}"#.to_owned();
    control.queue_actions([FakeAction::Reply(409, reused), FakeAction::Reply(404, unknown)]);
    let client = client(&[&control.url]);
    assert_eq!(client.apply(&edit("a", 1)), Err(ClientError::OperationReused));
    let message = "no target x".to_owned();
    assert_eq!(client.config(), Err(ClientError::Refused { status: 404, message }));
}

// Guards against a malformed reply to an edit that is treated as a refusal.
#[test]
fn an_unreadable_reply_to_an_edit_has_an_unknown_outcome() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    control.queue_actions([FakeAction::Reply(200, "<html>".to_owned())]);
    let error = client(&[&control.url]).apply(&edit("a", 1)).expect_err("no version");
    assert!(matches!(error, ClientError::OutcomeUnknown { .. }), "{error}");
}

// Guards against a client that waits indefinitely for an instance that accepts connections but
// does not reply.
#[test]
fn an_unresponsive_instance_times_out() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    control.state().default_action = Some(FakeAction::Delay(Duration::from_secs(5)));
    let start = Instant::now();
    let error = client(&[&control.url]).config().expect_err("silence");
    assert!(matches!(error, ClientError::Unreachable(_)), "{error}");
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
}

// Guards against URLs that would send a document to an unintended server or path.
#[test]
fn malformed_urls_are_refused() {
    for url in ["127.0.0.1:1", "https://a", "http://", "http://a/v1", "http://u@a", "http://a?b"] {
        let opened = OperatorClient::open(&[url.to_owned()], ClientSettings::default());
        assert_eq!(opened.err(), Some(ClientError::BadUrl(url.to_owned())));
    }
    assert!(OperatorClient::open(&["http://a:1/".to_owned()], <_>::default()).is_ok());
    assert_eq!(OperatorClient::open(&[], <_>::default()).err(), Some(ClientError::NoUrl));
}

// Guards against an order reply that is parsed incorrectly.
#[test]
fn an_order_reply_has_a_fencing_number() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    let [operation_id, author, target, model] = ["a", "b", "c", "d"].map(str::to_owned);
    let request = OrderRequest { operation_id, author, target, model };
    let reply = client(&[&control.url]).order(&request).expect("accepted");
    assert_eq!((reply.fencing, reply.state), (7, OrderState::Accepted));
}
