//! All evidence on one build at one front.

use crate::evidence::{log_mean, log_weighted_mean, Evidence, Exclusion, Onsets};
use crate::failures::{
    compare, compare_by_age, compare_to_bound, no_worse_evidence, BuildOutcomes, MachineOutcomes,
};
use crate::pace::{PaceDesign, Paces, Slowness};
use std::collections::BTreeMap;

/// Zones that are told apart; further zones share these numbers.
const ZONES: u16 = 64;

/// The parameters of an evidence log, set by the caller. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Design {
    /// Number of request classes.
    pub classes: usize,
    /// Alternatives: shares by which a bad build may fail more than the earlier one.
    pub effects: Vec<f64>,
    /// Lower bound on the failure share of any build.
    pub failure_floor: f64,
    /// How many outcomes the failure floor weighs as much as.
    pub floor_weight: f64,
    /// Minimum duration of a block, and the outcomes of the earlier build wanted in it.
    pub block: (u64, f64),
    /// Where the build on trial has more than this many times the outcomes of the earlier one, it is compared to the
    /// earlier build's history instead.
    pub thin_ratio: f64,
    /// Maximum duration of a block.
    pub block_longest: u64,
    /// Interval between the times at which a fault may begin.
    pub onset_spacing: u64,
    /// When a fault may begin.
    pub onsets: Onsets,
    /// Most machines tracked.
    pub max_machines: usize,
    /// One machine in this many, but at least one, may be faulty by itself.
    pub faulty_one_in: usize,
    /// Most that each of those may add to the evidence, as a natural logarithm.
    pub faulty_bound: f64,
    /// The same for a zone in which only the build on trial is left.
    pub zone_bound: f64,
    /// Outcomes of the earlier build kept as history for each class.
    pub memory: f64,
    /// Standard deviations of the upper bound on the historical failure share, and the allowance on top of it.
    pub memory_bound: (f64, f64),
    /// The same for the historical failure share of a single class.
    pub memory_class: (f64, f64),
    /// Excess failure share that "no worse" is tested against.
    pub margin: f64,
    /// Multiple of the earlier build's pace that is tolerated, and the one that "no slower" is tested against.
    pub slowdown: (f64, f64),
    /// Interval between two comparisons of paces.
    pub pace_every: u64,
    /// Outcomes from which a machine counts as a witness.
    pub witness_outcomes: u32,
    /// Weights of the tests of failures, which sum to one. Within zones: all classes, and each class. Then one class
    /// that fails more than the others. Over all zones: all classes, and each class, since with thin traffic both
    /// builds are hardly ever seen in the same zone. Last, all classes against the earlier build's history, or its
    /// present failures if those are more.
    pub weights: [f64; 6],
    /// Parameters of the test of slowness.
    pub pace: PaceDesign,
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// When it came.
    pub at: u64,
    /// The machine.
    pub machine: u32,
    /// Zone of the machine.
    pub zone: u16,
    /// Kind of the machine.
    pub kind: u8,
    /// Time since the machine started.
    pub age: u64,
    /// Class of the request.
    pub class: usize,
    /// Whether the request failed.
    pub failed: bool,
    /// The service time that a warm machine reported, in any unit.
    pub reported_time: Option<f64>,
    /// The service time as this front measured it, divided by the expected work.
    pub measured_pace: Option<f64>,
}

/// What the evidence amounts to. Evidence is the natural logarithm of an e-value: whoever acts when it reaches
/// `ln(1/a)` has a rate of false alarms of at most `a`, however often the evidence is evaluated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Findings {
    /// Evidence that the build fails more than the earlier one, whatever one machine in `faulty_one_in` does by
    /// itself.
    pub failing: f64,
    /// The same without any contribution of the machines that may be faulty.
    pub failing_beyond_faulty: f64,
    /// The same without any contribution of the half of the machines that contributes most.
    pub failing_beyond_half: f64,
    /// Evidence that requests to the build fail more, whether the build or its machines are at fault.
    pub failing_or_faulty: f64,
    /// Evidence that the build fails by no more than the margin.
    pub no_worse: f64,
    /// Machines of the build that count as witnesses.
    pub witnesses: usize,
    /// The comparison of paces.
    pub slowness: Slowness,
    /// Evidence that the build is slower than the tolerance, with the error rate spent over the sets of machines
    /// evaluated.
    pub slow: f64,
}

impl Findings {
    /// The findings before the first outcome.
    pub const NOTHING: Self = Self {
        failing: f64::NEG_INFINITY,
        failing_beyond_faulty: f64::NEG_INFINITY,
        failing_beyond_half: f64::NEG_INFINITY,
        failing_or_faulty: f64::NEG_INFINITY,
        no_worse: 0.0,
        witnesses: 0,
        slowness: Slowness::NOTHING,
        slow: f64::NEG_INFINITY,
    };
}

