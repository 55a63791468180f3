//! The configuration register as this node sees it: its own replica, rounds, the value in force and
//! the repair of the set of replicas.

mod proposer;
mod repair;
mod serve;
mod store;

pub(crate) use proposer::RoundError;
pub(crate) use store::StoreHandle;

use crate::config::RouteConfig;
use crate::datagram::ValueMark;
use crate::register::{AcceptedValue, BallotNumber, RegisterValue, ReplicaKey};
use burdockcleat_core::clock::ClockTime;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::{Mutex, Notify};

/// Counter of the ballot that founds a register; all rounds have higher ones.
const FOUNDING_COUNTER: u64 = 1;

/// A value known to be chosen.
#[derive(Clone)]
pub(crate) struct AppliedValue {
    pub(crate) ballot: BallotNumber,
    pub(crate) value: RegisterValue,
    /// The document; none before the first one.
    pub(crate) config: Option<Rc<RouteConfig>>,
}

/// State of the register at one node.
pub(crate) struct RegisterService {
    process: u64,
    address: SocketAddrV4,
    store: Option<StoreHandle>,
    applied: RefCell<Option<AppliedValue>>,
    /// Wakes requests that wait for the first document.
    pub(crate) config_known: Notify,
    highest_counter: Cell<u64>,
    /// Since when the own replica holds a value that is not known to be chosen.
    undecided_since: Cell<Option<ClockTime>>,
    fetching: Cell<bool>,
    /// Held while this node changes the register, so that its own changes do not meet.
    changing: Mutex<()>,
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
            highest_counter: Cell::new(FOUNDING_COUNTER),
            undecided_since: Cell::default(),
            fetching: Cell::default(),
            changing: Mutex::new(()),
            confirming: Cell::default(),
            repairing: Cell::default(),
        }
    }

    /// The document in force.
    pub(crate) fn config(&self) -> Option<Rc<RouteConfig>> {
        self.applied.borrow().as_ref().and_then(|applied| applied.config.clone())
    }

    /// Number of the own disk.
    pub(crate) fn disk(&self) -> Option<u64> {
        self.store.as_ref().map(StoreHandle::disk)
    }

    /// The node's disk, if it has one.
    pub(crate) const fn store(&self) -> Option<&StoreHandle> {
        self.store.as_ref()
    }

    /// The own replica.
    pub(crate) fn own_key(&self) -> Option<ReplicaKey> {
        self.disk().map(|disk| ReplicaKey { address: self.address, disk })
    }

    pub(crate) fn applied(&self) -> Option<AppliedValue> {
        self.applied.borrow().clone()
    }

    pub(crate) fn applied_mark(&self) -> Option<ValueMark> {
        let applied = self.applied.borrow();
        applied.as_ref().map(|a| ValueMark { ballot: a.ballot, version: a.value.version })
    }

    /// Newest value accepted by the own replica.
    pub(crate) fn accepted(&self) -> Option<AcceptedValue> {
        self.store.as_ref().and_then(StoreHandle::accepted)
    }

    pub(crate) fn accepted_mark(&self) -> Option<ValueMark> {
        self.store.as_ref().and_then(StoreHandle::accepted_mark)
    }

    /// The value of a ballot, if this node holds it.
    fn held_value(&self, ballot: BallotNumber) -> Option<AcceptedValue> {
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

    fn see_counter(&self, counter: u64) {
        self.highest_counter.set(self.highest_counter.get().max(counter));
    }
}
