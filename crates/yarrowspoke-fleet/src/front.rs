//! The front's side of the fleet protocol: its record, its lease, the restrictions that planners impose, and its
//! service state at any moment.

use crate::delta::{Base, Delta, DeltaError, MachineList};
use crate::heartbeat_schedule::{self, PlannerSchedule};
use crate::mutant;
use crate::permits::{PermitHolder, PermitMessage};
use crate::settings::{Alone, Fleet, Lists, Spans};
use crate::span::{Recorder, Report, Stance};
use crate::version::{Ages, ListSource, RolloutStatus, Version};
use crate::wire::{Heartbeat, HeartbeatResponse, ListState, ReadyMachines, Slot, REPORTS_PER_HEARTBEAT};
use crate::Micros;
use std::collections::BTreeMap;

/// Consecutive answers of one planner incarnation after which heartbeats to it slow down to the pace. A planner
/// counts an incarnation of a front as the running one only after it has seen it for a while.
const STEADY_ANSWERS: u32 = 6;
/// Renewals to wait for one planner's whole list before another planner is asked.
const WHOLE_LIST_RENEWALS: Micros = 2;
/// Least time for which a span may be at the home planner alone before it also goes to the other planners.
const HOME_ONLY_TIME: Micros = 2_000_000;
/// The same bound as a number of heartbeat paces; the larger of the two applies.
const HOME_ONLY_PACES: u64 = 3;

/// The parts of a heartbeat whose change must not wait for the pace.
#[derive(Clone, Debug, PartialEq)]
struct UrgentState {
    version: Version,
    stance: Stance,
    votes: Vec<Option<Slot>>,
    permit: Option<(u64, PermitMessage)>,
    reconciled: (u64, Option<RolloutStatus>),
}

/// What a front knows of one planner.
#[derive(Clone, Debug, Default)]
struct PlannerView {
    last_sent: u64,
    last_answered: u64,
    acked: u64,
    /// End of the lease that this planner granted last.
    lease_until: Micros,
    /// Start of the last heartbeat that failed; `None` once one was answered since.
    failed_at: Option<Micros>,
    vote: Option<Slot>,
    known_list: (u64, u64),
    echo: (u64, Micros),
    /// Number of the highest permit that this planner knows to have ended, if it is this front's; otherwise 0.
    ended_permit: u64,
    /// When the last heartbeat was sent. `pending_state` is what it said, with its number.
    last_sent_at: Option<Micros>,
    pending_state: Option<(u64, UrgentState)>,
    /// What the last answered heartbeat said.
    acknowledged_state: Option<UrgentState>,
    /// Since when there is something to send that must not wait for the pace.
    urgent_since: Option<Micros>,
    /// Consecutive answers from one incarnation of the planner.
    answers_in_row: u32,
    /// The planner finds this front behind, or has a permit for it.
    needs_attention: bool,
    /// The list that the planner named last, and whether it wants this front's whole list.
    holds: Option<Base>,
    wants_whole: bool,
}

/// What the answer to a heartbeat changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseEffect {
    /// The excluded machines have changed: see [`FrontSide::excludes`].
    pub restricted: bool,
    /// The front's own sources must be queried again.
    pub refetch: bool,
    /// Another process uses this front's name.
    pub duplicate_name: bool,
}

/// The restrictions in force because of planners or a lapsed lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restrictions {
    /// This build and later ones are excluded.
    trial: Option<u16>,
    /// Every machine that is not on this list is excluded: epoch, index, digest.
    list: Option<(u32, u64, u64)>,
}

/// The front's side of the fleet protocol.
#[derive(Debug)]
pub struct FrontSide {
    fleet: Fleet,
    name: String,
    incarnation: u64,
    recorder: Recorder,
    planners: Vec<PlannerView>,
    list_heard_at: Option<Micros>,
    rollout_heard_at: Micros,
    ready: MachineList,
    /// The list that planners sent last, kept with its base: a planner's list may never have been discovered by this
    /// front.
    relayed: MachineList,
    /// Which planner was asked for its whole list, and when.
    whole_list_query: Option<(usize, Micros)>,
    /// When the last span was closed.
    span_closed_at: Micros,
    /// What planners sent: a list newer than the front's own, and a rollout status narrower than its own.
    reconciled_list: Option<ReadyMachines>,
    reconciled_rollout: Option<RolloutStatus>,
    /// A lease was held at least once.
    has_held_lease: bool,
    rejected_shrink_count: u64,
    permit_holder: PermitHolder,
}

