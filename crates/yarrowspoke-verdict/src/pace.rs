//! The test of slowness, in which a machine is one witness, whatever it says and however often.
//!
//! Answer times and reports of one machine hang together for as long as it lives: speeds differ from machine to
//! machine, and reports are smoothed. So what is compared are machines: the middle logarithm of each one's pace, less
//! that of the earlier machines in its own zone and of its own kind. The build on trial is slower than the tolerance
//! if the mean over its machines clears it by more than the spread between earlier machines allows (Student's t,
//! with the spread taken towards the caller's where few machines tell of it). Where no earlier machine is left in a
//! zone, that zone's new machines are one witness together, held against all earlier ones of their kind.

use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// Where a machine stands: zone and kind.
pub type Stratum = (u16, u8);

/// What the test is told by its caller.
#[derive(Clone, Copy, Debug)]
pub struct PaceDesign {
    /// Weight of the newest value in a machine's pace, once it has told enough.
    pub weight: f64,
    /// Values that a machine must have given.
    pub min_values: u32,
    /// A machine that has said nothing for so long is no witness, in microseconds.
    pub max_silence: u64,
    /// Values more than so many times the earlier machines' or under its inverse are left out.
    pub outlier_factor: f64,
    /// A report that stays the same over so many answers is frozen and left out.
    pub frozen_after: u32,
    /// Spread of the logarithm of pace between good machines, where few tell of it...
    pub spread: f64,
    /// ...counted as so many machines.
    pub spread_weight: f64,
    /// One trial machine in so many, and one at least, may be sick: the slowest are left out.
    pub faulty_one_in: usize,
    /// Most machines kept for each build.
    pub max_machines: usize,
}

/// A smoothed logarithm of a pace.
#[derive(Clone, Copy, Debug, Default)]
struct Smooth {
    n: u32,
    mean: f64,
    at: u64,
}

impl Smooth {
    fn take(&mut self, at: u64, value: f64, weight: f64) {
        self.n = self.n.saturating_add(1);
        self.at = at;
        self.mean += f64::max(weight, 1.0 / f64::from(self.n)) * (value - self.mean);
    }
}

#[derive(Clone, Debug, Default)]
struct Teller {
    stratum: Stratum,
    reported: Smooth,
    own: Smooth,
    last: f64,
    same: u32,
}

/// Paces of the machines of two builds.
#[derive(Clone, Debug)]
pub struct Paces {
    design: PaceDesign,
    trial: BTreeMap<u32, Teller>,
    earlier: BTreeMap<u32, Teller>,
    earlier_at: u64,
    left_out: u64,
}

/// What the paces show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness {
    /// Pace of the trial's machines over the earlier ones', sick ones left out; 1 if nothing can be said.
    pub ratio: f64,
    /// Chance of as much from a build at the tolerance (one-sided); 1 if nothing can be said.
    pub p_value: f64,
    /// Chance of as little from a build at the margin (one-sided); 1 if nothing can be said.
    pub p_value_no_worse: f64,
    /// Witnesses of the trial, sick ones included.
    pub witnesses: usize,
}

impl Slowness {
    /// Nothing can be said.
    pub const NOTHING: Self = Self { ratio: 1.0, p_value: 1.0, p_value_no_worse: 1.0, witnesses: 0 };
}

impl Paces {
    /// Nothing seen.
    pub fn new(design: PaceDesign) -> Self {
        Self { design, trial: BTreeMap::new(), earlier: BTreeMap::new(), earlier_at: 0, left_out: 0 }
    }

    /// Takes what a served answer told: the machine's report and this front's own measure, where there are any.
    pub fn record(
        &mut self,
        trial: bool,
        at: u64,
        machine: u32,
        place: Stratum,
        reported: Option<f64>,
        own: Option<f64>,
    ) {
        let d = self.design;
        let said = reported.filter(|v| v.is_finite() && *v > 0.0);
        self.left_out += u64::from(reported.is_some() && said.is_none());
        let own = own.filter(|v| v.is_finite() && *v > 0.0);
        if !trial {
            self.earlier_at = at;
        }
        let side = if trial { &mut self.trial } else { &mut self.earlier };
        if !side.contains_key(&machine) && side.len() >= d.max_machines {
            let oldest = side.iter().min_by_key(|t| (t.1.reported.at.max(t.1.own.at), *t.0)).map(|t| *t.0);
            oldest.map(|id| side.remove(&id));
        }
        let t = side.entry(machine).or_default();
        t.stratum = place;
        if let Some(value) = said {
            t.same = if value == t.last { t.same.saturating_add(1) } else { 0 };
            t.last = value;
            if t.same < d.frozen_after {
                t.reported.take(at, value.ln(), d.weight);
            } else {
                self.left_out += 1;
            }
        }
        if let Some(value) = own {
            t.own.take(at, value.ln(), d.weight / 2.0);
        }
    }

    /// Values left out as no number, not above zero, absurd or frozen.
    pub fn discarded_values(&self) -> u64 {
        self.left_out
    }

    /// When an earlier machine last told anything.
    pub fn last_earlier_at(&self) -> u64 {
        self.earlier_at
    }

