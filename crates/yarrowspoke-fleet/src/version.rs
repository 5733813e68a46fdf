//! Versions: what a front acts on, and how two versions compare.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The order of one version relative to another. *Not comparable* is a result of its own, which is shown to operators
/// and never replaced by a guess.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionOrder {
    /// The version is newer than the other.
    Newer,
    /// The version is older than the other.
    Older,
    /// The versions are the same.
    Equal,
    /// Neither comes after the other: an index that went back, one index with two contents, or one stage with two
    /// caps.
    NotComparable,
}

/// Origin of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListSource {
    /// A cached list from before the start.
    #[serde(rename = "Held")]
    Cached,
    /// Discovery.
    Discovery,
}

/// The version of a list of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Discovery's index.
    pub index: u64,
    /// Origin of the list.
    pub source: ListSource,
    /// How often the index went back in this incarnation of the front. Indices of different epochs do not compare.
    pub epoch: u32,
    /// Digest of the machines, their states and builds.
    pub digest: u64,
}

impl List {
    /// Compares the list to another.
    pub fn compare(&self, other: &Self) -> VersionOrder {
        match self.index.cmp(&other.index) {
            _ if self.epoch != other.epoch => VersionOrder::NotComparable,
            std::cmp::Ordering::Greater => VersionOrder::Newer,
            std::cmp::Ordering::Less => VersionOrder::Older,
            std::cmp::Ordering::Equal if self.digest == other.digest => VersionOrder::Equal,
            std::cmp::Ordering::Equal => VersionOrder::NotComparable,
        }
    }
}

/// Rollout status of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The build.
    pub build: u16,
    /// Stage of the rollout.
    pub stage: u8,
    /// Phase of the rollout: 0 = on trial, 1 = released, 2 = rolling back, 3 = withdrawn. Each comes after the one
    /// before.
    pub phase: u8,
    /// The cap in millionths.
    pub cap: u32,
}

impl RolloutStatus {
    fn rank(&self) -> (u16, u8, u8) {
        (self.build, self.phase, if self.phase == 0 { self.stage } else { 0 })
    }

    /// Compares the status to another.
    pub fn compare(&self, other: &Self) -> VersionOrder {
        match self.rank().cmp(&other.rank()) {
            std::cmp::Ordering::Greater => VersionOrder::Newer,
            std::cmp::Ordering::Less => VersionOrder::Older,
            std::cmp::Ordering::Equal if self.cap == other.cap => VersionOrder::Equal,
            std::cmp::Ordering::Equal => VersionOrder::NotComparable,
        }
    }

    /// Returns whether acting on this status permits nothing that `other` does not: a rollback, or a lower cap in the
    /// same phase, of the same build.
    pub fn is_narrower_than(&self, other: &Self) -> bool {
        let back = self.phase >= 2 && other.phase < 2;
        self.build == other.build && (back || self.phase == other.phase && self.cap < other.cap)
    }
}

/// Everything that a front acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The list of machines.
    pub list: List,
    /// The newest rollout status; `None` before the first.
    #[serde(rename = "news")]
    pub rollout: Option<RolloutStatus>,
    /// Digest of the front's configuration file.
    pub config: u64,
    /// Digest of the operator's file, without the members' addresses.
    pub operator: u64,
    /// Digest of the settings that all fronts share.
    pub settings: u64,
    /// Digest of the running program.
    pub program: u64,
}

impl Version {
    /// Compares the parts that change by themselves: the list, then the rollout status.
    pub fn compare(&self, other: &Self) -> [VersionOrder; 2] {
        let rollout = match (&self.rollout, &other.rollout) {
            (Some(a), Some(b)) => a.compare(b),
            (None, None) => VersionOrder::Equal,
            (None, Some(_)) => VersionOrder::Older,
            (Some(_), None) => VersionOrder::Newer,
        };
        [self.list.compare(&other.list), rollout]
    }
}

/// Returns a digest of bytes for use in versions: 64 bits of BLAKE3.
pub fn digest(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}

/// How long ago a front last heard from its own sources, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// Time since discovery confirmed the list.
    pub list: Micros,
    /// Time since the newest rollout status came.
    #[serde(rename = "news")]
    pub rollout: Micros,
}
