//! Simulated entries, which speak the real protocol and pretend to run the requests that they are
//! granted.

use super::{CapacityError, CapacityPlan};
use crate::sync::locked;
use burdockcleat::link::{LinkEvent, LinkHandle, LinkIdentity, LinkKey, PeerRole};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey};
use burdockcleat_core::message::{
    ControlMessage, EntryMessage, FinishReport, StreamProgress, SubmitRequest, decode_frame,
    encode_frame,
};
use burdockcleat_core::outcome::RequestOutcome;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HEARTBEAT_INTERVAL_MS: u64 = 500;
const PROGRESS_INTERVAL_MS: u64 = 250;
/// Upper bound of the grant time histogram, one minute. Longer times are recorded as this value.
const MAX_GRANT_US: u64 = 60_000_000;
/// Time unit of an entry's loop, which waits at most five of these for a link event.
const TICK: Duration = Duration::from_millis(1);
const SECRET: &str = "testbed-secret";
/// Output tokens of each request.
const OUTPUT_TOKENS: u32 = 240;
/// Prefix blocks of a request. They correspond to a prompt of 320 tokens.
const PREFIX_BLOCKS: u64 = 20;

/// Counts and times of all simulated entries.
#[derive(Clone)]
pub(super) struct EntryTotals {
    pub(super) grants: u64,
    pub(super) refusals: u64,
    pub(super) grant_us: Histogram<u64>,
    pub(super) bytes: u64,
}

impl EntryTotals {
    fn new() -> Self {
        // The upper bound is fixed because an auto-resizing histogram clamps a saturating record to
        // its current range.
        let grant_us = Histogram::new_with_bounds(1, MAX_GRANT_US, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are constant and valid"));
        Self { grants: 0, refusals: 0, grant_us, bytes: 0 }
    }
}

struct SharedState {
    totals: EntryTotals,
    versions: Vec<u64>,
}

/// Simulated entries that run as threads of this process.
pub(super) struct SimulatedEntries {
    links: Vec<LinkHandle>,
    state: Arc<Mutex<SharedState>>,
    bytes_at_reset: Mutex<u64>,
}

impl SimulatedEntries {
    pub(super) fn spawn(
        control: &[SocketAddr],
        plan: &CapacityPlan,
    ) -> Result<Self, CapacityError> {
        let state = SharedState { totals: EntryTotals::new(), versions: vec![0; plan.entries] };
        let state = Arc::new(Mutex::new(state));
        let mut links = Vec::new();
        for number in 0..plan.entries {
            let (sender, events) = channel();
            let identity = LinkIdentity {
                role: PeerRole::Entry,
                node: NodeId(1_000 + number as u64),
                secret: SECRET.into(),
                source: Ipv4Addr::LOCALHOST.into(),
            };
            let link = LinkHandle::spawn(identity, None, control, sender, |event| event)?;
            let entry = SimulatedEntry::new(number, link.clone(), *plan, state.clone());
            links.push(link);
            thread::Builder::new()
                .name(format!("entry-{number}"))
                .stack_size(256 << 10)
                .spawn(move || entry.run(&events))
                .map_err(CapacityError::Thread)?;
        }
        Ok(Self { links, state, bytes_at_reset: Mutex::new(0) })
    }

    fn bytes(&self) -> u64 {
        let totals = self.links.iter().map(LinkHandle::totals);
        totals.map(|totals| totals.sent_bytes + totals.received_bytes).sum()
    }

    /// Resets all counts.
    pub(super) fn reset(&self) {
        locked(&self.state).totals = EntryTotals::new();
        *locked(&self.bytes_at_reset) = self.bytes();
    }

    pub(super) fn totals(&self) -> EntryTotals {
        let mut totals = locked(&self.state).totals.clone();
        totals.bytes = self.bytes() - *locked(&self.bytes_at_reset);
        totals
    }

    /// Whether every entry has at least this configuration version.
    pub(super) fn all_have_version(&self, version: u64) -> bool {
        locked(&self.state).versions.iter().all(|held| *held >= version)
    }
}

/// State of one simulated entry.
struct SimulatedEntry {
    number: usize,
    link: LinkHandle,
    plan: CapacityPlan,
    state: Arc<Mutex<SharedState>>,
    random: StdRng,
    leader: Option<LinkKey>,
    links: Vec<LinkKey>,
    submitted: HashMap<RequestKey, Instant>,
    running: BTreeMap<(ClockTime, RequestKey), ClaimNumber>,
    version: u64,
    sequence: u64,
}

impl SimulatedEntry {
    fn new(
        number: usize,
        link: LinkHandle,
        plan: CapacityPlan,
        state: Arc<Mutex<SharedState>>,
    ) -> Self {
        Self {
            number,
            link,
            plan,
            state,
            random: StdRng::seed_from_u64(number as u64),
            leader: None,
            links: Vec::new(),
            submitted: HashMap::new(),
            running: BTreeMap::new(),
            version: 0,
            sequence: 0,
        }
    }

