//! A front as a member of a fleet: carries out what `yarrowspoke_fleet::front` decides.
//!
//! What planners take away reaches the decision module as what its own sources might have told: a machine that drains, a cap
//! that falls. So the module needs no word of the fleet, and nothing here can give a request more than the module would.

use crate::input::{Input, Row};
use crate::net::fleet::{send_message, LinkError};
use crate::net::list::Discovery;
use crate::net::with_timeout;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yarrowspoke::interface::{Build, ListUpdate, MachineId, MachineState, Micros, Phase, RolloutStatus};
use yarrowspoke_fleet::front::{FrontSide, ResponseEffect, Restrictions};
use yarrowspoke_fleet::settings::Fleet;
use yarrowspoke_fleet::span::Stance;
use yarrowspoke_fleet::version::{self, digest, ListSource, Version};
use yarrowspoke_fleet::wire::{decode_with_list, encode_with_list, HeartbeatResponse};

/// Least time between two times at which the front's own sources are asked again for being behind.
const AGAIN_EVERY: Duration = Duration::from_secs(2);
/// Least time between two lines on one planner that cannot be heard.
const COMPLAIN_EVERY: Duration = Duration::from_secs(10);
const PHASES: [Phase; 4] = [Phase::Trial, Phase::Released, Phase::RollingBack, Phase::Withdrawn];

/// Digests of a front's files: the configuration, the operator's file, the settings that all fronts share.
pub type Digests = (u64, u64, u64);

/// What of a configuration all fronts share; the rest, a list of thousands of lines among it, is passed over.
#[derive(Default, Deserialize)]
struct Shared {
    #[serde(default)]
    settings: serde_json::Value,
}

/// Digests of the files as they are now.
pub fn digests(config: &Path, operator: Option<&Path>) -> Digests {
    let bytes = std::fs::read(config).unwrap_or_default();
    let mut settings = serde_json::from_slice::<Shared>(&bytes).map(|s| s.settings).unwrap_or_default();
    // Which front it is and where it stands differ by design.
    if let Some(fields) = settings.as_object_mut() {
        ["Me", "Zone"].iter().for_each(|f| drop(fields.remove(*f)));
    }
    let text = operator.and_then(|p| std::fs::read_to_string(p).ok()).unwrap_or_default();
    // So do the addresses at which it reaches the others.
    let mut parts = text.split("(address");
    let first = parts.next().unwrap_or("").to_owned();
    let rest: String = parts.map(|p| p.split_once(')').map_or("", |p| p.1)).collect();
    (digest(&bytes), digest((first + &rest).as_bytes()), digest(settings.to_string().as_bytes()))
}

/// A digest of the program that runs; it is read once, however many members one process has.
fn program() -> u64 {
    static DIGEST: OnceLock<u64> = OnceLock::new();
    *DIGEST.get_or_init(|| std::env::current_exe().and_then(std::fs::read).map_or(0, |b| digest(&b)))
}

fn phase(p: Phase) -> u8 {
    PHASES.iter().position(|q| *q == p).unwrap_or(0) as u8
}

fn told(news: &RolloutStatus) -> version::RolloutStatus {
    let cap = (news.cap.clamp(0.0, 1.0) * 1e6).round() as u32;
    version::RolloutStatus { build: news.build, stage: news.stage, phase: phase(news.phase), cap }
}

/// The member.
pub struct Member {
    side: RefCell<FrontSide>,
    begun: Instant,
    discovery: Rc<Discovery>,
    rows: RefCell<BTreeMap<MachineId, Row>>,
    /// What the module was last told of each machine.
    shown: RefCell<BTreeMap<MachineId, (MachineState, Build)>>,
    /// By what was left out of that.
    taken_away: Cell<Option<Restrictions>>,
    news: Cell<Option<RolloutStatus>>,
    shown_news: Cell<Option<version::RolloutStatus>>,
    again: Cell<Option<Instant>>,
    stance: Cell<Stance>,
    come_back: Micros,
    twin: Cell<bool>,
}

