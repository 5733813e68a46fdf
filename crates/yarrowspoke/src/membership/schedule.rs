//! When discovery is called for the list.
//!
//! Discovery serves all fronts in turn and works also for callers that have given up. If each front calls again soon after a
//! failure, calls come faster than they are served and all work is for callers that have left: an overload that feeds itself
//! long after its cause (a metastable failure). So the fronts together must call more slowly than discovery can serve them,
//! without knowing how fast that is: each calls once in the time that the settings give for asking, at a place in it of its
//! own number's. Where calls fail because discovery is crowded, not down, that was still too fast, and each waits twice as
//! long, up to four times: a queue drains only as far as calls come more slowly than they are served.
//!
//! That time is made for the worst: an outage of a slow discovery. Where other fronts tell how many of them wait and what a
//! call costs (the time that the quickest took lately), the calls take just as long as that many need, and some to spare: a
//! lease is renewed while it still holds.

use super::peers::PeerSubscriptions;
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
/// A call that fails sooner than this was turned away by a discovery that has too much to do.
const TURNED_AWAY_WITHIN: Micros = 200_000;
/// Failures in a row that count as a crowd where no other front can tell it from an outage.
const CROWD_FROM: u32 = 2;
/// A call that was answered so long ago tells nothing any more of what one costs.
const OPENED_LATELY: Micros = 3_000_000;
/// How much longer the fronts' calls take than discovery needs for them.
const SPARE_TIME: f64 = 1.5;
/// Times in a row that the wait is doubled.
const MOST_DOUBLINGS: u32 = 2;
/// The calls of all fronts come no further apart than this: what is known of an outage is no younger than the last of them.
const MOST_APART: Micros = 4_000_000;
/// Random part of each call's time, so that fronts of the same place in two fleets drift apart.
const JITTER: Micros = 100_000;

/// The schedule of one front.
#[derive(Clone)]
pub struct CallSchedule {
    /// Span over which the fleet's calls are spread.
    spread: Micros,
    /// This front's place in it, from 0 to below 1.
    place: f64,
    /// When to call; `None` while the subscription stands.
    next: Option<Micros>,
    /// The call that is out began then.
    called: Option<Micros>,
    /// Failures in a row...
    failures: u32,
    /// ...and those of them that a crowd explains.
    crowded: u32,
    /// The least pause after the last failure ends then.
    not_before: Micros,
    /// Other fronts can tell a crowd from an outage.
    talks: bool,
    /// When the last failed call began, as long as it is not known whether a crowd explains it.
    unexplained: Option<Micros>,
    /// The subscription had stood and was lost, not given up by this front: discovery went away from it.
    lost: bool,
    /// How many fronts there are.
    fronts: f64,
    /// This front's part of the time that a crowd takes, drawn anew for each need of a call.
    draw: f64,
    /// When the last call that was answered was, and how long it took.
    opened: Option<(Micros, Micros)>,
}

impl CallSchedule {
    /// A schedule from the start on. Where fronts talk and can vouch for each other's machines meanwhile, the first call has
    /// its place as well: fronts that start together would fill discovery's queue at once.
    pub fn new(settings: &Settings, talks: bool, now: Micros, random: &mut impl RngCore) -> Self {
        let spread = match settings.list_refresh_interval {
            0 => SPREAD,
            within => (within as f64 * SPREAD_PART) as Micros,
        };
        let fronts = f64::from(settings.fronts.max(1));
        let mut schedule = Self {
            spread,
            place: (f64::from(settings.front_id) / fronts).fract(),
            next: None,
            called: None,
            failures: 0,
            crowded: 0,
            not_before: 0,
            talks,
            unexplained: None,
            lost: false,
            fronts,
            draw: 0.0,
            opened: None,
        };
        schedule.call_in_slot(now, random);
        schedule
    }

    /// Part of crowding that is the other fronts': 0 for a front alone.
    fn others(&self) -> f64 {
        1.0 - 1.0 / self.fronts
    }

    /// How long after a moment that all fronts share this front's place comes.
    fn until_place(&self) -> f64 {
        self.others() * self.place * self.spread as f64
    }

    /// Whether calls fail.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether discovery went away from this front and calls have failed since.
    pub fn is_lost(&self) -> bool {
        self.lost && self.is_failing()
    }

    /// Whether the subscription stands.
    pub fn is_subscribed(&self) -> bool {
        self.next.is_none()
    }

    /// When the next call is made; `None` while the subscription stands.
    pub fn next_call(&self) -> Option<Micros> {
        self.next
    }

    /// Whether to call now; if so, the call counts as made.
    pub fn start_due_call(&mut self, now: Micros, random: &mut impl RngCore) -> bool {
        if self.next.is_none_or(|next| now < next) {
            return false;
        }
        self.next = Some(now + ANSWER_LIMIT + below(LEAST_PAUSE, random));
        self.called = Some(now);
        true
    }

    /// Discovery answered: the subscription stands.
    pub fn on_answer(&mut self, now: Micros) {
        self.next = None;
        if let Some(called) = self.called.take() {
            self.opened = Some((now, now - called));
        }
        self.failures = 0;
        self.crowded = 0;
        self.unexplained = None;
        self.lost = false;
    }

