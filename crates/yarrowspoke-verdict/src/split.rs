//! How a stated error rate is split over fronts, and over the times at which a fault may begin.

use statrs::distribution::{Binomial, DiscreteCDF};

/// Returns the part of a fleet's rate of false alarms that one front may use, where `votes` of `fronts` must agree.
///
/// If each front crosses its threshold with probability at most a, the expected number that cross is at most
/// `fronts * a`. By Markov's inequality, the probability of at least `votes` of them is then at most
/// `fronts * a / votes`. Nothing is assumed about how the fronts depend on each other: all observe the same machines.
/// With one vote this is Bonferroni's split.
pub fn front_rate(rate: f64, fronts: u32, votes: u32) -> f64 {
    let (fronts, votes) = (f64::from(fronts.max(1)), f64::from(votes.max(1)));
    (rate * votes / fronts).min(rate)
}

/// Returns the same rate where fronts share only what they observe: given the machines and the time, each front draws
/// its own requests. An e-value that holds for any share of failures at any time also holds given all of that, so no
/// more fronts cross than independent ones would, and the probability of at least `votes` is the binomial's.
///
/// Values that come from the machines themselves, such as their paces, are shared between fronts, so they need
/// [`front_rate`].
pub fn independent_front_rate(rate: f64, fronts: u32, votes: u32) -> f64 {
    let (fronts, votes) = (u64::from(fronts.max(1)), u64::from(votes.max(1)));
    let crossing_probability =
        |rate_each: f64| Binomial::new(rate_each, fronts).map_or(1.0, |b| b.sf(votes.min(fronts) - 1));
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..50 {
        let middle = (low + high) / 2.0;
        (low, high) = if crossing_probability(middle) <= rate { (middle, high) } else { (low, middle) };
    }
    low
}

/// Returns the weight of the `i`-th time, from 0, at which a fault may begin, or of the `i`-th set that is evaluated.
/// All weights sum to 1: the first few are the largest, and later ones fall slowly, as a build may be bad long after
/// its start.
pub fn onset_weight(i: u32) -> f64 {
    // The sum of 1/((i + a)(i + a + 1)) from 0 telescopes to 1/a, with a = `OFFSET`.
    const OFFSET: f64 = 4.0;
    let i = f64::from(i);
    OFFSET / ((i + OFFSET) * (i + OFFSET + 1.0))
}
