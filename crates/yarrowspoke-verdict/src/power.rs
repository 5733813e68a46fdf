//! Which faults can be found within which time, at stated error rates.
//!
//! For a fault that starts with the build, the evidence grows by its expected logarithm for each trial outcome
//! (Grünwald, de Heide and Koolen 2024 call it the growth rate), so the number of outcomes needed is the threshold
//! divided by that growth. It is the median, not a bound: half of the trials take longer.

use crate::failures::raised_share;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Returns the expected growth of the evidence with each trial outcome, for a build that fails `fault` more than
/// `usual`, compared to `earlier_per_outcome` outcomes of the earlier build for each of its own; the best of `effects`.
pub fn growth(fault: f64, usual: f64, effects: &[f64], earlier_per_outcome: f64) -> f64 {
    let truth = raised_share(usual, fault);
    let growth_for = |effect: &f64| {
        let alternative = raised_share(usual, *effect);
        let common = (alternative + earlier_per_outcome * usual) / (1.0 + earlier_per_outcome);
        let expected_log =
            |p: f64, q: f64| p * (q / common).ln() + (1.0 - p) * ((1.0 - q) / (1.0 - common)).ln();
        expected_log(truth, alternative) + earlier_per_outcome * expected_log(usual, usual)
    };
    effects.iter().map(growth_for).fold(0.0, f64::max)
}

/// Returns the number of trial outcomes at which evidence `threshold` (natural logarithm) is expected, or `None` if
/// it never is.
pub fn outcomes_needed(
    fault: f64,
    usual: f64,
    effects: &[f64],
    earlier_per_outcome: f64,
    threshold: f64,
) -> Option<f64> {
    let growth = growth(fault, usual, effects, earlier_per_outcome);
    (growth > 0.0).then(|| (threshold / growth).max(1.0))
}

/// The properties of a fleet that matter to the test of slowness.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Multiple of the earlier build's pace that is tolerated.
    pub tolerance: f64,
    /// Spread of the logarithm of pace between good machines.
    pub spread: f64,
    /// Earlier machines that are witnesses.
    pub earlier: f64,
    /// One trial machine in this many, but at least one, is left out.
    pub faulty_one_in: usize,
}

/// Returns the number of trial machines with which a build `times` slower is found with probability `1 - miss`, at
/// the rate `alarm` of false alarms; `None` if more than `max_machines` are needed.
pub fn machines_needed(
    times: f64,
    fleet: Fleet,
    alarm: f64,
    miss: f64,
    max_machines: usize,
) -> Option<usize> {
    let freedom = (fleet.earlier - 1.0).max(1.0);
    let t = StudentsT::new(0.0, 1.0, freedom).ok()?;
    let (alpha_quantile, beta_quantile) = (t.inverse_cdf(1.0 - alarm), t.inverse_cdf(1.0 - miss));
    (2..=max_machines).find(|machines| {
        let remaining = (machines - (machines / fleet.faulty_one_in.max(1)).max(1)) as f64;
        let error = fleet.spread * (1.0 / remaining + 1.0 / fleet.earlier.max(1.0)).sqrt();
        remaining >= 1.0 && (times / fleet.tolerance).ln() >= (alpha_quantile + beta_quantile) * error
    })
}