#[derive(Clone, Debug, Default)]
struct Block {
    from: u64,
    trial: Vec<BTreeMap<u32, MachineOutcomes>>,
    earlier: Vec<BuildOutcomes>,
}

impl Block {
    fn new(from: u64, classes: usize) -> Self {
        Self { from, trial: vec![BTreeMap::new(); classes], earlier: vec![BuildOutcomes::default(); classes] }
    }

    fn record(&mut self, trial: bool, outcome: &Outcome) {
        let failed = u32::from(outcome.failed);
        if trial {
            let new_entry = MachineOutcomes {
                machine: outcome.machine,
                zone: outcome.zone,
                age: outcome.age,
                outcomes: 0,
                failed: 0,
            };
            let entry = self.trial[outcome.class].entry(outcome.machine).or_insert(new_entry);
            (entry.outcomes, entry.failed) = (entry.outcomes + 1, entry.failed + failed);
        } else {
            let sums = &mut self.earlier[outcome.class];
            (sums.outcomes, sums.failed) = (sums.outcomes + 1.0, sums.failed + f64::from(failed));
        }
    }

    fn trial_outcomes(&self, class: usize) -> Vec<MachineOutcomes> {
        self.trial[class].values().copied().collect()
    }
}

/// The evidence on one build at one front; see the module.
#[derive(Clone, Debug)]
pub struct EvidenceLog {
    design: Design,
    started_at: Option<u64>,
    /// Open blocks by zone, and one block over all zones.
    blocks: BTreeMap<u16, Block>,
    all_zones: Option<Block>,
    history: Vec<BuildOutcomes>,
    in_zone: Vec<Evidence>,
    selective: Vec<Evidence>,
    from_history: Vec<Evidence>,
    /// All zones: by class against the earlier build now, and all classes against its history.
    pooled: Vec<Evidence>,
    all_from_history: Evidence,
    /// All classes against the earlier build's history, or its present failures if those are more.
    from_present: Evidence,
    no_worse: f64,
    paces: Paces,
    /// The findings since something last changed: computing them costs far more than recording an outcome.
    findings: Findings,
    paces_compared_at: u64,
}

impl EvidenceLog {
    /// Creates an empty log.
    pub fn new(design: Design) -> Self {
        let new_entry =
            || vec![Evidence::new(design.effects.len(), &design.onsets, design.max_machines); design.classes];
        Self {
            started_at: None,
            blocks: BTreeMap::new(),
            all_zones: None,
            history: vec![BuildOutcomes::default(); design.classes],
            in_zone: new_entry(),
            selective: new_entry(),
            from_history: new_entry(),
            pooled: new_entry(),
            all_from_history: Evidence::new(design.effects.len(), &design.onsets, design.max_machines),
            from_present: Evidence::new(design.effects.len(), &design.onsets, design.max_machines),
            no_worse: 0.0,
            paces: Paces::new(design.pace),
            findings: Findings::NOTHING,
            paces_compared_at: 0,
            design,
        }
    }

    /// Records an outcome of the build on trial, or of the earlier build.
    pub fn record(&mut self, trial: bool, outcome: &Outcome) {
        if outcome.class >= self.design.classes {
            return;
        }
        let classes = self.design.classes;
        if trial {
            self.started_at.get_or_insert(outcome.at);
        }
        self.blocks
            .entry(outcome.zone % ZONES)
            .or_insert_with(|| Block::new(outcome.at, classes))
            .record(trial, outcome);
        self.all_zones.get_or_insert_with(|| Block::new(outcome.at, classes)).record(trial, outcome);
        if outcome.reported_time.is_some() || outcome.measured_pace.is_some() {
            self.paces.record(
                trial,
                outcome.at,
                outcome.machine,
                (outcome.zone, outcome.kind),
                outcome.reported_time,
                outcome.measured_pace,
            );
        }
    }

