//! How many of operators' orders a planner takes.
//!
//! Each order that is decided stays in the replicated log, so whoever sends orders without end would use up the memory and
//! the disk of every planner. People and their scripts send far fewer than are taken here.

use crate::Micros;
use thiserror::Error;

/// Interval at which orders are taken in the long run.
const ORDER_INTERVAL: Micros = 20_000;
/// Number of orders that are taken at once.
const MAX_BURST: u64 = 1_000;
/// Longest text in an order (a name or a reason), in bytes.
pub const MAX_TEXT_BYTES: usize = 4_096;

/// Why an order is not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OrderRejection {
    /// Too many orders were sent; the same one may be sent again.
    #[error("too many orders, expected at most {MAX_BURST} at once and one every {ORDER_INTERVAL} us")]
    TooMany,
    /// A text is too long.
    #[error("found a text of {0} bytes, expected at most {MAX_TEXT_BYTES}")]
    LongText(usize),
}

/// Decides which orders are taken, at a bounded rate.
#[derive(Clone, Debug, Default)]
pub struct OrderIntake {
    /// When the orders taken so far would all have come, one every [`ORDER_INTERVAL`].
    paced_until: Micros,
}

impl OrderIntake {
    /// Takes an order with these texts, or says why not.
    pub fn take(&mut self, now: Micros, texts: &[&str]) -> Result<(), OrderRejection> {
        if let Some(text) = texts.iter().find(|text| text.len() > MAX_TEXT_BYTES) {
            return Err(OrderRejection::LongText(text.len()));
        }
        let paced_until = self.paced_until.max(now) + ORDER_INTERVAL;
        if paced_until > now + MAX_BURST * ORDER_INTERVAL {
            return Err(OrderRejection::TooMany);
        }
        self.paced_until = paced_until;
        Ok(())
    }
}
