//! The ledger and the snapshot on disk, over redb.

use crate::disk::{Disk, DiskFile};
use crate::ledger::{
    advance_clock, decide, may_expire, record_end, Decision, Micros, Outcome, Record, SpaceUsage, State,
};
use crate::mark::{Mark, Slot, FORMAT};
use crate::record::{frame, unframe};
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
const DUE: TableDefinition<(u64, u128), ()> = TableDefinition::new("due");
const SNAPSHOT: TableDefinition<u8, &[u8]> = TableDefinition::new("known");

/// Bytes that the engine may cache.
const CACHE: usize = 1024 * 1024;
/// Bytes that a record takes beside its frame: keys of two tables and their pages' own.
const BESIDE: u64 = 96;
/// Records that are forgotten in one group at the most: a step of bounded length.
const FORGET_AT_ONCE: usize = 256;

/// Why a store cannot be used. Nothing has been written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The disk failed.
    #[error("store: {0}")]
    Io(#[from] io::Error),
    /// The engine refuses the file.
    #[error("store: the ledger cannot be read: {0}")]
    Engine(String),
    /// What is there contradicts itself.
    #[error("store: found {found}, expected {expected}")]
    Contradiction {
        /// What was found.
        found: String,
        /// What was expected.
        expected: String,
    },
}

impl StoreError {
    fn found(found: impl Into<String>, expected: impl Into<String>) -> Self {
        Self::Contradiction { found: found.into(), expected: expected.into() }
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

/// What was found when a store was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// It was made just now.
    #[serde(rename = "made")]
    pub created: bool,
    /// How many times it has been opened.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The last commit.
    pub commit: u64,
    /// Records.
    pub records: u64,
    /// Those whose end is not known.
    pub in_doubt: u64,
    /// Those with a final answer.
    pub done: u64,
    /// Those known not to have run.
    pub not_run: u64,
    /// Bytes of all records.
    pub bytes: u64,
    /// Bytes of the ledger's file.
    pub file_bytes: u64,
    /// A snapshot is there.
    pub snapshot: bool,
}

/// Ids and lives of requests without an end.
pub type UnknownOutcomes = Vec<(u128, u64)>;

/// One thing to be done; all of a group are durable together.
#[derive(Clone, Debug)]
pub enum Op {
    /// A request comes; it is kept for so long after its end.
    Begin {
        /// Its id.
        id: u128,
        /// Microseconds.
        retention: Micros,
    },
    /// It has ended.
    End {
        /// Its id.
        id: u128,
        /// How.
        state: State,
        /// Microseconds.
        retention: Micros,
    },
    /// What the front knows now.
    Snapshot(Snapshot),
}

/// What an operation came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpResult {
    /// Of a request that came.
    Decided(Decision),
    /// Of anything else.
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
    /// `None` while it is only read.
    mark: Option<Arc<dyn DiskFile>>,
    last: Mark,
    max_bytes: u64,
    kept: Micros,
    /// Danger: after a failed sync nobody knows what is on disk, and a later one may claim success. Nothing is promised
    /// any more until the store is opened anew.
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

fn engine(file: &Arc<dyn DiskFile>) -> Result<Database, StoreError> {
    let open = || {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
        builder.create_with_backend(Backend(Arc::clone(file)))
    };
    // A damaged file must never end the program, whatever it makes of the engine.
    match catch_unwind(AssertUnwindSafe(open)) {
        Ok(opened) => Ok(opened?),
        Err(_) => Err(StoreError::Engine("the engine panicked on it".to_owned())),
    }
}

impl Store {
    /// Opens the store of a directory, or makes it with the id `fresh`; all bytes of records together stay within `most`.
    pub fn open(
        disk: &dyn Disk,
        fresh: u128,
        max_bytes: u64,
        now: Micros,
    ) -> Result<(Self, Report), StoreError> {
        let there = disk.exists("ledger")?;
        let promised = Self::promised(disk)?;
        let created = match (promised, there) {
            (Some(mark), false) => {
                let found = format!("no ledger beside a mark of commit {}", mark.commit);
                return Err(StoreError::found(found, "both files, or neither"));
            }
            // Danger: the engine writes as it opens, and what is refused must stay as it was found. So it is tried first
            // with its writes kept in memory.
            (_, true) => {
                Self::opened(Arc::new(Overlay::over(disk.open("ledger")?)?), promised)?;
                false
            }
            (None, false) => true,
        };
        if disk.exists("ledger.new")? {
            disk.remove("ledger.new")?;
        }
        if created {
            Self::make(disk, fresh, now)?;
        }
        let (mut store, mut report) = Self::opened(disk.open("ledger")?, promised)?;
        let mark = disk.open("mark")?;
        if promised.is_none() {
            // Danger: a front that dies between the first commit and its mark would leave a ledger whose mark seems lost.
            store.last.write(mark.as_ref())?;
        }
        (store.mark, store.max_bytes) = (Some(mark), max_bytes);
        store.kept = advance_clock(store.kept, now);
        store.last.incarnation += 1;
        store.group(&[], now)?;
        (report.created, report.incarnation, report.commit) =
            (created, store.last.incarnation, store.last.commit);
        Ok((store, report))
    }