impl FrontSide {
    /// Creates the state of a front that has just started; `now` is 0 on its clock.
    pub fn new(fleet: Fleet, name: &str, incarnation: u64, version: Version) -> Self {
        let planners = fleet.planners().map(|_| PlannerView::default()).collect();
        let recorder = Recorder::new(0, version, fleet.outbox);
        Self {
            name: name.to_owned(),
            incarnation,
            recorder,
            planners,
            list_heard_at: None,
            rollout_heard_at: 0,
            ready: MachineList::default(),
            relayed: MachineList::default(),
            whole_list_query: None,
            span_closed_at: 0,
            reconciled_list: None,
            reconciled_rollout: None,
            has_held_lease: false,
            rejected_shrink_count: 0,
            permit_holder: PermitHolder::default(),
            fleet,
        }
    }

    /// Returns the settings.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Replaces the settings after a reload; the set of members stays as it was at the start.
    pub fn replace_settings(&mut self, fleet: Fleet) {
        let members = std::mem::take(&mut self.fleet.members);
        self.fleet = Fleet { members, ..fleet };
    }

    /// Returns the record.
    pub fn recorder(&mut self) -> &mut Recorder {
        &mut self.recorder
    }

    /// Returns the version that the front acts on by its own sources.
    pub fn version(&self) -> Version {
        *self.recorder.version()
    }

    fn close_span(&mut self, now: Micros, wall: Micros, version: Version) {
        let stance = self.stance(now);
        self.span_closed_at = now;
        self.recorder.close(now, wall, version, stance);
    }

    /// Handles a list from the front's own sources: its index and digest, and all ready machines with their builds.
    /// An index from discovery below the current one begins another epoch.
    pub fn list_received(
        &mut self,
        (now, wall): (Micros, Micros),
        (index, digest): (u64, u64),
        source: ListSource,
        ready: BTreeMap<u32, u16>,
    ) {
        if source == ListSource::Discovery {
            self.list_heard_at = Some(now);
        }
        let mut version = self.version();
        let went_back = source == ListSource::Discovery && index < version.list.index;
        let epoch = version.list.epoch + u32::from(went_back);
        version.list = crate::version::List { index, source, epoch, digest };
        self.ready.replace((epoch, index, digest), ready);
        if self.reconciled_list.as_ref().is_some_and(|b| b.epoch != epoch || b.index <= index) {
            self.reconciled_list = None;
        }
        if version != self.version() {
            self.close_span(now, wall, version);
        }
    }

    /// Handles a confirmation by discovery that the list has not changed.
    pub fn list_confirmed(&mut self, now: Micros) {
        self.list_heard_at = Some(now);
    }

    /// Handles a rollout status from the front's own source.
    pub fn rollout_received(&mut self, (now, wall): (Micros, Micros), rollout: RolloutStatus) {
        self.rollout_heard_at = now;
        let mut version = self.version();
        version.rollout = Some(rollout);
        let supersedes = |b: &RolloutStatus| rollout.build != b.build || !b.is_narrower_than(&rollout);
        if self.reconciled_rollout.as_ref().is_some_and(supersedes) {
            self.reconciled_rollout = None;
        }
        if version != self.version() {
            self.close_span(now, wall, version);
        }
    }

    /// Handles a reload of the front's files.
    pub fn files_reloaded(
        &mut self,
        (now, wall): (Micros, Micros),
        (config, operator, settings): (u64, u64, u64),
    ) {
        let version = Version { config, operator, settings, ..self.version() };
        if version != self.version() {
            self.close_span(now, wall, version);
        }
    }

    /// Closes the open span if that is due: at every renewal, or at the pace while neither version nor service state
    /// has changed.
    pub fn tick(&mut self, now: Micros, wall: Micros) {
        let unchanged = self.stance(now) == self.recorder.stance();
        let is_early = |pace: Micros| now.saturating_sub(self.span_closed_at) + self.fleet.renew / 2 < pace;
        if unchanged && self.fleet.paced.is_some_and(|p| is_early(p.pace)) {
            return;
        }
        let version = self.version();
        self.close_span(now, wall, version);
    }

