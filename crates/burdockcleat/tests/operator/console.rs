//! Tests of the web console as the control daemon serves it, against a fake control instance.

use super::fake_control::{FakeAction, FakeControl};
use burdockcleat::console::form_fields;
use burdockcleat::control::console::ConsoleServer;
use burdockcleat::control::listen::spawn_listener;
use burdockcleat_core::document::ConfigDocument;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const EXAMPLE_DOCUMENT: &str = include_str!("../../../../examples/bureau.toml");

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Sends an HTTP request and returns the complete response.
fn send(address: SocketAddr, line: &str, cookie: &str, body: &str) -> String {
    let mut socket = TcpStream::connect(address).expect("the console listens");
    socket.set_read_timeout(Some(Duration::from_secs(30))).expect("a timeout");
    let head = format!(
        "{line} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncookie: {cookie}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all((head + body).as_bytes()).expect("writable");
    let mut answer = String::new();
    socket.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Returns the value of a hidden field.
fn hidden_value(page: &str, name: &str) -> String {
    let (_, rest) = page.split_once(&format!("name=\"{name}\" value=\"")).expect(name);
    rest.split_once('"').map(|(value, _)| value.to_owned()).expect("a value")
}

// Guards against an edit with a lost reply that is shown as refused, or that a second post sends
// with another operation id.
#[test]
fn a_lost_reply_leads_to_a_page_that_resends_the_same_edit() {
    let control = FakeControl::spawn(EXAMPLE_DOCUMENT);
    let address = free_address();
    let console = ConsoleServer::open(&control.url, "secret").expect("a URL");
    spawn_listener(address, vec![console.request_class()]).expect("a free address");
    let login = send(address, "POST /login", "", "operator-token=secret");
    let (_, cookie) = login.split_once("et-cookie: ").expect("a cookie");
    let cookie = cookie.split(';').next().unwrap_or_default();

    let page = send(address, "GET /console", cookie, "");
    let document = form_fields(&ConfigDocument::parse(EXAMPLE_DOCUMENT).expect("a valid example"));
    let pairs = |page: &str| {
        let hidden = ["base-version", "operation-id", "form-token"];
        let hidden = hidden.map(|name| (name.to_owned(), hidden_value(page, name)));
        let mut body = form_urlencoded::Serializer::new(String::new());
        body.extend_pairs(&document).extend_pairs(hidden).finish()
    };
    let body = pairs(&page);
    let normal = FakeAction::Delay(Duration::ZERO);
    control.queue_actions([normal].into_iter().chain(vec![FakeAction::LoseReply; 5]));
    let unknown = send(address, "POST /console", cookie, &body);
    assert!(unknown.contains("The reply was lost"), "{unknown}");
    assert_eq!(hidden_value(&unknown, "operation-id"), hidden_value(&page, "operation-id"));
    let applied = send(address, "POST /console", cookie, &pairs(&unknown));
    assert!(applied.contains("Version 2 is in force"), "{applied}");
    assert_eq!(control.version(), 2);
    let posts = control.posts();
    assert!(posts.len() == 6 && posts.iter().all(|post| *post == posts[0]), "{posts:?}");
}
