//! The store's interface to the disk. Tests replace it with an implementation that injects failures, torn writes and
//! truncated files.

use std::fmt::Debug;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

/// A file.
pub trait DiskFile: Debug + Send + Sync + 'static {
    /// Returns the length in bytes.
    fn len(&self) -> io::Result<u64>;
    /// Returns whether the file is empty.
    fn is_empty(&self) -> io::Result<bool> {
        Ok(self.len()? == 0)
    }
    /// Fills `out` with the bytes at `offset`; fails if there are fewer.
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()>;
    /// Writes `data` at `offset`. It is durable only after [`DiskFile::sync`].
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()>;
    /// Truncates the file or extends it with zeros.
    fn set_len(&self, len: u64) -> io::Result<()>;
    /// Makes all earlier writes durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory.
pub trait Disk: Debug + Send + Sync {
    /// Opens a file, creating it if it does not exist.
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;
    /// Returns whether a file of this name exists.
    fn exists(&self, name: &str) -> io::Result<bool>;
    /// Renames a file durably, replacing any file of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// A directory of the file system, locked until this value is dropped.
#[derive(Debug)]
pub struct Dir {
    path: PathBuf,
    _lock: File,
}

impl Dir {
    /// Opens a directory and acquires its lock. Errors contain the path.
    pub fn open(path: &Path) -> io::Result<Self> {
        let with_path = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        if !path.is_dir() {
            let e =
                io::Error::new(io::ErrorKind::NotFound, "no such directory; it is not created automatically");
            return Err(with_path(e));
        }
        let options =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path.join("lock"));
        let lock = options.map_err(with_path)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                let e = "its lock is held: another front or command has the directory open, and each front needs its own";
                Err(with_path(io::Error::new(io::ErrorKind::ResourceBusy, e)))
            }
            Err(TryLockError::Error(e)) => Err(with_path(e)),
        }
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Disk for Dir {
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let path = self.path.join(name);
        let is_new = !path.exists();
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        if is_new {
            self.sync_directory()?;
        }
        Ok(Arc::new(OsFile { file: Mutex::new(file) }))
    }

    fn exists(&self, name: &str) -> io::Result<bool> {
        self.path.join(name).try_exists()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_directory()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))?;
        self.sync_directory()
    }
}

#[derive(Debug)]
struct OsFile {
    file: Mutex<File>,
}

impl OsFile {
    fn seek_then<T>(&self, offset: u64, action: impl FnOnce(&mut File) -> io::Result<T>) -> io::Result<T> {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.seek(SeekFrom::Start(offset))?;
        action(&mut file)
    }
}

impl DiskFile for OsFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.file.lock().unwrap_or_else(PoisonError::into_inner).metadata()?.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.seek_then(offset, |f| f.read_exact(out))
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.seek_then(offset, |f| f.write_all(data))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.file.lock().unwrap_or_else(PoisonError::into_inner).set_len(len)
    }

    fn sync(&self) -> io::Result<()> {
        self.file.lock().unwrap_or_else(PoisonError::into_inner).sync_data()
    }
}