    /// Opens a ledger's file and reads all of it.
    fn opened(file: Arc<dyn DiskFile>, promised: Option<Mark>) -> Result<(Self, Report), StoreError> {
        let database = engine(&file)?;
        let last = promised.unwrap_or(Mark { commit: 0, incarnation: 0, id: 0 });
        let mut store = Self { last, database, file, mark: None, max_bytes: 0, kept: 0, broken: None };
        // A damaged file must never end the program.
        let checked = catch_unwind(AssertUnwindSafe(|| store.check(promised)));
        let report = match checked {
            Ok(report) => report?,
            Err(_) => return Err(StoreError::Engine("the engine panicked on it".to_owned())),
        };
        Ok((store, report))
    }

    /// Reads a store without changing it: what is in it, or why it is refused.
    pub fn verify(disk: &dyn Disk) -> Result<Report, StoreError> {
        Self::read_only(disk).map(|read| read.1)
    }

    /// The same, with the snapshot, and the ids and lives of requests without an end.
    pub fn inspect(disk: &dyn Disk) -> Result<(Report, Option<Snapshot>, UnknownOutcomes), StoreError> {
        let (store, report) = Self::read_only(disk)?;
        let mut doubts = Vec::new();
        for entry in store.database.begin_read()?.open_table(LEDGER)?.iter()? {
            let (key, value) = entry?;
            let record = Self::read(key.value(), value.value())?;
            if record.state == State::Intended {
                doubts.push((key.value(), record.incarnation));
            }
        }
        Ok((report, store.snapshot()?, doubts))
    }

    fn read_only(disk: &dyn Disk) -> Result<(Self, Report), StoreError> {
        if !disk.exists("ledger")? || !disk.exists("mark")? {
            return Err(StoreError::found("no ledger or no mark", "a store"));
        }
        let promised = Self::promised(disk)?;
        let (store, mut report) = Self::opened(Arc::new(Overlay::over(disk.open("ledger")?)?), promised)?;
        (report.incarnation, report.commit) = (store.last.incarnation, store.last.commit);
        Ok((store, report))
    }

    /// The mark that counts, if there is one that can be read.
    fn promised(disk: &dyn Disk) -> Result<Option<Mark>, StoreError> {
        if !disk.exists("mark")? {
            return Ok(None);
        }
        let mut best: Option<Mark> = None;
        for slot in Mark::read(disk.open("mark")?.as_ref())? {
            match slot {
                Slot::OtherFormat(format) => {
                    return Err(StoreError::found(format!("format {format}"), format!("format {FORMAT}")));
                }
                Slot::Valid(mark) => best = best.max(Some(mark)),
                Slot::Empty => {}
            }
        }
        Ok(best)
    }

    /// Makes a ledger under another name, and gives it its own once it is whole.
    fn make(disk: &dyn Disk, id: u128, now: Micros) -> Result<(), StoreError> {
        let file = disk.open("ledger.new")?;
        file.set_len(0)?;
        let database = engine(&file)?;
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
            write.open_table(DUE)?;
            write.open_table(SNAPSHOT)?;
        }
        write.commit()?;
        drop(database);
        file.sync()?;
        disk.rename("ledger.new", "ledger")?;
        Ok(())
    }

