//! An e-process mixed over effects and over the times and ages at which a fault may begin, kept separately by
//! witness.
//!
//! A component is a product of e-values for one effect and one onset: a time, or an age of the machines (a build that
//! is bad after some seconds is bad on each machine at that age, not on all at once). Its logarithm is a common part
//! plus one gain for each machine: what that machine's failures add compared to as many successes. Leaving a machine
//! out means taking its failures for successes, which can only lower the product: so the minimum over all ways to
//! leave out `k` machines is reached by leaving out the `k` largest gains, and it is no larger than the product that
//! a fleet without its (at most `k`) faulty machines would have given. The mixture over onsets is the device of
//! e-detectors (Shin, Ramdas and Rinaldo 2022) with weights that sum to one, so that the whole stays an e-process
//! (Ville's inequality holds for any number of evaluations), and a fault that begins late is charged for its onset
//! time only.

use crate::split;
use std::collections::BTreeMap;

/// A machine or another source of outcomes that depend on each other.
pub type Witness = u32;

/// When a fault may begin.
#[derive(Clone, Debug, PartialEq)]
pub struct Onsets {
    /// Ages of a machine, in microseconds, from which it may fail; the first is 0.
    pub ages: Vec<u64>,
    /// Most onset times tracked besides the first.
    pub max_times: usize,
    /// Total weight of all times except the first, and total weight of all ages except the first.
    pub weights: (f64, f64),
}

#[derive(Clone, Copy, Debug)]
struct Component {
    age: u64,
    /// 0 = from the first outcome.
    onset: u32,
    weight: f64,
}

#[derive(Clone, Debug, Default)]
struct Gains {
    group: u16,
    outcomes: u32,
    /// Outcomes by component, and gains of failures by component and effect.
    outcomes_by_component: Vec<u32>,
    gains: Vec<f64>,
}

/// An e-process; see the module.
#[derive(Clone, Debug)]
pub struct Evidence {
    effects: usize,
    max_witnesses: usize,
    onsets: Onsets,
    components: Vec<Component>,
    common: Vec<f64>,
    witnesses: BTreeMap<Witness, Gains>,
}

/// What is left out of an evaluation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exclusion {
    /// One witness in this many, but at least one, may be left out; 0 leaves out none.
    pub one_in: usize,
    /// Half of the witnesses, but at least two, are left out instead.
    pub half: bool,
    /// Most that each witness left out may still add, as a logarithm. With thin traffic, each machine that failed did
    /// so once, and leaving those out entirely would leave no evidence at all.
    pub bound: f64,
    /// The group of witnesses that contributes most is left out, if there are several groups.
    pub group: bool,
}

impl Evidence {
    /// Creates an e-process without outcomes, with `effects` alternatives and at most `max_witnesses` witnesses.
    pub fn new(effects: usize, onsets: &Onsets, max_witnesses: usize) -> Self {
        let later_ages = onsets.ages.len().saturating_sub(1).max(1) as f64;
        let weight = |i: usize| match i {
            0 => 1.0 - onsets.weights.0 - onsets.weights.1,
            _ => onsets.weights.1 / later_ages,
        };
        let component = |(i, age): (usize, &u64)| Component { age: *age, onset: 0, weight: weight(i).ln() };
        let components: Vec<Component> = onsets.ages.iter().enumerate().map(component).collect();
        let common = vec![0.0; components.len() * effects];
        Self {
            effects,
            max_witnesses,
            onsets: onsets.clone(),
            components,
            common,
            witnesses: BTreeMap::new(),
        }
    }

    /// Adds an onset: a fault may also begin now, at the `ordinal`-th time, counted from 1. If there is no room, the
    /// onset with the least evidence is dropped.
    ///
    /// Dropping one lowers the mixture, so the error rates still hold.
    pub fn add_onset(&mut self, ordinal: u32) {
        if ordinal == 0 || self.onsets.max_times == 0 || self.components.iter().any(|s| s.onset == ordinal) {
            return;
        }
        let effects = self.effects;
        let weight = (self.onsets.weights.0 * split::onset_weight(ordinal - 1)).ln();
        let component = Component { age: 0, onset: ordinal, weight };
        let age_count = self.onsets.ages.len();
        if self.components.len() < age_count + self.onsets.max_times {
            self.components.push(component);
            self.common.resize(self.components.len() * effects, 0.0);
            return;
        }
        let all = Exclusion::default();
        let log_value = |i: &usize| self.components[*i].weight + self.component_log_value(*i, all);
        let weakest = (age_count..self.components.len()).min_by(|a, b| log_value(a).total_cmp(&log_value(b)));
        let Some(i) = weakest else { return };
        self.components[i] = component;
        self.common[i * effects..(i + 1) * effects].fill(0.0);
        for g in self.witnesses.values_mut().filter(|g| g.outcomes_by_component.len() > i) {
            g.outcomes_by_component[i] = 0;
            g.gains[i * effects..(i + 1) * effects].fill(0.0);
        }
    }

