//! The sockets of a run on loopback: what an event of the poll is about, by its token.

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

/// One thing that the poll has events of.
pub(super) enum EventSource {
    /// Signals that tell the laboratory to stop.
    Signals,
    Listener(Listener),
    Peer(PeerSocket),
    Client(ClientConnection),
    Server(ServerConnection),
    Counter(CounterConnection),
    Discovery(DiscoveryConnection),
}

impl EventSource {
    /// Its connection, if it is one.
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

/// What one gateway meets at an address of its own.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum ListenerPurpose {
    Server(ServerId),
    Counter,
    Discovery,
}

/// A socket that a stand-in accepts connections of one gateway at.
pub(super) struct Listener {
    pub(super) gateway: usize,
    pub(super) purpose: ListenerPurpose,
    socket: TcpListener,
}

/// A socket that takes datagrams of one gateway, for another one or (`receiver`: none) for all others.
pub(super) struct PeerSocket {
    pub(super) sender: usize,
    pub(super) receiver: Option<usize>,
    pub(super) socket: UdpSocket,
}

/// A socket with an address of its own.
#[derive(Clone, Copy, Debug)]
pub(super) struct BoundSocket {
    /// The key of its source.
    pub(super) key: usize,
    pub(super) address: SocketAddr,
}

/// All sources by their keys, which are their tokens in the poll.
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

    /// All sources with their keys, in the order of these.
    pub(super) fn iter(&self) -> impl Iterator<Item = (usize, &EventSource)> {
        self.sources.iter()
    }

    /// The keys of the sources that are wanted, in their order.
    pub(super) fn find_keys(&self, is_wanted: impl Fn(&EventSource) -> bool) -> Vec<usize> {
        self.iter()
            .filter(|(_, source)| is_wanted(source))
            .map(|(key, _)| key)
            .collect()
    }

    /// Takes a source out; its socket is still registered.
    pub(super) fn remove(&mut self, key: usize) -> Option<EventSource> {
        self.sources.try_remove(key)
    }

    pub(super) fn add_signals(&mut self, signals: &mut Signals) -> Result<(), LabError> {
        let token = Token(self.sources.insert(EventSource::Signals));
        let registered = self.registry.register(signals, token, Interest::READABLE);
        registered.map_err(LabError::system("signals"))
    }

    /// Listens on a free port.
    pub(super) fn listen(
        &mut self,
        gateway: usize,
        purpose: ListenerPurpose,
    ) -> Result<BoundSocket, LabError> {
        const OPERATION: &str = "no listener on loopback";
        let mut socket =
            TcpListener::bind(any_loopback_port()).map_err(LabError::system(OPERATION))?;
        let address = socket.local_addr().map_err(LabError::system(OPERATION))?;
        let entry = self.sources.vacant_entry();
        let key = entry.key();
        self.registry
            .register(&mut socket, Token(key), Interest::READABLE)
            .map_err(LabError::system(OPERATION))?;
        entry.insert(EventSource::Listener(Listener {
            gateway,
            purpose,
            socket,
        }));
        Ok(BoundSocket { key, address })
    }

    /// Binds a socket for datagrams to a free port.
    pub(super) fn bind_peer_socket(
        &mut self,
        sender: usize,
        receiver: Option<usize>,
    ) -> Result<BoundSocket, LabError> {
        const OPERATION: &str = "no socket on loopback";
        let mut socket =
            UdpSocket::bind(any_loopback_port()).map_err(LabError::system(OPERATION))?;
        let address = socket.local_addr().map_err(LabError::system(OPERATION))?;
        let entry = self.sources.vacant_entry();
        let key = entry.key();
        self.registry
            .register(&mut socket, Token(key), Interest::READABLE)
            .map_err(LabError::system(OPERATION))?;
        entry.insert(EventSource::Peer(PeerSocket {
            sender,
            receiver,
            socket,
        }));
        Ok(BoundSocket { key, address })
    }

    /// Accepts the next connection that waits at a listener.
    pub(super) fn accept(&mut self, listener: usize) -> Option<TcpStream> {
        let Some(EventSource::Listener(listener)) = self.sources.get(listener) else {
            return None;
        };
        let (socket, _) = listener.socket.accept().ok()?;
        Some(socket)
    }

    /// Adds an accepted connection; none where the system does not take it into the poll.
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

    /// Begins to connect to an address; none where the system refuses.
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

    /// Takes a listener that was removed out of the poll.
    pub(super) fn close_listener(&self, mut listener: Listener) {
        let _ = self.registry.deregister(&mut listener.socket);
    }

    /// Takes a socket for datagrams that was removed out of the poll.
    pub(super) fn close_peer_socket(&self, mut peer: PeerSocket) {
        let _ = self.registry.deregister(&mut peer.socket);
    }
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
