//! The tables of the page on capacity, written between its markers from a run's object.

use super::at_size::{rank, ratio};
use super::report::{AtSize, Origin, Report, Shape, VERSION};
use super::target::Budget;
use super::{assumed, target};
use std::fmt::Write;
use std::path::Path;

/// The tables that a page has, each between its markers.
pub const NAMES: [&str; 12] = [
    "budgets",
    "mechanism",
    "front",
    "planner",
    "discovery",
    "control",
    "machines",
    "set-aside",
    "assumptions",
    "slopes",
    "incidents",
    "not-measured",
];

/// The roles of figures and the tables that they go into.
const ROLES: [(&str, &str); 6] = [
    ("front", "front"),
    ("planner", "planner"),
    ("discovery", "discovery"),
    ("control", "control"),
    ("machines", "machines"),
    ("set aside", "set-aside"),
];

/// An object as a run wrote it; why not, in one line.
pub fn read(text: &str) -> Result<Report, String> {
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|e| format!("no object of a run: {e}"))?;
    match value.get("version").and_then(serde_json::Value::as_u64) {
        Some(found) if found == u64::from(VERSION) => {}
        Some(found) => return Err(format!("version: found {found}, expected {VERSION}")),
        None => return Err(format!("version: found none, expected {VERSION}")),
    }
    serde_json::from_value(value).map_err(|e| format!("no object of a run: {e}"))
}

/// The page with its tables as this run has them, and one without the form `paced` if there is one; why not, in one line.
pub fn filled(page: &str, seen: &Report, plain: Option<&Report>) -> Result<String, String> {
    if let Some(row) = seen.at_size.iter().find(|r| ROLES.iter().all(|(role, _)| r.role != *role)) {
        return Err(format!("role: found {:?}, which no table has", row.role));
    }
    let mut rows = seen.at_size.clone();
    rank(&mut rows);
    let mut page = page.to_owned();
    for name in NAMES {
        let (begin, end) = (format!("<!-- scale:begin {name} -->"), format!("<!-- scale:end {name} -->"));
        let once = |mark: &str| match page.matches(mark).count() {
            1 => Ok(page.find(mark).unwrap_or_default()),
            n => Err(format!("marker {mark:?}: found {n} times, expected once")),
        };
        let (from, to) = (once(&begin)? + begin.len(), once(&end)?);
        if from > to {
            return Err(format!("marker {end:?}: found before its beginning"));
        }
        let table = match name {
            "mechanism" => mechanism(seen, plain, &rows),
            _ => table(name, seen, &rows),
        };
        page.replace_range(from..to, &format!("\n\n{}\n\n", table.trim_end()));
    }
    Ok(page)
}

/// Writes a page anew from a file, and the one of a run without the form `paced` if it is there; the page stays as it was
/// if anything is refused.
pub fn write(json: &Path, plain: &Path, page: &Path) -> Result<(), String> {
    let text = |path: &Path| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    let object = |path: &Path| read(&text(path)?).map_err(|why| format!("{}: {why}", path.display()));
    let seen = object(json)?;
    let before = if plain.exists() { Some(object(plain)?) } else { None };
    let new =
        filled(&text(page)?, &seen, before.as_ref()).map_err(|why| format!("{}: {why}", page.display()))?;
    // Danger: a page cut off half way. It is written beside and put in place in one step.
    let beside = page.with_extension(format!("{}.new", std::process::id()));
    let put = std::fs::write(&beside, new).and_then(|()| std::fs::rename(&beside, page));
    if put.is_err() {
        let _ = std::fs::remove_file(&beside);
    }
    put.map_err(|e| format!("{}: {e}", page.display()))
}

fn table(name: &str, seen: &Report, rows: &[AtSize]) -> String {
    match name {
        "budgets" => trial(seen) + &budgets(rows),
        "assumptions" => assumptions(seen),
        "slopes" => slopes(seen),
        "incidents" => incidents(seen),
        "not-measured" => not_measured(seen),
        _ => role(name, seen, rows),
    }
}

/// A figure with three digits that count.
pub fn figure(v: f64) -> String {
    let a = v.abs();
    if a >= 1_000.0 {
        let digits = format!("{a:.0}");
        let mut text = if v < 0.0 { "-".to_owned() } else { String::new() };
        for (n, digit) in digits.chars().enumerate() {
            if n > 0 && (digits.len() - n) % 3 == 0 {
                text.push(',');
            }
            text.push(digit);
        }
        return text;
    }
    if a == 0.0 {
        return "0".to_owned();
    }
    let places = (2.0 - a.log10().floor()).clamp(0.0, 9.0) as usize;
    let text = format!("{v:.places$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_owned(),
        false => text,
    }
}

fn cell(text: &str) -> String {
    text.replace('|', "\\|").replace('\n', " ")
}

fn head(columns: &[&str]) -> String {
    format!("| {} |\n|{}\n", columns.join(" | "), " --- |".repeat(columns.len()))
}

