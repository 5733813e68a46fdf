//! Unit tests of frames, marks, the trust in snapshots and the decisions of the ledger.

use yarrowspoke_store::ledger::{
    advance_clock, check_content, decide, may_expire, record_end, Decision, Outcome, Record, SpaceUsage,
    State, MIN_RETRY_AFTER,
};
use yarrowspoke_store::mark::{Mark, Slot, SLOT_BYTES};
use yarrowspoke_store::record::{frame, unframe, unframe_extended, FrameError};
use yarrowspoke_store::snapshot::{trust, Snapshot, Trust, TrustBounds};
use yarrowspoke_store::store::id_of;

const EMPTY_LEDGER: SpaceUsage = SpaceUsage { bytes: 0, max_bytes: 1_000, first_expiry: None };

fn record(state: State, incarnation: u64, expires_at: u64) -> Record {
    Record { state, incarnation, expires_at }
}

#[test]
fn every_changed_bit_of_a_frame_is_detected() {
    let value = record(State::Done(Outcome::Served(Some(b"body".to_vec()))), 3, 77);
    let framed = frame(b"key", &value);
    assert_eq!(unframe::<Record>(b"key", &framed).unwrap(), value);
    assert!(matches!(unframe::<Record>(b"kez", &framed), Err(FrameError::Checksum { .. })));
    for at in 0..framed.len() {
        for bit in 0..8 {
            let mut flipped = framed.clone();
            flipped[at] ^= 1 << bit;
            assert!(unframe::<Record>(b"key", &flipped).is_err(), "byte {at}, bit {bit}");
        }
        assert!(unframe::<Record>(b"key", &framed[..at]).is_err(), "truncated at {at}");
    }
}

#[test]
fn every_changed_byte_of_a_mark_is_detected_and_another_format_is_reported() {
    let mark = Mark { commit: 9, incarnation: 2, id: 0xabc };
    let whole = mark.encode();
    assert_eq!(Mark::decode(&whole), Slot::Valid(mark));
    for at in 0..44 {
        let mut flipped = whole;
        flipped[at] ^= 1;
        assert_eq!(Mark::decode(&flipped), Slot::Empty, "byte {at}");
    }
    let mut other: [u8; SLOT_BYTES] = whole;
    other[4] = 2;
    let crc = crc32fast::hash(&other[..40]);
    other[40..44].copy_from_slice(&crc.to_le_bytes());
    assert_eq!(Mark::decode(&other), Slot::OtherFormat(2));
}

#[test]
fn a_repeated_request_is_decided_by_the_state_of_its_record() {
    let served = |body: Option<&[u8]>| State::Done(Outcome::Served(body.map(<[u8]>::to_vec)));
    for (state, incarnation, decision) in [
        (State::NotRun, 1, Decision::Admit),
        (State::NotRun, 2, Decision::Admit),
        (State::Intended, 1, Decision::InDoubt),
        (State::Intended, 2, Decision::InProgress),
        (State::Done(Outcome::Failed), 1, Decision::FailedBefore),
        (served(None), 2, Decision::AlreadyDone),
        (served(Some(b"x")), 1, Decision::Replay(b"x".to_vec())),
    ] {
        let r = record(state, incarnation, 100);
        assert_eq!(decide(Some(&r), 2, 50, &EMPTY_LEDGER, 10), decision, "{r:?}");
        // An expired record counts as absent, unless the request is in progress in this incarnation.
        let later = if decision == Decision::InProgress { Decision::InProgress } else { Decision::Admit };
        assert_eq!(decide(Some(&r), 2, 100, &EMPTY_LEDGER, 10), later, "{r:?}");
        assert_eq!(may_expire(&r, 2, 100), decision != Decision::InProgress);
        assert!(!may_expire(&r, 2, 99));
    }
}

