//! The front's use of the durable ledger. A request that must not run twice is recorded before it is sent and before it is
//! answered; a snapshot of the list and the rollout status is written from time to time.
//!
//! `yarrowspoke_store::ledger` decides what a record means and when there is space for one; this module carries it out.

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
use yarrowspoke_store::ledger::{Decision, Outcome, State};
use yarrowspoke_store::snapshot::{self, MachineRecord, Snapshot};
use yarrowspoke_store::store::{served_state, Op, OpResult};
use yarrowspoke_store::writer::WriterHandle;

/// Minimum time between two snapshots.
const SNAPSHOT_INTERVAL_US: Micros = 2_000_000;
/// Retry-After of requests refused because the disk is overloaded, does not respond or has failed.
const RETRY_AFTER_US: Micros = 1_000_000;

/// What the front does with a request that must not run twice.
pub enum LedgerDecision {
    /// It may be sent: its intent is durable under this key.
    Admitted(RecordKey),
    /// It is answered at once, without being sent.
    Answered(Answer),
    /// It ran before and its answer is not stored. The reply is neither a refusal nor a permission to retry.
    AlreadyDone,
    /// Another attempt at the same request is in progress.
    InProgress,
    /// A request with another content has the same identity.
    OtherContent,
}

/// What the ledger knows a call by.
///
/// A call id names one sending of a request, an idempotency key what its client wants to happen once, and the key in the
/// query a subject that the requests of many clients share. So a call of a keyed class is recorded by its idempotency key and
/// its tenant, any other by its call id, and none by its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordKey {
    /// Identity of the request.
    pub id: u128,
    /// Digest of what it asks for. The same identity with another content is another request, which must not get the
    /// answer to the first.
    content: u64,
    /// How long the record is kept, in microseconds.
    retention: Micros,
}

/// Properties of a class that the ledger depends on.
#[derive(Clone, Copy, Debug)]
struct ClassRecordPolicy {
    idempotency: Idempotency,
    /// Microseconds for which the record of a finished request is kept.
    retention: Micros,
}

struct OpenLedger {
    writer: WriterHandle,
    settings: StoreSettings,
    classes: Vec<ClassRecordPolicy>,
    class_names: Vec<String>,
    tenant_names: Vec<String>,
}

/// Records requests in the ledger and writes snapshots; does nothing if no store is configured.
#[derive(Default)]
pub struct LedgerWriter {
    ledger: Option<OpenLedger>,
    refused: Cell<u64>,
    repeated: Cell<u64>,
    snapshot_at: Cell<Micros>,
    rows: RefCell<BTreeMap<MachineId, Row>>,
    status: RefCell<Option<snapshot::RolloutStatus>>,
    /// Whether discovery has sent a list since the start.
    has_fresh_list: Cell<bool>,
    changed: Cell<bool>,
}

impl LedgerWriter {
    /// Creates a writer for an open store.
    pub fn new(writer: WriterHandle, settings: StoreSettings, front_settings: &Settings) -> Self {
        let class = |c: &yarrowspoke::interface::Class| {
            // A group of machines forgets an idempotency key after its deduplication window; the ledger must not forget it
            // earlier.
            let retention = if c.idempotency == Idempotency::Keyed {
                c.dedup_window.max(settings.retention)
            } else {
                settings.retention
            };
            ClassRecordPolicy { idempotency: c.idempotency, retention }
        };
        let classes = front_settings.module.classes.iter().map(class).collect();
        let class_names = front_settings.names.classes.clone();
        let tenant_names = front_settings.names.tenants.clone();
        let ledger = OpenLedger { writer, settings, classes, class_names, tenant_names };
        Self { ledger: Some(ledger), ..Self::default() }
    }

    /// Returns what a call is recorded by; `None` if it does not have to be recorded.
    pub fn record_key(&self, call: &Call) -> Option<RecordKey> {
        let ledger = self.ledger.as_ref()?;
        let policy = ledger.classes.get(usize::from(call.class))?;
        let is_recorded = policy.idempotency != Idempotency::Idempotent || call.policy.at_most_once;
        is_recorded.then(|| ledger.record_key(call, policy))
    }

    /// Returns whether the front has to report that it is not ready because its disk has failed.
    pub fn is_down(&self) -> bool {
        self.ledger
            .as_ref()
            .is_some_and(|ledger| ledger.settings.down_when_failed && ledger.writer.has_failed())
    }

