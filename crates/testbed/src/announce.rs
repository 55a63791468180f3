//! Announces a fake target to the control instances.

use crate::error::TestbedError;
use crate::sync::locked;
pub use burdockcleat_core::registry::{
    CacheChange, CacheEvent, LoadReport, TargetAnnouncement, TargetKind,
};

use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::TargetIdentity;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use ureq::Agent;

/// Maximum number of cache events queued for the next announcement. Older ones are dropped and
/// leave a gap in the sequence numbers.
const EVENT_BACKLOG: usize = 4_096;
/// Maximum number of requests for one announcement, including those that follow a redirect.
const REDIRECT_LIMIT: usize = 3;
/// Timeout of one request. It leaves time to try a second control instance before the target
/// counts as silent.
const POST_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval in ms at which the load is sampled for delayed reports.
const SAMPLE_INTERVAL_MS: u64 = 50;

/// Settings of a fake target and of its announcements.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Name, unique within the deployment.
    pub name: String,
    /// Incarnation. Defaults to the wall clock in ms, so that it grows with each start.
    pub incarnation: u64,
    /// Listen address. Port 0 lets the operating system choose a port.
    pub listen: SocketAddr,
    /// Pool that the target serves.
    pub pool: String,
    /// Hardware generation.
    pub generation: String,
    /// Failure domain.
    pub domain: String,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Number of slots to announce.
    pub slots: u32,
    /// Whether the target rejects orders with an older fencing number.
    pub enforces_fencing: bool,
    /// Issuer from which the target takes orders; empty if it takes none.
    pub order_issuer: String,
    /// Bearer token that is sent to the control instances.
    pub token: String,
    /// Base URLs of the control instances. Without any, the target does not announce itself.
    pub control_urls: Vec<String>,
    /// Interval between announcements, in ms.
    pub heartbeat_ms: u64,
    /// Age of the load that is reported, in ms.
    pub report_lag_ms: u64,
    /// Probability that a cache event is lost, 0 to 1.
    pub event_loss: f64,
}

impl TargetSettings {
    /// Returns settings with this name and pool, and defaults for the rest.
    pub fn named(name: &str, pool: &str) -> Self {
        Self {
            name: name.to_owned(),
            incarnation: ClockTime::wall().as_ms(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            pool: pool.to_owned(),
            generation: "g1".to_owned(),
            domain: "d1".to_owned(),
            models: vec!["m1".to_owned()],
            slots: 8,
            enforces_fencing: true,
            order_issuer: "burdockcleat".to_owned(),
            token: crate::deployment::TARGET_TOKEN.to_owned(),
            control_urls: Vec::new(),
            heartbeat_ms: 500,
            report_lag_ms: 0,
            event_loss: 0.0,
        }
    }
}

/// Values of an announcement that change while the target runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetStatus {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) models: Vec<String>,
    pub(crate) silent: bool,
}

/// Reads the current status of a target.
pub(crate) type StatusProbe = Arc<dyn Fn() -> TargetStatus + Send + Sync>;

/// Queue of cache events for the next announcement.
#[derive(Default)]
pub(crate) struct EventQueue {
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl EventQueue {
    pub(crate) fn append(&mut self, change: CacheChange) {
        if matches!(&change, CacheChange::Stored(hashes) | CacheChange::Removed(hashes) if hashes.is_empty())
        {
            return;
        }
        self.sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.sequence, change });
        if self.events.len() > EVENT_BACKLOG {
            self.events.pop_front();
        }
    }

    fn acknowledge(&mut self, last: u64) {
        while self.events.front().is_some_and(|event| event.sequence <= last) {
            self.events.pop_front();
        }
    }
}

/// Thread that announces a target until it is stopped.
pub(crate) struct TargetAnnouncer {
    shared: Arc<AnnouncerState>,
    thread: Option<JoinHandle<()>>,
}

struct AnnouncerState {
    settings: TargetSettings,
    kind: TargetKind,
    address: SocketAddr,
    probe: StatusProbe,
    events: Arc<Mutex<EventQueue>>,
    stopped: Mutex<bool>,
    wake: Condvar,
}

impl TargetAnnouncer {
    pub(crate) fn spawn(
        settings: &TargetSettings,
        kind: TargetKind,
        address: SocketAddr,
        events: Arc<Mutex<EventQueue>>,
        probe: StatusProbe,
    ) -> Result<Self, TestbedError> {
        let shared = Arc::new(AnnouncerState {
            settings: settings.clone(),
            kind,
            address,
            probe,
            events,
            stopped: Mutex::new(false),
            wake: Condvar::new(),
        });
        let state = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("fake-announce".to_owned())
            .spawn(move || AnnounceLoop::new(state).run())
            .map_err(TestbedError::Thread)?;
        Ok(Self { shared, thread: Some(thread) })
    }

