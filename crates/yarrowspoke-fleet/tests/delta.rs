//! Lists by snapshot and delta: whatever order, loss and repeats do to deltas, what is held is a list that somebody meant.

use proptest::prelude::*;
use std::collections::BTreeMap;
use yarrowspoke_fleet::delta::{Base, Delta, DeltaError, MachineList, MachineSetHash};

/// Every list that somebody meant, by its name.
type Meant = Vec<(Base, BTreeMap<u32, u16>)>;

fn list(changes: &[(u32, u16)]) -> (MachineList, Meant) {
    let (mut listed, mut machines) = (MachineList::default(), BTreeMap::new());
    machines.extend((0..60).map(|m| (m, 1)));
    let mut all = vec![(Base::default(), BTreeMap::new())];
    for (n, (machine, build)) in [(0, 1)].iter().chain(changes).enumerate() {
        // Build 0 stands for a machine that goes.
        match build {
            0 => drop(machines.remove(machine)),
            _ => drop(machines.insert(*machine, *build)),
        }
        listed.replace((0, 1 + n as u64, 7 * n as u64), machines.clone());
        all.push((listed.base(), machines.clone()));
    }
    (listed, all)
}

fn follower(all: &[(Base, BTreeMap<u32, u16>)], at: usize) -> MachineList {
    let mut listed = MachineList::default();
    let (base, machines) = &all[at];
    listed.replace((base.epoch, base.index, base.digest), machines.clone());
    listed
}

proptest! {
    #[test]
    fn deltas_in_any_order_lost_or_repeated_never_give_a_list_that_nobody_meant(
        changes in prop::collection::vec((0u32..64, 0u16..3), 1..20),
        moves in prop::collection::vec((0usize..400, 0usize..20), 1..60),
    ) {
        let mut deltas = Vec::new();
        let mut all = Vec::new();
        for n in 1..=changes.len() {
            let (listed, bases) = list(&changes[..n]);
            deltas.extend(bases.iter().filter_map(|(base, _)| listed.delta_since(base, 1)));
            all = bases;
        }
        let mut held = follower(&all, 1);
        for (n, _) in moves {
            let delta = &deltas[n % deltas.len()];
            let before = (held.base(), held.machines().clone());
            match held.apply(delta) {
                Ok(()) => prop_assert_eq!(before.0, delta.base),
                Err(_) => prop_assert_eq!((held.base(), held.machines().clone()), before),
            }
            let meant = all.iter().find(|(base, _)| *base == held.base());
            prop_assert_eq!(meant.map(|m| &m.1), Some(held.machines()));
            prop_assert_eq!(MachineSetHash::of_machines(held.machines().iter().map(|(m, b)| (*m, *b))), held.base().sum);
        }
    }

    #[test]
    fn one_delta_bridges_all_that_was_missed(changes in prop::collection::vec((0u32..64, 0u16..3), 1..20), from in 1usize..20) {
        let (listed, all) = list(&changes);
        let from = 1 + from % (all.len() - 1);
        let mut held = follower(&all, from);
        if let Some(delta) = listed.delta_since(&held.base(), 2) {
            prop_assert_eq!(held.machines_after(&delta).unwrap(), listed.machines().iter().map(|(m, b)| (*m, *b)).collect::<Vec<_>>());
            prop_assert_eq!(held.apply(&delta), Ok(()));
            prop_assert_eq!(held.base(), listed.base());
        }
    }

    #[test]
    fn a_delta_that_was_altered_changes_nothing(changes in prop::collection::vec((0u32..64, 0u16..3), 2..9), machine in 0u32..70) {
        let (listed, all) = list(&changes);
        let mut held = follower(&all, all.len() - 2);
        if let Some(delta) = listed.delta_since(&held.base(), 1) {
            let before = held.machines().clone();
            let altered = Delta { updated: [delta.updated.clone(), vec![(machine, 9)]].concat(), ..delta.clone() };
            prop_assert_eq!(held.apply(&altered), Err(DeltaError::Digest));
            let twice = Delta { removed: [delta.removed.clone(), delta.removed.clone()].concat(), ..delta.clone() };
            prop_assert!(delta.removed.is_empty() || held.apply(&twice) == Err(DeltaError::Digest));
            prop_assert_eq!(held.machines(), &before);
        }
    }
}

#[test]
fn a_base_that_is_unknown_or_long_past_is_no_ground_for_a_delta() {
    let changes: Vec<(u32, u16)> = (0..80).map(|n| (n % 60, 1 + (n / 60) as u16)).collect();
    let (listed, all) = list(&changes);
    assert!(listed.delta_since(&all[2].0, 1).is_none(), "past all steps that are kept");
    assert!(listed.delta_since(&Base { index: 5, ..Base::default() }, 1).is_none());
    assert!(listed.delta_since(&all[all.len() - 2].0, 1).is_some());
}

#[test]
fn another_order_of_the_same_machines_has_the_same_sum_and_another_build_another() {
    let rows = [(3, 1), (1, 1), (2, 5)];
    assert_eq!(MachineSetHash::of_machines(rows), MachineSetHash::of_machines([rows[2], rows[0], rows[1]]));
    assert_ne!(MachineSetHash::of_machines(rows), MachineSetHash::of_machines([(3, 1), (1, 1), (2, 4)]));
    assert_ne!(MachineSetHash::of_machines([(1, 2)]), MachineSetHash::of_machines([(2, 1)]));
}
