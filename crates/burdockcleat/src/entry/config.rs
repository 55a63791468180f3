//! The configuration in force at this entry.

use burdockcleat_core::document::{ConfigDocument, DeltaError, DocumentDelta, DocumentFault};
use std::sync::Arc;
use thiserror::Error;

/// A configuration that a control instance sent and that cannot be put in force.
#[derive(Debug)]
#[derive(Error)]
pub enum ConfigError {
    /// The document does not validate here.
    #[error("parsing configuration version {version}: {} faults", .faults.len())]
    Faults {
        /// Version of the document.
        version: u64,
        /// What the validation found.
        faults: Vec<DocumentFault>,
    },
    /// The delta cannot be read.
    #[error("reading the delta to configuration version {version}")]
    Encoding {
        /// Version that results.
        version: u64,
        /// What the codec reported.
        #[source]
        source: serde_json::Error,
    },
    /// The delta does not fit the document in force.
    #[error("applying the delta to configuration version {version}")]
    Delta {
        /// Version that results.
        version: u64,
        /// Why it does not fit.
        #[source]
        source: DeltaError,
    },
}

/// A validated document with its version.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Version in the replicated log.
    pub version: u64,
    /// The validated document.
    pub document: Arc<ConfigDocument>,
}

impl ActiveConfig {
    /// Validates the text of a document.
    ///
    /// # Errors
    /// Fails if the document has faults, which means that the control instances run another
    /// version of the program.
    pub fn parse(version: u64, text: &str) -> Result<Self, ConfigError> {
        let document = ConfigDocument::parse(text)
            .map_err(|faults| ConfigError::Faults { version, faults })?;
        Ok(Self { version, document: Arc::new(document) })
    }

    /// Applies a delta to this configuration.
    ///
    /// # Errors
    /// Fails if the delta is for another document. The leader sends the whole one then.
    pub fn patch(&self, version: u64, delta: &str) -> Result<Self, ConfigError> {
        let delta: DocumentDelta = serde_json::from_str(delta)
            .map_err(|source| ConfigError::Encoding { version, source })?;
        let document =
            delta.apply(&self.document).map_err(|source| ConfigError::Delta { version, source })?;
        Ok(Self { version, document: Arc::new(document) })
    }
}