    /// Stops the announcements without deregistering the target.
    pub(crate) fn stop(&mut self) {
        *locked(&self.shared.stopped) = true;
        self.shared.wake.notify_all();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Stops the announcements and deregisters this incarnation at the control instances. Returns
    /// whether one of them accepted it.
    pub(crate) fn leave(&mut self) -> bool {
        self.stop();
        let settings = &self.shared.settings;
        let leave =
            TargetIdentity { name: settings.name.clone(), incarnation: settings.incarnation };
        let mut client = ControlClient::new(settings);
        let attempts = 2 * settings.control_urls.len();
        (0..attempts).any(|_| client.post("/v1/targets/leave", &leave))
    }
}

/// Target that announces itself although its address refuses connections.
pub struct AbsentTarget {
    announcer: TargetAnnouncer,
}

impl AbsentTarget {
    /// Reserves an address at which nothing listens and starts to announce it.
    ///
    /// # Errors
    /// Fails if no address is free or the thread cannot be started.
    pub fn spawn(settings: &TargetSettings) -> Result<Self, TestbedError> {
        let reserved =
            TcpListener::bind(settings.listen).and_then(|listener| listener.local_addr()).map_err(
                |source| TestbedError::Bind { address: settings.listen, source: source.into() },
            )?;
        let models = settings.models.clone();
        let probe: StatusProbe =
            Arc::new(move || TargetStatus { models: models.clone(), ..TargetStatus::default() });
        let announcer =
            TargetAnnouncer::spawn(settings, TargetKind::Model, reserved, Arc::default(), probe)?;
        Ok(Self { announcer })
    }
}

impl Drop for AbsentTarget {
    fn drop(&mut self) {
        self.announcer.stop();
    }
}

struct AnnounceLoop {
    state: Arc<AnnouncerState>,
    client: ControlClient,
    samples: VecDeque<(ClockTime, LoadReport)>,
    sequence: u64,
    loss_rng: StdRng,
}

impl AnnounceLoop {
    fn new(state: Arc<AnnouncerState>) -> Self {
        let client = ControlClient::new(&state.settings);
        let loss_rng = StdRng::seed_from_u64(state.settings.incarnation);
        Self { state, client, samples: VecDeque::new(), sequence: 0, loss_rng }
    }

    fn run(mut self) {
        let heartbeat = self.state.settings.heartbeat_ms.max(1);
        let mut next = ClockTime::monotonic();
        loop {
            let now = ClockTime::monotonic();
            let status = (self.state.probe)();
            self.sample(now, &status);
            if now >= next && !status.silent {
                self.announce(now, status);
                next = ClockTime::monotonic().max(next.plus(heartbeat));
            }
            let pause = SAMPLE_INTERVAL_MS.min(next.since(ClockTime::monotonic()).max(1));
            let guard = locked(&self.state.stopped);
            if *guard {
                return;
            }
            let waited = self.state.wake.wait_timeout(guard, Duration::from_millis(pause));
            if waited.is_ok_and(|(stopped, _)| *stopped) {
                return;
            }
        }
    }

    fn sample(&mut self, now: ClockTime, status: &TargetStatus) {
        self.sequence += 1;
        let report = LoadReport {
            running: status.running,
            waiting: status.waiting,
            sequence: self.sequence,
        };
        self.samples.push_back((now, report));
        let lag = self.state.settings.report_lag_ms;
        // Keeps the newest sample that is at least `lag` old at the front.
        while self.samples.get(1).is_some_and(|(at, _)| now.since(*at) >= lag) {
            self.samples.pop_front();
        }
    }

    fn announce(&mut self, now: ClockTime, status: TargetStatus) {
        let settings = &self.state.settings;
        let lagging =
            self.samples.front().filter(|(at, _)| now.since(*at) >= settings.report_lag_ms);
        let load = lagging.map(|(_, report)| *report).unwrap_or_default();
        let mut cache_events: Vec<_> = locked(&self.state.events).events.iter().cloned().collect();
        let last = cache_events.last().map_or(0, |event| event.sequence);
        cache_events.retain(|_| !self.loss_rng.random_bool(settings.event_loss.clamp(0.0, 1.0)));
        let announcement = TargetAnnouncement {
            name: settings.name.clone(),
            incarnation: settings.incarnation,
            address: self.state.address.to_string(),
            pool: settings.pool.clone(),
            kind: self.state.kind,
            generation: settings.generation.clone(),
            failure_domain: settings.domain.clone(),
            order_issuer: settings.order_issuer.clone(),
            models: status.models,
            slots: settings.slots,
            enforces_fencing: settings.enforces_fencing,
            load,
            cache_events,
        };
        let attempts = settings.control_urls.len();
        if (0..attempts).any(|_| self.client.post("/v1/targets/announce", &announcement)) {
            locked(&self.state.events).acknowledge(last);
        }
    }
}

#[derive(Deserialize)]
struct LeaderHint {
    leader: String,
}

/// HTTP client of the control instances. Remembers the last known leader.
struct ControlClient {
    agent: Agent,
    token: String,
    urls: Vec<String>,
    current: usize,
    leader: Option<String>,
}

impl ControlClient {
    fn new(settings: &TargetSettings) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(POST_TIMEOUT))
            .build();
        let urls = settings.control_urls.clone();
        let token = format!("Bearer {}", settings.token);
        Self { agent: Agent::new_with_config(config), token, urls, current: 0, leader: None }
    }

    /// Sends a request to the last known leader, or else to the current URL. Returns whether it
    /// succeeded; a failure selects the next URL.
    fn post<T: Serialize>(&mut self, path: &str, body: &T) -> bool {
        for _ in 0..REDIRECT_LIMIT {
            let known = self.leader.clone().or_else(|| self.urls.get(self.current).cloned());
            let Some(base) = known else { return false };
            let url = format!("{}{path}", base.trim_end_matches('/'));
            let answer = self.agent.post(&url).header("authorization", &self.token).send_json(body);
            match answer {
                Ok(response) if response.status().is_success() => return true,
                Ok(mut response) if response.status().as_u16() == 421 => {
                    let Ok(hint) = response.body_mut().read_json::<LeaderHint>() else { break };
                    if hint.leader.is_empty() {
                        break;
                    }
                    self.leader = Some(hint.leader);
                }
                Ok(_) | Err(_) => break,
            }
        }
        self.leader = None;
        self.current = (self.current + 1) % self.urls.len().max(1);
        false
    }
}
