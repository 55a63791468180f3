//! Fake plain service that records its calls in a journal.

use crate::announce::{
    EventQueue, StatusProbe, TargetAnnouncer, TargetKind, TargetSettings, TargetStatus,
};
use crate::error::TestbedError;
use crate::fault::FaultSet;
use crate::http::{CallerHandle, HttpServer, header_value, respond_json};
use crate::journal::{DispatchEnd, DispatchRecord, TargetJournal};
use crate::prompt::body_hash;
use crate::sync::locked;
use burdockcleat_core::clock::ClockTime;
use serde_json::json;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tiny_http::Request;

/// Interval at which the service checks its state while it waits.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a fake service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Settings of the target and of its announcements.
    pub target: TargetSettings,
    /// Time that a call takes, in milliseconds.
    pub latency_ms: u64,
    /// Whether a crash ends the process. Otherwise only this service stops.
    pub crash_exits: bool,
}

impl ServiceSettings {
    /// Returns settings with this name and pool, and defaults for the rest.
    pub fn named(name: &str, pool: &str) -> Self {
        let mut target = TargetSettings::named(name, pool);
        target.models.clear();
        target.enforces_fencing = false;
        Self { target, latency_ms: 20, crash_exits: false }
    }
}

struct ServiceCore {
    settings: ServiceSettings,
    fault: Mutex<FaultSet>,
    journal: Mutex<TargetJournal>,
    running: AtomicU32,
    stopped: AtomicBool,
    crashed: AtomicBool,
}

impl ServiceCore {
    fn new(settings: ServiceSettings) -> Self {
        let journal = TargetJournal {
            name: settings.target.name.clone(),
            incarnation: settings.target.incarnation,
            ..TargetJournal::default()
        };
        Self {
            settings,
            fault: Mutex::default(),
            journal: Mutex::new(journal),
            running: AtomicU32::new(0),
            stopped: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
        }
    }

    fn status(&self) -> TargetStatus {
        TargetStatus {
            running: self.running.load(Ordering::Acquire),
            waiting: 0,
            models: Vec::new(),
            silent: locked(&self.fault).freeze || self.crashed.load(Ordering::Acquire),
        }
    }

    fn serve(&self, mut request: Request, caller: &CallerHandle) {
        let Ok(body) = caller.read_body(&mut request) else { return };
        match request.url() {
            "/testbed/journal" => {
                let journal = locked(&self.journal).clone();
                respond_json(request, 200, &journal);
            }
            "/testbed/fault" => match serde_json::from_slice::<FaultSet>(&body) {
                Ok(fault) => {
                    respond_json(request, 200, &fault);
                    *locked(&self.fault) = fault;
                }
                Err(error) => {
                    respond_json(request, 400, &json!({ "error": error.to_string() }));
                }
            },
            _ => {
                self.running.fetch_add(1, Ordering::AcqRel);
                self.call(request, caller, &body);
                self.running.fetch_sub(1, Ordering::AcqRel);
            }
        }
    }

    fn call(&self, request: Request, caller: &CallerHandle, body: &[u8]) {
        self.wait_while_frozen();
        let fault = locked(&self.fault).clone();
        let text = String::from_utf8_lossy(body).into_owned();
        let marked = fault.crash_marker.as_ref().is_some_and(|marker| text.contains(marker));
        let (slot, sequence) = self.record_call(&request, body, text);
        if marked {
            return self.crash(caller);
        }
        thread::sleep(Duration::from_millis(
            (self.settings.latency_ms as f64 * fault.straggler_factor) as u64 + fault.latency_ms,
        ));
        self.wait_while_frozen();
        if let Some(status) = fault.error_status {
            locked(&self.journal).update(slot, |record| record.end = DispatchEnd::Error);
            return respond_json(request, status, &json!({ "error": "service_error" }));
        }
        let answer = json!({
            "service": self.settings.target.name,
            "sequence": sequence,
            "request_id": header_value(&request, "x-request-id"),
            "body_hash": format!("{:016x}", body_hash(body)),
        });
        if let Some(cut) = fault.cut_after {
            return cut_answer(request, caller, &answer.to_string(), cut as usize);
        }
        locked(&self.journal).update(slot, |record| record.end = DispatchEnd::Completed);
        respond_json(request, 200, &answer);
    }

    fn record_call(&self, request: &Request, body: &[u8], text: String) -> (Option<usize>, u64) {
        let mut journal = locked(&self.journal);
        let slot = journal.append(DispatchRecord {
            request_id: header_value(request, "x-request-id").unwrap_or_default(),
            at_ms: ClockTime::wall().as_ms(),
            body_hash: body_hash(body),
            method: request.method().to_string(),
            path: request.url().to_owned(),
            body: text,
            ..DispatchRecord::default()
        });
        (slot, journal.dispatch_count())
    }

    fn wait_while_frozen(&self) {
        while locked(&self.fault).freeze && !self.stopped.load(Ordering::Acquire) {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn crash(&self, caller: &CallerHandle) {
        if self.settings.crash_exits {
            std::process::exit(101);
        }
        self.crashed.store(true, Ordering::Release);
        // The server would answer a dropped request with status 500, which a dead process cannot
        // do.
        caller.reset();
        caller.close_all();
    }
}

/// Sends a response head with the length of the complete answer and only the first `cut` bytes of
/// the answer, and then resets the connection.
fn cut_answer(request: Request, caller: &CallerHandle, answer: &str, cut: usize) {
    let mut writer = request.into_writer();
    let sent = &answer.as_bytes()[..cut.min(answer.len().saturating_sub(1))];
    let _ = write!(writer, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", answer.len());
    let _ = writer.write_all(sent).and_then(|()| writer.flush());
    caller.reset();
}

/// Running fake service. Dropping it stops it without deregistering it.
pub struct FakeService {
    core: Arc<ServiceCore>,
    http: HttpServer,
    announcer: TargetAnnouncer,
}

impl FakeService {
    /// Starts the service and its announcements.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn spawn(settings: ServiceSettings) -> Result<Self, TestbedError> {
        let target = settings.target.clone();
        let core = Arc::new(ServiceCore::new(settings));
        let handler = Arc::clone(&core);
        let http = HttpServer::bind(
            target.listen,
            Arc::new(move |request, caller| handler.serve(request, caller)),
        )?;
        let probed = Arc::clone(&core);
        let probe: StatusProbe = Arc::new(move || probed.status());
        let events = Arc::new(Mutex::new(EventQueue::default()));
        let announcer =
            TargetAnnouncer::spawn(&target, TargetKind::Service, http.address(), events, probe)?;
        Ok(Self { core, http, announcer })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns a copy of the journal.
    pub fn journal(&self) -> TargetJournal {
        locked(&self.core.journal).clone()
    }

    /// Replaces the active faults.
    pub fn set_fault(&self, fault: FaultSet) {
        *locked(&self.core.fault) = fault;
    }

    /// Deregisters the service at the control instances. Running calls continue. Returns whether a
    /// control instance accepted it.
    pub fn leave(&mut self) -> bool {
        self.announcer.leave()
    }

    /// Waits until no call is running.
    pub fn wait_idle(&self) {
        let core = &self.core;
        while !core.stopped.load(Ordering::Acquire) && core.running.load(Ordering::Acquire) > 0 {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Stops the service at once, without deregistering it.
    pub fn stop(&mut self) {
        self.core.stopped.store(true, Ordering::Release);
        self.announcer.stop();
        self.http.stop();
    }
}

impl Drop for FakeService {
    fn drop(&mut self) {
        self.stop();
    }
}
