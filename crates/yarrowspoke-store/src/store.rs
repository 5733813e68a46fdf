//! Stores the ledger and the snapshot on disk in a redb database.

use crate::disk::{Disk, DiskFile};
use crate::ledger::{
    advance_clock, check_content, decide, may_expire, record_end, Decision, Micros, Outcome, Record,
    SpaceUsage, State,
};
use crate::mark::{Mark, Slot, FORMAT};
use crate::record::{frame, unframe, unframe_extended, FrameError};
use crate::snapshot::Snapshot;
use redb::{Database, Durability, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use serde::Serialize;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;

const META: TableDefinition<&str, u128> = TableDefinition::new("meta");
const LEDGER: TableDefinition<u128, &[u8]> = TableDefinition::new("ledger");
const EXPIRY_INDEX: TableDefinition<(u64, u128), ()> = TableDefinition::new("due");
const SNAPSHOT: TableDefinition<u8, &[u8]> = TableDefinition::new("known");

/// Maximum bytes that the engine caches.
const CACHE_BYTES: usize = 1024 * 1024;
/// Bytes that a record takes in addition to its frame: keys in two tables and their share of page overhead.
const RECORD_OVERHEAD_BYTES: u64 = 96;
/// Maximum number of records deleted in one group, so that a commit takes bounded time.
const MAX_DELETIONS_PER_GROUP: usize = 256;

/// Why a store cannot be used. Nothing was written to it.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The disk failed.
    #[error("store: {0}")]
    Io(#[from] io::Error),
    /// The engine cannot open the file.
    #[error("store: the ledger cannot be read: {0}")]
    Engine(String),
    /// The files of the store are inconsistent.
    #[error("store: found {found}, expected {expected}")]
    Inconsistent {
        /// What was found.
        found: String,
        /// What was expected.
        expected: String,
    },
}

impl StoreError {
    fn inconsistent(found: impl Into<String>, expected: impl Into<String>) -> Self {
        Self::Inconsistent { found: found.into(), expected: expected.into() }
    }
}

macro_rules! from_engine {
    ($($error:ty),*) => {
        $(impl From<$error> for StoreError {
            fn from(e: $error) -> Self {
                Self::Engine(e.to_string())
            }
        })*
    };
}

from_engine!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError,
    redb::SetDurabilityError,
    redb::CompactionError
);

/// State of a store when it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Whether the store was just created.
    #[serde(rename = "made")]
    pub created: bool,
    /// Number of times that the store has been opened.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the last commit.
    pub commit: u64,
    /// Number of records.
    pub records: u64,
    /// Number of records whose outcome is unknown.
    pub in_doubt: u64,
    /// Number of records with a final answer.
    pub done: u64,
    /// Number of records of requests known not to have run.
    pub not_run: u64,
    /// Bytes of all records.
    pub bytes: u64,
    /// Size of the ledger's file in bytes.
    pub file_bytes: u64,
    /// Whether there is a snapshot.
    pub snapshot: bool,
}

/// Ids and incarnations of requests whose outcome is unknown.
pub type UnknownOutcomes = Vec<(u128, u64)>;

/// An operation. All operations of a group become durable together.
#[derive(Clone, Debug)]
pub enum Op {
    /// Records the intent of a request.
    Begin {
        /// Id of the request.
        id: u128,
        /// Digest of its content, see [`content_digest`].
        content: u64,
        /// How long the record is kept, in microseconds.
        retention: Micros,
    },
    /// Records the end of a request.
    End {
        /// Id of the request.
        id: u128,
        /// Final state of the request.
        state: State,
        /// How long the record is kept from now on, in microseconds.
        retention: Micros,
    },
    /// Replaces the snapshot of the front's state.
    Snapshot(Snapshot),
}

/// Result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpResult {
    /// Decision on a request, for [`Op::Begin`].
    Decided(Decision),
    /// The operation is recorded; for all others.
    Recorded,
}

#[derive(Debug)]
struct Backend(Arc<dyn DiskFile>);

impl redb::StorageBackend for Backend {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}

