//! What the fronts of one tier do together, without I/O, clock or randomness of its own.
//!
//! This crate's decisions stand in `pool.rs`: who gathers what all fronts saw of a build, how often it is told, and
//! whose opinion a front that sees too little goes by. What an opinion leads to is the decision module's.

pub mod pool;
pub mod report;
