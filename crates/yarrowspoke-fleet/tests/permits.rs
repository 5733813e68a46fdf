//! The agreed permits: the same entries give the same state, and never are more fronts out than the limits allow.

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
fn a_permit_goes_from_order_to_grant_to_out_to_end_and_the_next_follows() {
    let mut state = started();
    for f in 0..4 {
        assert_eq!(order(&mut state, out(f), None), None);
    }
    // At most two fronts in all and one in each zone (a: even, b: odd).
    assert_eq!(state.permits.keys().collect::<Vec<_>>(), ["f0", "f1"]);
    assert_eq!(order(&mut state, out(0), None), None, "a repeated order has no effect");
    assert_eq!((state.permits.len(), state.waiting.len()), (2, 2));
    let number = state.permits["f0"].number;
    state.apply(&Entry::Took { front: "f0".into(), number, incarnation: 7 });
    assert_eq!(state.permits["f0"].phase, Phase::Granted, "another incarnation cannot take it up");
    state.apply(&Entry::Took { front: "f0".into(), number, incarnation: 100 });
    state.apply(&Entry::Done { front: "f0".into(), number: number + 9 });
    assert_eq!(state.permits["f0"].phase, Phase::Taken, "another permit number does not end it");
    state.apply(&Entry::Done { front: "f0".into(), number });
    assert_eq!(state.permits.keys().collect::<Vec<_>>(), ["f1", "f2"]);
    assert!(state.permits["f2"].number > number, "no number is granted twice");
}

#[test]
fn lost_fronts_count_and_a_silent_holder_keeps_its_permit() {
    let mut state = started();
    let lost = |p: usize, of: &[&str]| Entry::View {
        planner: format!("p{p}"),
        lost: of.iter().map(|f| (*f).to_owned()).collect(),
    };
    state.apply(&lost(0, &["f2"]));
    order(&mut state, out(0), None);
    assert_eq!(state.permits.len(), 1, "one planner's view is no majority");
    state.apply(&lost(1, &["f2", "f0"]));
    order(&mut state, out(1), None);
    assert_eq!(state.waiting.len(), 1, "f0 is out and f2 lost, so planned work waits");
    state.apply(&lost(0, &["f0"]));
    state.apply(&lost(1, &["f0"]));
    assert!(
        state.permits.contains_key("f0") && state.permits.contains_key("f1"),
        "a holder that is lost counts once and keeps its permit"
    );
    let number = state.permits["f0"].number;
    let free = |number| Order::Free { front: "f0".into(), number };
    assert!(order(&mut state, free(number + 1), None).is_some());
    assert_eq!(order(&mut state, free(number), None), None);
    assert!(!state.permits.contains_key("f0"));
}

#[test]
fn a_halt_withdraws_untaken_permits_and_an_order_on_a_stale_state_is_refused() {
    let mut state = started();
    order(&mut state, out(0), None);
    order(&mut state, out(1), None);
    let number = state.permits["f0"].number;
    state.apply(&Entry::Took { front: "f0".into(), number, incarnation: 100 });
    let late = Entry::Took { front: "f1".into(), number: state.permits["f1"].number, incarnation: 101 };
    assert_eq!(order(&mut state, Order::Halt { why: "look".into() }, Some(2)), None);
    state.apply(&late);
    assert_eq!(
        state.permits.keys().collect::<Vec<_>>(),
        ["f0"],
        "a front that is out stays out, one in service stays in service"
    );
    let moved = order(&mut state, Order::Resume, Some(2));
    assert_eq!(moved, Some(Refusal::Moved { planned: 2, now: 3 }));
    assert!(moved.unwrap().to_string().contains("planned on order 2, and 3"));
    assert_eq!(
        order(&mut state, Order::In { front: "f0".into() }, Some(3)),
        None,
        "a front may return under a halt"
    );
    assert_eq!(state.permits["f0"].phase, Phase::Returning);
    assert_eq!(order(&mut state, Order::Resume, Some(4)), None);
    assert_eq!(state.permits["f1"].phase, Phase::Granted);
    // An order that arrives twice is carried out once.
    let repeated = Entry::Order {
        order: Order::Halt { why: "x".into() },
        by: "op".into(),
        known_orders: None,
        ticket: 999,
    };
    state.apply(&repeated);
    order(&mut state, Order::Resume, None);
    state.apply(&repeated);
    assert!(state.halted.is_none());
}

#[test]
fn a_holder_uses_a_permit_once_while_recent_and_for_its_own_incarnation_only() {
    let permit = |number, phase| Permit { number, incarnation: 5, phase, cause: "c".into() };
    let within = 1_000;
    let mut holder = PermitHolder::default();
    holder.observe(0, 6, Some(&permit(1, Phase::Granted)), within);
    assert_eq!(holder.message(), None, "the permit of another incarnation");
    holder.observe(0, 5, Some(&permit(1, Phase::Granted)), within);
    assert!(holder.message() == Some((1, PermitMessage::Request)) && !holder.is_out());
    holder.observe(500, 5, Some(&permit(1, Phase::Taken)), within);
    assert!(holder.is_out());
    holder.observe(900, 5, Some(&permit(1, Phase::Returning)), within);
    assert!(holder.message() == Some((1, PermitMessage::In)) && !holder.is_out());
    // From a planner that is behind: late, and twice.
    holder.observe(950, 5, Some(&permit(1, Phase::Taken)), within);
    holder.observe(950, 5, Some(&permit(1, Phase::Granted)), within);
    assert_eq!(holder.message(), Some((1, PermitMessage::In)));
    // The holder was suspended between its request and the answer.
    holder.observe(2_000, 5, Some(&permit(2, Phase::Granted)), within);
    holder.observe(62_000, 5, Some(&permit(2, Phase::Taken)), within);
    assert!(holder.message() == Some((2, PermitMessage::Decline)) && !holder.is_out());
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
        let (mut state, mut midway) = (started(), None);
        for (n, entry) in entries.iter().enumerate() {
            let before = state.permits.clone();
            state.apply(entry);
            let zone = |f: &str| f[1..].parse::<usize>().unwrap() % 2;
            prop_assert!(state.permits.len() <= 2);
            prop_assert!((0..2).all(|z| state.permits.keys().filter(|f| zone(f) == z).count() <= 1));
            // Nothing is granted where lost fronts leave no room, nor under a halt.
            let granted = state.permits.iter().any(|(f, p)| before.get(f).is_none_or(|b| b.number != p.number));
            let lost = state.lost_fronts().into_iter().filter(|f| !state.permits.contains_key(*f)).count();
            prop_assert!(!granted || state.halted.is_none() && state.permits.len() + lost <= 2);
            if n == entries.len() / 2 {
                midway = Some((n, postcard::to_stdvec(&state).unwrap()));
            }
        }
        let mut repeated = started();
        entries.iter().for_each(|e| repeated.apply(e));
        prop_assert_eq!(postcard::to_stdvec(&repeated).unwrap(), postcard::to_stdvec(&state).unwrap());
        if let Some((n, bytes)) = midway {
            let mut from: PermitState = postcard::from_bytes(&bytes).unwrap();
            entries[n + 1..].iter().for_each(|e| from.apply(e));
            prop_assert_eq!(from, state);
        }
    }
}
