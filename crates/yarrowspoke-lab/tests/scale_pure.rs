//! The scale run's pure part: shapes are named as they were planted, bad words are refused before anything starts, and
//! the small run's counts have the shapes that they must have. No verdict hangs on a time.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use yarrowspoke_lab::scale::fit::fit;
use yarrowspoke_lab::scale::report::{Report, Shape, Slope};

const SIZES: [f64; 5] = [10.0, 50.0, 150.0, 300.0, 620.0];
const LARGE: [f64; 5] = [40.0, 600.0, 2_400.0, 4_800.0, 9_700.0];

fn points(sizes: &[f64], of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|n| (*n, of(*n))).collect()
}

/// The same with each value off by up to so much of itself.
fn noisy(points: &[(f64, f64)], by: f64, seed: u64) -> Vec<(f64, f64)> {
    let mut rng = Pcg64::seed_from_u64(seed);
    points.iter().map(|(n, v)| (*n, v * rng.gen_range(1.0 - by..=1.0 + by))).collect()
}

fn planted() -> Vec<(Shape, Vec<(f64, f64)>)> {
    let mut all = Vec::new();
    for sizes in [SIZES, LARGE] {
        all.push((Shape::Flat, points(&sizes, |_| 788.0)));
        all.push((Shape::Linear, points(&sizes, |n| 5.0 + 0.3 * n)));
        all.push((Shape::Linear, points(&sizes, |n| 0.002 * n)));
        all.push((Shape::NLogN, points(&sizes, |n| 0.1 * n * n.log2())));
        all.push((Shape::Quadratic, points(&sizes, |n| 80.0 + 0.02 * n * n)));
        // A step that only large sizes show, on top of what grows evenly.
        all.push((Shape::Quadratic, points(&sizes, |n| 0.2 * n + 0.05 * n * n)));
    }
    all
}

#[test]
fn planted_shapes_are_named() {
    for (shape, points) in planted() {
        let got = fit(&points);
        assert_eq!(got.shape, shape, "{points:?}: {got:?}");
        assert!(got.residual < 0.005, "{points:?}: {got:?}");
    }
}

#[test]
fn n_log_n_is_named_where_it_is_clear() {
    let wide = points(&[2.0, 4.0, 16.0, 64.0, 256.0], |n| n * n.log2());
    assert_eq!(fit(&wide).shape, Shape::NLogN, "{:?}", fit(&wide));
    // Digits that a longer number has are no reason: what is off by less than half a percent is a line.
    let digits = points(&LARGE, |n| n * (150.0 + n.log10().floor() / 10.0));
    assert_eq!(fit(&digits).shape, Shape::Linear, "{:?}", fit(&digits));
}

#[test]
fn noise_makes_no_flat_one_grow_and_hides_no_square() {
    for seed in 0..200 {
        for (shape, points) in planted().into_iter().filter(|p| p.0 != Shape::NLogN) {
            let got = fit(&noisy(&points, 0.03, seed));
            match shape {
                // Noise of 3 % may look like anything that grows by 3 %; what it comes to stays.
                Shape::Flat => {
                    assert!((got.at(points[4].0) / points[4].1 - 1.0).abs() < 0.06, "{seed}: {got:?}")
                }
                Shape::Linear => {
                    assert!(got.shape != Shape::Flat && got.shape != Shape::Quadratic, "{seed}: {got:?}")
                }
                _ => assert_eq!(got.shape, Shape::Quadratic, "{seed}: {got:?}"),
            }
        }
    }
}

#[test]
fn a_line_through_points_gives_back_what_made_them() {
    let got = fit(&points(&LARGE, |n| 12.5 + 0.25 * n));
    assert!((got.per_unit - 0.25).abs() < 1e-9 && (got.fixed - 12.5).abs() < 1e-6, "{got:?}");
    assert!(got.residual < 1e-9 && (got.at(9_700.0) - 2_437.5).abs() < 1e-6, "{got:?}");
    for few in [vec![], vec![(10.0, 3.0)], vec![(10.0, 3.0), (10.0, 3.0)], vec![(1.0, 0.0), (2.0, 0.0)]] {
        let got = fit(&few);
        assert!(got.shape == Shape::Flat && got.fixed.is_finite() && got.residual.is_finite(), "{got:?}");
    }
}

/// A directory of its own, gone with it.
struct Own(PathBuf);

impl Own {
    fn new(name: &str) -> Self {
        // Tests share a process, and each refusal looks at what is left in its directory.
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("yarrowspoke-scale-{name}-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self(dir)
    }

    fn left(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.0).unwrap();
        entries.map(|e| e.unwrap().file_name().to_string_lossy().into_owned()).collect()
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Plays in a process group of its own, and holds that none of it is left.
fn scale(args: &[&str], own: &Own) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yarrowspoke-lab"));
    command.arg("scale").args(args).arg("--dir").arg(&own.0);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).process_group(0);
    let child = command.spawn().unwrap();
    let group = rustix::process::Pid::from_child(&child);
    let done = child.wait_with_output().unwrap();
    let left = rustix::process::test_kill_process_group(group);
    assert_eq!(left, Err(rustix::io::Errno::SRCH), "{args:?}: a process is left");
    assert_eq!(own.left(), Vec::<String>::new(), "{args:?}: a file is left");
    done
}

fn refused(args: &[&str], expected: &str) {
    let own = Own::new("refused");
    let done = scale(args, &own);
    let said = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!(done.status.code(), Some(2), "{args:?}: {said}");
    assert_eq!(said.lines().count(), 1, "{args:?}: {said}");
    assert!(said.contains(expected), "{args:?}: {said}");
    assert!(done.stdout.is_empty(), "{args:?}: {}", String::from_utf8_lossy(&done.stdout));
}