    /// Returns the ages from which the components count, in the order of the components.
    pub fn ages(&self) -> impl Iterator<Item = u64> + '_ {
        self.components.iter().map(|s| s.age)
    }

    /// Adds to the common part of a component.
    pub fn add(&mut self, component: usize, effect: usize, log: f64) {
        self.common[component * self.effects + effect] += log;
    }

    /// Records `outcomes` of a witness that belongs to `group`.
    ///
    /// If there are too many witnesses, the one with the fewest outcomes is forgotten with its gains.
    pub fn record_outcomes(&mut self, witness: Witness, group: u16, age: u64, outcomes: u32) {
        if !self.witnesses.contains_key(&witness) && self.witnesses.len() >= self.max_witnesses {
            let fewest = self.witnesses.iter().min_by_key(|w| (w.1.outcomes, *w.0)).map(|w| *w.0);
            fewest.map(|w| self.witnesses.remove(&w));
        }
        let components = self.components.len();
        let own = self.witnesses.entry(witness).or_default();
        own.group = group;
        own.outcomes = own.outcomes.saturating_add(outcomes);
        own.outcomes_by_component.resize(components, 0);
        own.gains.resize(components * self.effects, 0.0);
        for (count, _) in
            own.outcomes_by_component.iter_mut().zip(&self.components).filter(|s| s.1.age <= age)
        {
            *count = count.saturating_add(outcomes);
        }
    }

    /// Adds the gain of a witness's failures to a component.
    pub fn add_gain(&mut self, witness: Witness, component: usize, effect: usize, log: f64) {
        if let Some(gains) =
            self.witnesses.get_mut(&witness).and_then(|g| g.gains.get_mut(component * self.effects + effect))
        {
            *gains += log;
        }
    }

    /// Returns how many witnesses have at least `min_outcomes` outcomes.
    pub fn witnesses(&self, min_outcomes: u32) -> usize {
        self.witnesses.values().filter(|g| g.outcomes >= min_outcomes).count()
    }

    /// Returns the logarithm of the e-value, with `exclusion` left out.
    pub fn log_value(&self, exclusion: Exclusion) -> f64 {
        log_sum(
            (0..self.components.len())
                .map(|i| self.components[i].weight + self.component_log_value(i, exclusion)),
        )
    }

    /// Returns the logarithm of the product of independent e-processes, mixed like one.
    pub fn combined_log_value(all: &[&Evidence], exclusion: Exclusion) -> f64 {
        let Some((first, others)) = all.split_first() else { return 0.0 };
        if others.is_empty() {
            return first.log_value(exclusion);
        }
        let mut sum = (*first).clone();
        others.iter().for_each(|other| sum.add_components(other));
        sum.log_value(exclusion)
    }

    /// Adds the components of `other` to those of the same onset; components that only one of the two still has stay
    /// as they are.
    fn add_components(&mut self, other: &Evidence) {
        let effects = self.effects;
        for (i, component) in self.components.iter().enumerate() {
            let same = |s: &Component| (s.age, s.onset) == (component.age, component.onset);
            let Some(at) = other.components.iter().position(same) else { continue };
            for effect in 0..effects {
                self.common[i * effects + effect] += other.common[at * effects + effect];
            }
            for (witness, added) in other.witnesses.iter().filter(|w| w.1.outcomes_by_component.len() > at) {
                let own = self.witnesses.entry(*witness).or_default();
                own.group = added.group;
                own.outcomes_by_component.resize(self.components.len(), 0);
                own.gains.resize(self.components.len() * effects, 0.0);
                own.outcomes_by_component[i] =
                    own.outcomes_by_component[i].saturating_add(added.outcomes_by_component[at]);
                for effect in 0..effects {
                    own.gains[i * effects + effect] += added.gains[at * effects + effect];
                }
            }
        }
    }

    /// Returns the logarithm of the mean, over effects, of the products of one onset.
    fn component_log_value(&self, component: usize, exclusion: Exclusion) -> f64 {
        let observed: Vec<&Gains> = self
            .witnesses
            .values()
            .filter(|g| g.outcomes_by_component.get(component).is_some_and(|count| *count > 0))
            .collect();
        let by_effect = (0..self.effects).map(|effect| {
            let index = component * self.effects + effect;
            let mut gains: Vec<(f64, u16)> = observed.iter().map(|g| (g.gains[index], g.group)).collect();
            if exclusion.group {
                let mut groups: BTreeMap<u16, f64> = BTreeMap::new();
                gains.iter().for_each(|g| *groups.entry(g.1).or_default() += g.0);
                let largest = groups.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|g| *g.0);
                if groups.len() > 1 {
                    gains.retain(|g| Some(g.1) != largest);
                }
            }
            let excluded = match exclusion.one_in {
                0 => 0,
                _ if exclusion.half => (observed.len() / 2).max(2),
                many => (observed.len() / many).max(1),
            };
            gains.sort_by(|a, b| b.0.total_cmp(&a.0));
            let bounded: f64 = gains.iter().take(excluded).map(|g| g.0.min(exclusion.bound)).sum();
            self.common[index] + bounded + gains.iter().skip(excluded).map(|g| g.0).sum::<f64>()
        });
        log_sum(by_effect) - (self.effects.max(1) as f64).ln()
    }
}

/// Returns the logarithm of the sum of exponentials.
pub fn log_sum(logs: impl Iterator<Item = f64>) -> f64 {
    let logs: Vec<f64> = logs.collect();
    let max = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if max == f64::NEG_INFINITY {
        return max;
    }
    max + logs.iter().map(|l| (l - max).exp()).sum::<f64>().ln()
}

/// Returns the logarithm of the mean of e-values, which is an e-value under any dependence.
pub fn log_mean(logs: &[f64]) -> f64 {
    log_sum(logs.iter().copied()) - (logs.len().max(1) as f64).ln()
}

/// Returns the logarithm of the weighted mean of e-values, with weights that sum to one.
pub fn log_weighted_mean(logs: &[(f64, f64)]) -> f64 {
    log_sum(logs.iter().map(|(weight, log)| weight.ln() + log))
}
