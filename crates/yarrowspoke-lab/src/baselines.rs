//! Judges to measure against, looking on at what each front sees and deciding nothing.
//!
//! In order: the thresholds that `rules.rs` used before the verdict crate (share of failures by Wilson's bound,
//! middle pace over machines, findings that must last), a fixed-horizon test looked at again and again as if each
//! look were the only one, and Wald's SPRT of failures with nothing known of machines.

use crate::scenario::{Scenario, CLASSES, MS, S};
use std::collections::VecDeque;
use yarrowspoke::accounting::{
    failure_counts, lower_bound, machine_medians, machines_by_score, median, medians, without_machines,
    Sample,
};
use yarrowspoke::interface::Micros;

const BACK_MARGIN: f64 = 0.05;
const SLIGHT_MARGIN: f64 = 0.005;
const SPREAD: f64 = 0.25;
const SLOW_RATIO: f64 = 1.5;
const SLOW_SURE: f64 = 1.15;
const SICK_PART: usize = 4;
const SICK_SHARE: f64 = 0.25;
const SICK_BAD: f64 = 2.0;
const BRIEF: Micros = 2_500 * MS;
const SOUND: f64 = 8.0;
const SOLE_LASTS: Micros = 6 * S;
const SLIGHT_LASTS: Micros = 3 * S;
const PACE_SPAN: Micros = 8 * S;
const PACE_LEAST: usize = 12;
const PACE_GAP: Micros = S;
const ENOUGH: usize = 20;
const LEAST_BAD: f64 = 3.0;
const SURE: f64 = 2.0;
const CROWD: f64 = 4.0;
const CERTAIN: f64 = 3.0;
const JUDGE_SPAN: Micros = 8 * S;
const RING: usize = 3_000;
const LOOKS_EVERY: Micros = 250 * MS;

#[derive(Clone, Copy, PartialEq, PartialOrd, Eq, Ord, Debug)]
enum Finding {
    Clear,
    Doubt,
    Slight,
    Sole,
    Slow,
    Fault,
}

/// The three judges over one front's evidence.
pub struct Ladder {
    trial: VecDeque<Sample>,
    earlier: VecDeque<Sample>,
    suspect_from: Option<Micros>,
    z: f64,
    sprt: f64,
    looked: Micros,
    /// Whether each has said 'back'.
    pub said_back: [bool; 3],
}

impl Ladder {
    /// Judges that have seen nothing.
    pub fn new(sc: &Scenario) -> Self {
        let votes = f64::from(sc.back_votes.max(1));
        let crowd = (f64::from(sc.fronts) / votes / CROWD).max(1.0);
        Self {
            trial: VecDeque::new(),
            earlier: VecDeque::new(),
            suspect_from: None,
            z: (SURE * SURE + 2.0 * crowd.ln() - votes.ln()).max(1.0).sqrt(),
            sprt: 0.0,
            looked: 0,
            said_back: [false; 3],
        }
    }

    /// Takes an outcome of the build on trial or of the earlier one.
    pub fn note(&mut self, trial: bool, seen: Sample) {
        if trial {
            // Wald: 1 % against 10 %, bounded below so that a late fault can still be found.
            self.sprt += if seen.ok { (0.90f64 / 0.99).ln() } else { 10.0f64.ln() };
            self.sprt = self.sprt.max(0.02f64.ln());
        }
        let ring = if trial { &mut self.trial } else { &mut self.earlier };
        ring.push_back(seen);
        if ring.len() > RING {
            ring.pop_front();
        }
    }

