//! Remote parties that act only on a test's instructions, so that the test decides which of two events comes first.
#![allow(dead_code)]

pub mod crowd;
pub mod sender;
pub mod stage;

use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use yarrowspoke_toy::{read_message, Message};

/// Time-out of a test's wait, far longer than any step takes.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A connection that only the test reads and writes.
pub struct Wire {
    reader: BufReader<TcpStream>,
}

impl Wire {
    pub fn over(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self { reader: BufReader::new(stream) }
    }

    pub fn to(address: SocketAddr) -> Self {
        Self::over(TcpStream::connect(address).unwrap())
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn write(&mut self, bytes: &str) {
        self.reader.get_mut().write_all(bytes.as_bytes()).unwrap();
    }

    /// Writes to a connection that may have ended meanwhile; returns whether the write succeeded.
    pub fn offer(&mut self, bytes: &str) -> bool {
        self.reader.get_mut().write_all(bytes.as_bytes()).is_ok()
    }

    /// Reads the next message; `None` if the other side closed or reset the connection.
    pub fn message(&mut self) -> Option<Message> {
        read_message(&mut self.reader).ok().flatten()
    }

    /// Reads the next line, without its ending; `None` at the end.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let n = self.reader.read_line(&mut line).ok()?;
        (n > 0).then(|| line.trim_end().to_owned())
    }

    /// Writes a response with this body.
    pub fn answer(&mut self, body: &str) {
        self.write(&ok(body));
    }

    /// Waits until the other side closes the connection; returns whether nothing more was to be read.
    pub fn ends(&mut self) -> bool {
        match self.reader.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Closes the connection.
    pub fn ends_now(self) {
        let _ = self.reader.get_ref().shutdown(std::net::Shutdown::Both);
    }

    /// Returns whether data has arrived, without waiting.
    pub fn has_news(&mut self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let came = matches!(stream.peek(&mut [0; 1]), Ok(n) if n > 0);
        stream.set_nonblocking(false).unwrap();
        came || !self.reader.buffer().is_empty()
    }

    /// Returns whether the other side has closed the connection, without waiting.
    pub fn has_ended(&mut self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let ended = match stream.peek(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        };
        stream.set_nonblocking(false).unwrap();
        ended
    }
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A listener whose connections the test controls.
pub struct Peer {
    pub address: SocketAddr,
    came: Receiver<TcpStream>,
}

impl Peer {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (to, came) = channel();
        std::thread::spawn(move || listener.incoming().flatten().all(|s| to.send(s).is_ok()));
        Self { address, came }
    }

    /// Waits for the next connection.
    pub fn connection(&self) -> Wire {
        Wire::over(self.came.recv_timeout(PATIENCE).expect("a connection"))
    }

    /// Returns the next connection if one arrives within `wait`.
    pub fn connection_within(&self, wait: Duration) -> Option<Wire> {
        self.came.recv_timeout(wait).ok().map(Wire::over)
    }
}

/// A listener to which connections are established only once it is opened: until then its backlog is full, and the kernel of
/// the connecting side retries after a second.
pub struct LatePeer {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections that fill the backlog.
    fill: Vec<TcpStream>,
}

impl LatePeer {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (mut fill, mut missed) = (Vec::new(), 0);
        // One slow connection may only mean a busy host; several in a row mean that the backlog is full.
        while missed < 4 {
            match TcpStream::connect_timeout(&address, Duration::from_millis(150)) {
                Ok(stream) => (missed, _) = (0, fill.push(stream)),
                Err(_) => missed += 1,
            }
        }
        Self { address, listener, fill }
    }

    /// Returns whether a connection attempt is under way.
    pub fn is_tried(&self) -> bool {
        let to = format!(" 0100007F:{:04X} 02 ", self.address.port());
        std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&to)
    }

    /// Accepts connections from now on.
    pub fn open(self) -> Peer {
        let Self { address, listener, fill } = self;
        let ours: Vec<_> = fill.iter().map(|s| s.local_addr().unwrap()).collect();
        let (to, came) = channel();
        std::thread::spawn(move || {
            let others =
                listener.incoming().flatten().filter(|s| !s.peer_addr().is_ok_and(|p| ours.contains(&p)));
            others.map(|s| to.send(s)).all(|sent| sent.is_ok())
        });
        Peer { address, came }
    }
}

