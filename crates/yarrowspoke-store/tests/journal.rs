//! A journal truncated at every byte, and one with a changed byte.

use yarrowspoke_store::journal::Journal;

#[test]
fn truncated_at_every_byte_it_returns_a_prefix_and_accepts_appends() {
    let path = std::env::temp_dir().join(format!("yarrowspoke-journal-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    {
        let (mut journal, values) = Journal::open::<String>(&path).unwrap();
        assert!(values.is_empty());
        journal.append(&["one", "two"]).unwrap();
        journal.append(&["three"]).unwrap();
    }
    let bytes = std::fs::read(&path).unwrap();
    for cut in 0..=bytes.len() {
        std::fs::write(&path, &bytes[..cut]).unwrap();
        let (mut journal, values) = Journal::open::<String>(&path).unwrap();
        assert_eq!(values, ["one", "two", "three"][..values.len()], "truncated at {cut}");
        journal.append(&["more"]).unwrap();
        drop(journal);
        let (_, reopened) = Journal::open::<String>(&path).unwrap();
        assert_eq!((reopened.len(), reopened.last().unwrap().as_str()), (values.len() + 1, "more"));
    }
    // A changed frame with others behind it makes the journal refused; the frame is not skipped.
    let mut damaged = bytes.clone();
    damaged[10] ^= 1;
    std::fs::write(&path, damaged).unwrap();
    assert!(Journal::open::<String>(&path).unwrap_err().to_string().contains("at byte 0"));
    std::fs::remove_file(&path).unwrap();
}
