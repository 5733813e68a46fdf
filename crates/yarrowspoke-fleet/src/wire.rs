//! What passes between fronts and planners: one schema, told at the head of every message.
//!
//! Bodies are postcard behind a magic word and the schema's number, so that an alien or a newer one is refused by its name
//! before anything of it is believed.

use crate::delta::{Base, Delta};
use crate::permits::{Permit, PermitMessage};
use crate::span::{Report, Stance};
use crate::version::{Ages, RolloutStatus, Version};
use crate::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What every body begins with.
const MAGIC: [u8; 4] = *b"yspF";
/// The schema spoken here.
pub const SCHEMA: u16 = 1;
/// The schema of heartbeats, and of their answers, that carry lists by snapshot and delta.
pub const SCHEMA_PACED: u16 = 2;
/// Most bytes of a body.
pub const BODY_LIMIT: usize = 256 * 1024;
/// Most reports of one heartbeat.
pub const REPORTS_AT_ONCE: usize = 64;

/// Why a message is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// Not of this schema's family.
    #[error("alien schema: the body does not begin as a fleet's message does")]
    UnknownFormat,
    /// Another version of it.
    #[error("schema {0}, expected {SCHEMA}")]
    UnsupportedSchema(u16),
    /// Its bytes can't be read.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// Its sender is no member, or one of another role.
    #[error("{0:?} is no front of this fleet")]
    UnknownSender(String),
    /// A report that can't be.
    #[error("report {0}: {1}")]
    InvalidReport(u64, &'static str),
    /// More than one heartbeat may bring.
    #[error("{0} reports at once, at most {REPORTS_AT_ONCE}")]
    TooManyReports(usize),
}

fn framed(schema: u16, message: &impl Serialize) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&schema.to_le_bytes());
    out.extend(postcard::to_stdvec(message).unwrap_or_default());
    out
}

fn unframed(bytes: &[u8]) -> Result<(u16, &[u8]), MessageError> {
    let (magic, rest) = bytes.split_first_chunk::<4>().ok_or(MessageError::UnknownFormat)?;
    let (schema, rest) = rest.split_first_chunk::<2>().ok_or(MessageError::UnknownFormat)?;
    if *magic != MAGIC {
        return Err(MessageError::UnknownFormat);
    }
    Ok((u16::from_le_bytes(*schema), rest))
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    postcard::from_bytes(bytes).map_err(|e| MessageError::Unreadable(e.to_string()))
}

/// The bytes of a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    framed(SCHEMA, message)
}

/// A message from its bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match unframed(bytes)? {
        (SCHEMA, rest) => read(rest),
        (other, _) => Err(MessageError::UnsupportedSchema(other)),
    }
}

/// A message that may carry a list by snapshot and delta; which schema it is spoken in follows from whether it does.
pub trait CarriesList: Serialize + DeserializeOwned {
    /// What it carries of lists, if it does.
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

/// The bytes of a heartbeat or its answer: as ever where it carries nothing of lists by delta.
pub fn encode_with_list<T: CarriesList>(message: &mut T) -> Vec<u8> {
    match message.list().take() {
        None => encode(message),
        Some(list) => {
            let bytes = framed(SCHEMA_PACED, &(&*message, &list));
            *message.list() = Some(list);
            bytes
        }
    }
}

/// A heartbeat or its answer from its bytes, in either schema.
pub fn decode_with_list<T: CarriesList>(bytes: &[u8]) -> Result<T, MessageError> {
    match unframed(bytes)? {
        (SCHEMA, rest) => read(rest),
        (SCHEMA_PACED, rest) => {
            let (mut message, list) = read::<(T, ListState)>(rest)?;
            *message.list() = Some(list);
            Ok(message)
        }
        (other, _) => Err(MessageError::UnsupportedSchema(other)),
    }
}

/// What a front or a planner says of lists where they pass by snapshot and delta.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListState {
    /// The list that it holds: a front's by its own discovery, a planner's the newest that it was told.
    pub holds: Base,
    /// The list that the other's changes are to be told against: a front's the newest that it has from a planner, if any.
    pub against: Base,
    /// The other's whole list is wanted: there is nothing here that a delta of it could be against.
    pub wants_whole: bool,
    /// What its own list changes against the one that the other named last.
    pub delta: Option<Delta>,
}

/// A slot among those that may be out at once: one number among all fronts, one within its zone. No two fronts are voted
/// into one slot by one planner, so no two have a majority for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot {
    /// Among all.
    pub all: u16,
    /// Within the zone.
    pub zone: u16,
}

