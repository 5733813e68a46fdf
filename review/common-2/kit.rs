//! Stand-ins for everything that a front talks to, and the front itself as a process. Standard library only.
//!
//! Each stand-in listens on a free port of 127.0.0.1 and serves every connection on a thread of its own. Where a page is
//! silent, a stand-in behaves as a sound one. All times are seconds since the start of the case.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static TEMP: OnceLock<PathBuf> = OnceLock::new();

/// Seconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn sleep_until(at: f64) {
    let left = at - now();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Writes one line to record.txt, with the time.
pub fn record(text: impl AsRef<str>) {
    record_at(now(), text);
}

pub fn record_at(at: f64, text: impl AsRef<str>) {
    if let Some(file) = RECORD.get() {
        let _ = lock(file).write_all(format!("{at:9.4} {}\n", text.as_ref()).as_bytes());
    }
}

/// Starts a case: its folder is the first argument. Ends the whole case after `limit` seconds.
pub fn begin(limit: f64) -> bool {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let _ = now();
    match File::create(PathBuf::from(&folder).join("record.txt")) {
        Ok(file) => drop(RECORD.set(Mutex::new(file))),
        Err(e) => {
            eprintln!("{folder}/record.txt: {e}");
            std::process::exit(COULD_NOT_RUN);
        }
    }
    let temp = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
    if let Err(e) = std::fs::create_dir_all(&temp) {
        could_not_run(&format!("{}: {e}", temp.display()));
    }
    let _ = TEMP.set(temp);
    thread::spawn(move || {
        sleep(limit);
        could_not_run("the case took too long");
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record(format!("begins, TROUBLE={}", u8::from(trouble)));
    trouble
}

pub fn temp() -> PathBuf {
    TEMP.get().cloned().unwrap_or_default()
}

/// Ends all processes that were started, removes the temporary folder and exits.
pub fn finish(code: i32, verdict: &str) -> ! {
    record(format!("verdict: {verdict}"));
    println!("{verdict}");
    let children: Vec<i32> = lock(&CHILDREN).clone();
    for pid in children {
        // SAFETY: a signal to a process that this case started and has not waited for.
        unsafe { kill(pid, SIGKILL) };
    }
    sleep(0.1);
    if let Some(temp) = TEMP.get() {
        let _ = std::fs::remove_dir_all(temp);
    }
    std::process::exit(code)
}

pub fn could_not_run(why: &str) -> ! {
    finish(COULD_NOT_RUN, &format!("could not run: {why}"))
}

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// A port that was free a moment ago, below those that the system gives to connections of its own choice.
pub fn free_address() -> SocketAddr {
    let base = u64::from(std::process::id()) * 61;
    for _ in 0..2_000 {
        let offset = (base + NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % 10_000;
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + offset as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    could_not_run("no free port")
}

// ---- The front as a process ------------------------------------------------------------------------

/// A process of the project's own program, started with a command of the deploy file.
pub struct Process {
    child: Child,
    pid: i32,
    pub name: String,
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("run = \""));
    match line.and_then(|l| l.split('"').next()) {
        Some(command) => command.to_owned(),
        None => could_not_run("no command `run` in deploy/balancer.toml"),
    }
}

impl Process {
    /// Starts `command` by the shell, from the root of the repository; its log goes to the temporary folder.
    pub fn start(name: &str, command: &str, environment: &[(&str, String)]) -> Self {
        let log = std::env::var("KEEP_LOGS").map(PathBuf::from).unwrap_or_else(|_| temp());
        let log = File::create(log.join(format!("{name}.log")));
        let Ok(log) = log else { could_not_run("no log file") };
        let mut started = Command::new("/bin/sh");
        started.arg("-c").arg(command).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        for (key, value) in environment {
            started.env(key, value);
        }
        match started.spawn() {
            Ok(child) => {
                let pid = child.id() as i32;
                lock(&CHILDREN).push(pid);
                let shown = command.replace(&temp().display().to_string(), "TMP");
                record(format!("{name} started: {shown}"));
                Self { child, pid, name: name.to_owned() }
            }
            Err(e) => could_not_run(&format!("{command}: {e}")),
        }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a signal to a process that this case started and has not waited for.
        unsafe { kill(self.pid, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            lock(&CHILDREN).retain(|p| *p != self.pid);
        }
        ended
    }

    pub fn end(&mut self) {
        if !self.has_ended() {
            self.signal(SIGKILL);
            let _ = self.child.wait();
            lock(&CHILDREN).retain(|p| *p != self.pid);
        }
    }
}

/// The addresses that a front's configuration names.
#[derive(Clone)]
pub struct FrontSetup {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub platform: SocketAddr,
    pub news: String,
    pub known: String,
    pub settings: String,
}

impl FrontSetup {
    pub fn path(&self) -> PathBuf {
        temp().join(format!("{}.json", self.name))
    }

    /// Writes the configuration file as a whole.
    pub fn write(&self) {
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"rollouts":{{"address":"{}","news":{}}},
"known":{},
"settings":{}}}"#,
            self.name,
            self.listen,
            self.discovery,
            unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15),
            self.platform,
            self.news,
            self.known,
            self.settings
        );
        let path = self.path();
        let part = path.with_extension("part");
        if std::fs::write(&part, text).and_then(|()| std::fs::rename(&part, &path)).is_err() {
            could_not_run("the configuration cannot be written");
        }
    }

    pub fn start(&self) -> Process {
        self.start_with(&run_command())
    }

    pub fn start_with(&self, command: &str) -> Process {
        self.write();
        let environment = [
            ("PROXY_NAME", self.name.clone()),
            ("PROXY_LISTEN", self.listen.to_string()),
            ("PROXY_DISCOVERY", self.discovery.to_string()),
            ("PROXY_CONFIG", self.path().display().to_string()),
            ("TMPDIR", temp().display().to_string()),
        ];
        let mut process = Process::start(&self.name, command, &environment);
        sleep(0.2);
        if process.has_ended() {
            could_not_run(&format!("{} ended at its start: was its port taken?", self.name));
        }
        process
    }

    /// Waits until `GET /up` returns 200.
    pub fn wait_until_ready(&self) {
        let end = now() + 10.0;
        while now() < end {
            let up = b"GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n";
            if let Ok(Some(answer)) = call(self.listen, up, 1.0) {
                if answer.status == 200 {
                    record(format!("{} is ready", self.name));
                    return;
                }
            }
            sleep(0.02);
        }
        could_not_run(&format!("{} was not ready within 10 s", self.name));
    }
}

