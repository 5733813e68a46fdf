//! A stand-in machine: cores, a queue, warm-up, and load reports that are smoothed and late.

use crate::scenario::{COLD_FROM, MS, WARM_AFTER};
use yarrowspoke::interface::{Build, MachineState, Micros};

/// Weight of the newest service time in the mean that a machine reports.
const REPORT_WEIGHT: f64 = 0.1;
/// Period at which a report is made anew.
const REPORT_PERIOD: Micros = 300 * MS;
/// A request that would wait longer is turned away unseen.
const QUEUE_LIMIT: Micros = 1_500 * MS;

/// What is wrong with a machine's load reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// Nothing.
    Sound,
    /// The first value for ever.
    Frozen,
    /// No value.
    Missing,
    /// Always this value.
    Says(f32),
}

/// A stand-in machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The place it stands in.
    pub place: u32,
    /// Its build.
    pub build: Build,
    /// Its zone.
    pub zone: u16,
    /// Its kind.
    pub kind: u8,
    /// Its state, as it is.
    pub state: MachineState,
    /// When it started; 0 = long ago.
    pub started: Micros,
    /// Work done in a second by one core when warm, as a multiple of the usual.
    pub speed: f64,
    /// Share it fails by itself, until `sick_until`.
    pub sick: f64,
    /// End of that.
    pub sick_until: Micros,
    /// What it does to its reports.
    pub report: Report,
    cores: Vec<Micros>,
    mean: f64,
    told: f64,
    told_at: Micros,
}

impl Machine {
    /// A machine that starts now (0: long ago) on `cores` cores.
    pub fn new(place: u32, build: Build, cores: u32, speed: f64, started: Micros) -> Self {
        Self {
            place,
            build,
            zone: 0,
            kind: 0,
            state: MachineState::Ready,
            started,
            speed,
            sick: 0.0,
            sick_until: 0,
            report: Report::Sound,
            cores: vec![0; cores as usize],
            mean: 0.0,
            told: 0.0,
            told_at: 0,
        }
    }

    /// Part of its cores that are busy.
    pub fn busy(&self, now: Micros) -> f64 {
        self.cores.iter().filter(|c| **c > now).count() as f64 / self.cores.len() as f64
    }

    /// Takes `work` (microseconds of one usual core) and returns when it ends, or nothing if the queue is full.
    pub fn take(&mut self, now: Micros, work: f64) -> Option<Micros> {
        let first = self.cores.iter_mut().min()?;
        let start = now.max(*first);
        if start > now + QUEUE_LIMIT {
            return None;
        }
        let age = start.saturating_sub(self.started);
        let warmth = if self.started == 0 || age >= WARM_AFTER {
            1.0
        } else {
            COLD_FROM + (1.0 - COLD_FROM) * age as f64 / WARM_AFTER as f64
        };
        let service = work / (self.speed * warmth);
        let end = start + service as Micros;
        *first = end;
        let weight = if self.mean == 0.0 { 1.0 } else { REPORT_WEIGHT };
        self.mean += weight * (service / 1e3 - self.mean);
        Some(end)
    }

    /// The load report that goes with an answer.
    pub fn reports(&mut self, now: Micros) -> Option<f32> {
        let frozen = self.report == Report::Frozen && self.told > 0.0;
        if now >= self.told_at + REPORT_PERIOD && !frozen {
            (self.told, self.told_at) = (self.mean, now);
        }
        match self.report {
            Report::Missing => None,
            Report::Says(value) => Some(value),
            Report::Sound | Report::Frozen => Some(self.told as f32),
        }
    }
}
