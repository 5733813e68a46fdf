//! Lists by snapshot and delta: whatever the order, loss and repetition of deltas, the list held is one that a sender
//! had.

use proptest::prelude::*;
use std::collections::BTreeMap;
use yarrowspoke_fleet::delta::{Base, Delta, DeltaError, MachineList, MachineSetHash};

/// Every list that the sender had, with its base.
type SentLists = Vec<(Base, BTreeMap<u32, u16>)>;

fn list(changes: &[(u32, u16)]) -> (MachineList, SentLists) {
    let (mut list_state, mut machines) = (MachineList::default(), BTreeMap::new());
    machines.extend((0..60).map(|m| (m, 1)));
    let mut sent_lists = vec![(Base::default(), BTreeMap::new())];
    for (n, (machine, build)) in [(0, 1)].iter().chain(changes).enumerate() {
        // Build 0 stands for a machine that is removed.
        match build {
            0 => drop(machines.remove(machine)),
            _ => drop(machines.insert(*machine, *build)),
        }
        list_state.replace((0, 1 + n as u64, 7 * n as u64), machines.clone());
        sent_lists.push((list_state.base(), machines.clone()));
    }
    (list_state, sent_lists)
}

fn list_at(sent_lists: &[(Base, BTreeMap<u32, u16>)], at: usize) -> MachineList {
    let mut list_state = MachineList::default();
    let (base, machines) = &sent_lists[at];
    list_state.replace((base.epoch, base.index, base.digest), machines.clone());
    list_state
}

proptest! {
    #[test]
    fn reordered_lost_or_repeated_deltas_never_give_a_list_that_no_sender_had(
        changes in prop::collection::vec((0u32..64, 0u16..3), 1..20),
        deliveries in prop::collection::vec((0usize..400, 0usize..20), 1..60),
    ) {
        let mut deltas = Vec::new();
        let mut sent_lists = Vec::new();
        for n in 1..=changes.len() {
            let (list_state, bases) = list(&changes[..n]);
            deltas.extend(bases.iter().filter_map(|(base, _)| list_state.delta_since(base, 1)));
            sent_lists = bases;
        }
        let mut held = list_at(&sent_lists, 1);
        for (n, _) in deliveries {
            let delta = &deltas[n % deltas.len()];
            let before = (held.base(), held.machines().clone());
            match held.apply(delta) {
                Ok(()) => prop_assert_eq!(before.0, delta.base),
                Err(_) => prop_assert_eq!((held.base(), held.machines().clone()), before),
            }
            let sent = sent_lists.iter().find(|(base, _)| *base == held.base());
            prop_assert_eq!(sent.map(|m| &m.1), Some(held.machines()));
            prop_assert_eq!(MachineSetHash::of_machines(held.machines().iter().map(|(m, b)| (*m, *b))), held.base().sum);
        }
    }

    #[test]
    fn one_delta_covers_all_missed_changes(changes in prop::collection::vec((0u32..64, 0u16..3), 1..20), from in 1usize..20) {
        let (list_state, sent_lists) = list(&changes);
        let from = 1 + from % (sent_lists.len() - 1);
        let mut held = list_at(&sent_lists, from);
        if let Some(delta) = list_state.delta_since(&held.base(), 2) {
            prop_assert_eq!(held.machines_after(&delta).unwrap(), list_state.machines().iter().map(|(m, b)| (*m, *b)).collect::<Vec<_>>());
            prop_assert_eq!(held.apply(&delta), Ok(()));
            prop_assert_eq!(held.base(), list_state.base());
        }
    }

    #[test]
    fn an_altered_delta_changes_nothing(changes in prop::collection::vec((0u32..64, 0u16..3), 2..9), machine in 0u32..70) {
        let (list_state, sent_lists) = list(&changes);
        let mut held = list_at(&sent_lists, sent_lists.len() - 2);
        if let Some(delta) = list_state.delta_since(&held.base(), 1) {
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
fn no_delta_is_made_from_an_unknown_or_too_old_base() {
    let changes: Vec<(u32, u16)> = (0..80).map(|n| (n % 60, 1 + (n / 60) as u16)).collect();
    let (list_state, sent_lists) = list(&changes);
    assert!(list_state.delta_since(&sent_lists[2].0, 1).is_none(), "past all steps that are kept");
    assert!(list_state.delta_since(&Base { index: 5, ..Base::default() }, 1).is_none());
    assert!(list_state.delta_since(&sent_lists[sent_lists.len() - 2].0, 1).is_some());
}

#[test]
fn the_hash_ignores_order_and_depends_on_the_build() {
    let rows = [(3, 1), (1, 1), (2, 5)];
    assert_eq!(MachineSetHash::of_machines(rows), MachineSetHash::of_machines([rows[2], rows[0], rows[1]]));
    assert_ne!(MachineSetHash::of_machines(rows), MachineSetHash::of_machines([(3, 1), (1, 1), (2, 4)]));
    assert_ne!(MachineSetHash::of_machines([(1, 2)]), MachineSetHash::of_machines([(2, 1)]));
}
