//! Accounting: counts over time, medians, hashing to the unit interval, and the state of a front. Every limit, window and
//! threshold comes from the caller; nothing here makes a decision.

use crate::interface::{
    Build, DedupScope, LoadField, MachineEntry, MachineId, MachineState, Micros, RequestId, RequestPolicy,
    RolloutStatus, Vote,
};
use crate::rules::forward_only::KeyBuilds;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use yarrowspoke_verdict::evidence_log::Outcome;

/// Amounts recorded over time, summed over a sliding window that the caller names.
///
/// At thousands of requests a second a window holds thousands of entries, and each send needs several sums. Each entry
/// therefore keeps the running total, so that a sum is one difference however long its window.
#[derive(Clone, Debug, Default)]
pub struct SlidingSum {
    /// Times, with the running total up to each.
    entries: VecDeque<(Micros, f64)>,
    /// Running total of the last entry that was evicted.
    evicted_total: f64,
}

impl SlidingSum {
    /// Records an amount and evicts entries older than `keep`.
    pub fn add(&mut self, now: Micros, amount: f64, keep: Micros) {
        while let Some(oldest) = self.entries.front().filter(|e| e.0 + keep < now) {
            self.evicted_total = oldest.1;
            self.entries.pop_front();
        }
        if self.entries.is_empty() {
            self.evicted_total = 0.0;
        }
        self.entries.push_back((now, self.total() + amount));
    }

    /// Returns the sum of the amounts recorded within `window` before `now`.
    pub fn sum(&self, now: Micros, window: Micros) -> f64 {
        let outside = self.entries.partition_point(|e| e.0 + window < now);
        self.total() - if outside == 0 { self.evicted_total } else { self.entries[outside - 1].1 }
    }

    fn total(&self) -> f64 {
        self.entries.back().map_or(self.evicted_total, |e| e.1)
    }
}

/// A token bucket, from which tokens are taken one by one.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    /// Number of tokens.
    pub tokens: f64,
    /// Time of the last refill.
    pub refilled_at: Micros,
}

impl TokenBucket {
    /// Adds the tokens accrued at `rate` a second, up to `capacity`, and takes one token if there is one.
    pub fn try_take(&mut self, now: Micros, rate: f64, capacity: f64) -> bool {
        self.tokens = (self.tokens + rate * now.saturating_sub(self.refilled_at) as f64 / 1e6).min(capacity);
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(taken));
        taken
    }
}

/// Updates an exponential moving average of a share: moves it by `weight` towards 1 if the newest event `counts`, else
/// towards 0.
pub fn update_average(share: &mut f64, weight: f64, counts: bool) {
    *share += weight * (f64::from(u8::from(counts)) - *share);
}

/// Returns the median of `values` (the upper one of two), or `None` if there are none.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Returns the lower bound of a share of `failed` in `total`, at `z` standard deviations (Wilson's interval).
pub fn lower_bound(failed: f64, total: f64, z: f64) -> f64 {
    if total <= 0.0 {
        return 0.0;
    }
    let (share, z_squared) = (failed / total, z * z);
    let centre = share + z_squared / (2.0 * total);
    let spread = z * (share * (1.0 - share) / total + z_squared / (4.0 * total * total)).sqrt();
    (centre - spread) / (1.0 + z_squared / total)
}

