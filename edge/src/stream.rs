//! One buffered TCP connection: reads until the socket is empty, and queues output until the end of the event loop
//! iteration.

use crate::component::Component;
use crate::invariants::invariant;
use crate::reactor::Reactor;
use mio::net::TcpStream;
use mio::unix::SourceFd;
use mio::{Interest, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, AsRawFd, RawFd};

/// Connections are registered with the poll for reading and writing.
const READABLE_AND_WRITABLE: Interest = Interest::READABLE.add(Interest::WRITABLE);

/// How many times connecting is tried in a row, without a pause between the tries. Errors other than a refusal, such as a lack of a local resource or an
/// interruption by a signal, may be gone a moment later.
const MAX_CONNECT_ATTEMPTS: u32 = 3;

/// A buffer with a larger capacity than this, in bytes, is freed once it is empty.
const MAX_RETAINED_CAPACITY: usize = 4096;

/// A buffer is shrunk once its capacity is this many times its length.
const MAX_CAPACITY_RATIO: usize = 2;

/// A connection with its buffers. What they take is counted in [`Reactor::memory`].
pub(crate) struct BufferedStream {
    socket: TcpStream,
    descriptor: RawFd,
    token: Token,
    /// Whether the socket is registered with the poll.
    is_registered: bool,
    /// Whether the connection is known to be established, from a read, a write or the poll.
    pub(crate) is_connected: bool,
    /// Whether the last read found the socket empty, so that reading is useless until the poll reports more input. The
    /// owner resets it when the poll does.
    pub(crate) read_would_block: bool,
    /// Whether a read has failed, for example by a reset, as opposed to the other side's orderly end of the stream.
    pub(crate) has_failed: bool,
    /// The bytes that were read and not consumed yet.
    pub(crate) input: Vec<u8>,
    /// The queued bytes, including some that are written already.
    output: Vec<u8>,
    /// How many bytes at the front of `output` are written.
    written_bytes: usize,
    /// What was counted for the memory of `input`.
    counted_input: usize,
    /// What was counted for the memory of `output`.
    counted_output: usize,
    /// Whether a part of the output was written, and another part not yet.
    is_partly_written: bool,
    /// Whether a flush is scheduled for the end of the event loop iteration.
    is_flush_scheduled: bool,
}

impl BufferedStream {
    /// Opens a connection and registers it with the poll. It is not established yet when this returns. Fails with the
    /// error of the last try if the address refuses the connection at once, or if all `MAX_CONNECT_ATTEMPTS` tries
    /// fail.
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

