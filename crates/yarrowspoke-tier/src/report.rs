//! What fronts tell each other: sums of outcomes, and opinions. Little-endian, at most [`MOST_BYTES`].
//!
//! A message is one byte for its sort, two for the build it speaks of, then its content. A report (1) has rows of
//! six bytes: the low 16 bits of the machine's number; a byte with the class (0 to 15), whether the machine runs the
//! build on trial (16) and what the pace is (32 a machine's report, 64 the front's own measure, 0 none); a byte with
//! outcomes (low four bits) and failures (high four); the pace as a 16-bit logarithm. An opinion (2) is one byte.

/// Most bytes of a message.
pub const MOST_BYTES: usize = 256;
/// Most outcomes in one row.
pub const MOST_IN_ROW: u8 = 15;
const HEAD: usize = 3;
const ROW: usize = 6;
/// Rows that one report holds.
pub const MOST_ROWS: usize = (MOST_BYTES - HEAD) / ROW;
/// Steps of a pace's logarithm.
const STEPS: f64 = 2_048.0;

/// A pace: time over expected work, as a machine reports it or as a front measures it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// Told by the machine.
    Reported(f64),
    /// Measured by the front.
    Own(f64),
}

impl Pace {
    /// The figure, whoever told it.
    pub fn value(self) -> f64 {
        match self {
            Self::Reported(v) | Self::Own(v) => v,
        }
    }
}

/// Outcomes of one machine and class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// Low 16 bits of the machine's number.
    pub machine: u16,
    /// The class, 0 to 15.
    pub class: u8,
    /// It runs the build that the report is on; otherwise an earlier one.
    pub trial: bool,
    /// Outcomes, 1 to 15.
    pub n: u8,
    /// Those that failed.
    pub bad: u8,
    /// The newest pace, if one was told.
    pub pace: Option<Pace>,
}

/// A message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Sums of outcomes since the last report.
    Report(u16, Vec<Row>),
    /// What a front that gathers makes of the build.
    Opinion(u16, u8),
}

impl Message {
    /// The bytes; rows beyond [`MOST_ROWS`] are left out.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Self::Report(build, rows) => {
                let mut bytes = vec![1];
                bytes.extend(build.to_le_bytes());
                for r in rows.iter().take(MOST_ROWS) {
                    let (sort, pace) = match r.pace {
                        Some(Pace::Reported(p)) => (32, code(p)),
                        Some(Pace::Own(p)) => (64, code(p)),
                        None => (0, 0),
                    };
                    bytes.extend(r.machine.to_le_bytes());
                    bytes.push(r.class & 15 | if r.trial { 16 } else { 0 } | sort);
                    bytes.push(r.n.min(MOST_IN_ROW) | r.bad.min(r.n).min(MOST_IN_ROW) << 4);
                    bytes.extend(pace.to_le_bytes());
                }
                bytes
            }
            Self::Opinion(build, opinion) => {
                let [low, high] = build.to_le_bytes();
                vec![2, low, high, *opinion]
            }
        }
    }

    /// Reads a message; `None` if it is none, in whole: a front trusts no part of what it cannot read.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&[sort, low, high], rest) = bytes.split_first_chunk::<HEAD>()?;
        let build = u16::from_le_bytes([low, high]);
        match sort {
            1 if bytes.len() <= MOST_BYTES && rest.len().is_multiple_of(ROW) => {
                let rows: Option<Vec<Row>> = rest.chunks_exact(ROW).map(row).collect();
                Some(Self::Report(build, rows?))
            }
            2 => <[u8; 1]>::try_from(rest).ok().map(|[opinion]| Self::Opinion(build, opinion)),
            _ => None,
        }
    }
}

fn row(bytes: &[u8]) -> Option<Row> {
    let &[low, high, what, counts, p, q] = bytes else { return None };
    let (n, bad, value) = (counts & 15, counts >> 4, decoded(u16::from_le_bytes([p, q])));
    let pace = match what >> 5 {
        0 => None,
        1 => Some(Pace::Reported(value)),
        2 => Some(Pace::Own(value)),
        _ => return None,
    };
    let machine = u16::from_le_bytes([low, high]);
    let row = Row { machine, class: what & 15, trial: what & 16 > 0, n, bad, pace };
    (n > 0 && bad <= n).then_some(row)
}

/// A pace from e^-16 to e^16 as a logarithm in steps of 1/2,048; what is no number or outside is at the bound.
fn code(pace: f64) -> u16 {
    (pace.max(f64::MIN_POSITIVE).ln() * STEPS + 32_768.0).clamp(0.0, 65_535.0) as u16
}

fn decoded(code: u16) -> f64 {
    ((f64::from(code) - 32_768.0) / STEPS).exp()
}
