//! The planner's side of the fleet protocol: which fronts are live, which are behind, which get a lease and which
//! must go out of service.

use crate::delta::{Delta, MachineList};
use crate::mutant;
use crate::permits::{Permit, PermitMessage};
use crate::report_log::{Contradiction, ReportLog};
use crate::settings::{Fleet, Role};
use crate::span::Stance;
use crate::version::{ListSource, RolloutStatus, Version, VersionOrder};
use crate::wire::{
    FrontSighting, Heartbeat, HeartbeatResponse, ListState, MessageError, Pull, PullResponse, ReadyMachines,
    Slot, REPORTS_PER_HEARTBEAT,
};
use crate::Micros;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Fresh heartbeats in a row after which another incarnation of a front counts as the running one.
const RUNNING_HEARTBEATS: u32 = 3;
/// Changes of incarnation within twice the duration of a lease that show two processes under one name.
const DUPLICATE_NAME_CHANGES: u32 = 4;
/// Most bytes of reports in one response to another planner.
const PULL_RESPONSE_BYTES: u64 = 128 * 1024;
/// Renewals to wait for one front's whole list before another front is asked.
const WHOLE_LIST_RENEWALS: Micros = 2;
/// Escalation steps retained for each front.
const STEP_HISTORY_LEN: usize = 256;

/// A step of the escalation of a front that falls behind, as one planner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Nothing is known of the front: it never sent a heartbeat, or none for as long as a lease lasts, or this
    /// planner has just started.
    Unknown,
    /// The front acts on the newest version that any live front acts on.
    Current,
    /// The front is behind the others, for no longer than the bound.
    Lagging,
    /// The front is behind the others for longer than the bound, and not yet reconciled.
    Noted,
    /// The front is behind by its own sources, but the restrictions that planners relayed cover everything that it
    /// must not do.
    Reconciled,
    /// The front reports that it holds no lease.
    Narrowed,
    /// The front must go out of service; this is neither acknowledged, nor has its lease surely lapsed.
    OrderedOut,
    /// The front is out of service, as it reports itself or because no lease can be left.
    Out,
    /// The front is current again, but not yet for long enough to return to service.
    Returning,
}

#[derive(Clone, Debug)]
struct FrontRecord {
    incarnation: u64,
    number: u64,
    /// The front was surely alive after this time, at which this planner sent the answer that the newest heartbeat
    /// echoes.
    alive_at: Option<Micros>,
    /// When the newest heartbeat arrived.
    received_at: Micros,
    heartbeat: Heartbeat,
    behind_since: Option<Micros>,
    current_since: Option<Micros>,
    lease_granted_at: Option<Micros>,
    fresh_heartbeats: u32,
    incarnation_changes: Vec<Micros>,
    /// The highest heartbeat number of each earlier incarnation.
    past_numbers: BTreeMap<u64, u64>,
    step_history: Vec<(Micros, Step)>,
}

/// A slot that this planner has voted a front into.
#[derive(Clone, Copy, Debug)]
struct Vote {
    slot: Slot,
    incarnation: u64,
    since: Micros,
    /// Number of the heartbeat in whose answer the vote was withdrawn. The slot is free once a later heartbeat shows
    /// that the front has received the withdrawal.
    withdrawn_in: Option<u64>,
}

/// The planner's side of the fleet protocol.
#[derive(Debug)]
pub struct Planner {
    fleet: Fleet,
    name: String,
    incarnation: u64,
    started_at: Micros,
    /// The merged record of all fronts.
    pub report_log: ReportLog,
    fronts: BTreeMap<String, FrontRecord>,
    votes: BTreeMap<String, Vote>,
    vote_backoff: BTreeMap<String, Micros>,
    newest_list: Option<ReadyMachines>,
    /// The same list with its latest changes, from which deltas are computed.
    list: MachineList,
    /// Which front was asked for its whole list, and when; one at a time, as all have the same list.
    whole_list_query: Option<(String, Micros)>,
    /// What the other planners last reported of each front, and when that report arrived.
    peer_sightings: BTreeMap<String, BTreeMap<String, (Micros, FrontSighting)>>,
    rejections: BTreeMap<String, u64>,
    permits: BTreeMap<String, Permit>,
    highest_permit: u64,
    /// When each permit was first known here, by number.
    permits_since: BTreeMap<u64, Micros>,
}

