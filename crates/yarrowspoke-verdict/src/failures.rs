//! The safe two-by-two test of failures, block by block.
//!
//! Within a block (a short time, one class, one zone) `n` outcomes of the build on trial are compared to `m` of the
//! earlier one. For an alternative (a, b), the ratio of its likelihood to that at the common share c = (n a + m b) /
//! (n + m) is an e-value for the null hypothesis that both fail alike, whatever that share is (Turner, Ly and
//! Grünwald 2024): the expectation of one trial outcome's factor is 1 + s (θ - c) with s = (a - c) / (c (1 - c)),
//! that of an earlier one's is 1 + t (θ - c), and n s + m t = 0, so the product is at most one. As θ may differ from
//! block to block, a trouble that both builds have is not evidence, however it comes and goes.

use crate::evidence::Evidence;

/// Outcomes of one machine of the build on trial within a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineOutcomes {
    /// The machine.
    pub machine: u32,
    /// Zone of the machine.
    pub zone: u16,
    /// Time since the machine started, in microseconds.
    pub age: u64,
    /// Number of outcomes.
    pub outcomes: u32,
    /// Number of outcomes that failed.
    pub failed: u32,
}

/// Outcomes of the earlier build within a block.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BuildOutcomes {
    /// Number of outcomes.
    pub outcomes: f64,
    /// Number of outcomes that failed.
    pub failed: f64,
}

impl BuildOutcomes {
    /// Returns the sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self { outcomes: self.outcomes + other.outcomes, failed: self.failed + other.failed }
    }

    /// Returns the share that failed, shrunk towards `floor` as if `weight` more outcomes had failed at that share,
    /// and never below it.
    pub fn failure_share(&self, floor: f64, weight: f64) -> f64 {
        ((self.failed + floor * weight) / (self.outcomes + weight)).clamp(floor, 0.9)
    }
}

/// Returns the evidence that something observed `observed` times in `n` outcomes occurs more often than at the share
/// `usual`: the logarithm of the mean Poisson likelihood ratio over those of `shares` that are above `usual`. For any
/// share up to `usual`, the ratio is an e-value at every evaluation. Without shares above `usual` there is no
/// evidence.
pub fn excess_evidence(usual: f64, shares: &[f64], observed: f64, n: f64) -> f64 {
    let above: Vec<f64> = shares.iter().copied().filter(|s| *s > usual).collect();
    let ratio = |s: &f64| (observed * (s / usual).ln() - n * (s - usual)).exp();
    match above.len() {
        0 => 0.0,
        count => (above.iter().map(ratio).sum::<f64>() / count as f64).ln(),
    }
}

/// Adds a block in which both builds have outcomes. `usual` is the earlier build's failure share as known before.
pub fn compare(
    evidence: &mut Evidence,
    effects: &[f64],
    usual: f64,
    trial: &[MachineOutcomes],
    earlier: BuildOutcomes,
) {
    if earlier.outcomes > 0.0 {
        compare_by_age(evidence, effects, usual, trial, |_| earlier);
    }
}

/// Adds a block like [`compare`], where the outcomes compared to depend on the age from which a fault may show: other
/// classes on the same machines.
///
/// If a class on the oldest machines were compared to other classes on all machines, it would stand out merely
/// because one of the oldest machines is faulty.
pub fn compare_by_age(
    evidence: &mut Evidence,
    effects: &[f64],
    usual: f64,
    trial: &[MachineOutcomes],
    earlier_at_age: impl Fn(u64) -> BuildOutcomes,
) {
    each_component(evidence, effects, trial, |age, effect, n| {
        let earlier = earlier_at_age(age);
        if earlier.outcomes <= 0.0 {
            return (0.0, 0.0, 0.0);
        }
        let (a, b) = (raised_share(usual, effect), usual);
        let c = (n * a + earlier.outcomes * b) / (n + earlier.outcomes);
        let earlier_log = (earlier.outcomes - earlier.failed) * ((1.0 - b) / (1.0 - c)).ln()
            + earlier.failed * (b / c).ln();
        (earlier_log, ((1.0 - a) / (1.0 - c)).ln(), (a / c).ln())
    });
}

/// Adds outcomes of the build on trial without any to compare to, against the share `bound` that the earlier build
/// surely stayed under when it was last seen. This is Wald's likelihood ratio against the nearest point of the null
/// hypothesis.
pub fn compare_to_bound(evidence: &mut Evidence, effects: &[f64], bound: f64, trial: &[MachineOutcomes]) {
    each_component(evidence, effects, trial, |_, effect, _| {
        let a = raised_share(bound, effect);
        (0.0, ((1.0 - a) / (1.0 - bound)).ln(), (a / bound).ln())
    });
}

/// Adds a block to each component. For an age, an effect and the number of trial outcomes that count there, `logs`
/// returns what the earlier build adds, and what each success and each failure of the trial adds.
fn each_component(
    evidence: &mut Evidence,
    effects: &[f64],
    trial: &[MachineOutcomes],
    logs: impl Fn(u64, f64, f64) -> (f64, f64, f64),
) {
    for machine in trial {
        evidence.record_outcomes(machine.machine, machine.zone, machine.age, machine.outcomes);
    }
    let ages: Vec<u64> = evidence.ages().collect();
    for (component, age) in ages.into_iter().enumerate() {
        let counted = || trial.iter().filter(|machine| machine.age >= age);
        let n: f64 = counted().map(|machine| f64::from(machine.outcomes)).sum();
        if n <= 0.0 {
            continue;
        }
        for (i, effect) in effects.iter().enumerate() {
            let (earlier_log, success, failure) = logs(age, *effect, n);
            evidence.add(component, i, earlier_log + n * success);
            for machine in counted().filter(|machine| machine.failed > 0) {
                evidence.add_gain(
                    machine.machine,
                    component,
                    i,
                    f64::from(machine.failed) * (failure - success),
                );
            }
        }
    }
}

/// Returns the logarithm of an e-value against "the build on trial fails by `margin` more than `usual`, or worse".
/// The larger it is, the surer it is that the build does not.
pub fn no_worse_evidence(usual: f64, margin: f64, n: f64, failed: f64) -> f64 {
    let worse = raised_share(usual, margin);
    (n - failed) * ((1.0 - usual) / (1.0 - worse)).ln() + failed * (usual / worse).ln()
}

/// Returns `share` raised by `effect` of the remainder to 1.
pub fn raised_share(share: f64, effect: f64) -> f64 {
    share + effect * (1.0 - share)
}
