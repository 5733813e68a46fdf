//! The agreed log of the planners: omnipaxos over the fleet's links, its state on a journal that is synced before any promise.

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

/// Ticks between two rounds of heartbeats, and between two times that something lost is sent again.
const ELECTION_TICKS: u64 = 4;
const RESEND_TICKS: u64 = 10;
/// Most messages of one batch.
const BATCH: usize = 64;

/// An entry as the log holds it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Logged(pub Entry);

impl omnipaxos::storage::Entry for Logged {
    type Snapshot = NoSnapshot;
}

/// What the journal holds: operations, those of one append all or none.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Op {
    Append(Vec<Logged>),
    OnPrefix(u64, Vec<Logged>),
    Promise(Ballot),
    Accepted(Ballot),
    Decided(u64),
    Stop(Option<StopSign>),
}

/// The log on its journal.
struct Log {
    journal: Option<Journal>,
    entries: Vec<Logged>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    stop: Option<StopSign>,
}

impl Log {
    fn open(path: Option<&Path>) -> io::Result<(Self, bool)> {
        let (journal, held) = match path.map(Journal::open::<Vec<Op>>) {
            Some(opened) => opened.map(|(j, held)| (Some(j), held))?,
            None => (None, vec![]),
        };
        let (entries, promise, accepted, decided, stop) = (vec![], None, None, 0, None);
        let mut log = Self { journal, entries, promise, accepted, decided, stop };
        let fresh = held.is_empty();
        held.into_iter().flatten().for_each(|op| log.apply(op));
        Ok((log, fresh))
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

    fn keep(&mut self, ops: Vec<Op>) -> StorageResult<()> {
        if let Some(journal) = &mut self.journal {
            if let Err(e) = journal.append(std::slice::from_ref(&ops)) {
                // Danger: nobody knows what is on disk now, and the library has no way to be told. Nothing may be promised
                // any more, so this planner ends; the others go on.
                eprintln!("yarrowspoke: the agreed log is not kept: {e}");
                std::process::exit(1);
            }
        }
        ops.into_iter().for_each(|op| self.apply(op));
        Ok(())
    }
}

impl Storage<Logged> for Log {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Logged>>) -> StorageResult<()> {
        let op = |op| match op {
            StorageOp::AppendEntry(e) => Some(Op::Append(vec![e])),
            StorageOp::AppendEntries(e) => Some(Op::Append(e)),
            StorageOp::AppendOnPrefix(from, e) => Some(Op::OnPrefix(from as u64, e)),
            StorageOp::SetPromise(b) => Some(Op::Promise(b)),
            StorageOp::SetAcceptedRound(b) => Some(Op::Accepted(b)),
            StorageOp::SetDecidedIndex(n) => Some(Op::Decided(n as u64)),
            StorageOp::SetStopsign(s) => Some(Op::Stop(s)),
            // Nothing is trimmed or put into snapshots here.
            StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => None,
        };
        self.keep(ops.into_iter().filter_map(op).collect())
    }

    fn append_entry(&mut self, entry: Logged) -> StorageResult<()> {
        self.keep(vec![Op::Append(vec![entry])])
    }

    fn append_entries(&mut self, entries: Vec<Logged>) -> StorageResult<()> {
        self.keep(vec![Op::Append(entries)])
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<Logged>) -> StorageResult<()> {
        self.keep(vec![Op::OnPrefix(from_idx as u64, entries)])
    }

    fn set_promise(&mut self, n_prom: Ballot) -> StorageResult<()> {
        self.keep(vec![Op::Promise(n_prom)])
    }