/// One front in a planner's status.
#[derive(Clone, Debug, Serialize)]
pub struct FrontStatus {
    /// Name of the front.
    pub name: String,
    /// Zone of the front.
    pub zone: String,
    /// Escalation step of the front.
    pub step: Step,
    /// Incarnation of the front.
    pub incarnation: u64,
    /// Milliseconds since the front was surely alive, by what it echoed; `None` if that was never known.
    pub heard_ms_ago: Option<u64>,
    /// Milliseconds since its newest heartbeat arrived, which may have been in flight for long.
    pub came_ms_ago: Option<u64>,
    /// The version that it acted on in its newest heartbeat.
    pub version: Option<Version>,
    /// Age of its list in milliseconds at that time: how long before it discovery had last confirmed the list.
    pub list_age_ms: u64,
    /// Milliseconds for which it has been behind the others.
    pub behind_ms: Option<u64>,
    /// Index of the list that planners reconciled it to; 0 = none.
    pub reconciled_index: u64,
    /// The service state that it reported.
    pub stance: Option<Stance>,
    /// If it must be out: whether that is acknowledged, lapsed, or ordered and not confirmed.
    pub out: Option<&'static str>,
    /// Two processes use its name.
    #[serde(rename = "twin")]
    pub duplicate_name: bool,
    /// Spans that it has closed and that this planner does not have.
    pub missing: u64,
    /// Recent escalation steps: milliseconds ago, and which.
    #[serde(rename = "marks")]
    pub step_history: Vec<(u64, Step)>,
}

/// What a planner knows, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the planner.
    pub planner: String,
    /// Incarnation of the planner.
    pub incarnation: u64,
    /// Most fronts that may be out at once.
    pub most_out: usize,
    /// Milliseconds since each other planner last answered.
    pub planners_ms_ago: BTreeMap<String, u64>,
    /// The fronts.
    pub fronts: Vec<FrontStatus>,
    /// Contradictions in the record.
    pub contradictions: Vec<Contradiction>,
    /// Counts of rejected messages, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Approximate bytes of the reports held.
    pub bytes: u64,
}

impl Planner {
    /// Creates a planner that starts now with the reports that it had stored.
    pub fn new(fleet: Fleet, name: &str, incarnation: u64, now: Micros, report_log: ReportLog) -> Self {
        Self {
            fleet,
            name: name.to_owned(),
            incarnation,
            started_at: now,
            report_log,
            fronts: BTreeMap::new(),
            votes: BTreeMap::new(),
            vote_backoff: BTreeMap::new(),
            newest_list: None,
            list: MachineList::default(),
            whole_list_query: None,
            peer_sightings: BTreeMap::new(),
            rejections: BTreeMap::new(),
            permits: BTreeMap::new(),
            highest_permit: 0,
            permits_since: BTreeMap::new(),
        }
    }

    fn own_index(&self) -> usize {
        self.fleet.planners().position(|p| p.name == self.name).unwrap_or(0)
    }

    /// Sets the agreed permits, to be sent to their holders, and the highest number granted.
    pub fn set_permits(&mut self, now: Micros, permits: &BTreeMap<String, Permit>, highest_permit: u64) {
        self.highest_permit = highest_permit;
        self.permits_since.retain(|n, _| permits.values().any(|p| p.number == *n));
        for permit in permits.values() {
            self.permits_since.entry(permit.number).or_insert(now);
        }
        if self.permits != *permits {
            self.permits = permits.clone();
        }
    }

    /// Returns the settings.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the fronts that are out of service without a permit: unreachable, or quarantined for being behind.
    pub fn lost_fronts(&self, now: Micros) -> BTreeSet<String> {
        let is_lost = |name: &str| match self.fronts.get(name) {
            Some(record) if self.is_live(record, now) => {
                record.heartbeat.stance == Stance::Out && !self.permits.contains_key(name)
            }
            _ => true,
        };
        self.fleet.fronts().map(|m| m.name.clone()).filter(|n| is_lost(n)).collect()
    }

    /// Returns whether this planner has run for long enough to know which fronts are unreachable.
    pub fn is_warmed_up(&self, now: Micros) -> bool {
        now.saturating_sub(self.started_at) > self.fleet.lease_upper_bound()
    }

    /// Returns the incarnation of a live front, and whether that incarnation is in service and current.
    pub fn live_incarnation(&self, front: &str, now: Micros) -> Option<(u64, bool)> {
        let record = self.fronts.get(front).filter(|record| self.is_live(record, now))?;
        let is_sound = record.fresh_heartbeats >= RUNNING_HEARTBEATS
            && record.behind_since.is_none()
            && matches!(record.heartbeat.stance, Stance::Open)
            && !self.has_duplicate_name(record, now);
        Some((record.incarnation, is_sound))
    }

