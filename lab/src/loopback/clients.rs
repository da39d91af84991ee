//! Clients on loopback: the front's connections to gateways, the ones that ask whether a gateway serves, and
//! those that send what cannot be read.

use super::wire::{bulk, Wire};
use super::{Place, Stage};
use crate::events::{ClientOutcome, ClientRequestId};
use crate::experiment::Idempotency;
use crate::record::RecordedRequest;
use mio::Token;
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::collections::VecDeque;
use std::time::Duration;

/// Connections of clients to one gateway, before calls are written one behind another.
const CONNECTIONS: usize = 64;
/// A bad client is owed an error or a close within so long.
const OWED: Duration = Duration::from_secs(3);

/// Who is at a connection.
#[derive(Clone, Copy, PartialEq)]
enum Who {
    Front,
    /// Asks whether the gateway serves.
    Ping,
    /// Sends what cannot be read, since then.
    Bad(Duration),
}

struct Sent {
    ask: ClientRequestId,
    /// Where its last byte stands among all that is put.
    end: u64,
    taken: bool,
}

pub struct Client {
    pub wire: Wire,
    gateway: usize,
    who: Who,
    open: VecDeque<Sent>,
    /// It has brought an answer: its next call may cross the gateway's closing it.
    used: bool,
}

/// What a server makes for an API call.
pub fn value(ask: ClientRequestId) -> String {
    format!("rendered {:016x}", u64::from(ask.0) + 1)
}

/// Bytes that no client should send; each is owed an error or a close.
const BAD: &[&[u8]] = &[
    b"GET / HTTP/1.1\r\n\r\n",
    b"*4\r\n$9\r\nSVC.QUERY\r\n$-7\r\n",
    b"*2\r\n$9999999999\r\nx\r\n",
    b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n000000000000000x\r\n$16\r\n0000000000000001\r\n$5\r\nc=1,d\r\n",
    b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000001\r\n$16\r\n0000000000000001\r\n$26\r\nc=none,t=none,d=9,units=NaN\r\n",
    b"*1000000\r\n",
    b"*1\r\n$4\r\nNONE\r\n",
    b"*4\r\n$9\r\nSVC.QU",
    b"\x00\xff\xfe\r\n",
];

impl Stage {
    fn connect(&mut self, gateway: usize, who: Who) -> Option<usize> {
        let entry = self.places.vacant_entry();
        let key = entry.key();
        let wire = Wire::connect(&self.registry, self.gateways[gateway].listen, Token(key)).ok()?;
        entry.insert(Place::Client(Client {
            wire,
            gateway,
            who,
            open: VecDeque::new(),
            used: false,
        }));
        if who == Who::Front {
            self.gateways[gateway].clients += 1;
        }
        Some(key)
    }

    /// Asks a gateway whether it serves yet.
    pub(super) fn ping(&mut self, gateway: usize) {
        if let Some(key) = self.connect(gateway, Who::Ping) {
            self.put(key, b"*1\r\n$4\r\nPING\r\n");
        }
    }

    pub(super) fn bad_clients(&mut self, count: usize) -> Result<(), String> {
        for place in 0..count {
            let gateway = place % self.gateways.len();
            if let Some(key) = self.connect(gateway, Who::Bad(self.now)) {
                self.bad.1 += 1;
                self.put(key, BAD[place % BAD.len()]);
            }
        }
        Ok(())
    }

    fn put(&mut self, key: usize, bytes: &[u8]) {
        if let Some(Place::Client(it)) = self.places.get_mut(key) {
            it.wire.put(bytes);
            self.written.push(key);
        }
    }

