//! The record: what is recorded, retained, merged and shown, in any order and with gaps.

mod common;

use common::*;
use proptest::prelude::*;
use yarrowspoke_fleet::audit::{audit, AuditQuery};
use yarrowspoke_fleet::report_log::ReportLog;
use yarrowspoke_fleet::span::{Recorder, Report, Stance};
use yarrowspoke_fleet::version::{List, ListSource, Version, VersionOrder};
use yarrowspoke_fleet::wire::{decode, encode, Heartbeat, MessageError, SCHEMA};

/// A recorder that retains `keeps` reports, after `spans` spans of one attempt each.
fn recorded(spans: u64, keeps: usize) -> Recorder {
    let mut recorder = Recorder::new(0, version(), keeps);
    for n in 1..=spans {
        recorder.record_attempt(n as u32 % 3, 1);
        recorder.close(n * 1_000, 5_000 + n * 1_000, version(), Stance::Open);
    }
    recorder
}

fn attempts<'a>(reports: impl IntoIterator<Item = &'a Report>) -> u32 {
    reports.into_iter().flat_map(|r| &r.span.attempts).map(|a| a.2).sum()
}

fn filled(reports: &[Report]) -> ReportLog {
    let mut log = ReportLog::default();
    reports.iter().for_each(|r| drop(log.insert("f0", 1, r.clone())));
    log
}

proptest! {
    #[test]
    fn merging_in_any_order_with_repeats_gives_one_record(
        spans in 1u64..60, keeps in 2usize..40, shuffled in prop::collection::vec((0usize..100, 0usize..3), 0..200)
    ) {
        // One planner has the spans separately, another has them as they were joined for lack of space.
        let mut all = recorded(spans, 1_000).reports_after(0, 1_000);
        all.extend(recorded(spans, keeps).reports_after(0, 1_000));
        let mut logs = [ReportLog::default(), ReportLog::default(), ReportLog::default()];
        for (n, b) in shuffled {
            let _ = logs[b].insert("f0", 1, all[n % all.len()].clone());
        }
        let mut one = ReportLog::default();
        for b in [2, 0, 1, 0] {
            one.merge(&logs[b]);
        }
        let mut two = logs[1].clone();
        two.merge(&logs[2]);
        two.merge(&logs[0]);
        for log in [&one, &two] {
            // Nothing is counted twice, and whatever is not there is a gap.
            let view = log.view("f0", 1);
            let covered: u64 = view.iter().map(|r| r.last - r.first + 1).sum();
            prop_assert_eq!(u64::from(attempts(view.iter().copied())), covered);
            prop_assert!(view.windows(2).all(|p| p[0].last < p[1].first));
        }
        prop_assert_eq!(one.view("f0", 1), two.view("f0", 1));
        prop_assert_eq!(one.gaps("f0", 1), two.gaps("f0", 1));
        prop_assert!(one.contradictions().is_empty());
    }
}

#[test]
fn an_unreachable_front_uses_bounded_memory_and_drops_nothing_silently() {
    let recorder = recorded(5_000, 64);
    let kept = recorder.reports_after(0, 10_000);
    assert_eq!((recorder.retained(), attempts(&kept)), (64, 5_000));
    assert!(kept[0].last > kept[0].first, "the report shows that spans were joined");
    assert!(kept.windows(2).all(|p| p[0].last + 1 == p[1].first && p[0].link == p[1].before));
    let log = filled(&kept);
    assert!(log.gaps("f0", 1).is_empty() && log.contradictions().is_empty());
}

