//! Faults of a document.

use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// One fault of a document: where it is and what is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
pub struct DocumentFault {
    /// Path of the field, such as `pools[1].targets-max`; empty for faults of the whole text.
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

/// What is wrong with a field, with the allowed values.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The text is not TOML.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What the parser expected.
        message: String,
    },
    /// The value has another type than the field, or the field does not exist.
    #[error("{message}")]
    Shape {
        /// What was found and what is expected.
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
        /// Elements in the document.
        length: usize,
        /// What is counted.
        unit: String,
        /// Smallest allowed number.
        min: usize,
        /// Largest allowed number.
        max: usize,
    },
    /// A text has characters that are not allowed.
    #[error("{value:?} has characters other than {allowed}")]
    Characters {
        /// Value in the document.
        value: String,
        /// Allowed characters.
        allowed: String,
    },
    /// A value that must be unique occurs before.
    #[error("is the same as {first}; values must be unique")]
    Duplicate {
        /// Path of the first occurrence.
        first: String,
    },
    /// A reference to an item that the document does not have.
    #[error("there is no {item} named {name:?}")]
    UnknownReference {
        /// Kind of the item.
        item: String,
        /// Name in the document.
        name: String,
    },
    /// A rule for one workspace chooses a pool or tier that the workspace may not use.
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
        /// Smallest rank that no tier has.
        missing: u32,
    },
    /// A field that the kind of the pool does not allow.
    #[error("must be empty for a pool of kind `service`")]
    NotForService,
    /// A path prefix that no request path can start with.
    #[error("{value:?} must start with `/` and have neither `?`, `#`, `//` nor `..`")]
    PathPrefix {
        /// Value in the document.
        value: String,
    },
}
