//! The audit as a picture: a line for each incarnation of a front, versions of the list as bands, stances marked, unknown
//! hatched.

use plotters::prelude::*;
use serde_json::Value;
use std::error::Error;
use std::path::Path;

/// Colours that stay apart for colour-blind eyes (Okabe and Ito), taken by turns as the list's index goes on.
const BANDS: [RGBColor; 4] =
    [RGBColor(86, 180, 233), RGBColor(0, 114, 178), RGBColor(0, 158, 115), RGBColor(240, 228, 66)];
const NARROWED: RGBColor = RGBColor(230, 159, 0);
const OUT: RGBColor = RGBColor(213, 94, 0);
const UNKNOWN: RGBColor = RGBColor(90, 90, 90);
const ROW: u32 = 26;

struct Band {
    from: f64,
    to: f64,
    index: u64,
    stance: String,
}

struct Line {
    name: String,
    bands: Vec<Band>,
    unknown: Vec<(f64, Option<f64>)>,
}

fn lines(audit: &Value) -> Vec<Line> {
    let seconds = |v: &Value| v.as_f64().unwrap_or(0.0) / 1e6;
    let mut out = Vec::new();
    for one in audit["lives"].as_array().into_iter().flatten() {
        let mut bands: Vec<Band> = Vec::new();
        for row in one["rows"].as_array().into_iter().flatten() {
            let span = &row["span"];
            let to = seconds(&span["wall"]);
            let from = to - (seconds(&span["to"]) - seconds(&span["from"]));
            let index = span["version"]["list"]["index"].as_u64().unwrap_or(0);
            let stance = span["stance"].as_str().unwrap_or("").to_owned();
            match bands.last_mut() {
                Some(last) if last.index == index && last.stance == stance && from - last.to < 0.05 => {
                    last.to = to
                }
                _ => bands.push(Band { from, to, index, stance }),
            }
        }
        let unknown = one["unknown"].as_array().into_iter().flatten();
        let unknown = unknown.map(|u| (seconds(&u["from_wall"]), u["until_wall"].as_f64().map(|t| t / 1e6)));
        let name = format!("{} ({})", one["front"].as_str().unwrap_or("?"), out.len());
        out.push(Line { name, unknown: unknown.collect(), bands });
    }
    // Incarnations of one front are numbered from 1.
    for n in 0..out.len() {
        let front = out[n].name.split(' ').next().unwrap_or("").to_owned();
        let before = out[..n].iter().filter(|l| l.name.split(' ').next() == Some(&front)).count();
        out[n].name = format!("{front} incarnation {}", before + 1);
    }
    out
}

/// Draws an audit as `fleet audit --json` gives it.
pub fn draw(audit: &Value, path: &Path) -> Result<(), Box<dyn Error>> {
    let lines = lines(audit);
    let all = || lines.iter().flat_map(|l| &l.bands);
    let begun = all().map(|b| b.from).fold(f64::INFINITY, f64::min);
    let ended = all().map(|b| b.to).fold(0.0, f64::max);
    if !begun.is_finite() {
        return Err("an audit without a single span".into());
    }
    let (n, height) = (lines.len() as f64, ROW * lines.len() as u32 + 130);
    let area = SVGBackend::new(path, (1_180, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Which front acted on which list (labels: index)", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(58)
        .y_label_area_size(110)
        .build_cartesian_2d(0.0..(ended - begun) * 1.01, 0.0..n)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(0)
        .x_desc("s since the first span, by the fronts' wall clocks; orange edge: narrowed, red: quarantined, grey: unknown")
        .draw()?;
    for (i, line) in lines.iter().enumerate() {
        let (low, high) = (n - i as f64 - 0.85, n - i as f64 - 0.15);
        for (from, until) in &line.unknown {
            let to = until.unwrap_or(ended);
            let from = from.max(begun);
            if to > from {
                let place = [(from - begun, low + 0.2), (to - begun, high - 0.2)];
                chart.draw_series([Rectangle::new(place, UNKNOWN.mix(0.45).filled())])?;
            }
        }
        let mut labelled = f64::NEG_INFINITY;
        for band in &line.bands {
            let (from, to) = (band.from - begun, band.to - begun);
            let colour = BANDS[(band.index % 4) as usize];
            chart.draw_series([Rectangle::new([(from, low), (to, high)], colour.filled())])?;
            let edge = match band.stance.as_str() {
                "Out" => Some(OUT),
                "Narrowed" | "Alone" => Some(NARROWED),
                _ => None,
            };
            if let Some(edge) = edge {
                chart.draw_series([Rectangle::new([(from, low), (to, low + 0.22)], edge.filled())])?;
            }
            // A label where there is room for one.
            if (to - from) / (ended - begun) > 0.022 && from > labelled {
                let (x, y) = chart.backend_coord(&(from, high));
                let style = ("sans-serif", 11).into_font().color(&BLACK);
                area.draw(&Text::new(band.index.to_string(), (x + 2, y + 1), style))?;
                labelled = from;
            }
        }
        let (x, y) = chart.backend_coord(&(0.0, high));
        area.draw(&Text::new(
            line.name.clone(),
            (x - 100, y + 3),
            ("sans-serif", 13).into_font().color(&BLACK),
        ))?;
    }
    area.present()?;
    Ok(())
}