    /// Holds the ledger against the mark, and reads all of it.
    fn check(&mut self, promised: Option<Mark>) -> Result<Report, StoreError> {
        let read = self.database.begin_read()?;
        let meta = read.open_table(META)?;
        let number = |name: &str| -> Result<u128, StoreError> {
            let value = meta.get(name)?.map(|v| v.value());
            value.ok_or_else(|| StoreError::found(format!("no {name} in the ledger"), "one"))
        };
        let format = number("format")?;
        if format != u128::from(FORMAT) {
            return Err(StoreError::found(format!("format {format}"), format!("format {FORMAT}")));
        }
        let (id, incarnation, commit) = (number("id")?, number("life")? as u64, number("commit")? as u64);
        match promised {
            Some(mark) if mark.id != id => {
                let found = format!("a ledger of store {id:032x}");
                return Err(StoreError::found(found, format!("{:032x}, as the mark says", mark.id)));
            }
            Some(mark) if commit < mark.commit || incarnation < mark.incarnation => {
                let found = format!("a ledger that ends at commit {commit} of life {incarnation}");
                let expected =
                    format!("commit {} of life {}, which was promised", mark.commit, mark.incarnation);
                return Err(StoreError::found(found, expected));
            }
            None if commit > 0 => {
                let found = format!("no readable mark beside a ledger of commit {commit}");
                return Err(StoreError::found(found, "the mark that tells what was promised"));
            }
            _ => {}
        }
        let mut report = Report { file_bytes: self.file.len()?, ..Report::default() };
        let due = read.open_table(DUE)?;
        for entry in read.open_table(LEDGER)?.iter()? {
            let (key, value) = entry?;
            let record = Self::read(key.value(), value.value())?;
            report.records += 1;
            report.bytes += value.value().len() as u64 + BESIDE;
            match record.state {
                State::Intended => report.in_doubt += 1,
                State::Done(_) => report.done += 1,
                State::NotRun => report.not_run += 1,
            }
            if due.get((record.expires_at, key.value()))?.is_none() {
                let found = format!("record {:032x} without its place in the order of time", key.value());
                return Err(StoreError::found(found, "one"));
            }
        }
        if due.len()? != report.records || number("records")? as u64 != report.records {
            let found = format!("{} records, {} in the order of time", report.records, due.len()?);
            return Err(StoreError::found(found, format!("{} of both", number("records")?)));
        }
        report.snapshot = Self::snapshot_in(&read.open_table(SNAPSHOT)?)?.is_some();
        self.kept = number("clock")? as u64;
        (self.last.id, self.last.incarnation, self.last.commit) = (id, incarnation, commit);
        Ok(report)
    }

    fn read(key: u128, bytes: &[u8]) -> Result<Record, StoreError> {
        unframe(&key.to_le_bytes(), bytes)
            .map_err(|e| StoreError::found(format!("record {key:032x} of {e}"), "a sound record"))
    }

    fn snapshot_in(table: &impl ReadableTable<u8, &'static [u8]>) -> Result<Option<Snapshot>, StoreError> {
        let Some(bytes) = table.get(0)? else { return Ok(None) };
        let known = unframe(&[0], bytes.value());
        known.map(Some).map_err(|e| StoreError::found(format!("a snapshot of {e}"), "a sound one"))
    }

    /// What the front knew, if it was ever written.
    pub fn snapshot(&self) -> Result<Option<Snapshot>, StoreError> {
        Self::snapshot_in(&self.database.begin_read()?.open_table(SNAPSHOT)?)
    }

    /// The id of a request by its class and what identifies it.
    pub fn id_of(&self, class: &str, identity: &str) -> u128 {
        id_of(self.last.id, class, identity)
    }

    /// The store's own id.
    pub fn id(&self) -> u128 {
        self.last.id
    }

