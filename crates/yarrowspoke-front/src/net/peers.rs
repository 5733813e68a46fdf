//! Other fronts: datagrams, unreliable and untrusted.

use crate::input::Input;
use async_channel::Sender;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Most bytes of a datagram.
const DATAGRAM_LIMIT: usize = 256;

/// The other fronts of the tier.
pub struct Peers {
    socket: Async<UdpSocket>,
    each: RefCell<Vec<SocketAddr>>,
    all: Cell<Option<SocketAddr>>,
}

impl Peers {
    /// Binds the socket at which messages arrive.
    pub fn bind(
        listen: SocketAddr,
        each: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) -> std::io::Result<Rc<Self>> {
        let socket = Async::<UdpSocket>::bind(listen)?;
        Ok(Rc::new(Self { socket, each: RefCell::new(each), all: Cell::new(all) }))
    }

    /// From now on they are reached elsewhere.
    pub fn set_addresses(&self, each: Vec<SocketAddr>, all: Option<SocketAddr>) {
        self.each.replace(each);
        self.all.set(all);
    }

    /// Sends to one front or to all; what cannot be sent at once is lost, as datagrams may be.
    pub fn send(&self, peer: Option<u16>, bytes: &[u8]) {
        let to = match peer {
            Some(n) => self.each.borrow().get(usize::from(n)).copied(),
            None => self.all.get(),
        };
        let sent = match to {
            Some(to) if bytes.len() <= DATAGRAM_LIMIT => self.socket.get_ref().send_to(bytes, to),
            _ => Err(std::io::ErrorKind::InvalidInput.into()),
        };
        if let Err(e) = sent {
            log::debug!("peer message not sent: {e}");
        }
    }

    /// Hands on what arrives; strangers and over-long datagrams are left out.
    pub async fn listen(self: Rc<Self>, to: Sender<Input>) {
        let mut bytes = [0; DATAGRAM_LIMIT + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((n, from)) if n <= DATAGRAM_LIMIT => {
                    let known = self.each.borrow().iter().position(|p| *p == from);
                    if let Some(peer) = known {
                        let _ = to.send(Input::PeerMessage(peer as u32, bytes[..n].to_vec())).await;
                    }
                }
                Ok(_) => log::debug!("peer message too long"),
                Err(e) => {
                    log::debug!("peer socket: {e}");
                    async_io::Timer::after(super::micros_to_duration(10_000)).await;
                }
            }
        }
    }
}
