//! Control between fronts and planners: both sides' own cores and encoders in virtual time, every body encoded and decoded.
//!
//! Heads of HTTP are those that the program's encoder writes; what the system's network takes is not in it.

use super::{median, module, probe, slope, spent, timed};
use crate::scale::report::Report;
use crate::scale::run::Options;
use crate::scale::target;
use std::collections::BTreeMap;
use std::rc::Rc;
use yarrowspoke::interface::{ListUpdate, MachineState};
use yarrowspoke_fleet::front::FrontSide;
use yarrowspoke_fleet::planner::Planner;
use yarrowspoke_fleet::report_log::ReportLog;
use yarrowspoke_fleet::settings::{Fleet, Lists, Member, Paced, Role, Spans};
use yarrowspoke_fleet::span::{Recorder, Stance};
use yarrowspoke_fleet::version::{digest, List, ListSource, RolloutStatus, Version};
use yarrowspoke_fleet::wire::{
    decode, decode_with_list, encode, encode_with_list, Heartbeat, HeartbeatResponse, Pull, PullResponse,
};
use yarrowspoke_front::input::Row;
use yarrowspoke_front::net::http::Encoder;
use yarrowspoke_front::net::list::{machine_id, Discovery};
use yarrowspoke_settings::Names;

/// Since when everything runs, so that clocks and lives are written as long as they are in a fleet that has run for a day.
const DAY: u64 = 86_400_000_000;
/// Unix time at the start, microseconds.
const WALL: u64 = 1_786_000_000_000_000;
/// Steps until everyone holds a lease and knows the list.
const WARM: u64 = 15;
/// Machines that a front sends to within some seconds, where the module was not asked.
const NEAR: usize = 40;
/// With the form `paced`, a front asks so often in a renewal whether a heartbeat is due, as the running one does.
const ASKED: u64 = 4;
/// Time between two exchanges of a planner with each other one.
const EXCHANGED_EVERY: u64 = 500_000;

/// The members: fronts in zones in turn, and planners.
pub fn fleet(fronts: usize, planners: usize) -> Fleet {
    let planner =
        |n| Member { name: format!("planner-{n}"), role: Role::Planner, zone: String::new(), address: None };
    let front = |n: usize| Member {
        name: format!("front-{n}"),
        role: Role::Front,
        zone: format!("z{}", n % target::ZONES),
        address: None,
    };
    Fleet { members: (0..planners).map(planner).chain((0..fronts).map(front)).collect(), ..Fleet::default() }
}

/// The same with the form `paced`, as [`Options::fleet`] writes it in the section.
pub fn paced(fleet: Fleet) -> Fleet {
    let form = Paced { pace: 1_000_000, lists: Lists::Delta, spans: Spans::Home };
    Fleet { lease: 3_500_000, paced: Some(form), ..fleet }
}

fn version() -> Version {
    let list = List { index: 0, source: ListSource::Cached, epoch: 0, digest: 0 };
    let rollout = Some(RolloutStatus { build: 7, stage: 3, phase: 1, cap: 1_000_000 });
    let [config, operator, settings, program] = [&b"c"[..], b"o", b"s", b"p"].map(digest);
    Version { list, rollout, config, operator, settings, program }
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    /// Steps of a renewal.
    pub steps: u64,
    /// Bytes of asks, heads counted in.
    pub asked: u64,
    /// Bytes of answers, heads counted in.
    pub answered: u64,
    /// Heads alone, both ways.
    pub heads: u64,
    /// Seconds of processor time of all fronts.
    pub fronts_s: f64,
    /// The same of all planners.
    pub planners_s: f64,
    /// Asks at all planners.
    pub asks: u64,
    /// Bytes of lists in asks.
    pub lists: u64,
    /// Exchanges among planners; none without the form `paced`, where every planner has every span from its front.
    pub exchanges: u64,
    /// Their bytes, both ways.
    pub exchanged: u64,
    /// Seconds of processor time of them, both sides.
    pub exchanges_s: f64,
}

