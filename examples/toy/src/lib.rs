//! Small stand-ins for what a front talks to: machines, discovery and the platform.
//!
//! They speak just enough of the protocol to try a front by hand and to test it. Each listens on loopback and
//! serves every connection on a thread of its own.

use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts on `address` and serves each connection on a thread of its own.
fn accept(address: SocketAddr, serve: impl Fn(TcpStream) + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(bound)
}

/// A message as it was read: its head's lines and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line and fields.
    pub lines: Vec<String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first line.
    pub fn start(&self) -> &str {
        self.lines.first().map_or("", String::as_str)
    }

    /// The first field of this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.lines.iter().skip(1).filter_map(|l| l.split_once(':'));
        fields.filter(|f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1.trim()).next()
    }
}

/// Reads one message with a stated length; `None` once the connection has ended.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end() {
            "" => break,
            text => message.lines.push(text.to_owned()),
        }
    }
    let length = message.field("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

fn answer(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let mut bytes = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// One byte for each character, so that bytes which are no UTF-8 can be written down.
fn latin(text: &str) -> Vec<u8> {
    text.chars().map(|c| u8::try_from(u32::from(c)).unwrap_or(b'?')).collect()
}

/// What a machine does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Serves, with the request's own body behind its path.
    Serve,
    /// Serves in chunks.
    ServeChunked,
    /// Serves after so many milliseconds.
    ServeLate(u64),
    /// Answers with an error.
    Fail,
    /// Turns away unseen.
    TurnAway,
    /// Never answers.
    Hang,
    /// Ends the connection without an answer.
    Break,
    /// Serves, with these bytes before the answer, these fields in its head and these bytes behind it.
    ServeAmid(&'static str, &'static str, &'static str),
    /// Writes these bytes instead of an answer and leaves the connection open.
    Spoil(&'static str),
}

/// A toy machine.
#[derive(Clone)]
pub struct Machine {
    /// Where it listens.
    pub address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    seen: Arc<Mutex<Vec<Message>>>,
    ended: Arc<Mutex<usize>>,
}

impl Machine {
    /// Starts a machine.
    pub fn start(address: SocketAddr, behaviour: Behaviour) -> io::Result<Self> {
        let machine = Self {
            address,
            behaviour: Arc::new(Mutex::new(behaviour)),
            seen: Arc::default(),
            ended: Arc::default(),
        };
        let serving = machine.clone();
        let address = accept(address, move |stream| {
            // A connection that breaks is no news to a machine.
            let _ = serving.converse(stream);
            *lock(&serving.ended) += 1;
        })?;
        Ok(Self { address, ..machine })
    }

    /// Changes what it does from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        *lock(&self.behaviour) = behaviour;
    }

    /// The requests that it got.
    pub fn seen(&self) -> Vec<Message> {
        lock(&self.seen).clone()
    }

    /// How many connections have ended.
    pub fn ended(&self) -> usize {
        *lock(&self.ended)
    }

    fn converse(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(message) = read_message(&mut reader)? {
            let path = message.start().split(' ').nth(1).unwrap_or("").to_owned();
            let body = [path.as_bytes(), b"|", &message.body].concat();
            lock(&self.seen).push(message);
            let behaviour = *lock(&self.behaviour);
            match behaviour {
                Behaviour::Serve => {
                    answer(&mut stream, "200 OK", "X-Load-Report: mean_ms=5.0\r\n", &body)?;
                }
                Behaviour::ServeLate(ms) => {
                    std::thread::sleep(Duration::from_millis(ms));
                    answer(&mut stream, "200 OK", "X-Load-Report: mean_ms=5.0\r\n", &body)?;
                }
                Behaviour::ServeChunked => {
                    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
                    for part in body.chunks(3) {
                        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                        bytes.extend_from_slice(&[part, b"\r\n"].concat());
                    }
                    stream.write_all(&[&bytes[..], b"0\r\n\r\n"].concat())?;
                }
                Behaviour::Fail => answer(&mut stream, "500 Internal Server Error", "", b"")?,
                Behaviour::TurnAway => {
                    answer(&mut stream, "503 Service Unavailable", "X-Rejected: 1\r\n", b"")?;
                }
                Behaviour::Hang => {}
                Behaviour::Break => return Ok(()),
                Behaviour::ServeAmid(before, fields, behind) => {
                    let (length, mut bytes) = (body.len(), before.as_bytes().to_vec());
                    let head = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n");
                    bytes.extend_from_slice(&latin(&head));
                    bytes.extend_from_slice(&[&body, behind.as_bytes()].concat());
                    stream.write_all(&bytes)?;
                }
                Behaviour::Spoil(bytes) => stream.write_all(&latin(bytes))?,
            }
        }
        Ok(())
    }
}

#[derive(Default)]
struct Listed {
    index: u64,
    /// Version of the last change, name and line of each machine.
    lines: Vec<(u64, String, String)>,
    watches: usize,
    /// Written instead of the next answers that hold a change.
    spoilt: VecDeque<&'static str>,
    /// The version that the last call started from.
    from: Option<u64>,
}

/// Toy discovery.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    listed: Arc<(Mutex<Listed>, Condvar)>,
}

impl Discovery {
    /// Starts discovery with an empty list.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listed: Arc<(Mutex<Listed>, Condvar)> = Arc::default();
        let serving = Self { address, listed };
        let clone = serving.clone();
        let address = accept(address, move |stream| {
            let _ = clone.converse(stream);
        })?;
        Ok(Self { address, ..serving })
    }

    /// Lists a machine anew.
    pub fn list(&self, name: &str, address: SocketAddr, status: &str, build: u16) {
        let mut listed = lock(&self.listed.0);
        listed.index += 1;
        let index = listed.index;
        let line = format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":0,"build":{build}}}"#
        );
        listed.lines.retain(|l| l.1 != name);
        listed.lines.push((index, name.to_owned(), line));
        self.listed.1.notify_all();
    }

    /// Spoils the next answers that hold a change: each is replaced by such bytes, on a connection that stays open.
    pub fn spoil(&self, answers: &[&'static str]) {
        lock(&self.listed.0).spoilt.extend(answers);
    }

    /// The version from which the last call asked.
    pub fn asked_from(&self) -> Option<u64> {
        lock(&self.listed.0).from
    }

    /// The whole list, as a front's configuration holds it.
    pub fn snapshot(&self) -> String {
        Self::text(&lock(&self.listed.0), None)
    }

    /// How many watches were asked for.
    pub fn watches(&self) -> usize {
        lock(&self.listed.0).watches
    }

    fn text(listed: &Listed, from: Option<u64>) -> String {
        let news = |l: &&(u64, String, String)| from.is_none_or(|f| l.0 > f);
        let lines: Vec<&str> = listed.lines.iter().filter(news).map(|l| l.2.as_str()).collect();
        let (index, whole) = (listed.index, from.is_none());
        format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, lines.join(","))
    }

    fn converse(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(message) = read_message(&mut reader)? {
            let target = message.start().split(' ').nth(1).unwrap_or("");
            let number = |name: &str| -> Option<u64> {
                target.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let from = number("from");
            let mut listed = lock(&self.listed.0);
            listed.from = from;
            if let (Some(from), Some(hold)) = (from, number("hold_ms")) {
                listed.watches += 1;
                let waits = |l: &mut Listed| l.index <= from;
                let waited = self.listed.1.wait_timeout_while(listed, Duration::from_millis(hold), waits);
                listed = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
            let text = Self::text(&listed, from);
            let news = from.is_some_and(|f| listed.index > f);
            let spoilt = if news { listed.spoilt.pop_front() } else { None };
            drop(listed);
            if let Some(bytes) = spoilt {
                stream.write_all(&latin(bytes))?;
                continue;
            }
            answer(&mut stream, "200 OK", "", text.as_bytes())?;
        }
        Ok(())
    }
}

/// Toy platform: it takes every vote and tells what it is told to tell.
#[derive(Clone)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<String>>,
    calls: Arc<Mutex<Vec<String>>>,
    told: Arc<Mutex<Vec<TcpStream>>>,
}