/// Hashes a number to an evenly distributed position from 0 to below 1 (the splitmix64 finaliser).
pub fn hash_to_unit(value: u64) -> f64 {
    let mut x = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Picks a machine with a chance in proportion to its weight; `position`, from 0 to below 1, decides.
pub fn pick_weighted(weights: &[(MachineId, f64)], position: f64) -> Option<MachineId> {
    let mut remaining = position * weights.iter().map(|w| w.1).sum::<f64>();
    let is_picked = |weight: &&(MachineId, f64)| {
        remaining -= weight.1;
        remaining < 0.0
    };
    weights.iter().find(is_picked).or(weights.last()).map(|w| w.0)
}

/// Returns a field of a load report, if it is present and finite.
pub fn load_value(fields: &[LoadField], load_report: &[f32], wanted: LoadField) -> Option<f64> {
    let index = fields.iter().position(|f| *f == wanted)?;
    load_report.get(index).copied().map(f64::from).filter(|v| v.is_finite())
}

/// A machine of the list, with this front's attempts and observations.
#[derive(Clone)]
pub struct Machine {
    /// Its entry in the list.
    pub entry: MachineEntry,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Time of its last answer, or of the first send after it was idle.
    pub silent_since: Micros,
    /// Time of its last answer; 0 if there is none.
    pub answered_at: Micros,
    /// Moving average of its share of failed attempts.
    pub failure_share: f64,
    /// End of its last ejection.
    pub ejected_until: Micros,
    /// Number of ejections in a row.
    pub ejections: u32,
    /// Work sent, for its own cold budget.
    pub work_sent: SlidingSum,
    /// Work served, for the cold budget of other machines.
    pub work_served: SlidingSum,
    /// Moving average of its pace relative to that of its kind.
    pub pace: f64,
}

/// One attempt of a request.
#[derive(Clone)]
pub struct Attempt {
    /// The machine.
    pub machine: MachineId,
    /// The machine's build.
    pub build: Build,
    /// The machine's zone.
    pub zone: u16,
    /// The machine's cell.
    pub cell: u16,
    /// Time of the send.
    pub sent_at: Micros,
    /// Whether its outcome is still to come.
    pub in_flight: bool,
    /// Whether its effect may have taken place.
    pub may_have_run: bool,
}

/// Returns whether `machine` is in the group of machines that drops repeats of `attempt`.
pub fn in_same_dedup_group(scope: DedupScope, attempt: &Attempt, machine: &Machine) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => attempt.zone == machine.entry.zone,
        DedupScope::Cell => attempt.cell == machine.entry.cell,
    }
}

/// An open request, to which this front has yet to give the final answer.
#[derive(Clone, Default)]
pub struct Request {
    /// Its class, which the guards use.
    pub class: usize,
    /// The class whose latency target and worth apply to it.
    pub value_class: usize,
    /// What the operators' rules set for it.
    pub policy: RequestPolicy,
    /// Time of its arrival.
    pub arrived_at: Micros,
    /// Time at which its client stops waiting.
    pub deadline: Micros,
    /// Its key; 0 if it has none.
    pub key: u64,
    /// Its hash position, from 0 to below 1.
    pub hash_position: f64,
    /// Expected work, in microseconds.
    pub work: f64,
    /// Whether its tenant is over its share.
    pub over_share: bool,
    /// Time in microseconds that its client waited before, in earlier tries.
    pub waited_before: f64,
    /// Attempts so far.
    pub attempts: Vec<Attempt>,
    /// Whether it waits for a machine to become available.
    pub parked: bool,
    /// The machine that was probed for a queue.
    pub probed_machine: Option<MachineId>,
    /// Whether the answer to that probe is still to come.
    pub awaiting_probe: bool,
}

/// An attempt whose outcome is still to come.
#[derive(Clone)]
pub struct InFlightAttempt {
    /// The machine.
    pub machine: MachineId,
    /// The machine's build.
    pub build: Build,
    /// The request's class.
    pub class: usize,
    /// Time of the send.
    pub sent_at: Micros,
    /// Expected work, in microseconds.
    pub work: f64,
    /// Attempts of this front in flight at the machine after the send, this one included.
    pub queue_length: f64,
}

/// One outcome, kept as evidence.
#[derive(Clone)]
pub struct Sample {
    /// Time of the outcome.
    pub at: Micros,
    /// The machine.
    pub machine: MachineId,
    /// The machine's kind.
    pub kind: u8,
    /// The request's class.
    pub class: usize,
    /// Whether the request was served.
    pub ok: bool,
    /// The reported service time, or else `measured_pace`.
    pub pace: Option<f64>,
    /// Answer time divided by expected work, for a served request on a fully warm machine.
    pub measured_pace: Option<f64>,
}

/// Clients' complaints about wrong answers of a build.
#[derive(Clone, Default)]
pub struct Complaints {
    /// Number of served answers.
    pub answers: f64,
    /// Number of complaints.
    pub count: f64,
    /// The machines whose answers the complaints were about.
    pub machines: BTreeSet<MachineId>,
}

impl Complaints {
    /// Records a complaint about an answer of `machine`.
    pub fn record(&mut self, machine: MachineId) {
        self.count += 1.0;
        self.machines.insert(machine);
    }
}

