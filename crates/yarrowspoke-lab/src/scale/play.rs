//! A scale run from its options to its report.

use super::report::{Report, VERSION};
use super::run::{Options, Sizes};
use super::{at_size, control, incidents, planted, pure};
use std::fmt::Write;
use std::io;

/// A part that can be played by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The pure cores' slopes.
    Pure,
    /// Hollow and real processes: slopes of control.
    Control,
    /// Bad days.
    Incidents,
}

impl Sizes {
    /// The sizes of the letter.
    pub fn whole() -> Self {
        Self {
            fronts: vec![10, 50, 150, 300, 620],
            machines: vec![40, 600, 2_400, 4_800, 9_700],
            services: vec![1, 20, 80, 260],
            routes: vec![500, 1_750, 3_500, 7_000, 14_000],
            tenants: vec![100, 5_000, 20_000, 50_000],
            rates: vec![20.0, 100.0, 210.0, 840.0],
        }
    }

    /// Four points each, within CI's time.
    pub fn small() -> Self {
        Self {
            fronts: vec![5, 10, 20, 40],
            machines: vec![40, 200, 600, 2_000],
            services: vec![1, 2, 4, 8],
            routes: vec![50, 100, 200, 400],
            tenants: vec![10, 100, 1_000, 4_000],
            rates: vec![20.0, 60.0, 100.0, 210.0],
        }
    }
}

/// Plays the parts asked for, all if none is; `tick` is told what comes next.
pub fn play(options: &Options, only: Option<Part>, tick: &dyn Fn(&str)) -> io::Result<Report> {
    let most = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(0);
    let mut seen = Report {
        version: VERSION,
        seed: options.seed,
        quick: options.quick,
        paced: options.paced,
        processes: 2,
        machines: most(&options.sizes.machines),
        services: most(&options.sizes.services),
        routes: most(&options.sizes.routes),
        tenants: most(&options.sizes.tenants),
        ..Report::default()
    };
    if only.is_none_or(|p| p == Part::Pure) {
        pure::measure(options, &mut seen, tick)?;
        at_size::work_out(&mut seen);
        seen.not_measured
            .push("services: the program keeps one list of machines and knows of no services".to_owned());
    }
    if only.is_none_or(|p| p == Part::Control) {
        // What the other parts showed is kept: a part that can't be played is a failure, not the end of the run.
        if let Err(e) = control::measure(options, &mut seen, tick) {
            seen.failures.push(format!("control: {e}"));
        }
    }
    if only.is_none_or(|p| p == Part::Incidents) {
        if let Err(e) = incidents::play(options, &mut seen, tick) {
            seen.failures.push(format!("incidents: {e}"));
        }
        match planted::all(options, tick) {
            Ok(found) => {
                seen.planted += found.planted;
                seen.planted_caught += found.caught;
                seen.failures.extend(found.failures);
            }
            Err(e) => seen.failures.push(format!("planted: {e}")),
        }
    }
    at_size::of_run(&mut seen);
    if seen.at_size.iter().all(|r| r.role != "control") {
        seen.not_measured
            .push("the control service: nothing was taken from what its stand-in counted".to_owned());
    }
    at_size::rank(&mut seen.at_size);
    Ok(seen)
}

fn short(v: f64) -> String {
    match v.abs() {
        a if a >= 1_000.0 => format!("{v:.0}"),
        a if a >= 10.0 => format!("{v:.1}"),
        _ => format!("{v:.3}"),
    }
}

/// As a table: what misses its budget first.
pub fn table(seen: &Report) -> String {
    let mut text = String::from("at the size to come: ratio, value, budget\n");
    for row in &seen.at_size {
        let ratio = at_size::ratio(row).map_or("-".to_owned(), |r| format!("{r:.2}"));
        let budget = row.budget.map_or("-".to_owned(), short);
        let missed = if row.within == Some(false) { "MISSED" } else { "" };
        let _ = writeln!(
            text,
            "  {missed:<6} {ratio:>8} {:>12} {budget:>10} {:<24} {}: {}",
            short(row.value),
            row.unit,
            row.role,
            row.quantity
        );
    }
    let _ = writeln!(text, "slopes: shape, per unit, fixed, residual");
    for s in &seen.slopes {
        let shape = serde_json::to_value(s.shape).ok().and_then(|v| v.as_str().map(str::to_owned));
        let points: Vec<String> = s.points.iter().map(|p| format!("{} {}", p.0, short(p.1))).collect();
        let _ = writeln!(
            text,
            "  {:<10} {:>11.4e} {:>11.3} {:>6.3}  {}: {}, {} over {}: {}",
            shape.unwrap_or_default(),
            s.per_unit,
            s.fixed,
            s.residual,
            s.role,
            s.quantity,
            s.unit,
            s.over,
            points.join(", ")
        );
    }
    for (what, lines) in
        [("found", &seen.findings), ("failed", &seen.failures), ("not measured", &seen.not_measured)]
    {
        for line in lines {
            let _ = writeln!(text, "{what}: {line}");
        }
    }
    text
}
