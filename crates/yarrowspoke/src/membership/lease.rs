//! Leases: how long a list, or a single machine of it, may be used without being confirmed again.
//!
//! An answer from a machine does not renew its lease: another process may have started under its name and address
//! before discovery has reported that the listed one is gone.

use crate::interface::{MachineId, Micros, Settings};
use std::collections::BTreeMap;

/// A front must act on a change of the list within this time after discovery had it, whether or not the change
/// arrived.
const LIST_CHANGE_DEADLINE: Micros = 6_000_000;
/// A front must act on the list of a discovery at a new address within this time after the move.
const MOVED_CHANGE_DEADLINE: Micros = 4_000_000;
/// Safety margin subtracted from the drain grace where a list of unknown age is used.
const DRAIN_GRACE_MARGIN: Micros = 100_000;
/// How long the list stays in use after other fronts reported that none of them can reach discovery.
const OUTAGE_LEASE_DURATION: Micros = 1_500_000;

/// The evidence behind a machine's lease, from the weakest to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseSource {
    /// There is no evidence.
    None,
    /// The list cached before the start, of unknown age.
    Cache,
    /// Reports of other fronts that none of them can reach discovery: no front knows anything newer.
    Outage,
    /// Another front whose list is confirmed.
    Peer,
    /// Discovery itself.
    Discovery,
}

/// A lease: until when a machine may be used, and by which evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseBasis {
    /// The evidence behind the lease.
    pub source: LeaseSource,
    /// When the lease ends.
    pub until: Micros,
}

/// How long lists are used in this deployment.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// Lease of a confirmed list.
    duration: Micros,
    /// Lease of a cached list of unknown age after a start.
    cache_duration: Micros,
    /// The host confirms an open subscription periodically; otherwise the subscription is valid until the host
    /// reports its end.
    has_heartbeats: bool,
    /// The list is pushed to the front, and its source never falls silent.
    is_pushed: bool,
}

impl LeaseTerms {
    /// Derives the terms from the settings.
    pub fn from_settings(settings: &Settings) -> Self {
        let duration = match settings.list_refresh_interval {
            0 => LIST_CHANGE_DEADLINE,
            interval => interval.min(LIST_CHANGE_DEADLINE),
        };
        Self {
            duration,
            cache_duration: settings.drain_grace.saturating_sub(DRAIN_GRACE_MARGIN),
            has_heartbeats: settings.list_heartbeats,
            is_pushed: !settings.pulls_list,
        }
    }
}

/// What is known of another front's list.
#[derive(Clone, Debug)]
struct NewerList {
    /// When its lease ends; 0 if that front cannot reach discovery.
    until: Micros,
    version: u64,
    /// This front's machines that are unchanged in that list.
    machines: Vec<MachineId>,
}

/// Leases on the list as a whole and on single machines.
#[derive(Clone)]
pub struct Leases {
    terms: LeaseTerms,
    list: LeaseBasis,
    machines: BTreeMap<MachineId, LeaseBasis>,
    /// Machines of which discovery's list says nothing that could be decoded, and when the last lease on a list ends that
    /// covers them. No later one does, until a list does say something of them.
    excepted: BTreeMap<MachineId, Micros>,
    /// What others know from a list newer than this front's own. While no front can reach discovery, only these
    /// machines stay in use.
    newer: Option<NewerList>,
    /// Set while discovery has moved and has not answered at its new address: this front must act on the list at the
    /// new address from then on.
    moved_deadline: Option<Micros>,
    /// Changes were sent at this time that this front has not read: only later confirmations may be used.
    unread_at: Option<Micros>,
}

impl Leases {
    /// Creates an empty set of leases; a list that is pushed needs none.
    pub fn new(terms: LeaseTerms) -> Self {
        let list = match terms.is_pushed {
            true => LeaseBasis { source: LeaseSource::Discovery, until: Micros::MAX },
            false => LeaseBasis { source: LeaseSource::None, until: 0 },
        };
        Self {
            terms,
            list,
            machines: BTreeMap::new(),
            excepted: BTreeMap::new(),
            newer: None,
            moved_deadline: None,
            unread_at: None,
        }
    }

    /// Starts a short lease on the list cached before the start.
    pub fn start_from_cache(&mut self, now: Micros) {
        if !self.terms.is_pushed {
            self.list = LeaseBasis { source: LeaseSource::Cache, until: now + self.terms.cache_duration };
        }
    }

    /// Records that discovery has confirmed the list, or sent all changes, as of a time that is not later than now.
    pub fn confirm(&mut self, as_of: Micros) {
        let is_unlimited = self.terms.is_pushed || !self.terms.has_heartbeats;
        let until = if is_unlimited { Micros::MAX } else { as_of + self.terms.duration };
        self.list = LeaseBasis { source: LeaseSource::Discovery, until };
        self.newer = None;
        self.moved_deadline = None;
        self.unread_at = None;
        // Confirmations by other fronts are no newer than this one.
        self.machines.retain(|machine, _| self.excepted.contains_key(machine));
    }

