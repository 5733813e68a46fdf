//! What control costs: slopes over fronts, machines and requests on real and hollow processes, and a real front's own figures.
//!
//! Bytes and messages are what proxies and discovery counted; processor time is the processes' own.

use super::alone;
use super::at_size::PACED;
use super::discovery::{Caller, Status};
use super::estate::Extent;
use super::fit::fit;
use super::page::figure;
use super::report::{AtSize, Origin, Report, Slope};
use super::run::Options;
use super::site::{Role, Site, Spec};
use super::target::{self, Budget};
use std::io;
use std::time::{Duration, Instant};
use yarrowspoke_fleet::settings::Fleet;

/// Machines where another size is varied.
const MACHINES: usize = 600;
/// Fronts where another size is varied.
const FRONTS: usize = 50;
/// Requests a second of a front where another size is varied.
const RATE: f64 = 100.0;
/// Largest whole list that is played beside the sizes asked for, where the largest of those is refused.
pub(super) const BELOW_LIMIT: usize = 7_500;
/// Real and hollow fronts that are held against each other.
const BESIDE: usize = 8;
/// How long a site may take to come up.
pub(super) const COME_UP: Duration = Duration::from_secs(45);
/// A list that no front has read for so long, with a call of each that failed, is refused.
pub(super) const REFUSED_AFTER: Duration = Duration::from_secs(5);
/// How long a change may take until all act on it before that counts as a failure; far beyond its budget.
const IN_FORCE: Duration = Duration::from_secs(60);
/// Heartbeats that have to pass, as a part of those that are due: where fewer do, the machine or the rig is what is measured.
const KEPT_UP: f64 = 0.9;
/// Calls that wait come every few seconds: what they cost is measured over no shorter span.
const WATCHES_SHOW: Duration = Duration::from_secs(6);

/// How long things are measured, and on how much.
pub(super) struct Plan {
    pub(super) planners: usize,
    pub(super) settle: Duration,
    span: Duration,
    /// The same for a front's added time, which needs many requests.
    pub(super) traced: Duration,
    fronts: Vec<usize>,
    machines: Vec<usize>,
    rates: Vec<f64>,
    pub(super) rows: Vec<usize>,
    at_fronts: usize,
    beside: usize,
    /// Changes by which the cost of one is measured.
    changes: usize,
    /// Fields of the fleet's section.
    fleet: String,
}

fn plan(options: &Options) -> Plan {
    let (sizes, millis) = (&options.sizes, Duration::from_millis);
    let all = Plan {
        planners: target::PLANNERS,
        settle: millis(2_000),
        span: millis(8_000),
        traced: millis(10_000),
        fronts: sizes.fronts.clone(),
        machines: sizes.machines.clone(),
        rates: sizes.rates.clone(),
        rows: sizes.machines.clone(),
        at_fronts: FRONTS,
        beside: BESIDE,
        changes: 4,
        fleet: String::new(),
    };
    if options.small {
        let largest = sizes.machines.last().copied().into_iter().collect();
        let (settle, span, traced) = (millis(400), millis(800), millis(800));
        let fronts = sizes.fronts.iter().copied().chain([100]).collect();
        let (rates, rows, at_fronts) = (Vec::new(), largest, 20);
        Plan {
            planners: 3,
            settle,
            span,
            traced,
            fronts,
            rates,
            rows,
            at_fronts,
            beside: 2,
            changes: 2,
            ..all
        }
    } else if options.quick {
        Plan { settle: millis(800), span: millis(2_000), traced: millis(3_000), changes: 2, ..all }
    } else {
        all
    }
}

