//! Statistics for judging a build on trial with stated error rates, however often the evidence is evaluated.
//!
//! Nothing here does I/O, reads a clock, draws random numbers or holds a tuned value: time spans, effects and rates
//! come from the caller ([`evidence_log::Design`]). The results are evidence; the caller decides what follows from
//! it.
//!
//! - [`evidence`]: e-processes mixed over effects and change points, kept separately by witness;
//! - [`failures`]: the safe two-by-two test of failures, in blocks of time, class and zone;
//! - [`pace`]: the test of slowness, in which each machine is one witness, however much it reports;
//! - [`split`]: how the fleet's error rate is split over fronts, and a front's over time;
//! - [`power`]: which faults can be found within which time;
//! - [`evidence_log`]: all evidence on one build at one front.

pub mod evidence;
pub mod evidence_log;
pub mod failures;
pub mod pace;
pub mod power;
pub mod split;
