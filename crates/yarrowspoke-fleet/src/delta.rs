//! Lists by snapshot and delta: a base that identifies a list, changes against it, and the check that the result is
//! the intended list.

use crate::mutant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of recent changes of a list from which deltas can be computed.
const RECENT_CHANGES: usize = 64;

/// Identifies a list: two sides with the same base have the same machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Base {
    /// Epoch of the list.
    pub epoch: u32,
    /// Index of the list; 0 = no list.
    pub index: u64,
    /// Digest of the list, as fronts report it.
    pub digest: u64,
    /// Hash over the ready machines of the list.
    pub sum: MachineSetHash,
}

impl Base {
    /// Returns whether this list comes after another.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.epoch, self.index) > (other.epoch, other.index)
    }
}

/// A 128-bit hash over a set of machines that does not depend on their order: adding or removing one machine costs
/// one hash and not a hash of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineSetHash(u128);

impl MachineSetHash {
    fn machine_hash(machine: u32, build: u16) -> u128 {
        let mut row = [0; 6];
        row[..4].copy_from_slice(&machine.to_le_bytes());
        row[4..].copy_from_slice(&build.to_le_bytes());
        let hash = blake3::hash(&row);
        u128::from_le_bytes(hash.as_bytes()[..16].try_into().unwrap_or_default())
    }

    /// Returns the hash over all of these machines.
    pub fn of_machines(machines: impl IntoIterator<Item = (u32, u16)>) -> Self {
        let mut sum = Self::default();
        machines.into_iter().for_each(|(m, b)| sum.add(m, b));
        sum
    }

    fn add(&mut self, machine: u32, build: u16) {
        self.0 = self.0.wrapping_add(Self::machine_hash(machine, build));
    }

    fn remove(&mut self, machine: u32, build: u16) {
        self.0 = self.0.wrapping_sub(Self::machine_hash(machine, build));
    }
}

/// The changes from one list to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The list that the delta is based on.
    pub base: Base,
    /// The resulting list.
    pub to: Base,
    /// How many fronts have the result from their own source.
    #[serde(rename = "vouched")]
    pub confirmations: u32,
    /// Machines that are no longer ready, if they were.
    #[serde(rename = "gone")]
    pub removed: Vec<u32>,
    /// Machines that are ready, with their builds.
    #[serde(rename = "set")]
    pub updated: Vec<(u32, u16)>,
}

/// Why a delta was rejected. A rejected delta changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta is based on another list than the one held.
    Base,
    /// The result is not the list that the sender has.
    Digest,
}

/// A list of ready machines, with its recent changes.
#[derive(Clone, Debug, Default)]
pub struct MachineList {
    base: Base,
    machines: BTreeMap<u32, u16>,
    /// For each recent change, the base before it and the machines that it affected.
    changes: VecDeque<(Base, Vec<u32>)>,
}

impl MachineList {
    /// Returns the base of the list.
    pub fn base(&self) -> Base {
        self.base
    }

    /// Returns the machines.
    pub fn machines(&self) -> &BTreeMap<u32, u16> {
        &self.machines
    }

    fn record_change(&mut self, touched: Vec<u32>, to: Base) {
        self.changes.push_back((self.base, touched));
        if self.changes.len() > RECENT_CHANGES {
            self.changes.pop_front();
        }
        self.base = to;
    }

    /// Replaces the whole list.
    pub fn replace(&mut self, (epoch, index, digest): (u32, u64, u64), machines: BTreeMap<u32, u16>) {
        let mut sum = self.base.sum;
        let mut touched = Vec::new();
        for (machine, build) in self.machines.iter().filter(|(m, b)| machines.get(m) != Some(b)) {
            sum.remove(*machine, *build);
            touched.push(*machine);
        }
        for (machine, build) in machines.iter().filter(|(m, b)| self.machines.get(m) != Some(b)) {
            sum.add(*machine, *build);
            touched.push(*machine);
        }
        self.machines = machines;
        self.record_change(touched, Base { epoch, index, digest, sum });
    }

    /// Returns the changes since `base` if that is a recent state of this list; `None` if only the whole list will
    /// do.
    pub fn delta_since(&self, base: &Base, confirmations: u32) -> Option<Delta> {
        let from = self.changes.iter().position(|s| s.0 == *base)?;
        let touched: BTreeSet<u32> =
            self.changes.iter().skip(from).flat_map(|s| s.1.iter().copied()).collect();
        if 2 * touched.len() > self.machines.len().max(16) {
            return None;
        }
        let (updated, removed): (Vec<u32>, Vec<u32>) =
            touched.iter().partition(|m| self.machines.contains_key(m));
        let updated = updated.into_iter().map(|m| (m, self.machines[&m])).collect();
        Some(Delta { base: *base, to: self.base, confirmations, removed, updated })
    }

    /// Checks that a delta fits and gives the intended result, without changing anything.
    fn verify(&self, delta: &Delta) -> Result<(), DeltaError> {
        if mutant::active("delta-on-any-base") {
            return Ok(());
        }
        if delta.base != self.base {
            return Err(DeltaError::Base);
        }
        let mut sum = self.base.sum;
        let changes =
            delta.removed.iter().map(|m| (*m, None)).chain(delta.updated.iter().map(|(m, b)| (*m, Some(*b))));
        let mut seen = BTreeSet::new();
        for (machine, build) in changes {
            if !seen.insert(machine) {
                return Err(DeltaError::Digest);
            }
            if let Some(held) = self.machines.get(&machine) {
                sum.remove(machine, *held);
            }
            if let Some(build) = build {
                sum.add(machine, build);
            }
        }
        if sum == delta.to.sum {
            Ok(())
        } else {
            Err(DeltaError::Digest)
        }
    }

    /// Applies a delta: only to exactly the base that it names, and only if the result is the list that the sender
    /// has.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        self.verify(delta)?;
        for machine in &delta.removed {
            self.machines.remove(machine);
        }
        self.machines.extend(delta.updated.iter().copied());
        let touched = delta.removed.iter().copied().chain(delta.updated.iter().map(|s| s.0)).collect();
        self.record_change(touched, delta.to);
        Ok(())
    }

    /// Returns the machines after a delta, sorted; this list stays as it is.
    pub fn machines_after(&self, delta: &Delta) -> Result<Vec<(u32, u16)>, DeltaError> {
        self.verify(delta)?;
        let mut machines = self.machines.clone();
        machines.retain(|m, _| !delta.removed.contains(m));
        machines.extend(delta.updated.iter().copied());
        Ok(machines.into_iter().collect())
    }
}
