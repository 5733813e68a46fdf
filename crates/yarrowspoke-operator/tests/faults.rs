//! Valid files, and the faults reported for invalid ones.

use yarrowspoke_operator::parse;

const VALID: &str = "; a comment\n(verdicts\n  (false-alarm 0.02)\n  (miss 0.05)\n  (least-fault 0.05)\n  (least-slowness 1.5))\n";

#[test]
fn a_valid_file_is_read_and_an_empty_one_enables_nothing() {
    let v = parse(VALID).unwrap().error_rates.unwrap();
    assert_eq!(
        (v.false_rollback, v.missed_fault, v.min_failure_increase, v.min_slowdown),
        (0.02, 0.05, 0.05, 1.5)
    );
    assert_eq!(parse("").unwrap().error_rates, None);
}

#[test]
fn the_deployed_file_states_the_defaults_of_the_module() {
    let deployed = parse(include_str!("../../../deploy/operator.sexp")).unwrap();
    assert_eq!(deployed.error_rates, Some(yarrowspoke::rules::DEFAULT_ERROR_RATES));
}

/// Returns each fault with its position and the texts of what was found and expected.
fn reported(text: &str) -> Vec<(usize, usize, String)> {
    let faults = parse(text).unwrap_err();
    faults.into_iter().map(|f| (f.line, f.column, format!("{} | {}", f.found, f.expected))).collect()
}

#[test]
fn every_fault_is_reported_with_its_position() {
    let text = VALID.replace("0.02", "0.7").replace("(miss 0.05)", "(mis 0.05)").replace("1.5", "fast");
    let faults = reported(&text);
    let places: Vec<(usize, usize)> = faults.iter().map(|f| (f.0, f.1)).collect();
    assert_eq!(places, [(2, 1), (3, 16), (4, 3), (6, 19)], "{faults:?}");
    assert!(faults[0].2.contains("miss") && faults[1].2.contains("0.7 | a rate above 0 and under 0.5"));
    assert!(faults[2].2.contains("least-slowness") && faults[3].2.starts_with("fast |"));
}

#[test]
fn invalid_values_are_refused() {
    for (from, to) in [
        ("0.02", "0"),
        ("0.02", "0.5"),
        ("0.02", "-0.1"),
        ("0.02", "+nan.0"),
        ("(least-fault 0.05)", "(least-fault -0.05)"),
        ("(least-fault 0.05)", "(least-fault)"),
        ("(least-fault 0.05)", "(least-fault 0.05 0.06)"),
        ("(least-fault 0.05)", "least-fault"),
        ("1.5", "1.0"),
        ("(miss 0.05)", "(false-alarm 0.03) (miss 0.05)"),
        ("(verdicts", "(verdict"),
        ("1.5))", "1.5)"),
        ("; a comment", "7 (verdicts)"),
    ] {
        assert!(parse(&VALID.replace(from, to)).is_err(), "{from} -> {to}");
    }
}

const RULES: &str = r#"(rules
  (order all)
  (steps 20000)
  (rule comments (when "class == 'comment'") (effect once) (attempts 2))
  (rule "election night"
    (when "segments[1].orValue('') in ['live', \"map\"] &&
           !repeat")
    (limit (key "segments[2].orValue('')") (rate 20) (burst 5))
    (budget 0.8) (zone a) (kind "big one") (subject "path") (tenant acme)))
"#;

#[test]
fn rules_are_read_completely() {
    let rules = parse(RULES).unwrap_or_else(|f| panic!("{f:?}")).rules.unwrap();
    assert_eq!((rules.set.len(), rules.set.name(1)), (2, "election night"));
    let actions = rules.set.actions(1);
    assert_eq!((actions.budget, actions.kind.as_deref()), (Some(800_000), Some("big one")));
    assert_eq!(actions.limit.as_ref().map(|l| (l.rate, l.burst)), Some((20.0, 5.0)));
    assert!(parse("(verdicts)").is_err() && parse("").unwrap().rules.is_none());
}

#[test]
fn faults_in_rules_report_the_position_in_the_file() {
    // Each change, the text at the position of the fault after it, and a part of what was expected.
    for (from, to, at, word) in [
        ("(order all)", "(order some)", "some)", "first or all"),
        ("(order all)", "(order all) (order first)", "(order first", "each field once"),
        ("20000", "5", "5)", "100 to 1000000"),
        ("20000", "100.5", "100.5", "100 to 1000000"),
        ("class == 'comment'", "clas == 'comment'", "clas ==", "one of the fields: method"),
        ("class == 'comment'", "class == \\\"a\\\" && clas", "clas\") (effect", "one of the fields: method"),
        ("(effect once)", "(effect never)", "never", "once: a rule can only"),
        ("(effect once)", "(effect repeatable)", "repeatable", "once: a rule can only"),
        ("(attempts 2)", "(attempts 0)", "0))", "1 to 100"),
        ("(attempts 2)", "(attempt 2)", "(attempt 2", "one of the fields: when"),
        ("!repeat", "!repeated", "repeated", "one of the fields"),
        ("(rule comments", "(rule (when \"true\")", "(rule (when", "a name behind 'rule'"),
        ("(when \"class == 'comment'\") ", "", "(rule comments", "the field when"),
        ("(rate 20) ", "", "(limit", "the field rate"),
        ("(rate 20)", "(rate 0)", "0) (burst", "0.001 to 1000000"),
        ("(budget 0.8)", "(budget -1)", "-1)", "above 0"),
        ("\"path\"", "\"length\"", "length", "string"),
        ("\"path\"", "path", "path) (tenant", "an expression as a string"),
        ("\"election night\"", "comments", "(rule comments\n", "another name"),
    ] {
        let text = RULES.replace(from, to);
        assert_ne!(text, RULES, "{from}");
        let start = text.find(at).unwrap();
        let line = text[..start].matches('\n').count() + 1;
        let column = start - text[..start].rfind('\n').map_or(0, |n| n + 1) + 1;
        let faults = reported(&text);
        let right = faults.iter().any(|f| (f.0, f.1) == (line, column) && f.2.contains(word));
        assert!(right, "{from} -> {to}, at {line}:{column}: {faults:?}");
    }
}
