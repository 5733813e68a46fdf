//! How long connections have waited in the kernel's queue to be accepted.

use std::collections::VecDeque;
use yarrowspoke::interface::Micros;

/// Connections that the kernel keeps for a listener until they are accepted. It keeps one more than its backlog.
const QUEUE_LEN: usize = BACKLOG as usize + 1;
/// The backlog of the client listener.
pub const BACKLOG: i32 = 256;

/// Bounds how long each accepted connection may have waited since accepting paused.
///
/// Nothing tells when a connection was opened. It is no older than the pause, if none waited before it, and connections
/// are accepted in the order in which they were queued: one that is accepted was not in the queue yet when the one
/// [`QUEUE_LEN`] places before it was accepted.
#[derive(Default)]
pub struct AcceptQueue {
    /// Time since when connections may have been waiting; `None` once all waiting ones were accepted.
    paused_since: Option<Micros>,
    /// When the last connections were accepted, the earliest first, since accepting paused.
    accepted_at: VecDeque<Micros>,
}

impl AcceptQueue {
    /// Records that connections are left waiting from now on.
    pub fn pause(&mut self, now: Micros) {
        self.paused_since.get_or_insert(now);
    }

    /// Records that no connection is waiting.
    pub fn drained(&mut self) {
        self.paused_since = None;
        self.accepted_at.clear();
    }

    /// Records that a connection is accepted; returns how long it may have waited.
    pub fn accept(&mut self, now: Micros) -> Micros {
        let Some(paused_since) = self.paused_since else { return 0 };
        let queued_after = match self.accepted_at.len() >= QUEUE_LEN {
            true => self.accepted_at.pop_front(),
            false => None,
        };
        self.accepted_at.push_back(now);
        now.saturating_sub(queued_after.map_or(paused_since, |at| at.max(paused_since)))
    }
}
