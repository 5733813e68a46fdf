//! Where things listen: on ports of the system's choice, or on a range that was asked for.

use async_io::Async;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Gives addresses to stand-ins and processes; all on the loopback range.
#[derive(Debug)]
pub struct Ports {
    /// The next port of the range; 0 if none was asked for.
    next: AtomicU32,
}

fn named(address: SocketAddr, e: &io::Error) -> io::Error {
    io::Error::new(e.kind(), format!("{address}: {e}"))
}

impl Ports {
    /// From `first` on, or on ports of the system's choice.
    pub fn new(first: Option<u16>) -> Self {
        Self { next: AtomicU32::new(first.map_or(0, u32::from)) }
    }

    fn asked(&self) -> io::Result<Option<SocketAddr>> {
        if self.next.load(Ordering::Relaxed) == 0 {
            return Ok(None);
        }
        let port = self.next.fetch_add(1, Ordering::Relaxed);
        let port =
            u16::try_from(port).map_err(|_| io::Error::other("the range of ports ends above 65535"))?;
        Ok(Some(SocketAddr::from(([127, 0, 0, 1], port))))
    }

    /// A listener of this process.
    pub fn listen(&self) -> io::Result<(Async<TcpListener>, SocketAddr)> {
        let address = self.asked()?.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = Async::<TcpListener>::bind(address).map_err(|e| named(address, &e))?;
        let address = listener.get_ref().local_addr()?;
        Ok((listener, address))
    }

    /// An address for a process that is started, and started again, on it: no other process of this run and no outgoing
    /// connection has it.
    pub fn reserve(&self) -> io::Result<SocketAddr> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        if let Some(address) = self.asked()? {
            // Danger: a process that finds its address taken ends by itself, and is then waited for in vain.
            return TcpListener::bind(address).map(|_| address).map_err(|e| named(address, &e));
        }
        let (n, run) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
        let byte = |x: u32| (1 + x % 250) as u8;
        Ok(SocketAddr::from(([127, byte(run), byte(run / 250 + n / 250), byte(n)], 5_001)))
    }
}
