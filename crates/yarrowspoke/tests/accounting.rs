//! The accounting module by itself: what is evicted, and sums over sliding windows.

use yarrowspoke::accounting::{FrontState, InFlightAttempt, SlidingSum};
use yarrowspoke::interface::{MachineEntry, MachineState, Micros};
use yarrowspoke_verdict::evidence_log::Outcome;

/// Returns the sum entry by entry, without running totals.
fn sum_one_by_one(entries: &[(Micros, f64)], now: Micros, span: Micros) -> f64 {
    entries.iter().filter(|n| n.0 + span >= now).map(|n| n.1).sum()
}

#[test]
fn only_builds_and_machines_that_are_no_longer_used_are_evicted() {
    let mut state = FrontState::default();
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
    state.update_machine(0, &entry(1, 1, MachineState::Ready));
    for build in 2..40 {
        let machine_id = u32::from(build);
        state.update_machine(0, &entry(machine_id, build, MachineState::Ready));
        state.exposure.entry((build, 0)).or_default().add(0, 1.0, 1);
        state.in_flight_by_build.insert(build, 0);
        state.withdrawn_builds.insert(build);
        let (failed, reported_time, measured_pace) = (false, None, None);
        let outcome = Outcome {
            at: 0,
            machine: machine_id,
            zone: 0,
            kind: 0,
            age: 0,
            class: 0,
            failed,
            reported_time,
            measured_pace,
        };
        state.record_sample(build, 10, &outcome);
        state.update_machine(0, &entry(machine_id, build, MachineState::Gone));
        if build == 20 {
            // An attempt is still in flight at this machine.
            let in_flight = InFlightAttempt {
                machine: machine_id,
                build,
                class: 0,
                sent_at: 0,
                work: 1.0,
                queue_length: 1.0,
            };
            state.attempts_in_flight.insert((7, 0), in_flight);
        }
        state.evict_unused(4);
    }
    assert_eq!(state.machines.keys().copied().collect::<Vec<_>>(), [1, 20]);
    assert_eq!(state.samples.keys().copied().collect::<Vec<_>>(), [20, 36, 37, 38, 39]);
    assert_eq!(
        (state.exposure.len(), state.in_flight_by_build.len(), state.withdrawn_builds.len()),
        (5, 5, 5)
    );
    state.attempts_in_flight.clear();
    state.evict_unused(4);
    assert_eq!((state.machines.len(), state.samples.len()), (1, 4));
}

#[test]
fn running_totals_give_the_same_sums_as_single_entries() {
    let (mut sum, mut entries, mut now, mut x) = (SlidingSum::default(), Vec::new(), 0, 1u64);
    for _ in 0..5_000 {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        // A gap longer than the retention time now and then, so that all entries are evicted.
        now += if x >> 33 & 0x3ff == 0 { 9_000 } else { x >> 60 };
        let amount = (x >> 40) as f64;
        sum.add(now, amount, 2_000);
        entries.push((now, amount));
        for span in [0, 7, 500, 2_000] {
            let later = now + (x >> 50 & 0xff);
            assert_eq!(sum.sum(later, span), sum_one_by_one(&entries, later, span));
        }
    }
}
