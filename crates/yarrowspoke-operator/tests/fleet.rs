//! The section `fleet`: valid sections, and faults with their positions.

use yarrowspoke_fleet::settings::{Alone, Limit, Role};
use yarrowspoke_operator::parse;

const VALID: &str = r#"(fleet
  (renew 0.2)
  (lease 1.5)
  (most-out 0.2)
  (most-out-by-zone 1)
  (alone narrow)
  (member (name f0) (role front) (zone a))
  (member (name f1) (role front) (zone b))
  (member (name p0) (role planner) (address "127.0.0.1:7100"))
  (member (name p1) (role planner) (address "127.0.0.1:7101"))
  (member (name p2) (role planner) (address "127.0.0.1:7102")))
"#;

#[test]
fn a_valid_section_is_read() {
    let fleet = parse(VALID).unwrap().fleet.unwrap();
    assert!(fleet.warnings.is_empty());
    let fleet = fleet.fleet;
    assert_eq!((fleet.renew, fleet.lease, fleet.alone), (200_000, 1_500_000, Alone::Narrow));
    assert_eq!((fleet.most_out, fleet.most_out_zone), (Limit::Share(0.2), Limit::Number(1)));
    assert_eq!(
        (fleet.planners().count(), fleet.majority(), fleet.member("f1").unwrap().role),
        (3, 2, Role::Front)
    );
    assert!(parse("").unwrap().fleet.is_none(), "off unless present");
}

#[test]
fn shares_are_rounded_down_but_one_of_more_than_one_may_be_out() {
    let of = |limit: Limit| [0, 1, 2, 9, 10, 200].map(|n| limit.resolve(n));
    assert_eq!(of(Limit::Share(0.1)), [0, 0, 1, 1, 1, 20]);
    assert_eq!(of(Limit::Number(3)), [0, 1, 2, 3, 3, 3]);
}

#[test]
fn an_invalid_section_is_refused_with_line_column_and_what_was_expected() {
    for (from, to, at, expected) in [
        ("(role front) (zone a)", "(role fron) (zone a)", (7, 27), "front or planner"),
        ("(name f1)", "(name f0)", (8, 3), "each name once, and f0 is there already"),
        ("(name f0) (role front) (zone a)", "(name f0) (role front)", (7, 3), "the field zone in a front"),
        (" (address \"127.0.0.1:7101\")", "", (10, 3), "the field address in a planner"),
        ("127.0.0.1:7100", "10.0.0.1:7100", (9, 45), "(beyond-loopback meant)"),
        ("127.0.0.1:7100", "localhost", (9, 45), "address and port"),
        ("(lease 1.5)", "(lease 0.4)", (3, 3), "twice the renewal"),
        ("(renew 0.2)", "(renew 2)", (2, 10), "seconds, 0.02 to 0.25"),
        ("(most-out 0.2)", "(most-out 1.2)", (4, 13), "a share from 0.0 to 1.0"),
        ("(most-out 0.2)", "(most-out -1)", (4, 13), "a whole number"),
        ("(alone narrow)", "(alone stop)", (6, 10), "serve or narrow"),
        ("(alone narrow)", "(alone narrow) (alone serve)", (6, 18), "once"),
        ("(alone narrow)", "(shut-after 0.5)", (6, 3), "a time above behind's"),
        ("(alone narrow)", "(lonely narrow)", (6, 3), "one of the fields"),
        ("(member (name f1) (role front) (zone b))", "(member (name f1))", (8, 3), "name and role"),
    ] {
        assert!(VALID.contains(from));
        let faults = parse(&VALID.replace(from, to)).unwrap_err();
        let place =
            |f: &yarrowspoke_operator::Fault| (f.line, f.column) == at && f.expected.contains(expected);
        assert!(faults.iter().any(place), "{to}: {faults:?}");
    }
}

