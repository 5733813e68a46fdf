//! Reports that a planner stores, keyed by front, incarnation and numbers, in an embedded database. Each is a frame with a
//! checksum.
//!
//! The module does not interpret reports; keys and values are the caller's. An unreadable frame is reported and skipped, so
//! that one bad sector does not make the record of a whole fleet unusable. What it held is then unknown, and must not be
//! taken as free of faults.

use crate::record::{frame, unframe};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use thiserror::Error;

const REPORTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("reports");
/// Bytes of the database that are cached in memory.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// Key of a report: front, incarnation, first and last number.
pub type ReportKey = (String, u64, u64, u64);

/// Why the reports cannot be written or read.
#[derive(Debug, Error)]
pub enum ReportsError {
    /// The database engine failed.
    #[error("{path}: {source}")]
    Engine {
        /// Path of the file.
        path: String,
        /// Error of the engine.
        source: redb::Error,
    },
}

/// Reports on disk.
#[derive(Debug)]
pub struct Reports {
    database: Database,
    path: String,
}

/// The stored reports by key, and a description of each one that could not be read.
#[derive(Debug)]
pub struct StoredReports<T> {
    /// Readable reports.
    pub reports: BTreeMap<ReportKey, T>,
    /// Errors of the unreadable reports.
    pub unreadable: Vec<String>,
}

fn encode_key(key: &ReportKey) -> Vec<u8> {
    postcard::to_stdvec(key).unwrap_or_default()
}

impl Reports {
    /// Opens the reports in a directory, creating the file if it does not exist.
    pub fn open(dir: &Path) -> Result<Self, ReportsError> {
        let path = dir.join("reports");
        let path_text = path.display().to_string();
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES);
        let created = builder.create(&path).map_err(redb::Error::from);
        let database = created.map_err(|source| ReportsError::Engine { path: path_text.clone(), source })?;
        Ok(Self { database, path: path_text })
    }

    fn with_path<T>(&self, result: Result<T, redb::Error>) -> Result<T, ReportsError> {
        result.map_err(|source| ReportsError::Engine { path: self.path.clone(), source })
    }

    /// Inserts and removes reports in one durable transaction.
    pub fn update<T: Serialize>(
        &self,
        inserted: &[(ReportKey, T)],
        removed: &[ReportKey],
    ) -> Result<(), ReportsError> {
        let write = || -> Result<(), redb::Error> {
            let transaction = self.database.begin_write()?;
            {
                let mut table = transaction.open_table(REPORTS)?;
                for (key, report) in inserted {
                    let key = encode_key(key);
                    table.insert(key.as_slice(), frame(&key, report).as_slice())?;
                }
                for key in removed {
                    table.remove(encode_key(key).as_slice())?;
                }
            }
            transaction.commit()?;
            Ok(())
        };
        self.with_path(write())
    }

    /// Reads all reports.
    pub fn read<T: DeserializeOwned>(&self) -> Result<StoredReports<T>, ReportsError> {
        let read = || -> Result<StoredReports<T>, redb::Error> {
            let mut stored = StoredReports { reports: BTreeMap::new(), unreadable: vec![] };
            let table = match self.database.begin_read()?.open_table(REPORTS) {
                Ok(table) => table,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(stored),
                Err(e) => return Err(e.into()),
            };
            for entry in table.iter()? {
                let (key, value) = entry?;
                let decoded_key = postcard::from_bytes::<ReportKey>(key.value());
                match (decoded_key, unframe::<T>(key.value(), value.value())) {
                    (Ok(report_key), Ok(report)) => {
                        stored.reports.insert(report_key, report);
                    }
                    (Ok(report_key), Err(e)) => stored.unreadable.push(format!("{report_key:?}: {e}")),
                    (Err(e), _) => stored.unreadable.push(format!("a key that cannot be read: {e}")),
                }
            }
            Ok(stored)
        };
        self.with_path(read())
    }
}
