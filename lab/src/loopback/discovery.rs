//! Discovery on loopback: the endpoint list and watches of its changes over HTTP/1.1, for each gateway what it
//! has been notified of.

use super::buffered_connection::{BufferedConnection, ConnectionState};
use super::event_sources::EventSource;
use super::run::LoopbackRun;
use crate::error::LabError;
use crate::node_settings;
use std::time::Duration;

const INSTANCES_PATH: &str = "/registry/instances";

/// A request has so many headers at most.
const MAX_HEADERS: usize = 32;

/// The longest that a watch waits.
const MAX_WAIT_MS: u64 = 60_000;

/// How long watches that were opened before the run began still wait from its first moment on.
const WAIT_AFTER_BEGIN: Duration = Duration::from_secs(5);

const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// A gateway's connection to discovery.
pub(super) struct DiscoveryConnection {
    pub(super) connection: BufferedConnection,
    gateway: usize,
    /// The listener that it came in at.
    pub(super) listener: usize,
    watch: Option<Watch>,
}

impl DiscoveryConnection {
    pub(super) fn new(
        connection: BufferedConnection,
        gateway: usize,
        listener: usize,
    ) -> DiscoveryConnection {
        DiscoveryConnection {
            connection,
            gateway,
            listener,
            watch: None,
        }
    }
}

/// A request that waits for changes.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Watch {
    /// The version that the gateway knows.
    known: usize,
    /// When it is answered in any case.
    deadline: Duration,
}

/// A watch and the connection that it waits on.
struct OpenWatch {
    key: usize,
    known: usize,
}

/// What a request is for.
#[derive(Debug, PartialEq)]
enum ListRequest {
    /// The whole list.
    Snapshot,
    /// The changes since a version; if there are none, those that come within a span.
    Watch { known: usize, max_wait: Duration },
}

/// A request and how many bytes it takes.
#[derive(Debug, PartialEq)]
struct ParsedRequest {
    request: ListRequest,
    length: usize,
}

/// Why bytes are no request for the list.
#[derive(Debug, PartialEq, thiserror::Error)]
enum InvalidRequest {
    #[error(transparent)]
    Http(#[from] httparse::Error),
    #[error("no such resource: {0}")]
    NotFound(String),
}

/// Parses the request at the front of a buffer; none where it is not whole.
fn parse_request(bytes: &[u8]) -> Result<Option<ParsedRequest>, InvalidRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return Ok(None),
    };
    let target = head.path.unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if head.method != Some("GET") || path != INSTANCES_PATH {
        return Err(InvalidRequest::NotFound(path.to_string()));
    }
    let request = match query_number(query, "after") {
        Some(known) => {
            let wait_ms = query_number(query, "wait_ms").unwrap_or(0);
            ListRequest::Watch {
                known: known as usize,
                max_wait: Duration::from_millis(wait_ms.min(MAX_WAIT_MS)),
            }
        }
        None => ListRequest::Snapshot,
    };
    Ok(Some(ParsedRequest { request, length }))
}

/// The number that a query gives for a name.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(found, _)| *found == name)?;
    value.parse().ok()
}

impl LoopbackRun {
    pub(super) fn on_discovery_readable(&mut self, key: usize) -> Result<(), LabError> {
        let Some(discovery) = self.sources.discovery_mut(key) else {
            return Ok(());
        };
        let state = discovery.connection.read();
        while self.serve_list_request(key) {}
        match state {
            ConnectionState::Open => Ok(()),
            ConnectionState::Closed => self.close(key),
        }
    }

    /// Serves the next request of a connection; false where none is whole.
    fn serve_list_request(&mut self, key: usize) -> bool {
        let Some(discovery) = self.sources.discovery_mut(key) else {
            return false;
        };
        let request = match parse_request(&discovery.connection.input) {
            Ok(Some(parsed)) => {
                discovery.connection.input.drain(..parsed.length);
                parsed.request
            }
            Ok(None) => return false,
            Err(_) => {
                discovery.connection.queue(NOT_FOUND);
                discovery.connection.input.clear();
                self.unflushed.push(key);
                return false;
            }
        };
        let latest = self.world.notified_change_count(discovery.gateway);
        match request {
            ListRequest::Watch { known, max_wait } if known == latest => {
                let deadline = self.now + max_wait;
                discovery.watch = Some(Watch { known, deadline });
            }
            ListRequest::Watch { known, .. } if known < latest => self.send_list(key, Some(known)),
            ListRequest::Watch { .. } | ListRequest::Snapshot => self.send_list(key, None),
        }
        true
    }

    /// Answers with the changes since a version, or with the whole list.
    fn send_list(&mut self, key: usize, known: Option<usize>) {
        let Some(gateway) = self.end_watch(key) else {
            return;
        };
        let latest = self.world.notified_change_count(gateway);
        let changes = match known {
            Some(known) => self.world.endpoint_changes(known..latest),
            None => self.world.endpoint_list_after(latest),
        };
        let lines = self.list_lines(gateway, &changes);
        let body = node_settings::list(latest as u64, known.is_none(), lines).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if let Some(discovery) = self.sources.discovery_mut(key) {
            discovery.connection.queue(head.as_bytes());
            discovery.connection.queue(body.as_bytes());
            self.unflushed.push(key);
        }
        self.world.on_gateway_notified(self.now, gateway, &changes);
    }

    /// Ends the watch of a connection, if it has one; returns its gateway.
    fn end_watch(&mut self, key: usize) -> Option<usize> {
        let discovery = self.sources.discovery_mut(key)?;
        discovery.watch = None;
        Some(discovery.gateway)
    }

    fn find_watches(
        &self,
        is_wanted: impl Fn(&DiscoveryConnection, &Watch) -> bool,
    ) -> Vec<OpenWatch> {
        let watches = self.sources.iter().filter_map(|(key, source)| {
            let EventSource::Discovery(discovery) = source else {
                return None;
            };
            let watch = discovery.watch?;
            is_wanted(discovery, &watch).then_some(OpenWatch {
                key,
                known: watch.known,
            })
        });
        watches.collect()
    }

    /// There are changes that a gateway is to be notified of: its watch is answered.
    pub(super) fn notify_gateway(&mut self, gateway: usize) {
        let latest = self.world.notified_change_count(gateway);
        let watches = self
            .find_watches(|discovery, watch| discovery.gateway == gateway && watch.known < latest);
        for watch in watches {
            self.send_list(watch.key, Some(watch.known));
        }
    }

    /// Answers the watches that have waited for as long as they wanted to.
    pub(super) fn end_expired_watches(&mut self) {
        let now = self.now;
        for watch in self.find_watches(|_, watch| watch.deadline <= now) {
            self.send_list(watch.key, Some(watch.known));
        }
    }

    /// The run's clock begins: watches wait on from its first moment.
    pub(super) fn restart_watches(&mut self) {
        for key in self
            .sources
            .find_keys(|source| matches!(source, EventSource::Discovery(_)))
        {
            let discovery = self.sources.discovery_mut(key);
            if let Some(watch) = discovery.and_then(|discovery| discovery.watch.as_mut()) {
                watch.deadline = WAIT_AFTER_BEGIN;
            }
        }
    }
}

#[cfg(test)]
mod tests;
