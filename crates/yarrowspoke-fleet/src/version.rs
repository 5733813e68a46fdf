//! What a front acts on, and how two such things compare.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// How one thing stands to another. *Not comparable* is an answer of its own: it is told to operators, never guessed away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionOrder {
    /// It is newer.
    Newer,
    /// It is older.
    Older,
    /// They are the same.
    Equal,
    /// Neither comes after the other: an index that went back, one version with two contents, one stage with two caps.
    NotComparable,
}

/// Where a list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListSource {
    /// Held from before the start.
    #[serde(rename = "Held")]
    Cached,
    /// Discovery.
    Discovery,
}

/// A list of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Discovery's index.
    pub index: u64,
    /// Where it came from.
    pub source: ListSource,
    /// How often the index went back in this incarnation of the front: before and after, indices don't compare.
    pub epoch: u32,
    /// Of the machines, their states and builds.
    pub digest: u64,
}

impl List {
    /// How it stands to another.
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

/// State of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The build.
    pub build: u16,
    /// Its stage.
    pub stage: u8,
    /// 0 on trial, 1 released, 2 going back, 3 withdrawn: each comes after the last.
    pub phase: u8,
    /// The cap in millionths.
    pub cap: u32,
}

impl RolloutStatus {
    fn rank(&self) -> (u16, u8, u8) {
        (self.build, self.phase, if self.phase == 0 { self.stage } else { 0 })
    }

    /// How it stands to another.
    pub fn compare(&self, other: &Self) -> VersionOrder {
        match self.rank().cmp(&other.rank()) {
            std::cmp::Ordering::Greater => VersionOrder::Newer,
            std::cmp::Ordering::Less => VersionOrder::Older,
            std::cmp::Ordering::Equal if self.cap == other.cap => VersionOrder::Equal,
            std::cmp::Ordering::Equal => VersionOrder::NotComparable,
        }
    }

    /// Whether acting on it permits nothing that `other` does not: a way back, or a cap no higher for the same build.
    pub fn is_narrower_than(&self, other: &Self) -> bool {
        let back = self.phase >= 2 && other.phase < 2;
        self.build == other.build && (back || self.phase == other.phase && self.cap < other.cap)
    }
}

/// All that a front acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The list.
    pub list: List,
    /// The newest news; none before the first.
    #[serde(rename = "news")]
    pub rollout: Option<RolloutStatus>,
    /// Digest of the front's configuration file.
    pub config: u64,
    /// Digest of what the operator's file holds, members' addresses left out.
    pub operator: u64,
    /// Digest of the settings that all fronts share.
    pub settings: u64,
    /// Digest of the program's own build.
    pub program: u64,
}

impl Version {
    /// How the parts that move by themselves stand to another's: the list, then the news.
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

/// A digest of bytes, for versions: 64 bits of blake3.
pub fn digest(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}

/// A front's own sources, and how long ago they were last heard: microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// Discovery confirmed the list.
    pub list: Micros,
    /// The newest news came.
    #[serde(rename = "news")]
    pub rollout: Micros,
}
