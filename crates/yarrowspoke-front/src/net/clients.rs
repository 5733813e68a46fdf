//! Client connections: reading requests and writing final answers.

use super::http::{Decoder, Encoder, BODY_LIMIT};
use super::request_head::{ClientRequest, RequestHead};
use super::turn::Turn;
use super::{micros_to_duration, read_some, with_deadline, with_timeout};
use crate::descriptor_budget::{BodyReservation, CountGuard, DescriptorBudget, UNRESERVED_BODY_BYTES};
use crate::event_bus::EventBus;
use crate::exchange::{Answer, Exchange};
use crate::input::Input;
use crate::ledger_writer::LedgerDecision;
use crate::shutdown::STOP_GRACE;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use yarrowspoke::interface::Micros;

/// Longest time from a request's first byte, or from the opening of the connection, to its last byte. The operators
/// guarantee a close or an error within 3 s to clients that send anything else.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long after that time a request is still read whose bytes are there, as after a pause of the process.
const LATE_READ_TIME: Duration = Duration::from_millis(1_000);
/// Longest idle time between two requests. Some clients send one request and then keep their connection for good.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for writing an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a closing connection is still read, so that a reset does not discard the last answer: longest time
/// without data, and in total.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest time of it, which suffices for the answer to arrive.
const MIN_LINGER_TIME: Duration = Duration::from_millis(300);
/// Bytes of a closing connection that are read at full speed, bytes between two pauses from then on, and the pause.
const LINGER_UNPACED_BYTES: usize = 128 * 1024;
const LINGER_CHUNK_BYTES: usize = 64 * 1024;
const LINGER_PAUSE: Duration = Duration::from_millis(2);
/// Shortest time without data after which a new connection may be closed while descriptors run low.
const MIN_SILENT_TIME: Duration = Duration::from_millis(300);
/// Shortest time without data, and shortest time since a request has begun, after which a connection with half a request may
/// be closed while others can't connect.
const MIN_STALL_TIME: Duration = Duration::from_millis(300);
const MIN_HALF_READ_TIME: Duration = Duration::from_millis(500);
/// Shortest idle time after which a connection may be closed to free its descriptor.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// Pause before the next request of a client that has repeated an id. Some clients resend as soon as they are
/// rejected, and would saturate the processor.
const DUPLICATE_ID_DELAY: Duration = Duration::from_millis(10);

/// Encodes a final answer.
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
    encode_with_body(head, body, keep)
}

fn encode_status(status: u16, keep: bool) -> Vec<u8> {
    let text = match status {
        200 => "OK",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        414 => "URI Too Long",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        // A readiness check or a request that was not read is not a call, so no retry time is promised.
        503 => "Service Unavailable",
        _ => "Bad Request",
    };
    encode_with_body(Encoder::new(format_args!("HTTP/1.1 {status} {text}")), text.as_bytes(), keep)
}

fn encode_with_body(head: Encoder, body: &[u8], keep: bool) -> Vec<u8> {
    with_framing(head, body.len(), keep).body(body)
}

fn with_framing(head: Encoder, body_len: usize, keep: bool) -> Encoder {
    let head = head.field("Content-Length", format_args!("{body_len}"));
    if keep {
        head
    } else {
        head.field("Connection", format_args!("close"))
    }
}

/// Encodes the head of an answer whose body is written separately.
fn head_for_body(status: &str, body_len: usize, keep: bool) -> Vec<u8> {
    with_framing(Encoder::new(format_args!("HTTP/1.1 {status}")), body_len, keep).body(&[])
}

struct Connection {
    stream: Async<TcpStream>,
    decoder: Decoder<RequestHead>,
    turn: Turn,
    /// Memory reserved for the body that is being read.
    body_reservation: Option<BodyReservation>,
}

impl Connection {
    async fn read(&mut self) -> std::io::Result<usize> {
        let decoder = &mut self.decoder;
        let count = read_some(&mut self.stream, |bytes| decoder.feed(bytes)).await?;
        self.turn.record_bytes(count);
        Ok(count)
    }

    async fn write(&mut self, bytes: &[u8]) -> bool {
        matches!(with_timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await, Some(Ok(())))
    }

