//! Trials of the agreement on real processes: every front is to be restarted by its desk, within limits, while planners are
//! killed, stopped and split off, a front dies by itself, and everything is halted for a while.
//!
//! The desk orders each front out at some planner, kills it only once a permit is taken *and* `GET /up` says so, and starts it
//! again. What is checked is what was seen from outside: who answered `GET /up` with what, and when.

use super::load::Call;
use super::schedule::Kind;
use super::world::World;
use super::{ask, http, zone, Options, Site};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const FRONTS: usize = 6;
const ZONES: usize = 3;
/// Most fronts out, and most of one zone.
const MOST_OUT: (usize, usize) = (2, 1);
const FLEET: &str =
    "(renew 0.2) (lease 1.5) (behind 0.8) (shut-after 60) (back-after 1) (list-within 60) (most-out 2)\n  \
    (most-out-by-zone 1) (alone narrow)";
/// How long a whole restart may take before it counts as stuck. Faults end after half of it.
const WITHIN: Duration = Duration::from_secs(45);
/// Draws of faults that a mutant may hide in before it counts as not caught.
const SCHEDULES: u64 = 3;
/// How long a front stays down when its desk restarts it.
const DOWN: Duration = Duration::from_millis(1_800);
/// A loss by itself is known to planners after a lease, its drift, some heartbeats and an entry agreed on.
const LOSS_KNOWN: u64 = 4_000_000;
/// Nothing goes out later than this after a halt was acknowledged, with a look's grain.
const HALTED_WITHIN: u64 = 1_200_000;

/// One look from outside: when, what `GET /up` gave, and what planners say is agreed.
struct Look {
    at: u64,
    up: Vec<Option<u16>>,
    agreed: Vec<Option<Value>>,
}

/// What one trial, or all, showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Findings {
    /// Fronts restarted by their desks.
    pub restarts: u64,
    /// Permits granted.
    pub grants: u64,
    /// A front went out by plan where the limits had no room.
    pub fronts_over_limit: u64,
    /// A front went out without a permit that was taken.
    pub acted_without_permit: u64,
    /// A front went out under a halt.
    pub granted_under_halt: u64,
    /// Trials that were not done in time once faults had ended.
    pub stuck_after_faults: u64,
    /// Calls without a final answer by fronts that ran.
    pub requests_lost: u64,
    /// Calls with an effect that reached machines twice.
    pub requests_doubled: u64,
    /// Processes that ended by themselves.
    pub crashed: u64,
    /// Longest time from a halt's order to its acknowledgement, ms.
    pub halt_ms_max: u64,
    /// Longest time of a whole restart, ms.
    pub whole_restart_ms_max: u64,
    /// Most fronts out of service at once, those that died by themselves among them.
    pub out_at_once: u64,
    /// Calls, and those served.
    pub calls: u64,
    /// Served.
    pub served: u64,
    /// The first wrong of each kind, in words.
    pub first: BTreeMap<&'static str, String>,
}

impl Findings {
    fn wrong(&mut self, name: &'static str, what: String) {
        let count = match name {
            "fronts_over_limit" => &mut self.fronts_over_limit,
            "acted_without_permit" => &mut self.acted_without_permit,
            "granted_under_halt" => &mut self.granted_under_halt,
            "stuck_after_faults" => &mut self.stuck_after_faults,
            "requests_lost" => &mut self.requests_lost,
            "requests_doubled" => &mut self.requests_doubled,
            _ => &mut self.crashed,
        };
        *count += 1;
        self.first.entry(name).or_insert(what);
    }

    /// Names of the wrongs that there are, with how many.
    pub fn wrongs(&self) -> Vec<String> {
        let all = [
            ("fronts_over_limit", self.fronts_over_limit),
            ("acted_without_permit", self.acted_without_permit),
            ("granted_under_halt", self.granted_under_halt),
            ("stuck_after_faults", self.stuck_after_faults),
            ("requests_lost", self.requests_lost),
            ("requests_doubled", self.requests_doubled),
            ("crashed", self.crashed),
        ];
        all.iter().filter(|w| w.1 > 0).map(|w| format!("{} {}", w.0, w.1)).collect()
    }

