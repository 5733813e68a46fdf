//! Memory by a process of its own: it builds one structure, says what it holds, and ends.

use super::{agreed, links, list, module, rules};
use crate::scale::run::Options;
use serde::{Deserialize, Serialize};
use std::io;
use std::process::Command;

/// What a probe's structure takes.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Grown {
    /// Resident memory after it was built, less that before, MB.
    pub resident_mb: f64,
    /// The largest while it was built, less that before, MB.
    pub peak_mb: f64,
}

/// A line of this process's status, MB.
fn status(field: &str) -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(field));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

/// Builds what is asked for in this process, and what it took. Nothing for what there is no probe for.
pub fn here(what: &str, sizes: &[usize]) -> Option<Grown> {
    let size = |n: usize| sizes.get(n).copied().unwrap_or(0);
    match what {
        "module" => Some(grows(|| (), |()| module::Drive::new(size(0), size(1), 1))),
        "rules" => Some(grows(|| rules::source(size(0), 1), |source| rules::compiled(source).ok())),
        "list" => Some(grows(|| list::text(size(0)), |text| list::decoded(text))),
        "member" => Some(grows(|| links::rows(size(0)), |rows| links::listed_member(rows.clone()))),
        "record" => Some(grows(|| (), |()| links::kept(size(0), size(1)))),
        "agreed" => Some(grows(|| agreed::entries(size(0)), |entries| agreed::held(entries))),
        _ => None,
    }
}

fn grows<A, B>(before: impl FnOnce() -> A, build: impl FnOnce(&A) -> B) -> Grown {
    let input = before();
    let (from, peak) = (status("VmRSS:"), status("VmHWM:"));
    let built = std::hint::black_box(build(&input));
    let (resident, highest) = (status("VmRSS:") - from, status("VmHWM:"));
    // A peak from before, while the input was made, says nothing of the building.
    let peak_mb = if highest > peak { highest - from } else { resident };
    let grown = Grown { resident_mb: resident.max(0.0), peak_mb: peak_mb.max(0.0) };
    drop(built);
    grown
}

/// The same in a fresh process.
pub fn grown(options: &Options, what: &str, sizes: &[usize]) -> io::Result<Grown> {
    let sizes = sizes.iter().map(ToString::to_string);
    let done = Command::new(&options.lab).args(["scale-probe", what]).args(sizes).output()?;
    if !done.status.success() {
        let why = String::from_utf8_lossy(&done.stderr);
        return Err(io::Error::other(format!("probe of {what}: {}", why.trim())));
    }
    serde_json::from_slice(&done.stdout).map_err(io::Error::other)
}