/// What one site showed.
#[derive(Clone, Copy, Debug, Default)]
struct Point {
    /// Seconds until all fronts acted on the whole list.
    up_s: f64,
    /// Bytes a second that a front spent for control, both ways and with all planners.
    bytes: f64,
    /// Heartbeats a second of a front.
    messages: f64,
    /// Core of one planner, the mean of all.
    planner_core: f64,
    /// Its resident memory at the end, and what that grew by in a minute.
    planner_mb: f64,
    planner_growth: f64,
    /// Core that a hollow front took.
    front_core: f64,
    /// Resident memory that a hollow front took.
    front_mb: f64,
    /// Bytes a second among planners, each one's share.
    among: f64,
    /// Bytes a second that discovery wrote to all.
    discovery: f64,
    /// MB that discovery wrote until all had the list.
    discovery_up: f64,
    /// What one change added: bytes of a front, processor time of a front and of a planner, ms.
    change_bytes: f64,
    change_front_ms: f64,
    change_planner_ms: f64,
    /// The longest that one took to be acted on by all, s.
    in_force_s: f64,
}

/// How playing a site ended.
enum Played {
    Well(Point),
    /// No front reads its list.
    Refused(String),
    /// Heartbeats did not come as they were due.
    Behind(String),
}

/// A moment's counts.
struct Look {
    at: Instant,
    control: super::proxy::Counts,
    among: u64,
    discovery: u64,
    hollow_s: f64,
    planners_s: f64,
    planners_mb: f64,
}

fn look(site: &Site) -> Look {
    let all = site.usage();
    let of = |role: Role| all.iter().filter(move |u| u.0 == role);
    Look {
        at: Instant::now(),
        control: site.control(Caller::Hollow),
        among: site.among_planners().bytes(),
        discovery: site.discovery.tally(Caller::Hollow).bytes_out,
        hollow_s: of(Role::Hollow).map(|u| u.2.cpu_s).sum(),
        planners_s: of(Role::Planner).map(|u| u.2.cpu_s).sum(),
        planners_mb: of(Role::Planner).map(|u| u.2.rss_mb).sum(),
    }
}

pub(super) fn spec(options: &Options, plan: &Plan, name: &str) -> Spec {
    let sizes = &options.sizes;
    let most = |of: &[usize]| of.iter().copied().max().unwrap_or(1);
    Spec {
        program: options.program.clone(),
        lab: options.lab.clone(),
        dir: options.dir.join(name),
        seed: options.seed,
        port: options.port,
        planners: plan.planners,
        real: 0,
        hollow: 0,
        extent: Extent {
            machines: MACHINES,
            services: most(&sizes.services),
            routes: most(&sizes.routes),
            // What tenants cost is measured by itself; here they are a few that differ.
            tenants: 100,
        },
        rate: RATE,
        real_rate: RATE,
        hot_rate: None,
        record: true,
        fleet: plan.fleet.clone(),
        plant: None,
    }
}

/// Notes the most that was played and taken.
pub(super) fn note(seen: &mut Report, site: &Site) {
    let (processes, mb) = site.footprint();
    seen.processes = seen.processes.max(processes);
    seen.peak_memory_mb = seen.peak_memory_mb.max(mb);
    seen.real_fronts = seen.real_fronts.max(site.spec.real);
    seen.hollow_fronts = seen.hollow_fronts.max(site.spec.hollow);
}

/// Whether all hollow fronts come to act on the list, and after how long; `None` if it is refused by them.
fn reads_list(site: &Site) -> io::Result<Option<f64>> {
    let begun = Instant::now();
    let settled = |site: &Site| {
        let (acting, all) = site.acting_on(1);
        let failed: u64 = site.hollow.iter().map(|h| h.told().failed).sum();
        acting == all || acting == 0 && failed >= all as u64 && begun.elapsed() > REFUSED_AFTER
    };
    match site.wait(COME_UP, settled) {
        Some(_) if site.acting_on(1).0 == 0 => Ok(None),
        Some(up_s) => Ok(Some(up_s)),
        None => {
            Err(io::Error::other(format!("{:?} of the fronts came to act on the list", site.acting_on(1))))
        }
    }
}

