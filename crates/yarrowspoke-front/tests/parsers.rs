//! Tests of the parsers with input split at any point, with random bytes and at their limits. The seed is fixed, so every run
//! gives the same result.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use yarrowspoke::interface::{MachineState, Phase, Vote};
use yarrowspoke_front::net::http::{Decoder, Framing, FromHead, HttpError, RawHead, BODY_LIMIT, HEAD_LIMIT};
use yarrowspoke_front::net::list;
use yarrowspoke_front::net::machines::parse_load_report;
use yarrowspoke_front::net::platform::{decode, Ballot, LineDecoder, PlatformLine, Refusal, RolloutState};
use yarrowspoke_settings::Names;

#[derive(Debug, PartialEq)]
struct Head {
    start: Vec<String>,
    mark: Option<String>,
}

impl FromHead for Head {
    type Context = ();
    const STRICT: bool = true;

    fn default_framing(&self) -> Option<Framing> {
        Some(Framing::Length(0))
    }

    fn from_head(head: &RawHead, _: &()) -> Result<Self, HttpError> {
        let start = head.start_line.iter().map(|s| (*s).to_owned()).collect();
        Ok(Self { start, mark: head.field("x-mark").map(str::to_owned) })
    }
}

fn decoded(parts: &[&[u8]]) -> Result<Vec<(Head, Vec<u8>)>, HttpError> {
    let (mut decoder, mut all) = (Decoder::<Head>::new(BODY_LIMIT), Vec::new());
    for part in parts {
        decoder.feed(part);
        while let Some(message) = decoder.next_message()? {
            all.push(message);
        }
    }
    Ok(all)
}

fn fixed(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(fixed(256))]

    #[test]
    fn messages_come_out_the_same_however_the_bytes_are_cut(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..4),
        chunked in any::<bool>(),
        cuts in prop::collection::vec(1usize..40, 1..60),
    ) {
        let mut bytes = Vec::new();
        for (n, body) in bodies.iter().enumerate() {
            bytes.extend_from_slice(format!("POST /c?n={n} HTTP/1.1\r\nX-Mark:  m{n} \r\n").as_bytes());
            if chunked {
                bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
                for part in body.chunks(7) {
                    bytes.extend_from_slice(format!("{:X};x=1\r\n", part.len()).as_bytes());
                    bytes.extend_from_slice(part);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\nTrailer: t\r\n\r\n");
            } else {
                bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
                bytes.extend_from_slice(body);
            }
        }
        let (mut parts, mut rest, mut n) = (Vec::new(), &bytes[..], 0);
        while !rest.is_empty() {
            let (part, after) = rest.split_at(cuts[n % cuts.len()].min(rest.len()));
            parts.push(part);
            (rest, n) = (after, n + 1);
        }
        let got = decoded(&parts).unwrap();
        prop_assert_eq!(got.len(), bodies.len());
        for (n, (head, body)) in got.iter().enumerate() {
            prop_assert_eq!(&head.start[1], &format!("/c?n={n}"));
            prop_assert_eq!(&head.mark, &Some(format!("m{n}")));
            prop_assert_eq!(body, &bodies[n]);
        }
    }

    #[test]
    fn noise_never_panics_and_never_piles_up(parts in prop::collection::vec(
        prop::collection::vec(prop_oneof![any::<u8>(), Just(b'\r'), Just(b'\n'), Just(b':')], 0..200), 0..40,
    )) {
        let mut decoder = Decoder::<Head>::new(100);
        for part in &parts {
            decoder.feed(part);
            if decoder.next_message().is_err() {
                break;
            }
        }
        let _ = decoder.finish();
        let mut lines = LineDecoder::default();
        for part in &parts {
            lines.feed(part);
            while let Ok(Some(line)) = lines.line() {
                let _ = decode(line);
            }
        }
        let text = parts.concat();
        let _ = list::decode(&text, &Names::default());
        let _ = parse_load_report(&String::from_utf8_lossy(&text), &["a".to_owned()]);
    }

    #[test]
    fn states_survive_the_way_over_the_line(build in any::<u16>(), stage in any::<u8>(), cap in 0.0..=1.0f64, ms in 0u32..9_000_000) {
        let line = format!("* progress {build} {stage} reverting {cap} {ms}");
        let age = u64::from(ms) * 1_000;
        let state = RolloutState { build, stage, phase: Phase::RollingBack, cap, age };
        prop_assert_eq!(decode(line.as_bytes()), Ok(PlatformLine::Progress(state)));
    }
}

#[test]
fn two_framings_or_two_lengths_are_refused() {
    // Two readers that disagree on where a message ends would take bytes of one message for another.
    for fields in [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: +3",
        "Transfer-Encoding: gzip, chunked",
    ] {
        let bytes = format!("GET / HTTP/1.1\r\n{fields}\r\n\r\nabcd");
        assert_eq!(decoded(&[bytes.as_bytes()]), Err(HttpError::Framing), "{fields}");
    }
    for head in [
        "GET / HTTP/1.1\r\n: x\r\n\r\n",
        "GET / HTTP/1.1\r\nA b: x\r\n\r\n",
        "GET / HTTP/1.1\r\n folded\r\n\r\n",
    ] {
        assert_eq!(decoded(&[head.as_bytes()]), Err(HttpError::HeaderField), "{head}");
    }
}

