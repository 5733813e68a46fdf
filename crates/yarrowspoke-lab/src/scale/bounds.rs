//! Bounds that a scale run keeps by itself: what it may take is refused beforehand if it won't fit, and it ends itself and its
//! children in time, on a signal, and when it grew beyond what it may have.
//!
//! Planners and fronts are real processes that watch no pipe. While the run lives, it kills them itself. If it is killed
//! without a chance to (SIGKILL), a guard does: a process of this program that is told of each child by its id and the time it
//! was started at, and kills just those when its standard input ends. What remains is a child that was started and not yet
//! told of when the kill came: some microseconds.

use super::run::Options;
use super::target::{MEMORY_LIMIT_MB, PROCESS_LIMIT};
use async_signal::{Signal as Told, Signals};
use futures_lite::StreamExt;
use rustix::process::{getrlimit, kill_process, Pid, Resource, Signal};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, PoisonError, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Pause between two looks at all processes.
const LOOK: Duration = Duration::from_millis(250);
/// How long ended children may take to be gone.
const GONE_WITHIN: Duration = Duration::from_secs(5);
/// Ports that a run with `port` listens on, from that one on.
pub const PORTS: u16 = 64;

/// Hollow fronts that share one process.
pub const HOLLOW_A_PROCESS: usize = 310;
/// Bytes that a front keeps for a row of the list, with what the allocator adds; reckoned high, as it only refuses.
pub const ROW_BYTES: f64 = 600.0;
/// Bytes that a front has beside its rows, a hollow one and a real one.
pub const HOLLOW_BYTES: f64 = 300_000.0;
/// The same of a real one.
pub const REAL_BYTES: f64 = 30_000_000.0;
/// Bytes that a planner keeps for a front at most: its reports go up to the bound of its record, which is for all.
pub const PLANNER_BYTES: f64 = 512_000_000.0;
/// Real fronts and planners at the most.
pub const REAL_FRONTS: usize = 16;
/// Planners at the most.
pub const PLANNERS: usize = 5;

/// What a run may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long.
    pub within: Duration,
    /// Processes at once, this one counted in.
    pub processes: usize,
    /// Resident memory in all, MB.
    pub memory_mb: f64,
}

impl Limits {
    /// Those of a run.
    pub fn of(options: &Options) -> Self {
        let seconds = match (options.small, options.quick) {
            (true, _) => 60,
            (false, true) => 4 * 60,
            (false, false) => 15 * 60,
        };
        Self { within: Duration::from_secs(seconds), processes: PROCESS_LIMIT, memory_mb: MEMORY_LIMIT_MB }
    }
}

/// The most that was seen at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Peaks {
    /// Processes, this one counted in.
    pub processes: usize,
    /// Resident memory of all of them, MB.
    pub memory_mb: f64,
}

/// What a run of these sizes is reckoned to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Processes.
    pub processes: usize,
    /// Resident memory, MB.
    pub memory_mb: f64,
    /// Descriptors of the process with most: this one, which holds a connection of each front to discovery and to the
    /// platform, and both ends of each that is counted on its way to a planner.
    pub descriptors: u64,
}

/// What so many fronts before so many machines take.
pub fn need(fronts: usize, machines: usize) -> Need {
    let hollow = fronts.saturating_sub(REAL_FRONTS);
    let real = fronts.min(REAL_FRONTS);
    let rows = machines as f64 * ROW_BYTES;
    let bytes = hollow as f64 * (HOLLOW_BYTES + rows)
        + real as f64 * (REAL_BYTES + rows)
        + PLANNERS as f64 * PLANNER_BYTES;
    Need {
        // This one, its guard, the planners and the fronts.
        processes: 2 + PLANNERS + real + hollow.div_ceil(HOLLOW_A_PROCESS),
        memory_mb: bytes / 1e6,
        descriptors: 256 + fronts as u64 * (2 + 2 * PLANNERS as u64),
    }
}

fn writable(dir: &Path) -> Result<(), String> {
    let probe = dir.join(format!(".yarrowspoke-lab-{}", std::process::id()));
    let write = || {
        std::fs::create_dir_all(dir)?;
        std::fs::write(&probe, b"")?;
        std::fs::remove_file(&probe)
    };
    write().map_err(|e: io::Error| format!("{}: can't be written: {e}", dir.display()))
}

fn ports_free(first: u16) -> Result<(), String> {
    let last = first.checked_add(PORTS - 1).filter(|_| first > 0).ok_or_else(|| {
        format!("port {first}: expected 1 to {}, as {PORTS} are used", u16::MAX - PORTS + 1)
    })?;
    // All are held until all were tried, so that none is counted twice.
    let bind = |port| {
        TcpListener::bind((Ipv4Addr::LOCALHOST, port))
            .map_err(|e| format!("ports {first} to {last}: port {port} can't be listened on: {e}"))
    };
    (first..=last).map(bind).collect::<Result<Vec<_>, _>>().map(drop)
}

