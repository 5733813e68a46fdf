//! Tests of race conditions: the remote parties are scripted, and each test decides which of two events comes first.
//! `docs/design/crossings.md` lists them all.

mod common;
mod scripted;

use common::{get, post, temp_file, unique_id, wait_until};
use scripted::stage::{up, Stage, EMPTY};
use scripted::{entry, listing, ok, Peer, Program, Wire};
use std::process::Command;
use std::time::{Duration, Instant};

fn status(client: &mut Wire) -> String {
    client.message().expect("an answer").start().to_owned()
}

// ---- Start and stop ------------------------------------------------------------------------------------------

/// Starts the program with a configuration that it blocks on; `then` runs while it is blocked.
fn start_blocked_on_config(stage: &Stage, then: impl FnOnce(&Program)) -> Program {
    let path = temp_file("held.json", "");
    std::fs::remove_file(&path).unwrap();
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let program = Program::start(&path, stage.listen);
    // Opened for writing only once the program has opened it for reading.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    let whole = temp_file("whole.json", &stage.config);
    std::fs::rename(whole, &path).unwrap();
    then(&program);
    std::io::Write::write_all(&mut pipe, stage.config.as_bytes()).unwrap();
    program
}

#[test]
fn a_signal_before_the_front_serves_does_not_kill_it() {
    // The default action of both signals ends the process; a front that ends on a reload has crashed.
    let stage = Stage::set(EMPTY);
    let program = start_blocked_on_config(&stage, |p| p.signal("HUP"));
    program.logs("files read again");
    assert!(program.is_up());
    let stage = Stage::set(EMPTY);
    let mut program = start_blocked_on_config(&stage, |p| p.signal("TERM"));
    program.logs("stopping");
    assert!(program.wait().success());
}

#[test]
fn who_waits_to_be_accepted_as_the_last_connection_ends_is_answered() {
    // The kernel has already accepted the connection and the request written to it; when the process exits it would be
    // reset.
    let machine = Peer::start();
    let (stage, beside) = (Stage::set(EMPTY), Stage::set(EMPTY));
    let (mut other, _watch_beside) = beside.watched(&[]);
    let (mut program, _watch) = stage.watched(&[&machine]);
    let mut client = program.client();
    client.write(&get(&unique_id(), "5.0"));
    let mut line = machine.connection();
    assert!(line.message().is_some());
    program.signal("TERM");
    program.logs("stopping");
    // No client is left, but new connections are accepted for a while; the process is paused beyond that time. The time is
    // certainly over once another front, which was stopped later, has ended.
    line.answer("first");
    assert!(status(&mut client).contains(" 200 ") && client.ends());
    program.halt();
    let mut late = program.client();
    late.write(&get(&unique_id(), "5.0"));
    other.signal("TERM");
    assert!(other.wait().success());
    program.wake();
    let mut line = machine.connection();
    assert!(line.message().is_some());
    line.answer("late");
    assert_eq!(late.message().expect("an answer").body, b"late");
    assert!(program.wait().success());
}

#[test]
fn told_to_stop_twice_and_to_read_its_files_meanwhile_a_front_still_answers() {
    let machine = Peer::start();
    let stage = Stage::set(EMPTY);
    let (mut program, _watch) = stage.watched(&[&machine]);
    let mut client = program.client();
    client.write(&post(&unique_id(), "8.0"));
    let mut line = machine.connection();
    assert!(line.message().is_some());
    program.signal("HUP");
    program.signal("TERM");
    program.logs("stopping");
    program.signal("TERM");
    program.signal("HUP");
    // The second half of a request that had begun still arrives.
    let mut half = program.client();
    let request = post(&unique_id(), "8.0");
    half.write(&request[..60]);
    line.answer("one");
    assert_eq!(client.message().unwrap().body, b"one");
    half.write(&request[60..]);
    let mut other = machine.connection_within(Duration::from_secs(5)).unwrap_or(line);
    assert!(other.message().is_some());
    other.answer("two");
    assert_eq!(half.message().unwrap().body, b"two");
    assert!(half.ends() && program.wait().success());
}

// ---- The list ------------------------------------------------------------------------------------------------