// ---- HTTP ------------------------------------------------------------------------------------------

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub lines: Vec<String>,
    pub body: Vec<u8>,
    pub status: u16,
    /// When its first byte was there.
    pub first_byte: f64,
}

impl Message {
    pub fn start(&self) -> &str {
        self.lines.first().map_or("", String::as_str)
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.lines.iter().skip(1).filter_map(|l| l.split_once(':'));
        fields.filter(|f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1.trim()).next()
    }

    pub fn path(&self) -> &str {
        self.start().split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message with a stated length; `None` once the connection has ended before one.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    message.first_byte = now();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end() {
            "" if message.lines.is_empty() => {}
            "" => break,
            text => message.lines.push(text.to_owned()),
        }
    }
    let length = message.field("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    message.status = message.start().split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Ok(Some(message))
}

pub fn response(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One request on a connection of its own.
pub fn call(address: SocketAddr, request: &[u8], timeout: f64) -> io::Result<Option<Message>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs_f64(timeout))?;
    stream.set_read_timeout(Some(Duration::from_secs_f64(timeout)))?;
    stream.set_nodelay(true)?;
    (&stream).write_all(request)?;
    read_message(&mut BufReader::new(stream))
}

fn accept(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = match TcpListener::bind("127.0.0.1:0") {
        Ok(listener) => listener,
        Err(e) => could_not_run(&format!("no free port: {e}")),
    };
    let Ok(address) = listener.local_addr() else { could_not_run("no address") };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream)
            });
        }
    });
    address
}

// ---- Machines --------------------------------------------------------------------------------------

