//! Parses text into forms that keep their positions in the file.

use crate::Fault;
use lexpr::datum::{Datum, Ref, Span};
use lexpr::{Parser, Value};

/// A form `(name ...)` with its position.
pub struct Form {
    /// Name of the form.
    pub name: String,
    datum: Datum,
}

fn position(span: Span) -> (usize, usize) {
    (span.start().line(), span.start().column() + 1)
}

fn fault(at: (usize, usize), found: impl ToString, expected: &str) -> Fault {
    Fault { line: at.0, column: at.1, found: found.to_string(), expected: expected.to_owned() }
}

/// Parses the sections of a text. Anything else at the top level is a fault; invalid S-expression syntax ends parsing.
pub fn sections(text: &str, faults: &mut Vec<Fault>) -> Vec<Form> {
    let mut parser = Parser::from_str(text);
    let mut out = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(None) => return out,
            Ok(Some(datum)) => match head_symbol(datum.as_ref()) {
                Some(name) => out.push(Form { name, datum }),
                None => faults.push(fault(
                    position(datum.span()),
                    datum.value(),
                    "a section: (name (field value) ...)",
                )),
            },
            Err(e) => {
                let end = (text.lines().count().max(1), text.lines().last().map_or(0, str::len) + 1);
                let at = e.location().map_or(end, |l| (l.line(), l.column().max(1)));
                faults.push(fault(at, e, "S-expressions with closed brackets"));
                return out;
            }
        }
    }
}

/// Returns the symbol at the head of a list.
fn head_symbol(datum: Ref<'_>) -> Option<String> {
    let first = datum.list_iter()?.next()?;
    first.value().as_symbol().map(str::to_owned)
}

impl Form {
    /// Returns the position of the form: line and column, from 1.
    pub fn position(&self) -> (usize, usize) {
        position(self.datum.span())
    }

    /// Returns a fault of the form as a whole.
    pub fn fault(&self, expected: &str) -> Fault {
        fault(self.position(), format!("({} ...)", self.name), expected)
    }

    /// Returns the names of the nested forms.
    pub fn names(&self) -> Vec<String> {
        self.values().filter_map(head_symbol).collect()
    }

    fn values(&self) -> impl Iterator<Item = Ref<'_>> {
        self.datum.as_ref().list_iter().into_iter().flatten().skip(1)
    }

    /// Returns the nested forms. Any other value in the form is a fault.
    pub fn fields(&self, faults: &mut Vec<Fault>) -> Vec<Form> {
        self.fields_after(0, faults)
    }

    /// Returns the nested forms after the first `skipped` values.
    pub fn fields_after(&self, skipped: usize, faults: &mut Vec<Fault>) -> Vec<Form> {
        let mut out = Vec::new();
        for value in self.values().skip(skipped) {
            match head_symbol(value) {
                Some(name) => out.push(Form { name, datum: Datum::from(value) }),
                None => faults.push(fault(position(value.span()), value.value(), "a field: (name value)")),
            }
        }
        out
    }

    /// Returns the first value if it is a name: a symbol or a string.
    pub fn first_name(&self) -> Option<String> {
        self.values().next().and_then(|p| name_of(p.value()))
    }

    /// Returns the only value and its position.
    fn value(&self) -> Option<(Value, (usize, usize))> {
        let mut values = self.values();
        match (values.next(), values.next()) {
            (Some(one), None) => Some((one.value().clone(), position(one.span()))),
            _ => None,
        }
    }

    /// Returns the position of the only value, or of the form if there is not exactly one.
    pub fn value_position(&self) -> (usize, usize) {
        self.value().map_or(self.position(), |v| v.1)
    }

    /// Returns a fault of the only value.
    pub fn fault_of_value(&self, expected: &str) -> Fault {
        match self.value() {
            Some((value, at)) => fault(at, value, expected),
            None => fault(self.position(), format!("({} ...) without one value", self.name), expected),
        }
    }

    /// Returns the only value as converted by `convert`; anything else is a fault.
    pub fn convert_value<T>(
        &self,
        expected: &str,
        faults: &mut Vec<Fault>,
        convert: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let converted = self.value().and_then(|v| convert(&v.0));
        if converted.is_none() {
            faults.push(self.fault_of_value(expected));
        }
        converted
    }

    /// Returns the only value as a number that `is_valid` accepts.
    pub fn number(
        &self,
        expected: &str,
        faults: &mut Vec<Fault>,
        is_valid: impl Fn(f64) -> bool,
    ) -> Option<f64> {
        self.convert_value(expected, faults, |v| v.as_f64().filter(|x| x.is_finite() && is_valid(*x)))
    }

    /// Returns the only value as a whole number that `is_valid` accepts.
    pub fn integer(
        &self,
        expected: &str,
        faults: &mut Vec<Fault>,
        is_valid: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        self.convert_value(expected, faults, |v| v.as_u64().filter(|x| is_valid(*x)))
    }

    /// Returns the only value as a name: a symbol or a string.
    pub fn name(&self, expected: &str, faults: &mut Vec<Fault>) -> Option<String> {
        self.convert_value(expected, faults, name_of)
    }

    /// Returns the only value as a string.
    pub fn string(&self, expected: &str, faults: &mut Vec<Fault>) -> Option<String> {
        self.convert_value(expected, faults, |v| v.as_str().map(str::to_owned))
    }
}

fn name_of(value: &Value) -> Option<String> {
    value.as_symbol().or(value.as_str()).filter(|w| !w.is_empty()).map(str::to_owned)
}

/// Returns the position in a file's text of a character within the string literal at `at`. `offset` counts bytes of the
/// string's value, in which an escape of two characters in the file is one byte.
pub fn position_in_string(text: &str, at: (usize, usize), offset: usize) -> (usize, usize) {
    let (mut line, mut column) = at;
    let start =
        text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum::<usize>() + column - 1;
    let mut raw = text.get(start..).unwrap_or("").chars().peekable();
    // The opening quote.
    raw.next();
    column += 1;
    let mut value_bytes = 0;
    while value_bytes < offset {
        let Some(c) = raw.next() else { break };
        match c {
            '\n' => (line, column) = (line + 1, 1),
            '\\' => {
                raw.next();
                column += 2;
            }
            _ => column += 1,
        }
        value_bytes += if c == '\\' { 1 } else { c.len_utf8() };
    }
    (line, column)
}
