//! All evidence on one build at one front.

use crate::evidence::{log_mean, log_weighted_mean, Evidence, Exclusion, Onsets};
use crate::failures::{
    compare, compare_by_age, compare_to_bound, no_worse_evidence, BuildOutcomes, MachineOutcomes,
};
use crate::pace::{PaceDesign, Paces, Slowness};
use std::collections::BTreeMap;

/// Zones told apart; further ones share.
const ZONES: u16 = 64;

/// What a book is told by its caller. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Design {
    /// Classes of requests.
    pub classes: usize,
    /// Shares by which a bad build may fail more than the earlier one, as alternatives.
    pub effects: Vec<f64>,
    /// Share below which no build is taken to fail.
    pub failure_floor: f64,
    /// Outcomes' worth of belief in that share.
    pub floor_weight: f64,
    /// Least time of a block, and outcomes of the earlier build wanted in it.
    pub block: (u64, f64),
    /// Where the build on trial has over so many times the earlier one's outcomes, memory speaks instead.
    pub thin_ratio: f64,
    /// Longest time of a block.
    pub block_longest: u64,
    /// Times at which a fault may begin lie so far apart.
    pub onset_spacing: u64,
    /// When a fault may begin.
    pub onsets: Onsets,
    /// Machines kept.
    pub max_machines: usize,
    /// One machine in so many, and one at least, may be sick by itself.
    pub faulty_one_in: usize,
    /// What each of those may add to the evidence at most, as a natural logarithm.
    pub faulty_bound: f64,
    /// The same for a zone of which nothing but the build on trial is left.
    pub zone_bound: f64,
    /// Outcomes of the earlier build remembered for each class.
    pub memory: f64,
    /// Standard deviations of that memory's upper bound, and what is allowed on top of it.
    pub memory_bound: (f64, f64),
    /// The same for what a class by itself is remembered for.
    pub memory_class: (f64, f64),
    /// Excess share that "no worse" is tested against.
    pub margin: f64,
    /// Multiple of the earlier build's pace that is tolerated, and the one that "no slower" is tested against.
    pub slowdown: (f64, f64),
    /// Paces are looked at this often.
    pub pace_every: u64,
    /// Outcomes by which a machine is a witness.
    pub witness_outcomes: u32,
    /// Weights, one together, of the tests of failures: within zones all classes and each class; a class that is
    /// picked out; whatever the zone all classes and each class. Thin traffic hardly ever brings both builds together
    /// in one zone. Last, all classes against what the earlier build is remembered for, or shows now if that is more.
    pub weights: [f64; 6],
    /// The test of slowness.
    pub pace: PaceDesign,
}

/// One outcome.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// When it came.
    pub at: u64,
    /// The machine.
    pub machine: u32,
    /// Its zone.
    pub zone: u16,
    /// Its kind.
    pub kind: u8,
    /// Time since the machine started.
    pub age: u64,
    /// The class.
    pub class: usize,
    /// It failed.
    pub failed: bool,
    /// Its answer told of a warm machine: the reported service time, in any unit.
    pub reported_time: Option<f64>,
    /// The same as this front measured it, over the expected work.
    pub measured_pace: Option<f64>,
}

/// What the evidence comes to. Evidence is the natural logarithm of an e-value: a rate of false alarms `a` is
/// honoured by whoever acts when it reaches `ln(1/a)`, however often it is looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Findings {
    /// That the build fails more than the earlier one, whatever one machine in so many does by itself.
    pub failing: f64,
    /// The same with nothing counted of the machines that may be sick.
    pub failing_beyond_faulty: f64,
    /// The same with nothing counted of that half of the machines which says most.
    pub failing_beyond_half: f64,
    /// That what was sent to it fails more, be it the build or its machines.
    pub failing_or_faulty: f64,
    /// That it fails by no more than the margin.
    pub no_worse: f64,
    /// Machines of it that were heard.
    pub witnesses: usize,
    /// Its pace.
    pub slowness: Slowness,
    /// That it is slower than the tolerance, spent over the sets of machines looked at.
    pub slow: f64,
}

impl Findings {
    /// Nothing seen.
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