/// Median paces by machine kind and class.
pub type MedianPaces = BTreeMap<(u8, usize), f64>;

/// Returns the median of `value` for each machine kind and class with at least `min_values` of them.
pub fn medians<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    value: impl Fn(&Sample) -> Option<f64>,
    min_values: usize,
) -> MedianPaces {
    let mut groups: BTreeMap<(u8, usize), Vec<f64>> = BTreeMap::new();
    for sample in samples {
        groups.entry((sample.kind, sample.class)).or_default().extend(value(sample));
    }
    let large_enough = groups.into_iter().filter(|g| g.1.len() >= min_values);
    large_enough.filter_map(|(key, mut values)| Some((key, median(&mut values)?))).collect()
}

/// Returns the median of measured paces relative to the baseline for their kind and class, if there are at least
/// `min_values` of them.
pub fn pace_relative_to<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    baseline: &MedianPaces,
    min_values: usize,
) -> Option<f64> {
    let ratio =
        |s: &Sample| Some(s.measured_pace? / baseline.get(&(s.kind, s.class))?.max(f64::MIN_POSITIVE));
    let mut paces: Vec<f64> = samples.filter_map(ratio).collect();
    median(&mut paces).filter(|_| paces.len() >= min_values)
}

/// Returns the number of samples, and how many of them failed.
pub fn failure_counts(samples: &[&Sample]) -> (f64, f64) {
    (samples.len() as f64, samples.iter().filter(|s| !s.ok).count() as f64)
}

/// Returns the machines in the samples, highest mean of `score` first.
pub fn machines_by_score(samples: &[&Sample], score: impl Fn(&Sample) -> f64) -> Vec<MachineId> {
    let mut sums: BTreeMap<MachineId, (f64, f64)> = BTreeMap::new();
    for sample in samples {
        let sum = sums.entry(sample.machine).or_default();
        *sum = (sum.0 + score(sample), sum.1 + 1.0);
    }
    let mut means: Vec<_> = sums.into_iter().map(|(machine, (sum, n))| (machine, sum / n)).collect();
    means.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    means.into_iter().map(|m| m.0).collect()
}

/// Returns the median `value` of each of `machines`, sorted.
pub fn machine_medians(
    samples: &[&Sample],
    machines: &[MachineId],
    value: impl Fn(&Sample) -> Option<f64>,
) -> Vec<f64> {
    let values_of = |id| samples.iter().filter(move |s| s.machine == id).filter_map(|s| value(s));
    let mut medians: Vec<f64> =
        machines.iter().filter_map(|id| median(&mut values_of(*id).collect::<Vec<_>>())).collect();
    medians.sort_by(f64::total_cmp);
    medians
}

/// Returns the samples without those of `machines`.
pub fn without_machines<'a>(samples: &[&'a Sample], machines: &[MachineId]) -> Vec<&'a Sample> {
    let excluded: BTreeSet<_> = machines.iter().collect();
    samples.iter().filter(|s| !excluded.contains(&s.machine)).copied().collect()
}

