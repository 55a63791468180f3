//! Events of the control thread.

use crate::link::LinkEvent;
use crate::operator::{ApplyRequest, DrainRequest, FaultText, OrderRequest};
use crate::storage::{StagedSnapshot, StorageError};
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::TargetIdentity;
use burdockcleat_core::registry::TargetAnnouncement;
use burdockcleat_core::replica::SnapshotImage;
use serde::Serialize;
use std::sync::mpsc::Sender;

/// An input of the control thread.
pub enum ControlEvent {
    /// Something happened on a link.
    Link(LinkEvent),
    /// An operator or a target called.
    Call {
        /// What is asked.
        call: ApiCall,
        /// Where the answer goes.
        reply: Sender<CallReply>,
    },
    /// A snapshot of the state is written and synced, or could not be.
    SnapshotStaged(Result<(SnapshotImage, StagedSnapshot), StorageError>),
    /// An order to an engine has been answered.
    OrderAnswered(super::orders::OrderAnswer),
    /// The process must stop after handing over its leadership.
    Stop(Sender<()>),
}

/// A call over HTTP, decoded and authenticated.
#[derive(Clone, Debug)]
pub enum ApiCall {
    /// Reads the configuration in force.
    ReadConfig,
    /// Reads a kept version of the configuration.
    ReadVersion(u64),
    /// Applies a document.
    Apply {
        /// What the operator sent.
        request: ApplyRequest,
        /// The document, or every fault of it.
        document: Result<Box<ConfigDocument>, Vec<FaultText>>,
    },
    /// Lists the kept versions.
    History,
    /// Reads the state of the deployment.
    Status,
    /// Dumps the state of this instance.
    Dump,
    /// Collects the metrics of this instance.
    Metrics,
    /// Asks whether this instance takes part in the group.
    Ready,
    /// Drains an entry or a target.
    Drain(DrainRequest),
    /// Orders an engine to load a model.
    Order(OrderRequest),
    /// A target announces itself.
    Announce(Box<TargetAnnouncement>),
    /// A target leaves.
    Leave(TargetIdentity),
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// Body in JSON.
    pub body: String,
}

impl CallReply {
    /// Builds an answer from a body.
    pub fn json<T: Serialize>(status: u16, body: &T) -> Self {
        // The bodies are plain structs with string keys, which always encode.
        Self { status, body: serde_json::to_string(body).unwrap_or_default() }
    }
}
