//! Membership: the list of machines that may be sent to, how old it may be, and how it is renewed.
//!
//! Every list has a source and a time. Discovery vouches for it for a bounded span ([`lease`]). When discovery does not
//! renew it, it is asked again on a schedule that bounds the load of the whole fleet on it ([`schedule`]), and other fronts
//! are asked what they know ([`peers`]), of the same discovery ([`origin`]). While it is out of reach of all, the list from
//! before stays in use ([`outage`]). A machine without a valid lease is sent nothing.
//!
//! Everything here is a span of the host's monotonic clock; nothing compares wall clocks.

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

/// Keeps this module's random numbers apart from those of routing.
const RANDOM_STREAM: u64 = 0x6d65_6d62_6572_7368;
/// A list that discovery has not renewed by this long before its lease ends is worth asking other fronts about.
const ASK_PEERS_AHEAD: Micros = 1_000_000;
/// Other fronts are asked again once what they vouched for ends within this span.
const RENEW_VOUCHED_AHEAD: Micros = 2_000_000;

/// What membership did since the start; it only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounts {
    /// Calls to discovery.
    pub discovery_calls: u64,
    /// Calls that failed, and subscriptions that ended.
    pub discovery_failures: u64,
    /// Questions to other fronts.
    pub peer_queries: u64,
    /// Answers of fronts that could vouch for machines.
    pub peer_confirmations: u64,
    /// Answers of fronts that cannot reach discovery.
    pub peer_unreachable: u64,
    /// Answers of fronts that cannot read what discovery says.
    pub peer_unreadable: u64,
    /// Answers of fronts that know nothing of discovery yet.
    pub peer_unknown: u64,
    /// Answers of fronts that go by another discovery.
    pub peer_other_discovery: u64,
    /// Sends by what they stood on.
    pub sends: SendCounts,
}

/// Sends by what they stood on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// Discovery's own word.
    pub discovery: u64,
    /// Another front's word.
    pub peer: u64,
    /// The word of others that none of them reaches discovery.
    pub outage: u64,
    /// The list from before the start.
    pub cache: u64,
}

impl SendCounts {
    fn note(&mut self, source: LeaseSource) {
        match source {
            LeaseSource::Discovery => self.discovery += 1,
            LeaseSource::Peer => self.peer += 1,
            LeaseSource::Outage => self.outage += 1,
            LeaseSource::Cache => self.cache += 1,
            LeaseSource::None => {}
        }
    }
}

/// The front that last vouched for machines, for the log.
#[derive(Clone, Copy, Debug)]
struct Voucher {
    front: u16,
    /// When discovery confirmed its list.
    confirmed: Micros,
}

/// What another front's answer tells.
struct Told {
    front: u16,
    /// The version of its list.
    version: u64,
    heard: PeerReply,
    crowd: Option<PeerSubscriptions>,
}

/// What a front knows of the list's age, and its efforts to renew it.
#[derive(Clone)]
pub struct Membership {
    leases: Leases,
    origin: DiscoveryOrigin,
    schedule: CallSchedule,
    peers: Option<PeerQueries>,
    outage: Outage,
    /// There is no other front, whose calls could keep discovery busy or who could know better.
    alone: bool,
    random: Pcg64Mcg,
    /// The version of the list held, and the one at which each of its lines was last told: a machine may have left and come
    /// back up to then.
    version: u64,
    told_at: BTreeMap<MachineId, u64>,
    /// The list is asked for at all; otherwise it comes unasked.
    asks: bool,
    /// The source that the log last named.
    logged: LeaseSource,
    voucher: Option<Voucher>,
    /// Discovery has moved, which the log does not say yet.
    log_move: bool,
    counts: MembershipCounts,
}

