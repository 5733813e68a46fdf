//! What a front's own evidence on a build comes to. The statistics are the verdict crate's, the values stand here.

use super::{Front, MS, PACE_WEIGHT};
use crate::accounting::*;
use crate::interface::*;
use yarrowspoke_verdict::evidence_log::{Design, EvidenceLog, Findings, Outcome};
use yarrowspoke_verdict::{evidence::Onsets, failures::excess_evidence, pace::PaceDesign, split};

/// Rates of judging that hold where the operators state none.
pub const DEFAULT_ERROR_RATES: ErrorRates = ErrorRates {
    false_rollback: 0.02, // chance that the fleet sends a good build back in a whole release
    missed_fault: 0.05,   // chance that it keeps a bad one, for faults of the sizes below where time allows
    min_failure_increase: 0.05, // failure share above the earlier build's that counts as a fault
    min_slowdown: 1.5,    // pace over the earlier build's that counts as one
};
const ALARMS: (f64, f64) = (0.7, 0.3); // parts of the false alarms for failures and for slowness
const CROSSED: (f64, f64) = (0.05, 0.4); // part of the bound that good builds' fronts use; most, for counts
const RIFE: (f64, f64) = (0.05, 0.08); // weight of the newest, and share of failures at which they are common
const EFFECTS: [f64; 3] = [0.4, 2.0, 8.0]; // alternatives weighed, in least faults
const TOLERATED: f64 = 1.15; // pace over the earlier build's that a good build may have
const SLOW_PART: f64 = 0.6; // part of the least slowness (as a logarithm) that the middle must show
const DOUBT: f64 = -0.3; // evidence above which 'on' is held back: more for a fault than against it
const SLOW_DOUBT: f64 = 3.0; // the same for slowness
const FLOOR: (f64, f64) = (0.002, 50.0); // least failure share of any build, believed like so many outcomes
const BLOCK: (Micros, f64) = (500 * MS, 8.0); // a block lasts so long, beside so many earlier outcomes
const BLOCK_THIN: (Micros, f64) = (4_000 * MS, 8.0); // ...or this; new to one earlier where memory speaks
const APART: Micros = 4_000 * MS; // times at which a fault may begin lie so far apart
const BEGUN: (usize, f64, f64) = (6, 0.35, 0.15); // of which so many are weighed; weights of times and ages
const AGES: [Micros; 5] = [0, 3_000 * MS, 5_000 * MS, 7_000 * MS, 10_000 * MS]; // ages of machines at which a fault may begin
const WITNESSES: usize = 64; // machines told apart in the evidence, for each class
const MEMORY: f64 = 2_000.0; // outcomes of the earlier build that its memory holds
const MEMORY_BOUND: (f64, f64) = (1.5, 0.005); // its upper bound in deviations, and what passes
const TESTS: [f64; 6] = [0.05, 0.03, 0.27, 0.4, 0.05, 0.2]; // weights of the tests of failures
const MEMORY_CLASS: (f64, f64) = (1.0, 0.02); // bound and what passes for each class by itself
const HEARD: u32 = 8; // outcomes by which a machine is a witness
const REPORTS: (f64, u32) = (20.0, 200); // times that a broken report is off; same answers that freeze one
const PACE_APART: (f64, f64) = (0.15, 4.0); // spread of good machines' paces, believed like so many machines
const SICK_PART: usize = 4; // one machine in so many, and one at least, may be sick by itself
const LOUD: (f64, f64) = (3.0, 2.5); // machines of which most must show a fault that is so often the alarm
const SICK_PRICE: (f64, f64) = (3.0, 4.0); // most that a sick machine adds to the evidence; a zone's price
const LOOK_EVERY: Micros = 200 * MS; // paces are compared this often
pub(super) const SLOWNESS_DURATION: Micros = 2_500 * MS; // slowness must last so long; failures have ceased if none is so recent
const SOUND: (f64, f64) = (8.0, 2.5); // sound outcomes in a row that clear of a fault; times its usual gap
const PACE_LEAST: usize = 12; // answers by which pace is judged
const PACE_GAP: Micros = 1_000 * MS; // pace is not judged once the last earlier answer is this old
pub(super) const MIN_OUTCOMES: usize = 20; // outcomes of a class that the judge wants
pub(super) const EVIDENCE_WINDOW: Micros = 8_000 * MS; // age up to which outcomes and paces speak
const RING: usize = 3_000; // outcomes kept for each build

/// What the evidence on a build comes to, from good to bad.
#[derive(Clone, Copy, PartialEq, PartialOrd, Eq, Ord, Debug)]
pub(super) enum Finding {
    Clear,
    TooFewOutcomes,
    FaultyMachine,
    Doubt,
    SingleMachineDoubt,
    SingleMachineFault,
    Slow,
    Fault,
}

