//! A planner's side: who is there, who is behind, who gets a lease and who is to be out.

use crate::delta::{Delta, MachineList};
use crate::mutant;
use crate::permits::{Permit, PermitMessage};
use crate::report_log::{Contradiction, ReportLog};
use crate::settings::{Fleet, Role};
use crate::span::Stance;
use crate::version::{ListSource, RolloutStatus, Version, VersionOrder};
use crate::wire::{
    FrontSighting, Heartbeat, HeartbeatResponse, ListState, MessageError, Pull, PullResponse, ReadyMachines,
    Slot, REPORTS_AT_ONCE,
};
use crate::Micros;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Fresh heartbeats in a row after which another incarnation of a front counts as the one that runs.
const FRESH: u32 = 3;
/// Changes of incarnation within the span of a lease, twice over, that show two processes under one name.
const FLIPS: u32 = 4;
/// Most bytes of reports in one answer to another planner.
const PUSH_LIMIT: u64 = 128 * 1024;
/// Renewals for which one front is asked for its whole list before another is.
const ASK_FOR: Micros = 2;
/// Steps of the ladder kept for each front.
const MARKS: usize = 256;

/// A step of the ladder, as one planner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Never heard, or not for as long as a lease lasts, or this planner has just started: nothing is known of it.
    Unknown,
    /// Acts on what the newest of the others act on.
    Current,
    /// Behind the others, and not yet for longer than the bound.
    Lagging,
    /// Behind the others for longer than the bound, and not yet reconciled.
    Noted,
    /// Behind by its own sources; what planners relayed takes away all that it must not do.
    Reconciled,
    /// Says that it holds no lease.
    Narrowed,
    /// To be out; neither acknowledged nor surely lapsed.
    OrderedOut,
    /// Out, by its own word or because no lease can be left.
    Out,
    /// Current again, and not yet for long enough to come back in.
    Returning,
}

#[derive(Clone, Debug)]
struct Known {
    incarnation: u64,
    number: u64,
    /// It was surely alive after this: when the answer was given that its newest heartbeat echoes.
    heard: Option<Micros>,
    /// When its newest heartbeat came.
    came: Micros,
    heartbeat: Heartbeat,
    behind_since: Option<Micros>,
    current_since: Option<Micros>,
    granted: Option<Micros>,
    fresh: u32,
    flips: Vec<Micros>,
    /// The highest heartbeat number of each earlier incarnation.
    past: BTreeMap<u64, u64>,
    step_history: Vec<(Micros, Step)>,
}

/// A slot given away by this planner.
#[derive(Clone, Copy, Debug)]
struct Vote {
    slot: Slot,
    incarnation: u64,
    since: Micros,
    /// Taken back in the answer to this heartbeat; free once a later one shows that the front knows.
    lifted: Option<u64>,
}

/// The planner's side.
#[derive(Debug)]
pub struct Planner {
    fleet: Fleet,
    name: String,
    incarnation: u64,
    begun: Micros,
    /// The merged record.
    pub report_log: ReportLog,
    fronts: BTreeMap<String, Known>,
    votes: BTreeMap<String, Vote>,
    cool: BTreeMap<String, Micros>,
    ready: Option<ReadyMachines>,
    /// The same with the steps by which it came about, so that a delta can be told.
    listed: MachineList,
    /// Whose whole list was asked for, and when: one front's at a time, as all have the same.
    asked: Option<(String, Micros)>,
    /// What other planners last said of each front, and when that came.
    elsewhere: BTreeMap<String, BTreeMap<String, (Micros, FrontSighting)>>,
    refused: BTreeMap<String, u64>,
    permits: BTreeMap<String, Permit>,
    granted: u64,
    /// When a permit was first known here, by number.
    permits_since: BTreeMap<u64, Micros>,
}

