//! Configuration that is active at this entry.

use burdockcleat_core::document::{ConfigDocument, DeltaError, DocumentDelta, DocumentFault};
use std::sync::Arc;
use thiserror::Error;

/// Why a configuration from a control instance cannot be activated.
#[derive(Debug)]
#[derive(Error)]
pub enum ConfigError {
    /// The document is invalid.
    #[error("parsing configuration version {version}: {} faults", .faults.len())]
    Faults {
        /// Version of the document.
        version: u64,
        /// Faults that the validation found.
        faults: Vec<DocumentFault>,
    },
    /// The delta cannot be decoded.
    #[error("reading the delta to configuration version {version}")]
    Encoding {
        /// Version that the delta leads to.
        version: u64,
        /// Error from the JSON decoder.
        #[source]
        source: serde_json::Error,
    },
    /// The delta does not apply to the active document.
    #[error("applying the delta to configuration version {version}")]
    Delta {
        /// Version that the delta leads to.
        version: u64,
        /// Why the delta does not apply.
        #[source]
        source: DeltaError,
    },
}

/// A validated document with its version.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Version number from the replicated log.
    pub version: u64,
    /// The validated document.
    pub document: Arc<ConfigDocument>,
}

impl ActiveConfig {
    /// Parses and validates the text of a document.
    ///
    /// # Errors
    /// Fails if the document has faults. The control instances validate documents too, so this
    /// means that they run another version of the program.
    pub fn parse(version: u64, text: &str) -> Result<Self, ConfigError> {
        let document = ConfigDocument::parse(text)
            .map_err(|faults| ConfigError::Faults { version, faults })?;
        Ok(Self { version, document: Arc::new(document) })
    }

    /// Applies a delta to this configuration.
    ///
    /// # Errors
    /// Fails if the delta is for another document. The leader then sends the complete document.
    pub fn patch(&self, version: u64, delta: &str) -> Result<Self, ConfigError> {
        let delta: DocumentDelta = serde_json::from_str(delta)
            .map_err(|source| ConfigError::Encoding { version, source })?;
        let document =
            delta.apply(&self.document).map_err(|source| ConfigError::Delta { version, source })?;
        Ok(Self { version, document: Arc::new(document) })
    }
}
