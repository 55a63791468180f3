//! The entry's side of its links to the control instances.
//!
//! One thread reads link events. It follows the leader, keeps the newest configuration, and
//! passes answers to the attempts that wait for them. Attempts that wait are submitted again to
//! a new leader.

use super::config::ActiveConfig;
use crate::link::{LinkError, LinkEvent, LinkHandle, LinkIdentity, LinkKey, PeerRole};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::{ClaimNumber, NodeId, RequestKey, TargetIdentity};
use burdockcleat_core::message::{
    ControlMessage, EntryMessage, FinishReport, GrantTicket, HeldClaim, StreamProgress,
    SubmitRequest, decode_frame, encode_frame,
};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use serde::Serialize;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use thiserror::Error;

/// Interval of heartbeats and progress batches.
const HEARTBEAT_MS: u64 = 500;
const PROGRESS_MS: u64 = 250;
/// An entry without a leader for this long is not ready and dispatches nothing.
pub const STALE_AFTER_MS: u64 = 3_000;

/// A session that could not be opened.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The links could not be started.
    #[error("opening the links to the control instances")]
    Link(#[from] LinkError),
    /// The thread could not be created.
    #[error("starting the session thread")]
    Thread(#[source] std::io::Error),
}

/// Answer of the control leader to an attempt, or an order for a running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// Dispatch to this target.
    Grant(GrantTicket),
    /// The attempt will not run.
    Refuse {
        /// Outcome that the caller is told.
        outcome: RequestOutcome,
        /// Why.
        reason: ReasonCode,
        /// When a resend has a chance.
        retry_after_ms: u32,
    },
    /// Another attempt owns the request.
    Resume {
        /// Target that ran or runs it.
        target: TargetIdentity,
        /// Address of the target, empty if unknown.
        address: String,
        /// Recorded outcome, if the request has ended.
        recorded: Option<RequestOutcome>,
    },
}

/// Order of the leader to cancel a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelOrder {
    /// Why the request is cancelled.
    pub reason: ReasonCode,
    /// When a resend under a new id has a chance, in milliseconds.
    pub retry_after_ms: u32,
}

struct WaitingAttempt {
    request: SubmitRequest,
    deadline: ClockTime,
    answers: Sender<AttemptEvent>,
}

struct RunningRequest {
    claim: ClaimNumber,
    cancel: Sender<CancelOrder>,
}

#[derive(Default)]
struct SessionState {
    links: HashMap<LinkKey, NodeId>,
    leader: Option<LinkKey>,
    term: u64,
    last_leader: Option<ClockTime>,
    config: Option<Arc<ActiveConfig>>,
    /// Version that a majority confirmed in the last `Welcome` of a leader.
    confirmed_version: Option<u64>,
    next_attempt: u32,
    waiting: HashMap<(RequestKey, u32), WaitingAttempt>,
    running: HashMap<RequestKey, RunningRequest>,
    /// Finished and released claims whose report the leader may not have received.
    unreported: HashMap<RequestKey, EntryMessage>,
    progress: HashMap<RequestKey, StreamProgress>,
}

/// Connection of this entry to the control instances. Clones share it.
#[derive(Clone)]
pub struct ControlSession {
    name: Arc<str>,
    link: LinkHandle,
    state: Arc<Mutex<SessionState>>,
    drain_asked: Arc<AtomicBool>,
}

/// State of the session for the dump.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SessionSummary {
    /// Configuration version in force at this entry.
    pub config_version: Option<u64>,
    /// Newest version that a majority confirmed.
    pub confirmed_version: Option<u64>,
    /// Whether a leader is linked.
    pub leader_linked: bool,
    /// Highest term seen.
    pub term: u64,
    /// Time since the last message of the leader.
    pub leader_silent_ms: Option<u64>,
    /// Attempts that wait for a grant.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// Reports that no leader has received yet.
    pub unreported: usize,
}

