//! The decision module. Its interface (settings, events, actions) is defined in `src/interface.rs`.
//!
//! Reading order: constants, state, entry point, the five guards, the list of machines, routing, attempts; then, in
//! modules of their own, admission under overload, shutdown, the judge of builds and the votes. The mechanism is described in
//! `docs/design.md`; comments that begin with "Beyond the design" mark what was added to it.
//!
//! The five rules that comments cite by number:
//!
//! 1. Every request gets exactly one final answer in time.
//! 2. No effect runs twice.
//! 3. Nothing is sent to draining or removed machines.
//! 4. Cold machines are not overloaded.
//! 5. The exposure of a build on trial stays within its cap.

mod admission;
pub mod forward_only;
mod judge;
mod shutdown;
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

// ---- Constants -----------------------------------------------------------------------------------
/// One millisecond, in microseconds.
const MS: Micros = 1_000;
/// Period of the housekeeping timer, in microseconds.
const TICK: Micros = 50 * MS;
/// Waiting time after the newest machine start seen, in microseconds (the design begins with 3 s).
const START_WAIT: Micros = 1_600 * MS;
/// Time in microseconds after which a stage counts as up although not all of its machines have been seen.
const BOOT_LIMIT: Micros = 8_000 * MS;
/// Stage, counted from 0, from which requests that are not idempotent may go to the build on trial: the third.
const NON_IDEMPOTENT_STAGE: u8 = 2;
/// Number of requests that a machine is taken to serve concurrently.
const MACHINE_CONCURRENCY: f64 = 2.0;
/// Number of newest builds whose outcomes are kept although no machine runs them.
const BUILDS_KEPT: usize = 4;
/// Number of machines of each build that one front sends to.
const SUBSET_SIZE: usize = 20;
/// Factor over the trial's capacity share up to which hash positions go to it while answers are quick.
const TRIAL_PUSH: f64 = 1.25;
/// Requests in flight per machine of the subset below which a front cannot infer queues from its own requests.
const LITTLE_IN_FLIGHT: f64 = 0.2;
/// Fraction of the shortest latency target from which answers are slow enough to probe before sending.
const PROBE_ANSWER_TIME_SHARE: f64 = 0.3;
/// Time in microseconds within which a machine that has no queue answers a probe.
const PROBE_WAIT: Micros = 25 * MS;
/// Share of late probes above which probes indicate queues.
const LATE_PROBE_SHARE: f64 = 0.02;
/// Share of requests that are probed below that threshold, to find out whether probes indicate queues.
const EXPLORATORY_PROBE_SHARE: f64 = 0.05;
/// Weight of the newest answer in the average pace of a machine.
const PACE_WEIGHT: f64 = 0.1;
/// Greatest factor by which a machine's pace is taken to exceed that of its kind.
const MAX_RELATIVE_PACE: f64 = 3.0;
/// Attempts in flight per unit of capacity by which one choice must exceed the other before it is passed over.
const LOAD_MARGIN: f64 = 1.0;
/// Share of attempts without a connection above which machines that answered recently are preferred.
const CONNECT_FAILURE_SHARE: f64 = 0.1;
/// Age in microseconds up to which an answer counts as recent for that preference.
const RECENT_ANSWER_WINDOW: Micros = 4_000 * MS;
/// Share of failures among a machine's recent answers at which it may be ejected.
const EJECTION_FAILURE_SHARE: f64 = 0.3;
/// Factor by which that share must also exceed the median machine of the build.
const EJECTION_FAILURE_RATIO: f64 = 3.0;
/// Least share of a build's machines that stays in service, and of a stage's machines that an up-to-date list shows.
const MIN_MACHINE_SHARE: f64 = 0.5;
/// Length of a first ejection in microseconds; it doubles up to three times.
const EJECTION_TIME: Micros = 1_500 * MS;
/// Greatest base length of an ejection, in microseconds, at a front with little traffic.
const MAX_EJECTION_BASE: Micros = 8_000 * MS;
/// Weight of the newest attempt in averages of failure shares.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time in microseconds without an answer after which a machine counts as silent, apart from the multiple below.
const SILENCE_MIN: Micros = 300 * MS;
/// Multiple of the usual answer time that is added to [`SILENCE_MIN`].
const SILENCE_ANSWER_TIMES: f64 = 4.0;
/// Share of the work that a cold machine can bear which this front may send it.
const COLD_SHARE: f64 = 0.5;
/// Factor on that share where random draws decide, because the number of draws that win varies.
const COLD_DRAW_SHARE: f64 = 0.75;
/// Number of requests of the same size that all fronts' budgets together must hold for one to be sent by a draw.
const COLD_DRAW_REQUESTS: f64 = 5.0;
/// Least weight of the newest answer in the average answer time.
const ANSWER_TIME_WEIGHT: f64 = 0.05;
/// Time in microseconds that the average answer time covers where answers are rare: each then has a greater weight.
const ANSWER_TIME_WINDOW: Micros = 3_000 * MS;
/// Window in microseconds over which completions are counted.
const RATE_WINDOW: Micros = 1_000 * MS;
/// Fraction of the shortest latency target below which answers are quick and nothing is shed.
const UNLOADED_SHARE: f64 = 0.4;
/// Factor by which the best completion rate decays in each tick.
const BEST_RATE_DECAY: f64 = 0.985;
/// Number of machines drawn for a request while answers are slow, instead of two.
const SLOW_DRAWS: usize = 6;
/// Fraction by which the longest wait of a class decays towards the current one with each request.
const LONGEST_WAIT_DECAY: f64 = 0.001;
/// Retry tokens that each request adds to the retry budget.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
/// Greatest number of tokens in the retry budget.
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Fraction of its latency target that a request waits for a machine to become available.
const PARK_SHARE: f64 = 0.5;
/// Fraction of the latency target after which a refused client should retry, with up to as much again as jitter.
const RETRY_AFTER_SHARE: f64 = 0.15;
/// Work of a request without a hint, in microseconds.
const NOMINAL_WORK: f64 = 100_000.0;
/// Safety margin on sliding windows, in microseconds.
const WINDOW_MARGIN: Micros = 60 * MS;

