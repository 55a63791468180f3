//! Measures deployments of real processes.

mod compare;
mod goodput;
mod memory;
mod overhead;
mod stages;

pub use compare::{SchedulingVariant, UnknownVariantError, compare_row, parse_variants};
pub use goodput::{
    AlreadyEndedTrace, GoodputPlan, GoodputReport, measure_capacity, measure_goodput,
};
pub use memory::{MemoryReport, measure_memory};
pub use overhead::{OverheadReport, OverheadRound, measure_overhead};
pub use stages::{StageTime, measure_sync, read_stages};

use crate::deployment::{Deployment, DeploymentError};
use crate::error::TestbedError;
use crate::load::LoadProfile;
use thiserror::Error;

/// Model of the measurements.
pub const MODEL: &str = "m1";
/// Name of the engines' pool.
pub const MODEL_POOL: &str = "models";

/// Deadline of requests in a backlog, in milliseconds. It exceeds the duration of a run.
const BACKLOG_DEADLINE_MS: u32 = 300_000;

/// Errors of a measurement.
#[derive(Debug)]
#[derive(Error)]
pub enum MeasureError {
    /// The processes could not be set up.
    #[error("failed to set up the processes")]
    Deployment(#[from] DeploymentError),
    /// The fake targets or the load generator failed.
    #[error("failed to run the fake targets or the load")]
    Testbed(#[from] TestbedError),
    /// The configuration document was refused.
    #[error("failed to apply the document: status {0}")]
    Refused(u16),
}

/// Starts three control instances and the entries, applies a document and waits until the entries
/// are ready.
fn start_deployment(document: &str, entries: usize) -> Result<Deployment, MeasureError> {
    let mut deployment = Deployment::open_without_relays(3)?;
    for index in 0..3 {
        deployment.start_control(index)?;
    }
    for index in 0..entries {
        deployment.start_entry(index)?;
    }
    let leader = deployment.wait_leader()?;
    apply(&deployment, leader, 0, document)?;
    for index in 0..entries {
        deployment.wait_ready(index)?;
    }
    Ok(deployment)
}

/// Applies a document based on version `base`.
fn apply(
    deployment: &Deployment,
    leader: usize,
    base: u64,
    document: &str,
) -> Result<(), MeasureError> {
    let answer = deployment.apply(leader, base, &format!("measure-{base}"), document)?;
    match answer.status {
        200 => Ok(()),
        status => Err(MeasureError::Refused(status)),
    }
}

/// Returns the pool of the plain services of a profile.
fn service_pool(profile: LoadProfile) -> &'static str {
    match profile {
        LoadProfile::Bureau => "depot",
        LoadProfile::Kerlouan => "kits",
    }
}

/// Returns the name of the workspace whose completions are in a tier.
fn workspace(tier: u8) -> String {
    format!("workspace-{tier}")
}

/// Returns the credential of the workspace whose completions are in a tier.
fn credential(tier: u8) -> String {
    format!("measure-{tier}")
}

/// Builds a document with a workspace per tier and limits that are never reached.
///
/// `scheduling` contains the lines of the `[pools.scheduling]` table of the engines' pool. With
/// `single_tier`, all completions are in tier 0 and their deadline exceeds the run.
fn document(profile: LoadProfile, scheduling: &str, single_tier: bool) -> String {
    let top_deadline_ms = if single_tier { BACKLOG_DEADLINE_MS } else { 5_000 };
    let service = service_pool(profile);
    let mut text = format!(
        "credential-salt = \"\"\n\
         [[tiers]]\nname = \"tier-0\"\nrank = 0\ndefault-deadline-ms = {top_deadline_ms}\nmax-queue-ms = 300\n\
         [[tiers]]\nname = \"tier-1\"\nrank = 1\ndefault-deadline-ms = 10000\nmax-queue-ms = 3000\n\
         [[tiers]]\nname = \"tier-2\"\nrank = 2\ndefault-deadline-ms = 30000\nmax-queue-ms = 15000\n\
         [[pools]]\nname = \"{MODEL_POOL}\"\nkind = \"model\"\nmodels = [\"{MODEL}\"]\n\
         [pools.scheduling]\n{scheduling}\n\
         [[pools]]\nname = \"{service}\"\nkind = \"service\"\nstraggler-percent = 0\n\
         [[rules]]\nname = \"orders\"\npath-prefix = \"/svc/{service}\"\npool = \"{service}\"\n\
         tier = \"tier-0\"\nidempotent = false\n",
    );
    for tier in 0..3 {
        let digest = burdockcleat_core::document::CredentialDigest::compute("", &credential(tier));
        let workspace = workspace(tier);
        let chosen = if single_tier { 0 } else { tier };
        text.push_str(&format!(
            "[[workspaces]]\nname = \"{workspace}\"\ncredentials = [\"{digest}\"]\n\
             in-flight-limit = 10000\ntokens-per-second-limit = 1000000\n\
             pools = [\"{MODEL_POOL}\", \"{service}\"]\ntiers = [\"tier-0\", \"tier-1\", \"tier-2\"]\n\
             [[rules]]\nname = \"completions-{tier}\"\nworkspace = \"{workspace}\"\n\
             path-prefix = \"/v1/completions\"\npool = \"{MODEL_POOL}\"\ntier = \"tier-{chosen}\"\n",
        ));
    }
    text
}