/// Plays one site of hollow fronts.
fn play(spec: Spec, plan: &Plan, seen: &mut Report) -> io::Result<Played> {
    let (fronts, planners) = (spec.hollow as f64, spec.planners as f64);
    let dir = spec.dir.clone();
    let mut site = Site::start(spec)?;
    let answers = |site: &Site| (0..site.planners.len()).all(|p| site.answers(p));
    if site.wait(COME_UP, answers).is_none() {
        return Err(io::Error::other("planners do not answer"));
    }
    let Some(up_s) = reads_list(&site)? else {
        note(seen, &site);
        let failed: u64 = site.hollow.iter().map(|h| h.told().failed).sum();
        return Ok(Played::Refused(format!(
            "none had read the whole list of {} bytes after {} s, {failed} calls failed",
            site.discovery.whole_bytes(),
            REFUSED_AFTER.as_secs()
        )));
    };
    let discovery_up = site.discovery.tally(Caller::Hollow).bytes_out as f64 / 1e6;
    std::thread::sleep(plan.settle);
    let before = look(&site);
    std::thread::sleep(plan.span);
    let after = look(&site);
    let span = (after.at - before.at).as_secs_f64();
    let passed = after.control - before.control;
    let (hollow_s, planners_s) = (after.hollow_s - before.hollow_s, after.planners_s - before.planners_s);
    let mut point = Point {
        up_s,
        bytes: passed.bytes() as f64 / span / fronts,
        messages: passed.messages as f64 / span / fronts,
        planner_core: planners_s / span / planners,
        planner_mb: after.planners_mb / planners,
        planner_growth: (after.planners_mb - before.planners_mb) / planners * 60.0 / span,
        front_core: hollow_s / span / fronts,
        front_mb: site.usage().iter().filter(|u| u.0 == Role::Hollow).map(|u| u.2.rss_mb).sum::<f64>()
            / fronts,
        among: (after.among - before.among) as f64 / span / planners,
        discovery: (after.discovery - before.discovery) as f64 / span,
        discovery_up,
        ..Point::default()
    };
    check(&site, &point, seen);
    for n in 0..plan.changes {
        let name = site.estate.machines[n % site.estate.machines.len()].name.clone();
        let index = site.discovery.change(&[&name], |row| row.status = Status::Draining);
        match site.in_force(index, IN_FORCE) {
            Some(s) => point.in_force_s = point.in_force_s.max(s),
            None => seen.failures.push(format!("{}: a change was not acted on by all", dir.display())),
        }
        // The next one comes once heartbeats have carried this one to all planners: changes that come faster are told as one.
        let (passed, each) =
            (site.control(Caller::Hollow).messages, 2 * site.spec.hollow * site.spec.planners);
        site.wait(IN_FORCE, |site| site.control(Caller::Hollow).messages >= passed + each as u64);
    }
    let last = look(&site);
    let changing = (last.at - after.at).as_secs_f64();
    let each =
        |more: f64, steady: f64, of: f64| ((more - steady * changing) / plan.changes as f64 / of).max(0.0);
    let more = (last.control - after.control).bytes() as f64;
    point.change_bytes = each(more, point.bytes * fronts, fronts);
    point.change_front_ms = 1e3 * each(last.hollow_s - after.hollow_s, hollow_s / span, fronts);
    point.change_planner_ms = 1e3 * each(last.planners_s - after.planners_s, planners_s / span, planners);
    note(seen, &site);
    let ended = site.ended();
    seen.failures.extend(ended.into_iter().map(|e| format!("ended by itself: {e}")));
    // Where the section sets another pace, what is due is not known here.
    let due = planners * 1e6 / Fleet::default().renew as f64;
    if site.spec.fleet.is_empty() && point.messages < KEPT_UP * due {
        let told = format!("{:.1} of {due:.1} heartbeats a second a front passed", point.messages);
        return Ok(Played::Behind(told));
    }
    drop(site);
    let _ = std::fs::remove_dir_all(dir);
    Ok(Played::Well(point))
}