    fn add(&mut self, o: Self) {
        self.restarts += o.restarts;
        self.grants += o.grants;
        self.fronts_over_limit += o.fronts_over_limit;
        self.acted_without_permit += o.acted_without_permit;
        self.granted_under_halt += o.granted_under_halt;
        self.stuck_after_faults += o.stuck_after_faults;
        self.requests_lost += o.requests_lost;
        self.requests_doubled += o.requests_doubled;
        self.crashed += o.crashed;
        self.halt_ms_max = self.halt_ms_max.max(o.halt_ms_max);
        self.whole_restart_ms_max = self.whole_restart_ms_max.max(o.whole_restart_ms_max);
        self.out_at_once = self.out_at_once.max(o.out_at_once);
        self.calls += o.calls;
        self.served += o.served;
        for (name, first) in o.first {
            self.first.entry(name).or_insert(first);
        }
    }
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
    /// Draws the faults.
    pub seed: u64,
    /// How many.
    pub trials: u64,
    /// How many at once.
    pub at_once: usize,
}

/// The report.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Draws the faults.
    pub seed: u64,
    /// Trials played.
    pub trials: u64,
    /// What was found in the sound ones.
    #[serde(flatten)]
    pub findings: Findings,
    /// The same orders with fronts left to themselves, each restarted at its own time by hash: most out at once.
    pub out_at_once_baseline: u64,
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

/// Mutants that the trials have to catch.
pub const MUTANTS: [&str; 4] =
    ["limit-forgotten", "zone-limit-forgotten", "halt-ignored", "unplanned-not-counted"];

fn post(at: SocketAddr, target: &str, body: &Value) -> Option<u16> {
    let text = body.to_string();
    let talk = async {
        let mut stream = Async::<std::net::TcpStream>::connect(at).await.ok()?;
        let head = format!("POST {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", text.len());
        stream.write_all((head + &text).as_bytes()).await.ok()?;
        http::read_message(&mut stream, &mut Vec::new()).await.ok()??.word(1).parse().ok()
    };
    let over = async {
        Timer::after(Duration::from_millis(300)).await;
        None
    };
    async_io::block_on(future::or(talk, over))
}

fn agreed(at: SocketAddr) -> Option<Value> {
    let (status, body) = ask(at, "/fleet/agreed", Duration::from_millis(150))?;
    (status == 200).then(|| serde_json::from_slice(&body).ok()).flatten()
}

