//! Sends datagrams without waiting and receives them in one task.

use super::NodeState;
use crate::datagram::{MAX_DATAGRAM_BYTES, PeerDatagram};
use crate::traffic::{DomainScope, LinkBytes};
use burdockcleat_core::clock::ClockTime;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

impl NodeState {
    /// Sends a datagram to a node. A failure to send is treated like a lost datagram.
    pub(crate) fn send_to(&self, address: SocketAddrV4, datagram: &PeerDatagram) {
        let bytes = match postcard::to_stdvec(datagram) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!(target: "burdockcleat", "event=peer.encode_failed cause=\"{error}\"");
                return;
            }
        };
        if let Err(error) = self.socket.try_send_to(&bytes, address.into()) {
            log::debug!(target: "burdockcleat", "event=peer.send_failed peer={address} cause=\"{error}\"");
            return;
        }
        let peers = self.peers.borrow();
        let domain = peers.get(address).map(|record| &*record.status.domain);
        let scope = DomainScope::of(&self.settings.domain, domain);
        self.traffic.count_datagram(datagram.kind(), scope, bytes.len());
    }

    /// Counts a request to a target of a failure domain. Returns the counter of its connection.
    pub(crate) fn count_target_request(&self, domain: &str) -> Rc<LinkBytes> {
        let link = self.traffic.link(DomainScope::of(&self.settings.domain, Some(domain)));
        link.count_request();
        link
    }

    /// Sends a datagram to all nodes that are alive.
    pub(crate) fn broadcast(&self, datagram: &PeerDatagram) {
        let now = ClockTime::monotonic();
        let peers = self.peers.borrow();
        let addresses: Vec<_> = peers.alive(now).map(|record| record.status.address).collect();
        drop(peers);
        for address in addresses {
            self.send_to(address, datagram);
        }
    }

    pub(super) async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, std::net::SocketAddr::V4(from))) => {
                    match postcard::from_bytes(&buffer[..length]) {
                        Ok(datagram) => self.handle_datagram(from, datagram),
                        Err(error) => {
                            log::warn!(target: "burdockcleat", "event=peer.decode_failed peer={from} cause=\"{error}\"");
                        }
                    }
                }
                Ok(_) => {}
                Err(error) => {
                    log::debug!(target: "burdockcleat", "event=peer.receive_failed cause=\"{error}\"");
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
        }
    }

    fn handle_datagram(self: &Rc<Self>, from: SocketAddrV4, datagram: PeerDatagram) {
        let now = ClockTime::monotonic();
        match datagram {
            PeerDatagram::Status(status) => self.handle_status(from, *status, now),
            PeerDatagram::Notice(notice) => self.apply_notice(&notice, false),
            PeerDatagram::Suspects(reports) => self.merge_suspects(&reports),
            PeerDatagram::Limits(reports) => self.merge_limits(&reports),
            PeerDatagram::Submit(request) => self.handle_submit(from, request, now),
            PeerDatagram::Decision { key, decision } => self.handle_decision(from, key, decision),
            PeerDatagram::Withdraw(key) => self.scheduler.borrow_mut().withdraw(key),
            PeerDatagram::Started { key, target, load } => {
                self.apply_load(target, load, now);
                self.scheduler.borrow_mut().started(target, key, now);
            }
            PeerDatagram::Finished { key, target, outcome, output, load } => {
                self.apply_load(target, load, now);
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.finished_with((target, key), outcome, output, now);
                drop(scheduler);
                self.deliver_decisions();
            }
            PeerDatagram::Stream(record) => self.relay_stream(record),
            PeerDatagram::Streams(groups) => self.merge_streams(&groups),
            PeerDatagram::FindStreams(streams) => self.answer_lookup(from, &streams),
        }
    }
}
