//! The experiment `verdicts`: how often the fleet sends a good build back, and keeps a bad one.
//!
//! A cell is one kind of world; each of its trials is a whole release drawn from a seed of its own. A trial of a
//! good build is wrong if the build goes back at any time; one of a bad build if it is released and still there
//! when it has been watched. A build that is held on trial to the end of the world is neither: it is counted
//! by itself.

use crate::scenario::{Fault, Scenario, Trouble, COMMENTS, MS, S};
use crate::world::{play, End, Outcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;
use serde::Serialize;
use statrs::distribution::{Beta, Binomial, ContinuousCDF, DiscreteCDF};
use yarrowspoke::interface::VoteMode;

/// False alarms that the fleet states for a whole release of a good build.
pub const STATED_FALSE_ALARM: f64 = 0.02;
/// Misses that the fleet states for faults of the stated size or above.
pub const STATED_MISS: f64 = 0.05;
/// A cell counts as over its stated rate when chance alone would show as much in fewer than one in so many runs
/// of the whole experiment.
const BEYOND_CHANCE: f64 = 0.01;

/// One kind of world.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Its name.
    pub name: &'static str,
    /// Fronts.
    pub fronts: u32,
    /// One vote is enough.
    pub first_voice: bool,
    /// What is wrong with the build.
    pub fault: Option<Fault>,
    /// What else goes wrong.
    pub trouble: Trouble,
    /// Places, where the fleet's size matters.
    pub places: Option<u32>,
    /// The stated rate binds here; elsewhere the figure is reported by itself.
    pub bound: bool,
}

/// The cells of the experiment.
pub fn cells() -> Vec<Cell> {
    let cell = |name, fronts, fault, trouble| Cell {
        name,
        fronts,
        first_voice: false,
        fault,
        trouble,
        places: None,
        bound: true,
    };
    let none = Trouble::None;
    let sick = Trouble::SickMachine(0.5, 20 * S);
    let mut all = vec![
        cell("good", 1, None, none),
        cell("good", 3, None, none),
        cell("good", 12, None, none),
        cell("good, slow zone", 3, None, Trouble::SlowZone(2.0)),
        cell("good, slow kind", 3, None, Trouble::SlowKind(2.0)),
        Cell { places: Some(26), ..cell("good, one sick of two", 3, None, sick) },
        Cell { places: Some(26), ..cell("good, one sick of two", 12, None, sick) },
        cell("good, failures in runs", 3, None, Trouble::Runs(0.2)),
        cell("good, failures in runs", 60, None, Trouble::Runs(0.2)),
        cell("good, failures in runs", 180, None, Trouble::Runs(0.2)),
        cell("good, shared slow", 3, None, Trouble::SharedSlow(1.6, 10 * S)),
        cell("good, earlier errs too", 3, None, Trouble::EarlierErrs(0.04)),
        cell("good, fronts restart", 3, None, Trouble::Restart),
        cell("good, reports spoilt", 3, None, Trouble::Reports),
        cell("bad: errors 20 %", 3, Some(Fault::Errors(0.2)), none),
        cell("bad: errors 8 %", 3, Some(Fault::Errors(0.08)), none),
        cell("bad: comments 60 %", 3, Some(Fault::Class(COMMENTS, 0.6)), none),
        cell("bad: comments 60 %", 12, Some(Fault::Class(COMMENTS, 0.6)), none),
        cell("bad: twice the work", 3, Some(Fault::Slow(2.0)), none),
        cell("bad: late 40 %", 3, Some(Fault::Late(8 * S, 0.4)), none),
        cell("bad: under load 40 %", 3, Some(Fault::Load(0.3, 0.4)), none),
        cell("bad: slow in a slow zone", 3, Some(Fault::Slow(2.0)), Trouble::SlowZone(2.0)),
        cell("bad: errors, one sick", 3, Some(Fault::Errors(0.25)), sick),
        cell("bad: errors, earlier errs", 3, Some(Fault::Errors(0.25)), Trouble::EarlierErrs(0.04)),
        cell("bad: errors, fronts restart", 3, Some(Fault::Errors(0.25)), Trouble::Restart),
        cell("bad: slow, reports spoilt", 3, Some(Fault::Slow(2.0)), Trouble::Reports),
        cell("bad: slows all", 3, Some(Fault::Shared(1.8)), none),
    ];
    for (name, fault) in [("good", None), ("bad: errors 25 %", Some(Fault::Errors(0.25)))] {
        all.push(Cell { first_voice: true, ..cell(name, 3, fault, none) });
        all.push(Cell { first_voice: true, ..cell(name, 180, fault, none) });
        all.push(cell(name, 180, fault, none));
    }
    // Reported by themselves: nothing tells a machine that is sick alone from its build; fronts with a few requests a
    // second can't tell several sick machines from a build that fails a little; a fault under the least one stated.
    for fronts in [3, 180] {
        let sick = cell("good, one machine in ten sick", fronts, None, Trouble::SickPart(0.1, 0.5, 20 * S));
        all.push(Cell { bound: fronts == 3, ..sick });
    }
    let alone = cell("good, sick one alone", 3, None, Trouble::SickMachine(0.5, 20 * S));
    all.push(Cell { places: Some(14), bound: false, ..alone });
    all.push(Cell { bound: false, ..cell("bad: errors 2 %", 3, Some(Fault::Errors(0.02)), none) });
    all
}

