//! The books by themselves: what is forgotten, and sums over spans.

use yarrowspoke::books::{Knowledge, Out, Tally};
use yarrowspoke::interface::{Entry, MachineState, Micros};
use yarrowspoke_verdict::book::Outcome;

/// The sums before totals were kept: note by note.
fn plainly(notes: &[(Micros, f64)], now: Micros, span: Micros) -> f64 {
    notes.iter().filter(|n| n.0 + span >= now).map(|n| n.1).sum()
}

#[test]
fn builds_and_machines_long_gone_are_forgotten_and_no_other() {
    let mut k = Knowledge::default();
    let entry = |machine, build, state| Entry {
        machine,
        zone: 0,
        kind: 0,
        build,
        cell: 0,
        state,
        weight: 1.0,
        started: u64::from(machine),
    };
    k.learn(0, &entry(1, 1, MachineState::Ready));
    for build in 2..40 {
        let id = u32::from(build);
        k.learn(0, &entry(id, build, MachineState::Ready));
        k.exposed.entry((build, 0)).or_default().add(0, 1.0, 1);
        k.held.insert(build, 0);
        k.withdrawn.insert(build);
        let (failed, reported, own) = (false, None, None);
        let o = Outcome { at: 0, machine: id, zone: 0, kind: 0, age: 0, class: 0, failed, reported, own };
        k.note_sample(build, 10, &o);
        k.learn(0, &entry(id, build, MachineState::Gone));
        if build == 20 {
            // An attempt is still out there.
            let o = Out { machine: id, build, class: 0, sent: 0, work: 1.0, queue: 1.0 };
            k.outs.insert((7, 0), o);
        }
        k.forget(4);
    }
    assert_eq!(k.machines.keys().copied().collect::<Vec<_>>(), [1, 20]);
    assert_eq!(k.samples.keys().copied().collect::<Vec<_>>(), [20, 36, 37, 38, 39]);
    assert_eq!((k.exposed.len(), k.held.len(), k.withdrawn.len()), (5, 5, 5));
    k.outs.clear();
    k.forget(4);
    assert_eq!((k.machines.len(), k.samples.len()), (1, 4));
}

#[test]
fn totals_give_the_sums_that_single_notes_give() {
    let (mut tally, mut notes, mut now, mut x) = (Tally::default(), Vec::new(), 0, 1u64);
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
