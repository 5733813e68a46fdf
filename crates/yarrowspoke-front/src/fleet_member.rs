//! A front as a member of a fleet: carries out what `yarrowspoke_fleet::front` decides.
//!
//! Restrictions that planners impose reach the decision module in the form in which its own sources could have sent them: a
//! machine that drains, a cap that falls. So the module needs no knowledge of the fleet, and this code can never allow a
//! request more than the module would.

use crate::input::{Input, Row};
use crate::net::fleet::{send_message, LinkError, MEMBER_RESPONSE_LIMIT};
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

/// Minimum time between two refreshes of the front's own sources because the front is stale.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum time between two log lines about the same unreachable planner.
const UNREACHABLE_LOG_INTERVAL: Duration = Duration::from_secs(10);
const PHASES: [Phase; 4] = [Phase::Trial, Phase::Released, Phase::RollingBack, Phase::Withdrawn];

/// Digests of a front's files: the configuration, the operator's file, and the settings that all fronts share.
pub type Digests = (u64, u64, u64);

/// The part of a configuration that all fronts share. The rest, which may include a list of thousands of lines, is skipped.
#[derive(Default, Deserialize)]
struct Shared {
    #[serde(default)]
    settings: serde_json::Value,
}

/// Computes the digests of the files in their present state.
pub fn digests(config: &Path, operator: Option<&Path>) -> Digests {
    let bytes = std::fs::read(config).unwrap_or_default();
    let mut settings = serde_json::from_slice::<Shared>(&bytes).map(|s| s.settings).unwrap_or_default();
    // The front's number and its zone differ between fronts by design.
    if let Some(fields) = settings.as_object_mut() {
        ["Me", "Zone"].iter().for_each(|f| drop(fields.remove(*f)));
    }
    let text = operator.and_then(|p| std::fs::read_to_string(p).ok()).unwrap_or_default();
    // The addresses at which it reaches the other members differ as well.
    let mut parts = text.split("(address");
    let first = parts.next().unwrap_or("").to_owned();
    let rest: String = parts.map(|p| p.split_once(')').map_or("", |p| p.1)).collect();
    (digest(&bytes), digest((first + &rest).as_bytes()), digest(settings.to_string().as_bytes()))
}

/// Returns a digest of the running program. The file is read once, even if one process runs many members.
fn program() -> u64 {
    static DIGEST: OnceLock<u64> = OnceLock::new();
    *DIGEST.get_or_init(|| std::env::current_exe().and_then(std::fs::read).map_or(0, |b| digest(&b)))
}

fn phase(phase: Phase) -> u8 {
    PHASES.iter().position(|p| *p == phase).unwrap_or(0) as u8
}

fn fleet_status(status: &RolloutStatus) -> version::RolloutStatus {
    let cap = (status.cap.clamp(0.0, 1.0) * 1e6).round() as u32;
    version::RolloutStatus { build: status.build, stage: status.stage, phase: phase(status.phase), cap }
}

/// A front's membership in a fleet.
pub struct Member {
    side: RefCell<FrontSide>,
    started: Instant,
    discovery: Rc<Discovery>,
    rows: RefCell<BTreeMap<MachineId, Row>>,
    /// State and build of each machine as last passed to the module.
    passed_on: RefCell<BTreeMap<MachineId, (MachineState, Build)>>,
    /// Restrictions that were applied to that.
    restrictions: Cell<Option<Restrictions>>,
    own_status: Cell<Option<RolloutStatus>>,
    passed_on_status: Cell<Option<version::RolloutStatus>>,
    refreshed_at: Cell<Option<Instant>>,
    stance: Cell<Stance>,
    retry_after: Micros,
    has_duplicate: Cell<bool>,
}

