//! The state that planners agree on: which fronts may be out of service, within which limits, and whether any front
//! may go out at all.
//!
//! This is a deterministic state machine: the same entries in the same order give the same state at every planner,
//! whatever its own files and clocks say. For that reason the limits and the lost fronts are entries too. The terms
//! follow RFC 0003: a *bracket* is a permit from its grant to its end, and *resource concurrency* is the limit on how
//! many are open. A permit that was granted and not yet taken up counts as open, and so does a front that is lost
//! without a permit: planned work waits for it.

use crate::mutant;
use crate::settings::Limit;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Orders retained for operators to read.
const OUTCOME_HISTORY_LEN: usize = 128;

/// The fronts, and how many of them may be out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Zone of each front.
    pub fronts: BTreeMap<String, String>,
    /// How many planners are a majority.
    pub majority: usize,
    /// Most fronts out in all.
    #[serde(rename = "most")]
    pub max_out: usize,
    /// Most fronts out in each zone.
    #[serde(rename = "most_of_zone")]
    pub max_out_by_zone: BTreeMap<String, usize>,
}

impl Limits {
    /// Computes the limits from a fleet's settings.
    pub fn from_settings(fleet: &crate::settings::Fleet) -> Self {
        let fronts: BTreeMap<String, String> =
            fleet.fronts().map(|m| (m.name.clone(), m.zone.clone())).collect();
        let of = |limit: Limit, n| limit.resolve(n);
        let zones: BTreeSet<&String> = fronts.values().collect();
        let in_zone = |z: &String| fronts.values().filter(|y| *y == z).count();
        let max_out_by_zone =
            zones.into_iter().map(|z| (z.clone(), of(fleet.most_out_zone, in_zone(z)))).collect();
        Self {
            majority: fleet.majority(),
            max_out: of(fleet.most_out, fronts.len()),
            max_out_by_zone,
            fronts,
        }
    }
}

/// An order by an operator, or by a desk on an operator's behalf. The `Debug` text of an order is stored and shown to
/// operators, so the names of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Takes a front out of service. The order applies to the incarnation that was live when it was given.
    Out {
        /// Name of the front.
        front: String,
        /// Incarnation of the front.
        incarnation: u64,
        /// Why the front is to go out.
        cause: String,
    },
    /// Returns a front to service.
    In {
        /// Name of the front.
        front: String,
    },
    /// Stops all further grants.
    Halt {
        /// Why grants stop.
        why: String,
    },
    /// Lifts the halt.
    Resume,
    /// Revokes the permit of a front that will not come back.
    Free {
        /// Name of the front.
        front: String,
        /// Number of the permit to revoke.
        number: u64,
    },
}

/// An entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// An order, refused if the count of orders differs from the one that its author knew.
    Order {
        /// The order.
        order: Order,
        /// The operator who gave it.
        by: String,
        /// The count of orders known to the author; `None` for orders that no other order can invalidate.
        #[serde(rename = "knows")]
        known_orders: Option<u64>,
        /// Identifies the order, so that its author can find its outcome.
        ticket: u64,
    },
    /// Replaces the limits.
    Limits(Limits),
    /// The fronts that a planner finds lost.
    View {
        /// Name of the planner.
        planner: String,
        /// Names of the fronts.
        lost: BTreeSet<String>,
    },
    /// The holder takes up its permit.
    Took {
        /// Name of the front.
        front: String,
        /// Number of the permit.
        number: u64,
        /// The incarnation that takes it up.
        incarnation: u64,
    },
    /// The holder is in service again, or has declined the permit.
    Done {
        /// Name of the front.
        front: String,
        /// Number of the permit.
        number: u64,
    },
}

/// Phase of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The permit may be taken up.
    Granted,
    /// The permit is taken up: the front is out, or about to go.
    Taken,
    /// The front is to return to service.
    Returning,
}

/// A permit to be out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Number of the permit; none is granted twice.
    pub number: u64,
    /// The incarnation of the front that the permit was granted to.
    pub incarnation: u64,
    /// Phase of the permit.
    pub phase: Phase,
    /// Why the front is to go out.
    pub cause: String,
}

