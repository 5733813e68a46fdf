//! What an expression sees of a request: exactly the bytes that are passed on.
//!
//! Nothing is decoded. Danger: where one reader decodes `%2e` and another does not, each sees another request; so rules
//! and machines are shown the same bytes, and a rule that means the decoded form names both.

use crate::bounds::{Bounds, MAX_METHOD_BYTES, MAX_SEGMENTS};
use crate::terms::Field;

/// A request as rules see it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The class's name.
    pub class: &'a str,
    /// The tenant's name; empty if the settings name none so.
    pub tenant: &'a str,
    /// Values of the headers that the set reads, in its order.
    pub headers: &'a [Option<String>],
    /// How long the client waits, in microseconds.
    pub budget: i64,
    /// The client's guess at the work, in microseconds.
    pub hint: Option<i64>,
    /// Marked as a repeat.
    pub repeat: bool,
    /// Bytes of the body.
    pub length: i64,
}

/// Why a request is not looked at by rules, which then answer for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TooLong {
    /// Path and query.
    Target,
    /// A header that rules read, or the method.
    Header,
}

/// Where a text lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextSource {
    /// Among the program's constants.
    Const(u32),
    /// In the request.
    Method,
    /// In the request.
    Target,
    /// In the request.
    Class,
    /// In the request.
    Tenant,
    /// In the request's headers.
    Header(u16),
    /// Among the texts that were built for this request.
    Built,
}

/// A text, by where it lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slice {
    /// Where it lies.
    pub source: TextSource,
    /// First byte.
    pub from: u32,
    /// Byte behind the last.
    pub to: u32,
}

impl Slice {
    /// The whole of a source of so many bytes.
    pub fn whole(source: TextSource, bytes: usize) -> Self {
        Self { source, from: 0, to: bytes as u32 }
    }

    /// How many bytes it has.
    pub fn bytes(&self) -> usize {
        self.to.saturating_sub(self.from) as usize
    }
}

impl<'a> Request<'a> {
    /// Whether it keeps within the bounds on which the prices rest.
    pub fn check_size(&self, bounds: &Bounds) -> Result<(), TooLong> {
        if self.target.len() > bounds.max_target_bytes {
            return Err(TooLong::Target);
        }
        let too_long = |h: &Option<String>| h.as_ref().is_some_and(|h| h.len() > bounds.max_header_bytes);
        if self.method.len() > MAX_METHOD_BYTES || self.headers.iter().any(too_long) {
            return Err(TooLong::Header);
        }
        Ok(())
    }

    /// The path: the target up to its `?`.
    pub fn path(&self) -> &'a str {
        self.target.split_once('?').map_or(self.target, |t| t.0)
    }

    /// The first query parameter of this name, as bytes of the target.
    pub fn query(&self, name: &str) -> Option<Slice> {
        let mut from = self.path().len() + 1;
        let query = self.target.get(from..)?;
        for part in query.split('&') {
            let value = part.strip_prefix(name).and_then(|rest| rest.strip_prefix('='));
            if let Some(value) = value {
                let (begin, to) = (from + name.len() + 1, from + part.len());
                debug_assert_eq!(value.len(), to - begin);
                return Some(Slice { source: TextSource::Target, from: begin as u32, to: to as u32 });
            }
            from += part.len() + 1;
        }
        None
    }

    /// A text field.
    pub fn field(&self, field: Field) -> Slice {
        match field {
            Field::Method => Slice::whole(TextSource::Method, self.method.len()),
            Field::Class => Slice::whole(TextSource::Class, self.class.len()),
            Field::Tenant => Slice::whole(TextSource::Tenant, self.tenant.len()),
            Field::Path => Slice::whole(TextSource::Target, self.path().len()),
            _ => Slice::whole(TextSource::Target, self.target.len()),
        }
    }
}

/// Where the path's segments lie, found in one pass.
#[derive(Clone, Copy, Debug, Default)]
pub struct Segments {
    spans: [(u32, u32); MAX_SEGMENTS],
    /// How many segments the path has, those past the ones kept included.
    pub count: usize,
}

impl Segments {
    /// Takes a path apart. The empty text before its first `/` is no segment.
    pub fn split_path(&mut self, path: &str) {
        let from = usize::from(path.starts_with('/'));
        let mut at = from;
        self.count = 0;
        for part in path[from..].split('/') {
            if let Some(span) = self.spans.get_mut(self.count) {
                *span = (at as u32, (at + part.len()) as u32);
            }
            self.count += 1;
            at += part.len() + 1;
        }
    }

    /// A segment by its number.
    pub fn get(&self, n: usize) -> Option<Slice> {
        let (from, to) = *self.spans.get(n).filter(|_| n < self.count)?;
        Some(Slice { source: TextSource::Target, from, to })
    }
}
