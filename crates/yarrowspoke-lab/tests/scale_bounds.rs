//! What a scale run refuses beforehand, and that nothing outlasts it.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use yarrowspoke_lab::scale::bounds::{beyond, need, refuse, Limits, Peaks, PORTS};
use yarrowspoke_lab::scale::run::{Options, Sizes};
use yarrowspoke_lab::scale::target::{FRONTS, MACHINES, MEMORY_LIMIT_MB, PROCESS_LIMIT};

const LAB: &str = env!("CARGO_BIN_EXE_yarrowspoke-lab");
/// How long something may take that is to come at once.
const PATIENCE: Duration = Duration::from_secs(20);

struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let dir =
            std::env::temp_dir().join(format!("yarrowspoke-scale-bounds-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self(dir)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn options(dir: &Path) -> Options {
    Options {
        program: LAB.into(),
        lab: LAB.into(),
        dir: dir.into(),
        seed: 1,
        quick: true,
        small: true,
        sizes: Sizes {
            fronts: vec![10, 50],
            machines: vec![40, 600],
            services: vec![1, 260],
            routes: vec![10],
            tenants: vec![10],
            rates: vec![20.0],
        },
        port: None,
    }
}

fn refused(options: &Options) -> String {
    let why = refuse(options).unwrap_err();
    assert_eq!(why.lines().count(), 1, "{why:?}");
    why
}

#[test]
fn the_size_to_come_fits_and_nothing_is_left_of_the_look() {
    let dir = Dir::new("fits");
    let mut options = options(&dir.0);
    options.sizes.fronts.push(FRONTS);
    options.sizes.machines.push(MACHINES);
    assert_eq!(refuse(&options), Ok(()));
    assert_eq!(std::fs::read_dir(&dir.0).unwrap().count(), 0);
}

#[test]
fn a_size_of_none_is_refused_by_name() {
    let dir = Dir::new("none");
    for (name, none) in ["fronts", "machines", "services", "routes", "tenants", "rates"].iter().zip(0..) {
        let mut options = options(&dir.0);
        let sizes = &mut options.sizes;
        match none {
            0 => sizes.fronts[1] = 0,
            1 => sizes.machines = vec![],
            2 => sizes.services[0] = 0,
            3 => sizes.routes[0] = 0,
            4 => sizes.tenants[0] = 0,
            _ => sizes.rates[0] = 0.0,
        }
        let why = refused(&options);
        assert!(why.starts_with(&format!("{name}: found [")), "{why}");
    }
    let mut options = options(&dir.0);
    options.sizes.rates = vec![f64::NAN];
    assert!(refused(&options).starts_with("rates: found [NaN]"));
}

#[test]
fn a_size_that_does_not_fit_is_refused_with_the_figure() {
    let dir = Dir::new("fit");
    let mut options = options(&dir.0);
    options.sizes.machines.push(1_000_000);
    let why = refused(&options);
    let figure = need(50, 1_000_000).memory_mb;
    assert!(figure > MEMORY_LIMIT_MB && why.contains(&format!("{figure:.0} MB")), "{why}");
    options.sizes.machines.pop();
    // Few machines, so that it isn't the memory; far more descriptors than any process is given.
    options.sizes.fronts.push(10_000);
    options.sizes.machines = vec![40];
    let why = refused(&options);
    assert!(why.contains("10000 fronts") && why.contains("more than the"), "{why}");
}

#[test]
fn each_size_takes_more_of_everything() {
    let (small, large) = (need(10, 40), need(620, 9_700));
    assert!(small.memory_mb < large.memory_mb && large.memory_mb < MEMORY_LIMIT_MB);
    assert!(small.processes < large.processes && large.processes < PROCESS_LIMIT);
    assert!(small.descriptors < large.descriptors);
}

#[test]
fn a_port_that_is_taken_is_named() {
    let dir = Dir::new("port");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().port();
    let mut options = options(&dir.0);
    options.port = Some(port.saturating_sub(1).min(u16::MAX - PORTS + 1));
    let why = refused(&options);
    // Another process of the machine may hold one of the range as well; it is the run's business to say which.
    assert!(why.contains("can't be listened on"), "{why}");
    for port in [0, u16::MAX - PORTS + 2, u16::MAX] {
        options.port = Some(port);
        assert!(refused(&options).starts_with(&format!("port {port}: expected 1 to")));
    }
}

#[test]
fn a_directory_that_cannot_be_written_is_named() {
    let dir = Dir::new("dir");
    let file = dir.0.join("file");
    std::fs::write(&file, b"kept").unwrap();
    let options = Options { dir: file.join("below"), ..options(&dir.0) };
    let why = refused(&options);
    assert!(why.contains("can't be written") && why.contains("file/below"), "{why}");
    assert_eq!(std::fs::read(&file).unwrap(), b"kept");
}

#[test]
fn a_program_that_is_not_there_is_named() {
    let dir = Dir::new("program");
    let options = Options { program: dir.0.join("none"), ..options(&dir.0) };
    assert!(refused(&options).ends_with("none: no such program"));
}

#[test]
fn a_run_beyond_a_limit_is_told_which() {
    let limits = Limits { within: Duration::from_secs(60), processes: 300, memory_mb: 12_000.0 };
    let (second, fits) = (Duration::from_secs(1), Peaks { processes: 300, memory_mb: 12_000.0 });
    assert_eq!(beyond(&limits, fits, second), None);
    let told = |now, lasted| beyond(&limits, now, lasted).unwrap();
    assert_eq!(told(Peaks { processes: 301, ..fits }, second), "301 processes, more than its 300");
    assert!(told(Peaks { memory_mb: 12_001.0, ..fits }, second).starts_with("12001 MB"));
    assert_eq!(told(fits, Duration::from_secs(61)), "over its 60 s");
}

/// The bounds with some children and nothing to do, its children's ids, and what it prints further.
struct Run {
    lab: Child,
    children: Vec<u32>,
    out: BufReader<std::process::ChildStdout>,
}

fn run(children: usize, args: &[&str]) -> Run {
    let mut lab = Command::new(LAB)
        .args(["scale-rehearse", "--children", &children.to_string()])
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut out = BufReader::new(lab.stdout.take().unwrap());
    let mut pids = Vec::new();
    loop {
        let mut line = String::new();
        assert!(out.read_line(&mut line).unwrap() > 0, "ended before its children stood");
        match line.trim().parse() {
            Ok(pid) => pids.push(pid),
            Err(_) => break,
        }
    }
    assert_eq!(pids.len(), children);
    Run { lab, children: pids, out }
}

/// Whether this process is one of ours that still runs: not gone, not a zombie, and not another under a reused id.
fn runs(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.contains("(sleep)") && !stat.contains("(sleep) Z") && !stat.contains("(sleep) X")
}

fn all_gone(children: &[u32]) -> bool {
    let begun = Instant::now();
    while children.iter().any(|c| runs(*c)) {
        if begun.elapsed() > PATIENCE {
            return false;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    true
}

fn ended(mut run: Run) -> (ExitStatus, String, Vec<u32>) {
    // Danger: waiting closes its standard input otherwise, and that ends it as well.
    let held = run.lab.stdin.take();
    let status = run.lab.wait().unwrap();
    drop(held);
    let mut said = String::new();
    std::io::Read::read_to_string(&mut run.lab.stderr.take().unwrap(), &mut said).unwrap();
    (status, said, run.children)
}

fn signal(child: &Child, signal: rustix::process::Signal) {
    rustix::process::kill_process(rustix::process::Pid::from_child(child), signal).unwrap();
}

#[test]
fn a_signal_ends_the_run_and_its_children() {
    use rustix::process::Signal;
    for (sent, status) in [(Signal::TERM, 143), (Signal::INT, 130), (Signal::HUP, 129)] {
        let run = run(3, &[]);
        assert!(run.children.iter().all(|c| runs(*c)));
        signal(&run.lab, sent);
        let (ended, said, children) = ended(run);
        assert_eq!(ended.code(), Some(status), "{said}");
        assert!(said.contains("0 of its processes left running"), "{said}");
        assert!(children.iter().all(|c| !runs(*c)));
    }
}

#[test]
fn a_run_that_is_killed_is_ended_by_its_guard() {
    let mut run = run(3, &[]);
    let other = run.children[0];
    assert!(runs(other));
    run.lab.kill().unwrap();
    let (_, _, children) = ended(run);
    assert!(all_gone(&children), "left: {children:?}");
}

#[test]
fn a_run_that_takes_too_long_ends_itself_and_says_so() {
    let (ended, said, children) = ended(run(2, &["--within-ms", "700"]));
    assert_eq!(ended.code(), Some(1));
    assert!(said.contains("over its 0.7 s") && said.contains("0 of its processes left"), "{said}");
    assert!(children.iter().all(|c| !runs(*c)));
}

#[test]
fn a_run_that_grew_beyond_its_limits_ends_itself_and_says_so() {
    // The run, its guard and four children.
    let (status, said, children) = ended(run(4, &["--processes", "5"]));
    assert_eq!(status.code(), Some(1));
    assert!(said.contains("6 processes, more than its 5"), "{said}");
    assert!(children.iter().all(|c| !runs(*c)));
    let (status, said, _) = ended(run(1, &["--memory-mb", "1"]));
    assert_eq!(status.code(), Some(1));
    assert!(said.contains("more than its 1 MB"), "{said}");
}

#[test]
fn a_run_that_ends_by_itself_ends_its_children_and_tells_its_peaks() {
    let mut run = run(3, &[]);
    drop(run.lab.stdin.take());
    let mut peaks = String::new();
    run.out.read_line(&mut peaks).unwrap();
    let (status, said, children) = ended(run);
    assert!(status.success(), "{said}");
    assert!(children.iter().all(|c| !runs(*c)));
    assert!(peaks.starts_with("5 "), "{peaks}");
}

#[test]
fn the_guard_kills_only_the_very_process_that_it_was_told_of() {
    use std::io::Write;
    let mut mine = Command::new("sleep").arg("600").spawn().unwrap();
    let mut guard = Command::new(LAB).arg("scale-guard").stdin(Stdio::piped()).spawn().unwrap();
    // Its id is right, the time at which it was started is that of a process before it under the same id.
    writeln!(guard.stdin.as_mut().unwrap(), "{} 1\n1 nonsense\n\n4294967296 4\n0 0", mine.id()).unwrap();
    drop(guard.stdin.take());
    assert!(guard.wait().unwrap().success());
    assert!(runs(mine.id()));
    mine.kill().unwrap();
    mine.wait().unwrap();
}
