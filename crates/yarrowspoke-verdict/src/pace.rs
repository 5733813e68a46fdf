//! The test of slowness, in which each machine is one witness, whatever it reports and however often.
//!
//! Response times and reports of one machine are correlated for as long as it lives: speeds differ from machine to
//! machine, and reports are smoothed. So the test compares machines: the smoothed logarithm of each one's pace, less
//! the median of the earlier machines in the same zone and of the same kind. The build on trial is slower than the
//! tolerance if the mean over its machines exceeds it by more than the spread between earlier machines allows
//! (Student's t, with the spread shrunk towards the caller's where there are few machines). Where no earlier machine
//! is left in a zone, the new machines of that zone together are one witness, compared to all earlier machines of
//! their kind.

use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// Zone and kind of a machine.
pub type Stratum = (u16, u8);

/// The parameters of the test, set by the caller.
#[derive(Clone, Copy, Debug)]
pub struct PaceDesign {
    /// Weight of the newest value in a machine's pace, once there are enough values.
    pub weight: f64,
    /// Values that a machine must have given.
    pub min_values: u32,
    /// A machine without values for this long is not a witness, in microseconds.
    pub max_silence: u64,
    /// Paces more than this factor above the earlier machines', or below its inverse, are left out.
    pub outlier_factor: f64,
    /// A report that stays the same over this many responses is frozen and discarded.
    pub frozen_after: u32,
    /// Assumed spread of the logarithm of pace between good machines.
    pub spread: f64,
    /// How many machines the assumed spread weighs as much as.
    pub spread_weight: f64,
    /// One trial machine in this many, but at least one, may be faulty: the slowest are left out.
    pub faulty_one_in: usize,
    /// Most machines tracked for each build.
    pub max_machines: usize,
}

/// A smoothed logarithm of a pace.
#[derive(Clone, Copy, Debug, Default)]
struct SmoothedPace {
    count: u32,
    mean: f64,
    updated_at: u64,
}

impl SmoothedPace {
    fn update(&mut self, at: u64, value: f64, weight: f64) {
        self.count = self.count.saturating_add(1);
        self.updated_at = at;
        self.mean += f64::max(weight, 1.0 / f64::from(self.count)) * (value - self.mean);
    }
}

#[derive(Clone, Debug, Default)]
struct MachinePace {
    stratum: Stratum,
    reported: SmoothedPace,
    measured: SmoothedPace,
    last_reported: f64,
    repeats: u32,
}

/// Paces of the machines of two builds.
#[derive(Clone, Debug)]
pub struct Paces {
    design: PaceDesign,
    trial: BTreeMap<u32, MachinePace>,
    earlier: BTreeMap<u32, MachinePace>,
    last_earlier_at: u64,
    discarded: u64,
}

/// The result of a comparison of paces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness {
    /// Pace of the trial's machines relative to the earlier ones', without faulty machines; 1 if nothing can be said.
    pub ratio: f64,
    /// Probability of a difference this large for a build at the tolerance (one-sided); 1 if nothing can be said.
    pub p_value: f64,
    /// Probability of a difference this small for a build at the margin (one-sided); 1 if nothing can be said.
    pub p_value_no_worse: f64,
    /// Witnesses of the trial, including faulty ones.
    pub witnesses: usize,
}

impl Slowness {
    /// The result if nothing can be said.
    pub const NOTHING: Self = Self { ratio: 1.0, p_value: 1.0, p_value_no_worse: 1.0, witnesses: 0 };
}

impl Paces {
    /// Creates an empty record of paces.
    pub fn new(design: PaceDesign) -> Self {
        Self { design, trial: BTreeMap::new(), earlier: BTreeMap::new(), last_earlier_at: 0, discarded: 0 }
    }

    /// Records what a served response says of pace: the machine's report and this front's own measurement, where
    /// there are any.
    pub fn record(
        &mut self,
        trial: bool,
        at: u64,
        machine: u32,
        stratum: Stratum,
        reported: Option<f64>,
        measured: Option<f64>,
    ) {
        let design = self.design;
        let valid_report = reported.filter(|v| v.is_finite() && *v > 0.0);
        self.discarded += u64::from(reported.is_some() && valid_report.is_none());
        let measured = measured.filter(|v| v.is_finite() && *v > 0.0);
        if !trial {
            self.last_earlier_at = at;
        }
        let side = if trial { &mut self.trial } else { &mut self.earlier };
        if !side.contains_key(&machine) && side.len() >= design.max_machines {
            let oldest = side
                .iter()
                .min_by_key(|m| (m.1.reported.updated_at.max(m.1.measured.updated_at), *m.0))
                .map(|m| *m.0);
            oldest.map(|id| side.remove(&id));
        }
        let pace = side.entry(machine).or_default();
        pace.stratum = stratum;
        if let Some(value) = valid_report {
            pace.repeats = if value == pace.last_reported { pace.repeats.saturating_add(1) } else { 0 };
            pace.last_reported = value;
            if pace.repeats < design.frozen_after {
                pace.reported.update(at, value.ln(), design.weight);
            } else {
                self.discarded += 1;
            }
        }
        if let Some(value) = measured {
            pace.measured.update(at, value.ln(), design.weight / 2.0);
        }
    }

    /// Returns how many values were discarded: not a number, not above zero, or frozen.
    pub fn discarded_values(&self) -> u64 {
        self.discarded
    }

    /// Returns when an earlier machine last gave a value.
    pub fn last_earlier_at(&self) -> u64 {
        self.last_earlier_at
    }

