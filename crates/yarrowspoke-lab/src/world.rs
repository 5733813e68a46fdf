//! The world in virtual time: clients, links, machines, roster and desk round real fronts.
//!
//! One queue of events, one random source: the same scenario and seed give the same run to the last event. The
//! desk counts votes and moves stages as the platform's pages say; the roster tells each front its list, late.

use crate::baselines::Ladder;
use crate::machine::{Machine, Report};
use crate::scenario::{Fault, Scenario, Trouble, CLASSES, MS, S};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Normal};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use yarrowspoke::accounting::Sample;
use yarrowspoke::interface::{
    Action, Arrival, AttemptEnd, Build, CallOutcome, Event, ListUpdate, MachineEntry, MachineState, Micros,
    Phase, RequestId, RolloutStatus, Vote, VoteMode,
};
use yarrowspoke::Front;

const EARLIER: Build = 1;
const OFFERED: Build = 2;
/// One way between front and machine.
const LINK: Micros = MS;
/// The stage's clock starts so long after all its machines run.
const CLOCK_LAG: Micros = S;
/// A vote's answer takes so long.
const CALL: Micros = 100 * MS;
/// The desk counts votes this often.
const DESK_PERIOD: Micros = 100 * MS;
/// A drained machine leaves after so long.
const DRAIN: Micros = 2 * S;
/// The baselines look on for so long once the fronts have sent a build back.
const LOOKS_ON: Micros = 10 * S;
/// Spread of a request's work: standard deviation of its logarithm.
const WORK_SPREAD: f64 = 0.6;
/// Lines of the fronts' logs that are kept; votes back are kept beyond.
const LOGS: usize = 200;
/// Share that any machine fails at any time.
const USUAL_ERRORS: f64 = 0.0005;

/// How a world ended for the build that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Sent back.
    Back,
    /// Released, and still there after it had been watched.
    Kept,
    /// Neither within the world's length.
    Held,
}

/// What a world shows in the end.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// How it ended.
    pub end: End,
    /// From the first trial machine's start to that end.
    pub took: Micros,
    /// Stage at that end, from 0.
    pub stage: u8,
    /// Requests that got no final answer, or more than one: always 0 unless a rule is broken.
    pub unanswered: u64,
    /// Requests offered.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Fronts that voted the build back at any time.
    pub fronts_back: u32,
    /// Whether each baseline, looking on, would have sent the build back by then.
    pub baselines: [bool; 3],
    /// What the fronts logged with their votes.
    pub logs: Vec<String>,
}

#[derive(Debug)]
enum Ev {
    Arrive,
    Timer(u32, u64),
    Reach { front: u32, id: RequestId, attempt: u16 },
    Answer { front: u32, id: RequestId, attempt: u16, ending: CallOutcome, load: Option<f32> },
    Deadline { front: u32, id: RequestId },
    Desk,
    Launched { place: u32 },
    Left(u32),
    List { front: u32, entries: Vec<MachineEntry> },
    News { front: u32, news: RolloutStatus },
    Vote { front: u32, build: Build, stage: u8, verdict: Vote },
}

struct Out {
    machine: u32,
    sent: Micros,
    over: bool,
}

struct Open {
    class: usize,
    work: f64,
    hint: f64,
    deadline: Micros,
    answered: bool,
    outs: Vec<Out>,
}

struct Host {
    front: Front,
    next: RequestId,
    open: HashMap<RequestId, Open>,
    ladder: Ladder,
}

struct Desk {
    stage: u8,
    phase: Phase,
    since: Micros,
    up_at: Option<Micros>,
    wanted: u32,
    running: u32,
    votes: BTreeMap<u32, (u8, Vote, Micros)>,
}

/// A world being played.
pub struct World {
    sc: Scenario,
    rng: Pcg64Mcg,
    now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    waiting: HashMap<u64, Ev>,
    hosts: Vec<Host>,
    machines: BTreeMap<u32, Machine>,
    order: Vec<u32>,
    next_machine: u32,
    desk: Desk,
    told_late: Micros,
    first_start: Option<Micros>,
    released_at: Option<Micros>,
    back_at: Option<Micros>,
    restarted: bool,
    said_back: BTreeSet<u32>,
    seed: u64,
    out: Outcome,
}

