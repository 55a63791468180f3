//! Test of the loopback networks of deployments.

use burdockcleat_testbed::deployment::Deployment;
use std::net::{SocketAddr, TcpListener};

/// Host number and port of the listener that marks a network as taken.
const MARKER: (u8, u16) = (254, 9_999);

/// Guards against another program that takes a network whose relays still listen. Its deployment
/// would fail to open because an address is in use.
#[test]
fn a_network_stays_taken_while_its_relays_listen() {
    let deployment = Deployment::open(1).unwrap();
    let SocketAddr::V4(relay) = deployment.control_link_address(0) else {
        panic!("an IPv4 address")
    };
    drop(deployment);
    assert!(TcpListener::bind(relay).is_err(), "the relay listens until the program ends");
    let [first, second, third, _] = relay.ip().octets();
    let marker = SocketAddr::from(([first, second, third, MARKER.0], MARKER.1));
    assert!(TcpListener::bind(marker).is_err(), "the network looks free");
}
