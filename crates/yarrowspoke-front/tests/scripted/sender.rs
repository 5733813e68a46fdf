//! Clients that write without reading, many of them on one thread.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A client that writes as much as is taken of what it has to send, and reads nothing.
pub struct Sender {
    stream: TcpStream,
    /// What is not written yet.
    pub rest: Vec<u8>,
    has_ended: bool,
}

impl Sender {
    /// Connects and writes what is taken at once.
    pub fn start(address: SocketAddr, bytes: Vec<u8>) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        let mut sender = Self { stream, rest: bytes, has_ended: false };
        sender.advance();
        sender
    }

    /// Writes what is taken at once; returns whether anything is left to write.
    pub fn advance(&mut self) -> bool {
        match self.stream.write(&self.rest) {
            Ok(count) => drop(self.rest.drain(..count)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.has_ended = true,
        }
        !self.rest.is_empty() && !self.has_ended
    }

    /// Returns whether an answer or the end of the connection has arrived.
    pub fn is_answered(&mut self) -> bool {
        self.has_ended
            || !matches!(self.stream.read(&mut [0; 64]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}
