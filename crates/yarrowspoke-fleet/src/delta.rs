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
    pub sum: Sum,
}

impl Base {
    /// Whether it comes after another.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.epoch, self.index) > (other.epoch, other.index)
    }
}

/// 128 bits over a set of machines, free of order: one machine more or less costs one hash, not all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sum(u128);

impl Sum {
    fn of(machine: u32, build: u16) -> u128 {
        let mut row = [0; 6];
        row[..4].copy_from_slice(&machine.to_le_bytes());
        row[4..].copy_from_slice(&build.to_le_bytes());
        let hash = blake3::hash(&row);
        u128::from_le_bytes(hash.as_bytes()[..16].try_into().unwrap_or_default())
    }

    /// Over all of these.
    pub fn over(machines: impl IntoIterator<Item = (u32, u16)>) -> Self {
        let mut sum = Self::default();
        machines.into_iter().for_each(|(m, b)| sum.add(m, b));
        sum
    }

    fn add(&mut self, machine: u32, build: u16) {
        self.0 = self.0.wrapping_add(Self::of(machine, build));
    }

    fn remove(&mut self, machine: u32, build: u16) {
        self.0 = self.0.wrapping_sub(Self::of(machine, build));
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
    pub vouched: u32,
    /// Machines that are not ready any more, if they were.
    pub gone: Vec<u32>,
    /// Machines that are ready, with their builds.
    pub set: Vec<(u32, u16)>,
}

/// Why a delta was not applied. Nothing has changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// Another list is held than the one it is against.
    Base,
    /// What results is not what its sender holds.
    Digest,
}

/// A list of machines that are ready, and how it came about.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    base: Base,
    machines: BTreeMap<u32, u16>,
    /// The base before each step, and the machines that the step touched.
    steps: VecDeque<(Base, Vec<u32>)>,
}

impl Listed {
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
    pub fn since(&self, base: &Base, vouched: u32) -> Option<Delta> {
        let from = self.steps.iter().position(|s| s.0 == *base)?;
        let touched: BTreeSet<u32> = self.steps.iter().skip(from).flat_map(|s| s.1.iter().copied()).collect();
        if 2 * touched.len() > self.machines.len().max(16) {
            return None;
        }
        let (set, gone): (Vec<u32>, Vec<u32>) = touched.iter().partition(|m| self.machines.contains_key(m));
        let set = set.into_iter().map(|m| (m, self.machines[&m])).collect();
        Some(Delta { base: *base, to: self.base, vouched, gone, set })
    }

    /// The sum and the builds that change, without changing anything.
    fn weigh(&self, delta: &Delta) -> Result<(), Unfit> {
        if mutant::is("delta-on-any-base") {
            return Ok(());
        }
        if delta.base != self.base {
            return Err(Unfit::Base);
        }
        let mut sum = self.base.sum;
        let changes =
            delta.gone.iter().map(|m| (*m, None)).chain(delta.set.iter().map(|(m, b)| (*m, Some(*b))));
        let mut seen = BTreeSet::new();
        for (machine, build) in changes {
            if !seen.insert(machine) {
                return Err(Unfit::Digest);
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
            Err(Unfit::Digest)
        }
    }

    /// Takes a delta in: only against exactly the base it names, and only if what results is what its sender holds.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), Unfit> {
        self.weigh(delta)?;
        for machine in &delta.gone {
            self.machines.remove(machine);
        }
        self.machines.extend(delta.set.iter().copied());
        let touched = delta.gone.iter().copied().chain(delta.set.iter().map(|s| s.0)).collect();
        self.step(touched, delta.to);
        Ok(())
    }

    /// The machines as they would be behind a delta, in order; this list stays as it is.
    pub fn with(&self, delta: &Delta) -> Result<Vec<(u32, u16)>, Unfit> {
        self.weigh(delta)?;
        let mut machines = self.machines.clone();
        machines.retain(|m, _| !delta.gone.contains(m));
        machines.extend(delta.set.iter().copied());
        Ok(machines.into_iter().collect())
    }
}