impl Front {
    /// Holds to other settings from now on; to the sizes of faults in them from the next build.
    pub fn replace_settings(&mut self, s: Settings) {
        (self.alarms, self.settings) = (judge_design(&s).1, s);
    }

    /// Takes an outcome as evidence on the newest build, for or against it. A build that was taken off is no
    /// measure for the next.
    pub(super) fn record_evidence(&mut self, build: Build, o: &Outcome) {
        self.state.record_sample(build, RING, o);
        if self.exposure_cap(build).is_some() {
            self.open_evidence(build);
        }
        // Danger: what fails everywhere brings fronts nearer to the bound than where next to nothing does.
        if self.state.evidence.as_ref().is_none_or(|b| build < b.0) {
            update_average(&mut self.state.failure_share, RIFE.0, o.failed);
            self.state.failures_are_common |= self.state.failure_share > RIFE.1;
        }
        match &mut self.state.evidence {
            Some((on, book)) if *on == build => book.record(true, o),
            Some((on, book)) if *on > build && !self.state.withdrawn_builds.contains(&build) => {
                book.record(false, o)
            }
            _ => {}
        }
    }

    pub(super) fn open_evidence(&mut self, build: Build) {
        if self.state.evidence.as_ref().is_none_or(|b| b.0 < build) {
            self.state.evidence = Some((build, EvidenceLog::new(judge_design(&self.settings).0)));
            self.state.failures_are_common = false;
        }
    }

    /// Evidence of wrong answers. Danger: only a part is reported, so that a few complaints say more than as
    /// many errors would; but one machine may spoil its answers by itself, and counts once.
    pub(super) fn complaint_evidence(&self, build: Build, least_fault: f64) -> f64 {
        let kept =
            self.state.complaints.range(..build).filter(|c| !self.state.withdrawn_builds.contains(c.0));
        let known = kept.fold((FLOOR.0 * FLOOR.1, FLOOR.1), |s, (_, c)| (s.0 + c.count, s.1 + c.answers));
        let Some(of) = self.state.complaints.get(&build) else { return 0.0 };
        let shares = EFFECTS.map(|e| e * least_fault * self.settings.release.complaint_share);
        excess_evidence(known.0 / known.1, &shares, of.machines.len() as f64, of.answers)
    }

    /// What the evidence on `build` comes to; the worst finding stands.
    pub(super) fn judge(&self, now: Micros, build: Build) -> (Finding, String) {
        let Some(book) = self.state.evidence.as_ref().filter(|b| b.0 == build).map(|b| &b.1) else {
            return (Finding::TooFewOutcomes, "nothing seen".into());
        };
        let rates = self.settings.error_rates.unwrap_or(DEFAULT_ERROR_RATES);
        let f: Findings = book.findings();
        let (alarm, slow_alarm) = (self.alarms[usize::from(self.state.failures_are_common)], self.alarms[2]);
        let trial = || self.state.samples.get(&build).into_iter().flatten();
        let lately = || trial().filter(|s| s.at + EVIDENCE_WINDOW > now);
        let of = |class| lately().filter(|s| s.class == class).count();
        let thin = (0..self.settings.classes.len()).all(|class| of(class) < MIN_OUTCOMES);
        // A machine alone may be sick by itself; that a fault lasts is all that speaks against its build.
        // Before the last stage more machines come, and the next stage tells one from the other.
        let next = usize::from(self.stage(build)) + 1 < self.settings.release.stage_shares.len();
        let alone = self.state.ready_machines(build).count() < 2 && !next;
        // Danger: of a stage's few machines several may be sick, and what they add lasts into later stages. A
        // build's own fault shows on most of its machines: the better half must not speak for it. But a fault
        // under load shows now here, now there, and no machine says much.
        let several =
            self.state.rollout_status.is_some_and(|n| n.build == build && self.wanted_machines(&n) >= LOUD.0);
        let loud = several && f.witnesses > 0 && f.failing_or_faulty > LOUD.1 * alarm;
        let few_sick = loud && f.failing_beyond_half < DOUBT;
        let mut worst = match () {
            () if f.failing >= alarm && few_sick => Finding::FaultyMachine,
            () if f.failing >= alarm => Finding::Fault,
            () if alone && f.failing_or_faulty >= alarm => Finding::SingleMachineFault,
            () if alone && f.failing_or_faulty >= DOUBT => Finding::SingleMachineDoubt,
            () if f.failing_beyond_faulty >= DOUBT => Finding::Doubt,
            // A build that is bad from some age on shows first on its oldest machine, as a sick one does.
            () if f.failing.max(f.failing_or_faulty) >= DOUBT => Finding::FaultyMachine,
            () => Finding::Clear,
        };
        // A build does not recover: failures that ceased were a machine's or the network's. Danger: where few
        // fail, some sound ones are no end of it; a released one has none beside it to hold rife ones to.
        let released = self.state.rollout_status.is_some_and(|n| n.phase == Phase::Released);
        let (all, failed, run, last) = self.state.outcome_counts(build);
        let usual = SOUND.1 * all / failed.max(1.0);
        let ceased = |span, least| all > 0.0 && last + span <= now && run >= f64::max(least, usual);
        if ceased(EVIDENCE_WINDOW, MIN_OUTCOMES as f64) {
            worst = Finding::Clear;
        } else if ceased(SLOWNESS_DURATION, SOUND.0) || released && self.state.failures_are_common {
            worst = worst.min(Finding::Doubt);
        }
        let wrong = self.complaint_evidence(build, rates.min_failure_increase);
        if wrong > 0.0 {
            worst = worst.max(if wrong >= self.alarms[1] { Finding::Fault } else { Finding::Doubt });
        }
        let trial_pace = pace_relative_to(lately(), &self.state.baseline_paces, PACE_LEAST);
        // Danger: earlier machines left idle look quick, and once they are gone a busy moment of the new ones
        // has no match. Reports may be false: own answers must agree.
        let slowed = trial_pace.is_none_or(|p| p > rates.min_slowdown.powf(SLOW_PART));
        let matched = book.last_earlier_at() + PACE_GAP > now && !self.list_is_behind(build) && !released;
        let (ratio, slow) = (f.slowness.ratio, f.slow >= slow_alarm);
        let (failing, sick, slower) = (f.failing, f.failing_or_faulty, f.slow);
        let text = format!("failing {failing:.1} ({sick:.1} with sick machines) of {alarm:.1}, ")
            + &format!("wrong {wrong:.1}, pace {ratio:.2} at {slower:.1}");
        if matched && slow && slowed && ratio > rates.min_slowdown.powf(SLOW_PART) {
            worst = worst.max(Finding::Slow);
        } else if matched && f.slow >= SLOW_DOUBT && ratio > rates.min_slowdown.sqrt() {
            worst = worst.max(Finding::Doubt);
        }
        (if worst == Finding::Clear && thin { Finding::TooFewOutcomes } else { worst }, text)
    }
}

