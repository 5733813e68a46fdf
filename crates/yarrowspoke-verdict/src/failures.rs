//! The safe two-by-two test of failures, block by block.
//!
//! Within a block (a short time, one class, one zone) `n` outcomes of the build on trial stand beside `m` of the
//! earlier one. For an alternative (a, b), the ratio of its likelihood to that at the common share
//! c = (n a + m b) / (n + m) is an e-value for the null that both fail alike, whatever share that is (Turner, Ly and
//! Grünwald 2024): the expectation of one trial outcome's factor is 1 + s (θ - c) with s = (a - c) / (c (1 - c)),
//! that of an earlier one's 1 + t (θ - c), and n s + m t = 0, so the product is at most one. As θ may differ
//! from block to block, a trouble that both builds meet is no evidence, however it comes and goes.

use crate::evidence::Evidence;

/// Outcomes of one machine of the build on trial within a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineOutcomes {
    /// The machine.
    pub machine: u32,
    /// Its zone.
    pub zone: u16,
    /// Time since it started, in microseconds.
    pub age: u64,
    /// Outcomes.
    pub outcomes: u32,
    /// Those that failed.
    pub failed: u32,
}

/// The earlier build's side of a block.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BuildOutcomes {
    /// Outcomes.
    pub outcomes: f64,
    /// Those that failed.
    pub failed: f64,
}

impl BuildOutcomes {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self { outcomes: self.outcomes + other.outcomes, failed: self.failed + other.failed }
    }

    /// Share that failed, taken towards `floor` as if `weight` outcomes had failed at it, and never under it.
    pub fn failure_share(&self, floor: f64, weight: f64) -> f64 {
        ((self.failed + floor * weight) / (self.outcomes + weight)).clamp(floor, 0.9)
    }
}

/// Evidence that what is reported of `n` outcomes, `seen` times, comes more often than at the share `usual`: the
/// logarithm of the mean likelihood ratio over those of `shares` that are above it, by Poisson's law. Under any lesser
/// share the ratio is an e-value at every look; none above it says nothing.
pub fn excess_evidence(usual: f64, shares: &[f64], seen: f64, n: f64) -> f64 {
    let above: Vec<f64> = shares.iter().copied().filter(|s| *s > usual).collect();
    let ratio = |s: &f64| (seen * (s / usual).ln() - n * (s - usual)).exp();
    match above.len() {
        0 => 0.0,
        many => (above.iter().map(ratio).sum::<f64>() / many as f64).ln(),
    }
}

/// Takes a block in which both builds have outcomes. `usual` is the earlier build's share as known before.
pub fn compare(
    into: &mut Evidence,
    effects: &[f64],
    usual: f64,
    trial: &[MachineOutcomes],
    earlier: BuildOutcomes,
) {
    if earlier.outcomes > 0.0 {
        compare_by_age(into, effects, usual, trial, |_| earlier);
    }
}

/// The same where what stands beside depends on the age from which a fault may show: classes on the same machines.
///
/// Danger: held against all machines, a class on the oldest ones stands out for nothing but that one of those is sick.
pub fn compare_by_age(
    into: &mut Evidence,
    effects: &[f64],
    usual: f64,
    trial: &[MachineOutcomes],
    beside: impl Fn(u64) -> BuildOutcomes,
) {
    each_component(into, effects, trial, |age, effect, n| {
        let earlier = beside(age);
        if earlier.outcomes <= 0.0 {
            return (0.0, 0.0, 0.0);
        }
        let (a, b) = (raised_share(usual, effect), usual);
        let c = (n * a + earlier.outcomes * b) / (n + earlier.outcomes);
        let beside = (earlier.outcomes - earlier.failed) * ((1.0 - b) / (1.0 - c)).ln()
            + earlier.failed * (b / c).ln();
        (beside, ((1.0 - a) / (1.0 - c)).ln(), (a / c).ln())
    });
}

/// Takes outcomes of the build on trial with nothing beside them, against the share `most` that the earlier build
/// surely stayed under when it was last seen. Wald's likelihood ratio against the nearest point of the null.
pub fn compare_to_bound(into: &mut Evidence, effects: &[f64], most: f64, trial: &[MachineOutcomes]) {
    each_component(into, effects, trial, |_, effect, _| {
        let a = raised_share(most, effect);
        (0.0, ((1.0 - a) / (1.0 - most)).ln(), (a / most).ln())
    });
}

/// Adds a block to each component: `logs` gives, for an age, an effect and the trial's outcomes that count there, what
/// the earlier side adds, and each success and each failure of the trial.
fn each_component(
    into: &mut Evidence,
    effects: &[f64],
    trial: &[MachineOutcomes],
    logs: impl Fn(u64, f64, f64) -> (f64, f64, f64),
) {
    for p in trial {
        into.record_outcomes(p.machine, p.zone, p.age, p.outcomes);
    }
    let ages: Vec<u64> = into.ages().collect();
    for (slot, age) in ages.into_iter().enumerate() {
        let counts = || trial.iter().filter(|p| p.age >= age);
        let n: f64 = counts().map(|p| f64::from(p.outcomes)).sum();
        if n <= 0.0 {
            continue;
        }
        for (i, effect) in effects.iter().enumerate() {
            let (beside, success, failure) = logs(age, *effect, n);
            into.add(slot, i, beside + n * success);
            for p in counts().filter(|p| p.failed > 0) {
                into.add_gain(p.machine, slot, i, f64::from(p.failed) * (failure - success));
            }
        }
    }
}

/// Logarithm of an e-value against "the build on trial fails by `margin` more than `usual`, or worse": the larger,
/// the surer that it does not.
pub fn no_worse_evidence(usual: f64, margin: f64, n: f64, bad: f64) -> f64 {
    let worse = raised_share(usual, margin);
    (n - bad) * ((1.0 - usual) / (1.0 - worse)).ln() + bad * (usual / worse).ln()
}

/// A share with an effect on what it leaves.
pub fn raised_share(share: f64, effect: f64) -> f64 {
    share + effect * (1.0 - share)
}
