//! The replicated log of the planners: omnipaxos over the fleet's links. Its state is kept in a journal that is synced
//! before the planner sends any promise.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use yarrowspoke_fleet::permits::{Entry, PermitState};
use yarrowspoke_store::journal::Journal;

/// Ticks between two rounds of election heartbeats.
const ELECTION_TICKS: u64 = 4;
/// Ticks after which a lost message is sent again.
const RESEND_TICKS: u64 = 10;
/// Maximum number of messages in one batch.
const MAX_BATCH_MESSAGES: usize = 64;

/// An entry in the form that omnipaxos stores and replicates.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoggedEntry(pub Entry);

impl omnipaxos::storage::Entry for LoggedEntry {
    type Snapshot = NoSnapshot;
}

/// A storage operation as recorded in the journal. The operations of one append are recorded all or none.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Op {
    Append(Vec<LoggedEntry>),
    OnPrefix(u64, Vec<LoggedEntry>),
    Promise(Ballot),
    Accepted(Ballot),
    Decided(u64),
    Stop(Option<StopSign>),
}

/// Storage of the replicated log: its state in memory, and the journal that makes it durable.
struct JournaledLog {
    journal: Option<Journal>,
    entries: Vec<LoggedEntry>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    stop: Option<StopSign>,
}

impl JournaledLog {
    fn open(path: Option<&Path>) -> io::Result<(Self, bool)> {
        let (journal, recorded) = match path.map(Journal::open::<Vec<Op>>) {
            Some(opened) => opened.map(|(j, recorded)| (Some(j), recorded))?,
            None => (None, vec![]),
        };
        let (entries, promise, accepted, decided, stop) = (vec![], None, None, 0, None);
        let mut log = Self { journal, entries, promise, accepted, decided, stop };
        let is_empty = recorded.is_empty();
        recorded.into_iter().flatten().for_each(|op| log.apply(op));
        Ok((log, is_empty))
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Append(entries) => self.entries.extend(entries),
            Op::OnPrefix(from, entries) => {
                self.entries.truncate(from as usize);
                self.entries.extend(entries);
            }
            Op::Promise(b) => self.promise = Some(b),
            Op::Accepted(b) => self.accepted = Some(b),
            Op::Decided(n) => self.decided = n as usize,
            Op::Stop(s) => self.stop = s,
        }
    }

    fn persist(&mut self, ops: Vec<Op>) -> StorageResult<()> {
        if let Some(journal) = &mut self.journal {
            if let Err(e) = journal.append(std::slice::from_ref(&ops)) {
                // What is on disk is unknown now, and the library has no way to take an error here. This planner must not
                // send any further promise, so the process exits; the other planners continue.
                eprintln!(
                    "yarrowspoke: the replicated log could not be written to disk; this planner exits: {e}"
                );
                std::process::exit(1);
            }
        }
        ops.into_iter().for_each(|op| self.apply(op));
        Ok(())
    }
}

impl Storage<LoggedEntry> for JournaledLog {
    fn write_atomically(&mut self, ops: Vec<StorageOp<LoggedEntry>>) -> StorageResult<()> {
        let op = |op| match op {
            StorageOp::AppendEntry(e) => Some(Op::Append(vec![e])),
            StorageOp::AppendEntries(e) => Some(Op::Append(e)),
            StorageOp::AppendOnPrefix(from, e) => Some(Op::OnPrefix(from as u64, e)),
            StorageOp::SetPromise(b) => Some(Op::Promise(b)),
            StorageOp::SetAcceptedRound(b) => Some(Op::Accepted(b)),
            StorageOp::SetDecidedIndex(n) => Some(Op::Decided(n as u64)),
            StorageOp::SetStopsign(s) => Some(Op::Stop(s)),
            // This log is neither trimmed nor compacted into snapshots.
            StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => None,
        };
        self.persist(ops.into_iter().filter_map(op).collect())
    }

