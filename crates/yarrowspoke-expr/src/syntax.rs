//! Syntax tree with source positions, and its formatting.

use std::fmt;

/// Range of bytes in the source text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// First byte.
    pub from: usize,
    /// End of the range (exclusive).
    pub to: usize,
}

/// Node of the syntax tree.
#[derive(Clone, Debug)]
pub struct Expr {
    /// Position in the source text.
    pub at: Span,
    /// Kind of node with its operands.
    pub kind: Kind,
    /// Height of the subtree, this node included.
    pub(crate) height: usize,
}

/// Kind of a node.
#[derive(Clone, Debug)]
pub enum Kind {
    /// `true` or `false`.
    Bool(bool),
    /// 64-bit integer.
    Int(i64),
    /// Duration in microseconds: `250ms`, `2s`, `1m`, `1h`.
    Duration(i64),
    /// String.
    Text(String),
    /// `[a, b]`.
    List(Vec<Expr>),
    /// Field of the request.
    Name(String),
    /// `a[b]`.
    Index(Box<Expr>, Box<Expr>),
    /// `a.f(b)` or `f(a, b)`: both notations are the same call.
    Call {
        /// Name of the function.
        name: String,
        /// Arguments; the receiver comes first.
        args: Vec<Expr>,
        /// Whether the call was written as `a.f(b)`.
        method: bool,
    },
    /// `!a` or `-a`.
    Unary(Unary, Box<Expr>),
    /// Binary operator, for example `a + b`.
    Binary(Binary, Box<Expr>, Box<Expr>),
    /// `a && b && ...`.
    And(Vec<Expr>),
    /// `a || b || ...`.
    Or(Vec<Expr>),
    /// `a ? b : c`.
    Conditional(Box<[Expr; 3]>),
}

/// Unary operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unary {
    /// `!`
    Not,
    /// `-`
    Neg,
}

/// Binary operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Binary {
    /// `==`
    Eq,
    /// `!=`
    Ne,
    /// `<`
    Lt,
    /// `<=`
    Le,
    /// `>`
    Gt,
    /// `>=`
    Ge,
    /// `in`
    In,
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

impl Binary {
    /// Returns the operator as written in the source.
    pub fn symbol(self) -> &'static str {
        match self {
            Self::Eq => "==",
            Self::Ne => "!=",
            Self::Lt => "<",
            Self::Le => "<=",
            Self::Gt => ">",
            Self::Ge => ">=",
            Self::In => "in",
            Self::Add => "+",
            Self::Sub => "-",
            Self::Mul => "*",
            Self::Div => "/",
            Self::Rem => "%",
        }
    }

    /// Returns the precedence; higher values bind more tightly.
    pub fn precedence(self) -> u8 {
        match self {
            Self::Eq | Self::Ne | Self::Lt | Self::Le | Self::Gt | Self::Ge | Self::In => 4,
            Self::Add | Self::Sub => 5,
            Self::Mul | Self::Div | Self::Rem => 6,
        }
    }
}

impl Kind {
    /// Returns the height of the highest operand.
    fn height(&self) -> usize {
        let max_height = |parts: &[Expr]| parts.iter().map(|p| p.height).max().unwrap_or(0);
        match self {
            Self::Bool(_) | Self::Int(_) | Self::Duration(_) | Self::Text(_) | Self::Name(_) => 0,
            Self::List(parts) | Self::And(parts) | Self::Or(parts) => max_height(parts),
            Self::Call { args, .. } => max_height(args),
            Self::Unary(_, a) => a.height,
            Self::Index(a, b) | Self::Binary(_, a, b) => a.height.max(b.height),
            Self::Conditional(parts) => max_height(parts.as_slice()),
        }
    }
}

impl Expr {
    /// Creates a node.
    pub fn new(at: Span, kind: Kind) -> Self {
        let height = kind.height() + 1;
        Self { at, kind, height }
    }

    fn precedence(&self) -> u8 {
        match &self.kind {
            Kind::Conditional(_) => 1,
            Kind::Or(_) => 2,
            Kind::And(_) => 3,
            Kind::Binary(op, ..) => op.precedence(),
            Kind::Unary(..) => 7,
            // A negative number is printed with its sign.
            Kind::Int(n) | Kind::Duration(n) if *n < 0 => 7,
            _ => 8,
        }
    }

