//! What renews the lease of a list: only a response that shows what discovery knew, from the time at which it may have looked.
//!
//! Each test reads the end of the lease from the log line of an attempt, before and after what must not have renewed it.

mod common;
mod scripted;

use common::{get, unique_id};
use futures_lite::future::{block_on, poll_once};
use scripted::stage::{Stage, EMPTY};
use scripted::{entry, listing, Peer, Program, Wire};
use std::pin::pin;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use yarrowspoke_front::config;
use yarrowspoke_front::input::Input;
use yarrowspoke_front::net::list::Discovery;

/// Version that a watch of the stage holds once it is open.
const HELD: u64 = 7;

/// Responses that cannot be decoded in full after which what could be decoded is used.
const UNREADABLE_RESPONSES: usize = 5;

/// Returns a stage with one front of several, so that a failed call is no sign of an outage.
fn one_of_several() -> Stage {
    Stage::set(EMPTY).told("\"PeersTotal\": 1", "\"PeersTotal\": 2")
}

/// Sends a request to the machine and returns when the lease ends on which it was sent.
fn lease_end(program: &Program, machine: &Peer) -> u64 {
    let mut client = program.client();
    client.write(&get(&unique_id(), "5.0"));
    let line = program.logs("attempt sent");
    let mut attempt = machine.connection();
    assert!(attempt.message().is_some());
    attempt.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    assert!(client.message().expect("an answer").start().contains(" 200 "));
    assert!(line.contains("source: Discovery"), "{line}");
    let (_, until) = line.split_once("until: ").expect("a lease in the log");
    until.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
}

#[test]
fn a_watch_call_that_is_turned_away_renews_no_lease() {
    // A call that waited in discovery's queue and was turned away counted as a confirmation, so machines that had drained
    // meanwhile were sent requests for 6 s more.
    for status in
        ["503 Service Unavailable", "500 Internal Server Error", "429 Too Many Requests", "404 Not Found"]
    {
        for connection in ["keep-alive", "close"] {
            let (stage, machine) = (one_of_several(), Peer::start());
            let (program, mut watch) = stage.watched(&[&machine]);
            let before = lease_end(&program, &machine);
            watch.write(&format!(
                "HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: {connection}\r\n\r\n"
            ));
            program.logs("discovery: call failed");
            assert_eq!(lease_end(&program, &machine), before, "{status}, {connection}");
        }
    }
}

#[test]
fn a_watch_that_ends_without_a_response_renews_no_lease() {
    let (stage, machine) = (one_of_several(), Peer::start());
    let (program, watch) = stage.watched(&[&machine]);
    let before = lease_end(&program, &machine);
    watch.ends_now();
    // A kept connection may have been closed for any reason, so the call is made once more on a new one.
    let again = stage.discovery.connection();
    again.ends_now();
    program.logs("discovery: call failed");
    assert_eq!(lease_end(&program, &machine), before);
}

#[test]
fn changes_of_an_earlier_version_renew_no_lease_and_still_remove_machines() {
    // They say nothing of the list that the front holds, which is asked for as a whole next; until then it counted as confirmed.
    let machines = [Peer::start(), Peer::start()];
    let stage = one_of_several();
    let (program, mut watch) = stage.watched(&[&machines[0], &machines[1]]);
    let drained = entry("s-0", machines[0].address, "draining", 41, 0);
    watch.answer(&listing(HELD - 1, false, &[]));
    assert!(watch.message().unwrap().start().starts_with("GET /discovery/hosts HTTP"));
    watch.answer(&listing(
        HELD,
        true,
        &[scripted::stage::up(0, &machines[0]), scripted::stage::up(1, &machines[1])],
    ));
    assert!(watch.message().unwrap().start().contains("hold_ms=3000"));
    // Only the second machine is left once the first drains, so the lease can be read from requests to it.
    watch.answer(&listing(HELD + 1, false, std::slice::from_ref(&drained)));
    assert!(watch.message().unwrap().start().contains("hold_ms=3000"));
    let before = lease_end(&program, &machines[1]);
    watch.answer(&listing(HELD - 1, false, &[drained]));
    assert!(watch.message().unwrap().start().starts_with("GET /discovery/hosts HTTP"));
    assert_eq!(lease_end(&program, &machines[1]), before);
}

