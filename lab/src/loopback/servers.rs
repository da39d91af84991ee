//! App servers on loopback: each gateway meets each server at a door of its own.

use super::wire::{bulk, encoded, Turns, Wire};
use super::{clients, Place, Stage};
use crate::events::{AttemptId, ClientRequestId, ServerId};
use crate::node_settings::{self, ListedServer};
use crate::world::server::ListingState;
use crate::world::{AttemptArrival, EndpointChange, ServerResponse};
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use serde_json::Value;
use std::time::Duration;

pub struct Upstream {
    pub wire: Wire,
    gateway: usize,
    pub server: ServerId,
    /// Nothing has come on it yet: the first command pays for the handshake.
    fresh: bool,
    turns: Turns<AttemptId>,
    /// When something came or went on it last.
    used: Duration,
}

impl Upstream {
    pub fn new(wire: Wire, gateway: usize, server: ServerId, used: Duration) -> Upstream {
        Upstream {
            wire,
            gateway,
            server,
            fresh: true,
            turns: Turns::default(),
            used,
        }
    }
}

fn words(frame: OwnedFrame) -> Option<Vec<Vec<u8>>> {
    let OwnedFrame::Array(parts) = frame else {
        return None;
    };
    let word = |part| match part {
        OwnedFrame::BulkString(word) => Some(word),
        _ => None,
    };
    parts.into_iter().map(word).collect()
}

/// The API call that a command carries.
fn asked(words: &[Vec<u8>]) -> Option<ClientRequestId> {
    let id = std::str::from_utf8(words.get(2)?).ok()?;
    let number = u64::from_str_radix(id, 16).ok()?.checked_sub(1)?;
    u32::try_from(number).ok().map(ClientRequestId)
}

/// What a server writes.
fn said(says: ServerResponse, ask: ClientRequestId) -> Vec<u8> {
    let value = clients::value(ask);
    let good = |units: Option<f64>, load: String| {
        let figures = units.map_or(OwnedFrame::Null, |units| bulk(format!("cost={units}")));
        let load = if load.is_empty() {
            OwnedFrame::Null
        } else {
            bulk(load)
        };
        encoded(&OwnedFrame::Array(vec![bulk(value.clone()), figures, load]))
    };
    match says {
        ServerResponse::Success { units, load } => {
            good(units, load.map(|load| load.to_string()).unwrap_or_default())
        }
        ServerResponse::Busy => b"-BUSY\r\n".to_vec(),
        ServerResponse::Failed => b"-ERR failed\r\n".to_vec(),
        ServerResponse::Malformed(0) => b"\x07\x00\xffnoise\r\n".to_vec(),
        ServerResponse::Malformed(1) => vec![b'*'; 2000],
        ServerResponse::Malformed(2) => {
            b"*3\r\n$5\r\nrendered more than that\r\n$-1\r\n$-1\r\n".to_vec()
        }
        ServerResponse::Malformed(3) => b"*3\r\n$3000000000\r\nrendered".to_vec(),
        ServerResponse::Malformed(4) => {
            [good(None, String::new()), good(None, String::new())].concat()
        }
        ServerResponse::Malformed(_) => [
            good(None, "inflight=x,queue=-,util".into()),
            b"noise\r\n".to_vec(),
        ]
        .concat(),
    }
}

impl Stage {
    pub(super) fn open_door(&mut self, gateway: usize, server: ServerId) -> Result<(), String> {
        let (key, at) = self.door(|door| Place::ServerDoor {
            gateway,
            server,
            door,
        })?;
        self.gateways[gateway].doors.insert(server, (key, at));
        Ok(())
    }

    /// Lines of the list as one gateway is told them.
    pub(super) fn lines(&self, gateway: usize, changes: &[EndpointChange]) -> Vec<Value> {
        let line = |change: &EndpointChange| {
            let it = self.world.server(change.server);
            let door = self.gateways[gateway].doors.get(&change.server);
            let endpoint = door.map_or(String::new(), |(_, at)| at.to_string());
            let state = match change.state {
                ListingState::Active => "active",
                ListingState::Draining => "leaving",
                ListingState::Removed => "left",
            };
            let zone = node_settings::zone_name(it.zone);
            let started_ms = change.started_at.map_or(0, |at| self.clock.unix_ms(at));
            let (uid, kind, cell) = (it.name.as_str(), it.machine_type.as_str(), it.cell);
            ListedServer {
                uid,
                endpoint: &endpoint,
                zone: &zone,
                kind,
                cell,
                state,
                started_ms,
            }
            .json()
        };
        changes.iter().map(line).collect()
    }

    /// A server's process has ended: its doors are shut and its connections end.
    pub(super) fn down(&mut self, server: ServerId) -> Result<(), String> {
        for gateway in 0..self.gateways.len() {
            if let Some((key, _)) = self.gateways[gateway].doors.remove(&server) {
                self.close(key)?;
            }
        }
        let of = |place: &Place| matches!(place, Place::Upstream(it) if it.server == server);
        let keys: Vec<usize> = self
            .places
            .iter()
            .filter(|(_, it)| of(it))
            .map(|(key, _)| key)
            .collect();
        keys.into_iter().try_for_each(|key| self.close(key))
    }

