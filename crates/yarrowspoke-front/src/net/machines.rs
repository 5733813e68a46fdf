//! Machines: kept connections and single attempts on them.
//!
//! An attempt is dropped to give it up, which closes its connection. Nothing is ever resent here.

use super::http::{Decoder, Encoder, Framing, FromHead, HttpError, RawHead, BODY_LIMIT};
use super::{micros_to_duration, read_some, with_timeout};
use crate::descriptor_budget::{Descriptor, DescriptorBudget};
use crate::exchange::Exchange;
use crate::input::{Clock, Reply, Row};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use thiserror::Error;
use yarrowspoke::interface::{CallOutcome, MachineId, MachineState, Micros};
use yarrowspoke_settings::Transport;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Not on a connection yet.
    Connecting,
    /// On a connection, its last byte not yet written.
    Writing,
    /// Its last byte is written: the machine may run it.
    Written,
}

/// What broke an attempt.
#[derive(Debug, Error)]
pub enum AttemptFailure {
    /// No more connections may be held.
    #[error("no descriptor left")]
    NoDescriptor,
    /// The machine has no address.
    #[error("no address")]
    NoAddress,
    /// Not connected in time.
    #[error("not connected in time")]
    ConnectTimeout,
    /// Not written before the moment from which it must not be.
    #[error("not written in time")]
    WriteDeadline,
    /// The socket failed.
    #[error("socket: {0}")]
    Io(#[from] io::Error),
    /// The answer is no HTTP.
    #[error("answer: {0}")]
    Http(#[from] HttpError),
    /// The connection ended without an answer.
    #[error("ended without an answer")]
    Closed,
}

impl AttemptFailure {
    /// The sort of cause, for counts.
    fn sort(&self) -> &'static str {
        match self {
            Self::NoDescriptor => "no descriptor left",
            Self::NoAddress => "no address",
            Self::ConnectTimeout => "not connected in time",
            Self::WriteDeadline => "not written in time",
            Self::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => "refused",
            Self::Io(_) => "broken",
            Self::Http(_) => "spoilt answer",
            Self::Closed => "ended without an answer",
        }
    }
}

/// Until when an attempt may go on, on the clock.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// Nobody waits for its answer from then on.
    pub expires: Micros,
    /// It must not be written from then on, if that is sooner.
    pub write_by: Option<Micros>,
}

/// A broken attempt, and how far it had come.
#[derive(Debug, Error)]
#[error("{progress:?}: {cause}")]
pub struct AttemptError {
    /// How far it had come.
    pub progress: Progress,
    /// What broke it.
    pub cause: AttemptFailure,
}

impl AttemptError {
    /// The outcome: before the last byte was written it has not run, afterwards nobody knows.
    pub fn outcome(&self) -> CallOutcome {
        match self.progress {
            Progress::Connecting | Progress::Writing => CallOutcome::ConnectFailed,
            Progress::Written => CallOutcome::Reset,
        }
    }
}

struct ReplyHead {
    status: u16,
    rejected: bool,
    load: Option<String>,
    keep: bool,
}

/// The status of an answer's first line.
pub fn parse_status(head: &RawHead) -> Result<u16, HttpError> {
    let [version, code, _] = head.start_line;
    let digits = code.len() == 3 && code.bytes().all(|b| b.is_ascii_digit());
    if !version.starts_with("HTTP/1.") || !digits {
        return Err(HttpError::StartLine);
    }
    code.parse().ok().filter(|c| (100..600).contains(c)).ok_or(HttpError::StartLine)
}

impl FromHead for ReplyHead {
    type Context = ();
    const STRICT: bool = false;

    /// Danger: an answer cut off by a machine's death looks whole where only the connection's end marks its own.
    fn default_framing(&self) -> Option<Framing> {
        (!self.keep).then_some(Framing::UntilClose)
    }

    fn from_head(head: &RawHead, _: &()) -> Result<Self, HttpError> {
        Ok(Self {
            status: parse_status(head)?,
            rejected: head.field("x-rejected") == Some("1"),
            load: head.field("x-load-report").map(str::to_owned),
            keep: head.keeps_alive(head.start_line[0]),
        })
    }

