//! A small installation of real processes: planners and fronts of the built program, a hundred hollow fronts, two thousand
//! machines. What is checked hangs on counts, bytes and shapes, never on speed.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use yarrowspoke_lab::scale::control;
use yarrowspoke_lab::scale::discovery::{Caller, Status};
use yarrowspoke_lab::scale::estate::{Estate, Extent, ZONES};
use yarrowspoke_lab::scale::report::{Report, Slope};
use yarrowspoke_lab::scale::run::{Options, Sizes};
use yarrowspoke_lab::scale::site::{Plant, Site, Spec};
use yarrowspoke_lab::scale::usage;

/// How long anything may take that is waited for; what takes longer has failed.
const WITHIN: Duration = Duration::from_secs(60);
const EXTENT: Extent = Extent { machines: 2_000, services: 60, routes: 400, tenants: 500 };
/// Bytes that the shortest heartbeat has: the head of its message and an empty report's fixed fields.
const LEAST_HEARTBEAT: u64 = 100;

fn lab() -> PathBuf {
    env!("CARGO_BIN_EXE_yarrowspoke-lab").into()
}

/// The program beside the laboratory's. A run of the whole workspace builds it; one of this package alone does not, so it is
/// built here where it is missing. Danger: built here each time, it would take the place of the one that other tests run.
fn program() -> PathBuf {
    let program = lab().with_file_name("yarrowspoke");
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

fn spec(dir: &Path) -> Spec {
    Spec {
        program: program(),
        lab: lab(),
        dir: dir.into(),
        seed: 11,
        port: None,
        planners: 3,
        real: 2,
        hollow: 100,
        extent: EXTENT,
        rate: 50.0,
        real_rate: 50.0,
        hot_rate: None,
        record: true,
        fleet: String::new(),
        plant: None,
    }
}

/// A directory that goes when the test ends.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("yarrowspoke-scale-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self(dir)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Whether a process is there and has not ended.
fn runs(id: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit_once(") ").is_some_and(|(_, state)| !state.starts_with('Z'))
}

fn ids(site: &Site) -> Vec<u32> {
    let planners = site.planners.iter().filter_map(|p| p.process.id());
    let fronts = site.fronts.iter().filter_map(|f| f.process.id());
    planners.chain(fronts).chain(site.hollow.iter().filter_map(|h| h.id())).collect()
}

#[test]
fn an_estate_is_drawn_by_its_seed_and_spread_unevenly_over_all_zones() {
    let extent = Extent { machines: 9_700, services: 260, routes: 14_000, tenants: 50_000 };
    let estate = Estate::draw(7, extent);
    assert_eq!(estate, Estate::draw(7, extent));
    assert_ne!(estate, Estate::draw(8, extent));
    assert_eq!(
        (estate.machines.len(), estate.routes.len(), estate.tenants.len(), estate.services.len()),
        (9_700, 14_000, 50_000, 260)
    );
    assert!(estate.services.iter().all(|s| *s >= 1));
    assert!(estate.services[0] > 10 * estate.services[259]);
    for zone in 0..ZONES.len() {
        let there = estate.machines.iter().filter(|m| m.zone == zone).count();
        assert!((1_000..1_500).contains(&there), "{there} machines in zone {zone}");
    }
    let few = Estate::draw(7, Extent { machines: 40, ..extent });
    assert_eq!((few.machines.len(), few.services.len()), (40, 40));
}

#[test]
fn a_small_installation_is_counted_from_outside_and_a_change_reaches_every_front() {
    let dir = Dir::new("counted");
    let mut site = Site::start(spec(&dir.0)).unwrap();
    site.come_up(WITHIN).unwrap();
    site.drive().unwrap();
    let (hollow, planners) = (site.spec.hollow as u64, site.spec.planners as u64);

    // Some heartbeats of every front at every planner.
    let before = site.control(Caller::Hollow);
    let enough = 10 * hollow * planners;
    let seen = |site: &Site| (site.control(Caller::Hollow) - before).messages >= enough;
    site.wait(WITHIN, seen).expect("ten heartbeats of each hollow front at each planner");
    let passed = site.control(Caller::Hollow) - before;
    assert_eq!(site.control(Caller::Hollow).connections, hollow * planners, "one kept connection each");
    assert!(passed.to >= LEAST_HEARTBEAT * passed.messages, "{passed:?}");
    // What the messages state of their own length is what passed, but for those on their way at either look.
    let apart = passed.to.abs_diff(passed.stated) as f64 / passed.to as f64;
    assert!(apart < 0.05, "{passed:?}");
    let real = site.control(Caller::Real);
    assert_eq!(real.connections, site.spec.real as u64 * planners);
    assert!(real.messages > 0 && real.to >= LEAST_HEARTBEAT * real.messages, "{real:?}");

    // All hold the whole list: each was told it, some twice if planners found them behind before it came; the bytes are those
    // of as many lists.
    let (whole, told) = (site.discovery.whole_bytes() as u64, site.discovery.tally(Caller::Hollow));
    assert!((hollow..=2 * hollow).contains(&told.wholes), "{told:?}");
    let lists = told.wholes * whole;
    assert!(told.bytes_out >= lists && told.bytes_out < lists + whole, "{told:?}");
    assert!((120..=140).contains(&(whole / EXTENT.machines as u64)), "{whole} bytes");

    // A change is acted on by all; it costs each caller a line, not the list.
    let name = site.estate.machines[5].name.clone();
    let index = site.discovery.change(&[&name], |row| row.status = Status::Draining);
    site.in_force(index, WITHIN).expect("all fronts act on the change");
    let after = site.discovery.tally(Caller::Hollow);
    assert_eq!(after.wholes, told.wholes);
    assert!(after.bytes_out - told.bytes_out < whole, "{after:?}");

    // Requests pass through the real fronts to machines.
    let served = |site: &Site| {
        site.clients.ended().iter().filter(|r| r.answered.is_some_and(|a| a.1 == 200)).count() >= 50
    };
    site.wait(WITHIN, served).expect("requests are served");
    assert!((0..ZONES.len()).map(|z| site.machines.asked(z).0).sum::<u64>() >= 50);
    assert_eq!(site.ended(), Vec::<String>::new());

    let ids = ids(&site);
    assert_eq!(ids.len(), 6);
    drop(site);
    assert!(ids.iter().all(|id| !runs(*id)), "none is left running");
}

#[test]
fn a_site_that_does_not_fit_or_finds_its_ports_taken_is_refused_in_one_line() {
    let dir = Dir::new("refused");
    let refused = |spec: Spec| match Site::start(spec) {
        Ok(_) => panic!("it was started"),
        Err(e) => e.to_string(),
    };
    let many = usage::descriptors();
    let why = refused(Spec { hollow: many, ..spec(&dir.0.join("many")) });
    assert!(why.contains(&format!("{many} are allowed")) && !why.contains('\n'), "{why}");
    assert!(!dir.0.join("many").exists(), "refused before anything was laid out");
    let held = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = held.local_addr().unwrap();
    let why = refused(Spec { port: Some(taken.port()), ..spec(&dir.0.join("taken")) });
    assert!(why.starts_with(&format!("{taken}: ")) && !why.contains('\n'), "{why}");
    let file = dir.0.join("file");
    std::fs::write(&file, "").unwrap();
    let why = refused(spec(&file.join("below")));
    assert!(why.contains(&file.display().to_string()) && !why.contains('\n'), "{why}");
}

#[test]
fn planted_faults_show_in_what_is_counted() {
    let dir = Dir::new("planted");
    for plant in [Plant::HalfBytes, Plant::SkippedHeartbeats] {
        let small =
            Spec { real: 0, hollow: 20, plant: Some(plant), ..spec(&dir.0.join(format!("{plant:?}"))) };
        let site = Site::start(small).unwrap();
        site.come_up(WITHIN).unwrap();
        let enough = |site: &Site| site.control(Caller::Hollow).messages >= 600;
        site.wait(WITHIN, enough).expect("heartbeats");
        let passed = site.control(Caller::Hollow);
        match plant {
            Plant::HalfBytes => {
                let apart = passed.to.abs_diff(passed.stated) as f64 / passed.stated as f64;
                assert!(apart > 0.4, "{passed:?}");
            }
            Plant::SkippedHeartbeats => assert_eq!(passed.connections, 20 * 3 - 10, "{passed:?}"),
        }
    }
}

#[test]
fn slopes_of_control_have_the_shapes_that_counts_and_bytes_give_them() {
    let dir = Dir::new("slopes");
    let sizes = Sizes {
        fronts: vec![5, 10, 20],
        machines: vec![40, 200, 600, 2_000],
        services: vec![60],
        routes: vec![400],
        tenants: vec![100],
        rates: vec![100.0],
    };
    let options = Options {
        program: program(),
        lab: lab(),
        dir: dir.0.join("run"),
        seed: 12,
        quick: false,
        small: true,
        paced: false,
        sizes,
        port: None,
    };
    let mut seen = Report::default();
    control::measure(&options, &mut seen, &|_| ()).unwrap();
    assert_eq!(seen.failures, Vec::<String>::new());
    assert_eq!((seen.hollow_fronts, seen.real_fronts), (100, 2));
    assert_eq!(seen.processes, 1 + 3 + 2 + 1, "this one, planners, real fronts, one of hollow ones");
    // A machine that is too busy leaves points out, and says which; those that are there are right.
    let of = |quantity: &str, over: &str| -> &Slope {
        let mut all = seen.slopes.iter().filter(|s| s.quantity == quantity && s.over.starts_with(over));
        all.next().unwrap_or_else(|| panic!("{quantity} over {over}: {:?}", seen.not_measured))
    };
    let lists = of("bytes until all hold the list", "fronts");
    let list = of("bytes until all hold the list", "machines");
    for (slope, least, most) in
        [(lists, 600.0 * 120.0, 2.0 * 600.0 * 140.0), (list, 20.0 * 120.0, 40.0 * 140.0)]
    {
        for (size, mb) in &slope.points {
            let each = mb * 1e6 / size;
            assert!((least..=most).contains(&each), "{each} bytes for each of {size}: {slope:?}");
        }
    }
    // A change costs no more than each front's telling all machines to each planner and hearing them back, at most 8 bytes a
    // machine each time, and two heads for each change and planner: what grows faster than the machines goes beyond that.
    let change = of("control bytes a change", "machines");
    for (machines, bytes) in &change.points {
        let most = 3.0 * 2.0 * (8.0 * machines + 500.0);
        assert!(
            (1.0..=most).contains(bytes),
            "{bytes} of at most {most} bytes before {machines}: {change:?}"
        );
    }
    let steady = of("control bytes", "fronts");
    assert!(steady.points.iter().all(|p| p.1 > 0.0), "{steady:?}");
}

/// Runs a site until this process is ended; tells the ids of its processes in a file.
fn run_until_ended(dir: &Path) {
    let site = Site::start(Spec { real: 1, hollow: 20, ..spec(dir) }).unwrap();
    site.come_up(WITHIN).unwrap();
    let told = ids(&site).iter().map(u32::to_string).collect::<Vec<_>>().join(" ");
    let part = dir.join("ids.part");
    std::fs::write(&part, told).unwrap();
    std::fs::rename(part, dir.join("ids")).unwrap();
    site.wait(WITHIN, |_| false);
}

#[test]
fn nothing_is_left_running_after_a_signal() {
    // Played twice: here, and by a process that is started here and ended by a signal.
    const DIR: &str = "YARROWSPOKE_SCALE_DIR";
    if let Some(dir) = std::env::var_os(DIR) {
        return run_until_ended(Path::new(&dir));
    }
    let dir = Dir::new("signal");
    let mut held = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "nothing_is_left_running_after_a_signal"])
        .env(DIR, &dir.0)
        .spawn()
        .unwrap();
    let wait = |holds: &dyn Fn() -> bool| {
        let begun = std::time::Instant::now();
        while !holds() {
            assert!(begun.elapsed() < WITHIN, "waited in vain");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let path = dir.0.join("ids");
    wait(&|| path.exists());
    let told = std::fs::read_to_string(&path).unwrap();
    let ids: Vec<u32> = told.split(' ').map(|id| id.parse().unwrap()).collect();
    assert_eq!(ids.len(), 5);
    assert!(ids.iter().all(|id| runs(*id)));
    rustix::process::kill_process(rustix::process::Pid::from_child(&held), rustix::process::Signal::TERM)
        .unwrap();
    held.wait().unwrap();
    wait(&|| ids.iter().all(|id| !runs(*id)));
}