    fn note(&mut self, trial: bool, o: &Outcome) {
        let bad = u32::from(o.failed);
        if trial {
            let fresh =
                MachineOutcomes { machine: o.machine, zone: o.zone, age: o.age, outcomes: 0, failed: 0 };
            let part = self.trial[o.class].entry(o.machine).or_insert(fresh);
            (part.outcomes, part.failed) = (part.outcomes + 1, part.failed + bad);
        } else {
            let side = &mut self.earlier[o.class];
            (side.outcomes, side.failed) = (side.outcomes + 1.0, side.failed + f64::from(bad));
        }
    }

    fn parts(&self, class: usize) -> Vec<MachineOutcomes> {
        self.trial[class].values().copied().collect()
    }
}

/// The evidence on one build at one front; see the module.
#[derive(Clone, Debug)]
pub struct EvidenceLog {
    d: Design,
    begun: Option<u64>,
    /// By zone, and one over all zones.
    blocks: BTreeMap<u16, Block>,
    whole: Option<Block>,
    usual: Vec<BuildOutcomes>,
    beside: Vec<Evidence>,
    picked: Vec<Evidence>,
    remembered: Vec<Evidence>,
    /// Beside the earlier build over all zones, and all classes against memory of all.
    pooled: Vec<Evidence>,
    remembered_all: Evidence,
    /// All classes against what the earlier build is remembered for, or shows now if that is more.
    present: Evidence,
    sound: f64,
    paces: Paces,
    /// What was found when something last changed: a look costs far more than an update.
    found: Findings,
    pace_at: u64,
}

impl EvidenceLog {
    /// Nothing seen.
    pub fn new(d: Design) -> Self {
        let fresh = || vec![Evidence::new(d.effects.len(), &d.onsets, d.max_machines); d.classes];
        Self {
            begun: None,
            blocks: BTreeMap::new(),
            whole: None,
            usual: vec![BuildOutcomes::default(); d.classes],
            beside: fresh(),
            picked: fresh(),
            remembered: fresh(),
            pooled: fresh(),
            remembered_all: Evidence::new(d.effects.len(), &d.onsets, d.max_machines),
            present: Evidence::new(d.effects.len(), &d.onsets, d.max_machines),
            sound: 0.0,
            paces: Paces::new(d.pace),
            found: Findings::NOTHING,
            pace_at: 0,
            d,
        }
    }

    /// Takes an outcome of the build on trial, or of the earlier one.
    pub fn record(&mut self, trial: bool, o: &Outcome) {
        if o.class >= self.d.classes {
            return;
        }
        let classes = self.d.classes;
        if trial {
            self.begun.get_or_insert(o.at);
        }
        self.blocks.entry(o.zone % ZONES).or_insert_with(|| Block::new(o.at, classes)).note(trial, o);
        self.whole.get_or_insert_with(|| Block::new(o.at, classes)).note(trial, o);
        if o.reported_time.is_some() || o.measured_pace.is_some() {
            self.paces.record(trial, o.at, o.machine, (o.zone, o.kind), o.reported_time, o.measured_pace);
        }
    }

    /// Closes the blocks that are due. Which are due depends on counts and time only, never on what failed.
    pub fn close_due_blocks(&mut self, now: u64) {
        if let Some(begun) = self.begun {
            let ordinal = ((now.saturating_sub(begun)) / self.d.onset_spacing.max(1)) as u32;
            let all = self.beside.iter_mut().chain(&mut self.picked).chain(&mut self.remembered);
            let all = all.chain(&mut self.pooled).chain([&mut self.remembered_all, &mut self.present]);
            all.for_each(|e| e.add_onset(ordinal));
        }
        let over: Vec<u16> = self.blocks.iter().filter(|b| due(&self.d, now, b.1)).map(|b| *b.0).collect();
        let blocks: Vec<Block> = over.iter().filter_map(|zone| self.blocks.remove(zone)).collect();
        blocks.iter().for_each(|b| self.take(b));
        let whole = self.whole.take_if(|b| due(&self.d, now, b));
        if let Some(block) = &whole {
            self.take_whole(block);
        }
        if self.begun.is_some() && (whole.is_some() || !blocks.is_empty()) {
            self.weigh();
        }
        if self.begun.is_some() && now >= self.pace_at + self.d.pace_every {
            self.pace_at = now;
            let slowness = self.paces.compare(now, self.d.slowdown.0, self.d.slowdown.1);
            // Another look is one at another set of machines: what one machine says hardly changes. Sets are spent
            // by their doubling, from two machines on.
            let spent = 0.5f64.powi(slowness.witnesses.max(2).ilog2() as i32);
            self.found.slow = spent.ln() - slowness.p_value.max(f64::MIN_POSITIVE).ln();
            self.found.slowness = slowness;
        }
    }

