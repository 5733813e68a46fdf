//! Incremental HTTP/1.1 decoding and encoding with bounded memory: bytes are fed in as they arrive, whole messages
//! come out.
//!
//! A message's head is decoded once, into the reader's own type ([`FromHead`]).

use thiserror::Error;

/// Largest head of a message, in bytes; also the most bytes of empty lines before one.
pub const HEAD_LIMIT: usize = 8 * 1024;
/// Largest body, in bytes, as the protocol defines it.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most header fields of a message.
pub const FIELD_LIMIT: usize = 64;
/// Largest line that states a chunk's size, in bytes.
const CHUNK_LINE_LIMIT: usize = 256;
/// Most interim responses before a final one.
const INTERIM_LIMIT: u32 = 16;
/// Buffer capacity that a decoder keeps between messages, in bytes.
const RETAINED_CAPACITY: usize = 1024;

/// Why a message cannot be decoded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// The start line is not one of HTTP/1.
    #[error("start line cannot be read")]
    StartLine,
    /// A header field is malformed, or two contradict each other.
    #[error("header field is malformed")]
    HeaderField,
    /// A field that this message requires is missing or has an invalid value.
    #[error("{0} is missing or invalid")]
    InvalidValue(&'static str),
    /// The head exceeds its limit.
    #[error("head too large")]
    HeadTooLarge,
    /// The body exceeds its limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The framing of the body is invalid.
    #[error("body framing is invalid")]
    Framing,
    /// There are more interim responses than any sender needs.
    #[error("too many interim responses")]
    TooManyInterim,
    /// The connection ended within the message.
    #[error("message truncated")]
    Truncated,
}

impl HttpError {
    /// Returns the status with which a server answers such a message.
    pub fn status(self) -> u16 {
        match self {
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            _ => 400,
        }
    }
}

/// A head split into its parts, borrowed from the received bytes.
pub struct RawHead<'a> {
    /// The three parts of the start line; the last may contain spaces or be empty.
    pub start_line: [&'a str; 3],
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> RawHead<'a> {
    /// Returns the first field of this name, ignoring case.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1)
    }

    /// Returns the only field of this name; a repeated field is an error, since two readers might each use a
    /// different one.
    pub fn unique_field(&self, name: &'static str) -> Result<Option<&'a str>, HttpError> {
        self.unique_field_at_runtime(name).map_err(|_| HttpError::InvalidValue(name))
    }

    /// Same as [`RawHead::unique_field`], for a name that is known only at run time.
    pub fn unique_field_at_runtime(&self, name: &str) -> Result<Option<&'a str>, HttpError> {
        let mut matching = self.fields.iter().filter(|f| f.0.eq_ignore_ascii_case(name));
        match (matching.next(), matching.next()) {
            (first, None) => Ok(first.map(|f| f.1)),
            _ => Err(HttpError::HeaderField),
        }
    }

    /// Returns whether a comma-separated field contains this word.
    fn field_contains(&self, name: &str, word: &str) -> bool {
        let matching = self.fields.iter().filter(|f| f.0.eq_ignore_ascii_case(name));
        matching.flat_map(|f| f.1.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// Returns whether the sender keeps the connection open after this message.
    pub fn keeps_alive(&self, version: &str) -> bool {
        match version {
            "HTTP/1.1" => !self.field_contains("connection", "close"),
            _ => self.field_contains("connection", "keep-alive"),
        }
    }

    /// Returns the framing of the body as the head states it, if it does.
    fn framing(&self) -> Result<Option<Framing>, HttpError> {
        let transfer_encoding = self.unique_field("transfer-encoding").map_err(|_| HttpError::Framing)?;
        let mut lengths = self.fields.iter().filter(|f| f.0.eq_ignore_ascii_case("content-length"));
        let length = lengths.next().map(|f| f.1);
        // Two readers that disagree on where a message ends would take bytes of one message for another.
        if lengths.any(|f| Some(f.1) != length) || transfer_encoding.is_some() && length.is_some() {
            return Err(HttpError::Framing);
        }
        if let Some(coding) = transfer_encoding {
            let is_chunked = coding.trim().eq_ignore_ascii_case("chunked");
            return if is_chunked { Ok(Some(Framing::Chunked)) } else { Err(HttpError::Framing) };
        }
        let Some(length) = length else { return Ok(None) };
        if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
            return Err(HttpError::Framing);
        }
        length.parse().map(|n| Some(Framing::Length(n))).map_err(|_| HttpError::BodyTooLarge)
    }
}

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After a fixed number of bytes.
    Length(usize),
    /// After the last chunk.
    Chunked,
    /// When the connection ends.
    UntilClose,
}

