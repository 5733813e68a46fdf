//! The experiment `store`: cut, flipped, torn, swapped and interrupted stores, and a front with its clients on top that
//! notes what ran and what was answered.

pub mod disk;

use disk::{Faults, SimDisk};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::{Duration, Instant};
use yarrowspoke_store::disk::Dir;
use yarrowspoke_store::ledger::{Decision, Outcome, State};
use yarrowspoke_store::store::{served_state, Op, OpResult, Store};
use yarrowspoke_store::writer;

/// Most bytes of all records in the trials.
const MOST: u64 = 4_000_000;
/// Files smaller than this are cut and flipped at every byte, whatever the step.
const SMALL: usize = 4_096;
/// The id of the store in the trials.
const ID: u128 = 0x5eed;
const S: u64 = 1_000_000;
/// How long an ended request is kept.
const KEEP: u64 = 600 * S;

/// What the experiment showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Bytes of the ledger that was cut and flipped.
    pub ledger_bytes: u64,
    /// Offsets at which a file was cut.
    pub cuts: u64,
    /// Cut stores that opened.
    pub recovered: u64,
    /// Cut stores that were refused.
    pub refused_plainly: u64,
    /// Offsets at which a byte was flipped.
    pub flips: u64,
    /// Flipped stores that opened, with all that was promised.
    pub flips_recovered: u64,
    /// Crashes in the middle of work, of a compaction or of a recovery.
    pub crashes: u64,
    /// Restarts refused after a crash: a crash alone must never lead to one.
    pub crashes_refused: u64,
    /// Syncs that failed and then claimed success, and disks that were full.
    pub disk_faults: u64,
    /// Panics that escaped.
    pub panicked: u64,
    /// Requests that would have run twice.
    pub ran_twice: u64,
    /// Requests answered a second time with another answer.
    pub answered_twice: u64,
    /// Records promised durable that were gone or changed.
    pub lost_promised: u64,
    /// Longest opening.
    pub worst_recovery_ms: f64,
    /// Throughput in groups over one sync for each operation, same run, on a directory of the system.
    pub group_commit_ratio: f64,
    /// Operations a second in groups, for the record.
    pub grouped_per_s: f64,
    /// Ten thousand unsafe requests a second on slow disks, for the record.
    pub slow: Vec<Slow>,
    /// Largest file after the first day of a month, and over the whole month, in bytes.
    pub month_bytes: (u64, u64),
    /// What went wrong, the first few.
    pub failures: Vec<String>,
}

impl Report {
    /// What it checks.
    pub fn held(&self) -> bool {
        self.panicked + self.ran_twice + self.answered_twice + self.lost_promised + self.crashes_refused == 0
            && self.cuts == self.recovered + self.refused_plainly
    }

    fn join(mut self, o: Self) -> Self {
        self.cuts += o.cuts;
        self.recovered += o.recovered;
        self.refused_plainly += o.refused_plainly;
        self.flips += o.flips;
        self.flips_recovered += o.flips_recovered;
        self.crashes += o.crashes;
        self.crashes_refused += o.crashes_refused;
        self.disk_faults += o.disk_faults;
        self.panicked += o.panicked;
        self.ran_twice += o.ran_twice;
        self.answered_twice += o.answered_twice;
        self.lost_promised += o.lost_promised;
        self.worst_recovery_ms = self.worst_recovery_ms.max(o.worst_recovery_ms);
        self.slow.extend(o.slow);
        self.failures.extend(o.failures);
        self.failures.truncate(20);
        self
    }
}

/// What a front's outside has seen of one request.
#[derive(Clone, Debug, Default, PartialEq)]
struct Seen {
    /// It went to a machine.
    ran: bool,
    /// The end that was last handed in, whether or not it was promised.
    given: Option<State>,
    /// The last state that was promised durable.
    promised: Option<State>,
    /// A final answer was told.
    told: Option<State>,
}