    /// Closes the blocks that are due. Which are due depends on counts and time only, never on which outcomes failed.
    pub fn close_due_blocks(&mut self, now: u64) {
        if let Some(started_at) = self.started_at {
            let ordinal = ((now.saturating_sub(started_at)) / self.design.onset_spacing.max(1)) as u32;
            let all = self.in_zone.iter_mut().chain(&mut self.selective).chain(&mut self.from_history);
            let all = all.chain(&mut self.pooled).chain([&mut self.all_from_history, &mut self.from_present]);
            all.for_each(|e| e.add_onset(ordinal));
        }
        let due_zones: Vec<u16> =
            self.blocks.iter().filter(|b| is_due(&self.design, now, b.1)).map(|b| *b.0).collect();
        let blocks: Vec<Block> = due_zones.iter().filter_map(|zone| self.blocks.remove(zone)).collect();
        blocks.iter().for_each(|b| self.add_zone_block(b));
        let all_zones = self.all_zones.take_if(|b| is_due(&self.design, now, b));
        if let Some(block) = &all_zones {
            self.add_all_zones_block(block);
        }
        if self.started_at.is_some() && (all_zones.is_some() || !blocks.is_empty()) {
            self.update_findings();
        }
        if self.started_at.is_some() && now >= self.paces_compared_at + self.design.pace_every {
            self.paces_compared_at = now;
            let slowness = self.paces.compare(now, self.design.slowdown.0, self.design.slowdown.1);
            // A further comparison counts as a new test only if it is of another set of machines, since what one
            // machine reports hardly changes. The error rate is spent at each doubling of the set, from two machines
            // on.
            let spent = 0.5f64.powi(slowness.witnesses.max(2).ilog2() as i32);
            self.findings.slow = spent.ln() - slowness.p_value.max(f64::MIN_POSITIVE).ln();
            self.findings.slowness = slowness;
        }
    }

    /// Returns the findings as of when blocks were last closed.
    pub fn findings(&self) -> Findings {
        self.findings
    }

    /// Adds a block of one zone: both builds side by side in the same zone.
    fn add_zone_block(&mut self, block: &Block) {
        for class in 0..self.design.classes {
            let usual =
                self.history[class].failure_share(self.design.failure_floor, self.design.floor_weight);
            let trial_outcomes = block.trial_outcomes(class);
            compare(
                &mut self.in_zone[class],
                &self.design.effects,
                usual,
                &trial_outcomes,
                block.earlier[class],
            );
        }
    }

    /// Adds a block of all zones. Where hardly any outcomes of the earlier build are left, its history is used.
    fn add_all_zones_block(&mut self, block: &Block) {
        let design = &self.design;
        let floor = BuildOutcomes {
            outcomes: design.floor_weight,
            failed: design.failure_floor * design.floor_weight,
        };
        let all_history = self.history.iter().fold(floor, |s, u| s.plus(*u));
        let trial_outcomes: Vec<Vec<MachineOutcomes>> =
            (0..design.classes).map(|c| block.trial_outcomes(c)).collect();
        let add = |s: BuildOutcomes, p: &MachineOutcomes| {
            s.plus(BuildOutcomes { outcomes: f64::from(p.outcomes), failed: f64::from(p.failed) })
        };
        let earlier_now = block.earlier.iter().fold(BuildOutcomes::default(), |s, e| s.plus(*e));
        let historical_bound = upper_bound(all_history, design.memory_bound.0) + design.memory_bound.1;
        // One standard deviation above the failures of the earlier build now, once there are any: a trouble that all
        // machines have is not evidence.
        let present_bound = (earlier_now.failed + earlier_now.failed.sqrt()) / earlier_now.outcomes.max(1.0);
        for (class, class_outcomes) in trial_outcomes.iter().enumerate() {
            let earlier = block.earlier[class];
            let trial = class_outcomes.iter().fold(BuildOutcomes::default(), add);
            let usual = self.history[class].failure_share(design.failure_floor, design.floor_weight);
            if trial.outcomes > 0.0 {
                self.no_worse += no_worse_evidence(usual, design.margin, trial.outcomes, trial.failed);
                // A few outcomes of the earlier build beside many new ones carry next to no evidence. The choice
                // depends on counts only.
                if earlier.outcomes * design.thin_ratio >= trial.outcomes {
                    compare(&mut self.pooled[class], &design.effects, usual, class_outcomes, earlier);
                } else {
                    compare_to_bound(
                        &mut self.all_from_history,
                        &design.effects,
                        historical_bound.min(0.5),
                        class_outcomes,
                    );
                    // A class is compared to the larger of its own historical bound and that of all classes.
                    let class_bound =
                        upper_bound(self.history[class], design.memory_class.0) + design.memory_class.1;
                    compare_to_bound(
                        &mut self.from_history[class],
                        &design.effects,
                        historical_bound.max(class_bound).min(0.5),
                        class_outcomes,
                    );
                }
                compare_to_bound(
                    &mut self.from_present,
                    &design.effects,
                    historical_bound.max(present_bound).min(0.5),
                    class_outcomes,
                );
                let others = |age: u64| {
                    let others = trial_outcomes.iter().enumerate().filter(|p| p.0 != class);
                    others.flat_map(|p| p.1).filter(|p| p.age >= age).fold(BuildOutcomes::default(), add)
                };
                compare_by_age(&mut self.selective[class], &design.effects, usual, class_outcomes, others);
            }
            let history = &mut self.history[class];
            *history = history.plus(earlier);
            let excess = (history.outcomes / design.memory).max(1.0);
            (history.outcomes, history.failed) = (history.outcomes / excess, history.failed / excess);
        }
    }

