//! Networks of deployments.

use burdockcleat_testbed::deployment::Deployment;
use std::net::{SocketAddr, TcpListener};

/// Port and host of the listener that marks a network as taken.
const GUARD: (u8, u16) = (254, 9_999);

/// Another program takes a network whose relays still listen, and its deployment fails to open with
/// an address in use.
#[test]
fn a_network_stays_taken_while_its_relays_listen() {
    let deployment = Deployment::open(1).unwrap();
    let SocketAddr::V4(relay) = deployment.control_link_address(0) else {
        panic!("an IPv4 address")
    };
    drop(deployment);
    assert!(TcpListener::bind(relay).is_err(), "the relay listens until the program ends");
    let [first, second, third, _] = relay.ip().octets();
    let guard = SocketAddr::from(([first, second, third, GUARD.0], GUARD.1));
    assert!(TcpListener::bind(guard).is_err(), "the network looks free");
}
