//! Crowds of clients that hold all connections that clients may have and come again as soon as they are closed: the requests
//! of usual clients among them are served in time.

mod common;
mod scripted;

use common::{any_port, get, unique_id};
use scripted::crowd::Crowd;
use scripted::stage::{Stage, EMPTY};
use scripted::{Program, Wire};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use yarrowspoke_front::net::accept_queue::{AcceptQueue, BACKLOG};
use yarrowspoke_toy::{Behaviour, Machine};

/// Clients of a crowd, far more than a front with 256 descriptors accepts at once.
const CROWD: usize = 300;
/// Time after which requests of usual clients follow: longer than their own time.
const BEFORE_REQUESTS: Duration = Duration::from_millis(2_500);
/// Slow clients that a front with 256 descriptors accepts at once, and the time that they take for a request.
const MANY: usize = 140;
const SLOW_REQUEST: Duration = Duration::from_millis(1_400);
/// A request that stops half way.
const HALF_HEAD: &[u8] = b"POST /comment HTTP/1.1\r\nHost: front\r\n";
/// Budget of a usual client's request, in seconds, and the time within which it must be answered.
const BUDGET: &str = "2.0";
const ANSWER_LIMIT: Duration = Duration::from_millis(2_550);

/// Held by each test with a crowd: together they would need more descriptors than a process usually may open.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The program with 256 descriptors and a watch on one machine.
struct Front {
    program: Program,
    _machine: Machine,
    _stage: Stage,
    _watch: Wire,
    _guard: MutexGuard<'static, ()>,
}

impl Front {
    fn start() -> Self {
        let guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let machine = Machine::start(any_port(), Behaviour::Serve).unwrap();
        let stage = Stage::set(EMPTY).told("\"sockets\": 1024", "\"sockets\": 256");
        let (program, watch) = stage.watched_at(&[machine.address]);
        Self { program, _machine: machine, _stage: stage, _watch: watch, _guard: guard }
    }

    /// Sends a request on a connection of its own, which must be served in time, connecting included.
    fn serves_in_time(&self) {
        let begun = Instant::now();
        let stream = TcpStream::connect_timeout(&self.program.listen, ANSWER_LIMIT).expect("a connection");
        let mut client = Wire::over(stream);
        client.write(&get(&unique_id(), BUDGET));
        let answer = client.message().expect("an answer");
        assert!(answer.start().contains(" 200 "), "{answer:?} after {:?}", begun.elapsed());
        assert!(begun.elapsed() < ANSWER_LIMIT, "answered after {:?}", begun.elapsed());
    }

    /// Sends usual requests behind one another while a crowd comes again and again.
    fn serves_beside_a_crowd(&self, first: &'static [u8], again: &'static [u8]) {
        let _crowd = Crowd::start(self.program.listen, CROWD, first, again);
        std::thread::sleep(BEFORE_REQUESTS);
        for _ in 0..5 {
            self.serves_in_time();
        }
    }
}

#[test]
fn silent_clients_that_come_again_cost_no_usual_request_its_time() {
    // A request's time was counted from when accepting first paused: while others always wait, that lies ever further back.
    Front::start().serves_beside_a_crowd(b"", b"");
}

#[test]
fn clients_with_half_a_request_keep_no_usual_client_from_connecting() {
    // They held all connections that clients may have for the 2 s that a request may take, and came again.
    Front::start().serves_beside_a_crowd(HALF_HEAD, b"");
}

#[test]
fn clients_that_write_their_requests_slowly_keep_no_usual_client_from_connecting() {
    // The same with a header line every tenth of a second.
    Front::start().serves_beside_a_crowd(HALF_HEAD, b"A: b\r\n");
}

#[test]
fn slow_clients_below_the_limit_keep_the_time_that_a_request_may_take() {
    // Half a request is closed only where others can't connect.
    let front = Front::start();
    let mut slow: Vec<Wire> = (0..MANY).map(|_| front.program.client()).collect();
    let request = get(&unique_id(), BUDGET);
    let (first, rest) = request.split_at(request.len() / 2);
    slow[0].write(first);
    slow[1..].iter_mut().for_each(|client| client.write(std::str::from_utf8(HALF_HEAD).unwrap()));
    front.serves_in_time();
    std::thread::sleep(SLOW_REQUEST);
    assert!(slow.iter_mut().all(|client| !client.has_news() && !client.has_ended()));
    slow[0].write(rest);
    assert!(slow[0].message().expect("an answer").start().contains(" 200 "));
}

#[test]
fn a_connection_has_waited_no_longer_than_its_place_in_the_queue_allows() {
    // The kernel keeps one connection more than its backlog, and connections are accepted in their order.
    let queue_len = BACKLOG as u64 + 1;
    let mut queue = AcceptQueue::default();
    assert_eq!(queue.accept(1_000), 0, "nobody waits before a pause");
    queue.pause(2_000);
    queue.pause(2_500);
    for n in 0..queue_len {
        assert_eq!(queue.accept(3_000 + n), 1_000 + n, "queued at the pause at the earliest");
    }
    for n in 0..queue_len {
        assert_eq!(queue.accept(9_000 + n), 6_000, "queued after the one that left a place free");
    }
    queue.drained();
    assert_eq!(queue.accept(20_000), 0);
    queue.pause(30_000);
    assert_eq!(queue.accept(30_100), 100, "earlier ones don't count after all were accepted");
}
