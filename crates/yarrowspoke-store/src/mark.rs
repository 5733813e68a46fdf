//! The witness of what was promised: the last commit, in two slots written in turn.
//!
//! Danger: an engine whose newest header is damaged falls back to the commit before, and nothing in its file tells that a
//! later one was promised to a client. The mark does.

use crate::disk::DiskFile;
use std::io;

/// Bytes of a slot.
pub const SLOT_BYTES: usize = 48;
/// Where the slots begin: far enough apart that one torn sector is one slot.
pub const OFFSETS: [u64; 2] = [0, 512];
/// The format of mark and ledger.
pub const FORMAT: u16 = 1;
const MAGIC: &[u8; 4] = b"YSMK";

/// A mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    /// The commit promised last.
    pub commit: u64,
    /// The life in which it was.
    pub incarnation: u64,
    /// The store's id.
    pub id: u128,
}

/// What a slot holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// Nothing that can be read.
    Empty,
    /// A mark of another format.
    OtherFormat(u16),
    /// A mark.
    Valid(Mark),
}

impl Mark {
    /// The bytes of a slot.
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

    /// Reads a slot.
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

    /// Reads both slots of a file, of whatever length.
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

    /// Writes it durably into the slot that is its turn.
    pub fn write(&self, file: &dyn DiskFile) -> io::Result<()> {
        let offset = OFFSETS[(self.commit % 2) as usize];
        file.write(offset, &self.encode())?;
        file.sync()
    }
}