    /// Writes a final answer. The body of a large one is not copied behind its head.
    async fn write_answer(&mut self, answer: &Answer, keep: bool) -> bool {
        let Answer::Served(body) = answer else { return self.write(&encode(answer, keep)).await };
        if body.len() <= UNRESERVED_BODY_BYTES {
            return self.write(&encode(answer, keep)).await;
        }
        let head = head_for_body("200 OK", body.len(), keep);
        let writing = async {
            self.stream.write_all(&head).await?;
            self.stream.write_all(body).await
        };
        matches!(with_timeout(WRITE_TIMEOUT, writing).await, Some(Ok(())))
    }

    /// Closes the connection so that an answer sent in the middle of a request still arrives. Closing with unread
    /// data resets the connection, and an error in transit to a client that is still sending would be lost; but a
    /// client that sends without end must not use up the processor or hold a descriptor for long, and while descriptors
    /// run low it gets only the time to read its answer.
    async fn close_lingering(self, descriptors: &DescriptorBudget) {
        // What was received is not needed any more, and many connections may close at the same time.
        let Self { mut stream, .. } = self;
        if stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            let (mut bytes_read, mut unpaced_bytes) = (0, LINGER_UNPACED_BYTES);
            while let Some(Ok(n @ 1..)) =
                with_timeout(LINGER_IDLE_TIMEOUT, read_some(&mut stream, |_| ())).await
            {
                bytes_read += n;
                if bytes_read >= unpaced_bytes {
                    (bytes_read, unpaced_bytes) = (0, LINGER_CHUNK_BYTES);
                    Timer::after(LINGER_PAUSE).await;
                }
            }
        };
        let close_requested = async {
            Timer::after(MIN_LINGER_TIME).await;
            descriptors.prompt_close_requested().await;
        };
        with_timeout(LINGER_TIMEOUT, future::or(drained, close_requested)).await;
    }
}

enum NextRequest {
    Message(Box<RequestHead>, Vec<u8>),
    Malformed(u16),
    /// A request that stops half way gives its connection's place to a client that can't connect.
    GivesWay,
    Closed,
}

/// How the wait for more of a request ended.
enum HalfRead {
    More(std::io::Result<usize>),
    CloseRequested,
}