    fn urgent_state(&self, now: Micros) -> UrgentState {
        UrgentState {
            version: self.version(),
            stance: self.stance(now),
            votes: self.planners.iter().map(|p| p.vote).collect(),
            permit: self.permit_holder.message(),
            reconciled: self.reconciled(),
        }
    }

    fn reconciled(&self) -> (u64, Option<RolloutStatus>) {
        (self.reconciled_list.as_ref().map_or(0, |b| b.index), self.reconciled_rollout)
    }

    /// Returns whether the next heartbeat to this planner must not wait for the pace.
    fn is_urgent(&self, planner: usize, now: Micros) -> bool {
        let view = &self.planners[planner];
        if view.failed_at.is_some() || view.answers_in_row < STEADY_ANSWERS {
            return true;
        }
        // Only as many planners answer as a lease needs, so the next failure would cost the lease.
        let answering = self.planners.iter().filter(|p| p.failed_at.is_none()).count();
        if answering < self.planners.len() && answering <= self.fleet.majority() {
            return true;
        }
        if mutant::active("change-waits-for-pace") {
            return false;
        }
        let has_list_update = view.wants_whole
            || view.holds.is_some_and(|held| self.own_base().is_some_and(|own| own.is_newer(&held)))
                && self.ready.delta_since(&view.holds.unwrap_or_default(), 1).is_some();
        view.needs_attention
            || has_list_update
            || self.whole_list_query.is_some_and(|a| a.0 == planner)
            || self.stance(now) != Stance::Open
            || view.acknowledged_state.as_ref() != Some(&self.urgent_state(now))
    }

    /// Returns when the next heartbeat to this planner is due. The caller must query this again in each part of a
    /// renewal, since any change may bring the heartbeat forward.
    pub fn next_heartbeat_at(&mut self, planner: usize, now: Micros) -> Micros {
        let renew = self.fleet.renew;
        let Some(paced) = self.fleet.paced else {
            return self.planners[planner].last_sent_at.map_or(0, |at| at + renew);
        };
        let is_urgent = self.is_urgent(planner, now);
        let view = &mut self.planners[planner];
        view.urgent_since = is_urgent.then(|| view.urgent_since.unwrap_or(now));
        let schedule = |p: &PlannerView| PlannerSchedule {
            last_sent_at: p.last_sent_at,
            urgent_since: p.urgent_since,
            responsive: p.failed_at.is_none(),
        };
        let schedules: Vec<PlannerSchedule> = self.planners.iter().map(schedule).collect();
        let seed = [self.incarnation, planner as u64, self.planners[planner].last_sent]
            .map(u64::to_le_bytes)
            .concat();
        heartbeat_schedule::next_due(&schedules, planner, (renew, paced.pace), crate::version::digest(&seed))
    }

    /// Returns the base of the front's own list, if it came from discovery.
    fn own_base(&self) -> Option<Base> {
        let own = self.version().list;
        (own.source == ListSource::Discovery).then(|| self.ready.base())
    }

    fn uses_deltas(&self) -> bool {
        self.fleet.paced.is_some_and(|p| p.lists == Lists::Delta)
    }

    /// Returns the planner that gets this front's spans first. It is chosen by rendezvous hashing among the planners
    /// that answer, so that the failure of another planner moves nothing.
    fn home_planner(&self) -> Option<usize> {
        let responsive =
            |n: &usize| self.planners[*n].failed_at.is_none() || mutant::active("spans-to-nobody");
        let rank = |n: &usize| {
            let planner = self.fleet.planners().nth(*n).map_or("", |p| p.name.as_str());
            crate::version::digest(format!("{}\n{planner}", self.name).as_bytes())
        };
        (0..self.planners.len()).filter(responsive).max_by_key(rank)
    }

    /// Returns the spans to send to this planner.
    fn spans_for(&self, planner: usize, now: Micros) -> Vec<Report> {
        let mut spans = self.recorder.reports_after(self.planners[planner].acked, REPORTS_PER_HEARTBEAT);
        let Some(paced) = self.fleet.paced.filter(|p| p.spans == Spans::Home) else { return spans };
        if self.home_planner() != Some(planner) {
            let min_delay = HOME_ONLY_TIME.max(HOME_ONLY_PACES * paced.pace);
            // Without this bound, a home planner that answers and then dies, or that no other planner reaches, would
            // be the only one to have a span.
            let is_overdue =
                |r: &Report| now.saturating_sub(r.span.to) > min_delay && !mutant::active("spans-to-nobody");
            spans.retain(is_overdue);
        }
        spans
    }