#[test]
fn lost_altered_and_duplicate_reports_are_shown() {
    let reports = recorded(10, 100).reports_after(0, 100);
    let mut log = filled(&[&reports[..4], &reports[6..]].concat());
    log.record_head("f0", 1, 12);
    assert_eq!(log.gaps("f0", 1), [(5, 6), (11, 12)]);
    assert_eq!(log.contiguous_through("f0", 1), 4);
    let unknown = audit(&log, &AuditQuery::default()).incarnations[0].unknown.clone();
    // Two gaps, and the interval after the last span: each with the end of what is known before it.
    assert_eq!(unknown.iter().map(|u| u.after).collect::<Vec<_>>(), [4, 10, 10]);
    assert_eq!((unknown[0].from, unknown[0].until_wall), (4_000, Some(5_000 + 6_000)));

    let mut altered = reports[5].clone();
    altered.span.votes += 1;
    assert!(matches!(log.insert("f0", 1, altered.clone()), Err(MessageError::InvalidReport(6, _))));
    altered.link = yarrowspoke_fleet::span::link(&altered.before, 6, &altered.span);
    assert!(log.insert("f0", 1, altered).unwrap());
    assert!(
        !log.insert("f0", 1, reports[5].clone()).unwrap(),
        "another report under the same number is not inserted"
    );
    let descriptions: Vec<String> = log.contradictions().into_iter().map(|c| c.what).collect();
    assert!(
        descriptions.iter().any(|w| w.contains("two reports"))
            && descriptions.iter().any(|w| w.contains("continue")),
        "{descriptions:?}"
    );
}

#[test]
fn a_filter_does_not_hide_unknown_intervals() {
    let reports = recorded(10, 100).reports_after(0, 100);
    let log = filled(&[&reports[..2], &reports[5..]].concat());
    let drawn = audit(&log, &AuditQuery { index: Some(99), ..AuditQuery::default() });
    assert!(drawn.incarnations[0].rows.is_empty() && drawn.incarnations[0].unknown.len() == 2);
    let drawn = audit(&log, &AuditQuery { from: Some(13_500), ..AuditQuery::default() });
    assert_eq!(drawn.incarnations[0].rows.iter().map(|r| r.numbers.0).collect::<Vec<_>>(), [9, 10]);
}

#[test]
fn pruned_reports_are_not_gaps_and_the_rest_stays() {
    let reports = recorded(10, 100).reports_after(0, 100);
    let mut log = filled(&reports);
    let pruned = log.prune(5_000 + 3_500, u64::MAX);
    assert_eq!(pruned.iter().map(|g| g.2).collect::<Vec<_>>(), [1, 2, 3]);
    assert!(log.gaps("f0", 1).is_empty() && log.view("f0", 1)[0].first == 4);
    assert!(!log.insert("f0", 1, reports[0].clone()).unwrap(), "a pruned report is not inserted again");
    let half = log.bytes() / 2;
    log.prune(0, half);
    assert!(log.bytes() <= half && log.contiguous_through("f0", 1) == 10);
}

#[test]
fn another_planner_gets_exactly_what_it_lacks() {
    let reports = recorded(20, 100).reports_after(0, 100);
    let (full, mut part) = (filled(&reports), filled(&[&reports[..3], &reports[8..12]].concat()));
    for (front, incarnation, report) in full.missing_from(&part.held_ranges(), u64::MAX) {
        assert!(part.insert(&front, incarnation, report).unwrap());
    }
    assert_eq!(part.view("f0", 1), full.view("f0", 1));
    assert!(full.missing_from(&part.held_ranges(), u64::MAX).is_empty());
}

