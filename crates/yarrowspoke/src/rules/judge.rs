//! The judgement of a build by a front's own evidence. The statistics are in the verdict crate, their parameters here.

use super::{Front, MS, PACE_WEIGHT};
use crate::accounting::*;
use crate::interface::*;
use yarrowspoke_verdict::evidence_log::{Design, EvidenceLog, Findings, Outcome};
use yarrowspoke_verdict::{evidence::Onsets, failures::excess_evidence, pace::PaceDesign, split};

/// Error rates that apply where the operators set none.
pub const DEFAULT_ERROR_RATES: ErrorRates = ErrorRates {
    false_rollback: 0.02, // chance that the fleet rolls a good build back in a whole release
    missed_fault: 0.05, // chance that it keeps a bad build, for faults of the sizes below where time allows to find them
    min_failure_increase: 0.05, // increase over the earlier build's share of failures that counts as a fault
    min_slowdown: 1.5,  // ratio to the earlier build's pace that counts as a fault
};
/// Fraction of the rate of false rollbacks that the test of failures may use.
const FAILURE_ALARM_SHARE: f64 = 0.7;
/// Fraction of the rate of false rollbacks that the test of slowness may use.
const SLOWNESS_ALARM_SHARE: f64 = 0.3;
/// Fraction of the bound on false alarms that fronts with a good build use up in the test of failures.
const USED_BOUND_SHARE: f64 = 0.05;
/// Upper limit on the per-front chance of a false alarm after division by [`USED_BOUND_SHARE`].
const MAX_FRONT_ALARM_RATE: f64 = 0.4;
/// Weight of the newest outcome in the average share of failures of builds that are not on trial.
const FAILURE_SHARE_WEIGHT: f64 = 0.05;
/// Share of failures above which failures are common to all builds.
const COMMON_FAILURE_SHARE: f64 = 0.08;
/// Alternatives that the test of failures weighs, as multiples of the smallest increase that counts as a fault.
const FAULT_SIZES: [f64; 3] = [0.4, 2.0, 8.0];
/// Ratio to the earlier build's pace that a good build may have.
const TOLERATED_SLOWDOWN: f64 = 1.15;
/// Fraction of the smallest slowdown (as a logarithm) that the median must show.
const MEDIAN_SLOWDOWN_EXPONENT: f64 = 0.6;
/// Evidence of failures (natural logarithm) above which 'advance' is withheld: more for a fault than against it.
const FAILURE_DOUBT: f64 = -0.3;
/// Evidence of slowness (natural logarithm) above which 'advance' is withheld.
const SLOWNESS_DOUBT: f64 = 3.0;
/// Smallest share of failures assumed for any build.
const FAILURE_FLOOR: f64 = 0.002;
/// Number of outcomes that the assumed share of failures is worth.
const FLOOR_OUTCOMES: f64 = 50.0;
/// Shortest duration of a block of evidence, in microseconds.
const MIN_BLOCK_TIME: Micros = 500 * MS;
/// Number of outcomes of the earlier build that a block needs in order to end after its shortest duration.
const BLOCK_OUTCOMES: f64 = 8.0;
/// Longest duration of a block, in microseconds.
const MAX_BLOCK_TIME: Micros = 4_000 * MS;
/// Outcomes of the build on trial per outcome of the earlier one above which remembered outcomes are used instead.
const MEMORY_RATIO: f64 = 8.0;
/// Distance between the times at which a fault may begin, in microseconds.
const ONSET_SPACING: Micros = 4_000 * MS;
/// Number of those times that are weighed.
const MAX_ONSET_TIMES: usize = 6;
/// Weight of all times but the first together.
const ONSET_TIMES_WEIGHT: f64 = 0.35;
/// Weight of all machine ages but the first together.
const ONSET_AGES_WEIGHT: f64 = 0.15;
/// Ages of machines at which a fault may begin, in microseconds.
const ONSET_AGES: [Micros; 5] = [0, 3_000 * MS, 5_000 * MS, 7_000 * MS, 10_000 * MS];
/// Number of machines that the evidence tells apart, for each class.
const MAX_MACHINES: usize = 64;
/// Number of outcomes of the earlier build that are remembered.
const MEMORY_OUTCOMES: f64 = 2_000.0;
/// Upper bound on the remembered share of failures, in standard deviations.
const MEMORY_DEVIATIONS: f64 = 1.5;
/// Share of failures that is tolerated above that bound.
const MEMORY_MARGIN: f64 = 0.005;
/// Weights of the tests of failures, in the order of [`Design::weights`].
const TEST_WEIGHTS: [f64; 6] = [0.05, 0.03, 0.27, 0.4, 0.05, 0.2];
/// Upper bound on the remembered share of failures of a single class, in standard deviations.
const CLASS_MEMORY_DEVIATIONS: f64 = 1.0;
/// Share of failures that is tolerated above the bound of a single class.
const CLASS_MEMORY_MARGIN: f64 = 0.02;
/// Number of outcomes from which a machine counts as a witness.
const WITNESS_OUTCOMES: u32 = 8;
/// Ratio to the usual value, or its inverse, from which a load report is taken as broken.
const REPORT_OUTLIER_FACTOR: f64 = 20.0;
/// Number of equal reports in a row from which a report is taken as frozen.
const REPORT_FROZEN_AFTER: u32 = 200;
/// Spread of the paces of good machines (standard deviation of the logarithm), where few machines show it.
const PACE_SPREAD: f64 = 0.15;
/// Number of machines that the assumed spread is worth.
const PACE_SPREAD_WEIGHT: f64 = 4.0;
/// One machine in this many, and at least one, may be faulty by itself.
const FAULTY_ONE_IN: usize = 4;
/// Number of machines of a stage from which a fault with much evidence must show on most of them.
const WIDESPREAD_MIN_MACHINES: f64 = 3.0;
/// Multiple of the alarm bound from which there is much evidence in that sense.
const WIDESPREAD_ALARM_FACTOR: f64 = 2.5;
/// Greatest evidence (natural logarithm) that a faulty machine may add.
const FAULTY_MACHINE_BOUND: f64 = 3.0;
/// Evidence (natural logarithm) by which a fault of a zone is discounted.
const FAULTY_ZONE_BOUND: f64 = 4.0;
/// Period at which paces are compared, in microseconds.
const PACE_COMPARISON_PERIOD: Micros = 200 * MS;
/// Time in microseconds that slowness must last; failures have ceased if none is as recent as this.
pub(super) const SLOWNESS_DURATION: Micros = 2_500 * MS;
/// Least number of successes in a row that clear a build of a fault.
const CLEARING_SUCCESSES: f64 = 8.0;
/// Multiple of the usual number of outcomes per failure that the successes in a row must also reach.
const CLEARING_GAPS: f64 = 2.5;
/// Number of answers that a judgement of pace needs.
const MIN_PACES: usize = 12;
/// Age in microseconds of the last answer of an earlier build from which pace is no longer judged.
const MAX_EARLIER_PACE_AGE: Micros = 1_000 * MS;
/// Number of outcomes of a class that a judgement needs.
pub(super) const MIN_OUTCOMES: usize = 20;
/// Age in microseconds up to which outcomes and paces count as evidence.
pub(super) const EVIDENCE_WINDOW: Micros = 8_000 * MS;
/// Number of outcomes kept for each build.
const MAX_SAMPLES: usize = 3_000;

