//! The messages between fronts and planners, with the schema number at the head of each.
//!
//! A body is postcard after a magic number and the schema number, so that a foreign or newer schema is rejected by
//! name before any of the body is used.

use crate::delta::{Base, Delta};
use crate::permits::{Permit, PermitMessage};
use crate::span::{Report, Stance};
use crate::version::{Ages, RolloutStatus, Version};
use crate::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The magic number at the beginning of each body.
const MAGIC: [u8; 4] = *b"yspF";
/// The schema of messages without lists by snapshot and delta.
pub const SCHEMA: u16 = 1;
/// The schema of heartbeats and heartbeat responses that carry lists by snapshot and delta.
pub const SCHEMA_PACED: u16 = 2;
/// Largest body in bytes.
pub const BODY_LIMIT: usize = 256 * 1024;
/// Most reports in one heartbeat.
pub const REPORTS_PER_HEARTBEAT: usize = 64;

/// Why a message was rejected. The texts are also the reasons under which a planner counts rejections in its status.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// The body does not begin with the magic number.
    #[error("alien schema: the body does not begin as a fleet's message does")]
    UnknownFormat,
    /// The schema number is not supported.
    #[error("schema {0}, expected {SCHEMA}")]
    UnsupportedSchema(u16),
    /// The body cannot be decoded.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The sender is not a member of the fleet, or has another role.
    #[error("{0:?} is not a front of this fleet")]
    UnknownSender(String),
    /// A report is invalid: the number of its first span, and why.
    #[error("report {0}: {1}")]
    InvalidReport(u64, &'static str),
    /// The heartbeat carries more reports than allowed.
    #[error("{0} reports in one heartbeat, expected at most {REPORTS_PER_HEARTBEAT}")]
    TooManyReports(usize),
}

fn frame(schema: u16, message: &impl Serialize) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&schema.to_le_bytes());
    out.extend(postcard::to_stdvec(message).unwrap_or_default());
    out
}

fn unframe(bytes: &[u8]) -> Result<(u16, &[u8]), MessageError> {
    let (magic, rest) = bytes.split_first_chunk::<4>().ok_or(MessageError::UnknownFormat)?;
    let (schema, rest) = rest.split_first_chunk::<2>().ok_or(MessageError::UnknownFormat)?;
    if *magic != MAGIC {
        return Err(MessageError::UnknownFormat);
    }
    Ok((u16::from_le_bytes(*schema), rest))
}

fn decode_body<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    postcard::from_bytes(bytes).map_err(|e| MessageError::Unreadable(e.to_string()))
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    frame(SCHEMA, message)
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match unframe(bytes)? {
        (SCHEMA, rest) => decode_body(rest),
        (schema, _) => Err(MessageError::UnsupportedSchema(schema)),
    }
}

/// A message that may carry a list by snapshot and delta. Whether it does determines its schema.
pub trait CarriesList: Serialize + DeserializeOwned {
    /// The list state that the message carries, if any.
    fn list(&mut self) -> &mut Option<ListState>;
}

impl CarriesList for Heartbeat {
    fn list(&mut self) -> &mut Option<ListState> {
        &mut self.list
    }
}

impl CarriesList for HeartbeatResponse {
    fn list(&mut self) -> &mut Option<ListState> {
        &mut self.list
    }
}

/// Encodes a heartbeat or heartbeat response; without a list state the bytes are those of the first schema.
pub fn encode_with_list<T: CarriesList>(message: &mut T) -> Vec<u8> {
    match message.list().take() {
        None => encode(message),
        Some(list) => {
            let bytes = frame(SCHEMA_PACED, &(&*message, &list));
            *message.list() = Some(list);
            bytes
        }
    }
}

/// Decodes a heartbeat or heartbeat response of either schema.
pub fn decode_with_list<T: CarriesList>(bytes: &[u8]) -> Result<T, MessageError> {
    match unframe(bytes)? {
        (SCHEMA, rest) => decode_body(rest),
        (SCHEMA_PACED, rest) => {
            let (mut message, list) = decode_body::<(T, ListState)>(rest)?;
            *message.list() = Some(list);
            Ok(message)
        }
        (schema, _) => Err(MessageError::UnsupportedSchema(schema)),
    }
}

/// The list state of a front or a planner, where lists pass by snapshot and delta.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListState {
    /// The list that the sender has: a front's from its own discovery, a planner's the newest that it received.
    pub holds: Base,
    /// The list on which the receiver's deltas must be based: a front's is the newest that it got from a planner, if
    /// any.
    pub against: Base,
    /// The receiver's whole list is wanted, since the sender has nothing that a delta of it could be based on.
    pub wants_whole: bool,
    /// The changes of the sender's list against the list that the receiver named last.
    pub delta: Option<Delta>,
}

/// A slot among those that may be out at once: one number among all fronts, and one within the zone. A planner never
/// votes two fronts into the same slot, so no two fronts have a majority for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot {
    /// Slot number among all fronts.
    pub all: u16,
    /// Slot number within the zone.
    pub zone: u16,
}

