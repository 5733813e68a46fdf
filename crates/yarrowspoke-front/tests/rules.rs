//! The operators' rules through the started program, over loopback sockets. No verdict hangs on speed.

mod common;

use common::{get, post, unique_id, wait_until, Client, TestEnvironment};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use yarrowspoke_toy::{Behaviour, Message};

fn rules(inner: &str) -> String {
    format!("(rules {inner})")
}

fn ask(client: &mut Client, target: &str, more: &str) -> Message {
    let id = unique_id();
    let head = format!("GET {target} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget: 2.0\r\n{more}\r\n");
    client.request(&head).unwrap()
}

#[test]
fn what_is_marked_once_is_never_sent_twice_though_its_class_is_safe() {
    // Danger: a GET that counts. Machines reset after they took it; a safe class would be sent again.
    let world = TestEnvironment::with_rules(
        &[Behaviour::Break, Behaviour::Break, Behaviour::Break],
        &rules("(rule counts (when \"query['vote'].orValue('') != ''\") (effect once))"),
    );
    let mut client = world.client();
    for n in 1..=20 {
        let answer = ask(&mut client, "/article/7?vote=yes", "");
        assert!(answer.start().contains(" 502 "), "{answer:?}");
        assert_eq!(world.seen(), n);
    }
    let answer = ask(&mut client, "/article/7", "");
    assert!(answer.start().contains(" 50"), "{answer:?}");
    assert!(world.seen() > 21, "without the mark it is sent again");
}

