//! Faults of a document: syntax and validation errors.

use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// Syntax or validation error of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
pub struct DocumentFault {
    /// Path of the field, such as `pools[1].targets-max`; empty for a syntax error.
    pub path: String,
    /// What is wrong.
    pub kind: FaultKind,
}

impl DocumentFault {
    pub(super) fn new(path: impl Into<String>, kind: FaultKind) -> Self {
        Self { path: path.into(), kind }
    }
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        self.kind.fmt(formatter)
    }
}

/// Kind of a fault, with the allowed values.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The text is not TOML.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// Line number, starting at 1.
        line: usize,
        /// Column number, starting at 1.
        column: usize,
        /// Message of the TOML parser.
        message: String,
    },
    /// The value has the wrong type, or the field does not exist.
    #[error("{message}")]
    Shape {
        /// Description of the value found and the value expected.
        message: String,
    },
    /// A required field is missing or empty.
    #[error("is required")]
    Missing,
    /// A number is outside its range.
    #[error("{value} is outside the range {min} to {max}")]
    OutOfRange {
        /// Value in the document.
        value: i64,
        /// Smallest allowed value.
        min: i64,
        /// Largest allowed value.
        max: i64,
    },
    /// A list or text has too many or too few elements.
    #[error("has {length} {unit}; allowed are {min} to {max}")]
    Length {
        /// Number of elements in the document.
        length: usize,
        /// Unit of the count, such as `bytes`.
        unit: String,
        /// Smallest allowed number.
        min: usize,
        /// Largest allowed number.
        max: usize,
    },
    /// A text contains characters that are not allowed.
    #[error("{value:?} has characters other than {allowed}")]
    Characters {
        /// Value in the document.
        value: String,
        /// Description of the allowed characters.
        allowed: String,
    },
    /// A value that must be unique occurs more than once.
    #[error("is the same as {first}; values must be unique")]
    Duplicate {
        /// Path of the first occurrence.
        first: String,
    },
    /// A reference names an item that does not exist in the document.
    #[error("there is no {item} named {name:?}")]
    UnknownReference {
        /// Kind of the item.
        item: String,
        /// Name in the document.
        name: String,
    },
    /// A rule for a workspace selects a pool or tier that the workspace may not use.
    #[error("workspace {workspace:?} does not allow {item} {name:?}")]
    NotAllowed {
        /// Kind of the item.
        item: String,
        /// Name of the item.
        name: String,
        /// Workspace of the rule.
        workspace: String,
    },
    /// The ranks of the tiers have a gap.
    #[error("no tier has rank {missing}; ranks must run from 0 without gaps")]
    RankGap {
        /// Lowest rank that no tier has.
        missing: u32,
    },
    /// A field is set that is not allowed in a pool of kind `service`.
    #[error("must be empty for a pool of kind `service`")]
    NotForService,
    /// A path prefix is invalid: no normalised request path can start with it.
    #[error("{value:?} must start with `/` and have neither `?`, `#`, `//` nor `..`")]
    PathPrefix {
        /// Value in the document.
        value: String,
    },
}
