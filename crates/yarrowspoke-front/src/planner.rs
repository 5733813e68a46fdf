//! A planner as a program: links, store and commands round `yarrowspoke_fleet::planner`.

use crate::agreed_log::{AgreedLog, JoinError, MessageBatch};
use crate::net::fleet::{send_message, serve, LinkHandler, LinkHead, LinkResponse};
use crate::net::with_timeout;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yarrowspoke_fleet::audit::{audit, AuditQuery};
use yarrowspoke_fleet::permits::{Entry, Limits, Order, PermitMessage, Phase};
use yarrowspoke_fleet::planner::Planner;
use yarrowspoke_fleet::report_log::ReportLog;
use yarrowspoke_fleet::settings::{Fleet, Role};
use yarrowspoke_fleet::span::Report;
use yarrowspoke_fleet::wire::{
    decode, decode_with_list, encode, encode_with_list, Heartbeat, Pull, PullResponse,
};
use yarrowspoke_store::reports::{Key, Reports};

/// How often what came is handed to the disk, and steps are looked at.
const HOUSEKEEPING: Duration = Duration::from_millis(100);
/// How often another planner is asked for what it has.
const PULL_EVERY: Duration = Duration::from_millis(500);
/// How long it may take to answer.
const PULL_WITHIN: Duration = Duration::from_millis(1_000);

/// A tick of the agreement, and how long a batch of it may take.
const AGREE_EVERY: Duration = Duration::from_millis(40);
const AGREE_WITHIN: Duration = Duration::from_millis(400);
/// How long something proposed may take to come about before it is proposed again.
const PROPOSE_EVERY: Duration = Duration::from_millis(400);
/// Said by a planner that takes no part.
const APART: &str =
    "this planner takes no part in the agreement: it has no directory, is alone, or its directory remembers \
    nothing and it was not started with --found";

/// What the disk is to do: reports to keep, and reports to give up.
type Write = (Vec<(Key, Report)>, Vec<Key>);

/// Reads what a directory keeps; what could not be read, beside it.
pub fn read_report_log(dir: &Path) -> Result<(ReportLog, Vec<String>), String> {
    let read = Reports::open(dir).and_then(|r| r.read::<Report>()).map_err(|e| e.to_string())?;
    let (mut book, mut spoilt) = (ReportLog::default(), read.spoilt);
    for ((front, incarnation, ..), report) in read.reports {
        if let Err(e) = book.insert(&front, incarnation, report) {
            spoilt.push(format!("{front} incarnation {incarnation}: {e}"));
        }
    }
    Ok((book, spoilt))
}

struct Running {
    planner: RefCell<Planner>,
    /// `None` for one that takes no part: it may have forgotten what it promised.
    agree: RefCell<Option<AgreedLog>>,
    /// What was proposed lately, so that it is not proposed at every look.
    proposed: RefCell<BTreeMap<String, Instant>>,
    begun: Instant,
    fresh: RefCell<Vec<(Key, Report)>>,
    keeps: bool,
}