impl Member {
    /// A member that has just started.
    pub fn new(
        fleet: Fleet,
        name: &str,
        digests: Digests,
        discovery: Rc<Discovery>,
        most_back: Micros,
    ) -> Rc<Self> {
        let (config, operator, settings) = digests;
        let list = version::List { index: 0, source: ListSource::Cached, epoch: 0, digest: 0 };
        let version = Version { list, rollout: None, config, operator, settings, program: program() };
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_micros() as u64);
        let come_back = fleet.back_after.max(fleet.renew).min(most_back);
        Rc::new(Self {
            side: RefCell::new(FrontSide::new(fleet, name, incarnation, version)),
            begun: Instant::now(),
            discovery,
            rows: RefCell::default(),
            shown: RefCell::default(),
            taken_away: Cell::new(None),
            news: Cell::new(None),
            shown_news: Cell::new(None),
            again: Cell::new(None),
            stance: Cell::new(Stance::Open),
            come_back,
            twin: Cell::new(false),
        })
    }

    fn now(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros
    }

    /// Monotonic and wall time; the second is only ever a hint.
    fn clocks(&self) -> (Micros, Micros) {
        (self.now(), SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros))
    }

    /// Whether a new request may be taken now. Looked at for each: a process that stood still wakes on an old lease.
    pub fn accepts_requests(&self) -> bool {
        self.side.borrow().admits_requests(self.now())
    }

    /// When one that is not taken may come back.
    pub fn retry_after(&self) -> Micros {
        self.come_back
    }

    /// Whether votes are withheld.
    pub fn withholds_votes(&self) -> bool {
        self.side.borrow().stance(self.now()) == Stance::Out
    }

    /// Whether nothing may be sent there now, whatever the module knows yet.
    pub fn excludes(&self, machine: MachineId, build: Build) -> bool {
        self.side.borrow().excludes(self.now(), machine, build)
    }

    /// A request is taken.
    pub fn record_request(&self) {
        self.side.borrow_mut().recorder().record_admitted();
    }

    /// An attempt is sent.
    pub fn record_attempt(&self, machine: MachineId, build: Build) {
        self.side.borrow_mut().recorder().record_attempt(machine, build);
    }

    /// A vote is cast.
    pub fn record_vote(&self) {
        self.side.borrow_mut().recorder().record_vote();
    }

    /// A request is refused or failed.
    pub fn record_shed_request(&self) {
        self.side.borrow_mut().recorder().record_failed();
    }

    /// Its own sources told a list, or a part of it; what the module is to be told instead.
    pub fn apply_list(&self, kind: ListUpdate, index: u64, rows: Vec<Row>) -> Vec<Row> {
        if kind.is_failure() {
            return rows;
        }
        {
            let mut own = self.rows.borrow_mut();
            if kind != ListUpdate::Delta {
                own.clear();
                self.shown.borrow_mut().clear();
            }
            own.extend(rows.iter().map(|r| (r.entry.machine, r.clone())));
            let mut text = Vec::new();
            let there = || own.values().filter(|r| r.entry.state != MachineState::Gone);
            for row in there() {
                let e = &row.entry;
                text.extend_from_slice(&e.machine.to_le_bytes());
                text.extend_from_slice(&e.build.to_le_bytes());
                text.push(u8::from(e.state == MachineState::Ready));
            }
            let ready = there().filter(|r| r.entry.state == MachineState::Ready);
            let ready = ready.map(|r| (r.entry.machine, r.entry.build)).collect();
            let source = if kind == ListUpdate::Cached { ListSource::Cached } else { ListSource::Discovery };
            self.side.borrow_mut().list_received(self.clocks(), (index, digest(&text)), source, ready);
        }
        // All that is new has to be told, also where it looks as before.
        for row in &rows {
            self.shown.borrow_mut().remove(&row.entry.machine);
        }
        if self.is_otherwise() {
            return self.changed(self.rows.borrow().values());
        }
        let own = self.rows.borrow();
        let told: BTreeSet<MachineId> = rows.iter().map(|r| r.entry.machine).collect();
        self.changed(told.iter().filter_map(|m| own.get(m)))
    }

    /// Whether something else is left out than when it was last looked at.
    fn is_otherwise(&self) -> bool {
        let now = Some(self.side.borrow().restrictions(self.now()));
        self.taken_away.replace(now) != now
    }

    /// Rows that look otherwise than the module was last told. Looked at in every renewal, so all of a long list only where
    /// something else is left out than before.
    pub fn changed_rows(&self) -> Vec<Row> {
        if self.is_otherwise() {
            self.changed(self.rows.borrow().values())
        } else {
            Vec::new()
        }
    }

    /// Those of some rows that look otherwise than the module was last told.
    fn changed<'a>(&self, rows: impl Iterator<Item = &'a Row>) -> Vec<Row> {
        let (now, side, mut shown) = (self.now(), self.side.borrow(), self.shown.borrow_mut());
        let mut out = Vec::new();
        for row in rows {
            let (machine, build, mut state) = (row.entry.machine, row.entry.build, row.entry.state);
            if state == MachineState::Ready && side.excludes(now, machine, build) {
                state = MachineState::Draining;
            }
            if shown.insert(machine, (state, build)) != Some((state, build)) {
                let mut row = row.clone();
                row.entry.state = state;
                out.push(row);
            }
        }
        out
    }

    fn narrowed(&self, news: RolloutStatus) -> RolloutStatus {
        match self.side.borrow().restricting_rollout() {
            Some(n) if n.is_narrower_than(&told(&news)) => {
                let (phase, cap) = (PHASES[usize::from(n.phase.min(3))], f64::from(n.cap) / 1e6);
                RolloutStatus { phase, cap: cap.min(news.cap), ..news }
            }
            _ => news,
        }
    }

    /// Its own source told news; what the module is to be told instead.
    pub fn apply_status(&self, news: RolloutStatus) -> RolloutStatus {
        self.side.borrow_mut().rollout_received(self.clocks(), told(&news));
        self.news.set(Some(news));
        let news = self.narrowed(news);
        self.shown_news.set(Some(told(&news)));
        news
    }

    /// News that the module is to be told again, as planners have taken something away.
    pub fn changed_status(&self) -> Option<RolloutStatus> {
        let narrowed = RolloutStatus { is_vote_reply: false, age: 0, ..self.narrowed(self.news.get()?) };
        let now = told(&narrowed);
        let changed = self.shown_news.get().is_some_and(|shown| now.is_narrower_than(&shown));
        changed.then(|| {
            self.shown_news.set(Some(now));
            log::warn!(build = now.build, phase:? = narrowed.phase, cap = narrowed.cap; "fleet: reconciled by planners");
            narrowed
        })
    }

    /// The files were read again.
    pub fn reload(&self, digests: Digests, fleet: Option<Fleet>) {
        let mut side = self.side.borrow_mut();
        side.files_reloaded(self.clocks(), digests);
        if let Some(fleet) = fleet {
            side.replace_settings(fleet);
        }
    }

    fn tick(&self) {
        let (now, wall) = self.clocks();
        let mut side = self.side.borrow_mut();
        if let Some(heard) = self.discovery.last_answered_at() {
            side.list_confirmed(heard.saturating_duration_since(self.begun).as_micros() as Micros);
        }
        side.tick(now, wall);
        let stance = side.stance(now);
        if self.stance.replace(stance) != stance {
            let (list, kept) = (side.version().list.index, side.recorder().retained());
            log::warn!(stance:?, list, kept; "fleet: stands");
        }
    }

    fn answered(&self, planner: usize, sent_at: Micros, answer: HeartbeatResponse) -> ResponseEffect {
        let change = self.side.borrow_mut().heartbeat_answered(planner, sent_at, self.now(), answer);
        if self.twin.replace(change.duplicate_name) != change.duplicate_name && change.duplicate_name {
            log::error!("fleet: another process runs under this front's name");
        }
        change
    }

    /// Whether to ask its own sources again now.
    fn asks_again(&self) -> bool {
        let due = self.again.get().is_none_or(|at| at.elapsed() >= AGAIN_EVERY);
        if due {
            self.again.set(Some(Instant::now()));
        }
        due
    }
}

