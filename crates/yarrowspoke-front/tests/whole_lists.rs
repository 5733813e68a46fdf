//! What a whole list does not name has been removed. That holds for a list of which some lines cannot be decoded as well, and
//! for one that arrives on a watch which the front has left: it is notified of what is written to it.

mod common;
mod scripted;

use common::{get, post, unique_id, wait_until};
use scripted::stage::{up, Stage, EMPTY};
use scripted::{entry, listing, Peer, Program, Wire};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use yarrowspoke_toy::Message;

/// Requests that are sent to see which machines get any.
const REQUESTS: usize = 12;
/// Responses that cannot be decoded in full after which what could be decoded is used.
const UNREADABLE_RESPONSES: usize = 5;

/// Has discovery at another address from now on, and waits until the front knows.
fn move_discovery(stage: &mut Stage, program: &Program, from: SocketAddr, to: SocketAddr) {
    stage.config = stage.config.replace(&from.to_string(), &to.to_string());
    std::fs::write(&program.path, &stage.config).unwrap();
    program.signal("HUP");
    program.logs("discovery moved");
}

/// Sends requests one after another, which the machines answer, and returns how many came to each.
fn requests_by_machine(program: &Program, machines: &[&Peer]) -> Vec<usize> {
    let mut counts = vec![0; machines.len()];
    for _ in 0..REQUESTS {
        let mut client = program.client();
        client.write(&post(&unique_id(), "9.0"));
        wait_until("a machine got the request", || {
            let came = machines.iter().enumerate().find_map(|(n, machine)| {
                machine.connection_within(Duration::from_millis(1)).map(|line| (n, line))
            });
            if let Some((n, mut line)) = came {
                assert!(line.message().is_some());
                line.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                counts[n] += 1;
                return true;
            }
            client.has_news()
        });
        assert!(client.message().expect("an answer").start().contains(" 200 "));
    }
    counts
}

/// Answers the last call of a watch that the front has left, and waits until the front has read the answer.
fn answer_superseded(program: &Program, watch: &mut Wire, list: &str) {
    watch.answer(list);
    program.logs("last response of a superseded watch");
}

/// Answers a held call with no changes and returns the next call.
fn answer_held_call(watch: &mut Wire) -> Message {
    watch.answer(&listing(8, false, &[]));
    watch.message().unwrap()
}

#[test]
fn a_machine_that_the_whole_list_of_a_left_watch_does_not_name_gets_nothing_new() {
    // Only lines that named a machine as draining or removed were used, and a removed machine has none.
    let machines = [Peer::start(), Peer::start()];
    let (mut stage, moved) = (Stage::set(EMPTY), Peer::start());
    let (program, mut watch) = stage.watched(&[&machines[0], &machines[1]]);
    let old = stage.discovery.address;
    move_discovery(&mut stage, &program, old, moved.address);
    answer_superseded(&program, &mut watch, &listing(8, true, &[up(1, &machines[1])]));
    assert_eq!(requests_by_machine(&program, &[&machines[0], &machines[1]]), [0, REQUESTS]);
    // The new address is asked for the whole list, and what it names is used, whatever the old one said.
    let mut watch = moved.connection();
    let asked = watch.message().unwrap();
    assert!(asked.start().starts_with("GET /discovery/hosts HTTP"), "{asked:?}");
    watch.answer(&listing(9, true, &[up(0, &machines[0]), up(1, &machines[1])]));
    assert!(watch.message().unwrap().start().contains("from=9&hold_ms=3000"));
    assert!(requests_by_machine(&program, &[&machines[0], &machines[1]])[0] > 0);
}