/// What a machine does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Serves after so many seconds.
    Serve(f64),
    /// Takes requests and answers none.
    Hang,
}

/// A request that a machine got.
#[derive(Clone, Debug)]
pub struct Seen {
    pub machine: String,
    pub id: String,
    pub first_byte: f64,
    pub at: f64,
    pub budget: f64,
    pub path: String,
    pub body: Vec<u8>,
}

/// A machine.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Machine {
    pub fn start(name: &str, mode: Mode) -> Self {
        let mode = Arc::new(Mutex::new(mode));
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let served = (name.to_owned(), Arc::clone(&mode), Arc::clone(&seen));
        let address = accept(move |stream| {
            let (name, mode, seen) = &served;
            let _ = serve_requests(stream, name, mode, seen);
        });
        Self { name: name.to_owned(), address, mode, seen }
    }

    pub fn set(&self, mode: Mode) {
        *lock(&self.mode) = mode;
    }

    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.seen).clone()
    }
}

fn serve_requests(stream: TcpStream, name: &str, mode: &Mutex<Mode>, seen: &Mutex<Vec<Seen>>) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(message) = read_message(&mut reader)? {
        let Some(id) = message.field("x-call-id").map(str::to_owned) else {
            writer.write_all(&response("404 Not Found", "", b""))?;
            continue;
        };
        let request = Seen {
            machine: name.to_owned(),
            id: id.clone(),
            first_byte: message.first_byte,
            at: now(),
            budget: message.field("x-budget").and_then(|b| b.parse().ok()).unwrap_or(-1.0),
            path: message.path().to_owned(),
            body: message.body.clone(),
        };
        let text = format!("machine {name} got {id} {} budget {:.3}", request.path, request.budget);
        record_at(request.first_byte, text);
        lock(seen).push(request);
        let mode = *lock(mode);
        match mode {
            Mode::Hang => loop {
                // Holds the connection open and silent until the front closes it.
                if reader.fill_buf()?.is_empty() {
                    return Ok(());
                }
                let n = reader.buffer().len();
                reader.consume(n);
            },
            Mode::Serve(seconds) => {
                sleep(seconds);
                let body = format!("{name} ran {id}");
                record(format!("machine {name} ran {id}"));
                writer.write_all(&response("200 OK", "", body.as_bytes()))?;
            }
        }
    }
    Ok(())
}

// ---- Discovery -------------------------------------------------------------------------------------

/// A line of the list.
#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub status: &'static str,
    pub since_ms: u64,
    pub build: u16,
    changed: u64,
}

impl Endpoint {
    pub fn new(machine: &Machine, zone: &str, kind: &str, build: u16) -> Self {
        Self {
            name: machine.name.clone(),
            address: machine.address,
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            status: "up",
            since_ms: 0,
            build,
            changed: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":0,"status":"{}","weight":1.0,"since_ms":{},"build":{}}}"#,
            self.name, self.address, self.zone, self.kind, self.status, self.since_ms, self.build
        )
    }
}

#[derive(Default)]
struct ListState {
    index: u64,
    endpoints: Vec<Endpoint>,
}

/// Discovery, as the protocol page describes it: one service, with an address for each front.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<ListState>, Condvar)>,
    /// While set, open watches and all calls end in 503.
    pub down: Arc<AtomicBool>,
    /// While set, a call that arrives waits too long in the queue of calls: it ends in 503 after a second.
    pub crowded: Arc<AtomicBool>,
}

/// Where one front reaches discovery.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    /// When each version was written to this front.
    told: Arc<Mutex<Vec<(u64, f64)>>>,
}

impl Door {
    /// When this version or a later one was first written to the front.
    pub fn told_at(&self, version: u64) -> Option<f64> {
        let told = lock(&self.told);
        told.iter().filter(|t| t.0 >= version).map(|t| t.1).reduce(f64::min)
    }
}