/// What a cell showed.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The cell's name.
    pub cell: String,
    /// Fronts.
    pub fronts: u32,
    /// One vote was enough.
    pub first_voice: bool,
    /// The build was good.
    pub good: bool,
    /// The stated rate binds here.
    pub bound: bool,
    /// Trials.
    pub trials: u64,
    /// Good builds sent back, or bad ones released that stayed.
    pub wrong: u64,
    /// Builds held on trial to the end.
    pub held: u64,
    /// Exact upper 95 % bound on the share of wrong ones.
    pub upper95: f64,
    /// The same count for the thresholds used before the verdict crate, looking on.
    pub baseline_wrong: u64,
    /// ...for a fixed-horizon test looked at on every tick.
    pub fixed_horizon_wrong: u64,
    /// ...for Wald's SPRT of failures alone.
    pub sprt_wrong: u64,
    /// Median seconds from the first trial machine's start to the end that was right.
    pub median_s: Option<f64>,
    /// Requests left without a final answer or given two.
    pub unanswered: u64,
    /// Mean share of the fronts that voted the build back at any time.
    pub fronts_back: f64,
    /// Part of the requests that was served.
    pub served: f64,
    /// It is over its stated rate beyond chance.
    pub over: bool,
}

/// What the experiment showed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Trials of each cell.
    pub trials: u64,
    /// False alarms stated for a whole release.
    pub stated_false_alarm: f64,
    /// Misses stated.
    pub stated_miss: f64,
    /// The cells.
    pub cells: Vec<Row>,
}

impl Report {
    /// No cell is over its stated rate beyond chance, and no request went without its one answer.
    pub fn held(&self) -> bool {
        self.cells.iter().all(|c| !c.over && c.unanswered == 0)
    }
}

/// The world of one trial.
pub fn draw(cell: &Cell, seed: u64) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut sc = Scenario::plain(cell.fronts, &mut rng);
    sc.fault = cell.fault;
    sc.trouble = cell.trouble;
    if cell.first_voice {
        (sc.mode, sc.back_votes, sc.on_votes) = (VoteMode::FirstVote, 1, 1);
    }
    if let Some(places) = cell.places {
        sc.rate *= f64::from(places) / f64::from(sc.places);
        sc.places = places;
    }
    sc.offered += rng.gen_range(0..1_000) * MS;
    sc
}

/// Plays `trials` trials of each of `cells`, in parallel; `done` is told of each trial.
pub fn run(cells: &[Cell], seed: u64, trials: u64, done: impl Fn() + Sync) -> Report {
    let jobs: Vec<(usize, u64)> = (0..cells.len()).flat_map(|c| (0..trials).map(move |t| (c, t))).collect();
    let played: Vec<(usize, Outcome)> = jobs
        .par_iter()
        .map(|(c, t)| {
            let own = mix(seed, *c as u64, *t);
            let out = play(draw(&cells[*c], own), own ^ 0x5bd1_e995);
            done();
            (*c, out)
        })
        .collect();
    let bound = cells.iter().filter(|c| c.bound).count().max(1) as f64;
    let rows = cells.iter().enumerate().map(|(i, cell)| {
        let mine: Vec<&Outcome> = played.iter().filter(|p| p.0 == i).map(|p| &p.1).collect();
        row(cell, &mine, BEYOND_CHANCE / bound)
    });
    let cells = rows.collect();
    Report { seed, trials, stated_false_alarm: STATED_FALSE_ALARM, stated_miss: STATED_MISS, cells }
}

