//! How long a process lives on after the signal to stop.

use crate::input::ClassProtocol;
use yarrowspoke::interface::Micros;

/// Time for which new connections and requests still arrive after the signal, in microseconds. The operators owe a request
/// that arrives later an answer before they kill the process.
pub const STOP_GRACE: Micros = 700_000;
/// Longest deadline of a class that the operators wait for before they kill the process, in microseconds.
const MAX_AWAITED_DEADLINE: Micros = 3_000_000;
/// Time before the earliest kill at which the last answers are given, in microseconds: the process may be held up for 150 ms
/// as it handles the signal or writes.
const ANSWER_MARGIN: Micros = 250_000;

/// Returns how long after the signal a process that serves `classes` may still answer, in microseconds.
pub fn answer_time(classes: &[ClassProtocol]) -> Micros {
    let longest_deadline = classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    (longest_deadline.min(MAX_AWAITED_DEADLINE) + STOP_GRACE).saturating_sub(ANSWER_MARGIN)
}
