//! The escalation of a straggler from its first lag to its return to service, and what must never happen on the way.

mod common;

use common::*;
use yarrowspoke_fleet::planner::Step;
use yarrowspoke_fleet::settings::{Alone, Fleet, Limit};
use yarrowspoke_fleet::span::Stance;
use yarrowspoke_fleet::version::ListSource;

fn run_on_list(rig: &mut Rig, index: u64) {
    let n = rig.fronts.len();
    rig.list(0..n, index, &ready(10, &[]));
    rig.run(5, &[]);
}

fn fronts_out(rig: &Rig) -> Vec<usize> {
    (0..rig.fronts.len()).filter(|f| rig.fronts[*f].stance(rig.now) == Stance::Out).collect()
}

#[test]
fn a_straggler_is_noted_reconciled_quarantined_and_returns() {
    let mut rig = Rig::new(fleet(4));
    run_on_list(&mut rig, 5);
    rig.run(10, &[]);
    assert!((0..4).all(|f| rig.planners[0].step(&format!("f{f}"), rig.now) == Step::Current));
    // Machine 3 drains, and front 0 does not learn of it from its own source.
    rig.list(1..4, 6, &ready(10, &[3]));
    rig.run(2, &[]);
    assert!(
        rig.fronts[0].excludes(rig.now, 3, 1),
        "reconciled by the first heartbeat after the planners had the list"
    );
    assert!(!rig.fronts[0].excludes(rig.now, 4, 1));
    rig.run(3, &[]);
    assert_eq!(rig.planners[0].step("f0", rig.now), Step::Reconciled);
    rig.run(10, &[]);
    assert_eq!((fronts_out(&rig), rig.planners[1].step("f0", rig.now)), (vec![0], Step::Out));
    assert!(
        !rig.fronts[0].admits_requests(rig.now)
            && rig.planners[2].status(rig.now).fronts[0].out == Some("acknowledged")
    );
    rig.list([0], 6, &ready(10, &[3]));
    rig.run(2, &[]);
    assert_eq!(fronts_out(&rig), [0], "current, but not yet for long enough");
    rig.run(6, &[]);
    assert_eq!((fronts_out(&rig), rig.planners[0].step("f0", rig.now)), (vec![], Step::Current));
    assert_eq!(rig.fronts[0].stance(rig.now), Stance::Open);
}

#[test]
fn relayed_lists_and_rollouts_only_restrict() {
    let mut rig = Rig::new(fleet(4));
    run_on_list(&mut rig, 5);
    rig.list(1..4, 6, &ready(12, &[3]));
    for f in 0..4 {
        rig.fronts[f]
            .rollout_received((rig.now, 0), if f == 0 { rollout(2, 0, 160_000) } else { rollout(2, 2, 0) });
    }
    rig.run(2, &[]);
    // A machine that is new on the others' list stays unknown here: only the front's own source can make it ready.
    assert_eq!(rig.fronts[0].version().list.index, 5);
    assert_eq!(rig.fronts[0].restricting_rollout(), Some(rollout(2, 2, 0)));
    // A higher cap of the others is not relayed.
    for f in 1..4 {
        rig.fronts[f].rollout_received((rig.now, 0), rollout(3, 0, 900_000));
    }
    rig.fronts[0].rollout_received((rig.now, 0), rollout(3, 0, 160_000));
    rig.run(2, &[]);
    assert_eq!(rig.fronts[0].restricting_rollout(), None);
}

#[test]
fn one_front_with_a_wrong_list_does_not_empty_the_others() {
    let mut rig = Rig::new(fleet(4));
    run_on_list(&mut rig, 5);
    rig.list([3], 9, &ready(10, &[1, 2, 3, 4, 5, 6, 7]));
    rig.run(3, &[]);
    assert!(!rig.fronts[0].excludes(rig.now, 1, 1) && rig.fronts[0].rejected_shrinks() > 0);
    // Two fronts that have the list from their own sources are believed.
    rig.list([2], 9, &ready(10, &[1, 2, 3, 4, 5, 6, 7]));
    rig.run(3, &[]);
    assert!(rig.fronts[0].excludes(rig.now, 1, 1));
}

