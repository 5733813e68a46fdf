//! From the syntax tree to typed terms; what has no type, or no bound, is refused.

use crate::bounds::{MAX_BUILT_BYTES, MAX_SEGMENTS};
use crate::regexes::Regexes;
use crate::syntax::{Binary, Expr, Fault, Kind, Span, Unary};
use crate::terms::{Affix, Basic, Const, Math, Pool, Term, TermId, Type, DURATION, FIELDS, INT, TEXT};
use std::sync::Arc;

/// Functions, as they are called, with what they take and give.
pub const FUNCTIONS: [(&str, &str); 12] = [
    ("startsWith", "string.startsWith(string) -> bool"),
    ("endsWith", "string.endsWith(string) -> bool"),
    ("contains", "string.contains(string) -> bool"),
    ("matches", "string.matches('pattern') -> bool"),
    ("size", "size(string), size(segments) -> int"),
    ("has", "has(optional) -> bool"),
    ("orValue", "optional.orValue(value) -> value"),
    ("hash", "hash(string) -> int"),
    ("int", "int(string) -> optional int"),
    ("lowerAscii", "string.lowerAscii() -> string"),
    ("in", "value in [constants], string in segments -> bool"),
    ("?:", "bool ? value : value -> value"),
];

/// Checks one expression against the pool of its set.
pub struct Checker<'a> {
    /// Where terms go.
    pub pool: &'a mut Pool,
    /// Where regular expressions go.
    pub regexes: &'a mut Regexes,
    /// The dearest operation met, and where it stands.
    pub costliest: (u64, Span),
}

