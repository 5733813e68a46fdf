//! Types that the parts of the front exchange: inputs of the driver, the clock and rows of the list of machines.
//!
//! Of the front's own modules this one uses only `exchange`, so every other module can use it.

use crate::descriptor_budget::BodyReservation;
use crate::exchange::Exchange;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yarrowspoke::interface::{
    CallOutcome, Class, ErrorRates, Idempotency, MachineEntry, MachineId, Micros, RequestId, RolloutStatus,
};

/// The clock of the whole front: monotonic, with the Unix time of the start as its origin.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_base: Micros,
}

impl Clock {
    /// Starts a clock at the present Unix time.
    pub fn start() -> Self {
        let unix_base = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Self { started: Instant::now(), unix_base }
    }

    /// Returns the time in microseconds, comparable with the start times in the list of machines.
    pub fn now(&self) -> Micros {
        self.unix_base + self.started.elapsed().as_micros() as Micros
    }

    /// Converts an [`Instant`] to a time of this clock.
    pub fn micros(&self, at: Instant) -> Micros {
        self.unix_base + at.saturating_duration_since(self.started).as_micros() as Micros
    }

    /// Converts a time of this clock to an [`Instant`] for timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at.saturating_sub(self.unix_base))
    }
}

/// A machine in discovery's list.
#[derive(Clone, Debug)]
pub struct Row {
    /// Address at which this front reaches it; a removed machine may have none.
    pub address: Option<SocketAddr>,
    /// Entry passed to the decision module.
    pub entry: MachineEntry,
}

/// A machine's reply to an attempt.
pub struct Reply {
    /// Outcome that the reply's status means.
    pub outcome: CallOutcome,
    /// Load report as received, not parsed.
    pub load_report: Option<String>,
    /// Reply body.
    pub body: Vec<u8>,
    /// Memory reserved for the body, if it is large.
    pub memory: Option<BodyReservation>,
}

/// Addresses that a reloaded configuration can change while the front runs; everything else in it applies at start only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the platform.
    pub platform: Option<SocketAddr>,
    /// Address of each front of the tier, by its number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all fronts at once.
    pub peers_all: Option<SocketAddr>,
}

/// Properties of a class that the request parser needs.
#[derive(Default)]
pub struct ClassProtocol {
    /// Deadline of requests that state no budget.
    pub deadline: Micros,
    /// HTTP method that requests of the class must use, if one is prescribed.
    pub method: Option<&'static str>,
    /// Whether its requests may run twice without harm.
    pub is_repeatable: bool,
}

impl ClassProtocol {
    /// Derives the properties from a class of the settings.
    pub fn of(class: &Class) -> Self {
        let method = match class.idempotency {
            Idempotency::Idempotent => Some("GET"),
            Idempotency::AtMostOnce => Some("POST"),
            Idempotency::Keyed => None,
        };
        let is_repeatable = class.idempotency == Idempotency::Idempotent;
        Self { deadline: class.deadline, method, is_repeatable }
    }
}

/// Identifies a subscription to discovery. A subscription that has been replaced may still deliver updates, but these do
/// not confirm that the list is current.
pub type SubscriptionId = u64;

/// An update of the list, from a subscription or a single call.
#[derive(Debug)]
pub struct ListMessage {
    /// Subscription that received it.
    pub watch: SubscriptionId,
    /// Discovery's version of the list.
    pub index: u64,
    /// Whether deltas cannot be requested from this version, so that the next request has to fetch a snapshot.
    pub needs_snapshot: bool,
    /// The earliest time at which discovery may have looked at its list for this.
    pub as_of: Instant,
    /// What discovery sent.
    pub content: ListContent,
}

/// What a call to discovery resulted in.
#[derive(Clone, Debug)]
pub enum ListContent {
    /// The whole list: a machine without a row has been removed.
    Snapshot(Vec<Row>),
    /// The whole list, some lines of which could not be decoded. A machine that neither a row nor such a line names has been
    /// removed.
    PartialSnapshot {
        /// The lines that could be decoded.
        rows: Vec<Row>,
        /// Machines named in the other lines, as far as their names could be decoded.
        undecoded: Vec<MachineId>,
    },
    /// Changes only: a machine without a row is as it was.
    Delta(Vec<Row>),
    /// Changes only, some lines of which could not be decoded: a machine that neither a row nor such a line names is as it
    /// was.
    PartialDelta {
        /// The lines that could be decoded.
        rows: Vec<Row>,
        /// Machines named in the other lines, as far as their names could be decoded.
        undecoded: Vec<MachineId>,
    },
    /// Nothing: the call failed.
    Failed,
    /// Nothing: the response could not be used.
    Unreadable,
}

/// Events that the network modules send to the driver.
pub enum Input {
    /// A request arrived.
    Arrived(Rc<Exchange>),
    /// The client of a request disconnected.
    ClientLeft(RequestId),
    /// An attempt ended without having been cancelled.
    AttemptEnded(RequestId, u16, Result<Reply, CallOutcome>),
    /// A probe of a machine ended: its outcome, how long it took and the load report as received.
    ProbeEnded(MachineId, CallOutcome, Micros, Option<String>),
    /// Discovery sent an update of the list, or a call to it failed.
    ListUpdated(ListMessage),
    /// Discovery looked at its list and told this subscription that nothing has changed.
    ListConfirmed {
        /// Subscription that received it.
        watch: SubscriptionId,
        /// Version of the list.
        version: u64,
        /// The earliest time at which discovery may have looked.
        as_of: Instant,
    },
    /// The platform sent a rollout status, or the reply to a vote.
    RolloutStatus(RolloutStatus),
    /// A message from a peer arrived.
    PeerMessage(u32, Vec<u8>),
    /// A reloaded configuration names other addresses.
    AddressesChanged(Addresses),
    /// The operators' file states other error rates for judging builds.
    ErrorRatesChanged(Option<ErrorRates>),
    /// The process is shutting down: every request must be answered by this time.
    ShutdownBegun {
        /// Time on the front's clock.
        answer_by: Micros,
    },
    /// What the planners take away from this front may have changed.
    RestrictionsChanged,
    /// This front is stale compared with the others and has to query its own sources again.
    RefreshSources,
}

impl Input {
    /// Returns whether this tells which machines may be used, or which builds.
    pub fn tells_of_machines_or_builds(&self) -> bool {
        matches!(
            self,
            Self::ListUpdated(_)
                | Self::ListConfirmed { .. }
                | Self::RolloutStatus(_)
                | Self::RestrictionsChanged
        )
    }
}
