//! Watching before a switch: what the settings of another shape would have had the module decide.
//!
//! The front decides by its own settings. Each event is put once more to a copy of the module as it stood, under the
//! settings that are watched; what it would have done is counted by kind and thrown away. So every difference is one
//! step from what really happened. What settings change only over time (evidence that would have been gathered
//! otherwise) does not show.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use yarrowspoke::interface::{Action, ErrorRates, Event, Micros, Settings};
use yarrowspoke::Front;

/// A kind of decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecisionKind {
    /// A request is sent, or sent somewhere else.
    Send,
    /// A request is refused or failed.
    RefuseOrFail,
    /// A machine is asked first.
    Probe,
    /// An attempt is given up.
    Cancel,
    /// A vote is cast.
    Vote,
    /// The list is asked for.
    List,
    /// A peer is told, or a connection closed.
    Other,
    /// The module met a defect under these settings.
    Defect,
}

/// The kind that `action` belongs to; timers and lines for the operators decide nothing.
fn kind(action: &Action) -> Option<DecisionKind> {
    match action {
        Action::Send { .. } => Some(DecisionKind::Send),
        Action::Refuse { .. } | Action::Fail { .. } => Some(DecisionKind::RefuseOrFail),
        Action::Probe { .. } => Some(DecisionKind::Probe),
        Action::Cancel { .. } => Some(DecisionKind::Cancel),
        Action::Vote { .. } => Some(DecisionKind::Vote),
        Action::Subscribe(_) | Action::FetchList => Some(DecisionKind::List),
        Action::CloseIdle { .. } | Action::SendToPeer { .. } => Some(DecisionKind::Other),
        Action::Timer { .. } | Action::Log(_) => None,
    }
}

/// The kinds in which two answers to one event differ.
pub fn differences(one: &[Action], other: &[Action]) -> Vec<DecisionKind> {
    let same = |k: &DecisionKind| {
        let of = |a: &&Action| kind(a) == Some(*k);
        one.iter().filter(of).eq(other.iter().filter(of))
    };
    let kinds = [
        DecisionKind::Send,
        DecisionKind::RefuseOrFail,
        DecisionKind::Probe,
        DecisionKind::Cancel,
        DecisionKind::Vote,
        DecisionKind::List,
        DecisionKind::Other,
    ];
    kinds.into_iter().filter(|k| !same(k)).collect()
}

/// Settings that are watched, and what they would have changed.
pub struct ShadowSettings {
    settings: Settings,
    events: u64,
    counts: BTreeMap<DecisionKind, u64>,
}

impl ShadowSettings {
    /// Watches these settings.
    pub fn new(settings: Settings) -> Self {
        Self { settings, events: 0, counts: BTreeMap::new() }
    }

    /// Rates of judging hold for both.
    pub fn set_error_rates(&mut self, rates: Option<ErrorRates>) {
        self.settings.error_rates = rates;
    }

    /// Puts `event` to the module as it stood `before` it, and counts where that differs from what was `done`.
    pub fn compare(&mut self, mut before: Front, now: Micros, event: &Event, done: &[Action]) {
        self.events += 1;
        let settings = self.settings.clone();
        let mut actions = Vec::new();
        // Danger: settings that nobody has run yet must not end what is decided by the present ones.
        let tried = catch_unwind(AssertUnwindSafe(|| {
            before.replace_settings(settings);
            before.handle(now, event, &mut actions);
        }));
        let kinds = if tried.is_ok() { differences(done, &actions) } else { vec![DecisionKind::Defect] };
        kinds.into_iter().for_each(|k| *self.counts.entry(k).or_default() += 1);
    }

    /// Events looked at, and how many of them differ, by kind.
    pub fn counts(&self) -> (u64, &BTreeMap<DecisionKind, u64>) {
        (self.events, &self.counts)
    }
}
