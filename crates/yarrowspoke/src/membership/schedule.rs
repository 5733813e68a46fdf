//! The schedule of calls to discovery for the list.
//!
//! Discovery serves all fronts in turn, and also works on calls whose callers have given up. If each front calls
//! again soon after a failure, calls arrive faster than they are served and all work is done for callers that have
//! left: an overload that sustains itself long after its cause (a metastable failure). So the fronts together must
//! call more slowly than discovery can serve them, without knowing how fast that is: each calls once per list refresh
//! interval of the settings, in a slot given by its front number. Where calls fail because discovery is overloaded,
//! not down, that was still too fast, and each front doubles its wait, up to four times the interval: a queue drains
//! only if calls arrive more slowly than they are served.
//!
//! Where calls fail while a lease is still valid, and other fronts cannot confirm the list, a front whose next slot comes
//! after the end of its lease makes one call before it, at a random time, in addition to those in its slots.
//!
//! That interval is meant for the worst case, an outage of a slow discovery. Where other fronts report how many of
//! them wait and what a call costs (the time that the quickest recently took), the calls are spread over just the
//! time that so many calls need, with some to spare, so that a lease is renewed while it is still valid.
//!
//! Where changes count as received whether or not a subscription is open, none may be missed for long once discovery is
//! back. There a front whose calls fail at once, and so cost discovery little, repeats them at short intervals, longer the
//! more fronts there are.

use super::peers::PeerSubscriptions;
use crate::interface::{Micros, Settings};
use rand_core::RngCore;

/// Minimum backoff after a failure; up to as much again is added at random.
const MIN_BACKOFF: Micros = 1_000_000;
/// A call without any answer for this long has failed.
const CALL_TIMEOUT: Micros = 4_000_000;
/// Share of the list refresh interval over which the fronts spread their calls.
const SPREAD_SHARE: f64 = 0.8;
/// The time over which calls are spread if the settings give no interval.
const DEFAULT_SPREAD: Micros = 8_000_000;
/// After the first failed call, time for discovery to drain the queue that an overload left.
const QUEUE_DRAIN_TIME: Micros = 4_000_000;
/// A call that fails sooner than this was rejected by an overloaded discovery.
const REJECTED_WITHIN: Micros = 200_000;
/// Consecutive failures that count as an overload where no other front can tell it from an outage.
const OVERLOAD_AFTER_FAILURES: u32 = 2;
/// How long the time that an answered call took is used as the cost of a call.
const OPENING_TIME_LIFETIME: Micros = 3_000_000;
/// Ratio of the time over which calls are spread to the time that discovery needs for them.
const SPARE_TIME_FACTOR: f64 = 1.5;
/// Maximum number of times that the wait is doubled.
const MAX_DOUBLINGS: u32 = 2;
/// Calls of the whole fleet are no further apart than this, because evidence of an outage is only as recent as the
/// last call.
const MAX_CALL_SPACING: Micros = 4_000_000;
/// Time that a call needs to renew a lease: a busy discovery answers it late.
const RENEWAL_TIME: Micros = 1_000_000;
/// Least time between two prompt repetitions of a failed call.
const MIN_PROMPT_INTERVAL: Micros = 150_000;
/// Most time between them; where fronts are so many that it takes longer, failed calls are repeated in slots alone.
const MAX_PROMPT_INTERVAL: Micros = 2_000_000;
/// Time between two prompt repetitions over all fronts.
const PROMPT_CALL_SPACING: Micros = 50_000;
/// Random part of each call's time, so that fronts with the same slot in two fleets drift apart.
const JITTER: Micros = 100_000;

