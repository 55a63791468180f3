//! TCP relay that simulates network partitions between pairs of addresses.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Size of the copy buffer of one direction, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

#[derive(Default)]
struct PartitionTable {
    pairs: Mutex<BTreeSet<(IpAddr, IpAddr)>>,
    healed: Condvar,
}

/// Pairs of addresses that are partitioned from each other.
///
/// The relay holds back the bytes between them and keeps the connections open, so that each side
/// only stops receiving. After healing, the bytes arrive late.
#[derive(Clone, Default)]
pub struct PartitionSet {
    shared: Arc<PartitionTable>,
}

impl PartitionSet {
    /// Partitions two addresses in both directions.
    pub fn partition(&self, left: IpAddr, right: IpAddr) {
        self.lock().extend([(left, right), (right, left)]);
    }

    /// Heals all partitions.
    pub fn heal(&self) {
        self.lock().clear();
        self.shared.healed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<(IpAddr, IpAddr)>> {
        self.shared.pairs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait_until_healed(&self, pair: (IpAddr, IpAddr)) {
        let mut partitions = self.lock();
        while partitions.contains(&pair) {
            partitions =
                self.shared.healed.wait(partitions).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Relay of the connections to one process.
pub struct PartitionRelay;

impl PartitionRelay {
    /// Listens on `address` and relays connections to `target`. The address of `target` identifies
    /// it in `partitions`. The relay runs until the program ends.
    ///
    /// # Errors
    /// Fails if the address is not available.
    pub fn spawn(
        address: SocketAddr,
        target: SocketAddr,
        partitions: PartitionSet,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        thread::Builder::new().name("relay".into()).spawn(move || {
            for stream in listener.incoming().flatten() {
                let partitions = partitions.clone();
                thread::spawn(move || relay(&stream, target, &partitions));
            }
        })?;
        Ok(())
    }
}

fn relay(caller: &TcpStream, target: SocketAddr, partitions: &PartitionSet) {
    let Ok(source) = caller.peer_addr() else { return };
    let pair = (source.ip(), target.ip());
    partitions.wait_until_healed(pair);
    let Ok(callee) = TcpStream::connect(target) else {
        let _ = caller.shutdown(Shutdown::Both);
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    thread::scope(|scope| {
        scope.spawn(|| copy(caller, &callee, pair, partitions));
        copy(&callee, caller, pair, partitions);
    });
}

/// Copies one direction until it ends, and then shuts down both connections.
fn copy(
    mut from: &TcpStream,
    mut to: &TcpStream,
    pair: (IpAddr, IpAddr),
    partitions: &PartitionSet,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer) {
        partitions.wait_until_healed(pair);
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
