//! Outgoing connections and timeouts of the link thread.

use async_io::{Async, Timer};
use capnp::Error;
use futures::future::{Either, select};
use socket2::{Domain, Socket, Type};
use std::future::Future;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::pin::pin;
use std::time::Duration;

/// Linux error number of a non-blocking connect that is still in progress.
const EINPROGRESS: i32 = 115;

/// Connects to `address` from the local address `source`.
pub(super) async fn connect(
    source: IpAddr,
    address: SocketAddr,
) -> std::io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(EINPROGRESS) => return Err(error),
        _ => {}
    }
    let stream = Async::new(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

/// Runs a future with a timeout in milliseconds.
pub(super) async fn with_timeout<F: Future>(limit_ms: u64, future: F) -> Result<F::Output, Error> {
    let timer = Timer::after(Duration::from_millis(limit_ms));
    match select(pin!(future), timer).await {
        Either::Left((output, _)) => Ok(output),
        Either::Right(_) => Err(Error::overloaded(format!("no answer within {limit_ms} ms"))),
    }
}
