//! The state of one socket as reported by a poll event, in the form that is passed to the component that owns the socket.

use mio::event::Event;

/// Which operations a socket is ready for, and whether its connection has ended.
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
    /// A socket that may be read.
    pub(crate) const READABLE: Readiness = Readiness {
        readable: true,
        writable: false,
        read_closed: false,
        write_closed: false,
        error: false,
    };

    /// Returns whether the socket accepts bytes, or the attempt to connect it has succeeded or failed.
    pub(crate) fn is_writable(self) -> bool {
        self.writable
    }

    /// Returns whether there are bytes to read, or an end of the stream or an error that a read reports.
    pub(crate) fn should_read(self) -> bool {
        self.readable || self.read_closed || self.error
    }

    /// Returns whether the connection is broken in both directions: written bytes no longer reach the peer.
    pub(crate) fn is_broken(self) -> bool {
        self.write_closed || self.error
    }

    /// Returns whether the peer sends no more bytes. It may still receive.
    pub(crate) fn has_peer_stopped_sending(self) -> bool {
        self.read_closed || self.is_broken()
    }
}
