//! Remote parties that send without end, faster than they are read. One thread serves all, so whatever one party sends must
//! neither keep the others from their turn nor be read without a limit.
//!
//! In each test a party floods the front, which is known to have begun from the bytes that were taken, and a request of
//! another client must get its final answer in time.

mod common;
mod scripted;

use common::{any_port, free_port, get, post, unique_id, wait_until};
use scripted::stage::{fleet_file, Stage, EMPTY};
use scripted::{entry, listing, Peer, Program, Wire, PATIENCE};
use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use yarrowspoke_toy::{Behaviour, Machine};

/// Budget of the requests that must be answered, in seconds.
const BUDGET: &str = "2.0";
/// Longest time of their answers: half a second more is late, anything later counts as lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(2_550);
/// Time within which a client that sends what cannot be read is owed an error or a close.
const ERROR_LIMIT: Duration = Duration::from_secs(3);
/// Bytes after which a flood has certainly begun.
const BEGUN_BYTES: usize = 256 * 1024;
/// Bytes written at once.
const BLOCK_BYTES: usize = 64 * 1024;

/// A thread that writes the same bytes again and again until it is dropped or cannot write any more.
struct Flood {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    /// Floods with `pattern` through `write`, and returns once the flood has begun.
    fn start(
        pattern: &[u8],
        mut write: impl FnMut(&[u8]) -> std::io::Result<usize> + Send + 'static,
    ) -> Self {
        let block = pattern.repeat(BLOCK_BYTES / pattern.len());
        let (stop, written) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (stopped, counted) = (Arc::clone(&stop), Arc::clone(&written));
        let thread = std::thread::spawn(move || {
            let mut offset = 0;
            while !stopped.load(Ordering::Relaxed) {
                match write(&block[offset..]) {
                    Ok(count) => {
                        offset = (offset + count) % block.len();
                        counted.fetch_add(count, Ordering::Relaxed);
                    }
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
        });
        let begun = Instant::now();
        while written.load(Ordering::Relaxed) < BEGUN_BYTES && !thread.is_finished() {
            assert!(begun.elapsed() < PATIENCE, "the flood does not begin");
            std::thread::yield_now();
        }
        Self { stop, thread: Some(thread) }
    }

    fn over(stream: &TcpStream, pattern: &[u8]) -> Self {
        let mut stream = stream.try_clone().unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(50))).unwrap();
        Self::start(pattern, move |bytes| stream.write(bytes))
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().unwrap().join();
    }
}

/// A machine that serves every request.
fn serving_machine() -> Machine {
    Machine::start(any_port(), Behaviour::Serve).unwrap()
}

fn line_of(name: &str, machine: &Machine, state: &str) -> String {
    entry(name, machine.address, state, 41, 0)
}

/// Sends requests of other clients, each on a connection of its own, and returns the status of their answers, all of which
/// must come in time.
fn other_clients_are_answered(listen: SocketAddr) -> Vec<String> {
    let ask = |_| {
        let begun = Instant::now();
        let mut client = Wire::to(listen);
        client.write(&get(&unique_id(), BUDGET));
        let answer = client.message().expect("an answer");
        assert!(begun.elapsed() < ANSWER_LIMIT, "answered after {:?}", begun.elapsed());
        answer.start().to_owned()
    };
    (0..5).map(ask).collect()
}

fn other_clients_are_served(listen: SocketAddr) {
    for status in other_clients_are_answered(listen) {
        assert!(status.contains(" 200 "), "{status}");
    }
}

#[test]
fn a_client_that_sends_empty_lines_without_end_delays_nobody_and_gets_an_error() {
    // A head that never ends, without a byte that would count towards its length.
    let (stage, machine) = (Stage::set(EMPTY), serving_machine());
    let (program, _watch) = stage.watched_at(&[machine.address]);
    let begun = Instant::now();
    let mut bad = program.client();
    let _flood = Flood::over(bad.stream(), b"\r\n");
    other_clients_are_served(program.listen);
    assert!(bad.message().expect("an error").start().contains(" 431 "));
    assert!(begun.elapsed() < ERROR_LIMIT, "{:?}", begun.elapsed());
}

