//! The entry side of the claim protocol.
//!
//! The agent follows the control leader, submits requests, accepts grants, and reports how granted
//! requests ended. It performs no I/O: its caller passes link events, messages of the control
//! instances and the progress of requests, each with a reading of the entry's clock, and carries
//! out the returned outputs. The daemon and the specification search run the same code.

mod attempt;
mod event;
mod leader;
mod report;
mod rules;

pub use event::{AttemptAnswer, AttemptId, EntryInput, EntryOutput};
pub use rules::EntryRules;

use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, LinkKey, RequestKey};
use crate::message::{ControlMessage, EntryMessage, StreamProgress, SubmitRequest};
use report::{ClosedClaim, PendingReport};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Interval between heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;
/// Interval between progress batches, in milliseconds.
pub const PROGRESS_MS: u64 = 250;
/// Time without contact to a leader after which an entry is not ready and dispatches nothing, in
/// milliseconds.
pub const LEADER_TIMEOUT_MS: u64 = 3_000;
/// Gap between two ticks above which the process is considered to have been frozen, in
/// milliseconds. Ticks are at most one progress interval apart, so scheduling delays alone do not
/// explain a gap of four intervals.
pub const FREEZE_THRESHOLD_MS: u64 = 4 * PROGRESS_MS;
/// Gap between two ticks above which the process is considered to have been paused, in
/// milliseconds. Twice the longest tick interval. A false positive delays new requests by one
/// round trip to the leader.
pub const PAUSE_THRESHOLD_MS: u64 = 200;
/// Age of the newest heartbeat answered by the leader from which new requests wait, in
/// milliseconds. Two heartbeat intervals, so that a single slow answer does not delay requests.
pub const CONFIG_CONFIRMATION_TTL_MS: u64 = 2 * HEARTBEAT_MS;
/// Maximum age of a grant that may be used, in milliseconds. It keeps an entry that was frozen
/// from dispatching to a target that has left in the meantime.
pub const GRANT_TTL_MS: u64 = 2_000;
/// Time after the deadline in which the entry waits for the leader's refusal before it withdraws
/// the attempt, in milliseconds.
pub const LEADER_GRACE_MS: u64 = 300;
/// Time in which the leader must answer a withdrawal, in milliseconds.
pub const WITHDRAW_GRACE_MS: u64 = 1_000;

/// An attempt that has not been answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WaitingAttempt {
    request: SubmitRequest,
    deadline: ClockTime,
    /// When the attempt was withdrawn.
    withdrawn: Option<ClockTime>,
}

/// A claim granted to an attempt of this entry and not yet released or finished.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldGrant {
    claim: ClaimNumber,
    /// Reading of this entry's clock contained in the grant.
    entry_time: ClockTime,
    /// Whether the attempt has started to dispatch.
    running: bool,
    /// Cancel order that arrived before the dispatch started.
    cancel: Option<EntryOutput>,
}

/// The control leader that the agent follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct FollowedLeader {
    link: LinkKey,
    term: u64,
}

/// Summary of the agent's state for the diagnostic dump.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EntrySummary {
    /// Configuration version active at this entry.
    pub config_version: Option<u64>,
    /// Newest version known to be confirmed by a majority.
    pub confirmed_version: Option<u64>,
    /// Whether the agent is connected to a leader.
    pub leader_linked: bool,
    /// Highest term seen.
    pub term: u64,
    /// Age of the newest heartbeat or `Hello` that the leader answered, in milliseconds.
    pub leader_silent_ms: Option<u64>,
    /// Number of attempts that wait for a grant.
    pub waiting: usize,
    /// Number of running requests.
    pub running: usize,
    /// Number of reports that no leader has confirmed.
    pub unreported: usize,
}

