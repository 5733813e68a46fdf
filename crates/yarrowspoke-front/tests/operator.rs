//! The operator's file on the command line: faults are reported with their position, and nothing starts with a faulty file.

mod common;

use common::{root, run_program, temp_file};
use std::process::Output;
use yarrowspoke_front::run::ConfigFiles;

const BAD: &str =
    "(verdicts\n  (false-alarm 0.9)\n  (miss 0.05)\n  (least-fault -1)\n  (least-slowness 1.5))\n";
const GOOD: &str = "(verdicts (false-alarm 0.01) (miss 0.1) (least-fault 0.1) (least-slowness 2.0))\n";

fn error(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

#[test]
fn check_reports_each_fault_with_its_position_and_a_faulty_file_starts_nothing() {
    let bad = temp_file("bad", BAD);
    let path = bad.to_str().unwrap();
    for args in [&["check", path][..], &["power", path], &["serve", "--operator", path]] {
        let out = run_program(args);
        assert!(!out.status.success(), "{args:?}");
        for fault in [":2:16: found 0.9, expected a rate above 0 and under 0.5", ":4:16: found -1"] {
            assert!(error(&out).contains(fault), "{args:?}: {}", error(&out));
        }
    }
    let out = run_program(&["check", "nowhere.sexp"]);
    assert!(!out.status.success() && error(&out).contains("nowhere.sexp"), "{}", error(&out));
}

#[test]
fn the_deployed_file_is_valid_and_check_warns_if_a_fleet_has_too_little_traffic() {
    let deployed = root().join("deploy/operator.sexp");
    let path = deployed.to_str().unwrap();
    let large_fleet =
        ["check", path, "--fronts", "1", "--requests", "100000", "--stage", "60", "--machines", "2000"];
    let out = run_program(&large_fleet);
    assert!(out.status.success() && !String::from_utf8_lossy(&out.stdout).contains("warning"), "{out:?}");
    let out = run_program(&["check", path, "--fronts", "180", "--requests", "1000"]);
    assert!(out.status.success() && String::from_utf8_lossy(&out.stdout).contains("warning"), "{out:?}");
    let out = run_program(&["power", path]);
    assert!(
        out.status.success() && String::from_utf8_lossy(&out.stdout).contains("within a stage"),
        "{out:?}"
    );
}

#[test]
fn files_are_read_as_a_whole_so_that_a_faulty_one_changes_nothing() {
    let config = root().join("examples/config.json");
    let operator = temp_file("changing", GOOD);
    let files = ConfigFiles { config, operator: Some(operator.clone()) };
    let read = files.read(None).unwrap().config.settings.module.error_rates.unwrap();
    assert_eq!((read.false_rollback, read.min_slowdown), (0.01, 2.0));
    std::fs::write(&operator, BAD).unwrap();
    assert!(files.read(None).is_err(), "a reload must not apply a file that could not be read as a whole");
    std::fs::write(&operator, "").unwrap();
    assert_eq!(files.read(None).unwrap().config.settings.module.error_rates, None);
}
