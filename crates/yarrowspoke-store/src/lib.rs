//! Storage that survives a restart of a front.
//!
//! [`ledger`] alone decides what a record means for a repeated request, how long the record is kept and what happens when
//! the ledger is full. [`snapshot`] decides how far stored state is trusted. Both are free of I/O. [`store`] keeps the
//! records in an embedded database (redb), [`disk`] is the only interface to the disk, [`mark`] records the last
//! acknowledged commit apart from the database, and [`writer`] commits in groups on its own thread. The files are described
//! in `docs/design/store-format.md`.

pub mod disk;
pub mod journal;
pub mod ledger;
pub mod mark;
pub mod record;
pub mod reports;
pub mod snapshot;
pub mod store;
pub mod writer;