/// The point of a site where all went as it should; what did not is told.
fn point(spec: Spec, plan: &Plan, seen: &mut Report) -> io::Result<Option<Point>> {
    let name = format!("{} fronts, {} machines, {} requests/s", spec.hollow, spec.extent.machines, spec.rate);
    match play(spec, plan, seen)? {
        Played::Well(point) => return Ok(Some(point)),
        Played::Refused(why) => seen.findings.push(format!("front: never ready at {name}: {why}")),
        Played::Behind(why) => {
            seen.not_measured.push(format!("{name}: left out, as the machine was too busy: {why}"));
        }
    }
    Ok(None)
}

/// Holds what was counted against what it has to be whatever the speed.
fn check(site: &Site, point: &Point, seen: &mut Report) {
    let name = format!("{} fronts, {} machines", site.spec.hollow, site.spec.extent.machines);
    let passed = site.control(Caller::Hollow);
    let apart = passed.to.abs_diff(passed.stated) as f64 / passed.stated.max(1) as f64;
    if apart > 0.05 {
        seen.failures.push(format!("{name}: {} bytes passed, and heads state {}", passed.to, passed.stated));
    }
    let links = (site.spec.hollow * site.spec.planners) as u64;
    if passed.connections < links {
        seen.failures.push(format!("{name}: {} links of {links} came up", passed.connections));
    }
    if point.messages <= 0.0 {
        seen.failures.push(format!("{name}: no heartbeat passed"));
    }
}

/// What a slope is of, and how a point gives its value.
type Quantity = (&'static str, &'static str, &'static str, fn(&Point) -> f64);

const WATCHES: &str = "bytes of watches";
const QUANTITIES: [Quantity; 15] = [
    ("front", "control bytes", "B/s", |p| p.bytes),
    ("front", "control messages", "messages/s", |p| p.messages),
    ("front", "control cpu", "core", |p| p.front_core),
    ("front", "control memory", "MB", |p| p.front_mb),
    ("front", "control bytes a change", "B", |p| p.change_bytes),
    ("front", "control cpu a change", "ms", |p| p.change_front_ms),
    ("front", "until all hold the list", "s", |p| p.up_s),
    ("front", "until all act on a change", "s", |p| p.in_force_s),
    ("planner", "cpu", "core", |p| p.planner_core),
    ("planner", "cpu a change", "ms", |p| p.change_planner_ms),
    ("planner", "memory", "MB", |p| p.planner_mb),
    ("planner", "memory growth", "MB/min", |p| p.planner_growth),
    ("planner", "bytes among planners", "B/s", |p| p.among),
    ("discovery", WATCHES, "B/s", |p| p.discovery),
    ("discovery", "bytes until all hold the list", "MB", |p| p.discovery_up),
];

pub(super) fn slope(
    seen: &mut Report,
    (role, quantity, unit, over): (&str, &str, &str, &str),
    points: Vec<(f64, f64)>,
) {
    if points.is_empty() {
        return;
    }
    let laid = fit(&points);
    seen.slopes.push(Slope {
        role: role.into(),
        quantity: quantity.into(),
        unit: unit.into(),
        over: over.into(),
        points,
        shape: laid.shape,
        per_unit: laid.per_unit,
        fixed: laid.fixed,
        residual: laid.residual,
    });
}

fn slopes(seen: &mut Report, plan: &Plan, over: &str, points: &[(f64, Point)]) {
    for (role, quantity, unit, of) in QUANTITIES {
        if quantity == WATCHES && plan.span < WATCHES_SHOW {
            continue;
        }
        slope(seen, (role, quantity, unit, over), points.iter().map(|(size, p)| (*size, of(p))).collect());
    }
}

pub(super) fn at_size(
    seen: &mut Report,
    (role, quantity, unit): (&str, &str, &str),
    (value, budget): (f64, Option<(Budget, f64)>),
    (origin, formula): (Origin, String),
    mechanism: &str,
) {
    if value < 0.0 {
        // Danger: a line through points that scatter leads below nothing, which would pass for within any budget.
        seen.not_measured.push(format!("{role}: {quantity}: its slope leads to {} {unit}", figure(value)));
        return;
    }
    seen.at_size.push(AtSize {
        role: role.into(),
        quantity: quantity.into(),
        unit: unit.into(),
        value,
        budget: budget.map(|b| b.1),
        budget_of: budget.map(|b| b.0),
        within: budget.map(|b| value <= b.1),
        mechanism: mechanism.into(),
        origin,
        formula,
    });
}

/// Points, and the size that they are put forward to.
struct Forward<'a> {
    points: &'a [(f64, Point)],
    size: f64,
    over: &'a str,
}

