//! The smallest run of incidents, on processes of the program. Its verdict hangs on what clients and machines saw, never on speed.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use yarrowspoke_lab::scale::planted::shape;
use yarrowspoke_lab::scale::report::{Report, Shape};

const LAB: &str = env!("CARGO_BIN_EXE_yarrowspoke-lab");

/// The program beside the laboratory's. A run of this package alone does not build it, so it is built here where it is missing.
fn program() -> PathBuf {
    let program = Path::new(LAB).with_file_name("yarrowspoke");
    if !program.exists() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-p", "yarrowspoke-front", "--bin", "yarrowspoke"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success());
    }
    program
}

#[test]
fn all_restart_at_once_and_each_planted_fault_is_caught() {
    let dir = std::env::temp_dir().join(format!("yarrowspoke-scale-incidents-{}", std::process::id()));
    let done = Command::new(LAB)
        .args(["scale", "--seed", "5", "--small", "--only", "incidents", "--json", "--dir"])
        .arg(&dir)
        .arg("--program")
        .arg(program())
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&done.stderr);
    assert!(done.status.success(), "{said}{}", String::from_utf8_lossy(&done.stdout));
    let report: Report = serde_json::from_slice(&done.stdout).unwrap();
    let [incident] = &report.incidents[..] else { panic!("{:?}", report.incidents) };
    assert!(incident.held && incident.broken.is_empty(), "{incident:?}");
    assert!(incident.name.starts_with("all restart at once: 3 planners"), "{}", incident.name);
    assert!(["front", "hollow front", "planner", "discovery"]
        .iter()
        .all(|role| incident.peaks.iter().any(|p| p.0 == *role && p.3 > 0.0)));
    assert!(report.ready_s_p90.is_some());
    assert_eq!((report.planted, report.planted_caught), (3, 3));
    // The others are named, not passed over.
    assert_eq!(report.not_measured.iter().filter(|l| l.starts_with("incident: ")).count(), 4);
    // Three planners, two fronts, a process of hollow ones, the guard and the run itself.
    assert_eq!(report.processes, 8);
    assert_eq!(std::fs::read_dir(&dir).unwrap().count(), 0, "its files are gone");
    std::fs::remove_dir(&dir).unwrap();
}

#[test]
fn a_quadratic_step_is_told_from_an_even_slope() {
    for seed in 1..=5 {
        assert_eq!((shape(seed, false), shape(seed, true)), (Shape::Linear, Shape::Quadratic));
    }
}