/// A front in small over a store: requests come, go to machines, end, and come again.
#[derive(Debug)]
pub struct Play {
    rng: Pcg64Mcg,
    /// The time.
    pub now: u64,
    seen: BTreeMap<u128, Seen>,
    open: Vec<u128>,
    next: u128,
}

impl Play {
    /// Nothing has happened yet.
    pub fn new(seed: u64) -> Self {
        Self { rng: Pcg64Mcg::seed_from_u64(seed), now: S, seen: BTreeMap::new(), open: Vec::new(), next: 1 }
    }

    /// One group of operations; what they come to is acted on only if the commit went well.
    pub fn group(&mut self, store: &mut Store, report: &mut Report) -> bool {
        self.now += self.rng.gen_range(0..S / 4);
        let mut ops = Vec::new();
        let mut ends: BTreeMap<u128, State> = BTreeMap::new();
        for _ in 0..self.rng.gen_range(1..8) {
            if !self.open.is_empty() && self.rng.gen_bool(0.5) {
                let at = self.rng.gen_range(0..self.open.len());
                let id = self.open.swap_remove(at);
                let ran = self.seen.get(&id).is_some_and(|s| s.ran);
                let state = match self.rng.gen_range(0..4) {
                    0 => served_state(&vec![7; self.rng.gen_range(0..400)], 200),
                    1 => served_state(b"ok", 200),
                    2 if !ran => State::NotRun,
                    _ => State::Done(Outcome::Failed),
                };
                self.seen.entry(id).or_default().given = Some(state.clone());
                ends.insert(id, state.clone());
                ops.push(Op::End { id, state, retention: KEEP });
            } else {
                // A new request, or one that comes again.
                let again = self.seen.keys().filter(|id| !self.open.contains(id) && !ends.contains_key(*id));
                let again: Vec<u128> = again.copied().collect();
                let id = if !again.is_empty() && self.rng.gen_bool(0.3) {
                    again[self.rng.gen_range(0..again.len())]
                } else {
                    self.next += 1;
                    self.next
                };
                if !ops.iter().any(|o| matches!(o, Op::Begin { id: other, .. } if *other == id)) {
                    ops.push(Op::Begin { id, content: 0, retention: KEEP });
                }
            }
        }
        let done = match catch_unwind(AssertUnwindSafe(|| store.commit(&ops, self.now))) {
            Ok(Ok(done)) => done,
            Ok(Err(_)) => return false,
            Err(_) => {
                report.panicked += 1;
                return false;
            }
        };
        for (op, done) in ops.iter().zip(done) {
            match (op, done) {
                (Op::Begin { id, .. }, OpResult::Decided(ruling)) => self.ruled(*id, &ruling, report),
                (Op::End { id, .. }, _) => {
                    let state = ends.remove(id);
                    let seen = self.seen.entry(*id).or_default();
                    (seen.promised, seen.told) = (state.clone(), state);
                }
                _ => {}
            }
        }
        true
    }

    /// Acts on a ruling as the front would, and holds it against what was seen.
    fn ruled(&mut self, id: u128, ruling: &Decision, report: &mut Report) {
        let open = self.open.contains(&id);
        let seen = self.seen.entry(id).or_default();
        let mut wrong = |what: &mut u64, text: &str| {
            *what += 1;
            report.failures.push(format!("request {id}: {text}: {ruling:?} after {seen:?}"));
        };
        match (ruling, &seen.promised) {
            (Decision::Admit, None | Some(State::NotRun)) if !seen.ran => {}
            (Decision::Admit, Some(State::NotRun)) => {}
            // Its end reached the disk, though the front died before it could promise so.
            (Decision::Admit, _) if seen.given == Some(State::NotRun) && !seen.ran => {}
            (Decision::Admit, _) if seen.ran => wrong(&mut report.ran_twice, "it runs twice"),
            (Decision::Admit, _) => wrong(&mut report.lost_promised, "its promise is gone"),
            (Decision::InDoubt, Some(State::Intended)) => {}
            (Decision::InProgress, Some(State::Intended)) if open => {}
            (Decision::Replay(a), Some(State::Done(Outcome::Served(Some(b))))) if a == b => {}
            (Decision::AlreadyDone, Some(State::Done(Outcome::Served(None)))) => {}
            (Decision::FailedBefore, Some(State::Done(Outcome::Failed))) => {}
            (Decision::NoSpace(_), _) => {}
            // What was never promised may have reached the disk all the same; nobody was told anything of it.
            (_, promised) if seen.told.is_none() && *promised != Some(State::NotRun) => {}
            (_, Some(State::NotRun)) => {}
            _ => wrong(&mut report.answered_twice, "another answer"),
        }
        if *ruling == Decision::Admit {
            // Durable, so it may go. Now and then it ends before its first byte is written.
            seen.ran = self.rng.gen_bool(0.8);
            (seen.promised, seen.told, seen.given) = (Some(State::Intended), None, None);
            self.open.push(id);
        }
    }

