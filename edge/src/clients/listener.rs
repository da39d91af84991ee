//! The socket on which clients connect, and what its errors mean.

use crate::component::Component;
use crate::reactor::Reactor;
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Errors of a connection that waited and is gone, which accept(2) passes on: the next one is taken at once.
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

/// So many connections may wait to be accepted, as far as the system allows. One beyond them comes up a second late.
const BACKLOG: i32 = 4096;

/// What became of one try to accept a connection.
pub(super) enum Accepted {
    Connection(TcpStream),
    /// One that waited has gone; others may wait.
    ConnectionGone,
    /// None waits.
    NoneWaiting,
    /// The system has none to give, for want of descriptors or memory.
    Failed,
}

/// The socket on which clients connect.
pub(super) struct Listener {
    socket: TcpListener,
    /// The system has refused to accept, and has not accepted since: it is logged once.
    is_failing: bool,
}

impl Listener {
    /// Listens at an address.
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

    /// Accepts one connection, if one waits.
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
        let is_of_connection = error
            .raw_os_error()
            .is_some_and(|number| CONNECTION_GONE.contains(&number));
        if is_of_connection {
            return Accepted::ConnectionGone;
        }
        if !self.is_failing {
            slog::warn!(reactor.log, "cannot accept, trying again soon"; "error" => %error);
        }
        self.is_failing = true;
        Accepted::Failed
    }
}