    /// Returns when an outcome of the earlier build last had a pace.
    pub fn last_earlier_at(&self) -> u64 {
        self.paces.last_earlier_at()
    }

    /// Returns how many values were discarded: not a number, not above zero, or frozen.
    pub fn discarded_values(&self) -> u64 {
        self.paces.discarded_values()
    }

    fn update_findings(&mut self) {
        let all = Exclusion::default();
        let capped = Exclusion { one_in: self.design.faulty_one_in, bound: self.design.faulty_bound, ..all };
        let one_zone = Exclusion { group: true, ..all };
        let zone_bound = self.design.zone_bound;
        let in_zone: Vec<&Evidence> = self.in_zone.iter().collect();
        let all_zones: Vec<&Evidence> =
            self.pooled.iter().chain(std::iter::once(&self.all_from_history)).collect();
        let pooled_of = |class: usize| [&self.pooled[class], &self.from_history[class]];
        // Where zones are not told apart, a faulty zone looks like a bad build too: neither the faulty machines nor, up
        // to `zone_bound`, the faulty zone may explain the evidence.
        let unexplained = |evidence: &[&Evidence], exclusion: Exclusion| {
            let machines = Evidence::combined_log_value(evidence, exclusion);
            machines.min(Evidence::combined_log_value(evidence, one_zone).max(machines - zone_bound))
        };
        // A faulty machine fails all classes alike. A class that fails more than under the earlier build and more
        // than the other classes on the same machines must refute both null hypotheses, so the smaller e-value
        // counts.
        let selective = |class: usize| {
            Evidence::combined_log_value(&pooled_of(class), all).min(self.selective[class].log_value(all))
        };
        let classes = || 0..self.design.classes;
        let selective_mean = log_mean(&classes().map(selective).collect::<Vec<_>>());
        let failing = |exclusion: Exclusion| {
            log_weighted_mean(&[
                (self.design.weights[0], Evidence::combined_log_value(&in_zone, exclusion)),
                (
                    self.design.weights[1],
                    log_mean(&self.in_zone.iter().map(|e| e.log_value(exclusion)).collect::<Vec<_>>()),
                ),
                (self.design.weights[2], selective_mean),
                (self.design.weights[3], unexplained(&all_zones, exclusion)),
                (
                    self.design.weights[4],
                    log_mean(&classes().map(|c| unexplained(&pooled_of(c), exclusion)).collect::<Vec<_>>()),
                ),
                (self.design.weights[5], unexplained(&[&self.from_present], exclusion)),
            ])
        };
        let failing_beyond_faulty = failing(Exclusion { bound: 0.0, ..capped });
        let beyond_capped = failing(capped);
        // Computed only if there is evidence against the build, since each evaluation costs at hundreds of fronts.
        let half = Exclusion { bound: 0.0, half: true, ..capped };
        let failing_beyond_half = if beyond_capped > 0.0 { failing(half) } else { f64::NEG_INFINITY };
        let failing = beyond_capped;
        let failing_or_faulty = Evidence::combined_log_value(&all_zones, all);
        let witnesses_in =
            |e: &[Evidence]| e.iter().map(|e| e.witnesses(self.design.witness_outcomes)).max().unwrap_or(0);
        let witnesses = witnesses_in(&self.pooled).max(witnesses_in(&self.from_history));
        self.findings = Findings {
            failing,
            failing_beyond_faulty,
            failing_beyond_half,
            failing_or_faulty,
            no_worse: self.no_worse,
            witnesses,
            ..self.findings
        };
    }
}

fn is_due(design: &Design, now: u64, block: &Block) -> bool {
    let age = now.saturating_sub(block.from);
    let earlier: f64 = block.earlier.iter().map(|s| s.outcomes).sum();
    let trial: f64 = block.trial.iter().flat_map(BTreeMap::values).map(|p| f64::from(p.outcomes)).sum();
    // With no or next to no outcomes of the earlier build there is nothing to wait for.
    let enough =
        trial > 0.0 && (earlier >= design.block.1 || trial > design.thin_ratio * earlier + design.block.1);
    age >= design.block_longest || age >= design.block.0 && enough
}

/// Returns Wilson's upper bound on a share, at `deviations` standard deviations.
pub fn upper_bound(outcomes: BuildOutcomes, deviations: f64) -> f64 {
    if outcomes.outcomes <= 0.0 {
        return 1.0;
    }
    let (share, squared) = (outcomes.failed / outcomes.outcomes, deviations * deviations);
    let centre = share + squared / (2.0 * outcomes.outcomes);
    let spread = deviations
        * (share * (1.0 - share) / outcomes.outcomes
            + squared / (4.0 * outcomes.outcomes * outcomes.outcomes))
            .sqrt();
    (centre + spread) / (1.0 + squared / outcomes.outcomes)
}