/// What the evidence on a build shows, from good to bad.
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
    /// Replaces the settings. The sizes of faults in them apply from the next build on.
    pub fn replace_settings(&mut self, settings: Settings) {
        (self.alarm_bounds, self.settings) = (judge_design(&settings).1, settings);
    }

    /// Records an outcome as evidence for or against the newest build. A withdrawn build is not used as a baseline for the
    /// next one.
    pub(super) fn record_evidence(&mut self, build: Build, outcome: &Outcome) {
        self.state.record_sample(build, MAX_SAMPLES, outcome);
        if self.exposure_cap(build).is_some() {
            self.open_evidence(build);
        }
        // Where requests fail on all builds, fronts come closer to the alarm bound than where next to nothing fails.
        if self.state.evidence.as_ref().is_none_or(|e| build < e.0) {
            update_average(&mut self.state.failure_share, FAILURE_SHARE_WEIGHT, outcome.failed);
            self.state.failures_are_common |= self.state.failure_share > COMMON_FAILURE_SHARE;
        }
        match &mut self.state.evidence {
            Some((newest, evidence)) if *newest == build => evidence.record(true, outcome),
            Some((newest, evidence)) if *newest > build && !self.state.withdrawn_builds.contains(&build) => {
                evidence.record(false, outcome)
            }
            _ => {}
        }
    }

    pub(super) fn open_evidence(&mut self, build: Build) {
        if self.state.evidence.as_ref().is_none_or(|e| e.0 < build) {
            self.state.evidence = Some((build, EvidenceLog::new(judge_design(&self.settings).0)));
            self.state.failures_are_common = false;
        }
    }

    /// Returns the evidence of wrong answers, from the complaints of clients.
    ///
    /// Only a part of the wrong answers is reported, so a few complaints weigh more than as many errors would. A single
    /// machine may spoil its answers by itself, so each machine counts once.
    pub(super) fn complaint_evidence(&self, build: Build, min_increase: f64) -> f64 {
        let earlier =
            self.state.complaints.range(..build).filter(|c| !self.state.withdrawn_builds.contains(c.0));
        let baseline = earlier.fold((FAILURE_FLOOR * FLOOR_OUTCOMES, FLOOR_OUTCOMES), |sum, (_, c)| {
            (sum.0 + c.count, sum.1 + c.answers)
        });
        let Some(complaints) = self.state.complaints.get(&build) else { return 0.0 };
        let increases = FAULT_SIZES.map(|size| size * min_increase * self.settings.release.complaint_share);
        excess_evidence(
            baseline.0 / baseline.1,
            &increases,
            complaints.machines.len() as f64,
            complaints.answers,
        )
    }

    /// Returns the worst finding on `build`, and the figures behind it for the log.
    pub(super) fn judge(&self, now: Micros, build: Build) -> (Finding, String) {
        let Some(evidence) = self.state.evidence.as_ref().filter(|e| e.0 == build).map(|e| &e.1) else {
            return (Finding::TooFewOutcomes, "no outcomes recorded".into());
        };
        let rates = self.settings.error_rates.unwrap_or(DEFAULT_ERROR_RATES);
        let findings: Findings = evidence.findings();
        let (alarm, slow_alarm) =
            (self.alarm_bounds[usize::from(self.state.failures_are_common)], self.alarm_bounds[2]);
        let samples = || self.state.samples.get(&build).into_iter().flatten();
        let recent = || samples().filter(|s| s.at + EVIDENCE_WINDOW > now);
        let outcomes_of = |class| recent().filter(|s| s.class == class).count();
        let too_few = (0..self.settings.classes.len()).all(|class| outcomes_of(class) < MIN_OUTCOMES);
        // A single machine may be faulty by itself, so only the duration of a fault is evidence against its build. Before
        // the last stage, more machines follow, and the next stage tells the two cases apart.
        let has_next_stage = usize::from(self.stage_of(build)) + 1 < self.settings.release.stage_shares.len();
        let single_machine = self.state.ready_machines(build).count() < 2 && !has_next_stage;
        // Several of a stage's few machines may be faulty, and their evidence lasts into later stages. A fault of the
        // build shows on most of its machines, so evidence from the worse half of them alone is not enough. A fault that
        // occurs under load, however, shows on changing machines, with little evidence on each.
        let several = self
            .state
            .rollout_status
            .is_some_and(|s| s.build == build && self.wanted_machines(&s) >= WIDESPREAD_MIN_MACHINES);
        let much_evidence =
            several && findings.witnesses > 0 && findings.failing_or_faulty > WIDESPREAD_ALARM_FACTOR * alarm;
        let few_faulty = much_evidence && findings.failing_beyond_half < FAILURE_DOUBT;
        let mut worst = match () {
            () if findings.failing >= alarm && few_faulty => Finding::FaultyMachine,
            () if findings.failing >= alarm => Finding::Fault,
            () if single_machine && findings.failing_or_faulty >= alarm => Finding::SingleMachineFault,
            () if single_machine && findings.failing_or_faulty >= FAILURE_DOUBT => {
                Finding::SingleMachineDoubt
            }
            () if findings.failing_beyond_faulty >= FAILURE_DOUBT => Finding::Doubt,
            // A build that fails from some age on does so first on its oldest machine, as a faulty machine does.
            () if findings.failing.max(findings.failing_or_faulty) >= FAILURE_DOUBT => Finding::FaultyMachine,
            () => Finding::Clear,
        };
        // A build does not recover: failures that have ceased came from a machine or the network. Where few requests
        // fail, some successes do not show that failures have ceased. A released build has no earlier build beside it to
        // compare common failures with.
        let released = self.state.rollout_status.is_some_and(|s| s.phase == Phase::Released);
        let (total, failed, successes, last_failure) = self.state.outcome_counts(build);
        let usual_gap = CLEARING_GAPS * total / failed.max(1.0);
        let ceased = |span, min_successes| {
            total > 0.0 && last_failure + span <= now && successes >= f64::max(min_successes, usual_gap)
        };
        if ceased(EVIDENCE_WINDOW, MIN_OUTCOMES as f64) {
            worst = Finding::Clear;
        } else if ceased(SLOWNESS_DURATION, CLEARING_SUCCESSES) || released && self.state.failures_are_common
        {
            worst = worst.min(Finding::Doubt);
        }
        let complaints = self.complaint_evidence(build, rates.min_failure_increase);
        if complaints > 0.0 {
            worst =
                worst.max(if complaints >= self.alarm_bounds[1] { Finding::Fault } else { Finding::Doubt });
        }
        let median_pace = pace_relative_to(recent(), &self.state.baseline_paces, MIN_PACES);
        // Earlier machines that are left idle appear fast, and once they are gone there is nothing to compare a busy
        // period of the new machines with. Load reports may be wrong, so this front's own answer times must agree.
        let median_is_slow =
            median_pace.is_none_or(|p| p > rates.min_slowdown.powf(MEDIAN_SLOWDOWN_EXPONENT));
        let comparable = evidence.last_earlier_at() + MAX_EARLIER_PACE_AGE > now
            && !self.list_is_behind(build)
            && !released;
        let (ratio, slow) = (findings.slowness.ratio, findings.slow >= slow_alarm);
        let (failing, with_faulty, slower) = (findings.failing, findings.failing_or_faulty, findings.slow);
        let figures = format!("failing {failing:.1} ({with_faulty:.1} with faulty machines) of {alarm:.1}, ")
            + &format!("complaints {complaints:.1}, pace {ratio:.2} at {slower:.1}");
        if comparable && slow && median_is_slow && ratio > rates.min_slowdown.powf(MEDIAN_SLOWDOWN_EXPONENT) {
            worst = worst.max(Finding::Slow);
        } else if comparable && findings.slow >= SLOWNESS_DOUBT && ratio > rates.min_slowdown.sqrt() {
            worst = worst.max(Finding::Doubt);
        }
        (if worst == Finding::Clear && too_few { Finding::TooFewOutcomes } else { worst }, figures)
    }
}