/// An open store.
pub struct Store {
    database: Database,
    file: Arc<dyn DiskFile>,
    /// `None` while the store is open for reading only.
    mark: Option<Arc<dyn DiskFile>>,
    last: Mark,
    max_bytes: u64,
    last_time: Micros,
    /// Error of the first failed commit. After a failed sync the contents of the disk are unknown, and a later sync may
    /// report success. Nothing is acknowledged any more until the store is opened again.
    broken: Option<String>,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store")
            .field("last", &self.last)
            .field("broken", &self.broken)
            .finish_non_exhaustive()
    }
}

fn open_engine(file: &Arc<dyn DiskFile>) -> Result<Database, StoreError> {
    let open = || {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        builder.create_with_backend(Backend(Arc::clone(file)))
    };
    // A damaged file must not end the program, even if it makes the engine panic.
    match catch_unwind(AssertUnwindSafe(open)) {
        Ok(opened) => Ok(opened?),
        Err(_) => Err(StoreError::Engine("the engine panicked on the file".to_owned())),
    }
}

impl Store {
    /// Opens the store in a directory, or creates it with the id `new_id`. The records never take more than `max_bytes`.
    pub fn open(
        disk: &dyn Disk,
        new_id: u128,
        max_bytes: u64,
        now: Micros,
    ) -> Result<(Self, Report), StoreError> {
        let exists = disk.exists("ledger")?;
        let acknowledged = Self::last_acknowledged(disk)?;
        let created = match (acknowledged, exists) {
            (Some(mark), false) => {
                let found = format!("no ledger beside a mark of commit {}", mark.commit);
                return Err(StoreError::inconsistent(found, "both files, or neither"));
            }
            // The engine writes while it opens a file, and a refused file must stay as it was found. So the file is first
            // opened with all writes kept in memory.
            (_, true) => {
                Self::open_file(Arc::new(Overlay::new(disk.open("ledger")?)?), acknowledged)?;
                false
            }
            (None, false) => true,
        };
        if disk.exists("ledger.new")? {
            disk.remove("ledger.new")?;
        }
        if created {
            Self::create(disk, new_id, now)?;
        }
        let (mut store, mut report) = Self::open_file(disk.open("ledger")?, acknowledged)?;
        let mark = disk.open("mark")?;
        if acknowledged.is_none() {
            // If a front crashed between the first commit and its mark, the ledger would look as if its mark were lost.
            store.last.write(mark.as_ref())?;
        }
        (store.mark, store.max_bytes) = (Some(mark), max_bytes);
        store.last_time = advance_clock(store.last_time, now);
        store.last.incarnation += 1;
        store.commit_group(&[], now)?;
        (report.created, report.incarnation, report.commit) =
            (created, store.last.incarnation, store.last.commit);
        Ok((store, report))
    }

    /// Opens a ledger file and reads all of it.
    fn open_file(file: Arc<dyn DiskFile>, acknowledged: Option<Mark>) -> Result<(Self, Report), StoreError> {
        let database = open_engine(&file)?;
        let last = acknowledged.unwrap_or(Mark { commit: 0, incarnation: 0, id: 0 });
        let mut store = Self { last, database, file, mark: None, max_bytes: 0, last_time: 0, broken: None };
        // A damaged file must not end the program.
        let checked = catch_unwind(AssertUnwindSafe(|| store.check(acknowledged)));
        let report = match checked {
            Ok(report) => report?,
            Err(_) => return Err(StoreError::Engine("the engine panicked on the file".to_owned())),
        };
        Ok((store, report))
    }

    /// Reads a store without changing it and returns its state, or why it is refused.
    pub fn verify(disk: &dyn Disk) -> Result<Report, StoreError> {
        Self::read_only(disk).map(|read| read.1)
    }

    /// Like [`Store::verify`], and also returns the snapshot and the requests whose outcome is unknown.
    pub fn inspect(disk: &dyn Disk) -> Result<(Report, Option<Snapshot>, UnknownOutcomes), StoreError> {
        let (store, report) = Self::read_only(disk)?;
        let mut in_doubt = Vec::new();
        for entry in store.database.begin_read()?.open_table(LEDGER)?.iter()? {
            let (key, value) = entry?;
            let record = Self::decode_record(key.value(), value.value())?;
            if record.state == State::Intended {
                in_doubt.push((key.value(), record.incarnation));
            }
        }
        Ok((report, store.snapshot()?, in_doubt))
    }

