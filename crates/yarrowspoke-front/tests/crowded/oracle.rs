//! Computes when a front counts as notified of a change, and which requests reached a drained machine after that. The bounds
//! are those of the protocol for each kind of event; the program itself is not queried.

use super::{BusyDiscovery, Change, Front, Server, Written};
use std::time::{Duration, Instant};

/// Time after which every front counts as notified of a change, once discovery has it and is reachable.
pub const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// Time after a SIGHUP from which a front counts as notified of discovery's list.
pub const MOVED_TOLD_WITHIN: Duration = Duration::from_secs(4);
/// Grace time, including slack, after which no new request may reach a drained machine.
pub const GRACE: Duration = Duration::from_millis(550);

/// A request that arrived after the grace time.
#[derive(Clone, Debug)]
pub struct Late {
    pub machine: String,
    pub front: usize,
    /// Time since the front counted as notified of the change.
    pub after_told: Duration,
    /// Time since the front's last SIGHUP.
    pub after_move: Option<Duration>,
}

/// The updates that one front received, with their times.
struct Told<'a> {
    front: &'a Front,
    written: Vec<Written>,
}

impl Told<'_> {
    /// Returns when the process that runs at `at` counted as notified of this change; `None` if it does not yet.
    fn since(&self, change: &Change, at: Instant) -> Option<Instant> {
        let start = *self.front.starts.iter().filter(|start| **start <= at).max()?;
        // A process that has just started knows only its configuration, and nothing more is required of it at first.
        let by_age = (change.at.max(self.front.reaches_since) + TOLD_WITHIN).max(start);
        let by_writing = self.written_since(start).find(|w| w.version >= change.version).map(|w| w.at);
        let by_moves = self.front.moves.iter().filter(|moved| **moved >= start).filter_map(|moved| {
            // Unless discovery writes something at the new address before, the front counts as notified once the time is over.
            let answered = self.written_since(*moved).map(|w| w.at).min();
            let due = (*moved + MOVED_TOLD_WITHIN).max(change.at);
            answered.is_none_or(|answered| change.at < answered && due < answered).then_some(due)
        });
        let told = by_moves.chain(by_writing).chain([by_age]).min()?;
        (told <= at).then_some(told)
    }

    fn written_since(&self, since: Instant) -> impl Iterator<Item = &Written> {
        self.written.iter().filter(move |w| w.at >= since)
    }
}

/// Returns requests that reached machines listed as draining or gone, after the grace time.
pub fn late_requests(discovery: &BusyDiscovery, servers: &[Server], fronts: &[Front]) -> Vec<Late> {
    let (changes, written) = (discovery.changes(), discovery.written());
    let told = |front| {
        let own = written.iter().filter(|w| w.front == front).copied().collect();
        Told { front: &fronts[front], written: own }
    };
    let told: Vec<Told> = (0..fronts.len()).map(told).collect();
    let mut late = Vec::new();
    for server in servers {
        let own: Vec<&Change> = changes.iter().filter(|c| c.machine == server.name).collect();
        for came in server.came() {
            let Some(front) = came.front else { continue };
            let Some(change) = own.iter().rfind(|c| c.at <= came.at).filter(|c| c.status != "up") else {
                continue;
            };
            // The first change away from "up" is decisive.
            let first = own.iter().rposition(|c| c.at <= came.at && c.status == "up").map_or(0, |n| n + 1);
            let change = own.get(first).unwrap_or(change);
            let Some(since) = told[front].since(change, came.at) else { continue };
            if came.at > since + GRACE {
                let moved = fronts[front].moves.iter().filter(|moved| **moved <= came.at).max();
                late.push(Late {
                    machine: server.name.clone(),
                    front,
                    after_told: came.at - since,
                    after_move: moved.map(|moved| came.at - *moved),
                });
            }
        }
    }
    late.sort_by_key(|late| late.after_told);
    late
}