impl Discovery {
    pub fn start(endpoints: Vec<Endpoint>) -> Self {
        let state = ListState { index: 1, endpoints };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            down: Arc::default(),
            crowded: Arc::default(),
        }
    }

    /// Opens an address for the front of this name.
    pub fn door(&self, front: &str) -> Door {
        let told: Arc<Mutex<Vec<(u64, f64)>>> = Arc::default();
        let served = (self.clone(), Arc::clone(&told), front.to_owned());
        let address = accept(move |stream| {
            let (discovery, told, front) = &served;
            let _ = serve_list(stream, discovery, told, front);
        });
        Door { address, told }
    }

    pub fn whole(&self) -> String {
        let list = lock(&self.state.0);
        list_json(list.index, true, list.endpoints.iter().filter(|e| e.status != "removed"))
    }

    /// Changes one machine's line; returns the new version.
    pub fn change(&self, name: &str, apply: impl FnOnce(&mut Endpoint)) -> u64 {
        let mut list = lock(&self.state.0);
        list.index += 1;
        let index = list.index;
        if let Some(endpoint) = list.endpoints.iter_mut().find(|e| e.name == name) {
            apply(endpoint);
            endpoint.changed = index;
            record(format!("discovery: version {index}: {name} is {}, build {}", endpoint.status, endpoint.build));
        }
        self.state.1.notify_all();
        index
    }

    pub fn set_down(&self, down: bool) {
        record(format!("discovery is {}", if down { "down" } else { "up" }));
        self.down.store(down, Ordering::SeqCst);
        self.state.1.notify_all();
    }
}

fn list_json<'a>(index: u64, snapshot: bool, endpoints: impl Iterator<Item = &'a Endpoint>) -> String {
    let lines: Vec<String> = endpoints.map(Endpoint::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, lines.join(","))
}

fn serve_list(
    stream: TcpStream,
    discovery: &Discovery,
    told: &Mutex<Vec<(u64, f64)>>,
    front: &str,
) -> io::Result<()> {
    let (state, down) = (&*discovery.state, &discovery.down);
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(message) = read_message(&mut reader)? {
        let query = message.path().split_once('?').map_or("", |p| p.1).to_owned();
        let value = |name: &str| {
            query.split('&').find_map(|p| p.strip_prefix(name)).and_then(|v| v.parse::<u64>().ok())
        };
        let (from, hold) = (value("from="), value("hold_ms=").unwrap_or(0).min(60_000));
        if discovery.crowded.load(Ordering::SeqCst) {
            record(format!("discovery: a call of {front} from {from:?} waits in the queue"));
            sleep(1.0);
            record(format!("discovery: the call of {front} waited too long: 503"));
            writer.write_all(&response("503 Service Unavailable", "", b"waited too long"))?;
            continue;
        }
        let end = Instant::now() + Duration::from_millis(hold);
        let mut list = lock(&state.0);
        while from.is_some_and(|f| f >= list.index) && Instant::now() < end && !down.load(Ordering::SeqCst) {
            let wait = end.saturating_duration_since(Instant::now());
            list = state.1.wait_timeout(list, wait).unwrap_or_else(PoisonError::into_inner).0;
        }
        if down.load(Ordering::SeqCst) {
            drop(list);
            writer.write_all(&response("503 Service Unavailable", "", b"down"))?;
            continue;
        }
        let index = list.index;
        let text = match from {
            // A version of before the start is unknown: the whole list.
            None | Some(0) => list_json(index, true, list.endpoints.iter().filter(|e| e.status != "removed")),
            Some(from) => list_json(index, false, list.endpoints.iter().filter(|e| e.changed > from)),
        };
        drop(list);
        writer.write_all(&response("200 OK", "Content-Type: application/json\r\n", text.as_bytes()))?;
        lock(told).push((index, now()));
        if from.is_none_or(|f| f < index) {
            record(format!("discovery wrote version {index} to {front} (from {from:?})"));
        }
    }
    Ok(())
}

// ---- The platform ----------------------------------------------------------------------------------

/// The state of the newest build.
#[derive(Clone)]
pub struct Rollout {
    pub build: u16,
    pub stage: u8,
    pub phase: &'static str,
    pub cap: f64,
    pub since: Instant,
}

impl Rollout {
    pub fn new(build: u16, stage: u8, phase: &'static str, cap: f64) -> Self {
        Self { build, stage, phase, cap, since: Instant::now() }
    }

