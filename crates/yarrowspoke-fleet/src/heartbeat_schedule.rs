//! When a front's next heartbeat to each planner is due: at the renewal while something changes, otherwise at the
//! pace, with the planners taking turns.
//!
//! The turns keep notifications from planners prompt: while nothing changes at the front, some planner that answers
//! receives a heartbeat in every renewal, and its answer can report what changed elsewhere. Each single planner
//! receives one only once in a pace.

use crate::Micros;

/// The state of the heartbeats to one planner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannerSchedule {
    /// When the last heartbeat was sent, if there was one.
    pub last_sent_at: Option<Micros>,
    /// Since when there is something to send that must not wait for the pace.
    pub urgent_since: Option<Micros>,
    /// The last heartbeat did not fail.
    pub responsive: bool,
}

/// The heartbeats that one change causes are spread over this fraction of a renewal, three quarters.
const SPREAD_NUMERATOR: u64 = 3;
const SPREAD_DENOMINATOR: u64 = 4;

/// Returns when the heartbeat to `planner` is due. `jitter` spreads the heartbeats that many fronts send because of
/// one change. None is due later than a renewal after the urgent change, nor later than the pace after the previous
/// heartbeat.
pub fn next_due(
    schedules: &[PlannerSchedule],
    planner: usize,
    (renew, pace): (Micros, Micros),
    jitter: u64,
) -> Micros {
    let Some(schedule) = schedules.get(planner) else { return Micros::MAX };
    let Some(last) = schedule.last_sent_at else { return 0 };
    if let Some(since) = schedule.urgent_since {
        return (last + renew).max(since + jitter % (renew * SPREAD_NUMERATOR / SPREAD_DENOMINATOR).max(1));
    }
    let mut turns: Vec<(Micros, usize)> = schedules
        .iter()
        .enumerate()
        .filter(|(k, b)| b.responsive || *k == planner)
        .filter_map(|(k, b)| Some((b.last_sent_at?, k)))
        .collect();
    turns.sort_unstable();
    let planners = turns.len().max(1) as u64;
    // With a longer pace there would be renewals in which no answering planner receives a heartbeat from this front.
    let pace = pace.min(renew * planners).max(renew);
    let turn = turns.iter().position(|t| t.1 == planner).unwrap_or(0) as u64 + 1;
    let newest = turns.last().map_or(last, |t| t.0);
    (newest + turn * pace / planners).clamp(last + renew, last + pace)
}
