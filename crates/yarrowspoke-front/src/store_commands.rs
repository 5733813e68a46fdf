//! `yarrowspoke store`: what is in a store's directory, while no front has it open.

use crate::cli::CommandOutput;
use std::fmt::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use yarrowspoke_store::disk::Dir;
use yarrowspoke_store::store::{Report, Store};

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

fn told(done: Result<String, String>) -> CommandOutput {
    match done {
        Ok(text) => CommandOutput { text, success: true },
        Err(text) => CommandOutput { text: format!("{text}\n"), success: false },
    }
}

fn summary(r: &Report) -> String {
    format!(
        "life {}, commit {}; {} records of {} bytes: {} without an end, {} done, {} not run; file of {} bytes\n",
        r.life, r.commit, r.records, r.bytes, r.in_doubt, r.done, r.not_run, r.file_bytes
    )
}

/// Reads everything and changes nothing; why it would be refused, if it would.
pub fn verify(dir: &Path) -> CommandOutput {
    let verified = || {
        let disk = Dir::open(dir).map_err(|e| e.to_string())?;
        let report = Store::verify(&disk).map_err(|e| e.to_string())?;
        Ok(format!("{}: right\n{}", dir.display(), summary(&report)))
    };
    told(verified())
}

/// The same, with what the front knew and the requests whose end is not known.
pub fn inspect(dir: &Path) -> CommandOutput {
    let inspected = || {
        let disk = Dir::open(dir).map_err(|e| e.to_string())?;
        let (report, known, doubts) = Store::inspect(&disk).map_err(|e| e.to_string())?;
        let mut text = summary(&report);
        match known {
            None => text += "no list kept\n",
            Some(known) => {
                let age = now().saturating_sub(known.at) as f64 / 1e6;
                let _ = writeln!(text, "a list of {} machines, {age:.0} s old", known.lines.len());
                for line in &known.lines {
                    let state = if line.ready { "up" } else { "draining" };
                    let _ = writeln!(
                        text,
                        "    {} {} {} build {} {state}",
                        line.address, line.zone, line.kind, line.build
                    );
                }
            }
        }
        for (id, life) in doubts {
            let _ = writeln!(text, "without an end: {id:032x} of life {life}");
        }
        Ok(text)
    };
    told(inspected())
}

/// Gives back what the file holds of forgotten records.
pub fn compact(dir: &Path) -> CommandOutput {
    let compacted = || {
        let disk = Dir::open(dir).map_err(|e| e.to_string())?;
        Store::verify(&disk).map_err(|e| e.to_string())?;
        let (mut store, report) = Store::open(&disk, 0, u64::MAX, now()).map_err(|e| e.to_string())?;
        store.compact().map_err(|e| e.to_string())?;
        let after = store.file_bytes().map_err(|e| e.to_string())?;
        Ok(format!("{}: {} bytes before, {after} after\n", dir.display(), report.file_bytes))
    };
    told(compacted())
}
