//! The command line: the subcommands and their arguments, and the commands `check` and `power`.

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
    /// Command to run; without one the front serves
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Commands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve, with the configuration file that PROXY_CONFIG names
    Serve {
        /// Operator's file
        #[arg(long)]
        operator: Option<PathBuf>,
    },
    /// Check an operator's file and report every fault with its line and column
    Check {
        /// Operator's file
        file: PathBuf,
        /// Check names in the file against the settings of this configuration
        #[arg(long)]
        config: Option<PathBuf>,
        /// Warn if the stated error rates can't be met in a fleet of this size
        #[command(flatten)]
        fleet: FleetSize,
    },
    /// Print which faults can be detected within a stage at the stated error rates, and which can't
    Power {
        /// Operator's file
        file: PathBuf,
        /// Size of the fleet
        #[command(flatten)]
        fleet: FleetSize,
    },
    /// Run a planner: collects the reports of a fleet's fronts, grants leases, and reconciles or quarantines stragglers
    Planner {
        /// Name of this planner among the members of the fleet
        #[arg(long)]
        name: String,
        /// Operator's file, with a section fleet
        #[arg(long)]
        operator: PathBuf,
        /// Directory for this planner's reports; without one they are lost when the process ends
        #[arg(long)]
        dir: Option<PathBuf>,
        /// Join the replicated log with an empty directory; only for a planner that has never taken part in it before
        #[arg(long)]
        found: bool,
    },
    /// Query a planner about its fleet, or send it an order
    Fleet {
        /// Command to run
        #[command(subcommand)]
        what: FleetCommand,
    },
    /// Inspect a store's directory while no front has it open
    Store {
        /// Command to run
        #[command(subcommand)]
        what: StoreCommand,
    },
    /// Print how the rules of an operator's file classify one request, and why
    Explain {
        /// Operator's file
        file: PathBuf,
        /// File with the request, as bytes of HTTP/1.1
        #[arg(long)]
        request: PathBuf,
        /// Bind names in the rules to the settings of this configuration
        #[arg(long)]
        config: Option<PathBuf>,
        /// Print every rule, including those that were not evaluated
        #[arg(long)]
        all: bool,
    },
}

/// Commands on a store.
#[derive(Debug, Subcommand)]
pub enum StoreCommand {
    /// Print its contents: number of records, requests with unknown outcome, the stored list of machines
    Inspect {
        /// Directory of the store
        dir: PathBuf,
    },
    /// Read and check all of it; the exit status is 1 if a front would refuse it
    Verify {
        /// Directory of the store
        dir: PathBuf,
    },
    /// Release the file space of expired records
    Compact {
        /// Directory of the store
        dir: PathBuf,
    },
}

