//! The bench's binary frames: a bounds-checked reader for a batch and a writer for the reply.

use thiserror::Error;
use yarrowspoke::interface::{Action, CallOutcome, ListUpdate, MachineEntry, MachineState, Phase, Vote};

/// Size of a batch header in bytes.
pub const BATCH_HEADER: usize = 20;
/// Size of a reply header in bytes.
pub const REPLY_HEADER: usize = 12;
const ENTRY_BYTES: usize = 26;

/// An error in the input, with its position.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input ended inside a frame.
    #[error("batch {batch}: input ended inside the frame ({what})")]
    Truncated {
        /// Number of the batch; 0 if its header was truncated.
        batch: u32,
        /// The truncated part.
        what: &'static str,
    },
    /// The length in the header does not match the records.
    #[error("batch {batch}: stated length {length} disagrees with its records ({what})")]
    Length {
        /// Number of the batch.
        batch: u32,
        /// The length in the header.
        length: u32,
        /// How the length is wrong.
        what: &'static str,
    },
    /// A record runs past the end of the frame.
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
        /// The kind of value expected.
        what: &'static str,
        /// The value read.
        value: u64,
    },
    /// A record that is not valid at this point, such as an event for no running instance.
    #[error("byte {at}: {what}")]
    Misplaced {
        /// Position in the frame's body.
        at: usize,
        /// What is wrong.
        what: String,
    },
    /// Settings that cannot be parsed.
    #[error("byte {at}: settings are not valid: {source}")]
    Settings {
        /// Position in the frame's body.
        at: usize,
        /// Error of the parser.
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
    /// Creates a reader at the start of `body`.
    pub fn new(body: &'a [u8]) -> Self {
        Self { body, at: 0 }
    }

    /// Returns the position in the body.
    pub fn position(&self) -> usize {
        self.at
    }

    /// Returns whether all bytes have been read.
    pub fn is_at_end(&self) -> bool {
        self.at == self.body.len()
    }

    /// Reads the next `n` bytes.
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

    /// Reads a `u8`.
    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    /// Reads a `u16`.
    pub fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    /// Reads a `u32`.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    /// Reads a `u64`.
    pub fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    /// Reads an `f32`.
    pub fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    fn unknown<T>(&self, what: &'static str, value: u64) -> Result<T, WireError> {
        Err(WireError::Unknown { at: self.at, what, value })
    }

    /// Reads a call outcome.
    pub fn outcome(&mut self) -> Result<CallOutcome, WireError> {
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

    /// Reads the kind of a list update.
    pub fn list_update(&mut self) -> Result<ListUpdate, WireError> {
        Ok(match self.u8()? {
            0 => ListUpdate::Failed,
            1 => ListUpdate::Snapshot,
            2 => ListUpdate::Delta,
            3 => ListUpdate::Cached,
            v => return self.unknown("list kind", v.into()),
        })
    }

    /// Reads a rollout phase.
    pub fn phase(&mut self) -> Result<Phase, WireError> {
        Ok(match self.u8()? {
            0 => Phase::Trial,
            1 => Phase::RollingBack,
            2 => Phase::Released,
            3 => Phase::Withdrawn,
            v => return self.unknown("phase", v.into()),
        })
    }

    /// Reads a load report.
    pub fn load_report(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    /// Reads the entries of a `PAGE` record. The stated count is checked before memory is allocated for it.
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

/// Collects the records of a reply.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    records: u32,
    instance: Option<u32>,
}

impl Reply {
    /// Removes the records of the last reply.
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

    fn duration(&mut self, v: u64) -> &mut Self {
        self.u32(u32::try_from(v).unwrap_or(u32::MAX))
    }

    fn byte_string(&mut self, bytes: &[u8]) -> &mut Self {
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

    /// Adds a record that reports a failure inside the decision module.
    pub fn push_failure(&mut self, instance: u32, text: &str) {
        self.select(instance);
        self.code(21).byte_string(text.as_bytes());
    }

    /// Adds an action of `instance`.
    pub fn push(&mut self, instance: u32, action: &Action) {
        self.select(instance);
        match action {
            Action::Send { id, machine, timeout } => self.code(26).u64(*id).u32(*machine).duration(*timeout),
            Action::Refuse { id, retry_after } => self.code(25).u64(*id).duration(*retry_after),
            Action::Fail { id } => self.code(28).u64(*id),
            Action::Cancel { id, attempt } => self.code(16).u64(*id).u16(*attempt),
            Action::Probe { machine } => self.code(22).u32(*machine),
            Action::Subscribe(on) => self.code(23).u8(u8::from(*on)),
            Action::FetchList => self.code(18),
            Action::Timer { name, after } => self.code(27).u64(*name).duration(*after),
            Action::Vote { build, stage, vote } => {
                let vote_code = match vote {
                    Vote::Withdraw => 0,
                    Vote::Advance => 1,
                    Vote::Hold => 2,
                    Vote::RollBack => 3,
                };
                self.code(24).u16(*build).u8(*stage).u8(vote_code)
            }
            Action::CloseIdle { machine } => self.code(20).u32(*machine),
            Action::SendToPeer { peer, bytes } => {
                self.code(17).u16(peer.unwrap_or(u16::MAX)).byte_string(bytes)
            }
            Action::Log(text) => self.code(19).byte_string(text.as_bytes()),
        };
    }

    /// Returns the complete frame that answers `batch`.
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
