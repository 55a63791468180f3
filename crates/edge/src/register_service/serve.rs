//! Server for the calls of other nodes, and the fetch of their applied values.

use super::AppliedValue;
use super::store::StoreCall;
use crate::memory::RecoveryMemory;
use crate::node::NodeState;
use crate::register::{AcceptedValue, PhaseReply, RegisterChange};
use crate::rpc::{self, PeerCall, PeerReply};
use burdockcleat_core::clock::ClockTime;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Timeout of a change that another node forwarded, in ms. Operators try another node after 1 s.
const CHANGE_TIMEOUT_MS: u64 = 800;
/// Pause after a failure to accept a connection, in ms. File descriptors become free when calls
/// end.
const ACCEPT_PAUSE_MS: u64 = 100;

impl NodeState {
    /// Fetches and applies the applied value of another node. A node that has just started or knows
    /// no targets also fetches the recovery memory.
    pub(super) async fn fetch_applied(self: Rc<Self>, from: std::net::SocketAddrV4) {
        let with_memory = self.targets.borrow().is_empty() || !self.is_warm(ClockTime::monotonic());
        match rpc::call(from, &PeerCall::ReadApplied { with_memory }).await {
            Ok(PeerReply::Applied { value: Some(AcceptedValue { ballot, value }), memory }) => {
                self.apply_value(ballot, &value);
                self.apply_memory(&memory, &from.to_string());
            }
            Ok(other) => {
                log::debug!(target: "burdockcleat", "event=config.fetch_failed peer={from} reply={other:?}");
            }
            Err(error) => {
                log::info!(target: "burdockcleat", "event=config.fetch_failed peer={from} cause=\"{error}\"");
            }
        }
        self.register.fetching.set(false);
    }

    /// Accepts connections of other nodes and serves one call on each.
    pub(crate) async fn accept_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().serve_peer(stream));
                }
                Err(error) => {
                    log::warn!(target: "burdockcleat", "event=peer.accept_failed cause=\"{error}\"");
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    async fn serve_peer(self: Rc<Self>, mut stream: TcpStream) {
        let exchange = async {
            stream.set_nodelay(true)?;
            let call: PeerCall = rpc::read_message(&mut stream).await?;
            let reply = self.answer_call(call).await;
            rpc::write_message(&mut stream, &reply).await
        };
        if let Err(error) = exchange.await {
            log::debug!(target: "burdockcleat", "event=peer.call_failed cause=\"{error}\"");
        }
    }

    async fn answer_call(self: &Rc<Self>, call: PeerCall) -> PeerReply {
        let store = |disk| self.register.store.as_ref().filter(|store| store.disk() == disk);
        let (store, store_call) = match call {
            PeerCall::Change(change) => {
                let confirmed = match change {
                    RegisterChange::Confirm => self.read_from_quorum().await,
                    _ => None,
                };
                let result = match confirmed {
                    Some(value) => Ok(value),
                    None => self.propose_change(&change, CHANGE_TIMEOUT_MS).await,
                };
                return match (result, self.register.applied()) {
                    (Ok(_), Some(AppliedValue { ballot, value, .. })) => {
                        PeerReply::Changed(AcceptedValue { ballot, value })
                    }
                    (Ok(_), None) => PeerReply::Failed("no value is applied".into()),
                    (Err(error), _) => PeerReply::Failed(error.to_string()),
                };
            }
            PeerCall::ReadApplied { with_memory } => {
                let applied = self.register.applied();
                let value = applied.map(|a| AcceptedValue { ballot: a.ballot, value: a.value });
                let memory = if with_memory { self.memory() } else { RecoveryMemory::default() };
                return PeerReply::Applied { value, memory };
            }
            PeerCall::ReadFacts(kind) => return PeerReply::Facts(self.known_facts(kind)),
            PeerCall::ReadUsage => {
                let now = ClockTime::monotonic();
                let source = self.usage_source(now);
                return PeerReply::Usage { source, usage: self.allowances.borrow().usage(now) };
            }
            PeerCall::ReadBallot { disk } => {
                let Some(store) = store(disk) else { return PeerReply::WrongDisk };
                return PeerReply::Ballot(store.accepted_id().map(|id| id.ballot));
            }
            PeerCall::Prepare { disk, ballot, held } => {
                let Some(store) = store(disk) else { return PeerReply::WrongDisk };
                return match store.call(StoreCall::Prepare(ballot)).await {
                    Some(PhaseReply::Promised(Some(accepted))) if Some(accepted.ballot) == held => {
                        PeerReply::PromisedHeld
                    }
                    Some(reply) => PeerReply::Phase(reply),
                    None => not_durable_reply(),
                };
            }
            PeerCall::Accept { disk, ballot, value } => {
                (store(disk), StoreCall::Accept(ballot, value))
            }
        };
        let Some(store) = store else { return PeerReply::WrongDisk };
        store.call(store_call).await.map_or_else(not_durable_reply, PeerReply::Phase)
    }
}

fn not_durable_reply() -> PeerReply {
    PeerReply::Failed("the state could not be made durable".into())
}
