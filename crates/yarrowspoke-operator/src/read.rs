//! From text to forms that know where they stand.

use crate::Fault;
use lexpr::datum::{Datum, Ref, Span};
use lexpr::{Parser, Value};

/// `(name ...)` with where it stands.
pub struct Form {
    /// Its name.
    pub name: String,
    datum: Datum,
}

fn place(span: Span) -> (usize, usize) {
    (span.start().line(), span.start().column() + 1)
}

fn fault(at: (usize, usize), found: impl ToString, expected: &str) -> Fault {
    Fault { line: at.0, column: at.1, found: found.to_string(), expected: expected.to_owned() }
}

/// The sections of a text; what is none is a fault. Text that is no S-expression ends the reading.
pub fn sections(text: &str, faults: &mut Vec<Fault>) -> Vec<Form> {
    let mut parser = Parser::from_str(text);
    let mut out = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(None) => return out,
            Ok(Some(datum)) => match head(datum.as_ref()) {
                Some(name) => out.push(Form { name, datum }),
                None => faults.push(fault(
                    place(datum.span()),
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

/// The symbol that a list begins with.
fn head(datum: Ref<'_>) -> Option<String> {
    let first = datum.list_iter()?.next()?;
    first.value().as_symbol().map(str::to_owned)
}

impl Form {
    /// Where it stands: line and column, from 1.
    pub fn place(&self) -> (usize, usize) {
        place(self.datum.span())
    }

    /// A fault of it as a whole.
    pub fn fault(&self, expected: &str) -> Fault {
        fault(self.place(), format!("({} ...)", self.name), expected)
    }

    /// Names of the forms in it.
    pub fn names(&self) -> Vec<String> {
        self.parts().filter_map(head).collect()
    }

    fn parts(&self) -> impl Iterator<Item = Ref<'_>> {
        self.datum.as_ref().list_iter().into_iter().flatten().skip(1)
    }

    /// The forms in it, its own name left out; what is none is a fault.
    pub fn fields(&self, faults: &mut Vec<Fault>) -> Vec<Form> {
        self.fields_behind(0, faults)
    }

    /// The forms in it behind its first `skipped` parts.
    pub fn fields_behind(&self, skipped: usize, faults: &mut Vec<Fault>) -> Vec<Form> {
        let mut out = Vec::new();
        for part in self.parts().skip(skipped) {
            match head(part) {
                Some(name) => out.push(Form { name, datum: Datum::from(part) }),
                None => faults.push(fault(place(part.span()), part.value(), "a field: (name value)")),
            }
        }
        out
    }

    /// Its first part, if it is a name: a word or a string.
    pub fn title(&self) -> Option<String> {
        self.parts().next().and_then(|p| word(p.value()))
    }

    /// Its only part, and where it stands.
    fn value(&self) -> Option<(Value, (usize, usize))> {
        let mut parts = self.parts();
        match (parts.next(), parts.next()) {
            (Some(one), None) => Some((one.value().clone(), place(one.span()))),
            _ => None,
        }
    }

    /// Where its only part stands, or it itself.
    pub fn value_place(&self) -> (usize, usize) {
        self.value().map_or(self.place(), |v| v.1)
    }

    /// A fault of its only part.
    pub fn fault_of_value(&self, expected: &str) -> Fault {
        match self.value() {
            Some((value, at)) => fault(at, value, expected),
            None => fault(self.place(), format!("({} ...) without one value", self.name), expected),
        }
    }

    /// Its only part, if `read` takes it; anything else is a fault.
    pub fn take<T>(
        &self,
        wanted: &str,
        faults: &mut Vec<Fault>,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let taken = self.value().and_then(|v| read(&v.0));
        if taken.is_none() {
            faults.push(self.fault_of_value(wanted));
        }
        taken
    }

    /// Its only part as a number.
    pub fn number(&self, wanted: &str, faults: &mut Vec<Fault>, holds: impl Fn(f64) -> bool) -> Option<f64> {
        self.take(wanted, faults, |v| v.as_f64().filter(|x| x.is_finite() && holds(*x)))
    }

    /// Its only part as a whole number.
    pub fn whole(&self, wanted: &str, faults: &mut Vec<Fault>, holds: impl Fn(u64) -> bool) -> Option<u64> {
        self.take(wanted, faults, |v| v.as_u64().filter(|x| holds(*x)))
    }

    /// Its only part as a name: a word or a string.
    pub fn word(&self, wanted: &str, faults: &mut Vec<Fault>) -> Option<String> {
        self.take(wanted, faults, word)
    }

    /// Its only part as a string.
    pub fn text(&self, wanted: &str, faults: &mut Vec<Fault>) -> Option<String> {
        self.take(wanted, faults, |v| v.as_str().map(str::to_owned))
    }
}

fn word(value: &Value) -> Option<String> {
    value.as_symbol().or(value.as_str()).filter(|w| !w.is_empty()).map(str::to_owned)
}

/// The place, in a file's text, of a character of a string that stands at `at`: `offset` is in bytes of the string's
/// value, where an escape of two characters in the file is one.
pub fn within(text: &str, at: (usize, usize), offset: usize) -> (usize, usize) {
    let (mut line, mut column) = at;
    let begun =
        text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum::<usize>() + column - 1;
    let mut raw = text.get(begun..).unwrap_or("").chars().peekable();
    // The opening quote.
    raw.next();
    column += 1;
    let mut passed = 0;
    while passed < offset {
        let Some(c) = raw.next() else { break };
        match c {
            '\n' => (line, column) = (line + 1, 1),
            '\\' => {
                raw.next();
                column += 2;
            }
            _ => column += 1,
        }
        passed += if c == '\\' { 1 } else { c.len_utf8() };
    }
    (line, column)
}
