//! What planners agree on: who may be out of service, within which limits, and whether anything may go out at all.
//!
//! A deterministic machine: the same entries in the same order give the same state at every planner, whatever its own files and
//! clocks say; so limits, and who is lost, come in as entries too. After RFC 0003: a *bracket* is a permit from its grant
//! to its end, *resource concurrency* the limit on how many are open. A permit that was granted and not taken yet counts as
//! open, and so does a front that is lost by itself: planned work waits for it.

use crate::mutant;
use crate::settings::Limit;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Orders kept for operators to read.
const HISTORY: usize = 128;

/// Who there is and how many may be out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Fronts with their zones.
    pub fronts: BTreeMap<String, String>,
    /// How many planners are a majority.
    pub majority: usize,
    /// Most out of all.
    #[serde(rename = "most")]
    pub max_out: usize,
    /// Most out of each zone.
    #[serde(rename = "most_of_zone")]
    pub max_out_by_zone: BTreeMap<String, usize>,
}

impl Limits {
    /// Those of a fleet's settings.
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

/// What an operator, or a desk in his name, orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// A front is to go out of service, for this cause; the incarnation meant is the one heard when it was ordered.
    Out {
        /// The front.
        front: String,
        /// Its incarnation.
        incarnation: u64,
        /// Why.
        cause: String,
    },
    /// It is to come back.
    In {
        /// The front.
        front: String,
    },
    /// Nothing new goes out from now on.
    Halt {
        /// Why.
        why: String,
    },
    /// The halt is lifted.
    Resume,
    /// The permit of a front that will not come back is taken from it by name.
    Free {
        /// The front.
        front: String,
        /// The permit meant.
        number: u64,
    },
}

/// An entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// An order, by whom, with the count of orders that he knew; refused if that has moved.
    Order {
        /// What.
        order: Order,
        /// In whose name.
        by: String,
        /// The count of orders known; `None` for those that no other order can spoil.
        #[serde(rename = "knows")]
        known_orders: Option<u64>,
        /// Names the order, so that whoever gave it finds what became of it.
        ticket: u64,
    },
    /// The limits from now on.
    Limits(Limits),
    /// Fronts that a planner does not hear.
    View {
        /// The planner.
        planner: String,
        /// The fronts.
        lost: BTreeSet<String>,
    },
    /// The holder takes its permit up.
    Took {
        /// The front.
        front: String,
        /// The permit.
        number: u64,
        /// The incarnation that takes it.
        incarnation: u64,
    },
    /// It is in service again, or has declined.
    Done {
        /// The front.
        front: String,
        /// The permit.
        number: u64,
    },
}

/// How far a permit is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It may be taken up.
    Granted,
    /// Taken up: the front is out, or about to go.
    Taken,
    /// It is to come back.
    Returning,
}

/// A permit to be out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Its number; none is given twice.
    pub number: u64,
    /// The incarnation of the front that it was given to.
    pub incarnation: u64,
    /// How far it is.
    pub phase: Phase,
    /// Why.
    pub cause: String,
}

/// Why an order was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Another order came before it.
    #[error("planned on order {planned}, and {now} have been given: look again")]
    Moved {
        /// What he knew.
        planned: u64,
        /// What there is.
        now: u64,
    },
    /// No such front.
    #[error("no front {0}")]
    #[serde(rename = "Nobody")]
    UnknownFront(String),
    /// It holds no permit, or not this one.
    #[error("{0} holds no such permit")]
    NoPermit(String),
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PermitState {
    /// Orders that were followed.
    pub orders: u64,
    /// Why nothing new goes out, and who said so.
    pub halted: Option<(String, String)>,
    /// What waits, in the order in which it came: front, incarnation, cause.
    #[serde(rename = "waits")]
    pub waiting: Vec<(String, u64, String)>,
    /// Permits by front.
    pub permits: BTreeMap<String, Permit>,
    /// The last permit's number.
    #[serde(rename = "last")]
    pub last_permit_number: u64,
    /// The limits.
    pub limits: Limits,
    /// By planner, the fronts that it does not hear.
    pub views: BTreeMap<String, BTreeSet<String>>,
    /// What became of orders lately, by ticket; and what they were, in words.
    pub outcomes: Vec<(u64, Option<Refusal>, String)>,
}

impl PermitState {
    /// Fronts that a majority of planners does not hear.
    pub fn lost_fronts(&self) -> BTreeSet<&str> {
        let all = self.limits.fronts.keys().map(String::as_str);
        let unheard =
            |f: &&str| self.views.values().filter(|v| v.contains(*f)).count() >= self.limits.majority.max(1);
        all.filter(unheard).collect()
    }