/// The call schedule of one front.
#[derive(Clone)]
pub struct CallSchedule {
    /// Time over which the fleet's calls are spread.
    spread: Micros,
    /// This front's slot in it, from 0 to below 1.
    slot: f64,
    /// When to call next; `None` while the subscription is open.
    next_call: Option<Micros>,
    /// When the call in flight began.
    call_began_at: Option<Micros>,
    /// Consecutive failures.
    failures: u32,
    /// Those of the consecutive failures that an overload explains.
    overload_failures: u32,
    /// When the minimum backoff after the last failure ends.
    backoff_until: Micros,
    /// Interval of prompt repetitions of a failed call, where changes count as received without a subscription and there are
    /// not too many fronts.
    prompt_interval: Option<Micros>,
    /// Other fronts are queried, and can tell an overload from an outage.
    queries_peers: bool,
    /// When the last failed call began, as long as it is not known whether an overload explains the failure.
    unexplained_call_at: Option<Micros>,
    /// An open subscription was ended by discovery, not by this front.
    subscription_lost: bool,
    /// This front's slot, while a call ahead of it is planned or in flight.
    slot_after_early_call: Option<Micros>,
    /// A call ahead of the slot was planned since discovery last answered or moved; there is no second one.
    has_called_early: bool,
    /// Number of fronts.
    fronts: f64,
    /// This front's random fraction of the time over which waiting fronts spread their calls, drawn anew for each
    /// call that is needed.
    random_fraction: f64,
    /// When the last answered call was answered, and how long it took.
    last_opening: Option<(Micros, Micros)>,
}

impl CallSchedule {
    /// Creates the schedule of a front that has just started. Where fronts query each other and can confirm each
    /// other's machines meanwhile, the first call is made in its slot too: fronts that start together would otherwise
    /// fill discovery's queue at once.
    pub fn new(settings: &Settings, queries_peers: bool, now: Micros, random: &mut impl RngCore) -> Self {
        let spread = match settings.list_refresh_interval {
            0 => DEFAULT_SPREAD,
            interval => (interval as f64 * SPREAD_SHARE) as Micros,
        };
        let fronts = f64::from(settings.fronts.max(1));
        let prompt_interval = MIN_PROMPT_INTERVAL.max(PROMPT_CALL_SPACING * Micros::from(settings.fronts));
        let mut schedule = Self {
            prompt_interval: (settings.list_counts_unsubscribed && prompt_interval <= MAX_PROMPT_INTERVAL)
                .then_some(prompt_interval),
            spread,
            slot: (f64::from(settings.front_id) / fronts).fract(),
            next_call: None,
            call_began_at: None,
            failures: 0,
            overload_failures: 0,
            backoff_until: 0,
            queries_peers,
            unexplained_call_at: None,
            subscription_lost: false,
            slot_after_early_call: None,
            has_called_early: false,
            fronts,
            random_fraction: 0.0,
            last_opening: None,
        };
        schedule.call_in_slot(now, random);
        schedule
    }

    /// Returns the share of the load that comes from other fronts: 0 for a single front.
    fn others_share(&self) -> f64 {
        1.0 - 1.0 / self.fronts
    }

    /// Returns how long after a moment common to all fronts this front's slot begins.
    fn slot_offset(&self) -> f64 {
        self.others_share() * self.slot * self.spread as f64
    }

    /// Returns whether calls fail.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether discovery ended this front's subscription and calls have failed since.
    pub fn is_lost(&self) -> bool {
        self.subscription_lost && self.is_failing()
    }

    /// Returns whether the subscription is open.
    pub fn is_subscribed(&self) -> bool {
        self.next_call.is_none()
    }

    /// Returns when the next call is made; `None` while the subscription is open.
    pub fn next_call(&self) -> Option<Micros> {
        self.next_call
    }

    /// Returns whether to call now; if so, the call is recorded as started.
    pub fn start_due_call(&mut self, now: Micros, random: &mut impl RngCore) -> bool {
        if self.next_call.is_none_or(|next| now < next) {
            return false;
        }
        self.next_call = Some(now + CALL_TIMEOUT + random_below(MIN_BACKOFF, random));
        self.call_began_at = Some(now);
        true
    }

