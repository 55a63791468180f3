//! Helpers that several test files of the testbed share.
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

/// Sends a streamed completion and returns the response, whose events are not read yet.
pub fn start_completion(
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
    stream_events(start_completion(address, id, prompt, tokens).unwrap()).unwrap()
}

/// Reads server-sent events until the stream ends. `[DONE]` becomes a JSON string.
pub fn stream_events(response: HttpResponse<Body>) -> std::io::Result<Vec<Value>> {
    let mut events = Vec::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else { continue };
        events.push(serde_json::from_str(data).unwrap_or_else(|_| json!(data)));
    }
    Ok(events)
}

/// Sets the faults of a fake target. They replace the faults set before.
pub fn set_fault(address: SocketAddr, fault: &Value) {
    ureq::post(&format!("http://{address}/testbed/fault")).send_json(fault).unwrap();
}

/// HTTP server of a stub, behind a connection proxy. A plain `tiny_http` server can leave a
/// connection of a burst unserved for seconds.
pub struct GatedServer {
    proxy: ConnectionProxy,
    server: Server,
}

impl GatedServer {
    /// Binds a loopback port that the system chooses.
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

    /// Serves each request on its own thread until the server is unblocked.
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

/// Stub of a control instance that records what targets post.
pub struct ControlStub {
    server: Arc<Server>,
    posts: Receiver<(String, Value)>,
}

impl ControlStub {
    /// Starts a follower that redirects to `leader`, or a leader if `leader` is `None`.
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

    /// Base URL of the stub.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.server_addr())
    }

    /// Returns the path and the body of the oldest unread post, if there is one.
    pub fn try_post(&self) -> Option<(String, Value)> {
        self.posts.try_recv().ok()
    }

    /// Waits for the next post to a path and returns its body. Discards posts to other paths.
    pub fn wait_for_post(&self, path: &str, timeout: Duration) -> Value {
        let deadline = Instant::now() + timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let (url, body) = self.posts.recv_timeout(remaining).unwrap();
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
