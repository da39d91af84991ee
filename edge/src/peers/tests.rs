use super::*;
use crate::reactor::tests::new_reactor;
use std::net::Ipv4Addr;

/// How many datagrams arrive: more than are read in two event loop iterations.
const DATAGRAMS: usize = 150;

// Failure: datagrams that arrive as fast as they are read kept the event loop from its poll for seconds.
#[test]
fn a_flood_of_datagrams_is_read_over_several_iterations() {
    let (_poll, mut reactor) = new_reactor(64, 32);
    let sender = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut peers = Peers::open(&mut reactor, any_port, Vec::new(), None).expect("a free port");
    let socket = peers.socket.as_ref().expect("an open socket");
    let address = socket.local_addr().expect("a bound address");
    for _ in 0..DATAGRAMS {
        sender
            .send_to(b"usage", address)
            .expect("a datagram is sent");
    }
    let mut iterations = 0;
    loop {
        peers.discard_incoming(&mut reactor);
        iterations += 1;
        if reactor.take_deferred_read().is_none() {
            break;
        }
        assert!(iterations < DATAGRAMS, "the socket is never empty");
    }
    assert_eq!(iterations, 3);
    let drained = peers.socket.as_ref().expect("an open socket");
    let rest = drained.recv_from(&mut reactor.scratch);
    assert!(rest.is_err(), "a datagram is left: {rest:?}");
}
