//! Test cluster: a deployment together with fake targets, ready to serve requests.

use crate::client::{CompletionCall, TimedCall};
use crate::deployment::{Deployment, DeploymentError, wait_until};
use crate::engine::{EngineSettings, FakeEngine};
use crate::error::TestbedError;
use crate::journal::{DispatchRecord, TargetJournal};
use crate::prompt::token_text;
use crate::service::{FakeService, ServiceSettings};
use burdockcleat_core::keys::RequestKey;
use std::collections::HashMap;
use thiserror::Error;

/// Model that the engines serve.
pub const MODEL: &str = "hinge-spares-13b";
/// Second model of the engines. Its requests with `BATCH_CREDENTIAL` are in the tier `batch`.
pub const BATCH_MODEL: &str = "hinge-spares-13b-catalogue";
/// Pool of the engines.
pub const MODEL_POOL: &str = "hinge-model";
/// Pool of the services.
pub const SERVICE_POOL: &str = "depot-orders";
/// Configuration document of a test cluster.
pub const DOCUMENT: &str = include_str!("../../../examples/bureau.toml");
/// Credential of the largest workspace. Its completions are in the tier `standard`.
pub const CREDENTIAL: &str = "test-provincial-depots";
/// Credential of a workspace whose completions are in the tier `urgent`.
pub const URGENT_CREDENTIAL: &str = "test-railway-workshops";
/// Credential of a workspace whose completions with `BATCH_MODEL` are in the tier `batch`.
pub const BATCH_CREDENTIAL: &str = "test-catalogue-office";

/// Time for a leader to accept the document, in milliseconds.
const DOCUMENT_TIMEOUT_MS: u64 = 20_000;
/// Time for all targets to be announced, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 10_000;

/// Errors of the setup of a test cluster.
#[derive(Debug)]
#[derive(Error)]
pub enum ClusterError {
    /// A process could not be started or did not become ready.
    #[error("failed to set up the processes")]
    Deployment(#[from] DeploymentError),
    /// A fake target could not be started.
    #[error("failed to set up the fake targets")]
    Target(#[from] TestbedError),
    /// The configuration document was refused.
    #[error("failed to apply the document: status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
}

/// Size of a test cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of fake engines.
    pub engines: usize,
    /// Number of slots that each engine announces.
    pub slots: u32,
    /// Tokens per second of a stream that runs alone.
    pub decode_rate: f64,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self { entries: 1, engines: 2, slots: 8, decode_rate: 60.0 }
    }
}

/// Running cluster of three control instances, entries, fake engines and one fake plain service.
pub struct TestCluster {
    /// Processes of the control instances and entries.
    pub deployment: Deployment,
    /// Fake engines.
    pub engines: Vec<FakeEngine>,
    /// Fake plain service.
    pub service: FakeService,
    /// Journals of engines that were restarted, up to the restart.
    replaced: Vec<TargetJournal>,
    plan: ClusterPlan,
}

impl TestCluster {
    /// Starts the cluster and waits until all entries are ready and all targets are announced.
    ///
    /// # Errors
    /// Fails if a part does not start in time.
    pub fn open(plan: ClusterPlan) -> Result<Self, ClusterError> {
        let mut deployment = Deployment::open(3)?;
        for index in 0..3 {
            deployment.start_control(index)?;
        }
        for index in 0..plan.entries {
            deployment.start_entry(index)?;
        }
        apply_document(&deployment)?;
        let engines = (0..plan.engines)
            .map(|number| spawn_engine(&deployment, plan, number))
            .collect::<Result<_, _>>()?;
        let mut settings = ServiceSettings::named("depot-1", SERVICE_POOL);
        settings.target.control_urls = deployment.control_urls();
        let service = FakeService::spawn(settings)?;
        for index in 0..plan.entries {
            deployment.wait_ready(index)?;
        }
        let cluster = Self { deployment, engines, service, replaced: Vec::new(), plan };
        cluster.wait_targets()?;
        Ok(cluster)
    }

    /// Starts an additional engine.
    ///
    /// # Errors
    /// Fails if it cannot be started.
    pub fn add_engine(&mut self) -> Result<(), ClusterError> {
        let engine = spawn_engine(&self.deployment, self.plan, self.engines.len())?;
        self.engines.push(engine);
        Ok(())
    }

    /// Stops an engine, if it still runs, and starts it again with a new incarnation.
    ///
    /// # Errors
    /// Fails if it cannot be started.
    pub fn restart_engine(&mut self, number: usize) -> Result<(), ClusterError> {
        self.engines[number].stop();
        let engine = spawn_engine(&self.deployment, self.plan, number)?;
        self.replaced.push(self.engines[number].journal());
        self.engines[number] = engine;
        Ok(())
    }

    /// Waits until all targets are announced at the leader.
    ///
    /// # Errors
    /// Fails if they are not in time.
    pub fn wait_targets(&self) -> Result<(), ClusterError> {
        let expected = self.engines.len() + 1;
        wait_until("all targets to be announced", ANNOUNCE_TIMEOUT_MS, || {
            let Some(leader) = self.deployment.leader() else { return false };
            let dump = self.deployment.control_dump(leader).unwrap_or_default();
            dump["status"]["targets"].as_array().is_some_and(|targets| targets.len() == expected)
        })?;
        Ok(())
    }

