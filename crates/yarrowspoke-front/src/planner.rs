//! Runs a planner: connects `yarrowspoke_fleet::planner` to the network, to the disk and to operators' orders.

use crate::agreed_log::{AgreedLog, JoinError, MessageBatch};
use crate::net::fleet::{send_message, serve, LinkHandler, LinkHead, LinkResponse, MEMBER_RESPONSE_LIMIT};
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
use yarrowspoke_fleet::order_intake::{OrderIntake, OrderRejection};
use yarrowspoke_fleet::permits::{Entry, Limits, Order, PermitMessage, Phase};
use yarrowspoke_fleet::planner::Planner;
use yarrowspoke_fleet::report_log::ReportLog;
use yarrowspoke_fleet::settings::{Fleet, Role};
use yarrowspoke_fleet::span::Report;
use yarrowspoke_fleet::wire::{
    decode, decode_with_list, encode, encode_with_list, Heartbeat, Pull, PullResponse,
};
use yarrowspoke_store::reports::{ReportKey, Reports};

/// How often new reports are passed to the disk and changed steps are logged.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// How often reports are pulled from another planner.
const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// How long the other planner may take to answer a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval between two ticks of the replicated log.
const LOG_TICK_INTERVAL: Duration = Duration::from_millis(40);
/// How long the delivery of a batch of its messages may take.
const BATCH_TIMEOUT: Duration = Duration::from_millis(400);
/// After how long an entry that has not been decided is proposed again.
const PROPOSE_INTERVAL: Duration = Duration::from_millis(400);
/// Error and log text of a planner that has not joined the replicated log.
const NOT_JOINED: &str =
    "this planner has not joined the replicated log: it has no directory, is the only planner, or its directory is \
    empty and it was not started with --found";

/// Work for the disk thread: reports to write, and keys of reports to delete.
type Write = (Vec<(ReportKey, Report)>, Vec<ReportKey>);

/// Reads the reports of a directory. Returns them with a line for each record that could not be read.
pub fn read_report_log(dir: &Path) -> Result<(ReportLog, Vec<String>), String> {
    let read = Reports::open(dir).and_then(|r| r.read::<Report>()).map_err(|e| e.to_string())?;
    let (mut report_log, mut unreadable) = (ReportLog::default(), read.unreadable);
    for ((front, incarnation, ..), report) in read.reports {
        if let Err(e) = report_log.insert(&front, incarnation, report) {
            unreadable.push(format!("{front} incarnation {incarnation}: {e}"));
        }
    }
    Ok((report_log, unreadable))
}

/// State that the tasks of a running planner share.
struct RunningPlanner {
    planner: RefCell<Planner>,
    /// Replica of the log; `None` if this planner has not joined it, for instance because it may have lost its promises.
    agreed_log: RefCell<Option<AgreedLog>>,
    order_intake: RefCell<OrderIntake>,
    /// Entries proposed recently and when, so that an entry is not proposed again at every tick.
    proposed_at: RefCell<BTreeMap<String, Instant>>,
    started: Instant,
    unwritten: RefCell<Vec<(ReportKey, Report)>>,
    has_directory: bool,
}

impl RunningPlanner {
    fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn store_report(&self, front: &str, incarnation: u64, report: Report) {
        if self.has_directory {
            let key = (front.to_owned(), incarnation, report.first, report.last);
            self.unwritten.borrow_mut().push((key, report));
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
            ("GET", "/fleet/audit") => match parse_audit_query(query) {
                Ok(audit_query) => json(&audit(&self.planner.borrow().report_log, &audit_query)),
                Err(why) => LinkResponse::error(400, why),
            },
            ("POST", "/fleet/agree") => match decode::<MessageBatch>(body) {
                Ok(batch) => {
                    if let Some(agreed_log) = self.agreed_log.borrow_mut().as_mut() {
                        agreed_log.receive(batch);
                    }
                    LinkResponse::ok(Vec::new())
                }
                Err(e) => self.refuse(e),
            },
            ("POST", "/fleet/order") => self.order(body),
            ("GET", "/fleet/agreed") => match self.agreed_log.borrow().as_ref() {
                Some(agreed_log) => json(&serde_json::json!({
                    "state": agreed_log.state, "leader": agreed_log.leader(), "applied": agreed_log.applied(),
                })),
                None => LinkResponse::error(400, NOT_JOINED),
            },
            ("GET", "/up") => LinkResponse::ok(b"OK".to_vec()),
            _ => LinkResponse::error(
                404,
                "no such path, expected one of /fleet/report, /fleet/pull, /fleet/status, /fleet/audit",
            ),
        }
    }

