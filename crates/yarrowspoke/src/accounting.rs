//! Mechanical bookkeeping: counts over time, sorted middles, fixed mixing. Every limit, span and
//! threshold is the caller's; nothing here decides.

use crate::interface::{
    Build, DedupScope, LoadField, MachineEntry, MachineId, MachineState, Micros, RequestId, RequestPolicy,
    RolloutStatus, Vote,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use yarrowspoke_verdict::evidence_log::Outcome;

/// Amounts noted over time, summed over a span that the caller names.
///
/// Danger: at thousands of requests a second a span holds thousands of notes, and each send asks for several
/// sums: each note keeps the total up to it, so that a sum is one difference however long its span.
#[derive(Clone, Debug, Default)]
pub struct SlidingSum {
    notes: VecDeque<(Micros, f64)>,
    /// Total of what was forgotten, from which the notes' totals go on.
    before: f64,
}

impl SlidingSum {
    /// Notes an amount and forgets what is older than `keep`.
    pub fn add(&mut self, now: Micros, amount: f64, keep: Micros) {
        while let Some(old) = self.notes.front().filter(|n| n.0 + keep < now) {
            self.before = old.1;
            self.notes.pop_front();
        }
        if self.notes.is_empty() {
            self.before = 0.0;
        }
        self.notes.push_back((now, self.total() + amount));
    }

    /// Sum of what was noted within `span` before `now`.
    pub fn sum(&self, now: Micros, span: Micros) -> f64 {
        let old = self.notes.partition_point(|n| n.0 + span < now);
        self.total() - if old == 0 { self.before } else { self.notes[old - 1].1 }
    }

    fn total(&self) -> f64 {
        self.notes.back().map_or(self.before, |n| n.1)
    }
}

/// Tokens that come at a rate and are taken one by one.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    /// Tokens left.
    pub tokens: f64,
    /// When they were counted.
    pub refilled_at: Micros,
}

impl TokenBucket {
    /// Adds what has come at `rate` a second, up to `most`, and takes one token if there is one.
    pub fn try_take(&mut self, now: Micros, rate: f64, most: f64) -> bool {
        self.tokens = (self.tokens + rate * now.saturating_sub(self.refilled_at) as f64 / 1e6).min(most);
        self.refilled_at = now;
        let can = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(can));
        can
    }
}

/// Moves a smoothed share by `weight` towards whether the newest of what it counts `holds`.
pub fn update_average(share: &mut f64, weight: f64, holds: bool) {
    *share += weight * (f64::from(u8::from(holds)) - *share);
}

/// The middle of `values`, or `None` if there are none.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Lower bound of a share seen as `bad` of `n`, at `z` standard deviations (Wilson's interval).
pub fn lower_bound(bad: f64, n: f64, z: f64) -> f64 {
    if n <= 0.0 {
        return 0.0;
    }
    let (p, z2) = (bad / n, z * z);
    let middle = p + z2 / (2.0 * n);
    let spread = z * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
    (middle - spread) / (1.0 + z2 / n)
}