    fn append_entry(&mut self, entry: LoggedEntry) -> StorageResult<()> {
        self.persist(vec![Op::Append(vec![entry])])
    }

    fn append_entries(&mut self, entries: Vec<LoggedEntry>) -> StorageResult<()> {
        self.persist(vec![Op::Append(entries)])
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<LoggedEntry>) -> StorageResult<()> {
        self.persist(vec![Op::OnPrefix(from_idx as u64, entries)])
    }

    fn set_promise(&mut self, n_prom: Ballot) -> StorageResult<()> {
        self.persist(vec![Op::Promise(n_prom)])
    }

    fn set_decided_idx(&mut self, ld: usize) -> StorageResult<()> {
        self.persist(vec![Op::Decided(ld as u64)])
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided)
    }

    fn set_accepted_round(&mut self, na: Ballot) -> StorageResult<()> {
        self.persist(vec![Op::Accepted(na)])
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<LoggedEntry>> {
        Ok(self.entries.get(from..to).unwrap_or(&[]).to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<LoggedEntry>> {
        Ok(self.entries.get(from..).unwrap_or(&[]).to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.promise)
    }

    fn set_stopsign(&mut self, s: Option<StopSign>) -> StorageResult<()> {
        self.persist(vec![Op::Stop(s)])
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.stop.clone())
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

/// Messages from one planner to another, in order. A batch that arrives after a later one is dropped.
#[derive(Debug, Serialize, Deserialize)]
pub struct MessageBatch {
    /// Name of the sending planner.
    pub from: String,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number of the batch among those that this incarnation sent to this planner.
    pub number: u64,
    messages: Vec<Message<LoggedEntry>>,
}

/// One planner's replica of the log.
pub struct AgreedLog {
    paxos: OmniPaxos<LoggedEntry, JournaledLog>,
    /// State built from the entries that are decided, as far as this replica knows them.
    pub state: PermitState,
    applied: usize,
    names: Vec<String>,
    name: String,
    incarnation: u64,
    outgoing: BTreeMap<String, Vec<Message<LoggedEntry>>>,
    last_sent: BTreeMap<String, u64>,
    last_received: BTreeMap<String, (u64, u64)>,
    /// Whether a batch to this planner was lost, so that the messages since then have to be sent again.
    has_lost_batch: BTreeMap<String, bool>,
}

/// Why a planner cannot join the replicated log.
pub enum JoinError {
    /// Its journal cannot be opened or read.
    Io(io::Error),
    /// Its journal is empty, and it was not started as a new planner. It may have sent promises that it no longer knows of;
    /// a quorum that includes it could then decide against what has been decided.
    LostState,
}

impl AgreedLog {
    /// Joins the replicated log under this name, with the journal in `dir`. `found` says that this planner never took part
    /// before.
    pub fn open(
        names: Vec<String>,
        name: &str,
        incarnation: u64,
        dir: Option<&Path>,
        found: bool,
    ) -> Result<Self, JoinError> {
        let path = dir.map(|d| d.join("agreed"));
        let (log, is_empty) = JournaledLog::open(path.as_deref()).map_err(JoinError::Io)?;
        if is_empty && !found {
            return Err(JoinError::LostState);
        }
        let pid = |n: &String| names.iter().position(|m| m == n).map_or(0, |p| p as u64 + 1);
        let nodes = names.iter().map(pid).collect();
        let config = OmniPaxosConfig {
            cluster_config: ClusterConfig { configuration_id: 1, nodes, flexible_quorum: None },
            server_config: ServerConfig {
                pid: pid(&name.to_owned()),
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: RESEND_TICKS,
                ..ServerConfig::default()
            },
        };
        let paxos = config.build(log).map_err(|e| JoinError::Io(io::Error::other(e.to_string())))?;
        let empty = BTreeMap::new;
        let mut agreed_log = Self {
            paxos,
            state: PermitState::default(),
            applied: 0,
            names,
            name: name.to_owned(),
            incarnation,
            outgoing: BTreeMap::new(),
            last_sent: empty(),
            last_received: BTreeMap::new(),
            has_lost_batch: BTreeMap::new(),
        };
        agreed_log.apply_decided();
        Ok(agreed_log)
    }

    fn pid(&self, name: &str) -> Option<u64> {
        self.names.iter().position(|n| n == name).map(|p| p as u64 + 1)
    }

    /// Advances the timers of elections and resends by one tick.
    pub fn tick(&mut self) {
        self.paxos.tick();
        self.collect_outgoing();
        self.apply_decided();
    }

    fn collect_outgoing(&mut self) {
        let mut all = Vec::new();
        self.paxos.take_outgoing_messages(&mut all);
        for message in all {
            let to = message.get_receiver();
            if let Some(name) = self.names.get(to as usize - 1) {
                self.outgoing.entry(name.clone()).or_default().push(message);
            }
        }
    }

    /// Applies the entries that have been decided since the last call.
    fn apply_decided(&mut self) {
        let decided = self.paxos.get_decided_idx();
        if decided <= self.applied {
            return;
        }
        for entry in self.paxos.read_decided_suffix(self.applied).unwrap_or_default() {
            if let LogEntry::Decided(LoggedEntry(entry)) = entry {
                self.state.apply(&entry);
            }
        }
        self.applied = decided;
    }

    /// Proposes an entry. A proposal may be lost: the caller checks whether the entry has been decided and proposes it
    /// again if not.
    pub fn propose(&mut self, entry: Entry) {
        if self.paxos.append(LoggedEntry(entry)).is_err() {
            log::warn!("fleet: an entry could not be proposed to the replicated log");
        }
        self.collect_outgoing();
    }

    /// Returns the next batch for a planner, if messages to it are queued.
    pub fn next_batch(&mut self, to: &str) -> Option<MessageBatch> {
        let queued = self.outgoing.get_mut(to).filter(|q| !q.is_empty())?;
        let messages: Vec<_> = queued.drain(..queued.len().min(MAX_BATCH_MESSAGES)).collect();
        let number = self.last_sent.entry(to.to_owned()).or_default();
        *number += 1;
        Some(MessageBatch {
            from: self.name.clone(),
            incarnation: self.incarnation,
            number: *number,
            messages,
        })
    }

    /// Records whether a batch was delivered. After a lost batch, the next one that is delivered starts a new session.
    pub fn batch_sent(&mut self, to: &str, is_delivered: bool) {
        let has_lost_batch = self.has_lost_batch.entry(to.to_owned()).or_default();
        if !is_delivered {
            *has_lost_batch = true;
        } else if std::mem::take(has_lost_batch) {
            if let Some(pid) = self.pid(to) {
                self.paxos.reconnected(pid);
                self.collect_outgoing();
            }
        }
    }

    /// Handles a batch from another planner.
    pub fn receive(&mut self, batch: MessageBatch) {
        let Some(pid) = self.pid(&batch.from) else { return };
        let (incarnation, number) = self.last_received.get(&batch.from).copied().unwrap_or((0, 0));
        if batch.incarnation < incarnation || batch.incarnation == incarnation && batch.number <= number {
            return;
        }
        self.last_received.insert(batch.from.clone(), (batch.incarnation, batch.number));
        if (batch.incarnation, batch.number) != (incarnation, number + 1) && (incarnation, number) != (0, 0) {
            self.paxos.reconnected(pid);
        }
        batch.messages.into_iter().for_each(|m| self.paxos.handle_incoming(m));
        self.collect_outgoing();
        self.apply_decided();
    }

    /// Returns this planner's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the name of the leader, as far as this replica knows it.
    pub fn leader(&self) -> Option<&str> {
        let (pid, _) = self.paxos.get_current_leader()?;
        self.names.get(pid as usize - 1).map(String::as_str)
    }

    /// Returns how many entries have been applied.
    pub fn applied(&self) -> usize {
        self.applied
    }
}