/// Plays one world to its end.
pub fn play(sc: Scenario, seed: u64) -> Outcome {
    let mut world = World::new(sc, seed);
    while world.step() {}
    world.out
}

impl World {
    fn new(sc: Scenario, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let speeds = Normal::new(1.0, sc.speed_cv).expect("a spread of speeds is finite");
        let mut machines = BTreeMap::new();
        for place in 0..sc.places {
            let speed = f64::max(speeds.sample(&mut rng), 0.5);
            let mut m = Machine::new(place, EARLIER, sc.cores, speed, 0);
            m.zone = (place % u32::from(sc.zones)) as u16;
            m.kind = (place / u32::from(sc.zones) % u32::from(sc.kinds)) as u8;
            machines.insert(place, m);
        }
        // The order in which places get the new build: by lot, but for a zone or kind that the trouble names.
        let mut order: Vec<u32> = (0..sc.places).collect();
        for i in (1..order.len()).rev() {
            order.swap(i, rng.gen_range(0..=i));
        }
        match sc.trouble {
            Trouble::SlowZone(_) => order.sort_by_key(|p| machines[p].zone != 0),
            Trouble::SlowKind(_) => order.sort_by_key(|p| machines[p].kind != 1),
            _ => {}
        }
        let told_late = rng.gen_range(100..900) * MS;
        let out = Outcome {
            end: End::Held,
            took: 0,
            stage: 0,
            unanswered: 0,
            requests: 0,
            served: 0,
            fronts_back: 0,
            baselines: [false; 3],
            logs: vec![],
        };
        let desk = Desk {
            stage: 0,
            phase: Phase::Released,
            since: 0,
            up_at: None,
            wanted: 0,
            running: 0,
            votes: BTreeMap::new(),
        };
        let mut world = Self {
            now: S,
            seq: 0,
            queue: BinaryHeap::new(),
            waiting: HashMap::new(),
            hosts: vec![],
            next_machine: sc.places,
            machines,
            order,
            desk,
            told_late,
            first_start: None,
            released_at: None,
            back_at: None,
            restarted: false,
            said_back: BTreeSet::new(),
            seed,
            rng,
            sc,
            out,
        };
        for front in 0..world.sc.fronts {
            world.start_front(front);
        }
        world.after(0, Ev::Arrive);
        let offered = world.sc.offered;
        world.after(offered, Ev::Desk);
        world
    }

    fn start_front(&mut self, me: u32) {
        let mut acts = vec![];
        let settings = self.sc.settings(me);
        let front = Front::new(self.seed ^ u64::from(me) << 40, settings, self.now, &mut acts);
        let ladder = Ladder::new(&self.sc);
        let host = Host { front, next: 1, open: HashMap::new(), ladder };
        if (me as usize) < self.hosts.len() {
            self.hosts[me as usize] = host;
        } else {
            self.hosts.push(host);
        }
        self.carry(me, acts);
        let entries = self.entries();
        let as_of = self.now;
        self.say(me, &Event::List { kind: ListUpdate::Cached, version: 0, as_of, entries: &entries });
        let news = self.news();
        self.say(me, &Event::RolloutStatus(news));
    }

