//! Spans that planners acknowledged and then lost, as by a power cut before they were on disk, while the front keeps them
//! no longer.

mod common;

use common::*;
use proptest::prelude::*;
use yarrowspoke_fleet::audit::{audit, AuditQuery};
use yarrowspoke_fleet::planner::Planner;
use yarrowspoke_fleet::report_log::ReportLog;
use yarrowspoke_fleet::settings::Fleet;
use yarrowspoke_fleet::wire::{encode, Heartbeat, REPORTS_PER_HEARTBEAT};

const F0: (&str, u64) = ("f0", 100);

/// A planner's book as it is read again from disk: the reports in it and nothing else.
fn flushed(planner: &Planner) -> ReportLog {
    let mut book = ReportLog::default();
    for (front, incarnation, report) in planner.report_log.missing_from(&[], u64::MAX) {
        assert!(book.insert(&front, incarnation, report).unwrap());
    }
    book
}

fn books(rig: &Rig) -> Vec<ReportLog> {
    rig.planners.iter().map(flushed).collect()
}

/// A planner is reached again, or not any more.
fn link(rig: &mut Rig, planner: usize, reached: bool) {
    rig.links.insert((0, planner), (reached, reached));
}

/// Spans close and heartbeats pass, and no planner pulls from another.
fn run_without_pulls(rig: &mut Rig, renewals: usize) {
    for _ in 0..renewals {
        rig.now += rig.fleet.renew;
        let now = rig.now;
        rig.fronts[0].tick(now, 1_000_000 + now);
        rig.heartbeat(0);
    }
}

/// A planner dies and is back with this book, which may lack what it acknowledged.
fn replace(rig: &mut Rig, planner: usize, book: ReportLog) {
    let name = format!("p{planner}");
    rig.planners[planner] = Planner::new(rig.fleet.clone(), &name, 2, rig.now, book);
}

fn closed(rig: &mut Rig, front: usize) -> u64 {
    rig.fronts[front].recorder().last_number()
}

fn gaps(rig: &Rig, planner: usize) -> Vec<(u64, u64)> {
    rig.planners[planner].report_log.gaps(F0.0, F0.1)
}

/// What a front sends a planner now, without its being carried there.
fn sends(rig: &mut Rig, front: usize, planner: usize) -> Heartbeat {
    rig.fronts[front].heartbeat(planner, rig.now)
}

#[test]
fn a_hole_that_nobody_can_fill_holds_up_nothing_behind_it() {
    let mut rig = Rig::new(fleet(2));
    rig.run(30, &[]);
    let flushed = books(&rig);
    let before = encode(&sends(&mut rig, 0, 0)).len();
    let kept = closed(&mut rig, 0);
    rig.run(5, &[]);
    let lost = (kept + 1, closed(&mut rig, 0));
    flushed.into_iter().enumerate().for_each(|(p, book)| replace(&mut rig, p, book));
    rig.run(2 * REPORTS_PER_HEARTBEAT, &[]);
    for front in 0..2 {
        let newest = closed(&mut rig, front);
        for p in 0..3 {
            let heartbeat = sends(&mut rig, front, p);
            let (reports, bytes) = (heartbeat.reports.len(), encode(&heartbeat).len());
            let book = &rig.planners[p].report_log;
            let view = book.view(&format!("f{front}"), 100 + front as u64);
            let has = view.last().unwrap().last;
            assert!(
                reports <= 2 && bytes <= 2 * before && has == newest,
                "front {front} sends p{p} {reports} reports in a heartbeat of {bytes} bytes, {before} before; \
                 the newest there is {has} of {newest}"
            );
        }
        assert!(rig.fronts[front].recorder().retained() <= 2, "front {front} is rid of what planners have");
    }
    // It stays shown for what it is.
    for p in 0..3 {
        assert_eq!(gaps(&rig, p), [lost]);
        assert_eq!(rig.planners[p].status(rig.now).fronts[0].missing, lost.1 - lost.0 + 1);
        let drawn = audit(
            &rig.planners[p].report_log,
            &AuditQuery { front: Some("f0".into()), ..AuditQuery::default() },
        );
        let why = format!("spans {} to {} have not come", lost.0, lost.1);
        assert!(drawn.incarnations[0].unknown.iter().any(|u| u.why == why), "{drawn:?}");
        let held = rig.planners[p].report_log.held_ranges();
        let ranges = &held.iter().find(|h| (h.0.as_str(), h.1) == F0).unwrap().2;
        assert!(ranges.iter().all(|r| r.1 < lost.0 || r.0 > lost.1), "others may still bring it: {ranges:?}");
    }
}