    /// Records that discovery answered, so the subscription is open.
    pub fn on_answer(&mut self, now: Micros) {
        self.next_call = None;
        if let Some(call_began_at) = self.call_began_at.take() {
            self.last_opening = Some((now, now - call_began_at));
        }
        self.failures = 0;
        self.overload_failures = 0;
        self.unexplained_call_at = None;
        self.subscription_lost = false;
        self.slot_after_early_call = None;
        self.has_called_early = false;
    }

    /// Returns how long the last answered call took, if that was recent.
    pub fn recent_opening_time(&self, now: Micros) -> Option<Micros> {
        self.last_opening
            .filter(|last_opening| now < last_opening.0 + OPENING_TIME_LIFETIME)
            .map(|last_opening| last_opening.1)
    }

    /// Returns whether a call is to be made and none is in flight.
    pub fn is_waiting(&self) -> bool {
        self.next_call.is_some() && self.call_began_at.is_none()
    }

    /// Shortens the wait where only a share of the fronts waits for a subscription: their calls are spread over no
    /// longer than that share needs. As long as it is not known that discovery is quick, that applies to first calls
    /// only, which keep their order; a front whose call has failed keeps its slot.
    pub fn shorten_wait(&mut self, now: Micros, peers: PeerSubscriptions) {
        if !self.is_waiting() || self.overload_failures > 0 {
            return;
        }
        let wait = match self.time_for_all(peers.call_cost) {
            Some(time) => self.random_fraction * peers.waiting_share * time,
            None if self.failures > 0 => return,
            None => peers.waiting_share * self.slot_offset(),
        };
        let sooner = (now + wait as Micros).max(self.backoff_until);
        self.next_call = self.next_call.map(|next| next.min(sooner));
    }

    /// Returns the time over which calls of all fronts are spread at this cost of a call, if that is less than the
    /// default spread.
    fn time_for_all(&self, call_cost: Option<Micros>) -> Option<f64> {
        let time = SPARE_TIME_FACTOR * self.fronts * call_cost? as f64;
        (time < self.spread as f64).then_some(time)
    }

    /// Schedules the next call at `at`, replacing any other plan.
    pub fn call_at(&mut self, at: Micros) {
        self.next_call = Some(at);
        self.call_began_at = None;
        self.slot_after_early_call = None;
    }

    /// Schedules calls of all fronts from now on: each in its slot, where fronts can confirm each other's machines
    /// meanwhile.
    pub fn call_in_slot(&mut self, now: Micros, random: &mut impl RngCore) {
        self.redraw_fraction(random);
        let wait = if self.queries_peers { self.slot_offset() } else { 0.0 };
        self.call_at(now + wait as Micros);
    }

    /// Records that discovery has moved: nothing is known of calls at its new address, and all fronts must call it.
    pub fn discovery_moved(&mut self, now: Micros, random: &mut impl RngCore) {
        self.subscription_lost = false;
        self.failures = 0;
        self.overload_failures = 0;
        self.unexplained_call_at = None;
        self.last_opening = None;
        self.has_called_early = false;
        self.backoff_until = now;
        self.call_in_slot(now, random);
    }

    fn redraw_fraction(&mut self, random: &mut impl RngCore) {
        self.random_fraction = f64::from(random.next_u32()) / f64::from(u32::MAX);
    }

    /// Returns when the call in flight was made.
    pub fn call_started_at(&self) -> Option<Micros> {
        self.call_began_at
    }

