//! `.ci/known-red` over a small crate of its own: what it lets pass, what it refuses, and that all tests are run.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
/// It is a workspace of its own, as it lies in this one's target directory.
const MANIFEST: &str = r#"
[package]
name = "judged"
version = "0.0.0"
edition = "2021"

[features]
broken = []

[workspace]
"#;
const LIBRARY: &str = r#"
#[cfg(feature = "broken")]
compile_error!("as asked");

/// Leaves a trace, and fails if told to.
pub fn play(test: &str) {
    let traces = std::path::PathBuf::from(std::env::var_os("TRACES").unwrap());
    std::fs::write(traces.join(test), "").unwrap();
    let told = |what: &str| std::env::var(what).unwrap_or_default().split(',').any(|t| t == test);
    if told("ABORTS") {
        std::process::abort();
    }
    assert!(!told("FAILS"), "as told");
}
"#;
const FIRST: &str = r#"
#[test]
fn red() {
    judged::play("red");
}

#[test]
fn red_too() {
    judged::play("red_too");
}

#[test]
#[ignore]
fn ignored() {
    judged::play("ignored");
}

#[test]
fn twin() {}
"#;
const SECOND: &str = r#"
mod deep {
    #[test]
    fn red() {
        judged::play("deep::red");
    }
}

#[test]
fn sound() {
    judged::play("sound");
}

#[test]
fn twin() {}
"#;
/// The tests that leave a trace whenever all are run.
const ALL: [&str; 4] = ["deep::red", "red", "red_too", "sound"];

/// The small crate's directory.
fn judged() -> &'static Path {
    static JUDGED: OnceLock<PathBuf> = OnceLock::new();
    JUDGED.get_or_init(|| {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("judged");
        for (path, text) in [
            ("Cargo.toml", MANIFEST),
            ("src/lib.rs", LIBRARY),
            ("tests/first.rs", FIRST),
            ("tests/second.rs", SECOND),
        ] {
            let path = dir.join(path);
            std::fs::create_dir_all(path.parent().unwrap()).unwrap();
            std::fs::write(path, text).unwrap();
        }
        dir
    })
}

/// How the script ended, over which list and with which tests made to fail.
#[derive(Debug)]
struct Run {
    passed: bool,
    out: String,
    err: String,
    ran: BTreeSet<String>,
}

/// What the tests are told, and the words that the command gets besides.
#[derive(Default)]
struct Told<'a> {
    fails: &'a str,
    aborts: &'a str,
    words: &'a [&'a str],
}

fn run(case: &str, list: Option<&str>, told: Told) -> Run {
    let manifest = judged().join("Cargo.toml");
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("known-red").join(case);
    let _ = std::fs::remove_dir_all(&dir);
    let traces = dir.join("traces");
    std::fs::create_dir_all(&traces).unwrap();
    if let Some(list) = list {
        std::fs::write(dir.join("KNOWN-RED.txt"), list).unwrap();
    }
    let mut command = Command::new(SCRIPT);
    command.arg(env!("CARGO")).args(["test", "--offline", "--manifest-path"]).arg(manifest);
    command.arg("--target-dir").arg(judged().join("target")).args(told.words).current_dir(&dir);
    command.env("TRACES", &traces).env("FAILS", told.fails).env("ABORTS", told.aborts);
    let output = command.output().unwrap();
    let traces = std::fs::read_dir(traces).unwrap();
    Run {
        passed: output.status.success(),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
        ran: traces.map(|t| t.unwrap().file_name().into_string().unwrap()).collect(),
    }
}

fn fails(fails: &str) -> Told<'_> {
    Told { fails, ..Told::default() }
}

#[test]
fn without_a_list_or_with_an_empty_one_every_test_must_pass() {
    for list in [None, Some("")] {
        let run_all = run("no-list", list, Told::default());
        assert!(run_all.passed && run_all.ran.iter().eq(ALL), "{run_all:#?}");
        let failed = run("no-list", list, fails("sound"));
        assert!(!failed.passed && !failed.out.contains("known red:"), "{failed:#?}");
    }
}

