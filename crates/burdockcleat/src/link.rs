//! Links between our processes: batches of frames over capnp-rpc.
//!
//! All links of a process live on one thread with a local executor. The other threads talk to
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

/// Frames that may wait on one link. A peer that falls further behind is disconnected.
pub const MAX_QUEUED_FRAMES: usize = 20_000;
/// Time that a peer may take to accept a batch or to answer `open`.
pub const DELIVER_TIMEOUT_MS: u64 = 2_000;
/// Time to establish a connection to a peer.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Pause between two attempts to connect to the same peer.
pub const REDIAL_MS: u64 = 200;

/// Part that a process plays in the deployment.
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
    /// Address that this process connects from, so that firewalls and peers can tell it by its
    /// own address on a machine that has several.
    pub source: IpAddr,
}

/// What happened on a link.
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
        /// Address that this process dialled, if it did.
        dialled: Option<SocketAddr>,
    },
    /// A frame arrived.
    Frame {
        /// Key of the link.
        link: LinkKey,
        /// Encoded message.
        frame: Vec<u8>,
    },
    /// The link is closed. Frames that were queued may be lost.
    Down {
        /// Key of the link.
        link: LinkKey,
    },
}

/// A link thread that could not be started.
#[derive(Debug)]
#[derive(Error)]
pub enum LinkError {
    /// The listening address is not available.
    #[error("listening for links on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// What the system reported.
        #[source]
        source: std::io::Error,
    },
    /// The thread could not be created.
    #[error("starting the link thread")]
    Thread(#[source] std::io::Error),
}

enum LinkCommand {
    Send { link: LinkKey, frame: Vec<u8> },
    Close { link: LinkKey },
    Dial { address: SocketAddr },
}

/// Sends frames over the links of this process. Clones share the same thread.
#[derive(Clone)]
pub struct LinkHandle {
    commands: async_channel::Sender<LinkCommand>,
    local_addr: Option<SocketAddr>,
    counter: LinkCounter,
}

impl LinkHandle {
    /// Starts the link thread, which listens on `listen` and keeps a link to each of `dial`.
    ///
    /// Events go to `events`, converted by `wrap`, so that a daemon can use one channel for all
    /// its inputs.
    ///
    /// # Errors
    /// Fails if the address is not available or the thread cannot be created.
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

    /// Address that this process listens on.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.local_addr
    }

    /// Bytes of all links since the start.
    pub fn totals(&self) -> LinkTotals {
        self.counter.totals()
    }

    /// Queues a frame. It is dropped if the link is gone.
    pub fn send(&self, link: LinkKey, frame: Vec<u8>) {
        let _ = self.commands.try_send(LinkCommand::Send { link, frame });
    }

    /// Closes a link. A dialled link is opened again.
    pub fn close(&self, link: LinkKey) {
        let _ = self.commands.try_send(LinkCommand::Close { link });
    }

    /// Keeps a link to a further peer.
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
