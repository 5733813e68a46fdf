//! All reports as one: a union by front, incarnation and number, so that order, repeats and who heard first don't matter.

use crate::mutant;
use crate::span::Report;
use crate::wire::{HeldRanges, MessageError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Two things in the record that can't both be.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Contradiction {
    /// The front.
    pub front: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Number of the span at which it shows.
    pub number: u64,
    /// What it is.
    pub what: String,
}

/// One incarnation of a front.
#[derive(Clone, Debug, Default)]
struct Incarnation {
    /// By first and last number. All that came is kept: which of it is shown is a matter of [`Book::view`].
    reports: BTreeMap<(u64, u64), Report>,
    /// The highest number that the front said it had closed.
    head: u64,
    /// Reports up to this number were given up for room or age.
    pruned: u64,
    /// Numbers up to this one are held here, or the front keeps them no longer.
    settled: u64,
    /// In which order incarnations were first heard of here.
    order: u64,
    bytes: u64,
}

/// The merged record.
#[derive(Clone, Debug, Default)]
pub struct ReportLog {
    incarnations: BTreeMap<(String, u64), Incarnation>,
    contradictions: BTreeMap<Contradiction, u64>,
    orders: u64,
}

/// Bytes that a report takes, about.
fn weight(report: &Report) -> u64 {
    220 + 10 * report.span.attempts.len() as u64
}

impl ReportLog {
    fn incarnation(&mut self, front: &str, incarnation: u64) -> &mut Incarnation {
        let orders = &mut self.orders;
        self.incarnations.entry((front.to_owned(), incarnation)).or_insert_with(|| {
            *orders += 1;
            Incarnation { order: *orders, ..Incarnation::default() }
        })
    }

    /// Whether a report can be at all.
    pub fn check(report: &Report) -> Result<(), MessageError> {
        let refused = |what| Err(MessageError::InvalidReport(report.first, what));
        if report.first == 0 || report.last < report.first {
            return refused("its numbers fall");
        }
        if report.span.to < report.span.from {
            return refused("it ends before it begins");
        }
        if !report.has_valid_link() {
            return refused("its link is not that of its content");
        }
        Ok(())
    }

    /// Takes a report in; true if it was not there. One that differs from the one held under its numbers is kept out and
    /// noted as a contradiction.
    pub fn insert(&mut self, front: &str, incarnation: u64, report: Report) -> Result<bool, MessageError> {
        Self::check(&report)?;
        if mutant::active("merge-keeps-last") {
            self.incarnations.retain(|k, _| k.0 != front || k.1 == incarnation);
            let known = self.incarnation(front, incarnation);
            known.reports.retain(|k, _| k.0 + 8 > report.first);
        }
        let known = self.incarnation(front, incarnation);
        if report.last <= known.pruned {
            return Ok(false);
        }
        let number = (report.first, report.last);
        if let Some(held) = known.reports.get(&number) {
            if *held == report {
                return Ok(false);
            }
            let what = "two reports under one number: an altered one, or two processes in one incarnation"
                .to_owned();
            let contradiction =
                Contradiction { front: front.to_owned(), incarnation, number: report.first, what };
            *self.contradictions.entry(contradiction).or_default() += 1;
            return Ok(false);
        }
        known.bytes += weight(&report);
        known.head = known.head.max(report.last);
        known.reports.insert(number, report);
        Ok(true)
    }

    /// The front says that it has closed so many spans.
    pub fn record_head(&mut self, front: &str, incarnation: u64, number: u64) {
        let known = self.incarnation(front, incarnation);
        known.head = known.head.max(number);
    }

    /// Everything that is in `other` is in this one afterwards.
    pub fn merge(&mut self, other: &Self) {
        for ((front, incarnation), known) in &other.incarnations {
            for report in known.reports.values() {
                let _ = self.insert(front, *incarnation, report.clone());
            }
            self.record_head(front, *incarnation, known.head);
        }
        for (contradiction, n) in &other.contradictions {
            let held = self.contradictions.entry(contradiction.clone()).or_default();
            *held = (*held).max(*n);
        }
    }

    /// Incarnations of all fronts, each front's in the order in which they were first heard of.
    pub fn incarnations(&self) -> Vec<(&str, u64)> {
        let mut all: Vec<_> = self.incarnations.iter().map(|((f, i), l)| (f.as_str(), l.order, *i)).collect();
        all.sort_unstable();
        all.into_iter().map(|(f, _, i)| (f, i)).collect()
    }

    /// What is known of an incarnation, in order and without overlap. Where spans were joined because no planner could be
    /// reached and another planner has them one by one, those are taken; the joined one holds where any of them is missing.
    pub fn view(&self, front: &str, incarnation: u64) -> Vec<&Report> {
        let Some(known) = self.incarnations.get(&(front.to_owned(), incarnation)) else { return vec![] };
        let mut all: Vec<&Report> = known.reports.values().collect();
        // The widest first among those that begin together, so that what it holds stands right behind it.
        all.sort_unstable_by_key(|r| (r.first, std::cmp::Reverse(r.last)));
        let mut out = Vec::new();
        cover(&all, &mut out);
        out
    }

    /// Numbers closed by an incarnation that no report here holds, as closed ranges; those given up for age are not among them.
    pub fn gaps(&self, front: &str, incarnation: u64) -> Vec<(u64, u64)> {
        let Some(known) = self.incarnations.get(&(front.to_owned(), incarnation)) else { return vec![] };
        self.gaps_of(front, incarnation, known)
    }

    /// All numbers up to this one are held.
    pub fn contiguous_through(&self, front: &str, incarnation: u64) -> u64 {
        let Some(known) = self.incarnations.get(&(front.to_owned(), incarnation)) else { return 0 };
        let first_gap = self.gaps_of(front, incarnation, known).first().map(|g| g.0);
        first_gap.map_or(known.head, |g| g - 1)
    }