    /// Has later lists cover none of these machines, as the next one says nothing of them that could be decoded.
    pub fn except_from_list(&mut self, machines: &[MachineId]) {
        let until = self.list_until();
        for machine in machines {
            self.excepted.entry(*machine).or_insert(until);
        }
    }

    /// Has the list cover these machines again, of which it says something that could be decoded.
    pub fn end_exceptions(&mut self, machines: impl Iterator<Item = MachineId>) {
        if self.excepted.is_empty() {
            return;
        }
        for machine in machines {
            self.excepted.remove(&machine);
        }
    }

    /// Returns the lease on the list as it covers this machine.
    fn list_basis(&self, machine: MachineId) -> LeaseBasis {
        match self.excepted.get(&machine) {
            Some(until) => LeaseBasis { until: self.list.until.min(*until), ..self.list },
            None => self.list,
        }
    }

    /// Records that a call failed, or that the subscription ended if `was_subscribed` is set.
    pub fn lose_subscription(&mut self, now: Micros, was_subscribed: bool) {
        if was_subscribed && !self.terms.is_pushed && !self.terms.has_heartbeats {
            self.list.until = now + self.terms.duration;
        }
    }

    /// Records that discovery sent changes that could not be read. The front must act on them at once, so earlier
    /// confirmations are void, whichever front they came from.
    pub fn on_unread_changes(&mut self, now: Micros) {
        if self.terms.is_pushed {
            return;
        }
        self.end_list_by(now);
        self.machines.clear();
        self.newer = None;
        self.unread_at = Some(now);
    }

    /// Records that discovery has moved. The front must act on the list at the new address sooner than after mere
    /// silence, whatever other fronts confirm: their confirmation may be from the old address, or from before a
    /// change on which this front must act by then.
    pub fn discovery_moved(&mut self, now: Micros) {
        if self.terms.is_pushed {
            return;
        }
        let deadline = now + MOVED_CHANGE_DEADLINE;
        self.moved_deadline = Some(self.moved_deadline.map_or(deadline, |earlier| earlier.min(deadline)));
    }

    /// Returns whether discovery has moved and has not answered at its new address.
    pub fn awaits_moved_discovery(&self) -> bool {
        self.moved_deadline.is_some()
    }

    /// Returns when a lease ends: at the earliest of the limits that apply. While no front can reach discovery, there
    /// are no changes to receive, so a move does not limit an outage lease.
    fn end(&self, basis: LeaseBasis) -> Micros {
        match (basis.source, self.moved_deadline) {
            (LeaseSource::Outage, _) | (_, None) => basis.until,
            (_, Some(deadline)) => basis.until.min(deadline),
        }
    }

    /// Returns the lease with its actual end, if it is valid.
    fn valid(&self, now: Micros, basis: LeaseBasis) -> Option<LeaseBasis> {
        let until = self.end(basis);
        (now < until).then_some(LeaseBasis { until, ..basis })
    }

    /// Ends the lease on the whole list at `at` at the latest; a list that is pushed needs no lease and stays valid.
    fn end_list_by(&mut self, at: Micros) {
        if !self.terms.is_pushed {
            self.list.until = self.list.until.min(at);
        }
    }

    /// Extends leases on machines that another front confirmed, each with the time at which discovery confirmed it,
    /// from a list confirmed at `confirmed_at`. This front alone decides how long it may use them, by its own limits.
    pub fn confirm_by_peer(
        &mut self,
        now: Micros,
        machines: BTreeMap<MachineId, Micros>,
        confirmed_at: Micros,
        version: u64,
    ) {
        if self.unread_at.is_some_and(|unread| confirmed_at < unread) {
            return;
        }
        let list_until = confirmed_at + self.terms.duration;
        let own_list_is_valid = self.is_from_discovery() && self.valid(now, self.list).is_some();
        if own_list_is_valid && self.list.until >= list_until {
            return;
        }
        let is_new_enough = |at: &Micros| self.unread_at.is_none_or(|unread| *at >= unread);
        let machines: BTreeMap<MachineId, Micros> =
            machines.into_iter().filter(|m| is_new_enough(&m.1)).collect();
        for (machine, confirmed_at) in &machines {
            let until = confirmed_at + self.terms.duration;
            self.extend(*machine, LeaseBasis { source: LeaseSource::Peer, until });
        }
        let machines = machines.into_keys().collect();
        self.record_newer(NewerList { until: list_until, version, machines });
        // Another front has newer knowledge, so a lease that was valid only because no front had any ends.
        if !own_list_is_valid {
            self.end_list_by(now);
        }
    }

    /// Records that a front that cannot reach discovery last knew a newer list, in which these machines were
    /// unchanged from this front's list.
    pub fn record_last_known(&mut self, version: u64, machines: Vec<MachineId>) {
        // The changes that this front received and could not read may be newer still.
        if self.unread_at.is_some() {
            return;
        }
        self.record_newer(NewerList { until: 0, version, machines });
    }

