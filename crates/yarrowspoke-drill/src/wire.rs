//! The bench's binary frames: a bounded reader over a batch and a writer for the reply.

use thiserror::Error;
use yarrowspoke::interface::{Action, CallOutcome, ListUpdate, MachineEntry, MachineState, Phase, Vote};

/// Bytes of a batch header.
pub const BATCH_HEADER: usize = 20;
/// Bytes of a reply header.
pub const REPLY_HEADER: usize = 12;
const ENTRY_BYTES: usize = 26;

/// What is wrong with the input, and where.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input ended inside a frame.
    #[error("batch {batch}: input ended inside the frame ({what})")]
    Truncated {
        /// Number of the batch, 0 if its header was cut.
        batch: u32,
        /// The part that was cut.
        what: &'static str,
    },
    /// The stated size cannot be right.
    #[error("batch {batch}: stated length {length} disagrees with its records ({what})")]
    Length {
        /// Number of the batch.
        batch: u32,
        /// The stated length.
        length: u32,
        /// What disagrees.
        what: &'static str,
    },
    /// A record ran past the frame.
    #[error("byte {at}: record runs past the end of the frame")]
    Overrun {
        /// Position in the frame's body.
        at: usize,
    },
    /// An unknown code or value.
    #[error("byte {at}: unknown {what} {value}")]
    Unknown {
        /// Position in the frame's body.
        at: usize,
        /// What it should be.
        what: &'static str,
        /// What was read.
        value: u64,
    },
    /// An event for no instance.
    #[error("byte {at}: {what}")]
    Misplaced {
        /// Position in the frame's body.
        at: usize,
        /// What is wrong.
        what: String,
    },
    /// Settings that cannot be read.
    #[error("byte {at}: settings are not valid: {source}")]
    Settings {
        /// Position in the frame's body.
        at: usize,
        /// The reader's complaint.
        source: yarrowspoke_settings::SettingsError,
    },
    /// The stream failed.
    #[error("stream failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Reads fields from a frame's body.
pub struct Reader<'a> {
    body: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    /// A reader at the start of `body`.
    pub fn new(body: &'a [u8]) -> Self {
        Self { body, at: 0 }
    }

    /// Position in the body.
    pub fn at(&self) -> usize {
        self.at
    }

    /// True once all is read.
    pub fn done(&self) -> bool {
        self.at == self.body.len()
    }

    /// The next `n` bytes.
    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        let end = self.at.checked_add(n).filter(|&e| e <= self.body.len());
        let end = end.ok_or(WireError::Overrun { at: self.at })?;
        let out = &self.body[self.at..end];
        self.at = end;
        Ok(out)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.bytes(N)?);
        Ok(out)
    }

    /// A `u8`.
    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    /// A `u16`.
    pub fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    /// A `u32`.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    /// A `u64`.
    pub fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    /// An `f32`.
    pub fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    fn unknown<T>(&self, what: &'static str, value: u64) -> Result<T, WireError> {
        Err(WireError::Unknown { at: self.at, what, value })
    }

    /// An outcome.
    pub fn ending(&mut self) -> Result<CallOutcome, WireError> {
        Ok(match self.u8()? {
            0 => CallOutcome::Error,
            1 => CallOutcome::Ok,
            2 => CallOutcome::Rejected,
            3 => CallOutcome::Timeout,
            4 => CallOutcome::ConnectFailed,
            5 => CallOutcome::Reset,
            6 => CallOutcome::Cancelled,
            7 => CallOutcome::NotSent,
            v => return self.unknown("outcome", v.into()),
        })
    }

    /// A kind of list event.
    pub fn list_kind(&mut self) -> Result<ListUpdate, WireError> {
        Ok(match self.u8()? {
            0 => ListUpdate::Failed,
            1 => ListUpdate::Snapshot,
            2 => ListUpdate::Delta,
            3 => ListUpdate::Cached,
            v => return self.unknown("list kind", v.into()),
        })
    }

    /// A build's phase.
    pub fn phase(&mut self) -> Result<Phase, WireError> {
        Ok(match self.u8()? {
            0 => Phase::Trial,
            1 => Phase::RollingBack,
            2 => Phase::Released,
            3 => Phase::Withdrawn,
            v => return self.unknown("phase", v.into()),
        })
    }

    /// A load report.
    pub fn load(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    /// The entries of a `PAGE`; a claimed count is checked before anything is set aside for it.
    pub fn entries(&mut self) -> Result<Vec<MachineEntry>, WireError> {
        let n = self.u32()? as usize;
        let size = n.checked_mul(ENTRY_BYTES).ok_or(WireError::Overrun { at: self.at })?;
        let mut rows = Reader::new(self.bytes(size)?);
        (0..n).map(|_| rows.entry()).collect()
    }

    fn entry(&mut self) -> Result<MachineEntry, WireError> {
        Ok(MachineEntry {
            machine: self.u32()?,
            zone: self.u16()?,
            kind: self.u8()?,
            build: self.f32()?.max(0.0) as u16,
            cell: self.u16()?,
            state: match self.u8()? {
                0 => MachineState::Gone,
                1 => MachineState::Ready,
                2 => MachineState::Draining,
                v => return self.unknown("machine state", v.into()),
            },
            weight: f64::from(self.f32()?),
            started_at: self.u64()?,
        })
    }
}

