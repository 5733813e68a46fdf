//! Membership: the list of machines that requests may be sent to, how old it may be, and how it is renewed.
//!
//! Every list has a source and a time. A list that discovery confirmed may be used for a bounded time, its lease
//! ([`lease`]). When discovery does not renew the lease, the front calls it again on a schedule that bounds the load
//! of the whole fleet on it ([`schedule`]), and queries other fronts for what they know ([`peers`]) of the
//! same discovery ([`origin`]). While no front can reach discovery, the last known list stays in use ([`outage`]). A
//! machine without a valid lease is sent nothing.
//!
//! All times are those of the host's monotonic clock; wall clocks are never compared.

pub mod lease;
pub mod message;
pub mod origin;
pub mod outage;
pub mod peers;
pub mod schedule;

use crate::interface::{Action, DiscoveryId, ListUpdate, MachineEntry, MachineId, Micros, Settings};
use lease::{LeaseBasis, LeaseSource, LeaseTerms, Leases};
use message::{fingerprint, Confirmation, Message, Standing, Subscription, MAX_CONFIRMATIONS};
use origin::DiscoveryOrigin;
use outage::Outage;
use peers::{PeerQueries, PeerReply, PeerSubscriptions};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use schedule::CallSchedule;
use std::collections::BTreeMap;

/// Separates this module's random numbers from those of routing.
const RANDOM_STREAM: u64 = 0x6d65_6d62_6572_7368;
/// Other fronts are queried if discovery has not renewed the list this long before its lease ends.
const QUERY_PEERS_AHEAD: Micros = 1_000_000;
/// Other fronts are queried again when the leases that they confirmed end within this time.
const RENEW_CONFIRMATION_AHEAD: Micros = 2_000_000;

/// Counters of what membership did since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounts {
    /// Calls to discovery.
    pub discovery_calls: u64,
    /// Calls that failed, and subscriptions that ended.
    pub discovery_failures: u64,
    /// Queries to other fronts.
    pub peer_queries: u64,
    /// Answers of fronts that could confirm machines.
    pub peer_confirmations: u64,
    /// Answers of fronts that cannot reach discovery.
    pub peer_unreachable: u64,
    /// Answers of fronts that cannot read the responses of discovery.
    pub peer_unreadable: u64,
    /// Answers of fronts that know nothing of discovery yet.
    pub peer_unknown: u64,
    /// Answers of fronts that use another discovery.
    pub peer_other_discovery: u64,
    /// Sends by the source of the machine's lease.
    pub sends: SendCounts,
}

/// Sends by the source of the machine's lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// Discovery itself.
    pub discovery: u64,
    /// A confirmation by another front.
    pub peer: u64,
    /// Reports of other fronts that none of them can reach discovery.
    pub outage: u64,
    /// The list cached before the start.
    pub cache: u64,
}

impl SendCounts {
    fn record(&mut self, source: LeaseSource) {
        match source {
            LeaseSource::Discovery => self.discovery += 1,
            LeaseSource::Peer => self.peer += 1,
            LeaseSource::Outage => self.outage += 1,
            LeaseSource::Cache => self.cache += 1,
            LeaseSource::None => {}
        }
    }
}

/// The front that last confirmed machines, for the log.
#[derive(Clone, Copy, Debug)]
struct PeerEvidence {
    front: u16,
    /// When discovery confirmed that front's list.
    confirmed_at: Micros,
}

/// The content of another front's answer.
struct PeerAnswer {
    front: u16,
    /// The version of the newest list that it knows of.
    version: u64,
    reply: PeerReply,
    subscriptions: Option<PeerSubscriptions>,
}

/// What a front knows of the age of its list, and the state of its attempts to renew it.
#[derive(Clone)]
pub struct Membership {
    leases: Leases,
    origin: DiscoveryOrigin,
    schedule: CallSchedule,
    peers: Option<PeerQueries>,
    outage: Outage,
    /// There is no other front that could keep discovery busy or have a newer list.
    is_only_front: bool,
    random: Pcg64Mcg,
    /// The version of this front's list, and the version at which each of its entries was last received: up to that
    /// version a machine may have left the list and come back.
    version: u64,
    entry_versions: BTreeMap<MachineId, u64>,
    /// The list must be requested; otherwise it is pushed to the front.
    pulls_list: bool,
    /// The lease source that was last logged.
    logged_source: LeaseSource,
    last_peer_evidence: Option<PeerEvidence>,
    /// Discovery has moved, and that is not logged yet.
    must_log_move: bool,
    counts: MembershipCounts,
}