/// One front in a planner's status.
#[derive(Clone, Debug, Serialize)]
pub struct FrontStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its step.
    pub step: Step,
    /// Its incarnation.
    pub incarnation: u64,
    /// Milliseconds since it was surely alive, by what it echoed; `None` if that was never known.
    pub heard_ms_ago: Option<u64>,
    /// Milliseconds since its newest heartbeat came, which may have been on its way for long.
    pub came_ms_ago: Option<u64>,
    /// What it acted on when last heard.
    pub version: Option<Version>,
    /// Milliseconds before that at which discovery had last confirmed its list.
    pub list_age_ms: u64,
    /// Milliseconds for which it has been behind the others.
    pub behind_ms: Option<u64>,
    /// Index of the list that planners reconciled it to; 0 = none.
    pub reconciled_index: u64,
    /// How it said it stands.
    pub stance: Option<Stance>,
    /// Where it is to be out: acknowledged, lapsed, or ordered and not confirmed.
    pub out: Option<&'static str>,
    /// Two processes under its name.
    #[serde(rename = "twin")]
    pub duplicate_name: bool,
    /// Spans closed by it that are not here.
    pub missing: u64,
    /// Steps of the ladder lately: milliseconds ago, and which.
    #[serde(rename = "marks")]
    pub step_history: Vec<(u64, Step)>,
}

/// What a planner knows, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The planner.
    pub planner: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Most fronts that may be out at once.
    pub most_out: usize,
    /// Milliseconds since each other planner was heard.
    pub planners_ms_ago: BTreeMap<String, u64>,
    /// Fronts.
    pub fronts: Vec<FrontStatus>,
    /// What can't both be.
    pub contradictions: Vec<Contradiction>,
    /// What was refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Bytes of reports kept, about.
    pub bytes: u64,
}

impl Planner {
    /// A planner that starts now; `book` is what it kept.
    pub fn new(fleet: Fleet, name: &str, incarnation: u64, now: Micros, report_log: ReportLog) -> Self {
        Self {
            fleet,
            name: name.to_owned(),
            incarnation,
            begun: now,
            report_log,
            fronts: BTreeMap::new(),
            votes: BTreeMap::new(),
            cool: BTreeMap::new(),
            ready: None,
            listed: MachineList::default(),
            asked: None,
            elsewhere: BTreeMap::new(),
            refused: BTreeMap::new(),
            permits: BTreeMap::new(),
            granted: 0,
            permits_since: BTreeMap::new(),
        }
    }

    fn me(&self) -> usize {
        self.fleet.planners().position(|p| p.name == self.name).unwrap_or(0)
    }

    /// The permits agreed on, to be shown to their holders, and the highest number given.
    pub fn set_permits(&mut self, now: Micros, permits: &BTreeMap<String, Permit>, granted: u64) {
        self.granted = granted;
        self.permits_since.retain(|n, _| permits.values().any(|p| p.number == *n));
        for permit in permits.values() {
            self.permits_since.entry(permit.number).or_insert(now);
        }
        if self.permits != *permits {
            self.permits = permits.clone();
        }
    }

    /// The settings.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Fronts out of service without a permit: not heard, or quarantined for being behind.
    pub fn lost_fronts(&self, now: Micros) -> BTreeSet<String> {
        let by_itself = |name: &str| match self.fronts.get(name) {
            Some(k) if self.is_live(k, now) => {
                k.heartbeat.stance == Stance::Out && !self.permits.contains_key(name)
            }
            _ => true,
        };
        self.fleet.fronts().map(|m| m.name.clone()).filter(|n| by_itself(n)).collect()
    }

    /// Whether this planner has run for long enough to know whom it does not hear.
    pub fn is_warmed_up(&self, now: Micros) -> bool {
        now.saturating_sub(self.begun) > self.fleet.lease_upper_bound()
    }

    /// The incarnation of a front that is heard, and whether that incarnation is in service and current.
    pub fn live_incarnation(&self, front: &str, now: Micros) -> Option<(u64, bool)> {
        let known = self.fronts.get(front).filter(|k| self.is_live(k, now))?;
        let sound = known.fresh >= FRESH
            && known.behind_since.is_none()
            && matches!(known.heartbeat.stance, Stance::Open)
            && !self.has_duplicate_name(known, now);
        Some((known.incarnation, sound))
    }

