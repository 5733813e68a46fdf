//! The settings of a fleet, from the section `fleet` of the operator's file.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Forwards requests, and reports to every planner.
    Front,
    /// Collects reports, grants leases and decides about stragglers.
    Planner,
}

/// A member of the fleet. Its address may change, its name may not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the member, the same over all restarts.
    pub name: String,
    /// Role of the member.
    pub role: Role,
    /// Zone of a front; empty for a planner.
    pub zone: String,
    /// Address on which a planner listens, as this member reaches it.
    pub address: Option<SocketAddr>,
}

/// What a front does that holds no lease and has established that no planner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Alone {
    /// It continues on its own sources, as it would without a fleet.
    Serve,
    /// It stays narrowed.
    Narrow,
}

/// The most members of a group, as a number or as a share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// A number of members.
    Number(usize),
    /// A share of the group, rounded down, but at least one where the group has more than one member.
    Share(f64),
}

impl Limit {
    /// Returns the limit for a group of this size.
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
    /// Whole lists, whenever the receiver may not have the list.
    Whole,
    /// Deltas against a base that the receiver named; whole lists only on request.
    Delta,
}

/// The planners to which a front sends its spans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spans {
    /// To every planner.
    All,
    /// To its home planner. The other planners get them by anti-entropy, or from the front itself after a time limit.
    Home,
}

/// Settings for heartbeats that are sent at a pace while nothing changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Paced {
    /// Time between two heartbeats to each planner, and between two spans, while nothing changes.
    pub pace: Micros,
    /// How lists pass.
    pub lists: Lists,
    /// Where spans are sent.
    pub spans: Spans,
}

/// The settings of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// All members, in the order of the file.
    pub members: Vec<Member>,
    /// Time between two heartbeats of a front to each planner, and between two spans of its record.
    pub renew: Micros,
    /// Duration of a lease, on the front's clock from when it sent its heartbeat.
    pub lease: Micros,
    /// Largest relative drift between two monotonic clocks.
    pub drift: f64,
    /// A front that is behind for longer than this is noted.
    pub behind: Micros,
    /// A front that is behind for longer than this is quarantined.
    pub shut_after: Micros,
    /// A quarantined front that is current for this long returns to service.
    pub back_after: Micros,
    /// A narrowed front must not send anything if its own source has not confirmed its list for longer than this.
    pub list_within: Micros,
    /// Most fronts quarantined at once; fronts that are out for other reasons count.
    pub most_out: Limit,
    /// Most fronts of each zone quarantined at once, counted alike.
    pub most_out_zone: Limit,
    /// What a front does without any planner.
    pub alone: Alone,
    /// Most bytes of reports that a planner retains.
    pub keep_bytes: u64,
    /// How long a planner retains reports.
    pub keep: Micros,
    /// Spans that a front retains for planners that it cannot reach; beyond this number, the oldest are joined.
    pub outbox: usize,
    /// Heartbeats at a pace while nothing changes; without it, at every renewal and with whole lists.
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
    /// Returns the planners, in the order of the file.
    pub fn planners(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.role == Role::Planner)
    }

    /// Returns the fronts, in the order of the file.
    pub fn fronts(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.role == Role::Front)
    }

    /// Returns how many planners are a majority.
    pub fn majority(&self) -> usize {
        self.planners().count() / 2 + 1
    }

    /// Returns the member of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| m.name == name)
    }

    /// Returns the longest time, on a planner's own clock, for which a lease that it granted just now may be in
    /// force. The drift counts on both sides.
    pub fn lease_upper_bound(&self) -> Micros {
        (self.lease as f64 * (1.0 + 2.0 * self.drift)).ceil() as Micros
    }

    /// Returns the settings on which all members must agree, as text. Addresses are left out, since they differ from
    /// member to member. The text is the `Debug` form, so a renamed field changes it.
    pub fn shared_settings(&self) -> String {
        let named: Vec<_> = self.members.iter().map(|m| (&m.name, m.role, &m.zone)).collect();
        let rest = Self { members: Vec::new(), ..self.clone() };
        format!("{named:?} {rest:?}")
    }
}
