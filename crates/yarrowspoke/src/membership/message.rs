//! Messages between fronts about the list: a query and its answer, each a datagram of at most 256 bytes.
//!
//! | bytes | query | answer |
//! | --- | --- | --- |
//! | 0 | format, 0x5a | the same |
//! | 1 | kind, 1 | kind, 2 |
//! | 2 to 5 | nonce, little-endian | the query's nonce |
//! | 6 to 13 | version of the querying front's list, little-endian | - |
//! | 6 | - | 0: the list that the sender uses is confirmed; 1: the sender cannot reach discovery; 2: discovery answered it or another front with an unreadable response; 3: it knows nothing of discovery |
//! | 7 | - | how long ago: discovery confirmed that list; the last failed call was made; discovery gave that response; in 50 ms, rounded up |
//! | 8 | - | 0: the sender has no subscription of its own; 1: it has one; from 2 on: it opened it recently, which took (that number - 2) times 4 ms |
//! | 9 to 12 | - | identifier of the discovery that the sender uses, little-endian |
//! | 13 to 20 | - | version of the newest list that the sender knows of, little-endian |
//! | from 21 | - | for each confirmed machine: fingerprint (4 bytes, little-endian), how long ago discovery confirmed it (1 byte, in 50 ms) |
//!
//! An answer states where its information comes from and how old it is, never how long it may be used: the receiving front
//! decides that by its own deadlines. A front that cannot reach discovery confirms nothing, and lists the machines that it
//! last knew, with ages 0: a front with an older list learns which of its machines were left by then.
//!
//! A machine is identified by a fingerprint of its id, build and start, so that another process under an old id is never
//! taken for the confirmed one. A machine that has left the list since the querying front's version is not confirmed
//! either, even if it is back: the querying front must act on its leaving. An answer contains no addresses: a front sends
//! only to machines that its own list contains.

use crate::accounting::hash_to_unit;
use crate::interface::{DiscoveryId, MachineEntry, Micros};

const FORMAT: u8 = 0x5a;
const QUERY: u8 = 1;
const ANSWER: u8 = 2;
const HEADER_BYTES: usize = 6;
const ANSWER_HEADER_BYTES: usize = HEADER_BYTES + 15;
const CONFIRMATION_BYTES: usize = 5;
/// Maximum size of a message.
const MAX_BYTES: usize = 256;
/// Unit of an age.
const AGE_UNIT: Micros = 50_000;
/// Codes of [`Standing`].
const CONFIRMED: u8 = 0;
const UNREACHABLE: u8 = 1;
const UNREADABLE: u8 = 2;
const UNKNOWN: u8 = 3;
/// Codes of [`Subscription`].
const NOT_SUBSCRIBED: u8 = 0;
const SUBSCRIBED: u8 = 1;
const OPENED_RECENTLY: u8 = 2;
/// Unit of the time that opening a subscription took.
const OPENING_UNIT: Micros = 4_000;
/// Maximum number of machines that one answer confirms.
pub const MAX_CONFIRMATIONS: usize = (MAX_BYTES - ANSWER_HEADER_BYTES) / CONFIRMATION_BYTES;

/// A machine that a front confirms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Identifies the machine's process and build.
    pub fingerprint: u32,
    /// How long ago discovery confirmed it.
    pub age: Micros,
}

/// The state of a front's own subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subscription {
    /// The front has no subscription.
    Missing,
    /// The subscription is open.
    Open,
    /// The subscription is open, and opening it recently took this long.
    OpenedRecently(Micros),
}

impl Subscription {
    /// Returns whether the subscription is open.
    pub fn is_open(self) -> bool {
        self != Self::Missing
    }

    /// Returns how long opening it took, if that was recent.
    pub fn opening_time(self) -> Option<Micros> {
        match self {
            Self::OpenedRecently(opening_time) => Some(opening_time),
            Self::Missing | Self::Open => None,
        }
    }

    fn to_byte(self) -> u8 {
        match self {
            Self::Missing => NOT_SUBSCRIBED,
            Self::Open => SUBSCRIBED,
            Self::OpenedRecently(opening_time) => {
                OPENED_RECENTLY
                    + opening_time.div_ceil(OPENING_UNIT).min((u8::MAX - OPENED_RECENTLY).into()) as u8
            }
        }
    }

    fn from_byte(byte: u8) -> Self {
        match byte {
            NOT_SUBSCRIBED => Self::Missing,
            SUBSCRIBED => Self::Open,
            byte => Self::OpenedRecently(Micros::from(byte - OPENED_RECENTLY) * OPENING_UNIT),
        }
    }
}

/// What a front knows of discovery's availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Discovery confirmed its list, or one by which other fronts confirmed machines, this long ago.
    Confirmed(Micros),
    /// Its calls fail; it or another front made the last failed call this long ago.
    Unreachable(Micros),
    /// Discovery answered it or another front this long ago with a response that cannot be used: discovery is up, and
    /// may have sent changes.
    Unreadable(Micros),
    /// None of its calls has ended since its list was last confirmed: it knows nothing of discovery.
    Unknown,
}

/// A message between fronts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Queries which machines the receiver confirms.
    Query {
        /// Identifies the query.
        nonce: u32,
        /// The version of the querying front's list.
        version: u64,
    },
    /// Answers a query.
    Answer {
        /// The nonce of the query.
        nonce: u32,
        /// What the sender knows of discovery's availability.
        standing: Standing,
        /// The sender's own subscription; without one, its confirmations come from another front.
        subscription: Subscription,
        /// The discovery that the sender uses.
        discovery_id: DiscoveryId,
        /// The version of the newest list that the sender knows of.
        version: u64,
        /// Machines that the querying front sends to, taken from the sender's list.
        confirmations: Vec<Confirmation>,
    },
}

