//! Machines that drain, leave and return under their names and addresses.

use super::{lock, read_head, write_answer};
use crate::common::{free_port, wait_until};
use std::io::{BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// State of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Serves.
    Serving,
    /// Rejects new requests.
    Draining,
    /// The process has ended: connections are reset, new ones refused.
    Gone,
}

/// A machine that keeps its name and address across restarts of its process.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    life: Arc<Mutex<Life>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    came: Arc<Mutex<Vec<Came>>>,
}

/// A request that came.
#[derive(Clone, Debug)]
pub struct Came {
    pub at: Instant,
    /// The front that the client used, from the client's name in the request id.
    pub front: Option<usize>,
    pub id: String,
    /// Whether running it again would repeat a side effect.
    pub has_effect: bool,
    /// Whether it was not rejected.
    pub ran: bool,
}

impl Came {
    fn of(head: &str, life: Life) -> Self {
        let id =
            head.lines().find_map(|line| line.strip_prefix("X-Call-Id: ")).unwrap_or_default().to_owned();
        let front = id.strip_prefix('c').and_then(|id| id.split('-').next()?.parse().ok());
        Self {
            at: Instant::now(),
            front,
            id,
            has_effect: head.starts_with("POST"),
            ran: life != Life::Draining,
        }
    }
}

/// Listens at the address of a listener that has just closed. Its socket may remain open for a moment in its thread or in a
/// process that is being started.
fn listen_again(address: SocketAddr) -> TcpListener {
    let mut listener = None;
    wait_until("the address of a machine is free again", || {
        listener = TcpListener::bind(address).ok();
        listener.is_some()
    });
    listener.unwrap()
}

impl Server {
    /// Starts this many machines.
    pub fn start_all(machines: usize) -> Vec<Self> {
        (0..machines).map(|number| Self::start(&format!("s-{number}"))).collect()
    }

    fn start(name: &str) -> Self {
        // While a machine is gone, its port must not be reused by another process.
        let listener = TcpListener::bind(free_port()).unwrap();
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            life: Arc::new(Mutex::new(Life::Serving)),
            open: Arc::default(),
            came: Arc::default(),
        };
        server.accept(listener);
        server
    }

    pub fn live(&self, life: Life) {
        let before = std::mem::replace(&mut *lock(&self.life), life);
        if life == Life::Gone {
            for stream in lock(&self.open).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        } else if before == Life::Gone {
            self.accept(listen_again(self.address));
        }
    }

    /// Returns the requests received so far.
    pub fn came(&self) -> Vec<Came> {
        lock(&self.came).clone()
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let server = self.clone();
        std::thread::spawn(move || {
            while *lock(&server.life) != Life::Gone {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                lock(&server.open).push(stream.try_clone().unwrap());
                let serving = server.clone();
                std::thread::spawn(move || serving.converse(stream));
            }
        });
    }

    fn converse(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut reader) {
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
            if reader.read_exact(&mut vec![0; length.unwrap_or(0)]).is_err() {
                return;
            }
            let life = *lock(&self.life);
            lock(&self.came).push(Came::of(&head, life));
            let done = match life {
                Life::Serving => write_answer(&mut stream, "200 OK", "", "served"),
                Life::Draining => {
                    write_answer(&mut stream, "503 Service Unavailable", "X-Rejected: 1\r\n", "")
                }
                Life::Gone => return,
            };
            if done.is_err() {
                return;
            }
        }
    }
}
