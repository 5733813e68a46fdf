//! Compares database engines for the store: durable writes, single and grouped, memory, threads, descriptors, file size, time
//! to open, and the reaction to a truncated file.
//!
//! Run with `cargo bench -p yarrowspoke-store --bench engines`. Figures of one run on one machine can only be compared with
//! each other.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Instant;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const SINGLE_WRITES: u64 = 300;
const GROUPED_WRITES: u64 = 20_000;
const GROUP_SIZE: u64 = 256;
const VALUE: [u8; 60] = [7; 60];
/// Number of lengths, evenly spread, to which the largest file is truncated.
const TRUNCATIONS: u64 = 60;

/// A database engine.
trait Engine: Sized {
    const NAME: &'static str;
    fn open(dir: &Path) -> Result<Self>;
    /// Writes these keys durably in one commit.
    fn write_group(&mut self, keys: std::ops::Range<u64>) -> Result<()>;
    /// Reads all records and returns their number.
    fn count(&mut self) -> Result<u64>;
}

struct Redb(redb::Database);
const REDB: redb::TableDefinition<u128, &[u8]> = redb::TableDefinition::new("t");

impl Engine for Redb {
    const NAME: &'static str = "redb";

    fn open(dir: &Path) -> Result<Self> {
        let mut builder = redb::Database::builder();
        builder.set_cache_size(1 << 20).set_check_integrity_on_open(true);
        Ok(Self(builder.create(dir.join("db"))?))
    }

    fn write_group(&mut self, keys: std::ops::Range<u64>) -> Result<()> {
        let write = self.0.begin_write()?;
        {
            let mut table = write.open_table(REDB)?;
            for key in keys {
                table.insert(u128::from(key) << 64, VALUE.as_slice())?;
            }
        }
        Ok(write.commit()?)
    }

    fn count(&mut self) -> Result<u64> {
        use redb::{ReadableDatabase, ReadableTable};
        let read = self.0.begin_read()?;
        let mut n = 0;
        for entry in read.open_table(REDB)?.iter()? {
            entry?;
            n += 1;
        }
        Ok(n)
    }
}

struct Fjall(fjall::Database, fjall::Keyspace);

impl Engine for Fjall {
    const NAME: &'static str = "fjall";

    fn open(dir: &Path) -> Result<Self> {
        let db = fjall::Database::builder(dir.join("db")).cache_size(1 << 20).open()?;
        let keys = db.keyspace("t", fjall::KeyspaceCreateOptions::default)?;
        Ok(Self(db, keys))
    }

    fn write_group(&mut self, keys: std::ops::Range<u64>) -> Result<()> {
        let mut batch = self.0.batch();
        for key in keys {
            batch.insert(&self.1, (u128::from(key) << 64).to_be_bytes(), VALUE);
        }
        batch.commit()?;
        Ok(self.0.persist(fjall::PersistMode::SyncAll)?)
    }

    fn count(&mut self) -> Result<u64> {
        let mut n = 0;
        for entry in self.1.iter() {
            entry.value()?;
            n += 1;
        }
        Ok(n)
    }
}

struct Persy(persy::Persy);

impl Engine for Persy {
    const NAME: &'static str = "persy";

    fn open(dir: &Path) -> Result<Self> {
        let mut config = persy::Config::new();
        config.change_cache_size(1 << 20);
        let made = persy::Persy::open_or_create_with(dir.join("db"), config, |p| {
            let mut tx = p.begin()?;
            tx.create_index::<u128, persy::ByteVec>("t", persy::ValueMode::Replace)?;
            tx.prepare()?.commit()?;
            Ok(())
        });
        Ok(Self(made?))
    }

    fn write_group(&mut self, keys: std::ops::Range<u64>) -> Result<()> {
        let mut tx = self.0.begin()?;
        for key in keys {
            tx.put::<u128, persy::ByteVec>("t", u128::from(key) << 64, VALUE.to_vec().into())?;
        }
        Ok(tx.prepare()?.commit()?)
    }