/// Starts what a member does by itself: its spans, and a heartbeat to each planner at every renewal.
pub fn start(member: &Rc<Member>, executor: &LocalExecutor<'static>, inputs: &Sender<Input>) {
    let fleet = member.side.borrow().fleet().clone();
    for (n, planner) in fleet.planners().enumerate() {
        if let Some(address) = planner.address {
            let heartbeats = heartbeats(Rc::clone(member), n, planner.name.clone(), address, inputs.clone());
            executor.spawn(heartbeats).detach();
        }
    }
    let (member, inputs) = (Rc::clone(member), inputs.clone());
    let ticks = async move {
        loop {
            let renew = member.side.borrow().fleet().renew;
            Timer::after(Duration::from_micros(renew)).await;
            member.tick();
            let _ = inputs.send(Input::RestrictionsChanged).await;
        }
    };
    executor.spawn(ticks).detach();
}

async fn heartbeats(member: Rc<Member>, n: usize, name: String, address: SocketAddr, inputs: Sender<Input>) {
    let (mut line, mut complained) = (None, None::<Instant>);
    loop {
        let (renew, lease) = {
            let side = member.side.borrow();
            (Duration::from_micros(side.fleet().renew), Duration::from_micros(side.fleet().lease))
        };
        let begun = Instant::now();
        let sent_at = member.now();
        let body = encode_with_list(&mut member.side.borrow_mut().heartbeat(n, sent_at));
        let exchanged = send_message(&mut line, address, ("POST", "/fleet/report"), &body);
        let answer = with_timeout((lease / 4).max(renew), exchanged).await;
        let heard = match answer {
            Some(Ok(bytes)) => decode_with_list::<HeartbeatResponse>(&bytes).map_err(|e| e.to_string()),
            Some(Err(LinkError::Status(status, why))) => Err(format!("refused with {status}: {why}")),
            Some(Err(e)) => {
                member.side.borrow_mut().heartbeat_failed(n, sent_at);
                Err(e.to_string())
            }
            None => {
                member.side.borrow_mut().heartbeat_failed(n, sent_at);
                Err("no answer in time".to_owned())
            }
        };
        match heard {
            Ok(answer) if answer.planner == name => {
                let change = member.answered(n, sent_at, answer);
                if change.restricted {
                    let _ = inputs.send(Input::RestrictionsChanged).await;
                }
                if change.refetch && member.asks_again() {
                    let _ = inputs.send(Input::RefreshSources).await;
                }
            }
            Ok(other) => log::error!("fleet: {name} answers as {}", other.planner),
            Err(why) => {
                line = None;
                if complained.is_none_or(|at| at.elapsed() > COMPLAIN_EVERY) {
                    complained = Some(Instant::now());
                    log::warn!(planner = name.as_str(), why = why.as_str(); "fleet: not heard");
                }
            }
        }
        rest(&member, n, begun + renew).await;
    }
}

/// Until the next heartbeat is due: at the renewal, or, where the section has a pace, whenever that is. What changes meanwhile
/// is looked for in each part of a renewal, for which the pace leaves room.
async fn rest(member: &Member, n: usize, renewal: Instant) {
    if member.side.borrow().fleet().paced.is_none() {
        Timer::at(renewal).await;
        return;
    }
    loop {
        let now = member.now();
        let (due, renew) = {
            let mut side = member.side.borrow_mut();
            (side.next_heartbeat_at(n, now), side.fleet().renew)
        };
        if due <= now {
            return;
        }
        Timer::after(Duration::from_micros((due - now).min(renew / 4))).await;
    }
}
