//! From tokens to the syntax tree.
//!
//! Danger: whoever writes the text chooses how deep it nests. Each level takes one of [`DEPTH_MOST`], so that neither
//! this reader nor anything that later walks the tree can exhaust the stack; chains of one operator are flat lists
//! or count as levels too.

use crate::lex::{tokens, Spanned, Token};
use crate::syntax::{Binary, Expr, Fault, Kind, Span, Unary};
use winnow::combinator::{opt, peek};
use winnow::error::EmptyError;
use winnow::stream::TokenSlice;
use winnow::token::any;
use winnow::Parser;

/// Most bytes of an expression.
pub const MAX_EXPRESSION_BYTES: usize = 8 * 1024;
/// Most levels of nesting.
pub const MAX_DEPTH: usize = 48;
/// Most nodes of a syntax tree.
pub const MAX_NODES: usize = 2_048;

type Tokens<'a> = TokenSlice<'a, Spanned>;

struct Reader<'a> {
    rest: Tokens<'a>,
    end: usize,
    depth: usize,
    nodes: usize,
}

/// Reads an expression.
pub fn parse(text: &str) -> Result<Expr, Fault> {
    if text.len() > MAX_EXPRESSION_BYTES {
        let at = Span { from: MAX_EXPRESSION_BYTES, to: text.len() };
        return Err(Fault::new(
            at,
            format_args!("{} bytes", text.len()),
            format_args!("at most {MAX_EXPRESSION_BYTES}"),
        ));
    }
    let tokens = tokens(text)?;
    let mut reader = Reader { rest: TokenSlice::new(&tokens), end: text.len(), depth: 0, nodes: 0 };
    let expr = reader.expr()?;
    match reader.peek() {
        None => Ok(expr),
        Some(_) => Err(reader.unexpected("an operator or the end")),
    }
}

