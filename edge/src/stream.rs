//! One buffered TCP connection: reads until the socket is empty, queues what is to be written until the end of the turn
//! of the event loop, and tells how much of it is pending.

use crate::component::Component;
use crate::invariants::invariant;
use crate::reactor::Reactor;
use mio::net::TcpStream;
use mio::unix::SourceFd;
use mio::{Interest, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsRawFd, RawFd};

const BOTH_WAYS: Interest = Interest::READABLE.add(Interest::WRITABLE);

/// So often a connection is tried at once: what fails for want of something of this machine's own, or since a signal
/// came, may not fail a moment later.
const MAX_CONNECT_ATTEMPTS: u32 = 3;

/// Buffers that have grown past this many bytes are given back once they are empty.
const MAX_KEPT_CAPACITY: usize = 4096;

/// A connection with its buffers; their bytes are counted in [`Reactor::buffered_bytes`].
pub(crate) struct BufferedStream {
    socket: TcpStream,
    descriptor: RawFd,
    token: Token,
    /// The poll tells of it.
    is_registered: bool,
    /// Connected, as far as a read, a write or the poll has told.
    pub(crate) is_connected: bool,
    /// The last read found nothing more: there is nothing to read until the poll says so. Whoever is told by the poll
    /// resets it.
    pub(crate) read_would_block: bool,
    /// It was reset, or failed otherwise: no end that the other side has sent.
    pub(crate) has_failed: bool,
    /// What has come and was not consumed yet.
    pub(crate) input: Vec<u8>,
    output: Vec<u8>,
    /// How much of the output is written.
    written: usize,
    /// It is flushed at the end of the turn.
    is_flush_scheduled: bool,
}

impl BufferedStream {
    /// Opens a connection.
    pub(crate) fn connect(
        reactor: &mut Reactor,
        address: SocketAddr,
        component: Component,
        key: usize,
    ) -> io::Result<BufferedStream> {
        let mut attempts = 1;
        loop {
            match BufferedStream::try_connect(reactor, address, component, key) {
                Err(error)
                    if error.kind() != ErrorKind::ConnectionRefused
                        && attempts < MAX_CONNECT_ATTEMPTS =>
                {
                    attempts += 1;
                }
                result => return result,
            }
        }
    }

    fn try_connect(
        reactor: &mut Reactor,
        address: SocketAddr,
        component: Component,
        key: usize,
    ) -> io::Result<BufferedStream> {
        let socket = TcpStream::connect(address)?;
        let mut stream = BufferedStream::new(socket, component, key, false);
        stream.register(reactor)?;
        Ok(stream)
    }

    /// A connection that was accepted. It is kept where the poll can't take it yet: it may hold a command. Whoever owns it
    /// registers it then.
    pub(crate) fn accepted(
        reactor: &mut Reactor,
        socket: TcpStream,
        component: Component,
        key: usize,
    ) -> BufferedStream {
        let mut stream = BufferedStream::new(socket, component, key, true);
        let _ = stream.register(reactor);
        stream
    }

    fn new(
        socket: TcpStream,
        component: Component,
        key: usize,
        is_connected: bool,
    ) -> BufferedStream {
        // Without it small answers would wait for the other side's acknowledgement.
        let _ = socket.set_nodelay(true);
        BufferedStream {
            descriptor: socket.as_raw_fd(),
            socket,
            token: component.token(key),
            is_registered: false,
            is_connected,
            read_would_block: false,
            has_failed: false,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            is_flush_scheduled: false,
        }
    }