    /// Returns whether the holder of a permit was seen in service in another incarnation than the one that holds it.
    ///
    /// This planner may not have heard of the holding incarnation yet, and would then take the one before it, which
    /// is dead by now, for a later one. So the front must have been alive after the permit was first known here.
    pub fn has_returned(&self, front: &str, permit: &Permit, now: Micros) -> bool {
        let since = self.permits_since.get(&permit.number).copied();
        let heard = self.fronts.get(front).and_then(|record| record.alive_at);
        let after = since.zip(heard).is_some_and(|(since, heard)| heard > since);
        after && self.live_incarnation(front, now).is_some_and(|l| l.0 != permit.incarnation && l.1)
    }

    /// Returns what live fronts report of their permits: front, incarnation, number, message.
    pub fn permit_messages(&self, now: Micros) -> Vec<(String, u64, u64, PermitMessage)> {
        let live = self.fronts.iter().filter(|(_, record)| self.is_live(record, now));
        live.filter_map(|(f, record)| {
            record.heartbeat.permit.map(|(n, w)| (f.clone(), record.incarnation, n, w))
        })
        .collect()
    }

    /// Counts a rejected message by its reason.
    pub fn count_rejected(&mut self, why: &MessageError) {
        *self.rejections.entry(why.to_string()).or_default() += 1;
    }

    fn is_live(&self, record: &FrontRecord, now: Micros) -> bool {
        record.alive_at.is_some_and(|at| now.saturating_sub(at) <= self.fleet.lease_upper_bound())
    }

    /// Returns whether another front acts on something newer. Only live fronts count, so that fronts that are all
    /// behind together are not behind each other.
    fn is_behind(&self, front: &str, version: &Version, now: Micros) -> bool {
        let others = self.fronts.iter().filter(|(name, record)| *name != front && self.is_live(record, now));
        others
            .into_iter()
            .any(|(_, record)| version.compare(&record.heartbeat.version).contains(&VersionOrder::Older))
    }

