//! Discovery: the list of machines, asked for once or watched.

use super::http::{Decoder, Encoder, Framing, FromHead, HttpError, RawHead};
use super::{read_some, with_timeout};
use crate::input::{Input, ListMessage, Row, SubscriptionId};
use async_channel::Sender;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use yarrowspoke::interface::{DiscoveryId, ListUpdate, MachineEntry, MachineId, MachineState, Micros};
use yarrowspoke_settings::Names;

/// Most bytes of a list: some 30,000 machines at about 130 bytes each. Danger: a front whose list is over the limit never
/// has one, and is never ready where lists are pushed.
pub const LIST_LIMIT: usize = 4 * 1024 * 1024;
/// Longest wait of a watch. What a watch that has fallen silent misses counts as told 6 s after that, and the decision
/// module lets go of a list that was not confirmed for as long: a wait, an answer that does not come and the opening of
/// another watch have to fit into it.
const LONGEST_HOLD: Duration = Duration::from_secs(3);
/// A call that need not wait takes no longer.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// How long after its wait an answer may take. Danger: what is missed counts as told when the time above is over,
/// so half of it has to do for opening the watch anew and for the answer on it.
const SILENT_WITHIN: Duration = Duration::from_secs(2);
/// The same after a shorter wait: what is missed counts as told 2 s after it.
const SILENT_WITHIN_SHORT: Duration = Duration::from_secs(1);
/// Longest time that connecting may take: one that is down in silence must not hold a call for as long as news may.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// Longest pause within an answer, doubled each time it is asked again; one that stops in its midst is only a part.
const PAUSE_WITHIN: Duration = Duration::from_millis(150);
/// Spoilt answers in a row after which a call has failed.
const SPOILT_LIMIT: u32 = 4;
/// How long opening a watch may take, with all answers that come spoilt. Danger: the module has it opened anew 4 s after
/// it asked and heard nothing, which begins the count of spoilt ones from the start; so a call that goes on for longer
/// never fails, and a new process that waits for the call is never ready.
const OPENED_WITHIN: Duration = Duration::from_secs(3);

/// An answer of discovery.
#[derive(Clone, Debug, Default)]
pub struct ListResponse {
    /// Version.
    pub index: u64,
    /// The whole list, not just what changed.
    pub is_snapshot: bool,
    /// Machines.
    pub rows: Vec<Row>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

/// Why a call gave nothing.
#[derive(Debug, Error)]
pub enum ListError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The answer is no HTTP.
    #[error("answer: {0}")]
    Http(#[from] HttpError),
    /// The connection ended before the answer.
    #[error("connection ended without an answer")]
    Closed,
    /// The answer stopped in its midst.
    #[error("only a part of an answer")]
    Truncated,
    /// Lines of the list cannot be read.
    #[error("{} lines of the list cannot be read", .0.unreadable)]
    UnreadableRows(ListResponse),
    /// Another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The list itself cannot be read.
    #[error("list: {0}")]
    Json(#[from] serde_json::Error),
}

impl ListError {
    /// The kind of failure, as metrics count it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Io(_) => "connection",
            Self::Timeout => "timeout",
            Self::Closed => "closed",
            Self::Status(503) => "overloaded",
            Self::Status(_) => "status",
            Self::Http(_) | Self::Truncated | Self::UnreadableRows(_) | Self::Json(_) => "spoilt",
        }
    }

    /// The answer came and cannot be used; a call that failed before is not spoilt but refused.
    fn is_unreadable(&self) -> bool {
        matches!(self, Self::Http(_) | Self::Truncated | Self::UnreadableRows(_) | Self::Json(_))
    }
}

/// Lines stay text until each is read by itself. Danger: thousands of them taken apart at once are ten times the list.
#[derive(Deserialize)]
struct Wire<'a> {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(default, borrow)]
    endpoints: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct WireRow {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: f64,
    status: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
    #[serde(default)]
    build: f64,
}

fn one() -> f64 {
    1.0
}

/// Decodes a list from its text. A line that cannot be read is left out, so that it does not take the others with it.
pub fn decode(json: &[u8], names: &Names) -> Result<ListResponse, serde_json::Error> {
    let wire: Wire = serde_json::from_slice(json)?;
    let all = wire.endpoints.len();
    let read = |raw: &&RawValue| {
        // Through a value of its own, as a name that comes twice in a line is no reason to leave the line out.
        let line = serde_json::from_str::<serde_json::Value>(raw.get()).ok()?;
        WireRow::deserialize(&line).ok().and_then(|r| row(&r, names))
    };
    let mut rows = Vec::with_capacity(all);
    rows.extend(wire.endpoints.iter().filter_map(read));
    Ok(ListResponse { index: wire.index, is_snapshot: wire.snapshot, unreadable: all - rows.len(), rows })
}

