//! A client request and its final answer: the only state that the client side and the machine side share.

use crate::descriptor_budget::BodyReservation;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use yarrowspoke::interface::{Micros, RequestId, RequestPolicy};

/// A request as a client sent it, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Method, passed on unchanged.
    pub method: String,
    /// Path and query, passed on unchanged.
    pub target: String,
    /// Call id that the client set, passed on unchanged.
    pub call_id: String,
    /// Key by which machines recognise a retry of the call, passed on unchanged.
    pub idempotency_key: Option<String>,
    /// Index of its class in the settings.
    pub class: u8,
    /// Index of its tenant in the settings; past the last tenant if unknown.
    pub tenant: u32,
    /// How long the client waits for the answer.
    pub budget: Micros,
    /// Hash key of the request's subject; 0 if it has none.
    pub key: u64,
    /// Amount of work that the client estimates.
    pub work_hint: Option<Micros>,
    /// Whether the client marked the call as a retry.
    pub is_retry: bool,
    /// Policy that the operators' rules set for it.
    pub policy: RequestPolicy,
    /// Request body, passed on unchanged.
    pub body: Vec<u8>,
}

/// The final answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Body of a machine's answer.
    Served(Vec<u8>),
    /// Refused: a retry is safe, after this time if it is not 0.
    Refused(Micros),
    /// Failed: the request may have run or not.
    Failed,
}

#[derive(Default)]
struct AnswerSlot {
    answer: Option<Answer>,
    finished: bool,
    waker: Option<Waker>,
}

/// A request in progress, shared by the client's connection and the attempts.
pub struct Exchange {
    /// Id that this front assigned to the request.
    pub id: RequestId,
    /// The decoded call.
    pub call: Call,
    /// When its last byte arrived.
    pub arrived_at: Micros,
    /// When the client stops waiting.
    pub client_deadline: Micros,
    /// When it must be answered: at the client's deadline, or before the process may be killed.
    deadline: Cell<Micros>,
    slot: RefCell<AnswerSlot>,
    /// Whether an attempt was made.
    was_attempted: Cell<bool>,
    /// Memory reserved for the body of the answer, until that is written.
    answer_memory: RefCell<Option<BodyReservation>>,
}

impl Exchange {
    /// Creates the exchange of a request that has just arrived.
    pub fn new(id: RequestId, call: Call, arrived_at: Micros) -> Rc<Self> {
        let client_deadline = arrived_at.saturating_add(call.budget);
        let deadline = Cell::new(client_deadline);
        let (slot, answer_memory) = (RefCell::default(), RefCell::default());
        Rc::new(Self {
            id,
            call,
            arrived_at,
            client_deadline,
            deadline,
            slot,
            was_attempted: Cell::new(false),
            answer_memory,
        })
    }

    /// Returns when the request must be answered.
    pub fn deadline(&self) -> Micros {
        self.deadline.get()
    }

    /// Brings the deadline forward to `latest`; returns whether it was later.
    pub fn limit_deadline(&self, latest: Micros) -> bool {
        let is_later = self.deadline.get() > latest;
        if is_later {
            self.deadline.set(latest);
        }
        is_later
    }

    /// Sets the final answer. Returns false if there is one already or the client has disconnected.
    pub fn answer(&self, answer: Answer) -> bool {
        let mut slot = self.slot.borrow_mut();
        if slot.finished {
            return false;
        }
        slot.finished = true;
        slot.answer = Some(answer);
        if let Some(waker) = slot.waker.take() {
            waker.wake();
        }
        true
    }

    /// Records that an attempt was made.
    pub fn record_attempt(&self) {
        self.was_attempted.set(true);
    }

    /// Returns whether an attempt was made; none is made any more once the exchange is finished.
    pub fn was_attempted(&self) -> bool {
        self.was_attempted.get()
    }

    /// Keeps memory reserved for the body of the answer, until [`Exchange::release_memory`] or the end of the exchange.
    pub fn hold_memory(&self, memory: Option<BodyReservation>) {
        *self.answer_memory.borrow_mut() = memory;
    }

    /// Releases the memory of an answer that is written; other attempts may still hold the exchange.
    pub fn release_memory(&self) {
        self.answer_memory.take();
    }

    /// Records that the client has disconnected. Returns false if the final answer was set before.
    pub fn abandon(&self) -> bool {
        !std::mem::replace(&mut self.slot.borrow_mut().finished, true)
    }

    /// Returns whether the request has its final answer or its client has disconnected.
    pub fn is_finished(&self) -> bool {
        self.slot.borrow().finished
    }

    /// Waits for the final answer.
    pub async fn wait_for_answer(&self) -> Answer {
        poll_fn(|context| {
            let mut slot = self.slot.borrow_mut();
            match slot.answer.take() {
                Some(answer) => Poll::Ready(answer),
                None => {
                    slot.waker = Some(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }
}