/// State machine of the entry side of the claim protocol.
///
/// ```
/// use burdockcleat_core::clock::ClockTime;
/// use burdockcleat_core::entry_agent::{EntryAgent, EntryInput};
/// use burdockcleat_core::keys::LinkKey;
/// let mut agent = EntryAgent::open("entry-1", ClockTime::from_ms(0));
/// let outputs = agent.step(ClockTime::from_ms(0), EntryInput::LinkUp { link: LinkKey(1) });
/// assert_eq!(outputs.len(), 1);
/// assert!(!agent.is_ready(ClockTime::from_ms(0)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryAgent {
    name: String,
    rules: EntryRules,
    links: BTreeSet<LinkKey>,
    leader: Option<FollowedLeader>,
    term: u64,
    /// When the newest heartbeat or `Hello` answered by a leader was sent.
    last_leader_contact: Option<ClockTime>,
    /// Time of the last tick. A long gap indicates that the process was frozen.
    last_tick: ClockTime,
    /// Time of the first tick after the last freeze. Answers to earlier heartbeats are not evidence
    /// of a current leader.
    freeze_ended_at: ClockTime,
    /// Time of the first tick after the last pause. A pause can be shorter than a freeze.
    pause_ended_at: ClockTime,
    config_version: Option<u64>,
    /// Version confirmed by a majority, taken from the `Welcome` messages of leaders.
    confirmed_version: Option<u64>,
    next_attempt: u32,
    waiting: BTreeMap<AttemptId, WaitingAttempt>,
    held: BTreeMap<RequestKey, HeldGrant>,
    closed: BTreeMap<RequestKey, ClosedClaim>,
    reports: BTreeMap<(RequestKey, ClaimNumber), PendingReport>,
    progress: BTreeMap<RequestKey, StreamProgress>,
    next_heartbeat: ClockTime,
    next_progress: ClockTime,
    outputs: Vec<EntryOutput>,
}

impl EntryAgent {
    /// Creates an agent without links.
    pub fn open(name: &str, now: ClockTime) -> Self {
        Self::with_rules(name, now, EntryRules::default())
    }

    /// Creates an agent with the given rules, some of which a specification test may have disabled.
    pub fn with_rules(name: &str, now: ClockTime, rules: EntryRules) -> Self {
        Self {
            name: name.into(),
            rules,
            links: BTreeSet::new(),
            leader: None,
            term: 0,
            last_leader_contact: None,
            last_tick: now,
            freeze_ended_at: now,
            pause_ended_at: now,
            config_version: None,
            confirmed_version: None,
            next_attempt: 0,
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            closed: BTreeMap::new(),
            reports: BTreeMap::new(),
            progress: BTreeMap::new(),
            next_heartbeat: now,
            next_progress: now,
            outputs: Vec::new(),
        }
    }

    /// Allocates the number of a new attempt.
    pub fn next_attempt(&mut self) -> u32 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Applies one event and returns the outputs for the caller to carry out, in order.
    #[must_use]
    pub fn step(&mut self, now: ClockTime, input: EntryInput) -> Vec<EntryOutput> {
        match input {
            EntryInput::LinkUp { link } => self.link_up(now, link),
            EntryInput::LinkDown { link } => self.link_down(link),
            EntryInput::Receive { link, message } => self.receive(now, link, message),
            EntryInput::ConfigInstalled { version } => {
                self.config_version = self.config_version.max(Some(version));
            }
            EntryInput::Submit(request) => self.submit(now, request),
            EntryInput::Withdraw { id } => self.withdraw(now, id),
            EntryInput::Running { key, claim } => self.start_running(key, claim),
            EntryInput::Progress(progress) => {
                self.progress.insert(progress.key, progress);
            }
            EntryInput::Finish(report) => self.finish(now, report),
            EntryInput::Release { key, claim } => self.release_claim(now, key, claim, false),
            EntryInput::Retry { request, claim } => self.retry(now, request, claim),
            EntryInput::Goodbye => self.send_leader(EntryMessage::Goodbye),
            EntryInput::Tick => self.tick(now),
        }
        std::mem::take(&mut self.outputs)
    }

    fn receive(&mut self, now: ClockTime, link: LinkKey, message: ControlMessage) {
        if !self.links.contains(&link) {
            // The link was closed locally, so the message may be outdated.
            return;
        }
        match message {
            ControlMessage::Welcome { leading, term, config_version, entry_time, .. } => {
                self.welcome(
                    now,
                    FollowedLeader { link, term },
                    leading,
                    config_version,
                    entry_time,
                );
            }
            ControlMessage::ConfigDelta { base_version, version, delta } => {
                // Ignored if the base version is missing. The next heartbeats report the old
                // version, and the leader then sends the whole document.
                if self.config_version == Some(base_version) && base_version < version {
                    self.outputs.push(EntryOutput::Patch { version, delta });
                }
            }
            ControlMessage::Config { version, document } => {
                if self.config_version.is_none_or(|held| held < version) {
                    self.outputs.push(EntryOutput::Install { version, document });
                }
            }
            ControlMessage::Grant(ticket) => self.handle_grant(now, ticket),
            ControlMessage::Refuse { key, attempt, outcome, reason, retry_after_ms } => {
                let answer = AttemptAnswer::Refuse { outcome, reason, retry_after_ms };
                self.answer(AttemptId { key, attempt }, answer);
            }
            ControlMessage::Resume { key, attempt, target, address, recorded } => {
                let answer = AttemptAnswer::Resume { target, address, recorded };
                self.answer(AttemptId { key, attempt }, answer);
            }
            ControlMessage::Cancel { key, claim, reason, retry_after_ms } => {
                let order = EntryOutput::Cancel { key, claim, reason, retry_after_ms };
                self.cancel(key, claim, order);
            }
            ControlMessage::Drain => self.outputs.push(EntryOutput::Drain),
        }
    }

