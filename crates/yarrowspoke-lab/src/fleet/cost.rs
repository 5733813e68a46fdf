//! What being a member costs a front, and what a fleet costs a planner.
//!
//! The first is measured on real processes, with and without planners, under the same clients. The second is the pure cores in
//! virtual time: the bytes are those of the messages as they would go over a link; time and memory of links are not in it.

use super::world::World;
use super::{Options, Site};
use serde::Serialize;
use std::fmt::Write;
use std::io;
use std::time::{Duration, Instant};
use yarrowspoke_fleet::front::FrontSide;
use yarrowspoke_fleet::planner::Planner;
use yarrowspoke_fleet::report_log::ReportLog;
use yarrowspoke_fleet::settings::{Fleet, Member, Role};
use yarrowspoke_fleet::version::{List, ListSource, Version};
use yarrowspoke_fleet::wire::encode;

/// How long each half is measured.
const MEASURED: Duration = Duration::from_secs(10);
/// Clock ticks a second, as the system's process tables count them.
const TICKS: f64 = 100.0;

/// A front under load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Front {
    /// Whether it is a member.
    pub member: bool,
    /// Part of a core that it took, in thousandths, mean of all.
    pub cpu_thousandths: f64,
    /// Resident memory in KiB, the largest of all.
    pub memory_kib: u64,
    /// Article latency as clients saw it, microseconds.
    pub median_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// Calls measured.
    pub calls: usize,
}

/// A planner of a fleet of some size.
#[derive(Clone, Debug, Serialize)]
pub struct Size {
    /// Fronts.
    pub fronts: usize,
    /// Bytes a second that come to one planner from all fronts.
    pub in_per_s: u64,
    /// Bytes a second that it answers.
    pub out_per_s: u64,
    /// Bytes of reports that it holds after a minute.
    pub held: u64,
    /// Microseconds of processor time for each heartbeat, the answer's part in it.
    pub heartbeat_us: f64,
}

/// Both.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Draws the clients' calls.
    pub seed: u64,
    /// Without and with planners.
    pub fronts: Vec<Front>,
    /// By size; simulated.
    pub planners: Vec<Size>,
}

fn usage(pid: u32) -> Option<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some(((ticks(11)? + ticks(12)?) / TICKS, rss.split_whitespace().next()?.parse().ok()?))
}

fn front(options: Options) -> io::Result<Front> {
    let (member, world) = (options.planners > 0, World::new(options.machines, options.zones));
    let mut site = Site::start(options, world)?;
    site.come_up()?;
    site.drive();
    std::thread::sleep(Duration::from_secs(2));
    let pids: Vec<u32> = site.fronts.iter().filter_map(|f| f.process.id()).collect();
    let before: Vec<_> = pids.iter().filter_map(|p| usage(*p)).collect();
    let (from, begun) = (site.world.now(), Instant::now());
    std::thread::sleep(MEASURED);
    let after: Vec<_> = pids.iter().filter_map(|p| usage(*p)).collect();
    let spent: f64 = after.iter().zip(&before).map(|(a, b)| a.0 - b.0).sum();
    let cpu_thousandths = 1e3 * spent / begun.elapsed().as_secs_f64() / pids.len().max(1) as f64;
    site.rest();
    let calls = site.load.calls();
    let article = |c: &&super::load::Call| c.safe && c.sent.is_some_and(|t| t >= from);
    let took = |c: &super::load::Call| Some(c.answer.filter(|a| a.1 == 200)?.0 - c.sent?);
    let mut took: Vec<u64> = calls.iter().filter(article).filter_map(took).collect();
    took.sort_unstable();
    let at = |part: f64| took.get((took.len() as f64 * part) as usize).copied().unwrap_or(0);
    Ok(Front {
        member,
        cpu_thousandths,
        memory_kib: after.iter().map(|a| a.1).max().unwrap_or(0),
        median_us: at(0.5),
        p99_us: at(0.99),
        calls: took.len(),
    })
}

