//! A disk that fails on demand: it dies at a chosen step, keeps only a part of what was not synced, torn and out of
//! order, fails a sync and then claims success, or is full.

use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use yarrowspoke_store::disk::{Disk, DiskFile};

/// Bytes that a disk writes whole or not at all.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Clone, Debug, Default)]
struct Content {
    /// What is surely on the disk.
    synced: Vec<u8>,
    /// What the program sees.
    seen: Vec<u8>,
    /// Changes since the last sync, in order.
    unsynced: Vec<Change>,
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write(offset, data) => {
            let to = *offset as usize + data.len();
            if bytes.len() < to {
                bytes.resize(to, 0);
            }
            bytes[*offset as usize..to].copy_from_slice(data);
        }
        Change::Length(len) => bytes.resize(*len as usize, 0),
    }
}

/// What goes wrong, by the number of the step at which it does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The program dies here.
    pub crash_at: Option<u64>,
    /// The sync at this step or the next one after it fails, and loses what it should have written.
    pub failed_sync_at: Option<u64>,
    /// Files together may hold so many bytes.
    pub room: Option<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    files: BTreeMap<String, Content>,
    faults: Faults,
    steps: u64,
    dead: bool,
    /// How long each sync takes.
    sync_takes: Duration,
}

impl Inner {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.faults.crash_at.is_some_and(|at| self.steps >= at) {
            self.dead = true;
        }
        if self.dead {
            return Err(io::Error::other("the program has died"));
        }
        Ok(())
    }

    fn change(&mut self, name: &str, change: Change) -> io::Result<()> {
        self.step()?;
        let size = |c: &Content| c.seen.len() as u64;
        let others: u64 = self.files.iter().filter(|f| f.0 != name).map(|f| size(f.1)).sum();
        let file = self.files.entry(name.to_owned()).or_default();
        let needs = match &change {
            Change::Write(offset, data) => size(file).max(offset + data.len() as u64),
            Change::Length(len) => *len,
        };
        if needs > size(file) && self.faults.room.is_some_and(|room| others + needs > room) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        apply(&mut file.seen, &change);
        file.unsynced.push(change);
        Ok(())
    }
}

/// The disk. Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct SimDisk {
    inner: Arc<Mutex<Inner>>,
}

impl SimDisk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A disk that holds these files, all synced.
    pub fn holding(files: &BTreeMap<String, Vec<u8>>) -> Self {
        let disk = Self::default();
        for (name, bytes) in files {
            let content = Content { synced: bytes.clone(), seen: bytes.clone(), unsynced: Vec::new() };
            disk.inner().files.insert(name.clone(), content);
        }
        disk
    }

    /// What goes wrong from now on, by steps counted from 0.
    pub fn fail(&self, faults: Faults) {
        let mut inner = self.inner();
        (inner.faults, inner.steps) = (faults, 0);
    }

    /// Makes every sync take so long.
    pub fn slow_down(&self, sync_takes: Duration) {
        self.inner().sync_takes = sync_takes;
    }

    /// Steps since faults were last set.
    pub fn steps(&self) -> u64 {
        self.inner().steps
    }

    /// Whether the program died on it.
    pub fn is_dead(&self) -> bool {
        self.inner().dead
    }

    /// What is surely there, as if the program had ended and everything been synced before.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        self.inner().files.iter().map(|f| (f.0.clone(), f.1.seen.clone())).collect()
    }

    /// What a crash leaves: all that was synced, and of the rest a part, torn and in any order.
    pub fn after_crash(&self, rng: &mut Pcg64Mcg) -> BTreeMap<String, Vec<u8>> {
        let inner = self.inner();
        let left = |content: &Content| {
            let mut bytes = content.synced.clone();
            let mut changes = content.unsynced.clone();
            // All, none, a first part or any part of them have reached the disk.
            match rng.gen_range(0..4) {
                0 => {}
                1 => changes.clear(),
                2 => changes.truncate(rng.gen_range(0..=changes.len())),
                _ => {
                    changes.shuffle(rng);
                    changes.truncate(rng.gen_range(0..=changes.len()));
                }
            }
            if rng.gen_bool(0.5) {
                if let Some(Change::Write(_, data)) = changes.last_mut() {
                    let sectors = data.len() / SECTOR;
                    data.truncate(rng.gen_range(0..=sectors) * SECTOR);
                }
            }
            changes.iter().for_each(|c| apply(&mut bytes, c));
            bytes
        };
        let mut left = left;
        inner.files.iter().map(|f| (f.0.clone(), left(f.1))).collect()
    }
}

impl Disk for SimDisk {
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let mut inner = self.inner();
        if !inner.files.contains_key(name) {
            inner.step()?;
            inner.files.insert(name.to_owned(), Content::default());
        }
        Ok(Arc::new(SimFile { disk: self.clone(), name: Mutex::new(name.to_owned()) }))
    }

    fn exists(&self, name: &str) -> io::Result<bool> {
        Ok(self.inner().files.contains_key(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.step()?;
        let content = inner.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.step()?;
        inner.files.remove(name).map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }
}

#[derive(Debug)]
struct SimFile {
    disk: SimDisk,
    name: Mutex<String>,
}

impl SimFile {
    fn name(&self) -> String {
        self.name.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl DiskFile for SimFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.disk.inner().files.get(&self.name()).map_or(0, |f| f.seen.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let inner = self.disk.inner();
        let file = inner.files.get(&self.name()).ok_or(io::ErrorKind::NotFound)?;
        let from = offset as usize;
        let piece = file.seen.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(piece);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.disk.inner().change(&self.name(), Change::Write(offset, data.to_vec()))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.disk.inner().change(&self.name(), Change::Length(len))
    }

    fn sync(&self) -> io::Result<()> {
        let takes = self.disk.inner().sync_takes;
        if !takes.is_zero() {
            std::thread::sleep(takes);
        }
        let mut inner = self.disk.inner();
        inner.step()?;
        let fails = inner.faults.failed_sync_at.is_some_and(|at| inner.steps >= at);
        if fails {
            inner.faults.failed_sync_at = None;
        }
        let Some(file) = inner.files.get_mut(&self.name()) else { return Ok(()) };
        let changes = std::mem::take(&mut file.unsynced);
        if fails {
            // The pages count as clean from now on, and never reach the disk.
            return Err(io::Error::other("the sync failed"));
        }
        changes.iter().for_each(|c| apply(&mut file.synced, c));
        Ok(())
    }
}