    /// Does all of a group in one durable commit. Nothing of it may be told before this returns; after an error nothing of
    /// it counts, nor of any later group.
    pub fn commit(&mut self, ops: &[Op], now: Micros) -> Result<Vec<OpResult>, StoreError> {
        if let Some(why) = &self.broken {
            return Err(StoreError::Engine(why.clone()));
        }
        let done = self.group(ops, now);
        if let Err(e) = &done {
            self.broken = Some(format!("nothing is promised since: {e}"));
        }
        done
    }

    fn group(&mut self, ops: &[Op], now: Micros) -> Result<Vec<OpResult>, StoreError> {
        let now = advance_clock(self.kept, now);
        let mut out = Vec::with_capacity(ops.len());
        let next = Mark { commit: self.last.commit + 1, ..self.last };
        let mut write = self.database.begin_write()?;
        write.set_durability(Durability::Immediate)?;
        {
            let mut ledger = write.open_table(LEDGER)?;
            let mut due = write.open_table(DUE)?;
            let mut meta = write.open_table(META)?;
            let mut bytes = meta.get("bytes")?.map_or(0, |v| v.value()) as u64;
            for op in ops {
                match op {
                    Op::Begin { id, retention } => {
                        let record = match ledger.get(*id)? {
                            Some(bytes) => Some(Self::read(*id, bytes.value())?),
                            None => None,
                        };
                        let first_expiry = due.first()?.map(|d| d.0.value().0);
                        let room = SpaceUsage { bytes, max_bytes: self.max_bytes, first_expiry };
                        let intent = Record {
                            state: State::Intended,
                            incarnation: next.incarnation,
                            expires_at: now.saturating_add(*retention),
                        };
                        let needs =
                            if record.is_some() { 0 } else { frame(&[], &intent).len() as u64 + BESIDE };
                        let ruling = decide(record.as_ref(), next.incarnation, now, &room, needs);
                        if ruling == Decision::Admit {
                            put_record(&mut ledger, &mut due, &mut bytes, *id, &intent)?;
                        }
                        out.push(OpResult::Decided(ruling));
                    }
                    Op::End { id, state, retention } => {
                        let record = match ledger.get(*id)? {
                            Some(bytes) => Some(Self::read(*id, bytes.value())?),
                            None => None,
                        };
                        let ended = record_end(
                            record.as_ref(),
                            next.incarnation,
                            state.clone(),
                            now.saturating_add(*retention),
                        );
                        if let Some(ended) = ended {
                            put_record(&mut ledger, &mut due, &mut bytes, *id, &ended)?;
                        }
                        out.push(OpResult::Recorded);
                    }
                    Op::Snapshot(known) => {
                        write.open_table(SNAPSHOT)?.insert(0, frame(&[0], known).as_slice())?;
                        out.push(OpResult::Recorded);
                    }
                }
            }
            // Retention, in steps of bounded length.
            let over: Vec<(u64, u128)> = due
                .range(..=(now, u128::MAX))?
                .take(FORGET_AT_ONCE)
                .map(|entry| entry.map(|e| e.0.value()))
                .collect::<Result<_, _>>()?;
            for (expires_at, id) in over {
                let framed = ledger.get(id)?.map(|v| v.value().to_vec());
                let Some(framed) = framed else { continue };
                if may_expire(&Self::read(id, &framed)?, next.incarnation, now) {
                    ledger.remove(id)?;
                    due.remove((expires_at, id))?;
                    bytes = bytes.saturating_sub(framed.len() as u64 + BESIDE);
                }
            }
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
        // Promised only once the witness is durable too.
        match &self.mark {
            Some(mark) => next.write(mark.as_ref())?,
            None => return Err(StoreError::found("a store that is only read", "one that may be written")),
        }
        (self.last, self.kept) = (next, now);
        Ok(out)
    }

    /// Gives back what the ledger's file holds of forgotten records; whether anything was given back.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        Ok(self.database.compact()?)
    }

    /// Bytes of the ledger's file.
    pub fn file_bytes(&self) -> io::Result<u64> {
        self.file.len()
    }

    /// The commit promised last.
    pub fn last_mark(&self) -> Mark {
        self.last
    }
}

