//! What fronts say to each other about the list: one question, one answer, each a datagram of at most 256 bytes.
//!
//! | bytes | question | answer |
//! | --- | --- | --- |
//! | 0 | format, 0x59 | the same |
//! | 1 | kind, 1 | kind, 2 |
//! | 2 to 5 | nonce, little-endian | the question's nonce |
//! | 6 to 13 | version of the asker's list, little-endian | - |
//! | 6 | - | time left to the sender's list, in 50 ms; 0: it cannot reach discovery; 254: it was answered, unreadably; 255: it has not tried yet |
//! | 7 | - | 1 if the sender's own subscription stands, else 0 |
//! | from 8 | - | for each machine vouched for: fingerprint (4 bytes, little-endian), time left (1 byte, in 50 ms) |
//!
//! A machine is named by a fingerprint of its
//! id, build and start, so that another process under an old id is never taken for the one vouched for. What has left the
//! list since the asker's version is not vouched for either, though it be back: the asker counts as told that it left. An
//! answer names no addresses: a front sends only to machines that its own list has named.

use crate::books::position;
use crate::interface::{Entry, Micros};

const FORMAT: u8 = 0x59;
const QUESTION: u8 = 1;
const ANSWER: u8 = 2;
const HEAD: usize = 6;
const ANSWER_HEAD: usize = HEAD + 2;
const LINE: usize = 5;
/// Most bytes of a message.
const MOST_BYTES: usize = 256;
/// Unit of the time left.
const LEFT_UNIT: Micros = 50_000;
/// In place of the time left to a list.
const OUT_OF_REACH: u8 = 0;
const UNTRIED: u8 = u8::MAX;
const UNREADABLE: u8 = u8::MAX - 1;
/// Most machines that one answer vouches for.
pub const MOST_VOUCHED: usize = (MOST_BYTES - ANSWER_HEAD) / LINE;

/// A machine that a front vouches for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vouched {
    /// The machine's process and build.
    pub fingerprint: u32,
    /// For how long, from the question on.
    pub left: Micros,
}

/// How a front stands towards discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its list, or one by which others vouched, holds for so long, counted from the question.
    Confirmed(Micros),
    /// Its calls fail.
    OutOfReach,
    /// It was answered by what cannot be used: discovery is at work, and may have told changes.
    Unreadable,
    /// None of its calls has ended since its list was last confirmed: it knows nothing of discovery.
    Untried,
}

/// A message between fronts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// What do you vouch for?
    Question {
        /// Names the question.
        nonce: u32,
        /// The version of the asker's list.
        version: u64,
    },
    /// These machines.
    Answer {
        /// The question's.
        nonce: u32,
        /// How the sender stands towards discovery.
        standing: Standing,
        /// The sender's own subscription stands; otherwise what it vouches for is another front's word.
        subscribed: bool,
        /// Machines that the asker sends to, by the sender's list.
        vouched: Vec<Vouched>,
    },
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// They are too few, too many, or no whole number of lines.
    Length,
    /// Another format.
    Format,
    /// A kind that this version does not know.
    Kind,
}

impl Message {
    /// The bytes of this message, never more than 256.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Self::Question { nonce, version } => {
                let mut bytes = head(QUESTION, *nonce);
                bytes.extend_from_slice(&version.to_le_bytes());
                bytes
            }
            Self::Answer { nonce, standing, subscribed, vouched } => {
                let mut bytes = head(ANSWER, *nonce);
                bytes.push(standing_byte(*standing));
                bytes.push(u8::from(*subscribed));
                for line in vouched.iter().take(MOST_VOUCHED) {
                    bytes.extend_from_slice(&line.fingerprint.to_le_bytes());
                    bytes.push(units(line.left));
                }
                bytes
            }
        }
    }

    /// Reads a message; whoever wrote it is not trusted.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let (head, rest) = bytes.split_at_checked(HEAD).ok_or(MessageError::Length)?;
        if bytes.len() > MOST_BYTES {
            return Err(MessageError::Length);
        }
        if head[0] != FORMAT {
            return Err(MessageError::Format);
        }
        let nonce = u32::from_le_bytes([head[2], head[3], head[4], head[5]]);
        match (head[1], rest) {
            (QUESTION, _) => {
                let version = rest.try_into().map_err(|_| MessageError::Length)?;
                Ok(Self::Question { nonce, version: u64::from_le_bytes(version) })
            }
            (ANSWER, [left, subscribed, lines @ ..]) if lines.len().is_multiple_of(LINE) => {
                let vouched = lines.chunks_exact(LINE).map(line).collect();
                Ok(Self::Answer { nonce, standing: standing(*left), subscribed: *subscribed != 0, vouched })
            }
            (ANSWER, _) => Err(MessageError::Length),
            _ => Err(MessageError::Kind),
        }
    }
}

fn head(kind: u8, nonce: u32) -> Vec<u8> {
    let mut bytes = vec![FORMAT, kind];
    bytes.extend_from_slice(&nonce.to_le_bytes());
    bytes
}

fn standing_byte(standing: Standing) -> u8 {
    match standing {
        Standing::Confirmed(left) => units(left).min(UNREADABLE - 1),
        Standing::OutOfReach => OUT_OF_REACH,
        Standing::Unreadable => UNREADABLE,
        Standing::Untried => UNTRIED,
    }
}

fn standing(byte: u8) -> Standing {
    match byte {
        OUT_OF_REACH => Standing::OutOfReach,
        UNREADABLE => Standing::Unreadable,
        UNTRIED => Standing::Untried,
        left => Standing::Confirmed(span(left)),
    }
}

fn units(left: Micros) -> u8 {
    (left / LEFT_UNIT).min(u8::MAX.into()) as u8
}

fn span(units: u8) -> Micros {
    Micros::from(units) * LEFT_UNIT
}

fn line(bytes: &[u8]) -> Vouched {
    let fingerprint = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    Vouched { fingerprint, left: span(bytes[4]) }
}

/// Tells a machine's process and build from all others under its id.
pub fn fingerprint(entry: &Entry) -> u32 {
    let process = position(entry.started) * (1u64 << 52) as f64;
    let mixed = position(process as u64 ^ u64::from(entry.machine) << 16 ^ u64::from(entry.build));
    (mixed * (1u64 << 32) as f64) as u32
}
