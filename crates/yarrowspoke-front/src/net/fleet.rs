//! Links of the fleet: messages between fronts and planners as bodies of HTTP/1.1, by the reader and writer that are there.

use super::http::{Decoder, Encoder, Framing, FromHead, HttpError, RawHead};
use super::list::ResponseHead;
use super::{read_some, with_timeout};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt, StreamExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use yarrowspoke_fleet::wire::BODY_LIMIT;

/// Most connections that a planner holds; a fleet has a few hundred members.
const CONNECTIONS: usize = 2_048;
/// How long a connection may stand idle, and how long a message may take to come or go.
const IDLE_WITHIN: Duration = Duration::from_secs(60);
const MESSAGE_WITHIN: Duration = Duration::from_secs(5);
/// Pause after accepting has failed, or while all connections are taken.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// Most bytes of an answer, an audit of weeks among them.
const ANSWER_LIMIT: usize = 256 * 1024 * 1024;

/// Why a link gave nothing.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// What came is no HTTP.
    #[error("answer: {0}")]
    Http(#[from] HttpError),
    /// The connection ended before the answer.
    #[error("connection ended without an answer")]
    Closed,
    /// It was refused.
    #[error("status {0}: {1}")]
    Status(u16, String),
}

/// Sends one message on a kept connection or a new one; the answer's body.
pub async fn send_message(
    line: &mut Option<Async<TcpStream>>,
    address: SocketAddr,
    (method, target): (&str, &str),
    body: &[u8],
) -> Result<Vec<u8>, LinkError> {
    // Messages are numbered: one that comes twice is taken once, so a kept connection that was closed is no matter.
    let mut stream = match line.take() {
        Some(kept) => kept,
        None => Async::<TcpStream>::connect(address).await?,
    };
    stream.get_ref().set_nodelay(true)?;
    let request = Encoder::new(format_args!("{method} {target} HTTP/1.1"))
        .field("Host", format_args!("{address}"))
        .field("Content-Length", format_args!("{}", body.len()))
        .body(body);
    stream.write_all(&request).await?;
    let mut decoder = Decoder::<ResponseHead>::new(ANSWER_LIMIT);
    loop {
        let n = read_some(&mut stream, |bytes| decoder.feed(bytes)).await?;
        let message = if n == 0 { decoder.finish()? } else { decoder.next_message()? };
        match message {
            Some((head, body)) => {
                if n > 0 && head.keep && decoder.is_idle() {
                    *line = Some(stream);
                }
                return match head.status {
                    200 => Ok(body),
                    status => {
                        Err(LinkError::Status(status, String::from_utf8_lossy(&body).trim().to_owned()))
                    }
                };
            }
            None if n == 0 => return Err(LinkError::Closed),
            None => {}
        }
    }
}

/// What a planner was asked, decoded.
pub struct LinkHead {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    keep: bool,
}

impl FromHead for LinkHead {
    type Context = ();
    const STRICT: bool = true;

    fn default_framing(&self) -> Option<Framing> {
        Some(Framing::Length(0))
    }

    fn from_head(head: &RawHead, _: &()) -> Result<Self, HttpError> {
        let [method, target, version] = head.start_line;
        if !matches!(version, "HTTP/1.1" | "HTTP/1.0") || !target.starts_with('/') {
            return Err(HttpError::StartLine);
        }
        Ok(Self { method: method.to_owned(), target: target.to_owned(), keep: head.keeps_alive(version) })
    }
}

/// An answer of a planner.
pub struct LinkResponse {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl LinkResponse {
    /// A body that is right.
    pub fn ok(body: Vec<u8>) -> Self {
        Self { status: 200, body }
    }

    /// Why it is refused.
    pub fn error(status: u16, why: impl ToString) -> Self {
        Self { status, body: format!("{}\n", why.to_string()).into_bytes() }
    }

    fn encode(&self, keep: bool) -> Vec<u8> {
        let words = match self.status {
            200 => "OK",
            404 => "Not Found",
            _ => "Bad Request",
        };
        let head = Encoder::new(format_args!("HTTP/1.1 {} {words}", self.status))
            .field("Content-Length", format_args!("{}", self.body.len()));
        let head = if keep { head } else { head.field("Connection", format_args!("close")) };
        head.body(&self.body)
    }
}

/// What a planner answers to a message.
pub type LinkHandler = Rc<dyn Fn(&LinkHead, &[u8]) -> LinkResponse>;

/// Serves the links of a planner for ever. A message that can't be read or is refused ends nothing but itself.
pub async fn serve(listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>, answer: LinkHandler) {
    let held = Rc::new(Cell::new(0usize));
    let mut incoming = Box::pin(listener.incoming());
    loop {
        if held.get() >= CONNECTIONS {
            Timer::after(ACCEPT_AGAIN).await;
            continue;
        }
        match incoming.next().await {
            Some(Ok(stream)) => {
                held.set(held.get() + 1);
                let (held, answer) = (Rc::clone(&held), Rc::clone(&answer));
                let served = AssertUnwindSafe(async move {
                    let _ = converse(stream, &*answer).await;
                });
                let task = async move {
                    if served.catch_unwind().await.is_err() {
                        log::error!("a link ended by a panic");
                    }
                    held.set(held.get() - 1);
                };
                executor.spawn(task).detach();
            }
            Some(Err(e)) => {
                log::warn!("links: accept: {e}");
                Timer::after(ACCEPT_AGAIN).await;
            }
            None => return,
        }
    }
}

async fn converse(
    mut stream: Async<TcpStream>,
    answer: &dyn Fn(&LinkHead, &[u8]) -> LinkResponse,
) -> Result<(), LinkError> {
    stream.get_ref().set_nodelay(true)?;
    let mut decoder = Decoder::<LinkHead>::new(BODY_LIMIT);
    loop {
        let (head, body) = match decoder.next_message() {
            Ok(Some(message)) => message,
            Ok(None) => {
                let limit = if decoder.is_idle() { IDLE_WITHIN } else { MESSAGE_WITHIN };
                let read = with_timeout(limit, read_some(&mut stream, |bytes| decoder.feed(bytes))).await;
                match read {
                    Some(Ok(n)) if n > 0 => continue,
                    _ => return Ok(()),
                }
            }
            Err(e) => {
                let bytes = LinkResponse::error(e.status(), e).encode(false);
                with_timeout(MESSAGE_WITHIN, stream.write_all(&bytes)).await.unwrap_or(Ok(()))?;
                return Ok(());
            }
        };
        let bytes = answer(&head, &body).encode(head.keep);
        match with_timeout(MESSAGE_WITHIN, stream.write_all(&bytes)).await {
            Some(Ok(())) if head.keep => {}
            _ => return Ok(()),
        }
    }
}