    /// Returns until when a majority of planners has granted a lease.
    fn lease_ends_at(&self) -> Micros {
        let mut until: Vec<Micros> = self.planners.iter().map(|p| p.lease_until).collect();
        until.sort_unstable_by(|a, b| b.cmp(a));
        until.get(self.fleet.majority() - 1).copied().unwrap_or(0)
    }

    /// Returns the slot that a majority of planners has voted this front into, if any.
    fn voted_slot(&self) -> Option<Slot> {
        let votes: Vec<Slot> = self.planners.iter().filter_map(|p| p.vote).collect();
        votes.iter().copied().find(|v| votes.iter().filter(|w| *w == v).count() >= self.fleet.majority())
    }

    /// Returns the front's service state. This must be evaluated before each request is admitted and each attempt is
    /// sent: a process that was suspended resumes with a lease that lapsed meanwhile, and nothing else has notified
    /// it yet.
    pub fn stance(&self, now: Micros) -> Stance {
        if self.voted_slot().is_some() || self.permit_holder.is_out() {
            return Stance::Out;
        }
        let until = self.lease_ends_at();
        if now < until || mutant::active("lease-unchecked") && self.has_held_lease {
            return Stance::Open;
        }
        // A front that has just started uses its own sources until its first lease could have arrived.
        if !self.has_held_lease && now < self.fleet.lease {
            return Stance::Open;
        }
        // That no planner answers is established, not assumed: a heartbeat went to every planner after the lease had
        // lapsed, and none was answered.
        let unreachable = self.planners.iter().all(|p| p.failed_at.is_some_and(|at| at >= until));
        match self.fleet.alone {
            Alone::Serve if unreachable => Stance::Alone,
            _ => Stance::Narrowed,
        }
    }

    /// Returns whether new requests may be admitted. A narrowed front whose own list was not confirmed for longer
    /// than `list_within` must not send anything, since every machine may be draining.
    pub fn admits_requests(&self, now: Micros) -> bool {
        match self.stance(now) {
            Stance::Open | Stance::Alone => true,
            Stance::Narrowed => {
                self.list_heard_at.is_none_or(|at| now.saturating_sub(at) <= self.fleet.list_within)
            }
            Stance::Out => mutant::active("out-still-serves"),
        }
    }

    /// Returns the build on trial, if any.
    pub fn build_on_trial(&self) -> Option<u16> {
        self.version().rollout.filter(|n| n.phase != 1).map(|n| n.build)
    }

    /// Returns the restrictions in force. While they stay equal, so does [`Self::excludes`] for every machine and
    /// build.
    pub fn restrictions(&self, now: Micros) -> Restrictions {
        let narrowed = self.stance(now) == Stance::Narrowed;
        Restrictions {
            trial: self.build_on_trial().filter(|_| narrowed),
            list: self.reconciled_list.as_ref().map(|r| (r.epoch, r.index, r.digest)),
        }
    }

    /// Returns whether nothing may be sent to this machine of this build now, whatever the front's own sources say.
    pub fn excludes(&self, now: Micros, machine: u32, build: u16) -> bool {
        if self.stance(now) == Stance::Narrowed && self.build_on_trial().is_some_and(|trial| build >= trial) {
            return true;
        }
        let listed = |b: &ReadyMachines| b.machines.binary_search(&(machine, build)).is_ok();
        self.reconciled_list.as_ref().is_some_and(|b| !listed(b))
    }

    /// Returns the rollout status from planners, where it is narrower than the one from the front's own source.
    pub fn restricting_rollout(&self) -> Option<RolloutStatus> {
        self.reconciled_rollout
    }

    /// Returns how long ago discovery confirmed the list and the rollout status came; since the start, if never.
    fn ages(&self, now: Micros) -> Ages {
        Ages {
            list: now - self.list_heard_at.unwrap_or(0).min(now),
            rollout: now.saturating_sub(self.rollout_heard_at),
        }
    }

