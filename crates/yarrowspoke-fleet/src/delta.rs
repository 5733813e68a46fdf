//! Lists by snapshot and delta: a base that can be named, changes against it, and the check that what results is what was meant.

use crate::mutant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Steps back from which a delta can still be told.
const STEPS: usize = 64;

/// A list by name: both sides hold the same machines where they hold the same base.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Base {
    /// The list's epoch.
    pub epoch: u32,
    /// Its index; 0 = no list.
    pub index: u64,
    /// Its digest, as fronts tell it.
    pub digest: u64,
    /// The sum over the machines that are ready on it.
    pub sum: MachineSetHash,
}

impl Base {
    /// Whether it comes after another.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.epoch, self.index) > (other.epoch, other.index)
    }
}

/// 128 bits over a set of machines, free of order: one machine more or less costs one hash, not all of them.
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

    /// Over all of these.
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

/// Changes from one list to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Against this.
    pub base: Base,
    /// Gives this.
    pub to: Base,
    /// Fronts that hold the result from their own source.
    #[serde(rename = "vouched")]
    pub confirmations: u32,
    /// Machines that are not ready any more, if they were.
    #[serde(rename = "gone")]
    pub removed: Vec<u32>,
    /// Machines that are ready, with their builds.
    #[serde(rename = "set")]
    pub updated: Vec<(u32, u16)>,
}

/// Why a delta was not applied. Nothing has changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// Another list is held than the one it is against.
    Base,
    /// What results is not what its sender holds.
    Digest,
}

/// A list of machines that are ready, and how it came about.
#[derive(Clone, Debug, Default)]
pub struct MachineList {
    base: Base,
    machines: BTreeMap<u32, u16>,
    /// The base before each step, and the machines that the step touched.
    steps: VecDeque<(Base, Vec<u32>)>,
}

impl MachineList {
    /// What it is.
    pub fn base(&self) -> Base {
        self.base
    }

    /// The machines.
    pub fn machines(&self) -> &BTreeMap<u32, u16> {
        &self.machines
    }

    fn step(&mut self, touched: Vec<u32>, to: Base) {
        self.steps.push_back((self.base, touched));
        if self.steps.len() > STEPS {
            self.steps.pop_front();
        }
        self.base = to;
    }

    /// A whole list in the place of this one.
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
        self.step(touched, Base { epoch, index, digest, sum });
    }

    /// What has changed since a base, if that is one of its own lately; `None` where only the whole will do.
    pub fn delta_since(&self, base: &Base, confirmations: u32) -> Option<Delta> {
        let from = self.steps.iter().position(|s| s.0 == *base)?;
        let touched: BTreeSet<u32> = self.steps.iter().skip(from).flat_map(|s| s.1.iter().copied()).collect();
        if 2 * touched.len() > self.machines.len().max(16) {
            return None;
        }
        let (updated, removed): (Vec<u32>, Vec<u32>) =
            touched.iter().partition(|m| self.machines.contains_key(m));
        let updated = updated.into_iter().map(|m| (m, self.machines[&m])).collect();
        Some(Delta { base: *base, to: self.base, confirmations, removed, updated })
    }

    /// The sum and the builds that change, without changing anything.
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

    /// Takes a delta in: only against exactly the base it names, and only if what results is what its sender holds.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        self.verify(delta)?;
        for machine in &delta.removed {
            self.machines.remove(machine);
        }
        self.machines.extend(delta.updated.iter().copied());
        let touched = delta.removed.iter().copied().chain(delta.updated.iter().map(|s| s.0)).collect();
        self.step(touched, delta.to);
        Ok(())
    }

    /// The machines as they would be behind a delta, in order; this list stays as it is.
    pub fn machines_after(&self, delta: &Delta) -> Result<Vec<(u32, u16)>, DeltaError> {
        self.verify(delta)?;
        let mut machines = self.machines.clone();
        machines.retain(|m, _| !delta.removed.contains(m));
        machines.extend(delta.updated.iter().copied());
        Ok(machines.into_iter().collect())
    }
}
