//! A journal cut at every byte, and one with a byte changed.

use yarrowspoke_store::journal::Journal;

#[test]
fn cut_at_every_byte_it_gives_a_beginning_of_what_was_appended_and_goes_on_from_there() {
    let path = std::env::temp_dir().join(format!("yarrowspoke-journal-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    {
        let (mut journal, held) = Journal::open::<String>(&path).unwrap();
        assert!(held.is_empty());
        journal.append(&["one", "two"]).unwrap();
        journal.append(&["three"]).unwrap();
    }
    let whole = std::fs::read(&path).unwrap();
    for cut in 0..=whole.len() {
        std::fs::write(&path, &whole[..cut]).unwrap();
        let (mut journal, held) = Journal::open::<String>(&path).unwrap();
        assert_eq!(held, ["one", "two", "three"][..held.len()], "cut at {cut}");
        journal.append(&["more"]).unwrap();
        drop(journal);
        let (_, again) = Journal::open::<String>(&path).unwrap();
        assert_eq!((again.len(), again.last().unwrap().as_str()), (held.len() + 1, "more"));
    }
    // A byte changed with others behind it is refused, not skipped.
    let mut unreadable = whole.clone();
    unreadable[10] ^= 1;
    std::fs::write(&path, unreadable).unwrap();
    assert!(Journal::open::<String>(&path).unwrap_err().to_string().contains("at byte 0"));
    std::fs::remove_file(&path).unwrap();
}
