//! Reports read back after a restart, with a damaged one among them.

use redb::{Database, TableDefinition};
use yarrowspoke_store::reports::Reports;

/// The table's name in the file.
const REPORTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("reports");

#[test]
fn stored_reports_are_read_back_and_a_damaged_one_affects_no_other() {
    let dir = std::env::temp_dir().join(format!("yarrowspoke-reports-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let key = |n: u64| ("f1".to_owned(), 7, n, n);
    {
        let reports = Reports::open(&dir).unwrap();
        let inserted: Vec<_> = (1..=3).map(|n| (key(n), n * 10)).collect();
        reports.update(&inserted, &[]).unwrap();
        reports.update::<u64>(&[], &[key(2)]).unwrap();
    }
    {
        let damaged_key = postcard::to_stdvec(&key(9)).unwrap();
        let database = Database::open(dir.join("reports")).unwrap();
        let transaction = database.begin_write().unwrap();
        transaction
            .open_table(REPORTS)
            .unwrap()
            .insert(damaged_key.as_slice(), &[1u8, 2, 3, 4, 5, 6][..])
            .unwrap();
        transaction.commit().unwrap();
    }
    let read = Reports::open(&dir).unwrap().read::<u64>().unwrap();
    assert_eq!(read.reports, [(key(1), 10), (key(3), 30)].into());
    assert!(read.unreadable.len() == 1 && read.unreadable[0].contains("checksum"), "{:?}", read.unreadable);
    std::fs::remove_dir_all(&dir).unwrap();
}