/// Machines that are ready on a list, with their builds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyMachines {
    /// The list's index.
    pub index: u64,
    /// Its epoch.
    pub epoch: u32,
    /// Its digest.
    pub digest: u64,
    /// Fronts that hold it from their own source.
    #[serde(rename = "vouched")]
    pub confirmations: u32,
    /// The machines, in order.
    pub machines: Vec<(u32, u16)>,
}

/// What a front tells a planner at every renewal, and what it wants of it: a lease, and what it lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub front: String,
    /// Which incarnation of it.
    pub incarnation: u64,
    /// Number of this heartbeat at this planner in this incarnation: an answer to an older one is void.
    pub number: u64,
    /// Microseconds since the front's start.
    pub now: Micros,
    /// The planner's incarnation and clock as its last answer had them. Danger: what stood in a buffer while the planner,
    /// or the link, stood still looks as if it came just now; it was surely sent only after this.
    pub echo: (u64, Micros),
    /// What it acts on, by its own sources.
    pub version: Version,
    /// When it last heard them.
    pub ages: Ages,
    /// What it was reconciled to by planners: an index of the list, and news.
    pub reconciled: (u64, Option<RolloutStatus>),
    /// How it stands.
    pub stance: Stance,
    /// The slots that each planner has voted it into, as far as it knows.
    pub votes: Vec<Option<Slot>>,
    /// Number of its last closed span.
    pub head: u64,
    /// Spans that this planner may not have.
    pub reports: Vec<Report>,
    /// What it says of its permit to be out.
    pub permit: Option<(u64, PermitMessage)>,
    /// Its list, if this planner may not know it.
    pub ready: Option<ReadyMachines>,
    /// Lists by snapshot and delta; of the second schema only.
    #[serde(skip)]
    pub list: Option<ListState>,
}

/// What a planner answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Who answers.
    pub planner: String,
    /// Which incarnation of it.
    pub incarnation: u64,
    /// The heartbeat that is answered.
    pub number: u64,
    /// Its clock, to be echoed by the next heartbeat.
    pub now: Micros,
    /// It has all reports up to this one, but for those that the front itself keeps no longer.
    pub acked: u64,
    /// The lease granted, from when the heartbeat was sent; 0 = none.
    pub lease: Micros,
    /// The slot that it is voted into: it is to be out.
    pub vote: Option<Slot>,
    /// It is behind the others and is to ask its own sources again.
    #[serde(rename = "again")]
    pub refetch: bool,
    /// A list newer than its own, for what that takes away.
    pub ready: Option<ReadyMachines>,
    /// News newer than its own, for what that takes away.
    #[serde(rename = "news")]
    pub rollout: Option<RolloutStatus>,
    /// The list that the planner knows for newest, index and digest: a front sends its own only if that differs.
    #[serde(rename = "knows")]
    pub known_list: (u64, u64),
    /// Another process was heard under this name.
    #[serde(rename = "twin")]
    pub duplicate_name: bool,
    /// Its permit to be out, as agreed, as far as this planner knows...
    pub permit: Option<Permit>,
    /// ...and the highest number of any permit that it knows of.
    pub granted: u64,
    /// Lists by snapshot and delta, where the heartbeat had them so.
    #[serde(skip)]
    pub list: Option<ListState>,
}

/// What is held of one incarnation: the front, its incarnation, and closed ranges of numbers.
pub type HeldRanges = (String, u64, Vec<(u64, u64)>);

/// What a planner asks another: what it has, by front and incarnation, as closed ranges of numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// Who asks.
    pub planner: String,
    /// What it has.
    #[serde(rename = "have")]
    pub held: Vec<HeldRanges>,
    /// The newest list that it knows.
    #[serde(rename = "knows")]
    pub known_list: (u64, u64),
}

/// What the other gives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Who answers.
    pub planner: String,
    /// Reports that the asker lacks, as many as fit.
    pub reports: Vec<(String, u64, Report)>,
    /// When it last heard each front itself, in microseconds ago.
    pub heard: Vec<FrontSighting>,
    /// Its newest list, if the asker knows an older one.
    pub ready: Option<ReadyMachines>,
}

/// What one planner heard of a front by itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrontSighting {
    /// The front.
    pub front: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// How long ago.
    #[serde(rename = "ago")]
    pub age: Micros,
    /// What it acted on.
    pub version: Version,
    /// How it stood.
    pub stance: Stance,
    /// The lease granted to it last has surely lapsed, and it gets none.
    #[serde(rename = "lapsed")]
    pub lease_lapsed: bool,
}
