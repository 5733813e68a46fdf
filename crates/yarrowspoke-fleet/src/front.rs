//! A front's side: its record, its lease, what planners take away, and how it stands at any moment.

use crate::delta::{Base, Delta, DeltaError, MachineList};
use crate::heartbeat_schedule::{self, PlannerSchedule};
use crate::mutant;
use crate::permits::{PermitHolder, PermitMessage};
use crate::settings::{Alone, Fleet, Lists, Spans};
use crate::span::{Recorder, Report, Stance};
use crate::version::{Ages, ListSource, RolloutStatus, Version};
use crate::wire::{Heartbeat, HeartbeatResponse, ListState, ReadyMachines, Slot, REPORTS_AT_ONCE};
use crate::Micros;
use std::collections::BTreeMap;

/// Answers in a row of one incarnation of a planner after which it is heard at the pace: it has to have seen this incarnation
/// of the front for a while before it counts it as the one that runs.
const STEADY: u32 = 6;
/// Renewals for which one planner is asked for its whole list before another is.
const ASK_FOR: Micros = 2;
/// Least time for which a span may lie at the home planner alone before it goes to the others too, and the same in paces.
const HOME_FOR: (Micros, u64) = (2_000_000, 3);

/// What a heartbeat says that must not wait for the pace.
#[derive(Clone, Debug, PartialEq)]
struct Telling {
    version: Version,
    stance: Stance,
    votes: Vec<Option<Slot>>,
    permit: Option<(u64, PermitMessage)>,
    reconciled: (u64, Option<RolloutStatus>),
}

/// One planner, as a front knows it.
#[derive(Clone, Debug, Default)]
struct AtPlanner {
    sent: u64,
    answered: u64,
    acked: u64,
    /// Until when the lease that it granted last holds.
    until: Micros,
    /// When a heartbeat was begun that then failed, with none answered since.
    failed: Option<Micros>,
    vote: Option<Slot>,
    known_list: (u64, u64),
    echo: (u64, Micros),
    /// The number of the highest permit that it knows has ended, if it is this front's.
    ended: u64,
    /// When the last heartbeat was begun, and what it said, with its number.
    last: Option<Micros>,
    saying: Option<(u64, Telling)>,
    /// What the last one said that was answered.
    told: Option<Telling>,
    /// Since when something must not wait for the pace.
    hurry: Option<Micros>,
    /// Answers in a row from one incarnation of it.
    steady: u32,
    /// It finds this front behind, or has a permit for it.
    concerned: bool,
    /// The list that it named last, and whether it wants this front's whole one.
    holds: Option<Base>,
    wants_whole: bool,
}

/// What an answer changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseEffect {
    /// What is to be left out has changed: see [`FrontSide::leaves_out`].
    pub restricted: bool,
    /// Its own sources are to be asked again.
    pub refetch: bool,
    /// Another process was heard under this front's name.
    pub duplicate_name: bool,
}

/// What planners and a lapsed lease take away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restrictions {
    /// This build and later ones.
    trial: Option<u16>,
    /// Whatever is not on this list: epoch, index, digest.
    list: Option<(u32, u64, u64)>,
}

/// The front's side of the ladder.
#[derive(Debug)]
pub struct FrontSide {
    fleet: Fleet,
    name: String,
    incarnation: u64,
    recorder: Recorder,
    planners: Vec<AtPlanner>,
    heard_list: Option<Micros>,
    rollout_heard_at: Micros,
    ready: MachineList,
    /// The list that planners brought last, by name: what a planner had may never have been discovery's here.
    relayed: MachineList,
    /// Which planner is asked for its whole list, and since when.
    asking: Option<(usize, Micros)>,
    /// When the last span was closed.
    closed: Micros,
    /// What planners brought: a list newer than its own, and news.
    reconciled_list: Option<ReadyMachines>,
    reconciled_rollout: Option<RolloutStatus>,
    /// A lease was ever held.
    held: bool,
    refused_shrink: u64,
    holder: PermitHolder,
}

