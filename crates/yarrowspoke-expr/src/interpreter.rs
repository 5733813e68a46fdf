//! Reference interpreter that evaluates the syntax tree directly.
//!
//! It shares no code with the compiler and its machine beyond parsing, `hash`, `int` and regular expressions, so that
//! tests can compare them with it. `explain` uses it to show the value of each part of a condition.

use crate::program::{hash, to_int};
use crate::regexes::Regexes;
use crate::request::Request;
use crate::syntax::{Binary, Expr, Kind, Unary};
use std::fmt;

/// Value of an expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Missing optional value.
    Absent,
    /// `true` or `false`.
    Bool(bool),
    /// Integer, or duration in microseconds.
    Int(i64),
    /// String.
    Text(String),
    /// List.
    List(Vec<Value>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("none"),
            Self::Bool(b) => write!(f, "{b}"),
            Self::Int(n) => write!(f, "{n}"),
            Self::Text(t) => write!(f, "{t:?}"),
            Self::List(l) => write!(f, "a list of {}", l.len()),
        }
    }
}

/// Evaluates an expression for a request. Returns `None` if it has no value.
pub fn value(expr: &Expr, request: &Request, regexes: &Regexes, header_names: &[String]) -> Option<Value> {
    Interpreter { request, regexes, header_names }.evaluate(expr)
}

struct Interpreter<'a> {
    request: &'a Request<'a>,
    regexes: &'a Regexes,
    header_names: &'a [String],
}