impl Member {
    /// Creates a member that has just started.
    pub fn new(
        fleet: Fleet,
        name: &str,
        digests: Digests,
        discovery: Rc<Discovery>,
        max_retry_after: Micros,
    ) -> Rc<Self> {
        let (config, operator, settings) = digests;
        let list = version::List { index: 0, source: ListSource::Cached, epoch: 0, digest: 0 };
        let version = Version { list, rollout: None, config, operator, settings, program: program() };
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_micros() as u64);
        let retry_after = fleet.back_after.max(fleet.renew).min(max_retry_after);
        Rc::new(Self {
            side: RefCell::new(FrontSide::new(fleet, name, incarnation, version)),
            started: Instant::now(),
            discovery,
            rows: RefCell::default(),
            passed_on: RefCell::default(),
            restrictions: Cell::new(None),
            own_status: Cell::new(None),
            passed_on_status: Cell::new(None),
            refreshed_at: Cell::new(None),
            stance: Cell::new(Stance::Open),
            retry_after,
            has_duplicate: Cell::new(false),
        })
    }

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Returns monotonic and wall time. Wall time is never more than a hint.
    fn clocks(&self) -> (Micros, Micros) {
        (self.now(), SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros))
    }

    /// Returns whether a new request may be accepted now. This is checked for each request, since a process that was
    /// suspended resumes with an expired lease.
    pub fn accepts_requests(&self) -> bool {
        self.side.borrow().admits_requests(self.now())
    }

    /// Returns the Retry-After of requests that are not accepted.
    pub fn retry_after(&self) -> Micros {
        self.retry_after
    }

    /// Returns whether votes are withheld because this front is out of service.
    pub fn withholds_votes(&self) -> bool {
        self.side.borrow().stance(self.now()) == Stance::Out
    }

    /// Returns whether nothing may be sent to this machine now, even if the module does not know of that yet.
    pub fn excludes(&self, machine: MachineId, build: Build) -> bool {
        self.side.borrow().excludes(self.now(), machine, build)
    }

    /// Records that a request was accepted.
    pub fn record_request(&self) {
        self.side.borrow_mut().recorder().record_admitted();
    }

    /// Records that an attempt was sent.
    pub fn record_attempt(&self, machine: MachineId, build: Build) {
        self.side.borrow_mut().recorder().record_attempt(machine, build);
    }

    /// Records that a vote was cast.
    pub fn record_vote(&self) {
        self.side.borrow_mut().recorder().record_vote();
    }

    /// Records that a request was refused or failed.
    pub fn record_shed_request(&self) {
        self.side.borrow_mut().recorder().record_failed();
    }

    /// Handles an update of the list from the front's own sources and returns the rows to pass to the module instead.
    pub fn apply_list(&self, kind: ListUpdate, index: u64, rows: Vec<Row>) -> Vec<Row> {
        if kind.is_failure() {
            return rows;
        }
        {
            let mut own_rows = self.rows.borrow_mut();
            if kind != ListUpdate::Delta {
                own_rows.clear();
                self.passed_on.borrow_mut().clear();
            }
            own_rows.extend(rows.iter().map(|r| (r.entry.machine, r.clone())));
            let mut encoded = Vec::new();
            let listed = || own_rows.values().filter(|r| r.entry.state != MachineState::Gone);
            for row in listed() {
                let entry = &row.entry;
                encoded.extend_from_slice(&entry.machine.to_le_bytes());
                encoded.extend_from_slice(&entry.build.to_le_bytes());
                encoded.push(u8::from(entry.state == MachineState::Ready));
            }
            let ready = listed().filter(|r| r.entry.state == MachineState::Ready);
            let ready = ready.map(|r| (r.entry.machine, r.entry.build)).collect();
            let source = if kind == ListUpdate::Cached { ListSource::Cached } else { ListSource::Discovery };
            self.side.borrow_mut().list_received(self.clocks(), (index, digest(&encoded)), source, ready);
        }
        // Every row of the update has to be passed on, even one that looks the same as before.
        for row in &rows {
            self.passed_on.borrow_mut().remove(&row.entry.machine);
        }
        if self.restrictions_changed() {
            return self.restricted_rows(self.rows.borrow().values());
        }
        let own_rows = self.rows.borrow();
        let updated: BTreeSet<MachineId> = rows.iter().map(|r| r.entry.machine).collect();
        self.restricted_rows(updated.iter().filter_map(|m| own_rows.get(m)))
    }

    /// Returns whether the restrictions have changed since the last call.
    fn restrictions_changed(&self) -> bool {
        let present = Some(self.side.borrow().restrictions(self.now()));
        self.restrictions.replace(present) != present
    }

    /// Returns the rows that differ from what was last passed to the module. This is called at every lease renewal, so a long
    /// list is searched only if the restrictions have changed.
    pub fn changed_rows(&self) -> Vec<Row> {
        if self.restrictions_changed() {
            self.restricted_rows(self.rows.borrow().values())
        } else {
            Vec::new()
        }
    }

    /// Returns those of `rows` that, with the restrictions applied, differ from what was last passed to the module.
    fn restricted_rows<'a>(&self, rows: impl Iterator<Item = &'a Row>) -> Vec<Row> {
        let (now, side, mut passed_on) = (self.now(), self.side.borrow(), self.passed_on.borrow_mut());
        let mut out = Vec::new();
        for row in rows {
            let (machine, build, mut state) = (row.entry.machine, row.entry.build, row.entry.state);
            if state == MachineState::Ready && side.excludes(now, machine, build) {
                state = MachineState::Draining;
            }
            if passed_on.insert(machine, (state, build)) != Some((state, build)) {
                let mut row = row.clone();
                row.entry.state = state;
                out.push(row);
            }
        }
        out
    }

    fn restricted_status(&self, status: RolloutStatus) -> RolloutStatus {
        match self.side.borrow().restricting_rollout() {
            Some(narrower) if narrower.is_narrower_than(&fleet_status(&status)) => {
                let (phase, cap) =
                    (PHASES[usize::from(narrower.phase.min(3))], f64::from(narrower.cap) / 1e6);
                RolloutStatus { phase, cap: cap.min(status.cap), ..status }
            }
            _ => status,
        }
    }

    /// Handles a rollout status from the front's own source and returns the one to pass to the module instead.
    pub fn apply_status(&self, status: RolloutStatus) -> RolloutStatus {
        self.side.borrow_mut().rollout_received(self.clocks(), fleet_status(&status));
        self.own_status.set(Some(status));
        let status = self.restricted_status(status);
        self.passed_on_status.set(Some(fleet_status(&status)));
        status
    }

    /// Returns the rollout status to pass to the module again if planners have restricted it further.
    pub fn changed_status(&self) -> Option<RolloutStatus> {
        let restricted =
            RolloutStatus { is_vote_reply: false, age: 0, ..self.restricted_status(self.own_status.get()?) };
        let present = fleet_status(&restricted);
        let changed =
            self.passed_on_status.get().is_some_and(|passed_on| present.is_narrower_than(&passed_on));
        changed.then(|| {
            self.passed_on_status.set(Some(present));
            log::warn!(build = present.build, phase:? = restricted.phase, cap = restricted.cap; "fleet: reconciled by planners");
            restricted
        })
    }

    /// Applies files that were read again.
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
        if let Some(confirmed_at) = self.discovery.last_answered_at() {
            side.list_confirmed(confirmed_at.saturating_duration_since(self.started).as_micros() as Micros);
        }
        side.tick(now, wall);
        let stance = side.stance(now);
        if self.stance.replace(stance) != stance {
            let (list, kept) = (side.version().list.index, side.recorder().retained());
            log::warn!(stance:?, list, kept; "fleet: membership state changed");
        }
    }

    fn answered(&self, planner: usize, sent_at: Micros, answer: HeartbeatResponse) -> ResponseEffect {
        let effect = self.side.borrow_mut().heartbeat_answered(planner, sent_at, self.now(), answer);
        if self.has_duplicate.replace(effect.duplicate_name) != effect.duplicate_name && effect.duplicate_name
        {
            log::error!("fleet: another process runs under this front's name");
        }
        effect
    }

    /// Returns whether the front's own sources are due for another refresh, and records it if so.
    fn starts_refresh(&self) -> bool {
        let due = self.refreshed_at.get().is_none_or(|at| at.elapsed() >= REFRESH_INTERVAL);
        if due {
            self.refreshed_at.set(Some(Instant::now()));
        }
        due
    }
}

