//! Client-side routing between two builds of a fleet that is being replaced in stages.
//!
//! The library holds decisions only: it does no I/O, reads no clock and starts no thread. A host
//! builds one [`Front`] from a seed and [`Settings`], then passes each [`Event`] with the time to
//! [`Front::handle`] and carries out the [`Action`]s it gets back.
//!
//! [`Settings`]: interface::Settings
//! [`Event`]: interface::Event
//! [`Action`]: interface::Action

pub mod accounting;
pub mod interface;
pub mod membership;
pub mod rules;

pub use rules::Front;
