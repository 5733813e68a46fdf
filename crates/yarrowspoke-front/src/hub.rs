//! What all client connections share with the driver.

use crate::classify::Classifier;
use crate::exchange::{Call, CallIds, Exchange};
use crate::input::{ClassFacts, Clock, Input};
use crate::keeper::Keeper;
use crate::member::Member;
use crate::places::{Places, Store};
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use yarrowspoke::interface::{Micros, RequestId};
use yarrowspoke_settings::{Names, Settings};

/// Inputs that may wait for the driver; who brings more waits himself.
const INPUT_LIMIT: usize = 4_096;

/// What all client connections share with the driver.
pub struct Hub {
    /// The clock.
    pub clock: Clock,
    /// Where inputs go.
    pub inputs: Sender<Input>,
    /// Names behind positions.
    pub names: Names,
    /// What the protocol ties to each class.
    pub classes: Vec<ClassFacts>,
    /// The operators' rules.
    pub classifier: Rc<Classifier>,
    /// The store.
    pub keeper: Keeper,
    /// This front as a member of a fleet, if it is one.
    pub member: Option<Rc<Member>>,
    /// Ids of calls.
    pub ids: CallIds,
    /// Room for large bodies.
    pub store: Store,
    /// The driver serves.
    pub ready: Cell<bool>,
    /// Descriptors.
    pub places: Rc<Places>,
    /// Longest wait for a new connection's first bytes since it was last told.
    pub first_bytes: Cell<Micros>,
    /// Client connections that have brought no request yet, and those between two requests.
    pub idle: [Rc<Cell<usize>>; 2],
    next_id: Cell<RequestId>,
    bad: Cell<u64>,
    stop: (Sender<()>, Receiver<()>),
}

impl Hub {
    /// A hub, and where its inputs come out; large bodies together hold `bodies` bytes at most.
    pub fn new(
        settings: &Settings,
        places: Rc<Places>,
        bodies: usize,
        classifier: Rc<Classifier>,
        keeper: Keeper,
        member: Option<Rc<Member>>,
    ) -> (Rc<Self>, Receiver<Input>) {
        let (inputs, receiver) = async_channel::bounded(INPUT_LIMIT);
        let hub = Self {
            clock: Clock::start(),
            inputs,
            names: settings.names.clone(),
            classes: settings.module.classes.iter().map(ClassFacts::of).collect(),
            classifier,
            keeper,
            member,
            ids: CallIds::default(),
            store: Store::new(bodies),
            ready: Cell::new(false),
            places,
            first_bytes: Cell::new(0),
            idle: Default::default(),
            next_id: Cell::new(1),
            bad: Cell::new(0),
            stop: async_channel::bounded(1),
        };
        (Rc::new(hub), receiver)
    }

    /// Whether this front's place in its fleet lets it take a new request; one by itself always may.
    pub fn takes(&self) -> bool {
        self.member.as_ref().is_none_or(|m| m.takes())
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
    pub async fn stopped(&self) {
        let _ = self.stop.1.recv().await;
    }

    /// Counts a request that could not be read or is none.
    pub fn count_bad(&self) {
        self.bad.set(self.bad.get() + 1);
    }

    /// A request just read, which came `aged` before.
    pub fn exchange(&self, call: Call, aged: Micros) -> Rc<Exchange> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        Exchange::new(id, call, self.clock.now().saturating_sub(aged))
    }
}