#[test]
fn a_lease_is_checked_after_suspension_and_alone_requires_failed_heartbeats() {
    for alone in [Alone::Serve, Alone::Narrow] {
        let mut rig = Rig::new(Fleet { alone, ..fleet(4) });
        run_on_list(&mut rig, 5);
        rig.fronts[0].rollout_received((rig.now, 0), rollout(2, 0, 160_000));
        rig.run(3, &[]);
        assert!(!rig.fronts[0].excludes(rig.now, 1, 2), "a build on trial is served under a lease");
        // The front is suspended for a minute, and nothing has notified it when it resumes.
        rig.now += 60_000 * MS;
        assert_eq!(rig.fronts[0].stance(rig.now), Stance::Narrowed);
        assert!(rig.fronts[0].excludes(rig.now, 1, 2) && !rig.fronts[0].excludes(rig.now, 1, 1));
        assert!(!rig.fronts[0].admits_requests(rig.now), "its list was not confirmed for too long");
        rig.fronts[0].list_confirmed(rig.now);
        assert!(rig.fronts[0].admits_requests(rig.now));
        // No planner can be reached.
        rig.cut(0, (false, false));
        rig.run(2, &[]);
        let expected = if alone == Alone::Serve { Stance::Alone } else { Stance::Narrowed };
        assert_eq!(rig.fronts[0].stance(rig.now), expected);
        rig.cut(0, (true, true));
        rig.run(2, &[]);
        assert_eq!(rig.fronts[0].stance(rig.now), Stance::Open);
    }
}

#[test]
fn a_minority_grants_no_lease_and_late_answers_grant_nothing() {
    let mut rig = Rig::new(fleet(4));
    run_on_list(&mut rig, 5);
    for p in 1..3 {
        rig.links.insert((0, p), (true, false));
    }
    rig.run(7, &[]);
    assert_eq!(
        rig.fronts[0].stance(rig.now),
        Stance::Narrowed,
        "all planners receive its heartbeats, but only one answer arrives"
    );
    let heartbeat = rig.fronts[0].heartbeat(1, rig.now);
    let late = rig.planners[1].handle_heartbeat(rig.now, heartbeat).unwrap();
    let begun = rig.now;
    rig.run(10, &[]);
    rig.fronts[0].heartbeat_answered(1, begun, rig.now, late);
    assert_eq!(rig.fronts[0].stance(rig.now), Stance::Narrowed);
}

#[test]
fn no_more_are_out_than_allowed_in_all_and_by_zone_counting_dead_fronts() {
    let mut rig = Rig::new(fleet(8));
    run_on_list(&mut rig, 5);
    rig.run(10, &[]);
    // All fronts but one are behind.
    rig.list([7], 6, &ready(10, &[3]));
    for _ in 0..60 {
        rig.run(1, &[]);
        let out = fronts_out(&rig);
        let in_zone = |z: usize| out.iter().filter(|f| *f % 2 == z).count();
        assert!(out.len() <= 2 && in_zone(0) <= 1 && in_zone(1) <= 1, "{out:?}");
    }
    assert_eq!(fronts_out(&rig).len(), 2);
    // A front of zone b that died takes the only slot of its zone.
    let mut rig = Rig::new(fleet(8));
    run_on_list(&mut rig, 5);
    rig.run(10, &[1]);
    rig.list([7], 6, &ready(10, &[3]));
    rig.run(40, &[1]);
    assert!(
        fronts_out(&rig).iter().all(|f| f % 2 == 0) && fronts_out(&rig).len() == 1,
        "{:?}",
        fronts_out(&rig)
    );
}

#[test]
fn fronts_all_behind_together_are_not_stragglers() {
    let mut rig = Rig::new(fleet(4));
    run_on_list(&mut rig, 5);
    rig.run(60, &[]);
    assert!(fronts_out(&rig).is_empty());
    // A front that knew of a newer list and died is not compared to the live ones.
    rig.list([3], 6, &ready(10, &[]));
    rig.run(2, &[]);
    rig.run(60, &[3]);
    assert!(fronts_out(&rig).is_empty() && rig.planners[0].step("f3", rig.now) == Step::Unknown);
}

