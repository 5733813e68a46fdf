//! Links of the fleet: messages between fronts and planners, sent as HTTP/1.1 bodies with the codec of [`super::http`].

use super::http::{Decoder, Encoder, Framing, FromHead, HttpError, RawHead};
use super::list::ResponseHead;
use super::turn::Turn;
use super::{read_some, with_deadline, with_timeout};
use crate::descriptor_budget::{BodyMemory, BodyReservation, UNRESERVED_BODY_BYTES};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt, FutureExt, StreamExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use yarrowspoke_fleet::wire::BODY_LIMIT;

/// Most connections that a planner accepts; a fleet has a few hundred members.
const MAX_CONNECTIONS: usize = 2_048;
/// Memory for large messages that are being received: 64 of the largest ones, and members send most messages far smaller.
const MESSAGE_MEMORY_BYTES: usize = 64 * BODY_LIMIT;
/// Longest idle time of a connection, and longest time for receiving or sending a message.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before the next message on a link whose message was not taken for want of room: whoever sends the next one at once
/// would take all the room that others wait for.
const REJECTION_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause after an accept has failed, or while the connection limit is reached.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Largest response to an operator's command in bytes; an audit may cover weeks.
pub const COMMAND_RESPONSE_LIMIT: usize = 256 * 1024 * 1024;
/// Largest response between members of a fleet, in bytes.
pub const MEMBER_RESPONSE_LIMIT: usize = 4 * 1024 * 1024;

/// Why an exchange over a link failed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The response is not valid HTTP.
    #[error("response: {0}")]
    Http(#[from] HttpError),
    /// The connection closed before the response.
    #[error("connection closed before a response")]
    Closed,
    /// The message was rejected, with this status and reason.
    #[error("status {0}: {1}")]
    Status(u16, String),
}