/// Serves one connection. `waited` is how long the connection may have waited to be accepted, and thus how long its
/// first request may have waited unread. If the deadline were counted from reading alone, the request would be
/// answered after its client has left.
pub async fn serve_connection(stream: Async<TcpStream>, event_bus: Rc<EventBus>, waited: Micros) {
    let _ = stream.get_ref().set_nodelay(true);
    let decoder = Decoder::with_context(BODY_LIMIT, Rc::clone(&event_bus.classifier));
    let mut connection = Connection { stream, decoder, turn: Turn::default(), body_reservation: None };
    let mut served = 0u64;
    loop {
        let (head, body) = match next_request(&mut connection, &event_bus, served == 0).await {
            NextRequest::Message(head, body) => (head, body),
            NextRequest::Malformed(status) => return reject_and_close(connection, &event_bus, status).await,
            NextRequest::GivesWay => return give_way(connection, &event_bus).await,
            NextRequest::Closed => return,
        };
        served += 1;
        let keep_alive = head.keep_alive;
        let request = match head.into_request(
            body,
            &event_bus.names,
            &event_bus.classes,
            &event_bus.classifier,
            event_bus.clock.now(),
        ) {
            // A client that sends more before the answer did not mean what was read, and bytes behind a wrong length
            // may be another client's request.
            ClientRequest::Call(_) if connection.decoder.has_unread_message() => {
                return reject_and_close(connection, &event_bus, 400).await
            }
            request => request,
        };
        let written = match request {
            ClientRequest::ReadinessCheck => {
                let ready = event_bus.ready.get()
                    && !event_bus.is_stopping()
                    && !event_bus.ledger_writer.is_down()
                    && event_bus.accepts_requests();
                connection.write(&encode_status(if ready { 200 } else { 503 }, keep_alive)).await
                    && keep_alive
            }
            ClientRequest::Invalid(status) => {
                event_bus.count_malformed();
                connection.write(&encode_status(status, keep_alive)).await && keep_alive
            }
            // This front is quarantined or has no valid list: the call is refused at once, before any memory or
            // record is taken for it.
            ClientRequest::Call(_) if !event_bus.accepts_requests() => {
                connection.body_reservation = None;
                let retry_after = event_bus.member.as_ref().map_or(0, |m| m.retry_after());
                connection.write(&encode(&Answer::Refused(retry_after), keep_alive)).await && keep_alive
            }
            ClientRequest::Call(call) => {
                // Two answers to one id would be mistaken for each other, and a side effect might happen twice.
                let record_key = event_bus.ledger_writer.record_key(&call);
                let Some(mut open_id) = event_bus.call_ids.open(&call.call_id, record_key.map(|key| key.id))
                else {
                    event_bus.count_malformed();
                    if !connection.write(&encode_status(409, keep_alive)).await || !keep_alive {
                        return;
                    }
                    Timer::after(DUPLICATE_ID_DELAY).await;
                    continue;
                };
                if event_bus.is_repeatable(&call) {
                    open_id.set_repeatable();
                }
                let received_at = event_bus.clock.now();
                let decision = match record_key {
                    Some(key) => Some(event_bus.ledger_writer.record_intent(key).await),
                    None => None,
                };
                let recorded_answer = match &decision {
                    Some(LedgerDecision::Answered(answer)) => Some(encode(answer, keep_alive)),
                    Some(LedgerDecision::AlreadyDone | LedgerDecision::InProgress) => {
                        Some(encode_status(409, keep_alive))
                    }
                    Some(LedgerDecision::OtherContent) => {
                        event_bus.count_malformed();
                        Some(encode_status(422, keep_alive))
                    }
                    Some(LedgerDecision::Admitted(_)) | None => None,
                };
                if let Some(bytes) = recorded_answer {
                    open_id.set_unsent();
                    connection.body_reservation = None;
                    if !connection.write(&bytes).await || !keep_alive {
                        return;
                    }
                    continue;
                }
                let recorded =
                    if let Some(LedgerDecision::Admitted(key)) = decision { Some(key) } else { None };
                let waited_before =
                    (if served == 1 { waited } else { 0 }) + (event_bus.clock.now() - received_at);
                let exchange = event_bus.open_exchange(*call, waited_before);
                let _ = event_bus.inputs.send(Input::Arrived(Rc::clone(&exchange))).await;
                let wait_result = wait_for_answer(&mut connection, &exchange, &event_bus).await;
                if !exchange.was_attempted() {
                    open_id.set_unsent();
                }
                if let Some(key) = recorded {
                    let answer =
                        if let WaitResult::Answer(answer) = &wait_result { Some(answer) } else { None };
                    let time_left = exchange.deadline().saturating_sub(event_bus.clock.now());
                    event_bus.ledger_writer.record_outcome(key, answer, time_left).await;
                }
                let answer = match wait_result {
                    WaitResult::Answer(answer) => answer,
                    WaitResult::ClientLeft => return,
                    WaitResult::UnexpectedData => return reject_and_close(connection, &event_bus, 400).await,
                };
                connection.body_reservation = None;
                let keep = keep_alive && !event_bus.is_stopping();
                let is_written = connection.write_answer(&answer, keep).await;
                exchange.release_memory();
                is_written && keep
            }
        };
        if !written {
            return;
        }
        // Requests that wait behind one another, such as readiness checks, are answered in turn with all others.
        future::yield_now().await;
    }
}

/// Answers an unreadable request with an error and closes the connection.
async fn reject_and_close(mut connection: Connection, event_bus: &EventBus, status: u16) {
    event_bus.count_malformed();
    connection.body_reservation = None;
    if connection.write(&encode_status(status, false)).await {
        connection.close_lingering(&event_bus.descriptors).await;
    }
}

/// Tells a client whose request stops half way, and closes its connection without waiting for anything: its place is needed.
async fn give_way(mut connection: Connection, event_bus: &EventBus) {
    event_bus.count_half_read_close();
    let _ = future::poll_once(connection.write(&encode_status(408, false))).await;
}

/// Reads more of a request that has begun at `begun_at`, unless the connection is to be closed for others before.
async fn read_more(connection: &mut Connection, event_bus: &EventBus, begun_at: Instant) -> HalfRead {
    let closable_at = (Instant::now() + MIN_STALL_TIME).min(begun_at + MIN_HALF_READ_TIME);
    let close_requested = async {
        Timer::at(closable_at).await;
        event_bus.descriptors.half_read_close_requested().await;
        HalfRead::CloseRequested
    };
    future::or(async { HalfRead::More(connection.read().await) }, close_requested).await
}

