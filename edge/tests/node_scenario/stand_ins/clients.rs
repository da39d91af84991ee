//! The clients, each on one connection to the node.

use super::loopback::connect_while_possible;
use super::resp::{self, Received};
use crate::node_scenario::TIMEOUT;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// The customer of every request.
const CUSTOMER: &str = "00000000b4d65521";
/// The size of a body in bytes, where a step tells none.
const DEFAULT_BODY_SIZE: usize = 4;
/// How long a client looks for what has come already.
const ALREADY_THERE: Duration = Duration::from_millis(10);

/// A request that a client sends.
#[derive(Debug)]
pub(crate) struct RequestArguments {
    /// Its id.
    pub(crate) request: String,
    /// Its route.
    pub(crate) route: String,
    /// The plan of the customer.
    pub(crate) plan: String,
    /// How long the client waits, in milliseconds; a word that is no number is sent as it is.
    pub(crate) timeout_ms: String,
    /// The size of the body in bytes, where the route has one.
    pub(crate) body_size: Option<usize>,
}

impl RequestArguments {
    fn command(&self) -> String {
        let id = format!("{:0>16}", self.request);
        let fields = format!(
            "c={},t={},d={},k=5,units=1,spread=1,first=0",
            self.route, self.plan, self.timeout_ms
        );
        if self.route == "read" {
            return resp::command(&["SVC.QUERY", CUSTOMER, &id, &fields]);
        }
        let body = "x".repeat(self.body_size.unwrap_or(DEFAULT_BODY_SIZE));
        resp::command(&["SVC.SUBMIT", CUSTOMER, &id, &fields, &body])
    }
}

/// All clients of a scenario. Each connects when a step first names it.
#[derive(Default)]
pub(crate) struct Clients {
    connections: BTreeMap<String, BufReader<TcpStream>>,
}

impl Clients {
    /// Connects a client, if it is not connected.
    pub(crate) fn connect(&mut self, client: &str, node: &str) -> &mut BufReader<TcpStream> {
        self.connections
            .entry(client.to_string())
            .or_insert_with(|| {
                let connection = TcpStream::connect(node).expect("the node accepts");
                let input = BufReader::new(connection);
                set_receive_timeout(&input, TIMEOUT);
                input
            })
    }

    /// Sends bytes.
    pub(crate) fn send_bytes(&mut self, client: &str, node: &str, bytes: &[u8]) {
        let connection = self.connect(client, node).get_mut();
        connection.write_all(bytes).expect("the node reads");
    }

    /// Sends a request.
    pub(crate) fn send_request(&mut self, client: &str, node: &str, request: &RequestArguments) {
        self.send_bytes(client, node, request.command().as_bytes());
    }

    /// Waits for what comes next on a client's connection.
    pub(crate) fn receive(&mut self, client: &str, node: &str) -> Received {
        resp::receive(self.connect(client, node))
    }

    /// Panics where nothing has come on a client's connection by now.
    pub(crate) fn expect_something_received(&mut self, client: &str, node: &str) {
        let input = self.connect(client, node);
        set_receive_timeout(input, ALREADY_THERE);
        let is_there = input.fill_buf().is_ok();
        set_receive_timeout(input, TIMEOUT);
        assert!(is_there, "nothing has come to {client}");
    }

    /// Panics where the node has reset a client's connection.
    pub(crate) fn expect_not_reset(&mut self, client: &str, node: &str) {
        let connection = self.connect(client, node).get_ref();
        let error = connection.take_error().expect("the state of the socket");
        assert!(error.is_none(), "{error:?}");
    }

    /// Ends a client's sending; it goes on receiving.
    pub(crate) fn shut_down_sending(&mut self, client: &str, node: &str) {
        let connection = self.connect(client, node).get_ref();
        connection
            .shutdown(Shutdown::Write)
            .expect("the node reads");
    }

    /// Closes a client's connection.
    pub(crate) fn disconnect(&mut self, client: &str) {
        let connection = self.connections.remove(client);
        drop(connection.expect("a client that is connected"));
    }
}

fn set_receive_timeout(input: &BufReader<TcpStream>, timeout: Duration) {
    let connection = input.get_ref();
    connection.set_read_timeout(Some(timeout)).unwrap();
}

/// Connects so many clients at once, and closes the connections; panics where one of them does not come up.
pub(crate) fn connect_burst(node: &str, count: usize) {
    let connections = connect_while_possible(&node.parse().expect("an address"), count);
    assert_eq!(connections.len(), count);
}