impl Running {
    fn now(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    fn keep(&self, front: &str, incarnation: u64, report: Report) {
        if self.keeps {
            let key = (front.to_owned(), incarnation, report.first, report.last);
            self.fresh.borrow_mut().push((key, report));
        }
    }

    fn answer(&self, head: &LinkHead, body: &[u8]) -> LinkResponse {
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        match (head.method.as_str(), path) {
            ("POST", "/fleet/report") => self.report(body),
            ("POST", "/fleet/pull") => match decode::<Pull>(body) {
                Ok(pull) => match self.planner.borrow().answer_pull(self.now(), &pull) {
                    Ok(pushed) => LinkResponse::ok(encode(&pushed)),
                    Err(e) => LinkResponse::error(400, e),
                },
                Err(e) => self.refuse(e),
            },
            ("GET", "/fleet/status") => json(&self.planner.borrow().status(self.now())),
            ("GET", "/fleet/audit") => match asked(query) {
                Ok(asked) => json(&audit(&self.planner.borrow().report_log, &asked)),
                Err(why) => LinkResponse::error(400, why),
            },
            ("POST", "/fleet/agree") => match decode::<MessageBatch>(body) {
                Ok(batch) => {
                    if let Some(agree) = self.agree.borrow_mut().as_mut() {
                        agree.receive(batch);
                    }
                    LinkResponse::ok(Vec::new())
                }
                Err(e) => self.refuse(e),
            },
            ("POST", "/fleet/order") => self.order(body),
            ("GET", "/fleet/agreed") => match self.agree.borrow().as_ref() {
                Some(agree) => json(&serde_json::json!({
                    "state": agree.state, "leader": agree.leader(), "applied": agree.applied(),
                })),
                None => LinkResponse::error(400, APART),
            },
            ("GET", "/up") => LinkResponse::ok(b"OK".to_vec()),
            _ => LinkResponse::error(
                404,
                "no such thing: /fleet/report, /fleet/pull, /fleet/status, /fleet/audit",
            ),
        }
    }

    /// An order of an operator. It is agreed on once its ticket stands among the outcomes; whoever gives it asks until then.
    fn order(&self, body: &[u8]) -> LinkResponse {
        let asked: Ordered = match serde_json::from_slice(body) {
            Ok(asked) => asked,
            Err(e) => return LinkResponse::error(400, e),
        };
        let order = match asked.what.as_str() {
            "out" => match self.planner.borrow().live_incarnation(&asked.front, self.now()) {
                Some((incarnation, _)) => Order::Out { front: asked.front, incarnation, cause: asked.why },
                None => return LinkResponse::error(400, format!("{:?} is not heard here", asked.front)),
            },
            "in" => Order::In { front: asked.front },
            "halt" => Order::Halt { why: asked.why },
            "resume" => Order::Resume,
            "free" => Order::Free { front: asked.front, number: asked.number },
            other => {
                let why = format!("found {other:?}, expected out, in, halt, resume or free");
                return LinkResponse::error(400, why);
            }
        };
        match self.agree.borrow_mut().as_mut() {
            Some(agree) => {
                let (by, known_orders, ticket) = (asked.by, asked.knows, asked.ticket);
                agree.propose(Entry::Order { order, by, known_orders, ticket });
                LinkResponse::ok(b"proposed\n".to_vec())
            }
            None => LinkResponse::error(400, APART),
        }
    }

    /// Whether something may be proposed now that was not just before.
    fn is_due(&self, what: String) -> bool {
        let mut proposed = self.proposed.borrow_mut();
        proposed.retain(|_, at| at.elapsed() < PROPOSE_EVERY);
        proposed.insert(what, Instant::now()).is_none()
    }

    /// What this planner sees is brought into the agreed log where it is not there yet.
    fn see(&self, limits: &Limits) {
        let (now, mut agree) = (self.now(), self.agree.borrow_mut());
        let Some(agree) = agree.as_mut() else { return };
        let mut planner = self.planner.borrow_mut();
        planner.set_permits(now, &agree.state.permits, agree.state.last_permit_number);
        let mut entries = Vec::new();
        if agree.state.limits != *limits && agree.leader() == Some(agree.name()) {
            entries.push(("limits".to_owned(), Entry::Limits(limits.clone())));
        }
        let lost = planner.lost_fronts(now);
        if planner.is_warmed_up(now) && agree.state.views.get(agree.name()) != Some(&lost) {
            let view = Entry::View { planner: agree.name().to_owned(), lost: lost.clone() };
            entries.push((format!("view {lost:?}"), view));
        }
        for (front, incarnation, number, word) in planner.permit_messages(now) {
            let Some(permit) = agree.state.permits.get(&front).filter(|p| p.number == number) else {
                continue;
            };
            let entry = match (word, permit.phase) {
                (PermitMessage::Request, Phase::Granted) => Entry::Took { front, number, incarnation },
                (PermitMessage::In, _)
                    if planner.live_incarnation(&front, now) == Some((incarnation, true)) =>
                {
                    Entry::Done { front, number }
                }
                (PermitMessage::Decline, _) => Entry::Done { front, number },
                _ => continue,
            };
            entries.push((format!("{entry:?}"), entry));
        }
        // A holder is done only once it is seen in service: here, in a later incarnation than the one that held the permit.
        for (front, permit) in &agree.state.permits {
            if planner.has_returned(front, permit, now) {
                let entry = Entry::Done { front: front.clone(), number: permit.number };
                entries.push((format!("{entry:?}"), entry));
            }
        }
        for (name, entry) in entries {
            if self.is_due(name) {
                agree.propose(entry);
            }
        }
    }

    fn refuse(&self, why: yarrowspoke_fleet::wire::MessageError) -> LinkResponse {
        self.planner.borrow_mut().count_rejected(&why);
        log::warn!("fleet: a message is refused: {why}");
        LinkResponse::error(400, why)
    }

    fn report(&self, body: &[u8]) -> LinkResponse {
        let heartbeat = match decode_with_list::<Heartbeat>(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return self.refuse(e),
        };
        let (front, incarnation, reports) =
            (heartbeat.front.clone(), heartbeat.incarnation, heartbeat.reports.clone());
        match self.planner.borrow_mut().handle_heartbeat(self.now(), heartbeat) {
            Ok(mut answer) => {
                reports.into_iter().for_each(|r| self.keep(&front, incarnation, r));
                LinkResponse::ok(encode_with_list(&mut answer))
            }
            Err(why) => {
                log::warn!(front = front.as_str(), why:%; "fleet: a heartbeat is refused");
                LinkResponse::error(400, why)
            }
        }
    }
}

/// An order as it comes.
#[derive(Deserialize)]
struct Ordered {
    what: String,
    #[serde(default)]
    front: String,
    #[serde(default)]
    why: String,
    #[serde(default)]
    number: u64,
    by: String,
    knows: Option<u64>,
    ticket: u64,
}

fn json(value: &impl serde::Serialize) -> LinkResponse {
    match serde_json::to_vec(value) {
        Ok(body) => LinkResponse::ok(body),
        Err(e) => LinkResponse::error(500, e),
    }
}

/// What part of an audit a query asks for.
pub fn asked(query: &str) -> Result<AuditQuery, String> {
    let mut asked = AuditQuery::default();
    for part in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let number =
            || value.parse::<u64>().map_err(|_| format!("{name}: found {value:?}, expected a whole number"));
        match name {
            "front" => asked.front = Some(value.to_owned()),
            "index" => asked.index = Some(number()?),
            "from" => asked.from = Some(number()?),
            "to" => asked.to = Some(number()?),
            _ => return Err(format!("found {name:?}, expected front, index, from or to")),
        }
    }
    Ok(asked)
}

