//! Sets of rules drawn from seeds: the index, the compiled conditions and the syntax tree give one answer, and no
//! request takes more steps than was computed at load.

use yarrowspoke_expr::set::Order;
use yarrowspoke_lab::rules::draw::Draw;
use yarrowspoke_lab::rules::{fuzz, offer_hostile, run, Options};

#[test]
fn thousands_of_drawn_sets_give_the_same_answer_in_every_way() {
    // Small sets show what one rule does; large ones what rules that share a constant do to each other.
    let report = fuzz::run(1, 3_000, 0, &[], || ());
    assert!(report.failures.is_empty(), "{:#?}", report.failures);
    assert!(report.met > 10_000, "the draw meets too few rules to show anything: {report:?}");
}

#[test]
fn changed_texts_are_read_or_refused_and_mean_what_they_print_as() {
    let corpus = include_str!("../../yarrowspoke-expr/tests/corpus/met.txt");
    let corpus: Vec<String> = corpus.lines().map(str::to_owned).collect();
    let report = fuzz::run(2, 0, 20_000, &corpus, || ());
    assert!(report.failures.is_empty(), "{:#?}", report.failures);
    assert!(report.accepted > 500, "{report:?}");
}

#[test]
fn nothing_hostile_is_accepted_at_any_seed() {
    for seed in 0..6 {
        let (offered, accepted, _) = offer_hostile(&mut Draw::new(seed));
        assert_eq!((accepted.as_slice(), offered > 20), (&[][..], true), "seed {seed}");
    }
}

#[test]
fn the_experiment_holds_and_draws_the_same_from_the_same_seed() {
    let options = Options { rules: 500, requests: 300, seed: 9, order: Order::All };
    let (a, b) = (run(options, || ()).unwrap(), run(options, || ()).unwrap());
    assert!(a.held(), "{a:?}");
    let drawn =
        |r: &yarrowspoke_lab::rules::Report| (r.bytes, r.static_bound_steps, r.worst_steps_seen, r.matched);
    assert_eq!(drawn(&a), drawn(&b));
    assert!(a.matched > 0 && a.patterns == 49);
}