    /// Wraps a connection that was accepted. It is kept even if registering it with the poll fails, since a command may
    /// have arrived on it; the owner calls [`BufferedStream::register`] again later.
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
        // With Nagle's algorithm, small writes would wait for the acknowledgement of earlier ones.
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
            written_bytes: 0,
            counted_input: 0,
            counted_output: 0,
            is_partly_written: false,
            is_flush_scheduled: false,
        }
    }

    /// The socket as an event source, by its descriptor: a mio `TcpStream` would count as registered after a
    /// registration that failed.
    fn source(&self) -> SourceFd<'_> {
        SourceFd(&self.descriptor)
    }

    /// Registers the socket with the poll, unless it is registered.
    pub(crate) fn register(&mut self, reactor: &mut Reactor) -> io::Result<()> {
        if !self.is_registered {
            reactor
                .registry
                .register(&mut self.source(), self.token, READABLE_AND_WRITABLE)?;
            self.is_registered = true;
        }
        Ok(())
    }

    /// Whether a failed read or write should be retried: once the poll reports the socket, or, if the system was out of
    /// memory, after the next call of the poll.
    fn should_retry_later(&self, reactor: &Reactor, error: &io::Error) -> bool {
        let is_short_of_memory = error
            .raw_os_error()
            .is_some_and(|number| [libc::ENOBUFS, libc::ENOMEM].contains(&number));
        // Registering again makes the poll report the socket's present readiness once more.
        let is_reported_again = is_short_of_memory
            && reactor
                .registry
                .reregister(&mut self.source(), self.token, READABLE_AND_WRITABLE)
                .is_ok();
        is_reported_again || error.kind() == ErrorKind::WouldBlock
    }

    /// Lets `write` append to the output, which is written at the end of the event loop iteration. Returns how many
    /// bytes were appended.
    pub(crate) fn queue(
        &mut self,
        reactor: &mut Reactor,
        write: impl FnOnce(&mut Vec<u8>),
    ) -> usize {
        let length_before = self.output.len();
        write(&mut self.output);
        let added = self.output.len() - length_before;
        self.count_output(reactor);
        self.schedule_flush(reactor);
        added
    }

    /// Schedules a flush for the end of the event loop iteration, unless one is scheduled.
    pub(crate) fn schedule_flush(&mut self, reactor: &mut Reactor) {
        if !self.is_flush_scheduled {
            self.is_flush_scheduled = true;
            reactor.schedule_flush(self.token);
        }
    }

    /// Discards the queued output, of which no byte may have been written.
    pub(crate) fn clear_queue(&mut self, reactor: &mut Reactor) {
        invariant!(
            reactor,
            !self.is_partly_written,
            "queued output is discarded only while none of it is written"
        );
        self.output.clear();
    }

    /// The bytes that the memory for output takes.
    pub(crate) fn output_capacity(&self) -> usize {
        self.output.capacity()
    }

    /// The number of bytes that are queued and not written yet.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.output.len() - self.written_bytes
    }

    /// Writes as much of the output as the socket accepts. Returns whether any bytes were written, or the error of a
    /// connection that has failed.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor) -> io::Result<bool> {
        self.is_flush_scheduled = false;
        let written_bytes_before = self.written_bytes;
        while self.written_bytes < self.output.len() {
            match self.socket.write(&self.output[self.written_bytes..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.written_bytes += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error) if self.should_retry_later(reactor, &error) => break,
                Err(error) => return Err(error),
            }
        }
        let has_progressed = self.written_bytes > written_bytes_before;
        self.is_connected |= has_progressed;
        self.is_partly_written =
            (self.is_partly_written || has_progressed) && self.pending_bytes() > 0;
        self.discard_written(reactor);
        Ok(has_progressed)
    }

    /// Discards the written bytes, once they are at least half of the output, so that moving the others to the front takes
    /// no longer than writing them.
    fn discard_written(&mut self, reactor: &mut Reactor) {
        if self.pending_bytes() > self.written_bytes {
            return;
        }
        if self.pending_bytes() == 0 {
            clear_buffer(&mut self.output);
        } else {
            self.output.drain(..self.written_bytes);
            shrink_buffer(&mut self.output);
        }
        self.written_bytes = 0;
        self.count_output(reactor);
    }

    /// Counts the memory that the input takes now.
    fn count_input(&mut self, reactor: &mut Reactor) {
        let bytes = self.input.capacity();
        count(reactor, self.token, &mut self.counted_input, bytes);
    }

    /// Counts the memory that the output takes now.
    fn count_output(&mut self, reactor: &mut Reactor) {
        let bytes = self.output.capacity();
        count(reactor, self.token, &mut self.counted_output, bytes);
    }

    /// Reads until the socket is empty or the input holds `max_input_bytes`. Returns false once the other side has
    /// closed the connection or the read has failed, which sets `has_failed`.
    pub(crate) fn read(&mut self, reactor: &mut Reactor, max_input_bytes: usize) -> bool {
        while self.input.len() < max_input_bytes {
            let capacity = reactor
                .scratch
                .len()
                .min(max_input_bytes - self.input.len());
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

    /// The number of bytes that wait in the socket to be read; zero if the system does not tell.
    pub(crate) fn unread_bytes(&self) -> usize {
        let unread = rustix::io::ioctl_fionread(self.socket.as_fd());
        unread.map_or(0, |bytes| usize::try_from(bytes).unwrap_or(0))
    }

    /// Appends the first `count` bytes of the scratch buffer to the input.
    fn append_input(&mut self, reactor: &mut Reactor, count: usize) {
        self.is_connected = true;
        // The buffer grows by what is needed and not by doubling, so that large numbers of incomplete commands do not take twice
        // their size in memory.
        let growth = if self.input.is_empty() {
            count
        } else {
            count.max(MAX_RETAINED_CAPACITY)
        };
        self.input.reserve_exact(growth);
        self.input.extend_from_slice(&reactor.scratch[..count]);
        self.count_input(reactor);
    }

    /// Removes `count` bytes from the front of the input.
    pub(crate) fn consume(&mut self, reactor: &mut Reactor, count: usize) {
        if count == self.input.len() {
            clear_buffer(&mut self.input);
        } else {
            self.input.drain(..count);
            shrink_buffer(&mut self.input);
        }
        self.count_input(reactor);
    }

    /// Checks, when the poll reports the socket as writable, whether an opened connection is established. Returns the
    /// error of one that could not be established.
    pub(crate) fn check_connected(&mut self) -> io::Result<()> {
        match self.socket.take_error()? {
            Some(error) => Err(error),
            None => {
                self.is_connected |= self.socket.peer_addr().is_ok();
                Ok(())
            }
        }
    }

    /// Discards the input and shuts down the sending direction, on a connection on which all output is written. From
    /// now on the poll reports the socket with the token of `component` and `key`, and for reading only.
    pub(crate) fn shut_down_sending(
        &mut self,
        reactor: &mut Reactor,
        component: Component,
        key: usize,
    ) -> io::Result<()> {
        invariant!(
            reactor,
            self.pending_bytes() == 0,
            "sending is shut down only after all output is written"
        );
        self.consume(reactor, self.input.len());
        self.token = component.token(key);
        reactor
            .registry
            .reregister(&mut self.source(), self.token, Interest::READABLE)?;
        self.socket.shutdown(Shutdown::Write)
    }

    /// Reads and discards input until the socket is empty, and subtracts its size from `remaining_bytes`. Returns false
    /// once the other side has closed the connection, the connection has failed or `remaining_bytes` is zero.
    pub(crate) fn discard_input(
        &mut self,
        reactor: &mut Reactor,
        remaining_bytes: &mut usize,
    ) -> bool {
        while *remaining_bytes > 0 {
            let capacity = reactor.scratch.len().min(*remaining_bytes);
            match self.socket.read(&mut reactor.scratch[..capacity]) {
                Ok(0) => return false,
                Ok(count) => *remaining_bytes -= count,
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Closes the connection at once. If the socket holds unread input, the system resets the connection.
    pub(crate) fn close(mut self, reactor: &mut Reactor) {
        count(reactor, self.token, &mut self.counted_input, 0);
        count(reactor, self.token, &mut self.counted_output, 0);
        let _ = reactor.registry.deregister(&mut self.source());
    }
}

/// Counts what a buffer of the connection with this token takes now.
fn count(reactor: &mut Reactor, token: Token, counted: &mut usize, bytes: usize) {
    match Component::from_token(token) {
        (Component::Upstream, _) => reactor.memory.update_upstream(counted, bytes),
        _ => reactor.memory.update(counted, bytes),
    }
}

/// Frees a part of a buffer's memory if its capacity exceeds `MAX_RETAINED_CAPACITY` and most of it is unused.
fn shrink_buffer(buffer: &mut Vec<u8>) {
    if buffer.len() < buffer.capacity() / MAX_CAPACITY_RATIO {
        buffer.shrink_to(MAX_RETAINED_CAPACITY);
    }
}

/// Empties a buffer, and frees its memory if its capacity exceeds `MAX_RETAINED_CAPACITY`.
fn clear_buffer(buffer: &mut Vec<u8>) {
    if buffer.capacity() > MAX_RETAINED_CAPACITY {
        *buffer = Vec::new();
    }
    buffer.clear();
}

#[cfg(test)]
mod tests;
