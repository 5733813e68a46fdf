//! A journal: values appended in frames, durable before anybody hears of them, read back whole at the start.
//!
//! A tail that was cut or torn belongs to an append that nobody was told of, and is cut off. A frame that can't be read with
//! others behind it is another matter: what was promised is gone, and the journal is refused.

use crate::record::{frame, unframe};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// Most bytes of one value.
const MOST: usize = 16 * 1024 * 1024;

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens the journal at a path and gives what is in it, or makes an empty one.
    pub fn open<T: DeserializeOwned>(path: &Path) -> io::Result<(Self, Vec<T>)> {
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        let (mut bytes, mut out, mut at) = (Vec::new(), Vec::new(), 0);
        file.read_to_end(&mut bytes)?;
        while let Some((len, rest)) = bytes[at..].split_first_chunk::<4>() {
            let len = u32::from_le_bytes(*len) as usize;
            let Some(value) = rest.get(..len).filter(|_| len <= MOST) else { break };
            let key = (at as u64).to_le_bytes();
            match unframe::<T>(&key, value) {
                Ok(value) => out.push(value),
                Err(_) if at + 4 + len == bytes.len() => break,
                Err(e) => {
                    let why =
                        format!("{}: at byte {at}: {e}; what was promised there is gone", path.display());
                    return Err(io::Error::new(io::ErrorKind::InvalidData, why));
                }
            }
            at += 4 + len;
        }
        file.set_len(at as u64)?;
        file.seek(SeekFrom::Start(at as u64))?;
        file.sync_all()?;
        Ok((Self { file }, out))
    }

    /// Appends values, durable once this returns.
    pub fn append<T: Serialize>(&mut self, values: &[T]) -> io::Result<()> {
        let mut at = self.file.stream_position()?;
        let mut bytes = Vec::new();
        for value in values {
            let framed = frame(&at.to_le_bytes(), value);
            bytes.extend_from_slice(&(framed.len() as u32).to_le_bytes());
            bytes.extend_from_slice(&framed);
            at += 4 + framed.len() as u64;
        }
        self.file.write_all(&bytes)?;
        self.file.sync_data()
    }
}
