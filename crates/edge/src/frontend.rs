//! Accepts and serves the connections of callers.

use crate::client_stream::{ClientStream, DiscardCount, UnreadMark};
use crate::dispatch;
use crate::idle::IdleTimer;
use crate::memory_budget::bound_buffers;
use crate::node::NodeState;
use crate::shutdown::ShutdownStage;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Minimum size of the read buffer, which also limits the request head, in bytes. hyper requires
/// 8 KiB.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Pause after a failure to accept a connection, in ms. File descriptors become free when requests
/// end.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Accepts connections of callers until the process exits.
pub(crate) async fn accept_callers(node: Rc<NodeState>, listener: TcpListener) {
    if node.memory_budget.is_some() {
        bound_buffers(&listener);
    }
    let discarding = DiscardCount::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_caller(node.clone(), stream, discarding.clone()));
            }
            Err(error) => {
                log::warn!(target: "burdockcleat", "event=caller.accept_failed cause=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_caller(node: Rc<NodeState>, stream: TcpStream, discarding: DiscardCount) {
    let _connection = node.track_connection();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "burdockcleat", "event=caller.socket_failed cause=\"{error}\"");
        return;
    }
    let limits = node.limits();
    let timer = IdleTimer::new(node.idle_limits.subscribe());
    let unread = UnreadMark::default();
    let stream = ClientStream::new(stream, unread.clone(), discarding);
    let service = service_fn(|request| {
        let (node, unread) = (node.clone(), unread.clone());
        async move { Ok::<_, Infallible>(dispatch::serve(node, request, &unread).await) }
    });
    let connection = Builder::new()
        .timer(timer)
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut stage = node.stage.subscribe();
    let mut closing = *stage.borrow() >= ShutdownStage::Closing;
    if closing {
        connection.as_mut().graceful_shutdown();
    }
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!(target: "burdockcleat", "event=caller.connection_ended cause=\"{error}\"");
                }
                return;
            }
            changed = stage.changed(), if !closing => {
                if changed.is_err() || *stage.borrow() >= ShutdownStage::Closing {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
