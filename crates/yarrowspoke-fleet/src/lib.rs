//! State machines for a fleet of fronts and planners: which front acted on which version, and how a front that falls
//! behind (a straggler) is reconciled or quarantined.
//!
//! The crate does no I/O, reads no clock and draws no unseeded random numbers: times are passed in as microseconds on
//! the caller's own monotonic clock, and messages as values. [`version`] defines what a front acts on and how two
//! versions compare, [`span`] what a front records, [`report_log`] how reports from everywhere are merged, [`front`]
//! and [`planner`] the two sides of the protocol, [`permits`] the state that planners agree on,
//! [`order_intake`] how many orders a planner takes,
//! [`heartbeat_schedule`] when heartbeats are due, and [`wire`] the messages.
//!
//! Three rules hold throughout. *Unknown is a value*: what was not received is shown, with its bounds. *Others may
//! only restrict*: what a front receives from a planner takes permissions away; only the front's own sources add any.
//! *A silent holder still holds*: a slot taken by a front that fell silent stays counted until that front is seen in
//! service.

pub mod audit;
pub mod delta;
pub mod front;
pub mod heartbeat_schedule;
pub mod mutant;
pub mod order_intake;
pub mod permits;
pub mod planner;
pub mod report_log;
pub mod settings;
pub mod span;
pub mod version;
pub mod wire;

/// Microseconds.
pub type Micros = u64;