#[test]
fn versions_compare_part_by_part_and_may_be_not_comparable() {
    let list = |index, epoch, digest| List { index, source: ListSource::Discovery, epoch, digest };
    assert_eq!(list(5, 0, 1).compare(&list(4, 0, 1)), VersionOrder::Newer);
    assert_eq!(list(5, 0, 1).compare(&list(5, 0, 2)), VersionOrder::NotComparable);
    assert_eq!(list(2, 1, 1).compare(&list(5, 0, 1)), VersionOrder::NotComparable);
    assert_eq!(rollout(2, 0, 5).compare(&rollout(2, 0, 9)), VersionOrder::NotComparable);
    assert_eq!(rollout(2, 2, 0).compare(&rollout(2, 0, 9)), VersionOrder::Newer);
    assert_eq!(rollout(2, 3, 0).compare(&rollout(3, 0, 9)), VersionOrder::Older);
    assert!(
        rollout(2, 2, 0).is_narrower_than(&rollout(2, 0, 9))
            && rollout(2, 0, 4).is_narrower_than(&rollout(2, 0, 9))
    );
    assert!(
        !rollout(2, 1, 1_000_000).is_narrower_than(&rollout(2, 0, 9))
            && !rollout(3, 2, 0).is_narrower_than(&rollout(2, 0, 9))
    );
    let on = |list, rollout| Version { list, rollout, ..version() };
    let order = on(list(5, 0, 1), Some(rollout(2, 0, 9))).compare(&on(list(4, 0, 1), Some(rollout(2, 2, 0))));
    assert_eq!(order, [VersionOrder::Newer, VersionOrder::Older]);
}

#[test]
fn invalid_heartbeats_are_rejected_by_reason_and_nothing_of_them_is_used() {
    let mut rig = Rig::new(fleet(2));
    rig.run(3, &[]);
    let held = rig.planners[0].report_log.view("f0", 100).len();
    let mut recorder = recorded(3, 10);
    recorder.record_vote();
    let refused = |rig: &mut Rig, change: &dyn Fn(&mut Heartbeat)| {
        let mut heartbeat = rig.fronts[0].heartbeat(0, rig.now);
        change(&mut heartbeat);
        rig.planners[0].handle_heartbeat(rig.now, heartbeat).unwrap_err()
    };
    assert_eq!(refused(&mut rig, &|a| a.front = "p1".into()), MessageError::UnknownSender("p1".into()));
    assert_eq!(refused(&mut rig, &|a| a.front = "x".into()), MessageError::UnknownSender("x".into()));
    let bad = |change: fn(&mut Report)| {
        let reports = recorded(3, 10).reports_after(0, 10);
        move |a: &mut Heartbeat| {
            a.reports = reports.clone();
            change(&mut a.reports[1]);
        }
    };
    assert!(matches!(
        refused(&mut rig, &bad(|r| r.last = 0)),
        MessageError::InvalidReport(2, "its span numbers decrease")
    ));
    assert!(matches!(
        refused(&mut rig, &bad(|r| r.span.to = 0)),
        MessageError::InvalidReport(2, "it ends before it begins")
    ));
    assert!(matches!(refused(&mut rig, &bad(|r| r.span.admitted = 9)), MessageError::InvalidReport(2, _)));
    let many = |a: &mut Heartbeat| a.reports = vec![recorded(1, 10).reports_after(0, 1)[0].clone(); 65];
    assert_eq!(refused(&mut rig, &many), MessageError::TooManyReports(65));
    assert_eq!(rig.planners[0].report_log.view("f0", 100).len(), held);
    let status = rig.planners[0].status(rig.now);
    assert_eq!(status.refused.values().sum::<u64>(), 6);

    let valid = encode(&rig.fronts[0].heartbeat(0, rig.now));
    assert!(decode::<Heartbeat>(&valid).is_ok());
    assert_eq!(decode::<Heartbeat>(b"GET / HTTP/1.1").unwrap_err(), MessageError::UnknownFormat);
    assert_eq!(decode::<Heartbeat>(b"ys").unwrap_err(), MessageError::UnknownFormat);
    let mut newer = valid.clone();
    newer[4] = (SCHEMA + 1) as u8;
    assert_eq!(decode::<Heartbeat>(&newer).unwrap_err(), MessageError::UnsupportedSchema(SCHEMA + 1));
    for cut in 6..valid.len() {
        assert!(
            matches!(decode::<Heartbeat>(&valid[..cut]), Err(MessageError::Unreadable(_))),
            "cut at {cut}"
        );
    }
}