    fn read_only(disk: &dyn Disk) -> Result<(Self, Report), StoreError> {
        if !disk.exists("ledger")? || !disk.exists("mark")? {
            return Err(StoreError::inconsistent("no ledger or no mark", "a store"));
        }
        let acknowledged = Self::last_acknowledged(disk)?;
        let (store, mut report) =
            Self::open_file(Arc::new(Overlay::new(disk.open("ledger")?)?), acknowledged)?;
        (report.incarnation, report.commit) = (store.last.incarnation, store.last.commit);
        Ok((store, report))
    }

    /// Returns the mark of the last acknowledged commit, if a readable one exists.
    fn last_acknowledged(disk: &dyn Disk) -> Result<Option<Mark>, StoreError> {
        if !disk.exists("mark")? {
            return Ok(None);
        }
        let mut best: Option<Mark> = None;
        for slot in Mark::read(disk.open("mark")?.as_ref())? {
            match slot {
                Slot::OtherFormat(format) => {
                    return Err(StoreError::inconsistent(
                        format!("format {format}"),
                        format!("format {FORMAT}"),
                    ));
                }
                Slot::Valid(mark) => best = best.max(Some(mark)),
                Slot::Empty => {}
            }
        }
        Ok(best)
    }

    /// Creates a ledger under a temporary name and renames it once it is complete.
    fn create(disk: &dyn Disk, id: u128, now: Micros) -> Result<(), StoreError> {
        let file = disk.open("ledger.new")?;
        file.set_len(0)?;
        let database = open_engine(&file)?;
        let write = database.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            for (name, value) in [
                ("format", u128::from(FORMAT)),
                ("id", id),
                ("life", 0),
                ("commit", 0),
                ("clock", u128::from(now)),
            ] {
                meta.insert(name, value)?;
            }
            meta.insert("bytes", 0)?;
            meta.insert("records", 0)?;
            write.open_table(LEDGER)?;
            write.open_table(EXPIRY_INDEX)?;
            write.open_table(SNAPSHOT)?;
        }
        write.commit()?;
        drop(database);
        file.sync()?;
        disk.rename("ledger.new", "ledger")?;
        Ok(())
    }

    /// Compares the ledger with the mark and reads all of it.
    fn check(&mut self, acknowledged: Option<Mark>) -> Result<Report, StoreError> {
        let read = self.database.begin_read()?;
        let meta = read.open_table(META)?;
        let meta_value = |name: &str| -> Result<u128, StoreError> {
            let value = meta.get(name)?.map(|v| v.value());
            value.ok_or_else(|| StoreError::inconsistent(format!("no {name} in the ledger"), "one"))
        };
        let format = meta_value("format")?;
        if format != u128::from(FORMAT) {
            return Err(StoreError::inconsistent(format!("format {format}"), format!("format {FORMAT}")));
        }
        let (id, incarnation, commit) =
            (meta_value("id")?, meta_value("life")? as u64, meta_value("commit")? as u64);
        match acknowledged {
            Some(mark) if mark.id != id => {
                let found = format!("a ledger of store {id:032x}");
                return Err(StoreError::inconsistent(found, format!("{:032x}, as the mark says", mark.id)));
            }
            Some(mark) if commit < mark.commit || incarnation < mark.incarnation => {
                let found = format!("a ledger that ends at commit {commit} of incarnation {incarnation}");
                let expected =
                    format!("commit {} of incarnation {}, which was promised", mark.commit, mark.incarnation);
                return Err(StoreError::inconsistent(found, expected));
            }
            None if commit > 0 => {
                let found = format!("no readable mark beside a ledger of commit {commit}");
                return Err(StoreError::inconsistent(found, "the mark of the last acknowledged commit"));
            }
            _ => {}
        }
        let mut report = Report { file_bytes: self.file.len()?, ..Report::default() };
        let expiry_index = read.open_table(EXPIRY_INDEX)?;
        for entry in read.open_table(LEDGER)?.iter()? {
            let (key, value) = entry?;
            let record = Self::decode_record(key.value(), value.value())?;
            report.records += 1;
            report.bytes += value.value().len() as u64 + RECORD_OVERHEAD_BYTES;
            match record.state {
                State::Intended => report.in_doubt += 1,
                State::Done(_) => report.done += 1,
                State::NotRun => report.not_run += 1,
            }
            if expiry_index.get((record.expires_at, key.value()))?.is_none() {
                let found = format!("record {:032x} without an entry in the expiry index", key.value());
                return Err(StoreError::inconsistent(found, "one"));
            }
        }
        if expiry_index.len()? != report.records || meta_value("records")? as u64 != report.records {
            let found = format!("{} records, {} in the expiry index", report.records, expiry_index.len()?);
            return Err(StoreError::inconsistent(found, format!("{} in each", meta_value("records")?)));
        }
        report.snapshot = Self::snapshot_in(&read.open_table(SNAPSHOT)?)?.is_some();
        self.last_time = meta_value("clock")? as u64;
        (self.last.id, self.last.incarnation, self.last.commit) = (id, incarnation, commit);
        Ok(report)
    }

    fn decode_record(key: u128, bytes: &[u8]) -> Result<Record, StoreError> {
        StoredRecord::decode(key, bytes).map(|stored| stored.record)
    }

    fn snapshot_in(table: &impl ReadableTable<u8, &'static [u8]>) -> Result<Option<Snapshot>, StoreError> {
        let Some(bytes) = table.get(0)? else { return Ok(None) };
        let snapshot = unframe(&[0], bytes.value());
        snapshot
            .map(Some)
            .map_err(|e| StoreError::inconsistent(format!("a snapshot with {e}"), "a valid one"))
    }

    /// Returns the snapshot of the front's state, if one was ever written.
    pub fn snapshot(&self) -> Result<Option<Snapshot>, StoreError> {
        Self::snapshot_in(&self.database.begin_read()?.open_table(SNAPSHOT)?)
    }

    /// Returns the id of a request, by its class and its identity within the class.
    pub fn id_of(&self, class: &str, identity: &str) -> u128 {
        id_of(self.last.id, class, identity)
    }

    /// Returns the id of the store.
    pub fn id(&self) -> u128 {
        self.last.id
    }

    /// Carries out a group of operations in one durable commit. No result may be used before this returns. After an error
    /// neither this group nor any later one is acknowledged.
    pub fn commit(&mut self, ops: &[Op], now: Micros) -> Result<Vec<OpResult>, StoreError> {
        if let Some(why) = &self.broken {
            return Err(StoreError::Engine(why.clone()));
        }
        let done = self.commit_group(ops, now);
        if let Err(e) = &done {
            self.broken = Some(format!("nothing is acknowledged since: {e}"));
        }
        done
    }

    fn commit_group(&mut self, ops: &[Op], now: Micros) -> Result<Vec<OpResult>, StoreError> {
        let now = advance_clock(self.last_time, now);
        let mut out = Vec::with_capacity(ops.len());
        let next = Mark { commit: self.last.commit + 1, ..self.last };
        let mut write = self.database.begin_write()?;
        write.set_durability(Durability::Immediate)?;
        {
            let mut ledger = write.open_table(LEDGER)?;
            let mut expiry_index = write.open_table(EXPIRY_INDEX)?;
            let mut meta = write.open_table(META)?;
            let mut bytes = meta.get("bytes")?.map_or(0, |v| v.value()) as u64;
            for op in ops {
                match op {
                    Op::Begin { id, content, retention } => {
                        let stored = stored_record(&ledger, *id)?;
                        let record = stored.as_ref().map(|s| &s.record);
                        let first_expiry = expiry_index.first()?.map(|d| d.0.value().0);
                        let space = SpaceUsage { bytes, max_bytes: self.max_bytes, first_expiry };
                        let record_intent = Record {
                            state: State::Intended,
                            incarnation: next.incarnation,
                            expires_at: now.saturating_add(*retention),
                        };
                        let intent = StoredRecord { record: record_intent, content: Some(*content) };
                        let required = if record.is_some() {
                            0
                        } else {
                            intent.framed(0).len() as u64 + RECORD_OVERHEAD_BYTES
                        };
                        let decision = decide(record, next.incarnation, now, &space, required);
                        let decision =
                            check_content(decision, stored.as_ref().and_then(|s| s.content), *content);
                        if decision == Decision::Admit {
                            put_record(&mut ledger, &mut expiry_index, &mut bytes, *id, &intent)?;
                        }
                        out.push(OpResult::Decided(decision));
                    }
                    Op::End { id, state, retention } => {
                        let stored = stored_record(&ledger, *id)?;
                        let ended = record_end(
                            stored.as_ref().map(|s| &s.record),
                            next.incarnation,
                            state.clone(),
                            now.saturating_add(*retention),
                        );
                        if let Some(record) = ended {
                            let ended = StoredRecord { record, content: stored.and_then(|s| s.content) };
                            put_record(&mut ledger, &mut expiry_index, &mut bytes, *id, &ended)?;
                        }
                        out.push(OpResult::Recorded);
                    }
                    Op::Snapshot(snapshot) => {
                        write.open_table(SNAPSHOT)?.insert(0, frame(&[0], snapshot).as_slice())?;
                        out.push(OpResult::Recorded);
                    }
                }
            }
            delete_expired(&mut ledger, &mut expiry_index, &mut bytes, next.incarnation, now)?;
            let records = u128::from(ledger.len()?);
            for (name, value) in [
                ("bytes", u128::from(bytes)),
                ("records", records),
                ("commit", u128::from(next.commit)),
                ("life", u128::from(next.incarnation)),
                ("clock", u128::from(now)),
            ] {
                meta.insert(name, value)?;
            }
        }
        write.commit()?;
        // The commit is acknowledged only once its mark is durable too.
        match &self.mark {
            Some(mark) => next.write(mark.as_ref())?,
            None => {
                return Err(StoreError::inconsistent(
                    "a store opened for reading only",
                    "one opened for writing",
                ))
            }
        }
        (self.last, self.last_time) = (next, now);
        Ok(out)
    }

    /// Releases the file space of deleted records. Returns whether anything was released.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        Ok(self.database.compact()?)
    }

    /// Returns the size of the ledger's file in bytes.
    pub fn file_bytes(&self) -> io::Result<u64> {
        self.file.len()
    }

    /// Returns the mark of the last acknowledged commit.
    pub fn last_mark(&self) -> Mark {
        self.last
    }
}

