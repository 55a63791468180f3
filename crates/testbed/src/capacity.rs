//! Measures the control instances under the load of many simulated entries and targets.
//!
//! The simulated entries are threads of this process. They speak the real protocol and only pretend
//! to run the requests that they are granted. The simulated targets only announce themselves. This
//! way, the control instances of a large deployment can be measured on one machine.

mod entries;
mod targets;

use crate::deployment::{Deployment, DeploymentError};
use crate::usage::ProcessUsage;
use burdockcleat::link::LinkError;
use burdockcleat_core::clock::ClockTime;
use entries::SimulatedEntries;
use hdrhistogram::Histogram;
use std::fmt::Write;
use std::thread;
use std::time::Duration;
use targets::SimulatedTargets;
use thiserror::Error;

/// Time before the measurement during which links open and estimates settle.
const WARM_UP_TIME: Duration = Duration::from_secs(4);

/// Errors of a measurement.
#[derive(Debug)]
#[derive(Error)]
pub enum CapacityError {
    /// The control instances could not be set up.
    #[error("failed to set up the control instances")]
    Deployment(#[from] DeploymentError),
    /// The links could not be opened.
    #[error("failed to open the links of the entries")]
    Link(#[from] LinkError),
    /// A thread could not be created.
    #[error("failed to start a thread")]
    Thread(#[source] std::io::Error),
    /// The configuration document was refused.
    #[error("failed to apply the document: status {0}")]
    Refused(u16),
}

/// Size and length of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct CapacityPlan {
    /// Number of simulated entries.
    pub entries: usize,
    /// Number of simulated targets.
    pub targets: usize,
    /// Request rate of each entry, per second.
    pub rate_per_entry: f64,
    /// Time that a granted request runs, in milliseconds.
    pub service_ms: u64,
    /// Number of workspaces in the document.
    pub workspaces: usize,
    /// Length of the measurement, in seconds.
    pub seconds: u64,
}

/// Result of a measurement.
#[derive(Clone, Debug)]
pub struct CapacityReport {
    /// Size and length of the measurement.
    pub plan: CapacityPlan,
    /// Grants per second.
    pub grants_per_second: f64,
    /// Number of refusals in the whole measurement.
    pub refusals: u64,
    /// Time from submit to grant, in microseconds: median and 99th percentile.
    pub grant_us: (u64, u64),
    /// Bytes per second on the links of one entry, in both directions.
    pub entry_bytes_per_second: f64,
    /// Share of a core that the leader uses, in percent.
    pub leader_cpu_percent: f64,
    /// Largest share of a core that a follower uses, in percent.
    pub follower_cpu_percent: f64,
    /// Resident memory of the leader, in MiB.
    pub leader_mib: f64,
    /// Time until all entries have a new configuration, in milliseconds. `None` if they did not
    /// within the timeout.
    pub config_propagation_ms: Option<u64>,
}

impl CapacityReport {
    /// Header of the Markdown table.
    pub const HEADER: &'static str = "| entries | targets | workspaces | grants/s | refused | \
        grant median ms | grant p99 ms | entry B/s | leader CPU % | follower CPU % | leader MiB | \
        config spread ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|";

    /// Formats the report as a row of the table.
    pub fn row(&self) -> String {
        let mut row = String::new();
        let propagation =
            self.config_propagation_ms.map_or_else(|| "-".into(), |ms| ms.to_string());
        // Writing to a string cannot fail.
        let _ = write!(
            row,
            "| {} | {} | {} | {:.0} | {} | {:.1} | {:.1} | {:.0} | {:.1} | {:.1} | {:.0} | {propagation} |",
            self.plan.entries,
            self.plan.targets,
            self.plan.workspaces,
            self.grants_per_second,
            self.refusals,
            self.grant_us.0 as f64 / 1_000.0,
            self.grant_us.1 as f64 / 1_000.0,
            self.entry_bytes_per_second,
            self.leader_cpu_percent,
            self.follower_cpu_percent,
            self.leader_mib,
        );
        row
    }
}

/// Runs one measurement.
///
/// # Errors
/// Fails if the control instances do not start or accept the document.
pub fn measure(plan: CapacityPlan) -> Result<CapacityReport, CapacityError> {
    let mut deployment = Deployment::open(3)?;
    for index in 0..3 {
        deployment.start_control(index)?;
    }
    let leader = deployment.wait_leader()?;
    apply(&deployment, leader, 0, &document(plan.workspaces, 1))?;
    let targets = SimulatedTargets::spawn(&deployment, leader, plan.targets)?;
    let links: Vec<_> = (0..3).map(|index| deployment.control_link_address(index)).collect();
    let entries = SimulatedEntries::spawn(&links, &plan)?;
    thread::sleep(WARM_UP_TIME);
    entries.reset();
    let before = usages(&deployment);
    let started = ClockTime::monotonic();
    thread::sleep(Duration::from_secs(plan.seconds));
    let elapsed_ms = ClockTime::monotonic().since(started);
    let after = usages(&deployment);
    let totals = entries.totals();
    let propagation_ms =
        measure_config_propagation(&deployment, leader, &entries, plan.workspaces)?;
    targets.stop();
    let cpu = |index: usize| {
        (after[index].cpu_ms - before[index].cpu_ms) as f64 * 100.0 / elapsed_ms as f64
    };
    let followers = (0..3).filter(|index| *index != leader).map(cpu);
    let seconds = elapsed_ms as f64 / 1_000.0;
    Ok(CapacityReport {
        plan,
        grants_per_second: totals.grants as f64 / seconds,
        refusals: totals.refusals,
        grant_us: percentiles(&totals.grant_us),
        entry_bytes_per_second: totals.bytes as f64 / seconds / plan.entries.max(1) as f64,
        leader_cpu_percent: cpu(leader),
        follower_cpu_percent: followers.fold(0.0, f64::max),
        leader_mib: after[leader].resident_kib as f64 / 1_024.0,
        config_propagation_ms: propagation_ms,
    })
}

fn percentiles(histogram: &Histogram<u64>) -> (u64, u64) {
    (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99))
}

fn usages(deployment: &Deployment) -> Vec<ProcessUsage> {
    let usage = |index| {
        let process = deployment.process_id(&Deployment::control_name(index))?;
        ProcessUsage::read(process)
    };
    (0..3).map(|index| usage(index).unwrap_or_default()).collect()
}

fn apply(
    deployment: &Deployment,
    leader: usize,
    base: u64,
    document: &str,
) -> Result<(), CapacityError> {
    let answer = deployment.apply(leader, base, &format!("capacity-{base}"), document)?;
    match answer.status {
        200 => Ok(()),
        status => Err(CapacityError::Refused(status)),
    }
}

/// Measures the time from applying a second version until every entry has it. Returns `None` after
/// a timeout.
fn measure_config_propagation(
    deployment: &Deployment,
    leader: usize,
    entries: &SimulatedEntries,
    workspaces: usize,
) -> Result<Option<u64>, CapacityError> {
    const PROPAGATION_TIMEOUT_MS: u64 = 20_000;
    let started = ClockTime::monotonic();
    apply(deployment, leader, 1, &document(workspaces, 2))?;
    while ClockTime::monotonic().since(started) < PROPAGATION_TIMEOUT_MS {
        if entries.all_have_version(2) {
            return Ok(Some(ClockTime::monotonic().since(started)));
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(None)
}

/// Builds a document with one pool and many workspaces. Documents that differ in `weight` are
/// different versions.
fn document(workspaces: usize, weight: u32) -> String {
    let mut text = String::from(
        "credential-salt = \"capacity\"\n\
         [[tiers]]\nname = \"only\"\nrank = 0\ndefault-deadline-ms = 30000\nmax-queue-ms = 5000\n\
         [[pools]]\nname = \"pool\"\nkind = \"model\"\nmodels = [\"m1\"]\nqueue-limit = 10000\n\
         [[rules]]\nname = \"all\"\npool = \"pool\"\ntier = \"only\"\n",
    );
    for number in 0..workspaces.max(1) {
        let weight = if number == 0 { weight } else { 1 };
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[[workspaces]]\nname = \"workspace-{number}\"\ncredentials = [\"sha256:{number:064x}\"]\n\
             weight = {weight}\nin-flight-limit = 10000\ntokens-per-second-limit = 1000000\n\
             pools = [\"pool\"]\ntiers = [\"only\"]\n",
        );
    }
    text
}
