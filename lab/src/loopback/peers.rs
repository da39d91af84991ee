//! The datagrams between gateways on loopback. Each passes through the world, which decides whether and when it
//! arrives: a datagram can be delayed, lost, or blocked by a network partition.

use super::event_sources::EventSource;
use super::run::LoopbackRun;
use crate::error::LabError;
use std::time::Duration;

/// The maximum length of a datagram from a gateway.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The size of the receive buffer. It is larger than `MAX_DATAGRAM_BYTES`, so that longer datagrams are detected.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// The order in which datagrams arrive: by arrival time, and for the same time in the order of sending.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DatagramKey {
    pub(super) arrives_at: Duration,
    sequence_number: u64,
}

/// A datagram in transit.
pub(super) struct Datagram {
    sender: usize,
    receiver: usize,
    body: Vec<u8>,
}

impl LoopbackRun {
    /// Opens the sockets that the gateways send datagrams to: for each gateway, one for each other gateway and one for
    /// all others.
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

    /// Receives the datagrams that a gateway has sent to a socket, and forwards them through the world.
    pub(super) fn on_peer_socket_ready(&mut self, key: usize) {
        let mut bytes = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let Some(EventSource::Peer(peer)) = self.sources.get(key) else {
                return;
            };
            let sender = peer.sender;
            let addressee = peer.receiver;
            let Ok((length, _)) = peer.socket.recv_from(&mut bytes) else {
                return;
            };
            if length > MAX_DATAGRAM_BYTES {
                let description = format!(
                    "sent a datagram of {length} bytes, expected at most {MAX_DATAGRAM_BYTES}"
                );
                self.report_crash(sender, &description);
                continue;
            }
            for receiver in 0..self.gateways.len() {
                let is_addressed = addressee.is_none_or(|addressee| addressee == receiver);
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
            sequence_number: self.last_datagram,
        };
        let datagram = Datagram {
            sender,
            receiver,
            body: body.to_vec(),
        };
        self.datagrams.insert(key, datagram);
    }

    /// Delivers the datagrams that are due. Each is sent from the address that its receiver has for the sender.
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
        // A gateway has no socket for itself, so the sockets for gateways with higher numbers are one index lower.
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
