//! Parser: builds the syntax tree from tokens.
//!
//! The author of an expression controls how deep it nests. Depth is limited to [`MAX_DEPTH`] levels, so that neither
//! the parser nor anything that walks the tree later can overflow the stack. Chains of one operator are flat lists or
//! count towards the depth too.

use crate::lex::{tokens, Spanned, Token};
use crate::syntax::{Binary, Expr, Fault, Kind, Span, Unary};
use winnow::combinator::{opt, peek};
use winnow::error::EmptyError;
use winnow::stream::TokenSlice;
use winnow::token::any;
use winnow::Parser;

/// Maximum length of an expression in bytes.
pub const MAX_EXPRESSION_BYTES: usize = 8 * 1024;
/// Maximum number of nested levels.
pub const MAX_DEPTH: usize = 48;
/// Maximum number of nodes of a syntax tree.
pub const MAX_NODES: usize = 2_048;

type Tokens<'a> = TokenSlice<'a, Spanned>;

struct ExprParser<'a> {
    rest: Tokens<'a>,
    end: usize,
    depth: usize,
    nodes: usize,
}

/// Parses an expression.
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
    let mut reader = ExprParser { rest: TokenSlice::new(&tokens), end: text.len(), depth: 0, nodes: 0 };
    let expr = reader.expr()?;
    match reader.peek() {
        None => Ok(expr),
        Some(_) => Err(reader.unexpected("an operator or the end")),
    }
}