/// Why bytes could not be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// There are too few or too many bytes, or the last confirmation is incomplete.
    Length,
    /// The format byte is unknown.
    Format,
    /// The kind or the standing is unknown to this version.
    Kind,
}

impl Message {
    /// Encodes this message in at most 256 bytes.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Self::Query { nonce, version } => {
                let mut bytes = header(QUERY, *nonce);
                bytes.extend_from_slice(&version.to_le_bytes());
                bytes
            }
            Self::Answer { nonce, standing, subscription, discovery_id, version, confirmations } => {
                let mut bytes = header(ANSWER, *nonce);
                bytes.extend_from_slice(&standing_bytes(*standing));
                bytes.push(subscription.to_byte());
                bytes.extend_from_slice(&discovery_id.to_le_bytes());
                bytes.extend_from_slice(&version.to_le_bytes());
                let confirmations = confirmations
                    .iter()
                    .filter_map(|confirmation| Some((confirmation.fingerprint, age_byte(confirmation.age)?)));
                for (fingerprint, age) in confirmations.take(MAX_CONFIRMATIONS) {
                    bytes.extend_from_slice(&fingerprint.to_le_bytes());
                    bytes.push(age);
                }
                bytes
            }
        }
    }

    fn decode_answer(nonce: u32, bytes: &[u8]) -> Result<Self, MessageError> {
        let ([standing, age, subscription], rest) = read_array(bytes)?;
        let (discovery_id, rest) = read_array(rest)?;
        let (version, encoded) = read_array(rest)?;
        if !encoded.len().is_multiple_of(CONFIRMATION_BYTES) {
            return Err(MessageError::Length);
        }
        Ok(Self::Answer {
            nonce,
            standing: read_standing(standing, age)?,
            subscription: Subscription::from_byte(subscription),
            discovery_id: DiscoveryId::from_le_bytes(discovery_id),
            version: u64::from_le_bytes(version),
            confirmations: encoded.chunks_exact(CONFIRMATION_BYTES).map(read_confirmation).collect(),
        })
    }

    /// Decodes a message from an untrusted sender.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let (header, rest) = bytes.split_at_checked(HEADER_BYTES).ok_or(MessageError::Length)?;
        if bytes.len() > MAX_BYTES {
            return Err(MessageError::Length);
        }
        if header[0] != FORMAT {
            return Err(MessageError::Format);
        }
        let nonce = u32::from_le_bytes([header[2], header[3], header[4], header[5]]);
        match (header[1], rest) {
            (QUERY, _) => {
                let version = rest.try_into().map_err(|_| MessageError::Length)?;
                Ok(Self::Query { nonce, version: u64::from_le_bytes(version) })
            }
            (ANSWER, _) => Self::decode_answer(nonce, rest),
            _ => Err(MessageError::Kind),
        }
    }
}

/// Splits off the next `N` bytes.
fn read_array<const N: usize>(bytes: &[u8]) -> Result<([u8; N], &[u8]), MessageError> {
    let (first, rest) = bytes.split_first_chunk().ok_or(MessageError::Length)?;
    Ok((*first, rest))
}

fn header(kind: u8, nonce: u32) -> Vec<u8> {
    let mut bytes = vec![FORMAT, kind];
    bytes.extend_from_slice(&nonce.to_le_bytes());
    bytes
}

fn standing_bytes(standing: Standing) -> [u8; 2] {
    match standing {
        // An age too great for one byte is not sent, since it would read as a smaller one.
        Standing::Confirmed(age) => age_byte(age).map_or([UNKNOWN, 0], |age| [CONFIRMED, age]),
        // The greatest age that fits is too old to be of use.
        Standing::Unreachable(age) => [UNREACHABLE, age_byte(age).unwrap_or(u8::MAX)],
        Standing::Unreadable(age) => age_byte(age).map_or([UNKNOWN, 0], |age| [UNREADABLE, age]),
        Standing::Unknown => [UNKNOWN, 0],
    }
}

fn read_standing(standing: u8, age: u8) -> Result<Standing, MessageError> {
    let age = Micros::from(age) * AGE_UNIT;
    match standing {
        CONFIRMED => Ok(Standing::Confirmed(age)),
        UNREACHABLE => Ok(Standing::Unreachable(age)),
        UNREADABLE => Ok(Standing::Unreadable(age)),
        UNKNOWN => Ok(Standing::Unknown),
        _ => Err(MessageError::Kind),
    }
}

/// Returns an age in its unit, rounded up; `None` if it does not fit a byte.
fn age_byte(age: Micros) -> Option<u8> {
    u8::try_from(age.div_ceil(AGE_UNIT)).ok()
}

fn read_confirmation(bytes: &[u8]) -> Confirmation {
    let fingerprint = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    Confirmation { fingerprint, age: Micros::from(bytes[4]) * AGE_UNIT }
}

/// Distinguishes a machine's process and build from all others with the same id.
pub fn fingerprint(entry: &MachineEntry) -> u32 {
    let process = hash_to_unit(entry.started_at) * (1u64 << 52) as f64;
    let mixed = hash_to_unit(process as u64 ^ u64::from(entry.machine) << 16 ^ u64::from(entry.build));
    (mixed * (1u64 << 32) as f64) as u32
}
