//! Adapter between the bench's wire protocol and yarrowspoke's decision module.

mod host;
mod settings;
mod wire;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let mut input = io::BufReader::with_capacity(1 << 16, stdin);
    let mut output = io::BufWriter::new(io::stdout().lock());
    match host::serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yarrowspoke-drill: {e}");
            ExitCode::FAILURE
        }
    }
}
