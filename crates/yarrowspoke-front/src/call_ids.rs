//! Ids of the calls in progress and of those answered last: each call has an id of its own.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// Number of ids that are remembered of each kind of ended calls.
const EFFECTS_CAPACITY: usize = 131_072;
const RECORDED_CAPACITY: usize = 32_768;
const REPEATABLE_CAPACITY: usize = 32_768;
const UNSENT_CAPACITY: usize = 4_096;

/// What is known of the calls whose ids are remembered together. Many calls of one kind make no id of another kind
/// forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum History {
    /// They may have run, and must not run twice.
    Effects,
    /// They may have run, and the ledger knows them too.
    Recorded,
    /// They may have run, and may be repeated.
    Repeatable,
    /// No machine has got them.
    Unsent,
}

/// The ids of ended calls of one kind, the oldest first.
struct IdHistory {
    ids: VecDeque<u64>,
    capacity: usize,
}

impl IdHistory {
    fn new(capacity: usize) -> Self {
        Self { ids: VecDeque::new(), capacity }
    }

    /// Adds an id; returns the oldest if there is no room for it any more.
    fn push(&mut self, id: u64) -> Option<u64> {
        let oldest = if self.ids.len() >= self.capacity { self.ids.pop_front() } else { None };
        self.ids.push_back(id);
        oldest
    }
}

/// The ids that are known.
#[derive(Default)]
pub struct CallIds {
    state: Rc<RefCell<CallIdState>>,
}

struct CallIdState {
    open: HashSet<u64>,
    /// Ids of ended calls that the ledger does not know. None of them is used again.
    ended: HashSet<u64>,
    /// Ids of calls that the ledger knows. They may be used again.
    recorded: HashMap<u64, RecordedId>,
    effects: IdHistory,
    known_to_ledger: IdHistory,
    repeatable: IdHistory,
    unsent: IdHistory,
}

impl Default for CallIdState {
    fn default() -> Self {
        Self {
            open: HashSet::new(),
            ended: HashSet::new(),
            recorded: HashMap::new(),
            effects: IdHistory::new(EFFECTS_CAPACITY),
            known_to_ledger: IdHistory::new(RECORDED_CAPACITY),
            repeatable: IdHistory::new(REPEATABLE_CAPACITY),
            unsent: IdHistory::new(UNSENT_CAPACITY),
        }
    }
}

struct RecordedId {
    /// The ledger's identity of the request; half of it, since many ids are kept.
    identity: u64,
    /// How often the id is in the histories.
    ends: u32,
}

/// Holds a call id in progress until it is dropped.
pub struct OpenCallId {
    state: Rc<RefCell<CallIdState>>,
    id: u64,
    is_recorded: bool,
    history: History,
}

impl CallIds {
    /// Registers a call id. Returns `None` if it is in progress or was answered recently, since each request has an id of
    /// its own. An answered id may be used again for the request that the ledger has recorded as `recorded_as`: the ledger
    /// knows its outcome.
    pub fn open(&self, call_id: &str, recorded_as: Option<u128>) -> Option<OpenCallId> {
        let mut hasher = DefaultHasher::new();
        call_id.hash(&mut hasher);
        let id = hasher.finish();
        let identity = recorded_as.map(|identity| identity as u64);
        let mut state = self.state.borrow_mut();
        if !state.is_available(id, identity) {
            return None;
        }
        state.open.insert(id);
        if let Some(identity) = identity {
            state.recorded.entry(id).or_insert(RecordedId { identity, ends: 0 });
        }
        let is_recorded = identity.is_some();
        let history = if is_recorded { History::Recorded } else { History::Effects };
        Some(OpenCallId { state: Rc::clone(&self.state), id, is_recorded, history })
    }
}

impl CallIdState {
    fn is_available(&self, id: u64, identity: Option<u64>) -> bool {
        let is_known = self.open.contains(&id) || self.ended.contains(&id);
        !is_known && self.recorded.get(&id).is_none_or(|recorded| identity == Some(recorded.identity))
    }

    fn close(&mut self, id: u64, is_recorded: bool, history: History) {
        self.open.remove(&id);
        if !is_recorded {
            self.ended.insert(id);
        } else if let Some(recorded) = self.recorded.get_mut(&id) {
            recorded.ends += 1;
        }
        let history = match history {
            History::Effects => &mut self.effects,
            History::Recorded => &mut self.known_to_ledger,
            History::Repeatable => &mut self.repeatable,
            History::Unsent => &mut self.unsent,
        };
        if let Some(oldest) = history.push(id) {
            self.forget(oldest);
        }
    }

    fn forget(&mut self, id: u64) {
        let Some(recorded) = self.recorded.get_mut(&id) else {
            self.ended.remove(&id);
            return;
        };
        recorded.ends -= 1;
        if recorded.ends == 0 && !self.open.contains(&id) {
            self.recorded.remove(&id);
        }
    }
}

impl OpenCallId {
    /// Records that the call may run twice without harm.
    pub fn set_repeatable(&mut self) {
        if self.history == History::Effects {
            self.history = History::Repeatable;
        }
    }

    /// Records that no machine has got the call and that none will.
    pub fn set_unsent(&mut self) {
        self.history = History::Unsent;
    }
}

impl Drop for OpenCallId {
    fn drop(&mut self) {
        self.state.borrow_mut().close(self.id, self.is_recorded, self.history);
    }
}
