//! Spans that planners acknowledged and then lost, such as by a power cut before they were on disk, while the front
//! no longer retains them.

mod common;

use common::*;
use proptest::prelude::*;
use yarrowspoke_fleet::audit::{audit, AuditQuery};
use yarrowspoke_fleet::planner::Planner;
use yarrowspoke_fleet::report_log::ReportLog;
use yarrowspoke_fleet::settings::Fleet;
use yarrowspoke_fleet::wire::{encode, Heartbeat, REPORTS_PER_HEARTBEAT};

const F0: (&str, u64) = ("f0", 100);

/// A planner's log as it is read back from disk: its reports and nothing else.
fn flushed(planner: &Planner) -> ReportLog {
    let mut log = ReportLog::default();
    for (front, incarnation, report) in planner.report_log.missing_from(&[], u64::MAX) {
        assert!(log.insert(&front, incarnation, report).unwrap());
    }
    log
}

fn flushed_logs(rig: &Rig) -> Vec<ReportLog> {
    rig.planners.iter().map(flushed).collect()
}

/// Restores or cuts the link to a planner.
fn link(rig: &mut Rig, planner: usize, reached: bool) {
    rig.links.insert((0, planner), (reached, reached));
}

/// Closes spans and exchanges heartbeats; no planner pulls from another.
fn run_without_pulls(rig: &mut Rig, renewals: usize) {
    for _ in 0..renewals {
        rig.now += rig.fleet.renew;
        let now = rig.now;
        rig.fronts[0].tick(now, 1_000_000 + now);
        rig.heartbeat(0);
    }
}

/// Restarts a planner with this log, which may lack what the planner acknowledged.
fn replace(rig: &mut Rig, planner: usize, log: ReportLog) {
    let name = format!("p{planner}");
    rig.planners[planner] = Planner::new(rig.fleet.clone(), &name, 2, rig.now, log);
}

fn last_closed(rig: &mut Rig, front: usize) -> u64 {
    rig.fronts[front].recorder().last_number()
}

fn gaps(rig: &Rig, planner: usize) -> Vec<(u64, u64)> {
    rig.planners[planner].report_log.gaps(F0.0, F0.1)
}

/// Builds the heartbeat for a planner without delivering it.
fn heartbeat_for(rig: &mut Rig, front: usize, planner: usize) -> Heartbeat {
    rig.fronts[front].heartbeat(planner, rig.now)
}

#[test]
fn a_gap_that_cannot_be_filled_delays_nothing_after_it() {
    let mut rig = Rig::new(fleet(2));
    rig.run(30, &[]);
    let flushed = flushed_logs(&rig);
    let before = encode(&heartbeat_for(&mut rig, 0, 0)).len();
    let kept = last_closed(&mut rig, 0);
    rig.run(5, &[]);
    let lost = (kept + 1, last_closed(&mut rig, 0));
    flushed.into_iter().enumerate().for_each(|(p, log)| replace(&mut rig, p, log));
    rig.run(2 * REPORTS_PER_HEARTBEAT, &[]);
    for front in 0..2 {
        let newest = last_closed(&mut rig, front);
        for p in 0..3 {
            let heartbeat = heartbeat_for(&mut rig, front, p);
            let (reports, bytes) = (heartbeat.reports.len(), encode(&heartbeat).len());
            let log = &rig.planners[p].report_log;
            let view = log.view(&format!("f{front}"), 100 + front as u64);
            let has = view.last().unwrap().last;
            assert!(
                reports <= 2 && bytes <= 2 * before && has == newest,
                "front {front} sends p{p} {reports} reports in a heartbeat of {bytes} bytes, {before} before; \
                 the newest there is {has} of {newest}"
            );
        }
        assert!(
            rig.fronts[front].recorder().retained() <= 2,
            "front {front} has discarded what planners have"
        );
    }
    // The lost spans are still shown as missing.
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
        assert!(
            ranges.iter().all(|r| r.1 < lost.0 || r.0 > lost.1),
            "p{p} claims to hold the lost spans: {ranges:?}"
        );
    }
}

