//! Reports kept over a restart, with one unreadable among them.

use redb::{Database, TableDefinition};
use yarrowspoke_store::reports::Reports;

/// As it is named in the file.
const REPORTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("reports");

#[test]
fn what_was_kept_is_there_again_and_a_spoilt_one_takes_no_other_with_it() {
    let dir = std::env::temp_dir().join(format!("yarrowspoke-reports-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let key = |n: u64| ("f1".to_owned(), 7, n, n);
    {
        let reports = Reports::open(&dir).unwrap();
        let kept: Vec<_> = (1..=3).map(|n| (key(n), n * 10)).collect();
        reports.update(&kept, &[]).unwrap();
        reports.update::<u64>(&[], &[key(2)]).unwrap();
    }
    {
        let unreadable = postcard::to_stdvec(&key(9)).unwrap();
        let database = Database::open(dir.join("reports")).unwrap();
        let transaction = database.begin_write().unwrap();
        transaction
            .open_table(REPORTS)
            .unwrap()
            .insert(unreadable.as_slice(), &[1u8, 2, 3, 4, 5, 6][..])
            .unwrap();
        transaction.commit().unwrap();
    }
    let read = Reports::open(&dir).unwrap().read::<u64>().unwrap();
    assert_eq!(read.reports, [(key(1), 10), (key(3), 30)].into());
    assert!(read.unreadable.len() == 1 && read.unreadable[0].contains("checksum"), "{:?}", read.unreadable);
    std::fs::remove_dir_all(&dir).unwrap();
}