/// Sends one message on a kept connection or a new one and returns the body of the response, of up to `response_limit`
/// bytes.
pub async fn send_message(
    connection: &mut Option<Async<TcpStream>>,
    address: SocketAddr,
    (method, target): (&str, &str),
    body: &[u8],
    response_limit: usize,
) -> Result<Vec<u8>, LinkError> {
    // Messages are numbered and a duplicate is applied once, so a kept connection that was closed can be replaced safely.
    let mut stream = match connection.take() {
        Some(kept) => kept,
        None => Async::<TcpStream>::connect(address).await?,
    };
    stream.get_ref().set_nodelay(true)?;
    let request = Encoder::new(format_args!("{method} {target} HTTP/1.1"))
        .field("Host", format_args!("{address}"))
        .field("Content-Length", format_args!("{}", body.len()))
        .body(body);
    stream.write_all(&request).await?;
    let mut decoder = Decoder::<ResponseHead>::new(response_limit);
    let mut turn = Turn::default();
    loop {
        turn.yield_if_used().await;
        let n = read_some(&mut stream, |bytes| decoder.feed(bytes)).await?;
        turn.record_bytes(n);
        let message = if n == 0 { decoder.finish()? } else { decoder.next_message()? };
        match message {
            Some((head, body)) => {
                if n > 0 && head.keep_alive && decoder.is_idle() {
                    *connection = Some(stream);
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

/// The decoded head of a message to a planner.
pub struct LinkHead {
    /// HTTP method.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    keep_alive: bool,
}

impl FromHead for LinkHead {
    type Context = ();
    const STRICT: bool = true;
    const RESERVES_BODY: bool = false;

    fn default_framing(&self) -> Option<Framing> {
        Some(Framing::Length(0))
    }

    fn from_head(head: &RawHead, _: &()) -> Result<Self, HttpError> {
        let [method, target, version] = head.start_line;
        if !matches!(version, "HTTP/1.1" | "HTTP/1.0") || !target.starts_with('/') {
            return Err(HttpError::StartLine);
        }
        Ok(Self {
            method: method.to_owned(),
            target: target.to_owned(),
            keep_alive: head.keeps_alive(version),
        })
    }
}

/// A planner's response.
pub struct LinkResponse {
    /// Status code.
    pub status: u16,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl LinkResponse {
    /// Returns a successful response with this body.
    pub fn ok(body: Vec<u8>) -> Self {
        Self { status: 200, body }
    }

    /// Returns an error response that states the reason.
    pub fn error(status: u16, reason: impl ToString) -> Self {
        Self { status, body: format!("{}\n", reason.to_string()).into_bytes() }
    }

    fn encode(&self, keep: bool) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            404 => "Not Found",
            503 => "Service Unavailable",
            _ => "Bad Request",
        };
        let head = Encoder::new(format_args!("HTTP/1.1 {} {reason}", self.status))
            .field("Content-Length", format_args!("{}", self.body.len()));
        let head = if keep { head } else { head.field("Connection", format_args!("close")) };
        head.body(&self.body)
    }
}

/// Handler that computes a planner's response to a message.
pub type LinkHandler = Rc<dyn Fn(&LinkHead, &[u8]) -> LinkResponse>;

/// Serves the links of a planner; returns only if the listener ends. A message that is unreadable or rejected affects no other message.
pub async fn serve(listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>, handler: LinkHandler) {
    let connection_count = Rc::new(Cell::new(0usize));
    let memory = Rc::new(BodyMemory::new(MESSAGE_MEMORY_BYTES));
    let mut incoming = Box::pin(listener.incoming());
    loop {
        if connection_count.get() >= MAX_CONNECTIONS {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        }
        match incoming.next().await {
            Some(Ok(stream)) => {
                connection_count.set(connection_count.get() + 1);
                let (connection_count, handler) = (Rc::clone(&connection_count), Rc::clone(&handler));
                let memory = Rc::clone(&memory);
                let served = AssertUnwindSafe(async move {
                    let _ = serve_connection(stream, &memory, &*handler).await;
                });
                let task = async move {
                    if served.catch_unwind().await.is_err() {
                        log::error!("link connection ended by a panic");
                    }
                    connection_count.set(connection_count.get() - 1);
                };
                executor.spawn(task).detach();
            }
            Some(Err(e)) => {
                log::warn!("links: accept: {e}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            None => return,
        }
    }
}

/// A link on which messages are received.
struct Link<'a> {
    stream: Async<TcpStream>,
    decoder: Decoder<LinkHead>,
    turn: Turn,
    memory: &'a BodyMemory,
    /// Memory reserved for the message that is being received.
    reservation: Option<BodyReservation>,
    /// When the message that is being received must be complete.
    deadline: Option<Instant>,
}

impl<'a> Link<'a> {
    fn new(stream: Async<TcpStream>, memory: &'a BodyMemory) -> Self {
        let decoder = Decoder::new(BODY_LIMIT);
        Self { stream, decoder, turn: Turn::default(), memory, reservation: None, deadline: None }
    }

    /// Receives the next message. Returns `None` at the end of the link, and when a message does not arrive in time.
    async fn next_message(&mut self) -> Result<Option<(LinkHead, Vec<u8>)>, HttpError> {
        loop {
            self.turn.yield_if_used().await;
            if let Some(message) = self.decoder.next_message()? {
                self.deadline = None;
                return Ok(Some(message));
            }
            if !self.reserve_memory().await || !self.read().await {
                return Ok(None);
            }
        }
    }

    /// Reserves memory for the message that is being received, if it is large; returns whether there was some in time.
    async fn reserve_memory(&mut self) -> bool {
        if self.reservation.is_none() && self.decoder.has_large_body(UNRESERVED_BODY_BYTES) {
            let reserving = self.memory.reserve_when_available(self.decoder.expected_body_len());
            self.reservation = with_deadline(self.deadline(), reserving).await;
            if self.reservation.is_none() {
                log::warn!("links: no memory for a message of a member; closing its connection");
                return false;
            }
        }
        self.decoder.reserve_body();
        true
    }

    /// Reads what arrives in time; returns false if nothing does.
    async fn read(&mut self) -> bool {
        let deadline = self.deadline();
        let decoder = &mut self.decoder;
        let reading = read_some(&mut self.stream, |bytes| decoder.feed(bytes));
        let Some(Ok(count @ 1..)) = with_deadline(deadline, reading).await else { return false };
        self.turn.record_bytes(count);
        self.deadline = self.deadline.or_else(|| Some(Instant::now() + MESSAGE_TIMEOUT));
        true
    }

    fn deadline(&self) -> Instant {
        self.deadline.unwrap_or_else(|| Instant::now() + IDLE_TIMEOUT)
    }

    /// Writes a response; returns whether it was taken in time.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        matches!(with_timeout(MESSAGE_TIMEOUT, self.stream.write_all(bytes)).await, Some(Ok(())))
    }
}

async fn serve_connection(
    stream: Async<TcpStream>,
    memory: &BodyMemory,
    handler: &dyn Fn(&LinkHead, &[u8]) -> LinkResponse,
) -> Result<(), LinkError> {
    stream.get_ref().set_nodelay(true)?;
    let mut link = Link::new(stream, memory);
    loop {
        let (head, body) = match link.next_message().await {
            Ok(Some(message)) => message,
            Ok(None) => return Ok(()),
            Err(e) => {
                link.write(&LinkResponse::error(e.status(), e).encode(false)).await;
                return Ok(());
            }
        };
        let response = handler(&head, &body);
        drop(body);
        link.reservation = None;
        if !link.write(&response.encode(head.keep_alive)).await || !head.keep_alive {
            return Ok(());
        }
        if response.status == 503 {
            Timer::after(REJECTION_PAUSE).await;
        }
        // Messages that wait behind one another are answered in turn with those of other members.
        future::yield_now().await;
    }
}
