//! Stores that are cut, flipped, interrupted and fail: a small part of the experiment, with the same verdict each time.

use yarrowspoke_lab::store::{crash, damage, disk_fault};

#[test]
fn cut_and_flipped_stores_open_whole_or_are_refused() {
    let report = damage(3, 60, 1_499, || ());
    assert!(report.held(), "{report:#?}");
    assert!(
        report.recovered > 0 && report.refused_plainly > 0 && report.ledger_bytes >= 65_536,
        "{report:?}"
    );
}

#[test]
fn after_crashes_nothing_runs_twice_and_no_promise_is_lost() {
    for seed in 0..150 {
        let report = crash(seed);
        assert!(report.held(), "seed {seed}: {report:#?}");
    }
}

#[test]
fn after_a_failed_sync_or_on_a_full_disk_nothing_more_is_promised() {
    for seed in 0..100 {
        let report = disk_fault(seed);
        assert!(report.held(), "seed {seed}: {report:#?}");
    }
}
