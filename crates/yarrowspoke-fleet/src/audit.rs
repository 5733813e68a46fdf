//! The answer to "which front acted on which version, when": rows of what is known, and bounds of what is not.

use crate::mutant;
use crate::report_log::{Contradiction, ReportLog};
use crate::span::{Report, Span};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// A stretch of a front's incarnation of which nothing is known, between two points of which something is. It is never
/// shown as fine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownInterval {
    /// Number of the last span before it; 0 = the incarnation's beginning.
    pub after: u64,
    /// The end of that span on the front's clock.
    pub from: Micros,
    /// The wall clock there, a hint; 0 if nothing is known before it.
    pub from_wall: Micros,
    /// The wall clock, a hint, at which something is known again; `None` if nothing is since.
    pub until_wall: Option<Micros>,
    /// Why.
    pub why: String,
}

/// A row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Numbers of the first and the last span in it.
    pub numbers: (u64, u64),
    /// What was done.
    pub span: Span,
}

/// One incarnation of a front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// The front.
    pub front: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// What is known.
    pub rows: Vec<Row>,
    /// What is not.
    pub unknown: Vec<UnknownInterval>,
}

/// The whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// By front, in the order of their incarnations.
    #[serde(rename = "lives")]
    pub incarnations: Vec<Incarnation>,
    /// What can't both be.
    pub contradictions: Vec<Contradiction>,
}

/// What part of it is asked for.
#[derive(Clone, Debug, Default)]
pub struct AuditQuery {
    /// Only this front.
    pub front: Option<String>,
    /// Only spans on this index of the list.
    pub index: Option<u64>,
    /// Only from this Unix time on, by the fronts' wall clocks, in microseconds.
    pub from: Option<Micros>,
    /// Only up to this one.
    pub to: Option<Micros>,
}

impl AuditQuery {
    fn wants(&self, span: &Span) -> bool {
        let index = |i: u64| {
            let ends = [span.version.list.index, span.last_version.unwrap_or(span.version).list.index];
            ends.contains(&i) || (ends[0].min(ends[1])..=ends[0].max(ends[1])).contains(&i)
        };
        self.index.is_none_or(index)
            && self.from.is_none_or(|f| span.wall >= f)
            && self.to.is_none_or(|t| span.wall.saturating_sub(span.to - span.from) <= t)
    }
}

fn begun_wall(report: &Report) -> Micros {
    report.span.wall.saturating_sub(report.span.to - report.span.from)
}

/// Draws the audit from the merged record. Unknown stretches are always all told: a filter must not make them look fine.
pub fn audit(book: &ReportLog, asked: &AuditQuery) -> Audit {
    let incarnations: Vec<(&str, u64)> =
        book.incarnations().into_iter().filter(|l| asked.front.as_ref().is_none_or(|f| f == l.0)).collect();
    let mut out = Vec::new();
    for (n, (front, incarnation)) in incarnations.iter().enumerate() {
        let view = book.view(front, *incarnation);
        let mut unknown = Vec::new();
        for (a, b) in book.gaps(front, *incarnation) {
            let before = view.iter().rfind(|r| r.last < a);
            let behind = view.iter().find(|r| r.first > b);
            unknown.push(UnknownInterval {
                after: a - 1,
                from: before.map_or(0, |r| r.span.to),
                from_wall: before.map_or(0, |r| r.span.wall),
                until_wall: behind.map(|r| begun_wall(r)),
                why: format!("spans {a} to {b} have not come"),
            });
        }
        let next = incarnations.get(n + 1).filter(|l| l.0 == *front);
        let next = next.and_then(|l| book.view(l.0, l.1).first().map(|r| begun_wall(r)));
        if let Some(last) = view.last().filter(|_| !mutant::active("tail-shown-fine")) {
            unknown.push(UnknownInterval {
                after: last.last,
                from: last.span.to,
                from_wall: last.span.wall,
                until_wall: next,
                why: "behind the last span that it closed".into(),
            });
        }
        let rows = view.iter().filter(|r| asked.wants(&r.span));
        let rows = rows.map(|r| Row { numbers: (r.first, r.last), span: r.span.clone() }).collect();
        out.push(Incarnation { front: (*front).to_owned(), incarnation: *incarnation, rows, unknown });
    }
    Audit { incarnations: out, contradictions: book.contradictions() }
}