    /// Handles a front's heartbeat and returns the answer.
    pub fn handle_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: Heartbeat,
    ) -> Result<HeartbeatResponse, MessageError> {
        let result = self.handle_valid_heartbeat(now, heartbeat);
        if let Err(why) = &result {
            self.count_rejected(why);
        }
        result
    }

    fn handle_valid_heartbeat(
        &mut self,
        now: Micros,
        mut heartbeat: Heartbeat,
    ) -> Result<HeartbeatResponse, MessageError> {
        if self.fleet.member(&heartbeat.front).is_none_or(|m| m.role != Role::Front) {
            return Err(MessageError::UnknownSender(heartbeat.front));
        }
        if heartbeat.reports.len() > REPORTS_PER_HEARTBEAT {
            return Err(MessageError::TooManyReports(heartbeat.reports.len()));
        }
        // All or nothing: if one report of a heartbeat is invalid, nothing of the heartbeat is used.
        heartbeat.reports.iter().try_for_each(ReportLog::check)?;
        let oldest = heartbeat.reports.iter().map(|r| r.first).min();
        for report in std::mem::take(&mut heartbeat.reports) {
            self.report_log.insert(&heartbeat.front, heartbeat.incarnation, report)?;
        }
        // Spans that a majority acknowledged and then lost before they were on disk exist nowhere. If this planner
        // waited for them, the front would send the same oldest reports for ever, and nothing newer. A front retains
        // its newest reports without a gap, and sends the oldest of those that follow what this planner acknowledged
        // last, so it retains nothing between the two.
        // This holds only if the heartbeat refers to an acknowledgement by this incarnation, which its echo shows,
        // since the front takes both from one answer: what an earlier incarnation acknowledged may be lost here and
        // still be retained by the front. A late or repeated heartbeat does no harm: acknowledgements of one
        // incarnation only rise, and what a front has discarded stays discarded. So no front discards a span because
        // of this that a majority does not have: it no longer has any of those that are skipped.
        if let Some(oldest) = oldest.filter(|_| heartbeat.echo.0 == self.incarnation) {
            self.report_log.set_oldest_retained(&heartbeat.front, heartbeat.incarnation, oldest);
        }
        self.report_log.record_head(&heartbeat.front, heartbeat.incarnation, heartbeat.head);
        self.learn_list(heartbeat.ready.take());
        let mut front_list = heartbeat.list.take();
        if let Some(delta) = front_list.as_mut().and_then(|l| l.delta.take()) {
            self.learn_delta(&delta);
        }
        let (front, number) = (heartbeat.front.clone(), heartbeat.number);
        let acked = self.report_log.acknowledged_through(&front, heartbeat.incarnation);
        let mut answer = HeartbeatResponse {
            planner: self.name.clone(),
            incarnation: self.incarnation,
            number,
            now,
            acked,
            lease: 0,
            vote: None,
            refetch: false,
            ready: None,
            rollout: None,
            known_list: self.newest_list.as_ref().map_or((0, 0), |r| (r.index, r.digest)),
            duplicate_name: false,
            permit: self.permits.get(&front).cloned(),
            granted: self.highest_permit,
            list: None,
        };
        answer.list = front_list.as_ref().map(|front_list| self.list_state(now, &front, front_list));
        if !self.record_heartbeat(now, heartbeat) {
            return Ok(answer);
        }
        self.update_behind_since(now, &front);
        let Some(record) = self.fronts.get(&front) else { return Ok(answer) };
        let version = record.heartbeat.version;
        answer.duplicate_name = self.has_duplicate_name(record, now);
        answer.refetch = record.behind_since.is_some();
        answer.rollout = self.newest_rollout(&front, &version, now);
        let list = version.list;
        let is_newer = |r: &&ReadyMachines| {
            r.epoch == list.epoch && r.index > list.index && r.index > record.heartbeat.reconciled.0
        };
        let newer_list = self.newest_list.as_ref().filter(is_newer);
        match (newer_list, &front_list, &mut answer.list) {
            (Some(ready), Some(front_list), Some(state)) => {
                let confirmations = self.confirmations(ready);
                state.delta = self.list.delta_since(&front_list.against, confirmations);
                if front_list.wants_whole {
                    answer.ready = Some(ReadyMachines { confirmations, ..ready.clone() });
                }
            }
            (Some(ready), ..) => {
                answer.ready =
                    Some(ReadyMachines { confirmations: self.confirmations(ready), ..ready.clone() })
            }
            (None, ..) => {}
        }
        answer.vote = self.vote(now, &front);
        let is_voted_out = self.votes.contains_key(&front);
        if !is_voted_out {
            answer.lease = self.fleet.lease;
            if let Some(record) = self.fronts.get_mut(&front) {
                record.lease_granted_at = Some(now);
            }
        }
        self.record_step(now, &front);
        Ok(answer)
    }

    /// Records a heartbeat; returns false if it is an old one that arrived late and says nothing of the present.
    fn record_heartbeat(&mut self, now: Micros, heartbeat: Heartbeat) -> bool {
        let window = 2 * self.fleet.lease_upper_bound();
        let echoed = (heartbeat.echo.0 == self.incarnation).then_some(heartbeat.echo.1.min(now));
        let Some(record) = self.fronts.get_mut(&heartbeat.front) else {
            let (incarnation, number, front) =
                (heartbeat.incarnation, heartbeat.number, heartbeat.front.clone());
            let record = FrontRecord {
                incarnation,
                number,
                alive_at: echoed,
                received_at: now,
                heartbeat,
                behind_since: None,
                current_since: None,
                lease_granted_at: None,
                fresh_heartbeats: 1,
                incarnation_changes: vec![],
                past_numbers: BTreeMap::new(),
                step_history: vec![],
            };
            self.fronts.insert(front, record);
            return true;
        };
        if heartbeat.incarnation == record.incarnation {
            if heartbeat.number <= record.number {
                return false;
            }
            record.fresh_heartbeats += 1;
        } else {
            if record.past_numbers.get(&heartbeat.incarnation).is_some_and(|n| heartbeat.number <= *n) {
                return false;
            }
            record.past_numbers.insert(record.incarnation, record.number);
            record.incarnation_changes.retain(|at| now.saturating_sub(*at) <= window);
            record.incarnation_changes.push(now);
            (record.incarnation, record.fresh_heartbeats) = (heartbeat.incarnation, 1);
            (record.behind_since, record.current_since) = (None, None);
            record.alive_at = None;
        }
        record.alive_at = record.alive_at.max(echoed);
        (record.number, record.received_at, record.heartbeat) = (heartbeat.number, now, heartbeat);
        true
    }

    fn has_duplicate_name(&self, record: &FrontRecord, now: Micros) -> bool {
        let window = 2 * self.fleet.lease_upper_bound();
        record.incarnation_changes.iter().filter(|at| now.saturating_sub(**at) <= window).count()
            >= DUPLICATE_NAME_CHANGES as usize
    }

    fn update_behind_since(&mut self, now: Micros, front: &str) {
        let Some(version) = self.fronts.get(front).map(|record| record.heartbeat.version) else { return };
        let behind = self.is_behind(front, &version, now);
        if let Some(record) = self.fronts.get_mut(front) {
            if behind {
                record.behind_since.get_or_insert(now);
                record.current_since = None;
            } else {
                record.current_since.get_or_insert(now);
                record.behind_since = None;
            }
        }
    }

    /// Takes over a list that came from a front or a planner if it is newer than the one held.
    fn learn_list(&mut self, list: Option<ReadyMachines>) {
        let Some(list) = list else { return };
        match &mut self.newest_list {
            Some(held) if (held.epoch, held.index) >= (list.epoch, list.index) => {}
            held => {
                let machines = list.machines.iter().copied().collect();
                self.list.replace((list.epoch, list.index, list.digest), machines);
                *held = Some(list);
                self.whole_list_query = None;
            }
        }
    }

    /// Applies a front's delta to the list held here. If the delta does not fit, nothing changes and the whole list
    /// is requested.
    fn learn_delta(&mut self, delta: &Delta) {
        if !delta.to.is_newer(&self.list.base()) || self.list.apply(delta).is_err() {
            return;
        }
        let (to, machines) = (delta.to, self.list.machines().iter().map(|(m, b)| (*m, *b)).collect());
        let (index, epoch, digest) = (to.index, to.epoch, to.digest);
        self.newest_list = Some(ReadyMachines { index, epoch, digest, confirmations: 1, machines });
        self.whole_list_query = None;
    }

    /// Returns the list held here, and whether this front's whole list is wanted.
    fn list_state(&mut self, now: Micros, front: &str, front_list: &ListState) -> ListState {
        let holds = self.list.base();
        let newer = front_list.holds.is_newer(&holds);
        // Another front is asked after a while: a front whose heartbeats arrive but which gets no answers would
        // otherwise be the only one ever asked.
        let is_expired = |(who, at): &(String, Micros)| {
            who != front && now.saturating_sub(*at) > WHOLE_LIST_RENEWALS * self.fleet.renew
        };
        if newer && self.whole_list_query.as_ref().is_none_or(is_expired) {
            self.whole_list_query = Some((front.to_owned(), now));
        }
        let wants_whole = newer && self.whole_list_query.as_ref().is_some_and(|(who, _)| who == front);
        ListState { holds, against: holds, wants_whole, delta: None }
    }

    /// Returns how many fronts, as seen here or by another planner, have this list from their own source.
    fn confirmations(&self, list: &ReadyMachines) -> u32 {
        let holds = |v: &Version| {
            let held = v.list;
            held.source == ListSource::Discovery
                && (held.epoch, held.index, held.digest) == (list.epoch, list.index, list.digest)
        };
        let here =
            self.fronts.iter().filter(|(_, record)| holds(&record.heartbeat.version)).map(|(name, _)| name);
        let elsewhere = self
            .peer_sightings
            .values()
            .flatten()
            .filter(|(_, (_, h))| holds(&h.version))
            .map(|(name, _)| name);
        here.chain(elsewhere).collect::<BTreeSet<_>>().len() as u32
    }

    /// Returns the rollout status of a live front that is narrower than what this front acts on.
    fn newest_rollout(&self, front: &str, version: &Version, now: Micros) -> Option<RolloutStatus> {
        let own = version.rollout?;
        let live = self.fronts.iter().filter(|(n, record)| *n != front && self.is_live(record, now));
        let sightings = self.peer_sightings.values().flat_map(|m| m.values());
        let recent_sightings =
            sightings.filter(|(at, h)| now.saturating_sub(*at) + h.age <= self.fleet.lease_upper_bound());
        let all = live.filter_map(|(_, record)| record.heartbeat.version.rollout);
        let all = all.chain(recent_sightings.filter_map(|(_, h)| h.version.rollout));
        let narrower = all.filter(|n| n.is_narrower_than(&own) && n.compare(&own) != VersionOrder::Older);
        narrower.reduce(|a, b| if b.is_narrower_than(&a) { b } else { a })
    }

    /// Returns the slot that a front is voted into, after processing what its last heartbeat says of earlier votes.
    fn vote(&mut self, now: Micros, front: &str) -> Option<Slot> {
        let own_index = self.own_index();
        let record = self.fronts.get(front)?.clone();
        let reported_slot = record.heartbeat.votes.get(own_index).copied().flatten();
        match self.votes.get(front).copied() {
            // A vote of this planner's earlier incarnation that the front knows of is still binding.
            None => {
                if let Some(slot) = reported_slot {
                    let vote = Vote { slot, incarnation: record.incarnation, since: now, withdrawn_in: None };
                    self.votes.insert(front.to_owned(), vote);
                }
            }
            Some(vote) if vote.incarnation != record.incarnation => {
                // The incarnation that was voted out has ended only once another one has sent heartbeats for a while.
                if record.fresh_heartbeats >= RUNNING_HEARTBEATS && !self.has_duplicate_name(&record, now) {
                    self.votes.remove(front);
                }
            }
            Some(Vote { withdrawn_in: Some(number), .. })
                if record.number > number && reported_slot.is_none() =>
            {
                self.votes.remove(front);
            }
            Some(vote) if vote.withdrawn_in.is_none() => {
                let has_recovered =
                    record.current_since.is_some_and(|at| now.saturating_sub(at) >= self.fleet.back_after);
                let votes_for =
                    |p: &Slot| record.heartbeat.votes.iter().flatten().filter(|v| *v == p).count();
                let has_waited = now.saturating_sub(vote.since) > self.fleet.lease_upper_bound();
                let lacks_majority = has_waited
                    && record.heartbeat.stance != Stance::Out
                    && votes_for(&vote.slot) < self.fleet.majority();
                if has_recovered || lacks_majority {
                    let withdrawn_in = Some(record.number);
                    self.votes.insert(front.to_owned(), Vote { withdrawn_in, ..vote });
                    // Planners that chose different slots try again after different backoffs.
                    let backoff = self.fleet.lease * (1 + own_index as u64);
                    self.vote_backoff.insert(front.to_owned(), now + backoff);
                }
            }
            Some(_) => {}
        }
        let held = self.votes.get(front).copied();
        if let Some(vote) = held {
            return vote.withdrawn_in.is_none().then_some(vote.slot);
        }
        let due = record.behind_since.is_some_and(|at| now.saturating_sub(at) > self.fleet.shut_after);
        // A planner that has just started may have voted before. The fronts that it voted for report that in their
        // heartbeats.
        let warmed_up = self.is_warmed_up(now);
        let backs_off = self.vote_backoff.get(front).is_some_and(|until| now < *until);
        if !due || !warmed_up || backs_off {
            return None;
        }
        let slot = self.slot_for(now, front, &record)?;
        let vote = Vote { slot, incarnation: record.incarnation, since: now, withdrawn_in: None };
        self.votes.insert(front.to_owned(), vote);
        Some(slot)
    }

    /// Returns a free slot for a front within the limits. Each front that is unreachable without a vote occupies one.
    fn slot_for(&self, now: Micros, front: &str, record: &FrontRecord) -> Option<Slot> {
        let zone_of = |name: &str| self.fleet.member(name).map_or("", |m| m.zone.as_str());
        let zone = zone_of(front);
        // Fronts out by a permit and fronts that are lost both count.
        let is_unreachable = |name: &str| {
            let in_service =
                |record: &FrontRecord| self.is_live(record, now) && record.heartbeat.stance != Stance::Out;
            !self.votes.contains_key(name)
                && (self.permits.contains_key(name) || !self.fronts.get(name).is_some_and(in_service))
        };
        let slots = |whole_fleet: bool| -> Option<Vec<u16>> {
            let group: Vec<&str> = self
                .fleet
                .fronts()
                .map(|m| m.name.as_str())
                .filter(|n| whole_fleet || zone_of(n) == zone)
                .collect();
            let limit =
                if whole_fleet { self.fleet.most_out } else { self.fleet.most_out_zone }.resolve(group.len());
            let ignores_limit =
                mutant::active(if whole_fleet { "limit-forgotten" } else { "zone-limit-forgotten" });
            let limit = if ignores_limit { group.len() } else { limit };
            let lost = if ignores_limit {
                0
            } else {
                group.iter().filter(|n| **n != front && is_unreachable(n)).count()
            };
            let votes = group.iter().filter_map(|n| self.votes.get(*n));
            let used: Vec<u16> = votes.map(|v| if whole_fleet { v.slot.all } else { v.slot.zone }).collect();
            if used.len() + lost >= limit {
                return None;
            }
            Some((0..limit as u16).filter(|n| !used.contains(n)).collect())
        };
        let (all, in_zone) = (slots(true)?, slots(false)?);
        let is_free = |p: &Slot| all.contains(&p.all) && in_zone.contains(&p.zone);
        // A slot that other planners chose is preferred, so that a majority is reached.
        let preferred = record.heartbeat.votes.iter().flatten().copied().filter(is_free).min();
        preferred.or_else(|| Some(Slot { all: *all.first()?, zone: *in_zone.first()? }))
    }

    fn is_lapsed_here(&self, front: &str, now: Micros) -> bool {
        let Some(record) = self.fronts.get(front) else { return false };
        let is_over =
            record.lease_granted_at.is_none_or(|at| now.saturating_sub(at) > self.fleet.lease_upper_bound());
        is_over && (self.votes.contains_key(front) || !self.is_live(record, now))
    }

    /// Returns whether no majority of leases can be left to a front, since enough planners know that theirs has
    /// lapsed.
    fn is_surely_lapsed(&self, front: &str, now: Micros) -> bool {
        let planners = self.fleet.planners().count();
        let needed = planners - self.fleet.majority() + 1;
        let others = self.peer_sightings.values().filter_map(|m| m.get(front));
        let lapsed_elsewhere = others
            .filter(|(at, h)| h.lease_lapsed && now.saturating_sub(*at) <= self.fleet.lease_upper_bound());
        usize::from(self.is_lapsed_here(front, now)) + lapsed_elsewhere.count() >= needed
    }

    /// Returns the escalation step of a front.
    pub fn step(&self, front: &str, now: Micros) -> Step {
        let Some(record) = self.fronts.get(front) else { return Step::Unknown };
        let is_live = self.is_live(record, now) || mutant::active("silence-called-current");
        let out = record.heartbeat.stance == Stance::Out;
        if let Some(vote) = self.votes.get(front) {
            let confirmed = is_live && out || self.is_surely_lapsed(front, now);
            return match (vote.withdrawn_in, confirmed) {
                (Some(_), _) => Step::Returning,
                (None, true) => Step::Out,
                (None, false) => Step::OrderedOut,
            };
        }
        if !is_live {
            return Step::Unknown;
        }
        match (record.heartbeat.stance, record.behind_since) {
            (Stance::Out, _) => Step::Out,
            (Stance::Narrowed, _) => Step::Narrowed,
            // A planner that has just started has not heard the other fronts, to which this one is compared.
            _ if now.saturating_sub(self.started_at) <= self.fleet.lease_upper_bound() => Step::Unknown,
            (_, Some(at)) if now.saturating_sub(at) > self.fleet.behind => {
                let newest = self.newest_list.as_ref().map_or(0, |r| r.index);
                let list_applied =
                    record.heartbeat.version.list.index.max(record.heartbeat.reconciled.0) >= newest;
                let rollout = self.newest_rollout(front, &record.heartbeat.version, now);
                let rollout_applied = rollout
                    .is_none_or(|n| record.heartbeat.reconciled.1.is_some_and(|b| !n.is_narrower_than(&b)));
                if list_applied && rollout_applied {
                    Step::Reconciled
                } else {
                    Step::Noted
                }
            }
            (_, Some(_)) => Step::Lagging,
            // Other fronts may have become live again since this one's last heartbeat.
            (_, None) if self.is_behind(front, &record.heartbeat.version, now) => Step::Lagging,
            (_, None) => Step::Current,
        }
    }

    fn record_step(&mut self, now: Micros, front: &str) {
        let step = self.step(front, now);
        if let Some(record) = self.fronts.get_mut(front) {
            if record.step_history.last().is_none_or(|m| m.1 != step) {
                record.step_history.push((now, step));
                if record.step_history.len() > STEP_HISTORY_LEN {
                    record.step_history.remove(0);
                }
            }
        }
    }

    /// Records the steps that have changed since they were last recorded, and returns each front with its step now,
    /// so that each change is logged once.
    pub fn changed_steps(&mut self, now: Micros) -> Vec<(String, Step)> {
        let names: Vec<String> = self.fronts.keys().cloned().collect();
        let mut out = Vec::new();
        for name in names {
            let before = self.fronts[&name].step_history.last().map(|m| m.1);
            self.record_step(now, &name);
            let after = self.fronts[&name].step_history.last().map(|m| m.1);
            out.extend(after.filter(|_| before != after).map(|step| (name, step)));
        }
        out
    }

    /// Returns the anti-entropy request for another planner.
    pub fn pull_request(&self) -> Pull {
        let known_list = self.newest_list.as_ref().map_or((0, 0), |r| (r.index, r.digest));
        Pull { planner: self.name.clone(), held: self.report_log.held_ranges(), known_list }
    }

    /// Answers another planner's anti-entropy request.
    pub fn answer_pull(&self, now: Micros, pull: &Pull) -> Result<PullResponse, MessageError> {
        if self.fleet.member(&pull.planner).is_none_or(|m| m.role != Role::Planner) {
            return Err(MessageError::UnknownSender(pull.planner.clone()));
        }
        let sighting = |(name, record): (&String, &FrontRecord)| FrontSighting {
            front: name.clone(),
            incarnation: record.incarnation,
            age: now.saturating_sub(record.alive_at.unwrap_or(0)),
            version: record.heartbeat.version,
            stance: record.heartbeat.stance,
            lease_lapsed: self.is_lapsed_here(name, now),
        };
        Ok(PullResponse {
            planner: self.name.clone(),
            reports: self.report_log.missing_from(&pull.held, PULL_RESPONSE_BYTES),
            heard: self.fronts.iter().map(sighting).collect(),
            ready: self
                .newest_list
                .clone()
                .filter(|r| (r.index, r.digest) != pull.known_list && r.index >= pull.known_list.0),
        })
    }

    /// Applies another planner's response; returns the reports that were new here.
    pub fn apply_pull_response(
        &mut self,
        now: Micros,
        response: PullResponse,
    ) -> Vec<(String, u64, crate::span::Report)> {
        let mut fresh = Vec::new();
        for (front, incarnation, report) in response.reports {
            match self.report_log.insert(&front, incarnation, report.clone()) {
                Ok(true) => fresh.push((front, incarnation, report)),
                Ok(false) => {}
                Err(why) => self.count_rejected(&why),
            }
        }
        self.learn_list(response.ready);
        let sightings = self.peer_sightings.entry(response.planner).or_default();
        for sighting in response.heard {
            sightings.insert(sighting.front.clone(), (now, sighting));
        }
        fresh
    }

    /// Returns what this planner knows now.
    pub fn status(&self, now: Micros) -> Status {
        let front = |member: &crate::settings::Member| {
            let record = self.fronts.get(&member.name);
            let ago = |at: Micros| now.saturating_sub(at) / 1_000;
            let out = self.votes.get(&member.name).map(|_| match record {
                Some(record) if record.heartbeat.stance == Stance::Out && self.is_live(record, now) => {
                    "acknowledged"
                }
                _ if self.is_surely_lapsed(&member.name, now) => "lapsed: narrowed at the most",
                _ => "ordered, not confirmed",
            });
            let gaps = record
                .map(|record| self.report_log.gaps(&member.name, record.incarnation))
                .unwrap_or_default();
            FrontStatus {
                name: member.name.clone(),
                zone: member.zone.clone(),
                step: self.step(&member.name, now),
                incarnation: record.map_or(0, |record| record.incarnation),
                heard_ms_ago: record.and_then(|record| record.alive_at).map(ago),
                came_ms_ago: record.map(|record| ago(record.received_at)),
                version: record.map(|record| record.heartbeat.version),
                list_age_ms: record.map_or(0, |record| record.heartbeat.ages.list / 1_000),
                behind_ms: record.and_then(|record| record.behind_since).map(ago),
                reconciled_index: record.map_or(0, |record| record.heartbeat.reconciled.0),
                stance: record.map(|record| record.heartbeat.stance),
                out,
                duplicate_name: record.is_some_and(|record| self.has_duplicate_name(record, now)),
                missing: gaps.iter().map(|g| g.1 - g.0 + 1).sum(),
                step_history: record
                    .map(|record| record.step_history.iter().map(|m| (ago(m.0), m.1)).collect())
                    .unwrap_or_default(),
            }
        };
        let last = |m: &BTreeMap<String, (Micros, FrontSighting)>| m.values().map(|h| h.0).max().unwrap_or(0);
        Status {
            planner: self.name.clone(),
            incarnation: self.incarnation,
            most_out: self.fleet.most_out.resolve(self.fleet.fronts().count()),
            planners_ms_ago: self
                .peer_sightings
                .iter()
                .map(|(name, m)| (name.clone(), now.saturating_sub(last(m)) / 1_000))
                .collect(),
            fronts: self.fleet.fronts().map(front).collect(),
            contradictions: self.report_log.contradictions(),
            refused: self.rejections.clone(),
            bytes: self.report_log.bytes(),
        }
    }
}
