//! What tells one request from another: the call id names one sending, the idempotency key what its client wants to happen
//! once, and the key in the query a subject that many requests share.

mod common;

use common::{get, temp_file, unique_id, wait_until, TestEnvironment};
use std::path::PathBuf;
use yarrowspoke_front::call_ids::CallIds;
use yarrowspoke_toy::{Behaviour, Message};

const ONCE: &str = r#""Effect": "once""#;
const KEYED: &str = r#""Effect": "by_key", "DedupScope": "all", "WindowUs": 5000000"#;
const TENANT: &str = r#"{"Name": "acme", "QuotaRps": 100.0, "Share": 1.0}"#;
const TENANTS: &str = r#"{"Name": "acme", "QuotaRps": 100.0, "Share": 0.5}, {"Name": "zenith", "QuotaRps": 100.0, "Share": 0.5}"#;

/// A comment, in the parts by which it may be told from another.
#[derive(Clone)]
struct Comment {
    call_id: String,
    idempotency_key: Option<&'static str>,
    caller: &'static str,
    target: &'static str,
    body: &'static str,
}

impl Comment {
    /// Returns a comment with a new call id, on a subject that all comments of these tests share.
    fn new(idempotency_key: Option<&'static str>) -> Self {
        Self {
            call_id: unique_id(),
            idempotency_key,
            caller: "acme",
            target: "/comment?key=77",
            body: "hello",
        }
    }

    /// Returns the comment as its client sends it again.
    fn again(&self) -> Self {
        Self { call_id: unique_id(), ..self.clone() }
    }

