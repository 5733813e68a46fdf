//! The agreed machine: the same entries give the same state, and never more are out than the limits allow.

mod common;

use common::*;
use proptest::prelude::*;
use yarrowspoke_fleet::permits::{
    Entry, Limits, Order, Permit, PermitHolder, PermitMessage, PermitState, Phase, Refusal,
};

fn started() -> PermitState {
    let mut state = PermitState::default();
    state.apply(&Entry::Limits(Limits::from_settings(&fleet(6))));
    state
}

fn order(state: &mut PermitState, order: Order, known_orders: Option<u64>) -> Option<Refusal> {
    let ticket = 1 + state.outcomes.last().map_or(0, |o| o.0);
    state.apply(&Entry::Order { order, by: "op".into(), known_orders, ticket });
    state.outcomes.last().unwrap().1.clone()
}

fn out(front: usize) -> Order {
    Order::Out { front: format!("f{front}"), incarnation: 100 + front as u64, cause: "restart".into() }
}

#[test]
fn a_bracket_goes_from_wish_to_grant_to_out_and_back_and_the_next_follows() {
    let mut s = started();
    for f in 0..4 {
        assert_eq!(order(&mut s, out(f), None), None);
    }
    // Two in all, one of each zone (a: even, b: odd).
    assert_eq!(s.permits.keys().collect::<Vec<_>>(), ["f0", "f1"]);
    assert_eq!(order(&mut s, out(0), None), None, "asking twice is asking once");
    assert_eq!((s.permits.len(), s.waiting.len()), (2, 2));
    let number = s.permits["f0"].number;
    s.apply(&Entry::Took { front: "f0".into(), number, incarnation: 7 });
    assert_eq!(s.permits["f0"].phase, Phase::Granted, "not by another incarnation");
    s.apply(&Entry::Took { front: "f0".into(), number, incarnation: 100 });
    s.apply(&Entry::Done { front: "f0".into(), number: number + 9 });
    assert_eq!(s.permits["f0"].phase, Phase::Taken, "nor is another permit its end");
    s.apply(&Entry::Done { front: "f0".into(), number });
    assert_eq!(s.permits.keys().collect::<Vec<_>>(), ["f1", "f2"]);
    assert!(s.permits["f2"].number > number, "no number is given twice");
}

#[test]
fn unplanned_losses_count_and_a_silent_holder_still_holds() {
    let mut s = started();
    let lost = |p: usize, of: &[&str]| Entry::View {
        planner: format!("p{p}"),
        lost: of.iter().map(|f| (*f).to_owned()).collect(),
    };
    s.apply(&lost(0, &["f2"]));
    order(&mut s, out(0), None);
    assert_eq!(s.permits.len(), 1, "one planner's view is no majority");
    s.apply(&lost(1, &["f2", "f0"]));
    order(&mut s, out(1), None);
    assert_eq!(s.waiting.len(), 1, "f0 out, f2 lost: planned work waits");
    s.apply(&lost(0, &["f0"]));
    s.apply(&lost(1, &["f0"]));
    assert!(
        s.permits.contains_key("f0") && s.permits.contains_key("f1"),
        "a holder that is lost counts once, and holds"
    );
    let number = s.permits["f0"].number;
    let free = |number| Order::Free { front: "f0".into(), number };
    assert!(order(&mut s, free(number + 1), None).is_some());
    assert_eq!(order(&mut s, free(number), None), None);
    assert!(!s.permits.contains_key("f0"));
}

#[test]
fn a_halt_takes_back_what_was_not_taken_and_an_order_on_a_state_that_moved_is_refused() {
    let mut s = started();
    order(&mut s, out(0), None);
    order(&mut s, out(1), None);
    let number = s.permits["f0"].number;
    s.apply(&Entry::Took { front: "f0".into(), number, incarnation: 100 });
    let late = Entry::Took { front: "f1".into(), number: s.permits["f1"].number, incarnation: 101 };
    assert_eq!(order(&mut s, Order::Halt { why: "look".into() }, Some(2)), None);
    s.apply(&late);
    assert_eq!(s.permits.keys().collect::<Vec<_>>(), ["f0"], "who is out stays out, who is in stays in");
    let moved = order(&mut s, Order::Resume, Some(2));
    assert_eq!(moved, Some(Refusal::Moved { planned: 2, now: 3 }));
    assert!(moved.unwrap().to_string().contains("planned on order 2, and 3"));
    assert_eq!(
        order(&mut s, Order::In { front: "f0".into() }, Some(3)),
        None,
        "coming back is allowed under a halt"
    );
    assert_eq!(s.permits["f0"].phase, Phase::Returning);
    assert_eq!(order(&mut s, Order::Resume, Some(4)), None);
    assert_eq!(s.permits["f1"].phase, Phase::Granted);
    // The same order come twice is one deed.
    let again = Entry::Order {
        order: Order::Halt { why: "x".into() },
        by: "op".into(),
        known_orders: None,
        ticket: 999,
    };
    s.apply(&again);
    order(&mut s, Order::Resume, None);
    s.apply(&again);
    assert!(s.halted.is_none());
}

