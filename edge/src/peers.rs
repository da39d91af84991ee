//! Datagrams between gateways, if the settings allow them. The admission controller neither sends nor receives any at
//! present. Incoming datagrams are read and dropped, so that the socket's buffer does not stay full.

use crate::component::Component;
use crate::reactor::Reactor;
use mio::net::UdpSocket;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// The maximum size of a datagram that is sent, in bytes. Larger ones are dropped.
const MAX_DATAGRAM_BYTES: usize = 256;

/// How many datagrams are read in one event loop iteration. The others are read in the next one, so that a flood of
/// datagrams keeps the gateway from nothing else.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;

/// The datagram socket and the addresses of the other gateways. Without a socket, nothing is sent.
#[derive(Default)]
pub(crate) struct Peers {
    socket: Option<UdpSocket>,
    /// The addresses of the gateways by gateway index.
    addresses: Vec<SocketAddr>,
    /// The address that reaches all gateways.
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Opens the socket on the address `listen` and registers it with the poll.
    pub(crate) fn open(
        reactor: &mut Reactor,
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> io::Result<Peers> {
        let mut socket = UdpSocket::bind(listen)?;
        let token = Component::Peers.token(0);
        reactor
            .registry
            .register(&mut socket, token, Interest::READABLE)?;
        Ok(Peers {
            socket: Some(socket),
            addresses,
            broadcast,
        })
    }

    /// Sends a datagram to the gateway with index `peer`, or to all gateways if `peer` is `None`. Delivery is not
    /// guaranteed: a datagram that can't be sent is dropped without an error.
    pub(crate) fn send(&self, peer: Option<u32>, body: &[u8]) {
        let address = match peer {
            Some(index) => self.addresses.get(index as usize).copied(),
            None => self.broadcast,
        };
        if body.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        if let (Some(socket), Some(address)) = (&self.socket, address) {
            let _ = socket.send_to(body, address);
        }
    }

    /// Reads and drops the datagrams that have arrived, up to `MAX_DATAGRAMS_PER_ITERATION`; the others in the next
    /// iteration.
    pub(crate) fn discard_incoming(&mut self, reactor: &mut Reactor) {
        let Some(socket) = &self.socket else { return };
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            if socket.recv_from(&mut reactor.scratch).is_err() {
                return;
            }
        }
        reactor.defer_read(Component::Peers.token(0));
    }
}

#[cfg(test)]
mod tests;
