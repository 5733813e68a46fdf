//! The platform: votes and what it tells, in lines of words.

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

/// Most bytes of a line.
const LINE_LIMIT: usize = 8 * 1024;
/// Signs of life come every second; a connection without any for this long is given up.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Longest time that connecting may take: whoever was down in silence is reached again soon after.
const CONNECT_WITHIN: Duration = Duration::from_millis(700);
/// Pause before the next connection after one has failed...
const AGAIN: Duration = Duration::from_millis(500);
/// ...and if something had been told on it, as after a line that was spoilt.
const AGAIN_SOON: Duration = Duration::from_millis(20);

/// State of the newest build, as the platform words it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutState {
    /// The newest build.
    pub build: Build,
    /// Its stage.
    pub stage: u8,
    /// Its phase.
    pub phase: Phase,
    /// The cap.
    pub cap: f64,
    /// How long it has stood so.
    pub age: Micros,
}

impl RolloutState {
    /// The module's event for it.
    pub fn to_status(&self, answer: bool) -> RolloutStatus {
        let Self { build, stage, phase, cap, age } = *self;
        RolloutStatus { build, stage, phase, is_vote_reply: answer, outcome: CallOutcome::Ok, cap, age }
    }
}

/// Whether the answer to a vote speaks of a state that the platform had left when it told `held`. Danger: answers
/// and news come on two connections, in any order; taken for newer, such an answer would lift a lowered cap again.
pub fn is_outdated_reply(answer: &RolloutStatus, held: &RolloutStatus) -> bool {
    let course = |n: &RolloutStatus| match n.phase {
        Phase::Trial => (n.build, 0, n.stage),
        Phase::Released => (n.build, 1, 0),
        Phase::RollingBack => (n.build, 2, 0),
        Phase::Withdrawn => (n.build, 3, 0),
    };
    let (answered, told) = (course(answer), course(held));
    answer.outcome == CallOutcome::Ok && (answered < told || answered == told && answer.cap > held.cap)
}

/// The same as the configuration holds it.
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

    fn try_from(f: RolloutStateConfig) -> Result<Self, LineError> {
        let phase = phase(&f.state).ok_or(LineError::Value("State"))?;
        if !(0.0..=1.0).contains(&f.max_share) {
            return Err(LineError::Value("MaxShare"));
        }
        Ok(Self { build: f.revision, stage: f.wave, phase, cap: f.max_share, age: micros(f.age_ms) })
    }
}

/// Why a line cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LineError {
    /// A value is missing or has no sense.
    #[error("{0} is missing or cannot be read")]
    Value(&'static str),
    /// The line has another shape.
    #[error("no such line")]
    Shape,
    /// The line is over its limit.
    #[error("line too long")]
    TooLong,
}

/// Why the platform did not carry a call out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Too many calls.
    Limit,
    /// Not the present build or stage.
    Moot,
    /// It failed.
    Error,
    /// No such call, or a field is wrong.
    Malformed,
}

/// A line that the platform wrote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlatformLine {
    /// A sign of life.
    Heartbeat,
    /// Told unasked: the newest build's state.
    Progress(RolloutState),
    /// Told unasked: something this version does not know.
    Other,
    /// A call was carried out; a vote's answer holds the state.
    Accepted(Option<RolloutState>),
    /// A call was not carried out.
    Refused(Refusal),
}

fn micros(ms: f64) -> Micros {
    (ms * 1_000.0) as Micros
}

fn phase(word: &str) -> Option<Phase> {
    Some(match word {
        "canary" => Phase::Trial,
        "reverting" => Phase::RollingBack,
        "stable" => Phase::Released,
        "reverted" => Phase::Withdrawn,
        _ => return None,
    })
}

/// Decodes one line, without its ending.
pub fn decode(line: &[u8]) -> Result<PlatformLine, LineError> {
    let text = std::str::from_utf8(line).map_err(|_| LineError::Shape)?;
    let mut words = text.split(' ').filter(|w| !w.is_empty());
    match (words.next(), words.next()) {
        (Some("*"), None) => Ok(PlatformLine::Heartbeat),
        (Some("*"), Some("progress")) => state(words).map(PlatformLine::Progress),
        (Some("*"), Some("metrics" | "complaint")) => Ok(PlatformLine::Other),
        (Some("OK"), None) => Ok(PlatformLine::Accepted(None)),
        (Some("OK"), Some(first)) => {
            state(std::iter::once(first).chain(words)).map(|s| PlatformLine::Accepted(Some(s)))
        }
        (Some("ERR"), Some(why)) => Ok(PlatformLine::Refused(match why {
            "limit" => Refusal::Limit,
            "moot" => Refusal::Moot,
            "malformed" => Refusal::Malformed,
            "error" => Refusal::Error,
            _ => return Err(LineError::Value("ERR")),
        })),
        _ => Err(LineError::Shape),
    }
}

