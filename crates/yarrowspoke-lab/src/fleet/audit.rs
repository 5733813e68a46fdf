//! Trials of the audit on real processes: three planners and eight fronts, a build rolled out, machines drained and back,
//! load the whole time, and a schedule of faults. What is watched from outside is kept for the checker.

use super::check::{check, Findings};
use super::relay::Fault as LinkFault;
use super::schedule::{draw, Fault, Kind, END, FAULTS_END};
use super::world::{Seen, World};
use super::{ask, load::Call, Options, Site};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Fronts of a trial.
const FRONTS: usize = 8;
/// Machines whose build is on trial from the second list on.
const TRIAL: [usize; 2] = [8, 9];
/// How often everything is looked at from outside.
const LOOK: Duration = Duration::from_millis(60);
/// How long a look waits for one process.
const LOOK_WITHIN: Duration = Duration::from_millis(150);
/// Times between two changes of the list, in milliseconds.
const CHANGE_EVERY: u64 = 700;
/// How long a machine stays drained.
const DRAINED_FOR: u64 = 2_800;
/// Schedules that a mutant may hide in before it counts as not caught: not every one meets what it breaks.
const SCHEDULES: u64 = 4;

/// Limits of the trials, as the operator's file has them and as the checker is told them.
pub const LEASE_MS: u64 = 1_500;
/// Most fronts out, and most of one zone.
pub const MOST_OUT: (usize, usize) = (2, 1);
const FLEET: &str =
    "(renew 0.2) (lease 1.5) (behind 0.8) (shut-after 3) (back-after 1) (list-within 60) (most-out 2)\n  \
    (most-out-by-zone 1) (alone narrow)";

/// The form `paced`, where trials are played with it: as slow as the lease allows.
const PACED: &str = "\n  (paced (pace 0.45) (lists delta) (spans home))";

/// A look at one moment. Times are microseconds of the world.
#[derive(Clone, Debug)]
pub struct Look {
    /// When it was begun.
    pub at: u64,
    /// What `GET /up` gave at each front.
    pub up: Vec<Option<u16>>,
    /// What each planner's status said.
    pub status: Vec<Option<serde_json::Value>>,
}

/// All that was watched in one trial.
#[derive(Debug)]
pub struct Watched {
    /// What stand-ins saw and told.
    pub seen: Vec<(u64, Seen)>,
    /// Changes of the list: when, to which version, which machine, to which status.
    pub changes: Vec<(u64, u64, usize, &'static str)>,
    /// What clients asked and were answered.
    pub calls: Vec<Call>,
    /// Looks from outside.
    pub looks: Vec<Look>,
    /// Each planner's audit at the end.
    pub audits: Vec<Option<serde_json::Value>>,
    /// When each incarnation of each front was started: world's time and Unix time, both in microseconds.
    pub incarnations: Vec<Vec<(u64, u64)>>,
    /// Faults as they were put on: when they really began and ended, in the world's time.
    pub faults: Vec<(Fault, u64, u64)>,
    /// When the build on trial came, and when its trial ended.
    pub trial: (u64, u64),
    /// Zones.
    pub zones: usize,
    /// Processes that ended by themselves.
    pub ended: Vec<String>,
}

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Trials {
    /// The program.
    pub program: PathBuf,
    /// The program with mutants in it, if mutants are to be tried.
    pub mutants: Option<PathBuf>,
    /// Where to work.
    pub dir: PathBuf,
    /// Whether the section has the form `paced`.
    pub paced: bool,
    /// Draws the schedules.
    pub seed: u64,
    /// How many.
    pub trials: u64,
    /// How many at once.
    pub at_once: usize,
    /// Whether a schedule that fails is shrunk to the least that still does.
    pub shrink: bool,
    /// Where to draw the first trial's audit, if anywhere.
    pub plot: Option<PathBuf>,
}

/// The report.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Draws the schedules.
    pub seed: u64,
    /// Trials played.
    pub trials: u64,
    /// Processes started in them.
    pub processes_started: usize,
    /// Faults by kind.
    pub faults: BTreeMap<String, usize>,
    /// What was found in the sound trials.
    #[serde(flatten)]
    pub findings: Findings,
    /// Median and longest time from when a planner knew of a drain, to the grain of a look, to the last attempt against it by a
    /// front that was cut from discovery and reached a planner, in ms.
    pub reconcile_ms_median: u64,
    /// The longest.
    pub reconcile_ms_max: u64,
    /// Schedules of the trials in which something was wrong, by seed: that seed alone plays it again.
    pub failing: BTreeMap<u64, (Vec<String>, Vec<Fault>)>,
    /// Mutants tried.
    pub mutants: usize,
    /// Mutants that the checker found.
    pub mutants_caught: usize,
    /// Each mutant, and what gave it away.
    pub mutants_by: BTreeMap<String, String>,
}

