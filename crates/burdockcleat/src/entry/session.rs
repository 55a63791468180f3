//! Session of the entry with the control instances.
//!
//! [`EntryAgent`] implements the protocol as a state machine. The session steps it under a lock,
//! sends its messages, and wakes the threads that wait for its decisions. One thread receives link
//! events and sends the timer ticks.

use super::config::ActiveConfig;
use crate::link::{LinkError, LinkEvent, LinkHandle, LinkIdentity, LinkKey, PeerRole};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::entry_agent::{
    AttemptAnswer, AttemptId, EntryAgent, EntryInput, EntryOutput, EntrySummary,
};
use burdockcleat_core::keys::{ClaimNumber, NodeId, RequestKey};
use burdockcleat_core::message::{
    FinishReport, GrantTicket, StreamProgress, SubmitRequest, decode_frame, encode_frame,
};
use burdockcleat_core::outcome::ReasonCode;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use thiserror::Error;

/// Interval of the agent's timer ticks. A deadline is noticed at most this much late.
const TICK_MS: u64 = 50;

/// Interval at which a request that waits for a confirmed configuration checks for it.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a session could not be opened.
#[derive(Debug)]
#[derive(Error)]
pub enum SessionError {
    /// The link thread could not be started.
    #[error("opening the links to the control instances")]
    Link(#[from] LinkError),
    /// The session thread could not be created.
    #[error("starting the session thread")]
    Thread(#[source] std::io::Error),
}

/// Instruction of the leader to cancel a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cancellation {
    /// Why the request is cancelled.
    pub reason: ReasonCode,
    /// Retry hint for a resend under a new id, in milliseconds.
    pub retry_after_ms: u32,
}

/// Configuration received from a control instance.
enum ReceivedConfig {
    /// Complete document.
    Full { version: u64, document: Arc<str> },
    /// Changes to the active document `base`.
    Delta { version: u64, base: Arc<ActiveConfig>, delta: Arc<str> },
}

struct SessionState {
    agent: EntryAgent,
    config: Option<Arc<ActiveConfig>>,
    /// Channels to the attempts that wait for a decision.
    answers: HashMap<AttemptId, Sender<AttemptAnswer>>,
    /// Channels that deliver cancellations to running requests.
    cancels: HashMap<(RequestKey, ClaimNumber), Sender<Cancellation>>,
}

/// Session of this entry with the control instances. Clones share it.
#[derive(Clone)]
pub struct ControlSession {
    link: LinkHandle,
    state: Arc<Mutex<SessionState>>,
    drain_requested: Arc<AtomicBool>,
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
        let state = SessionState {
            agent: EntryAgent::open(name, ClockTime::monotonic()),
            config: None,
            answers: HashMap::new(),
            cancels: HashMap::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let session = Self { link, state, drain_requested: Arc::default() };
        let worker = session.clone();
        thread::Builder::new()
            .name("session".into())
            .spawn(move || worker.run(&inbox))
            .map_err(SessionError::Thread)?;
        Ok(session)
    }

    /// Submits a request. Returns its attempt number and the channel that delivers the decision.
    pub fn submit(&self, mut request: SubmitRequest) -> (u32, Receiver<AttemptAnswer>) {
        let (answers, inbox) = channel();
        let mut state = self.lock();
        request.attempt = state.agent.next_attempt();
        let id = AttemptId { key: request.key, attempt: request.attempt };
        state.answers.insert(id, answers);
        self.step(&mut state, EntryInput::Submit(request));
        (id.attempt, inbox)
    }

    /// Withdraws an attempt that was not granted. Its decision still arrives on the channel.
    pub fn withdraw(&self, id: AttemptId) {
        self.step(&mut self.lock(), EntryInput::Withdraw { id });
    }

    /// Marks a granted request as running. Returns the channel that delivers a cancellation.
    pub fn start_running(&self, key: RequestKey, claim: ClaimNumber) -> Receiver<Cancellation> {
        let (cancel, inbox) = channel();
        let mut state = self.lock();
        state.cancels.insert((key, claim), cancel);
        self.step(&mut state, EntryInput::Running { key, claim });
        inbox
    }

    /// Returns a check of whether a granted request may still be sent, to be called once the
    /// connection is established.
    pub fn dispatch_check(&self, ticket: &GrantTicket) -> impl Fn() -> bool + Send + Sync + use<> {
        let session = self.clone();
        let (key, claim) = (ticket.key, ticket.claim);
        move || {
            let state = session.lock();
            state.agent.may_dispatch(ClockTime::monotonic(), key, claim)
        }
    }

    /// Reports the progress of a running request with the next batch.
    pub fn report_progress(&self, progress: StreamProgress) {
        self.step(&mut self.lock(), EntryInput::Progress(progress));
    }

    /// Reports the end of a running request. The report is repeated until a leader acknowledges it.
    pub fn finish(&self, report: FinishReport) {
        let mut state = self.lock();
        state.cancels.remove(&(report.key, report.claim));
        self.step(&mut state, EntryInput::Finish(report));
    }

    /// Releases a claim that was not used.
    pub fn release(&self, key: RequestKey, claim: ClaimNumber) {
        let mut state = self.lock();
        state.cancels.remove(&(key, claim));
        self.step(&mut state, EntryInput::Release { key, claim });
    }

    /// Releases a claim that was not used and requests another grant for the same attempt. Returns
    /// the channel that delivers the decision.
    pub fn release_for_retry(
        &self,
        request: SubmitRequest,
        claim: ClaimNumber,
    ) -> Receiver<AttemptAnswer> {
        let (answers, inbox) = channel();
        let id = AttemptId { key: request.key, attempt: request.attempt };
        let mut state = self.lock();
        state.cancels.remove(&(request.key, claim));
        state.answers.insert(id, answers);
        self.step(&mut state, EntryInput::Retry { request, claim });
        inbox
    }

