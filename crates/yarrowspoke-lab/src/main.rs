//! `yarrowspoke-lab`: plays the experiments.

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use yarrowspoke_expr::set::Order;
use yarrowspoke_lab::{fleet, plot, rules, scale, store, verdicts};

#[derive(Parser)]
#[command(name = "yarrowspoke-lab", version, about = "Experiments in a seeded world of stand-ins")]
struct Args {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// How often the fleet sends a good build back, and keeps a bad one
    Verdicts {
        /// The same seed gives the same object
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Trials of each cell
        #[arg(long, default_value_t = 100)]
        trials: u64,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
        /// Only cells whose name contains this
        #[arg(long)]
        only: Option<String>,
        /// Only cells of so many fronts
        #[arg(long)]
        fronts: Option<u32>,
        /// Draw an SVG here
        #[arg(long)]
        plot: Option<PathBuf>,
        /// Print what the fronts logged in the first wrong trial of each cell
        #[arg(long)]
        logs: bool,
    },
    /// What a large set of matching expressions costs a request, and that hostile ones are refused
    Rules {
        /// The same seed draws the same rules and requests
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Rules of the set
        #[arg(long, default_value_t = 5_000, value_parser = clap::value_parser!(u32).range(1..=20_000))]
        rules: u32,
        /// Requests
        #[arg(long, default_value_t = 100_000, value_parser = clap::value_parser!(u32).range(1..=10_000_000))]
        requests: u32,
        /// All that hold count, not the first one only
        #[arg(long)]
        all: bool,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Stores that are cut, flipped, interrupted and fail, under a front that notes what ran
    Store {
        /// The same seed draws the same trials
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Crashes, and as many disk faults
        #[arg(long, default_value_t = 2_000)]
        trials: u64,
        /// Every so many bytes a file is cut and flipped
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..))]
        step: u32,
        /// Groups of work in the store that is cut
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(2..=10_000))]
        groups: u32,
        /// Where the throughput of groups is measured; the system's directory for such files if none
        #[arg(long)]
        dir: Option<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Processes of the built program with faults between them: the audit held against what stand-ins saw
    Audit {
        /// Draws the schedules of faults
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many are played
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        trials: u64,
        /// Trials at once; each has eleven processes
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=64))]
        at_once: u64,
        /// The program; the one beside this one if none
        #[arg(long)]
        program: Option<PathBuf>,
        /// The program built with the feature mutants; without it none is tried
        #[arg(long)]
        mutants: Option<PathBuf>,
        /// With the form paced in the section fleet
        #[arg(long)]
        paced: bool,
        /// Shrink schedules that fail to the least that still does; each step plays a trial
        #[arg(long)]
        shrink: bool,
        /// Draw the first trial's audit here, as SVG
        #[arg(long)]
        plot: Option<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Processes of the built program with faults between them: every front restarted within agreed limits
    Agreed {
        /// Draws the faults
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many trials
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        trials: u64,
        /// Trials at once; each has nine processes
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=64))]
        at_once: u64,
        /// The program; the one beside this one if none
        #[arg(long)]
        program: Option<PathBuf>,
        /// The program built with the feature mutants; without it none is tried
        #[arg(long)]
        mutants: Option<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// What being a member costs a front (real processes), and a fleet of some size a planner (simulated)
    FleetCost {
        /// Draws the clients' calls
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The program; the one beside this one if none
        #[arg(long)]
        program: Option<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Draw what `yarrowspoke fleet audit --json` printed
    FleetPicture {
        /// The file
        audit: PathBuf,
        /// Where to draw it, as SVG
        #[arg(long)]
        out: PathBuf,
    },
    /// Processes of the built program with faults between them: how long each acts on an old list and old news
    Stale {
        /// Draws the clients' calls
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Planners beside the fronts; 0 for fronts that know nothing of each other
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=5))]
        planners: u32,
        /// The program; the one beside this one if none
        #[arg(long)]
        program: Option<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// How the program bears the size to come: slopes of cost, and bad days
    Scale(Box<scale::cli::Scale>),
    /// Builds one structure and says what memory it takes
    #[command(hide = true)]
    ScaleProbe(scale::cli::Probe),
    /// Hollow fronts of a scale run, in a process of their own
    #[command(hide = true)]
    ScaleHollow {
        /// What it runs
        #[arg(long)]
        spec: PathBuf,
    },
    /// Another program, which ends with the one that started it
    #[command(hide = true)]
    ScaleChild {
        /// The program
        program: PathBuf,
        /// Its arguments
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<String>,
    },
    /// A long run against the language: drawn sets and changed texts
    FuzzRules {
        /// The same seed draws the same sets and texts
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Drawn sets
        #[arg(long, default_value_t = 100_000)]
        sets: u64,
        /// Changed texts
        #[arg(long, default_value_t = 1_000_000)]
        texts: u64,
        /// Texts to change, one a line
        #[arg(long)]
        corpus: PathBuf,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    match Args::parse().experiment {
        Experiment::Verdicts { seed, trials, json, only, fronts, plot, logs } => {
            play_verdicts(seed, trials, json, (only, fronts), plot, logs)
        }
        Experiment::Rules { seed, rules, requests, all, json } => {
            let order = if all { Order::All } else { Order::First };
            play_rules(
                rules::Options { rules: rules as usize, requests: requests as usize, seed, order },
                json,
            )
        }
        Experiment::Store { seed, trials, step, groups, dir, json } => {
            let options = store::Options { seed, trials, step: step as usize, groups: groups as usize };
            play_store(options, dir, json)
        }
        Experiment::Audit { seed, trials, at_once, program, mutants, paced, shrink, plot, json } => {
            let played = in_own_directory("audit", |dir| {
                let tried = if mutants.is_some() { fleet::audit::mutants(paced).len() as u64 } else { 0 };
                let bar = progress(trials + tried);
                let (program, dir) = (fleet::program(program.as_deref())?, dir.to_owned());
                let at_once = at_once as usize;
                let trials = fleet::audit::Trials {
                    program,
                    mutants,
                    dir,
                    paced,
                    seed,
                    trials,
                    at_once,
                    shrink,
                    plot,
                };
                let report = fleet::audit::run(&trials, || bar.inc(1));
                bar.finish_and_clear();
                report
            });
            match played {
                Ok(report) => tell(json, &report, fleet::audit::table(&report), report.held()),
                Err(e) => failed(&e),
            }
        }
        Experiment::Agreed { seed, trials, at_once, program, mutants, json } => {
            let played = in_own_directory("agreed", |dir| {
                let tried = if mutants.is_some() { fleet::agreed::MUTANTS.len() as u64 } else { 0 };
                let bar = progress(trials + tried);
                let (program, dir) = (fleet::program(program.as_deref())?, dir.to_owned());
                let at_once = at_once as usize;
                let trials = fleet::agreed::Trials { program, mutants, dir, seed, trials, at_once };
                let report = fleet::agreed::run(&trials, || bar.inc(1));
                bar.finish_and_clear();
                report
            });
            match played {
                Ok(report) => tell(json, &report, fleet::agreed::table(&report), report.held()),
                Err(e) => failed(&e),
            }
        }
        Experiment::FleetCost { seed, program, json } => {
            let measured = in_own_directory("cost", |dir| {
                let program = fleet::program(program.as_deref())?;
                let options = fleet::before::options(&program, dir, seed, 0);
                fleet::cost::run(&fleet::Options { rate: 100.0, ..options }, &[10, 50, 200, 500])
            });
            match measured {
                Ok(report) => tell(json, &report, fleet::cost::table(&report), true),
                Err(e) => failed(&e),
            }
        }
        Experiment::FleetPicture { audit, out } => {
            let drawn = std::fs::read(&audit)
                .map_err(Into::into)
                .and_then(|b| Ok(serde_json::from_slice(&b)?))
                .and_then(|v| fleet::picture::draw(&v, &out));
            match drawn {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("yarrowspoke-lab: {}: {e}", audit.display());
                    ExitCode::from(2)
                }
            }
        }
        Experiment::Stale { seed, planners, program, json } => {
            let played = in_own_directory("stale", |dir| {
                let program = fleet::program(program.as_deref())?;
                fleet::before::run(&fleet::before::options(&program, dir, seed, planners as usize))
            });
            match played {
                Ok(report) => tell(json, &report, fleet::before::table(&report), true),
                Err(e) => failed(&e),
            }
        }
        Experiment::Scale(scale) => scale.run(),
        Experiment::ScaleProbe(probe) => probe.run(),
        Experiment::ScaleHollow { spec } => match scale::hollow::run(&spec) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => failed(&e),
        },
        Experiment::ScaleChild { program, args } => failed(&scale::child::become_program(&program, &args)),
        Experiment::FuzzRules { seed, sets, texts, corpus, json } => {
            fuzz_rules(seed, (sets, texts), &corpus, json)
        }
    }
}

