//! Node's side of the configuration register: the local replica, proposer rounds, the applied value
//! and the replacement of failed replicas.

mod proposer;
mod repair;
mod serve;
mod store;

pub(crate) use proposer::RoundError;
pub(crate) use store::StoreHandle;

use crate::config::RouteConfig;
use crate::datagram::ValueId;
use crate::register::{AcceptedValue, BallotNumber, RegisterValue, ReplicaKey};
use burdockcleat_core::clock::ClockTime;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::{Mutex, Notify};

/// Ballot counter of the initial value. All rounds use higher counters.
const INITIAL_COUNTER: u64 = 1;

/// Chosen value that this node has applied.
#[derive(Clone)]
pub(crate) struct AppliedValue {
    pub(crate) ballot: BallotNumber,
    pub(crate) value: RegisterValue,
    /// Decoded document. `None` before the first document.
    pub(crate) config: Option<Rc<RouteConfig>>,
}

/// Node's state of the configuration register.
pub(crate) struct RegisterService {
    process: u64,
    address: SocketAddrV4,
    store: Option<StoreHandle>,
    applied: RefCell<Option<AppliedValue>>,
    /// Wakes requests that wait for the first document.
    pub(crate) config_known: Notify,
    highest_counter: Cell<u64>,
    /// Time since which the local replica holds a value that is not known to be chosen.
    undecided_since: Cell<Option<ClockTime>>,
    fetching: Cell<bool>,
    /// Serializes this node's changes, so that its rounds do not preempt each other.
    change_lock: Mutex<()>,
    confirming: Cell<bool>,
    repairing: Cell<bool>,
}

impl RegisterService {
    pub(crate) fn new(process: u64, address: SocketAddrV4, store: Option<StoreHandle>) -> Self {
        Self {
            process,
            address,
            store,
            applied: RefCell::default(),
            config_known: Notify::new(),
            highest_counter: Cell::new(INITIAL_COUNTER),
            undecided_since: Cell::default(),
            fetching: Cell::default(),
            change_lock: Mutex::new(()),
            confirming: Cell::default(),
            repairing: Cell::default(),
        }
    }

    /// Returns the active document.
    pub(crate) fn config(&self) -> Option<Rc<RouteConfig>> {
        self.applied.borrow().as_ref().and_then(|applied| applied.config.clone())
    }

    /// Returns the identifier of the local disk.
    pub(crate) fn disk(&self) -> Option<u64> {
        self.store.as_ref().map(StoreHandle::disk)
    }

    /// Returns the store on the local disk, if the node has one.
    pub(crate) const fn store(&self) -> Option<&StoreHandle> {
        self.store.as_ref()
    }

    /// Returns the key of the local replica.
    pub(crate) fn local_key(&self) -> Option<ReplicaKey> {
        self.disk().map(|disk| ReplicaKey { address: self.address, disk })
    }

    pub(crate) fn applied(&self) -> Option<AppliedValue> {
        self.applied.borrow().clone()
    }

    pub(crate) fn applied_id(&self) -> Option<ValueId> {
        let applied = self.applied.borrow();
        applied.as_ref().map(|a| ValueId { ballot: a.ballot, version: a.value.version })
    }

    /// Returns the newest value that the local replica has accepted.
    pub(crate) fn accepted(&self) -> Option<AcceptedValue> {
        self.store.as_ref().and_then(StoreHandle::accepted)
    }

    pub(crate) fn accepted_id(&self) -> Option<ValueId> {
        self.store.as_ref().and_then(StoreHandle::accepted_id)
    }

    /// Returns the value of a ballot if this node has accepted or applied it.
    fn find_value(&self, ballot: BallotNumber) -> Option<AcceptedValue> {
        let applied = self
            .applied()
            .map(|applied| AcceptedValue { ballot: applied.ballot, value: applied.value });
        self.accepted().into_iter().chain(applied).find(|held| held.ballot == ballot)
    }

    fn next_ballot(&self) -> BallotNumber {
        let counter = self.highest_counter.get() + 1;
        self.highest_counter.set(counter);
        BallotNumber { counter, proposer: self.process }
    }

    fn observe_counter(&self, counter: u64) {
        self.highest_counter.set(self.highest_counter.get().max(counter));
    }
}
