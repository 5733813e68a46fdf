//! A real front alone before lists of each length: when it is ready, what it takes, and what it adds to a request.

use super::clients::Request;
use super::control::{at_size, note, slope, spec, Plan, BELOW_LIMIT, COME_UP, REFUSED_AFTER};
use super::estate::Extent;
use super::report::{Origin, Report};
use super::run::Options;
use super::site::{Role, Site, Spec};
use super::target::{self, Budget};
use super::usage::Usage;
use std::cell::Cell;
use std::io;
use std::time::Instant;

/// Requests a second at the size to come: the peak over all fronts.
const PEAK_RATE: f64 = 210.0;
/// Calls for the list that a real front tells to have failed before that counts as a refusal.
const REFUSALS: usize = 8;

/// What a real front takes and adds by the length of its list.
struct Alone {
    served_s: f64,
    /// Resident at the end, and the most that was.
    rss_mb: f64,
    peak_mb: f64,
    core: f64,
    added_ms: [f64; 2],
    requests: usize,
}

fn percentile(sorted: &[f64], part: f64) -> f64 {
    let at = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(at.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// One real front before so many rows, at the peak's rate; `None` if it never serves.
fn alone(options: &Options, plan: &Plan, rows: usize, seen: &mut Report) -> io::Result<Option<Alone>> {
    let base = spec(options, plan, &format!("rows-{rows}"));
    let extent = Extent { machines: rows, ..base.extent };
    let dir = base.dir.clone();
    let mut site = Site::start(Spec { real: 1, real_rate: PEAK_RATE, planners: 3, extent, ..base })?;
    let answers = |site: &Site| (0..site.planners.len()).all(|p| site.answers(p));
    site.wait(COME_UP, answers).ok_or_else(|| io::Error::other("planners do not answer"))?;
    // Started again beside planners that are there, as a restarted one is.
    site.restart_real()?;
    let (begun, refused) = (Instant::now(), Cell::new(false));
    let refuses = |site: &Site| {
        let log = site.fronts[0].process.logged();
        let failed = log.lines().filter(|l| l.contains("discovery: ")).count();
        begun.elapsed() > REFUSED_AFTER && failed >= REFUSALS
    };
    let served = site.wait(COME_UP, |site| {
        let serves = site.serves(0);
        refused.set(!serves && refuses(site));
        serves || refused.get()
    });
    let served_s = match served {
        Some(_) if refused.get() => {
            note(seen, &site);
            return Ok(None);
        }
        Some(served_s) => served_s,
        None => return Err(io::Error::other(format!("a real front before {rows} rows serves nothing"))),
    };
    site.drive()?;
    std::thread::sleep(plan.settle);
    let taken = |site: &Site| -> Usage {
        site.usage().iter().find(|u| u.0 == Role::Front).map_or(Usage::default(), |u| u.2)
    };
    let (before, begun) = (taken(&site), Instant::now());
    site.machines.trace();
    std::thread::sleep(plan.traced);
    let more = taken(&site) - before;
    let core = more.cpu_s / begun.elapsed().as_secs_f64();
    let (rss_mb, peak_mb) = (before.rss_mb + more.rss_mb, more.peak_mb);
    let passed = site.machines.traced();
    site.rest();
    let added = |r: &Request| {
        let (came, went) = passed.get(&r.id)?;
        let (sent, (answered, 200)) = (r.sent?, r.answered?) else { return None };
        // Sent twice, the machine's times may be of another attempt than the one that was answered.
        let to = came.checked_duration_since(sent)?;
        let back = answered.checked_duration_since(*went)?;
        Some(1e3 * (to + back).as_secs_f64())
    };
    let mut all: Vec<f64> = site.clients.ended().iter().filter_map(added).collect();
    all.sort_unstable_by(f64::total_cmp);
    note(seen, &site);
    seen.failures.extend(site.ended().into_iter().map(|e| format!("ended by itself: {e}")));
    if all.is_empty() {
        seen.not_measured.push(format!("a real front before {rows} rows: none was served while traced"));
    }
    drop(site);
    let _ = std::fs::remove_dir_all(dir);
    let added_ms = [percentile(&all, 0.5), percentile(&all, 0.99)];
    Ok(Some(Alone { served_s, rss_mb, peak_mb, core, added_ms, requests: all.len() }))
}

/// Lists of each length, and what is measured before them.
pub(super) fn measure(
    options: &Options,
    plan: &Plan,
    seen: &mut Report,
    tick: &dyn Fn(&str),
) -> io::Result<()> {
    let mut sizes = plan.rows.clone();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let mut points: Vec<(f64, Alone)> = Vec::new();
    while !sizes.is_empty() {
        let rows = sizes.remove(0);
        tick(&format!("control: a real front before {rows} machines"));
        match alone(options, plan, rows, seen)? {
            Some(alone) => points.push((rows as f64, alone)),
            None => {
                seen.findings.push(format!(
                    "front: never ready at {rows} machines: a real front serves nothing, its calls for the list fail"
                ));
                at_size(
                    seen,
                    ("front", &format!("ready at {rows} machines"), "1 = yes"),
                    (0.0, None),
                    (Origin::Measured, "no request served".to_owned()),
                    "missing: a whole list beyond LIST_LIMIT is refused (yarrowspoke-front/src/net/list.rs)",
                );
                if rows > BELOW_LIMIT && !sizes.contains(&BELOW_LIMIT) {
                    sizes.insert(0, BELOW_LIMIT);
                }
            }
        }
    }
    points.reverse();
    let over = format!("machines (a real front, {PEAK_RATE} requests/s)");
    type Of = fn(&Alone) -> f64;
    let quantities: [(&str, &str, Of); 6] = [
        ("ready", "s", |a| a.served_s),
        ("memory", "MB", |a| a.rss_mb),
        ("memory, the most", "MB", |a| a.peak_mb),
        ("cpu", "core", |a| a.core),
        ("added p50", "ms", |a| a.added_ms[0]),
        ("added p99", "ms", |a| a.added_ms[1]),
    ];
    for (quantity, unit, of) in quantities {
        let values = points.iter().map(|(size, a)| (*size, of(a))).collect();
        slope(seen, ("front", quantity, unit, &over), values);
    }
    let Some((size, last)) = points.last().filter(|p| p.0 >= BELOW_LIMIT as f64) else { return Ok(()) };
    let told =
        |what: &str| (Origin::Measured, format!("{what} at {size} machines, {} requests", last.requests));
    let subset = "missing: endpoint subset; the whole list is held and looked at";
    at_size(
        seen,
        ("front", "added p99", "ms"),
        (last.added_ms[1], Some((Budget::Added, target::ADDED_MS))),
        told("from a client's last byte to the machine's last read, plus back"),
        subset,
    );
    at_size(
        seen,
        ("front", "memory, the most", "MB"),
        (last.peak_mb, Some((Budget::FrontMemory, target::FRONT_MB))),
        told("most resident"),
        subset,
    );
    at_size(
        seen,
        ("front", "ready", "s"),
        (last.served_s, Some((Budget::Ready, target::READY_S))),
        told("from its start to the first request served"),
        "whole list from discovery (yarrowspoke-front/src/net/list.rs)",
    );
    Ok(())
}