/// A fleet of so many fronts for a minute of virtual time, each with fifty machines and twenty attempts a second.
pub fn size(fronts: usize) -> Size {
    let member = |n: usize, role, zone: &str| Member {
        name: format!("{}{n}", if role == Role::Front { "f" } else { "p" }),
        role,
        zone: zone.into(),
        address: None,
    };
    let mut members: Vec<Member> = (0..3).map(|n| member(n, Role::Planner, "")).collect();
    members.extend((0..fronts).map(|n| member(n, Role::Front, ["a", "b", "c"][n % 3])));
    let fleet = Fleet { members, ..Fleet::default() };
    let list = List { index: 0, source: ListSource::Cached, epoch: 0, digest: 0 };
    let version = Version { list, rollout: None, config: 1, operator: 2, settings: 3, program: 4 };
    let mut all: Vec<FrontSide> =
        (0..fronts).map(|n| FrontSide::new(fleet.clone(), &format!("f{n}"), 1 + n as u64, version)).collect();
    let mut planners: Vec<Planner> =
        (0..3).map(|n| Planner::new(fleet.clone(), &format!("p{n}"), 1, 0, ReportLog::default())).collect();
    let (mut came, mut went, mut heartbeats, mut spent) = (0u64, 0u64, 0u64, Duration::ZERO);
    let (renew, second) = (fleet.renew, 1_000_000);
    for step in 1..=60 * second / renew {
        let now = step * renew;
        for (n, front) in all.iter_mut().enumerate() {
            if step % (second / renew) == 1 {
                let ready = (0..50u32).filter(|m| u64::from(*m) != step % 50).map(|m| (m, 1)).collect();
                front.list_received((now, now), (step, step), ListSource::Discovery, ready);
            }
            (0..4u32)
                .for_each(|k| front.recorder().record_attempt((n as u32 * 7 + k * 13 + step as u32) % 50, 1));
            front.tick(now, now);
            for (p, planner) in planners.iter_mut().enumerate() {
                let heartbeat = front.heartbeat(p, now);
                let bytes = encode(&heartbeat).len() as u64;
                let begun = Instant::now();
                let Ok(answer) = planner.handle_heartbeat(now, heartbeat) else { continue };
                if p == 0 {
                    spent += begun.elapsed();
                    (came, went, heartbeats) =
                        (came + bytes, went + encode(&answer).len() as u64, heartbeats + 1);
                }
                front.heartbeat_answered(p, now, now, answer);
            }
        }
    }
    let held = planners[0].report_log.bytes();
    let heartbeat_us = spent.as_secs_f64() * 1e6 / heartbeats.max(1) as f64;
    Size { fronts, in_per_s: came / 60, out_per_s: went / 60, held, heartbeat_us }
}

/// Measures both.
pub fn run(base: &Options, sizes: &[usize]) -> io::Result<Report> {
    let played = |planners: usize| {
        let dir = base.dir.join(format!("planners-{planners}"));
        front(Options { planners, dir, ..base.clone() })
    };
    let fronts = vec![played(0)?, played(3)?];
    Ok(Report { seed: base.seed, fronts, planners: sizes.iter().map(|n| size(*n)).collect() })
}

/// As a table.
pub fn table(report: &Report) -> String {
    let mut text = String::from("a front, real process: core/1000, KiB, article median us, p99 us, calls\n");
    for f in &report.fronts {
        let name = if f.member { "member of a fleet" } else { "by itself" };
        let _ = writeln!(
            text,
            "  {name:<18} {:>6.1} {:>8} {:>8} {:>8} {:>6}",
            f.cpu_thousandths, f.memory_kib, f.median_us, f.p99_us, f.calls
        );
    }
    text +=
        "a planner, simulated: fronts, bytes/s in, bytes/s out, bytes held after a minute, us a heartbeat\n";
    for s in &report.planners {
        let _ = writeln!(
            text,
            "  {:>5} {:>10} {:>10} {:>12} {:>8.1}",
            s.fronts, s.in_per_s, s.out_per_s, s.held, s.heartbeat_us
        );
    }
    text
}
