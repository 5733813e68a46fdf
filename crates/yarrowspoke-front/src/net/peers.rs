//! Datagrams between fronts; they are unreliable and untrusted.

use super::turn::Turn;
use crate::input::Input;
use async_channel::Sender;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Largest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 256;

/// Socket for messages to and from the other fronts of the tier.
pub struct Peers {
    socket: Async<UdpSocket>,
    addresses: RefCell<Vec<SocketAddr>>,
    broadcast: Cell<Option<SocketAddr>>,
}

impl Peers {
    /// Binds the socket that receives messages; `addresses` are the other fronts, `broadcast` reaches all of them.
    pub fn bind(
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> std::io::Result<Rc<Self>> {
        let socket = Async::<UdpSocket>::bind(listen)?;
        Ok(Rc::new(Self { socket, addresses: RefCell::new(addresses), broadcast: Cell::new(broadcast) }))
    }

    /// Replaces the addresses of the other fronts.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>, broadcast: Option<SocketAddr>) {
        self.addresses.replace(addresses);
        self.broadcast.set(broadcast);
    }

    /// Sends to one front or to all; a datagram that cannot be sent at once is dropped.
    pub fn send(&self, peer: Option<u16>, bytes: &[u8]) {
        let address = match peer {
            Some(index) => self.addresses.borrow().get(usize::from(index)).copied(),
            None => self.broadcast.get(),
        };
        let result = match address {
            Some(address) if bytes.len() <= DATAGRAM_LIMIT => self.socket.get_ref().send_to(bytes, address),
            _ => Err(std::io::ErrorKind::InvalidInput.into()),
        };
        if let Err(e) = result {
            log::debug!("peer message not sent: {e}");
        }
    }

    /// Forwards received messages; datagrams from unknown senders and oversized ones are ignored.
    pub async fn listen(self: Rc<Self>, to: Sender<Input>) {
        let mut bytes = [0; DATAGRAM_LIMIT + 1];
        let mut turn = Turn::default();
        loop {
            turn.pause_if_used().await;
            let received = self.socket.recv_from(&mut bytes).await;
            turn.record_message(received.as_ref().map_or(0, |(len, _)| *len));
            match received {
                Ok((len, from)) if len <= DATAGRAM_LIMIT => {
                    let sender = self.addresses.borrow().iter().position(|p| *p == from);
                    if let Some(peer) = sender {
                        let _ = to.send(Input::PeerMessage(peer as u32, bytes[..len].to_vec())).await;
                    }
                }
                Ok(_) => log::debug!("peer message exceeds the size limit"),
                Err(e) => {
                    log::debug!("peer socket: {e}");
                    async_io::Timer::after(super::micros_to_duration(10_000)).await;
                }
            }
        }
    }
}