    fn set_decided_idx(&mut self, ld: usize) -> StorageResult<()> {
        self.keep(vec![Op::Decided(ld as u64)])
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided)
    }

    fn set_accepted_round(&mut self, na: Ballot) -> StorageResult<()> {
        self.keep(vec![Op::Accepted(na)])
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Logged>> {
        Ok(self.entries.get(from..to).unwrap_or(&[]).to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Logged>> {
        Ok(self.entries.get(from..).unwrap_or(&[]).to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.promise)
    }

    fn set_stopsign(&mut self, s: Option<StopSign>) -> StorageResult<()> {
        self.keep(vec![Op::Stop(s)])
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

/// Messages from one planner to another, in order: a batch that comes late, behind a younger one, is dropped.
#[derive(Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Who sends.
    pub from: String,
    /// Which incarnation of it.
    pub incarnation: u64,
    /// Number of the batch in that incarnation, to this planner.
    pub number: u64,
    messages: Vec<Message<Logged>>,
}

/// The agreement, as one planner takes part in it.
pub struct Agree {
    paxos: OmniPaxos<Logged, Log>,
    /// The state agreed on, as far as it is known here.
    pub state: PermitState,
    applied: usize,
    names: Vec<String>,
    name: String,
    incarnation: u64,
    out: BTreeMap<String, Vec<Message<Logged>>>,
    sent: BTreeMap<String, u64>,
    came: BTreeMap<String, (u64, u64)>,
    /// Batches to these were lost: what came between has to be told anew.
    broken: BTreeMap<String, bool>,
}

/// Why a planner does not take part.
pub enum Apart {
    /// Its journal cannot be used.
    Io(io::Error),
    /// It remembers nothing, and was not said to be new. Danger: it may have promised something that it does not know any
    /// more, and a majority that counts on it would decide against what was decided.
    Forgot,
}

impl Agree {
    /// Takes part under this name, by the journal in a directory; `found` says that it never took part before.
    pub fn open(
        names: Vec<String>,
        name: &str,
        incarnation: u64,
        dir: Option<&Path>,
        found: bool,
    ) -> Result<Self, Apart> {
        let path = dir.map(|d| d.join("agreed"));
        let (log, fresh) = Log::open(path.as_deref()).map_err(Apart::Io)?;
        if fresh && !found {
            return Err(Apart::Forgot);
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
        let paxos = config.build(log).map_err(|e| Apart::Io(io::Error::other(e.to_string())))?;
        let empty = BTreeMap::new;
        let mut agree = Self {
            paxos,
            state: PermitState::default(),
            applied: 0,
            names,
            name: name.to_owned(),
            incarnation,
            out: BTreeMap::new(),
            sent: empty(),
            came: BTreeMap::new(),
            broken: BTreeMap::new(),
        };
        agree.learn();
        Ok(agree)
    }

    fn pid(&self, name: &str) -> Option<u64> {
        self.names.iter().position(|n| n == name).map(|p| p as u64 + 1)
    }

    /// Time goes on by a tick.
    pub fn tick(&mut self) {
        self.paxos.tick();
        self.gather();
        self.learn();
    }

    fn gather(&mut self) {
        let mut all = Vec::new();
        self.paxos.take_outgoing_messages(&mut all);
        for message in all {
            let to = message.get_receiver();
            if let Some(name) = self.names.get(to as usize - 1) {
                self.out.entry(name.clone()).or_default().push(message);
            }
        }
    }

    /// Applies what has been decided.
    fn learn(&mut self) {
        let decided = self.paxos.get_decided_idx();
        if decided <= self.applied {
            return;
        }
        for entry in self.paxos.read_decided_suffix(self.applied).unwrap_or_default() {
            if let LogEntry::Decided(Logged(entry)) = entry {
                self.state.apply(&entry);
            }
        }
        self.applied = decided;
    }

    /// Proposes an entry. It may be lost: whoever proposes looks whether it came about, and proposes again.
    pub fn propose(&mut self, entry: Entry) {
        if self.paxos.append(Logged(entry)).is_err() {
            log::warn!("fleet: an entry could not be proposed");
        }
        self.gather();
    }

    /// The next batch to a planner, if there is anything to say.
    pub fn batch(&mut self, to: &str) -> Option<Batch> {
        let waiting = self.out.get_mut(to).filter(|w| !w.is_empty())?;
        let messages: Vec<_> = waiting.drain(..waiting.len().min(BATCH)).collect();
        let number = self.sent.entry(to.to_owned()).or_default();
        *number += 1;
        Some(Batch { from: self.name.clone(), incarnation: self.incarnation, number: *number, messages })
    }

    /// How a batch went. After one that was lost, the next that arrives begins a session anew.
    pub fn went(&mut self, to: &str, arrived: bool) {
        let broken = self.broken.entry(to.to_owned()).or_default();
        if !arrived {
            *broken = true;
        } else if std::mem::take(broken) {
            if let Some(pid) = self.pid(to) {
                self.paxos.reconnected(pid);
                self.gather();
            }
        }
    }

    /// A batch has come.
    pub fn incoming(&mut self, batch: Batch) {
        let Some(pid) = self.pid(&batch.from) else { return };
        let (incarnation, number) = self.came.get(&batch.from).copied().unwrap_or((0, 0));
        if batch.incarnation < incarnation || batch.incarnation == incarnation && batch.number <= number {
            return;
        }
        self.came.insert(batch.from.clone(), (batch.incarnation, batch.number));
        if (batch.incarnation, batch.number) != (incarnation, number + 1) && (incarnation, number) != (0, 0) {
            self.paxos.reconnected(pid);
        }
        batch.messages.into_iter().for_each(|m| self.paxos.handle_incoming(m));
        self.gather();
        self.learn();
    }

    /// This planner's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<&str> {
        let (pid, _) = self.paxos.get_current_leader()?;
        self.names.get(pid as usize - 1).map(String::as_str)
    }

    /// Entries applied.
    pub fn applied(&self) -> usize {
        self.applied
    }
}
