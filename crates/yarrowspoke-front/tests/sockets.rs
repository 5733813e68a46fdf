//! The program, started and spoken to over loopback sockets. No verdict hangs on speed.

mod common;

use common::{free_port, get, post, spawn, until, World};
use std::io::Read;
use std::net::Shutdown;
use std::time::Duration;
use yarrowspoke_toy::Behaviour;

#[test]
fn a_call_is_passed_on_and_its_answer_comes_back_unchanged() {
    for behaviour in [Behaviour::Serve, Behaviour::ServeChunked] {
        let world = World::start(&[behaviour]);
        let mut client = world.client();
        for n in 0..3 {
            let answer = client.ask(&post(&format!("id-{n}"), "2.0")).unwrap();
            assert!(answer.start().contains(" 200 "), "{answer:?}");
            assert_eq!(answer.body, b"/comment|hello");
        }
        let seen = world.machines[0].seen();
        assert_eq!(seen.len(), 3);
        assert_eq!(seen[2].start(), "POST /comment HTTP/1.1");
        assert_eq!(seen[2].field("x-call-id"), Some("id-2"));
        let budget: f64 = seen[2].field("x-budget").unwrap().parse().unwrap();
        assert!(budget > 0.0 && budget <= 2.0);
    }
}

#[test]
fn what_never_ran_goes_elsewhere_and_what_may_have_run_twice_does_not() {
    // Danger: an effect that happens twice.
    let world = World::start(&[Behaviour::TurnAway, Behaviour::Serve]);
    let mut client = world.client();
    for n in 0..10 {
        let answer = client.ask(&post(&format!("a{n}"), "2.0")).unwrap();
        assert!(answer.start().contains(" 200 "), "{answer:?}");
    }
    assert_eq!(world.machines[1].seen().len(), 10);
    for machine in &world.machines {
        machine.behave(Behaviour::Break);
    }
    let before = world.seen();
    let answer = client.ask(&post("b", "2.0")).unwrap();
    // Failed, and not as a refusal: that would promise that trying again is harmless.
    assert!(answer.start().contains(" 502 "), "{answer:?}");
    assert_eq!(world.seen(), before + 1);
}

#[test]
fn a_machine_that_hangs_costs_no_answer() {
    let world = World::start(&[Behaviour::Hang]);
    let answer = world.client().ask(&post("c", "0.3")).unwrap();
    assert!(answer.start().contains(" 502 "), "{answer:?}");
    // Giving up closes the connection.
    until("the attempt's connection has ended", || world.machines[0].ended() == 1);
}

#[test]
fn a_client_that_leaves_takes_its_attempt_with_it() {
    let world = World::start(&[Behaviour::Hang]);
    let mut client = world.client();
    client.send(post("d", "5.0").as_bytes());
    until("the attempt is out", || world.seen() == 1);
    client.stream.shutdown(Shutdown::Both).unwrap();
    until("the attempt's connection has ended", || world.machines[0].ended() == 1);
}