/// A record as it is stored, with the digest of its request's content. An earlier build stored none, and ignores it.
struct StoredRecord {
    record: Record,
    content: Option<u64>,
}

impl StoredRecord {
    fn decode(key: u128, bytes: &[u8]) -> Result<Self, StoreError> {
        let invalid =
            |e: FrameError| StoreError::inconsistent(format!("record {key:032x} with {e}"), "a valid record");
        let (record, content) = unframe_extended(&key.to_le_bytes(), bytes).map_err(invalid)?;
        Ok(Self { record, content })
    }

    fn framed(&self, key: u128) -> Vec<u8> {
        match self.content {
            Some(content) => frame(&key.to_le_bytes(), &(&self.record, content)),
            None => frame(&key.to_le_bytes(), &self.record),
        }
    }
}

fn stored_record(ledger: &Ledger, id: u128) -> Result<Option<StoredRecord>, StoreError> {
    match ledger.get(id)? {
        Some(bytes) => StoredRecord::decode(id, bytes.value()).map(Some),
        None => Ok(None),
    }
}

type Ledger<'t> = redb::Table<'t, u128, &'static [u8]>;
type ExpiryIndex<'t> = redb::Table<'t, (u64, u128), ()>;

fn put_record(
    ledger: &mut Ledger,
    expiry_index: &mut ExpiryIndex,
    bytes: &mut u64,
    id: u128,
    stored: &StoredRecord,
) -> Result<(), StoreError> {
    let framed = stored.framed(id);
    let old = ledger.insert(id, framed.as_slice())?.map(|o| o.value().to_vec());
    *bytes += framed.len() as u64 + RECORD_OVERHEAD_BYTES;
    if let Some(old) = old {
        *bytes = bytes.saturating_sub(old.len() as u64 + RECORD_OVERHEAD_BYTES);
        expiry_index.remove((Store::decode_record(id, &old)?.expires_at, id))?;
    }
    expiry_index.insert((stored.record.expires_at, id), ())?;
    Ok(())
}

