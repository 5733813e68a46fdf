//! Fleets of many processes with the form `paced`. Relays between fronts and planners count the traffic; the tests check that it
//! is less than without the form, and that planners and fronts are informed no later and of no less.

use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use yarrowspoke_lab::fleet::audit::{play_paced, run, Trials};
use yarrowspoke_lab::fleet::check::check;
use yarrowspoke_lab::fleet::relay::{Fault, Passed};
use yarrowspoke_lab::fleet::world::{Seen, World};
use yarrowspoke_lab::fleet::{ask, Options, Site};

const PROGRAM: &str = env!("CARGO_BIN_EXE_yarrowspoke");
const FLEET: &str = "(renew 0.2) (lease 2) (behind 1) (shut-after 30) (alone narrow)";
const PACED: &str = "(paced (pace 0.6) (lists delta) (spans home))";
/// Microseconds within which a straggler that reaches a planner is reconciled; the checker of the trials uses the same bound.
const RECONCILIATION_LIMIT_US: u64 = 1_800_000;

/// Serialises the tests, since each starts some dozens of processes, which is all that a small machine can run.
static SERIAL: Mutex<()> = Mutex::new(());

fn serial() -> MutexGuard<'static, ()> {
    SERIAL.lock().unwrap_or_else(PoisonError::into_inner)
}

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("yarrowspoke-paced-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn site(dir: &Path, form: &str, fronts: usize) -> Site {
    let options = Options {
        program: PROGRAM.into(),
        dir: dir.to_owned(),
        fronts,
        planners: 3,
        machines: 24,
        zones: 2,
        rate: 30.0,
        seed: 5,
        fleet: format!("{FLEET} {form}"),
        envs: vec![("RUST_LOG".to_owned(), "info".to_owned())],
    };
    let world = World::new(options.machines, options.zones);
    let mut site = Site::start(options, world).unwrap();
    site.come_up().unwrap();
    site.drive();
    site
}

fn traffic(site: &Site) -> Passed {
    let links = site.fronts.iter().flat_map(|f| &f.planners);
    links.map(|l| l.passed()).fold(Passed::default(), |a, b| Passed {
        messages: a.messages + b.messages,
        bytes_to: a.bytes_to + b.bytes_to,
        bytes_back: a.bytes_back + b.bytes_back,
    })
}

/// Waits until `condition` holds; panics after 20 s.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(20), "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns, for each front, the wall time up to which a planner holds its spans.
fn recorded_until(site: &Site, planner: usize) -> Vec<u64> {
    let (_, body) = ask(site.planners[planner].listen, "/fleet/audit", Duration::from_secs(5)).unwrap();
    let audit: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let latest = |incarnation: &serde_json::Value| {
        let rows = incarnation["rows"].as_array().cloned().unwrap_or_default();
        rows.iter().filter_map(|r| r["span"]["wall"].as_u64()).max().unwrap_or(0)
    };
    (0..site.fronts.len())
        .map(|f| {
            let name = format!("f{f}");
            let of_front =
                audit["lives"].as_array().into_iter().flatten().filter(|i| i["front"] == name.as_str());
            of_front.map(latest).max().unwrap_or(0)
        })
        .collect()
}

/// Returns the messages and bytes that pass in 6 s in a fleet where nothing changes.
fn idle_traffic(form: &str) -> Passed {
    let dir = dir(if form.is_empty() { "plain" } else { "rest" });
    let site = site(&dir, form, 2);
    // Every planner has received enough heartbeats of every front that the front sends at its pace.
    wait_until("a front known to every planner", || {
        site.fronts.iter().all(|f| f.planners.iter().all(|l| l.passed().messages > 12))
    });
    let (from, started) = (traffic(&site), Instant::now());
    std::thread::sleep(Duration::from_secs(6));
    let (to, took_ms) = (traffic(&site), started.elapsed().as_millis() as u64);
    drop(site);
    std::fs::remove_dir_all(dir).unwrap();
    let per_6_s = |n: u64| n * 6_000 / took_ms;
    Passed {
        messages: per_6_s(to.messages - from.messages),
        bytes_to: per_6_s(to.bytes_to - from.bytes_to),
        bytes_back: per_6_s(to.bytes_back - from.bytes_back),
    }
}