    fn is_interim(&self) -> bool {
        self.status < 200
    }

    fn has_no_body(&self) -> bool {
        self.status < 200 || matches!(self.status, 204 | 304)
    }
}

impl ReplyHead {
    fn outcome(&self) -> CallOutcome {
        match self.status {
            200 => CallOutcome::Ok,
            503 | 504 if self.rejected => CallOutcome::Rejected,
            _ => CallOutcome::Error,
        }
    }
}

/// Reads a load report into the order of the settings' fields; empty unless all are there.
pub fn parse_load_report(report: &str, fields: &[String]) -> Vec<f32> {
    let value = |name: &String| {
        let mut pairs = report.split(',').filter_map(|p| p.split_once('='));
        let (_, value) = pairs.find(|(n, _)| n.trim() == name)?;
        value.trim().parse::<f32>().ok().filter(|v| v.is_finite() && *v >= 0.0)
    };
    fields.iter().map(value).collect::<Option<_>>().unwrap_or_default()
}

struct Line {
    stream: Async<TcpStream>,
    _place: Descriptor,
}

/// A machine's whole answer, and whether the connection may carry another.
struct Heard {
    head: ReplyHead,
    body: Vec<u8>,
    reusable: bool,
}

impl Line {
    /// Reads the answer to what was written.
    async fn answer(&mut self) -> Result<Heard, AttemptFailure> {
        let mut decoder = Decoder::<ReplyHead>::new(BODY_LIMIT);
        loop {
            let n = read_some(&mut self.stream, |bytes| decoder.feed(bytes)).await?;
            let message = if n == 0 { decoder.finish()? } else { decoder.next_message()? };
            if let Some((head, body)) = message {
                let reusable = n > 0 && head.keep && decoder.is_idle();
                return Ok(Heard { head, body, reusable });
            }
            if n == 0 {
                return Err(AttemptFailure::Closed);
            }
        }
    }
}

struct Idle {
    line: Line,
    since: Micros,
}

/// How long a connection rests after an answer. Danger: a second copy of it may come some milliseconds late, and
/// on a connection that already carries the next request it would be taken for that one's answer.
const REST: Micros = 25_000;

impl Idle {
    /// Nothing came and nothing ended while it lay idle.
    fn is_sound(&self) -> bool {
        let peeked = self.line.stream.get_ref().peek(&mut [0; 1]);
        if matches!(peeked, Ok(n) if n > 0) {
            log::info!("a machine has written behind its answer: the connection is closed");
        }
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Who stands behind a machine's id.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Tenancy {
    address: Option<SocketAddr>,
    build: u16,
    started: Micros,
}

#[derive(Default)]
struct Host {
    tenancy: Tenancy,
    /// It may get new requests.
    ready: bool,
    idle: VecDeque<Idle>,
}

/// All machines listed, with the connections kept to them.
pub struct Machines {
    hosts: RefCell<BTreeMap<MachineId, Host>>,
    places: Rc<DescriptorBudget>,
    transport: Transport,
    /// What broke attempts since this was last told.
    broke: RefCell<BTreeMap<&'static str, usize>>,
}

impl Machines {
    /// No machine yet.
    pub fn new(places: Rc<DescriptorBudget>, transport: Transport) -> Rc<Self> {
        Rc::new(Self { hosts: RefCell::default(), places, transport, broke: RefCell::default() })
    }

    /// Takes in a line of the list. Danger: an address may return with another machine or build behind it,
    /// so what was kept to the old one is closed.
    pub fn update(&self, row: &Row) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(row.entry.machine).or_default();
        let (build, started) = (row.entry.build, row.entry.started_at);
        let tenancy = Tenancy { address: row.address, build, started };
        host.ready = row.entry.state == MachineState::Ready;
        if host.tenancy != tenancy || !host.ready {
            host.idle.clear();
        }
        host.tenancy = tenancy;
        if row.entry.state == MachineState::Gone {
            hosts.remove(&row.entry.machine);
        }
    }