    /// Builds the heartbeat to send to a planner now.
    pub fn heartbeat(&mut self, planner: usize, now: Micros) -> Heartbeat {
        let (version, stance) = (self.version(), self.stance(now));
        let list = version.list;
        let votes = self.planners.iter().map(|p| p.vote).collect();
        let reports = self.spans_for(planner, now);
        let uses_deltas = self.uses_deltas();
        let list_state = uses_deltas.then(|| {
            let (own, held) = (self.own_base(), self.planners[planner].holds);
            let is_stale = |held: &Base| own.is_some_and(|own| own.is_newer(held));
            ListState {
                holds: own.unwrap_or_default(),
                against: match self.reconciled_list {
                    Some(_) => self.relayed.base(),
                    None => own.unwrap_or_default(),
                },
                wants_whole: self.whole_list_query.is_some_and(|a| a.0 == planner),
                delta: held.filter(is_stale).and_then(|held| self.ready.delta_since(&held, 1)),
            }
        });
        let urgent_state = self.fleet.paced.map(|_| self.urgent_state(now));
        let reconciled = self.reconciled();
        let view = &mut self.planners[planner];
        view.last_sent += 1;
        // This heartbeat carries the urgent change; if the change is still unacknowledged, the urgency counts from
        // here.
        (view.last_sent_at, view.urgent_since) = (Some(now), None);
        view.pending_state = urgent_state.map(|state| (view.last_sent, state));
        let is_known = view.known_list == (list.index, list.digest) || view.known_list.0 > list.index;
        let whole = if uses_deltas { view.wants_whole } else { !is_known };
        let mut shown = version;
        if mutant::active("relay-called-own") {
            if let Some(reconciled) = &self.reconciled_list {
                (shown.list.index, shown.list.digest) = (reconciled.index, reconciled.digest);
            }
        }
        Heartbeat {
            front: self.name.clone(),
            incarnation: self.incarnation,
            number: view.last_sent,
            now,
            echo: view.echo,
            version: shown,
            ages: Ages::default(),
            reconciled,
            stance,
            votes,
            head: self.recorder.last_number(),
            permit: self.permit_holder.message(),
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

    /// Handles the failure of the heartbeat that was sent at `sent_at`.
    pub fn heartbeat_failed(&mut self, planner: usize, sent_at: Micros) {
        let view = &mut self.planners[planner];
        view.failed_at = Some(view.failed_at.unwrap_or(0).max(sent_at));
        self.whole_list_query = self.whole_list_query.filter(|a| a.0 != planner);
    }

    /// Handles a planner's answer to the heartbeat that was sent at `sent_at`.
    pub fn heartbeat_answered(
        &mut self,
        planner: usize,
        sent_at: Micros,
        now: Micros,
        answer: HeartbeatResponse,
    ) -> ResponseEffect {
        let lease = answer.lease.min(self.fleet.lease);
        let view = &mut self.planners[planner];
        if answer.number <= view.last_answered || answer.number > view.last_sent {
            return ResponseEffect::default();
        }
        (view.last_answered, view.failed_at, view.vote) = (answer.number, None, answer.vote);
        // The lease counts from when the heartbeat was sent, by this front's own clock, which is before any planner
        // granted it.
        view.lease_until = if lease > 0 { sent_at + lease } else { 0 };
        (view.acked, view.known_list) = (answer.acked, answer.known_list);
        view.answers_in_row =
            if view.echo.0 == answer.incarnation { view.answers_in_row.saturating_add(1) } else { 1 };
        view.needs_attention = answer.refetch || answer.duplicate_name || answer.permit.is_some();
        if let Some((_, state)) = view.pending_state.take_if(|s| s.0 == answer.number) {
            view.acknowledged_state = Some(state);
        }
        (view.holds, view.wants_whole) =
            answer.list.as_ref().map_or((None, false), |l| (Some(l.holds), l.wants_whole));
        view.echo = (answer.incarnation, answer.now);
        // The permit is evaluated at the present time and not at that of the heartbeat: the process may have been
        // suspended in between.
        let held = self.permit_holder.message().map_or(0, |w| w.0);
        let is_still_granted = answer.permit.as_ref().is_some_and(|p| p.number == held);
        view.ended_permit = if !is_still_granted && answer.granted >= held { held } else { 0 };
        self.permit_holder.observe(now, self.incarnation, answer.permit.as_ref(), self.fleet.lease / 2);
        // The permit was revoked by name, or has ended in the view of a majority, so the front may no longer be out
        // by it.
        if self.planners.iter().filter(|p| held > 0 && p.ended_permit == held).count()
            >= self.fleet.majority()
        {
            self.permit_holder.end_permit(now);
        }
        self.has_held_lease |= sent_at < self.lease_ends_at();
        // Spans are retained until a majority of planners has them, and every other planner that answers: planners
        // that do not answer get them from these.
        let mut acked: Vec<u64> = self.planners.iter().map(|p| p.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        let answering = self.planners.iter().filter(|p| p.failed_at.is_none()).map(|p| p.acked).min();
        self.recorder.discard_through(acked[self.fleet.majority() - 1].min(answering.unwrap_or(0)));
        let mut effect = ResponseEffect {
            restricted: false,
            refetch: answer.refetch,
            duplicate_name: answer.duplicate_name,
        };
        if mutant::active("relay-ignored") {
            return effect;
        }
        let own = self.version();
        let from_delta =
            answer.list.map(|list| self.list_from_answer(planner, now, list, answer.ready.is_some()));
        if let Some(ready) = answer.ready.or(from_delta.flatten()) {
            let newer = ready.epoch == own.list.epoch && ready.index > own.list.index;
            let held = self.reconciled_list.as_ref().is_some_and(|b| b.index >= ready.index);
            // One front with a wrong list must not empty all others: a list that removes more than half of the
            // machines at once is accepted only where at least two fronts confirm it from their own sources.
            let remaining = self
                .ready
                .machines()
                .iter()
                .filter(|(m, b)| ready.machines.binary_search(&(**m, **b)).is_ok())
                .count();
            if newer && !held && 2 * remaining < self.ready.machines().len() && ready.confirmations < 2 {
                self.rejected_shrink_count += 1;
            } else if newer && !held {
                if self.uses_deltas() {
                    let version = (ready.epoch, ready.index, ready.digest);
                    self.relayed.replace(version, ready.machines.iter().copied().collect());
                }
                self.reconciled_list = Some(ready);
                effect.restricted = true;
            }
        }
        if let (Some(rollout), Some(own_rollout)) = (answer.rollout, own.rollout) {
            let narrower = self.reconciled_rollout.is_none_or(|b| rollout.is_narrower_than(&b));
            if rollout.is_narrower_than(&own_rollout) && narrower {
                self.reconciled_rollout = Some(rollout);
                effect.restricted = true;
            }
        }
        effect
    }

    /// Applies a delta to whichever of the two lists it is based on, and returns the resulting machines.
    fn machines_after_delta(&self, delta: &Delta) -> Result<Vec<(u32, u16)>, DeltaError> {
        let broken = mutant::active("delta-on-any-base");
        let relayed = self.reconciled_list.is_some() && self.relayed.base() == delta.base && !broken;
        if relayed { &self.relayed } else { &self.ready }.machines_after(delta)
    }

    /// Derives a planner's newer list from its answer if the delta fits; otherwise asks for the whole list, from one
    /// planner at a time.
    fn list_from_answer(
        &mut self,
        planner: usize,
        now: Micros,
        list: ListState,
        has_whole: bool,
    ) -> Option<ReadyMachines> {
        let own = self.version().list;
        let known = self.reconciled_list.as_ref().map_or(0, |r| r.index).max(own.index);
        let is_newer = list.holds.epoch == own.epoch && list.holds.index > known;
        if has_whole || !is_newer {
            self.whole_list_query = self.whole_list_query.filter(|_| !has_whole && is_newer);
            return None;
        }
        if let Some(Ok(machines)) = list.delta.as_ref().map(|delta| self.machines_after_delta(delta)) {
            let delta = list.delta?;
            self.whole_list_query = None;
            let (index, epoch, digest) = (delta.to.index, delta.to.epoch, delta.to.digest);
            return Some(ReadyMachines {
                index,
                epoch,
                digest,
                confirmations: delta.confirmations,
                machines,
            });
        }
        let is_expired =
            |(_, since): (usize, Micros)| now.saturating_sub(since) > WHOLE_LIST_RENEWALS * self.fleet.renew;
        if self.whole_list_query.is_none_or(is_expired) {
            self.whole_list_query = Some((planner, now));
        }
        None
    }

    /// Returns how many lists from planners were rejected because they removed most machines.
    pub fn rejected_shrinks(&self) -> u64 {
        self.rejected_shrink_count
    }
}

impl Heartbeat {
    fn aged(self, ages: Ages) -> Self {
        Self { ages, ..self }
    }
}