fn state<'a>(mut words: impl Iterator<Item = &'a str>) -> Result<RolloutState, LineError> {
    let build = words.next().and_then(|w| w.parse().ok()).ok_or(LineError::Value("Revision"))?;
    let stage = words.next().and_then(|w| w.parse().ok()).ok_or(LineError::Value("Wave"))?;
    let phase = words.next().and_then(phase).ok_or(LineError::Value("State"))?;
    let share = words.next().and_then(|w| w.parse().ok()).filter(|s| (0.0..=1.0).contains(s));
    let cap = share.ok_or(LineError::Value("MaxShare"))?;
    let age = words.next().and_then(|w| w.parse::<f64>().ok()).filter(|a| a.is_finite() && *a >= 0.0);
    let age = micros(age.ok_or(LineError::Value("AgeMs"))?);
    match words.next() {
        None => Ok(RolloutState { build, stage, phase, cap, age }),
        Some(_) => Err(LineError::Shape),
    }
}

/// Turns bytes into lines.
#[derive(Default)]
pub struct LineDecoder {
    buffer: Vec<u8>,
}

impl LineDecoder {
    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole line without its ending; over-long ones are an error.
    pub fn line(&mut self) -> Result<Option<Vec<u8>>, LineError> {
        let Some(end) = self.buffer.iter().position(|b| *b == b'\n') else {
            let over = self.buffer.len() > LINE_LIMIT;
            return if over { Err(LineError::TooLong) } else { Ok(None) };
        };
        if end > LINE_LIMIT {
            return Err(LineError::TooLong);
        }
        let mut line: Vec<u8> = self.buffer.drain(..=end).collect();
        line.pop();
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Ok(Some(line))
    }
}

/// A vote to cast.
#[derive(Clone, Copy, Debug)]
pub struct Ballot {
    /// The build.
    pub build: Build,
    /// The stage meant.
    pub stage: u8,
    /// The verdict.
    pub vote: Vote,
}

impl Ballot {
    /// The line that casts it.
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

/// Casts a vote on a connection of its own and tells how that went; `limit` comes from the settings.
pub async fn vote(address: SocketAddr, ballot: Ballot, limit: Micros, to: Sender<Input>) {
    let written = std::cell::Cell::new(false);
    let answer = with_timeout(micros_to_duration(limit), cast(address, ballot, &written)).await;
    let ending = match answer {
        Some(Ok(PlatformLine::Accepted(Some(state)))) => {
            let _ = to.send(Input::RolloutStatus(state.to_status(true))).await;
            return;
        }
        Some(Ok(PlatformLine::Refused(why))) => match why {
            Refusal::Limit => CallOutcome::Rejected,
            Refusal::Moot => CallOutcome::NotSent,
            Refusal::Error | Refusal::Malformed => CallOutcome::Error,
        },
        // Before its last byte is written a call is not carried out; afterwards nobody knows.
        _ if written.get() => CallOutcome::Timeout,
        _ => CallOutcome::ConnectFailed,
    };
    log::info!("vote {ballot:?}: {ending:?}");
    let phase = Phase::Trial;
    let Ballot { build, stage, .. } = ballot;
    let news = RolloutStatus { build, stage, phase, is_vote_reply: true, outcome: ending, cap: 0.0, age: 0 };
    let _ = to.send(Input::RolloutStatus(news)).await;
}

async fn cast(
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
            return decode(&line).map_err(std::io::Error::other);
        }
    }
}

/// Listens to what the platform tells, for ever: a connection that ends or falls silent is replaced.
pub async fn listen(address: SocketAddr, to: Sender<Input>) {
    loop {
        let mut told = false;
        let Err(e) = notified(address, &to, &mut told).await;
        log::warn!("platform: {e}");
        // Danger: what is told while nobody listens is not told again, so a connection that worked is replaced
        // soon; one that told nothing is tried at leisure.
        Timer::after(if told { AGAIN_SOON } else { AGAIN }).await;
    }
}

/// Listens on one connection until it fails; `told` says whether anything could be read there.
async fn notified(
    address: SocketAddr,
    to: &Sender<Input>,
    told: &mut bool,
) -> std::io::Result<std::convert::Infallible> {
    let silent = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let connected = with_timeout(CONNECT_WITHIN, Async::<TcpStream>::connect(address)).await;
    let mut stream = connected.ok_or_else(silent)??;
    stream.get_ref().set_nodelay(true)?;
    stream.write_all(b"NOTIFY\r\n").await?;
    let mut lines = LineDecoder::default();
    loop {
        let read = with_timeout(SILENCE, read_some(&mut stream, |bytes| lines.feed(bytes))).await;
        if read.ok_or_else(silent)?? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        while let Some(line) = lines.line().map_err(std::io::Error::other)? {
            // Danger: behind a line that cannot be read nothing more comes, or nothing to be trusted: the
            // connection is spent, and the next one tells the state anew.
            match decode(&line).map_err(std::io::Error::other)? {
                PlatformLine::Progress(state) => {
                    *told = true;
                    let _ = to.send(Input::RolloutStatus(state.to_status(false))).await;
                }
                PlatformLine::Refused(why) => log::warn!("platform: refused: {why:?}"),
                PlatformLine::Heartbeat | PlatformLine::Other | PlatformLine::Accepted(_) => {}
            }
        }
    }
}