/// Mixes a number into an even position from 0 to below 1 (the splitmix64 finaliser).
pub fn hash_to_unit(value: u64) -> f64 {
    let mut x = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// The one of `sizes` in which `at`, from 0 to below 1, falls when they are laid end to end.
pub fn pick_weighted(sizes: &[(MachineId, f64)], at: f64) -> Option<MachineId> {
    let mut left = at * sizes.iter().map(|s| s.1).sum::<f64>();
    let past = |s: &&(MachineId, f64)| {
        left -= s.1;
        left < 0.0
    };
    sizes.iter().find(past).or(sizes.last()).map(|s| s.0)
}

/// A named value of a load report, if it is there and a number.
pub fn load_value(fields: &[LoadField], load: &[f32], wanted: LoadField) -> Option<f64> {
    let at = fields.iter().position(|f| *f == wanted)?;
    load.get(at).copied().map(f64::from).filter(|v| v.is_finite())
}

/// A machine as listed, with what this front holds and saw there.
#[derive(Clone)]
pub struct Machine {
    /// Its line in the list.
    pub entry: MachineEntry,
    /// Attempts out.
    pub in_flight: u32,
    /// Last answer, or the send that ended its idleness.
    pub silent_since: Micros,
    /// Its last answer.
    pub answered_at: Micros,
    /// Smoothed failing share.
    pub failure_share: f64,
    /// End of its ejection.
    pub ejected_until: Micros,
    /// Ejections in a row.
    pub ejections: u32,
    /// Work sent, for the cold budget.
    pub work_sent: SlidingSum,
    /// Work served, for the cold budget of others.
    pub work_served: SlidingSum,
    /// Its answer times over its kind's, smoothed.
    pub pace: f64,
}

/// One attempt of a request.
#[derive(Clone)]
pub struct Attempt {
    /// The machine.
    pub machine: MachineId,
    /// Its build.
    pub build: Build,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// When it was sent.
    pub sent_at: Micros,
    /// Its outcome is still to come.
    pub in_flight: bool,
    /// It may have had its effect.
    pub may_have_run: bool,
}

/// Whether `m` is in the group that drops repeats of what was sent in `a`.
pub fn in_same_dedup_group(scope: DedupScope, a: &Attempt, m: &Machine) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => a.zone == m.entry.zone,
        DedupScope::Cell => a.cell == m.entry.cell,
    }
}

/// A request that this front owes a final answer.
#[derive(Clone, Default)]
pub struct Request {
    /// The class, by which the guards go.
    pub class: usize,
    /// The class whose aim and worth count for it.
    pub value_class: usize,
    /// What the operators' rules say of it.
    pub policy: RequestPolicy,
    /// When it came.
    pub arrived_at: Micros,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// Its subject.
    pub key: u64,
    /// Its hash position.
    pub hash_position: f64,
    /// Expected work.
    pub work: f64,
    /// Its tenant is over its share.
    pub over_share: bool,
    /// Time that its client waited before, in earlier tries.
    pub waited_before: f64,
    /// Attempts so far.
    pub attempts: Vec<Attempt>,
    /// It waits for a machine.
    pub parked: bool,
    /// The machine that was asked whether it has a queue.
    pub probed_machine: Option<MachineId>,
    /// That one's answer is to come.
    pub awaiting_probe: bool,
}

/// An attempt whose outcome is still to come.
#[derive(Clone)]
pub struct InFlightAttempt {
    /// The machine.
    pub machine: MachineId,
    /// Its build.
    pub build: Build,
    /// The class.
    pub class: usize,
    /// When it was sent.
    pub sent_at: Micros,
    /// Expected work.
    pub work: f64,
    /// Requests of this front that the machine then held, this one included.
    pub queue_length: f64,
}

/// One outcome as evidence.
#[derive(Clone)]
pub struct Sample {
    /// When it came.
    pub at: Micros,
    /// The machine.
    pub machine: MachineId,
    /// The machine's kind.
    pub kind: u8,
    /// The class.
    pub class: usize,
    /// It was served.
    pub ok: bool,
    /// Reported service time, else `own`.
    pub pace: Option<f64>,
    /// Answer time over expected work, of a served answer from a fully warm machine.
    pub measured_pace: Option<f64>,
}

/// What clients said of a build's answers.
#[derive(Clone, Default)]
pub struct Complaints {
    /// Served answers.
    pub answers: f64,
    /// Complaints.
    pub count: f64,
    /// The machines that they were about.
    pub machines: BTreeSet<MachineId>,
}

impl Complaints {
    /// Takes a complaint about an answer of `machine`.
    pub fn record(&mut self, machine: MachineId) {
        self.count += 1.0;
        self.machines.insert(machine);
    }
}