/// Runs a planner to its end; `found` says that its directory is new and that it never took part in an agreement.
pub fn run(name: &str, operator: &Path, dir: Option<PathBuf>, found: bool) -> Result<(), String> {
    let file = yarrowspoke_operator::load(operator).map_err(|e| e.to_string())?;
    let shown = operator.display();
    let fleet = file.fleet.ok_or_else(|| format!("{shown}: no section fleet, which a planner needs"))?.fleet;
    let member = fleet.member(name).filter(|m| m.role == Role::Planner);
    let names: Vec<&str> = fleet.planners().map(|p| p.name.as_str()).collect();
    let member =
        member.ok_or_else(|| format!("{shown}: no planner {name}, expected one of {}", names.join(", ")))?;
    let address = member.address.ok_or_else(|| format!("{shown}: the planner {name} has no address"))?;
    let (mut book, mut writes, mut disk) = (ReportLog::default(), None, None);
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_micros() as u64);
    let agree = take_part(&fleet, name, incarnation, dir.as_deref(), found)?;
    if let Some(dir) = dir {
        if !dir.is_dir() {
            return Err(format!("{}: no such directory; it is not made by itself", dir.display()));
        }
        let spoilt;
        (book, spoilt) = read_report_log(&dir)?;
        spoilt.iter().for_each(|s| log::error!("fleet: kept and not readable: {s}"));
        let reports = Reports::open(&dir).map_err(|e| e.to_string())?;
        let (to, from) = mpsc::sync_channel::<Write>(64);
        let work = move || {
            for (kept, gone) in from {
                if let Err(e) = reports.keep(&kept, &gone) {
                    log::error!("fleet: reports are not kept: {e}");
                }
            }
        };
        let thread =
            std::thread::Builder::new().name("reports".into()).spawn(work).map_err(|e| e.to_string())?;
        (writes, disk) = (Some(to), Some(thread));
    }
    let executor = Rc::new(LocalExecutor::new());
    let done = async_io::block_on(executor.run(plan(
        fleet,
        (name, incarnation),
        address,
        (book, agree),
        writes,
        Rc::clone(&executor),
    )));
    if let Some(thread) = disk {
        let _ = thread.join();
    }
    done.map_err(|e| e.to_string())
}

