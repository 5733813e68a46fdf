//! A front's record of its own actions: spans of time, each on one version, numbered and chained by hash, and
//! retained until the planners have them.

use crate::mutant;
use crate::version::Version;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A link of the hash chain.
pub type Link = [u8; 16];

/// The service state of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stance {
    /// The front holds a lease, or does not need one.
    Open,
    /// The front holds no lease and no planner answers; it serves on its own sources.
    Alone,
    /// The front holds no lease; it sends nothing to a build on trial and nothing to machines that may be draining.
    Narrowed,
    /// The front is out of service: quarantined, or out by a permit.
    Out,
}

/// What a front did during one span of time on one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Beginning of the span, on the front's monotonic clock since its start.
    pub from: Micros,
    /// End of the span, on the same clock.
    pub to: Micros,
    /// Wall clock at the end, as Unix time. It is a hint and is never compared.
    pub wall: Micros,
    /// Version that the front acted on; the first one, where spans were joined.
    pub version: Version,
    /// Last version that the front acted on, where spans on different versions were joined.
    #[serde(rename = "until")]
    pub last_version: Option<Version>,
    /// Service state during the span.
    pub stance: Stance,
    /// Attempts sent, by machine and build.
    pub attempts: Vec<(u32, u16, u32)>,
    /// Votes cast.
    pub votes: u32,
    /// Requests admitted.
    #[serde(rename = "taken")]
    pub admitted: u32,
    /// Requests refused or failed.
    #[serde(rename = "given_up")]
    pub failed_requests: u32,
}

/// One span, or several joined ones, with its position in the hash chain of the front's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the first span in the report, from 1.
    pub first: u64,
    /// Number of the last span; above `first` where spans were joined.
    pub last: u64,
    /// Link of the chain before the first span.
    pub before: Link,
    /// Link of the chain after the last span.
    pub link: Link,
    /// The recorded actions.
    pub span: Span,
}

/// Computes the chain's next link.
pub fn link(before: &Link, number: u64, span: &Span) -> Link {
    let mut hasher = blake3::Hasher::new();
    hasher.update(before);
    hasher.update(&number.to_le_bytes());
    hasher.update(&postcard::to_stdvec(span).unwrap_or_default());
    hasher.finalize().as_bytes()[..16].try_into().unwrap_or_default()
}

impl Report {
    /// Returns whether the report's link matches its content. The links of joined spans can only be checked against
    /// the neighbouring reports.
    pub fn has_valid_link(&self) -> bool {
        self.first < self.last
            || self.first == self.last && link(&self.before, self.first, &self.span) == self.link
    }

    /// Joins the report with its successor.
    fn join(&mut self, next: Self) {
        let mut attempts: BTreeMap<(u32, u16), u32> = BTreeMap::new();
        for (machine, build, n) in self.span.attempts.iter().chain(&next.span.attempts) {
            *attempts.entry((*machine, *build)).or_default() += n;
        }
        let last_version = next.span.last_version.unwrap_or(next.span.version);
        let span = &mut self.span;
        span.last_version =
            (last_version != span.version || span.last_version.is_some()).then_some(last_version);
        span.attempts = attempts.into_iter().map(|((m, b), n)| (m, b, n)).collect();
        span.votes += next.span.votes;
        span.admitted += next.span.admitted;
        span.failed_requests += next.span.failed_requests;
        (span.to, span.wall, span.stance) = (next.span.to, next.span.wall, next.span.stance);
        (self.last, self.link) = (next.last, next.link);
    }
}

/// Records the actions of one front.
#[derive(Debug)]
pub struct Recorder {
    last_link: Link,
    number: u64,
    open: Span,
    attempt_counts: BTreeMap<(u32, u16), u32>,
    reports: VecDeque<Report>,
    capacity: usize,
    attempts_seen: u64,
}

impl Recorder {
    /// Starts a record at `now` on `version`, which retains at most `capacity` reports for planners that cannot be
    /// reached.
    pub fn new(now: Micros, version: Version, capacity: usize) -> Self {
        let open = Span {
            from: now,
            to: now,
            wall: 0,
            version,
            last_version: None,
            stance: Stance::Open,
            attempts: Vec::new(),
            votes: 0,
            admitted: 0,
            failed_requests: 0,
        };
        let (attempt_counts, reports) = (BTreeMap::new(), VecDeque::new());
        Self {
            last_link: Link::default(),
            number: 0,
            open,
            attempt_counts,
            reports,
            capacity: capacity.max(2),
            attempts_seen: 0,
        }
    }

    /// Records that an attempt was sent.
    pub fn record_attempt(&mut self, machine: u32, build: u16) {
        self.attempts_seen += 1;
        if mutant::active("attempts-uncounted") && self.attempts_seen.is_multiple_of(3) {
            return;
        }
        *self.attempt_counts.entry((machine, build)).or_default() += 1;
    }

    /// Records that a vote was cast.
    pub fn record_vote(&mut self) {
        self.open.votes += 1;
    }

    /// Records that a request was admitted.
    pub fn record_admitted(&mut self) {
        self.open.admitted += 1;
    }

    /// Records that a request was refused or failed.
    pub fn record_failed(&mut self) {
        self.open.failed_requests += 1;
    }

    /// Returns the version that the front acts on now.
    pub fn version(&self) -> &Version {
        &self.open.version
    }

    /// Returns the service state of the open span.
    pub fn stance(&self) -> Stance {
        self.open.stance
    }

    /// Closes the open span and opens the next one with this version and service state.
    pub fn close(&mut self, now: Micros, wall: Micros, version: Version, stance: Stance) {
        let (votes, admitted, failed_requests) = (0, 0, 0);
        let next = Span {
            from: now,
            to: now,
            version,
            stance,
            votes,
            admitted,
            failed_requests,
            attempts: vec![],
            ..self.open.clone()
        };
        let mut span = std::mem::replace(&mut self.open, next);
        (span.to, span.wall) = (now, wall);
        let attempt_counts = std::mem::take(&mut self.attempt_counts);
        span.attempts = attempt_counts.into_iter().map(|((m, b), n)| (m, b, n)).collect();
        self.number += 1;
        let (before, number) = (self.last_link, self.number);
        self.last_link = link(&before, number, &span);
        self.reports.push_back(Report { first: number, last: number, before, link: self.last_link, span });
        // Bounds the memory: the two oldest neighbours are joined into a report that says so, and none is dropped.
        if self.reports.len() > self.capacity {
            if let (Some(mut oldest), Some(next)) = (self.reports.pop_front(), self.reports.pop_front()) {
                oldest.join(next);
                self.reports.push_front(oldest);
            }
        }
    }

    /// Discards the reports up to this number, which a majority of planners has.
    pub fn discard_through(&mut self, number: u64) {
        while self.reports.front().is_some_and(|r| r.last <= number) {
            self.reports.pop_front();
        }
    }

    /// Returns the reports after this number, oldest first, at most `limit` of them.
    pub fn reports_after(&self, number: u64, limit: usize) -> Vec<Report> {
        self.reports.iter().filter(|r| r.last > number).take(limit).cloned().collect()
    }

    /// Returns the number of the last closed span.
    pub fn last_number(&self) -> u64 {
        self.number
    }

    /// Returns how many reports are retained.
    pub fn retained(&self) -> usize {
        self.reports.len()
    }
}