/// The first trial of `cell`, one of `cells`, that went wrong, with its number.
pub fn first_wrong(cell: &Cell, cells: &[Cell], seed: u64, trials: u64) -> Option<(u64, Outcome)> {
    let at = cells.iter().position(|c| std::ptr::eq(c, cell))? as u64;
    let wrong = if cell.fault.is_none() { End::Back } else { End::Kept };
    let played = (0..trials).into_par_iter().map(|t| {
        let own = mix(seed, at, t);
        (t, play(draw(cell, own), own ^ 0x5bd1_e995))
    });
    played.find_first(|p| p.1.end == wrong)
}

fn row(cell: &Cell, outs: &[&Outcome], chance: f64) -> Row {
    let good = cell.fault.is_none();
    let n = outs.len() as u64;
    let count = |f: &dyn Fn(&Outcome) -> bool| outs.iter().filter(|o| f(o)).count() as u64;
    let wrong = count(&|o| o.end == if good { End::Back } else { End::Kept });
    let baseline = |i: usize| count(&move |o| o.baselines[i] == good);
    let right = if good { End::Kept } else { End::Back };
    let mut took: Vec<f64> = outs.iter().filter(|o| o.end == right).map(|o| o.took as f64 / 1e6).collect();
    took.sort_by(f64::total_cmp);
    let stated = if good { STATED_FALSE_ALARM } else { STATED_MISS };
    let (requests, served) = outs.iter().fold((0, 0), |s, o| (s.0 + o.requests, s.1 + o.served));
    Row {
        cell: cell.name.to_owned(),
        fronts: cell.fronts,
        first_voice: cell.first_voice,
        good,
        bound: cell.bound,
        trials: n,
        wrong,
        held: count(&|o| o.end == End::Held),
        upper95: upper95(wrong, n),
        baseline_wrong: baseline(0),
        fixed_horizon_wrong: baseline(1),
        sprt_wrong: baseline(2),
        median_s: took.get(took.len() / 2).copied(),
        fronts_back: outs.iter().map(|o| f64::from(o.fronts_back)).sum::<f64>()
            / (n as f64 * f64::from(cell.fronts)).max(1.0),
        unanswered: outs.iter().map(|o| o.unanswered).sum(),
        served: served as f64 / (requests as f64).max(1.0),
        over: cell.bound && beyond(wrong, n, stated) < chance,
    }
}

/// Clopper and Pearson's exact one-sided 95 % upper bound on a share seen as `wrong` of `n`.
pub fn upper95(wrong: u64, n: u64) -> f64 {
    if wrong >= n {
        return 1.0;
    }
    Beta::new(wrong as f64 + 1.0, (n - wrong) as f64).map_or(1.0, |b| b.inverse_cdf(0.95))
}

/// Chance of at least `wrong` of `n` at the share `stated`.
fn beyond(wrong: u64, n: u64, stated: f64) -> f64 {
    if wrong == 0 {
        return 1.0;
    }
    Binomial::new(stated, n).map_or(1.0, |b| 1.0 - b.cdf(wrong - 1))
}

fn mix(seed: u64, cell: u64, trial: u64) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ cell << 48 ^ trial << 8);
    rng.gen()
}

/// The report as a table for a terminal.
pub fn table(report: &Report) -> String {
    let mut out = format!(
        "simulated; {} trials a cell, seed {}; stated: false alarms {}, misses {}\n\n",
        report.trials, report.seed, report.stated_false_alarm, report.stated_miss
    );
    out += &format!(
        "{:<30} {:>6} {:>5} {:>6} {:>5} {:>5} {:>7} {:>8} {:>6} {:>6} {:>8}  {}\n",
        "cell",
        "fronts",
        "votes",
        "trials",
        "wrong",
        "held",
        "upper95",
        "median s",
        "before",
        "fixed",
        "SPRT",
        ""
    );
    for r in &report.cells {
        let mark = if r.over {
            "OVER"
        } else if r.bound {
            ""
        } else {
            "by itself"
        };
        out += &format!(
            "{:<30} {:>6} {:>5} {:>6} {:>5} {:>5} {:>7.4} {:>8} {:>6} {:>6} {:>8}  {}\n",
            r.cell,
            r.fronts,
            if r.first_voice { "first" } else { "count" },
            r.trials,
            r.wrong,
            r.held,
            r.upper95,
            r.median_s.map_or("-".to_owned(), |s| format!("{s:.1}")),
            r.baseline_wrong,
            r.fixed_horizon_wrong,
            r.sprt_wrong,
            mark
        );
    }
    out
}
