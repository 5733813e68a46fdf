//! When a front's next heartbeat to each planner is due: at the renewal while something changes, else at the pace, by turns.
//!
//! The turns are what keeps word from planners prompt: while nothing changes at the front, some planner that answers hears it
//! in every renewal, and can tell it what changed elsewhere. Each by itself hears it only once in a pace.

use crate::Micros;

/// One planner, as the pace sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannerSchedule {
    /// When the last heartbeat to it was begun, if one ever was.
    pub last: Option<Micros>,
    /// Since when something is there that must not wait for the pace.
    pub hurry: Option<Micros>,
    /// The last heartbeat to it did not fail.
    pub answers: bool,
}

/// Part of a renewal over which heartbeats that one change calls for are spread.
const SPREAD: (u64, u64) = (3, 4);

/// When the heartbeat to planner `n` is due. `draw` spreads those that many fronts owe to one change; none comes later than a
/// renewal after what hurries it, nor later than the pace after the one before.
pub fn next_due(beats: &[PlannerSchedule], n: usize, (renew, pace): (Micros, Micros), draw: u64) -> Micros {
    let Some(beat) = beats.get(n) else { return Micros::MAX };
    let Some(last) = beat.last else { return 0 };
    if let Some(since) = beat.hurry {
        return (last + renew).max(since + draw % (renew * SPREAD.0 / SPREAD.1).max(1));
    }
    let mut turns: Vec<(Micros, usize)> = beats
        .iter()
        .enumerate()
        .filter(|(k, b)| b.answers || *k == n)
        .filter_map(|(k, b)| Some((b.last?, k)))
        .collect();
    turns.sort_unstable();
    let planners = turns.len().max(1) as u64;
    // Danger: a pace above this would leave renewals in which no planner that answers hears the front.
    let pace = pace.min(renew * planners).max(renew);
    let turn = turns.iter().position(|t| t.1 == n).unwrap_or(0) as u64 + 1;
    let newest = turns.last().map_or(last, |t| t.0);
    (newest + turn * pace / planners).clamp(last + renew, last + pace)
}
