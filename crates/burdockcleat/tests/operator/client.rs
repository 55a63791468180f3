//! The operators' client against a fake control instance that fails on request.

use super::fake_control::{FakeControl, FakeStep, closed_url};
use burdockcleat::operator::{
    ApplyReply, ApplyRequest, ClientError, ClientSettings, OperatorClient, OrderRequest, OrderState,
};
use std::time::{Duration, Instant};

const BUREAU: &str = include_str!("../../../../examples/bureau.toml");

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
    ApplyRequest { base_version, operation_id, author, document: BUREAU.to_owned() }
}

fn not_leader(leader: Option<&str>) -> FakeStep {
    FakeStep::Reply(421, serde_json::json!({ "leader": leader }).to_string())
}

// Guards against an edit that is applied twice, or reported as a conflict with itself, after its
// reply was lost in one of three ways.
#[test]
fn a_lost_reply_is_resent_with_the_same_id() {
    let delay = FakeStep::Delay(Duration::from_millis(1_500));
    for step in [FakeStep::LoseReply, FakeStep::CutReply, FakeStep::Ignore, delay] {
        let control = FakeControl::spawn(BUREAU);
        control.plan([step.clone()]);
        let result = client(&[&control.url]).apply(&edit("a", 1));
        assert_eq!(result, Ok(ApplyReply { version: 2 }), "{step:?}");
        assert_eq!(control.version(), 2, "{step:?}");
        let posts = control.posts();
        assert_eq!(posts.len(), 2, "{step:?}");
        assert_eq!(posts[0], posts[1], "{step:?}");
    }
}

// Guards against an edit that is reported as failed although it may be in force.
#[test]
fn an_edit_without_any_reply_has_an_unknown_outcome() {
    let control = FakeControl::spawn(BUREAU);
    control.state().always = Some(FakeStep::LoseReply);
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
    control.state().always = None;
    assert_eq!(client(&[&control.url]).apply(&edit("a", 1)), Ok(ApplyReply { version: 2 }));
}

// Guards against `unreachable` for an edit that one instance received before it went away.
#[test]
fn one_lost_reply_among_unreachable_instances_stays_unknown() {
    let control = FakeControl::spawn(BUREAU);
    control.plan([FakeStep::LoseReply]);
    control.state().always = Some(not_leader(None));
    let error = client(&[&control.url, &closed_url()]).apply(&edit("a", 1)).expect_err("no reply");
    assert!(matches!(error, ClientError::OutcomeUnknown { .. }), "{error}");
}

// Guards against an edit that is reported as unknown although it was never sent, and against a
// client that gives up at the first instance.
#[test]
fn unreachable_instances_are_skipped() {
    let control = FakeControl::spawn(BUREAU);
    let closed = closed_url();
    let reply = client(&[&closed, &control.url]).apply(&edit("a", 1));
    assert_eq!(reply, Ok(ApplyReply { version: 2 }));
    let error = client(&[&closed]).apply(&edit("b", 2)).expect_err("nobody listens");
    assert!(matches!(error, ClientError::Unreachable(_)), "{error}");
}

// Guards against an edit that stops at a follower, or that runs in circles between two.
#[test]
fn the_leader_is_found() {
    let (follower, leader) = (FakeControl::spawn(BUREAU), FakeControl::spawn(BUREAU));
    follower.state().always = Some(not_leader(Some(&leader.url)));
    let reply = client(&[&follower.url]).apply(&edit("a", 1));
    assert_eq!(reply, Ok(ApplyReply { version: 2 }));
    assert_eq!((follower.version(), leader.version()), (1, 2));

    leader.state().always = Some(not_leader(Some(&follower.url)));
    let error = client(&[&follower.url]).config().expect_err("no leader");
    assert!(matches!(error, ClientError::Unreachable(_)), "{error}");
    assert_eq!(leader.state().requests.len(), 4, "one from above and one in each of three rounds");

    follower.state().always = Some(not_leader(None));
    leader.state().always = None;
    let config = client(&[&follower.url, &leader.url]).config().expect("the leader replies");
    assert_eq!(config.version, 2);
}