    fn line(&self) -> String {
        let age = self.since.elapsed().as_millis();
        format!("{} {} {} {} {age}", self.build, self.stage, self.phase, self.cap)
    }

    pub fn json(&self) -> String {
        format!(
            r#"{{"Revision":{},"Wave":{},"State":"{}","MaxShare":{},"AgeMs":60000}}"#,
            self.build, self.stage, self.phase, self.cap
        )
    }
}

/// The platform, as the protocol page describes it. It counts no votes: the case decides how a release goes.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<Mutex<Rollout>>,
    listeners: Arc<Mutex<Vec<TcpStream>>>,
}

impl Platform {
    pub fn start(rollout: Rollout) -> Self {
        let state = Arc::new(Mutex::new(rollout));
        let listeners: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let served = (Arc::clone(&state), Arc::clone(&listeners));
        let address = accept(move |stream| {
            let (state, listeners) = &served;
            let _ = serve_platform(stream, state, listeners);
        });
        let platform = Self { address, state, listeners };
        let beating = platform.clone();
        thread::spawn(move || {
            for second in 1u64.. {
                sleep(1.0);
                // The stage and its cap are told again every 2 s.
                beating.tell(if second % 2 == 0 { beating.progress() } else { "*\r\n".to_owned() });
            }
        });
        platform
    }

    fn progress(&self) -> String {
        format!("* progress {}\r\n", lock(&self.state).line())
    }

    fn tell(&self, line: String) {
        lock(&self.listeners).retain_mut(|l| l.write_all(line.as_bytes()).is_ok());
    }

    pub fn set(&self, rollout: Rollout) {
        record(format!("platform: {}", rollout.line()));
        *lock(&self.state) = rollout;
        self.tell(self.progress());
    }
}

fn serve_platform(stream: TcpStream, state: &Mutex<Rollout>, listeners: &Mutex<Vec<TcpStream>>) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        match line.split_whitespace().next() {
            Some("NOTIFY") => {
                let text = format!("OK\r\n* progress {}\r\n", lock(state).line());
                let mut all = lock(listeners);
                writer.write_all(text.as_bytes())?;
                all.push(writer.try_clone()?);
            }
            Some("BALLOT") => {
                let text = format!("OK {}\r\n", lock(state).line());
                writer.write_all(text.as_bytes())?;
            }
            _ => writer.write_all(b"ERR malformed\r\n")?,
        }
    }
}

// ---- Clients ---------------------------------------------------------------------------------------

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub target: String,
    pub class: &'static str,
    pub budget: f64,
    pub body: Vec<u8>,
}

/// What became of a client's request.
#[derive(Clone, Debug)]
pub struct Done {
    pub id: String,
    pub class: &'static str,
    pub budget: f64,
    pub sent: f64,
    /// When the last byte of its answer was there; `None` if none came while the client watched.
    pub answered: Option<f64>,
    pub status: u16,
    pub body: Vec<u8>,
}

struct Job {
    id: String,
    call: Call,
    /// Whether the request carries an `Idempotency-Key` of its own.
    own_key: bool,
}

/// Clients that keep their connections and open more once all are busy.
pub struct Clients {
    jobs: Arc<(Mutex<VecDeque<Job>>, Condvar)>,
    pub done: Arc<Mutex<Vec<Done>>>,
    open: Arc<AtomicU64>,
    next: AtomicU64,
    tag: String,
    own_keys: AtomicBool,
}