    /// The front has died: nothing is open any more, and every client asks again.
    pub fn restarted(&mut self, store: &mut Store, report: &mut Report) {
        self.open.clear();
        let all: Vec<u128> = self.seen.keys().copied().collect();
        for ids in all.chunks(64) {
            self.now += S / 100;
            let ops: Vec<Op> =
                ids.iter().map(|id| Op::Begin { id: *id, content: 0, retention: KEEP }).collect();
            let Ok(done) = store.commit(&ops, self.now) else {
                report.failures.push("a store just opened fails".to_owned());
                report.crashes_refused += 1;
                return;
            };
            for (id, done) in ids.iter().zip(done) {
                if let OpResult::Decided(ruling) = done {
                    self.ruled(*id, &ruling, report);
                }
            }
        }
    }
}

/// Opens a store; `None` if it was refused. Panics and the time are counted.
fn open(disk: &SimDisk, now: u64, report: &mut Report) -> Option<Store> {
    let begun = Instant::now();
    let opened = catch_unwind(AssertUnwindSafe(|| Store::open(disk, ID, MOST, now)));
    report.worst_recovery_ms = report.worst_recovery_ms.max(begun.elapsed().as_secs_f64() * 1e3);
    match opened {
        Ok(Ok((store, _))) => Some(store),
        Ok(Err(_)) => None,
        Err(_) => {
            report.panicked += 1;
            report.failures.push("a panic while opening".to_owned());
            None
        }
    }
}

/// A store after so many groups, with compactions and a restart in it, and what was seen of it.
pub fn worked(seed: u64, groups: usize, report: &mut Report) -> (BTreeMap<String, Vec<u8>>, Play) {
    let disk = SimDisk::default();
    let mut play = Play::new(seed);
    for part in 0..2 {
        let Some(mut store) = open(&disk, play.now, report) else { break };
        if part > 0 {
            play.restarted(&mut store, report);
        }
        for n in 0..groups / 2 {
            play.group(&mut store, report);
            if n % 40 == 39 {
                let _ = store.compact();
            }
        }
    }
    (disk.files(), play)
}

/// Tries one damaged copy: it opens with all that was promised, or is refused.
fn damaged(files: &BTreeMap<String, Vec<u8>>, play: &Play, report: &mut Report) -> bool {
    let disk = SimDisk::holding(files);
    let Some(mut store) = open(&disk, play.now, report) else { return false };
    let mut copy = Play {
        rng: Pcg64Mcg::seed_from_u64(1),
        now: play.now,
        seen: play.seen.clone(),
        open: Vec::new(),
        next: play.next,
    };
    copy.restarted(&mut store, report);
    true
}

