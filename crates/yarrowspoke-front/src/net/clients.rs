//! Clients: accepting, reading requests, writing final answers.

use super::http::{Decoder, Encoder, BODY_LIMIT};
use super::request_head::{ClientRequest, RequestHead};
use super::{read_some, with_timeout};
use crate::descriptor_budget::{BodyReservation, CountGuard};
use crate::event_bus::EventBus;
use crate::exchange::{Answer, Exchange};
use crate::input::Input;
use crate::ledger_writer::LedgerDecision;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};
use yarrowspoke::interface::Micros;

/// Longest time from a request's first byte, or from the connection's beginning, to its last byte. The operators
/// owe whoever sends something else a close or an error within 3 s.
const REQUEST_WITHIN: Duration = Duration::from_millis(2_000);
/// How long a connection may stand between two requests. Danger: some ask once and keep their connection for good.
const IDLE_WITHIN: Duration = Duration::from_secs(2);
/// Longest time that an answer may take to be written out.
const ANSWER_WITHIN: Duration = Duration::from_secs(3);
/// How long a connection that ends is still read, so that the last answer is not lost to a reset: while it still
/// brings something, and in all.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MOST: Duration = Duration::from_secs(5);
/// Bytes of such a connection that are read at full speed, those read at once from then on, and the pause between.
const LINGER_FREE: usize = 128 * 1024;
const LINGER_CHUNK: usize = 64 * 1024;
const LINGER_PACE: Duration = Duration::from_millis(2);
/// Body bytes that need no room in the store for bodies.
const SMALL_BODY: usize = 4 * 1024;
/// Pause after accepting has failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// How long a new connection may take to bring its request during a stop...
const FIRST_WITHIN: Duration = Duration::from_millis(700);
/// ...and while its place is wanted.
const SILENT_LEAST: Duration = Duration::from_millis(300);
/// Least time that a connection stands idle before it ends to make room.
const IDLE_LEAST: Duration = Duration::from_millis(100);
/// Time between two connections of a sort that are asked to yield, and between two looks whether any should.
const YIELD_PACE: Duration = Duration::from_millis(1);
const YIELD_LOOK: Duration = Duration::from_millis(20);
/// Longest time for which a pause in accepting goes without a look.
const PAUSE_LOOK: Duration = Duration::from_millis(5);
/// Pause before the next request of one who has repeated an id. Danger: some send the same again as soon as it is
/// turned away, and would fill the processor.
const AGAIN_PACE: Duration = Duration::from_millis(10);

/// Where clients come in.
pub struct ClientListener {
    listener: Async<TcpListener>,
    hub: Rc<EventBus>,
    executor: Rc<LocalExecutor<'static>>,
    /// Since when connections may have waited to be accepted; `None` once all that waited were.
    paused: Cell<Option<Micros>>,
}

impl ClientListener {
    /// Clients come in by `listener`.
    pub fn new(
        listener: Async<TcpListener>,
        hub: Rc<EventBus>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self { listener, hub, executor, paused: Cell::default() }
    }

