//! Tests with hostile expressions: each is rejected with a clear fault, and none overflows the stack, panics or takes
//! long.

mod common;

use common::{compile, refused, request, rule};
use proptest::prelude::*;
use yarrowspoke_expr::bounds::Bounds;
use yarrowspoke_expr::parse::{parse, MAX_DEPTH, MAX_EXPRESSION_BYTES};
use yarrowspoke_expr::ruling::RuleActions;
use yarrowspoke_expr::set::{Order, RuleSet, RuleSetSource, RuleSource, Scratch};

#[test]
fn deep_and_long_expressions_are_rejected() {
    let nested = |open: &str, close: &str, n: usize| format!("{}true{}", open.repeat(n), close.repeat(n));
    for text in [
        nested("(", ")", 100_000),
        nested("(", ")", 2_000),
        nested("!", "", 4_000),
        nested("!(", ")", MAX_DEPTH),
        nested("true ? true : ", "", 500),
        "[".repeat(5_000),
        "a[".repeat(3_000),
        format!("length{}", " - 1".repeat(1_000)),
        format!("class{} == ''", ".lowerAscii()".repeat(200)),
        "x".repeat(1_000_000),
        format!("class == '{}'", "a".repeat(MAX_EXPRESSION_BYTES)),
        vec!["true"; 1_500].join("&&")
            + "|| ("
            + &vec!["true"; 100].join("||")
            + ")"
            + &" ".repeat(MAX_EXPRESSION_BYTES),
    ] {
        let fault = refused(&text);
        assert!(!fault.expected.is_empty() && fault.found.len() < 200, "{fault:?}");
    }
    // An expression at the maximum depth is accepted.
    assert!(parse(&nested("(", ")", MAX_DEPTH - 1)).is_ok());
}

#[test]
fn doubling_strings_and_oversized_patterns_are_rejected() {
    let mut doubled = "path".to_owned();
    for _ in 0..8 {
        doubled = format!("({doubled} + {doubled})");
    }
    assert!(refused(&format!("{doubled} == ''")).found.contains("bytes built"));
    for pattern in [
        "(((a{1,100}){1,100}){1,100}){1,100}",
        "a{4294967295}",
        "a{1000000}",
        "(a*)*(a*)*(a*)*b{500}c{500}.{1000}",
        "[ab]*a[ab]{60}",
        "(?:x.{0,80}y|z.{0,80}w)(?:q.{0,80}r|s.{0,80}t)",
        "(((((((((((((((((((((((((((((((((((((((((a)))))))))))))))))))))))))))))))))))))))))",
        "\\p{Greek}",
        "(?i",
        "\\1",
    ] {
        let fault = refused(&format!("path.matches('{}')", pattern.replace('\\', "\\\\")));
        assert!(fault.expected.starts_with("a pattern"), "{pattern}: {fault:?}");
    }
    let alternatives = (0..150).map(|n| format!("w{n}")).collect::<Vec<_>>().join("|");
    assert!(compile(Order::First, &[&format!("path.matches('{alternatives}')")]).is_ok());
    let alternatives = (0..3_000).map(|n| format!("w{n}")).collect::<Vec<_>>().join("|");
    assert!(refused(&format!("path.matches('{alternatives}')")).expected.contains("at most"));
}

#[test]
fn expensive_rules_and_sets_are_rejected_naming_the_costliest_part() {
    let many: Vec<String> = (0..30).map(|n| format!("path.contains('x{n}')")).collect();
    let fault = refused(&many.join(" || "));
    assert!(fault.found.contains("steps") && fault.found.contains("`path.contains('x"), "{fault:?}");
    assert!(fault.expected.contains("at most 10000 steps"), "{fault:?}");
    // Each rule is cheap, but all together are not, since no constant indexes them.
    let each: Vec<String> = (0..30).map(|n| format!("path.contains('y{n}')")).collect();
    let each: Vec<&str> = each.iter().map(String::as_str).collect();
    let faults = compile(Order::First, &each).err().unwrap();
    assert!(faults[0].rule.is_none() && faults[0].found.contains("no constant text finds"), "{faults:?}");
    // Rules indexed by a constant are cheap, whatever their number.
    let found: Vec<String> =
        (0..3_000).map(|n| format!("segments[1].orValue('') == 's{n}' && path.contains('y{n}')")).collect();
    let found: Vec<&str> = found.iter().map(String::as_str).collect();
    let set = compile(Order::First, &found).unwrap_or_else(|f| panic!("{f:?}"));
    assert!(set.cost() < 8_000, "{}", set.cost());
}