impl FrontSide {
    /// A front that has just started; `now` is 0 on its clock.
    pub fn new(fleet: Fleet, name: &str, incarnation: u64, version: Version) -> Self {
        let planners = fleet.planners().map(|_| AtPlanner::default()).collect();
        let recorder = Recorder::new(0, version, fleet.outbox);
        Self {
            name: name.to_owned(),
            incarnation,
            recorder,
            planners,
            heard_list: None,
            rollout_heard_at: 0,
            ready: MachineList::default(),
            relayed: MachineList::default(),
            asking: None,
            closed: 0,
            reconciled_list: None,
            reconciled_rollout: None,
            held: false,
            refused_shrink: 0,
            holder: PermitHolder::default(),
            fleet,
        }
    }

    /// The settings.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Other settings from now on, as told by a reload; who the planners are stays.
    pub fn replace_settings(&mut self, fleet: Fleet) {
        let members = std::mem::take(&mut self.fleet.members);
        self.fleet = Fleet { members, ..fleet };
    }

    /// The record.
    pub fn recorder(&mut self) -> &mut Recorder {
        &mut self.recorder
    }

    /// What it acts on by its own sources.
    pub fn version(&self) -> Version {
        *self.recorder.version()
    }

    fn moves_to(&mut self, now: Micros, wall: Micros, version: Version) {
        let stance = self.stance(now);
        self.closed = now;
        self.recorder.close(now, wall, version, stance);
    }

    /// Its own sources told a list: the index, its digest, and all machines that are ready on it with their builds. An index
    /// below the one held begins another epoch.
    pub fn list_received(
        &mut self,
        (now, wall): (Micros, Micros),
        (index, digest): (u64, u64),
        source: ListSource,
        ready: BTreeMap<u32, u16>,
    ) {
        if source == ListSource::Discovery {
            self.heard_list = Some(now);
        }
        let mut version = self.version();
        let back = source == ListSource::Discovery && index < version.list.index;
        let epoch = version.list.epoch + u32::from(back);
        version.list = crate::version::List { index, source, epoch, digest };
        self.ready.replace((epoch, index, digest), ready);
        if self.reconciled_list.as_ref().is_some_and(|b| b.epoch != epoch || b.index <= index) {
            self.reconciled_list = None;
        }
        if version != self.version() {
            self.moves_to(now, wall, version);
        }
    }

    /// Discovery confirmed that nothing has changed.
    pub fn list_confirmed(&mut self, now: Micros) {
        self.heard_list = Some(now);
    }

    /// Its own source told news.
    pub fn rollout_received(&mut self, (now, wall): (Micros, Micros), rollout: RolloutStatus) {
        self.rollout_heard_at = now;
        let mut version = self.version();
        version.rollout = Some(rollout);
        let over = |b: &RolloutStatus| rollout.build != b.build || !b.is_narrower_than(&rollout);
        if self.reconciled_rollout.as_ref().is_some_and(over) {
            self.reconciled_rollout = None;
        }
        if version != self.version() {
            self.moves_to(now, wall, version);
        }
    }

    /// Its files were read again.
    pub fn files_reloaded(
        &mut self,
        (now, wall): (Micros, Micros),
        (config, operator, settings): (u64, u64, u64),
    ) {
        let version = Version { config, operator, settings, ..self.version() };
        if version != self.version() {
            self.moves_to(now, wall, version);
        }
    }

    /// Closes a span where one is due: at every renewal, or at the pace while neither version nor stance has changed.
    pub fn tick(&mut self, now: Micros, wall: Micros) {
        let unchanged = self.stance(now) == self.recorder.stance();
        let early = |pace: Micros| now.saturating_sub(self.closed) + self.fleet.renew / 2 < pace;
        if unchanged && self.fleet.paced.is_some_and(|p| early(p.pace)) {
            return;
        }
        let version = self.version();
        self.moves_to(now, wall, version);
    }

    fn telling(&self, now: Micros) -> Telling {
        Telling {
            version: self.version(),
            stance: self.stance(now),
            votes: self.planners.iter().map(|p| p.vote).collect(),
            permit: self.holder.message(),
            reconciled: self.reconciled(),
        }
    }