#[test]
fn without_space_a_new_request_waits_until_a_record_expires() {
    let full = SpaceUsage { bytes: 995, max_bytes: 1_000, first_expiry: Some(900_000) };
    assert_eq!(decide(None, 1, 500_000, &full, 10), Decision::NoSpace(400_000));
    assert_eq!(decide(None, 1, 899_999, &full, 10), Decision::NoSpace(MIN_RETRY_AFTER));
    assert_eq!(decide(None, 1, 0, &full, 5), Decision::Admit);
}

#[test]
fn an_end_is_recorded_only_over_an_intent_of_this_incarnation() {
    let ends = |r: Option<Record>| record_end(r.as_ref(), 2, State::NotRun, 9).is_some();
    assert!(ends(Some(record(State::Intended, 2, 5))));
    assert!(
        !ends(Some(record(State::Intended, 1, 5))),
        "an outcome unknown since an earlier incarnation stays unknown"
    );
    assert!(!ends(Some(record(State::Done(Outcome::Failed), 2, 5))) && !ends(None));
}

#[test]
fn the_clock_never_goes_back() {
    assert_eq!((advance_clock(5, 3), advance_clock(3, 5)), (5, 5));
}

#[test]
fn ids_depend_on_store_class_and_identity() {
    let ids =
        [id_of(1, "a", "b"), id_of(2, "a", "b"), id_of(1, "ab", ""), id_of(1, "a", "c"), id_of(1, "", "ab")];
    for (n, id) in ids.iter().enumerate() {
        assert!(!ids[..n].contains(id));
    }
}

#[test]
fn trust_decreases_with_age_and_another_deployment_has_none() {
    let bounds = TrustBounds { full_trust_age: 10, no_trust_age: 110, max_clock_skew: 2 };
    let known = Snapshot { written_at: 1_000, deployment: "d".into(), index: 4, ..Snapshot::default() };
    let trust_at = |now, deployment: &str, index| trust(&known, now, deployment, index, &bounds);
    assert_eq!(trust_at(1_010, "d", 4), Trust::Full);
    assert_eq!(trust_at(1_060, "d", 4), Trust::Part(0.5));
    for (trust, word) in [
        (trust_at(1_110, "d", 0), "of no use"),
        (trust_at(997, "d", 0), "in the future"),
        (trust_at(1_000, "e", 0), "of deployment"),
        (trust_at(1_000, "d", 5), "version 4"),
    ] {
        assert!(matches!(&trust, Trust::None(why) if why.contains(word)), "{trust:?}");
    }
    assert_eq!(trust_at(998, "d", 0), Trust::Full);
}

#[test]
fn a_repeat_with_another_content_is_told_from_a_true_one() {
    let replay = || Decision::Replay(b"x".to_vec());
    assert_eq!(check_content(replay(), Some(1), 1), replay());
    for decision in [replay(), Decision::AlreadyDone, Decision::FailedBefore, Decision::InProgress] {
        assert_eq!(check_content(decision, Some(1), 2), Decision::OtherContent);
    }
    // Nothing binds a request whose record is gone or says that it has not run, and an earlier build recorded no content.
    for decision in [Decision::Admit, Decision::NoSpace(5)] {
        assert_eq!(check_content(decision.clone(), Some(1), 2), decision);
    }
    assert_eq!(check_content(replay(), None, 2), replay());
}

#[test]
fn records_of_this_build_and_of_earlier_ones_can_be_read_by_either() {
    let value = record(State::Done(Outcome::Served(Some(b"body".to_vec()))), 3, 77);
    let (earlier, present) = (frame(b"key", &value), frame(b"key", &(&value, 9u64)));
    assert_eq!(unframe::<Record>(b"key", &present).unwrap(), value);
    assert_eq!(unframe_extended::<Record, u64>(b"key", &earlier).unwrap(), (value.clone(), None));
    assert_eq!(unframe_extended::<Record, u64>(b"key", &present).unwrap(), (value, Some(9)));
}
