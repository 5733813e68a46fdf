//! Larger faults are found sooner, and a fault of size zero is never found.

use yarrowspoke_verdict::power::{machines_needed, outcomes_needed, Fleet};

#[test]
fn larger_faults_need_fewer_outcomes_and_a_zero_fault_is_never_found() {
    let effects = [0.02, 0.1, 0.4];
    let n = |fault| outcomes_needed(fault, 0.002, &effects, 5.0, 9.0);
    assert!(n(0.6).unwrap() < n(0.2).unwrap());
    assert!(n(0.2).unwrap() < n(0.05).unwrap());
    assert_eq!(n(0.0), None);
}

#[test]
fn a_smaller_slowdown_needs_more_machines() {
    let fleet = Fleet { tolerance: 1.15, spread: 0.15, earlier: 10.0, faulty_one_in: 4 };
    let n = |times| machines_needed(times, fleet, 0.003, 0.05, 200);
    assert!(n(2.0).unwrap() <= n(1.6).unwrap());
    assert_eq!(n(1.1), None);
}