async fn plan(
    fleet: Fleet,
    (name, incarnation): (&str, u64),
    address: SocketAddr,
    (book, agree): (ReportLog, Option<AgreedLog>),
    writes: Option<mpsc::SyncSender<Write>>,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let listener = Async::<TcpListener>::bind(address)
        .map_err(|e| std::io::Error::new(e.kind(), format!("{address}: {e}")))?;
    let others: Vec<(String, SocketAddr)> = fleet
        .planners()
        .filter(|p| p.name != name)
        .filter_map(|p| Some((p.name.clone(), p.address?)))
        .collect();
    let (bounds, limits) = ((fleet.keep, fleet.keep_bytes), Limits::from_settings(&fleet));
    let running = Rc::new(Running {
        planner: RefCell::new(Planner::new(fleet, name, incarnation, 0, book)),
        agree: RefCell::new(agree),
        proposed: RefCell::default(),
        begun: Instant::now(),
        fresh: RefCell::default(),
        keeps: writes.is_some(),
    });
    let handled = Rc::clone(&running);
    let answer: LinkHandler = Rc::new(move |head, body| handled.answer(head, body));
    executor.spawn(serve(listener, Rc::clone(&executor), answer)).detach();
    for (other, address) in others {
        executor.spawn(agree_with(Rc::clone(&running), other.clone(), address)).detach();
        executor.spawn(pull(Rc::clone(&running), other, address)).detach();
    }
    log::info!("planner {name} listens on {address}");
    let work = async {
        loop {
            Timer::after(HOUSEKEEPING).await;
            housekeep(&running, writes.as_ref(), bounds);
        }
    };
    let ticks = async {
        loop {
            Timer::after(AGREE_EVERY).await;
            if let Some(agree) = running.agree.borrow_mut().as_mut() {
                agree.tick();
            }
            running.see(&limits);
        }
    };
    let work = future::or(work, ticks);
    let stop = async {
        signals.next().await;
    };
    future::or(work, stop).await;
    housekeep(&running, writes.as_ref(), bounds);
    log::info!("planner {name} stops");
    Ok(())
}

fn housekeep(running: &Running, writes: Option<&mpsc::SyncSender<Write>>, (keep, keep_bytes): (u64, u64)) {
    let mut planner = running.planner.borrow_mut();
    for (front, step) in planner.changed_steps(running.now()) {
        log::info!(front = front.as_str(), step:?; "fleet: step");
    }
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    let gone: Vec<Key> = planner.report_log.prune(wall.saturating_sub(keep), keep_bytes);
    let Some(writes) = writes else { return };
    let fresh = running.fresh.take();
    if fresh.is_empty() && gone.is_empty() {
        return;
    }
    // A disk that is behind holds up no heartbeat: what it could not take yet is tried again.
    if let Err(mpsc::TrySendError::Full((fresh, _))) = writes.try_send((fresh, gone)) {
        running.fresh.borrow_mut().extend(fresh);
    }
}

/// Carries what the agreement has to say to another planner, in order, one batch at a time.
async fn agree_with(running: Rc<Running>, other: String, address: SocketAddr) {
    let mut line = None;
    loop {
        let batch = running.agree.borrow_mut().as_mut().and_then(|a| a.next_batch(&other));
        let Some(batch) = batch else {
            Timer::after(AGREE_EVERY / 4).await;
            continue;
        };
        let body = encode(&batch);
        let asked = send_message(&mut line, address, ("POST", "/fleet/agree"), &body);
        let went = with_timeout(AGREE_WITHIN, asked).await;
        if went.is_none() {
            line = None;
        }
        if let Some(agree) = running.agree.borrow_mut().as_mut() {
            agree.batch_sent(&other, matches!(went, Some(Ok(_))));
        }
    }
}

fn take_part(
    fleet: &Fleet,
    name: &str,
    incarnation: u64,
    dir: Option<&Path>,
    found: bool,
) -> Result<Option<AgreedLog>, String> {
    let names: Vec<String> = fleet.planners().map(|p| p.name.clone()).collect();
    // One planner alone has nobody to agree with; its own word would be gone with it.
    let Some(dir) = dir.filter(|_| names.len() > 1) else { return Ok(None) };
    match AgreedLog::open(names, name, incarnation, Some(dir), found) {
        Ok(agree) => Ok(Some(agree)),
        Err(JoinError::Io(e)) => Err(format!("{}: {e}", dir.display())),
        Err(JoinError::LostState) => {
            log::warn!("fleet: {APART}");
            Ok(None)
        }
    }
}

async fn pull(running: Rc<Running>, other: String, address: SocketAddr) {
    let mut line = None;
    loop {
        let begun = Instant::now();
        let body = encode(&running.planner.borrow().pull_request());
        let asked = send_message(&mut line, address, ("POST", "/fleet/pull"), &body);
        match with_timeout(PULL_WITHIN, asked).await {
            Some(Ok(bytes)) => match decode::<PullResponse>(&bytes) {
                Ok(pushed) if pushed.planner == other => {
                    let fresh = running.planner.borrow_mut().apply_pull_response(running.now(), pushed);
                    fresh.into_iter().for_each(|(f, i, r)| running.keep(&f, i, r));
                }
                Ok(pushed) => log::error!("fleet: {other} answers as {}", pushed.planner),
                Err(e) => log::warn!(planner = other.as_str(), why:% = e; "fleet: an answer is refused"),
            },
            Some(Err(e)) => log::debug!(planner = other.as_str(), why:% = e; "fleet: not heard"),
            None => line = None,
        }
        Timer::at(begun + PULL_EVERY).await;
    }
}
