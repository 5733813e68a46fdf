//! What each role takes while something happens: rates over short stretches, and the most of each.

use super::discovery::Caller;
use super::site::{Role, Site};
use super::witness::Load;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// The stretch that a rate is taken over, seconds.
const STRETCH_S: f64 = 1.0;
/// How long looks are kept, seconds.
const KEPT_S: f64 = 30.0;

/// One look.
#[derive(Clone, Debug)]
struct Look {
    at: f64,
    /// Processor time of each process so far, by its role and name.
    cores: BTreeMap<(Role, String), f64>,
    /// Bytes of real fronts, hollow ones, planners and discovery so far, both ways.
    bytes: [u64; 4],
}

/// A role's name, and how many there are of it.
const NAMES: [&str; 4] = ["front", "hollow front", "planner", "discovery"];

/// Peaks as a report has them: role, quantity, unit, value.
pub type Peaks = Vec<(String, String, String, f64)>;

/// Looks at a site again and again.
#[derive(Debug)]
pub struct Observer {
    begun: Instant,
    looks: VecDeque<Look>,
    peaks: BTreeMap<(&'static str, &'static str, &'static str), f64>,
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Front => NAMES[0],
        Role::Hollow => NAMES[1],
        Role::Planner => NAMES[2],
    }
}

/// Processor time between two looks; a process that was started again counts from its start.
fn spent(before: &Look, now: &Look, of: impl Fn(Role) -> bool) -> Vec<(Role, String, f64)> {
    let of = now.cores.iter().filter(|((role, _), _)| of(*role));
    of.map(|(key, cpu)| {
        let then = before.cores.get(key).copied().filter(|then| then <= cpu).unwrap_or(0.0);
        (key.0, key.1.clone(), cpu - then)
    })
    .collect()
}

impl Observer {
    /// Times are counted from `begun`.
    pub fn new(begun: Instant) -> Self {
        Self { begun, looks: VecDeque::new(), peaks: BTreeMap::new() }
    }

    /// Seconds since the site began.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    fn raise(&mut self, role: &'static str, quantity: &'static str, unit: &'static str, value: f64) {
        let peak = self.peaks.entry((role, quantity, unit)).or_default();
        *peak = peak.max(value);
    }

    /// Looks once.
    pub fn look(&mut self, site: &Site) {
        let at = self.now();
        let usage = site.usage();
        for (role, _, taken) in &usage {
            let unit = if *role == Role::Hollow { "MB a process" } else { "MB" };
            self.raise(role_name(*role), "resident memory", unit, taken.rss_mb);
        }
        let [real, hollow] = Caller::ALL.map(|c| (site.control(c).bytes(), site.discovery.tally(c)));
        let listed = |t: &super::discovery::Tally| t.bytes_in + t.bytes_out;
        let among = site.among_planners().bytes();
        let look = Look {
            at,
            cores: usage.into_iter().map(|(role, name, taken)| ((role, name), taken.cpu_s)).collect(),
            bytes: [
                real.0 + listed(&real.1),
                hollow.0 + listed(&hollow.1),
                real.0 + hollow.0 + among,
                listed(&real.1) + listed(&hollow.1),
            ],
        };
        if let Some(before) = self.looks.iter().rev().find(|l| at - l.at >= STRETCH_S).cloned() {
            let span = at - before.at;
            let counts = [site.spec.real, site.spec.hollow, site.spec.planners, 1];
            for (n, name) in NAMES.iter().enumerate().filter(|(n, _)| counts[*n] > 0) {
                let bytes = look.bytes[n].saturating_sub(before.bytes[n]) as f64;
                self.raise(name, "control bytes", "bytes/s each", bytes / span / counts[n] as f64);
            }
            for (role, name, cpu) in spent(&before, &look, |_| true) {
                let each = match role {
                    Role::Hollow => {
                        let of = name.rsplit_once('-').and_then(|n| n.1.parse::<usize>().ok());
                        of.and_then(|n| site.hollow.get(n)).map_or(1, |h| h.fronts.max(1))
                    }
                    _ => 1,
                };
                self.raise(role_name(role), "processor time", "cores", cpu / span / each as f64);
            }
        }
        self.looks.push_back(look);
        while self.looks.front().is_some_and(|l| at - l.at > KEPT_S) {
            self.looks.pop_front();
        }
    }

    /// What each role has taken over the last so many seconds: fronts, hollow ones, planners. Nothing before there are looks.
    pub fn load(&self, seconds: f64) -> Option<Vec<Load>> {
        let now = self.looks.back()?;
        let before = self.looks.iter().rev().find(|l| now.at - l.at >= seconds)?;
        let span = now.at - before.at;
        let of = |(n, role): (usize, Role)| Load {
            bytes_per_s: now.bytes[n].saturating_sub(before.bytes[n]) as f64 / span,
            cores: spent(before, now, |r| r == role).iter().map(|s| s.2).sum::<f64>() / span,
        };
        Some([Role::Front, Role::Hollow, Role::Planner].into_iter().enumerate().map(of).collect())
    }

    /// The peaks since they were last taken.
    pub fn peaks(&mut self) -> Peaks {
        let line = |((role, quantity, unit), value): ((&str, &str, &str), f64)| {
            (role.to_owned(), quantity.to_owned(), unit.to_owned(), value)
        };
        std::mem::take(&mut self.peaks).into_iter().map(line).collect()
    }
}