#[test]
fn bad_input_gets_its_status_and_stalls_nobody() {
    let world = World::start(&[Behaviour::Serve]);
    let mut good = world.client();
    let long = format!("GET /article HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(9_000));
    let large = "POST /comment HTTP/1.1\r\nX-Call-Id: e\r\nContent-Length: 70000\r\n\r\n";
    for (bad, status) in [
        ("NONSENSE\r\n\r\n", " 400 "),
        ("GET /article HTTP/2.0\r\n\r\n", " 400 "),
        ("GET /article HTTP/1.1\r\nno colon\r\n\r\n", " 400 "),
        ("GET /article HTTP/1.1\r\nX-Call-Id: e\r\nX-Budget: soon\r\n\r\n", " 400 "),
        ("GET /article HTTP/1.1\r\n\r\n", " 400 "),
        ("GET /nothing HTTP/1.1\r\nX-Call-Id: e\r\n\r\n", " 404 "),
        (&long, " 431 "),
        (large, " 413 "),
    ] {
        let answer = world.client().ask(bad).unwrap();
        assert!(answer.start().contains(status), "{bad:.40}: {answer:?}");
        let answer = good.ask(&get("f", "1.0")).unwrap();
        assert_eq!(answer.body, b"/article/7?q=1|");
    }
    // One that stops in the midst of a request holds nobody up either.
    let mut halfway = world.client();
    halfway.send(b"POST /comment HTTP/1.1\r\nX-Call-Id: g\r\nContent-Length: 5\r\n\r\nhe");
    assert!(good.ask(&get("h", "1.0")).unwrap().start().contains(" 200 "));
    assert_eq!(world.machines[0].seen().len(), 9);
}

#[test]
fn bytes_that_come_one_by_one_make_a_request() {
    let world = World::start(&[Behaviour::Serve]);
    let mut client = world.client();
    for byte in post("i", "2.0").as_bytes() {
        client.send(&[*byte]);
    }
    assert_eq!(client.answer().unwrap().body, b"/comment|hello");
}

#[test]
fn a_machine_that_drains_gets_nothing_new() {
    let world = World::start(&[Behaviour::Serve, Behaviour::Serve]);
    let mut client = world.client();
    until("both machines serve", || {
        client.ask(&get("j", "1.0")).unwrap();
        world.machines.iter().all(|m| !m.seen().is_empty())
    });
    // The front watches: the first call answers at once, the next waits for news.
    until("the watch goes on", || world.discovery.watches() >= 2);
    world.discovery.list("s-0", world.machines[0].address, "draining", 41);
    // The watch that follows the change shows that the front has read it.
    until("the change is read", || world.discovery.watches() >= 3);
    let answer = client.ask(&get("k", "1.0")).unwrap();
    assert!(answer.start().contains(" 200 "));
    let before = world.machines[0].seen().len();
    for _ in 0..30 {
        client.ask(&get("l", "1.0")).unwrap();
    }
    assert_eq!(world.machines[0].seen().len(), before);
}

#[test]
fn the_platform_is_asked_again_after_it_hung_up() {
    let world = World::start(&[Behaviour::Serve]);
    let asked = || world.platform.calls().iter().filter(|c| *c == "NOTIFY").count();
    until("the front listens", || asked() == 1);
    world.platform.hang_up();
    until("it listens again", || asked() == 2);
}

#[test]
fn a_bad_build_is_voted_back() {
    let world = World::start(&[Behaviour::Serve, Behaviour::Serve]);
    let mut client = world.client();
    until("the front listens", || world.platform.calls().iter().any(|c| c == "NOTIFY"));
    // Enough calls that the earlier build is known, then a new one whose machine fails them.
    (0..60).for_each(|_| assert!(client.ask(&get("m", "1.0")).is_some()));
    world.machines[1].behave(Behaviour::Fail);
    world.discovery.list("s-1", world.machines[1].address, "up", 42);
    world.platform.tell("42 0 canary 1.0 0");
    until("the build is voted back", || {
        client.ask(&get("n", "1.0")).unwrap();
        world.platform.breathe();
        world.platform.calls().iter().any(|c| c == "BALLOT 42 0 abort")
    });
}

#[test]
fn at_the_limit_of_descriptors_idle_clients_make_room() {
    // Danger: clients keep the connections of a busy moment, and idle ones shut out those with requests.
    let world = World::with_sockets(&[Behaviour::Serve], 60);
    let mut kept: Vec<_> = (0..100).map(|_| world.client()).collect();
    for (n, client) in kept.iter_mut().enumerate() {
        let answer = client.ask(&get(&format!("o{n}"), "15.0")).unwrap();
        assert!(answer.start().contains(" 200 "), "client {n}: {answer:?}");
    }
}

#[test]
fn a_request_that_aged_unread_is_not_taken_for_a_fresh_one() {
    // Danger: work for a client that has gone, and an answer after its time.
    let world = World::with_sockets(&[Behaviour::Serve], 60);
    let mut halfway: Vec<_> = (0..40).map(|_| world.client()).collect();
    halfway.iter_mut().for_each(|c| c.send(b"GET /article HTTP/1.1\r\n"));
    let mut late = world.client();
    late.send(get("late", "0.3").as_bytes());
    std::thread::sleep(Duration::from_millis(800));
    drop(halfway);
    let answer = late.answer().unwrap();
    assert!(answer.start().contains(" 503 "), "{answer:?}");
    assert_eq!(world.seen(), 0);
    // On the same connection the next one is fresh.
    assert!(late.ask(&get("next", "5.0")).unwrap().start().contains(" 200 "));
}

#[test]
fn a_stop_answers_all_and_ends_kept_connections_between_requests() {
    let mut world = World::start(&[Behaviour::Hang, Behaviour::Hang]);
    let mut idle = world.client();
    assert!(idle.ask("GET /up HTTP/1.1\r\n\r\n").is_some());
    let mut busy = world.client();
    busy.send(post("p", "1.5").as_bytes());
    until("the request is out", || world.seen() == 1);
    world.stop();
    assert!(idle.is_closed());
    // New connections keep coming for a while: they are served, and told that no more will be.
    let mut late = world.client();
    let answer = late.ask("GET /up HTTP/1.1\r\n\r\n").unwrap();
    assert!(answer.start().contains(" 503 "), "{answer:?}");
    let answer = busy.answer().unwrap();
    assert!(answer.start().contains(" 502 "), "{answer:?}");
    assert_eq!(answer.field("connection"), Some("close"));
    assert!(busy.is_closed());
    drop(late);
    assert!(world.front.wait().unwrap().success());
}

#[test]
fn a_configuration_that_cannot_be_used_names_the_field() {
    let good =
        include_str!("../../../examples/config.json").replace("127.0.0.1:5000", &free_port().to_string());
    for (from, to, field) in [
        (r#""seed": "8c1f30d27a5be964""#, r#""seed": "xyz""#, "seed"),
        (r#""sockets": 1024"#, r#""sockets": "many""#, "limits.sockets"),
        (r#""State": "stable""#, r#""State": "odd""#, "rollouts.news"),
        (r#""MaxAttempts": 4"#, r#""MaxAttempts": -4"#, "settings.Bounds.MaxAttempts"),
        (r#""discovery": "127.0.0.1:8500""#, r#""discovery": "here""#, "discovery"),
    ] {
        let bad = good.replace(from, to);
        assert_ne!(bad, good);
        let mut front = spawn(&bad);
        assert!(!front.wait().unwrap().success());
        let mut text = String::new();
        front.stderr.take().unwrap().read_to_string(&mut text).unwrap();
        assert!(text.contains(&format!("field {field}:")), "{field}: {text}");
    }
}
