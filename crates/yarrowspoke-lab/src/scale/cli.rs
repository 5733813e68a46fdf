//! The words of `yarrowspoke-lab scale`, and what is refused before anything starts.

use super::bounds::{refuse, Bounds, Limits};
use super::page;
use super::play::{play, table, Part};
use super::plot;
use super::pure::probe;
use super::report::Report;
use super::run::{Options, Sizes};
use super::target;
use crate::fleet;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// How a scale run is asked for. Figures are taken as text, so that a bad one is refused in one line.
#[derive(Args, Clone, Debug)]
pub struct Scale {
    /// Draws everything
    #[arg(long, default_value = "1")]
    seed: String,
    /// The short run
    #[arg(long)]
    quick: bool,
    /// The smallest run, that of CI
    #[arg(long)]
    small: bool,
    /// With the form paced in the section fleet, and a lease that is long enough for it
    #[arg(long)]
    paced: bool,
    /// Only one part: pure, control or incidents
    #[arg(long)]
    only: Option<String>,
    /// Numbers of fronts, by commas
    #[arg(long)]
    fronts: Option<String>,
    /// Numbers of machines, by commas
    #[arg(long)]
    machines: Option<String>,
    /// Numbers of routes, by commas
    #[arg(long)]
    routes: Option<String>,
    /// Numbers of tenants, by commas
    #[arg(long)]
    tenants: Option<String>,
    /// Requests a second a front, by commas
    #[arg(long)]
    rates: Option<String>,
    /// The first port listened on; the system's choice if none
    #[arg(long)]
    port: Option<String>,
    /// The program; the one beside this one if none
    #[arg(long)]
    program: Option<PathBuf>,
    /// Where files of the run go, gone afterwards; the system's directory for such files if none
    #[arg(long)]
    dir: Option<PathBuf>,
    /// Print one JSON object
    #[arg(long)]
    json: bool,
    /// Write the JSON object here as well
    #[arg(long)]
    out: Option<PathBuf>,
    /// Draw each slope against its budget into this directory, as SVG
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Play nothing: write the tables of the page on capacity from a run's object
    #[arg(long)]
    page: bool,
    /// That object
    #[arg(long, default_value = "docs/measurements/scale.json", requires = "page")]
    json_file: PathBuf,
    /// The object of a run without the form paced, for before and after; scale-plain.json beside the other if none
    #[arg(long, requires = "page")]
    plain_file: Option<PathBuf>,
    /// That page
    #[arg(long, default_value = "docs/CAPACITY.md", requires = "page")]
    to: PathBuf,
}

/// A probe of memory, in a process of its own.
#[derive(Args, Clone, Debug)]
pub struct Probe {
    /// What is built
    what: String,
    /// Its sizes
    sizes: Vec<usize>,
}

/// Largest sizes that a run takes on: some beyond the size to come.
const MOST: usize = 20;

fn sizes(what: &str, text: Option<&String>, most: usize, into: &mut Vec<usize>) -> Result<(), String> {
    let Some(text) = text else { return Ok(()) };
    let mut all = Vec::new();
    for part in text.split(',') {
        let n: usize =
            part.trim().parse().map_err(|_| format!("--{what}: found {part:?}, expected a whole number"))?;
        if !(1..=most).contains(&n) {
            return Err(format!("--{what}: found {n}, expected 1 to {most}"));
        }
        all.push(n);
    }
    (all.len() <= MOST)
        .then_some(())
        .ok_or(format!("--{what}: {} sizes, expected at most {MOST}", all.len()))?;
    all.sort_unstable();
    all.dedup();
    *into = all;
    Ok(())
}

/// A directory that can be written to, made if it is not there.
fn writable(what: &str, dir: &Path) -> Result<(), String> {
    let mark = dir.join(format!(".scale-{}", std::process::id()));
    let tried = std::fs::create_dir_all(dir).and_then(|()| std::fs::write(&mark, b""));
    let _ = std::fs::remove_file(&mark);
    tried.map_err(|e| format!("--{what} {}: cannot be written: {e}", dir.display()))
}

fn refused(why: &str) -> ExitCode {
    eprintln!("yarrowspoke-lab: scale: {why}");
    ExitCode::from(2)
}