impl ControlSession {
    /// Opens links to all control instances and starts the session thread.
    ///
    /// # Errors
    /// Fails if a thread cannot be created.
    pub fn open(
        name: &str,
        node: NodeId,
        secret: &str,
        source: IpAddr,
        control: &[SocketAddr],
    ) -> Result<Self, SessionError> {
        let (events, inbox) = channel();
        let identity = LinkIdentity { role: PeerRole::Entry, node, secret: secret.into(), source };
        let link = LinkHandle::spawn(identity, None, control, events, |event| event)?;
        let session =
            Self { name: name.into(), link, state: Arc::default(), drain_asked: Arc::default() };
        let worker = session.clone();
        thread::Builder::new()
            .name("session".into())
            .spawn(move || worker.run(&inbox))
            .map_err(SessionError::Thread)?;
        Ok(session)
    }

    /// Submits a request and returns the channel on which its answer arrives.
    pub fn submit(&self, mut request: SubmitRequest) -> (u32, Receiver<AttemptEvent>) {
        let (answers, inbox) = channel();
        let mut state = self.lock();
        state.next_attempt += 1;
        request.attempt = state.next_attempt;
        let deadline = ClockTime::monotonic().plus(u64::from(request.deadline_in_ms));
        let id = (request.key, request.attempt);
        if let Some(leader) = state.leader {
            self.send(leader, &EntryMessage::Submit(request.clone()));
        }
        state.waiting.insert(id, WaitingAttempt { request, deadline, answers });
        (id.1, inbox)
    }

    /// Withdraws an attempt that got no grant. The leader answers with a refusal if the request
    /// was not granted meanwhile.
    pub fn withdraw(&self, key: RequestKey, attempt: u32) {
        self.send_to_leader(&EntryMessage::Withdraw { key, attempt });
    }

    /// Forgets an attempt whose caller has its final answer.
    pub fn forget(&self, key: RequestKey, attempt: u32) {
        self.lock().waiting.remove(&(key, attempt));
    }

    /// Registers a dispatched request, so that the leader can cancel it.
    pub fn start_running(&self, key: RequestKey, claim: ClaimNumber) -> Receiver<CancelOrder> {
        let (cancel, inbox) = channel();
        self.lock().running.insert(key, RunningRequest { claim, cancel });
        inbox
    }

    /// Notes the progress of a running request; it is sent with the next batch.
    pub fn note_progress(&self, progress: StreamProgress) {
        self.lock().progress.insert(progress.key, progress);
    }

    /// Reports the end of a running request. The report is repeated to a new leader.
    pub fn finish(&self, report: FinishReport) {
        let key = report.key;
        self.report(key, EntryMessage::Finish(report));
    }

    /// Gives a claim back that was not used.
    pub fn release(&self, key: RequestKey, claim: ClaimNumber, retry: bool) {
        self.report(key, EntryMessage::Release { key, claim, retry });
    }

    /// Gives a claim back that was not used and waits for another grant of the same attempt.
    pub fn release_for_retry(
        &self,
        request: SubmitRequest,
        claim: ClaimNumber,
    ) -> Receiver<AttemptEvent> {
        let (answers, inbox) = channel();
        let deadline = ClockTime::monotonic().plus(u64::from(request.deadline_in_ms));
        let key = request.key;
        let id = (key, request.attempt);
        // The attempt waits before the release is sent, so the next grant finds it.
        self.lock().waiting.insert(id, WaitingAttempt { request, deadline, answers });
        self.release(key, claim, true);
        inbox
    }

    /// The configuration in force, once one was received.
    pub fn config(&self) -> Option<Arc<ActiveConfig>> {
        self.lock().config.clone()
    }

