//! The operators' rules in the running program, over loopback sockets. No result depends on the speed of the machine.

mod common;

use common::{get, post, unique_id, wait_until, Client, TestEnvironment};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use yarrowspoke_toy::{Behaviour, Message};

fn rules(inner: &str) -> String {
    format!("(rules {inner})")
}

fn send_get(client: &mut Client, target: &str, headers: &str) -> Message {
    let id = unique_id();
    let head = format!("GET {target} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget: 2.0\r\n{headers}\r\n");
    client.request(&head).unwrap()
}

#[test]
fn a_request_marked_once_is_never_sent_twice_even_if_its_class_is_idempotent() {
    // A GET with an effect, such as one that counts votes. The machines reset the connection after reading the request; without
    // the mark a request of an idempotent class is sent again.
    let environment = TestEnvironment::with_rules(
        &[Behaviour::Break, Behaviour::Break, Behaviour::Break],
        &rules("(rule counts (when \"query['vote'].orValue('') != ''\") (effect once))"),
    );
    let mut client = environment.client();
    for n in 1..=20 {
        let answer = send_get(&mut client, "/article/7?vote=yes", "");
        assert!(answer.start().contains(" 502 "), "{answer:?}");
        assert_eq!(environment.seen(), n);
    }
    let answer = send_get(&mut client, "/article/7", "");
    assert!(answer.start().contains(" 50"), "{answer:?}");
    assert!(environment.seen() > 21, "without the mark it is sent again");
}

