//! The schedule of heartbeats by itself: what is due when, for all inputs.

use proptest::prelude::*;
use yarrowspoke_fleet::heartbeat_schedule::{next_due, PlannerSchedule};

const RENEW: u64 = 200_000;

fn steady(last_sent_at: u64) -> PlannerSchedule {
    PlannerSchedule { last_sent_at: Some(last_sent_at), urgent_since: None, responsive: true }
}

#[test]
fn one_planner_receives_a_heartbeat_in_every_renewal() {
    for planners in [1usize, 3, 5] {
        let pace = RENEW * planners as u64;
        let mut schedules = vec![steady(0); planners];
        let (mut heard, mut at) = (vec![vec![0]; planners], 0);
        for _ in 0..20 * planners {
            let next = (0..planners).min_by_key(|n| next_due(&schedules, *n, (RENEW, pace), 7)).unwrap();
            let now = next_due(&schedules, next, (RENEW, pace), 7);
            assert!(now - at <= RENEW, "{planners}: nobody was heard from {at} to {now}");
            (schedules[next], at) = (steady(now), now);
            heard[next].push(now);
        }
        assert!(
            heard.iter().all(|h| h.len() == 21 && h.windows(2).all(|w| w[1] - w[0] <= pace)),
            "{heard:?}"
        );
    }
}

#[test]
fn with_one_planner_down_another_receives_a_heartbeat_in_every_renewal() {
    let mut schedules = vec![steady(0); 5];
    schedules[3].responsive = false;
    let mut at = 0;
    for _ in 0..40 {
        let next =
            [0, 1, 2, 4].into_iter().min_by_key(|n| next_due(&schedules, *n, (RENEW, 5 * RENEW), 7)).unwrap();
        let now = next_due(&schedules, next, (RENEW, 5 * RENEW), 7);
        assert!(now - at <= RENEW);
        (schedules[next], at) = (steady(now), now);
    }
}

proptest! {
    #[test]
    fn heartbeats_are_due_neither_after_their_bound_nor_within_a_renewal(
        lasts in prop::collection::vec((0u64..2_000_000, any::<bool>(), prop::option::of(0u64..400_000)), 1..7),
        paces in 1u64..8,
        draw in any::<u64>(),
    ) {
        let schedule = |(last, responsive, urgent_since): &(u64, bool, Option<u64>)| {
            PlannerSchedule { last_sent_at: Some(*last), urgent_since: urgent_since.map(|h| last + h), responsive: *responsive }
        };
        let schedules: Vec<PlannerSchedule> = lasts.iter().map(schedule).collect();
        let pace = paces * RENEW;
        for (n, schedule) in schedules.iter().enumerate() {
            let (at, last) = (next_due(&schedules, n, (RENEW, pace), draw), schedule.last_sent_at.unwrap());
            prop_assert!(at >= last + RENEW);
            match schedule.urgent_since {
                Some(since) => prop_assert!(at <= since + RENEW, "a change was held back"),
                None => prop_assert!(at <= last + pace),
            }
        }
    }
}

#[test]
fn heartbeats_of_many_fronts_for_one_change_are_spread_over_a_renewal() {
    let hurried = [PlannerSchedule { last_sent_at: Some(0), urgent_since: Some(900_000), responsive: true }];
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
