//! Pooling: a few fronts gather what all saw of a build, and the rest go by what those make of it.
//!
//! Danger: of a hundred fronts each sees a dozen requests a second, one or two of each machine. To such a front a
//! sick machine and a bad build look the same, and what eight unlucky ones of a hundred believe sends a good build
//! back. Gathered, the same outcomes tell machine from build within a second.
//!
//! Gatherers are fixed by number, evenly over all fronts, so that nobody has to be elected and a front that restarts
//! has its part at once. Where there are few fronts, all gather. Nothing that is told makes a front do more than
//! its own decision module would: opinions are counted, and the middle one stands only if enough were heard lately.

use crate::report::{Message, Pace, Row, MOST_IN_ROW, MOST_ROWS};
use std::collections::BTreeMap;

/// Fronts that gather.
const GATHERERS: u32 = 8;
/// Period of reports and opinions, in microseconds; each front has its own moment within it.
const EVERY: u64 = 400_000;
/// How long an opinion stands.
const STANDS: u64 = 1_500_000;
/// Opinions without which a front goes by its own evidence.
const LEAST_HEARD: usize = 2;
/// Most rows that wait to be told; beyond it the newest are left out.
const MOST_WAITING: usize = 4 * MOST_ROWS;

/// A message and to whom it goes; `None` is everybody.
pub type Letter = (Option<u16>, Vec<u8>);

/// One front's part in the pooling.
#[derive(Clone, Debug)]
pub struct Pool {
    me: u32,
    fronts: u32,
    on: u16,
    rows: BTreeMap<(bool, u16, u8), Row>,
    due: u64,
    opinions: BTreeMap<u32, (u64, u16, u8)>,
}

/// Whether opinions of a few stand for all: where all gather, each goes by what it gathered.
pub fn is_large(fronts: u32) -> bool {
    fronts > 2 * GATHERERS
}

/// The fronts that gather.
pub fn gatherers(fronts: u32) -> impl Iterator<Item = u32> {
    let n = if is_large(fronts) { GATHERERS } else { fronts };
    (0..n).map(move |i| (u64::from(i) * u64::from(fronts) / u64::from(n.max(1))) as u32)
}

impl Pool {
    /// The part of front `me` of `fronts`.
    pub fn new(me: u32, fronts: u32) -> Self {
        Self { me, fronts, on: 0, rows: BTreeMap::new(), due: 0, opinions: BTreeMap::new() }
    }

    /// Whether this front gathers.
    pub fn gathers(&self) -> bool {
        gatherers(self.fronts).any(|g| g == self.me)
    }

    /// Whether this front's opinion goes to the others.
    pub fn speaks(&self) -> bool {
        is_large(self.fronts) && self.gathers()
    }

    /// Takes an own outcome, to be told; `build` is the one on trial, `trial` whether the machine runs it.
    pub fn note(
        &mut self,
        build: u16,
        trial: bool,
        machine: u32,
        class: usize,
        bad: bool,
        pace: Option<Pace>,
    ) {
        self.turn_to(build);
        let Ok(class) = u8::try_from(class) else { return };
        let key = (trial, machine as u16, class);
        if class > 15 || self.rows.len() >= MOST_WAITING && !self.rows.contains_key(&key) {
            return;
        }
        let fresh = Row { machine: key.1, class, trial, n: 0, bad: 0, pace: None };
        let row = self.rows.entry(key).or_insert(fresh);
        // Beyond what a row holds the share stays: neither a success nor a failure is left out for what it is.
        if row.n < MOST_IN_ROW {
            (row.n, row.bad) = (row.n + 1, row.bad + u8::from(bad));
        }
        row.pace = pace.or(row.pace);
    }

    /// Another build is on trial: what waits to be told and what was heard is on the one before.
    fn turn_to(&mut self, build: u16) {
        if self.on != build {
            self.on = build;
            self.rows.clear();
            self.opinions.clear();
        }
    }

    /// Whether it is time to tell.
    pub fn is_due(&self, now: u64) -> bool {
        now >= self.due
    }

    /// What is to be told now of `build`; `opinion` is this front's own, told only by those that gather.
    pub fn tell(&mut self, now: u64, build: u16, opinion: u8) -> Vec<Letter> {
        self.turn_to(build);
        // Danger: a hundred reports in the same moment, every time: each front has its own.
        let phase = u64::from(self.me) * EVERY / u64::from(self.fronts.max(1));
        self.due = (now.saturating_sub(phase) / EVERY + 1) * EVERY + phase;
        let mut letters = Vec::new();
        if self.speaks() {
            letters.push((None, Message::Opinion(build, opinion).encode()));
        }
        let told: Vec<Row> = std::mem::take(&mut self.rows).into_values().collect();
        for rows in told.chunks(MOST_ROWS) {
            let bytes = Message::Report(build, rows.to_vec()).encode();
            let others = gatherers(self.fronts).filter(|g| *g != self.me);
            letters.extend(others.map(|g| (Some(g as u16), bytes.clone())));
        }
        letters
    }

    /// Takes a message. A report on the build on trial is given back to whoever gathers; `None` is one that says
    /// nothing: unreadable, on another build, or from a front that has no say.
    pub fn hear(&mut self, now: u64, from: u32, bytes: &[u8]) -> Option<Vec<Row>> {
        match Message::decode(bytes)? {
            Message::Report(build, rows) => (build == self.on && self.gathers()).then_some(rows),
            Message::Opinion(build, opinion) => {
                let has_say = build == self.on && gatherers(self.fronts).any(|g| g == from);
                has_say.then(|| {
                    self.opinions.insert(from, (now, build, opinion));
                    Vec::new()
                })
            }
        }
    }

    /// The middle opinion on `build`, the lower of two, for a front that does not gather, if enough were heard lately.
    pub fn opinion(&self, now: u64, build: u16) -> Option<u8> {
        if self.gathers() {
            return None;
        }
        let stands = |o: &&(u64, u16, u8)| o.0 + STANDS > now && o.1 == build;
        let mut heard: Vec<u8> = self.opinions.values().filter(stands).map(|o| o.2).collect();
        heard.sort_unstable();
        (heard.len() >= LEAST_HEARD).then(|| heard[(heard.len() - 1) / 2])
    }
}
