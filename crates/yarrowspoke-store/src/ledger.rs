//! Decides what a record means for a repeated request, how long a record is kept, and what happens when the ledger is full.
//! No other module decides this. It performs no I/O and reads no clock.
//!
//! A request that must not run twice passes through these states. Each is durable before anything depends on it:
//!
//! - *intended*, before its first byte is sent to a machine;
//! - *done*, before its client receives the final answer: served, or failed without a statement on whether it ran;
//! - *not run*, before its client is informed that a retry is safe.
//!
//! A front may crash between *intended* and the end of the request. Whether the request ran then stays unknown for good: it
//! is **in doubt**. It fails at once when it is repeated and is never sent.

use serde::{Deserialize, Serialize};

/// Microseconds of the store's clock.
pub type Micros = u64;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Served, with the body of the answer if it is stored.
    Served(Option<Vec<u8>>),
    /// Failed; the request may have run.
    Failed,
}

/// State of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// It may have been sent to a machine.
    Intended,
    /// It has its final answer.
    Done(Outcome),
    /// It is known not to have run.
    NotRun,
}

/// A record of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// State of the request.
    pub state: State,
    /// Incarnation of the store that wrote the record.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time until which the record is kept.
    #[serde(rename = "until")]
    pub expires_at: Micros,
}

/// What happens to a request that arrives.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It may be sent once its intent is durable.
    Admit,
    /// It gets the same answer as before.
    Replay(Vec<u8>),
    /// It ran and its answer is not stored. It is rejected as done, which is not a permission to retry.
    AlreadyDone,
    /// It failed before and may have run, so it fails again.
    FailedBefore,
    /// Its outcome is unknown, so it fails and is never sent.
    InDoubt,
    /// A request with another content has this identity. It is an error of its client: it is neither sent nor given the
    /// answer to the other one.
    OtherContent,
    /// It is in progress in this incarnation. Two answers to one request could be mistaken for each other.
    InProgress,
    /// The ledger has no space for it. It is refused and may be retried after this time.
    NoSpace(Micros),
}

/// The ledger's use of space, as far as it matters for the next request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpaceUsage {
    /// Bytes of all records.
    pub bytes: u64,
    /// Maximum bytes of all records.
    pub max_bytes: u64,
    /// Time at which the first record expires; `None` if there is no record.
    pub first_expiry: Option<Micros>,
}

/// Decides on a request that arrives at `now`, from its record if there is one.
pub fn decide(
    record: Option<&Record>,
    incarnation: u64,
    now: Micros,
    space: &SpaceUsage,
    required: u64,
) -> Decision {
    let decide_new = || {
        // If space were made by deleting a record early, the request of that record could run twice. The new request has to
        // wait instead.
        if space.bytes + required > space.max_bytes {
            let wait = space.first_expiry.map_or(MIN_RETRY_AFTER, |expiry| expiry.saturating_sub(now));
            Decision::NoSpace(wait.max(MIN_RETRY_AFTER))
        } else {
            Decision::Admit
        }
    };
    match record {
        None => decide_new(),
        Some(r) if r.expires_at <= now && r.state != State::Intended => decide_new(),
        Some(Record { state: State::NotRun, .. }) => decide_new(),
        Some(Record { state: State::Done(Outcome::Served(Some(body))), .. }) => {
            Decision::Replay(body.clone())
        }
        Some(Record { state: State::Done(Outcome::Served(None)), .. }) => Decision::AlreadyDone,
        Some(Record { state: State::Done(Outcome::Failed), .. }) => Decision::FailedBefore,
        Some(Record { state: State::Intended, incarnation: recorded_in, expires_at })
            if *recorded_in < incarnation =>
        {
            // The intent of an earlier incarnation is kept for as long as the record of a finished request.
            if *expires_at <= now {
                decide_new()
            } else {
                Decision::InDoubt
            }
        }
        Some(Record { state: State::Intended, .. }) => Decision::InProgress,
    }
}

/// Returns the decision on a request whose content has the digest `content`, where `decision` holds if its record is of the
/// same content. `recorded` is the digest in the record; `None` if an earlier build wrote it.
pub fn check_content(decision: Decision, recorded: Option<u64>, content: u64) -> Decision {
    let is_repeat = !matches!(decision, Decision::Admit | Decision::NoSpace(_));
    match recorded {
        Some(recorded) if is_repeat && recorded != content => Decision::OtherContent,
        _ => decision,
    }
}

/// Minimum time after which a request may be retried when there is no space.
pub const MIN_RETRY_AFTER: Micros = 100_000;

/// Returns whether a record may be deleted at `now`. The record of a request in progress in this incarnation never is.
pub fn may_expire(record: &Record, incarnation: u64, now: Micros) -> bool {
    record.expires_at <= now && !(record.state == State::Intended && record.incarnation == incarnation)
}

/// Returns the time of the store's clock, which never goes back, not even across restarts.
///
/// If the system clock is set back, records written before are kept too long, by an hour for instance, which is harmless.
/// If the store followed the system clock back, new records would be deleted too early.
pub fn advance_clock(stored: Micros, system: Micros) -> Micros {
    stored.max(system)
}

/// Returns the record that replaces `record` when the request ends; `None` if the intent was never admitted and so nothing
/// can end.
pub fn record_end(
    record: Option<&Record>,
    incarnation: u64,
    state: State,
    expires_at: Micros,
) -> Option<Record> {
    match record {
        Some(Record { state: State::Intended, incarnation: recorded_in, .. })
            if *recorded_in == incarnation =>
        {
            Some(Record { state, incarnation, expires_at })
        }
        _ => None,
    }
}
