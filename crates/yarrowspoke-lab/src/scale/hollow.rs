//! Hollow fronts: the program's own client side of control, several hundred in one process, without forwarding.
//!
//! Each is a member of the fleet by its own name: it sends heartbeats to every planner, watches discovery's list and hears the
//! platform, by the program's own code. Requests are only noted, at a drawn rate, so that what is told of them is as large as
//! a real front's.

use super::estate::ZONES;
use super::usage::usage;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Poisson};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yarrowspoke::interface::{Build, ListUpdate, MachineId, MachineState};
use yarrowspoke_fleet::settings::{Fleet, Role};
use yarrowspoke_front::fleet_member::{self, Member};
use yarrowspoke_front::input::{Input, ListContent, ListMessage, Row};
use yarrowspoke_front::net::list::Discovery;
use yarrowspoke_front::net::platform;
use yarrowspoke_settings::Names;

/// Inputs that may wait, as in the program.
const INPUTS: usize = 4_096;
/// How often requests are noted; several times in a span of the record.
const NOTE_EVERY: Duration = Duration::from_millis(50);
/// How often the process tells of itself, if no front has taken on another version of the list: that it tells as soon as
/// requests are noted next.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// Machines that one front sends to, as in the decision module.
const REACH: usize = 20;
/// A list that failed is asked for again after so long and up to twice that, as the decision module does.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// Longest hold that the program asks of discovery, told here by the settings that real fronts have, in microseconds.
const ASK_WITHIN: u64 = 10_000_000;

/// A hollow front.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Front {
    /// Its name among the members.
    pub name: String,
    /// The operator's file that it goes by, with the planners' addresses as it reaches them.
    pub operator: PathBuf,
    /// Where it reaches discovery.
    pub discovery: SocketAddr,
    /// Where it reaches the platform.
    pub platform: SocketAddr,
    /// Where on the ring of machines its reach begins, as a part of the ring.
    pub part: f64,
    /// Requests a second that it notes.
    pub rate: f64,
    /// A planted fault: it leaves the first planner out.
    pub skips: bool,
}

/// What one process of them runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    /// All its fronts.
    pub fronts: Vec<Front>,
    /// Draws requests and pauses.
    pub seed: u64,
    /// The span over which they start, seconds: heartbeats of a fleet are not in step.
    pub spread_s: f64,
}

/// What a process of them tells of itself, a line of JSON at a time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Processor time, user and system, seconds.
    pub cpu_s: f64,
    /// Resident memory, MB.
    pub rss_mb: f64,
    /// The most that was resident, MB.
    pub peak_mb: f64,
    /// Unix time, milliseconds.
    pub at_ms: u64,
    /// The version of the list that each front acts on; 0 before it has one.
    pub listed: Vec<u64>,
    /// How many fronts hold a lease, or have none yet and go by their own sources.
    pub open: usize,
    /// Calls for the list that failed.
    pub failed: u64,
}

/// One front that runs.
struct Running {
    member: Rc<Member>,
    discovery: Rc<Discovery>,
    part: f64,
    rate: f64,
    listed: Cell<u64>,
    failed: Cell<u64>,
    ready: RefCell<BTreeMap<MachineId, Build>>,
    /// The machines that it sends to.
    reach: RefCell<Vec<(MachineId, Build)>>,
    watch: RefCell<Option<Task<()>>>,
}

impl Running {
    /// Takes rows as the decision module would be told them.
    fn take(&self, kind: ListUpdate, rows: &[Row]) {
        let mut ready = self.ready.borrow_mut();
        if kind == ListUpdate::Snapshot {
            ready.clear();
        }
        for row in rows {
            match row.entry.state {
                MachineState::Ready => ready.insert(row.entry.machine, row.entry.build),
                _ => ready.remove(&row.entry.machine),
            };
        }
        if !rows.is_empty() {
            let from = (self.part * ready.len() as f64) as usize;
            let ring = ready.iter().skip(from).chain(ready.iter().take(from));
            *self.reach.borrow_mut() = ring.take(REACH).map(|(m, b)| (*m, *b)).collect();
        }
    }

