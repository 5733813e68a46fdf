//! The command line: serving, and what can be asked without serving.

use crate::{classify, config};
use clap::{Args, Parser, Subcommand};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use yarrowspoke::interface::{ErrorRates, Settings};
use yarrowspoke::rules::{judge_design, DEFAULT_ERROR_RATES};
use yarrowspoke_operator::rules::Rules;
use yarrowspoke_operator::{Operator, OperatorError};
use yarrowspoke_verdict::failures::raised_share;
use yarrowspoke_verdict::power::{machines_needed, outcomes_needed, Fleet};

/// A front that shifts calls between an old and a new build.
#[derive(Debug, Parser)]
#[command(
    name = "yarrowspoke",
    version,
    about = "Shifts calls between an old and a new build of a server fleet"
)]
pub struct Cli {
    /// What to do; serves if none
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What the program can do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve by the configuration that PROXY_CONFIG names
    Serve {
        /// The operator's file
        #[arg(long)]
        operator: Option<PathBuf>,
    },
    /// Check an operator's file and tell every fault with its place
    Check {
        /// The operator's file
        file: PathBuf,
        /// Hold names in it against the settings of this configuration
        #[arg(long)]
        config: Option<PathBuf>,
        /// Warn where the stated rates can't be honoured in such a fleet
        #[command(flatten)]
        fleet: FleetSize,
    },
    /// Tell which faults can be found within a stage at the stated rates, and which can't
    Power {
        /// The operator's file
        file: PathBuf,
        /// The fleet
        #[command(flatten)]
        fleet: FleetSize,
    },
    /// Run a planner: gathers what the fronts of a fleet report, grants leases, reconciles stragglers or quarantines them
    Planner {
        /// Its name among the members
        #[arg(long)]
        name: String,
        /// The operator's file, with a section fleet
        #[arg(long)]
        operator: PathBuf,
        /// A directory of its own for the reports; without one they are gone with the process
        #[arg(long)]
        dir: Option<PathBuf>,
        /// The directory is new, and this planner never took part in an agreement: it may do so now
        #[arg(long)]
        found: bool,
    },
    /// Ask what a planner knows of its fleet
    Fleet {
        /// What to do
        #[command(subcommand)]
        what: FleetCommand,
    },
    /// Look into a store's directory while no front has it open
    Store {
        /// What to do
        #[command(subcommand)]
        what: StoreCommand,
    },
    /// Tell what the rules of an operator's file make of one request, and why
    Explain {
        /// The operator's file
        file: PathBuf,
        /// The request, as bytes of HTTP/1.1
        #[arg(long)]
        request: PathBuf,
        /// Bind names to the settings of this configuration
        #[arg(long)]
        config: Option<PathBuf>,
        /// Tell of every rule, those that were not looked at included
        #[arg(long)]
        all: bool,
    },
}

/// What can be done with a store.
#[derive(Debug, Subcommand)]
pub enum StoreCommand {
    /// Tell what is in it: records, requests without an end, the list kept
    Inspect {
        /// The directory
        dir: PathBuf,
    },
    /// Read and check everything; exit status 1 if a front would refuse it
    Verify {
        /// The directory
        dir: PathBuf,
    },
    /// Give back what its file holds of forgotten records
    Compact {
        /// The directory
        dir: PathBuf,
    },
}