impl Interpreter<'_> {
    fn bool(&self, expr: &Expr) -> Option<bool> {
        match self.evaluate(expr)? {
            Value::Bool(b) => Some(b),
            _ => None,
        }
    }

    fn text(&self, expr: &Expr) -> Option<String> {
        match self.evaluate(expr)? {
            Value::Text(t) => Some(t),
            _ => None,
        }
    }

    fn segments(&self) -> Vec<String> {
        let path = self.request.target.split('?').next().unwrap_or("");
        path.strip_prefix('/').unwrap_or(path).split('/').map(str::to_owned).collect()
    }

    fn query(&self, name: &str) -> Value {
        let query = self.request.target.split_once('?').map_or("", |t| t.1);
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        let found = pairs.find(|p| p.0 == name);
        found.map_or(Value::Absent, |p| Value::Text(p.1.to_owned()))
    }

    fn name(&self, name: &str) -> Option<Value> {
        let request = self.request;
        let text = |t: &str| Value::Text(t.to_owned());
        Some(match name {
            "method" => text(request.method),
            "path" => text(request.target.split('?').next().unwrap_or("")),
            "target" => text(request.target),
            "class" => text(request.class),
            "tenant" => text(request.tenant),
            "key" => self.query("key"),
            "budget" => Value::Int(request.budget),
            "hint" => request.hint.map_or(Value::Absent, Value::Int),
            "repeat" => Value::Bool(request.repeat),
            "length" => Value::Int(request.length),
            "segments" => Value::List(self.segments().into_iter().map(Value::Text).collect()),
            _ => return None,
        })
    }

    fn evaluate(&self, expr: &Expr) -> Option<Value> {
        Some(match &expr.kind {
            Kind::Bool(b) => Value::Bool(*b),
            Kind::Int(n) | Kind::Duration(n) => Value::Int(*n),
            Kind::Text(t) => Value::Text(t.clone()),
            Kind::List(parts) => Value::List(parts.iter().map(|p| self.evaluate(p)).collect::<Option<_>>()?),
            Kind::Name(name) => self.name(name)?,
            Kind::Index(operand, at) => match (&operand.kind, &at.kind) {
                (Kind::Name(n), Kind::Int(at)) if n == "segments" => {
                    let found = self.segments().into_iter().nth(*at as usize);
                    found.map_or(Value::Absent, Value::Text)
                }
                (Kind::Name(n), Kind::Text(name)) if n == "query" => self.query(name),
                (Kind::Name(n), Kind::Text(name)) if n == "headers" => {
                    let at = self.header_names.iter().position(|h| h.eq_ignore_ascii_case(name))?;
                    let value = self.request.headers.get(at).and_then(|h| h.clone());
                    value.map_or(Value::Absent, Value::Text)
                }
                _ => return None,
            },
            Kind::Call { name, args, .. } => self.call(name, args)?,
            Kind::Unary(Unary::Not, operand) => Value::Bool(!self.bool(operand)?),
            Kind::Unary(Unary::Neg, operand) => match self.evaluate(operand)? {
                Value::Int(n) => Value::Int(0i64.checked_sub(n)?),
                _ => return None,
            },
            Kind::And(parts) => {
                for part in parts {
                    if !self.bool(part)? {
                        return Some(Value::Bool(false));
                    }
                }
                Value::Bool(true)
            }
            Kind::Or(parts) => {
                for part in parts {
                    if self.bool(part)? {
                        return Some(Value::Bool(true));
                    }
                }
                Value::Bool(false)
            }
            Kind::Conditional(parts) => {
                return self.evaluate(&parts[if self.bool(&parts[0])? { 1 } else { 2 }])
            }
            Kind::Binary(op, a, b) => self.binary(*op, self.evaluate(a)?, self.evaluate(b)?)?,
        })
    }

    fn call(&self, name: &str, args: &[Expr]) -> Option<Value> {
        let text = |n: usize| self.text(args.get(n)?);
        Some(match name {
            "startsWith" => Value::Bool(text(0)?.starts_with(&text(1)?)),
            "endsWith" => Value::Bool(text(0)?.ends_with(&text(1)?)),
            "contains" => Value::Bool(text(0)?.contains(&text(1)?)),
            "matches" => Value::Bool(self.regexes.find(&text(1)?)?.search(text(0)?.as_bytes()).0),
            "size" => match self.evaluate(args.first()?)? {
                Value::Text(t) => Value::Int(t.len() as i64),
                Value::List(l) => Value::Int(l.len() as i64),
                _ => return None,
            },
            "has" => Value::Bool(self.evaluate(args.first()?)? != Value::Absent),
            "orValue" => match self.evaluate(args.first()?)? {
                Value::Absent => return self.evaluate(args.get(1)?),
                there => there,
            },
            "hash" => Value::Int(hash(&text(0)?)),
            "int" => to_int(&text(0)?).map_or(Value::Absent, Value::Int),
            "lowerAscii" => Value::Text(text(0)?.to_ascii_lowercase()),
            _ => return None,
        })
    }

    fn binary(&self, op: Binary, a: Value, b: Value) -> Option<Value> {
        let order = match (&a, &b) {
            (Value::Int(a), Value::Int(b)) => a.cmp(b),
            (Value::Text(a), Value::Text(b)) => a.cmp(b),
            (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
            (_, Value::List(all)) if op == Binary::In => return Some(Value::Bool(all.contains(&a))),
            _ => return None,
        };
        Some(match (op, a, b) {
            (Binary::Eq, ..) => Value::Bool(order.is_eq()),
            (Binary::Ne, ..) => Value::Bool(order.is_ne()),
            (Binary::Lt, ..) => Value::Bool(order.is_lt()),
            (Binary::Le, ..) => Value::Bool(order.is_le()),
            (Binary::Gt, ..) => Value::Bool(order.is_gt()),
            (Binary::Ge, ..) => Value::Bool(order.is_ge()),
            (Binary::Add, Value::Text(a), Value::Text(b)) => Value::Text(a + &b),
            (Binary::Add, Value::Int(a), Value::Int(b)) => Value::Int(a.checked_add(b)?),
            (Binary::Sub, Value::Int(a), Value::Int(b)) => Value::Int(a.checked_sub(b)?),
            (Binary::Mul, Value::Int(a), Value::Int(b)) => Value::Int(a.checked_mul(b)?),
            (Binary::Div, Value::Int(a), Value::Int(b)) => Value::Int(a.checked_div(b)?),
            (Binary::Rem, Value::Int(a), Value::Int(b)) => Value::Int(a.checked_rem(b)?),
            _ => return None,
        })
    }
}
