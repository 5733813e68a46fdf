//! The memory of a front at its limit of descriptors: every state of a connection fits, reading, answering and closing alike.
//!
//! The front has 1,024 descriptors and 32 MB, and its peak is read from outside.

mod common;
mod scripted;

use common::{any_port, get, post, unique_id, wait_until};
use scripted::sender::Sender;
use scripted::stage::{Stage, EMPTY};
use scripted::{Peer, Program, Wire};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use yarrowspoke_toy::{Behaviour, Machine};

/// Memory limit of the front.
const MEMORY_MB: u64 = 32;
/// Memory that large answers may take together: an eighth of the limit.
const MEMORY_FOR_ANSWERS: usize = MEMORY_MB as usize * 1024 * 1024 / 8;
/// Stated length of a large answer.
const ANSWER_BYTES: usize = 64 * 1024;
/// Clients that are connected at once, nearly as many as the front accepts.
const CLIENTS: usize = 600;
/// Longest time of an answer to a usual client with a budget of 2 s.
const ANSWER_LIMIT: Duration = Duration::from_millis(2_550);

/// Held by each test: together they would need more descriptors than a process usually may open.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn one_at_a_time() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The program with a watch on one machine.
struct Front {
    program: Program,
    _stage: Stage,
    _watch: Wire,
}

impl Front {
    fn start(machine: SocketAddr) -> Self {
        let stage = Stage::set(EMPTY).told("\"memory_mb\": 192", &format!("\"memory_mb\": {MEMORY_MB}"));
        let (program, watch) = stage.watched_at(&[machine]);
        Self { program, _stage: stage, _watch: watch }
    }

    /// Connects clients, each of which writes as soon as it is connected: the front may close those that stay silent while
    /// descriptors run low, and connecting so many takes seconds where its backlog overflows.
    fn connect_senders(&self, bytes: impl Fn() -> Vec<u8>) -> Vec<Sender> {
        (0..CLIENTS).map(|_| Sender::start(self.program.listen, bytes())).collect()
    }

    /// Connects a client that writes its request at once, for the same reason.
    fn client_with(&self, request: &str) -> Wire {
        let mut client = self.program.client();
        client.write(request);
        client
    }
}

fn assert_within_limit(program: &Program) {
    let peak = program.peak_memory();
    eprintln!("peak: {:.1} MB", peak as f64 / (1024.0 * 1024.0));
    assert!(peak < MEMORY_MB * 1024 * 1024, "{peak} bytes");
}

fn a_usual_client_is_served(program: &Program) {
    let begun = Instant::now();
    let mut client = program.client();
    client.write(&get(&unique_id(), "2.0"));
    let answer = client.message().expect("an answer");
    assert!(answer.start().contains(" 200 ") && begun.elapsed() < ANSWER_LIMIT, "{answer:?}");
}

fn large_post(stated_len: usize, sent: usize) -> Vec<u8> {
    let head = post(&unique_id(), "9.0")
        .replace("Content-Length: 5\r\n\r\nhello", &format!("Content-Length: {stated_len}\r\n\r\n"));
    [head.as_bytes(), &vec![b'x'; sent]].concat()
}

#[test]
fn clients_that_send_on_after_their_error_fit_the_memory_limit() {
    // Each connection that was being closed was read into a buffer of its own of 64 KiB: 39 MB at this limit.
    let _guard = one_at_a_time();
    let machine = Machine::start(any_port(), Behaviour::Serve).unwrap();
    let front = Front::start(machine.address);
    let mut senders = front.connect_senders(|| large_post(60_000_000, 1024 * 1024));
    wait_until("all have sent far more than is read at full speed", || {
        senders
            .iter_mut()
            .filter(|sender| sender.rest.len() > 512 * 1024)
            .filter_map(|s| s.advance().then_some(()))
            .count()
            == 0
    });
    assert_within_limit(&front.program);
    a_usual_client_is_served(&front.program);
}

#[test]
fn large_requests_that_stop_half_way_fit_the_memory_limit() {
    // Space for a body was taken before it was known whether it fits, and kept while the connection was closed.
    let _guard = one_at_a_time();
    let machine = Machine::start(any_port(), Behaviour::Serve).unwrap();
    let front = Front::start(machine.address);
    let mut senders = front.connect_senders(|| large_post(64 * 1024, 60_000));
    wait_until("all were written", || {
        senders.iter_mut().filter_map(|s| s.advance().then_some(())).count() == 0
    });
    wait_until("all are answered", || senders.iter_mut().all(Sender::is_answered));
    assert_within_limit(&front.program);
    a_usual_client_is_served(&front.program);
}

#[test]
fn large_answers_that_stop_half_way_fit_the_memory_limit() {
    // No limit held for the answers that were being read.
    let _guard = one_at_a_time();
    const ANSWERS: usize = 380;
    let machine = Peer::start();
    let front = Front::start(machine.address);
    let mut clients: Vec<Wire> = (0..ANSWERS).map(|_| front.client_with(&get(&unique_id(), "4.0"))).collect();
    let part = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n{}", "x".repeat(60_000));
    let mut attempts = Vec::new();
    let begun = Instant::now();
    while attempts.len() < ANSWERS && begun.elapsed() < Duration::from_secs(3) {
        let Some(mut attempt) = machine.connection_within(Duration::from_millis(200)) else { break };
        if attempt.message().is_some() && attempt.offer(&part) {
            attempts.push(attempt);
        }
    }
    assert!(attempts.len() > MEMORY_FOR_ANSWERS / ANSWER_BYTES, "{} attempts", attempts.len());
    let answers = clients.iter_mut().filter_map(Wire::message).count();
    assert_eq!(answers, ANSWERS, "of {} attempts", attempts.len());
    assert_within_limit(&front.program);
}
