//! When discovery is called for the list.
//!
//! Discovery serves all fronts in turn and works also for callers that have given up. If each front calls again soon after a
//! failure, calls come faster than they are served and all work is for callers that have left: an overload that feeds itself
//! long after its cause (a metastable failure). So the fronts together must call more slowly than discovery can serve them,
//! without knowing how fast that is: each calls once in the time that the settings give for asking, at a place in it of its
//! own number's, and only half as often when that does not help.

use crate::interface::{Micros, Settings};
use rand_core::RngCore;

/// Least pause after a failure; as much again is drawn at random.
const LEAST_PAUSE: Micros = 1_000_000;
/// A call without any answer for this long has failed.
const ANSWER_LIMIT: Micros = 4_000_000;
/// Part of the time given for asking over which the fronts spread their calls.
const SPREAD_PART: f64 = 0.8;
/// The time over which they spread them where the settings give none.
const SPREAD: Micros = 8_000_000;
/// After the first failed call, time for discovery to work off what a crowd left there.
const COOL_OFF: Micros = 4_000_000;
/// Failures in a row from which the fronts call half as often.
const SLOWER_FROM: u32 = 3;
/// Random part of each call's time, so that fronts of the same place in two fleets drift apart.
const JITTER: Micros = 100_000;

/// The schedule of one front.
#[derive(Clone)]
pub struct AskSchedule {
    /// Span over which the fleet's calls are spread.
    spread: Micros,
    /// This front's place in it, from 0 to below 1.
    place: f64,
    /// Part of crowding that is the other fronts': 0 for a front alone.
    others: f64,
    /// When to call; `None` while the subscription stands.
    next: Option<Micros>,
    /// The call that is out began then.
    called: Option<Micros>,
    /// Failures in a row.
    failures: u32,
}

impl AskSchedule {
    /// A schedule from the start on. Where fronts talk and can vouch for each other's machines meanwhile, the first call has
    /// its place as well: fronts that start together would fill discovery's queue at once.
    pub fn new(settings: &Settings, talks: bool, now: Micros) -> Self {
        let spread = match settings.ask_within {
            0 => SPREAD,
            within => (within as f64 * SPREAD_PART) as Micros,
        };
        let fronts = f64::from(settings.fronts.max(1));
        let (place, others) = ((f64::from(settings.me) / fronts).fract(), 1.0 - 1.0 / fronts);
        let wait = if talks { others * place * spread as f64 } else { 0.0 };
        let first = now + wait as Micros;
        Self { spread, place, others, next: Some(first), called: None, failures: 0 }
    }

    /// Whether calls fail.
    pub fn fails(&self) -> bool {
        self.failures > 0
    }

    /// Whether the subscription stands.
    pub fn stands(&self) -> bool {
        self.next.is_none()
    }

    /// Whether to call now; if so, the call counts as made.
    pub fn due(&mut self, now: Micros, random: &mut impl RngCore) -> bool {
        if self.next.is_none_or(|next| now < next) {
            return false;
        }
        self.next = Some(now + ANSWER_LIMIT + below(LEAST_PAUSE, random));
        self.called = Some(now);
        true
    }

    /// Discovery answered: the subscription stands.
    pub fn answered(&mut self) {
        self.next = None;
        self.called = None;
        self.failures = 0;
    }

    /// A call failed, or the subscription ended.
    pub fn failed(&mut self, now: Micros, random: &mut impl RngCore) {
        let pause = LEAST_PAUSE + below(if self.others > 0.0 { JITTER } else { LEAST_PAUSE }, random);
        let spread = self.others * self.spread as f64;
        let next = match (self.failures, self.called.take()) {
            // The subscription ended, for all fronts at once more often than not.
            (_, None) => now + (spread * self.place) as Micros,
            (0, Some(_)) => now + (spread * self.place + self.others * COOL_OFF as f64) as Micros,
            // Each front keeps the place it once took: calls that are spread stay spread.
            (failures, Some(called)) => {
                let slower = if failures >= SLOWER_FROM { 2.0 } else { 1.0 };
                (called + (slower * spread) as Micros).max(now)
            }
        };
        self.failures += 1;
        self.next = Some(next + pause);
    }
}

fn below(span: Micros, random: &mut impl RngCore) -> Micros {
    random.next_u64() % span.max(1)
}
