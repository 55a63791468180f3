//! Starts and stops a control instance: opens its data folder, binds its sockets and runs its
//! threads.

use super::console::ConsoleServer;
use super::event::ControlEvent;
use super::http::{AccessTokens, CallChannels, request_classes};
use super::listen::spawn_listener;
use super::node::{ControlNode, NodeError};
use crate::link::{LinkError, LinkHandle, LinkIdentity, PeerRole};
use crate::settings::ControlSettings;
use crate::storage::{LogStorage, StorageError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use thiserror::Error;

/// Time to wait for a leadership transfer before the process stops without it.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Error that prevents a control instance from starting, or that stopped it.
#[derive(Debug)]
#[derive(Error)]
pub enum ControlError {
    /// A listen address cannot be bound.
    #[error("listening on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the server.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The data folder cannot be opened.
    #[error("opening the data folder")]
    Storage(#[from] StorageError),
    /// The web console could not be created, since the operator URL is malformed.
    #[error("creating the web console")]
    Console(#[from] crate::operator::ClientError),
    /// The link thread could not be started.
    #[error("starting the links")]
    Link(#[from] LinkError),
    /// The control thread failed.
    #[error("running the control thread")]
    Node(#[from] NodeError),
    /// A thread could not be created.
    #[error("starting a thread")]
    Thread(#[source] std::io::Error),
    /// The control thread panicked.
    #[error("the control thread panicked")]
    Panicked,
}

/// A running control instance.
pub struct ControlServer {
    events: Sender<ControlEvent>,
    worker: JoinHandle<Result<(), NodeError>>,
}

impl ControlServer {
    /// Opens the data folder, binds all listen addresses and starts serving.
    ///
    /// # Errors
    /// Fails if the data folder cannot be opened, an address cannot be bound, or a thread cannot be
    /// started.
    pub fn bind(settings: ControlSettings) -> Result<Self, ControlError> {
        let (storage, stored) = LogStorage::open(&settings.data_folder)?;
        let address = settings.operator_listen;
        let (events, inbox) = channel();
        let (urgent, urgent_inbox) = channel();
        let identity = LinkIdentity {
            role: PeerRole::Control,
            node: storage.node(),
            secret: settings.secret.as_str().into(),
            source: settings.link_listen.ip(),
        };
        // The instance with the lower address dials, so that each pair has only one link.
        let dial: Vec<_> =
            settings.peers.iter().copied().filter(|peer| settings.link_address < *peer).collect();
        let link = LinkHandle::spawn(
            identity,
            Some(settings.link_listen),
            &dial,
            events.clone(),
            ControlEvent::Link,
        )?;
        let tokens = AccessTokens {
            operator: settings.operator_token.clone(),
            target: settings.target_token.clone(),
        };
        let channels = CallChannels { events: events.clone(), urgent };
        spawn_listener(address, request_classes(tokens, &channels))?;
        if let Some(address) = settings.console_listen {
            let console = ConsoleServer::open(&settings.operator_url, &settings.operator_token)?;
            spawn_listener(address, vec![console.request_class()])?;
            log::info!(event = "console_started", address:%; "serving the web console");
        }
        let answers = events.clone();
        let order_answers = Arc::new(move |answer| {
            // Sending fails if the control thread has stopped. The next leader sends the order
            // again.
            let _ = answers.send(ControlEvent::OrderAnswered(answer));
        });
        log::info!(event = "control_started", operators:% = address, links:% = settings.link_listen; "serving");
        let node =
            ControlNode::open(settings, link, storage, stored, order_answers, events.clone())?;
        let worker = spawn_node(node, inbox, urgent_inbox)?;
        Ok(Self { events, worker })
    }

    /// Returns whether the control thread is still running.
    pub fn is_running(&self) -> bool {
        !self.worker.is_finished()
    }

    /// Transfers leadership to another instance and stops.
    ///
    /// # Errors
    /// Returns the error that stopped the control thread, if there was one.
    pub fn stop(self) -> Result<(), ControlError> {
        let (done, stopped) = channel();
        if self.events.send(ControlEvent::Stop(done)).is_ok() {
            // Stopping after the timeout has the effect of a crash, which is safe.
            let _ = stopped.recv_timeout(STOP_TIMEOUT);
        }
        if !self.worker.is_finished() {
            return Ok(());
        }
        self.worker.join().map_err(|_| ControlError::Panicked)?.map_err(ControlError::Node)
    }
}

fn spawn_node(
    mut node: ControlNode,
    inbox: Receiver<ControlEvent>,
    urgent: Receiver<ControlEvent>,
) -> Result<JoinHandle<Result<(), NodeError>>, ControlError> {
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let result = node.run(&inbox, &urgent);
            if let Err(error) = &result {
                log::error!(event = "control_failed"; "{error}");
            }
            result
        })
        .map_err(ControlError::Thread)
}
