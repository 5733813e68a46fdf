//! The laboratory: a seeded world of stand-ins in virtual time, and experiments played in it.
//!
//! The world ([`world`]) drives real [`yarrowspoke::Front`] values through their one entry point, many at once,
//! and knows nothing of any experiment. An experiment ([`verdicts`]) draws worlds, plays them in parallel and
//! counts. Nothing here is part of the release path, and all figures it prints are simulated, but for those of [`fleet`] and [`scale`]: they
//! start the built program many times over loopback and put faults between the processes.

pub mod baselines;
pub mod fleet;
pub mod machine;
pub mod plot;
pub mod rules;
pub mod scale;
pub mod scenario;
pub mod store;
pub mod verdicts;
pub mod world;