/// Why an order was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Another order was given after the author looked at the state.
    #[error("planned on order {planned}, and {now} have been given: look again")]
    Moved {
        /// Count of orders that the author knew.
        planned: u64,
        /// Count of orders given.
        now: u64,
    },
    /// There is no such front.
    #[error("no front {0}")]
    #[serde(rename = "Nobody")]
    UnknownFront(String),
    /// The front holds no permit, or not this one.
    #[error("{0} holds no such permit")]
    NoPermit(String),
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PermitState {
    /// Count of orders that were carried out.
    pub orders: u64,
    /// Why no permits are granted, and who ordered that.
    pub halted: Option<(String, String)>,
    /// Orders that wait for room, in order of arrival: front, incarnation, cause.
    #[serde(rename = "waits")]
    pub waiting: Vec<(String, u64, String)>,
    /// Permits by front.
    pub permits: BTreeMap<String, Permit>,
    /// Number of the last permit granted.
    #[serde(rename = "last")]
    pub last_permit_number: u64,
    /// The limits.
    pub limits: Limits,
    /// By planner, the fronts that it finds lost.
    pub views: BTreeMap<String, BTreeSet<String>>,
    /// Outcomes of recent orders: ticket, refusal if any, and the order as text.
    pub outcomes: Vec<(u64, Option<Refusal>, String)>,
}

impl PermitState {
    /// Returns the fronts that a majority of planners finds lost.
    pub fn lost_fronts(&self) -> BTreeSet<&str> {
        let all = self.limits.fronts.keys().map(String::as_str);
        let is_lost =
            |f: &&str| self.views.values().filter(|v| v.contains(*f)).count() >= self.limits.majority.max(1);
        all.filter(is_lost).collect()
    }

    /// Returns whether this front may go out within the limits.
    fn has_room(&self, front: &str) -> bool {
        let (mut lost, limits) = (self.lost_fronts(), &self.limits);
        if mutant::active("unplanned-not-counted") {
            lost.clear();
        }
        let Some(zone) = limits.fronts.get(front) else { return false };
        let out: BTreeSet<&str> = lost.into_iter().chain(self.permits.keys().map(String::as_str)).collect();
        let of_zone = out.iter().filter(|f| limits.fronts.get(**f) == Some(zone)).count();
        !out.contains(front)
            && (out.len() < limits.max_out || mutant::active("limit-forgotten"))
            && (of_zone < limits.max_out_by_zone.get(zone).copied().unwrap_or(0)
                || mutant::active("zone-limit-forgotten"))
    }

    /// Applies an entry.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            // The author repeats an order if nobody answers in time; it is carried out only once.
            Entry::Order { ticket, .. } if self.outcomes.iter().any(|o| o.0 == *ticket) => {}
            Entry::Order { order, by, known_orders, ticket } => {
                let refused = known_orders
                    .filter(|k| *k != self.orders)
                    .map(|planned| Refusal::Moved { planned, now: self.orders })
                    .or_else(|| self.execute(order, by).err());
                self.orders += u64::from(refused.is_none());
                self.outcomes.push((*ticket, refused, format!("{by}: {order:?}")));
                if self.outcomes.len() > OUTCOME_HISTORY_LEN {
                    self.outcomes.remove(0);
                }
            }
            Entry::Limits(limits) => self.limits = limits.clone(),
            Entry::View { planner, lost } => drop(self.views.insert(planner.clone(), lost.clone())),
            Entry::Took { front, number, incarnation } => {
                let permit = self.permits.get_mut(front);
                if let Some(permit) = permit.filter(|p| (p.number, p.incarnation) == (*number, *incarnation))
                {
                    if permit.phase == Phase::Granted {
                        permit.phase = Phase::Taken;
                    }
                }
            }
            Entry::Done { front, number } => {
                if self.permits.get(front).is_some_and(|p| p.number == *number) {
                    self.permits.remove(front);
                }
            }
        }
        self.grant();
    }

    fn execute(&mut self, order: &Order, by: &str) -> Result<(), Refusal> {
        match order {
            Order::Out { front, incarnation, cause } => {
                if !self.limits.fronts.contains_key(front) {
                    return Err(Refusal::UnknownFront(front.clone()));
                }
                // Repeating an order has no effect; an order for a later incarnation replaces the one for an earlier
                // incarnation.
                self.waiting.retain(|w| w.0 != *front);
                if !self.permits.contains_key(front) {
                    self.waiting.push((front.clone(), *incarnation, cause.clone()));
                }
            }
            Order::In { front } => {
                self.waiting.retain(|w| w.0 != *front);
                let Some(permit) = self.permits.get_mut(front) else {
                    return Err(Refusal::NoPermit(front.clone()));
                };
                match permit.phase {
                    Phase::Granted => drop(self.permits.remove(front)),
                    _ => permit.phase = Phase::Returning,
                }
            }
            Order::Halt { why } => {
                self.halted = Some((why.clone(), by.to_owned()));
                // Permits that were granted and not taken up are withdrawn, and their orders wait again.
                let untaken = self.permits.iter().filter(|p| p.1.phase == Phase::Granted);
                let untaken: Vec<_> =
                    untaken.map(|(f, p)| (f.clone(), p.incarnation, p.cause.clone())).collect();
                untaken.iter().for_each(|w| drop(self.permits.remove(&w.0)));
                self.waiting.splice(0..0, untaken);
            }
            Order::Resume => self.halted = None,
            Order::Free { front, number } => {
                if self.permits.get(front).is_none_or(|p| p.number != *number) {
                    return Err(Refusal::NoPermit(front.clone()));
                }
                self.permits.remove(front);
            }
        }
        Ok(())
    }

    fn grant(&mut self) {
        if self.halted.is_some() && !mutant::active("halt-ignored") {
            return;
        }
        for (front, incarnation, cause) in std::mem::take(&mut self.waiting) {
            if self.has_room(&front) {
                self.last_permit_number += 1;
                let (number, phase) = (self.last_permit_number, Phase::Granted);
                self.permits.insert(front, Permit { number, incarnation, phase, cause });
            } else {
                self.waiting.push((front, incarnation, cause));
            }
        }
    }
}

