//! Links between processes of the deployment, which carry batches of frames over capnp-rpc.
//!
//! All links of a process run on one thread with a local executor. Other threads send commands to
//! it through a [`LinkHandle`] and receive [`LinkEvent`]s on a channel.

mod counter;
mod deflate;
mod session;
mod socket;

pub use counter::LinkTotals;

use crate::link_capnp::hello::Role;
pub use burdockcleat_core::keys::LinkKey;
use burdockcleat_core::keys::NodeId;
use counter::LinkCounter;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread;
use thiserror::Error;

/// Maximum number of frames queued on one link. A peer that falls further behind is disconnected.
pub const MAX_QUEUED_FRAMES: usize = 20_000;
/// Timeout for a peer to acknowledge a batch or to reply to `open`, in milliseconds.
pub const DELIVER_TIMEOUT_MS: u64 = 2_000;
/// Timeout for connecting to a peer, and for closing a connection, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Pause between attempts to connect to the same peer and after a failed accept, in milliseconds.
pub const REDIAL_INTERVAL_MS: u64 = 200;

/// Role of a process in the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerRole {
    /// Serves callers.
    Entry,
    /// Holds the replicated log.
    Control,
}

/// How this process identifies itself to its peers.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// Role of this process.
    pub role: PeerRole,
    /// Identity of this process.
    pub node: NodeId,
    /// Shared secret of the deployment.
    pub secret: Arc<str>,
    /// Local address of outgoing connections. On a machine with several addresses, firewalls and
    /// peers can identify the process by it.
    pub source: IpAddr,
}

/// Event on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A link is open in both directions.
    Up {
        /// Key of the link.
        link: LinkKey,
        /// Role of the peer.
        role: PeerRole,
        /// Identity of the peer.
        node: NodeId,
        /// Address that this process dialled, or `None` if the peer dialled.
        dialled: Option<SocketAddr>,
    },
    /// A frame arrived.
    Frame {
        /// Key of the link.
        link: LinkKey,
        /// Encoded message.
        frame: Vec<u8>,
    },
    /// The link is closed. Queued frames may be lost.
    Down {
        /// Key of the link.
        link: LinkKey,
    },
}

/// Why the link thread could not start.
#[derive(Debug)]
#[derive(Error)]
pub enum LinkError {
    /// The listening address could not be bound.
    #[error("listening for links on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The thread could not be created.
    #[error("starting the link thread")]
    Thread(#[source] std::io::Error),
}

/// Command to the link thread.
enum LinkCommand {
    Send { link: LinkKey, frame: Vec<u8> },
    Close { link: LinkKey },
    Dial { address: SocketAddr },
}

/// Handle to the links of this process. Clones share the link thread.
#[derive(Clone)]
pub struct LinkHandle {
    commands: async_channel::Sender<LinkCommand>,
    local_addr: Option<SocketAddr>,
    counter: LinkCounter,
}

impl LinkHandle {
    /// Starts the link thread, which listens on `listen` and maintains a link to each of `dial`.
    ///
    /// Events are converted by `wrap` and sent to `events`, so that a daemon can use one channel
    /// for all its inputs.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the thread cannot be created.
    pub fn spawn<E: Send + 'static>(
        identity: LinkIdentity,
        listen: Option<SocketAddr>,
        dial: &[SocketAddr],
        events: Sender<E>,
        wrap: fn(LinkEvent) -> E,
    ) -> Result<Self, LinkError> {
        let listener = match listen {
            Some(address) => Some(
                std::net::TcpListener::bind(address)
                    .map_err(|source| LinkError::Listen { address, source })?,
            ),
            None => None,
        };
        let local_addr = listener.as_ref().and_then(|listener| listener.local_addr().ok());
        let (commands, inbox) = async_channel::unbounded();
        for address in dial {
            let _ = commands.try_send(LinkCommand::Dial { address: *address });
        }
        let emit = move |event| events.send(wrap(event)).is_ok();
        let counter = LinkCounter::default();
        let counted = counter.clone();
        thread::Builder::new()
            .name("link".into())
            .spawn(move || session::run(identity, listener, &inbox, counted, emit))
            .map_err(LinkError::Thread)?;
        Ok(Self { commands, local_addr, counter })
    }

    /// Returns the address that this process listens on, if it does.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.local_addr
    }

    /// Returns the bytes transferred on all links since the start.
    pub fn totals(&self) -> LinkTotals {
        self.counter.totals()
    }

    /// Queues a frame on a link. The frame is dropped if the link is closed.
    pub fn send(&self, link: LinkKey, frame: Vec<u8>) {
        let _ = self.commands.try_send(LinkCommand::Send { link, frame });
    }

    /// Closes a link. If this process dialled the link, it dials again.
    pub fn close(&self, link: LinkKey) {
        let _ = self.commands.try_send(LinkCommand::Close { link });
    }

    /// Opens and maintains a link to another peer.
    pub fn dial(&self, address: SocketAddr) {
        let _ = self.commands.try_send(LinkCommand::Dial { address });
    }
}

impl From<PeerRole> for Role {
    fn from(role: PeerRole) -> Self {
        match role {
            PeerRole::Entry => Self::Entry,
            PeerRole::Control => Self::Control,
        }
    }
}

impl From<Role> for PeerRole {
    fn from(role: Role) -> Self {
        match role {
            Role::Entry => Self::Entry,
            Role::Control => Self::Control,
        }
    }
}