    /// Records the intent of a call and returns the decision once the intent is durable.
    ///
    /// A disk that does not respond delays no other request, and this client no longer than the configured time. The call
    /// is then refused, which is safe since nothing of it was sent.
    pub async fn record_intent(&self, key: RecordKey) -> LedgerDecision {
        let Some(ledger) = &self.ledger else { return LedgerDecision::InProgress };
        let RecordKey { id, content, retention } = key;
        let done = match ledger.writer.submit(Op::Begin { id, content, retention }) {
            Ok(pending) => {
                with_timeout(Duration::from_micros(ledger.settings.disk_timeout), pending.done()).await
            }
            Err(e) => Some(Err(e)),
        };
        match done {
            Some(Ok(OpResult::Decided(ruling))) => self.decide(key, ruling),
            Some(_) => self.refuse(RETRY_AFTER_US),
            None => {
                // The intent may still become durable later; the second record says that the request has not run.
                let _ = ledger.writer.submit(Op::End { id, state: State::NotRun, retention });
                self.refuse(RETRY_AFTER_US)
            }
        }
    }

    fn refuse(&self, retry_after: Micros) -> LedgerDecision {
        self.refused.set(self.refused.get() + 1);
        LedgerDecision::Answered(Answer::Refused(retry_after))
    }

    fn decide(&self, key: RecordKey, ruling: Decision) -> LedgerDecision {
        if !matches!(ruling, Decision::Admit | Decision::NoSpace(_)) {
            self.repeated.set(self.repeated.get() + 1);
        }
        match ruling {
            Decision::Admit => LedgerDecision::Admitted(key),
            Decision::Replay(body) => LedgerDecision::Answered(Answer::Served(body)),
            Decision::AlreadyDone => LedgerDecision::AlreadyDone,
            Decision::FailedBefore | Decision::InDoubt => LedgerDecision::Answered(Answer::Failed),
            Decision::InProgress => LedgerDecision::InProgress,
            Decision::OtherContent => LedgerDecision::OtherContent,
            Decision::NoSpace(retry_after) => self.refuse(retry_after),
        }
    }

    /// Records the outcome of a call before its client is answered, which must be within `time_left`. `answer` is `None` if
    /// the client disconnected and it is unknown whether the call ran. If the disk fails here or takes longer, the call stays
    /// in doubt, which is safe, and the client is answered all the same.
    pub async fn record_outcome(&self, key: RecordKey, answer: Option<&Answer>, time_left: Micros) {
        let Some(ledger) = &self.ledger else { return };
        let RecordKey { id, retention, .. } = key;
        let state = match answer {
            Some(Answer::Served(body)) => served_state(body, ledger.settings.max_answer_bytes),
            Some(Answer::Refused(_)) => State::NotRun,
            Some(Answer::Failed) | None => State::Done(Outcome::Failed),
        };
        let Ok(pending) = ledger.writer.submit(Op::End { id, state, retention }) else { return };
        if answer.is_some() {
            let limit = time_left.min(ledger.settings.disk_timeout);
            with_timeout(Duration::from_micros(limit), pending.done()).await;
        }
    }

    /// Records an update of the list for the next snapshot. A list from before the start is the base of later deltas, but it
    /// is not written again by itself: the new snapshot would make it look more recent than it is.
    pub fn record_list(&self, kind: ListUpdate, rows: &[Row]) {
        if self.ledger.is_none() || kind.is_failure() {
            return;
        }
        let mut rows_by_machine = self.rows.borrow_mut();
        if kind != ListUpdate::Delta {
            rows_by_machine.clear();
        }
        for row in rows {
            if row.entry.state == MachineState::Gone {
                rows_by_machine.remove(&row.entry.machine);
            } else {
                rows_by_machine.insert(row.entry.machine, row.clone());
            }
        }
        self.has_fresh_list.set(self.has_fresh_list.get() || kind != ListUpdate::Cached);
        self.changed.set(self.has_fresh_list.get());
    }

    /// Records a rollout status for the next snapshot.
    pub fn record_status(&self, now: Micros, status: &RolloutStatus) {
        if self.ledger.is_none() {
            return;
        }
        let phase = PHASES.iter().position(|p| *p == status.phase).unwrap_or(0) as u8;
        let since = now.saturating_sub(status.age);
        let status = snapshot::RolloutStatus {
            build: status.build,
            stage: status.stage,
            phase,
            cap: status.cap,
            since,
        };
        *self.status.borrow_mut() = Some(status);
        self.changed.set(self.has_fresh_list.get());
    }

