//! Clients that send requests at an even pace.

use super::{lock, read_head};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Served,
    /// It got another answer.
    Answered,
    /// Its kept connection closed without an answer; the request is sent once more on a new one.
    Crossed,
    /// Nothing was listening at the front's address.
    Unreached,
    /// It got no answer, neither on its first connection nor on another after the first had just closed.
    Unanswered,
}

/// One request of a client.
#[derive(Clone, Copy, Debug)]
pub struct Noted {
    pub begun: Instant,
    pub ended: Instant,
    pub on_new_connection: bool,
    pub outcome: Outcome,
}

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub served: usize,
    /// Requests that got any answer, on the connection of their first attempt.
    pub answered: usize,
    pub asked: usize,
}

impl Tally {
    /// Counts the requests of all clients that were started within a time span.
    pub fn of(loads: &[Load], from: Instant, to: Instant) -> Self {
        loads.iter().map(|load| load.tally(from, to)).fold(Self::default(), |sum, one| Self {
            served: sum.served + one.served,
            answered: sum.answered + one.answered,
            asked: sum.asked + one.asked,
        })
    }
}

/// Time past its stated budget after which a client takes a request for lost.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// The budget that a client states.
const BUDGET: Duration = Duration::from_secs(1);
/// Interval, in requests, between two with a side effect, for clients that send such.
const EFFECT_EVERY: usize = 4;

/// A client of one front that sends requests at an even pace and records how each ended.
pub struct Load {
    stop: Arc<AtomicBool>,
    noted: Arc<Mutex<Vec<Noted>>>,
}

impl Load {
    pub fn start(front: SocketAddr, name: String, every: Duration) -> Self {
        Self::begin(front, name, every, false)
    }

    /// Same as `start`, but some of the requests must not run twice.
    pub fn with_effects(front: SocketAddr, name: String, every: Duration) -> Self {
        Self::begin(front, name, every, true)
    }

    fn begin(front: SocketAddr, name: String, every: Duration, effects: bool) -> Self {
        let load = Self { stop: Arc::default(), noted: Arc::default() };
        let (stop, noted) = (Arc::clone(&load.stop), Arc::clone(&load.noted));
        std::thread::spawn(move || {
            let (mut kept, mut number) = (None, 0);
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let begun = Instant::now();
                let id = format!("{name}-{number}");
                let request = match effects && number % EFFECT_EVERY == 0 {
                    true => crate::common::post(&id, "1.0"),
                    false => crate::common::get(&id, "1.0"),
                };
                let ask = |kept: &mut Option<_>| {
                    let on_new_connection = kept.is_none();
                    let outcome = Self::ask(kept, front, &request);
                    let ended = Instant::now();
                    lock(&noted).push(Noted { begun, ended, on_new_connection, outcome });
                    outcome
                };
                if ask(&mut kept) == Outcome::Crossed {
                    ask(&mut kept);
                }
                std::thread::sleep(every.saturating_sub(begun.elapsed()));
            }
        });
        load
    }

    fn ask(kept: &mut Option<BufReader<TcpStream>>, front: SocketAddr, request: &str) -> Outcome {
        let was_kept = kept.is_some();
        let reader = match kept.take() {
            Some(reader) => Some(reader),
            None => TcpStream::connect(front).ok().map(BufReader::new),
        };
        let Some(mut reader) = reader else { return Outcome::Unreached };
        let sent = Instant::now();
        match Self::exchange(&mut reader, request) {
            Some(outcome) => {
                *kept = Some(reader);
                outcome
            }
            None if was_kept && sent.elapsed() < BUDGET => Outcome::Crossed,
            None => Outcome::Unanswered,
        }
    }

    fn exchange(reader: &mut BufReader<TcpStream>, request: &str) -> Option<Outcome> {
        reader.get_ref().set_read_timeout(Some(BUDGET + PATIENCE)).ok()?;
        reader.get_mut().write_all(request.as_bytes()).ok()?;
        let head = read_head(reader)?;
        let length = head
            .lines()
            .find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
        let served = head.starts_with("HTTP/1.1 200");
        Some(if served { Outcome::Served } else { Outcome::Answered })
    }

    /// Returns all requests so far.
    pub fn noted(&self) -> Vec<Noted> {
        lock(&self.noted).clone()
    }

    /// Counts the requests that were started within a time span.
    fn tally(&self, from: Instant, to: Instant) -> Tally {
        let noted = lock(&self.noted);
        let within = || noted.iter().filter(|n| n.begun >= from && n.begun < to).map(|n| n.outcome);
        Tally {
            served: within().filter(|outcome| *outcome == Outcome::Served).count(),
            answered: within().filter(|o| matches!(o, Outcome::Served | Outcome::Answered)).count(),
            asked: within().count(),
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
