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
pub enum Source {
    /// Nobody.
    Nobody,
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
pub struct Basis {
    /// Who vouches for the machine.
    pub source: Source,
    /// Until when.
    pub until: Micros,
}

/// How far a list is trusted in this deployment.
#[derive(Clone, Copy, Debug)]
pub struct ListTrust {
    /// How long a confirmed list stands.
    lasts: Micros,
    /// How long one of unknown age stands after a start.
    cached: Micros,
    /// The host confirms a standing subscription again and again; otherwise it stands until it is said to have ended.
    heartbeats: bool,
    /// The list comes unasked, and its source never falls silent.
    unasked: bool,
}

impl ListTrust {
    /// As the settings have it.
    pub fn of(settings: &Settings) -> Self {
        let lasts = match settings.ask_within {
            0 => TOLD_WITHIN,
            within => within.min(TOLD_WITHIN),
        };
        Self {
            lasts,
            cached: settings.drain_grace.saturating_sub(GRACE_MARGIN),
            heartbeats: settings.list_heartbeats,
            unasked: !settings.ask_list,
        }
    }
}

/// Leases on the list as a whole and on single machines.
#[derive(Clone)]
pub struct Leases {
    trust: ListTrust,
    list: Basis,
    machines: BTreeMap<MachineId, Basis>,
    /// Other fronts have vouched for these machines, by a list that is newer than this front's own: until when that list
    /// holds. While nobody can reach discovery these alone stay in use.
    newer: Option<(Micros, Vec<MachineId>)>,
}

impl Leases {
    /// No lease on anything; a list that comes unasked needs none.
    pub fn new(trust: ListTrust) -> Self {
        let list = match trust.unasked {
            true => Basis { source: Source::Discovery, until: Micros::MAX },
            false => Basis { source: Source::Nobody, until: 0 },
        };
        Self { trust, list, machines: BTreeMap::new(), newer: None }
    }

    /// The list from before the start is taken on.
    pub fn start(&mut self, now: Micros) {
        if !self.trust.unasked {
            self.list = Basis { source: Source::Cache, until: now + self.trust.cached };
        }
    }

    /// Discovery has confirmed the list, or told all that changed.
    pub fn confirm(&mut self, now: Micros) {
        let for_good = self.trust.unasked || !self.trust.heartbeats;
        let until = if for_good { Micros::MAX } else { now + self.trust.lasts };
        self.list = Basis { source: Source::Discovery, until };
        self.newer = None;
    }

    /// A call failed, or the subscription ended if one `stood`.
    pub fn lose_subscription(&mut self, now: Micros, stood: bool) {
        if stood && !self.trust.unasked && !self.trust.heartbeats {
            self.list.until = now + self.trust.lasts;
        }
    }

    /// Discovery told something that could not be read, and it counts as told.
    pub fn miss_changes(&mut self, now: Micros) {
        self.end_list_by(now);
    }

    /// Discovery is elsewhere from now on: what it has counts as told sooner than after a mere silence.
    pub fn discovery_moved(&mut self, now: Micros) {
        self.end_list_by(now + MOVED_TOLD_WITHIN);
    }

    /// The list as a whole holds until `at` at the latest; one that comes unasked needs no lease and keeps standing.
    fn end_list_by(&mut self, at: Micros) {
        if !self.trust.unasked {
            self.list.until = self.list.until.min(at);
        }
    }

    /// Another front vouches for machines by a list that holds until `list_until`.
    pub fn vouch(&mut self, now: Micros, machines: BTreeMap<MachineId, Micros>, list_until: Micros) {
        let own_holds = self.list.source == Source::Discovery && now < self.list.until;
        if own_holds && self.list.until >= list_until {
            return;
        }
        for (machine, until) in &machines {
            self.extend(*machine, Basis { source: Source::Peer, until: *until });
        }
        if self.newer.as_ref().is_none_or(|n| n.0 <= list_until) {
            self.newer = Some((list_until, machines.into_keys().collect()));
        }
        // Somebody knows better: what only stood because nobody did falls.
        if !own_holds {
            self.end_list_by(now);
        }
    }

    /// No other front can reach discovery either: nobody knows of a change, and what was known last stays in use.
    pub fn assume_outage(&mut self, now: Micros) {
        let until = now + OUTAGE_LASTS;
        match &self.newer {
            Some((_, machines)) => {
                for machine in machines.clone() {
                    self.extend(machine, Basis { source: Source::Outage, until });
                }
            }
            None if self.list.until < until => self.list = Basis { source: Source::Outage, until },
            None => {}
        }
    }

    /// Discovery is at work: what stood because it seemed not to be falls.
    pub fn end_outage(&mut self, now: Micros) {
        if matches!(self.list.source, Source::Outage | Source::Cache) {
            self.end_list_by(now);
        }
        self.machines.retain(|_, m| m.source != Source::Outage);
    }

    fn extend(&mut self, machine: MachineId, basis: Basis) {
        let held = self.machines.entry(machine).or_insert(basis);
        if held.until < basis.until {
            *held = basis;
        }
    }

    /// The longest lease on this machine, if one is valid.
    pub fn basis(&self, now: Micros, machine: MachineId) -> Option<Basis> {
        if now < self.list.until {
            return Some(self.list);
        }
        self.machines.get(&machine).copied().filter(|m| now < m.until)
    }

    /// How long this front may vouch for a machine towards others: by its own confirmed list or by another front's.
    pub fn left_to_vouch(&self, now: Micros, machine: MachineId) -> Option<Micros> {
        let list = (self.list.source == Source::Discovery).then_some(self.list);
        let own = self.machines.get(&machine).filter(|m| m.source == Source::Peer).copied();
        let until = list.into_iter().chain(own).map(|b| b.until).max()?;
        // A list that stands for good is vouched for as long as one just confirmed.
        Some(until.min(now + self.trust.lasts).saturating_sub(now)).filter(|left| *left > 0)
    }

    /// How long the newest confirmed list that this front knows of holds, its own or another front's.
    pub fn list_left(&self, now: Micros) -> Micros {
        let own = if self.is_discoverys() { self.list.until } else { 0 };
        own.max(self.vouched_until()).min(now + self.trust.lasts).saturating_sub(now)
    }

    /// Until when the list as a whole may be used.
    pub fn list_until(&self) -> Micros {
        self.list.until
    }

    /// The list as a whole stands on discovery's word.
    pub fn is_discoverys(&self) -> bool {
        self.list.source == Source::Discovery
    }

    /// Until when the last list holds by which other fronts vouched for machines.
    pub fn vouched_until(&self) -> Micros {
        self.newer.as_ref().map_or(0, |n| n.0)
    }

    /// When discovery confirmed a list that holds until then.
    pub fn confirmed_at(&self, list_until: Micros) -> Micros {
        list_until.saturating_sub(self.trust.lasts)
    }

    /// The best source that any valid lease has.
    pub fn source(&self, now: Micros) -> Source {
        let machines = self.machines.values().filter(|m| now < m.until).map(|m| m.source).max();
        let list = (now < self.list.until).then_some(self.list.source);
        list.max(machines).unwrap_or(Source::Nobody)
    }

    /// Forgets machines that are not kept.
    pub fn forget(&mut self, keep: impl Fn(MachineId) -> bool) {
        self.machines.retain(|m, _| keep(*m));
    }
}