    fn reconciled(&self) -> (u64, Option<RolloutStatus>) {
        (self.reconciled_list.as_ref().map_or(0, |b| b.index), self.reconciled_rollout)
    }

    /// Whether the next heartbeat to this planner must not wait for the pace.
    fn hurries(&self, planner: usize, now: Micros) -> bool {
        let at = &self.planners[planner];
        if at.failed.is_some() || at.steady < STEADY {
            return true;
        }
        // As many as a lease needs and no more: the next that fails would cost it.
        let answering = self.planners.iter().filter(|p| p.failed.is_none()).count();
        if answering < self.planners.len() && answering <= self.fleet.majority() {
            return true;
        }
        if mutant::active("change-waits-for-pace") {
            return false;
        }
        let brings = at.wants_whole
            || at.holds.is_some_and(|held| self.own_base().is_some_and(|own| own.is_newer(&held)))
                && self.ready.delta_since(&at.holds.unwrap_or_default(), 1).is_some();
        at.concerned
            || brings
            || self.asking.is_some_and(|a| a.0 == planner)
            || self.stance(now) != Stance::Open
            || at.told.as_ref() != Some(&self.telling(now))
    }

    /// When the next heartbeat to this planner is due. To be asked again in each part of a renewal: whatever changes may
    /// bring it forward.
    pub fn next_heartbeat_at(&mut self, planner: usize, now: Micros) -> Micros {
        let renew = self.fleet.renew;
        let Some(paced) = self.fleet.paced else {
            return self.planners[planner].last.map_or(0, |at| at + renew);
        };
        let hurries = self.hurries(planner, now);
        let at = &mut self.planners[planner];
        at.hurry = hurries.then(|| at.hurry.unwrap_or(now));
        let beat =
            |p: &AtPlanner| PlannerSchedule { last: p.last, hurry: p.hurry, answers: p.failed.is_none() };
        let beats: Vec<PlannerSchedule> = self.planners.iter().map(beat).collect();
        let seed =
            [self.incarnation, planner as u64, self.planners[planner].sent].map(u64::to_le_bytes).concat();
        heartbeat_schedule::next_due(&beats, planner, (renew, paced.pace), crate::version::digest(&seed))
    }

    /// Its own list by name, where it is discovery's.
    fn own_base(&self) -> Option<Base> {
        let own = self.version().list;
        (own.source == ListSource::Discovery).then(|| self.ready.base())
    }

    fn by_delta(&self) -> bool {
        self.fleet.paced.is_some_and(|p| p.lists == Lists::Delta)
    }

    /// The planner that gets this front's spans first: by rendezvous hashing among those that answer, so that another one's
    /// failure moves nothing.
    fn home(&self) -> Option<usize> {
        let answers = |n: &usize| self.planners[*n].failed.is_none() || mutant::active("spans-to-nobody");
        let weight = |n: &usize| {
            let planner = self.fleet.planners().nth(*n).map_or("", |p| p.name.as_str());
            crate::version::digest(format!("{}\n{planner}", self.name).as_bytes())
        };
        (0..self.planners.len()).filter(answers).max_by_key(weight)
    }

    /// Spans for this planner.
    fn spans_for(&self, planner: usize, now: Micros) -> Vec<Report> {
        let mut spans = self.recorder.reports_after(self.planners[planner].acked, REPORTS_AT_ONCE);
        let Some(paced) = self.fleet.paced.filter(|p| p.spans == Spans::Home) else { return spans };
        if self.home() != Some(planner) {
            let waits = HOME_FOR.0.max(HOME_FOR.1 * paced.pace);
            // Danger: a home planner that answers and then dies, or that no other reaches, must not be the only one to know.
            let keeps =
                |r: &Report| now.saturating_sub(r.span.to) > waits && !mutant::active("spans-to-nobody");
            spans.retain(keeps);
        }
        spans
    }

