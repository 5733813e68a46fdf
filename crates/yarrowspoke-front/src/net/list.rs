//! Client of discovery: the list of machines, fetched once or watched.

use super::arrival::read_noting_arrival;
use super::http::{Decoder, Encoder, Framing, FromHead, HttpError, RawHead};
use super::list_codec::fnv1a;
pub use super::list_codec::{decode, machine_id, ListResponse};
use super::turn::Turn;
use super::with_deadline;
use crate::input::{Input, ListContent, ListMessage, SubscriptionId};
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use yarrowspoke::interface::{DiscoveryId, Micros};
use yarrowspoke_settings::Names;

/// Largest list, in bytes: some 30,000 machines at about 130 bytes each. A front whose list exceeds the limit never
/// gets one, and is never ready where lists are pushed.
pub const LIST_LIMIT: usize = 4 * 1024 * 1024;
/// Longest time for which discovery may hold a watch call. A front counts as notified of what a silent watch misses 6
/// s after it, and the decision module drops a list that was not confirmed for as long: a held call, a missing
/// response and the opening of another watch must fit into that time.
const MAX_HOLD: Duration = Duration::from_secs(3);
/// Longest time of a call that discovery does not hold.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for a response after the hold time of its call. A front counts as notified of what is missed once the
/// 6 s above are over, so half of them must suffice for reopening the watch and for the response on it.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// The same after a shorter hold time: a front counts as notified of what is missed 2 s after it.
const SHORT_HOLD_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for connecting: a host that is down without a reset must not block a call for as long as an update
/// may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest pause within a response, doubled at each retry; a response that stops midway is truncated.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Unreadable responses in a row after which a call has failed.
const MAX_UNREADABLE_RESPONSES: u32 = 4;
/// Longest time for opening a watch, including all unreadable responses. The decision module reopens a watch that
/// gave no response within 4 s, which restarts the count of unreadable responses; so a call that takes longer would
/// never fail, and a new process that waits for the call would never be ready.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Least time from a response with lines that could not be decoded until the whole list is asked for.
const UNDECODED_RETRY: Duration = Duration::from_secs(3);
/// Least time between the starts of two calls of a watch: discovery may answer a call at once that it should hold.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a call to discovery failed.
#[derive(Debug, Error)]
pub enum ListError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// No response arrived in time.
    #[error("no response in time")]
    Timeout,
    /// The response is not valid HTTP.
    #[error("response: {0}")]
    Http(#[from] HttpError),
    /// The connection ended before the response.
    #[error("connection closed before a response")]
    Closed,
    /// The response stopped midway.
    #[error("response truncated")]
    Truncated,
    /// Some lines of the list could not be decoded.
    #[error("{} lines of the list could not be decoded", .0.list.unreadable)]
    UnreadableRows(DatedList),
    /// The status is not 200.
    #[error("status {0}")]
    Status(u16),
    /// The list itself could not be decoded.
    #[error("list: {0}")]
    Json(#[from] serde_json::Error),
}

impl ListError {
    /// Returns the kind of failure, as metrics count it.
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

    /// Returns whether a response arrived but cannot be used; a call that failed earlier counts as failed, not as unreadable.
    fn is_unreadable(&self) -> bool {
        matches!(self, Self::Http(_) | Self::Truncated | Self::UnreadableRows(_) | Self::Json(_))
    }
}

/// The head of a response.
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Whether the connection stays open.
    pub keep_alive: bool,
}

impl FromHead for ResponseHead {
    type Context = ();
    const STRICT: bool = false;

    fn default_framing(&self) -> Option<Framing> {
        (!self.keep_alive).then_some(Framing::UntilClose)
    }

    fn from_head(head: &RawHead, _: &()) -> Result<Self, HttpError> {
        let status = super::machines::parse_status(head)?;
        Ok(Self { status, keep_alive: head.keeps_alive(head.start_line[0]) })
    }

    fn is_interim(&self) -> bool {
        self.status < 200
    }
}

/// Counts of calls to discovery since they were last reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that opened a watch or fetched the list, and succeeded.
    pub opened: u64,
    /// Responses on an open watch, with or without changes.
    pub renewed: u64,
    /// Failed calls by kind of failure.
    pub failed: BTreeMap<&'static str, u64>,
    /// Longest time from the start of an opening call to its response or failure.
    pub slowest_open: Duration,
}

impl CallCounts {
    fn record(&mut self, opens: bool, duration: Duration, failure: Option<&ListError>) {
        match failure {
            Some(error) => *self.failed.entry(error.kind()).or_default() += 1,
            None if opens => self.opened += 1,
            None => self.renewed += 1,
        }
        if opens {
            self.slowest_open = self.slowest_open.max(duration);
        }
    }
}