/// Returns one line of discovery's list.
pub fn entry(name: &str, address: SocketAddr, status: &str, build: u16, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":{since_ms},"build":{build}}}"#
    )
}

pub fn listing(index: u64, whole: bool, lines: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, lines.join(","))
}

/// The program, its configuration, and what it logs.
pub struct Program {
    pub child: Child,
    pub listen: SocketAddr,
    pub path: PathBuf,
    lines: Receiver<String>,
}

impl Program {
    pub fn start(path: &Path, listen: SocketAddr) -> Self {
        Self::start_with(&[], path, listen)
    }

    /// Starts a front with this operator's file.
    pub fn start_with_operator(operator: &Path, path: &Path, listen: SocketAddr) -> Self {
        Self::start_with(&["serve".as_ref(), "--operator".as_ref(), operator.as_ref()], path, listen)
    }

    /// Starts a planner of the fleet in this operator's file.
    pub fn start_planner(operator: &Path, name: &str, listen: SocketAddr) -> Self {
        let arguments = ["planner", "--name", name, "--operator"].map(OsStr::new);
        let arguments = [&arguments[..], &[operator.as_ref()]].concat();
        Self::start_with(&arguments, operator, listen)
    }

    /// Starts a planner that joins the replicated log with an empty directory.
    pub fn found_planner(operator: &Path, name: &str, listen: SocketAddr, dir: &Path) -> Self {
        let arguments = ["planner", "--found", "--name", name, "--operator"].map(OsStr::new);
        let arguments = [&arguments[..], &[operator.as_ref(), "--dir".as_ref(), dir.as_ref()]].concat();
        Self::start_with(&arguments, operator, listen)
    }

    fn start_with(arguments: &[&OsStr], path: &Path, listen: SocketAddr) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_yarrowspoke"));
        let command = command.args(arguments).env("PROXY_CONFIG", path).env("RUST_LOG", "debug");
        let mut child = command.stderr(Stdio::piped()).stdout(Stdio::null()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let (to, lines) = channel();
        std::thread::spawn(move || log.lines().map_while(Result::ok).for_each(|l| drop(to.send(l))));
        Self { child, listen, path: path.to_owned(), lines }
    }

    /// Reads the log up to a line that contains `text`, and returns that line.
    pub fn logs(&self, text: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).unwrap_or_else(|e| panic!("no line {text:?}: {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(kill.unwrap().success());
    }

    /// Pauses the process until it is resumed.
    pub fn halt(&self) {
        self.signal("STOP");
        let state = format!("/proc/{}/stat", self.child.id());
        while std::fs::read_to_string(&state).is_ok_and(|s| !s.contains(") T ")) {
            std::thread::yield_now();
        }
    }

    pub fn wake(&self) {
        self.signal("CONT");
    }

    pub fn client(&self) -> Wire {
        Wire::to(self.listen)
    }

    /// Returns whether the front has read everything that this client has written.
    pub fn has_read_all(&self, client: &Wire) -> bool {
        let hexadecimal = |address: SocketAddr| match address {
            SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()),
            SocketAddr::V6(_) => panic!("only IPv4 is used"),
        };
        let (front, client) = (hexadecimal(self.listen), hexadecimal(client.stream().local_addr().unwrap()));
        let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let fields = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let mut sides = fields.filter(|f| f.len() > 4 && f[1] == front && f[2] == client);
        sides.next().is_some_and(|side| side[4].ends_with(":00000000"))
    }

    /// Returns whether `/up` reports that the front is ready.
    pub fn is_up(&self) -> bool {
        let mut client = self.client();
        client.write("GET /up HTTP/1.1\r\n\r\n");
        client.message().is_some_and(|m| m.start().contains(" 200 "))
    }

    /// Returns the most memory that the process has held, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{} by then: {:?}; its log, as far as not read:", self.listen, self.child.try_wait());
            self.lines.try_iter().for_each(|line| eprintln!("  {line}"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
