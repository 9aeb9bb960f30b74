//! Tests of which operators may drain a daemon.

use std::net::{IpAddr, SocketAddr};

use monsooncart_daemon::operator;
use monsooncart_policy::membership::member;
use monsooncart_types::instance;

fn address(text: &str) -> SocketAddr {
    text.parse().expect("valid socket address")
}

fn member() -> member::Member {
    member::Member {
        vm: "entry-00".parse().expect("name"),
        instance: instance::Instance(1),
        peers: address("10.0.0.1:8082"),
        callers: address("10.9.0.1:8080"),
        admin: address("10.1.0.1:8081"),
        data_centre: "attica-a".parse().expect("name"),
        region: "attica".parse().expect("name"),
        state: member::State::Alive,
        leaving: false,
        capacity: 1000,
    }
}

fn may_drain(peer: &str) -> bool {
    let peer: IpAddr = peer.parse().expect("valid IP address");
    operator::may_drain(peer, &[member()])
}

#[test]
fn loopback_and_vms_of_daemons_may_drain() {
    for peer in [
        "127.0.0.1",
        "::1",
        "::ffff:127.0.0.1",
        "10.0.0.1",
        "10.1.0.1",
    ] {
        assert!(may_drain(peer), "{peer}");
    }
}

#[test]
fn other_addresses_may_not_drain() {
    for peer in ["10.0.0.2", "10.9.0.1", "::ffff:10.0.0.2", "0.0.0.0"] {
        assert!(!may_drain(peer), "{peer}");
    }
}
