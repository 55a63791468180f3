//! The entry's side of the claim protocol.
//!
//! The agent follows the control leader, submits requests, takes grants, and reports how granted
//! requests ended. It is a step function: its caller passes link events, answers of the control
//! instances and the steps of the requests with the time of the entry's clock, and carries out
//! what comes back. The daemon and the specification search run the same code.

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

/// Interval of heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;
/// Interval of progress batches, in milliseconds.
pub const PROGRESS_MS: u64 = 250;
/// An entry without a leader for this long is not ready and dispatches nothing.
pub const LEADER_TIMEOUT_MS: u64 = 3_000;
/// Gap between two ticks from which the process counts as frozen, in milliseconds. Ticks come at
/// least with each progress batch, so a gap of four of them is not a matter of scheduling.
pub const FREEZE_THRESHOLD_MS: u64 = 4 * PROGRESS_MS;
/// Gap between two ticks from which the process counts as paused, in milliseconds: twice the longest
/// interval of ticks. A false alarm costs new requests one exchange with the leader.
pub const PAUSE_THRESHOLD_MS: u64 = 200;
/// New requests wait while the newest question that the leader answered is older than this. Two
/// heartbeats, so that a single slow answer holds nothing.
pub const CONFIG_CONFIRMATION_TTL_MS: u64 = 2 * HEARTBEAT_MS;
/// A grant older than this is not used, so that a frozen entry does not dispatch to a target
/// that has left meanwhile.
pub const GRANT_TTL_MS: u64 = 2_000;
/// Time after the deadline in which the leader's own refusal is expected.
pub const LEADER_GRACE_MS: u64 = 300;
/// Time for the leader to answer a withdrawal.
pub const WITHDRAW_GRACE_MS: u64 = 1_000;

/// An attempt without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WaitingAttempt {
    request: SubmitRequest,
    deadline: ClockTime,
    /// When the attempt was withdrawn, if it was.
    withdrawn: Option<ClockTime>,
}

/// A claim that an attempt of this entry got and has not given back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldGrant {
    claim: ClaimNumber,
    /// Reading of this entry's clock that the grant carried.
    entry_time: ClockTime,
    /// Whether the attempt has started to dispatch.
    running: bool,
    /// A cancel order that arrived before the dispatch started.
    cancel: Option<EntryOutput>,
}

/// Control leader that the agent follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct FollowedLeader {
    link: LinkKey,
    term: u64,
}

/// Counts and times for the dump.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EntrySummary {
    /// Configuration version in force at this entry.
    pub config_version: Option<u64>,
    /// Newest version that a majority confirmed.
    pub confirmed_version: Option<u64>,
    /// Whether a leader is linked.
    pub leader_linked: bool,
    /// Highest term seen.
    pub term: u64,
    /// Age of the newest question that the leader answered.
    pub leader_silent_ms: Option<u64>,
    /// Attempts that wait for a grant.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// Reports that no leader has confirmed yet.
    pub unreported: usize,
}

