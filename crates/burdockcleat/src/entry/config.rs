//! The configuration in force at this entry.

use burdockcleat_core::document::{ConfigDocument, DocumentFault};
use std::sync::Arc;
use thiserror::Error;

/// A document that a control instance sent and that does not validate here.
#[derive(Debug, Error)]
#[error("parsing configuration version {version}: {} faults", .faults.len())]
pub struct ConfigError {
    /// Version of the document.
    pub version: u64,
    /// What the validation found.
    pub faults: Vec<DocumentFault>,
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
        let document =
            ConfigDocument::parse(text).map_err(|faults| ConfigError { version, faults })?;
        Ok(Self { version, document: Arc::new(document) })
    }
}
