//! Tests of links between processes over real sockets.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat::link::{LinkEvent, LinkHandle, LinkIdentity, LinkKey, PeerRole};
use burdockcleat_core::keys::NodeId;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const WAIT_LIMIT: Duration = Duration::from_secs(10);

fn identity(role: PeerRole, node: u64, secret: &str) -> LinkIdentity {
    let source = Ipv4Addr::LOCALHOST.into();
    LinkIdentity { role, node: NodeId(node), secret: secret.into(), source }
}

fn listen(secret: &str) -> (LinkHandle, Receiver<LinkEvent>) {
    let (events, inbox) = channel();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let identity = identity(PeerRole::Control, 1, secret);
    let handle = LinkHandle::spawn(identity, Some(address), &[], events, |event| event).unwrap();
    (handle, inbox)
}

fn dial(address: SocketAddr, secret: &str) -> (LinkHandle, Receiver<LinkEvent>) {
    let (events, inbox) = channel();
    let identity = identity(PeerRole::Entry, 2, secret);
    let handle = LinkHandle::spawn(identity, None, &[address], events, |event| event).unwrap();
    (handle, inbox)
}

fn expect_up(inbox: &Receiver<LinkEvent>) -> LinkKey {
    match inbox.recv_timeout(WAIT_LIMIT).unwrap() {
        LinkEvent::Up { link, .. } => link,
        other => panic!("expected the link to come up, got {other:?}"),
    }
}

/// Guards against lost, duplicated or reordered frames in either direction of a link.
#[test]
fn frames_arrive_once_and_in_order() {
    let (server, server_inbox) = listen("s");
    let (client, client_inbox) = dial(server.local_addr().unwrap(), "s");
    let (up, down) = (expect_up(&client_inbox), expect_up(&server_inbox));
    for number in 0..2_000_u32 {
        client.send(up, number.to_le_bytes().to_vec());
        server.send(down, number.to_le_bytes().to_vec());
    }
    for inbox in [&server_inbox, &client_inbox] {
        for number in 0..2_000_u32 {
            let LinkEvent::Frame { frame, .. } = inbox.recv_timeout(WAIT_LIMIT).unwrap() else {
                panic!("the link closed early");
            };
            assert_eq!(frame, number.to_le_bytes());
        }
    }
}

/// Guards against a link to a process of another deployment, which has another secret.
#[test]
fn a_wrong_secret_is_refused() {
    let (server, server_inbox) = listen("right");
    let (_client, client_inbox) = dial(server.local_addr().unwrap(), "wrong");
    assert!(client_inbox.recv_timeout(Duration::from_secs(1)).is_err());
    assert!(server_inbox.try_recv().is_err());
}

/// Guards against a process that does not dial again after its peer closed the link.
#[test]
fn a_closed_link_is_dialled_again() {
    let (server, server_inbox) = listen("s");
    let (_client, client_inbox) = dial(server.local_addr().unwrap(), "s");
    let first = expect_up(&server_inbox);
    expect_up(&client_inbox);
    server.close(first);
    assert_eq!(server_inbox.recv_timeout(WAIT_LIMIT).unwrap(), LinkEvent::Down { link: first });
    assert!(matches!(client_inbox.recv_timeout(WAIT_LIMIT).unwrap(), LinkEvent::Down { .. }));
    expect_up(&client_inbox);
    assert_ne!(expect_up(&server_inbox), first);
}
