//! Shadow mode for settings: counts the decisions that the module would have made differently under other settings.
//!
//! The front decides by its own settings. Each event is also passed to a copy of the module, in the state it had before the
//! event, under the shadow settings; the resulting actions are counted by kind and discarded. So every counted difference is
//! one step away from what really happened. Effects that settings have only over time, such as evidence that would have been
//! gathered differently, do not show.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use yarrowspoke::interface::{Action, ErrorRates, Event, Micros, Settings};
use yarrowspoke::Front;

/// Kind of a decision of the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecisionKind {
    /// A request is sent, or is sent to another machine.
    Send,
    /// A request is refused or failed.
    RefuseOrFail,
    /// A machine is probed before a request is sent to it.
    Probe,
    /// An attempt is cancelled.
    Cancel,
    /// A vote is cast.
    Vote,
    /// The list of machines is fetched or subscribed to.
    List,
    /// A message is sent to a peer, or an idle connection is closed.
    Other,
    /// The module panicked under the shadow settings.
    Defect,
}

/// Returns the kind of `action`. Timers and log lines are not decisions.
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

/// Returns the kinds of decisions in which two lists of actions for the same event differ.
pub fn differences(one: &[Action], other: &[Action]) -> Vec<DecisionKind> {
    let is_same = |wanted: &DecisionKind| {
        let is_wanted = |a: &&Action| kind(a) == Some(*wanted);
        one.iter().filter(is_wanted).eq(other.iter().filter(is_wanted))
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
    kinds.into_iter().filter(|k| !is_same(k)).collect()
}

/// Settings that run in shadow mode, and counts of what they would have changed.
pub struct ShadowSettings {
    settings: Settings,
    events: u64,
    counts: BTreeMap<DecisionKind, u64>,
}

impl ShadowSettings {
    /// Starts shadow mode for these settings.
    pub fn new(settings: Settings) -> Self {
        Self { settings, events: 0, counts: BTreeMap::new() }
    }

    /// Sets the error rates for judging builds, which apply to the front's own settings and the shadow settings alike.
    pub fn set_error_rates(&mut self, rates: Option<ErrorRates>) {
        self.settings.error_rates = rates;
    }

    /// Passes `event` to `before`, the module in its state before the event, and counts the decisions that differ from the
    /// actions in `done`.
    pub fn compare(&mut self, mut before: Front, now: Micros, event: &Event, done: &[Action]) {
        self.events += 1;
        let settings = self.settings.clone();
        let mut actions = Vec::new();
        // A panic under settings that have never been in use must not stop the front, which runs by its own settings.
        let result = catch_unwind(AssertUnwindSafe(|| {
            before.replace_settings(settings);
            before.handle(now, event, &mut actions);
        }));
        let kinds = if result.is_ok() { differences(done, &actions) } else { vec![DecisionKind::Defect] };
        kinds.into_iter().for_each(|k| *self.counts.entry(k).or_default() += 1);
    }

    /// Returns the number of events compared, and how many of them differ, by kind.
    pub fn counts(&self) -> (u64, &BTreeMap<DecisionKind, u64>) {
        (self.events, &self.counts)
    }
}
