//! Tests of the acceptance criteria that can be shown over sockets, with scripted remote parties. `docs/results.md`, "Final
//! acceptance", lists the criterion of each test.

mod common;
mod scripted;

use common::{get, post, unique_id, wait_until};
use scripted::stage::{up, Stage, EMPTY};
use scripted::{entry, listing, ok, LatePeer, Peer, Program, Wire, PATIENCE};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Sets a connect timeout that is long enough for connections that are established late.
fn patient(stage: Stage) -> Stage {
    stage.told("\"ConnectTimeoutUs\": 250000", "\"ConnectTimeoutUs\": 8000000")
}

/// Sends a call whose first attempt goes to `first`, then lists only `next` as ready; returns the first attempt's connection.
fn out_then_moved(watch: &mut Wire, first: &Peer, next: SocketAddr, client: &mut Wire, call: &str) -> Wire {
    client.write(call);
    let mut line = first.connection();
    assert!(line.message().is_some());
    let moved = [entry("s-1", next, "up", 41, 0), entry("s-0", first.address, "draining", 41, 0)];
    watch.answer(&listing(8, false, &moved));
    assert!(watch.message().unwrap().start().contains("from=8"));
    line
}

// ---- Repeats and late connections ----------------------------------------------------------------------------

#[test]
fn a_keyed_call_whose_next_connection_comes_up_late_is_not_written_once_its_key_is_forgotten() {
    // Machines deduplicate a key for a limited time; an attempt that arrives later runs again.
    let (first, late) = (Peer::start(), LatePeer::start());
    let keyed = r#""Effect": "by_key", "DedupScope": "all", "WindowUs": 900000"#;
    let stage = patient(Stage::set(EMPTY)).told(r#""Effect": "once""#, keyed);
    let (program, mut watch) = stage.watched(&[&first]);
    let mut client = program.client();
    let line = out_then_moved(&mut watch, &first, late.address, &mut client, &post(&unique_id(), "9.0"));
    // It may have run. The next attempt is allowed and starts at once; its connection is established a second later.
    line.ends_now();
    wait_until("the next attempt connects", || late.is_tried());
    let late = late.open();
    wait_until("it is given up, or written", || {
        if let Some(mut line) = late.connection_within(Duration::ZERO) {
            assert!(line.message().is_none(), "written though its key is forgotten");
        }
        client.has_news()
    });
    // The call fails instead of being refused: a refusal would promise that a retry is harmless.
    let answer = client.message().unwrap();
    assert!(answer.start().contains(" 502 "), "{answer:?}");
}

#[test]
fn a_keyed_call_is_sent_again_while_its_key_is_remembered() {
    let (first, late) = (Peer::start(), LatePeer::start());
    let keyed = r#""Effect": "by_key", "DedupScope": "all", "WindowUs": 20000000"#;
    let stage = patient(Stage::set(EMPTY)).told(r#""Effect": "once""#, keyed);
    let (program, mut watch) = stage.watched(&[&first]);
    let mut client = program.client();
    let line = out_then_moved(&mut watch, &first, late.address, &mut client, &post(&unique_id(), "9.0"));
    line.ends_now();
    wait_until("the next attempt connects", || late.is_tried());
    let mut line = late.open().connection();
    assert!(line.message().is_some());
    line.answer("again");
    assert_eq!(client.message().unwrap().body, b"again");
}

#[test]
fn a_machine_is_told_what_is_left_to_the_client_when_its_late_connection_is_up() {
    let (first, late) = (Peer::start(), LatePeer::start());
    let stage = patient(Stage::set(EMPTY));
    let (program, mut watch) = stage.watched(&[&first]);
    let mut client = program.client();
    let line = out_then_moved(&mut watch, &first, late.address, &mut client, &get(&unique_id(), "9.0"));
    line.ends_now();
    wait_until("the next attempt connects", || late.is_tried());
    let mut line = late.open().connection();
    let told: f64 = line.message().unwrap().field("x-budget").unwrap().parse().unwrap();
    let took = |line: String| -> f64 {
        let after = line.split("took=").nth(1).unwrap();
        after.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse::<f64>().unwrap() / 1e6
    };
    // Earlier ones went to the other machine, which the front may take for silent if the test is slow.
    let connecting = std::iter::repeat_with(|| took(program.logs("connected"))).find(|t| *t > 0.9).unwrap();
    assert!(told > 0.0 && told <= 9.0 - connecting, "told {told} s after {connecting} s");
    line.answer("x");
    assert!(client.message().unwrap().start().contains(" 200 "));
}

// ---- Clients that leave --------------------------------------------------------------------------------------

#[test]
fn a_client_that_leaves_while_its_attempt_connects_takes_it_along() {
    // No work may start after the client has closed its connection.
    let late = LatePeer::start();
    let stage = patient(Stage::set(EMPTY));
    let program = stage.start();
    let mut watch = stage.open_watch(&listing(7, true, &[entry("s-0", late.address, "up", 41, 0)]));
    assert!(watch.message().unwrap().start().contains("from=7"));
    for call in [get(&unique_id(), "60.0"), post(&unique_id(), "60.0")] {
        let mut client = program.client();
        client.write(&call);
        wait_until("its attempt connects", || late.is_tried());
        client.ends_now();
        program.logs("ending=Cancelled");
        wait_until("nothing connects any more", || !late.is_tried());
    }
    assert!(late.open().connection_within(Duration::ZERO).is_none());
}

#[test]
fn a_client_that_leaves_before_its_first_attempt_gets_none() {
    // A request that waits for a machine is sent as soon as one appears.
    let machine = Peer::start();
    // A request waits for half its latency target if a listed machine may return.
    let aim = "\"AimUs\": 1500000, \"DeadlineUs\": 5000000";
    let stage = Stage::set(EMPTY).told(aim, "\"AimUs\": 20000000, \"DeadlineUs\": 20000000");
    let program = stage.start();
    let mut watch = stage.open_watch(&listing(7, true, &[entry("s-0", machine.address, "draining", 41, 0)]));
    assert!(watch.message().unwrap().start().contains("from=7"));
    let ids: Vec<_> = (0..10).map(|_| unique_id()).collect();
    let mut gone: Vec<_> = ids.iter().map(|_| program.client()).collect();
    gone.iter_mut().zip(&ids).for_each(|(client, id)| client.write(&post(id, "9.0")));
    let (left, mut stays) = (gone.len(), program.client());
    gone.into_iter().for_each(Wire::ends_now);
    // Everything sent before the list arrives reaches the front before it.
    stays.write(&post("stays", "9.0"));
    watch.answer(&listing(8, false, &[up(0, &machine)]));
    assert!(watch.message().unwrap().start().contains("from=8"));
    let mut line = machine.connection();
    let asked = line.message().unwrap();
    assert_eq!(asked.field("x-call-id"), Some("stays"), "of {left} that left: {asked:?}");
    line.answer("x");
    assert_eq!(stays.message().unwrap().body, b"x");
    assert!(machine.connection_within(Duration::ZERO).is_none());
}

// ---- Requests that no machine got ----------------------------------------------------------------------------

#[test]
fn a_request_that_was_never_sent_on_is_refused_and_not_failed() {
    // A failure does not promise that nothing has run, so the client could not retry.
    let late = LatePeer::start();
    let never_up = listing(7, true, &[entry("s-0", late.address, "up", 41, 0)]);
    let none = listing(7, true, &[]);
    // No machine; connections that time out one after another; one that is still being established at the end.
    for (list, stage, budget) in [
        (&none, Stage::set(EMPTY), "9.0"),
        (&never_up, Stage::set(EMPTY), "9.0"),
        (&never_up, patient(Stage::set(EMPTY)), "0.4"),
    ] {
        let program = stage.start();
        let mut watch = stage.open_watch(list);
        assert!(watch.message().unwrap().start().contains("from=7"));
        for call in [get(&unique_id(), budget), post(&unique_id(), budget)] {
            let mut client = program.client();
            client.write(&call);
            let answer = client.message().unwrap();
            assert!(answer.start().contains(" 503 "), "{list} {budget}: {answer:?}");
        }
    }
}

// ---- Answers that break off ----------------------------------------------------------------------------------

#[test]
fn an_answer_that_breaks_off_is_none_and_what_the_client_gets_states_its_length() {
    // Half a response must not be served as a whole one.
    let machine = Peer::start();
    let stage = Stage::set(EMPTY);
    let (program, _watch) = stage.watched(&[&machine]);
    for cut in [
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConnection: close\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\nff\r\nhalf",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "",
    ] {
        let mut client = program.client();
        client.write(&post(&unique_id(), "9.0"));
        let mut line = machine.connection();
        assert!(line.message().is_some());
        line.write(cut);
        line.ends_now();
        let answer = client.message().unwrap();
        assert!(answer.start().contains(" 502 "), "{cut:?}: {answer:?}");
        assert_eq!(answer.field("content-length"), Some(answer.body.len().to_string().as_str()));
        // An idempotent call is retried and served whole.
        client.write(&get(&unique_id(), "9.0"));
        let mut line = machine.connection();
        assert!(line.message().is_some());
        line.write(cut);
        line.ends_now();
        let mut line = machine.connection();
        assert!(line.message().is_some());
        line.write(&ok("whole").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        let answer = client.message().unwrap();
        assert!(answer.start().contains(" 200 ") && answer.body == b"whole", "{cut:?}: {answer:?}");
        assert_eq!(answer.field("content-length"), Some("5"));
    }
}

// ---- Ready after a start -------------------------------------------------------------------------------------

/// Starts a front with pushed lists and one machine in its configuration.
fn pushed(machine: &Peer) -> (Stage, Program) {
    let known = listing(3, true, &[up(0, machine)]);
    let stage = Stage::set(&known).told("\"ask\"", "\"push\"").told("\"AskWithinUs\": 10000000, ", "");
    let program = stage.start();
    program.logs("serves on");
    (stage, program)
}

#[test]
fn discovery_that_turns_its_callers_away_or_is_silent_holds_no_new_front_up() {
    let machine = Peer::start();
    for full in ["HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", ""] {
        let (stage, program) = pushed(&machine);
        let mut call = stage.discovery.connection();
        assert!(call.message().is_some());
        call.write(full);
        wait_until("it serves", || program.is_up());
        assert!(call.ends());
        let mut client = program.client();
        client.write(&get(&unique_id(), "9.0"));
        let mut line = machine.connection();
        assert!(line.message().is_some());
        line.answer("x");
        assert!(client.message().unwrap().start().contains(" 200 "));
    }
}

#[test]
fn a_new_front_does_not_wait_for_one_slow_and_spoilt_answer_after_another() {
    // A call that lasts until the next one is due would never fail, and the front would never be ready.
    let machine = Peer::start();
    let (stage, program) = pushed(&machine);
    let (mut calls, mut open) = (0, None::<(Wire, Instant)>);
    let begun = Instant::now();
    while !program.is_up() {
        assert!(begun.elapsed() < PATIENCE, "never ready: {calls} calls");
        if let Some(mut call) = stage.discovery.connection_within(Duration::from_millis(20)) {
            assert!(call.message().is_some());
            (calls, open) = (calls + 1, Some((call, Instant::now())));
        }
        if let Some((mut call, _)) = open.take_if(|o| o.1.elapsed() > Duration::from_millis(1_700)) {
            call.offer("noise\r\n\r\n");
        }
    }
    // Two calls take longer than the limit; another may start before the front is seen to be ready.
    assert!((1..=3).contains(&calls), "ready only after {calls} calls");
}

#[test]
fn a_front_is_ready_once_it_has_a_list_of_thousands_of_machines() {
    for many in [2_000, 8_000] {
        let machine = Peer::start();
        let (stage, program) = pushed(&machine);
        let line =
            |n| format!(r#"{{"name":"s-{n}","address":"{}","status":"up","build":41}}"#, machine.address);
        let lines: Vec<_> = (0..many).map(line).collect();
        // The call after a snapshot uses the same connection, from the version just received; a call that stalled, as on a
        // busy host, is repeated.
        let mut watch = loop {
            let mut call = stage.discovery.connection();
            assert!(call.message().unwrap().start().contains("from=3&hold_ms=0"));
            if call.offer(&ok(&listing(4, true, &lines))) {
                if let Some(next) = call.message() {
                    assert!(next.start().contains("from=4&hold_ms=3000"), "{next:?}");
                    break call;
                }
            }
        };
        wait_until("it serves", || program.is_up());
        assert!(!watch.has_ended() && !watch.has_news());
        let mut client = program.client();
        client.write(&get(&unique_id(), "9.0"));
        let mut line = machine.connection();
        assert!(line.message().is_some());
        line.answer("x");
        assert!(client.message().unwrap().start().contains(" 200 "));
    }
}

#[test]
fn a_list_may_come_indented() {
    let machine = Peer::start();
    let stage = Stage::set(EMPTY);
    let program = stage.start();
    let list = listing(7, true, &[up(0, &machine)]);
    let list = list
        .replace('{', "{\n\t  ")
        .replace(",\"", " ,\r\n  \"")
        .replace("\":", "\" :  ")
        .replace(']', "\n ]");
    let mut watch = stage.open_watch(&list);
    assert!(watch.message().unwrap().start().contains("from=7"));
    let mut client = program.client();
    client.write(&get(&unique_id(), "9.0"));
    assert!(machine.connection().message().is_some());
}
