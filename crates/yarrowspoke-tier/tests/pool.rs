//! Messages that anybody may have made, and fronts that gather.

use proptest::prelude::*;
use yarrowspoke_tier::pool::{gatherers, Pool};
use yarrowspoke_tier::report::{Message, Pace, Row, MOST_BYTES, MOST_ROWS};

proptest! {
    #[test]
    fn any_bytes_are_read_whole_or_not_at_all(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Some(Message::Report(_, rows)) = Message::decode(&bytes) {
            prop_assert!(rows.iter().all(|r| r.n > 0 && r.bad <= r.n && r.class < 16));
            prop_assert!(bytes.len() <= MOST_BYTES);
        }
        let mut pool = Pool::new(0, 100);
        pool.hear(0, 5, &bytes);
        prop_assert_eq!(pool.opinion(0, 1), None);
    }
}

#[test]
fn a_report_comes_back_as_it_was_told() {
    let row = |i: u16| Row {
        machine: i,
        class: (i % 3) as u8,
        trial: i.is_multiple_of(2),
        n: 9,
        bad: 4,
        pace: [None, Some(Pace::Reported(0.25)), Some(Pace::Own(3.0))][usize::from(i % 3)],
    };
    let rows: Vec<Row> = (0..MOST_ROWS as u16).map(row).collect();
    let bytes = Message::Report(700, rows.clone()).encode();
    assert!(bytes.len() <= MOST_BYTES);
    let Some(Message::Report(700, read)) = Message::decode(&bytes) else { panic!("not read") };
    for (told, read) in rows.iter().zip(&read) {
        let plain = |r: &Row| Row { pace: None, ..*r };
        assert_eq!(plain(told), plain(read));
        let value = |p: &Row| {
            p.pace.map(|p| match p {
                Pace::Reported(v) => (true, v),
                Pace::Own(v) => (false, v),
            })
        };
        match (value(told), value(read)) {
            (Some((a, told)), Some((b, read))) => assert!(a == b && (told / read - 1.0).abs() < 0.001),
            (told, read) => assert_eq!(told, read),
        }
    }
}

#[test]
fn few_fronts_all_gather_and_of_many_a_few() {
    assert_eq!(gatherers(3).collect::<Vec<_>>(), [0, 1, 2]);
    assert_eq!(gatherers(200).count(), 8);
    assert_eq!(gatherers(0).count(), 0);
}

#[test]
fn the_middle_opinion_stands_only_while_enough_are_heard() {
    let (mut pool, from) = (Pool::new(1, 100), gatherers(100).collect::<Vec<_>>());
    let say =
        |pool: &mut Pool, at, from, opinion| pool.hear(at, from, &Message::Opinion(7, opinion).encode());
    pool.tell(0, 7, 0);
    say(&mut pool, 0, from[0], 8);
    assert_eq!(pool.opinion(0, 7), None, "one alone may be mad");
    say(&mut pool, 0, from[1], 0);
    say(&mut pool, 0, from[2], 1);
    assert_eq!(pool.opinion(0, 7), Some(1));
    assert!(say(&mut pool, 0, 1, 8).is_none(), "a front that does not gather has no say");
    assert_eq!(pool.opinion(2_000_000, 7), None, "they died");
    pool.tell(2_000_000, 8, 0);
    assert_eq!(pool.opinion(0, 8), None, "that was on another build");
}