impl Report {
    /// Whether all held.
    pub fn held(&self) -> bool {
        self.findings.wrongs().is_empty() && self.mutants == self.mutants_caught
    }
}

/// Plays one trial, with what is set in its processes' environment.
pub fn play(program: &Path, dir: &Path, seed: u64, mutant: Option<&str>) -> io::Result<Watched> {
    play_schedule((program, false), dir, seed, mutant, draw(seed, FRONTS))
}

/// The same with the form `paced` in the section.
pub fn play_paced(program: &Path, dir: &Path, seed: u64, mutant: Option<&str>) -> io::Result<Watched> {
    play_schedule((program, true), dir, seed, mutant, draw(seed, FRONTS))
}

/// The same with this schedule in the place of the seed's own.
fn play_schedule(
    (program, paced): (&Path, bool),
    dir: &Path,
    seed: u64,
    mutant: Option<&str>,
    mut planned: Vec<Fault>,
) -> io::Result<Watched> {
    let mut envs = vec![("RUST_LOG".to_owned(), "info".to_owned())];
    envs.extend(mutant.map(|m| ("YARROWSPOKE_MUTANT".to_owned(), m.to_owned())));
    let options = Options {
        program: program.to_owned(),
        dir: dir.to_owned(),
        fronts: FRONTS,
        planners: 3,
        machines: 10,
        zones: 3,
        rate: 25.0,
        seed,
        fleet: FLEET.to_owned() + if paced { PACED } else { "" },
        envs,
    };
    let world = World::new(options.machines, options.zones);
    let bad = seed % 2 == 1;
    world.build(2, if bad { 60 } else { 5 }, if bad { 4 } else { 0 });
    let (zones, fronts) = (options.zones, options.fronts);
    let mut site = Site::start(options, Arc::clone(&world))?;
    let started = |world: &World| {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
        (world.now(), wall)
    };
    let mut incarnations: Vec<Vec<(u64, u64)>> =
        (0..fronts).map(|_| vec![(0, started(&world).1 - world.now())]).collect();
    site.come_up()?;
    site.drive();
    let begun = Instant::now();
    let zero = world.now();
    planned.sort_by_key(|f| f.at);
    let mut faults = Vec::new();
    let (looks, over) = (Mutex::new(Vec::new()), AtomicBool::new(false));
    let fronts_at: Vec<_> = site.fronts.iter().map(|f| f.listen).collect();
    let planners_at: Vec<_> = site.planners.iter().map(|p| p.listen).collect();
    let mut trial = (u64::MAX, u64::MAX);
    let done = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                let at = world.now();
                let begun = Instant::now();
                let (up, status) = look(&fronts_at, &planners_at);
                looks.lock().unwrap_or_else(|e| e.into_inner()).push(Look { at, up, status });
                std::thread::sleep(LOOK.saturating_sub(begun.elapsed()));
            }
        });
        let mut step = || -> io::Result<()> {
            let mut events: Vec<(u64, Event)> = Vec::new();
            for fault in &planned {
                events.push((fault.at, Event::Begin(*fault)));
                events.push((fault.until.min(FAULTS_END), Event::End(*fault)));
            }
            events.push((700, Event::Tell("2 0 canary 0.16")));
            events.extend(TRIAL.map(|m| (800, Event::List(m, "up", 2))));
            events.push((5_500, Event::Tell("2 1 canary 0.5")));
            let end = if bad { "2 1 reverting 0.0" } else { "2 2 stable 1.0" };
            events.push((9_500, Event::Tell(end)));
            // Machines go one after another and come back, so that lists keep moving.
            for (n, at) in (1_200..FAULTS_END).step_by(CHANGE_EVERY as usize).enumerate() {
                events.push((at, Event::List(n % 5, "draining", 1)));
                events.push((at + DRAINED_FOR, Event::List(n % 5, "up", 1)));
            }
            events.sort_by_key(|e| e.0);
            for (at, event) in events {
                std::thread::sleep(
                    (begun + Duration::from_millis(at)).saturating_duration_since(Instant::now()),
                );
                match event {
                    Event::Tell(state) => {
                        world.tell(state);
                        match state.starts_with("2 0") {
                            true => trial.0 = world.now(),
                            false if !state.contains("canary") => trial.1 = world.now(),
                            false => {}
                        }
                    }
                    Event::List(machine, status, build) => {
                        world.list(machine, status, build);
                    }
                    Event::Begin(fault) => put(&mut site, &fault, true)?,
                    Event::End(fault) => {
                        let at = world.now();
                        if fault.kind == Kind::Kill {
                            incarnations[fault.who].push(started(&world));
                        }
                        put(&mut site, &fault, false)?;
                        faults.push((fault, zero + fault.at * 1_000, at.max(world.now())));
                    }
                }
            }
            std::thread::sleep(
                (begun + Duration::from_millis(END - 1_500)).saturating_duration_since(Instant::now()),
            );
            site.rest();
            std::thread::sleep(
                (begun + Duration::from_millis(END)).saturating_duration_since(Instant::now()),
            );
            Ok(())
        };
        let done = step();
        over.store(true, Ordering::Relaxed);
        done
    });
    done?;
    let audit = |at: &std::net::SocketAddr| {
        let (status, body) = ask(*at, "/fleet/audit", Duration::from_secs(5))?;
        (status == 200).then(|| serde_json::from_slice(&body).ok()).flatten()
    };
    Ok(Watched {
        seen: world.log(),
        changes: world.changes(),
        calls: site.load.calls(),
        looks: looks.into_inner().unwrap_or_else(|e| e.into_inner()),
        audits: planners_at.iter().map(audit).collect(),
        incarnations,
        faults,
        trial,
        zones,
        ended: site.ended(),
    })
}

