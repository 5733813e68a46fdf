//! An e-process mixed over effects and over the times and ages at which a fault may begin, kept apart by witness.
//!
//! A component is a product of e-values for one effect and one beginning: a time, or an age of the machines (a
//! build that is bad after some seconds is bad on each machine at that age, not on all at once). Its logarithm is a
//! common part plus one gain for each machine: what that machine's failures add over as many successes. Leaving a
//! machine out means taking its failures for successes, which can only lower the product: so the least over all
//! ways to leave out `k` machines is reached by leaving out the `k` largest gains, and it is no larger than the
//! product that a fleet without its (at most `k`) sick machines would have given. The mixture over beginnings is
//! the device of e-detectors (Shin, Ramdas and Rinaldo 2022) with weights that sum to one, so that the whole stays
//! an e-process (Ville's inequality holds for any number of looks), and a fault that begins late pays for its
//! time only.

use crate::split;
use std::collections::BTreeMap;

/// A machine or another thing whose outcomes hang together.
pub type Witness = u32;

/// When a fault may begin.
#[derive(Clone, Debug, PartialEq)]
pub struct Onsets {
    /// Ages of a machine, in microseconds, from which it may fail; the first is 0.
    pub ages: Vec<u64>,
    /// Times kept beside the first.
    pub max_times: usize,
    /// Weight of all times but the first together, and of all ages but the first together.
    pub weights: (f64, f64),
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    age: u64,
    /// 0: from the first outcome.
    time: u32,
    weight: f64,
}

#[derive(Clone, Debug, Default)]
struct Gains {
    group: u16,
    outcomes: u32,
    /// By slot: outcomes, then by slot and effect: what failures add.
    heard: Vec<u32>,
    of: Vec<f64>,
}

/// An e-process; see the module.
#[derive(Clone, Debug)]
pub struct Evidence {
    effects: usize,
    most: usize,
    begin: Onsets,
    slots: Vec<Slot>,
    common: Vec<f64>,
    witnesses: BTreeMap<Witness, Gains>,
}

/// What is left out of a look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exclusion {
    /// One witness in so many, and one at least, may be left out; 0 leaves out none.
    pub one_in: usize,
    /// Half of the witnesses, and two at least, are left out instead.
    pub half: bool,
    /// Price of leaving out each, as a logarithm: what a sick machine may add at most. Danger: where traffic is thin
    /// each machine that failed did so once, and leaving them out for nothing would leave no evidence at all.
    pub bound: f64,
    /// The group of witnesses that says most is left out, where there are several.
    pub group: bool,
}

impl Evidence {
    /// Nothing seen; `effects` alternatives, and at most `most` witnesses.
    pub fn new(effects: usize, begin: &Onsets, most: usize) -> Self {
        let later = begin.ages.len().saturating_sub(1).max(1) as f64;
        let weight = |i: usize| match i {
            0 => 1.0 - begin.weights.0 - begin.weights.1,
            _ => begin.weights.1 / later,
        };
        let slot = |(i, age): (usize, &u64)| Slot { age: *age, time: 0, weight: weight(i).ln() };
        let slots: Vec<Slot> = begin.ages.iter().enumerate().map(slot).collect();
        let common = vec![0.0; slots.len() * effects];
        Self { effects, most, begin: begin.clone(), slots, common, witnesses: BTreeMap::new() }
    }

    /// A fault may also begin now, for the `ordinal`-th time from 1. The time that says least makes room.
    ///
    /// Dropping one lowers the mixture, so that no rate is harmed.
    pub fn add_onset(&mut self, ordinal: u32) {
        if ordinal == 0 || self.begin.max_times == 0 || self.slots.iter().any(|s| s.time == ordinal) {
            return;
        }
        let n = self.effects;
        let weight = (self.begin.weights.0 * split::onset_weight(ordinal - 1)).ln();
        let slot = Slot { age: 0, time: ordinal, weight };
        let fixed = self.begin.ages.len();
        if self.slots.len() < fixed + self.begin.max_times {
            self.slots.push(slot);
            self.common.resize(self.slots.len() * n, 0.0);
            return;
        }
        let all = Exclusion::default();
        let value = |i: &usize| self.slots[*i].weight + self.component(*i, all);
        let least = (fixed..self.slots.len()).min_by(|a, b| value(a).total_cmp(&value(b)));
        let Some(i) = least else { return };
        self.slots[i] = slot;
        self.common[i * n..(i + 1) * n].fill(0.0);
        for g in self.witnesses.values_mut().filter(|g| g.heard.len() > i) {
            g.heard[i] = 0;
            g.of[i * n..(i + 1) * n].fill(0.0);
        }
    }