    /// Proposes an operator's order, if it is taken. It is decided once its ticket is among the outcomes; the caller polls until then.
    fn order(&self, body: &[u8]) -> LinkResponse {
        let request: OrderRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(e) => return LinkResponse::error(400, e),
        };
        let texts = [&request.front, &request.why, &request.by].map(String::as_str);
        match self.order_intake.borrow_mut().take(self.now(), &texts) {
            Ok(()) => {}
            Err(why @ OrderRejection::TooMany) => return LinkResponse::error(503, why),
            Err(why @ OrderRejection::LongText(_)) => return LinkResponse::error(400, why),
        }
        let order = match request.what.as_str() {
            "out" => match self.planner.borrow().live_incarnation(&request.front, self.now()) {
                Some((incarnation, _)) => {
                    Order::Out { front: request.front, incarnation, cause: request.why }
                }
                None => {
                    return LinkResponse::error(
                        400,
                        format!("no heartbeat of {:?} has reached this planner", request.front),
                    )
                }
            },
            "in" => Order::In { front: request.front },
            "halt" => Order::Halt { why: request.why },
            "resume" => Order::Resume,
            "free" => Order::Free { front: request.front, number: request.number },
            other => {
                let why = format!("found {other:?}, expected out, in, halt, resume or free");
                return LinkResponse::error(400, why);
            }
        };
        match self.agreed_log.borrow_mut().as_mut() {
            Some(agreed_log) => {
                let (by, known_orders, ticket) = (request.by, request.knows, request.ticket);
                agreed_log.propose(Entry::Order { order, by, known_orders, ticket });
                LinkResponse::ok(b"proposed\n".to_vec())
            }
            None => LinkResponse::error(400, NOT_JOINED),
        }
    }

    /// Returns whether an entry may be proposed now, that is, whether it was not proposed recently.
    fn is_due(&self, entry: String) -> bool {
        let mut proposed = self.proposed_at.borrow_mut();
        proposed.retain(|_, at| at.elapsed() < PROPOSE_INTERVAL);
        proposed.insert(entry, Instant::now()).is_none()
    }

    /// Proposes the entries for what this planner observes and the replicated log does not contain yet.
    fn propose_observations(&self, limits: &Limits) {
        let (now, mut agreed_log) = (self.now(), self.agreed_log.borrow_mut());
        let Some(agreed_log) = agreed_log.as_mut() else { return };
        let mut planner = self.planner.borrow_mut();
        planner.set_permits(now, &agreed_log.state.permits, agreed_log.state.last_permit_number);
        let mut entries = Vec::new();
        if agreed_log.state.limits != *limits && agreed_log.leader() == Some(agreed_log.name()) {
            entries.push(("limits".to_owned(), Entry::Limits(limits.clone())));
        }
        let lost = planner.lost_fronts(now);
        if planner.is_warmed_up(now) && agreed_log.state.views.get(agreed_log.name()) != Some(&lost) {
            let view = Entry::View { planner: agreed_log.name().to_owned(), lost: lost.clone() };
            entries.push((format!("view {lost:?}"), view));
        }
        for (front, incarnation, number, message) in planner.permit_messages(now) {
            let Some(permit) = agreed_log.state.permits.get(&front).filter(|p| p.number == number) else {
                continue;
            };
            let entry = match (message, permit.phase) {
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
        // A permit is done only once this planner has seen its holder in service again, in a later incarnation than the one
        // that held the permit.
        for (front, permit) in &agreed_log.state.permits {
            if planner.has_returned(front, permit, now) {
                let entry = Entry::Done { front: front.clone(), number: permit.number };
                entries.push((format!("{entry:?}"), entry));
            }
        }
        for (name, entry) in entries {
            if self.is_due(name) {
                agreed_log.propose(entry);
            }
        }
    }

    fn refuse(&self, why: yarrowspoke_fleet::wire::MessageError) -> LinkResponse {
        self.planner.borrow_mut().count_rejected(&why);
        log::warn!("fleet: a message was rejected: {why}");
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
                reports.into_iter().for_each(|r| self.store_report(&front, incarnation, r));
                LinkResponse::ok(encode_with_list(&mut answer))
            }
            Err(why) => {
                log::warn!(front = front.as_str(), why:%; "fleet: a heartbeat was rejected");
                LinkResponse::error(400, why)
            }
        }
    }
}