impl Checker<'_> {
    /// The term of an expression that must be of type `wanted`.
    pub fn root(&mut self, expr: &Expr, wanted: Type) -> Result<TermId, Fault> {
        let id = self.of(expr, wanted)?;
        if !self.pool.fits(id) {
            let bytes = self.pool.facts(id).builds;
            let found = format_args!("strings of up to {bytes} bytes built for one request").to_string();
            return Err(Fault::new(expr.at, found, format_args!("at most {MAX_BUILT_BYTES}")));
        }
        Ok(id)
    }

    fn ty(&self, id: TermId) -> Type {
        self.pool.facts(id).ty
    }

    /// Adds a term that `expr` stands for.
    fn add(&mut self, expr: &Expr, term: Term) -> TermId {
        let id = self.pool.add(term);
        let own = self.pool.facts(id).own;
        if own > self.costliest.0 {
            self.costliest = (own, expr.at);
        }
        id
    }

    fn of(&mut self, expr: &Expr, wanted: Type) -> Result<TermId, Fault> {
        let id = self.term(expr)?;
        self.is(expr, id, wanted)
    }

    fn is(&self, expr: &Expr, id: TermId, wanted: Type) -> Result<TermId, Fault> {
        let ty = self.ty(id);
        if ty == wanted {
            return Ok(id);
        }
        let hint = match ty {
            Type::Maybe(b) if Type::Plain(b) == wanted => ": add .orValue(...), or test it with has(...)",
            _ => "",
        };
        Err(Fault::new(expr.at, format_args!("{expr}, of type {ty}"), format_args!("{wanted}{hint}")))
    }

    fn term(&mut self, expr: &Expr) -> Result<TermId, Fault> {
        let term = match &expr.kind {
            Kind::Bool(b) => Term::Bool(*b),
            Kind::Int(n) => Term::Int(*n, Basic::Int),
            Kind::Duration(us) => Term::Int(*us, Basic::Duration),
            Kind::Text(t) => Term::Text(Arc::from(t.as_str())),
            Kind::List(_) => return Err(Fault::new(expr.at, "a list", "it only behind 'in'")),
            Kind::Name(name) => match FIELDS.iter().find(|f| f.0 == name) {
                Some(field) => Term::Field(field.1),
                None => return Err(self.unknown(expr, name)),
            },
            Kind::Index(of, at) => self.index(expr, of, at)?,
            Kind::Call { name, args, .. } => self.call(expr, name, args)?,
            Kind::Unary(Unary::Not, of) => {
                let id = self.of(of, Type::Bool)?;
                match self.pool.term(id) {
                    Term::Not(inner) => return Ok(*inner),
                    Term::Bool(b) => Term::Bool(!b),
                    _ => Term::Not(id),
                }
            }
            Kind::Unary(Unary::Neg, of) => {
                let id = self.term(of)?;
                let basic = self.number(of, id)?;
                let zero = self.pool.add(Term::Int(0, basic));
                Term::Math(Math::Sub, zero, id)
            }
            Kind::Binary(op, a, b) => return self.binary(expr, *op, a, b),
            Kind::And(parts) | Kind::Or(parts) => {
                let and = matches!(expr.kind, Kind::And(_));
                let mut flat = Vec::new();
                for part in parts {
                    let id = self.of(part, Type::Bool)?;
                    match self.pool.term(id) {
                        Term::And(inner) if and => flat.extend(inner.clone()),
                        Term::Or(inner) if !and => flat.extend(inner.clone()),
                        _ => flat.push(id),
                    }
                }
                // The same test twice is one; the order of the first ones stays.
                let mut seen = std::collections::HashSet::new();
                flat.retain(|id| seen.insert(*id));
                match (flat.len(), and) {
                    (1, _) => return Ok(flat[0]),
                    (_, true) => Term::And(flat),
                    (_, false) => Term::Or(flat),
                }
            }
            Kind::Choice(parts) => {
                let test = self.of(&parts[0], Type::Bool)?;
                let yes = self.term(&parts[1])?;
                let ty = self.ty(yes);
                let no = self.of(&parts[2], ty)?;
                Term::Choice(test, yes, no)
            }
        };
        Ok(self.add(expr, term))
    }

    fn unknown(&self, expr: &Expr, name: &str) -> Fault {
        let mut known: Vec<&str> = FIELDS.iter().map(|f| f.0).collect();
        known.extend(["segments[n]", "query['name']", "headers['name']"]);
        Fault::new(expr.at, name, format_args!("one of the fields: {}", known.join(", ")))
    }

    fn index(&mut self, expr: &Expr, of: &Expr, at: &Expr) -> Result<Term, Fault> {
        let Kind::Name(name) = &of.kind else {
            return Err(Fault::new(of.at, of, "segments, query or headers before an index"));
        };
        match (name.as_str(), &at.kind) {
            ("segments", Kind::Int(n)) if (0..MAX_SEGMENTS as i64).contains(n) => Ok(Term::Segment(*n as u8)),
            ("segments", _) => {
                let wanted = format_args!("a segment's number from 0 to {}", MAX_SEGMENTS - 1).to_string();
                Err(Fault::new(at.at, at, wanted))
            }
            ("query", Kind::Text(name)) if !name.is_empty() => Ok(Term::Query(Arc::from(name.as_str()))),
            ("headers", Kind::Text(name)) if is_token(name) => {
                let name = name.to_ascii_lowercase();
                let known = self.pool.headers.iter().position(|h| *h == name);
                let at = known.unwrap_or_else(|| {
                    self.pool.headers.push(name);
                    self.pool.headers.len() - 1
                });
                Ok(Term::Header(at as u16))
            }
            ("query", _) => Err(Fault::new(at.at, at, "a parameter's name as a string")),
            ("headers", _) => Err(Fault::new(at.at, at, "a header's name as a string")),
            _ => Err(Fault::new(expr.at, of, "segments, query or headers before an index")),
        }
    }

    fn call(&mut self, expr: &Expr, name: &str, args: &[Expr]) -> Result<Term, Fault> {
        let wants = |n: usize| {
            if args.len() == n {
                return Ok(());
            }
            let known = FUNCTIONS.iter().find(|f| f.0 == name).map_or("", |f| f.1);
            Err(Fault::new(expr.at, format_args!("{name} of {} values", args.len()), known))
        };
        match name {
            "startsWith" | "endsWith" | "contains" => {
                wants(2)?;
                let (a, b) = (self.of(&args[0], TEXT)?, self.of(&args[1], TEXT)?);
                let affix = match name {
                    "startsWith" => Affix::Starts,
                    "endsWith" => Affix::Ends,
                    _ => Affix::Holds,
                };
                Ok(Term::Affix(affix, a, b))
            }
            "matches" => {
                wants(2)?;
                let of = self.of(&args[0], TEXT)?;
                let Kind::Text(pattern) = &args[1].kind else {
                    return Err(Fault::new(args[1].at, &args[1], "a pattern as a string in quotes"));
                };
                let pattern = self.regexes.add(pattern).map_err(|wanted| {
                    let shown: String = pattern.chars().take(40).collect();
                    Fault::new(args[1].at, format_args!("the pattern {shown:?}"), wanted)
                })?;
                Ok(Term::Matches(of, pattern))
            }
            "size" => {
                wants(1)?;
                if matches!(&args[0].kind, Kind::Name(n) if n == "segments") {
                    return Ok(Term::SegmentCount);
                }
                Ok(Term::Size(self.of(&args[0], TEXT)?))
            }
            "has" => {
                wants(1)?;
                let of = self.term(&args[0])?;
                match self.ty(of) {
                    Type::Maybe(_) => Ok(Term::Has(of)),
                    ty => Err(Fault::new(
                        args[0].at,
                        format_args!("{}, of type {ty}", args[0]),
                        "an optional value",
                    )),
                }
            }
            "orValue" => {
                wants(2)?;
                let of = self.term(&args[0])?;
                let Type::Maybe(basic) = self.ty(of) else {
                    let found = format_args!("{}, of type {}", args[0], self.ty(of)).to_string();
                    return Err(Fault::new(args[0].at, found, "an optional value"));
                };
                let other = self.of(&args[1], Type::Plain(basic))?;
                Ok(Term::OrValue(of, other))
            }
            "hash" => {
                wants(1)?;
                Ok(Term::Hash(self.of(&args[0], TEXT)?))
            }
            "int" => {
                wants(1)?;
                Ok(Term::ToInt(self.of(&args[0], TEXT)?))
            }
            "lowerAscii" => {
                wants(1)?;
                Ok(Term::Lower(self.of(&args[0], TEXT)?))
            }
            _ => {
                let known: Vec<&str> = FUNCTIONS[..10].iter().map(|f| f.0).collect();
                Err(Fault::new(expr.at, name, format_args!("one of the functions: {}", known.join(", "))))
            }
        }
    }

    fn number(&self, expr: &Expr, id: TermId) -> Result<Basic, Fault> {
        match self.ty(id) {
            Type::Plain(basic @ (Basic::Int | Basic::Duration)) => Ok(basic),
            ty => Err(Fault::new(expr.at, format_args!("{expr}, of type {ty}"), "int or duration")),
        }
    }

    fn binary(&mut self, expr: &Expr, op: Binary, a: &Expr, b: &Expr) -> Result<TermId, Fault> {
        if op == Binary::In {
            return self.one_of(expr, a, b);
        }
        let left = self.term(a)?;
        let ty = self.ty(left);
        let term = match op {
            Binary::Eq | Binary::Ne => {
                let (Type::Plain(_) | Type::Bool) = ty else {
                    let wanted = "a value that is there: add .orValue(...), or test it with has(...)";
                    return Err(Fault::new(a.at, format_args!("{a}, of type {ty}"), wanted));
                };
                let right = self.of(b, ty)?;
                // A constant stands on the right, so that both ways of writing it are one term.
                let constant =
                    |id: TermId| matches!(self.pool.term(id), Term::Bool(_) | Term::Int(..) | Term::Text(_));
                let (x, y) = if constant(left) && !constant(right) { (right, left) } else { (left, right) };
                let eq = Term::Eq(x, y);
                if op == Binary::Eq {
                    eq
                } else {
                    Term::Not(self.add(expr, eq))
                }
            }
            Binary::Lt | Binary::Le | Binary::Gt | Binary::Ge => {
                let (Type::Plain(_), right) = (ty, self.of(b, ty)?) else {
                    return Err(Fault::new(
                        a.at,
                        format_args!("{a}, of type {ty}"),
                        "int, duration or string",
                    ));
                };
                match op {
                    Binary::Lt => Term::Less(left, right),
                    Binary::Le => Term::LessEq(left, right),
                    Binary::Gt => Term::Less(right, left),
                    _ => Term::LessEq(right, left),
                }
            }
            Binary::Add if ty == TEXT => {
                let right = self.of(b, TEXT)?;
                let mut parts = Vec::new();
                for id in [left, right] {
                    match self.pool.term(id) {
                        Term::Concat(inner) => parts.extend(inner.clone()),
                        _ => parts.push(id),
                    }
                }
                Term::Concat(parts)
            }
            Binary::Add | Binary::Sub | Binary::Mul | Binary::Div | Binary::Rem => {
                let basic = self.number(a, left)?;
                // A span of time may be multiplied or divided by a number; all else is of one type.
                let scaled = basic == Basic::Duration && matches!(op, Binary::Mul | Binary::Div);
                let right = self.of(b, if scaled { INT } else { ty })?;
                let math = match op {
                    Binary::Add => Math::Add,
                    Binary::Sub => Math::Sub,
                    Binary::Mul => Math::Mul,
                    Binary::Div => Math::Div,
                    _ => Math::Rem,
                };
                if matches!(math, Math::Div | Math::Rem) && matches!(self.pool.term(right), Term::Int(0, _)) {
                    return Err(Fault::new(b.at, "a division by 0", "another number"));
                }
                Term::Math(math, left, right)
            }
            Binary::In => unreachable!("taken above"),
        };
        Ok(self.add(expr, term))
    }

    fn one_of(&mut self, expr: &Expr, a: &Expr, b: &Expr) -> Result<TermId, Fault> {
        let of = self.term(a)?;
        if matches!(&b.kind, Kind::Name(n) if n == "segments") {
            self.is(a, of, TEXT)?;
            return Ok(self.add(expr, Term::InSegments(of)));
        }
        let Kind::List(entries) = &b.kind else {
            return Err(Fault::new(b.at, b, "a list of constants in [ ], or segments"));
        };
        let ty = self.ty(of);
        let mut all = Vec::new();
        for entry in entries {
            all.push(match (&entry.kind, ty) {
                (Kind::Text(t), TEXT) => Const::Text(Arc::from(t.as_str())),
                (Kind::Int(n), INT) | (Kind::Duration(n), DURATION) => Const::Int(*n),
                _ => {
                    let wanted = format_args!("a constant of type {ty}, as {a} is").to_string();
                    return Err(Fault::new(entry.at, entry, wanted));
                }
            });
        }
        if all.is_empty() {
            return Err(Fault::new(b.at, "[]", "at least one constant"));
        }
        all.sort();
        all.dedup();
        if let [Const::Text(only)] = all.as_slice() {
            let only = self.pool.add(Term::Text(Arc::clone(only)));
            return Ok(self.add(expr, Term::Eq(of, only)));
        }
        Ok(self.add(expr, Term::OneOf(of, all.into())))
    }
}

/// Whether a header may have this name.
fn is_token(name: &str) -> bool {
    let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !name.is_empty() && name.len() <= 128 && name.bytes().all(token)
}