#[test]
fn with_pacing_an_idle_fleet_sends_fewer_messages_and_bytes() {
    let _serial = serial();
    let (plain, paced) = (idle_traffic(""), idle_traffic(PACED));
    assert!(2 * paced.messages < plain.messages, "{paced:?} against {plain:?}");
    assert!(
        2 * (paced.bytes_to + paced.bytes_back) < plain.bytes_to + plain.bytes_back,
        "{paced:?} against {plain:?}"
    );
    assert!(paced.messages > 0 && paced.bytes_back > 0);
}

#[test]
fn a_drain_reaches_a_front_without_discovery_and_no_record_is_lost_with_a_planner() {
    let _serial = serial();
    let dir = dir("drain");
    let mut site = site(&dir, PACED, 4);
    wait_until("a front known to every planner", || {
        site.fronts.iter().all(|f| f.planners.iter().all(|l| l.passed().messages > 12))
    });
    let cut = Fault { cut_to: true, cut_back: true, ..Fault::default() };
    site.sources(0)[0].set(cut);
    let drained_at = site.world.now();
    site.world.list(0, "draining", 1);
    wait_until("the drain at the other fronts", || {
        let log = site.world.log();
        (1..4).all(|f| {
            log.iter().any(|(t, s)| *t > drained_at && matches!(s, Seen::List { front, .. } if *front == f))
        })
    });
    let drain_known_at = site.world.now();
    std::thread::sleep(Duration::from_millis(3_500));
    let late_attempts = |site: &Site| {
        let log = site.world.log();
        let late_attempt = |(t, s): &(u64, Seen)| {
            let is_at_drained = matches!(s, Seen::Attempt { front: 0, machine: 0, .. });
            is_at_drained.then_some(*t).filter(|t| *t > drain_known_at + RECONCILIATION_LIMIT_US)
        };
        log.iter().filter_map(late_attempt).count()
    };
    assert_eq!(late_attempts(&site), 0, "attempts at the drained machine by the front that was cut off");
    // One planner is killed and does not return. Both others receive what every front does from now on.
    site.planners[0].process.kill();
    let after = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_micros()
        as u64
        + 2_000_000;
    wait_until("every front's record of later", || {
        (1..3).all(|p| recorded_until(&site, p).iter().all(|wall| *wall > after))
    });
    assert!(site.ended().len() <= 1, "{:?}", site.ended());
    drop(site);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn the_audit_agrees_under_faults_and_a_delta_on_the_wrong_base_is_detected() {
    let _serial = serial();
    let dir = dir("audit");
    let trials = Trials {
        program: PROGRAM.into(),
        mutants: None,
        dir: dir.clone(),
        paced: true,
        seed: 11,
        trials: 2,
        at_once: 2,
        shrink: false,
        plot: None,
    };
    let report = run(&trials, || ()).unwrap();
    assert!(report.held(), "{}", report.findings.told());
    let findings = &report.findings;
    assert!(
        findings.stragglers >= 4
            && findings.reconciled >= 2
            && findings.quarantined >= 2
            && findings.attempts_seen > 1_000,
        "{}",
        findings.told()
    );
    let found: Vec<_> = std::thread::scope(|scope| {
        let play = |mutant: &'static str| {
            let dir = dir.join(mutant);
            scope.spawn(move || {
                let watched = play_paced(Path::new(PROGRAM), &dir, 11, Some(mutant)).unwrap();
                (mutant, check(&watched).wrongs())
            })
        };
        let tried: Vec<_> = ["delta-on-any-base", "relay-ignored"].map(play).into_iter().collect();
        tried.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert!(found.iter().all(|f| !f.1.is_empty()), "{found:?}");
    std::fs::remove_dir_all(dir).unwrap();
}
