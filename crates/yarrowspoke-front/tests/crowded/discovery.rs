//! A discovery service that serves opening calls one at a time, with a separate address for each front.

use super::{lock, read_head, write_answer, Server};
use crate::common::free_port;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after which open connections are closed once their address is no longer served.
const CLOSES_AFTER: Duration = Duration::from_millis(1_500);
/// Interval at which a listener checks whether it should close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// How discovery treats its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Serves calls one at a time.
    InTurn,
    /// Accepts calls and never answers; watches have ended.
    Down,
    /// Serves calls one at a time, and stops in the middle of each response.
    HalfAnswers,
    /// Stops in the middle of its first two responses and is overloaded by others after that: each further call ends in 503
    /// after `PATIENCE`.
    Overloaded,
}

struct Listed {
    version: u64,
    /// Version of the last change and status of each machine.
    machines: BTreeMap<String, (u64, SocketAddr, &'static str)>,
    service: Service,
    /// Processing time of an opening call.
    cost: Duration,
    /// When the calls accepted so far have been processed.
    free_at: Instant,
    answered: usize,
    /// Calls answered since the service last changed.
    answered_so: usize,
    wasted: usize,
    changes: Vec<Change>,
    written: Vec<Written>,
}

/// Returns whether the caller has closed its connection.
fn has_left(stream: &TcpStream) -> bool {
    let seen = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0; 1]));
    stream.set_nonblocking(false).is_err() || matches!(seen, Ok(0))
}

/// A change of a machine's listed status.
#[derive(Clone, Debug)]
pub struct Change {
    pub version: u64,
    pub at: Instant,
    pub machine: String,
    pub status: &'static str,
}

/// A list or delta that was written completely to a front.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    pub front: usize,
    pub version: u64,
    pub at: Instant,
}

/// An address at which one front reaches discovery.
pub struct Door {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Door {
    /// Stops accepting connections, and closes the open ones a little later.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        let open = Arc::clone(&self.open);
        std::thread::spawn(move || {
            std::thread::sleep(CLOSES_AFTER);
            for stream in lock(&open).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }
}

/// Discovery for a whole fleet. A call that waited for longer than `PATIENCE` ends in 503 but is processed all the same; one
/// that would wait for longer than `QUEUE_LIMIT` is rejected at once.
#[derive(Clone)]
pub struct BusyDiscovery {
    listed: Arc<(Mutex<Listed>, Condvar)>,
}

impl BusyDiscovery {
    const PATIENCE: Duration = Duration::from_secs(2);
    const QUEUE_LIMIT: Duration = Duration::from_secs(6);
    const ANSWERS_OF_OVERLOADED: usize = 2;

    pub fn start(machines: &[Server]) -> Self {
        let lines = machines.iter().map(|m| (m.name.clone(), (1, m.address, "up"))).collect();
        let listed = Listed {
            version: 1,
            machines: lines,
            service: Service::InTurn,
            cost: Duration::ZERO,
            free_at: Instant::now(),
            answered: 0,
            answered_so: 0,
            wasted: 0,
            changes: Vec::new(),
            written: Vec::new(),
        };
        Self { listed: Arc::new((Mutex::new(listed), Condvar::new())) }
    }

    /// Returns whether both are the same service, whatever the address.
    pub fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.listed, &other.listed)
    }