    /// Until when a majority of planners has granted a lease.
    fn leased_until(&self) -> Micros {
        let mut until: Vec<Micros> = self.planners.iter().map(|p| p.until).collect();
        until.sort_unstable_by(|a, b| b.cmp(a));
        until.get(self.fleet.majority() - 1).copied().unwrap_or(0)
    }

    /// The slot that a majority has voted it into.
    fn out(&self) -> Option<Slot> {
        let votes: Vec<Slot> = self.planners.iter().filter_map(|p| p.vote).collect();
        votes.iter().copied().find(|v| votes.iter().filter(|w| *w == v).count() >= self.fleet.majority())
    }

    /// How it stands. To be looked at before each request taken and each attempt sent: a process that stood still wakes up on
    /// a lease that lapsed meanwhile, and nothing else has told it yet.
    pub fn stance(&self, now: Micros) -> Stance {
        if self.out().is_some() || self.holder.is_out() {
            return Stance::Out;
        }
        let until = self.leased_until();
        if now < until || mutant::active("lease-unchecked") && self.held {
            return Stance::Open;
        }
        // A front that has just started goes by its own sources until its first lease could have come.
        if !self.held && now < self.fleet.lease {
            return Stance::Open;
        }
        // Alone is found out, not supposed: a heartbeat went to every planner after the lease had lapsed, and none answered.
        let alone = self.planners.iter().all(|p| p.failed.is_some_and(|at| at >= until));
        match self.fleet.alone {
            Alone::Serve if alone => Stance::Alone,
            _ => Stance::Narrowed,
        }
    }

    /// Whether a new request may be taken. A narrowed front whose own list was not confirmed for long has no ground to send
    /// anything on: every machine may be draining.
    pub fn admits_requests(&self, now: Micros) -> bool {
        match self.stance(now) {
            Stance::Open | Stance::Alone => true,
            Stance::Narrowed => {
                self.heard_list.is_none_or(|at| now.saturating_sub(at) <= self.fleet.list_within)
            }
            Stance::Out => mutant::active("out-still-serves"),
        }
    }

    /// The build on trial, if one is.
    pub fn build_on_trial(&self) -> Option<u16> {
        self.version().rollout.filter(|n| n.phase != 1).map(|n| n.build)
    }

    /// By what machines are left out now: while it is the same, so is [`Self::leaves_out`] for every machine and build.
    pub fn restrictions(&self, now: Micros) -> Restrictions {
        let narrowed = self.stance(now) == Stance::Narrowed;
        Restrictions {
            trial: self.build_on_trial().filter(|_| narrowed),
            list: self.reconciled_list.as_ref().map(|r| (r.epoch, r.index, r.digest)),
        }
    }

    /// Whether nothing may be sent to this machine of this build now, whatever its own sources say.
    pub fn excludes(&self, now: Micros, machine: u32, build: u16) -> bool {
        if self.stance(now) == Stance::Narrowed && self.build_on_trial().is_some_and(|trial| build >= trial) {
            return true;
        }
        let listed = |b: &ReadyMachines| b.machines.binary_search(&(machine, build)).is_ok();
        self.reconciled_list.as_ref().is_some_and(|b| !listed(b))
    }

    /// News that planners brought, where it takes away from what its own source told.
    pub fn restricting_rollout(&self) -> Option<RolloutStatus> {
        self.reconciled_rollout
    }

    /// When its list was last confirmed by discovery, if it ever was.
    fn ages(&self, now: Micros) -> Ages {
        Ages {
            list: now - self.heard_list.unwrap_or(0).min(now),
            rollout: now.saturating_sub(self.rollout_heard_at),
        }
    }

