//! The yarrowspoke front: reads its configuration, serves, and ends when told to; or answers from the command line.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use yarrowspoke_front::cli::{self, Cli, Command, FleetCommand, StoreCommand};
use yarrowspoke_front::{explain, fleet_commands, logging, planner, run, store_commands};

fn main() -> ExitCode {
    // Only builds made to try the rig's checker have any; a release build knows none.
    if let Ok(name) = std::env::var("YARROWSPOKE_MUTANT") {
        yarrowspoke_fleet::mutant::enable(&name);
    }
    match Cli::parse().command {
        None => serve(None),
        Some(Command::Serve { operator }) => serve(operator),
        Some(Command::Check { file, config, fleet }) => tell(cli::check(&file, config.as_deref(), &fleet)),
        Some(Command::Store { what }) => tell(match what {
            StoreCommand::Inspect { dir } => store_commands::inspect(&dir),
            StoreCommand::Verify { dir } => store_commands::verify(&dir),
            StoreCommand::Compact { dir } => store_commands::compact(&dir),
        }),
        Some(Command::Planner { name, operator, dir, found }) => plan(&name, &operator, dir, found),
        Some(Command::Fleet { what }) => tell(match what {
            FleetCommand::Status { at, json } => fleet_commands::status(at, json),
            FleetCommand::Audit { from, asked, json } => fleet_commands::audit(&from, &asked, json),
            FleetCommand::Out { at, front, cause } => {
                fleet_commands::order(&at, &[("what", "out"), ("front", &front), ("why", &cause)])
            }
            FleetCommand::In { at, front } => {
                fleet_commands::order(&at, &[("what", "in"), ("front", &front)])
            }
            FleetCommand::Halt { at, why } => fleet_commands::order(&at, &[("what", "halt"), ("why", &why)]),
            FleetCommand::Resume { at } => fleet_commands::order(&at, &[("what", "resume")]),
            FleetCommand::Free { at, front, number } => fleet_commands::free(&at, &front, number),
            FleetCommand::Permits { at, json } => fleet_commands::permits(at, json),
            FleetCommand::Verify { dir } => fleet_commands::verify(&dir),
        }),
        Some(Command::Power { file, fleet }) => tell(cli::power(&file, &fleet)),
        Some(Command::Explain { file, request, config, all }) => {
            tell(explain::explain(&file, &request, config.as_deref(), all))
        }
    }
}

fn tell(told: cli::CommandOutput) -> ExitCode {
    if told.success {
        print!("{}", told.text);
        ExitCode::SUCCESS
    } else {
        eprint!("{}", told.text);
        ExitCode::FAILURE
    }
}

fn plan(name: &str, operator: &std::path::Path, dir: Option<PathBuf>, found: bool) -> ExitCode {
    let started = logging::start().map_err(|e| format!("logging cannot start: {e}"));
    match started.and_then(|()| planner::run(name, operator, dir, found)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yarrowspoke: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve(operator: Option<PathBuf>) -> ExitCode {
    // Danger: a signal that comes before its handler stands ends the program, so they stand before all else.
    let told = match run::SignalHandlers::install() {
        Ok(told) => told,
        Err(e) => {
            eprintln!("yarrowspoke: signals cannot be handled: {e}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(e) = logging::start() {
        eprintln!("yarrowspoke: logging cannot start: {e}");
        return ExitCode::FAILURE;
    }
    let files = run::ConfigFiles {
        config: PathBuf::from(std::env::var_os("PROXY_CONFIG").unwrap_or_default()),
        operator,
    };
    let ended = match files.read(None) {
        Ok(setup) => run::run(setup, files, told).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // Written directly: the queue of the log may not be empty before the program ends.
            eprintln!("yarrowspoke: {e}");
            ExitCode::FAILURE
        }
    }
}
