//! A proxy before a gateway that passes on all that clients and gateway say to each other, and records what was
//! requested. It uses a thread a connection and direction, as it is for some hundred connections at most.

use crate::clock::Clock;
use crate::error::LabError;
use crate::record::{self, RecordedRequest, Recorder};
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// A command longer than this is passed on and not looked at, nor what follows it on its connection.
const MAX_COMMAND: usize = 128 * 1024;

/// So many bytes are read at a time.
const READ_CHUNK: usize = 16 * 1024;

/// How often the proxy looks for new connections and whether it is to stop.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// The recording that all connections write to, with the clock that its times are by.
struct Recording {
    clock: Clock,
    /// None once the recording has ended.
    recorder: Mutex<Option<Recorder<File>>>,
}

impl Recording {
    fn append(&self, request: RequestedWork) {
        let mut recorder = self.lock();
        // The time is taken under the lock, so that lines stand in the order of their times.
        let recorded = RecordedRequest {
            at: self.clock.now(),
            account: request.account,
            plan: request.plan,
            route: request.route,
            units: request.units,
        };
        if let Some(recorder) = recorder.as_mut() {
            let _ = recorder.append(&recorded);
        }
    }

    fn finish(&self) -> std::io::Result<()> {
        let recorder = self.lock().take();
        recorder.map_or(Ok(()), Recorder::finish)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Recorder<File>>> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a client's command asks for.
struct RequestedWork {
    account: u64,
    plan: String,
    route: String,
    units: f64,
}

impl RequestedWork {
    /// Parses a command; none where it is no request, or a retry that says so.
    fn parse(frame: &OwnedFrame) -> Option<RequestedWork> {
        let OwnedFrame::Array(words) = frame else {
            return None;
        };
        let word = |index: usize| match words.get(index) {
            Some(OwnedFrame::BulkString(word)) => std::str::from_utf8(word).ok(),
            _ => None,
        };
        let verb = word(0)?.to_ascii_uppercase();
        if verb != "SVC.QUERY" && verb != "SVC.SUBMIT" {
            return None;
        }
        let account = record::parse_account(word(1)?)?;
        let parameters = word(3)?;
        if parameter(parameters, "r") == Some("1") {
            return None;
        }
        let units = parameter(parameters, "units").and_then(|units| units.parse().ok());
        Some(RequestedWork {
            account,
            plan: parameter(parameters, "t")?.to_string(),
            route: parameter(parameters, "c")?.to_string(),
            units: units.unwrap_or(1.0),
        })
    }
}

/// A parameter's value, by its name.
fn parameter<'a>(parameters: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = parameters
        .split(',')
        .filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(found, _)| *found == name)?;
    Some(value)
}

/// Looks at what a client sends, and records the requests in it.
struct RequestScanner {
    recording: Arc<Recording>,
    /// The beginning of a command that is not whole yet.
    partial: Vec<u8>,
    /// Something came that is no RESP2, or too long: nothing further is looked at.
    has_given_up: bool,
}

impl RequestScanner {
    fn scan(&mut self, bytes: &[u8]) {
        if self.has_given_up {
            return;
        }
        self.partial.extend_from_slice(bytes);
        loop {
            match decode(&self.partial) {
                Ok(Some((frame, length))) => {
                    self.partial.drain(..length);
                    if let Some(request) = RequestedWork::parse(&frame) {
                        self.recording.append(request);
                    }
                }
                Ok(None) if self.partial.len() <= MAX_COMMAND => return,
                _ => {
                    self.has_given_up = true;
                    self.partial = Vec::new();
                    return;
                }
            }
        }
    }
}

/// Passes on what comes from one end to the other until one closes; `inspect` sees it first.
fn forward(mut source: TcpStream, mut target: TcpStream, mut inspect: impl FnMut(&[u8])) {
    let mut bytes = [0; READ_CHUNK];
    while let Ok(count @ 1..) = source.read(&mut bytes) {
        inspect(&bytes[..count]);
        if target.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = target.shutdown(Shutdown::Write);
    let _ = source.shutdown(Shutdown::Read);
}

/// Serves one client's connection until it ends.
fn serve_connection(
    client: TcpStream,
    gateway_address: SocketAddr,
    recording: Arc<Recording>,
) -> std::io::Result<()> {
    let gateway = TcpStream::connect(gateway_address)?;
    client.set_nodelay(true)?;
    gateway.set_nodelay(true)?;
    let gateway_output = gateway.try_clone()?;
    let client_input = client.try_clone()?;
    thread::spawn(move || forward(gateway_output, client_input, |_| ()));
    let mut scanner = RequestScanner {
        recording,
        partial: Vec::new(),
        has_given_up: false,
    };
    forward(client, gateway, |bytes| scanner.scan(bytes));
    Ok(())
}

/// Records what passes from `listen` to a gateway until it is told to stop, or for so long.
pub fn record_traffic(
    listen: SocketAddr,
    gateway: SocketAddr,
    file: &Path,
    max_duration: Option<Duration>,
    stop: &AtomicBool,
) -> Result<(), LabError> {
    let listener = TcpListener::bind(listen).map_err(|source| LabError::Listen {
        address: listen,
        source,
    })?;
    listener
        .set_nonblocking(true)
        .map_err(|source| LabError::Listen {
            address: listen,
            source,
        })?;
    let writer = File::create(file).map_err(LabError::file(file))?;
    let recorder = Recorder::new(writer).map_err(LabError::file(file))?;
    let recording = Arc::new(Recording {
        clock: Clock::start(),
        recorder: Mutex::new(Some(recorder)),
    });
    let is_over = || max_duration.is_some_and(|max| recording.clock.now() >= max);
    while !stop.load(Ordering::SeqCst) && !is_over() {
        match listener.accept() {
            Ok((client, _)) => {
                let recording = recording.clone();
                let _ = client.set_nonblocking(false);
                thread::spawn(move || serve_connection(client, gateway, recording));
            }
            Err(_) => thread::sleep(ACCEPT_INTERVAL),
        }
    }
    recording.finish().map_err(LabError::file(file))
}