impl Platform {
    /// Starts a platform at which the newest build stands as `state` says.
    pub fn start(address: SocketAddr, state: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(state.to_owned()));
        let platform = Self { address, state, calls: Arc::default(), told: Arc::default() };
        let serving = platform.clone();
        let address = accept(address, move |stream| {
            let _ = serving.converse(stream);
        })?;
        Ok(Self { address, ..platform })
    }

    /// The calls that it got.
    pub fn calls(&self) -> Vec<String> {
        lock(&self.calls).clone()
    }

    /// Changes the state and tells it.
    pub fn tell(&self, state: &str) {
        *lock(&self.state) = state.to_owned();
        let line = format!("* progress {state}\r\n");
        lock(&self.told).retain_mut(|s| s.write_all(line.as_bytes()).is_ok());
    }

    /// Gives a sign of life.
    pub fn breathe(&self) {
        self.utter("*\r\n");
    }

    /// Writes these bytes wherever it tells.
    pub fn utter(&self, bytes: &str) {
        lock(&self.told).retain_mut(|s| s.write_all(&latin(bytes)).is_ok());
    }

    /// Ends all connections on which it tells.
    pub fn hang_up(&self) {
        for stream in lock(&self.told).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn converse(&self, mut stream: TcpStream) -> io::Result<()> {
        for line in BufReader::new(stream.try_clone()?).lines() {
            let line = line?;
            lock(&self.calls).push(line.clone());
            let state = lock(&self.state).clone();
            if line == "NOTIFY" {
                stream.write_all(format!("OK\r\n* progress {state}\r\n").as_bytes())?;
                lock(&self.told).push(stream.try_clone()?);
            } else if line.starts_with("BALLOT ") {
                stream.write_all(format!("OK {state}\r\n").as_bytes())?;
            } else {
                stream.write_all(b"ERR malformed\r\n")?;
            }
        }
        Ok(())
    }
}
