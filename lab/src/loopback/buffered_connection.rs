//! A buffered TCP connection of a stand-in.

use super::resp;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use redis_protocol::resp2::types::OwnedFrame;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

/// So many bytes are read at a time.
const READ_CHUNK: usize = 16 * 1024;

/// Whether more can come on a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum ConnectionState {
    Open,
    /// The other end has closed it, or it broke.
    Closed,
}

/// A connection, what has come on it and what waits to be written.
pub(super) struct BufferedConnection {
    socket: TcpStream,
    /// What has come and was not taken yet.
    pub(super) input: Vec<u8>,
    output: Vec<u8>,
    /// How much of `output` is written.
    output_written: usize,
    /// Bytes queued since it began, and those of them that are written.
    pub(super) bytes_queued: u64,
    pub(super) bytes_written: u64,
    is_connected: bool,
}

impl BufferedConnection {
    /// Begins to connect.
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

    /// Takes a connection that was accepted.
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

    /// Writes as much of what is queued as the system takes.
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

    /// Reads all that has come into `input`.
    pub(super) fn read(&mut self) -> ConnectionState {
        let mut chunk = [0; READ_CHUNK];
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

    /// Closes the connection.
    pub(super) fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}
