//! State that client connections share with the driver, and the channel on which they send it events.

use crate::call_ids::CallIds;
use crate::classify::Classifier;
use crate::descriptor_budget::{BodyMemory, DescriptorBudget};
use crate::exchange::{Call, Exchange};
use crate::fleet_member::Member;
use crate::input::{ClassProtocol, Clock, Input};
use crate::ledger_writer::LedgerWriter;
use crate::shutdown;
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use yarrowspoke::interface::{Micros, RequestId};
use yarrowspoke_settings::{Names, Settings};

/// Inputs that may be queued for the driver; a sender waits while the queue is full.
const INPUT_LIMIT: usize = 4_096;

/// State that client connections share with the driver.
pub struct EventBus {
    /// Clock of this front.
    pub clock: Clock,
    /// Sends inputs to the driver.
    pub inputs: Sender<Input>,
    /// Names of classes, tenants, zones and kinds; elsewhere these are positions in the settings.
    pub names: Names,
    /// Deadline and method of each class.
    pub classes: Vec<ClassProtocol>,
    /// Operators' rules in force.
    pub classifier: Rc<Classifier>,
    /// Ledger of requests that must not run twice.
    pub ledger_writer: LedgerWriter,
    /// This front as a member of a fleet; `None` if it runs alone.
    pub member: Option<Rc<Member>>,
    /// Call ids in use or answered recently.
    pub call_ids: CallIds,
    /// Memory for large bodies.
    pub body_memory: BodyMemory,
    /// Whether the driver is ready to serve requests.
    pub ready: Cell<bool>,
    /// Budget of file descriptors.
    pub descriptors: Rc<DescriptorBudget>,
    /// Longest wait for the first bytes of a new connection since the last report.
    pub max_first_byte_wait: Cell<Micros>,
    /// Numbers of idle client connections: those that have sent no request yet, and those between two requests.
    pub idle_clients: [Rc<Cell<usize>>; 2],
    next_id: Cell<RequestId>,
    malformed: Cell<u64>,
    /// Request bodies that were rejected since the last report because there was no memory for them.
    pub bodies_without_memory: Cell<u64>,
    /// Connections with half a request that were closed since the last report because other clients could not connect.
    pub half_read_closes: Cell<u64>,
    /// Once the shutdown has begun, the time by which every request must be answered.
    answer_by: Cell<Option<Micros>>,
    stop: (Sender<()>, Receiver<()>),
}

impl EventBus {
    /// Creates an event bus and returns it with the receiver of its inputs. Large bodies together hold at most
    /// `body_bytes` bytes.
    pub fn new(
        settings: &Settings,
        descriptors: Rc<DescriptorBudget>,
        body_bytes: usize,
        classifier: Rc<Classifier>,
        ledger_writer: LedgerWriter,
        member: Option<Rc<Member>>,
    ) -> (Rc<Self>, Receiver<Input>) {
        let (inputs, receiver) = async_channel::bounded(INPUT_LIMIT);
        let event_bus = Self {
            clock: Clock::start(),
            inputs,
            names: settings.names.clone(),
            classes: settings.module.classes.iter().map(ClassProtocol::of).collect(),
            classifier,
            ledger_writer,
            member,
            call_ids: CallIds::default(),
            body_memory: BodyMemory::new(body_bytes),
            ready: Cell::new(false),
            descriptors,
            max_first_byte_wait: Cell::new(0),
            idle_clients: Default::default(),
            next_id: Cell::new(1),
            malformed: Cell::new(0),
            bodies_without_memory: Cell::new(0),
            half_read_closes: Cell::new(0),
            answer_by: Cell::new(None),
            stop: async_channel::bounded(1),
        };
        (Rc::new(event_bus), receiver)
    }

    /// Returns whether this front may accept a new request. A front outside a fleet always may; a member of one only as
    /// far as the planners allow.
    pub fn accepts_requests(&self) -> bool {
        self.member.as_ref().is_none_or(|m| m.accepts_requests())
    }

    /// Begins the shutdown: requests in flight and those that still arrive are answered before the process may be killed,
    /// then connections close.
    pub async fn begin_stop(&self) {
        let answer_by = self.clock.now() + shutdown::answer_time(&self.classes);
        self.answer_by.set(Some(answer_by));
        self.stop.0.close();
        let _ = self.inputs.send(Input::ShutdownBegun { answer_by }).await;
    }

    /// Once the shutdown has begun, returns the time by which every request must be answered.
    pub fn answer_by(&self) -> Option<Micros> {
        self.answer_by.get()
    }

    /// Returns whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.0.is_closed()
    }

    /// Waits for the shutdown to begin.
    pub async fn stop_begun(&self) {
        let _ = self.stop.1.recv().await;
    }

    /// Counts a request that could not be parsed or is not a valid call.
    pub fn count_malformed(&self) {
        self.malformed.set(self.malformed.get() + 1);
    }

    /// Returns whether a call may run twice without harm.
    pub fn is_repeatable(&self, call: &Call) -> bool {
        let class = self.classes.get(usize::from(call.class));
        class.is_some_and(|class| class.is_repeatable) && !call.policy.at_most_once
    }

    /// Counts a request whose body was rejected because there was no memory for it.
    pub fn count_body_without_memory(&self) {
        self.bodies_without_memory.set(self.bodies_without_memory.get() + 1);
    }

    /// Counts a connection with half a request that is closed because another client can't connect.
    pub fn count_half_read_close(&self) {
        self.count_malformed();
        self.half_read_closes.set(self.half_read_closes.get() + 1);
    }

    /// Registers a request that was just read and that arrived `waited` microseconds earlier.
    pub fn open_exchange(&self, call: Call, waited: Micros) -> Rc<Exchange> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        Exchange::new(id, call, self.clock.now().saturating_sub(waited))
    }
}
