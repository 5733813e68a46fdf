//! Fleets of many processes with faults between them, run by the lab. What the fleet reports of itself is compared with what
//! the fakes observed. The checker is also tested on deliberately broken fronts and planners (mutants).

use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use yarrowspoke_lab::fleet::audit::{play, run, Trials};
use yarrowspoke_lab::fleet::check::check;
use yarrowspoke_lab::fleet::{agreed, before, schedule};

const PROGRAM: &str = env!("CARGO_BIN_EXE_yarrowspoke");

/// Serialises the tests, since each starts some dozens of processes, which is all that a small machine can run.
static SERIAL: Mutex<()> = Mutex::new(());

fn serial() -> MutexGuard<'static, ()> {
    SERIAL.lock().unwrap_or_else(PoisonError::into_inner)
}

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("yarrowspoke-fleet-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

#[test]
fn the_audit_agrees_with_what_the_fakes_observed_and_the_limits_hold() {
    let _serial = serial();
    let dir = dir("sound");
    let trials = Trials {
        program: PROGRAM.into(),
        mutants: None,
        dir: dir.clone(),
        paced: false,
        seed: 11,
        trials: 2,
        at_once: 2,
        shrink: false,
        plot: None,
    };
    let report = run(&trials, || ()).unwrap();
    assert!(report.held(), "{}", report.findings.told());
    // Every step of the escalation must occur; otherwise the run shows nothing.
    let findings = &report.findings;
    assert!(
        findings.stragglers >= 4
            && findings.reconciled >= 2
            && findings.quarantined >= 2
            && findings.attempts_seen > 1_000,
        "{}",
        findings.told()
    );
    std::fs::remove_dir_all(dir).unwrap();
}

/// Mutants tested in every run; the lab's command tests all of them.
const TESTED_MUTANTS: [&str; 4] =
    ["relay-ignored", "out-still-serves", "attempts-uncounted", "lease-unchecked"];

#[test]
fn broken_fronts_and_planners_are_detected() {
    let _serial = serial();
    let dir = dir("mutants");
    let dir_of = &dir;
    let found = move |mutant: &'static str| {
        let watched = play(Path::new(PROGRAM), &dir_of.join(mutant), 11, Some(mutant)).unwrap();
        (mutant, check(&watched).wrongs())
    };
    let found: Vec<_> = std::thread::scope(|scope| {
        let tried: Vec<_> = TESTED_MUTANTS.iter().map(|m| scope.spawn(move || found(m))).collect();
        tried.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert!(found.iter().all(|f| !f.1.is_empty()), "{found:?}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_front_cut_from_its_sources_is_reconciled_by_planners() {
    let _serial = serial();
    let dir = dir("stale");
    // Without planners such a front acts on a stale list until the end of the run (docs/measurements/fleet.md); the bound here is
    // wide.
    let report = before::run(&before::options(Path::new(PROGRAM), &dir, 1, 3)).unwrap();
    let worst = report.rows.iter().map(|r| r.old_list_ms.max(r.old_news_ms)).max().unwrap();
    assert!(worst < 4_000, "{}", before::table(&report));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_schedule_depends_only_on_its_seed() {
    assert_eq!(schedule::draw(5, 8), schedule::draw(5, 8));
    assert_ne!(schedule::draw(5, 8), schedule::draw(6, 8));
    assert!((0..200).flat_map(|s| schedule::draw(s, 8)).all(|f| f.at < f.until && f.who < 8));
}

#[test]
fn all_fronts_are_restarted_within_the_limits_while_planners_fail() {
    let _serial = serial();
    let dir = dir("agreed");
    let found = std::thread::scope(|scope| {
        let dir = &dir;
        let at = move |seed: u64| {
            agreed::play(Path::new(PROGRAM), &dir.join(format!("{seed}")), seed, None).unwrap()
        };
        let tried: Vec<_> = [3, 4].map(|seed| scope.spawn(move || at(seed))).into_iter().collect();
        tried.into_iter().map(|t| t.join().unwrap()).collect::<Vec<_>>()
    });
    for findings in found {
        assert!(
            findings.wrongs().is_empty() && findings.restarts == 6 && findings.grants >= 6,
            "{findings:?}"
        );
    }
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn planners_that_forget_the_limits_are_detected() {
    let _serial = serial();
    let dir = dir("agreed-mutants");
    let found = agreed::play(Path::new(PROGRAM), &dir, 3, Some("limit-forgotten")).unwrap();
    assert!(found.wrongs().iter().any(|w| w.contains("fronts_over_limit")), "{found:?}");
    std::fs::remove_dir_all(dir).unwrap();
}