/// Gives an order to one planner after another until it stands among the outcomes at any; false if it never does.
fn order(planners: &[SocketAddr], first: usize, mut body: Value, ticket: u64, within: Duration) -> bool {
    body["ticket"] = ticket.into();
    body["by"] = "desk".into();
    let begun = Instant::now();
    let mut n = first;
    while begun.elapsed() < within {
        let at = planners[n % planners.len()];
        n += 1;
        if post(at, "/fleet/order", &body) != Some(200) {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        }
        let asked = Instant::now();
        while asked.elapsed() < Duration::from_millis(800) {
            let has = |v: Value| {
                v["state"]["outcomes"].as_array().is_some_and(|o| o.iter().any(|x| x[0] == ticket))
            };
            if planners.iter().filter_map(|p| agreed(*p)).any(has) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    false
}

/// Plays one trial and checks it.
pub fn play(program: &Path, dir: &Path, seed: u64, mutant: Option<&str>) -> io::Result<Findings> {
    let mut envs = vec![("RUST_LOG".to_owned(), "info".to_owned())];
    envs.extend(mutant.map(|m| ("YARROWSPOKE_MUTANT".to_owned(), m.to_owned())));
    let options = Options {
        program: program.to_owned(),
        dir: dir.to_owned(),
        fronts: FRONTS,
        planners: 3,
        machines: 6,
        zones: ZONES,
        rate: 15.0,
        seed,
        fleet: FLEET.to_owned(),
        envs,
    };
    let world = World::new(options.machines, options.zones);
    let mut site = Site::start(options, std::sync::Arc::clone(&world))?;
    site.come_up()?;
    site.drive();
    let fronts: Vec<SocketAddr> = site.fronts.iter().map(|f| f.listen).collect();
    let planners: Vec<SocketAddr> = site.planners.iter().map(|p| p.listen).collect();
    std::thread::sleep(Duration::from_secs(3));
    let mut draws = Pcg64Mcg::seed_from_u64(seed);
    let mut found = Findings::default();
    let (looks, over) = (Mutex::new(Vec::new()), std::sync::atomic::AtomicBool::new(false));
    let begun = Instant::now();
    // What the desk or a fault did to a front by force: which, from, to, and whether by itself.
    let mut downs: Vec<(usize, u64, u64, bool)> = Vec::new();
    let (mut halt, mut done_at) = (None::<(u64, u64, u64)>, None);
    let done: io::Result<()> = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                let at = world.now();
                let one = |a: &SocketAddr| ask(*a, "/up", Duration::from_millis(120)).map(|r| r.0);
                let (up, agreed) = std::thread::scope(|s| {
                    let ups: Vec<_> = fronts.iter().map(|a| s.spawn(move || one(a))).collect();
                    let all: Vec<_> = planners.iter().map(|a| s.spawn(move || agreed(*a))).collect();
                    let up: Vec<_> = ups.into_iter().map(|u| u.join().ok().flatten()).collect();
                    (up, all.into_iter().map(|a| a.join().ok().flatten()).collect())
                });
                looks.lock().unwrap_or_else(|e| e.into_inner()).push(Look { at, up, agreed });
                std::thread::sleep(Duration::from_millis(30));
            }
        });
        let mut work = || -> io::Result<()> {
            let mut events: Vec<(u64, Event)> = Vec::new();
            let mut put = |at: u64, span: u64, kind: Kind, who: usize| {
                events.push((at, Event::Begin(kind, who)));
                events.push((at + span, Event::End(kind, who)));
            };
            let who = draws.gen_range(0..3);
            put(draws.gen_range(500..3_000), draws.gen_range(800..2_500), Kind::KillPlanner, who);
            let kind = [Kind::SplitPlanner, Kind::StopPlanner, Kind::SlowPlanner][draws.gen_range(0..3)];
            put(draws.gen_range(6_500..8_000), draws.gen_range(1_500..3_500), kind, (who + 1) % 3);
            put(
                draws.gen_range(11_000..12_500),
                draws.gen_range(1_000..2_500),
                Kind::KillPlanner,
                (who + 2) % 3,
            );
            // One has died by itself, is known as lost before the first order comes, and stays down while others wait.
            let lost = draws.gen_range(0..FRONTS);
            let mut dead = BTreeMap::from([(lost, world.now())]);
            site.fronts[lost].process.kill();
            std::thread::sleep(Duration::from_micros(LOSS_KNOWN));
            events.push((draws.gen_range(9_000..10_000), Event::End(Kind::Kill, lost)));
            let halt_at = draws.gen_range(10_000..11_000);
            events.push((halt_at, Event::Halt));
            events.push((halt_at + 4_000, Event::Resume));
            events.sort_by_key(|e| e.0);
            let mut events = std::collections::VecDeque::from(events);
            let mut ticket = seed * 1_000 + 1;
            // Two of one zone first: the limit of a zone binds before the limit of all.
            for front in [0, 3, 1, 2, 4, 5] {
                let body = json!({"what": "out", "front": format!("f{front}"), "why": "restart"});
                let first = draws.gen_range(0..3);
                ticket += 1;
                // One that is not heard can't be ordered out: it is asked for again below.
                order(&planners, first, body, ticket, Duration::from_millis(1_500));
            }
            let (mut restarted, mut down) = (BTreeSet::new(), BTreeMap::<usize, Instant>::new());
            let mut asked_again = Instant::now();
            while begun.elapsed() < WITHIN {
                while events.front().is_some_and(|e| begun.elapsed() >= Duration::from_millis(e.0)) {
                    let Some((_, event)) = events.pop_front() else { break };
                    match event {
                        Event::End(Kind::Kill, who) => {
                            if let Some(from) = dead.remove(&who) {
                                site.fronts[who].process.start()?;
                                downs.push((who, from, world.now() + 1_500_000, true));
                            }
                        }
                        Event::Begin(kind, who) => super::audit::put_on(&mut site, kind, who, true)?,
                        Event::End(kind, who) => super::audit::put_on(&mut site, kind, who, false)?,
                        Event::Halt => {
                            ticket += 1;
                            let asked = world.now();
                            let body = json!({"what": "halt", "why": "a look"});
                            if order(&planners, 0, body, ticket, Duration::from_secs(5)) {
                                halt = Some((asked, world.now(), u64::MAX));
                            }
                        }
                        Event::Resume => {
                            ticket += 1;
                            if let Some(h) = &mut halt {
                                h.2 = world.now();
                            }
                            order(&planners, 1, json!({"what": "resume"}), ticket, Duration::from_secs(5));
                        }
                    }
                }
                let newest = planners.iter().filter_map(|p| agreed(*p)).max_by_key(|v| v["applied"].as_u64());
                let state = newest.map(|v| v["state"].clone()).unwrap_or_default();
                for front in 0..FRONTS {
                    let permit = &state["permits"][format!("f{front}")];
                    let out = permit["phase"] == "Taken"
                        && !down.contains_key(&front)
                        && !restarted.contains(&front);
                    let refuses =
                        || ask(fronts[front], "/up", Duration::from_millis(120)).map(|r| r.0) == Some(503);
                    if out && !dead.contains_key(&front) && refuses() {
                        std::thread::sleep(Duration::from_millis(150));
                        downs.push((front, world.now(), world.now() + 2_500_000, false));
                        site.fronts[front].process.kill();
                        down.insert(front, Instant::now());
                    }
                    if down.get(&front).is_some_and(|at| at.elapsed() > DOWN) {
                        site.fronts[front].process.start()?;
                        down.remove(&front);
                        restarted.insert(front);
                    }
                }
                if asked_again.elapsed() > Duration::from_secs(2) {
                    asked_again = Instant::now();
                    for front in (0..FRONTS).filter(|f| !restarted.contains(f) && !down.contains_key(f)) {
                        let name = format!("f{front}");
                        let waits = state["waits"]
                            .as_array()
                            .is_some_and(|w| w.iter().any(|x| x[0] == name.as_str()));
                        if state["permits"][&name].is_null() && !waits {
                            ticket += 1;
                            let body = json!({"what": "out", "front": name, "why": "restart"});
                            order(&planners, front, body, ticket, Duration::from_millis(300));
                        }
                    }
                }
                let idle = state["permits"].as_object().is_some_and(|p| p.is_empty());
                if restarted.len() == FRONTS && idle && events.is_empty() {
                    done_at = Some(begun.elapsed());
                    found.grants = state["last"].as_u64().unwrap_or(0);
                    break;
                }
                std::thread::sleep(Duration::from_millis(30));
            }
            found.restarts = restarted.len() as u64;
            site.rest();
            std::thread::sleep(Duration::from_millis(3_500));
            Ok(())
        };
        let done = work();
        over.store(true, Ordering::Relaxed);
        done
    });
    done?;
    match done_at {
        Some(took) => found.whole_restart_ms_max = took.as_millis() as u64,
        None => {
            let last = planners.iter().filter_map(|p| agreed(*p)).map(|v| v["state"].to_string()).next();
            found.wrong("stuck_after_faults", format!("seed {seed}: {} restarted, {last:?}", found.restarts));
        }
    }
    for ended in site.ended() {
        found.wrong("crashed", ended);
    }
    let looks = looks.into_inner().unwrap_or_else(|e| e.into_inner());
    limits(&looks, &downs, halt, &mut found);
    calls(&site.load.calls(), &world, &downs, &mut found);
    Ok(found)
}

