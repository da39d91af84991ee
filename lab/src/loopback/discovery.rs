//! Discovery on loopback: the list and watches over HTTP/1.1, for each gateway what it has been sent.

use super::wire::Wire;
use super::{Place, Stage};
use crate::node_settings;
use std::time::Duration;

pub struct Watcher {
    pub wire: Wire,
    gateway: usize,
    pub door: usize,
    /// A watch that waits: what it knows, and until when it waits.
    waiting: Option<(usize, Duration)>,
}

impl Watcher {
    pub fn new(wire: Wire, gateway: usize, door: usize) -> Watcher {
        Watcher {
            wire,
            gateway,
            door,
            waiting: None,
        }
    }
}

/// What a request wants: the whole list, or what is newer than a version.
#[derive(Debug, PartialEq)]
enum Wanted {
    Whole,
    After(usize, Duration),
}

/// Takes a request off the front: what it wants and its length; an error where it is none.
fn request(bytes: &[u8]) -> Result<Option<(Wanted, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes).map_err(|error| error.to_string())? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return Ok(None),
    };
    let path = head.path.unwrap_or("");
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    if (head.method, path) != (Some("GET"), "/registry/instances") {
        return Err(format!("no such thing: {path}"));
    }
    let value = |name: &str| {
        let pair = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name);
        pair.and_then(|pair| pair.1.parse::<u64>().ok())
    };
    let wanted = match value("after") {
        Some(after) => {
            let wait = Duration::from_millis(value("wait_ms").unwrap_or(0).min(60_000));
            Wanted::After(after as usize, wait)
        }
        None => Wanted::Whole,
    };
    Ok(Some((wanted, length)))
}

impl Stage {
    pub(super) fn discovery_ready(&mut self, key: usize) -> Result<(), String> {
        let Some(Place::Discovery(watcher)) = self.places.get_mut(key) else {
            return Ok(());
        };
        let open = watcher.wire.read();
        loop {
            let Some(Place::Discovery(watcher)) = self.places.get_mut(key) else {
                return Ok(());
            };
            let gateway = watcher.gateway;
            match request(&watcher.wire.input) {
                Ok(None) => break,
                Err(_) => {
                    watcher
                        .wire
                        .put(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                    watcher.wire.input.clear();
                    self.written.push(key);
                    break;
                }
                Ok(Some((wanted, length))) => {
                    watcher.wire.input.drain(..length);
                    let upto = self.world.notified_change_count(gateway);
                    match wanted {
                        Wanted::After(after, wait) if after == upto => {
                            watcher.waiting = Some((after, self.now + wait));
                        }
                        Wanted::After(after, _) if after < upto => self.list_to(key, Some(after)),
                        _ => self.list_to(key, None),
                    }
                }
            }
        }
        if !open {
            return self.close(key);
        }
        Ok(())
    }

    /// Answers with the changes since a version, or with the whole list.
    fn list_to(&mut self, key: usize, after: Option<usize>) {
        let Some(Place::Discovery(watcher)) = self.places.get_mut(key) else {
            return;
        };
        watcher.waiting = None;
        let gateway = watcher.gateway;
        let upto = self.world.notified_change_count(gateway);
        let changes = match after {
            Some(after) => self.world.endpoint_changes(after..upto),
            None => self.world.endpoint_list_after(upto),
        };
        let body = node_settings::list(upto as u64, after.is_none(), self.lines(gateway, &changes))
            .to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if let Some(Place::Discovery(watcher)) = self.places.get_mut(key) {
            watcher.wire.put(head.as_bytes());
            watcher.wire.put(body.as_bytes());
            self.written.push(key);
        }
        self.world.on_gateway_notified(self.now, gateway, &changes);
    }

    fn watches(&self, which: impl Fn(&Watcher, usize, Duration) -> bool) -> Vec<(usize, usize)> {
        let all = self.places.iter().filter_map(|(key, place)| match place {
            Place::Discovery(it) => it
                .waiting
                .filter(|(after, until)| which(it, *after, *until))
                .map(|w| (key, w.0)),
            _ => None,
        });
        all.collect()
    }

    /// Something is to be told to a gateway: its watch ends.
    pub(super) fn tell(&mut self, gateway: usize) {
        let upto = self.world.notified_change_count(gateway);
        for (key, after) in self.watches(|it, after, _| it.gateway == gateway && after < upto) {
            self.list_to(key, Some(after));
        }
    }

    /// Watches that have waited as long as they wanted to.
    pub(super) fn watches_over(&mut self) {
        let now = self.now;
        for (key, after) in self.watches(|_, _, until| until <= now) {
            self.list_to(key, Some(after));
        }
    }

    /// The day's clock begins: watches wait on from its first moment.
    pub(super) fn rebase_watches(&mut self) {
        for (_, place) in &mut self.places {
            if let Place::Discovery(it) = place {
                it.waiting = it.waiting.map(|(after, _)| (after, Duration::from_secs(5)));
            }
        }
    }
}

#[cfg(test)]
mod tests;
