//! Link thread: accepts and dials peers, sends frames in batches, and closes stalled links.

use super::counter::{CountedHalf, LinkCounter};
use super::deflate::{DeflateHalf, InflateHalf};
use super::socket::{connect, with_timeout};
use super::{
    CONNECT_TIMEOUT_MS, DELIVER_TIMEOUT_MS, LinkCommand, LinkEvent, LinkIdentity, LinkKey,
    MAX_QUEUED_FRAMES, PeerRole, REDIAL_INTERVAL_MS,
};
use crate::link_capnp::{hello, link, sink};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::PROTOCOL_VERSION;
use capnp::Error;
use capnp::capability::Rc;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{Disconnector, RpcSystem, new_client, twoparty};
use futures::AsyncReadExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::time::Duration;

/// Size in bytes at which a batch takes no further frame. It is far below the peer's limit on the
/// size of a message.
const MAX_BATCH_BYTES: usize = 4 << 20;
/// Maximum size of a received message, in 8-byte words. Guards against a peer that announces an
/// excessive size.
const READ_LIMIT_WORDS: usize = 8 << 20;

type FrameSender = async_channel::Sender<Vec<u8>>;
type FrameReceiver = async_channel::Receiver<Vec<u8>>;

/// State that the tasks of the link thread share.
struct LinkTable {
    identity: LinkIdentity,
    executor: Rc<LocalExecutor<'static>>,
    emit: Box<dyn Fn(LinkEvent) -> bool>,
    counter: LinkCounter,
    /// Outgoing queues of the open and pending links.
    queues: RefCell<HashMap<LinkKey, FrameSender>>,
    next_key: Cell<u64>,
}

/// Identity that a peer sent when the link was opened.
#[derive(Clone, Copy)]
struct PeerIdentity {
    role: PeerRole,
    node: NodeId,
}

/// Runs all links until every [`super::LinkHandle`] is dropped.
pub(super) fn run(
    identity: LinkIdentity,
    listener: Option<TcpListener>,
    inbox: &async_channel::Receiver<LinkCommand>,
    counter: LinkCounter,
    emit: impl Fn(LinkEvent) -> bool + 'static,
) {
    let executor = Rc::new(LocalExecutor::new());
    let table = Rc::new(LinkTable {
        identity,
        executor: executor.clone(),
        emit: Box::new(emit),
        counter,
        queues: RefCell::new(HashMap::new()),
        next_key: Cell::new(1),
    });
    if let Some(listener) = listener {
        executor.spawn(accept_peers(table.clone(), listener)).detach();
    }
    async_io::block_on(executor.run(execute_commands(&table, inbox)));
}

async fn execute_commands(table: &Rc<LinkTable>, inbox: &async_channel::Receiver<LinkCommand>) {
    while let Ok(command) = inbox.recv().await {
        match command {
            LinkCommand::Send { link, frame } => table.enqueue(link, frame),
            LinkCommand::Close { link } => table.close(link),
            LinkCommand::Dial { address } => {
                table.executor.spawn(maintain_link(table.clone(), address)).detach();
            }
        }
    }
}

impl LinkTable {
    fn enqueue(&self, link: LinkKey, frame: Vec<u8>) {
        let refused = match self.queues.borrow().get(&link) {
            Some(queue) => queue.len() >= MAX_QUEUED_FRAMES || queue.try_send(frame).is_err(),
            None => false,
        };
        if refused {
            log::warn!(event = "link_queue_full", link = link.0; "closing a link whose peer is too slow");
            self.close(link);
        }
    }

    fn close(&self, link: LinkKey) {
        if let Some(queue) = self.queues.borrow_mut().remove(&link) {
            queue.close();
        }
    }

    fn next_key(&self) -> LinkKey {
        let key = LinkKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        key
    }

    fn write_hello(&self, mut hello: hello::Builder<'_>) {
        hello.set_version(PROTOCOL_VERSION);
        hello.set_role(self.identity.role.into());
        hello.set_node(self.identity.node.0);
        hello.set_secret(self.identity.secret.as_bytes());
    }

    /// Checks the protocol version and the secret of a peer.
    fn check_hello(&self, hello: hello::Reader<'_>) -> Result<PeerIdentity, Error> {
        if hello.get_version() != PROTOCOL_VERSION {
            return Err(Error::failed(format!(
                "peer speaks protocol version {}, expected {PROTOCOL_VERSION}",
                hello.get_version()
            )));
        }
        if !secrets_match(hello.get_secret()?, self.identity.secret.as_bytes()) {
            return Err(Error::failed("peer presented a wrong deployment secret".into()));
        }
        Ok(PeerIdentity { role: hello.get_role()?.into(), node: NodeId(hello.get_node()) })
    }

