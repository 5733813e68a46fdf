//! Mechanical bookkeeping: counts over time, sorted middles, fixed mixing. Every limit, span and
//! threshold is the caller's; nothing here decides.

use crate::interface::{LoadField, Micros};
use std::collections::VecDeque;

/// Amounts noted over time, summed over a span that the caller names.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    notes: VecDeque<(Micros, f64)>,
}

impl Tally {
    /// Notes an amount and forgets what is older than `keep`.
    pub fn add(&mut self, now: Micros, amount: f64, keep: Micros) {
        while self.notes.front().is_some_and(|n| n.0 + keep < now) {
            self.notes.pop_front();
        }
        self.notes.push_back((now, amount));
    }

    /// Sum of what was noted within `span` before `now`.
    pub fn sum(&self, now: Micros, span: Micros) -> f64 {
        let recent = self.notes.iter().rev();
        recent.take_while(|n| n.0 + span >= now).map(|n| n.1).sum::<f64>()
    }
}

/// The middle of `values`, or `None` if there are none.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Lower bound of a share seen as `bad` of `n`, at `z` standard deviations (Wilson's interval).
pub fn lower_bound(bad: f64, n: f64, z: f64) -> f64 {
    if n <= 0.0 {
        return 0.0;
    }
    let (p, z2) = (bad / n, z * z);
    let middle = p + z2 / (2.0 * n);
    let spread = z * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
    (middle - spread) / (1.0 + z2 / n)
}

/// Mixes a number into an even position from 0 to below 1 (the splitmix64 finaliser).
pub fn position(value: u64) -> f64 {
    let mut x = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// A named value of a load report, if it is there and a number.
pub fn load_value(fields: &[LoadField], load: &[f32], wanted: LoadField) -> Option<f64> {
    let at = fields.iter().position(|f| *f == wanted)?;
    load.get(at).copied().map(f64::from).filter(|v| v.is_finite())
}