#[test]
fn listed_tests_that_fail_are_run_and_printed_and_all_others_are_run_too() {
    let list = "red | counts twice | 37\ndeep::red | no clock, no verdict | #38\n";
    let run = run("listed", Some(list), fails("red,deep::red"));
    assert!(run.passed && run.ran.iter().eq(ALL), "{run:#?}");
    let printed: Vec<_> = run.out.lines().filter(|l| l.starts_with("known red:")).collect();
    assert_eq!(
        printed,
        ["known red: red: counts twice (issue 37)", "known red: deep::red: no clock, no verdict (issue 38)"]
    );
}

#[test]
fn one_that_takes_its_whole_process_along_hides_no_other() {
    let told = || Told { aborts: "red", ..Told::default() };
    let alone = run("abort", Some("red | aborts | 37\n"), told());
    assert!(alone.passed && alone.ran.iter().eq(ALL), "{alone:#?}");
    let beside = run("abort", Some("red | aborts | 37\n"), Told { fails: "red_too", ..told() });
    assert!(!beside.passed && beside.ran.iter().eq(ALL), "{beside:#?}");
}

#[test]
fn one_that_is_not_listed_fails_the_run_wherever_it_stands_and_all_are_run() {
    // In the same file, where the listed name begins its own, and in another.
    for other in ["red_too", "deep::red", "sound"] {
        let run = run("unlisted", Some("red | counts twice | 37\n"), fails(&format!("red,{other}")));
        assert!(!run.passed && run.ran.iter().eq(ALL), "{run:#?}");
        assert!(run.out.contains(&format!("test {other} ... FAILED")), "{run:#?}");
        assert!(run.out.contains("known red: red: counts twice (issue 37)"), "{run:#?}");
        assert!(!run.out.contains(&format!("known red: {other}")), "{run:#?}");
    }
}

#[test]
fn one_that_is_listed_and_passes_fails_the_run() {
    // Its name begins that of another that does fail, which must not stand in for it.
    let list = "red | mended | 37\nred_too | counts twice | 37\n";
    let passes = run("passes", Some(list), fails("red_too"));
    assert!(!passes.passed && passes.ran.iter().eq(ALL), "{passes:#?}");
    assert!(passes.err.contains("red does not fail"), "{passes:#?}");
    assert!(!passes.out.contains("known red: red: ") && passes.out.contains("known red: red_too: "));
    // Nor is one that is not run at all one that fails.
    let ignored = run("passes", Some("ignored | slow | 37\n"), fails("ignored"));
    assert!(!ignored.passed && ignored.err.contains("ignored does not fail"), "{ignored:#?}");
}

#[test]
fn a_list_that_says_too_much_or_too_little_fails_the_run_before_any_test() {
    let sound = "red | counts twice | 37\n";
    let four = format!("{sound}red_too | x | 1\nsound | x | 1\ndeep::red | x | 1\n");
    for (list, why) in [
        (four.as_str(), "4 lines, 3 at most"),
        ("red\n", "line 1: expected"),
        ("red | counts twice\n", "line 1: expected"),
        ("red | counts twice | \n", "line 1: expected"),
        ("red |  | 37\n", "line 1: expected"),
        (" | counts twice | 37\n", "line 1: expected"),
        ("red | counts twice | soon\n", "line 1: expected"),
        ("red | counts | twice | 37\n", "line 1: expected"),
        ("red counts twice 37\n", "line 1: expected"),
        ("--skip | counts twice | 37\n", "line 1: expected"),
        ("\n", "line 1: expected"),
        ("red | counts twice | 37\n\n", "line 2: expected"),
        ("re | counts twice | 37\n", "0 tests are named re,"),
        ("deep | counts twice | 37\n", "0 tests are named deep,"),
        ("twin | counts twice | 37\n", "2 tests are named twin,"),
        ("red | counts twice | 37\nred | counts twice | 37\n", "red is named twice"),
        ("red | counts twice | 37\nno_such | counts twice | 37\n", "0 tests are named no_such,"),
    ] {
        let run = run("refused", Some(list), fails("red,re,deep,twin"));
        assert!(!run.passed && run.ran.is_empty(), "{list:?}: {run:#?}");
        assert!(run.err.contains(why), "{list:?}: {run:#?}");
    }
}

