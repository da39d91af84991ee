//! Sends requests through `lab record`: the client in front of the proxy and the gateway behind it.

use super::{wait_until, CommandScenario};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The response of the gateway: rejected, with a time to wait before a retry.
const REJECTION: &[u8] = b"-BUSY 5\r\n";
/// Lines of a request in RESP: the number of its words, then two lines for each of the four words.
const LINES_PER_REQUEST: usize = 9;
/// A request is sent in two pieces, the first of this length and the second after a pause, because the recording must
/// not depend on how the bytes arrive.
const FIRST_PIECE_BYTES: usize = 17;
const PIECE_PAUSE: Duration = Duration::from_millis(5);
/// Number of the request that is marked as a retry. A recording leaves out retries.
const RETRY_NUMBER: usize = 1;

impl CommandScenario {
    /// Starts the recording proxy in front of a gateway, and sends `count` requests through it one after another.
    pub(super) fn record_requests(&mut self, count: usize) {
        let gateway = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let gateway_address = gateway.local_addr().expect("an address");
        let proxy_address = free_address();
        let arguments = format!(
            "lab record --listen {proxy_address} --gateway {gateway_address} --out recorded.zst"
        );
        let arguments: Vec<String> = arguments.split(' ').map(str::to_string).collect();
        self.start(&arguments);
        spawn(move || {
            for connection in gateway.incoming() {
                let _ = reject_requests(connection.expect("a connection"));
            }
        });
        let mut client = wait_until(
            || TcpStream::connect(proxy_address).ok(),
            || format!("the proxy does not accept connections at {proxy_address}"),
        );
        for number in 0..count {
            exchange(&mut client, &request(number)).expect("a request is answered");
        }
    }
}

/// A free port at a loopback address derived from the process id. Another process could take a free port at 127.0.0.1
/// before the proxy has bound it.
fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = [127, 128 | high, middle, low];
    let listener = TcpListener::bind(SocketAddr::from((host, 0))).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Rejects each request after the whole request has arrived, as a gateway does. An earlier response would let the
/// client continue before the proxy has seen the end of the request.
fn reject_requests(mut connection: TcpStream) -> io::Result<()> {
    let mut lines = BufReader::new(connection.try_clone()?).lines();
    loop {
        for _ in 0..LINES_PER_REQUEST {
            match lines.next() {
                Some(line) => drop(line?),
                None => return Ok(()),
            }
        }
        connection.write_all(REJECTION)?;
    }
}

/// A request with a number as its id.
fn request(number: usize) -> String {
    let retry = if number == RETRY_NUMBER { ",r=1" } else { "" };
    let fields = format!("c=preview,t=desk,d=900{retry},units=2,spread=1,first=0");
    let length = fields.len();
    format!(
        "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n$16\r\n{number:016x}\r\n${length}\r\n{fields}\r\n"
    )
}

/// Sends a request in two pieces and reads the rejection.
fn exchange(client: &mut TcpStream, request: &str) -> io::Result<()> {
    let (first, second) = request.as_bytes().split_at(FIRST_PIECE_BYTES);
    client.write_all(first)?;
    sleep(PIECE_PAUSE);
    client.write_all(second)?;
    let mut response = [0; REJECTION.len()];
    client.read_exact(&mut response)?;
    assert_eq!(response, REJECTION);
    Ok(())
}