    /// Notes the requests of a short span.
    fn note(&self, draws: &mut Pcg64Mcg) {
        let reach = self.reach.borrow();
        let mean = self.rate * NOTE_EVERY.as_secs_f64();
        let Ok(counts) = Poisson::new(mean) else { return };
        if reach.is_empty() || !self.member.accepts_requests() {
            return;
        }
        for _ in 0..counts.sample(draws) as u64 {
            let (machine, build) = reach[draws.gen_range(0..reach.len())];
            self.member.record_request();
            if !self.member.excludes(machine, build) {
                self.member.record_attempt(machine, build);
            }
        }
    }

    fn watch(&self, executor: &LocalExecutor<'static>, inputs: &Sender<Input>) {
        let number = self.discovery.supersede_watches();
        let watch = Rc::clone(&self.discovery).watch(number, inputs.clone());
        *self.watch.borrow_mut() = Some(executor.spawn(watch));
    }
}

/// The names behind positions, as the settings of real fronts have them.
pub fn names() -> Names {
    Names {
        zones: ZONES.iter().map(|z| z.0.to_owned()).collect(),
        kinds: vec!["m".into()],
        ..Names::default()
    }
}

async fn drive(
    front: Rc<Running>,
    executor: Rc<LocalExecutor<'static>>,
    (inputs, taken): (Sender<Input>, Receiver<Input>),
    mut draws: Pcg64Mcg,
) {
    front.watch(&executor, &inputs);
    while let Ok(input) = taken.recv().await {
        match input {
            Input::ListUpdated(ListMessage {
                content: ListContent::Failed | ListContent::Unreadable,
                ..
            }) => {
                front.failed.set(front.failed.get() + 1);
                let pause = ASK_AGAIN.mul_f64(1.0 + draws.gen::<f64>());
                let (front, executor, inputs) = (Rc::clone(&front), Rc::clone(&executor), inputs.clone());
                let spawner = Rc::clone(&executor);
                let again = async move {
                    Timer::after(pause).await;
                    front.watch(&executor, &inputs);
                };
                spawner.spawn(again).detach();
            }
            Input::ListUpdated(ListMessage { index, needs_snapshot, content, .. }) => {
                let (kind, rows) = match content {
                    ListContent::Snapshot(rows) => (ListUpdate::Snapshot, rows),
                    ListContent::PartialSnapshot { rows, .. }
                    | ListContent::PartialDelta { rows, .. }
                    | ListContent::Delta(rows) => (ListUpdate::Delta, rows),
                    ListContent::Failed | ListContent::Unreadable => continue,
                };
                front.discovery.set_version(index, needs_snapshot);
                let rows = front.member.apply_list(kind, index, rows);
                front.take(kind, &rows);
                front.listed.set(index);
            }
            Input::ListConfirmed { version, .. } => front.discovery.set_version(version, false),
            Input::RolloutStatus(news) => drop(front.member.apply_status(news)),
            Input::RestrictionsChanged => {
                front.take(ListUpdate::Delta, &front.member.changed_rows());
                let _ = front.member.changed_status();
            }
            Input::RefreshSources => front.watch(&executor, &inputs),
            _ => {}
        }
    }
}

fn fleet_of(path: &std::path::Path, front: &Front) -> io::Result<Fleet> {
    let operator = yarrowspoke_operator::load(path).map_err(io::Error::other)?;
    let fleet = operator.fleet.map(|f| f.fleet);
    let mut fleet = fleet.ok_or_else(|| io::Error::other(format!("{}: no section fleet", path.display())))?;
    if front.skips {
        if let Some(first) = fleet.members.iter_mut().find(|m| m.role == Role::Planner) {
            first.address = None;
        }
    }
    Ok(fleet)
}

