//! The event sources of a run on loopback: sockets and signals, identified by their tokens in the event poll.

use super::buffered_connection::BufferedConnection;
use super::clients::ClientConnection;
use super::counter::CounterConnection;
use super::discovery::DiscoveryConnection;
use super::servers::ServerConnection;
use crate::error::LabError;
use crate::events::ServerId;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Interest, Registry, Token};
use signal_hook_mio::v1_0::Signals;
use slab::Slab;
use std::net::{Ipv4Addr, SocketAddr};

/// A source of events in the poll.
pub(super) enum EventSource {
    /// The signals that stop the run.
    Signals,
    Listener(Listener),
    Peer(PeerSocket),
    Client(ClientConnection),
    Server(ServerConnection),
    Counter(CounterConnection),
    Discovery(DiscoveryConnection),
}

impl EventSource {
    /// The connection of this source, if it is a connection.
    pub(super) fn connection_mut(&mut self) -> Option<&mut BufferedConnection> {
        match self {
            EventSource::Client(client) => Some(&mut client.connection),
            EventSource::Server(server) => Some(&mut server.connection),
            EventSource::Counter(counter) => Some(&mut counter.connection),
            EventSource::Discovery(discovery) => Some(&mut discovery.connection),
            EventSource::Signals | EventSource::Listener(_) | EventSource::Peer(_) => None,
        }
    }
}

/// The emulated service that a listener belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum ListenerPurpose {
    Server(ServerId),
    Counter,
    Discovery,
}

/// A socket on which an emulated service accepts the connections of one gateway.
pub(super) struct Listener {
    pub(super) gateway: usize,
    pub(super) purpose: ListenerPurpose,
    socket: TcpListener,
}

/// A socket that receives the datagrams from one gateway to another gateway, or to all others if `receiver` is `None`.
pub(super) struct PeerSocket {
    pub(super) sender: usize,
    pub(super) receiver: Option<usize>,
    pub(super) socket: UdpSocket,
}

/// A socket that is bound to an address.
#[derive(Clone, Copy, Debug)]
pub(super) struct BoundSocket {
    /// The key of the event source.
    pub(super) key: usize,
    pub(super) address: SocketAddr,
}

/// All event sources by their keys. The key of a source is also its token in the poll.
pub(super) struct EventSources {
    registry: Registry,
    sources: Slab<EventSource>,
}

impl EventSources {
    pub(super) fn new(registry: Registry) -> EventSources {
        EventSources {
            registry,
            sources: Slab::new(),
        }
    }

    pub(super) fn registry(&self) -> &Registry {
        &self.registry
    }

    pub(super) fn get(&self, key: usize) -> Option<&EventSource> {
        self.sources.get(key)
    }

    pub(super) fn get_mut(&mut self, key: usize) -> Option<&mut EventSource> {
        self.sources.get_mut(key)
    }

    pub(super) fn client_mut(&mut self, key: usize) -> Option<&mut ClientConnection> {
        match self.sources.get_mut(key) {
            Some(EventSource::Client(client)) => Some(client),
            _ => None,
        }
    }

    pub(super) fn server_mut(&mut self, key: usize) -> Option<&mut ServerConnection> {
        match self.sources.get_mut(key) {
            Some(EventSource::Server(server)) => Some(server),
            _ => None,
        }
    }

    pub(super) fn counter_mut(&mut self, key: usize) -> Option<&mut CounterConnection> {
        match self.sources.get_mut(key) {
            Some(EventSource::Counter(counter)) => Some(counter),
            _ => None,
        }
    }

    pub(super) fn discovery_mut(&mut self, key: usize) -> Option<&mut DiscoveryConnection> {
        match self.sources.get_mut(key) {
            Some(EventSource::Discovery(discovery)) => Some(discovery),
            _ => None,
        }
    }