    /// A client asks: on a connection that is free, a new one, or behind others. `first`: not sent again after a
    /// connection was closed under it.
    pub(super) fn ask(&mut self, ask: ClientRequestId, first: bool) -> Result<(), String> {
        let it = self.world.request(ask);
        let (gateway, origin) = (it.gateway, self.world.operation(it.operation));
        let account = self.world.account(origin.account);
        let (route, plan) = (
            &self.world.experiment.routes[origin.route],
            &self.world.experiment.plans[account.plan],
        );
        if first && origin.retries == 0 {
            if let Some(recorder) = &mut self.recorder {
                let (plan, route) = (plan.name.clone(), route.name.clone());
                let (at, account, units) = (it.scheduled_at, account.name, origin.units);
                let noted = recorder.append(&RecordedRequest {
                    at,
                    account,
                    plan,
                    route,
                    units,
                });
                noted.map_err(|error| format!("the recording: {error}"))?;
            }
        }
        let wait = it.deadline.saturating_sub(self.now).as_millis().max(1);
        let mut list = format!("c={},t={},d={wait}", route.name, plan.name);
        if route.idempotency == Idempotency::Keyed {
            list.push_str(&format!(",k={:016x}", origin.key));
        }
        if origin.retries > 0 {
            list.push_str(",r=1");
        }
        list.push_str(&format!(
            ",units={},spread={},first={}",
            origin.units, account.gateway_count, account.first_gateway
        ));
        let verb = if route.idempotency == Idempotency::Idempotent {
            "SVC.QUERY"
        } else {
            "SVC.SUBMIT"
        };
        let id = format!("{:016x}", u64::from(ask.0) + 1);
        let mut words = vec![
            bulk(verb),
            bulk(format!("{:016x}", account.name)),
            bulk(id),
            bulk(list),
        ];
        words.extend(
            (route.idempotency != Idempotency::Idempotent).then(|| bulk("a track to render")),
        );
        let frame = OwnedFrame::Array(words);
        let free = loop {
            match self.gateways[gateway].idle.pop() {
                Some(key) if matches!(self.places.get(key), Some(Place::Client(_))) => {
                    break Some(key)
                }
                Some(_) => (),
                None => break None,
            }
        };
        let key = match free {
            Some(key) => Some(key),
            None if !self.world.accepts_connections(self.now, gateway) => None,
            None if self.gateways[gateway].clients < CONNECTIONS => {
                self.connect(gateway, Who::Front)
            }
            None => {
                let all = self.places.iter().filter_map(|(key, place)| match place {
                    Place::Client(it) if it.gateway == gateway && it.who == Who::Front => {
                        Some((it.open.len(), key))
                    }
                    _ => None,
                });
                all.min().map(|(_, key)| key)
            }
        };
        let Some(Place::Client(client)) = key.and_then(|key| self.places.get_mut(key)) else {
            self.world.on_request_not_accepted(self.now, ask);
            return Ok(());
        };
        client.wire.frame(&frame);
        client.open.push_back(Sent {
            ask,
            end: client.wire.put,
            taken: false,
        });
        if let Some(key) = key {
            self.asking.insert(ask, key);
            self.written.push(key);
        }
        Ok(())
    }

    /// What has been written whole is taken: an answer is owed.
    pub(super) fn taken(&mut self, key: usize) {
        let Some(Place::Client(client)) = self.places.get_mut(key) else {
            return;
        };
        let written = client.wire.written;
        for sent in client
            .open
            .iter_mut()
            .filter(|sent| !sent.taken && sent.end <= written)
        {
            sent.taken = true;
            self.world.on_request_accepted(self.now, sent.ask);
        }
    }

    /// The client of an API call has no patience left: its connection is closed, unless others wait there too.
    pub(super) fn leave(&mut self, ask: ClientRequestId) -> Result<(), String> {
        let Some(key) = self.asking.remove(&ask) else {
            return Ok(());
        };
        match self.places.get_mut(key) {
            Some(Place::Client(client)) if client.open.len() == 1 => {
                client.open.clear();
                self.close(key)
            }
            _ => Ok(()),
        }
    }

    pub(super) fn client_ready(&mut self, key: usize) -> Result<(), String> {
        let Some(Place::Client(client)) = self.places.get_mut(key) else {
            return Ok(());
        };
        let open = client.wire.read();
        let mut took = 0;
        let mut heard = Vec::new();
        let mut readable = true;
        while took < client.wire.input.len() {
            match decode(&client.wire.input[took..]) {
                Ok(Some((frame, length))) => {
                    took += length;
                    heard.push(frame);
                }
                Ok(None) => break,
                Err(_) => {
                    readable = false;
                    break;
                }
            }
        }
        client.wire.input.drain(..took);
        for frame in heard {
            if !self.heard(key, frame)? {
                return Ok(());
            }
        }
        if !open || !readable {
            return self.close(key);
        }
        Ok(())
    }