/// Middles by machine kind and class.
pub type MedianPaces = BTreeMap<(u8, usize), f64>;

/// The middle of `value` for each machine kind and class with at least `least` of them.
pub fn medians<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    value: impl Fn(&Sample) -> Option<f64>,
    least: usize,
) -> MedianPaces {
    let mut groups: BTreeMap<(u8, usize), Vec<f64>> = BTreeMap::new();
    for s in samples {
        groups.entry((s.kind, s.class)).or_default().extend(value(s));
    }
    let enough = groups.into_iter().filter(|g| g.1.len() >= least);
    enough.filter_map(|(k, mut v)| Some((k, median(&mut v)?))).collect()
}

/// Median of own paces over the figures for their kind and class, if there are `least` of them.
pub fn pace_relative_to<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    figures: &MedianPaces,
    least: usize,
) -> Option<f64> {
    let ratio = |s: &Sample| Some(s.measured_pace? / figures.get(&(s.kind, s.class))?.max(f64::MIN_POSITIVE));
    let mut paces: Vec<f64> = samples.filter_map(ratio).collect();
    median(&mut paces).filter(|_| paces.len() >= least)
}

/// How many samples there are, and how many of them failed.
pub fn failure_counts(samples: &[&Sample]) -> (f64, f64) {
    (samples.len() as f64, samples.iter().filter(|s| !s.ok).count() as f64)
}

/// The machines in the samples, highest mean of `score` first.
pub fn machines_by_score(samples: &[&Sample], score: impl Fn(&Sample) -> f64) -> Vec<MachineId> {
    let mut by: BTreeMap<MachineId, (f64, f64)> = BTreeMap::new();
    for s in samples {
        let sum = by.entry(s.machine).or_default();
        *sum = (sum.0 + score(s), sum.1 + 1.0);
    }
    let mut order: Vec<_> = by.into_iter().map(|(m, (sum, n))| (m, sum / n)).collect();
    order.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    order.into_iter().map(|o| o.0).collect()
}

/// The middle `value` of each of some machines, sorted.
pub fn machine_medians(
    samples: &[&Sample],
    machines: &[MachineId],
    value: impl Fn(&Sample) -> Option<f64>,
) -> Vec<f64> {
    let of = |id| samples.iter().filter(move |s| s.machine == id).filter_map(|s| value(s));
    let mut all: Vec<f64> =
        machines.iter().filter_map(|id| median(&mut of(*id).collect::<Vec<_>>())).collect();
    all.sort_by(f64::total_cmp);
    all
}

/// The samples without those of the named machines.
pub fn without_machines<'a>(samples: &[&'a Sample], machines: &[MachineId]) -> Vec<&'a Sample> {
    let out: BTreeSet<_> = machines.iter().collect();
    samples.iter().filter(|s| !out.contains(&s.machine)).copied().collect()
}

