//! Client of the platform: casts votes and receives rollout status, in a line-based text protocol.

use super::turn::Turn;
use super::{micros_to_duration, read_some, with_timeout};
use crate::input::Input;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use serde::Deserialize;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;
use yarrowspoke::interface::{Build, CallOutcome, Micros, Phase, RolloutStatus, Vote};

/// Largest line, in bytes.
const LINE_LIMIT: usize = 8 * 1024;
/// Longest time without a heartbeat, which comes every second, before the connection is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest time for connecting, so that a platform that was down without a reset is reached soon after it returns.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before reconnecting after a failure.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// The same if an update had been received on the failed connection, for example before an unreadable line.
const SHORT_RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Rollout state of the newest build, as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutState {
    /// The newest build.
    pub build: Build,
    /// Stage of the build.
    pub stage: u8,
    /// Phase of the rollout.
    pub phase: Phase,
    /// Exposure cap of the build.
    pub cap: f64,
    /// How long the state has been unchanged.
    pub age: Micros,
}

impl RolloutState {
    /// Converts the state to the decision module's event.
    pub fn to_status(&self, is_vote_reply: bool) -> RolloutStatus {
        let Self { build, stage, phase, cap, age } = *self;
        RolloutStatus { build, stage, phase, is_vote_reply, outcome: CallOutcome::Ok, cap, age }
    }
}

/// Returns whether the reply to a vote describes a state that the platform had already left when it reported
/// `newest`. Replies and updates arrive on two connections in any order; if such a reply were taken for newer, it
/// would raise a lowered cap again.
pub fn is_outdated_reply(reply: &RolloutStatus, newest: &RolloutStatus) -> bool {
    let progress = |status: &RolloutStatus| match status.phase {
        Phase::Trial => (status.build, 0, status.stage),
        Phase::Released => (status.build, 1, 0),
        Phase::RollingBack => (status.build, 2, 0),
        Phase::Withdrawn => (status.build, 3, 0),
    };
    let (replied, known) = (progress(reply), progress(newest));
    reply.outcome == CallOutcome::Ok && (replied < known || replied == known && reply.cap > newest.cap)
}

/// Rollout state as the configuration states it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RolloutStateConfig {
    revision: Build,
    wave: u8,
    state: String,
    max_share: f64,
    age_ms: f64,
}

impl TryFrom<RolloutStateConfig> for RolloutState {
    type Error = LineError;

    fn try_from(config: RolloutStateConfig) -> Result<Self, LineError> {
        let phase = parse_phase(&config.state).ok_or(LineError::Value("State"))?;
        if !(0.0..=1.0).contains(&config.max_share) {
            return Err(LineError::Value("MaxShare"));
        }
        Ok(Self {
            build: config.revision,
            stage: config.wave,
            phase,
            cap: config.max_share,
            age: ms_to_micros(config.age_ms),
        })
    }
}

/// Why a line cannot be decoded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LineError {
    /// A value is missing or invalid.
    #[error("{0} is missing or invalid")]
    Value(&'static str),
    /// The line has an unknown form.
    #[error("unknown line")]
    UnknownLine,
    /// The line exceeds its limit.
    #[error("line too long")]
    TooLong,
}

/// Why the platform refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Too many calls.
    Limit,
    /// The build or stage is not the present one.
    Moot,
    /// The call failed.
    Error,
    /// The call is unknown, or a field is invalid.
    Malformed,
}

/// A line received from the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlatformLine {
    /// A heartbeat.
    Heartbeat,
    /// An update with the newest build's state.
    Progress(RolloutState),
    /// An update of a kind that this version does not use.
    Other,
    /// A call succeeded; the reply to a vote contains the state.
    Accepted(Option<RolloutState>),
    /// A call was refused.
    Refused(Refusal),
}

fn ms_to_micros(ms: f64) -> Micros {
    (ms * 1_000.0) as Micros
}

