//! How the program bears the size to come: slopes of cost over size, and bad days, on real processes beside hollow ones.
//!
//! A *hollow* front runs the program's own client side of control and forwards nothing; hundreds share one process. Bytes and
//! calls are what the stand-ins counted, never what the program says of itself.

pub mod alone;
pub mod assumed;
pub mod at_size;
pub mod bounds;
pub mod child;
pub mod cli;
pub mod clients;
pub mod control;
pub mod discovery;
pub mod estate;
pub mod fit;
pub mod hollow;
pub mod incidents;
pub mod machines;
pub mod observe;
pub mod page;
pub mod planted;
pub mod platform;
pub mod play;
pub mod plot;
pub mod ports;
pub mod proxy;
pub mod pure;
pub mod record;
pub mod report;
pub mod run;
pub mod site;
pub mod target;
pub mod usage;
pub mod witness;