impl Forward<'_> {
    fn measured(&self) -> Option<&Point> {
        self.points.iter().find(|p| p.0 == self.size).map(|p| &p.1)
    }

    /// As measured at that size, or as the slope gives it.
    fn value(&self, of: fn(&Point) -> f64) -> f64 {
        let all = || self.points.iter().map(|(s, p)| (*s, of(p))).collect::<Vec<_>>();
        self.measured().map_or_else(|| fit(&all()).at(self.size), of)
    }

    fn told(&self, what: &str, of: fn(&Point) -> f64) -> (Origin, String) {
        let (size, over) = (self.size, self.over);
        let all: Vec<_> = self.points.iter().map(|(s, p)| (*s, of(p))).collect();
        let fit = fit(&all);
        let line = format!(
            "{} x {} [{over}] + {} = {}",
            figure(fit.per_unit),
            figure(fit.shape.measure(size)),
            figure(fit.fixed),
            figure(fit.at(size))
        );
        match self.measured() {
            Some(p) => (Origin::Measured, format!("{what}: {line}, seen there {}", figure(of(p)))),
            None => (Origin::WorkedOut, format!("{what}: {line}")),
        }
    }
}

/// Slopes of control, and real fronts' own figures, with the fields of the section `fleet` that the run is asked for.
pub fn measure(options: &Options, seen: &mut Report, tick: &dyn Fn(&str)) -> io::Result<()> {
    measure_with(options, options.fleet(), seen, tick)
}

/// The same with these fields in the section.
pub fn measure_with(
    options: &Options,
    fleet: &str,
    seen: &mut Report,
    tick: &dyn Fn(&str),
) -> io::Result<()> {
    let plan = Plan { fleet: fleet.to_owned(), ..plan(options) };
    let common = over_fronts(options, &plan, seen, tick)?;
    over_machines(options, &plan, common, seen, tick)?;
    over_rates(options, &plan, common, seen, tick)?;
    beside(options, &plan, seen, tick)?;
    alone::measure(options, &plan, seen, tick)
}