    /// How long the last answered call took, if that was lately.
    pub fn recent_opening_time(&self, now: Micros) -> Option<Micros> {
        self.opened.filter(|opened| now < opened.0 + OPENED_LATELY).map(|opened| opened.1)
    }

    /// Whether a call is to be made and none is out.
    pub fn is_waiting(&self) -> bool {
        self.next.is_some() && self.called.is_none()
    }

    /// Only a part of the fronts waits for a subscription: their calls take no longer than that part needs. As long as it is
    /// not known that discovery is quick, that holds for first calls, which keep their order; whose call has failed keeps its
    /// turn.
    pub fn shorten_wait(&mut self, now: Micros, crowd: PeerSubscriptions) {
        if !self.is_waiting() || self.crowded > 0 {
            return;
        }
        let wait = match self.time_for_all(crowd.call_cost) {
            Some(time) => self.draw * crowd.waiting_share * time,
            None if self.failures > 0 => return,
            None => crowd.waiting_share * self.until_place(),
        };
        let sooner = (now + wait as Micros).max(self.not_before);
        self.next = self.next.map(|next| next.min(sooner));
    }

    /// The time over which calls of all fronts are spread where a call costs that much, if that is less than it is without.
    fn time_for_all(&self, call_cost: Option<Micros>) -> Option<f64> {
        let time = SPARE_TIME * self.fronts * call_cost? as f64;
        (time < self.spread as f64).then_some(time)
    }

    /// The next call is made at `at`, whatever was planned.
    pub fn call_at(&mut self, at: Micros) {
        self.next = Some(at);
        self.called = None;
    }

    /// All fronts are to call from now on: each at its place, where fronts can vouch meanwhile.
    pub fn call_in_slot(&mut self, now: Micros, random: &mut impl RngCore) {
        self.draw_anew(random);
        let wait = if self.talks { self.until_place() } else { 0.0 };
        self.call_at(now + wait as Micros);
    }

    /// Discovery has moved: nothing is known of calls at its new address, and all fronts are to call there.
    pub fn discovery_moved(&mut self, now: Micros, random: &mut impl RngCore) {
        self.lost = false;
        self.failures = 0;
        self.crowded = 0;
        self.unexplained = None;
        self.opened = None;
        self.not_before = now;
        self.call_in_slot(now, random);
    }

    fn draw_anew(&mut self, random: &mut impl RngCore) {
        self.draw = f64::from(random.next_u32()) / f64::from(u32::MAX);
    }

    /// When the call that is out was made.
    pub fn call_started_at(&self) -> Option<Micros> {
        self.called
    }

    /// A call failed, or the subscription ended; `at_work` if discovery has shown that it is.
    pub fn on_failure(&mut self, now: Micros, at_work: bool, random: &mut impl RngCore) {
        self.lost |= self.is_subscribed();
        let called = self.called.take();
        let turned_away = called.is_some_and(|at| now < at + TURNED_AWAY_WITHIN);
        let unclear = !self.talks && self.failures >= CROWD_FROM;
        let crowded = called.is_some() && (turned_away || at_work || unclear);
        self.crowded += u32::from(crowded);
        self.unexplained = called.filter(|_| !crowded);
        let next = match (self.failures, called) {
            // The subscription ended, for all fronts at once more often than not.
            (_, None) => now + self.until_place() as Micros,
            (0, Some(_)) => now + (self.until_place() + self.others() * COOL_OFF as f64) as Micros,
            // Each front keeps the place it once took: calls that are spread stay spread.
            (_, Some(called)) => self.next_turn(called).max(now),
        };
        let pause = LEAST_PAUSE + below(if self.others() > 0.0 { JITTER } else { LEAST_PAUSE }, random);
        self.failures += 1;
        self.not_before = now + pause;
        self.next = Some(next + pause);
        self.draw_anew(random);
    }

    /// This front's next turn after a call that began at `called`.
    fn next_turn(&self, called: Micros) -> Micros {
        // Once may be the last moment of an outage.
        let doublings = self.crowded.saturating_sub(1).min(MOST_DOUBLINGS);
        let period = self.others() * self.spread as f64;
        let longest = (self.fronts * MOST_APART as f64).max(period);
        called + (f64::from(1 << doublings) * period).min(longest) as Micros
    }

    /// Whether other fronts should be asked what a failed call tells: a crowd, or an outage.
    pub fn needs_peer_evidence(&self) -> bool {
        self.unexplained.is_some()
    }

    /// Discovery answered another front at `at`: if that is later than a call of this front began that failed, it is crowded,
    /// unless it answers others so quickly that it would have time for all: then only this front's call was lost.
    pub fn on_peer_confirmation(&mut self, at: Micros, call_cost: Option<Micros>) {
        let Some(called) = self.unexplained.take_if(|called| *called < at) else { return };
        if self.time_for_all(call_cost).is_some() {
            return;
        }
        self.crowded += 1;
        let turn = self.next_turn(called);
        self.next = self.next.map(|next| next.max(turn));
    }
}

fn below(span: Micros, random: &mut impl RngCore) -> Micros {
    random.next_u64() % span.max(1)
}
