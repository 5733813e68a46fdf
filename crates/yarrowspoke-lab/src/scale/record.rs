//! A planner's record as it is after a full day: as many reports as it may keep, written while it is down.

use std::io;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use yarrowspoke_fleet::span::{link, Report, Span, Stance};
use yarrowspoke_fleet::version::{List, ListSource, Version};
use yarrowspoke_store::reports::Reports;

/// Reports written in one go.
const BATCH: usize = 20_000;
/// What a planner reckons for a report beside its attempts, and for each machine attempted.
const WEIGHT: (u64, u64) = (220, 10);
/// Machines attempted in each span.
const ATTEMPTED: u32 = 10;
/// Length of a span, microseconds: a renewal.
const SPAN: u64 = 200_000;

/// A life that began an hour ago: no front that runs now began then.
pub fn life() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    wall.saturating_sub(3_600_000_000)
}

/// Reports that weigh so many bytes as a planner reckons.
pub fn reports_of(bytes: u64) -> usize {
    (bytes / (WEIGHT.0 + WEIGHT.1 * u64::from(ATTEMPTED))) as usize
}

/// Adds so many reports of lives that have ended to the record in `dir`, spread over so many fronts: each a chain that is whole.
/// All planners are given the same lives, as they would have brought each other what one lacks.
pub fn fill(dir: &Path, life: u64, fronts: usize, reports: usize) -> io::Result<()> {
    let each = reports.div_ceil(fronts.max(1)) as u64;
    let list = List { index: 1, source: ListSource::Discovery, epoch: 0, digest: 1 };
    let version = Version { list, rollout: None, config: 1, operator: 2, settings: 3, program: 4 };
    let kept = Reports::open(dir).map_err(io::Error::other)?;
    let (mut batch, mut left) = (Vec::with_capacity(BATCH), reports);
    for front in 0..fronts {
        let (name, mut before) = (format!("f{front}"), [0; 16]);
        for number in 1..=each.min(left as u64) {
            let span = Span {
                from: (number - 1) * SPAN,
                to: number * SPAN,
                wall: life + number * SPAN,
                version,
                last_version: None,
                stance: Stance::Open,
                attempts: (0..ATTEMPTED).map(|m| (m * 977 + front as u32, 41, 1)).collect(),
                votes: 0,
                admitted: ATTEMPTED,
                failed_requests: 0,
            };
            let after = link(&before, number, &span);
            let report = Report { first: number, last: number, before, link: after, span };
            before = after;
            batch.push(((name.clone(), life, number, number), report));
            if batch.len() == BATCH {
                kept.update(&batch, &[]).map_err(io::Error::other)?;
                batch.clear();
            }
        }
        left = left.saturating_sub(each as usize);
    }
    kept.update(&batch, &[]).map_err(io::Error::other)
}
