//! Processes of the program, and the signals that they get.

use super::{lock, BusyDiscovery, Door};
use crate::common::{self, free_port, temp_file};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Instant;

/// One front of the fleet, which ends with the test.
pub struct Front {
    pub number: usize,
    pub listen: SocketAddr,
    path: PathBuf,
    config: String,
    discovery: SocketAddr,
    child: Child,
    /// When each of its processes started, and was told of a new configuration.
    pub starts: Vec<Instant>,
    pub moves: Vec<Instant>,
    /// Since when it has been told where the discovery is that it is told of now.
    pub reaches_since: Instant,
}

impl Front {
    fn start(number: usize, listen: SocketAddr, discovery: SocketAddr, config: String) -> Self {
        let path = temp_file("config.json", &config);
        let child = Self::spawn(number, &path);
        let now = Instant::now();
        let (starts, moves) = (vec![now], Vec::new());
        Self { number, listen, path, config, discovery, child, starts, moves, reaches_since: now }
    }

    /// The log goes to a file in the folder that `YARROWSPOKE_TEST_LOGS` names, if any.
    fn spawn(number: usize, path: &PathBuf) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_yarrowspoke"));
        let log = std::env::var_os("YARROWSPOKE_TEST_LOGS").map(|folder| {
            let name = Path::new(&folder).join(format!("n{number}.log"));
            File::options().create(true).append(true).open(name).unwrap()
        });
        let stderr = log.map_or_else(Stdio::null, Stdio::from);
        command.env("PROXY_CONFIG", path).stderr(stderr).stdout(Stdio::null()).spawn().unwrap()
    }

    /// Ends the process without a word.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        signal("-TERM", &[self.child.id()]);
    }

    /// Waits for the process to end, and starts another by the same files.
    pub fn restart(&mut self) {
        self.child.wait().unwrap();
        self.starts.push(Instant::now());
        self.child = Self::spawn(self.number, &self.path);
    }

    /// Waits until the process listens; one that ends before fails the test at once, with what it left behind.
    pub fn wait_listening(&mut self) {
        let number = self.number;
        common::wait_until(&format!("front {number} listens"), || {
            if let Some(status) = self.child.try_wait().unwrap() {
                let config = std::fs::read_to_string(&self.path).unwrap();
                panic!("front {number} ended with {status} before it listened, by\n{config}");
            }
            common::connect(self.listen).is_some()
        });
    }

    /// Puts a configuration that names discovery at `to` in the place of the one in force; the front is not told yet.
    fn rewrite(&mut self, to: SocketAddr) {
        self.config = self.config.replace(&self.discovery.to_string(), &to.to_string());
        self.discovery = to;
        std::fs::write(&self.path, &self.config).unwrap();
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn signal(name: &str, processes: &[u32]) {
    let ids = processes.iter().map(u32::to_string);
    assert!(Command::new("kill").arg(name).args(ids).status().unwrap().success());
}

/// Addresses for messages between this many fronts.
fn free_peers(fronts: usize) -> Vec<SocketAddr> {
    (0..fronts).map(|_| free_port()).collect()
}

/// Fronts that share machines, and where each of them reaches discovery.
pub struct Fleet {
    pub fronts: Vec<Front>,
    doors: Mutex<Vec<Door>>,
    discoveries: Vec<BusyDiscovery>,
}

impl Fleet {
    /// Starts fronts that know the list as it is, and waits until each listens.
    pub fn start(fronts: usize, talks: bool, discovery: &BusyDiscovery) -> Self {
        let peers = free_peers(fronts);
        let doors: Vec<Door> = (0..fronts).map(|number| discovery.door(number)).collect();
        let snapshot = discovery.snapshot();
        let fronts = doors.iter().enumerate().map(|(number, door)| {
            let listen = free_port();
            let config = configuration(number, listen, door.address, &snapshot, &peers, talks);
            Front::start(number, listen, door.address, config)
        });
        let mut fronts: Vec<Front> = fronts.collect();
        fronts.iter_mut().for_each(Front::wait_listening);
        let discoveries = vec![discovery.clone(); fronts.len()];
        Self { fronts, doors: Mutex::new(doors), discoveries }
    }

    /// Sends a signal to all.
    pub fn signal(&self, name: &str) {
        let processes: Vec<u32> = self.fronts.iter().map(|front| front.child.id()).collect();
        signal(name, &processes);
    }

    /// Replaces the configuration of these fronts by one that names this discovery, and tells all of them at once. Where
    /// they reached it before takes nothing new and closes.
    pub fn move_to(&mut self, discovery: &BusyDiscovery, which: impl Fn(usize) -> bool) {
        let mut doors = lock(&self.doors);
        let mut processes = Vec::new();
        let moved: Vec<&mut Front> = self.fronts.iter_mut().filter(|front| which(front.number)).collect();
        let mut left = Vec::new();
        for front in moved {
            let door = discovery.door(front.number);
            front.rewrite(door.address);
            left.push(std::mem::replace(&mut doors[front.number], door));
            processes.push(front.child.id());
        }
        if processes.is_empty() {
            return;
        }
        let now = Instant::now();
        signal("-HUP", &processes);
        left.iter().for_each(Door::close);
        for front in self.fronts.iter_mut().filter(|front| which(front.number)) {
            front.moves.push(now);
            if !self.discoveries[front.number].is(discovery) {
                front.reaches_since = now;
                self.discoveries[front.number] = discovery.clone();
            }
        }
    }
}

fn configuration(
    me: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    snapshot: &str,
    peers: &[SocketAddr],
    talks: bool,
) -> String {
    let quoted: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let named =
        format!("\"name\": \"n{me}\", \"peer_listen\": \"{}\", \"peers\": [{}]", peers[me], quoted.join(","));
    let messages = format!("\"MayCancel\": true, \"Peers\": {talks}");
    let changes = [
        ("\"name\": \"toy\"", named),
        ("127.0.0.1:5000", listen.to_string()),
        ("127.0.0.1:8500", discovery.to_string()),
        (r#"{"index": 0, "snapshot": true, "endpoints": []}"#, snapshot.to_owned()),
        ("\"Me\": 0", format!("\"Me\": {me}")),
        ("\"PeersTotal\": 1", format!("\"PeersTotal\": {}", peers.len())),
        ("\"MayCancel\": true", messages),
    ];
    let base = include_str!("../../../../examples/config.json");
    changes.iter().fold(base.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    })
}