    /// Records that a call failed or the subscription ended; `discovery_is_up` states that discovery has proved to be
    /// up, `lease_end` when the lease on the list ends.
    pub fn on_failure(
        &mut self,
        now: Micros,
        discovery_is_up: bool,
        lease_end: Micros,
        random: &mut impl RngCore,
    ) {
        if let Some(slot) = self.slot_after_early_call.take() {
            self.call_at(slot.max(now + MIN_BACKOFF));
            return;
        }
        self.subscription_lost |= self.is_subscribed();
        let call_began_at = self.call_began_at.take();
        let was_rejected = call_began_at.is_some_and(|at| now < at + REJECTED_WITHIN);
        if let Some(interval) = self.prompt_interval.filter(|_| was_rejected || call_began_at.is_none()) {
            self.repeat_promptly(now, interval, call_began_at, random);
            return;
        }
        let is_unclear = !self.queries_peers && self.failures >= OVERLOAD_AFTER_FAILURES;
        let is_overload = call_began_at.is_some() && (was_rejected || discovery_is_up || is_unclear);
        self.overload_failures += u32::from(is_overload);
        self.unexplained_call_at = call_began_at.filter(|_| !is_overload);
        let next = match (self.failures, call_began_at) {
            // The subscription ended, in most cases for all fronts at once.
            (_, None) => now + self.slot_offset() as Micros,
            (0, Some(_)) => {
                now + (self.slot_offset() + self.others_share() * QUEUE_DRAIN_TIME as f64) as Micros
            }
            // Each front keeps its slot, so calls that are spread out stay so.
            (_, Some(call_began_at)) => self.next_slot(call_began_at).max(now),
        };
        let backoff =
            MIN_BACKOFF + random_below(if self.others_share() > 0.0 { JITTER } else { MIN_BACKOFF }, random);
        self.failures += 1;
        self.backoff_until = now + backoff;
        self.next_call = Some(next + backoff);
        self.redraw_fraction(random);
        if !self.queries_peers && !self.has_called_early {
            self.call_before(lease_end, now);
        }
    }

    /// Schedules a call within `interval` of the subscription's end, or `interval` after a call that failed at once: then
    /// discovery is down, or turns calls away without having worked on them.
    fn repeat_promptly(
        &mut self,
        now: Micros,
        interval: Micros,
        call_began_at: Option<Micros>,
        random: &mut impl RngCore,
    ) {
        self.failures += 1;
        self.unexplained_call_at = call_began_at;
        self.redraw_fraction(random);
        let wait = match call_began_at {
            Some(_) => interval,
            None => (self.random_fraction * interval as f64) as Micros,
        };
        self.call_at(now + wait);
        self.backoff_until = now + wait;
    }

    /// Plans a call ahead of that in this front's slot, if the slot comes too late to renew a lease that ends at
    /// `lease_end`.
    fn call_before(&mut self, lease_end: Micros, now: Micros) {
        let (earliest, latest) = (now + MIN_BACKOFF, lease_end.saturating_sub(RENEWAL_TIME));
        let Some(slot) = self.next_call.filter(|slot| *slot > latest && latest > earliest) else { return };
        let wait = self.random_fraction * (latest - earliest) as f64;
        self.call_at(earliest + wait as Micros);
        self.slot_after_early_call = Some(slot);
        self.has_called_early = true;
    }

    /// Returns this front's next slot after a call that began at `call_began_at`.
    fn next_slot(&self, call_began_at: Micros) -> Micros {
        // A single such failure may fall in the last moment of an outage, so it does not double the wait.
        let doublings = self.overload_failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let period = self.others_share() * self.spread as f64;
        let longest = (self.fronts * MAX_CALL_SPACING as f64).max(period);
        call_began_at + (f64::from(1 << doublings) * period).min(longest) as Micros
    }

    /// Returns whether other fronts should be queried to tell whether an overload or an outage explains a failed
    /// call.
    pub fn needs_peer_evidence(&self) -> bool {
        self.unexplained_call_at.is_some()
    }

    /// Records that discovery answered another front at `at`. If a call of this front that failed began earlier,
    /// discovery is overloaded, unless it answers others so quickly that it would have time for all: then only this
    /// front's call was lost.
    pub fn on_peer_confirmation(&mut self, at: Micros, call_cost: Option<Micros>) {
        let Some(call_began_at) = self.unexplained_call_at.take_if(|called| *called < at) else { return };
        if self.time_for_all(call_cost).is_some() {
            return;
        }
        self.overload_failures += 1;
        let slot_time = self.next_slot(call_began_at);
        self.next_call = self.next_call.map(|next| next.max(slot_time));
    }
}

fn random_below(span: Micros, random: &mut impl RngCore) -> Micros {
    random.next_u64() % span.max(1)
}
