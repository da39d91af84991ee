//! Listeners on loopback addresses.

use crate::node_scenario::wait_until;
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

/// A connection that has not come up after this shows that the queue of the listener is full.
const BACKLOG_PROBE: Duration = Duration::from_millis(100);
/// The state of a connection that was asked for and has not come up, in the system's table.
const TCP_SYN_SENT: &str = "02";
/// The most connections that it takes to fill the queue of a listener without a backlog.
const MAX_BACKLOG: usize = 8;

/// A loopback address of its own for each scenario: a connection to a port that was given back reaches no other
/// scenario.
pub(crate) struct LoopbackHost(Ipv4Addr);

impl LoopbackHost {
    /// The next address that no scenario has.
    pub(crate) fn allocate() -> Self {
        static LAST: AtomicU8 = AtomicU8::new(0);
        let number = LAST.fetch_add(1, Ordering::Relaxed) + 1;
        LoopbackHost(Ipv4Addr::new(127, 1, 0, number))
    }

    /// A name for files of the scenario.
    pub(crate) fn name(&self) -> String {
        self.0.to_string()
    }

    /// Listens on a free port.
    pub(crate) fn listen(&self) -> TcpListener {
        TcpListener::bind((self.0, 0)).expect("a free port")
    }

    /// An address with a port that is free now.
    pub(crate) fn free_address(&self) -> String {
        self.listen().local_addr().unwrap().to_string()
    }

    /// Waits until a connection to a port of this host has been asked for and has not come up.
    pub(crate) fn wait_for_connecting(&self, address: &str) {
        let address: SocketAddr = address.parse().expect("an address");
        // The system's table of connections: the address and port of the other side, and the state.
        let entry = format!(
            "{:08X}:{:04X} {TCP_SYN_SENT} ",
            u32::from(self.0).swap_bytes(),
            address.port()
        );
        wait_until(|| {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            table.contains(&entry).then_some(())
        });
    }

    /// Listens on a free port with the smallest queue.
    fn listen_without_backlog(&self) -> TcpListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from((self.0, 0));
        socket
            .bind(&any_port.into())
            .and_then(|()| socket.listen(0))
            .expect("a free port");
        socket.into()
    }
}

/// A listener whose connections are each served by a thread of its own.
pub(crate) struct ListeningServer {
    address: String,
    is_open: Arc<AtomicBool>,
}

impl ListeningServer {
    /// Listens on a free port.
    pub(crate) fn start(
        host: &LoopbackHost,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> Self {
        Self::accept_from(host.listen(), serve)
    }

    /// Accepts the connections of a listener.
    fn accept_from(
        listener: TcpListener,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> Self {
        let server = ListeningServer {
            address: listener.local_addr().unwrap().to_string(),
            is_open: Arc::new(AtomicBool::new(true)),
        };
        let is_open = server.is_open.clone();
        spawn(move || accept_while_open(&listener, &is_open, serve));
        server
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Stops accepting. The listener itself is closed when the next connection comes.
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
        spawn(move || serve(connection.expect("a connection")));
    }
}

/// A listener whose queue is full: as long as nobody accepts, the system drops further requests for a connection, and
/// the other side repeats them a second later.
pub(crate) struct FullListener {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullListener {
    /// Listens on a free port and fills the queue.
    pub(crate) fn start(host: &LoopbackHost) -> Self {
        let listener = host.listen_without_backlog();
        let address = listener.local_addr().unwrap();
        let queued = connect_while_possible(&address, MAX_BACKLOG);
        FullListener { listener, queued }
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// Accepts what filled the queue and serves the connections that come from now on.
    pub(crate) fn open(self, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> ListeningServer {
        for _ in &self.queued {
            self.listener.accept().expect("a connection of the queue");
        }
        drop(self.queued);
        ListeningServer::accept_from(self.listener, serve)
    }
}

/// Connections to an address, up to so many; fewer where one does not come up in time.
pub(crate) fn connect_while_possible(address: &SocketAddr, max_count: usize) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    while connections.len() < max_count {
        match TcpStream::connect_timeout(address, BACKLOG_PROBE) {
            Ok(connection) => connections.push(connection),
            Err(_) => break,
        }
    }
    connections
}
