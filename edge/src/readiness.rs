//! What the poll says of one socket, as a value that is handed to the component which owns the socket.

use mio::event::Event;

/// For what a socket is ready, and whether its connection has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Readiness {
    readable: bool,
    writable: bool,
    read_closed: bool,
    write_closed: bool,
    error: bool,
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Readiness {
        Readiness {
            readable: event.is_readable(),
            writable: event.is_writable(),
            read_closed: event.is_read_closed(),
            write_closed: event.is_write_closed(),
            error: event.is_error(),
        }
    }
}

impl Readiness {
    /// The socket takes bytes, or the attempt to connect it has ended.
    pub(crate) fn is_writable(self) -> bool {
        self.writable
    }

    /// There are bytes to read, or an end or an error that a read reports.
    pub(crate) fn should_read(self) -> bool {
        self.readable || self.read_closed || self.error
    }

    /// The connection is broken in both directions: nothing that is written reaches the peer any more.
    pub(crate) fn is_broken(self) -> bool {
        self.write_closed || self.error
    }

    /// The peer sends nothing any more; it may still take what is written.
    pub(crate) fn has_peer_stopped_sending(self) -> bool {
        self.read_closed || self.is_broken()
    }
}