/// A type that is decoded from a head.
pub trait FromHead: Sized {
    /// Further input to the decoding of a head.
    type Context;
    /// Decodes the head.
    fn from_head(head: &RawHead, context: &Self::Context) -> Result<Self, HttpError>;
    /// Whether an unreadable field value makes the head invalid; otherwise the field counts as absent, unless the
    /// framing depends on it.
    const STRICT: bool;
    /// Whether space for a body of stated length is taken as soon as its head is decoded; otherwise the reader asks for it
    /// with [`Decoder::reserve_body`], once it knows that the body fits.
    const RESERVES_BODY: bool = true;
    /// Returns the framing of a body whose head states none; `None` if it must be stated.
    fn default_framing(&self) -> Option<Framing>;
    /// Returns whether the message is an interim response, to be skipped.
    fn is_interim(&self) -> bool {
        false
    }
    /// Returns whether no body follows, whatever the fields state.
    fn has_no_body(&self) -> bool {
        false
    }
}

/// Decodes bytes into messages.
pub struct Decoder<T: FromHead> {
    /// Received bytes; those before `consumed_len` are done with and dropped as further bytes arrive, since moving the
    /// rest at each step would cost the square of what arrived.
    buffer: Vec<u8>,
    consumed_len: usize,
    /// Bytes after the consumed ones in which the end of a head was already looked for.
    searched_len: usize,
    /// Bytes of empty lines since the last head.
    blank_bytes: usize,
    current: Option<(T, Framing)>,
    body: Vec<u8>,
    in_trailer: bool,
    continue_sent: bool,
    interim_count: u32,
    /// Bytes of the lines between chunks and of the trailer.
    overhead_bytes: usize,
    body_limit: usize,
    context: T::Context,
}

impl<T: FromHead<Context = ()>> Decoder<T> {
    /// Returns a decoder for bodies of up to `body_limit` bytes.
    pub fn new(body_limit: usize) -> Self {
        Self::with_context(body_limit, ())
    }
}