/// A day of the bench as an entry, which is printed and never run.
const DAY: &str =
    "$ lbreal SITE --rough split+mass --nodes 300 --seed 521 | 521 | failback in 1 of 2 runs | 52\n";
const PRINTED_DAY: &str =
    "known red, not run: lbreal SITE --rough split+mass --nodes 300 --seed 521 (seed 521): \
    failback in 1 of 2 runs (issue 52)";

#[test]
fn commands_are_printed_and_change_nothing_in_what_the_tests_must_do() {
    let passed = run("commands", Some(DAY), Told::default());
    assert!(passed.passed && passed.ran.iter().eq(ALL), "{passed:#?}");
    assert_eq!(passed.out.lines().filter(|l| l.starts_with("known red")).collect::<Vec<_>>(), [PRINTED_DAY]);
    let failed = run("commands", Some(DAY), fails("sound"));
    assert!(!failed.passed, "{failed:#?}");
    // Beside listed tests as well; these must fail as before, and only these.
    let list =
        format!("{DAY}red | counts twice | 37\n$ review/2/run.sh | none | 6 of 138 unanswered | #52\n");
    let listed = run("commands", Some(&list), fails("red"));
    assert!(listed.passed && listed.ran.iter().eq(ALL), "{listed:#?}");
    for line in [
        PRINTED_DAY,
        "known red, not run: review/2/run.sh (seed none): 6 of 138 unanswered (issue 52)",
        "known red: red: counts twice (issue 37)",
    ] {
        assert!(listed.out.lines().any(|l| l == line), "{line}: {listed:#?}");
    }
    assert!(!run("commands", Some(&list), fails("red,sound")).passed);
    assert!(!run("commands", Some(&list), Told::default()).passed);
}

#[test]
fn a_command_that_is_not_as_it_must_be_fails_the_run_before_any_test() {
    let four: String = (1..=4).map(|n| format!("$ review/{n}/run.sh | none | x | 52\n")).collect();
    for (list, why) in [
        (four.as_str(), "4 commands, 3 at most"),
        (&DAY.repeat(2), "--seed 521 is named twice"),
        ("$ review/1/run.sh | none | seen\n", "line 1: expected"),
        ("$ review/1/run.sh | soon | seen | 52\n", "line 1: expected"),
        ("$ review/1/run.sh | none |  | 52\n", "line 1: expected"),
        ("$ review/1/run.sh | none | seen | later\n", "line 1: expected"),
        ("$  | none | seen | 52\n", "line 1: expected"),
        ("$review/1/run.sh | none | seen | 52\n", "line 1: expected"),
        ("review/1/run.sh | none | seen | 52\n", "line 1: expected"),
        ("$ lbreal SITE --seed 5 | 6 | seen | 52\n", "line 1: the seed is 6, that of the command 5"),
        ("$ lbreal SITE --seed 5 | none | seen | 52\n", "line 1: the seed is none, that of the command 5"),
        ("$ lbreal SITE | 6 | seen | 52\n", "line 1: the seed is 6, that of the command none"),
        ("$ /opt/lbreal SITE | none | seen | 52\n", "line 1: the path /opt/lbreal"),
    ] {
        let run = run("refused-command", Some(list), Told::default());
        assert!(!run.passed && run.ran.is_empty(), "{list:?}: {run:#?}");
        assert!(run.err.contains(why), "{list:?}: {run:#?}");
    }
}

#[test]
fn what_does_not_compile_fails_the_run_whatever_is_listed() {
    let told = Told { fails: "red", words: &["--features", "broken"], ..Told::default() };
    let run = run("broken", Some("red | counts twice | 37\n"), told);
    assert!(!run.passed && run.ran.is_empty() && !run.out.contains("known red:"), "{run:#?}");
}