/// Time limits of a call, which is repeated while its response is unreadable.
#[derive(Clone, Copy)]
struct CallLimits {
    /// Longest time of one request.
    call: Duration,
    /// When the call has failed, whatever its requests did.
    until: Instant,
}

/// Time limits of one request.
#[derive(Clone, Copy)]
struct RequestTimes {
    /// When the request has failed.
    deadline: Instant,
    /// Longest pause within the response.
    pause_timeout: Duration,
}

impl RequestTimes {
    /// Reads what has arrived of a response. Bytes that are there are read even after the deadline, since the process may
    /// have been paused; the decoder bounds how many there may be. `as_of` is set to the last time at which the response
    /// had not begun to arrive.
    async fn read(
        &self,
        stream: &mut Async<TcpStream>,
        decoder: &mut Decoder<ResponseHead>,
        as_of: &mut Instant,
    ) -> Result<usize, ListError> {
        let pause_ends = Instant::now() + self.pause_timeout;
        let has_begun = !decoder.is_idle();
        let (until, failure) = match !has_begun || self.deadline <= pause_ends {
            true => (self.deadline, ListError::Timeout),
            false => (pause_ends, ListError::Truncated),
        };
        let mut empty_at = *as_of;
        let reading = read_noting_arrival(stream, |bytes| decoder.feed(bytes), &mut empty_at);
        let count = with_deadline(until, reading).await.ok_or(failure)??;
        if !has_begun {
            *as_of = empty_at;
        }
        Ok(count)
    }
}

/// A response of discovery and the earliest time at which discovery may have looked at its list for it.
#[derive(Debug)]
pub struct DatedList {
    list: ListResponse,
    as_of: Instant,
}

/// Client of discovery.
pub struct Discovery {
    address: Cell<SocketAddr>,
    names: Names,
    max_hold: Duration,
    index: Cell<u64>,
    /// The watch whose responses are used.
    current: Cell<SubscriptionId>,
    /// Whether the held version does not match discovery's history, so that only a snapshot shows what has changed.
    needs_snapshot: Cell<bool>,
    /// Whether the front holds a list of which some lines could not be decoded, or from which machines were taken that only
    /// a superseded watch did not name.
    is_snapshot_requested: Cell<bool>,
    last_response: Cell<Option<Instant>>,
    counts: RefCell<CallCounts>,
    /// Whether the last call got an unreadable response, however it ended.
    had_unreadable_response: Cell<bool>,
}

impl Discovery {
    /// Returns a client of discovery at `address`; `index` is the held version, `refresh_interval` how long a list
    /// remains valid without a new call, 0 if not stated.
    pub fn new(address: SocketAddr, names: Names, index: u64, refresh_interval: Micros) -> Rc<Self> {
        // A held call must end, and the next one begin, well before the front counts as notified without a call.
        let max_hold = match refresh_interval {
            0 => MAX_HOLD,
            interval => super::micros_to_duration(interval / 2).min(MAX_HOLD),
        };
        Rc::new(Self {
            address: Cell::new(address),
            names,
            max_hold,
            index: Cell::new(index),
            current: Cell::new(0),
            needs_snapshot: Cell::new(false),
            is_snapshot_requested: Cell::new(false),
            last_response: Cell::new(None),
            counts: RefCell::default(),
            had_unreadable_response: Cell::new(false),
        })
    }

    /// Returns the held version.
    pub fn index(&self) -> u64 {
        self.index.get()
    }

    /// Returns the counts of calls since the last report and resets them.
    pub fn take_counts(&self) -> CallCounts {
        self.counts.take()
    }

    /// Returns when discovery last gave a usable response.
    pub fn last_answered_at(&self) -> Option<Instant> {
        self.last_response.get()
    }

    /// Returns the address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Sets the address of discovery; returns whether it has changed.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    /// Returns the id of this discovery instance, as used in messages to other fronts.
    pub fn discovery_id(&self) -> DiscoveryId {
        fnv1a(&self.address.get().to_string())
    }

    /// Invalidates all earlier watches; returns the id for a new one.
    pub fn supersede_watches(&self) -> SubscriptionId {
        self.current.set(self.current.get() + 1);
        self.current.get()
    }

    /// Returns whether the responses of this watch are used.
    pub fn is_current(&self, watch: SubscriptionId) -> bool {
        self.current.get() == watch
    }

    /// Fetches the whole list once.
    pub async fn fetch(self: Rc<Self>, to: Sender<Input>) {
        let (watch, started_at) = (self.current.get(), Instant::now());
        let limits = CallLimits { call: RESPONSE_TIMEOUT, until: started_at + OPEN_TIMEOUT };
        let response = self.call(watch, &mut None, "/discovery/hosts", limits).await;
        self.record_call(true, started_at, response.as_ref().err());
        let message = match response {
            Ok(DatedList { list, as_of }) => {
                let index = list.index;
                ListMessage { watch, index, needs_snapshot: false, as_of, content: list.into_content(true) }
            }
            Err(e) => self.failure_message(watch, &e),
        };
        let _ = to.send(Input::ListUpdated(message)).await;
    }