/// An order as an operator's command sends it.
#[derive(Deserialize)]
struct OrderRequest {
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

/// Parses the query string of an audit request.
pub fn parse_audit_query(query: &str) -> Result<AuditQuery, String> {
    let mut audit_query = AuditQuery::default();
    for part in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let number =
            || value.parse::<u64>().map_err(|_| format!("{name}: found {value:?}, expected a whole number"));
        match name {
            "front" => audit_query.front = Some(value.to_owned()),
            "index" => audit_query.index = Some(number()?),
            "from" => audit_query.from = Some(number()?),
            "to" => audit_query.to = Some(number()?),
            _ => return Err(format!("found {name:?}, expected front, index, from or to")),
        }
    }
    Ok(audit_query)
}

/// Runs a planner until it is stopped. `found` says that its directory is new and that this planner has never taken part in the
/// replicated log.
pub fn run(name: &str, operator: &Path, dir: Option<PathBuf>, found: bool) -> Result<(), String> {
    let file = yarrowspoke_operator::load(operator).map_err(|e| e.to_string())?;
    let shown = operator.display();
    let fleet =
        file.fleet.ok_or_else(|| format!("{shown}: no section fleet, which a planner requires"))?.fleet;
    let member = fleet.member(name).filter(|m| m.role == Role::Planner);
    let names: Vec<&str> = fleet.planners().map(|p| p.name.as_str()).collect();
    let member =
        member.ok_or_else(|| format!("{shown}: no planner {name}, expected one of {}", names.join(", ")))?;
    let address = member.address.ok_or_else(|| format!("{shown}: the planner {name} has no address"))?;
    let (mut report_log, mut writes, mut disk_thread) = (ReportLog::default(), None, None);
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_micros() as u64);
    let agreed_log = join_log(&fleet, name, incarnation, dir.as_deref(), found)?;
    if let Some(dir) = dir {
        if !dir.is_dir() {
            return Err(format!("{}: no such directory; a planner does not create it", dir.display()));
        }
        let unreadable;
        (report_log, unreadable) = read_report_log(&dir)?;
        unreadable.iter().for_each(|s| log::error!("fleet: a stored report cannot be read: {s}"));
        let reports = Reports::open(&dir).map_err(|e| e.to_string())?;
        let (sender, receiver) = mpsc::sync_channel::<Write>(64);
        let work = move || {
            for (new, expired) in receiver {
                if let Err(e) = reports.update(&new, &expired) {
                    log::error!("fleet: reports could not be written to disk: {e}");
                }
            }
        };
        let thread =
            std::thread::Builder::new().name("reports".into()).spawn(work).map_err(|e| e.to_string())?;
        (writes, disk_thread) = (Some(sender), Some(thread));
    }
    let executor = Rc::new(LocalExecutor::new());
    let result = async_io::block_on(executor.run(serve_planner(
        fleet,
        (name, incarnation),
        address,
        (report_log, agreed_log),
        writes,
        Rc::clone(&executor),
    )));
    if let Some(thread) = disk_thread {
        let _ = thread.join();
    }
    result.map_err(|e| e.to_string())
}

async fn serve_planner(
    fleet: Fleet,
    (name, incarnation): (&str, u64),
    address: SocketAddr,
    (report_log, agreed_log): (ReportLog, Option<AgreedLog>),
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
    let (retention, limits) = ((fleet.keep, fleet.keep_bytes), Limits::from_settings(&fleet));
    let running = Rc::new(RunningPlanner {
        planner: RefCell::new(Planner::new(fleet, name, incarnation, 0, report_log)),
        agreed_log: RefCell::new(agreed_log),
        order_intake: RefCell::default(),
        proposed_at: RefCell::default(),
        started: Instant::now(),
        unwritten: RefCell::default(),
        has_directory: writes.is_some(),
    });
    let handled = Rc::clone(&running);
    let answer: LinkHandler = Rc::new(move |head, body| handled.answer(head, body));
    executor.spawn(serve(listener, Rc::clone(&executor), answer)).detach();
    for (other, address) in others {
        executor.spawn(send_log_batches(Rc::clone(&running), other.clone(), address)).detach();
        executor.spawn(pull(Rc::clone(&running), other, address)).detach();
    }
    log::info!("planner {name} listens on {address}");
    let housekeeping = async {
        loop {
            Timer::after(HOUSEKEEPING_INTERVAL).await;
            housekeep(&running, writes.as_ref(), retention);
        }
    };
    let ticks = async {
        loop {
            Timer::after(LOG_TICK_INTERVAL).await;
            if let Some(agreed_log) = running.agreed_log.borrow_mut().as_mut() {
                agreed_log.tick();
            }
            running.propose_observations(&limits);
        }
    };
    let work = future::or(housekeeping, ticks);
    let stop = async {
        signals.next().await;
    };
    future::or(work, stop).await;
    housekeep(&running, writes.as_ref(), retention);
    // Their fronts were told that these reports are kept, so this process does not end before the disk has taken them.
    let unwritten = running.unwritten.take();
    if let Some(writes) = writes.filter(|_| !unwritten.is_empty()) {
        let _ = writes.send((unwritten, Vec::new()));
    }
    log::info!("planner {name} stops");
    Ok(())
}

