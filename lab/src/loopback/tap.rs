//! A tap before a gateway: passes on all that clients and gateway say to each other, and records what was
//! asked.

use crate::clock::Clock;
use crate::record::{RecordedRequest, Recorder};
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A command longer than this is passed on and not looked at.
const LONGEST: usize = 128 * 1024;

type Shared = Arc<Mutex<Option<Recorder<File>>>>;

/// What a client asks, if it is an API call and no retry that says so.
fn asked(frame: &OwnedFrame, at: Duration) -> Option<RecordedRequest> {
    let OwnedFrame::Array(words) = frame else {
        return None;
    };
    let word = |place: usize| match words.get(place) {
        Some(OwnedFrame::BulkString(word)) => std::str::from_utf8(word).ok(),
        _ => None,
    };
    let verb = word(0)?.to_ascii_uppercase();
    if verb != "SVC.QUERY" && verb != "SVC.SUBMIT" {
        return None;
    }
    let account = u64::from_str_radix(word(1)?, 16)
        .ok()
        .filter(|it| it >> 33 == 0)?;
    let list = word(3)?;
    let value = |name: &str| {
        list.split(',')
            .filter_map(|pair| pair.split_once('='))
            .find(|it| it.0 == name)
    };
    if value("r").is_some_and(|it| it.1 == "1") {
        return None;
    }
    let units = value("units")
        .and_then(|it| it.1.parse().ok())
        .unwrap_or(1.0);
    let (route, plan) = (value("c")?.1.to_string(), value("t")?.1.to_string());
    Some(RecordedRequest {
        at,
        account,
        plan,
        route,
        units,
    })
}

/// Passes on one way; hands what passes to `look`.
fn pass(mut from: TcpStream, mut to: TcpStream, mut look: impl FnMut(&[u8])) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        look(&bytes[..count]);
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

fn connection(
    client: TcpStream,
    to: SocketAddr,
    clock: Arc<Clock>,
    shared: Shared,
) -> std::io::Result<()> {
    let gateway = TcpStream::connect(to)?;
    client.set_nodelay(true)?;
    gateway.set_nodelay(true)?;
    let (back_from, back_to) = (gateway.try_clone()?, client.try_clone()?);
    thread::spawn(move || pass(back_from, back_to, |_| ()));
    let (mut waiting, mut readable) = (Vec::new(), true);
    pass(client, gateway, |bytes| {
        if !readable {
            return;
        }
        waiting.extend_from_slice(bytes);
        loop {
            match decode(&waiting) {
                Ok(Some((frame, length))) => {
                    waiting.drain(..length);
                    let Some(it) = asked(&frame, clock.now()) else {
                        continue;
                    };
                    let mut shared = shared.lock().unwrap_or_else(|broken| broken.into_inner());
                    // The moment is taken under the lock, so that lines stand in the order of their time.
                    let it = RecordedRequest {
                        at: clock.now(),
                        ..it
                    };
                    if let Some(recorder) = shared.as_mut() {
                        let _ = recorder.append(&it);
                    }
                }
                Ok(None) if waiting.len() <= LONGEST => return,
                _ => {
                    (readable, waiting) = (false, Vec::new());
                    return;
                }
            }
        }
    });
    Ok(())
}

/// Records what passes from `listen` to a gateway, until told to stop or for so long.
pub fn tap(
    listen: SocketAddr,
    to: SocketAddr,
    out: &Path,
    most: Option<Duration>,
    stop: &Arc<AtomicBool>,
) -> Result<(), String> {
    let door = TcpListener::bind(listen).map_err(|error| format!("{listen}: {error}"))?;
    let file = File::create(out).map_err(|error| format!("{}: {error}", out.display()))?;
    let recorder = Recorder::new(file).map_err(|error| error.to_string())?;
    let (clock, shared) = (
        Arc::new(Clock::start()),
        Arc::new(Mutex::new(Some(recorder))),
    );
    door.set_nonblocking(true)
        .map_err(|error| error.to_string())?;
    while !stop.load(Ordering::SeqCst) && most.is_none_or(|most| clock.now() < most) {
        match door.accept() {
            Ok((client, _)) => {
                let (clock, shared) = (clock.clone(), shared.clone());
                let _ = client.set_nonblocking(false);
                thread::spawn(move || connection(client, to, clock, shared));
            }
            Err(_) => thread::sleep(Duration::from_millis(2)),
        }
    }
    let recorder = shared
        .lock()
        .unwrap_or_else(|broken| broken.into_inner())
        .take();
    recorder
        .map_or(Ok(()), |it| it.finish())
        .map_err(|error| format!("{}: {error}", out.display()))
}