    /// Writes a snapshot if something has changed and the last one is old enough. The caller does not wait for the disk.
    pub fn write_snapshot(&self, now: Micros, names: &Names) {
        let Some(ledger) = &self.ledger else { return };
        if !self.changed.get() || now < self.snapshot_at.get() + SNAPSHOT_INTERVAL_US {
            return;
        }
        let lines = self.rows.borrow().values().map(|r| snapshot_line(r, names)).collect();
        let news = self.status.borrow().clone();
        let known = Snapshot {
            written_at: now,
            deployment: deployment(names),
            index: 0,
            machines: lines,
            rollout_status: news,
        };
        if ledger.writer.submit(Op::Snapshot(known)).is_ok() {
            self.changed.set(false);
            self.snapshot_at.set(now);
        }
    }

    /// Returns a line on what the store did since the last call; `None` without a store.
    pub fn report(&self) -> Option<String> {
        let ledger = self.ledger.as_ref()?;
        let counts = &ledger.writer.counts;
        let (ops, groups) = (counts.ops.swap(0, Ordering::Relaxed), counts.groups.swap(0, Ordering::Relaxed));
        let longest = counts.longest_us.swap(0, Ordering::Relaxed);
        let state = if ledger.writer.has_failed() {
            "FAILED: requests that must not run twice are refused"
        } else {
            "healthy"
        };
        Some(format!(
            "store: {state}; operations {ops} in {groups} groups, longest {longest} us; repeated requests {}, refused {}",
            self.repeated.take(),
            self.refused.take()
        ))
    }
}

impl OpenLedger {
    fn record_key(&self, call: &Call, policy: &ClassRecordPolicy) -> RecordKey {
        let class_name = self.class_names.get(usize::from(call.class)).map_or("", String::as_str);
        let idempotency_key = call.idempotency_key.as_ref().filter(|key| !key.is_empty());
        let identity = match idempotency_key.filter(|_| policy.idempotency == Idempotency::Keyed) {
            Some(key) => {
                let tenant = self.tenant_names.get(call.tenant as usize).map_or("", String::as_str);
                // A call id contains no space, and the length says where the tenant ends.
                format!("idempotency-key {} {tenant} {key}", tenant.len())
            }
            None => call.call_id.clone(),
        };
        RecordKey {
            id: self.writer.id_of(class_name, &identity),
            content: self.writer.content_digest(&[
                call.method.as_bytes(),
                call.target.as_bytes(),
                &call.body,
            ]),
            retention: policy.retention,
        }
    }
}

const PHASES: [Phase; 4] = [Phase::Trial, Phase::RollingBack, Phase::Released, Phase::Withdrawn];

/// Returns a key made of a deployment's names, by which a snapshot of another deployment is recognised.
pub fn deployment(names: &Names) -> String {
    [&names.classes, &names.zones, &names.kinds, &names.tenants].map(|n| n.join(",")).join(";")
}

fn snapshot_line(row: &Row, names: &Names) -> MachineRecord {
    let entry = &row.entry;
    let name = |all: &[String], at: usize| all.get(at).cloned().unwrap_or_default();
    MachineRecord {
        machine: entry.machine,
        address: row.address.map(|a| a.to_string()).unwrap_or_default(),
        zone: name(&names.zones, entry.zone.into()),
        kind: name(&names.kinds, entry.kind.into()),
        build: entry.build,
        cell: entry.cell,
        ready: entry.state == MachineState::Ready,
        weight: entry.weight,
        started_at: entry.started_at,
    }
}

/// Returns the rows of a snapshot in the form in which discovery sends them.
pub fn snapshot_rows(known: &Snapshot, names: &Names) -> Vec<Row> {
    let position = |all: &[String], name: &str| all.iter().position(|n| n == name);
    let row = |line: &MachineRecord| {
        let entry = yarrowspoke::interface::MachineEntry {
            machine: line.machine,
            zone: position(&names.zones, &line.zone).map_or(u16::MAX, |z| z as u16),
            kind: position(&names.kinds, &line.kind).map_or(u8::MAX, |k| k as u8),
            build: line.build,
            cell: line.cell,
            state: if line.ready { MachineState::Ready } else { MachineState::Draining },
            weight: line.weight,
            started_at: line.started_at,
        };
        Some(Row { address: Some(line.address.parse().ok()?), entry })
    };
    known.machines.iter().filter_map(row).collect()
}