impl Membership {
    /// Membership of a front that has just started.
    pub fn new(seed: u64, settings: &Settings, now: Micros) -> Self {
        let talks = settings.pulls_list && settings.allows_peer_messages && settings.fronts > 1;
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ RANDOM_STREAM);
        Self {
            leases: Leases::new(LeaseTerms::from_settings(settings)),
            origin: DiscoveryOrigin::default(),
            schedule: CallSchedule::new(settings, talks, now, &mut random),
            outage: Outage::new(settings.fronts),
            alone: settings.fronts <= 1,
            peers: talks.then(|| PeerQueries::new(settings.front_id, settings.fronts, now)),
            version: 0,
            told_at: BTreeMap::new(),
            random,
            asks: settings.pulls_list,
            logged: LeaseSource::Cache,
            voucher: None,
            log_move: false,
            counts: MembershipCounts::default(),
        }
    }

    /// Whether a machine that is listed as ready may be sent something now.
    pub fn may_use(&self, now: Micros, machine: MachineId) -> bool {
        self.leases.lease_basis(now, machine).is_some()
    }

    /// What a send to this machine would stand on.
    pub fn lease_basis(&self, now: Micros, machine: MachineId) -> Option<LeaseBasis> {
        self.leases.lease_basis(now, machine)
    }

    /// Counts a send to this machine by what it stands on.
    pub fn record_send(&mut self, now: Micros, machine: MachineId) {
        if let Some(basis) = self.leases.lease_basis(now, machine) {
            self.counts.sends.note(basis.source);
        }
    }

    /// What was done so far.
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Takes note of a list event; the lines themselves are the caller's.
    pub fn on_list(&mut self, now: Micros, kind: ListUpdate, version: u64, entries: &[MachineEntry]) {
        if matches!(kind, ListUpdate::Snapshot | ListUpdate::Delta | ListUpdate::Cached) {
            self.version = version;
            self.told_at.extend(entries.iter().map(|e| (e.machine, version)));
        }
        match kind {
            ListUpdate::Cached => self.leases.start_from_cache(now),
            ListUpdate::Snapshot | ListUpdate::Delta => {
                self.leases.confirm(now);
                self.schedule.on_answer(now);
                self.outage.confirm(now);
            }
            ListUpdate::Failed => {
                self.leases.lose_subscription(now, self.schedule.is_subscribed());
                if let Some(called) = self.schedule.call_started_at() {
                    self.outage.record_nothing_missed(called);
                }
                self.on_failure(now, false);
            }
            ListUpdate::Unreadable => {
                self.leases.miss_changes(now);
                self.outage.answered_unreadably(now);
                self.on_failure(now, true);
            }
            ListUpdate::Stalled => {
                self.leases.miss_changes(now);
                self.schedule.call_at(now);
            }
            ListUpdate::Restricted => {}
        }
    }

    /// Takes note of where discovery is.
    pub fn on_discovery(&mut self, now: Micros, source: DiscoveryId, moved: bool) {
        if !moved {
            self.origin.set_initial(source);
            return;
        }
        self.log_move = true;
        self.origin.move_to(now, source);
        self.leases.discovery_moved(now);
        self.schedule.discovery_moved(now, &mut self.random);
        self.outage.discovery_moved();
        if let Some(peers) = &mut self.peers {
            peers.forget_subscriptions();
        }
    }

    fn on_failure(&mut self, now: Micros, at_work: bool) {
        self.counts.discovery_failures += 1;
        self.schedule.on_failure(now, at_work, &mut self.random);
        if let Some(peers) = &mut self.peers {
            peers.forget_subscriptions();
        }
    }

    /// Discovery went away, calls fail, and nothing tells that it is at work. Danger: to a front that has just started, or that
    /// was told that discovery moved, one that is slow looks the same as one that is down.
    fn is_cut_off(&self, now: Micros) -> bool {
        self.schedule.is_lost() && self.may_be_outage(now)
    }

    /// Nothing tells that discovery is at work, nor is it awaited at a new address.
    fn may_be_outage(&self, now: Micros) -> bool {
        !self.leases.awaits_moved_discovery() && self.outage.is_possible(now)
    }

    /// Calls discovery and other fronts where it is time; meant to be called often.
    pub fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.asks {
            return;
        }
        if self.schedule.start_due_call(now, &mut self.random) {
            self.counts.discovery_calls += 1;
            out.push(Action::Subscribe(true));
        }
        // A front alone has nobody whose calls could keep discovery busy.
        if self.alone && self.schedule.is_failing() && self.may_be_outage(now) {
            self.leases.assume_outage(now, now);
        }
        self.ask_peers(now, out);
        self.log_source(now, out);
    }

    fn ask_peers(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(peers) = &mut self.peers else { return };
        let list_holds = self.leases.list_until() > now + ASK_PEERS_AHEAD && self.leases.is_from_discovery();
        let vouched_holds = self.leases.peer_confirmed_until() > now + RENEW_VOUCHED_AHEAD;
        let asks = self.schedule.needs_peer_evidence() || self.schedule.is_waiting();
        if (list_holds || vouched_holds) && !asks {
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

    /// Writes down when what the front stands on changes, and when discovery moves.
    fn log_source(&mut self, now: Micros, out: &mut Vec<Action>) {
        let source = self.leases.source(now);
        if std::mem::take(&mut self.log_move) {
            let call_in = self.schedule.next_call().map_or(0, |next| next.saturating_sub(now));
            let list_left = self.leases.list_until().saturating_sub(now);
            out.push(Action::Log(format!(
                "list: discovery moved; stands on {source:?}, list ends in {list_left} us, next call in {call_in} us"
            )));
        }
        if source != self.logged {
            let evidence = self.evidence_text(now, source);
            out.push(Action::Log(format!(
                "list: stood on {:?}, stands on {source:?}{evidence}",
                self.logged
            )));
            self.logged = source;
        }
    }

    /// Whose word a source is and how old, for the log.
    fn evidence_text(&self, now: Micros, source: LeaseSource) -> String {
        let age = |at: Micros| now.saturating_sub(at);
        match (source, self.voucher, self.outage.nothing_missed_until()) {
            (LeaseSource::Peer, Some(voucher), _) => {
                format!(" (front {}, confirmed {} us ago)", voucher.front, age(voucher.confirmed))
            }
            (LeaseSource::Outage, _, Some(at)) => format!(" (last called in vain {} us ago)", age(at)),
            _ => String::new(),
        }
    }

    /// Takes a message of another front. `stretch` gives the ready machines that a front of some number sends to; `listed`
    /// are this front's own ready machines. False if the message makes no sense.
    pub fn on_message<'a>(
        &mut self,
        now: Micros,
        from: u32,
        bytes: &[u8],
        stretch: impl FnOnce(u32) -> Vec<&'a MachineEntry>,
        listed: impl Iterator<Item = &'a MachineEntry>,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(peers) = &mut self.peers else { return false };
        let Ok(peer) = u16::try_from(from) else { return false };
        match Message::decode(bytes) {
            Ok(Message::Query { nonce, version }) => {
                let answer = self.answer(now, nonce, version, stretch(from));
                out.push(Action::SendToPeer { peer: Some(peer), bytes: answer.encode() });
                true
            }
            Ok(Message::Answer {
                nonce,
                standing,
                subscription,
                discovery_id: source,
                version,
                confirmations: vouched,
            }) => {
                let Some(asked) = peers.take_query(now, peer, nonce) else { return false };
                // Danger: of the old address, a word tells nothing of what changed at the new one, nor of who waits there.
                if !self.origin.accepts(now, source) {
                    self.counts.peer_other_discovery += 1;
                    return true;
                }
                let crowd = peers.record_subscription(now, subscription);
                if let Some(crowd) = crowd {
                    self.schedule.shorten_wait(now, crowd);
                }
                let heard = PeerReply::of(asked, standing, &vouched);
                self.take_answer(now, Told { front: peer, version, heard, crowd }, listed);
                true
            }
            Err(_) => false,
        }
    }

    /// What this front can vouch for among the machines that the asker sends to, by a list of that version.
    fn answer(&self, now: Micros, nonce: u32, version: u64, machines: Vec<&MachineEntry>) -> Message {
        let (standing, subscription) = (self.standing(now), self.subscription(now));
        let cut_off = matches!(standing, Standing::Unreachable(_));
        let vouched = |entry: &&MachineEntry| {
            self.told_at.get(&entry.machine).filter(|told_at| **told_at <= version)?;
            let age = match cut_off {
                true => self.leases.lease_basis(now, entry.machine).map(|_| 0)?,
                false => self.leases.confirmation_age(now, entry.machine)?,
            };
            Some(Confirmation { fingerprint: fingerprint(entry), age })
        };
        let vouched = machines.iter().filter_map(vouched).take(MAX_CONFIRMATIONS).collect();
        let source = self.origin.discovery_id();
        // Danger: what another told this front of a newer list is passed on with that list's version, or it would seem to be
        // of this front's own.
        let version = self.leases.newest_version(self.version);
        Message::Answer {
            nonce,
            standing,
            subscription,
            discovery_id: source,
            version,
            confirmations: vouched,
        }
    }

    fn subscription(&self, now: Micros) -> Subscription {
        match self.schedule.recent_opening_time(now) {
            _ if !self.schedule.is_subscribed() => Subscription::Missing,
            Some(took) => Subscription::OpenedRecently(took),
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
        match self.outage.nothing_missed_until().filter(|_| self.is_cut_off(now)) {
            Some(until) => Standing::Unreachable(now.saturating_sub(until)),
            None => Standing::Unknown,
        }
    }

    fn take_answer<'a>(&mut self, now: Micros, told: Told, listed: impl Iterator<Item = &'a MachineEntry>) {
        let Told { front, version, heard, crowd } = told;
        match heard {
            PeerReply::Confirmed { confirmed, machines } => {
                self.counts.peer_confirmations += 1;
                self.outage.confirm_by_peer(confirmed);
                self.voucher = Some(Voucher { front, confirmed });
                let known = listed.filter_map(|e| Some((e.machine, *machines.get(&fingerprint(e))?)));
                let known: BTreeMap<MachineId, Micros> = known.collect();
                self.schedule.on_peer_confirmation(confirmed, crowd.and_then(|crowd| crowd.call_cost));
                self.leases.confirm_by_peer(now, known, confirmed, version);
            }
            PeerReply::Unreachable { nothing_missed_until, last_known } => {
                self.counts.peer_unreachable += 1;
                self.outage.record_report(now, front, nothing_missed_until);
                if version > self.version {
                    let is_known = |e: &&MachineEntry| last_known.contains(&fingerprint(e));
                    self.leases
                        .record_last_known(version, listed.filter(is_known).map(|e| e.machine).collect());
                }
                let agreed = self.outage.agreed_nothing_missed_until(now).filter(|_| self.may_be_outage(now));
                if let Some(nothing_missed_until) = agreed {
                    self.leases.assume_outage(now, nothing_missed_until);
                }
            }
            PeerReply::Unreadable { at } => {
                self.counts.peer_unreadable += 1;
                self.outage.answered_unreadably(at);
                if self.outage.unread_since().is_some() {
                    self.leases.end_outage(now);
                }
            }
            PeerReply::Unknown => self.counts.peer_unknown += 1,
        }
    }

    /// Forgets machines that are not kept.
    pub fn retain(&mut self, keep: impl Fn(MachineId) -> bool) {
        self.leases.retain(&keep);
        self.told_at.retain(|machine, _| keep(*machine));
    }
}
