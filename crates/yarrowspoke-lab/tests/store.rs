//! Stores that are cut, flipped, interrupted and fail: a small part of the experiment, with the same verdict each time.

use std::collections::BTreeMap;
use yarrowspoke_lab::store::disk::SimDisk;
use yarrowspoke_lab::store::{crash, damage, days, disk_fault, worked, Report};
use yarrowspoke_store::store::Store;

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
    // The second range met a front that died between its first commit and the mark of it.
    for seed in (0..150).chain(11_400_714_819_323_199_230..11_400_714_819_323_199_280) {
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

/// Opens these files; why they are refused, if they are.
fn refused(files: &BTreeMap<String, Vec<u8>>) -> Option<String> {
    let disk = SimDisk::holding(files);
    let refused = Store::open(&disk, 1, 1 << 30, 1).err().map(|e| e.to_string());
    if refused.is_some() {
        assert!(disk.files() == *files, "a refused store is not written to: {refused:?}");
    }
    refused
}

#[test]
fn files_that_do_not_belong_together_are_refused_and_left_overs_do_no_harm() {
    let mut report = Report::default();
    let (older, _) = worked(3, 10, &mut report);
    let (newer, _) = worked(3, 40, &mut report);
    assert_eq!(refused(&newer), None);
    let with = |name: &str, bytes: Option<&Vec<u8>>| {
        let mut files = newer.clone();
        match bytes {
            Some(bytes) => files.insert(name.to_owned(), bytes.clone()),
            None => files.remove(name),
        };
        refused(&files).unwrap_or_default()
    };
    // A file of an earlier moment beside the present one, as a copy taken while live would have it.
    assert!(with("ledger", older.get("ledger")).contains("which was promised"), "an older ledger");
    assert!(with("ledger", None).contains("no ledger beside a mark"));
    assert!(with("mark", None).contains("no readable mark beside a ledger of commit"));
    assert!(with("ledger", newer.get("mark")).contains("cannot be read"), "swapped");
    assert!(with("mark", newer.get("ledger")).contains("no readable mark"), "swapped");
    let mut zeros = newer["ledger"].clone();
    let from = zeros.len() / 2;
    zeros[from..].fill(0);
    assert!(!with("ledger", Some(&zeros)).is_empty(), "a tail of zeros");
    // Another store's mark, and a mark of another format.
    let disk = SimDisk::default();
    drop(Store::open(&disk, 99, 1 << 30, 1).unwrap());
    assert!(with("mark", disk.files().get("mark")).contains("as the mark says"));
    let mut alien = newer["mark"].clone();
    for slot in [0, 512] {
        alien[slot + 4] = 2;
        let crc = crc32fast::hash(&alien[slot..slot + 40]);
        alien[slot + 40..slot + 44].copy_from_slice(&crc.to_le_bytes());
    }
    assert!(with("mark", Some(&alien)).contains("found format 2, expected format 1"));
    // An older mark witnesses less, which the newer ledger has; what was left half made is removed.
    assert_eq!(with("mark", older.get("mark")), "");
    assert_eq!(with("ledger.new", Some(&vec![1, 2, 3])), "");
}

#[test]
fn the_file_does_not_grow_without_end() {
    let (first, most) = days(4).unwrap();
    assert!(most <= first + first / 4, "{first} bytes on the first day, {most} later");
}