#[test]
fn a_hole_that_another_planner_can_fill_is_filled() {
    let mut rig = Rig::new(fleet(1));
    rig.run(30, &[]);
    let flushed = books(&rig);
    rig.run(5, &[]);
    let lost = (flushed[0].contiguous_through(F0.0, F0.1) + 1, closed(&mut rig, 0));
    (0..2).for_each(|p| replace(&mut rig, p, flushed[p].clone()));
    // Without pulls first, so that the planners learn from the front alone that it has nothing older.
    run_without_pulls(&mut rig, 3);
    assert_eq!(gaps(&rig, 0), [lost]);
    assert_eq!(gaps(&rig, 1), [lost]);
    assert!(gaps(&rig, 2).is_empty());
    rig.run(2, &[]);
    (0..3).for_each(|p| assert!(gaps(&rig, p).is_empty(), "p{p} got it from the one that has it"));
}

#[test]
fn what_was_on_its_way_before_a_planner_died_does_not_make_a_hole() {
    let mut rig = Rig::new(fleet(1));
    rig.run(10, &[]);
    // Only the first planner is reached: the front keeps what is new, and knows that this one has it.
    [1, 2].into_iter().for_each(|p| link(&mut rig, p, false));
    let flushed = flushed(&rig.planners[0]);
    run_without_pulls(&mut rig, 5);
    let held = flushed.contiguous_through(F0.0, F0.1);
    let now = rig.now + rig.fleet.renew;
    rig.now = now;
    rig.fronts[0].tick(now, 1_000_000 + now);
    let late = [sends(&mut rig, 0, 0), sends(&mut rig, 0, 0)];
    assert!(late[0].reports[0].first > held + 1, "it was acknowledged, and is not sent again");
    replace(&mut rig, 0, flushed);
    // Late, out of order and twice: nothing is known by them of what the front keeps.
    for heartbeat in [&late[1], &late[0], &late[1], &late[0]] {
        let answer = rig.planners[0].handle_heartbeat(now, heartbeat.clone()).unwrap();
        assert_eq!(answer.acked, held, "the front may still have what was lost here");
    }
    (0..2).for_each(|_| rig.heartbeat(0));
    assert!(gaps(&rig, 0).is_empty(), "the front had it and sent it: {:?}", gaps(&rig, 0));
    for heartbeat in &late {
        rig.planners[0].handle_heartbeat(now, heartbeat.clone()).unwrap();
    }
    assert_eq!(rig.planners[0].report_log.contiguous_through(F0.0, F0.1), closed(&mut rig, 0));
}

#[test]
fn a_hole_at_one_planner_does_not_let_the_front_forget_what_no_majority_has() {
    let mut rig = Rig::new(fleet(1));
    rig.run(30, &[]);
    let flushed = books(&rig);
    rig.run(5, &[]);
    let lost = (flushed[0].contiguous_through(F0.0, F0.1) + 1, closed(&mut rig, 0));
    flushed.into_iter().enumerate().for_each(|(p, book)| replace(&mut rig, p, book));
    [1, 2].into_iter().for_each(|p| link(&mut rig, p, false));
    run_without_pulls(&mut rig, 20);
    assert_eq!(gaps(&rig, 0), [lost]);
    assert!(sends(&mut rig, 0, 0).reports.is_empty(), "the first has acknowledged all that is kept");
    assert_eq!(rig.fronts[0].recorder().retained(), 20, "and the front keeps it for the others");
    // The first dies again, and what it held since is nowhere but at the front.
    replace(&mut rig, 0, ReportLog::default());
    [1, 2].into_iter().for_each(|p| link(&mut rig, p, true));
    for _ in 0..3 {
        rig.now += rig.fleet.renew;
        rig.heartbeat(0);
    }
    (1..3).for_each(|p| assert_eq!(gaps(&rig, p), [lost], "nothing but what was lost is missing at p{p}"));
    assert_eq!(gaps(&rig, 0), [(1, lost.1)], "an empty one lacks what is not at the front");
    rig.run(3, &[]);
    (0..3).for_each(|p| assert_eq!(gaps(&rig, p), [lost], "the others bring the rest"));
}

