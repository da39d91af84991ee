//! The socket on which clients connect, and how errors of accept(2) are classified.

use crate::component::Component;
use crate::reactor::Reactor;
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Errors that accept(2) reports for a connection that failed in the backlog. The next one can be accepted at once.
const CONNECTION_GONE: [i32; 12] = [
    libc::ECONNABORTED,
    libc::EINTR,
    libc::ENETDOWN,
    libc::EPROTO,
    libc::ENOPROTOOPT,
    libc::EHOSTDOWN,
    libc::ENONET,
    libc::EHOSTUNREACH,
    libc::EOPNOTSUPP,
    libc::ENETUNREACH,
    libc::ETIMEDOUT,
    libc::ECONNRESET,
];

/// How many connections may wait to be accepted, unless the system's limit is lower. When a further client connects,
/// its SYN is dropped, and it tries again only after a second.
const BACKLOG: i32 = 4096;

/// The result of trying to accept a connection.
pub(super) enum Accepted {
    /// A connection was accepted.
    Connection(TcpStream),
    /// The next connection in the backlog has failed. Others may still be in it.
    ConnectionGone,
    /// The backlog is empty.
    NoneWaiting,
    /// The system refused, for example because it is out of descriptors or memory.
    Failed,
}

/// The socket on which clients connect.
pub(super) struct Listener {
    socket: TcpListener,
    /// The system refused the last attempt to accept. Set so that this is logged only once until accepting succeeds.
    is_failing: bool,
}

impl Listener {
    /// Opens the socket, listens on an address and registers the socket with the poll.
    pub(super) fn bind(reactor: &Reactor, address: SocketAddr) -> io::Result<Listener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let mut socket = TcpListener::from_std(socket.into());
        reactor.registry.register(
            &mut socket,
            Component::Listener.token(0),
            Interest::READABLE,
        )?;
        Ok(Listener {
            socket,
            is_failing: false,
        })
    }

    /// Accepts the next connection in the backlog, if any. Logs the first of several refusals in a row.
    pub(super) fn accept(&mut self, reactor: &Reactor) -> Accepted {
        let error = match self.socket.accept() {
            Ok((socket, _)) => {
                self.is_failing = false;
                return Accepted::Connection(socket);
            }
            Err(error) => error,
        };
        if error.kind() == ErrorKind::WouldBlock {
            return Accepted::NoneWaiting;
        }
        let is_connection_gone = error
            .raw_os_error()
            .is_some_and(|number| CONNECTION_GONE.contains(&number));
        if is_connection_gone {
            return Accepted::ConnectionGone;
        }
        if !self.is_failing {
            slog::warn!(reactor.log, "cannot accept client connections, retrying"; "error" => %error);
        }
        self.is_failing = true;
        Accepted::Failed
    }
}
