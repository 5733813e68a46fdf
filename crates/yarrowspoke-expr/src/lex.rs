//! Lexer: splits the text of an expression into tokens.

use crate::syntax::{Fault, Span};
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::error::EmptyError;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, none_of, one_of, take_while};
use winnow::Parser;

type Input<'a> = LocatingSlice<&'a str>;
type LexResult<T> = Result<T, EmptyError>;

/// Token of the language.
#[derive(Clone, Debug, PartialEq)]
pub enum Token {
    /// Integer.
    Int(i64),
    /// Duration in microseconds.
    Duration(i64),
    /// String.
    Text(String),
    /// Name or keyword.
    Word(String),
    /// Operator or punctuation.
    Symbol(&'static str),
    /// Number too large for 64 bits.
    TooLarge,
}

/// Token with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned {
    /// The token.
    pub token: Token,
    /// Position in the text.
    pub at: Span,
}

/// Operators and punctuation. Longer ones come first, so that the longest match is taken.
const SYMBOLS: [&str; 22] = [
    "&&", "||", "==", "!=", "<=", ">=", "<", ">", "!", "+", "-", "*", "/", "%", "(", ")", "[", "]", ",", ".",
    "?", ":",
];

/// Units of time in microseconds. Longer ones come first.
const UNITS: [(&str, i64); 5] =
    [("ms", 1_000), ("us", 1), ("s", 1_000_000), ("m", 60_000_000), ("h", 3_600_000_000)];

/// Splits a text into tokens.
pub fn tokens(text: &str) -> Result<Vec<Spanned>, Fault> {
    let mut input = LocatingSlice::new(text);
    let mut out = Vec::new();
    loop {
        skip_whitespace(&mut input);
        let from = input.current_token_start();
        if from == text.len() {
            return Ok(out);
        }
        match token(&mut input) {
            Ok(token) => {
                let at = Span { from, to: input.current_token_start() };
                if token == Token::TooLarge {
                    return Err(Fault::new(at, &text[at.from..at.to], "a number of 64 bits"));
                }
                out.push(Spanned { token, at });
            }
            Err(EmptyError) => {
                let next = text[from..].chars().next().unwrap_or(' ');
                let at = Span { from, to: from + next.len_utf8() };
                let expected = match next {
                    '\'' | '"' => "a string with its closing quote and the escapes \\\\ \\' \\\" \\n \\r \\t",
                    _ => "a number, a string, a name or an operator",
                };
                return Err(Fault::new(at, format_args!("{next:?}"), expected));
            }
        }
    }
}

fn skip_whitespace(input: &mut Input) {
    let skipped: LexResult<()> = take_while(0.., char::is_whitespace).void().parse_next(input);
    debug_assert!(skipped.is_ok());
}

fn token(input: &mut Input) -> LexResult<Token> {
    alt((number, quoted('\''), quoted('"'), word, symbol)).parse_next(input)
}

fn number(input: &mut Input) -> LexResult<Token> {
    let digits: &str = digit1.parse_next(input)?;
    let unit = opt(word_text).parse_next(input)?;
    let Some(value) = digits.parse::<i64>().ok() else { return Ok(Token::TooLarge) };
    let Some(unit) = unit else { return Ok(Token::Int(value)) };
    let Some((_, multiplier)) = UNITS.iter().find(|u| u.0 == unit) else { return Err(EmptyError) };
    Ok(value.checked_mul(*multiplier).map_or(Token::TooLarge, Token::Duration))
}

fn quoted<'a>(quote: char) -> impl Parser<Input<'a>, Token, EmptyError> {
    let escape = preceded('\\', any).verify_map(|c| match c {
        '\\' | '\'' | '"' => Some(c),
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        _ => None,
    });
    let part = alt((none_of([quote, '\\']), escape));
    let text = repeat(0.., part).fold(String::new, |mut s, c| {
        s.push(c);
        s
    });
    delimited(quote, text, quote).map(Token::Text)
}

fn word_text<'a>(input: &mut Input<'a>) -> LexResult<&'a str> {
    let first = one_of(|c: char| c.is_ascii_alphabetic() || c == '_');
    let rest = take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_');
    (first, rest).take().parse_next(input)
}

fn word(input: &mut Input) -> LexResult<Token> {
    word_text.map(|w: &str| Token::Word(w.to_owned())).parse_next(input)
}

fn symbol(input: &mut Input) -> LexResult<Token> {
    for symbol in SYMBOLS {
        let found: Option<&str> = opt(symbol).parse_next(input)?;
        if found.is_some() {
            return Ok(Token::Symbol(symbol));
        }
    }
    Err(EmptyError)
}
