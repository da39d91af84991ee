//! The stand-ins for clients, each with one connection to the gateway.

use super::loopback::connect_while_possible;
use super::resp::{self, Received};
use crate::gateway_scenario::TIMEOUT;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// The customer of every request, in hex.
const CUSTOMER: &str = "00000000b4d65521";
/// The size of a body if a step does not give one.
const DEFAULT_BODY_BYTES: usize = 4;
/// How long a client waits for something that must have arrived already.
const ARRIVED_TIMEOUT: Duration = Duration::from_millis(10);

/// A request that a client sends.
#[derive(Debug)]
pub(crate) struct RequestArguments {
    /// The id in hex digits, without leading zeros.
    pub(crate) id: String,
    /// The name of the route.
    pub(crate) route: String,
    /// The name of the customer's plan.
    pub(crate) plan: String,
    /// How long the client waits, in milliseconds. It is sent as it is, so that scenarios can send an invalid number.
    pub(crate) timeout_ms: String,
    /// The size of the body in bytes. Not used on the route `read`, whose command has no body.
    pub(crate) body_bytes: Option<usize>,
}

impl RequestArguments {
    /// Returns the command of the request as RESP2.
    pub(super) fn command(&self) -> String {
        let id = format!("{:0>16}", self.id);
        let fields = format!(
            "c={},t={},d={},k=5,units=1,spread=1,first=0",
            self.route, self.plan, self.timeout_ms
        );
        if self.route == "read" {
            return resp::command(&["SVC.QUERY", CUSTOMER, &id, &fields]);
        }
        let body = "x".repeat(self.body_bytes.unwrap_or(DEFAULT_BODY_BYTES));
        resp::command(&["SVC.SUBMIT", CUSTOMER, &id, &fields, &body])
    }
}

/// All clients of a scenario. Each one connects when a step first uses it.
#[derive(Default)]
pub(crate) struct Clients {
    connections: BTreeMap<String, BufReader<TcpStream>>,
}

impl Clients {
    /// Connects a client, unless it is connected, and returns its connection.
    pub(crate) fn connect(&mut self, client: &str, gateway: &str) -> &mut BufReader<TcpStream> {
        self.connections
            .entry(client.to_string())
            .or_insert_with(|| {
                let connection = TcpStream::connect(gateway)
                    .expect("expected the gateway to accept a connection");
                let input = BufReader::new(connection);
                set_receive_timeout(&input, TIMEOUT);
                input
            })
    }

    /// Sends bytes on a client's connection.
    pub(crate) fn send_bytes(&mut self, client: &str, gateway: &str, bytes: &[u8]) {
        let connection = self.connect(client, gateway).get_mut();
        connection
            .write_all(bytes)
            .expect("expected the gateway to keep the connection open");
    }

    /// Sends a request on a client's connection.
    pub(crate) fn send_request(&mut self, client: &str, gateway: &str, request: &RequestArguments) {
        self.send_bytes(client, gateway, request.command().as_bytes());
    }

    /// Waits for the next answer on a client's connection, or its end.
    pub(crate) fn receive(&mut self, client: &str, gateway: &str) -> Received {
        resp::receive(self.connect(client, gateway))
    }

    /// Panics if neither an answer nor the end has arrived on a client's connection by now.
    pub(crate) fn expect_something_received(&mut self, client: &str, gateway: &str) {
        let input = self.connect(client, gateway);
        set_receive_timeout(input, ARRIVED_TIMEOUT);
        let has_arrived = input.fill_buf().is_ok();
        set_receive_timeout(input, TIMEOUT);
        assert!(
            has_arrived,
            "expected {client} to have received something, found nothing"
        );
    }

    /// Panics if the gateway has reset a client's connection.
    pub(crate) fn expect_not_reset(&mut self, client: &str, gateway: &str) {
        let connection = self.connect(client, gateway).get_ref();
        let error = connection
            .take_error()
            .expect("expected the error state of the socket");
        assert!(
            error.is_none(),
            "expected no error on the connection of {client}, found {error:?}"
        );
    }

    /// Shuts down a client's sending direction. The client can still receive.
    pub(crate) fn shut_down_sending(&mut self, client: &str, gateway: &str) {
        let connection = self.connect(client, gateway).get_ref();
        connection
            .shutdown(Shutdown::Write)
            .expect("expected the connection to be open");
    }

    /// Closes a client's connection.
    pub(crate) fn disconnect(&mut self, client: &str) {
        let connection = self.connections.remove(client);
        drop(connection.unwrap_or_else(|| panic!("expected {client} to be connected")));
    }
}

fn set_receive_timeout(input: &BufReader<TcpStream>, timeout: Duration) {
    let connection = input.get_ref();
    connection
        .set_read_timeout(Some(timeout))
        .expect("expected to set the read timeout");
}

/// Establishes this many connections and then closes them. Panics if one can't be established in time.
pub(crate) fn connect_burst(gateway: &str, count: usize) {
    let connections = connect_while_possible(&gateway.parse().expect("expected an address"), count);
    assert_eq!(
        connections.len(),
        count,
        "expected all connections of the burst to be established"
    );
}
