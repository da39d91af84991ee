//! A proxy in front of a gateway. It forwards all bytes between the clients and the gateway, and records the requests.
//! It uses one thread per connection and direction, as it is meant for a few hundred connections at most.

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

/// The maximum length of a command that is parsed. After a longer command, the connection is still forwarded, but no
/// longer recorded.
const MAX_COMMAND_BYTES: usize = 128 * 1024;

/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// How often the proxy checks for new connections and for the end of the recording.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// The recording that all connections append to, and the clock for its times.
struct Recording {
    clock: Clock,
    /// `None` after the recording has ended.
    recorder: Mutex<Option<Recorder<File>>>,
}

impl Recording {
    fn append(&self, request: ObservedRequest) {
        let mut recorder = self.lock();
        // The time is read under the lock, so that the requests are recorded in the order of their times.
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

/// The request that a client's command contains.
struct ObservedRequest {
    account: u64,
    plan: String,
    route: String,
    units: f64,
}

impl ObservedRequest {
    /// Parses a command. Returns `None` if it is not a request, or if it is marked as a retry.
    fn parse(frame: &OwnedFrame) -> Option<ObservedRequest> {
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
        Some(ObservedRequest {
            account,
            plan: parameter(parameters, "t")?.to_string(),
            route: parameter(parameters, "c")?.to_string(),
            units: units.unwrap_or(1.0),
        })
    }
}

/// Returns the value of the parameter `name` in `NAME=VALUE,NAME=VALUE,...`.
fn parameter<'a>(parameters: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = parameters
        .split(',')
        .filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(found, _)| *found == name)?;
    Some(value)
}

/// Records the requests in the bytes that a client sends.
struct RequestScanner {
    recording: Arc<Recording>,
    /// The beginning of a command that is not complete yet.
    partial: Vec<u8>,
    /// The client has sent bytes that are not RESP2 or a command that is too long, so the rest is not scanned.
    is_scan_stopped: bool,
}

impl RequestScanner {
    fn scan(&mut self, bytes: &[u8]) {
        if self.is_scan_stopped {
            return;
        }
        self.partial.extend_from_slice(bytes);
        loop {
            match decode(&self.partial) {
                Ok(Some((frame, length))) => {
                    self.partial.drain(..length);
                    if let Some(request) = ObservedRequest::parse(&frame) {
                        self.recording.append(request);
                    }
                }
                Ok(None) if self.partial.len() <= MAX_COMMAND_BYTES => return,
                _ => {
                    self.is_scan_stopped = true;
                    self.partial = Vec::new();
                    return;
                }
            }
        }
    }
}

/// Forwards all bytes from `source` to `target` until one of them is closed. `inspect` receives the bytes before they
/// are forwarded.
fn forward(mut source: TcpStream, mut target: TcpStream, mut inspect: impl FnMut(&[u8])) {
    let mut bytes = [0; READ_BUFFER_BYTES];
    while let Ok(count @ 1..) = source.read(&mut bytes) {
        inspect(&bytes[..count]);
        if target.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = target.shutdown(Shutdown::Write);
    let _ = source.shutdown(Shutdown::Read);
}

/// Forwards one client connection until it ends.
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
        is_scan_stopped: false,
    };
    forward(client, gateway, |bytes| scanner.scan(bytes));
    Ok(())
}

/// Forwards connections from the address `listen` to a gateway and records their requests in a file. It ends when
/// `stop` becomes true, or after `max_duration`.
///
/// Fails if the address can't be listened on, or if the file can't be written.
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
    let writer = File::create(file).map_err(LabError::file(file, "cannot be created"))?;
    let recorder = Recorder::new(writer).map_err(LabError::file(file, "cannot be written"))?;
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
    recording
        .finish()
        .map_err(LabError::file(file, "cannot be written"))
}
