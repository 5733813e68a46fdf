//! Detects an outage: whether no front can reach discovery, and up to what time that is known.
//!
//! In an outage no changes are received, so the last known list stays in use. The evidence that discovery is
//! unreachable ages as well: it is valid for the moment at which some front made the last failed call, and for no
//! later one. Discovery may have returned right after that moment, so a front must act on its changes as long after
//! it as after any silence.
//!
//! A call to a discovery that is down fails in the same way as one to a discovery with a long queue. A queue starts
//! empty, however, so some front is answered. A front that was answered, even by a response that it cannot read,
//! knows that discovery is up. From then on there may be changes that were not received, and no later failure takes
//! that back; only a list that discovery confirmed later does.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// Number of fronts that must have reported recently that they cannot reach discovery before an outage is assumed for
/// all.
const MIN_REPORTS: usize = 3;
/// How long such a report is valid.
const REPORT_LIFETIME: Micros = 2_000_000;
/// How long the confirmed list of another front proves that discovery is up.
const PEER_CONFIRMATION_LIFETIME: Micros = 6_000_000;

/// What is known of an outage of discovery. All times are those at which something happened, not those at which this
/// front learned of it.
#[derive(Clone)]
pub struct Outage {
    /// Number of reports needed.
    min_reports: usize,
    /// Fronts that reported recently that they cannot reach discovery, and when their reports arrived.
    reports: BTreeMap<u16, Micros>,
    /// The latest time up to which no change was missed: discovery had sent all changes, or a call by some front
    /// failed.
    nothing_missed_until: Option<Micros>,
    /// When discovery last confirmed a list, to this front or to another that confirmed it.
    confirmed_at: Option<Micros>,
    /// Until when another front's confirmed list proves that discovery is up.
    known_up_until: Micros,
    /// Discovery was up at this time and has confirmed no list since: its changes of that time are not known.
    unread_since: Option<Micros>,
}

impl Outage {
    /// Creates the state of a front that knows nothing yet, in a fleet of `fronts` fronts.
    pub fn new(fronts: u32) -> Self {
        let others = fronts.saturating_sub(1) as usize;
        Self {
            min_reports: MIN_REPORTS.min(others),
            reports: BTreeMap::new(),
            nothing_missed_until: None,
            confirmed_at: None,
            known_up_until: 0,
            unread_since: None,
        }
    }

    /// Records that discovery has confirmed this front's list.
    pub fn confirm(&mut self, at: Micros) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.record_nothing_missed(at);
        self.unread_since = self.unread_since.filter(|unread_since| *unread_since > at);
    }

    /// Records that discovery has confirmed another front's list.
    pub fn confirm_by_peer(&mut self, at: Micros) {
        self.reports.clear();
        // Without this, where an overload keeps many fronts waiting, three reports in a row that discovery is
        // unreachable would count as an outage.
        self.known_up_until = self.known_up_until.max(at + PEER_CONFIRMATION_LIFETIME);
        self.confirm(at);
    }

    /// Records that discovery answered this front or another at `at` with a response that could not be read.
    pub fn on_unreadable_answer(&mut self, at: Micros) {
        self.reports.clear();
        if self.confirmed_at.is_none_or(|confirmed_at| confirmed_at < at) {
            self.unread_since = self.unread_since.max(Some(at));
        }
    }

    /// Records that no change was missed up to `at`: discovery confirmed a list then, or a call made then by some
    /// front failed.
    pub fn record_nothing_missed(&mut self, at: Micros) {
        self.nothing_missed_until = self.nothing_missed_until.max(Some(at));
    }

    /// Records that another front cannot reach discovery, and knows of no change missed up to `nothing_missed_until`.
    pub fn record_report(&mut self, now: Micros, front: u16, nothing_missed_until: Micros) {
        self.reports.insert(front, now);
        self.record_nothing_missed(nothing_missed_until);
    }

    /// Records that discovery has moved: all that is known is about the old address.
    pub fn discovery_moved(&mut self) {
        self.reports.clear();
        self.nothing_missed_until = None;
        self.confirmed_at = None;
        self.unread_since = None;
    }

    /// Returns the time up to which no change was missed, as far as this front knows.
    pub fn nothing_missed_until(&self) -> Option<Micros> {
        self.nothing_missed_until
    }

    /// Returns when discovery was last up, if its changes of that time are not known.
    pub fn unread_since(&self) -> Option<Micros> {
        self.unread_since
    }

    /// Returns whether nothing shows that discovery is up.
    pub fn is_possible(&self, now: Micros) -> bool {
        self.unread_since.is_none() && now >= self.known_up_until
    }

    /// Returns the time up to which no change was missed, if enough fronts report that they cannot reach discovery
    /// and nothing shows that it is up.
    pub fn agreed_nothing_missed_until(&mut self, now: Micros) -> Option<Micros> {
        self.reports.retain(|_, at| now < *at + REPORT_LIFETIME);
        let is_agreed = self.reports.len() >= self.min_reports && self.is_possible(now);
        self.nothing_missed_until.filter(|_| is_agreed)
    }
}