    /// All sources with their keys, in the order of the keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = (usize, &EventSource)> {
        self.sources.iter()
    }

    /// The keys of the sources that match a predicate, in ascending order.
    pub(super) fn find_keys(&self, predicate: impl Fn(&EventSource) -> bool) -> Vec<usize> {
        self.iter()
            .filter(|(_, source)| predicate(source))
            .map(|(key, _)| key)
            .collect()
    }

    /// Removes a source. Its socket stays registered with the poll.
    pub(super) fn remove(&mut self, key: usize) -> Option<EventSource> {
        self.sources.try_remove(key)
    }

    pub(super) fn add_signals(&mut self, signals: &mut Signals) -> Result<(), LabError> {
        let token = Token(self.sources.insert(EventSource::Signals));
        let registered = self.registry.register(signals, token, Interest::READABLE);
        registered.map_err(LabError::system(
            "cannot register the signal pipe with the event poll",
        ))
    }

    /// Opens a listener on a free port of 127.0.0.1.
    pub(super) fn listen(
        &mut self,
        gateway: usize,
        purpose: ListenerPurpose,
    ) -> Result<BoundSocket, LabError> {
        const FAILURE: &str = "cannot open a listener on 127.0.0.1";
        let mut socket =
            TcpListener::bind(any_loopback_port()).map_err(LabError::system(FAILURE))?;
        let address = socket.local_addr().map_err(LabError::system(FAILURE))?;
        let entry = self.sources.vacant_entry();
        let key = entry.key();
        self.registry
            .register(&mut socket, Token(key), Interest::READABLE)
            .map_err(LabError::system(FAILURE))?;
        entry.insert(EventSource::Listener(Listener {
            gateway,
            purpose,
            socket,
        }));
        Ok(BoundSocket { key, address })
    }

    /// Binds a socket for datagrams to a free port of 127.0.0.1.
    pub(super) fn bind_peer_socket(
        &mut self,
        sender: usize,
        receiver: Option<usize>,
    ) -> Result<BoundSocket, LabError> {
        const FAILURE: &str = "cannot open a datagram socket on 127.0.0.1";
        let mut socket = UdpSocket::bind(any_loopback_port()).map_err(LabError::system(FAILURE))?;
        let address = socket.local_addr().map_err(LabError::system(FAILURE))?;
        let entry = self.sources.vacant_entry();
        let key = entry.key();
        self.registry
            .register(&mut socket, Token(key), Interest::READABLE)
            .map_err(LabError::system(FAILURE))?;
        entry.insert(EventSource::Peer(PeerSocket {
            sender,
            receiver,
            socket,
        }));
        Ok(BoundSocket { key, address })
    }

    /// Accepts the next pending connection of a listener.
    pub(super) fn accept(&mut self, listener: usize) -> Option<TcpStream> {
        let Some(EventSource::Listener(listener)) = self.sources.get(listener) else {
            return None;
        };
        let (socket, _) = listener.socket.accept().ok()?;
        Some(socket)
    }

    /// Adds an accepted connection. Returns `None` if it can't be registered with the poll.
    pub(super) fn add_accepted(
        &mut self,
        socket: TcpStream,
        make_source: impl FnOnce(BufferedConnection) -> EventSource,
    ) -> Option<usize> {
        let entry = self.sources.vacant_entry();
        let key = entry.key();
        let connection = BufferedConnection::accepted(&self.registry, socket, Token(key)).ok()?;
        entry.insert(make_source(connection));
        Some(key)
    }

    /// Starts to connect to an address. Returns `None` if the operating system refuses.
    pub(super) fn connect(
        &mut self,
        address: SocketAddr,
        make_source: impl FnOnce(BufferedConnection) -> EventSource,
    ) -> Option<usize> {
        let entry = self.sources.vacant_entry();
        let key = entry.key();
        let connection = BufferedConnection::connect(&self.registry, address, Token(key)).ok()?;
        entry.insert(make_source(connection));
        Some(key)
    }

    /// Closes a listener that was removed, and deregisters it from the poll.
    pub(super) fn close_listener(&self, mut listener: Listener) {
        let _ = self.registry.deregister(&mut listener.socket);
    }

    /// Closes a datagram socket that was removed, and deregisters it from the poll.
    pub(super) fn close_peer_socket(&self, mut peer: PeerSocket) {
        let _ = self.registry.deregister(&mut peer.socket);
    }
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