fn row(wire: &WireRow, names: &Names) -> Option<Row> {
    let state = match wire.status.as_str() {
        "up" => MachineState::Ready,
        "draining" => MachineState::Draining,
        "removed" => MachineState::Gone,
        _ => return None,
    };
    let address: Option<SocketAddr> = wire.address.parse().ok();
    if address.is_none() && state != MachineState::Gone {
        return None;
    }
    // Danger: other bytes in the place of a word make a machine of no zone or kind, or one that never was.
    let place = |all: &[String], name: &str| match all.iter().position(|n| n == name) {
        None if name.is_empty() || all.is_empty() => Some(usize::MAX),
        at => at,
    };
    let whole = |n: f64| (0.0..=f64::from(u16::MAX)).contains(&n) && n.fract() == 0.0;
    let named = !wire.name.is_empty() && wire.name.bytes().all(|b| b.is_ascii_graphic());
    if !named || !whole(wire.build) || !whole(wire.group) {
        return None;
    }
    let entry = MachineEntry {
        machine: machine_id(&wire.name),
        zone: place(&names.zones, &wire.zone)?.min(usize::from(u16::MAX)) as u16,
        kind: place(&names.kinds, &wire.kind)?.min(usize::from(u8::MAX)) as u8,
        build: wire.build as u16,
        cell: wire.group as u16,
        state,
        weight: if wire.weight.is_finite() && wire.weight > 0.0 { wire.weight } else { 1.0 },
        started_at: (wire.since_ms * 1_000.0) as Micros,
    };
    Some(Row { address, entry })
}

/// The number under which the module knows a machine: the same at every front, as its name is.
pub fn machine_id(name: &str) -> MachineId {
    digest(name)
}

/// FNV-1a.
fn digest(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

/// The head of an answer.
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The connection stays.
    pub keep: bool,
}

impl FromHead for ResponseHead {
    type Context = ();
    const STRICT: bool = false;

    fn default_framing(&self) -> Option<Framing> {
        (!self.keep).then_some(Framing::UntilClose)
    }

    fn from_head(head: &RawHead, _: &()) -> Result<Self, HttpError> {
        let status = super::machines::parse_status(head)?;
        Ok(Self { status, keep: head.keeps_alive(head.start_line[0]) })
    }

    fn is_interim(&self) -> bool {
        self.status < 200
    }
}

/// What calls to discovery came to since they were last reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that opened a watch or fetched the list, and were answered.
    pub opened: u64,
    /// Answers on a standing watch, with or without changes.
    pub renewed: u64,
    /// Calls that failed, by kind of failure.
    pub failed: BTreeMap<&'static str, u64>,
    /// The longest time that an opening call took to its answer or failure.
    pub slowest_open: Duration,
}

impl CallCounts {
    fn note(&mut self, opens: bool, took: Duration, failure: Option<&ListError>) {
        match failure {
            Some(error) => *self.failed.entry(error.kind()).or_default() += 1,
            None if opens => self.opened += 1,
            None => self.renewed += 1,
        }
        if opens {
            self.slowest_open = self.slowest_open.max(took);
        }
    }
}

/// Discovery as this front asks it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    names: Names,
    hold: Duration,
    index: Cell<u64>,
    /// The watch whose answers count.
    current: Cell<SubscriptionId>,
    /// The version held is not one of discovery's: only the whole list tells what has changed.
    astray: Cell<bool>,
    heard: Cell<Option<Instant>>,
    counts: RefCell<CallCounts>,
    /// The last call was answered on the connection of the call before.
    went_on: Cell<bool>,
    /// The last call got an answer that could not be used, whatever became of it in the end.
    spoilt: Cell<bool>,
}

impl Discovery {
    /// Discovery at `address`; `index` is the version held, `told_within` how long an unasked list stands, 0 if not
    /// said.
    pub fn new(address: SocketAddr, names: Names, index: u64, told_within: Micros) -> Rc<Self> {
        // A call that waits must end, and the next begin, well before the list counts as told unasked.
        let hold = match told_within {
            0 => LONGEST_HOLD,
            within => super::micros_to_duration(within / 2).min(LONGEST_HOLD),
        };
        Rc::new(Self {
            address: Cell::new(address),
            names,
            hold,
            index: Cell::new(index),
            current: Cell::new(0),
            astray: Cell::new(false),
            heard: Cell::new(None),
            counts: RefCell::default(),
            went_on: Cell::new(false),
            spoilt: Cell::new(false),
        })
    }

    /// The version held.
    pub fn index(&self) -> u64 {
        self.index.get()
    }

