//! All that the store asks of a disk, so that a stand-in can fail, tear and cut in its place.

use std::fmt::Debug;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

/// One file.
pub trait DiskFile: Debug + Send + Sync + 'static {
    /// Its length in bytes.
    fn len(&self) -> io::Result<u64>;
    /// Whether it holds nothing.
    fn is_empty(&self) -> io::Result<bool> {
        Ok(self.len()? == 0)
    }
    /// Reads exactly so many bytes.
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()>;
    /// Writes; durable only once synced.
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()>;
    /// Cuts it or fills it up with zeros.
    fn set_len(&self, len: u64) -> io::Result<()>;
    /// Makes what was written durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory.
pub trait Disk: Debug + Send + Sync {
    /// Opens a file, made if it is not there.
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;
    /// Whether there is a file of this name.
    fn exists(&self, name: &str) -> io::Result<bool>;
    /// Renames a file over another, durably.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// A directory of the system, locked for as long as this lives.
#[derive(Debug)]
pub struct Dir {
    path: PathBuf,
    _lock: File,
}

impl Dir {
    /// Opens a directory and takes its lock; an error names the path.
    pub fn open(path: &Path) -> io::Result<Self> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        if !path.is_dir() {
            let e = io::Error::new(io::ErrorKind::NotFound, "no such directory; it is not made by itself");
            return Err(named(e));
        }
        let options =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path.join("lock"));
        let lock = options.map_err(named)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                let e = "its lock is held: another front or command has it open, and one directory is one front's";
                Err(named(io::Error::new(io::ErrorKind::ResourceBusy, e)))
            }
            Err(TryLockError::Error(e)) => Err(named(e)),
        }
    }

    fn sync_self(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Disk for Dir {
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let path = self.path.join(name);
        let fresh = !path.exists();
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        if fresh {
            self.sync_self()?;
        }
        Ok(Arc::new(RealFile { file: Mutex::new(file) }))
    }

    fn exists(&self, name: &str) -> io::Result<bool> {
        self.path.join(name).try_exists()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_self()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))?;
        self.sync_self()
    }
}

#[derive(Debug)]
struct RealFile {
    file: Mutex<File>,
}

impl RealFile {
    fn at<T>(&self, offset: u64, work: impl FnOnce(&mut File) -> io::Result<T>) -> io::Result<T> {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.seek(SeekFrom::Start(offset))?;
        work(&mut file)
    }
}

impl DiskFile for RealFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.file.lock().unwrap_or_else(PoisonError::into_inner).metadata()?.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.at(offset, |f| f.read_exact(out))
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.at(offset, |f| f.write_all(data))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.file.lock().unwrap_or_else(PoisonError::into_inner).set_len(len)
    }

    fn sync(&self) -> io::Result<()> {
        self.file.lock().unwrap_or_else(PoisonError::into_inner).sync_data()
    }
}
