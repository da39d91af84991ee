use super::*;
use crate::reactor::tests::new_reactor;
use mio::{Events, Poll};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::thread::spawn;

/// The size of the response in bytes: many times what is read in one event loop iteration.
const RESPONSE_BYTES: usize = 3 << 20;
/// How long the test waits for the poll at most.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts one connection, reads the call and responds with an empty list behind many spaces.
fn serve_long_response(listener: &TcpListener) {
    let (mut connection, _) = listener.accept().expect("a connection");
    let _ = connection.read(&mut [0; 4096]).expect("a call");
    let list = r#"{"rev":3,"all":true,"targets":[]}"#;
    let body = format!("{}{list}", " ".repeat(RESPONSE_BYTES - list.len()));
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n");
    connection
        .write_all(format!("{head}{body}").as_bytes())
        .expect("an open connection");
}

/// Returns what is to be done in the next event loop iteration: deferred reads, or else what the poll reports.
fn next_readiness(poll: &mut Poll, reactor: &mut Reactor) -> Readiness {
    if reactor.take_deferred_read().is_some() {
        return Readiness::READABLE;
    }
    let mut events = Events::with_capacity(8);
    poll.poll(&mut events, Some(POLL_TIMEOUT))
        .expect("a working poll");
    let event = events.iter().next().expect("the response arrives");
    Readiness::from(event)
}

// Failure: as much of a response as had arrived was read in one iteration, up to half of the memory.
#[test]
fn a_long_response_is_read_over_several_iterations() {
    let (mut poll, mut reactor) = new_reactor(64, 32);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = spawn(move || serve_long_response(&listener));
    let mut follower = DiscoveryFollower::new(address, None, 7, &reactor);
    follower.follow(&mut reactor, true);
    let key = follower.connection_number;
    let mut read_before = 0;
    let message = loop {
        let readiness = next_readiness(&mut poll, &mut reactor);
        let message = follower.on_ready(&mut reactor, key, readiness);
        if message.is_some() {
            break message;
        }
        let connection = follower.connection.as_ref().expect("an open connection");
        let read = connection.stream.input.len();
        assert!(
            read - read_before <= MAX_BYTES_PER_ITERATION,
            "{} bytes were read in one iteration",
            read - read_before
        );
        read_before = read;
    };
    assert_eq!(message.map(|message| message.revision), Some(3));
    assert!(read_before > RESPONSE_BYTES - 2 * MAX_BYTES_PER_ITERATION);
    server.join().expect("a served response");
}

#[test]
fn a_response_may_take_a_quarter_of_the_buffers_and_at_least_what_1024_endpoints_need() {
    for (memory_mb, expected_mib) in [(1, 4), (32, 4), (48, 6), (192, 24)] {
        let (_poll, reactor) = new_reactor(64, memory_mb);
        assert_eq!(max_response_bytes(&reactor), expected_mib << 20);
    }
}