#[test]
fn a_machine_that_a_left_watch_lists_with_another_process_gets_nothing_until_it_is_confirmed() {
    // Its build and start were passed over, so requests went to a process that was not the one known.
    for (build, since_ms) in [(42, 0), (41, 1_000_000)] {
        let machines = [Peer::start(), Peer::start()];
        let (mut stage, moved) = (Stage::set(EMPTY), Peer::start());
        let (program, mut watch) = stage.watched(&[&machines[0], &machines[1]]);
        let old = stage.discovery.address;
        move_discovery(&mut stage, &program, old, moved.address);
        let changed = entry("s-0", machines[0].address, "up", build, since_ms);
        answer_superseded(&program, &mut watch, &listing(8, false, &[changed]));
        assert_eq!(requests_by_machine(&program, &[&machines[0], &machines[1]]), [0, REQUESTS]);
    }
}

#[test]
fn the_first_watch_still_counts_when_a_second_one_is_left_before_it_was_answered() {
    // The first was dropped with what it had yet to read.
    let machines = [Peer::start(), Peer::start()];
    let (mut stage, silent, second) = (Stage::set(EMPTY), Peer::start(), Peer::start());
    let (program, mut watch) = stage.watched(&[&machines[0], &machines[1]]);
    let old = stage.discovery.address;
    move_discovery(&mut stage, &program, old, silent.address);
    let mut unanswered = silent.connection();
    assert!(unanswered.message().is_some());
    move_discovery(&mut stage, &program, silent.address, second.address);
    answer_superseded(&program, &mut watch, &listing(8, true, &[up(1, &machines[1])]));
    assert_eq!(requests_by_machine(&program, &[&machines[0], &machines[1]]), [0, REQUESTS]);
}

#[test]
fn a_left_watch_still_counts_when_a_call_at_the_new_address_fails() {
    // It was dropped with what it had yet to read.
    let machines = [Peer::start(), Peer::start()];
    let mut stage = Stage::set(EMPTY);
    let (program, mut watch) = stage.watched(&[&machines[0], &machines[1]]);
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let old = stage.discovery.address;
    move_discovery(&mut stage, &program, old, closed);
    program.logs("discovery: call failed");
    answer_superseded(&program, &mut watch, &listing(8, true, &[up(1, &machines[1])]));
    assert_eq!(requests_by_machine(&program, &[&machines[0], &machines[1]]), [0, REQUESTS]);
}

#[test]
fn a_whole_list_with_a_line_that_cannot_be_decoded_still_removes_what_it_does_not_name() {
    // It was read as changes, and its version was held, so the removal was never told again.
    let machines = [Peer::start(), Peer::start(), Peer::start()];
    let stage = Stage::set(EMPTY);
    let (program, mut watch) = stage.watched(&[&machines[0], &machines[1], &machines[2]]);
    let undecodable = entry("s-2", machines[2].address, "somewhere", 41, 0);
    let list = listing(8, true, &[up(1, &machines[1]), undecodable]);
    watch.answer(&list);
    // Each repetition is a call on a new connection.
    for _ in 1..UNREADABLE_RESPONSES {
        watch = stage.discovery.connection();
        assert!(watch.message().unwrap().start().contains("from=7"));
        watch.answer(&list);
    }
    watch = stage.discovery.connection();
    assert!(watch.message().unwrap().start().contains("from=8&hold_ms=3000"));
    let counts = requests_by_machine(&program, &[&machines[0], &machines[1], &machines[2]]);
    assert!(counts[0] == 0 && counts[2] > 0, "{counts:?}");
    // The whole list is asked for again, but not at once: the line may stay as it is.
    let mut asked = answer_held_call(&mut watch);
    assert!(asked.start().contains("hold_ms=3000"), "{asked:?}");
    while asked.start().contains("hold_ms=3000") {
        asked = answer_held_call(&mut watch);
    }
    assert!(asked.start().starts_with("GET /discovery/hosts HTTP"), "{asked:?}");
    watch.answer(&listing(9, true, &[up(0, &machines[0])]));
    assert!(watch.message().unwrap().start().contains("from=9"));
    let mut client = program.client();
    client.write(&get(&unique_id(), "5.0"));
    assert!(machines[0].connection().message().is_some());
}