/// The state of a front; it starts empty.
#[derive(Clone, Default)]
pub struct FrontState {
    /// All machines of the list, and removed ones that are still in use.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Open requests, which have yet to get their final answer.
    pub requests: BTreeMap<RequestId, Request>,
    /// Once the process is shutting down, the time by which all requests must be answered.
    pub answer_by: Option<Micros>,
    /// Attempts whose outcome is still to come.
    pub attempts_in_flight: BTreeMap<(RequestId, u16), InFlightAttempt>,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// Number of attempts in flight, by build.
    pub in_flight_by_build: BTreeMap<Build, u32>,
    /// The machines that this front sends to, by build.
    pub subset: BTreeMap<Build, Vec<MachineId>>,
    /// Each build's share of the fleet's capacity.
    pub capacity_shares: BTreeMap<Build, f64>,
    /// Fronts that have a given machine of the largest build in their subset, divided by those that have a given machine of
    /// this build.
    pub subset_overlap: BTreeMap<Build, f64>,
    /// Moving average of answer time divided by expected work, by machine kind.
    pub kind_pace: BTreeMap<u8, f64>,
    /// The last valid rollout status.
    pub rollout_status: Option<RolloutStatus>,
    /// Time at which the present stage began, according to the platform.
    pub stage_began_at: Micros,
    /// Longest time in microseconds for which machines of a stage may still be booting.
    pub boot_time: Micros,
    /// Builds that were withdrawn.
    pub withdrawn_builds: BTreeSet<Build>,
    /// Number of machine slots of the fleet.
    pub slots: usize,
    /// Requests accepted, by class.
    pub accepted: Vec<SlidingSum>,
    /// Longest time in microseconds that clients recently stated they would wait, by class.
    pub longest_waits: Vec<f64>,
    /// Attempts, by build and class.
    pub exposure: BTreeMap<(Build, usize), SlidingSum>,
    /// Outcomes kept as evidence, by build.
    pub samples: BTreeMap<Build, VecDeque<Sample>>,
    /// The newest build that has answered each key.
    pub key_builds: KeyBuilds,
    /// Work that a warm machine serves, by size and microsecond.
    pub warm_work_rate: f64,
    /// Served requests.
    pub served: SlidingSum,
    /// Best recent rate of completions per microsecond.
    pub best_rate: f64,
    /// Moving average of the answer time, in microseconds.
    pub answer_time: f64,
    /// Time of the last answer that was counted in it.
    pub answered_at: Micros,
    /// Moving average of the share of probes that were not answered in time.
    pub late_probe_share: f64,
    /// Moving average of the share of attempts that got no connection.
    pub connect_failure_share: f64,
    /// Moving average of the share of attempts that got no answer.
    pub unanswered_share: f64,
    /// Moving average of the expected work of served requests, in microseconds.
    pub answer_work: f64,
    /// The retry budget.
    pub retry_budget: TokenBucket,
    /// Each tenant's quota at this front.
    pub tenant_quotas: Vec<TokenBucket>,
    /// The newest build that was on trial, and the evidence on it.
    pub evidence: Option<(Build, yarrowspoke_verdict::evidence_log::EvidenceLog)>,
    /// Clients' complaints about wrong answers, by build.
    pub complaints: BTreeMap<Build, Complaints>,
    /// Moving average of the share of failures on builds that are not on trial.
    pub failure_share: f64,
    /// Whether that share was large at any time since the newest build appeared.
    pub failures_are_common: bool,
    /// Usual paces from before the newest build.
    pub baseline_paces: MedianPaces,
    /// Time since which a finding that must last has lasted.
    pub suspect_since: Option<Micros>,
    /// Time since which failures have been seen that may come from a faulty machine.
    pub faulty_machine_since: Option<Micros>,
    /// A build for whose rollback this front votes.
    pub build_to_roll_back: Option<Build>,
    /// The last vote cast.
    pub vote: Option<(Build, u8, Vote)>,
    /// Time at which it was cast.
    pub vote_sent_at: Micros,
    /// Time at which it was cast, once the platform has accepted it.
    pub vote_accepted_at: Option<Micros>,
    /// Whether the platform's reply to it is still to come.
    pub vote_pending: bool,
    /// Number of events that named something unknown or were invalid.
    pub ignored_events: u64,
}

impl FrontState {
    /// Adds or updates a machine from its list entry. A new process or build under the same id starts with a clean record.
    pub fn update_machine(&mut self, now: Micros, entry: &MachineEntry) {
        let new_machine = || Machine {
            entry: entry.clone(),
            in_flight: 0,
            silent_since: now,
            answered_at: 0,
            failure_share: 0.0,
            ejected_until: 0,
            ejections: 0,
            work_sent: SlidingSum::default(),
            work_served: SlidingSum::default(),
            pace: 1.0,
        };
        let machine = self.machines.entry(entry.machine).or_insert_with(new_machine);
        if machine.entry.started_at != entry.started_at || machine.entry.build != entry.build {
            (machine.failure_share, machine.ejected_until, machine.ejections) = (0.0, 0, 0);
            (machine.silent_since, machine.answered_at, machine.pace) = (now, 0, 1.0);
        }
        machine.entry = entry.clone();
        if !(machine.entry.weight > 0.0 && machine.entry.weight.is_finite()) {
            machine.entry.weight = 1.0;
        }
    }