fn line(into: &mut String, cells: &[String]) {
    let cells: Vec<String> = cells.iter().map(|c| cell(c)).collect();
    let _ = writeln!(into, "| {} |", cells.join(" | "));
}

fn origin(of: Origin) -> &'static str {
    match of {
        Origin::Measured => "measured",
        Origin::WorkedOut => "worked out",
    }
}

/// A shape by its name.
pub fn shape(of: Shape) -> &'static str {
    match of {
        Shape::Flat => "flat",
        Shape::Linear => "linear",
        Shape::NLogN => "n log n",
        Shape::Quadratic => "quadratic",
    }
}

fn with_unit(v: f64, unit: &str) -> String {
    format!("{} {unit}", figure(v))
}

fn times(row: &AtSize) -> String {
    ratio(row).map_or_else(|| "-".to_owned(), figure)
}

/// What a short run's figures are worth.
fn trial(seen: &Report) -> String {
    if !seen.quick {
        return String::new();
    }
    let alone =
        if seen.real_fronts + seen.hollow_fronts == 0 { ", without processes of the program" } else { "" };
    format!(
        "**A trial**: the quick run{alone}. Its counts and bytes stand, its times may be too long and shapes of times \
         named too steep.\n\n"
    )
}

/// Before and after: every row that both runs have.
fn mechanism(seen: &Report, plain: Option<&Report>, rows: &[AtSize]) -> String {
    let not = |why: &str| format!("Before and after: not measured, {why}.");
    if !seen.paced {
        return not("as this run is without the form `paced`");
    }
    let Some(plain) = plain else { return not("as there is no file of a run without the form `paced`") };
    // Danger: two runs that differ in more than the mechanism would be told as its effect.
    if plain.paced {
        return not("as the run before has the form `paced` as well");
    }
    if (plain.seed, plain.quick) != (seen.seed, seen.quick) {
        return not("as the two runs differ in their seed or in being quick");
    }
    let mut text = format!(
        "Seed {} both; the run after has a lease of 3.5 s, as the default of 2 s is refused beside a pace of 1 s.\n\n",
        seen.seed
    );
    text += &head(&["role", "what", "before", "after", "after / before", "mechanism after"]);
    for row in rows {
        let same = |r: &&AtSize| (&r.role, &r.quantity, &r.unit) == (&row.role, &row.quantity, &row.unit);
        let Some(before) = plain.at_size.iter().find(same) else { continue };
        let ratio = if before.value > 0.0 { figure(row.value / before.value) } else { "-".to_owned() };
        line(
            &mut text,
            &[
                row.role.clone(),
                row.quantity.clone(),
                with_unit(before.value, &before.unit),
                with_unit(row.value, &row.unit),
                ratio,
                row.mechanism.clone(),
            ],
        );
    }
    text
}

fn budgets(rows: &[AtSize]) -> String {
    let of = |program: bool| {
        let mut rows: Vec<&AtSize> = rows
            .iter()
            .filter(|r| r.budget_of.is_some_and(|of| program == (of == Budget::Program)))
            .collect();
        rows.sort_by(|a, b| ratio(b).unwrap_or(0.0).total_cmp(&ratio(a).unwrap_or(0.0)));
        rows
    };
    let mut text = String::from("What the operators gave, worst first:\n\n");
    text += &head(&["budget", "what", "need", "ratio", "how", "mechanism"]);
    for row in of(false) {
        line(
            &mut text,
            &[
                row.budget_of.map_or(String::new(), Budget::label),
                format!("{}: {}", row.role, row.quantity),
                with_unit(row.value, &row.unit),
                times(row),
                origin(row.origin).to_owned(),
                row.mechanism.clone(),
            ],
        );
    }
    for budget in Budget::OPERATORS {
        if rows.iter().all(|r| r.budget_of != Some(budget)) {
            let dash = || "-".to_owned();
            let not = "not measured in this run".to_owned();
            line(&mut text, &[budget.label(), not, dash(), dash(), dash(), dash()]);
        }
    }
    text += "\nThe program's own bounds, worst first:\n\n";
    text += &head(&["role", "what", "need", "bound", "ratio", "how", "mechanism"]);
    for row in of(true) {
        line(
            &mut text,
            &[
                row.role.clone(),
                row.quantity.clone(),
                with_unit(row.value, &row.unit),
                row.budget.map_or(String::new(), |b| with_unit(b, &row.unit)),
                times(row),
                origin(row.origin).to_owned(),
                row.mechanism.clone(),
            ],
        );
    }
    text
}