#[test]
fn a_client_that_waits_for_its_answer_and_sends_empty_lines_delays_nobody() {
    // The same bytes where no head is expected yet: they were read until the answer came.
    let (stage, machine) = (Stage::set(EMPTY), Peer::start());
    let (program, mut watch) = stage.watched(&[&machine]);
    let mut bad = program.client();
    bad.write(&post(&unique_id(), "9.0"));
    let mut attempt = machine.connection();
    assert!(attempt.message().is_some());
    let good = serving_machine();
    watch.answer(&listing(8, true, &[line_of("good", &good, "up")]));
    assert!(watch.message().unwrap().start().contains("from=8"));
    let _flood = Flood::over(bad.stream(), b"\r\n");
    other_clients_are_served(program.listen);
    assert!(bad.message().expect("an error").start().contains(" 400 "));
    assert!(attempt.ends());
}

#[test]
fn a_client_that_sends_requests_behind_one_another_without_end_delays_nobody() {
    // Each is answered at once, so neither the reads nor the writes of its connection ever wait.
    let (stage, machine) = (Stage::set(EMPTY), serving_machine());
    let (program, _watch) = stage.watched_at(&[machine.address]);
    let bad: Vec<_> = (0..4).map(|_| TcpStream::connect(program.listen).unwrap()).collect();
    for stream in &bad {
        let mut answers = stream.try_clone().unwrap();
        std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
    }
    let floods = bad.iter().map(|stream| Flood::over(stream, b"GET /up HTTP/1.1\r\n\r\n"));
    let _floods: Vec<Flood> = floods.collect();
    other_clients_are_served(program.listen);
    bad.iter().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
}

#[test]
fn a_machine_whose_answer_never_begins_delays_nobody() {
    // Empty lines in place of an answer counted towards no limit.
    let (stage, bad) = (Stage::set(EMPTY), Peer::start());
    let (program, mut watch) = stage.watched(&[&bad]);
    let mut client = program.client();
    client.write(&post(&unique_id(), "9.0"));
    let mut attempt = bad.connection();
    assert!(attempt.message().is_some());
    let good = serving_machine();
    watch.answer(&listing(8, true, &[line_of("good", &good, "up")]));
    assert!(watch.message().unwrap().start().contains("from=8"));
    let _flood = Flood::over(attempt.stream(), b"\r\n");
    other_clients_are_served(program.listen);
    // It may have run, so the request fails.
    assert!(client.message().expect("an answer").start().contains(" 502 "));
}

#[test]
fn discovery_whose_answer_never_begins_delays_no_final_answer() {
    let (stage, machine) = (Stage::set(EMPTY), serving_machine());
    let (program, watch) = stage.watched_at(&[machine.address]);
    let _flood = Flood::over(watch.stream(), b"\r\n");
    // Without a list that it can read the front refuses, in time.
    other_clients_are_answered(program.listen);
}

#[test]
fn discovery_that_holds_no_call_is_called_at_a_bounded_rate_and_delays_nobody() {
    // Each answer was followed by the next call at once.
    let (stage, machine) = (Stage::set(EMPTY), serving_machine());
    let (program, mut watch) = stage.watched_at(&[machine.address]);
    let calls = Arc::new(AtomicUsize::new(0));
    let (counted, begun) = (Arc::clone(&calls), Instant::now());
    std::thread::spawn(move || loop {
        watch.answer(&listing(7, false, &[]));
        counted.fetch_add(1, Ordering::Relaxed);
        if watch.message().is_none() {
            return;
        }
    });
    other_clients_are_served(program.listen);
    while begun.elapsed() < Duration::from_secs(1) {
        std::thread::sleep(Duration::from_millis(10));
    }
    let (calls, seconds) = (calls.load(Ordering::Relaxed), begun.elapsed().as_secs_f64());
    assert!((calls as f64) < 60.0 * seconds, "{calls} calls in {seconds:.2} s");
}

#[test]
fn a_platform_that_reports_without_end_delays_nobody() {
    let (stage, machine) = (Stage::set(EMPTY), serving_machine());
    let (program, _watch) = stage.watched_at(&[machine.address]);
    let mut platform = stage.platform.connection();
    assert_eq!(platform.line().as_deref(), Some("NOTIFY"));
    platform.write("OK\r\n");
    for report in ["*\r\n", "* progress 41 0 stable 1.0 60000\r\n"] {
        let _flood = Flood::over(platform.stream(), report.as_bytes());
        other_clients_are_served(program.listen);
    }
}

