//! A picture of each slope against its budget, as SVG.

use super::fit::Fit;
use super::page::shape;
use super::report::{Report, Slope};
use super::target;
use plotters::prelude::*;
use std::error::Error;
use std::path::{Path, PathBuf};
use yarrowspoke_front::net::list::LIST_LIMIT;

const SEEN: RGBColor = RGBColor(0, 114, 178);
const BUDGET: RGBColor = RGBColor(213, 94, 0);
/// Points of a drawn line.
const STEPS: usize = 60;

/// What there is for a slope's quantity, in the slope's own unit.
pub fn budget(slope: &Slope) -> Option<f64> {
    let of = match (slope.role.as_str(), slope.quantity.as_str()) {
        ("front", "control: bytes both ways, all planners, heads counted in")
        | ("front", "control: bytes both ways, all planners, 50 fronts")
        | ("front", "control bytes") => target::CONTROL_BYTES_PER_S,
        ("front", "control: spans, heartbeats and answers")
        | ("front", "control: spans, heartbeats and answers, 50 fronts") => 1e3 * target::CONTROL_CORE,
        ("front", "control cpu") => target::CONTROL_CORE,
        ("front", "control memory") | ("front", "member: resident memory of its list") => target::FRONT_MB,
        ("front", "until all act on a change") => target::IN_FORCE_S,
        ("front", "until all hold the list") => target::READY_S,
        ("front", "decision module: a request with its end") => 1e3 * target::ADDED_MS,
        ("discovery", "the whole list") => LIST_LIMIT as f64,
        ("planner", "cpu") => 1.0,
        _ => return None,
    };
    Some(of)
}

/// The file of a slope: what it is of, in letters that any file system takes.
pub fn name(slope: &Slope) -> String {
    let over = slope.over.split(" (").next().unwrap_or_default();
    let all = format!("{} {} over {over}", slope.role, slope.quantity).to_lowercase();
    let words: Vec<&str> =
        all.split(|c: char| !c.is_ascii_alphanumeric()).filter(|w| !w.is_empty()).collect();
    format!("{}.svg", words.join("-"))
}

/// Draws all of them into a directory; gives the files.
pub fn draw(seen: &Report, dir: &Path) -> Result<Vec<PathBuf>, Box<dyn Error>> {
    std::fs::create_dir_all(dir)?;
    let drawn = seen.slopes.iter().filter(|s| !s.points.is_empty());
    drawn.map(|s| one(s, &dir.join(name(s))).map(|()| dir.join(name(s)))).collect()
}

fn one(slope: &Slope, path: &Path) -> Result<(), Box<dyn Error>> {
    let budget = budget(slope);
    let largest = slope.points.iter().map(|p| p.0).fold(1.0, f64::max);
    let highest = slope.points.iter().map(|p| p.1).chain(budget).fold(f64::MIN_POSITIVE, f64::max);
    let area = SVGBackend::new(path, (760, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: {}", slope.role, slope.quantity), ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(90)
        .build_cartesian_2d(0.0..largest * 1.05, 0.0..highest * 1.1)?;
    let against = if budget.is_some() { "; orange: its budget" } else { "; no budget" };
    chart
        .configure_mesh()
        .x_desc(format!("{}; blue: {}{against}", slope.over, shape(slope.shape)))
        .y_desc(slope.unit.as_str())
        .draw()?;
    let (per_unit, fixed, residual) = (slope.per_unit, slope.fixed, slope.residual);
    let fit = Fit { shape: slope.shape, per_unit, fixed, residual };
    let line = (0..=STEPS).map(|k| largest * k as f64 / STEPS as f64).map(|x| (x, fit.at(x).max(0.0)));
    chart.draw_series(LineSeries::new(line, SEEN.mix(0.6)))?;
    chart.draw_series(slope.points.iter().map(|p| Circle::new(*p, 4, SEEN.filled())))?;
    if let Some(budget) = budget {
        chart.draw_series(LineSeries::new(
            [(0.0, budget), (largest * 1.05, budget)],
            BUDGET.stroke_width(2),
        ))?;
    }
    area.present()?;
    Ok(())
}