/// The point that all slopes have in common, if it is among these.
fn over_fronts(
    options: &Options,
    plan: &Plan,
    seen: &mut Report,
    tick: &dyn Fn(&str),
) -> io::Result<Option<Point>> {
    let (mut points, mut common) = (Vec::new(), None);
    for hollow in &plan.fronts {
        tick(&format!("control: {hollow} fronts"));
        let spec = Spec { hollow: *hollow, ..spec(options, plan, &format!("fronts-{hollow}")) };
        let Some(point) = point(spec, plan, seen)? else { continue };
        common = if *hollow == plan.at_fronts { Some(point) } else { common };
        points.push((*hollow as f64, point));
    }
    let over = format!("fronts ({MACHINES} machines, {RATE} requests/s a front, {} planners)", plan.planners);
    slopes(seen, plan, &over, &points);
    if points.len() < 2 || options.small {
        return Ok(common);
    }
    let to = Forward { points: &points, size: target::FRONTS as f64, over: &over };
    let heartbeat = match seen.paced {
        true => PACED,
        false => {
            "lease renewal by heartbeat, each front at each planner (yarrowspoke-front/src/fleet_member.rs)"
        }
    };
    let growth = to.value(|p| p.planner_growth);
    let minutes = target::MEMORY_LIMIT_MB / growth.max(f64::MIN_POSITIVE);
    at_size(
        seen,
        ("front", "control bytes, no change of the list", "B/s"),
        (to.value(|p| p.bytes), Some((Budget::ControlBytes, target::CONTROL_BYTES_PER_S))),
        to.told("both ways with all planners", |p| p.bytes),
        heartbeat,
    );
    at_size(
        seen,
        ("front", "control cpu, hollow front, no change of the list", "core"),
        (to.value(|p| p.front_core), Some((Budget::ControlCore, target::CONTROL_CORE))),
        to.told("its own time", |p| p.front_core),
        heartbeat,
    );
    at_size(
        seen,
        ("front", "until all act on a change of the list", "s"),
        (to.value(|p| p.in_force_s), Some((Budget::InForce, target::IN_FORCE_S))),
        to.told("the longest of the changes made", |p| p.in_force_s),
        "watch with deltas (yarrowspoke-front/src/net/list.rs)",
    );
    at_size(
        seen,
        ("planner", "cpu, no change of the list, a young record", "core"),
        (to.value(|p| p.planner_core), Some((Budget::Program, 1.0))),
        to.told("its own time", |p| p.planner_core),
        "one thread a planner (yarrowspoke-front/src/planner.rs)",
    );
    at_size(
        seen,
        ("planner", "memory growth, a young record", "MB/min"),
        (growth, None),
        to.told(
            &format!(
                "resident; {minutes:.0} minutes to {} MB if nothing were given up",
                target::MEMORY_LIMIT_MB
            ),
            |p| p.planner_growth,
        ),
        "record bounded by keep-bytes (yarrowspoke-fleet/src/report_log.rs)",
    );
    Ok(common)
}

fn over_machines(
    options: &Options,
    plan: &Plan,
    common: Option<Point>,
    seen: &mut Report,
    tick: &dyn Fn(&str),
) -> io::Result<()> {
    let mut points = Vec::new();
    let mut sizes = plan.machines.clone();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    while !sizes.is_empty() {
        let machines = sizes.remove(0);
        if let Some(common) = common.filter(|_| machines == MACHINES) {
            points.push((machines as f64, common));
            continue;
        }
        tick(&format!("control: {machines} machines"));
        let spec = spec(options, plan, &format!("machines-{machines}"));
        let extent = Extent { machines, ..spec.extent };
        match point(Spec { hollow: plan.at_fronts, extent, ..spec }, plan, seen)? {
            Some(point) => {
                seen.most_rows = seen.most_rows.max(machines);
                points.push((machines as f64, point));
            }
            None if machines > BELOW_LIMIT && !sizes.contains(&BELOW_LIMIT) => sizes.insert(0, BELOW_LIMIT),
            None => {}
        }
    }
    points.reverse();
    let over = format!(
        "machines ({} fronts, {RATE} requests/s a front, {} planners)",
        plan.at_fronts, plan.planners
    );
    slopes(seen, plan, &over, &points);
    if points.len() < 2 || options.small {
        return Ok(());
    }
    let to = Forward { points: &points, size: target::MACHINES as f64, over: &over };
    let told = match seen.paced {
        true => PACED,
        false => "all ready machines told to each planner on a change (yarrowspoke-fleet/src/front.rs)",
    };
    at_size(
        seen,
        ("front", "control bytes for a change of the list", "B"),
        (to.value(|p| p.change_bytes), None),
        to.told("both ways with all planners", |p| p.change_bytes),
        told,
    );
    at_size(
        seen,
        ("front", "control cpu, hollow front, the whole list, no change of it", "core"),
        (to.value(|p| p.front_core), Some((Budget::ControlCore, target::CONTROL_CORE))),
        to.told("its own time", |p| p.front_core),
        "all rows looked through at each renewal (yarrowspoke-front/src/fleet_member.rs)",
    );
    Ok(())
}