    /// Looks at the evidence, four times a second.
    pub fn look(&mut self, now: Micros) {
        if now < self.looked + LOOKS_EVERY || self.trial.is_empty() || self.said_back == [true; 3] {
            return;
        }
        self.looked = now;
        let trial: Vec<&Sample> = self.trial.iter().filter(|s| s.at + JUDGE_SPAN > now).collect();
        let earlier: Vec<&Sample> = self.earlier.iter().collect();
        let lasts = match thresholds(now, &trial, &earlier, self.z) {
            Finding::Fault => 0,
            Finding::Slow => BRIEF,
            Finding::Sole => SOLE_LASTS,
            Finding::Slight => SLIGHT_LASTS,
            Finding::Doubt | Finding::Clear => Micros::MAX,
        };
        let fixed = fixed_horizon(&trial, &earlier);
        self.suspect_from = if lasts < Micros::MAX { self.suspect_from.or(Some(now)) } else { None };
        self.said_back[0] |= self.suspect_from.is_some_and(|t| now >= t.saturating_add(lasts));
        self.said_back[1] |= fixed;
        self.said_back[2] |= self.sprt > (0.9f64 / 0.02).ln();
    }
}

/// The judge as `rules.rs` had it, without what needs the platform's counts or figures from before the build.
fn thresholds(now: Micros, trial: &[&Sample], earlier: &[&Sample], z: f64) -> Finding {
    let mut worst = failing(trial, earlier, z);
    let mut picked = false;
    for class in 0..CLASSES.len() {
        let (t, rest): (Vec<_>, Vec<_>) = trial.iter().partition(|s| s.class == class);
        let e: Vec<_> = earlier.iter().filter(|s| s.class == class).copied().collect();
        let found = failing(&t, &e, z);
        let (n, bad) = failure_counts(&rest);
        picked |= found >= Finding::Sole && n >= SOUND && bad < n * BACK_MARGIN;
        worst = worst.max(found);
    }
    worst = if picked { Finding::Fault } else { worst };
    let recent = trial.iter().copied().filter(|s| s.at + BRIEF > now).collect::<Vec<_>>();
    if recent.len() as f64 >= SOUND && failure_counts(&recent).1 == 0.0 {
        worst = worst.min(Finding::Doubt);
    }
    let pace = slowness(now, trial, earlier, z);
    if pace.0 > SLOW_RATIO && pace.1 > SLOW_SURE {
        worst = worst.max(if pace.2 > 1 { Finding::Slow } else { Finding::Sole });
    }
    worst
}

/// A failure share against the earlier build's. The sickest machines are left out where there are several:
/// a sick machine is no build fault. Scattered failures stay in: a build may fail a little everywhere.
fn failing(trial: &[&Sample], earlier: &[&Sample], z: f64) -> Finding {
    let failed = |s: &Sample| f64::from(u8::from(!s.ok));
    let trim = |v: &[&Sample]| -> (f64, f64) {
        let order = machines_by_score(v, failed);
        let most = if order.len() < 2 { 0 } else { order.len().div_ceil(SICK_PART) };
        let sick = order.iter().take(most).filter(|m| {
            let (n, bad) =
                failure_counts(&v.iter().filter(|s| s.machine == **m).copied().collect::<Vec<_>>());
            bad >= SICK_BAD && bad > SICK_SHARE * n
        });
        failure_counts(&without_machines(v, &sick.copied().collect::<Vec<_>>()))
    };
    let (base, kept) = (trim(earlier), trim(trial));
    let margin = base.1 / base.0.max(1.0) + BACK_MARGIN;
    let failing: Vec<&Sample> = trial.iter().filter(|s| !s.ok).copied().collect();
    let spread = machines_by_score(&failing, failed).len() as f64
        >= SPREAD * machines_by_score(trial, failed).len() as f64;
    let slight = (base.1 + 0.5) / base.0.max(1.0) + SLIGHT_MARGIN;
    let least = if z < SURE { LEAST_BAD - 1.0 } else { LEAST_BAD };
    let sure = |s: (f64, f64)| s.1 >= least && lower_bound(s.1, s.0, z) > margin;
    let all = failure_counts(trial);
    if sure(all) && machines_by_score(&failing, failed).len() < 2 {
        Finding::Sole
    } else if sure(kept) {
        Finding::Fault
    } else if kept.1 > LEAST_BAD && lower_bound(kept.1, kept.0, z) > slight && spread {
        Finding::Slight
    } else if all.1 >= LEAST_BAD - 1.0 && all.1 / all.0 > margin - BACK_MARGIN / 2.0
        || kept.1 >= LEAST_BAD && lower_bound(kept.1, kept.0, 1.0) > slight
    {
        Finding::Doubt
    } else {
        Finding::Clear
    }
}