    fn tick(&mut self, now: ClockTime) {
        if now.since(self.last_tick) > FREEZE_THRESHOLD_MS {
            self.freeze_ended_at = now;
        }
        if now.since(self.last_tick) > PAUSE_THRESHOLD_MS {
            self.pause_ended_at = now;
            // New requests wait for an answer, so the next heartbeat is sent immediately.
            self.next_heartbeat = now;
        }
        self.last_tick = now;
        if now >= self.next_heartbeat {
            self.next_heartbeat = now.plus(HEARTBEAT_MS);
            self.send_heartbeats(now);
        }
        if now >= self.next_progress {
            self.next_progress = now.plus(PROGRESS_MS);
            self.send_progress();
        }
        self.expire_waiting(now);
        self.prune_closed_claims(now);
    }

    /// Whether a leader answered recently and the configuration that it confirmed is active here.
    pub fn is_ready(&self, now: ClockTime) -> bool {
        let not_frozen = now.since(self.last_tick) <= FREEZE_THRESHOLD_MS;
        let fresh = not_frozen
            && self.last_leader_contact.is_some_and(|time| {
                time >= self.freeze_ended_at && now.since(time) < LEADER_TIMEOUT_MS
            });
        let current =
            self.config_version.is_some() && self.config_version >= self.confirmed_version;
        (fresh && current) || !self.rules.check_ready
    }

    /// Whether new requests may be handled under the configuration that is active here.
    ///
    /// The leader must have confirmed its version less than [`CONFIG_CONFIRMATION_TTL_MS`] ago and
    /// after the last pause of this process. All times are readings of the entry's own clock, which
    /// keeps running during a freeze.
    pub fn has_current_config(&self, now: ClockTime) -> bool {
        let confirmed = self.last_leader_contact.is_some_and(|time| {
            time >= self.pause_ended_at && now.since(time) < CONFIG_CONFIRMATION_TTL_MS
        });
        let running = now.since(self.last_tick) <= PAUSE_THRESHOLD_MS;
        self.is_ready(now) && ((confirmed && running) || !self.rules.check_config_age)
    }

    /// Whether a leader answered recently enough for a new request to wait for its confirmation of
    /// the configuration.
    pub fn has_recent_leader(&self, now: ClockTime) -> bool {
        self.last_leader_contact.is_some_and(|time| now.since(time) < LEADER_TIMEOUT_MS)
    }

    /// Whether a granted request may be sent now. Must be called after the connection to the target
    /// is established and before the first byte is written.
    pub fn may_dispatch(&self, now: ClockTime, key: RequestKey, claim: ClaimNumber) -> bool {
        let held = self.held.get(&key).filter(|held| held.claim == claim);
        held.is_some_and(|held| self.is_grant_fresh(now, held.entry_time)) && self.is_ready(now)
    }

    /// Returns the term of the leader that the agent follows.
    pub fn leader_term(&self) -> Option<u64> {
        self.leader.map(|leader| leader.term)
    }

    /// Whether the report of a claim is still unconfirmed, so that no leader may have received it.
    pub fn has_unconfirmed_report(&self, key: RequestKey, claim: ClaimNumber) -> bool {
        self.reports.contains_key(&(key, claim))
    }

    /// Summarises the state for the diagnostic dump.
    pub fn summary(&self, now: ClockTime) -> EntrySummary {
        EntrySummary {
            config_version: self.config_version,
            confirmed_version: self.confirmed_version,
            leader_linked: self.leader.is_some(),
            term: self.term,
            leader_silent_ms: self.last_leader_contact.map(|time| now.since(time)),
            waiting: self.waiting.len(),
            running: self.held.values().filter(|held| held.running).count(),
            unreported: self.reports.len(),
        }
    }

    fn is_grant_fresh(&self, now: ClockTime, entry_time: ClockTime) -> bool {
        now.since(entry_time) <= GRANT_TTL_MS || !self.rules.check_grant_age
    }

    fn send(&mut self, link: LinkKey, message: EntryMessage) {
        self.outputs.push(EntryOutput::Send { link, message });
    }

    fn send_leader(&mut self, message: EntryMessage) {
        if let Some(leader) = self.leader {
            self.send(leader.link, message);
        }
    }
}
