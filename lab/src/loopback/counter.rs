//! The emulated counter on loopback. Its protocol consists of text lines, and it answers the calls of each connection
//! in order.

use super::buffered_connection::{BufferedConnection, ConnectionState};
use super::response_queue::ResponseQueue;
use super::run::LoopbackRun;
use crate::error::LabError;
use crate::events::CounterCallId;
use crate::world::counter::CounterResponse;
use std::time::Duration;

/// The largest amount that a call may add or subtract.
const MAX_AMOUNT: f64 = 1e9;

/// A gateway's connection to the counter.
pub(super) struct CounterConnection {
    pub(super) connection: BufferedConnection,
    gateway: usize,
    /// The key of the listener that accepted the connection.
    pub(super) listener: usize,
    /// The pending commands of the connection. `None` stands for a command that is answered without a call.
    pub(super) responses: ResponseQueue<Option<CounterCallId>>,
}

impl CounterConnection {
    pub(super) fn new(
        connection: BufferedConnection,
        gateway: usize,
        listener: usize,
    ) -> CounterConnection {
        CounterConnection {
            connection,
            gateway,
            listener,
            responses: ResponseQueue::default(),
        }
    }

    /// Removes all complete lines from the received bytes.
    fn take_lines(&mut self) -> String {
        let input = &mut self.connection.input;
        let last_end = input.iter().rposition(|byte| *byte == b'\n');
        let length = last_end.map_or(0, |end| end + 1);
        let lines: Vec<u8> = input.drain(..length).collect();
        String::from_utf8_lossy(&lines).into_owned()
    }
}

/// A command line from a gateway.
#[derive(Debug, PartialEq)]
enum CounterCommand {
    Ping,
    Add {
        name: u64,
        amount: f64,
        ttl: Duration,
    },
    Invalid,
}

fn parse_command(line: &str) -> CounterCommand {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    match words[..] {
        ["ping"] => CounterCommand::Ping,
        ["incr", name, amount, ttl_ms] => {
            parse_add(name, amount, ttl_ms).unwrap_or(CounterCommand::Invalid)
        }
        _ => CounterCommand::Invalid,
    }
}

fn parse_add(name: &str, amount: &str, ttl_ms: &str) -> Option<CounterCommand> {
    let name = name.parse().ok()?;
    let amount: f64 = amount.parse().ok()?;
    let ttl_ms: u64 = ttl_ms.parse().ok()?;
    (amount.abs() <= MAX_AMOUNT && ttl_ms > 0).then_some(CounterCommand::Add {
        name,
        amount,
        ttl: Duration::from_millis(ttl_ms),
    })
}

impl LoopbackRun {
    pub(super) fn on_counter_readable(&mut self, key: usize) -> Result<(), LabError> {
        let Some(counter) = self.sources.counter_mut(key) else {
            return Ok(());
        };
        let state = counter.connection.read();
        let gateway = counter.gateway;
        let lines = counter.take_lines();
        let mut actions = Vec::new();
        for line in lines.lines() {
            match parse_command(line) {
                CounterCommand::Ping => self.answer_counter_command(key, b"pong\r\n"),
                CounterCommand::Invalid => self.answer_counter_command(key, b"error\r\n"),
                CounterCommand::Add { name, amount, ttl } => {
                    let call = self.world.on_counter_call(
                        self.now,
                        gateway,
                        name,
                        amount,
                        ttl,
                        &mut actions,
                    );
                    self.push_counter_request(key, Some(call));
                    self.counter_calls.insert(call, key);
                }
            }
        }
        self.perform_actions(actions)?;
        match state {
            ConnectionState::Open => Ok(()),
            ConnectionState::Closed => self.close(key),
        }
    }

    fn answer_counter_command(&mut self, key: usize, response: &[u8]) {
        self.push_counter_request(key, None);
        self.complete_counter_request(key, None, response);
    }

    fn push_counter_request(&mut self, key: usize, call: Option<CounterCallId>) {
        if let Some(counter) = self.sources.counter_mut(key) {
            counter.responses.push_request(call);
        }
    }

    fn complete_counter_request(
        &mut self,
        key: usize,
        call: Option<CounterCallId>,
        response: &[u8],
    ) {
        if let Some(counter) = self.sources.counter_mut(key) {
            let ready = counter.responses.complete(call, response.to_vec());
            counter.connection.queue(&ready);
            self.unflushed.push(key);
        }
    }

    /// Sends the counter's response to a call.
    pub(super) fn send_counter_response(
        &mut self,
        call: CounterCallId,
        response: CounterResponse,
    ) -> Result<(), LabError> {
        let Some(key) = self.counter_calls.remove(&call) else {
            return Ok(());
        };
        match response {
            CounterResponse::Total(total) => {
                let line = format!("ok {total}\r\n");
                self.complete_counter_request(key, Some(call), line.as_bytes());
            }
            CounterResponse::Busy => self.complete_counter_request(key, Some(call), b"busy\r\n"),
            CounterResponse::Reset => self.close(key)?,
        }
        Ok(())
    }

    pub(super) fn on_counter_closed(&mut self, counter: CounterConnection) {
        for call in counter.responses.pending().flatten() {
            self.counter_calls.remove(&call);
        }
        counter.connection.close(self.sources.registry());
    }
}

#[cfg(test)]
mod tests;
