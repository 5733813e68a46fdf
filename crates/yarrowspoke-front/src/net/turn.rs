//! Turns of a task on the only thread: a task whose next input is always ready must still let the others run.
//!
//! A socket that has data is read without waiting, so a remote party that sends faster than it is read would keep its
//! task running for as long as it sends, and neither timers nor other connections would be looked at.

use async_io::Timer;
use futures_lite::future;
use std::time::Duration;

/// Bytes that a task reads in one turn.
const TURN_BYTES: usize = 16 * 1024;
/// Least number of bytes that one message counts for: a short one costs more to handle than to read.
const MIN_MESSAGE_BYTES: usize = 256;
/// Pause after a turn of a source of messages that has no reason to fill one.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// What a task has read in its present turn.
#[derive(Debug, Default)]
pub struct Turn {
    used_bytes: usize,
}

impl Turn {
    /// Counts bytes that were read.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.used_bytes += bytes;
    }

    /// Counts a message of this length that was handled.
    pub fn record_message(&mut self, bytes: usize) {
        self.used_bytes += bytes.max(MIN_MESSAGE_BYTES);
    }

    /// Lets the other tasks run if the turn is used up.
    ///
    /// The caller must not race this against a time limit: the limit would win over data that has already arrived.
    pub async fn yield_if_used(&mut self) {
        if self.is_used() {
            future::yield_now().await;
        }
    }

    /// Pauses if the turn is used up, so that the source gets only a small share of the processor.
    pub async fn pause_if_used(&mut self) {
        if self.is_used() {
            Timer::after(TURN_PAUSE).await;
        }
    }

    /// Returns whether the turn is used up, and begins another if so.
    fn is_used(&mut self) -> bool {
        let is_used = self.used_bytes >= TURN_BYTES;
        if is_used {
            self.used_bytes = 0;
        }
        is_used
    }
}