    /// Marks the machines that a snapshot of the list does not name as gone.
    pub fn mark_missing_gone(&mut self, entries: &[MachineEntry]) {
        let listed: BTreeSet<_> = entries.iter().map(|e| e.machine).collect();
        for (_, machine) in self.machines.iter_mut().filter(|m| !listed.contains(m.0)) {
            machine.entry.state = MachineState::Gone;
        }
    }

    /// Evicts machines that are gone and to which no request or attempt refers, and the data of builds that no machine
    /// runs, except for the newest `builds` with outcomes.
    ///
    /// Without this, memory grows over weeks of releases, since each build and machine leaves its outcomes behind.
    pub fn evict_unused(&mut self, builds: usize) {
        let attempted = self.requests.values().flat_map(|r| r.attempts.iter().map(|a| a.machine));
        let in_use: BTreeSet<_> =
            attempted.chain(self.attempts_in_flight.values().map(|a| a.machine)).collect();
        self.machines.retain(|id, m| m.entry.state != MachineState::Gone || in_use.contains(id));
        let mut kept: BTreeSet<Build> = self.machines.values().map(|m| m.entry.build).collect();
        kept.extend(self.attempts_in_flight.values().map(|a| a.build));
        kept.extend(self.samples.keys().rev().take(builds));
        self.samples.retain(|b, _| kept.contains(b));
        self.in_flight_by_build.retain(|b, _| kept.contains(b));
        self.complaints.retain(|b, _| kept.contains(b));
        self.exposure.retain(|b, _| kept.contains(&b.0));
        self.withdrawn_builds.retain(|b| kept.contains(b));
    }