/// Why a run of these options can't be played, in one line, or nothing.
pub fn refuse(options: &Options) -> Result<(), String> {
    let sizes = &options.sizes;
    let counts = [
        ("fronts", &sizes.fronts),
        ("machines", &sizes.machines),
        ("services", &sizes.services),
        ("routes", &sizes.routes),
        ("tenants", &sizes.tenants),
    ];
    for (name, sizes) in counts {
        if sizes.is_empty() || sizes.contains(&0) {
            return Err(format!("{name}: found {sizes:?}, expected sizes of 1 or more"));
        }
    }
    if sizes.rates.is_empty() || sizes.rates.iter().any(|r| !r.is_finite() || *r <= 0.0) {
        return Err(format!("rates: found {:?}, expected requests a second above 0", sizes.rates));
    }
    let most = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(0);
    let (fronts, machines) = (most(&sizes.fronts), most(&sizes.machines));
    let need = need(fronts, machines);
    let played = format!("{fronts} fronts before {machines} machines");
    if need.memory_mb > MEMORY_LIMIT_MB {
        return Err(format!(
            "{played}: {:.0} MB at {ROW_BYTES:.0} bytes a row and front, more than the {MEMORY_LIMIT_MB:.0} MB of a run",
            need.memory_mb
        ));
    }
    if need.processes > PROCESS_LIMIT {
        return Err(format!(
            "{played}: {} processes at {HOLLOW_A_PROCESS} hollow fronts in one, more than the {PROCESS_LIMIT} of a run",
            need.processes
        ));
    }
    let open = getrlimit(Resource::Nofile).current;
    if open.is_some_and(|open| need.descriptors > open) {
        return Err(format!(
            "{played}: {} descriptors, more than the {} that this process may open (RLIMIT_NOFILE)",
            need.descriptors,
            open.unwrap_or(0)
        ));
    }
    for program in [&options.program, &options.lab] {
        // A run of the pure cores alone needs none.
        if !program.as_os_str().is_empty() && !program.is_file() {
            return Err(format!("{}: no such program", program.display()));
        }
    }
    options.port.map_or(Ok(()), ports_free)?;
    writable(&options.dir)
}

/// A process of the system's table.
#[derive(Clone, Copy, Debug)]
struct Row {
    parent: u32,
    /// Ticks since the system began: an id that was given again has another.
    started: u64,
    zombie: bool,
}

fn row(pid: u32) -> Option<Row> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Danger: a program's name may hold blanks and brackets.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    Some(Row {
        parent: fields.get(1)?.parse().ok()?,
        started: fields.get(19)?.parse().ok()?,
        zombie: matches!(*fields.first()?, "Z" | "X"),
    })
}

/// All processes that descend from this one and live, without it.
pub fn descendants() -> BTreeSet<u32> {
    let Ok(entries) = std::fs::read_dir("/proc") else { return BTreeSet::new() };
    let pids = entries.flatten().filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    let table: BTreeMap<u32, Row> = pids.filter_map(|p| Some((p, row(p)?))).collect();
    let (mut found, mut next) = (BTreeSet::new(), vec![std::process::id()]);
    while let Some(parent) = next.pop() {
        for (pid, _) in table.iter().filter(|(_, r)| r.parent == parent && !r.zombie) {
            if found.insert(*pid) {
                next.push(*pid);
            }
        }
    }
    found
}

fn memory_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).map_or(0.0, |kib| kib * 1024.0 / 1e6)
}

fn kill(pid: u32) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, Signal::KILL);
    }
}

/// Open while children may be started; whoever ends the run shuts it for good.
static GATE: RwLock<()> = RwLock::new(());
/// Where the guard hears.
static GUARD: Mutex<Option<ChildStdin>> = Mutex::new(None);

/// Starts a child of the run, so that it is ended with it.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _open = GATE.read().unwrap_or_else(PoisonError::into_inner);
    let child = command.spawn()?;
    let mut guard = GUARD.lock().unwrap_or_else(PoisonError::into_inner);
    if let (Some(guard), Some(row)) = (guard.as_mut(), row(child.id())) {
        // One that can't be told is still ended by this process.
        let _ = writeln!(guard, "{} {}", child.id(), row.started);
    }
    Ok(child)
}