#[test]
fn ten_thousand_rules_with_a_thousand_patterns_are_bounded_in_memory() {
    let rules = (0..10_000).map(|n| {
        let more = if n % 10 == 0 { format!(" && path.matches('^/a/s{n}/[0-9]+$')") } else { String::new() };
        rule(&format!("r{n}"), &format!("segments[1].orValue('') == 's{n}'{more}"))
    });
    let source = RuleSetSource { order: Order::First, bounds: Bounds::default(), rules: rules.collect() };
    let set = RuleSet::compile(&source).unwrap_or_else(|f| panic!("{f:?}"));
    assert_eq!(set.regexes().0, 1_000);
    assert!(set.bytes() <= source.bounds.max_bytes, "{} bytes", set.bytes());
    let mut scratch = Scratch::new(&set, 1);
    assert_eq!(set.matches_indexed(&mut scratch, &request("/a/s4210/77")), [4210]);
    assert_eq!(set.matches_indexed(&mut scratch, &request("/a/s4210/x")), []);
    // With a lower memory bound the set is rejected before all patterns are compiled.
    let less = RuleSetSource { bounds: Bounds { max_bytes: 500_000, ..source.bounds }, ..source };
    let faults = RuleSet::compile(&less).err().unwrap();
    assert!(
        faults[0].found.contains("regular expressions of") && faults[0].rule.unwrap() < 9_000,
        "{faults:?}"
    );
}

/// Replays inputs kept from fuzzing and from development; none may panic.
#[test]
fn the_corpus_replays() {
    let corpus = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus");
    let mut read = 0;
    for file in std::fs::read_dir(corpus).unwrap() {
        let bytes = std::fs::read(file.unwrap().path()).unwrap();
        for line in String::from_utf8_lossy(&bytes).lines() {
            read += 1;
            check_everywhere(line);
        }
    }
    assert!(read >= 40, "{read} lines of corpus");
}

/// Parses `text` in every place that takes an expression, and runs what is accepted.
fn check_everywhere(text: &str) {
    if let Ok(tree) = parse(text) {
        let again = parse(&tree.to_string()).unwrap_or_else(|f| panic!("{text:?} prints as {tree}: {f}"));
        assert_eq!(again.to_string(), tree.to_string(), "{text:?}");
    }
    let actions =
        RuleActions { subject: Some(text.to_owned()), at_most_once: true, ..RuleActions::default() };
    let rules = vec![rule("a", text), RuleSource { name: "b".into(), when: "true".into(), actions }];
    for rules in [rules.clone(), rules[..1].to_vec(), rules[1..].to_vec()] {
        let source = RuleSetSource { order: Order::All, bounds: Bounds::default(), rules };
        let Ok(set) = RuleSet::compile(&source) else { continue };
        let mut scratch = Scratch::new(&set, 1);
        for target in ["/", "/article/sport/7?key=a&x=9", "//%00//?&&=&key", "/\u{e9}/\u{1f600}?key=\u{e9}"] {
            let request = request(target);
            assert_eq!(
                set.matches_indexed(&mut scratch, &request),
                set.matches_interpreted(&set.syntax_trees(), &request),
                "{text:?} on {target:?}"
            );
            set.evaluate::<true>(&mut scratch, &request);
            assert!(scratch.steps() <= set.cost(), "{text:?} on {target:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn no_text_panics(text in "\\PC{0,60}") {
        check_everywhere(&text);
    }

    #[test]
    fn no_mix_of_words_panics(words in proptest::collection::vec(prop::sample::select(WORDS), 0..14)) {
        check_everywhere(&words.join(" "));
    }
}

const WORDS: &[&str] = &[
    "class",
    "path",
    "segments",
    "[1]",
    "query",
    "['x']",
    "headers",
    "['h']",
    ".orValue('')",
    ".orValue(0)",
    "'a'",
    "''",
    "7",
    "-1",
    "9223372036854775807",
    "2s",
    "1h",
    "true",
    "false",
    "&&",
    "||",
    "!",
    "==",
    "!=",
    "<",
    ">=",
    "in",
    "['a', 'b']",
    "[1]",
    "+",
    "-",
    "*",
    "/",
    "%",
    "(",
    ")",
    "?",
    ":",
    "has(key)",
    "size(path)",
    "int('4')",
    "hash(class)",
    ".lowerAscii()",
    ".startsWith('/a')",
    ".matches('a+')",
    ".contains('b')",
    "length",
    "budget",
    "repeat",
    "hint",
    "tenant",
    ",",
    ".",
];