    /// Compares the builds: slower than `tolerance` times, and not slower than `margin` times.
    pub fn compare(&self, now: u64, tolerance: f64, margin: f64) -> Slowness {
        let by_report = self.residuals(now, |t| t.reported, |t| t.same < self.design.frozen_after);
        // Machines whose reports are of no use are held against the earlier ones by this front's own measure.
        let told = |id: &u32| by_report.0.iter().any(|r| r.0 == *id);
        let by_own = self.residuals(now, |t| t.own, |_| true);
        let mut trial = by_report.0.clone();
        trial.extend(by_own.0.iter().filter(|r| !told(&r.0)).copied());
        let earlier = if by_report.1.len() >= by_own.1.len() { &by_report.1 } else { &by_own.1 };
        let witnesses = together(&trial);
        self.test(witnesses, earlier, tolerance.ln(), margin.ln())
    }

    /// Residuals of the trial's machines (with their zone if no earlier machine is left there) and of the earlier.
    #[allow(clippy::type_complexity)]
    fn residuals(
        &self,
        now: u64,
        value: impl Fn(&Teller) -> Smooth,
        use_of: impl Fn(&Teller) -> bool,
    ) -> (Vec<(u32, Option<u16>, f64)>, Vec<f64>) {
        let d = self.design;
        let speaks = |t: &&Teller| {
            let s = value(t);
            s.n >= d.min_values && s.at + d.max_silence > now && use_of(t)
        };
        let mut by: BTreeMap<Stratum, Vec<f64>> = BTreeMap::new();
        let mut by_kind: BTreeMap<u8, Vec<f64>> = BTreeMap::new();
        for t in self.earlier.values().filter(speaks) {
            by.entry(t.stratum).or_default().push(value(t).mean);
            by_kind.entry(t.stratum.1).or_default().push(value(t).mean);
        }
        let centres: BTreeMap<Stratum, f64> = by.iter().map(|(k, v)| (*k, middle(v))).collect();
        let kinds: BTreeMap<u8, f64> = by_kind.iter().map(|(k, v)| (*k, middle(v))).collect();
        let absurd = d.outlier_factor.ln();
        let trial = self.trial.iter().filter(|t| speaks(&t.1)).filter_map(|(id, t)| {
            let kind = *kinds.get(&t.stratum.1)?;
            let (zone, centre) = match centres.get(&t.stratum) {
                Some(c) => (None, *c),
                None => (Some(t.stratum.0), kind),
            };
            let r = value(t).mean - centre;
            (r.abs() < absurd).then_some((*id, zone, r))
        });
        let earlier = by.iter().flat_map(|(k, v)| {
            let centre = centres[k];
            v.iter().map(move |x| x - centre)
        });
        (trial.collect(), earlier.filter(|r| r.abs() < absurd).collect())
    }

    fn test(&self, mut trial: Vec<f64>, earlier: &[f64], tolerance: f64, margin: f64) -> Slowness {
        let d = self.design;
        let witnesses = trial.len();
        // The one that says most may be sick, and one more is no more than a guess; the same goes for its measure.
        if witnesses < 3 || earlier.len() < 3 {
            return Slowness { witnesses, ..Slowness::NOTHING };
        }
        trial.sort_by(f64::total_cmp);
        let sick = (witnesses / d.faulty_one_in.max(1)).max(1);
        let kept = &trial[..witnesses - sick];
        let (n, m) = (kept.len() as f64, earlier.len() as f64);
        let mean = kept.iter().sum::<f64>() / n;
        // Each stratum's middle costs about one degree of freedom; the caller's spread stands for so many machines.
        let squares: f64 = earlier.iter().map(|r| r * r).sum();
        let freedom = (m - 1.0).max(0.0) + d.spread_weight;
        let spread = ((squares + d.spread_weight * d.spread * d.spread) / freedom).sqrt();
        let error = spread * (1.0 / n + 1.0 / m).sqrt();
        let t = StudentsT::new(0.0, 1.0, freedom).ok();
        let above = |x: f64| t.as_ref().map_or(1.0, |t| t.sf(x));
        Slowness {
            ratio: mean.exp(),
            p_value: above((mean - tolerance) / error),
            p_value_no_worse: above((margin - mean) / error),
            witnesses,
        }
    }
}

/// One witness for each machine in a known zone, and one for each zone without an earlier machine.
fn together(trial: &[(u32, Option<u16>, f64)]) -> Vec<f64> {
    let mut zones: BTreeMap<u16, Vec<f64>> = BTreeMap::new();
    let mut out = vec![];
    for (_, zone, r) in trial {
        match zone {
            None => out.push(*r),
            Some(zone) => zones.entry(*zone).or_default().push(*r),
        }
    }
    out.extend(zones.values().map(|v| middle(v)));
    out
}

fn middle(values: &[f64]) -> f64 {
    let mut v = values.to_vec();
    v.sort_by(f64::total_cmp);
    let n = v.len();
    match n {
        0 => 0.0,
        _ if n % 2 == 1 => v[n / 2],
        _ => (v[n / 2 - 1] + v[n / 2]) / 2.0,
    }
}
