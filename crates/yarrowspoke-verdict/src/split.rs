//! How a stated rate is split: over fronts, and over the times at which a fault may begin.

use statrs::distribution::{Binomial, DiscreteCDF};

/// The part of a fleet's rate of false alarms that one front may use, where `votes` of `fronts` must agree.
///
/// If each front crosses with chance at most a, the expected number that cross is at most `fronts * a`, and by
/// Markov's inequality the chance of at least `votes` of them is at most `fronts * a / votes`. Nothing is assumed
/// of how the fronts depend on each other: all see the same machines. With one vote it is Bonferroni's split.
pub fn front_rate(rate: f64, fronts: u32, votes: u32) -> f64 {
    let (fronts, votes) = (f64::from(fronts.max(1)), f64::from(votes.max(1)));
    (rate * votes / fronts).min(rate)
}

/// The same where all that fronts share is what they look at: given the machines and the time, each draws its own
/// requests. An e-value that holds for any share of failures at any time holds given all of that too, so that the
/// fronts that cross are no more than independent ones would be, and the chance of at least `votes` is the
/// binomial's. Danger: figures that come from the machines themselves, such as their paces, are shared: those need
/// [`front_rate`].
pub fn independent_front_rate(rate: f64, fronts: u32, votes: u32) -> f64 {
    let (fronts, votes) = (u64::from(fronts.max(1)), u64::from(votes.max(1)));
    let crossed = |each: f64| Binomial::new(each, fronts).map_or(1.0, |b| b.sf(votes.min(fronts) - 1));
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..50 {
        let middle = (low + high) / 2.0;
        (low, high) = if crossed(middle) <= rate { (middle, high) } else { (low, middle) };
    }
    low
}

/// Weight of the `i`-th time, from 0, at which a fault may begin, or of the `i`-th set that is looked at. All weights
/// together are 1: the first few are dearest, and later ones fall slowly, as a build may be bad long after its start.
pub fn onset_weight(i: u32) -> f64 {
    // The sum of 1/((i + a)(i + a + 1)) from 0 telescopes to 1/a.
    const A: f64 = 4.0;
    let i = f64::from(i);
    A / ((i + A) * (i + A + 1.0))
}