impl<'a> ExprParser<'a> {
    fn peek(&mut self) -> Option<&'a Spanned> {
        let next: Result<Option<&Spanned>, EmptyError> = peek(opt(any)).parse_next(&mut self.rest);
        next.ok().flatten()
    }

    fn next(&mut self) -> Option<&'a Spanned> {
        let next: Result<&Spanned, EmptyError> = any.parse_next(&mut self.rest);
        next.ok()
    }

    /// Consumes the next token if it is `symbol`.
    fn accept(&mut self, symbol: &str) -> bool {
        let accepted = matches!(self.peek(), Some(Spanned { token: Token::Symbol(s), .. }) if *s == symbol);
        if accepted {
            self.next();
        }
        accepted
    }

    fn next_span(&mut self) -> Span {
        self.peek().map_or(Span { from: self.end, to: self.end }, |t| t.at)
    }

    fn unexpected(&mut self, expected: &str) -> Fault {
        let found = match self.peek().map(|t| &t.token) {
            None => "the end".to_owned(),
            Some(Token::Int(n)) => n.to_string(),
            Some(Token::Duration(us)) => format!("{us} us"),
            Some(Token::Text(t)) => format!("the string {t:?}"),
            Some(Token::Word(w)) => w.clone(),
            Some(Token::Symbol(s)) => (*s).to_owned(),
            Some(Token::TooLarge) => "a number".to_owned(),
        };
        Fault::new(self.next_span(), found, expected)
    }

    fn expect(&mut self, symbol: &'static str, what: &str) -> Result<usize, Fault> {
        let at = self.next_span();
        if self.accept(symbol) {
            Ok(at.to)
        } else {
            Err(self.unexpected(&format!("{symbol:?} {what}")))
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

    /// Runs `read` one level deeper.
    fn nested<T>(&mut self, read: impl FnOnce(&mut Self) -> Result<T, Fault>) -> Result<T, Fault> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            let at = self.next_span();
            return Err(Fault::new(at, "more", format_args!("at most {MAX_DEPTH} levels of nesting")));
        }
        let read = read(self);
        self.depth -= 1;
        read
    }

    fn expr(&mut self) -> Result<Expr, Fault> {
        self.nested(|r| {
            let test = r.or_expr()?;
            if !r.accept("?") {
                return Ok(test);
            }
            let yes = r.expr()?;
            r.expect(":", "between the two values of a choice")?;
            let no = r.expr()?;
            let (from, to) = (test.at.from, no.at.to);
            r.node(from, to, Kind::Conditional(Box::new([test, yes, no])))
        })
    }

    fn chain(
        &mut self,
        symbol: &str,
        read: fn(&mut Self) -> Result<Expr, Fault>,
        make: fn(Vec<Expr>) -> Kind,
    ) -> Result<Expr, Fault> {
        let first = read(self)?;
        let mut parts = vec![first];
        while self.accept(symbol) {
            parts.push(read(self)?);
        }
        let (from, to) = (parts[0].at.from, parts[parts.len() - 1].at.to);
        match parts.len() {
            1 => Ok(parts.remove(0)),
            _ => self.node(from, to, make(parts)),
        }
    }

    fn or_expr(&mut self) -> Result<Expr, Fault> {
        self.chain("||", Self::and_expr, Kind::Or)
    }

    fn and_expr(&mut self) -> Result<Expr, Fault> {
        self.chain("&&", Self::comparison, Kind::And)
    }

    fn comparison(&mut self) -> Result<Expr, Fault> {
        let left = self.left_associative(5)?;
        let Some(op) = self.accept_binary(4) else { return Ok(left) };
        let right = self.left_associative(5)?;
        let (from, to) = (left.at.from, right.at.to);
        if self.peek_binary(4).is_some() {
            return Err(self.unexpected("one comparison; brackets around the others"));
        }
        self.node(from, to, Kind::Binary(op, Box::new(left), Box::new(right)))
    }

    fn peek_binary(&mut self, precedence: u8) -> Option<Binary> {
        let op = match self.peek()?.token {
            Token::Symbol("==") => Binary::Eq,
            Token::Symbol("!=") => Binary::Ne,
            Token::Symbol("<") => Binary::Lt,
            Token::Symbol("<=") => Binary::Le,
            Token::Symbol(">") => Binary::Gt,
            Token::Symbol(">=") => Binary::Ge,
            Token::Symbol("+") => Binary::Add,
            Token::Symbol("-") => Binary::Sub,
            Token::Symbol("*") => Binary::Mul,
            Token::Symbol("/") => Binary::Div,
            Token::Symbol("%") => Binary::Rem,
            Token::Word(ref w) if w == "in" => Binary::In,
            _ => return None,
        };
        (op.precedence() == precedence).then_some(op)
    }

    fn accept_binary(&mut self, precedence: u8) -> Option<Binary> {
        let op = self.peek_binary(precedence)?;
        self.next();
        Some(op)
    }

    /// Parses left-associative operators: sums at precedence 5, products at 6.
    fn left_associative(&mut self, precedence: u8) -> Result<Expr, Fault> {
        let read =
            |r: &mut Self| if precedence == 6 { r.unary() } else { r.left_associative(precedence + 1) };
        let mut left = read(self)?;
        while let Some(op) = self.accept_binary(precedence) {
            let right = read(self)?;
            let (from, to) = (left.at.from, right.at.to);
            left = self.node(from, to, Kind::Binary(op, Box::new(left), Box::new(right)))?;
        }
        Ok(left)
    }

    fn unary(&mut self) -> Result<Expr, Fault> {
        let from = self.next_span().from;
        let op = match self.peek().map(|t| &t.token) {
            Some(Token::Symbol("!")) => Unary::Not,
            Some(Token::Symbol("-")) => Unary::Neg,
            _ => return self.postfix(),
        };
        self.next();
        let operand = self.nested(Self::unary)?;
        let to = operand.at.to;
        // A number with its sign is one constant.
        let kind = match (op, &operand.kind) {
            (Unary::Neg, Kind::Int(n)) => Kind::Int(n.wrapping_neg()),
            (Unary::Neg, Kind::Duration(n)) => Kind::Duration(n.wrapping_neg()),
            _ => Kind::Unary(op, Box::new(operand)),
        };
        self.node(from, to, kind)
    }

    fn postfix(&mut self) -> Result<Expr, Fault> {
        let mut operand = self.primary()?;
        loop {
            let from = operand.at.from;
            let kind;
            let to;
            if self.accept(".") {
                let Some(Spanned { token: Token::Word(name), .. }) = self.peek() else {
                    return Err(self.unexpected("the name of a function"));
                };
                self.next();
                self.expect("(", "behind a function's name")?;
                let (mut args, end) = self.delimited_list(")")?;
                args.insert(0, operand);
                kind = Kind::Call { name: name.clone(), args, method: true };
                to = end;
            } else if self.accept("[") {
                let at = self.expr()?;
                to = self.expect("]", "behind an index")?;
                kind = Kind::Index(Box::new(operand), Box::new(at));
            } else {
                return Ok(operand);
            }
            operand = self.node(from, to, kind)?;
        }
    }

    /// Parses a comma-separated list and its closing bracket. Returns the elements and the position after the bracket.
    fn delimited_list(&mut self, close: &'static str) -> Result<(Vec<Expr>, usize), Fault> {
        let mut parts = Vec::new();
        let at = self.next_span();
        if self.accept(close) {
            return Ok((parts, at.to));
        }
        loop {
            parts.push(self.expr()?);
            if self.accept(",") {
                continue;
            }
            let to = self.expect(close, "or a comma")?;
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
                if !self.accept("(") {
                    return self.node(at.from, at.to, Kind::Name(w));
                }
                let (args, to) = self.delimited_list(")")?;
                return self.node(at.from, to, Kind::Call { name: w, args, method: false });
            }
            Token::Symbol("(") => {
                self.next();
                let inner = self.expr()?;
                self.expect(")", "that closes the bracket")?;
                return Ok(inner);
            }
            Token::Symbol("[") => {
                self.next();
                let (parts, to) = self.delimited_list("]")?;
                return self.node(at.from, to, Kind::List(parts));
            }
            _ => return Err(self.unexpected("a value")),
        };
        self.next();
        self.node(at.from, at.to, kind)
    }
}