enum Event {
    Begin(Kind, usize),
    End(Kind, usize),
    Halt,
    Resume,
}

/// Who went out when, by `GET /up` alone.
fn limits(
    looks: &[Look],
    downs: &[(usize, u64, u64, bool)],
    halt: Option<(u64, u64, u64)>,
    found: &mut Findings,
) {
    if let Some((asked, acknowledged, _)) = halt {
        found.halt_ms_max = (acknowledged - asked) / 1_000;
    }
    let mut since: Vec<Option<u64>> = vec![None; FRONTS];
    let mut used: BTreeMap<usize, u64> = BTreeMap::new();
    for pair in looks.windows(2) {
        let (before, look) = (&pair[0], &pair[1]);
        for front in 0..FRONTS {
            if look.up[front] == Some(200) {
                since[front] = None;
                continue;
            }
            if since[front].is_none() {
                since[front] = Some(look.at);
            }
            let forced = downs.iter().any(|d| d.0 == front && look.at + 300_000 >= d.1 && look.at <= d.2);
            if before.up[front] != Some(200)
                || look.up[front] != Some(503)
                || forced
                    && downs.iter().any(|d| d.0 == front && d.3 && look.at + 300_000 >= d.1 && look.at <= d.2)
            {
                continue;
            }
            // It went out by itself, as one with a permit does.
            let others = |g: &usize| {
                let lost =
                    downs.iter().any(|d| d.0 == *g && d.3 && d.1 + LOSS_KNOWN > look.at && look.at >= d.1);
                *g != front && since[*g].is_some() && !lost
            };
            let out: Vec<usize> = (0..FRONTS).filter(others).collect();
            let of_zone = out.iter().filter(|g| zone(**g, ZONES) == zone(front, ZONES)).count();
            if out.len() >= MOST_OUT.0 || of_zone >= MOST_OUT.1 {
                found.wrong(
                    "fronts_over_limit",
                    format!("f{front} went out at {} us, out already: {out:?}", look.at),
                );
            }
            let last = used.get(&front).copied().unwrap_or(0);
            let taken =
                looks.iter().filter(|l| l.at <= look.at + 1_500_000).flat_map(|l| l.agreed.iter().flatten());
            let numbers = taken.filter_map(|v| {
                let p = &v["state"]["permits"][format!("f{front}")];
                (p["phase"] == "Taken").then(|| p["number"].as_u64()).flatten()
            });
            match numbers.filter(|n| *n > last).max() {
                Some(n) => drop(used.insert(front, n)),
                None => found.wrong("acted_without_permit", format!("f{front} at {} us", look.at)),
            }
            if halt.is_some_and(|h| (h.1 + HALTED_WITHIN..h.2).contains(&look.at)) {
                found.wrong(
                    "granted_under_halt",
                    format!("f{front} went out at {} us, halt {halt:?}", look.at),
                );
            }
        }
        let out = since.iter().flatten().count() as u64;
        found.out_at_once = found.out_at_once.max(out);
    }
}

