//! How long a list, or a single machine of it, may be sent to without being confirmed anew.
//!
//! A machine does not vouch for itself by answering: another process may have come up under its name and address, while
//! discovery still has to tell that the one listed has gone.

use crate::interface::{MachineId, Micros, Settings};
use std::collections::BTreeMap;

/// A change of the list counts as told this long after discovery had it, whether or not it arrived.
const TOLD_WITHIN: Micros = 6_000_000;
/// What a discovery at a new address has to tell counts as told this long after the move.
const MOVED_TOLD_WITHIN: Micros = 4_000_000;
/// Held back from the grace of a drain where a list of unknown age is used.
const GRACE_MARGIN: Micros = 100_000;
/// How long the list is kept in use on the word of other fronts that none of them can reach discovery.
const OUTAGE_LASTS: Micros = 1_500_000;

/// Who vouches for a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseSource {
    /// Nobody.
    None,
    /// The list held from before the start, of unknown age.
    Cache,
    /// Other fronts, none of which can reach discovery: nothing newer is known to anybody.
    Outage,
    /// Another front whose list is confirmed.
    Peer,
    /// Discovery.
    Discovery,
}

/// What a send stands on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseBasis {
    /// Who vouches for the machine.
    pub source: LeaseSource,
    /// Until when.
    pub until: Micros,
}

/// How far a list is trusted in this deployment.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// How long a confirmed list stands.
    lasts: Micros,
    /// How long one of unknown age stands after a start.
    cached: Micros,
    /// The host confirms a standing subscription again and again; otherwise it stands until it is said to have ended.
    heartbeats: bool,
    /// The list comes unasked, and its source never falls silent.
    unasked: bool,
}

impl LeaseTerms {
    /// As the settings have it.
    pub fn from_settings(settings: &Settings) -> Self {
        let lasts = match settings.list_refresh_interval {
            0 => TOLD_WITHIN,
            within => within.min(TOLD_WITHIN),
        };
        Self {
            lasts,
            cached: settings.drain_grace.saturating_sub(GRACE_MARGIN),
            heartbeats: settings.list_heartbeats,
            unasked: !settings.pulls_list,
        }
    }
}

/// Another front's list, as far as it is known.
#[derive(Clone, Debug)]
struct NewerList {
    /// Until when it holds; 0 where that front cannot reach discovery.
    until: Micros,
    version: u64,
    /// This front's machines that have not changed up to then.
    machines: Vec<MachineId>,
}

/// Leases on the list as a whole and on single machines.
#[derive(Clone)]
pub struct Leases {
    trust: LeaseTerms,
    list: LeaseBasis,
    machines: BTreeMap<MachineId, LeaseBasis>,
    /// What others know by a newer list than this front's own. While nobody can reach discovery these machines alone stay in
    /// use.
    newer: Option<NewerList>,
    /// Discovery has moved and has not been heard at its new address: what it has counts as told from then on.
    moved_bound: Option<Micros>,
    /// Something was told then that this front has not read: only what was confirmed later may be used.
    unread_at: Option<Micros>,
}

impl Leases {
    /// No lease on anything; a list that comes unasked needs none.
    pub fn new(trust: LeaseTerms) -> Self {
        let list = match trust.unasked {
            true => LeaseBasis { source: LeaseSource::Discovery, until: Micros::MAX },
            false => LeaseBasis { source: LeaseSource::None, until: 0 },
        };
        Self { trust, list, machines: BTreeMap::new(), newer: None, moved_bound: None, unread_at: None }
    }

    /// The list from before the start is taken on.
    pub fn start_from_cache(&mut self, now: Micros) {
        if !self.trust.unasked {
            self.list = LeaseBasis { source: LeaseSource::Cache, until: now + self.trust.cached };
        }
    }

    /// Discovery has confirmed the list, or told all that changed.
    pub fn confirm(&mut self, now: Micros) {
        let for_good = self.trust.unasked || !self.trust.heartbeats;
        let until = if for_good { Micros::MAX } else { now + self.trust.lasts };
        self.list = LeaseBasis { source: LeaseSource::Discovery, until };
        self.newer = None;
        self.moved_bound = None;
        self.unread_at = None;
        // Others' words are no newer than this one.
        self.machines.clear();
    }