/// Cuts each file at every `step`-th byte, and flips a byte there.
pub fn damage(seed: u64, groups: usize, step: usize, done: impl Fn() + Sync) -> Report {
    let mut report = Report { seed, ..Report::default() };
    let (files, play) = worked(seed, groups, &mut report);
    report.ledger_bytes = files.get("ledger").map_or(0, |l| l.len() as u64);
    let places: Vec<(&String, usize)> = files
        .iter()
        .flat_map(|(name, bytes)| {
            (0..bytes.len()).step_by(if bytes.len() < SMALL { 1 } else { step }).map(move |at| (name, at))
        })
        .collect();
    let tried = places.par_iter().map(|(name, at)| {
        let mut r = Report::default();
        let mut cut = files.clone();
        cut.entry((*name).clone()).and_modify(|b| b.truncate(*at));
        r.cuts += 1;
        if damaged(&cut, &play, &mut r) {
            r.recovered += 1;
        } else {
            r.refused_plainly += 1;
        }
        let mut flipped = files.clone();
        flipped.entry((*name).clone()).and_modify(|b| b[*at] ^= 1 << (at % 8));
        r.flips += 1;
        r.flips_recovered += u64::from(damaged(&flipped, &play, &mut r));
        done();
        r
    });
    let tried = tried.reduce(Report::default, Report::join);
    report.join(tried)
}

/// One trial: work, a crash at a drawn step, a restart that may crash too, and everybody asks again.
pub fn crash(seed: u64) -> Report {
    let mut report = Report::default();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut play = Play::new(seed ^ 1);
    let mut files = BTreeMap::new();
    for _ in 0..rng.gen_range(1..5) {
        let disk = SimDisk::holding(&files);
        let crash_at = Some(rng.gen_range(1..600));
        disk.fail(Faults { crash_at, ..Faults::default() });
        report.crashes += 1;
        if let Some(mut store) = open(&disk, play.now, &mut report) {
            play.restarted_quietly(&mut store, &mut report, &disk);
            for n in 0..60 {
                if disk.is_dead() || !play.group(&mut store, &mut report) {
                    break;
                }
                if n % 20 == 19 {
                    // A compaction that dies in its middle is the hardest case.
                    let _ = catch_unwind(AssertUnwindSafe(|| store.compact()));
                }
            }
        }
        files = disk.after_crash(&mut rng);
        // What reached the disk without a promise counts for nobody; a clock that stands back at the restart.
        if rng.gen_bool(0.3) {
            play.now = play.now.saturating_sub(3_600 * S).max(S);
        }
    }
    come_back(&files, &mut play, &format!("seed {seed}: after crashes alone"), &mut report);
    report
}

/// A restart on what a trial has left, which must open; then everybody asks again.
fn come_back(files: &BTreeMap<String, Vec<u8>>, play: &mut Play, after: &str, report: &mut Report) {
    match open(&SimDisk::holding(files), play.now, report) {
        Some(mut store) => play.restarted(&mut store, report),
        None => {
            report.crashes_refused += 1;
            let why = Store::open(&SimDisk::holding(files), ID, MOST, play.now).err();
            report.failures.push(format!("{after}: refused: {why:?}"));
        }
    }
}

impl Play {
    /// The same as [`Play::restarted`] on a disk that may die meanwhile.
    fn restarted_quietly(&mut self, store: &mut Store, report: &mut Report, disk: &SimDisk) {
        let mut own = Report::default();
        self.restarted(store, &mut own);
        if disk.is_dead() {
            own.crashes_refused = 0;
            own.failures.retain(|f| !f.contains("just opened"));
        }
        let sum = std::mem::take(report).join(own);
        *report = sum;
    }
}

/// One trial of a disk that fails without the program dying: a failed sync, or no room.
pub fn disk_fault(seed: u64) -> Report {
    let mut report = Report { disk_faults: 1, ..Report::default() };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut play = Play::new(seed ^ 2);
    let disk = SimDisk::default();
    let Some(mut store) = open(&disk, play.now, &mut report) else { return report };
    for _ in 0..rng.gen_range(1..10) {
        play.group(&mut store, &mut report);
    }
    let held: u64 = disk.files().values().map(|f| f.len() as u64).sum();
    let faults = if rng.gen_bool(0.5) {
        Faults { failed_sync_at: Some(rng.gen_range(1..60)), ..Faults::default() }
    } else {
        Faults { room: Some(held + rng.gen_range(0..20_000)), ..Faults::default() }
    };
    disk.fail(faults);
    let mut failed = false;
    for _ in 0..200 {
        let well = play.group(&mut store, &mut report);
        if failed && well {
            report.failures.push(format!("seed {seed}: a commit after a failed one"));
            report.lost_promised += 1;
        }
        failed |= !well;
    }
    drop(store);
    disk.fail(Faults::default());
    // What a power cut then leaves, and a restart on a disk that is well again.
    let files = disk.after_crash(&mut rng);
    come_back(&files, &mut play, &format!("seed {seed}: after {faults:?}"), &mut report);
    report
}