/// What happens in a history drawn at random.
#[derive(Clone, Copy, Debug)]
enum Event {
    Closes,
    /// A heartbeat passes, and whether its answer does.
    Beats(usize, bool),
    /// A heartbeat is on its way for long...
    Sends(usize),
    /// ...and comes, and may come again.
    Comes(usize),
    Pulls(usize, usize),
    Flushes(usize),
    /// A planner dies, and is back with what it had flushed.
    Dies(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Closes),
        6 => (0usize..3, prop::bool::weighted(0.8)).prop_map(|(p, back)| Event::Beats(p, back)),
        2 => (0usize..3).prop_map(Event::Sends),
        2 => (0usize..20).prop_map(Event::Comes),
        1 => (0usize..3, 0usize..3).prop_map(|(p, q)| Event::Pulls(p, q)),
        1 => (0usize..3).prop_map(Event::Flushes),
        2 => (0usize..3).prop_map(Event::Dies),
    ]
}

fn holds(book: &ReportLog, number: u64) -> bool {
    book.view(F0.0, F0.1).iter().any(|r| (r.first..=r.last).contains(&number))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]
    #[test]
    fn no_planner_acknowledges_what_it_lacks_and_the_front_still_keeps(
        events in prop::collection::vec(event(), 0..120), outbox in prop_oneof![Just(6usize), Just(1_000)]
    ) {
        let mut rig = Rig::new(Fleet { outbox, ..fleet(1) });
        let (mut disks, mut late) = (books(&rig), Vec::new());
        for event in &events {
            rig.now += 50 * MS;
            let now = rig.now;
            match *event {
                Event::Closes => rig.fronts[0].tick(now, 1_000_000 + now),
                Event::Beats(p, back) => {
                    let heartbeat = sends(&mut rig, 0, p);
                    let answer = rig.planners[p].handle_heartbeat(now, heartbeat).unwrap();
                    if back {
                        rig.fronts[0].heartbeat_answered(p, now, now, answer);
                    } else {
                        rig.fronts[0].heartbeat_failed(p, now);
                    }
                }
                Event::Sends(p) => late.push((p, sends(&mut rig, 0, p))),
                Event::Comes(n) if n < late.len() => {
                    let (p, heartbeat) = late[n].clone();
                    rig.planners[p].handle_heartbeat(now, heartbeat).unwrap();
                }
                Event::Pulls(p, q) if p != q => {
                    let pushed = rig.planners[q].answer_pull(now, &rig.planners[p].pull_request()).unwrap();
                    rig.planners[p].apply_pull_response(now, pushed);
                }
                Event::Flushes(p) => disks[p] = flushed(&rig.planners[p]),
                Event::Dies(p) => {
                    let name = format!("p{p}");
                    rig.planners[p] = Planner::new(rig.fleet.clone(), &name, now, now, disks[p].clone());
                }
                Event::Comes(_) | Event::Pulls(..) => {}
            }
            let kept = rig.fronts[0].recorder().reports_after(0, usize::MAX);
            for planner in &rig.planners {
                let acked = planner.report_log.acknowledged_through(F0.0, F0.1);
                for number in kept.iter().flat_map(|r| r.first..=r.last).filter(|n| *n <= acked) {
                    prop_assert!(holds(&planner.report_log, number), "{number} of {acked} acknowledged, not held");
                }
            }
        }
        // Whatever came before: what is still at the front comes to all, and none waits for what is nowhere.
        run_without_pulls(&mut rig, 8);
        prop_assert_eq!(rig.fronts[0].recorder().retained(), 0);
        let newest = closed(&mut rig, 0);
        for planner in &rig.planners {
            prop_assert_eq!(planner.report_log.acknowledged_through(F0.0, F0.1), newest);
            prop_assert!(holds(&planner.report_log, newest));
        }
    }
}
