//! What fronts say to each other about the list: one question, one answer, each a datagram of at most 256 bytes.
//!
//! | bytes | question | answer |
//! | --- | --- | --- |
//! | 0 | format, 0x5a | the same |
//! | 1 | kind, 1 | kind, 2 |
//! | 2 to 5 | nonce, little-endian | the question's nonce |
//! | 6 to 13 | version of the asker's list, little-endian | - |
//! | 6 | - | 0: the list that the sender goes by is confirmed; 1: the sender cannot reach discovery; 2: discovery answered it or another, unreadably; 3: it knows nothing of discovery |
//! | 7 | - | how long ago: discovery confirmed that list; was last called in vain; gave that answer; in 50 ms, rounded up |
//! | 8 | - | 0: the sender has no subscription of its own; 1: it has; from 2 on: it opened it lately, in that many less 2 times 4 ms |
//! | 9 to 12 | - | the source that the sender goes by, little-endian |
//! | 13 to 20 | - | version of the newest list that the sender knows of, little-endian |
//! | from 21 | - | for each machine vouched for: fingerprint (4 bytes, little-endian), how long ago discovery confirmed it (1 byte, in 50 ms) |
//!
//! An answer tells where its words come from and how old they are, never how long they may be used: that is for the front
//! that takes them, by its own deadlines. A front that cannot reach discovery vouches for nothing, and names the machines that
//! it last knew, their ages 0: a front with an older list learns which of its machines were left by then.
//!
//! A machine is named by a fingerprint of its
//! id, build and start, so that another process under an old id is never taken for the one vouched for. What has left the
//! list since the asker's version is not vouched for either, though it be back: the asker counts as told that it left. An
//! answer names no addresses: a front sends only to machines that its own list has named.

use crate::accounting::hash_to_unit;
use crate::interface::{DiscoveryId, MachineEntry, Micros};

const FORMAT: u8 = 0x5a;
const QUESTION: u8 = 1;
const ANSWER: u8 = 2;
const HEAD: usize = 6;
const ANSWER_HEAD: usize = HEAD + 15;
const LINE: usize = 5;
/// Most bytes of a message.
const MOST_BYTES: usize = 256;
/// Unit of an age.
const AGE_UNIT: Micros = 50_000;
/// Standings, as one byte.
const CONFIRMED: u8 = 0;
const OUT_OF_REACH: u8 = 1;
const UNREADABLE: u8 = 2;
const UNTRIED: u8 = 3;
/// Subscriptions, as one byte.
const NOT_SUBSCRIBED: u8 = 0;
const SUBSCRIBED: u8 = 1;
const OPENED: u8 = 2;
/// Unit of the time that opening a subscription took.
const OPENING_UNIT: Micros = 4_000;
/// Most machines that one answer vouches for.
pub const MAX_CONFIRMATIONS: usize = (MOST_BYTES - ANSWER_HEAD) / LINE;

/// A machine that a front vouches for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The machine's process and build.
    pub fingerprint: u32,
    /// How long ago discovery confirmed it.
    pub age: Micros,
}

/// A front's own subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subscription {
    /// It has none.
    Missing,
    /// It stands.
    Open,
    /// It stands, and opening it lately took so long.
    OpenedRecently(Micros),
}

impl Subscription {
    /// Whether it stands.
    pub fn is_open(self) -> bool {
        self != Self::Missing
    }

    /// How long opening it took, if that was lately.
    pub fn opening_time(self) -> Option<Micros> {
        match self {
            Self::OpenedRecently(took) => Some(took),
            Self::Missing | Self::Open => None,
        }
    }

    fn byte(self) -> u8 {
        match self {
            Self::Missing => NOT_SUBSCRIBED,
            Self::Open => SUBSCRIBED,
            Self::OpenedRecently(took) => {
                OPENED + took.div_ceil(OPENING_UNIT).min((u8::MAX - OPENED).into()) as u8
            }
        }
    }

    fn of(byte: u8) -> Self {
        match byte {
            NOT_SUBSCRIBED => Self::Missing,
            SUBSCRIBED => Self::Open,
            opened => Self::OpenedRecently(Micros::from(opened - OPENED) * OPENING_UNIT),
        }
    }
}

/// How a front stands towards discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Discovery confirmed its list, or one by which others vouched, so long ago.
    Confirmed(Micros),
    /// Its calls fail; so long ago it or another front made the last that did.
    Unreachable(Micros),
    /// So long ago it or another front was answered by what cannot be used: discovery is at work, and may have told changes.
    Unreadable(Micros),
    /// None of its calls has ended since its list was last confirmed: it knows nothing of discovery.
    Unknown,
}