    /// Listens at a new address for this front.
    pub fn door(&self, front: usize) -> Door {
        let listener = TcpListener::bind(free_port()).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let door = Door { address, closed: Arc::default(), open: Arc::default() };
        let (serving, closed, open) = (self.clone(), Arc::clone(&door.closed), Arc::clone(&door.open));
        std::thread::spawn(move || {
            while !closed.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                lock(&open).push(stream.try_clone().unwrap());
                let serving = serving.clone();
                std::thread::spawn(move || serving.converse(stream, front));
            }
        });
        door
    }

    /// Sets the behaviour and the processing time of an opening call.
    pub fn serve(&self, service: Service, cost: Duration) {
        let mut listed = lock(&self.listed.0);
        listed.service = service;
        listed.answered_so = 0;
        listed.cost = cost;
        self.listed.1.notify_all();
    }

    /// Changes the listed status of machines, all in one version.
    pub fn change(&self, machines: &[&Server], status: &'static str) {
        let mut listed = lock(&self.listed.0);
        listed.version += 1;
        let version = listed.version;
        for machine in machines {
            listed.machines.insert(machine.name.clone(), (version, machine.address, status));
            let change = Change { version, at: Instant::now(), machine: machine.name.clone(), status };
            listed.changes.push(change);
        }
        self.listed.1.notify_all();
    }

    /// Returns the whole list in the form used in a front's configuration.
    pub fn snapshot(&self) -> String {
        Self::text(&lock(&self.listed.0), None)
    }

    /// Returns the opening calls answered in time, and those processed for callers that had already been rejected.
    pub fn calls(&self) -> (usize, usize) {
        let listed = lock(&self.listed.0);
        (listed.answered, listed.wasted)
    }

    /// Returns all changes so far.
    pub fn changes(&self) -> Vec<Change> {
        lock(&self.listed.0).changes.clone()
    }

    /// Returns all responses written to fronts so far.
    pub fn written(&self) -> Vec<Written> {
        lock(&self.listed.0).written.clone()
    }

    fn note_written(&self, front: usize, version: u64) {
        lock(&self.listed.0).written.push(Written { front, version, at: Instant::now() });
    }

    fn text(listed: &Listed, from: Option<u64>) -> String {
        let news = listed.machines.iter().filter(|m| from.is_none_or(|f| m.1 .0 > f));
        let line = |(name, (_, address, status)): (&String, &(u64, SocketAddr, &str))| {
            format!(
                r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":0,"build":41}}"#
            )
        };
        let lines: Vec<String> = news.map(line).collect();
        format!(
            r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#,
            listed.version,
            from.is_none(),
            lines.join(",")
        )
    }

    fn converse(&self, mut stream: TcpStream, front: usize) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(head) = read_head(&mut reader) {
            let number = |name: &str| -> Option<u64> {
                head.split(['?', '&', ' ']).find_map(|p| p.strip_prefix(name)?.parse().ok())
            };
            let hold = Duration::from_millis(number("hold_ms=").unwrap_or(0));
            let done = match hold.is_zero() {
                true => self.open(&mut stream, front, number("from=")),
                false => self.wait(&mut stream, front, number("from="), hold),
            };
            if done.is_err() {
                return;
            }
        }
    }

    /// Serves a call that opens a watch or fetches the list; it queues behind earlier ones.
    fn open(&self, stream: &mut TcpStream, front: usize, from: Option<u64>) -> std::io::Result<()> {
        let now = Instant::now();
        let ready = {
            let mut listed = lock(&self.listed.0);
            if listed.service == Service::Down {
                return Ok(());
            }
            if listed.service == Service::Overloaded && listed.answered_so >= Self::ANSWERS_OF_OVERLOADED {
                listed.wasted += 1;
                drop(listed);
                std::thread::sleep(Self::PATIENCE);
                return write_answer(stream, "503 Service Unavailable", "", "");
            }
            let ready = listed.free_at.max(now) + listed.cost;
            if ready > now + Self::QUEUE_LIMIT {
                drop(listed);
                return write_answer(stream, "503 Service Unavailable", "", "");
            }
            listed.free_at = ready;
            ready
        };
        std::thread::sleep(ready.min(now + Self::PATIENCE).saturating_duration_since(Instant::now()));
        let mut listed = lock(&self.listed.0);
        if ready > now + Self::PATIENCE {
            listed.wasted += 1;
            drop(listed);
            return write_answer(stream, "503 Service Unavailable", "", "");
        }
        listed.answered += 1;
        listed.answered_so += 1;
        let half = matches!(listed.service, Service::HalfAnswers | Service::Overloaded);
        let text = Self::text(&listed, from);
        let version = listed.version;
        drop(listed);
        Self::write_list(stream, &text, half)?;
        self.note_written(front, version);
        Ok(())
    }

    /// Serves a call on an open watch: it is held until a change, and ends when discovery goes down.
    fn wait(
        &self,
        stream: &mut TcpStream,
        front: usize,
        from: Option<u64>,
        hold: Duration,
    ) -> std::io::Result<()> {
        let ends = |service| matches!(service, Service::Down | Service::Overloaded);
        let waits = |l: &mut Listed| !ends(l.service) && from.is_some_and(|f| l.version <= f);
        let listed = lock(&self.listed.0);
        let waited = self.listed.1.wait_timeout_while(listed, hold, waits);
        let listed = waited.unwrap_or_else(PoisonError::into_inner).0;
        let (text, service, version) = (Self::text(&listed, from), listed.service, listed.version);
        drop(listed);
        if has_left(stream) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        if ends(service) {
            return write_answer(stream, "503 Service Unavailable", "", "");
        }
        Self::write_list(stream, &text, service == Service::HalfAnswers)?;
        self.note_written(front, version);
        Ok(())
    }

    fn write_list(stream: &mut TcpStream, text: &str, half: bool) -> std::io::Result<()> {
        if !half {
            return write_answer(stream, "200 OK", "", text);
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        stream.write_all(head.as_bytes())?;
        stream.write_all(&text.as_bytes()[..text.len() / 2])
    }
}