    /// One whole answer; false where its connection is no more.
    fn heard(&mut self, key: usize, frame: OwnedFrame) -> Result<bool, String> {
        let now = self.now;
        let Some(Place::Client(client)) = self.places.get_mut(key) else {
            return Ok(false);
        };
        let gateway = client.gateway;
        match client.who {
            Who::Ping => {
                if matches!(&frame, OwnedFrame::SimpleString(said) if said == b"PONG") {
                    self.gateways[gateway].ping = None;
                    self.world.on_gateway_ready(now, gateway);
                }
                self.close(key)?;
                return Ok(false);
            }
            Who::Bad(since) => {
                self.bad.0 +=
                    u64::from(!matches!(frame, OwnedFrame::Error(_)) || now > since + OWED);
                self.places_bad_done(key);
                self.close(key)?;
                return Ok(false);
            }
            Who::Front => (),
        }
        client.used = true;
        let Some(sent) = client.open.pop_front() else {
            self.crashes.push(format!(
                "gateway {gateway} at {:.3} s: an answer that nobody asked for",
                now.as_secs_f64()
            ));
            self.close(key)?;
            return Ok(false);
        };
        let free = client.open.is_empty();
        let right = |value: &OwnedFrame| matches!(value, OwnedFrame::BulkString(it) if *it == value_bytes(sent.ask));
        let (verdict, advice) = match &frame {
            OwnedFrame::BulkString(_) => (
                ClientOutcome::Served {
                    correct: right(&frame),
                },
                None,
            ),
            OwnedFrame::Array(parts)
                if matches!(parts.first(), Some(OwnedFrame::BulkString(_))) =>
            {
                (
                    ClientOutcome::Served {
                        correct: right(&parts[0]),
                    },
                    None,
                )
            }
            OwnedFrame::Error(said) if said.split(' ').next() == Some("BUSY") => {
                let wait = said.split(' ').nth(1).and_then(|it| it.parse().ok());
                (ClientOutcome::Rejected, wait.map(Duration::from_millis))
            }
            _ => (ClientOutcome::Failed, None),
        };
        if free {
            self.gateways[gateway].idle.push(key);
        }
        self.asking.remove(&sent.ask);
        self.world.on_final_answer(now, sent.ask, verdict, advice);
        Ok(true)
    }

    /// A bad client has got what it is owed: its end is not judged again.
    fn places_bad_done(&mut self, key: usize) {
        if let Some(Place::Client(client)) = self.places.get_mut(key) {
            client.who = Who::Ping;
        }
    }

    /// A connection has ended: what was open on it is lost, sent again or never was taken.
    pub(super) fn client_over(&mut self, key: usize, client: Client) -> Result<(), String> {
        let (now, gateway) = (self.now, client.gateway);
        match client.who {
            Who::Front => self.gateways[gateway].clients -= 1,
            Who::Bad(since) => self.bad.0 += u64::from(now > since + OWED),
            Who::Ping => (),
        }
        self.gateways[gateway].idle.retain(|idle| *idle != key);
        let (used, partly) = (client.used, !client.wire.input.is_empty());
        client.wire.close(&self.registry);
        for sent in client.open {
            self.asking.remove(&sent.ask);
            if !sent.taken || self.world.was_killed(gateway) {
                // The gateway took no such connection, or its process was killed.
                self.world.on_request_not_accepted(now, sent.ask);
            } else if used && !partly && !self.world.request(sent.ask).closed {
                // The gateway closed it between two calls, as it may; this one crossed that.
                self.ask(sent.ask, false)?;
            } else {
                self.world
                    .on_final_answer(now, sent.ask, ClientOutcome::Disconnected, None);
            }
        }
        Ok(())
    }

    /// Bad clients that were not answered in time have waited long enough.
    pub(super) fn bad_over(&mut self) -> Result<(), String> {
        let over = |place: &Place| match place {
            Place::Client(it) => matches!(it.who, Who::Bad(since) if since + OWED * 2 < self.now),
            _ => false,
        };
        let keys: Vec<usize> = self
            .places
            .iter()
            .filter(|(_, it)| over(it))
            .map(|(key, _)| key)
            .collect();
        keys.into_iter().try_for_each(|key| self.close(key))
    }
}

fn value_bytes(ask: ClientRequestId) -> Vec<u8> {
    value(ask).into_bytes()
}
