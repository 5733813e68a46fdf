//! Ids of the calls in progress and of those answered last: each call has an id of its own.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// Number of answered ids that are remembered.
const MAX_ANSWERED_IDS: usize = 4_096;

/// The ids that are known.
#[derive(Default)]
pub struct CallIds {
    state: Rc<RefCell<CallIdState>>,
}

#[derive(Default)]
struct CallIdState {
    known: HashMap<u64, KnownId>,
    /// Answered ids, in the order of their answers. An id that was used again is in it more than once.
    answered: VecDeque<u64>,
}

struct KnownId {
    is_open: bool,
    /// How often it is among the answered ids.
    answers: usize,
    /// The ledger's identity of its request, if that is recorded.
    recorded_as: Option<u128>,
}

/// Holds a call id in progress until it is dropped.
pub struct OpenCallId {
    state: Rc<RefCell<CallIdState>>,
    id: u64,
}

impl CallIds {
    /// Registers a call id. Returns `None` if it is in progress or was answered recently, since each request has an id of
    /// its own. An answered id may be used again for the request that the ledger has recorded as `recorded_as`: the ledger
    /// knows its outcome.
    pub fn open(&self, call_id: &str, recorded_as: Option<u128>) -> Option<OpenCallId> {
        let mut hasher = DefaultHasher::new();
        call_id.hash(&mut hasher);
        let id = hasher.finish();
        let mut state = self.state.borrow_mut();
        match state.known.get_mut(&id) {
            None => {
                state.known.insert(id, KnownId { is_open: true, answers: 0, recorded_as });
            }
            Some(known) if !known.is_open && recorded_as.is_some() && known.recorded_as == recorded_as => {
                known.is_open = true;
            }
            Some(_) => return None,
        }
        Some(OpenCallId { state: Rc::clone(&self.state), id })
    }
}

impl CallIdState {
    fn close(&mut self, id: u64) {
        if let Some(known) = self.known.get_mut(&id) {
            known.is_open = false;
            known.answers += 1;
        }
        self.answered.push_back(id);
        if self.answered.len() > MAX_ANSWERED_IDS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.answered.pop_front() else { return };
        let Some(known) = self.known.get_mut(&oldest) else { return };
        known.answers -= 1;
        if known.answers == 0 && !known.is_open {
            self.known.remove(&oldest);
        }
    }
}

impl Drop for OpenCallId {
    fn drop(&mut self) {
        self.state.borrow_mut().close(self.id);
    }
}