    /// Watches the list until a call fails: the first call returns at once, further ones are held until there is an
    /// update. A watch that falls silent is reopened at once, and fails only if that does. A superseded watch still
    /// delivers the response that it waits for, and then ends.
    pub async fn watch(self: Rc<Self>, watch: SubscriptionId, to: Sender<Input>) {
        let (mut connection, mut opens) = (None, true);
        let mut from = self.index.get();
        let mut wants_snapshot = self.needs_snapshot.get() || self.is_snapshot_requested.get();
        let mut undecoded_at: Option<Instant> = None;
        loop {
            let (hold, limit) = match opens || wants_snapshot {
                true => (Duration::ZERO, RESPONSE_TIMEOUT),
                false if self.max_hold < MAX_HOLD => {
                    (self.max_hold, self.max_hold + SHORT_HOLD_SILENCE_TIMEOUT)
                }
                false => (self.max_hold, self.max_hold + SILENCE_TIMEOUT),
            };
            let target = match wants_snapshot {
                true => "/discovery/hosts".to_owned(),
                false => format!("/discovery/hosts?from={from}&hold_ms={}", hold.as_millis()),
            };
            let started_at = Instant::now();
            let limits = match hold.is_zero() {
                true => CallLimits { call: limit, until: started_at + OPEN_TIMEOUT },
                false => {
                    CallLimits { call: limit, until: started_at + limit * (MAX_UNREADABLE_RESPONSES + 1) }
                }
            };
            let response = self.call(watch, &mut connection, &target, limits).await;
            self.record_call(hold.is_zero(), started_at, response.as_ref().err());
            let DatedList { list, as_of } = match response {
                Ok(dated) => dated,
                _ if !self.is_current(watch) => return,
                Err(ListError::Timeout) if !opens => {
                    log::warn!("discovery: the watch has fallen silent; reopening it");
                    (connection, opens) = (None, true);
                    continue;
                }
                // A call that is turned away may never have been looked at, so it confirms nothing.
                Err(e) => {
                    let _ = to.send(Input::ListUpdated(self.failure_message(watch, &e))).await;
                    return;
                }
            };
            let index = list.index;
            if list.unreadable > 0 {
                // What the undecoded lines say is known only once a whole list can be decoded.
                undecoded_at = Some(Instant::now());
                self.request_snapshot();
            }
            let content = list.into_content(wants_snapshot);
            let is_delta = matches!(content, ListContent::Delta(_) | ListContent::PartialDelta { .. });
            let version_went_back = is_delta && index < from;
            if version_went_back {
                log::warn!("discovery: version {index} after {from}; requesting a snapshot");
            }
            let confirms = !opens
                && !version_went_back
                && matches!(&content, ListContent::Delta(rows) if rows.is_empty());
            let input = match confirms {
                true => Input::ListConfirmed { watch, version: index, as_of },
                false => {
                    let needs_snapshot = version_went_back;
                    Input::ListUpdated(ListMessage { watch, index, needs_snapshot, as_of, content })
                }
            };
            let _ = to.send(input).await;
            // The front counts as notified of what was written to a watch, even if it has moved to another one
            // meanwhile; so a superseded watch still delivers its last response.
            if self.is_current(watch) {
                Timer::at(started_at + MIN_CALL_INTERVAL).await;
            }
            if !self.is_current(watch) {
                return;
            }
            let may_request = undecoded_at.is_none_or(|at| at.elapsed() >= UNDECODED_RETRY);
            wants_snapshot = version_went_back || may_request && self.is_snapshot_requested.get();
            (from, opens) = (index, false);
        }
    }

    /// Sets the held version. If it were set before its lines are applied, the changes of a version whose watch ends
    /// in between would never be requested again and would be lost.
    pub fn set_version(&self, index: u64, needs_snapshot: bool) {
        self.index.set(index);
        self.needs_snapshot.set(needs_snapshot);
    }

    /// Has the whole list asked for as soon as the current watch allows it.
    pub fn request_snapshot(&self) {
        self.is_snapshot_requested.set(true);
    }

    /// Records that a whole list of the current watch was applied.
    pub fn snapshot_applied(&self) {
        self.is_snapshot_requested.set(false);
    }