/// A bar on a terminal, and nothing elsewhere.
fn progress(steps: u64) -> ProgressBar {
    let bar = match std::io::stderr().is_terminal() {
        true => ProgressBar::new(steps),
        false => ProgressBar::hidden(),
    };
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} {eta}") {
        bar.set_style(style);
    }
    bar
}

/// Prints a report; whether what it checks held is the exit status.
fn tell(json: bool, report: &impl serde::Serialize, table: String, held: bool) -> ExitCode {
    if json {
        println!("{}", serde_json::to_string(report).expect("a report is plain data"));
    } else {
        print!("{table}");
    }
    if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Does `work` in a directory of its own, which is gone afterwards unless it failed.
fn in_own_directory<T>(what: &str, work: impl FnOnce(&Path) -> std::io::Result<T>) -> std::io::Result<T> {
    let dir = std::env::temp_dir().join(format!("yarrowspoke-lab-{what}-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let done = work(&dir);
    if done.is_ok() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    done
}

fn failed(e: &std::io::Error) -> ExitCode {
    eprintln!("yarrowspoke-lab: {e}");
    ExitCode::from(2)
}

/// Operations by which the throughput of groups is measured.
const GROUPED_OPS: usize = 20_000;

fn play_store(options: store::Options, dir: Option<PathBuf>, json: bool) -> ExitCode {
    // What is expected of a damaged file must not fill the screen.
    std::panic::set_hook(Box::new(|_| {}));
    let bar = progress(2 * options.trials);
    let mut report = store::run(options, || bar.inc(1));
    bar.finish_and_clear();
    let dir = dir.unwrap_or_else(std::env::temp_dir).join(format!("yarrowspoke-lab-{}", std::process::id()));
    let grouped = std::fs::create_dir_all(&dir).and_then(|()| store::group_commit(&dir, GROUPED_OPS));
    let _ = std::fs::remove_dir_all(&dir);
    let slow: std::io::Result<Vec<_>> = [1, 50].iter().map(|ms| store::slow_disk(*ms, 10_000, 3)).collect();
    match (grouped, slow, store::days(30)) {
        (Ok((ratio, per_s)), Ok(slow), Ok(month)) => {
            (report.group_commit_ratio, report.grouped_per_s) = (ratio, per_s);
            (report.slow, report.month_bytes) = (slow, month);
        }
        (grouped, slow, month) => {
            eprintln!(
                "yarrowspoke-lab: {}: {:?} {:?} {:?}",
                dir.display(),
                grouped.err(),
                slow.err(),
                month.err()
            );
            return ExitCode::from(2);
        }
    }
    tell(json, &report, store::table(&report), report.held())
}

fn fuzz_rules(seed: u64, (sets, texts): (u64, u64), corpus: &Path, json: bool) -> ExitCode {
    let lines: Vec<String> = match std::fs::read_to_string(corpus) {
        Ok(text) => text.lines().map(str::to_owned).collect(),
        Err(e) => {
            eprintln!("yarrowspoke-lab: {}: {e}", corpus.display());
            return ExitCode::from(2);
        }
    };
    let bar = progress(sets + texts);
    let report = rules::fuzz::run(seed, sets, texts, &lines, || bar.inc(1));
    bar.finish_and_clear();
    let table = format!(
        "{} sets and {} texts ({} of them accepted) on {} requests, {} of which met a rule; {} failures\n{}",
        report.sets,
        report.texts,
        report.accepted,
        report.requests,
        report.met,
        report.failures.len(),
        report.failures.iter().map(|f| format!("{f}\n")).collect::<String>(),
    );
    tell(json, &report, table, report.failures.is_empty())
}

fn play_rules(options: rules::Options, json: bool) -> ExitCode {
    let bar = progress(2 * options.requests as u64);
    let report = rules::run(options, || bar.inc(1));
    bar.finish_and_clear();
    match report {
        Ok(report) => tell(json, &report, rules::table(&report), report.held()),
        Err(e) => {
            eprintln!("yarrowspoke-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

fn play_verdicts(
    seed: u64,
    trials: u64,
    json: bool,
    (only, fronts): (Option<String>, Option<u32>),
    picture: Option<PathBuf>,
    logs: bool,
) -> ExitCode {
    let named = |c: &verdicts::Cell| {
        only.as_ref().is_none_or(|o| c.name.contains(o.as_str())) && fronts.is_none_or(|f| c.fronts == f)
    };
    let cells: Vec<_> = verdicts::cells().into_iter().filter(named).collect();
    if cells.is_empty() || trials == 0 {
        eprintln!("yarrowspoke-lab: no cell of that name, or no trials: at least one of each is needed");
        return ExitCode::from(2);
    }
    let bar = progress(cells.len() as u64 * trials);
    let report = verdicts::run(&cells, seed, trials, || bar.inc(1));
    bar.finish_and_clear();
    if logs {
        for cell in &cells {
            if let Some((n, out)) = verdicts::first_wrong(cell, &cells, seed, trials) {
                eprintln!("{} ({} fronts), trial {n}: {:?}", cell.name, cell.fronts, out.end);
                out.logs.iter().for_each(|l| eprintln!("  {l}"));
            }
        }
    }
    if let Some(path) = picture {
        if let Err(e) = plot::verdicts(&report, &path) {
            eprintln!("yarrowspoke-lab: {}: {e}", path.display());
            return ExitCode::from(2);
        }
    }
    tell(json, &report, verdicts::table(&report), report.held())
}
