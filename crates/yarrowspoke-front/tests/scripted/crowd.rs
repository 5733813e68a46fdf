//! Clients that connect, write, and come again whenever their connection is closed.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// Stack of a client's thread.
const STACK_BYTES: usize = 128 * 1024;
/// Longest time for connecting, and between two looks at whether the crowd is to end.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Clients that come again until this is dropped, each on a thread of its own.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts clients that write `first` as soon as they are connected, and `again` every tenth of a second from then on.
    pub fn start(address: SocketAddr, clients: usize, first: &'static [u8], again: &'static [u8]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..clients)
            .map(|_| {
                let stopped = Arc::clone(&stop);
                let come_again = move || {
                    while !stopped.load(Ordering::Relaxed) {
                        if let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                            write_until_closed(stream, first, again, &stopped);
                        }
                    }
                };
                Builder::new().stack_size(STACK_BYTES).spawn(come_again).unwrap()
            })
            .collect();
        Self { stop, threads }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn write_until_closed(mut stream: TcpStream, first: &[u8], again: &[u8], stopped: &AtomicBool) {
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut is_open = stream.write_all(first).is_ok();
    while is_open && !stopped.load(Ordering::Relaxed) {
        is_open = match stream.read(&mut [0; 256]) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock && stream.write_all(again).is_ok(),
        };
    }
}