#[test]
fn a_watch_that_falls_silent_is_open_again_before_its_news_count_as_told() {
    // The front counts as notified of what it misses 2 s after the hold time of its call.
    let machines = [Peer::start(), Peer::start()];
    let stage = Stage::set(EMPTY).told("\"AskWithinUs\": 10000000", "\"AskWithinUs\": 1000000");
    let (program, silent) = stage.watched(&[&machines[0], &machines[1]]);
    let told = Instant::now() + Duration::from_millis(500) + Duration::from_secs(2);
    let mut watch = stage.discovery.connection();
    let asked = watch.message().unwrap();
    assert!(asked.start().contains("from=7&hold_ms=0"), "{asked:?}");
    watch.answer(&listing(8, false, &[entry("s-0", machines[0].address, "draining", 41, 0)]));
    assert!(watch.message().unwrap().start().contains("from=8"));
    assert!(Instant::now() < told, "the news were told before they were asked for");
    drop(silent);
    for _ in 0..10 {
        let mut client = program.client();
        client.write(&get(&unique_id(), "5.0"));
        let mut line = machines[1].connection_within(Duration::from_secs(5)).expect("the other machine");
        assert!(line.message().is_some());
        line.answer("x");
        assert!(status(&mut client).contains(" 200 "));
        // Kept connections would hide where the next request goes.
        line.ends_now();
    }
    assert!(machines[0].connection_within(Duration::ZERO).is_none());
}

#[test]
fn a_list_that_is_pushed_is_watched_as_well_and_had_before_anybody_is_served() {
    // Over sockets no list arrives without a call, and the front counts as notified of discovery's list from the start.
    let machine = Peer::start();
    let known = listing(3, true, &[entry("s-9", machine.address, "up", 41, 0)]);
    for silent in [false, true] {
        let stage = Stage::set(&known).told("\"ask\"", "\"push\"").told("\"AskWithinUs\": 10000000, ", "");
        let program = stage.start();
        let mut watch = stage.discovery.connection();
        assert!(watch.message().unwrap().start().contains("from=3&hold_ms=0"));
        program.logs("serves on");
        assert!(!program.is_up());
        if silent {
            // An unavailable list does not delay readiness for long.
            drop(watch);
        } else {
            watch.answer(&listing(4, false, &[]));
            let next = watch.message().unwrap();
            assert!(next.start().contains("from=4&hold_ms=3000"), "{next:?}");
        }
        wait_until("it serves", || program.is_up());
    }
}

#[test]
fn where_the_version_goes_back_the_whole_list_is_asked_for() {
    // Changes since a version that discovery never had do not apply to the held list.
    let machines = [Peer::start(), Peer::start()];
    let stage = Stage::set(EMPTY);
    let (program, mut watch) = stage.watched(&[&machines[0]]);
    watch.answer(&listing(2, false, &[]));
    let asked = watch.message().unwrap();
    assert!(asked.start().starts_with("GET /discovery/hosts HTTP"), "{asked:?}");
    watch.answer(&listing(2, true, &[up(1, &machines[1])]));
    assert!(watch.message().unwrap().start().contains("from=2&hold_ms=3000"));
    let mut client = program.client();
    client.write(&get(&unique_id(), "5.0"));
    assert!(machines[1].connection().message().is_some());
    assert!(machines[0].connection_within(Duration::ZERO).is_none());
}

