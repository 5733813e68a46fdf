//! One client request and its final answer: the only thing that client and server side share.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::future::poll_fn;
use std::hash::{DefaultHasher, Hash, Hasher};
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
    /// The client's id of it, passed on unchanged.
    pub call_id: String,
    /// The key by which machines know a repeat of it, passed on unchanged.
    pub idempotency_key: Option<String>,
    /// Position of its class in the settings.
    pub class: u8,
    /// Position of its tenant in the settings; past their end if unknown.
    pub tenant: u32,
    /// How long the client waits.
    pub budget: Micros,
    /// Its subject; 0 = none.
    pub key: u64,
    /// The client's guess at the work.
    pub work_hint: Option<Micros>,
    /// Marked as a repeat.
    pub is_retry: bool,
    /// What the operators' rules say of it.
    pub policy: RequestPolicy,
    /// The body, passed on unchanged.
    pub body: Vec<u8>,
}

/// Ids of the calls that are open, and of the last ones that were answered.
#[derive(Default)]
pub struct CallIds {
    seen: Rc<RefCell<Seen>>,
}

#[derive(Default)]
struct Seen {
    /// Open ones and answered ones alike.
    all: HashSet<u64>,
    /// Open ones.
    open: HashSet<u64>,
    /// Answered ones, in the order of their answers.
    answered: VecDeque<u64>,
}

/// Answered ids that are remembered.
const ANSWERED_KEPT: usize = 4_096;

/// An id in use, until dropped.
pub struct OpenCallId {
    seen: Rc<RefCell<Seen>>,
    id: u64,
}

impl CallIds {
    /// Takes an id into use; `None` if it is open or was answered lately, as ids are fresh on every request. With `again`
    /// an answered one may come again: a ledger knows what became of it.
    pub fn open(&self, call_id: &str, again: bool) -> Option<OpenCallId> {
        let mut hasher = DefaultHasher::new();
        call_id.hash(&mut hasher);
        let id = hasher.finish();
        let mut seen = self.seen.borrow_mut();
        let fresh = seen.all.insert(id);
        let free = fresh || again && !seen.open.contains(&id);
        free.then(|| {
            seen.open.insert(id);
            OpenCallId { seen: Rc::clone(&self.seen), id }
        })
    }
}

impl Drop for OpenCallId {
    fn drop(&mut self) {
        let mut seen = self.seen.borrow_mut();
        seen.open.remove(&self.id);
        seen.answered.push_back(self.id);
        if seen.answered.len() > ANSWERED_KEPT {
            // One that came again stands in the row more than once.
            if let Some(old) = seen.answered.pop_front().filter(|old| !seen.open.contains(old)) {
                seen.all.remove(&old);
            }
        }
    }
}

/// The final answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A machine's answer.
    Served(Vec<u8>),
    /// Refused: trying again is harmless, after so long if it is not 0.
    Refused(Micros),
    /// Failed, without any promise.
    Failed,
}

#[derive(Default)]
struct Slot {
    answer: Option<Answer>,
    over: bool,
    waker: Option<Waker>,
}

/// A request on its way, shared by the client's connection and by its attempts.
pub struct Exchange {
    /// The front's own number of it.
    pub id: RequestId,
    /// What was asked.
    pub call: Call,
    /// When its last byte came.
    pub arrived_at: Micros,
    /// When the client stops waiting.
    pub deadline: Micros,
    slot: RefCell<Slot>,
}

impl Exchange {
    /// A request that has just come.
    pub fn new(id: RequestId, call: Call, arrived_at: Micros) -> Rc<Self> {
        let deadline = arrived_at.saturating_add(call.budget);
        Rc::new(Self { id, call, arrived_at, deadline, slot: RefCell::default() })
    }

    /// Gives the final answer; false if there was one already or the client has left.
    pub fn answer(&self, answer: Answer) -> bool {
        let mut slot = self.slot.borrow_mut();
        if slot.over {
            return false;
        }
        slot.over = true;
        slot.answer = Some(answer);
        if let Some(waker) = slot.waker.take() {
            waker.wake();
        }
        true
    }

    /// The client has left; false if the answer was given before.
    pub fn abandon(&self) -> bool {
        !std::mem::replace(&mut self.slot.borrow_mut().over, true)
    }

    /// Whether the request has its final answer or nobody waits for one.
    pub fn is_finished(&self) -> bool {
        self.slot.borrow().over
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
