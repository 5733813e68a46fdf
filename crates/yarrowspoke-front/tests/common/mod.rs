//! Test fixture: starts the program on free ports, with fakes of discovery, the platform and the machines, and sends it
//! requests as a client.
#![allow(dead_code)]

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use yarrowspoke_toy::{read_message, Behaviour, Discovery, Machine, Message, Platform};

/// Time after which a wait has failed; it is much longer than any step of these tests takes.
const TIMEOUT: Duration = Duration::from_secs(20);
static NEXT: AtomicUsize = AtomicUsize::new(0);

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address that a program binds later.
///
/// A port assigned by the kernel could be given to a connection or to another test before the program binds it, so each test
/// process uses a loopback address of its own. A port is not tested by listening on it either: a process that another thread
/// starts in the meantime holds a copy of that socket until its exec.
pub fn free_port() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let address_of =
        |n: usize| SocketAddr::from(([127, 64 + high % 64, middle, low], 5_000 + (n % 50_000) as u16));
    let numbers = std::iter::repeat_with(|| NEXT.fetch_add(1, Ordering::Relaxed));
    let mut addresses = numbers.map(address_of);
    addresses.find(|address| TcpStream::connect(address).is_err()).unwrap()
}

/// Waits until `done` returns true; panics after [`TIMEOUT`].
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A running front with fakes of discovery, the platform and the machines.
pub struct TestEnvironment {
    pub listen: SocketAddr,
    pub discovery: Discovery,
    pub platform: Platform,
    pub machines: Vec<Machine>,
    pub front: Child,
    config: String,
    path: PathBuf,
    operator: Option<PathBuf>,
}

impl TestEnvironment {
    /// Starts a front with one machine for each behaviour, all on build 41, which is released.
    pub fn start(behaviours: &[Behaviour]) -> Self {
        Self::with_sockets(behaviours, 1024)
    }

    /// Starts a front as [`TestEnvironment::start`] does, with a limit on file descriptors.
    pub fn with_sockets(behaviours: &[Behaviour], sockets: usize) -> Self {
        Self::with(behaviours, sockets, None)
    }

    /// Starts a front with this operator's file.
    pub fn with_rules(behaviours: &[Behaviour], operator: &str) -> Self {
        Self::with(behaviours, 1024, Some(operator))
    }

    /// Starts a front in whose configuration `from` is replaced by `to`.
    pub fn with_config_change(behaviours: &[Behaviour], from: &str, to: &str) -> Self {
        Self::start_with(behaviours, 1024, None, |config| {
            assert!(config.contains(from));
            config.replace(from, to)
        })
    }

    /// Starts a front with this operator's file, in whose configuration `from` is replaced by `to`.
    pub fn with_rules_and_config_change(
        behaviours: &[Behaviour],
        operator: &str,
        from: &str,
        to: &str,
    ) -> Self {
        Self::start_with(behaviours, 1024, Some(operator), |config| {
            assert!(config.contains(from));
            config.replace(from, to)
        })
    }

    fn with(behaviours: &[Behaviour], sockets: usize, operator: Option<&str>) -> Self {
        Self::start_with(behaviours, sockets, operator, |config| config)
    }

