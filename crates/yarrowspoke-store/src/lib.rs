//! What outlasts a restart of a front.
//!
//! [`ledger`] alone decides what a record means for a request that comes again, how long it is kept and what happens at
//! the bound; [`snapshot`] how far what a front once knew is trusted. Both are free of I/O. [`store`] keeps the records on
//! an embedded engine (redb), [`disk`] is all that it asks of a disk, [`mark`] is the witness of what was promised, and
//! [`writer`] commits in groups on a thread of its own. The files are described in `docs/design/store-format.md`.

pub mod disk;
pub mod journal;
pub mod ledger;
pub mod mark;
pub mod record;
pub mod reports;
pub mod snapshot;
pub mod store;
pub mod writer;
