//! The yarrowspoke front: reads its configuration, serves, and ends when told to.

use std::path::PathBuf;
use std::process::ExitCode;
use yarrowspoke_front::{config, logging, run};

fn main() -> ExitCode {
    if let Err(e) = logging::start() {
        eprintln!("yarrowspoke: logging cannot start: {e}");
        return ExitCode::FAILURE;
    }
    let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").unwrap_or_default());
    let ended = match config::load(&path) {
        Ok(config) => run::run(config, path).map_err(|e| e.to_string()),
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
