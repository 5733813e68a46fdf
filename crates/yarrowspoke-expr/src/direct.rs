//! The plain way: the syntax tree walked as it stands, with values of their own. It shares no code with the compiler and
//! its machine beyond parsing, `hash` and regular expressions, and is what they are held against; `explain` shows with
//! it what each part of a condition comes to.

use crate::program::{hash, to_int};
use crate::regexes::Regexes;
use crate::request::Request;
use crate::syntax::{Binary, Expr, Kind, Unary};
use std::fmt;

/// A value as the plain way knows it.
#[derive(Clone, Debug, PartialEq)]
pub enum Plain {
    /// An optional value that is not there.
    Absent,
    /// `true` or `false`.
    Bool(bool),
    /// A number, or microseconds.
    Int(i64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Plain>),
}

impl fmt::Display for Plain {
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

/// What an expression comes to for a request; `None` where it has no value.
pub fn value(expr: &Expr, request: &Request, regexes: &Regexes, names: &[String]) -> Option<Plain> {
    Walk { request, regexes, names }.of(expr)
}

struct Walk<'a> {
    request: &'a Request<'a>,
    regexes: &'a Regexes,
    names: &'a [String],
}

impl Walk<'_> {
    fn bool(&self, expr: &Expr) -> Option<bool> {
        match self.of(expr)? {
            Plain::Bool(b) => Some(b),
            _ => None,
        }
    }

    fn text(&self, expr: &Expr) -> Option<String> {
        match self.of(expr)? {
            Plain::Text(t) => Some(t),
            _ => None,
        }
    }

    fn segments(&self) -> Vec<String> {
        let path = self.request.target.split('?').next().unwrap_or("");
        path.strip_prefix('/').unwrap_or(path).split('/').map(str::to_owned).collect()
    }

    fn query(&self, name: &str) -> Plain {
        let query = self.request.target.split_once('?').map_or("", |t| t.1);
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        let found = pairs.find(|p| p.0 == name);
        found.map_or(Plain::Absent, |p| Plain::Text(p.1.to_owned()))
    }

    fn name(&self, name: &str) -> Option<Plain> {
        let r = self.request;
        let text = |t: &str| Plain::Text(t.to_owned());
        Some(match name {
            "method" => text(r.method),
            "path" => text(r.target.split('?').next().unwrap_or("")),
            "target" => text(r.target),
            "class" => text(r.class),
            "tenant" => text(r.tenant),
            "key" => self.query("key"),
            "budget" => Plain::Int(r.budget),
            "hint" => r.hint.map_or(Plain::Absent, Plain::Int),
            "repeat" => Plain::Bool(r.repeat),
            "length" => Plain::Int(r.length),
            "segments" => Plain::List(self.segments().into_iter().map(Plain::Text).collect()),
            _ => return None,
        })
    }

    fn of(&self, expr: &Expr) -> Option<Plain> {
        Some(match &expr.kind {
            Kind::Bool(b) => Plain::Bool(*b),
            Kind::Int(n) | Kind::Duration(n) => Plain::Int(*n),
            Kind::Text(t) => Plain::Text(t.clone()),
            Kind::List(parts) => Plain::List(parts.iter().map(|p| self.of(p)).collect::<Option<_>>()?),
            Kind::Name(name) => self.name(name)?,
            Kind::Index(of, at) => match (&of.kind, &at.kind) {
                (Kind::Name(n), Kind::Int(at)) if n == "segments" => {
                    let found = self.segments().into_iter().nth(*at as usize);
                    found.map_or(Plain::Absent, Plain::Text)
                }
                (Kind::Name(n), Kind::Text(name)) if n == "query" => self.query(name),
                (Kind::Name(n), Kind::Text(name)) if n == "headers" => {
                    let at = self.names.iter().position(|h| h.eq_ignore_ascii_case(name))?;
                    let value = self.request.headers.get(at).and_then(|h| h.clone());
                    value.map_or(Plain::Absent, Plain::Text)
                }
                _ => return None,
            },
            Kind::Call { name, args, .. } => self.call(name, args)?,
            Kind::Unary(Unary::Not, of) => Plain::Bool(!self.bool(of)?),
            Kind::Unary(Unary::Neg, of) => match self.of(of)? {
                Plain::Int(n) => Plain::Int(0i64.checked_sub(n)?),
                _ => return None,
            },
            Kind::And(parts) => {
                for part in parts {
                    if !self.bool(part)? {
                        return Some(Plain::Bool(false));
                    }
                }
                Plain::Bool(true)
            }
            Kind::Or(parts) => {
                for part in parts {
                    if self.bool(part)? {
                        return Some(Plain::Bool(true));
                    }
                }
                Plain::Bool(false)
            }
            Kind::Choice(parts) => return self.of(&parts[if self.bool(&parts[0])? { 1 } else { 2 }]),
            Kind::Binary(op, a, b) => self.binary(*op, self.of(a)?, self.of(b)?)?,
        })
    }

    fn call(&self, name: &str, args: &[Expr]) -> Option<Plain> {
        let text = |n: usize| self.text(args.get(n)?);
        Some(match name {
            "startsWith" => Plain::Bool(text(0)?.starts_with(&text(1)?)),
            "endsWith" => Plain::Bool(text(0)?.ends_with(&text(1)?)),
            "contains" => Plain::Bool(text(0)?.contains(&text(1)?)),
            "matches" => Plain::Bool(self.regexes.find(&text(1)?)?.finds(text(0)?.as_bytes()).0),
            "size" => match self.of(args.first()?)? {
                Plain::Text(t) => Plain::Int(t.len() as i64),
                Plain::List(l) => Plain::Int(l.len() as i64),
                _ => return None,
            },
            "has" => Plain::Bool(self.of(args.first()?)? != Plain::Absent),
            "orValue" => match self.of(args.first()?)? {
                Plain::Absent => return self.of(args.get(1)?),
                there => there,
            },
            "hash" => Plain::Int(hash(&text(0)?)),
            "int" => to_int(&text(0)?).map_or(Plain::Absent, Plain::Int),
            "lowerAscii" => Plain::Text(text(0)?.to_ascii_lowercase()),
            _ => return None,
        })
    }

    fn binary(&self, op: Binary, a: Plain, b: Plain) -> Option<Plain> {
        let order = match (&a, &b) {
            (Plain::Int(a), Plain::Int(b)) => a.cmp(b),
            (Plain::Text(a), Plain::Text(b)) => a.cmp(b),
            (Plain::Bool(a), Plain::Bool(b)) => a.cmp(b),
            (_, Plain::List(all)) if op == Binary::In => return Some(Plain::Bool(all.contains(&a))),
            _ => return None,
        };
        Some(match (op, a, b) {
            (Binary::Eq, ..) => Plain::Bool(order.is_eq()),
            (Binary::Ne, ..) => Plain::Bool(order.is_ne()),
            (Binary::Lt, ..) => Plain::Bool(order.is_lt()),
            (Binary::Le, ..) => Plain::Bool(order.is_le()),
            (Binary::Gt, ..) => Plain::Bool(order.is_gt()),
            (Binary::Ge, ..) => Plain::Bool(order.is_ge()),
            (Binary::Add, Plain::Text(a), Plain::Text(b)) => Plain::Text(a + &b),
            (Binary::Add, Plain::Int(a), Plain::Int(b)) => Plain::Int(a.checked_add(b)?),
            (Binary::Sub, Plain::Int(a), Plain::Int(b)) => Plain::Int(a.checked_sub(b)?),
            (Binary::Mul, Plain::Int(a), Plain::Int(b)) => Plain::Int(a.checked_mul(b)?),
            (Binary::Div, Plain::Int(a), Plain::Int(b)) => Plain::Int(a.checked_div(b)?),
            (Binary::Rem, Plain::Int(a), Plain::Int(b)) => Plain::Int(a.checked_rem(b)?),
            _ => return None,
        })
    }
}