#[test]
fn a_holder_uses_a_permit_once_while_it_is_young_and_for_its_own_incarnation_only() {
    let permit = |number, phase| Permit { number, incarnation: 5, phase, cause: "c".into() };
    let within = 1_000;
    let mut h = PermitHolder::default();
    h.observe(0, 6, Some(&permit(1, Phase::Granted)), within);
    assert_eq!(h.message(), None, "another incarnation's");
    h.observe(0, 5, Some(&permit(1, Phase::Granted)), within);
    assert!(h.message() == Some((1, PermitMessage::Request)) && !h.is_out());
    h.observe(500, 5, Some(&permit(1, Phase::Taken)), within);
    assert!(h.is_out());
    h.observe(900, 5, Some(&permit(1, Phase::Returning)), within);
    assert!(h.message() == Some((1, PermitMessage::In)) && !h.is_out());
    // From a planner that is behind: late, and twice.
    h.observe(950, 5, Some(&permit(1, Phase::Taken)), within);
    h.observe(950, 5, Some(&permit(1, Phase::Granted)), within);
    assert_eq!(h.message(), Some((1, PermitMessage::In)));
    // It stood still between asking and hearing.
    h.observe(2_000, 5, Some(&permit(2, Phase::Granted)), within);
    h.observe(62_000, 5, Some(&permit(2, Phase::Taken)), within);
    assert!(h.message() == Some((2, PermitMessage::Decline)) && !h.is_out());
}

fn entry() -> impl Strategy<Value = Entry> {
    let front = || (0usize..6).prop_map(|f| format!("f{f}"));
    let by = "op".to_owned();
    let orders = prop_oneof![
        4 => (0usize..6).prop_map(out),
        1 => front().prop_map(|front| Order::In { front }),
        1 => Just(Order::Halt { why: "w".into() }),
        1 => Just(Order::Resume),
    ];
    prop_oneof![
        4 => (orders, any::<u64>()).prop_map(move |(order, ticket)| Entry::Order { order, by: by.clone(), known_orders: None, ticket }),
        3 => ((0usize..6), 1u64..30).prop_map(|(f, number)| Entry::Took { front: format!("f{f}"), number, incarnation: 100 + f as u64 }),
        2 => (front(), 1u64..30).prop_map(|(front, number)| Entry::Done { front, number }),
        1 => ((0usize..3), prop::collection::btree_set(front(), 0..3)).prop_map(|(p, lost)| Entry::View { planner: format!("p{p}"), lost }),
    ]
}

proptest! {
    #[test]
    fn any_entries_keep_the_limits_and_a_replay_gives_the_same_bytes(entries in prop::collection::vec(entry(), 0..200)) {
        let (mut s, mut half) = (started(), None);
        for (n, entry) in entries.iter().enumerate() {
            let before = s.permits.clone();
            s.apply(entry);
            let zone = |f: &str| f[1..].parse::<usize>().unwrap() % 2;
            prop_assert!(s.permits.len() <= 2);
            prop_assert!((0..2).all(|z| s.permits.keys().filter(|f| zone(f) == z).count() <= 1));
            // Nothing is granted where losses leave no room, nor under a halt.
            let granted = s.permits.iter().any(|(f, p)| before.get(f).is_none_or(|b| b.number != p.number));
            let lost = s.lost_fronts().into_iter().filter(|f| !s.permits.contains_key(*f)).count();
            prop_assert!(!granted || s.halted.is_none() && s.permits.len() + lost <= 2);
            if n == entries.len() / 2 {
                half = Some((n, postcard::to_stdvec(&s).unwrap()));
            }
        }
        let mut again = started();
        entries.iter().for_each(|e| again.apply(e));
        prop_assert_eq!(postcard::to_stdvec(&again).unwrap(), postcard::to_stdvec(&s).unwrap());
        if let Some((n, bytes)) = half {
            let mut from: PermitState = postcard::from_bytes(&bytes).unwrap();
            entries[n + 1..].iter().for_each(|e| from.apply(e));
            prop_assert_eq!(from, s);
        }
    }
}