/// How evidence on a build is gathered, and that at which a front acts on failures, on failures where all
/// builds have them, and on slowness. The statistics are the verdict crate's, the values are here.
///
/// Danger: where one of hundreds of fronts sends a build back, the unluckiest decides. Failures are seen by
/// each front on requests of its own; paces are the machines' and the same for all.
pub fn judge_design(s: &Settings) -> (Design, [f64; 3]) {
    let (rates, votes) = (s.error_rates.unwrap_or(DEFAULT_ERROR_RATES), s.release.rollback_votes);
    let pace = PaceDesign {
        weight: PACE_WEIGHT,
        min_values: PACE_LEAST as u32 / 2,
        max_silence: EVIDENCE_WINDOW,
        outlier_factor: REPORTS.0,
        frozen_after: REPORTS.1,
        spread: PACE_APART.0,
        spread_weight: PACE_APART.1,
        faulty_one_in: SICK_PART,
        max_machines: WITNESSES,
    };
    let design = Design {
        classes: s.classes.len(),
        effects: EFFECTS.iter().map(|e| (e * rates.min_failure_increase).min(0.9)).collect(),
        failure_floor: FLOOR.0,
        floor_weight: FLOOR.1,
        block: BLOCK,
        block_longest: BLOCK_THIN.0,
        thin_ratio: BLOCK_THIN.1,
        onset_spacing: APART,
        onsets: Onsets { ages: AGES.to_vec(), max_times: BEGUN.0, weights: (BEGUN.1, BEGUN.2) },
        max_machines: WITNESSES,
        faulty_one_in: SICK_PART,
        faulty_bound: SICK_PRICE.0,
        zone_bound: SICK_PRICE.1,
        slowdown: (TOLERATED, rates.min_slowdown),
        pace_every: LOOK_EVERY,
        memory: MEMORY,
        memory_bound: MEMORY_BOUND,
        memory_class: MEMORY_CLASS,
        margin: rates.min_failure_increase,
        witness_outcomes: HEARD,
        weights: TESTS,
        pace,
    };
    let rate = rates.false_rollback;
    let bound = split::independent_front_rate(rate * ALARMS.0, s.fronts, votes);
    let failing = if votes > 1 { (bound / CROSSED.0).min(CROSSED.1) } else { bound };
    let slow = split::front_rate(rate * ALARMS.1, s.fronts, votes);
    (design, [-failing.ln(), -bound.ln(), -slow.ln()])
}