type Ledger<'t> = redb::Table<'t, u128, &'static [u8]>;
type Order<'t> = redb::Table<'t, (u64, u128), ()>;

fn put_record(
    ledger: &mut Ledger,
    due: &mut Order,
    bytes: &mut u64,
    id: u128,
    record: &Record,
) -> Result<(), StoreError> {
    let framed = frame(&id.to_le_bytes(), record);
    let old = ledger.insert(id, framed.as_slice())?.map(|o| o.value().to_vec());
    *bytes += framed.len() as u64 + BESIDE;
    if let Some(old) = old {
        *bytes = bytes.saturating_sub(old.len() as u64 + BESIDE);
        due.remove((Store::read(id, &old)?.expires_at, id))?;
    }
    due.insert((record.expires_at, id), ())?;
    Ok(())
}

/// The id of a request in the store of id `store`, by its class and what identifies it.
pub fn id_of(store: u128, class: &str, identity: &str) -> u128 {
    let mut hasher = SipHasher13::new_with_keys(store as u64, (store >> 64) as u64);
    hasher.write(class.as_bytes());
    hasher.write_u8(0);
    hasher.write(identity.as_bytes());
    hasher.finish128().as_u128()
}

/// The end of a request as it is recorded, with an answer kept up to `most` bytes.
pub fn served_state(answer: &[u8], most: usize) -> State {
    State::Done(Outcome::Served((answer.len() <= most).then(|| answer.to_vec())))
}

/// A file whose changes stay in memory, so that an engine may work on it without touching it.
#[derive(Debug)]
struct Overlay {
    under: Arc<dyn DiskFile>,
    changed: Mutex<Changed>,
}

#[derive(Debug)]
struct Changed {
    len: u64,
    /// Bytes of the file below that still count: what lies beyond was cut away once.
    under: u64,
    pages: BTreeMap<u64, Vec<u8>>,
}

const PAGE: u64 = 4_096;

impl Overlay {
    fn over(under: Arc<dyn DiskFile>) -> io::Result<Self> {
        let len = under.len()?;
        Ok(Self { under, changed: Mutex::new(Changed { len, under: len, pages: BTreeMap::new() }) })
    }

    fn changed(&self) -> MutexGuard<'_, Changed> {
        self.changed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One page as it stands now; zeros past the end.
    fn page(&self, changed: &Changed, number: u64) -> io::Result<Vec<u8>> {
        if let Some(page) = changed.pages.get(&number) {
            return Ok(page.clone());
        }
        let mut page = vec![0; PAGE as usize];
        let from = number * PAGE;
        let there = changed.under.saturating_sub(from).min(PAGE) as usize;
        if there > 0 {
            self.under.read(from, &mut page[..there])?;
        }
        Ok(page)
    }
}

impl DiskFile for Overlay {
    fn len(&self) -> io::Result<u64> {
        Ok(self.changed().len)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let changed = self.changed();
        if offset + out.len() as u64 > changed.len {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut done = 0;
        while done < out.len() {
            let at = offset + done as u64;
            let (number, within) = (at / PAGE, (at % PAGE) as usize);
            let page = self.page(&changed, number)?;
            let take = (PAGE as usize - within).min(out.len() - done);
            out[done..done + take].copy_from_slice(&page[within..within + take]);
            done += take;
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut changed = self.changed();
        let mut done = 0;
        while done < data.len() {
            let at = offset + done as u64;
            let (number, within) = (at / PAGE, (at % PAGE) as usize);
            let mut page = self.page(&changed, number)?;
            let take = (PAGE as usize - within).min(data.len() - done);
            page[within..within + take].copy_from_slice(&data[done..done + take]);
            changed.pages.insert(number, page);
            done += take;
        }
        changed.len = changed.len.max(offset + data.len() as u64);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut changed = self.changed();
        if len < changed.len {
            let cut = len / PAGE;
            let mut page = self.page(&changed, cut)?;
            page[(len % PAGE) as usize..].fill(0);
            changed.pages.retain(|number, _| *number < cut);
            changed.pages.insert(cut, page);
            changed.under = changed.under.min(len);
        }
        changed.len = len;
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        Ok(())
    }
}
