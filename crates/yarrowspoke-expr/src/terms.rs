//! Typed terms, interned so that a term shared by several rules is stored once.

use crate::bounds::{self, Bounds, MAX_BUILT_BYTES, MAX_METHOD_BYTES, MAX_NAME_BYTES};
use crate::syntax::{write_duration, write_text};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Index of a term in its pool.
pub type TermId = u32;

/// Types of scalar values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ScalarType {
    /// Integer.
    Int,
    /// Duration.
    Duration,
    /// String.
    Text,
}

/// Types of expressions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Type {
    /// `true` or `false`.
    Bool,
    /// Value that is always present.
    Present(ScalarType),
    /// Value that may be absent.
    Optional(ScalarType),
    /// Path segments: a list of strings.
    Segments,
}

/// Type of strings.
pub const TEXT: Type = Type::Present(ScalarType::Text);
/// Type of integers.
pub const INT: Type = Type::Present(ScalarType::Int);
/// Type of durations.
pub const DURATION: Type = Type::Present(ScalarType::Duration);

impl fmt::Display for ScalarType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Int => "int",
            Self::Duration => "duration",
            Self::Text => "string",
        })
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bool => f.write_str("bool"),
            Self::Present(b) => write!(f, "{b}"),
            Self::Optional(b) => write!(f, "optional {b}"),
            Self::Segments => f.write_str("list of string"),
        }
    }
}

/// Field of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Field {
    /// Method.
    Method,
    /// Target up to its `?`.
    Path,
    /// Path and query.
    Target,
    /// Name of the class.
    Class,
    /// Name of the tenant; empty if the settings do not name it.
    Tenant,
    /// Subject: the query parameter `key`.
    Key,
    /// Time that the client waits for the response.
    Budget,
    /// Estimate of the work by the client.
    Hint,
    /// Whether the client marked the request as a retry.
    Repeat,
    /// Length of the body in bytes.
    Length,
}

/// Names and types of the fields.
pub const FIELDS: [(&str, Field, Type); 10] = [
    ("method", Field::Method, TEXT),
    ("path", Field::Path, TEXT),
    ("target", Field::Target, TEXT),
    ("class", Field::Class, TEXT),
    ("tenant", Field::Tenant, TEXT),
    ("key", Field::Key, Type::Optional(ScalarType::Text)),
    ("budget", Field::Budget, DURATION),
    ("hint", Field::Hint, Type::Optional(ScalarType::Duration)),
    ("repeat", Field::Repeat, Type::Bool),
    ("length", Field::Length, INT),
];

/// Constant in a list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Const {
    /// Integer, or duration in microseconds.
    Int(i64),
    /// String.
    Text(Arc<str>),
}

/// Arithmetic operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ArithmeticOp {
    /// `+`
    Add,
    /// `-`
    Sub,
    /// `*`
    Mul,
    /// `/`
    Div,
    /// `%`
    Rem,
}

impl ArithmeticOp {
    /// Applies the operator. Returns `None` on overflow and on division by zero.
    pub fn apply(self, a: i64, b: i64) -> Option<i64> {
        match self {
            Self::Add => a.checked_add(b),
            Self::Sub => a.checked_sub(b),
            Self::Mul => a.checked_mul(b),
            Self::Div => a.checked_div(b),
            Self::Rem => a.checked_rem(b),
        }
    }
}

/// Test of one text against another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TextTest {
    /// `startsWith`
    StartsWith,
    /// `endsWith`
    EndsWith,
    /// `contains`
    Contains,
}

/// Typed term. The type checker has verified the types of the operands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Term {
    /// Boolean constant.
    Bool(bool),
    /// Integer, or duration in microseconds.
    Int(i64, ScalarType),
    /// String.
    Text(Arc<str>),
    /// Field of the request.
    Field(Field),
    /// Header by its index in [`Pool::headers`].
    Header(u16),
    /// First query parameter of this name.
    Query(Arc<str>),
    /// Path segment by its index.
    Segment(u8),
    /// Number of path segments.
    SegmentCount,
    /// Equality of two values of one type.
    Eq(TermId, TermId),
    /// `a < b`
    Less(TermId, TermId),
    /// `a <= b`
    LessEq(TermId, TermId),
    /// `!a`
    Not(TermId),
    /// Conjunction; evaluation stops at the first operand that is false.
    And(Vec<TermId>),
    /// Disjunction; evaluation stops at the first operand that is true.
    Or(Vec<TermId>),
    /// `a ? b : c`
    Conditional(TermId, TermId, TermId),
    /// Arithmetic.
    Arithmetic(ArithmeticOp, TermId, TermId),
    /// Concatenation of strings.
    Concat(Vec<TermId>),
    /// Test of one text against another.
    TextTest(TextTest, TermId, TermId),
    /// Whether a regular expression matches anywhere in the text.
    Matches(TermId, u32),
    /// Length of a text in bytes.
    Size(TermId),
    /// Whether the value is one of the constants.
    OneOf(TermId, Arc<[Const]>),
    /// Whether a path segment equals the text.
    InSegments(TermId),
    /// Whether an optional value is present.
    Has(TermId),
    /// An optional value, or another one if it is absent.
    OrValue(TermId, TermId),
    /// Non-negative hash of a text.
    Hash(TermId),
    /// Text parsed as an integer.
    ToInt(TermId),
    /// Text with ASCII letters in lower case.
    LowerAscii(TermId),
}

