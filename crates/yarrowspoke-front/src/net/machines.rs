//! Connections to machines: a pool of idle ones, and single attempts on them.
//!
//! An attempt is cancelled by dropping it, which closes its connection. This module never resends a request.

use super::http::{Decoder, Encoder, Framing, FromHead, HttpError, RawHead, BODY_LIMIT};
use super::turn::Turn;
use super::{micros_to_duration, read_some, with_timeout};
use crate::descriptor_budget::{
    BodyMemory, BodyReservation, Descriptor, DescriptorBudget, UNRESERVED_BODY_BYTES,
};
use crate::exchange::Exchange;
use crate::input::{Clock, Reply, Row};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use thiserror::Error;
use yarrowspoke::interface::{CallOutcome, MachineId, MachineState, Micros};
use yarrowspoke_settings::Transport;

/// How far an attempt has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// It has no connection yet.
    Connecting,
    /// It has a connection, but its last byte is not written yet.
    Writing,
    /// Its last byte is written: the machine may run it.
    Written,
}

/// Why an attempt failed.
#[derive(Debug, Error)]
pub enum AttemptFailure {
    /// The connection limit is reached.
    #[error("no descriptor available")]
    NoDescriptor,
    /// The machine has no address.
    #[error("machine has no address")]
    NoAddress,
    /// No connection was established in time.
    #[error("not connected in time")]
    ConnectTimeout,
    /// The request was not written by its write deadline.
    #[error("not written in time")]
    WriteDeadline,
    /// The socket failed.
    #[error("socket: {0}")]
    Io(#[from] io::Error),
    /// The response is not valid HTTP.
    #[error("response: {0}")]
    Http(#[from] HttpError),
    /// The connection ended before the response.
    #[error("connection closed before a response")]
    Closed,
}

impl AttemptFailure {
    /// Returns the kind of failure, for counts.
    fn kind(&self) -> &'static str {
        match self {
            Self::NoDescriptor => "no descriptor available",
            Self::NoAddress => "machine has no address",
            Self::ConnectTimeout => "not connected in time",
            Self::WriteDeadline => "not written in time",
            Self::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => "refused",
            Self::Io(_) => "broken",
            Self::Http(_) => "unreadable response",
            Self::Closed => "connection closed before a response",
        }
    }
}

/// The deadlines of an attempt, on the front's clock.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// Time from which nobody waits for the response.
    pub expires: Micros,
    /// Time from which the request must not be written, if that is earlier.
    pub write_by: Option<Micros>,
}

/// A failed attempt and how far it had progressed.
#[derive(Debug, Error)]
#[error("{progress:?}: {cause}")]
pub struct AttemptError {
    /// Progress at the failure.
    pub progress: Progress,
    /// Cause of the failure.
    pub cause: AttemptFailure,
}

impl AttemptError {
    /// Returns the outcome: before its last byte is written an attempt has not run, afterwards it is unknown whether
    /// it has.
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
    load_report: Option<String>,
    keep_alive: bool,
}