impl<'a> Reader<'a> {
    fn peek(&mut self) -> Option<&'a Spanned> {
        let next: Result<Option<&Spanned>, EmptyError> = peek(opt(any)).parse_next(&mut self.rest);
        next.ok().flatten()
    }

    fn next(&mut self) -> Option<&'a Spanned> {
        let next: Result<&Spanned, EmptyError> = any.parse_next(&mut self.rest);
        next.ok()
    }

    /// Takes a sign if it comes next.
    fn takes(&mut self, sign: &str) -> bool {
        let is = matches!(self.peek(), Some(Spanned { token: Token::Sign(s), .. }) if *s == sign);
        if is {
            self.next();
        }
        is
    }

    fn place(&mut self) -> Span {
        self.peek().map_or(Span { from: self.end, to: self.end }, |t| t.at)
    }

    fn unexpected(&mut self, expected: &str) -> Fault {
        let found = match self.peek().map(|t| &t.token) {
            None => "the end".to_owned(),
            Some(Token::Int(n)) => n.to_string(),
            Some(Token::Duration(us)) => format!("{us} us"),
            Some(Token::Text(t)) => format!("the string {t:?}"),
            Some(Token::Word(w)) => w.clone(),
            Some(Token::Sign(s)) => (*s).to_owned(),
            Some(Token::TooLarge) => "a number".to_owned(),
        };
        Fault::new(self.place(), found, expected)
    }

    fn want(&mut self, sign: &'static str, what: &str) -> Result<usize, Fault> {
        let at = self.place();
        if self.takes(sign) {
            Ok(at.to)
        } else {
            Err(self.unexpected(&format!("{sign:?} {what}")))
        }
    }

    fn node(&mut self, from: usize, to: usize, kind: Kind) -> Result<Expr, Fault> {
        self.nodes += 1;
        let at = Span { from, to };
        if self.nodes > MAX_NODES {
            return Err(Fault::new(at, "more", format_args!("at most {MAX_NODES} operators and operands")));
        }
        let expr = Expr::new(at, kind);
        if expr.height > MAX_DEPTH {
            return Err(Fault::new(at, "more", format_args!("at most {MAX_DEPTH} levels of nesting")));
        }
        Ok(expr)
    }

    /// Goes one level down for as long as `read` runs.
    fn deeper<T>(&mut self, read: impl FnOnce(&mut Self) -> Result<T, Fault>) -> Result<T, Fault> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            let at = self.place();
            return Err(Fault::new(at, "more", format_args!("at most {MAX_DEPTH} levels of nesting")));
        }
        let read = read(self);
        self.depth -= 1;
        read
    }

    fn expr(&mut self) -> Result<Expr, Fault> {
        self.deeper(|r| {
            let test = r.any_of()?;
            if !r.takes("?") {
                return Ok(test);
            }
            let yes = r.expr()?;
            r.want(":", "between the two values of a choice")?;
            let no = r.expr()?;
            let (from, to) = (test.at.from, no.at.to);
            r.node(from, to, Kind::Choice(Box::new([test, yes, no])))
        })
    }

    fn chain(
        &mut self,
        sign: &str,
        read: fn(&mut Self) -> Result<Expr, Fault>,
        make: fn(Vec<Expr>) -> Kind,
    ) -> Result<Expr, Fault> {
        let first = read(self)?;
        let mut parts = vec![first];
        while self.takes(sign) {
            parts.push(read(self)?);
        }
        let (from, to) = (parts[0].at.from, parts[parts.len() - 1].at.to);
        match parts.len() {
            1 => Ok(parts.remove(0)),
            _ => self.node(from, to, make(parts)),
        }
    }

    fn any_of(&mut self) -> Result<Expr, Fault> {
        self.chain("||", Self::all_of, Kind::Or)
    }

    fn all_of(&mut self) -> Result<Expr, Fault> {
        self.chain("&&", Self::compared, Kind::And)
    }

    fn compared(&mut self) -> Result<Expr, Fault> {
        let left = self.grouped(5)?;
        let Some(op) = self.binary(4) else { return Ok(left) };
        let right = self.grouped(5)?;
        let (from, to) = (left.at.from, right.at.to);
        if self.binary_ahead(4).is_some() {
            return Err(self.unexpected("one comparison; brackets around the others"));
        }
        self.node(from, to, Kind::Binary(op, Box::new(left), Box::new(right)))
    }

    fn binary_ahead(&mut self, strength: u8) -> Option<Binary> {
        let op = match self.peek()?.token {
            Token::Sign("==") => Binary::Eq,
            Token::Sign("!=") => Binary::Ne,
            Token::Sign("<") => Binary::Lt,
            Token::Sign("<=") => Binary::Le,
            Token::Sign(">") => Binary::Gt,
            Token::Sign(">=") => Binary::Ge,
            Token::Sign("+") => Binary::Add,
            Token::Sign("-") => Binary::Sub,
            Token::Sign("*") => Binary::Mul,
            Token::Sign("/") => Binary::Div,
            Token::Sign("%") => Binary::Rem,
            Token::Word(ref w) if w == "in" => Binary::In,
            _ => return None,
        };
        (op.strength() == strength).then_some(op)
    }

    fn binary(&mut self, strength: u8) -> Option<Binary> {
        let op = self.binary_ahead(strength)?;
        self.next();
        Some(op)
    }

    /// Sums (5) and products (6), grouped to the left.
    fn grouped(&mut self, strength: u8) -> Result<Expr, Fault> {
        let read = |r: &mut Self| if strength == 6 { r.unary() } else { r.grouped(strength + 1) };
        let mut left = read(self)?;
        while let Some(op) = self.binary(strength) {
            let right = read(self)?;
            let (from, to) = (left.at.from, right.at.to);
            left = self.node(from, to, Kind::Binary(op, Box::new(left), Box::new(right)))?;
        }
        Ok(left)
    }

    fn unary(&mut self) -> Result<Expr, Fault> {
        let from = self.place().from;
        let op = match self.peek().map(|t| &t.token) {
            Some(Token::Sign("!")) => Unary::Not,
            Some(Token::Sign("-")) => Unary::Neg,
            _ => return self.postfix(),
        };
        self.next();
        let of = self.deeper(Self::unary)?;
        let to = of.at.to;
        // A number with its sign is one constant.
        let kind = match (op, &of.kind) {
            (Unary::Neg, Kind::Int(n)) => Kind::Int(n.wrapping_neg()),
            (Unary::Neg, Kind::Duration(n)) => Kind::Duration(n.wrapping_neg()),
            _ => Kind::Unary(op, Box::new(of)),
        };
        self.node(from, to, kind)
    }

    fn postfix(&mut self) -> Result<Expr, Fault> {
        let mut of = self.primary()?;
        loop {
            let from = of.at.from;
            let kind;
            let to;
            if self.takes(".") {
                let Some(Spanned { token: Token::Word(name), .. }) = self.peek() else {
                    return Err(self.unexpected("the name of a function"));
                };
                self.next();
                self.want("(", "behind a function's name")?;
                let (mut args, end) = self.list(")")?;
                args.insert(0, of);
                kind = Kind::Call { name: name.clone(), args, method: true };
                to = end;
            } else if self.takes("[") {
                let at = self.expr()?;
                to = self.want("]", "behind an index")?;
                kind = Kind::Index(Box::new(of), Box::new(at));
            } else {
                return Ok(of);
            }
            of = self.node(from, to, kind)?;
        }
    }

    /// What stands between brackets, and the place behind the closing one.
    fn list(&mut self, close: &'static str) -> Result<(Vec<Expr>, usize), Fault> {
        let mut parts = Vec::new();
        let at = self.place();
        if self.takes(close) {
            return Ok((parts, at.to));
        }
        loop {
            parts.push(self.expr()?);
            if self.takes(",") {
                continue;
            }
            let to = self.want(close, "or a comma")?;
            return Ok((parts, to));
        }
    }

    fn primary(&mut self) -> Result<Expr, Fault> {
        let Spanned { token, at } = match self.peek() {
            Some(next) => next.clone(),
            None => return Err(self.unexpected("a value")),
        };
        let kind = match token {
            Token::Int(n) => Kind::Int(n),
            Token::Duration(us) => Kind::Duration(us),
            Token::Text(text) => Kind::Text(text),
            Token::Word(w) if w == "true" || w == "false" => Kind::Bool(w == "true"),
            Token::Word(w) if w != "in" => {
                self.next();
                if !self.takes("(") {
                    return self.node(at.from, at.to, Kind::Name(w));
                }
                let (args, to) = self.list(")")?;
                return self.node(at.from, to, Kind::Call { name: w, args, method: false });
            }
            Token::Sign("(") => {
                self.next();
                let inner = self.expr()?;
                self.want(")", "that closes the bracket")?;
                return Ok(inner);
            }
            Token::Sign("[") => {
                self.next();
                let (parts, to) = self.list("]")?;
                return self.node(at.from, to, Kind::List(parts));
            }
            _ => return Err(self.unexpected("a value")),
        };
        self.next();
        self.node(at.from, at.to, kind)
    }
}
