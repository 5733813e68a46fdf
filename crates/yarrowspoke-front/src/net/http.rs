//! HTTP/1.1, incremental and bounded: bytes go in as they come, whole messages come out.
//!
//! A message's head is decoded once, into the typed value of whoever reads it ([`FromHead`]).

use thiserror::Error;

/// Most bytes of a message's head.
pub const HEAD_LIMIT: usize = 8 * 1024;
/// Most bytes of a body, as the protocol says.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most header fields of a message.
pub const FIELD_LIMIT: usize = 64;
/// Most bytes of a line that states a chunk's size.
const CHUNK_LINE_LIMIT: usize = 256;
/// Most interim messages before a final one.
const INTERIM_LIMIT: u32 = 16;
/// Room that a decoder keeps between messages.
const KEPT_ROOM: usize = 1024;

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// The first line is not of HTTP/1.
    #[error("first line cannot be read")]
    StartLine,
    /// A header field is malformed, or two contradict each other.
    #[error("header field cannot be read")]
    HeaderField,
    /// A field that this message needs is missing or has no sense.
    #[error("{0} is missing or cannot be read")]
    InvalidValue(&'static str),
    /// The head is over its limit.
    #[error("head too large")]
    HeadTooLarge,
    /// The body is over its limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The body's framing cannot be followed.
    #[error("body framing cannot be read")]
    Framing,
    /// More interim messages than anybody needs.
    #[error("too many interim messages")]
    TooManyInterim,
    /// The connection ended inside the message.
    #[error("message cut short")]
    Truncated,
}

impl HttpError {
    /// The status with which a server says so.
    pub fn status(self) -> u16 {
        match self {
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            _ => 400,
        }
    }
}

