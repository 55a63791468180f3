//! The entry's links to the control instances.
//!
//! The protocol is in [`EntryAgent`]. This session steps it under a lock, sends its messages, and
//! wakes the threads that wait for its answers. One thread reads link events and keeps time.

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

/// Interval of ticks of the agent; a deadline is noticed at most this much later.
const TICK_MS: u64 = 50;

/// Interval at which a request that waits for a confirmed configuration looks for it.
const CONFIRM_POLL: Duration = Duration::from_millis(5);

/// A session that could not be opened.
#[derive(Debug)]
#[derive(Error)]
pub enum SessionError {
    /// The links could not be started.
    #[error("opening the links to the control instances")]
    Link(#[from] LinkError),
    /// The thread could not be created.
    #[error("starting the session thread")]
    Thread(#[source] std::io::Error),
}

/// Order of the leader to cancel a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelOrder {
    /// Why the request is cancelled.
    pub reason: ReasonCode,
    /// When a resend under a new id has a chance, in milliseconds.
    pub retry_after_ms: u32,
}

/// A configuration that arrived.
enum ReceivedConfig {
    /// The whole document.
    Whole { version: u64, document: Arc<str> },
    /// What changes in the document in force.
    Step { version: u64, base: Arc<ActiveConfig>, delta: Arc<str> },
}

struct SessionState {
    agent: EntryAgent,
    config: Option<Arc<ActiveConfig>>,
    /// Where the answers of waiting attempts go.
    answers: HashMap<AttemptId, Sender<AttemptAnswer>>,
    /// Where cancel orders of running requests go.
    cancels: HashMap<(RequestKey, ClaimNumber), Sender<CancelOrder>>,
}

/// Connection of this entry to the control instances. Clones share it.
#[derive(Clone)]
pub struct ControlSession {
    link: LinkHandle,
    state: Arc<Mutex<SessionState>>,
    drain_asked: Arc<AtomicBool>,
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
        let session = Self { link, state, drain_asked: Arc::default() };
        let worker = session.clone();
        thread::Builder::new()
            .name("session".into())
            .spawn(move || worker.run(&inbox))
            .map_err(SessionError::Thread)?;
        Ok(session)
    }

    /// Submits a request and returns its attempt number and the channel of its answer.
    pub fn submit(&self, mut request: SubmitRequest) -> (u32, Receiver<AttemptAnswer>) {
        let (answers, inbox) = channel();
        let mut state = self.lock();
        request.attempt = state.agent.next_attempt();
        let id = AttemptId { key: request.key, attempt: request.attempt };
        state.answers.insert(id, answers);
        self.step(&mut state, EntryInput::Submit(request));
        (id.attempt, inbox)
    }

    /// Withdraws an attempt that got no grant. Its answer still arrives.
    pub fn withdraw(&self, id: AttemptId) {
        self.step(&mut self.lock(), EntryInput::Withdraw { id });
    }

    /// Notes that a granted request starts to dispatch, and returns the channel of cancel orders.
    pub fn start_running(&self, key: RequestKey, claim: ClaimNumber) -> Receiver<CancelOrder> {
        let (cancel, inbox) = channel();
        let mut state = self.lock();
        state.cancels.insert((key, claim), cancel);
        self.step(&mut state, EntryInput::Running { key, claim });
        inbox
    }

    /// The check whether a granted request may be sent once its connection is established.
    pub fn dispatch_check(&self, ticket: &GrantTicket) -> impl Fn() -> bool + Send + Sync + use<> {
        let session = self.clone();
        let (key, claim) = (ticket.key, ticket.claim);
        move || {
            let state = session.lock();
            state.agent.may_dispatch(ClockTime::monotonic(), key, claim)
        }
    }

    /// Notes the progress of a running request; it is sent with the next batch.
    pub fn note_progress(&self, progress: StreamProgress) {
        self.step(&mut self.lock(), EntryInput::Progress(progress));
    }