/// What a front reports of its permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// The front asks to take up the permit.
    #[serde(rename = "Asks")]
    Request,
    /// The front is out.
    Out,
    /// The front is in service again.
    In,
    /// The permit arrived too late, or for another incarnation.
    #[serde(rename = "Declines")]
    Decline,
}

/// The holder's side of a permit. A permit that arrives late, twice, or from a planner that lost contact must not be
/// used, so it is taken up only while it is recent by the holder's own clock, only for this incarnation, and only
/// once.
#[derive(Clone, Debug, Default)]
pub struct PermitHolder {
    state: Option<(u64, PermitMessage, crate::Micros)>,
}

impl PermitHolder {
    /// Handles what a planner reports of this front's permit, or that there is none. A requested permit may be taken
    /// up for at most `within`.
    pub fn observe(
        &mut self,
        now: crate::Micros,
        own_incarnation: u64,
        permit: Option<&Permit>,
        within: crate::Micros,
    ) {
        let Some(permit) = permit.filter(|p| p.incarnation == own_incarnation) else { return };
        let last = self.state.map_or(0, |h| h.0);
        match (permit.phase, self.state) {
            (Phase::Granted, _) if permit.number > last => {
                self.state = Some((permit.number, PermitMessage::Request, now))
            }
            (Phase::Taken, Some((number, PermitMessage::Request, since))) if number == permit.number => {
                let message = if now.saturating_sub(since) <= within {
                    PermitMessage::Out
                } else {
                    PermitMessage::Decline
                };
                self.state = Some((number, message, now));
            }
            (Phase::Returning, Some((number, PermitMessage::Request | PermitMessage::Out, _)))
                if number == permit.number =>
            {
                self.state = Some((number, PermitMessage::In, now));
            }
            // The permit was taken up, but not at the request of this process.
            (Phase::Taken | Phase::Returning, _) if permit.number > last => {
                self.state = Some((permit.number, PermitMessage::Decline, now));
            }
            _ => {}
        }
    }

    /// Handles the end of the permit.
    pub fn end_permit(&mut self, now: crate::Micros) {
        if let Some((number, PermitMessage::Out, _)) = self.state {
            self.state = Some((number, PermitMessage::In, now));
        }
    }

    /// Returns whether the front is out by a permit.
    pub fn is_out(&self) -> bool {
        matches!(self.state, Some((_, PermitMessage::Out, _)))
    }

    /// Returns what the front reports of its permit: its number and the message.
    pub fn message(&self) -> Option<(u64, PermitMessage)> {
        self.state.map(|h| (h.0, h.1))
    }
}
