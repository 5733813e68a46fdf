//! The merged log of all reports: a union by front, incarnation and number, which does not depend on order, on
//! repeats, or on which planner received a report first.

use crate::mutant;
use crate::span::Report;
use crate::wire::{HeldRanges, MessageError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Two records that contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Contradiction {
    /// Name of the front.
    pub front: String,
    /// Incarnation of the front.
    pub incarnation: u64,
    /// Number of the span at which the contradiction shows.
    pub number: u64,
    /// Description of the contradiction.
    pub what: String,
}

/// The reports of one incarnation of a front.
#[derive(Clone, Debug, Default)]
struct Incarnation {
    /// Reports by first and last number. All that arrived are kept; [`ReportLog::view`] selects the ones to show.
    reports: BTreeMap<(u64, u64), Report>,
    /// The highest number that the front reported as closed.
    head: u64,
    /// Reports up to this number were pruned for space or age.
    pruned_through: u64,
    /// Numbers up to this one are held here, or are no longer retained by the front.
    settled_through: u64,
    /// Position in the order in which incarnations were first heard of here.
    order: u64,
    bytes: u64,
}

/// The merged log.
#[derive(Clone, Debug, Default)]
pub struct ReportLog {
    incarnations: BTreeMap<(String, u64), Incarnation>,
    contradictions: BTreeMap<Contradiction, u64>,
    last_order: u64,
}

/// Returns the approximate bytes that a report occupies.
fn approximate_bytes(report: &Report) -> u64 {
    220 + 10 * report.span.attempts.len() as u64
}

impl ReportLog {
    fn incarnation(&mut self, front: &str, incarnation: u64) -> &mut Incarnation {
        let last_order = &mut self.last_order;
        self.incarnations.entry((front.to_owned(), incarnation)).or_insert_with(|| {
            *last_order += 1;
            Incarnation { order: *last_order, ..Incarnation::default() }
        })
    }

    /// Checks whether a report is valid by itself.
    pub fn check(report: &Report) -> Result<(), MessageError> {
        let rejected = |what| Err(MessageError::InvalidReport(report.first, what));
        if report.first == 0 || report.last < report.first {
            return rejected("its span numbers decrease");
        }
        if report.span.to < report.span.from {
            return rejected("it ends before it begins");
        }
        if !report.has_valid_link() {
            return rejected("its link does not match its content");
        }
        Ok(())
    }

    /// Inserts a report; returns true if it was new. A report that differs from the one held under the same numbers
    /// is not inserted, and recorded as a contradiction.
    pub fn insert(&mut self, front: &str, incarnation: u64, report: Report) -> Result<bool, MessageError> {
        Self::check(&report)?;
        if mutant::active("merge-keeps-last") {
            self.incarnations.retain(|k, _| k.0 != front || k.1 == incarnation);
            let entry = self.incarnation(front, incarnation);
            entry.reports.retain(|k, _| k.0 + 8 > report.first);
        }
        let entry = self.incarnation(front, incarnation);
        if report.last <= entry.pruned_through {
            return Ok(false);
        }
        let number = (report.first, report.last);
        if let Some(held) = entry.reports.get(&number) {
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
        entry.bytes += approximate_bytes(&report);
        entry.head = entry.head.max(report.last);
        entry.reports.insert(number, report);
        Ok(true)
    }

    /// Records how many spans the front reports as closed.
    pub fn record_head(&mut self, front: &str, incarnation: u64, number: u64) {
        let entry = self.incarnation(front, incarnation);
        entry.head = entry.head.max(number);
    }

    /// Merges everything in `other` into this log.
    pub fn merge(&mut self, other: &Self) {
        for ((front, incarnation), entry) in &other.incarnations {
            for report in entry.reports.values() {
                let _ = self.insert(front, *incarnation, report.clone());
            }
            self.record_head(front, *incarnation, entry.head);
        }
        for (contradiction, n) in &other.contradictions {
            let held = self.contradictions.entry(contradiction.clone()).or_default();
            *held = (*held).max(*n);
        }
    }

    /// Returns the incarnations of all fronts, those of each front in the order in which they were first heard of.
    pub fn incarnations(&self) -> Vec<(&str, u64)> {
        let mut all: Vec<_> = self.incarnations.iter().map(|((f, i), l)| (f.as_str(), l.order, *i)).collect();
        all.sort_unstable();
        all.into_iter().map(|(f, _, i)| (f, i)).collect()
    }

    /// Returns what is known of an incarnation, in order and without overlap. Spans that were joined because no
    /// planner could be reached are replaced by the separate ones if another planner has all of them; if any is
    /// missing, the joined report is used.
    pub fn view(&self, front: &str, incarnation: u64) -> Vec<&Report> {
        let Some(entry) = self.incarnations.get(&(front.to_owned(), incarnation)) else { return vec![] };
        let mut all: Vec<&Report> = entry.reports.values().collect();
        // Of reports that begin together, the widest comes first, so that the reports it contains follow directly.
        all.sort_unstable_by_key(|r| (r.first, std::cmp::Reverse(r.last)));
        let mut out = Vec::new();
        select_finest(&all, &mut out);
        out
    }

    /// Returns the numbers closed by an incarnation that no report here covers, as closed ranges. Pruned numbers are
    /// not included.
    pub fn gaps(&self, front: &str, incarnation: u64) -> Vec<(u64, u64)> {
        let Some(entry) = self.incarnations.get(&(front.to_owned(), incarnation)) else { return vec![] };
        self.gaps_of(front, incarnation, entry)
    }

    /// Returns the number up to which all reports are held.
    pub fn contiguous_through(&self, front: &str, incarnation: u64) -> u64 {
        let Some(entry) = self.incarnations.get(&(front.to_owned(), incarnation)) else { return 0 };
        let first_gap = self.gaps_of(front, incarnation, entry).first().map(|g| g.0);
        first_gap.map_or(entry.head, |g| g - 1)
    }

    /// Records that the front retains nothing before this number that is not acknowledged here. A gap before it
    /// remains a gap.
    ///
    /// The number must not be too high: the front would not send the reports in between to this planner, and would
    /// discard them once other planners have skipped them too, or had them and lost them.
    pub fn set_oldest_retained(&mut self, front: &str, incarnation: u64, number: u64) {
        let entry = self.incarnation(front, incarnation);
        entry.settled_through = entry.settled_through.max(number.saturating_sub(1));
    }

    /// Returns the number to acknowledge to the front: all reports up to it are held, or can no longer come from the
    /// front.
    pub fn acknowledged_through(&self, front: &str, incarnation: u64) -> u64 {
        let Some(entry) = self.incarnations.get(&(front.to_owned(), incarnation)) else { return 0 };
        let gaps = self.gaps_of(front, incarnation, entry);
        let open = gaps.iter().find(|g| g.1 > entry.settled_through);
        open.map_or(entry.head, |g| entry.settled_through.max(g.0 - 1))
    }

    fn gaps_of(&self, front: &str, incarnation: u64, entry: &Incarnation) -> Vec<(u64, u64)> {
        let (mut next, mut out) = (entry.pruned_through + 1, Vec::new());
        for report in self.view(front, incarnation) {
            if report.first > next {
                out.push((next, report.first - 1));
            }
            next = next.max(report.last + 1);
        }
        if entry.head >= next {
            out.push((next, entry.head));
        }
        out
    }

    /// Returns what is held, by front and incarnation, as closed ranges of numbers.
    pub fn held_ranges(&self) -> Vec<HeldRanges> {
        let ranges = |((front, incarnation), entry): (&(String, u64), &Incarnation)| {
            let mut out: Vec<(u64, u64)> = Vec::new();
            if entry.pruned_through > 0 {
                out.push((1, entry.pruned_through));
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

    /// Returns reports that a planner with these ranges lacks, at most `max_bytes` of them.
    pub fn missing_from(&self, held: &[HeldRanges], max_bytes: u64) -> Vec<(String, u64, Report)> {
        let (mut out, mut bytes) = (Vec::new(), 0);
        for (front, incarnation) in self.incarnations() {
            let ranges = held.iter().find(|h| h.0 == front && h.1 == incarnation).map(|h| &h.2);
            let is_held =
                |r: &Report| ranges.is_some_and(|all| all.iter().any(|h| h.0 <= r.first && r.last <= h.1));
            for report in self.view(front, incarnation).into_iter().filter(|r| !is_held(r)) {
                bytes += approximate_bytes(report);
                if bytes > max_bytes {
                    return out;
                }
                out.push((front.to_owned(), incarnation, report.clone()));
            }
        }
        out
    }

    /// Returns all contradictions: reports under one number that differ, and links that do not connect.
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

    /// Returns the approximate bytes held.
    pub fn bytes(&self) -> u64 {
        self.incarnations.values().map(|l| l.bytes).sum()
    }

    /// Prunes reports that ended before this wall time, and then the oldest until at most `max_bytes` are held.
    /// Returns which, by front, incarnation, first and last number, so that they can be deleted from storage too.
    pub fn prune(&mut self, before: u64, max_bytes: u64) -> Vec<(String, u64, u64, u64)> {
        let (mut out, mut over) = (Vec::new(), self.bytes().saturating_sub(max_bytes));
        let mut by_age: Vec<_> = self.incarnations.iter().map(|(k, l)| (l.order, k.clone())).collect();
        by_age.sort_unstable();
        for (_, key) in by_age {
            let Some(entry) = self.incarnations.get_mut(&key) else { continue };
            while let Some(first) =
                entry.reports.first_entry().filter(|r| over > 0 || r.get().span.wall < before)
            {
                let report = first.remove();
                let freed = approximate_bytes(&report);
                (entry.bytes, over) = (entry.bytes - freed, over.saturating_sub(freed));
                entry.pruned_through = entry.pruned_through.max(report.last);
                out.push((key.0.clone(), key.1, report.first, report.last));
            }
        }
        out
    }
}

/// Selects the reports to show from reports that are nested or disjoint.
fn select_finest<'a>(all: &[&'a Report], out: &mut Vec<&'a Report>) {
    let mut at = 0;
    while let Some(widest) = all.get(at) {
        let inside = all[at + 1..].iter().take_while(|r| r.first <= widest.last).count();
        let finer = &all[at + 1..at + 1 + inside];
        let begun = out.len();
        if !finer.is_empty() {
            select_finest(finer, out);
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