/// Deletes expired records, a bounded number at a time.
fn delete_expired(
    ledger: &mut Ledger,
    expiry_index: &mut ExpiryIndex,
    bytes: &mut u64,
    incarnation: u64,
    now: Micros,
) -> Result<(), StoreError> {
    let expired: Vec<(u64, u128)> = expiry_index
        .range(..=(now, u128::MAX))?
        .take(MAX_DELETIONS_PER_GROUP)
        .map(|entry| entry.map(|e| e.0.value()))
        .collect::<Result<_, _>>()?;
    for (expires_at, id) in expired {
        let framed = ledger.get(id)?.map(|v| v.value().to_vec());
        let Some(framed) = framed else { continue };
        if may_expire(&Store::decode_record(id, &framed)?, incarnation, now) {
            ledger.remove(id)?;
            expiry_index.remove((expires_at, id))?;
            *bytes = bytes.saturating_sub(framed.len() as u64 + RECORD_OVERHEAD_BYTES);
        }
    }
    Ok(())
}

/// Returns the id of a request in the store with id `store`, by its class and its identity within the class.
pub fn id_of(store: u128, class: &str, identity: &str) -> u128 {
    let mut hasher = SipHasher13::new_with_keys(store as u64, (store >> 64) as u64);
    hasher.write(class.as_bytes());
    hasher.write_u8(0);
    hasher.write(identity.as_bytes());
    hasher.finish128().as_u128()
}

