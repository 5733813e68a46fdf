//! The last acknowledged commit, kept in a file apart from the database, in two slots that are written in turn.
//!
//! A database engine whose newest header is damaged falls back to the previous commit, and nothing in its file shows that a
//! later commit was acknowledged to a client. The mark shows it.

use crate::disk::DiskFile;
use std::io;

/// Size of a slot in bytes.
pub const SLOT_BYTES: usize = 48;
/// Offsets of the slots, far enough apart that a torn sector damages one slot only.
pub const OFFSETS: [u64; 2] = [0, 512];
/// Format version of the mark and the ledger.
pub const FORMAT: u16 = 1;
const MAGIC: &[u8; 4] = b"YSMK";

/// Identifies a commit of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    /// Number of the last acknowledged commit.
    pub commit: u64,
    /// Incarnation of the store that made the commit.
    pub incarnation: u64,
    /// Id of the store.
    pub id: u128,
}

/// Contents of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// No readable mark.
    Empty,
    /// A mark of another format version.
    OtherFormat(u16),
    /// A valid mark.
    Valid(Mark),
}

impl Mark {
    /// Encodes the mark as the bytes of a slot.
    pub fn encode(&self) -> [u8; SLOT_BYTES] {
        let mut out = [0; SLOT_BYTES];
        out[..4].copy_from_slice(MAGIC);
        out[4..6].copy_from_slice(&FORMAT.to_le_bytes());
        out[8..24].copy_from_slice(&self.id.to_le_bytes());
        out[24..32].copy_from_slice(&self.incarnation.to_le_bytes());
        out[32..40].copy_from_slice(&self.commit.to_le_bytes());
        let crc = crc32fast::hash(&out[..40]);
        out[40..44].copy_from_slice(&crc.to_le_bytes());
        out
    }

    /// Decodes the bytes of a slot.
    pub fn decode(bytes: &[u8; SLOT_BYTES]) -> Slot {
        let number = |from: usize| u64::from_le_bytes(std::array::from_fn(|n| bytes[from + n]));
        let crc = u32::from_le_bytes(std::array::from_fn(|n| bytes[40 + n]));
        if &bytes[..4] != MAGIC || crc32fast::hash(&bytes[..40]) != crc {
            return Slot::Empty;
        }
        let format = u16::from_le_bytes([bytes[4], bytes[5]]);
        if format != FORMAT {
            return Slot::OtherFormat(format);
        }
        let id = u128::from_le_bytes(std::array::from_fn(|n| bytes[8 + n]));
        Slot::Valid(Mark { commit: number(32), incarnation: number(24), id })
    }

    /// Reads both slots of a file of any length.
    pub fn read(file: &dyn DiskFile) -> io::Result<[Slot; 2]> {
        let len = file.len()?;
        let mut out = [Slot::Empty; 2];
        for (slot, offset) in out.iter_mut().zip(OFFSETS) {
            if len >= offset + SLOT_BYTES as u64 {
                let mut bytes = [0; SLOT_BYTES];
                file.read(offset, &mut bytes)?;
                *slot = Self::decode(&bytes);
            }
        }
        Ok(out)
    }

    /// Writes the mark durably; the commit number alternates between the two slots.
    pub fn write(&self, file: &dyn DiskFile) -> io::Result<()> {
        let offset = OFFSETS[(self.commit % 2) as usize];
        file.write(offset, &self.encode())?;
        file.sync()
    }
}
