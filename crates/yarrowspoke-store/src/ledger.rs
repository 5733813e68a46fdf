//! What a record means for a request that comes again, how long it is kept, and what happens at the bound. This module
//! alone decides that; it does no I/O and reads no clock.
//!
//! A request that may not run again passes through these states, each durable before anybody may go by it:
//!
//! - *intended*, before its first byte goes to a machine;
//! - *done*, before its client has the final answer: served, or failed without a promise;
//! - *not run*, before its client is told that trying again is harmless.
//!
//! Danger: between *intended* and its end a front may die. Whether the request ran is then unknown for ever: it is **in
//! doubt**, is failed at once when it comes again, and is never sent.

use serde::{Deserialize, Serialize};

/// Microseconds of the store's clock.
pub type Micros = u64;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Served, with the answer's body where it is kept.
    Served(Option<Vec<u8>>),
    /// Failed; it may have run.
    Failed,
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// It may be on its way to a machine.
    Intended,
    /// It has its final answer.
    Done(Outcome),
    /// It is known not to have run.
    NotRun,
}

/// A record of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Where the request stands.
    pub state: State,
    /// The life of the store in which it was written.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Kept until then.
    #[serde(rename = "until")]
    pub expires_at: Micros,
}

/// What becomes of a request that comes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It may go, once its intent is durable.
    Admit,
    /// It is answered as it was before.
    Replay(Vec<u8>),
    /// It ran and its answer is not kept: it is turned away as done, which is no leave to try again.
    AlreadyDone,
    /// It failed before, and may have run: it fails again.
    FailedBefore,
    /// Its end is not known: it fails, and is never sent.
    InDoubt,
    /// It is open in this very life: two answers to one request would be taken for each other.
    InProgress,
    /// There is no room to remember it: refused, to come back after so long.
    NoSpace(Micros),
}

/// What the ledger holds, as far as it decides about the next request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpaceUsage {
    /// Bytes of all records.
    pub bytes: u64,
    /// Most bytes.
    pub max_bytes: u64,
    /// When the record that is due first may be forgotten; `None` if there is none.
    pub first_expiry: Option<Micros>,
}

/// Rules on a request that comes at `now`, by its record if there is one.
pub fn decide(
    record: Option<&Record>,
    incarnation: u64,
    now: Micros,
    room: &SpaceUsage,
    required: u64,
) -> Decision {
    let fresh = || {
        // Danger: room made by forgetting a record too soon lets its request run twice. So the new one waits.
        if room.bytes + required > room.max_bytes {
            let wait = room.first_expiry.map_or(MIN_RETRY_AFTER, |due| due.saturating_sub(now));
            Decision::NoSpace(wait.max(MIN_RETRY_AFTER))
        } else {
            Decision::Admit
        }
    };
    match record {
        None => fresh(),
        Some(r) if r.expires_at <= now && r.state != State::Intended => fresh(),
        Some(Record { state: State::NotRun, .. }) => fresh(),
        Some(Record { state: State::Done(Outcome::Served(Some(body))), .. }) => {
            Decision::Replay(body.clone())
        }
        Some(Record { state: State::Done(Outcome::Served(None)), .. }) => Decision::AlreadyDone,
        Some(Record { state: State::Done(Outcome::Failed), .. }) => Decision::FailedBefore,
        Some(Record { state: State::Intended, incarnation: of, expires_at }) if *of < incarnation => {
            // An intent of an earlier life is kept like an end.
            if *expires_at <= now {
                fresh()
            } else {
                Decision::InDoubt
            }
        }
        Some(Record { state: State::Intended, .. }) => Decision::InProgress,
    }
}

/// Least time to come back when there is no room.
pub const MIN_RETRY_AFTER: Micros = 100_000;

/// Whether a record may be forgotten at `now`: never an open one of this life.
pub fn may_expire(record: &Record, incarnation: u64, now: Micros) -> bool {
    record.expires_at <= now && !(record.state == State::Intended && record.incarnation == incarnation)
}

/// The store's clock: it never goes back, also over restarts.
///
/// Danger: with the system's clock set back, records written before would be kept for an hour too long, which is
/// harmless; were it followed back, new ones would be forgotten too soon.
pub fn advance_clock(kept: Micros, system: Micros) -> Micros {
    kept.max(system)
}

/// The end that is recorded over `record`; `None` if there is nothing to end, as the intent was never admitted.
pub fn record_end(
    record: Option<&Record>,
    incarnation: u64,
    state: State,
    expires_at: Micros,
) -> Option<Record> {
    match record {
        Some(Record { state: State::Intended, incarnation: of, .. }) if *of == incarnation => {
            Some(Record { state, incarnation, expires_at })
        }
        _ => None,
    }
}