#[test]
fn too_few_planners_are_refused_and_four_give_a_warning() {
    let without = |n: usize| {
        let line = |l: &&str| !(0..n).any(|p| l.contains(&format!("(name p{})", 2 - p)));
        let text: String = VALID.lines().filter(line).map(|l| format!("{l}\n")).collect();
        if text.trim_end().ends_with(")))") && !text.contains("p2") {
            text
        } else {
            text + ")"
        }
    };
    for (gone, words) in [(3, "at least one planner"), (1, "one planner, or three or more")] {
        let faults = parse(&without(gone)).unwrap_err();
        assert!(faults.iter().any(|f| f.line == 1 && f.expected.contains(words)), "{faults:?}");
    }
    assert!(parse(&without(2)).is_ok());
    let four =
        VALID.replace("(alone narrow)", "(member (name p3) (role planner) (address \"127.0.0.1:7103\"))");
    let warnings = parse(&four).unwrap().fleet.unwrap().warnings;
    assert!(
        warnings.len() == 1 && warnings[0].2.contains("4 planners bear no more losses than 3"),
        "{warnings:?}"
    );
}

const PACED: &str = "(alone narrow)\n  (paced (pace 0.5) (lists delta) (spans home))";

#[test]
fn the_form_paced_is_read_if_present_and_off_otherwise() {
    use yarrowspoke_fleet::settings::{Lists, Paced, Spans};
    let paced = |form: &str| {
        let text = VALID.replace("(alone narrow)", form).replace("(lease 1.5)", "(lease 1.6)");
        parse(&text).unwrap().fleet.unwrap().fleet.paced
    };
    assert_eq!(paced("(alone narrow)"), None);
    let both = Paced { pace: 500_000, lists: Lists::Delta, spans: Spans::Home };
    assert_eq!(paced(PACED), Some(both));
    assert_eq!(
        paced("(paced (pace 0.5))"),
        Some(both),
        "a pace alone implies the defaults of the other fields"
    );
    let neither = Paced { lists: Lists::Whole, spans: Spans::All, ..both };
    assert_eq!(paced("(paced (pace 0.5) (lists whole) (spans all))"), Some(neither));
}

#[test]
fn an_invalid_form_paced_is_refused_with_line_column_and_what_was_expected() {
    let valid = VALID.replace("(alone narrow)", PACED).replace("(lease 1.5)", "(lease 1.6)");
    assert!(parse(&valid).is_ok());
    for (from, to, at, expected) in [
        ("(pace 0.5)", "(pace soon)", (7, 16), "seconds, 0.02 to 60"),
        ("(pace 0.5)", "(pace 0.1)", (7, 3), "a pace from renew to renew for each planner, 0.200 to 0.600 s"),
        ("(pace 0.5)", "(pace 0.7)", (7, 3), "a pace from renew to renew for each planner, 0.200 to 0.600 s"),
        ("(pace 0.5)", "", (7, 3), "the field pace in it"),
        ("(pace 0.5)", "(pace 0.5) (pace 0.5)", (7, 21), "each field of paced once"),
        ("(lists delta)", "(lists some)", (7, 28), "delta or whole"),
        ("(spans home)", "(spans away)", (7, 42), "home or all"),
        ("(spans home)", "(span home)", (7, 35), "one of the fields: pace, lists, spans"),
        ("(lease 1.6)", "(lease 1.4)", (3, 3), "three paces and their drift at least, 1.515 s"),
        (
            "(lists delta) (spans home))",
            "(lists delta)) (paced (pace 0.5))",
            (7, 36),
            "each field but member once",
        ),
    ] {
        assert!(valid.contains(from), "{from}");
        let text = valid.replace(from, to);
        let faults = parse(&text).err().unwrap_or_default();
        let place =
            |f: &yarrowspoke_operator::Fault| (f.line, f.column) == at && f.expected.contains(expected);
        assert!(faults.iter().any(place), "{to}: {faults:?}");
    }
}