/// State of the entry's side of the protocol.
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
    /// Time of the newest question that a leader answered.
    last_leader: Option<ClockTime>,
    /// Time of the last tick. A long gap means that the process was frozen.
    last_tick: ClockTime,
    /// Time of the first tick after the last freeze. Answers to earlier questions do not count.
    awake_since: ClockTime,
    /// Time of the first tick after the last pause, which may be shorter than a freeze.
    resumed_since: ClockTime,
    config_version: Option<u64>,
    /// Version that a majority confirmed, from the `Welcome` messages of leaders.
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
    /// An agent without links.
    pub fn open(name: &str, now: ClockTime) -> Self {
        Self::with_rules(name, now, EntryRules::default())
    }

    /// An agent with some rules turned off, for the specification's tests.
    pub fn with_rules(name: &str, now: ClockTime, rules: EntryRules) -> Self {
        Self {
            name: name.into(),
            rules,
            links: BTreeSet::new(),
            leader: None,
            term: 0,
            last_leader: None,
            last_tick: now,
            awake_since: now,
            resumed_since: now,
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

    /// Draws the number of a new attempt.
    pub fn next_attempt(&mut self) -> u32 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Applies one event and returns what the caller has to do, in order.
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
            EntryInput::Release { key, claim } => self.give_back(now, key, claim, false),
            EntryInput::Retry { request, claim } => self.retry(now, request, claim),
            EntryInput::Goodbye => self.send_leader(EntryMessage::Goodbye),
            EntryInput::Tick => self.tick(now),
        }
        std::mem::take(&mut self.outputs)
    }

    fn receive(&mut self, now: ClockTime, link: LinkKey, message: ControlMessage) {
        if !self.links.contains(&link) {
            // The link was closed here, so the answer is older than what followed.
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
                // Without the base, the leader sees the old version in the next heartbeats and
                // sends the whole document.
                if self.config_version == Some(base_version) && base_version < version {
                    self.outputs.push(EntryOutput::Patch { version, delta });
                }
            }
            ControlMessage::Config { version, document } => {
                if self.config_version.is_none_or(|held| held < version) {
                    self.outputs.push(EntryOutput::Install { version, document });
                }
            }
            ControlMessage::Grant(ticket) => self.take_grant(now, ticket),
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
            self.awake_since = now;
        }
        if now.since(self.last_tick) > PAUSE_THRESHOLD_MS {
            self.resumed_since = now;
            // New requests wait for the answer.
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
        self.check_waiting(now);
        self.forget_closed(now);
    }

    /// Whether a leader answered recently and the configuration it confirmed is in force here.
    pub fn is_ready(&self, now: ClockTime) -> bool {
        let awake = now.since(self.last_tick) <= FREEZE_THRESHOLD_MS;
        let fresh = awake
            && self.last_leader.is_some_and(|time| {
                time >= self.awake_since && now.since(time) < LEADER_TIMEOUT_MS
            });
        let current =
            self.config_version.is_some() && self.config_version >= self.confirmed_version;
        (fresh && current) || !self.rules.check_ready
    }

    /// Whether new requests may be judged by the configuration that is in force here: the leader
    /// confirmed its version less than [`CONFIG_CONFIRMATION_TTL_MS`] ago and after the last pause of this process.
    ///
    /// All times are readings of the entry's own clock, which goes on during a freeze.
    pub fn has_current_config(&self, now: ClockTime) -> bool {
        let confirmed = self.last_leader.is_some_and(|time| {
            time >= self.resumed_since && now.since(time) < CONFIG_CONFIRMATION_TTL_MS
        });
        let running = now.since(self.last_tick) <= PAUSE_THRESHOLD_MS;
        self.is_ready(now) && ((confirmed && running) || !self.rules.check_config_age)
    }

    /// Whether a new request may wait for the leader to confirm the configuration.
    pub fn has_recent_leader(&self, now: ClockTime) -> bool {
        self.last_leader.is_some_and(|time| now.since(time) < LEADER_TIMEOUT_MS)
    }

    /// Whether a granted request may be sent now. To be asked after the connection to the target
    /// is established and before anything is written to it.
    pub fn may_dispatch(&self, now: ClockTime, key: RequestKey, claim: ClaimNumber) -> bool {
        let held = self.held.get(&key).filter(|held| held.claim == claim);
        held.is_some_and(|held| self.is_fresh(now, held.entry_time)) && self.is_ready(now)
    }

    /// Term of the leader that the agent follows.
    pub fn leader_term(&self) -> Option<u64> {
        self.leader.map(|leader| leader.term)
    }

    /// Whether the report of a claim may still be unknown to every leader.
    pub fn has_unconfirmed_report(&self, key: RequestKey, claim: ClaimNumber) -> bool {
        self.reports.contains_key(&(key, claim))
    }

    /// Counts and times for the dump.
    pub fn summary(&self, now: ClockTime) -> EntrySummary {
        EntrySummary {
            config_version: self.config_version,
            confirmed_version: self.confirmed_version,
            leader_linked: self.leader.is_some(),
            term: self.term,
            leader_silent_ms: self.last_leader.map(|time| now.since(time)),
            waiting: self.waiting.len(),
            running: self.held.values().filter(|held| held.running).count(),
            unreported: self.reports.len(),
        }
    }

    fn is_fresh(&self, now: ClockTime, entry_time: ClockTime) -> bool {
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