    fn request(&self) -> String {
        let Self { call_id, caller, target, body, .. } = self;
        let key = self.idempotency_key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        format!(
            "POST {target} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {call_id}\r\nX-Caller: {caller}\r\nX-Budget: 4.0\r\n{key}\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

fn directory() -> PathBuf {
    let path = temp_file("store", "");
    std::fs::remove_file(&path).unwrap();
    std::fs::create_dir(&path).unwrap();
    path
}

/// A front with a store, where comments are of a keyed class or may run once only.
fn start(effect: &str) -> TestEnvironment {
    let operator = format!("(store (directory \"{}\") (delay 0))", directory().display());
    let mut change = include_str!("../../../examples/config.json").to_owned();
    let from = change.split_off(change.find(ONCE).unwrap());
    let from = &from[..from.find(TENANT).unwrap() + TENANT.len()];
    let to = from.replacen(ONCE, effect, 1).replace(TENANT, TENANTS);
    TestEnvironment::with_rules_and_config_change(&[Behaviour::Serve], &operator, from, &to)
}

fn send(environment: &TestEnvironment, comment: &Comment) -> Message {
    environment.client().request(&comment.request()).expect("an answer")
}

/// Returns the status of the answer, and whether the comment came to the machine by this sending.
fn outcome(environment: &TestEnvironment, comment: &Comment) -> (u16, bool) {
    let before = environment.seen();
    let status = send(environment, comment).start().split(' ').nth(1).unwrap().parse().unwrap();
    (status, environment.seen() > before)
}

#[test]
fn comments_that_share_a_subject_are_each_sent() {
    // The ledger knew a comment of a keyed class by its subject, so other comments on it got the answer to the first.
    let environment = start(KEYED);
    for key in [Some("k1"), Some("k2"), None, None, Some("k3")] {
        assert_eq!(outcome(&environment, &Comment::new(key)), (200, true), "{key:?}");
    }
}

#[test]
fn a_true_repeat_gets_its_stored_answer_and_is_not_sent_again() {
    let mut environment = start(KEYED);
    let comment = Comment::new(Some("k1"));
    let first = send(&environment, &comment);
    assert!(first.start().contains(" 200 "), "{first:?}");
    for again in [comment.again(), comment.again(), comment.clone()] {
        let answer = send(&environment, &again);
        assert_eq!((answer.start(), &answer.body), (first.start(), &first.body));
    }
    environment.kill();
    environment.restart();
    assert_eq!(send(&environment, &comment.again()).body, first.body);
    assert_eq!(environment.seen(), 1);
}

#[test]
fn a_key_that_comes_again_with_another_content_is_an_error() {
    // The stored answer would be that to another request, and a refusal would invite the client to try for ever.
    let mut environment = start(KEYED);
    let first = Comment::new(Some("k1"));
    assert_eq!(outcome(&environment, &first), (200, true));
    let others = [
        Comment { body: "other", ..first.again() },
        Comment { target: "/comment?key=78", ..first.again() },
        Comment { target: "/comment/7?key=77", ..first.again() },
    ];
    for other in &others {
        assert_eq!(outcome(&environment, other), (422, false), "{}", other.target);
    }
    environment.kill();
    environment.restart();
    assert_eq!(outcome(&environment, &others[0].again()), (422, false));
    assert_eq!(outcome(&environment, &first.again()), (200, false));
}

#[test]
fn a_key_belongs_to_its_tenant() {
    let environment = start(KEYED);
    for caller in ["acme", "zenith"] {
        let comment = Comment { caller, ..Comment::new(Some("k1")) };
        assert_eq!(outcome(&environment, &comment), (200, true), "{caller}");
        assert_eq!(outcome(&environment, &comment.again()), (200, false), "{caller}");
    }
}

#[test]
fn a_call_id_that_comes_again_for_another_request_is_an_error() {
    let environment = start(ONCE);
    let first = Comment::new(None);
    assert_eq!(outcome(&environment, &first), (200, true));
    assert_eq!(outcome(&environment, &first), (200, false));
    assert_eq!(outcome(&environment, &Comment { body: "other", ..first.clone() }), (422, false));
    // Under another idempotency key the ledger would take it for a new request, and the id would run twice.
    let environment = start(KEYED);
    let first = Comment::new(Some("k1"));
    assert_eq!(outcome(&environment, &first), (200, true));
    let other = Comment { idempotency_key: Some("k2"), ..first.clone() };
    assert_eq!(outcome(&environment, &other), (409, false));
}

#[test]
fn an_id_that_is_used_again_is_remembered_from_its_last_answer() {
    // It was forgotten with its first answer, and could then be used for another request.
    let ids = CallIds::default();
    drop(ids.open("used again", Some(1)));
    (0..32_000).for_each(|n| drop(ids.open(&n.to_string(), None)));
    drop(ids.open("used again", Some(1)));
    (32_000..33_000).for_each(|n| drop(ids.open(&n.to_string(), None)));
    assert!(ids.open("used again", None).is_none() && ids.open("used again", Some(2)).is_none());
    assert!(ids.open("used again", Some(1)).is_some());
}

#[test]
fn an_id_whose_client_left_does_not_run_again_after_many_requests_that_no_machine_gets() {
    // A client that sent some thousand requests with no time left made the front forget the ids of all others, so a comment
    // ran a second time when it came again.
    const REQUESTS: usize = 5_000;
    let environment = TestEnvironment::start(&[Behaviour::Hang]);
    let comment = Comment::new(None);
    let mut client = environment.client();
    client.send(comment.request().as_bytes());
    wait_until("the machine got the comment", || environment.seen() == 1);
    drop(client);
    let mut other = environment.client();
    for _ in 0..REQUESTS {
        let answer = other.request(&get(&unique_id(), "0.0")).expect("an answer");
        assert!(!answer.start().contains(" 200 "), "{answer:?}");
    }
    assert_eq!(outcome(&environment, &comment), (409, false));
}

#[test]
fn an_id_whose_client_left_does_not_run_again_after_many_requests_that_may_be_repeated() {
    // Readers at full speed made the front forget the ids of comments within seconds, so a comment ran a second time when it
    // came again.
    const READERS: usize = 4;
    const REQUESTS: usize = 8_500;
    let (from, to) = (r#""QuotaRps": 100.0"#, r#""QuotaRps": 1000000.0"#);
    let environment = TestEnvironment::with_config_change(&[Behaviour::Serve], from, to);
    let comment = Comment::new(None);
    let mut client = environment.client();
    client.send(comment.request().as_bytes());
    wait_until("the machine got the comment", || environment.seen() == 1);
    drop(client);
    std::thread::scope(|scope| {
        for _ in 0..READERS {
            let mut reader = environment.client();
            scope.spawn(move || {
                let mut answers = (0..2 * REQUESTS).map(|_| reader.request(&get(&unique_id(), "2.0")));
                let is_served = |answer: &Option<Message>| answer.as_ref().unwrap().start().contains(" 200 ");
                assert_eq!(answers.by_ref().filter(is_served).take(REQUESTS).count(), REQUESTS);
            });
        }
    });
    assert_eq!(outcome(&environment, &comment), (409, false));
}