/// Parses the status in a response's start line.
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
    const RESERVES_BODY: bool = false;

    /// Without stated framing, a response cut off by a machine's crash would look complete, since only the end of the
    /// connection marks its own end.
    fn default_framing(&self) -> Option<Framing> {
        (!self.keep_alive).then_some(Framing::UntilClose)
    }

    fn from_head(head: &RawHead, _: &()) -> Result<Self, HttpError> {
        Ok(Self {
            status: parse_status(head)?,
            rejected: head.field("x-rejected") == Some("1"),
            load_report: head.field("x-load-report").map(str::to_owned),
            keep_alive: head.keeps_alive(head.start_line[0]),
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

/// Parses a load report into values in the order of the configured fields; empty unless all fields are present.
pub fn parse_load_report(report: &str, fields: &[String]) -> Vec<f32> {
    let value = |name: &String| {
        let mut pairs = report.split(',').filter_map(|p| p.split_once('='));
        let (_, value) = pairs.find(|(n, _)| n.trim() == name)?;
        value.trim().parse::<f32>().ok().filter(|v| v.is_finite() && *v >= 0.0)
    };
    fields.iter().map(value).collect::<Option<_>>().unwrap_or_default()
}

struct Connection {
    stream: Async<TcpStream>,
    _descriptor: Descriptor,
}

/// A machine's complete response, and whether the connection can be reused.
struct Response {
    head: ReplyHead,
    body: Vec<u8>,
    memory: Option<BodyReservation>,
    reusable: bool,
}

/// Memory for large answers, and how many had to wait for it since the last report.
struct AnswerMemory {
    memory: BodyMemory,
    waited: Cell<u64>,
}

impl AnswerMemory {
    /// Reserves memory for an answer. Without any left its machine is not read further until another answer is written, or
    /// until nobody waits for this one.
    async fn reserve(&self, size: usize) -> BodyReservation {
        if let Some(reservation) = self.memory.reserve(size) {
            return reservation;
        }
        self.waited.set(self.waited.get() + 1);
        self.memory.reserve_when_available(size).await
    }
}

impl Connection {
    /// Reads the response to the request that was written.
    async fn read_response(&mut self, answers: &AnswerMemory) -> Result<Response, AttemptFailure> {
        let mut decoder = Decoder::<ReplyHead>::new(BODY_LIMIT);
        let mut turn = Turn::default();
        let mut memory = None;
        loop {
            let n = read_some(&mut self.stream, |bytes| decoder.feed(bytes)).await?;
            turn.record_bytes(n);
            let message = if n == 0 { decoder.finish()? } else { decoder.next_message()? };
            if let Some((head, body)) = message {
                let reusable = n > 0 && head.keep_alive && decoder.is_idle();
                return Ok(Response { head, body, memory, reusable });
            }
            if n == 0 {
                return Err(AttemptFailure::Closed);
            }
            if memory.is_none() && decoder.has_large_body(UNRESERVED_BODY_BYTES) {
                memory = Some(answers.reserve(decoder.expected_body_len()).await);
            }
            decoder.reserve_body();
            turn.yield_if_used().await;
        }
    }
}

struct Idle {
    connection: Connection,
    since: Micros,
}

/// How long a connection is unused after a response, in microseconds. A duplicate of the response may arrive some
/// milliseconds late, and on a connection that already carries the next request it would be taken for the response to
/// that one.
const REST_TIME: Micros = 25_000;

impl Idle {
    /// Returns whether the connection is still open and has received no data while it was idle.
    fn is_usable(&self) -> bool {
        let peek_result = self.connection.stream.get_ref().peek(&mut [0; 1]);
        if matches!(peek_result, Ok(n) if n > 0) {
            log::info!("a machine sent data after its response; closing the connection");
        }
        matches!(peek_result, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The machine instance behind an id.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct HostInstance {
    address: Option<SocketAddr>,
    build: u16,
    started_at: Micros,
}

#[derive(Default)]
struct Host {
    instance: HostInstance,
    /// Whether the machine may get new requests.
    ready: bool,
    idle: VecDeque<Idle>,
}

/// All listed machines, with the idle connections to them.
pub struct Machines {
    hosts: RefCell<BTreeMap<MachineId, Host>>,
    descriptors: Rc<DescriptorBudget>,
    transport: Transport,
    /// Counts of attempt failures since the last report, by kind.
    failure_counts: RefCell<BTreeMap<&'static str, usize>>,
    answers: AnswerMemory,
}

impl Machines {
    /// Returns a pool without machines. Large answers together hold at most `answer_bytes` bytes.
    pub fn new(descriptors: Rc<DescriptorBudget>, transport: Transport, answer_bytes: usize) -> Rc<Self> {
        let answers = AnswerMemory { memory: BodyMemory::new(answer_bytes), waited: Cell::new(0) };
        Rc::new(Self {
            answers,
            hosts: RefCell::default(),
            descriptors,
            transport,
            failure_counts: RefCell::default(),
        })
    }

    /// Applies a line of the list. An address may return with another machine or build behind it, so idle connections
    /// to the previous one are closed.
    pub fn update(&self, row: &Row) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(row.entry.machine).or_default();
        let (build, started_at) = (row.entry.build, row.entry.started_at);
        let instance = HostInstance { address: row.address, build, started_at };
        host.ready = row.entry.state == MachineState::Ready;
        if host.instance != instance || !host.ready {
            host.idle.clear();
        }
        host.instance = instance;
        if row.entry.state == MachineState::Gone {
            hosts.remove(&row.entry.machine);
        }
    }

    /// Removes machines that a snapshot of the list no longer contains.
    pub fn keep_only(&self, rows: &[Row]) {
        let listed: BTreeSet<MachineId> = rows.iter().map(|row| row.entry.machine).collect();
        self.hosts.borrow_mut().retain(|id, _| listed.contains(id));
    }

    /// Closes the idle connections to a machine.
    pub fn close_idle(&self, machine: MachineId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&machine) {
            host.idle.clear();
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.hosts.borrow().values().map(|h| h.idle.len()).sum()
    }

    /// Closes idle connections that the machine would soon close itself, and those that have ended.
    pub fn sweep(&self, now: Micros) {
        let idle_limit = self.idle_limit();
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|i| now < i.since.saturating_add(idle_limit) && i.is_usable());
        }
    }

    /// Returns how long a connection is kept idle: a quarter less than the machine keeps it.
    fn idle_limit(&self) -> Micros {
        if self.transport.idle == 0 {
            Micros::MAX
        } else {
            self.transport.idle / 4 * 3
        }
    }

    /// Takes the newest idle connection that is past its rest time and still usable.
    fn take_idle(&self, machine: MachineId, now: Micros) -> Option<Connection> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(&machine)?;
        loop {
            let rested = host.idle.iter().rposition(|i| now >= i.since + REST_TIME)?;
            let idle = host.idle.remove(rested)?;
            if now < idle.since.saturating_add(self.idle_limit()) && idle.is_usable() {
                return Some(idle.connection);
            }
        }
    }

    /// Returns a used connection to the pool, unless its machine has changed or begun to drain meanwhile.
    fn return_idle(&self, machine: MachineId, instance: HostInstance, connection: Connection, now: Micros) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&machine) {
            // While all descriptors are in use, a used connection is closed so that its descriptor serves a client.
            if host.ready && host.instance == instance && !self.descriptors.is_full() {
                host.idle.push_back(Idle { connection, since: now });
            }
        }
    }

    /// Takes a descriptor for a new connection; at the limit, the connection that has been idle longest is closed.
    fn take_descriptor(&self) -> Result<Descriptor, AttemptFailure> {
        if let Some(descriptor) = self.descriptors.take_for_machine() {
            return Ok(descriptor);
        }
        let mut hosts = self.hosts.borrow_mut();
        let oldest = hosts.values_mut().filter(|h| !h.idle.is_empty());
        let oldest = oldest.min_by_key(|h| h.idle.front().map(|i| i.since));
        drop(oldest.and_then(|h| h.idle.pop_front()));
        self.descriptors.take_for_machine().ok_or(AttemptFailure::NoDescriptor)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, AttemptFailure> {
        let descriptor = self.take_descriptor()?;
        let connecting = Async::<TcpStream>::connect(address);
        let stream = match self.transport.connect_timeout {
            0 => connecting.await?,
            limit => with_timeout(micros_to_duration(limit), connecting)
                .await
                .ok_or(AttemptFailure::ConnectTimeout)??,
        };
        stream.get_ref().set_nodelay(true)?;
        Ok(Connection { stream, _descriptor: descriptor })
    }

    /// Makes one attempt; `progress` shows at any time how far it has progressed.
    pub async fn attempt(
        &self,
        machine: MachineId,
        exchange: &Exchange,
        deadlines: AttemptDeadlines,
        progress: &Cell<Progress>,
        clock: &Clock,
    ) -> Result<Reply, AttemptError> {
        let result = self.exchange(machine, exchange, deadlines, progress, clock).await;
        result.map_err(|cause| {
            *self.failure_counts.borrow_mut().entry(cause.kind()).or_default() += 1;
            AttemptError { progress: progress.get(), cause }
        })
    }

    /// Checks whether a machine responds. A request without a call id starts no work there, and any response to it
    /// counts; it uses a connection like any other and queues behind what the machine accepted before.
    pub async fn probe(&self, machine: MachineId, timeout: Micros) -> (CallOutcome, Option<String>) {
        let progress = Cell::new(Progress::Connecting);
        let call = async {
            let (_, address) = self.instance(machine)?;
            let mut connection = self.connect(address).await?;
            // Whether the probe ran does not matter: a failure of an established connection counts as a reset.
            progress.set(Progress::Written);
            let request = Encoder::new(format_args!("GET / HTTP/1.1"))
                .field("Host", format_args!("{address}"))
                .field("Connection", format_args!("close"))
                .body(&[]);
            connection.stream.write_all(&request).await?;
            Ok(connection.read_response(&self.answers).await?.head.load_report)
        };
        match with_timeout(micros_to_duration(timeout), call).await {
            Some(Ok(load_report)) => (CallOutcome::Ok, load_report),
            Some(Err(cause)) => (AttemptError { progress: progress.get(), cause }.outcome(), None),
            None => (CallOutcome::Timeout, None),
        }
    }

    /// Returns how many answers had to wait for memory since the last call, and resets the count.
    pub fn take_answers_that_waited(&self) -> u64 {
        self.answers.waited.take()
    }

    /// Returns the counts of attempt failures since the last call, by kind, and resets them.
    pub fn take_failure_counts(&self) -> BTreeMap<&'static str, usize> {
        self.failure_counts.take()
    }

    async fn exchange(
        &self,
        machine: MachineId,
        exchange: &Exchange,
        deadlines: AttemptDeadlines,
        progress: &Cell<Progress>,
        clock: &Clock,
    ) -> Result<Reply, AttemptFailure> {
        let (instance, address) = self.instance(machine)?;
        let write = self.write(machine, address, exchange, deadlines, progress, clock);
        // A connection may be established, or accept the bytes, only after the time until which sending was allowed.
        let mut connection = match deadlines.write_by {
            Some(write_by) => {
                let remaining = micros_to_duration(write_by.saturating_sub(clock.now()));
                with_timeout(remaining, write).await.ok_or(AttemptFailure::WriteDeadline)??
            }
            None => write.await?,
        };
        progress.set(Progress::Written);
        let Response { head, body, memory, reusable } = connection.read_response(&self.answers).await?;
        if reusable {
            self.return_idle(machine, instance, connection, clock.now());
        }
        Ok(Reply { outcome: head.outcome(), load_report: head.load_report, body, memory })
    }

    /// Writes the request to an idle or a new connection.
    async fn write(
        &self,
        machine: MachineId,
        address: SocketAddr,
        exchange: &Exchange,
        deadlines: AttemptDeadlines,
        progress: &Cell<Progress>,
        clock: &Clock,
    ) -> Result<Connection, AttemptFailure> {
        let started_at = clock.now();
        let mut connection = match self.take_idle(machine, started_at) {
            Some(connection) => connection,
            None => {
                let connected = self.connect(address).await;
                let took = clock.now() - started_at;
                log::debug!(machine, took, failed = connected.as_ref().err().map(AttemptFailure::kind); "connected");
                connected?
            }
        };
        let now = clock.now();
        // Checked here too: after a pause the process finds the connection established and the deadline passed in
        // the same poll.
        if now >= deadlines.write_by.unwrap_or(deadlines.expires) {
            return Err(AttemptFailure::WriteDeadline);
        }
        progress.set(Progress::Writing);
        connection.stream.write_all(&encode(exchange, address, deadlines.expires - now)).await?;
        Ok(connection)
    }

    fn instance(&self, machine: MachineId) -> Result<(HostInstance, SocketAddr), AttemptFailure> {
        let instance = self.hosts.borrow().get(&machine).map(|h| h.instance);
        instance.and_then(|t| t.address.map(|a| (t, a))).ok_or(AttemptFailure::NoAddress)
    }
}

fn encode(exchange: &Exchange, address: SocketAddr, budget: Micros) -> Vec<u8> {
    let call = &exchange.call;
    let head = Encoder::new(format_args!("{} {} HTTP/1.1", call.method, call.target))
        .field("Host", format_args!("{address}"))
        .field("X-Call-Id", format_args!("{}", call.call_id))
        .field("X-Budget", format_args!("{:.6}", budget as f64 / 1e6));
    // Without its key, a machine would take a retry for a new request and run it again.
    let head = match &call.idempotency_key {
        Some(key) => head.field("Idempotency-Key", format_args!("{key}")),
        None => head,
    };
    // A request without a body states no length.
    let has_body = !call.body.is_empty() || call.method != "GET";
    let head =
        if has_body { head.field("Content-Length", format_args!("{}", call.body.len())) } else { head };
    head.body(&call.body)
}