fn parse_phase(word: &str) -> Option<Phase> {
    Some(match word {
        "canary" => Phase::Trial,
        "reverting" => Phase::RollingBack,
        "stable" => Phase::Released,
        "reverted" => Phase::Withdrawn,
        _ => return None,
    })
}

/// Decodes one line, without its line ending.
pub fn decode(line: &[u8]) -> Result<PlatformLine, LineError> {
    let text = std::str::from_utf8(line).map_err(|_| LineError::UnknownLine)?;
    let mut words = text.split(' ').filter(|w| !w.is_empty());
    match (words.next(), words.next()) {
        (Some("*"), None) => Ok(PlatformLine::Heartbeat),
        (Some("*"), Some("progress")) => parse_state(words).map(PlatformLine::Progress),
        (Some("*"), Some("metrics" | "complaint")) => Ok(PlatformLine::Other),
        (Some("OK"), None) => Ok(PlatformLine::Accepted(None)),
        (Some("OK"), Some(first)) => {
            parse_state(std::iter::once(first).chain(words)).map(|s| PlatformLine::Accepted(Some(s)))
        }
        (Some("ERR"), Some(why)) => Ok(PlatformLine::Refused(match why {
            "limit" => Refusal::Limit,
            "moot" => Refusal::Moot,
            "malformed" => Refusal::Malformed,
            "error" => Refusal::Error,
            _ => return Err(LineError::Value("ERR")),
        })),
        _ => Err(LineError::UnknownLine),
    }
}

fn parse_state<'a>(mut words: impl Iterator<Item = &'a str>) -> Result<RolloutState, LineError> {
    let build = words.next().and_then(|w| w.parse().ok()).ok_or(LineError::Value("Revision"))?;
    let stage = words.next().and_then(|w| w.parse().ok()).ok_or(LineError::Value("Wave"))?;
    let phase = words.next().and_then(parse_phase).ok_or(LineError::Value("State"))?;
    let share = words.next().and_then(|w| w.parse().ok()).filter(|s| (0.0..=1.0).contains(s));
    let cap = share.ok_or(LineError::Value("MaxShare"))?;
    let age = words.next().and_then(|w| w.parse::<f64>().ok()).filter(|a| a.is_finite() && *a >= 0.0);
    let age = ms_to_micros(age.ok_or(LineError::Value("AgeMs"))?);
    match words.next() {
        None => Ok(RolloutState { build, stage, phase, cap, age }),
        Some(_) => Err(LineError::UnknownLine),
    }
}

/// Splits received bytes into lines.
#[derive(Default)]
pub struct LineDecoder {
    /// Received bytes; those before `consumed_len` are lines that were returned.
    buffer: Vec<u8>,
    consumed_len: usize,
}

impl LineDecoder {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed_len);
        self.consumed_len = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete line without its ending; a line over the limit is an error.
    pub fn line(&mut self) -> Result<Option<&[u8]>, LineError> {
        let unread = &self.buffer[self.consumed_len..];
        let Some(end) = unread.iter().position(|b| *b == b'\n') else {
            let too_long = unread.len() > LINE_LIMIT;
            return if too_long { Err(LineError::TooLong) } else { Ok(None) };
        };
        if end > LINE_LIMIT {
            return Err(LineError::TooLong);
        }
        self.consumed_len += end + 1;
        let line = &unread[..end];
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }
}

/// A vote to be cast.
#[derive(Clone, Copy, Debug)]
pub struct Ballot {
    /// The build that the vote is about.
    pub build: Build,
    /// The stage that the vote is about.
    pub stage: u8,
    /// The vote.
    pub vote: Vote,
}

impl Ballot {
    /// Encodes the line that casts the vote.
    pub fn encode(&self) -> String {
        let word = match self.vote {
            Vote::Withdraw => "abstain",
            Vote::Advance => "promote",
            Vote::Hold => "pause",
            Vote::RollBack => "abort",
        };
        format!("BALLOT {} {} {word}\r\n", self.build, self.stage)
    }
}

