//! A design and random streams of outcomes for tests.
#![allow(dead_code)]

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yarrowspoke_verdict::evidence::Onsets;
use yarrowspoke_verdict::evidence_log::{Design, EvidenceLog, Outcome};
use yarrowspoke_verdict::pace::PaceDesign;

pub fn design() -> Design {
    Design {
        classes: 3,
        effects: vec![0.02, 0.1, 0.4],
        failure_floor: 0.002,
        floor_weight: 50.0,
        block: (500_000, 8.0),
        thin_ratio: 8.0,
        block_longest: 4_000_000,
        onset_spacing: 4_000_000,
        onsets: Onsets { ages: vec![0, 3_000_000, 6_000_000, 9_000_000], max_times: 5, weights: (0.3, 0.3) },
        max_machines: 64,
        faulty_one_in: 4,
        faulty_bound: 2.0,
        zone_bound: 4.0,
        slowdown: (1.15, 1.5),
        pace_every: 200_000,
        memory: 2_000.0,
        memory_class: (1.0, 0.02),
        memory_bound: (3.0, 0.02),
        margin: 0.05,
        witness_outcomes: 8,
        weights: [0.1, 0.05, 0.3, 0.25, 0.05, 0.25],
        pace: PaceDesign {
            weight: 0.1,
            min_values: 5,
            max_silence: 8_000_000,
            outlier_factor: 50.0,
            frozen_after: 40,
            spread: 0.15,
            spread_weight: 4.0,
            faulty_one_in: 4,
            max_machines: 64,
        },
    }
}

/// A stream of outcomes of one front, with random machines, classes and builds, and given failure probabilities.
pub struct Stream {
    pub rng: Pcg64Mcg,
    pub now: u64,
    pub trial_share: f64,
    pub trial_machines: u32,
    pub earlier_machines: u32,
}

impl Stream {
    pub fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { rng, now: 0, trial_share: 0.25, trial_machines: 4, earlier_machines: 12 }
    }

    /// Returns the next outcome, 10 ms later. `fails` and `pace` take whether it is the build on trial, the machine
    /// and the zone; `fails` also takes the class and the time.
    pub fn next(
        &mut self,
        fails: impl Fn(bool, u32, u16, usize, u64) -> f64,
        pace: impl Fn(bool, u32, u16) -> f64,
    ) -> (bool, Outcome) {
        self.now += 10_000;
        let trial = self.rng.gen_bool(self.trial_share);
        let machine = if trial {
            100 + self.rng.gen_range(0..self.trial_machines)
        } else {
            self.rng.gen_range(0..self.earlier_machines)
        };
        let (zone, class) = ((machine % 2) as u16, self.rng.gen_range(0..3));
        let failed = self.rng.gen_bool(fails(trial, machine, zone, class, self.now));
        let noise: f64 = self.rng.gen_range(-0.05..0.05);
        let reported_time = (!failed).then(|| pace(trial, machine, zone) * noise.exp());
        let outcome = Outcome {
            at: self.now,
            machine,
            zone,
            kind: 0,
            age: self.now,
            class,
            failed,
            reported_time,
            measured_pace: None,
        };
        (trial, outcome)
    }

    /// Records `n` outcomes and returns the highest evidence seen on the way: failing, slow.
    pub fn feed(
        &mut self,
        log: &mut EvidenceLog,
        n: usize,
        fails: impl Fn(bool, u32, u16, usize, u64) -> f64,
        pace: impl Fn(bool, u32, u16) -> f64,
    ) -> (f64, f64) {
        let mut highest = (f64::MIN, f64::MIN);
        for _ in 0..n {
            let (trial, outcome) = self.next(&fails, &pace);
            log.record(trial, &outcome);
            log.close_due_blocks(self.now);
            let f = log.findings();
            highest = (highest.0.max(f.failing), highest.1.max(f.slow));
        }
        highest
    }
}
