//! How the program bears the size to come: slopes of cost over size, and bad days, on real processes beside hollow ones.
//!
//! A *hollow* front runs the program's own client side of control and forwards nothing; hundreds share one process. Bytes and
//! calls are what the stand-ins counted, never what the program says of itself.

pub mod assumed;
pub mod at_size;
pub mod cli;
pub mod fit;
pub mod page;
pub mod play;
pub mod pure;
pub mod report;
pub mod run;
pub mod target;
