//! One buffered TCP connection: reads until the socket is empty, collects what is to be written until the end
//! of the turn, and tells whether all of it was.

use crate::must;
use crate::reactor::{Reactor, Side};
use mio::net::TcpStream;
use mio::unix::SourceFd;
use mio::{Interest, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;

const BOTH_WAYS: Interest = Interest::READABLE.add(Interest::WRITABLE);

/// So often a connection is tried at once.
const CONNECTS: u32 = 3;

/// Buffers that have grown past this are given back once they are empty.
const KEPT: usize = 4096;

pub struct BufferedStream {
    socket: TcpStream,
    token: Token,
    /// The poll tells of it.
    registered: bool,
    /// Connected, as far as a write or the poll has told.
    pub up: bool,
    /// Nothing more is to be read until the poll says so.
    pub drained: bool,
    /// It was reset, or failed otherwise: no end that the other side has put.
    pub broken: bool,
    /// What has come and was not taken yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
    done: usize,
    marked: bool,
}

impl BufferedStream {
    /// Opens a connection. What fails for want of something of this machine's own, or since a signal came, may not fail a
    /// moment later.
    pub fn connect(
        reactor: &mut Reactor,
        at: SocketAddr,
        side: Side,
        key: usize,
    ) -> io::Result<BufferedStream> {
        let mut tried = 1;
        loop {
            let opened = TcpStream::connect(at).and_then(|socket| {
                let mut stream = BufferedStream::new(socket, side, key, false);
                stream.register(reactor).map(|()| stream)
            });
            match opened {
                Err(error) if error.kind() != ErrorKind::ConnectionRefused && tried < CONNECTS => {
                    tried += 1
                }
                opened => return opened,
            }
        }
    }

    /// A connection that was accepted. It is kept where the poll can't take it yet: it may hold a command. Whoever owns it
    /// registers it then.
    pub fn accepted(
        reactor: &mut Reactor,
        socket: TcpStream,
        side: Side,
        key: usize,
    ) -> BufferedStream {
        let mut stream = BufferedStream::new(socket, side, key, true);
        let _ = stream.register(reactor);
        stream
    }

    fn new(socket: TcpStream, side: Side, key: usize, up: bool) -> BufferedStream {
        // Without it small answers would wait for the other side's acknowledgement.
        let _ = socket.set_nodelay(true);
        let (input, output, done) = (Vec::new(), Vec::new(), 0);
        BufferedStream {
            socket,
            token: side.token(key),
            registered: false,
            up,
            drained: false,
            broken: false,
            input,
            output,
            done,
            marked: false,
        }
    }

    /// Has the poll tell of it from now on, if it does not yet.
    pub fn register(&mut self, reactor: &mut Reactor) -> io::Result<()> {
        // By its number: mio's own record of a registration outlives one that failed.
        if !self.registered {
            reactor.registry.register(
                &mut SourceFd(&self.socket.as_raw_fd()),
                self.token,
                BOTH_WAYS,
            )?;
            self.registered = true;
        }
        Ok(())
    }

    /// Whether a read or write that failed is only to be done again later: when the poll tells, or, where the system had
    /// no memory for it, as soon as the poll is asked again.
    fn pauses(&mut self, reactor: &Reactor, error: &io::Error) -> bool {
        let short = error
            .raw_os_error()
            .is_some_and(|number| [libc::ENOBUFS, libc::ENOMEM].contains(&number));
        // The poll tells what it was just told of again.
        let again = short
            && reactor
                .registry
                .reregister(
                    &mut SourceFd(&self.socket.as_raw_fd()),
                    self.token,
                    BOTH_WAYS,
                )
                .is_ok();
        again || error.kind() == ErrorKind::WouldBlock
    }

    /// Has `write` add to the output; it goes out at the end of the turn. Says how many bytes it added.
    pub fn put(&mut self, reactor: &mut Reactor, write: impl FnOnce(&mut Vec<u8>)) -> usize {
        let before = self.output.len();
        write(&mut self.output);
        let added = self.output.len() - before;
        reactor.held += added;
        self.flush_later(reactor);
        added
    }

    /// It is flushed at the end of the turn.
    pub fn flush_later(&mut self, reactor: &mut Reactor) {
        if !self.marked {
            self.marked = true;
            reactor.written.push(self.token);
        }
    }

    /// Takes back what was put, where none of it has gone out.
    pub fn take_back(&mut self, reactor: &mut Reactor) {
        must!(
            reactor,
            self.done == 0,
            "only what has not begun to go out is taken back"
        );
        reactor.freed(self.output.len());
        self.output.clear();
    }

    /// Bytes not written yet.
    pub fn left(&self) -> usize {
        self.output.len() - self.done
    }

    /// Writes what it can. Says whether any of it went.
    pub fn flush(&mut self, reactor: &mut Reactor) -> io::Result<bool> {
        self.marked = false;
        let before = self.done;
        while self.done < self.output.len() {
            match self.socket.write(&self.output[self.done..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(some) => self.done += some,
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error) if self.pauses(reactor, &error) => break,
                Err(error) => return Err(error),
            }
        }
        let moved = self.done > before;
        self.up |= moved;
        if self.left() == 0 {
            reactor.freed(self.output.len());
            shrink(&mut self.output);
            self.done = 0;
        }
        Ok(moved)
    }

    /// Reads what has come, as long as the input holds less than `most`. False once the other side has ended
    /// or the connection broke.
    pub fn read(&mut self, reactor: &mut Reactor, most: usize) -> bool {
        while self.input.len() < most {
            let room = reactor.scratch.len().min(most - self.input.len());
            match self.socket.read(&mut reactor.scratch[..room]) {
                Ok(0) => return false,
                Ok(some) => {
                    self.up = true;
                    // Many half commands must not take twice their size.
                    self.input.reserve_exact(if self.input.is_empty() {
                        some
                    } else {
                        some.max(KEPT)
                    });
                    self.input.extend_from_slice(&reactor.scratch[..some]);
                    reactor.held += some;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error) if self.pauses(reactor, &error) => {
                    self.drained = true;
                    return true;
                }
                Err(_) => {
                    self.broken = true;
                    return false;
                }
            }
        }
        true
    }

    /// Takes bytes off the front of the input.
    pub fn take(&mut self, reactor: &mut Reactor, count: usize) {
        reactor.freed(count);
        if count == self.input.len() {
            shrink(&mut self.input);
        } else {
            self.input.drain(..count);
        }
    }

    /// The poll says that it can be written to: a connection that was opened is up or has failed.
    pub fn opened(&mut self) -> io::Result<()> {
        match self.socket.take_error()? {
            Some(error) => Err(error),
            None => {
                self.up |= self.socket.peer_addr().is_ok();
                Ok(())
            }
        }
    }

    /// Shuts down sending; from now on the poll tells of it by another token. All must be written.
    pub fn half_close(&mut self, reactor: &mut Reactor, side: Side, key: usize) -> io::Result<()> {
        must!(
            reactor,
            self.left() == 0,
            "what was answered goes out before the end"
        );
        self.take(reactor, self.input.len());
        self.token = side.token(key);
        reactor.registry.reregister(
            &mut SourceFd(&self.socket.as_raw_fd()),
            self.token,
            Interest::READABLE,
        )?;
        self.socket.shutdown(Shutdown::Write)
    }

    /// Reads and drops what has come, `most` bytes in all. False once the other side has ended, the connection broke
    /// or that is reached.
    pub fn discard(&mut self, reactor: &mut Reactor, most: &mut usize) -> bool {
        while *most > 0 {
            let room = reactor.scratch.len().min(*most);
            match self.socket.read(&mut reactor.scratch[..room]) {
                Ok(0) => return false,
                Ok(some) => *most -= some,
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Closes at once. What has come and was not read resets the connection.
    pub fn close(self, reactor: &mut Reactor) {
        reactor.freed(self.input.len() + self.output.len());
        let _ = reactor
            .registry
            .deregister(&mut SourceFd(&self.socket.as_raw_fd()));
    }
}

fn shrink(buffer: &mut Vec<u8>) {
    if buffer.capacity() > KEPT {
        *buffer = Vec::new();
    }
    buffer.clear();
}