#[test]
fn a_gap_is_filled_from_another_planner() {
    let mut rig = Rig::new(fleet(1));
    rig.run(30, &[]);
    let flushed = flushed_logs(&rig);
    rig.run(5, &[]);
    let lost = (flushed[0].contiguous_through(F0.0, F0.1) + 1, last_closed(&mut rig, 0));
    (0..2).for_each(|p| replace(&mut rig, p, flushed[p].clone()));
    // Without pulls at first, so that the planners learn only from the front that it has nothing older.
    run_without_pulls(&mut rig, 3);
    assert_eq!(gaps(&rig, 0), [lost]);
    assert_eq!(gaps(&rig, 1), [lost]);
    assert!(gaps(&rig, 2).is_empty());
    rig.run(2, &[]);
    (0..3).for_each(|p| assert!(gaps(&rig, p).is_empty(), "p{p} got it from the planner that has it"));
}

#[test]
fn heartbeats_in_flight_at_a_planner_restart_make_no_gap() {
    let mut rig = Rig::new(fleet(1));
    rig.run(10, &[]);
    // Only the first planner can be reached: the front retains what is new, and knows that this planner has it.
    [1, 2].into_iter().for_each(|p| link(&mut rig, p, false));
    let flushed = flushed(&rig.planners[0]);
    run_without_pulls(&mut rig, 5);
    let held = flushed.contiguous_through(F0.0, F0.1);
    let now = rig.now + rig.fleet.renew;
    rig.now = now;
    rig.fronts[0].tick(now, 1_000_000 + now);
    let late = [heartbeat_for(&mut rig, 0, 0), heartbeat_for(&mut rig, 0, 0)];
    assert!(late[0].reports[0].first > held + 1, "acknowledged spans are not sent again");
    replace(&mut rig, 0, flushed);
    // Late, out of order and twice: these heartbeats say nothing of what the front retains.
    for heartbeat in [&late[1], &late[0], &late[1], &late[0]] {
        let answer = rig.planners[0].handle_heartbeat(now, heartbeat.clone()).unwrap();
        assert_eq!(answer.acked, held, "the front may still retain what was lost here");
    }
    (0..2).for_each(|_| rig.heartbeat(0));
    assert!(gaps(&rig, 0).is_empty(), "the front retained it and sent it: {:?}", gaps(&rig, 0));
    for heartbeat in &late {
        rig.planners[0].handle_heartbeat(now, heartbeat.clone()).unwrap();
    }
    assert_eq!(rig.planners[0].report_log.contiguous_through(F0.0, F0.1), last_closed(&mut rig, 0));
}

#[test]
fn a_gap_at_one_planner_does_not_make_the_front_discard_what_no_majority_has() {
    let mut rig = Rig::new(fleet(1));
    rig.run(30, &[]);
    let flushed = flushed_logs(&rig);
    rig.run(5, &[]);
    let lost = (flushed[0].contiguous_through(F0.0, F0.1) + 1, last_closed(&mut rig, 0));
    flushed.into_iter().enumerate().for_each(|(p, log)| replace(&mut rig, p, log));
    [1, 2].into_iter().for_each(|p| link(&mut rig, p, false));
    run_without_pulls(&mut rig, 20);
    assert_eq!(gaps(&rig, 0), [lost]);
    assert!(
        heartbeat_for(&mut rig, 0, 0).reports.is_empty(),
        "the first planner has acknowledged all that is retained"
    );
    assert_eq!(rig.fronts[0].recorder().retained(), 20, "the front retains it for the other planners");
    // The first planner loses its log again, and what it held since is only at the front.
    replace(&mut rig, 0, ReportLog::default());
    [1, 2].into_iter().for_each(|p| link(&mut rig, p, true));
    for _ in 0..3 {
        rig.now += rig.fleet.renew;
        rig.heartbeat(0);
    }
    (1..3).for_each(|p| assert_eq!(gaps(&rig, p), [lost], "only the lost spans are missing at p{p}"));
    assert_eq!(gaps(&rig, 0), [(1, lost.1)], "a planner without state lacks what the front does not retain");
    rig.run(3, &[]);
    (0..3).for_each(|p| assert_eq!(gaps(&rig, p), [lost], "the other planners send the rest"));
}