    /// The ages from which the components count, in their order.
    pub fn ages(&self) -> impl Iterator<Item = u64> + '_ {
        self.slots.iter().map(|s| s.age)
    }

    /// Adds to the common part of a component.
    pub fn add(&mut self, slot: usize, effect: usize, log: f64) {
        self.common[slot * self.effects + effect] += log;
    }

    /// A witness answered for `outcomes`; `group` is what it belongs to.
    ///
    /// Beyond the bound on witnesses the one that has answered least is forgotten with its gains.
    pub fn record_outcomes(&mut self, witness: Witness, group: u16, age: u64, outcomes: u32) {
        if !self.witnesses.contains_key(&witness) && self.witnesses.len() >= self.most {
            let least = self.witnesses.iter().min_by_key(|w| (w.1.outcomes, *w.0)).map(|w| *w.0);
            least.map(|w| self.witnesses.remove(&w));
        }
        let slots = self.slots.len();
        let g = self.witnesses.entry(witness).or_default();
        g.group = group;
        g.outcomes = g.outcomes.saturating_add(outcomes);
        g.heard.resize(slots, 0);
        g.of.resize(slots * self.effects, 0.0);
        for (n, _) in g.heard.iter_mut().zip(&self.slots).filter(|s| s.1.age <= age) {
            *n = n.saturating_add(outcomes);
        }
    }

    /// Adds the gain of a witness's failures to a component.
    pub fn add_gain(&mut self, witness: Witness, slot: usize, effect: usize, log: f64) {
        if let Some(of) =
            self.witnesses.get_mut(&witness).and_then(|g| g.of.get_mut(slot * self.effects + effect))
        {
            *of += log;
        }
    }

    /// How many witnesses have answered for at least `least` outcomes.
    pub fn witnesses(&self, least: u32) -> usize {
        self.witnesses.values().filter(|g| g.outcomes >= least).count()
    }

    /// Logarithm of the e-value, with `out` left out.
    pub fn log_value(&self, out: Exclusion) -> f64 {
        log_sum((0..self.slots.len()).map(|i| self.slots[i].weight + self.component(i, out)))
    }

    /// The product of independent blocks kept apart in several, mixed like one.
    pub fn combined_log_value(all: &[&Evidence], out: Exclusion) -> f64 {
        let Some((first, rest)) = all.split_first() else { return 0.0 };
        if rest.is_empty() {
            return first.log_value(out);
        }
        let mut sum = (*first).clone();
        rest.iter().for_each(|other| sum.join(other));
        sum.log_value(out)
    }

    /// Adds `other`'s components to those of the same beginning; those that only one still holds stay as they are.
    fn join(&mut self, other: &Evidence) {
        let n = self.effects;
        for (i, slot) in self.slots.iter().enumerate() {
            let same = |s: &Slot| (s.age, s.time) == (slot.age, slot.time);
            let Some(at) = other.slots.iter().position(same) else { continue };
            for e in 0..n {
                self.common[i * n + e] += other.common[at * n + e];
            }
            for (w, g) in other.witnesses.iter().filter(|w| w.1.heard.len() > at) {
                let mine = self.witnesses.entry(*w).or_default();
                mine.group = g.group;
                mine.heard.resize(self.slots.len(), 0);
                mine.of.resize(self.slots.len() * n, 0.0);
                mine.heard[i] = mine.heard[i].saturating_add(g.heard[at]);
                for e in 0..n {
                    mine.of[i * n + e] += g.of[at * n + e];
                }
            }
        }
    }

    /// Logarithm of the mean over effects of one beginning's products.
    fn component(&self, slot: usize, out: Exclusion) -> f64 {
        let heard: Vec<&Gains> =
            self.witnesses.values().filter(|g| g.heard.get(slot).is_some_and(|n| *n > 0)).collect();
        let each = (0..self.effects).map(|e| {
            let at = slot * self.effects + e;
            let mut gains: Vec<(f64, u16)> = heard.iter().map(|g| (g.of[at], g.group)).collect();
            if out.group {
                let mut groups: BTreeMap<u16, f64> = BTreeMap::new();
                gains.iter().for_each(|g| *groups.entry(g.1).or_default() += g.0);
                let worst = groups.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|g| *g.0);
                if groups.len() > 1 {
                    gains.retain(|g| Some(g.1) != worst);
                }
            }
            let drop = match out.one_in {
                0 => 0,
                _ if out.half => (heard.len() / 2).max(2),
                many => (heard.len() / many).max(1),
            };
            gains.sort_by(|a, b| b.0.total_cmp(&a.0));
            let priced: f64 = gains.iter().take(drop).map(|g| g.0.min(out.bound)).sum();
            self.common[at] + priced + gains.iter().skip(drop).map(|g| g.0).sum::<f64>()
        });
        log_sum(each) - (self.effects.max(1) as f64).ln()
    }
}

/// Logarithm of the sum of exponentials.
pub fn log_sum(logs: impl Iterator<Item = f64>) -> f64 {
    let logs: Vec<f64> = logs.collect();
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if most == f64::NEG_INFINITY {
        return most;
    }
    most + logs.iter().map(|l| (l - most).exp()).sum::<f64>().ln()
}

/// Logarithm of the mean of e-values, itself an e-value under any dependence.
pub fn log_mean(logs: &[f64]) -> f64 {
    log_sum(logs.iter().copied()) - (logs.len().max(1) as f64).ln()
}

/// Logarithm of the mean of e-values by weights that sum to one.
pub fn log_weighted_mean(logs: &[(f64, f64)]) -> f64 {
    log_sum(logs.iter().map(|(weight, log)| weight.ln() + log))
}