/// Answers the held call and each of its repetitions, which come on new connections, and returns the next held call.
fn answer_until_accepted(stage: &Stage, mut watch: Wire, list: &str) -> Wire {
    watch.answer(list);
    for _ in 1..UNREADABLE_RESPONSES {
        watch = stage.discovery.connection();
        assert!(watch.message().is_some());
        watch.answer(list);
    }
    watch = stage.discovery.connection();
    assert!(watch.message().unwrap().start().contains("hold_ms=3000"));
    watch
}

#[test]
fn a_line_that_cannot_be_decoded_renews_no_lease_of_its_machine() {
    // Discovery had something to tell of the machine, such as that it drains, and the machine counted as confirmed.
    for whole in [false, true] {
        let machine = Peer::start();
        let stage = one_of_several();
        let (program, watch) = stage.watched(&[&machine]);
        let before = lease_end(&program, &machine);
        let undecodable = entry("s-0", machine.address, "somewhere", 41, 0);
        let mut watch = answer_until_accepted(&stage, watch, &listing(HELD + 1, whole, &[undecodable]));
        assert_eq!(lease_end(&program, &machine), before, "whole: {whole}");
        watch.answer(&listing(HELD + 1, false, &[]));
        assert!(watch.message().is_some());
        assert_eq!(lease_end(&program, &machine), before, "whole: {whole}");
        watch.answer(&listing(HELD + 2, false, &[scripted::stage::up(0, &machine)]));
        assert!(watch.message().is_some());
        assert!(lease_end(&program, &machine) > before, "whole: {whole}");
    }
}

#[test]
fn an_ordinary_end_of_a_held_call_renews_the_lease() {
    let (stage, machine) = (one_of_several(), Peer::start());
    let (program, mut watch) = stage.watched(&[&machine]);
    let before = lease_end(&program, &machine);
    watch.answer(&listing(HELD, false, &[]));
    assert!(watch.message().unwrap().start().contains("hold_ms=3000"));
    assert!(lease_end(&program, &machine) > before);
}

#[test]
fn a_response_that_is_read_late_counts_from_when_it_may_have_been_written() {
    // A process that was suspended for less than its check notices read a response late and counted the lease from then.
    let (peer, (written, has_written)) = (Peer::start(), channel());
    let names = config::parse(include_bytes!("../../../examples/config.json")).unwrap().settings.names;
    let discovery = Discovery::new(peer.address, names, HELD, 0);
    let (called, has_called) = channel();
    let server = std::thread::spawn(move || {
        let mut watch = peer.connection();
        for _ in 0..2 {
            assert!(watch.message().is_some());
            called.send(()).unwrap();
            watch.answer(&listing(HELD, false, &[]));
            written.send(Instant::now()).unwrap();
        }
        watch
    });
    let (to, inputs) = async_channel::unbounded();
    let first = discovery.supersede_watches();
    let mut watch = pin!(Rc::clone(&discovery).watch(first, to));
    for _ in 0..2 {
        // The client is run up to its call, and then not again before the response is written.
        while has_called.try_recv().is_err() {
            block_on(poll_once(watch.as_mut()));
            std::thread::yield_now();
        }
        let written_at = has_written.recv().unwrap();
        let as_of = loop {
            block_on(poll_once(watch.as_mut()));
            match inputs.try_recv() {
                Ok(Input::ListUpdated(message)) => break message.as_of,
                Ok(Input::ListConfirmed { as_of, .. }) => break as_of,
                Ok(_) => panic!("neither a list nor its confirmation"),
                Err(_) => std::thread::yield_now(),
            }
        };
        assert!(as_of <= written_at, "{:?} after the response was written", as_of - written_at);
    }
    drop(server.join());
}

#[test]
fn a_pushed_list_is_called_for_within_the_drain_grace_while_discovery_turns_calls_away() {
    // Guards against sends to machines that drained during an outage: what discovery has at its return counts at once.
    const DRAIN_GRACE: Duration = Duration::from_millis(500);
    let machine = Peer::start();
    let stage = Stage::set(EMPTY).told("\"MembershipMode\": \"ask\"", "\"MembershipMode\": \"push\"");
    let (_program, watch) = stage.watched(&[&machine]);
    watch.ends_now();
    for _ in 0..10 {
        let mut call = stage.discovery.connection_within(DRAIN_GRACE).expect("a call in time");
        assert!(call.message().is_some());
        call.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
}