    fn after(&mut self, span: Micros, ev: Ev) {
        self.seq += 1;
        self.queue.push(Reverse((self.now + span, self.seq)));
        self.waiting.insert(self.seq, ev);
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, seq))) = self.queue.pop() else { return false };
        let Some(ev) = self.waiting.remove(&seq) else { return true };
        self.now = at;
        if at > self.sc.length {
            self.finish(End::Held);
            return false;
        }
        match ev {
            Ev::Arrive => self.arrive(),
            Ev::Timer(front, name) => {
                self.say(front, &Event::Timer { name });
                let now = self.now;
                let host = &mut self.hosts[front as usize];
                host.ladder.look(now);
            }
            Ev::Reach { front, id, attempt } => self.reach(front, id, attempt),
            Ev::Answer { front, id, attempt, ending, load } => self.answer(front, id, attempt, ending, load),
            Ev::Deadline { front, id } => self.deadline(front, id),
            Ev::Desk => return self.desk_looks(),
            Ev::Launched { place } => self.launched(place),
            Ev::Left(machine) => {
                self.machines.remove(&machine);
                self.tell_lists();
            }
            Ev::List { front, entries } => {
                let (kind, as_of) = (ListUpdate::Snapshot, self.now);
                self.say(front, &Event::List { kind, version: 0, as_of, entries: &entries });
            }
            Ev::News { front, news } => self.say(front, &Event::RolloutStatus(news)),
            Ev::Vote { front, build, stage, verdict } => self.vote(front, build, stage, verdict),
        }
        true
    }

    fn finish(&mut self, end: End) {
        self.out.end = if self.back_at.is_some() { End::Back } else { end };
        if self.back_at.is_none() {
            self.out.stage = self.desk.stage;
            self.out.took = self.now.saturating_sub(self.first_start.unwrap_or(self.now));
        }
        for (i, said) in self.out.baselines.iter_mut().enumerate() {
            let votes = self.hosts.iter().filter(|h| h.ladder.said_back[i]).count();
            *said = votes as u32 >= self.sc.back_votes;
        }
        self.queue.clear();
    }

    // ---- Clients and links ---------------------------------------------------------------------------
    fn arrive(&mut self) {
        let gap: f64 = Exp::new(self.sc.rate).expect("a rate above zero").sample(&mut self.rng);
        self.after((gap * 1e6) as Micros, Ev::Arrive);
        let mut pick: f64 = self.rng.gen();
        let mut class = CLASSES.len() - 1;
        for (i, c) in CLASSES.iter().enumerate() {
            if pick < c.1 {
                class = i;
                break;
            }
            pick -= c.1;
        }
        let spread = LogNormal::new(-WORK_SPREAD * WORK_SPREAD / 2.0, WORK_SPREAD).expect("a finite spread");
        let work = CLASSES[class].0 as f64 * spread.sample(&mut self.rng);
        let rough = work * self.rng.gen_range(0.7..1.4);
        let front = self.rng.gen_range(0..self.sc.fronts);
        let host = &mut self.hosts[front as usize];
        let id = host.next;
        host.next += 1;
        let remaining = 2 * S;
        let deadline = self.now + remaining;
        host.open.insert(id, Open { class, work, hint: rough, deadline, answered: false, outs: vec![] });
        self.out.requests += 1;
        self.after(remaining, Ev::Deadline { front, id });
        let hint = Some(rough as Micros);
        let arrival = Arrival {
            id,
            class: class as u8,
            remaining,
            key: 0,
            tenant: 0,
            work_hint: hint,
            is_retry: false,
            policy: Default::default(),
        };
        self.say(front, &Event::Request(arrival));
    }

    fn say(&mut self, front: u32, event: &Event) {
        let mut acts = vec![];
        self.hosts[front as usize].front.handle(self.now, event, &mut acts);
        self.carry(front, acts);
    }

    fn carry(&mut self, front: u32, acts: Vec<Action>) {
        for act in acts {
            match act {
                Action::Send { id, machine, .. } => {
                    let now = self.now;
                    let Some(open) = self.hosts[front as usize].open.get_mut(&id) else { continue };
                    let attempt = open.outs.len() as u16;
                    open.outs.push(Out { machine, sent: now, over: false });
                    self.after(LINK, Ev::Reach { front, id, attempt });
                }
                Action::Refuse { id, .. } | Action::Fail { id } => self.end_request(front, id),
                Action::Cancel { id, attempt } => {
                    self.after(
                        0,
                        Ev::Answer { front, id, attempt, ending: CallOutcome::Cancelled, load: None },
                    );
                }
                Action::Timer { name, after } => self.after(after, Ev::Timer(front, name)),
                Action::Vote { build, stage, vote: verdict } => {
                    self.after(CALL, Ev::Vote { front, build, stage, verdict });
                }
                Action::Log(line) => {
                    if self.out.logs.len() < LOGS
                        || line.starts_with("RollBack") && self.out.logs.len() < 2 * LOGS
                    {
                        self.out.logs.push(format!("{:.2} {front}: {line}", self.now as f64 / 1e6));
                    }
                }
                Action::Probe { .. }
                | Action::Subscribe(_)
                | Action::FetchList
                | Action::CloseIdle { .. }
                | Action::SendToPeer { .. } => {}
            }
        }
    }

    fn end_request(&mut self, front: u32, id: RequestId) {
        let Some(open) = self.hosts[front as usize].open.get_mut(&id) else { return };
        self.out.unanswered += u64::from(open.answered);
        open.answered = true;
    }

    /// A client's time is over; what is still out ends as timed out.
    fn deadline(&mut self, front: u32, id: RequestId) {
        let Some(open) = self.hosts[front as usize].open.get(&id) else { return };
        let out: Vec<u16> = (0..open.outs.len()).filter(|i| !open.outs[*i].over).map(|i| i as u16).collect();
        for attempt in out {
            self.answer(front, id, attempt, CallOutcome::Timeout, None);
        }
        if let Some(open) = self.hosts[front as usize].open.remove(&id) {
            self.out.unanswered += u64::from(!open.answered);
        }
    }

    fn reach(&mut self, front: u32, id: RequestId, attempt: u16) {
        let Some(open) = self.hosts[front as usize].open.get(&id) else { return };
        let Some(out) = open.outs.get(usize::from(attempt)).filter(|o| !o.over) else { return };
        let (id_machine, class, work, deadline) = (out.machine, open.class, open.work, open.deadline);
        let slow = self.slowdown(id_machine);
        let (now, fails) = (self.now, self.fails(id_machine, class));
        let Some(m) = self.machines.get_mut(&id_machine) else {
            self.after(
                LINK,
                Ev::Answer { front, id, attempt, ending: CallOutcome::ConnectFailed, load: None },
            );
            return;
        };
        // A failing request costs its machine a little work only.
        let work = if fails { work * 0.2 } else { work * slow };
        let ended = m.take(now, work);
        let load = m.reports(now);
        let (end, ending) = match ended {
            None => (now, CallOutcome::Rejected),
            Some(end) => (end, if fails { CallOutcome::Error } else { CallOutcome::Ok }),
        };
        if end + LINK < deadline {
            self.after(end + LINK - now, Ev::Answer { front, id, attempt, ending, load });
        }
    }

    fn answer(&mut self, front: u32, id: RequestId, attempt: u16, ending: CallOutcome, load: Option<f32>) {
        let now = self.now;
        let host = &mut self.hosts[front as usize];
        let Some(open) = host.open.get_mut(&id) else { return };
        let Some(out) = open.outs.get_mut(usize::from(attempt)).filter(|o| !o.over) else { return };
        out.over = true;
        let (machine, took, class, hint) = (out.machine, now - out.sent, open.class, open.hint);
        let first = ending == CallOutcome::Ok && !open.answered;
        open.answered |= first;
        let settled = open.answered;
        self.out.served += u64::from(first);
        let values: Vec<f32> = load.into_iter().collect();
        if let Some(m) = self.machines.get(&machine) {
            let timed = ending == CallOutcome::Ok && (m.started == 0 || now > m.started + 8 * S);
            let warm = m.started == 0 || now > m.started + 2 * S;
            if warm && matches!(ending, CallOutcome::Ok | CallOutcome::Error) {
                let pace = load.map(f64::from).filter(|p| timed && p.is_finite() && *p > 0.0);
                let ok = ending == CallOutcome::Ok;
                let own = timed.then_some(took as f64 / hint.max(1.0));
                let seen = Sample { at: now, machine, kind: m.kind, class, ok, pace, measured_pace: own };
                host.ladder.note(m.build == OFFERED, seen);
            }
        }
        let ended = AttemptEnd {
            id,
            attempt,
            machine,
            outcome: ending,
            request_done: settled,
            duration: took,
            load_report: &values,
        };
        self.say(front, &Event::AttemptEnded(ended));
    }

    // ---- Machines ------------------------------------------------------------------------------------
    /// How many times its work a request now costs on a machine.
    fn slowdown(&self, machine: u32) -> f64 {
        let Some(m) = self.machines.get(&machine) else { return 1.0 };
        let new = self.machines.values().filter(|m| m.build == OFFERED).count() as f64;
        let mut slow = match self.sc.fault {
            Some(Fault::Slow(times)) if m.build == OFFERED => times,
            Some(Fault::Shared(times)) => 1.0 + (times - 1.0) * new / f64::from(self.sc.places),
            _ => 1.0,
        };
        slow *= match self.sc.trouble {
            Trouble::SlowZone(times) if m.zone == 0 => times,
            Trouble::SlowKind(times) if m.kind == 1 => times,
            Trouble::SharedSlow(times, span) => {
                let from = self.first_start.unwrap_or(Micros::MAX).saturating_add(3 * S);
                if self.now >= from && self.now < from.saturating_add(span) {
                    times
                } else {
                    1.0
                }
            }
            _ => 1.0,
        };
        slow
    }

    /// Whether a request of `class` fails on a machine now.
    fn fails(&mut self, machine: u32, class: usize) -> bool {
        let now = self.now;
        let Some(m) = self.machines.get(&machine) else { return false };
        let mut share = USUAL_ERRORS;
        if m.build == OFFERED {
            share = share.max(match self.sc.fault {
                Some(Fault::Errors(s)) => s,
                Some(Fault::Class(c, s)) if c == class => s,
                Some(Fault::Late(after, s)) if now > m.started + after => s,
                Some(Fault::Load(above, s)) if m.busy(now) > above => s,
                _ => 0.0,
            });
        }
        if now < m.sick_until {
            share = share.max(m.sick);
        }
        share = share.max(match self.sc.trouble {
            Trouble::Runs(s) if (now / S).is_multiple_of(3) => s,
            Trouble::EarlierErrs(s) => s,
            _ => 0.0,
        });
        self.rng.gen_bool(share.clamp(0.0, 1.0))
    }

    fn launched(&mut self, place: u32) {
        let id = self.next_machine;
        self.next_machine += 1;
        let speeds = Normal::new(self.sc.speed, self.sc.speed_cv).expect("a spread of speeds is finite");
        let speed = f64::max(speeds.sample(&mut self.rng), 0.4);
        let mut m = Machine::new(place, OFFERED, self.sc.cores, speed, self.now);
        let olds: Vec<u32> = self.machines.iter().filter(|m| m.1.place == place).map(|m| *m.0).collect();
        for old in olds {
            let earlier = self.machines.get_mut(&old).expect("it was just listed");
            (m.zone, m.kind) = (earlier.zone, earlier.kind);
            earlier.state = MachineState::Draining;
            self.after(DRAIN, Ev::Left(old));
        }
        let first = self.first_start.is_none();
        match self.sc.trouble {
            Trouble::SickMachine(share, span) if first => {
                (m.sick, m.sick_until) = (share, self.now + span);
            }
            Trouble::SickPart(part, share, span) if self.rng.gen_bool(part) => {
                (m.sick, m.sick_until) = (share, self.now + span);
            }
            Trouble::Reports => {
                m.report = match id % 5 {
                    0 => Report::Frozen,
                    1 => Report::Missing,
                    2 => Report::Says(0.0),
                    3 => Report::Says(1e30),
                    _ => Report::Says(f32::NAN),
                };
            }
            _ => {}
        }
        self.first_start.get_or_insert(self.now);
        self.machines.insert(id, m);
        self.desk.running += 1;
        if self.desk.running >= self.desk.wanted {
            self.desk.up_at = Some(self.now);
        }
        self.tell_lists();
    }

    // ---- Roster --------------------------------------------------------------------------------------
    fn entries(&self) -> Vec<MachineEntry> {
        let line = |(id, m): (&u32, &Machine)| MachineEntry {
            machine: *id,
            zone: m.zone,
            kind: m.kind,
            build: m.build,
            cell: 0,
            state: m.state,
            weight: 1.0,
            started_at: m.started,
        };
        self.machines.iter().map(line).collect()
    }

    fn tell_lists(&mut self) {
        let entries = self.entries();
        for front in 0..self.sc.fronts {
            let late = self.told_late + self.rng.gen_range(0..100) * MS;
            self.after(late, Ev::List { front, entries: entries.clone() });
        }
    }

    // ---- Desk ----------------------------------------------------------------------------------------
    fn news(&self) -> RolloutStatus {
        let offered = self.now >= self.sc.offered;
        let d = &self.desk;
        let caps = self.sc.settings(0).release.caps;
        RolloutStatus {
            build: if offered { OFFERED } else { EARLIER },
            stage: if offered { d.stage } else { caps.len() as u8 - 1 },
            phase: d.phase,
            is_vote_reply: false,
            outcome: CallOutcome::Ok,
            cap: if offered { caps[usize::from(d.stage)] } else { 1.0 },
            age: self.now.saturating_sub(d.since),
        }
    }

    fn tell_news(&mut self) {
        let news = self.news();
        for front in 0..self.sc.fronts {
            let late = CALL + self.rng.gen_range(0..50) * MS;
            self.after(late, Ev::News { front, news });
        }
    }

    fn enter(&mut self, stage: u8) {
        let share = self.sc.settings(0).release.stage_shares[usize::from(stage)];
        let wanted = (share * f64::from(self.sc.places)).floor().max(1.0) as u32;
        for i in self.desk.wanted..wanted {
            let place = self.order[i as usize];
            let boot = self.rng.gen_range(1_000..2_500) * MS;
            self.after(boot, Ev::Launched { place });
        }
        let d = &mut self.desk;
        (d.stage, d.phase, d.since, d.up_at, d.wanted) = (stage, Phase::Trial, self.now, None, wanted);
        self.tell_news();
    }

    fn vote(&mut self, front: u32, build: Build, stage: u8, verdict: Vote) {
        let valid = build == OFFERED && stage == self.desk.stage;
        if valid && verdict == Vote::RollBack && self.said_back.insert(front) {
            self.out.fronts_back += 1;
        }
        if valid {
            self.desk.votes.insert(front, (stage, verdict, self.now + 6 * S));
        }
        let mut news = self.news();
        (news.is_vote_reply, news.outcome) =
            (true, if valid { CallOutcome::Ok } else { CallOutcome::NotSent });
        self.after(CALL, Ev::News { front, news });
    }

    fn desk_looks(&mut self) -> bool {
        self.after(DESK_PERIOD, Ev::Desk);
        if self.desk.wanted == 0 {
            self.enter(0);
            return true;
        }
        let (now, stage) = (self.now, self.desk.stage);
        if (now - self.sc.offered) % (2 * S) < DESK_PERIOD {
            self.tell_news();
        }
        if self.sc.trouble == Trouble::Restart && stage == 1 && !self.restarted && self.desk.up_at.is_some() {
            self.restarted = true;
            self.restart_all();
        }
        let stands = |wanted: Vote| {
            let of = move |v: &&(u8, Vote, Micros)| v.1 == wanted && v.2 > now;
            self.desk.votes.values().filter(of).filter(|v| v.0 == stage || wanted == Vote::RollBack).count()
                as u32
        };
        // The build is gone from here on as far as the fronts go; the baselines may look on a little longer.
        if stands(Vote::RollBack) >= self.sc.back_votes && self.back_at.is_none() {
            self.back_at = Some(now);
            (self.out.stage, self.out.took) = (stage, now - self.first_start.unwrap_or(now));
        }
        if let Some(at) = self.back_at {
            if now >= at + LOOKS_ON || self.hosts.iter().all(|h| h.ladder.said_back == [true; 3]) {
                self.finish(End::Back);
                return false;
            }
            return true;
        }
        if let Some(at) = self.released_at {
            if now >= at + self.sc.watched {
                self.finish(End::Kept);
                return false;
            }
            return true;
        }
        let clock = self.desk.up_at.map_or(0, |at| now.saturating_sub(at + CLOCK_LAG));
        let release = self.sc.settings(0).release;
        let goes = match self.sc.mode {
            VoteMode::Automatic => clock >= release.stage_time && stands(Vote::Hold) < release.hold_votes,
            VoteMode::FirstVote => clock >= release.min_stage_time && stands(Vote::Advance) >= 1,
            VoteMode::Quorum => clock >= release.min_stage_time && stands(Vote::Advance) >= self.sc.on_votes,
        };
        if goes {
            self.desk.votes.clear();
            if usize::from(stage) + 1 < release.stage_shares.len() {
                self.enter(stage + 1);
            } else {
                self.released_at = Some(now);
                (self.desk.phase, self.desk.since) = (Phase::Released, now);
                self.tell_news();
            }
        }
        true
    }

    /// Every front dies and comes back knowing only its settings, the list and the news.
    fn restart_all(&mut self) {
        self.waiting.retain(|_, ev| {
            !matches!(
                ev,
                Ev::Timer(..) | Ev::Reach { .. } | Ev::Answer { .. } | Ev::Deadline { .. } | Ev::List { .. }
            )
        });
        for front in 0..self.sc.fronts {
            self.start_front(front);
        }
        self.tell_lists();
    }
}