fn calls(calls: &[Call], world: &World, downs: &[(usize, u64, u64, bool)], found: &mut Findings) {
    let mut arrivals: BTreeMap<String, u32> = BTreeMap::new();
    for (_, s) in world.log() {
        if let super::world::Seen::Attempt { id, safe: false, .. } = s {
            *arrivals.entry(id).or_default() += 1;
        }
    }
    for (id, n) in arrivals.iter().filter(|a| *a.1 > 1) {
        found.wrong("requests_doubled", format!("{id} reached machines {n} times"));
    }
    for call in calls {
        found.calls += 1;
        let Some(sent) = call.sent else { continue };
        let due = sent + call.budget + 500_000;
        // A front that its desk restarts has finished what it took; one that dies by itself loses what it held.
        let died = downs
            .iter()
            .any(|d| d.0 == call.front && d.1 < due && sent < d.2 && (d.3 || sent + 200_000 > d.1));
        match call.answer {
            Some((_, 200, true)) => found.served += 1,
            Some((at, status, _)) if at <= due && status != 200 => {}
            _ if died => {}
            _ => found.wrong("requests_lost", format!("{} at f{}: {:?}", call.id, call.front, call.answer)),
        }
    }
}

/// Fronts left to themselves, each restarted at its own hash-ordered turn of a common span: most that are down at once, in as
/// many draws. Simulated: only the times are drawn, nothing is started.
fn baseline(seed: u64, trials: u64) -> u64 {
    let mut draws = Pcg64Mcg::seed_from_u64(seed);
    let one = |draws: &mut Pcg64Mcg| {
        let times: Vec<f64> = (0..FRONTS).map(|_| draws.gen_range(0.0..15.0)).collect();
        // Down, and until it is sound again, about as long as a permit is held here.
        times.iter().map(|t| times.iter().filter(|u| (**u..**u + 2.5).contains(t)).count() as u64).max()
    };
    // The one that died by itself comes on top: nobody waits for it.
    (0..trials.max(100)).filter_map(|_| one(&mut draws)).max().unwrap_or(0) + 1
}