fn housekeep(
    running: &RunningPlanner,
    writes: Option<&mpsc::SyncSender<Write>>,
    (keep, keep_bytes): (u64, u64),
) {
    let mut planner = running.planner.borrow_mut();
    for (front, step) in planner.changed_steps(running.now()) {
        log::info!(front = front.as_str(), step:?; "fleet: step");
    }
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    let expired: Vec<ReportKey> = planner.report_log.prune(wall.saturating_sub(keep), keep_bytes);
    let Some(writes) = writes else { return };
    let new = running.unwritten.take();
    if new.is_empty() && expired.is_empty() {
        return;
    }
    // A slow disk must not delay heartbeats: reports that the queue cannot take now are passed on again later.
    if let Err(mpsc::TrySendError::Full((new, _))) = writes.try_send((new, expired)) {
        running.unwritten.borrow_mut().extend(new);
    }
}

/// Sends the messages of the replicated log to another planner, in order and one batch at a time.
async fn send_log_batches(running: Rc<RunningPlanner>, other: String, address: SocketAddr) {
    let mut connection = None;
    loop {
        let batch = running.agreed_log.borrow_mut().as_mut().and_then(|a| a.next_batch(&other));
        let Some(batch) = batch else {
            Timer::after(LOG_TICK_INTERVAL / 4).await;
            continue;
        };
        let body = encode(&batch);
        let call =
            send_message(&mut connection, address, ("POST", "/fleet/agree"), &body, MEMBER_RESPONSE_LIMIT);
        let reply = with_timeout(BATCH_TIMEOUT, call).await;
        if reply.is_none() {
            connection = None;
        }
        if let Some(agreed_log) = running.agreed_log.borrow_mut().as_mut() {
            agreed_log.batch_sent(&other, matches!(reply, Some(Ok(_))));
        }
    }
}

fn join_log(
    fleet: &Fleet,
    name: &str,
    incarnation: u64,
    dir: Option<&Path>,
    found: bool,
) -> Result<Option<AgreedLog>, String> {
    let names: Vec<String> = fleet.planners().map(|p| p.name.clone()).collect();
    // A single planner has no quorum to join, and a decision of its own would be lost with it.
    let Some(dir) = dir.filter(|_| names.len() > 1) else { return Ok(None) };
    match AgreedLog::open(names, name, incarnation, Some(dir), found) {
        Ok(agreed_log) => Ok(Some(agreed_log)),
        Err(JoinError::Io(e)) => Err(format!("{}: {e}", dir.display())),
        Err(JoinError::LostState) => {
            log::warn!("fleet: {NOT_JOINED}");
            Ok(None)
        }
    }
}

async fn pull(running: Rc<RunningPlanner>, other: String, address: SocketAddr) {
    let mut connection = None;
    loop {
        let started = Instant::now();
        let body = encode(&running.planner.borrow().pull_request());
        let call =
            send_message(&mut connection, address, ("POST", "/fleet/pull"), &body, MEMBER_RESPONSE_LIMIT);
        match with_timeout(PULL_TIMEOUT, call).await {
            Some(Ok(bytes)) => match decode::<PullResponse>(&bytes) {
                Ok(response) if response.planner == other => {
                    let new = running.planner.borrow_mut().apply_pull_response(running.now(), response);
                    new.into_iter().for_each(|(f, i, r)| running.store_report(&f, i, r));
                }
                Ok(response) => log::error!("fleet: {other} answers as {}", response.planner),
                Err(e) => {
                    log::warn!(planner = other.as_str(), why:% = e; "fleet: an answer to a pull was rejected")
                }
            },
            Some(Err(e)) => {
                log::debug!(planner = other.as_str(), why:% = e; "fleet: pull from a planner failed")
            }
            None => connection = None,
        }
        Timer::at(started + PULL_INTERVAL).await;
    }
}
