//! THE decision module. Its interface (settings, events, actions) stands in `src/interface.rs`.
//!
//! Reading order: values, state, entry point, the five guards, the list, routing, attempts; then, in modules of their own,
//! admission under overload, the judge of builds and the votes. The mechanism is `docs/design.md`'s; "departure" marks what
//! goes beyond it.

mod admission;
mod judge;
mod vote;

pub use judge::{judge_design, DEFAULT_ERROR_RATES};

use crate::accounting::*;
use crate::interface::*;
use crate::membership::lease::LeaseBasis;
use crate::membership::{Membership, MembershipCounts};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use yarrowspoke_verdict::evidence_log::Outcome;

// ---- Values (time in microseconds) ---------------------------------------------------------------
const MS: Micros = 1_000;
const TICK: Micros = 50 * MS; // housekeeping period
const START_WAIT: Micros = 1_600 * MS; // waiting window after the newest start seen (the design starts from 3 s)
const BOOT_LIMIT: Micros = 8_000 * MS; // a stage whose machines are not all seen by then is taken as up
const EFFECT_STAGE: u8 = 2; // the third stage, from which requests with an effect may go to trial
const QUEUE_FREE: f64 = 2.0; // requests that a machine is taken to serve side by side
const BUILDS_KEPT: usize = 4; // newest builds of which outcomes are kept though no machine runs them
const REACH: usize = 20; // machines of each build that one front sends to
const PUSH: f64 = 1.25; // positions that go to trial while answers are quick, over its part of capacity...
const BLIND: f64 = 0.2; // ...while this front holds fewer requests for each machine that it meets
const PROBE_FROM: f64 = 0.3; // part of the tightest aim from which answers are slow enough to ask
const PROBE_WAIT: Micros = 25 * MS; // a machine that answers a probe within this has no queue
const PROBES: (f64, f64) = (0.02, 0.05); // share of late probes that tells of queues; tries to find it out
const PACE_WEIGHT: f64 = 0.1; // weight of the newest answer in a machine's pace
const PACE_BOUND: f64 = 3.0; // most that a machine's pace is taken to exceed its kind's
const SPILL: f64 = 1.0; // in-flight per unit of size by which one build's pick must exceed the other's
const KEPT: (f64, Micros) = (0.1, 4_000 * MS); // share not connected from which those heard lately go first
const EJECT_SHARE: f64 = 0.3; // failing share of a machine's recent answers that ejects it
const EJECT_TIMES: f64 = 3.0; // ...if it is also this multiple of its build's middle machine
const MIN_MACHINE_SHARE: f64 = 0.5; // part of a build's machines that stays, and of a stage's that a list not late shows
const EJECT: (Micros, Micros) = (1_500 * MS, 8_000 * MS); // first ejection, doubling thrice; most if thin
const FAIL_WEIGHT: f64 = 0.15; // weight of the newest in shares of attempts that failed
const SILENT: (Micros, f64) = (300 * MS, 4.0); // a machine is silent after this plus so many usual times
const COLD_PART: f64 = 0.5; // part of a cold machine's bearable work that this front may send it
const LOT: (f64, f64) = (0.75, 5.0); // ...of that where lots decide, which scatter; part that one may take
const TIME_WEIGHT: f64 = 0.05; // weight of the newest answer in the usual answer time...
const ANSWER_TIME_WINDOW: Micros = 3_000 * MS; // ...or more where answers are so rare that they tell of this span only
const RATE_SPAN: Micros = 1_000 * MS; // span over which completions are counted
const UNLOADED_SHARE: f64 = 0.4; // nothing is shed while answers take less than this part of the tightest aim
const RATE_FADE: f64 = 0.985; // by which the best rate fades each tick
const CROWDED_DRAWS: usize = 6; // machines drawn for a request while answers are slow, instead of two
const BUDGET_FADE: f64 = 0.001; // by which a class's longest time to wait fades with each request
const RETRIES: (f64, f64) = (0.2, 20.0); // retry budget earned by each request; most saved up
const PARK_PART: f64 = 0.5; // part of its aim that a request waits for a machine to appear
const BACK_PART: f64 = 0.15; // part of the aim after which to come back, with up to as much again for spread
const NOMINAL_WORK: f64 = 100_000.0; // work of a request without a hint, in microseconds
const EDGE: Micros = 60 * MS; // margin on counted spans

// ---- State ---------------------------------------------------------------------------------------
/// One front: its settings, its random source and what it knows, fed by [`Front::handle`].
#[derive(Clone)]
pub struct Front {
    settings: Settings,
    rng: Pcg64Mcg,
    state: FrontState,
    alarms: [f64; 3],
    membership: Membership,
}

