//! Records made by hand: what the checks of bad days find in them, and what they let pass.

use yarrowspoke_lab::scale::witness::*;

fn request(id: &str, front: usize, sent: f64, status: Option<u16>, reached: bool) -> Request {
    Request {
        id: id.into(),
        front,
        kept: false,
        crossed: None,
        sent: Some(sent),
        answered: status.map(|s| (sent + 0.1, s)),
        reached: reached.then_some(sent + 0.02),
    }
}

#[test]
fn a_request_that_a_machine_saw_and_nobody_answered_is_lost() {
    let all = [
        request("served", 0, 1.0, Some(200), true),
        request("refused", 0, 1.1, Some(503), false),
        request("refused late", 0, 1.2, Some(504), true),
        request("never taken", 1, 1.3, None, false),
        Request { id: "not connected".into(), ..Request::default() },
    ];
    assert_eq!(lost(&all), [""; 0]);
    let mut all = all.to_vec();
    all.push(request("gone", 3, 2.0, None, true));
    assert_eq!(lost(&all), ["lost: gone at f3, taken at 2.02 s, not answered"]);
    all.extend((0..5).map(|n| request(&format!("g{n}"), 3, 3.0, None, true)));
    let told = lost(&all);
    assert_eq!((told.len(), told[3].as_str()), (4, "lost: 3 more"));
}

#[test]
fn only_attempts_after_a_machine_was_out_of_use_and_before_it_was_back_count() {
    let seen = [("before", 9.9), ("at", 10.0), ("back", 20.0)];
    assert_eq!(at_shut("drained", seen, (10.0, 20.0)), [""; 0]);
    let seen = [("late", 12.5), ("before", 3.0), ("first", 10.5)];
    assert_eq!(
        at_shut("drained", seen, (10.0, f64::INFINITY)),
        [
            "drained: attempt first came 0.50 s after it was out of use",
            "drained: attempt late came 2.50 s after it was out of use"
        ]
    );
}

fn asked(front: usize, from: f64, count: usize, status: Option<u16>) -> Vec<Request> {
    (0..count).map(|n| request("r", front, from + n as f64 * 0.1, status, status.is_some())).collect()
}

#[test]
fn a_front_that_serves_nothing_for_a_stretch_is_silent() {
    let (all, rule) = ((0.0, 100.0), (2.0, 10));
    let mut seen = asked(0, 0.0, 60, Some(200));
    // Nineteen of them are not enough of a stretch.
    seen.extend(asked(1, 0.0, 19, Some(503)));
    seen.extend(asked(1, 1.95, 40, Some(200)));
    assert_eq!(silent(&seen, &[0, 1], all, rule, &[]), [""; 0]);
    seen.extend(asked(1, 6.5, 30, Some(503)));
    let told = silent(&seen, &[0, 1], all, rule, &[]);
    assert!(told.len() == 1 && told[0].starts_with("silent: f1 served none of"), "{told:?}");
    // Not where it was down by what the run did, not where nobody looks, and not another front.
    let down = [Down { front: 1, from: 6.0, until: 11.0 }];
    assert_eq!(silent(&seen, &[0, 1], all, rule, &down), [""; 0]);
    assert_eq!(silent(&seen, &[0, 1], (0.0, 6.0), rule, &[]), [""; 0]);
    assert_eq!(silent(&seen, &[0], all, rule, &[]), [""; 0]);
    // One that is hardly asked may have been unlucky.
    let few = [request("a", 2, 1.0, None, false), request("b", 2, 9.0, None, false)];
    assert_eq!(silent(&few, &[2], all, rule, &[]), [""; 0]);
}

#[test]
fn what_was_served_is_counted_by_when_it_was_sent() {
    let mut seen = asked(0, 0.0, 10, Some(200));
    seen.extend(asked(0, 10.0, 5, Some(503)));
    seen.extend(asked(1, 10.0, 5, Some(200)));
    seen.push(Request { front: 0, ..Request::default() });
    assert_eq!(served(&seen, &[0], (0.0, 10.0)), (10, 10));
    assert_eq!(served(&seen, &[0], (0.0, 11.0)), (10, 15));
    assert_eq!(served(&seen, &[0, 1], (10.0, 11.0)), (5, 10));
}

