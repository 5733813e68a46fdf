//! Slopes of the pure cores: no socket and no other process but probes of memory.
//!
//! Times are the processor time of this thread, never elapsed time; what a machine shared with others costs is not in them.

pub mod agreed;
pub mod links;
pub mod list;
pub mod module;
pub mod probe;
pub mod rules;

use super::fit::fit;
use super::report::{Report, Slope};
use super::run::Options;
use rustix::time::{clock_gettime, ClockId};
use std::io;

/// Seconds of processor time that this thread has had.
pub fn spent() -> f64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as f64 + t.tv_nsec as f64 / 1e9
}

/// Seconds of processor time that `work` takes.
pub fn timed<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let from = spent();
    let done = work();
    (spent() - from, done)
}

/// The middle one of some figures.
pub fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(0.0)
}

/// What a slope is of: role, quantity, unit, and the size that it is over.
pub type Named = (&'static str, &'static str, &'static str, &'static str);

/// Adds a slope with its fit.
pub fn slope(seen: &mut Report, (role, quantity, unit, over): Named, points: Vec<(f64, f64)>) {
    let f = fit(&points);
    let (role, quantity, unit, over) =
        (role.to_owned(), quantity.to_owned(), unit.to_owned(), over.to_owned());
    let (shape, per_unit, fixed, residual) = (f.shape, f.per_unit, f.fixed, f.residual);
    seen.slopes.push(Slope { role, quantity, unit, over, points, shape, per_unit, fixed, residual });
}

/// Measures all of them.
pub fn measure(options: &Options, seen: &mut Report, tick: &dyn Fn(&str)) -> io::Result<()> {
    module::measure(options, seen, tick)?;
    rules::measure(options, seen, tick);
    list::measure(options, seen, tick)?;
    links::measure(options, seen, tick);
    agreed::measure(options, seen, tick)
}
