//! The books by themselves: what is forgotten, and sums over spans.

use yarrowspoke::accounting::{FrontState, InFlightAttempt, SlidingSum};
use yarrowspoke::interface::{MachineEntry, MachineState, Micros};
use yarrowspoke_verdict::evidence_log::Outcome;

/// The sums before totals were kept: note by note.
fn plainly(notes: &[(Micros, f64)], now: Micros, span: Micros) -> f64 {
    notes.iter().filter(|n| n.0 + span >= now).map(|n| n.1).sum()
}

#[test]
fn builds_and_machines_long_gone_are_forgotten_and_no_other() {
    let mut k = FrontState::default();
    let entry = |machine, build, state| MachineEntry {
        machine,
        zone: 0,
        kind: 0,
        build,
        cell: 0,
        state,
        weight: 1.0,
        started_at: u64::from(machine),
    };
    k.update_machine(0, &entry(1, 1, MachineState::Ready));
    for build in 2..40 {
        let id = u32::from(build);
        k.update_machine(0, &entry(id, build, MachineState::Ready));
        k.exposure.entry((build, 0)).or_default().add(0, 1.0, 1);
        k.in_flight_by_build.insert(build, 0);
        k.withdrawn_builds.insert(build);
        let (failed, reported, own) = (false, None, None);
        let o = Outcome {
            at: 0,
            machine: id,
            zone: 0,
            kind: 0,
            age: 0,
            class: 0,
            failed,
            reported_time: reported,
            measured_pace: own,
        };
        k.record_sample(build, 10, &o);
        k.update_machine(0, &entry(id, build, MachineState::Gone));
        if build == 20 {
            // An attempt is still out there.
            let o =
                InFlightAttempt { machine: id, build, class: 0, sent_at: 0, work: 1.0, queue_length: 1.0 };
            k.attempts_in_flight.insert((7, 0), o);
        }
        k.evict_unused(4);
    }
    assert_eq!(k.machines.keys().copied().collect::<Vec<_>>(), [1, 20]);
    assert_eq!(k.samples.keys().copied().collect::<Vec<_>>(), [20, 36, 37, 38, 39]);
    assert_eq!((k.exposure.len(), k.in_flight_by_build.len(), k.withdrawn_builds.len()), (5, 5, 5));
    k.attempts_in_flight.clear();
    k.evict_unused(4);
    assert_eq!((k.machines.len(), k.samples.len()), (1, 4));
}

#[test]
fn totals_give_the_sums_that_single_notes_give() {
    let (mut tally, mut notes, mut now, mut x) = (SlidingSum::default(), Vec::new(), 0, 1u64);
    for _ in 0..5_000 {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        // Now and then a gap longer than what is kept, so that all is forgotten.
        now += if x >> 33 & 0x3ff == 0 { 9_000 } else { x >> 60 };
        let amount = (x >> 40) as f64;
        tally.add(now, amount, 2_000);
        notes.push((now, amount));
        for span in [0, 7, 500, 2_000] {
            let later = now + (x >> 50 & 0xff);
            assert_eq!(tally.sum(later, span), plainly(&notes, later, span));
        }
    }
}