    /// Counts a call and logs its result and the version that the front held.
    fn record_call(&self, opens: bool, started_at: Instant, failure: Option<&ListError>) {
        let duration = started_at.elapsed();
        let millis = duration.as_millis() as u64;
        let held = self.index.get();
        self.counts.borrow_mut().record(opens, duration, failure);
        match failure {
            Some(error) => {
                let ending = error.kind();
                let why = error.to_string();
                let age = self.last_response.get().map(|at| at.elapsed().as_millis() as u64);
                log::warn!(opens, ending, why, took_ms = millis, held, age_ms:? = age; "discovery: call failed");
            }
            None if opens => log::info!(held, took_ms = millis; "discovery: watch opened"),
            None => {}
        }
    }

    /// Makes one call, repeated while its response is unreadable. A watch that ended at the first corrupt response
    /// would leave the front without the list for seconds, while the front counts as notified; so the call is retried
    /// at once, from the held version.
    async fn call(
        &self,
        watch: SubscriptionId,
        connection: &mut Option<Async<TcpStream>>,
        target: &str,
        limits: CallLimits,
    ) -> Result<DatedList, ListError> {
        let mut unreadable_responses = 0;
        self.had_unreadable_response.set(false);
        loop {
            let times = RequestTimes {
                deadline: limits.until.min(Instant::now() + limits.call),
                pause_timeout: PAUSE_TIMEOUT * (1 << unreadable_responses),
            };
            match self.call_once(watch, connection, target, times).await {
                Err(e)
                    if e.is_unreadable()
                        && unreadable_responses < MAX_UNREADABLE_RESPONSES
                        && self.is_current(watch) =>
                {
                    unreadable_responses += 1;
                    self.had_unreadable_response.set(true);
                    log::warn!("discovery: {e}; retrying");
                }
                // Lines that remain unreadable must neither invalidate the others nor remove the machines that they
                // name.
                Err(ListError::UnreadableRows(dated)) => return Ok(dated),
                result => {
                    if result.is_ok() && self.is_current(watch) {
                        self.last_response.set(Some(Instant::now()));
                    }
                    return result;
                }
            }
        }
    }

    /// Returns the message to the driver for a failed call.
    fn failure_message(&self, watch: SubscriptionId, why: &ListError) -> ListMessage {
        let is_unreadable = why.is_unreadable() || self.had_unreadable_response.get();
        let content = if is_unreadable { ListContent::Unreadable } else { ListContent::Failed };
        ListMessage { watch, index: 0, needs_snapshot: false, as_of: Instant::now(), content }
    }

    async fn call_once(
        &self,
        watch: SubscriptionId,
        connection: &mut Option<Async<TcpStream>>,
        target: &str,
        times: RequestTimes,
    ) -> Result<DatedList, ListError> {
        if let Some(kept) = connection.take() {
            // A kept connection may have been closed meanwhile; repeating the call is harmless.
            match self.request(kept, connection, target, times).await {
                Err(ListError::Io(_) | ListError::Closed) => {}
                other => return other,
            }
        }
        if !self.is_current(watch) {
            return Err(ListError::Closed);
        }
        let connecting = Async::<TcpStream>::connect(self.address.get());
        let connect_deadline = times.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream = with_deadline(connect_deadline, connecting).await.ok_or(ListError::Timeout)??;
        self.request(stream, connection, target, times).await
    }

    /// Makes one request; the stream is put back into `kept` if it can be used for the next.
    async fn request(
        &self,
        mut stream: Async<TcpStream>,
        kept: &mut Option<Async<TcpStream>>,
        target: &str,
        times: RequestTimes,
    ) -> Result<DatedList, ListError> {
        let asked_at = Instant::now();
        stream.get_ref().set_nodelay(true)?;
        let request = Encoder::new(format_args!("GET {target} HTTP/1.1"))
            .field("Host", format_args!("{}", self.address.get()))
            .body(&[]);
        let writing = stream.write_all(&request);
        with_deadline(times.deadline, writing).await.ok_or(ListError::Timeout)??;
        let mut decoder = Decoder::<ResponseHead>::new(LIST_LIMIT);
        let mut as_of = asked_at;
        let mut turn = Turn::default();
        loop {
            turn.yield_if_used().await;
            let n = times.read(&mut stream, &mut decoder, &mut as_of).await?;
            turn.record_bytes(n);
            let message = if n == 0 { decoder.finish()? } else { decoder.next_message()? };
            if let Some((head, body)) = message {
                if head.status != 200 {
                    return Err(ListError::Status(head.status));
                }
                let keep = n > 0 && head.keep_alive && decoder.is_idle();
                let list = decode(&body, &self.names)?;
                let dated = DatedList { list, as_of };
                if dated.list.unreadable > 0 {
                    return Err(ListError::UnreadableRows(dated));
                }
                *kept = keep.then_some(stream);
                return Ok(dated);
            }
            if n == 0 {
                return Err(ListError::Closed);
            }
        }
    }
}