#[test]
fn changes_whose_watch_ends_before_they_are_handed_over_are_asked_for_again() {
    // A version that is recorded before its lines are delivered would never be requested again.
    use futures_lite::future::{block_on, poll_once, race};
    use yarrowspoke_front::{config, input::Input, net::list::Discovery};
    let peer = Peer::start();
    let config = config::parse(include_bytes!("../../../examples/config.json")).unwrap();
    let discovery = Discovery::new(peer.address, config.settings.names, 5, 1_000_000);
    let (to, inputs) = async_channel::bounded(1);
    to.try_send(Input::RestrictionsChanged).unwrap_or_else(|_| panic!("room for one"));
    let lines = [entry("s-0", peer.address, "draining", 41, 0)];
    let served = std::thread::spawn(move || {
        let mut watch = peer.connection();
        assert!(watch.message().unwrap().start().contains("from=5"));
        watch.answer(&listing(6, false, &lines));
        let asked = peer.connection().message().unwrap();
        asked.start().to_owned()
    });
    // The driver is busy; the watch is ended, as by a reload, while its lines wait for space in the channel. The response
    // counts as received once it is read whole, and is delivered in the same poll.
    let first = discovery.supersede_watches();
    block_on(race(std::rc::Rc::clone(&discovery).watch(first, to.clone()), async {
        while discovery.last_answered_at().is_none() {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
    }));
    block_on(async {
        assert!(matches!(inputs.try_recv(), Ok(Input::RestrictionsChanged)));
        let second = discovery.supersede_watches();
        let mut watch = Box::pin(discovery.watch(second, to));
        while !served.is_finished() {
            poll_once(&mut watch).await;
            async_io::Timer::after(Duration::from_millis(5)).await;
        }
    });
    let asked = served.join().unwrap();
    assert!(asked.contains("from=5"), "{asked}");
}

// ---- Machines ------------------------------------------------------------------------------------------------

#[test]
fn a_connection_in_use_as_its_machine_changes_is_not_used_for_the_next() {
    // A machine that returns under an id, or at an address, is a different machine or build.
    for change in [("up", 41, 1_000_000), ("up", 42, 0), ("draining", 41, 0)] {
        let machine = Peer::start();
        let stage = Stage::set(EMPTY);
        let (program, mut watch) = stage.watched(&[&machine]);
        let mut client = program.client();
        client.write(&get(&unique_id(), "9.0"));
        let mut line = machine.connection();
        assert!(line.message().is_some());
        let (status_then, build, since) = change;
        watch.answer(&listing(8, false, &[entry("s-0", machine.address, status_then, build, since)]));
        // The next call shows that the change was read.
        assert!(watch.message().unwrap().start().contains("from=8"));
        line.answer("old");
        assert_eq!(client.message().unwrap().body, b"old");
        assert!(line.ends(), "{change:?}: kept");
    }
}

#[test]
fn a_second_answer_that_comes_late_is_nobody_elses() {
    // The next request on the connection would be answered with the response to the one before.
    let machine = Peer::start();
    let stage = Stage::set(EMPTY);
    let (program, _watch) = stage.watched(&[&machine]);
    let mut clients = [program.client(), program.client()];
    for round in 0..20 {
        let [first, second] = &mut clients;
        first.write(&get(&unique_id(), "9.0"));
        let mut used = machine.connection();
        assert!(used.message().is_some());
        // The response and the next request arrive in one poll: the process is paused meanwhile.
        program.halt();
        used.answer("first");
        second.write(&get(&unique_id(), "9.0"));
        program.wake();
        assert_eq!(first.message().unwrap().body, b"first");
        let begun = Instant::now();
        let fresh_line = loop {
            assert!(begun.elapsed() < scripted::PATIENCE, "no request");
            if let Some(mut new) = machine.connection_within(Duration::from_millis(1)) {
                assert!(new.message().is_some());
                break Some(new);
            }
            if used.has_news() {
                assert!(used.message().is_some());
                break None;
            }
        };
        // The duplicate arrives only now, with the next request in flight.
        used.answer("first");
        let mut other = fresh_line.unwrap_or(used);
        other.answer("second");
        assert_eq!(second.message().unwrap().body, b"second", "round {round}");
        other.ends_now();
    }
}

#[test]
fn after_a_stall_no_request_is_sent_to_a_machine_whose_drain_was_written_during_it() {
    // Requests that came during the stall were decided before the drain was read, as it had come behind them.
    const REQUESTS: usize = 200;
    let (leaving, staying) = (Peer::start(), Peer::start());
    let stage = Stage::set(EMPTY);
    let (program, mut watch) = stage.watched(&[&leaving, &staying]);
    let mut clients: Vec<Wire> = (0..REQUESTS).map(|_| program.client()).collect();
    // A first request shows that the front has accepted all.
    let last = clients.last_mut().unwrap();
    last.write("GET /up HTTP/1.1\r\n\r\n");
    assert!(status(last).contains(" 200 "));
    program.halt();
    for client in &mut clients {
        client.write(&get(&unique_id(), "9.0"));
    }
    watch.answer(&listing(8, false, &[entry("s-0", leaving.address, "draining", 41, 0)]));
    // Longer than the drain grace of the settings and shorter than a pause after which the list is not used.
    std::thread::sleep(Duration::from_millis(700));
    program.wake();
    let mut served = staying.connection();
    assert!(served.message().is_some());
    assert!(watch.message().unwrap().start().contains("from=8"));
    let is_asked =
        leaving.connection_within(Duration::from_millis(500)).is_some_and(|mut c| c.message().is_some());
    assert!(!is_asked, "a request was sent to the draining machine");
}

// ---- The platform --------------------------------------------------------------------------------------------

#[test]
fn the_answer_to_a_vote_lifts_no_cap_that_was_lowered_meanwhile() {
    // Vote replies and updates arrive on two connections; a reply written before an update may be read after it.
    let (earlier, newer) = (Peer::start(), Peer::start());
    let stage = Stage::set(EMPTY).told("\"AyesNeeded\": 1", "\"AyesNeeded\": 2");
    let (program, mut watch) = stage.watched(&[&earlier]);
    let mut news = stage.platform.connection();
    assert_eq!(news.line().as_deref(), Some("NOTIFY"));
    news.write("OK\r\n* progress 42 0 canary 1.0 0\r\n");
    let on_trial = entry("s-1", newer.address, "up", 42, 0);
    watch.answer(&listing(8, false, &[on_trial, entry("s-0", earlier.address, "removed", 41, 0)]));
    assert!(watch.message().unwrap().start().contains("from=8"));
    // Requests are served until a vote is in flight; the reply to it is delayed.
    let mut lines: Vec<Wire> = Vec::new();
    let mut ask = |program: &Program| {
        let mut client = program.client();
        client.write(&get(&unique_id(), "5.0"));
        let begun = Instant::now();
        loop {
            assert!(begun.elapsed() < scripted::PATIENCE, "no answer");
            lines.extend(newer.connection_within(Duration::from_millis(1)));
            for line in lines.iter_mut().filter_map(|l| l.has_news().then_some(l)) {
                assert!(line.message().is_some());
                line.answer("x");
            }
            if client.has_news() {
                return status(&mut client);
            }
        }
    };
    let begun = Instant::now();
    let mut vote = loop {
        assert!(begun.elapsed() < scripted::PATIENCE, "no vote");
        let answer = ask(&program);
        assert!(answer.contains(" 200 "), "{answer} after {:?}", begun.elapsed());
        news.write("*\r\n");
        if let Some(vote) = stage.platform.connection_within(Duration::from_millis(60)) {
            break vote;
        }
    };
    let cast = vote.line().unwrap();
    assert!(cast.starts_with("BALLOT 42 0 "), "{cast}");
    news.write("* progress 42 0 reverting 0.0 0\r\n");
    program.logs("phase=RollingBack");
    wait_until("nothing goes to the build any more", || !ask(&program).contains(" 200 "));
    vote.write("OK 42 0 canary 1.0 900\r\n");
    // The connection is closed once the reply is read.
    assert!(vote.ends());
    for _ in 0..20 {
        let answer = ask(&program);
        assert!(!answer.contains(" 200 "), "{answer}");
    }
}

// ---- Settings ------------------------------------------------------------------------------------------------

#[test]
fn settings_with_a_fault_change_nothing_in_force() {
    let machine = Peer::start();
    let stage = Stage::set(EMPTY);
    let (program, _watch) = stage.watched(&[&machine]);
    for (from, to, says) in [
        ("\"once\"", "\"twice\"", "settings.Classes[1].Effect: \"twice\", expected one of"),
        ("\"MaxAttempts\": 4", "\"MaxAttempts\": 0", "settings.Bounds.MaxAttempts: 0, expected 1 or more"),
    ] {
        std::fs::write(&program.path, stage.config.replace(from, to)).unwrap();
        program.signal("HUP");
        let line = program.logs("the old configuration stays");
        assert!(line.contains(says), "{line}");
        let mut client = program.client();
        client.write(&post(&unique_id(), "5.0"));
        let mut line = machine.connection();
        assert!(line.message().is_some());
        line.write(&ok("still").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        assert_eq!(client.message().unwrap().body, b"still");
    }
}