/// A head taken apart, borrowed from the bytes that came.
pub struct RawHead<'a> {
    /// The three parts of the first line; the last may hold spaces or be empty.
    pub start_line: [&'a str; 3],
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> RawHead<'a> {
    /// The first field of this name, whatever its case.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1)
    }

    /// The only field of this name. Danger: of two, each reader may believe another.
    pub fn unique_field(&self, name: &'static str) -> Result<Option<&'a str>, HttpError> {
        self.unique_field_at_runtime(name).map_err(|_| HttpError::InvalidValue(name))
    }

    /// The same for a name that is known only while the program runs.
    pub fn unique_field_at_runtime(&self, name: &str) -> Result<Option<&'a str>, HttpError> {
        let mut named = self.fields.iter().filter(|f| f.0.eq_ignore_ascii_case(name));
        match (named.next(), named.next()) {
            (first, None) => Ok(first.map(|f| f.1)),
            _ => Err(HttpError::HeaderField),
        }
    }

    /// Whether a field that lists words holds this one.
    fn lists(&self, name: &str, word: &str) -> bool {
        let of_name = self.fields.iter().filter(|f| f.0.eq_ignore_ascii_case(name));
        of_name.flat_map(|f| f.1.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// Whether the sender keeps the connection after this message.
    pub fn keeps_alive(&self, version: &str) -> bool {
        match version {
            "HTTP/1.1" => !self.lists("connection", "close"),
            _ => self.lists("connection", "keep-alive"),
        }
    }

    /// The stated framing of the body, if any is stated.
    fn framing(&self) -> Result<Option<Framing>, HttpError> {
        let coded = self.unique_field("transfer-encoding").map_err(|_| HttpError::Framing)?;
        let mut lengths = self.fields.iter().filter(|f| f.0.eq_ignore_ascii_case("content-length"));
        let length = lengths.next().map(|f| f.1);
        // Danger: two readers that disagree on where a message ends take bytes of one for another.
        if lengths.any(|f| Some(f.1) != length) || coded.is_some() && length.is_some() {
            return Err(HttpError::Framing);
        }
        if let Some(coding) = coded {
            let chunked = coding.trim().eq_ignore_ascii_case("chunked");
            return if chunked { Ok(Some(Framing::Chunked)) } else { Err(HttpError::Framing) };
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
    /// After so many bytes.
    Length(usize),
    /// After the last chunk.
    Chunked,
    /// When the connection ends.
    UntilClose,
}

/// A typed value decoded from a head.
pub trait FromHead: Sized {
    /// What else the reader goes by.
    type Context;
    /// Decodes the head.
    fn from_head(head: &RawHead, context: &Self::Context) -> Result<Self, HttpError>;
    /// Whether a field whose value cannot be read spoils the head; else it counts as absent, unless the
    /// framing hangs on it.
    const STRICT: bool;
    /// How a body without stated framing ends; `None` if it must be stated.
    fn default_framing(&self) -> Option<Framing>;
    /// Whether the message is only an interim one, to be skipped.
    fn is_interim(&self) -> bool {
        false
    }
    /// Whether no body follows, whatever the fields say.
    fn has_no_body(&self) -> bool {
        false
    }
}

/// Turns bytes into messages.
pub struct Decoder<T: FromHead> {
    buffer: Vec<u8>,
    searched: usize,
    begun: Option<(T, Framing)>,
    body: Vec<u8>,
    trailer: bool,
    continued: bool,
    interims: u32,
    /// Bytes of lines between chunks and of the trailer.
    between: usize,
    body_limit: usize,
    context: T::Context,
}

impl<T: FromHead<Context = ()>> Decoder<T> {
    /// A decoder for bodies up to `body_limit`.
    pub fn new(body_limit: usize) -> Self {
        Self::with_context(body_limit, ())
    }
}

impl<T: FromHead> Decoder<T> {
    /// A decoder for bodies up to `body_limit`, whose heads are read by `context`.
    pub fn with_context(body_limit: usize, context: T::Context) -> Self {
        let (buffer, body) = (Vec::new(), Vec::new());
        let (begun, trailer, continued) = (None, false, false);
        let (searched, interims, between) = (0, 0, 0);
        Self { buffer, searched, begun, body, trailer, continued, interims, between, body_limit, context }
    }

    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// True between messages: nothing of the next one has come.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.begun.is_none()
    }

    /// True if bytes of a further message are there.
    pub fn has_unread_message(&self) -> bool {
        !self.buffer.iter().all(|b| matches!(b, b'\r' | b'\n'))
    }

    /// Most bytes that the body of the message begun may still bring.
    pub fn expected_body_len(&self) -> usize {
        match self.begun.as_ref().map(|b| b.1) {
            Some(Framing::Length(n)) => n,
            Some(_) => self.body_limit,
            None => 0,
        }
    }

    /// True if a head has come whose sender, by `asks`, waits for leave to send the body; asked once.
    pub fn take_continue_request(&mut self, asks: impl Fn(&T) -> bool) -> bool {
        let waits = self.begun.as_ref().is_some_and(|b| asks(&b.0)) && self.buffer.is_empty();
        waits && !std::mem::replace(&mut self.continued, true)
    }

    /// Forgets empty lines between messages.
    pub fn skip_blank_lines(&mut self) {
        if !self.has_unread_message() {
            self.consume(self.buffer.len());
        }
    }

    /// The next whole message, if it has come.
    pub fn next_message(&mut self) -> Result<Option<(T, Vec<u8>)>, HttpError> {
        loop {
            if self.begun.is_none() && !self.read_head()? {
                return Ok(None);
            }
            let Some((_, framing)) = &self.begun else { return Ok(None) };
            let whole = match *framing {
                Framing::Length(n) => self.read_length(n),
                Framing::Chunked => self.read_chunks()?,
                Framing::UntilClose => {
                    self.body.append(&mut self.buffer);
                    if self.body.len() > self.body_limit {
                        return Err(HttpError::BodyTooLarge);
                    }
                    false
                }
            };
            if !whole {
                return Ok(None);
            }
            let Some(message) = self.take() else { return Ok(None) };
            if !message.0.is_interim() {
                self.interims = 0;
                return Ok(Some(message));
            }
            // Danger: a sender of interim messages without end would hold its reader for ever.
            self.interims += 1;
            if self.interims > INTERIM_LIMIT {
                return Err(HttpError::TooManyInterim);
            }
        }
    }

    /// The message that the connection's end completes, if there is one.
    pub fn finish(&mut self) -> Result<Option<(T, Vec<u8>)>, HttpError> {
        match &self.begun {
            Some((_, Framing::UntilClose)) => Ok(self.take()),
            None if self.buffer.is_empty() => Ok(None),
            _ => Err(HttpError::Truncated),
        }
    }

    fn take(&mut self) -> Option<(T, Vec<u8>)> {
        (self.trailer, self.continued, self.between) = (false, false, 0);
        let body = std::mem::take(&mut self.body);
        self.begun.take().map(|(head, _)| (head, body))
    }

    fn consume(&mut self, n: usize) {
        self.buffer.drain(..n);
        self.searched = 0;
        if self.buffer.is_empty() {
            self.buffer.shrink_to(KEPT_ROOM);
        }
    }

    fn read_head(&mut self) -> Result<bool, HttpError> {
        // An empty line before a message is skipped, as the standard advises.
        while self.buffer.starts_with(b"\r\n") {
            self.consume(2);
        }
        // What was searched already holds no end; three of its bytes may begin one.
        let from = self.searched.saturating_sub(3);
        let found = self.buffer[from..].windows(4).position(|w| w == b"\r\n\r\n");
        let Some(end) = found.map(|at| from + at) else {
            self.searched = self.buffer.len();
            let over = self.buffer.len() > HEAD_LIMIT;
            return if over { Err(HttpError::HeadTooLarge) } else { Ok(false) };
        };
        if end > HEAD_LIMIT {
            return Err(HttpError::HeadTooLarge);
        }
        let raw = split_head(&self.buffer[..end], T::STRICT)?;
        let head = T::from_head(&raw, &self.context)?;
        let framing = match raw.framing()? {
            _ if head.has_no_body() => Framing::Length(0),
            Some(framing) => framing,
            None => head.default_framing().ok_or(HttpError::Framing)?,
        };
        if matches!(framing, Framing::Length(n) if n > self.body_limit) {
            return Err(HttpError::BodyTooLarge);
        }
        if let Framing::Length(n) = framing {
            self.buffer.reserve_exact((end + 4 + n).saturating_sub(self.buffer.len()));
        }
        self.begun = Some((head, framing));
        self.consume(end + 4);
        Ok(true)
    }

    fn read_length(&mut self, n: usize) -> bool {
        if self.buffer.len() < n {
            return false;
        }
        let rest = self.buffer.split_off(n);
        self.body = std::mem::replace(&mut self.buffer, rest);
        self.searched = 0;
        true
    }

    /// Takes whole chunks; true after the last one and its trailer.
    fn read_chunks(&mut self) -> Result<bool, HttpError> {
        loop {
            let line_end = self.buffer.windows(2).position(|w| w == b"\r\n");
            let Some(line_end) = line_end.filter(|at| *at <= CHUNK_LINE_LIMIT) else {
                let over = line_end.is_some() || self.buffer.len() > CHUNK_LINE_LIMIT + 1;
                return if over { Err(HttpError::Framing) } else { Ok(false) };
            };
            // Danger: lines between chunks, and a trailer, may go on without end.
            self.between += line_end + 2;
            if self.between > HEAD_LIMIT + self.body_limit {
                return Err(HttpError::Framing);
            }
            if self.trailer {
                self.consume(line_end + 2);
                if line_end == 0 {
                    return Ok(true);
                }
                continue;
            }
            let line = std::str::from_utf8(&self.buffer[..line_end]).map_err(|_| HttpError::Framing)?;
            let digits = line.split(';').next().unwrap_or("").trim();
            if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(HttpError::Framing);
            }
            let size = usize::from_str_radix(digits, 16).map_err(|_| HttpError::BodyTooLarge)?;
            if size > self.body_limit - self.body.len().min(self.body_limit) {
                return Err(HttpError::BodyTooLarge);
            }
            if size == 0 {
                self.trailer = true;
                self.consume(line_end + 2);
                continue;
            }
            let (from, to) = (line_end + 2, line_end + 2 + size);
            if self.buffer.len() < to + 2 {
                return Ok(false);
            }
            if &self.buffer[to..to + 2] != b"\r\n" {
                return Err(HttpError::Framing);
            }
            self.body.extend_from_slice(&self.buffer[from..to]);
            self.consume(to + 2);
        }
    }
}

fn split_head(bytes: &[u8], strict: bool) -> Result<RawHead<'_>, HttpError> {
    let mut rest = Some(bytes);
    let mut line = || {
        let all = rest?;
        let end = all.windows(2).position(|w| w == b"\r\n");
        rest = end.map(|at| &all[at + 2..]);
        Some(&all[..end.unwrap_or(all.len())])
    };
    let first = line().and_then(|l| std::str::from_utf8(l).ok()).ok_or(HttpError::StartLine)?;
    let mut parts = first.splitn(3, ' ');
    let mut part = || parts.next().unwrap_or("");
    let start_line = [part(), part(), part()];
    let mut fields = Vec::new();
    while let Some(line) = line() {
        let colon = line.iter().position(|b| *b == b':').ok_or(HttpError::HeaderField)?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        let token = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
        let name = std::str::from_utf8(name).ok().filter(|n| !n.is_empty() && n.as_bytes().iter().all(token));
        let name = name.ok_or(HttpError::HeaderField)?;
        if fields.len() == FIELD_LIMIT {
            return Err(HttpError::HeadTooLarge);
        }
        let legible = !value.iter().any(|b| *b < b' ' && *b != b'\t' || *b == 0x7f);
        match std::str::from_utf8(value) {
            Ok(value) if legible => fields.push((name, value.trim_matches([' ', '\t']))),
            // Danger: a good answer must not be lost to a report that cannot be read, but where it ends must be
            // beyond doubt.
            _ if !strict && !FRAMING_FIELDS.iter().any(|f| name.eq_ignore_ascii_case(f)) => {}
            _ => return Err(HttpError::HeaderField),
        }
    }
    Ok(RawHead { start_line, fields })
}

/// Fields that say where a message and its connection end.
const FRAMING_FIELDS: [&str; 3] = ["content-length", "transfer-encoding", "connection"];

/// Encodes messages, each into one buffer that is written at once.
pub struct Encoder {
    bytes: Vec<u8>,
}

impl Encoder {
    /// Begins a message with its first line.
    pub fn new(start: std::fmt::Arguments) -> Self {
        Self { bytes: format!("{start}\r\n").into_bytes() }
    }

    /// Adds a field.
    pub fn field(mut self, name: &str, value: std::fmt::Arguments) -> Self {
        self.bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        self
    }

    /// Ends the head and adds the body.
    pub fn body(mut self, body: &[u8]) -> Vec<u8> {
        self.bytes.extend_from_slice(b"\r\n");
        self.bytes.extend_from_slice(body);
        self.bytes
    }
}
