//! The store in the running front: requests that must not run twice pass it before they go and before they are answered,
//! and what the front knows is written now and then.
//!
//! What a record means and when there is room is decided in `yarrowspoke_store::ledger`; here it is only carried out.

use crate::exchange::{Answer, Call};
use crate::input::Row;
use crate::net::with_timeout;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;
use yarrowspoke::interface::{
    Idempotency, ListUpdate, MachineId, MachineState, Micros, Phase, RolloutStatus,
};
use yarrowspoke_operator::store::StoreSettings;
use yarrowspoke_settings::{Names, Settings};
use yarrowspoke_store::ledger::{Outcome, Ruling, State};
use yarrowspoke_store::snapshot::{self, Known, Line};
use yarrowspoke_store::store::{served, Done, Op};
use yarrowspoke_store::writer::Hand;

/// Least time between two snapshots.
const SNAPSHOT_EVERY: Micros = 2_000_000;
/// When to come back while the disk is crowded, stuck or has failed.
const COME_BACK: Micros = 1_000_000;

/// What becomes of a request that must not run twice.
pub enum LedgerDecision {
    /// It may go; its intent is durable under this id.
    Admitted(u128),
    /// It has its answer without going anywhere.
    Answered(Answer),
    /// It was done before and its answer is not kept: neither a refusal nor leave to try again.
    AlreadyDone,
    /// It is open.
    InProgress,
}

/// A class, as far as the store minds it.
#[derive(Clone, Copy, Debug)]
struct ClassKept {
    effect: Idempotency,
    /// Microseconds for which an ended request is kept.
    keep: Micros,
}

struct On {
    hand: Hand,
    settings: StoreSettings,
    classes: Vec<ClassKept>,
    class_names: Vec<String>,
}

/// The store, or none.
#[derive(Default)]
pub struct LedgerWriter {
    on: Option<On>,
    refused: Cell<u64>,
    again: Cell<u64>,
    snapshot_at: Cell<Micros>,
    rows: RefCell<BTreeMap<MachineId, Row>>,
    news: RefCell<Option<snapshot::News>>,
    /// Discovery has told a list since the start.
    told_list: Cell<bool>,
    changed: Cell<bool>,
}

impl LedgerWriter {
    /// A keeper over an open store.
    pub fn new(hand: Hand, settings: StoreSettings, front: &Settings) -> Self {
        let class = |c: &yarrowspoke::interface::Class| {
            // A group of machines forgets a key after its window, and the ledger must not do so before.
            let keep = if c.idempotency == Idempotency::Keyed {
                c.dedup_window.max(settings.keep)
            } else {
                settings.keep
            };
            ClassKept { effect: c.idempotency, keep }
        };
        let classes = front.module.classes.iter().map(class).collect();
        let class_names = front.names.classes.clone();
        Self { on: Some(On { hand, settings, classes, class_names }), ..Self::default() }
    }

    /// Whether a call passes the store.
    pub fn requires_record(&self, call: &Call) -> bool {
        let effect = |on: &On| on.classes.get(usize::from(call.class)).map(|c| c.effect);
        self.on
            .as_ref()
            .and_then(effect)
            .is_some_and(|e| e != Idempotency::Idempotent || call.policy.at_most_once)
    }

    /// Whether the front is to say that it is not ready, as its disk has failed.
    pub fn is_down(&self) -> bool {
        self.on.as_ref().is_some_and(|on| on.settings.down_when_failed && on.hand.has_failed())
    }

    /// Rules on a call that [`LedgerWriter::requires_record`], once its intent is durable. Danger: a stuck disk must hold up nobody else, nor
    /// this client for longer than is stated: it is refused then, as nothing of it was sent.
    pub async fn record_intent(&self, call: &Call) -> LedgerDecision {
        let Some(on) = &self.on else { return LedgerDecision::InProgress };
        let (id, keep) = on.id(call);
        let done = match on.hand.give(Op::Begin { id, keep }) {
            Ok(pending) => with_timeout(Duration::from_micros(on.settings.stuck), pending.done()).await,
            Err(e) => Some(Err(e)),
        };
        match done {
            Some(Ok(Done::Ruled(ruling))) => self.ruled(id, ruling),
            Some(_) => self.refuse(COME_BACK),
            None => {
                // It may still become durable; then it has not run.
                let _ = on.hand.give(Op::End { id, state: State::NotRun, keep });
                self.refuse(COME_BACK)
            }
        }
    }

    fn refuse(&self, after: Micros) -> LedgerDecision {
        self.refused.set(self.refused.get() + 1);
        LedgerDecision::Answered(Answer::Refused(after))
    }

    fn ruled(&self, id: u128, ruling: Ruling) -> LedgerDecision {
        if !matches!(ruling, Ruling::Admit | Ruling::Full(_)) {
            self.again.set(self.again.get() + 1);
        }
        match ruling {
            Ruling::Admit => LedgerDecision::Admitted(id),
            Ruling::Again(body) => LedgerDecision::Answered(Answer::Served(body)),
            Ruling::AlreadyDone => LedgerDecision::AlreadyDone,
            Ruling::FailedBefore | Ruling::InDoubt => LedgerDecision::Answered(Answer::Failed),
            Ruling::Open => LedgerDecision::InProgress,
            Ruling::Full(after) => self.refuse(after),
        }
    }

