//! Fake control instance that keeps its state in memory and fails on request.

use burdockcleat::operator::{
    ApplyReply, ApplyRequest, ConfigReply, DrainReply, EntryStatus, HistoryEntry, HistoryReply,
    OrderReply, OrderRequest, OrderState, OrderStatus, StatusReply,
};
use burdockcleat_core::document::ConfigDocument;
use serde::Serialize;
use serde_json::json;
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// How the server handles a request.
#[derive(Clone, Debug)]
pub enum FakeAction {
    /// Executes the request and closes the connection without a reply.
    LoseReply,
    /// Executes the request and sends half of the reply.
    CutReply,
    /// Closes the connection without executing the request.
    Ignore,
    /// Executes the request and replies after this delay.
    Delay(Duration),
    /// Replies with this status and body without executing the request.
    Reply(u16, String),
}

/// State of the fake control instance.
#[derive(Default)]
pub struct FakeState {
    pub config: Option<ConfigReply>,
    /// Reply to each edit, by operation id.
    pub results: HashMap<String, (u16, String)>,
    pub history: Vec<HistoryEntry>,
    pub status: StatusReply,
    /// Actions for the next requests, in order.
    pub queued_actions: VecDeque<FakeAction>,
    /// Action for all requests after `queued_actions`; `None` serves them normally.
    pub default_action: Option<FakeAction>,
    /// Method, path and body of each request so far.
    pub requests: Vec<(String, String, String)>,
}

/// Fake control instance that listens on a loopback port.
pub struct FakeControl {
    pub url: String,
    state: Arc<Mutex<FakeState>>,
}

impl FakeControl {
    /// Starts a server on a loopback port, with the document as version 1.
    pub fn spawn(document: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let url = format!("http://{}", listener.local_addr().expect("an address"));
        let config = Some(ConfigReply { version: 1, document: document.to_owned() });
        let state = Arc::new(Mutex::new(FakeState { config, ..FakeState::default() }));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &state));
            }
        });
        Self { url, state }
    }

    pub fn state(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().expect("no thread panicked")
    }

    /// Sets the actions for the next requests.
    pub fn queue_actions(&self, actions: impl IntoIterator<Item = FakeAction>) {
        self.state().queued_actions.extend(actions);
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.state().config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the bodies of all `POST` requests so far.
    pub fn posts(&self) -> Vec<String> {
        let state = self.state();
        let posts = state.requests.iter().filter(|(method, ..)| method == "POST");
        posts.map(|(_, _, body)| body.clone()).collect()
    }
}

/// Returns a URL that refuses connections.
pub fn closed_url() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    format!("http://{}", listener.local_addr().expect("an address"))
}

fn serve(mut stream: TcpStream, state: &Mutex<FakeState>) {
    let Some((method, path, body)) = read_request(&stream) else { return };
    let mut state = state.lock().expect("no thread panicked");
    state.requests.push((method.clone(), path.clone(), body.clone()));
    let action = state.queued_actions.pop_front().or_else(|| state.default_action.clone());
    if let Some(FakeAction::Ignore) = action {
        return;
    }
    if let Some(FakeAction::Reply(status, text)) = &action {
        return write_reply(&mut stream, *status, text, text.len());
    }
    let (status, text) = state.answer(&method, &path, &body);
    drop(state);
    match action {
        Some(FakeAction::LoseReply) => {}
        Some(FakeAction::CutReply) => {
            write_reply(&mut stream, status, &text[..text.len() / 2], text.len());
        }
        Some(FakeAction::Delay(time)) => {
            thread::sleep(time);
            write_reply(&mut stream, status, &text, text.len());
        }
        _ => write_reply(&mut stream, status, &text, text.len()),
    }
}

fn read_request(stream: &TcpStream) -> Option<(String, String, String)> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace().map(str::to_owned);
    let (method, path) = (words.next()?, words.next()?);
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, path, String::from_utf8(body).ok()?))
}

fn write_reply(stream: &mut TcpStream, status: u16, text: &str, length: usize) {
    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n");
    // In some tests the client has timed out and closed the connection.
    let _ = stream.write_all(format!("{head}\r\n{text}").as_bytes());
}

impl FakeState {
    fn answer(&mut self, method: &str, path: &str, body: &str) -> (u16, String) {
        match (method, path) {
            ("GET", "/v1/config" | "/v1/config?version=1") => reply(&self.config),
            ("POST", "/v1/config") => self.apply(&serde_json::from_str(body).expect("a request")),
            ("GET", "/v1/history") => reply(&HistoryReply { versions: self.history.clone() }),
            ("GET", "/v1/status") => reply(&self.status),
            ("GET", "/v1/dump") => reply(&json!({"queues": []})),
            ("POST", "/v1/drain") => {
                self.status.entries.iter_mut().for_each(|entry| entry.running = 0);
                reply(&DrainReply { running: 3 })
            }
            ("POST", "/v1/orders") => self.order(&serde_json::from_str(body).expect("a request")),
            _ => (404, json!({"error": "not_found", "message": path}).to_string()),
        }
    }

    fn apply(&mut self, request: &ApplyRequest) -> (u16, String) {
        if let Some(first) = self.results.get(&request.operation_id) {
            return first.clone();
        }
        if let Err(faults) = ConfigDocument::parse(&request.document) {
            let faults: Vec<_> = faults
                .iter()
                .map(|fault| json!({"path": fault.path, "message": fault.kind.to_string()}))
                .collect();
            return (422, json!({"faults": faults}).to_string());
        }
        let version = self.config.as_ref().map_or(0, |config| config.version);
        let result = if request.base_version == version {
            self.install(version + 1, request);
            reply(&ApplyReply { version: version + 1 })
        } else {
            (409, json!({"error": "conflict", "current_version": version}).to_string())
        };
        self.results.insert(request.operation_id.clone(), result.clone());
        result
    }

    fn install(&mut self, version: u64, request: &ApplyRequest) {
        self.config = Some(ConfigReply { version, document: request.document.clone() });
        let (author, operation_id) = (request.author.clone(), request.operation_id.clone());
        let entry =
            HistoryEntry { version, author, operation_id, time_ms: 1_780_000_000_000, changes: 1 };
        self.history.insert(0, entry);
        self.status.config_version = version;
        let name = "entry-1".to_owned();
        let entry = EntryStatus { name, config_version: version, running: 3, ..<_>::default() };
        self.status.entries = vec![entry];
    }

    /// Accepts an order, which fails for the target `broken` and is done for any other.
    fn order(&mut self, request: &OrderRequest) -> (u16, String) {
        let fails = request.target == "broken";
        self.status.orders.push(OrderStatus {
            operation_id: request.operation_id.clone(),
            target: request.target.clone(),
            model: request.model.clone(),
            state: if fails { OrderState::Failed } else { OrderState::Done },
            message: if fails { "no space for the model".to_owned() } else { String::new() },
        });
        reply(&OrderReply { fencing: 7, state: OrderState::Accepted })
    }
}

fn reply<T: Serialize>(value: &T) -> (u16, String) {
    (200, serde_json::to_string(value).expect("a reply serialises"))
}