    /// Whether a leader answered recently and the configuration it confirmed is in force here.
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        let fresh = state
            .last_leader
            .is_some_and(|time| ClockTime::monotonic().since(time) < STALE_AFTER_MS);
        let version = state.config.as_ref().map(|config| config.version);
        fresh && version.is_some() && version >= state.confirmed_version
    }

    /// Tells the leader that this entry will submit nothing more.
    pub fn say_goodbye(&self) {
        self.send_to_leader(&EntryMessage::Goodbye);
    }

    /// Whether an operator asked this entry to shut down gracefully.
    pub fn drain_asked(&self) -> bool {
        self.drain_asked.load(Ordering::SeqCst)
    }

    /// State for the dump.
    pub fn summary(&self) -> SessionSummary {
        let state = self.lock();
        SessionSummary {
            config_version: state.config.as_ref().map(|config| config.version),
            confirmed_version: state.confirmed_version,
            leader_linked: state.leader.is_some(),
            term: state.term,
            leader_silent_ms: state.last_leader.map(|time| ClockTime::monotonic().since(time)),
            waiting: state.waiting.len(),
            running: state.running.len(),
            unreported: state.unreported.len(),
        }
    }

    fn report(&self, key: RequestKey, message: EntryMessage) {
        let mut state = self.lock();
        state.running.remove(&key);
        state.progress.remove(&key);
        if let Some(leader) = state.leader {
            self.send(leader, &message);
        }
        // Kept until the leader's next heartbeat answer shows that the link was still alive.
        state.unreported.insert(key, message);
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        // The state stays consistent between statements, so a panic elsewhere does not spoil it.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn send(&self, link: LinkKey, message: &EntryMessage) {
        self.link.send(link, encode_frame(message));
    }

    fn send_to_leader(&self, message: &EntryMessage) {
        if let Some(leader) = self.lock().leader {
            self.send(leader, message);
        }
    }

    fn run(&self, inbox: &Receiver<LinkEvent>) {
        let mut next_heartbeat = ClockTime::monotonic();
        let mut next_progress = ClockTime::monotonic();
        loop {
            let now = ClockTime::monotonic();
            let wait = next_progress.min(next_heartbeat).since(now).max(1);
            match inbox.recv_timeout(Duration::from_millis(wait)) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = ClockTime::monotonic();
            if now >= next_heartbeat {
                next_heartbeat = now.plus(HEARTBEAT_MS);
                self.send_heartbeats(now);
            }
            if now >= next_progress {
                next_progress = now.plus(PROGRESS_MS);
                self.send_progress();
            }
        }
    }

    fn send_heartbeats(&self, now: ClockTime) {
        let state = self.lock();
        let config_version = state.config.as_ref().map_or(0, |config| config.version);
        for link in state.links.keys() {
            self.send(*link, &EntryMessage::Heartbeat { entry_time: now, config_version });
        }
    }

    fn send_progress(&self) {
        let mut state = self.lock();
        let batch: Vec<_> = state.progress.drain().map(|(_, progress)| progress).collect();
        if let (Some(leader), false) = (state.leader, batch.is_empty()) {
            self.send(leader, &EntryMessage::Progress(batch));
        }
    }

    fn handle(&self, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, role: PeerRole::Control, node, .. } => {
                let mut state = self.lock();
                state.links.insert(link, node);
                self.send(link, &self.hello(&state));
            }
            LinkEvent::Up { link, .. } => self.link.close(link),
            LinkEvent::Down { link } => {
                let mut state = self.lock();
                state.links.remove(&link);
                if state.leader == Some(link) {
                    state.leader = None;
                }
            }
            LinkEvent::Frame { link, frame } => match decode_frame(&frame) {
                Ok(message) => self.receive(link, message),
                Err(error) => {
                    log::warn!(event = "frame_invalid", link = link.0; "{error}");
                    self.link.close(link);
                }
            },
        }
    }

    fn hello(&self, state: &SessionState) -> EntryMessage {
        let running = state.running.iter();
        EntryMessage::Hello {
            name: self.name.to_string(),
            entry_time: ClockTime::monotonic(),
            config_version: state.config.as_ref().map_or(0, |config| config.version),
            running: running.map(|(key, run)| HeldClaim { key: *key, claim: run.claim }).collect(),
        }
    }

    fn receive(&self, link: LinkKey, message: ControlMessage) {
        match message {
            ControlMessage::Welcome { leading, term, config_version, entry_time, .. } => {
                self.receive_welcome(link, (leading, term), config_version, entry_time);
            }
            ControlMessage::Config { version, document } => self.install(version, &document),
            ControlMessage::Grant(ticket) => {
                let id = (ticket.key, ticket.attempt);
                let claim = ticket.claim;
                if !self.answer(id, AttemptEvent::Grant(ticket)) {
                    // The attempt is gone; its claim was never used.
                    self.release_unknown(id.0, claim);
                }
            }
            ControlMessage::Refuse { key, attempt, outcome, reason, retry_after_ms } => {
                let event = AttemptEvent::Refuse { outcome, reason, retry_after_ms };
                self.answer((key, attempt), event);
            }
            ControlMessage::Resume { key, attempt, target, address, recorded } => {
                let event = AttemptEvent::Resume { target, address, recorded };
                self.answer((key, attempt), event);
            }
            ControlMessage::Cancel { key, claim, reason, retry_after_ms } => {
                let state = self.lock();
                if let Some(run) = state.running.get(&key).filter(|run| run.claim == claim) {
                    let _ = run.cancel.send(CancelOrder { reason, retry_after_ms });
                }
            }
            ControlMessage::Drain => self.drain_asked.store(true, Ordering::SeqCst),
        }
    }

    /// Releases a granted claim for which no attempt waits, unless the request runs here.
    fn release_unknown(&self, key: RequestKey, claim: ClaimNumber) {
        let state = self.lock();
        let held = state.running.get(&key).is_some_and(|run| run.claim == claim);
        let reported = state.unreported.contains_key(&key);
        drop(state);
        if !held && !reported {
            self.release(key, claim, false);
        }
    }

    /// Passes an answer to the attempt that waits for it. Returns whether there was one.
    fn answer(&self, id: (RequestKey, u32), event: AttemptEvent) -> bool {
        let Some(attempt) = self.lock().waiting.remove(&id) else { return false };
        attempt.answers.send(event).is_ok()
    }

    fn receive_welcome(
        &self,
        link: LinkKey,
        (leading, term): (bool, u64),
        config_version: u64,
        entry_time: ClockTime,
    ) {
        let mut state = self.lock();
        if !leading || term < state.term {
            if state.leader == Some(link) {
                state.leader = None;
            }
            return;
        }
        state.term = term;
        // The time of the question, not of the answer: a frozen leader answers late.
        state.last_leader = state.last_leader.max(Some(entry_time));
        state.confirmed_version = state.confirmed_version.max(Some(config_version));
        if state.leader == Some(link) {
            state.unreported.clear();
            return;
        }
        state.leader = Some(link);
        log::info!(event = "leader_followed", term = term; "following a new control leader");
        self.send(link, &self.hello(&state));
        for message in state.unreported.values() {
            self.send(link, message);
        }
        let now = ClockTime::monotonic();
        for attempt in state.waiting.values() {
            let mut request = attempt.request.clone();
            request.deadline_in_ms = u32::try_from(attempt.deadline.since(now)).unwrap_or(u32::MAX);
            self.send(link, &EntryMessage::Submit(request));
        }
    }

    /// Puts a configuration in force unless it is older than the one held.
    fn install(&self, version: u64, document: &str) {
        let held = self.lock().config.as_ref().map_or(0, |config| config.version);
        if version <= held {
            return;
        }
        match ActiveConfig::parse(version, document) {
            Ok(config) => {
                let mut state = self.lock();
                if state.config.as_ref().is_none_or(|held| held.version < version) {
                    state.config = Some(Arc::new(config));
                    log::info!(event = "config_in_force", version = version; "configuration installed");
                }
            }
            Err(error) => {
                log::error!(event = "config_invalid", version = version; "{error}");
            }
        }
    }
}