#[test]
fn one_on_a_kept_connection_that_had_gone_was_never_taken_and_one_that_a_machine_saw_was() {
    let kept = |reached| Request { kept: true, ..request("k", 0, 1.0, None, reached) };
    let all = [kept(false), request("new", 0, 1.1, None, false), request("good", 0, 1.2, Some(200), true)];
    assert_eq!(served(&all, &[0], (0.0, 2.0)), (1, 2));
    assert_eq!(lost(&all), [""; 0]);
    assert_eq!(lost(&[kept(true)]).len(), 1);
    assert_eq!(served(&[kept(true)], &[0], (0.0, 2.0)), (0, 1));
    // Sent once more: lost if a machine had it before, and else not.
    let again = |crossed| Request { crossed: Some(crossed), ..request("again", 0, 1.0, Some(200), true) };
    assert_eq!(lost(&[again(1.01)]), [""; 0]);
    assert_eq!(lost(&[again(1.05)]).len(), 1);
    let gone: Vec<Request> =
        (0..40).map(|n| Request { sent: Some(f64::from(n) * 0.1), ..kept(false) }).collect();
    assert_eq!(silent(&gone, &[0], (0.0, 9.0), (2.0, 10), &[]), [""; 0]);
}

#[test]
fn refusals_just_after_a_front_was_ready_are_counted() {
    let downs = [Down { front: 1, from: 1.0, until: 5.0 }];
    let mut all = asked(1, 4.0, 10, Some(503));
    assert_eq!(refused_once_ready(&all, &downs, 2.0), 0);
    all.extend(asked(1, 5.5, 3, Some(503)));
    all.extend(asked(1, 7.5, 3, Some(503)));
    all.extend(asked(0, 5.5, 3, Some(503)));
    all.extend(asked(1, 6.0, 3, Some(200)));
    assert_eq!(refused_once_ready(&all, &downs, 2.0), 3);
}

#[test]
fn nine_in_ten_are_by_nearest_rank_and_who_never_came_counts() {
    let all = |came: usize, never: usize| -> Vec<Option<f64>> {
        (1..=came).map(|n| Some(n as f64)).chain((0..never).map(|_| None)).collect()
    };
    assert_eq!(p90(&all(10, 0)), Some(9.0));
    assert_eq!(p90(&all(9, 1)), Some(9.0));
    assert_eq!(p90(&all(8, 2)), None);
    assert_eq!(p90(&all(8, 0)), Some(8.0));
    assert_eq!(p90(&[]), None);
}

#[test]
fn steady_is_a_fifth_more_or_less() {
    let load = |bytes_per_s, cores| Load { bytes_per_s, cores };
    let before = [load(10_000.0, 1.0), load(100.0, 0.01)];
    assert!(steady(&before, &[load(11_900.0, 1.19), load(500.0, 0.05)]));
    assert!(!steady(&before, &[load(12_100.0, 1.0), before[1]]));
    assert!(!steady(&before, &[load(7_900.0, 1.0), before[1]]));
    assert!(!steady(&before, &[load(10_000.0, 1.21), before[1]]));
    assert!(!steady(&before, &[load(10_000.0, 0.79), before[1]]));
    assert!(!steady(&before, &[before[0]]));
}

#[test]
fn half_of_the_bytes_and_half_of_the_messages_are_seen() {
    assert_eq!(bytes_agree(100_000, 100_000, 300), Ok(()));
    assert_eq!(bytes_agree(99_000, 100_000, 300), Ok(()));
    assert!(bytes_agree(50_000, 100_000, 300).is_err());
    assert!(bytes_agree(0, 100_000, 300).is_err());
    let planners = |counts: [u64; 3]| counts.map(|n| (format!("p{n}"), n));
    assert_eq!(messages_agree(&planners([500, 480, 510])), Ok(()));
    let half = messages_agree(&planners([250, 500, 480])).unwrap_err();
    assert_eq!(half, "messages: 250 at p250, 500 at another planner from the same fronts");
    assert!(messages_agree(&planners([0, 0, 0])).is_err());
}