    /// Serves an open link until it fails, is closed, or the peer stalls.
    async fn serve(
        &self,
        key: LinkKey,
        peer: PeerIdentity,
        dialled: Option<SocketAddr>,
        sink: sink::Client,
        frames: FrameReceiver,
    ) {
        let (role, node) = (peer.role, peer.node);
        (self.emit)(LinkEvent::Up { link: key, role, node, dialled });
        if let Err(error) = send_batches(&sink, &frames).await {
            log::info!(event = "link_failed", link = key.0, node:% = node; "{error}");
        }
        self.close(key);
        (self.emit)(LinkEvent::Down { link: key });
    }
}

/// Compares two secrets in constant time, so that timing does not reveal a matching prefix.
fn secrets_match(left: &[u8], right: &[u8]) -> bool {
    let difference = left.iter().zip(right).fold(0_u8, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && difference == 0
}

/// Sends queued frames in batches. Only one batch is in flight, so a slow peer gets larger batches.
async fn send_batches(sink: &sink::Client, frames: &FrameReceiver) -> Result<(), Error> {
    while let Ok(first) = frames.recv().await {
        let mut size = first.len();
        let mut batch = vec![first];
        while size < MAX_BATCH_BYTES {
            let Ok(frame) = frames.try_recv() else { break };
            size += frame.len();
            batch.push(frame);
        }
        let mut request = sink.deliver_request();
        let mut list = request.get().init_frames(u32::try_from(batch.len()).unwrap_or(u32::MAX));
        for (position, frame) in (0..).zip(&batch) {
            list.set(position, frame);
        }
        with_timeout(DELIVER_TIMEOUT_MS, request.send().promise).await??;
    }
    Ok(())
}

/// RPC server that receives the frames of one link.
struct FrameSink {
    table: Rc<LinkTable>,
    key: LinkKey,
    /// Closed once `Up` was emitted for this link, so that no frame precedes that event.
    ready: async_channel::Receiver<()>,
}

impl sink::Server for FrameSink {
    async fn deliver(
        self: Rc<Self>,
        params: sink::DeliverParams,
        _results: sink::DeliverResults,
    ) -> Result<(), Error> {
        // Nothing is sent on this channel. It is closed when the link is up.
        let _ = self.ready.recv().await;
        for frame in params.get()?.get_frames()? {
            let event = LinkEvent::Frame { link: self.key, frame: frame?.to_vec() };
            if !(self.table.emit)(event) {
                return Err(Error::disconnected("the receiver has stopped".into()));
            }
        }
        Ok(())
    }
}

/// Local end of a link that is being opened.
struct PendingLink {
    key: LinkKey,
    frames: FrameReceiver,
    sink: sink::Client,
    ready: async_channel::Sender<()>,
}

impl PendingLink {
    fn prepare(table: &Rc<LinkTable>) -> Self {
        let key = table.next_key();
        // `enqueue` limits the length. A bounded channel would allocate all its slots up front,
        // which is 625 KiB for each link of a leader.
        let (queue, frames) = async_channel::unbounded();
        table.queues.borrow_mut().insert(key, queue);
        let (ready, ready_rx) = async_channel::bounded(1);
        let sink = new_client(FrameSink { table: table.clone(), key, ready: ready_rx });
        Self { key, frames, sink, ready }
    }

    async fn serve(
        self,
        table: &LinkTable,
        peer: PeerIdentity,
        dialled: Option<SocketAddr>,
        sink: sink::Client,
    ) {
        // `serve` emits `Up` before its first await. Closing the channel then lets frames through.
        let serving = table.serve(self.key, peer, dialled, sink, self.frames);
        let ready = self.ready;
        let mut serving = pin!(serving);
        futures::future::poll_fn(|context| {
            let state = serving.as_mut().poll(context);
            ready.close();
            state
        })
        .await;
    }
}

/// Bootstrap capability of an accepted connection.
struct LinkAcceptor {
    table: Rc<LinkTable>,
    /// Link that was opened over this connection, if any.
    opened: Rc<Cell<Option<LinkKey>>>,
    /// Closes the connection once its link is closed.
    disconnector: Rc<Cell<Option<Disconnector<Side>>>>,
}

impl link::Server for LinkAcceptor {
    async fn open(
        self: Rc<Self>,
        params: link::OpenParams,
        mut results: link::OpenResults,
    ) -> Result<(), Error> {
        if self.opened.get().is_some() {
            return Err(Error::failed("the link is open already".into()));
        }
        let params = params.get()?;
        let peer = self.table.check_hello(params.get_hello()?)?;
        let remote = params.get_sink()?;
        let pending = PendingLink::prepare(&self.table);
        self.opened.set(Some(pending.key));
        self.table.write_hello(results.get().init_hello());
        results.get().set_sink(pending.sink.clone());
        let table = self.table.clone();
        let disconnector = self.disconnector.take();
        let task = async move {
            pending.serve(&table, peer, None, remote).await;
            if let Some(disconnector) = disconnector {
                let _ = with_timeout(CONNECT_TIMEOUT_MS, disconnector).await;
            }
        };
        self.table.executor.spawn(task).detach();
        Ok(())
    }
}

async fn accept_peers(table: Rc<LinkTable>, listener: TcpListener) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(event = "link_listen_failed"; "registering the link listener: {error}");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                table.executor.spawn(serve_connection(table.clone(), stream)).detach();
            }
            Err(error) => {
                log::warn!(event = "link_accept_failed"; "accepting a link: {error}");
                Timer::after(Duration::from_millis(REDIAL_INTERVAL_MS)).await;
            }
        }
    }
}