/// The ready machines of a list, with their builds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyMachines {
    /// Index of the list.
    pub index: u64,
    /// Epoch of the list.
    pub epoch: u32,
    /// Digest of the list.
    pub digest: u64,
    /// How many fronts have this list from their own source.
    #[serde(rename = "vouched")]
    pub confirmations: u32,
    /// The machines, sorted.
    pub machines: Vec<(u32, u16)>,
}

/// What a front sends to a planner at every renewal, or at the pace: its state, and a request for a lease and for
/// whatever it lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the front.
    pub front: String,
    /// Incarnation of the front.
    pub incarnation: u64,
    /// Number of this heartbeat at this planner in this incarnation. An answer to an older heartbeat is void.
    pub number: u64,
    /// Microseconds since the front's start.
    pub now: Micros,
    /// The planner's incarnation and clock from its last answer. A heartbeat that waited in a buffer while the
    /// planner or the link was suspended looks as if it had been sent just now; the echo proves only that it was sent
    /// after that answer.
    pub echo: (u64, Micros),
    /// The version that the front acts on, by its own sources.
    pub version: Version,
    /// How long ago the front last heard those sources.
    pub ages: Ages,
    /// What planners reconciled the front to: an index of the list, and a rollout status.
    pub reconciled: (u64, Option<RolloutStatus>),
    /// Service state of the front.
    pub stance: Stance,
    /// The slot that each planner has voted the front into, as far as the front knows.
    pub votes: Vec<Option<Slot>>,
    /// Number of the last closed span.
    pub head: u64,
    /// Spans that this planner may not have.
    pub reports: Vec<Report>,
    /// Number of the front's permit to be out, and what the front says of it.
    pub permit: Option<(u64, PermitMessage)>,
    /// The front's list, if this planner may not have it.
    pub ready: Option<ReadyMachines>,
    /// The list state, in the second schema only.
    #[serde(skip)]
    pub list: Option<ListState>,
}

/// A planner's response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Name of the planner.
    pub planner: String,
    /// Incarnation of the planner.
    pub incarnation: u64,
    /// Number of the heartbeat that is answered.
    pub number: u64,
    /// The planner's clock, which the next heartbeat echoes.
    pub now: Micros,
    /// The planner has all reports up to this number, except those that the front itself no longer retains.
    pub acked: u64,
    /// Duration of the lease granted, from when the heartbeat was sent; 0 = none.
    pub lease: Micros,
    /// The slot that this planner votes the front into, which tells it to go out of service.
    pub vote: Option<Slot>,
    /// The front is behind the others and must query its own sources again.
    #[serde(rename = "again")]
    pub refetch: bool,
    /// A list newer than the front's own, for the restrictions that it implies.
    pub ready: Option<ReadyMachines>,
    /// A rollout status narrower than the front's own, for the restrictions that it implies.
    #[serde(rename = "news")]
    pub rollout: Option<RolloutStatus>,
    /// Index and digest of the newest list that the planner has. A front sends its own list only if that differs.
    #[serde(rename = "knows")]
    pub known_list: (u64, u64),
    /// Another process uses this front's name.
    #[serde(rename = "twin")]
    pub duplicate_name: bool,
    /// The front's permit to be out, as agreed, as far as this planner knows.
    pub permit: Option<Permit>,
    /// The highest number of any permit that this planner knows of.
    pub granted: u64,
    /// The list state, if the heartbeat carried one.
    #[serde(skip)]
    pub list: Option<ListState>,
}

/// The reports held of one incarnation: the front, its incarnation, and closed ranges of span numbers.
pub type HeldRanges = (String, u64, Vec<(u64, u64)>);

/// A planner's anti-entropy request to another planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// Name of the requesting planner.
    pub planner: String,
    /// The reports that it has.
    #[serde(rename = "have")]
    pub held: Vec<HeldRanges>,
    /// Index and digest of the newest list that it has.
    #[serde(rename = "knows")]
    pub known_list: (u64, u64),
}

/// The response to a [`Pull`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Name of the responding planner.
    pub planner: String,
    /// Reports that the requesting planner lacks, as many as fit: front, incarnation, report.
    pub reports: Vec<(String, u64, Report)>,
    /// What the responding planner last received from each front directly.
    pub heard: Vec<FrontSighting>,
    /// Its newest list, if the requesting planner has an older one.
    pub ready: Option<ReadyMachines>,
}

/// What one planner last received from a front directly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrontSighting {
    /// Name of the front.
    pub front: String,
    /// Incarnation of the front.
    pub incarnation: u64,
    /// How long ago the front was surely alive.
    #[serde(rename = "ago")]
    pub age: Micros,
    /// The version that it acted on.
    pub version: Version,
    /// Its service state.
    pub stance: Stance,
    /// The lease that this planner granted last has surely lapsed, and it grants no other.
    #[serde(rename = "lapsed")]
    pub lease_lapsed: bool,
}