/// Throughput of groups over one sync for each operation on a directory of the system, and the former a second.
pub fn group_commit(dir: &std::path::Path, ops: usize) -> std::io::Result<(f64, f64)> {
    let failed = |e: yarrowspoke_store::store::StoreError| std::io::Error::other(e.to_string());
    let begin = |n: usize| Op::Begin { id: n as u128, content: 0, retention: KEEP };
    let single_ops = (ops / 20).max(1);
    let single = {
        let (mut store, _) = Store::open(&Dir::open(dir)?, ID, 1 << 40, S).map_err(failed)?;
        let begun = Instant::now();
        for n in 0..single_ops {
            store.commit(&[begin(n)], S).map_err(failed)?;
        }
        single_ops as f64 / begun.elapsed().as_secs_f64()
    };
    let disk = Dir::open(dir)?;
    let (store, _) = Store::open(&disk, ID, 1 << 40, S).map_err(failed)?;
    let (hand, thread) = writer::start(store, disk, Duration::ZERO)?;
    let begun = Instant::now();
    let mut pending = std::collections::VecDeque::new();
    for n in 0..ops {
        // As many wait as requests would.
        if pending.len() >= 512 {
            if let Some(first) = pending.pop_front() {
                let _ = writer::Pending::wait(first);
            }
        }
        match hand.submit(begin(1_000_000 + n)) {
            Ok(job) => pending.push_back(job),
            Err(e) => return Err(std::io::Error::other(format!("{e:?}"))),
        }
    }
    pending.into_iter().for_each(|p| drop(p.wait()));
    let grouped = ops as f64 / begun.elapsed().as_secs_f64();
    drop(hand);
    let _ = thread.join();
    Ok((grouped / single, grouped))
}

