//! Whether discovery is out of reach of every front, and up to when that has been seen.
//!
//! In an outage nothing new is told, so the list from before stays in use. That discovery is out of reach is evidence as
//! well, and it ages: it is of the moment at which some front last called in vain, and of none after it. Discovery may have
//! returned right then, so what it had to tell counts as told so long after that moment as after any silence.
//!
//! A call to a discovery that is down fails as one to a discovery with a long queue does. A queue begins empty, though, and
//! somebody is answered. Who was answered, be it by what cannot be read, knows that discovery is at work. From then on there
//! is something that has not been told, and no later failure takes that back; only a list that discovery confirmed later
//! does.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// Fronts that must have said lately that they cannot reach discovery before that counts for all of them.
const REPORTS_ENOUGH: usize = 3;
/// How long ago is lately.
const REPORT_LASTS: Micros = 2_000_000;
/// How long it counts that another front's list was confirmed.
const AT_WORK_LASTS: Micros = 6_000_000;

/// What is known of an outage of discovery. All times are of when something happened, not of when it was heard of.
#[derive(Clone)]
pub struct Outage {
    /// Reports that are enough.
    enough: usize,
    /// Fronts that said lately that they cannot reach discovery, and when they said so.
    reports: BTreeMap<u16, Micros>,
    /// The latest moment up to which nothing was missed: discovery had told all, or some front called it in vain.
    nothing_missed_until: Option<Micros>,
    /// When discovery last confirmed a list, to this front or to another that vouched for it.
    confirmed: Option<Micros>,
    /// Until when the confirmed list of another front tells that discovery is at work.
    at_work_until: Micros,
    /// Discovery was at work then, and has confirmed no list since: what it had to tell is not known.
    unread: Option<Micros>,
}

impl Outage {
    /// Nothing is known yet, among so many fronts.
    pub fn new(fronts: u32) -> Self {
        let others = fronts.saturating_sub(1) as usize;
        Self {
            enough: REPORTS_ENOUGH.min(others),
            reports: BTreeMap::new(),
            nothing_missed_until: None,
            confirmed: None,
            at_work_until: 0,
            unread: None,
        }
    }

    /// Discovery has confirmed this front's list.
    pub fn confirm(&mut self, at: Micros) {
        self.confirmed = self.confirmed.max(Some(at));
        self.record_nothing_missed(at);
        self.unread = self.unread.filter(|unread| *unread > at);
    }

    /// Discovery has confirmed another front's list.
    pub fn confirm_by_peer(&mut self, at: Micros) {
        self.reports.clear();
        // Danger: among many that a crowd keeps waiting, three in a row say that they reach nothing.
        self.at_work_until = self.at_work_until.max(at + AT_WORK_LASTS);
        self.confirm(at);
    }

    /// Discovery answered this front or another at `at`, unreadably.
    pub fn answered_unreadably(&mut self, at: Micros) {
        self.reports.clear();
        if self.confirmed.is_none_or(|confirmed| confirmed < at) {
            self.unread = self.unread.max(Some(at));
        }
    }

    /// A call that some front made at `at` failed.
    pub fn record_nothing_missed(&mut self, at: Micros) {
        self.nothing_missed_until = self.nothing_missed_until.max(Some(at));
    }

    /// Another front cannot reach discovery, and knows of nothing missed up to `nothing_missed_until`.
    pub fn record_report(&mut self, now: Micros, front: u16, nothing_missed_until: Micros) {
        self.reports.insert(front, now);
        self.record_nothing_missed(nothing_missed_until);
    }

    /// Discovery is elsewhere: all that is known is of where it was.
    pub fn discovery_moved(&mut self) {
        self.reports.clear();
        self.nothing_missed_until = None;
        self.confirmed = None;
        self.unread = None;
    }

    /// Up to when nothing was missed, as far as this front knows.
    pub fn nothing_missed_until(&self) -> Option<Micros> {
        self.nothing_missed_until
    }

    /// When discovery was last at work, if what it had to tell then is not known.
    pub fn unread_since(&self) -> Option<Micros> {
        self.unread
    }

    /// Nothing tells that discovery is at work.
    pub fn is_possible(&self, now: Micros) -> bool {
        self.unread.is_none() && now >= self.at_work_until
    }

    /// Up to when nothing was missed, if enough fronts say that they cannot reach discovery and nothing speaks against it.
    pub fn agreed_nothing_missed_until(&mut self, now: Micros) -> Option<Micros> {
        self.reports.retain(|_, at| now < *at + REPORT_LASTS);
        let agree = self.reports.len() >= self.enough && self.is_possible(now);
        self.nothing_missed_until.filter(|_| agree)
    }
}
