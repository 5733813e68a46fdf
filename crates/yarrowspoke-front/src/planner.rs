//! A planner as a program: links, store and commands round `yarrowspoke_fleet::planner`.

use crate::net::fleet::{exchange, serve, Answering, LinkAnswer, LinkHead};
use crate::net::within;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yarrowspoke_fleet::audit::{audit, Asked};
use yarrowspoke_fleet::book::Book;
use yarrowspoke_fleet::planner::Planner;
use yarrowspoke_fleet::settings::{Fleet, Role};
use yarrowspoke_fleet::span::Report;
use yarrowspoke_fleet::wire::{decode, encode, Ask, Pull, Pushed};
use yarrowspoke_store::reports::{Key, Reports};

/// How often what came is handed to the disk, and steps are looked at.
const HOUSEKEEPING: Duration = Duration::from_millis(100);
/// How often another planner is asked for what it has.
const PULL_EVERY: Duration = Duration::from_millis(500);
/// How long it may take to answer.
const PULL_WITHIN: Duration = Duration::from_millis(1_000);

/// What the disk is to do: reports to keep, and reports to give up.
type Write = (Vec<(Key, Report)>, Vec<Key>);

/// Reads what a directory keeps; what could not be read, beside it.
pub fn read_book(dir: &Path) -> Result<(Book, Vec<String>), String> {
    let read = Reports::open(dir).and_then(|r| r.read::<Report>()).map_err(|e| e.to_string())?;
    let (mut book, mut spoilt) = (Book::default(), read.spoilt);
    for ((front, incarnation, ..), report) in read.reports {
        if let Err(e) = book.insert(&front, incarnation, report) {
            spoilt.push(format!("{front} life {incarnation}: {e}"));
        }
    }
    Ok((book, spoilt))
}

struct Running {
    planner: RefCell<Planner>,
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

    fn answer(&self, head: &LinkHead, body: &[u8]) -> LinkAnswer {
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        match (head.method.as_str(), path) {
            ("POST", "/fleet/report") => self.report(body),
            ("POST", "/fleet/pull") => match decode::<Pull>(body) {
                Ok(pull) => match self.planner.borrow().push(self.now(), &pull) {
                    Ok(pushed) => LinkAnswer::ok(encode(&pushed)),
                    Err(e) => LinkAnswer::refused(400, e),
                },
                Err(e) => self.refuse(e),
            },
            ("GET", "/fleet/status") => json(&self.planner.borrow().status(self.now())),
            ("GET", "/fleet/audit") => match asked(query) {
                Ok(asked) => json(&audit(&self.planner.borrow().book, &asked)),
                Err(why) => LinkAnswer::refused(400, why),
            },
            ("GET", "/up") => LinkAnswer::ok(b"OK".to_vec()),
            _ => LinkAnswer::refused(
                404,
                "no such thing: /fleet/report, /fleet/pull, /fleet/status, /fleet/audit",
            ),
        }
    }

    fn refuse(&self, why: yarrowspoke_fleet::wire::Refused) -> LinkAnswer {
        self.planner.borrow_mut().count_refused(&why);
        log::warn!("fleet: a message is refused: {why}");
        LinkAnswer::refused(400, why)
    }

    fn report(&self, body: &[u8]) -> LinkAnswer {
        let ask = match decode::<Ask>(body) {
            Ok(ask) => ask,
            Err(e) => return self.refuse(e),
        };
        let (front, incarnation, reports) = (ask.front.clone(), ask.incarnation, ask.reports.clone());
        match self.planner.borrow_mut().take(self.now(), ask) {
            Ok(answer) => {
                reports.into_iter().for_each(|r| self.keep(&front, incarnation, r));
                LinkAnswer::ok(encode(&answer))
            }
            Err(why) => {
                log::warn!(front = front.as_str(), why:%; "fleet: an ask is refused");
                LinkAnswer::refused(400, why)
            }
        }
    }
}

fn json(value: &impl serde::Serialize) -> LinkAnswer {
    match serde_json::to_vec(value) {
        Ok(body) => LinkAnswer::ok(body),
        Err(e) => LinkAnswer::refused(500, e),
    }
}

