//! Many copies of the program, together: who acted on which version, and how a straggler is reconciled or quarantined.
//!
//! Everything here is free of I/O, clocks and unseeded draws: times come in as microseconds on the caller's own monotonic
//! clock, messages as values. [`version`] says what a front acts on and how two such compare, [`span`] what it notes of it,
//! [`book`] how notes from everywhere become one, [`front`] and [`planner`] are the two sides of the ladder, and [`wire`]
//! what passes between them.
//!
//! Three habits hold throughout. *Unknown is a value*: what was not heard is shown with its bounds. *Others may only narrow*:
//! what a front hears from a planner takes something away; what gives more comes from the front's own sources. *A silent
//! holder still holds*: a slot taken by a front that went silent stays counted until that front is seen in service.

pub mod audit;
pub mod delta;
pub mod front;
pub mod heartbeat_schedule;
pub mod mutant;
pub mod permits;
pub mod planner;
pub mod report_log;
pub mod settings;
pub mod span;
pub mod version;
pub mod wire;

/// Microseconds.
pub type Micros = u64;