#[test]
fn a_front_that_sends_messages_without_end_delays_nobody() {
    let (peer_listen, other) = (free_port(), UdpSocket::bind(any_port()).unwrap());
    let peers = format!("\"{peer_listen}\", \"{}\"", other.local_addr().unwrap());
    let stage = Stage::set(EMPTY)
        .told(
            "\"name\": \"toy\"",
            &format!("\"name\": \"toy\", \"peer_listen\": \"{peer_listen}\", \"peers\": [{peers}]"),
        )
        .told("\"PeersTotal\": 1", "\"PeersTotal\": 2")
        .told("\"MayCancel\": true", "\"MayCancel\": true, \"Peers\": true");
    let machine = serving_machine();
    let (program, _watch) = stage.watched_at(&[machine.address]);
    let _floods = [0, 1].map(|_| {
        let socket = other.try_clone().unwrap();
        Flood::start(b"12345678", move |bytes| socket.send_to(&bytes[..bytes.len().min(64)], peer_listen))
    });
    other_clients_are_served(program.listen);
}

#[test]
fn a_planner_whose_answer_never_begins_delays_no_request_at_a_front() {
    let (planner, machine) = (Peer::start(), serving_machine());
    let stage = Stage::set(EMPTY);
    let program = stage.start_in_fleet(&fleet_file(&[planner.address]));
    let _watch = stage.open_held_watch(&[machine.address]);
    let mut link = planner.connection();
    assert!(link.message().unwrap().start().contains("/fleet/report"));
    let _flood = Flood::over(link.stream(), b"\r\n");
    other_clients_are_served(program.listen);
}

#[test]
fn a_link_on_which_no_message_begins_or_ever_ends_delays_no_other_at_a_planner() {
    let address = free_port();
    let planner = Program::start_planner(&fleet_file(&[address]), "p0", address);
    planner.logs("listens on");
    for pattern in [b"\r\n".as_slice(), b"GET /up HTTP/1.1\r\n\r\n"] {
        let bad = TcpStream::connect(address).unwrap();
        let mut answers = bad.try_clone().unwrap();
        std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
        let _flood = Flood::over(&bad, pattern);
        let begun = Instant::now();
        let mut other = Wire::to(address);
        other.write("GET /up HTTP/1.1\r\n\r\n");
        assert!(other.message().expect("an answer").start().contains(" 200 "));
        assert!(begun.elapsed() < ANSWER_LIMIT, "{:?}", begun.elapsed());
        let _ = bad.shutdown(std::net::Shutdown::Both);
    }
}

#[test]
fn a_large_body_that_arrived_during_a_pause_of_the_process_is_still_read() {
    // The limits must not cost a request whose bytes are all there when the process goes on.
    let (stage, machine) = (Stage::set(EMPTY), serving_machine());
    let (program, _watch) = stage.watched_at(&[machine.address]);
    let body = "x".repeat(64 * 1024);
    let head =
        post(&unique_id(), "9.0").replace("Content-Length: 5\r\n\r\nhello", "Content-Length: 65536\r\n\r\n");
    let mut client = program.client();
    client.write(&head[..40]);
    wait_until("the request has begun to be read", || program.has_read_all(&client));
    program.halt();
    client.write(&head[40..]);
    client.write(&body);
    std::thread::sleep(Duration::from_millis(2_300));
    program.wake();
    // It was read whole. Whether it is served depends on the list, which must be confirmed after a pause.
    let answer = client.message().expect("an answer");
    assert!(answer.start().contains(" 200 ") || answer.field("retry-after").is_some(), "{answer:?}");
}

#[test]
fn empty_lines_before_a_request_are_still_skipped() {
    let (stage, machine) = (Stage::set(EMPTY), serving_machine());
    let (program, _watch) = stage.watched_at(&[machine.address]);
    let mut client = program.client();
    for _ in 0..3 {
        client.write(&"\r\n".repeat(1_000));
        client.write(&get(&unique_id(), BUDGET));
        assert!(client.message().expect("an answer").start().contains(" 200 "));
    }
}
