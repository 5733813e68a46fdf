//! Exact bytes of frames, rejection of malformed frames, and the adapter run as a process.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::io::{Cursor, Write};
use std::process::{Command, Output, Stdio};
use yarrowspoke::interface::{Action, Vote};
use yarrowspoke_drill::host;
use yarrowspoke_drill::wire::{Reader, Reply};

const SETTINGS: &str = r#"{"Bounds": {"MaxAttempts": 3, "MayCancel": true, "RetryAfter": true,
 "MaxRetryAfterUs": 1000000, "Unknown": 1}, "Classes": [{"AimUs": 500000, "DeadlineUs": 1200000,
 "Effect": "repeatable", "DedupScope": "all", "Worth": 3.0}], "Domain": {"VoteMode": "by_count",
 "ExposureCaps": [0.2, 1.0], "StageShare": [0.1, 1.0], "ExposureWindowUs": 3000000, "SpareTries": 2.0,
 "VoteStandsUs": 4000000}, "MembershipMode": "push", "PeersTotal": 2, "Safety": {"WarmAfterUs": 4000000,
 "ColdFrom": 0.3, "FallUs": 1500000, "TipMultiple": 3.0}, "NewKey": [1, 2]}"#;

#[derive(Default)]
struct Batch {
    body: Vec<u8>,
    records: u32,
}

impl Batch {
    fn put(mut self, code: u8, parts: &[&[u8]]) -> Self {
        self.records += 1;
        self.body.push(code);
        parts.iter().for_each(|p| self.body.extend_from_slice(p));
        self
    }

    fn on(self, instance: u32) -> Self {
        self.put(22, &[&instance.to_le_bytes()])
    }

    fn start_instance(self, seed: u64) -> Self {
        let n = SETTINGS.len() as u32;
        self.put(20, &[&seed.to_le_bytes(), &n.to_le_bytes(), SETTINGS.as_bytes()])
    }

    fn page(self, number: u32, machines: &[u32]) -> Self {
        let mut rows = Vec::new();
        for m in machines {
            rows.extend_from_slice(&m.to_le_bytes());
            rows.extend_from_slice(&[0, 0, 0]);
            rows.extend_from_slice(&41f32.to_le_bytes());
            rows.extend_from_slice(&[0, 0, 1]);
            rows.extend_from_slice(&1f32.to_le_bytes());
            rows.extend_from_slice(&0u64.to_le_bytes());
        }
        let n = machines.len() as u32;
        self.put(18, &[&number.to_le_bytes(), &n.to_le_bytes(), &rows])
    }

    fn list_update(self, number: u32) -> Self {
        self.put(30, &[&number.to_le_bytes(), &[3], &1u64.to_le_bytes()])
    }

    fn rollout_status(self) -> Self {
        let cap = 1f32.to_le_bytes();
        self.put(24, &[&41u16.to_le_bytes(), &[1, 2, 0, 1], &cap, &0u32.to_le_bytes()])
    }

    fn request(self, id: u64) -> Self {
        let (left, hint) = (1_200_000u32.to_le_bytes(), 50_000u32.to_le_bytes());
        self.put(28, &[&id.to_le_bytes(), &[0], &left, &[0; 8], &[0; 4], &hint, &[1]])
    }