    fn count(&mut self) -> Result<u64> {
        Ok(self.0.range::<u128, persy::ByteVec, _>("t", ..)?.count() as u64)
    }
}

/// Returns a value of this process from `/proc/self/status` by its name, in kB or as a count.
fn process_status(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(name));
    line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn descriptors() -> u64 {
    std::fs::read_dir("/proc/self/fd").map_or(0, |d| d.count() as u64)
}

fn files(dir: &Path) -> Vec<(PathBuf, u64)> {
    let mut out = Vec::new();
    for entry in std::fs::read_dir(dir).into_iter().flatten().flatten() {
        match entry.metadata() {
            Ok(m) if m.is_dir() => out.extend(files(&entry.path())),
            Ok(m) => out.push((entry.path(), m.len())),
            Err(_) => {}
        }
    }
    out
}

fn copy(from: &Path, to: &Path) -> Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.metadata()?.is_dir() {
            copy(&entry.path(), &target)?;
        } else {
            std::fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

fn measure<E: Engine>() -> Result<()> {
    let root = std::env::temp_dir().join(format!("yarrowspoke-engines-{}-{}", std::process::id(), E::NAME));
    let dir = root.join("own");
    std::fs::create_dir_all(&dir)?;
    let before = (process_status("VmRSS"), process_status("Threads"), descriptors());
    let mut engine = E::open(&dir)?;
    let started = Instant::now();
    for key in 0..SINGLE_WRITES {
        engine.write_group(key..key + 1)?;
    }
    let single = SINGLE_WRITES as f64 / started.elapsed().as_secs_f64();
    let started = Instant::now();
    for from in (SINGLE_WRITES..SINGLE_WRITES + GROUPED_WRITES).step_by(GROUP_SIZE as usize) {
        engine.write_group(from..(from + GROUP_SIZE).min(SINGLE_WRITES + GROUPED_WRITES))?;
    }
    let grouped = GROUPED_WRITES as f64 / started.elapsed().as_secs_f64();
    let increase = (
        process_status("VmRSS") - before.0.min(process_status("VmRSS")),
        process_status("Threads") - before.1,
        descriptors() - before.2,
    );
    drop(engine);
    let size: u64 = files(&dir).iter().map(|f| f.1).sum();
    let started = Instant::now();
    let records = E::open(&dir)?.count()?;
    let opening = started.elapsed().as_secs_f64() * 1e3;
    // Counts the results of opening truncated copies: refused, all records, fewer records without an error, or a panic.
    let (mut refused, mut whole, mut less, mut panicked) = (0, 0, 0, 0);
    let (largest, length) = files(&dir).into_iter().max_by_key(|f| f.1).ok_or("no file")?;
    for n in 0..TRUNCATIONS {
        let copied = root.join("cut");
        copy(&dir, &copied)?;
        let cut = copied.join(largest.strip_prefix(&dir)?);
        std::fs::OpenOptions::new().write(true).open(&cut)?.set_len(length * n / TRUNCATIONS)?;
        let tried = std::panic::catch_unwind(|| E::open(&copied).and_then(|mut e| e.count()));
        match tried {
            Ok(Ok(count)) if count == records => whole += 1,
            Ok(Ok(_)) => less += 1,
            Ok(Err(_)) => refused += 1,
            Err(_) => panicked += 1,
        }
        std::fs::remove_dir_all(&copied)?;
    }
    std::fs::remove_dir_all(&root)?;
    println!(
        "{:<6} one by one {single:>7.0}/s, in groups of {GROUP_SIZE} {grouped:>8.0}/s ({:.0} times); +{} kB, +{} threads, \
         +{} descriptors; {size} bytes for {records} records, opened and read in {opening:.1} ms; \
         cut {TRUNCATIONS} times: {refused} refused, {whole} whole, {less} less without a word, {panicked} panicked",
        E::NAME,
        grouped / single,
        increase.0,
        increase.1,
        increase.2,
    );
    Ok(())
}

fn main() -> Result<()> {
    std::panic::set_hook(Box::new(|_| {}));
    measure::<Redb>()?;
    measure::<Persy>()?;
    measure::<Fjall>()
}