/// What can be asked of a fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Who is there, on what, how old, since when behind
    Status {
        /// A planner's address
        #[arg(long)]
        at: SocketAddr,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Which front acted on which version when, and what of that is unknown
    Audit {
        /// Where the record is
        #[command(flatten)]
        from: RecordSource,
        /// What of it
        #[command(flatten)]
        asked: RecordFilter,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Order a front out of service; it goes once a permit is agreed on
    Out {
        /// The planner that is told, and in whose name
        #[command(flatten)]
        at: OrderArgs,
        /// The front
        front: String,
        /// Why
        #[arg(long)]
        cause: String,
    },
    /// Order a front back into service
    In {
        /// The planner that is told, and in whose name
        #[command(flatten)]
        at: OrderArgs,
        /// The front
        front: String,
    },
    /// Nothing new goes out from now on; who is out may come back
    Halt {
        /// The planner that is told, and in whose name
        #[command(flatten)]
        at: OrderArgs,
        /// Why
        #[arg(long)]
        why: String,
    },
    /// Lift a halt
    Resume {
        /// The planner that is told, and in whose name
        #[command(flatten)]
        at: OrderArgs,
    },
    /// Take a permit from a front that will not come back
    Free {
        /// The planner that is told, and in whose name
        #[command(flatten)]
        at: OrderArgs,
        /// The front
        front: String,
        /// The permit's number, as `permits` tells it
        #[arg(long)]
        number: u64,
    },
    /// Who may be out, who waits, who is lost, and whether there is a halt
    Permits {
        /// A planner's address
        #[arg(long)]
        at: SocketAddr,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Check the record in a planner's directory; exit status 1 if anything contradicts or cannot be read
    Verify {
        /// The directory
        dir: PathBuf,
    },
}

/// Who is given an order.
#[derive(Clone, Debug, Args)]
pub struct OrderArgs {
    /// A planner's address
    #[arg(long)]
    pub at: SocketAddr,
    /// In whose name
    #[arg(long)]
    pub by: String,
    /// Refuse it if more than so many orders have been followed
    #[arg(long)]
    pub knows: Option<u64>,
}

/// Where a record is.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct RecordSource {
    /// A planner's address
    #[arg(long)]
    pub at: Option<SocketAddr>,
    /// The directory of a planner that does not run
    #[arg(long)]
    pub dir: Option<PathBuf>,
}

/// What part of a record is asked for.
#[derive(Clone, Debug, Args)]
pub struct RecordFilter {
    /// Only this front
    #[arg(long)]
    pub front: Option<String>,
    /// Only spans on this index of the list
    #[arg(long)]
    pub version: Option<u64>,
    /// Only from this Unix time on, in seconds, by the fronts' wall clocks
    #[arg(long)]
    pub from: Option<f64>,
    /// Only up to this one
    #[arg(long)]
    pub to: Option<f64>,
}

/// A fleet, as far as it decides what can be found.
#[derive(Clone, Copy, Debug, Args)]
pub struct FleetSize {
    /// Fronts
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub fronts: u32,
    /// Votes that send a build back
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub votes: u32,
    /// Requests a second of the whole fleet
    #[arg(long, default_value_t = 300.0)]
    pub requests: f64,
    /// Seconds for which a stage lasts once its machines run
    #[arg(long, default_value_t = 3.0)]
    pub stage: f64,
    /// Machines
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    pub machines: u32,
}

/// What was asked for, as text, and whether it is well.
pub struct CommandOutput {
    /// What to print.
    pub text: String,
    /// The file is right.
    pub success: bool,
}

/// Checks a file; what can't be honoured is a warning, no fault.
pub fn check(file: &Path, config: Option<&Path>, fleet: &FleetSize) -> CommandOutput {
    let wrong = |e: String| CommandOutput { text: format!("{e}\n"), success: false };
    let config = match config.map(config::load).transpose() {
        Ok(config) => config,
        Err(e) => return wrong(e.to_string()),
    };
    match yarrowspoke_operator::load(file) {
        Err(e) => wrong(e.to_string()),
        Ok(mut operator) => {
            let path = file.display().to_string();
            if let (Some(rules), Some(config)) = (&mut operator.rules, &config) {
                if let Err(faults) = rules.bind(&classify::rule_context(&config.settings)) {
                    return wrong(OperatorError::Faults { path, faults }.to_string());
                }
            }
            let mut text = format!("{path}: right\n");
            if let Some(rules) = &operator.rules {
                told_of_rules(&mut text, &path, rules);
            }
            if let Some(section) = &operator.fleet {
                let (fronts, planners) = (section.fleet.fronts().count(), section.fleet.planners().count());
                let _ = writeln!(
                    text,
                    "fleet: {fronts} fronts, {planners} planners, at most {} out",
                    section.fleet.most_out.resolve(fronts)
                );
                for (line, column, warning) in &section.warnings {
                    let _ = writeln!(text, "warning: {path}:{line}:{column}: {warning}");
                }
            }
            let rows = if operator.verdicts.is_some() { rows(&operator, fleet) } else { vec![] };
            for row in rows.iter().filter(|r| r.counts && !r.found_in_time()) {
                let _ = writeln!(
                    text,
                    "warning: {} can't be found within a stage's {} s: {}",
                    row.fault,
                    fleet.stage,
                    row.said()
                );
            }
            CommandOutput { text, success: true }
        }
    }
}

fn told_of_rules(text: &mut String, path: &str, rules: &Rules) {
    let (set, (patterns, automata)) = (&rules.set, rules.set.regexes());
    let _ = writeln!(
        text,
        "rules: {}, at most {} steps a request of {} allowed (dearest: {}); {} bytes of {}, {patterns} patterns of \
         {automata} bytes among them; {} looked at for every request; {} keys of limits",
        set.len(),
        set.price(),
        set.bounds().steps,
        set.dearest(),
        set.bytes(),
        set.bounds().bytes,
        set.unfound(),
        rules.buckets,
    );
    for (line, column, warning) in rules.warnings() {
        let _ = writeln!(text, "warning: {path}:{line}:{column}: {warning}");
    }
}

/// Tells what can be found.
pub fn power(file: &Path, fleet: &FleetSize) -> CommandOutput {
    let operator = match yarrowspoke_operator::load(file) {
        Err(e) => return CommandOutput { text: format!("{e}\n"), success: false },
        Ok(operator) => operator,
    };
    let v = operator.verdicts.unwrap_or(DEFAULT_ERROR_RATES);
    let mut text = format!(
        "{} fronts, {} votes, {} requests a second, {} machines; false alarms {}, misses {}\n\
         expected, for a fault that begins with the build; half of the builds take longer\n\n",
        fleet.fronts, fleet.votes, fleet.requests, fleet.machines, v.false_rollback, v.missed_fault
    );
    for row in rows(&operator, fleet) {
        let mark = if row.found_in_time() { "within a stage" } else { "not within a stage" };
        let _ = writeln!(text, "{:<44} {:<34} {mark}", row.fault, row.said());
    }
    CommandOutput { text, success: true }
}

struct Row {
    fault: String,
    /// It is of the stated size or above.
    counts: bool,
    seconds: Option<f64>,
    /// Machines of the build that are needed, if any number does, and those that are there.
    machines: Option<(Option<usize>, u32)>,
    limit: f64,
}

impl Row {
    fn found_in_time(&self) -> bool {
        match self.machines {
            Some((needed, there)) => needed.is_some_and(|n| n <= there as usize),
            None => self.seconds.is_some_and(|s| s <= self.limit),
        }
    }

    fn said(&self) -> String {
        match (self.machines, self.seconds) {
            (Some((Some(needed), there)), _) => format!("{needed} machines of it, {there} there"),
            (Some((None, there)), _) => format!("too few earlier machines, {there} there"),
            (None, Some(s)) => format!("{s:.1} s"),
            (None, None) => "never by this front's evidence".to_owned(),
        }
    }
}

/// Parts of the fleet that the stages give to a build, as examples of an early and a late one.
const PARTS: [f64; 2] = [0.08, 0.6];

fn rows(operator: &Operator, fleet: &FleetSize) -> Vec<Row> {
    let v: ErrorRates = operator.verdicts.unwrap_or(DEFAULT_ERROR_RATES);
    let settings = module_settings(v, fleet);
    let (design, alarms) = judge_design(&settings);
    let spent = -(design.weights[3] * (1.0 - design.onsets.weights.0 - design.onsets.weights.1)).ln()
        + (design.effects.len() as f64).ln();
    let mut out = vec![];
    for part in PARTS {
        for fault in
            [v.min_failure_increase / 2.0, v.min_failure_increase, 2.0 * v.min_failure_increase, 0.25, 0.6]
        {
            let beside = (1.0 - part) / part;
            let needed =
                outcomes_needed(fault, design.failure_floor, &design.effects, beside, alarms[0] + spent);
            let each = fleet.requests / f64::from(fleet.fronts) * part;
            out.push(Row {
                fault: format!(
                    "fails {:.1} % more, on {:.0} % of places",
                    100.0 * raised_share(0.0, fault),
                    100.0 * part
                ),
                counts: fault >= v.min_failure_increase,
                seconds: needed.map(|n| n / each),
                machines: None,
                limit: fleet.stage,
            });
        }
        for times in [v.min_slowdown, 2.0 * v.min_slowdown] {
            let there = (f64::from(fleet.machines) * part).floor().max(1.0) as u32;
            let world = Fleet {
                tolerance: design.slowdown.0,
                spread: design.pace.spread,
                earlier: (f64::from(fleet.machines) - f64::from(there)).max(2.0),
                faulty_one_in: design.faulty_one_in,
            };
            let needed = machines_needed(times, world, (-alarms[2]).exp() / 2.0, v.missed_fault, 10_000);
            out.push(Row {
                fault: format!("{times:.2} times as slow, on {:.0} % of places", 100.0 * part),
                counts: true,
                seconds: None,
                machines: Some((needed, there)),
                limit: fleet.stage,
            });
        }
    }
    out
}

fn module_settings(v: ErrorRates, fleet: &FleetSize) -> Settings {
    let mut settings = yarrowspoke_settings::from_value(&serde_json::json!({}))
        .map(|s| s.module)
        .expect("settings of which nothing is said are readable");
    (settings.fronts, settings.release.rollback_votes, settings.error_rates) =
        (fleet.fronts, fleet.votes, Some(v));
    settings
}