    /// What all evidence came to when blocks were last closed.
    pub fn findings(&self) -> Findings {
        self.found
    }

    /// Takes a block of one zone: both builds beside each other under the same roof.
    fn take(&mut self, block: &Block) {
        for class in 0..self.d.classes {
            let usual = self.usual[class].failure_share(self.d.failure_floor, self.d.floor_weight);
            let parts = block.parts(class);
            compare(&mut self.beside[class], &self.d.effects, usual, &parts, block.earlier[class]);
        }
    }

    /// Takes a block of all zones. Where next to no earlier outcomes are left, memory of them speaks.
    fn take_whole(&mut self, block: &Block) {
        let d = &self.d;
        let floor = BuildOutcomes { outcomes: d.floor_weight, failed: d.failure_floor * d.floor_weight };
        let known = self.usual.iter().fold(floor, |s, u| s.plus(*u));
        let parts: Vec<Vec<MachineOutcomes>> = (0..d.classes).map(|c| block.parts(c)).collect();
        let add = |s: BuildOutcomes, p: &MachineOutcomes| {
            s.plus(BuildOutcomes { outcomes: f64::from(p.outcomes), failed: f64::from(p.failed) })
        };
        let beside = block.earlier.iter().fold(BuildOutcomes::default(), |s, e| s.plus(*e));
        let most = upper_bound(known, d.memory_bound.0) + d.memory_bound.1;
        // One standard deviation above what fails beside it, once anything does: a trouble of all is no evidence.
        let now = (beside.failed + beside.failed.sqrt()) / beside.outcomes.max(1.0);
        for (class, own) in parts.iter().enumerate() {
            let earlier = block.earlier[class];
            let trial = own.iter().fold(BuildOutcomes::default(), add);
            let usual = self.usual[class].failure_share(d.failure_floor, d.floor_weight);
            if trial.outcomes > 0.0 {
                self.sound += no_worse_evidence(usual, d.margin, trial.outcomes, trial.failed);
                // Danger: beside the last few earlier outcomes many new ones say next to nothing. By counts only.
                if earlier.outcomes * d.thin_ratio >= trial.outcomes {
                    compare(&mut self.pooled[class], &d.effects, usual, own, earlier);
                } else {
                    compare_to_bound(&mut self.remembered_all, &d.effects, most.min(0.5), own);
                    // What a class by itself is remembered for is held against it beside what all are.
                    let alone = upper_bound(self.usual[class], d.memory_class.0) + d.memory_class.1;
                    compare_to_bound(&mut self.remembered[class], &d.effects, most.max(alone).min(0.5), own);
                }
                compare_to_bound(&mut self.present, &d.effects, most.max(now).min(0.5), own);
                let others = |age: u64| {
                    let others = parts.iter().enumerate().filter(|p| p.0 != class);
                    others.flat_map(|p| p.1).filter(|p| p.age >= age).fold(BuildOutcomes::default(), add)
                };
                compare_by_age(&mut self.picked[class], &d.effects, usual, own, others);
            }
            let kept = &mut self.usual[class];
            *kept = kept.plus(earlier);
            let over = (kept.outcomes / d.memory).max(1.0);
            (kept.outcomes, kept.failed) = (kept.outcomes / over, kept.failed / over);
        }
    }

    /// When an outcome of the earlier build last told of pace.
    pub fn last_earlier_at(&self) -> u64 {
        self.paces.last_earlier_at()
    }

