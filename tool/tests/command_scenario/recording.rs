//! Requests through `lab record`: the gateway behind the proxy, and the client before it.

use super::{wait_until, CommandScenario};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// What the gateway answers: rejected, with a time to retry after.
const REJECTION: &[u8] = b"-BUSY 5\r\n";
/// Lines of a request: the number of its words, and two lines for each of the four.
const LINES_PER_REQUEST: usize = 9;
/// A request is sent in two pieces, the first of this length and the second after a pause: what is recorded does not
/// depend on how the bytes arrive.
const FIRST_PIECE: usize = 17;
const PIECE_PAUSE: Duration = Duration::from_millis(5);
/// The request that says that it is a retry, which a recording leaves out.
const RETRY: usize = 1;

impl CommandScenario {
    /// Starts the recording proxy before a gateway, and sends so many requests through it.
    pub(super) fn record(&mut self, requests: usize) {
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
            || "the proxy does not listen".to_string(),
        );
        for number in 0..requests {
            exchange(&mut client, &request(number)).expect("a request is answered");
        }
    }
}

/// An address that no other scenario is given: a port on 127.0.0.1 could be taken before the proxy has bound it.
fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = [127, 128 | high, middle, low];
    let listener = TcpListener::bind(SocketAddr::from((host, 0))).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Answers each request once it has come whole, as a gateway does. A gateway that answered sooner would let the client
/// go on before the proxy has seen the end of the request.
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

fn request(number: usize) -> String {
    let retry = if number == RETRY { ",r=1" } else { "" };
    let fields = format!("c=preview,t=desk,d=900{retry},units=2,spread=1,first=0");
    let length = fields.len();
    format!(
        "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n$16\r\n{number:016x}\r\n${length}\r\n{fields}\r\n"
    )
}

/// Sends a request in two pieces and reads the rejection.
fn exchange(client: &mut TcpStream, request: &str) -> io::Result<()> {
    let (first, second) = request.as_bytes().split_at(FIRST_PIECE);
    client.write_all(first)?;
    sleep(PIECE_PAUSE);
    client.write_all(second)?;
    let mut response = [0; REJECTION.len()];
    client.read_exact(&mut response)?;
    assert_eq!(response, REJECTION);
    Ok(())
}