enum Event {
    Begin(Fault),
    End(Fault),
    Tell(&'static str),
    List(usize, &'static str, u16),
}

type Statuses = Vec<Option<serde_json::Value>>;

fn look(fronts: &[std::net::SocketAddr], planners: &[std::net::SocketAddr]) -> (Vec<Option<u16>>, Statuses) {
    std::thread::scope(|scope| {
        let ups: Vec<_> =
            fronts.iter().map(|at| scope.spawn(move || ask(*at, "/up", LOOK_WITHIN).map(|a| a.0))).collect();
        let told = |at: &std::net::SocketAddr| {
            let (_, body) = ask(*at, "/fleet/status", LOOK_WITHIN)?;
            serde_json::from_slice(&body).ok()
        };
        let statuses: Vec<_> = planners.iter().map(|at| scope.spawn(move || told(at))).collect();
        let up = ups.into_iter().map(|u| u.join().ok().flatten()).collect();
        (up, statuses.into_iter().map(|s| s.join().ok().flatten()).collect())
    })
}

/// Puts a fault on, or takes it off again.
pub fn put_on(site: &mut Site, kind: Kind, who: usize, on: bool) -> io::Result<()> {
    put(site, &Fault { kind, who, at: 0, until: 0 }, on)
}

fn put(site: &mut Site, fault: &Fault, on: bool) -> io::Result<()> {
    let who = fault.who;
    let cut = |cut_to| {
        if on {
            LinkFault { cut_to, cut_back: true, ..LinkFault::default() }
        } else {
            LinkFault::default()
        }
    };
    let late =
        |ms| LinkFault { delay: Duration::from_millis(if on { ms } else { 0 }), ..LinkFault::default() };
    match fault.kind {
        Kind::CutDiscovery => site.fronts[who].discovery.set(cut(true)),
        Kind::DeafToDiscovery => site.fronts[who].discovery.set(cut(false)),
        Kind::SlowDiscovery => site.fronts[who].discovery.set(late(400)),
        Kind::CutPlatform => site.fronts[who].platform.set(cut(true)),
        Kind::CutPlanners => site.fronts[who].planners.iter().for_each(|l| l.set(cut(true))),
        Kind::DeafToPlanners => site.fronts[who].planners.iter().for_each(|l| l.set(cut(false))),
        Kind::Spoilt => {
            let share = if on { 0.25 } else { 0.0 };
            let spoilt = LinkFault { lose: share, repeat: share, overtake: share, ..LinkFault::default() };
            site.fronts[who].planners.iter().for_each(|l| l.set(spoilt));
        }
        Kind::Stop if on => site.fronts[who].process.stop(),
        Kind::Stop => site.fronts[who].process.wake(),
        Kind::Kill if on => site.fronts[who].process.kill(),
        Kind::Kill => site.fronts[who].process.start()?,
        Kind::StopPlanner if on => site.planners[who].process.stop(),
        Kind::StopPlanner => site.planners[who].process.wake(),
        Kind::KillPlanner | Kind::EmptyPlanner if on => site.planners[who].process.kill(),
        Kind::KillPlanner => site.planners[who].process.start()?,
        Kind::EmptyPlanner => {
            for file in ["reports", "agreed"] {
                let _ = std::fs::remove_file(site.options.dir.join(format!("p{who}")).join(file));
            }
            site.planners[who].process.start()?;
        }
        Kind::SplitPlanner | Kind::SlowPlanner => {
            let fault = if fault.kind == Kind::SplitPlanner { cut(true) } else { late(300) };
            site.planners[who].planners.iter().for_each(|l| l.set(fault));
            let others = site.planners.iter().enumerate().filter(|(n, _)| *n != who);
            others.for_each(|(_, p)| p.planners[who].set(fault));
        }
    }
    Ok(())
}

/// Takes away one fault after another as long as something is still wrong without it.
fn shrink(trials: &Trials, seed: u64, mut schedule: Vec<Fault>) -> io::Result<Vec<Fault>> {
    let mut at = 0;
    while at < schedule.len() {
        let mut less = schedule.clone();
        less.remove(at);
        let dir = trials.dir.join(format!("{seed}-less-{at}-of-{}", schedule.len()));
        if check(&play_schedule((&trials.program, trials.paced), &dir, seed, None, less.clone())?)
            .wrongs()
            .is_empty()
        {
            at += 1;
        } else {
            schedule = less;
        }
    }
    Ok(schedule)
}

/// Plays all trials and mutants.
pub fn run(trials: &Trials, done: impl Fn() + Sync) -> io::Result<Report> {
    let mutants: Vec<&str> = if trials.mutants.is_some() { mutants(trials.paced) } else { vec![] };
    let play = if trials.paced { play_paced } else { play };
    let jobs: Vec<(u64, Option<&str>)> = (0..trials.trials)
        .map(|n| (trials.seed + n, None))
        .chain(mutants.iter().map(|m| (trials.seed, Some(*m))))
        .collect();
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..trials.at_once.max(1) {
            scope.spawn(|| loop {
                let Some((seed, mutant)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                let program = mutant.and(trials.mutants.as_ref()).unwrap_or(&trials.program);
                let schedules = if mutant.is_some() { SCHEDULES } else { 1 };
                let mut played = Err(io::Error::other("no schedule"));
                for seed in *seed..*seed + schedules {
                    let dir = trials.dir.join(format!("{seed}-{}", mutant.unwrap_or("sound")));
                    let watched = play(program, &dir, seed, *mutant);
                    if let (Ok(w), Some(path), None) = (&watched, &trials.plot, mutant) {
                        let drawn = w.audits.iter().flatten().next().map(|a| super::picture::draw(a, path));
                        if let Some(Err(e)) = drawn.filter(|_| seed == trials.seed) {
                            eprintln!("yarrowspoke-lab: {}: {e}", path.display());
                        }
                    }
                    played = watched.map(|w| (w.faults.clone(), incarnations(&w), check(&w)));
                    if played.as_ref().map_or(true, |p| !p.2.wrongs().is_empty()) {
                        break;
                    }
                }
                results.lock().unwrap_or_else(|e| e.into_inner()).push((*seed, *mutant, played));
                done();
            });
        }
    });
    let mut report = Report { seed: trials.seed, trials: trials.trials, ..Report::default() };
    let mut reconciled = Vec::new();
    for (seed, mutant, played) in results.into_inner().unwrap_or_else(|e| e.into_inner()) {
        let (faults, incarnations, mut findings) = played?;
        match mutant {
            None => {
                report.processes_started += incarnations + 3;
                if !findings.wrongs().is_empty() {
                    let mut schedule = faults.iter().map(|f| f.0).collect();
                    if trials.shrink {
                        schedule = shrink(trials, seed, schedule)?;
                    }
                    report.failing.insert(seed, (findings.wrongs(), schedule));
                }
                for (fault, ..) in faults {
                    *report.faults.entry(format!("{:?}", fault.kind)).or_default() += 1;
                }
                reconciled.append(&mut findings.reconcile_ms);
                report.findings.add(findings);
            }
            Some(name) => {
                report.mutants += 1;
                let wrongs = findings.wrongs();
                report.mutants_caught += usize::from(!wrongs.is_empty());
                let by = if wrongs.is_empty() { "NOT CAUGHT".to_owned() } else { wrongs.join(", ") };
                report.mutants_by.insert(name.to_owned(), by);
            }
        }
    }
    reconciled.sort_unstable();
    report.reconcile_ms_median = reconciled.get(reconciled.len() / 2).copied().unwrap_or(0);
    report.reconcile_ms_max = reconciled.last().copied().unwrap_or(0);
    Ok(report)
}

fn incarnations(watched: &Watched) -> usize {
    watched.incarnations.iter().map(Vec::len).sum()
}

/// Mutants that the trials have to catch, by the names under which the program built with them knows them.
pub const MUTANTS: [&str; 10] = [
    "lease-unchecked",
    "merge-keeps-last",
    "tail-shown-fine",
    "zone-limit-forgotten",
    "limit-forgotten",
    "relay-called-own",
    "relay-ignored",
    "out-still-serves",
    "attempts-uncounted",
    "silence-called-current",
];

/// Mutants of what only the form `paced` does that trials have to catch. One that keeps a change back for a pace stays
/// within the checker's wide bounds, and one whose home planner comes back loses nothing: those are caught in virtual time.
pub const PACED_MUTANTS: [&str; 1] = ["delta-on-any-base"];

/// Mutants to be tried.
pub fn mutants(paced: bool) -> Vec<&'static str> {
    MUTANTS.iter().chain(PACED_MUTANTS.iter().filter(|_| paced)).copied().collect()
}

/// The report as a table.
pub fn table(report: &Report) -> String {
    let mut text = format!(
        "{} trials from seed {}: {} processes started, faults {:?}\n{}\nreconciled in ms: median {}, most {}\n",
        report.trials,
        report.seed,
        report.processes_started,
        report.faults,
        report.findings.told(),
        report.reconcile_ms_median,
        report.reconcile_ms_max
    );
    for (seed, (wrongs, schedule)) in &report.failing {
        let _ = writeln!(text, "seed {seed}: {}", wrongs.join(", "));
        for f in schedule {
            let _ = writeln!(text, "  {:?} {} from {} to {} ms", f.kind, f.who, f.at, f.until);
        }
    }
    let _ = writeln!(text, "mutants caught: {} of {}", report.mutants_caught, report.mutants);
    for (name, by) in &report.mutants_by {
        let _ = writeln!(text, "  {name}: {by}");
    }
    text
}