fn role(name: &str, seen: &Report, rows: &[AtSize]) -> String {
    let of = ROLES.iter().find(|(_, table)| *table == name).map_or(name, |(role, _)| role);
    let mut text =
        head(&["quantity", "slope x size + fixed = figure", "run", "budget", "ratio", "mechanism"]);
    let mut any = false;
    for row in rows.iter().filter(|r| r.role == of) {
        any = true;
        line(
            &mut text,
            &[
                row.quantity.clone(),
                format!("{}; **{}**", row.formula, with_unit(row.value, &row.unit)),
                format!(
                    "seed {}{}, {}",
                    seen.seed,
                    if seen.quick { ", quick" } else { "" },
                    origin(row.origin)
                ),
                row.budget.map_or_else(|| "none given".to_owned(), |b| with_unit(b, &row.unit)),
                times(row),
                row.mechanism.clone(),
            ],
        );
    }
    match any {
        true => text,
        false => "No figure of this role in this run.".to_owned(),
    }
}

fn assumptions(seen: &Report) -> String {
    let mut text = head(&["assumed", "value", "held against", "breaks at", "times the assumption"]);
    for a in assumed::all(seen) {
        let (at, times) = match a.breaks_at {
            assumed::Breaks::At(at) => (with_unit(at, a.unit), figure(at / a.value)),
            assumed::Breaks::Already => ("broken at 0 already".to_owned(), "-".to_owned()),
            assumed::Breaks::Never => ("not by this alone".to_owned(), "-".to_owned()),
            assumed::Breaks::Unknown => ("not measured in this run".to_owned(), "-".to_owned()),
        };
        line(&mut text, &[a.what.to_owned(), with_unit(a.value, a.unit), a.against, at, times]);
    }
    text
}

fn slopes(seen: &Report) -> String {
    let mut text =
        head(&["role", "quantity", "unit", "over", "shape", "per unit", "fixed", "residual", "size: value"]);
    for s in &seen.slopes {
        let points: Vec<String> =
            s.points.iter().map(|(size, value)| format!("{}: {}", figure(*size), figure(*value))).collect();
        line(
            &mut text,
            &[
                s.role.clone(),
                s.quantity.clone(),
                s.unit.clone(),
                s.over.clone(),
                shape(s.shape).to_owned(),
                format!("{:.3e}", s.per_unit),
                figure(s.fixed),
                format!("{:.1} %", 100.0 * s.residual),
                points.join("; "),
            ],
        );
    }
    text
}

fn seconds(of: Option<f64>) -> String {
    of.map_or_else(|| "not seen".to_owned(), |s| format!("{s:.1} s"))
}

fn incidents(seen: &Report) -> String {
    if seen.incidents.is_empty() {
        return "No incident was played in this run.".to_owned();
    }
    let mut text =
        head(&["incident", "must not happen", "held", "steady after", "change in force after", "peaks"]);
    for i in &seen.incidents {
        let peaks: Vec<String> = i
            .peaks
            .iter()
            .map(|(role, quantity, unit, value)| format!("{role}, {quantity}: {}", with_unit(*value, unit)))
            .collect();
        let held = if i.held { "yes".to_owned() } else { format!("**no**: {}", i.broken.join("; ")) };
        let (must_not, peaks) = (i.must_not.clone(), peaks.join("; "));
        let (steady, change) = (seconds(i.steady_after_s), seconds(i.change_in_force_s));
        line(&mut text, &[i.name.clone(), must_not, held, steady, change, peaks]);
    }
    text
}

fn not_measured(seen: &Report) -> String {
    let mut text = String::new();
    let mut tell = |line: String| {
        let _ = writeln!(text, "- {}", cell(&line));
    };
    tell(format!(
        "Played: {} real and {} hollow fronts, {} machines, {} services, {} routes, {} tenants; seed {}{}; at most {} processes and {} MB.",
        seen.real_fronts,
        seen.hollow_fronts,
        figure(seen.machines as f64),
        seen.services,
        figure(seen.routes as f64),
        figure(seen.tenants as f64),
        seen.seed,
        if seen.quick { ", the quick run" } else { "" },
        seen.processes,
        figure(seen.peak_memory_mb)
    ));
    match seen.hollow_error {
        Some(error) => tell(format!(
            "A hollow front's control side differs from a real one's by up to {:.0} %: so much is off in what rests on hollow ones.",
            100.0 * error
        )),
        None => tell("Hollow against real fronts: not measured in this run.".to_owned()),
    }
    tell(format!(
        "Faults planted in the run's own checks: {}, caught {}.",
        seen.planted, seen.planted_caught
    ));
    let most = seen.most_rows;
    if most > 0 {
        let beyond = if most >= 2 * target::MACHINES - 50 { " or more" } else { "" };
        tell(format!(
            "The whole list: read by a front up to {}{beyond} rows of this form.",
            figure(most as f64)
        ));
    }
    seen.findings.iter().for_each(|f| tell(format!("Stops: {f}.")));
    for s in seen.slopes.iter().filter(|s| matches!(s.shape, Shape::NLogN | Shape::Quadratic)) {
        tell(format!(
            "Grows faster than linear: {}, {} over {} ({}).",
            s.role,
            s.quantity,
            s.over,
            shape(s.shape)
        ));
    }
    seen.failures.iter().for_each(|f| tell(format!("**Failed**: {f}.")));
    seen.not_measured.iter().for_each(|n| tell(format!("Not measured: {n}.")));
    text
}