    /// Builds a completion request to an entry.
    pub fn completion(&self, entry: usize, id: &str, max_tokens: u32) -> CompletionCall {
        CompletionCall {
            entry_url: self.deployment.entry_url(entry),
            credential: CREDENTIAL.into(),
            request_id: id.into(),
            model: MODEL.into(),
            prompt: format!("A hinge for the clinic door, request {id}"),
            max_tokens,
            deadline_ms: 20_000,
            headers: Vec::new(),
        }
    }

    /// Returns the number of dispatches that all engines have received.
    pub fn dispatch_count(&self) -> u64 {
        let replaced = self.replaced.iter().map(TargetJournal::dispatch_count);
        let engines = self.engines.iter().map(|engine| engine.journal().dispatch_count());
        replaced.chain(engines).sum()
    }

    /// Returns the journals of all targets.
    fn journals(&self) -> Vec<TargetJournal> {
        let engines = self.engines.iter().map(FakeEngine::journal);
        self.replaced.iter().cloned().chain(engines).chain([self.service.journal()]).collect()
    }

    /// Returns the dispatches in the journals of all targets, by request key.
    pub fn dispatches(&self) -> HashMap<String, Vec<DispatchRecord>> {
        let mut dispatches: HashMap<String, Vec<DispatchRecord>> = HashMap::new();
        for record in self.journals().into_iter().flat_map(|journal| journal.dispatches) {
            dispatches.entry(record.request_id.clone()).or_default().push(record);
        }
        dispatches
    }

    /// Returns the largest number of dispatches of one request.
    pub fn max_dispatches(&self) -> usize {
        self.dispatches().values().map(Vec::len).max().unwrap_or(0)
    }

    /// Compares answers with the journals. Returns a description of each answer that is malformed
    /// or contradicts the journals, and of each request that was dispatched more than once.
    pub fn inconsistencies(&self, calls: &[TimedCall]) -> Vec<String> {
        let dispatches = self.dispatches();
        let repeated = dispatches.iter().filter(|(_, records)| records.len() > 1);
        let mut found: Vec<String> = repeated
            .map(|(key, records)| format!("{key} was dispatched {} times", records.len()))
            .collect();
        for sent in calls {
            let records = dispatches.get(&request_key(&sent.call)).map_or(&[][..], Vec::as_slice);
            let faults = answer_error(sent).into_iter().chain(outcome_error(sent, records, calls));
            found.extend(faults.map(|fault| {
                let (id, error) = (&sent.call.request_id, &sent.answer.error);
                format!("{id}: {fault} ({} tokens, {error})", sent.answer.tokens.len())
            }));
        }
        found
    }
}

/// Returns the request key that the targets receive for a call.
pub fn request_key(call: &CompletionCall) -> String {
    let workspace = call.credential.trim_start_matches("test-");
    RequestKey::derive(workspace, &call.request_id).to_string()
}

/// Checks the tokens and the end of an answer. Returns what is wrong with them, if anything.
fn answer_error(sent: &TimedCall) -> Option<&'static str> {
    let (call, answer) = (&sent.call, &sent.answer);
    let all_expected = (0..).zip(&answer.tokens).all(|(index, event)| {
        event["text"] == token_text(&call.prompt, index) && event["id"] == call.request_id.as_str()
    });
    if !all_expected {
        return Some("a token belongs to another request");
    }
    let complete = answer.tokens.len() == call.max_tokens as usize && answer.well_formed;
    if answer.done && !complete {
        return Some("the final event ends an incomplete answer");
    }
    let truncated = answer.status == 200 && !answer.done;
    (truncated && answer.well_formed).then_some("a truncated answer ends well-formed")
}

/// Checks the outcome of an answer against the journals. Returns the contradiction, if any.
fn outcome_error(
    sent: &TimedCall,
    records: &[DispatchRecord],
    calls: &[TimedCall],
) -> Option<&'static str> {
    match sent.answer.outcome() {
        "completed" if records.is_empty() => Some("completed without a dispatch"),
        "not_run" => {
            let resent = calls.iter().any(|other| {
                other.sent_ms >= sent.ended_ms
                    && request_key(&other.call) == request_key(&sent.call)
            });
            let ran = records.iter().any(|record| !resent || record.at_ms < sent.ended_ms);
            ran.then_some("reported as not run but dispatched")
        }
        _ => None,
    }
}

/// Applies the document of the test cluster, and retries while no leader accepts it. On a busy
/// machine, a leader can lose its lease before it has answered. A retry with the same operation id
/// gets the first result.
fn apply_document(deployment: &Deployment) -> Result<(), ClusterError> {
    let mut status = 0;
    wait_until("the document to be accepted", DOCUMENT_TIMEOUT_MS, || {
        let Some(leader) = deployment.leader() else { return false };
        let Ok(answer) = deployment.apply(leader, 0, "stage", DOCUMENT) else { return false };
        status = answer.status;
        ![421, 503].contains(&status)
    })?;
    if status == 200 { Ok(()) } else { Err(ClusterError::Refused { status }) }
}

fn spawn_engine(
    deployment: &Deployment,
    plan: ClusterPlan,
    number: usize,
) -> Result<FakeEngine, TestbedError> {
    let mut settings = EngineSettings::named(&format!("engine-{number}"), MODEL_POOL);
    settings.target.models = vec![MODEL.into(), BATCH_MODEL.into()];
    settings.target.control_urls = deployment.control_urls();
    settings.target.slots = plan.slots;
    settings.decode_rate = plan.decode_rate;
    FakeEngine::spawn(settings)
}
