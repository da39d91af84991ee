//! Datagrams between gateways on loopback: each goes through the world, which may lose it, delay it or find the
//! two cut off from each other.

use super::{Place, Stage};
use mio::net::UdpSocket;
use mio::{Interest, Token};
use std::net::SocketAddr;

/// The longest that a gateway may send.
const LONGEST: usize = 256;

impl Stage {
    fn peer_socket(
        &mut self,
        from: usize,
        to: Option<usize>,
    ) -> Result<(usize, SocketAddr), String> {
        let said = |error: std::io::Error| format!("no socket on loopback: {error}");
        let mut socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(said)?;
        let at = socket.local_addr().map_err(said)?;
        let entry = self.places.vacant_entry();
        let key = entry.key();
        self.registry
            .register(&mut socket, Token(key), Interest::READABLE)
            .map_err(said)?;
        entry.insert(Place::Peer { from, to, socket });
        Ok((key, at))
    }

    /// A socket from each gateway to each other one, and one to all.
    pub(super) fn open_peers(&mut self) -> Result<(), String> {
        for from in 0..self.gateways.len() {
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                let socket = self.peer_socket(from, Some(to))?;
                self.gateways[from].peers.push(socket);
            }
            let all = self.peer_socket(from, None)?;
            self.gateways[from].all = Some(all);
        }
        Ok(())
    }

    /// Takes what a gateway has sent, and has it fly.
    pub(super) fn datagrams(&mut self, key: usize) {
        let mut bytes = [0; 2048];
        loop {
            let Some(Place::Peer { from, to, socket }) = self.places.get(key) else {
                return;
            };
            let (from, to) = (*from, *to);
            let Ok((length, _)) = socket.recv_from(&mut bytes) else {
                return;
            };
            if length > LONGEST {
                let at = self.now.as_secs_f64();
                self.crashes.push(format!(
                    "gateway {from} at {at:.3} s: a datagram of {length} bytes"
                ));
                continue;
            }
            let others = 0..self.gateways.len();
            for other in others.filter(|other| *other != from && to.is_none_or(|to| to == *other)) {
                if let Some(late) = self.world.on_datagram(self.now, from, other) {
                    self.serial += 1;
                    let when = (self.now + late, self.serial);
                    self.flying
                        .insert(when, (from, other, bytes[..length].to_vec()));
                }
            }
        }
    }

    /// Datagrams that arrive by now come from the address by which their gateway knows the sender.
    pub(super) fn land(&mut self) {
        while let Some(entry) = self
            .flying
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (from, to, bytes) = entry.remove();
            let place = if from < to { from } else { from - 1 };
            let Some((key, _)) = self.gateways[to].peers.get(place) else {
                continue;
            };
            if let Some(Place::Peer { socket, .. }) = self.places.get(*key) {
                let _ = socket.send_to(&bytes, self.gateways[to].peer_listen);
            }
        }
    }
}