    /// The front keeps nothing before this number that is not acknowledged here. A gap before it stays a gap.
    ///
    /// Danger: said of more than is so, the front would not send to this planner what lies between, and once others have
    /// skipped the same, or had it and lost it, would drop it.
    pub fn set_oldest_retained(&mut self, front: &str, incarnation: u64, number: u64) {
        let known = self.incarnation(front, incarnation);
        known.settled = known.settled.max(number.saturating_sub(1));
    }

    /// What is acknowledged to the front: all numbers up to this one are held, or can't come from it any more.
    pub fn acknowledged_through(&self, front: &str, incarnation: u64) -> u64 {
        let Some(known) = self.incarnations.get(&(front.to_owned(), incarnation)) else { return 0 };
        let gaps = self.gaps_of(front, incarnation, known);
        let open = gaps.iter().find(|g| g.1 > known.settled);
        open.map_or(known.head, |g| known.settled.max(g.0 - 1))
    }

    fn gaps_of(&self, front: &str, incarnation: u64, known: &Incarnation) -> Vec<(u64, u64)> {
        let (mut next, mut out) = (known.pruned + 1, Vec::new());
        for report in self.view(front, incarnation) {
            if report.first > next {
                out.push((next, report.first - 1));
            }
            next = next.max(report.last + 1);
        }
        if known.head >= next {
            out.push((next, known.head));
        }
        out
    }

    /// What is held, by front and incarnation, as closed ranges of numbers.
    pub fn held_ranges(&self) -> Vec<HeldRanges> {
        let ranges = |((front, incarnation), known): (&(String, u64), &Incarnation)| {
            let mut out: Vec<(u64, u64)> = Vec::new();
            if known.pruned > 0 {
                out.push((1, known.pruned));
            }
            for report in self.view(front, *incarnation) {
                match out.last_mut() {
                    Some(last) if last.1 + 1 >= report.first => last.1 = last.1.max(report.last),
                    _ => out.push((report.first, report.last)),
                }
            }
            (front.clone(), *incarnation, out)
        };
        self.incarnations.iter().map(ranges).collect()
    }

    /// Reports that somebody lacks who has these ranges, at most so many bytes of them.
    pub fn missing_from(&self, have: &[HeldRanges], most: u64) -> Vec<(String, u64, Report)> {
        let (mut out, mut bytes) = (Vec::new(), 0);
        for (front, incarnation) in self.incarnations() {
            let ranges = have.iter().find(|h| h.0 == front && h.1 == incarnation).map(|h| &h.2);
            let held =
                |r: &Report| ranges.is_some_and(|all| all.iter().any(|h| h.0 <= r.first && r.last <= h.1));
            for report in self.view(front, incarnation).into_iter().filter(|r| !held(r)) {
                bytes += weight(report);
                if bytes > most {
                    return out;
                }
                out.push((front.to_owned(), incarnation, report.clone()));
            }
        }
        out
    }

    /// What can't both be: reports under one number that differ, and links that don't join up.
    pub fn contradictions(&self) -> Vec<Contradiction> {
        let mut out: Vec<Contradiction> = self.contradictions.keys().cloned().collect();
        for (front, incarnation) in self.incarnations() {
            let view = self.view(front, incarnation);
            for pair in view.windows(2).filter(|p| p[0].last + 1 == p[1].first && p[0].link != p[1].before) {
                let what = "its link does not continue the one before it".to_owned();
                let number = pair[1].first;
                out.push(Contradiction { front: front.to_owned(), incarnation, number, what });
            }
        }
        out
    }

    /// Bytes held, about.
    pub fn bytes(&self) -> u64 {
        self.incarnations.values().map(|l| l.bytes).sum()
    }

    /// Gives up reports that ended before this wall time, and then the oldest until no more than so many bytes are held; says
    /// which, by front, incarnation, first and last number, so that the same can be done where they are stored.
    pub fn prune(&mut self, before: u64, most: u64) -> Vec<(String, u64, u64, u64)> {
        let (mut out, mut over) = (Vec::new(), self.bytes().saturating_sub(most));
        let mut by_age: Vec<_> = self.incarnations.iter().map(|(k, l)| (l.order, k.clone())).collect();
        by_age.sort_unstable();
        for (_, key) in by_age {
            let Some(known) = self.incarnations.get_mut(&key) else { continue };
            while let Some(first) =
                known.reports.first_entry().filter(|r| over > 0 || r.get().span.wall < before)
            {
                let report = first.remove();
                let freed = weight(&report);
                (known.bytes, over) = (known.bytes - freed, over.saturating_sub(freed));
                known.pruned = known.pruned.max(report.last);
                out.push((key.0.clone(), key.1, report.first, report.last));
            }
        }
        out
    }
}

/// Chooses, of reports that are nested or apart, those to show.
fn cover<'a>(all: &[&'a Report], out: &mut Vec<&'a Report>) {
    let mut at = 0;
    while let Some(widest) = all.get(at) {
        let inside = all[at + 1..].iter().take_while(|r| r.first <= widest.last).count();
        let finer = &all[at + 1..at + 1 + inside];
        let begun = out.len();
        if !finer.is_empty() {
            cover(finer, out);
            let mut next = widest.first;
            let whole = out[begun..].iter().all(|r| std::mem::replace(&mut next, r.last + 1) == r.first);
            if !whole || next != widest.last + 1 {
                out.truncate(begun);
            }
        }
        if out.len() == begun {
            out.push(widest);
        }
        at += 1 + inside;
    }
}