    fn run(mut self, events: &Receiver<LinkEvent>) {
        let start = ClockTime::monotonic();
        let mut next_request = start.plus(self.next_interval_ms());
        let mut next_heartbeat = start;
        let mut next_progress = start;
        loop {
            if let Ok(event) = events.recv_timeout(TICK * 5) {
                self.handle(event);
            }
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            let now = ClockTime::monotonic();
            self.finish_due(now);
            if now >= next_heartbeat {
                next_heartbeat = now.plus(HEARTBEAT_INTERVAL_MS);
                self.send_heartbeats(now);
            }
            if now >= next_progress {
                next_progress = now.plus(PROGRESS_INTERVAL_MS);
                self.send_progress();
            }
            if now >= next_request {
                next_request = next_request.plus(self.next_interval_ms());
                self.submit();
            }
        }
    }

    /// Draws the time until the next request in ms, exponentially distributed.
    fn next_interval_ms(&mut self) -> u64 {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        // The cast saturates, so a rate of zero gives a very long interval.
        (-uniform.ln() * 1_000.0 / self.plan.rate_per_entry) as u64
    }

    fn send(&self, message: &EntryMessage) {
        if let Some(leader) = self.leader {
            self.link.send(leader, encode_frame(message));
        }
    }

    fn send_heartbeats(&self, now: ClockTime) {
        let heartbeat = EntryMessage::Heartbeat { entry_time: now, config_version: self.version };
        for link in &self.links {
            self.link.send(*link, encode_frame(&heartbeat));
        }
    }

    fn send_progress(&self) {
        let progress = |(_, key): &(ClockTime, RequestKey)| StreamProgress {
            key: *key,
            tokens: OUTPUT_TOKENS / 2,
            first_token_ms: Some(40),
        };
        let batch: Vec<_> = self.running.keys().map(progress).collect();
        if !batch.is_empty() {
            self.send(&EntryMessage::Progress(batch));
        }
    }

    fn submit(&mut self) {
        if self.leader.is_none() {
            return;
        }
        self.sequence += 1;
        let workspace = format!("workspace-{}", self.random.random_range(0..self.plan.workspaces));
        let key = RequestKey::derive(&workspace, &format!("{}-{}", self.number, self.sequence));
        self.submitted.insert(key, Instant::now());
        let first_block: u64 = self.random.random_range(0..50) << 32;
        self.send(&EntryMessage::Submit(SubmitRequest {
            key,
            attempt: 1,
            fingerprint: RequestFingerprint(self.sequence),
            workspace,
            pool: "pool".into(),
            model: "m1".into(),
            tier: 0,
            idempotent: true,
            deadline_in_ms: 20_000,
            prompt_tokens: 320,
            output_tokens: OUTPUT_TOKENS,
            prefix_hashes: (0..PREFIX_BLOCKS).map(|block| (first_block + block) << 16).collect(),
        }));
    }

    fn finish_due(&mut self, now: ClockTime) {
        while let Some(entry) = self.running.first_entry() {
            let (due, key) = *entry.key();
            if due > now {
                return;
            }
            let claim = entry.remove();
            self.send(&EntryMessage::Finish(FinishReport {
                key,
                claim,
                outcome: RequestOutcome::Completed,
                reason: None,
                cached_tokens: 0,
                output_tokens: OUTPUT_TOKENS,
                first_token_ms: 40,
                total_ms: u32::try_from(self.plan.service_ms).unwrap_or(u32::MAX),
            }));
        }
    }

    fn handle(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, .. } => {
                self.links.push(link);
                let hello = EntryMessage::Hello {
                    name: format!("entry-{}", self.number),
                    entry_time: ClockTime::monotonic(),
                    config_version: self.version,
                    running: Vec::new(),
                };
                self.link.send(link, encode_frame(&hello));
            }
            LinkEvent::Down { link } => {
                self.links.retain(|known| *known != link);
                self.leader = self.leader.filter(|leader| *leader != link);
            }
            LinkEvent::Frame { link, frame } => {
                if let Ok(message) = decode_frame(&frame) {
                    self.receive(link, message);
                }
            }
        }
    }

    fn receive(&mut self, link: LinkKey, message: ControlMessage) {
        match message {
            ControlMessage::Welcome { leading: true, .. } => self.leader = Some(link),
            ControlMessage::Config { version, .. } => {
                self.version = version;
                locked(&self.state).versions[self.number] = version;
            }
            ControlMessage::ConfigDelta { base_version, version, .. }
                if base_version == self.version =>
            {
                self.version = version;
                locked(&self.state).versions[self.number] = version;
            }
            ControlMessage::Grant(ticket) => {
                let due = ClockTime::monotonic().plus(self.plan.service_ms);
                self.running.insert((due, ticket.key), ticket.claim);
                let Some(submitted) = self.submitted.remove(&ticket.key) else { return };
                let waited = u64::try_from(submitted.elapsed().as_micros()).unwrap_or(u64::MAX);
                let mut state = locked(&self.state);
                state.totals.grants += 1;
                state.totals.grant_us.saturating_record(waited);
            }
            ControlMessage::Refuse { key, .. } => {
                self.submitted.remove(&key);
                locked(&self.state).totals.refusals += 1;
            }
            _ => {}
        }
    }
}
