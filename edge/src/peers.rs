//! Datagrams between gateways, where the settings allow them. The controller sends none today and is told of none: what
//! comes is read and dropped, so that the socket's buffer does not stay full.

use crate::component::Component;
use crate::reactor::Reactor;
use mio::net::UdpSocket;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// The longest datagram that may be sent, in bytes.
const MAX_DATAGRAM: usize = 256;

/// The datagram socket and the addresses of the other gateways; without a socket nothing is sent.
#[derive(Default)]
pub(crate) struct Peers {
    socket: Option<UdpSocket>,
    /// The gateways by their numbers.
    addresses: Vec<SocketAddr>,
    /// The address that reaches all of them.
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Opens the socket.
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

    /// Sends a datagram to one gateway by its number, or to all. It may be lost, also here.
    pub(crate) fn send(&self, peer: Option<u32>, body: &[u8]) {
        let address = match peer {
            Some(number) => self.addresses.get(number as usize).copied(),
            None => self.broadcast,
        };
        if body.len() > MAX_DATAGRAM {
            return;
        }
        if let (Some(socket), Some(address)) = (&self.socket, address) {
            let _ = socket.send_to(body, address);
        }
    }

    /// Reads and drops what has come.
    pub(crate) fn discard_incoming(&mut self, reactor: &mut Reactor) {
        if let Some(socket) = &self.socket {
            while socket.recv_from(&mut reactor.scratch).is_ok() {}
        }
    }
}