/// Type, sizes and costs of a term.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// Type of the value.
    pub ty: Type,
    /// Maximum length in bytes if the value is a text.
    pub max_bytes: usize,
    /// Maximum number of steps of the operation itself.
    pub own_cost: u64,
    /// Maximum number of steps including all operands.
    pub total_cost: u64,
    /// Maximum bytes of the strings built, including all operands.
    pub built_bytes: usize,
}

/// All terms of a set.
pub struct Pool {
    /// Bounds on the sizes of requests.
    pub bounds: Bounds,
    terms: Vec<Term>,
    facts: Vec<Facts>,
    ids: HashMap<Term, TermId>,
    /// Names in lower case of the headers that terms read.
    pub headers: Vec<String>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, terms: Vec::new(), facts: Vec::new(), ids: HashMap::new(), headers: Vec::new() }
    }

    /// Returns the term with this index.
    pub fn term(&self, id: TermId) -> &Term {
        &self.terms[id as usize]
    }

    /// Returns the facts of a term.
    pub fn facts(&self, id: TermId) -> &Facts {
        &self.facts[id as usize]
    }

    /// Returns the number of terms.
    pub fn terms(&self) -> usize {
        self.terms.len()
    }

    /// Returns the index of a term and adds it if it is new.
    pub fn add(&mut self, term: Term) -> TermId {
        if let Some(id) = self.ids.get(&term) {
            return *id;
        }
        let facts = self.compute_facts(&term);
        let id = self.terms.len() as TermId;
        self.ids.insert(term.clone(), id);
        self.terms.push(term);
        self.facts.push(facts);
        id
    }

    /// Returns the operands of a term.
    pub fn operands(&self, id: TermId) -> Vec<TermId> {
        operands_of(self.term(id))
    }

    /// Computes the facts of a term from those of its operands.
    fn compute_facts(&self, term: &Term) -> Facts {
        let facts_of = |id: &TermId| &self.facts[*id as usize];
        let max_bytes = |id: &TermId| facts_of(id).max_bytes;
        let Bounds { max_target_bytes, max_header_bytes, .. } = self.bounds;
        let (ty, bytes, own_cost, built_bytes) = match term {
            Term::Bool(_) => (Type::Bool, 0, 1, 0),
            Term::Int(_, scalar) => (Type::Present(*scalar), 0, 1, 0),
            Term::Text(t) => (TEXT, t.len(), 1, 0),
            Term::Field(field) => {
                let ty = FIELDS.iter().find(|x| x.1 == *field).map_or(TEXT, |x| x.2);
                let bytes = match field {
                    Field::Method => MAX_METHOD_BYTES,
                    Field::Path | Field::Target | Field::Key => max_target_bytes,
                    Field::Class | Field::Tenant => MAX_NAME_BYTES,
                    _ => 0,
                };
                (ty, bytes, if *field == Field::Key { bounds::scan_cost(max_target_bytes) } else { 1 }, 0)
            }
            Term::Header(_) => (Type::Optional(ScalarType::Text), max_header_bytes, 1, 0),
            Term::Query(_) => {
                (Type::Optional(ScalarType::Text), max_target_bytes, bounds::scan_cost(max_target_bytes), 0)
            }
            Term::Segment(_) => (Type::Optional(ScalarType::Text), max_target_bytes, 1, 0),
            Term::SegmentCount => (INT, 0, 1, 0),
            Term::Eq(a, b) => (Type::Bool, 0, bounds::compare_cost(max_bytes(a), max_bytes(b)), 0),
            Term::Less(a, b) | Term::LessEq(a, b) => {
                (Type::Bool, 0, bounds::compare_cost(max_bytes(a), max_bytes(b)), 0)
            }
            Term::Not(_) => (Type::Bool, 0, 1, 0),
            // One jump follows each operand but the last.
            Term::And(parts) | Term::Or(parts) => (Type::Bool, 0, parts.len() as u64 - 1, 0),
            Term::Conditional(_, b, c) => (facts_of(b).ty, max_bytes(b).max(max_bytes(c)), 2, 0),
            Term::Arithmetic(_, a, _) => (facts_of(a).ty, 0, 1, 0),
            Term::Concat(parts) => {
                let bytes = parts.iter().map(max_bytes).sum();
                (TEXT, bytes, parts.len() as u64 + bounds::copy_cost(bytes), bytes)
            }
            Term::TextTest(TextTest::Contains, a, b) => {
                (Type::Bool, 0, bounds::scan_cost(max_bytes(a) + max_bytes(b)), 0)
            }
            Term::TextTest(_, a, b) => (Type::Bool, 0, bounds::compare_cost(max_bytes(a), max_bytes(b)), 0),
            Term::Matches(a, _) => (Type::Bool, 0, bounds::scan_cost(max_bytes(a)), 0),
            Term::Size(_) => (INT, 0, 1, 0),
            Term::OneOf(a, all) => {
                let longest = all.iter().map(|c| if let Const::Text(t) = c { t.len() } else { 0 });
                let longest = longest.max().unwrap_or(0);
                (Type::Bool, 0, bounds::search_cost(all.len(), longest, max_bytes(a)), 0)
            }
            Term::InSegments(a) => {
                (Type::Bool, 0, 2 * bounds::scan_cost(max_target_bytes) + bounds::copy_cost(max_bytes(a)), 0)
            }
            Term::Has(_) => (Type::Bool, 0, 1, 0),
            // Two jumps surround the fallback value.
            Term::OrValue(a, b) => {
                let ty = if let Type::Optional(scalar) = facts_of(a).ty {
                    Type::Present(scalar)
                } else {
                    facts_of(a).ty
                };
                (ty, max_bytes(a).max(max_bytes(b)), 1, 0)
            }
            Term::Hash(a) => (INT, 0, bounds::lookup_cost(max_bytes(a)), 0),
            Term::ToInt(_) => {
                (Type::Optional(ScalarType::Int), 0, bounds::scan_cost(bounds::MAX_INT_BYTES), 0)
            }
            Term::LowerAscii(a) => (TEXT, max_bytes(a), bounds::scan_cost(max_bytes(a)), max_bytes(a)),
        };
        let parts = operands_of(term);
        let total_cost = own_cost + parts.iter().map(|p| facts_of(p).total_cost).sum::<u64>();
        let built_bytes = built_bytes + parts.iter().map(|p| facts_of(p).built_bytes).sum::<usize>();
        Facts { ty, max_bytes: bytes, own_cost, total_cost, built_bytes }
    }

    /// Returns whether the strings built for a term keep within [`MAX_BUILT_BYTES`].
    pub fn built_text_fits(&self, id: TermId) -> bool {
        self.facts(id).built_bytes <= MAX_BUILT_BYTES
    }

    /// Formats a term in the notation of the language if it is a simple one.
    pub fn describe(&self, id: TermId) -> String {
        let mut out = String::new();
        let _ = match self.term(id) {
            Term::Bool(b) => fmt::Write::write_fmt(&mut out, format_args!("{b}")),
            Term::Int(n, ScalarType::Duration) => write_duration(&mut out, *n),
            Term::Int(n, _) => fmt::Write::write_fmt(&mut out, format_args!("{n}")),
            Term::Text(t) => write_text(&mut out, t),
            Term::Field(field) => {
                out += FIELDS.iter().find(|x| x.1 == *field).map_or("", |x| x.0);
                Ok(())
            }
            Term::Header(n) => {
                out += "headers[";
                let put = write_text(&mut out, &self.headers[usize::from(*n)]);
                out += "]";
                put
            }
            Term::Query(name) => {
                out += "query[";
                let put = write_text(&mut out, name);
                out += "]";
                put
            }
            Term::Segment(n) => fmt::Write::write_fmt(&mut out, format_args!("segments[{n}]")),
            Term::OrValue(a, b) => fmt::Write::write_fmt(
                &mut out,
                format_args!("{}.orValue({})", self.describe(*a), self.describe(*b)),
            ),
            Term::LowerAscii(a) => {
                fmt::Write::write_fmt(&mut out, format_args!("{}.lowerAscii()", self.describe(*a)))
            }
            _ => fmt::Write::write_fmt(&mut out, format_args!("a value made of several parts")),
        };
        out
    }
}

/// Returns the operands of a term.
fn operands_of(term: &Term) -> Vec<TermId> {
    match term {
        Term::Bool(_) | Term::Int(..) | Term::Text(_) | Term::Field(_) => vec![],
        Term::Header(_) | Term::Query(_) | Term::Segment(_) | Term::SegmentCount => vec![],
        Term::Eq(a, b) | Term::Less(a, b) | Term::LessEq(a, b) => vec![*a, *b],
        Term::Arithmetic(_, a, b) | Term::TextTest(_, a, b) | Term::OrValue(a, b) => vec![*a, *b],
        Term::And(parts) | Term::Or(parts) | Term::Concat(parts) => parts.clone(),
        Term::Conditional(a, b, c) => vec![*a, *b, *c],
        Term::Not(a) | Term::Matches(a, _) | Term::Size(a) | Term::OneOf(a, _) => vec![*a],
        Term::InSegments(a) | Term::Has(a) | Term::Hash(a) | Term::ToInt(a) | Term::LowerAscii(a) => vec![*a],
    }
}
