//! Ids of the calls in progress and of those answered last: each call has an id of its own.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// Number of ids that are remembered of calls that may have run: a repeat within a minute is recognised at 500 calls a second.
const MAX_SENT_IDS: usize = 32_768;
/// Number of ids that are remembered of calls that no machine got. Whoever sends many of those makes none of the others
/// forgotten.
const MAX_UNSENT_IDS: usize = 4_096;

/// The ids that are known.
#[derive(Default)]
pub struct CallIds {
    state: Rc<RefCell<CallIdState>>,
}

#[derive(Default)]
struct CallIdState {
    known: HashMap<u64, KnownId>,
    /// Ids of calls that may have run and of those that have not, in the order of their ends. An id that was used again is
    /// there more than once.
    sent: VecDeque<u64>,
    unsent: VecDeque<u64>,
}

struct KnownId {
    is_open: bool,
    /// How often it is among the ids of ended calls.
    ends: u32,
    /// The ledger's identity of its request, if that is recorded; half of it, since many ids are kept.
    recorded_as: Option<u64>,
}

/// Holds a call id in progress until it is dropped.
pub struct OpenCallId {
    state: Rc<RefCell<CallIdState>>,
    id: u64,
    may_have_run: bool,
}

impl CallIds {
    /// Registers a call id. Returns `None` if it is in progress or was answered recently, since each request has an id of
    /// its own. An answered id may be used again for the request that the ledger has recorded as `recorded_as`: the ledger
    /// knows its outcome.
    pub fn open(&self, call_id: &str, recorded_as: Option<u128>) -> Option<OpenCallId> {
        let mut hasher = DefaultHasher::new();
        call_id.hash(&mut hasher);
        let id = hasher.finish();
        let recorded_as = recorded_as.map(|identity| identity as u64);
        let mut state = self.state.borrow_mut();
        match state.known.get_mut(&id) {
            None => {
                state.known.insert(id, KnownId { is_open: true, ends: 0, recorded_as });
            }
            Some(known) if !known.is_open && recorded_as.is_some() && known.recorded_as == recorded_as => {
                known.is_open = true;
            }
            Some(_) => return None,
        }
        Some(OpenCallId { state: Rc::clone(&self.state), id, may_have_run: true })
    }
}

impl CallIdState {
    fn close(&mut self, id: u64, may_have_run: bool) {
        if let Some(known) = self.known.get_mut(&id) {
            known.is_open = false;
            known.ends += 1;
        }
        let (ended, limit) = match may_have_run {
            true => (&mut self.sent, MAX_SENT_IDS),
            false => (&mut self.unsent, MAX_UNSENT_IDS),
        };
        ended.push_back(id);
        let excess = if ended.len() > limit { ended.pop_front() } else { None };
        if let Some(oldest) = excess {
            self.forget_end(oldest);
        }
    }

    fn forget_end(&mut self, id: u64) {
        let Some(known) = self.known.get_mut(&id) else { return };
        known.ends -= 1;
        if known.ends == 0 && !known.is_open {
            self.known.remove(&id);
        }
    }
}

impl OpenCallId {
    /// Records that no machine has got the call and that none will.
    pub fn set_unsent(&mut self) {
        self.may_have_run = false;
    }
}

impl Drop for OpenCallId {
    fn drop(&mut self) {
        self.state.borrow_mut().close(self.id, self.may_have_run);
    }
}
