//! The emulated discovery service on loopback. It serves the endpoint list and watches for its changes over HTTP/1.1.
//! Each gateway sees the list up to the last change that it was notified of.

use super::buffered_connection::{BufferedConnection, ConnectionState};
use super::event_sources::EventSource;
use super::run::LoopbackRun;
use crate::error::LabError;
use crate::node_settings;
use std::time::Duration;

const INSTANCES_PATH: &str = "/registry/instances";

/// The maximum number of headers in a request.
const MAX_HEADERS: usize = 32;

/// The maximum time that a watch waits for changes.
const MAX_WAIT_MS: u64 = 60_000;

/// How long after the start of the run a watch is answered at the latest, if it was opened before the start.
const WAIT_AFTER_RUN_START: Duration = Duration::from_secs(5);

const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// A gateway's connection to discovery.
pub(super) struct DiscoveryConnection {
    pub(super) connection: BufferedConnection,
    gateway: usize,
    /// The key of the listener that accepted the connection.
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

/// A request that waits for changes of the endpoint list.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Watch {
    /// The version of the list that the gateway knows.
    known_version: usize,
    /// The time on the clock of the run at which the request is answered even if there are no changes.
    deadline: Duration,
}

/// A watch, and the key of its connection.
struct OpenWatch {
    key: usize,
    known_version: usize,
}

/// A request to discovery.
#[derive(Debug, PartialEq)]
enum ListRequest {
    /// Requests the complete list.
    Snapshot,
    /// Requests the changes since a version. If there are none, the answer waits for changes for up to `max_wait`.
    Watch {
        known_version: usize,
        max_wait: Duration,
    },
}

/// A request, and its length in bytes.
#[derive(Debug, PartialEq)]
struct ParsedRequest {
    request: ListRequest,
    length: usize,
}

/// Why a request to discovery is invalid.
#[derive(Debug, PartialEq, thiserror::Error)]
enum InvalidRequest {
    #[error(transparent)]
    Http(#[from] httparse::Error),
    #[error("expected a request for GET /registry/instances, got path '{0}'")]
    NotFound(String),
}

/// Parses the request at the front of a buffer. Returns `None` if the request is not complete.
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
        Some(known_version) => {
            let wait_ms = query_number(query, "wait_ms").unwrap_or(0);
            ListRequest::Watch {
                known_version: known_version as usize,
                max_wait: Duration::from_millis(wait_ms.min(MAX_WAIT_MS)),
            }
        }
        None => ListRequest::Snapshot,
    };
    Ok(Some(ParsedRequest { request, length }))
}

/// Returns the numeric value of the parameter `name` in a query string.
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

    /// Serves the next request of a connection. Returns false if there is no complete, valid request.
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
            ListRequest::Watch {
                known_version,
                max_wait,
            } if known_version == latest => {
                let deadline = self.now + max_wait;
                discovery.watch = Some(Watch {
                    known_version,
                    deadline,
                });
            }
            ListRequest::Watch { known_version, .. } if known_version < latest => {
                self.send_list(key, Some(known_version))
            }
            ListRequest::Watch { .. } | ListRequest::Snapshot => self.send_list(key, None),
        }
        true
    }

    /// Answers with the changes since a version, or with the complete list if `known_version` is `None`.
    fn send_list(&mut self, key: usize, known_version: Option<usize>) {
        let Some(gateway) = self.end_watch(key) else {
            return;
        };
        let latest = self.world.notified_change_count(gateway);
        let changes = match known_version {
            Some(known_version) => self.world.endpoint_changes(known_version..latest),
            None => self.world.endpoint_list_after(latest),
        };
        let lines = self.list_lines(gateway, &changes);
        let body = node_settings::list(latest as u64, known_version.is_none(), lines).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if let Some(discovery) = self.sources.discovery_mut(key) {
            discovery.connection.queue(head.as_bytes());
            discovery.connection.queue(body.as_bytes());
            self.unflushed.push(key);
        }
        self.world.on_gateway_notified(self.now, gateway, &changes);
    }

    /// Ends the watch of a connection, if it has one. Returns the gateway of the connection.
    fn end_watch(&mut self, key: usize) -> Option<usize> {
        let discovery = self.sources.discovery_mut(key)?;
        discovery.watch = None;
        Some(discovery.gateway)
    }

    fn find_watches(
        &self,
        predicate: impl Fn(&DiscoveryConnection, &Watch) -> bool,
    ) -> Vec<OpenWatch> {
        let watches = self.sources.iter().filter_map(|(key, source)| {
            let EventSource::Discovery(discovery) = source else {
                return None;
            };
            let watch = discovery.watch?;
            predicate(discovery, &watch).then_some(OpenWatch {
                key,
                known_version: watch.known_version,
            })
        });
        watches.collect()
    }

    /// Notifies a gateway of changes of the endpoint list by answering its watches.
    pub(super) fn notify_gateway(&mut self, gateway: usize) {
        let latest = self.world.notified_change_count(gateway);
        let watches = self.find_watches(|discovery, watch| {
            discovery.gateway == gateway && watch.known_version < latest
        });
        for watch in watches {
            self.send_list(watch.key, Some(watch.known_version));
        }
    }

    /// Answers the watches that have reached their deadline.
    pub(super) fn end_expired_watches(&mut self) {
        let now = self.now;
        for watch in self.find_watches(|_, watch| watch.deadline <= now) {
            self.send_list(watch.key, Some(watch.known_version));
        }
    }

    /// Resets the deadlines of all watches when the clock of the run starts.
    pub(super) fn reset_watch_deadlines(&mut self) {
        for key in self
            .sources
            .find_keys(|source| matches!(source, EventSource::Discovery(_)))
        {
            let discovery = self.sources.discovery_mut(key);
            if let Some(watch) = discovery.and_then(|discovery| discovery.watch.as_mut()) {
                watch.deadline = WAIT_AFTER_RUN_START;
            }
        }
    }
}

#[cfg(test)]
mod tests;