    /// The socket for the poll, by its number: mio's own record of a registration outlives one that failed.
    fn source(&self) -> SourceFd<'_> {
        SourceFd(&self.descriptor)
    }

    /// Has the poll tell of it from now on, if it does not yet.
    pub(crate) fn register(&mut self, reactor: &mut Reactor) -> io::Result<()> {
        if !self.is_registered {
            reactor
                .registry
                .register(&mut self.source(), self.token, BOTH_WAYS)?;
            self.is_registered = true;
        }
        Ok(())
    }

    /// Whether a read or write that failed is only to be done again later: when the poll tells, or, where the system had
    /// no memory for it, as soon as the poll is asked again.
    fn should_retry_later(&self, reactor: &Reactor, error: &io::Error) -> bool {
        let is_short_of_memory = error
            .raw_os_error()
            .is_some_and(|number| [libc::ENOBUFS, libc::ENOMEM].contains(&number));
        // The poll tells what it was just told of again.
        let is_told_again = is_short_of_memory
            && reactor
                .registry
                .reregister(&mut self.source(), self.token, BOTH_WAYS)
                .is_ok();
        is_told_again || error.kind() == ErrorKind::WouldBlock
    }

    /// Has `write` add to the output; it goes out at the end of the turn. Returns how many bytes it added.
    pub(crate) fn queue(
        &mut self,
        reactor: &mut Reactor,
        write: impl FnOnce(&mut Vec<u8>),
    ) -> usize {
        let length_before = self.output.len();
        write(&mut self.output);
        let added = self.output.len() - length_before;
        reactor.add_buffered_bytes(added);
        self.schedule_flush(reactor);
        added
    }

    /// Has it flushed at the end of the turn.
    pub(crate) fn schedule_flush(&mut self, reactor: &mut Reactor) {
        if !self.is_flush_scheduled {
            self.is_flush_scheduled = true;
            reactor.schedule_flush(self.token);
        }
    }

    /// Drops what was queued, where none of it has gone out.
    pub(crate) fn clear_queue(&mut self, reactor: &mut Reactor) {
        invariant!(
            reactor,
            self.written == 0,
            "only what has not begun to go out is taken back"
        );
        reactor.release_buffered_bytes(self.output.len());
        self.output.clear();
    }

    /// How many bytes are queued and not written yet.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes what it can. Returns whether any of it went.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor) -> io::Result<bool> {
        self.is_flush_scheduled = false;
        let written_before = self.written;
        while self.written < self.output.len() {
            match self.socket.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error) if self.should_retry_later(reactor, &error) => break,
                Err(error) => return Err(error),
            }
        }
        let has_progressed = self.written > written_before;
        self.is_connected |= has_progressed;
        if self.pending_bytes() == 0 {
            reactor.release_buffered_bytes(self.output.len());
            clear_buffer(&mut self.output);
            self.written = 0;
        }
        Ok(has_progressed)
    }

    /// Reads what has come, as long as the input holds less than `most` bytes. Returns false once the other side has ended
    /// or the connection failed.
    pub(crate) fn read(&mut self, reactor: &mut Reactor, most: usize) -> bool {
        while self.input.len() < most {
            let capacity = reactor.scratch.len().min(most - self.input.len());
            match self.socket.read(&mut reactor.scratch[..capacity]) {
                Ok(0) => return false,
                Ok(count) => self.append_input(reactor, count),
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error) if self.should_retry_later(reactor, &error) => {
                    self.read_would_block = true;
                    return true;
                }
                Err(_) => {
                    self.has_failed = true;
                    return false;
                }
            }
        }
        true
    }

    /// Adds so many bytes of the scratch buffer to the input.
    fn append_input(&mut self, reactor: &mut Reactor, count: usize) {
        self.is_connected = true;
        // Many half commands must not take twice their size.
        let growth = if self.input.is_empty() {
            count
        } else {
            count.max(MAX_KEPT_CAPACITY)
        };
        self.input.reserve_exact(growth);
        self.input.extend_from_slice(&reactor.scratch[..count]);
        reactor.add_buffered_bytes(count);
    }

    /// Takes bytes off the front of the input.
    pub(crate) fn consume(&mut self, reactor: &mut Reactor, count: usize) {
        reactor.release_buffered_bytes(count);
        if count == self.input.len() {
            clear_buffer(&mut self.input);
        } else {
            self.input.drain(..count);
        }
    }

    /// The poll says that it can be written to: a connection that was opened is connected, or has failed.
    pub(crate) fn check_connected(&mut self) -> io::Result<()> {
        match self.socket.take_error()? {
            Some(error) => Err(error),
            None => {
                self.is_connected |= self.socket.peer_addr().is_ok();
                Ok(())
            }
        }
    }

    /// Shuts down sending; from now on the poll tells of it by another token. All must be written.
    pub(crate) fn shut_down_sending(
        &mut self,
        reactor: &mut Reactor,
        component: Component,
        key: usize,
    ) -> io::Result<()> {
        invariant!(
            reactor,
            self.pending_bytes() == 0,
            "what was answered goes out before the end"
        );
        self.consume(reactor, self.input.len());
        self.token = component.token(key);
        reactor
            .registry
            .reregister(&mut self.source(), self.token, Interest::READABLE)?;
        self.socket.shutdown(Shutdown::Write)
    }

    /// Reads and drops what has come, `allowance` bytes in all, of which it takes off what came. Returns false once the
    /// other side has ended, the connection failed or the allowance is used up.
    pub(crate) fn discard_input(&mut self, reactor: &mut Reactor, allowance: &mut usize) -> bool {
        while *allowance > 0 {
            let capacity = reactor.scratch.len().min(*allowance);
            match self.socket.read(&mut reactor.scratch[..capacity]) {
                Ok(0) => return false,
                Ok(count) => *allowance -= count,
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Closes at once. What has come and was not read resets the connection.
    pub(crate) fn close(self, reactor: &mut Reactor) {
        reactor.release_buffered_bytes(self.input.len() + self.output.len());
        let _ = reactor.registry.deregister(&mut self.source());
    }
}

/// Empties a buffer, and gives it back where it is large.
fn clear_buffer(buffer: &mut Vec<u8>) {
    if buffer.capacity() > MAX_KEPT_CAPACITY {
        *buffer = Vec::new();
    }
    buffer.clear();
}