async fn serve_connection(table: Rc<LinkTable>, stream: Async<TcpStream>) {
    let opened = Rc::new(Cell::new(None));
    let disconnector = Rc::new(Cell::new(None));
    let acceptor: link::Client = new_client(LinkAcceptor {
        table: table.clone(),
        opened: opened.clone(),
        disconnector: disconnector.clone(),
    });
    if let Ok(system) = rpc_system(&table, stream, Side::Server, Some(acceptor.client)) {
        disconnector.set(Some(system.get_disconnector()));
        let _ = system.await;
    }
    if let Some(key) = opened.get() {
        table.close(key);
    }
}

fn rpc_system(
    table: &LinkTable,
    stream: Async<TcpStream>,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> std::io::Result<RpcSystem<Side>> {
    stream.get_ref().set_nodelay(true)?;
    let (reader, writer) = stream.split();
    let reader = InflateHalf::new(CountedHalf::new(reader, table.counter.clone()));
    let writer = DeflateHalf::new(CountedHalf::new(writer, table.counter.clone()));
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(READ_LIMIT_WORDS));
    let network = twoparty::VatNetwork::new(reader, writer, side, options);
    Ok(RpcSystem::new(Box::new(network), bootstrap))
}

/// Maintains a link to a peer and reconnects whenever it ends.
async fn maintain_link(table: Rc<LinkTable>, address: SocketAddr) {
    loop {
        if let Err(error) = dial(&table, address).await {
            log::debug!(event = "link_dial_failed", address:% = address; "{error}");
        }
        Timer::after(Duration::from_millis(REDIAL_INTERVAL_MS)).await;
    }
}

async fn dial(table: &Rc<LinkTable>, address: SocketAddr) -> Result<(), Error> {
    let stream =
        with_timeout(CONNECT_TIMEOUT_MS, connect(table.identity.source, address)).await??;
    let mut system = rpc_system(table, stream, Side::Client, None)?;
    let remote: link::Client = system.bootstrap(Side::Server);
    let disconnector = system.get_disconnector();
    let pending = PendingLink::prepare(table);
    let key = pending.key;
    let watched = table.clone();
    let driver = table.executor.spawn(async move {
        let _ = system.await;
        // Otherwise a broken connection would be noticed only when the next frame is sent.
        watched.close(key);
    });
    let result = open_and_serve(table, &remote, pending, address).await;
    table.close(key);
    let _ = with_timeout(CONNECT_TIMEOUT_MS, disconnector).await;
    driver.cancel().await;
    result
}

async fn open_and_serve(
    table: &Rc<LinkTable>,
    remote: &link::Client,
    pending: PendingLink,
    address: SocketAddr,
) -> Result<(), Error> {
    let mut request = remote.open_request();
    table.write_hello(request.get().init_hello());
    request.get().set_sink(pending.sink.clone());
    let reply = with_timeout(DELIVER_TIMEOUT_MS, request.send().promise).await??;
    let reply = reply.get()?;
    let peer = table.check_hello(reply.get_hello()?)?;
    let sink = reply.get_sink()?;
    pending.serve(table, peer, Some(address), sink).await;
    Ok(())
}