impl Membership {
    /// Returns the membership of a front that has just started.
    pub fn new(seed: u64, settings: &Settings, now: Micros) -> Self {
        let queries_peers = settings.pulls_list && settings.allows_peer_messages && settings.fronts > 1;
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ RANDOM_STREAM);
        Self {
            leases: Leases::new(LeaseTerms::from_settings(settings)),
            origin: DiscoveryOrigin::default(),
            schedule: CallSchedule::new(settings, queries_peers, now, &mut random),
            outage: Outage::new(settings.fronts),
            is_only_front: settings.fronts <= 1,
            peers: queries_peers.then(|| PeerQueries::new(settings.front_id, settings.fronts, now)),
            version: 0,
            entry_versions: BTreeMap::new(),
            random,
            pulls_list: settings.pulls_list,
            logged_source: LeaseSource::Cache,
            last_peer_evidence: None,
            must_log_move: false,
            counts: MembershipCounts::default(),
        }
    }

    /// Returns whether a machine that is listed as ready may be sent a request now.
    pub fn may_use(&self, now: Micros, machine: MachineId) -> bool {
        self.leases.lease_basis(now, machine).is_some()
    }

    /// Returns the lease under which a request would be sent to this machine.
    pub fn lease_basis(&self, now: Micros, machine: MachineId) -> Option<LeaseBasis> {
        self.leases.lease_basis(now, machine)
    }

    /// Counts a send to this machine by the source of its lease.
    pub fn record_send(&mut self, now: Micros, machine: MachineId) {
        if let Some(basis) = self.leases.lease_basis(now, machine) {
            self.counts.sends.record(basis.source);
        }
    }

    /// Returns the counters.
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Updates leases and schedule after a list event; the caller keeps the entries themselves. A lease counts from
    /// `as_of`, the time for which the event states the list.
    pub fn on_list(
        &mut self,
        now: Micros,
        as_of: Micros,
        kind: ListUpdate,
        version: u64,
        entries: &[MachineEntry],
    ) {
        if matches!(kind, ListUpdate::Snapshot | ListUpdate::Delta | ListUpdate::Cached) {
            self.version = version;
            self.entry_versions.extend(entries.iter().map(|e| (e.machine, version)));
        }
        match kind {
            ListUpdate::Cached => self.leases.start_from_cache(now),
            ListUpdate::Snapshot | ListUpdate::Delta => {
                self.leases.confirm(as_of);
                self.leases.end_exceptions(entries.iter().map(|entry| entry.machine));
                self.schedule.on_answer(now);
                self.outage.confirm(as_of);
            }
            ListUpdate::Failed => {
                self.leases.lose_subscription(now, self.schedule.is_subscribed());
                if let Some(call_began_at) = self.schedule.call_started_at() {
                    self.outage.record_nothing_missed(call_began_at);
                }
                self.on_failure(now, false);
            }
            ListUpdate::Unreadable => {
                self.leases.on_unread_changes(now);
                self.outage.on_unreadable_answer(now);
                self.on_failure(now, true);
            }
            ListUpdate::Stalled => {
                self.leases.on_unread_changes(now);
                self.schedule.call_at(now);
            }
            ListUpdate::Restricted => {}
        }
    }

    /// Records that the next list names these machines in lines that could not be decoded. Discovery has something to tell
    /// of them that this front does not know.
    pub fn on_undecoded(&mut self, machines: &[MachineId]) {
        self.leases.except_from_list(machines);
    }

    /// Records the address of discovery.
    pub fn on_discovery(&mut self, now: Micros, discovery_id: DiscoveryId, moved: bool) {
        if !moved {
            self.origin.set_initial(discovery_id);
            return;
        }
        self.must_log_move = true;
        self.origin.move_to(now, discovery_id);
        self.leases.discovery_moved(now);
        self.schedule.discovery_moved(now, &mut self.random);
        self.outage.discovery_moved();
        if let Some(peers) = &mut self.peers {
            peers.forget_subscriptions();
        }
    }

    fn on_failure(&mut self, now: Micros, discovery_is_up: bool) {
        self.counts.discovery_failures += 1;
        self.schedule.on_failure(now, discovery_is_up, self.leases.list_until(), &mut self.random);
        if let Some(peers) = &mut self.peers {
            peers.forget_subscriptions();
        }
    }

    /// Returns whether a subscription was lost, calls have failed since, and nothing shows that discovery is up. A
    /// front that has just started, or was notified that discovery moved, does not count: to it a slow discovery
    /// looks the same as one that is down.
    fn is_unreachable(&self, now: Micros) -> bool {
        self.schedule.is_lost() && self.may_be_outage(now)
    }

    /// Returns whether nothing shows that discovery is up, and no first answer from a new address is awaited.
    fn may_be_outage(&self, now: Micros) -> bool {
        !self.leases.awaits_moved_discovery() && self.outage.is_possible(now)
    }

    /// Calls discovery and queries other fronts when it is time; the host calls this often.
    pub fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.pulls_list {
            return;
        }
        if self.schedule.start_due_call(now, &mut self.random) {
            self.counts.discovery_calls += 1;
            out.push(Action::Subscribe(true));
        }
        // With a single front, no other front's calls can keep discovery busy, so failing calls mean an outage.
        // Each call shows that only for the time at which it was made.
        if self.is_only_front && self.schedule.is_failing() && self.may_be_outage(now) {
            if let Some(nothing_missed_until) = self.outage.nothing_missed_until() {
                self.leases.assume_outage(now, nothing_missed_until);
            }
        }
        self.query_peers(now, out);
        self.log_changes(now, out);
    }

    fn query_peers(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(peers) = &mut self.peers else { return };
        let list_is_fresh =
            self.leases.list_until() > now + QUERY_PEERS_AHEAD && self.leases.is_from_discovery();
        let confirmation_is_fresh = self.leases.peer_confirmed_until() > now + RENEW_CONFIRMATION_AHEAD;
        let needs_peers = self.schedule.needs_peer_evidence() || self.schedule.is_waiting();
        if (list_is_fresh || confirmation_is_fresh) && !needs_peers {
            return;
        }
        let urgent = self.leases.source(now) <= LeaseSource::Cache || self.leases.awaits_moved_discovery();
        for (peer, nonce) in peers.next_queries(now, urgent, &mut self.random) {
            self.counts.peer_queries += 1;
            out.push(Action::SendToPeer {
                peer: Some(peer),
                bytes: Message::Query { nonce, version: self.version }.encode(),
            });
        }
    }

    /// Logs a change of the lease source, and a move of discovery.
    fn log_changes(&mut self, now: Micros, out: &mut Vec<Action>) {
        let source = self.leases.source(now);
        if std::mem::take(&mut self.must_log_move) {
            let call_in = self.schedule.next_call().map_or(0, |next| next.saturating_sub(now));
            let list_left = self.leases.list_until().saturating_sub(now);
            out.push(Action::Log(format!(
                "list: discovery moved; lease source {source:?}, list lease ends in {list_left} us, next call in {call_in} us"
            )));
        }
        if source != self.logged_source {
            let evidence = self.evidence_text(now, source);
            out.push(Action::Log(format!(
                "list: lease source changed from {:?} to {source:?}{evidence}",
                self.logged_source
            )));
            self.logged_source = source;
        }
    }

    /// Returns which front confirmed the list, or when the last failed call was made, for the log.
    fn evidence_text(&self, now: Micros, source: LeaseSource) -> String {
        let age = |at: Micros| now.saturating_sub(at);
        match (source, self.last_peer_evidence, self.outage.nothing_missed_until()) {
            (LeaseSource::Peer, Some(peer), _) => {
                format!(" (front {}, confirmed {} us ago)", peer.front, age(peer.confirmed_at))
            }
            (LeaseSource::Outage, _, Some(at)) => format!(" (last failed call {} us ago)", age(at)),
            _ => String::new(),
        }
    }

    /// Handles a message of another front. `subset_of` returns the ready machines that the front with a given number
    /// sends to; `ready_machines` are this front's own ready machines. Returns false if the message is invalid.
    pub fn on_message<'a>(
        &mut self,
        now: Micros,
        from: u32,
        bytes: &[u8],
        subset_of: impl FnOnce(u32) -> Vec<&'a MachineEntry>,
        ready_machines: impl Iterator<Item = &'a MachineEntry>,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(peers) = &mut self.peers else { return false };
        let Ok(peer) = u16::try_from(from) else { return false };
        match Message::decode(bytes) {
            Ok(Message::Query { nonce, version }) => {
                let answer = self.answer_query(now, nonce, version, subset_of(from));
                out.push(Action::SendToPeer { peer: Some(peer), bytes: answer.encode() });
                true
            }
            Ok(Message::Answer { nonce, standing, subscription, discovery_id, version, confirmations }) => {
                let Some(query_sent_at) = peers.take_query(now, peer, nonce) else { return false };
                // An answer about the old address says nothing of changes at the new one, nor of which fronts wait
                // there.
                if !self.origin.accepts(now, discovery_id) {
                    self.counts.peer_other_discovery += 1;
                    return true;
                }
                let subscriptions = peers.record_subscription(now, subscription);
                if let Some(subscriptions) = subscriptions {
                    self.schedule.shorten_wait(now, subscriptions);
                }
                let reply = PeerReply::from_answer(query_sent_at, standing, &confirmations);
                self.on_peer_answer(
                    now,
                    PeerAnswer { front: peer, version, reply, subscriptions },
                    ready_machines,
                );
                true
            }
            Err(_) => false,
        }
    }

    /// Answers a query with the machines that this front can confirm, among those that the querying front sends to.
    /// The querying front has the list of that `version`.
    fn answer_query(&self, now: Micros, nonce: u32, version: u64, machines: Vec<&MachineEntry>) -> Message {
        let (standing, subscription) = (self.standing(now), self.subscription(now));
        let is_unreachable = matches!(standing, Standing::Unreachable(_));
        let confirm = |entry: &&MachineEntry| {
            self.entry_versions.get(&entry.machine).filter(|entry_version| **entry_version <= version)?;
            let age = match is_unreachable {
                true => self.leases.lease_basis(now, entry.machine).map(|_| 0)?,
                false => self.leases.confirmation_age(now, entry.machine)?,
            };
            Some(Confirmation { fingerprint: fingerprint(entry), age })
        };
        let confirmations = machines.iter().filter_map(confirm).take(MAX_CONFIRMATIONS).collect();
        let discovery_id = self.origin.discovery_id();
        // What this front learned of a newer list from another is passed on with the version of that list; with its
        // own version, it would seem to be from its own list.
        let version = self.leases.newest_version(self.version);
        Message::Answer { nonce, standing, subscription, discovery_id, version, confirmations }
    }

    fn subscription(&self, now: Micros) -> Subscription {
        match self.schedule.recent_opening_time(now) {
            _ if !self.schedule.is_subscribed() => Subscription::Missing,
            Some(opening_time) => Subscription::OpenedRecently(opening_time),
            None => Subscription::Open,
        }
    }

    fn standing(&self, now: Micros) -> Standing {
        match self.leases.list_age(now) {
            Some(age) => Standing::Confirmed(age),
            None => self.standing_unconfirmed(now),
        }
    }

    fn standing_unconfirmed(&self, now: Micros) -> Standing {
        if let Some(unread) = self.outage.unread_since() {
            return Standing::Unreadable(now.saturating_sub(unread));
        }
        match self.outage.nothing_missed_until().filter(|_| self.is_unreachable(now)) {
            Some(until) => Standing::Unreachable(now.saturating_sub(until)),
            None => Standing::Unknown,
        }
    }

    fn on_peer_answer<'a>(
        &mut self,
        now: Micros,
        answer: PeerAnswer,
        ready_machines: impl Iterator<Item = &'a MachineEntry>,
    ) {
        let PeerAnswer { front, version, reply, subscriptions } = answer;
        match reply {
            PeerReply::Confirmed { confirmed_at, machines } => {
                self.counts.peer_confirmations += 1;
                self.outage.confirm_by_peer(confirmed_at);
                self.last_peer_evidence = Some(PeerEvidence { front, confirmed_at });
                let known = ready_machines.filter_map(|e| Some((e.machine, *machines.get(&fingerprint(e))?)));
                let known: BTreeMap<MachineId, Micros> = known.collect();
                self.schedule.on_peer_confirmation(confirmed_at, subscriptions.and_then(|s| s.call_cost));
                self.leases.confirm_by_peer(now, known, confirmed_at, version);
            }
            PeerReply::Unreachable { nothing_missed_until, last_known } => {
                self.counts.peer_unreachable += 1;
                self.outage.record_report(now, front, nothing_missed_until);
                if version > self.version {
                    let is_known = |e: &&MachineEntry| last_known.contains(&fingerprint(e));
                    self.leases.record_last_known(
                        version,
                        ready_machines.filter(is_known).map(|e| e.machine).collect(),
                    );
                }
                let agreed = self.outage.agreed_nothing_missed_until(now).filter(|_| self.may_be_outage(now));
                if let Some(nothing_missed_until) = agreed {
                    self.leases.assume_outage(now, nothing_missed_until);
                }
            }
            PeerReply::Unreadable { at } => {
                self.counts.peer_unreadable += 1;
                self.outage.on_unreadable_answer(at);
                if self.outage.unread_since().is_some() {
                    self.leases.end_outage(now);
                }
            }
            PeerReply::Unknown => self.counts.peer_unknown += 1,
        }
    }

    /// Drops machines for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(MachineId) -> bool) {
        self.leases.retain(&keep);
        self.entry_versions.retain(|machine, _| keep(*machine));
    }
}