    /// A call failed, or the subscription ended if one `stood`.
    pub fn lose_subscription(&mut self, now: Micros, stood: bool) {
        if stood && !self.trust.unasked && !self.trust.heartbeats {
            self.list.until = now + self.trust.lasts;
        }
    }

    /// Discovery told something that could not be read, and it counts as told, whoever vouched for what before.
    pub fn miss_changes(&mut self, now: Micros) {
        if self.trust.unasked {
            return;
        }
        self.end_list_by(now);
        self.machines.clear();
        self.newer = None;
        self.unread_at = Some(now);
    }

    /// Discovery is elsewhere from now on. What it has counts as told sooner than after a mere silence, whoever else vouches:
    /// another front's word may be of the old address, or from before a change that counts as told by then.
    pub fn discovery_moved(&mut self, now: Micros) {
        if self.trust.unasked {
            return;
        }
        let bound = now + MOVED_TOLD_WITHIN;
        self.moved_bound = Some(self.moved_bound.map_or(bound, |earlier| earlier.min(bound)));
    }

    /// Whether discovery has moved and has not been heard at its new address.
    pub fn awaits_moved_discovery(&self) -> bool {
        self.moved_bound.is_some()
    }

    /// When a lease ends: the least of the bounds that apply. Where nobody reaches discovery, there is nothing to be told of.
    fn end(&self, basis: LeaseBasis) -> Micros {
        match (basis.source, self.moved_bound) {
            (LeaseSource::Outage, _) | (_, None) => basis.until,
            (_, Some(bound)) => basis.until.min(bound),
        }
    }

    /// The lease as it stands, if it is valid.
    fn valid(&self, now: Micros, basis: LeaseBasis) -> Option<LeaseBasis> {
        let until = self.end(basis);
        (now < until).then_some(LeaseBasis { until, ..basis })
    }

    /// The list as a whole holds until `at` at the latest; one that comes unasked needs no lease and keeps standing.
    fn end_list_by(&mut self, at: Micros) {
        if !self.trust.unasked {
            self.list.until = self.list.until.min(at);
        }
    }

    /// Another front vouches for machines, each confirmed by discovery at its time, by a list confirmed at `confirmed`. How long
    /// that may be used is for this front to say, by its own bounds.
    pub fn confirm_by_peer(
        &mut self,
        now: Micros,
        machines: BTreeMap<MachineId, Micros>,
        confirmed: Micros,
        version: u64,
    ) {
        if self.unread_at.is_some_and(|unread| confirmed < unread) {
            return;
        }
        let list_until = confirmed + self.trust.lasts;
        let own_holds = self.is_from_discovery() && self.valid(now, self.list).is_some();
        if own_holds && self.list.until >= list_until {
            return;
        }
        let read = |at: &Micros| self.unread_at.is_none_or(|unread| *at >= unread);
        let machines: BTreeMap<MachineId, Micros> = machines.into_iter().filter(|m| read(&m.1)).collect();
        for (machine, confirmed) in &machines {
            let until = confirmed + self.trust.lasts;
            self.extend(*machine, LeaseBasis { source: LeaseSource::Peer, until });
        }
        let machines = machines.into_keys().collect();
        self.know_newer(NewerList { until: list_until, version, machines });
        // Somebody knows better: what only stood because nobody did falls.
        if !own_holds {
            self.end_list_by(now);
        }
    }

    /// A front that cannot reach discovery last knew a newer list, in which these machines were as this front knows them.
    pub fn record_last_known(&mut self, version: u64, machines: Vec<MachineId>) {
        // What this front was told and could not read may be newer still.
        if self.unread_at.is_some() {
            return;
        }
        self.know_newer(NewerList { until: 0, version, machines });
    }

