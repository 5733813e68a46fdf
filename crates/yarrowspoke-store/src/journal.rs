//! A journal of values that are appended in frames, made durable before anything depends on them, and read back at the
//! start.
//!
//! A truncated or torn tail belongs to an append that was never acknowledged, so it is cut off. An unreadable frame that is
//! followed by others is different: acknowledged data is lost, so the journal is refused.

use crate::record::{frame, unframe};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// Maximum bytes of one value.
const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens the journal at a path, creating it if it does not exist, and returns the values in it.
    pub fn open<T: DeserializeOwned>(path: &Path) -> io::Result<(Self, Vec<T>)> {
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        let (mut bytes, mut values, mut offset) = (Vec::new(), Vec::new(), 0);
        file.read_to_end(&mut bytes)?;
        while let Some((len, rest)) = bytes[offset..].split_first_chunk::<4>() {
            let len = u32::from_le_bytes(*len) as usize;
            let Some(framed) = rest.get(..len).filter(|_| len <= MAX_VALUE_BYTES) else { break };
            let key = (offset as u64).to_le_bytes();
            match unframe::<T>(&key, framed) {
                Ok(value) => values.push(value),
                Err(_) if offset + 4 + len == bytes.len() => break,
                Err(e) => {
                    let message =
                        format!("{}: at byte {offset}: {e}; acknowledged data is lost", path.display());
                    return Err(io::Error::new(io::ErrorKind::InvalidData, message));
                }
            }
            offset += 4 + len;
        }
        file.set_len(offset as u64)?;
        file.seek(SeekFrom::Start(offset as u64))?;
        file.sync_all()?;
        Ok((Self { file }, values))
    }

    /// Appends values, which are durable once this returns.
    pub fn append<T: Serialize>(&mut self, values: &[T]) -> io::Result<()> {
        let mut offset = self.file.stream_position()?;
        let mut bytes = Vec::new();
        for value in values {
            let framed = frame(&offset.to_le_bytes(), value);
            bytes.extend_from_slice(&(framed.len() as u32).to_le_bytes());
            bytes.extend_from_slice(&framed);
            offset += 4 + framed.len() as u64;
        }
        self.file.write_all(&bytes)?;
        self.file.sync_data()
    }
}
