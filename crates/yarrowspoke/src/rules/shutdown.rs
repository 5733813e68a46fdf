//! Shutdown of the process: until when its requests are answered, and which ones it still takes on.
//!
//! Once the process may be killed, a request that it holds gets no final answer any more. So every open request has to be
//! answered by then, and a request that can hardly be answered by then is refused before it is sent anywhere: its client
//! may safely retry at another front.

use super::Front;
use crate::accounting::Request;
use crate::interface::Micros;

/// Multiple of the expected answer time that must be left to a request that is taken on.
const ANSWER_TIMES_LEFT: f64 = 2.0;

impl Front {
    /// Limits the deadlines of all requests to the time at which the process may be killed, `remaining` from now.
    pub(super) fn on_shutdown(&mut self, now: Micros, remaining: Micros) {
        let answer_by = now + remaining;
        self.state.answer_by = Some(answer_by);
        for request in self.state.requests.values_mut() {
            request.deadline = request.deadline.min(answer_by);
        }
    }

    /// Returns the time by which a request is answered whose client waits until `deadline`.
    pub(super) fn answer_deadline(&self, deadline: Micros) -> Micros {
        self.state.answer_by.map_or(deadline, |answer_by| deadline.min(answer_by))
    }

    /// Returns whether a new request can be expected to be answered before the process may be killed.
    pub(super) fn outlives(&self, now: Micros, request: &Request) -> bool {
        let Some(answer_by) = self.state.answer_by else { return true };
        let time_left = answer_by.saturating_sub(now);
        time_left > 0 && time_left as f64 >= ANSWER_TIMES_LEFT * self.expected_answer_time(request)
    }
}
