//! Accepts client connections as far as descriptors allow.

use super::accept_queue::{AcceptQueue, BACKLOG};
use super::clients::serve_connection;
use super::with_timeout;
use crate::event_bus::EventBus;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

/// Pause after an accept has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest pause in accepting without a check.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two requests to close an idle connection, and between two checks whether descriptors run low.
const IDLE_CLOSE_INTERVAL: Duration = Duration::from_millis(1);
const IDLE_CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Listens for clients at `address`.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Accepts client connections.
pub struct ClientListener {
    listener: Async<TcpListener>,
    event_bus: Rc<EventBus>,
    executor: Rc<LocalExecutor<'static>>,
    queue: RefCell<AcceptQueue>,
}

impl ClientListener {
    /// Returns an acceptor for the clients of `listener`, which [`bind`] returned.
    pub fn new(
        listener: Async<TcpListener>,
        event_bus: Rc<EventBus>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self { listener, event_bus, executor, queue: RefCell::default() }
    }

    /// Accepts clients until the process ends.
    pub async fn serve(self: Rc<Self>) {
        loop {
            // At the limit, accepting pauses until a descriptor is released, without spinning.
            if !self.event_bus.descriptors.can_accept_client() {
                self.pause();
                if self.is_connection_waiting() {
                    self.event_bus.descriptors.request_half_read_close();
                }
                with_timeout(ACCEPT_CHECK_INTERVAL, self.event_bus.descriptors.wait_for_release()).await;
                continue;
            }
            self.event_bus.descriptors.clear_half_read_close();
            let accepted = match future::poll_once(self.listener.accept()).await {
                Some(accepted) => accepted,
                None => {
                    self.queue.borrow_mut().drained();
                    self.listener.accept().await
                }
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(e) => {
                    log::warn!("accept: {e}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts all waiting connections as far as the limit allows; returns whether any was accepted or may still be
    /// waiting.
    pub fn accept_waiting(&self) -> bool {
        let mut accepted_any = false;
        while self.event_bus.descriptors.can_accept_client() {
            match self.listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) {
                Ok(stream) => {
                    self.spawn_connection(stream);
                    accepted_any = true;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return accepted_any,
                // This connection ended while it waited; others may be queued behind it.
                Err(_) => return true,
            }
        }
        self.pause();
        true
    }

    /// Returns whether a connection is waiting to be accepted.
    fn is_connection_waiting(&self) -> bool {
        let mut listeners = [PollFd::new(&self.listener, PollFlags::IN)];
        poll(&mut listeners, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
    }

    fn pause(&self) {
        self.queue.borrow_mut().pause(self.event_bus.clock.now());
    }

    fn spawn_connection(&self, stream: Async<TcpStream>) {
        let descriptor = self.event_bus.descriptors.take_for_client();
        let waited = self.queue.borrow_mut().accept(self.event_bus.clock.now());
        let served = AssertUnwindSafe(serve_connection(stream, Rc::clone(&self.event_bus), waited));
        let served = async move {
            // A bug triggered by one connection ends only that connection.
            if served.catch_unwind().await.is_err() {
                log::error!("client connection ended by a panic");
            }
            drop(descriptor);
        };
        self.executor.spawn(served).detach();
    }
}

/// Closes idle connections while clients hold too many. Clients keep the connections of a busy period and may hold
/// only a limited number: once idle connections use up the limit, nobody can connect any more, so freeing one only
/// when the next client connects would wait forever. A client whose connection was closed reconnects, which causes
/// the next close: with a pause between closes, this affects only a small part of the connections and cannot sustain
/// itself.
pub async fn close_idle_when_low(event_bus: Rc<EventBus>) {
    loop {
        if event_bus.descriptors.is_running_low() {
            event_bus.descriptors.request_idle_close();
            Timer::after(IDLE_CLOSE_INTERVAL).await;
        } else {
            event_bus.descriptors.clear_close_requests();
            Timer::after(IDLE_CLOSE_CHECK_INTERVAL).await;
        }
    }
}