    pub(super) fn upstream_ready(&mut self, key: usize) -> Result<(), String> {
        let Some(Place::Upstream(it)) = self.places.get_mut(key) else {
            return Ok(());
        };
        let open = it.wire.read();
        it.used = self.now;
        let (gateway, server) = (it.gateway, it.server);
        let (mut took, mut wrong) = (0, false);
        let mut commands = Vec::new();
        while took < it.wire.input.len() && !wrong {
            match decode(&it.wire.input[took..]) {
                Ok(Some((frame, length))) => {
                    took += length;
                    commands.push(words(frame).unwrap_or_default());
                }
                Ok(None) => break,
                Err(_) => wrong = true,
            }
        }
        it.wire.input.drain(..took);
        for words in commands {
            wrong |= !self.command(key, gateway, server, &words)?;
        }
        if wrong {
            let at = self.now.as_secs_f64();
            self.crashes.push(format!(
                "gateway {gateway} at {at:.3} s: sent what no client asked"
            ));
        }
        if !open || wrong {
            return self.close(key);
        }
        Ok(())
    }

    /// One command; false where no client sent one like it.
    fn command(
        &mut self,
        key: usize,
        gateway: usize,
        server: ServerId,
        words: &[Vec<u8>],
    ) -> Result<bool, String> {
        let verb = words
            .first()
            .map(|word| word.to_ascii_uppercase())
            .unwrap_or_default();
        let at_once = match verb.as_slice() {
            b"PING" => b"+PONG\r\n".as_slice(),
            b"CLIENT" | b"SELECT" => b"+OK\r\n",
            b"INFO" if words.get(1).is_some_and(|word| word == b"load") => {
                return Ok(self.probed(key, server))
            }
            b"SVC.QUERY" | b"SVC.SUBMIT" => {
                let Some(ask) = asked(words).filter(|ask| self.world.knows_request(*ask)) else {
                    return Ok(false);
                };
                let terms = words
                    .get(3)
                    .and_then(|list| std::str::from_utf8(list).ok())
                    .unwrap_or_default();
                let wait = terms
                    .split(',')
                    .find_map(|pair| pair.strip_prefix("d=")?.parse().ok());
                let Some(wait) = wait.map(Duration::from_millis) else {
                    return Ok(false);
                };
                self.world
                    .rule_checker
                    .on_advertised_timeout(self.now, ask, gateway, wait);
                let Some(Place::Upstream(it)) = self.places.get_mut(key) else {
                    return Ok(true);
                };
                let fresh = std::mem::replace(&mut it.fresh, false);
                let mut actions = Vec::new();
                let of = self.world.on_attempt_arrival(
                    self.now,
                    AttemptArrival {
                        gateway,
                        server,
                        request: ask,
                        fresh_connection: fresh,
                    },
                    &mut actions,
                );
                if let Some(Place::Upstream(it)) = self.places.get_mut(key) {
                    it.turns.asked(of);
                }
                self.trying.insert(of, key);
                self.carry(actions)?;
                return Ok(true);
            }
            _ => return Ok(false),
        };
        if let Some(Place::Upstream(it)) = self.places.get_mut(key) {
            it.wire.put(at_once);
            self.written.push(key);
        }
        Ok(true)
    }

    /// A probe: answered with the server's load where the settings allow that.
    fn probed(&mut self, key: usize, server: ServerId) -> bool {
        let said = match self.world.on_load_probe(self.now, server) {
            Some(load) => encoded(&bulk(load.to_string())),
            None => b"-NOPERM\r\n".to_vec(),
        };
        if let Some(Place::Upstream(it)) = self.places.get_mut(key) {
            it.wire.put(&said);
            self.written.push(key);
        }
        true
    }

    pub(super) fn reply(&mut self, of: AttemptId, says: ServerResponse) -> Result<(), String> {
        let ask = self.world.attempt(of).request;
        let Some(key) = self.trying.remove(&of) else {
            return Ok(());
        };
        if let Some(Place::Upstream(it)) = self.places.get_mut(key) {
            let out = it.turns.answered(of, said(says, ask));
            it.wire.put(&out);
            it.used = self.now;
            self.written.push(key);
        }
        Ok(())
    }

    /// Connections that have stood idle for the time that a server keeps them are closed by it.
    pub(super) fn close_idle(&mut self) -> Result<(), String> {
        let keep = Duration::from_secs_f64(self.world.experiment.fleet.idle_timeout);
        let old = |place: &Place| match place {
            Place::Upstream(it) => it.turns.open().next().is_none() && it.used + keep <= self.now,
            _ => false,
        };
        let keys: Vec<usize> = self
            .places
            .iter()
            .filter(|(_, it)| old(it))
            .map(|(key, _)| key)
            .collect();
        keys.into_iter().try_for_each(|key| self.close(key))
    }

    pub(super) fn upstream_over(&mut self, it: Upstream) {
        for of in it.turns.open() {
            self.trying.remove(&of);
            self.world.on_attempt_abandoned(self.now, of);
        }
        self.world.on_disconnect(it.server);
        it.wire.close(&self.registry);
    }
}