/// Reads the next whole request. A stop closes the connection between requests; a request that has begun is read to
/// its end.
async fn next_request(connection: &mut Connection, event_bus: &EventBus, is_new: bool) -> NextRequest {
    let started_at = Instant::now();
    // The request timeout runs from the opening of a new connection, or from the first byte on a kept one.
    let mut deadline = is_new.then(|| started_at + REQUEST_TIMEOUT);
    loop {
        match connection.decoder.next_message() {
            Ok(Some((head, body))) => return NextRequest::Message(Box::new(head), body),
            Ok(None) => {}
            Err(e) => {
                log::debug!("client: {e}");
                return NextRequest::Malformed(e.status());
            }
        }
        connection.turn.yield_if_used().await;
        let idle = connection.decoder.is_idle();
        let body_len = connection.decoder.expected_body_len();
        if body_len > UNRESERVED_BODY_BYTES && connection.body_reservation.is_none() {
            connection.body_reservation = event_bus.body_memory.reserve(body_len);
            if connection.body_reservation.is_none() {
                event_bus.count_body_without_memory();
                return NextRequest::Malformed(503);
            }
        }
        connection.decoder.reserve_body();
        if connection.decoder.take_continue_request(|h| h.expects_continue)
            && !connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
        {
            return NextRequest::Closed;
        }
        let stop = async {
            event_bus.stop_begun().await;
            if is_new {
                Timer::after(micros_to_duration(STOP_GRACE)).await;
            }
            None
        };
        let close_requested = async {
            // A request in transit would find its connection closed, and clients that must reconnect for each
            // request would use up all descriptors with connections that have yet to send one. So only connections
            // that have been silent for a while even in a busy period are closed.
            Timer::after(if is_new { MIN_SILENT_TIME } else { MIN_IDLE_TIME }).await;
            event_bus.descriptors.idle_close_requested(is_new).await;
            None
        };
        // Data that has arrived takes precedence over a stop and over a request to close: a request that is already
        // there is served.
        let read = if idle {
            let _counted = CountGuard::new(&event_bus.idle_clients[usize::from(!is_new)]);
            let waiting_since = event_bus.clock.now();
            let until = deadline.unwrap_or(started_at + IDLE_TIMEOUT);
            let timeout = async {
                Timer::at(until).await;
                None
            };
            let others = future::or(timeout, future::or(stop, close_requested));
            let read = future::or(async { Some(connection.read().await) }, others).await;
            if is_new {
                event_bus
                    .max_first_byte_wait
                    .set(event_bus.max_first_byte_wait.get().max(event_bus.clock.now() - waiting_since));
            }
            read
        } else {
            let until = deadline.unwrap_or_else(|| Instant::now() + REQUEST_TIMEOUT);
            // A sender that is never waited for meets the time limit all the same.
            if Instant::now() >= until + LATE_READ_TIME {
                return NextRequest::Malformed(408);
            }
            match with_deadline(until, read_more(connection, event_bus, until - REQUEST_TIMEOUT)).await {
                Some(HalfRead::More(read)) => Some(read),
                Some(HalfRead::CloseRequested) => return NextRequest::GivesWay,
                None => return NextRequest::Malformed(408),
            }
        };
        match read {
            Some(Ok(n)) if n > 0 => deadline = deadline.or_else(|| Some(Instant::now() + REQUEST_TIMEOUT)),
            _ => return NextRequest::Closed,
        }
    }
}

/// How the wait for a final answer ended.
enum WaitResult {
    Answer(Answer),
    ClientLeft,
    /// The client sent more data, which no client does that waits for an answer.
    UnexpectedData,
}

/// Waits for the final answer, unless the client closes its connection or sends more data before.
async fn wait_for_answer(
    connection: &mut Connection,
    exchange: &Rc<Exchange>,
    event_bus: &EventBus,
) -> WaitResult {
    let answered = async { WaitResult::Answer(exchange.wait_for_answer().await) };
    let left = async {
        loop {
            match connection.read().await {
                Ok(n) if n > 0 && connection.decoder.has_unread_message() => {
                    return WaitResult::UnexpectedData
                }
                Ok(n) if n > 0 && connection.decoder.skip_blank_lines().is_ok() => {}
                Ok(n) if n > 0 => return WaitResult::UnexpectedData,
                _ => return WaitResult::ClientLeft,
            }
        }
    };
    let result = future::or(answered, left).await;
    if !matches!(result, WaitResult::Answer(_)) && exchange.abandon() {
        let _ = event_bus.inputs.send(Input::ClientLeft(exchange.id)).await;
    }
    result
}
