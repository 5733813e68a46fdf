//! Pictures of what an experiment showed, as SVG.

use crate::verdicts::{Report, Row};
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

const GOOD: RGBColor = RGBColor(0, 114, 178);
const BAD: RGBColor = RGBColor(213, 94, 0);
const BEFORE: RGBColor = RGBColor(150, 150, 150);

/// Draws shares of wrong verdicts against the stated rates, and the time that right ones took.
pub fn verdicts(report: &Report, path: &Path) -> Result<(), Box<dyn Error>> {
    let rows: Vec<&Row> = report.cells.iter().collect();
    let height = 26 * rows.len() as u32 + 120;
    let area = SVGBackend::new(path, (1180, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let (left, right) = area.split_horizontally(720);
    let names: Vec<String> = rows.iter().map(|r| label(r)).collect();
    let n = rows.len() as f64;
    let most = rows.iter().map(|r| r.upper95).fold(0.1, f64::max).min(1.0);
    let mut chart = ChartBuilder::on(&left)
        .caption("Wrong verdicts, % of trials (bar to the exact 95 % bound)", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(250)
        .build_cartesian_2d(0.0..most * 100.0, 0.0..n)?;
    let name = |y: &f64| names.get((n - y - 0.5).round() as usize).cloned().unwrap_or_default();
    chart
        .configure_mesh()
        .disable_mesh()
        .y_labels(0)
        .x_desc("% of trials; grey: thresholds as before; dashed lines: stated rates")
        .draw()?;
    for (i, r) in rows.iter().enumerate() {
        let y = n - i as f64 - 0.5;
        let share = |k: u64| 100.0 * k as f64 / r.trials.max(1) as f64;
        let colour = if r.good { GOOD } else { BAD };
        let bar = |from: f64, to: f64, half: f64| [(from, y - half), (to, y + half)];
        chart.draw_series([
            Rectangle::new(
                bar(0.0, share(r.baseline_wrong).min(most * 100.0), 0.38),
                BEFORE.mix(0.35).filled(),
            ),
            Rectangle::new(bar(share(r.wrong), 100.0 * r.upper95, 0.08), colour.mix(0.5).filled()),
            Rectangle::new(bar(0.0, share(r.wrong), 0.2), colour.filled()),
        ])?;
        let style = ("sans-serif", 13).into_font().color(&BLACK);
        let (x, pixel) = chart.backend_coord(&(0.0, y));
        left.draw(&Text::new(name(&y), (x - 250, pixel - 7), style))?;
    }
    for (rate, colour) in [(report.stated_false_alarm, GOOD), (report.stated_miss, BAD)] {
        let points = (0..40).map(|k| (k as f64 / 40.0 * n, (k as f64 + 0.5) / 40.0 * n));
        for (from, to) in points {
            chart.draw_series(LineSeries::new([(100.0 * rate, from), (100.0 * rate, to)], colour))?;
        }
    }
    let longest = rows.iter().filter_map(|r| r.median_s).fold(1.0, f64::max) * 1.1;
    let mut times = ChartBuilder::on(&right)
        .caption("Median seconds to the right verdict", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(12)
        .build_cartesian_2d(0.0..longest, 0.0..n)?;
    times
        .configure_mesh()
        .disable_mesh()
        .y_labels(0)
        .x_desc("s after the first trial machine's start; blue: released, orange: sent back")
        .draw()?;
    for (i, r) in rows.iter().enumerate() {
        let y = n - i as f64 - 0.5;
        if let Some(s) = r.median_s {
            let colour = if r.good { GOOD } else { BAD };
            times.draw_series([Rectangle::new([(0.0, y - 0.2), (s, y + 0.2)], colour.filled())])?;
        }
    }
    area.present()?;
    Ok(())
}

fn label(r: &Row) -> String {
    let votes = if r.first_voice { ", first voice" } else { "" };
    format!("{} ({} fronts{votes})", r.cell, r.fronts)
}