/// What a front knows; it starts empty.
#[derive(Clone, Default)]
pub struct FrontState {
    /// All machines ever listed.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Requests that are owed a final answer.
    pub requests: BTreeMap<RequestId, Request>,
    /// Attempts whose outcome is to come.
    pub attempts_in_flight: BTreeMap<(RequestId, u16), InFlightAttempt>,
    /// Attempts out.
    pub in_flight: u32,
    /// Attempts out, by build.
    pub in_flight_by_build: BTreeMap<Build, u32>,
    /// The machines that this front sends to, by build.
    pub subset: BTreeMap<Build, Vec<MachineId>>,
    /// Each build's part of the fleet's capacity.
    pub capacity_shares: BTreeMap<Build, f64>,
    /// Fronts that meet a machine of the largest build, over those that meet one of this build.
    pub subset_overlap: BTreeMap<Build, f64>,
    /// Smoothed answer time over expected work, by kind.
    pub kind_pace: BTreeMap<u8, f64>,
    /// The last valid news.
    pub rollout_status: Option<RolloutStatus>,
    /// When the present stage began, as told.
    pub stage_began_at: Micros,
    /// Longest boot that a stage may still be in.
    pub boot_time: Micros,
    /// Builds that were taken off.
    pub withdrawn_builds: BTreeSet<Build>,
    /// Places of the fleet.
    pub slots: usize,
    /// Requests taken, by class.
    pub accepted: Vec<SlidingSum>,
    /// Longest time that clients lately said they would wait, by class.
    pub longest_waits: Vec<f64>,
    /// Attempts, by build and class.
    pub exposure: BTreeMap<(Build, usize), SlidingSum>,
    /// Outcomes as evidence, by build.
    pub samples: BTreeMap<Build, VecDeque<Sample>>,
    /// Keys answered by a build.
    pub key_builds: BTreeMap<u64, Build>,
    /// Work that a warm machine is sent, by size and microsecond.
    pub warm_work_rate: f64,
    /// Served answers.
    pub served: SlidingSum,
    /// Best recent completions a microsecond.
    pub best_rate: f64,
    /// Smoothed answer time.
    pub answer_time: f64,
    /// When an answer last told of it.
    pub answered_at: Micros,
    /// Smoothed share of probes that were not answered in time.
    pub late_probe_share: f64,
    /// Smoothed share of attempts that got no connection.
    pub connect_failure_share: f64,
    /// Smoothed share of attempts that got no answer.
    pub unanswered_share: f64,
    /// Smoothed expected work of served requests.
    pub answer_work: f64,
    /// Retries saved up.
    pub retry_budget: TokenBucket,
    /// Each tenant's requests in hand.
    pub tenant_quotas: Vec<TokenBucket>,
    /// The newest build that was on trial, and the evidence on it.
    pub evidence: Option<(Build, yarrowspoke_verdict::evidence_log::EvidenceLog)>,
    /// What clients said of answers, by build.
    pub complaints: BTreeMap<Build, Complaints>,
    /// Smoothed share of failures on builds that are not on trial.
    pub failure_share: f64,
    /// It was large since the newest build came.
    pub failures_are_common: bool,
    /// Usual paces from before the newest build.
    pub baseline_paces: MedianPaces,
    /// Since when a finding that must last has lasted.
    pub suspect_since: Option<Micros>,
    /// Since when failures have been seen that may be a sick machine's.
    pub faulty_machine_since: Option<Micros>,
    /// A build that this front has voted back.
    pub build_to_roll_back: Option<Build>,
    /// The last vote cast.
    pub vote: Option<(Build, u8, Vote)>,
    /// When it was cast.
    pub vote_sent_at: Micros,
    /// When it was taken, if it was.
    pub vote_accepted_at: Option<Micros>,
    /// Its answer is to come.
    pub vote_pending: bool,
    /// Events that named something unknown.
    pub ignored_events: u64,
}

