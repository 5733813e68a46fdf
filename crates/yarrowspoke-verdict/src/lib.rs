//! Statistics of judging a build on trial, with stated error rates, looked at any number of times.
//!
//! Nothing here does I/O, reads a clock, draws random numbers or holds a tuned value: spans, effects and rates are
//! the caller's ([`evidence_log::Design`]). What is found is evidence; what follows from it is the caller's to decide.
//!
//! - [`evidence`]: e-processes mixed over effects and change points, kept apart by witness;
//! - [`failures`]: the safe two-by-two test of failures, in blocks of time, class and zone;
//! - [`pace`]: the test of slowness in which a machine is one witness, whatever it says;
//! - [`split`]: the split of a fleet's rate over fronts and of a front's over time;
//! - [`power`]: which faults can be found within which time;
//! - [`evidence_log`]: all of it for one build at one front.

pub mod evidence;
pub mod evidence_log;
pub mod failures;
pub mod pace;
pub mod power;
pub mod split;