    /// Reports the end of a running request. The report is repeated until a leader has it.
    pub fn finish(&self, report: FinishReport) {
        let mut state = self.lock();
        state.cancels.remove(&(report.key, report.claim));
        self.step(&mut state, EntryInput::Finish(report));
    }

    /// Gives a claim back that was not used.
    pub fn release(&self, key: RequestKey, claim: ClaimNumber) {
        let mut state = self.lock();
        state.cancels.remove(&(key, claim));
        self.step(&mut state, EntryInput::Release { key, claim });
    }

    /// Gives a claim back that was not used and waits for another grant of the same attempt.
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

    /// The configuration by which a new request is judged. Waits while the leader has not confirmed
    /// it recently or since the last pause of this process, at most until `limit`; none if no
    /// leader answers.
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
            thread::sleep(CONFIRM_POLL);
        }
    }

    /// Whether a leader answered recently and the configuration it confirmed is in force here.
    pub fn is_ready(&self) -> bool {
        self.lock().agent.is_ready(ClockTime::monotonic())
    }

    /// Tells the leader that this entry will submit nothing more.
    pub fn say_goodbye(&self) {
        self.step(&mut self.lock(), EntryInput::Goodbye);
    }

    /// Whether an operator asked this entry to shut down gracefully.
    pub fn drain_asked(&self) -> bool {
        self.drain_asked.load(Ordering::SeqCst)
    }

    /// State for the dump.
    pub fn summary(&self) -> EntrySummary {
        self.lock().agent.summary(ClockTime::monotonic())
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        // The state stays consistent between statements, so a panic elsewhere does not spoil it.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Steps the agent. Its messages are handed to the link under the lock, so that their order
    /// is the order of the steps. Returns a document that is to be installed.
    fn step(&self, state: &mut SessionState, input: EntryInput) -> Option<ReceivedConfig> {
        let mut received = None;
        for output in state.agent.step(ClockTime::monotonic(), input) {
            match output {
                EntryOutput::Send { link, message } => {
                    self.link.send(link, encode_frame(&message));
                }
                EntryOutput::Answer { id, answer } => {
                    if let Some(answers) = state.answers.remove(&id) {
                        // The thread of an attempt waits until its answer arrives.
                        let _ = answers.send(answer);
                    }
                }
                EntryOutput::Cancel { key, claim, reason, retry_after_ms } => {
                    if let Some(cancel) = state.cancels.get(&(key, claim)) {
                        // A call of a plain service cannot be cancelled and drops the channel.
                        let _ = cancel.send(CancelOrder { reason, retry_after_ms });
                    }
                }
                EntryOutput::Install { version, document } => {
                    received = Some(ReceivedConfig::Whole { version, document });
                }
                EntryOutput::Patch { version, delta } => {
                    let base = state.config.clone();
                    received = base.map(|base| ReceivedConfig::Step { version, base, delta });
                }
                EntryOutput::Drain => self.drain_asked.store(true, Ordering::SeqCst),
            }
        }
        received
    }

    /// Takes an event of a link. Only here documents arrive; they are parsed without the lock,
    /// since a large one takes longer than a request may be delayed.
    fn apply(&self, input: EntryInput) {
        let mut state = self.lock();
        let followed = state.agent.leader_term();
        let received = self.step(&mut state, input);
        let term = state.agent.leader_term();
        drop(state);
        if let Some(term) = term.filter(|_| term != followed) {
            log::info!(event = "leader_followed", term = term; "following a new control leader");
        }
        if let Some(received) = received {
            self.install(&received);
        }
    }

    /// Puts a configuration in force that is newer than the one held.
    fn install(&self, received: &ReceivedConfig) {
        let (version, config) = match received {
            ReceivedConfig::Whole { version, document } => {
                (*version, ActiveConfig::parse(*version, document))
            }
            ReceivedConfig::Step { version, base, delta } => {
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