/// Starts a member's background tasks: its record of spans, and a heartbeat to each planner at every renewal.
pub fn start(member: &Rc<Member>, executor: &LocalExecutor<'static>, inputs: &Sender<Input>) {
    let fleet = member.side.borrow().fleet().clone();
    for (index, planner) in fleet.planners().enumerate() {
        if let Some(address) = planner.address {
            let heartbeats =
                heartbeats(Rc::clone(member), index, planner.name.clone(), address, inputs.clone());
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

async fn heartbeats(
    member: Rc<Member>,
    planner: usize,
    name: String,
    address: SocketAddr,
    inputs: Sender<Input>,
) {
    let (mut connection, mut logged_at) = (None, None::<Instant>);
    loop {
        let (renew, lease) = {
            let side = member.side.borrow();
            (Duration::from_micros(side.fleet().renew), Duration::from_micros(side.fleet().lease))
        };
        let started = Instant::now();
        let sent_at = member.now();
        let body = encode_with_list(&mut member.side.borrow_mut().heartbeat(planner, sent_at));
        let exchanged =
            send_message(&mut connection, address, ("POST", "/fleet/report"), &body, MEMBER_RESPONSE_LIMIT);
        let reply = with_timeout((lease / 4).max(renew), exchanged).await;
        let answer = match reply {
            Some(Ok(bytes)) => decode_with_list::<HeartbeatResponse>(&bytes).map_err(|e| e.to_string()),
            Some(Err(LinkError::Status(status, why))) => Err(format!("refused with {status}: {why}")),
            Some(Err(e)) => {
                member.side.borrow_mut().heartbeat_failed(planner, sent_at);
                Err(e.to_string())
            }
            None => {
                member.side.borrow_mut().heartbeat_failed(planner, sent_at);
                Err("no answer in time".to_owned())
            }
        };
        match answer {
            Ok(answer) if answer.planner == name => {
                let effect = member.answered(planner, sent_at, answer);
                if effect.restricted {
                    let _ = inputs.send(Input::RestrictionsChanged).await;
                }
                if effect.refetch && member.starts_refresh() {
                    let _ = inputs.send(Input::RefreshSources).await;
                }
            }
            Ok(other) => log::error!("fleet: {name} answers as {}", other.planner),
            Err(why) => {
                connection = None;
                if logged_at.is_none_or(|at| at.elapsed() > UNREACHABLE_LOG_INTERVAL) {
                    logged_at = Some(Instant::now());
                    log::warn!(planner = name.as_str(), why = why.as_str(); "fleet: heartbeat to a planner failed");
                }
            }
        }
        wait_for_next_heartbeat(&member, planner, started + renew).await;
    }
}

/// Waits until the next heartbeat is due: at the renewal, or, if the section sets a pace, at the time that the pace gives.
/// With a pace, changes are looked for several times in each renewal interval, since the pace allows an earlier heartbeat
/// for them.
async fn wait_for_next_heartbeat(member: &Member, planner: usize, renewal: Instant) {
    if member.side.borrow().fleet().paced.is_none() {
        Timer::at(renewal).await;
        return;
    }
    loop {
        let now = member.now();
        let (due, renew) = {
            let mut side = member.side.borrow_mut();
            (side.next_heartbeat_at(planner, now), side.fleet().renew)
        };
        if due <= now {
            return;
        }
        Timer::after(Duration::from_micros((due - now).min(renew / 4))).await;
    }
}