/// A slow disk under many requests.
#[derive(Clone, Debug, Serialize)]
pub struct Slow {
    /// Each sync takes so long; a group has two.
    pub sync_ms: u64,
    /// Requests that came, at an even rate.
    pub offered: usize,
    /// Those turned away as too much waited.
    pub crowded: usize,
    /// Median time until an intent was durable, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Offers `per_s` intents a second for `seconds` to a disk whose syncs take `sync_ms`; arrivals do not wait for answers.
pub fn slow_disk(sync_ms: u64, per_s: usize, seconds: usize) -> std::io::Result<Slow> {
    let failed = |e: yarrowspoke_store::store::StoreError| std::io::Error::other(e.to_string());
    let disk = SimDisk::default();
    let (store, _) = Store::open(&disk, ID, 1 << 40, S).map_err(failed)?;
    disk.slow_down(Duration::from_millis(sync_ms));
    let (hand, thread) = writer::start(store, disk, Duration::ZERO)?;
    let (given, waiting) = std::sync::mpsc::channel::<(Instant, writer::Pending)>();
    let heard = std::thread::spawn(move || {
        let mut took: Vec<f64> = Vec::new();
        // Answers come in the order of their groups, so that waiting in turn hides none.
        for (at, pending) in waiting {
            if pending.wait().is_ok() {
                took.push(at.elapsed().as_secs_f64() * 1e3);
            }
        }
        took.sort_by(f64::total_cmp);
        took
    });
    let (offered, begun) = (per_s * seconds, Instant::now());
    let mut crowded = 0;
    for n in 0..offered {
        // Timed by when it should have come: a late generator must not look like a quick disk.
        let due = begun + Duration::from_secs_f64(n as f64 / per_s as f64);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        match hand.submit(Op::Begin { id: n as u128, content: 0, retention: KEEP }) {
            Ok(pending) => drop(given.send((due, pending))),
            Err(_) => crowded += 1,
        }
    }
    drop((given, hand));
    let took = heard.join().unwrap_or_default();
    let _ = thread.join();
    let at = |p: f64| took.get(((took.len() as f64 * p) as usize).min(took.len().saturating_sub(1)));
    let (p50_ms, p99_ms) = (at(0.5).copied().unwrap_or(0.0), at(0.99).copied().unwrap_or(0.0));
    Ok(Slow { sync_ms, offered, crowded, p50_ms, p99_ms })
}

/// Plays so many days of requests, one group a minute, each request kept for ten; the largest the ledger's file was after
/// the first day and over all, in bytes.
pub fn days(days: u64) -> Result<(u64, u64), String> {
    let disk = SimDisk::default();
    let said = |e: yarrowspoke_store::store::StoreError| e.to_string();
    let (mut store, _) = Store::open(&disk, ID, MOST, S).map_err(said)?;
    let (mut first, mut most) = (0, 0);
    for minute in 0..days * 24 * 60 {
        let now = S + minute * 60 * S;
        let id = |n: u64| u128::from(minute * 100 + n);
        let mut ops: Vec<Op> =
            (0..30).map(|n| Op::Begin { id: id(n), content: 0, retention: KEEP }).collect();
        ops.extend((0..30).map(|n| Op::End {
            id: id(n),
            state: served_state(&[1; 100], 200),
            retention: KEEP,
        }));
        store.commit(&ops, now).map_err(said)?;
        most = most.max(store.file_bytes().map_err(|e| e.to_string())?);
        if minute == 24 * 60 - 1 {
            first = most;
        }
    }
    Ok((first, most))
}

/// How the experiment is run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// Crashes, and as many disk faults.
    pub trials: u64,
    /// Every so many bytes a file is cut and flipped; 1 is every byte.
    pub step: usize,
    /// Groups of work in the store that is cut.
    pub groups: usize,
}

/// Runs the experiment; `done` is told of each trial.
pub fn run(o: Options, done: impl Fn() + Sync) -> Report {
    let mut report = damage(o.seed, o.groups, o.step, &done);
    let mixed = |n: u64| o.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(n);
    let crashes = (0..o.trials).into_par_iter().map(|n| {
        done();
        crash(mixed(n))
    });
    let faults = (0..o.trials).into_par_iter().map(|n| {
        done();
        disk_fault(mixed(n))
    });
    let tried = crashes.chain(faults).reduce(Report::default, Report::join);
    report = report.join(tried);
    report
}

/// The report for a terminal.
pub fn table(r: &Report) -> String {
    format!(
        "cuts {} of a ledger of {} bytes: {} recovered, {} refused; flips {}: {} recovered\n\
         crashes {} ({} refused), disk faults {}\n\
         panicked {}, ran twice {}, answered twice {}, promised and lost {}\n\
         worst recovery {:.1} ms; groups {:.0} times one sync each ({:.0} a second)\n\
         a month: {} bytes at the most on the first day, {} over all\n{}{}",
        r.cuts,
        r.ledger_bytes,
        r.recovered,
        r.refused_plainly,
        r.flips,
        r.flips_recovered,
        r.crashes,
        r.crashes_refused,
        r.disk_faults,
        r.panicked,
        r.ran_twice,
        r.answered_twice,
        r.lost_promised,
        r.worst_recovery_ms,
        r.group_commit_ratio,
        r.grouped_per_s,
        r.month_bytes.0,
        r.month_bytes.1,
        r.slow
            .iter()
            .map(|s| format!(
                "syncs of {} ms, {} requests in all: durable after p50 {:.1} ms, p99 {:.1} ms; {} turned away\n",
                s.sync_ms, s.offered, s.p50_ms, s.p99_ms, s.crowded
            ))
            .collect::<String>(),
        r.failures.iter().map(|f| format!("{f}\n")).collect::<String>(),
    )
}