    /// Forgets machines that a whole list no longer holds.
    pub fn keep_only(&self, rows: &[Row]) {
        self.hosts.borrow_mut().retain(|id, _| rows.iter().any(|r| r.entry.machine == *id));
    }

    /// Closes idle connections to a machine.
    pub fn close_idle(&self, machine: MachineId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&machine) {
            host.idle.clear();
        }
    }

    /// Connections that are idle.
    pub fn idle_count(&self) -> usize {
        self.hosts.borrow().values().map(|h| h.idle.len()).sum()
    }

    /// Closes connections that the machine would soon close itself, and those that ended.
    pub fn sweep(&self, now: Micros) {
        let limit = self.idle_limit();
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|i| now < i.since.saturating_add(limit) && i.is_sound());
        }
    }

    /// How long a connection is kept idle: a quarter less than the machine keeps it.
    fn idle_limit(&self) -> Micros {
        if self.transport.idle == 0 {
            Micros::MAX
        } else {
            self.transport.idle / 4 * 3
        }
    }

    /// A kept connection that has rested and is still sound, the newest first.
    fn kept(&self, machine: MachineId, now: Micros) -> Option<Line> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(&machine)?;
        loop {
            let rested = host.idle.iter().rposition(|i| now >= i.since + REST)?;
            let idle = host.idle.remove(rested)?;
            if now < idle.since.saturating_add(self.idle_limit()) && idle.is_sound() {
                return Some(idle.line);
            }
        }
    }

    /// Keeps a connection that has served, unless its machine has changed or drains meanwhile.
    fn keep(&self, machine: MachineId, tenancy: Tenancy, line: Line, now: Micros) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&machine) {
            // While everything is in use a connection that has served gives its place to a client.
            if host.ready && host.tenancy == tenancy && !self.places.is_full() {
                host.idle.push_back(Idle { line, since: now });
            }
        }
    }

    /// A place for a new connection; at the limit the connection that was idle longest makes room.
    fn place(&self) -> Result<Descriptor, AttemptFailure> {
        if let Some(place) = self.places.take_for_machine() {
            return Ok(place);
        }
        let mut hosts = self.hosts.borrow_mut();
        let oldest = hosts.values_mut().filter(|h| !h.idle.is_empty());
        let oldest = oldest.min_by_key(|h| h.idle.front().map(|i| i.since));
        drop(oldest.and_then(|h| h.idle.pop_front()));
        self.places.take_for_machine().ok_or(AttemptFailure::NoDescriptor)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Line, AttemptFailure> {
        let place = self.place()?;
        let connecting = Async::<TcpStream>::connect(address);
        let stream = match self.transport.connect_timeout {
            0 => connecting.await?,
            limit => with_timeout(micros_to_duration(limit), connecting)
                .await
                .ok_or(AttemptFailure::ConnectTimeout)??,
        };
        stream.get_ref().set_nodelay(true)?;
        Ok(Line { stream, _place: place })
    }

    /// Makes one attempt; `progress` tells at any moment how far it has come.
    pub async fn attempt(
        &self,
        machine: MachineId,
        exchange: &Exchange,
        until: AttemptDeadlines,
        progress: &Cell<Progress>,
        clock: &Clock,
    ) -> Result<Reply, AttemptError> {
        let tried = self.exchange(machine, exchange, until, progress, clock).await;
        tried.map_err(|cause| {
            *self.broke.borrow_mut().entry(cause.sort()).or_default() += 1;
            AttemptError { progress: progress.get(), cause }
        })
    }

    /// Asks a machine whether it answers. A request without a call's id starts no work there, and any answer to it
    /// will do; it goes over a connection like any other, behind what the machine takes up first.
    pub async fn probe(&self, machine: MachineId, limit: Micros) -> (CallOutcome, Option<String>) {
        let progress = Cell::new(Progress::Connecting);
        let asked = async {
            let (_, address) = self.tenancy(machine)?;
            let mut line = self.connect(address).await?;
            // Whether it ran does not matter: what breaks a connection that stood is a reset.
            progress.set(Progress::Written);
            let request = Encoder::new(format_args!("GET / HTTP/1.1"))
                .field("Host", format_args!("{address}"))
                .field("Connection", format_args!("close"))
                .body(&[]);
            line.stream.write_all(&request).await?;
            Ok(line.answer().await?.head.load)
        };
        match with_timeout(micros_to_duration(limit), asked).await {
            Some(Ok(load)) => (CallOutcome::Ok, load),
            Some(Err(cause)) => (AttemptError { progress: progress.get(), cause }.outcome(), None),
            None => (CallOutcome::Timeout, None),
        }
    }

    /// What broke attempts since this was last asked, counted by sort.
    pub fn take_failure_counts(&self) -> BTreeMap<&'static str, usize> {
        self.broke.take()
    }

    async fn exchange(
        &self,
        machine: MachineId,
        exchange: &Exchange,
        until: AttemptDeadlines,
        progress: &Cell<Progress>,
        clock: &Clock,
    ) -> Result<Reply, AttemptFailure> {
        let (tenancy, address) = self.tenancy(machine)?;
        let written = self.write(machine, address, exchange, until, progress, clock);
        // Danger: a connection may come up, or take the bytes, only after the moment until which sending was allowed.
        let mut line = match until.write_by {
            Some(by) => {
                let left = micros_to_duration(by.saturating_sub(clock.now()));
                with_timeout(left, written).await.ok_or(AttemptFailure::WriteDeadline)??
            }
            None => written.await?,
        };
        progress.set(Progress::Written);
        let Heard { head, body, reusable } = line.answer().await?;
        if reusable {
            self.keep(machine, tenancy, line, clock.now());
        }
        Ok(Reply { outcome: head.outcome(), load_report: head.load, body })
    }

    /// Writes the request to a connection, kept or new.
    async fn write(
        &self,
        machine: MachineId,
        address: SocketAddr,
        exchange: &Exchange,
        until: AttemptDeadlines,
        progress: &Cell<Progress>,
        clock: &Clock,
    ) -> Result<Line, AttemptFailure> {
        let begun = clock.now();
        let mut line = match self.kept(machine, begun) {
            Some(line) => line,
            None => {
                let connected = self.connect(address).await;
                let took = clock.now() - begun;
                log::debug!(machine, took, failed = connected.as_ref().err().map(AttemptFailure::sort); "connected");
                connected?
            }
        };
        let now = clock.now();
        // Looked at here too: a process that stood still finds the connection up and the time over in one turn.
        if now >= until.write_by.unwrap_or(until.expires) {
            return Err(AttemptFailure::WriteDeadline);
        }
        progress.set(Progress::Writing);
        line.stream.write_all(&encode(exchange, address, until.expires - now)).await?;
        Ok(line)
    }

    fn tenancy(&self, machine: MachineId) -> Result<(Tenancy, SocketAddr), AttemptFailure> {
        let tenancy = self.hosts.borrow().get(&machine).map(|h| h.tenancy);
        tenancy.and_then(|t| t.address.map(|a| (t, a))).ok_or(AttemptFailure::NoAddress)
    }
}

fn encode(exchange: &Exchange, address: SocketAddr, wait: Micros) -> Vec<u8> {
    let call = &exchange.call;
    let head = Encoder::new(format_args!("{} {} HTTP/1.1", call.method, call.target))
        .field("Host", format_args!("{address}"))
        .field("X-Call-Id", format_args!("{}", call.call_id))
        .field("X-Budget", format_args!("{:.6}", wait as f64 / 1e6));
    // Danger: without its key a machine takes a repeat for another request, and runs it again.
    let head = match &call.idempotency_key {
        Some(key) => head.field("Idempotency-Key", format_args!("{key}")),
        None => head,
    };
    // A request without a body has no length to state.
    let bodied = !call.body.is_empty() || call.method != "GET";
    let head = if bodied { head.field("Content-Length", format_args!("{}", call.body.len())) } else { head };
    head.body(&call.body)
}