// ---- State ---------------------------------------------------------------------------------------
/// One front: its settings, its random number generator and its state, driven by [`Front::handle`].
#[derive(Clone)]
pub struct Front {
    settings: Settings,
    rng: Pcg64Mcg,
    state: FrontState,
    alarm_bounds: [f64; 3],
    membership: Membership,
}

impl Front {
    /// Returns a front that has only its settings.
    pub fn new(seed: u64, settings: Settings, now: Micros, out: &mut Vec<Action>) -> Self {
        let fronts = f64::from(settings.fronts.max(1));
        let state = FrontState {
            accepted: vec![SlidingSum::default(); settings.classes.len()],
            longest_waits: vec![0.0; settings.classes.len()],
            tenant_quotas: settings
                .tenants
                .iter()
                .map(|t| TokenBucket { tokens: t.quota_rps / fronts, refilled_at: now })
                .collect(),
            stage_began_at: now,
            boot_time: BOOT_LIMIT,
            late_probe_share: 1.0,
            retry_budget: TokenBucket { tokens: MAX_RETRY_TOKENS, refilled_at: now },
            ..FrontState::default()
        };
        let membership = Membership::new(seed, &settings, now);
        let mut front = Self {
            alarm_bounds: judge_design(&settings).1,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            state,
            membership,
        };
        front.membership.on_tick(now, out);
        out.push(Action::Timer { name: 0, after: TICK });
        front
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        match *event {
            Event::List { kind, version, as_of, entries } => {
                self.membership.on_list(now, as_of, kind, version, entries);
                self.on_list(now, kind, entries);
            }
            Event::UndecodedMachines(machines) => self.membership.on_undecoded(machines),
            Event::DiscoveryAddress { discovery_id, moved } => {
                self.membership.on_discovery(now, discovery_id, moved)
            }
            Event::Request(ref arrival) => self.on_request(now, arrival, out),
            Event::Timer { name: 0 } => self.on_tick(now, out),
            Event::Timer { name } => self.on_probe_result(now, None, name - 1, out),
            Event::AttemptEnded(ref end) => self.on_attempt_ended(now, end, out),
            Event::Complaint { machine, class, .. } => self.on_complaint(now, machine, class),
            Event::RolloutStatus(status) => self.on_rollout_status(now, status),
            Event::ClientLeft { id } => {
                self.state.requests.remove(&id);
            }
            Event::ProbeEnded { machine, outcome, .. } => {
                let answered = (outcome == CallOutcome::Ok).then_some(machine);
                self.state
                    .requests_awaiting_probe(machine)
                    .into_iter()
                    .for_each(|id| self.on_probe_result(now, answered, id, out));
            }
            Event::Shutdown { remaining } => self.on_shutdown(now, remaining),
            Event::FirstByte { .. } => {}
            Event::PeerMessage { from, bytes } => self.on_peer_message(now, from, bytes, out),
            Event::PlatformTally { .. } => self.state.ignored_events += 1,
        }
    }

    /// Returns the number of events that named something unknown or were invalid.
    pub fn ignored_events(&self) -> u64 {
        self.state.ignored_events
    }

    /// Returns the basis of the lease on which a send to `machine` would rely now, if its list entry may still be used.
    pub fn lease_basis(&self, now: Micros, machine: MachineId) -> Option<LeaseBasis> {
        self.membership.lease_basis(now, machine)
    }

    /// Returns the counters of what following the list has taken so far.
    pub fn membership_counts(&self) -> MembershipCounts {
        self.membership.counts()
    }

    fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::Timer { name: 0, after: TICK });
        let rate = self.state.served.sum(now, RATE_WINDOW) / RATE_WINDOW as f64;
        self.state.best_rate = rate.max(self.state.best_rate * BEST_RATE_DECAY);
        self.update_capacity(now);
        if let Some((_, evidence)) = &mut self.state.evidence {
            evidence.close_due_blocks(now);
        }
        self.membership.on_tick(now, out);
        self.eject_silent(now);
        self.move_stuck_requests(now, out);
        let parked: Vec<_> = self.state.requests.iter().filter(|r| r.1.parked).map(|r| *r.0).collect();
        parked.into_iter().for_each(|id| self.dispatch(now, id, out));
        self.cast_vote(now, out);
    }

    fn jitter(&mut self, span: Micros) -> Micros {
        self.rng.next_u64() % span.max(1)
    }

    // ---- The five guards -------------------------------------------------------------------------
    // Every send passes `may_send`, every refusal `may_refuse`.

    /// Checks rules 2 to 5 for one send. Rule 1 is kept by `final_answer` and the map of open requests.
    fn may_send(&self, now: Micros, request: &Request, machine: &Machine) -> bool {
        now < request.deadline
            && request.attempts.len() < self.max_attempts(request)
            && machine.entry.state == MachineState::Ready
            && self.membership.may_use(now, machine.entry.machine)
            && self.may_repeat(now, request, machine)
            && self.key_allows(request, machine)
            && self.cold_budget_allows(now, request, machine)
            && self.exposure_allows(now, request, machine.entry.build)
    }

    /// Returns the idempotency of the request's class, or the stricter one that an operators' rule sets. A rule never
    /// loosens it.
    fn idempotency(&self, request: &Request) -> Idempotency {
        if request.policy.at_most_once {
            Idempotency::AtMostOnce
        } else {
            self.settings.classes[request.class].idempotency
        }
    }

    fn max_attempts(&self, request: &Request) -> usize {
        request.policy.max_attempts.map_or(self.settings.max_attempts, |n| n.min(self.settings.max_attempts))
            as usize
    }

    /// Rule 2: no effect runs twice, and only one attempt is in flight where hedging is not allowed.
    fn may_repeat(&self, now: Micros, request: &Request, machine: &Machine) -> bool {
        let class = &self.settings.classes[request.class];
        request.attempts.iter().all(|a| {
            if a.in_flight && !self.settings.allows_hedging {
                return false;
            }
            match self.idempotency(request) {
                _ if !a.may_have_run => true,
                Idempotency::Idempotent => true,
                Idempotency::AtMostOnce => false,
                Idempotency::Keyed => {
                    in_same_dedup_group(class.dedup_scope, a, machine)
                        && now + WINDOW_MARGIN < a.sent_at + class.dedup_window
                }
            }
        })
    }

    /// Rule 2: a refusal tells the client that a retry is harmless.
    fn may_refuse(&self, now: Micros, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        request.attempts.iter().filter(|a| a.may_have_run).all(|a| match self.idempotency(request) {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => false,
            Idempotency::Keyed => {
                class.dedup_scope == DedupScope::All && now + WINDOW_MARGIN < a.sent_at + class.dedup_window
            }
        })
    }

    /// Returns the fraction of its full capacity that a machine is certain to have.
    fn warm_fraction(&self, now: Micros, machine: &Machine) -> f64 {
        let age = now.saturating_sub(machine.entry.started_at);
        if machine.entry.started_at == 0 || age >= self.settings.warm_up_time {
            return 1.0;
        }
        self.settings.cold_start_capacity
            + (1.0 - self.settings.cold_start_capacity) * age as f64 / self.settings.warm_up_time as f64
    }

    /// Rule 4: the work sent to a cold machine stays below this front's share of what the machine can bear, where the
    /// work that warm machines serve is taken as their capacity.
    ///
    /// One request from each of hundreds of fronts would overload the machine. Where this front's share is less than
    /// one request, and for machines outside the subset, for which no share is known, a random draw for each window
    /// decides.
    fn cold_budget_allows(&self, now: Micros, request: &Request, machine: &Machine) -> bool {
        let warm_fraction = self.warm_fraction(now, machine);
        if warm_fraction >= 1.0 {
            return true;
        }
        let window = self.settings.cold_budget_window + WINDOW_MARGIN;
        // A kind of machine that takes longer for the same work can bear less of it than the others.
        let pace = |kind: u8| self.state.kind_pace.get(&kind).copied().unwrap_or(1.0);
        let relative_speed = self.state.kind_pace.values().copied().fold(pace(machine.entry.kind), f64::min)
            / pace(machine.entry.kind);
        let bearable = self.state.warm_work_rate
            * window as f64
            * machine.entry.weight
            * warm_fraction
            * self.settings.cold_overload_factor
            * relative_speed;
        let in_subset =
            self.state.subset.get(&machine.entry.build).filter(|s| s.contains(&machine.entry.machine));
        let budget = COLD_SHARE
            * bearable
            * in_subset.and(self.state.subset_overlap.get(&machine.entry.build)).copied().unwrap_or(0.0);
        let sent = machine.work_sent.sum(now, window);
        let machine_and_front = u64::from(machine.entry.machine) | u64::from(self.settings.front_id) << 32;
        let draw = hash_to_unit(machine_and_front ^ (now / window) << 48);
        let fronts = f64::from(self.settings.fronts.max(1));
        // Without this limit, a few large requests would use up all the work that the draws of all fronts together allow.
        let fits = budget <= 0.0 || request.work * COLD_DRAW_REQUESTS <= budget * fronts;
        sent + request.work <= budget
            || sent == 0.0 && fits && draw < (COLD_DRAW_SHARE * budget / request.work).max(1.0 / fronts)
    }

    /// Updates the work rate of warm machines, by size and time, and each build's share of the capacity.
    ///
    /// The rate counts work served, not work sent. While no machine is warm, the last rate is kept; a front that has
    /// never had a warm machine divides its work by all ready machines.
    fn update_capacity(&mut self, now: Micros) {
        let window = self.settings.cold_budget_window;
        let warm = || self.state.subset_machines().filter(|m| self.warm_fraction(now, m) >= 1.0);
        let warm_size: f64 = warm().map(|m| m.entry.weight).sum();
        let ready = || self.state.machines.values().filter(|m| m.entry.state == MachineState::Ready);
        let mut work_rate = self.state.warm_work_rate;
        if warm_size > 0.0 {
            let work: f64 = warm().map(|m| m.work_served.sum(now, window)).sum();
            work_rate = work / warm_size / window as f64;
        } else if work_rate == 0.0 {
            let accepted: f64 = self.state.accepted.iter().map(|t| t.sum(now, window)).sum();
            work_rate = accepted * NOMINAL_WORK / (ready().count().max(1) as f64 * window as f64);
        }
        let mut capacity = BTreeMap::new();
        for machine in ready() {
            *capacity.entry(machine.entry.build).or_insert(0.0) += self.capacity(now, machine);
        }
        let counts =
            |b: &&Build| !self.settings.release.keeps_old_machines || self.exposure_cap(**b).is_none();
        let total = capacity.iter().filter(|c| counts(&c.0)).map(|c| c.1).sum::<f64>().max(f64::MIN_POSITIVE);
        let shares = capacity.into_iter().map(|(b, c)| (b, c / total)).collect();
        (self.state.warm_work_rate, self.state.capacity_shares) = (work_rate, shares);
        self.state.update_subset_overlap(SUBSET_SIZE);
    }

    /// Returns what a machine is expected to serve relative to others, from its size, its warm-up, the pace of its kind
    /// and its own pace.
    fn capacity(&self, now: Micros, machine: &Machine) -> f64 {
        let kind_pace = self.state.kind_pace.get(&machine.entry.kind).copied().unwrap_or(1.0);
        machine.entry.weight * self.warm_fraction(now, machine) / (kind_pace * machine.pace)
    }

    /// Returns the exposure cap of `build`, or `None` if it is not on trial. A build that no rollout status has named
    /// yet counts as in stage 0.
    fn exposure_cap(&self, build: Build) -> Option<f64> {
        let first_cap = self.settings.release.caps.first().copied().unwrap_or(0.0);
        let Some(status) = self.state.rollout_status else {
            return (self.state.base_build()? < build).then_some(first_cap);
        };
        let cap = if build > status.build { first_cap } else { status.cap };
        (build > status.build || build == status.build && status.phase != Phase::Released).then_some(cap)
    }

    fn stage_of(&self, build: Build) -> u8 {
        self.state.rollout_status.filter(|s| s.build == build).map_or(0, |s| s.stage)
    }

    /// Rule 5: the attempts sent to a build on trial, in a window widened for safety, stay within the free attempts plus
    /// the cap times the requests accepted in a window narrowed for safety. A lower cap takes effect at once.
    fn exposure_allows(&self, now: Micros, request: &Request, build: Build) -> bool {
        let Some(cap) = self.exposure_cap(build) else { return true };
        let release = &self.settings.release;
        let guarded = self.stage_of(build) < release.guarded_stages;
        if cap <= 0.0 || guarded && self.idempotency(request) != Idempotency::Idempotent {
            return false;
        }
        let (mut accepted, mut sent) = (0.0, 0.0);
        for class in
            (0..self.settings.classes.len()).filter(|c| !release.counts_by_class || *c == request.class)
        {
            accepted +=
                self.state.accepted[class].sum(now, release.exposure_window.saturating_sub(WINDOW_MARGIN));
            sent += self
                .state
                .exposure
                .get(&(build, class))
                .map_or(0.0, |t| t.sum(now, release.exposure_window + WINDOW_MARGIN));
        }
        sent + 1.0 <= release.free_attempts + cap * accepted
    }

    /// Rule 1: gives the final answer to an open request, at once. No other function refuses or fails an open request.
    fn final_answer(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.remove(&id) else { return };
        if self.may_refuse(now, &request) {
            let base = (self.settings.classes[request.value_class].latency_target as f64 * RETRY_AFTER_SHARE)
                as Micros;
            let retry_after = request
                .policy
                .refuse_with_retry_after
                .unwrap_or(base + self.jitter(base))
                .min(self.settings.max_retry_after);
            out.push(Action::Refuse {
                id,
                retry_after: if self.settings.sends_retry_after { retry_after } else { 0 },
            });
        } else {
            out.push(Action::Fail { id });
        }
        self.cancel_remaining(id, &request, out);
    }

    fn cancel_remaining(&self, id: RequestId, request: &Request, out: &mut Vec<Action>) {
        let remaining = (0..request.attempts.len())
            .filter(|n| request.attempts[*n].in_flight && self.settings.allows_cancel);
        out.extend(remaining.map(|n| Action::Cancel { id, attempt: n as u16 }));
    }

    // ---- Following the list ----------------------------------------------------------------------
    fn on_list(&mut self, now: Micros, kind: ListUpdate, entries: &[MachineEntry]) {
        match kind {
            ListUpdate::Failed | ListUpdate::Unreadable | ListUpdate::Stalled => return,
            ListUpdate::Snapshot | ListUpdate::Cached => self.state.mark_missing_gone(entries),
            ListUpdate::Delta if entries.is_empty() => return,
            ListUpdate::Delta | ListUpdate::Restricted => {}
        }
        for entry in entries {
            self.state.update_machine(now, entry);
        }
        self.state.evict_unused(BUILDS_KEPT);
        self.membership.retain(|m| self.state.machines.contains_key(&m));
        // A front that sends to every machine of a large fleet learns nothing about any of them, and holds connections
        // that the machines may lack. Each front uses a section of a hash ring instead; the sections overlap.
        self.state.resubset(
            SUBSET_SIZE,
            f64::from(self.settings.front_id) / f64::from(self.settings.fronts.max(1)),
        );
        self.update_capacity(now);
    }

    /// Handles a query or an answer of another front about the list. Anybody may send such a message, so only answers to
    /// queries of this front count, and they cannot add a machine that its own list does not have.
    fn on_peer_message(&mut self, now: Micros, from: u32, bytes: &[u8], out: &mut Vec<Action>) {
        let state = &self.state;
        let fronts = f64::from(self.settings.fronts.max(1));
        let subset_of = |front: u32| {
            let subset = state.subset_from(SUBSET_SIZE, (f64::from(front) / fronts).fract());
            subset
                .into_values()
                .rev()
                .flatten()
                .filter_map(|id| Some(&state.machines.get(&id)?.entry))
                .collect()
        };
        let ready = state.machines.values().map(|m| &m.entry).filter(|e| e.state == MachineState::Ready);
        if !self.membership.on_message(now, from, bytes, subset_of, ready, out) {
            self.state.ignored_events += 1;
        }
    }

    // ---- Routing: start wait, in-flight ceiling, hash positions, power of two choices -------------
    fn on_request(&mut self, now: Micros, arrival: &Arrival, out: &mut Vec<Action>) {
        let (id, class, key) = (arrival.id, usize::from(arrival.class), arrival.key);
        if class >= self.settings.classes.len() {
            // The idempotency of an unknown class is unknown too, so the request is refused without being sent.
            self.state.ignored_events += 1;
            out.push(Action::Refuse { id, retry_after: 0 });
            return;
        }
        let keep = self.settings.release.exposure_window + WINDOW_MARGIN;
        self.state.accepted[class].add(now, 1.0, keep);
        self.state.retry_budget.tokens += RETRY_TOKENS_PER_REQUEST;
        let over_share = self.is_over_share(now, arrival.tenant as usize);
        let work = arrival.work_hint.filter(|h| *h > 0).map_or(NOMINAL_WORK, |h| h as f64);
        let hash_position = hash_to_unit(arrival.policy.hash_key.unwrap_or(if key == 0 { id } else { key }));
        let deadline = self.answer_deadline(now + arrival.remaining);
        // Retries state the time that is left to them. The stated time is limited to the class's deadline, since one
        // client that states an hour would otherwise make all others appear to have waited before.
        let longest = &mut self.state.longest_waits[class];
        let stated = (arrival.remaining + arrival.policy.deadline_cut)
            .min(self.settings.classes[class].deadline) as f64;
        *longest = (*longest - LONGEST_WAIT_DECAY * (*longest - stated)).max(stated);
        let waited_before = *longest - stated;
        let value_class = arrival
            .policy
            .value_class
            .map(usize::from)
            .filter(|c| *c < self.settings.classes.len())
            .unwrap_or(class);
        let (policy, arrived_at) = (arrival.policy, now);
        let defaults = Request::default();
        let request = Request {
            class,
            value_class,
            policy,
            arrived_at,
            deadline,
            key,
            hash_position,
            work,
            over_share,
            waited_before,
            ..defaults
        };
        let admitted = request.policy.refuse_with_retry_after.is_none()
            && self.outlives(now, &request)
            && self.admits(now, &request);
        self.state.requests.insert(id, request);
        if admitted {
            self.dispatch(now, id, out);
        } else {
            self.final_answer(now, id, out);
        }
    }

    /// Sends a request to the machine that routing picks. Without one, the request is parked or gets its final answer at
    /// once.
    fn dispatch(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut request) = self.state.requests.remove(&id) else { return };
        let picked = self.route(now, &request);
        if let Some(machine) = picked {
            request.parked = false;
            if self.should_probe(now, &request) {
                (request.probed_machine, request.awaiting_probe) = (Some(machine), true);
                out.push(Action::Probe { machine });
                out.push(Action::Timer { name: id + 1, after: PROBE_WAIT });
                self.state.requests.insert(id, request);
                return;
            }
            self.send(now, id, request, machine, out);
            return;
        }
        let class = &self.settings.classes[request.value_class];
        let park_end = request.arrived_at + (class.latency_target as f64 * PARK_SHARE) as Micros;
        let until = park_end.min(request.deadline.saturating_sub(TICK));
        let idle = !request.attempts.iter().any(|a| a.in_flight);
        // A request that no machine may ever take is answered at once; any other waits for a short time.
        let sendable = request.attempts.len() < self.max_attempts(&request)
            && self.state.machines.values().any(|m| self.may_repeat(now, &request, m));
        request.parked = idle && sendable && now < until;
        let done = idle && !request.parked;
        self.state.requests.insert(id, request);
        if done {
            self.final_answer(now, id, out);
        }
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        mut request: Request,
        machine: MachineId,
        out: &mut Vec<Action>,
    ) {
        let work_window = (self.settings.cold_budget_window + WINDOW_MARGIN).max(RATE_WINDOW);
        self.state.record_send(
            now,
            id,
            &mut request,
            machine,
            self.settings.release.exposure_window + WINDOW_MARGIN,
            work_window,
        );
        self.membership.record_send(now, machine);
        out.push(Action::Send { id, machine, timeout: 0 });
        self.state.requests.insert(id, request);
    }

    /// Returns whether the picked machine is probed before the request is sent.
    ///
    /// Beyond the design: a front with next to nothing in flight sees no load on any machine. Where probes are allowed,
    /// it probes the picked machine first: one that answers at once has no queue. If probes are never late, they do not
    /// indicate queues and are left out, apart from a small share.
    fn should_probe(&mut self, now: Micros, request: &Request) -> bool {
        let draw = hash_to_unit(self.rng.next_u64());
        let informative = self.state.late_probe_share > LATE_PROBE_SHARE || draw < EXPLORATORY_PROBE_SHARE;
        let fresh = request.attempts.is_empty()
            && request.probed_machine.is_none()
            && now + 4 * PROBE_WAIT < request.deadline;
        let slow = self.state.answer_time > PROBE_ANSWER_TIME_SHARE * self.min_latency_target();
        self.settings.allows_probes && informative && fresh && slow && self.has_little_in_flight()
    }

    /// Handles the answer of the probed machine, or its absence in time (`None`), after which another machine is picked.
    fn on_probe_result(
        &mut self,
        now: Micros,
        answered: Option<MachineId>,
        id: RequestId,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.state.requests.get_mut(&id).filter(|r| r.awaiting_probe) else { return };
        request.awaiting_probe = false;
        update_average(&mut self.state.late_probe_share, ANSWER_TIME_WEIGHT, answered.is_none());
        let Some(request) = self.state.requests.remove(&id) else { return };
        let allowed =
            |m: &MachineId| self.state.machines.get(m).is_some_and(|m| self.may_send(now, &request, m));
        match answered.filter(allowed) {
            Some(machine) => self.send(now, id, request, machine, out),
            None => {
                self.state.requests.insert(id, request);
                self.dispatch(now, id, out);
            }
        }
    }

    /// Picks the machine for a request, as the design describes, with the additions marked.
    fn route(&mut self, now: Micros, request: &Request) -> Option<MachineId> {
        let builds: Vec<Build> = self.state.subset.keys().copied().collect();
        let (trial, earlier): (Vec<Build>, Vec<_>) =
            builds.iter().partition(|b| self.exposure_cap(**b).is_some());
        let turns: Vec<Build> = trial.iter().filter(|b| self.is_trial_turn(request, **b)).copied().collect();
        let on_earlier = self.choose_machine(now, request, &earlier, false);
        let on_trial = self.choose_machine(
            now,
            request,
            &turns,
            on_earlier.is_some() && self.settings.release.keeps_old_machines,
        );
        match (on_earlier, on_trial) {
            (Some(on_earlier), Some(on_trial)) => {
                let (earlier_load, trial_load) =
                    (self.relative_load(now, on_earlier), self.relative_load(now, on_trial));
                // Beyond the design: a request stays with the earlier build when the new machine carries more load. A
                // machine within its start wait gets a request only when the earlier one carries clearly more.
                let starting = now < self.state.machines[&on_trial].entry.started_at + START_WAIT;
                let take_trial = if starting {
                    earlier_load > trial_load + LOAD_MARGIN
                } else {
                    trial_load <= earlier_load
                };
                Some(if take_trial { on_trial } else { on_earlier })
            }
            (Some(on_earlier), None) => Some(on_earlier),
            (None, Some(on_trial)) => Some(on_trial),
            // Beyond the design: with no earlier machine left, the limits on a trial's turns by hash position, in-flight
            // ceiling and idempotency do not apply.
            (None, None) => self.choose_machine(now, request, &trial, false),
        }
    }

    /// Returns whether a request may go to the build on trial, by hash position, idempotency and in-flight ceiling.
    fn is_trial_turn(&self, request: &Request, build: Build) -> bool {
        let Some(cap) = self.exposure_cap(build) else { return false };
        let has_effect = self.idempotency(request) != Idempotency::Idempotent;
        let open = !has_effect
            || self.stage_of(build) >= self.settings.release.guarded_stages.max(NON_IDEMPOTENT_STAGE);
        let in_flight = self.state.in_flight_by_build.get(&build).copied().unwrap_or(0);
        let ceiling = (cap * f64::from(self.state.in_flight + 1)).ceil();
        let failed_there = request.attempts.iter().any(|a| a.build == build);
        // Beyond the design: a front with next to nothing in flight cannot see from it that the new machines carry too
        // much, so hash positions count only up to those machines' share of the fleet's capacity.
        let push = if self.state.answer_time < UNLOADED_SHARE * self.min_latency_target() {
            TRIAL_PUSH
        } else {
            1.0
        };
        let share = if self.has_little_in_flight() {
            push * self.state.capacity_shares.get(&build).copied().unwrap_or(0.0)
        } else {
            1.0
        };
        open && request.hash_position < cap.min(share) && !failed_there && f64::from(in_flight + 1) <= ceiling
    }

    /// Returns whether this front has so little in flight that its own requests indicate no queue.
    fn has_little_in_flight(&self) -> bool {
        f64::from(self.state.in_flight) < LITTLE_IN_FLIGHT * self.state.subset_machines().count() as f64
    }

    /// Picks among the machines of `builds` that the guards allow: two are drawn, weighted by capacity, and the one with
    /// the fewest attempts in flight for its capacity is taken.
    ///
    /// Ejected machines are left out while others remain; after that the whole fleet is considered. Most of a stage's
    /// machines are cold at first, and the few others would get the requests meant for all of them. With `fair`, the
    /// draw is among all machines, and if it falls on one that may not be sent to, `None` is returned.
    fn choose_machine(
        &mut self,
        now: Micros,
        request: &Request,
        builds: &[Build],
        fair: bool,
    ) -> Option<MachineId> {
        let subset = builds.iter().filter_map(|b| self.state.subset.get(b)).flatten();
        let subset: Vec<&Machine> = subset.map(|id| &self.state.machines[id]).collect();
        let allowed = |m: &&&Machine| self.may_send(now, request, m);
        let cold =
            |m: &&&Machine| fair && m.entry.state == MachineState::Ready && self.warm_fraction(now, m) < 1.0;
        let tried = |m: MachineId| {
            request.probed_machine == Some(m) || request.attempts.iter().any(|a| a.machine == m)
        };
        let untried = |m: &Machine| !tried(m.entry.machine);
        let preferred =
            |m: &&&Machine| untried(m) && self.is_eligible(now, m, request) && (allowed(m) || cold(m));
        let mut candidates: Vec<&Machine> = subset.iter().filter(preferred).copied().collect();
        if candidates.is_empty() {
            let all: Vec<_> =
                self.state.machines.values().filter(|m| builds.contains(&m.entry.build)).collect();
            candidates = all.iter().filter(preferred).copied().collect();
            if candidates.is_empty() {
                candidates = subset.iter().filter(allowed).copied().collect();
            }
            if candidates.is_empty() {
                candidates = all.iter().filter(allowed).copied().collect();
            }
        }
        // Where machines accept few connections, a front that spreads its requests finds most of them closed.
        let answered_recently = |m: &Machine| m.answered_at + RECENT_ANSWER_WINDOW > now;
        if self.state.connect_failure_share > CONNECT_FAILURE_SHARE
            && candidates.iter().any(|m| answered_recently(m))
        {
            candidates.retain(|m| answered_recently(m));
        }
        let capacities: Vec<(MachineId, f64)> =
            candidates.iter().map(|m| (m.entry.machine, self.capacity(now, m))).collect();
        // Beyond the design: while answers are slow, two draws would leave some machines idle beside others' queues.
        let draws =
            if self.state.answer_time < UNLOADED_SHARE * self.min_latency_target() { 2 } else { SLOW_DRAWS };
        let any = self.least_loaded(now, draws, &capacities);
        // Beyond the design: a zone or kind that the operators' rules prefer is used until it carries clearly more load
        // than the rest.
        let RequestPolicy { preferred_zone, preferred_kind, .. } = request.policy;
        let has_preference = preferred_zone.is_some() || preferred_kind.is_some();
        let entry = |id: MachineId| &self.state.machines[&id].entry;
        let matches = |id| {
            preferred_zone.is_none_or(|z| z == entry(id).zone)
                && preferred_kind.is_none_or(|k| k == entry(id).kind)
        };
        let matching: Vec<_> =
            capacities.iter().filter(|m| has_preference && matches(m.0)).copied().collect();
        let matching = if has_preference { self.least_loaded(now, draws, &matching) } else { None };
        let matching = matching.filter(|p| {
            any.is_none_or(|a| self.relative_load(now, *p) <= self.relative_load(now, a) + LOAD_MARGIN)
        });
        matching.or(any).filter(|id| !fair || self.may_send(now, request, &self.state.machines[id]))
    }

    fn least_loaded(
        &mut self,
        now: Micros,
        draws: usize,
        candidates: &[(MachineId, f64)],
    ) -> Option<MachineId> {
        let drawn = (0..draws).filter_map(|_| pick_weighted(candidates, hash_to_unit(self.rng.next_u64())));
        let drawn: Vec<MachineId> = drawn.collect();
        drawn.into_iter().min_by(|a, b| self.relative_load(now, *a).total_cmp(&self.relative_load(now, *b)))
    }

    /// Returns whether a machine's build is in service and the machine is not ejected, or may get a half-open attempt.
    fn is_eligible(&self, now: Micros, machine: &Machine, request: &Request) -> bool {
        let idempotent = self.idempotency(request) == Idempotency::Idempotent;
        // Machines of earlier builds leave after a release, whatever an old list says: those that linger look idle.
        let released =
            self.state.rollout_status.filter(|s| s.phase == Phase::Released && machine.entry.build < s.build);
        let superseded = released.is_some_and(|s| !self.list_is_behind(s.build));
        let withdrawn = superseded || self.state.withdrawn_builds.contains(&machine.entry.build);
        let half_open = now >= machine.ejected_until && machine.in_flight == 0 && idempotent;
        !withdrawn && (machine.ejections == 0 || half_open)
    }

    fn relative_load(&self, now: Micros, id: MachineId) -> f64 {
        let machine = &self.state.machines[&id];
        f64::from(machine.in_flight) / self.capacity(now, machine)
    }

    // ---- Attempts: outcomes, ejection, further attempts --------------------------------------------
    fn on_attempt_ended(&mut self, now: Micros, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (id, attempt, outcome) = (end.id, end.attempt, end.outcome);
        let Some(ended) = self.state.record_end(id, attempt) else { return };
        self.record_machine_outcome(now, &ended, end);
        if outcome == CallOutcome::Ok {
            self.state.complaints.entry(ended.build).or_default().answers += 1.0;
            self.state.served.add(now, 1.0, RATE_WINDOW);
            self.record_answer_time(now, end.duration as f64, ended.work);
        }
        // Where most attempts end unanswered, the few that are answered in time are lucky and do not represent the
        // usual answer time.
        let unanswered = matches!(outcome, CallOutcome::Timeout | CallOutcome::Rejected);
        if unanswered || outcome == CallOutcome::Ok {
            update_average(&mut self.state.unanswered_share, FAILURE_WEIGHT, unanswered);
        }
        if unanswered && self.state.unanswered_share > MIN_MACHINE_SHARE {
            self.record_answer_time(now, self.settings.classes[ended.class].deadline as f64, ended.work);
        }
        if end.request_done {
            if let Some(mut request) = self.state.requests.remove(&id) {
                request.attempts.iter_mut().skip(attempt.into()).take(1).for_each(|a| a.in_flight = false);
                if outcome == CallOutcome::Ok {
                    self.record_key_answer(&request, ended.build);
                }
                self.cancel_remaining(id, &request, out);
            }
            return;
        }
        let Some(request) = self.state.requests.get_mut(&id) else { return };
        if let Some(recorded) = request.attempts.get_mut(usize::from(attempt)) {
            recorded.in_flight = false;
            recorded.may_have_run =
                !matches!(outcome, CallOutcome::Rejected | CallOutcome::ConnectFailed | CallOutcome::NotSent);
        }
        if request.attempts.iter().any(|a| a.in_flight) {
            return;
        }
        // An attempt that never ran cost its machine next to nothing: the retry budget is for work that is repeated.
        let never_ran = matches!(outcome, CallOutcome::Rejected | CallOutcome::ConnectFailed);
        if now >= request.deadline
            || !never_ran && !self.state.retry_budget.try_take(now, 0.0, MAX_RETRY_TOKENS)
        {
            return self.final_answer(now, id, out);
        }
        self.dispatch(now, id, out);
    }

    /// Updates the average answer time and work. At a front with few answers the average covers the last seconds instead
    /// of a number of answers.
    fn record_answer_time(&mut self, now: Micros, duration: f64, work: f64) {
        let since = now.saturating_sub(self.state.answered_at) as f64;
        let by_time = (since / (since + ANSWER_TIME_WINDOW as f64)).max(ANSWER_TIME_WEIGHT);
        let weight = if self.state.answered_at == 0 { 1.0 } else { by_time };
        self.state.answer_time += weight * (duration - self.state.answer_time);
        self.state.answer_work += weight * (work - self.state.answer_work);
        self.state.answered_at = now;
    }

    fn record_machine_outcome(&mut self, now: Micros, ended: &InFlightAttempt, end: &AttemptEnd) {
        let call_outcome = end.outcome;
        let Some(machine) = self.state.machines.get_mut(&ended.machine) else { return };
        machine.in_flight = machine.in_flight.saturating_sub(1);
        if matches!(call_outcome, CallOutcome::Cancelled | CallOutcome::NotSent)
            || machine.entry.build != ended.build
        {
            return;
        }
        if matches!(call_outcome, CallOutcome::Ok | CallOutcome::Error | CallOutcome::Rejected) {
            (machine.silent_since, machine.answered_at) = (now, now);
        }
        update_average(
            &mut self.state.connect_failure_share,
            FAILURE_WEIGHT,
            call_outcome == CallOutcome::ConnectFailed,
        );
        machine.work_served.add(
            now,
            if call_outcome == CallOutcome::Ok { ended.work } else { 0.0 },
            self.settings.cold_budget_window,
        );
        update_average(&mut machine.failure_share, FAILURE_WEIGHT, call_outcome != CallOutcome::Ok);
        if call_outcome == CallOutcome::ConnectFailed {
            machine.answered_at = 0;
            machine.failure_share = machine.failure_share.max(EJECTION_FAILURE_SHARE) + FAILURE_WEIGHT;
        }
        if call_outcome == CallOutcome::Ok && machine.ejections > 0 && now >= machine.ejected_until {
            machine.failure_share *= 0.5;
            if machine.failure_share < EJECTION_FAILURE_SHARE {
                machine.ejections = 0;
            }
        }
        let (zone, kind, started_at) = (machine.entry.zone, machine.entry.kind, machine.entry.started_at);
        // A build is judged on warm machines only. A silent, dead or unreachable machine is no fault of its build.
        let warm =
            started_at == 0 || ended.sent_at >= started_at + START_WAIT.min(self.settings.warm_up_time);
        if warm && matches!(call_outcome, CallOutcome::Ok | CallOutcome::Error) {
            let (class, ok) = (ended.class, call_outcome == CallOutcome::Ok);
            let timed = ok && (started_at == 0 || ended.sent_at >= started_at + self.settings.warm_up_time);
            // A reported service time includes no queueing. From this front's own answer times, the queue that the
            // request found is divided out.
            let measured_pace = timed.then_some(
                end.duration as f64 / ended.work / (ended.queue_length / MACHINE_CONCURRENCY).max(1.0),
            );
            if let Some(pace) = measured_pace {
                let kind_pace = self.state.kind_pace.entry(kind).or_insert(pace);
                *kind_pace += ANSWER_TIME_WEIGHT * (pace - *kind_pace);
                let relative_pace = (pace / kind_pace.max(f64::MIN_POSITIVE)).min(MAX_RELATIVE_PACE);
                machine.pace += PACE_WEIGHT * (relative_pace - machine.pace);
            }
            // Reports are averages over the past: for a while those of a machine still include its warm-up.
            let settled = ended.sent_at >= started_at + 3 * self.settings.warm_up_time / 2;
            let usable = self.settings.report_source == ReportSource::Responses && timed && settled;
            let service_time =
                load_value(&self.settings.report_fields, end.load_report, LoadField::MeanServiceMs);
            let reported_time = service_time.filter(|_| usable);
            let (machine, failed, age) = (ended.machine, !ok, ended.sent_at.saturating_sub(started_at));
            let outcome =
                Outcome { at: now, machine, zone, kind, age, class, failed, reported_time, measured_pace };
            self.record_evidence(ended.build, &outcome);
        }
        // Links that break now and then on all machines must not eject all of them; dead machines refuse connections.
        self.eject_failing(now, ended.machine, call_outcome == CallOutcome::ConnectFailed);
    }

    fn on_complaint(&mut self, now: Micros, machine: MachineId, class: u8) {
        let class = usize::from(class);
        let Some(listed) = self.state.machines.get(&machine).filter(|_| class < self.settings.classes.len())
        else {
            self.state.ignored_events += 1;
            return;
        };
        let (build, zone, kind, age) = (
            listed.entry.build,
            listed.entry.zone,
            listed.entry.kind,
            now.saturating_sub(listed.entry.started_at),
        );
        self.state.complaints.entry(build).or_default().record(machine);
        let (at, failed, reported_time, measured_pace) = (now, true, None, None);
        let outcome = Outcome { at, machine, zone, kind, age, class, failed, reported_time, measured_pace };
        self.record_evidence(build, &outcome);
    }

    /// Ejects a machine that fails far more than the median machine of its build. One faulty machine is no fault of the
    /// build, and a fault of the build is not cured by ejecting all of its machines.
    fn eject_failing(&mut self, now: Micros, id: MachineId, unreachable: bool) {
        let machine = &self.state.machines[&id];
        if machine.failure_share < EJECTION_FAILURE_SHARE || now < machine.ejected_until {
            return;
        }
        let same_build: Vec<&Machine> =
            self.state.subset_machines().filter(|o| o.entry.build == machine.entry.build).collect();
        let median_share =
            median(&mut same_build.iter().map(|o| o.failure_share).collect::<Vec<_>>()).unwrap_or(0.0);
        let in_service = same_build.iter().filter(|o| now >= o.ejected_until).count();
        let may_spare = in_service as f64 > MIN_MACHINE_SHARE * same_build.len() as f64;
        // Unreachable machines are ejected whatever the others of their build do: the list may be long out of date.
        if machine.failure_share > EJECTION_FAILURE_RATIO * median_share.max(self.state.failure_share)
            && may_spare
            || unreachable
        {
            self.eject(now, id, unreachable);
        }
    }

    fn eject(&mut self, now: Micros, id: MachineId, unresponsive: bool) {
        // A front with little traffic comes back to a machine so seldom that a short ejection would end before it has
        // an effect.
        let window = self.settings.release.exposure_window;
        let accepted: f64 = self.state.accepted.iter().map(|t| t.sum(now, window)).sum();
        let revisit_time =
            (self.state.subset_machines().count() as f64 * window as f64 / (accepted + 1.0)) as Micros;
        let base =
            if unresponsive { EJECTION_TIME.max(revisit_time.min(MAX_EJECTION_BASE)) } else { EJECTION_TIME };
        let jitter = self.jitter(base / 4);
        let Some(machine) = self.state.machines.get_mut(&id) else { return };
        machine.ejected_until = now + base * (1 << machine.ejections.min(3)) + jitter;
        machine.ejections += 1;
    }

    /// Ejects machines that have attempts in flight and have answered nothing for long: hung, dead, partitioned or paused.
    fn eject_silent(&mut self, now: Micros) {
        let usual_time =
            if self.state.answered_at == 0 { self.min_latency_target() } else { self.state.answer_time };
        let limit = SILENCE_MIN + (SILENCE_ANSWER_TIMES * usual_time) as Micros;
        let silent = |m: &&Machine| m.in_flight > 0 && now > m.silent_since + limit && now >= m.ejected_until;
        let ids: Vec<_> = self.state.machines.values().filter(silent).map(|m| m.entry.machine).collect();
        ids.into_iter().for_each(|id| self.eject(now, id, true));
    }

    /// Moves requests that are in flight at an ejected or removed machine to another one, where their class allows it.
    fn move_stuck_requests(&mut self, now: Micros, out: &mut Vec<Action>) {
        let stuck = |a: &Attempt| {
            let machine = &self.state.machines[&a.machine];
            a.in_flight
                && (machine.entry.state == MachineState::Gone
                    || machine.ejections > 0 && now > a.sent_at + SILENCE_MIN)
        };
        let movable = |r: &Request| {
            self.idempotency(r) != Idempotency::AtMostOnce
                && r.attempts.last().is_some_and(stuck)
                && r.attempts.iter().filter(|a| a.in_flight).count() == 1
        };
        let ids: Vec<_> = self.state.requests.iter().filter(|r| movable(r.1)).map(|r| *r.0).collect();
        for id in ids {
            if self.settings.allows_hedging {
                if self.state.retry_budget.try_take(now, 0.0, MAX_RETRY_TOKENS) {
                    self.dispatch(now, id, out);
                }
            } else if self.settings.allows_cancel
                && self.state.requests[&id].attempts.len() < self.max_attempts(&self.state.requests[&id])
            {
                let attempt = self.state.requests[&id].attempts.len() as u16 - 1;
                out.push(Action::Cancel { id, attempt });
            }
        }
    }
}
