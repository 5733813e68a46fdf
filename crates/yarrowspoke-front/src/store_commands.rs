//! `yarrowspoke store`: inspects, verifies and compacts a store's directory while no front has it open.

use crate::cli::CommandOutput;
use std::fmt::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use yarrowspoke_store::disk::Dir;
use yarrowspoke_store::store::{Report, Store};

fn unix_time_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

fn output(result: Result<String, String>) -> CommandOutput {
    match result {
        Ok(text) => CommandOutput { text, success: true },
        Err(text) => CommandOutput { text: format!("{text}\n"), success: false },
    }
}

fn summary(report: &Report) -> String {
    format!(
        "incarnation {}, commit {}; {} records of {} bytes: {} with unknown outcome, {} done, {} not run; file of {} bytes\n",
        report.incarnation, report.commit, report.records, report.bytes, report.in_doubt, report.done, report.not_run, report.file_bytes
    )
}

/// Reads and checks the whole store without changing it; reports why a front would refuse it, if it would.
pub fn verify(dir: &Path) -> CommandOutput {
    let verified = || {
        let disk = Dir::open(dir).map_err(|e| e.to_string())?;
        let report = Store::verify(&disk).map_err(|e| e.to_string())?;
        Ok(format!("{}: valid\n{}", dir.display(), summary(&report)))
    };
    output(verified())
}

/// Reads and checks the store, and also prints the machines of its snapshot and the requests whose outcome is unknown.
pub fn inspect(dir: &Path) -> CommandOutput {
    let inspected = || {
        let disk = Dir::open(dir).map_err(|e| e.to_string())?;
        let (report, known, in_doubt) = Store::inspect(&disk).map_err(|e| e.to_string())?;
        let mut text = summary(&report);
        match known {
            None => text += "no list of machines stored\n",
            Some(known) => {
                let age = unix_time_us().saturating_sub(known.written_at) as f64 / 1e6;
                let _ = writeln!(text, "a list of {} machines, {age:.0} s old", known.machines.len());
                for line in &known.machines {
                    let state = if line.ready { "up" } else { "draining" };
                    let _ = writeln!(
                        text,
                        "    {} {} {} build {} {state}",
                        line.address, line.zone, line.kind, line.build
                    );
                }
            }
        }
        for (id, incarnation) in in_doubt {
            let _ = writeln!(text, "outcome unknown: {id:032x} of incarnation {incarnation}");
        }
        Ok(text)
    };
    output(inspected())
}

/// Releases the file space of expired records.
pub fn compact(dir: &Path) -> CommandOutput {
    let compacted = || {
        let disk = Dir::open(dir).map_err(|e| e.to_string())?;
        Store::verify(&disk).map_err(|e| e.to_string())?;
        let (mut store, report) =
            Store::open(&disk, 0, u64::MAX, unix_time_us()).map_err(|e| e.to_string())?;
        store.compact().map_err(|e| e.to_string())?;
        let after = store.file_bytes().map_err(|e| e.to_string())?;
        Ok(format!("{}: {} bytes before, {after} after\n", dir.display(), report.file_bytes))
    };
    output(compacted())
}