    /// Values left out as no number, not above zero, absurd or frozen.
    pub fn discarded_values(&self) -> u64 {
        self.paces.discarded_values()
    }

    fn weigh(&mut self) {
        let all = Exclusion::default();
        let capped = Exclusion { one_in: self.d.faulty_one_in, bound: self.d.faulty_bound, ..all };
        let zone = Exclusion { group: true, ..all };
        let zone_price = self.d.zone_bound;
        let beside: Vec<&Evidence> = self.beside.iter().collect();
        let whole: Vec<&Evidence> = self.pooled.iter().chain(std::iter::once(&self.remembered_all)).collect();
        let of = |class: usize| [&self.pooled[class], &self.remembered[class]];
        // Where zones are not told apart, a sick zone looks like a bad build too: neither excuse may do.
        let neither = |of: &[&Evidence], sick: Exclusion| {
            let machines = Evidence::combined_log_value(of, sick);
            machines.min(Evidence::combined_log_value(of, zone).max(machines - zone_price))
        };
        // A sick machine fails all classes alike. Where one class fails more than the earlier build's and more than
        // the other classes on the same machines, both nulls must fall: the lesser e-value stands.
        let pick = |class: usize| {
            Evidence::combined_log_value(&of(class), all).min(self.picked[class].log_value(all))
        };
        let classes = || 0..self.d.classes;
        let picks = log_mean(&classes().map(pick).collect::<Vec<_>>());
        let failing = |sick: Exclusion| {
            log_weighted_mean(&[
                (self.d.weights[0], Evidence::combined_log_value(&beside, sick)),
                (
                    self.d.weights[1],
                    log_mean(&self.beside.iter().map(|e| e.log_value(sick)).collect::<Vec<_>>()),
                ),
                (self.d.weights[2], picks),
                (self.d.weights[3], neither(&whole, sick)),
                (self.d.weights[4], log_mean(&classes().map(|c| neither(&of(c), sick)).collect::<Vec<_>>())),
                (self.d.weights[5], neither(&[&self.present], sick)),
            ])
        };
        let beyond_sick = failing(Exclusion { bound: 0.0, ..capped });
        let against = failing(capped);
        // Looked at only where there is something against the build: at hundreds of fronts each look costs.
        let half = Exclusion { bound: 0.0, half: true, ..capped };
        let beyond_half = if against > 0.0 { failing(half) } else { f64::NEG_INFINITY };
        let failing = against;
        let failing_or_sick = Evidence::combined_log_value(&whole, all);
        let heard =
            |e: &[Evidence]| e.iter().map(|e| e.witnesses(self.d.witness_outcomes)).max().unwrap_or(0);
        let witnesses = heard(&self.pooled).max(heard(&self.remembered));
        self.found = Findings {
            failing,
            failing_beyond_faulty: beyond_sick,
            failing_beyond_half: beyond_half,
            failing_or_faulty: failing_or_sick,
            no_worse: self.sound,
            witnesses,
            ..self.found
        };
    }
}

fn due(d: &Design, now: u64, b: &Block) -> bool {
    let age = now.saturating_sub(b.from);
    let beside: f64 = b.earlier.iter().map(|s| s.outcomes).sum();
    let heard: f64 = b.trial.iter().flat_map(BTreeMap::values).map(|p| f64::from(p.outcomes)).sum();
    // Beside no or next to no earlier outcomes there is nothing to wait for.
    let enough = heard > 0.0 && (beside >= d.block.1 || heard > d.thin_ratio * beside + d.block.1);
    age >= d.block_longest || age >= d.block.0 && enough
}

/// Wilson's upper bound on a share, at `z` standard deviations.
pub fn upper_bound(s: BuildOutcomes, z: f64) -> f64 {
    if s.outcomes <= 0.0 {
        return 1.0;
    }
    let (p, z2) = (s.failed / s.outcomes, z * z);
    let middle = p + z2 / (2.0 * s.outcomes);
    let spread = z * (p * (1.0 - p) / s.outcomes + z2 / (4.0 * s.outcomes * s.outcomes)).sqrt();
    (middle + spread) / (1.0 + z2 / s.outcomes)
}