/// A message between fronts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// What do you vouch for?
    Query {
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
        /// The sender's own; without one, what it vouches for is another front's word.
        subscription: Subscription,
        /// Where discovery is to the sender.
        discovery_id: DiscoveryId,
        /// The version of the newest list that the sender knows of.
        version: u64,
        /// Machines that the asker sends to, by the sender's list.
        confirmations: Vec<Confirmation>,
    },
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// They are too few, too many, or no whole number of lines.
    Length,
    /// Another format.
    Format,
    /// A kind, or a standing, that this version does not know.
    Kind,
}

impl Message {
    /// The bytes of this message, never more than 256.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Self::Query { nonce, version } => {
                let mut bytes = head(QUESTION, *nonce);
                bytes.extend_from_slice(&version.to_le_bytes());
                bytes
            }
            Self::Answer {
                nonce,
                standing,
                subscription,
                discovery_id: source,
                version,
                confirmations: vouched,
            } => {
                let mut bytes = head(ANSWER, *nonce);
                bytes.extend_from_slice(&standing_bytes(*standing));
                bytes.push(subscription.byte());
                bytes.extend_from_slice(&source.to_le_bytes());
                bytes.extend_from_slice(&version.to_le_bytes());
                let lines = vouched.iter().filter_map(|line| Some((line.fingerprint, age_byte(line.age)?)));
                for (fingerprint, age) in lines.take(MAX_CONFIRMATIONS) {
                    bytes.extend_from_slice(&fingerprint.to_le_bytes());
                    bytes.push(age);
                }
                bytes
            }
        }
    }

    fn decode_answer(nonce: u32, bytes: &[u8]) -> Result<Self, MessageError> {
        let ([standing, age, subscription], rest) = take(bytes)?;
        let (source, rest) = take(rest)?;
        let (version, lines) = take(rest)?;
        if !lines.len().is_multiple_of(LINE) {
            return Err(MessageError::Length);
        }
        Ok(Self::Answer {
            nonce,
            standing: read_standing(standing, age)?,
            subscription: Subscription::of(subscription),
            discovery_id: DiscoveryId::from_le_bytes(source),
            version: u64::from_le_bytes(version),
            confirmations: lines.chunks_exact(LINE).map(line).collect(),
        })
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
                Ok(Self::Query { nonce, version: u64::from_le_bytes(version) })
            }
            (ANSWER, _) => Self::decode_answer(nonce, rest),
            _ => Err(MessageError::Kind),
        }
    }
}

/// The next number of so many bytes, and what follows it.
fn take<const N: usize>(bytes: &[u8]) -> Result<([u8; N], &[u8]), MessageError> {
    let (first, rest) = bytes.split_first_chunk().ok_or(MessageError::Length)?;
    Ok((*first, rest))
}

fn head(kind: u8, nonce: u32) -> Vec<u8> {
    let mut bytes = vec![FORMAT, kind];
    bytes.extend_from_slice(&nonce.to_le_bytes());
    bytes
}

fn standing_bytes(standing: Standing) -> [u8; 2] {
    match standing {
        // Danger: an age that cannot be told would come out as a younger one.
        Standing::Confirmed(age) => age_byte(age).map_or([UNTRIED, 0], |age| [CONFIRMED, age]),
        // The greatest age that can be told is too old to be of use.
        Standing::Unreachable(age) => [OUT_OF_REACH, age_byte(age).unwrap_or(u8::MAX)],
        Standing::Unreadable(age) => age_byte(age).map_or([UNTRIED, 0], |age| [UNREADABLE, age]),
        Standing::Unknown => [UNTRIED, 0],
    }
}

fn read_standing(standing: u8, age: u8) -> Result<Standing, MessageError> {
    let age = Micros::from(age) * AGE_UNIT;
    match standing {
        CONFIRMED => Ok(Standing::Confirmed(age)),
        OUT_OF_REACH => Ok(Standing::Unreachable(age)),
        UNREADABLE => Ok(Standing::Unreadable(age)),
        UNTRIED => Ok(Standing::Unknown),
        _ => Err(MessageError::Kind),
    }
}

/// An age, rounded up; `None` if it is more than can be told.
fn age_byte(age: Micros) -> Option<u8> {
    u8::try_from(age.div_ceil(AGE_UNIT)).ok()
}

fn line(bytes: &[u8]) -> Confirmation {
    let fingerprint = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    Confirmation { fingerprint, age: Micros::from(bytes[4]) * AGE_UNIT }
}

/// Tells a machine's process and build from all others under its id.
pub fn fingerprint(entry: &MachineEntry) -> u32 {
    let process = hash_to_unit(entry.started_at) * (1u64 << 52) as f64;
    let mixed = hash_to_unit(process as u64 ^ u64::from(entry.machine) << 16 ^ u64::from(entry.build));
    (mixed * (1u64 << 32) as f64) as u32
}
