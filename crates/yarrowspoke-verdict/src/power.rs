//! Which faults can be found within which time, at stated rates.
//!
//! For a fault that starts with the build: the evidence grows by its expected logarithm for each trial outcome
//! (Grünwald, de Heide and Koolen 2024 call it the growth rate), so that outcomes needed are the threshold over
//! that growth. It is the time in the middle, not a bound: half of the trials take longer.

use crate::failures::raised_share;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Expected growth of the evidence with each trial outcome, for a build that fails `fault` more than `usual`, beside
/// `beside` outcomes of the earlier build for each of its own; the best of `effects`.
pub fn growth(fault: f64, usual: f64, effects: &[f64], beside: f64) -> f64 {
    let truth = raised_share(usual, fault);
    let of = |effect: &f64| {
        let a = raised_share(usual, *effect);
        let c = (a + beside * usual) / (1.0 + beside);
        let side = |p: f64, q: f64| p * (q / c).ln() + (1.0 - p) * ((1.0 - q) / (1.0 - c)).ln();
        side(truth, a) + beside * side(usual, usual)
    };
    effects.iter().map(of).fold(0.0, f64::max)
}

/// Trial outcomes at which evidence `threshold` (natural logarithm) is expected, or `None` if never.
pub fn outcomes_needed(fault: f64, usual: f64, effects: &[f64], beside: f64, threshold: f64) -> Option<f64> {
    let growth = growth(fault, usual, effects, beside);
    (growth > 0.0).then(|| (threshold / growth).max(1.0))
}

/// A fleet as the test of slowness meets it.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Multiple of the earlier build's pace that is tolerated.
    pub tolerance: f64,
    /// Spread of the logarithm of pace between good machines.
    pub spread: f64,
    /// Earlier machines heard.
    pub earlier: f64,
    /// One trial machine in so many, and one at least, is left out.
    pub faulty_one_in: usize,
}

/// Trial machines at which a build `times` slower is found with chance `1 - miss`, the rate of false alarms being
/// `alarm`; `None` if not with `most`.
pub fn machines_needed(times: f64, fleet: Fleet, alarm: f64, miss: f64, most: usize) -> Option<usize> {
    let freedom = (fleet.earlier - 1.0).max(1.0);
    let t = StudentsT::new(0.0, 1.0, freedom).ok()?;
    let (high, low) = (t.inverse_cdf(1.0 - alarm), t.inverse_cdf(1.0 - miss));
    (2..=most).find(|n| {
        let kept = (n - (n / fleet.faulty_one_in.max(1)).max(1)) as f64;
        let error = fleet.spread * (1.0 / kept + 1.0 / fleet.earlier.max(1.0)).sqrt();
        kept >= 1.0 && (times / fleet.tolerance).ln() >= (high + low) * error
    })
}