impl Clients {
    /// Starts `most` clients of a front; each watches for an answer up to `patience` seconds beyond its time.
    pub fn start(tag: &str, front: SocketAddr, most: usize, patience: f64) -> Self {
        let jobs: Arc<(Mutex<VecDeque<Job>>, Condvar)> = Arc::default();
        let (done, open): (Arc<Mutex<Vec<Done>>>, Arc<AtomicU64>) = Default::default();
        let kept: Arc<Mutex<Vec<BufReader<TcpStream>>>> = Arc::default();
        for _ in 0..most {
            let (jobs, done, open, kept) =
                (Arc::clone(&jobs), Arc::clone(&done), Arc::clone(&open), Arc::clone(&kept));
            thread::spawn(move || {
                loop {
                    let job = {
                        let mut queue = lock(&jobs.0);
                        loop {
                            if let Some(job) = queue.pop_front() {
                                break job;
                            }
                            queue = jobs.1.wait(queue).unwrap_or_else(PoisonError::into_inner);
                        }
                    };
                    let result = converse(&kept, front, &job, patience);
                    open.fetch_sub(1, Ordering::SeqCst);
                    lock(&done).push(result);
                }
            });
        }
        Self { jobs, done, open, next: AtomicU64::new(1), tag: tag.to_owned(), own_keys: AtomicBool::new(false) }
    }

    /// Has every request from now on carry an `Idempotency-Key` of its own.
    pub fn use_own_keys(&self) {
        self.own_keys.store(true, Ordering::SeqCst);
    }

    pub fn send(&self, call: Call) {
        let id = format!("{}-{:06}", self.tag, self.next.fetch_add(1, Ordering::SeqCst));
        self.open.fetch_add(1, Ordering::SeqCst);
        lock(&self.jobs.0).push_back(Job { id, call, own_key: self.own_keys.load(Ordering::SeqCst) });
        self.jobs.1.notify_one();
    }

    pub fn open(&self) -> u64 {
        self.open.load(Ordering::SeqCst)
    }
}

/// Takes the resting connection that was used last, if it is still open.
fn take_kept(kept: &Mutex<Vec<BufReader<TcpStream>>>) -> Option<BufReader<TcpStream>> {
    loop {
        let connection = lock(kept).pop()?;
        let _ = connection.get_ref().set_nonblocking(true);
        let open = matches!(connection.get_ref().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        let _ = connection.get_ref().set_nonblocking(false);
        if open {
            return Some(connection);
        }
    }
}

fn converse(connections: &Mutex<Vec<BufReader<TcpStream>>>, front: SocketAddr, job: &Job, patience: f64) -> Done {
    let Job { id, call, own_key } = job;
    let mut done = Done {
        id: id.clone(),
        class: call.class,
        budget: call.budget,
        sent: now(),
        answered: None,
        status: 0,
        body: Vec::new(),
    };
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Call-Class: {}\r\nX-Budget: {:.3}\r\n",
        call.method, call.target, call.class, call.budget
    );
    if call.method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", call.body.len()));
    }
    if *own_key {
        head.push_str(&format!("Idempotency-Key: {id}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&call.body);
    // A request that crosses the end of a resting connection is sent once more on a new one.
    for _ in 0..2 {
        let kept = take_kept(connections);
        let was_kept = kept.is_some();
        let mut reader = match kept {
            Some(kept) => kept,
            None => match TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    BufReader::new(stream)
                }
                Err(_) => {
                    record(format!("client {id}: not connected"));
                    done.status = 599;
                    return done;
                }
            },
        };
        let _ = reader.get_ref().set_read_timeout(Some(Duration::from_secs_f64(call.budget + patience)));
        if reader.get_mut().write_all(&bytes).is_err() {
            if was_kept {
                continue;
            }
            return done;
        }
        done.sent = now();
        record_at(
            done.sent,
            format!(
                "client {id} sent {} {} budget {:.3} on a {} connection",
                call.method,
                call.target,
                call.budget,
                if was_kept { "kept" } else { "new" }
            ),
        );
        match read_message(&mut reader) {
            Ok(Some(answer)) => {
                (done.answered, done.status, done.body) = (Some(now()), answer.status, answer.body.clone());
                record(format!("client {id} got {} after {:.3} s", done.status, now() - done.sent));
                if !answer.field("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                    lock(connections).push(reader);
                }
                return done;
            }
            Ok(None) if was_kept => continue,
            Err(e) if was_kept && e.kind() == ErrorKind::ConnectionReset => continue,
            other => {
                let why = match other {
                    Ok(_) => "closed".to_owned(),
                    Err(e) => format!("{:?}", e.kind()),
                };
                record(format!("client {id} got no answer: {why}"));
                return done;
            }
        }
    }
    done
}