#[test]
fn attempts_are_capped_and_a_refusal_comes_from_no_machine() {
    let world = TestEnvironment::with_rules(
        &[Behaviour::TurnAway, Behaviour::TurnAway, Behaviour::TurnAway, Behaviour::TurnAway],
        &rules(
            "(rule two (when \"segments[1].orValue('') == 'two'\") (attempts 2))
             (rule shut (when \"path.startsWith('/article/shut')\") (refuse 0.4))
             (rule gone (when \"class == 'comment' && headers['X-App'].orValue('') == 'old'\") (refuse 0))",
        ),
    );
    let mut client = world.client();
    let answer = ask(&mut client, "/article/two", "");
    assert!(answer.start().contains(" 503 "), "{answer:?}");
    assert_eq!(world.seen(), 2);
    let answer = ask(&mut client, "/article/shut/7", "");
    assert_eq!((answer.start().contains(" 503 "), answer.field("retry-after")), (true, Some("0.400")));
    let answer =
        client.request(&post(&unique_id(), "2.0").replace("Host: h", "Host: h\r\nx-app: old")).unwrap();
    assert_eq!((answer.start().contains(" 503 "), answer.field("retry-after")), (true, None));
    assert_eq!(world.seen(), 2);
    // A header that rules read stands twice, in another case: each reader might believe another.
    let twice = post(&unique_id(), "2.0").replace("Host: h", "Host: h\r\nX-App: new\r\nx-aPP: old");
    let answer = world.client().request(&twice).unwrap();
    assert!(answer.start().contains(" 400 "), "{answer:?}");
    assert_eq!(world.seen(), 2);
}

#[test]
fn a_limit_by_section_refuses_with_a_time_to_come_back() {
    let world = TestEnvironment::with_rules(
        &[Behaviour::Serve],
        &rules(
            "(rule sections (when \"class == 'article'\")
                  (limit (key \"segments[1].orValue('')\") (rate 0.01) (burst 3)))",
        ),
    );
    let mut client = world.client();
    for section in ["sport", "news", "live"] {
        for n in 0..8 {
            let answer = ask(&mut client, &format!("/article/{section}/{n}"), "");
            // Three at once, then one in 100 s: each further one is told a later time, cut to what clients honour.
            assert_eq!(answer.start().contains(" 200 "), n < 3, "{section} {n}: {answer:?}");
            assert_eq!(answer.field("retry-after").is_some(), n >= 3);
        }
    }
    assert_eq!(world.seen(), 9);
    // Other classes are under no limit.
    for _ in 0..8 {
        assert!(client.request(&post(&unique_id(), "2.0")).unwrap().start().contains(" 200 "));
    }
}

#[test]
fn requests_over_the_rules_bounds_are_answered_before_them() {
    let world = TestEnvironment::with_rules(
        &[Behaviour::Serve],
        &rules("(target 32) (header 8) (rule r (when \"headers['x-a'].orValue('') == 'b'\") (attempts 1))"),
    );
    let mut client = world.client();
    let long = format!("/article/{}", "x".repeat(30));
    assert!(ask(&mut client, &long, "").start().contains(" 414 "));
    assert!(ask(&mut client, "/article/1", "X-A: 123456789\r\n").start().contains(" 431 "));
    assert!(ask(&mut client, "/article/1", "X-B: 123456789\r\n").start().contains(" 200 "));
    assert_eq!(world.seen(), 1);
}

#[test]
fn a_reload_swaps_the_set_as_a_whole_and_a_bad_file_changes_nothing() {
    // Two sets that each pass one half of the sections and refuse the other: a request that met parts of both would be
    // refused or passed twice over.
    let set = |shut: &str, marked: &str| {
        rules(&format!(
            "(order all)
             (rule shut (when \"segments[1].orValue('') == '{shut}'\") (refuse 0.25))
             (rule marked (when \"segments[1].orValue('') == '{marked}'\") (attempts 1))"
        ))
    };
    let world = Arc::new(TestEnvironment::with_rules(&[Behaviour::Serve, Behaviour::Serve], &set("a", "b")));
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (world, over) = (Arc::clone(&world), Arc::clone(&over));
            std::thread::spawn(move || {
                let mut client = world.client();
                let (mut asked, mut answers) = (0, [0usize; 2]);
                while !over.load(Ordering::Relaxed) && asked < 100_000 {
                    for section in ["a", "b"] {
                        let answer = ask(&mut client, &format!("/article/{section}"), "");
                        let served = answer.start().contains(" 200 ");
                        assert!(served || answer.start().contains(" 503 "), "{answer:?}");
                        answers[usize::from(served)] += 1;
                        asked += 1;
                    }
                }
                (asked, answers)
            })
        })
        .collect();
    let mut client = world.client();
    let mut shut =
        |section: &str| ask(&mut client, &format!("/article/{section}"), "").start().contains(" 503 ");
    for turn in 0..12 {
        let (now_shut, now_open) = if turn % 2 == 0 { ("b", "a") } else { ("a", "b") };
        world.reload_rules(&set(now_shut, now_open));
        wait_until("the new set is in force", || shut(now_shut));
        assert!(!shut(now_open), "of two sets one is in force");
        if turn % 3 == 0 {
            world.reload_rules("(rules (rule broken (when \"clas == 1\") (effect once)))");
            assert!(shut(now_shut) && !shut(now_open), "a bad file changed something");
        }
    }
    over.store(true, Ordering::Relaxed);
    for client in clients {
        let (asked, answers) = client.join().unwrap();
        assert_eq!(asked, answers[0] + answers[1], "every request had one answer");
        assert!(answers[0] > 0 && answers[1] > 0);
    }
}

#[test]
fn a_rule_that_would_loosen_an_effect_starts_nothing() {
    let file = common::temp_file("loosen", "(rules (rule r (when \"true\") (class article)))");
    let out = common::run_program(&["serve", "--operator", file.to_str().unwrap()]);
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success(), "{error}");
    assert!(error.contains(":1:8: found class article for requests of class comment"), "{error}");
}

#[test]
fn explain_tells_which_rules_hold_their_parts_the_cost_and_the_bound() {
    let text = "(rules (order all)
      (rule live (when \"segments[1].orValue('') == 'live' && budget < 1s\") (attempts 1) (subject \"segments[1].orValue('')\"))
      (rule never (when \"class == 'comment'\") (effect once))
      (rule app (when \"headers['x-app'].orValue('').startsWith('go')\") (zone a)))";
    let file = common::temp_file("explain", text);
    let request = common::temp_file(
        "request",
        &get("7", "0.5")
            .replace("/article/7?q=1", "/article/live/3")
            .replace("Host: h", "Host: h\r\nX-App: gopher"),
    );
    let config = common::root().join("examples/config.json");
    let args = ["explain", file.to_str().unwrap(), "--request", request.to_str().unwrap()];
    let out = common::run_program(&[&args[..], &["--config", config.to_str().unwrap()]].concat());
    let told = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{out:?}");
    for line in [
        "rule live: holds",
        "segments[1].orValue('') == 'live'  =  true",
        "budget < 1s  =  true",
        "rule app: holds",
        "2 of 3 rules apply to it",
        "at most 1 attempts",
        "prefers zone a",
        "steps, the bound is",
    ] {
        assert!(told.contains(line), "{line}: {told}");
    }
    assert!(!told.contains("rule never"), "{told}");
    let all = common::run_program(&[&args[..], &["--all"]].concat());
    let told = String::from_utf8_lossy(&all.stdout).into_owned();
    assert!(told.contains("rule never: does not hold, and was not evaluated"), "{told}");
    let cut = common::temp_file("cut", "GET /article HTTP/1.1\r\nX-Call-Id: 1\r\n");
    let out = common::run_program(&["explain", file.to_str().unwrap(), "--request", cut.to_str().unwrap()]);
    assert!(!out.status.success() && String::from_utf8_lossy(&out.stderr).contains("cut short"), "{out:?}");
}

#[test]
fn check_tells_the_bound_and_what_is_odd() {
    let text = "(rules
      (rule a (when \"class == 'article'\") (refuse 1))
      (rule b (when \"class == 'article' && repeat\") (effect once))
      (rule c (when \"class == 'comment'\") (refuse 1)))";
    let file = common::temp_file("odd", text);
    let config = common::root().join("examples/config.json");
    let out = common::run_program(&["check", file.to_str().unwrap(), "--config", config.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{out:?}");
    for line in ["rules: 3, at most", ":3:7: rule b is never reached: rule a", "every request is refused"] {
        assert!(told.contains(line), "{line}: {told}");
    }
}

#[test]
fn the_examples_are_right() {
    let config = common::root().join("examples/config.json");
    for name in ["rules.sexp", "quiet.sexp"] {
        let file = common::root().join("examples").join(name);
        let out =
            common::run_program(&["check", file.to_str().unwrap(), "--config", config.to_str().unwrap()]);
        let told = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(out.status.success() && !told.contains("warning"), "{name}: {out:?}");
    }
}
