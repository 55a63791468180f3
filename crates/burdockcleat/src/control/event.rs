//! Events and API calls that the control thread handles.

use crate::link::LinkEvent;
use crate::operator::{ApplyRequest, DrainRequest, FaultText, OrderRequest};
use crate::storage::{StagedSnapshot, StorageError};
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::TargetIdentity;
use burdockcleat_core::registry::TargetAnnouncement;
use burdockcleat_core::replica::SnapshotImage;
use serde::Serialize;
use std::sync::mpsc::Sender;

/// An event for the control thread.
pub enum ControlEvent {
    /// Something happened on a link.
    Link(LinkEvent),
    /// An operator or a target called the HTTP API.
    Call {
        /// The decoded call.
        call: ApiCall,
        /// Channel on which the HTTP thread waits for the reply.
        reply: Sender<CallReply>,
    },
    /// Writing and syncing a snapshot of the state succeeded or failed.
    SnapshotStaged(Result<(SnapshotImage, StagedSnapshot), StorageError>),
    /// An attempt to send an order to an engine has ended.
    OrderAnswered(super::orders::OrderAnswer),
    /// The process must stop once it has transferred its leadership. The channel signals
    /// that the control thread is done.
    Stop(Sender<()>),
}

/// A decoded and authenticated HTTP API call.
#[derive(Clone, Debug)]
pub enum ApiCall {
    /// Reads the current configuration.
    ReadConfig,
    /// Reads a retained version of the configuration.
    ReadVersion(u64),
    /// Applies a document.
    Apply {
        /// The operator's request.
        request: ApplyRequest,
        /// The parsed document, or all of its validation errors.
        document: Result<Box<ConfigDocument>, Vec<FaultText>>,
    },
    /// Lists the retained versions.
    History,
    /// Reads the state of the deployment.
    Status,
    /// Dumps the state of this instance.
    Dump,
    /// Collects the metrics of this instance.
    Metrics,
    /// Reads whether this instance is an active member of the group.
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

/// Reply to an API call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
}

impl CallReply {
    /// Creates a reply whose body is serialized to JSON.
    pub fn json<T: Serialize>(status: u16, body: &T) -> Self {
        // Serializing plain structs with string keys cannot fail.
        Self { status, body: serde_json::to_string(body).unwrap_or_default() }
    }
}