/// Median pace of the trial machines over that of earlier machines of the same kind and class, lately; its
/// lower bound over machines; and their number. The slowest are left out where there are several.
fn slowness(now: Micros, trial: &[&Sample], earlier: &[&Sample], z: f64) -> (f64, f64, usize) {
    // Danger: once the earlier machines are idle or gone, a busy moment of the new ones has no match.
    let last = earlier.iter().filter(|s| s.pace.is_some()).map(|s| s.at).max().unwrap_or(0);
    if last + PACE_GAP < now {
        return (1.0, 1.0, 0);
    }
    let lately = earlier.iter().copied().filter(|s| s.at + PACE_SPAN > now);
    let usual = medians(lately, |s| s.pace, ENOUGH / 2);
    let ratio = |s: &Sample| Some(s.pace? / usual.get(&(s.kind, s.class))?.max(1e-9));
    let near = |s: &&&Sample| s.at + PACE_SPAN > now && ratio(s).is_some();
    let timed: Vec<&Sample> = trial.iter().filter(near).copied().collect();
    let order = machines_by_score(&timed, |s| ratio(s).unwrap_or(1.0));
    let drop = if order.len() < 2 { 0 } else { order.len().div_ceil(SICK_PART) };
    let mut paces: Vec<f64> =
        without_machines(&timed, &order[..drop]).into_iter().filter_map(ratio).collect();
    // Danger: slow links and sick machines come as whole machines: each is one witness, whatever it says; and
    // where one of hundreds of fronts decides, a few witnesses never make it sure enough.
    let machines = machine_medians(&timed, &order[drop..], ratio);
    let n = machines.len() as f64;
    let rank = n / 2.0 - z * n.sqrt() / 2.0;
    if paces.len() < PACE_LEAST || rank < 0.0 && z > CERTAIN {
        return (1.0, 1.0, order.len());
    }
    (median(&mut paces).unwrap_or(1.0), machines[rank as usize], order.len())
}

/// Two shares by the normal approximation, two pace means likewise, each at 2 % one-sided, as if looked at once.
fn fixed_horizon(trial: &[&Sample], earlier: &[&Sample]) -> bool {
    const Z: f64 = 2.054;
    let (t, e) = (failure_counts(trial), failure_counts(earlier));
    if t.0 < ENOUGH as f64 || e.0 < ENOUGH as f64 {
        return false;
    }
    let pooled = (t.1 + e.1) / (t.0 + e.0);
    let sd = (pooled * (1.0 - pooled) * (1.0 / t.0 + 1.0 / e.0)).sqrt();
    let failing = t.1 / t.0 - e.1 / e.0 > Z * sd.max(1e-9);
    let mean = |seen: &[&Sample]| {
        let v: Vec<f64> = seen.iter().filter_map(|s| s.pace).map(f64::ln).collect();
        let n = v.len() as f64;
        let m = v.iter().sum::<f64>() / n.max(1.0);
        (n, m, v.iter().map(|x| (x - m).powi(2)).sum::<f64>() / (n - 1.0).max(1.0))
    };
    let (a, b) = (mean(trial), mean(earlier));
    let enough = a.0 >= ENOUGH as f64 && b.0 >= ENOUGH as f64;
    let slow = enough && a.1 - b.1 - 1.15f64.ln() > Z * (a.2 / a.0 + b.2 / b.0).sqrt().max(1e-9);
    failing || slow
}