/// A fleet in virtual time.
pub struct World {
    fronts: Vec<FrontSide>,
    /// The planners.
    pub planners: Vec<Planner>,
    ready: BTreeMap<u32, u16>,
    machines: Vec<u32>,
    now: u64,
    renew: u64,
    paced: bool,
    index: u64,
    rate: f64,
    near: usize,
    chance: u64,
    due: f64,
    /// What was counted since it was last set back.
    pub counted: Counted,
}

impl World {
    /// So many fronts and planners, each front with so many attempts a second to the machines near it; with the form
    /// `paced` or without.
    pub fn new(
        (fronts, planners): (usize, usize),
        machines: usize,
        (rate, near): (f64, usize),
        (seed, at_pace): (u64, bool),
    ) -> Self {
        let fleet = fleet(fronts, planners);
        let fleet = if at_pace { paced(fleet) } else { fleet };
        let names: Vec<String> = fleet.members.iter().map(|m| m.name.clone()).collect();
        let (planner_names, front_names) = names.split_at(planners);
        let side = |n: &String| FrontSide::new(fleet.clone(), n, WALL, version());
        let planner = |n: &String| Planner::new(fleet.clone(), n, WALL, DAY, ReportLog::default());
        let machines: Vec<u32> =
            (0..machines).map(|n| machine_id(&format!("s{}-m{n}", n % target::SERVICES))).collect();
        let mut world = Self {
            fronts: front_names.iter().map(side).collect(),
            planners: planner_names.iter().map(planner).collect(),
            ready: machines.iter().map(|m| (*m, 7)).collect(),
            machines,
            now: DAY,
            renew: fleet.renew,
            paced: at_pace,
            index: 40,
            rate,
            near,
            chance: seed | 1,
            due: 0.0,
            counted: Counted::default(),
        };
        world.change();
        (0..WARM).for_each(|_| world.step());
        world.counted = Counted::default();
        world
    }

