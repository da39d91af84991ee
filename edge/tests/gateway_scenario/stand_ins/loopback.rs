//! Listeners on loopback addresses.

use crate::gateway_scenario::wait_until;
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

/// If a connection is not established within this time, the queue of the listener is considered full.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);
/// The state of a connection that is being established, in `/proc/net/tcp`.
const TCP_SYN_SENT: &str = "02";
/// The maximum number of connections that are needed to fill the queue of a listener with a backlog of 0.
const MAX_QUEUED_CONNECTIONS: usize = 8;

/// A loopback address that only one scenario uses, so that a connection to a port that is free again can't reach
/// another scenario.
pub(crate) struct LoopbackHost(Ipv4Addr);

impl LoopbackHost {
    /// Returns the next address that no scenario has.
    pub(crate) fn allocate() -> Self {
        static LAST: AtomicU8 = AtomicU8::new(0);
        let number = LAST.fetch_add(1, Ordering::Relaxed) + 1;
        LoopbackHost(Ipv4Addr::new(127, 1, 0, number))
    }

    /// Returns the address as text, as a unique name for files of the scenario.
    pub(crate) fn name(&self) -> String {
        self.0.to_string()
    }

    /// Returns a listener on a free port.
    pub(crate) fn listen(&self) -> TcpListener {
        TcpListener::bind((self.0, 0)).expect("expected a free port")
    }

    /// Returns an address whose port is free at the moment.
    pub(crate) fn free_address(&self) -> String {
        self.listen()
            .local_addr()
            .expect("expected a bound address")
            .to_string()
    }

    /// Waits until a connection to an address of this host is being established.
    pub(crate) fn wait_for_connecting(&self, address: &str) {
        let address: SocketAddr = address.parse().expect("expected an address");
        // An entry of `/proc/net/tcp` holds the remote address and port, and the state.
        let entry = format!(
            "{:08X}:{:04X} {TCP_SYN_SENT} ",
            u32::from(self.0).swap_bytes(),
            address.port()
        );
        wait_until(
            &format!("a connection to {address} is being established"),
            || {
                let table = std::fs::read_to_string("/proc/net/tcp")
                    .expect("expected a readable /proc/net/tcp");
                table.contains(&entry).then_some(())
            },
        );
    }

    /// Returns a listener on a free port, with a backlog of 0.
    fn listen_without_backlog(&self) -> TcpListener {
        let socket =
            Socket::new(Domain::IPV4, Type::STREAM, None).expect("expected to create a socket");
        let any_port = SocketAddr::from((self.0, 0));
        socket
            .bind(&any_port.into())
            .and_then(|()| socket.listen(0))
            .expect("expected a free port");
        socket.into()
    }
}

/// A listener that serves each connection on its own thread.
pub(crate) struct ListeningServer {
    address: String,
    /// Whether the listener still accepts connections.
    is_open: Arc<AtomicBool>,
}

impl ListeningServer {
    /// Listens on a free port and calls `serve` with each connection.
    pub(crate) fn start(
        host: &LoopbackHost,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> Self {
        Self::accept_from(host.listen(), serve)
    }

    /// Accepts connections from a listener and calls `serve` with each of them.
    fn accept_from(
        listener: TcpListener,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> Self {
        let server = ListeningServer {
            address: listener
                .local_addr()
                .expect("expected a bound address")
                .to_string(),
            is_open: Arc::new(AtomicBool::new(true)),
        };
        let is_open = server.is_open.clone();
        spawn(move || accept_while_open(&listener, &is_open, serve));
        server
    }

    /// Returns the address on which it listens.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Stops serving new connections. The listener itself is closed when the next connection is accepted.
    pub(crate) fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
    }
}

fn accept_while_open(
    listener: &TcpListener,
    is_open: &AtomicBool,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    for connection in listener.incoming() {
        if !is_open.load(Ordering::SeqCst) {
            return;
        }
        let serve = serve.clone();
        spawn(move || serve(connection.expect("expected an accepted connection")));
    }
}

/// A listener whose queue is full. As long as no connection is accepted, the system drops the SYN packets of further
/// connections, and the connecting side repeats them after a second.
pub(crate) struct FullListener {
    listener: TcpListener,
    /// The client ends of the connections in the queue.
    queued: Vec<TcpStream>,
}

impl FullListener {
    /// Listens on a free port and fills the queue.
    pub(crate) fn start(host: &LoopbackHost) -> Self {
        let listener = host.listen_without_backlog();
        let address = listener.local_addr().expect("expected a bound address");
        let queued = connect_while_possible(&address, MAX_QUEUED_CONNECTIONS);
        FullListener { listener, queued }
    }

    /// Returns the address on which it listens.
    pub(crate) fn address(&self) -> String {
        self.listener
            .local_addr()
            .expect("expected a bound address")
            .to_string()
    }

    /// Empties the queue, and calls `serve` with each connection that is established from now on.
    pub(crate) fn open(self, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> ListeningServer {
        for _ in &self.queued {
            self.listener
                .accept()
                .expect("expected a connection in the queue");
        }
        drop(self.queued);
        ListeningServer::accept_from(self.listener, serve)
    }
}

/// Establishes up to `max_count` connections to an address and returns them. Stops at the first one that is not
/// established within [`FULL_QUEUE_TIMEOUT`].
pub(crate) fn connect_while_possible(address: &SocketAddr, max_count: usize) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    while connections.len() < max_count {
        match TcpStream::connect_timeout(address, FULL_QUEUE_TIMEOUT) {
            Ok(connection) => connections.push(connection),
            Err(_) => break,
        }
    }
    connections
}
