//! Reports that a planner keeps: by life and numbers, in an embedded database, each in a frame with its checksum.
//!
//! It knows nothing of what a report is: keys and values are the caller's. A frame that can't be read is told and left out,
//! so that one bad sector does not take the record of a whole fleet with it; what it held is unknown then, never fine.

use crate::record::{frame, unframe};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use thiserror::Error;

const REPORTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("reports");
/// Bytes of the database that are kept in memory.
const CACHE: usize = 4 * 1024 * 1024;

/// Where a report stands: front, life, first and last number.
pub type ReportKey = (String, u64, u64, u64);

/// Why the reports can't be kept or read.
#[derive(Debug, Error)]
pub enum ReportsError {
    /// The engine.
    #[error("{path}: {source}")]
    Engine {
        /// The file.
        path: String,
        /// What it says.
        source: redb::Error,
    },
}

/// Reports on disk.
#[derive(Debug)]
pub struct Reports {
    database: Database,
    path: String,
}

/// What was read: reports by key, and why each of the others could not be.
#[derive(Debug)]
pub struct StoredReports<T> {
    /// Reports.
    pub reports: BTreeMap<ReportKey, T>,
    /// What could not be read.
    pub unreadable: Vec<String>,
}

fn bytes_of(key: &ReportKey) -> Vec<u8> {
    postcard::to_stdvec(key).unwrap_or_default()
}

impl Reports {
    /// Opens the reports of a directory, or makes the file.
    pub fn open(dir: &Path) -> Result<Self, ReportsError> {
        let path = dir.join("reports");
        let shown = path.display().to_string();
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE);
        let made = builder.create(&path).map_err(redb::Error::from);
        let database = made.map_err(|source| ReportsError::Engine { path: shown.clone(), source })?;
        Ok(Self { database, path: shown })
    }

    fn named<T>(&self, done: Result<T, redb::Error>) -> Result<T, ReportsError> {
        done.map_err(|source| ReportsError::Engine { path: self.path.clone(), source })
    }

    /// Keeps reports and gives others up, durably, in one go.
    pub fn update<T: Serialize>(
        &self,
        kept: &[(ReportKey, T)],
        gone: &[ReportKey],
    ) -> Result<(), ReportsError> {
        let write = || -> Result<(), redb::Error> {
            let transaction = self.database.begin_write()?;
            {
                let mut table = transaction.open_table(REPORTS)?;
                for (key, report) in kept {
                    let key = bytes_of(key);
                    table.insert(key.as_slice(), frame(&key, report).as_slice())?;
                }
                for key in gone {
                    table.remove(bytes_of(key).as_slice())?;
                }
            }
            transaction.commit()?;
            Ok(())
        };
        self.named(write())
    }

    /// Reads all of them.
    pub fn read<T: DeserializeOwned>(&self) -> Result<StoredReports<T>, ReportsError> {
        let read = || -> Result<StoredReports<T>, redb::Error> {
            let mut out = StoredReports { reports: BTreeMap::new(), unreadable: vec![] };
            let table = match self.database.begin_read()?.open_table(REPORTS) {
                Ok(table) => table,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(out),
                Err(e) => return Err(e.into()),
            };
            for entry in table.iter()? {
                let (key, value) = entry?;
                let named = postcard::from_bytes::<ReportKey>(key.value());
                match (named, unframe::<T>(key.value(), value.value())) {
                    (Ok(name), Ok(report)) => {
                        out.reports.insert(name, report);
                    }
                    (Ok(name), Err(e)) => out.unreadable.push(format!("{name:?}: {e}")),
                    (Err(e), _) => out.unreadable.push(format!("a key that cannot be read: {e}")),
                }
            }
            Ok(out)
        };
        self.named(read())
    }
}