/// Casts a vote on its own connection and reports the result; `timeout` comes from the settings.
pub async fn vote(address: SocketAddr, ballot: Ballot, timeout: Micros, to: Sender<Input>) {
    let written = std::cell::Cell::new(false);
    let reply = with_timeout(micros_to_duration(timeout), send_ballot(address, ballot, &written)).await;
    let outcome = match reply {
        Some(Ok(PlatformLine::Accepted(Some(state)))) => {
            let _ = to.send(Input::RolloutStatus(state.to_status(true))).await;
            return;
        }
        Some(Ok(PlatformLine::Refused(why))) => match why {
            Refusal::Limit => CallOutcome::Rejected,
            Refusal::Moot => CallOutcome::NotSent,
            Refusal::Error | Refusal::Malformed => CallOutcome::Error,
        },
        // A call is not executed before its last byte is written; afterwards it is unknown whether it was.
        _ if written.get() => CallOutcome::Timeout,
        _ => CallOutcome::ConnectFailed,
    };
    log::info!("vote {ballot:?}: {outcome:?}");
    let phase = Phase::Trial;
    let Ballot { build, stage, .. } = ballot;
    let status = RolloutStatus { build, stage, phase, is_vote_reply: true, outcome, cap: 0.0, age: 0 };
    let _ = to.send(Input::RolloutStatus(status)).await;
}

async fn send_ballot(
    address: SocketAddr,
    ballot: Ballot,
    written: &std::cell::Cell<bool>,
) -> std::io::Result<PlatformLine> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    stream.write_all(ballot.encode().as_bytes()).await?;
    written.set(true);
    let mut lines = LineDecoder::default();
    loop {
        if read_some(&mut stream, |bytes| lines.feed(bytes)).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(line) = lines.line().map_err(std::io::Error::other)? {
            return decode(line).map_err(std::io::Error::other);
        }
    }
}

/// Receives updates from the platform; never returns. A connection that ends or falls silent is replaced.
pub async fn listen(address: SocketAddr, to: Sender<Input>) {
    loop {
        let mut has_update = false;
        let Err(e) = receive_updates(address, &to, &mut has_update).await;
        log::warn!("platform: {e}");
        // Updates that are sent while nobody listens are not repeated, so a connection that worked is replaced soon;
        // after one that gave no update there is a longer pause.
        Timer::after(if has_update { SHORT_RECONNECT_DELAY } else { RECONNECT_DELAY }).await;
    }
}

/// Receives updates on one connection until it fails; sets `has_update` once an update was received.
async fn receive_updates(
    address: SocketAddr,
    to: &Sender<Input>,
    has_update: &mut bool,
) -> std::io::Result<std::convert::Infallible> {
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let connected = with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await;
    let mut stream = connected.ok_or_else(timed_out)??;
    stream.get_ref().set_nodelay(true)?;
    stream.write_all(b"NOTIFY\r\n").await?;
    let mut lines = LineDecoder::default();
    let mut turn = Turn::default();
    loop {
        let read = with_timeout(SILENCE_TIMEOUT, read_some(&mut stream, |bytes| lines.feed(bytes))).await;
        if read.ok_or_else(timed_out)?? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        while let Some(line) = lines.line().map_err(std::io::Error::other)? {
            // After an unreadable line nothing more arrives, or nothing reliable: the connection is closed, and the
            // next one reports the state again.
            turn.record_message(line.len());
            match decode(line).map_err(std::io::Error::other)? {
                PlatformLine::Progress(state) => {
                    *has_update = true;
                    let _ = to.send(Input::RolloutStatus(state.to_status(false))).await;
                }
                PlatformLine::Refused(why) => log::warn!("platform: refused: {why:?}"),
                PlatformLine::Heartbeat | PlatformLine::Other | PlatformLine::Accepted(_) => {}
            }
            turn.pause_if_used().await;
        }
    }
}
