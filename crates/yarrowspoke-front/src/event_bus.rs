//! What all client connections share with the driver.

use crate::classify::Classifier;
use crate::descriptor_budget::{BodyMemory, DescriptorBudget};
use crate::exchange::{Call, CallIds, Exchange};
use crate::fleet_member::Member;
use crate::input::{ClassProtocol, Clock, Input};
use crate::ledger_writer::LedgerWriter;
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use yarrowspoke::interface::{Micros, RequestId};
use yarrowspoke_settings::{Names, Settings};

/// Inputs that may wait for the driver; who brings more waits himself.
const INPUT_LIMIT: usize = 4_096;

/// What all client connections share with the driver.
pub struct EventBus {
    /// The clock.
    pub clock: Clock,
    /// Where inputs go.
    pub inputs: Sender<Input>,
    /// Names behind positions.
    pub names: Names,
    /// What the protocol ties to each class.
    pub classes: Vec<ClassProtocol>,
    /// The operators' rules.
    pub classifier: Rc<Classifier>,
    /// The store.
    pub ledger_writer: LedgerWriter,
    /// This front as a member of a fleet, if it is one.
    pub member: Option<Rc<Member>>,
    /// Ids of calls.
    pub call_ids: CallIds,
    /// Room for large bodies.
    pub body_memory: BodyMemory,
    /// The driver serves.
    pub ready: Cell<bool>,
    /// Descriptors.
    pub descriptors: Rc<DescriptorBudget>,
    /// Longest wait for a new connection's first bytes since it was last told.
    pub max_first_byte_wait: Cell<Micros>,
    /// Client connections that have brought no request yet, and those between two requests.
    pub idle_clients: [Rc<Cell<usize>>; 2],
    next_id: Cell<RequestId>,
    bad: Cell<u64>,
    stop: (Sender<()>, Receiver<()>),
}

impl EventBus {
    /// A hub, and where its inputs come out; large bodies together hold `bodies` bytes at most.
    pub fn new(
        settings: &Settings,
        descriptors: Rc<DescriptorBudget>,
        bodies: usize,
        classifier: Rc<Classifier>,
        ledger_writer: LedgerWriter,
        member: Option<Rc<Member>>,
    ) -> (Rc<Self>, Receiver<Input>) {
        let (inputs, receiver) = async_channel::bounded(INPUT_LIMIT);
        let hub = Self {
            clock: Clock::start(),
            inputs,
            names: settings.names.clone(),
            classes: settings.module.classes.iter().map(ClassProtocol::of).collect(),
            classifier,
            ledger_writer,
            member,
            call_ids: CallIds::default(),
            body_memory: BodyMemory::new(bodies),
            ready: Cell::new(false),
            descriptors,
            max_first_byte_wait: Cell::new(0),
            idle_clients: Default::default(),
            next_id: Cell::new(1),
            bad: Cell::new(0),
            stop: async_channel::bounded(1),
        };
        (Rc::new(hub), receiver)
    }

    /// Whether this front's place in its fleet lets it take a new request; one by itself always may.
    pub fn accepts_requests(&self) -> bool {
        self.member.as_ref().is_none_or(|m| m.accepts_requests())
    }

    /// Begins the stop: what is there and what still comes is served, then connections end.
    pub fn begin_stop(&self) {
        self.stop.0.close();
    }

    /// Whether the stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.0.is_closed()
    }

    /// Waits for the stop to begin.
    pub async fn stop_begun(&self) {
        let _ = self.stop.1.recv().await;
    }

    /// Counts a request that could not be read or is none.
    pub fn count_malformed(&self) {
        self.bad.set(self.bad.get() + 1);
    }

    /// A request just read, which came `aged` before.
    pub fn open_exchange(&self, call: Call, aged: Micros) -> Rc<Exchange> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        Exchange::new(id, call, self.clock.now().saturating_sub(aged))
    }
}
