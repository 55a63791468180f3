//! Simulated targets, which only announce themselves.

use super::CapacityError;
use crate::deployment::{Deployment, TARGET_TOKEN};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::registry::{LoadReport, TargetAnnouncement};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval of the announcements of one target.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of threads among which the targets are divided.
const THREAD_COUNT: usize = 4;
const SLOTS: u32 = 16;

/// Handle of the threads that announce the targets until they are stopped.
pub(super) struct SimulatedTargets {
    stopped: Arc<AtomicBool>,
}

impl SimulatedTargets {
    pub(super) fn spawn(
        deployment: &Deployment,
        leader: usize,
        count: usize,
    ) -> Result<Self, CapacityError> {
        let stopped = Arc::new(AtomicBool::new(false));
        let url = format!("{}/v1/targets/announce", deployment.control_url(leader));
        for share in 0..THREAD_COUNT {
            let (url, stopped) = (url.clone(), stopped.clone());
            let numbers: Vec<usize> =
                (0..count).filter(|number| number % THREAD_COUNT == share).collect();
            thread::Builder::new()
                .name("targets".into())
                .spawn(move || announce_all(&url, &numbers, &stopped))
                .map_err(CapacityError::Thread)?;
        }
        Ok(Self { stopped })
    }

    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

fn announce_all(url: &str, numbers: &[usize], stopped: &AtomicBool) {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(2)))
        .build();
    let agent = config.new_agent();
    let mut sequence = 0;
    while !stopped.load(Ordering::SeqCst) {
        let started = ClockTime::monotonic();
        sequence += 1;
        for number in numbers {
            let announcement = announcement(*number, sequence);
            // A failed announcement is repeated after the interval.
            let _ = agent
                .post(url)
                .header("authorization", format!("Bearer {TARGET_TOKEN}"))
                .send_json(&announcement);
        }
        let spent = Duration::from_millis(ClockTime::monotonic().since(started));
        thread::sleep(HEARTBEAT_INTERVAL.saturating_sub(spent));
    }
}

fn announcement(number: usize, sequence: u64) -> TargetAnnouncement {
    TargetAnnouncement {
        name: format!("target-{number}"),
        incarnation: 1,
        // Nothing connects to port 9, because the simulated entries only pretend to dispatch.
        address: "127.0.0.1:9".into(),
        pool: "pool".into(),
        generation: if number.is_multiple_of(2) { "g1" } else { "g2" }.into(),
        models: vec!["m1".into()],
        slots: SLOTS,
        load: LoadReport { running: 4, waiting: 0, sequence },
        ..TargetAnnouncement::default()
    }
}