impl FrontState {
    /// Takes a line of the list. A new process or build under an id starts with a clean record.
    pub fn update_machine(&mut self, now: Micros, e: &MachineEntry) {
        let fresh = || Machine {
            entry: e.clone(),
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
        let m = self.machines.entry(e.machine).or_insert_with(fresh);
        if m.entry.started_at != e.started_at || m.entry.build != e.build {
            (m.failure_share, m.ejected_until, m.ejections) = (0.0, 0, 0);
            (m.silent_since, m.answered_at, m.pace) = (now, 0, 1.0);
        }
        m.entry = e.clone();
        if !(m.entry.weight > 0.0 && m.entry.weight.is_finite()) {
            m.entry.weight = 1.0;
        }
    }

    /// Marks as gone what a whole list does not name.
    pub fn mark_missing_gone(&mut self, entries: &[MachineEntry]) {
        let listed: BTreeSet<_> = entries.iter().map(|e| e.machine).collect();
        for (_, m) in self.machines.iter_mut().filter(|m| !listed.contains(m.0)) {
            m.entry.state = MachineState::Gone;
        }
    }

    /// Forgets machines that are gone and on which nothing hangs, and builds that no listed machine runs, but the
    /// newest `builds` seen.
    ///
    /// Danger: over weeks of releases each build and machine leaves its outcomes behind.
    pub fn evict_unused(&mut self, builds: usize) {
        let tried = self.requests.values().flat_map(|r| r.attempts.iter().map(|a| a.machine));
        let held: BTreeSet<_> = tried.chain(self.attempts_in_flight.values().map(|o| o.machine)).collect();
        self.machines.retain(|id, m| m.entry.state != MachineState::Gone || held.contains(id));
        let mut stay: BTreeSet<Build> = self.machines.values().map(|m| m.entry.build).collect();
        stay.extend(self.attempts_in_flight.values().map(|o| o.build));
        stay.extend(self.samples.keys().rev().take(builds));
        self.samples.retain(|b, _| stay.contains(b));
        self.in_flight_by_build.retain(|b, _| stay.contains(b));
        self.complaints.retain(|b, _| stay.contains(b));
        self.exposure.retain(|b, _| stay.contains(&b.0));
        self.withdrawn_builds.retain(|b| stay.contains(b));
    }

    /// The ready machines of each build that a front sends to: on a ring by a hash of their ids, the `most` from `part` of
    /// the way round.
    pub fn subset_from(&self, most: usize, part: f64) -> BTreeMap<Build, Vec<MachineId>> {
        let mut rings: BTreeMap<Build, Vec<MachineId>> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.entry.state == MachineState::Ready) {
            rings.entry(m.entry.build).or_default().push(m.entry.machine);
        }
        for ring in rings.values_mut() {
            ring.sort_by(|a, b| hash_to_unit(u64::from(*a)).total_cmp(&hash_to_unit(u64::from(*b))));
            let from = (part * ring.len() as f64) as usize % ring.len();
            ring.rotate_left(from);
            ring.truncate(most);
        }
        rings
    }

    /// Works out anew which machines this front sends to.
    pub fn resubset(&mut self, most: usize, part: f64) {
        self.subset = self.subset_from(most, part);
    }

    /// The machines within reach.
    pub fn subset_machines(&self) -> impl Iterator<Item = &Machine> {
        self.subset.values().flatten().filter_map(|id| self.machines.get(id))
    }

    /// The ready machines that run `build`.
    pub fn ready_machines(&self, build: Build) -> impl Iterator<Item = &Machine> {
        let ready = move |m: &&Machine| m.entry.build == build && m.entry.state == MachineState::Ready;
        self.machines.values().filter(ready)
    }

    /// The lowest build that a listed machine runs.
    pub fn base_build(&self) -> Option<Build> {
        let listed = self.machines.values().filter(|m| m.entry.state != MachineState::Gone);
        listed.map(|m| m.entry.build).min()
    }

    /// The newest start seen of `build`, or the start of the stage.
    pub fn newest_start(&self, build: Build) -> Micros {
        let starts = self.machines.values().filter(|m| m.entry.build == build).map(|m| m.entry.started_at);
        starts.max().unwrap_or(0).max(self.stage_began_at)
    }

    /// Outcomes of the builds below `build`, lowest first, without those that were taken off.
    pub fn samples_below(&self, build: Build) -> impl DoubleEndedIterator<Item = &VecDeque<Sample>> {
        let kept = |s: &(&Build, &VecDeque<Sample>)| !self.withdrawn_builds.contains(s.0);
        self.samples.range(..build).filter(kept).map(|s| s.1)
    }