    fn drawn(&mut self, below: usize) -> usize {
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.chance >> 33) as usize % below.max(1)
    }

    /// The list changes by one machine, and every front is told; seconds of processor time of all of them in the core.
    pub fn change(&mut self) -> f64 {
        self.index += 1;
        let gone = self.machines[self.index as usize % self.machines.len()];
        let mut ready = self.ready.clone();
        ready.remove(&gone);
        let (at, list) = ((self.now, WALL + self.now), (self.index, digest(&self.index.to_le_bytes())));
        let told: Vec<_> = self.fronts.iter().map(|_| ready.clone()).collect();
        timed(|| {
            for (front, ready) in self.fronts.iter_mut().zip(told) {
                front.list_received(at, list, ListSource::Discovery, ready);
            }
        })
        .0
    }

    /// A renewal: every front closes a span and sends every planner a heartbeat, or with the form `paced` those due.
    pub fn step(&mut self) {
        let parts = if self.paced { ASKED } else { 1 };
        for part in 1..=parts {
            self.now += self.renew / parts;
            self.attempts(self.renew / parts);
            let (now, wall) = (self.now, WALL + self.now);
            if part == parts {
                self.counted.fronts_s += timed(|| self.fronts.iter_mut().for_each(|f| f.tick(now, wall))).0;
            }
            (0..self.planners.len()).for_each(|p| self.heartbeats(p));
            // Danger: where planners don't hear of spans from each other, fronts carry them to every one after a bound.
            if self.paced && now % EXCHANGED_EVERY == 0 {
                self.exchange();
            }
        }
        self.counted.steps += 1;
    }

    /// What fronts sent to machines in this time.
    fn attempts(&mut self, time: u64) {
        self.due += self.rate * time as f64 / 1e6;
        let attempts = self.due as usize;
        self.due -= attempts as f64;
        for n in 0..self.fronts.len() {
            for _ in 0..attempts {
                // Neighbours share machines, as subsets of fronts do.
                let at = n * 13 + self.drawn(self.near);
                let machine = self.machines[at % self.machines.len()];
                self.fronts[n].recorder().record_attempt(machine, 7);
                self.fronts[n].recorder().record_admitted();
            }
            self.fronts[n].list_confirmed(self.now);
        }
    }

    /// Heartbeats to one planner, and its answers.
    fn heartbeats(&mut self, p: usize) {
        let (now, at_pace) = (self.now, self.paced);
        let (counted, planner) = (&mut self.counted, &mut self.planners[p]);
        let (took, asks) = timed(|| -> Vec<(usize, Vec<u8>)> {
            let fronts = self.fronts.iter_mut().enumerate();
            fronts
                .filter_map(|(n, front)| {
                    let due = !at_pace || front.next_heartbeat_at(p, now) <= now;
                    due.then(|| (n, encode_with_list(&mut front.heartbeat(p, now))))
                })
                .collect()
        });
        counted.fronts_s += took;
        let answer = |(_, body): &(usize, Vec<u8>)| {
            let ask = decode_with_list::<Heartbeat>(body).ok()?;
            Some(encode_with_list(&mut planner.handle_heartbeat(now, ask).ok()?))
        };
        let (took, answers) = timed(|| -> Vec<Option<Vec<u8>>> { asks.iter().map(answer).collect() });
        counted.planners_s += took;
        let from = spent();
        for ((n, _), answer) in asks.iter().zip(&answers) {
            match answer.as_ref().and_then(|a| decode_with_list::<HeartbeatResponse>(a).ok()) {
                Some(answer) => {
                    self.fronts[*n].heartbeat_answered(p, now, now, answer);
                }
                None => self.fronts[*n].heartbeat_failed(p, now),
            }
        }
        counted.fronts_s += spent() - from;
        for ((_, ask), answer) in asks.iter().zip(&answers) {
            let answer = answer.as_deref().unwrap_or_default();
            let (came, went) = (on_link(ask, true), on_link(answer, false));
            counted.asked += came;
            counted.answered += went;
            counted.heads += came + went - (ask.len() + answer.len()) as u64;
            if let Some(list) = decode_with_list::<Heartbeat>(ask).ok().and_then(|a| a.ready) {
                counted.lists += encode(&list).len() as u64;
            }
        }
        counted.asks += asks.len() as u64;
    }

    /// Every planner gets from every other one what it lacks.
    fn exchange(&mut self) {
        let now = self.now;
        for p in 0..self.planners.len() {
            for other in (0..self.planners.len()).filter(|o| *o != p) {
                let (took, bytes) = timed(|| -> Option<usize> {
                    let pull = encode(&self.planners[p].pull_request());
                    let pushed = encode(&self.planners[other].answer_pull(now, &decode(&pull).ok()?).ok()?);
                    self.planners[p].apply_pull_response(now, decode::<PullResponse>(&pushed).ok()?);
                    Some(pull.len() + pushed.len())
                });
                self.counted.exchanges += 1;
                self.counted.exchanged += bytes.unwrap_or(0) as u64;
                self.counted.exchanges_s += took;
            }
        }
    }

    /// Seconds of virtual time counted.
    pub fn seconds(&self) -> f64 {
        self.counted.steps as f64 * self.renew as f64 / 1e6
    }
}

/// Bytes of a message with the head that the program's encoder writes.
fn on_link(body: &[u8], ask: bool) -> u64 {
    let whole = match ask {
        true => Encoder::new(format_args!("POST /fleet/report HTTP/1.1"))
            .field("Host", format_args!("127.0.0.1:18443"))
            .field("Content-Length", format_args!("{}", body.len()))
            .body(body),
        false => Encoder::new(format_args!("HTTP/1.1 200 OK"))
            .field("Content-Length", format_args!("{}", body.len()))
            .body(body),
    };
    whole.len() as u64
}