impl Scale {
    fn read(&self) -> Result<(Options, Option<Part>), String> {
        let seed = self
            .seed
            .parse()
            .map_err(|_| format!("--seed: found {:?}, expected a whole number", self.seed))?;
        let only = match self.only.as_deref() {
            None => None,
            Some("pure") => Some(Part::Pure),
            Some("control") => Some(Part::Control),
            Some("incidents") => Some(Part::Incidents),
            Some(other) => {
                return Err(format!("--only: found {other:?}, expected pure, control or incidents"))
            }
        };
        let mut of = if self.small { Sizes::small() } else { Sizes::whole() };
        sizes("fronts", self.fronts.as_ref(), 2 * target::FRONTS, &mut of.fronts)?;
        sizes("machines", self.machines.as_ref(), 2 * target::MACHINES, &mut of.machines)?;
        sizes("routes", self.routes.as_ref(), yarrowspoke_expr::bounds::MAX_RULES, &mut of.routes)?;
        sizes("tenants", self.tenants.as_ref(), 10 * target::TENANTS, &mut of.tenants)?;
        let mut rates = Vec::new();
        sizes("rates", self.rates.as_ref(), 10_000, &mut rates)?;
        if !rates.is_empty() {
            of.rates = rates.into_iter().map(|r| r as f64).collect();
        }
        let port = match &self.port {
            None => None,
            Some(text) => Some(
                text.parse::<u16>()
                    .ok()
                    .filter(|p| *p > 0)
                    .ok_or(format!("--port: found {text:?}, expected 1 to 65535"))?,
            ),
        };
        let base = self.dir.clone().unwrap_or_else(std::env::temp_dir);
        writable("dir", &base)?;
        if let Some(plot) = &self.plot {
            writable("plot", plot)?;
        }
        if let Some(out) = &self.out {
            writable("out", out.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new(".")))?;
        }
        let program = match only {
            Some(Part::Pure) => PathBuf::new(),
            _ => fleet::program(self.program.as_deref()).map_err(|e| e.to_string())?,
        };
        let lab = std::env::current_exe().map_err(|e| e.to_string())?;
        let dir = base.join(format!("yarrowspoke-lab-scale-{}", std::process::id()));
        let (quick, small) = (self.quick || self.small, self.small);
        let paced = self.paced;
        Ok((Options { program, lab, dir, seed, quick, small, paced, sizes: of, port }, only))
    }

    /// Plays, prints, and says by its status whether all checks held.
    pub fn run(&self) -> ExitCode {
        if self.page {
            let beside = || self.json_file.with_file_name("scale-plain.json");
            let plain = self.plain_file.clone().unwrap_or_else(beside);
            return match page::write(&self.json_file, &plain, &self.to) {
                Ok(()) => ExitCode::SUCCESS,
                Err(why) => refused(&why),
            };
        }
        match self.played() {
            Ok(report) => match report.held() {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            },
            Err(why) => refused(&why),
        }
    }

    fn played(&self) -> Result<Report, String> {
        let (options, only) = self.read()?;
        if only != Some(Part::Pure) {
            // The pure part starts no process but probes, and none of the program.
            refuse(&options)?;
        }
        let held = Bounds::hold(&options.lab, Limits::of(&options)).map_err(|e| e.to_string())?;
        std::fs::create_dir_all(&options.dir).map_err(|e| format!("{}: {e}", options.dir.display()))?;
        let bar = match std::io::stderr().is_terminal() {
            true => ProgressBar::new_spinner(),
            false => ProgressBar::hidden(),
        };
        if let Ok(style) = ProgressStyle::with_template("{spinner} {elapsed} {pos} steps  {wide_msg}") {
            bar.set_style(style);
        }
        let told = |what: &str| {
            bar.set_message(what.to_owned());
            bar.inc(1);
        };
        let played = play(&options, only, &told);
        let peaks = held.peaks();
        drop(held);
        bar.finish_and_clear();
        let _ = std::fs::remove_dir_all(&options.dir);
        let mut report = played.map_err(|e| e.to_string())?;
        report.processes = report.processes.max(peaks.processes);
        report.peak_memory_mb = report.peak_memory_mb.max(peaks.memory_mb);
        let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())? + "\n";
        if let Some(out) = &self.out {
            std::fs::write(out, &text).map_err(|e| format!("{}: {e}", out.display()))?;
        }
        if let Some(dir) = &self.plot {
            plot::draw(&report, dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        match self.json {
            true => print!("{text}"),
            false => print!("{}", table(&report)),
        }
        Ok(report)
    }
}

impl Probe {
    /// Builds, prints what it took, and ends.
    pub fn run(&self) -> ExitCode {
        match probe::here(&self.what, &self.sizes).map(|grown| serde_json::to_string(&grown)) {
            Some(Ok(text)) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            _ => {
                eprintln!("yarrowspoke-lab: scale-probe: no probe of {:?}", self.what);
                ExitCode::from(2)
            }
        }
    }
}
