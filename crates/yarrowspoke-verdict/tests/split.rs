//! The parts of an error rate never sum to more than the whole.

use statrs::distribution::{Binomial, DiscreteCDF};
use yarrowspoke_verdict::split::{front_rate, independent_front_rate, onset_weight};

#[test]
fn onset_weights_sum_to_at_most_one() {
    let sum: f64 = (0..1_000_000).map(onset_weight).sum();
    assert!(sum <= 1.0 && sum > 0.9999, "{sum}");
}

#[test]
fn independent_fronts_may_use_a_larger_rate() {
    for (fronts, votes) in [(1, 1), (3, 1), (163, 13), (180, 90), (5, 5)] {
        let each = independent_front_rate(0.014, fronts, votes);
        let crossed = Binomial::new(each, u64::from(fronts)).unwrap().sf(u64::from(votes) - 1);
        assert!(crossed <= 0.014 && crossed > 0.0139, "{fronts} {votes}: {each} {crossed}");
        assert!(each >= front_rate(0.014, fronts, votes) - 1e-4);
    }
}

#[test]
fn a_front_may_use_more_where_more_must_agree_but_never_more_than_the_fleet() {
    assert_eq!(front_rate(0.02, 1, 1), 0.02);
    assert_eq!(front_rate(0.02, 180, 1), 0.02 / 180.0);
    assert_eq!(front_rate(0.02, 180, 90), 0.01);
    assert_eq!(front_rate(0.02, 3, 9), 0.02);
    assert_eq!(front_rate(0.02, 0, 0), 0.02);
}