    /// Compares the builds: slower than `tolerance` times, and not slower than `margin` times.
    pub fn compare(&self, now: u64, tolerance: f64, margin: f64) -> Slowness {
        let by_report = self.residuals(now, |t| t.reported, |t| t.repeats < self.design.frozen_after);
        // Machines without usable reports are compared to the earlier ones by this front's own measurements.
        let has_report = |id: &u32| by_report.0.iter().any(|r| r.0 == *id);
        let by_measurement = self.residuals(now, |t| t.measured, |_| true);
        let mut trial = by_report.0.clone();
        trial.extend(by_measurement.0.iter().filter(|r| !has_report(&r.0)).copied());
        let earlier =
            if by_report.1.len() >= by_measurement.1.len() { &by_report.1 } else { &by_measurement.1 };
        let witnesses = independent_witnesses(&trial);
        self.test(witnesses, earlier, tolerance.ln(), margin.ln())
    }

    /// Returns the residuals of the trial's machines (with their zone if no earlier machine is left there), and those
    /// of the earlier machines.
    #[allow(clippy::type_complexity)]
    fn residuals(
        &self,
        now: u64,
        value: impl Fn(&MachinePace) -> SmoothedPace,
        is_usable: impl Fn(&MachinePace) -> bool,
    ) -> (Vec<(u32, Option<u16>, f64)>, Vec<f64>) {
        let design = self.design;
        let is_witness = |t: &&MachinePace| {
            let s = value(t);
            s.count >= design.min_values && s.updated_at + design.max_silence > now && is_usable(t)
        };
        let mut by_stratum: BTreeMap<Stratum, Vec<f64>> = BTreeMap::new();
        let mut by_kind: BTreeMap<u8, Vec<f64>> = BTreeMap::new();
        for t in self.earlier.values().filter(is_witness) {
            by_stratum.entry(t.stratum).or_default().push(value(t).mean);
            by_kind.entry(t.stratum.1).or_default().push(value(t).mean);
        }
        let stratum_medians: BTreeMap<Stratum, f64> =
            by_stratum.iter().map(|(k, v)| (*k, median(v))).collect();
        let kind_medians: BTreeMap<u8, f64> = by_kind.iter().map(|(k, v)| (*k, median(v))).collect();
        let max_residual = design.outlier_factor.ln();
        let trial = self.trial.iter().filter(|t| is_witness(&t.1)).filter_map(|(id, t)| {
            let kind = *kind_medians.get(&t.stratum.1)?;
            let (zone, median_pace) = match stratum_medians.get(&t.stratum) {
                Some(c) => (None, *c),
                None => (Some(t.stratum.0), kind),
            };
            let r = value(t).mean - median_pace;
            (r.abs() < max_residual).then_some((*id, zone, r))
        });
        let earlier = by_stratum.iter().flat_map(|(k, v)| {
            let median_pace = stratum_medians[k];
            v.iter().map(move |x| x - median_pace)
        });
        (trial.collect(), earlier.filter(|r| r.abs() < max_residual).collect())
    }

    fn test(&self, mut trial: Vec<f64>, earlier: &[f64], tolerance: f64, margin: f64) -> Slowness {
        let design = self.design;
        let witnesses = trial.len();
        // The machine with the highest pace may be faulty, and a single other one is no more than a guess. The same
        // holds for the earlier machines that they are compared to.
        if witnesses < 3 || earlier.len() < 3 {
            return Slowness { witnesses, ..Slowness::NOTHING };
        }
        trial.sort_by(f64::total_cmp);
        let faulty = (witnesses / design.faulty_one_in.max(1)).max(1);
        let remaining = &trial[..witnesses - faulty];
        let (n, m) = (remaining.len() as f64, earlier.len() as f64);
        let mean = remaining.iter().sum::<f64>() / n;
        // Each stratum's median costs about one degree of freedom; the assumed spread adds as many machines as it
        // weighs.
        let sum_of_squares: f64 = earlier.iter().map(|r| r * r).sum();
        let freedom = (m - 1.0).max(0.0) + design.spread_weight;
        let spread =
            ((sum_of_squares + design.spread_weight * design.spread * design.spread) / freedom).sqrt();
        let error = spread * (1.0 / n + 1.0 / m).sqrt();
        let t = StudentsT::new(0.0, 1.0, freedom).ok();
        let upper_tail = |x: f64| t.as_ref().map_or(1.0, |t| t.sf(x));
        Slowness {
            ratio: mean.exp(),
            p_value: upper_tail((mean - tolerance) / error),
            p_value_no_worse: upper_tail((margin - mean) / error),
            witnesses,
        }
    }
}

/// Returns one witness for each machine in a known zone, and one for each zone without an earlier machine.
fn independent_witnesses(trial: &[(u32, Option<u16>, f64)]) -> Vec<f64> {
    let mut zones: BTreeMap<u16, Vec<f64>> = BTreeMap::new();
    let mut out = vec![];
    for (_, zone, r) in trial {
        match zone {
            None => out.push(*r),
            Some(zone) => zones.entry(*zone).or_default().push(*r),
        }
    }
    out.extend(zones.values().map(|v| median(v)));
    out
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let count = sorted.len();
    match count {
        0 => 0.0,
        _ if count % 2 == 1 => sorted[count / 2],
        _ => (sorted[count / 2 - 1] + sorted[count / 2]) / 2.0,
    }
}
