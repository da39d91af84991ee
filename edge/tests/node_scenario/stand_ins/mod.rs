//! Stand-ins for everything that the node under test talks to, on loopback sockets.

mod app_servers;
mod clients;
mod counter;
mod discovery;
mod loopback;
mod resp;

pub(crate) use app_servers::FakeAppServers;
pub(crate) use clients::{connect_burst, Clients, RequestArguments};
pub(crate) use counter::{CounterMode, FakeCounter};
pub(crate) use discovery::{DiscoveryMode, EndpointState, FakeDiscovery, ScriptedAnswer};
pub(crate) use loopback::{ListeningServer, LoopbackHost};
pub(crate) use resp::Received;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, MutexGuard};

/// Shuts all connections down in both directions and forgets them.
pub(crate) fn disconnect(connections: &mut Vec<TcpStream>) {
    for connection in std::mem::take(connections) {
        // The other side may have closed it before.
        let _ = connection.shutdown(Shutdown::Both);
    }
}

/// Locks the state of a stand-in; panics where a thread of the stand-in has.
fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().expect("a stand-in has failed")
}

/// Writes an answer; the other side may have closed the connection before.
fn send(mut connection: &TcpStream, bytes: &str) {
    let _ = connection.write_all(bytes.as_bytes());
}