    /// Whether one more front of this name may be out.
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
            // Given again because nobody answered in time: one deed.
            Entry::Order { ticket, .. } if self.outcomes.iter().any(|o| o.0 == *ticket) => {}
            Entry::Order { order, by, known_orders, ticket } => {
                let refused = known_orders
                    .filter(|k| *k != self.orders)
                    .map(|planned| Refusal::Moved { planned, now: self.orders })
                    .or_else(|| self.follow(order, by).err());
                self.orders += u64::from(refused.is_none());
                self.outcomes.push((*ticket, refused, format!("{by}: {order:?}")));
                if self.outcomes.len() > HISTORY {
                    self.outcomes.remove(0);
                }
            }
            Entry::Limits(limits) => self.limits = limits.clone(),
            Entry::View { planner, lost } => drop(self.views.insert(planner.clone(), lost.clone())),
            Entry::Took { front, number, incarnation } => {
                let permit = self.permits.get_mut(front);
                if let Some(p) = permit.filter(|p| (p.number, p.incarnation) == (*number, *incarnation)) {
                    if p.phase == Phase::Granted {
                        p.phase = Phase::Taken;
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

    fn follow(&mut self, order: &Order, by: &str) -> Result<(), Refusal> {
        match order {
            Order::Out { front, incarnation, cause } => {
                if !self.limits.fronts.contains_key(front) {
                    return Err(Refusal::UnknownFront(front.clone()));
                }
                // Asking twice is asking once; a later incarnation's wish takes the place of an earlier one's.
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
                // What was granted and not taken is taken back, and waits again.
                let idle = self.permits.iter().filter(|p| p.1.phase == Phase::Granted);
                let idle: Vec<_> = idle.map(|(f, p)| (f.clone(), p.incarnation, p.cause.clone())).collect();
                idle.iter().for_each(|w| drop(self.permits.remove(&w.0)));
                self.waiting.splice(0..0, idle);
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

/// What a front says of its permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// It asks to take it up.
    #[serde(rename = "Asks")]
    Request,
    /// It is out.
    Out,
    /// It is in service again.
    In,
    /// It came too late, or for another incarnation.
    #[serde(rename = "Declines")]
    Decline,
}

/// A holder's side of a permit. Danger: a permit that comes late, twice, or from a planner that lost touch must not be used:
/// it is taken up only while it is young by the holder's own clock, for this incarnation, and once.
#[derive(Clone, Debug, Default)]
pub struct PermitHolder {
    held: Option<(u64, PermitMessage, crate::Micros)>,
}

impl PermitHolder {
    /// A planner shows this front's permit, or that there is none; `within` is how long a permit asked for may be taken up.
    pub fn observe(&mut self, now: crate::Micros, mine: u64, permit: Option<&Permit>, within: crate::Micros) {
        let Some(p) = permit.filter(|p| p.incarnation == mine) else { return };
        let last = self.held.map_or(0, |h| h.0);
        match (p.phase, self.held) {
            (Phase::Granted, _) if p.number > last => {
                self.held = Some((p.number, PermitMessage::Request, now))
            }
            (Phase::Taken, Some((n, PermitMessage::Request, since))) if n == p.number => {
                let word = if now.saturating_sub(since) <= within {
                    PermitMessage::Out
                } else {
                    PermitMessage::Decline
                };
                self.held = Some((n, word, now));
            }
            (Phase::Returning, Some((n, PermitMessage::Request | PermitMessage::Out, _)))
                if n == p.number =>
            {
                self.held = Some((n, PermitMessage::In, now));
            }
            // A permit taken by an incarnation of this name that is not this one's doing.
            (Phase::Taken | Phase::Returning, _) if p.number > last => {
                self.held = Some((p.number, PermitMessage::Decline, now));
            }
            _ => {}
        }
    }

    /// Its permit is no more.
    pub fn end_permit(&mut self, now: crate::Micros) {
        if let Some((number, PermitMessage::Out, _)) = self.held {
            self.held = Some((number, PermitMessage::In, now));
        }
    }

    /// Whether it is out by a permit.
    pub fn is_out(&self) -> bool {
        matches!(self.held, Some((_, PermitMessage::Out, _)))
    }

    /// What it tells planners.
    pub fn message(&self) -> Option<(u64, PermitMessage)> {
        self.held.map(|h| (h.0, h.1))
    }
}