/// Returns a digest of a request's content, given in parts, in the store with id `store`.
pub fn content_digest(store: u128, parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(store as u64, (store >> 64) as u64);
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish128().h1
}

/// Returns the state to record for a served request, with its answer if that has at most `max_bytes`.
pub fn served_state(answer: &[u8], max_bytes: usize) -> State {
    State::Done(Outcome::Served((answer.len() <= max_bytes).then(|| answer.to_vec())))
}

/// A file whose changes stay in memory, so that an engine can use it without modifying the file on disk.
#[derive(Debug)]
struct Overlay {
    file: Arc<dyn DiskFile>,
    state: Mutex<OverlayState>,
}

#[derive(Debug)]
struct OverlayState {
    len: u64,
    /// Bytes of the underlying file that are still valid; those beyond were truncated at some time.
    valid_bytes: u64,
    pages: BTreeMap<u64, Vec<u8>>,
}

const PAGE_BYTES: u64 = 4_096;

impl Overlay {
    fn new(file: Arc<dyn DiskFile>) -> io::Result<Self> {
        let len = file.len()?;
        Ok(Self { file, state: Mutex::new(OverlayState { len, valid_bytes: len, pages: BTreeMap::new() }) })
    }

    fn state(&self) -> MutexGuard<'_, OverlayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current contents of a page, with zeros past the end.
    fn page(&self, state: &OverlayState, number: u64) -> io::Result<Vec<u8>> {
        if let Some(page) = state.pages.get(&number) {
            return Ok(page.clone());
        }
        let mut page = vec![0; PAGE_BYTES as usize];
        let from = number * PAGE_BYTES;
        let available = state.valid_bytes.saturating_sub(from).min(PAGE_BYTES) as usize;
        if available > 0 {
            self.file.read(from, &mut page[..available])?;
        }
        Ok(page)
    }
}

impl DiskFile for Overlay {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state().len)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state();
        if offset + out.len() as u64 > state.len {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut done = 0;
        while done < out.len() {
            let at = offset + done as u64;
            let (number, within) = (at / PAGE_BYTES, (at % PAGE_BYTES) as usize);
            let page = self.page(&state, number)?;
            let take = (PAGE_BYTES as usize - within).min(out.len() - done);
            out[done..done + take].copy_from_slice(&page[within..within + take]);
            done += take;
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let mut done = 0;
        while done < data.len() {
            let at = offset + done as u64;
            let (number, within) = (at / PAGE_BYTES, (at % PAGE_BYTES) as usize);
            let mut page = self.page(&state, number)?;
            let take = (PAGE_BYTES as usize - within).min(data.len() - done);
            page[within..within + take].copy_from_slice(&data[done..done + take]);
            state.pages.insert(number, page);
            done += take;
        }
        state.len = state.len.max(offset + data.len() as u64);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.state();
        if len < state.len {
            let cut = len / PAGE_BYTES;
            let mut page = self.page(&state, cut)?;
            page[(len % PAGE_BYTES) as usize..].fill(0);
            state.pages.retain(|number, _| *number < cut);
            state.pages.insert(cut, page);
            state.valid_bytes = state.valid_bytes.min(len);
        }
        state.len = len;
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        Ok(())
    }
}