    /// Its heartbeat for a planner now.
    pub fn heartbeat(&mut self, planner: usize, now: Micros) -> Heartbeat {
        let (version, stance) = (self.version(), self.stance(now));
        let list = version.list;
        let votes = self.planners.iter().map(|p| p.vote).collect();
        let reports = self.spans_for(planner, now);
        let by_delta = self.by_delta();
        let list_state = by_delta.then(|| {
            let (own, held) = (self.own_base(), self.planners[planner].holds);
            let lags = |held: &Base| own.is_some_and(|own| own.is_newer(held));
            ListState {
                holds: own.unwrap_or_default(),
                against: match self.reconciled_list {
                    Some(_) => self.relayed.base(),
                    None => own.unwrap_or_default(),
                },
                wants_whole: self.asking.is_some_and(|a| a.0 == planner),
                delta: held.filter(lags).and_then(|held| self.ready.delta_since(&held, 1)),
            }
        });
        let telling = self.fleet.paced.map(|_| self.telling(now));
        let reconciled = self.reconciled();
        let at = &mut self.planners[planner];
        at.sent += 1;
        // What hurried it is said now, or goes on to hurry from here.
        (at.last, at.hurry) = (Some(now), None);
        at.saying = telling.map(|t| (at.sent, t));
        let told = at.known_list == (list.index, list.digest) || at.known_list.0 > list.index;
        let whole = if by_delta { at.wants_whole } else { !told };
        let mut shown = version;
        if mutant::active("relay-called-own") {
            if let Some(reconciled) = &self.reconciled_list {
                (shown.list.index, shown.list.digest) = (reconciled.index, reconciled.digest);
            }
        }
        Heartbeat {
            front: self.name.clone(),
            incarnation: self.incarnation,
            number: at.sent,
            now,
            echo: at.echo,
            version: shown,
            ages: Ages::default(),
            reconciled,
            stance,
            votes,
            head: self.recorder.last_number(),
            permit: self.holder.message(),
            reports,
            ready: (whole && list.source == ListSource::Discovery).then(|| ReadyMachines {
                index: list.index,
                epoch: list.epoch,
                digest: list.digest,
                confirmations: 1,
                machines: self.ready.machines().iter().map(|(m, b)| (*m, *b)).collect(),
            }),
            list: list_state,
        }
        .aged(self.ages(now))
    }

    /// A heartbeat has failed that was begun at `sent_at`.
    pub fn heartbeat_failed(&mut self, planner: usize, sent_at: Micros) {
        let at = &mut self.planners[planner];
        at.failed = Some(at.failed.unwrap_or(0).max(sent_at));
        self.asking = self.asking.filter(|a| a.0 != planner);
    }