#[test]
fn what_is_too_large_is_refused_before_it_is_held() {
    let long = vec![b'a'; HEAD_LIMIT + 1];
    assert_eq!(decoded(&[&long]), Err(HttpError::HeadTooLarge));
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", BODY_LIMIT + 1);
    assert_eq!(decoded(&[head.as_bytes()]), Err(HttpError::BodyTooLarge));
    let chunk = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n";
    assert_eq!(decoded(&[chunk.as_bytes()]), Err(HttpError::BodyTooLarge));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65));
    assert_eq!(decoded(&[many.as_bytes()]), Err(HttpError::HeadTooLarge));
    let mut lines = LineDecoder::default();
    lines.feed(&[b'x'; 9_000]);
    assert!(lines.line().is_err());
}

#[test]
fn empty_lines_before_a_message_count_up_to_a_limit_and_anew_behind_it() {
    // Without a limit a sender of empty lines alone is read for as long as it sends.
    let blank = "\r\n".repeat(HEAD_LIMIT / 2);
    let message = format!("{blank}GET / HTTP/1.1\r\n\r\n");
    assert_eq!(decoded(&[message.as_bytes(), message.as_bytes()]).map(|messages| messages.len()), Ok(2));
    let parts = [blank.as_bytes(), b"\r".as_slice(), b"\n"];
    assert_eq!(decoded(&parts), Err(HttpError::HeadTooLarge));
    let mut decoder = Decoder::<Head>::new(100);
    decoder.feed(blank.as_bytes());
    assert_eq!(decoder.skip_blank_lines(), Ok(()));
    decoder.feed(b"\n");
    assert_eq!(decoder.skip_blank_lines(), Err(HttpError::HeadTooLarge));
}

#[test]
fn the_platforms_words_mean_what_its_page_says() {
    assert_eq!(decode(b"*"), Ok(PlatformLine::Heartbeat));
    assert_eq!(decode(b"OK"), Ok(PlatformLine::Accepted(None)));
    let state = RolloutState { build: 42, stage: 1, phase: Phase::Trial, cap: 0.28, age: 310_000 };
    assert_eq!(decode(b"OK 42 1 canary 0.28 310"), Ok(PlatformLine::Accepted(Some(state))));
    assert_eq!(decode(b"ERR limit"), Ok(PlatformLine::Refused(Refusal::Limit)));
    assert_eq!(decode(b"ERR moot"), Ok(PlatformLine::Refused(Refusal::Moot)));
    assert_eq!(decode(b"* metrics 42 0 1"), Ok(PlatformLine::Other));
    for bad in [
        "OK 42 1 canary 1.5 310",
        "OK 42 1 lost 0.5 310",
        "OK 42",
        "* progress 42 1 canary 0.2 -1",
        "HELLO",
        "* prog",
        "ERR lim",
        "OK 42 1 canary 0.28 310 7",
    ] {
        assert!(decode(bad.as_bytes()).is_err(), "{bad}");
    }
    let ballot = Ballot { build: 42, stage: 1, vote: Vote::Advance };
    assert_eq!(ballot.encode(), "BALLOT 42 1 promote\r\n");
}

#[test]
fn a_line_of_the_list_that_cannot_be_read_does_not_take_the_others_with_it() {
    let names = Names { zones: vec!["a".into(), "b".into()], kinds: vec!["m1".into()], ..Names::default() };
    let text = r#"{"index":41,"snapshot":true,"endpoints":[
      {"name":"s-1","address":"127.0.0.1:5000","zone":"b","type":"m1","group":3,"status":"up","weight":2.0,"since_ms":5,"build":41},
      {"name":"s-2","address":"nowhere","zone":"a","type":"m1","group":3,"status":"up","build":41},
      {"name":7},
      {"name":"s-3","status":"removed","zone":"a"}]}"#;
    let list = list::decode(text.as_bytes(), &names).unwrap();
    assert_eq!((list.index, list.is_snapshot, list.unreadable, list.rows.len()), (41, true, 2, 2));
    let e = &list.rows[0].entry;
    assert_eq!((e.zone, e.kind, e.cell, e.build, e.weight, e.started_at), (1, 0, 3, 41, 2.0, 5_000));
    assert_eq!(list.rows[1].entry.state, MachineState::Gone);
    assert_eq!(e.machine, list::machine_id("s-1"));
}

#[test]
fn a_load_report_is_read_in_the_settings_order_or_not_at_all() {
    let fields = ["mean_ms".to_owned(), "depth".to_owned()];
    assert_eq!(parse_load_report("depth=2, mean_ms=7.5,x=1", &fields), [7.5, 2.0]);
    assert!(parse_load_report("depth=2", &fields).is_empty());
    assert!(parse_load_report("depth=NaN,mean_ms=1", &fields).is_empty());
    assert!(parse_load_report("depth=-1,mean_ms=1", &fields).is_empty());
}

/// Returns one line of a list.
fn line(n: usize) -> String {
    format!(r#"{{"name":"s-{n}","address":"127.0.0.{n}:5000","status":"up","since_ms":0,"build":41}}"#)
}

#[test]
fn a_line_that_cannot_be_read_takes_no_other_with_it() {
    let lines = [
        &line(1),
        "5",
        r#"{"name":3}"#,
        "null",
        &line(2),
        r#"{"name":"s-3","name":"s-4","address":"127.0.0.1:1","status":"up"}"#,
    ];
    let list = list::decode(
        format!(r#"{{"index":7,"endpoints":[{}]}}"#, lines.join(",")).as_bytes(),
        &Names::default(),
    );
    let list = list.unwrap();
    let machines: Vec<_> = list.rows.iter().map(|r| r.entry.machine).collect();
    let named = |name: &str| list::machine_id(name);
    assert_eq!(machines, [named("s-1"), named("s-2"), named("s-4")]);
    assert_eq!((list.index, list.is_snapshot, list.unreadable), (7, false, 3));
}
