//! What a front knew, kept as one consistent state, and how far it is trusted when it is read back. Deciding that is a
//! pure function here; what a machine of such a list may get is for those who start without the roster.

use serde::{Deserialize, Serialize};

/// Microseconds of the system's clock.
pub type Micros = u64;

/// What a front knew.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When it was written.
    #[serde(rename = "at")]
    pub written_at: Micros,
    /// Names that the list goes by, so that another deployment's is known as such.
    pub deployment: String,
    /// The list's version.
    pub index: u64,
    /// The list.
    #[serde(rename = "lines")]
    pub machines: Vec<MachineRecord>,
    /// The newest build's state, if any was told.
    #[serde(rename = "news")]
    pub rollout_status: Option<RolloutStatus>,
}

/// A machine, by names, as numbers hold for one deployment only.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Its number.
    pub machine: u32,
    /// Where it listens; empty if not known.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// The build that it runs.
    pub build: u16,
    /// Its cell.
    pub cell: u16,
    /// It takes work.
    pub ready: bool,
    /// Its size.
    pub weight: f64,
    /// When it started, in microseconds; 0 = long ago.
    #[serde(rename = "started")]
    pub started_at: Micros,
}

/// The newest build's state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The build.
    pub build: u16,
    /// Its stage.
    pub stage: u8,
    /// Its phase: 0 on trial, 1 going back, 2 released, 3 withdrawn.
    pub phase: u8,
    /// The cap.
    pub cap: f64,
    /// When it came to stand so.
    pub since: Micros,
}

/// TrustBounds of trust.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrustBounds {
    /// A list is as good as told up to this age.
    pub full_trust_age: Micros,
    /// And of no use from this age.
    pub no_trust_age: Micros,
    /// A clock may be ahead of another by so much.
    pub max_clock_skew: Micros,
}

/// How far a snapshot is trusted.
#[derive(Clone, Debug, PartialEq)]
pub enum Trust {
    /// As if it had been told just now.
    Full,
    /// From 1 just past fresh to 0 at stale.
    Part(f64),
    /// Not at all, and why.
    None(String),
}

/// How far a snapshot is trusted at `now`, in the deployment of this name, beside a configured list of version `index`.
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
