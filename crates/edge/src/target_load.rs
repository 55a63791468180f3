//! Load that targets state in their responses.

use serde::{Deserialize, Serialize};

/// Longest age at which a report is passed on, in ms. An older one has no effect on the placement.
const MAX_REPORT_AGE_MS: u64 = 1_000;

/// Load of a target at the time of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait in the target.
    pub waiting: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// How long work takes on the target's machine at the moment, in percent of the usual time;
    /// `None` if the target does not state it.
    pub work_percent: Option<u16>,
}

impl TargetLoad {
    /// Parses `running,waiting,slots[,percent]`. Returns `None` if a figure is missing or is not a
    /// number, or if the percentage is not positive.
    pub fn parse(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(str::trim);
        let mut count = || figures.next()?.parse().ok();
        let (running, waiting, slots) = (count()?, count()?, count()?);
        let work_percent = match figures.next() {
            None => None,
            Some(text) => Some(parse_percent(text)?),
        };
        figures.next().is_none().then_some(Self { running, waiting, slots, work_percent })
    }

    /// Returns the number of requests that the target holds.
    pub const fn held(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

fn parse_percent(text: &str) -> Option<u16> {
    let percent = text.parse::<f64>().ok()?.round();
    (percent >= 1.0 && percent <= f64::from(u16::MAX)).then_some(percent as u16)
}

/// Load of a target with its age, as nodes pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The load.
    pub load: TargetLoad,
    /// Time since the response arrived, in ms.
    pub age_ms: u64,
}

impl LoadReport {
    /// Creates a report, or `None` if it would be too old.
    pub fn new(load: TargetLoad, age_ms: u64) -> Option<Self> {
        (age_ms <= MAX_REPORT_AGE_MS).then_some(Self { load, age_ms })
    }
}
