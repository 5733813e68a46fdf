//! The pace by itself: what is due when, over all that may be asked of it.

use proptest::prelude::*;
use yarrowspoke_fleet::heartbeat_schedule::{next_due, PlannerSchedule};

const RENEW: u64 = 200_000;

fn steady(last: u64) -> PlannerSchedule {
    PlannerSchedule { last: Some(last), hurry: None, answers: true }
}

#[test]
fn planners_are_heard_by_turns_one_in_every_renewal() {
    for planners in [1usize, 3, 5] {
        let pace = RENEW * planners as u64;
        let mut beats = vec![steady(0); planners];
        let (mut heard, mut at) = (vec![vec![0]; planners], 0);
        for _ in 0..20 * planners {
            let next = (0..planners).min_by_key(|n| next_due(&beats, *n, (RENEW, pace), 7)).unwrap();
            let now = next_due(&beats, next, (RENEW, pace), 7);
            assert!(now - at <= RENEW, "{planners}: nobody was heard from {at} to {now}");
            (beats[next], at) = (steady(now), now);
            heard[next].push(now);
        }
        assert!(
            heard.iter().all(|h| h.len() == 21 && h.windows(2).all(|w| w[1] - w[0] <= pace)),
            "{heard:?}"
        );
    }
}

#[test]
fn where_one_does_not_answer_the_others_are_heard_in_every_renewal_still() {
    let mut beats = vec![steady(0); 5];
    beats[3].answers = false;
    let mut at = 0;
    for _ in 0..40 {
        let next =
            [0, 1, 2, 4].into_iter().min_by_key(|n| next_due(&beats, *n, (RENEW, 5 * RENEW), 7)).unwrap();
        let now = next_due(&beats, next, (RENEW, 5 * RENEW), 7);
        assert!(now - at <= RENEW);
        (beats[next], at) = (steady(now), now);
    }
}

proptest! {
    #[test]
    fn nothing_comes_later_than_its_bound_or_sooner_than_a_renewal(
        lasts in prop::collection::vec((0u64..2_000_000, any::<bool>(), prop::option::of(0u64..400_000)), 1..7),
        paces in 1u64..8,
        draw in any::<u64>(),
    ) {
        let beat = |(last, answers, hurry): &(u64, bool, Option<u64>)| {
            PlannerSchedule { last: Some(*last), hurry: hurry.map(|h| last + h), answers: *answers }
        };
        let beats: Vec<PlannerSchedule> = lasts.iter().map(beat).collect();
        let pace = paces * RENEW;
        for (n, beat) in beats.iter().enumerate() {
            let (at, last) = (next_due(&beats, n, (RENEW, pace), draw), beat.last.unwrap());
            prop_assert!(at >= last + RENEW);
            match beat.hurry {
                Some(since) => prop_assert!(at <= since + RENEW, "a change was held back"),
                None => prop_assert!(at <= last + pace),
            }
        }
    }
}

#[test]
fn what_many_fronts_owe_to_one_change_is_spread_over_a_renewal() {
    let hurried = [PlannerSchedule { last: Some(0), hurry: Some(900_000), answers: true }];
    let at = |draw: u64| next_due(&hurried, 0, (RENEW, 1_000_000), draw.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut all: Vec<u64> = (0..620).map(at).collect();
    all.sort_unstable();
    assert!(all[0] >= 900_000 && all[619] <= 900_000 + RENEW);
    assert!(
        all.chunks(155).all(|c| c[154] - c[0] < RENEW / 3),
        "no quarter of them stands together: {all:?}"
    );
    assert!(all[619] - all[0] > RENEW / 2);
}