#[test]
fn attempts_are_limited_and_a_refused_request_reaches_no_machine() {
    let environment = TestEnvironment::with_rules(
        &[Behaviour::TurnAway, Behaviour::TurnAway, Behaviour::TurnAway, Behaviour::TurnAway],
        &rules(
            "(rule two (when \"segments[1].orValue('') == 'two'\") (attempts 2))
             (rule shut (when \"path.startsWith('/article/shut')\") (refuse 0.4))
             (rule gone (when \"class == 'comment' && headers['X-App'].orValue('') == 'old'\") (refuse 0))",
        ),
    );
    let mut client = environment.client();
    let answer = send_get(&mut client, "/article/two", "");
    assert!(answer.start().contains(" 503 "), "{answer:?}");
    assert_eq!(environment.seen(), 2);
    let answer = send_get(&mut client, "/article/shut/7", "");
    assert_eq!((answer.start().contains(" 503 "), answer.field("retry-after")), (true, Some("0.400")));
    let answer =
        client.request(&post(&unique_id(), "2.0").replace("Host: h", "Host: h\r\nx-app: old")).unwrap();
    assert_eq!((answer.start().contains(" 503 "), answer.field("retry-after")), (true, None));
    assert_eq!(environment.seen(), 2);
    // A header that rules read occurs twice, in different case: each reader might use another value, so it is refused.
    let twice = post(&unique_id(), "2.0").replace("Host: h", "Host: h\r\nX-App: new\r\nx-aPP: old");
    let answer = environment.client().request(&twice).unwrap();
    assert!(answer.start().contains(" 400 "), "{answer:?}");
    assert_eq!(environment.seen(), 2);
}

#[test]
fn a_limit_by_section_refuses_with_retry_after() {
    let environment = TestEnvironment::with_rules(
        &[Behaviour::Serve],
        &rules(
            "(rule sections (when \"class == 'article'\")
                  (limit (key \"segments[1].orValue('')\") (rate 0.01) (burst 3)))",
        ),
    );
    let mut client = environment.client();
    for section in ["sport", "news", "live"] {
        for n in 0..8 {
            let answer = send_get(&mut client, &format!("/article/{section}/{n}"), "");
            // Three pass at once, then one every 100 s. Each further refusal has a later Retry-After, capped at the longest that
            // clients honour.
            assert_eq!(answer.start().contains(" 200 "), n < 3, "{section} {n}: {answer:?}");
            assert_eq!(answer.field("retry-after").is_some(), n >= 3);
        }
    }
    assert_eq!(environment.seen(), 9);
    // Other classes have no limit.
    for _ in 0..8 {
        assert!(client.request(&post(&unique_id(), "2.0")).unwrap().start().contains(" 200 "));
    }
}

#[test]
fn requests_over_the_bounds_are_refused_before_any_rule() {
    let environment = TestEnvironment::with_rules(
        &[Behaviour::Serve],
        &rules("(target 32) (header 8) (rule r (when \"headers['x-a'].orValue('') == 'b'\") (attempts 1))"),
    );
    let mut client = environment.client();
    let long = format!("/article/{}", "x".repeat(30));
    assert!(send_get(&mut client, &long, "").start().contains(" 414 "));
    assert!(send_get(&mut client, "/article/1", "X-A: 123456789\r\n").start().contains(" 431 "));
    assert!(send_get(&mut client, "/article/1", "X-B: 123456789\r\n").start().contains(" 200 "));
    assert_eq!(environment.seen(), 1);
}

#[test]
fn a_reload_replaces_the_whole_rule_set_and_a_faulty_file_changes_nothing() {
    // Two rule sets that each pass one of two sections and refuse the other. With parts of both in force at the same time, both
    // sections would be refused or both would pass.
    let rule_set = |refused: &str, limited: &str| {
        rules(&format!(
            "(order all)
             (rule shut (when \"segments[1].orValue('') == '{refused}'\") (refuse 0.25))
             (rule marked (when \"segments[1].orValue('') == '{limited}'\") (attempts 1))"
        ))
    };
    let environment =
        Arc::new(TestEnvironment::with_rules(&[Behaviour::Serve, Behaviour::Serve], &rule_set("a", "b")));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (environment, stop) = (Arc::clone(&environment), Arc::clone(&stop));
            std::thread::spawn(move || {
                let mut client = environment.client();
                let (mut requests, mut answers) = (0, [0usize; 2]);
                while !stop.load(Ordering::Relaxed) && requests < 100_000 {
                    for section in ["a", "b"] {
                        let answer = send_get(&mut client, &format!("/article/{section}"), "");
                        let served = answer.start().contains(" 200 ");
                        assert!(served || answer.start().contains(" 503 "), "{answer:?}");
                        answers[usize::from(served)] += 1;
                        requests += 1;
                    }
                }
                (requests, answers)
            })
        })
        .collect();
    let mut client = environment.client();
    let mut is_refused =
        |section: &str| send_get(&mut client, &format!("/article/{section}"), "").start().contains(" 503 ");
    for turn in 0..12 {
        let (now_refused, now_passed) = if turn % 2 == 0 { ("b", "a") } else { ("a", "b") };
        environment.reload_rules(&rule_set(now_refused, now_passed));
        wait_until("the new set is in force", || is_refused(now_refused));
        assert!(!is_refused(now_passed), "parts of two rule sets are in force");
        if turn % 3 == 0 {
            environment.reload_rules("(rules (rule broken (when \"clas == 1\") (effect once)))");
            assert!(is_refused(now_refused) && !is_refused(now_passed), "a faulty file changed the rules");
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let (requests, answers) = client.join().unwrap();
        assert_eq!(requests, answers[0] + answers[1], "every request had one answer");
        assert!(answers[0] > 0 && answers[1] > 0);
    }
}

#[test]
fn the_program_does_not_start_with_a_rule_that_weakens_an_effect() {
    let file = common::temp_file("loosen", "(rules (rule r (when \"true\") (class article)))");
    let out = common::run_program(&["serve", "--operator", file.to_str().unwrap()]);
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success(), "{error}");
    assert!(error.contains(":1:8: found class article for requests of class comment"), "{error}");
}

#[test]
fn explain_prints_which_rules_hold_their_parts_the_cost_and_the_bound() {
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
    let output = String::from_utf8_lossy(&out.stdout).into_owned();
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
        assert!(output.contains(line), "{line}: {output}");
    }
    assert!(!output.contains("rule never"), "{output}");
    let all = common::run_program(&[&args[..], &["--all"]].concat());
    let output = String::from_utf8_lossy(&all.stdout).into_owned();
    assert!(output.contains("rule never: does not hold, and was not evaluated"), "{output}");
    let cut = common::temp_file("cut", "GET /article HTTP/1.1\r\nX-Call-Id: 1\r\n");
    let out = common::run_program(&["explain", file.to_str().unwrap(), "--request", cut.to_str().unwrap()]);
    assert!(!out.status.success() && String::from_utf8_lossy(&out.stderr).contains("cut short"), "{out:?}");
}

#[test]
fn check_prints_the_bound_and_warnings() {
    let text = "(rules
      (rule a (when \"class == 'article'\") (refuse 1))
      (rule b (when \"class == 'article' && repeat\") (effect once))
      (rule c (when \"class == 'comment'\") (refuse 1)))";
    let file = common::temp_file("odd", text);
    let config = common::root().join("examples/config.json");
    let out = common::run_program(&["check", file.to_str().unwrap(), "--config", config.to_str().unwrap()]);
    let output = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{out:?}");
    for line in ["rules: 3, at most", ":3:7: rule b is never reached: rule a", "every request is refused"] {
        assert!(output.contains(line), "{line}: {output}");
    }
}

#[test]
fn the_examples_are_valid() {
    let config = common::root().join("examples/config.json");
    for name in ["rules.sexp", "quiet.sexp"] {
        let file = common::root().join("examples").join(name);
        let out =
            common::run_program(&["check", file.to_str().unwrap(), "--config", config.to_str().unwrap()]);
        let output = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(out.status.success() && !output.contains("warning"), "{name}: {out:?}");
    }
}