    /// Accepts clients until the program ends.
    pub async fn serve(self: Rc<Self>) {
        loop {
            // At the limit accepting pauses until a place is given back; it does not spin.
            if !self.hub.descriptors.can_accept_client() {
                self.pause();
                with_timeout(PAUSE_LOOK, self.hub.descriptors.wait_for_release()).await;
                continue;
            }
            let next = match future::poll_once(self.listener.accept()).await {
                Some(next) => next,
                None => {
                    self.paused.set(None);
                    self.listener.accept().await
                }
            };
            match next {
                Ok((stream, _)) => self.take(stream),
                Err(e) => {
                    log::warn!("accept: {e}");
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// Accepts all who wait, as far as there is room; true if anybody did, or may still.
    pub fn accept_waiting(&self) -> bool {
        let mut any = false;
        while self.hub.descriptors.can_accept_client() {
            match self.listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) {
                Ok(stream) => {
                    self.take(stream);
                    any = true;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return any,
                // One that ended while it waited; there may be others behind it.
                Err(_) => return true,
            }
        }
        self.pause();
        true
    }

    fn pause(&self) {
        self.paused.set(self.paused.get().or_else(|| Some(self.hub.clock.now())));
    }

    fn take(&self, stream: Async<TcpStream>) {
        let place = self.hub.descriptors.take_for_client();
        let waited = self.paused.get().map_or(0, |since| self.hub.clock.now() - since);
        let served = AssertUnwindSafe(converse(stream, Rc::clone(&self.hub), waited));
        let served = async move {
            // A defect met by one connection ends that connection only.
            if served.catch_unwind().await.is_err() {
                log::error!("client connection ended by a panic");
            }
            drop(place);
        };
        self.executor.spawn(served).detach();
    }
}

/// Makes room while clients hold too many connections. Danger: clients keep the connections of a busy moment, and
/// may hold only so many: once idle ones are all of these, nobody connects any more, so waiting for the next to
/// connect would be waiting for ever. And a client whose connection yielded connects anew, which asks for the next
/// to yield: paced, this stays a small part of the connections and cannot feed itself.
pub async fn close_idle_when_low(hub: Rc<EventBus>) {
    loop {
        if hub.descriptors.is_running_low() {
            hub.descriptors.request_idle_close();
            Timer::after(YIELD_PACE).await;
        } else {
            hub.descriptors.clear_close_requests();
            Timer::after(YIELD_LOOK).await;
        }
    }
}

/// The bytes of a final answer.
pub fn encode(answer: &Answer, keep: bool) -> Vec<u8> {
    let (status, body): (_, &[u8]) = match answer {
        Answer::Served(body) => ("200 OK", body),
        Answer::Refused(_) => ("503 Service Unavailable", b"refused\n"),
        Answer::Failed => ("502 Bad Gateway", b"failed\n"),
    };
    let mut head = Encoder::new(format_args!("HTTP/1.1 {status}"));
    if let Answer::Refused(after) = answer {
        if *after > 0 {
            head = head.field("Retry-After", format_args!("{:.3}", *after as f64 / 1e6));
        }
    }
    finish(head, body, keep)
}

fn plain(status: u16, keep: bool) -> Vec<u8> {
    let text = match status {
        200 => "OK",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        414 => "URI Too Long",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        // What has not been read needs no promise, and this one gives none: it is no call.
        503 => "Service Unavailable",
        _ => "Bad Request",
    };
    finish(Encoder::new(format_args!("HTTP/1.1 {status} {text}")), text.as_bytes(), keep)
}

fn finish(head: Encoder, body: &[u8], keep: bool) -> Vec<u8> {
    let head = head.field("Content-Length", format_args!("{}", body.len()));
    let head = if keep { head } else { head.field("Connection", format_args!("close")) };
    head.body(body)
}

struct Line {
    stream: Async<TcpStream>,
    decoder: Decoder<RequestHead>,
    /// Room taken in the store for bodies.
    room: Option<BodyReservation>,
}

impl Line {
    async fn read(&mut self) -> std::io::Result<usize> {
        let decoder = &mut self.decoder;
        read_some(&mut self.stream, |bytes| decoder.feed(bytes)).await
    }

    async fn write(&mut self, bytes: &[u8]) -> bool {
        matches!(with_timeout(ANSWER_WITHIN, self.stream.write_all(bytes)).await, Some(Ok(())))
    }

    /// Ends the connection so that an answer given in the midst of a request still arrives. Danger: what is left
    /// unread resets the connection, and an error on its way to a client that still sends is lost with it; but
    /// one that sends without end must not take the processor, nor a place for long.
    async fn end_midway(mut self) {
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            let mut taken = 0;
            while taken < LINGER_FREE {
                match with_timeout(LINGER, read_some(&mut self.stream, |_| ())).await {
                    Some(Ok(n)) if n > 0 => taken += n,
                    _ => return,
                }
            }
            let mut chunk = vec![0; LINGER_CHUNK];
            while matches!(with_timeout(LINGER, self.stream.read(&mut chunk)).await, Some(Ok(n)) if n > 0) {
                Timer::after(LINGER_PACE).await;
            }
        };
        with_timeout(LINGER_MOST, drained).await;
    }
}

enum Next {
    Message(Box<RequestHead>, Vec<u8>),
    Bad(u16),
    End,
}

/// Serves one connection. `waited` is how long it may have waited to be accepted: its first request aged so long
/// unread. Danger: counted from its reading alone, such a request is answered after its client has gone.
async fn converse(stream: Async<TcpStream>, hub: Rc<EventBus>, waited: Micros) {
    let _ = stream.get_ref().set_nodelay(true);
    let decoder = Decoder::with_context(BODY_LIMIT, Rc::clone(&hub.classifier));
    let mut line = Line { stream, decoder, room: None };
    let mut served = 0u64;
    loop {
        let (head, body) = match next(&mut line, &hub, served == 0).await {
            Next::Message(head, body) => (head, body),
            Next::Bad(status) => return refuse(line, &hub, status).await,
            Next::End => return,
        };
        served += 1;
        let keeps = head.keep;
        let asked = match head.into_request(body, &hub.names, &hub.classes, &hub.classifier, hub.clock.now())
        {
            // Danger: one who sends on before the answer did not mean what was read, and what hides behind a
            // wrong length may be another's request.
            ClientRequest::Call(_) if line.decoder.has_unread_message() => {
                return refuse(line, &hub, 400).await
            }
            asked => asked,
        };
        let written = match asked {
            ClientRequest::ReadinessCheck => {
                let ready = hub.ready.get()
                    && !hub.is_stopping()
                    && !hub.ledger_writer.is_down()
                    && hub.accepts_requests();
                line.write(&plain(if ready { 200 } else { 503 }, keeps)).await && keeps
            }
            ClientRequest::Invalid(status) => {
                hub.count_malformed();
                line.write(&plain(status, keeps)).await && keeps
            }
            // Shut out, or without ground to send anything on: answered at once, before anything is taken.
            ClientRequest::Call(_) if !hub.accepts_requests() => {
                line.room = None;
                let back = hub.member.as_ref().map_or(0, |m| m.retry_after());
                line.write(&encode(&Answer::Refused(back), keeps)).await && keeps
            }
            ClientRequest::Call(call) => {
                // Danger: two answers to one id are taken for each other, and an effect may happen twice.
                let guarded = hub.ledger_writer.requires_record(&call);
                let Some(_open) = hub.call_ids.open(&call.call_id, guarded) else {
                    hub.count_malformed();
                    if !line.write(&plain(409, keeps)).await || !keeps {
                        return;
                    }
                    Timer::after(AGAIN_PACE).await;
                    continue;
                };
                let came = hub.clock.now();
                let kept = if guarded { Some(hub.ledger_writer.record_intent(&call).await) } else { None };
                let answered = match &kept {
                    Some(LedgerDecision::Answered(answer)) => Some(encode(answer, keeps)),
                    Some(LedgerDecision::AlreadyDone | LedgerDecision::InProgress) => Some(plain(409, keeps)),
                    Some(LedgerDecision::Admitted(_)) | None => None,
                };
                if let Some(bytes) = answered {
                    line.room = None;
                    if !line.write(&bytes).await || !keeps {
                        return;
                    }
                    continue;
                }
                let record = if let Some(LedgerDecision::Admitted(id)) = kept { Some(id) } else { None };
                let aged = (if served == 1 { waited } else { 0 }) + (hub.clock.now() - came);
                let exchange = hub.open_exchange(*call, aged);
                let _ = hub.inputs.send(Input::Arrived(Rc::clone(&exchange))).await;
                let wait = answer_or_leave(&mut line, &exchange, &hub).await;
                if let Some(id) = record {
                    let answer = if let Wait::Answer(answer) = &wait { Some(answer) } else { None };
                    hub.ledger_writer.record_outcome(id, &exchange.call, answer).await;
                }
                let answer = match wait {
                    Wait::Answer(answer) => answer,
                    Wait::Left => return,
                    Wait::MoreCame => return refuse(line, &hub, 400).await,
                };
                line.room = None;
                let keep = keeps && !hub.is_stopping();
                line.write(&encode(&answer, keep)).await && keep
            }
        };
        if !written {
            return;
        }
    }
}

/// Answers what cannot be read with an error, and ends the connection.
async fn refuse(mut line: Line, hub: &EventBus, status: u16) {
    hub.count_malformed();
    line.room = None;
    if line.write(&plain(status, false)).await {
        line.end_midway().await;
    }
}

/// The next whole request. Between requests a stop ends the connection; inside one it is read to its end.
async fn next(line: &mut Line, hub: &EventBus, fresh: bool) -> Next {
    let begun = Instant::now();
    // A new connection owes its request from its beginning, a kept one from the request's first byte.
    let mut due = fresh.then(|| begun + REQUEST_WITHIN);
    loop {
        match line.decoder.next_message() {
            Ok(Some((head, body))) => return Next::Message(Box::new(head), body),
            Ok(None) => {}
            Err(e) => {
                log::debug!("client: {e}");
                return Next::Bad(e.status());
            }
        }
        let idle = line.decoder.is_idle();
        let needed = line.decoder.expected_body_len();
        if needed > SMALL_BODY && line.room.is_none() {
            line.room = hub.body_memory.reserve(needed);
            if line.room.is_none() {
                return Next::Bad(503);
            }
        }
        if line.decoder.take_continue_request(|h| h.continues)
            && !line.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
        {
            return Next::End;
        }
        let stopped = async {
            hub.stop_begun().await;
            if fresh {
                Timer::after(FIRST_WITHIN).await;
            }
            None
        };
        let yields = async {
            // Danger: a request on its way here finds its connection gone, and clients that must connect anew
            // for each request fill all places with connections still to bring one. So only those yield on
            // which nothing has come for a good while of a busy moment.
            Timer::after(if fresh { SILENT_LEAST } else { IDLE_LEAST }).await;
            hub.descriptors.idle_close_requested(fresh).await;
            None
        };
        // What has come wins over a stop and over others' needs: a request already there is served.
        let read = if idle {
            let _counted = CountGuard::new(&hub.idle_clients[usize::from(!fresh)]);
            let since = hub.clock.now();
            let until = due.unwrap_or(begun + IDLE_WITHIN);
            let ends = async {
                Timer::at(until).await;
                None
            };
            let others = future::or(ends, future::or(stopped, yields));
            let read = future::or(async { Some(line.read().await) }, others).await;
            if fresh {
                hub.max_first_byte_wait.set(hub.max_first_byte_wait.get().max(hub.clock.now() - since));
            }
            read
        } else {
            let left = due.map_or(REQUEST_WITHIN, |d| d.saturating_duration_since(Instant::now()));
            match with_timeout(left, line.read()).await {
                Some(read) => Some(read),
                None => return Next::Bad(408),
            }
        };
        match read {
            Some(Ok(n)) if n > 0 => due = due.or_else(|| Some(Instant::now() + REQUEST_WITHIN)),
            _ => return Next::End,
        }
    }
}

/// How the wait for a final answer ended.
enum Wait {
    Answer(Answer),
    Left,
    /// The client has sent on, which nobody does who waits for an answer.
    MoreCame,
}

/// The final answer, unless the client closes its connection or sends something else before.
async fn answer_or_leave(line: &mut Line, exchange: &Rc<Exchange>, hub: &EventBus) -> Wait {
    let answered = async { Wait::Answer(exchange.wait_for_answer().await) };
    let left = async {
        loop {
            match line.read().await {
                Ok(n) if n > 0 && line.decoder.has_unread_message() => return Wait::MoreCame,
                Ok(n) if n > 0 => line.decoder.skip_blank_lines(),
                _ => return Wait::Left,
            }
        }
    };
    let ended = future::or(answered, left).await;
    if !matches!(ended, Wait::Answer(_)) && exchange.abandon() {
        let _ = hub.inputs.send(Input::ClientLeft(exchange.id)).await;
    }
    ended
}