    /// Books an attempt at machine `to`; exposure is kept for `window`, work sent for `fall`.
    pub fn record_send(
        &mut self,
        now: Micros,
        id: RequestId,
        r: &mut Request,
        to: MachineId,
        window: Micros,
        fall: Micros,
    ) {
        let Some(m) = self.machines.get_mut(&to) else { return };
        if m.in_flight == 0 {
            m.silent_since = now;
        }
        m.in_flight += 1;
        m.work_sent.add(now, r.work, fall);
        let (build, zone, cell, queue) = (m.entry.build, m.entry.zone, m.entry.cell, f64::from(m.in_flight));
        self.in_flight += 1;
        *self.in_flight_by_build.entry(build).or_default() += 1;
        self.exposure.entry((build, r.class)).or_default().add(now, 1.0, window);
        let attempt = r.attempts.len() as u16;
        r.attempts.push(Attempt {
            machine: to,
            build,
            zone,
            cell,
            sent_at: now,
            in_flight: true,
            may_have_run: true,
        });
        let o = InFlightAttempt {
            machine: to,
            build,
            class: r.class,
            sent_at: now,
            work: r.work,
            queue_length: queue,
        };
        self.attempts_in_flight.insert((id, attempt), o);
    }

    /// Takes an attempt off the books; one that is not there is counted and ignored.
    pub fn record_end(&mut self, id: RequestId, attempt: u16) -> Option<InFlightAttempt> {
        let Some(o) = self.attempts_in_flight.remove(&(id, attempt)) else {
            self.ignored_events += 1;
            return None;
        };
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_by_build.entry(o.build).and_modify(|h| *h = h.saturating_sub(1));
        Some(o)
    }

    /// How many outcomes of `build` are kept.
    pub fn sample_count(&self, build: Build) -> usize {
        self.samples.get(&build).map_or(0, VecDeque::len)
    }

    /// Keeps an outcome, and at most `most` of its build.
    pub fn record_sample(&mut self, build: Build, most: usize, o: &Outcome) {
        let &Outcome {
            at, machine, kind, class, failed, reported_time: reported, measured_pace: own, ..
        } = o;
        let ring = self.samples.entry(build).or_default();
        ring.push_back(Sample {
            at,
            machine,
            kind,
            class,
            ok: !failed,
            pace: reported.or(own),
            measured_pace: own,
        });
        if ring.len() > most {
            ring.pop_front();
        }
    }

    /// Of the outcomes of `build`: how many, how many failed, sound ones in a row at the end, and the last failure.
    pub fn outcome_counts(&self, build: Build) -> (f64, f64, f64, Micros) {
        let Some(ring) = self.samples.get(&build) else { return (0.0, 0.0, 0.0, 0) };
        let run = ring.iter().rev().take_while(|s| s.ok).count();
        let last = ring.iter().rev().nth(run).map_or(0, |s| s.at);
        (ring.len() as f64, ring.iter().filter(|s| !s.ok).count() as f64, run as f64, last)
    }

    /// Reckons for each build the fronts that meet a machine of the largest one over those that meet one of this,
    /// where each meets `reach` of each.
    pub fn update_subset_overlap(&mut self, reach: usize) {
        let mut count: BTreeMap<Build, f64> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.entry.state == MachineState::Ready) {
            *count.entry(m.entry.build).or_default() += 1.0;
        }
        let met = |n: f64| (reach as f64).min(n) / n.max(1.0);
        let most = count.values().copied().fold(0.0, f64::max);
        self.subset_overlap = count.iter().map(|(b, n)| (*b, met(most) / met(*n))).collect();
    }

    /// Requests that wait for the answer of `machine` to a probe.
    pub fn requests_awaiting_probe(&self, machine: MachineId) -> Vec<RequestId> {
        let asking = |r: &(&RequestId, &Request)| r.1.awaiting_probe && r.1.probed_machine == Some(machine);
        self.requests.iter().filter(asking).map(|r| *r.0).collect()
    }

    /// Ready machines, of all builds or of all but `build`.
    pub fn ready_machines_except(&self, build: Option<Build>) -> usize {
        let other = |m: &&Machine| m.entry.state == MachineState::Ready && build != Some(m.entry.build);
        self.machines.values().filter(other).count()
    }
}
