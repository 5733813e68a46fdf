//! The audit of which front acted on which version, and when: rows of what is known, and bounds of what is unknown.

use crate::mutant;
use crate::report_log::{Contradiction, ReportLog};
use crate::span::{Report, Span};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// A part of a front's incarnation of which nothing is known, between two points of which something is. It is never
/// shown as fine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownInterval {
    /// Number of the last span before it; 0 = the beginning of the incarnation.
    pub after: u64,
    /// End of that span on the front's clock.
    pub from: Micros,
    /// Wall clock at that end, as a hint; 0 if nothing is known before.
    pub from_wall: Micros,
    /// Wall clock, as a hint, from which something is known again; `None` if nothing is known since.
    pub until_wall: Option<Micros>,
    /// Why it is unknown.
    pub why: String,
}

/// A row of the audit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Numbers of the first and the last span in the row.
    pub numbers: (u64, u64),
    /// What the front did.
    pub span: Span,
}

/// One incarnation of a front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the front.
    pub front: String,
    /// Number of the incarnation.
    pub incarnation: u64,
    /// What is known.
    pub rows: Vec<Row>,
    /// What is unknown.
    pub unknown: Vec<UnknownInterval>,
}

/// The whole audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// The incarnations by front, in the order in which they were first heard of.
    #[serde(rename = "lives")]
    pub incarnations: Vec<Incarnation>,
    /// Contradictions in the record.
    pub contradictions: Vec<Contradiction>,
}

/// The part of the audit that is requested.
#[derive(Clone, Debug, Default)]
pub struct AuditQuery {
    /// Only this front.
    pub front: Option<String>,
    /// Only spans on this index of the list.
    pub index: Option<u64>,
    /// Only from this Unix time on, by the fronts' wall clocks, in microseconds.
    pub from: Option<Micros>,
    /// Only up to this Unix time, likewise.
    pub to: Option<Micros>,
}

impl AuditQuery {
    fn matches(&self, span: &Span) -> bool {
        let index = |i: u64| {
            let ends = [span.version.list.index, span.last_version.unwrap_or(span.version).list.index];
            ends.contains(&i) || (ends[0].min(ends[1])..=ends[0].max(ends[1])).contains(&i)
        };
        self.index.is_none_or(index)
            && self.from.is_none_or(|f| span.wall >= f)
            && self.to.is_none_or(|t| span.wall.saturating_sub(span.to - span.from) <= t)
    }
}

fn wall_start(report: &Report) -> Micros {
    report.span.wall.saturating_sub(report.span.to - report.span.from)
}

/// Draws the audit from the merged log. Unknown intervals are included whatever the query, since a filter must not
/// make them look fine.
pub fn audit(log: &ReportLog, query: &AuditQuery) -> Audit {
    let incarnations: Vec<(&str, u64)> =
        log.incarnations().into_iter().filter(|l| query.front.as_ref().is_none_or(|f| f == l.0)).collect();
    let mut out = Vec::new();
    for (n, (front, incarnation)) in incarnations.iter().enumerate() {
        let view = log.view(front, *incarnation);
        let mut unknown = Vec::new();
        for (first, last) in log.gaps(front, *incarnation) {
            let before = view.iter().rfind(|r| r.last < first);
            let next = view.iter().find(|r| r.first > last);
            unknown.push(UnknownInterval {
                after: first - 1,
                from: before.map_or(0, |r| r.span.to),
                from_wall: before.map_or(0, |r| r.span.wall),
                until_wall: next.map(|r| wall_start(r)),
                why: format!("spans {first} to {last} have not come"),
            });
        }
        let next = incarnations.get(n + 1).filter(|l| l.0 == *front);
        let next = next.and_then(|l| log.view(l.0, l.1).first().map(|r| wall_start(r)));
        if let Some(last) = view.last().filter(|_| !mutant::active("tail-shown-fine")) {
            unknown.push(UnknownInterval {
                after: last.last,
                from: last.span.to,
                from_wall: last.span.wall,
                until_wall: next,
                why: "after the last span that it closed".into(),
            });
        }
        let rows = view.iter().filter(|r| query.matches(&r.span));
        let rows = rows.map(|r| Row { numbers: (r.first, r.last), span: r.span.clone() }).collect();
        out.push(Incarnation { front: (*front).to_owned(), incarnation: *incarnation, rows, unknown });
    }
    Audit { incarnations: out, contradictions: log.contradictions() }
}
