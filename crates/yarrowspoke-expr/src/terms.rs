//! Typed terms, each kept once however many rules hold it.

use crate::bounds::{self, Bounds, MAX_BUILT_BYTES, MAX_METHOD_BYTES, MAX_NAME_BYTES};
use crate::syntax::{write_duration, write_text};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// A term's number in its pool.
pub type TermId = u32;

/// Types of optional values and of list entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ScalarType {
    /// A whole number.
    Int,
    /// A span of time.
    Duration,
    /// A string.
    Text,
}

/// Types of values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Type {
    /// `true` or `false`.
    Bool,
    /// A value that is there.
    Present(ScalarType),
    /// A value that may not be there.
    Optional(ScalarType),
    /// The path's segments: a list of strings.
    Segments,
}

/// The type of strings.
pub const TEXT: Type = Type::Present(ScalarType::Text);
/// The type of whole numbers.
pub const INT: Type = Type::Present(ScalarType::Int);
/// The type of spans of time.
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

/// A field of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Field {
    /// The method.
    Method,
    /// The target up to its `?`.
    Path,
    /// Path and query.
    Target,
    /// The class.
    Class,
    /// The tenant, empty if none that the settings name.
    Tenant,
    /// The subject: the query parameter `key`.
    Key,
    /// How long the client waits.
    Budget,
    /// The client's guess at the work.
    Hint,
    /// Marked as a repeat.
    Repeat,
    /// Bytes of the body.
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

/// A constant in a list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Const {
    /// A whole number, or a span of time in microseconds.
    Int(i64),
    /// A string.
    Text(Arc<str>),
}

/// An operator between numbers.
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
    /// The result, if there is one: none on overflow and on division by zero.
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

/// A test of one text by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TextTest {
    /// `startsWith`
    StartsWith,
    /// `endsWith`
    EndsWith,
    /// `contains`
    Contains,
}

/// A typed term. Operands are of the types that the checker saw to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Term {
    /// A constant.
    Bool(bool),
    /// A number, or microseconds.
    Int(i64, ScalarType),
    /// A string.
    Text(Arc<str>),
    /// A field.
    Field(Field),
    /// The header read in this place.
    Header(u16),
    /// The first query parameter of this name.
    Query(Arc<str>),
    /// A path segment by its number.
    Segment(u8),
    /// How many segments there are.
    SegmentCount,
    /// Two values of one type are the same.
    Eq(TermId, TermId),
    /// `a < b`
    Less(TermId, TermId),
    /// `a <= b`
    LessEq(TermId, TermId),
    /// `!a`
    Not(TermId),
    /// All hold; the rest is not looked at after one that does not.
    And(Vec<TermId>),
    /// One holds.
    Or(Vec<TermId>),
    /// `a ? b : c`
    Conditional(TermId, TermId, TermId),
    /// Arithmetic.
    Arithmetic(ArithmeticOp, TermId, TermId),
    /// Strings joined.
    Concat(Vec<TermId>),
    /// A test of one text by another.
    TextTest(TextTest, TermId, TermId),
    /// A regular expression matches somewhere.
    Matches(TermId, u32),
    /// Bytes of a text.
    Size(TermId),
    /// It is one of these.
    OneOf(TermId, Arc<[Const]>),
    /// A segment is this text.
    InSegments(TermId),
    /// The value is there.
    Has(TermId),
    /// The value, or another if it is not there.
    OrValue(TermId, TermId),
    /// A hash, from 0 up.
    Hash(TermId),
    /// A text read as a number.
    ToInt(TermId),
    /// A text with its ASCII letters in lower case.
    LowerAscii(TermId),
}

/// What the pool knows of a term.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// Its type.
    pub ty: Type,
    /// Most bytes of a text.
    pub max_bytes: usize,
    /// Most steps of its own operation.
    pub own_cost: u64,
    /// Most steps of it with all its parts.
    pub total_cost: u64,
    /// Bytes that it may build, with all its parts.
    pub built_bytes: usize,
}

/// All terms of a set.
pub struct Pool {
    /// Bounds of what requests hold.
    pub bounds: Bounds,
    terms: Vec<Term>,
    facts: Vec<Facts>,
    ids: HashMap<Term, TermId>,
    /// Headers that terms read, in lower case.
    pub headers: Vec<String>,
}

impl Pool {
    /// An empty pool.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, terms: Vec::new(), facts: Vec::new(), ids: HashMap::new(), headers: Vec::new() }
    }

    /// The term of this number.
    pub fn term(&self, id: TermId) -> &Term {
        &self.terms[id as usize]
    }

    /// What is known of it.
    pub fn facts(&self, id: TermId) -> &Facts {
        &self.facts[id as usize]
    }

    /// How many terms there are.
    pub fn terms(&self) -> usize {
        self.terms.len()
    }

    /// The number of a term, known or new.
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

    /// Terms of which this one is made.
    pub fn operands(&self, id: TermId) -> Vec<TermId> {
        operands_of(self.term(id))
    }

    /// A term's type, sizes and prices, from those of its parts.
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
            // One jump behind each part but the last.
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
            // Two jumps round the value that stands in.
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

    /// Whether a built text stays within its bound.
    pub fn built_text_fits(&self, id: TermId) -> bool {
        self.facts(id).built_bytes <= MAX_BUILT_BYTES
    }

    /// A term as the language would write it, as far as it has a text of its own.
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

/// Terms of which one is made.
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
