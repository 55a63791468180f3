//! Loopback network of one deployment.

use super::DeploymentError;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};

/// Second octets are `FIRST_SECOND_OCTET` and the ones after it.
const FIRST_SECOND_OCTET: u8 = 16;
/// Number of second octets in use.
const SECOND_OCTET_COUNT: u8 = 200;
/// Host number of the listener that marks a network as taken.
const RESERVATION_HOST: u8 = 254;
/// Port of the listener that marks a network as taken.
const RESERVATION_PORT: u16 = 9_999;
/// Networks tried before the deployment gives up.
const MAX_ATTEMPTS: usize = 1_000;

static NEXT_THIRD_OCTET: AtomicU8 = AtomicU8::new(1);
static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// First three octets of the addresses of a deployment, reserved on this machine.
///
/// Tests of different programs run at the same time and process ids alone can clash, so a
/// listener marks the network as taken. It lives as long as the program: the threads of relays
/// listen on addresses of the network until then.
#[derive(Debug)]
pub(super) struct LoopbackNetwork {
    octets: [u8; 3],
}

impl LoopbackNetwork {
    /// Reserves a network that no other deployment uses.
    pub(super) fn open() -> Result<Self, DeploymentError> {
        let start = u8::try_from(std::process::id() % u32::from(SECOND_OCTET_COUNT)).unwrap_or(0);
        let mut last = None;
        for second in (0..SECOND_OCTET_COUNT).cycle().skip(usize::from(start)).take(MAX_ATTEMPTS) {
            let third = NEXT_THIRD_OCTET.fetch_add(1, Ordering::Relaxed);
            let octets = [127, FIRST_SECOND_OCTET + second, third];
            match TcpListener::bind(socket_address(octets, RESERVATION_HOST, RESERVATION_PORT)) {
                Ok(listener) => {
                    RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner).push(listener);
                    return Ok(Self { octets });
                }
                Err(error) => last = Some(error),
            }
        }
        Err(DeploymentError::Network(last))
    }

    /// An address in the network.
    pub(super) fn address(&self, host: u8, port: u16) -> SocketAddr {
        socket_address(self.octets, host, port)
    }
}

fn socket_address([first, second, third]: [u8; 3], host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([first, second, third, host], port))
}
