//! A buffered, non-blocking TCP connection of an emulated client or service.

use super::resp;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use redis_protocol::resp2::types::OwnedFrame;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Whether more data may arrive on a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum ConnectionState {
    Open,
    /// The other end has closed the connection, or it has failed.
    Closed,
}

/// A connection with its buffers for received and for unsent bytes.
pub(super) struct BufferedConnection {
    socket: TcpStream,
    /// Received bytes that have not been processed.
    pub(super) input: Vec<u8>,
    output: Vec<u8>,
    /// The number of bytes at the front of `output` that have been written.
    output_written: usize,
    /// The number of bytes queued since the connection was opened.
    pub(super) bytes_queued: u64,
    /// The number of bytes written since the connection was opened.
    pub(super) bytes_written: u64,
    is_connected: bool,
}

impl BufferedConnection {
    /// Starts to connect to an address.
    pub(super) fn connect(
        registry: &Registry,
        address: SocketAddr,
        token: Token,
    ) -> io::Result<BufferedConnection> {
        let mut connection =
            BufferedConnection::accepted(registry, TcpStream::connect(address)?, token)?;
        connection.is_connected = false;
        Ok(connection)
    }

    /// Wraps an accepted connection.
    pub(super) fn accepted(
        registry: &Registry,
        mut socket: TcpStream,
        token: Token,
    ) -> io::Result<BufferedConnection> {
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        let _ = socket.set_nodelay(true);
        Ok(BufferedConnection {
            socket,
            input: Vec::new(),
            output: Vec::new(),
            output_written: 0,
            bytes_queued: 0,
            bytes_written: 0,
            is_connected: true,
        })
    }

    /// Queues bytes to be written by [`BufferedConnection::flush`].
    pub(super) fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
        self.bytes_queued += bytes.len() as u64;
    }

    /// Queues a RESP2 frame.
    pub(super) fn queue_frame(&mut self, frame: &OwnedFrame) {
        self.queue(&resp::encode(frame));
    }

    /// Writes as many of the queued bytes as the socket accepts.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while self.output_written < self.output.len() {
            match self.socket.write(&self.output[self.output_written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.output_written += count;
                    self.bytes_written += count as u64;
                    self.is_connected = true;
                }
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => (),
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => return Ok(()),
                    _ => return Err(error),
                },
            }
        }
        self.output.clear();
        self.output_written = 0;
        Ok(())
    }

    /// Reads all received bytes into `input`.
    pub(super) fn read(&mut self) -> ConnectionState {
        let mut chunk = [0; READ_BUFFER_BYTES];
        loop {
            match self.socket.read(&mut chunk) {
                Ok(0) => return ConnectionState::Closed,
                Ok(count) => {
                    self.is_connected = true;
                    self.input.extend_from_slice(&chunk[..count]);
                }
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => (),
                    ErrorKind::WouldBlock => return ConnectionState::Open,
                    ErrorKind::NotConnected if !self.is_connected => return ConnectionState::Open,
                    _ => return ConnectionState::Closed,
                },
            }
        }
    }

    /// Removes the connection from the event poll and closes it.
    pub(super) fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}
