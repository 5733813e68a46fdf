//! Type checker: turns syntax trees into typed terms and rejects expressions that are ill-typed or whose size has no
//! bound.

use crate::bounds::{MAX_BUILT_BYTES, MAX_SEGMENTS};
use crate::regexes::Regexes;
use crate::syntax::{Binary, Expr, Fault, Kind, Span, Unary};
use crate::terms::{
    ArithmeticOp, Const, Pool, ScalarType, Term, TermId, TextTest, Type, DURATION, FIELDS, INT, TEXT,
};
use std::sync::Arc;

/// Names of the functions and operators with their signatures.
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

/// Type checker of expressions, which adds their terms to the pool of the set.
pub struct Checker<'a> {
    /// Pool that terms are added to.
    pub pool: &'a mut Pool,
    /// Regular expressions of the set.
    pub regexes: &'a mut Regexes,
    /// Cost of the most expensive operation checked so far, and its position.
    pub costliest: (u64, Span),
}

impl Checker<'_> {
    /// Returns the term of a whole expression, which must be of type `expected`.
    pub fn check_root(&mut self, expr: &Expr, expected: Type) -> Result<TermId, Fault> {
        let id = self.check(expr, expected)?;
        if !self.pool.built_text_fits(id) {
            let bytes = self.pool.facts(id).built_bytes;
            let found = format_args!("strings of up to {bytes} bytes built for one request").to_string();
            return Err(Fault::new(expr.at, found, format_args!("at most {MAX_BUILT_BYTES}")));
        }
        Ok(id)
    }

    fn ty(&self, id: TermId) -> Type {
        self.pool.facts(id).ty
    }

    /// Adds the term of `expr`.
    fn add(&mut self, expr: &Expr, term: Term) -> TermId {
        let id = self.pool.add(term);
        let cost = self.pool.facts(id).own_cost;
        if cost > self.costliest.0 {
            self.costliest = (cost, expr.at);
        }
        id
    }

    fn check(&mut self, expr: &Expr, expected: Type) -> Result<TermId, Fault> {
        let id = self.term(expr)?;
        self.expect_type(expr, id, expected)
    }

    fn expect_type(&self, expr: &Expr, id: TermId, expected: Type) -> Result<TermId, Fault> {
        let ty = self.ty(id);
        if ty == expected {
            return Ok(id);
        }
        let hint = match ty {
            Type::Optional(b) if Type::Present(b) == expected => {
                ": add .orValue(...), or test it with has(...)"
            }
            _ => "",
        };
        Err(Fault::new(expr.at, format_args!("{expr}, of type {ty}"), format_args!("{expected}{hint}")))
    }

    fn term(&mut self, expr: &Expr) -> Result<TermId, Fault> {
        let term = match &expr.kind {
            Kind::Bool(b) => Term::Bool(*b),
            Kind::Int(n) => Term::Int(*n, ScalarType::Int),
            Kind::Duration(us) => Term::Int(*us, ScalarType::Duration),
            Kind::Text(t) => Term::Text(Arc::from(t.as_str())),
            Kind::List(_) => return Err(Fault::new(expr.at, "a list", "it only behind 'in'")),
            Kind::Name(name) => match FIELDS.iter().find(|f| f.0 == name) {
                Some(field) => Term::Field(field.1),
                None => return Err(self.unknown(expr, name)),
            },
            Kind::Index(operand, at) => self.index(expr, operand, at)?,
            Kind::Call { name, args, .. } => self.call(expr, name, args)?,
            Kind::Unary(Unary::Not, operand) => {
                let id = self.check(operand, Type::Bool)?;
                match self.pool.term(id) {
                    Term::Not(inner) => return Ok(*inner),
                    Term::Bool(b) => Term::Bool(!b),
                    _ => Term::Not(id),
                }
            }
            Kind::Unary(Unary::Neg, operand) => {
                let id = self.term(operand)?;
                let scalar = self.number(operand, id)?;
                let zero = self.pool.add(Term::Int(0, scalar));
                Term::Arithmetic(ArithmeticOp::Sub, zero, id)
            }
            Kind::Binary(op, a, b) => return self.binary(expr, *op, a, b),
            Kind::And(parts) | Kind::Or(parts) => {
                let and = matches!(expr.kind, Kind::And(_));
                let mut flat = Vec::new();
                for part in parts {
                    let id = self.check(part, Type::Bool)?;
                    match self.pool.term(id) {
                        Term::And(inner) if and => flat.extend(inner.clone()),
                        Term::Or(inner) if !and => flat.extend(inner.clone()),
                        _ => flat.push(id),
                    }
                }
                // Removes duplicate tests and keeps the order of the first ones.
                let mut seen = std::collections::HashSet::new();
                flat.retain(|id| seen.insert(*id));
                match (flat.len(), and) {
                    (1, _) => return Ok(flat[0]),
                    (_, true) => Term::And(flat),
                    (_, false) => Term::Or(flat),
                }
            }
            Kind::Conditional(parts) => {
                let test = self.check(&parts[0], Type::Bool)?;
                let yes = self.term(&parts[1])?;
                let ty = self.ty(yes);
                let no = self.check(&parts[2], ty)?;
                Term::Conditional(test, yes, no)
            }
        };
        Ok(self.add(expr, term))
    }

    fn unknown(&self, expr: &Expr, name: &str) -> Fault {
        let mut known: Vec<&str> = FIELDS.iter().map(|f| f.0).collect();
        known.extend(["segments[n]", "query['name']", "headers['name']"]);
        Fault::new(expr.at, name, format_args!("one of the fields: {}", known.join(", ")))
    }

    fn index(&mut self, expr: &Expr, operand: &Expr, at: &Expr) -> Result<Term, Fault> {
        let Kind::Name(name) = &operand.kind else {
            return Err(Fault::new(operand.at, operand, "segments, query or headers before an index"));
        };
        match (name.as_str(), &at.kind) {
            ("segments", Kind::Int(n)) if (0..MAX_SEGMENTS as i64).contains(n) => Ok(Term::Segment(*n as u8)),
            ("segments", _) => {
                let expected = format_args!("a segment's number from 0 to {}", MAX_SEGMENTS - 1).to_string();
                Err(Fault::new(at.at, at, expected))
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
            _ => Err(Fault::new(expr.at, operand, "segments, query or headers before an index")),
        }
    }

    fn call(&mut self, expr: &Expr, name: &str, args: &[Expr]) -> Result<Term, Fault> {
        let expect_args = |n: usize| {
            if args.len() == n {
                return Ok(());
            }
            let known = FUNCTIONS.iter().find(|f| f.0 == name).map_or("", |f| f.1);
            Err(Fault::new(expr.at, format_args!("{name} of {} values", args.len()), known))
        };
        match name {
            "startsWith" | "endsWith" | "contains" => {
                expect_args(2)?;
                let (a, b) = (self.check(&args[0], TEXT)?, self.check(&args[1], TEXT)?);
                let affix = match name {
                    "startsWith" => TextTest::StartsWith,
                    "endsWith" => TextTest::EndsWith,
                    _ => TextTest::Contains,
                };
                Ok(Term::TextTest(affix, a, b))
            }
            "matches" => {
                expect_args(2)?;
                let operand = self.check(&args[0], TEXT)?;
                let Kind::Text(pattern) = &args[1].kind else {
                    return Err(Fault::new(args[1].at, &args[1], "a pattern as a string in quotes"));
                };
                let pattern = self.regexes.add(pattern).map_err(|expected| {
                    let shown: String = pattern.chars().take(40).collect();
                    Fault::new(args[1].at, format_args!("the pattern {shown:?}"), expected)
                })?;
                Ok(Term::Matches(operand, pattern))
            }
            "size" => {
                expect_args(1)?;
                if matches!(&args[0].kind, Kind::Name(n) if n == "segments") {
                    return Ok(Term::SegmentCount);
                }
                Ok(Term::Size(self.check(&args[0], TEXT)?))
            }
            "has" => {
                expect_args(1)?;
                let operand = self.term(&args[0])?;
                match self.ty(operand) {
                    Type::Optional(_) => Ok(Term::Has(operand)),
                    ty => Err(Fault::new(
                        args[0].at,
                        format_args!("{}, of type {ty}", args[0]),
                        "an optional value",
                    )),
                }
            }
            "orValue" => {
                expect_args(2)?;
                let operand = self.term(&args[0])?;
                let Type::Optional(scalar) = self.ty(operand) else {
                    let found = format_args!("{}, of type {}", args[0], self.ty(operand)).to_string();
                    return Err(Fault::new(args[0].at, found, "an optional value"));
                };
                let default = self.check(&args[1], Type::Present(scalar))?;
                Ok(Term::OrValue(operand, default))
            }
            "hash" => {
                expect_args(1)?;
                Ok(Term::Hash(self.check(&args[0], TEXT)?))
            }
            "int" => {
                expect_args(1)?;
                Ok(Term::ToInt(self.check(&args[0], TEXT)?))
            }
            "lowerAscii" => {
                expect_args(1)?;
                Ok(Term::LowerAscii(self.check(&args[0], TEXT)?))
            }
            _ => {
                let known: Vec<&str> = FUNCTIONS[..10].iter().map(|f| f.0).collect();
                Err(Fault::new(expr.at, name, format_args!("one of the functions: {}", known.join(", "))))
            }
        }
    }

    fn number(&self, expr: &Expr, id: TermId) -> Result<ScalarType, Fault> {
        match self.ty(id) {
            Type::Present(scalar @ (ScalarType::Int | ScalarType::Duration)) => Ok(scalar),
            ty => Err(Fault::new(expr.at, format_args!("{expr}, of type {ty}"), "int or duration")),
        }
    }

    fn binary(
        &mut self,
        expr: &Expr,
        op: Binary,
        left_expr: &Expr,
        right_expr: &Expr,
    ) -> Result<TermId, Fault> {
        if op == Binary::In {
            return self.one_of(expr, left_expr, right_expr);
        }
        let left = self.term(left_expr)?;
        let ty = self.ty(left);
        let term = match op {
            Binary::Eq | Binary::Ne => {
                let (Type::Present(_) | Type::Bool) = ty else {
                    let expected = "a value that is there: add .orValue(...), or test it with has(...)";
                    return Err(Fault::new(
                        left_expr.at,
                        format_args!("{left_expr}, of type {ty}"),
                        expected,
                    ));
                };
                let right = self.check(right_expr, ty)?;
                // A constant is moved to the right, so that both orders give the same term.
                let constant =
                    |id: TermId| matches!(self.pool.term(id), Term::Bool(_) | Term::Int(..) | Term::Text(_));
                let (operand, other) =
                    if constant(left) && !constant(right) { (right, left) } else { (left, right) };
                let eq = Term::Eq(operand, other);
                if op == Binary::Eq {
                    eq
                } else {
                    Term::Not(self.add(expr, eq))
                }
            }
            Binary::Lt | Binary::Le | Binary::Gt | Binary::Ge => {
                let (Type::Present(_), right) = (ty, self.check(right_expr, ty)?) else {
                    return Err(Fault::new(
                        left_expr.at,
                        format_args!("{left_expr}, of type {ty}"),
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
                let right = self.check(right_expr, TEXT)?;
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
                let scalar = self.number(left_expr, left)?;
                // A duration may be multiplied or divided by a number; all other operators take operands of the same
                // type.
                let scaled = scalar == ScalarType::Duration && matches!(op, Binary::Mul | Binary::Div);
                let right = self.check(right_expr, if scaled { INT } else { ty })?;
                let operator = match op {
                    Binary::Add => ArithmeticOp::Add,
                    Binary::Sub => ArithmeticOp::Sub,
                    Binary::Mul => ArithmeticOp::Mul,
                    Binary::Div => ArithmeticOp::Div,
                    _ => ArithmeticOp::Rem,
                };
                if matches!(operator, ArithmeticOp::Div | ArithmeticOp::Rem)
                    && matches!(self.pool.term(right), Term::Int(0, _))
                {
                    return Err(Fault::new(right_expr.at, "a division by 0", "another number"));
                }
                Term::Arithmetic(operator, left, right)
            }
            Binary::In => unreachable!("taken above"),
        };
        Ok(self.add(expr, term))
    }

    fn one_of(&mut self, expr: &Expr, value_expr: &Expr, list_expr: &Expr) -> Result<TermId, Fault> {
        let value = self.term(value_expr)?;
        if matches!(&list_expr.kind, Kind::Name(n) if n == "segments") {
            self.expect_type(value_expr, value, TEXT)?;
            return Ok(self.add(expr, Term::InSegments(value)));
        }
        let Kind::List(entries) = &list_expr.kind else {
            return Err(Fault::new(list_expr.at, list_expr, "a list of constants in [ ], or segments"));
        };
        let ty = self.ty(value);
        let mut constants = Vec::new();
        for entry in entries {
            constants.push(match (&entry.kind, ty) {
                (Kind::Text(t), TEXT) => Const::Text(Arc::from(t.as_str())),
                (Kind::Int(n), INT) | (Kind::Duration(n), DURATION) => Const::Int(*n),
                _ => {
                    let expected = format_args!("a constant of type {ty}, as {value_expr} is").to_string();
                    return Err(Fault::new(entry.at, entry, expected));
                }
            });
        }
        if constants.is_empty() {
            return Err(Fault::new(list_expr.at, "[]", "at least one constant"));
        }
        constants.sort();
        constants.dedup();
        if let [Const::Text(constant)] = constants.as_slice() {
            let constant = self.pool.add(Term::Text(Arc::clone(constant)));
            return Ok(self.add(expr, Term::Eq(value, constant)));
        }
        Ok(self.add(expr, Term::OneOf(value, constants.into())))
    }
}

/// Returns whether `name` is a valid header name (an HTTP token).
fn is_token(name: &str) -> bool {
    let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !name.is_empty() && name.len() <= 128 && name.bytes().all(token)
}
