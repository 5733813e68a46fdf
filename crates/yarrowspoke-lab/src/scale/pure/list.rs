//! Discovery's whole list: its bytes, what decoding it takes, and how many rows a front can read at all.

use super::{median, probe, slope, timed};
use crate::scale::report::Report;
use crate::scale::run::Options;
use crate::scale::target;
use std::io;
use yarrowspoke_front::net::list::{decode, ListResponse, LIST_LIMIT};
use yarrowspoke_settings::Names;

/// Names of the zones, as rows and settings have them.
fn zones() -> Vec<String> {
    let zone = |n: usize| format!("r{}-z{}", n % target::REGIONS, n);
    (0..target::ZONES).map(zone).collect()
}

/// The row of this number, as discovery tells it.
pub fn row(n: usize, zones: &[String]) -> String {
    let (service, zone) = (n % target::SERVICES, &zones[n % zones.len()]);
    let address = format!("127.{}.{}.{}:8080", 1 + n / 62_500, 1 + n / 250 % 250, 1 + n % 250);
    format!(
        r#"{{"name":"s{service}-m{n}","address":"{address}","zone":"{zone}","type":"m","group":0,"status":"up","weight":1.0,"since_ms":1786000000000,"build":7}}"#
    )
}

/// A whole list of so many rows.
pub fn text(rows: usize) -> Vec<u8> {
    let zones = zones();
    let lines: Vec<String> = (0..rows).map(|n| row(n, &zones)).collect();
    format!(r#"{{"index":41,"snapshot":true,"endpoints":[{}]}}"#, lines.join(",")).into_bytes()
}

/// The list as a front reads it.
pub fn decoded(text: &[u8]) -> Option<ListResponse> {
    let names = Names { zones: zones(), kinds: vec!["m".to_owned()], ..Names::default() };
    decode(text, &names).ok()
}

/// Slopes over machines, and the size at which a front can read no whole list any more.
pub fn measure(options: &Options, seen: &mut Report, tick: &dyn Fn(&str)) -> io::Result<()> {
    let (mut bytes, mut each, mut peak) = (vec![], vec![], vec![]);
    for machines in &options.sizes.machines {
        tick(&format!("list, {machines} rows"));
        let (size, text) = (*machines as f64, text(*machines));
        bytes.push((size, text.len() as f64));
        let took = (0..5).map(|_| 1e3 * timed(|| std::hint::black_box(decoded(&text))).0);
        each.push((size, median(took.collect())));
        peak.push((size, probe::grown(options, "list", &[*machines])?.peak_mb));
        if decoded(&text).is_none_or(|l| l.rows.len() != *machines) {
            seen.failures.push(format!("a list of {machines} rows is not read back as such"));
        }
    }
    slope(seen, ("discovery", "the whole list", "bytes", "machines"), bytes);
    slope(seen, ("front", "decoding the whole list", "ms of processor", "machines"), each);
    slope(seen, ("front", "peak of memory in decoding the whole list", "MB", "machines"), peak);
    // The body is refused by its length, whatever the connection.
    let fits = (1..=2 * target::MACHINES).step_by(50).take_while(|n| text(*n).len() <= LIST_LIMIT).last();
    if let Some(most) = fits.filter(|n| *n < target::MACHINES) {
        seen.findings.push(format!(
            "a front reads no whole list above {LIST_LIMIT} bytes: beyond some {most} rows of this form it is never ready"
        ));
    }
    seen.most_rows = fits.unwrap_or(0);
    Ok(())
}