    /// Returns the configuration that applies to a new request, or `None` if no leader answers.
    ///
    /// Waits, at most until `limit`, if the leader has not confirmed the configuration recently or
    /// since this process was last paused.
    pub fn current_config(&self, limit: ClockTime) -> Option<Arc<ActiveConfig>> {
        loop {
            let state = self.lock();
            let now = ClockTime::monotonic();
            if state.agent.has_current_config(now) {
                return state.config.clone();
            }
            if now >= limit || !state.agent.has_recent_leader(now) {
                return None;
            }
            drop(state);
            thread::sleep(CONFIRM_POLL_INTERVAL);
        }
    }

    /// Returns whether a leader answered recently and the configuration that it confirmed is active
    /// here.
    pub fn is_ready(&self) -> bool {
        self.lock().agent.is_ready(ClockTime::monotonic())
    }

    /// Tells the leader that this entry will submit no further requests.
    pub fn send_goodbye(&self) {
        self.step(&mut self.lock(), EntryInput::Goodbye);
    }

    /// Returns whether an operator requested a graceful shutdown of this entry.
    pub fn drain_requested(&self) -> bool {
        self.drain_requested.load(Ordering::SeqCst)
    }

    /// Returns the state of the session for the dump.
    pub fn summary(&self) -> EntrySummary {
        self.lock().agent.summary(ClockTime::monotonic())
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        // The state is consistent after every statement, so a poisoned lock can be used.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Steps the agent and carries out its outputs. Returns a received configuration, which is not
    /// installed yet.
    ///
    /// Messages are queued on the link under the lock, so that they are sent in the order of the
    /// steps.
    fn step(&self, state: &mut SessionState, input: EntryInput) -> Option<ReceivedConfig> {
        let mut received = None;
        for output in state.agent.step(ClockTime::monotonic(), input) {
            match output {
                EntryOutput::Send { link, message } => {
                    self.link.send(link, encode_frame(&message));
                }
                EntryOutput::Answer { id, answer } => {
                    if let Some(answers) = state.answers.remove(&id) {
                        // The attempt's thread keeps its receiver until the decision arrives.
                        let _ = answers.send(answer);
                    }
                }
                EntryOutput::Cancel { key, claim, reason, retry_after_ms } => {
                    if let Some(cancel) = state.cancels.get(&(key, claim)) {
                        // A call to a plain service cannot be cancelled and drops its receiver.
                        let _ = cancel.send(Cancellation { reason, retry_after_ms });
                    }
                }
                EntryOutput::Install { version, document } => {
                    received = Some(ReceivedConfig::Full { version, document });
                }
                EntryOutput::Patch { version, delta } => {
                    let base = state.config.clone();
                    received = base.map(|base| ReceivedConfig::Delta { version, base, delta });
                }
                EntryOutput::Drain => self.drain_requested.store(true, Ordering::SeqCst),
            }
        }
        received
    }

    /// Steps the agent with an event from a link.
    ///
    /// Only link events deliver configurations. They are parsed without the lock, since parsing a
    /// large one takes longer than a request may be delayed.
    fn apply(&self, input: EntryInput) {
        let mut state = self.lock();
        let previous_term = state.agent.leader_term();
        let received = self.step(&mut state, input);
        let term = state.agent.leader_term();
        drop(state);
        if let Some(term) = term.filter(|_| term != previous_term) {
            log::info!(event = "leader_followed", term = term; "following a new control leader");
        }
        if let Some(received) = received {
            self.install(&received);
        }
    }

    /// Parses and activates a received configuration.
    fn install(&self, received: &ReceivedConfig) {
        let (version, config) = match received {
            ReceivedConfig::Full { version, document } => {
                (*version, ActiveConfig::parse(*version, document))
            }
            ReceivedConfig::Delta { version, base, delta } => {
                (*version, base.patch(*version, delta))
            }
        };
        match config {
            Ok(config) => {
                let mut state = self.lock();
                state.config = Some(Arc::new(config));
                self.step(&mut state, EntryInput::ConfigInstalled { version });
                log::info!(event = "config_in_force", version = version; "configuration installed");
            }
            Err(error) => {
                log::error!(event = "config_invalid", version = version; "{error}");
            }
        }
    }

    fn run(&self, inbox: &Receiver<LinkEvent>) {
        let mut next_tick = ClockTime::monotonic();
        loop {
            let wait = next_tick.since(ClockTime::monotonic()).max(1);
            match inbox.recv_timeout(Duration::from_millis(wait)) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = ClockTime::monotonic();
            if now >= next_tick {
                next_tick = now.plus(TICK_MS);
                self.step(&mut self.lock(), EntryInput::Tick);
            }
        }
    }

    fn handle(&self, event: LinkEvent) {
        let input = match event {
            LinkEvent::Up { link, role: PeerRole::Control, .. } => EntryInput::LinkUp { link },
            LinkEvent::Up { link, .. } => return self.link.close(link),
            LinkEvent::Down { link } => EntryInput::LinkDown { link },
            LinkEvent::Frame { link, frame } => match decode_frame(&frame) {
                Ok(message) => EntryInput::Receive { link, message },
                Err(error) => return self.refuse_frame(link, &error),
            },
        };
        self.apply(input);
    }

    fn refuse_frame(&self, link: LinkKey, error: &dyn std::error::Error) {
        log::warn!(event = "frame_invalid", link = link.0; "{error}");
        self.link.close(link);
    }
}