#[test]
fn planners_that_lose_their_state_learn_their_votes_from_the_fronts() {
    let mut rig = Rig::new(Fleet { most_out: Limit::Number(1), ..fleet(6) });
    run_on_list(&mut rig, 5);
    rig.run(10, &[]);
    rig.list(1..6, 6, &ready(10, &[3]));
    rig.run(20, &[]);
    assert_eq!(fronts_out(&rig), [0]);
    // Two of three planners restart without state while another front falls behind.
    for p in 1..3 {
        let log = Default::default();
        rig.planners[p] =
            yarrowspoke_fleet::planner::Planner::new(rig.fleet.clone(), &format!("p{p}"), 2, rig.now, log);
    }
    rig.list(2..6, 7, &ready(10, &[3, 4]));
    for _ in 0..60 {
        rig.run(1, &[]);
        assert!(fronts_out(&rig).len() <= 1, "{:?}", fronts_out(&rig));
    }
    assert_eq!(fronts_out(&rig), [0]);
}

#[test]
fn an_index_that_went_back_is_reported_and_makes_no_front_a_straggler() {
    let mut rig = Rig::new(fleet(4));
    run_on_list(&mut rig, 50);
    rig.list([0], 3, &ready(10, &[]));
    rig.run(40, &[]);
    assert!(fronts_out(&rig).is_empty());
    assert_eq!(rig.fronts[0].version().list.epoch, 1);
    let status = rig.planners[0].status(rig.now);
    assert_eq!(status.fronts[0].version.unwrap().list.epoch, 1);
    // The cached list of a start does not count as an index that went back.
    rig.fronts[1].list_received((rig.now, 0), (2, 1), ListSource::Cached, ready(10, &[]));
    assert_eq!(rig.fronts[1].version().list.epoch, 0);
}

#[test]
fn a_restart_frees_the_slot_only_after_several_heartbeats() {
    let mut rig = Rig::new(fleet(4));
    run_on_list(&mut rig, 5);
    rig.run(10, &[]);
    rig.list(1..4, 6, &ready(10, &[3]));
    rig.run(20, &[]);
    assert_eq!(fronts_out(&rig), [0]);
    let (fleet, list) = (rig.fleet.clone(), ready(10, &[3]));
    let mut new = yarrowspoke_fleet::front::FrontSide::new(fleet, "f0", 900, version());
    new.list_received((0, 0), (6, 42), ListSource::Discovery, list);
    std::mem::swap(&mut rig.fronts[0], &mut new);
    rig.run(1, &[]);
    assert!(rig.planners[0].status(rig.now).fronts[0].out.is_some(), "a single heartbeat may be a late one");
    // A late copy of the old incarnation's heartbeat undoes nothing.
    let late = new.heartbeat(0, rig.now);
    let _ = rig.planners[0].handle_heartbeat(rig.now, late);
    rig.run(12, &[]);
    assert!(rig.planners[0].status(rig.now).fronts[0].out.is_none() && fronts_out(&rig).is_empty());
}

#[test]
fn a_queued_heartbeat_does_not_show_that_a_front_is_live() {
    let mut rig = Rig::new(fleet(3));
    run_on_list(&mut rig, 5);
    let (sent_at, queued) = (rig.now, rig.fronts[0].heartbeat(0, rig.now));
    // Planner and front are suspended; the planner resumes and reads a heartbeat that was queued, while the front is
    // dead.
    rig.now += 60_000 * MS;
    let answer = rig.planners[0].handle_heartbeat(rig.now, queued).unwrap();
    assert_eq!(rig.planners[0].step("f0", rig.now), Step::Unknown);
    assert!(rig.planners[0].status(rig.now).fronts[0].heard_ms_ago.is_some_and(|ms| ms >= 60_000));
    // Nor does the answer grant a lease to a front that resumes later: the lease counts from when the heartbeat was
    // sent.
    rig.fronts[0].heartbeat_answered(0, sent_at, rig.now, answer);
    assert_eq!(rig.fronts[0].stance(rig.now), Stance::Narrowed);
}

