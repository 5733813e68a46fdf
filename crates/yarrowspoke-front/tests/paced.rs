//! Many processes with the form `paced`: what passes between fronts and planners as relays between them counted it, and that
//! nothing is known later or less for it.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use yarrowspoke_lab::fleet::audit::{play_paced, run, Trials};
use yarrowspoke_lab::fleet::check::check;
use yarrowspoke_lab::fleet::relay::{Fault, Passed};
use yarrowspoke_lab::fleet::world::{Seen, World};
use yarrowspoke_lab::fleet::{ask, Options, Site};

const PROGRAM: &str = env!("CARGO_BIN_EXE_yarrowspoke");
const FLEET: &str = "(renew 0.2) (lease 2) (behind 1) (shut-after 30) (alone narrow)";
const PACED: &str = "(paced (pace 0.6) (lists delta) (spans home))";
/// A straggler that reaches a planner has what it lacks within this, as the trials' checker has it too.
const RECONCILED_WITHIN: u64 = 1_800_000;

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

fn passed(site: &Site) -> Passed {
    let links = site.fronts.iter().flat_map(|f| &f.planners);
    links.map(|l| l.passed()).fold(Passed::default(), |a, b| Passed {
        messages: a.messages + b.messages,
        bytes_to: a.bytes_to + b.bytes_to,
        bytes_back: a.bytes_back + b.bytes_back,
    })
}

/// Waits until something is seen; a process that shows it later than this has failed.
fn until(what: &str, seen: impl Fn() -> bool) {
    let begun = Instant::now();
    while !seen() {
        assert!(begun.elapsed() < Duration::from_secs(20), "{what} was not seen");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Fronts' record at a planner: up to which wall time it holds spans of each.
fn recorded(site: &Site, planner: usize) -> Vec<u64> {
    let (_, body) = ask(site.planners[planner].listen, "/fleet/audit", Duration::from_secs(5)).unwrap();
    let audit: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let rows = |one: &serde_json::Value| {
        let all = one["rows"].as_array().cloned().unwrap_or_default();
        all.iter().filter_map(|r| r["span"]["wall"].as_u64()).max().unwrap_or(0)
    };
    (0..site.fronts.len())
        .map(|f| {
            let name = format!("f{f}");
            let of = audit["lives"].as_array().into_iter().flatten().filter(|i| i["front"] == name.as_str());
            of.map(rows).max().unwrap_or(0)
        })
        .collect()
}

/// Messages and bytes for so many messages' worth of the plain renewal, counted over the same stretch.
fn at_rest(form: &str) -> Passed {
    let dir = dir(if form.is_empty() { "plain" } else { "rest" });
    let site = site(&dir, form, 2);
    // All planners have heard every front often enough to hear it at the pace.
    until("a front known to every planner", || {
        site.fronts.iter().all(|f| f.planners.iter().all(|l| l.passed().messages > 12))
    });
    let (from, begun) = (passed(&site), Instant::now());
    std::thread::sleep(Duration::from_secs(6));
    let (to, took) = (passed(&site), begun.elapsed().as_millis() as u64);
    drop(site);
    std::fs::remove_dir_all(dir).unwrap();
    let each = |n: u64| n * 6_000 / took;
    Passed {
        messages: each(to.messages - from.messages),
        bytes_to: each(to.bytes_to - from.bytes_to),
        bytes_back: each(to.bytes_back - from.bytes_back),
    }
}

#[test]
fn at_rest_fewer_messages_and_bytes_pass_between_fronts_and_planners() {
    let (plain, paced) = (at_rest(""), at_rest(PACED));
    assert!(2 * paced.messages < plain.messages, "{paced:?} against {plain:?}");
    assert!(
        2 * (paced.bytes_to + paced.bytes_back) < plain.bytes_to + plain.bytes_back,
        "{paced:?} against {plain:?}"
    );
    assert!(paced.messages > 0 && paced.bytes_back > 0);
}

#[test]
fn a_drain_reaches_a_front_cut_from_discovery_and_a_dead_planner_takes_no_record_along() {
    let dir = dir("drain");
    let mut site = site(&dir, PACED, 4);
    until("a front known to every planner", || {
        site.fronts.iter().all(|f| f.planners.iter().all(|l| l.passed().messages > 12))
    });
    let cut = Fault { cut_to: true, cut_back: true, ..Fault::default() };
    site.sources(0)[0].set(cut);
    let changed = site.world.now();
    site.world.list(0, "draining", 1);
    until("the drain at the other fronts", || {
        let log = site.world.log();
        (1..4).all(|f| {
            log.iter().any(|(t, s)| *t > changed && matches!(s, Seen::List { front, .. } if *front == f))
        })
    });
    let told = site.world.now();
    std::thread::sleep(Duration::from_millis(3_500));
    let late = |site: &Site| {
        let log = site.world.log();
        let sent = |(t, s): &(u64, Seen)| {
            let hit = matches!(s, Seen::Attempt { front: 0, machine: 0, .. });
            hit.then_some(*t).filter(|t| *t > told + RECONCILED_WITHIN)
        };
        log.iter().filter_map(sent).count()
    };
    assert_eq!(late(&site), 0, "attempts at the drained machine by the front that was cut off");
    // A planner is killed and stays away; what every front does from now on is known to both others.
    site.planners[0].process.kill();
    let after = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_micros()
        as u64
        + 2_000_000;
    until("every front's record of later", || {
        (1..3).all(|p| recorded(&site, p).iter().all(|wall| *wall > after))
    });
    assert!(site.ended().len() <= 1, "{:?}", site.ended());
    drop(site);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn the_audit_holds_under_faults_and_a_delta_on_another_base_is_found() {
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
    let f = &report.findings;
    assert!(
        f.stragglers >= 4 && f.reconciled >= 2 && f.quarantined >= 2 && f.attempts_seen > 1_000,
        "{}",
        f.told()
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