/// The member's side of the running front, told a whole list.
pub fn listed_member(rows: Vec<Row>) -> Rc<yarrowspoke_front::fleet_member::Member> {
    let discovery = Discovery::new(([127, 0, 0, 1], 9).into(), Names::default(), 0, 0);
    let fleet = fleet(target::FRONTS, target::PLANNERS);
    let member = yarrowspoke_front::fleet_member::Member::new(fleet, "front-17", (1, 2, 3), discovery, 0);
    member.apply_list(ListUpdate::Snapshot, 41, rows);
    member
}

/// So many rows. They are made without a list to decode: what that gives back to the allocator would hide what a member takes.
pub fn rows(machines: usize) -> Vec<Row> {
    let row = |n: usize| {
        let address = ([127, (1 + n / 62_500) as u8, (1 + n / 250 % 250) as u8, (1 + n % 250) as u8], 8080);
        Row { address: Some(address.into()), entry: module::entry(n, MachineState::Ready) }
    };
    (0..machines).map(row).collect()
}

/// A record of so many spans of each of so many fronts, as a planner keeps it.
pub fn kept(fronts: usize, spans: usize) -> ReportLog {
    let mut book = ReportLog::default();
    for n in 0..fronts {
        let mut recorder = Recorder::new(0, version(), spans.max(2));
        for span in 1..=spans as u64 {
            for at in 0..NEAR / 2 {
                recorder.record_attempt(machine_id(&format!("m{}", n * 13 + at)), 7);
            }
            recorder.close(span * 200_000, WALL + span * 200_000, version(), Stance::Open);
        }
        for report in recorder.reports_after(0, spans) {
            let _ = book.insert(&format!("front-{n}"), WALL, report);
        }
    }
    book
}

/// Slopes of control.
pub fn measure(options: &Options, seen: &mut Report, tick: &dyn Fn(&str)) {
    let met = seen.slopes.iter().find(|s| s.quantity == "machines that one front sends to");
    let near = met.and_then(|s| s.points.last()).map_or(NEAR, |p| p.1 as usize).max(1);
    let rate = target::REQUESTS_PER_S / target::FRONTS as f64;
    over_fronts(options, seen, tick, (rate, near));
    over_rates(options, seen, tick, near);
    over_machines(options, seen, tick, (rate, near));
    over_record(options, seen, tick);
}

