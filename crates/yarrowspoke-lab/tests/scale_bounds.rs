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
        paced: false,
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

fn scale(args: &[&str]) -> (Option<i32>, String) {
    let done = Command::new(LAB).arg("scale").args(args).stdin(Stdio::null()).output().unwrap();
    assert!(done.stdout.is_empty());
    (done.status.code(), String::from_utf8(done.stderr).unwrap())
}

#[test]
fn bad_input_is_one_clear_line_and_status_2() {
    let dir = Dir::new("input");
    let file = dir.0.join("file");
    std::fs::write(&file, b"kept").unwrap();
    let below = file.join("below").display().to_string();
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().port().min(u16::MAX - PORTS).to_string();
    let own = dir.0.display().to_string();
    let cases: [(&[&str], &str); 9] = [
        (&["--fronts", "0"], "--fronts"),
        (&["--machines", "40,0"], "--machines"),
        (&["--routes", "0"], "--routes"),
        (&["--tenants", "0"], "--tenants"),
        (&["--machines", "100000000"], "--machines"),
        (&["--seed", "seven"], "\"seven\""),
        (&["--port", "99999"], "\"99999\""),
        (&["--dir", &below], "below"),
        (&["--dir", &own, "--program", LAB, "--port", &port], "can't be listened on"),
    ];
    for (args, named) in cases {
        let (status, said) = scale(args);
        assert_eq!((status, said.lines().count()), (Some(2), 1), "{args:?}: {said}");
        assert!(said.contains(named), "{args:?}: {said}");
    }
    assert_eq!(std::fs::read(&file).unwrap(), b"kept");
}

/// The ids of processes that descend from this one.
fn descendants(of: u32) -> Vec<u32> {
    let pids = std::fs::read_dir("/proc").unwrap().flatten();
    let pids: Vec<u32> = pids.filter_map(|e| e.file_name().to_str()?.parse().ok()).collect();
    let parent = |pid: u32| -> Option<u32> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
    };
    let table: Vec<(u32, u32)> = pids.into_iter().filter_map(|p| Some((p, parent(p)?))).collect();
    let (mut found, mut next) = (vec![], vec![of]);
    while let Some(parent) = next.pop() {
        let children: Vec<u32> = table.iter().filter(|t| t.1 == parent).map(|t| t.0).collect();
        next.extend(&children);
        found.extend(children);
    }
    found
}

fn lives(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit_once(") ").is_some_and(|(_, state)| !state.starts_with('Z') && !state.starts_with('X'))
}

/// The program beside the laboratory's. A run of this package alone does not build it, so it is built here where it is missing.
fn program() -> PathBuf {
    let program = Path::new(LAB).with_file_name("yarrowspoke");
    if !program.exists() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-p", "yarrowspoke-front", "--bin", "yarrowspoke"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success());
    }
    program
}

#[test]
fn a_signal_ends_a_run_with_planners_and_fronts_and_nothing_is_left() {
    use rustix::process::Signal;
    let program = program();
    for (sent, status) in [(Signal::TERM, Some(143)), (Signal::KILL, None)] {
        let dir = Dir::new(&format!("run-{status:?}"));
        let mut lab = Command::new(LAB)
            .args(["scale", "--small", "--only", "incidents", "--json", "--dir"])
            .arg(&dir.0)
            .arg("--program")
            .arg(&program)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        // Three planners, two fronts, a process of hollow ones and the guard.
        let begun = Instant::now();
        let mut children = descendants(lab.id());
        while children.len() < 7 {
            assert!(begun.elapsed() < PATIENCE && lab.try_wait().unwrap().is_none(), "{children:?}");
            std::thread::sleep(Duration::from_millis(10));
            children = descendants(lab.id());
        }
        signal(&lab, sent);
        let ended = lab.wait().unwrap();
        let mut said = String::new();
        std::io::Read::read_to_string(&mut lab.stderr.take().unwrap(), &mut said).unwrap();
        assert_eq!(ended.code(), status, "{said}");
        let begun = Instant::now();
        while children.iter().any(|c| lives(*c)) {
            assert!(begun.elapsed() < PATIENCE, "left running: {children:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}