    fn start_with(
        behaviours: &[Behaviour],
        sockets: usize,
        operator: Option<&str>,
        change: impl Fn(String) -> String,
    ) -> Self {
        let discovery = Discovery::start(any_port()).unwrap();
        let platform = Platform::start(any_port(), "41 0 stable 1.0 60000").unwrap();
        let machines: Vec<_> = behaviours.iter().map(|b| Machine::start(any_port(), *b).unwrap()).collect();
        for (n, machine) in machines.iter().enumerate() {
            discovery.list(&format!("s-{n}"), machine.address, "up", 41);
        }
        let listen = free_port();
        let config = include_str!("../../../../examples/config.json")
            .replace("127.0.0.1:5000", &listen.to_string())
            .replace("127.0.0.1:8500", &discovery.address.to_string())
            .replace("127.0.0.1:6400", &platform.address.to_string())
            .replace(r#""sockets": 1024"#, &format!(r#""sockets": {sockets}"#))
            .replace(r#"{"index": 0, "snapshot": true, "endpoints": []}"#, &discovery.snapshot());
        let config = change(config);
        let operator = operator.map(|text| temp_file("operator", text));
        let (front, path) = spawn_at(&config, operator.as_deref());
        let environment = Self { listen, discovery, platform, machines, front, config, path, operator };
        environment.wait_ready();
        environment
    }

    /// Kills the front with SIGKILL.
    pub fn kill(&mut self) {
        self.front.kill().unwrap();
        self.front.wait().unwrap();
    }

    /// Starts the front again with the same files.
    pub fn restart(&mut self) {
        (self.front, self.path) = spawn_at(&self.config, self.operator.as_deref());
        self.wait_ready();
    }

    /// Removes the list of machines from the front's configuration.
    pub fn forget_list(&mut self) {
        let list = self.discovery.snapshot();
        assert!(self.config.contains(&list));
        self.config = self.config.replace(&list, r#"{"index": 0, "snapshot": true, "endpoints": []}"#);
    }

    fn wait_ready(&self) {
        wait_until("the front is ready", || {
            let Ok(stream) = TcpStream::connect(self.listen) else { return false };
            Client::over(stream)
                .request("GET /up HTTP/1.1\r\n\r\n")
                .is_some_and(|a| a.start().contains(" 200 "))
        });
    }

    pub fn client(&self) -> Client {
        Client::over(TcpStream::connect(self.listen).unwrap())
    }

    /// Sends SIGTERM to the front.
    pub fn stop(&self) {
        assert!(Command::new("kill").arg(self.front.id().to_string()).status().unwrap().success());
    }

    /// Replaces the configuration and sends SIGHUP to the front.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).unwrap();
        self.send_sighup();
    }

    /// Replaces the operator's file atomically and sends SIGHUP to the front.
    pub fn reload_rules(&self, text: &str) {
        let path = self.operator.as_ref().unwrap();
        std::fs::rename(temp_file("next", text), path).unwrap();
        self.send_sighup();
    }

    fn send_sighup(&self) {
        let kill = Command::new("kill").args(["-HUP", &self.front.id().to_string()]).status();
        assert!(kill.unwrap().success());
    }

    /// Returns the front's configuration with the addresses of another discovery and platform.
    pub fn config_with(&self, discovery: &Discovery, platform: &Platform) -> String {
        self.config
            .replace(&self.discovery.address.to_string(), &discovery.address.to_string())
            .replace(&self.platform.address.to_string(), &platform.address.to_string())
    }

    /// Returns the number of requests that the machines received.
    pub fn seen(&self) -> usize {
        self.machines.iter().map(|m| m.seen().len()).sum()
    }
}

impl Drop for TestEnvironment {
    fn drop(&mut self) {
        let _ = self.front.kill();
        let _ = self.front.wait();
    }
}

/// Starts the program with this configuration and no operator's file.
pub fn spawn(config: &str) -> Child {
    spawn_at(config, None).0
}

/// Returns the root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Writes a temporary file whose name ends in `name` and that no other test uses.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("yarrowspoke-test-{}-{number}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs the program to its end with the example configuration.
pub fn run_program(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yarrowspoke"));
    command.args(args).env("PROXY_CONFIG", root().join("examples/config.json")).output().unwrap()
}

fn spawn_at(config: &str, operator: Option<&Path>) -> (Child, PathBuf) {
    let path = temp_file("config.json", config);
    let mut command = Command::new(env!("CARGO_BIN_EXE_yarrowspoke"));
    if let Some(operator) = operator {
        command.arg("serve").arg("--operator").arg(operator);
    }
    let front =
        command.env("PROXY_CONFIG", &path).stderr(Stdio::piped()).stdout(Stdio::null()).spawn().unwrap();
    (front, path)
}

/// Connects a client, if something listens at the address.
pub fn connect(to: SocketAddr) -> Option<Client> {
    TcpStream::connect(to).ok().map(Client::over)
}

/// A client on one connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    fn over(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Self { stream, reader }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        // The front may have answered and closed already.
        let _ = self.stream.write_all(bytes);
    }

    /// Returns the next answer; `None` if the connection was closed.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.reader).ok().flatten()
    }

    pub fn request(&mut self, request: &str) -> Option<Message> {
        self.send(request.as_bytes());
        self.answer()
    }

    /// Returns whether the front has closed the connection, without waiting for it.
    pub fn has_ended(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let ended = matches!(self.stream.peek(&mut [0; 1]), Ok(0));
        self.stream.set_nonblocking(false).unwrap();
        ended
    }

    /// Waits until the front closes the connection or sends something; returns whether it closed it.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 1]), Ok(0))
    }
}

/// Returns a call id that no other call uses.
pub fn unique_id() -> String {
    format!("unique-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns a request of an idempotent class.
pub fn get(id: &str, budget: &str) -> String {
    format!("GET /article/7?q=1 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: article\r\nX-Caller: acme\r\nX-Budget: {budget}\r\n\r\n")
}

/// Returns a request of a class that must not run twice.
pub fn post(id: &str, budget: &str) -> String {
    format!("POST /comment HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: comment\r\nX-Caller: acme\r\nX-Budget: {budget}\r\nContent-Length: 5\r\n\r\nhello")
}