    /// A planner has answered the heartbeat that was begun at `sent_at`.
    pub fn heartbeat_answered(
        &mut self,
        planner: usize,
        sent_at: Micros,
        now: Micros,
        answer: HeartbeatResponse,
    ) -> ResponseEffect {
        let lease = answer.lease.min(self.fleet.lease);
        let at = &mut self.planners[planner];
        if answer.number <= at.answered || answer.number > at.sent {
            return ResponseEffect::default();
        }
        (at.answered, at.failed, at.vote) = (answer.number, None, answer.vote);
        // The lease counts from when its heartbeat was sent, by this front's own clock: that is before any planner granted it.
        at.until = if lease > 0 { sent_at + lease } else { 0 };
        (at.acked, at.known_list) = (answer.acked, answer.known_list);
        at.steady = if at.echo.0 == answer.incarnation { at.steady.saturating_add(1) } else { 1 };
        at.concerned = answer.refetch || answer.duplicate_name || answer.permit.is_some();
        if let Some((_, said)) = at.saying.take_if(|s| s.0 == answer.number) {
            at.told = Some(said);
        }
        (at.holds, at.wants_whole) =
            answer.list.as_ref().map_or((None, false), |l| (Some(l.holds), l.wants_whole));
        at.echo = (answer.incarnation, answer.now);
        // By the clock of now, not of the heartbeat: it may have stood still in between.
        let held = self.holder.message().map_or(0, |w| w.0);
        let still_shown = answer.permit.as_ref().is_some_and(|p| p.number == held);
        at.ended = if !still_shown && answer.granted >= held { held } else { 0 };
        self.holder.observe(now, self.incarnation, answer.permit.as_ref(), self.fleet.lease / 2);
        // Taken from it by name, or done in the eyes of a majority: there is nothing left to be out by.
        if self.planners.iter().filter(|p| held > 0 && p.ended == held).count() >= self.fleet.majority() {
            self.holder.end_permit(now);
        }
        self.held |= sent_at < self.leased_until();
        // Kept until a majority has it, and every other planner that answers: those that don't get it from these.
        let mut acked: Vec<u64> = self.planners.iter().map(|p| p.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        let answering = self.planners.iter().filter(|p| p.failed.is_none()).map(|p| p.acked).min();
        self.recorder.discard_through(acked[self.fleet.majority() - 1].min(answering.unwrap_or(0)));
        let mut change = ResponseEffect {
            restricted: false,
            refetch: answer.refetch,
            duplicate_name: answer.duplicate_name,
        };
        if mutant::active("relay-ignored") {
            return change;
        }
        let own = self.version();
        let told = answer.list.map(|list| self.told_list(planner, now, list, answer.ready.is_some()));
        if let Some(ready) = answer.ready.or(told.flatten()) {
            let newer = ready.epoch == own.list.epoch && ready.index > own.list.index;
            let held = self.reconciled_list.as_ref().is_some_and(|b| b.index >= ready.index);
            // Danger: one front that was told nonsense must not empty all others; what takes most machines away at once is
            // believed only where two fronts hold it from their own sources.
            let left = self
                .ready
                .machines()
                .iter()
                .filter(|(m, b)| ready.machines.binary_search(&(**m, **b)).is_ok())
                .count();
            if newer && !held && 2 * left < self.ready.machines().len() && ready.confirmations < 2 {
                self.refused_shrink += 1;
            } else if newer && !held {
                if self.by_delta() {
                    let name = (ready.epoch, ready.index, ready.digest);
                    self.relayed.replace(name, ready.machines.iter().copied().collect());
                }
                self.reconciled_list = Some(ready);
                change.restricted = true;
            }
        }
        if let (Some(rollout), Some(told)) = (answer.rollout, own.rollout) {
            let narrower = self.reconciled_rollout.is_none_or(|b| rollout.is_narrower_than(&b));
            if rollout.is_narrower_than(&told) && narrower {
                self.reconciled_rollout = Some(rollout);
                change.restricted = true;
            }
        }
        change
    }

    /// The machines behind a delta, from whichever list here it is against.
    fn bridged(&self, delta: &Delta) -> Result<Vec<(u32, u16)>, DeltaError> {
        let broken = mutant::active("delta-on-any-base");
        let relayed = self.reconciled_list.is_some() && self.relayed.base() == delta.base && !broken;
        if relayed { &self.relayed } else { &self.ready }.machines_after(delta)
    }

    /// A planner's list from what its answer says of it, where it is newer and a delta fits; where none does, the whole is
    /// asked for, of one planner at a time.
    fn told_list(
        &mut self,
        planner: usize,
        now: Micros,
        list: ListState,
        came: bool,
    ) -> Option<ReadyMachines> {
        let own = self.version().list;
        let known = self.reconciled_list.as_ref().map_or(0, |r| r.index).max(own.index);
        let lacks = list.holds.epoch == own.epoch && list.holds.index > known;
        if came || !lacks {
            self.asking = self.asking.filter(|_| !came && lacks);
            return None;
        }
        if let Some(Ok(machines)) = list.delta.as_ref().map(|delta| self.bridged(delta)) {
            let delta = list.delta?;
            self.asking = None;
            let (index, epoch, digest) = (delta.to.index, delta.to.epoch, delta.to.digest);
            return Some(ReadyMachines {
                index,
                epoch,
                digest,
                confirmations: delta.confirmations,
                machines,
            });
        }
        let over = |(_, since): (usize, Micros)| now.saturating_sub(since) > ASK_FOR * self.fleet.renew;
        if self.asking.is_none_or(over) {
            self.asking = Some((planner, now));
        }
        None
    }

    /// Lists from planners that were held back for taking most machines away.
    pub fn refused_shrinks(&self) -> u64 {
        self.refused_shrink
    }
}

impl Heartbeat {
    fn aged(self, ages: Ages) -> Self {
        Self { ages, ..self }
    }
}
