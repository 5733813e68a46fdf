//! The event loop of the driver: waiting for inputs and timers, and catching up after the process stood still.

use super::Driver;
use crate::input::Input;
use crate::net::with_deadline;
use async_channel::Receiver;
use futures_lite::future;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use yarrowspoke::interface::{Event, ListUpdate, Micros};

/// Inputs handled before the loop yields to other tasks.
const INPUT_BATCH: usize = 64;
/// Gap between two turns of the loop, in microseconds, above which the list is not used until it is confirmed.
const PROCESS_PAUSE: Micros = 1_000_000;
/// Longest wait of the loop, so that a longer gap between two turns shows that the process stood still.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Gap between two turns of the loop, in microseconds, above which what waits in the sockets is read before anything is
/// decided.
const STALL: Micros = 150_000;
/// Time that the other tasks get after a stall to read what waits in their sockets.
const CATCH_UP_TIME: Duration = Duration::from_millis(5);

impl Driver {
    /// Runs the event loop; never returns.
    pub async fn run(mut self, inputs: Receiver<Input>) {
        self.last_turn_at = self.event_bus.clock.now();
        let mut batch = VecDeque::new();
        loop {
            if self.detect_process_pause() {
                self.catch_up(&inputs, &mut batch).await;
            }
            while let Some(input) = batch.pop_front() {
                self.handle_input(input);
                if self.detect_process_pause() {
                    self.catch_up(&inputs, &mut batch).await;
                }
            }
            self.fire_due_timers();
            // What has come meanwhile is read before the loop waits.
            future::yield_now().await;
            batch.extend(self.next_input(&inputs).await);
            batch.extend((1..INPUT_BATCH).map_while(|_| inputs.try_recv().ok()));
        }
    }

    /// Waits for the next input, until the next timer is due or for [`MAX_WAIT`].
    async fn next_input(&self, inputs: &Receiver<Input>) -> Option<Input> {
        let wait_ends = Instant::now() + MAX_WAIT;
        let due = self.timers.first_key_value().map(|t| self.event_bus.clock.instant(t.0 .0));
        let until = due.map_or(wait_ends, |due| due.min(wait_ends));
        with_deadline(until, inputs.recv()).await?.ok()
    }

    /// Lets the other tasks read what waits in their sockets after a stall, and handles what was told of machines and builds
    /// before all that is decided by it: first timers that are due, then the rest, which is left in `batch`.
    async fn catch_up(&mut self, inputs: &Receiver<Input>, batch: &mut VecDeque<Input>) {
        loop {
            let until = Instant::now() + CATCH_UP_TIME;
            while let Some(Ok(input)) = with_deadline(until, inputs.recv()).await {
                batch.push_back(input);
                if Instant::now() >= until {
                    break;
                }
            }
            if !self.detect_process_pause() {
                break;
            }
        }
        let (told, rest) = batch.drain(..).partition::<VecDeque<_>, _>(Input::tells_of_machines_or_builds);
        *batch = rest;
        for input in told {
            self.handle_input(input);
        }
        self.fire_due_timers();
    }

    /// Detects a pause of the process from the time since the last call; returns whether it was long enough for unread updates
    /// to count as received. On a busy host a pause hits a driver that is working as often as one that is waiting: a check
    /// around the wait alone would let the first send after a pause use the old list.
    fn detect_process_pause(&mut self) -> bool {
        let now = self.event_bus.clock.now();
        let pause = now - std::mem::replace(&mut self.last_turn_at, now);
        if pause > PROCESS_PAUSE {
            self.on_process_pause(pause);
        }
        pause > STALL
    }

    /// After a pause the process resumes with its old state while unread updates wait in its sockets, so the list must be
    /// confirmed before anything is sent.
    fn on_process_pause(&mut self, span: Micros) {
        log::warn!(span; "process was paused; the machine list is not used until it is confirmed");
        // A response that waited unread shows that the list was current when the response was written, not that it is now.
        self.set_watch(false);
        let as_of = self.event_bus.clock.now();
        self.handle_event(Event::List { kind: ListUpdate::Stalled, version: 0, as_of, entries: &[] });
    }
}