    /// Returns the subset of ready machines of each build that a front sends to: up to `size` machines on a hash ring of
    /// their ids, starting at the fraction `position` of the ring.
    pub fn subset_from(&self, size: usize, position: f64) -> BTreeMap<Build, Vec<MachineId>> {
        let mut rings: BTreeMap<Build, Vec<MachineId>> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.entry.state == MachineState::Ready) {
            rings.entry(machine.entry.build).or_default().push(machine.entry.machine);
        }
        for ring in rings.values_mut() {
            ring.sort_by(|a, b| hash_to_unit(u64::from(*a)).total_cmp(&hash_to_unit(u64::from(*b))));
            let start = (position * ring.len() as f64) as usize % ring.len();
            ring.rotate_left(start);
            ring.truncate(size);
        }
        rings
    }

    /// Recomputes the subset of machines that this front sends to; see [`FrontState::subset_from`].
    pub fn resubset(&mut self, size: usize, position: f64) {
        self.subset = self.subset_from(size, position);
    }

    /// Returns the machines in the subset.
    pub fn subset_machines(&self) -> impl Iterator<Item = &Machine> {
        self.subset.values().flatten().filter_map(|id| self.machines.get(id))
    }

    /// Returns the ready machines that run `build`.
    pub fn ready_machines(&self, build: Build) -> impl Iterator<Item = &Machine> {
        let ready = move |m: &&Machine| m.entry.build == build && m.entry.state == MachineState::Ready;
        self.machines.values().filter(ready)
    }

    /// Returns the lowest build that a machine which is not gone runs.
    pub fn base_build(&self) -> Option<Build> {
        let listed = self.machines.values().filter(|m| m.entry.state != MachineState::Gone);
        listed.map(|m| m.entry.build).min()
    }

    /// Returns the time of the newest machine start seen of `build`, or the start of the stage if that is later.
    pub fn newest_start(&self, build: Build) -> Micros {
        let starts = self.machines.values().filter(|m| m.entry.build == build).map(|m| m.entry.started_at);
        starts.max().unwrap_or(0).max(self.stage_began_at)
    }

    /// Returns the outcomes of the builds below `build`, lowest first, without those of withdrawn builds.
    pub fn samples_below(&self, build: Build) -> impl DoubleEndedIterator<Item = &VecDeque<Sample>> {
        let in_service = |s: &(&Build, &VecDeque<Sample>)| !self.withdrawn_builds.contains(s.0);
        self.samples.range(..build).filter(in_service).map(|s| s.1)
    }

    /// Records an attempt sent to machine `to`. Exposure is kept for `exposure_window`, work sent for `work_window`.
    pub fn record_send(
        &mut self,
        now: Micros,
        id: RequestId,
        request: &mut Request,
        to: MachineId,
        exposure_window: Micros,
        work_window: Micros,
    ) {
        let Some(machine) = self.machines.get_mut(&to) else { return };
        if machine.in_flight == 0 {
            machine.silent_since = now;
        }
        machine.in_flight += 1;
        machine.work_sent.add(now, request.work, work_window);
        let (build, zone, cell, queue_length) =
            (machine.entry.build, machine.entry.zone, machine.entry.cell, f64::from(machine.in_flight));
        self.in_flight += 1;
        *self.in_flight_by_build.entry(build).or_default() += 1;
        self.exposure.entry((build, request.class)).or_default().add(now, 1.0, exposure_window);
        let attempt = request.attempts.len() as u16;
        request.attempts.push(Attempt {
            machine: to,
            build,
            zone,
            cell,
            sent_at: now,
            in_flight: true,
            may_have_run: true,
        });
        let in_flight = InFlightAttempt {
            machine: to,
            build,
            class: request.class,
            sent_at: now,
            work: request.work,
            queue_length,
        };
        self.attempts_in_flight.insert((id, attempt), in_flight);
    }

    /// Removes an attempt from those in flight and returns it. An unknown attempt is counted and ignored.
    pub fn record_end(&mut self, id: RequestId, attempt: u16) -> Option<InFlightAttempt> {
        let Some(ended) = self.attempts_in_flight.remove(&(id, attempt)) else {
            self.ignored_events += 1;
            return None;
        };
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_by_build.entry(ended.build).and_modify(|n| *n = n.saturating_sub(1));
        Some(ended)
    }

    /// Returns the number of outcomes of `build` that are kept.
    pub fn sample_count(&self, build: Build) -> usize {
        self.samples.get(&build).map_or(0, VecDeque::len)
    }

    /// Records an outcome, and keeps at most `capacity` of its build.
    pub fn record_sample(&mut self, build: Build, capacity: usize, outcome: &Outcome) {
        let &Outcome { at, machine, kind, class, failed, reported_time, measured_pace, .. } = outcome;
        let ring = self.samples.entry(build).or_default();
        ring.push_back(Sample {
            at,
            machine,
            kind,
            class,
            ok: !failed,
            pace: reported_time.or(measured_pace),
            measured_pace,
        });
        if ring.len() > capacity {
            ring.pop_front();
        }
    }

    /// Returns, of the kept outcomes of `build`: their number, the number of failures, the number of successes in a row at
    /// the end, and the time of the last failure.
    pub fn outcome_counts(&self, build: Build) -> (f64, f64, f64, Micros) {
        let Some(ring) = self.samples.get(&build) else { return (0.0, 0.0, 0.0, 0) };
        let successes = ring.iter().rev().take_while(|s| s.ok).count();
        let last_failure = ring.iter().rev().nth(successes).map_or(0, |s| s.at);
        (ring.len() as f64, ring.iter().filter(|s| !s.ok).count() as f64, successes as f64, last_failure)
    }

    /// Updates, for each build, the number of fronts that have a given machine of the largest build in their subset,
    /// divided by the number that have a given machine of this build, where a subset has up to `size` machines of each.
    pub fn update_subset_overlap(&mut self, size: usize) {
        let mut counts: BTreeMap<Build, f64> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.entry.state == MachineState::Ready) {
            *counts.entry(machine.entry.build).or_default() += 1.0;
        }
        let front_share = |count: f64| (size as f64).min(count) / count.max(1.0);
        let largest = counts.values().copied().fold(0.0, f64::max);
        self.subset_overlap =
            counts.iter().map(|(b, count)| (*b, front_share(largest) / front_share(*count))).collect();
    }

    /// Returns the requests that wait for the answer of `machine` to a probe.
    pub fn requests_awaiting_probe(&self, machine: MachineId) -> Vec<RequestId> {
        let awaiting = |r: &(&RequestId, &Request)| r.1.awaiting_probe && r.1.probed_machine == Some(machine);
        self.requests.iter().filter(awaiting).map(|r| *r.0).collect()
    }

    /// Returns the number of ready machines, of all builds or of all but `build`.
    pub fn ready_machines_except(&self, build: Option<Build>) -> usize {
        let other = |m: &&Machine| m.entry.state == MachineState::Ready && build != Some(m.entry.build);
        self.machines.values().filter(other).count()
    }
}