fn over_fronts(options: &Options, seen: &mut Report, tick: &dyn Fn(&str), load: (f64, usize)) {
    // Several paces, where there is one.
    let steps = if options.small || options.quick { 10 } else { 25 } * if options.paced { 2 } else { 1 };
    let mut of: [Vec<(f64, f64)>; 9] = Default::default();
    for fronts in &options.sizes.fronts {
        tick(&format!("control, {fronts} fronts"));
        let size = *fronts as f64;
        let mut world = World::new((*fronts, target::PLANNERS), 600, load, (options.seed, options.paced));
        (0..steps).for_each(|_| world.step());
        let (c, each) = (world.counted, size * world.seconds());
        let held = world.planners[0].report_log.bytes() as f64;
        let minute = 60.0 / (world.seconds() + WARM as f64 * world.renew as f64 / 1e6);
        let now = world.now;
        let planner = &mut world.planners[0];
        let moved = median((0..5).map(|_| 1e6 * timed(|| planner.changed_steps(now)).0).collect());
        let pull = 1e6 * timed(|| encode(&planner.pull_request())).0;
        let asked = Pull { planner: "planner-1".to_owned(), ..planner.pull_request() };
        let (gave, pushed) = timed(|| {
            let asked: Pull = decode(&encode(&asked)).ok()?;
            planner.answer_pull(now, &asked).ok().map(|p| encode(&p))
        });
        let pushed = pushed.unwrap_or_default();
        let (took, ()) = timed(|| {
            if let Ok(pushed) = decode::<PullResponse>(&pushed) {
                planner.apply_pull_response(now, pushed);
            }
        });
        // Where planners have spans from each other, exchanges carry them: as they were, not one that lacks nothing.
        let (exchange_us, exchange_bytes) = match c.exchanges {
            0 => (pull + 1e6 * (gave + took), (encode(&asked).len() + pushed.len()) as f64),
            n => (1e6 * c.exchanges_s / n as f64, c.exchanged as f64 / n as f64),
        };
        let values = [
            (c.asked + c.answered) as f64 / each,
            c.heads as f64 / each,
            1e6 * c.planners_s / c.asks as f64,
            1e3 * c.fronts_s / each,
            held * minute,
            moved,
            exchange_us,
            exchange_bytes,
            c.asks as f64 / each / target::PLANNERS as f64,
        ];
        of.iter_mut().zip(values).for_each(|(points, v)| points.push((size, v)));
    }
    let [bytes, heads, ask, front, book, moved, pull, between, heartbeats] = of;
    slope(
        seen,
        ("front", "control: bytes both ways, all planners, heads counted in", "bytes a second", "fronts"),
        bytes,
    );
    slope(seen, ("front", "control: heads of HTTP among them", "bytes a second", "fronts"), heads);
    slope(seen, ("front", "control: heartbeats to one planner", "a second", "fronts"), heartbeats);
    slope(seen, ("planner", "a heartbeat with its answer, a short record", "us of processor", "fronts"), ask);
    slope(
        seen,
        ("front", "control: spans, heartbeats and answers", "ms of processor a second", "fronts"),
        front,
    );
    slope(seen, ("planner", "its record, as it counts it", "bytes a minute", "fronts"), book);
    slope(
        seen,
        ("planner", "looking for steps that have changed, ten times a second", "us of processor", "fronts"),
        moved,
    );
    slope(
        seen,
        (
            "planner",
            "one exchange with another planner, both sides, a short record",
            "us of processor",
            "fronts",
        ),
        pull,
    );
    slope(seen, ("planner", "one exchange with another planner", "bytes", "fronts"), between);
}

fn over_rates(options: &Options, seen: &mut Report, tick: &dyn Fn(&str), near: usize) {
    let (mut bytes, mut front) = (vec![], vec![]);
    for rate in &options.sizes.rates {
        tick(&format!("control, {rate} requests/s a front"));
        let mut world = World::new((50, target::PLANNERS), 600, (*rate, near), (options.seed, options.paced));
        (0..25).for_each(|_| world.step());
        let (c, each) = (world.counted, 50.0 * world.seconds());
        bytes.push((*rate, (c.asked + c.answered) as f64 / each));
        front.push((*rate, 1e3 * c.fronts_s / each));
    }
    let over = "requests a second a front";
    slope(
        seen,
        ("front", "control: bytes both ways, all planners, 50 fronts", "bytes a second", over),
        bytes,
    );
    slope(
        seen,
        ("front", "control: spans, heartbeats and answers, 50 fronts", "ms of processor a second", over),
        front,
    );
}

