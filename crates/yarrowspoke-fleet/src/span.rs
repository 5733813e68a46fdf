//! What a front notes: spans on one version each, numbered and chained, kept until planners have them.

use crate::mutant;
use crate::version::Version;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Bytes of a chain's links.
pub type Link = [u8; 16];

/// How a front stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stance {
    /// A lease is held, or none is needed.
    Open,
    /// No lease and no planner that answers: by its own sources.
    Alone,
    /// No lease: nothing for a build on trial, nothing for machines that may be draining.
    Narrowed,
    /// Quarantined.
    Out,
}

/// What was done in one span of time on one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Begin and end, since the front's start, on its monotonic clock.
    pub from: Micros,
    /// The end.
    pub to: Micros,
    /// The wall clock at the end, Unix time: a hint, never compared.
    pub wall: Micros,
    /// What was acted on...
    pub version: Version,
    /// ...and, where spans were joined, what was acted on last.
    #[serde(rename = "until")]
    pub last_version: Option<Version>,
    /// How it stood.
    pub stance: Stance,
    /// Attempts by machine and build.
    pub attempts: Vec<(u32, u16, u32)>,
    /// Votes cast.
    pub votes: u32,
    /// Requests taken.
    #[serde(rename = "taken")]
    pub admitted: u32,
    /// Requests refused or failed.
    #[serde(rename = "given_up")]
    pub failed_requests: u32,
}

/// A span, or several that were joined, with its place in the chain of a front's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the first span in it, from 1.
    pub first: u64,
    /// Number of the last; above `first` where spans were joined.
    pub last: u64,
    /// The chain before it.
    pub before: Link,
    /// The chain with it.
    pub link: Link,
    /// What was done.
    pub span: Span,
}

/// The chain's next link.
pub fn link(before: &Link, number: u64, span: &Span) -> Link {
    let mut hasher = blake3::Hasher::new();
    hasher.update(before);
    hasher.update(&number.to_le_bytes());
    hasher.update(&postcard::to_stdvec(span).unwrap_or_default());
    hasher.finalize().as_bytes()[..16].try_into().unwrap_or_default()
}

impl Report {
    /// Whether its own link is right; of joined ones only the ends can be held against their neighbours.
    pub fn has_valid_link(&self) -> bool {
        self.first < self.last
            || self.first == self.last && link(&self.before, self.first, &self.span) == self.link
    }

    /// Joins it with the one behind it.
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

/// A front's record of itself.
#[derive(Debug)]
pub struct Recorder {
    head: Link,
    number: u64,
    open: Span,
    counts: BTreeMap<(u32, u16), u32>,
    kept: VecDeque<Report>,
    most: usize,
    noted: u64,
}

impl Recorder {
    /// A record that begins now, on this version; at most so many reports are kept for planners out of reach.
    pub fn new(now: Micros, version: Version, most: usize) -> Self {
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
        let (counts, kept) = (BTreeMap::new(), VecDeque::new());
        Self { head: Link::default(), number: 0, open, counts, kept, most: most.max(2), noted: 0 }
    }

    /// An attempt is sent.
    pub fn record_attempt(&mut self, machine: u32, build: u16) {
        self.noted += 1;
        if mutant::active("attempts-uncounted") && self.noted.is_multiple_of(3) {
            return;
        }
        *self.counts.entry((machine, build)).or_default() += 1;
    }

    /// A vote is cast.
    pub fn record_vote(&mut self) {
        self.open.votes += 1;
    }

    /// A request is taken.
    pub fn record_admitted(&mut self) {
        self.open.admitted += 1;
    }

    /// A request is refused or failed.
    pub fn record_failed(&mut self) {
        self.open.failed_requests += 1;
    }

    /// What is acted on now.
    pub fn version(&self) -> &Version {
        &self.open.version
    }

    /// How the front stood last.
    pub fn stance(&self) -> Stance {
        self.open.stance
    }

    /// Closes the open span; the next one is on this version, with this stance.
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
        let counts = std::mem::take(&mut self.counts);
        span.attempts = counts.into_iter().map(|((m, b), n)| (m, b, n)).collect();
        self.number += 1;
        let (before, number) = (self.head, self.number);
        self.head = link(&before, number, &span);
        self.kept.push_back(Report { first: number, last: number, before, link: self.head, span });
        // Bounded memory: the two oldest neighbours are joined and say so; none is dropped.
        if self.kept.len() > self.most {
            if let (Some(mut one), Some(two)) = (self.kept.pop_front(), self.kept.pop_front()) {
                one.join(two);
                self.kept.push_front(one);
            }
        }
    }

    /// A majority of planners has everything up to this number: it is kept here no longer.
    pub fn discard_through(&mut self, number: u64) {
        while self.kept.front().is_some_and(|r| r.last <= number) {
            self.kept.pop_front();
        }
    }

    /// Reports behind this number, oldest first, at most so many.
    pub fn reports_after(&self, number: u64, most: usize) -> Vec<Report> {
        self.kept.iter().filter(|r| r.last > number).take(most).cloned().collect()
    }

    /// Number of the last closed span.
    pub fn last_number(&self) -> u64 {
        self.number
    }

    /// Reports kept.
    pub fn retained(&self) -> usize {
        self.kept.len()
    }
}
