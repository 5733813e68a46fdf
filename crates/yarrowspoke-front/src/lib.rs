//! The front as a library, so that its parts can be tested without starting a process.

pub mod agreed_log;
pub mod call_ids;
pub mod check;
pub mod classify;
pub mod cli;
pub mod config;
pub mod descriptor_budget;
pub mod driver;
pub mod event_bus;
pub mod exchange;
pub mod explain;
pub mod fleet_commands;
pub mod fleet_member;
pub mod input;
pub mod ledger_writer;
pub mod listed_machines;
pub mod logging;
pub mod net;
pub mod planner;
pub mod run;
pub mod shadow_settings;
pub mod shutdown;
pub mod store_commands;