/// Returns how evidence on a build is gathered, and the bounds of evidence at which a front acts: on failures, on
/// failures where all builds have them, and on slowness. The statistics are in the verdict crate, their parameters here.
///
/// Where a vote of one of hundreds of fronts rolls a build back, the unluckiest front decides, so the rate of false
/// alarms is split among the fronts. Each front sees failures on its own requests; paces belong to the machines and are
/// the same for all fronts.
pub fn judge_design(settings: &Settings) -> (Design, [f64; 3]) {
    let (rates, votes) =
        (settings.error_rates.unwrap_or(DEFAULT_ERROR_RATES), settings.release.rollback_votes);
    let pace = PaceDesign {
        weight: PACE_WEIGHT,
        min_values: MIN_PACES as u32 / 2,
        max_silence: EVIDENCE_WINDOW,
        outlier_factor: REPORT_OUTLIER_FACTOR,
        frozen_after: REPORT_FROZEN_AFTER,
        spread: PACE_SPREAD,
        spread_weight: PACE_SPREAD_WEIGHT,
        faulty_one_in: FAULTY_ONE_IN,
        max_machines: MAX_MACHINES,
    };
    let design = Design {
        classes: settings.classes.len(),
        effects: FAULT_SIZES.iter().map(|size| (size * rates.min_failure_increase).min(0.9)).collect(),
        failure_floor: FAILURE_FLOOR,
        floor_weight: FLOOR_OUTCOMES,
        block: (MIN_BLOCK_TIME, BLOCK_OUTCOMES),
        block_longest: MAX_BLOCK_TIME,
        thin_ratio: MEMORY_RATIO,
        onset_spacing: ONSET_SPACING,
        onsets: Onsets {
            ages: ONSET_AGES.to_vec(),
            max_times: MAX_ONSET_TIMES,
            weights: (ONSET_TIMES_WEIGHT, ONSET_AGES_WEIGHT),
        },
        max_machines: MAX_MACHINES,
        faulty_one_in: FAULTY_ONE_IN,
        faulty_bound: FAULTY_MACHINE_BOUND,
        zone_bound: FAULTY_ZONE_BOUND,
        slowdown: (TOLERATED_SLOWDOWN, rates.min_slowdown),
        pace_every: PACE_COMPARISON_PERIOD,
        memory: MEMORY_OUTCOMES,
        memory_bound: (MEMORY_DEVIATIONS, MEMORY_MARGIN),
        memory_class: (CLASS_MEMORY_DEVIATIONS, CLASS_MEMORY_MARGIN),
        margin: rates.min_failure_increase,
        witness_outcomes: WITNESS_OUTCOMES,
        weights: TEST_WEIGHTS,
        pace,
    };
    let rate = rates.false_rollback;
    let bound = split::independent_front_rate(rate * FAILURE_ALARM_SHARE, settings.fronts, votes);
    let failing = if votes > 1 { (bound / USED_BOUND_SHARE).min(MAX_FRONT_ALARM_RATE) } else { bound };
    let slow = split::front_rate(rate * SLOWNESS_ALARM_SHARE, settings.fronts, votes);
    (design, [-failing.ln(), -bound.ln(), -slow.ln()])
}
