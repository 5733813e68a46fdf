//! What a scale run prints: one object, of this version.

use super::target::Budget;
use serde::{Deserialize, Serialize};

/// Version of the object; a page is written from no other.
pub const VERSION: u32 = 1;

/// How a quantity grows with a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// It does not.
    Flat,
    /// Evenly.
    Linear,
    /// As size times its logarithm.
    NLogN,
    /// With the square.
    Quadratic,
}

/// How a figure came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// Seen in a run at that very size.
    Measured,
    /// A slope put forward to that size.
    WorkedOut,
}

/// One quantity of one role over one size, and what was fitted to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Front, planner, discovery, ...
    pub role: String,
    /// What was measured.
    pub quantity: String,
    /// Its unit.
    pub unit: String,
    /// The size that it is measured over: fronts, machines, routes, ...
    pub over: String,
    /// Size and value.
    pub points: Vec<(f64, f64)>,
    /// The shape that fits best.
    pub shape: Shape,
    /// What one more of the size adds, in the shape's own measure (for `NLogN` a unit of n log2 n).
    pub per_unit: f64,
    /// What it is at size 0.
    pub fixed: f64,
    /// Root of the mean square of what the fit leaves, as a share of the largest value.
    pub residual: f64,
}

/// One quantity at the size to come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AtSize {
    /// Front, planner, discovery, ...
    pub role: String,
    /// What it is.
    pub quantity: String,
    /// Its unit.
    pub unit: String,
    /// The figure.
    pub value: f64,
    /// What there is for it, if anybody said.
    pub budget: Option<f64>,
    /// Whose budget it is; nothing where there is none.
    #[serde(default)]
    pub budget_of: Option<Budget>,
    /// Whether that is enough; nothing where there is no budget.
    pub within: Option<bool>,
    /// What carries it, by its standard name and place in the code, or `missing`.
    pub mechanism: String,
    /// Measured or worked out.
    pub origin: Origin,
    /// Slope times size and fixed, as a line to read.
    pub formula: String,
}

/// A bad day, in short.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Incident {
    /// Which.
    pub name: String,
    /// What must not happen in it, as a sentence.
    pub must_not: String,
    /// It did not happen.
    pub held: bool,
    /// What happened instead, if it did.
    pub broken: Vec<String>,
    /// Seconds from its end until all was as before; nothing if that was not seen.
    pub steady_after_s: Option<f64>,
    /// Seconds until the last front acted on the change made beside it; nothing if that was not seen.
    pub change_in_force_s: Option<f64>,
    /// Largest bytes a second, processor time and memory by role: role, quantity, unit, value.
    pub peaks: Vec<(String, String, String, f64)>,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Of the object.
    pub version: u32,
    /// Draws everything.
    pub seed: u64,
    /// The short run.
    pub quick: bool,
    /// With the form `paced` in the fleet's section.
    #[serde(default)]
    pub paced: bool,
    /// Most processes at once, this one counted in.
    pub processes: usize,
    /// Most resident memory of all of them together.
    pub peak_memory_mb: f64,
    /// Largest numbers played.
    pub real_fronts: usize,
    /// The same of hollow ones.
    pub hollow_fronts: usize,
    /// Machines.
    pub machines: usize,
    /// Services.
    pub services: usize,
    /// Routes.
    pub routes: usize,
    /// Tenants.
    pub tenants: usize,
    /// Slopes.
    pub slopes: Vec<Slope>,
    /// At the size to come, worst ratio first.
    pub at_size: Vec<AtSize>,
    /// Largest relative difference between a hollow and a real front's control side.
    pub hollow_error: Option<f64>,
    /// Nine in ten of the restarted real processes were ready after so many seconds.
    pub ready_s_p90: Option<f64>,
    /// The longest that a change took to be acted on by the last front, in all incidents.
    pub change_in_force_s_max: Option<f64>,
    /// Incidents.
    pub incidents: Vec<Incident>,
    /// Faults planted in the run's own checks...
    pub planted: usize,
    /// ...and caught.
    pub planted_caught: usize,
    /// What stops before the size to come, or is refused there, one line each: found, not failed.
    #[serde(default)]
    pub findings: Vec<String>,
    /// Rows of the largest whole list that a front reads.
    #[serde(default)]
    pub most_rows: usize,
    /// What failed, one line each; empty if all checks held.
    pub failures: Vec<String>,
    /// What was not measured, and why, one line each.
    pub not_measured: Vec<String>,
}

impl Report {
    /// Whether all that it checks held. A missed budget is a finding, not a failure.
    pub fn held(&self) -> bool {
        self.failures.is_empty()
            && self.planted == self.planted_caught
            && self.incidents.iter().all(|i| i.held)
    }
}