    fn know_newer(&mut self, newer: NewerList) {
        // Danger: in an outage the newest list has no lease left, and one from before it still may.
        let is_newer = |held: &NewerList| (held.version, held.until) <= (newer.version, newer.until);
        if self.newer.as_ref().is_none_or(is_newer) {
            self.newer = Some(newer);
        }
    }

    /// No other front can reach discovery either: nobody knows of a change, and what was known last stays in use. Nothing was
    /// missed up to then at least; what changed right after that counts as told as long after it as on any other day.
    pub fn assume_outage(&mut self, now: Micros, nothing_missed_until: Micros) {
        let until = (now + OUTAGE_LASTS).min(nothing_missed_until + self.trust.lasts);
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

    /// Discovery is at work: what stood because it seemed not to be falls.
    pub fn end_outage(&mut self, now: Micros) {
        if matches!(self.list.source, LeaseSource::Outage | LeaseSource::Cache) {
            self.end_list_by(now);
        }
        self.machines.retain(|_, m| m.source != LeaseSource::Outage);
    }

    fn extend(&mut self, machine: MachineId, basis: LeaseBasis) {
        let held = self.machines.get(&machine).map_or(0, |held| self.end(*held));
        if held < self.end(basis) {
            self.machines.insert(machine, basis);
        }
    }

    /// The longest lease on this machine, if one is valid.
    pub fn lease_basis(&self, now: Micros, machine: MachineId) -> Option<LeaseBasis> {
        let single = || self.machines.get(&machine).and_then(|held| self.valid(now, *held));
        self.valid(now, self.list).or_else(single)
    }

    /// How long ago discovery confirmed a machine, if this front may vouch for it towards others: by its own confirmed list or
    /// by another front's. What it knows from an address that it has been told to leave is not passed on.
    pub fn confirmation_age(&self, now: Micros, machine: MachineId) -> Option<Micros> {
        if self.awaits_moved_discovery() {
            return None;
        }
        let list = self.is_from_discovery().then_some(self.list);
        let own = self.machines.get(&machine).filter(|m| m.source == LeaseSource::Peer).copied();
        let until = list.into_iter().chain(own).map(|b| b.until).max()?;
        self.age(now, until)
    }

    /// How long ago discovery confirmed the newest list that this front knows of and that holds, its own or another front's.
    pub fn list_age(&self, now: Micros) -> Option<Micros> {
        if self.awaits_moved_discovery() {
            return None;
        }
        let own = if self.is_from_discovery() { self.list.until } else { 0 };
        self.age(now, own.max(self.peer_confirmed_until()))
    }

    /// How long ago a lease that holds until then was confirmed. One that stands for good counts as just confirmed.
    fn age(&self, now: Micros, until: Micros) -> Option<Micros> {
        let left = until.min(now + self.trust.lasts).saturating_sub(now);
        (left > 0).then(|| self.trust.lasts - left)
    }

    /// The version of the newest list known of, this front's own, of version `own`, among them.
    pub fn newest_version(&self, own: u64) -> u64 {
        self.newer.as_ref().map_or(own, |newer| newer.version.max(own))
    }

    /// Until when the list as a whole may be used.
    pub fn list_until(&self) -> Micros {
        self.end(self.list)
    }

    /// The list as a whole stands on discovery's word.
    pub fn is_from_discovery(&self) -> bool {
        self.list.source == LeaseSource::Discovery
    }

    /// Until when the last list holds by which other fronts vouched for machines.
    pub fn peer_confirmed_until(&self) -> Micros {
        let until = self.newer.as_ref().map_or(0, |newer| newer.until);
        self.moved_bound.map_or(until, |bound| until.min(bound))
    }

    /// The best source that any valid lease has.
    pub fn source(&self, now: Micros) -> LeaseSource {
        let machines = self.machines.values().filter_map(|m| self.valid(now, *m)).map(|m| m.source).max();
        let list = self.valid(now, self.list).map(|list| list.source);
        list.max(machines).unwrap_or(LeaseSource::None)
    }

    /// Forgets machines that are not kept.
    pub fn retain(&mut self, keep: impl Fn(MachineId) -> bool) {
        self.machines.retain(|m, _| keep(*m));
    }
}