/// Gathers the records of one reply.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    records: u32,
    instance: Option<u32>,
}

impl Reply {
    /// Forgets the last reply's records.
    pub fn clear(&mut self) {
        self.body.clear();
        self.records = 0;
        self.instance = None;
    }

    fn code(&mut self, code: u8) -> &mut Self {
        self.records += 1;
        self.body.push(code);
        self
    }

    fn u8(&mut self, v: u8) -> &mut Self {
        self.body.push(v);
        self
    }

    fn u16(&mut self, v: u16) -> &mut Self {
        self.body.extend_from_slice(&v.to_le_bytes());
        self
    }

    fn u32(&mut self, v: u32) -> &mut Self {
        self.body.extend_from_slice(&v.to_le_bytes());
        self
    }

    fn u64(&mut self, v: u64) -> &mut Self {
        self.body.extend_from_slice(&v.to_le_bytes());
        self
    }

    fn span(&mut self, v: u64) -> &mut Self {
        self.u32(u32::try_from(v).unwrap_or(u32::MAX))
    }

    fn blob(&mut self, bytes: &[u8]) -> &mut Self {
        let n = u16::try_from(bytes.len()).unwrap_or(u16::MAX);
        self.u16(n);
        self.body.extend_from_slice(&bytes[..usize::from(n)]);
        self
    }

    fn select(&mut self, instance: u32) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.code(29).u32(instance);
        }
    }

    /// Reports a defect inside the decision module.
    pub fn give_in(&mut self, instance: u32, text: &str) {
        self.select(instance);
        self.code(21).blob(text.as_bytes());
    }

    /// Adds one action of `instance`.
    pub fn push(&mut self, instance: u32, action: &Action) {
        self.select(instance);
        match action {
            Action::Send { id, machine, timeout } => self.code(26).u64(*id).u32(*machine).span(*timeout),
            Action::Refuse { id, retry_after: backoff } => self.code(25).u64(*id).span(*backoff),
            Action::Fail { id } => self.code(28).u64(*id),
            Action::Cancel { id, attempt } => self.code(16).u64(*id).u16(*attempt),
            Action::Probe { machine } => self.code(22).u32(*machine),
            Action::Subscribe(on) => self.code(23).u8(u8::from(*on)),
            Action::FetchList => self.code(18),
            Action::Timer { name, after } => self.code(27).u64(*name).span(*after),
            Action::Vote { build, stage, vote: verdict } => {
                let how = match verdict {
                    Vote::Withdraw => 0,
                    Vote::Advance => 1,
                    Vote::Hold => 2,
                    Vote::RollBack => 3,
                };
                self.code(24).u16(*build).u8(*stage).u8(how)
            }
            Action::CloseIdle { machine } => self.code(20).u32(*machine),
            Action::SendToPeer { peer, bytes } => self.code(17).u16(peer.unwrap_or(u16::MAX)).blob(bytes),
            Action::Log(text) => self.code(19).blob(text.as_bytes()),
        };
    }

    /// The whole frame answering `batch`.
    pub fn frame(&self, batch: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(REPLY_HEADER + self.body.len());
        out.extend_from_slice(&batch.to_le_bytes());
        out.extend_from_slice(&self.records.to_le_bytes());
        let length = u32::try_from(REPLY_HEADER + self.body.len()).unwrap_or(u32::MAX);
        out.extend_from_slice(&length.to_le_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}
