//! How long fronts that know nothing of each other act on an old list and old news, by fault: the state before the fleet
//! was audited, and the baseline of what the audit brings.

use super::relay::Fault;
use super::world::{Seen, World};
use super::{Options, Site};
use serde::Serialize;
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Fronts that a fault is put on; the others are left alone.
const HIT: usize = 2;
/// How long after a change it is watched for.
const HORIZON: Duration = Duration::from_secs(9);
/// How long before the change the fault begins.
const LEAD: Duration = Duration::from_millis(1_500);
/// How long a stopped front stands still.
const STILL: Duration = Duration::from_secs(4);

/// A fault put on some fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    None,
    Discovery,
    Platform,
    Both,
    OneWay,
    Slow,
    Stopped,
}

const KINDS: [(Kind, &str); 7] = [
    (Kind::None, "none"),
    (Kind::Discovery, "cut from discovery"),
    (Kind::Platform, "cut from the platform"),
    (Kind::Both, "cut from both"),
    (Kind::OneWay, "heard by both, hearing neither"),
    (Kind::Slow, "each piece 800 ms late"),
    (Kind::Stopped, "stopped for 4 s"),
];

/// What one fault did.
#[derive(Debug, Serialize)]
pub struct Row {
    /// The fault.
    pub fault: &'static str,
    /// From a machine's drain, as discovery holds it, to the last attempt sent there by a front that was hit, in ms.
    pub old_list_ms: u64,
    /// The same for fronts left alone.
    pub old_list_others_ms: u64,
    /// From a build's way back to the last attempt at it by a front that was hit, in ms.
    pub old_news_ms: u64,
    /// The same for fronts left alone.
    pub old_news_others_ms: u64,
    /// Attempts on the old list or the old news later than 700 ms, by fronts that were hit.
    pub late_attempts: usize,
    /// Calls of all clients, and those answered with a machine's answer.
    pub calls: (usize, usize),
}

/// The whole measurement.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Draws the clients' calls.
    pub seed: u64,
    /// Milliseconds after a change for which it was watched; a figure near it means "to the end".
    pub horizon_ms: u64,
    /// Whether planners stood beside the fronts.
    pub planners: usize,
    /// By fault.
    pub rows: Vec<Row>,
}

/// Plays all faults, each on a site of its own, side by side.
pub fn run(options: &Options) -> io::Result<Report> {
    let played: Vec<io::Result<Row>> = std::thread::scope(|scope| {
        let play = |(kind, name): &(Kind, &'static str)| {
            let (kind, name, options) = (*kind, *name, options.clone());
            scope.spawn(move || play(kind, name, options))
        };
        let running: Vec<_> = KINDS.iter().map(play).collect();
        running.into_iter().map(|r| r.join().unwrap_or_else(|_| Err(io::Error::other("panic")))).collect()
    });
    let rows = played.into_iter().collect::<io::Result<Vec<_>>>()?;
    let (seed, planners) = (options.seed, options.planners);
    Ok(Report { seed, horizon_ms: HORIZON.as_millis() as u64, planners, rows })
}

fn play(kind: Kind, name: &'static str, mut options: Options) -> io::Result<Row> {
    options.dir = options.dir.join(name.replace(' ', "-"));
    let world = World::new(options.machines, options.zones);
    let trial = options.machines - 2;
    for machine in trial..options.machines {
        world.list(machine, "up", 2);
    }
    world.build(2, 5, 0);
    world.tell("2 1 canary 0.5");
    let mut site = Site::start(options, world)?;
    site.come_up()?;
    site.drive();
    std::thread::sleep(Duration::from_millis(2_500));
    let cut = |cut_to| Fault { cut_to, cut_back: true, ..Fault::default() };
    for front in 0..HIT {
        let [discovery, platform] = site.sources(front);
        match kind {
            Kind::None => {}
            Kind::Discovery => discovery.set(cut(true)),
            Kind::Platform => platform.set(cut(true)),
            Kind::Both => [discovery, platform].iter().for_each(|l| l.set(cut(true))),
            Kind::OneWay => [discovery, platform].iter().for_each(|l| l.set(cut(false))),
            Kind::Slow => {
                let slow = Fault { delay: Duration::from_millis(800), ..Fault::default() };
                [discovery, platform].iter().for_each(|l| l.set(slow));
            }
            Kind::Stopped => site.fronts[front].process.stop(),
        }
    }
    std::thread::sleep(LEAD);
    let changed = site.world.now();
    site.world.list(0, "draining", 1);
    site.world.tell("2 1 reverting 0.0");
    if kind == Kind::Stopped {
        std::thread::sleep(STILL);
        site.fronts[..HIT].iter().for_each(|f| f.process.wake());
        std::thread::sleep(HORIZON - STILL);
    } else {
        std::thread::sleep(HORIZON);
    }
    site.rest();
    let ended = site.ended();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("ended by themselves: {ended:?}")));
    }
    let log = site.world.log();
    let attempts = |hit: bool, at: &dyn Fn(usize, u16) -> bool| -> Vec<u64> {
        let late = |(t, s): &(u64, Seen)| match s {
            Seen::Attempt { front, machine, build, .. }
                if (*front < HIT) == hit && at(*machine, *build) && *t > changed =>
            {
                Some((*t - changed) / 1_000)
            }
            _ => None,
        };
        log.iter().filter_map(late).collect()
    };
    let (drained, back) = (|m: usize, _: u16| m == 0, |_: usize, b: u16| b == 2);
    let last = |hit, at: &dyn Fn(usize, u16) -> bool| attempts(hit, at).into_iter().max().unwrap_or(0);
    let calls = site.load.calls();
    let served = calls.iter().filter(|c| c.answer.is_some_and(|a| a.1 == 200 && a.2)).count();
    let late = |at: &dyn Fn(usize, u16) -> bool| attempts(true, at).iter().filter(|ms| **ms > 700).count();
    Ok(Row {
        fault: name,
        old_list_ms: last(true, &drained),
        old_list_others_ms: last(false, &drained),
        old_news_ms: last(true, &back),
        old_news_others_ms: last(false, &back),
        late_attempts: late(&drained) + late(&back),
        calls: (calls.len(), served),
    })
}

/// The report as a table.
pub fn table(report: &Report) -> String {
    let mut text =
        format!(
        "{} planners; ms from a change to the last attempt against it ({} watched), fronts hit and others\n\
         {:<32} {:>10} {:>8} {:>10} {:>8} {:>6} {:>12}\n",
        report.planners, report.horizon_ms, "fault", "drain", "others", "way back", "others", "late", "served"
    );
    for r in &report.rows {
        let _ = writeln!(
            text,
            "{:<32} {:>10} {:>8} {:>10} {:>8} {:>6} {:>5} of {:>4}",
            r.fault,
            r.old_list_ms,
            r.old_list_others_ms,
            r.old_news_ms,
            r.old_news_others_ms,
            r.late_attempts,
            r.calls.1,
            r.calls.0
        );
    }
    text
}

/// What the measurement runs by default, in a directory of its own.
pub fn options(program: &Path, dir: &Path, seed: u64, planners: usize) -> Options {
    Options {
        program: program.to_owned(),
        dir: dir.to_owned(),
        fronts: 5,
        planners,
        machines: 8,
        zones: 2,
        rate: 30.0,
        seed,
        fleet: String::new(),
        envs: vec![("RUST_LOG".into(), "info".into())],
    }
}
