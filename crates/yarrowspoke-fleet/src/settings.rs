//! The section `fleet` of the operator's file, as values.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a member does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Forwards, and reports to every planner.
    Front,
    /// Gathers reports, grants leases and judges stragglers.
    Planner,
}

/// One member. Its address may change, its name may not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name, the same over all restarts.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Its zone; fronts only.
    pub zone: String,
    /// Where a planner listens, as this member reaches it.
    pub address: Option<SocketAddr>,
}

/// What a front does that holds no lease and has found out that no planner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Alone {
    /// Goes on by its own sources, as without a fleet.
    Serve,
    /// Stays narrowed.
    Narrow,
}

/// So many, as a number or as a share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// A number.
    Number(usize),
    /// A share of the group, rounded down, but one where the group has more than one.
    Share(f64),
}

impl Limit {
    /// Out of a group of so many.
    pub fn resolve(&self, group: usize) -> usize {
        match *self {
            Self::Number(n) => n.min(group),
            Self::Share(share) => ((group as f64 * share).floor() as usize).max(usize::from(group > 1)),
        }
    }
}

/// How lists of machines pass between fronts and planners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lists {
    /// Whole, wherever the other side may not have it.
    Whole,
    /// As a delta against a base that the other side named; whole only where one asks for it.
    Delta,
}

/// To which planners a front carries its spans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spans {
    /// To every planner.
    All,
    /// To its home planner; the others have them by anti-entropy, or from the front itself after a bound.
    Home,
}

/// Control at a pace set by what changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Paced {
    /// Time between two heartbeats at each planner, and between two spans, while nothing changes.
    pub pace: Micros,
    /// How lists pass.
    pub lists: Lists,
    /// Where spans go.
    pub spans: Spans,
}

/// The section.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// All members, in the order of the file.
    pub members: Vec<Member>,
    /// Time between two heartbeats of a front at each planner, and between two spans of its record.
    pub renew: Micros,
    /// How long a lease lasts, on the front's clock from when it sent its heartbeat.
    pub lease: Micros,
    /// Most by which two monotonic clocks drift apart, as a share.
    pub drift: f64,
    /// Behind for longer than this, a front is noted.
    pub behind: Micros,
    /// Behind for longer than this, a front is to be quarantined.
    pub shut_after: Micros,
    /// Current for so long, a front that was quarantined comes back in.
    pub back_after: Micros,
    /// A list that its own source has not confirmed for so long is no ground for a narrowed front to send on.
    pub list_within: Micros,
    /// Most fronts quarantined at once, those out by themselves counted in.
    pub most_out: Limit,
    /// The same for each zone.
    pub most_out_zone: Limit,
    /// Without any planner.
    pub alone: Alone,
    /// Most bytes of reports that a planner keeps.
    pub keep_bytes: u64,
    /// How long a planner keeps them.
    pub keep: Micros,
    /// Spans that a front keeps for planners that it can't reach, before older ones are joined.
    pub outbox: usize,
    /// Control at a pace set by what changed; without it at every renewal, with whole lists.
    pub paced: Option<Paced>,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            renew: 200_000,
            lease: 2_000_000,
            drift: 0.01,
            behind: 1_000_000,
            shut_after: 30_000_000,
            back_after: 2_000_000,
            list_within: 10_000_000,
            most_out: Limit::Share(0.2),
            most_out_zone: Limit::Share(0.5),
            alone: Alone::Serve,
            keep_bytes: 256 * 1024 * 1024,
            keep: 7 * 86_400_000_000,
            outbox: 1_024,
            paced: None,
        }
    }
}

impl Fleet {
    /// Planners, in the order of the file.
    pub fn planners(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.role == Role::Planner)
    }

    /// Fronts, in the order of the file.
    pub fn fronts(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.role == Role::Front)
    }

    /// How many planners are a majority.
    pub fn majority(&self) -> usize {
        self.planners().count() / 2 + 1
    }

    /// The member of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| m.name == name)
    }

    /// How long a planner holds a lease for live that it granted just now, on its own clock: drift counts on both sides.
    pub fn lease_upper_bound(&self) -> Micros {
        (self.lease as f64 * (1.0 + 2.0 * self.drift)).ceil() as Micros
    }

    /// What the members are to agree on, as text: addresses are left out, as they differ from member to member.
    pub fn terms(&self) -> String {
        let named: Vec<_> = self.members.iter().map(|m| (&m.name, m.role, &m.zone)).collect();
        let rest = Self { members: Vec::new(), ..self.clone() };
        format!("{named:?} {rest:?}")
    }
}