/// Plays all trials and mutants.
pub fn run(trials: &Trials, done: impl Fn() + Sync) -> io::Result<Report> {
    let mutants: Vec<&str> = if trials.mutants.is_some() { MUTANTS.to_vec() } else { vec![] };
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
                    played = play(program, &dir, seed, *mutant);
                    if played.as_ref().map_or(true, |f| !f.wrongs().is_empty()) {
                        break;
                    }
                }
                results.lock().unwrap_or_else(|e| e.into_inner()).push((*mutant, played));
                done();
            });
        }
    });
    let mut report = Report { seed: trials.seed, trials: trials.trials, ..Report::default() };
    report.out_at_once_baseline = baseline(trials.seed, trials.trials);
    for (mutant, played) in results.into_inner().unwrap_or_else(|e| e.into_inner()) {
        let findings = played?;
        match mutant {
            None => report.findings.add(findings),
            Some(name) => {
                report.mutants += 1;
                let wrongs = findings.wrongs();
                report.mutants_caught += usize::from(!wrongs.is_empty());
                let by = if wrongs.is_empty() { "NOT CAUGHT".to_owned() } else { wrongs.join(", ") };
                report.mutants_by.insert(name.to_owned(), by);
            }
        }
    }
    Ok(report)
}

/// The report as a table.
pub fn table(report: &Report) -> String {
    let f = &report.findings;
    let mut text = format!(
        "{} trials from seed {}: {} restarts on {} permits, {} of {} calls served\n\
         over limit {}, without permit {}, under halt {}, stuck {}, lost {}, doubled {}, crashed {}\n\
         halt acknowledged within {} ms, whole restart within {} ms; most out at once {}, left to themselves {} (simulated)\n",
        report.trials,
        report.seed,
        f.restarts,
        f.grants,
        f.served,
        f.calls,
        f.fronts_over_limit,
        f.acted_without_permit,
        f.granted_under_halt,
        f.stuck_after_faults,
        f.requests_lost,
        f.requests_doubled,
        f.crashed,
        f.halt_ms_max,
        f.whole_restart_ms_max,
        f.out_at_once,
        report.out_at_once_baseline,
    );
    for (name, first) in &f.first {
        let _ = writeln!(text, "  first {name}: {first}");
    }
    let _ = writeln!(text, "mutants caught: {} of {}", report.mutants_caught, report.mutants);
    for (name, by) in &report.mutants_by {
        let _ = writeln!(text, "  {name}: {by}");
    }
    text
}
