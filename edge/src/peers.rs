//! Datagrams between gateways, where the settings allow them. The decisions send none today and are told of
//! none: what comes is read and dropped, so that the socket's buffer does not stay full.

use crate::component::Component;
use crate::reactor::Reactor;
use mio::net::UdpSocket;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// The longest datagram that may be sent.
const LONGEST: usize = 256;

#[derive(Default)]
pub struct Peers {
    socket: Option<UdpSocket>,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub fn listen(
        reactor: &mut Reactor,
        at: SocketAddr,
        each: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) -> io::Result<Peers> {
        let mut socket = UdpSocket::bind(at)?;
        reactor
            .registry
            .register(&mut socket, Component::Peers.token(0), Interest::READABLE)?;
        Ok(Peers {
            socket: Some(socket),
            each,
            all,
        })
    }

    /// To one gateway by its number, or to all. A datagram may be lost, also here.
    pub fn tell(&self, peer: Option<u32>, body: &[u8]) {
        let to = peer.map_or(self.all, |peer| self.each.get(peer as usize).copied());
        if let (Some(socket), Some(to), true) = (&self.socket, to, body.len() <= LONGEST) {
            let _ = socket.send_to(body, to);
        }
    }

    pub fn ready(&mut self, reactor: &mut Reactor) {
        if let Some(socket) = &self.socket {
            while socket.recv_from(&mut reactor.scratch).is_ok() {}
        }
    }
}