/// An event in a randomly drawn history.
#[derive(Clone, Copy, Debug)]
enum Event {
    CloseSpan,
    /// A heartbeat is delivered; the flag tells whether its answer is.
    Heartbeat(usize, bool),
    /// A heartbeat is sent and stays in flight.
    Send(usize),
    /// A heartbeat in flight is delivered, possibly more than once.
    Deliver(usize),
    Pull(usize, usize),
    Flush(usize),
    /// A planner restarts with what it had flushed.
    Restart(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::CloseSpan),
        6 => (0usize..3, prop::bool::weighted(0.8)).prop_map(|(p, back)| Event::Heartbeat(p, back)),
        2 => (0usize..3).prop_map(Event::Send),
        2 => (0usize..20).prop_map(Event::Deliver),
        1 => (0usize..3, 0usize..3).prop_map(|(p, q)| Event::Pull(p, q)),
        1 => (0usize..3).prop_map(Event::Flush),
        2 => (0usize..3).prop_map(Event::Restart),
    ]
}

fn holds(log: &ReportLog, number: u64) -> bool {
    log.view(F0.0, F0.1).iter().any(|r| (r.first..=r.last).contains(&number))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]
    #[test]
    fn no_planner_acknowledges_what_it_lacks_and_the_front_still_retains(
        events in prop::collection::vec(event(), 0..120), outbox in prop_oneof![Just(6usize), Just(1_000)]
    ) {
        let mut rig = Rig::new(Fleet { outbox, ..fleet(1) });
        let (mut disks, mut late) = (flushed_logs(&rig), Vec::new());
        for event in &events {
            rig.now += 50 * MS;
            let now = rig.now;
            match *event {
                Event::CloseSpan => rig.fronts[0].tick(now, 1_000_000 + now),
                Event::Heartbeat(p, back) => {
                    let heartbeat = heartbeat_for(&mut rig, 0, p);
                    let answer = rig.planners[p].handle_heartbeat(now, heartbeat).unwrap();
                    if back {
                        rig.fronts[0].heartbeat_answered(p, now, now, answer);
                    } else {
                        rig.fronts[0].heartbeat_failed(p, now);
                    }
                }
                Event::Send(p) => late.push((p, heartbeat_for(&mut rig, 0, p))),
                Event::Deliver(n) if n < late.len() => {
                    let (p, heartbeat) = late[n].clone();
                    rig.planners[p].handle_heartbeat(now, heartbeat).unwrap();
                }
                Event::Pull(p, q) if p != q => {
                    let pushed = rig.planners[q].answer_pull(now, &rig.planners[p].pull_request()).unwrap();
                    rig.planners[p].apply_pull_response(now, pushed);
                }
                Event::Flush(p) => disks[p] = flushed(&rig.planners[p]),
                Event::Restart(p) => {
                    let name = format!("p{p}");
                    rig.planners[p] = Planner::new(rig.fleet.clone(), &name, now, now, disks[p].clone());
                }
                Event::Deliver(_) | Event::Pull(..) => {}
            }
            let kept = rig.fronts[0].recorder().reports_after(0, usize::MAX);
            for planner in &rig.planners {
                let acked = planner.report_log.acknowledged_through(F0.0, F0.1);
                for number in kept.iter().flat_map(|r| r.first..=r.last).filter(|n| *n <= acked) {
                    prop_assert!(holds(&planner.report_log, number), "span {number} is not held, but {acked} are acknowledged");
                }
            }
        }
        // Whatever happened before: all planners get what the front still retains, and none waits for what exists
        // nowhere.
        run_without_pulls(&mut rig, 8);
        prop_assert_eq!(rig.fronts[0].recorder().retained(), 0);
        let newest = last_closed(&mut rig, 0);
        for planner in &rig.planners {
            prop_assert_eq!(planner.report_log.acknowledged_through(F0.0, F0.1), newest);
            prop_assert!(holds(&planner.report_log, newest));
        }
    }
}