/// What part of an audit a query asks for.
pub fn asked(query: &str) -> Result<Asked, String> {
    let mut asked = Asked::default();
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

/// Runs a planner to its end.
pub fn run(name: &str, operator: &Path, dir: Option<PathBuf>) -> Result<(), String> {
    let file = yarrowspoke_operator::load(operator).map_err(|e| e.to_string())?;
    let shown = operator.display();
    let fleet = file.fleet.ok_or_else(|| format!("{shown}: no section fleet, which a planner needs"))?.fleet;
    let member = fleet.member(name).filter(|m| m.role == Role::Planner);
    let names: Vec<&str> = fleet.planners().map(|p| p.name.as_str()).collect();
    let member =
        member.ok_or_else(|| format!("{shown}: no planner {name}, expected one of {}", names.join(", ")))?;
    let address = member.address.ok_or_else(|| format!("{shown}: the planner {name} has no address"))?;
    let (mut book, mut writes, mut disk) = (Book::default(), None, None);
    if let Some(dir) = dir {
        if !dir.is_dir() {
            return Err(format!("{}: no such directory; it is not made by itself", dir.display()));
        }
        let spoilt;
        (book, spoilt) = read_book(&dir)?;
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
    let done =
        async_io::block_on(executor.run(plan(fleet, name, address, book, writes, Rc::clone(&executor))));
    if let Some(thread) = disk {
        let _ = thread.join();
    }
    done.map_err(|e| e.to_string())
}

async fn plan(
    fleet: Fleet,
    name: &str,
    address: SocketAddr,
    book: Book,
    writes: Option<mpsc::SyncSender<Write>>,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let listener = Async::<TcpListener>::bind(address)
        .map_err(|e| std::io::Error::new(e.kind(), format!("{address}: {e}")))?;
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_micros() as u64);
    let others: Vec<(String, SocketAddr)> = fleet
        .planners()
        .filter(|p| p.name != name)
        .filter_map(|p| Some((p.name.clone(), p.address?)))
        .collect();
    let bounds = (fleet.keep, fleet.keep_bytes);
    let running = Rc::new(Running {
        planner: RefCell::new(Planner::new(fleet, name, incarnation, 0, book)),
        begun: Instant::now(),
        fresh: RefCell::default(),
        keeps: writes.is_some(),
    });
    let handled = Rc::clone(&running);
    let answer: Answering = Rc::new(move |head, body| handled.answer(head, body));
    executor.spawn(serve(listener, Rc::clone(&executor), answer)).detach();
    for (other, address) in others {
        executor.spawn(pull(Rc::clone(&running), other, address)).detach();
    }
    log::info!("planner {name} listens on {address}");
    let work = async {
        loop {
            Timer::after(HOUSEKEEPING).await;
            housekeep(&running, writes.as_ref(), bounds);
        }
    };
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
    for (front, step) in planner.moved(running.now()) {
        log::info!(front = front.as_str(), step:?; "fleet: step");
    }
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    let gone: Vec<Key> = planner.book.prune(wall.saturating_sub(keep), keep_bytes);
    let Some(writes) = writes else { return };
    let fresh = running.fresh.take();
    if fresh.is_empty() && gone.is_empty() {
        return;
    }
    // A disk that is behind holds up no ask: what it could not take yet is tried again.
    if let Err(mpsc::TrySendError::Full((fresh, _))) = writes.try_send((fresh, gone)) {
        running.fresh.borrow_mut().extend(fresh);
    }
}

async fn pull(running: Rc<Running>, other: String, address: SocketAddr) {
    let mut line = None;
    loop {
        let begun = Instant::now();
        let body = encode(&running.planner.borrow().pull());
        let asked = exchange(&mut line, address, ("POST", "/fleet/pull"), &body);
        match within(PULL_WITHIN, asked).await {
            Some(Ok(bytes)) => match decode::<Pushed>(&bytes) {
                Ok(pushed) if pushed.planner == other => {
                    let fresh = running.planner.borrow_mut().pushed(running.now(), pushed);
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
