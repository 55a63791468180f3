//! Compares what this node knows with the digests in the statuses of the others, and fetches what
//! differs. Changes are broadcast a few times; a node that was frozen, cut off or not heard then
//! learns of them this way.

use super::NodeState;
use crate::facts::{FactDigests, FactKind, KnownFacts};
use crate::rpc::{self, PeerCall, PeerReply};
use burdockcleat_core::clock::ClockTime;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// Time for which a difference must last before the facts are fetched, in ms. The broadcast of a change
/// and the next status of a node that has just received it arrive within this time.
const SETTLE_MS: u64 = 300;
/// Pause after facts were fetched, in ms.
const FETCH_PAUSE_MS: u64 = 500;

impl NodeState {
    /// Returns the digests of what this node knows.
    pub(super) fn fact_digests(&self) -> FactDigests {
        FactDigests {
            departures: self.targets.borrow().departure_digest(),
            suspects: self.suspects.borrow().digest(),
            limits: self.limits.borrow().digest(),
        }
    }

    /// Fetches the facts that the sender of a status may know and this node does not.
    pub(super) fn learn_facts(self: &Rc<Self>, digests: &FactDigests, from: SocketAddrV4) {
        for kind in FactKind::ALL {
            if self.differs(kind, digests) && self.fetching_facts.borrow_mut().insert(kind) {
                tokio::task::spawn_local(self.clone().fetch_facts(kind, from));
            }
        }
    }

    fn differs(&self, kind: FactKind, digests: &FactDigests) -> bool {
        let theirs = digests.of(kind);
        theirs != 0 && theirs != self.fact_digests().of(kind)
    }

    async fn fetch_facts(self: Rc<Self>, kind: FactKind, from: SocketAddrV4) {
        tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
        let newest = self.peers.borrow().get(from).map(|record| record.status.facts);
        if newest.is_some_and(|newest| self.differs(kind, &newest)) {
            match rpc::call(from, &PeerCall::ReadFacts(kind)).await {
                Ok(PeerReply::Facts(facts)) => {
                    self.metrics.borrow_mut().count("facts_fetched", fact_label(kind), 1);
                    self.merge_facts(&facts, from);
                    tokio::time::sleep(Duration::from_millis(FETCH_PAUSE_MS)).await;
                }
                Ok(other) => {
                    log::debug!(target: "burdockcleat", "event=facts.fetch_failed kind={kind:?} peer={from} reply={other:?}");
                }
                Err(error) => {
                    log::info!(target: "burdockcleat", "event=facts.fetch_failed kind={kind:?} peer={from} cause=\"{error}\"");
                }
            }
        }
        self.fetching_facts.borrow_mut().remove(&kind);
    }

    fn merge_facts(self: &Rc<Self>, facts: &KnownFacts, from: SocketAddrV4) {
        match facts {
            KnownFacts::Departures(notices) => self.merge_notices(notices, &from.to_string()),
            KnownFacts::Suspects(reports) => self.merge_suspects(reports),
            KnownFacts::Limits(reports) => self.merge_limits(reports),
        }
    }

    /// Returns all facts of one kind that this node knows.
    pub(crate) fn known_facts(&self, kind: FactKind) -> KnownFacts {
        let now = ClockTime::monotonic();
        match kind {
            FactKind::Departures => KnownFacts::Departures(self.targets.borrow().departures(now)),
            FactKind::Suspects => KnownFacts::Suspects(self.suspects.borrow().reports(now)),
            FactKind::Limits => KnownFacts::Limits(self.limits.borrow().reports()),
        }
    }
}

const fn fact_label(kind: FactKind) -> &'static str {
    match kind {
        FactKind::Departures => "departures",
        FactKind::Suspects => "suspects",
        FactKind::Limits => "limits",
    }
}