    fn record_newer(&mut self, newer: NewerList) {
        // In an outage the newest list may have no lease left while an older one still has, so versions are compared
        // first.
        let is_newer = |known: &NewerList| (known.version, known.until) <= (newer.version, newer.until);
        if self.newer.as_ref().is_none_or(is_newer) {
            self.newer = Some(newer);
        }
    }

    /// Records that no other front can reach discovery either: no front knows of a change, and the last known list
    /// stays in use. Nothing was missed up to `nothing_missed_until` at least; a change right after that moment has
    /// the usual deadline.
    pub fn assume_outage(&mut self, now: Micros, nothing_missed_until: Micros) {
        let until = (now + OUTAGE_LEASE_DURATION).min(nothing_missed_until + self.terms.duration);
        if until <= now {
            return;
        }
        match &self.newer {
            Some(newer) => {
                for machine in newer.machines.clone() {
                    self.extend(machine, LeaseBasis { source: LeaseSource::Outage, until });
                }
            }
            None if self.unread_at.is_some() => {}
            None if self.end(self.list) < until => {
                self.list = LeaseBasis { source: LeaseSource::Outage, until }
            }
            None => {}
        }
    }

    /// Records that discovery is up: the leases end that were valid only because it seemed to be down.
    pub fn end_outage(&mut self, now: Micros) {
        if matches!(self.list.source, LeaseSource::Outage | LeaseSource::Cache) {
            self.end_list_by(now);
        }
        self.machines.retain(|_, m| m.source != LeaseSource::Outage);
    }

    fn extend(&mut self, machine: MachineId, basis: LeaseBasis) {
        let current_end = self.machines.get(&machine).map_or(0, |lease| self.end(*lease));
        if current_end < self.end(basis) {
            self.machines.insert(machine, basis);
        }
    }

    /// Returns the lease on this machine, if one is valid: that on the whole list first, then that on the machine
    /// alone.
    pub fn lease_basis(&self, now: Micros, machine: MachineId) -> Option<LeaseBasis> {
        let single = || self.machines.get(&machine).and_then(|lease| self.valid(now, *lease));
        self.valid(now, self.list_basis(machine)).or_else(single)
    }

    /// Returns how long ago discovery confirmed a machine, if this front may confirm it to others, by its own
    /// confirmed list or by another front's. Knowledge from an address that discovery has left is not passed on.
    pub fn confirmation_age(&self, now: Micros, machine: MachineId) -> Option<Micros> {
        if self.awaits_moved_discovery() {
            return None;
        }
        let list = self.is_from_discovery().then_some(self.list_basis(machine));
        let peer_lease = self.machines.get(&machine).filter(|m| m.source == LeaseSource::Peer).copied();
        let until = list.into_iter().chain(peer_lease).map(|b| b.until).max()?;
        self.age(now, until)
    }

    /// Returns how long ago discovery confirmed the newest valid list that this front knows of, its own or another
    /// front's.
    pub fn list_age(&self, now: Micros) -> Option<Micros> {
        if self.awaits_moved_discovery() {
            return None;
        }
        let own_until = if self.is_from_discovery() { self.list.until } else { 0 };
        self.age(now, own_until.max(self.peer_confirmed_until()))
    }

    /// Returns how long ago a lease that ends at `until` was confirmed. A lease without an end counts as just
    /// confirmed.
    fn age(&self, now: Micros, until: Micros) -> Option<Micros> {
        let remaining = until.min(now + self.terms.duration).saturating_sub(now);
        (remaining > 0).then(|| self.terms.duration - remaining)
    }

    /// Returns the version of the newest known list, this front's own version `own_version` included.
    pub fn newest_version(&self, own_version: u64) -> u64 {
        self.newer.as_ref().map_or(own_version, |newer| newer.version.max(own_version))
    }

    /// Returns when the lease on the whole list ends.
    pub fn list_until(&self) -> Micros {
        self.end(self.list)
    }

    /// Returns whether the whole list was confirmed by discovery.
    pub fn is_from_discovery(&self) -> bool {
        self.list.source == LeaseSource::Discovery
    }

    /// Returns when the lease ends of the newest list by which other fronts confirmed machines.
    pub fn peer_confirmed_until(&self) -> Micros {
        let until = self.newer.as_ref().map_or(0, |newer| newer.until);
        self.moved_deadline.map_or(until, |deadline| until.min(deadline))
    }

    /// Returns the best source of any valid lease.
    pub fn source(&self, now: Micros) -> LeaseSource {
        let machines = self.machines.values().filter_map(|m| self.valid(now, *m)).map(|m| m.source).max();
        let list = self.valid(now, self.list).map(|list| list.source);
        list.max(machines).unwrap_or(LeaseSource::None)
    }

    /// Drops machines for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(MachineId) -> bool) {
        self.machines.retain(|m, _| keep(*m));
        self.excepted.retain(|m, _| keep(*m));
    }
}
