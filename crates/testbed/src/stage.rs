//! A deployment with fake targets, ready to serve.

use crate::deployment::{Deployment, DeploymentError, wait_until};
use crate::engine::{EngineSettings, FakeEngine};
use crate::error::TestbedError;
use crate::probe::CompletionCall;
use crate::service::{FakeService, ServiceSettings};
use thiserror::Error;

/// Model that the engines of a stage serve.
pub const MODEL: &str = "hinge-spares-13b";
/// Pool of the engines.
pub const MODEL_POOL: &str = "hinge-model";
/// Pool of the services.
pub const SERVICE_POOL: &str = "depot-orders";
/// Document of a stage.
pub const DOCUMENT: &str = include_str!("../../../examples/bureau.toml");
/// Credential of the largest workspace; its completions are in the tier `standard`.
pub const CREDENTIAL: &str = "test-provincial-depots";
/// Credential of a workspace whose completions are in the tier `urgent`.
pub const URGENT_CREDENTIAL: &str = "test-railway-workshops";

/// Time for the targets to be announced.
const TARGETS_LIMIT_MS: u64 = 10_000;

/// A stage that could not be set up.
#[derive(Debug, Error)]
pub enum StageError {
    /// A process could not be started or did not become ready.
    #[error("setting up the processes")]
    Deployment(#[from] DeploymentError),
    /// A fake target could not be started.
    #[error("setting up the fake targets")]
    Target(#[from] TestbedError),
    /// The document was refused.
    #[error("applying the document: status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
}

/// Size of a stage.
#[derive(Clone, Copy, Debug)]
pub struct StagePlan {
    /// Entries.
    pub entries: usize,
    /// Fake engines.
    pub engines: usize,
    /// Slots that each engine announces.
    pub slots: u32,
    /// Tokens per second of one stream.
    pub decode_rate: f64,
}

impl Default for StagePlan {
    fn default() -> Self {
        Self { entries: 1, engines: 2, slots: 8, decode_rate: 60.0 }
    }
}

/// Three control instances, entries, engines and one plain service.
pub struct TestStage {
    /// The processes.
    pub deployment: Deployment,
    /// The engines.
    pub engines: Vec<FakeEngine>,
    /// The plain service.
    pub service: FakeService,
    plan: StagePlan,
}

impl TestStage {
    /// Starts everything and waits until all entries are ready and all targets announced.
    ///
    /// # Errors
    /// Fails if something does not start in time.
    pub fn open(plan: StagePlan) -> Result<Self, StageError> {
        let mut deployment = Deployment::open(3)?;
        for index in 0..3 {
            deployment.start_control(index)?;
        }
        for index in 0..plan.entries {
            deployment.start_entry(index)?;
        }
        let leader = deployment.wait_leader()?;
        let status = deployment.apply(leader, 0, "stage", DOCUMENT)?.status;
        if status != 200 {
            return Err(StageError::Refused { status });
        }
        let engines = (0..plan.engines)
            .map(|number| spawn_engine(&deployment, plan, number))
            .collect::<Result<_, _>>()?;
        let mut settings = ServiceSettings::named("depot-1", SERVICE_POOL);
        settings.target.control_urls = deployment.control_urls();
        let service = FakeService::spawn(settings)?;
        for index in 0..plan.entries {
            deployment.wait_ready(index)?;
        }
        let stage = Self { deployment, engines, service, plan };
        stage.wait_targets()?;
        Ok(stage)
    }

    /// Starts a further engine.
    ///
    /// # Errors
    /// Fails if it cannot be started.
    pub fn add_engine(&mut self) -> Result<(), StageError> {
        let engine = spawn_engine(&self.deployment, self.plan, self.engines.len())?;
        self.engines.push(engine);
        Ok(())
    }

    /// Waits until the leader knows all targets.
    ///
    /// # Errors
    /// Fails if it does not in time.
    pub fn wait_targets(&self) -> Result<(), StageError> {
        let expected = self.engines.len() + 1;
        wait_until("all targets to be announced", TARGETS_LIMIT_MS, || {
            let Some(leader) = self.deployment.leader() else { return false };
            let dump = self.deployment.control_dump(leader).unwrap_or_default();
            dump["status"]["targets"].as_array().is_some_and(|targets| targets.len() == expected)
        })?;
        Ok(())
    }

    /// A completion request through an entry.
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

    /// Dispatches that all engines have received.
    pub fn dispatch_count(&self) -> u64 {
        self.engines.iter().map(|engine| engine.journal().dispatch_count()).sum()
    }

    /// Largest number of dispatches of one request at all targets.
    pub fn most_dispatches(&self) -> usize {
        let mut counts = std::collections::HashMap::new();
        let journals = self.engines.iter().map(FakeEngine::journal);
        for journal in journals.chain([self.service.journal()]) {
            for record in journal.dispatches {
                *counts.entry(record.request_id).or_insert(0) += 1;
            }
        }
        counts.into_values().max().unwrap_or(0)
    }
}

fn spawn_engine(
    deployment: &Deployment,
    plan: StagePlan,
    number: usize,
) -> Result<FakeEngine, TestbedError> {
    let mut settings = EngineSettings::named(&format!("engine-{number}"), MODEL_POOL);
    settings.target.models = vec![MODEL.into()];
    settings.target.control_urls = deployment.control_urls();
    settings.target.slots = plan.slots;
    settings.decode_rate = plan.decode_rate;
    FakeEngine::spawn(settings)
}