/// Starts one front; how it stands is to be read from what is given back.
fn start(front: &Front, fleet: Fleet, executor: &Rc<LocalExecutor<'static>>, seed: u64) -> Rc<Running> {
    let discovery = Discovery::new(front.discovery, names(), 0, ASK_WITHIN);
    let digests = fleet_member::digests(std::path::Path::new(""), Some(&front.operator));
    let member = Member::new(fleet, &front.name, digests, Rc::clone(&discovery), 0);
    let running = Rc::new(Running {
        member,
        discovery,
        part: front.part,
        rate: front.rate,
        listed: Cell::new(0),
        failed: Cell::new(0),
        ready: RefCell::default(),
        reach: RefCell::default(),
        watch: RefCell::default(),
    });
    let (inputs, taken) = async_channel::bounded(INPUTS);
    executor.spawn(platform::listen(front.platform, inputs.clone())).detach();
    fleet_member::start(&running.member, executor, &inputs);
    let draws = Pcg64Mcg::seed_from_u64(seed);
    executor.spawn(drive(Rc::clone(&running), Rc::clone(executor), (inputs, taken), draws)).detach();
    running
}

fn tell(fronts: &[Rc<Running>], expected: usize) -> io::Result<()> {
    let now = usage(std::process::id()).unwrap_or_default();
    let mut listed: Vec<u64> = fronts.iter().map(|f| f.listed.get()).collect();
    listed.resize(expected, 0);
    let told = Told {
        cpu_s: now.cpu_s,
        rss_mb: now.rss_mb,
        peak_mb: now.peak_mb,
        at_ms: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64),
        listed,
        open: fronts.iter().filter(|f| f.member.accepts_requests()).count(),
        failed: fronts.iter().map(|f| f.failed.get()).sum(),
    };
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, &told)?;
    out.write_all(b"\n")?;
    out.flush()
}

/// Runs what a file tells, until standard input ends.
pub fn run(spec: &std::path::Path) -> io::Result<()> {
    let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", spec.display()));
    serve(&serde_json::from_slice(&std::fs::read(spec).map_err(named)?)?)
}

/// Runs them until standard input ends, which it does when whoever started them ends.
pub fn serve(spec: &Spec) -> io::Result<()> {
    let (ended, over) = async_channel::bounded::<()>(1);
    std::thread::spawn(move || {
        let _ = io::stdin().lock().read_to_end(&mut Vec::new());
        drop(ended);
    });
    let executor = Rc::new(LocalExecutor::new());
    // One text is read and parsed once, however many go by it.
    let mut fleets: BTreeMap<(PathBuf, bool), Fleet> = BTreeMap::new();
    for front in &spec.fronts {
        let key = (front.operator.clone(), front.skips);
        if let std::collections::btree_map::Entry::Vacant(room) = fleets.entry(key) {
            room.insert(fleet_of(&front.operator, front)?);
        }
    }
    let work = async {
        let (begun, mut running) = (Instant::now(), Vec::new());
        let step = Duration::from_secs_f64(spec.spread_s / spec.fronts.len().max(1) as f64);
        let mut draws = Pcg64Mcg::seed_from_u64(spec.seed);
        let (mut note, mut told, mut taken) = (begun, begun, 0);
        loop {
            while running.len() < spec.fronts.len() && begun + step * running.len() as u32 <= Instant::now() {
                let front = &spec.fronts[running.len()];
                let fleet = fleets[&(front.operator.clone(), front.skips)].clone();
                running.push(start(front, fleet, &executor, draws.gen()));
            }
            if note <= Instant::now() {
                note += NOTE_EVERY;
                running.iter().for_each(|f| f.note(&mut draws));
            }
            let listed: u64 = running.iter().map(|f| f.listed.get()).sum();
            if told <= Instant::now() || listed != taken {
                (told, taken) = (Instant::now() + TELL_EVERY, listed);
                tell(&running, spec.fronts.len())?;
            }
            let next = match running.len() < spec.fronts.len() {
                true => (begun + step * running.len() as u32).min(note),
                false => note,
            };
            Timer::at(next.min(told)).await;
        }
    };
    let over = async {
        let _ = over.recv().await;
        Ok(())
    };
    async_io::block_on(executor.run(futures_lite::future::or(over, work)))
}