    /// What calls came to since this was last asked.
    pub fn take_counts(&self) -> CallCounts {
        self.counts.take()
    }

    /// When it last answered with what can be used.
    pub fn last_answered_at(&self) -> Option<Instant> {
        self.heard.get()
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Discovery is at `address` from now on; false if it was before.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    /// Names the source that the list comes from towards other fronts.
    pub fn discovery_id(&self) -> DiscoveryId {
        digest(&self.address.get().to_string())
    }

    /// No watch counts that has begun before; the number of one that begins now.
    pub fn supersede_watches(&self) -> SubscriptionId {
        self.current.set(self.current.get() + 1);
        self.current.get()
    }

    /// Whether the answers of this watch count.
    pub fn is_current(&self, watch: SubscriptionId) -> bool {
        self.current.get() == watch
    }

    /// Asks once for the whole list.
    pub async fn fetch(self: Rc<Self>, to: Sender<Input>) {
        let (watch, begun) = (self.current.get(), Instant::now());
        let answer = self.call(watch, &mut None, "/discovery/hosts", ANSWER_WITHIN).await;
        self.note_call(true, begun, answer.as_ref().err());
        let news = match answer {
            Ok(list) => {
                let ListResponse { index, rows, .. } = list;
                ListMessage { watch, kind: ListUpdate::Snapshot, index, needs_snapshot: false, rows }
            }
            Err(e) => self.failed(watch, &e),
        };
        let _ = to.send(Input::ListUpdated(news)).await;
    }

    /// Watches the list until a call fails: the first call answers at once, further ones wait for news. One that
    /// falls silent is opened anew at once, and fails only if that does. One that another has taken the place of hands over
    /// the answer that it waits for, and ends.
    pub async fn watch(self: Rc<Self>, watch: SubscriptionId, to: Sender<Input>) {
        let (mut line, mut opens) = (None, true);
        let (mut from, mut whole) = (self.index.get(), self.astray.get());
        loop {
            let (hold, limit) = match opens || whole {
                true => (Duration::ZERO, ANSWER_WITHIN),
                false if self.hold < LONGEST_HOLD => (self.hold, self.hold + SILENT_WITHIN_SHORT),
                false => (self.hold, self.hold + SILENT_WITHIN),
            };
            let target = match whole {
                true => "/discovery/hosts".to_owned(),
                false => format!("/discovery/hosts?from={from}&hold_ms={}", hold.as_millis()),
            };
            let begun = Instant::now();
            let asked = self.call(watch, &mut line, &target, limit);
            let answer = match hold.is_zero() {
                true => with_timeout(OPENED_WITHIN, asked).await.unwrap_or(Err(ListError::Timeout)),
                false => asked.await,
            };
            self.note_call(hold.is_zero(), begun, answer.as_ref().err());
            let list = match answer {
                Ok(list) => list,
                _ if !self.is_current(watch) => return,
                Err(ListError::Timeout) if !opens => {
                    log::warn!("discovery: the watch has fallen silent; it is opened anew");
                    (line, opens) = (None, true);
                    continue;
                }
                Err(e) => {
                    // A watch that discovery itself ends has told all there was until then; a list that is astray is not it.
                    if matches!(e, ListError::Status(_)) && !opens && !whole && self.went_on.get() {
                        let _ = to.send(Input::ListConfirmed(watch, from)).await;
                    }
                    let _ = to.send(Input::ListUpdated(self.failed(watch, &e))).await;
                    return;
                }
            };
            let (index, went_back) = (list.index, !whole && !list.is_snapshot && list.index < from);
            if went_back {
                log::warn!("discovery: version {index} after {from}; the whole list is asked for");
            }
            let input = match opens || list.is_snapshot || went_back || !list.rows.is_empty() {
                true => {
                    let kind = if list.is_snapshot { ListUpdate::Snapshot } else { ListUpdate::Delta };
                    Input::ListUpdated(ListMessage {
                        watch,
                        kind,
                        index,
                        needs_snapshot: went_back,
                        rows: list.rows,
                    })
                }
                false => Input::ListConfirmed(watch, index),
            };
            let _ = to.send(input).await;
            // Danger: what was written to a watch counts as told, though the front has turned elsewhere meanwhile; so one
            // that does not count any more hands over its last answer all the same.
            if !self.is_current(watch) {
                return;
            }
            (from, whole, opens) = (index, went_back, false);
        }
    }

    /// The front holds this version from now on. Danger: taken on before its lines are, a version whose watch is ended in
    /// between is never asked for again, and its changes are lost.
    pub fn set_version(&self, index: u64, needs_snapshot: bool) {
        self.index.set(index);
        self.astray.set(needs_snapshot);
    }

    /// Counts a call and writes down how it ended, and at which version it left this front.
    fn note_call(&self, opens: bool, begun: Instant, failure: Option<&ListError>) {
        let took = begun.elapsed();
        let millis = took.as_millis() as u64;
        let held = self.index.get();
        self.counts.borrow_mut().note(opens, took, failure);
        match failure {
            Some(error) => {
                let ending = error.kind();
                let why = error.to_string();
                let age = self.heard.get().map(|at| at.elapsed().as_millis() as u64);
                log::warn!(opens, ending, why, took_ms = millis, held, age_ms:? = age; "discovery: call failed");
            }
            None if opens => log::info!(held, took_ms = millis; "discovery: watch opened"),
            None => {}
        }
    }

    /// One call, made again where its answer comes spoilt. Danger: a watch that stops at noise goes without
    /// the list for seconds, and what is told meanwhile counts as told; so it is asked again at once, from the
    /// version held.
    async fn call(
        &self,
        watch: SubscriptionId,
        line: &mut Option<Async<TcpStream>>,
        target: &str,
        limit: Duration,
    ) -> Result<ListResponse, ListError> {
        let mut spoilt = 0;
        self.spoilt.set(false);
        loop {
            match self.call_once(watch, line, target, limit, PAUSE_WITHIN * (1 << spoilt)).await {
                Err(e) if e.is_unreadable() && spoilt < SPOILT_LIMIT && self.is_current(watch) => {
                    spoilt += 1;
                    self.spoilt.set(true);
                    log::warn!("discovery: {e}; asked again");
                }
                // Lines that stay unreadable must not take the others with them, nor remove what they name.
                Err(ListError::UnreadableRows(list)) => {
                    return Ok(ListResponse { is_snapshot: false, ..list })
                }
                ended => {
                    if ended.is_ok() && self.is_current(watch) {
                        self.heard.set(Some(Instant::now()));
                    }
                    return ended;
                }
            }
        }
    }

    /// What the module is told of a call that failed.
    fn failed(&self, watch: SubscriptionId, why: &ListError) -> ListMessage {
        let garbled = why.is_unreadable() || self.spoilt.get();
        let kind = if garbled { ListUpdate::Unreadable } else { ListUpdate::Failed };
        ListMessage { watch, kind, index: 0, needs_snapshot: false, rows: Vec::new() }
    }

    async fn call_once(
        &self,
        watch: SubscriptionId,
        line: &mut Option<Async<TcpStream>>,
        target: &str,
        limit: Duration,
        pause: Duration,
    ) -> Result<ListResponse, ListError> {
        let asked = async {
            self.went_on.set(line.is_some());
            if let Some(kept) = line.take() {
                // A kept connection may have been closed meanwhile; asking again is harmless.
                match self.ask(kept, target, pause).await {
                    Err(ListError::Io(_) | ListError::Closed) => {}
                    other => return other,
                }
            }
            if !self.is_current(watch) {
                return Err(ListError::Closed);
            }
            self.went_on.set(false);
            let connecting = Async::<TcpStream>::connect(self.address.get());
            let stream = with_timeout(CONNECT_WITHIN, connecting).await.ok_or(ListError::Timeout)??;
            self.ask(stream, target, pause).await
        };
        let (list, kept) = with_timeout(limit, asked).await.ok_or(ListError::Timeout)??;
        *line = kept;
        Ok(list)
    }

    async fn ask(
        &self,
        mut stream: Async<TcpStream>,
        target: &str,
        pause: Duration,
    ) -> Result<(ListResponse, Option<Async<TcpStream>>), ListError> {
        stream.get_ref().set_nodelay(true)?;
        let request = Encoder::new(format_args!("GET {target} HTTP/1.1"))
            .field("Host", format_args!("{}", self.address.get()))
            .body(&[]);
        stream.write_all(&request).await?;
        let mut decoder = Decoder::<ResponseHead>::new(LIST_LIMIT);
        loop {
            let begun = !decoder.is_idle();
            let reading = read_some(&mut stream, |bytes| decoder.feed(bytes));
            let n = match begun {
                true => with_timeout(pause, reading).await.ok_or(ListError::Truncated)??,
                false => reading.await?,
            };
            let message = if n == 0 { decoder.finish()? } else { decoder.next_message()? };
            if let Some((head, body)) = message {
                if head.status != 200 {
                    return Err(ListError::Status(head.status));
                }
                let keep = n > 0 && head.keep && decoder.is_idle();
                let list = decode(&body, &self.names)?;
                if list.unreadable > 0 {
                    return Err(ListError::UnreadableRows(list));
                }
                return Ok((list, keep.then_some(stream)));
            }
            if n == 0 {
                return Err(ListError::Closed);
            }
        }
    }
}
