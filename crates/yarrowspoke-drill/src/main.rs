//! Adapter between the bench's wire protocol and the decision module of yarrowspoke.

use std::io;
use std::process::ExitCode;
use yarrowspoke_drill::host;

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let mut input = io::BufReader::with_capacity(1 << 16, stdin);
    let mut output = io::BufWriter::new(io::stdout().lock());
    // A panic inside the module is reported on the wire, not on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match host::serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yarrowspoke-drill: {e}");
            ExitCode::FAILURE
        }
    }
}