/// Ends all children and this process, and says why.
fn end(why: &str, status: i32) -> ! {
    let _shut = GATE.write().unwrap_or_else(PoisonError::into_inner);
    let begun = Instant::now();
    loop {
        let left = descendants();
        if left.is_empty() || begun.elapsed() > GONE_WITHIN {
            eprintln!("yarrowspoke-lab: scale: {why}; {} of its processes left running", left.len());
            std::process::exit(status);
        }
        left.into_iter().for_each(kill);
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The guard: hears of children on standard input, one `ID STARTED` a line, and kills them when it ends.
pub fn guard(told: impl BufRead) {
    let number = |words: &mut std::str::SplitWhitespace| words.next().and_then(|w| w.parse::<u64>().ok());
    let mut children = BTreeMap::new();
    for line in told.lines().map_while(Result::ok) {
        let mut words = line.split_whitespace();
        if let (Some(pid), Some(started)) = (number(&mut words), number(&mut words)) {
            children.insert(pid as u32, started);
        }
    }
    for (pid, started) in children {
        // Danger: an id is given again. Only the very process that was told of is killed.
        if row(pid).is_some_and(|r| r.started == started) {
            kill(pid);
        }
    }
}

/// Held by a run as long as it lasts.
#[derive(Debug)]
pub struct Bounds {
    peaks: Arc<Mutex<Peaks>>,
    over: Arc<AtomicBool>,
    looks: Option<(mpsc::Sender<()>, JoinHandle<()>)>,
    guard: Child,
}

impl Bounds {
    /// Keeps a run within its limits from now on; `lab` is this program. One at a time.
    pub fn hold(lab: &Path, limits: Limits) -> io::Result<Self> {
        use std::os::unix::process::CommandExt;
        // Danger: a signal that comes before its handler stands would leave what was started already.
        let mut signals = Signals::new([Told::Term, Told::Int, Told::Hup])?;
        let mut guard = Command::new(lab)
            .arg("scale-guard")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            // A signal from a terminal goes to the whole group, and this one has to outlast the others.
            .process_group(0)
            .spawn()?;
        *GUARD.lock().unwrap_or_else(PoisonError::into_inner) = guard.stdin.take();
        let over = Arc::new(AtomicBool::new(false));
        let done = Arc::clone(&over);
        std::thread::Builder::new().name("signals".into()).spawn(move || {
            let signal = async_io::block_on(signals.next());
            let (name, number) = match signal {
                Some(Ok(Told::Term)) => ("SIGTERM", 15),
                Some(Ok(Told::Hup)) => ("SIGHUP", 1),
                _ => ("SIGINT", 2),
            };
            if done.load(Ordering::Relaxed) {
                // What comes after the run ends the program as it would have.
                std::process::exit(128 + number);
            }
            end(&format!("ended by {name}"), 128 + number);
        })?;
        let (stop, stopped) = mpsc::channel::<()>();
        let peaks = Arc::new(Mutex::new(Peaks::default()));
        let (seen, begun) = (Arc::clone(&peaks), Instant::now());
        let sample = move || {
            while stopped.recv_timeout(LOOK) == Err(mpsc::RecvTimeoutError::Timeout) {
                let now = look();
                raise(&seen, now);
                if let Some(why) = beyond(&limits, now, begun.elapsed()) {
                    end(&why, 1);
                }
            }
        };
        let looks = std::thread::Builder::new().name("bounds".into()).spawn(sample)?;
        Ok(Self { peaks, over, looks: Some((stop, looks)), guard })
    }

    /// The most that was seen at once so far, this moment counted in.
    pub fn peaks(&self) -> Peaks {
        raise(&self.peaks, look())
    }
}

impl Drop for Bounds {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some((stop, looks)) = self.looks.take() {
            drop(stop);
            let _ = looks.join();
        }
        // Its standard input ends: what was told of and still lives goes now.
        GUARD.lock().unwrap_or_else(PoisonError::into_inner).take();
        let _ = self.guard.wait();
    }
}

fn raise(peaks: &Mutex<Peaks>, now: Peaks) -> Peaks {
    let mut peaks = peaks.lock().unwrap_or_else(PoisonError::into_inner);
    peaks.processes = peaks.processes.max(now.processes);
    peaks.memory_mb = peaks.memory_mb.max(now.memory_mb);
    *peaks
}

fn look() -> Peaks {
    let mut pids = descendants();
    pids.insert(std::process::id());
    Peaks { processes: pids.len(), memory_mb: pids.iter().map(|p| memory_mb(*p)).sum() }
}

/// Why a run that has this and has lasted so long must end, or nothing.
pub fn beyond(limits: &Limits, now: Peaks, lasted: Duration) -> Option<String> {
    if lasted > limits.within {
        return Some(format!("over its {} s", limits.within.as_secs_f64()));
    }
    if now.processes > limits.processes {
        return Some(format!("{} processes, more than its {}", now.processes, limits.processes));
    }
    (now.memory_mb > limits.memory_mb)
        .then(|| format!("{:.0} MB resident, more than its {:.0} MB", now.memory_mb, limits.memory_mb))
}

/// Starts so many children within these limits and waits until `told` ends: what a trial of the bounds runs. The children's
/// ids are printed, one a line, and the peaks at its end.
pub fn rehearse(lab: &Path, limits: Limits, children: usize, told: impl io::Read) -> io::Result<()> {
    let held = Bounds::hold(lab, limits)?;
    let mut started = Vec::new();
    for _ in 0..children {
        let child = spawn(Command::new("sleep").arg("600").stdin(Stdio::null()).stdout(Stdio::null()))?;
        println!("{}", child.id());
        started.push(child);
    }
    println!("started");
    io::copy(&mut io::BufReader::new(told), &mut io::sink())?;
    let peaks = held.peaks();
    println!("{} {:.1}", peaks.processes, peaks.memory_mb);
    drop(held);
    started.iter_mut().try_for_each(|c| c.wait().map(drop))
}
