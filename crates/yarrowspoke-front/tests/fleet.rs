//! Many processes of the program with faults between them, by the laboratory's rig: what the fleet says of itself is held
//! against what stand-ins saw. The checker is tried on broken fronts and planners too.

use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use yarrowspoke_lab::fleet::audit::{play, run, Trials};
use yarrowspoke_lab::fleet::check::check;
use yarrowspoke_lab::fleet::{agreed, before, schedule};

const PROGRAM: &str = env!("CARGO_BIN_EXE_yarrowspoke");

/// One test at a time: some dozens of processes each are enough for a small machine.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("yarrowspoke-fleet-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

#[test]
fn the_audit_holds_against_what_stand_ins_saw_and_the_limits_are_kept() {
    let _alone = alone();
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
    // Every step of the ladder was met, or nothing would have been shown.
    let f = &report.findings;
    assert!(
        f.stragglers >= 4 && f.reconciled >= 2 && f.quarantined >= 2 && f.attempts_seen > 1_000,
        "{}",
        f.told()
    );
    std::fs::remove_dir_all(dir).unwrap();
}

/// Mutants tried at every run; the laboratory's command tries all of them.
const TRIED: [&str; 4] = ["relay-ignored", "out-still-serves", "attempts-uncounted", "lease-unchecked"];

#[test]
fn broken_fronts_and_planners_are_found() {
    let _alone = alone();
    let dir = dir("mutants");
    let dir_of = &dir;
    let found = move |mutant: &'static str| {
        let watched = play(Path::new(PROGRAM), &dir_of.join(mutant), 11, Some(mutant)).unwrap();
        (mutant, check(&watched).wrongs())
    };
    let found: Vec<_> = std::thread::scope(|scope| {
        let tried: Vec<_> = TRIED.iter().map(|m| scope.spawn(move || found(m))).collect();
        tried.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert!(found.iter().all(|f| !f.1.is_empty()), "{found:?}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_front_cut_from_its_sources_is_reconciled_by_planners() {
    let _alone = alone();
    let dir = dir("stale");
    // The same without planners acts on what is old to the end (docs/measurements/fleet.md); the bounds here are wide.
    let report = before::run(&before::options(Path::new(PROGRAM), &dir, 1, 3)).unwrap();
    let worst = report.rows.iter().map(|r| r.old_list_ms.max(r.old_news_ms)).max().unwrap();
    assert!(worst < 4_000, "{}", before::table(&report));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_schedule_is_its_seeds_alone() {
    assert_eq!(schedule::draw(5, 8), schedule::draw(5, 8));
    assert_ne!(schedule::draw(5, 8), schedule::draw(6, 8));
    assert!((0..200).flat_map(|s| schedule::draw(s, 8)).all(|f| f.at < f.until && f.who < 8));
}

#[test]
fn all_fronts_are_restarted_within_agreed_limits_while_planners_fail() {
    let _alone = alone();
    let dir = dir("agreed");
    let found = std::thread::scope(|scope| {
        let dir = &dir;
        let at = move |seed: u64| {
            agreed::play(Path::new(PROGRAM), &dir.join(format!("{seed}")), seed, None).unwrap()
        };
        let tried: Vec<_> = [3, 4].map(|seed| scope.spawn(move || at(seed))).into_iter().collect();
        tried.into_iter().map(|t| t.join().unwrap()).collect::<Vec<_>>()
    });
    for f in found {
        assert!(f.wrongs().is_empty() && f.restarts == 6 && f.grants >= 6, "{f:?}");
    }
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn planners_that_forget_the_limits_are_found() {
    let _alone = alone();
    let dir = dir("agreed-mutants");
    let found = agreed::play(Path::new(PROGRAM), &dir, 3, Some("limit-forgotten")).unwrap();
    assert!(found.wrongs().iter().any(|w| w.contains("fronts_over_limit")), "{found:?}");
    std::fs::remove_dir_all(dir).unwrap();
}
