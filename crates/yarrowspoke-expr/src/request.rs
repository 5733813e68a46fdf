//! Request as expressions read it: exactly the bytes that are forwarded.
//!
//! Nothing is decoded. If rules decoded `%2e` and a machine did not, the two would interpret different requests. Rules
//! therefore read the same bytes as the machines, and a rule meant for the decoded form has to name both.

use crate::bounds::{Bounds, MAX_METHOD_BYTES, MAX_SEGMENTS};
use crate::terms::Field;

/// Request that rules are evaluated on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Name of the class.
    pub class: &'a str,
    /// Name of the tenant; empty if the settings do not name the tenant.
    pub tenant: &'a str,
    /// Values of the headers that the set reads, in the order of the set.
    pub headers: &'a [Option<String>],
    /// Time that the client waits for the response, in microseconds.
    pub budget: i64,
    /// Estimate of the work by the client, in microseconds.
    pub hint: Option<i64>,
    /// Whether the client marked the request as a retry.
    pub repeat: bool,
    /// Length of the body in bytes.
    pub length: i64,
}

/// Part of a request that exceeds the bounds, so that rules are not evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TooLong {
    /// Path and query.
    Target,
    /// Header that rules read, or the method.
    Header,
}

/// Buffer that contains a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextSource {
    /// Constant of the program.
    Const(u32),
    /// Method of the request.
    Method,
    /// Target of the request.
    Target,
    /// Class of the request.
    Class,
    /// Tenant of the request.
    Tenant,
    /// Header of the request.
    Header(u16),
    /// Strings built while the expression runs.
    Built,
}

/// Text as a range of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slice {
    /// Buffer that contains the text.
    pub source: TextSource,
    /// First byte.
    pub from: u32,
    /// End of the range (exclusive).
    pub to: u32,
}

impl Slice {
    /// Returns the slice that covers a whole source of `bytes` bytes.
    pub fn whole(source: TextSource, bytes: usize) -> Self {
        Self { source, from: 0, to: bytes as u32 }
    }

    /// Returns the length in bytes.
    pub fn bytes(&self) -> usize {
        self.to.saturating_sub(self.from) as usize
    }
}

impl<'a> Request<'a> {
    /// Checks that the request keeps within the bounds for which the cost was computed.
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

    /// Returns the path: the target up to its `?`.
    pub fn path(&self) -> &'a str {
        self.target.split_once('?').map_or(self.target, |t| t.0)
    }

    /// Returns the value of the first query parameter of this name, as a range of the target.
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

    /// Returns a text field.
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

/// Positions of the path segments, found in one pass.
#[derive(Clone, Copy, Debug, Default)]
pub struct Segments {
    spans: [(u32, u32); MAX_SEGMENTS],
    /// Number of segments of the path, including those whose positions are not kept.
    pub count: usize,
}

impl Segments {
    /// Splits a path into segments. The empty text before the first `/` is not a segment.
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

    /// Returns a segment by its index.
    pub fn get(&self, n: usize) -> Option<Slice> {
        let (from, to) = *self.spans.get(n).filter(|_| n < self.count)?;
        Some(Slice { source: TextSource::Target, from, to })
    }
}
