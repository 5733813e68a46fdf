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

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// The first line is not of HTTP/1.
    #[error("first line cannot be read")]
    StartLine,
    /// A header field is malformed, or two contradict each other.
    #[error("header field cannot be read")]
    Field,
    /// A field that this message needs is missing or has no sense.
    #[error("{0} is missing or cannot be read")]
    Needs(&'static str),
    /// The head is over its limit.
    #[error("head too large")]
    HeadTooLarge,
    /// The body is over its limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The body's framing cannot be followed.
    #[error("body framing cannot be read")]
    Framing,
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
    pub start: [&'a str; 3],
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> RawHead<'a> {
    /// The first field of this name, whatever its case.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1)
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
        let coded = self.field("transfer-encoding");
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
    /// Decodes the head.
    fn from_head(head: &RawHead) -> Result<Self, HttpError>;
    /// How a body without stated framing ends.
    const UNSTATED: Framing;
    /// Whether the message is only an interim one, to be skipped.
    fn interim(&self) -> bool {
        false
    }
    /// Whether no body follows, whatever the fields say.
    fn bodiless(&self) -> bool {
        false
    }
}

/// Turns bytes into messages.
pub struct Decoder<T> {
    buffer: Vec<u8>,
    searched: usize,
    begun: Option<(T, Framing)>,
    body: Vec<u8>,
    trailer: bool,
    continued: bool,
    body_limit: usize,
}

impl<T: FromHead> Decoder<T> {
    /// A decoder for bodies up to `body_limit`.
    pub fn new(body_limit: usize) -> Self {
        let (buffer, body) = (Vec::new(), Vec::new());
        Self { buffer, searched: 0, begun: None, body, trailer: false, continued: false, body_limit }
    }

    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// True between messages: nothing of the next one has come.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.begun.is_none()
    }

    /// True if a head has come whose sender, by `asks`, waits for leave to send the body; asked once.
    pub fn waits_to_continue(&mut self, asks: impl Fn(&T) -> bool) -> bool {
        let waits = self.begun.as_ref().is_some_and(|b| asks(&b.0)) && self.buffer.is_empty();
        waits && !std::mem::replace(&mut self.continued, true)
    }

    /// True if so much is waiting unread that no more should be taken in.
    pub fn is_full(&self) -> bool {
        self.buffer.len() > HEAD_LIMIT + self.body_limit
    }

    /// The next whole message, if it has come.
    pub fn message(&mut self) -> Result<Option<(T, Vec<u8>)>, HttpError> {
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
            if !message.0.interim() {
                return Ok(Some(message));
            }
        }
    }

    /// The message that the connection's end completes, if there is one.
    pub fn end(&mut self) -> Result<Option<(T, Vec<u8>)>, HttpError> {
        match &self.begun {
            Some((_, Framing::UntilClose)) => Ok(self.take()),
            None if self.buffer.is_empty() => Ok(None),
            _ => Err(HttpError::Truncated),
        }
    }

    fn take(&mut self) -> Option<(T, Vec<u8>)> {
        (self.trailer, self.continued) = (false, false);
        let body = std::mem::take(&mut self.body);
        self.begun.take().map(|(head, _)| (head, body))
    }

    fn consume(&mut self, n: usize) {
        self.buffer.drain(..n);
        self.searched = 0;
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
        let raw = split_head(&self.buffer[..end])?;
        let head = T::from_head(&raw)?;
        let framing = match raw.framing()? {
            _ if head.bodiless() => Framing::Length(0),
            Some(framing) => framing,
            None => T::UNSTATED,
        };
        if matches!(framing, Framing::Length(n) if n > self.body_limit) {
            return Err(HttpError::BodyTooLarge);
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

fn split_head(bytes: &[u8]) -> Result<RawHead<'_>, HttpError> {
    let text = std::str::from_utf8(bytes).map_err(|_| HttpError::Field)?;
    let mut lines = text.split("\r\n");
    let mut parts = lines.next().unwrap_or("").splitn(3, ' ');
    let mut part = || parts.next().unwrap_or("");
    let start = [part(), part(), part()];
    let mut fields = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(HttpError::Field)?;
        let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
        if name.is_empty() || !name.bytes().all(token) || value.bytes().any(|b| b < b' ' && b != b'\t') {
            return Err(HttpError::Field);
        }
        if fields.len() == FIELD_LIMIT {
            return Err(HttpError::HeadTooLarge);
        }
        fields.push((name, value.trim_matches([' ', '\t'])));
    }
    Ok(RawHead { start, fields })
}

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