#[test]
fn bad_words_are_refused_in_one_line_and_nothing_is_left() {
    let many = vec!["7"; 21].join(",");
    let cases: [(&[&str], &str); 16] = [
        (&["--fronts", "0"], "--fronts: found 0"),
        (&["--machines", "40,0"], "--machines: found 0"),
        (&["--routes", "0"], "--routes: found 0"),
        (&["--tenants", "0"], "--tenants: found 0"),
        (&["--rates", "0"], "--rates: found 0"),
        (&["--fronts", "100000"], "--fronts: found 100000, expected 1 to "),
        (&["--machines", "1000000"], "--machines: found 1000000, expected 1 to "),
        (&["--routes", "99999999"], "--routes: found 99999999, expected 1 to "),
        (&["--fronts", "ten"], "expected a whole number"),
        (&["--fronts", ""], "expected a whole number"),
        (&["--fronts", "99999999999999999999999"], "expected a whole number"),
        (&["--fronts", &many], "21 sizes"),
        (&["--seed", "one"], "--seed: found \"one\", expected a whole number"),
        (&["--seed", "1.5"], "--seed: found \"1.5\""),
        (&["--port", "65536"], "--port: found \"65536\""),
        (&["--only", "moon"], "--only: found \"moon\""),
    ];
    for (args, expected) in cases {
        refused(args, expected);
    }
}

#[test]
fn what_does_not_fit_the_machine_is_refused_with_its_figure() {
    let lab = env!("CARGO_BIN_EXE_yarrowspoke-lab");
    let large = ["--program", lab, "--fronts", "1240", "--machines", "19400"];
    refused(&large, " MB of a run");
    refused(&["--program", "/no/such/program"], "/no/such/program");
    // A port that somebody holds, wherever in the range it lies.
    let holder = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let held = holder.local_addr().unwrap().port();
    for first in [held, held - 1] {
        let first = first.to_string();
        refused(&["--program", lab, "--only", "control", "--port", &first], "can't be listened on");
    }
    refused(&["--program", lab, "--port", "65535"], "port 65535");
}

#[test]
fn a_directory_or_file_that_cannot_be_written_is_refused() {
    let own = Own::new("unwritable");
    // Below a file there is no directory, whoever asks.
    std::fs::write(own.0.join("file"), b"").unwrap();
    let below = own.0.join("file").join("dir");
    let run = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_yarrowspoke-lab"));
        let done = command.args(["scale", "--only", "pure"]).args(args).output().unwrap();
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!((done.status.code(), said.lines().count()), (Some(2), 1), "{args:?}: {said}");
        assert!(said.contains("cannot be written"), "{args:?}: {said}");
    };
    run(&["--dir", below.to_str().unwrap()]);
    run(&["--out", below.join("scale.json").to_str().unwrap()]);
}

fn small(seed: &str) -> Report {
    let own = Own::new(&format!("small-{seed}"));
    let done = scale(&["--only", "pure", "--small", "--json", "--seed", seed], &own);
    let said = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!(done.status.code(), Some(0), "{said}");
    serde_json::from_slice(&done.stdout).unwrap()
}

/// Those slopes whose values are counts or bytes, which hang on the seed alone.
fn counts(seen: &Report) -> BTreeMap<(String, String, String), &Slope> {
    let counted = |s: &&Slope| !s.unit.contains("processor") && !s.unit.contains("MB");
    let named = |s: &Slope| (s.role.clone(), s.quantity.clone(), s.over.clone());
    seen.slopes.iter().filter(counted).map(|s| (named(s), s)).collect()
}

#[test]
fn the_small_runs_counts_have_their_shapes() {
    let seen = small("5");
    assert!(seen.failures.is_empty() && seen.held(), "{:?}", seen.failures);
    assert!(seen.slopes.iter().all(|s| s.points.len() >= 4), "{:#?}", seen.slopes);
    let counts = counts(&seen);
    let shapes = [
        ("discovery", "the whole list", "machines", Shape::Linear),
        ("front", "machines that one front sends to", "machines", Shape::Flat),
        ("front", "control: bytes both ways, all planners, heads counted in", "fronts", Shape::Flat),
        ("front", "control: heads of HTTP among them", "fronts", Shape::Flat),
        ("front", "control: bytes for one change of the list, all planners", "machines", Shape::Linear),
        ("planner", "its record, as it counts it", "fronts", Shape::Linear),
        ("planner", "one exchange with another planner", "fronts", Shape::Linear),
        ("planner", "agreed log on disk, an order taken and done", "orders", Shape::Linear),
    ];
    for (role, quantity, over, shape) in shapes {
        let key = (role.to_owned(), quantity.to_owned(), over.to_owned());
        let slope = counts.get(&key).unwrap_or_else(|| panic!("{key:?}: not in {:#?}", counts.keys()));
        assert_eq!(slope.shape, shape, "{slope:?}");
    }
    // Nothing that is counted grows faster than evenly.
    let fast = |s: &&&Slope| matches!(s.shape, Shape::NLogN | Shape::Quadratic);
    assert_eq!(counts.values().filter(fast).collect::<Vec<_>>(), Vec::<&&Slope>::new());
}

#[test]
fn the_same_seed_counts_the_same() {
    let (one, two) = (small("6"), small("6"));
    assert_eq!(counts(&one), counts(&two));
    assert!(!counts(&one).is_empty());
}
