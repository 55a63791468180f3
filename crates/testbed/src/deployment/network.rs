//! Reserves a loopback network for each deployment.

use super::DeploymentError;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};

/// Lowest second octet of the networks.
const FIRST_SECOND_OCTET: u8 = 16;
/// Number of second octets in use, from `FIRST_SECOND_OCTET` on.
const SECOND_OCTET_COUNT: u8 = 200;
/// Host number of the listener that marks a network as reserved.
const RESERVATION_HOST: u8 = 254;
/// Port of the listener that marks a network as reserved.
const RESERVATION_PORT: u16 = 9_999;
/// Maximum number of networks tried before opening a deployment fails.
const MAX_ATTEMPTS: usize = 1_000;

/// Third octet of the next network.
static NEXT_THIRD_OCTET: AtomicU8 = AtomicU8::new(1);
/// Listeners that mark networks as reserved.
static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Network of a deployment: the first three octets of its addresses, reserved on this machine.
///
/// Test programs run at the same time, and networks derived from process ids alone can clash.
/// Therefore a listener marks the network as reserved. It stays open until the program ends,
/// because the threads of relays listen on addresses of the network until then.
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

    /// Returns an address in the network.
    pub(super) fn address(&self, host: u8, port: u16) -> SocketAddr {
        socket_address(self.octets, host, port)
    }
}

fn socket_address([first, second, third]: [u8; 3], host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([first, second, third, host], port))
}
