//! What passes between the parts of the front: inputs, the clock, a machine's address row. A leaf: it uses none of them.

use crate::exchange::Exchange;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yarrowspoke::interface::{
    CallOutcome, Class, ErrorRates, Idempotency, ListUpdate, MachineEntry, MachineId, Micros, RequestId,
    RolloutStatus,
};

/// One clock for all: it goes forward evenly, and began at the Unix time of the start.
#[derive(Clone, Copy)]
pub struct Clock {
    begun: Instant,
    base: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Self { begun: Instant::now(), base }
    }

    /// Microseconds, comparable with the start times in the list.
    pub fn now(&self) -> Micros {
        self.base + self.begun.elapsed().as_micros() as Micros
    }

    /// The same point in time for timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.begun + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// A machine as listed.
#[derive(Clone, Debug)]
pub struct Row {
    /// Where it listens, as this front reaches it; a removed one may have none.
    pub address: Option<SocketAddr>,
    /// What the module is told.
    pub entry: MachineEntry,
}

/// A machine's answer.
#[derive(Debug)]
pub struct Reply {
    /// The outcome that it stands for.
    pub outcome: CallOutcome,
    /// The load report as it came.
    pub load_report: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// What a new configuration changes in a front that runs; all else holds from its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where the platform is.
    pub platform: Option<SocketAddr>,
    /// Where each front of the tier is reached, by number.
    pub peers: Vec<SocketAddr>,
    /// Where all of them are reached at once.
    pub peers_all: Option<SocketAddr>,
}

/// What the protocol ties to a class.
pub struct ClassProtocol {
    /// Its deadline, for requests that state no budget.
    pub deadline: Micros,
    /// Its method, where the protocol names one.
    pub method: Option<&'static str>,
}

impl ClassProtocol {
    /// Of a class as the settings tell it.
    pub fn of(class: &Class) -> Self {
        let method = match class.idempotency {
            Idempotency::Idempotent => Some("GET"),
            Idempotency::AtMostOnce => Some("POST"),
            Idempotency::Keyed => None,
        };
        Self { deadline: class.deadline, method }
    }
}

/// Names a watch: one that another has taken the place of may still have something to say, but vouches for nothing.
pub type SubscriptionId = u64;

/// What a watch or a call hands over.
#[derive(Debug)]
pub struct ListMessage {
    /// The watch that heard it.
    pub watch: SubscriptionId,
    /// What the rows are.
    pub kind: ListUpdate,
    /// Discovery's version.
    pub index: u64,
    /// The version is not one that changes can be asked for from: only the whole list tells what has changed.
    pub needs_snapshot: bool,
    /// Machines.
    pub rows: Vec<Row>,
}

/// What the peers' modules bring to the driver.
pub enum Input {
    /// A request has come.
    Arrived(Rc<Exchange>),
    /// Its client has left.
    ClientLeft(RequestId),
    /// An attempt has ended by itself.
    AttemptEnded(RequestId, u16, Result<Reply, CallOutcome>),
    /// A probe of a machine has ended: how, how long it took, and the load report as it came.
    ProbeEnded(MachineId, CallOutcome, Micros, Option<String>),
    /// Discovery has told something, or failed.
    ListUpdated(ListMessage),
    /// Discovery has told this watch that there is nothing new: the list held was current just now, which is of this version.
    ListConfirmed(SubscriptionId, u64),
    /// The platform has told something, or answered a vote.
    RolloutStatus(RolloutStatus),
    /// A peer's message.
    PeerMessage(u32, Vec<u8>),
    /// A new configuration names other addresses.
    AddressesChanged(Addresses),
    /// Rates of judging that the operators state from now on.
    ErrorRatesChanged(Option<ErrorRates>),
    /// What planners take away may have changed.
    RestrictionsChanged,
    /// This front is behind the others: its own sources are to be asked anew.
    RefreshSources,
}