    /// Whether a holder was seen in service in another incarnation than the one that holds this permit. Danger: this
    /// planner may not have heard yet of the incarnation that holds it, and take the one before it, dead by now, for the
    /// one that came after; so it has to have been alive since the permit was known here.
    pub fn has_returned(&self, front: &str, permit: &Permit, now: Micros) -> bool {
        let since = self.permits_since.get(&permit.number).copied();
        let heard = self.fronts.get(front).and_then(|k| k.heard);
        let after = since.zip(heard).is_some_and(|(since, heard)| heard > since);
        after && self.live_incarnation(front, now).is_some_and(|l| l.0 != permit.incarnation && l.1)
    }

    /// What fronts heard lately say of their permits: front, incarnation, number, word.
    pub fn permit_messages(&self, now: Micros) -> Vec<(String, u64, u64, PermitMessage)> {
        let live = self.fronts.iter().filter(|(_, k)| self.is_live(k, now));
        live.filter_map(|(f, k)| k.heartbeat.permit.map(|(n, w)| (f.clone(), k.incarnation, n, w))).collect()
    }

    /// Counts a refusal by its reason.
    pub fn count_rejected(&mut self, why: &MessageError) {
        *self.refused.entry(why.to_string()).or_default() += 1;
    }

    fn is_live(&self, known: &Known, now: Micros) -> bool {
        known.heard.is_some_and(|at| now.saturating_sub(at) <= self.fleet.lease_upper_bound())
    }

    /// Fronts, this one aside, that act on something newer; only those heard lately, so that all behind together are not
    /// behind each other.
    fn is_behind(&self, front: &str, version: &Version, now: Micros) -> bool {
        let others = self.fronts.iter().filter(|(name, k)| *name != front && self.is_live(k, now));
        others.into_iter().any(|(_, k)| version.compare(&k.heartbeat.version).contains(&VersionOrder::Older))
    }