fn over_rates(
    options: &Options,
    plan: &Plan,
    common: Option<Point>,
    seen: &mut Report,
    tick: &dyn Fn(&str),
) -> io::Result<()> {
    let mut points = Vec::new();
    for rate in &plan.rates {
        if let Some(common) = common.filter(|_| *rate == RATE) {
            points.push((*rate, common));
            continue;
        }
        tick(&format!("control: {rate} requests a second a front"));
        let spec =
            Spec { hollow: plan.at_fronts, rate: *rate, ..spec(options, plan, &format!("rate-{rate}")) };
        points.extend(point(spec, plan, seen)?.map(|p| (*rate, p)));
    }
    let over = format!(
        "requests/s a front ({} fronts, {MACHINES} machines, {} planners)",
        plan.at_fronts, plan.planners
    );
    slopes(seen, plan, &over, &points);
    Ok(())
}

/// Real and hollow fronts at one size, side by side in one fleet.
fn beside(options: &Options, plan: &Plan, seen: &mut Report, tick: &dyn Fn(&str)) -> io::Result<()> {
    tick("control: real beside hollow");
    let fronts = plan.beside;
    let spec = Spec { real: fronts, hollow: fronts, ..spec(options, plan, "beside") };
    let dir = spec.dir.clone();
    let mut site = Site::start(spec)?;
    site.come_up(COME_UP)?;
    let cpu = |site: &Site, role: Role| -> f64 {
        site.usage().iter().filter(|u| u.0 == role).map(|u| u.2.cpu_s).sum()
    };
    std::thread::sleep(plan.settle);
    let (idle, begun) = ([Role::Front, Role::Hollow].map(|r| cpu(&site, r)), Instant::now());
    std::thread::sleep(plan.span);
    let spent = [Role::Front, Role::Hollow].map(|r| cpu(&site, r));
    let span = begun.elapsed().as_secs_f64() * fronts as f64;
    let [real_core, hollow_core] = [0, 1].map(|n| (spent[n] - idle[n]) / span);
    site.drive()?;
    std::thread::sleep(plan.settle);
    let before = [Caller::Real, Caller::Hollow].map(|c| site.control(c));
    std::thread::sleep(plan.span);
    let after = [Caller::Real, Caller::Hollow].map(|c| site.control(c));
    let [real, hollow] = [0, 1].map(|n| after[n] - before[n]);
    note(seen, &site);
    seen.failures.extend(site.ended().into_iter().map(|e| format!("ended by itself: {e}")));
    let apart = |real: f64, hollow: f64| (hollow - real).abs() / real.max(f64::MIN_POSITIVE);
    let bytes = apart(real.bytes() as f64, hollow.bytes() as f64);
    let messages = apart(real.messages as f64, hollow.messages as f64);
    seen.hollow_error = Some(bytes.max(messages));
    seen.findings.push(format!(
        "hollow against real, {fronts} fronts each, {MACHINES} machines, {RATE} requests/s: bytes {:.1} % apart \
         ({} and {}), messages {:.1} % ({} and {})",
        100.0 * bytes,
        hollow.bytes(),
        real.bytes(),
        100.0 * messages,
        hollow.messages,
        real.messages
    ));
    seen.not_measured.push(format!(
        "front: processor time of a real front's control side under load, as it can't be told from forwarding; without \
         clients a real front takes {real_core:.4} of a core, its decision module's timer in it, and a hollow one \
         {hollow_core:.4} with noted requests"
    ));
    drop(site);
    let _ = std::fs::remove_dir_all(dir);
    Ok(())
}
