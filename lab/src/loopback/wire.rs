//! A buffered connection of a stand-in, and answers that wait for their turn on one.

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use redis_protocol::resp2::encode;
use redis_protocol::resp2::types::{OwnedFrame, Resp2Frame};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

pub struct Wire {
    socket: TcpStream,
    pub input: Vec<u8>,
    output: Vec<u8>,
    done: usize,
    /// Bytes put and bytes written since it began.
    pub put: u64,
    pub written: u64,
    pub up: bool,
}

impl Wire {
    pub fn connect(registry: &Registry, to: SocketAddr, token: Token) -> io::Result<Wire> {
        Wire::new(registry, TcpStream::connect(to)?, token, false)
    }

    pub fn accepted(registry: &Registry, socket: TcpStream, token: Token) -> io::Result<Wire> {
        Wire::new(registry, socket, token, true)
    }

    fn new(registry: &Registry, mut socket: TcpStream, token: Token, up: bool) -> io::Result<Wire> {
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        let _ = socket.set_nodelay(true);
        Ok(Wire {
            socket,
            input: Vec::new(),
            output: Vec::new(),
            done: 0,
            put: 0,
            written: 0,
            up,
        })
    }

    pub fn put(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
        self.put += bytes.len() as u64;
    }

    pub fn frame(&mut self, frame: &OwnedFrame) {
        let bytes = encoded(frame);
        self.put(&bytes);
    }

    /// Writes what it can.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.done < self.output.len() {
            match self.socket.write(&self.output[self.done..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(some) => {
                    self.done += some;
                    self.written += some as u64;
                    self.up = true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::WouldBlock | ErrorKind::NotConnected
                    ) =>
                {
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
        self.output.clear();
        self.done = 0;
        Ok(())
    }

    /// Reads all that has come; false once the other side has ended or the connection broke.
    pub fn read(&mut self) -> bool {
        let mut some = [0; 16 * 1024];
        loop {
            match self.socket.read(&mut some) {
                Ok(0) => return false,
                Ok(count) => {
                    self.up = true;
                    self.input.extend_from_slice(&some[..count]);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::NotConnected && !self.up => return true,
                Err(_) => return false,
            }
        }
    }

    pub fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}

pub fn encoded(frame: &OwnedFrame) -> Vec<u8> {
    let mut bytes = vec![0; frame.encode_len(false)];
    let length = encode::encode(&mut bytes, frame, false).unwrap_or(0);
    bytes.truncate(length);
    bytes
}

pub fn bulk(bytes: impl Into<Vec<u8>>) -> OwnedFrame {
    OwnedFrame::BulkString(bytes.into())
}

/// Answers go out in the order of what was asked on a connection.
pub struct Turns<K> {
    slots: VecDeque<(K, Option<Vec<u8>>)>,
}

impl<K> Default for Turns<K> {
    fn default() -> Self {
        Turns {
            slots: VecDeque::new(),
        }
    }
}

impl<K: PartialEq + Copy> Turns<K> {
    pub fn asked(&mut self, key: K) {
        self.slots.push_back((key, None));
    }

    /// An answer: says what may go out now.
    pub fn answered(&mut self, key: K, answer: Vec<u8>) -> Vec<u8> {
        if let Some(slot) = self
            .slots
            .iter_mut()
            .find(|slot| slot.0 == key && slot.1.is_none())
        {
            slot.1 = Some(answer);
        }
        let mut out = Vec::new();
        while let Some((_, Some(answer))) = self.slots.front_mut() {
            out.append(answer);
            self.slots.pop_front();
        }
        out
    }

    pub fn open(&self) -> impl Iterator<Item = K> + '_ {
        self.slots.iter().map(|slot| slot.0)
    }
}

#[cfg(test)]
mod tests;
