//! Datagrams between gateways on loopback: each goes through the world, which may lose it, delay it or find the
//! two cut off from each other.

use super::event_sources::EventSource;
use super::run::LoopbackRun;
use crate::error::LabError;
use std::time::Duration;

/// The longest datagram that a gateway may send, in bytes.
const MAX_DATAGRAM: usize = 256;

/// Datagrams are read up to so many bytes, so that one that is too long is seen as such.
const RECEIVE_BUFFER: usize = 2048;

/// When a datagram arrives; those of one moment in the order in which they were sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DatagramKey {
    pub(super) arrives_at: Duration,
    serial: u64,
}

/// A datagram that is under way.
pub(super) struct Datagram {
    sender: usize,
    receiver: usize,
    body: Vec<u8>,
}

impl LoopbackRun {
    /// Opens a socket from each gateway to each other one, and one to all.
    pub(super) fn open_peer_sockets(&mut self) -> Result<(), LabError> {
        let count = self.gateways.len();
        for sender in 0..count {
            for receiver in (0..count).filter(|receiver| *receiver != sender) {
                let socket = self.sources.bind_peer_socket(sender, Some(receiver))?;
                self.gateways[sender].peer_sockets.push(socket);
            }
            let socket = self.sources.bind_peer_socket(sender, None)?;
            self.gateways[sender].broadcast_socket = Some(socket);
        }
        Ok(())
    }

    /// Takes the datagrams that a gateway has sent to a socket, and sends them on their way.
    pub(super) fn on_peer_socket_ready(&mut self, key: usize) {
        let mut bytes = [0; RECEIVE_BUFFER];
        loop {
            let Some(EventSource::Peer(peer)) = self.sources.get(key) else {
                return;
            };
            let sender = peer.sender;
            let addressed = peer.receiver;
            let Ok((length, _)) = peer.socket.recv_from(&mut bytes) else {
                return;
            };
            if length > MAX_DATAGRAM {
                self.report_crash(sender, &format!("a datagram of {length} bytes"));
                continue;
            }
            for receiver in 0..self.gateways.len() {
                let is_addressed = addressed.is_none_or(|addressed| addressed == receiver);
                if receiver != sender && is_addressed {
                    self.send_datagram(sender, receiver, &bytes[..length]);
                }
            }
        }
    }

    fn send_datagram(&mut self, sender: usize, receiver: usize, body: &[u8]) {
        let Some(delay) = self.world.on_datagram(self.now, sender, receiver) else {
            return;
        };
        self.last_datagram += 1;
        let key = DatagramKey {
            arrives_at: self.now + delay,
            serial: self.last_datagram,
        };
        let datagram = Datagram {
            sender,
            receiver,
            body: body.to_vec(),
        };
        self.datagrams.insert(key, datagram);
    }

    /// Hands over the datagrams that arrive by now, each from the address by which its receiver knows the sender.
    pub(super) fn deliver_datagrams(&mut self) {
        while let Some(first) = self.datagrams.first_entry() {
            if first.key().arrives_at > self.now {
                return;
            }
            let datagram = first.remove();
            self.deliver_datagram(&datagram);
        }
    }

    fn deliver_datagram(&self, datagram: &Datagram) {
        let receiver = &self.gateways[datagram.receiver];
        // A gateway has no socket to itself, so those of later ones are one further to the front.
        let index = if datagram.sender < datagram.receiver {
            datagram.sender
        } else {
            datagram.sender - 1
        };
        let Some(bound) = receiver.peer_sockets.get(index) else {
            return;
        };
        if let Some(EventSource::Peer(peer)) = self.sources.get(bound.key) {
            let _ = peer.socket.send_to(&datagram.body, receiver.peer_address);
        }
    }
}