    /// Records the end of a call before its client is told; `None` if the client left, and nobody knows whether it ran.
    /// A disk that fails now leaves it in doubt, which is safe; the answer is owed all the same.
    pub async fn record_outcome(&self, id: u128, call: &Call, answer: Option<&Answer>) {
        let Some(on) = &self.on else { return };
        let (_, keep) = on.id(call);
        let state = match answer {
            Some(Answer::Served(body)) => served(body, on.settings.answers),
            Some(Answer::Refused(_)) => State::NotRun,
            Some(Answer::Failed) | None => State::Done(Outcome::Failed),
        };
        let Ok(pending) = on.hand.give(Op::End { id, state, keep }) else { return };
        if answer.is_some() {
            with_timeout(Duration::from_micros(on.settings.stuck), pending.done()).await;
        }
    }

    /// The list has been told. One held from before a start is where changes go on from, and by itself nothing to write
    /// down: it would look younger than it is.
    pub fn record_list(&self, kind: ListUpdate, rows: &[Row]) {
        if self.on.is_none() || kind.is_failure() {
            return;
        }
        let mut known = self.rows.borrow_mut();
        if kind != ListUpdate::Delta {
            known.clear();
        }
        for row in rows {
            if row.entry.state == MachineState::Gone {
                known.remove(&row.entry.machine);
            } else {
                known.insert(row.entry.machine, row.clone());
            }
        }
        self.told_list.set(self.told_list.get() || kind != ListUpdate::Cached);
        self.changed.set(self.told_list.get());
    }

    /// The platform has told something.
    pub fn record_status(&self, now: Micros, news: &RolloutStatus) {
        if self.on.is_none() {
            return;
        }
        let phase = PHASES.iter().position(|p| *p == news.phase).unwrap_or(0) as u8;
        let since = now.saturating_sub(news.age);
        let news = snapshot::News { build: news.build, stage: news.stage, phase, cap: news.cap, since };
        *self.news.borrow_mut() = Some(news);
        self.changed.set(self.told_list.get());
    }

    /// Writes what is known, if it has changed and the last time was long enough ago. Nobody waits for it.
    pub fn write_snapshot(&self, now: Micros, names: &Names) {
        let Some(on) = &self.on else { return };
        if !self.changed.get() || now < self.snapshot_at.get() + SNAPSHOT_EVERY {
            return;
        }
        let lines = self.rows.borrow().values().map(|r| line(r, names)).collect();
        let news = self.news.borrow().clone();
        let known = Known { at: now, deployment: deployment(names), index: 0, lines, news };
        if on.hand.give(Op::Snapshot(known)).is_ok() {
            self.changed.set(false);
            self.snapshot_at.set(now);
        }
    }

    /// What the store did since this was last asked, in words; `None` without one.
    pub fn report(&self) -> Option<String> {
        let on = self.on.as_ref()?;
        let counts = &on.hand.counts;
        let (ops, groups) = (counts.ops.swap(0, Ordering::Relaxed), counts.groups.swap(0, Ordering::Relaxed));
        let longest = counts.longest_us.swap(0, Ordering::Relaxed);
        let state = if on.hand.has_failed() { "FAILED: unsafe classes are refused" } else { "well" };
        Some(format!(
            "store: {state}; operations {ops} in {groups} groups, longest {longest} us; come again {}, refused {}",
            self.again.take(),
            self.refused.take()
        ))
    }
}

impl On {
    /// A call's id in the ledger, and how long it is kept: an unsafe one by its own id, a keyed one by its key.
    fn id(&self, call: &Call) -> (u128, Micros) {
        let class = usize::from(call.class);
        let kept = self.classes.get(class).copied();
        let name = self.class_names.get(class).map_or("", String::as_str);
        let keyed = kept.is_some_and(|k| k.effect == Idempotency::Keyed) && call.key != 0;
        let identity = if keyed { format!("key {}", call.key) } else { call.call_id.clone() };
        (self.hand.id_of(name, &identity), kept.map_or(self.settings.keep, |k| k.keep))
    }
}

const PHASES: [Phase; 4] = [Phase::Trial, Phase::RollingBack, Phase::Released, Phase::Withdrawn];

/// What a deployment's names come to, so that a snapshot of another one is known as such.
pub fn deployment(names: &Names) -> String {
    [&names.classes, &names.zones, &names.kinds, &names.tenants].map(|n| n.join(",")).join(";")
}

fn line(row: &Row, names: &Names) -> Line {
    let e = &row.entry;
    let name = |all: &[String], at: usize| all.get(at).cloned().unwrap_or_default();
    Line {
        machine: e.machine,
        address: row.address.map(|a| a.to_string()).unwrap_or_default(),
        zone: name(&names.zones, e.zone.into()),
        kind: name(&names.kinds, e.kind.into()),
        build: e.build,
        cell: e.cell,
        ready: e.state == MachineState::Ready,
        weight: e.weight,
        started: e.started_at,
    }
}

/// The rows of a snapshot, as discovery would have told them.
pub fn snapshot_rows(known: &Known, names: &Names) -> Vec<Row> {
    let place = |all: &[String], name: &str| all.iter().position(|n| n == name);
    let row = |l: &Line| {
        let entry = yarrowspoke::interface::MachineEntry {
            machine: l.machine,
            zone: place(&names.zones, &l.zone).map_or(u16::MAX, |z| z as u16),
            kind: place(&names.kinds, &l.kind).map_or(u8::MAX, |k| k as u8),
            build: l.build,
            cell: l.cell,
            state: if l.ready { MachineState::Ready } else { MachineState::Draining },
            weight: l.weight,
            started_at: l.started,
        };
        Some(Row { address: Some(l.address.parse().ok()?), entry })
    };
    known.lines.iter().filter_map(row).collect()
}