impl<T: FromHead> Decoder<T> {
    /// Returns a decoder for bodies of up to `body_limit` bytes whose heads are decoded with `context`.
    pub fn with_context(body_limit: usize, context: T::Context) -> Self {
        let (buffer, body) = (Vec::new(), Vec::new());
        let (current, in_trailer, continue_sent) = (None, false, false);
        let (consumed_len, searched_len, blank_bytes) = (0, 0, 0);
        let (interim_count, overhead_bytes) = (0, 0);
        Self {
            buffer,
            consumed_len,
            searched_len,
            blank_bytes,
            current,
            body,
            in_trailer,
            continue_sent,
            interim_count,
            overhead_bytes,
            body_limit,
            context,
        }
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.drop_consumed();
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the received bytes that are not consumed yet.
    fn unread(&self) -> &[u8] {
        &self.buffer[self.consumed_len..]
    }

    fn drop_consumed(&mut self) {
        self.buffer.drain(..self.consumed_len);
        self.consumed_len = 0;
    }

    /// Returns whether the decoder is between messages, with no byte of the next one received. Empty lines are no part
    /// of a message.
    pub fn is_idle(&self) -> bool {
        self.unread().is_empty() && self.current.is_none()
    }

    /// Returns whether bytes of a further message have been received.
    pub fn has_unread_message(&self) -> bool {
        !self.unread().iter().all(|b| matches!(b, b'\r' | b'\n'))
    }

    /// Returns the largest number of body bytes that the current message may have.
    pub fn expected_body_len(&self) -> usize {
        match self.current.as_ref().map(|b| b.1) {
            Some(Framing::Length(n)) => n,
            Some(_) => self.body_limit,
            None => 0,
        }
    }

    /// Returns whether the current message has a body of more than `limit` bytes: by its stated length, or by what of it has
    /// arrived.
    pub fn has_large_body(&self, limit: usize) -> bool {
        match self.current.as_ref().map(|b| b.1) {
            Some(Framing::Length(n)) => n > limit,
            Some(_) => self.unread().len() + self.body.len() > limit,
            None => false,
        }
    }

    /// Returns true once per message, if its head has arrived and its sender waits for `100 Continue` according to
    /// `expects_continue`.
    pub fn take_continue_request(&mut self, expects_continue: impl Fn(&T) -> bool) -> bool {
        let waits = self.current.as_ref().is_some_and(|b| expects_continue(&b.0)) && self.unread().is_empty();
        waits && !std::mem::replace(&mut self.continue_sent, true)
    }

    /// Discards received empty lines, if nothing else was received. They count against the limit of the next head.
    pub fn skip_blank_lines(&mut self) -> Result<(), HttpError> {
        if self.has_unread_message() {
            return Ok(());
        }
        self.discard_blank(self.unread().len())
    }

    fn discard_blank(&mut self, len: usize) -> Result<(), HttpError> {
        self.consume(len);
        self.blank_bytes += len;
        if self.blank_bytes > HEAD_LIMIT {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(())
    }

    /// Returns the next message, if it is complete.
    pub fn next_message(&mut self) -> Result<Option<(T, Vec<u8>)>, HttpError> {
        loop {
            if self.current.is_none() && !self.read_head()? {
                return Ok(None);
            }
            let Some((_, framing)) = &self.current else { return Ok(None) };
            let is_complete = match *framing {
                Framing::Length(n) => self.read_length(n),
                Framing::Chunked => self.read_chunks()?,
                Framing::UntilClose => {
                    self.drop_consumed();
                    self.body.append(&mut self.buffer);
                    if self.body.len() > self.body_limit {
                        return Err(HttpError::BodyTooLarge);
                    }
                    false
                }
            };
            if !is_complete {
                return Ok(None);
            }
            let Some(message) = self.take_message() else { return Ok(None) };
            if !message.0.is_interim() {
                self.interim_count = 0;
                return Ok(Some(message));
            }
            // A sender of endless interim responses would block its reader forever.
            self.interim_count += 1;
            if self.interim_count > INTERIM_LIMIT {
                return Err(HttpError::TooManyInterim);
            }
        }
    }

    /// Returns the message that the end of the connection completes, if there is one.
    pub fn finish(&mut self) -> Result<Option<(T, Vec<u8>)>, HttpError> {
        match &self.current {
            Some((_, Framing::UntilClose)) => Ok(self.take_message()),
            None if self.unread().is_empty() => Ok(None),
            _ => Err(HttpError::Truncated),
        }
    }

    fn take_message(&mut self) -> Option<(T, Vec<u8>)> {
        (self.in_trailer, self.continue_sent, self.overhead_bytes) = (false, false, 0);
        let body = std::mem::take(&mut self.body);
        self.current.take().map(|(head, _)| (head, body))
    }

    fn consume(&mut self, len: usize) {
        self.consumed_len += len;
        self.searched_len = 0;
        if self.unread().is_empty() {
            self.drop_consumed();
            self.buffer.shrink_to(RETAINED_CAPACITY);
        }
    }

    fn read_head(&mut self) -> Result<bool, HttpError> {
        // An empty line before a message is skipped, as the standard recommends.
        let blank_lines = self.unread().chunks_exact(2).take_while(|pair| pair == b"\r\n").count();
        if blank_lines > 0 {
            self.discard_blank(2 * blank_lines)?;
        }
        let unread = self.unread();
        // The bytes searched before contain no end of the head, but their last three may be the beginning of one.
        let from = self.searched_len.saturating_sub(3);
        let found = unread[from..].windows(4).position(|w| w == b"\r\n\r\n");
        let Some(end) = found.map(|at| from + at) else {
            let too_long = unread.len() > HEAD_LIMIT;
            self.searched_len = unread.len();
            return if too_long { Err(HttpError::HeadTooLarge) } else { Ok(false) };
        };
        if end > HEAD_LIMIT {
            return Err(HttpError::HeadTooLarge);
        }
        let raw = split_head(&unread[..end], T::STRICT)?;
        let head = T::from_head(&raw, &self.context)?;
        let framing = match raw.framing()? {
            _ if head.has_no_body() => Framing::Length(0),
            Some(framing) => framing,
            None => head.default_framing().ok_or(HttpError::Framing)?,
        };
        if matches!(framing, Framing::Length(n) if n > self.body_limit) {
            return Err(HttpError::BodyTooLarge);
        }
        self.current = Some((head, framing));
        self.blank_bytes = 0;
        self.consume(end + 4);
        if T::RESERVES_BODY {
            self.reserve_body();
        }
        Ok(true)
    }

    /// Takes space for the rest of the current body, if its length is stated.
    pub fn reserve_body(&mut self) {
        let Some((_, Framing::Length(len))) = self.current else { return };
        let missing = len.saturating_sub(self.unread().len());
        if missing > 0 {
            self.drop_consumed();
            self.buffer.reserve_exact(missing);
        }
    }

    fn read_length(&mut self, len: usize) -> bool {
        let Some(rest_len) = self.unread().len().checked_sub(len) else { return false };
        // Whichever part is shorter is copied.
        if rest_len <= len {
            self.drop_consumed();
            let rest = self.buffer.split_off(len);
            self.body = std::mem::replace(&mut self.buffer, rest);
            self.searched_len = 0;
        } else {
            self.body = self.unread()[..len].to_vec();
            self.consume(len);
        }
        true
    }

    /// Consumes complete chunks; returns true after the last one and its trailer.
    fn read_chunks(&mut self) -> Result<bool, HttpError> {
        loop {
            let searchable = &self.unread()[..self.unread().len().min(CHUNK_LINE_LIMIT + 2)];
            let Some(line_end) = searchable.windows(2).position(|w| w == b"\r\n") else {
                let too_long = self.unread().len() > CHUNK_LINE_LIMIT + 1;
                return if too_long { Err(HttpError::Framing) } else { Ok(false) };
            };
            // Lines between chunks, and a trailer, might go on without end.
            self.overhead_bytes += line_end + 2;
            if self.overhead_bytes > HEAD_LIMIT + self.body_limit {
                return Err(HttpError::Framing);
            }
            if self.in_trailer {
                self.consume(line_end + 2);
                if line_end == 0 {
                    return Ok(true);
                }
                continue;
            }
            let line = std::str::from_utf8(&self.unread()[..line_end]).map_err(|_| HttpError::Framing)?;
            let digits = line.split(';').next().unwrap_or("").trim();
            if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(HttpError::Framing);
            }
            let size = usize::from_str_radix(digits, 16).map_err(|_| HttpError::BodyTooLarge)?;
            if size > self.body_limit - self.body.len().min(self.body_limit) {
                return Err(HttpError::BodyTooLarge);
            }
            if size == 0 {
                self.in_trailer = true;
                self.consume(line_end + 2);
                continue;
            }
            let (from, to) = (line_end + 2, line_end + 2 + size);
            if self.unread().len() < to + 2 {
                return Ok(false);
            }
            if &self.unread()[to..to + 2] != b"\r\n" {
                return Err(HttpError::Framing);
            }
            self.body.extend_from_slice(&self.buffer[self.consumed_len..][from..to]);
            self.consume(to + 2);
        }
    }
}

fn split_head(bytes: &[u8], strict: bool) -> Result<RawHead<'_>, HttpError> {
    let mut rest = Some(bytes);
    let mut next_line = || {
        let remaining = rest?;
        let end = remaining.windows(2).position(|w| w == b"\r\n");
        rest = end.map(|at| &remaining[at + 2..]);
        Some(&remaining[..end.unwrap_or(remaining.len())])
    };
    let first = next_line().and_then(|l| std::str::from_utf8(l).ok()).ok_or(HttpError::StartLine)?;
    let mut parts = first.splitn(3, ' ');
    let mut next_part = || parts.next().unwrap_or("");
    let start_line = [next_part(), next_part(), next_part()];
    let mut fields = Vec::new();
    while let Some(line) = next_line() {
        let colon = line.iter().position(|b| *b == b':').ok_or(HttpError::HeaderField)?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        let is_token = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
        let name =
            std::str::from_utf8(name).ok().filter(|n| !n.is_empty() && n.as_bytes().iter().all(is_token));
        let name = name.ok_or(HttpError::HeaderField)?;
        if fields.len() == FIELD_LIMIT {
            return Err(HttpError::HeadTooLarge);
        }
        let is_readable = !value.iter().any(|b| *b < b' ' && *b != b'\t' || *b == 0x7f);
        match std::str::from_utf8(value) {
            Ok(value) if is_readable => fields.push((name, value.trim_matches([' ', '\t']))),
            // A good response must not be lost because of an unreadable report, but its end must be certain.
            _ if !strict && !FRAMING_FIELDS.iter().any(|f| name.eq_ignore_ascii_case(f)) => {}
            _ => return Err(HttpError::HeaderField),
        }
    }
    Ok(RawHead { start_line, fields })
}

/// Fields that define where a message and its connection end.
const FRAMING_FIELDS: [&str; 3] = ["content-length", "transfer-encoding", "connection"];

/// Encodes a message into one buffer, to be written at once.
pub struct Encoder {
    bytes: Vec<u8>,
}

impl Encoder {
    /// Starts a message with its start line.
    pub fn new(start_line: std::fmt::Arguments) -> Self {
        Self { bytes: format!("{start_line}\r\n").into_bytes() }
    }

    /// Adds a header field.
    pub fn field(mut self, name: &str, value: std::fmt::Arguments) -> Self {
        self.bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        self
    }

    /// Ends the head and appends the body.
    pub fn body(mut self, body: &[u8]) -> Vec<u8> {
        self.bytes.extend_from_slice(b"\r\n");
        self.bytes.extend_from_slice(body);
        self.bytes
    }
}
