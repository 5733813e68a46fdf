//! The real front as a library, so that its parts can be tested without a process.

pub mod agree;
pub mod check;
pub mod classify;
pub mod cli;
pub mod config;
pub mod driver;
pub mod exchange;
pub mod explain;
pub mod fleets;
pub mod hub;
pub mod input;
pub mod keeper;
pub mod logging;
pub mod member;
pub mod net;
pub mod places;
pub mod planner;
pub mod run;
pub mod stores;
pub mod watch;
