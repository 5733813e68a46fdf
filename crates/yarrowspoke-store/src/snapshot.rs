//! The state of a front, stored as one consistent snapshot, and how far it is trusted when it is read back. The trust
//! decision is a pure function here. How much traffic a machine of such a list may receive is decided by the code that
//! starts without a current list.

use serde::{Deserialize, Serialize};

/// Microseconds of the system clock.
pub type Micros = u64;

/// The stored state of a front.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When the snapshot was written.
    #[serde(rename = "at")]
    pub written_at: Micros,
    /// Names that the list refers to, by which a snapshot of another deployment is recognised.
    pub deployment: String,
    /// Version of the list.
    pub index: u64,
    /// Machines of the list.
    #[serde(rename = "lines")]
    pub machines: Vec<MachineRecord>,
    /// Rollout status of the newest build, if any was received.
    #[serde(rename = "news")]
    pub rollout_status: Option<RolloutStatus>,
}

/// A machine of the list. Zone and kind are stored by name, since their numbers are valid within one deployment only.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Number of the machine.
    pub machine: u32,
    /// Address on which it listens; empty if unknown.
    pub address: String,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// Build that it runs.
    pub build: u16,
    /// Number of its cell.
    pub cell: u16,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Relative capacity.
    pub weight: f64,
    /// When it started, in microseconds; 0 = long ago.
    #[serde(rename = "started")]
    pub started_at: Micros,
}

/// Rollout status of the newest build.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The build.
    pub build: u16,
    /// Stage of its rollout.
    pub stage: u8,
    /// Phase: 0 on trial, 1 rolling back, 2 released, 3 withdrawn.
    pub phase: u8,
    /// Exposure cap.
    pub cap: f64,
    /// Since when this status has been in force.
    pub since: Micros,
}

/// Limits that decide how far a snapshot is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrustBounds {
    /// Maximum age at which a list is trusted like one just received.
    pub full_trust_age: Micros,
    /// Age from which a list is not used.
    pub no_trust_age: Micros,
    /// Maximum difference between two clocks.
    pub max_clock_skew: Micros,
}

/// How far a snapshot is trusted.
#[derive(Clone, Debug, PartialEq)]
pub enum Trust {
    /// As if it had just been received.
    Full,
    /// Partly: from 1 just above `full_trust_age` down to 0 at `no_trust_age`.
    Part(f64),
    /// Not at all, for this reason.
    None(String),
}

/// Returns how far a snapshot is trusted at `now` in the deployment of this name, compared with a configured list of
/// version `index`.
pub fn trust(snapshot: &Snapshot, now: Micros, deployment: &str, index: u64, bounds: &TrustBounds) -> Trust {
    if snapshot.deployment != deployment {
        return Trust::None(format!("of deployment {:?}, this is {deployment:?}", snapshot.deployment));
    }
    if snapshot.written_at > now.saturating_add(bounds.max_clock_skew) {
        let ahead = (snapshot.written_at - now) as f64 / 1e6;
        return Trust::None(format!("written {ahead:.0} s in the future: a clock was set back or forward"));
    }
    if snapshot.index < index {
        return Trust::None(format!("version {}, the configuration has {index}", snapshot.index));
    }
    let age = now.saturating_sub(snapshot.written_at);
    if age <= bounds.full_trust_age {
        return Trust::Full;
    }
    if age >= bounds.no_trust_age {
        return Trust::None(format!(
            "{} s old, of no use from {} s",
            age / 1_000_000,
            bounds.no_trust_age / 1_000_000
        ));
    }
    Trust::Part(
        (bounds.no_trust_age - age) as f64 / (bounds.no_trust_age - bounds.full_trust_age).max(1) as f64,
    )
}
