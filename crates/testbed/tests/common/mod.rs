//! Helpers shared by the tests of the testbed.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]
#![allow(clippy::unwrap_used, reason = "a failed helper fails the test")]

use burdockcleat::entry::proxy::{ConnectionProxy, ProxyLimits, open_backend_listener};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Cursor};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::{Request, Response, Server};
use ureq::Body;
use ureq::http::Response as HttpResponse;

/// Sends a streamed completion.
pub fn start(
    address: SocketAddr,
    id: &str,
    prompt: &str,
    tokens: u32,
) -> Result<HttpResponse<Body>, ureq::Error> {
    let body = json!({ "model": "m1", "prompt": prompt, "max_tokens": tokens, "stream": true });
    let url = format!("http://{address}/v1/completions");
    ureq::post(&url).header("x-request-id", id).send_json(&body)
}

/// Sends a streamed completion and reads all its events.
pub fn complete(address: SocketAddr, id: &str, prompt: &str, tokens: u32) -> Vec<Value> {
    stream_events(start(address, id, prompt, tokens).unwrap()).unwrap()
}

/// Reads server-sent events to the end; `[DONE]` becomes a JSON string.
pub fn stream_events(response: HttpResponse<Body>) -> std::io::Result<Vec<Value>> {
    let mut events = Vec::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else { continue };
        events.push(serde_json::from_str(data).unwrap_or_else(|_| json!(data)));
    }
    Ok(events)
}

/// Posts a set of faults.
pub fn set_fault(address: SocketAddr, fault: &Value) {
    ureq::post(&format!("http://{address}/testbed/fault")).send_json(fault).unwrap();
}

/// HTTP server of a stand-in, behind a connection proxy: a plain `tiny_http` server can leave a
/// connection of a burst unserved for seconds.
pub struct GatedServer {
    proxy: ConnectionProxy,
    server: Server,
}

impl GatedServer {
    /// Binds a port of the system's choice.
    pub fn bind() -> Self {
        let server = Server::from_listener(open_backend_listener().unwrap(), None).unwrap();
        let backend = server.server_addr().to_ip().unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let proxy = ConnectionProxy::bind(address, backend, ProxyLimits::default()).unwrap();
        Self { proxy, server }
    }

    /// Base URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.proxy.address())
    }

    /// Serves each request on a thread of its own until the server is unblocked.
    pub fn serve(
        self: &Arc<Self>,
        answer: impl Fn(&mut Request) -> Response<Cursor<Vec<u8>>> + Send + Sync + 'static,
    ) {
        let (server, answer) = (Arc::clone(self), Arc::new(answer));
        thread::spawn(move || {
            while let Ok(mut request) = server.server.recv() {
                let (server, answer) = (Arc::clone(&server), Arc::clone(&answer));
                thread::spawn(move || {
                    let port = request.remote_addr().unwrap().port();
                    let response = answer(&mut request);
                    server.proxy.mark_received(port);
                    let _ = request.respond(response);
                    server.proxy.mark_finished(port);
                });
            }
        });
    }
}

/// Stand-in of a control instance that records what targets post.
pub struct ControlStub {
    server: Arc<Server>,
    posts: Receiver<(String, Value)>,
}

impl ControlStub {
    /// Starts a leader, or a follower that redirects to `leader`.
    pub fn spawn(leader: Option<String>) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let (sender, posts) = channel();
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            while let Ok(mut request) = accepting.recv() {
                let body = serde_json::from_reader(request.as_reader()).unwrap_or_default();
                let _ = sender.send((request.url().to_owned(), body));
                let answer = match &leader {
                    Some(url) => Response::from_string(json!({ "leader": url }).to_string())
                        .with_status_code(421),
                    None => Response::from_string("{}"),
                };
                let _ = request.respond(answer);
            }
        });
        Self { server, posts }
    }

    /// Base URL of the stand-in.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.server_addr())
    }

    /// Takes a post that has already arrived.
    pub fn try_next(&self) -> Option<(String, Value)> {
        self.posts.try_recv().ok()
    }

    /// Waits for the next post to a path.
    pub fn next(&self, path: &str, limit: Duration) -> Value {
        let end = Instant::now() + limit;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let (url, body) = self.posts.recv_timeout(left).unwrap();
            if url == path {
                return body;
            }
        }
    }
}

impl Drop for ControlStub {
    fn drop(&mut self) {
        self.server.unblock();
    }
}
