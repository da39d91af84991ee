//! The stand-in for the shared counter, which keeps a total for each name.

use super::loopback::{ListeningServer, LoopbackHost};
use super::{disconnect, lock, resp, send};
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// The interval at which a silent counter checks whether it must reply again.
const SILENT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the counter replies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum CounterMode {
    /// It adds the amount and replies with the total.
    #[default]
    Replying,
    /// It neither adds nor replies until the mode changes.
    Silent,
    /// It adds nothing and replies `busy`.
    Rejecting,
    /// It adds the amount of the next call and replies without a number. After that it is in the mode `Replying`.
    MalformedOnce,
}

/// A counter that serves at one or more addresses.
#[derive(Clone, Default)]
pub(crate) struct FakeCounter {
    state: Arc<Mutex<CounterState>>,
}

#[derive(Default)]
struct CounterState {
    mode: CounterMode,
    /// The names and their totals, in the order in which the names were first used.
    totals: Vec<(String, f64)>,
    connections: Vec<TcpStream>,
}

impl FakeCounter {
    /// Listens on one more address. All addresses share the totals.
    pub(crate) fn listen(&self, host: &LoopbackHost) -> ListeningServer {
        let state = self.state.clone();
        ListeningServer::start(host, move |connection| serve(&state, connection))
    }

    /// Sets how it replies from now on.
    pub(crate) fn set_mode(&self, mode: CounterMode) {
        lock(&self.state).mode = mode;
    }

    /// Shuts down all its connections.
    pub(crate) fn disconnect_all(&self) {
        disconnect(&mut lock(&self.state).connections);
    }

    /// Returns its open connections and removes them from its list.
    pub(crate) fn take_connections(&self) -> Vec<TcpStream> {
        std::mem::take(&mut lock(&self.state).connections)
    }

    /// Returns whether it has accepted a connection since its list of connections was last emptied.
    pub(crate) fn has_connections(&self) -> bool {
        !lock(&self.state).connections.is_empty()
    }

    /// Returns whether the total of the newest name, which is the one that was first used last, is zero.
    pub(crate) fn newest_total_is_zero(&self) -> bool {
        let state = lock(&self.state);
        state.totals.last().is_some_and(|(_, total)| *total == 0.0)
    }
}

fn serve(state: &Mutex<CounterState>, connection: TcpStream) {
    let output = connection
        .try_clone()
        .expect("expected to duplicate the socket");
    lock(state).connections.push(
        connection
            .try_clone()
            .expect("expected to duplicate the socket"),
    );
    let mut input = BufReader::new(connection);
    while let Some(call) = resp::read_line(&mut input) {
        while lock(state).mode == CounterMode::Silent {
            sleep(SILENT_POLL_INTERVAL);
        }
        let reply = lock(state).reply(&call);
        send(&output, &format!("{reply}\r\n"));
    }
}

impl CounterState {
    fn reply(&mut self, call: &str) -> String {
        let words: Vec<&str> = call.split(' ').collect();
        match words[..] {
            ["ping"] => "pong".to_string(),
            _ if self.mode == CounterMode::Rejecting => "busy".to_string(),
            ["incr", name, amount, _ttl] => {
                let total = self.add(
                    name,
                    amount.parse().expect("expected a number as the amount"),
                );
                if self.mode == CounterMode::MalformedOnce {
                    self.mode = CounterMode::Replying;
                    return "ok #".to_string();
                }
                format!("ok {total}")
            }
            _ => "error".to_string(),
        }
    }

    fn add(&mut self, name: &str, amount: f64) -> f64 {
        if !self.totals.iter().any(|(known, _)| known == name) {
            self.totals.push((name.to_string(), 0.0));
        }
        let (_, total) = self
            .totals
            .iter_mut()
            .find(|(known, _)| known == name)
            .expect("expected the name that was added above");
        *total += amount;
        *total
    }
}