    /// Takes a front's heartbeat, and answers it.
    pub fn handle_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: Heartbeat,
    ) -> Result<HeartbeatResponse, MessageError> {
        let done = self.handle_valid_heartbeat(now, heartbeat);
        if let Err(why) = &done {
            self.count_rejected(why);
        }
        done
    }

    fn handle_valid_heartbeat(
        &mut self,
        now: Micros,
        mut heartbeat: Heartbeat,
    ) -> Result<HeartbeatResponse, MessageError> {
        if self.fleet.member(&heartbeat.front).is_none_or(|m| m.role != Role::Front) {
            return Err(MessageError::UnknownSender(heartbeat.front));
        }
        if heartbeat.reports.len() > REPORTS_AT_ONCE {
            return Err(MessageError::TooManyReports(heartbeat.reports.len()));
        }
        // All or nothing: of a heartbeat with a report that can't be, nothing is believed.
        heartbeat.reports.iter().try_for_each(ReportLog::check)?;
        let oldest = heartbeat.reports.iter().map(|r| r.first).min();
        for report in std::mem::take(&mut heartbeat.reports) {
            self.report_log.insert(&heartbeat.front, heartbeat.incarnation, report)?;
        }
        // What a majority acknowledged and lost before it was on disk is nowhere: waiting for it would have the front send the
        // same oldest reports for ever, and nothing newer. A front keeps the newest without a hole and sends the oldest of
        // them behind what this planner acknowledged last, so that between the two it keeps nothing.
        // Danger: only if it speaks of an acknowledgement by this incarnation, which its echo shows: it takes both from one
        // answer. What an earlier incarnation acknowledged may be lost here and still be kept there. A late or repeated
        // heartbeat does no harm: acknowledgements of one incarnation only rise, and what a front has dropped stays dropped.
        // So no front forgets a span for this that a majority has not: it has none left of those that are passed over.
        if let Some(oldest) = oldest.filter(|_| heartbeat.echo.0 == self.incarnation) {
            self.report_log.set_oldest_retained(&heartbeat.front, heartbeat.incarnation, oldest);
        }
        self.report_log.record_head(&heartbeat.front, heartbeat.incarnation, heartbeat.head);
        self.learn_list(heartbeat.ready.take());
        let mut told = heartbeat.list.take();
        if let Some(delta) = told.as_mut().and_then(|l| l.delta.take()) {
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
            known_list: self.ready.as_ref().map_or((0, 0), |r| (r.index, r.digest)),
            duplicate_name: false,
            permit: self.permits.get(&front).cloned(),
            granted: self.granted,
            list: None,
        };
        answer.list = told.as_ref().map(|told| self.list_state(now, &front, told));
        if !self.hear(now, heartbeat) {
            return Ok(answer);
        }
        self.judge(now, &front);
        let Some(known) = self.fronts.get(&front) else { return Ok(answer) };
        let version = known.heartbeat.version;
        answer.duplicate_name = self.has_duplicate_name(known, now);
        answer.refetch = known.behind_since.is_some();
        answer.rollout = self.newest_rollout(&front, &version, now);
        let list = version.list;
        let lacks = |r: &&ReadyMachines| {
            r.epoch == list.epoch && r.index > list.index && r.index > known.heartbeat.reconciled.0
        };
        let newer = self.ready.as_ref().filter(lacks);
        match (newer, &told, &mut answer.list) {
            (Some(ready), Some(told), Some(state)) => {
                let confirmations = self.confirmations(ready);
                state.delta = self.listed.delta_since(&told.against, confirmations);
                if told.wants_whole {
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
        let fenced = self.votes.contains_key(&front);
        if !fenced {
            answer.lease = self.fleet.lease;
            if let Some(known) = self.fronts.get_mut(&front) {
                known.granted = Some(now);
            }
        }
        self.mark(now, &front);
        Ok(answer)
    }

    /// Notes a heartbeat; false if it is an old one come late, which tells nothing of now.
    fn hear(&mut self, now: Micros, heartbeat: Heartbeat) -> bool {
        let span = 2 * self.fleet.lease_upper_bound();
        let echoed = (heartbeat.echo.0 == self.incarnation).then_some(heartbeat.echo.1.min(now));
        let Some(known) = self.fronts.get_mut(&heartbeat.front) else {
            let (incarnation, number, front) =
                (heartbeat.incarnation, heartbeat.number, heartbeat.front.clone());
            let known = Known {
                incarnation,
                number,
                heard: echoed,
                came: now,
                heartbeat,
                behind_since: None,
                current_since: None,
                granted: None,
                fresh: 1,
                flips: vec![],
                past: BTreeMap::new(),
                step_history: vec![],
            };
            self.fronts.insert(front, known);
            return true;
        };
        if heartbeat.incarnation == known.incarnation {
            if heartbeat.number <= known.number {
                return false;
            }
            known.fresh += 1;
        } else {
            if known.past.get(&heartbeat.incarnation).is_some_and(|n| heartbeat.number <= *n) {
                return false;
            }
            known.past.insert(known.incarnation, known.number);
            known.flips.retain(|at| now.saturating_sub(*at) <= span);
            known.flips.push(now);
            (known.incarnation, known.fresh) = (heartbeat.incarnation, 1);
            (known.behind_since, known.current_since) = (None, None);
            known.heard = None;
        }
        known.heard = known.heard.max(echoed);
        (known.number, known.came, known.heartbeat) = (heartbeat.number, now, heartbeat);
        true
    }

    fn has_duplicate_name(&self, known: &Known, now: Micros) -> bool {
        let span = 2 * self.fleet.lease_upper_bound();
        known.flips.iter().filter(|at| now.saturating_sub(**at) <= span).count() >= FLIPS as usize
    }

    fn judge(&mut self, now: Micros, front: &str) {
        let Some(version) = self.fronts.get(front).map(|k| k.heartbeat.version) else { return };
        let behind = self.is_behind(front, &version, now);
        if let Some(known) = self.fronts.get_mut(front) {
            if behind {
                known.behind_since.get_or_insert(now);
                known.current_since = None;
            } else {
                known.current_since.get_or_insert(now);
                known.behind_since = None;
            }
        }
    }

    /// A front's own list: the newest is kept.
    fn learn_list(&mut self, told: Option<ReadyMachines>) {
        let Some(told) = told else { return };
        match &mut self.ready {
            Some(held) if (held.epoch, held.index) >= (told.epoch, told.index) => {}
            held => {
                let machines = told.machines.iter().copied().collect();
                self.listed.replace((told.epoch, told.index, told.digest), machines);
                *held = Some(told);
                self.asked = None;
            }
        }
    }

    /// A front's own list against the one held here. What does not fit changes nothing: the whole is asked for.
    fn learn_delta(&mut self, delta: &Delta) {
        if !delta.to.is_newer(&self.listed.base()) || self.listed.apply(delta).is_err() {
            return;
        }
        let (to, machines) = (delta.to, self.listed.machines().iter().map(|(m, b)| (*m, *b)).collect());
        let (index, epoch, digest) = (to.index, to.epoch, to.digest);
        self.ready = Some(ReadyMachines { index, epoch, digest, confirmations: 1, machines });
        self.asked = None;
    }

    /// What is held here, and whether this front's whole list is wanted.
    fn list_state(&mut self, now: Micros, front: &str, told: &ListState) -> ListState {
        let holds = self.listed.base();
        let newer = told.holds.is_newer(&holds);
        // Danger: one that is heard and hears nothing would be asked for ever, and nobody else.
        let over = |(who, at): &(String, Micros)| {
            who != front && now.saturating_sub(*at) > ASK_FOR * self.fleet.renew
        };
        if newer && self.asked.as_ref().is_none_or(over) {
            self.asked = Some((front.to_owned(), now));
        }
        let wants_whole = newer && self.asked.as_ref().is_some_and(|(who, _)| who == front);
        ListState { holds, against: holds, wants_whole, delta: None }
    }

    /// How many fronts were heard, here or at another planner, to hold this list from their own source.
    fn confirmations(&self, list: &ReadyMachines) -> u32 {
        let holds = |v: &Version| {
            let l = v.list;
            l.source == ListSource::Discovery
                && (l.epoch, l.index, l.digest) == (list.epoch, list.index, list.digest)
        };
        let here = self.fronts.iter().filter(|(_, k)| holds(&k.heartbeat.version)).map(|(name, _)| name);
        let there =
            self.elsewhere.values().flatten().filter(|(_, (_, h))| holds(&h.version)).map(|(name, _)| name);
        here.chain(there).collect::<BTreeSet<_>>().len() as u32
    }

    /// News of a live front that takes away from what this one acts on.
    fn newest_rollout(&self, front: &str, version: &Version, now: Micros) -> Option<RolloutStatus> {
        let told = version.rollout?;
        let live = self.fronts.iter().filter(|(n, k)| *n != front && self.is_live(k, now));
        let by_hearsay = self.elsewhere.values().flat_map(|m| m.values());
        let hearsay =
            by_hearsay.filter(|(at, h)| now.saturating_sub(*at) + h.age <= self.fleet.lease_upper_bound());
        let all = live.filter_map(|(_, k)| k.heartbeat.version.rollout);
        let all = all.chain(hearsay.filter_map(|(_, h)| h.version.rollout));
        let narrower = all.filter(|n| n.is_narrower_than(&told) && n.compare(&told) != VersionOrder::Older);
        narrower.reduce(|a, b| if b.is_narrower_than(&a) { b } else { a })
    }

    /// The slot that a front is voted into, after what its last heartbeat says of earlier ones.
    fn vote(&mut self, now: Micros, front: &str) -> Option<Slot> {
        let me = self.me();
        let known = self.fronts.get(front)?.clone();
        let told = known.heartbeat.votes.get(me).copied().flatten();
        match self.votes.get(front).copied() {
            // What the front knows from this planner's earlier incarnation still binds.
            None => {
                if let Some(slot) = told {
                    let vote = Vote { slot, incarnation: known.incarnation, since: now, lifted: None };
                    self.votes.insert(front.to_owned(), vote);
                }
            }
            Some(vote) if vote.incarnation != known.incarnation => {
                // The incarnation that was voted out is over only once another has spoken for a while.
                if known.fresh >= FRESH && !self.has_duplicate_name(&known, now) {
                    self.votes.remove(front);
                }
            }
            Some(Vote { lifted: Some(at), .. }) if known.number > at && told.is_none() => {
                self.votes.remove(front);
            }
            Some(vote) if vote.lifted.is_none() => {
                let back =
                    known.current_since.is_some_and(|at| now.saturating_sub(at) >= self.fleet.back_after);
                let counted = |p: &Slot| known.heartbeat.votes.iter().flatten().filter(|v| *v == p).count();
                let waited = now.saturating_sub(vote.since) > self.fleet.lease_upper_bound();
                let unmet = waited
                    && known.heartbeat.stance != Stance::Out
                    && counted(&vote.slot) < self.fleet.majority();
                if back || unmet {
                    let lifted = Some(known.number);
                    self.votes.insert(front.to_owned(), Vote { lifted, ..vote });
                    // Planners that chose differently try again at different times.
                    let pause = self.fleet.lease * (1 + me as u64);
                    self.cool.insert(front.to_owned(), now + pause);
                }
            }
            Some(_) => {}
        }
        let held = self.votes.get(front).copied();
        if let Some(vote) = held {
            return vote.lifted.is_none().then_some(vote.slot);
        }
        let due = known.behind_since.is_some_and(|at| now.saturating_sub(at) > self.fleet.shut_after);
        // A planner that has just started may have voted before: those that it voted for tell it, once they are heard.
        let warmed_up = self.is_warmed_up(now);
        let cools = self.cool.get(front).is_some_and(|until| now < *until);
        if !due || !warmed_up || cools {
            return None;
        }
        let slot = self.slot_for(now, front, &known)?;
        let vote = Vote { slot, incarnation: known.incarnation, since: now, lifted: None };
        self.votes.insert(front.to_owned(), vote);
        Some(slot)
    }

    /// A free slot for a front, within the limits; fronts that are silent by themselves take one up.
    fn slot_for(&self, now: Micros, front: &str, known: &Known) -> Option<Slot> {
        let zone_of = |name: &str| self.fleet.member(name).map_or("", |m| m.zone.as_str());
        let zone = zone_of(front);
        // Out by a permit, or lost by itself: both count.
        let silent = |name: &str| {
            let in_service = |k: &Known| self.is_live(k, now) && k.heartbeat.stance != Stance::Out;
            !self.votes.contains_key(name)
                && (self.permits.contains_key(name) || !self.fronts.get(name).is_some_and(in_service))
        };
        let slots = |whole: bool| -> Option<Vec<u16>> {
            let group: Vec<&str> = self
                .fleet
                .fronts()
                .map(|m| m.name.as_str())
                .filter(|n| whole || zone_of(n) == zone)
                .collect();
            let most =
                if whole { self.fleet.most_out } else { self.fleet.most_out_zone }.resolve(group.len());
            let forgotten = mutant::active(if whole { "limit-forgotten" } else { "zone-limit-forgotten" });
            let most = if forgotten { group.len() } else { most };
            let lost = if forgotten { 0 } else { group.iter().filter(|n| **n != front && silent(n)).count() };
            let votes = group.iter().filter_map(|n| self.votes.get(*n));
            let used: Vec<u16> = votes.map(|v| if whole { v.slot.all } else { v.slot.zone }).collect();
            if used.len() + lost >= most {
                return None;
            }
            Some((0..most as u16).filter(|n| !used.contains(n)).collect())
        };
        let (all, in_zone) = (slots(true)?, slots(false)?);
        let free = |p: &Slot| all.contains(&p.all) && in_zone.contains(&p.zone);
        // What other planners chose is chosen too, so that a majority comes together.
        let wanted = known.heartbeat.votes.iter().flatten().copied().filter(free).min();
        wanted.or_else(|| Some(Slot { all: *all.first()?, zone: *in_zone.first()? }))
    }

    fn lapsed_here(&self, front: &str, now: Micros) -> bool {
        let Some(known) = self.fronts.get(front) else { return false };
        let over = known.granted.is_none_or(|at| now.saturating_sub(at) > self.fleet.lease_upper_bound());
        over && (self.votes.contains_key(front) || !self.is_live(known, now))
    }

    /// No majority can have a lease out to it: enough planners know that theirs has lapsed.
    fn surely_lapsed(&self, front: &str, now: Micros) -> bool {
        let planners = self.fleet.planners().count();
        let needed = planners - self.fleet.majority() + 1;
        let others = self.elsewhere.values().filter_map(|m| m.get(front));
        let fresh = others
            .filter(|(at, h)| h.lease_lapsed && now.saturating_sub(*at) <= self.fleet.lease_upper_bound());
        usize::from(self.lapsed_here(front, now)) + fresh.count() >= needed
    }

    /// The step on which a front stands.
    pub fn step(&self, front: &str, now: Micros) -> Step {
        let Some(known) = self.fronts.get(front) else { return Step::Unknown };
        let live = self.is_live(known, now) || mutant::active("silence-called-current");
        let out = known.heartbeat.stance == Stance::Out;
        if let Some(vote) = self.votes.get(front) {
            let confirmed = live && out || self.surely_lapsed(front, now);
            return match (vote.lifted, confirmed) {
                (Some(_), _) => Step::Returning,
                (None, true) => Step::Out,
                (None, false) => Step::OrderedOut,
            };
        }
        if !live {
            return Step::Unknown;
        }
        match (known.heartbeat.stance, known.behind_since) {
            (Stance::Out, _) => Step::Out,
            (Stance::Narrowed, _) => Step::Narrowed,
            // Whoever has just started has not heard the others, against whom a front is held.
            _ if now.saturating_sub(self.begun) <= self.fleet.lease_upper_bound() => Step::Unknown,
            (_, Some(at)) if now.saturating_sub(at) > self.fleet.behind => {
                let newest = self.ready.as_ref().map_or(0, |r| r.index);
                let list = known.heartbeat.version.list.index.max(known.heartbeat.reconciled.0) >= newest;
                let rollout = self.newest_rollout(front, &known.heartbeat.version, now);
                let told = rollout
                    .is_none_or(|n| known.heartbeat.reconciled.1.is_some_and(|b| !n.is_narrower_than(&b)));
                if list && told {
                    Step::Reconciled
                } else {
                    Step::Noted
                }
            }
            (_, Some(_)) => Step::Lagging,
            // Others may have come back since its last heartbeat.
            (_, None) if self.is_behind(front, &known.heartbeat.version, now) => Step::Lagging,
            (_, None) => Step::Current,
        }
    }

    fn mark(&mut self, now: Micros, front: &str) {
        let step = self.step(front, now);
        if let Some(known) = self.fronts.get_mut(front) {
            if known.step_history.last().is_none_or(|m| m.1 != step) {
                known.step_history.push((now, step));
                if known.step_history.len() > MARKS {
                    known.step_history.remove(0);
                }
            }
        }
    }

    /// Steps that have changed since they were last marked, so that each is logged once: the front, and its step now.
    pub fn changed_steps(&mut self, now: Micros) -> Vec<(String, Step)> {
        let names: Vec<String> = self.fronts.keys().cloned().collect();
        let mut out = Vec::new();
        for name in names {
            let before = self.fronts[&name].step_history.last().map(|m| m.1);
            self.mark(now, &name);
            let after = self.fronts[&name].step_history.last().map(|m| m.1);
            out.extend(after.filter(|_| before != after).map(|step| (name, step)));
        }
        out
    }

    /// What is asked of another planner.
    pub fn pull_request(&self) -> Pull {
        let known_list = self.ready.as_ref().map_or((0, 0), |r| (r.index, r.digest));
        Pull { planner: self.name.clone(), held: self.report_log.held_ranges(), known_list }
    }

    /// What another planner is given.
    pub fn answer_pull(&self, now: Micros, pull: &Pull) -> Result<PullResponse, MessageError> {
        if self.fleet.member(&pull.planner).is_none_or(|m| m.role != Role::Planner) {
            return Err(MessageError::UnknownSender(pull.planner.clone()));
        }
        let heard = |(name, k): (&String, &Known)| FrontSighting {
            front: name.clone(),
            incarnation: k.incarnation,
            age: now.saturating_sub(k.heard.unwrap_or(0)),
            version: k.heartbeat.version,
            stance: k.heartbeat.stance,
            lease_lapsed: self.lapsed_here(name, now),
        };
        Ok(PullResponse {
            planner: self.name.clone(),
            reports: self.report_log.missing_from(&pull.held, PUSH_LIMIT),
            heard: self.fronts.iter().map(heard).collect(),
            ready: self
                .ready
                .clone()
                .filter(|r| (r.index, r.digest) != pull.known_list && r.index >= pull.known_list.0),
        })
    }

    /// Takes what another planner gave; the reports that were not here.
    pub fn apply_pull_response(
        &mut self,
        now: Micros,
        pushed: PullResponse,
    ) -> Vec<(String, u64, crate::span::Report)> {
        let mut fresh = Vec::new();
        for (front, incarnation, report) in pushed.reports {
            match self.report_log.insert(&front, incarnation, report.clone()) {
                Ok(true) => fresh.push((front, incarnation, report)),
                Ok(false) => {}
                Err(why) => self.count_rejected(&why),
            }
        }
        self.learn_list(pushed.ready);
        let of = self.elsewhere.entry(pushed.planner).or_default();
        for heard in pushed.heard {
            of.insert(heard.front.clone(), (now, heard));
        }
        fresh
    }

    /// What is known now.
    pub fn status(&self, now: Micros) -> Status {
        let front = |member: &crate::settings::Member| {
            let known = self.fronts.get(&member.name);
            let ago = |at: Micros| now.saturating_sub(at) / 1_000;
            let out = self.votes.get(&member.name).map(|_| match known {
                Some(k) if k.heartbeat.stance == Stance::Out && self.is_live(k, now) => "acknowledged",
                _ if self.surely_lapsed(&member.name, now) => "lapsed: narrowed at the most",
                _ => "ordered, not confirmed",
            });
            let gaps = known.map(|k| self.report_log.gaps(&member.name, k.incarnation)).unwrap_or_default();
            FrontStatus {
                name: member.name.clone(),
                zone: member.zone.clone(),
                step: self.step(&member.name, now),
                incarnation: known.map_or(0, |k| k.incarnation),
                heard_ms_ago: known.and_then(|k| k.heard).map(ago),
                came_ms_ago: known.map(|k| ago(k.came)),
                version: known.map(|k| k.heartbeat.version),
                list_age_ms: known.map_or(0, |k| k.heartbeat.ages.list / 1_000),
                behind_ms: known.and_then(|k| k.behind_since).map(ago),
                reconciled_index: known.map_or(0, |k| k.heartbeat.reconciled.0),
                stance: known.map(|k| k.heartbeat.stance),
                out,
                duplicate_name: known.is_some_and(|k| self.has_duplicate_name(k, now)),
                missing: gaps.iter().map(|g| g.1 - g.0 + 1).sum(),
                step_history: known
                    .map(|k| k.step_history.iter().map(|m| (ago(m.0), m.1)).collect())
                    .unwrap_or_default(),
            }
        };
        let last = |m: &BTreeMap<String, (Micros, FrontSighting)>| m.values().map(|h| h.0).max().unwrap_or(0);
        Status {
            planner: self.name.clone(),
            incarnation: self.incarnation,
            most_out: self.fleet.most_out.resolve(self.fleet.fronts().count()),
            planners_ms_ago: self
                .elsewhere
                .iter()
                .map(|(name, m)| (name.clone(), now.saturating_sub(last(m)) / 1_000))
                .collect(),
            fronts: self.fleet.fronts().map(front).collect(),
            contradictions: self.report_log.contradictions(),
            refused: self.refused.clone(),
            bytes: self.report_log.bytes(),
        }
    }
}
