//! What clients that are no members, or that never end, can make a planner hold.

mod common;
mod scripted;

use common::{free_port, wait_until};
use scripted::sender::Sender;
use scripted::stage::fleet_file;
use scripted::{Program, Wire};
use std::io::Write;
use std::time::{Duration, Instant};

/// Members that stop in the middle of a message: far more than the memory for messages has room for.
const SENDERS: usize = 300;
/// Length of the largest message.
const MESSAGE_BYTES: usize = 256 * 1024;
/// Memory that such senders may make a planner hold.
const MEMORY_LIMIT: u64 = 32 * 1024 * 1024;
/// Orders of one client, sent one behind another at full speed.
const ORDERS: u64 = 4_000;
/// Orders that a planner takes at once, and every second from then on.
const ORDER_BURST: f64 = 1_000.0;
const ORDERS_PER_SECOND: f64 = 50.0;

/// Starts a planner of a fleet with two others that do not run.
fn start_planner() -> Program {
    let address = free_port();
    let planner = Program::start_planner(&fleet_file(&[address, free_port(), free_port()]), "p0", address);
    planner.logs("listens on");
    planner
}

fn message(target: &str, stated_len: usize, body: &[u8]) -> Vec<u8> {
    let head = format!("POST {target} HTTP/1.1\r\nContent-Length: {stated_len}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Returns the status of the answer to this message.
fn status_of(link: &mut Wire, message: &[u8]) -> String {
    link.write(std::str::from_utf8(message).unwrap());
    link.message().expect("an answer").start().split(' ').nth(1).unwrap().to_owned()
}

fn half_messages(planner: &Program) -> Vec<Sender> {
    let half = message("/fleet/report", MESSAGE_BYTES, &[b'x'; MESSAGE_BYTES - 6_000]);
    (0..SENDERS).map(|_| Sender::start(planner.listen, half.clone())).collect()
}

/// Waits until nothing more of the senders' messages is taken.
fn wait_until_read(planner: &Program, senders: &mut [Sender]) {
    let (mut left, mut since) = (usize::MAX, Instant::now());
    wait_until("no more is read", || {
        for sender in senders.iter_mut() {
            sender.advance();
        }
        let now_left = senders.iter().map(|sender| sender.rest.len()).sum();
        if now_left != left {
            (left, since) = (now_left, Instant::now());
        }
        since.elapsed() > Duration::from_secs(1)
    });
    eprintln!("peak: {} bytes", planner.peak_memory());
}

#[test]
fn messages_that_stop_half_way_take_a_bounded_memory_at_a_planner() {
    // Each link took memory of its own for the largest message, and there may be 2,048 links.
    let planner = start_planner();
    let mut senders = half_messages(&planner);
    wait_until_read(&planner, &mut senders);
    assert!(planner.peak_memory() < MEMORY_LIMIT, "{} bytes", planner.peak_memory());
    // Small messages need none of that memory, and large ones get it once those that stopped have timed out.
    let mut link = Wire::to(planner.listen);
    assert_eq!(status_of(&mut link, b"GET /up HTTP/1.1\r\n\r\n"), "200");
    let large = message("/fleet/report", MESSAGE_BYTES, &[b'x'; MESSAGE_BYTES]);
    wait_until("a large message is read", || {
        let mut link = Wire::to(planner.listen);
        link.offer(std::str::from_utf8(&large).unwrap());
        link.message().is_some_and(|answer| answer.start().contains(" 400 "))
    });
}

#[test]
fn a_message_that_never_ends_is_given_up_at_a_planner() {
    // The time limit began anew with each byte, so a sender of a byte now and then kept its memory for good.
    let planner = start_planner();
    let mut link = Wire::to(planner.listen);
    link.write("POST /fleet/report HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
    wait_until("the link is closed", || {
        std::thread::sleep(Duration::from_millis(200));
        !link.offer("x") || link.has_ended()
    });
}

#[test]
fn orders_without_end_take_a_bounded_memory_at_a_planner() {
    // Every order entered the replicated log, which is never compacted: 152 MB after 5 s.
    let address = free_port();
    let dir = std::env::temp_dir().join(format!("yarrowspoke-orders-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let planner =
        Program::found_planner(&fleet_file(&[address, free_port(), free_port()]), "p0", address, &dir);
    planner.logs("listens on");
    let order = |ticket: u64, why: &str| {
        let body = format!(r#"{{"what":"halt","by":"test","why":"{why}","knows":null,"ticket":{ticket}}}"#);
        message("/fleet/order", body.len(), body.as_bytes())
    };
    let mut flood = Wire::to(address);
    let mut writing = flood.stream().try_clone().unwrap();
    let orders: Vec<u8> = (0..ORDERS).flat_map(|ticket| order(ticket, "")).collect();
    // The end of the test ends this thread, as it closes the link.
    std::thread::spawn(move || drop(writing.write_all(&orders)));
    let begun = Instant::now();
    let mut answers = std::iter::from_fn(|| flood.message()).take(ORDERS as usize);
    let taken = answers.by_ref().take_while(|answer| answer.start().contains(" 200 ")).count();
    let bound = ORDER_BURST + ORDERS_PER_SECOND * begun.elapsed().as_secs_f64() + 1.0;
    assert!(taken as f64 <= bound && taken as f64 >= ORDER_BURST, "{taken} orders taken, {bound} at most");
    // Most of the flood is still unread, and others' orders are taken all the same.
    let mut link = Wire::to(address);
    wait_until("another client's order is taken", || status_of(&mut link, &order(ORDERS, "")) == "200");
    assert_eq!(status_of(&mut link, &order(ORDERS, &"x".repeat(100_000))), "400");
    std::fs::remove_dir_all(dir).unwrap();
}