/// Commands on a fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Print each front with its version, its last heartbeat and since when it has been stale
    Status {
        /// Address of a planner
        #[arg(long)]
        at: SocketAddr,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Print which front acted on which version when, and for which times that is unknown
    Audit {
        /// Where to read the record
        #[command(flatten)]
        from: RecordSource,
        /// Which part of it
        #[command(flatten)]
        asked: RecordFilter,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Order a front out of service; it leaves once its permit has been decided
    Out {
        /// Planner that receives the order, and on whose behalf
        #[command(flatten)]
        at: OrderArgs,
        /// Name of the front
        front: String,
        /// Reason
        #[arg(long)]
        cause: String,
    },
    /// Order a front back into service
    In {
        /// Planner that receives the order, and on whose behalf
        #[command(flatten)]
        at: OrderArgs,
        /// Name of the front
        front: String,
    },
    /// Grant no further permits; fronts that are out of service may still return
    Halt {
        /// Planner that receives the order, and on whose behalf
        #[command(flatten)]
        at: OrderArgs,
        /// Reason
        #[arg(long)]
        why: String,
    },
    /// Lift a halt
    Resume {
        /// Planner that receives the order, and on whose behalf
        #[command(flatten)]
        at: OrderArgs,
    },
    /// Withdraw the permit of a front that will not return
    Free {
        /// Planner that receives the order, and on whose behalf
        #[command(flatten)]
        at: OrderArgs,
        /// Name of the front
        front: String,
        /// Number of the permit, as `permits` prints it
        #[arg(long)]
        number: u64,
    },
    /// Print which fronts hold a permit, which wait for one, which are unreachable, and whether there is a halt
    Permits {
        /// Address of a planner
        #[arg(long)]
        at: SocketAddr,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Check the record in a planner's directory; the exit status is 1 if it has contradictions or can't be read
    Verify {
        /// Directory of the store
        dir: PathBuf,
    },
}

/// Planner that receives an order, and on whose behalf.
#[derive(Clone, Debug, Args)]
pub struct OrderArgs {
    /// Address of a planner
    #[arg(long)]
    pub at: SocketAddr,
    /// On whose behalf the order is given
    #[arg(long)]
    pub by: String,
    /// Refuse the order if more than this number of orders have been applied
    #[arg(long)]
    pub knows: Option<u64>,
}

/// Source of a record.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct RecordSource {
    /// Address of a planner
    #[arg(long)]
    pub at: Option<SocketAddr>,
    /// Directory of a planner that is not running
    #[arg(long)]
    pub dir: Option<PathBuf>,
}

/// Selects a part of a record.
#[derive(Clone, Debug, Args)]
pub struct RecordFilter {
    /// Only this front
    #[arg(long)]
    pub front: Option<String>,
    /// Only spans on this version of the list
    #[arg(long)]
    pub version: Option<u64>,
    /// Only from this Unix time on, in seconds, by the fronts' wall clocks
    #[arg(long)]
    pub from: Option<f64>,
    /// Only up to this Unix time
    #[arg(long)]
    pub to: Option<f64>,
}

/// Properties of a fleet that determine which faults can be detected.
#[derive(Clone, Copy, Debug, Args)]
pub struct FleetSize {
    /// Number of fronts
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub fronts: u32,
    /// Votes required to roll a build back
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub votes: u32,
    /// Requests per second of the whole fleet
    #[arg(long, default_value_t = 300.0)]
    pub requests: f64,
    /// Duration of a stage in seconds, counted from when its machines run
    #[arg(long, default_value_t = 3.0)]
    pub stage: f64,
    /// Number of machines
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    pub machines: u32,
}

/// Output of a command.
pub struct CommandOutput {
    /// Text to print.
    pub text: String,
    /// Whether the command succeeded: a checked file is valid, an order was carried out.
    pub success: bool,
}

/// Checks an operator's file. Error rates that can't be met are a warning and not a fault.
pub fn check(file: &Path, config: Option<&Path>, fleet: &FleetSize) -> CommandOutput {
    let failure = |e: String| CommandOutput { text: format!("{e}\n"), success: false };
    let config = match config.map(config::load).transpose() {
        Ok(config) => config,
        Err(e) => return failure(e.to_string()),
    };
    match yarrowspoke_operator::load(file) {
        Err(e) => failure(e.to_string()),
        Ok(mut operator) => {
            let path = file.display().to_string();
            if let (Some(rules), Some(config)) = (&mut operator.rules, &config) {
                if let Err(faults) = rules.bind(&classify::rule_context(&config.settings)) {
                    return failure(OperatorError::Faults { path, faults }.to_string());
                }
            }
            let mut text = format!("{path}: valid\n");
            if let Some(rules) = &operator.rules {
                write_rules_summary(&mut text, &path, rules);
            }
            if let Some(section) = &operator.fleet {
                let (fronts, planners) = (section.fleet.fronts().count(), section.fleet.planners().count());
                let _ = writeln!(
                    text,
                    "fleet: {fronts} fronts, {planners} planners, at most {} out of service",
                    section.fleet.most_out.resolve(fronts)
                );
                for (line, column, warning) in &section.warnings {
                    let _ = writeln!(text, "warning: {path}:{line}:{column}: {warning}");
                }
            }
            let rows = if operator.error_rates.is_some() { detection_rows(&operator, fleet) } else { vec![] };
            for row in rows.iter().filter(|r| r.is_in_scope && !r.detected_in_time()) {
                let _ = writeln!(
                    text,
                    "warning: {} can't be detected within a stage of {} s: {}",
                    row.fault,
                    fleet.stage,
                    row.requirement()
                );
            }
            CommandOutput { text, success: true }
        }
    }
}

fn write_rules_summary(text: &mut String, path: &str, rules: &Rules) {
    let (set, (patterns, automata)) = (&rules.set, rules.set.regexes());
    let _ = writeln!(
        text,
        "rules: {}, at most {} steps a request of {} allowed (most expensive rule: {}); {} bytes of {}, {patterns} patterns of \
         {automata} bytes among them; {} evaluated for every request; {} keys of limits",
        set.len(),
        set.cost(),
        set.bounds().max_steps,
        set.costliest(),
        set.bytes(),
        set.bounds().max_bytes,
        set.unindexed(),
        rules.max_limit_keys,
    );
    for (line, column, warning) in rules.warnings() {
        let _ = writeln!(text, "warning: {path}:{line}:{column}: {warning}");
    }
}

/// Prints which faults can be detected in a fleet of this size.
pub fn power(file: &Path, fleet: &FleetSize) -> CommandOutput {
    let operator = match yarrowspoke_operator::load(file) {
        Err(e) => return CommandOutput { text: format!("{e}\n"), success: false },
        Ok(operator) => operator,
    };
    let rates = operator.error_rates.unwrap_or(DEFAULT_ERROR_RATES);
    let mut text = format!(
        "{} fronts, {} votes, {} requests a second, {} machines; false rollbacks {}, missed faults {}\n\
         expected time or number of machines for a fault that begins with the build; half of the builds take longer\n\n",
        fleet.fronts, fleet.votes, fleet.requests, fleet.machines, rates.false_rollback, rates.missed_fault
    );
    for row in detection_rows(&operator, fleet) {
        let note = if row.detected_in_time() { "within a stage" } else { "not within a stage" };
        let _ = writeln!(text, "{:<44} {:<34} {note}", row.fault, row.requirement());
    }
    CommandOutput { text, success: true }
}

/// A fault of a certain size, and what is required to detect it.
struct DetectionRow {
    fault: String,
    /// Whether the fault has the stated size or more.
    is_in_scope: bool,
    seconds: Option<f64>,
    /// Number of machines of the build that are required, `None` if no number is enough, and how many there are.
    machines: Option<(Option<usize>, u32)>,
    stage_seconds: f64,
}

impl DetectionRow {
    fn detected_in_time(&self) -> bool {
        match self.machines {
            Some((required, present)) => required.is_some_and(|n| n <= present as usize),
            None => self.seconds.is_some_and(|s| s <= self.stage_seconds),
        }
    }

    fn requirement(&self) -> String {
        match (self.machines, self.seconds) {
            (Some((Some(required), present)), _) => format!("{required} machines of it, {present} present"),
            (Some((None, present)), _) => format!("too few old machines, {present} present"),
            (None, Some(s)) => format!("{s:.1} s"),
            (None, None) => "never from this front's evidence".to_owned(),
        }
    }
}

/// Shares of the fleet that a build has in a stage: an example of an early and one of a late stage.
const STAGE_SHARES: [f64; 2] = [0.08, 0.6];

fn detection_rows(operator: &Operator, fleet: &FleetSize) -> Vec<DetectionRow> {
    let rates: ErrorRates = operator.error_rates.unwrap_or(DEFAULT_ERROR_RATES);
    let settings = module_settings(rates, fleet);
    let (design, alarms) = judge_design(&settings);
    let spent = -(design.weights[3] * (1.0 - design.onsets.weights.0 - design.onsets.weights.1)).ln()
        + (design.effects.len() as f64).ln();
    let mut rows = vec![];
    for share in STAGE_SHARES {
        for fault in [
            rates.min_failure_increase / 2.0,
            rates.min_failure_increase,
            2.0 * rates.min_failure_increase,
            0.25,
            0.6,
        ] {
            let old_to_new = (1.0 - share) / share;
            let required =
                outcomes_needed(fault, design.failure_floor, &design.effects, old_to_new, alarms[0] + spent);
            let front_rate = fleet.requests / f64::from(fleet.fronts) * share;
            rows.push(DetectionRow {
                fault: format!(
                    "fails {:.1} % more, on {:.0} % of machines",
                    100.0 * raised_share(0.0, fault),
                    100.0 * share
                ),
                is_in_scope: fault >= rates.min_failure_increase,
                seconds: required.map(|n| n / front_rate),
                machines: None,
                stage_seconds: fleet.stage,
            });
        }
        for slowdown in [rates.min_slowdown, 2.0 * rates.min_slowdown] {
            let present = (f64::from(fleet.machines) * share).floor().max(1.0) as u32;
            let sample = Fleet {
                tolerance: design.slowdown.0,
                spread: design.pace.spread,
                earlier: (f64::from(fleet.machines) - f64::from(present)).max(2.0),
                faulty_one_in: design.faulty_one_in,
            };
            let required =
                machines_needed(slowdown, sample, (-alarms[2]).exp() / 2.0, rates.missed_fault, 10_000);
            rows.push(DetectionRow {
                fault: format!("{slowdown:.2} times as slow, on {:.0} % of machines", 100.0 * share),
                is_in_scope: true,
                seconds: None,
                machines: Some((required, present)),
                stage_seconds: fleet.stage,
            });
        }
    }
    rows
}

fn module_settings(rates: ErrorRates, fleet: &FleetSize) -> Settings {
    let mut settings = yarrowspoke_settings::from_value(&serde_json::json!({}))
        .map(|s| s.module)
        .expect("empty settings can be read");
    (settings.fronts, settings.release.rollback_votes, settings.error_rates) =
        (fleet.fronts, fleet.votes, Some(rates));
    settings
}