    fn frame(self, number: u32, clock: u64) -> Vec<u8> {
        let mut out = number.to_le_bytes().to_vec();
        out.extend_from_slice(&self.records.to_le_bytes());
        out.extend_from_slice(&(20 + self.body.len() as u32).to_le_bytes());
        out.extend_from_slice(&clock.to_le_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}

fn serve(input: &[u8]) -> Result<Vec<u8>, String> {
    let mut output = Vec::new();
    host::serve(&mut Cursor::new(input), &mut output).map_err(|e| e.to_string())?;
    Ok(output)
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_yarrowspoke-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input).expect("the adapter reads");
    child.wait_with_output().expect("the adapter ends")
}

/// Returns the records of one instance from all replies. An instance must behave the same whether or not it shares its
/// process with others.
fn by_instance(mut replies: &[u8], instance: u32) -> Vec<u8> {
    let mut out = Vec::new();
    while !replies.is_empty() {
        let word = |at: usize| u32::from_le_bytes(replies[at..at + 4].try_into().expect("four bytes"));
        let (records, length) = (word(4), word(8) as usize);
        let mut r = Reader::new(&replies[12..length]);
        let mut current = None;
        for _ in 0..records {
            let start = r.position();
            let code = r.u8().expect("a record");
            let size = match code {
                29 => 4,
                26 => 16,
                25 | 27 => 12,
                28 => 8,
                16 => 10,
                24 => 4,
                23 => 1,
                19 => r.u16().expect("a length").into(),
                other => panic!("unexpected action {other}"),
            };
            let body = r.bytes(size).expect("a whole record");
            if code == 29 {
                current = Some(u32::from_le_bytes(body.try_into().expect("four bytes")));
            } else if current == Some(instance) {
                out.extend_from_slice(&replies[12 + start..12 + r.position()]);
            }
        }
        replies = &replies[length..];
    }
    out
}

#[test]
fn an_empty_batch_gets_the_empty_reply_of_the_wire_page() {
    let batch = Batch::default().frame(1, 0x805c5a);
    assert_eq!(batch[..16], [1, 0, 0, 0, 0, 0, 0, 0, 20, 0, 0, 0, 0x5a, 0x5c, 0x80, 0]);
    assert_eq!(serve(&batch).unwrap(), [1, 0, 0, 0, 0, 0, 0, 0, 12, 0, 0, 0]);
}

#[test]
fn every_action_is_written_to_the_byte() {
    let id = 0x0006_1b5f_3d91_4ac4;
    let cases: Vec<(Action, Vec<u8>)> = vec![
        (
            Action::Send { id, machine: 0x0312_4a07, timeout: 80_000 },
            b"\x1a\xc4\x4a\x91\x3d\x5f\x1b\x06\x00\x07\x4a\x12\x03\x80\x38\x01\x00".to_vec(),
        ),
        (Action::Refuse { id: 1, retry_after: 250_000 }, b"\x19\x01\0\0\0\0\0\0\0\x90\xd0\x03\0".to_vec()),
        (Action::Probe { machine: 0x2c90_11f2 }, b"\x16\xf2\x11\x90\x2c".to_vec()),
        (Action::Fail { id: 2 }, b"\x1c\x02\0\0\0\0\0\0\0".to_vec()),
        (Action::Cancel { id: 3, attempt: 258 }, b"\x10\x03\0\0\0\0\0\0\0\x02\x01".to_vec()),
        (Action::SendToPeer { peer: None, bytes: b"h i7".to_vec() }, b"\x11\xff\xff\x04\0h i7".to_vec()),
        (Action::SendToPeer { peer: Some(2), bytes: vec![] }, b"\x11\x02\0\0\0".to_vec()),
        (Action::Subscribe(true), b"\x17\x01".to_vec()),
        (Action::Subscribe(false), b"\x17\x00".to_vec()),
        (Action::Timer { name: 77, after: 500_000 }, b"\x1b\x4d\0\0\0\0\0\0\0\x20\xa1\x07\0".to_vec()),
        (Action::Log("two".into()), b"\x13\x03\0two".to_vec()),
        (Action::FetchList, b"\x12".to_vec()),
        (Action::Vote { build: 42, stage: 2, vote: Vote::Advance }, b"\x18\x2a\0\x02\x01".to_vec()),
        (Action::Vote { build: 42, stage: 2, vote: Vote::Hold }, b"\x18\x2a\0\x02\x02".to_vec()),
        (Action::Vote { build: 42, stage: 2, vote: Vote::RollBack }, b"\x18\x2a\0\x02\x03".to_vec()),
        (Action::Vote { build: 42, stage: 2, vote: Vote::Withdraw }, b"\x18\x2a\0\x02\x00".to_vec()),
        (Action::CloseIdle { machine: 5 }, b"\x14\x05\0\0\0".to_vec()),
    ];
    for (action, bytes) in cases {
        let mut reply = Reply::default();
        reply.push(3, &action);
        let frame = reply.frame(12);
        assert_eq!(frame[..4], [12, 0, 0, 0]);
        assert_eq!(frame[4..8], [2, 0, 0, 0], "the instance is a record too");
        assert_eq!(frame[12..17], [0x1d, 3, 0, 0, 0]);
        assert_eq!(frame[17..], bytes, "{action:?}");
    }
    let mut reply = Reply::default();
    reply.push_failure(3, "index");
    assert_eq!(reply.frame(1)[17..], *b"\x15\x05\0index");
}

#[test]
fn every_event_is_read_to_its_last_byte() {
    let (id, m) = (9u64.to_le_bytes(), 7u32.to_le_bytes());
    let batch = Batch::default()
        .on(3)
        .start_instance(5)
        .page(0, &[7, 8])
        .list_update(0)
        .rollout_status()
        .request(9)
        .put(19, &[&[0; 8]])
        .put(27, &[&id, &[0, 0], &m, &[0; 4]])
        .put(29, &[&id, &[1, 1], &m, &[1, 0, 0, 0], &[0, 0], &[1], &14.5f32.to_le_bytes()])
        .put(21, &[&m, &[1], &[0; 4], &[0]])
        .put(23, &[&m, &[0], &[0; 4]])
        .put(16, &[&[2, 0, 0, 0], &[4, 0], b"h i7"])
        .put(25, &[&[41, 0], &[0], &[0; 16]])
        .put(17, &[&id])
        .put(26, &[])
        .on(3)
        .start_instance(6)
        .list_update(0)
        .frame(1, 1_000_000);
    let replies = serve(&batch).unwrap();
    let acts = by_instance(&replies, 3);
    assert!(acts.windows(9).any(|w| w[0] == 26 && w[1..9] == id), "the request is sent: {acts:?}");
}

#[test]
fn a_list_number_can_be_reused_within_a_batch() {
    let batch =
        Batch::default().on(1).start_instance(1).page(0, &[7]).list_update(0).rollout_status().request(1);
    let batch = batch.page(0, &[9]).put(30, &[&[0; 4], &[1], &[0; 8]]).request(2).frame(1, 5);
    let acts = by_instance(&serve(&batch).unwrap(), 1);
    let sends: Vec<u32> = acts
        .windows(17)
        .filter(|w| w[0] == 26 && w[2..9] == [0; 7] && w[11..17] == [0; 6])
        .map(|w| u32::from_le_bytes(w[9..13].try_into().unwrap()))
        .collect();
    assert_eq!(sends, [7, 9]);
}

#[test]
fn malformed_input_is_reported_in_one_line() {
    let whole = Batch::default().on(1).start_instance(1).frame(1, 5);
    let unknown = Batch::default().put(99, &[]).frame(1, 5);
    let orphan =
        Batch::default().on(1).start_instance(1).put(30, &[&[3, 0, 0, 0], &[1], &[0; 8]]).frame(1, 5);
    let nobody = Batch::default().on(4).request(1).frame(1, 5);
    let nowhere = Batch::default().request(1).frame(1, 5);
    let settings = Batch::default().on(1).put(20, &[&[0; 8], &[1, 0, 0, 0], b"{"]).frame(1, 5);
    let huge = Batch::default().put(18, &[&[0; 4], &[255; 4]]).frame(1, 5);
    let mut longer = whole.clone();
    longer[8] += 1;
    longer.push(0);
    let mut short = whole.clone();
    short[8..12].copy_from_slice(&7u32.to_le_bytes());
    let mut claims = whole.clone();
    claims[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    let cases: [(&[u8], &str); 12] = [
        (&whole[..9], "header"),
        (&whole[..whole.len() - 3], "ended inside the frame"),
        (&unknown, "unknown event code 99"),
        (&orphan, "list 3 was never sent"),
        (&nobody, "instance 4"),
        (&nowhere, "before any ON"),
        (&settings, "settings are not valid"),
        (&huge, "runs past the end"),
        (&longer, "bytes left"),
        (&short, "shorter than its header"),
        (&claims, "ended inside the frame"),
        (&Batch { body: vec![22, 1], records: 1 }.frame(1, 5), "runs past the end"),
    ];
    for (input, says) in cases {
        let error = serve(input).expect_err(says);
        assert!(error.contains(says) && !error.contains('\n'), "{error:?} should say {says:?}");
    }
}

#[test]
fn the_process_answers_and_ends_cleanly_and_fails_with_a_message() {
    let mut input = Batch::default().frame(1, 1);
    input.extend(
        Batch::default()
            .on(3)
            .start_instance(7)
            .page(0, &[7, 8])
            .list_update(0)
            .rollout_status()
            .frame(2, 5_000),
    );
    input.extend(Batch::default().on(3).request(77).frame(3, 10_000));
    let done = run(&input);
    assert!(done.status.success() && done.stderr.is_empty());
    assert_eq!(done.stdout, serve(&input).unwrap());
    input.extend([1, 2, 3]);
    let done = run(&input);
    let said = String::from_utf8(done.stderr).unwrap();
    assert!(!done.status.success() && said.lines().count() == 1 && said.contains("header"), "{said:?}");
}

#[test]
fn instances_behave_the_same_in_one_process_and_in_several() {
    let talk = |instances: &[u32]| {
        let mut input = Vec::new();
        let mut first = Batch::default().page(0, &[7, 8, 9]);
        for i in instances {
            first = first.on(*i).start_instance(u64::from(*i)).list_update(0).rollout_status();
        }
        input.extend(first.frame(1, 1_000));
        for n in 0..60u32 {
            let mut batch = Batch::default();
            for i in instances {
                batch = batch.on(*i).request(u64::from(n)).put(19, &[&[0; 8]]);
            }
            input.extend(batch.frame(n + 2, 1_000 + u64::from(n) * 20_000));
        }
        run(&input).stdout
    };
    let together = talk(&[1, 2, 3]);
    for i in [1, 2, 3] {
        let alone = by_instance(&talk(&[i]), i);
        assert!(!alone.is_empty());
        assert_eq!(by_instance(&together, i), alone, "instance {i}");
    }
}

proptest! {
    #![proptest_config(Config { cases: 400, rng_seed: RngSeed::Fixed(20_261_201), failure_persistence: None, ..Config::default() })]

    #[test]
    fn no_bytes_make_the_adapter_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = serve(&bytes);
        let framed = Batch { records: bytes.len() as u32 / 4, body: bytes }.frame(1, 5);
        let _ = serve(&framed);
    }

    #[test]
    fn a_damaged_conversation_never_panics(at in 0usize..400, to in any::<u8>(), cut in 0usize..400) {
        let mut bytes = Batch::default().on(3).start_instance(5).page(0, &[7, 8]).list_update(0).rollout_status().request(9).frame(1, 9);
        let n = bytes.len();
        bytes[at % n] = to;
        let _ = serve(&bytes);
        let _ = serve(&bytes[..cut % n]);
    }
}