// Guards against a client that gives up while a leader is being elected.
#[test]
fn an_election_is_waited_out() {
    let control = FakeControl::spawn(BUREAU);
    let unconfirmed = r#"{"error": "unconfirmed", "message": "rebuilding"}"#.to_owned();
    control.plan([not_leader(None), FakeStep::Reply(503, unconfirmed.clone())]);
    assert_eq!(client(&[&control.url]).apply(&edit("a", 1)), Ok(ApplyReply { version: 2 }));
    control.state().always = Some(FakeStep::Reply(503, unconfirmed));
    let error = client(&[&control.url]).apply(&edit("b", 2)).expect_err("never confirmed");
    assert!(matches!(error, ClientError::OutcomeUnknown { .. }), "{error}");
    let error = client(&[&control.url]).config().expect_err("never confirmed");
    assert!(matches!(error, ClientError::Unreachable(_)), "{error}");
}

// Guards against the second of two racing edits overwriting the first.
#[test]
fn the_second_of_two_racing_edits_gets_a_conflict() {
    let control = FakeControl::spawn(BUREAU);
    let client = client(&[&control.url]);
    assert_eq!(client.apply(&edit("first", 1)), Ok(ApplyReply { version: 2 }));
    let conflict = Err(ClientError::Conflict { current_version: 2 });
    assert_eq!(client.apply(&edit("second", 1)), conflict);
    assert_eq!(client.apply(&edit("third", 2)), Ok(ApplyReply { version: 3 }));
    assert_eq!(client.apply(&edit("second", 1)), conflict, "a resend gets the first result");
}

// Guards against refusals that are retried, or whose explanation is lost.
#[test]
fn refusals_are_final_and_explained() {
    let control = FakeControl::spawn(BUREAU);
    let mut faulty = edit("a", 1);
    faulty.document = BUREAU.replace("weight = 8", "weight = 0").replace("rank = 2", "rank = 1");
    let error = client(&[&control.url]).apply(&faulty).expect_err("two faulty fields");
    let ClientError::Faults(faults) = error else { panic!("{error}") };
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(paths, ["tiers[2].rank", "tiers", "workspaces[0].weight"]);
    assert_eq!(control.posts().len(), 1);

    let reused = r#"{"error": "operation_reused"}"#.to_owned();
    let unknown = r#"{"error": "not_found", "message": "no target x"}"#.to_owned();
    control.plan([FakeStep::Reply(409, reused), FakeStep::Reply(404, unknown)]);
    let client = client(&[&control.url]);
    assert_eq!(client.apply(&edit("a", 1)), Err(ClientError::OperationReused));
    let message = "no target x".to_owned();
    assert_eq!(client.config(), Err(ClientError::Refused { status: 404, message }));
}

// Guards against a malformed reply to an edit that is taken as a refusal.
#[test]
fn an_unreadable_reply_to_an_edit_has_an_unknown_outcome() {
    let control = FakeControl::spawn(BUREAU);
    control.plan([FakeStep::Reply(200, "<html>".to_owned())]);
    let error = client(&[&control.url]).apply(&edit("a", 1)).expect_err("no version");
    assert!(matches!(error, ClientError::OutcomeUnknown { .. }), "{error}");
}

// Guards against an instance that accepts connections and never replies.
#[test]
fn a_silent_instance_is_given_up_in_bounded_time() {
    let control = FakeControl::spawn(BUREAU);
    control.state().always = Some(FakeStep::Delay(Duration::from_secs(5)));
    let start = Instant::now();
    let error = client(&[&control.url]).config().expect_err("silence");
    assert!(matches!(error, ClientError::Unreachable(_)), "{error}");
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
}

// Guards against URLs that would send a document to another place than meant.
#[test]
fn malformed_urls_are_refused() {
    for url in ["127.0.0.1:1", "https://a", "http://", "http://a/v1", "http://u@a", "http://a?b"] {
        let opened = OperatorClient::open(&[url.to_owned()], ClientSettings::default());
        assert_eq!(opened.err(), Some(ClientError::BadUrl(url.to_owned())));
    }
    assert!(OperatorClient::open(&["http://a:1/".to_owned()], <_>::default()).is_ok());
    assert_eq!(OperatorClient::open(&[], <_>::default()).err(), Some(ClientError::NoUrl));
}

// Guards against an order whose reply is read wrongly.
#[test]
fn an_order_has_a_fencing_number() {
    let control = FakeControl::spawn(BUREAU);
    let [operation_id, author, target, model] = ["a", "b", "c", "d"].map(str::to_owned);
    let request = OrderRequest { operation_id, author, target, model };
    let reply = client(&[&control.url]).order(&request).expect("accepted");
    assert_eq!((reply.fencing, reply.state), (7, OrderState::Accepted));
}
