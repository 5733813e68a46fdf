//! The adapter as a library, so that its framing and hosting can be tested without a process.

pub mod host;
pub mod wire;