impl Front {
    /// A front that knows only its settings.
    pub fn new(seed: u64, s: Settings, now: Micros, out: &mut Vec<Action>) -> Self {
        let share = f64::from(s.fronts.max(1));
        let k = FrontState {
            accepted: vec![SlidingSum::default(); s.classes.len()],
            longest_waits: vec![0.0; s.classes.len()],
            tenant_quotas: s
                .tenants
                .iter()
                .map(|t| TokenBucket { tokens: t.quota_rps / share, refilled_at: now })
                .collect(),
            stage_began_at: now,
            boot_time: BOOT_LIMIT,
            late_probe_share: 1.0,
            retry_budget: TokenBucket { tokens: RETRIES.1, refilled_at: now },
            ..FrontState::default()
        };
        let membership = Membership::new(seed, &s, now);
        let mut front = Self {
            alarms: judge_design(&s).1,
            settings: s,
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: k,
            membership,
        };
        front.membership.on_tick(now, out);
        out.push(Action::Timer { name: 0, after: TICK });
        front
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        match *event {
            Event::List { kind, version, entries } => self.on_list(now, kind, version, entries),
            Event::DiscoveryAddress { discovery_id: source, moved } => {
                self.membership.on_discovery(now, source, moved)
            }
            Event::Request(ref r) => self.on_request(now, r, out),
            Event::Timer { name: 0 } => self.on_tick(now, out),
            Event::Timer { name } => self.on_probed(now, None, name - 1, out),
            Event::AttemptEnded(ref e) => self.on_outcome(now, e, out),
            Event::Complaint { machine, class, .. } => self.on_complaint(now, machine, class),
            Event::RolloutStatus(news) => self.on_rollout_status(now, news),
            Event::ClientLeft { id } => {
                self.state.requests.remove(&id);
            }
            Event::ProbeEnded { machine, outcome: ending, .. } => {
                let told = (ending == CallOutcome::Ok).then_some(machine);
                self.state
                    .requests_awaiting_probe(machine)
                    .into_iter()
                    .for_each(|id| self.on_probed(now, told, id, out));
            }
            Event::FirstByte { .. } => {}
            Event::PeerMessage { from, bytes } => self.on_message(now, from, bytes, out),
            Event::PlatformTally { .. } => self.state.ignored_events += 1,
        }
    }

    /// Events that named something unknown or made no sense.
    pub fn ignored_events(&self) -> u64 {
        self.state.ignored_events
    }

    /// What a send to `machine` would stand on now, if its line of the list may still be used.
    pub fn lease_basis(&self, now: Micros, machine: MachineId) -> Option<LeaseBasis> {
        self.membership.lease_basis(now, machine)
    }

    /// What following the list took so far.
    pub fn membership_counts(&self) -> MembershipCounts {
        self.membership.counts()
    }

    fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::Timer { name: 0, after: TICK });
        let rate = self.state.served.sum(now, RATE_SPAN) / RATE_SPAN as f64;
        self.state.best_rate = rate.max(self.state.best_rate * RATE_FADE);
        self.measure(now);
        if let Some((_, book)) = &mut self.state.evidence {
            book.close_due_blocks(now);
        }
        self.membership.on_tick(now, out);
        self.eject_silent(now);
        self.rescue(now, out);
        let parked: Vec<_> = self.state.requests.iter().filter(|r| r.1.parked).map(|r| *r.0).collect();
        parked.into_iter().for_each(|id| self.dispatch(now, id, out));
        self.cast_vote(now, out);
    }

    fn jitter(&mut self, span: Micros) -> Micros {
        self.rng.next_u64() % span.max(1)
    }

    // ---- The five guards -------------------------------------------------------------------------
    // Every send passes `may_send`, every refusal `may_refuse`.

    /// Rules 2 to 5 for one send; rule 1 is `finish` and the ledger of open requests.
    fn may_send(&self, now: Micros, r: &Request, m: &Machine) -> bool {
        now < r.deadline
            && r.attempts.len() < self.most_attempts(r)
            && m.entry.state == MachineState::Ready
            && self.membership.may_use(now, m.entry.machine)
            && self.may_repeat(now, r, m)
            && self.tie_allows(r, m)
            && self.cold_allows(now, r, m)
            && self.exposure_allows(now, r, m.entry.build)
    }

    /// Its class's effect, or a stricter one that the operators' rules state; never a looser one.
    fn effect(&self, r: &Request) -> Idempotency {
        if r.policy.at_most_once {
            Idempotency::AtMostOnce
        } else {
            self.settings.classes[r.class].idempotency
        }
    }

    fn most_attempts(&self, r: &Request) -> usize {
        r.policy.max_attempts.map_or(self.settings.max_attempts, |n| n.min(self.settings.max_attempts))
            as usize
    }

    /// Rule 2: no effect twice, and one attempt at a time where copies are barred.
    fn may_repeat(&self, now: Micros, r: &Request, m: &Machine) -> bool {
        let c = &self.settings.classes[r.class];
        r.attempts.iter().all(|a| {
            if a.in_flight && !self.settings.allows_hedging {
                return false;
            }
            match self.effect(r) {
                _ if !a.may_have_run => true,
                Idempotency::Idempotent => true,
                Idempotency::AtMostOnce => false,
                Idempotency::Keyed => {
                    in_same_dedup_group(c.dedup_scope, a, m) && now + EDGE < a.sent_at + c.dedup_window
                }
            }
        })
    }

    /// Rule 5, forward only: a key that the new build has answered goes to no earlier one.
    fn tie_allows(&self, r: &Request, m: &Machine) -> bool {
        let tied =
            self.state.key_builds.get(&r.key).filter(|_| r.key != 0 && self.settings.release.forward_only);
        tied.is_none_or(|build| m.entry.build >= *build)
    }

    /// Rule 2: a refusal promises that trying again is harmless.
    fn may_refuse(&self, now: Micros, r: &Request) -> bool {
        let c = &self.settings.classes[r.class];
        r.attempts.iter().filter(|a| a.may_have_run).all(|a| match self.effect(r) {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => false,
            Idempotency::Keyed => c.dedup_scope == DedupScope::All && now + EDGE < a.sent_at + c.dedup_window,
        })
    }

    /// Part of its full capacity that a machine surely has.
    fn warmth(&self, now: Micros, m: &Machine) -> f64 {
        let age = now.saturating_sub(m.entry.started_at);
        if m.entry.started_at == 0 || age >= self.settings.warm_up_time {
            return 1.0;
        }
        self.settings.cold_start_capacity
            + (1.0 - self.settings.cold_start_capacity) * age as f64 / self.settings.warm_up_time as f64
    }

    /// Rule 4: work sent to a cold machine stays under this front's part of what it can bear, where what warm
    /// ones serve is capacity. Danger: one request from each of hundreds of fronts pushes it over: where the
    /// part is under one, and out of reach, where none is known, a lot for each span decides.
    fn cold_allows(&self, now: Micros, r: &Request, m: &Machine) -> bool {
        let warmth = self.warmth(now, m);
        if warmth >= 1.0 {
            return true;
        }
        let span = self.settings.cold_budget_window + EDGE;
        // Danger: a kind that takes longer for the same work bears less of it than the rest.
        let pace = |kind: u8| self.state.kind_pace.get(&kind).copied().unwrap_or(1.0);
        let fastest =
            self.state.kind_pace.values().copied().fold(pace(m.entry.kind), f64::min) / pace(m.entry.kind);
        let bears = self.state.warm_work_rate
            * span as f64
            * m.entry.weight
            * warmth
            * self.settings.cold_overload_factor
            * fastest;
        let near = self.state.subset.get(&m.entry.build).filter(|r| r.contains(&m.entry.machine));
        let part = COLD_PART
            * bears
            * near.and(self.state.subset_overlap.get(&m.entry.build)).copied().unwrap_or(0.0);
        let sent = m.work_sent.sum(now, span);
        let mine = u64::from(m.entry.machine) | u64::from(self.settings.front_id) << 32;
        let lot = hash_to_unit(mine ^ (now / span) << 48);
        let fronts = f64::from(self.settings.fronts.max(1));
        // Danger: a few large requests would take all that the fronts' lots leave together.
        let fits = part <= 0.0 || r.work * LOT.1 <= part * fronts;
        sent + r.work <= part || sent == 0.0 && fits && lot < (LOT.0 * part / r.work).max(1.0 / fronts)
    }

    /// Work that a warm machine serves (not: is sent), by size and time. With none left the last figure is
    /// kept; a front that never saw one takes its work over all machines. Also each build's part of capacity.
    fn measure(&mut self, now: Micros) {
        let span = self.settings.cold_budget_window;
        let warm = || self.state.subset_machines().filter(|m| self.warmth(now, m) >= 1.0);
        let size: f64 = warm().map(|m| m.entry.weight).sum();
        let ready = || self.state.machines.values().filter(|m| m.entry.state == MachineState::Ready);
        let mut usual = self.state.warm_work_rate;
        if size > 0.0 {
            let work: f64 = warm().map(|m| m.work_served.sum(now, span)).sum();
            usual = work / size / span as f64;
        } else if usual == 0.0 {
            let taken: f64 = self.state.accepted.iter().map(|t| t.sum(now, span)).sum();
            usual = taken * NOMINAL_WORK / (ready().count().max(1) as f64 * span as f64);
        }
        let mut capacity = BTreeMap::new();
        for m in ready() {
            *capacity.entry(m.entry.build).or_insert(0.0) += self.capacity(now, m);
        }
        let stays =
            |b: &&Build| !self.settings.release.keeps_old_machines || self.exposure_cap(**b).is_none();
        let all = capacity.iter().filter(|c| stays(&c.0)).map(|c| c.1).sum::<f64>().max(f64::MIN_POSITIVE);
        let parts = capacity.into_iter().map(|(b, c)| (b, c / all)).collect();
        (self.state.warm_work_rate, self.state.capacity_shares) = (usual, parts);
        self.state.update_subset_overlap(REACH);
    }

    /// What a machine is taken to serve beside others: size, warmth, and the pace of its kind and its own.
    fn capacity(&self, now: Micros, m: &Machine) -> f64 {
        let kind = self.state.kind_pace.get(&m.entry.kind).copied().unwrap_or(1.0);
        m.entry.weight * self.warmth(now, m) / (kind * m.pace)
    }

    /// The cap that binds `build`, or `None` if it is not on trial. A build not named yet is stage 0.
    fn exposure_cap(&self, build: Build) -> Option<f64> {
        let first = self.settings.release.caps.first().copied().unwrap_or(0.0);
        let Some(news) = self.state.rollout_status else {
            return (self.state.base_build()? < build).then_some(first);
        };
        let cap = if build > news.build { first } else { news.cap };
        (build > news.build || build == news.build && news.phase != Phase::Released).then_some(cap)
    }

    fn stage(&self, build: Build) -> u8 {
        self.state.rollout_status.filter(|n| n.build == build).map_or(0, |n| n.stage)
    }

    /// Rule 5: attempts at a build on trial, over a span widened for safety, stay within free attempts plus
    /// cap times requests taken over a span narrowed for safety. A lower cap binds at once.
    fn exposure_allows(&self, now: Micros, r: &Request, build: Build) -> bool {
        let Some(cap) = self.exposure_cap(build) else { return true };
        let rel = &self.settings.release;
        let guarded = self.stage(build) < rel.guarded_stages;
        if cap <= 0.0 || guarded && self.effect(r) != Idempotency::Idempotent {
            return false;
        }
        let (mut taken, mut sent) = (0.0, 0.0);
        for c in (0..self.settings.classes.len()).filter(|c| !rel.counts_by_class || *c == r.class) {
            taken += self.state.accepted[c].sum(now, rel.exposure_window.saturating_sub(EDGE));
            sent +=
                self.state.exposure.get(&(build, c)).map_or(0.0, |t| t.sum(now, rel.exposure_window + EDGE));
        }
        sent + 1.0 <= rel.free_attempts + cap * taken
    }

    /// Rule 1: the one place that gives a final answer, at once.
    fn final_answer(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.state.requests.remove(&id) else { return };
        if self.may_refuse(now, &r) {
            let part = (self.settings.classes[r.value_class].latency_target as f64 * BACK_PART) as Micros;
            let backoff = r
                .policy
                .refuse_with_retry_after
                .unwrap_or(part + self.jitter(part))
                .min(self.settings.max_retry_after);
            out.push(Action::Refuse {
                id,
                retry_after: if self.settings.sends_retry_after { backoff } else { 0 },
            });
        } else {
            out.push(Action::Fail { id });
        }
        self.cancel_rest(id, &r, out);
    }

    fn cancel_rest(&self, id: RequestId, r: &Request, out: &mut Vec<Action>) {
        let left = (0..r.attempts.len()).filter(|k| r.attempts[*k].in_flight && self.settings.allows_cancel);
        out.extend(left.map(|k| Action::Cancel { id, attempt: k as u16 }));
    }

    // ---- Following the list ----------------------------------------------------------------------
    fn on_list(&mut self, now: Micros, kind: ListUpdate, version: u64, entries: &[MachineEntry]) {
        self.membership.on_list(now, kind, version, entries);
        match kind {
            ListUpdate::Failed | ListUpdate::Unreadable | ListUpdate::Stalled => return,
            ListUpdate::Snapshot | ListUpdate::Cached => self.state.mark_missing_gone(entries),
            ListUpdate::Delta if entries.is_empty() => return,
            ListUpdate::Delta | ListUpdate::Restricted => {}
        }
        for e in entries {
            self.state.update_machine(now, e);
        }
        self.state.evict_unused(BUILDS_KEPT);
        self.membership.retain(|m| self.state.machines.contains_key(&m));
        // Danger: a front that meets every machine of a large fleet learns nothing of any, and holds
        // connections that machines may lack. Each takes a stretch of a ring instead, overlapping.
        self.state
            .resubset(REACH, f64::from(self.settings.front_id) / f64::from(self.settings.fronts.max(1)));
        self.measure(now);
    }

    /// Another front asks, or answers, what is known of the list. Danger: anybody may write; only answers to questions of
    /// this front count, and they name no machine that its own list has not.
    fn on_message(&mut self, now: Micros, from: u32, bytes: &[u8], out: &mut Vec<Action>) {
        let k = &self.state;
        let fronts = f64::from(self.settings.fronts.max(1));
        let stretch = |front: u32| {
            let reach = k.subset_from(REACH, (f64::from(front) / fronts).fract());
            reach.into_values().rev().flatten().filter_map(|id| Some(&k.machines.get(&id)?.entry)).collect()
        };
        let listed = k.machines.values().map(|m| &m.entry).filter(|e| e.state == MachineState::Ready);
        if !self.membership.on_message(now, from, bytes, stretch, listed, out) {
            self.state.ignored_events += 1;
        }
    }

    // ---- Routing: window, in-flight ceiling, hash positions, two random choices -------------------
    fn on_request(&mut self, now: Micros, a: &Arrival, out: &mut Vec<Action>) {
        let (id, class, key) = (a.id, usize::from(a.class), a.key);
        if class >= self.settings.classes.len() {
            // Unknown class: nothing is known of its effect, so it is refused unsent.
            self.state.ignored_events += 1;
            out.push(Action::Refuse { id, retry_after: 0 });
            return;
        }
        let keep = self.settings.release.exposure_window + EDGE;
        self.state.accepted[class].add(now, 1.0, keep);
        self.state.retry_budget.tokens += RETRIES.0;
        let over = self.is_over_share(now, a.tenant as usize);
        let work = a.work_hint.filter(|h| *h > 0).map_or(NOMINAL_WORK, |h| h as f64);
        let pos = hash_to_unit(a.policy.hash_key.unwrap_or(if key == 0 { id } else { key }));
        let deadline = now + a.remaining;
        // Repeats state what is left of their time. Danger: one who states an hour makes all others seem old.
        let longest = &mut self.state.longest_waits[class];
        let stated = (a.remaining + a.policy.deadline_cut).min(self.settings.classes[class].deadline) as f64;
        *longest = (*longest - BUDGET_FADE * (*longest - stated)).max(stated);
        let aged = *longest - stated;
        let like = a
            .policy
            .value_class
            .map(usize::from)
            .filter(|c| *c < self.settings.classes.len())
            .unwrap_or(class);
        let (ruled, arrived) = (a.policy, now);
        let none = Request::default();
        let r = Request {
            class,
            value_class: like,
            policy: ruled,
            arrived_at: arrived,
            deadline,
            key,
            hash_position: pos,
            work,
            over_share: over,
            waited_before: aged,
            ..none
        };
        let admitted = r.policy.refuse_with_retry_after.is_none() && self.admits(now, &r);
        self.state.requests.insert(id, r);
        if admitted {
            self.dispatch(now, id, out);
        } else {
            self.final_answer(now, id, out);
        }
    }

    /// Sends a request to the machine that the mechanism picks; else parks it or gives it up at once.
    fn dispatch(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut r) = self.state.requests.remove(&id) else { return };
        let picked = self.route(now, &r);
        if let Some(machine) = picked {
            r.parked = false;
            if self.asks(now, &r) {
                (r.probed_machine, r.awaiting_probe) = (Some(machine), true);
                out.push(Action::Probe { machine });
                out.push(Action::Timer { name: id + 1, after: PROBE_WAIT });
                self.state.requests.insert(id, r);
                return;
            }
            self.send(now, id, r, machine, out);
            return;
        }
        let c = &self.settings.classes[r.value_class];
        let patience = r.arrived_at + (c.latency_target as f64 * PARK_PART) as Micros;
        let until = patience.min(r.deadline.saturating_sub(TICK));
        let idle = !r.attempts.iter().any(|a| a.in_flight);
        // What no machine may ever take is given up at once; the rest waits a little.
        let hope = r.attempts.len() < self.most_attempts(&r)
            && self.state.machines.values().any(|m| self.may_repeat(now, &r, m));
        r.parked = idle && hope && now < until;
        let give_up = idle && !r.parked;
        self.state.requests.insert(id, r);
        if give_up {
            self.final_answer(now, id, out);
        }
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        mut r: Request,
        machine: MachineId,
        out: &mut Vec<Action>,
    ) {
        let fall = (self.settings.cold_budget_window + EDGE).max(RATE_SPAN);
        self.state.record_send(now, id, &mut r, machine, self.settings.release.exposure_window + EDGE, fall);
        self.membership.record_send(now, machine);
        out.push(Action::Send { id, machine, timeout: 0 });
        self.state.requests.insert(id, r);
    }

    /// Departure: to a front that holds next to nothing all machines look idle. Where it may, it asks the one
    /// picked first: who answers at once has no queue. Probes that are never late tell of none.
    fn asks(&mut self, now: Micros, r: &Request) -> bool {
        let lot = hash_to_unit(self.rng.next_u64());
        let tells = self.state.late_probe_share > PROBES.0 || lot < PROBES.1;
        let fresh = r.attempts.is_empty() && r.probed_machine.is_none() && now + 4 * PROBE_WAIT < r.deadline;
        let busy = self.state.answer_time > PROBE_FROM * self.min_latency_target();
        self.settings.allows_probes && tells && fresh && busy && self.blind()
    }

    /// The machine asked has answered, or has not in time: then another is taken.
    fn on_probed(&mut self, now: Micros, told: Option<MachineId>, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.state.requests.get_mut(&id).filter(|r| r.awaiting_probe) else { return };
        r.awaiting_probe = false;
        update_average(&mut self.state.late_probe_share, TIME_WEIGHT, told.is_none());
        let Some(r) = self.state.requests.remove(&id) else { return };
        let allowed = |m: &MachineId| self.state.machines.get(m).is_some_and(|m| self.may_send(now, &r, m));
        match told.filter(allowed) {
            Some(machine) => self.send(now, id, r, machine, out),
            None => {
                self.state.requests.insert(id, r);
                self.dispatch(now, id, out);
            }
        }
    }

    /// The ordinary path of the design, with its departures marked.
    fn route(&mut self, now: Micros, r: &Request) -> Option<MachineId> {
        let builds: Vec<Build> = self.state.subset.keys().copied().collect();
        let (trial, earlier): (Vec<Build>, Vec<_>) =
            builds.iter().partition(|b| self.exposure_cap(**b).is_some());
        let turns: Vec<Build> = trial.iter().filter(|b| self.is_trial_turn(r, **b)).copied().collect();
        let e = self.draw(now, r, &earlier, false);
        let t = self.draw(now, r, &turns, e.is_some() && self.settings.release.keeps_old_machines);
        match (e, t) {
            (Some(e), Some(t)) => {
                let (le, lt) = (self.load_of(now, e), self.load_of(now, t));
                // Departure: a turn goes back when the new machine carries more; one inside its own window
                // takes a turn only when the earlier one carries clearly more.
                let waits = now < self.state.machines[&t].entry.started_at + START_WAIT;
                let take = if waits { le > lt + SPILL } else { lt <= le };
                Some(if take { t } else { e })
            }
            (Some(e), None) => Some(e),
            (None, Some(t)) => Some(t),
            // Departure: with no earlier machine left, position, ceiling and effect turns yield.
            (None, None) => self.draw(now, r, &trial, false),
        }
    }

    /// A request's turn on the build on trial: position, effect and in-flight ceiling.
    fn is_trial_turn(&self, r: &Request, build: Build) -> bool {
        let Some(cap) = self.exposure_cap(build) else { return false };
        let effect = self.effect(r) != Idempotency::Idempotent;
        let open = !effect || self.stage(build) >= self.settings.release.guarded_stages.max(EFFECT_STAGE);
        let held = self.state.in_flight_by_build.get(&build).copied().unwrap_or(0);
        let ceiling = (cap * f64::from(self.state.in_flight + 1)).ceil();
        let failed_there = r.attempts.iter().any(|a| a.build == build);
        // Departure: a front with next to nothing in flight cannot see from it that the new machines carry
        // too much: positions count only up to their part of the fleet's capacity.
        let push =
            if self.state.answer_time < UNLOADED_SHARE * self.min_latency_target() { PUSH } else { 1.0 };
        let part = if self.blind() {
            push * self.state.capacity_shares.get(&build).copied().unwrap_or(0.0)
        } else {
            1.0
        };
        open && r.hash_position < cap.min(part) && !failed_there && f64::from(held + 1) <= ceiling
    }

    /// This front holds next to nothing, so that its own work in flight tells of no queue.
    fn blind(&self) -> bool {
        f64::from(self.state.in_flight) < BLIND * self.state.subset_machines().count() as f64
    }

    /// Two random choices, drawn by capacity, by fewest in flight for it, among machines of `builds` that the
    /// guards allow. Ejected machines stand aside while others are left, then the whole fleet is asked.
    ///
    /// Danger: of a stage's machines most are cold at first, and the rest would get the turns of all: `fair`
    /// draws among all, and a turn that falls to one that may not be sent to is given back.
    fn draw(&mut self, now: Micros, r: &Request, builds: &[Build], fair: bool) -> Option<MachineId> {
        let near = builds.iter().filter_map(|b| self.state.subset.get(b)).flatten();
        let near: Vec<&Machine> = near.map(|id| &self.state.machines[id]).collect();
        let allowed = |m: &&&Machine| self.may_send(now, r, m);
        let waits = |m: &&&Machine| fair && m.entry.state == MachineState::Ready && self.warmth(now, m) < 1.0;
        let tried = |m: MachineId| r.probed_machine == Some(m) || r.attempts.iter().any(|a| a.machine == m);
        let untried = |m: &Machine| !tried(m.entry.machine);
        let good = |m: &&&Machine| untried(m) && self.sound(now, m, r) && (allowed(m) || waits(m));
        let mut of: Vec<&Machine> = near.iter().filter(good).copied().collect();
        if of.is_empty() {
            let all: Vec<_> =
                self.state.machines.values().filter(|m| builds.contains(&m.entry.build)).collect();
            of = all.iter().filter(good).copied().collect();
            if of.is_empty() {
                of = near.iter().filter(allowed).copied().collect();
            }
            if of.is_empty() {
                of = all.iter().filter(allowed).copied().collect();
            }
        }
        // Danger: where machines take few connections, a front that spreads its requests finds most shut.
        let kept = |m: &Machine| m.answered_at + KEPT.1 > now;
        if self.state.connect_failure_share > KEPT.0 && of.iter().any(|m| kept(m)) {
            of.retain(|m| kept(m));
        }
        let sizes: Vec<(MachineId, f64)> =
            of.iter().map(|m| (m.entry.machine, self.capacity(now, m))).collect();
        // Departure: while answers are slow, two draws would leave some machines idle beside others' queues.
        let draws = if self.state.answer_time < UNLOADED_SHARE * self.min_latency_target() {
            2
        } else {
            CROWDED_DRAWS
        };
        let any = self.least_loaded(now, draws, &sizes);
        // Departure: a place that the operators' rules prefer, until it carries clearly more than the rest.
        let RequestPolicy { preferred_zone: zone, preferred_kind: kind, .. } = r.policy;
        let prefers = zone.is_some() || kind.is_some();
        let e = |id: MachineId| &self.state.machines[&id].entry;
        let near = |id| zone.is_none_or(|z| z == e(id).zone) && kind.is_none_or(|k| k == e(id).kind);
        let near: Vec<_> = sizes.iter().filter(|m| prefers && near(m.0)).copied().collect();
        let near = if prefers { self.least_loaded(now, draws, &near) } else { None };
        let near = near.filter(|p| any.is_none_or(|a| self.load_of(now, *p) <= self.load_of(now, a) + SPILL));
        near.or(any).filter(|id| !fair || self.may_send(now, r, &self.state.machines[id]))
    }

    fn least_loaded(&mut self, now: Micros, draws: usize, of: &[(MachineId, f64)]) -> Option<MachineId> {
        let drawn = (0..draws).filter_map(|_| pick_weighted(of, hash_to_unit(self.rng.next_u64())));
        let drawn: Vec<MachineId> = drawn.collect();
        drawn.into_iter().min_by(|a, b| self.load_of(now, *a).total_cmp(&self.load_of(now, *b)))
    }

    fn sound(&self, now: Micros, m: &Machine, r: &Request) -> bool {
        let repeatable = self.effect(r) == Idempotency::Idempotent;
        // Earlier machines leave after a release, whatever an old list says: those that linger look idle.
        let released =
            self.state.rollout_status.filter(|n| n.phase == Phase::Released && m.entry.build < n.build);
        let superseded = released.is_some_and(|n| !self.list_is_behind(n.build));
        let taken_off = superseded || self.state.withdrawn_builds.contains(&m.entry.build);
        let half_open = now >= m.ejected_until && m.in_flight == 0 && repeatable;
        !taken_off && (m.ejections == 0 || half_open)
    }

    fn load_of(&self, now: Micros, id: MachineId) -> f64 {
        let m = &self.state.machines[&id];
        f64::from(m.in_flight) / self.capacity(now, m)
    }

    // ---- Attempts: outcomes, ejection, further attempts --------------------------------------------
    fn on_outcome(&mut self, now: Micros, e: &AttemptEnd, out: &mut Vec<Action>) {
        let (id, attempt, ending) = (e.id, e.attempt, e.outcome);
        let Some(o) = self.state.record_end(id, attempt) else { return };
        self.note_machine(now, &o, e);
        if ending == CallOutcome::Ok {
            self.state.complaints.entry(o.build).or_default().answers += 1.0;
            self.state.served.add(now, 1.0, RATE_SPAN);
            self.note_time(now, e.duration as f64, o.work);
        }
        // Danger: where most attempts end unanswered, those that are answered in time tell of luck only.
        let unheard = matches!(ending, CallOutcome::Timeout | CallOutcome::Rejected);
        if unheard || ending == CallOutcome::Ok {
            update_average(&mut self.state.unanswered_share, FAIL_WEIGHT, unheard);
        }
        if unheard && self.state.unanswered_share > MIN_MACHINE_SHARE {
            self.note_time(now, self.settings.classes[o.class].deadline as f64, o.work);
        }
        if e.request_done {
            if let Some(mut r) = self.state.requests.remove(&id) {
                r.attempts.iter_mut().skip(attempt.into()).take(1).for_each(|a| a.in_flight = false);
                if ending == CallOutcome::Ok && r.key != 0 && self.settings.release.forward_only {
                    self.state.key_builds.insert(r.key, o.build);
                }
                self.cancel_rest(id, &r, out);
            }
            return;
        }
        let Some(r) = self.state.requests.get_mut(&id) else { return };
        if let Some(a) = r.attempts.get_mut(usize::from(attempt)) {
            a.in_flight = false;
            a.may_have_run =
                !matches!(ending, CallOutcome::Rejected | CallOutcome::ConnectFailed | CallOutcome::NotSent);
        }
        if r.attempts.iter().any(|a| a.in_flight) {
            return;
        }
        // What never ran cost its machine next to nothing: the retry budget is for work done again.
        let unseen = matches!(ending, CallOutcome::Rejected | CallOutcome::ConnectFailed);
        if now >= r.deadline || !unseen && !self.state.retry_budget.try_take(now, 0.0, RETRIES.1) {
            return self.final_answer(now, id, out);
        }
        self.dispatch(now, id, out);
    }

    /// The usual answer time and work; a front that hears little goes by the last seconds, not by answers.
    fn note_time(&mut self, now: Micros, took: f64, work: f64) {
        let since = now.saturating_sub(self.state.answered_at) as f64;
        let rare = (since / (since + ANSWER_TIME_WINDOW as f64)).max(TIME_WEIGHT);
        let weight = if self.state.answered_at == 0 { 1.0 } else { rare };
        self.state.answer_time += weight * (took - self.state.answer_time);
        self.state.answer_work += weight * (work - self.state.answer_work);
        self.state.answered_at = now;
    }

    fn note_machine(&mut self, now: Micros, o: &InFlightAttempt, e: &AttemptEnd) {
        let ending = e.outcome;
        let Some(m) = self.state.machines.get_mut(&o.machine) else { return };
        m.in_flight = m.in_flight.saturating_sub(1);
        if matches!(ending, CallOutcome::Cancelled | CallOutcome::NotSent) || m.entry.build != o.build {
            return;
        }
        if matches!(ending, CallOutcome::Ok | CallOutcome::Error | CallOutcome::Rejected) {
            (m.silent_since, m.answered_at) = (now, now);
        }
        update_average(
            &mut self.state.connect_failure_share,
            FAIL_WEIGHT,
            ending == CallOutcome::ConnectFailed,
        );
        m.work_served.add(
            now,
            if ending == CallOutcome::Ok { o.work } else { 0.0 },
            self.settings.cold_budget_window,
        );
        update_average(&mut m.failure_share, FAIL_WEIGHT, ending != CallOutcome::Ok);
        if ending == CallOutcome::ConnectFailed {
            m.answered_at = 0;
            m.failure_share = m.failure_share.max(EJECT_SHARE) + FAIL_WEIGHT;
        }
        if ending == CallOutcome::Ok && m.ejections > 0 && now >= m.ejected_until {
            m.failure_share *= 0.5;
            if m.failure_share < EJECT_SHARE {
                m.ejections = 0;
            }
        }
        let (zone, kind, started) = (m.entry.zone, m.entry.kind, m.entry.started_at);
        // Judged on warm machines only; a silent, dead or unreachable machine is no fault of its build.
        let warm = started == 0 || o.sent_at >= started + START_WAIT.min(self.settings.warm_up_time);
        if warm && matches!(ending, CallOutcome::Ok | CallOutcome::Error) {
            let (class, ok) = (o.class, ending == CallOutcome::Ok);
            let timed = ok && (started == 0 || o.sent_at >= started + self.settings.warm_up_time);
            // A reported service time holds no waiting; from our own answers the queue met is taken out.
            let own = timed.then_some(e.duration as f64 / o.work / (o.queue_length / QUEUE_FREE).max(1.0));
            if let Some(own) = own {
                let usual = self.state.kind_pace.entry(kind).or_insert(own);
                *usual += TIME_WEIGHT * (own - *usual);
                let apart = (own / usual.max(f64::MIN_POSITIVE)).min(PACE_BOUND);
                m.pace += PACE_WEIGHT * (apart - m.pace);
            }
            // Reports smooth over the past: for a while a machine's still tell of its cold time.
            let settled = o.sent_at >= started + 3 * self.settings.warm_up_time / 2;
            let answers = self.settings.report_source == ReportSource::Responses && timed && settled;
            let service = load_value(&self.settings.report_fields, e.load_report, LoadField::MeanServiceMs);
            let reported = service.filter(|_| answers);
            let (machine, failed, age) = (o.machine, !ok, o.sent_at.saturating_sub(started));
            let outcome = Outcome {
                at: now,
                machine,
                zone,
                kind,
                age,
                class,
                failed,
                reported_time: reported,
                measured_pace: own,
            };
            self.record_evidence(o.build, &outcome);
        }
        // Danger: links that break now and then on all machines must not eject them all; dead ones refuse.
        self.eject_failing(now, o.machine, ending == CallOutcome::ConnectFailed);
    }

    fn on_complaint(&mut self, now: Micros, machine: MachineId, class: u8) {
        let class = usize::from(class);
        let Some(m) = self.state.machines.get(&machine).filter(|_| class < self.settings.classes.len())
        else {
            self.state.ignored_events += 1;
            return;
        };
        let (build, zone, kind, age) =
            (m.entry.build, m.entry.zone, m.entry.kind, now.saturating_sub(m.entry.started_at));
        self.state.complaints.entry(build).or_default().record(machine);
        let (at, failed, reported, own) = (now, true, None, None);
        let outcome = Outcome {
            at,
            machine,
            zone,
            kind,
            age,
            class,
            failed,
            reported_time: reported,
            measured_pace: own,
        };
        self.record_evidence(build, &outcome);
    }

    /// Ejects a machine that fails far more than the middle machine of its build: one sick machine is no
    /// fault of the build, and a fault of the build is not cured by ejecting all its machines.
    fn eject_failing(&mut self, now: Micros, id: MachineId, unreachable: bool) {
        let m = &self.state.machines[&id];
        if m.failure_share < EJECT_SHARE || now < m.ejected_until {
            return;
        }
        let peers: Vec<&Machine> =
            self.state.subset_machines().filter(|o| o.entry.build == m.entry.build).collect();
        let middle = median(&mut peers.iter().map(|o| o.failure_share).collect::<Vec<_>>()).unwrap_or(0.0);
        let stood = peers.iter().filter(|o| now >= o.ejected_until).count();
        let spare = stood as f64 > MIN_MACHINE_SHARE * peers.len() as f64;
        // Unreachable machines are no use whatever their build's others do: the list may be long out of date.
        if m.failure_share > EJECT_TIMES * middle.max(self.state.failure_share) && spare || unreachable {
            self.eject(now, id, unreachable);
        }
    }

    fn eject(&mut self, now: Micros, id: MachineId, mute: bool) {
        // Danger: a thin front comes by so seldom that a short ejection is over before it would matter.
        let window = self.settings.release.exposure_window;
        let taken: f64 = self.state.accepted.iter().map(|t| t.sum(now, window)).sum();
        let turn = (self.state.subset_machines().count() as f64 * window as f64 / (taken + 1.0)) as Micros;
        let base = if mute { EJECT.0.max(turn.min(EJECT.1)) } else { EJECT.0 };
        let spread = self.jitter(base / 4);
        let Some(m) = self.state.machines.get_mut(&id) else { return };
        m.ejected_until = now + base * (1 << m.ejections.min(3)) + spread;
        m.ejections += 1;
    }

    /// Ejects machines that hold work and have answered nothing for long: hung, dead, cut off or paused.
    fn eject_silent(&mut self, now: Micros) {
        let usual =
            if self.state.answered_at == 0 { self.min_latency_target() } else { self.state.answer_time };
        let limit = SILENT.0 + (SILENT.1 * usual) as Micros;
        let silent = |m: &&Machine| m.in_flight > 0 && now > m.silent_since + limit && now >= m.ejected_until;
        let ids: Vec<_> = self.state.machines.values().filter(silent).map(|m| m.entry.machine).collect();
        ids.into_iter().for_each(|id| self.eject(now, id, true));
    }

    /// Requests held by an ejected or gone machine go elsewhere where their class allows.
    fn rescue(&mut self, now: Micros, out: &mut Vec<Action>) {
        let stuck = |a: &Attempt| {
            let m = &self.state.machines[&a.machine];
            a.in_flight
                && (m.entry.state == MachineState::Gone || m.ejections > 0 && now > a.sent_at + SILENT.0)
        };
        let movable = |r: &Request| {
            self.effect(r) != Idempotency::AtMostOnce
                && r.attempts.last().is_some_and(stuck)
                && r.attempts.iter().filter(|a| a.in_flight).count() == 1
        };
        let ids: Vec<_> = self.state.requests.iter().filter(|r| movable(r.1)).map(|r| *r.0).collect();
        for id in ids {
            if self.settings.allows_hedging {
                if self.state.retry_budget.try_take(now, 0.0, RETRIES.1) {
                    self.dispatch(now, id, out);
                }
            } else if self.settings.allows_cancel
                && self.state.requests[&id].attempts.len() < self.most_attempts(&self.state.requests[&id])
            {
                let attempt = self.state.requests[&id].attempts.len() as u16 - 1;
                out.push(Action::Cancel { id, attempt });
            }
        }
    }
}