#[test]
fn two_processes_with_one_name_are_both_notified_and_recorded_separately() {
    let mut rig = Rig::new(fleet(3));
    run_on_list(&mut rig, 5);
    let mut other = yarrowspoke_fleet::front::FrontSide::new(rig.fleet.clone(), "f0", 777, version());
    let mut notified = false;
    for _ in 0..8 {
        rig.run(1, &[]);
        other.tick(rig.now, 0);
        let heartbeat = other.heartbeat(0, rig.now);
        notified |= other
            .heartbeat_answered(
                0,
                rig.now,
                rig.now,
                rig.planners[0].handle_heartbeat(rig.now, heartbeat).unwrap(),
            )
            .duplicate_name;
    }
    assert!(notified && rig.planners[0].status(rig.now).fronts[0].duplicate_name);
    let incarnations: Vec<u64> =
        rig.planners[0].report_log.incarnations().iter().filter(|l| l.0 == "f0").map(|l| l.1).collect();
    assert_eq!(incarnations, [100, 777]);
    assert!(rig.planners[0].report_log.contradictions().is_empty());
}

mod drawn {
    use super::*;
    use proptest::prelude::*;

    /// What happens between two renewals.
    #[derive(Clone, Copy, Debug)]
    enum Event {
        Link(usize, usize, bool, bool),
        List(usize),
        EmptyPlanner(usize),
        Restart(usize),
        Suspend(usize, usize),
        Nothing,
    }

    fn event() -> impl Strategy<Value = Event> {
        prop_oneof![
            3 => (0usize..6, 0usize..3, any::<bool>(), any::<bool>()).prop_map(|(f, p, a, b)| Event::Link(f, p, a, b)),
            4 => (0usize..6).prop_map(Event::List),
            1 => (0usize..3).prop_map(Event::EmptyPlanner),
            1 => (0usize..6).prop_map(Event::Restart),
            1 => (0usize..6, 1usize..40).prop_map(|(f, n)| Event::Suspend(f, n)),
            4 => Just(Event::Nothing),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]
        #[test]
        fn no_events_put_more_fronts_out_than_allowed(events in prop::collection::vec(event(), 20..160)) {
            let mut rig = Rig::new(fleet(6));
            run_on_list(&mut rig, 1);
            let (mut index, mut incarnation, mut suspended_until) = (1u64, 1_000u64, [0u64; 6]);
            for event in events {
                match event {
                    Event::Link(f, p, to, back) => drop(rig.links.insert((f, p), (to, back))),
                    // All fronts but one receive the list, so that one falls behind.
                    Event::List(but) => {
                        index += 1;
                        rig.list((0..6).filter(|f| *f != but && index % 7 != *f as u64), index, &ready(10, &[3]));
                    }
                    Event::EmptyPlanner(p) => {
                        incarnation += 1;
                        let (fleet, name) = (rig.fleet.clone(), format!("p{p}"));
                        let log = Default::default();
                        rig.planners[p] = yarrowspoke_fleet::planner::Planner::new(fleet, &name, incarnation, rig.now, log);
                    }
                    Event::Restart(f) => {
                        incarnation += 1;
                        let (fleet, name) = (rig.fleet.clone(), format!("f{f}"));
                        rig.fronts[f] = yarrowspoke_fleet::front::FrontSide::new(fleet, &name, incarnation, version());
                    }
                    Event::Suspend(f, n) => suspended_until[f] = rig.now + n as u64 * rig.fleet.renew,
                    Event::Nothing => {}
                }
                for _ in 0..3 {
                    let suspended: Vec<usize> = (0..6).filter(|f| suspended_until[*f] > rig.now).collect();
                    rig.run(1, &suspended);
                    let out = fronts_out(&rig);
                    let of_zone = |z: usize| out.iter().filter(|f| *f % 2 == z).count();
                    prop_assert!(out.len() <= 2 && of_zone(0) <= 1 && of_zone(1) <= 1, "{:?}", out);
                }
            }
            // Once all links work and all fronts have the same list, every front returns to service.
            (0..6).for_each(|f| rig.cut(f, (true, true)));
            rig.list(0..6, index + 1, &ready(10, &[]));
            rig.run(60, &[]);
            prop_assert_eq!(fronts_out(&rig), Vec::<usize>::new());
        }
    }
}