fn over_machines(options: &Options, seen: &mut Report, tick: &dyn Fn(&str), load: (f64, usize)) {
    const FRONTS: usize = 20;
    let mut of: [Vec<(f64, f64)>; 7] = Default::default();
    for machines in &options.sizes.machines {
        tick(&format!("control, a list of {machines} that changes"));
        let size = *machines as f64;
        let mut world =
            World::new((FRONTS, target::PLANNERS), *machines, load, (options.seed, options.paced));
        // Several paces, where there is one: a change brings heartbeats forward that were due later anyhow.
        let steps = if options.paced { 15 } else { 5 };
        (0..WARM).filter(|_| options.paced).for_each(|_| world.step());
        world.counted = Counted::default();
        (0..steps).for_each(|_| world.step());
        let before = std::mem::take(&mut world.counted);
        world.change();
        (0..steps).for_each(|_| world.step());
        let after = world.counted;
        let more = |a: f64, b: f64| (a - b).max(0.0) / FRONTS as f64;
        let bytes = |c: Counted| (c.asked + c.answered) as f64;
        let rows = rows(*machines);
        let member = listed_member(rows.clone());
        let mut index = 41;
        let mut delta = || {
            index += 1;
            let mut row = rows[index as usize % rows.len()].clone();
            row.entry.started_at = index;
            1e6 * timed(|| member.apply_list(ListUpdate::Delta, index, vec![row])).0
        };
        let listed = median((0..9).map(|_| delta()).collect());
        let shown = median((0..9).map(|_| 1e6 * timed(|| member.changed_rows()).0).collect());
        let grown = probe::grown(options, "member", &[*machines]).map_or(0.0, |g| g.resident_mb);
        let values = [
            more(bytes(after), bytes(before)),
            more(after.lists as f64, before.lists as f64),
            1e3 * more(after.fronts_s, before.fronts_s),
            1e3 * more(after.planners_s, before.planners_s),
            listed,
            shown,
            grown,
        ];
        of.iter_mut().zip(values).for_each(|(points, v)| points.push((size, v)));
    }
    let [bytes, lists, front, planner, listed, shown, memory] = of;
    slope(
        seen,
        ("front", "control: bytes for one change of the list, all planners", "bytes", "machines"),
        bytes,
    );
    slope(
        seen,
        ("front", "control: bytes of whole lists for one change, all planners", "bytes", "machines"),
        lists,
    );
    slope(
        seen,
        (
            "front",
            "control: heartbeats and answers for one change of the list",
            "ms of processor",
            "machines",
        ),
        front,
    );
    slope(
        seen,
        ("planner", "one change of the list, for each front, all planners", "ms of processor", "machines"),
        planner,
    );
    slope(seen, ("front", "member: a delta of one row", "us of processor", "machines"), listed);
    slope(
        seen,
        ("front", "member: looking through all rows at each renewal", "us of processor", "machines"),
        shown,
    );
    slope(seen, ("front", "member: resident memory of its list", "MB", "machines"), memory);
}

fn over_record(options: &Options, seen: &mut Report, tick: &dyn Fn(&str)) {
    const FRONTS: usize = 10;
    let spans: &[usize] = if options.small { &[50, 100, 200, 400] } else { &[100, 400, 1_600, 6_400] };
    let (mut ask, mut exchange, mut memory, mut counted) = (vec![], vec![], vec![], vec![]);
    for spans in spans {
        tick(&format!("a planner with {spans} spans of each front"));
        let mut world = World::new((FRONTS, 1), 600, (1.0, NEAR), (options.seed, options.paced));
        (0..*spans).for_each(|_| world.step());
        world.counted = Counted::default();
        (0..10).for_each(|_| world.step());
        ask.push((*spans as f64, 1e6 * world.counted.planners_s / world.counted.asks as f64));
        let planner = &world.planners[0];
        let took = (0..3).map(|_| 1e6 * timed(|| std::hint::black_box(planner.pull_request())).0);
        exchange.push(((*spans * FRONTS) as f64, median(took.collect())));
    }
    for fronts in [50, 150, 300, target::FRONTS].map(|n| if options.small { n / 10 } else { n }) {
        let total = (fronts * 100) as f64;
        counted.push((total, kept(fronts, 100).bytes() as f64 / 1_048_576.0));
        if let Ok(grown) = probe::grown(options, "record", &[fronts, 100]) {
            memory.push((total, grown.resident_mb));
        }
    }
    slope(
        seen,
        ("planner", "a heartbeat with its answer, 10 fronts", "us of processor", "spans kept of each front"),
        ask,
    );
    slope(
        seen,
        ("planner", "saying what it has, to another planner", "us of processor", "spans kept in all"),
        exchange,
    );
    slope(
        seen,
        ("planner", "its record as it counts it, 20 machines a span", "MB", "spans kept in all"),
        counted,
    );
    slope(seen, ("planner", "its record, resident, 20 machines a span", "MB", "spans kept in all"), memory);
}