    fn write_expr(&self, f: &mut fmt::Formatter<'_>, min_precedence: u8) -> fmt::Result {
        if self.precedence() < min_precedence {
            f.write_str("(")?;
            self.write_expr(f, 0)?;
            return f.write_str(")");
        }
        let write_list = |f: &mut fmt::Formatter<'_>, parts: &[Expr], sign: &str, min_precedence: u8| {
            for (n, part) in parts.iter().enumerate() {
                if n > 0 {
                    f.write_str(sign)?;
                }
                part.write_expr(f, min_precedence)?;
            }
            Ok(())
        };
        match &self.kind {
            Kind::Bool(b) => write!(f, "{b}"),
            Kind::Int(n) => write!(f, "{n}"),
            Kind::Duration(us) => write_duration(f, *us),
            Kind::Text(t) => write_text(f, t),
            Kind::Name(n) => f.write_str(n),
            Kind::List(parts) => {
                f.write_str("[")?;
                write_list(f, parts, ", ", 0)?;
                f.write_str("]")
            }
            Kind::Index(operand, at) => {
                operand.write_expr(f, 8)?;
                f.write_str("[")?;
                at.write_expr(f, 0)?;
                f.write_str("]")
            }
            Kind::Call { name, args, method } => {
                let rest = match args.split_first() {
                    Some((first, rest)) if *method => {
                        first.write_expr(f, 8)?;
                        f.write_str(".")?;
                        rest
                    }
                    _ => args,
                };
                write!(f, "{name}(")?;
                write_list(f, rest, ", ", 0)?;
                f.write_str(")")
            }
            Kind::Unary(op, operand) => {
                f.write_str(if *op == Unary::Not { "!" } else { "-" })?;
                // The operand gets no parentheses around another sign, because they would add a level of nesting.
                operand.write_expr(f, 7)
            }
            Kind::Binary(op, a, b) => {
                let precedence = op.precedence();
                // Comparisons do not chain; the other operators are left-associative.
                a.write_expr(f, if precedence == 4 { precedence + 1 } else { precedence })?;
                write!(f, " {} ", op.symbol())?;
                b.write_expr(f, precedence + 1)
            }
            Kind::And(parts) => write_list(f, parts, " && ", 4),
            Kind::Or(parts) => write_list(f, parts, " || ", 3),
            Kind::Conditional(parts) => {
                parts[0].write_expr(f, 2)?;
                f.write_str(" ? ")?;
                parts[1].write_expr(f, 1)?;
                f.write_str(" : ")?;
                parts[2].write_expr(f, 1)
            }
        }
    }
}

/// Writes a duration in the notation of the language.
pub fn write_duration(f: &mut impl fmt::Write, us: i64) -> fmt::Result {
    for (unit, of) in [("h", 3_600_000_000), ("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000)] {
        if us != 0 && us % of == 0 {
            return write!(f, "{}{unit}", us / of);
        }
    }
    write!(f, "{us}us")
}

/// Writes a string literal of the language.
pub fn write_text(f: &mut impl fmt::Write, text: &str) -> fmt::Result {
    f.write_char('\'')?;
    for c in text.chars() {
        match c {
            '\'' => f.write_str("\\'")?,
            '\\' => f.write_str("\\\\")?,
            '\n' => f.write_str("\\n")?,
            '\r' => f.write_str("\\r")?,
            '\t' => f.write_str("\\t")?,
            c => f.write_char(c)?,
        }
    }
    f.write_char('\'')
}

impl fmt::Display for Expr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_expr(f, 0)
    }
}

/// Error in an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Position in the source text.
    pub at: Span,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl Fault {
    /// Creates a fault at position `at`.
    pub fn new(at: Span, found: impl fmt::Display, expected: impl fmt::Display) -> Self {
        Self { at, found: found.to_string(), expected: expected.to_string() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "character {}: found {}, expected {}", self.at.from + 1, self.found, self.expected)
    }
}
